//! Retries while half of the endpoints fail every task: the messages for each task must stay bounded.

use std::sync::Arc;

use crate::{
    fleet::CENTRES,
    load::{
        submit_on_schedule,
        Arrival,
        Callers,
        KeySource, //
    },
    placement::{
        self,
        is_odd_in_centre, //
    },
    probe::Metrics,
    report::{
        three_decimals,
        two_decimals,
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

/// Measures successive spans of time with the same load, and prints a table.
pub(crate) async fn run(effort: Effort) -> Result {
    let mut table = Table::new(&[
        "seconds",
        "jobs",
        "complete, %",
        "starts a task",
        "messages a task",
        "mean over ideal",
        "not complete",
    ]);
    let mut fleet = placement::start_fleet(CENTRES.len(), 16).await?;
    fleet
        .send_to_workers(is_odd_in_centre, Request::Fail)
        .await?;
    let instances = fleet.caller_addresses();
    let callers = Arc::new(Callers::default());
    let step = effort.pick(2.0, 10.0);
    for round in 0..5_u64 {
        let workload = Workload {
            seed: round,
            load: 0.35,
            slots: 384,
            seconds: step,
            declared_factor: (1.0, 1.0),
            tasks: None,
        };
        let arrivals = trace::generate_jobs(workload);
        let arrivals = arrivals
            .iter()
            .map(|job| Arrival::from_trace(job, &instances, KeySource::Idempotent));
        let before = Metrics::read(&instances).await?;
        let tally = submit_on_schedule(&callers, arrivals.collect()).await;
        let spent = Metrics::read(&instances).await?.since(&before);
        let tasks = tally.tasks as f64;
        table.add_row([
            format!("{} to {}", round as f64 * step, (round + 1) as f64 * step),
            tally.jobs.to_string(),
            two_decimals(tally.share("complete") * 100.0),
            three_decimals(spent.get("task_starts_total") / tasks),
            three_decimals(spent.task_and_peer_messages() / tasks),
            three_decimals(tally.ratios.mean()),
            tally.describe_incomplete(),
        ]);
    }
    table.print("Half of 48 workers fail everything, idempotent jobs at load 0.35 of all");
    fleet.stop().await
}
