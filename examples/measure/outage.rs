//! Jobs served while the platform is down, and the time from a failure to a correct answer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use poplarknot::prelude::*;
use serde_json::{
    json,
    Value, //
};
use tokio::task::JoinSet;

use crate::{
    fleet::{
        Builder,
        Fleet,
        CENTRES, //
    },
    load::{
        sleep_job,
        submit_on_schedule,
        Arrival,
        Callers,
        KeySource,
        Tally, //
    },
    report::{
        two_decimals,
        Distribution,
        Table, //
    },
    role::Request,
    support::Result,
    Effort, //
};

/// How long each task runs in an outage, in milliseconds.
const TASK_MS: u64 = 50;

/// How long each task runs that a failure interrupts, in milliseconds.
const LONG_TASK_MS: u64 = 500;

/// How long after the submission the failure comes.
const FAILURE_DELAY: Duration = Duration::from_millis(250);

/// Jobs that each failure interrupts.
const AFFECTED_JOBS: usize = 20;

/// Measures outages of the platform, failures of workers and owners, and shared table writes, and prints tables.
pub(crate) async fn run(effort: Effort) -> Result {
    measure_outage(effort).await?;
    measure_failures().await?;
    measure_shared_writes(effort).await
}

/// Returns the builder of a fleet in all data centres.
fn fleet_builder(instances: usize, workers: usize) -> Builder {
    Builder {
        instances,
        workers,
        centres: CENTRES.len(),
        ..Builder::default()
    }
}

/// Returns arrivals of one-task jobs, `rate` a second, round robin over the instances.
fn even_arrivals(
    instances: &[SocketAddr],
    key_source: KeySource,
    rate: f64,
    seconds: f64,
) -> Vec<Arrival> {
    let arrival = |i: usize| Arrival {
        due: Duration::from_secs_f64(i as f64 / rate),
        job: sleep_job([TASK_MS]),
        ideal: TASK_MS as f64,
        to: instances[i % instances.len()],
        key_source,
    };
    (0..(rate * seconds) as usize).map(arrival).collect()
}

/// Measures the share of jobs that is served while the platform is down, by key source.
async fn measure_outage(effort: Effort) -> Result {
    let mut fleet = fleet_builder(3, 16).start().await?;
    let instances = fleet.caller_addresses();
    let callers = Arc::new(Callers::default());
    let mut answered_job = sleep_job([TASK_MS]);
    answered_job["key"] = json!("known-before");
    let first = callers.send(instances[0], true, &answered_job).await?.0;
    if first.outcome != Outcome::Complete {
        return Err(format!("the first job gave {first:?}").into());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.send_to_platform(&Request::Down(true)).await?;
    let mut table = Table::new(&[
        "class",
        "jobs",
        "served, %",
        "median ms",
        "refusals: median ms",
        "not complete",
    ]);
    let seconds = effort.pick(1.0, 10.0);
    for key_source in KeySource::ALL
        .into_iter()
        .chain([KeySource::FreshUndeclared])
    {
        let tally = submit_on_schedule(
            &callers,
            even_arrivals(&instances, key_source, 60.0, seconds),
        )
        .await;
        table.add_row(outage_row(key_source.name(), &tally));
    }
    let names = ["known key at its owner", "known key elsewhere"];
    for (name, to) in names.into_iter().zip(&instances) {
        let (answer, took) = callers.send(*to, false, &answered_job).await?;
        let mut cells = vec![name.to_owned(), "1".to_owned()];
        let complete = answer.outcome == Outcome::Complete;
        cells.push(if complete { "100.00" } else { "0.00" }.to_owned());
        cells.push(two_decimals(took.as_secs_f64() * 1e3));
        cells.extend([
            "".to_owned(),
            format!("{} ({})", answer.outcome, answer.reason),
        ]);
        table.add_row(cells);
    }
    table.print("While the platform is down: 3 instances, 60 jobs a second of one 50 ms task");
    fleet.send_to_platform(&Request::Down(false)).await?;
    let begin = Instant::now();
    loop {
        let answer = callers
            .submit(instances[0], KeySource::Fresh, sleep_job([TASK_MS]))
            .await?
            .0;
        if answer.outcome == Outcome::Complete {
            break;
        }
    }
    println!(
        "\nFrom the platform's return to a fresh key that ran: {:.0?}.",
        begin.elapsed()
    );
    fleet.stop().await
}

/// Returns a row of the table of [`measure_outage`].
fn outage_row(name: &str, tally: &Tally) -> [String; 6] {
    [
        name.to_owned(),
        tally.jobs.to_string(),
        two_decimals(tally.share("complete") * 100.0),
        two_decimals(tally.complete_ms.median()),
        two_decimals(tally.incomplete_ms.median()),
        tally.describe_incomplete(),
    ]
}

/// The answer to a job, and when it came.
type TimedAnswer = (Result<Answer>, Instant);

/// Submits jobs at the same time, and returns the tasks that wait for their answers.
fn submit_concurrently(
    callers: &Arc<Callers>,
    to: SocketAddr,
    jobs: Vec<(KeySource, Value)>,
) -> JoinSet<TimedAnswer> {
    let mut pending = JoinSet::new();
    for (key_source, job) in jobs {
        let callers = callers.clone();
        pending.spawn(async move {
            let answer = match job["key"].is_null() {
                true => callers.submit(to, key_source, job).await,
                false => callers.send(to, key_source == KeySource::Fresh, &job).await,
            };
            (answer.map(|(answer, _)| answer), Instant::now())
        });
    }
    pending
}

/// Returns the delays since the failure, and the outcomes, of jobs that ended later than without a failure or are not complete.
async fn collect_delayed(
    mut pending: JoinSet<TimedAnswer>,
    failed: Instant,
) -> Result<(Distribution, String)> {
    let (mut delays, mut tally) = (Distribution::default(), Tally::default());
    let undisturbed =
        Duration::from_millis(LONG_TASK_MS) - FAILURE_DELAY + Duration::from_millis(100);
    while let Some(ended) = pending.join_next().await {
        let (answer, answered_at) = ended?;
        let answer = answer?;
        let took = answered_at.saturating_duration_since(failed);
        if answer.outcome == Outcome::Complete && took <= undisturbed {
            continue;
        }
        delays.add_duration(took);
        let outcome = format!("{} ({})", answer.outcome, answer.reason);
        *tally.outcomes.entry(outcome).or_default() += 1;
    }
    let outcomes = tally
        .outcomes
        .iter()
        .map(|(outcome, n)| format!("{n} {outcome}"));
    Ok((delays, outcomes.collect::<Vec<_>>().join(", ")))
}

/// Measures the time from a failure to the caller's answer.
async fn measure_failures() -> Result {
    let mut table = Table::new(&[
        "failure",
        "class",
        "answers",
        "median ms",
        "worst ms",
        "told",
    ]);
    let mut row =
        |name: &str, key_source: KeySource, (delays, outcomes): (Distribution, String)| {
            table.add_row([
                name.to_owned(),
                key_source.name().to_owned(),
                delays.count().to_string(),
                two_decimals(delays.median()),
                two_decimals(delays.max()),
                outcomes,
            ]);
        };
    for key_source in [KeySource::NoKey, KeySource::Idempotent] {
        row(
            "worker killed",
            key_source,
            fail_workers(key_source, false).await?,
        );
        row(
            "connection silent",
            key_source,
            fail_workers(key_source, true).await?,
        );
    }
    for key_source in [KeySource::Fresh, KeySource::Range] {
        row(
            "owner killed",
            key_source,
            fail_owner(key_source, false).await?,
        );
        row(
            "owner frozen",
            key_source,
            fail_owner(key_source, true).await?,
        );
    }
    table.print("From a failure to the caller's answer, tasks of 500 ms hit in their middle");
    println!(
        "\nIdempotent tasks run again, for {LONG_TASK_MS} ms. Where the owner failed, the caller resubmits elsewhere at once."
    );
    Ok(())
}

/// Kills half of the workers, or silences their open connections, while each worker runs a task.
async fn fail_workers(key_source: KeySource, silent: bool) -> Result<(Distribution, String)> {
    let builder = Builder {
        proxied: silent,
        centres: 1,
        ..fleet_builder(1, 2 * AFFECTED_JOBS)
    };
    let mut fleet = builder.start().await?;
    let callers = Arc::new(Callers::default());
    let jobs = (0..2 * AFFECTED_JOBS)
        .map(|_| (key_source, sleep_job([LONG_TASK_MS])))
        .collect();
    let pending = submit_concurrently(&callers, fleet.instances[0].caller_address, jobs);
    tokio::time::sleep(FAILURE_DELAY).await;
    let failed = Instant::now();
    if silent {
        fleet
            .proxies
            .iter()
            .take(AFFECTED_JOBS)
            .for_each(|p| p.blackhole_open_connections());
    } else {
        fleet
            .send_to_workers(|i| i < AFFECTED_JOBS, Request::Kill)
            .await?;
    }
    let delayed = collect_delayed(pending, failed).await?;
    fleet.stop().await?;
    Ok(delayed)
}

/// Kills or freezes the instance that owns the jobs, and resubmits them to another one.
async fn fail_owner(key_source: KeySource, frozen: bool) -> Result<(Distribution, String)> {
    let mut fleet = fleet_builder(3, 16).start().await?;
    let (owner, other) = (
        fleet.instances[0].caller_address,
        fleet.instances[1].caller_address,
    );
    let callers = Arc::new(Callers::default());
    let mut jobs = Vec::new();
    for _ in 0..AFFECTED_JOBS {
        let mut job = sleep_job([LONG_TASK_MS]);
        job["key"] = json!(callers.new_key(owner, key_source).await?);
        jobs.push((key_source, job));
    }
    let mut first = submit_concurrently(&callers, owner, jobs.clone());
    tokio::time::sleep(FAILURE_DELAY).await;
    let failed = Instant::now();
    fail_instance(&mut fleet, frozen).await?;
    for (key_source, _) in &mut jobs {
        *key_source = KeySource::FreshUndeclared;
    }
    let delayed = collect_delayed(submit_concurrently(&callers, other, jobs), failed).await?;
    if frozen {
        fleet.instances[0].resume()?;
        while first.join_next().await.is_some() {}
    } else {
        fleet.instances.remove(0);
    }
    fleet.stop().await?;
    Ok(delayed)
}

/// Freezes or kills the first instance.
async fn fail_instance(fleet: &mut Fleet, frozen: bool) -> Result {
    match frozen {
        true => fleet.instances[0].pause(),
        false => fleet.instances[0].kill().await,
    }
}

/// Measures the response time by key source, where 7 instances share the limit of table writes.
async fn measure_shared_writes(effort: Effort) -> Result {
    let mut table = Table::new(&[
        "jobs/s",
        "way",
        "jobs",
        "median ms",
        "p99 ms",
        "median more, ms",
        "not complete",
    ]);
    let fleet = Builder {
        workers: 48,
        ..fleet_builder(7, 48)
    };
    let fleet = fleet.start().await?;
    let callers = Arc::new(Callers::default());
    let instances = fleet.caller_addresses();
    submit_on_schedule(
        &callers,
        even_arrivals(&instances, KeySource::Range, 200.0, 1.0),
    )
    .await;
    for rate in [35.0, 350.0, 1_400.0] {
        let mut base = None;
        for key_source in [KeySource::Idempotent, KeySource::Range, KeySource::Fresh] {
            let tally = submit_on_schedule(
                &callers,
                even_arrivals(&instances, key_source, rate, effort.pick(1.0, 15.0)),
            )
            .await;
            let median = tally.complete_ms.median();
            table.add_row([
                rate.to_string(),
                key_source.name().to_owned(),
                tally.jobs.to_string(),
                two_decimals(median),
                two_decimals(tally.complete_ms.quantile(0.99)),
                two_decimals(median - *base.get_or_insert(median)),
                tally.describe_incomplete(),
            ]);
        }
    }
    table.print("7 instances that share 300 writes a second, jobs of one 50 ms task");
    fleet.stop().await
}
