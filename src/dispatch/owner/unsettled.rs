//! Tasks that can't start elsewhere, as a start of them may still be carried out on a silent endpoint.

use super::{
    super::{
        endpoint::{
            Execution,
            Standing,
            State, //
        },
        id::{
            Run,
            TaskId, //
        },
        message::{
            CallId,
            LogRecord,
            Name,
            Outcome, //
        },
        queue::Handle, //
    },
    place::MIN_ESTIMATE_SHARE,
    Effects,
    Owner,
    Purpose, //
};
use crate::prelude::*;

/// The time that the report of a failed job takes to its caller. Later the caller would stop waiting, and submit the job again while a
/// start of it is in doubt.
const REPORT_TIME: Span = Span::millis(50);

impl Owner {
    /// Fails the jobs of callers that wait, if a task of theirs can neither start elsewhere nor end in time.
    pub(super) fn fail_unsettled(&mut self, now: Time, out: &mut Effects) {
        let silent = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.standing != Standing::Open && !state.executions.is_empty());
        let mut overdue: Vec<(Endpoint, TaskId, Run, Handle)> = Vec::new();
        for (id, state) in silent {
            for (task, execution) in state.unsettled_runs(now) {
                if self.is_overdue(execution, now) {
                    overdue.push((id.clone(), *task, execution.run, execution.batch));
                }
            }
        }
        for (id, task, run, batch) in overdue {
            let record = LogRecord::new("start_unsettled").job(task.job);
            let record = record.with("task", task.to_string()).with("run", run.0);
            out.log(record.with("endpoint", id.as_str()));
            self.finish(batch, Outcome::Failed, out);
        }
    }

    /// Returns the number of runs on silent endpoints whose tasks can't start elsewhere.
    pub fn count_unsettled_runs(&self, now: Time) -> usize {
        let states = self.endpoints.values();
        states.map(|state| state.unsettled_runs(now).count()).sum()
    }

    /// Returns whether a caller waits for the batch of a run, and the task can't end in time: a run that was confirmed may still do so
    /// until the caller stops waiting, any other has to begin first.
    fn is_overdue(&self, execution: &Execution, now: Time) -> bool {
        let assignment = self.assignments.get(&execution.batch);
        let awaited = assignment.filter(|assignment| !assignment.batch.stored);
        awaited.is_some_and(|assignment| {
            let estimate = assignment.batch.estimate.0 as f64;
            let duration = match execution.is_confirmed() {
                true => Span(0),
                false => Span((estimate * MIN_ESTIMATE_SHARE) as u64),
            };
            now + duration + REPORT_TIME > assignment.deadline
        })
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
