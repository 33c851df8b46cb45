//! An endpoint crashes under long tasks and is back after some seconds. The tasks start again on other endpoints, which get no
//! further task for as long as these run.

use std::{io, thread, time::Duration};

use super::{check_idle, job, job_id, step, Idle};
use crate::{
    fleet::{Fleet, Plan},
    json::Value,
    record::Record,
    Verdict,
};

const ENDPOINTS: usize = 4;
/// Long tasks: those of the first job on one endpoint each, those of the others wherever they fit.
const LONG_JOBS: u64 = 4;
const LONG_MILLIS: u64 = 60_000;
const SHORT_JOBS: u64 = 4;
const SHORT_MILLIS: u64 = 200;
const WAIT: Duration = Duration::from_millis(1_500);
const BEFORE: Duration = Duration::from_secs(2);
/// How long the endpoint is down, and how long after its return the short jobs come.
const DOWN: Duration = Duration::from_millis(3_000);
const BACK: Duration = Duration::from_secs(3);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b"],
        workers: &[("a", "r1", ENDPOINTS)],
        max_attempts: 3,
    };
    let fleet = Fleet::start(&plan)?;
    let post = |n: u64, body: &[u8]| -> io::Result<Option<String>> {
        let id = job_id(n);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let response = instance.send("POST", &id, body, WAIT)?;
        record.add(format!(
            "POST {id} at {}: {}",
            instance.name, response.status
        ));
        Ok((response.status == 200).then_some(id))
    };
    for n in 0..LONG_JOBS {
        let mut long = step(1, LONG_MILLIS);
        if n == 0 {
            long = step(ENDPOINTS as u64, LONG_MILLIS);
            long.push(("max_per_server", Value::from(1)));
        }
        let body = job(&LONG_MILLIS.to_string(), vec![long]);
        post(n, &body)?.ok_or_else(|| io::Error::other("a long job wasn't accepted"))?;
    }
    thread::sleep(BEFORE);
    if trouble {
        let runs = fleet.history();
        let on = |id: &str| {
            runs.iter()
                .filter(|run| run.endpoint == id && run.ended.is_none())
                .count()
        };
        let busiest = fleet.workers.iter().max_by_key(|worker| on(&worker.id()));
        let worker = busiest.ok_or_else(|| io::Error::other("no endpoint"))?;
        record.add(format!(
            "{} crashes under {} tasks",
            worker.id(),
            on(&worker.id())
        ));
        worker.crash(DOWN);
    }
    thread::sleep(DOWN + BACK);
    let mut short = Vec::new();
    for n in LONG_JOBS..LONG_JOBS + SHORT_JOBS {
        short.extend(post(
            n,
            &job(&SHORT_MILLIS.to_string(), vec![step(1, SHORT_MILLIS)]),
        )?);
    }
    record.add(format!(
        "the traffic has ended; {} short jobs are accepted",
        short.len()
    ));
    thread::sleep(super::FINISH);
    let idle = Idle {
        fleet: &fleet,
        jobs: &short,
        cores: 1,
        slots: ENDPOINTS * 8,
    };
    check_idle(&idle, record)
}
