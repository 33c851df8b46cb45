//! Stored jobs: an accepted job completes, and none of its tasks runs twice, as long as the store keeps its data.

use poplarknot::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

use super::{
    world::{
        Faults,
        World, //
    },
    NO_FAULTS, //
};

fn storing_world(seed: u64, instances: usize, faults: Faults) -> World {
    let mut world = World::new(seed, instances, 4, faults);
    world.store_jobs();
    world
}

/// Without faults every job of two steps is accepted, and each of its tasks runs once.
#[test]
fn tasks_run_once_without_faults() {
    let mut world = storing_world(1, 3, NO_FAULTS);
    world.submit_jobs(40, Span::millis(150));
    world.run(Span::seconds(12));
    assert_eq!(world.finish_and_check_stored(), 40);
    let runs: usize = world.endpoints.iter().map(|w| w.history.len()).sum();
    let tasks: usize = world.task_count();
    assert_eq!(runs, tasks, "a task was started twice");
}

/// A coordinator crashes. The next one must read the jobs and ended runs from the store, wait until the runs of the former one
/// have ended, and run the rest.
#[test]
fn next_coordinator_finishes_the_jobs() {
    for seed in 0..10 {
        let mut world = storing_world(seed, 3, NO_FAULTS);
        world.submit_jobs(40, Span::millis(150));
        world.kill_at(Span::millis(2_000), seed as usize % 3, Span::seconds(1));
        world.kill_at(Span::millis(5_500), 1 + seed as usize % 2, Span::seconds(1));
        world.run(Span::seconds(12));
        assert!(world.finish_and_check_stored() > 30);
    }
}

/// All instances crash at once, and only the store survives.
#[test]
fn jobs_survive_a_crash_of_all_instances() {
    for seed in 0..5 {
        let mut world = storing_world(seed, 3, NO_FAULTS);
        world.submit_jobs(40, Span::millis(150));
        for i in 0..3 {
            world.kill_at(Span::millis(3_000), i, Span::seconds(2));
        }
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 20);
    }
}

/// A coordinator is suspended while another one takes its jobs over. Its writes after it resumes must change nothing.
#[test]
fn resumed_coordinator_changes_nothing() {
    for seed in 0..10 {
        let mut world = storing_world(seed, 3, NO_FAULTS);
        world.submit_jobs(40, Span::millis(150));
        world.suspend_at(Span::millis(2_000), seed as usize % 3, Span::millis(3_500));
        world.run(Span::seconds(12));
        assert!(world.finish_and_check_stored() > 30);
    }
}

/// Injects faults of the given kinds, one every 900 ms, besides broken links, lost heartbeats and calls, and failing runs.
fn check_faults(seed: u64, kinds: Vec<u8>) -> bool {
    check_faults_with(seed, kinds, 0.02)
}

/// Does the same with the given share of broken links.
fn check_faults_with(seed: u64, kinds: Vec<u8>, broken_links: f64) -> bool {
    let faults = Faults {
        lost_heartbeats: 0.03,
        failed_runs: 0.02,
        lost_store_calls: 0.02,
        broken_links,
        ..NO_FAULTS
    };
    let mut world = storing_world(seed, 4, faults);
    world.submit_jobs(40, Span::millis(120));
    for (n, kind) in kinds.iter().take(5).enumerate() {
        let at = Span::millis(600 + n as u64 * 900);
        let (instance, endpoint) = (*kind as usize / 8 % 4, *kind as usize / 8 % 16);
        match kind % 7 {
            0 => world.kill_at(at, instance, Span::millis(800)),
            1 => world.suspend_at(at, instance, Span::millis(2_500)),
            2 => world.partition_at(at, &[instance], Span::millis(2_500)),
            3 => world.mute_endpoint_at(at, endpoint, Span::millis(2_000)),
            4 => world.crash_at(at, endpoint),
            5 => world.store_outage_at(at, Span::millis(1_500)),
            _ => world.drain_at(at, instance),
        }
    }
    world.run(Span::seconds(14));
    world.finish_and_check_stored();
    true
}

/// All faults together at random times: an accepted job completes, and no task is started after its end was confirmed.
#[test]
fn random_faults_lose_no_accepted_job() {
    // A failed run is reported while its task waits for a retry: the task must not be dropped.
    check_faults_with(45, vec![43, 131, 201, 0], 0.0);
    // A partitioned instance considers a shard empty in which another one has stored the first job meanwhile.
    check_faults_with(0, vec![107, 0], 0.0);
    // A shard that was empty before a partition is held, filled and released on the other side of it.
    check_faults_with(0, vec![0, 0, 135, 10, 166], 0.0);
    // An end belongs to a batch of another entry with the same serial number as one of this instance.
    check_faults_with(25412, vec![201, 9, 0, 154], 0.0);
    // A failed run of a former coordinator is reported late: the task must not be started beside its new run.
    check_faults(13536706581910095522, vec![5, 5, 2]);
    QuickCheck::new()
        .tests(40)
        .rng(Gen::from_size_and_seed(20, 17))
        .quickcheck(check_faults as fn(u64, Vec<u8>) -> bool);
}

/// A coordinator loses a shard before an end is stored, and the next one starts the task again. The coordinator after that must
/// not confirm the first end while the second run, of which the store has no trace, may go on.
#[test]
fn late_end_is_not_confirmed_while_a_second_run_may_go_on() {
    check_faults(2000115, vec![44, 44, 0]);
}

/// A rack moves with its batches to an instance that their entry can't reach and has already declared lost. The entry must give
/// those batches up, or their jobs would hang for as long as the two are disconnected.
#[test]
fn batches_on_an_unreachable_owner_are_given_up() {
    for seed in [0, 5, 10, 15, 20] {
        let mut world = World::new(seed, 6, 4, NO_FAULTS);
        world.store_jobs();
        world.submit_jobs(80, Span::millis(30));
        world.disconnect_at(Span::millis(200), 0, 1, Span::seconds(200));
        for (n, instance) in [2, 3, 4].into_iter().enumerate() {
            let at = 1_000 + 450 * n as u64 + 7 * seed % 400;
            world.drain_at(Span::millis(at), instance);
        }
        world.run(Span::seconds(9));
        world.finish_and_check_stored();
    }
}

/// Replies of the store are lost, and some writes are carried out seconds later. They must not overwrite newer progress, or tasks
/// would run again.
#[test]
fn late_writes_overwrite_no_progress() {
    for seed in 0..10 {
        let faults = Faults {
            lost_store_calls: 0.1,
            failed_runs: 0.05,
            ..NO_FAULTS
        };
        let mut world = storing_world(seed, 3, faults);
        world.submit_jobs(40, Span::millis(150));
        world.kill_at(Span::millis(3_000), 1, Span::seconds(1));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 25);
    }
}

/// The store is unavailable while jobs run. Endpoints must keep the ends until it's back, so that no task runs again.
#[test]
fn tasks_do_not_run_again_after_a_store_outage() {
    for seed in 0..5 {
        let mut world = storing_world(seed, 3, NO_FAULTS);
        world.submit_jobs(40, Span::millis(150));
        world.store_outage_at(Span::millis(2_500), Span::seconds(4));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 15);
    }
}

/// A network partition between instances that all reach endpoints and the store. Two may consider themselves coordinator of a
/// shard, and the lock row must fence one of them.
#[test]
fn partitioned_coordinators_are_fenced() {
    for seed in 0..10 {
        let mut world = storing_world(seed, 4, NO_FAULTS);
        world.submit_jobs(40, Span::millis(150));
        world.partition_at(Span::millis(2_000), &[0, 1], Span::seconds(4));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 20);
    }
}
