//! Placement under load: response time over the ideal, compared with one queue for all slots.

use std::sync::Arc;

use crate::{
    fleet::{
        Builder,
        Fleet,
        CENTRES, //
    },
    load::{
        submit_on_schedule,
        Arrival,
        Callers,
        KeySource,
        Tally, //
    },
    policy,
    probe::Metrics,
    report::{
        three_decimals,
        Distribution,
        Table, //
    },
    role::Request,
    support::Result,
    trace::{
        self,
        Workload, //
    },
    Effort, //
};

/// Workers of the fleet.
pub(crate) const WORKERS: usize = 48;

/// Slots of each worker.
pub(crate) const SLOTS: u32 = 8;

/// Instances of the fleet.
pub(crate) const INSTANCES: usize = 6;

/// A fault of some workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// One worker in ten runs all tasks three times slower.
    TenthSlow,
    /// Half of the workers are killed halfway through.
    HalfKilled,
}

/// The conditions of one row of the table.
struct Setting {
    name: &'static str,
    centres: usize,
    /// The most tasks that an instance may have outstanding at one endpoint.
    outstanding: u32,
    workload: Workload,
    key_source: KeySource,
    fault: Fault,
}

/// Returns the settings in the order of the rows; the short effort leaves out the last two.
fn build_settings(effort: Effort) -> Vec<Setting> {
    let workload = |load: f64| Workload {
        seed: 1,
        load,
        slots: WORKERS as u32 * SLOTS,
        seconds: effort.pick(4.0, 20.0),
        declared_factor: (1.0, 1.0),
        tasks: None,
    };
    let setting = |name, workload| Setting {
        name,
        centres: CENTRES.len(),
        outstanding: 16,
        workload,
        key_source: KeySource::NoKey,
        fault: Fault::None,
    };
    let bursts = Workload {
        tasks: Some(210),
        ..workload(0.7)
    };
    let wrong_estimates = Workload {
        declared_factor: (0.2, 5.0),
        ..workload(0.9)
    };
    let slow = Setting {
        fault: Fault::TenthSlow,
        ..setting("0.6, 10 % of the workers 3 times slower", workload(0.6))
    };
    let half_killed = |name, key_source| Setting {
        key_source,
        fault: Fault::HalfKilled,
        ..setting(name, workload(0.35))
    };
    let one_centre = |name, load| Setting {
        centres: 1,
        ..setting(name, workload(load))
    };
    let bounded = |name, load| Setting {
        outstanding: 4,
        ..setting(name, workload(load))
    };
    let mut settings = vec![
        setting("0.7", workload(0.7)),
        setting("0.9", workload(0.9)),
        one_centre("0.9, all in one data centre", 0.9),
        bounded("0.9, 4 outstanding at most", 0.9),
        setting("0.7, bursts of 210 tasks", bursts),
        setting("0.9, declared times off by 0.2 to 5", wrong_estimates),
        slow,
        half_killed("0.35, half of the workers gone, once", KeySource::NoKey),
        half_killed("0.35, the same, idempotent", KeySource::Idempotent),
        one_centre("0.7, all in one data centre", 0.7),
        bounded("0.7, 4 outstanding at most", 0.7),
    ];
    settings.truncate(effort.pick(settings.len() - 2, settings.len()));
    settings
}

/// Measures every setting on processes, then every policy in a simulation, and prints tables.
pub(crate) async fn run(effort: Effort) -> Result {
    let mut table = Table::new(&[
        "load",
        "jobs",
        "mean",
        "p50",
        "p99",
        "one queue: mean",
        "p50",
        "p99",
        "mean over it",
        "messages a task",
        "not complete",
    ]);
    for setting in build_settings(effort) {
        let mut fleet = start_fleet(setting.centres, setting.outstanding).await?;
        let jobs = trace::generate_jobs(setting.workload);
        let (tally, messages) = run_setting(&mut fleet, &jobs, &setting).await?;
        let single_queue = trace::simulate_one_queue(&jobs, setting.workload.slots);
        let summarize = |s: &Distribution| {
            [
                three_decimals(s.mean()),
                three_decimals(s.median()),
                three_decimals(s.quantile(0.99)),
            ]
        };
        let mut cells = vec![setting.name.to_owned(), tally.jobs.to_string()];
        cells.extend(summarize(&tally.ratios));
        cells.extend(summarize(&single_queue));
        cells.push(three_decimals(tally.ratios.mean() / single_queue.mean()));
        cells.push(three_decimals(messages / tally.tasks as f64));
        cells.push(tally.describe_incomplete());
        table.add_row(cells);
        fleet.stop().await?;
    }
    table.print("Response time over ideal: 48 workers of 8 slots, 6 instances in 3 data centres");
    policy::run(effort)
}

/// Starts a fleet of [`WORKERS`] workers and [`INSTANCES`] instances; each instance may have `outstanding` tasks at an endpoint.
pub(crate) async fn start_fleet(centres: usize, outstanding: u32) -> Result<Fleet> {
    let builder = Builder {
        instances: INSTANCES,
        workers: WORKERS,
        slots: SLOTS,
        centres,
        processes: 4,
        ..Builder::default()
    };
    let builder = builder.set("limits", "outstanding", outstanding);
    builder.start().await
}

/// Returns whether a worker has an odd index within its data centre; half of them have.
pub(crate) fn is_odd_in_centre(worker: usize) -> bool {
    worker / CENTRES.len() % 2 == 1
}

/// Submits the jobs under the fault of the setting, and returns their tally and the messages to and from endpoints and peers.
async fn run_setting(
    fleet: &mut Fleet,
    jobs: &[trace::Job],
    setting: &Setting,
) -> Result<(Tally, f64)> {
    if setting.fault == Fault::TenthSlow {
        let slow = |indices| Request::Slow(indices, 3.0);
        fleet.send_to_workers(|i| i % 10 == 0, slow).await?;
    }
    let instances = fleet.caller_addresses();
    let arrivals = jobs.iter();
    let arrivals = arrivals.map(|job| Arrival::from_trace(job, &instances, setting.key_source));
    let arrivals: Vec<Arrival> = arrivals.collect();
    let before = Metrics::read(&instances).await?;
    let callers = Arc::new(Callers::default());
    let submitting = tokio::spawn(async move { submit_on_schedule(&callers, arrivals).await });
    if setting.fault == Fault::HalfKilled {
        let middle = std::time::Duration::from_secs_f64(setting.workload.seconds / 2.0);
        tokio::time::sleep(middle).await;
        fleet
            .send_to_workers(is_odd_in_centre, Request::Kill)
            .await?;
    }
    let tally = submitting.await?;
    let spent = Metrics::read(&instances).await?.since(&before);
    Ok((tally, spent.task_and_peer_messages()))
}
