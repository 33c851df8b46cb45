//! Endpoints that crash and start again under their names, while orders to their former lives are on the way.
//!
//! A restarted endpoint knows neither the runs, the stops nor the fencing tokens of before, and its clock starts at zero. Orders
//! that were sent to its former life without an answer are carried out by the new one.
//!
//! Three tests have a fixed order of events. The soaks have restarts of endpoints, cuts right after their return, and a share of calls
//! that are carried out late; one of them also has series of restarts, and kills and graceful stops of instances. They check that no task runs twice at a time, that
//! "completed" means that every task was done, that "not run" means that no task started, that each request gets a complete answer
//! or a broken connection, and that stored jobs end. `FORMER_LIVES_SEEDS=FROM-TO cargo test --test former_lives` runs other seeds
//! than the default ones, `FORMER_LIVES_SIZE=large` a larger fleet.
#![allow(dead_code)] // Other tests use more of these modules.

#[path = "former_lives/caller.rs"]
mod caller;
#[path = "former_lives/check.rs"]
mod check;
#[path = "platform/endpoint.rs"]
mod endpoint;
#[path = "former_lives/fault.rs"]
mod fault;
#[path = "platform/fleet.rs"]
mod fleet;
#[path = "former_lives/report.rs"]
mod report;
#[path = "platform/store.rs"]
mod store;
mod support;
#[path = "former_lives/world.rs"]
mod world;

use std::{
    path::Path,
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Endpoint,
    Holding,
    LateCall,
    Reach,
    BRIEF, //
};
use fault::Trouble;
use fleet::{
    job_body,
    write_configuration,
    Fleet,
    Instance,
    PREFIX, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};
use serde_json::json;
use store::Store;
use support::{
    client::Response,
    wait_until,
    Result, //
};
use tokio::{
    task::JoinSet,
    time::sleep, //
};
use world::{
    Size,
    World, //
};

/// Seeds of the soaks that run by default: those in which most starts reach a later life.
const DEFAULT_SEEDS: [u64; 2] = [4, 10];
/// How long tasks run in the tests with a fixed order.
const TASK: Duration = Duration::from_millis(4_000);
/// How long the endpoints are down.
const DOWNTIME: Duration = Duration::from_millis(600);
/// The same, if leases of starts that were resent are to be over by the clocks of the former lives.
const LONG_DOWNTIME: Duration = Duration::from_millis(1_500);
/// How long orders are held that are sent to endpoints that are down or cut off.
const HELD: Duration = Duration::from_millis(2_100);
/// How long after their return the endpoints write their rows.
const ROW_DELAY: Duration = Duration::from_millis(1_000);
/// How long the new lives are cut off: longer than orders are held.
const CUT: Duration = Duration::from_millis(2_500);
/// How long the endpoints are up between two crashes, and down after the second one.
const UPTIME: Duration = Duration::from_millis(700);
const SECOND_DOWNTIME: Duration = Duration::from_millis(200);
/// The interval between jobs, and their number.
const JOB_INTERVAL: Duration = Duration::from_millis(5);
const JOB_COUNT: u64 = 12;
/// The number of brief jobs before, and the first of their names.
const WARM_UP_JOBS: u64 = 20;
const WARM_UP_ID: u64 = 0x1000;
/// The timeout of the route, longer than two tasks, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 9_000;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Returns the seeds to run.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("FORMER_LIVES_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = range
        .split_once('-')
        .expect("FORMER_LIVES_SEEDS has the form FROM-TO");
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

/// Runs brief jobs, one after another, so that the instance knows how soon endpoints answer: without that, it waits so long for an answer
/// to a start that its endpoint is back by then.
async fn learn_call_times(instance: &Instance) -> Result {
    for id in 0..WARM_UP_JOBS {
        let mut body = job_body(4, 60, true);
        body["spec"] = json!(BRIEF);
        let path = format!("{PREFIX}{:016x}", WARM_UP_ID + id);
        let answer = instance.post(&path, &body).await?;
        assert_eq!(answer.status, 200, "{}", instance.log());
    }
    Ok(())
}

/// Submits long jobs of one task each, one after another, to an instance whose data centre has just crashed.
async fn submit_long_jobs(instance: Arc<Instance>) -> Result<Vec<Response>> {
    let mut answers = JoinSet::new();
    for id in 1..=JOB_COUNT {
        let instance = instance.clone();
        let body = job_body(1, TASK.as_millis() as u64, true);
        let path = format!("{PREFIX}{id:016x}");
        answers.spawn(async move { instance.post(&path, &body).await });
        sleep(JOB_INTERVAL).await;
    }
    answers.join_all().await.into_iter().collect()
}

/// How endpoints return after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    Reachable,
    /// They are cut off until all held orders have arrived.
    CutOff,
    /// They can be reached, and crash again before the held orders arrive.
    Twice,
}

impl Return {
    fn downtime(self) -> Duration {
        match self {
            Self::Reachable => LONG_DOWNTIME,
            Self::CutOff | Self::Twice => DOWNTIME,
        }
    }

    async fn run(self, endpoints: &[&Endpoint], store: &Store) {
        let start_again = |reach| endpoints.iter().for_each(|e| e.start_again(reach));
        match self {
            Self::Reachable => {
                start_again(Reach::Up);
                sleep(ROW_DELAY).await;
            }
            Self::CutOff => {
                start_again(Reach::Cut);
                sleep(CUT).await;
                endpoints
                    .iter()
                    .for_each(|endpoint| endpoint.set_cut(false));
            }
            Self::Twice => {
                start_again(Reach::Up);
                sleep(UPTIME).await;
                endpoints.iter().for_each(|endpoint| endpoint.crash());
                sleep(SECOND_DOWNTIME).await;
                start_again(Reach::Up);
            }
        }
        endpoints
            .iter()
            .for_each(|endpoint| endpoint.register(store));
    }
}

/// Returns half of the endpoints of the first data centre: those that get starts first. The other ones have room for tasks that start
/// elsewhere.
fn choose_crashed(fleet: &Fleet) -> Vec<&Endpoint> {
    let mut endpoints: Vec<&Endpoint> = fleet.endpoints.iter().step_by(2).collect();
    endpoints.sort_by_key(|endpoint| &endpoint.id);
    endpoints.truncate(endpoints.len() / 2);
    endpoints
}

/// Crashes endpoints of a data centre just before callers submit jobs there, and lets them return once they have been sent starts.
/// Checks that no task runs twice at a time.
async fn run_in_order(how: Return) -> Result {
    let mut fleet = Fleet::start(program(), 2, 16, TASK).await?;
    write_configuration(&fleet.store, 8, ROUTE_TIMEOUT_MS);
    wait_until("each instance owns the rack of its data centre", || async {
        let owns = |instance: &Instance| instance.log().contains("rack_claimed");
        fleet.instances.iter().all(owns).then_some(())
    })
    .await?;
    let owner = Arc::new(fleet.instances.remove(0));
    learn_call_times(&owner).await?;
    let crashed = choose_crashed(&fleet);
    for endpoint in &crashed {
        endpoint.set_holding(Some(Holding::unreachable(HELD)));
        endpoint.crash();
    }
    let answers = tokio::spawn(submit_long_jobs(owner.clone()));
    sleep(how.downtime()).await;
    wait_until("an order is held", || async {
        let is_held = crashed.iter().any(|e| e.count_held_calls() > 0);
        is_held.then_some(())
    })
    .await?;
    how.run(&crashed, &fleet.store).await;
    for answer in answers.await?? {
        println!(
            "{} {}",
            answer.status,
            String::from_utf8_lossy(&answer.body)
        );
        assert!(matches!(answer.status, 200 | 503 | 504));
    }
    wait_until("all held orders have arrived", || async {
        let is_done = |e: &&Endpoint| e.count_held_calls() == 0;
        crashed.iter().all(is_done).then_some(())
    })
    .await?;
    let late_calls: Vec<LateCall> = crashed.iter().flat_map(|e| e.late_calls()).collect();
    let late_starts = late_calls.iter().filter(|c| c.is_start_of_former_life());
    assert!(
        late_starts.count() > 0,
        "no start reached a later life: {late_calls:#?}"
    );
    let overlaps = fleet.find_overlaps();
    assert!(
        overlaps.is_empty(),
        "two runs of a task at a time: {overlaps:#?}\n{}",
        owner.log()
    );
    Ok(())
}

/// Guards against a task that starts elsewhere, as its endpoint is silent or came back without it, and then also in the new life of that
/// endpoint, which gets the former life's start.
#[tokio::test(flavor = "multi_thread")]
async fn starts_that_arrive_after_a_restart_run_no_task_twice() -> Result {
    run_in_order(Return::Reachable).await
}

/// The same, where the new life can't be reached before the starts arrive, so that nothing bars or stops them.
#[tokio::test(flavor = "multi_thread")]
async fn starts_that_arrive_after_a_restart_behind_a_cut_run_no_task_twice() -> Result {
    run_in_order(Return::CutOff).await
}

/// The same, where a life confirms stops of the runs, and the next one, which knows nothing of them, gets the starts.
#[tokio::test(flavor = "multi_thread")]
async fn starts_that_arrive_after_two_restarts_run_no_task_twice() -> Result {
    run_in_order(Return::Twice).await
}

/// Guards against starts that were sent to an endpoint while it was down or cut off and arrive in its next life, among other ones and
/// with all kinds of jobs.
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_around_single_restarts_break_no_guarantee() -> Result {
    run_seeds(Trouble::SingleRestarts).await
}

/// Guards against orders of former lives in series of restarts that overlap with each other, with cuts and with the ends of
/// instances.
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_around_restarts_break_no_guarantee() -> Result {
    run_seeds(Trouble::Everything).await
}

/// Runs the faults of each seed, and checks that they broke no guarantee.
async fn run_seeds(trouble: Trouble) -> Result {
    let mut violations = Vec::new();
    for seed in seeds() {
        let found = run_seed(seed, trouble).await?;
        let with_seed = found
            .into_iter()
            .map(|violation| format!("seed {seed}: {violation}"));
        violations.extend(with_seed);
    }
    assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

/// Runs a fleet with the faults of one seed, and returns the violations.
async fn run_seed(seed: u64, trouble: Trouble) -> Result<Vec<String>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let size = Size::from_environment();
    let world = Arc::new(World::start(program(), size, trouble).await?);
    fault::hold_calls(&mut random, &world);
    let mut callers = JoinSet::new();
    for number in 0..size.callers {
        let random = SmallRng::seed_from_u64(seed * 1_000 + number);
        callers.spawn(caller::submit_jobs(number, random, world.clone()));
    }
    let (processes, endpoints) = (random.random(), random.random());
    let (result, ()) = tokio::join!(
        fault::inject_into_instances(SmallRng::seed_from_u64(processes), &world),
        fault::inject_into_endpoints(SmallRng::seed_from_u64(endpoints), &world),
    );
    result?;
    while callers.join_next().await.transpose()?.is_some() {}
    wait_until("all held calls have arrived", || async {
        let is_done = |e: &Endpoint| e.count_held_calls() == 0;
        world.fleet.endpoints.iter().all(is_done).then_some(())
    })
    .await?;
    check::wait_for_stored_jobs(&world).await;
    // Runs of broken submissions are stopped, or their leases expire.
    sleep(Duration::from_millis(1_500)).await;
    let violations = check::find_violations(&world);
    report::print(seed, &world, &violations)?;
    Ok(violations)
}
