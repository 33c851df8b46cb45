//! A randomized soak: real instances as processes on stand-ins of the platform, with faults from outside in series that
//! overlap, and callers that come again after a broken connection.
//!
//! Instances reach endpoints and the store through proxies that delay, reset, swallow one way and silence. Half of the
//! callers keep their connections open until these end, and some go before their answer.
//!
//! A third of the callers hand in jobs that are stored, and ask for them at the end.
//!
//! While it runs it checks what callers and endpoints see: no task runs twice at a time; "completed" means that every task
//! was done; "not run" means that none was; and an instance that was only asked to end cuts nobody off. One seed is one
//! order of faults. `SOAK_SEEDS=FROM-TO cargo test --test soak` plays others than the kept ones.
#![allow(dead_code)] // The other tests use more of the stand-ins.

#[path = "platform/fleet.rs"]
mod fleet;
#[path = "platform/runner.rs"]
mod runner;
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
    time::Duration,
};

use fleet::{
    configure,
    job_body,
    Fleet,
    Node,
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

/// Seeds that are played always. A seed that ever failed stays here, with a line on the cause.
const KEPT: [u64; 2] = [
    1, // An instance whose drain had no time left cut its callers off.
    3, // An instance that was asked to end closed a connection that it had just accepted.
];
const NODES: usize = 4;
const RUNNERS: usize = 6;
const CALLERS: u64 = 6;
/// `SOAK_SIZE=large` plays with so many instances, endpoints and callers.
const LARGE: (usize, usize, u64) = (24, 60, 48);
/// Tells the random numbers of the links from those of the processes.
const LINKS: u64 = 0x5eed;
/// One caller in so many goes before its answer.
const LEAVES: u32 = 12;
const TASKS: u32 = 3;
/// How long faults come.
const SPAN: Duration = Duration::from_secs(8);
/// After which a caller comes again.
const RETRY: Duration = Duration::from_millis(1_300);
/// How long after a kill or a pause broken connections are its effect.
const SHADOW: Duration = Duration::from_secs(8);

/// What the soak knows of an instance.
struct Slot {
    node: Mutex<Arc<Node>>,
    /// When it was killed or paused last.
    hurt: Mutex<Option<Instant>>,
    /// What its former processes logged.
    log: Mutex<String>,
}

impl Slot {
    /// Tells whether a connection that breaks may be the effect of a kill or a pause.
    fn harmed(&self) -> bool {
        let hurt = *self.hurt.lock().unwrap();
        hurt.is_some_and(|at| at.elapsed() < SHADOW)
    }
}

#[derive(Default)]
struct Ledger {
    completed: HashSet<u64>,
    /// Jobs of which every answer said that nothing was run.
    refused: HashMap<u64, bool>,
    faults: Vec<String>,
    /// Jobs whose kept connection ended without an answer, with the instance and the time: no harm if nothing of it had
    /// begun by then.
    ended: Vec<(u64, String, Instant)>,
    answered: usize,
    /// Stored jobs that were accepted.
    accepted: HashSet<u64>,
}

type Slots = Arc<Vec<Slot>>;

fn size() -> (usize, usize, u64) {
    match std::env::var("SOAK_SIZE").as_deref() {
        Ok("large") => LARGE,
        _ => (NODES, RUNNERS, CALLERS),
    }
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return KEPT.to_vec();
    };
    let (from, to) = range.split_once('-').expect("SOAK_SEEDS is FROM-TO");
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() -> Result {
    let mut faults = Vec::new();
    for seed in seeds() {
        println!("seed {seed}");
        let found = soak(seed).await?;
        let named = found
            .into_iter()
            .map(|fault| format!("seed {seed}: {fault}"));
        faults.extend(named);
    }
    assert!(faults.is_empty(), "{faults:#?}");
    Ok(())
}

/// Plays one order of faults; returns what was wrong.
async fn soak(seed: u64) -> Result<Vec<String>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let takes = Duration::from_millis([60, 200, 700][random.random_range(0..3)]);
    let (instances, endpoints, callers) = size();
    let mut fleet = Fleet::start_behind_proxies(program(), instances, endpoints, takes).await?;
    let nodes = std::mem::take(&mut fleet.nodes);
    let slot = |node| Slot {
        node: Mutex::new(Arc::new(node)),
        hurt: Mutex::default(),
        log: Mutex::default(),
    };
    let slots: Slots = Arc::new(nodes.into_iter().map(slot).collect());
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let end = Instant::now() + SPAN;
    let callers: Vec<_> = (0..callers)
        .map(|caller| {
            let random = SmallRng::seed_from_u64(seed * 1_000 + caller);
            let call = call(caller, random, slots.clone(), ledger.clone(), takes, end);
            tokio::spawn(call)
        })
        .collect();
    let links = SmallRng::seed_from_u64(seed ^ LINKS);
    let (hurt, ()) = tokio::join!(
        harm(&mut random, &fleet, &slots, end),
        harm_links(links, &fleet, end),
    );
    hurt?;
    for caller in callers {
        caller.await?;
    }
    ask_for_accepted(&slots, &ledger).await?;
    // Callers that broke off may have left runs, which are stopped or lapse.
    sleep(Duration::from_millis(1_500)).await;
    fleet.assert_no_overlapping_runs();
    let faults = settle(&fleet, &ledger);
    if !faults.is_empty() {
        keep_logs(seed, &slots)?;
    }
    Ok(faults)
}

/// Writes the logs of all instances to files that outlive the test.
fn keep_logs(seed: u64, slots: &Slots) -> Result {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    std::fs::create_dir_all(&folder)?;
    for slot in slots.iter() {
        let node = slot.node.lock().unwrap();
        let log = slot.log.lock().unwrap().clone() + &node.log();
        std::fs::write(folder.join(&node.name), log)?;
    }
    println!("  logs are in {}", folder.display());
    Ok(())
}

/// Asks for every stored job that was accepted until it is complete, at all instances in turn.
async fn ask_for_accepted(slots: &Slots, ledger: &Mutex<Ledger>) -> Result {
    let accepted: Vec<u64> = ledger.lock().unwrap().accepted.iter().copied().collect();
    for id in accepted {
        let mut turn = 0;
        let complete = wait_until("a stored job is complete", || {
            turn += 1;
            let node = slots[turn % slots.len()].node.lock().unwrap().clone();
            async move {
                let answer = node.get(&format!("{PREFIX}{id:016x}")).await.ok()?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                text.contains("completed").then_some(())
            }
        });
        let mut ledger = match complete.await {
            Ok(()) => ledger.lock().unwrap(),
            Err(error) => {
                let mut ledger = ledger.lock().unwrap();
                ledger.faults.push(format!("{id:016x}: {error}"));
                ledger
            }
        };
        ledger.completed.insert(id);
    }
    Ok(())
}

/// Checks answers against what endpoints ran.
fn settle(fleet: &Fleet, ledger: &Mutex<Ledger>) -> Vec<String> {
    let mut ledger = ledger.lock().unwrap();
    let mut done: HashMap<String, HashSet<String>> = HashMap::new();
    let mut begun: HashMap<String, Instant> = HashMap::new();
    for past in fleet.runners.iter().flat_map(|runner| runner.history()) {
        let job = past.task.split('.').next().unwrap_or_default().to_owned();
        let first = begun.entry(job.clone()).or_insert(past.started);
        *first = past.started.min(*first);
        if past.outcome == "done" {
            done.entry(job).or_default().insert(past.task);
        }
    }
    let mut faults = std::mem::take(&mut ledger.faults);
    for id in &ledger.completed {
        let ended = done.get(&format!("{id:016x}")).map_or(0, HashSet::len);
        if ended < TASKS as usize {
            faults.push(format!("{id:016x} was completed with {ended} tasks done"));
        }
    }
    for (id, refused) in &ledger.refused {
        if *refused && begun.contains_key(&format!("{id:016x}")) {
            faults.push(format!("{id:016x} was told not run, and ran"));
        }
    }
    for (id, name, at) in &ledger.ended {
        let first = begun.get(&format!("{id:016x}"));
        if first.is_some_and(|first| first < at) {
            faults.push(format!(
                "{id:016x} was cut off by {name} after it had begun"
            ));
        }
    }
    println!(
        "  {} answers, {} complete",
        ledger.answered,
        ledger.completed.len()
    );
    if ledger.completed.is_empty() {
        faults.push("nothing was complete".to_owned());
    }
    faults
}

/// Hands jobs in one after the other, and comes again elsewhere after a broken connection or a 504.
async fn call(
    caller: u64,
    mut random: SmallRng,
    slots: Slots,
    ledger: Arc<Mutex<Ledger>>,
    takes: Duration,
    end: Instant,
) {
    let mut job = 0;
    let keeps = caller % 2 == 1;
    let stores = caller % 3 == 2;
    let mut kept: HashMap<String, Client> = HashMap::new();
    while Instant::now() < end {
        job += 1;
        let id = caller << 32 | job;
        for attempt in 0..3 {
            let slot = &slots[random.random_range(0..slots.len())];
            let node = slot.node.lock().unwrap().clone();
            let leaves = random.random_ratio(1, LEAVES);
            let patience = match leaves {
                true => Duration::from_millis(random.random_range(1..200)),
                false => Duration::from_secs(60),
            };
            let estimate = takes.as_millis() as u64;
            let body = job_body(TASKS, estimate, !stores);
            let reused = kept.contains_key(&node.ip);
            let submit = async {
                let mut client = match kept.remove(&node.ip) {
                    Some(client) => client,
                    None => Client::connect(node.caller_address()).await?,
                };
                let answer = node.submit_over(&mut client, id, &body).await?;
                if keeps && answer.header("connection") != Some("close") {
                    kept.insert(node.ip.clone(), client);
                }
                Ok(answer)
            };
            let Ok(answer) = timeout(patience, submit).await else {
                // It has gone, and doesn't know what became of its job.
                ledger.lock().unwrap().refused.insert(id, false);
                break;
            };
            if reused && answer.is_err() {
                let mut ledger = ledger.lock().unwrap();
                ledger.refused.insert(id, false);
                // An earlier attempt may have begun elsewhere.
                if attempt == 0 && !slot.harmed() {
                    ledger.ended.push((id, node.name.clone(), Instant::now()));
                }
            } else if note(&ledger, id, slot, &node.name, &answer) {
                break;
            }
            sleep(RETRY).await;
        }
        sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

/// Takes note of an answer or its absence; returns whether the caller is through with the job.
fn note(
    ledger: &Mutex<Ledger>,
    id: u64,
    slot: &Slot,
    name: &str,
    answer: &Result<Response>,
) -> bool {
    let mut ledger = ledger.lock().unwrap();
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    *ledger.refused.entry(id).or_insert(true) &= status == 503;
    let hurt = slot.harmed();
    match answer {
        Ok(answer) => {
            ledger.answered += 1;
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
            if !hurt && !refused_connection(error.as_ref()) {
                let fault = format!("{id:016x} was cut off by {name}: {error}");
                ledger.faults.push(fault);
            }
            false
        }
    }
}

/// Tells whether nothing was sent: an instance that has ended refuses connections.
fn refused_connection(error: &(dyn std::error::Error + 'static)) -> bool {
    error.downcast_ref::<std::io::Error>().is_some()
}

/// Does one thing after the other to the fleet, without waiting for the last to heal.
async fn harm(random: &mut SmallRng, fleet: &Fleet, slots: &Slots, end: Instant) -> Result {
    let mut version = 7;
    let mut healing = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(200..900))).await;
        let i = random.random_range(0..slots.len());
        let down = Duration::from_millis(random.random_range(200..1_500));
        let slots = slots.clone();
        match random.random_range(0..9) {
            0 | 1 => healing.push(tokio::spawn(restart(slots, i, Signal::SIGKILL, down))),
            2 => healing.push(tokio::spawn(restart(slots, i, Signal::SIGTERM, down))),
            3 | 4 => healing.push(tokio::spawn(pause(slots, i, down * 2))),
            5 => {
                fleet
                    .store
                    .set_behaviour([Behaviour::Refuse, Behaviour::Ignore][i % 2]);
                let store = fleet.store.clone();
                healing.push(tokio::spawn(async move {
                    sleep(down).await;
                    store.set_behaviour(Behaviour::Serve);
                    Ok(())
                }));
            }
            6 => fleet.store.compact(),
            7 => fleet.runners[random.random_range(0..fleet.runners.len())].drop_responses(3),
            _ => {
                version += 3;
                configure(&fleet.store, version, 4_000);
            }
        }
    }
    for heal in healing {
        heal.await??;
    }
    fleet.store.set_behaviour(Behaviour::Serve);
    Ok(())
}

/// Harms the links to endpoints and to the store, one after the other and overlapping.
async fn harm_links(mut random: SmallRng, fleet: &Fleet, end: Instant) {
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
    let mut healing = FuturesUnordered::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(150..700));
        let healed = async { while healing.next().await.is_some() {} };
        tokio::join!(sleep(pause), timeout(pause, healed)).1.ok();
        let links = match random.random_range(0..3) {
            0 => &proxies.stores,
            _ => &proxies.endpoints,
        };
        let link = &links[random.random_range(0..links.len())];
        if random.random_ratio(1, 5) {
            link.blackhole_open();
            continue;
        }
        link.set_mode(modes[random.random_range(0..modes.len())]);
        let span = Duration::from_millis(random.random_range(100..2_500));
        healing.push(async move {
            sleep(span).await;
            link.set_mode(Mode::Pass);
        });
    }
    while healing.next().await.is_some() {}
}

/// Ends an instance by a signal and starts it again.
async fn restart(slots: Slots, i: usize, signal: Signal, down: Duration) -> Result {
    let slot = &slots[i];
    let node = slot.node.lock().unwrap().clone();
    if signal == Signal::SIGKILL {
        *slot.hurt.lock().unwrap() = Some(Instant::now());
    }
    if node.signal(signal).is_err() {
        // It has been ended by another fault, which starts it again.
        return Ok(());
    }
    while node.is_running() {
        sleep(Duration::from_millis(20)).await;
    }
    slot.log.lock().unwrap().push_str(&node.log());
    sleep(down).await;
    let again = node.restart(program()).await?;
    let mut current = slot.node.lock().unwrap();
    if Arc::ptr_eq(&current, &node) {
        *current = Arc::new(again);
    }
    Ok(())
}

/// Pauses an instance.
async fn pause(slots: Slots, i: usize, span: Duration) -> Result {
    let slot = &slots[i];
    let node = slot.node.lock().unwrap().clone();
    *slot.hurt.lock().unwrap() = Some(Instant::now());
    if node.signal(Signal::SIGSTOP).is_ok() {
        sleep(span).await;
        *slot.hurt.lock().unwrap() = Some(Instant::now());
        // It may have been killed meanwhile.
        node.signal(Signal::SIGCONT).ok();
    }
    Ok(())
}
