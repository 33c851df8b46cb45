//! A simulation of dispatchers, endpoints and callers on a simulated clock. It injects faults and checks invariants.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap,
        HashSet, //
    }, //
};

use poplarknot::{
    dispatch::{
        evacuation::{
            Change,
            Evacuation, //
        },
        id::{
            keyed_hash,
            Epoch,
            JobId,
            Life,
            TaskId, //
        },
        message::{
            Answer,
            Arrival,
            CallId,
            Contact,
            Heartbeat,
            Input,
            JobState,
            Listing,
            Message,
            Order,
            Output,
            Question,
            Reply,
            Roster,
            Sender,
            StoreCallId,
            StoreReply,
            StoreRequest,
            Ticket, //
        },
        route::{
            Configuration,
            Route, //
        },
        task::{
            Resources,
            Step,
            Submission, //
        },
        Dispatcher,
        Identity, //
    },
    prelude::*, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use super::{
    endpoint::{
        RunRecord,
        SimulatedEndpoint, //
    },
    rows::Rows, //
};

/// The interval between ticks of an instance.
const TICK: Span = Span::millis(10);
/// The shortest transit time of a message, in microseconds.
const TRANSIT_MICROS: u64 = 300;
/// How long an instance waits for a reply of the store.
const STORE_TIMEOUT: Span = Span::millis(400);
/// How long after a change of an endpoint's capacity starts may arrive that the owner sent before it learned of the change.
const CAPACITY_LAG: Span = Span::millis(20);
/// How long a task may still start after an endpoint was let forget its end, whatever became of leases, or after its job was shown as
/// cancelled: orders and messages are on their way.
const END_SPREAD: Span = Span::seconds(1);
/// The delay after which a caller retries when its connection broke.
const CALLER_RETRY: Span = Span::millis(1_300);

/// The faults of calls to endpoints and the store, and of messages between instances.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The share of orders that get no answer and are executed 2 to 6 s later.
    pub late_orders: f64,
    /// The share of heartbeats that are lost.
    pub lost_heartbeats: f64,
    /// The share of runs that fail.
    pub failed_runs: f64,
    /// The share of messages to a peer that hit a broken connection. They are sent over a new one 250 to 400 ms later, and later
    /// messages wait for them.
    pub broken_links: f64,
    /// The share of calls to the store that get no reply. Half of them are executed after 3 ms, a quarter after 0.5 to 3 s, and
    /// the others never.
    pub lost_store_calls: f64,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Box<Delivery>),
    Store(usize, u64, StoreCallId, Box<StoreRequest>, bool),
    Stored(usize, u64, StoreCallId, Box<StoreReply>),
    StoreOutage(bool),
    Order(usize, usize, u64, CallId, Time, Box<Order>, bool),
    Reply(usize, u64, CallId, Time, Box<Reply>),
    Submit(usize, JobId, u32, u64, Span),
    Kill(usize, Span),
    Start(usize),
    Suspend(usize, Span),
    Partition(HashSet<usize>, bool),
    Disconnect(usize, usize, bool),
    MuteEndpoint(usize, bool),
    IsolateEndpoint(usize, bool),
    SlowEndpoint(usize, f64),
    FailRuns(usize, bool),
    Crash(usize),
    Drain(usize),
    Leave(usize),
    Evacuate(String, bool),
    CrashAndRestart(usize, Span, u64),
    RestartEndpoint(usize, u64),
    PublishRoster,
    Resize(usize, u64),
    DenyStore(usize, bool),
    Throttle(usize, Time, Span, (Span, Span)),
    Stall(usize, usize, Time),
    CutOneWay(usize, usize, bool),
    LoseStops(usize, bool),
    DelayStops(usize, Option<Span>),
    HoldOrders(usize, Option<Span>),
    BreakCaller(JobId),
    BreakCallers(usize),
    Ask(JobId, Question),
    Abandoned(usize, u64, Ticket),
    CallerTimeout(usize, u64, Ticket, JobId),
    Unlist(usize, bool),
    List(usize, u64, Box<Roster>),
    Replace(usize, Span),
    CutCentre(String, bool),
    CrashAndRename(usize, Span, (Span, Span), u64),
    Rename(usize, (Span, Span), u64),
    EndRow(usize),
    Vanish(usize, Span),
    Join(usize, Span),
}

#[derive(Debug)]
enum Delivery {
    Message(Sender, Message),
    Heartbeat(Sender, Heartbeat),
}

/// An instance: its dispatcher, if it's up, and the state that its runtime would keep.
struct SimulatedInstance {
    dispatcher: Option<Dispatcher>,
    contact: Contact,
    centre: String,
    incarnation: u64,
    suspended_until: Time,
    /// The incarnation and session of each peer, and how often they changed.
    sessions: HashMap<Instance, (u64, u32, u64)>,
    /// The jobs whose callers wait for an answer.
    tickets: HashMap<Ticket, JobId>,
    /// When the last message to each other instance arrives.
    last_arrivals: HashMap<usize, Time>,
}

/// What a job may have besides its size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Shape {
    /// The priority of its queue, at most two.
    pub priority: u32,
    /// Its caller's estimate, as a multiple of the tasks' duration.
    pub estimate: f64,
    /// How long its caller waits.
    pub wait: Span,
    /// The share of its tasks that take [`TAIL_FACTOR`] times as long.
    pub tail: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            priority: 0,
            estimate: 1.0,
            wait: Span::seconds(4),
            tail: 0.0,
        }
    }
}

/// How many times as long some tasks take.
const TAIL_FACTOR: u64 = 7;

/// A job as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerView {
    /// The last answer.
    pub answer: Option<Answer>,
    /// When the caller first submitted it.
    pub submitted_at: Time,
    /// When the last answer came.
    pub answered_at: Time,
    /// Whether every answer so far said that nothing was run.
    pub only_refused: bool,
}

/// Two runs of a task at a time on different endpoints, of which `later` started after `earlier`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Overlap {
    pub span: Span,
    pub earlier: (usize, RunRecord),
    pub later: (usize, RunRecord),
}

impl Overlap {
    /// Returns whether the starts carry tokens of the same claim of a rack.
    pub(crate) fn is_of_one_claim(&self) -> bool {
        let (one, other) = (self.earlier.1.token.0, self.later.1.token.0);
        one.abs_diff(other) < MAX_RAISES
    }
}

/// How often an owner raises the token of an endpoint at most, in a simulation.
const MAX_RAISES: u64 = 100;

/// The simulation.
pub(crate) struct World {
    pub now: Time,
    pub instances_up: usize,
    pub jobs: HashMap<JobId, CallerView>,
    pub endpoints: Vec<SimulatedEndpoint>,
    /// How many stop orders endpoints got.
    pub stopped: usize,
    /// How many starts were held on the way.
    pub held_starts: usize,
    /// Jobs that their callers submitted again.
    pub resubmitted: HashSet<JobId>,
    /// Jobs whose callers stopped waiting without an answer.
    pub timed_out: HashSet<JobId>,
    instances: Vec<SimulatedInstance>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    /// The scheduled events, by serial number.
    payloads: HashMap<u64, Event>,
    serial: u64,
    random: SmallRng,
    faults: Faults,
    needs: HashMap<TaskId, Resources>,
    durations: HashMap<JobId, Span>,
    /// Jobs that differ from the others in more than their size.
    shapes: HashMap<JobId, Shape>,
    /// The number of queues, each of another priority.
    priorities: u32,
    /// The instances on one side of a network partition.
    partition: HashSet<usize>,
    /// Pairs of instances that don't reach each other, the lower number first.
    disconnected: HashSet<(usize, usize)>,
    /// Endpoints that carry orders out but don't answer.
    muted: HashSet<usize>,
    /// Endpoints that no order reaches.
    isolated: HashSet<usize>,
    tickets: u64,
    roster: Roster,
    rows: Rows,
    store_down: bool,
    /// The evacuated data centres, as the store has them.
    evacuation: Evacuation,
    /// Instances that get no evacuations from the store.
    store_denied: HashSet<usize>,
    /// Whether jobs are stored. They then have two steps, the second after the first.
    stores_jobs: bool,
    /// Polls whose reply is held back until a run ends.
    waiting_polls: Vec<WaitingPoll>,
    /// Whether endpoints that are down drop calls instead of refusing connections.
    crashes_silently: bool,
    /// Jobs whose first task crashes each endpoint that starts it.
    crashing_jobs: HashSet<JobId>,
    /// How often each task crashed an endpoint.
    pub crashes: HashMap<TaskId, usize>,
    /// How long after a restart of an endpoint its row is updated.
    row_lag: Span,
    /// Whether tasks take between 0.6 and 1.4 times their estimate.
    uneven_tasks: bool,
    /// Whether 3 % of the tasks take seven times as long.
    long_tasks: bool,
    /// Endpoints that no stop order reaches.
    unstoppable: HashSet<usize>,
    /// Endpoints that stop orders reach late and without an answer, and by how much.
    late_stops: HashMap<usize, Span>,
    /// Endpoints whose orders are held on the way, and for how long. The life that is there by then carries them out, and nobody gets
    /// an answer.
    held_orders: HashMap<usize, Span>,
    /// Until when messages from one instance to another wait; they arrive in order then. Heartbeats pass.
    stalled: HashMap<(usize, usize), Time>,
    /// Pairs of instances of which the second doesn't hear the first.
    cut_one_way: HashSet<(usize, usize)>,
    /// The instance to which callers resubmit their jobs; a random one if there is none.
    retry_at: Option<usize>,
    /// Whether callers resubmit jobs that were given up.
    resubmits_given_up: bool,
    /// Whether callers whose wait is over break their connections and resubmit their jobs.
    callers_time_out: bool,
    /// Endpoints that the platform doesn't list, though they may be up.
    unlisted: HashSet<usize>,
    /// How long after a resume an instance reads breaks of callers' connections.
    read_lag: Span,
    /// Whether two runs of a task at a time are reported at the end of a test, with their times, rather than at once.
    collects_overlaps: bool,
    /// How often the instances logged each event.
    logged: HashMap<&'static str, usize>,
    /// The capacity of each resized endpoint, and when it was changed.
    resized: HashMap<usize, (Time, u64)>,
    /// Stored jobs that are shown as cancelled, and since when.
    cancelled: HashMap<JobId, Time>,
    /// Between which times after a change of the platform's list each instance reads it; at once if there are none.
    roster_lag: Option<(Span, Span)>,
    /// Instances that get the platform's list from peers only.
    unlisted_readers: HashSet<usize>,
    /// The version of the list that each instance has read last.
    read_rosters: HashMap<usize, u64>,
    /// Endpoints that are gone while their row is still there.
    stale_rows: HashSet<usize>,
    /// The share of calls and answers that take longer than others, and how long they take at most.
    slow_calls: (f64, Span),
    /// How late the heartbeats of an instance are at most within [`START_SPREAD`] after its start.
    start_lag: Span,
    /// The data centre that is cut off from the others and from the platform.
    cut_centre: Option<String>,
    /// When each instance started.
    started: HashMap<usize, Time>,
}

/// How long after its start the heartbeats of an instance may be late.
const START_SPREAD: Span = Span::seconds(2);

/// A waiting poll: the endpoint, its deadline, the call of an instance, and the order.
type WaitingPoll = (usize, Time, (usize, u64, CallId, Time), Box<Order>);

/// A job is on time if it takes no longer than this multiple of its tasks' duration plus [`OBJECTIVE_TARGET`].
const OBJECTIVE_STRETCH: f64 = 1.6;
const OBJECTIVE_TARGET: Span = Span::millis(60);

/// The maximum number of attempts of a task.
const ATTEMPTS: u32 = 3;

/// How many endpoints a task may crash before its job may be given up.
const MAX_CRASHES: usize = 2;

const HOST: &str = "queue.example";
const ROUTE: &str = "/q/";

impl World {
    /// Returns a simulation with instances and racks of four endpoints, spread over two data centres, after two seconds.
    pub(crate) fn new(seed: u64, instances: usize, racks: usize, faults: Faults) -> Self {
        Self::with_queues(seed, (1, 2), instances, racks, faults)
    }

    /// Returns a simulation with three queues and with endpoints of the given CPU on each rack.
    pub(crate) fn with_racks(
        seed: u64,
        instances: usize,
        racks: usize,
        endpoints: &[u64],
        faults: Faults,
    ) -> Self {
        Self::build(seed, (3, 2), instances, racks, endpoints, faults)
    }

    /// Returns a simulation with up to three queues, each of another priority, and up to three data centres, after two seconds.
    pub(crate) fn with_queues(
        seed: u64,
        counts: (u32, usize),
        instances: usize,
        racks: usize,
        faults: Faults,
    ) -> Self {
        Self::build(seed, counts, instances, racks, &[4_000; 4], faults)
    }

    fn build(
        seed: u64,
        (priorities, centres): (u32, usize),
        instances: usize,
        racks: usize,
        endpoints: &[u64],
        faults: Faults,
    ) -> Self {
        let per_rack = endpoints.len();
        let mut world = Self {
            now: Time(1_000_000),
            instances_up: 0,
            jobs: HashMap::new(),
            endpoints: Vec::new(),
            stopped: 0,
            held_starts: 0,
            resubmitted: HashSet::new(),
            timed_out: HashSet::new(),
            instances: Vec::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            serial: 0,
            random: SmallRng::seed_from_u64(seed),
            faults,
            needs: HashMap::new(),
            durations: HashMap::new(),
            shapes: HashMap::new(),
            priorities,
            partition: HashSet::new(),
            disconnected: HashSet::new(),
            muted: HashSet::new(),
            isolated: HashSet::new(),
            tickets: 0,
            roster: Roster::default(),
            rows: Rows::default(),
            store_down: false,
            evacuation: Evacuation::default(),
            store_denied: HashSet::new(),
            stores_jobs: false,
            waiting_polls: Vec::new(),
            crashes_silently: false,
            crashing_jobs: HashSet::new(),
            crashes: HashMap::new(),
            row_lag: Span::millis(100),
            uneven_tasks: false,
            long_tasks: false,
            unstoppable: HashSet::new(),
            late_stops: HashMap::new(),
            held_orders: HashMap::new(),
            stalled: HashMap::new(),
            cut_one_way: HashSet::new(),
            retry_at: None,
            resubmits_given_up: false,
            callers_time_out: false,
            unlisted: HashSet::new(),
            read_lag: Span(1),
            collects_overlaps: false,
            logged: HashMap::new(),
            resized: HashMap::new(),
            cancelled: HashMap::new(),
            roster_lag: None,
            unlisted_readers: HashSet::new(),
            read_rosters: HashMap::new(),
            stale_rows: HashSet::new(),
            slow_calls: (0.0, Span(0)),
            start_lag: Span(0),
            cut_centre: None,
            started: HashMap::new(),
        };
        for i in 0..racks * per_rack {
            let listing = Listing {
                id: format!("w-{i}").parse().unwrap(),
                life: Life(1),
                service: "cells".to_owned(),
                address: format!("{i}"),
                centre: centre(i / per_rack % centres),
                rack: format!("r{}", i / per_rack),
                labels: vec!["a".to_owned(), format!("r{}", i / per_rack)],
                capacity: Resources {
                    cpu: endpoints[i % per_rack],
                    memory: 4_000,
                    gpu: 0,
                },
                draining: false,
            };
            let clock_lag = [0.0, 0.02, 0.01][i % 3];
            world
                .endpoints
                .push(SimulatedEndpoint::new(listing, clock_lag));
        }
        world.update_roster();
        for i in 0..instances {
            world.instances.push(SimulatedInstance {
                dispatcher: None,
                contact: Contact {
                    name: format!("instance-{i}").parse().unwrap(),
                    address: format!("{i}"),
                },
                centre: centre(i % centres),
                incarnation: 0,
                suspended_until: Time::default(),
                sessions: HashMap::new(),
                tickets: HashMap::new(),
                last_arrivals: HashMap::new(),
            });
            world.start(i);
        }
        world.run(Span::seconds(2));
        world
    }

    fn update_roster(&mut self) {
        self.roster.version += 1;
        let endpoints = self.endpoints.iter().enumerate();
        let listed = endpoints.filter(|(w, endpoint)| {
            (endpoint.up || self.stale_rows.contains(w)) && !self.unlisted.contains(w)
        });
        let listings = listed.map(|(_, endpoint)| endpoint.listing.clone());
        self.roster.endpoints = listings.collect();
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.serial += 1;
        let serial = self.serial;
        self.events.push(Reverse((self.now + after, serial)));
        self.payloads.insert(serial, event);
    }

    /// Advances time by a span. Checks after each event that no task runs twice.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((time, serial))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            for endpoint in &mut self.endpoints {
                endpoint.advance(time);
            }
            self.answer_waiting_looks();
            if let Some(event) = self.payloads.remove(&serial) {
                self.on_event(event);
            }
            self.check_no_double_runs();
        }
        self.now = end;
    }

    fn start(&mut self, i: usize) {
        let now = self.now;
        let instance = &mut self.instances[i];
        instance.incarnation += 1;
        instance.sessions.clear();
        instance.tickets.clear();
        let identity = Identity {
            contact: instance.contact.clone(),
            centre: instance.centre.clone(),
            incarnation: instance.incarnation,
            share: 250,
            epoch: Epoch(now.0 / 1_000_000),
        };
        instance.dispatcher = Some(Dispatcher::new(identity, now));
        self.instances_up += 1;
        let contacts = self.instances.iter().map(|h| h.contact.clone()).collect();
        let route = |priority: u32| Route {
            name: format!("queue-{priority}"),
            host: HOST.to_owned(),
            prefix: format!("{ROUTE}{priority}/"),
            priority,
            service: "cells".to_owned(),
            attempts: ATTEMPTS,
            timeout: Span::seconds(4),
            stretch: OBJECTIVE_STRETCH,
            target: OBJECTIVE_TARGET,
            ..Route::default()
        };
        let configuration = Configuration {
            version: 1,
            routes: (0..self.priorities).map(route).collect(),
            ..Configuration::default()
        };
        self.feed(i, Input::Configured(Box::new(configuration)));
        if !self.store_denied.contains(&i) {
            self.feed(i, Input::Evacuated(self.evacuation.clone()));
        }
        self.started.insert(i, now);
        self.read_rosters.remove(&i);
        match self.roster_lag {
            Some(_) => self.list_later(i),
            None => self.feed(i, Input::RosterListed(self.roster.clone(), Vec::new())),
        }
        self.feed(i, Input::MembersFound(contacts));
        let incarnation = self.instances[i].incarnation;
        self.schedule(TICK, Event::Tick(i, incarnation));
    }

    /// Gives an input to an instance and carries out its outputs. An instance that is down ignores it.
    fn feed(&mut self, i: usize, input: Input) {
        let now = self.now;
        let Some(dispatcher) = &mut self.instances[i].dispatcher else {
            return;
        };
        let outputs = dispatcher.step(now, input);
        for output in outputs {
            self.on_output(i, output);
        }
    }

    fn sender(&self, i: usize, to: &Instance) -> Sender {
        let instance = &self.instances[i];
        let (incarnation, session, _) = instance.sessions.get(to).copied().unwrap_or_default();
        Sender {
            contact: instance.contact.clone(),
            centre: instance.centre.clone(),
            incarnation: instance.incarnation,
            receiver_incarnation: incarnation,
            session,
            sent: self.now,
        }
    }

    fn index(&self, name: &Instance) -> Option<usize> {
        self.instances.iter().position(|h| h.contact.name == *name)
    }

    fn on_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Answer(ticket, answer) => {
                if let Some(job) = self.instances[i].tickets.remove(&ticket) {
                    self.on_answer(job, answer);
                }
            }
            Output::Call {
                call,
                endpoint,
                order,
                timeout,
                ..
            } => self.call(i, call, &endpoint, order, timeout),
            Output::Send(to, message) => {
                let Some(to_index) = self.index(&to.name) else {
                    return;
                };
                let sender = self.sender(i, &to.name);
                // Messages of one pair arrive in order; a heartbeat may overtake them.
                let earliest = self.now + self.draw_transit();
                let stalled = self.stalled.get(&(i, to_index)).copied();
                let earliest = earliest.max(stalled.unwrap_or_default());
                let last_arrival = self.instances[i].last_arrivals.entry(to_index).or_default();
                *last_arrival = earliest.max(*last_arrival);
                let delay = last_arrival.since(self.now);
                let delivery = Box::new(Delivery::Message(sender, message));
                self.deliver_later(i, to_index, delay, delivery);
            }
            Output::Heartbeat(to, heartbeat) => {
                for (to, receipt) in to {
                    let Some(to_index) = self.index(&to.name) else {
                        continue;
                    };
                    if self.random.random_bool(self.faults.lost_heartbeats) {
                        continue;
                    }
                    let sender = self.sender(i, &to.name);
                    let mut delay = Span(TRANSIT_MICROS + self.random.random_range(0..400));
                    let started = self.started.get(&i).copied().unwrap_or_default();
                    if self.start_lag > Span(0) && self.now.since(started) < START_SPREAD {
                        delay = delay + Span(self.random.random_range(0..self.start_lag.0));
                    }
                    let heartbeat = Heartbeat {
                        receipt: Some(receipt),
                        ..heartbeat.clone()
                    };
                    let delivery = Box::new(Delivery::Heartbeat(sender, heartbeat));
                    self.deliver_later(i, to_index, delay, delivery);
                }
            }
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => {
                let session_entry = self.instances[i].sessions.entry(to.name).or_default();
                *session_entry = (incarnation, session, session_entry.2 + 1);
            }
            Output::Drained => {
                self.instances[i].dispatcher = None;
                self.instances_up -= 1;
            }
            Output::Log(record) => {
                *self.logged.entry(record.event).or_default() += 1;
                if std::env::var_os("DISPATCH_LOG").is_some() {
                    println!(
                        "{} {} {record:?}",
                        self.now.0 / 1_000,
                        self.instances[i].contact.name
                    );
                }
            }
            Output::Store { call, request } => {
                let incarnation = self.instances[i].incarnation;
                let request = Box::new(request);
                if self.random.random_bool(self.faults.lost_store_calls) {
                    let silent = Box::new(StoreReply::Silent);
                    self.schedule(STORE_TIMEOUT, Event::Stored(i, incarnation, call, silent));
                    let after = match self.random.random_range(0..4) {
                        0 | 1 => Span::millis(3),
                        2 => Span(self.random.random_range(500_000..3_000_000)),
                        _ => return,
                    };
                    self.schedule(after, Event::Store(i, incarnation, call, request, false));
                } else {
                    let transit = Span::millis(3);
                    self.schedule(transit, Event::Store(i, incarnation, call, request, true));
                }
            }
            Output::Configured | Output::Disconnect(_) | Output::CloseIdleCallers => {}
        }
    }

    /// Draws the transit time of a message to a peer.
    fn draw_transit(&mut self) -> Span {
        let share = self.faults.broken_links;
        // Without broken links nothing is drawn here, which keeps the random sequence of other faults.
        if share > 0.0 && self.random.random_bool(share) {
            return Span(self.random.random_range(250_000..400_000));
        }
        Span(TRANSIT_MICROS + self.random.random_range(0..8_000))
    }

    fn deliver_later(&mut self, i: usize, to: usize, delay: Span, delivery: Box<Delivery>) {
        let apart = self.partition.contains(&i) != self.partition.contains(&to);
        if apart || self.disconnected.contains(&(i.min(to), i.max(to))) {
            return;
        }
        if self.cut_one_way.contains(&(i, to)) {
            return;
        }
        let incarnation = self.instances[to].incarnation;
        self.schedule(delay, Event::Deliver(to, incarnation, delivery));
    }

    fn call(&mut self, i: usize, call: CallId, id: &Endpoint, order: Order, timeout: Span) {
        let incarnation = self.instances[i].incarnation;
        let sent = self.now;
        let found = self.endpoints.iter().position(|w| w.listing.id == *id);
        let Some(endpoint) = found else {
            return;
        };
        if self.is_cut_off(i, endpoint) {
            let silent = Box::new(Reply::Silent);
            return self.schedule(timeout, Event::Reply(i, incarnation, call, sent, silent));
        }
        let late = self.random.random_bool(self.faults.late_orders);
        if late {
            let after = Span(self.random.random_range(2_000_000..6_000_000));
            let order = Box::new(order);
            self.schedule(
                after,
                Event::Order(endpoint, i, incarnation, call, sent, order, true),
            );
            self.schedule(
                timeout,
                Event::Reply(i, incarnation, call, sent, Box::new(Reply::Silent)),
            );
            return;
        }
        let transit = Span(TRANSIT_MICROS + self.random.random_range(0..300));
        let transit = transit + self.draw_call_delay();
        let order = Box::new(order);
        self.schedule(
            transit,
            Event::Order(endpoint, i, incarnation, call, sent, order, false),
        );
        // Only the first reply of a call counts.
        self.schedule(
            timeout,
            Event::Reply(i, incarnation, call, sent, Box::new(Reply::Silent)),
        );
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick(i, incarnation) => {
                if self.instances[i].incarnation != incarnation
                    || self.instances[i].dispatcher.is_none()
                {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = self.instances[i].suspended_until.since(self.now);
                    return self.schedule(rest, Event::Tick(i, incarnation));
                }
                self.feed(i, Input::Tick);
                self.schedule(TICK, Event::Tick(i, incarnation));
            }
            Event::Deliver(i, incarnation, delivery) => {
                if self.instances[i].incarnation != incarnation {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = Span(self.instances[i].suspended_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Deliver(i, incarnation, delivery));
                }
                let input = match *delivery {
                    Delivery::Message(from, message) => Input::Received {
                        from,
                        messages: vec![message],
                    },
                    Delivery::Heartbeat(from, heartbeat) => {
                        Input::Heartbeats(vec![(from, heartbeat)])
                    }
                };
                self.feed(i, input);
            }
            Event::Order(w, .., false) if self.isolated.contains(&w) => {}
            Event::Order(w, i, .., false) if self.is_cut_off(i, w) => {}
            Event::Order(w, i, incarnation, call, sent, order, false)
                if self.held_orders.contains_key(&w) =>
            {
                let delay = self.held_orders[&w];
                self.held_starts += usize::from(matches!(*order, Order::Start { .. }));
                self.schedule(
                    delay,
                    Event::Order(w, i, incarnation, call, sent, order, true),
                );
            }
            Event::Order(w, .., order, _)
                if self.unstoppable.contains(&w) && matches!(*order, Order::Stop { .. }) => {}
            Event::Order(w, i, incarnation, call, sent, order, false)
                if self.late_stops.contains_key(&w) && matches!(*order, Order::Stop { .. }) =>
            {
                let delay = self.late_stops[&w];
                self.schedule(
                    delay,
                    Event::Order(w, i, incarnation, call, sent, order, true),
                );
            }
            Event::Order(w, i, incarnation, call, sent, order, late) => {
                let duration = match &*order {
                    Order::Start { task, .. } => self.duration(task),
                    _ => None,
                };
                let failing = self.endpoints[w].failing;
                let fails = self.random.random_bool(self.faults.failed_runs) || failing;
                let duration =
                    duration.map(|duration| if failing { Span::millis(1) } else { duration });
                let factor = match &*order {
                    Order::Start { task, .. } => self.duration_factor(*task),
                    _ => 1,
                };
                let duration = duration.map(|duration| duration.times(factor));
                let now = self.now;
                if self.endpoints[w].down {
                    if self.crashes_silently {
                        return;
                    }
                    let reply = Box::new(Reply::Unsent);
                    return self.schedule(
                        Span(TRANSIT_MICROS),
                        Event::Reply(i, incarnation, call, sent, reply),
                    );
                }
                if !self.endpoints[w].up {
                    let reply = Box::new(Reply::Reborn);
                    return self.schedule(
                        Span(TRANSIT_MICROS),
                        Event::Reply(i, incarnation, call, sent, reply),
                    );
                }
                if matches!(&*order, Order::Stop { .. }) {
                    self.stopped += 1;
                }
                let duration = duration.unwrap_or_default();
                let runs = self.endpoints[w].history.len();
                let reply = self.endpoints[w].execute(&order, &self.needs, duration, fails, now);
                let started = self.endpoints[w].history.get_mut(runs);
                started.into_iter().for_each(|run| run.is_late = late);
                self.check_capacity(w);
                if self.crash_by_task(w, &order, &reply) {
                    return;
                }
                if self.muted.contains(&w) || late {
                    return;
                }
                if let (Order::Poll { wait, .. }, Reply::Looked(lists)) = (&*order, &reply) {
                    if lists.ended.is_empty() && wait.0 > 0 {
                        // The poll waits for an end of a run or its deadline.
                        let poll = (i, incarnation, call, sent);
                        let until = now + *wait;
                        return self.waiting_polls.push((w, until, poll, order));
                    }
                }
                let transit = Span(TRANSIT_MICROS) + self.draw_call_delay();
                self.schedule(
                    transit,
                    Event::Reply(i, incarnation, call, sent, Box::new(reply)),
                );
            }
            Event::Reply(i, incarnation, call, sent, reply) => {
                if self.instances[i].incarnation != incarnation {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = Span(self.instances[i].suspended_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Reply(i, incarnation, call, sent, reply));
                }
                let reply = *reply;
                self.feed(i, Input::EndpointReplied { call, sent, reply });
            }
            Event::Store(i, incarnation, call, request, answered) => {
                let reply = match self.store_down {
                    true => StoreReply::Refused,
                    false => self.rows.execute(&request),
                };
                if answered {
                    let reply = Box::new(reply);
                    self.schedule(Span::millis(2), Event::Stored(i, incarnation, call, reply));
                }
            }
            Event::Stored(i, incarnation, call, reply) => {
                if self.instances[i].incarnation != incarnation {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = Span(self.instances[i].suspended_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Stored(i, incarnation, call, reply));
                }
                let reply = *reply;
                self.feed(i, Input::StoreReplied { call, reply });
            }
            Event::StoreOutage(down) => self.store_down = down,
            Event::Submit(i, job, tasks, cpu, duration) => {
                self.submit(i, job, tasks, cpu, duration)
            }
            Event::Kill(i, down) => self.kill(i, down),
            Event::Start(i) => self.start(i),
            Event::Suspend(i, span) => self.instances[i].suspended_until = self.now + span,
            Event::Partition(side, on) => {
                self.partition = match on {
                    true => side,
                    false => HashSet::new(),
                };
            }
            Event::Disconnect(one, other, on) => {
                match on {
                    true => self.disconnected.insert((one, other)),
                    false => self.disconnected.remove(&(one, other)),
                };
            }
            Event::IsolateEndpoint(w, on) => {
                match on {
                    true => self.isolated.insert(w),
                    false => self.isolated.remove(&w),
                };
            }
            Event::MuteEndpoint(w, on) => {
                match on {
                    true => self.muted.insert(w),
                    false => self.muted.remove(&w),
                };
            }
            Event::SlowEndpoint(w, speed) => self.endpoints[w].speed = speed,
            Event::FailRuns(w, on) => self.endpoints[w].failing = on,
            Event::Crash(w) => {
                let now = self.now;
                self.endpoints[w].crash(now);
                self.publish_roster();
            }
            Event::Leave(w) => {
                self.endpoints[w].listing.draining = true;
                self.publish_roster();
            }
            Event::Drain(i) => self.feed(i, Input::Drain),
            Event::CrashAndRestart(w, span, ahead) => {
                let now = self.now;
                self.endpoints[w].crash(now);
                (self.endpoints[w].up, self.endpoints[w].down) = (true, true);
                self.schedule(span, Event::RestartEndpoint(w, ahead));
            }
            Event::RestartEndpoint(w, ahead) => {
                let now = self.now;
                self.endpoints[w].restart(now, ahead);
                self.schedule(self.row_lag, Event::PublishRoster);
            }
            Event::PublishRoster => self.publish_roster(),
            Event::Resize(w, cpu) => {
                self.endpoints[w].listing.capacity.cpu = cpu;
                self.resized.insert(w, (self.now, cpu));
                self.publish_roster();
            }
            Event::Evacuate(centre, evacuated) => self.evacuate(centre, evacuated),
            Event::DenyStore(i, on) => {
                match on {
                    true => self.store_denied.insert(i),
                    false => self.store_denied.remove(&i),
                };
            }
            Event::Throttle(i, until, awake, pause) => {
                if self.now >= until {
                    return;
                }
                let pause_micros = self.random.random_range(pause.0 .0..=pause.1 .0);
                let resumed = self.now + Span(pause_micros);
                let instance = &mut self.instances[i];
                instance.suspended_until = instance.suspended_until.max(resumed);
                let next = Span(pause_micros) + awake;
                self.schedule(next, Event::Throttle(i, until, awake, pause));
            }
            Event::Stall(from, to, until) => {
                self.stalled.insert((from, to), until);
            }
            Event::CutOneWay(from, to, on) => {
                match on {
                    true => self.cut_one_way.insert((from, to)),
                    false => self.cut_one_way.remove(&(from, to)),
                };
            }
            Event::LoseStops(w, on) => {
                match on {
                    true => self.unstoppable.insert(w),
                    false => self.unstoppable.remove(&w),
                };
            }
            Event::DelayStops(w, delay) => {
                match delay {
                    Some(delay) => self.late_stops.insert(w, delay),
                    None => self.late_stops.remove(&w),
                };
            }
            Event::HoldOrders(w, delay) => {
                match delay {
                    Some(delay) => self.held_orders.insert(w, delay),
                    None => self.held_orders.remove(&w),
                };
            }
            Event::BreakCaller(job) => self.break_caller(job),
            Event::BreakCallers(i) => {
                let mut jobs: Vec<JobId> = self.instances[i].tickets.values().copied().collect();
                jobs.sort_unstable();
                jobs.into_iter().for_each(|job| self.break_caller(job));
            }
            Event::Ask(job, question) => self.ask(job, question),
            Event::Abandoned(i, incarnation, ticket) => {
                if self.instances[i].incarnation != incarnation {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = self.instances[i].suspended_until.since(self.now) + self.read_lag;
                    return self.schedule(rest, Event::Abandoned(i, incarnation, ticket));
                }
                self.feed(i, Input::Abandoned(ticket));
            }
            Event::CallerTimeout(i, incarnation, ticket, job) => {
                let instance = &mut self.instances[i];
                let waits = instance.incarnation == incarnation;
                if !waits || instance.tickets.remove(&ticket).is_none() {
                    return;
                }
                if let Some(view) = self.jobs.get_mut(&job) {
                    // The caller can't know whether anything was run.
                    view.only_refused = false;
                }
                self.timed_out.insert(job);
                self.resubmit(job);
                self.on_event(Event::Abandoned(i, incarnation, ticket));
            }
            Event::Unlist(w, on) => {
                match on {
                    true => self.unlisted.insert(w),
                    false => self.unlisted.remove(&w),
                };
                self.publish_roster();
            }
            Event::List(i, incarnation, roster) => {
                if self.instances[i].incarnation != incarnation {
                    return;
                }
                if self.is_suspended(i) {
                    let rest = Span(self.instances[i].suspended_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::List(i, incarnation, roster));
                }
                if self.cut_centre.as_ref() == Some(&self.instances[i].centre) {
                    let again = Span::millis(200);
                    return self.schedule(again, Event::List(i, incarnation, roster));
                }
                let read = self.read_rosters.entry(i).or_default();
                if roster.version > *read {
                    *read = roster.version;
                    self.feed(i, Input::RosterListed(*roster, Vec::new()));
                }
            }
            Event::Replace(i, down) => match self.instances[i].dispatcher.is_some() {
                true => self.kill(i, down),
                false => self.schedule(down, Event::Start(i)),
            },
            Event::CutCentre(centre, on) => {
                let inside = |i: &usize| on && self.instances[*i].centre == centre;
                self.partition = (0..self.instances.len()).filter(inside).collect();
                self.cut_centre = on.then_some(centre);
            }
            Event::CrashAndRename(w, down, rows, ahead) => {
                let now = self.now;
                if !self.endpoints[w].up || self.endpoints[w].down {
                    return;
                }
                self.endpoints[w].crash(now);
                (self.endpoints[w].up, self.endpoints[w].down) = (true, true);
                self.schedule(down, Event::Rename(w, rows, ahead));
            }
            Event::Rename(w, (begin, end), ahead) => {
                (self.endpoints[w].up, self.endpoints[w].down) = (false, false);
                self.stale_rows.insert(w);
                self.schedule(end, Event::EndRow(w));
                let address = self.endpoints[w].listing.address.clone();
                self.add_endpoint(w, address, ahead);
                self.schedule(begin, Event::EndRow(self.endpoints.len() - 1));
            }
            Event::EndRow(w) => {
                match self.endpoints[w].up {
                    true => self.unlisted.remove(&w),
                    false => self.stale_rows.remove(&w),
                };
                self.publish_roster();
            }
            Event::Vanish(w, row) => {
                let now = self.now;
                if self.endpoints[w].up && !self.endpoints[w].down {
                    self.endpoints[w].crash(now);
                    (self.endpoints[w].up, self.endpoints[w].down) = (true, true);
                    self.schedule(row, Event::Unlist(w, true));
                }
            }
            Event::Join(w, begin) => {
                let address = format!("{}", self.endpoints.len() + 1_000);
                self.add_endpoint(w, address, 0);
                self.schedule(begin, Event::EndRow(self.endpoints.len() - 1));
            }
        }
    }

    /// Adds an endpoint beside another one that isn't listed yet.
    fn add_endpoint(&mut self, w: usize, address: String, ahead: u64) {
        let number = self.endpoints.len();
        let mut listing = self.endpoints[w].listing.clone();
        listing.id = format!("w-{number}").parse().unwrap();
        listing.address = address;
        listing.draining = false;
        let mut endpoint = SimulatedEndpoint::new(listing, self.endpoints[w].clock_lag);
        endpoint.restart(self.now, ahead);
        self.endpoints.push(endpoint);
        self.unlisted.insert(number);
    }

    /// Returns whether an instance and an endpoint are apart by the cut of a data centre.
    fn is_cut_off(&self, i: usize, w: usize) -> bool {
        let inside = |centre: &String| self.cut_centre.as_ref() == Some(centre);
        inside(&self.instances[i].centre) != inside(&self.endpoints[w].listing.centre)
    }

    /// Draws how much longer than usual a call or an answer takes.
    fn draw_call_delay(&mut self) -> Span {
        let (share, most) = self.slow_calls;
        // Without slow calls nothing is drawn here, which keeps the random sequence of other faults.
        if share > 0.0 && self.random.random_bool(share) {
            return Span(self.random.random_range(1_000..most.0));
        }
        Span(0)
    }

    /// Lets an instance read the present list after its lag.
    fn list_later(&mut self, i: usize) {
        let Some((from, until)) = self.roster_lag else {
            return;
        };
        if self.unlisted_readers.contains(&i) {
            return;
        }
        let lag = Span(self.random.random_range(from.0..=until.0));
        let incarnation = self.instances[i].incarnation;
        let roster = Box::new(self.roster.clone());
        self.schedule(lag, Event::List(i, incarnation, roster));
    }

    /// Lets each instance read the platform's list at another time after a change.
    pub(crate) fn lag_rosters(&mut self, from: Span, until: Span) {
        self.roster_lag = Some((from, until));
    }

    /// Withholds the platform's list from an instance, which gets it from peers.
    pub(crate) fn deny_list(&mut self, i: usize) {
        self.unlisted_readers.insert(i);
    }

    /// Makes a share of the calls to endpoints and of their answers take up to `most`, so that they overtake each other.
    pub(crate) fn slow_calls(&mut self, share: f64, most: Span) {
        self.slow_calls = (share, most);
    }

    /// Makes the heartbeats of instances that have just started late by up to a span.
    pub(crate) fn lag_starts(&mut self, most: Span) {
        self.start_lag = most;
    }

    /// Kills an instance, or starts it again if it has drained, after `down`.
    pub(crate) fn replace_at(&mut self, after: Span, i: usize, down: Span) {
        self.schedule(after, Event::Replace(i, down));
    }

    /// Cuts a data centre off from the others and from the platform for a span.
    pub(crate) fn cut_centre_at(&mut self, after: Span, centre: &str, span: Span) {
        self.schedule(after, Event::CutCentre(centre.to_owned(), true));
        self.schedule(after + span, Event::CutCentre(centre.to_owned(), false));
    }

    /// Crashes an endpoint, which comes back at its address under a new name after `down`. The new row appears and the old one ends
    /// the given times later.
    pub(crate) fn crash_and_rename_at(
        &mut self,
        after: Span,
        w: usize,
        down: Span,
        rows: (Span, Span),
        ahead: u64,
    ) {
        self.schedule(after, Event::CrashAndRename(w, down, rows, ahead));
    }

    /// Ends an endpoint for good after a notice. Its row lapses `row` later.
    pub(crate) fn vanish_at(&mut self, after: Span, w: usize, notice: Span, row: Span) {
        self.schedule(after, Event::Leave(w));
        self.schedule(after + notice, Event::Vanish(w, row));
    }

    /// Adds an endpoint to the rack of another one. Its row appears `row` later.
    pub(crate) fn join_at(&mut self, after: Span, w: usize, row: Span) {
        self.schedule(after, Event::Join(w, row));
    }

    /// Breaks the connection of a job's caller, who then retries elsewhere. The entry reads the break once it isn't suspended.
    fn break_caller(&mut self, job: JobId) {
        let waits = |instance: &SimulatedInstance| {
            let tickets = instance.tickets.iter();
            let found = tickets.filter(|(_, other)| **other == job);
            found.map(|(ticket, _)| *ticket).min()
        };
        let found = self.instances.iter().map(waits);
        let found = found.enumerate().find_map(|(i, ticket)| Some((i, ticket?)));
        let Some((i, ticket)) = found else {
            return;
        };
        self.instances[i].tickets.remove(&ticket);
        if let Some(view) = self.jobs.get_mut(&job) {
            // The caller can't know whether anything was run.
            view.only_refused = false;
        }
        self.resubmit(job);
        let incarnation = self.instances[i].incarnation;
        self.on_event(Event::Abandoned(i, incarnation, ticket));
    }

    fn evacuate(&mut self, centre: String, evacuated: bool) {
        let change = Change {
            centre,
            evacuated,
            version: self.evacuation.version + 1,
        };
        self.evacuation = self.evacuation.with_change(&change).unwrap();
        for i in 0..self.instances.len() {
            if !self.store_denied.contains(&i) && !self.is_suspended(i) {
                self.feed(i, Input::EvacuationChanged(change.clone()));
            }
        }
    }

    /// Returns how long a task takes at full speed.
    fn duration(&self, task: &TaskId) -> Option<Span> {
        let estimate = self.durations.get(&task.job)?;
        let percent = match self.uneven_tasks {
            true => 60 + (task.job.0 * 31 + u64::from(task.index) * 17) % 81,
            false => 100,
        };
        let number = task.job.0 * 7 + u64::from(task.index);
        let is_long = self.long_tasks && number.is_multiple_of(33);
        let stretch = if is_long { 7 } else { 1 };
        Some(Span(estimate.0 * percent * stretch / 100))
    }

    /// Crashes an endpoint that has started the task of a crashing job. Returns whether it crashed.
    fn crash_by_task(&mut self, w: usize, order: &Order, reply: &Reply) -> bool {
        let (Order::Start { task, .. }, Reply::Done { .. }) = (order, reply) else {
            return false;
        };
        if !self.crashing_jobs.contains(&task.job) || task.index != 0 {
            return false;
        }
        *self.crashes.entry(*task).or_default() += 1;
        let down = Span(self.random.random_range(1_500_000..3_000_000));
        let ahead = self.random.random_range(0..50_000);
        self.on_event(Event::CrashAndRestart(w, down, ahead));
        true
    }

    /// Checks that no start exceeds the capacity of a resized endpoint.
    fn check_capacity(&self, w: usize) {
        let endpoint = &self.endpoints[w];
        let Some((at, cpu)) = self.resized.get(&w) else {
            return;
        };
        let record = endpoint
            .history
            .last()
            .filter(|record| record.from == self.now);
        if record.is_some() && self.now.since(*at) > CAPACITY_LAG {
            assert!(
                endpoint.used_cpu(&self.needs) <= *cpu,
                "{record:?} exceeds the capacity at {}",
                self.now.0
            );
        }
    }

    fn answer_waiting_looks(&mut self) {
        let now = self.now;
        for (w, until, (i, incarnation, call, sent), order) in
            std::mem::take(&mut self.waiting_polls)
        {
            let endpoint = &mut self.endpoints[w];
            if !endpoint.up || endpoint.down {
                continue;
            }
            if until > now && !endpoint.has_unacknowledged_ends() {
                self.waiting_polls
                    .push((w, until, (i, incarnation, call, sent), order));
                continue;
            }
            let reply = Box::new(endpoint.poll_reply(now));
            let cut = self.is_cut_off(i, w);
            if !self.muted.contains(&w) && !self.isolated.contains(&w) && !cut {
                let transit = Span(TRANSIT_MICROS) + self.draw_call_delay();
                self.schedule(transit, Event::Reply(i, incarnation, call, sent, reply));
            }
        }
    }

    fn publish_roster(&mut self) {
        self.update_roster();
        for i in 0..self.instances.len() {
            if self.roster_lag.is_some() {
                self.list_later(i);
            } else if !self.is_suspended(i) {
                self.feed(i, Input::RosterListed(self.roster.clone(), Vec::new()));
            }
        }
    }

    fn is_suspended(&self, i: usize) -> bool {
        self.instances[i].suspended_until > self.now
    }

    fn submit(&mut self, i: usize, job: JobId, tasks: u32, cpu: u64, duration: Span) {
        let view = CallerView {
            answer: None,
            submitted_at: self.now,
            answered_at: self.now,
            only_refused: true,
        };
        self.jobs.entry(job).or_insert(view);
        self.durations.insert(job, duration);
        let need = Resources {
            cpu,
            memory: 64,
            gpu: 0,
        };
        let steps: u32 = if self.stores_jobs { 2 } else { 1 };
        for (step, index) in (0..steps).flat_map(|s| (0..tasks).map(move |i| (s, i))) {
            self.needs.insert(TaskId { job, step, index }, need);
        }
        let up = |h: &SimulatedInstance| h.dispatcher.is_some();
        let Some(i) = (0..self.instances.len())
            .map(|k| (i + k) % self.instances.len())
            .find(|k| up(&self.instances[*k]) && !self.is_suspended(*k))
        else {
            return;
        };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.instances[i].tickets.insert(ticket, job);
        let shape = self.shapes.get(&job).copied().unwrap_or_default();
        if self.callers_time_out {
            let incarnation = self.instances[i].incarnation;
            let timeout = Event::CallerTimeout(i, incarnation, ticket, job);
            self.schedule(shape.wait, timeout);
        }
        let step = |n: u32| Step {
            count: tasks,
            need,
            estimate: Span((duration.0 as f64 * shape.estimate) as u64),
            after: (0..n).collect(),
            ..Step::default()
        };
        let submission = Submission {
            id: job,
            spec: "cell".to_owned(),
            steps: (0..steps).map(step).collect(),
            best_effort: !self.stores_jobs,
            unsupported: None,
        };
        self.feed(
            i,
            Input::Submitted(Box::new(Arrival {
                ticket,
                host: HOST.to_owned(),
                path: format!("{ROUTE}{}/{job}", shape.priority),
                submission,
                wait: Some(shape.wait),
            })),
        );
    }

    /// Returns how many times as long as its job's duration a task takes.
    fn duration_factor(&self, task: TaskId) -> u64 {
        let tail = self.shapes.get(&task.job).map_or(0.0, |shape| shape.tail);
        let draw = keyed_hash(task.job.0 ^ u64::from(task.index), "tail") % 1_000;
        if (draw as f64) < tail * 1_000.0 {
            TAIL_FACTOR
        } else {
            1
        }
    }

    fn on_answer(&mut self, job: JobId, answer: Answer) {
        let now = self.now;
        let Some(view) = self.jobs.get_mut(&job) else {
            return;
        };
        view.answer = Some(answer);
        view.answered_at = now;
        if answer == Answer::Standing(JobState::Cancelled) {
            self.cancelled.entry(job).or_insert(now);
        }
        let resubmits = self.stores_jobs || self.resubmits_given_up;
        if resubmits && matches!(answer, Answer::GivenUp { .. }) {
            view.only_refused = false;
            self.resubmit(job);
            return;
        }
        let Some(view) = self.jobs.get_mut(&job) else {
            return;
        };
        let is_refusal = matches!(
            answer,
            Answer::Refused { .. } | Answer::NoRoute | Answer::Unready
        );
        view.only_refused &= is_refusal;
        if answer == Answer::Completed {
            let is_done = |b: &&RunRecord| b.task.job == job && b.done;
            let done: HashSet<u32> = self
                .endpoints
                .iter()
                .flat_map(|w| &w.history)
                .filter(is_done)
                .map(|b| b.task.index)
                .collect();
            let tasks = self.needs.keys().filter(|t| t.job == job).count();
            assert_eq!(
                done.len(),
                tasks,
                "{job} was answered as completed, but not all of its tasks are done"
            );
        }
    }

    /// Kills an instance. Its callers see their connections break and retry elsewhere.
    fn kill(&mut self, i: usize, down: Span) {
        if self.instances[i].dispatcher.take().is_none() {
            return;
        }
        self.instances_up -= 1;
        self.instances[i].incarnation += 1;
        let mut jobs: Vec<JobId> = self.instances[i]
            .tickets
            .drain()
            .map(|(_, job)| job)
            .collect();
        jobs.sort_unstable();
        for job in jobs {
            if let Some(view) = self.jobs.get_mut(&job) {
                // The caller can't know whether anything was run.
                view.only_refused = false;
            }
            self.resubmit(job);
        }
        self.schedule(down, Event::Start(i));
    }

    /// Schedules the retry of a job's caller at a random instance.
    fn resubmit(&mut self, job: JobId) {
        self.resubmitted.insert(job);
        let first = |t: &&TaskId| t.job == job && t.step == 0;
        let tasks = self.needs.keys().filter(first).count() as u32;
        let task = TaskId {
            job,
            step: 0,
            index: 0,
        };
        let (cpu, duration) = (self.needs[&task].cpu, self.durations[&job]);
        let at = self.random.random_range(0..self.instances.len());
        let at = self.retry_at.unwrap_or(at);
        self.schedule(CALLER_RETRY, Event::Submit(at, job, tasks, cpu, duration));
    }

    /// Cancels a stored job.
    pub(crate) fn cancel_at(&mut self, after: Span, job: JobId) {
        self.schedule(after, Event::Ask(job, Question::Cancel));
    }

    /// Asks for the state of a stored job.
    pub(crate) fn query_at(&mut self, after: Span, job: JobId) {
        self.schedule(after, Event::Ask(job, Question::State));
    }

    /// Returns whether a job was completed within its objective.
    pub(crate) fn is_on_time(&self, job: JobId) -> bool {
        let view = self.jobs[&job];
        let objective =
            Span((self.durations[&job].0 as f64 * OBJECTIVE_STRETCH) as u64) + OBJECTIVE_TARGET;
        view.answer == Some(Answer::Completed)
            && view.answered_at.since(view.submitted_at) <= objective
    }

    /// Returns the number of tasks of all jobs.
    pub(crate) fn task_count(&self) -> usize {
        self.needs.len()
    }

    /// Makes jobs that are submitted from now on stored jobs.
    pub(crate) fn store_jobs(&mut self) {
        self.stores_jobs = true;
    }

    pub(crate) fn store_outage_at(&mut self, after: Span, span: Span) {
        self.schedule(after, Event::StoreOutage(true));
        self.schedule(after + span, Event::StoreOutage(false));
    }

    /// Runs to the end and checks stored jobs: all tasks of an accepted job are done unless it failed, and no task was started
    /// again after its end was acknowledged to the endpoint, at once or, if its lease had expired before, later than
    /// [`END_SPREAD`], nor of a cancelled job. Returns the number of accepted jobs.
    pub(crate) fn finish_and_check_stored(&mut self) -> usize {
        self.finish_and_check();
        self.run(Span::seconds(20));
        let mut done: HashSet<TaskId> = HashSet::new();
        let all = || self.endpoints.iter().flat_map(|w| &w.history);
        for record in all().filter(|b| b.done) {
            done.insert(record.task);
            if record.forgotten_early {
                let rerun = all().find(|b| b.task == record.task && Some(b.from) > record.until);
                assert_eq!(
                    rerun, None,
                    "{record:?} was acknowledged, and the task started again"
                );
            }
            if let Some(at) = record.forgotten_at {
                let late = all().find(|b| b.task == record.task && b.from > at + END_SPREAD);
                assert_eq!(
                    late, None,
                    "{record:?} was acknowledged long before the task started again"
                );
            }
        }
        for record in all() {
            let cancelled = self.cancelled.get(&record.task.job);
            assert!(
                cancelled.is_none_or(|at| record.from <= *at + END_SPREAD),
                "{record:?} started after its job was shown as cancelled"
            );
        }
        // The answer that it's accepted may come after the one that it's cancelled.
        let is_accepted = |(id, view): &(&JobId, &CallerView)| {
            view.answer == Some(Answer::Accepted) && !self.cancelled.contains_key(id)
        };
        let accepted: Vec<JobId> = self
            .jobs
            .iter()
            .filter(is_accepted)
            .map(|(id, _)| *id)
            .collect();
        for job in &accepted {
            let mut tasks = self.needs.keys().filter(|task| task.job == *job);
            let failures = |task: &TaskId| all().filter(|b| b.task == *task && b.failed).count();
            let crashes = |task: &TaskId| all().filter(|b| b.task == *task && b.crashed).count();
            let given_up =
                |task: &TaskId| failures(task) >= ATTEMPTS as usize || crashes(task) >= MAX_CRASHES;
            if tasks.clone().any(given_up) {
                continue;
            }
            let missing = tasks.find(|task| !done.contains(task));
            assert_eq!(missing, None, "this task of an accepted job was never done");
        }
        accepted.len()
    }

    /// Checks that a stored job that crashes endpoints was accepted, and that a query now says that it failed.
    pub(crate) fn check_crashing_job_failed(&mut self, job: JobId) {
        let is_accepted = self.jobs[&job].answer == Some(Answer::Accepted);
        assert!(is_accepted, "{job} wasn't accepted: {:?}", self.jobs[&job]);
        self.ask(job, Question::State);
        self.run(Span::seconds(3));
        let failed = Answer::Standing(JobState::Failed);
        assert_eq!(self.jobs[&job].answer, Some(failed));
    }

    /// Asks an instance that is up about a stored job.
    fn ask(&mut self, job: JobId, question: Question) {
        let up = |h: &SimulatedInstance| h.dispatcher.is_some();
        let Some(i) = self.instances.iter().position(up) else {
            return;
        };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.instances[i].tickets.insert(ticket, job);
        self.feed(
            i,
            Input::JobRequested {
                ticket,
                job,
                question,
            },
        );
    }

    /// Checks that no task runs twice at the same time.
    fn check_no_double_runs(&self) {
        if self.collects_overlaps {
            return;
        }
        let mut running: HashMap<TaskId, &str> = HashMap::new();
        for endpoint in self.endpoints.iter().filter(|w| w.up && !w.down) {
            for task in endpoint.running.keys() {
                let id = endpoint.listing.id.as_str();
                if let Some(other) = running.insert(*task, id) {
                    panic!("{task} runs on {other} and on {id} at {}", self.now.0);
                }
            }
        }
    }

    /// Runs to the end and checks that no job was started whose every answer was a refusal.
    pub(crate) fn finish_and_check(&mut self) {
        self.run(Span::seconds(12));
        for endpoint in &self.endpoints {
            for record in &endpoint.history {
                let view = self.jobs[&record.task.job];
                let is_refused = view.answer.is_some() && view.only_refused;
                assert!(!is_refused, "{} ran, but its job was refused", record.task);
            }
        }
    }

    /// Submits jobs at a constant rate to random instances.
    pub(crate) fn submit_jobs(&mut self, jobs: u64, every: Span) {
        for n in 0..jobs {
            let i = self.random.random_range(0..self.instances.len());
            let tasks = self.random.random_range(1..6);
            let duration = Span::millis([60, 200, 900][self.random.random_range(0..3)]);
            let cpu = self.random.random_range(1_000..2_000);
            let job = JobId(0x1000 + self.jobs.len() as u64 * 100_000 + n);
            self.schedule(every.times(n), Event::Submit(i, job, tasks, cpu, duration));
        }
    }

    /// Submits a job of a shape at an instance. Its tasks need `cpu` thousandths of a core each.
    pub(crate) fn submit_at(
        &mut self,
        after: Span,
        i: usize,
        (tasks, cpu, duration): (u32, u64, Span),
        shape: Shape,
    ) {
        let job = JobId(1 + self.shapes.len() as u64);
        self.shapes.insert(job, shape);
        self.schedule(after, Event::Submit(i, job, tasks, cpu, duration));
    }

    /// Returns the shape of a job.
    pub(crate) fn shape(&self, job: JobId) -> Shape {
        self.shapes.get(&job).copied().unwrap_or_default()
    }

    /// Makes the tasks of all jobs take between 0.6 and 1.4 times their estimate.
    pub(crate) fn vary_tasks(&mut self) {
        self.uneven_tasks = true;
    }

    /// Makes 3 % of the tasks take seven times as long.
    pub(crate) fn lengthen_tasks(&mut self) {
        self.long_tasks = true;
    }

    /// Drops all stop orders to an endpoint from now on.
    pub(crate) fn lose_stops(&mut self, w: usize) {
        self.unstoppable.insert(w);
    }

    /// Drops the stop orders to an endpoint for a span.
    pub(crate) fn lose_stops_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::LoseStops(w, true));
        self.schedule(after + span, Event::LoseStops(w, false));
    }

    /// Carries the stop orders to an endpoint that are sent within a span out late, and without an answer.
    pub(crate) fn delay_stops_at(&mut self, after: Span, w: usize, span: Span, delay: Span) {
        self.schedule(after, Event::DelayStops(w, Some(delay)));
        self.schedule(after + span, Event::DelayStops(w, None));
    }

    /// Holds the orders that are sent to an endpoint within a span. Each is carried out `delay` later, without an answer, by the life
    /// that is there by then, also if the endpoint can't be reached at that time.
    pub(crate) fn hold_orders_at(&mut self, after: Span, w: usize, span: Span, delay: Span) {
        self.schedule(after, Event::HoldOrders(w, Some(delay)));
        self.schedule(after + span, Event::HoldOrders(w, None));
    }

    /// Lets an instance run only now and then for a span: for `awake`, then not for a random time within `pause`. What arrives
    /// meanwhile waits, ticks included.
    pub(crate) fn throttle_at(
        &mut self,
        after: Span,
        i: usize,
        span: Span,
        awake: Span,
        pause: (Span, Span),
    ) {
        let until = self.now + after + span;
        self.schedule(after, Event::Throttle(i, until, awake, pause));
    }

    /// Holds back messages from one instance to another for a span. They arrive in order at its end; heartbeats pass.
    pub(crate) fn stall_at(&mut self, after: Span, from: usize, to: usize, span: Span) {
        let until = self.now + after + span;
        self.schedule(after, Event::Stall(from, to, until));
    }

    /// Drops messages and heartbeats from one instance to another for a span. The other way they pass.
    pub(crate) fn cut_one_way_at(&mut self, after: Span, from: usize, to: usize, span: Span) {
        self.schedule(after, Event::CutOneWay(from, to, true));
        self.schedule(after + span, Event::CutOneWay(from, to, false));
    }

    /// Breaks the connection of a job's caller, who retries elsewhere.
    pub(crate) fn break_caller_at(&mut self, after: Span, job: JobId) {
        self.schedule(after, Event::BreakCaller(job));
    }

    /// Breaks the connections of all callers of an instance, who retry elsewhere.
    pub(crate) fn break_callers_at(&mut self, after: Span, i: usize) {
        self.schedule(after, Event::BreakCallers(i));
    }

    /// Makes callers resubmit jobs that were given up, as after a broken connection.
    pub(crate) fn resubmit_given_up(&mut self) {
        self.resubmits_given_up = true;
    }

    /// Makes callers whose wait is over break their connections and resubmit their jobs.
    pub(crate) fn time_out_callers(&mut self) {
        self.callers_time_out = true;
    }

    /// Leaves an endpoint out of the platform's list for a span, whatever state it's in.
    pub(crate) fn unlist_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::Unlist(w, true));
        self.schedule(after + span, Event::Unlist(w, false));
    }

    /// Returns the number of racks that have an owner.
    pub(crate) fn owned_racks(&self) -> usize {
        (0..self.instances.len()).map(|i| self.rack_count(i)).sum()
    }

    /// Makes callers whose connection broke resubmit their jobs at an instance.
    pub(crate) fn set_retry_instance(&mut self, i: usize) {
        self.retry_at = Some(i);
    }

    /// Sets how long after a resume an instance reads the breaks of callers' connections: sockets that are ready when a process
    /// resumes are read in an order that isn't that of arrival. A break waits again if the instance is suspended by then.
    pub(crate) fn set_read_lag(&mut self, lag: Span) {
        self.read_lag = lag;
    }

    /// Returns the instances of a data centre that own a rack, and those that own none.
    pub(crate) fn owners_in(&self, centre: &str) -> (Vec<usize>, Vec<usize>) {
        let near = (0..self.instances.len()).filter(|i| self.instances[*i].centre == centre);
        near.partition(|i| self.rack_count(*i) > 0)
    }

    /// Returns the runs of a job with their endpoints, in the order of their starts.
    pub(crate) fn runs(&self, job: JobId) -> Vec<(usize, RunRecord)> {
        let endpoints = self.endpoints.iter().enumerate();
        let records = endpoints.flat_map(|(w, e)| e.history.iter().map(move |r| (w, *r)));
        let mut runs: Vec<_> = records.filter(|(_, r)| r.task.job == job).collect();
        runs.sort_by_key(|(w, record)| (record.from, *w));
        runs
    }

    /// Reports two runs of a task at a time by [`World::check_no_overlaps`], with the time that they overlap, rather than at once.
    pub(crate) fn collect_overlaps(&mut self) {
        self.collects_overlaps = true;
    }

    /// Checks that no two runs of a task on different endpoints overlapped.
    pub(crate) fn check_no_overlaps(&self) {
        let overlaps = self.overlaps();
        if let Some(overlap) = overlaps.first() {
            let ((w, one), (other_w, other)) = (overlap.earlier, overlap.later);
            panic!(
                "{} overlaps, the longest of {} ms: {} ran on w-{w} from {} to {:?} and on w-{other_w} from {} to {:?}",
                overlaps.len(),
                overlap.span.as_millis(),
                one.task,
                one.from.0,
                one.until.map(|until| until.0),
                other.from.0,
                other.until.map(|until| until.0),
            );
        }
    }

    /// Returns the overlaps of runs of a task on different endpoints, the longest one first.
    pub(crate) fn overlaps(&self) -> Vec<Overlap> {
        let mut runs: HashMap<TaskId, Vec<(usize, RunRecord, Time)>> = HashMap::new();
        for (w, endpoint) in self.endpoints.iter().enumerate() {
            for (n, record) in endpoint.history.iter().enumerate() {
                let mut later = endpoint.history[n + 1..].iter();
                // A later run of the task on the same endpoint has replaced it.
                let replaced = later.find(|other| other.task == record.task);
                let until = record.until.or(replaced.map(|other| other.from));
                let until = until.unwrap_or(self.now);
                runs.entry(record.task)
                    .or_default()
                    .push((w, *record, until));
            }
        }
        let mut overlaps = Vec::new();
        for runs in runs.values() {
            for (n, (w, one, one_until)) in runs.iter().enumerate() {
                for (other_w, other, other_until) in &runs[n + 1..] {
                    let (from, until) = (one.from.max(other.from), *one_until.min(other_until));
                    if w == other_w || from >= until {
                        continue;
                    }
                    let ((one, other), span) =
                        (((*w, *one), (*other_w, *other)), until.since(from));
                    let (earlier, later) = match one.1.from <= other.1.from {
                        true => (one, other),
                        false => (other, one),
                    };
                    overlaps.push(Overlap {
                        span,
                        earlier,
                        later,
                    });
                }
            }
        }
        overlaps.sort_by_key(|overlap| (Reverse(overlap.span), overlap.earlier.1.task));
        overlaps
    }

    /// Returns how often an event was logged.
    pub(crate) fn log_count(&self, event: &str) -> usize {
        self.logged.get(event).copied().unwrap_or_default()
    }

    /// Changes an endpoint's kind and the speed of its runs.
    pub(crate) fn set_kind(&mut self, w: usize, label: &str, speed: f64) {
        self.endpoints[w].listing.labels[0] = label.to_owned();
        self.endpoints[w].speed = speed;
        self.publish_roster();
    }

    /// Submits a job of a priority to a random instance, and returns its ID.
    pub(crate) fn submit_job_at(
        &mut self,
        after: Span,
        priority: u32,
        tasks: u32,
        cpu: u64,
        duration: Span,
    ) -> JobId {
        let job = JobId(0x1000 + self.shapes.len() as u64);
        let shape = Shape {
            priority,
            ..Shape::default()
        };
        self.shapes.insert(job, shape);
        let i = self.random.random_range(0..self.instances.len());
        self.schedule(after, Event::Submit(i, job, tasks, cpu, duration));
        job
    }

    /// Submits a job with a given ID at an instance, also one that was submitted before.
    pub(crate) fn submit_job_again_at(
        &mut self,
        after: Span,
        i: usize,
        job: JobId,
        (tasks, cpu, duration): (u32, u64, Span),
    ) {
        self.schedule(after, Event::Submit(i, job, tasks, cpu, duration));
    }

    pub(crate) fn kill_at(&mut self, after: Span, i: usize, down: Span) {
        self.schedule(after, Event::Kill(i, down));
    }

    /// Drops all orders to an endpoint for a span.
    pub(crate) fn isolate_endpoint_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::IsolateEndpoint(w, true));
        self.schedule(after + span, Event::IsolateEndpoint(w, false));
    }

    pub(crate) fn suspend_at(&mut self, after: Span, i: usize, span: Span) {
        self.schedule(after, Event::Suspend(i, span));
    }

    pub(crate) fn partition_at(&mut self, after: Span, side: &[usize], span: Span) {
        let side: HashSet<usize> = side.iter().copied().collect();
        self.schedule(after, Event::Partition(side, true));
        self.schedule(after + span, Event::Partition(HashSet::new(), false));
    }

    /// Drops all messages between two instances for a span. The first must have the lower number.
    pub(crate) fn disconnect_at(&mut self, after: Span, one: usize, other: usize, span: Span) {
        self.schedule(after, Event::Disconnect(one, other, true));
        self.schedule(after + span, Event::Disconnect(one, other, false));
    }

    pub(crate) fn mute_endpoint_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::MuteEndpoint(w, true));
        self.schedule(after + span, Event::MuteEndpoint(w, false));
    }

    /// Runs the tasks of an endpoint at a fraction of their speed for a span. It answers calls as before.
    pub(crate) fn slow_endpoint_at(&mut self, after: Span, w: usize, speed: f64, span: Span) {
        self.schedule(after, Event::SlowEndpoint(w, speed));
        self.schedule(after + span, Event::SlowEndpoint(w, 1.0));
    }

    /// Makes all runs on an endpoint fail immediately for a span.
    pub(crate) fn fail_runs_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::FailRuns(w, true));
        self.schedule(after + span, Event::FailRuns(w, false));
    }

    pub(crate) fn crash_at(&mut self, after: Span, w: usize) {
        self.schedule(after, Event::Crash(w));
    }

    pub(crate) fn leave_at(&mut self, after: Span, w: usize) {
        self.schedule(after, Event::Leave(w));
    }

    /// Crashes an endpoint and restarts it under the same name after `down`, with its clock at `ahead` milliseconds.
    pub(crate) fn crash_and_restart_at(&mut self, after: Span, w: usize, down: Span, ahead: u64) {
        self.schedule(after, Event::CrashAndRestart(w, down, ahead));
    }

    /// Sets how long after a restart of an endpoint its row is updated.
    pub(crate) fn set_row_lag(&mut self, lag: Span) {
        self.row_lag = lag;
    }

    /// Makes endpoints that are down drop calls instead of refusing connections, as a firewall does.
    pub(crate) fn crash_silently(&mut self) {
        self.crashes_silently = true;
    }

    /// Submits a job whose first task crashes each endpoint that starts it.
    pub(crate) fn submit_crashing_job(&mut self, after: Span, job: JobId, tasks: u32) {
        self.crashing_jobs.insert(job);
        let i = self.random.random_range(0..self.instances.len());
        let duration = Span::millis(200);
        // Each crash is in doubt until the endpoint is back, after 3 s at the most.
        let shape = Shape {
            wait: Span::seconds(9),
            ..Shape::default()
        };
        self.shapes.insert(job, shape);
        self.schedule(after, Event::Submit(i, job, tasks, 1_000, duration));
    }

    /// Changes an endpoint's capacity while it runs. The endpoint doesn't enforce it from then on.
    pub(crate) fn resize_at(&mut self, after: Span, w: usize, cpu: u64) {
        self.endpoints[w].enforces_capacity = false;
        self.schedule(after, Event::Resize(w, cpu));
    }

    /// Evacuates a data centre for a span.
    pub(crate) fn evacuate_at(&mut self, after: Span, centre: &str, span: Span) {
        self.schedule(after, Event::Evacuate(centre.to_owned(), true));
        self.schedule(after + span, Event::Evacuate(centre.to_owned(), false));
    }

    /// Withholds the store's evacuations from an instance for a span.
    pub(crate) fn deny_store_at(&mut self, after: Span, i: usize, span: Span) {
        self.schedule(after, Event::DenyStore(i, true));
        self.schedule(after + span, Event::DenyStore(i, false));
    }

    /// Returns the number of starts in a data centre between two times.
    pub(crate) fn starts_in(&self, centre: &str, from: Time, until: Time) -> usize {
        let endpoints = self.endpoints.iter().filter(|w| w.listing.centre == centre);
        let history = endpoints.flat_map(|w| &w.history);
        history.filter(|b| b.from > from && b.from < until).count()
    }

    pub(crate) fn drain_at(&mut self, after: Span, i: usize) {
        self.schedule(after, Event::Drain(i));
    }

    pub(crate) fn rack_count(&self, i: usize) -> usize {
        let dispatcher = self.instances[i].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.stats().racks)
    }

    pub(crate) fn count(&self, answer: impl Fn(&Answer) -> bool) -> usize {
        let answers = self.jobs.values().filter_map(|view| view.answer.as_ref());
        answers.filter(|a| answer(a)).count()
    }

    pub(crate) fn starts_on(&self, w: usize, after: Time) -> usize {
        let history = &self.endpoints[w].history;
        history.iter().filter(|record| record.from > after).count()
    }
}

fn centre(i: usize) -> String {
    ["ulemiste", "maardu", "paldiski"][i].to_owned()
}
