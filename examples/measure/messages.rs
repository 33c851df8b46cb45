//! Messages by kind for each task and job, next to the minimum of one start and one answer.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    fleet::Builder,
    load::{
        sleep_job,
        Callers,
        KeySource, //
    },
    probe::Metrics,
    report::{
        three_decimals,
        Table, //
    },
    support::Result,
    Effort, //
};

/// How long each task runs, in milliseconds.
const TASK_MS: u64 = 20;

/// Kinds of messages that instances also send without work.
const BACKGROUND_KINDS: [&str; 3] = ["peer-call", "table-read", "list-read"];

/// Measures the messages of jobs of several sizes and key sources, and prints a table.
pub(crate) async fn run(effort: Effort) -> Result {
    let builder = Builder {
        instances: 2,
        ..Builder::default()
    };
    let mut fleet = builder.start().await?;
    let callers = Callers::default();
    let instances = fleet.caller_addresses();
    let idle_rate = measure_idle_rates(&instances, effort.pick(4, 20)).await?;
    let mut table = Table::new(&[
        "tasks",
        "way",
        "starts at workers a task",
        "answers a task",
        "looks and stops a task",
        "commits a job",
        "table reads a job",
        "objects a job",
        "peer calls a job",
    ]);
    for tasks in [1, 12, 100] {
        for key_source in KeySource::ALL {
            let (before, started) = (
                Metrics::read(&instances).await?,
                fleet.worker_counters().await?,
            );
            let (begin, jobs) = (Instant::now(), effort.pick(25, 200));
            for _ in 0..jobs {
                let job = sleep_job(vec![TASK_MS; tasks]);
                callers.submit(instances[0], key_source, job).await?;
            }
            // Instances store outcomes after they have answered.
            tokio::time::sleep(Duration::from_millis(200)).await;
            let seconds = begin.elapsed().as_secs_f64();
            let spent = Metrics::read(&instances).await?.since(&before);
            let starts = fleet.worker_counters().await?.starts - started.starts;
            let (jobs, all_tasks) = (jobs as f64, jobs as f64 * tasks as f64);
            let per_job_above_idle =
                |kind: &str| (spent.messages(kind) - idle_rate(kind) * seconds).max(0.0) / jobs;
            table.add_row([
                tasks.to_string(),
                key_source.name().to_owned(),
                three_decimals(starts as f64 / all_tasks),
                three_decimals(spent.messages("reply") / all_tasks),
                three_decimals((spent.messages("look") + spent.messages("stop")) / all_tasks),
                three_decimals(spent.messages("table-commit") / jobs),
                three_decimals(per_job_above_idle("table-read")),
                three_decimals(spent.messages("object") / jobs),
                three_decimals(per_job_above_idle("peer-call")),
            ]);
        }
    }
    table.print("Messages, one job after the other; needed are one start and one answer a task");
    let rates = BACKGROUND_KINDS.map(|kind| format!("{} {kind}", three_decimals(idle_rate(kind))));
    println!(
        "\nWithout work, two instances send {} a second; that is taken off above.",
        rates.join(", ")
    );
    fleet.stop().await
}

/// Measures without work, and returns a function from the kind of a message to its number per second.
async fn measure_idle_rates(
    instances: &[std::net::SocketAddr],
    seconds: u64,
) -> Result<impl Fn(&str) -> f64> {
    let before = Metrics::read(instances).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let spent = Metrics::read(instances).await?.since(&before);
    Ok(move |kind: &str| spent.messages(kind) / seconds as f64)
}
