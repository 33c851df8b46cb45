//! A large job with `max_per_server` waits for its turn on all endpoints, and jobs of another caller come meanwhile.

use std::{io, thread, time::Duration};

use super::{check_idle, job, job_id, step, Idle, FINISH};
use crate::{
    fleet::{Fleet, Plan},
    json::Value,
    record::Record,
    Verdict,
};

/// The endpoints of the rack, and those of another one.
const ENDPOINTS: usize = 2;
const OTHERS: usize = 6;
const LARGE_TASKS: u64 = 16;
const LARGE_MILLIS: u64 = 3_600;
const SMALL_JOBS: u64 = 6;
const SMALL_MILLIS: u64 = 200;
const WAIT: Duration = Duration::from_millis(1_500);
/// How long after the first job the others come: the large one has been late by 5 s then.
const LATER: Duration = Duration::from_millis(7_500);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b"],
        workers: &[("a", "r1", ENDPOINTS), ("b", "r2", OTHERS)],
        max_attempts: 3,
    };
    let fleet = Fleet::start(&plan)?;
    let post = |n: u64, body: &[u8]| -> io::Result<String> {
        let id = job_id(n);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let response = instance.send("POST", &id, body, WAIT)?;
        record.add(format!(
            "POST {id} at {}: {}",
            instance.name, response.status
        ));
        match response.status {
            200 => Ok(id),
            _ => Err(io::Error::other("a job wasn't accepted")),
        }
    };
    if trouble {
        let mut limited = step(LARGE_TASKS, LARGE_MILLIS);
        limited.push(("max_per_server", Value::from(1)));
        limited.push(("affinity", "r1".into()));
        let id = post(0, &job(&LARGE_MILLIS.to_string(), vec![limited]))?;
        record.add(format!(
            "{id} has {LARGE_TASKS} tasks of {LARGE_MILLIS} ms, one on an endpoint"
        ));
    }
    thread::sleep(LATER);
    let mut small = Vec::new();
    for n in 1..=SMALL_JOBS {
        let mut wanted = step(1, SMALL_MILLIS);
        wanted.push(("affinity", "r1".into()));
        small.push(post(n, &job(&SMALL_MILLIS.to_string(), vec![wanted]))?);
    }
    record.add("the traffic has ended");
    thread::sleep(FINISH);
    let idle = Idle {
        fleet: &fleet,
        jobs: &small,
        cores: 1,
        slots: (ENDPOINTS + OTHERS) * 8,
    };
    check_idle(&idle, record)
}
