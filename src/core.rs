//! The decisions: a core without input or output.
//!
//! [`Input`] goes in together with the time, a list of [`Output`] comes out. There is no socket, clock, thread
//! or unseeded random source in here, so that every order of events can be tried.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
};

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

use crate::{
    event::{
        Code,
        Event, //
    },
    prelude::*,
    settings::{
        Limits,
        Timing, //
    },
    table::wire::List,
};

pub mod admission;
mod answer;
pub mod claim;
mod claim_resolution;
mod completion;
pub mod config;
mod execution;
pub mod health;
pub mod membership;
pub mod message;
mod peering;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod stage;
mod status_check;
mod store;
mod submission;
mod timer;

use message::{
    CallId,
    Input,
    Output,
    Ticket, //
};
use timer::{
    Timer,
    Timers, //
};

/// A gap between two steps that is logged as a pause of the whole instance.
const PAUSE: Span = Span::millis(1_000);

/// Who an instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Its incarnation: drawn at each start.
    pub incarnation: Incarnation,
    /// The data centres whose endpoints it uses; empty stands for all.
    pub reach: Vec<Centre>,
}

/// Counts of what the core holds, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs in progress.
    pub jobs: usize,
    /// Tasks that wait for an endpoint.
    pub waiting: usize,
    /// Keys that are known.
    pub keys: usize,
    /// Bytes of what is known of keys.
    pub bytes: usize,
    /// Tasks outstanding at endpoints.
    pub outstanding: usize,
    /// Endpoints that take work.
    pub eligible: usize,
    /// Endpoints that are ejected.
    pub ejected: usize,
    /// Live instances, this one included.
    pub instances: usize,
    /// The configuration that is applied.
    pub revision: Revision,
}

/// The state of one instance.
pub struct Core {
    identity: Identity,
    limits: Limits,
    timing: Timing,
    random: SmallRng,
    now: Time,
    serial: u64,
    /// When the list was first read.
    listed: Option<Time>,
    draining: Option<Time>,
    drained: bool,
    /// Whether the instance has been ready once.
    announced: bool,
    /// This instance's share of the work at the endpoints, as their answers tell.
    endpoint_share: f64,
    /// Whose turn it is when services compete for endpoints.
    next_service: usize,
    /// The list that was taken over last.
    list: Option<Arc<List>>,
    jobs: HashMap<u64, stage::Stage>,
    requests: HashMap<message::Request, u64>,
    registry: claim::Registry,
    queues: BTreeMap<Service, queue::Queue<queue::Item>>,
    orphans: HashMap<Attempt, placement::Slot>,
    /// The incarnation of each endpoint that was heard last.
    endpoint_incarnations: HashMap<placement::Slot, Incarnation>,
    placement: placement::Placement,
    admission: admission::Admission,
    retries: retry::Budget,
    hedges: retry::Hedge,
    health: health::Health,
    membership: membership::Membership,
    config: config::Config,
    store: store::Store,
    tickets: HashMap<u64, store::Purpose>,
    calls: HashMap<u64, peering::Pending>,
    peers_reported: Time,
    timers: Timers,
    outputs: Vec<Output>,
}

impl Core {
    /// Makes the core of an instance that has just started.
    pub fn new(identity: Identity, limits: Limits, timing: Timing, seed: u64) -> Self {
        let Identity {
            name,
            centre,
            incarnation,
            ..
        } = identity.clone();
        Self {
            random: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            serial: 0,
            listed: None,
            draining: None,
            drained: false,
            announced: false,
            endpoint_share: 1.0,
            next_service: 0,
            list: None,
            jobs: HashMap::new(),
            requests: HashMap::new(),
            registry: claim::Registry::new(
                incarnation,
                limits.kept_answer_bytes,
                timing.answer_retention,
            ),
            queues: BTreeMap::new(),
            orphans: HashMap::new(),
            endpoint_incarnations: HashMap::new(),
            placement: placement::Placement::new(centre.clone(), limits.tasks_per_endpoint, seed),
            admission: admission::Admission::new(&limits, seed),
            retries: retry::Budget::for_retries(),
            hedges: retry::Hedge::new(),
            health: health::Health::new(seed),
            membership: membership::Membership::new(
                name.clone(),
                centre.clone(),
                incarnation,
                &timing,
                seed,
            ),
            config: config::Config::new(name, centre, timing.poll_interval, seed),
            store: store::Store::default(),
            tickets: HashMap::new(),
            calls: HashMap::new(),
            peers_reported: Time::default(),
            timers: Timers::default(),
            outputs: Vec::new(),
            identity,
            limits,
            timing,
        }
    }

    /// Takes one input and returns what is to be done about it.
    ///
    /// Timers that are due go first: an instance that wakes from a pause answers the work whose deadline has
    /// passed before it looks at anything that would have it started.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        let gap = now.since(self.now);
        if gap >= PAUSE && self.now != Time::default() {
            self.log_event(Code::Awoke, format!("for {gap}"));
        }
        self.now = self.now.max(now);
        self.run_timers();
        match input {
            Input::Submit {
                request,
                submission,
                digest,
                bytes,
                first,
            } => {
                let waiter = stage::Waiter::Request(request);
                let arrival = submission::Arrival {
                    waiter,
                    submission,
                    digest,
                    bytes,
                    first,
                    time_left: None,
                };
                self.submit(arrival);
            }
            Input::Cancel { request, team, key } => self.cancel_job(request, &team, &key),
            Input::Find { request, team, key } => self.find_job(request, &team, &key),
            Input::Hangup(request) => self.on_hangup(request),
            Input::Ask { request, ask } => self.configure(config::Input::Ask(request, ask)),
            Input::Completed(Ticket::Claim(ticket), result) => self.on_completion(ticket, result),
            Input::Completed(Ticket::Config(ticket), result) => {
                self.configure(config::Input::Completed(ticket, result));
            }
            Input::Ended(attempt, end) => self.on_attempt_end(attempt, end),
            Input::Looked(attempt, status) => self.on_status(attempt, status),
            Input::Called(caller, call) => self.on_call(caller, call),
            Input::Returned(id, result) => self.on_return(id, result),
            Input::Listed(list) => self.apply_list(&list),
            Input::Tick => self.tick(),
            Input::Wake => {}
            Input::Drain => self.drain(),
            Input::Interrupt => self.interrupt(),
        }
        self.check_ready();
        self.check_drained();
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next step is due even without an input.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns the range that callers may take keys from now.
    pub fn range(&self) -> claim::Range {
        self.registry.current_range()
    }

    /// Tells whether the instance can serve: it has the list and a configuration, knows its peers, and isn't draining.
    pub fn is_ready(&self) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let converged = self.membership.has_converged(self.now, listed);
        converged && self.config.is_ready() && self.draining.is_none()
    }

    /// Returns counts of what the core holds.
    pub fn stats(&self) -> Stats {
        Stats {
            jobs: self.jobs.len(),
            waiting: self.queues.values().map(queue::Queue::len).sum(),
            keys: self.registry.len(),
            bytes: self.registry.bytes(),
            outstanding: self.placement.total().outstanding as usize,
            eligible: self.placement.total().eligible as usize,
            ejected: self.health.ejected_count(),
            instances: self.membership.live_count(),
            revision: self.config.revision(),
        }
    }

    fn log_event(&mut self, code: Code, detail: impl Into<String>) {
        self.outputs.push(Output::Event(Event::new(code, detail)));
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Returns a span between half of `span` and one and a half of it, so that returns don't come together.
    fn jitter(&mut self, span: Span) -> Span {
        Span(span.0 / 2 + self.random.random_range(0..=span.0))
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(job) => self.on_deadline(job),
                Timer::Look(attempt) => self.check_overdue_attempt(attempt),
                Timer::Retry(item) => self.enqueue(item),
                Timer::Settle(job) => self.read_back_claim(job),
                Timer::Orphan(attempt) => self.drop_orphan(attempt),
            }
        }
    }

    fn apply_list(&mut self, list: &Arc<List>) {
        self.listed.get_or_insert(self.now);
        self.membership.apply_list(self.now, &list.instances);
        // Instances that never use these endpoints take no part of their connections.
        let sharing = self.membership.live_count_in(&self.identity.reach);
        let changes = self.placement.apply_list(&list.endpoints, sharing);
        for change in changes {
            self.apply_listed(change);
        }
        // The same list comes again and again; only a new one is worth a copy of all endpoints.
        let known = self
            .list
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, list));
        if !known {
            self.list = Some(list.clone());
            self.configure(config::Input::Workers(list.endpoints.clone()));
        }
        self.outputs
            .push(Output::Share(self.membership.live_count()));
        self.dispatch();
    }

    fn apply_listed(&mut self, change: placement::Change) {
        use placement::Change;
        match change {
            Change::Added(slot) | Change::Updated(slot) => {
                if let Some(worker) = self.placement.endpoint(slot) {
                    self.health.insert(slot, worker);
                }
            }
            Change::Leaving(slot) | Change::Absent(slot) => {
                let name = self.placement.endpoint(slot).map(|w| w.name.to_string());
                self.log_event(Code::EndpointLeaving, name.unwrap_or_default());
            }
            Change::Dropped(slot) => {
                self.health.remove(slot);
                self.endpoint_incarnations.remove(&slot);
            }
        }
    }

    fn tick(&mut self) {
        let dropped = self.registry.evict(self.now);
        self.log_forgotten(dropped);
        self.tick_health();
        self.tick_membership();
        self.configure(config::Input::Tick);
        self.dispatch();
    }

    fn log_forgotten(&mut self, dropped: usize) {
        // Age alone drops keys all the time; only a full registry is worth a line.
        if dropped > 0 && self.registry.is_full() {
            self.log_event(Code::Forgotten, format!("{dropped} keys"));
        }
    }

    fn drain(&mut self) {
        if self.draining.is_none() {
            self.draining = Some(self.now);
            self.log_event(
                Code::Draining,
                format!("{} jobs in progress", self.jobs.len()),
            );
        }
    }

    /// Answers what is left when a drain is cut short, with the truth about each job.
    fn interrupt(&mut self) {
        self.drain();
        let mut numbers: Vec<_> = self.jobs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            self.end_job(number, Reason::Draining);
        }
    }

    fn check_ready(&mut self) {
        if !self.announced && self.is_ready() {
            self.announced = true;
            self.log_event(
                Code::Ready,
                format!("at revision {}", self.config.revision()),
            );
        }
    }

    fn check_drained(&mut self) {
        if self.draining.is_none() || self.drained {
            return;
        }
        if self.jobs.is_empty() && !self.is_recording() {
            self.drained = true;
            self.outputs.push(Output::Drained);
        }
    }

    fn configure(&mut self, input: config::Input) {
        for output in self.config.step(self.now, input) {
            match output {
                config::Output::Report(request, report) => {
                    self.outputs.push(Output::Report(request, report));
                }
                config::Output::Command(ticket, operate) => {
                    self.outputs
                        .push(Output::Command(Ticket::Config(ticket), operate));
                }
                config::Output::Call(to, id, call) => {
                    self.call(to, CallId::Config(id), message::Call::Config(call), None);
                }
                config::Output::Return(caller, result) => {
                    let result = message::Return::Config(result);
                    self.outputs.push(Output::Return(caller, result));
                }
                config::Output::Event(event) => self.outputs.push(Output::Event(event)),
                // The configuration logs it itself; jobs keep the route that they were accepted with.
                config::Output::InForce(_) => {}
            }
        }
    }
}
