//! Response time of jobs through an instance, compared with the same tasks sent straight to the workers.

use std::time::Instant;

use serde_json::json;

use crate::{
    fleet::Builder,
    load::{
        sleep_job,
        Callers,
        DirectClient,
        KeySource,
        Pool, //
    },
    report::{
        three_decimals,
        two_decimals,
        Distribution,
        Table, //
    },
    support::Result,
    Effort, //
};

/// How long each task runs, in milliseconds.
const TASK_MS: u64 = 50;

/// Rounds that open connections and fill caches before any counts.
const WARM_UP_ROUNDS: usize = 5;

/// Measures direct work and all key sources in turn, so that load on the machine affects them alike, and prints a table.
pub(crate) async fn run(effort: Effort) -> Result {
    let fleet = Builder::default().start().await?;
    let callers = Callers::default();
    let direct = DirectClient::new(&fleet.entries)?;
    let to = fleet.instances[0].caller_address;
    let mut table = Table::new(&[
        "tasks",
        "way",
        "median ms",
        "p99 ms",
        "over direct",
        "median more, ms",
    ]);
    for tasks in [1, 12, 100] {
        let sleeps_ms = vec![TASK_MS; tasks];
        let mut direct_ms = Distribution::default();
        let mut times_by_source =
            KeySource::ALL.map(|key_source| (key_source, Distribution::default()));
        for round in 0..WARM_UP_ROUNDS + effort.pick(20, 100) {
            let took = direct.run(&sleeps_ms).await?;
            if round >= WARM_UP_ROUNDS {
                direct_ms.add_duration(took);
            }
            for (key_source, times) in &mut times_by_source {
                let (answer, took) = callers
                    .submit(to, *key_source, sleep_job(sleeps_ms.clone()))
                    .await?;
                if answer.results.len() != tasks {
                    return Err(format!("{} gave {answer:?}", key_source.name()).into());
                }
                if round >= WARM_UP_ROUNDS {
                    times.add_duration(took);
                }
            }
        }
        let mut row = |name: &str, times: &Distribution| {
            table.add_row([
                tasks.to_string(),
                name.to_owned(),
                two_decimals(times.median()),
                two_decimals(times.quantile(0.99)),
                three_decimals(times.median() / direct_ms.median()),
                two_decimals(times.median() - direct_ms.median()),
            ]);
        };
        row("direct", &direct_ms);
        times_by_source
            .iter()
            .for_each(|(key_source, times)| row(key_source.name(), times));
    }
    table.print("Response time of jobs of 50 ms tasks");
    let writes = measure_table_writes(fleet.platform_address, effort.pick(20, 100)).await?;
    println!(
        "\nOne table write straight from a client: median {} ms, p99 {} ms.",
        two_decimals(writes.median()),
        two_decimals(writes.quantile(0.99))
    );
    fleet.stop().await
}

/// Returns the response times of single writes to the table, in milliseconds.
async fn measure_table_writes(
    platform: std::net::SocketAddr,
    writes: usize,
) -> Result<Distribution> {
    let pool = Pool::default();
    let mut times = Distribution::default();
    for i in 0..writes {
        let write = json!({"key": format!("measure/{i}"), "value": "1"});
        let commit = json!({"groups": [{"conditions": [], "writes": [write]}]});
        let begin = Instant::now();
        let body = serde_json::to_vec(&commit)?;
        pool.post(platform, "/table/commit", &[], body).await?;
        times.add_duration(begin.elapsed());
    }
    Ok(times)
}
