//! Capacity of one instance: starts per second, CPU time per start and job, and memory per kept job.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    fleet::{
        Builder,
        Fleet, //
    },
    load::{
        sleep_job,
        submit_on_schedule,
        Arrival,
        Callers,
        KeySource,
        Tally, //
    },
    probe::{
        Metrics,
        Usage, //
    },
    report::{
        fit_line,
        two_decimals,
        Table, //
    },
    support::Result,
    Effort, //
};

/// How long each task runs, in milliseconds.
const TASK_MS: u64 = 20;

/// Names of the threads of an instance.
const THREADS: [&str; 5] = ["callers", "endpoints", "platform", "peers", "decisions"];

/// Loads offered one after the other, in starts per second.
const OFFERED_STARTS_PER_S: [f64; 10] = [1e3, 2e3, 5e3, 10e3, 15e3, 20e3, 25e3, 30e3, 40e3, 50e3];

/// Loads under which memory is measured: tasks of each job, and jobs per second.
const MEMORY_LOADS: [(usize, f64); 2] = [(1, 1_500.0), (12, 500.0)];

/// Measures the saturation, the CPU time and the memory of an instance, and prints tables.
pub(crate) async fn run(effort: Effort) -> Result {
    measure_saturation(effort).await?;
    measure_cpu_per_start(effort).await?;
    measure_memory(effort).await
}

/// Starts one instance, with more worker slots than the offered loads need.
async fn start_fleet() -> Result<Fleet> {
    let builder = Builder {
        workers: 48,
        slots: 32,
        processes: 4,
        ..Builder::default()
    };
    let builder = builder.set("limits", "connections", 16_384);
    builder.set("limits", "outstanding", 32).start().await
}

/// Submits jobs of `tasks` tasks at `rate` starts per second; returns their tally and the CPU time and memory of the instance.
async fn offer_load(
    fleet: &Fleet,
    key_source: KeySource,
    tasks: usize,
    rate: f64,
    seconds: f64,
) -> Result<(Tally, Usage)> {
    let callers = Arc::new(Callers::default());
    let gap = tasks as f64 / rate;
    let arrival = |i: usize| Arrival {
        due: Duration::from_secs_f64(i as f64 * gap),
        job: sleep_job(vec![TASK_MS; tasks]),
        ideal: TASK_MS as f64,
        to: fleet.instances[0].caller_address,
        key_source,
    };
    let arrivals = (0..(seconds / gap) as usize).map(arrival).collect();
    let process = fleet.instances[0]
        .process_id()
        .ok_or("the instance has ended")?;
    let before = Usage::read(process)?;
    let tally = submit_on_schedule(&callers, arrivals).await;
    Ok((tally, Usage::read(process)?.since(&before)))
}

/// Raises the offered load until two successive steps double the p99 or leave jobs incomplete.
async fn measure_saturation(effort: Effort) -> Result {
    let fleet = start_fleet().await?;
    offer_load(&fleet, KeySource::NoKey, 12, OFFERED_STARTS_PER_S[0], 1.0).await?;
    let columns = [
        "offered starts/s",
        "jobs",
        "p50 ms",
        "p99 ms",
        "not complete",
        "cores",
    ];
    let mut table = Table::new(&[&columns[..], &THREADS].concat());
    let (mut lowest_p99, mut carried, mut overloaded_steps) = (f64::MAX, 0.0, 0);
    for rate in OFFERED_STARTS_PER_S {
        let seconds = effort.pick(2.0, 10.0);
        let (tally, usage) = offer_load(&fleet, KeySource::NoKey, 12, rate, seconds).await?;
        let p99 = tally.complete_ms.quantile(0.99);
        let cells = [
            rate.to_string(),
            tally.jobs.to_string(),
            two_decimals(tally.complete_ms.median()),
            two_decimals(p99),
            tally.describe_incomplete(),
            two_decimals(usage.total_cpu_us() / seconds / 1e6),
        ];
        let threads = THREADS.map(|name| two_decimals(usage.cpu_us_of(name) / seconds / 1e6));
        table.add_row(cells.into_iter().chain(threads));
        lowest_p99 = lowest_p99.min(p99);
        if p99 <= 2.0 * lowest_p99 && tally.share("complete") == 1.0 {
            (carried, overloaded_steps) = (rate, 0);
            continue;
        }
        // A single slow step may come from other load on the machine.
        overloaded_steps += 1;
        if overloaded_steps == 2 {
            break;
        }
    }
    table.print("One instance, jobs of 12 tasks of 20 ms; processor time in cores, by thread");
    println!("\nCarried before the p99 doubled: {carried} starts a second.");
    fleet.stop().await
}

/// Fits the CPU time per start and per job to jobs of several sizes.
async fn measure_cpu_per_start(effort: Effort) -> Result {
    let fleet = start_fleet().await?;
    offer_load(&fleet, KeySource::NoKey, 12, 1e3, 1.0).await?;
    let mut table = Table::new(&[&["tasks a job", "jobs", "us a job"][..], &THREADS].concat());
    let mut points = Vec::new();
    for tasks in [1, 12, 100, 210] {
        let (tally, usage) = offer_load(
            &fleet,
            KeySource::NoKey,
            tasks,
            4_000.0,
            effort.pick(3.0, 15.0),
        )
        .await?;
        let jobs = tally.jobs as f64;
        points.push((tasks as f64, usage.total_cpu_us() / jobs));
        let cells = [
            tasks.to_string(),
            tally.jobs.to_string(),
            two_decimals(usage.total_cpu_us() / jobs),
        ];
        let threads = THREADS.map(|name| two_decimals(usage.cpu_us_of(name) / jobs));
        table.add_row(cells.into_iter().chain(threads));
    }
    table.print("Processor time of one instance at 4,000 starts a second, in microseconds a job");
    let (us_per_start, us_per_job) = fit_line(&points);
    println!(
        "\nLeast squares: {} us a job and {} us a start.",
        two_decimals(us_per_job),
        two_decimals(us_per_start)
    );
    fleet.stop().await
}

/// Compares the memory at rest with that after many jobs, with and without kept answers.
async fn measure_memory(effort: Effort) -> Result {
    let kept_jobs = effort.pick(2_000.0, 10_000.0);
    let columns = [
        "tasks a job",
        "MiB at rest",
        "kept jobs",
        "MiB",
        "bytes a job",
        "counted a job",
    ];
    let mut table = Table::new(&columns);
    // Jobs without a key are not kept, so the difference between the two is the memory of the kept ones.
    let key_sources = [KeySource::NoKey, KeySource::Range];
    let kinds = MEMORY_LOADS
        .iter()
        .flat_map(|load| key_sources.map(|key_source| (load, key_source)));
    for ((tasks, jobs_per_s), key_source) in kinds {
        let fleet = start_fleet().await?;
        let process = fleet.instances[0]
            .process_id()
            .ok_or("the instance has ended")?;
        let at_rest = Usage::read(process)?.memory_bytes;
        let rate = jobs_per_s * *tasks as f64;
        let (tally, _) =
            offer_load(&fleet, key_source, *tasks, rate, kept_jobs / jobs_per_s).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let after = Usage::read(process)?.memory_bytes;
        let metrics = Metrics::read(&fleet.caller_addresses()).await?;
        let kept = metrics.get("answers_kept");
        table.add_row([
            tasks.to_string(),
            two_decimals(at_rest / 1_048_576.0),
            format!("{kept} of {}", tally.jobs),
            two_decimals(after / 1_048_576.0),
            two_decimals((after - at_rest) / kept_jobs),
            two_decimals(metrics.get("answers_kept_bytes") / kept_jobs),
        ]);
        fleet.stop().await?;
    }
    table.print("Memory of one instance");
    Ok(())
}
