//! Handling of endpoints' answers to calls, and of calls without an answer.

use super::{
    super::{
        endpoint::{
            Event,
            Fate,
            Loss,
            Phase,
            Reaction,
            Standing,
            State,
            MAX_START_SENDS, //
        },
        id::{
            Life,
            Run,
            TaskId,
            Token, //
        },
        message::{
            CallId,
            LogRecord,
            Name,
            Outcome,
            Refusal,
            Reply,
            RunEnd, //
        },
        progress::MAX_RESTARTS,
        queue::Handle, //
    },
    run_record,
    Effects,
    Owner,
    Purpose,
    Rack, //
};
use crate::prelude::*;

impl Owner {
    /// Handles the reply to a call, or its failure. Replies to unknown calls are ignored.
    pub fn on_reply(
        &mut self,
        call: CallId,
        sent: Time,
        reply: Reply,
        now: Time,
        out: &mut Effects,
    ) {
        let Some((id, purpose, token)) = self.pending_calls.remove(&call) else {
            return;
        };
        if let Purpose::Probe(rack) = purpose {
            return self.on_probe_reply(rack, call, &id, &reply, now);
        }
        self.review_rack_of(&id);
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        match &reply {
            Reply::Done { clock } | Reply::Refused { clock, .. } => {
                let life = state.life();
                if let Some(events) = state.on_answer(*clock, sent, now) {
                    let record = LogRecord::new("endpoint_clock_reset");
                    let record = record.with("endpoint", id.as_str());
                    out.log(record.with("former_life", life.0));
                    self.on_life_update(&id, life, events, now, out);
                }
            }
            Reply::Looked(_) => {}
            Reply::Unwell | Reply::Unsent if is_superseded(state, &purpose, token) => return,
            _ => {
                if reply == Reply::Silent {
                    self.call_timeout.record_timeout();
                }
                return self.on_unanswered(call, &id, purpose, reply, now, out);
            }
        }
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        // The answer to the later copy decides.
        if is_superseded(state, &purpose, token) {
            return;
        }
        let is_fenced =
            matches!(&reply, Reply::Refused { refusal, .. } if *refusal == Refusal::Fenced);
        if is_fenced && state.is_outdated(token) {
            return self.on_overtaken(call, &id, purpose, now);
        }
        if purpose != Purpose::Poll {
            self.call_timeout.record(now.since(sent));
        }
        let events = match (purpose, reply) {
            (Purpose::Poll, Reply::Looked(lists)) => {
                let former = state.life();
                let norm = self.norms.entry(state.kind).or_default();
                state.set_norm(*norm);
                let (events, unknown) = state.on_poll_answer(call, sent, lists, now);
                for run_time in state.take_run_times() {
                    norm.record(run_time);
                }
                self.learn_speed(&id, now);
                self.publish_token(&id);
                self.log_restart(&id, former, out);
                self.update_unknown_runs(&id);
                for (task, run) in unknown {
                    self.stop_unknown(&id, task, run, out);
                }
                events
            }
            (Purpose::Poll, Reply::Refused { refusal, .. }) => {
                state.on_poll_refused(call, now);
                fencing_events(refusal)
            }
            (Purpose::Start(task, run), Reply::Refused { refusal, .. }) => {
                return self.on_start_refused(&id, task, run, refusal, now, out);
            }
            (Purpose::Start(task, run), _) => {
                state.on_started(&task, run, sent, now);
                Vec::new()
            }
            (Purpose::Stop(_, _), Reply::Refused { refusal, .. }) if refusal == Refusal::Fenced => {
                fencing_events(refusal)
            }
            (Purpose::Stop(Name::Known(task), run), _) => {
                state.on_stopped(&task, run, sent, now);
                let record = run_record("stop_confirmed", &id, task, run);
                out.log(record.with("life", state.life().0));
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.handle_events(&id, events, now, out);
        self.move_runs(&id, now, out);
    }

    /// Stops a run that this owner doesn't know: a former owner left it.
    pub(super) fn stop_unknown(&mut self, id: &Endpoint, task: Name, run: Run, out: &mut Effects) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let name = match &task {
            Name::Known(task) => task.to_string(),
            Name::Foreign(name) => name.clone(),
        };
        let record = LogRecord::new("unknown_run_stopped").with("endpoint", id.as_str());
        let record = record.with("life", state.life().0);
        out.log(record.with("task", name).with("run", run.0));
        let order = state.stop_order(task.clone(), run);
        self.call_endpoint(id, order, Purpose::Stop(task, run), false, out);
    }

    /// Handles a refused start.
    pub(super) fn on_start_refused(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        run: Run,
        refusal: Refusal,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let record = LogRecord::new("start_refused").job(task.job);
        let record = record.with("task", task.to_string()).with("run", run.0);
        let record = record.with("endpoint", id.as_str());
        let record = record.with("life", state.life().0);
        out.log(record.with("reason", format!("{refusal:?}")));
        match state.on_start_refused(task, run, refusal, now) {
            Reaction::Ignore => {}
            Reaction::Stop => {
                let handle = state.executions.get(&task).map(|execution| execution.batch);
                if let Some(handle) = handle {
                    self.stop_run(task, handle, Fate::Restart, out);
                }
            }
            Reaction::Requeue(handle, next) => {
                self.run_locations.remove(&task);
                self.requeue(task, handle, next, now);
            }
            Reaction::Yield => self.handle_events(id, vec![Event::Fenced], now, out),
        }
    }

    /// Handles a call that failed or timed out, or whose answer is malformed or comes from another or an unhealthy process.
    pub(super) fn on_unanswered(
        &mut self,
        call: CallId,
        id: &Endpoint,
        purpose: Purpose,
        reply: Reply,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        if reply == Reply::Reborn {
            return self.handle_events(id, vec![Event::Replaced], now, out);
        }
        if reply != Reply::Unwell {
            state.on_unanswered(&reply, now);
        }
        if let Reply::Malformed(fault) = &reply {
            let record = LogRecord::new("endpoint_malformed").with("endpoint", id.as_str());
            out.log(record.with("fault", fault.clone()));
        }
        match purpose {
            Purpose::Poll => {
                if state.standing == Standing::Open {
                    let record = LogRecord::new("endpoint_silent").with("endpoint", id.as_str());
                    out.log(record.with("reply", format!("{reply:?}")));
                }
                match reply {
                    Reply::Unwell | Reply::Malformed(_) => state.on_poll_refused(call, now),
                    _ => state.on_poll_unanswered(call, now),
                }
                self.publish_token(id);
                self.mark_changed(id);
            }
            Purpose::Start(task, run) => self.on_start_unanswered(id, task, run, reply, now, out),
            Purpose::Stop(Name::Known(task), run) => {
                let Some(execution) = state.executions.get_mut(&task) else {
                    return;
                };
                if execution.run != run {
                    return;
                }
                // A stop is sent until the endpoint answers, or the run is given up.
                execution.sends = execution.sends.saturating_add(1);
                let sends = execution.sends;
                let record = LogRecord::new("stop_unanswered").job(task.job);
                let record = record.with("task", task.to_string());
                let record = record.with("endpoint", id.as_str());
                let record = record.with("tries", u32::from(sends));
                out.log(record.with("reply", format!("{reply:?}")));
                match sends {
                    1 => self.resend(id, task, now, out),
                    _ => state.schedule_retry(task, now),
                }
            }
            // The next poll lists an unknown run that is still there.
            Purpose::Stop(Name::Foreign(_), _) | Purpose::Probe(_) => {}
        }
    }

    /// Resends a start without an answer. After too many sends the run is stopped, so that this life of the endpoint carries out no late
    /// copy of the start, and its task is queued again.
    pub(super) fn on_start_unanswered(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        run: Run,
        reply: Reply,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let Some(execution) = state.executions.get_mut(&task) else {
            return;
        };
        if execution.run != run || execution.phase != Phase::Starting {
            return;
        }
        let nothing_done = matches!(reply, Reply::Unwell | Reply::Unsent);
        execution.duplicate_possible |= !nothing_done;
        if !nothing_done {
            state.on_start_unanswered(now);
        }
        let Some(execution) = state.executions.get_mut(&task) else {
            return;
        };
        execution.sends += 1;
        let (handle, duplicate_possible, sends) = (
            execution.batch,
            execution.duplicate_possible,
            execution.sends,
        );
        let record = LogRecord::new("start_unanswered").job(task.job);
        let record = record.with("task", task.to_string()).with("run", run.0);
        let record = record
            .with("endpoint", id.as_str())
            .with("tries", u32::from(sends));
        out.log(record.with("reply", format!("{reply:?}")));
        if nothing_done && !duplicate_possible {
            state.on_unwell(now);
            let mut events = Vec::new();
            state.remove_unsent(task, &mut events);
            return self.handle_events(id, events, now, out);
        }
        match sends {
            // The first send may have used a broken connection.
            ..=2 => self.resend(id, task, now, out),
            3..=MAX_START_SENDS => state.schedule_retry(task, now),
            _ => self.stop_run(task, handle, Fate::Restart, out),
        }
    }

    /// Marks the room of an endpoint's rack as changed, and requests a review of its queue.
    pub(super) fn mark_changed(&mut self, id: &Endpoint) {
        if let Some(rack) = self.rack_of(id) {
            rack.room_changed = true;
            rack.review_now();
        }
    }

    fn review_rack_of(&mut self, id: &Endpoint) {
        if let Some(rack) = self.rack_of(id) {
            rack.review_now();
        }
    }

    fn rack_of(&mut self, id: &Endpoint) -> Option<&mut Rack> {
        let state = self.endpoints.get(id)?;
        self.racks.get_mut(&state.listing.rack_id())
    }

    /// Handles the events of an endpoint.
    pub(super) fn handle_events(
        &mut self,
        id: &Endpoint,
        events: Vec<Event>,
        now: Time,
        out: &mut Effects,
    ) {
        if !events.is_empty() {
            self.mark_changed(id);
        }
        for event in events {
            match event {
                Event::Done(task, handle, run, serial) => {
                    self.run_locations.remove(&task);
                    let record = LogRecord::routine("task_done").job(task.job);
                    let record = record.with("task", task.to_string()).with("run", run.0);
                    let record = record.with("endpoint", id.as_str());
                    out.log(record.with("end", serial));
                    self.on_task_done(task, handle, out);
                }
                Event::Failed(task, handle) => {
                    self.run_locations.remove(&task);
                    let record = LogRecord::new("task_failed").job(task.job);
                    let record = record.with("task", task.to_string());
                    out.log(record.with("endpoint", id.as_str()));
                    self.on_task_failed(id, task, handle, now, out);
                }
                Event::Lost(loss) => {
                    self.run_locations.remove(&loss.task);
                    self.log_lost(id, &loss, out);
                    self.record_lost_run(id, &loss);
                    self.record_doubt(id, &loss, false, now);
                    self.requeue(loss.task, loss.batch, loss.run.next(), now);
                }
                Event::Ended {
                    task,
                    run,
                    done,
                    serial,
                    batch,
                } => {
                    let life = self.endpoints.get(id).map(State::life).unwrap_or_default();
                    let end = RunEnd {
                        endpoint: id.clone(),
                        life,
                        serial,
                        task,
                        run,
                        done,
                        batch: None,
                    };
                    self.on_run_ended(end, batch, out);
                }
                Event::Expired(loss) => {
                    self.run_locations.remove(&loss.task);
                    self.log_lost(id, &loss, out);
                    self.record_lost_run(id, &loss);
                    self.record_doubt(id, &loss, false, now);
                    let state = self.endpoints.get(id);
                    let refused = state.is_some_and(|state| state.refuses_connections);
                    self.on_run_expired(&loss, refused, now);
                }
                Event::Crashed(crash, loss) => {
                    self.run_locations.remove(&crash.task);
                    self.log_lost(id, &loss, out);
                    self.record_doubt(id, &loss, true, now);
                    self.on_crash(id, crash, loss.run.next(), now, out);
                }
                Event::CrashConfirmed(crash) => self.confirm_crash(id, crash, true, now, out),
                Event::CrashRuledOut(task, handle) => self.rule_out_crash(task, handle, now),
                Event::Stalled(task, handle) => self.restart_stalled(id, task, handle, now, out),
                Event::Pace(change) => self.log_pace(id, change, out),
                Event::Discarded(loss) => {
                    self.run_locations.remove(&loss.task);
                    self.record_doubt(id, &loss, false, now);
                    let record = run_record("run_discarded", id, loss.task, loss.run);
                    let record = record.with("reason", loss.reason.to_string());
                    out.log(record.with("start", loss.start()));
                }
                Event::Fenced => {
                    let state = self.endpoints.get(id);
                    if let Some((rack, token)) = state.map(|s| (s.listing.rack_id(), s.token)) {
                        self.fenced.push((rack, token));
                        self.yield_rack(rack, "fenced", out);
                    }
                }
                Event::Replaced => self.on_replaced(id, now, out),
            }
        }
    }

    /// Logs a run that ended without a result.
    fn log_lost(&self, id: &Endpoint, loss: &Loss, out: &mut Effects) {
        let record = LogRecord::new("run_gone").job(loss.task.job);
        let record = record.with("task", loss.task.to_string());
        let record = record.with("run", loss.run.0);
        let record = record.with("endpoint", id.as_str());
        let record = record.with("reason", loss.reason.to_string());
        let record = record.with("start", loss.start());
        let life = self.endpoints.get(id).map(State::life).unwrap_or_default();
        out.log(record.with("life", life.0));
    }

    /// Handles news of the life of an endpoint, which was `former` before, and the events of a restart.
    pub(super) fn on_life_update(
        &mut self,
        id: &Endpoint,
        former: Life,
        events: Vec<Event>,
        now: Time,
        out: &mut Effects,
    ) {
        self.publish_token(id);
        self.log_restart(id, former, out);
        self.learn_speed(id, now);
        self.mark_changed(id);
        self.handle_events(id, events, now, out);
    }

    /// Logs that an endpoint has restarted under its name, if it has since `former`.
    pub(super) fn log_restart(&self, id: &Endpoint, former: Life, out: &mut Effects) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        if former.is_before(state.life()) {
            let record = LogRecord::new("endpoint_restarted").with("endpoint", id.as_str());
            let record = record.with("life", state.life().0);
            let record = record.with("former_life", former.0);
            out.log(record.with("runs", state.executions.len()));
        }
    }

    /// Stops a stalled run so that its task starts again, and ejects the endpoint if none of its runs makes progress.
    ///
    /// Without this a stalled run would hold its room until its caller's deadline, while its endpoint gets more
    /// tasks.
    fn restart_stalled(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        handle: Handle,
        now: Time,
        out: &mut Effects,
    ) {
        let assignment = self.assignments.get_mut(&handle);
        let task_state = assignment.and_then(|assignment| assignment.tasks.get_mut(&task.index));
        let Some(task_state) = task_state.filter(|task_state| task_state.restarts < MAX_RESTARTS)
        else {
            return;
        };
        task_state.restarts += 1;
        let record = LogRecord::new("run_still").job(task.job);
        let record = record.with("task", task.to_string());
        out.log(record.with("endpoint", id.as_str()));
        if let Some(state) = self.endpoints.get_mut(id) {
            if state.is_stalled(&task, now) {
                state.eject(now);
            }
        }
        self.stop_run(task, handle, Fate::Restart, out);
    }

    /// Handles another endpoint at the address: the former one is removed, and its runs are lost.
    pub(super) fn on_replaced(&mut self, id: &Endpoint, now: Time, out: &mut Effects) {
        let state = self.endpoints.get_mut(id);
        let events = state.map(State::on_replaced).unwrap_or_default();
        self.handle_events(id, events, now, out);
        if let Some(state) = self.endpoints.get_mut(id) {
            state.delisted = true;
        }
        self.remove_endpoint(id, out);
    }

    /// Removes a task that is done from its batch, and ends the batch after its last task.
    pub(super) fn on_task_done(&mut self, task: TaskId, handle: Handle, out: &mut Effects) {
        let Some(assignment) = self.assignments.get_mut(&handle) else {
            return;
        };
        if assignment.tasks.remove(&task.index).is_some() {
            assignment.done.push(task.index);
        }
        if assignment.tasks.is_empty() {
            self.finish(handle, Outcome::Done, out);
        }
    }

    /// Counts a failed run of a task, and queues the task again unless its attempts are used up.
    pub(super) fn on_task_failed(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        handle: Handle,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(assignment) = self.assignments.get_mut(&handle) else {
            return;
        };
        let Some(task_state) = assignment.tasks.get_mut(&task.index) else {
            return;
        };
        task_state.failures += 1;
        task_state.failed_on = Some(id.clone());
        if task_state.failures >= assignment.batch.attempts {
            return self.finish(handle, Outcome::Failed, out);
        }
        let next = task_state.next;
        self.requeue(task, handle, next, now);
    }

    /// Queues a task again; its next run is numbered `next` at least.
    pub(super) fn requeue(&mut self, task: TaskId, handle: Handle, next: Run, now: Time) {
        let Some(mut assignment) = self.assignments.remove(&handle) else {
            return;
        };
        if let Some(task_state) = assignment.tasks.get_mut(&task.index) {
            task_state.next = task_state.next.max(next);
            self.enqueue(handle, &assignment, task.index, now);
        }
        self.assignments.insert(handle, assignment);
    }
}

/// Returns whether a call with this token is a start that was sent again since, as the endpoint had barred it.
fn is_superseded(state: &State, purpose: &Purpose, token: Token) -> bool {
    match purpose {
        Purpose::Start(task, run) => state.is_superseded(task, *run, token),
        _ => false,
    }
}

/// Returns the event of a refusal because of the fencing token, or none for other refusals.
fn fencing_events(refusal: Refusal) -> Vec<Event> {
    match refusal {
        Refusal::Fenced => vec![Event::Fenced],
        _ => Vec::new(),
    }
}
