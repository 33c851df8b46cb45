//! An instance is killed while short and long tasks run on the same endpoints. The ends of the short tasks that its successor hears
//! of keep the endpoints from getting further tasks for as long as the long ones run.

use std::{io, thread, time::Duration};

use super::{check_idle, job, job_id, step, Idle};
use crate::{
    fleet::{Fleet, Plan},
    json::Value,
    record::Record,
    Verdict,
};

const ENDPOINTS: usize = 4;
/// Jobs of long tasks, one of each step on every endpoint. The third step runs from 12 s to 19 s.
const LONG_JOBS: u64 = 2;
const LONG_STEPS: [u64; 3] = [5_000, 7_000, 7_000];
/// Jobs of many short steps, each with one task on every endpoint.
const SHORT_JOBS: u64 = 5;
const SHORT_STEPS: u64 = 52;
const SHORT_MILLIS: u64 = 400;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long after the traffic an instance is killed, for how long, and when the judgement begins: `contact_ms` later and after
/// `finish_s`.
const KILL: Duration = Duration::from_millis(12_500);
const DOWN: Duration = Duration::from_secs(1);
const JUDGE: Duration = Duration::from_millis(15_800);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b", "c"],
        workers: &[("a", "r1", ENDPOINTS)],
        max_attempts: 3,
    };
    let mut fleet = Fleet::start(&plan)?;
    let chain = |steps: &[u64]| {
        let steps = steps.iter().enumerate().map(|(index, millis)| {
            let mut step = step(ENDPOINTS as u64, *millis);
            step.push(("max_per_server", Value::from(1)));
            if index > 0 {
                step.push(("after", vec![Value::from(index as u64 - 1)].into()));
            }
            step
        });
        steps.collect::<Vec<_>>()
    };
    let mut short = Vec::new();
    for n in 0..LONG_JOBS + SHORT_JOBS {
        let is_long = n < LONG_JOBS;
        let body = match is_long {
            true => job(&super::by_step(&LONG_STEPS), chain(&LONG_STEPS)),
            false => {
                let steps = vec![SHORT_MILLIS; SHORT_STEPS as usize];
                job(&SHORT_MILLIS.to_string(), chain(&steps))
            }
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
        if !is_long {
            short.push(id);
        }
    }
    record.add("the traffic has ended");
    thread::sleep(KILL);
    if trouble {
        // The endpoints are in the zone of the first instance, which owns their rack and stays up.
        let instance = &mut fleet.instances[1];
        record.add(format!("{} is killed", instance.name));
        instance.kill();
        thread::sleep(DOWN);
        fleet.restart(1)?;
        record.add("it is started again");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(JUDGE - KILL - DOWN);
    let idle = Idle {
        fleet: &fleet,
        jobs: &short,
        cores: 1,
        slots: ENDPOINTS * 8,
    };
    check_idle(&idle, record)
}
