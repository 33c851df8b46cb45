//! The guarantees that must hold, whatever happened.

use std::collections::{
    HashMap,
    HashSet, //
};

use super::{
    fleet::PREFIX,
    report,
    support::wait_until,
    world::World, //
};

/// The states in which a stored job has ended.
const END_STATES: [&str; 2] = ["completed", "failed"];

/// Queries every accepted stored job, at all instances in turn, until it has ended.
pub(crate) async fn wait_for_stored_jobs(world: &World) {
    let accepted = world.ledger.lock().unwrap().accepted.clone();
    for (id, tasks) in accepted {
        let mut turn = 0;
        let end = wait_until("a stored job has ended", || {
            turn += 1;
            let instance = world.slots[turn % world.slots.len()].current();
            async move {
                let answer = instance.get(&format!("{PREFIX}{id:016x}")).await.ok()?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                END_STATES.into_iter().find(|state| text.contains(state))
            }
        });
        let end = end.await;
        let mut ledger = world.ledger.lock().unwrap();
        match end {
            Ok(state) => {
                *ledger.ends.entry(format!("stored {state}")).or_default() += 1;
                if state == "completed" {
                    ledger.completed.insert(id, tasks);
                }
            }
            Err(error) => ledger.violations.push(format!("{id:016x}: {error}")),
        }
    }
}

/// Returns the violations.
pub(crate) fn find_violations(world: &World) -> Vec<String> {
    let mut violations = find_overlaps(world);
    violations.append(&mut world.ledger.lock().unwrap().violations);
    violations.extend(find_untrue_answers(world));
    violations
}

/// Describes each pair of runs of one task at a time, with the submissions of its job.
fn find_overlaps(world: &World) -> Vec<String> {
    let overlaps = world.fleet.find_overlaps();
    let overlap = overlaps.iter().map(|[one, other]| {
        let job = one.1.task.split('.').next().unwrap_or_default();
        let ledger = world.ledger.lock().unwrap();
        let submissions = ledger.history.iter().filter(|(_, e)| e.starts_with(job));
        let submissions: Vec<String> = submissions.map(|(at, e)| format!("{at} {e}")).collect();
        format!(
            "two runs at a time: {} and {}; {}",
            report::describe_run(world, &one.0, &one.1),
            report::describe_run(world, &other.0, &other.1),
            submissions.join("; ")
        )
    });
    overlap.collect()
}

/// Returns the answers that contradict what endpoints ran.
fn find_untrue_answers(world: &World) -> Vec<String> {
    let mut done: HashMap<String, HashSet<String>> = HashMap::new();
    let mut started: HashSet<String> = HashSet::new();
    for run in world.fleet.endpoints.iter().flat_map(|e| e.history()) {
        let job = run.task.split('.').next().unwrap_or_default().to_owned();
        started.insert(job.clone());
        if run.outcome == "done" {
            done.entry(job).or_default().insert(run.task);
        }
    }
    let ledger = world.ledger.lock().unwrap();
    let mut violations = Vec::new();
    for (id, tasks) in &ledger.completed {
        let count = done.get(&format!("{id:016x}")).map_or(0, HashSet::len);
        if count < *tasks {
            violations.push(format!(
                "{id:016x} was answered as completed, but only {count} of {tasks} tasks were done"
            ));
        }
    }
    for (id, refused) in &ledger.refused {
        if *refused && started.contains(&format!("{id:016x}")) {
            violations.push(format!(
                "{id:016x} was answered as not run, but a task had started"
            ));
        }
    }
    if ledger.completed.is_empty() {
        violations.push("no job was completed".to_owned());
    }
    violations
}
