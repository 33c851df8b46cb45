//! An endpoint crashes under long tasks and is back after some seconds. The tasks start again on the endpoints of their rack, which get
//! no further task for as long as these run.

use std::{io, thread, time::Duration};

use super::{by_step, check_idle, job, job_id, step, Idle};
use crate::{
    fleet::{Fleet, Plan},
    json::Value,
    record::Record,
    Verdict,
};

/// The endpoints of the one rack. One crash of eight is within the share of the sheet.
const ENDPOINTS: usize = 8;
/// Jobs of long tasks, by the tasks of each step. The first has one on each endpoint, those of the other fill at least one endpoint. The
/// third step runs from 12 s to 19 s.
const LONG_TASKS: [u64; 2] = [ENDPOINTS as u64, 15];
const LONG_STEPS: [u64; 3] = [5_000, 7_000, 7_000];
const SHORT_JOBS: u64 = 3;
const SHORT_STEPS: u64 = 100;
const SHORT_MILLIS: u64 = 300;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long after the traffic an endpoint crashes, how long it's down, and when the judgement begins: `contact_ms` after the crash and
/// after `finish_s`.
const CRASH: Duration = Duration::from_millis(12_500);
const DOWN: Duration = Duration::from_secs(3);
const JUDGE: Duration = Duration::from_millis(16_800);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b"],
        workers: &[("a", "r1", ENDPOINTS)],
        max_attempts: 3,
    };
    let fleet = Fleet::start(&plan)?;
    let chain = |steps: &[u64], count: u64, is_limited: bool| {
        let steps = steps.iter().enumerate().map(|(index, millis)| {
            let mut step = step(count, *millis);
            if is_limited {
                step.push(("max_per_server", Value::from(1)));
            }
            if index > 0 {
                step.push(("after", vec![Value::from(index as u64 - 1)].into()));
            }
            step
        });
        steps.collect::<Vec<_>>()
    };
    let (mut long, mut short) = (Vec::new(), Vec::new());
    for n in 0..LONG_TASKS.len() as u64 + SHORT_JOBS {
        let tasks = LONG_TASKS.get(n as usize);
        let is_long = tasks.is_some();
        let body = match tasks {
            Some(count) => job(&by_step(&LONG_STEPS), chain(&LONG_STEPS, *count, n == 0)),
            None => job(
                &SHORT_MILLIS.to_string(),
                chain(&[SHORT_MILLIS; SHORT_STEPS as usize], 1, false),
            ),
        };
        let id = job_id(n);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let response = instance.send("POST", &id, &body, WAIT)?;
        let kind = if is_long { "long" } else { "short" };
        record.add(format!(
            "POST {id} ({kind}) at {}: {}",
            instance.name, response.status
        ));
        if response.status != 200 {
            return Err(io::Error::other("a job wasn't accepted"));
        }
        if is_long { &mut long } else { &mut short }.push(id);
    }
    record.add("the traffic has ended");
    thread::sleep(CRASH);
    if trouble {
        let runs = fleet.history();
        let is_long = |task: &str| long.iter().any(|id| task.starts_with(id.as_str()));
        let on = |id: &str| {
            let running = runs
                .iter()
                .filter(|run| run.endpoint == id && run.ended.is_none());
            running.filter(|run| is_long(&run.task)).count()
        };
        let busiest = fleet.workers.iter().max_by_key(|worker| on(&worker.id()));
        let worker = busiest.ok_or_else(|| io::Error::other("no endpoint"))?;
        record.add(format!(
            "{} crashes under {} long tasks",
            worker.id(),
            on(&worker.id())
        ));
        worker.crash(DOWN);
    }
    thread::sleep(JUDGE - CRASH);
    let idle = Idle {
        fleet: &fleet,
        jobs: &short,
        cores: 1,
        slots: ENDPOINTS * 8,
    };
    check_idle(&idle, record)
}
