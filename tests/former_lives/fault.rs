//! Faults of endpoints and instances, in series that overlap.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use nix::sys::signal::Signal;
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom as _,
    Rng as _,
    SeedableRng as _, //
};
use tokio::{
    task::JoinSet,
    time::{
        sleep,
        timeout,
        Instant, //
    }, //
};

use super::{
    endpoint::{
        Holding,
        Reach, //
    },
    support::Result,
    world::World, //
};

/// The faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Each endpoint crashes once at most, may be cut off after its return, and holds calls only while it can't be reached.
    SingleRestarts,
    /// Endpoints crash again while calls to earlier lives are held, also calls that they had got while they were up, and instances end.
    Everything,
}

/// How long calls are held, in milliseconds.
const HELD_MS: std::ops::Range<u64> = 500..6_000;
/// The time that an instance gets to stop gracefully.
const GRACE: Duration = Duration::from_secs(6);
/// The least downtime after which the row of an endpoint is removed.
const UNLISTED_DOWNTIME: Duration = Duration::from_millis(3_000);

fn random_millis(random: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Makes endpoints hold shares of the calls to them, which differ by seed.
pub(crate) fn hold_calls(random: &mut SmallRng, world: &World) {
    let while_up: &[u32] = match world.trouble {
        Trouble::SingleRestarts => &[0],
        Trouble::Everything => &[0, 2, 5, 20, 30],
    };
    let while_unreachable = match world.trouble {
        Trouble::SingleRestarts => [60, 80, 100],
        Trouble::Everything => [30, 60, 100],
    };
    let shares = (
        while_up[random.random_range(0..while_up.len())],
        while_unreachable[random.random_range(0..while_unreachable.len())],
    );
    world.record(format!("calls held, in percent: {shares:?}"));
    let delay = Duration::from_millis(HELD_MS.start)..Duration::from_millis(HELD_MS.end);
    for endpoint in &world.fleet.endpoints {
        let random = SmallRng::seed_from_u64(random.random());
        let holding = Holding::random(shares, delay.clone(), random);
        endpoint.set_holding(Some(holding));
    }
}

/// A restart of endpoints, and what follows it.
#[derive(Debug, Clone, Copy)]
struct Restart {
    downtime: Duration,
    /// How long after the return the new start time is written to the row.
    row_delay: Duration,
    /// How long after the return the endpoints are cut off, and for how long.
    cut: Option<(Duration, Duration)>,
    /// The time until the next restart.
    pause: Duration,
}

impl Restart {
    fn draw(trouble: Trouble, random: &mut SmallRng) -> Self {
        let is_long = trouble == Trouble::Everything && random.random_ratio(1, 10);
        let downtime = match is_long {
            true => random_millis(random, 4_000..7_000),
            false => random_millis(random, 100..1_500),
        };
        let is_cut = random.random_ratio(2, 3);
        let cut = is_cut.then(|| {
            let after = match random.random_ratio(1, 3) {
                true => Duration::ZERO,
                false => random_millis(random, 1..800),
            };
            (after, random_millis(random, 300..3_500))
        });
        Self {
            downtime,
            row_delay: random_millis(random, 0..1_500),
            cut,
            pause: random_millis(random, 0..2_500),
        }
    }
}

/// Starts one series of restarts after another, each for one endpoint, a rack, or a data centre.
pub(crate) async fn inject_into_endpoints(mut random: SmallRng, world: &Arc<World>) {
    let mut series = JoinSet::new();
    // Tasks are running when the first endpoints crash.
    world.wait(Duration::from_millis(1_000)).await;
    while !world.is_over() {
        let members = choose_members(&mut random, world);
        let count = match world.trouble {
            Trouble::SingleRestarts => 1,
            Trouble::Everything => [1, 1, 2, 3].choose(&mut random).copied().unwrap_or(1),
        };
        let draw = |_| Restart::draw(world.trouble, &mut random);
        let restarts: Vec<Restart> = (0..count).map(draw).collect();
        if !members.is_empty() {
            series.spawn(run_series(world.clone(), members, restarts));
        }
        world.wait(random_millis(&mut random, 200..900)).await;
    }
    while series.join_next().await.is_some() {}
    for endpoint in &world.fleet.endpoints {
        endpoint.set_holding(None);
        endpoint.set_cut(false);
    }
}

/// Chooses endpoints without a series, and marks them.
fn choose_members(random: &mut SmallRng, world: &World) -> Vec<usize> {
    let count = world.fleet.endpoints.len();
    let first = random.random_range(0..count);
    let kind = match world.trouble {
        // Many endpoints at once, as each one gets few starts before its owner finds it silent.
        Trouble::SingleRestarts => 1,
        Trouble::Everything => random.random_range(0..8),
    };
    let is_member: Box<dyn Fn(&usize) -> bool> = match kind {
        // Endpoints alternate between the two data centres.
        0 => Box::new(move |i| i % 2 == first % 2),
        1..4 => Box::new(move |i| i % 2 == first % 2 && i.abs_diff(first) < count / 4),
        _ => Box::new(move |i| *i == first),
    };
    let mut troubled = world.troubled.lock().unwrap();
    let free = (0..count).filter(|i| is_member(i) && !troubled.contains(i));
    let members: Vec<usize> = free.collect();
    troubled.extend(&members);
    members
}

/// Restarts endpoints again and again.
async fn run_series(world: Arc<World>, members: Vec<usize>, restarts: Vec<Restart>) {
    let endpoints = || members.iter().map(|i| &world.fleet.endpoints[*i]);
    for restart in restarts {
        if world.is_over() {
            break;
        }
        world.record(format!("{restart:?} of {members:?}"));
        endpoints().for_each(|endpoint| endpoint.crash());
        if restart.downtime >= UNLISTED_DOWNTIME {
            endpoints().for_each(|endpoint| world.fleet.store.remove("servers", &endpoint.id));
        }
        world.wait(restart.downtime).await;
        let is_cut_at_once = restart.cut.is_some_and(|(after, _)| after.is_zero());
        let reach = match is_cut_at_once {
            true => Reach::Cut,
            false => Reach::Up,
        };
        endpoints().for_each(|endpoint| endpoint.start_again(reach));
        world.record(format!("{members:?} are back, {reach:?}"));
        tokio::join!(write_rows(&world, &members, restart.row_delay), async {
            if let Some((after, span)) = restart.cut {
                world.wait(after).await;
                endpoints().for_each(|endpoint| endpoint.set_cut(true));
                world.wait(span).await;
                endpoints().for_each(|endpoint| endpoint.set_cut(false));
                world.record(format!("{members:?} are no longer cut off"));
            }
        });
        world.wait(restart.pause).await;
    }
    if world.trouble == Trouble::Everything {
        let mut troubled = world.troubled.lock().unwrap();
        troubled.retain(|i| !members.contains(i));
    }
}

/// Writes the rows of restarted endpoints after a delay.
async fn write_rows(world: &World, members: &[usize], delay: Duration) {
    world.wait(delay).await;
    for i in members {
        world.fleet.endpoints[*i].register(&world.fleet.store);
    }
}

/// Ends one instance after another, by a kill or gracefully, and starts it again later.
pub(crate) async fn inject_into_instances(mut random: SmallRng, world: &Arc<World>) -> Result {
    let mut recoveries = JoinSet::new();
    if world.trouble == Trouble::SingleRestarts {
        return Ok(());
    }
    let count = world.slots.len();
    let mut down: HashMap<usize, Instant> = HashMap::new();
    world.wait(Duration::from_millis(1_500)).await;
    while !world.is_over() {
        let i = random.random_range(0..count);
        let span = random_millis(&mut random, 300..3_000);
        let signal = match random.random_ratio(2, 3) {
            true => Signal::SIGKILL,
            false => Signal::SIGTERM,
        };
        down.retain(|_, until| *until > Instant::now());
        if down.len() < count * 3 / 8 && !down.contains_key(&i) {
            down.insert(i, Instant::now() + span);
            recoveries.spawn(restart_instance(world.clone(), i, signal, span));
        }
        world
            .wait(random_millis(&mut random, 300..1_500) * 8 / count as u32)
            .await;
    }
    while let Some(recovery) = recoveries.join_next().await {
        recovery??;
    }
    Ok(())
}

/// Ends an instance with a signal, kills it if it takes too long, and restarts it after `down`.
async fn restart_instance(world: Arc<World>, i: usize, signal: Signal, down: Duration) -> Result {
    let slot = &world.slots[i];
    let instance = slot.current();
    if instance.signal(signal).is_err() {
        // Another fault has ended the instance and will restart it.
        return Ok(());
    }
    world.record(format!("{signal} to {}", instance.name));
    let exit = async {
        while instance.is_running() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(GRACE, exit).await.is_err() {
        world.record(format!("{} is killed after its grace", instance.name));
        instance.signal(Signal::SIGKILL).ok();
    }
    world.wait(down).await;
    let restarted = instance.restart(world.program()).await?;
    let mut current = slot.instance.lock().unwrap();
    if Arc::ptr_eq(&current, &instance) {
        slot.log.lock().unwrap().push_str(&instance.log());
        *current = Arc::new(restarted);
        world.record(format!("{} started again", instance.name));
    }
    Ok(())
}
