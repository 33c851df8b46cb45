//! Orders of events in which a task could run at two owners at a time.
//!
//! [`World`] checks after each event that no task runs on two endpoints that are up.

use std::collections::HashMap;

use poplarknot::{
    dispatch::{
        durable::record::Progress,
        entry::Entry,
        id::{
            JobId,
            Life,
            TaskId, //
        },
        message::{
            Cause,
            Contact,
            Listing,
            Message,
            Vacancy, //
        },
        owner::Effects,
        task::{
            AcceptedJob,
            Resources,
            Step,
            Submission, //
        }, //
    },
    prelude::*, //
};

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// How long the tasks take. Each order of events is over by then.
const TASK: Span = Span::seconds(6);

/// Returns the shape of a job whose caller waits until its tasks are done.
fn patient() -> Shape {
    Shape {
        wait: Span::seconds(20),
        ..Shape::default()
    }
}

/// What happens to the instance that gets a rack back.
#[derive(Clone, Copy)]
enum Absence {
    Restart,
    Pause,
}

/// Lets an instance lose its racks, and get one back from the only other instance of its data centre while tasks of an entry of the
/// other data centre run there. `cut` says whether the path between the entry and that instance is broken.
fn return_rack_with_runs(seed: u64, absence: Absence, cut: bool) {
    let mut world = World::new(seed, 4, 6, NO_FAULTS);
    if cut {
        world.disconnect_at(Span(0), 0, 3, Span::seconds(60));
    }
    let (after, span) = (Span::millis(10), Span::millis(2_500));
    match absence {
        Absence::Restart => world.kill_at(after, 3, span),
        Absence::Pause => world.suspend_at(after, 3, span),
    }
    // Fills the racks of the entry's data centre, and half of the others.
    world.submit_at(Span::millis(3_500), 0, (72, 1_000, TASK), patient());
    world.run(Span::seconds(10));
    assert!(world.log_count("rack_handed_over") > 0);
}

/// A rack moves to an instance that hasn't heard the entry of its batches since it started, as the path between them is broken. The
/// entry takes the batches for lost and places them again, so the new owner must not extend the leases of their runs.
#[test]
fn rack_moves_to_an_instance_that_has_never_heard_the_entry() {
    for seed in 0..8 {
        return_rack_with_runs(seed, Absence::Restart, true);
    }
}

/// The same with a pause in place of the restart: the instance forgets which entries it has lost.
#[test]
fn rack_moves_to_an_instance_that_has_not_heard_the_entry_since_a_pause() {
    for seed in 0..8 {
        return_rack_with_runs(seed, Absence::Pause, true);
    }
}

/// The same orders of events with the path intact: the batches move with the rack.
#[test]
fn rack_moves_to_an_instance_that_hears_the_entry() {
    for seed in 0..8 {
        return_rack_with_runs(seed, Absence::Restart, false);
        return_rack_with_runs(seed, Absence::Pause, false);
    }
}

/// An entry dies, an instance starts that hasn't heard it, and an owner that hasn't noticed the death hands a rack over to that
/// instance. Nothing tells the new owner that the entry is dead, and its caller submits the job elsewhere.
#[test]
fn drain_after_the_death_of_an_entry_hands_its_runs_to_a_new_instance() {
    for seed in 0..8 {
        let mut world = World::with_queues(seed, (1, 1), 4, 8, NO_FAULTS);
        world.kill_at(Span(0), 2, Span::seconds(3));
        world.submit_at(Span::millis(2_500), 0, (96, 1_000, TASK), patient());
        world.kill_at(Span::millis(2_990), 0, Span::seconds(20));
        world.drain_at(Span::millis(3_250), 1);
        world.run(Span::seconds(9));
    }
}

/// The same order, but the instance has heard the entry before its death: it notices the death and stops the runs.
#[test]
fn drain_after_the_death_of_an_entry_hands_its_runs_to_an_instance_that_has_heard_it() {
    for seed in 0..8 {
        let mut world = World::with_queues(seed, (1, 1), 4, 8, NO_FAULTS);
        world.kill_at(Span(0), 2, Span::millis(2_000));
        world.submit_at(Span::millis(2_500), 0, (96, 1_000, TASK), patient());
        world.kill_at(Span::millis(2_990), 0, Span::seconds(20));
        world.drain_at(Span::millis(3_250), 1);
        world.run(Span::seconds(9));
    }
}

/// Kills an entry, and an owner of its jobs' racks `apart` later. Its callers submit the jobs again 1.3 s after the first death.
fn kill_entry_and_owner(seed: u64, apart: Span) {
    let mut world = World::with_queues(seed, (1, 1), 4, 8, NO_FAULTS);
    for _ in 0..24 {
        world.submit_at(Span::millis(500), 0, (4, 1_000, TASK), patient());
    }
    world.kill_at(Span::millis(1_500), 0, Span::seconds(20));
    world.kill_at(Span::millis(1_500) + apart, 1, Span::seconds(20));
    world.run(Span::seconds(6));
}

/// An owner dies after an entry, just before it would have noticed that. Nobody stops its runs, and the leases that it has extended
/// until its own death outlive the pause of the callers.
#[test]
fn owner_dies_before_it_notices_the_death_of_an_entry() {
    for seed in 0..8 {
        kill_entry_and_owner(seed, Span::millis(480));
    }
}

/// Both die at the same time: the leases end before the callers are back.
#[test]
fn owner_dies_together_with_an_entry() {
    for seed in 0..8 {
        kill_entry_and_owner(seed, Span(0));
    }
}

/// Stops half of the instances, and starts them again after `down` while they don't reach the others. A stored job runs at the
/// others then.
fn restart_beyond_partition(seed: u64, down: Span) {
    let mut world = World::new(seed, 4, 4, NO_FAULTS);
    world.store_jobs();
    world.partition_at(Span(0), &[0, 2], Span::seconds(90));
    for i in [1, 3] {
        world.kill_at(Span::millis(10), i, down);
    }
    let work = (24, 1_000, Span::seconds(12));
    world.submit_at(Span(down.0 - 500_000), 0, work, patient());
    world.run(down + Span::seconds(11));
}

/// Instances start more than 30 s after the others have lost them, and don't reach these. They take the shards over, and the former
/// coordinator must find that out although nothing of the shards is written meanwhile.
#[test]
fn coordinator_checks_its_locks_after_a_long_partition() {
    for seed in 0..4 {
        restart_beyond_partition(seed, Span::seconds(33));
    }
}

/// The same order of events within the 30 s in which coordinators check their locks.
#[test]
fn coordinator_checks_its_locks_after_a_short_partition() {
    for seed in 0..4 {
        restart_beyond_partition(seed, Span::seconds(15));
    }
}

/// The connection of a caller breaks and its entry doesn't learn of it, as the packet that says so is lost. The caller submits the
/// job again 1.3 s later at another entry, while the first one keeps its tasks running.
#[test]
fn break_of_a_callers_connection_that_its_entry_does_not_see() {
    for seed in 0..4 {
        let mut world = World::with_queues(seed, (1, 1), 3, 6, NO_FAULTS);
        for (after, entry) in [(500, 0), (1_800, 1)] {
            let tasks = (4, 1_000, Span::seconds(3));
            world.submit_job_again_at(Span::millis(after), entry, JobId(7), tasks);
        }
        world.run(Span::seconds(6));
    }
}

/// Runs the tasks of a stored job of one task from now on, and returns the batch that it was placed in.
fn place_stored_job(entry: &mut Entry, owner: &Contact) -> u64 {
    let need = Resources {
        cpu: 1_000,
        memory: 64,
        gpu: 0,
    };
    let listing = Listing {
        id: "w-1".parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: "w-1:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: vec!["r".to_owned()],
        capacity: need,
        draining: false,
    };
    entry.set_endpoints([&listing]);
    entry.set_owners(&HashMap::from([(listing.rack_id(), owner.clone())]));
    let vacancy = Vacancy {
        rack: listing.rack_id(),
        free: vec![need],
        movable: 0,
        backlog: 0,
    };
    entry.update_rooms(&owner.name, vec![vacancy]);
    let record = AcceptedJob {
        submission: Submission {
            id: JobId(7),
            spec: "cell".to_owned(),
            steps: vec![Step {
                count: 1,
                need,
                estimate: Span::millis(60),
                ..Step::default()
            }],
            best_effort: false,
            unsupported: None,
        },
        route: "queue".to_owned(),
        service: "cells".to_owned(),
        attempts: 3,
        priority: 0,
        objective: Span::seconds(1),
    };
    let (now, mut out) = (Time(1_000_000), Effects::default());
    entry.run_stored(JobId(7), &record, &Progress::new(&record), now, now);
    entry.start_due_stored(now, &mut out);
    let serial = out.messages.iter().find_map(|(_, message)| match message {
        Message::Batch(batch) => Some(batch.serial),
        _ => None,
    });
    serial.unwrap()
}

/// A rack's owner returns a task whose run it can no longer see, the entry places the task in a second batch, and then the end of the
/// first run is stored. The second batch may still wait. Its owner must be told that the task is done, or it starts the task after
/// the job was shown as completed.
#[test]
fn owner_is_told_that_a_task_of_its_batch_is_done_elsewhere() {
    let contact = Contact {
        name: "owner".parse().unwrap(),
        address: "owner:1".to_owned(),
    };
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    let first = place_stored_job(&mut entry, &contact);
    let (now, mut out) = (Time(2_000_000), Effects::default());
    entry.on_tasks_returned(first, vec![0], true, Cause::Lost, now, &mut out);
    let later = now + Span::seconds(2);
    entry.run_due(later, &mut out);
    let is_batch = |(_, message): &(Contact, Message)| matches!(message, Message::Batch(_));
    assert!(out.messages.iter().any(is_batch), "not placed again");
    let mut out = Effects::default();
    let task = TaskId {
        job: JobId(7),
        step: 0,
        index: 0,
    };
    entry.on_task_done(task, later, &mut out);
    let is_to_owner = |(to, _): &(Contact, Message)| to.name == contact.name;
    assert!(
        out.messages.iter().any(is_to_owner),
        "the owner of the second batch isn't told"
    );
}
