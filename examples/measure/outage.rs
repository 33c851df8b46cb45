//! What is served while the platform is down, and how soon a caller has the truth after a failure.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
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
        job,
        play,
        Arrival,
        Callers,
        Tally,
        Way, //
    },
    report::{
        two,
        Spread,
        Table, //
    },
    role::Order,
    support::Result,
    Effort,
};

/// How long each task runs in an outage, in milliseconds.
const SLEEP: u64 = 50;

/// How long each task runs that a failure meets, and after which time it does.
const LONG: u64 = 500;
const MIDDLE: Duration = Duration::from_millis(250);

/// Jobs that each failure meets.
const VICTIMS: usize = 20;

/// Measures and prints.
pub(crate) async fn run(effort: Effort) -> Result {
    served(effort).await?;
    failures().await?;
    shared_writes(effort).await
}

fn fleet(instances: usize, workers: usize) -> Builder {
    Builder {
        instances,
        workers,
        centres: CENTRES.len(),
        ..Builder::default()
    }
}

/// Makes arrivals of one-task jobs at an even rate over the instances.
fn even(instances: &[SocketAddr], way: Way, rate: f64, seconds: f64) -> Vec<Arrival> {
    let arrival = |i: usize| Arrival {
        at: Duration::from_secs_f64(i as f64 / rate),
        job: job([SLEEP]),
        ideal: SLEEP as f64,
        to: instances[i % instances.len()],
        way,
    };
    (0..(rate * seconds) as usize).map(arrival).collect()
}

/// Takes the share of each class that is served while the platform is down.
async fn served(effort: Effort) -> Result {
    let mut fleet = fleet(3, 16).start().await?;
    let instances = fleet.callers();
    let callers = Arc::new(Callers::default());
    let mut known = job([SLEEP]);
    known["key"] = json!("known-before");
    let first = callers.send(instances[0], true, &known).await?.0;
    if first.outcome != Outcome::Complete {
        return Err(format!("the first job gave {first:?}").into());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.platform(&Order::Down(true)).await?;
    let mut table = Table::new(&[
        "class",
        "jobs",
        "served, %",
        "median ms",
        "refusals: median ms",
        "not complete",
    ]);
    let seconds = effort.pick(1.0, 10.0);
    for way in Way::ALL.into_iter().chain([Way::Untold]) {
        let tally = play(&callers, even(&instances, way, 60.0, seconds)).await;
        table.row(outage_row(way.name(), &tally));
    }
    let names = ["known key at its owner", "known key elsewhere"];
    for (name, to) in names.into_iter().zip(&instances) {
        let (answer, took) = callers.send(*to, false, &known).await?;
        let mut cells = vec![name.to_owned(), "1".to_owned()];
        let complete = answer.outcome == Outcome::Complete;
        cells.push(if complete { "100.00" } else { "0.00" }.to_owned());
        cells.push(two(took.as_secs_f64() * 1e3));
        cells.extend([
            "".to_owned(),
            format!("{} ({})", answer.outcome, answer.reason),
        ]);
        table.row(cells);
    }
    table.print("While the platform is down: 3 instances, 60 jobs a second of one 50 ms task");
    fleet.platform(&Order::Down(false)).await?;
    let begin = Instant::now();
    loop {
        let answer = callers
            .submit(instances[0], Way::Fresh, job([SLEEP]))
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
    fleet.end().await
}

fn outage_row(name: &str, tally: &Tally) -> [String; 6] {
    [
        name.to_owned(),
        tally.jobs.to_string(),
        two(tally.share("complete") * 100.0),
        two(tally.times.median()),
        two(tally.others.median()),
        tally.rest(),
    ]
}

/// A job that a failure may meet: its answer, and when that came.
type Ended = (Result<Answer>, Instant);

/// Submits jobs of one long task each at the same time.
fn victims(callers: &Arc<Callers>, to: SocketAddr, jobs: Vec<(Way, Value)>) -> JoinSet<Ended> {
    let mut out = JoinSet::new();
    for (way, job) in jobs {
        let callers = callers.clone();
        out.spawn(async move {
            let answer = match job["key"].is_null() {
                true => callers.submit(to, way, job).await,
                false => callers.send(to, way == Way::Fresh, &job).await,
            };
            (answer.map(|(answer, _)| answer), Instant::now())
        });
    }
    out
}

/// Adds up the answers that came later than the undisturbed ones, or are not complete.
async fn late(mut out: JoinSet<Ended>, failed: Instant) -> Result<(Spread, String)> {
    let (mut times, mut words) = (Spread::default(), Tally::default());
    let usual = Duration::from_millis(LONG) - MIDDLE + Duration::from_millis(100);
    while let Some(ended) = out.join_next().await {
        let (answer, at) = ended?;
        let answer = answer?;
        let took = at.saturating_duration_since(failed);
        if answer.outcome == Outcome::Complete && took <= usual {
            continue;
        }
        times.time(took);
        let word = format!("{} ({})", answer.outcome, answer.reason);
        *words.outcomes.entry(word).or_default() += 1;
    }
    let words = words.outcomes.iter().map(|(word, n)| format!("{n} {word}"));
    Ok((times, words.collect::<Vec<_>>().join(", ")))
}

/// Takes the time from a failure to the caller's truthful answer.
async fn failures() -> Result {
    let mut table = Table::new(&[
        "failure",
        "class",
        "answers",
        "median ms",
        "worst ms",
        "told",
    ]);
    let mut row = |name: &str, way: Way, (times, words): (Spread, String)| {
        table.row([
            name.to_owned(),
            way.name().to_owned(),
            times.count().to_string(),
            two(times.median()),
            two(times.worst()),
            words,
        ]);
    };
    for way in [Way::NoKey, Way::Idempotent] {
        row("worker killed", way, worker(way, false).await?);
        row("connection silent", way, worker(way, true).await?);
    }
    for way in [Way::Fresh, Way::Range] {
        row("owner killed", way, owner(way, false).await?);
        row("owner frozen", way, owner(way, true).await?);
    }
    table.print("From a failure to the caller's answer, tasks of 500 ms hit in their middle");
    println!(
        "\nIdempotent tasks run again, for {LONG} ms. Where the owner failed, the caller resubmits elsewhere at once."
    );
    Ok(())
}

/// Fails half of the workers, or their open connections, while each runs a task.
async fn worker(way: Way, silent: bool) -> Result<(Spread, String)> {
    let builder = Builder {
        proxied: silent,
        centres: 1,
        ..fleet(1, 2 * VICTIMS)
    };
    let mut fleet = builder.start().await?;
    let callers = Arc::new(Callers::default());
    let jobs = (0..2 * VICTIMS).map(|_| (way, job([LONG]))).collect();
    let out = victims(&callers, fleet.instances[0].callers, jobs);
    tokio::time::sleep(MIDDLE).await;
    let failed = Instant::now();
    if silent {
        fleet
            .proxies
            .iter()
            .take(VICTIMS)
            .for_each(|p| p.blackhole_open());
    } else {
        fleet.workers(|i| i < VICTIMS, Order::Kill).await?;
    }
    let late = late(out, failed).await?;
    fleet.end().await?;
    Ok(late)
}

/// Kills or freezes the instance that owns the jobs; their callers resubmit them at another one.
async fn owner(way: Way, frozen: bool) -> Result<(Spread, String)> {
    let mut fleet = fleet(3, 16).start().await?;
    let (owner, other) = (fleet.instances[0].callers, fleet.instances[1].callers);
    let callers = Arc::new(Callers::default());
    let mut jobs = Vec::new();
    for _ in 0..VICTIMS {
        let mut job = job([LONG]);
        job["key"] = json!(callers.key(owner, way).await?);
        jobs.push((way, job));
    }
    let mut first = victims(&callers, owner, jobs.clone());
    tokio::time::sleep(MIDDLE).await;
    let failed = Instant::now();
    hit(&mut fleet, frozen).await?;
    for (way, _) in &mut jobs {
        *way = Way::Untold;
    }
    let late = late(victims(&callers, other, jobs), failed).await?;
    if frozen {
        fleet.instances[0].resume()?;
        while first.join_next().await.is_some() {}
    } else {
        fleet.instances.remove(0);
    }
    fleet.end().await?;
    Ok(late)
}

async fn hit(fleet: &mut Fleet, frozen: bool) -> Result {
    match frozen {
        true => fleet.instances[0].pause(),
        false => fleet.instances[0].kill().await,
    }
}

/// Takes the added response time of both ways to a claim, with the table's writes shared by 7 instances.
async fn shared_writes(effort: Effort) -> Result {
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
        ..fleet(7, 48)
    };
    let fleet = fleet.start().await?;
    let callers = Arc::new(Callers::default());
    let instances = fleet.callers();
    play(&callers, even(&instances, Way::Range, 200.0, 1.0)).await;
    for rate in [35.0, 350.0, 1_400.0] {
        let mut base = None;
        for way in [Way::Idempotent, Way::Range, Way::Fresh] {
            let tally = play(
                &callers,
                even(&instances, way, rate, effort.pick(1.0, 15.0)),
            )
            .await;
            let median = tally.times.median();
            table.row([
                rate.to_string(),
                way.name().to_owned(),
                tally.jobs.to_string(),
                two(median),
                two(tally.times.at(0.99)),
                two(median - *base.get_or_insert(median)),
                tally.rest(),
            ]);
        }
    }
    table.print("7 instances that share 300 writes a second, jobs of one 50 ms task");
    fleet.end().await
}
