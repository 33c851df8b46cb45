//! Placement: which queued task starts next, and on which endpoint.

use std::collections::BTreeMap;

use super::{
    super::{
        endpoint::{
            Execution,
            Standing,
            State,
            MIN_ESTIMATE_SHARE, //
        },
        id::{
            RackId,
            TaskId, //
        },
        message::{
            Cause,
            LogRecord,
            Message,
            Outcome, //
        },
        queue::{
            Handle,
            Waiting, //
        },
        speed::{
            Candidate,
            Choice, //
        },
        straggler::Preference,
        task::Resources, //
    },
    hold::Hold,
    speeds::{
        choose_by_speed,
        Waits, //
    },
    Assignment,
    Effects,
    Owner,
    Purpose, //
};
use crate::prelude::*;

/// How many different needs of queued tasks may fail to fit before a review of the queue stops. Callers' needs differ little, so a
/// longer review seldom finds a task that fits.
const MAX_MISFITS: usize = 24;

/// The longest time between reviews of a queue while no event lets a task start, so that the ends of ejections
/// and deadlines are noticed.
///
/// A review after every message, heartbeats included, would cost much processor time under load.
const REVIEW_INTERVAL: Span = Span::millis(10);

/// A need and a label that fit no endpoint now, and whether any endpoint of the rack could ever run them.
type Misfit = (Resources, Option<String>, bool);

impl Owner {
    /// Does all work that is due: expires runs, releases held tasks, resends calls, starts queued tasks and polls
    /// endpoints.
    pub fn process_due(&mut self, now: Time, out: &mut Effects) {
        self.now = now;
        self.doubts.expire(now);
        self.update_speeds(now, out);
        self.expire_silent(now, out);
        self.expire_unknown_runs(now);
        self.give_up_unsettled_batches(now, out);
        self.return_unconfirmed(now, out);
        self.release_due(now);
        self.resend_due(now, out);
        let racks: Vec<RackId> = self.racks.keys().copied().collect();
        for rack in racks {
            self.start_waiting(rack, now, out);
        }
        self.poll_endpoints(now, out);
    }

    /// Gives up the runs of silent endpoints whose leases have expired.
    pub(super) fn expire_silent(&mut self, now: Time, out: &mut Effects) {
        let ids: Vec<Endpoint> = self
            .endpoints
            .iter()
            .filter(|(_, s)| s.standing != Standing::Open && !s.executions.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let events = match self.endpoints.get_mut(&id) {
                Some(state) => state.expire_runs(now),
                None => continue,
            };
            self.handle_events(&id, events, now, out);
        }
    }

    /// Polls the endpoints whose poll is due.
    pub(super) fn poll_endpoints(&mut self, now: Time, out: &mut Effects) {
        let due = |(id, state): (&Endpoint, &State)| (state.next_poll() <= now).then(|| id.clone());
        let ids: Vec<Endpoint> = self.endpoints.iter().filter_map(due).collect();
        for id in ids {
            let call = self.next_call_id();
            self.update_licenses(&id);
            let Some(state) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let new_connection = state.standing == Standing::Silent;
            if let Some(order) = state.poll(call, now) {
                self.send_call(call, &id, order, Purpose::Poll, new_connection, out);
            }
        }
    }

    /// Starts a rack's queued tasks as far as there is room, and gives up those that can't finish in time.
    pub(super) fn start_waiting(&mut self, id: RackId, now: Time, out: &mut Effects) {
        let Some(rack) = self.racks.get_mut(&id) else {
            return;
        };
        if rack.queue.is_empty() {
            rack.held_back = 0;
            return;
        }
        if now < rack.next_review {
            return;
        }
        rack.next_review = now + REVIEW_INTERVAL;
        let endpoints = std::mem::take(&mut rack.endpoints);
        for endpoint in &endpoints {
            self.update_licenses(endpoint);
        }
        let Some(rack) = self.racks.get_mut(&id) else {
            return;
        };
        rack.endpoints = endpoints;
        rack.waits = Waits::default();
        let by_speed = rack.places_by_speed(now);
        rack.queue.update(now);
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        self.settle_lost_batches(id, &waiting, now);
        let mut misfits: Vec<Misfit> = Vec::new();
        let mut hopeless = Vec::new();
        let mut unsettled = Vec::new();
        let mut poll_needed = false;
        let mut unfit: BTreeMap<Handle, Vec<u32>> = BTreeMap::new();
        let mut waits = Waits::default();
        let mut hold = Hold::default();
        for waiting in waiting {
            let Some(assignment) = self.assignments.get(&waiting.batch) else {
                continue;
            };
            let min_duration =
                Span((assignment.batch.estimate.0 as f64 * MIN_ESTIMATE_SHARE) as u64);
            let task = assignment.task_id(waiting.index);
            let is_in_doubt = assignment.in_doubt || self.is_in_doubt(&task, now);
            if is_in_doubt && self.is_overdue(waiting.batch, min_duration, now) {
                unsettled.push((task, waiting.batch));
                continue;
            }
            if now + min_duration > assignment.deadline {
                hopeless.push(waiting.batch);
                continue;
            }
            let (need, label) = (assignment.batch.need, assignment.batch.label.as_ref());
            let entry_lost = !self.live_entries.contains(&assignment.entry.name);
            let may_start = !entry_lost && self.may_start(assignment, now);
            let is_running = self.run_locations.contains_key(&task) || self.has_unknown_run(&task);
            if !may_start || is_running || is_in_doubt {
                continue;
            }
            let same = |(n, l, _): &&Misfit| *n == need && l.as_ref() == label;
            let runnable = match misfits.iter().find(same) {
                Some((.., runnable)) => *runnable,
                None => {
                    if self.is_held_back(id, assignment, &mut hold, now) {
                        continue;
                    }
                    match self.pick_endpoint(id, assignment, waiting.index, &waits, now) {
                        Some(Choice::Start(endpoint)) => {
                            self.start_task(id, &endpoint, waiting, task, now, out);
                            hold.on_start();
                            continue;
                        }
                        Some(Choice::Wait(endpoint)) => {
                            match by_speed {
                                true => waits.insert(waiting.batch, waiting.index, endpoint),
                                // It lacks room on sound endpoints, and may move to another rack.
                                false => waits.claim(endpoint),
                            }
                            true
                        }
                        None => {
                            let runnable = self.can_ever_run(id, assignment);
                            match assignment.suspicion(waiting.index).is_present() {
                                // It may be waiting for an answer from an endpoint rather than for room.
                                true => poll_needed = true,
                                false => misfits.push((need, label.cloned(), runnable)),
                            }
                            runnable
                        }
                    }
                }
            };
            if !runnable {
                unfit.entry(waiting.batch).or_default().push(waiting.index);
            } else if now + min_duration > assignment.useful_until && !assignment.started {
                hopeless.push(waiting.batch);
            } else if misfits.len() > MAX_MISFITS {
                break;
            }
        }
        if let Some(rack) = self.racks.get_mut(&id) {
            rack.waits = waits;
            if !misfits.is_empty() {
                rack.waited_at = now;
            }
        }
        self.record_held_back(id, &hold, now, out);
        if poll_needed {
            self.poll_stale(id, now);
        }
        for (handle, tasks) in unfit {
            self.return_tasks(handle, tasks, Cause::Unfit, out);
        }
        for (task, batch) in unsettled {
            self.give_up_unsettled(task, batch, out);
        }
        hopeless.dedup();
        for handle in hopeless {
            if let Some(assignment) = self.assignments.get(&handle) {
                let record = LogRecord::new("batch_hopeless").job(assignment.batch.job);
                let record = record.with("left_ms", assignment.deadline.since(now));
                out.log(record.with("estimate_ms", assignment.batch.estimate));
            }
            self.finish(handle, Outcome::Hopeless, out);
        }
    }

    /// Polls the endpoints of a rack that haven't answered recently, for a task that may crash endpoints.
    fn poll_stale(&mut self, rack: RackId, now: Time) {
        let Some(rack) = self.racks.get(&rack) else {
            return;
        };
        for id in &rack.endpoints {
            if let Some(state) = self.endpoints.get_mut(id) {
                state.poll_if_stale(now);
            }
        }
    }

    /// Returns whether an endpoint of the rack could ever run a batch's tasks. An evacuation or a smaller
    /// capacity may rule all of them out, and the tasks would wait until their caller's deadline.
    fn can_ever_run(&self, rack: RackId, assignment: &Assignment) -> bool {
        let Some(rack) = self.racks.get(&rack) else {
            return false;
        };
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        let (need, label) = (&assignment.batch.need, assignment.batch.label.as_ref());
        states.into_iter().any(|state| state.can_run(need, label))
    }

    /// Chooses the endpoint to start a task on: the best fit, so that large gaps stay free for large tasks. Where endpoints differ
    /// in speed, [`speed::choose`](super::super::speed::choose) decides first, and may let the task wait for a busy endpoint.
    ///
    /// For a task that may crash endpoints it is the one with the fewest runs to lose, or with the fewest other
    /// suspects, and only one that has answered recently: a start to an unreachable endpoint would count as
    /// another crash.
    pub(super) fn pick_endpoint(
        &self,
        rack: RackId,
        assignment: &Assignment,
        index: u32,
        waits: &Waits,
        now: Time,
    ) -> Option<Choice<Endpoint>> {
        let batch = &assignment.batch;
        let suspicion = assignment.suspicion(index);
        let fits = |state: &State| {
            let of_step = |(task, _): &(&TaskId, &Execution)| {
                task.job == batch.job && task.step == batch.step
            };
            let within_limit = batch
                .per_endpoint
                .is_none_or(|most| state.executions.iter().filter(of_step).count() < most as usize);
            let runnable = state.can_run(&batch.need, batch.label.as_ref());
            let reachable = !suspicion.is_present() || state.has_answered_recently(now);
            reachable
                && state.is_label_known(batch.label.as_ref())
                && state.accepts_tasks(now)
                && state.free.fits(&batch.need)
                && runnable
                && within_limit
        };
        let rack = self.racks.get(&rack)?;
        // The states are looked up once: in racks of differing speeds they are needed several times.
        let mut states: Vec<&State> = Vec::with_capacity(rack.endpoints.len());
        states.extend(
            rack.endpoints
                .iter()
                .filter_map(|id| self.endpoints.get(id)),
        );
        let failed_on = assignment.tasks.get(&index);
        let failed_on = failed_on.and_then(|task_state| task_state.failed_on.as_ref());
        // An endpoint where the task failed is avoided only if another one can run it.
        let alternative = |state: &State, than: &Endpoint| {
            let other = state.listing.id != *than && state.standing == Standing::Open;
            other && state.can_run(&batch.need, batch.label.as_ref())
        };
        let avoided = failed_on.filter(|id| states.iter().any(|state| alternative(state, id)));
        let runs_at_risk = |state: &State| {
            if suspicion.is_strong() {
                state.executions.len()
            } else if suspicion.is_present() {
                state.count_suspects()
            } else {
                0
            }
        };
        let is_avoided = |state: &State| Some(&state.listing.id) == avoided;
        let with_room = states.iter().copied();
        let with_room = with_room.filter(|state| fits(state) && !is_avoided(state));
        let candidate = |state| Candidate {
            endpoint: state,
            ratio: State::predicted_ratio(state),
            free: state.free.cpu,
        };
        let doubts = self.doubts.of(&assignment.task_id(index));
        if !doubts.is_empty() {
            let is_preferred = |state: &&State| doubts.iter().any(|d| d.prefers(&state.listing.id));
            if let Some(state) = with_room.clone().find(is_preferred) {
                return Some(Choice::Start(state.listing.id.clone()));
            }
        }
        let mut candidates: Vec<Candidate<&State>> = Vec::with_capacity(states.len());
        candidates.extend(with_room.map(candidate));
        let slowness = |state: &State| state.preference(batch.estimate, assignment.due, now);
        let best = candidates.iter();
        let best = best.min_by_key(|c| (runs_at_risk(c.endpoint), slowness(c.endpoint), c.free))?;
        let preference = slowness(best.endpoint);
        // On a slow endpoint the task would be late. It may end sooner if it waits for another one.
        let by_speed = rack.places_by_speed(now) || preference == Preference::Late;
        if !by_speed || suspicion.is_present() || preference == Preference::Trial {
            return Some(Choice::Start(best.endpoint.listing.id.clone()));
        }
        let usable = |state: &State| {
            let runnable = state.can_run(&batch.need, batch.label.as_ref());
            let label_known = state.is_label_known(batch.label.as_ref());
            runnable && label_known && state.accepts_tasks(now) && !is_avoided(state)
        };
        candidates.retain(|c| slowness(c.endpoint) == preference);
        let usable = states.iter().copied().filter(|state| usable(state));
        let choice = choose_by_speed(assignment, &candidates, usable, waits, now)?;
        Some(choice.map(|state| state.listing.id.clone()))
    }

    /// Starts a queued task on an endpoint. The first start of a stored batch is reported to its entry, and that of a part of a job
    /// that had to wait: the entry then doesn't give up the other parts for lack of use.
    pub(super) fn start_task(
        &mut self,
        rack: RackId,
        id: &Endpoint,
        waiting: Waiting,
        task: TaskId,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(assignment) = self.assignments.get(&waiting.batch) else {
            return;
        };
        let license_end = self.license_end(assignment).unwrap_or_default();
        let Some(assignment) = self.assignments.get_mut(&waiting.batch) else {
            return;
        };
        let is_waiting_part =
            self.queues.have_several_priorities() && assignment.is_waiting_part(now);
        let Some(task_state) = assignment.tasks.get_mut(&waiting.index) else {
            return;
        };
        // A lease is shared by all runs there and never shortened: what was granted for others must not outlive this license.
        let Some(state) = self
            .endpoints
            .get_mut(id)
            .filter(|state| state.leases_end() <= license_end)
        else {
            return;
        };
        let run = task_state.next;
        let (entry, serial, moves) = (
            assignment.entry.name.as_str().to_owned(),
            assignment.batch.serial,
            assignment.batch.moves,
        );
        task_state.next = run.next();
        if (assignment.batch.stored || is_waiting_part) && !assignment.started {
            out.send(&assignment.entry, Message::Begun(assignment.batch.serial));
        }
        let first = !std::mem::replace(&mut assignment.started, true);
        let mut execution = Execution::new(
            waiting.batch,
            run,
            assignment.batch.need,
            assignment.batch.estimate,
        );
        execution.stored = assignment.batch.stored;
        execution.suspicion = task_state.suspicion;
        execution.license_end = license_end;
        let Some(order) = state.start(task, execution, assignment.batch.spec.clone(), now) else {
            return;
        };
        self.run_locations.insert(task, id.clone());
        if let Some(rack) = self.racks.get_mut(&rack) {
            rack.queue.remove(waiting);
            rack.room_changed = true;
        }
        if first {
            self.requeue_started(waiting.batch, now);
        }
        let record = LogRecord::routine("task_started").job(task.job);
        let record = record.with("task", task.to_string()).with("run", run.0);
        let record = record.with("endpoint", id.as_str());
        let record = record.with("rack", rack.to_string());
        let record = record.with("token", order.token().0);
        let record = record.with("entry", entry).with("batch", serial);
        out.log(record.with("moves", moves));
        let purpose = Purpose::Start(task, run);
        self.call_endpoint(id, order, purpose, false, out);
    }
}
