//! Plays the whole path on the platform on loopback: a stand-in store, endpoints and instances; jobs, the death of an
//! instance, and a restart.
//!
//! The instances are processes of their own: this program starts itself again in their place.
#![allow(dead_code)] // The tests use more of the stand-ins.

#[path = "../tests/platform/fleet.rs"]
mod fleet;
#[path = "../tests/platform/runner.rs"]
mod runner;
#[path = "../tests/platform/store.rs"]
mod store;
#[path = "../tests/support.rs"]
mod support;

use std::{
    process::ExitCode,
    time::{
        Duration,
        Instant, //
    },
};

use fleet::Fleet;
use nix::sys::signal::Signal;
use support::Result;

const INSTANCES: usize = 3;
const ENDPOINTS: usize = 6;
/// How long a task sleeps.
const TASK: Duration = Duration::from_millis(60);
const JOBS: u64 = 30;
const TASKS: u32 = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "dispatch") {
        return poplarknot::cli::run(arguments);
    }
    let runtime = tokio::runtime::Runtime::new();
    let played = runtime
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(play()));
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn play() -> Result {
    let program = std::env::current_exe()?;
    let mut fleet = Fleet::start(&program, INSTANCES, ENDPOINTS, TASK).await?;
    println!("{INSTANCES} instances and {ENDPOINTS} endpoints are up; the store knows:");
    println!("  {}", fleet.store.keys("instances").join(", "));
    hand_in(&fleet, 0, "while all is well").await?;
    fleet.nodes[0].signal(Signal::SIGKILL)?;
    println!("{} is killed", fleet.nodes[0].name);
    tokio::time::sleep(Duration::from_secs(1)).await;
    hand_in(&fleet, 1, "by the two that are left").await?;
    let again = fleet.nodes[0].restart(&program).await?;
    again.wait_until_ready().await?;
    println!("{} is back", again.name);
    fleet.nodes[0] = again;
    hand_in(&fleet, 0, "by all three").await?;
    println!(
        "{} runs; no task ran twice at a time",
        fleet.assert_no_overlapping_runs()
    );
    Ok(())
}

/// Hands jobs in one after the other, at the instances from `first` on in turn.
async fn hand_in(fleet: &Fleet, first: usize, when: &str) -> Result {
    let mut slowest = Duration::ZERO;
    for n in 0..JOBS {
        let nodes = &fleet.nodes[first..];
        let node = &nodes[n as usize % nodes.len()];
        let begun = Instant::now();
        let id = rand::random();
        let answer = node.submit(id, TASKS, TASK.as_millis() as u64).await?;
        if answer.status != 200 {
            return Err(format!("a job was answered {}", answer.status).into());
        }
        slowest = slowest.max(begun.elapsed());
    }
    println!(
        "{JOBS} jobs of {TASKS} tasks of {} ms are complete {when}; the slowest took {} ms",
        TASK.as_millis(),
        slowest.as_millis()
    );
    Ok(())
}
