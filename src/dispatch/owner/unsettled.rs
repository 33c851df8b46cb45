//! Tasks that can't start elsewhere, as a start of them may still be carried out on a silent endpoint.

use super::{
    super::{
        doubt::Doubt,
        endpoint::{
            Execution,
            Loss,
            Standing,
            State,
            MAX_CALL_DELAY,
            UNLISTED_SILENCE, //
        },
        id::{
            RackId,
            TaskId, //
        },
        message::{
            self,
            CallId,
            LogRecord,
            Name,
            Outcome, //
        },
        queue::{
            Handle,
            Waiting, //
        }, //
    },
    Effects,
    Owner,
    Purpose, //
};
use crate::prelude::*;

/// The time that the report of a batch that is given up takes to its caller. Later the caller would stop waiting without an answer.
const REPORT_TIME: Span = Span::millis(50);

impl Owner {
    /// Records that a run is given up of which a start may still be on its way.
    pub(super) fn record_doubt(&mut self, id: &Endpoint, loss: &Loss, restarted: bool, now: Time) {
        let Some(state) = self.endpoints.get(id).filter(|_| !loss.answered) else {
            return;
        };
        let doubt = Doubt {
            rack: state.listing.rack_id(),
            endpoint: Some(id.clone()),
            since: now,
            restarted,
        };
        self.doubts.insert(loss.task, doubt);
    }

    /// Records that a task may run, or may be about to, on an endpoint that isn't listed any more.
    pub(super) fn doubt_unlisted(&mut self, task: TaskId, rack: RackId, id: Endpoint, now: Time) {
        let doubt = Doubt {
            rack,
            endpoint: Some(id),
            since: now,
            restarted: false,
        };
        self.doubts.insert(task, doubt);
    }

    /// Records the unanswered starts of all runs on an endpoint that is given up with them.
    pub(super) fn doubt_runs_on(&mut self, id: &Endpoint) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let unanswered = state.executions.iter();
        let unanswered = unanswered.filter(|(_, run)| run.has_unanswered_start());
        for (task, _) in unanswered {
            let doubt = Doubt {
                rack: state.listing.rack_id(),
                endpoint: Some(id.clone()),
                since: self.now,
                restarted: false,
            };
            self.doubts.insert(*task, doubt);
        }
    }

    /// Marks the starts in doubt of a batch that leaves this owner, to be told to all instances: its caller may submit the job again at
    /// any of them.
    pub(super) fn tell_doubts_of(&mut self, batch: Handle, out: &mut Effects) {
        let Some(assignment) = self.assignments.get(&batch) else {
            return;
        };
        let mut told: Vec<message::Doubt> = Vec::new();
        for index in assignment.tasks.keys() {
            let task = assignment.task_id(*index);
            told.extend(self.doubts.to_tell_of(&task, self.now));
            let location = self.run_locations.get(&task);
            let state = location.and_then(|id| self.endpoints.get(id));
            let Some(state) = state else {
                continue;
            };
            let execution = state.executions.get(&task);
            if execution.is_some_and(|run| run.batch == batch && run.has_unanswered_start()) {
                told.push(message::Doubt {
                    task,
                    rack: state.listing.rack_id(),
                    endpoint: Some(state.listing.id.clone()),
                    age: Span(0),
                    restarted: false,
                });
            }
        }
        for doubt in &told {
            let record = LogRecord::new("start_in_doubt").job(doubt.task.job);
            let record = record.with("task", doubt.task.to_string());
            let record = record.with("rack", doubt.rack.to_string());
            let endpoint = doubt.endpoint.as_ref().map_or("", Endpoint::as_str);
            let record = record.with("endpoint", endpoint);
            let record = record.with("age_ms", doubt.age);
            out.log(record.with("batch", assignment.batch.serial));
        }
        self.untold_doubts.extend(told);
    }

    /// Returns whether a start of a task of a batch is in doubt.
    pub(super) fn has_doubts(&self, batch: Handle) -> bool {
        let assignment = self.assignments.get(&batch);
        assignment.is_some_and(|assignment| {
            let mut tasks = assignment.tasks.keys();
            tasks.any(|index| !self.doubts.of(&assignment.task_id(*index)).is_empty())
        })
    }

    /// Returns the starts in doubt that other instances are to be told of.
    pub fn take_untold_doubts(&mut self) -> Vec<message::Doubt> {
        std::mem::take(&mut self.untold_doubts)
    }

    /// Returns all starts in doubt, for an instance that may not have been told of them.
    pub fn doubts_to_tell(&self, now: Time) -> Vec<message::Doubt> {
        self.doubts.to_tell(|_, _| true, now)
    }

    /// Records the starts in doubt that another instance tells of.
    pub fn learn_doubts(&mut self, told: &[message::Doubt], now: Time) {
        self.doubts.learn(told, now);
    }

    /// Returns the number of tasks with a start in doubt.
    pub fn count_doubts(&self) -> usize {
        self.doubts.len()
    }

    /// Returns what the next owner of a rack must know of besides its batches and their runs: the starts in doubt there and those of the
    /// batches' tasks, unanswered starts of runs there, runs that no batch here has, and tasks of which a lost owner may have sent starts.
    pub(super) fn doubts_of_rack(
        &self,
        rack: RackId,
        endpoints: &[Endpoint],
        now: Time,
    ) -> Vec<message::Doubt> {
        let is_held = |task: &TaskId| !self.batches_with(*task).is_empty();
        let mut told = self
            .doubts
            .to_tell(|task, doubt| doubt.rack == rack || is_held(task), now);
        for id in endpoints {
            let state = self.endpoints.get(id).into_iter();
            let runs = state.flat_map(|state| &state.executions);
            let unanswered =
                |(task, run): (&TaskId, &Execution)| run.has_unanswered_start().then_some(*task);
            let unknown = self.tasks_of_unknown_runs.get(id).into_iter().flatten();
            let tasks = runs.filter_map(unanswered).chain(unknown.copied());
            told.extend(tasks.map(|task| message::Doubt {
                task,
                rack,
                endpoint: Some(id.clone()),
                age: Span(0),
                restarted: false,
            }));
        }
        for handle in self.assignments_of(rack) {
            let assignment = self.assignments.get(&handle);
            let Some(assignment) = assignment.filter(|assignment| assignment.in_doubt) else {
                continue;
            };
            let tasks = assignment.tasks.keys();
            told.extend(tasks.map(|index| message::Doubt {
                task: assignment.task_id(*index),
                rack,
                endpoint: None,
                age: Span(0),
                restarted: false,
            }));
        }
        told
    }

    /// Returns whether a start of a task that was sent to an endpoint is in doubt.
    pub(super) fn is_start_in_doubt(&self, task: &TaskId, id: &Endpoint) -> bool {
        let mut doubts = self.doubts.of(task).iter();
        doubts.any(|doubt| doubt.endpoint.as_ref() == Some(id))
    }

    /// Returns whether a task must not start now: a start of it may be on its way to an endpoint that is silent and may come back in a
    /// later life that hasn't barred it, or that another instance calls.
    pub(super) fn is_in_doubt(&self, task: &TaskId, now: Time) -> bool {
        self.doubts.of(task).iter().any(|doubt| {
            let age = now.since(doubt.since);
            let is_owned = self.racks.contains_key(&doubt.rack);
            let state = doubt.endpoint.as_ref().map(|id| self.endpoints.get(id));
            match state {
                Some(Some(state)) => {
                    let is_known = state.has_answered() && !state.may_restart_unnoticed(now);
                    age <= MAX_CALL_DELAY && !is_known
                }
                Some(None) if is_owned => age <= UNLISTED_SILENCE,
                None if is_owned => age <= MAX_CALL_DELAY && !self.is_settled(doubt.rack, now),
                _ => age <= MAX_CALL_DELAY,
            }
        })
    }

    /// Returns whether a waiting task may run, or be about to, on an endpoint of its rack: it must not go to another rack, whose owner
    /// doesn't hear of a restart of that endpoint.
    pub(super) fn may_run(&self, task: &TaskId) -> bool {
        self.has_unknown_run(task) || !self.doubts.of(task).is_empty()
    }

    /// Lets the waiting tasks of a lost owner start once each endpoint of the rack has answered this owner, and so bars the other's calls,
    /// or counts as gone.
    pub(super) fn settle_lost_batches(&mut self, id: RackId, waiting: &[Waiting], now: Time) {
        let is_lost = |waiting: &&Waiting| {
            let assignment = self.assignments.get(&waiting.batch);
            assignment.is_some_and(|assignment| assignment.in_doubt)
        };
        let lost: Vec<Handle> = waiting.iter().filter(is_lost).map(|w| w.batch).collect();
        if lost.is_empty() || !self.is_settled(id, now) {
            return;
        }
        for batch in lost {
            if let Some(assignment) = self.assignments.get_mut(&batch) {
                assignment.in_doubt = false;
            }
        }
    }

    /// Returns whether each endpoint of a rack has answered this owner or counts as gone.
    fn is_settled(&self, id: RackId, now: Time) -> bool {
        let endpoints = self.racks.get(&id).map(|rack| rack.endpoints.iter());
        let mut states = endpoints
            .into_iter()
            .flatten()
            .filter_map(|id| self.endpoints.get(id));
        states.all(|state| state.has_answered() || state.is_gone(now))
    }

    /// Gives up the jobs of callers that wait, if a task of theirs can neither start elsewhere nor end in time.
    pub(super) fn give_up_unsettled_batches(&mut self, now: Time, out: &mut Effects) {
        let silent = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.standing != Standing::Open && !state.executions.is_empty());
        let mut overdue: Vec<(TaskId, Handle)> = Vec::new();
        for (_, state) in silent {
            for (task, execution) in state.unsettled_runs(now) {
                // A run that was confirmed may still end in time; any other has to begin first.
                let duration = match execution.is_confirmed() {
                    true => Span(0),
                    false => execution.min_duration(),
                };
                if self.is_overdue(execution.batch, duration, now) {
                    overdue.push((*task, execution.batch));
                }
            }
        }
        for (task, batch) in overdue {
            self.give_up_unsettled(task, batch, out);
        }
    }

    /// Gives up a batch with a task that is in doubt for as long as its caller waits. The job can't be called failed: no run of it has.
    pub(super) fn give_up_unsettled(&mut self, task: TaskId, batch: Handle, out: &mut Effects) {
        let record = LogRecord::new("start_unsettled").job(task.job);
        out.log(record.with("task", task.to_string()));
        self.finish(batch, Outcome::Hopeless, out);
    }

    /// Returns the number of a batch's runs of which a start wasn't answered.
    pub(super) fn count_unanswered_starts(&self, batch: Handle) -> usize {
        let assignment = self.assignments.get(&batch).into_iter();
        let tasks = assignment.flat_map(|a| a.tasks.keys().map(|index| a.task_id(*index)));
        let execution = |task: TaskId| {
            let state = self.endpoints.get(self.run_locations.get(&task)?)?;
            state.executions.get(&task)
        };
        let runs = tasks.filter_map(execution);
        let runs = runs.filter(|run| run.batch == batch && run.has_unanswered_start());
        runs.count()
    }

    /// Returns the number of runs on silent endpoints whose tasks can't start elsewhere.
    pub fn count_unsettled_runs(&self, now: Time) -> usize {
        let states = self.endpoints.values();
        states.map(|state| state.unsettled_runs(now).count()).sum()
    }

    /// Returns whether a caller waits for a batch, and would stop before a task of it that takes `duration` can end.
    pub(super) fn is_overdue(&self, batch: Handle, duration: Span, now: Time) -> bool {
        let assignment = self.assignments.get(&batch);
        let awaited = assignment.filter(|assignment| !assignment.batch.stored);
        awaited.is_some_and(|assignment| now + duration + REPORT_TIME > assignment.deadline)
    }

    /// Updates the tasks of unknown runs that an endpoint lists.
    pub(super) fn update_unknown_runs(&mut self, id: &Endpoint) {
        let state = self.endpoints.get(id);
        let tasks = state.map(State::tasks_of_unknown_runs).unwrap_or_default();
        match tasks.is_empty() {
            true => self.tasks_of_unknown_runs.remove(id),
            false => self.tasks_of_unknown_runs.insert(id.clone(), tasks),
        };
    }

    /// Drops the unknown runs of endpoints that have been silent until all leases expired.
    pub(super) fn expire_unknown_runs(&mut self, now: Time) {
        let states = &self.endpoints;
        self.tasks_of_unknown_runs.retain(|id, _| {
            let state = states.get(id);
            state.is_some_and(|state| !state.have_leases_expired(now))
        });
    }

    /// Returns whether an endpoint lists a run of the task that this owner doesn't know.
    pub(super) fn has_unknown_run(&self, task: &TaskId) -> bool {
        let mut tasks = self.tasks_of_unknown_runs.values();
        tasks.any(|tasks| tasks.contains(task))
    }

    /// Handles a call that the endpoint refused because a call with a higher token of this owner overtook it: it's sent again.
    pub(super) fn on_overtaken(
        &mut self,
        call: CallId,
        id: &Endpoint,
        purpose: Purpose,
        now: Time,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        match purpose {
            Purpose::Poll => state.on_poll_refused(call, now),
            Purpose::Start(task, run) | Purpose::Stop(Name::Known(task), run) => {
                let current = state.executions.get(&task);
                if current.is_some_and(|execution| execution.run == run) {
                    state.schedule_retry(task, now);
                }
            }
            // The next poll lists an unknown run that is still there.
            Purpose::Stop(Name::Foreign(_), _) | Purpose::Probe(_) => {}
        }
    }

    /// Announces the token of an endpoint for its rack if it was raised.
    pub(super) fn publish_token(&mut self, id: &Endpoint) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let token = state.token;
        let rack = self.racks.get_mut(&state.listing.rack_id());
        let Some(rack) = rack.filter(|rack| rack.token < token) else {
            return;
        };
        rack.token = token;
        self.rack_changes += 1;
        // A probe with the announced token must not be above the tokens of calls that follow.
        for endpoint in &rack.endpoints {
            if let Some(state) = self.endpoints.get_mut(endpoint) {
                state.raise_token_to(token);
            }
        }
    }
}
