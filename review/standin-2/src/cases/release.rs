//! Endpoints are restarted one after the other, as planned: each drains, ends and is back under its name. A job with a task that takes
//! longer than a drain is shown as failed, though no run of it has failed.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use super::{job, job_id, step};
use crate::{
    fleet::{Fleet, Plan},
    record::Record,
    worker::Worker,
    Verdict,
};

/// Two of five endpoints are restarted.
const ENDPOINTS: usize = 5;
const RESTARTS: usize = 2;
const JOBS: u64 = 1;
const MILLIS: u64 = 7_000;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long an endpoint serves on after the store has its report: `drain_ms`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
/// How long it is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// How long a run lasts before its endpoint drains.
const BEFORE: Duration = Duration::from_secs(1);
/// How long jobs may take in all: longer than all restarts and a run without one.
const LONGEST: Duration = Duration::from_secs(45);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b"],
        workers: &[("a", "r1", ENDPOINTS)],
        max_attempts: 3,
    };
    let fleet = Fleet::start(&plan)?;
    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let id = job_id(n);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let body = job(&MILLIS.to_string(), vec![step(1, MILLIS)]);
        let response = instance.send("POST", &id, &body, WAIT)?;
        record.add(format!(
            "POST {id} at {}: {}",
            instance.name, response.status
        ));
        if response.status != 200 {
            return Err(io::Error::other("a job wasn't accepted"));
        }
        jobs.push(id);
    }
    let end = Instant::now() + LONGEST;
    for _ in 0..if trouble { RESTARTS } else { 0 } {
        let worker = running_on(&fleet, &jobs[0])?;
        thread::sleep(BEFORE);
        record.add(format!("{} drains", worker.id()));
        worker.restart(DRAIN, DOWN);
        record.add(format!("{} is back", worker.id()));
    }
    let mut states;
    loop {
        let instance = &fleet.instances[0];
        states = jobs
            .iter()
            .map(|id| instance.state(id, WAIT))
            .collect::<Vec<String>>();
        let open = states
            .iter()
            .any(|state| ["queued", "running"].contains(&state.as_str()));
        if !open || Instant::now() > end {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = fleet.history();
    for run in &runs {
        record.add_at(run.started_at, run.describe());
    }
    let failed = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
    let failed = failed.count();
    for (id, state) in jobs.iter().zip(&states) {
        record.add(format!("GET {id}: {state}"));
    }
    record.add(format!("{failed} runs have ended as failed"));
    let shown = states.iter().filter(|state| *state == "failed").count();
    Ok(match shown > 0 && failed == 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Waits until a task of a job runs, and returns its endpoint.
fn running_on(fleet: &Fleet, job: &str) -> io::Result<Worker> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        let runs = fleet.history();
        let run = runs
            .iter()
            .find(|run| run.task.starts_with(job) && run.ended.is_none());
        let worker = run.and_then(|run| {
            fleet
                .workers
                .iter()
                .find(|worker| worker.id() == run.endpoint)
        });
        if let Some(worker) = worker {
            return Ok(worker.clone());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("the task doesn't run"))
}
