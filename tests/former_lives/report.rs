//! Reports of a seed, with all that is needed to trace a violation.

use std::path::{
    Path,
    PathBuf, //
};

use super::{
    endpoint::{
        Execution,
        LateCall, //
    },
    support::Result,
    world::World, //
};

/// Describes a run and where it was, with times since 1970 in milliseconds.
pub(crate) fn describe_run(world: &World, endpoint: &str, run: &Execution) -> String {
    let start = world.unix_time(run.started_at);
    let end = run.ended_at.map_or(0, |end| world.unix_time(end));
    let late = match run.late {
        true => ", late start",
        false => "",
    };
    format!(
        "{} run {} at {endpoint} (life {}) from {start} to {end} ({}{late})",
        run.task, run.run, run.life, run.outcome
    )
}

/// Describes a call that was carried out late, with times since 1970 in milliseconds.
fn describe_late_call(world: &World, endpoint: &str, call: &LateCall) -> String {
    let (sent, arrived) = (
        world.unix_time(call.sent_at),
        world.unix_time(call.arrived_at),
    );
    let accepted = match call.accepted {
        true => "accepted",
        false => "fenced",
    };
    format!(
        "{sent} {endpoint} {} to life {} arrived at {arrived} in life {}, {accepted}: {}",
        call.path, call.sent_to, call.reached, call.body
    )
}

/// Prints a summary, and writes the logs if there are violations.
pub(crate) fn print(seed: u64, world: &World, violations: &[String]) -> Result {
    let endpoints = || world.fleet.endpoints.iter();
    let late_starts = endpoints()
        .flat_map(|endpoint| endpoint.late_calls())
        .filter(|call| call.is_start_of_former_life());
    let (mut count, mut accepted) = (0, 0);
    for start in late_starts {
        count += 1;
        accepted += usize::from(start.accepted);
    }
    let runs: usize = endpoints().map(|endpoint| endpoint.history().len()).sum();
    println!(
        "seed {seed}, {:?}: {} violations, {runs} runs, {count} starts of former lives ({accepted} not fenced), {:?}",
        world.trouble,
        violations.len(),
        world.ledger.lock().unwrap().ends
    );
    if !violations.is_empty() {
        let folder = write_files(seed, world, violations)?;
        println!("  {}", violations[0]);
        println!("  logs are in {}", folder.display());
    }
    Ok(())
}

/// Writes the logs of all instances, and the faults, runs and late calls, to files that remain after the test.
fn write_files(seed: u64, world: &World, violations: &[String]) -> Result<PathBuf> {
    let name = format!("former-lives-{:?}-{seed}", world.trouble);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder)?;
    for slot in &world.slots {
        let instance = slot.current();
        let log = slot.log.lock().unwrap().clone() + &instance.log();
        std::fs::write(folder.join(&instance.name), log)?;
    }
    let ledger = world.ledger.lock().unwrap();
    let lines = ledger.history.iter();
    let lines: String = lines.map(|(at, event)| format!("{at} {event}\n")).collect();
    std::fs::write(folder.join("history"), lines)?;
    let (mut runs, mut calls) = (String::new(), String::new());
    for endpoint in &world.fleet.endpoints {
        for run in endpoint.history() {
            runs += &(describe_run(world, &endpoint.id, &run) + "\n");
        }
        for call in endpoint.late_calls() {
            calls += &(describe_late_call(world, &endpoint.id, &call) + "\n");
        }
    }
    std::fs::write(folder.join("runs"), runs)?;
    std::fs::write(folder.join("late-calls"), calls)?;
    std::fs::write(folder.join("violations"), violations.join("\n"))?;
    Ok(folder)
}
