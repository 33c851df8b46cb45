//! Workers leave, and shortly after the owner of their rack is stopped for a restart.

use std::{collections::BTreeMap, thread, time::Duration};

use super::{await_jobs, submit_all, Outcome};
use crate::fleet::{Fleet, Route, SIGTERM};

const WORKERS: usize = 20;

/// The workers that leave: at most 0.15 of them.
const LEAVING: usize = 3;
const JOBS: usize = 75;
const TASKS: usize = 2;
const TASK_MS: u64 = 6_000;

/// How long a draining worker serves on before it exits (`drain_ms` and a little longer).
const DRAIN: Duration = Duration::from_millis(2_600);

/// The time between two workers that leave.
const STAGGER: Duration = Duration::from_millis(150);

/// The time from the last exit to the SIGTERM.
const LAG: Duration = Duration::from_millis(300);

/// How long after the last submission jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let route = Route {
        target_ms: 10_000,
        ..Route::new("batch")
    };
    let route = &route;
    fleet.configure(10, std::slice::from_ref(route));
    for index in 0..WORKERS {
        let profile = fleet.profile(index, "kind-a", "rack-1", 8_000);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet.start_instances(3).map_err(|e| e.to_string())?;
    thread::sleep(Duration::from_secs(2));
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS};cpu=1000;mem=64\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":{TASK_MS}}}]}}"
    );
    let jobs = submit_all(fleet, route, &[0, 1, 2], JOBS, &body);
    fleet
        .record
        .tell(format!("{} of {JOBS} jobs are accepted", jobs.len()));
    if jobs.len() < JOBS {
        return Err("too few jobs were accepted".into());
    }
    thread::sleep(Duration::from_secs(1));
    let owner = fleet.main_owner();
    if trouble {
        let mut busy: BTreeMap<usize, usize> = BTreeMap::new();
        for (index, worker) in fleet.workers.iter().enumerate() {
            let id = worker
                .as_ref()
                .map(|worker| worker.id())
                .unwrap_or_default();
            let runs = fleet.all_runs();
            let count = runs
                .iter()
                .filter(|run| run.worker == id && run.ended.is_none())
                .count();
            busy.insert(index, count);
        }
        let mut leaving: Vec<usize> = busy.keys().copied().collect();
        leaving.sort_by_key(|index| std::cmp::Reverse(busy[index]));
        leaving.truncate(LEAVING);
        for index in &leaving {
            if let Some(worker) = &fleet.workers[*index] {
                worker.drain();
                fleet
                    .record
                    .tell(format!("{} drains, with {} runs", worker.id(), busy[index]));
            }
            thread::sleep(STAGGER);
        }
        thread::sleep(DRAIN - STAGGER * LEAVING as u32);
        for index in &leaving {
            fleet.end_worker(*index, true);
            fleet.record.tell(format!("worker {index} has left"));
            thread::sleep(STAGGER);
        }
        thread::sleep(LAG);
        fleet.signal(owner, SIGTERM);
        fleet.await_end(owner, Duration::from_secs(6));
        thread::sleep(Duration::from_millis(500));
        fleet.start_instance(owner).map_err(|e| e.to_string())?;
    }
    thread::sleep(FINISH);
    let first = await_jobs(fleet, route, &jobs, Duration::from_secs(12));
    fleet.record.tell(format!("{} jobs are open", first.len()));
    let before = fleet.all_runs();
    thread::sleep(Duration::from_secs(4));
    let after = fleet.all_runs();
    let running = after.iter().filter(|run| run.ended.is_none()).count();
    fleet.record.tell(format!(
        "{} starts in 4 s, {running} runs at work",
        after.len() - before.len()
    ));
    let open = await_jobs(fleet, route, &jobs, Duration::ZERO);
    let is_idle = |job: &str| {
        let of_job = |run: &&crate::worker::Run| run.task.starts_with(job);
        let is_at_work = |run: &crate::worker::Run| run.ended.is_none();
        after.len() == before.len() && !after.iter().filter(of_job).any(is_at_work)
    };
    let lost = open.iter().filter(|(job, _)| is_idle(job));
    let lost = lost.map(|(job, state)| {
        let runs = after
            .iter()
            .filter(|run| run.task.starts_with(job.as_str()));
        let ends: Vec<String> = runs
            .map(|run| format!("{} {}", &run.task[17..], run.how))
            .collect();
        format!(
            "{job} is {state}, with nothing at work for 4 s and room for all; its runs: {}",
            ends.join(", ")
        )
    });
    Ok(lost.collect())
}
