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
    Verdict,
};

const ENDPOINTS: usize = 3;
const JOBS: u64 = 1;
const MILLIS: u64 = 25_000;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long an endpoint serves on after the store has its report: `drain_ms`, and a little longer.
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long it is down, and how long it's up before the next one drains.
const DOWN: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(3_500);
/// How long jobs may take in all: longer than all restarts and a run without one.
const LONGEST: Duration = Duration::from_secs(80);

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
    thread::sleep(Duration::from_secs(2));
    if trouble {
        for worker in &fleet.workers {
            record.add(format!("{} drains", worker.id()));
            worker.restart(DRAIN, DOWN);
            record.add(format!("{} is back", worker.id()));
            thread::sleep(PAUSE);
        }
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
        let end = run
            .ended
            .map_or("runs".to_owned(), |(_, how)| how.to_owned());
        record.add_at(
            run.started_at,
            format!("run {} of {} on {}: {end}", run.run, run.task, run.endpoint),
        );
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
