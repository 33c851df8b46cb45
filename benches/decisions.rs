//! Benchmarks of the core and of the dispatcher: one decision, one period or one message at a time.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    fmt::Debug,
    hint::black_box,
    str::FromStr,
    time::Duration, //
};

use criterion::{
    Bencher,
    BenchmarkId,
    Criterion, //
};
use poplarknot::{
    core::{
        admission::{
            Admission,
            Demand, //
        },
        health::Health,
        membership::{
            Action,
            Membership, //
        },
        message::Heartbeat,
        placement::{
            EndpointId,
            Placement,
            Requirement, //
        },
        queue::Queue, //
    },
    dispatch::{
        entry::Entry,
        id::{
            Epoch,
            JobId,
            Life,
            RackId,
            Run,
            TaskId,
            Token, //
        },
        message::{
            Batch,
            Contact,
            End,
            Ended,
            Heartbeat as DispatchHeartbeat,
            Input,
            Listing,
            Lists,
            Load as AnnouncedLoad,
            Message,
            Name,
            Order,
            Outcome,
            Output,
            Protocol,
            Reply,
            Running,
            Sender,
            Status,
            Ticket,
            Vacancy, //
        },
        owner::{
            Effects,
            Owner, //
        },
        queue::Class as WaitingClass,
        route::{
            Configuration,
            Route as DispatchRoute, //
        },
        speed::{
            Kind,
            Model, //
        },
        task::{
            Resources,
            Step,
            Submission, //
        },
        Dispatcher,
        Identity, //
    },
    endpoint::wire::Load,
    prelude::*,
    record::route::Route,
    settings::{
        Limits,
        Timing, //
    },
    table::wire::{
        Member,
        State,
        Worker, //
    }, //
};

/// Numbers of endpoints: of a small deployment, of a region, and of all data centres together.
const ENDPOINTS: [usize; 3] = [48, 1_300, 22_000];

/// Numbers of instances: of a small deployment, of a large one, and beyond that.
const INSTANCES: [usize; 3] = [7, 320, 1_000];

/// The number of data centres in a large deployment.
const CENTRE_COUNT: usize = 17;

/// Outstanding tasks for each endpoint while a placement is timed.
const OUTSTANDING_PER_ENDPOINT: usize = 4;

/// Expected run time of a task.
const TASK_DURATION: Span = Span::millis(200);

/// Parses a name or an identifier that is known to be valid.
fn parse_name<T: FromStr<Err: Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid name")
}

/// Returns `count` live workers, spread over `centres` data centres.
fn worker_list(count: usize, centres: usize) -> Vec<Worker> {
    let worker = |number: usize| Worker {
        name: parse_name(format!("worker-{number}")),
        centre: parse_name(format!("centre-{}", number % centres)),
        rack: format!("rack-{}", number / 8),
        address: format!("10.0.0.1:{number}"),
        pool: parse_name("notebooks"),
        slots: 8,
        connections: 64,
        resources: Hardware {
            cores: 64,
            memory_mb: 128 << 10,
            accelerators: 0,
        },
        state: State::Live,
    };
    (0..count).map(worker).collect()
}

/// Returns a route that may use all data centres.
fn unrestricted_route() -> Route {
    Route {
        service: parse_name("preview"),
        revision: Revision(1),
        pools: vec![parse_name("notebooks")],
        centres: Vec::new(),
        spill: true,
        class: Class::Once,
        deadline: Span::seconds(30),
        lease: Span::seconds(10),
        max_tasks: 210,
        quotas: BTreeMap::new(),
    }
}

/// Times the application of an unchanged list, and placements with all endpoints in one data centre or in many.
fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for count in ENDPOINTS {
        let list = worker_list(count, 1);
        let mut placement = Placement::new(parse_name("centre-0"), 16, 1);
        placement.apply_list(&list, 7);
        group.bench_function(BenchmarkId::new("unchanged list", count), |bench| {
            bench.iter(|| placement.apply_list(black_box(&list), 7));
        });
        group.bench_function(BenchmarkId::new("place and end", count), |bench| {
            bench_place_and_end(bench, &mut placement, count);
        });
    }
    let count = ENDPOINTS[2];
    let mut placement = Placement::new(parse_name("elsewhere"), 16, 1);
    placement.apply_list(&worker_list(count, CENTRE_COUNT), 7);
    group.bench_function("place and end, all spilt to 17 data centres", |bench| {
        bench_place_and_end(bench, &mut placement, count);
    });
    group.finish();
}

/// Times a placement and the end of an earlier task, with [`OUTSTANDING_PER_ENDPOINT`] tasks on each endpoint.
fn bench_place_and_end(bench: &mut Bencher<'_>, placement: &mut Placement, count: usize) {
    let route = unrestricted_route();
    let requirement = Requirement {
        route: &route,
        need: Hardware::default(),
        class: Class::Once,
        avoid: &[],
    };
    let place = |_| placement.place(&requirement).expect("room");
    let mut placed: Vec<EndpointId> = (0..count * OUTSTANDING_PER_ENDPOINT).map(place).collect();
    let mut next = 0;
    bench.iter(|| {
        let id = placement.place(black_box(&requirement)).expect("room");
        let old = std::mem::replace(&mut placed[next], id);
        let load = Load {
            running: next as u32 % 8,
            queued: 0,
            incarnation: None,
        };
        let duration = Span::millis(100 + next as u64 % 400);
        placement.on_task_end(old, Some(duration), Some(load));
        next = (next + 1) % placed.len();
    });
    for id in placed {
        placement.on_task_end(id, None, None);
    }
}

/// Times the admission and the release of a job, and the queue of waiting tasks, for one team and for many.
fn bench_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for count in [1, 250] {
        let teams: Vec<Team> = (0..count)
            .map(|team| parse_name(format!("team-{team}")))
            .collect();
        let mut admission = Admission::new(&Limits::default(), 1);
        let mut queue = Queue::new(Limits::default().waiting_tasks);
        for team in &teams {
            queue.push(team, 1, 0, TASK_DURATION, 0).expect("room");
        }
        let mut job = 0;
        let mut admit = |job: u64| {
            let team = &teams[job as usize % teams.len()];
            let demand = Demand {
                team,
                tasks: 12,
                bytes: 2_000,
                work: TASK_DURATION.times(12),
                longest: TASK_DURATION,
                time_left: Span::seconds(30),
                quota: None,
                slots: 384,
            };
            admission.admit(Time(job), &demand).expect("room");
            admission.release_job(team, 12, 2_000, demand.work);
        };
        group.bench_function(
            BenchmarkId::new("admit and release a job", count),
            |bench| {
                bench.iter(|| {
                    job += 1;
                    admit(black_box(job));
                });
            },
        );
        group.bench_function(BenchmarkId::new("push and pop a task", count), |bench| {
            bench.iter(|| {
                job += 1;
                let team = &teams[job as usize % teams.len()];
                queue.push(team, 1, job, TASK_DURATION, 0).expect("room");
                black_box(queue.pop())
            });
        });
    }
    group.finish();
}

/// Times a failure, a success and a tick of the health checks.
fn bench_health(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("health");
    for count in ENDPOINTS {
        let mut health = Health::new(1);
        for (id, worker) in worker_list(count, 1).iter().enumerate() {
            health.insert(EndpointId(id as u32), worker);
        }
        let mut now = 0;
        group.bench_function(
            BenchmarkId::new("failure, success and tick", count),
            |bench| {
                bench.iter(|| {
                    now += 1_000;
                    let id = EndpointId(now as u32 / 1_000 % count as u32);
                    health.on_failure(Time(now), id, now);
                    health.on_success(Time(now), id);
                    black_box(health.tick(Time(now)))
                });
            },
        );
    }
    group.finish();
}

/// Times a heartbeat period with the replies of all peers that get a heartbeat, and the application of an unchanged list.
fn bench_membership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership");
    for count in INSTANCES {
        let member = |number: usize| Member {
            name: parse_name(format!("entry-{number}")),
            centre: parse_name(format!("centre-{}", number % CENTRE_COUNT)),
            address: format!("10.0.1.1:{number}"),
            state: State::Live,
        };
        let list: Vec<Member> = (0..count).map(member).collect();
        let timing = Timing::default();
        let (me, centre) = (list[0].name.clone(), list[0].centre.clone());
        let mut view = Membership::new(me, centre, Incarnation(0), &timing, 1);
        view.apply_list(Time(0), &list);
        let heartbeat = |number: usize| Heartbeat {
            name: list[number].name.clone(),
            centre: list[number].centre.clone(),
            incarnation: Incarnation(number as u128),
            revision: Revision(1),
            draining: false,
            observations: Vec::new(),
        };
        let mut heartbeats: Vec<Heartbeat> = (1..count).map(heartbeat).collect();
        heartbeats.sort_by(|one, other| one.name.cmp(&other.name));
        let mut now = Time(0);
        group.bench_function(BenchmarkId::new("period", count), |bench| {
            bench.iter(|| {
                now = now + Span::seconds(2);
                for action in view.tick(now) {
                    if let Action::Heartbeat { to, .. } = action {
                        black_box(view.next_observations(now));
                        let number = heartbeats
                            .binary_search_by(|heartbeat| heartbeat.name.cmp(&to))
                            .expect("a peer");
                        view.on_heartbeat(now, &heartbeats[number]);
                    }
                }
            });
        });
        group.bench_function(BenchmarkId::new("list", count), |bench| {
            bench.iter(|| view.apply_list(now, black_box(&list)));
        });
    }
    group.finish();
}

/// The number of routes in a large configuration.
const ROUTE_COUNT: usize = 1_500;

/// Times a period in which every peer sends one heartbeat and lacks the large configuration that the dispatcher has.
fn bench_documents(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("documents");
    for count in [34, 147] {
        group.bench_function(
            BenchmarkId::new("a period in which no peer has the configuration", count),
            |bench| {
                let mut now = Time(1_000_000);
                let mut dispatcher = configured_dispatcher(now);
                let senders: Vec<Sender> = (1..count).map(sender).collect();
                bench.iter(|| {
                    now = now + Span::millis(100);
                    let heartbeats = senders.iter().map(|from| {
                        let sent = now;
                        (
                            Sender {
                                sent,
                                ..from.clone()
                            },
                            heartbeat_without_configuration(),
                        )
                    });
                    black_box(dispatcher.step(now, Input::Heartbeats(heartbeats.collect())));
                    black_box(dispatcher.step(now, Input::Tick));
                });
            },
        );
    }
    group.finish();
}

/// Returns a dispatcher with a configuration of [`ROUTE_COUNT`] routes.
fn configured_dispatcher(now: Time) -> Dispatcher {
    let identity = Identity {
        contact: sender(0).contact,
        centre: "a".to_owned(),
        incarnation: 1,
        share: 250,
        epoch: Epoch(1),
    };
    let mut dispatcher = Dispatcher::new(identity, now);
    let route = |i: usize| DispatchRoute {
        name: format!("route-of-team-{i}"),
        host: format!("host-{i}.example"),
        prefix: format!("/queue-{i}/"),
        service: "cells".to_owned(),
        ..DispatchRoute::default()
    };
    let configuration = Configuration {
        version: 7,
        routes: (0..ROUTE_COUNT).map(route).collect(),
        ..Configuration::default()
    };
    dispatcher.step(now, Input::Configured(Box::new(configuration)));
    dispatcher
}

/// Returns the sender of a heartbeat from the instance of the given number.
fn sender(number: usize) -> Sender {
    Sender {
        contact: Contact {
            name: parse_name(format!("instance-{number}")),
            address: format!("10.0.0.{number}:7720"),
        },
        centre: "a".to_owned(),
        incarnation: 1,
        receiver_incarnation: 0,
        session: 0,
        sent: Time::default(),
    }
}

/// Returns a heartbeat of an instance that has no configuration yet.
fn heartbeat_without_configuration() -> DispatchHeartbeat {
    DispatchHeartbeat {
        watching: true,
        status: Status {
            epoch: Epoch(1),
            configuration: 0,
            roster: 0,
            evacuation: Default::default(),
            reading: false,
            draining: false,
            share: 250,
            racks: Vec::new(),
            shards: Vec::new(),
            pending: Vec::new(),
            absences: Vec::new(),
        },
        rooms: Vec::new(),
        loads: Vec::new(),
        receipt: None,
        protocol: Protocol::CURRENT,
    }
}

/// Times the processing of due work where all endpoints are full, so that no waiting task may start.
fn bench_waiting(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("waiting");
    for count in [10, 100] {
        let now = Time(10_000_000);
        let mut owner = full_owner(count, now);
        group.bench_function(
            BenchmarkId::new("work where nothing may start", count),
            |bench| {
                bench.iter(|| {
                    let mut out = Effects::default();
                    owner.process_due(now, &mut out);
                    black_box(out)
                });
            },
        );
    }
    group.finish();
}

/// Endpoints of an owner: of a rack, of a data centre, and of all data centres.
const OWNED_ENDPOINTS: [usize; 3] = [48, 350, 2_500];

/// Times the arrival of a task and its cancellation, and a review of the queues, in which nothing may start. The tasks have three
/// priorities.
fn bench_review(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("review");
    for count in OWNED_ENDPOINTS {
        let own = sender(0).contact;
        let mut now = Time(10_000_000);
        let mut owner = Owner::new(&own.name);
        let in_rack = |number: usize| Listing {
            rack: format!("rack-{}", number / 8),
            ..listing(number)
        };
        let listings: Vec<Listing> = (0..count).map(in_rack).collect();
        let mut out = Effects::default();
        for listing in listings.iter().step_by(8) {
            owner.claim(listing.rack_id(), Token::new(Epoch(1), 1), &mut out);
        }
        owner.update_endpoints(&listings, now, &mut out);
        reply_to_calls(&mut owner, now);
        let waiting = |serial: u64, rack: usize| Batch {
            rack: listings[rack].rack_id(),
            priority: serial as u32 % 3,
            slack: Some(Span::seconds(1_000_000)),
            useful: Span::seconds(2_000_000),
            time_left: Span::seconds(3_000_000),
            ..batch(serial)
        };
        let mut serial: u64 = 0;
        for rack in (0..count).step_by(8) {
            for _ in 0..28 {
                serial += 1;
                owner.accept(&own, waiting(serial, rack), now, &mut out);
            }
        }
        reply_to_calls(&mut owner, now);
        group.bench_function(BenchmarkId::new("review of the queues", count), |bench| {
            bench.iter(|| {
                now = now + Span::millis(10);
                let mut out = Effects::default();
                owner.process_due(now, &mut out);
                black_box(out)
            });
        });
        // The demand of priority 0 lasts, so that room is kept.
        group.bench_function(
            BenchmarkId::new("review after urgent arrivals", count),
            |bench| {
                bench.iter(|| {
                    now = now + Span::millis(10);
                    let mut out = Effects::default();
                    serial = serial.next_multiple_of(3);
                    for rack in (0..count).step_by(8) {
                        serial += 3;
                        owner.accept(&own, waiting(serial, rack), now, &mut out);
                        owner.cancel(&own, serial, now, &mut out);
                    }
                    owner.process_due(now, &mut out);
                    black_box(out)
                });
            },
        );
        group.bench_function(
            BenchmarkId::new("arrival and cancellation", count),
            |bench| {
                bench.iter(|| {
                    serial += 1;
                    let mut out = Effects::default();
                    owner.accept(&own, waiting(serial, 0), now, &mut out);
                    owner.cancel(&own, serial, now, &mut out);
                    black_box(out)
                });
            },
        );
        group.bench_function(BenchmarkId::new("room announcement", count), |bench| {
            bench.iter(|| {
                now = now + Span::millis(1);
                black_box(owner.has_spare_cpu_changes(now));
                black_box(owner.take_room_updates(true, now))
            });
        });
    }
    group.finish();
}

/// Returns an owner of eight full endpoints, with at least `count` waiting tasks of many sizes.
fn full_owner(count: u64, now: Time) -> Owner {
    let own = sender(0).contact;
    let mut owner = Owner::new(&own.name);
    let listings: Vec<Listing> = (0..8).map(listing).collect();
    let mut out = Effects::default();
    owner.claim(listings[0].rack_id(), Token::new(Epoch(1), 1), &mut out);
    owner.update_endpoints(&listings, now, &mut out);
    reply_to_calls(&mut owner, now);
    for serial in 0..count + 16 {
        owner.accept(&own, batch(serial), now, &mut out);
    }
    reply_to_calls(&mut owner, now);
    owner
}

/// Times the choice of an endpoint: a task is queued, started on one of many idle endpoints, and ends.
fn bench_start(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("start");
    let own = sender(0).contact;
    for count in OWNED_ENDPOINTS {
        let mut now = Time(10_000_000);
        let mut owner = Owner::new(&own.name);
        let listings: Vec<Listing> = (0..count).map(listing).collect();
        let rack = listings[0].rack_id();
        owner.claim(rack, Token::new(Epoch(1), 1), &mut Effects::default());
        owner.update_endpoints(&listings, now, &mut Effects::default());
        reply_to_calls(&mut owner, now);
        group.bench_function(BenchmarkId::new("start and end a task", count), |bench| {
            bench_start_and_end(bench, &mut owner, &own, &mut now);
        });
        let kind = |number: usize| ["slow", "slow", "fast"][number % 3].to_owned();
        let labelled = listings
            .iter()
            .enumerate()
            .map(|(number, listing)| Listing {
                labels: vec![kind(number)],
                ..listing.clone()
            });
        let listings: Vec<Listing> = labelled.collect();
        let mut owner = Owner::with_speed(&own.name, uneven_model(&listings[1..3], now));
        owner.claim(rack, Token::new(Epoch(1), 1), &mut Effects::default());
        owner.update_endpoints(&listings, now, &mut Effects::default());
        reply_to_calls(&mut owner, now);
        owner.process_due(now + Span::seconds(1), &mut Effects::default());
        assert_eq!(owner.speeds().uneven_racks, 1, "the speeds differ");
        let id = BenchmarkId::new("start and end a task, endpoints uneven", count);
        group.bench_function(id, |bench| {
            bench_start_and_end(bench, &mut owner, &own, &mut now);
        });
    }
    group.finish();
}

/// Returns a model to which the first endpoint is of a slow kind and the second of a fast one, for as long as the benchmark takes.
fn uneven_model(listings: &[Listing], now: Time) -> Model {
    let mut model = Model::with_max_age(Span::seconds(1_000_000));
    for (listing, took) in listings.iter().zip([286, 118]) {
        for _ in 0..100 {
            let (kind, took) = (Kind::of(listing), Span::millis(took));
            model.record(&listing.id, kind, TASK_DURATION, took, now);
        }
    }
    model
}

/// Times the start and the end of a task, each a millisecond after the one before.
fn bench_start_and_end(
    bench: &mut Bencher<'_>,
    owner: &mut Owner,
    own: &Contact,
    clock: &mut Time,
) {
    bench.iter(|| {
        *clock = *clock + Span::millis(1);
        let now = *clock;
        let serial = now.0 / 1_000;
        let mut out = Effects::default();
        // The runs end at once, and with this estimate show nothing of the endpoint's speed.
        let estimate = Span::millis(10);
        let batch = Batch {
            estimate,
            ..batch(serial)
        };
        owner.accept(own, batch, now, &mut out);
        owner.process_due(now, &mut out);
        let mut started = None;
        for output in out.outputs {
            let Output::Call { call, order, .. } = output else {
                continue;
            };
            let mut lists = Lists {
                clock: now.0 / 1_000,
                ..Lists::default()
            };
            let reply = match order {
                Order::Start { task, run, .. } => {
                    started = Some((task, run));
                    Reply::Done { clock: lists.clock }
                }
                Order::Poll { wait, .. } => {
                    // Only the poll of the endpoint with the run waits there.
                    if let Some((task, run)) = started.filter(|_| wait > Span(0)) {
                        lists.ended.push(Ended {
                            serial,
                            task: Name::Known(task),
                            run,
                            end: End::Done,
                        });
                    }
                    Reply::Looked(lists)
                }
                Order::Stop { .. } => Reply::Done { clock: lists.clock },
            };
            owner.on_reply(call, now, reply, now, &mut Effects::default());
        }
        assert!(owner.is_idle(), "the task has ended");
    });
}

/// Times the choice of racks: a job of two tasks is accepted and placed on one of many racks of ten endpoints, and ends.
fn bench_place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("entry");
    let own = sender(0).contact;
    let route = DispatchRoute {
        service: "cells".to_owned(),
        timeout: Span::seconds(4),
        stretch: 1.6,
        target: Span::millis(60),
        ..DispatchRoute::default()
    };
    for count in OWNED_ENDPOINTS {
        let mut entry = Entry::new(0, &own.name, "a");
        let of_rack = |number: usize| Listing {
            rack: format!("r{}", number / 10),
            ..listing(number)
        };
        let listings: Vec<Listing> = (0..count).map(of_rack).collect();
        entry.set_endpoints(&listings);
        let racks = listings
            .iter()
            .map(|listing| (listing.rack_id(), own.clone()));
        entry.set_owners(&racks.collect());
        let vacancy = |rack: &[Listing]| Vacancy {
            rack: rack[0].rack_id(),
            free: rack.iter().map(|listing| listing.capacity).collect(),
            movable: 0,
            backlog: 0,
        };
        let rooms: Vec<Vacancy> = listings.chunks(10).map(vacancy).collect();
        entry.update_rooms(&own.name, rooms.clone());
        let mut jobs = 0;
        group.bench_function(BenchmarkId::new("place and end a job", count), |bench| {
            bench.iter(|| {
                jobs += 1;
                if jobs % 16 == 0 {
                    entry.update_rooms(&own.name, rooms.clone());
                }
                let now = Time(jobs * 1_000);
                let mut out = Effects::default();
                entry.submit(Ticket(jobs), job(jobs), &route, None, now, &mut out);
                for (_, message) in std::mem::take(&mut out.messages) {
                    if let Message::Batch(batch) = message {
                        let (serial, tasks) = (batch.serial, batch.tasks.clone());
                        entry.on_batch_ended(serial, Outcome::Done, tasks, true, now, &mut out);
                    }
                }
                assert!(entry.is_empty(), "the job has ended");
            });
        });
    }
    group.finish();
}

/// Returns a job of two tasks.
fn job(number: u64) -> Submission {
    Submission {
        id: JobId(number),
        spec: String::new(),
        steps: vec![Step {
            count: 2,
            need: batch(number).need,
            estimate: TASK_DURATION,
            ..Step::default()
        }],
        best_effort: true,
        unsupported: None,
    }
}

/// Processes due work, and answers the resulting calls to endpoints with success.
fn reply_to_calls(owner: &mut Owner, now: Time) {
    let clock = now.0 / 1_000;
    let mut out = Effects::default();
    owner.process_due(now, &mut out);
    for output in out.outputs {
        if let Output::Call { call, order, .. } = output {
            let reply = match order {
                Order::Poll { .. } => Reply::Looked(Lists {
                    clock,
                    ..Lists::default()
                }),
                _ => Reply::Done { clock },
            };
            owner.on_reply(call, now, reply, now, &mut Effects::default());
        }
    }
}

/// The number of endpoints of a rack in [`bench_polls`].
const RACK_SIZE: usize = 8;

/// Times a round of polls of all endpoints of an owner, each of which runs two tasks that progress. Tasks that are done are replaced,
/// so that a round includes the starts and ends of its tasks.
fn bench_polls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("polls");
    for count in OWNED_ENDPOINTS {
        let mut load = PollLoad::new(count);
        group.bench_function(
            BenchmarkId::new("a round with starts, progress and ends", count),
            |bench| bench.iter(|| load.run_round()),
        );
    }
    group.finish();
}

/// An owner under a steady load, and the runs on its endpoints.
struct PollLoad {
    owner: Owner,
    entry: Contact,
    racks: Vec<RackId>,
    now: Time,
    serial: u64,
    endpoints: HashMap<Endpoint, PollEndpoint>,
}

/// An endpoint in [`PollLoad`].
#[derive(Default)]
struct PollEndpoint {
    /// Its runs, with their starts.
    runs: Vec<(TaskId, Run, Time)>,
    /// The number of its ends.
    serial: u64,
}

impl PollLoad {
    fn new(count: usize) -> Self {
        let entry = sender(0).contact;
        let mut owner = Owner::new(&entry.name);
        let in_rack = |number: usize| Listing {
            rack: format!("r{}", number / RACK_SIZE),
            labels: vec!["a".to_owned(), format!("r{}", number / RACK_SIZE)],
            ..listing(number)
        };
        let listings: Vec<Listing> = (0..count).map(in_rack).collect();
        let mut out = Effects::default();
        let racks = listings.iter().step_by(RACK_SIZE);
        let racks: Vec<RackId> = racks.map(Listing::rack_id).collect();
        for rack in &racks {
            owner.claim(*rack, Token::new(Epoch(1), 1), &mut out);
        }
        let now = Time(10_000_000);
        owner.update_endpoints(&listings, now, &mut out);
        let endpoints = listings.into_iter();
        let endpoints = endpoints.map(|l| (l.id, PollEndpoint::default()));
        let mut load = Self {
            owner,
            entry,
            now,
            serial: 0,
            endpoints: endpoints.collect(),
            racks,
        };
        load.run_round();
        for _ in 0..2 {
            for number in 0..count {
                load.submit(number / RACK_SIZE);
            }
        }
        load.run_round();
        load
    }

    /// Submits a batch of one task that takes up to half of an endpoint.
    fn submit(&mut self, rack: usize) {
        self.serial += 1;
        let batch = Batch {
            rack: self.racks[rack],
            need: Resources {
                cpu: 30_000,
                memory: 64,
                gpu: 0,
            },
            ..batch(self.serial)
        };
        let out = &mut Effects::default();
        self.owner.accept(&self.entry, batch, self.now, out);
    }

    /// Advances the time to the next poll, answers all calls, and replaces the tasks that are done.
    fn run_round(&mut self) {
        self.now = self.now + Span::millis(120);
        let now = self.now;
        let mut out = Effects::default();
        self.owner.process_due(now, &mut out);
        let mut done = 0;
        for output in std::mem::take(&mut out.outputs) {
            if let Output::Call {
                call,
                endpoint,
                order,
                ..
            } = output
            {
                let reply = self.reply(&endpoint, order, &mut done);
                self.owner.on_reply(call, now, reply, now, &mut out);
            }
        }
        for number in 0..done {
            self.submit(number % self.racks.len());
        }
    }

    /// Returns the reply of an endpoint to an order, and counts the ends that it lists.
    fn reply(&mut self, endpoint: &Endpoint, order: Order, done: &mut usize) -> Reply {
        let clock = self.now.0 / 1_000;
        let state = self.endpoints.get_mut(endpoint);
        let PollEndpoint { runs, serial } = state.expect("a known endpoint");
        match order {
            Order::Start { task, run, .. } => {
                runs.push((task, run, self.now));
                Reply::Done { clock }
            }
            Order::Poll { .. } => {
                let mut lists = Lists {
                    clock,
                    ..Lists::default()
                };
                for (task, run, from) in std::mem::take(runs) {
                    let elapsed = self.now.since(from);
                    let name = Name::Known(task);
                    if elapsed >= TASK_DURATION {
                        (*serial, *done) = (*serial + 1, *done + 1);
                        lists.ended.push(Ended {
                            serial: *serial,
                            task: name,
                            run,
                            end: End::Done,
                        });
                    } else {
                        runs.push((task, run, from));
                        lists.running.push(Running {
                            task: name,
                            run,
                            percent: Some((elapsed.0 * 100 / TASK_DURATION.0) as u8),
                        });
                    }
                }
                Reply::Looked(lists)
            }
            Order::Stop { .. } => Reply::Done { clock },
        }
    }
}

/// Returns the store's entry of an endpoint.
fn listing(number: usize) -> Listing {
    Listing {
        id: parse_name(format!("endpoint-{number}")),
        life: Life::default(),
        service: "cells".to_owned(),
        address: format!("10.0.1.{number}:80"),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: Vec::new(),
        capacity: Resources {
            cpu: 64_000,
            memory: 1 << 17,
            gpu: 0,
        },
        draining: false,
    }
}

/// Returns a batch of one task that takes between 26 and 38 of an endpoint's 64 cores.
fn batch(serial: u64) -> Batch {
    Batch {
        serial,
        rack: listing(0).rack_id(),
        job: JobId(serial),
        step: 0,
        tasks: vec![0],
        moves: 0,
        need: Resources {
            cpu: 26_000 + serial * 7_919 % 12_000,
            memory: 64,
            gpu: 0,
        },
        estimate: TASK_DURATION,
        label: None,
        per_endpoint: None,
        spec: String::new(),
        attempts: 3,
        priority: 0,
        work: 12_800,
        tied: false,
        stored: false,
        slack: Some(Span::seconds(1)),
        useful: Span::seconds(2),
        time_left: Span::seconds(3),
    }
}

/// The load of the racks for which the acceptance of a job is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RackLoad {
    /// All racks have room for the job.
    Room,
    /// No rack has room, and the job waits.
    Full,
    /// The backlog is so large that the job is refused.
    Overloaded,
}

/// Times the acceptance or the refusal of a job of four tasks, with its placement and its end, at an entry that sees the given
/// numbers of racks: of a small deployment, of a region, and of a very large fleet.
fn bench_submission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("submission");
    for racks in [6, 44, 2_750] {
        for load in [RackLoad::Room, RackLoad::Full, RackLoad::Overloaded] {
            let mut entry = entry_of_racks(racks, load);
            let (now, mut id) = (Time(10_000_000), 0);
            group.bench_function(BenchmarkId::new(format!("{load:?}"), racks), |bench| {
                bench.iter(|| {
                    id += 1;
                    let mut out = Effects::default();
                    let (job, route) = (submission(id), dispatch_route());
                    entry.submit(Ticket(id), job, &route, None, now, &mut out);
                    entry.on_caller_gone(Ticket(id), now, &mut out);
                    black_box(out)
                });
            });
        }
    }
    group.finish();
}

/// Returns an entry that sees racks of eight endpoints under a load that no number of submissions changes.
fn entry_of_racks(racks: usize, load: RackLoad) -> Entry {
    let mut entry = Entry::new(0, &sender(0).contact.name, "a");
    let cpu = if load == RackLoad::Overloaded {
        32_000
    } else {
        1 << 48
    };
    let capacity = Resources {
        cpu,
        memory: 1 << 48,
        gpu: 0,
    };
    let listings: Vec<Listing> = (0..racks * 8)
        .map(|number| Listing {
            rack: format!("r{}", number / 8),
            capacity,
            ..listing(number)
        })
        .collect();
    entry.set_endpoints(&listings);
    let ids: Vec<RackId> = listings.iter().step_by(8).map(Listing::rack_id).collect();
    let owner = |number: usize| sender(number % 45).contact;
    let owners: HashMap<RackId, Contact> = ids.iter().copied().zip((0..racks).map(owner)).collect();
    entry.set_owners(&owners);
    for (number, rack) in ids.into_iter().enumerate() {
        let free = if load == RackLoad::Room {
            capacity
        } else {
            Resources::default()
        };
        let vacancy = Vacancy {
            rack,
            free: vec![free; 8],
            movable: 0,
            backlog: if load == RackLoad::Overloaded {
                1 << 30
            } else {
                1_000
            },
        };
        entry.update_rooms(&owner(number).name, vec![vacancy]);
        // Owners under load announce their backlog by class.
        if load != RackLoad::Room {
            let part = if load == RackLoad::Overloaded {
                1 << 28
            } else {
                250
            };
            let classes =
                (0..3).flat_map(|p| [WaitingClass::new(p, false), WaitingClass::new(p, true)]);
            let load = AnnouncedLoad {
                rack,
                speeds: Vec::new(),
                waiting: classes.map(|class| (class, part)).collect(),
            };
            entry.update_loads(&owner(number).name, vec![load]);
        }
    }
    entry
}

/// Returns a job of four tasks of 16 cores.
fn submission(id: u64) -> Submission {
    let step = Step {
        count: 4,
        need: Resources {
            cpu: 16_000,
            memory: 64,
            gpu: 0,
        },
        estimate: TASK_DURATION,
        ..Step::default()
    };
    Submission {
        id: JobId(id),
        spec: String::new(),
        steps: vec![step],
        best_effort: true,
        unsupported: None,
    }
}

/// Returns the queue of these jobs.
fn dispatch_route() -> DispatchRoute {
    DispatchRoute {
        service: "cells".to_owned(),
        timeout: Span::millis(1_500),
        stretch: 1.6,
        target: Span::millis(60),
        attempts: 2,
        ..DispatchRoute::default()
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .sample_size(50)
        .configure_from_args();
    bench_placement(&mut criterion);
    bench_admission(&mut criterion);
    bench_health(&mut criterion);
    bench_membership(&mut criterion);
    bench_documents(&mut criterion);
    bench_waiting(&mut criterion);
    bench_submission(&mut criterion);
    bench_start(&mut criterion);
    bench_place(&mut criterion);
    bench_polls(&mut criterion);
    bench_review(&mut criterion);
    criterion.final_summary();
}
