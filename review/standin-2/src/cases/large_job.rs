//! Large jobs come at once, while accepted jobs run. The rows that such a job would need in the store exceed `row_bytes`.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use super::{job, job_id, step};
use crate::{
    fleet::{Fleet, Plan},
    json::{object, Value},
    record::Record,
    Verdict,
};

const SMALL_JOBS: u64 = 40;
const SMALL_MILLIS: u64 = 5_000;
const LARGE_JOBS: u64 = 3;
/// The steps of a large job, each of one task. Its body is below `max_body_bytes` by far.
const LARGE_STEPS: u64 = 600;
/// How often a caller sends a large job, and its pause after no response or a 504: `retry_ms`.
const ATTEMPTS: usize = 3;
const RETRY: Duration = Duration::from_millis(1_300);
/// How long a caller waits for a response.
const WAIT: Duration = Duration::from_millis(1_500);
/// `finish_s`, and how long jobs are asked for after that.
const FINISH: Duration = Duration::from_secs(14);
const ASKING: Duration = Duration::from_secs(12);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["a", "b", "c"],
        workers: &[("a", "r1", 2), ("b", "r2", 2), ("c", "r3", 2)],
        max_attempts: 3,
    };
    let fleet = Fleet::start(&plan)?;
    let mut accepted = Vec::new();
    for n in 0..SMALL_JOBS {
        let body = job(&SMALL_MILLIS.to_string(), vec![step(1, SMALL_MILLIS)]);
        let instance = &fleet.instances[n as usize % fleet.instances.len()];
        let id = job_id(n);
        let response = instance.send("POST", &id, &body, WAIT)?;
        record.add(format!(
            "POST {id} at {}: {}",
            instance.name, response.status
        ));
        if response.status == 200 {
            accepted.push(id);
        }
    }
    if accepted.len() < SMALL_JOBS as usize {
        return Err(io::Error::other("not all small jobs were accepted"));
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        thread::scope(|scope| {
            for n in 0..LARGE_JOBS {
                let fleet = &fleet;
                scope.spawn(move || send_large(fleet, record, n));
            }
        });
    }
    record.add("the traffic has ended");
    thread::sleep(FINISH);
    for fault in fleet.store.oversized().iter().take(5) {
        record.add(format!("the store refused {fault}"));
    }
    let refused = fleet.store.oversized().len();
    record.add(format!("the store refused {refused} calls for their size"));
    let unknown = ask(&fleet, record, &accepted);
    for run in fleet
        .history()
        .iter()
        .filter(|run| accepted.iter().any(|id| run.task.starts_with(id)))
    {
        let end = run
            .ended
            .map_or("runs".to_owned(), |(_, how)| how.to_owned());
        record.add_at(
            run.started_at,
            format!("run {} of {} on {}: {end}", run.run, run.task, run.endpoint),
        );
    }
    record.add(format!(
        "{} of {} accepted jobs got no answer",
        unknown,
        accepted.len()
    ));
    Ok(match unknown {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends a large job until it gets an answer other than 504, at another instance each time.
fn send_large(fleet: &Fleet, record: &Record, n: u64) {
    let id = job_id(1_000 + n);
    let mut steps = Vec::new();
    for index in 0..LARGE_STEPS {
        let mut small = step(1, 10);
        if index > 0 {
            small.push(("after", vec![Value::from(index - 1)].into()));
        }
        steps.push(small);
    }
    let body = job("10", steps);
    let steps = LARGE_STEPS;
    record.add(format!(
        "large job {id}: {steps} steps, {} bytes",
        body.len()
    ));
    for attempt in 0..ATTEMPTS {
        let instance = &fleet.instances[(n as usize + attempt) % fleet.instances.len()];
        let status = match instance.send("POST", &id, &body, WAIT) {
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.add(format!("POST {id} at {}: {status}", instance.name));
        if ["200", "503", "429", "404", "400", "413"].contains(&status.as_str()) {
            return;
        }
        thread::sleep(RETRY);
    }
}

/// Asks for the accepted jobs until each got an answer with its state; returns how many got none.
fn ask(fleet: &Fleet, record: &Record, accepted: &[String]) -> usize {
    let unknown = thread::scope(|scope| {
        let asked = accepted.iter().enumerate().map(|(n, id)| {
            scope.spawn(move || {
                let end = Instant::now() + ASKING;
                let mut answers = Vec::new();
                while Instant::now() < end {
                    let instance = &fleet.instances[(n + answers.len()) % fleet.instances.len()];
                    let state = instance.state(id, Duration::from_secs(4));
                    let known = ["queued", "running", "completed"].contains(&state.as_str());
                    answers.push(state);
                    if known {
                        break;
                    }
                    thread::sleep(Duration::from_millis(300));
                }
                let list = answers
                    .iter()
                    .map(|answer| answer.as_str().into())
                    .collect::<Vec<Value>>();
                let line = object(vec![("job", id.as_str().into()), ("answers", list.into())]);
                record.add(format!("GET {}", line.render()));
                let last = answers.last().map_or("", String::as_str);
                usize::from(!["queued", "running", "completed"].contains(&last))
            })
        });
        let asked: Vec<_> = asked.collect();
        asked
            .into_iter()
            .map(|thread| thread.join().unwrap_or(1))
            .sum()
    });
    unknown
}
