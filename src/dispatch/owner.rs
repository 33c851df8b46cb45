//! The owner of racks: the only one that starts, stops and looks at their endpoints.

mod answer;
mod ends;
mod given_up;
mod handover;
mod place;
mod probe;
mod retry;
mod room;
mod suspects;

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet, //
};

pub use self::probe::Verdict;
use self::{
    given_up::GivenUp,
    probe::Probe, //
};
use super::{
    endpoint::{
        Fate,
        State, //
    },
    id::{
        Life,
        RackId,
        Run,
        TaskId,
        Token, //
    },
    message::{
        Batch,
        CallId,
        Cause,
        Contact,
        HeldBatch,
        Listing,
        Message,
        Name,
        Order,
        Outcome,
        Output,
        Record,
        RunEnd,
        Suspicion, //
    },
    queue::{
        Claim,
        Handle,
        Queue,
        Waiting, //
    },
    timeout::Estimator,
};
use crate::prelude::*;

/// A rack that this instance owns.
#[derive(Debug)]
struct Rack {
    token: Token,
    endpoints: Vec<Endpoint>,
    queue: Queue,
    /// Whether its room has changed since it was told.
    changed: bool,
    /// How many of its endpoints took tasks when it was told.
    open: usize,
    /// Whether it had space then.
    spacious: bool,
    /// When its queue is gone through next, if nothing happens before that may let a task start.
    next_review: Time,
}

impl Rack {
    /// Takes note that a task may be able to start: one has come, or something was heard of an endpoint.
    fn review_now(&mut self) {
        self.next_review = Time::default();
    }
}

/// A batch that this instance runs.
#[derive(Debug)]
struct Load {
    entry: Contact,
    batch: Batch,
    /// When a task must start to be on time.
    due: Time,
    /// When an answer is of little use.
    useful: Time,
    /// When nobody waits any more.
    until: Time,
    tasks: BTreeMap<u32, Progress>,
    /// Tasks that are done. The report names them: were it to stand for all that was sent, a task that was sent
    /// back in a message which got lost would count as done.
    done: Vec<u32>,
    started: bool,
}

/// A task that is not done.
#[derive(Debug, Clone)]
struct Progress {
    next: Run,
    failures: u32,
    /// How often it was taken from an endpoint where it stood still.
    restarts: u32,
    /// Whether endpoints crash under it.
    suspicion: Suspicion,
    /// Where its last run failed.
    failed_on: Option<Endpoint>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            next: Run::FIRST,
            failures: 0,
            restarts: 0,
            suspicion: Suspicion::default(),
            failed_on: None,
        }
    }
}

/// What a call was for.
#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    Start(TaskId, Run),
    Stop(Name, Run),
    Look,
    Probe(RackId),
}

/// The racks that an instance owns, and the batches that it runs there.
#[derive(Debug, Default)]
pub struct Owner {
    /// Its instance, which it names to the entries of batches that come with a rack.
    own: Option<Instance>,
    racks: BTreeMap<RackId, Rack>,
    endpoints: BTreeMap<Endpoint, State>,
    loads: BTreeMap<Handle, Load>,
    by_entry: HashMap<(Instance, u64), Handle>,
    /// Where a run of a task is, wanted or not: no other one is started before it has ended.
    busy: HashMap<TaskId, Endpoint>,
    calls: HashMap<CallId, (Endpoint, Purpose)>,
    probes: HashMap<RackId, Probe>,
    /// Racks that were fenced off, with the token that was too low.
    fenced: Vec<(RackId, Token)>,
    /// Entries that are heard: a task is started only for one of these.
    present: HashSet<Instance>,
    /// Entries that were heard once and are not any more.
    gone: HashSet<Instance>,
    given_up: GivenUp,
    /// Data centres where nothing may be started.
    evacuated: BTreeSet<String>,
    /// Tasks that wait until more is known of the endpoints that may have crashed under them, with the latest time of that.
    detained: BTreeMap<TaskId, (Time, Handle)>,
    /// Ends that endpoints list until they are stored, with the time at which each was reported last.
    ends: BTreeMap<(Endpoint, Life, u64), (RunEnd, Option<Time>)>,
    call_timeout: Estimator,
    handles: u64,
    serial: u64,
    claims: u64,
}

/// Where an owner puts what it wants done.
#[derive(Debug, Default)]
pub struct Effects {
    /// For the outside.
    pub outputs: Vec<Output>,
    /// For entries, by name; its own instance's among them.
    pub messages: Vec<(Contact, Message)>,
}

impl Effects {
    fn log(&mut self, record: Record) {
        self.outputs.push(Output::Log(record));
    }

    fn tell(&mut self, to: &Contact, message: Message) {
        self.messages.push((to.clone(), message));
    }
}

impl Owner {
    /// Makes one without racks; an instance always hears its own entry.
    pub fn new(own: &Instance) -> Self {
        Self {
            own: Some(own.clone()),
            present: HashSet::from([own.clone()]),
            ..Self::default()
        }
    }

    /// Returns the racks with their tokens.
    pub fn racks(&self) -> impl Iterator<Item = (RackId, Token)> + '_ {
        self.racks.iter().map(|(rack, state)| (*rack, state.token))
    }

    /// Counts the changes of the racks that it owns.
    pub fn rack_changes(&self) -> u64 {
        self.claims
    }

    /// Tells whether it owns a rack.
    pub fn owns(&self, rack: RackId) -> bool {
        self.racks.contains_key(&rack)
    }

    /// Tells whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.loads.is_empty()
    }

    /// Claims a rack.
    pub fn claim(&mut self, rack: RackId, token: Token, out: &mut Effects) {
        out.log(Record::new("rack_claimed").with("rack", rack.to_string()));
        let fresh = Rack {
            token,
            endpoints: Vec::new(),
            queue: Queue::default(),
            changed: true,
            open: 0,
            spacious: false,
            next_review: Time::default(),
        };
        self.racks.entry(rack).or_insert(fresh).token = token;
        self.claims += 1;
    }

    /// Gives a rack up that another owner has fenced off; its batches go back to their entries.
    pub fn yield_rack(&mut self, rack: RackId, why: &str, out: &mut Effects) {
        let Some(state) = self.racks.remove(&rack) else {
            return;
        };
        self.claims += 1;
        let record = Record::new("rack_yielded").with("rack", rack.to_string());
        out.log(record.with("reason", why));
        for id in &state.endpoints {
            self.forget(id);
        }
        let handles = self.loads_of(rack);
        for handle in handles {
            self.give_back(handle, out);
        }
    }

    fn forget(&mut self, id: &Endpoint) {
        if let Some(state) = self.endpoints.remove(id) {
            for task in state.executions.keys() {
                self.busy.remove(task);
            }
        }
    }

    fn loads_of(&self, rack: RackId) -> Vec<Handle> {
        let of = |(handle, load): (&Handle, &Load)| (load.batch.rack == rack).then_some(*handle);
        let mut handles: Vec<Handle> = self.loads.iter().filter_map(of).collect();
        handles.sort_unstable();
        handles
    }

    fn give_back(&mut self, handle: Handle, out: &mut Effects) {
        if let Some(load) = self.remove_load(handle) {
            load.send_back(out);
        }
    }

    fn remove_load(&mut self, handle: Handle) -> Option<Load> {
        let load = self.loads.remove(&handle)?;
        let key = (load.entry.name.clone(), load.batch.serial);
        if self.by_entry.get(&key) == Some(&handle) {
            self.by_entry.remove(&key);
        }
        self.unqueue(handle, &load);
        Some(load)
    }

    fn unqueue(&mut self, handle: Handle, load: &Load) {
        if let Some(rack) = self.racks.get_mut(&load.batch.rack) {
            for index in load.tasks.keys() {
                let batch = handle;
                rack.queue.remove(Waiting {
                    batch,
                    index: *index,
                });
            }
            rack.changed = true;
        }
    }

    /// Gives everything up, after the process stood still: others have taken over what it had.
    pub fn reset(&mut self, own: &Instance) {
        // Answers to calls of before are for calls that are not known any more.
        *self = Self {
            serial: self.serial,
            claims: self.claims + 1,
            evacuated: std::mem::take(&mut self.evacuated),
            ..Self::new(own)
        };
    }

    /// Takes note of the endpoints that the platform lists.
    pub fn update_endpoints(&mut self, listings: &[Listing], now: Time, out: &mut Effects) {
        for state in self.endpoints.values_mut() {
            state.delisted = true;
        }
        let mut renewed = Vec::new();
        for listing in listings {
            let Some(rack) = self.racks.get_mut(&listing.rack_id()) else {
                continue;
            };
            rack.changed = true;
            rack.review_now();
            if let Some(state) = self.endpoints.get_mut(&listing.id) {
                if listing.draining && !state.listing.draining {
                    let record = Record::new("endpoint_leaving");
                    out.log(record.with("endpoint", listing.id.as_str()));
                }
                state.list(listing.clone());
                let events = state.live(listing.life, now);
                renewed.push((listing.id.clone(), events));
                continue;
            }
            let mut state = State::claim(listing.clone(), rack.token, now);
            state.evacuated = self.evacuated.contains(&listing.centre);
            self.endpoints.insert(listing.id.clone(), state);
            rack.endpoints.push(listing.id.clone());
        }
        for (id, events) in renewed {
            self.act(&id, events, now, out);
        }
        let idle = |state: &State| state.delisted && state.executions.is_empty();
        let gone: Vec<Endpoint> = self
            .endpoints
            .iter()
            .filter(|(_, state)| idle(state))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.drop_endpoint(&id, out);
        }
    }

    /// Starts nothing in these data centres from now on; what runs there ends by itself.
    pub fn set_evacuated_centres(&mut self, centres: &BTreeSet<String>) {
        self.evacuated.clone_from(centres);
        for state in self.endpoints.values_mut() {
            state.evacuated = centres.contains(&state.listing.centre);
        }
        for rack in self.racks.values_mut() {
            rack.changed = true;
            rack.review_now();
        }
    }

    fn drop_endpoint(&mut self, id: &Endpoint, out: &mut Effects) {
        out.log(Record::new("endpoint_gone").with("endpoint", id.as_str()));
        if let Some(state) = self.endpoints.get(id) {
            out.outputs
                .push(Output::Disconnect(state.listing.address.clone()));
        }
        self.forget(id);
        for rack in self.racks.values_mut() {
            rack.endpoints.retain(|known| known != id);
            rack.changed = true;
        }
    }

    /// Sends a batch back of which nothing was started.
    pub fn decline(&self, entry: &Contact, batch: Batch, out: &mut Effects) {
        let message = Message::Returned {
            serial: batch.serial,
            tasks: batch.tasks,
            started: false,
            cause: Cause::Lost,
        };
        out.tell(entry, message);
    }

    /// Returns the entries of the batches that it runs.
    pub fn entries(&self) -> HashSet<&Instance> {
        self.loads.values().map(|load| &load.entry.name).collect()
    }

    /// Takes a batch in.
    pub fn accept(&mut self, entry: &Contact, batch: Batch, now: Time, out: &mut Effects) {
        let key = (entry.name.clone(), batch.serial);
        if self.by_entry.contains_key(&key) {
            return;
        }
        if !self.racks.contains_key(&batch.rack) {
            return self.decline(entry, batch, out);
        }
        let fresh = |index: &u32| (*index, Progress::default());
        let tasks = batch.tasks.iter().map(fresh).collect();
        self.load(entry, batch, tasks, false, now);
    }

    fn load(
        &mut self,
        entry: &Contact,
        batch: Batch,
        tasks: BTreeMap<u32, Progress>,
        started: bool,
        now: Time,
    ) -> Handle {
        self.handles += 1;
        let handle = Handle(self.handles);
        let key = (entry.name.clone(), batch.serial);
        self.by_entry.insert(key, handle);
        let load = Load {
            entry: entry.clone(),
            due: batch.slack.map_or(now, |slack| now + slack),
            useful: now + batch.useful,
            until: now + batch.time_left,
            batch,
            tasks,
            done: Vec::new(),
            started,
        };
        for index in load.tasks.keys() {
            self.enqueue(handle, &load, *index, now);
        }
        self.loads.insert(handle, load);
        handle
    }

    fn enqueue(&mut self, batch: Handle, load: &Load, index: u32, now: Time) {
        if let Some(rack) = self.racks.get_mut(&load.batch.rack) {
            let waiting = Waiting { batch, index };
            let claim = Claim {
                due: load.due,
                priority: load.batch.priority,
                job: load.batch.work,
                work: load.batch.need.cpu * load.batch.estimate.as_millis() / 1_000,
            };
            rack.queue.push(waiting, claim, now);
            rack.changed = true;
            rack.review_now();
        }
    }

    /// Drops a batch as its entry asked, and tells whether a start of it ever left.
    ///
    /// One that has been handed over, or is still on its way here with its rack, says nothing of what was started of it:
    /// told "none", its entry told the caller that nothing was run. It is dropped when it comes.
    pub fn cancel(&mut self, entry: &Contact, serial: u64, now: Time, out: &mut Effects) {
        let key = (entry.name.clone(), serial);
        let Some(handle) = self.by_entry.get(&key).copied() else {
            self.given_up.add(key, now);
            return out.tell(entry, Message::Unknown(vec![serial]));
        };
        let started = self.drop_load(handle, out);
        let message = Message::Report {
            serial,
            outcome: Outcome::Dropped,
            done: Vec::new(),
            started,
        };
        out.tell(entry, message);
    }

    /// Takes note that an entry is heard.
    pub fn mark_entry_alive(&mut self, entry: &Instance) {
        if !self.present.contains(entry) {
            self.present.insert(entry.clone());
            self.gone.remove(entry);
            self.racks.values_mut().for_each(Rack::review_now);
        }
    }

    /// Stops all that an instance had here, which is gone or has begun anew.
    pub fn drop_entry(&mut self, entry: &Instance, out: &mut Effects) {
        if self.present.remove(entry) {
            self.gone.insert(entry.clone());
        }
        let of = |(handle, load): (&Handle, &Load)| (load.entry.name == *entry).then_some(*handle);
        let mut handles: Vec<Handle> = self.loads.iter().filter_map(of).collect();
        handles.sort_unstable();
        for handle in handles {
            let job = self.loads[&handle].batch.job;
            let record = Record::new("batch_abandoned").job(job);
            out.log(record.with("entry", entry.as_str()));
            self.drop_load(handle, out);
        }
    }

    /// Drops a batch's tasks and stops its runs; returns whether a start ever left.
    fn drop_load(&mut self, handle: Handle, out: &mut Effects) -> bool {
        let Some(load) = self.remove_load(handle) else {
            return false;
        };
        for index in load.tasks.keys() {
            let task = load.task(*index);
            self.stop(task, handle, Fate::Drop, out);
        }
        load.started
    }

    fn stop(&mut self, task: TaskId, handle: Handle, fate: Fate, out: &mut Effects) {
        let Some(id) = self.busy.get(&task).cloned() else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        if state
            .executions
            .get(&task)
            .is_none_or(|execution| execution.batch != handle)
        {
            return;
        }
        if let Some(order) = state.stop(task, fate) {
            let Order::Stop { task, run, .. } = &order else {
                return;
            };
            let purpose = Purpose::Stop(task.clone(), *run);
            self.call(&id, order, purpose, false, out);
        }
    }

    fn call(
        &mut self,
        id: &Endpoint,
        order: Order,
        purpose: Purpose,
        fresh: bool,
        out: &mut Effects,
    ) {
        let call = self.next_call();
        self.send(call, id, order, purpose, fresh, out);
    }

    fn next_call(&mut self) -> CallId {
        self.serial += 1;
        CallId(self.serial)
    }

    fn send(
        &mut self,
        call: CallId,
        id: &Endpoint,
        order: Order,
        purpose: Purpose,
        fresh: bool,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let wait = match &order {
            Order::Look { wait, .. } => *wait,
            _ => Span(0),
        };
        let patience = wait + self.call_timeout.timeout();
        self.calls.insert(call, (id.clone(), purpose));
        out.outputs.push(Output::Call {
            call,
            endpoint: id.clone(),
            address: state.listing.address.clone(),
            order,
            timeout: patience,
            fresh,
        });
    }

    fn finish(&mut self, handle: Handle, outcome: Outcome, out: &mut Effects) {
        let told = self.loads.get(&handle).map(|load| {
            let serial = load.batch.serial;
            (load.entry.clone(), serial, load.done.clone())
        });
        let started = self.drop_load(handle, out);
        if let Some((entry, serial, done)) = told {
            let message = Message::Report {
                serial,
                outcome,
                done,
                started,
            };
            out.tell(&entry, message);
        }
    }

    /// Answers which batches of an entry are not here.
    pub fn report_unknown_batches(&self, entry: &Contact, serials: Vec<u64>, out: &mut Effects) {
        let unknown = |serial: &u64| {
            let key = (entry.name.clone(), *serial);
            !self.by_entry.contains_key(&key)
        };
        let unknown: Vec<u64> = serials.into_iter().filter(unknown).collect();
        if !unknown.is_empty() {
            out.tell(entry, Message::Unknown(unknown));
        }
    }
}

impl Load {
    /// Tells its entry that it isn't run here any more, and what of it has ended: that would be run again.
    fn send_back(&self, out: &mut Effects) {
        let serial = self.batch.serial;
        let message = Message::Returned {
            serial,
            tasks: self.tasks.keys().copied().collect(),
            started: self.started,
            cause: Cause::Lost,
        };
        out.tell(&self.entry, message);
        if !self.done.is_empty() {
            let message = Message::Report {
                serial,
                outcome: Outcome::Done,
                done: self.done.clone(),
                started: true,
            };
            out.tell(&self.entry, message);
        }
    }

    fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.batch.job,
            step: self.batch.step,
            index,
        }
    }

    /// Returns what is known of endpoints that crashed, or may have, under a task.
    fn suspicion(&self, index: u32) -> Suspicion {
        let progress = self.tasks.get(&index);
        progress.map_or_else(Suspicion::default, |progress| progress.suspicion)
    }

    fn held(self, now: Time) -> HeldBatch {
        let mut batch = self.batch;
        batch.slack = (self.due > now).then(|| self.due.since(now));
        batch.useful = self.useful.since(now);
        batch.time_left = self.until.since(now);
        batch.tasks = self.tasks.keys().copied().collect();
        HeldBatch {
            entry: self.entry,
            next: self.tasks.values().map(|p| p.next).collect(),
            failures: self.tasks.values().map(|p| p.failures).collect(),
            suspicions: self.tasks.values().map(|p| p.suspicion).collect(),
            done: self.done,
            started: self.started,
            batch,
        }
    }
}
