//! The decisions of an instance, as a state machine without I/O.
//!
//! [`Core::step`] takes an [`Input`] and the time, and returns a list of [`Output`]. There is no socket, clock, thread
//! or unseeded random source in here, so tests can replay any order of events.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc, //
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
    table::wire::List, //
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

/// The shortest time between two steps that is logged as a pause of the whole process.
const PAUSE_THRESHOLD: Span = Span::millis(1_000);

/// The identity of an instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The instance's name; it stays the same across restarts.
    pub name: Instance,
    /// The instance's data centre.
    pub centre: Centre,
    /// A random number drawn at each start; it tells one run of the instance from the next.
    pub incarnation: Incarnation,
    /// The data centres whose endpoints the instance uses; empty means all.
    pub endpoint_centres: Vec<Centre>,
}

/// Gauges of what the core holds, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs in progress.
    pub jobs: usize,
    /// Tasks that wait for an endpoint.
    pub waiting: usize,
    /// Idempotency keys in the registry.
    pub keys: usize,
    /// Bytes that the registry of keys takes.
    pub bytes: usize,
    /// Tasks outstanding at endpoints.
    pub outstanding: usize,
    /// Endpoints that may get tasks.
    pub eligible: usize,
    /// Endpoints that are ejected or on probation.
    pub ejected: usize,
    /// Live instances, this one included.
    pub instances: usize,
    /// The revision of the configuration that is applied.
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
    /// When the platform's list was first read.
    first_listed: Option<Time>,
    draining: Option<Time>,
    reported_drained: bool,
    /// Whether the instance has been ready at least once.
    was_ready: bool,
    /// This instance's share of the tasks at the endpoints, between 0 and 1, estimated from their replies.
    endpoint_share: f64,
    /// Rotates the service that is served first when several compete for endpoints.
    next_service: usize,
    /// The platform's list that was applied last.
    list: Option<Arc<List>>,
    jobs: HashMap<u64, stage::Stage>,
    requests: HashMap<message::Request, u64>,
    registry: claim::Registry,
    queues: BTreeMap<Service, queue::Queue<queue::Item>>,
    /// The stopped attempts that may still run, and the endpoints whose places they occupy.
    orphans: HashMap<Attempt, placement::EndpointId>,
    /// The incarnation in the last reply of each endpoint.
    endpoint_incarnations: HashMap<placement::EndpointId, Incarnation>,
    placement: placement::Placement,
    admission: admission::Admission,
    retries: retry::Budget,
    hedges: retry::Hedge,
    health: health::Health,
    membership: membership::Membership,
    config: config::Config,
    store: store::Store,
    /// The commands of claims that are in progress, by ticket.
    commands: HashMap<u64, store::Purpose>,
    /// The submissions and heartbeats that are sent to peers, by the number of the call.
    calls: HashMap<u64, peering::OutgoingCall>,
    /// The peers that count as lost, and since when.
    lost_peers: BTreeMap<Instance, Time>,
    peers_reported_at: Time,
    timers: Timers,
    outputs: Vec<Output>,
}

impl Core {
    /// Creates the core of an instance that has just started; `seed` feeds all its random choices.
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
            first_listed: None,
            draining: None,
            reported_drained: false,
            was_ready: false,
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
            commands: HashMap::new(),
            calls: HashMap::new(),
            lost_peers: BTreeMap::new(),
            peers_reported_at: Time::default(),
            timers: Timers::default(),
            outputs: Vec::new(),
            identity,
            limits,
            timing,
        }
    }

    /// Handles one input and returns the outputs that it causes.
    ///
    /// Timers that are due run first. Otherwise an instance that wakes from a pause could start tasks of jobs whose
    /// deadline has passed.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        let pause = now.since(self.now);
        if pause >= PAUSE_THRESHOLD && self.now != Time::default() {
            self.log_event(Code::Stalled, format!("for {pause}"));
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
                let recipient = stage::Recipient::Request(request);
                let arrival = submission::Arrival {
                    recipient,
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
            Input::Ask { request, ask } => self.step_config(config::Input::Ask(request, ask)),
            Input::Completed(Ticket::Claim(ticket), result) => self.on_completion(ticket, result),
            Input::Completed(Ticket::Config(ticket), result) => {
                self.step_config(config::Input::Completed(ticket, result));
            }
            Input::AttemptEnded(attempt, end) => self.on_attempt_end(attempt, end),
            Input::Status(attempt, status) => self.on_status(attempt, status),
            Input::Called(incoming, call) => self.on_call(incoming, call),
            Input::Returned(id, result) => self.on_return(id, result),
            Input::Listed(list) => self.apply_list(&list),
            Input::Tick => self.on_tick(),
            Input::Wake => {}
            Input::Drain => self.start_drain(),
            Input::Interrupt => self.end_drain(),
        }
        self.report_ready();
        self.report_drained();
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next timer is due; [`Self::step`] has to be called by then, with [`Input::Wake`] if there is no
    /// other input.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns the range from which callers may take keys now.
    pub fn range(&self) -> claim::Range {
        self.registry.current_range()
    }

    /// Returns whether the instance can serve: it has the platform's list and a configuration, has exchanged
    /// heartbeats with its peers, and isn't draining.
    pub fn is_ready(&self) -> bool {
        let Some(first_listed) = self.first_listed else {
            return false;
        };
        let converged = self.membership.has_converged(self.now, first_listed);
        converged && self.config.is_ready() && self.draining.is_none()
    }

    /// Returns gauges of what the core holds.
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

    /// Returns the next number for a job, a command or a call.
    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Returns a random span between 0.5 and 1.5 times `span`, so that retries don't come all at once.
    fn jitter(&mut self, span: Span) -> Span {
        Span(span.0 / 2 + self.random.random_range(0..=span.0))
    }

    /// Runs the timers that are due.
    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(job) => self.on_deadline(job),
                Timer::StatusCheck(attempt) => self.check_overdue_attempt(attempt),
                Timer::Retry(item) => self.enqueue(item),
                Timer::Read(job) => self.read_for(job),
                Timer::Record(record) => self.repeat_record(record),
                Timer::DropOrphan(attempt) => self.drop_orphan(attempt),
            }
        }
    }

    /// Applies the platform's list: its instances, its endpoints, and the shares that depend on their number.
    fn apply_list(&mut self, list: &Arc<List>) {
        self.first_listed.get_or_insert(self.now);
        self.membership.apply_list(self.now, &list.instances);
        // Only instances that use the same endpoints share their connections.
        let sharing = self
            .membership
            .live_count_in(&self.identity.endpoint_centres);
        let changes = self.placement.apply_list(&list.endpoints, sharing);
        for change in changes {
            self.apply_endpoint_change(change);
        }
        // The list is often read unchanged; the endpoints are copied only when it is a new one.
        let unchanged = self
            .list
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, list));
        if !unchanged {
            self.list = Some(list.clone());
            self.step_config(config::Input::Workers(list.endpoints.clone()));
        }
        self.outputs
            .push(Output::ShareWriteRate(self.membership.live_count()));
        self.dispatch();
    }

    /// Passes a change of the listed endpoints on to health, and logs endpoints that leave.
    fn apply_endpoint_change(&mut self, change: placement::Change) {
        use placement::Change;
        match change {
            Change::Added(id) | Change::Updated(id) => {
                if let Some(worker) = self.placement.endpoint(id) {
                    self.health.insert(id, worker);
                }
            }
            Change::Leaving(id) | Change::Absent(id) => {
                let name = self.placement.endpoint(id).map(|w| w.name.to_string());
                self.log_event(Code::EndpointLeaving, name.unwrap_or_default());
            }
            Change::Dropped(id) => {
                self.health.remove(id);
                self.endpoint_incarnations.remove(&id);
            }
        }
    }

    /// Runs the periodic work.
    fn on_tick(&mut self) {
        let evicted = self.registry.evict(self.now);
        self.log_evicted(evicted);
        self.tick_health();
        self.tick_membership();
        self.step_config(config::Input::Tick);
        self.dispatch();
    }

    /// Logs the number of evicted keys if the registry is full.
    fn log_evicted(&mut self, evicted: usize) {
        // Keys expire by age all the time; only a full registry is logged.
        if evicted > 0 && self.registry.is_full() {
            self.log_event(Code::AnswersDropped, format!("{evicted} keys"));
        }
    }

    /// Starts a drain: no new jobs are taken, and those in progress are finished.
    fn start_drain(&mut self) {
        if self.draining.is_none() {
            self.draining = Some(self.now);
            self.log_event(
                Code::Draining,
                format!("{} jobs in progress", self.jobs.len()),
            );
        }
    }

    /// Ends a drain early: answers every job in progress with what is known of it.
    fn end_drain(&mut self) {
        self.start_drain();
        let mut numbers: Vec<_> = self.jobs.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            self.end_job(number, Reason::Draining);
        }
    }

    /// Logs once that the instance has become ready.
    fn report_ready(&mut self) {
        if !self.was_ready && self.is_ready() {
            self.was_ready = true;
            self.log_event(
                Code::Ready,
                format!("at revision {}", self.config.revision()),
            );
        }
    }

    /// Reports once that the drain is complete.
    fn report_drained(&mut self) {
        if self.draining.is_none() || self.reported_drained {
            return;
        }
        if self.jobs.is_empty() && !self.is_recording() {
            self.reported_drained = true;
            self.outputs.push(Output::Drained);
        }
    }

    /// Passes an input to the configuration and carries out its outputs.
    fn step_config(&mut self, input: config::Input) {
        for output in self.config.step(self.now, input) {
            match output {
                config::Output::Report(request, report) => {
                    self.outputs.push(Output::Report(request, report));
                }
                config::Output::Command(ticket, command) => {
                    self.outputs
                        .push(Output::Command(Ticket::Config(ticket), command));
                }
                config::Output::Call(to, id, call) => {
                    self.call(to, CallId::Config(id), message::Call::Config(call), None);
                }
                config::Output::Return(incoming, result) => {
                    let result = message::Return::Config(result);
                    self.outputs.push(Output::Return(incoming, result));
                }
                config::Output::Event(event) => self.outputs.push(Output::Event(event)),
                // The configuration has logged it; jobs keep the route that they were admitted with.
                config::Output::InForce(_) => {}
            }
        }
    }
}
