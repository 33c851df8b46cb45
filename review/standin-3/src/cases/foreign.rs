//! An instance is killed and started again during an outage of the store, while cancellations that it forwarded wait to be stored.

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use super::{submit_all, Outcome};
use crate::{
    fleet::{Fleet, Route},
    json,
    store::Mode,
};

const WORKERS: usize = 20;

/// Jobs that are cancelled, and how long their task takes.
const CANCELLED_JOBS: usize = 240;
const CANCELLED_MS: u64 = 20_000;

/// Jobs that nobody cancels; they end during the outage.
const JOBS: usize = 60;
const TASK_MS: u64 = 2_500;

/// Further jobs, which have ended before the outage: at most 0.4 of all jobs are cancelled.
const OTHER_JOBS: usize = 320;
const OTHER_MS: u64 = 100;

/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(6_000);

/// The instance that is killed, from the begin of the outage on, and when it starts again.
const KILLED: usize = 0;
const KILLED_AFTER: Duration = Duration::from_millis(1_200);
const RESTARTED_AFTER: Duration = Duration::from_millis(1_600);

/// When clients ask for the states of their jobs, from the begin of the outage on.
const ASKED_AFTER: Duration = Duration::from_millis(2_600);

fn body(ms: u64) -> String {
    format!(
        "{{\"spec\":\"ms={ms};cpu=1000;mem=64\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":{ms}}}]}}"
    )
}

fn sleep_until(until: Instant) {
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Cancels a job as a sound client does, first at one instance and then at the others.
fn cancel(fleet: &Fleet, route: &Route, job: &str) {
    for attempt in 0..12 {
        let index = (KILLED + attempt) % fleet.instances.len();
        let path = format!("{}{job}", route.prefix);
        if let Some((200..=299 | 410, _)) = fleet.call(index, "DELETE", &path, 3_000, "") {
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}

/// Asks for the state of a job until it is shown as ended. Returns what was wrong.
fn follow(fleet: &Fleet, route: &Route, job: &str, until: Instant) -> Option<String> {
    let path = format!("{}{job}", route.prefix);
    while Instant::now() < until {
        // The platform forwards no new channel to an instance that isn't ready.
        if !fleet.is_ready(KILLED) {
            thread::sleep(Duration::from_millis(250));
            continue;
        }
        let answer = fleet.call(KILLED, "GET", &path, 3_000, "");
        let at = fleet.record.now_ms();
        match answer {
            Some((200, text)) => {
                let state = json::parse(text.as_bytes())
                    .map(|body| body.text("state"))
                    .unwrap_or_default();
                match state.as_str() {
                    "completed" => return None,
                    "failed" | "cancelled" => {
                        return Some(format!(
                            "{job}, which nobody cancelled, is shown as {state} at {at} ms"
                        ))
                    }
                    _ => {}
                }
            }
            Some((410, _)) => {
                return Some(format!(
                    "{job}, which was accepted, is unknown (410) at {at} ms"
                ))
            }
            _ => {}
        }
        thread::sleep(Duration::from_millis(500));
    }
    None
}

pub fn run(fleet: &mut Fleet, trouble: bool) -> Outcome {
    let route = Route {
        target_ms: 10_000,
        ..Route::new("work")
    };
    let route = &route;
    fleet.configure(10, std::slice::from_ref(route));
    for index in 0..WORKERS {
        let rack = format!("rack-{}", index / 7);
        let profile = fleet.profile(index, "kind-a", &rack, 16_000);
        fleet
            .start_worker(index, profile)
            .map_err(|e| e.to_string())?;
    }
    fleet.start_instances(3).map_err(|e| e.to_string())?;
    thread::sleep(Duration::from_secs(2));
    let others = submit_all(fleet, route, &[1, 2], OTHER_JOBS, &body(OTHER_MS));
    let cancelled = submit_all(fleet, route, &[1, 2], CANCELLED_JOBS, &body(CANCELLED_MS));
    let jobs = submit_all(fleet, route, &[1, 2], JOBS, &body(TASK_MS));
    fleet.record.tell(format!(
        "{}, {} and {} jobs are accepted",
        others.len(),
        cancelled.len(),
        jobs.len()
    ));
    if cancelled.len() < CANCELLED_JOBS || jobs.len() < JOBS {
        return Err("too few jobs were accepted".into());
    }
    if trouble {
        fleet.record.tell("the store is down");
        fleet.store.set_mode(Mode::Busy);
    }
    let begun = Instant::now();
    let found = Mutex::new(Vec::new());
    let fleet: &Fleet = fleet;
    thread::scope(|scope| {
        let found = &found;
        for (n, job) in cancelled.iter().enumerate() {
            scope.spawn(move || {
                sleep_until(begun + Duration::from_millis(200 + 2 * n as u64));
                cancel(fleet, route, job);
            });
        }
        for job in &jobs {
            scope.spawn(move || {
                sleep_until(begun + ASKED_AFTER);
                let breach = follow(fleet, route, job, begun + OUTAGE + Duration::from_secs(6));
                found.lock().unwrap().extend(breach);
            });
        }
        scope.spawn(move || {
            if trouble {
                sleep_until(begun + KILLED_AFTER);
                fleet.kill_instance(KILLED);
                sleep_until(begun + RESTARTED_AFTER);
                // Without it the clients' requests get no answer, and the case shows nothing.
                fleet.start_instance(KILLED).ok();
                fleet.record.tell("it starts again");
            }
            sleep_until(begun + OUTAGE);
            if trouble {
                fleet.record.tell("the store is back");
                fleet.store.set_mode(Mode::Up);
            }
        });
    });
    Ok(found.into_inner().unwrap())
}
