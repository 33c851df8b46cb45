//! The cases, and what they share.

pub mod crash;
pub mod late_ends;
pub mod pending;
pub mod release;
pub mod server_limit;

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::Fleet,
    json::{object, Value},
    record::Record,
    worker::Run,
    Verdict,
};

/// `finish_s`, after which jobs are asked for.
pub const FINISH: Duration = Duration::from_secs(14);

/// How long a job may have nothing running although there is room.
const IDLE: Duration = Duration::from_secs(3);

/// How long a caller waits for the state of a job.
const STATE_WAIT: Duration = Duration::from_secs(4);

/// Returns the `n`th ID of a job, which looks random as those of clients do (splitmix64).
pub fn job_id(n: u64) -> String {
    let mut z = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", z ^ (z >> 31))
}

/// Builds a step of tasks that take `millis` each, on one core.
pub fn step(count: u64, millis: u64) -> Vec<(&'static str, Value)> {
    vec![
        ("count", count.into()),
        ("cpu", Value::from(1_000)),
        ("mem_mb", Value::from(64)),
        ("estimated_ms", millis.into()),
    ]
}

/// Returns the `spec` of a job whose tasks take a time for each step.
pub fn by_step(millis: &[u64]) -> String {
    let millis: Vec<String> = millis.iter().map(u64::to_string).collect();
    millis.join(",")
}

/// Builds the body of a job that must be kept.
pub fn job(spec: &str, steps: Vec<Vec<(&'static str, Value)>>) -> Vec<u8> {
    let steps: Vec<Value> = steps.into_iter().map(object).collect();
    let body = object(vec![("spec", spec.into()), ("steps", steps.into())]);
    body.render().into_bytes()
}

/// A check of LOST: "for 3 s, a job has nothing running while a task's turn has come, there is capacity for it twice over, and under
/// half of the service's capacity is in use".
pub struct Idle<'a> {
    pub fleet: &'a Fleet,
    /// Accepted jobs, each of whose tasks needs `cores` cores.
    pub jobs: &'a [String],
    pub cores: u64,
    /// The cores of all endpoints together.
    pub slots: usize,
}

/// Watches for 3 s from now on whether a job that isn't completed has nothing running although there is room. Records all runs.
pub fn check_idle(idle: &Idle<'_>, record: &Record) -> io::Result<Verdict> {
    let from = Instant::now();
    thread::sleep(IDLE);
    let until = Instant::now();
    let runs = idle.fleet.history();
    let instance = idle.fleet.instances.first();
    let instance = instance.ok_or_else(|| io::Error::other("no instance"))?;
    let mut waiting = 0;
    for id in idle.jobs {
        let state = instance.state(id, STATE_WAIT);
        let ran = |run: &&Run| run.ended.is_none_or(|(end, _)| end > from);
        let of_job = runs.iter().filter(|run| run.task.starts_with(id.as_str()));
        let (all, recent) = (of_job.clone().count(), of_job.filter(ran).count());
        record.add(format!(
            "GET {id}: {state}; {all} runs, {recent} of them in the last 3 s"
        ));
        waiting += usize::from(recent == 0 && ["queued", "running"].contains(&state.as_str()));
    }
    // At the start of the span and at each start in it: only then can more be in use, or less free.
    let starts = runs
        .iter()
        .map(|run| run.started_at)
        .filter(|at| *at > from && *at < until);
    let moments: Vec<Instant> = starts.chain([from]).collect();
    let in_use = |at: Instant, on: Option<&str>| -> u64 {
        let running = runs.iter().filter(|run| {
            let is_on = on.is_none_or(|endpoint| run.endpoint == endpoint);
            is_on && run.started_at <= at && run.ended.is_none_or(|(end, _)| end > at)
        });
        running.map(|run| run.cores).sum()
    };
    let fitting = |at: Instant| -> u64 {
        let workers = idle.fleet.workers.iter();
        let free = workers.map(|worker| 8 - in_use(at, Some(&worker.id())).min(8));
        free.map(|free| free / idle.cores).sum()
    };
    let most = moments
        .iter()
        .map(|at| in_use(*at, None))
        .max()
        .unwrap_or(0);
    let room = moments.iter().map(|at| fitting(*at)).min().unwrap_or(0);
    for run in &runs {
        record.add_at(run.started_at, run.describe());
    }
    let slots = idle.slots;
    record.add(format!(
        "for 3 s, at most {most} of {slots} cores in use and room for {room} such tasks at least"
    ));
    record.add(format!(
        "{waiting} of {} jobs that wait had nothing running for all that time",
        idle.jobs.len()
    ));
    let excused = most * 2 >= slots as u64 || room < 2;
    Ok(match waiting > 0 && !excused {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
