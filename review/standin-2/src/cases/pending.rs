//! Accepted jobs wait for a rack that is full, and the instance that owns the rack is killed. The jobs that wait are no longer counted
//! as pending.

use std::{
    collections::BTreeSet,
    io, thread,
    time::{Duration, Instant},
};

use super::{job, job_id, step};
use crate::{
    fleet::{Fleet, Instance, Plan},
    json::{self, Value},
    record::Record,
    Verdict,
};

const SLOTS: u64 = 8;
const WAITING_JOBS: u64 = 18;
const MILLIS: u64 = 7_000;
const WAIT: Duration = Duration::from_millis(1_500);
/// `visible_ms` and 2 s: jobs that were accepted before that count.
const VISIBLE: Duration = Duration::from_millis(5_000);
/// How long the killed instance is down.
const DOWN: Duration = Duration::from_secs(1);
/// How long, and how often, the instances in touch are asked.
const ASKING: Duration = Duration::from_secs(12);
const INTERVAL: Duration = Duration::from_millis(100);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b", "c"],
        workers: &[("a", "r1", 1), ("b", "r2", 1), ("c", "r3", 1)],
        max_attempts: 3,
    };
    let mut fleet = Fleet::start(&plan)?;
    let on_rack = |count: u64| {
        let mut step = step(count, MILLIS);
        step.push(("affinity", "r1".into()));
        vec![step]
    };
    let mut jobs = BTreeSet::new();
    // The first job fills the endpoint of the rack.
    for n in 0..=WAITING_JOBS {
        let count = if n == 0 { SLOTS } else { 1 };
        let id = job_id(n);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let response =
            instance.send("POST", &id, &job(&MILLIS.to_string(), on_rack(count)), WAIT)?;
        record.add(format!(
            "POST {id} at {}: {}",
            instance.name, response.status
        ));
        if response.status != 200 {
            return Err(io::Error::other("a job wasn't accepted"));
        }
        jobs.insert(id);
    }
    thread::sleep(VISIBLE + Duration::from_millis(500));
    if trouble {
        // The instance in the zone of the rack owns it.
        let instance = &mut fleet.instances[0];
        record.add(format!("{} is killed", instance.name));
        instance.kill();
        thread::sleep(DOWN);
        fleet.restart(0)?;
        record.add("it is started again");
    }
    let end = Instant::now() + ASKING;
    let (mut asked, mut low) = (0, 0);
    while Instant::now() < end {
        for index in [1, 2] {
            let instance = &fleet.instances[index];
            let answer = pending(instance);
            // Counted after the answer: it only falls, and an answer that is older would have to be higher.
            let history = fleet.history();
            let begun = |id: &&String| history.iter().any(|run| run.task.starts_with(id.as_str()));
            let waiting = jobs.len() - jobs.iter().filter(begun).count();
            asked += 1;
            match answer {
                Some(answer) if answer * 2 < waiting as u64 => {
                    low += 1;
                    record.add(format!(
                        "GET {} says {answer} pending, when {waiting} haven't begun",
                        instance.name
                    ));
                }
                Some(answer) => record.add(format!(
                    "GET {}: {answer} pending of {waiting}",
                    instance.name
                )),
                None => record.add(format!("GET {}: no answer", instance.name)),
            }
        }
        thread::sleep(INTERVAL);
    }
    record.add(format!(
        "{low} of {asked} answers of instances in touch are under half"
    ));
    Ok(match low {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns the number of pending jobs as an instance tells it.
fn pending(instance: &Instance) -> Option<u64> {
    let response = instance.send("GET", "", &[], WAIT).ok()?;
    let body = json::parse(&response.body).unwrap_or(Value::Null);
    body.get("pending").as_u64()
}
