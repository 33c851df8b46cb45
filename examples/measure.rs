//! Measures poplarknot over real processes on loopback, and prints tables.
//!
//! `cargo run --release --example measure [--long] [CASE]...` runs the named cases, or all of them in short
//! form. This program starts itself again as the platform, as workers and as instances, each in a process of its own.

#[path = "../tests/support.rs"]
mod support;

#[path = "measure/control.rs"]
mod control;
#[path = "measure/fleet.rs"]
mod fleet;
#[path = "measure/load.rs"]
mod load;
#[path = "measure/messages.rs"]
mod messages;
#[path = "measure/outage.rs"]
mod outage;
#[path = "measure/placement.rs"]
mod placement;
#[path = "measure/policy.rs"]
mod policy;
#[path = "measure/probe.rs"]
mod probe;
#[path = "measure/records.rs"]
mod records;
#[path = "measure/report.rs"]
mod report;
#[path = "measure/response.rs"]
mod response;
#[path = "measure/role.rs"]
mod role;
#[path = "measure/storm.rs"]
mod storm;
#[path = "measure/throughput.rs"]
mod throughput;
#[path = "measure/trace.rs"]
mod trace;

use std::process::ExitCode;

use support::Result;

/// How many repetitions a case makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effort {
    /// Few: all cases together take minutes.
    Short,
    /// Enough for stable p99 values.
    Long,
}

impl Effort {
    /// Returns `short` or `long`, whichever belongs to this effort.
    pub(crate) fn pick<T>(self, short: T, long: T) -> T {
        match self {
            Self::Short => short,
            Self::Long => long,
        }
    }
}

/// Names of the cases, in the order in which they run.
const CASES: [&str; 9] = [
    "response",
    "messages",
    "throughput",
    "control",
    "stock",
    "placement",
    "outage",
    "records",
    "storm",
];

fn main() -> ExitCode {
    let owned: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = owned.iter().map(String::as_str).collect();
    let result = match arguments.as_slice() {
        ["platform"] => block_on(2, role::run_platform()),
        ["workers", entries] => block_on(2, role::run_workers(entries)),
        ["instance", ..] => return poplarknot::cli::run(owned[1..].iter().cloned()),
        arguments => block_on(4, measure(arguments)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future to its end on a new runtime of `threads` threads.
fn block_on(threads: usize, work: impl std::future::Future<Output = Result>) -> Result {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime
        .worker_threads(threads)
        .enable_all()
        .build()?
        .block_on(work)
}

/// Runs the cases that the arguments name, or all if they name none.
async fn measure(arguments: &[&str]) -> Result {
    let effort = match arguments.contains(&"--long") {
        true => Effort::Long,
        false => Effort::Short,
    };
    let selected: Vec<&str> = arguments
        .iter()
        .copied()
        .filter(|a| *a != "--long")
        .collect();
    if let Some(unknown) = selected.iter().find(|name| !CASES.contains(name)) {
        return Err(format!("{unknown} is no case; there are {}", CASES.join(", ")).into());
    }
    for case in CASES {
        if selected.is_empty() || selected.contains(&case) {
            run_case(case, effort).await?;
        }
    }
    Ok(())
}

/// Runs one of [`CASES`].
async fn run_case(case: &str, effort: Effort) -> Result {
    match case {
        "response" => response::run(effort).await,
        "messages" => messages::run(effort).await,
        "throughput" => throughput::run(effort).await,
        "control" => control::run(effort).await,
        "stock" => control::measure_record_counts(effort).await,
        "outage" => outage::run(effort).await,
        "records" => records::run(effort).await,
        "placement" => placement::run(effort).await,
        "storm" => storm::run(effort).await,
        _ => Ok(()),
    }
}
