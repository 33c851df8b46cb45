//! A worker crashes and starts again under its id as another kind.

use std::{thread, time::Duration};

use super::{await_jobs, submit_all, Outcome};
use crate::{
    check,
    fleet::{Fleet, Route},
};

const WORKERS: usize = 8;
const JOBS: usize = 40;
const TASKS: usize = 10;
const TASK_MS: u64 = 300;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let route = Route {
        target_ms: 30_000,
        ..Route::new("labelled")
    };
    let route = &route;
    fleet.configure(10, std::slice::from_ref(route));
    for index in 0..WORKERS {
        let kind = if index < WORKERS / 2 {
            "kind-a"
        } else {
            "kind-b"
        };
        let profile = fleet.profile(index, kind, "rack-1", 8_000);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet.start_instances(3).map_err(|e| e.to_string())?;
    thread::sleep(Duration::from_secs(2));
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS};cpu=2000;mem=64;label=kind-a\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"mem_mb\":64,\
         \"estimated_ms\":{TASK_MS},\"required_label\":\"kind-a\"}}]}}"
    );
    let jobs = submit_all(fleet, route, &[0, 1, 2], JOBS, &body);
    fleet
        .record
        .tell(format!("{} of {JOBS} jobs are accepted", jobs.len()));
    if jobs.len() < JOBS {
        return Err("too few jobs were accepted".into());
    }
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        fleet.end_worker(0, false);
        fleet.record.tell("a worker of kind-a crashes");
        thread::sleep(Duration::from_millis(2_000));
        let profile = fleet.profile(0, "kind-b", "rack-1", 8_000);
        fleet.start_worker(0, profile).map_err(|e| e.to_string())?;
        fleet.record.tell("it is back under its id, of kind-b");
    }
    let open = await_jobs(fleet, route, &jobs, Duration::from_secs(40));
    fleet
        .record
        .tell(format!("{} jobs are open at the end: {open:?}", open.len()));
    Ok(check::route(&fleet.all_runs()))
}
