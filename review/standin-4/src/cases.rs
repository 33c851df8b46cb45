//! The cases.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    thread::{scope, sleep},
    time::Duration,
};

use crate::{
    record::Event,
    store::Mode,
    world::{configuration, Queue, World, FINISH, SIGCONT, SIGSTOP, SIGTERM},
};

const QUEUES: &[Queue] = &[
    Queue("probe", "/probe/", 0, 3, 1.6, 60),
    Queue("model", "/model/", 1, 3, 1.6, 60_000),
];

/// Runs a case and returns what breaks the rule, or `None` if it couldn't run.
pub fn run(
    case: &str,
    program: &str,
    folder: &str,
    record: &str,
    trouble: bool,
) -> Option<Vec<String>> {
    match case {
        "ends" => ends(program, folder, record, trouble),
        "channels" => channels(program, folder, record, trouble),
        "kind" => kind(program, folder, record, trouble),
        "soak" => soak(program, folder, record, trouble),
        _ => None,
    }
}

/// Builds a stored job of one step.
fn job(count: u32, cpu: u64, millis: u64) -> String {
    format!(
        "{{\"spec\":\"cpu={cpu} mem=64 ms={millis}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":64,\"estimated_ms\":{millis}}}]}}"
    )
}

fn id(number: u64) -> String {
    // Spread over the shards.
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1)
}

/// Rule LOST: `finish_s` after the end of the traffic, for 3 s, a job has nothing running while a task's turn has come, there is capacity
/// for it twice over, and under half of the service's capacity is in use.
fn ends(program: &str, folder: &str, record: &str, trouble: bool) -> Option<Vec<String>> {
    /// A job every `GAP` ms needs somewhat under half of the workers' room.
    const CPU: u64 = 200;
    const TASKS: u32 = 30;
    const MILLIS: u64 = 500;
    const GAP: u64 = 50;
    const LENGTH: u64 = 40_000;
    let world = World::with_channels(program, folder, 3, 1, 2, 64_000, usize::MAX);
    world.store.set("op", "config", &configuration(3, QUEUES));
    if !world.start_all() {
        return None;
    }
    sleep(Duration::from_secs(2));
    let accepted = Mutex::new(BTreeMap::new());
    scope(|s| {
        let world = &world;
        if trouble {
            s.spawn(move || {
                sleep(Duration::from_secs(5));
                world
                    .record
                    .note("the store turns one of three instances away with 503 for 9 s");
                world.store.set_mode(0, Mode::Busy);
                sleep(Duration::from_secs(9));
                world.store.set_mode(0, Mode::Serving);
                world.record.note("the store serves all instances again");
            });
        }
        let body = job(TASKS, CPU, MILLIS);
        send_traffic(world, &accepted, 3, GAP, LENGTH, &body, TASKS);
    });
    let accepted = accepted.into_inner().unwrap();
    world.record.note("end of the traffic");
    let from = world.record.now_ms() + FINISH.as_millis() as u64;
    let findings = watch(&world, &accepted, CPU, from, from + 10_000);
    finish(&world, &accepted, TASKS, record, findings)
}

/// Submits a job every `gap` ms for `length` ms, and records the accepted ones with their numbers of tasks. A client whose job isn't taken up
/// comes again, at the next instance.
fn send_traffic(
    world: &World,
    accepted: &Mutex<BTreeMap<String, usize>>,
    instances: u64,
    gap: u64,
    length: u64,
    body: &str,
    tasks: u32,
) {
    let began = world.record.now_ms();
    scope(|s| {
        let mut round = 0;
        while world.record.now_ms() - began < length {
            sleep(Duration::from_millis(gap));
            round += 1;
            let number = round;
            s.spawn(move || {
                let name = id(500 + number);
                let path = format!("/model/{name}");
                for attempt in 0..3 {
                    let index = ((number + attempt) % instances) as usize;
                    let answer =
                        world.call(index, "POST", &path, body, Duration::from_millis(4_000));
                    let status = answer.map_or(0, |(status, _)| status);
                    world
                        .record
                        .note(format!("POST {path} at {index}: {status}"));
                    if status == 200 {
                        accepted.lock().unwrap().insert(name, tasks as usize);
                        break;
                    }
                    if !matches!(status, 0 | 502 | 503 | 504) {
                        break;
                    }
                    sleep(Duration::from_millis(1_300));
                }
            });
            let used: Vec<u64> = world.workers.iter().map(|w| w.used_cpu()).collect();
            let listed: Vec<usize> = world.workers.iter().map(|w| w.listed()).collect();
            world.record.note(format!(
                "in use {used:?}, ends listed {listed:?}; {number} jobs sent"
            ));
        }
    });
}

/// Watches the workers until `until` and returns the jobs that had nothing running for too long after `from`.
fn watch(
    world: &World,
    jobs: &BTreeMap<String, usize>,
    cpu: u64,
    from: u64,
    until: u64,
) -> Vec<String> {
    while world.record.now_ms() < until {
        sleep(Duration::from_millis(500));
        let used: Vec<u64> = world
            .workers
            .iter()
            .map(|worker| worker.used_cpu())
            .collect();
        let listed: Vec<usize> = world.workers.iter().map(|worker| worker.listed()).collect();
        world.record.note(format!(
            "in use {used:?} of 64000 each, ends listed {listed:?}"
        ));
    }
    let capacity = world.workers.iter().map(|worker| worker.cpu).sum();
    world.record.idle(jobs, cpu, capacity, from)
}

/// Asks for some of the jobs, writes the record and returns the findings.
fn finish(
    world: &World,
    jobs: &BTreeMap<String, usize>,
    tasks: u32,
    record: &str,
    mut findings: Vec<String>,
) -> Option<Vec<String>> {
    findings.extend(world.record.twice());
    let states = Mutex::new(BTreeMap::new());
    // A part of them, so that the script ends in time also where no GET is answered.
    let names: Vec<&String> = jobs.keys().take(60).collect();
    scope(|s| {
        for part in names.chunks(2) {
            let states = &states;
            s.spawn(move || {
                for name in part {
                    let state = world.state(0, &format!("/model/{name}"));
                    *states.lock().unwrap().entry(state).or_insert(0) += 1;
                }
            });
        }
    });
    let states: BTreeMap<String, usize> = states.into_inner().unwrap();
    world
        .record
        .note(format!("states at the end of the first 60 jobs {states:?}"));
    let starts = world
        .record
        .events()
        .iter()
        .filter(|(_, e)| matches!(e, Event::Start { .. }))
        .count();
    world.record.note(format!(
        "{} tasks accepted, {starts} starts",
        jobs.len() * tasks as usize
    ));
    world.record.write(record, 3_000, &findings);
    println!("{states:?}, {starts} starts");
    Some(findings)
}

/// Rule LOST: `finish_s` after the end of the traffic, for 3 s, a job has nothing running while a task's turn has come, there is capacity
/// for it twice over, and under half of the service's capacity is in use.
/// The workers serve 64 channels each.
fn channels(program: &str, folder: &str, record: &str, trouble: bool) -> Option<Vec<String>> {
    const CPU: u64 = 600;
    const TASKS: u32 = 200;
    /// The time between two jobs, and that of the traffic, in ms.
    const GAP: u64 = 84;
    const LENGTH: u64 = 58_000;
    let world = World::new(program, folder, 2, 4, 2, 64_000);
    world.store.set("op", "config", &configuration(3, QUEUES));
    if !world.start_all() {
        return None;
    }
    sleep(Duration::from_secs(2));
    let accepted = Mutex::new(BTreeMap::new());
    let began = world.record.now_ms();
    scope(|s| {
        let (world, accepted) = (&world, &accepted);
        if trouble {
            s.spawn(move || {
                sleep(Duration::from_secs(5));
                world.kill(1);
                sleep(Duration::from_millis(3_500));
                world.start(1);
            });
        }
        let mut round = 0;
        while world.record.now_ms() - began < LENGTH {
            sleep(Duration::from_millis(GAP));
            round += 1;
            let number = round;
            s.spawn(move || {
                let name = id(500 + number);
                let path = format!("/model/{name}");
                let body = job(TASKS, CPU, 300);
                // A client whose job isn't taken up comes again, at the other instance.
                for attempt in 0..3 {
                    let index = ((number + attempt) % 2) as usize;
                    let answer =
                        world.call(index, "POST", &path, &body, Duration::from_millis(4_000));
                    let status = answer.map_or(0, |(status, _)| status);
                    world
                        .record
                        .note(format!("POST {path} at {index}: {status}"));
                    if status == 200 {
                        accepted.lock().unwrap().insert(name, TASKS as usize);
                        break;
                    }
                    if !matches!(status, 0 | 502 | 504) {
                        break;
                    }
                    sleep(Duration::from_millis(1_300));
                }
            });
            if number % 10 == 0 {
                let used: Vec<u64> = world
                    .workers
                    .iter()
                    .map(|worker| worker.used_cpu())
                    .collect();
                world
                    .record
                    .note(format!("in use {used:?}; {number} jobs sent"));
            }
        }
    });
    let accepted = accepted.into_inner().unwrap();
    world.record.note("end of the traffic");
    let from = world.record.now_ms() + FINISH.as_millis() as u64;
    let findings = watch(&world, &accepted, CPU, from, from + 10_000);
    finish(&world, &accepted, TASKS, record, findings)
}

/// Rule ROUTE: a start on a worker without the label in `required_label`.
fn kind(program: &str, folder: &str, record: &str, trouble: bool) -> Option<Vec<String>> {
    const ROUNDS: u64 = 5;
    let world = World::new(program, folder, 3, 4, 2, 64_000);
    world.store.set("op", "config", &configuration(3, QUEUES));
    if !world.start_all() {
        return None;
    }
    sleep(Duration::from_secs(3));
    for (round, worker) in (0..ROUNDS).zip(&world.workers) {
        if trouble {
            worker.change_kind("b");
        }
        worker.crash(&world.store, Duration::from_secs(3));
        // Three tasks fit on each worker of kind a that there was before.
        let count = 3 * (8 - round);
        for part in 0..4 {
            let path = format!("/model/{}", id(500 + round * 10 + part));
            let body = format!(
                "{{\"spec\":\"cpu=20000 mem=64 ms=100\",\"steps\":[{{\"count\":{count},\"cpu\":20000,\"mem_mb\":64,\
                 \"estimated_ms\":100,\"required_label\":\"a\"}}]}}"
            );
            let answer = world.call(
                (part % 3) as usize,
                "POST",
                &path,
                &body,
                Duration::from_millis(1_500),
            );
            world.record.note(format!(
                "POST {path}, {count} tasks: {:?}",
                answer.map(|answer| answer.0)
            ));
            sleep(Duration::from_millis(100));
        }
        sleep(Duration::from_millis(800));
    }
    let findings = world.record.wrong_kind();
    world.record.write(record, 1_000, &findings);
    Some(findings)
}

/// A generator of numbers from a seed.
struct Dice(u64);

impl Dice {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most.max(1)
    }
}

/// Random troubles for stored jobs of two steps, by `SEED`, `FAULTS` (a list), `LENGTH` in s, `WIDTH`, `CPU` and `PAUSE`: what the report tells
/// of as plays. Checks several rules; it's no case.
fn soak(program: &str, folder: &str, record: &str, trouble: bool) -> Option<Vec<String>> {
    let number = |name: &str, other: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(other)
    };
    let seed = number("SEED", 1);
    let kinds = std::env::var("FAULTS")
        .unwrap_or_else(|_| "kill,stop,term,down,node,grey,cancel".to_owned());
    let kinds: Vec<String> = kinds.split(',').map(str::to_owned).collect();
    let length = number("LENGTH", 45) * 1_000;
    let world = World::new(program, folder, 3, 3, 2, 64_000);
    world.store.set("op", "config", &configuration(3, QUEUES));
    if !world.start_all() {
        return None;
    }
    sleep(Duration::from_secs(2));
    let accepted: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());
    let sent: Mutex<BTreeMap<String, Vec<u16>>> = Mutex::new(BTreeMap::new());
    let cancelled: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());
    let findings: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let end = world.record.now_ms() + length;
    scope(|s| {
        let (world, accepted, sent, cancelled, findings, kinds) =
            (&world, &accepted, &sent, &cancelled, &findings, &kinds);
        for client in 0..8_u64 {
            s.spawn(move || {
                let mut dice = Dice(seed * 1_000 + client);
                let mut round = 0;
                while world.record.now_ms() < end {
                    round += 1;
                    let name = id(seed * 1_000_003 + client * 10_007 + round);
                    let path = format!("/model/{name}");
                    let millis = 80 + dice.below(700);
                    let (width, cpu) = (number("WIDTH", 3), number("CPU", 1_000));
                    let step = |after: &str| format!("{{\"count\":{width},\"cpu\":{cpu},\"mem_mb\":64,\"estimated_ms\":{millis}{after}}}");
                    let body = format!(
                        "{{\"spec\":\"cpu={cpu} mem=64 ms={millis}\",\"steps\":[{},{}]}}", step(""), step(",\"after\":[0]")
                    );
                    for _ in 0..4 {
                        let instance = dice.below(3) as usize;
                        let answer = world.call(instance, "POST", &path, &body, Duration::from_millis(3_000));
                        let status = answer.map_or(0, |(status, _)| status);
                        world.record.note(format!("POST {path} at {instance}: {status}"));
                        sent.lock().unwrap().entry(name.clone()).or_default().push(status);
                        if status == 200 {
                            accepted.lock().unwrap().insert(name.clone(), world.record.now_ms());
                            break;
                        }
                        if !matches!(status, 0 | 502 | 504) {
                            break;
                        }
                        sleep(Duration::from_millis(1_300));
                    }
                    if kinds.iter().any(|k| k == "cancel") && dice.below(6) == 0 {
                        sleep(Duration::from_millis(dice.below(600)));
                        let answer = world.call(dice.below(3) as usize, "DELETE", &path, "", Duration::from_millis(3_000));
                        let status = answer.map_or(0, |(status, _)| status);
                        world.record.note(format!("DELETE {path}: {status}"));
                        let at = world.record.now_ms();
                        if status == 200 {
                            cancelled.lock().unwrap().insert(name.clone(), at);
                        } else if status == 410 && accepted.lock().unwrap().contains_key(&name) {
                            findings.lock().unwrap().push(format!("LOST: DELETE {path} at {at} ms: 410 though accepted"));
                        }
                        // Sent but perhaps without an answer: not owed.
                        cancelled.lock().unwrap().entry(name.clone()).or_insert(u64::MAX);
                    }
                    if dice.below(3) == 0 {
                        let old = accepted.lock().unwrap().keys().nth(dice.below(40) as usize).cloned();
                        if let Some(old) = old {
                            let state = world.state(dice.below(3) as usize, &format!("/model/{old}"));
                            if state == "410" {
                                let at = world.record.now_ms();
                                findings.lock().unwrap().push(format!("LOST: GET {old} at {at} ms: 410"));
                            }
                            if state == "failed" && !kinds.iter().any(|k| k == "grey") {
                                findings.lock().unwrap().push(format!("LOST: GET {old}: failed"));
                            }
                        }
                    }
                    sleep(Duration::from_millis(number("PAUSE", 50) + dice.below(150)));
                }
            });
        }
        if trouble {
            s.spawn(move || {
                let mut dice = Dice(seed);
                sleep(Duration::from_secs(3));
                while world.record.now_ms() + 4_000 < end {
                    let kind = kinds[dice.below(kinds.len() as u64) as usize].as_str();
                    let index = dice.below(3) as usize;
                    let span = Duration::from_millis(600 + dice.below(3_000));
                    let worker = &world.workers[dice.below(6) as usize];
                    world.record.note(format!(
                        "trouble: {kind} at instance {index} or {} for {span:?}",
                        worker.id
                    ));
                    match kind {
                        "kill" => {
                            world.kill(index);
                            sleep(span / 3);
                            world.start(index);
                        }
                        "term" => {
                            world.signal(index, SIGTERM);
                            world.wait(index);
                            sleep(span / 3);
                            world.start(index);
                        }
                        "stop" => {
                            world.signal(index, SIGSTOP);
                            sleep(span);
                            world.signal(index, SIGCONT);
                        }
                        "down" => {
                            (0..3).for_each(|i| {
                                world.store.set_mode(
                                    i,
                                    if dice.below(2) == 0 {
                                        Mode::Busy
                                    } else {
                                        Mode::Silent
                                    },
                                )
                            });
                            sleep(span);
                            (0..3).for_each(|i| world.store.set_mode(i, Mode::Serving));
                        }
                        "node" => {
                            world.store.set_mode(
                                index,
                                if dice.below(2) == 0 {
                                    Mode::Busy
                                } else {
                                    Mode::Silent
                                },
                            );
                            sleep(span * 2);
                            world.store.set_mode(index, Mode::Serving);
                        }
                        "lost" => {
                            (0..3).for_each(|i| world.store.set_mode(i, Mode::Lossy));
                            sleep(span);
                            (0..3).for_each(|i| world.store.set_mode(i, Mode::Serving));
                        }
                        "late" => {
                            world
                                .workers
                                .iter()
                                .for_each(|worker| worker.late_for(span));
                            sleep(span);
                        }
                        "reborn" => worker.crash(&world.store, span / 3),
                        "lateborn" => {
                            let span = Duration::from_secs(5);
                            world
                                .workers
                                .iter()
                                .for_each(|worker| worker.late_for(span));
                            sleep(Duration::from_millis(1_000));
                            worker.crash(&world.store, Duration::from_millis(600));
                            sleep(Duration::from_millis(3_400));
                        }
                        "lateall" => {
                            world
                                .workers
                                .iter()
                                .for_each(|worker| worker.late_for(Duration::from_secs(3)));
                            sleep(Duration::from_millis(1_500));
                            (0..3).for_each(|i| world.kill(i));
                            (0..3).for_each(|i| world.start(i));
                            sleep(Duration::from_millis(1_500));
                        }
                        "grey" => worker.fail_for(span),
                        "both" => {
                            let other = (index + 1) % 3;
                            world.signal(other, SIGSTOP);
                            world.kill(index);
                            sleep(span / 2);
                            world.start(index);
                            sleep(span / 2);
                            world.signal(other, SIGCONT);
                        }
                        "all" => {
                            (0..3).for_each(|i| world.kill(i));
                            (0..3).for_each(|i| world.start(i));
                        }
                        _ => {}
                    }
                    sleep(Duration::from_millis(500 + dice.below(3_000)));
                }
            });
        }
    });
    world.record.note("end of the traffic");
    (0..3).for_each(|i| world.store.set_mode(i, Mode::Serving));
    sleep(FINISH);
    let mut findings = findings.into_inner().unwrap();
    for index in 0..3 {
        if world.has_ended(index) {
            findings.push(format!("an instance has ended: {index}"));
        }
    }
    let (accepted, cancelled) = (
        accepted.into_inner().unwrap(),
        cancelled.into_inner().unwrap(),
    );
    let states = Mutex::new(Vec::new());
    let names: Vec<&String> = accepted.keys().collect();
    scope(|s| {
        for part in names.chunks(names.len().div_ceil(30).max(1)) {
            let (world, states) = (&world, &states);
            s.spawn(move || {
                for name in part {
                    let state = world.state(0, &format!("/model/{name}"));
                    states.lock().unwrap().push((name.to_string(), state));
                }
            });
        }
    });
    let mut counts = BTreeMap::new();
    for (name, state) in states.into_inner().unwrap() {
        *counts.entry(state.clone()).or_insert(0) += 1;
        let done = world.record.count_done(&name);
        let sound = match state.as_str() {
            "completed" => done as u64 == 2 * number("WIDTH", 3),
            "cancelled" => cancelled.contains_key(&name),
            "failed" => world.record.failures(&name) >= 3 || world.record.crashes(&name) >= 2,
            _ => false,
        };
        if !sound {
            findings.push(format!("LOST/MIXED: {name}: {state}, {done} of 6 done"));
        }
    }
    for (name, statuses) in sent.into_inner().unwrap() {
        if statuses.iter().all(|status| matches!(status, 429 | 503))
            && world.record.has_started(&name)
        {
            findings.push(format!("REFUSED: {name} started, answers {statuses:?}"));
        }
    }
    for (at, event) in world.record.events() {
        if let Event::Start { task, .. } = event {
            let cancel = cancelled.get(&task[..16]).copied().unwrap_or(u64::MAX);
            if at > cancel.saturating_add(3_000) {
                findings.push(format!(
                    "UNASKED: {task} started at {at} ms, cancelled at {cancel} ms"
                ));
            }
        }
    }
    findings.extend(world.record.twice());
    findings.extend(world.record.budget(3));
    findings.extend(world.record.order(number("WIDTH", 3) as usize));
    world.record.note(format!("states {counts:?}"));
    world.record.write(record, 1_000_000, &findings);
    println!("{counts:?}");
    Some(findings)
}
