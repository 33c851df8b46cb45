//! A randomized soak test for two runs of one task at a time: long tasks, callers that come again, and faults on the links
//! between instances.
//!
//! A third of the submissions are broken off by their caller, who submits the job again at another instance after the same
//! delay as callers whose connection broke or who were answered 504. Killed instances stay down, so that nothing but their
//! silence tells their peers; others run with a late thread; and messages between instances stall while heartbeats pass.
//!
//! The test checks that no task runs twice at a time, that "completed" means that every task was done, and that "not run"
//! means that no task started. `OVERLAP_SEEDS=FROM-TO cargo test --test overlap` runs other seeds than the default ones,
//! `OVERLAP_SIZE=large` a larger fleet.
#![allow(dead_code)] // Other tests use more of these modules.

#[path = "platform/endpoint.rs"]
mod endpoint;
#[path = "platform/fleet.rs"]
mod fleet;
#[path = "platform/store.rs"]
mod store;
mod support;

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use endpoint::RUN_FOR;
use fleet::{
    Fleet,
    Instance,
    HOST,
    PREFIX, //
};
use nix::sys::signal::Signal;
use poplarknot::clock::unix_millis;
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom as _,
    Rng as _,
    SeedableRng as _, //
};
use serde_json::json;
use support::{
    client::{
        Client,
        Response, //
    },
    peer_proxy::{
        Faults,
        Treatment, //
    },
    proxy::{
        Direction,
        Mode, //
    },
    Result, //
};
use tokio::{
    task::JoinSet,
    time::{
        sleep,
        timeout,
        Instant, //
    }, //
};

/// Seeds that run by default.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// The numbers of instances, endpoints and callers.
const SIZE: (usize, usize, u64) = (8, 32, 90);
/// The same with `OVERLAP_SIZE=large`.
const LARGE_SIZE: (usize, usize, u64) = (20, 80, 220);
/// The time for which faults are injected.
const FAULT_SPAN: Duration = Duration::from_secs(9);
/// The delay before a caller submits its job again.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Submissions of one job at the most.
const MAX_SUBMISSIONS: usize = 4;
/// How long the process of a starved instance runs and is stopped by turns, in milliseconds. Only the last stop is longer
/// than the pause after which a process drops all it has.
const STARVATION: [(u64, u64); 7] = [
    (8, 70),
    (15, 70),
    (20, 80),
    (40, 60),
    (10, 120),
    (60, 300),
    (300, 900),
];
/// How long before a caller breaks off, at the least, the messages of its entry stall: more than it takes to apply faults.
const STALL_LEAD: Duration = Duration::from_millis(40);
/// How often faults on links are updated.
const LINK_UPDATE_INTERVAL: Duration = Duration::from_millis(15);
/// The longest time that a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(9);

/// An instance across its processes.
struct Slot {
    instance: Mutex<Arc<Instance>>,
    /// The logs of its former processes.
    log: Mutex<String>,
}

impl Slot {
    fn current(&self) -> Arc<Instance> {
        self.instance.lock().unwrap().clone()
    }
}

/// What callers were told, and what they and the faults did.
#[derive(Default)]
struct Ledger {
    /// Jobs that were answered as completed, with their number of tasks.
    completed: HashMap<u64, usize>,
    /// Whether every submission of a job was refused, by job.
    refused: HashMap<u64, bool>,
    /// The number of submissions by their end.
    ends: HashMap<String, usize>,
    /// Faults and submissions, with the times since 1970 in milliseconds.
    history: Vec<(u64, String)>,
}

impl Ledger {
    fn record(&mut self, event: String) {
        self.history.push((unix_millis(), event));
    }
}

/// What callers and faults share.
struct World {
    slots: Vec<Slot>,
    ledger: Mutex<Ledger>,
    /// Instances whose messages to all others are to stall, and for how long.
    stalls: Mutex<Vec<(usize, Duration)>>,
    /// When the links to half of the endpoints are to be held, so that stops are late.
    late_stops: Mutex<Vec<Instant>>,
    end: Instant,
    /// The origin of the times in reports.
    start: (Instant, u64),
}

impl World {
    fn record(&self, event: String) {
        self.ledger.lock().unwrap().record(event);
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    /// Stalls the messages of an instance to all others from now on.
    fn stall(&self, i: usize, span: Duration) {
        self.stalls.lock().unwrap().push((i, span));
    }

    /// Holds links to endpoints from shortly before an instance's death is noticed, after the last extensions of leases.
    fn delay_stops(&self, random: &mut SmallRng) {
        let lead = Duration::from_millis(random.random_range(350..600));
        self.late_stops.lock().unwrap().push(Instant::now() + lead);
    }

    /// Returns whether links to endpoints are to be held from now on.
    fn are_stops_due_late(&self) -> bool {
        let mut late_stops = self.late_stops.lock().unwrap();
        let count = late_stops.len();
        late_stops.retain(|at| *at > Instant::now());
        late_stops.len() < count
    }

    /// Waits for a span, or until the faults end.
    async fn wait(&self, span: Duration) {
        let left = self.end.saturating_duration_since(Instant::now());
        sleep(span.min(left)).await;
    }

    /// Chooses an instance other than `last` to submit a job at. A few callers don't know yet that it's down.
    fn choose_instance(&self, last: usize, random: &mut SmallRng) -> usize {
        let knows = random.random_ratio(9, 10);
        let is_eligible =
            |i: &usize| *i != last && (!knows || self.slots[*i].current().is_running());
        let eligible: Vec<usize> = (0..self.slots.len()).filter(is_eligible).collect();
        eligible.choose(random).copied().unwrap_or(0)
    }

    /// Returns a time since 1970 in milliseconds.
    fn unix_time(&self, at: Instant) -> u64 {
        let (start, unix) = self.start;
        unix + at.saturating_duration_since(start).as_millis() as u64
    }
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Returns the numbers of instances, endpoints and callers.
fn fleet_size() -> (usize, usize, u64) {
    match std::env::var("OVERLAP_SIZE").as_deref() {
        Ok("large") => LARGE_SIZE,
        _ => SIZE,
    }
}

/// Returns the seeds to run.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("OVERLAP_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = range
        .split_once('-')
        .expect("OVERLAP_SEEDS has the form FROM-TO");
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

/// Guards against a resubmitted job that runs beside its first attempt, whose owner hasn't learnt in time that the entry
/// is dead or the caller gone.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_at_a_time() -> Result {
    let mut violations = Vec::new();
    for seed in seeds() {
        let found = run_seed(seed).await?;
        let with_seed = found
            .into_iter()
            .map(|violation| format!("seed {seed}: {violation}"));
        violations.extend(with_seed);
    }
    assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

/// Runs a fleet with the faults of one seed, and returns the violations.
async fn run_seed(seed: u64) -> Result<Vec<String>> {
    let (instances, endpoints, callers) = fleet_size();
    let mut fleet =
        Fleet::start_behind_peer_proxies(program(), instances, endpoints, Duration::ZERO).await?;
    let mut random = SmallRng::seed_from_u64(seed);
    for endpoint in &fleet.endpoints {
        if random.random_ratio(1, 4) {
            endpoint.set_failure_interval(random.random_range(3..8));
        }
    }
    let slot = |instance| Slot {
        instance: Mutex::new(Arc::new(instance)),
        log: Mutex::default(),
    };
    let now = Instant::now();
    let world = Arc::new(World {
        slots: std::mem::take(&mut fleet.instances)
            .into_iter()
            .map(slot)
            .collect(),
        ledger: Mutex::default(),
        stalls: Mutex::default(),
        late_stops: Mutex::default(),
        end: now + FAULT_SPAN,
        start: (now, unix_millis()),
    });
    let mut calls = JoinSet::new();
    for caller in 0..callers {
        let random = SmallRng::seed_from_u64(seed * 1_000 + caller);
        calls.spawn(submit_jobs(caller, random, world.clone()));
    }
    let mut seeds = (0..3).map(|_| SmallRng::seed_from_u64(random.random()));
    let mut next = || {
        seeds
            .next()
            .unwrap_or_else(|| SmallRng::seed_from_u64(seed))
    };
    let (result, (), ()) = tokio::join!(
        inject_process_faults(next(), &world),
        inject_peer_faults(next(), &fleet, &world),
        inject_endpoint_faults(next(), &fleet, &world),
    );
    result?;
    while calls.join_next().await.transpose()?.is_some() {}
    // Runs of broken submissions are stopped, or their leases expire.
    sleep(Duration::from_millis(1_500)).await;
    let mut violations = find_overlaps(&fleet, &world);
    violations.extend(find_untrue_answers(&fleet, &world));
    let ledger = world.ledger.lock().unwrap();
    println!(
        "seed {seed}: {} violations, {:?}",
        violations.len(),
        ledger.ends
    );
    if !violations.is_empty() {
        let folder = write_logs(seed, &world, &ledger, &violations)?;
        println!("  {}", violations[0]);
        println!("  logs are in {}", folder.display());
    }
    Ok(violations)
}

/// Writes the logs of all instances, and the faults and submissions, to files that remain after the test.
fn write_logs(seed: u64, world: &World, ledger: &Ledger, violations: &[String]) -> Result<PathBuf> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("overlap-{seed}"));
    std::fs::create_dir_all(&folder)?;
    for slot in &world.slots {
        let instance = slot.current();
        let log = slot.log.lock().unwrap().clone() + &instance.log();
        std::fs::write(folder.join(&instance.name), log)?;
    }
    let lines = ledger.history.iter();
    let lines: String = lines.map(|(at, event)| format!("{at} {event}\n")).collect();
    std::fs::write(folder.join("history"), lines)?;
    std::fs::write(folder.join("violations"), violations.join("\n"))?;
    Ok(folder)
}

/// Describes each pair of runs of one task at a time, with the submissions of its job.
fn find_overlaps(fleet: &Fleet, world: &World) -> Vec<String> {
    let ledger = world.ledger.lock().unwrap();
    let describe = |(endpoint, run): &fleet::OverlappingRun| {
        let end = run.ended_at.map_or(0, |end| world.unix_time(end));
        let start = world.unix_time(run.started_at);
        let (number, outcome) = (run.run, run.outcome);
        format!("run {number} at {endpoint} from {start} to {end} ({outcome})")
    };
    let overlaps = fleet.find_overlaps();
    let overlap = overlaps.iter().map(|[one, other]| {
        let task = &one.1.task;
        let job = task.split('.').next().unwrap_or_default();
        let submissions = ledger.history.iter().filter(|(_, e)| e.starts_with(job));
        let submissions: Vec<String> = submissions.map(|(at, e)| format!("{at} {e}")).collect();
        format!(
            "{task} ran twice at a time: {} and {}; {}",
            describe(one),
            describe(other),
            submissions.join("; ")
        )
    });
    overlap.collect()
}

/// Returns the answers that contradict what endpoints ran.
fn find_untrue_answers(fleet: &Fleet, world: &World) -> Vec<String> {
    let mut done: HashMap<String, HashSet<String>> = HashMap::new();
    let mut started: HashSet<String> = HashSet::new();
    for run in fleet.endpoints.iter().flat_map(|e| e.history()) {
        let job = run.task.split('.').next().unwrap_or_default().to_owned();
        started.insert(job.clone());
        if run.outcome == "done" {
            done.entry(job).or_default().insert(run.task);
        }
    }
    let ledger = world.ledger.lock().unwrap();
    let mut violations = Vec::new();
    for (id, tasks) in &ledger.completed {
        let count = done.get(&format!("{id:016x}")).map_or(0, HashSet::len);
        if count < *tasks {
            violations.push(format!(
                "{id:016x} was answered as completed, but only {count} of {tasks} tasks were done"
            ));
        }
    }
    for (id, refused) in &ledger.refused {
        if *refused && started.contains(&format!("{id:016x}")) {
            violations.push(format!(
                "{id:016x} was answered as not run, but a task had started"
            ));
        }
    }
    if ledger.completed.is_empty() {
        violations.push("no job was completed".to_owned());
    }
    violations
}

/// A job that is submitted until it's answered.
struct Job {
    id: u64,
    tasks: usize,
    /// How long each task runs, and how long the caller says it does, in milliseconds.
    duration: u64,
    estimate: u64,
    /// How long the caller waits for an answer by its request, in milliseconds.
    deadline: u64,
}

impl Job {
    fn draw(id: u64, random: &mut SmallRng) -> Self {
        let duration = match random.random_range(0..10) {
            0 | 1 => random.random_range(60..400),
            2 | 3 => random.random_range(2_500..4_000),
            _ => random.random_range(1_500..2_500),
        };
        // Jobs whose tasks take much longer than estimated start, and are answered 504.
        let is_underestimated = random.random_ratio(1, 6);
        let (estimate, deadline) = match is_underestimated {
            true => (duration / 4, random.random_range(700..1_300)),
            false => (duration, 8_000),
        };
        Self {
            id,
            tasks: random.random_range(1..4),
            duration,
            estimate,
            deadline,
        }
    }

    async fn submit(&self, address: std::net::SocketAddr) -> Result<Response> {
        let deadline = self.deadline.to_string();
        let headers = [
            ("host", HOST),
            ("x-poplarknot-deadline-ms", deadline.as_str()),
        ];
        let body = json!({
            "spec": format!("{RUN_FOR}{}", self.duration), "best_effort": true,
            "steps": [{
                "count": self.tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": self.estimate,
            }],
        });
        let path = format!("{PREFIX}{:016x}", self.id);
        let mut client = Client::connect(address).await?;
        client.post(&path, &headers, &body).await
    }
}

/// Submits one job after another, each again at another instance after its connection broke or a 504.
async fn submit_jobs(caller: u64, mut random: SmallRng, world: Arc<World>) {
    let mut number = 0;
    let mut last = usize::MAX;
    while !world.is_over() {
        number += 1;
        let job = Job::draw((caller + 1) << 32 | number, &mut random);
        for _ in 0..MAX_SUBMISSIONS {
            last = world.choose_instance(last, &mut random);
            let is_broken_off = random.random_ratio(1, 3);
            let patience = match is_broken_off {
                true => Duration::from_millis(random.random_range(50..900)),
                false => CALLER_PATIENCE,
            };
            let instance = world.slots[last].current();
            world.record(format!("{:016x} submitted at {}", job.id, instance.name));
            let submission = job.submit(instance.caller_address());
            let answer = timeout(patience, submission);
            // The entry's cancellation may then arrive after the next submission.
            let is_stalled = is_broken_off && random.random_ratio(1, 8);
            let stall = async {
                if is_stalled {
                    sleep(patience.saturating_sub(STALL_LEAD)).await;
                    world.stall(
                        last,
                        Duration::from_millis(random.random_range(1_500..3_000)),
                    );
                }
            };
            let (answer, ()) = tokio::join!(answer, stall);
            if record_answer(&world, &job, &instance.name, answer) || world.is_over() {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        sleep(Duration::from_millis(random.random_range(5..200))).await;
    }
}

/// Records the end of a submission. Returns whether the caller is done with the job.
fn record_answer(
    world: &World,
    job: &Job,
    instance: &str,
    answer: std::result::Result<Result<Response>, impl std::fmt::Display>,
) -> bool {
    let (id, mut ledger) = (job.id, world.ledger.lock().unwrap());
    let (status, end) = match &answer {
        Err(_) => (0, "broken off".to_owned()),
        Ok(Err(error)) if error.downcast_ref::<std::io::Error>().is_some() => {
            (0, "not connected".to_owned())
        }
        Ok(Err(_)) => (0, "connection broken".to_owned()),
        Ok(Ok(answer)) => (answer.status, format!("answered {}", answer.status)),
    };
    ledger.record(format!("{id:016x} {end} at {instance}"));
    *ledger.ends.entry(end).or_default() += 1;
    *ledger.refused.entry(id).or_insert(true) &= status == 503;
    let text = answer.ok().and_then(|answer| answer.ok());
    let text = text.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    if status == 200 && text.is_some_and(|text| text.contains("completed")) {
        ledger.completed.insert(id, job.tasks);
    }
    !matches!(status, 0 | 504)
}

/// Injects one fault after another into processes. Faults overlap.
async fn inject_process_faults(mut random: SmallRng, world: &Arc<World>) -> Result {
    let mut recoveries = JoinSet::new();
    let count = world.slots.len();
    let mut down = HashMap::new();
    while !world.is_over() {
        world
            .wait(Duration::from_millis(random.random_range(200..800)))
            .await;
        let i = random.random_range(0..count);
        down.retain(|_, until| *until > Instant::now());
        let span = Duration::from_millis(random.random_range(3_000..6_000));
        match random.random_range(0..8) {
            0..4 if down.len() < count * 3 / 8 && !down.contains_key(&i) => {
                down.insert(i, Instant::now() + span);
                if random.random_ratio(1, 2) {
                    // What it sends from now on arrives when it has died.
                    let lead = Duration::from_millis(random.random_range(100..900));
                    let late = Duration::from_millis(random.random_range(500..2_500));
                    world.stall(i, lead + late);
                    world.wait(lead).await;
                }
                if random.random_ratio(1, 2) {
                    starve_some(&mut random, world, count / 2, &mut recoveries);
                }
                if random.random_ratio(2, 3) {
                    world.delay_stops(&mut random);
                }
                recoveries.spawn(restart(world.clone(), i, Signal::SIGKILL, span));
            }
            4 => {
                let span = span / 4;
                down.insert(i, Instant::now() + span);
                recoveries.spawn(restart(world.clone(), i, Signal::SIGTERM, span));
            }
            _ => starve_some(&mut random, world, count / 4, &mut recoveries),
        }
    }
    while let Some(recovery) = recoveries.join_next().await {
        recovery??;
    }
    Ok(())
}

/// Starves some instances, each in its own way.
fn starve_some(
    random: &mut SmallRng,
    world: &Arc<World>,
    count: usize,
    recoveries: &mut JoinSet<Result>,
) {
    for _ in 0..count {
        let i = random.random_range(0..world.slots.len());
        let pattern = STARVATION[random.random_range(0..STARVATION.len())];
        let span = Duration::from_millis(random.random_range(3_000..6_000));
        recoveries.spawn(starve(world.clone(), i, pattern, span));
    }
}

/// Ends an instance with a signal and restarts it after `down`.
async fn restart(world: Arc<World>, i: usize, signal: Signal, down: Duration) -> Result {
    let slot = &world.slots[i];
    let instance = slot.current();
    if instance.signal(signal).is_err() {
        // Another fault has ended the instance and will restart it.
        return Ok(());
    }
    world.record(format!("{signal} to {}", instance.name));
    while instance.is_running() {
        sleep(Duration::from_millis(5)).await;
    }
    world.wait(down).await;
    if world.is_over() {
        return Ok(());
    }
    let restarted = instance.restart(program()).await?;
    let mut current = slot.instance.lock().unwrap();
    if Arc::ptr_eq(&current, &instance) {
        slot.log.lock().unwrap().push_str(&instance.log());
        *current = Arc::new(restarted);
        world.record(format!("{} started again", instance.name));
    }
    Ok(())
}

/// Stops and continues an instance by turns, as a machine without enough processor time would.
async fn starve(world: Arc<World>, i: usize, (run, stop): (u64, u64), span: Duration) -> Result {
    let instance = world.slots[i].current();
    world.record(format!(
        "{} runs for {run} of {} ms during {span:?}",
        instance.name,
        run + stop
    ));
    let end = (Instant::now() + span).min(world.end);
    while Instant::now() < end && instance.signal(Signal::SIGSTOP).is_ok() {
        sleep(Duration::from_millis(stop)).await;
        // Another fault may have killed the instance.
        instance.signal(Signal::SIGCONT).ok();
        sleep(Duration::from_millis(run)).await;
    }
    Ok(())
}

/// A fault on the link from one instance to another.
#[derive(Debug, Clone, Copy)]
enum LinkFault {
    /// Messages wait while heartbeats pass.
    Stall,
    /// Messages are delayed.
    Delay(Duration),
    /// Heartbeats are lost while messages pass.
    Silence,
    /// Everything is lost.
    Cut,
}

impl LinkFault {
    fn draw(random: &mut SmallRng) -> Self {
        match random.random_range(0..8) {
            0..4 => Self::Stall,
            4 => Self::Delay(Duration::from_millis(random.random_range(50..400))),
            5 => Self::Silence,
            _ => Self::Cut,
        }
    }

    fn bytes(self) -> Treatment {
        match self {
            Self::Stall => Treatment::Hold,
            Self::Delay(delay) => Treatment::Delay(delay),
            Self::Silence => Treatment::Pass,
            Self::Cut => Treatment::Drop,
        }
    }

    fn heartbeats(self) -> Treatment {
        match self {
            Self::Stall | Self::Delay(_) => Treatment::Pass,
            Self::Silence | Self::Cut => Treatment::Drop,
        }
    }
}

/// Injects one fault after another into links between instances, in one direction or both. Faults overlap; the latest
/// one counts.
async fn inject_peer_faults(mut random: SmallRng, fleet: &Fleet, world: &World) {
    let count = world.slots.len();
    // The fault from one instance to another, and its end.
    let mut faults: HashMap<(usize, usize), (LinkFault, Instant)> = HashMap::new();
    let mut next_fault = Instant::now();
    while !world.is_over() {
        if next_fault <= Instant::now() {
            let fault = LinkFault::draw(&mut random);
            let span = Duration::from_millis(random.random_range(500..4_000));
            let (one, other) = (random.random_range(0..count), random.random_range(0..count));
            let others: Vec<usize> = match random.random_ratio(2, 3) {
                true => (0..count).collect(),
                false => vec![other],
            };
            let is_both_ways = random.random_ratio(1, 3);
            let name = &world.slots[one].current().name;
            world.record(format!(
                "{fault:?} from {name} to {others:?} for {span:?}, both ways: {is_both_ways}"
            ));
            for other in others.into_iter().filter(|other| *other != one) {
                let until = Instant::now() + span;
                faults.insert((one, other), (fault, until));
                if is_both_ways {
                    faults.insert((other, one), (fault, until));
                }
            }
            next_fault = Instant::now() + Duration::from_millis(random.random_range(300..1_200));
        }
        for (one, span) in std::mem::take(&mut *world.stalls.lock().unwrap()) {
            let name = &world.slots[one].current().name;
            world.record(format!("Stall from {name} to all for {span:?}"));
            let stall = (LinkFault::Stall, Instant::now() + span);
            faults.extend((0..count).filter(|i| *i != one).map(|i| ((one, i), stall)));
        }
        faults.retain(|_, (_, until)| *until > Instant::now());
        let current = faults.iter().map(|(link, (fault, _))| (*link, *fault));
        apply_peer_faults(fleet, world, &current.collect());
        sleep(LINK_UPDATE_INTERVAL).await;
    }
    apply_peer_faults(fleet, world, &HashMap::new());
}

/// Sets the treatment of all links between instances. What `one` sends to `other` are messages over its own connections
/// and acknowledgements over those of `other`.
fn apply_peer_faults(fleet: &Fleet, world: &World, faults: &HashMap<(usize, usize), LinkFault>) {
    let ips: Vec<_> = world
        .slots
        .iter()
        .map(|slot| slot.current().ip.parse().unwrap())
        .collect();
    let bytes = |link| faults.get(&link).map_or(Treatment::Pass, |f| f.bytes());
    for (to, proxy) in fleet.proxies.peers.iter().enumerate() {
        for (from, ip) in ips.iter().enumerate() {
            let heartbeats = faults.get(&(from, to));
            let treatment = Faults {
                messages: bytes((from, to)),
                acknowledgements: bytes((to, from)),
                heartbeats: heartbeats.map_or(Treatment::Pass, |f| f.heartbeats()),
            };
            proxy.set_faults(*ip, treatment);
        }
    }
}

/// Injects one fault after another into links to endpoints. Faults overlap.
async fn inject_endpoint_faults(mut random: SmallRng, fleet: &Fleet, world: &World) {
    let modes = [
        Mode::Hold(Direction::Up),
        Mode::Hold(Direction::Down),
        Mode::Delay {
            up: Duration::from_millis(1_500),
            down: Duration::ZERO,
        },
        Mode::Delay {
            up: Duration::from_millis(200),
            down: Duration::from_millis(200),
        },
        Mode::Drop {
            direction: Direction::Up,
            close: false,
        },
        Mode::Drop {
            direction: Direction::Down,
            close: false,
        },
        Mode::DROP_ANSWERS,
    ];
    let links = &fleet.proxies.endpoints;
    let mut ends: HashMap<usize, Instant> = HashMap::new();
    let mut next_fault = Instant::now();
    while !world.is_over() {
        if next_fault <= Instant::now() {
            let i = random.random_range(0..links.len());
            let mode = modes[random.random_range(0..modes.len())];
            let span = Duration::from_millis(random.random_range(200..3_000));
            world.record(format!("{mode:?} at i-{i} for {span:?}"));
            links[i].set_mode(mode);
            ends.insert(i, Instant::now() + span);
            next_fault = Instant::now() + Duration::from_millis(random.random_range(100..400));
        }
        if world.are_stops_due_late() {
            world.record("Stops are held at half of the endpoints".to_owned());
            let first = random.random_range(0..2);
            for i in (first..links.len()).step_by(2) {
                links[i].set_mode(Mode::Hold(Direction::Up));
                ends.insert(i, Instant::now() + Duration::from_millis(1_200));
            }
        }
        ends.retain(|i, end| {
            let is_over = *end <= Instant::now();
            if is_over {
                links[*i].set_mode(Mode::Pass);
            }
            !is_over
        });
        sleep(LINK_UPDATE_INTERVAL).await;
    }
    links.iter().for_each(|link| link.set_mode(Mode::Pass));
}
