//! What answers of endpoints, and their absence, mean for tasks.

use super::{
    super::{
        endpoint::{
            Event,
            Fate,
            Phase,
            Refused,
            Standing,
            State,
            START_TRIES, //
        },
        id::{
            Run,
            TaskId, //
        },
        message::{
            CallId,
            Name,
            Outcome,
            Record,
            Refusal,
            Reply,
            RunEnd, //
        },
        progress::MAX_RESTARTS,
        queue::Handle, //
    },
    Effects,
    Owner,
    Purpose,
    Rack, //
};
use crate::prelude::*;

impl Owner {
    /// Takes the answer of an endpoint, or its absence.
    pub fn on_reply(
        &mut self,
        call: CallId,
        sent: Time,
        reply: Reply,
        now: Time,
        out: &mut Effects,
    ) {
        let Some((id, purpose)) = self.calls.remove(&call) else {
            return;
        };
        if let Purpose::Probe(rack) = purpose {
            return self.probed(rack, call, &reply);
        }
        self.review_rack_of(&id);
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        match &reply {
            Reply::Done { clock } | Reply::Refused { clock, .. } => {
                state.answered(*clock, sent, now);
            }
            Reply::Looked(_) => {}
            _ => {
                if reply == Reply::Silent {
                    self.call_timeout.record_timeout();
                }
                return self.unanswered(call, &id, purpose, reply, now, out);
            }
        }
        if purpose != Purpose::Look {
            self.call_timeout.record(now.since(sent));
        }
        let events = match (purpose, reply) {
            (Purpose::Look, Reply::Looked(lists)) => {
                let (events, unknown) = state.looked(call, sent, lists, now);
                for (task, run) in unknown {
                    self.stop_unknown(&id, task, run, out);
                }
                events
            }
            (Purpose::Look, Reply::Refused { refusal, .. }) => {
                state.unlooked(call, now);
                fenced(refusal)
            }
            (Purpose::Start(task, run), Reply::Refused { refusal, .. }) => {
                return self.start_refused(&id, task, run, refusal, now, out);
            }
            (Purpose::Start(task, run), _) => {
                state.started(&task, run, now);
                Vec::new()
            }
            (Purpose::Stop(_, _), Reply::Refused { refusal, .. }) if refusal == Refusal::Fenced => {
                fenced(refusal)
            }
            (Purpose::Stop(Name::Known(task), run), _) => {
                state.stopped(&task, run, now);
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.act(&id, events, now, out);
    }

    pub(super) fn stop_unknown(&mut self, id: &Endpoint, task: Name, run: Run, out: &mut Effects) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let name = match &task {
            Name::Known(task) => task.to_string(),
            Name::Foreign(name) => name.clone(),
        };
        let record = Record::new("unknown_run_stopped").with("endpoint", id.as_str());
        out.log(record.with("task", name).with("run", run.0));
        let order = state.stop_again(task.clone(), run);
        self.call(id, order, Purpose::Stop(task, run), false, out);
    }

    pub(super) fn start_refused(
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
        let record = Record::new("start_refused").job(task.job);
        let record = record.with("endpoint", id.as_str());
        out.log(record.with("reason", format!("{refusal:?}")));
        match state.refused(task, run, refusal, now) {
            Refused::Nothing => {}
            Refused::Stop => {
                let handle = state.executions.get(&task).map(|execution| execution.batch);
                if let Some(handle) = handle {
                    self.stop(task, handle, Fate::Again, out);
                }
            }
            Refused::Again(handle, next) => {
                self.busy.remove(&task);
                self.again(task, handle, next, now);
            }
            Refused::Fenced => self.act(id, vec![Event::Fenced], now, out),
        }
    }

    /// Deals with a call that has no proper answer.
    pub(super) fn unanswered(
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
            return self.act(id, vec![Event::Reborn], now, out);
        }
        if reply != Reply::Unwell {
            state.unanswered(&reply);
        }
        if let Reply::Malformed(fault) = &reply {
            let record = Record::new("endpoint_malformed").with("endpoint", id.as_str());
            out.log(record.with("fault", fault.clone()));
        }
        match purpose {
            Purpose::Look => {
                if state.standing == Standing::Open {
                    let record = Record::new("endpoint_silent").with("endpoint", id.as_str());
                    out.log(record.with("reply", format!("{reply:?}")));
                }
                match reply {
                    Reply::Unwell | Reply::Malformed(_) => state.unlooked(call, now),
                    _ => state.silent(call, now),
                }
                self.touch(id);
            }
            Purpose::Start(task, run) => self.start_unanswered(id, task, run, reply, now, out),
            Purpose::Stop(Name::Known(task), run) => {
                let Some(execution) = state.executions.get_mut(&task) else {
                    return;
                };
                if execution.run != run {
                    return;
                }
                // A stop must arrive: it is sent again until the endpoint answers or its leases have passed.
                execution.tries = execution.tries.saturating_add(1);
                match execution.tries {
                    1 => self.send_again(id, task, now, out),
                    _ => state.retry(task, now),
                }
            }
            // The next look shows an unknown run that is still there.
            Purpose::Stop(Name::Foreign(_), _) | Purpose::Probe(_) => {}
        }
    }

    pub(super) fn start_unanswered(
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
        execution.doubt |= !nothing_done;
        execution.tries += 1;
        let (handle, doubt, tries) = (execution.batch, execution.doubt, execution.tries);
        let record = Record::new("start_unanswered").job(task.job);
        let record = record
            .with("endpoint", id.as_str())
            .with("tries", u32::from(tries));
        out.log(record.with("reply", format!("{reply:?}")));
        if nothing_done && !doubt {
            state.unwell(now);
            let mut events = Vec::new();
            state.lose(task, &mut events);
            return self.act(id, events, now, out);
        }
        match tries {
            // The first may have found its connection gone.
            ..=2 => self.send_again(id, task, now, out),
            3..=START_TRIES => state.retry(task, now),
            _ => self.stop(task, handle, Fate::Again, out),
        }
    }

    pub(super) fn touch(&mut self, id: &Endpoint) {
        if let Some(rack) = self.rack_of(id) {
            rack.changed = true;
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

    pub(super) fn act(&mut self, id: &Endpoint, events: Vec<Event>, now: Time, out: &mut Effects) {
        if !events.is_empty() {
            self.touch(id);
        }
        for event in events {
            match event {
                Event::Done(task, handle, run, serial) => {
                    self.busy.remove(&task);
                    let record = Record::routine("task_done").job(task.job);
                    let record = record.with("task", task.to_string()).with("run", run.0);
                    let record = record.with("endpoint", id.as_str());
                    out.log(record.with("end", serial));
                    self.done(task, handle, out);
                }
                Event::Failed(task, handle) => {
                    self.busy.remove(&task);
                    let record = Record::new("task_failed").job(task.job);
                    let record = record.with("task", task.to_string());
                    out.log(record.with("endpoint", id.as_str()));
                    self.failed(id, task, handle, now, out);
                }
                Event::Gone(task, handle, next) => {
                    self.busy.remove(&task);
                    self.log_gone(id, task, out);
                    self.again(task, handle, next, now);
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
                    self.ended(end, batch, out);
                }
                Event::Lapsed(task, handle, next) => {
                    self.busy.remove(&task);
                    self.log_gone(id, task, out);
                    let state = self.endpoints.get(id);
                    let refused = state.is_some_and(|state| state.refuses);
                    self.lapsed((task, handle, next), refused, now);
                }
                Event::Crashed(crash, next) => {
                    self.busy.remove(&crash.task);
                    self.crashed(id, crash, next, now, out);
                }
                Event::Convicted(crash) => self.convict(id, crash, true, now, out),
                Event::Acquitted(task, handle) => self.acquit(task, handle, now),
                Event::Still(task, handle) => self.restart(id, task, handle, now, out),
                Event::Cleared(task) => {
                    self.busy.remove(&task);
                }
                Event::Fenced => {
                    let state = self.endpoints.get(id);
                    if let Some((rack, token)) = state.map(|s| (s.listing.rack_id(), s.token)) {
                        self.fenced.push((rack, token));
                        self.yield_rack(rack, "fenced", out);
                    }
                }
                Event::Reborn => self.reborn(id, now, out),
            }
        }
    }

    fn log_gone(&self, id: &Endpoint, task: TaskId, out: &mut Effects) {
        let record = Record::new("run_gone").job(task.job);
        let record = record.with("task", task.to_string());
        out.log(record.with("endpoint", id.as_str()));
    }

    /// Takes a task from an endpoint where it stands still, and lets the endpoint rest if nothing there comes along.
    ///
    /// Left there, the run kept its room until its caller's time had passed, and its endpoint got more.
    fn restart(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        handle: Handle,
        now: Time,
        out: &mut Effects,
    ) {
        let load = self.loads.get_mut(&handle);
        let progress = load.and_then(|load| load.tasks.get_mut(&task.index));
        let Some(progress) = progress.filter(|progress| progress.restarts < MAX_RESTARTS) else {
            return;
        };
        progress.restarts += 1;
        let record = Record::new("run_still").job(task.job);
        let record = record.with("task", task.to_string());
        out.log(record.with("endpoint", id.as_str()));
        if let Some(state) = self.endpoints.get_mut(id) {
            if state.stands_still(&task, now) {
                state.rest(now);
            }
        }
        self.stop(task, handle, Fate::Again, out);
    }

    pub(super) fn reborn(&mut self, id: &Endpoint, now: Time, out: &mut Effects) {
        let state = self.endpoints.get_mut(id);
        let events = state.map(State::replaced).unwrap_or_default();
        self.act(id, events, now, out);
        if let Some(state) = self.endpoints.get_mut(id) {
            state.delisted = true;
        }
        self.drop_endpoint(id, out);
    }

    pub(super) fn done(&mut self, task: TaskId, handle: Handle, out: &mut Effects) {
        let Some(load) = self.loads.get_mut(&handle) else {
            return;
        };
        if load.tasks.remove(&task.index).is_some() {
            load.done.push(task.index);
        }
        if load.tasks.is_empty() {
            self.finish(handle, Outcome::Done, out);
        }
    }

    pub(super) fn failed(
        &mut self,
        id: &Endpoint,
        task: TaskId,
        handle: Handle,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(load) = self.loads.get_mut(&handle) else {
            return;
        };
        let Some(progress) = load.tasks.get_mut(&task.index) else {
            return;
        };
        progress.failures += 1;
        progress.failed_on = Some(id.clone());
        if progress.failures >= load.batch.attempts {
            return self.finish(handle, Outcome::Failed, out);
        }
        let next = progress.next;
        self.again(task, handle, next, now);
    }

    /// Lets a task wait for its next run.
    pub(super) fn again(&mut self, task: TaskId, handle: Handle, next: Run, now: Time) {
        let Some(mut load) = self.loads.remove(&handle) else {
            return;
        };
        if let Some(progress) = load.tasks.get_mut(&task.index) {
            progress.next = progress.next.max(next);
            self.enqueue(handle, &load, task.index, now);
        }
        self.loads.insert(handle, load);
    }
}

fn fenced(refusal: Refusal) -> Vec<Event> {
    match refusal {
        Refusal::Fenced => vec![Event::Fenced],
        _ => Vec::new(),
    }
}
