//! Speed of endpoints: replays of load 1 of `docs/heavy-load.md` at the owner of a few racks, without a network, and what an owner
//! does that has learnt nothing.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use poplarknot::{
    dispatch::{
        id::{
            Epoch,
            JobId,
            Life,
            Run,
            TaskId,
            Token, //
        },
        license::Confirmation,
        message::{
            Batch,
            CallId,
            Contact,
            End,
            Ended,
            Heartbeat,
            Listing,
            Lists,
            Name,
            Order,
            Output,
            Protocol,
            Reply,
            Running,
            Status, //
        },
        owner::{
            Effects,
            Owner, //
        },
        route::Route,
        speed::{
            self,
            differ,
            Candidate,
            Choice,
            Demand,
            Kind,
            Model,
            Opening, //
        },
        task::Resources, //
    },
    instance::heartbeats::encode,
    prelude::*, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

const START: Time = Time(1_000_000);
const MILLISECOND: Span = Span::millis(1);
const RACKS: usize = 2;
const ENDPOINTS_PER_RACK: usize = 12;

/// The jobs of the deployment *uneven*: jobs per second on one rack, tasks per job, and the mean work of a task in milliseconds. The
/// rack has 12 of 350 endpoints.
const JOBS: [(f64, u32, f64); 3] = [(6.2, 8, 51.0), (18.0, 2, 170.0), (1.13, 4, 760.0)];

/// The speeds of endpoints by their number.
const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];
const ALIKE: [f64; 3] = [1.0; 3];

struct Endpoint {
    listing: Listing,
    speed: f64,
    runs: Vec<(Time, TaskId, Run)>,
    ended: Vec<Ended>,
    last_end: u64,
    /// A poll that waits for a run to end, and until when.
    poll: Option<(CallId, Time, Time)>,
}

/// A task: the priority of its job, its work in milliseconds, and when it's late.
#[derive(Clone, Copy)]
struct Task {
    priority: usize,
    work: f64,
    due: Time,
}

/// Racks of endpoints of various speeds with one owner, which gets jobs as in the deployment *uneven*.
struct Replay {
    owner: Owner,
    own: Contact,
    now: Time,
    random: SmallRng,
    endpoints: Vec<Endpoint>,
    tasks: HashMap<TaskId, Task>,
    jobs: u64,
    starts: Vec<(TaskId, usize)>,
    /// The numbers of tasks on time and of all tasks that are done, by priority.
    done: BTreeMap<usize, (u32, u32)>,
}

impl Replay {
    /// Returns racks of endpoints with the given speeds in turn. Kinds have labels if they are `labelled`.
    fn new(seed: u64, speeds: &[f64], labelled: bool, model: Model) -> Self {
        let own = Contact {
            name: "own".parse().unwrap(),
            address: "own:1".to_owned(),
        };
        let endpoint = |i: usize| {
            let rack = format!("r{}", i / ENDPOINTS_PER_RACK);
            let fast = i % 3 == 2;
            let kind = labelled.then(|| if fast { "b" } else { "a" }.to_owned());
            let listing = Listing {
                id: format!("w-{i}").parse().unwrap(),
                life: Life(1),
                service: "cells".to_owned(),
                address: format!("{i}"),
                centre: "a".to_owned(),
                labels: kind.into_iter().chain([rack.clone()]).collect(),
                rack,
                capacity: Resources {
                    cpu: if fast { 96_000 } else { 64_000 },
                    memory: 1_000,
                    gpu: 0,
                },
                draining: false,
            };
            Endpoint {
                listing,
                speed: speeds[i % speeds.len()],
                runs: Vec::new(),
                ended: Vec::new(),
                last_end: 0,
                poll: None,
            }
        };
        let mut replay = Self {
            owner: Owner::with_speed(&own.name, model),
            own,
            now: START,
            random: SmallRng::seed_from_u64(seed),
            endpoints: (0..RACKS * ENDPOINTS_PER_RACK).map(endpoint).collect(),
            tasks: HashMap::new(),
            jobs: 0,
            starts: Vec::new(),
            done: BTreeMap::new(),
        };
        replay.claim(1);
        replay
    }

    /// Claims the racks for the owner with fencing tokens of an epoch.
    fn claim(&mut self, epoch: u64) {
        let mut out = Effects::default();
        let route = |priority: u32| Route {
            priority,
            stretch: 1.6,
            target: Span::millis(60),
            ..Route::default()
        };
        let routes: Vec<Route> = (0..3).map(route).collect();
        self.owner.set_queues(&routes);
        let listings: Vec<Listing> = self.endpoints.iter().map(|e| e.listing.clone()).collect();
        for listing in listings.iter().step_by(ENDPOINTS_PER_RACK) {
            let token = Token::new(Epoch(epoch), 1);
            self.owner.claim(listing.rack_id(), token, &mut out);
        }
        self.owner.update_endpoints(&listings, self.now, &mut out);
        self.advance(Span::millis(20), 0.0);
    }

    /// Advances time, with jobs at a multiple of their rates.
    fn advance(&mut self, span: Span, rate: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + MILLISECOND;
            for rack in 0..RACKS {
                for (priority, (jobs, ..)) in JOBS.iter().enumerate() {
                    if self.random.random::<f64>() < jobs * rate / 1_000.0 {
                        self.submit(rack, priority);
                    }
                }
            }
            self.end_runs();
            let mut out = Effects::default();
            let confirmation = Confirmation::of_self(self.now);
            self.owner.confirm_entry(&self.own.name, confirmation);
            self.owner.process_due(self.now, &mut out);
            self.carry_out(out);
        }
    }

    /// Submits a job, whose estimate is off by up to 40 %. Its tasks are uneven by up to 15 %, and 3 % take seven times as long.
    fn submit(&mut self, rack: usize, priority: usize) {
        let (_, count, mean) = JOBS[priority];
        self.jobs += 1;
        let job = JobId(self.jobs);
        let work = mean * self.random.random_range(0.5..1.5);
        let estimate = work * self.random.random_range(0.6..1.4);
        let objective = Span((estimate * 1_600.0) as u64 + 60_000);
        let estimate = Span((estimate * 1_000.0) as u64);
        for index in 0..count {
            let uneven = self.random.random_range(0.85..1.15);
            let long = if self.random.random_bool(0.03) {
                7.0
            } else {
                1.0
            };
            let task = Task {
                priority,
                work: work * uneven * long,
                due: self.now + objective,
            };
            let step = 0;
            self.tasks.insert(TaskId { job, step, index }, task);
        }
        let cpu = 32_000.0 * self.random.random_range(0.65..1.35);
        let batch = Batch {
            serial: job.0,
            rack: self.endpoints[rack * ENDPOINTS_PER_RACK].listing.rack_id(),
            job,
            step: 0,
            tasks: (0..count).collect(),
            moves: 0,
            need: Resources {
                cpu: cpu as u64,
                memory: 1,
                gpu: 0,
            },
            estimate,
            label: None,
            per_endpoint: None,
            spec: String::new(),
            attempts: 3,
            priority: priority as u32,
            work: (cpu * estimate.0 as f64 * f64::from(count) / 1e6) as u64,
            tied: false,
            stored: false,
            slack: Some(objective - estimate),
            useful: objective.times(3),
            time_left: Span::seconds(60),
        };
        let (own, now) = (self.own.clone(), self.now);
        self.owner.accept(&own, batch, now, &mut Effects::default());
    }

    /// Ends the runs that are over, and answers the polls that wait for them or have waited long enough.
    fn end_runs(&mut self) {
        for number in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[number];
            let over = |(end, ..): &(Time, TaskId, Run)| *end <= self.now;
            for (_, task, run) in endpoint.runs.extract_if(.., |run| over(run)) {
                let Task { priority, due, .. } = self.tasks[&task];
                let (on_time, done) = self.done.entry(priority).or_default();
                *on_time += u32::from(self.now <= due);
                *done += 1;
                endpoint.last_end += 1;
                endpoint.ended.push(Ended {
                    serial: endpoint.last_end,
                    task: Name::Known(task),
                    run,
                    end: End::Done,
                });
            }
            let due = |(_, _, until): &(CallId, Time, Time)| {
                !endpoint.ended.is_empty() || *until <= self.now
            };
            let Some((call, sent, _)) = endpoint.poll.take_if(|poll| due(poll)) else {
                continue;
            };
            let running = endpoint.runs.iter();
            let running = running.map(|(_, task, run)| Running {
                task: Name::Known(*task),
                run: *run,
                percent: None,
            });
            let lists = Lists {
                clock: self.now.0 / 1_000,
                life: endpoint.listing.life,
                running: running.collect(),
                ended: endpoint.ended.clone(),
            };
            self.reply(call, sent, Reply::Looked(lists));
        }
    }

    fn reply(&mut self, call: CallId, sent: Time, reply: Reply) {
        let mut out = Effects::default();
        self.owner.on_reply(call, sent, reply, self.now, &mut out);
        self.carry_out(out);
    }

    /// Carries out the owner's calls to endpoints. Starts take effect at once.
    fn carry_out(&mut self, out: Effects) {
        for output in out.outputs {
            let Output::Call {
                call,
                endpoint: id,
                order,
                ..
            } = output
            else {
                continue;
            };
            let now = self.now;
            let number = self.endpoints.iter().position(|e| e.listing.id == id);
            let number = number.expect("a listed endpoint");
            let endpoint = &mut self.endpoints[number];
            match order {
                Order::Start { task, run, .. } => {
                    let took = self.tasks[&task].work / endpoint.speed;
                    let end = now + Span((took * 1_000.0) as u64);
                    endpoint.runs.push((end, task, run));
                    self.starts.push((task, number));
                }
                Order::Stop { run, .. } => endpoint.runs.retain(|(_, _, other)| *other != run),
                Order::Poll {
                    wait, acknowledged, ..
                } => {
                    endpoint.ended.retain(|end| end.serial > acknowledged);
                    endpoint.poll = Some((call, now, now + wait));
                    continue;
                }
            }
            let clock = now.0 / 1_000;
            self.reply(call, now, Reply::Done { clock });
        }
    }

    /// Runs for two seconds to learn and for a time that counts, and returns the shares of tasks on time by priority in that time.
    fn measure(&mut self, span: Span, rate: f64) -> Vec<f64> {
        self.advance(Span::seconds(2), rate);
        self.done.clear();
        self.advance(span, rate);
        let shares = self.done.values();
        shares
            .map(|(on_time, done)| f64::from(*on_time) / f64::from(*done))
            .collect()
    }

    /// Returns the shares of tasks of a priority that were started on fast endpoints.
    fn fast_share(&self, priority: usize) -> f64 {
        let starts = self.starts.iter();
        let starts = starts.filter(|(task, _)| self.tasks[task].priority == priority);
        let fast = starts.clone().filter(|(_, number)| number % 3 == 2);
        fast.count() as f64 / starts.count() as f64
    }
}

/// Returns a model to which no run counts: the owner places as before endpoints' speeds were learnt.
fn blind_model() -> Model {
    Model::with_max_age(Span(0))
}

/// Tasks that are long for their objective must run on fast endpoints, and short ones must leave these free, or long tasks would be late
/// although they start at once (load 1).
#[test]
fn long_tasks_are_on_time_where_speeds_differ() {
    for seed in 0..3 {
        let mut blind = Replay::new(seed, &UNEVEN, true, blind_model());
        let before = blind.measure(Span::seconds(60), 1.0);
        let mut replay = Replay::new(seed, &UNEVEN, true, Model::default());
        let after = replay.measure(Span::seconds(60), 1.0);
        println!("seed {seed}: on time by priority {before:.3?} before, {after:.3?} after");
        assert!(
            1.0 - after[2] < 0.5 * (1.0 - before[2]),
            "seed {seed}: long tasks on time {before:?}, {after:?}"
        );
        for priority in 0..2 {
            let (before, after) = (before[priority], after[priority]);
            assert!(
                after > before - 0.01,
                "seed {seed}, priority {priority}: {before}, {after}"
            );
        }
        let speeds = replay.owner.speeds();
        assert_eq!(speeds.uneven_racks, RACKS);
        assert!((50..70).contains(&speeds.fastest_percent), "{speeds:?}");
        assert!((125..165).contains(&speeds.slowest_percent), "{speeds:?}");
    }
}

/// With more work than the endpoints can do, capacity is what is scarce: if tasks waited for fast endpoints or left slow ones idle, more
/// of them would be late than without regard to speed.
#[test]
fn overload_is_served_as_well_where_speeds_differ() {
    for seed in 0..3 {
        let [before, after] = [blind_model(), Model::default()].map(|model| {
            let mut replay = Replay::new(seed, &UNEVEN, true, model);
            replay.measure(Span::seconds(30), 2.0);
            let (on_time, done) = replay
                .done
                .values()
                .fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
            (f64::from(on_time) / f64::from(done), done)
        });
        println!("seed {seed}: on time and done {before:.3?} before, {after:.3?} after");
        assert!(
            after.0 > before.0 - 0.02,
            "seed {seed}: {before:?}, {after:?}"
        );
        let least = f64::from(before.1) * 0.98;
        assert!(
            f64::from(after.1) > least,
            "seed {seed}: {before:?}, {after:?}"
        );
    }
}

/// Where endpoints are alike, errors of estimates must not look like differences in speed: each task must start at the same time on the
/// same endpoint as without regard to speed.
#[test]
fn placement_is_unchanged_where_endpoints_are_alike() {
    for seed in 0..4 {
        let labelled = seed % 2 == 0;
        let [before, after] = [blind_model(), Model::default()].map(|model| {
            let mut replay = Replay::new(seed, &ALIKE, labelled, model);
            replay.advance(Span::seconds(60), 1.4);
            replay.starts
        });
        assert!(before.len() > 10_000, "{}", before.len());
        let first = before.iter().zip(&after).find(|(one, other)| one != other);
        assert_eq!(first, None, "seed {seed}");
    }
}

/// The owner dies after it has learnt the speeds. The next one must place tasks as if speeds were unknown, rather than by unfounded
/// factors, until it has learnt them itself.
#[test]
fn next_owner_places_as_before_until_it_has_learnt() {
    for seed in 0..4 {
        let mut replay = Replay::new(seed, &UNEVEN, true, Model::default());
        replay.advance(Span::seconds(3), 1.0);
        assert_eq!(replay.owner.speeds().uneven_racks, RACKS);
        replay.advance(Span::seconds(30), 0.0);
        assert!(replay
            .endpoints
            .iter()
            .all(|endpoint| endpoint.runs.is_empty()));
        replay.owner = Owner::new(&replay.own.name);
        replay.claim(2);
        let starts = |replay: &mut Replay| {
            replay.random = SmallRng::seed_from_u64(seed);
            replay.starts.clear();
            for priority in [2, 0, 2, 1] {
                replay.submit(0, priority);
                replay.advance(Span::millis(5), 0.0);
            }
            let numbers = replay.starts.iter().map(|(_, number)| *number);
            numbers.collect::<Vec<usize>>()
        };
        let next = starts(&mut replay);
        let first = starts(&mut Replay::new(seed, &UNEVEN, true, blind_model()));
        assert_eq!(next, first, "seed {seed}");
        replay.advance(Span::seconds(3), 1.0);
        replay.starts.clear();
        replay.advance(Span::seconds(20), 1.0);
        assert!(
            replay.fast_share(2) > 0.7,
            "seed {seed}: {}",
            replay.fast_share(2)
        );
    }
}

/// Speed classes must grow heartbeats by a tenth at most, although room changes with each start and end, and each announced list must
/// match the announced endpoints.
#[test]
fn speed_classes_take_few_bytes() {
    let mut replay = Replay::new(0, &UNEVEN, true, Model::default());
    replay.advance(Span::seconds(4), 1.0);
    let (mut plain, mut with_classes, mut announced) = (0, 0, 0);
    for update in 0..250 {
        replay.advance(Span::millis(20), 1.0);
        let rooms = replay.owner.take_room_updates(update % 25 == 0, replay.now);
        let loads = replay.owner.loads(&rooms, replay.now);
        for load in &loads {
            if load.speeds.is_empty() {
                continue;
            }
            let room = rooms.iter().find(|room| room.rack == load.rack);
            assert_eq!(room.map(|room| room.free.len()), Some(load.speeds.len()));
            announced += 1;
        }
        let mut heartbeat = Heartbeat {
            watching: true,
            status: Status::default(),
            rooms,
            loads: Vec::new(),
            receipt: None,
            protocol: Protocol::CURRENT,
        };
        plain += encode(&heartbeat).unwrap().len();
        heartbeat.loads = loads;
        with_classes += encode(&heartbeat).unwrap().len();
    }
    println!("{announced} lists, {plain} bytes without them, {with_classes} with them");
    assert!(announced >= 10 * RACKS, "{announced}");
    assert!(with_classes * 10 <= plain * 11, "{plain} {with_classes}");
}

fn name(number: usize) -> poplarknot::prelude::Endpoint {
    format!("w-{number}").parse().unwrap()
}

/// Returns the kind of endpoints with a label.
fn kind(label: &str) -> Kind {
    let replay = Replay::new(0, &ALIKE, false, Model::default());
    let labels = vec![label.to_owned()];
    Kind::of(&Listing {
        labels,
        ..replay.endpoints[0].listing.clone()
    })
}

/// Records runs on endpoints whose time is `factor` times their estimate, which is off by up to 40 %.
fn record(model: &mut Model, numbers: &[usize], kind: Kind, factor: f64, runs: u64) {
    let mut random = SmallRng::seed_from_u64(runs);
    let estimate = Span::millis(100);
    for i in 0..runs {
        let number = numbers[i as usize % numbers.len()];
        let took = 100_000.0 * factor * random.random_range(0.6..1.4);
        model.record(&name(number), kind, estimate, Span(took as u64), START);
    }
}

/// A few tasks that take seven times as long by nature must not make their endpoint or kind count as slow.
#[test]
fn rare_long_tasks_change_no_factor() {
    let (mut model, kind) = (Model::default(), kind("a"));
    record(&mut model, &[1], kind, 1.0, 60);
    let before = model.factor(&name(1), kind, START);
    record(&mut model, &[1], kind, 7.0, 3);
    let after = model.factor(&name(1), kind, START);
    assert!((after.ratio() - 1.0).abs() < 0.15, "{before} {after}");
    assert!(!differ([before, after]));
}

/// An endpoint that is new or has restarted must count as one of its kind, also after it was known as slow. It would get no long tasks
/// before it has shown its speed otherwise, and would never show it.
#[test]
fn new_life_counts_as_its_kind() {
    let (mut model, kind) = (Model::default(), kind("a"));
    record(&mut model, &[2, 3, 4], kind, 0.6, 200);
    record(&mut model, &[1], kind, 1.7, 40);
    let slow = model.factor(&name(1), kind, START);
    assert!((1.4..2.0).contains(&slow.ratio()), "{slow}");
    model.forget(&name(1));
    let renewed = model.factor(&name(1), kind, START);
    assert!((0.5..0.75).contains(&renewed.ratio()), "{renewed}");
    assert_eq!(renewed, model.factor(&name(9), kind, START));
}

/// What was learnt must age. An endpoint that gets no tasks because it was slow would never be found to have recovered.
#[test]
fn factors_age() {
    let (mut model, kind) = (Model::default(), kind("a"));
    record(&mut model, &[1], kind, 1.7, 100);
    assert!(model.factor(&name(1), kind, START).is_known());
    let later = START + Span::seconds(60);
    assert!(!model.factor(&name(1), kind, later).is_known());
}

fn candidate(ratio: f64, free: u64) -> Candidate<(u64, u64)> {
    let endpoint = ((ratio * 100.0) as u64, free);
    Candidate {
        endpoint,
        ratio,
        free,
    }
}

/// A task must go to the slowest endpoint on which it will be on time, with a margin only as long as faster capacity is idle, and among
/// equals to the best fit.
#[test]
fn slowest_sufficient_endpoint_is_chosen() {
    let candidates = [(0.6, 50), (0.6, 40), (1.4, 30), (1.4, 20), (2.6, 10)];
    let candidates = candidates.map(|(ratio, free)| candidate(ratio, free));
    let choose = |time_left: u64, idle_share: f64| {
        let demand = Demand {
            estimate: Span::millis(100),
            time_left: Span::millis(time_left),
        };
        speed::choose(&candidates, [], &demand, idle_share)
    };
    for (time_left, idle_share, expected) in [
        (600, 1.0, (260, 10)),
        (400, 1.0, (140, 20)),
        (160, 1.0, (60, 40)),
        (160, 0.0, (140, 20)),
        (30, 1.0, (60, 40)),
    ] {
        let choice = choose(time_left, idle_share);
        assert_eq!(
            choice,
            Some(Choice::Start(expected)),
            "{time_left} {idle_share}"
        );
    }
}

/// A task that would be late on the endpoints with room must wait for a faster one only if it ends sooner that way.
#[test]
fn earlier_end_decides_about_waiting() {
    let demand = Demand {
        estimate: Span::millis(100),
        time_left: Span::millis(100),
    };
    let opening = |ratio: f64, opens_in: u64| Opening {
        endpoint: ((ratio * 100.0) as u64, 0),
        ratio,
        opens_in: Span::millis(opens_in),
    };
    let with_room = [candidate(1.4, 20)];
    let choose =
        |openings: &[Opening<_>]| speed::choose(&with_room, openings.iter().copied(), &demand, 0.0);
    let start = Some(Choice::Start((140, 20)));
    assert_eq!(choose(&[]), start);
    assert_eq!(choose(&[opening(0.6, 90)]), start);
    assert_eq!(choose(&[opening(1.4, 0), opening(2.0, 0)]), start);
    let openings = [opening(0.6, 70), opening(0.5, 75), opening(0.6, 90)];
    assert_eq!(choose(&openings), Some(Choice::Wait((50, 0))));
}
