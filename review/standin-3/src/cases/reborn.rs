//! Workers leave orders unanswered, crash, and are back under their ids when they carry them out.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{await_jobs, submit_all, Outcome};
use crate::{
    check,
    fleet::{Fleet, Route},
    worker::Run,
};

const WORKERS: usize = 16;

/// The workers that crash: at most 0.15 of them.
const CRASHED: usize = 2;
const WORKER_CPU: u64 = 24_000;
const JOBS: usize = 192;
const TASK_MS: u64 = 3_000;

/// The share of orders that are carried out late, in percent, and for how long.
const LATE_SHARE: u64 = 50;
const LATE_FOR: Duration = Duration::from_millis(5_500);

/// When workers crash after the first submission, and for how long they're down.
const CRASH_AFTER: Duration = Duration::from_millis(2_000);
const DOWN_FOR: Duration = Duration::from_millis(600);

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let route = Route {
        target_ms: 10_000,
        ..Route::new("work")
    };
    let route = &route;
    fleet.configure(10, std::slice::from_ref(route));
    for index in 0..WORKERS {
        let profile = fleet.profile(index, "kind-a", "rack-1", WORKER_CPU);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet.start_instances(3).map_err(|e| e.to_string())?;
    // Workers have been up for a while.
    thread::sleep(Duration::from_secs(15));
    let begun = Instant::now();
    if trouble {
        fleet
            .record
            .tell(format!("{LATE_SHARE} % of the orders are carried out late"));
        fleet.late.set_share(LATE_SHARE);
    }
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS};cpu=1000;mem=64\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":{TASK_MS}}}]}}"
    );
    let jobs = submit_all(fleet, route, &[0, 1, 2], JOBS, &body);
    fleet
        .record
        .tell(format!("{} of {JOBS} jobs are accepted", jobs.len()));
    if jobs.len() < JOBS {
        return Err("too few jobs were accepted".into());
    }
    thread::sleep(CRASH_AFTER.saturating_sub(begun.elapsed()));
    if trouble {
        let runs = fleet.all_runs();
        let count = |index: &usize| {
            let id = fleet.workers[*index].as_ref().map(|worker| worker.id());
            let at_work = |run: &&Run| id.as_ref() == Some(&run.worker) && run.ended.is_none();
            runs.iter().filter(at_work).count()
        };
        let mut crashed: Vec<usize> = (0..WORKERS).collect();
        crashed.sort_by_key(|index| std::cmp::Reverse(count(index)));
        crashed.truncate(CRASHED);
        let lost: usize = crashed.iter().map(count).sum();
        for index in &crashed {
            fleet.end_worker(*index, false);
        }
        fleet
            .record
            .tell(format!("{CRASHED} workers crash, with {lost} runs"));
        thread::sleep(DOWN_FOR);
        for index in &crashed {
            let profile = fleet.profile(*index, "kind-a", "rack-1", WORKER_CPU);
            fleet
                .start_worker(*index, profile)
                .map_err(|e| e.to_string())?;
        }
        fleet.record.tell("they are back under their ids");
    }
    thread::sleep(LATE_FOR.saturating_sub(begun.elapsed()));
    fleet.late.set_share(0);
    let open = await_jobs(fleet, route, &jobs, Duration::from_secs(30));
    fleet
        .record
        .tell(format!("{} jobs are open at the end", open.len()));
    Ok(check::overlaps(&fleet.all_runs()))
}
