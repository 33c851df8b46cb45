//! A simulation of dispatchers, endpoints and callers on a simulated clock. It injects faults and checks invariants.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap,
        HashSet, //
    },
};

use poplarknot::{
    dispatch::{
        evacuation::{
            Change,
            Evacuation, //
        },
        id::{
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
        Dispatcher, Identity,
    },
    prelude::*,
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use super::{
    endpoint::Worker,
    rows::Rows, //
};

/// The interval between ticks of an instance.
const TICK: Span = Span::millis(10);
/// The shortest transit time of a message, in microseconds.
const TRANSIT_MICROS: u64 = 300;
/// How long an instance waits for a reply of the store.
const STORE_TIMEOUT: Span = Span::millis(400);
/// How long after a change of an endpoint's capacity starts may arrive that were sent before the owner knew it.
const CAPACITY_LAG: Span = Span::millis(20);
/// How long after a broken connection a caller retries.
const CALLER_RETRY: Span = Span::millis(1_300);

/// The faults of calls to endpoints and the store, and of messages between instances.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The share of orders that get no answer and are carried out 2 to 6 s later.
    pub late: f64,
    /// The share of heartbeats that are lost.
    pub lost_heartbeats: f64,
    /// The share of runs that fail.
    pub failures: f64,
    /// The share of messages to a peer that hit a broken connection. They are sent over a new one 250 to 400 ms later, and later
    /// messages wait for them.
    pub broken_links: f64,
    /// The share of calls to the store that get no reply. Half of them are carried out soon, a quarter much later, and the
    /// others never.
    pub lost_calls: f64,
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
    Freeze(usize, Span),
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
}

#[derive(Debug)]
enum Delivery {
    Message(Sender, Message),
    Heartbeat(Sender, Heartbeat),
}

/// An instance, with the state that its runtime would keep.
struct Host {
    dispatcher: Option<Dispatcher>,
    contact: Contact,
    centre: String,
    life: u64,
    frozen_until: Time,
    /// The incarnation and session of each peer, and how often they changed.
    sessions: HashMap<Instance, (u64, u32, u64)>,
    tickets: HashMap<Ticket, JobId>,
    /// When the last message to each other instance arrives.
    last_arrivals: HashMap<usize, Time>,
}

/// A job as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerView {
    pub answer: Option<Answer>,
    /// When the caller first submitted it.
    pub since: Time,
    /// When the last answer came.
    pub at: Time,
    /// Whether every answer so far said that nothing was run.
    pub refused: bool,
}

/// The simulation.
pub(crate) struct World {
    pub now: Time,
    pub hosts_up: usize,
    pub jobs: HashMap<JobId, CallerView>,
    pub workers: Vec<Worker>,
    /// How many stop orders endpoints got.
    pub stopped: usize,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payloads: HashMap<u64, Event>,
    serial: u64,
    random: SmallRng,
    faults: Faults,
    needs: HashMap<TaskId, Resources>,
    durations: HashMap<JobId, Span>,
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
    /// The evacuated data centres.
    evacuation: Evacuation,
    /// Instances that get no evacuations from the store.
    store_denied: HashSet<usize>,
    /// Whether jobs are stored. They then have two steps, the second after the first.
    stores_jobs: bool,
    /// Polls that wait for an end of a run.
    waiting_polls: Vec<WaitingPoll>,
    /// Whether endpoints that are down drop calls instead of refusing connections.
    crashes_silently: bool,
    /// Jobs whose first task crashes each endpoint that starts it.
    crashing_jobs: HashSet<JobId>,
    /// How often each task crashed an endpoint.
    pub crashes: HashMap<TaskId, usize>,
    /// How long after a restart of an endpoint its row is updated.
    row_lag: Span,
    /// The capacity of each resized endpoint, and when it was changed.
    resized: HashMap<usize, (Time, u64)>,
}

/// A waiting poll: the endpoint, its deadline, the call of an instance, and the order.
type WaitingPoll = (usize, Time, (usize, u64, CallId, Time), Box<Order>);

/// A job is on time if it takes no longer than this multiple of its work plus [`OBJECTIVE_TARGET`].
const OBJECTIVE_STRETCH: f64 = 1.6;
const OBJECTIVE_TARGET: Span = Span::millis(60);

/// The attempts of a task.
const ATTEMPTS: u32 = 3;

/// How many endpoints a task may crash before its job may be given up.
const MAX_CRASHES: usize = 2;

const ROUTE: &str = "/q/";
const HOST: &str = "queue.example";

impl World {
    /// Returns a simulation with instances and racks of four endpoints, spread over two data centres, after two seconds.
    pub(crate) fn new(seed: u64, instances: usize, racks: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: Time(1_000_000),
            hosts_up: 0,
            jobs: HashMap::new(),
            workers: Vec::new(),
            stopped: 0,
            hosts: Vec::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            serial: 0,
            random: SmallRng::seed_from_u64(seed),
            faults,
            needs: HashMap::new(),
            durations: HashMap::new(),
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
            resized: HashMap::new(),
        };
        for i in 0..racks * 4 {
            let listing = Listing {
                id: format!("w-{i}").parse().unwrap(),
                life: Life(1),
                service: "cells".to_owned(),
                address: format!("{i}"),
                centre: centre(i / 4),
                rack: format!("r{}", i / 4),
                labels: vec!["a".to_owned(), format!("r{}", i / 4)],
                capacity: Resources {
                    cpu: 4_000,
                    memory: 4_000,
                    gpu: 0,
                },
                draining: false,
            };
            let slow = [0.0, 0.02, 0.01][i % 3];
            world.workers.push(Worker::new(listing, slow));
        }
        world.update_roster();
        for i in 0..instances {
            world.hosts.push(Host {
                dispatcher: None,
                contact: Contact {
                    name: format!("instance-{i}").parse().unwrap(),
                    address: format!("{i}"),
                },
                centre: centre(i),
                life: 0,
                frozen_until: Time::default(),
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
        let up = self.workers.iter().filter(|w| w.up);
        self.roster.endpoints = up.map(|w| w.listing.clone()).collect();
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
            for worker in &mut self.workers {
                worker.advance(time);
            }
            self.answer_waiting_looks();
            if let Some(event) = self.payloads.remove(&serial) {
                self.handle(event);
            }
            self.check_no_double_runs();
        }
        self.now = end;
    }

    fn start(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        host.life += 1;
        host.sessions.clear();
        host.tickets.clear();
        let identity = Identity {
            contact: host.contact.clone(),
            centre: host.centre.clone(),
            incarnation: host.life,
            share: 250,
            epoch: Epoch(now.0 / 1_000_000),
        };
        host.dispatcher = Some(Dispatcher::new(identity, now));
        self.hosts_up += 1;
        let contacts = self.hosts.iter().map(|h| h.contact.clone()).collect();
        let route = Route {
            name: "queue".to_owned(),
            host: HOST.to_owned(),
            prefix: ROUTE.to_owned(),
            service: "cells".to_owned(),
            attempts: ATTEMPTS,
            timeout: Span::seconds(4),
            stretch: OBJECTIVE_STRETCH,
            target: OBJECTIVE_TARGET,
            ..Route::default()
        };
        let configuration = Configuration {
            version: 1,
            routes: vec![route],
            ..Configuration::default()
        };
        self.feed(i, Input::Configured(Box::new(configuration)));
        if !self.store_denied.contains(&i) {
            self.feed(i, Input::Evacuated(self.evacuation.clone()));
        }
        self.feed(i, Input::RosterListed(self.roster.clone()));
        self.feed(i, Input::MembersFound(contacts));
        let life = self.hosts[i].life;
        self.schedule(TICK, Event::Tick(i, life));
    }

    fn feed(&mut self, i: usize, input: Input) {
        let now = self.now;
        let Some(dispatcher) = &mut self.hosts[i].dispatcher else {
            return;
        };
        let outputs = dispatcher.step(now, input);
        for output in outputs {
            self.carry_out(i, output);
        }
    }

    fn sender(&self, i: usize, to: &Instance) -> Sender {
        let host = &self.hosts[i];
        let (incarnation, session, _) = host.sessions.get(to).copied().unwrap_or_default();
        Sender {
            contact: host.contact.clone(),
            centre: host.centre.clone(),
            incarnation: host.life,
            receiver_incarnation: incarnation,
            session,
            sent: self.now,
        }
    }

    fn index(&self, name: &Instance) -> Option<usize> {
        self.hosts.iter().position(|h| h.contact.name == *name)
    }

    fn carry_out(&mut self, i: usize, output: Output) {
        match output {
            Output::Answer(ticket, answer) => {
                if let Some(job) = self.hosts[i].tickets.remove(&ticket) {
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
                let last_arrival = self.hosts[i].last_arrivals.entry(to_index).or_default();
                *last_arrival = earliest.max(*last_arrival);
                let delay = last_arrival.since(self.now);
                let delivery = Box::new(Delivery::Message(sender, message));
                self.post(i, to_index, delay, delivery);
            }
            Output::Heartbeat(to, heartbeat) => {
                for to in to {
                    let Some(to_index) = self.index(&to.name) else {
                        continue;
                    };
                    if self.random.random_bool(self.faults.lost_heartbeats) {
                        continue;
                    }
                    let sender = self.sender(i, &to.name);
                    let delay = Span(TRANSIT_MICROS + self.random.random_range(0..400));
                    let delivery = Box::new(Delivery::Heartbeat(sender, heartbeat.clone()));
                    self.post(i, to_index, delay, delivery);
                }
            }
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => {
                let session_entry = self.hosts[i].sessions.entry(to.name).or_default();
                *session_entry = (incarnation, session, session_entry.2 + 1);
            }
            Output::Drained => {
                self.hosts[i].dispatcher = None;
                self.hosts_up -= 1;
            }
            Output::Log(record) => {
                if std::env::var_os("DISPATCH_LOG").is_some() {
                    println!(
                        "{} {} {record:?}",
                        self.now.0 / 1_000,
                        self.hosts[i].contact.name
                    );
                }
            }
            Output::Store { call, request } => {
                let life = self.hosts[i].life;
                let request = Box::new(request);
                if self.random.random_bool(self.faults.lost_calls) {
                    let silent = Box::new(StoreReply::Silent);
                    self.schedule(STORE_TIMEOUT, Event::Stored(i, life, call, silent));
                    let after = match self.random.random_range(0..4) {
                        0 | 1 => Span::millis(3),
                        2 => Span(self.random.random_range(500_000..3_000_000)),
                        _ => return,
                    };
                    self.schedule(after, Event::Store(i, life, call, request, false));
                } else {
                    let transit = Span::millis(3);
                    self.schedule(transit, Event::Store(i, life, call, request, true));
                }
            }
            Output::Disconnect(_) | Output::CloseIdleCallers => {}
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

    fn post(&mut self, i: usize, to: usize, delay: Span, delivery: Box<Delivery>) {
        let apart = self.partition.contains(&i) != self.partition.contains(&to);
        if apart || self.disconnected.contains(&(i.min(to), i.max(to))) {
            return;
        }
        let life = self.hosts[to].life;
        self.schedule(delay, Event::Deliver(to, life, delivery));
    }

    fn call(&mut self, i: usize, call: CallId, id: &Endpoint, order: Order, patience: Span) {
        let life = self.hosts[i].life;
        let sent = self.now;
        let found = self.workers.iter().position(|w| w.listing.id == *id);
        let Some(worker) = found else {
            return;
        };
        let late = self.random.random_bool(self.faults.late);
        if late {
            let after = Span(self.random.random_range(2_000_000..6_000_000));
            let order = Box::new(order);
            self.schedule(
                after,
                Event::Order(worker, i, life, call, sent, order, true),
            );
            self.schedule(
                patience,
                Event::Reply(i, life, call, sent, Box::new(Reply::Silent)),
            );
            return;
        }
        let transit = Span(TRANSIT_MICROS + self.random.random_range(0..300));
        let order = Box::new(order);
        self.schedule(
            transit,
            Event::Order(worker, i, life, call, sent, order, false),
        );
        // Only the first reply of a call counts.
        self.schedule(
            patience,
            Event::Reply(i, life, call, sent, Box::new(Reply::Silent)),
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => {
                if self.hosts[i].life != life || self.hosts[i].dispatcher.is_none() {
                    return;
                }
                if self.is_frozen(i) {
                    let rest = self.hosts[i].frozen_until.since(self.now);
                    return self.schedule(rest, Event::Tick(i, life));
                }
                self.feed(i, Input::Tick);
                self.schedule(TICK, Event::Tick(i, life));
            }
            Event::Deliver(i, life, delivery) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.is_frozen(i) {
                    let rest = Span(self.hosts[i].frozen_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Deliver(i, life, delivery));
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
            Event::Order(w, ..) if self.isolated.contains(&w) => {}
            Event::Order(w, i, life, call, sent, order, late) => {
                let takes = match &*order {
                    Order::Start { task, .. } => self.durations.get(&task.job).copied(),
                    _ => None,
                };
                let failing = self.workers[w].failing;
                let fails = self.random.random_bool(self.faults.failures) || failing;
                let takes = takes.map(|takes| if failing { Span::millis(1) } else { takes });
                let now = self.now;
                if self.workers[w].down {
                    if self.crashes_silently {
                        return;
                    }
                    let reply = Box::new(Reply::Unsent);
                    return self.schedule(
                        Span(TRANSIT_MICROS),
                        Event::Reply(i, life, call, sent, reply),
                    );
                }
                if !self.workers[w].up {
                    let reply = Box::new(Reply::Reborn);
                    return self.schedule(
                        Span(TRANSIT_MICROS),
                        Event::Reply(i, life, call, sent, reply),
                    );
                }
                if matches!(&*order, Order::Stop { .. }) {
                    self.stopped += 1;
                }
                let takes = takes.unwrap_or_default();
                let reply = self.workers[w].execute(&order, &self.needs, takes, fails, now);
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
                        let poll = (i, life, call, sent);
                        let until = now + *wait;
                        return self.waiting_polls.push((w, until, poll, order));
                    }
                }
                self.schedule(
                    Span(TRANSIT_MICROS),
                    Event::Reply(i, life, call, sent, Box::new(reply)),
                );
            }
            Event::Reply(i, life, call, sent, reply) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.is_frozen(i) {
                    let rest = Span(self.hosts[i].frozen_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Reply(i, life, call, sent, reply));
                }
                let reply = *reply;
                self.feed(i, Input::EndpointReplied { call, sent, reply });
            }
            Event::Store(i, life, call, request, answered) => {
                let reply = match self.store_down {
                    true => StoreReply::Refused,
                    false => self.rows.execute(&request),
                };
                if answered {
                    let reply = Box::new(reply);
                    self.schedule(Span::millis(2), Event::Stored(i, life, call, reply));
                }
            }
            Event::Stored(i, life, call, reply) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.is_frozen(i) {
                    let rest = Span(self.hosts[i].frozen_until.since(self.now).0 + 1);
                    return self.schedule(rest, Event::Stored(i, life, call, reply));
                }
                let reply = *reply;
                self.feed(i, Input::StoreReplied { call, reply });
            }
            Event::StoreOutage(down) => self.store_down = down,
            Event::Submit(i, job, tasks, cpu, takes) => self.submit(i, job, tasks, cpu, takes),
            Event::Kill(i, down) => self.kill(i, down),
            Event::Start(i) => self.start(i),
            Event::Freeze(i, span) => self.hosts[i].frozen_until = self.now + span,
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
            Event::SlowEndpoint(w, pace) => self.workers[w].speed = pace,
            Event::FailRuns(w, on) => self.workers[w].failing = on,
            Event::Crash(w) => {
                let now = self.now;
                self.workers[w].crash(now);
                self.publish_roster();
            }
            Event::Leave(w) => {
                self.workers[w].listing.draining = true;
                self.publish_roster();
            }
            Event::Drain(i) => self.feed(i, Input::Drain),
            Event::CrashAndRestart(w, span, ahead) => {
                let now = self.now;
                self.workers[w].crash(now);
                (self.workers[w].up, self.workers[w].down) = (true, true);
                self.schedule(span, Event::RestartEndpoint(w, ahead));
            }
            Event::RestartEndpoint(w, ahead) => {
                let now = self.now;
                self.workers[w].restart(now, ahead);
                self.schedule(self.row_lag, Event::PublishRoster);
            }
            Event::PublishRoster => self.publish_roster(),
            Event::Resize(w, cpu) => {
                self.workers[w].listing.capacity.cpu = cpu;
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
        }
    }

    fn evacuate(&mut self, centre: String, evacuated: bool) {
        let change = Change {
            centre,
            evacuated,
            version: self.evacuation.version + 1,
        };
        self.evacuation = self.evacuation.with_change(&change).unwrap();
        for i in 0..self.hosts.len() {
            if !self.store_denied.contains(&i) && !self.is_frozen(i) {
                self.feed(i, Input::EvacuationChanged(change.clone()));
            }
        }
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
        self.handle(Event::CrashAndRestart(w, down, ahead));
        true
    }

    /// Checks that no start exceeds the capacity of a resized endpoint.
    fn check_capacity(&self, w: usize) {
        let worker = &self.workers[w];
        let Some((at, cpu)) = self.resized.get(&w) else {
            return;
        };
        let begun = worker.history.last().filter(|begun| begun.from == self.now);
        if begun.is_some() && self.now.since(*at) > CAPACITY_LAG {
            assert!(
                worker.used_cpu(&self.needs) <= *cpu,
                "{begun:?} at {}",
                self.now.0
            );
        }
    }

    fn answer_waiting_looks(&mut self) {
        let now = self.now;
        for (w, until, (i, life, call, sent), order) in std::mem::take(&mut self.waiting_polls) {
            let worker = &mut self.workers[w];
            if !worker.up || worker.down {
                continue;
            }
            if until > now && !worker.has_unacknowledged_ends() {
                self.waiting_polls
                    .push((w, until, (i, life, call, sent), order));
                continue;
            }
            let reply = Box::new(worker.poll_reply(now));
            if !self.muted.contains(&w) && !self.isolated.contains(&w) {
                self.schedule(
                    Span(TRANSIT_MICROS),
                    Event::Reply(i, life, call, sent, reply),
                );
            }
        }
    }

    fn publish_roster(&mut self) {
        self.update_roster();
        for i in 0..self.hosts.len() {
            if !self.is_frozen(i) {
                self.feed(i, Input::RosterListed(self.roster.clone()));
            }
        }
    }

    fn is_frozen(&self, i: usize) -> bool {
        self.hosts[i].frozen_until > self.now
    }

    fn submit(&mut self, i: usize, job: JobId, tasks: u32, cpu: u64, takes: Span) {
        let seen = CallerView {
            answer: None,
            since: self.now,
            at: self.now,
            refused: true,
        };
        self.jobs.entry(job).or_insert(seen);
        self.durations.insert(job, takes);
        let need = Resources {
            cpu,
            memory: 64,
            gpu: 0,
        };
        let steps: u32 = if self.stores_jobs { 2 } else { 1 };
        for (step, index) in (0..steps).flat_map(|s| (0..tasks).map(move |i| (s, i))) {
            self.needs.insert(TaskId { job, step, index }, need);
        }
        let up = |h: &Host| h.dispatcher.is_some();
        let Some(i) = (0..self.hosts.len())
            .map(|k| (i + k) % self.hosts.len())
            .find(|k| up(&self.hosts[*k]) && !self.is_frozen(*k))
        else {
            return;
        };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.hosts[i].tickets.insert(ticket, job);
        let step = |n: u32| Step {
            count: tasks,
            need,
            estimate: takes,
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
                path: format!("{ROUTE}{job}"),
                submission,
                wait: Some(Span::seconds(4)),
            })),
        );
    }

    fn on_answer(&mut self, job: JobId, answer: Answer) {
        let now = self.now;
        let Some(seen) = self.jobs.get_mut(&job) else {
            return;
        };
        seen.answer = Some(answer);
        seen.at = now;
        if self.stores_jobs && matches!(answer, Answer::GivenUp { .. }) {
            seen.refused = false;
            self.resubmit(job);
            return;
        }
        let Some(seen) = self.jobs.get_mut(&job) else {
            return;
        };
        let refused = matches!(
            answer,
            Answer::Refused { .. } | Answer::NoRoute | Answer::Unready
        );
        seen.refused &= refused;
        if answer == Answer::Completed {
            let of = |b: &&super::endpoint::RunRecord| b.task.job == job && b.done;
            let done: HashSet<u32> = self
                .workers
                .iter()
                .flat_map(|w| &w.history)
                .filter(of)
                .map(|b| b.task.index)
                .collect();
            let tasks = self.needs.keys().filter(|t| t.job == job).count();
            assert_eq!(
                done.len(),
                tasks,
                "{job} was answered as completed, but isn't"
            );
        }
    }

    /// Kills an instance. Its callers see their connections break and retry elsewhere.
    fn kill(&mut self, i: usize, down: Span) {
        if self.hosts[i].dispatcher.take().is_none() {
            return;
        }
        self.hosts_up -= 1;
        self.hosts[i].life += 1;
        let mut jobs: Vec<JobId> = self.hosts[i].tickets.drain().map(|(_, job)| job).collect();
        jobs.sort_unstable();
        for job in jobs {
            if let Some(seen) = self.jobs.get_mut(&job) {
                // The caller can't know whether anything was run.
                seen.refused = false;
            }
            self.resubmit(job);
        }
        self.schedule(down, Event::Start(i));
    }

    /// Lets the caller of a job retry at a random instance.
    fn resubmit(&mut self, job: JobId) {
        let first = |t: &&TaskId| t.job == job && t.step == 0;
        let tasks = self.needs.keys().filter(first).count() as u32;
        let task = TaskId {
            job,
            step: 0,
            index: 0,
        };
        let (cpu, takes) = (self.needs[&task].cpu, self.durations[&job]);
        let at = self.random.random_range(0..self.hosts.len());
        self.schedule(CALLER_RETRY, Event::Submit(at, job, tasks, cpu, takes));
    }

    /// Returns whether a job was completed within its objective.
    pub(crate) fn on_time(&self, job: JobId) -> bool {
        let seen = self.jobs[&job];
        let objective =
            Span((self.durations[&job].0 as f64 * OBJECTIVE_STRETCH) as u64) + OBJECTIVE_TARGET;
        seen.answer == Some(Answer::Completed) && seen.at.since(seen.since) <= objective
    }

    /// Returns the number of tasks of all jobs.
    pub(crate) fn tasks(&self) -> usize {
        self.needs.len()
    }

    /// Stores jobs from now on.
    pub(crate) fn store_jobs(&mut self) {
        self.stores_jobs = true;
    }

    pub(crate) fn store_outage_at(&mut self, after: Span, span: Span) {
        self.schedule(after, Event::StoreOutage(true));
        self.schedule(after + span, Event::StoreOutage(false));
    }

    /// Runs to the end and checks stored jobs: all tasks of an accepted job are done unless it failed, and no task was started
    /// again after its endpoint was told that the end is stored. Returns the number of accepted jobs.
    pub(crate) fn finish_and_check_stored(&mut self) -> usize {
        self.finish_and_check();
        self.run(Span::seconds(20));
        let mut done: HashSet<TaskId> = HashSet::new();
        let all = || self.workers.iter().flat_map(|w| &w.history);
        for begun in all().filter(|b| b.done) {
            done.insert(begun.task);
            if begun.forgotten_early {
                let again = all().find(|b| b.task == begun.task && Some(b.from) > begun.until);
                assert_eq!(
                    again, None,
                    "{begun:?} was noted, and the task started again"
                );
            }
        }
        let accepted = |(_, seen): &(&JobId, &CallerView)| seen.answer == Some(Answer::Accepted);
        let accepted: Vec<JobId> = self
            .jobs
            .iter()
            .filter(accepted)
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
            assert_eq!(missing, None, "this task of an accepted job never ended");
        }
        accepted.len()
    }

    /// Checks that a stored job that crashes endpoints was accepted, and that a query now says that it failed.
    pub(crate) fn check_crashing_job_failed(&mut self, job: JobId) {
        let accepted = self.jobs[&job].answer == Some(Answer::Accepted);
        assert!(accepted, "{:?}", self.jobs[&job]);
        self.tickets += 1;
        let (ticket, up) = (Ticket(self.tickets), |h: &Host| h.dispatcher.is_some());
        let i = self.hosts.iter().position(up).unwrap();
        self.hosts[i].tickets.insert(ticket, job);
        let question = Question::State;
        self.feed(
            i,
            Input::JobRequested {
                ticket,
                job,
                question,
            },
        );
        self.run(Span::seconds(3));
        let standing = Answer::Standing(JobState::Failed);
        assert_eq!(self.jobs[&job].answer, Some(standing));
    }

    /// Checks that no task runs twice at the same time.
    fn check_no_double_runs(&self) {
        let mut running: HashMap<TaskId, &str> = HashMap::new();
        for worker in self.workers.iter().filter(|w| w.up && !w.down) {
            for task in worker.running.keys() {
                let id = worker.listing.id.as_str();
                if let Some(other) = running.insert(*task, id) {
                    panic!("{task} runs on {other} and on {id} at {}", self.now.0);
                }
            }
        }
    }

    /// Runs to the end and checks that no job was started whose every answer was a refusal.
    pub(crate) fn finish_and_check(&mut self) {
        self.run(Span::seconds(12));
        for worker in &self.workers {
            for begun in &worker.history {
                let seen = self.jobs[&begun.task.job];
                let told = seen.answer.is_some() && seen.refused;
                assert!(!told, "{} ran, but its job was refused", begun.task);
            }
        }
    }

    /// Submits jobs at a constant rate to random instances.
    pub(crate) fn submit_jobs(&mut self, jobs: u64, every: Span) {
        for n in 0..jobs {
            let i = self.random.random_range(0..self.hosts.len());
            let tasks = self.random.random_range(1..6);
            let takes = Span::millis([60, 200, 900][self.random.random_range(0..3)]);
            let cpu = self.random.random_range(1_000..2_000);
            let job = JobId(0x1000 + self.jobs.len() as u64 * 100_000 + n);
            self.schedule(every.times(n), Event::Submit(i, job, tasks, cpu, takes));
        }
    }

    pub(crate) fn kill_at(&mut self, after: Span, i: usize, down: Span) {
        self.schedule(after, Event::Kill(i, down));
    }

    /// Drops all orders to an endpoint for a span.
    pub(crate) fn isolate_endpoint_at(&mut self, after: Span, w: usize, span: Span) {
        self.schedule(after, Event::IsolateEndpoint(w, true));
        self.schedule(after + span, Event::IsolateEndpoint(w, false));
    }

    pub(crate) fn freeze_at(&mut self, after: Span, i: usize, span: Span) {
        self.schedule(after, Event::Freeze(i, span));
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
    pub(crate) fn slow_endpoint_at(&mut self, after: Span, w: usize, pace: f64, span: Span) {
        self.schedule(after, Event::SlowEndpoint(w, pace));
        self.schedule(after + span, Event::SlowEndpoint(w, 1.0));
    }

    /// Lets all runs on an endpoint fail at once for a span.
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

    /// Crashes an endpoint and restarts it under the same name after a span.
    pub(crate) fn crash_and_restart_at(&mut self, after: Span, w: usize, down: Span, ahead: u64) {
        self.schedule(after, Event::CrashAndRestart(w, down, ahead));
    }

    /// Sets how long after a restart of an endpoint its row is updated.
    pub(crate) fn set_row_lag(&mut self, lag: Span) {
        self.row_lag = lag;
    }

    /// Lets endpoints that are down drop calls, as behind a firewall.
    pub(crate) fn crash_silently(&mut self) {
        self.crashes_silently = true;
    }

    /// Submits a job whose first task crashes each endpoint that starts it.
    pub(crate) fn submit_crashing_job(&mut self, after: Span, job: JobId, tasks: u32) {
        self.crashing_jobs.insert(job);
        let i = self.random.random_range(0..self.hosts.len());
        let takes = Span::millis(200);
        self.schedule(after, Event::Submit(i, job, tasks, 1_000, takes));
    }

    /// Changes an endpoint's capacity while it runs. The endpoint doesn't enforce it from then on.
    pub(crate) fn resize_at(&mut self, after: Span, w: usize, cpu: u64) {
        self.workers[w].enforces_capacity = false;
        self.schedule(after, Event::Resize(w, cpu));
    }

    /// Evacuates a data centre for a span.
    pub(crate) fn evacuate_at(&mut self, after: Span, centre: &str, span: Span) {
        self.schedule(after, Event::Evacuate(centre.to_owned(), true));
        self.schedule(after + span, Event::Evacuate(centre.to_owned(), false));
    }

    /// Keeps evacuations in the store from an instance for a span.
    pub(crate) fn deny_store_at(&mut self, after: Span, i: usize, span: Span) {
        self.schedule(after, Event::DenyStore(i, true));
        self.schedule(after + span, Event::DenyStore(i, false));
    }

    /// Returns the number of starts in a data centre between two times.
    pub(crate) fn starts_in(&self, centre: &str, from: Time, until: Time) -> usize {
        let here = self.workers.iter().filter(|w| w.listing.centre == centre);
        let history = here.flat_map(|w| &w.history);
        history.filter(|b| b.from > from && b.from < until).count()
    }

    pub(crate) fn drain_at(&mut self, after: Span, i: usize) {
        self.schedule(after, Event::Drain(i));
    }

    pub(crate) fn racks_of(&self, i: usize) -> usize {
        let dispatcher = self.hosts[i].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.stats().racks)
    }

    pub(crate) fn count(&self, answer: impl Fn(&Answer) -> bool) -> usize {
        let answers = self.jobs.values().filter_map(|seen| seen.answer.as_ref());
        answers.filter(|a| answer(a)).count()
    }

    pub(crate) fn starts_on(&self, w: usize, after: Time) -> usize {
        let history = &self.workers[w].history;
        history.iter().filter(|begun| begun.from > after).count()
    }
}

fn centre(i: usize) -> String {
    ["ulemiste", "maardu"][i % 2].to_owned()
}
