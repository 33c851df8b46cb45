//! The owner of racks: the only one that starts, stops and looks at their endpoints.

use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

use super::{
    endpoint::{
        Event,
        Fate,
        Phase,
        Post,
        Refused,
        Standing,
        State,
        START_TRIES, //
    },
    id::{
        RackId,
        Run,
        TaskId,
        Token, //
    },
    message::{
        CallId,
        Contact,
        Handover,
        Held,
        Letter,
        Listing,
        Name,
        Order,
        Outcome,
        Output,
        Parcel,
        Posted,
        Record,
        Refusal,
        Reply,
        Vacancy, //
    },
    patience::Patience,
    queue::{
        Handle,
        Queue,
        Waiting, //
    },
    task::Room,
};
use crate::prelude::*;

/// Tasks that wait whose need is tried against the endpoints, when those before them don't fit: callers' needs
/// differ little, so a longer look seldom finds one that does.
const LOOK_AHEAD: usize = 24;

/// The share of its estimate that a task takes at the least: estimates are off by up to four tenths.
const LEAST_SHARE: f64 = 0.6;

/// An endpoint has room to ask for tasks of others with when at least one part in this many of it is free.
const SPACE: u64 = 4;

/// Between probes of a rack whose owner has fallen silent: its leases pass within half a second of that.
const PROBE: Span = Span::millis(100);

/// How long endpoints may take to answer a probe.
const PROBE_PATIENCE: Span = Span::millis(150);

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
}

/// A parcel that this instance runs.
#[derive(Debug)]
struct Load {
    entry: Contact,
    parcel: Parcel,
    /// When a task must start to be on time.
    due: Time,
    /// When an answer is of little use.
    useful: Time,
    /// When nobody waits any more.
    until: Time,
    tasks: BTreeMap<u32, Progress>,
    started: bool,
}

/// A task that is not done.
#[derive(Debug, Clone, Copy)]
struct Progress {
    next: Run,
    failures: u32,
}

/// What a call was for.
#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    Start(TaskId, Run),
    Stop(Name, Run),
    Look,
    Probe(RackId),
}

/// What endpoints of a rack say that belonged to a member that has fallen silent.
#[derive(Debug)]
struct Probe {
    pending: HashSet<CallId>,
    answered: usize,
    running: bool,
    /// When the next one may leave.
    again: Time,
}

/// Whether a rack can be taken over from a silent owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing runs there any more.
    Free,
    /// It isn't known yet, or its owner still extends leases there, or it can't be reached.
    Wait,
}

/// The racks that an instance owns, and the parcels that it runs there.
#[derive(Debug, Default)]
pub struct Owner {
    racks: BTreeMap<RackId, Rack>,
    endpoints: HashMap<Endpoint, State>,
    loads: HashMap<Handle, Load>,
    by_entry: HashMap<(Instance, u64), Handle>,
    /// Where a run of a task is, wanted or not: no other one is started before it has ended.
    busy: HashMap<TaskId, Endpoint>,
    calls: HashMap<CallId, (Endpoint, Purpose)>,
    probes: HashMap<RackId, Probe>,
    /// Racks that were fenced off, with the token that was too low.
    fenced: Vec<(RackId, Token)>,
    /// Entries that are heard: a task is started only for one of these.
    present: HashSet<Instance>,
    patience: Patience,
    handles: u64,
    serial: u64,
}

/// Where an owner puts what it wants done.
#[derive(Debug, Default)]
pub struct Effects {
    /// For the outside.
    pub outputs: Vec<Output>,
    /// For entries, by name; its own instance's among them.
    pub letters: Vec<(Contact, Letter)>,
}

impl Effects {
    fn log(&mut self, record: Record) {
        self.outputs.push(Output::Log(record));
    }

    fn tell(&mut self, to: &Contact, letter: Letter) {
        self.letters.push((to.clone(), letter));
    }
}

impl Owner {
    /// Makes one without racks; an instance always hears its own entry.
    pub fn new(own: &Instance) -> Self {
        Self {
            present: HashSet::from([own.clone()]),
            ..Self::default()
        }
    }

    /// Tells whether the room of some rack has changed since it was told.
    pub fn changed(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| rack.changed || rack.open != self.open(rack, now))
    }

    /// Counts the endpoints of a rack that take tasks.
    fn open(&self, rack: &Rack, now: Time) -> usize {
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        states.filter(|state| state.takes(now)).count()
    }

    /// Returns the racks with their tokens.
    pub fn racks(&self) -> impl Iterator<Item = (RackId, Token)> + '_ {
        self.racks.iter().map(|(rack, state)| (*rack, state.token))
    }

    /// Tells whether it owns a rack.
    pub fn owns(&self, rack: RackId) -> bool {
        self.racks.contains_key(&rack)
    }

    /// Tells whether nothing waits or runs.
    pub fn idle(&self) -> bool {
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
        };
        self.racks.entry(rack).or_insert(fresh).token = token;
    }

    /// Asks the endpoints of a rack whose owner has fallen silent whether it still keeps anything running there.
    ///
    /// An instance that can't hear another may be the one that is cut off. If both claimed each other's racks they
    /// would fence each other off by turns and stop everything that runs, over and over. So the silent
    /// owner's own token is used, which changes nothing: what it has running ends within a lease of its death,
    /// and whatever still runs later is kept alive by it.
    pub fn probe(
        &mut self,
        rack: RackId,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) -> Verdict {
        if let Some(probe) = self.probes.get(&rack) {
            let over = probe.pending.is_empty();
            if over && probe.answered > 0 && !probe.running {
                self.probes.remove(&rack);
                return Verdict::Free;
            }
            if !over || now < probe.again {
                return Verdict::Wait;
            }
        }
        let mut probe = Probe {
            pending: HashSet::new(),
            answered: 0,
            running: false,
            again: now + PROBE,
        };
        for listing in listings.iter().filter(|l| l.rack_id() == rack) {
            let call = self.next_call();
            probe.pending.insert(call);
            let purpose = Purpose::Probe(rack);
            self.calls.insert(call, (listing.id.clone(), purpose));
            out.outputs.push(Output::Call {
                call,
                endpoint: listing.id.clone(),
                address: listing.address.clone(),
                order: Order::Look {
                    lease: None,
                    token,
                    seen: 0,
                    wait: Span(0),
                },
                patience: PROBE_PATIENCE,
                fresh: false,
            });
        }
        self.probes.insert(rack, probe);
        Verdict::Wait
    }

    /// Takes note of what an endpoint says to a probe. One that refuses the token belongs to somebody else.
    fn probed(&mut self, rack: RackId, call: CallId, reply: &Reply) {
        let Some(probe) = self.probes.get_mut(&rack) else {
            return;
        };
        if !probe.pending.remove(&call) {
            return;
        }
        match reply {
            Reply::Looked { running, .. } => {
                probe.answered += 1;
                probe.running |= !running.is_empty();
            }
            Reply::Refused { .. } => probe.running = true,
            _ => {}
        }
    }

    /// Returns the racks that were fenced off since it was asked last.
    pub fn take_fenced(&mut self) -> Vec<(RackId, Token)> {
        std::mem::take(&mut self.fenced)
    }

    /// Gives a rack up that another owner has fenced off; its parcels go back to their entries.
    pub fn yield_rack(&mut self, rack: RackId, why: &str, out: &mut Effects) {
        let Some(state) = self.racks.remove(&rack) else {
            return;
        };
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
            for task in state.posts.keys() {
                self.busy.remove(task);
            }
        }
    }

    fn loads_of(&self, rack: RackId) -> Vec<Handle> {
        let of = |(handle, load): (&Handle, &Load)| (load.parcel.rack == rack).then_some(*handle);
        let mut handles: Vec<Handle> = self.loads.iter().filter_map(of).collect();
        handles.sort_unstable();
        handles
    }

    fn give_back(&mut self, handle: Handle, out: &mut Effects) {
        let Some(load) = self.remove_load(handle) else {
            return;
        };
        let letter = Letter::Returned {
            serial: load.parcel.serial,
            tasks: load.tasks.keys().copied().collect(),
            started: load.started,
            hint: None,
        };
        out.tell(&load.entry, letter);
    }

    fn remove_load(&mut self, handle: Handle) -> Option<Load> {
        let load = self.loads.remove(&handle)?;
        let key = (load.entry.name.clone(), load.parcel.serial);
        if self.by_entry.get(&key) == Some(&handle) {
            self.by_entry.remove(&key);
        }
        self.unqueue(handle, &load);
        Some(load)
    }

    fn unqueue(&mut self, handle: Handle, load: &Load) {
        if let Some(rack) = self.racks.get_mut(&load.parcel.rack) {
            for index in load.tasks.keys() {
                let parcel = handle;
                rack.queue.remove(Waiting {
                    parcel,
                    index: *index,
                });
            }
            rack.changed = true;
        }
    }

    /// Gives everything up, after the process stood still: others have taken over what it had.
    pub fn void(&mut self, own: &Instance) {
        // Answers to calls of before are for calls that are not known any more.
        *self = Self {
            serial: self.serial,
            ..Self::new(own)
        };
    }

    /// Takes note of the endpoints that the platform lists.
    pub fn list(&mut self, listings: &[Listing], now: Time, out: &mut Effects) {
        for state in self.endpoints.values_mut() {
            state.delisted = true;
        }
        for listing in listings {
            let Some(rack) = self.racks.get_mut(&listing.rack_id()) else {
                continue;
            };
            rack.changed = true;
            if let Some(state) = self.endpoints.get_mut(&listing.id) {
                state.delisted = false;
                if listing.draining && !state.listing.draining {
                    let record = Record::new("endpoint_leaving");
                    out.log(record.with("endpoint", listing.id.as_str()));
                }
                state.listing = listing.clone();
                continue;
            }
            let state = State::claim(listing.clone(), rack.token, now);
            self.endpoints.insert(listing.id.clone(), state);
            rack.endpoints.push(listing.id.clone());
        }
        let idle = |state: &State| state.delisted && state.posts.is_empty();
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

    fn drop_endpoint(&mut self, id: &Endpoint, out: &mut Effects) {
        out.log(Record::new("endpoint_gone").with("endpoint", id.as_str()));
        if let Some(state) = self.endpoints.get(id) {
            out.outputs
                .push(Output::Forget(state.listing.address.clone()));
        }
        self.forget(id);
        for rack in self.racks.values_mut() {
            rack.endpoints.retain(|known| known != id);
            rack.changed = true;
        }
    }

    /// Takes a parcel in.
    pub fn accept(&mut self, entry: &Contact, parcel: Parcel, now: Time, out: &mut Effects) {
        let key = (entry.name.clone(), parcel.serial);
        if self.by_entry.contains_key(&key) {
            return;
        }
        if !self.racks.contains_key(&parcel.rack) {
            let letter = Letter::Returned {
                serial: parcel.serial,
                tasks: parcel.tasks,
                started: false,
                hint: None,
            };
            out.tell(entry, letter);
            return;
        }
        let progress = Progress {
            next: Run::FIRST,
            failures: 0,
        };
        let tasks = parcel.tasks.iter().map(|i| (*i, progress)).collect();
        self.load(entry, parcel, tasks, false, now);
    }

    fn load(
        &mut self,
        entry: &Contact,
        parcel: Parcel,
        tasks: BTreeMap<u32, Progress>,
        started: bool,
        now: Time,
    ) -> Handle {
        self.handles += 1;
        let handle = Handle(self.handles);
        let key = (entry.name.clone(), parcel.serial);
        self.by_entry.insert(key, handle);
        let load = Load {
            entry: entry.clone(),
            due: parcel.slack.map_or(now, |slack| now + slack),
            useful: now + parcel.useful,
            until: now + parcel.left,
            parcel,
            tasks,
            started,
        };
        for index in load.tasks.keys() {
            self.enqueue(handle, &load, *index, now);
        }
        self.loads.insert(handle, load);
        handle
    }

    fn enqueue(&mut self, parcel: Handle, load: &Load, index: u32, now: Time) {
        if let Some(rack) = self.racks.get_mut(&load.parcel.rack) {
            let waiting = Waiting { parcel, index };
            let work = load.parcel.need.cpu * load.parcel.estimate.as_millis() / 1_000;
            rack.queue.push(waiting, load.due, now, work);
            rack.changed = true;
        }
    }

    /// Drops a parcel as its entry asked, and tells whether a start of it ever left.
    pub fn cancel(&mut self, entry: &Contact, serial: u64, out: &mut Effects) {
        let key = (entry.name.clone(), serial);
        let handle = self.by_entry.get(&key).copied();
        let started = handle.is_some_and(|handle| self.drop_load(handle, out));
        let letter = Letter::Report {
            serial,
            outcome: Outcome::Dropped,
            started,
        };
        out.tell(entry, letter);
    }

    /// Takes note that an entry is heard.
    pub fn hear(&mut self, entry: &Instance) {
        if !self.present.contains(entry) {
            self.present.insert(entry.clone());
        }
    }

    /// Stops all that an instance had here, which is gone or has begun anew.
    pub fn abandon(&mut self, entry: &Instance, out: &mut Effects) {
        self.present.remove(entry);
        let of = |(handle, load): (&Handle, &Load)| (load.entry.name == *entry).then_some(*handle);
        let mut handles: Vec<Handle> = self.loads.iter().filter_map(of).collect();
        handles.sort_unstable();
        for handle in handles {
            let job = self.loads[&handle].parcel.job;
            let record = Record::new("parcel_abandoned").job(job);
            out.log(record.with("entry", entry.as_str()));
            self.drop_load(handle, out);
        }
    }

    /// Drops a parcel's tasks and stops its runs; returns whether a start ever left.
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
            .posts
            .get(&task)
            .is_none_or(|post| post.parcel != handle)
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
        self.send(call, id, order, purpose, Span(0), fresh, out);
    }

    fn next_call(&mut self) -> CallId {
        self.serial += 1;
        CallId(self.serial)
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        call: CallId,
        id: &Endpoint,
        order: Order,
        purpose: Purpose,
        wait: Span,
        fresh: bool,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let patience = Span(wait.0 + self.patience.span().0);
        self.calls.insert(call, (id.clone(), purpose));
        out.outputs.push(Output::Call {
            call,
            endpoint: id.clone(),
            address: state.listing.address.clone(),
            order,
            patience,
            fresh,
        });
    }

    /// Takes the answer of an endpoint, or its absence.
    pub fn called(&mut self, call: CallId, sent: Time, reply: Reply, now: Time, out: &mut Effects) {
        let Some((id, purpose)) = self.calls.remove(&call) else {
            return;
        };
        if let Purpose::Probe(rack) = purpose {
            return self.probed(rack, call, &reply);
        }
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (Reply::Done { clock } | Reply::Looked { clock, .. } | Reply::Refused { clock, .. }) =
            &reply
        else {
            if reply == Reply::Silent {
                self.patience.missed();
            }
            return self.unanswered(call, &id, purpose, reply, now, out);
        };
        if purpose != Purpose::Look {
            self.patience.answered(now.since(sent));
        }
        state.answered(*clock, sent, now);
        let events = match (purpose, reply) {
            (Purpose::Look, Reply::Looked { running, ended, .. }) => {
                let (events, strangers) = state.looked(call, sent, running, ended, now);
                for (task, run) in strangers {
                    self.stop_stranger(&id, task, run, out);
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

    fn stop_stranger(&mut self, id: &Endpoint, task: Name, run: Run, out: &mut Effects) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let name = match &task {
            Name::Known(task) => task.to_string(),
            Name::Foreign(name) => name.clone(),
        };
        let record = Record::new("stranger_stopped").with("endpoint", id.as_str());
        out.log(record.with("task", name).with("run", run.0));
        let order = state.stop_again(task.clone(), run);
        self.call(id, order, Purpose::Stop(task, run), false, out);
    }

    fn start_refused(
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
                let handle = state.posts.get(&task).map(|post| post.parcel);
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
    fn unanswered(
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
                let Some(post) = state.posts.get_mut(&task) else {
                    return;
                };
                if post.run != run {
                    return;
                }
                // A stop must arrive: it is sent again until the endpoint answers or its leases have passed.
                post.tries = post.tries.saturating_add(1);
                let order = state.stop_again(Name::Known(task), run);
                let purpose = Purpose::Stop(Name::Known(task), run);
                self.call(id, order, purpose, true, out);
            }
            // The next look shows a stranger that is still there.
            Purpose::Stop(Name::Foreign(_), _) | Purpose::Probe(_) => {}
        }
    }

    fn start_unanswered(
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
        let Some(post) = state.posts.get_mut(&task) else {
            return;
        };
        if post.run != run || post.phase != Phase::Starting {
            return;
        }
        let nothing_done = matches!(reply, Reply::Unwell | Reply::Unsent);
        post.doubt |= !nothing_done;
        post.tries += 1;
        let (handle, doubt, tries) = (post.parcel, post.doubt, post.tries);
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
        let spec = self.loads.get(&handle).map(|load| load.parcel.spec.clone());
        if tries <= START_TRIES {
            if let Some(order) = spec.and_then(|s| state.start_again(task, run, s, now)) {
                let purpose = Purpose::Start(task, run);
                return self.call(id, order, purpose, true, out);
            }
        }
        self.stop(task, handle, Fate::Again, out);
    }

    fn touch(&mut self, id: &Endpoint) {
        if let Some(state) = self.endpoints.get(id) {
            if let Some(rack) = self.racks.get_mut(&state.listing.rack_id()) {
                rack.changed = true;
            }
        }
    }

    fn act(&mut self, id: &Endpoint, events: Vec<Event>, now: Time, out: &mut Effects) {
        if !events.is_empty() {
            self.touch(id);
        }
        for event in events {
            match event {
                Event::Done(task, handle) => {
                    self.busy.remove(&task);
                    self.done(task, handle, out);
                }
                Event::Failed(task, handle) => {
                    self.busy.remove(&task);
                    let record = Record::new("task_failed").job(task.job);
                    let record = record.with("task", task.to_string());
                    out.log(record.with("endpoint", id.as_str()));
                    self.failed(task, handle, now, out);
                }
                Event::Gone(task, handle, next) => {
                    self.busy.remove(&task);
                    let record = Record::new("run_gone").job(task.job);
                    let record = record.with("task", task.to_string());
                    out.log(record.with("endpoint", id.as_str()));
                    self.again(task, handle, next, now);
                }
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

    fn reborn(&mut self, id: &Endpoint, now: Time, out: &mut Effects) {
        let mut events = Vec::new();
        if let Some(state) = self.endpoints.get_mut(id) {
            state.lose_all(&mut events);
        }
        self.act(id, events, now, out);
        if let Some(state) = self.endpoints.get_mut(id) {
            state.delisted = true;
        }
        self.drop_endpoint(id, out);
    }

    fn done(&mut self, task: TaskId, handle: Handle, out: &mut Effects) {
        let Some(load) = self.loads.get_mut(&handle) else {
            return;
        };
        load.tasks.remove(&task.index);
        if load.tasks.is_empty() {
            self.finish(handle, Outcome::Done, out);
        }
    }

    fn failed(&mut self, task: TaskId, handle: Handle, now: Time, out: &mut Effects) {
        let Some(load) = self.loads.get_mut(&handle) else {
            return;
        };
        let Some(progress) = load.tasks.get_mut(&task.index) else {
            return;
        };
        progress.failures += 1;
        if progress.failures >= load.parcel.attempts {
            return self.finish(handle, Outcome::Failed, out);
        }
        let next = progress.next;
        self.again(task, handle, next, now);
    }

    /// Lets a task wait for its next run.
    fn again(&mut self, task: TaskId, handle: Handle, next: Run, now: Time) {
        let Some(mut load) = self.loads.remove(&handle) else {
            return;
        };
        if let Some(progress) = load.tasks.get_mut(&task.index) {
            progress.next = progress.next.max(next);
            self.enqueue(handle, &load, task.index, now);
        }
        self.loads.insert(handle, load);
    }

    fn finish(&mut self, handle: Handle, outcome: Outcome, out: &mut Effects) {
        let told = self.loads.get(&handle).map(|load| {
            let serial = load.parcel.serial;
            (load.entry.clone(), serial)
        });
        let started = self.drop_load(handle, out);
        if let Some((entry, serial)) = told {
            let letter = Letter::Report {
                serial,
                outcome,
                started,
            };
            out.tell(&entry, letter);
        }
    }

    /// Answers which parcels of an entry are not here.
    pub fn audit(&self, entry: &Contact, serials: Vec<u64>, out: &mut Effects) {
        let unknown = |serial: &u64| {
            let key = (entry.name.clone(), *serial);
            !self.by_entry.contains_key(&key)
        };
        let unknown: Vec<u64> = serials.into_iter().filter(unknown).collect();
        if !unknown.is_empty() {
            out.tell(entry, Letter::Unknown(unknown));
        }
    }

    /// Does what is due: places what waits, looks where something runs, gives up what has lapsed.
    pub fn work(&mut self, now: Time, out: &mut Effects) {
        self.lapse(now, out);
        let racks: Vec<RackId> = self.racks.keys().copied().collect();
        for rack in racks {
            self.place(rack, now, out);
        }
        self.look(now, out);
    }

    fn lapse(&mut self, now: Time, out: &mut Effects) {
        let ids: Vec<Endpoint> = self
            .endpoints
            .iter()
            .filter(|(_, s)| s.standing == Standing::Silent && !s.posts.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let events = match self.endpoints.get_mut(&id) {
                Some(state) => state.lapse(now),
                None => continue,
            };
            self.act(&id, events, now, out);
        }
    }

    fn look(&mut self, now: Time, out: &mut Effects) {
        let due = |(id, state): (&Endpoint, &State)| (state.next_look() <= now).then(|| id.clone());
        let ids: Vec<Endpoint> = self.endpoints.iter().filter_map(due).collect();
        for id in ids {
            let call = self.next_call();
            let Some(state) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let fresh = state.standing == Standing::Silent;
            if let Some((order, wait)) = state.look(call, now) {
                self.send(call, &id, order, Purpose::Look, wait, fresh, out);
            }
        }
    }

    /// Starts tasks that wait on a rack, as far as there is room.
    fn place(&mut self, id: RackId, now: Time, out: &mut Effects) {
        let Some(rack) = self.racks.get_mut(&id) else {
            return;
        };
        if rack.queue.is_empty() {
            return;
        }
        rack.queue.demote(now);
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        let mut misfits: Vec<(Room, Option<String>)> = Vec::new();
        let mut hopeless = Vec::new();
        for waiting in waiting {
            let Some(load) = self.loads.get(&waiting.parcel) else {
                continue;
            };
            let least = Span((load.parcel.estimate.0 as f64 * LEAST_SHARE) as u64);
            if now + least > load.until {
                hopeless.push(waiting.parcel);
                continue;
            }
            let kind = (load.parcel.need, load.parcel.label.clone());
            let task = load.task(waiting.index);
            let absent = !self.present.contains(&load.entry.name);
            if absent || self.busy.contains_key(&task) {
                continue;
            }
            let room = match misfits.contains(&kind) {
                true => None,
                false => self.pick(id, load, now),
            };
            if let Some(endpoint) = room {
                self.start(id, &endpoint, waiting, task, now, out);
            } else if now + least > load.useful && !load.started {
                hopeless.push(waiting.parcel);
            } else if misfits.len() >= LOOK_AHEAD {
                break;
            } else if !misfits.contains(&kind) {
                misfits.push(kind);
            }
        }
        hopeless.dedup();
        for handle in hopeless {
            if let Some(load) = self.loads.get(&handle) {
                let record = Record::new("parcel_hopeless").job(load.parcel.job);
                let record = record.with("left_ms", load.until.since(now));
                out.log(record.with("estimate_ms", load.parcel.estimate));
            }
            self.finish(handle, Outcome::Hopeless, out);
        }
    }

    /// Picks the endpoint that a task fits in most closely, so that wide gaps stay for wide tasks.
    fn pick(&self, rack: RackId, load: &Load, now: Time) -> Option<Endpoint> {
        let parcel = &load.parcel;
        let fits = |state: &&State| {
            let labelled = parcel
                .label
                .as_ref()
                .is_none_or(|label| state.listing.labels.contains(label));
            let of_step =
                |(task, _): &(&TaskId, &Post)| task.job == parcel.job && task.step == parcel.step;
            let spread = parcel
                .per_endpoint
                .is_none_or(|most| state.posts.iter().filter(of_step).count() < most as usize);
            state.takes(now) && state.free.fits(&parcel.need) && labelled && spread
        };
        let rack = self.racks.get(&rack)?;
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        let best = states.filter(fits).min_by_key(|state| state.free.cpu)?;
        Some(best.listing.id.clone())
    }

    fn start(
        &mut self,
        rack: RackId,
        id: &Endpoint,
        waiting: Waiting,
        task: TaskId,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(load) = self.loads.get_mut(&waiting.parcel) else {
            return;
        };
        let Some(progress) = load.tasks.get_mut(&waiting.index) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let run = progress.next;
        progress.next = run.next();
        load.started = true;
        let post = Post::new(waiting.parcel, run, load.parcel.need, now);
        let Some(order) = state.start(task, post, load.parcel.spec.clone(), now) else {
            return;
        };
        self.busy.insert(task, id.clone());
        if let Some(rack) = self.racks.get_mut(&rack) {
            rack.queue.remove(waiting);
            rack.changed = true;
        }
        let record = Record::routine("task_started").job(task.job);
        let record = record.with("task", task.to_string()).with("run", run.0);
        out.log(record.with("endpoint", id.as_str()));
        let purpose = Purpose::Start(task, run);
        self.call(id, order, purpose, false, out);
    }

    /// Tells the room of racks where it has changed, or of all.
    pub fn rooms(&mut self, all: bool, now: Time) -> Vec<Vacancy> {
        let mut rooms = Vec::new();
        for (id, rack) in &self.racks {
            let open = self.open(rack, now);
            if !all && !rack.changed && open == rack.open {
                continue;
            }
            let states = rack
                .endpoints
                .iter()
                .filter_map(|id| self.endpoints.get(id));
            let takes = states.filter(|state| state.takes(now));
            let movable = |w: &Waiting| self.loads.get(&w.parcel).is_some_and(|l| !l.parcel.tied);
            rooms.push(Vacancy {
                rack: *id,
                free: takes.map(|state| state.free).collect(),
                waiting: rack.queue.len() as u32,
                movable: rack.queue.iter().filter(movable).count() as u32,
                backlog: rack.queue.work(),
            });
        }
        for vacancy in &rooms {
            if let Some(rack) = self.racks.get_mut(&vacancy.rack) {
                rack.changed = false;
                rack.open = vacancy.free.len();
            }
        }
        rooms
    }

    /// Returns the racks where nothing waits, with the room of the endpoints that have some.
    pub fn spacious(&self, now: Time) -> Vec<(RackId, Vec<Room>)> {
        let idle = self.racks.iter().filter(|(_, rack)| rack.queue.is_empty());
        let mut found = Vec::new();
        for (id, rack) in idle {
            let states = rack
                .endpoints
                .iter()
                .filter_map(|id| self.endpoints.get(id));
            let open =
                states.filter(|s| s.takes(now) && s.free.cpu * SPACE >= s.listing.capacity.cpu);
            let rooms: Vec<Room> = open.map(|state| state.free).collect();
            if !rooms.is_empty() {
                found.push((*id, rooms));
            }
        }
        found
    }

    /// Gives tasks that wait on a rack to another one that has room and nothing waiting.
    pub fn spare(&mut self, from: RackId, to: RackId, mut rooms: Vec<Room>, out: &mut Effects) {
        let Some(rack) = self.racks.get_mut(&from) else {
            return;
        };
        let mut given: BTreeMap<Handle, Vec<u32>> = BTreeMap::new();
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        for waiting in waiting {
            let Some(load) = self.loads.get_mut(&waiting.parcel) else {
                continue;
            };
            let task = load.task(waiting.index);
            if load.parcel.tied || self.busy.contains_key(&task) {
                continue;
            }
            let need = load.parcel.need;
            let Some(room) = rooms.iter_mut().find(|room| room.fits(&need)) else {
                continue;
            };
            room.take(&need);
            rack.queue.remove(waiting);
            rack.changed = true;
            load.tasks.remove(&waiting.index);
            load.parcel.tasks.retain(|index| *index != waiting.index);
            given.entry(waiting.parcel).or_default().push(waiting.index);
        }
        for (handle, tasks) in given {
            let Some(load) = self.loads.get(&handle) else {
                continue;
            };
            let letter = Letter::Returned {
                serial: load.parcel.serial,
                tasks,
                started: load.started,
                hint: Some(to),
            };
            out.tell(&load.entry, letter);
            let (over, none) = (load.tasks.is_empty(), load.parcel.tasks.is_empty());
            if none {
                self.remove_load(handle);
            } else if over {
                // What was kept of it had ended before, and its end is told with the last of it.
                self.finish(handle, Outcome::Done, out);
            }
        }
    }

    /// Takes a rack out to give it to its next owner, with all that waits and runs there.
    pub fn hand_over(
        &mut self,
        rack: RackId,
        to: &Contact,
        now: Time,
        out: &mut Effects,
    ) -> Option<Handover> {
        let state = self.racks.get(&rack)?;
        let (token, ids) = (state.token, state.endpoints.clone());
        let mut runs = Vec::new();
        for id in &ids {
            let Some(state) = self.endpoints.get(id) else {
                continue;
            };
            for (task, post) in &state.posts {
                // A run that is being stopped is a stranger to the next owner, who stops it too.
                let Some(load) = self.loads.get(&post.parcel) else {
                    continue;
                };
                if post.phase != Phase::Stopping {
                    runs.push(Posted {
                        endpoint: id.clone(),
                        task: *task,
                        run: post.run,
                        entry: load.entry.name.clone(),
                        serial: load.parcel.serial,
                    });
                }
            }
        }
        let mut parcels = Vec::new();
        for handle in self.loads_of(rack) {
            let Some(load) = self.remove_load(handle) else {
                continue;
            };
            let letter = Letter::Moved {
                serial: load.parcel.serial,
                to: to.name.clone(),
            };
            out.tell(&load.entry, letter);
            parcels.push(load);
        }
        self.racks.remove(&rack);
        for id in &ids {
            self.forget(id);
        }
        let record = Record::new("rack_handed_over").with("rack", rack.to_string());
        out.log(record.with("to", to.name.as_str()));
        Some(Handover {
            rack,
            token,
            parcels: parcels.into_iter().map(|load| load.held(now)).collect(),
            runs,
        })
    }

    /// Takes a rack over from its former owner.
    pub fn take_over(
        &mut self,
        handover: Handover,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) {
        self.claim(handover.rack, token, out);
        self.list(listings, now, out);
        for held in handover.parcels {
            let numbers = held.next.iter().zip(&held.failures);
            let progress = numbers.map(|(next, failures)| Progress {
                next: *next,
                failures: *failures,
            });
            let tasks = held.parcel.tasks.iter().copied().zip(progress).collect();
            self.load(&held.entry, held.parcel, tasks, held.started, now);
        }
        for run in handover.runs {
            let key = (run.entry, run.serial);
            let Some(handle) = self.by_entry.get(&key).copied() else {
                continue;
            };
            let Some(load) = self.loads.get(&handle) else {
                continue;
            };
            let need = load.parcel.need;
            if let Some(state) = self.endpoints.get_mut(&run.endpoint) {
                state.adopt(run.task, handle, run.run, need, now);
                self.busy.insert(run.task, run.endpoint.clone());
            }
            if let Some(rack) = self.racks.get_mut(&handover.rack) {
                rack.queue.remove(Waiting {
                    parcel: handle,
                    index: run.task.index,
                });
            }
        }
    }

    /// Counts parcels of an entry's jobs in which no task has started.
    pub fn counts(&self) -> (usize, usize, usize) {
        let waiting = self.racks.values().map(|rack| rack.queue.len()).sum();
        let runs = self.endpoints.values().map(|s| s.posts.len()).sum();
        let open = self.endpoints.values();
        let open = open.filter(|s| s.standing == Standing::Open).count();
        (waiting, runs, open)
    }
}

fn fenced(refusal: Refusal) -> Vec<Event> {
    match refusal {
        Refusal::Fenced => vec![Event::Fenced],
        _ => Vec::new(),
    }
}

impl Load {
    fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.parcel.job,
            step: self.parcel.step,
            index,
        }
    }

    fn held(self, now: Time) -> Held {
        let mut parcel = self.parcel;
        parcel.slack = (self.due > now).then(|| self.due.since(now));
        parcel.useful = self.useful.since(now);
        parcel.left = self.until.since(now);
        parcel.tasks = self.tasks.keys().copied().collect();
        Held {
            entry: self.entry,
            next: self.tasks.values().map(|p| p.next).collect(),
            failures: self.tasks.values().map(|p| p.failures).collect(),
            started: self.started,
            parcel,
        }
    }
}
