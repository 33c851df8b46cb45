//! CPU time, memory and traffic of instances without work, and the cost of a configuration change.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    fleet::Fleet,
    probe::{
        Metrics,
        Usage, //
    },
    records::{
        self,
        wait_until_in_force,
        Operator, //
    },
    report::{
        fit_line,
        two_decimals,
        Table, //
    },
    support::Result,
    Effort, //
};

/// Kinds of messages that an instance sends without work.
const IDLE_KINDS: [&str; 4] = ["peer-call", "table-read", "table-commit", "list-read"];

/// Index of the bytes to and from the platform in what [`Reading::since`] returns.
const PLATFORM_BYTES: usize = 2;

/// Index of the list reads there.
const LIST_READS: usize = 6;

/// Counters of all instances together, since they started.
struct Reading {
    at: Instant,
    cpu_us: f64,
    memory_bytes: f64,
    peer_bytes: f64,
    platform_bytes: f64,
    messages: Metrics,
}

impl Reading {
    /// Reads the counters of all instances and of the network between them.
    async fn read(fleet: &Fleet) -> Result<Self> {
        let (mut cpu_us, mut memory_bytes) = (0.0, 0.0);
        for instance in &fleet.instances {
            let usage = Usage::read(instance.process_id().ok_or("an instance has ended")?)?;
            cpu_us += usage.total_cpu_us();
            memory_bytes += usage.memory_bytes;
        }
        let network = fleet.network.as_ref().ok_or("no network")?;
        let (peer_bytes, platform_bytes) = network.bytes();
        Ok(Self {
            at: Instant::now(),
            cpu_us,
            memory_bytes,
            peer_bytes,
            platform_bytes,
            messages: Metrics::read(&fleet.caller_addresses()).await?,
        })
    }

    /// Returns the increase since `earlier`: CPU time in microseconds, bytes between instances, bytes to and from the
    /// platform, and messages by [`IDLE_KINDS`].
    ///
    /// A byte between two instances counts twice, once for each.
    fn since(&self, earlier: &Self) -> [f64; 7] {
        let messages = self.messages.since(&earlier.messages);
        let [peer_calls, table_reads, commits, list_reads] =
            IDLE_KINDS.map(|kind| messages.messages(kind));
        [
            self.cpu_us - earlier.cpu_us,
            2.0 * (self.peer_bytes - earlier.peer_bytes),
            self.platform_bytes - earlier.platform_bytes,
            peer_calls,
            table_reads,
            commits,
            list_reads,
        ]
    }
}

/// Measures idle costs and the cost of a change at several numbers of records in force, and prints a table.
pub(crate) async fn measure_record_counts(effort: Effort) -> Result {
    let columns = [
        "records in force",
        "idle CPU us/s",
        "idle peer bytes/s",
        "idle platform bytes/s",
        "idle table reads/s",
        "MiB",
        "CPU us a change",
        "peer bytes",
        "platform bytes",
        "commits",
    ];
    let mut table = Table::new(&columns);
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); columns.len() - 1];
    for n in [10, 100, 400, 1_000] {
        let fleet = records::start_fleet(7, 48).await?;
        let mut operator = Operator::default();
        for _ in 0..n {
            operator.submit_record(fleet.caller_addresses()[0]).await?;
        }
        let (rates, reading) = measure_idle(&fleet, effort).await?;
        let per_instance = rates.map(|rate| rate / 7.0);
        let memory = reading.memory_bytes / 7.0 / 1_048_576.0;
        let cost = measure_changes(&fleet, &mut operator, effort.pick(10, 50), rates).await?;
        let values = [
            per_instance[0],
            per_instance[1],
            per_instance[2],
            per_instance[4],
            memory,
            cost[0],
            cost[1],
            cost[2],
            cost[5],
        ];
        for (points, value) in points.iter_mut().zip(values) {
            points.push((n as f64, value));
        }
        table.add_row([n as f64].into_iter().chain(values).map(two_decimals));
        fleet.stop().await?;
    }
    add_fitted_rows(&mut table, &points);
    table.print(
        "Records in force: idle for each of 7 instances, and a change for all of them together",
    );
    Ok(())
}

/// Measures idle costs and the cost of a change at several numbers of instances and endpoints, and prints tables.
pub(crate) async fn run(effort: Effort) -> Result {
    measure_instance_counts(effort).await?;
    measure_endpoint_counts(effort).await
}

/// Returns the increase of each counter per second without work, and the last reading.
async fn measure_idle(fleet: &Fleet, effort: Effort) -> Result<([f64; 7], Reading)> {
    // Lets the work of the start-up end, which must not count.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = Reading::read(fleet).await?;
    tokio::time::sleep(Duration::from_secs(effort.pick(2, 15))).await;
    let after = Reading::read(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    Ok((after.since(&before).map(|v| v / seconds), after))
}

/// Measures idle costs and the cost of a change at several numbers of instances.
async fn measure_instance_counts(effort: Effort) -> Result {
    let columns = [
        "instances",
        "CPU us/s",
        "peer bytes/s",
        "platform bytes/s",
        "peer calls/s",
        "table reads/s",
        "commits/s",
        "list reads/s",
        "MiB",
    ];
    let mut idle_table = Table::new(&columns);
    let columns = [
        "instances",
        "CPU us",
        "peer bytes",
        "platform bytes",
        "peer calls",
        "table reads",
        "commits",
    ];
    let mut change_table = Table::new(&columns);
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); 14];
    let changes = effort.pick(10, 50);
    for n in [2, 4, 7, 20, 40] {
        let fleet = records::start_fleet(n, 48).await?;
        let (rates, reading) = measure_idle(&fleet, effort).await?;
        let per_instance = rates.map(|rate| rate / n as f64);
        let memory = reading.memory_bytes / n as f64 / 1_048_576.0;
        let row = [n as f64].into_iter().chain(per_instance).chain([memory]);
        idle_table.add_row(row.map(two_decimals));
        let cost = measure_changes(&fleet, &mut Operator::default(), changes, rates).await?;
        change_table.add_row([n as f64].into_iter().chain(cost).take(7).map(two_decimals));
        for (points, value) in points.iter_mut().zip(per_instance.into_iter().chain(cost)) {
            points.push((n as f64, value));
        }
        fleet.stop().await?;
    }
    add_fitted_rows(&mut idle_table, &points[..7]);
    add_fitted_rows(&mut change_table, &points[7..13]);
    idle_table.print("Without work, for each instance; 48 endpoints are listed");
    change_table
        .print("A change of the configuration, for all instances together, idle costs taken off");
    Ok(())
}

/// Makes changes one after the other, and returns the cost of one beyond the idle rates.
async fn measure_changes(
    fleet: &Fleet,
    operator: &mut Operator,
    changes: usize,
    idle: [f64; 7],
) -> Result<[f64; 7]> {
    let instances = fleet.caller_addresses();
    let before = Reading::read(fleet).await?;
    for i in 0..changes {
        let path = operator
            .submit_record(instances[i % instances.len()])
            .await?;
        wait_until_in_force(&instances, &path, Instant::now()).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let after = Reading::read(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let mut cost = after.since(&before);
    // List reads are few and large: the idle bytes to subtract follow their number, not the time.
    let list_intervals = cost[LIST_READS] / idle[LIST_READS];
    for (i, (cost, idle)) in cost.iter_mut().zip(idle).enumerate() {
        let idle_intervals = if i == PLATFORM_BYTES {
            list_intervals
        } else {
            seconds
        };
        *cost = (*cost - idle * idle_intervals) / changes as f64;
    }
    Ok(cost)
}

/// Adds two rows with the slope and the intercept of the line fitted to each column.
fn add_fitted_rows(table: &mut Table, points: &[Vec<(f64, f64)>]) {
    let fitted = points.iter().map(|points| fit_line(points));
    let fitted: Vec<_> = fitted.collect();
    let row = |name: &str, values: Vec<f64>| {
        let values = values.into_iter().map(|v| format!("{v:.3}"));
        [name.to_owned()].into_iter().chain(values)
    };
    let slopes = fitted.iter().map(|f| f.0).collect();
    let intercepts = fitted.iter().map(|f| f.1).collect();
    table.add_row(row("one more", slopes));
    table.add_row(row("at none", intercepts));
}

/// Measures idle costs of one instance at several numbers of listed endpoints.
async fn measure_endpoint_counts(effort: Effort) -> Result {
    let columns = ["listed endpoints", "CPU us/s", "platform bytes/s", "MiB"];
    let mut table = Table::new(&columns);
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); 3];
    for n in [48, 200, 1_300, 5_000] {
        let fleet = records::start_fleet(1, n).await?;
        let (rates, reading) = measure_idle(&fleet, effort).await?;
        let values = [rates[0], rates[2], reading.memory_bytes / 1_048_576.0];
        for (points, value) in points.iter_mut().zip(values) {
            points.push((n as f64, value));
        }
        table.add_row([n as f64].into_iter().chain(values).map(two_decimals));
        fleet.stop().await?;
    }
    add_fitted_rows(&mut table, &points);
    table.print("Listed endpoints, one instance without work");
    Ok(())
}
