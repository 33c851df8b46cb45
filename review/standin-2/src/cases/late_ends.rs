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
/// Long tasks, one of each job on every endpoint.
const LONG_JOBS: u64 = 2;
const LONG_MILLIS: u64 = 60_000;
/// Jobs of many short steps, each with one task on every endpoint.
const SHORT_JOBS: u64 = 5;
const SHORT_STEPS: u64 = 100;
const SHORT_MILLIS: u64 = 300;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long all runs undisturbed before an instance is killed.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the instance is down.
const DOWN: Duration = Duration::from_secs(1);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b", "c"],
        workers: &[("a", "r1", ENDPOINTS)],
        max_attempts: 3,
    };
    let mut fleet = Fleet::start(&plan)?;
    let limited = |millis: u64| {
        let mut step = step(ENDPOINTS as u64, millis);
        step.push(("max_per_server", Value::from(1)));
        step
    };
    let mut short = Vec::new();
    for n in 0..LONG_JOBS + SHORT_JOBS {
        let is_long = n < LONG_JOBS;
        let body = match is_long {
            true => job(&LONG_MILLIS.to_string(), vec![limited(LONG_MILLIS)]),
            false => {
                let steps = (0..SHORT_STEPS).map(|index| {
                    let mut step = limited(SHORT_MILLIS);
                    if index > 0 {
                        step.push(("after", vec![Value::from(index - 1)].into()));
                    }
                    step
                });
                job(&SHORT_MILLIS.to_string(), steps.collect())
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
    thread::sleep(BEFORE);
    if trouble {
        // The endpoints are in the zone of the first instance, which owns their rack and stays up.
        let instance = &mut fleet.instances[1];
        record.add(format!("{} is killed", instance.name));
        instance.kill();
        thread::sleep(DOWN);
        fleet.restart(1)?;
        record.add("it is started again");
    }
    thread::sleep(super::FINISH - BEFORE);
    let idle = Idle {
        fleet: &fleet,
        jobs: &short,
        cores: 1,
        slots: ENDPOINTS * 8,
    };
    check_idle(&idle, record)
}
