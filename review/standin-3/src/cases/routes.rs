//! The configuration grows by many routes, and jobs wait on all of them.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    fleet::{Fleet, Route},
    json,
};

/// Routes with the growth, and without.
const ROUTES: (usize, usize) = (192, 20);

const INSTANCES: usize = 3;
const WORKERS: usize = 16;
const WORKER_CPU: u64 = 32_000;
const JOBS: usize = 5_000;
const TASK_MS: u64 = 8_000;
const CLIENTS: usize = 40;

/// How long the instances are asked after the last submission, and the pause between two rounds.
const ASKED: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(500);

/// The routes that are asked for in a round, each at one instance.
const ASKED_ROUTES: usize = 12;

/// The time from which on an accepted job counts as pending: `visible_ms` and 2 s.
const LONG_MS: u64 = 5_000;

/// A job that was accepted, its route, and when.
struct Accepted {
    id: String,
    route: usize,
    at: u64,
}

/// Returns the routes. The configuration fits in one row of the store.
fn routes(count: usize) -> Vec<Route> {
    let route = |n| {
        Route {
        prefix: format!("/q{n}/"),
        target_ms: 25_000,
        ..Route::new(&format!(
            "analytics-workspace-division.team-{n:03}.interest-rate-derivatives.overnight-recompute.high-mem"
        ))
    }
    };
    (0..count).map(route).collect()
}

/// Submits the jobs, each on one of the routes in turn. Returns those that were accepted.
fn submit(fleet: &Fleet, routes: &[Route]) -> Vec<Accepted> {
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS};cpu=1000;mem=64\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":{TASK_MS}}}]}}"
    );
    let body = &body;
    let client = move |first: usize| {
        let numbers = (first..JOBS).step_by(CLIENTS);
        let accepted = numbers.filter_map(|n| {
            let (id, route) = (fleet.new_job(), n % routes.len());
            let accepted = fleet.submit(n % INSTANCES, &routes[route], &id, body);
            let at = fleet.record.now_ms();
            accepted.then_some(Accepted { id, route, at })
        });
        accepted.collect::<Vec<Accepted>>()
    };
    thread::scope(|scope| {
        let handles: Vec<_> = (0..CLIENTS)
            .map(|first| scope.spawn(move || client(first)))
            .collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().unwrap_or_default())
            .collect()
    })
}

/// Asks the instances for the number of pending jobs of some routes, and compares it with the jobs that have waited for long.
fn ask_pending(fleet: &Fleet, routes: &[Route], jobs: &[Accepted]) -> Vec<String> {
    let step = (routes.len() / ASKED_ROUTES).max(1);
    let mut found = Vec::new();
    for (n, index) in (0..routes.len()).step_by(step).enumerate() {
        let (route, instance) = (&routes[index], n % INSTANCES);
        let asked = fleet.record.now_ms();
        let Some((200, answer)) = fleet.call(instance, "GET", &route.prefix, 1_500, "") else {
            continue;
        };
        let shown = json::parse(answer.as_bytes())
            .and_then(|body| body.number("pending"))
            .unwrap_or(0);
        let begun: BTreeSet<String> = fleet
            .all_runs()
            .iter()
            .map(|run| run.task[..16].to_owned())
            .collect();
        let waits = |job: &&Accepted| {
            job.route == index && job.at + LONG_MS < asked && !begun.contains(&job.id)
        };
        let waiting = jobs.iter().filter(waits).count() as u64;
        if shown * 2 < waiting {
            found.push(format!(
                "at {asked} ms {} gives {shown} as pending for {}; {waiting} of its jobs were accepted over {LONG_MS} ms before and haven't begun",
                fleet.instances[instance].name, route.prefix
            ));
        }
    }
    found
}

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let routes = routes(if trouble { ROUTES.0 } else { ROUTES.1 });
    fleet.configure(10, &routes);
    for index in 0..WORKERS {
        let profile = fleet.profile(index, "kind-a", "rack-1", WORKER_CPU);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet
        .start_instances(INSTANCES)
        .map_err(|e| e.to_string())?;
    thread::sleep(Duration::from_secs(2));
    let jobs = submit(fleet, &routes);
    fleet
        .record
        .tell(format!("{} of {JOBS} jobs are accepted", jobs.len()));
    if jobs.len() < JOBS * 9 / 10 {
        return Err("too few jobs were accepted".into());
    }
    let until = Instant::now() + ASKED;
    let mut found = Vec::new();
    while Instant::now() < until {
        found.extend(ask_pending(fleet, &routes, &jobs));
        thread::sleep(PAUSE);
    }
    let runs = fleet.all_runs();
    let count = |how: &str| runs.iter().filter(|run| run.how == how).count();
    let (done, stopped, lapsed) = (count("done"), count("stopped"), count("lapsed"));
    fleet.record.tell(format!(
        "{} starts: {done} ended done, {stopped} were stopped, {lapsed} lapsed",
        runs.len()
    ));
    Ok(found)
}
