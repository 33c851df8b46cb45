//! Runs jobs on loopback against a stand-in store, endpoints and several instances, while one instance is killed and restarted.
//!
//! Instances are separate processes: this program starts itself again with the arguments of `poplarknot dispatch`.
#![allow(dead_code)] // The modules shared with the tests have more than this example uses.

#[path = "../tests/platform/endpoint.rs"]
mod endpoint;
#[path = "../tests/platform/fleet.rs"]
mod fleet;
#[path = "../tests/platform/store.rs"]
mod store;
#[path = "../tests/support.rs"]
mod support;

use std::{
    process::ExitCode,
    time::{
        Duration,
        Instant, //
    }, //
};

use fleet::Fleet;
use nix::sys::signal::Signal;
use support::Result;

const INSTANCES: usize = 3;
const ENDPOINTS: usize = 6;

/// How long a task sleeps.
const TASK_DURATION: Duration = Duration::from_millis(60);

/// Jobs submitted in each phase.
const JOBS: u64 = 30;
const TASKS_PER_JOB: u32 = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments
        .first()
        .is_some_and(|argument| argument == "dispatch")
    {
        return poplarknot::cli::run(arguments);
    }
    let runtime = tokio::runtime::Runtime::new();
    let result = runtime
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(demonstrate()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Submits jobs before, during and after the outage of an instance, and checks that no task ran twice at a time.
async fn demonstrate() -> Result {
    let program = std::env::current_exe()?;
    let mut fleet = Fleet::start(&program, INSTANCES, ENDPOINTS, TASK_DURATION).await?;
    println!("{INSTANCES} instances and {ENDPOINTS} endpoints are up; the store knows:");
    println!("  {}", fleet.store.keys("instances").join(", "));
    submit_jobs(&fleet, 0, "while all is well").await?;
    fleet.instances[0].signal(Signal::SIGKILL)?;
    println!("{} is killed", fleet.instances[0].name);
    tokio::time::sleep(Duration::from_secs(1)).await;
    submit_jobs(&fleet, 1, "by the two that are left").await?;
    let restarted = fleet.instances[0].restart(&program).await?;
    restarted.wait_until_ready().await?;
    println!("{} is back", restarted.name);
    fleet.instances[0] = restarted;
    submit_jobs(&fleet, 0, "by all three").await?;
    println!(
        "{} runs; no task ran twice at a time",
        fleet.assert_no_overlapping_runs()
    );
    Ok(())
}

/// Submits [`JOBS`] jobs one after the other, round robin over the instances from index `first` on.
///
/// `when` completes the printed line.
async fn submit_jobs(fleet: &Fleet, first: usize, when: &str) -> Result {
    let mut slowest = Duration::ZERO;
    for n in 0..JOBS {
        let instances = &fleet.instances[first..];
        let instance = &instances[n as usize % instances.len()];
        let begin = Instant::now();
        let id = rand::random();
        let answer = instance
            .submit(id, TASKS_PER_JOB, TASK_DURATION.as_millis() as u64)
            .await?;
        if answer.status != 200 {
            return Err(format!("a job was answered {}", answer.status).into());
        }
        slowest = slowest.max(begin.elapsed());
    }
    println!(
        "{JOBS} jobs of {TASKS_PER_JOB} tasks of {} ms are complete {when}; the slowest took {} ms",
        TASK_DURATION.as_millis(),
        slowest.as_millis()
    );
    Ok(())
}
