//! A world of dispatchers, endpoints and callers on a simulated clock, with faults between them, and the judge of
//! what must hold.

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

/// Between ticks of an instance.
const TICK: Span = Span::millis(10);
/// One way between two parties.
const WAY: u64 = 300;
/// After which a call to the store counts as unanswered.
const STORE_PATIENCE: Span = Span::millis(400);
/// How long after a change of an endpoint's capacity starts may be on their way that didn't know it.
const HEARD_OF: Span = Span::millis(20);
/// After a broken connection, how long until a caller comes again.
const RETRY: Span = Span::millis(1_300);

/// What is wrong with the calls to endpoints and the messages between instances.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The share of orders that get no answer and are carried out 2 to 6 s later.
    pub late: f64,
    /// The share of heartbeats that are lost.
    pub lost_heartbeats: f64,
    /// The share of runs that fail.
    pub failures: f64,
    /// The share of messages to a peer that find their connection broken, and leave over a new one 250 to 400 ms later;
    /// all after them wait for that.
    pub broken_links: f64,
    /// The share of calls to the store that get no answer; half of them are carried out a little later, a quarter
    /// much later, the others never.
    pub lost_calls: f64,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Box<Delivery>),
    Store(usize, u64, StoreCallId, Box<StoreRequest>, bool),
    Stored(usize, u64, StoreCallId, Box<StoreReply>),
    StoreAway(bool),
    Order(usize, usize, u64, CallId, Time, Box<Order>, bool),
    Reply(usize, u64, CallId, Time, Box<Reply>),
    Submit(usize, JobId, u32, u64, Span),
    Kill(usize, Span),
    Start(usize),
    Freeze(usize, Span),
    Cut(HashSet<usize>, bool),
    Part(usize, usize, bool),
    Silence(usize, bool),
    Sever(usize, bool),
    Pace(usize, f64),
    Fail(usize, bool),
    Crash(usize),
    Drain(usize),
    Leave(usize),
    Evacuate(String, bool),
    Down(usize, Span, u64),
    BeginAnew(usize, u64),
    Relist,
    Resize(usize, u64),
    TurnAway(usize, bool),
}

#[derive(Debug)]
enum Delivery {
    Message(Sender, Message),
    Heartbeat(Sender, Heartbeat),
}

/// An instance and what its runtime would keep.
struct Host {
    dispatcher: Option<Dispatcher>,
    contact: Contact,
    centre: String,
    life: u64,
    frozen: Time,
    /// The life and session of each peer that it speaks to.
    lines: HashMap<Instance, (u64, u32, u64)>,
    tickets: HashMap<Ticket, JobId>,
    fifo: HashMap<usize, Time>,
}

/// What became of a job, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerView {
    pub answer: Option<Answer>,
    /// When its caller handed it in first.
    pub since: Time,
    pub at: Time,
    /// Every answer so far said that nothing was run.
    pub refused: bool,
}

/// The world.
pub(crate) struct World {
    pub now: Time,
    pub hosts_up: usize,
    pub jobs: HashMap<JobId, CallerView>,
    pub workers: Vec<Worker>,
    pub stopped: usize,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payloads: HashMap<u64, Event>,
    serial: u64,
    random: SmallRng,
    faults: Faults,
    needs: HashMap<TaskId, Resources>,
    takes: HashMap<JobId, Span>,
    cut: HashSet<usize>,
    /// Pairs of instances that don't reach each other, the lower one in front.
    parted: HashSet<(usize, usize)>,
    silent: HashSet<usize>,
    /// Endpoints that nothing reaches.
    severed: HashSet<usize>,
    tickets: u64,
    roster: Roster,
    rows: Rows,
    away: bool,
    /// The data centres that the operator has evacuated.
    evacuation: Evacuation,
    /// Instances that the store turns away: they hear nothing new from it.
    turned_away: HashSet<usize>,
    /// Whether jobs are stored, with two steps one after the other.
    stored: bool,
    /// Looks that wait for an end.
    parked: Vec<Parked>,
    /// Whether endpoints that are down leave calls without an answer, instead of refusing connections.
    crashes_silently: bool,
    /// Jobs of which a task crashes each endpoint that starts it.
    crashing: HashSet<JobId>,
    /// How often endpoints crashed under each task.
    pub crashes: HashMap<TaskId, usize>,
    /// How long after an endpoint has begun anew its row says so.
    row_lag: Span,
    /// The capacity of each endpoint over the last moments, with the time at which it was changed.
    resized: HashMap<usize, (Time, u64)>,
}

/// A look that waits: at which endpoint, until when, whose, and the order.
type Parked = (usize, Time, (usize, u64, CallId, Time), Box<Order>);

/// A job is on time within this multiple of its work, and so much longer.
const STRETCH: f64 = 1.6;
const TARGET: Span = Span::millis(60);

/// How many runs of a task may fail.
const ATTEMPTS: u32 = 3;

/// How many endpoints may crash under a task before its job may be given up.
const CRASHES: usize = 2;

const ROUTE: &str = "/q/";
const HOST: &str = "queue.example";

impl World {
    /// Makes instances in two data centres, and racks of four endpoints in each.
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
            takes: HashMap::new(),
            cut: HashSet::new(),
            parted: HashSet::new(),
            silent: HashSet::new(),
            severed: HashSet::new(),
            tickets: 0,
            roster: Roster::default(),
            rows: Rows::default(),
            away: false,
            evacuation: Evacuation::default(),
            turned_away: HashSet::new(),
            stored: false,
            parked: Vec::new(),
            crashes_silently: false,
            crashing: HashSet::new(),
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
        world.list();
        for i in 0..instances {
            world.hosts.push(Host {
                dispatcher: None,
                contact: Contact {
                    name: format!("instance-{i}").parse().unwrap(),
                    address: format!("{i}"),
                },
                centre: centre(i),
                life: 0,
                frozen: Time::default(),
                lines: HashMap::new(),
                tickets: HashMap::new(),
                fifo: HashMap::new(),
            });
            world.start(i);
        }
        world.run(Span::seconds(2));
        world
    }

    fn list(&mut self) {
        self.roster.version += 1;
        let up = self.workers.iter().filter(|w| w.up);
        self.roster.endpoints = up.map(|w| w.listing.clone()).collect();
    }

    fn at(&mut self, after: Span, event: Event) {
        self.serial += 1;
        let serial = self.serial;
        self.events.push(Reverse((self.now + after, serial)));
        self.payloads.insert(serial, event);
    }

    /// Lets time pass.
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
            self.answer_looks();
            if let Some(event) = self.payloads.remove(&serial) {
                self.happen(event);
            }
            self.judge();
        }
        self.now = end;
    }

    fn start(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        host.life += 1;
        host.lines.clear();
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
            stretch: STRETCH,
            target: TARGET,
            ..Route::default()
        };
        let configuration = Configuration {
            version: 1,
            routes: vec![route],
            ..Configuration::default()
        };
        self.feed(i, Input::Configured(Box::new(configuration)));
        if !self.turned_away.contains(&i) {
            self.feed(i, Input::Evacuated(self.evacuation.clone()));
        }
        self.feed(i, Input::RosterListed(self.roster.clone()));
        self.feed(i, Input::MembersFound(contacts));
        let life = self.hosts[i].life;
        self.at(TICK, Event::Tick(i, life));
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
        let (incarnation, session, _) = host.lines.get(to).copied().unwrap_or_default();
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
                    self.answered(job, answer);
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
                let earliest = self.now + self.way();
                let fifo = self.hosts[i].fifo.entry(to_index).or_default();
                *fifo = earliest.max(*fifo);
                let delay = fifo.since(self.now);
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
                    let delay = Span(WAY + self.random.random_range(0..400));
                    let delivery = Box::new(Delivery::Heartbeat(sender, heartbeat.clone()));
                    self.post(i, to_index, delay, delivery);
                }
            }
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => {
                let line = self.hosts[i].lines.entry(to.name).or_default();
                *line = (incarnation, session, line.2 + 1);
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
                    self.at(STORE_PATIENCE, Event::Stored(i, life, call, silent));
                    let after = match self.random.random_range(0..4) {
                        0 | 1 => Span::millis(3),
                        2 => Span(self.random.random_range(500_000..3_000_000)),
                        _ => return,
                    };
                    self.at(after, Event::Store(i, life, call, request, false));
                } else {
                    let way = Span::millis(3);
                    self.at(way, Event::Store(i, life, call, request, true));
                }
            }
            Output::Disconnect(_) | Output::CloseIdleCallers => {}
        }
    }

    /// Draws how long a message to a peer is on its way.
    fn way(&mut self) -> Span {
        let share = self.faults.broken_links;
        // Nothing is drawn where no link breaks: other faults come as they did.
        if share > 0.0 && self.random.random_bool(share) {
            return Span(self.random.random_range(250_000..400_000));
        }
        Span(WAY + self.random.random_range(0..8_000))
    }

    fn post(&mut self, i: usize, to: usize, delay: Span, delivery: Box<Delivery>) {
        let apart = self.cut.contains(&i) != self.cut.contains(&to);
        if apart || self.parted.contains(&(i.min(to), i.max(to))) {
            return;
        }
        let life = self.hosts[to].life;
        self.at(delay, Event::Deliver(to, life, delivery));
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
            self.at(
                after,
                Event::Order(worker, i, life, call, sent, order, true),
            );
            self.at(
                patience,
                Event::Reply(i, life, call, sent, Box::new(Reply::Silent)),
            );
            return;
        }
        let way = Span(WAY + self.random.random_range(0..300));
        let order = Box::new(order);
        self.at(way, Event::Order(worker, i, life, call, sent, order, false));
        // Only the first reply of a call counts.
        self.at(
            patience,
            Event::Reply(i, life, call, sent, Box::new(Reply::Silent)),
        );
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => {
                if self.hosts[i].life != life || self.hosts[i].dispatcher.is_none() {
                    return;
                }
                if self.frozen(i) {
                    let rest = self.hosts[i].frozen.since(self.now);
                    return self.at(rest, Event::Tick(i, life));
                }
                self.feed(i, Input::Tick);
                self.at(TICK, Event::Tick(i, life));
            }
            Event::Deliver(i, life, delivery) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.frozen(i) {
                    let rest = Span(self.hosts[i].frozen.since(self.now).0 + 1);
                    return self.at(rest, Event::Deliver(i, life, delivery));
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
            Event::Order(w, ..) if self.severed.contains(&w) => {}
            Event::Order(w, i, life, call, sent, order, late) => {
                let takes = match &*order {
                    Order::Start { task, .. } => self.takes.get(&task.job).copied(),
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
                    return self.at(Span(WAY), Event::Reply(i, life, call, sent, reply));
                }
                if !self.workers[w].up {
                    let reply = Box::new(Reply::Reborn);
                    return self.at(Span(WAY), Event::Reply(i, life, call, sent, reply));
                }
                if matches!(&*order, Order::Stop { .. }) {
                    self.stopped += 1;
                }
                let takes = takes.unwrap_or_default();
                let reply = self.workers[w].execute(&order, &self.needs, takes, fails, now);
                self.judge_room(w);
                if self.crash_under(w, &order, &reply) {
                    return;
                }
                if self.silent.contains(&w) || late {
                    return;
                }
                if let (Order::Look { wait, .. }, Reply::Looked(lists)) = (&*order, &reply) {
                    if lists.ended.is_empty() && wait.0 > 0 {
                        // It waits for an end, or until its time has passed.
                        let look = (i, life, call, sent);
                        let until = now + *wait;
                        return self.parked.push((w, until, look, order));
                    }
                }
                self.at(
                    Span(WAY),
                    Event::Reply(i, life, call, sent, Box::new(reply)),
                );
            }
            Event::Reply(i, life, call, sent, reply) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.frozen(i) {
                    let rest = Span(self.hosts[i].frozen.since(self.now).0 + 1);
                    return self.at(rest, Event::Reply(i, life, call, sent, reply));
                }
                let reply = *reply;
                self.feed(i, Input::EndpointReplied { call, sent, reply });
            }
            Event::Store(i, life, call, request, answered) => {
                let reply = match self.away {
                    true => StoreReply::Refused,
                    false => self.rows.execute(&request),
                };
                if answered {
                    let reply = Box::new(reply);
                    self.at(Span::millis(2), Event::Stored(i, life, call, reply));
                }
            }
            Event::Stored(i, life, call, reply) => {
                if self.hosts[i].life != life {
                    return;
                }
                if self.frozen(i) {
                    let rest = Span(self.hosts[i].frozen.since(self.now).0 + 1);
                    return self.at(rest, Event::Stored(i, life, call, reply));
                }
                let reply = *reply;
                self.feed(i, Input::StoreReplied { call, reply });
            }
            Event::StoreAway(away) => self.away = away,
            Event::Submit(i, job, tasks, cpu, takes) => self.submit(i, job, tasks, cpu, takes),
            Event::Kill(i, down) => self.kill(i, down),
            Event::Start(i) => self.start(i),
            Event::Freeze(i, span) => self.hosts[i].frozen = self.now + span,
            Event::Cut(side, on) => {
                self.cut = match on {
                    true => side,
                    false => HashSet::new(),
                };
            }
            Event::Part(one, other, on) => {
                match on {
                    true => self.parted.insert((one, other)),
                    false => self.parted.remove(&(one, other)),
                };
            }
            Event::Sever(w, on) => {
                match on {
                    true => self.severed.insert(w),
                    false => self.severed.remove(&w),
                };
            }
            Event::Silence(w, on) => {
                match on {
                    true => self.silent.insert(w),
                    false => self.silent.remove(&w),
                };
            }
            Event::Pace(w, pace) => self.workers[w].speed = pace,
            Event::Fail(w, on) => self.workers[w].failing = on,
            Event::Crash(w) => {
                let now = self.now;
                self.workers[w].crash(now);
                self.relist();
            }
            Event::Leave(w) => {
                self.workers[w].listing.draining = true;
                self.relist();
            }
            Event::Drain(i) => self.feed(i, Input::Drain),
            Event::Down(w, span, ahead) => {
                let now = self.now;
                self.workers[w].crash(now);
                (self.workers[w].up, self.workers[w].down) = (true, true);
                self.at(span, Event::BeginAnew(w, ahead));
            }
            Event::BeginAnew(w, ahead) => {
                let now = self.now;
                self.workers[w].restart(now, ahead);
                self.at(self.row_lag, Event::Relist);
            }
            Event::Relist => self.relist(),
            Event::Resize(w, cpu) => {
                self.workers[w].listing.capacity.cpu = cpu;
                self.resized.insert(w, (self.now, cpu));
                self.relist();
            }
            Event::Evacuate(centre, evacuated) => self.evacuate(centre, evacuated),
            Event::TurnAway(i, on) => {
                match on {
                    true => self.turned_away.insert(i),
                    false => self.turned_away.remove(&i),
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
            if !self.turned_away.contains(&i) && !self.frozen(i) {
                self.feed(i, Input::EvacuationChanged(change.clone()));
            }
        }
    }

    /// Lets an endpoint crash that has started a task which crashes each one; returns whether it has.
    fn crash_under(&mut self, w: usize, order: &Order, reply: &Reply) -> bool {
        let (Order::Start { task, .. }, Reply::Done { .. }) = (order, reply) else {
            return false;
        };
        if !self.crashing.contains(&task.job) || task.index != 0 {
            return false;
        }
        *self.crashes.entry(*task).or_default() += 1;
        let down = Span(self.random.random_range(1_500_000..3_000_000));
        let ahead = self.random.random_range(0..50_000);
        self.happen(Event::Down(w, down, ahead));
        true
    }

    /// Checks that no start brings an endpoint over its capacity that doesn't guard it.
    fn judge_room(&self, w: usize) {
        let worker = &self.workers[w];
        let Some((at, cpu)) = self.resized.get(&w) else {
            return;
        };
        let begun = worker.history.last().filter(|begun| begun.from == self.now);
        if begun.is_some() && self.now.since(*at) > HEARD_OF {
            assert!(
                worker.used_cpu(&self.needs) <= *cpu,
                "{begun:?} at {}",
                self.now.0
            );
        }
    }

    fn answer_looks(&mut self) {
        let now = self.now;
        for (w, until, (i, life, call, sent), order) in std::mem::take(&mut self.parked) {
            let worker = &mut self.workers[w];
            if !worker.up || worker.down {
                continue;
            }
            if until > now && !worker.has_unacknowledged_ends() {
                self.parked.push((w, until, (i, life, call, sent), order));
                continue;
            }
            let reply = Box::new(worker.poll_reply(now));
            if !self.silent.contains(&w) && !self.severed.contains(&w) {
                self.at(Span(WAY), Event::Reply(i, life, call, sent, reply));
            }
        }
    }

    fn relist(&mut self) {
        self.list();
        for i in 0..self.hosts.len() {
            if !self.frozen(i) {
                self.feed(i, Input::RosterListed(self.roster.clone()));
            }
        }
    }

    fn frozen(&self, i: usize) -> bool {
        self.hosts[i].frozen > self.now
    }

    fn submit(&mut self, i: usize, job: JobId, tasks: u32, cpu: u64, takes: Span) {
        let seen = CallerView {
            answer: None,
            since: self.now,
            at: self.now,
            refused: true,
        };
        self.jobs.entry(job).or_insert(seen);
        self.takes.insert(job, takes);
        let need = Resources {
            cpu,
            memory: 64,
            gpu: 0,
        };
        let steps: u32 = if self.stored { 2 } else { 1 };
        for (step, index) in (0..steps).flat_map(|s| (0..tasks).map(move |i| (s, i))) {
            self.needs.insert(TaskId { job, step, index }, need);
        }
        let up = |h: &Host| h.dispatcher.is_some();
        let Some(i) = (0..self.hosts.len())
            .map(|k| (i + k) % self.hosts.len())
            .find(|k| up(&self.hosts[*k]) && !self.frozen(*k))
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
            best_effort: !self.stored,
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

    fn answered(&mut self, job: JobId, answer: Answer) {
        let now = self.now;
        let Some(seen) = self.jobs.get_mut(&job) else {
            return;
        };
        seen.answer = Some(answer);
        seen.at = now;
        if self.stored && matches!(answer, Answer::GivenUp { .. }) {
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
            assert_eq!(done.len(), tasks, "{job} is told complete, but isn't");
        }
    }

    /// Kills an instance: its callers see their connections break and come again elsewhere.
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
        self.at(down, Event::Start(i));
    }

    /// Lets the caller of a job come again elsewhere.
    fn resubmit(&mut self, job: JobId) {
        let first = |t: &&TaskId| t.job == job && t.step == 0;
        let tasks = self.needs.keys().filter(first).count() as u32;
        let task = TaskId {
            job,
            step: 0,
            index: 0,
        };
        let (cpu, takes) = (self.needs[&task].cpu, self.takes[&job]);
        let at = self.random.random_range(0..self.hosts.len());
        self.at(RETRY, Event::Submit(at, job, tasks, cpu, takes));
    }

    /// Tells whether a job is complete within its objective.
    pub(crate) fn on_time(&self, job: JobId) -> bool {
        let seen = self.jobs[&job];
        let objective = Span((self.takes[&job].0 as f64 * STRETCH) as u64) + TARGET;
        seen.answer == Some(Answer::Completed) && seen.at.since(seen.since) <= objective
    }

    /// Counts the tasks of all jobs.
    pub(crate) fn tasks(&self) -> usize {
        self.needs.len()
    }

    /// Lets jobs be stored from now on.
    pub(crate) fn store_jobs(&mut self) {
        self.stored = true;
    }

    pub(crate) fn store_outage_at(&mut self, after: Span, span: Span) {
        self.at(after, Event::StoreAway(true));
        self.at(after + span, Event::StoreAway(false));
    }

    /// Checks stored jobs at the end: each one that was accepted has run whole, and nothing was started after an end as
    /// done that its endpoint was told to forget. Returns how many were accepted.
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
                |task: &TaskId| failures(task) >= ATTEMPTS as usize || crashes(task) >= CRASHES;
            if tasks.clone().any(given_up) {
                continue;
            }
            let missing = tasks.find(|task| !done.contains(task));
            assert_eq!(
                missing, None,
                "a job was accepted, and this task of it never ended"
            );
        }
        accepted.len()
    }

    /// Checks that a stored job that crashes endpoints was accepted, and has failed: who asks now is told so.
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

    /// Checks what must hold at every moment.
    fn judge(&self) {
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

    /// Checks what must hold at the end: a job that was refused each time was never started.
    pub(crate) fn finish_and_check(&mut self) {
        self.run(Span::seconds(12));
        for worker in &self.workers {
            for begun in &worker.history {
                let seen = self.jobs[&begun.task.job];
                let told = seen.answer.is_some() && seen.refused;
                assert!(!told, "{} was told not run, and ran", begun.task);
            }
        }
    }

    /// Submits jobs at a rate, at all instances in turn.
    pub(crate) fn submit_jobs(&mut self, jobs: u64, every: Span) {
        for n in 0..jobs {
            let i = self.random.random_range(0..self.hosts.len());
            let tasks = self.random.random_range(1..6);
            let takes = Span::millis([60, 200, 900][self.random.random_range(0..3)]);
            let cpu = self.random.random_range(1_000..2_000);
            let job = JobId(0x1000 + self.jobs.len() as u64 * 100_000 + n);
            self.at(every.times(n), Event::Submit(i, job, tasks, cpu, takes));
        }
    }

    pub(crate) fn kill_at(&mut self, after: Span, i: usize, down: Span) {
        self.at(after, Event::Kill(i, down));
    }

    /// Lets nothing reach an endpoint for a while.
    pub(crate) fn isolate_endpoint_at(&mut self, after: Span, w: usize, span: Span) {
        self.at(after, Event::Sever(w, true));
        self.at(after + span, Event::Sever(w, false));
    }

    pub(crate) fn freeze_at(&mut self, after: Span, i: usize, span: Span) {
        self.at(after, Event::Freeze(i, span));
    }

    pub(crate) fn partition_at(&mut self, after: Span, side: &[usize], span: Span) {
        let side: HashSet<usize> = side.iter().copied().collect();
        self.at(after, Event::Cut(side, true));
        self.at(after + span, Event::Cut(HashSet::new(), false));
    }

    /// Keeps two instances from reaching each other; the first has the lower number.
    pub(crate) fn disconnect_at(&mut self, after: Span, one: usize, other: usize, span: Span) {
        self.at(after, Event::Part(one, other, true));
        self.at(after + span, Event::Part(one, other, false));
    }

    pub(crate) fn mute_endpoint_at(&mut self, after: Span, w: usize, span: Span) {
        self.at(after, Event::Silence(w, true));
        self.at(after + span, Event::Silence(w, false));
    }

    /// Lets the tasks of an endpoint come along at a share of their speed; it answers all calls as before.
    pub(crate) fn slow_endpoint_at(&mut self, after: Span, w: usize, pace: f64, span: Span) {
        self.at(after, Event::Pace(w, pace));
        self.at(after + span, Event::Pace(w, 1.0));
    }

    /// Lets an endpoint fail whatever it starts, at once.
    pub(crate) fn fail_runs_at(&mut self, after: Span, w: usize, span: Span) {
        self.at(after, Event::Fail(w, true));
        self.at(after + span, Event::Fail(w, false));
    }

    pub(crate) fn crash_at(&mut self, after: Span, w: usize) {
        self.at(after, Event::Crash(w));
    }

    pub(crate) fn leave_at(&mut self, after: Span, w: usize) {
        self.at(after, Event::Leave(w));
    }

    /// Lets an endpoint crash, and start again after a while under the name that it had.
    pub(crate) fn crash_and_restart_at(&mut self, after: Span, w: usize, down: Span, ahead: u64) {
        self.at(after, Event::Down(w, down, ahead));
    }

    /// Lets rows tell of new lives so late, or so early that it is before anything else does.
    pub(crate) fn set_row_lag(&mut self, lag: Span) {
        self.row_lag = lag;
    }

    /// Lets endpoints that are down leave calls without an answer, as behind a firewall.
    pub(crate) fn crash_silently(&mut self) {
        self.crashes_silently = true;
    }

    /// Hands in a job whose first task crashes each endpoint that starts it.
    pub(crate) fn submit_crashing_job(&mut self, after: Span, job: JobId, tasks: u32) {
        self.crashing.insert(job);
        let i = self.random.random_range(0..self.hosts.len());
        let takes = Span::millis(200);
        self.at(after, Event::Submit(i, job, tasks, 1_000, takes));
    }

    /// Changes an endpoint's capacity while it runs; those of the fleet don't guard it from then on.
    pub(crate) fn resize_at(&mut self, after: Span, w: usize, cpu: u64) {
        self.workers[w].enforces_capacity = false;
        self.at(after, Event::Resize(w, cpu));
    }

    /// Evacuates a data centre for a while.
    pub(crate) fn evacuate_at(&mut self, after: Span, centre: &str, span: Span) {
        self.at(after, Event::Evacuate(centre.to_owned(), true));
        self.at(after + span, Event::Evacuate(centre.to_owned(), false));
    }

    /// Lets the store turn an instance away for a while.
    pub(crate) fn deny_store_at(&mut self, after: Span, i: usize, span: Span) {
        self.at(after, Event::TurnAway(i, true));
        self.at(after + span, Event::TurnAway(i, false));
    }

    /// Counts the starts in a data centre from one moment to another.
    pub(crate) fn starts_in(&self, centre: &str, from: Time, until: Time) -> usize {
        let here = self.workers.iter().filter(|w| w.listing.centre == centre);
        let history = here.flat_map(|w| &w.history);
        history.filter(|b| b.from > from && b.from < until).count()
    }

    pub(crate) fn drain_at(&mut self, after: Span, i: usize) {
        self.at(after, Event::Drain(i));
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
