//! A randomized soak test: real instances as processes on simulated platform components, overlapping faults, and callers
//! that retry after a broken connection.
//!
//! Instances reach endpoints and the store through proxies that delay, drop one direction or stop forwarding. Half of the
//! callers keep their connections open, and some disconnect before their answer. A third of the callers submit stored jobs,
//! which are queried at the end.
//!
//! The test checks that no task runs twice at a time, that no task of a stored job starts long after its end was forgotten, that
//! "completed" means that every task was done, that "not run" means that no task started, and that an instance cuts no caller
//! off without a kill or a pause. Each seed gives one sequence of faults. `SOAK_SEEDS=FROM-TO cargo test --test soak` runs other seeds than the default ones.
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
    path::Path,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use fleet::{
    job_body,
    write_configuration,
    Fleet,
    Instance,
    PREFIX, //
};
use futures::stream::{
    FuturesUnordered,
    StreamExt as _, //
};
use nix::sys::signal::Signal;
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};
use store::Behaviour;
use support::{
    client::{
        Client,
        Response, //
    },
    proxy::{
        Direction,
        Mode, //
    },
    wait_until,
    Result, //
};
use tokio::time::{
    sleep,
    timeout,
    Instant, //
};

/// How long after the end of a run was forgotten an order to start its task may still be on its way.
const END_SPREAD: Duration = Duration::from_secs(1);

/// Seeds that run by default, with the failure that each guards against. A seed that finds a fault is added.
const DEFAULT_SEEDS: [u64; 2] = [
    1, // An instance without time left to drain cuts its callers off.
    3, // A draining instance closes a connection that it has just accepted.
];
const INSTANCE_COUNT: usize = 4;
const ENDPOINT_COUNT: usize = 6;
const CALLER_COUNT: u64 = 6;
/// The numbers of instances, endpoints and callers with `SOAK_SIZE=large`.
const LARGE_SIZE: (usize, usize, u64) = (24, 60, 48);
/// XORed with a seed to seed the link faults, which are independent of the process faults.
const LINK_SEED_MASK: u64 = 0x5eed;
/// One submission in this many is aborted before its answer.
const ABORT_RATIO: u32 = 12;
/// Tasks in each job.
const TASK_COUNT: u32 = 3;
/// The time for which faults are injected.
const FAULT_SPAN: Duration = Duration::from_secs(8);
/// The delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// The time after a kill or a pause in which a broken connection is attributed to it.
const DISRUPTION_SPAN: Duration = Duration::from_secs(8);

/// The state of an instance across its processes.
struct Slot {
    instance: Mutex<Arc<Instance>>,
    /// The time of the last kill, or of the start or end of the last pause.
    disrupted_at: Mutex<Option<Instant>>,
    /// The logs of its former processes.
    log: Mutex<String>,
}

impl Slot {
    /// Returns whether a broken connection may be the effect of a kill or a pause.
    fn is_disrupted(&self) -> bool {
        let disrupted_at = *self.disrupted_at.lock().unwrap();
        disrupted_at.is_some_and(|at| at.elapsed() < DISRUPTION_SPAN)
    }
}

/// The answers that callers got, and violations of the guarantees.
#[derive(Default)]
struct Ledger {
    completed: HashSet<u64>,
    /// Whether every submission of a job was refused, by job.
    refused: HashMap<u64, bool>,
    violations: Vec<String>,
    /// Jobs whose reused connection closed without an answer, with the instance and the time. That is allowed if no task
    /// had started by then.
    closed: Vec<(u64, String, Instant)>,
    answer_count: usize,
    /// Stored jobs that were accepted.
    accepted: HashSet<u64>,
}

type Slots = Arc<Vec<Slot>>;

/// Returns the numbers of instances, endpoints and callers.
fn fleet_size() -> (usize, usize, u64) {
    match std::env::var("SOAK_SIZE").as_deref() {
        Ok("large") => LARGE_SIZE,
        _ => (INSTANCE_COUNT, ENDPOINT_COUNT, CALLER_COUNT),
    }
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Returns the seeds to run.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = range
        .split_once('-')
        .expect("SOAK_SEEDS has the form FROM-TO");
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults() -> Result {
    let mut violations = Vec::new();
    for seed in seeds() {
        println!("seed {seed}");
        let found = run_soak(seed).await?;
        let with_seed = found
            .into_iter()
            .map(|violation| format!("seed {seed}: {violation}"));
        violations.extend(with_seed);
    }
    assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

/// Runs a fleet with the faults of one seed, and returns the violations.
async fn run_soak(seed: u64) -> Result<Vec<String>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let task_duration = Duration::from_millis([60, 200, 700][random.random_range(0..3)]);
    let (instances, endpoints, callers) = fleet_size();
    let mut fleet =
        Fleet::start_behind_proxies(program(), instances, endpoints, task_duration).await?;
    let instances = std::mem::take(&mut fleet.instances);
    let slot = |instance| Slot {
        instance: Mutex::new(Arc::new(instance)),
        disrupted_at: Mutex::default(),
        log: Mutex::default(),
    };
    let slots: Slots = Arc::new(instances.into_iter().map(slot).collect());
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let end = Instant::now() + FAULT_SPAN;
    let callers: Vec<_> = (0..callers)
        .map(|caller| {
            let random = SmallRng::seed_from_u64(seed * 1_000 + caller);
            let call = submit_jobs(
                caller,
                random,
                slots.clone(),
                ledger.clone(),
                task_duration,
                end,
            );
            tokio::spawn(call)
        })
        .collect();
    let link_random = SmallRng::seed_from_u64(seed ^ LINK_SEED_MASK);
    let (result, ()) = tokio::join!(
        inject_faults(&mut random, &fleet, &slots, end),
        inject_link_faults(link_random, &fleet, end),
    );
    result?;
    for caller in callers {
        caller.await?;
    }
    wait_for_stored_jobs(&slots, &ledger).await?;
    // Tasks of aborted submissions may still run; they are stopped or their lease expires.
    sleep(Duration::from_millis(1_500)).await;
    fleet.assert_no_overlapping_runs();
    let violations = find_violations(&fleet, &ledger);
    if !violations.is_empty() {
        write_logs(seed, &slots)?;
    }
    Ok(violations)
}

/// Writes the logs of all instances to files that remain after the test.
fn write_logs(seed: u64, slots: &Slots) -> Result {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    std::fs::create_dir_all(&folder)?;
    for slot in slots.iter() {
        let instance = slot.instance.lock().unwrap();
        let log = slot.log.lock().unwrap().clone() + &instance.log();
        std::fs::write(folder.join(&instance.name), log)?;
    }
    println!("  logs are in {}", folder.display());
    Ok(())
}

/// Queries every accepted stored job, at all instances in turn, until it is complete.
async fn wait_for_stored_jobs(slots: &Slots, ledger: &Mutex<Ledger>) -> Result {
    let accepted: Vec<u64> = ledger.lock().unwrap().accepted.iter().copied().collect();
    for id in accepted {
        let mut turn = 0;
        let complete = wait_until("a stored job is complete", || {
            turn += 1;
            let instance = slots[turn % slots.len()].instance.lock().unwrap().clone();
            async move {
                let answer = instance.get(&format!("{PREFIX}{id:016x}")).await.ok()?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                text.contains("completed").then_some(())
            }
        });
        let mut ledger = match complete.await {
            Ok(()) => ledger.lock().unwrap(),
            Err(error) => {
                let mut ledger = ledger.lock().unwrap();
                ledger.violations.push(format!("{id:016x}: {error}"));
                ledger
            }
        };
        ledger.completed.insert(id);
    }
    Ok(())
}

/// Returns the violations, among them answers that contradict what endpoints ran.
fn find_violations(fleet: &Fleet, ledger: &Mutex<Ledger>) -> Vec<String> {
    let mut ledger = ledger.lock().unwrap();
    let mut done_tasks: HashMap<String, HashSet<String>> = HashMap::new();
    let mut started_at: HashMap<String, Instant> = HashMap::new();
    for execution in fleet
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.history())
    {
        let job = execution
            .task
            .split('.')
            .next()
            .unwrap_or_default()
            .to_owned();
        let first = started_at
            .entry(job.clone())
            .or_insert(execution.started_at);
        *first = execution.started_at.min(*first);
        if execution.outcome == "done" {
            done_tasks.entry(job).or_default().insert(execution.task);
        }
    }
    let mut violations = std::mem::take(&mut ledger.violations);
    violations.extend(find_late_starts(fleet, &ledger));
    for id in &ledger.completed {
        let done_count = done_tasks
            .get(&format!("{id:016x}"))
            .map_or(0, HashSet::len);
        if done_count < TASK_COUNT as usize {
            violations.push(format!(
                "{id:016x} was answered as completed, but only {done_count} of {TASK_COUNT} tasks were done"
            ));
        }
    }
    for (id, refused) in &ledger.refused {
        if *refused && started_at.contains_key(&format!("{id:016x}")) {
            violations.push(format!(
                "{id:016x} was answered as not run, but a task had started"
            ));
        }
    }
    for (id, name, at) in &ledger.closed {
        let first = started_at.get(&format!("{id:016x}"));
        if first.is_some_and(|first| first < at) {
            violations.push(format!(
                "{id:016x} had started when {name} closed its connection without an answer"
            ));
        }
    }
    println!(
        "  {} answers, {} complete",
        ledger.answer_count,
        ledger.completed.len()
    );
    if ledger.completed.is_empty() {
        violations.push("no job was completed".to_owned());
    }
    violations
}

/// Returns the starts of tasks of stored jobs long after the end of a run that is done was forgotten.
fn find_late_starts(fleet: &Fleet, ledger: &Ledger) -> Vec<String> {
    let mut starts: HashMap<String, Vec<Instant>> = HashMap::new();
    let mut forgotten: Vec<(String, Instant)> = Vec::new();
    for execution in fleet.endpoints.iter().flat_map(|e| e.history()) {
        if let Some(at) = execution
            .forgotten_at
            .filter(|_| execution.outcome == "done")
        {
            forgotten.push((execution.task.clone(), at));
        }
        starts
            .entry(execution.task)
            .or_default()
            .push(execution.started_at);
    }
    let is_stored = |task: &String| {
        let job = task.split('.').next().unwrap_or_default();
        let id = u64::from_str_radix(job, 16);
        id.is_ok_and(|id| ledger.accepted.contains(&id))
    };
    let mut late = Vec::new();
    for (task, at) in forgotten.into_iter().filter(|(task, _)| is_stored(task)) {
        for start in starts.get(&task).into_iter().flatten() {
            let after = start.saturating_duration_since(at);
            if after > END_SPREAD {
                late.push(format!(
                    "{task} started {after:?} after its end was forgotten"
                ));
            }
        }
    }
    late
}

/// Submits one job after another, and retries at a random instance after a broken connection or a 504.
async fn submit_jobs(
    caller: u64,
    mut random: SmallRng,
    slots: Slots,
    ledger: Arc<Mutex<Ledger>>,
    task_duration: Duration,
    end: Instant,
) {
    let mut job = 0;
    let is_keep_alive = caller % 2 == 1;
    let is_stored = caller % 3 == 2;
    let mut connections: HashMap<String, Client> = HashMap::new();
    while Instant::now() < end {
        job += 1;
        let id = caller << 32 | job;
        for attempt in 0..3 {
            let slot = &slots[random.random_range(0..slots.len())];
            let instance = slot.instance.lock().unwrap().clone();
            let is_aborted = random.random_ratio(1, ABORT_RATIO);
            let wait = match is_aborted {
                true => Duration::from_millis(random.random_range(1..200)),
                false => Duration::from_secs(60),
            };
            let estimate = task_duration.as_millis() as u64;
            let body = job_body(TASK_COUNT, estimate, !is_stored);
            let is_reused = connections.contains_key(&instance.ip);
            let submit = async {
                let mut client = match connections.remove(&instance.ip) {
                    Some(client) => client,
                    None => Client::connect(instance.caller_address()).await?,
                };
                let answer = instance.submit_over(&mut client, id, &body).await?;
                if is_keep_alive && answer.header("connection") != Some("close") {
                    connections.insert(instance.ip.clone(), client);
                }
                Ok(answer)
            };
            let Ok(answer) = timeout(wait, submit).await else {
                // The submission was aborted, so the job may have run.
                ledger.lock().unwrap().refused.insert(id, false);
                break;
            };
            if is_reused && answer.is_err() {
                let mut ledger = ledger.lock().unwrap();
                ledger.refused.insert(id, false);
                // After a retry, an earlier submission may have started tasks.
                if attempt == 0 && !slot.is_disrupted() {
                    ledger
                        .closed
                        .push((id, instance.name.clone(), Instant::now()));
                }
            } else if record_answer(&ledger, id, slot, &instance.name, &answer) {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

/// Records an answer or a failed submission. Returns whether the caller is done with the job.
fn record_answer(
    ledger: &Mutex<Ledger>,
    id: u64,
    slot: &Slot,
    name: &str,
    answer: &Result<Response>,
) -> bool {
    let mut ledger = ledger.lock().unwrap();
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    *ledger.refused.entry(id).or_insert(true) &= status == 503;
    let is_disrupted = slot.is_disrupted();
    match answer {
        Ok(answer) => {
            ledger.answer_count += 1;
            let text = String::from_utf8_lossy(&answer.body);
            if status == 200 && text.contains("queued") {
                ledger.accepted.insert(id);
            }
            if status == 200 && text.contains("completed") {
                ledger.completed.insert(id);
            }
            status != 504
        }
        Err(error) => {
            if !is_disrupted && !is_connection_error(error.as_ref()) {
                let violation = format!("{id:016x} got no answer from {name}: {error}");
                ledger.violations.push(violation);
            }
            false
        }
    }
}

/// Returns whether connecting failed, so that nothing was sent: an instance that has ended refuses connections.
fn is_connection_error(error: &(dyn std::error::Error + 'static)) -> bool {
    error.downcast_ref::<std::io::Error>().is_some()
}

/// Injects one fault after another into processes and the store, without waiting for the previous one to end.
async fn inject_faults(
    random: &mut SmallRng,
    fleet: &Fleet,
    slots: &Slots,
    end: Instant,
) -> Result {
    let mut version = 7;
    let mut recoveries = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(200..900))).await;
        let i = random.random_range(0..slots.len());
        let down = Duration::from_millis(random.random_range(200..1_500));
        let slots = slots.clone();
        match random.random_range(0..9) {
            0 | 1 => recoveries.push(tokio::spawn(restart(slots, i, Signal::SIGKILL, down))),
            2 => recoveries.push(tokio::spawn(restart(slots, i, Signal::SIGTERM, down))),
            3 | 4 => recoveries.push(tokio::spawn(pause(slots, i, down * 2))),
            5 => {
                fleet
                    .store
                    .set_behaviour([Behaviour::Refuse, Behaviour::Ignore][i % 2]);
                let store = fleet.store.clone();
                recoveries.push(tokio::spawn(async move {
                    sleep(down).await;
                    store.set_behaviour(Behaviour::Serve);
                    Ok(())
                }));
            }
            6 => fleet.store.compact(),
            7 => fleet.endpoints[random.random_range(0..fleet.endpoints.len())].drop_responses(3),
            _ => {
                version += 3;
                write_configuration(&fleet.store, version, 4_000);
            }
        }
    }
    for recovery in recoveries {
        recovery.await??;
    }
    fleet.store.set_behaviour(Behaviour::Serve);
    Ok(())
}

/// Injects one fault after another into links to endpoints and to the store. Faults may overlap.
async fn inject_link_faults(mut random: SmallRng, fleet: &Fleet, end: Instant) {
    let proxies = &fleet.proxies;
    let modes = [
        Mode::Delay {
            up: Duration::from_millis(1_500),
            down: Duration::ZERO,
        },
        Mode::Delay {
            up: Duration::from_millis(40),
            down: Duration::from_millis(40),
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
    let mut recoveries = FuturesUnordered::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(150..700));
        let recover = async { while recoveries.next().await.is_some() {} };
        tokio::join!(sleep(pause), timeout(pause, recover)).1.ok();
        let links = match random.random_range(0..3) {
            0 => &proxies.stores,
            _ => &proxies.endpoints,
        };
        let link = &links[random.random_range(0..links.len())];
        if random.random_ratio(1, 5) {
            link.blackhole_open_connections();
            continue;
        }
        link.set_mode(modes[random.random_range(0..modes.len())]);
        let span = Duration::from_millis(random.random_range(100..2_500));
        recoveries.push(async move {
            sleep(span).await;
            link.set_mode(Mode::Pass);
        });
    }
    while recoveries.next().await.is_some() {}
}

/// Ends an instance with a signal and restarts it after `down`.
async fn restart(slots: Slots, i: usize, signal: Signal, down: Duration) -> Result {
    let slot = &slots[i];
    let instance = slot.instance.lock().unwrap().clone();
    if signal == Signal::SIGKILL {
        *slot.disrupted_at.lock().unwrap() = Some(Instant::now());
    }
    if instance.signal(signal).is_err() {
        // Another fault has ended the instance and will restart it.
        return Ok(());
    }
    while instance.is_running() {
        sleep(Duration::from_millis(20)).await;
    }
    slot.log.lock().unwrap().push_str(&instance.log());
    sleep(down).await;
    let restarted = instance.restart(program()).await?;
    let mut current = slot.instance.lock().unwrap();
    if Arc::ptr_eq(&current, &instance) {
        *current = Arc::new(restarted);
    }
    Ok(())
}

/// Pauses an instance for a span.
async fn pause(slots: Slots, i: usize, span: Duration) -> Result {
    let slot = &slots[i];
    let instance = slot.instance.lock().unwrap().clone();
    *slot.disrupted_at.lock().unwrap() = Some(Instant::now());
    if instance.signal(Signal::SIGSTOP).is_ok() {
        sleep(span).await;
        *slot.disrupted_at.lock().unwrap() = Some(Instant::now());
        // Another fault may have killed the instance.
        instance.signal(Signal::SIGCONT).ok();
    }
    Ok(())
}
