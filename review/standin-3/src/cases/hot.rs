//! Many jobs want the same rack.

use std::{thread, time::Duration};

use super::{await_jobs, submit_all, Outcome};
use crate::fleet::{Fleet, Route};

const RACKS: usize = 8;
const WORKERS_PER_RACK: usize = 2;
const WORKER_CPU: u64 = 8_000;

/// Jobs with long tasks, as many as one rack has cores, and jobs with short tasks after them.
const LONG_JOBS: usize = 16;
const LONG_MS: u64 = 90_000;
const SHORT_JOBS: usize = 64;
const SHORT_MS: u64 = 1_000;

/// How long after the last submission jobs are asked for (`finish_s`), and how long a job must have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_millis(3_500);

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let route = Route {
        target_ms: 15_000,
        ..Route::new("work")
    };
    let route = &route;
    fleet.configure(10, std::slice::from_ref(route));
    for index in 0..RACKS * WORKERS_PER_RACK {
        let rack = format!("rack-{}", index / WORKERS_PER_RACK);
        let profile = fleet.profile(index, "kind-a", &rack, WORKER_CPU);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet.start_instances(3).map_err(|e| e.to_string())?;
    thread::sleep(Duration::from_secs(2));
    let submit = |count: usize, ms: u64| {
        let mut jobs = Vec::new();
        for group in 0..RACKS {
            let rack = if trouble { 0 } else { group };
            let body = format!(
                "{{\"spec\":\"ms={ms};cpu=1000;mem=64\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":{ms},\
                 \"affinity\":\"rack-{rack}\"}}]}}"
            );
            jobs.extend(submit_all(fleet, route, &[0, 1, 2], count / RACKS, &body));
        }
        jobs
    };
    let long = submit(LONG_JOBS, LONG_MS);
    thread::sleep(Duration::from_secs(1));
    let jobs = submit(SHORT_JOBS, SHORT_MS);
    fleet.record.tell(format!(
        "{} long and {} short jobs are accepted",
        long.len(),
        jobs.len()
    ));
    if long.len() < LONG_JOBS || jobs.len() < SHORT_JOBS {
        return Err("too few jobs were accepted".into());
    }
    thread::sleep(FINISH);
    let from = fleet.record.now_ms();
    thread::sleep(IDLE);
    let to = fleet.record.now_ms();
    let open = await_jobs(fleet, route, &jobs, Duration::ZERO);
    let runs = fleet.all_runs();
    let at_work = runs
        .iter()
        .filter(|run| run.started < to && run.ended.is_none_or(|ended| ended > from));
    let at_work: Vec<&str> = at_work.map(|run| &run.task[..16]).collect();
    fleet.record.tell(format!(
        "{} short jobs are open; {} tasks were at work from {from} to {to} ms",
        open.len(),
        at_work.len()
    ));
    let idle = open
        .into_iter()
        .filter(|(job, _)| !at_work.contains(&job.as_str()));
    let line =
        |(job, state)| format!("{job} is {state}, with nothing running from {from} to {to} ms");
    Ok(idle.map(line).collect())
}
