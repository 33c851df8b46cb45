//! Endpoints that crash and restart under the same name, tasks that crash endpoints, and capacity that changes.

use poplarknot::{
    dispatch::{
        id::JobId,
        message::Answer, //
    },
    prelude::*, //
};

use super::{
    completed,
    world::{
        Faults,
        World, //
    },
    NO_FAULTS, //
};

/// A job that crashes its endpoints.
const CRASHING_JOB: JobId = JobId(0xbad);

/// How many endpoints a task may crash: three that the platform allows, and two by starts after the third crash.
const MAX_TASK_CRASHES: usize = 3 + 2;

/// Endpoints crash and restart under the same name, with serial numbers that start again and a different clock. An end
/// that is attributed to the wrong life would lose or repeat a task.
#[test]
fn endpoint_restarts_lose_and_repeat_no_task() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.set_row_lag([Span(0), Span::millis(40), Span::millis(1_500)][seed as usize % 3]);
        world.submit_jobs(40, Span::millis(250));
        for (n, w) in [2, 5, 0].into_iter().enumerate() {
            let at = Span::millis(900 + 700 * n as u64);
            let down = Span::millis([400, 1_100, 2_000][n]);
            world.crash_and_restart_at(at, w, down, [0, 5_000, 900_000][n]);
        }
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert_eq!(world.count(completed), 40, "seed {seed}");
    }
}

/// Endpoints restart while one instance is killed, one drains and one is partitioned. Racks change owners between the
/// lives of their endpoints, and late orders reach a later life than the one that they were sent to.
#[test]
fn endpoint_restarts_among_other_faults_run_no_task_twice() {
    for seed in 0..12 {
        let faults = Faults {
            late_orders: 0.02,
            lost_heartbeats: 0.05,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.set_row_lag(Span::millis([0, 300, 2_000][seed as usize % 3]));
        world.submit_jobs(80, Span::millis(100));
        for (n, w) in [1, 4, 8, 11].into_iter().enumerate() {
            let at = Span::millis(700 + 600 * n as u64);
            world.crash_and_restart_at(at, w, Span::millis(300 + 400 * n as u64), 100 * seed);
        }
        world.kill_at(Span::millis(1_000), 1, Span::millis(900));
        world.drain_at(Span::millis(2_200), 2);
        world.partition_at(Span::millis(3_000), &[0], Span::millis(1_500));
        world.run(Span::seconds(12));
        world.finish_and_check();
    }
}

/// Two lives of an endpoint list ends of stored jobs under the same serial numbers. Storing the end of one life must
/// not make the endpoint forget the end of the other.
#[test]
fn stored_ends_of_two_lives_are_told_apart() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.store_jobs();
        world.submit_jobs(40, Span::millis(150));
        for (n, w) in [2, 5, 0, 3].into_iter().enumerate() {
            let at = Span::millis(900 + 500 * n as u64);
            world.crash_and_restart_at(at, w, Span::millis(400), 0);
        }
        world.store_outage_at(Span::millis(1_500), Span::millis(900));
        world.kill_at(Span::millis(3_100), seed as usize % 3, Span::seconds(1));
        world.run(Span::seconds(12));
        assert!(world.finish_and_check_stored() > 30);
    }
}

/// A task crashes every endpoint that starts it. Its job must fail with the second crash, before it crashes a third
/// endpoint, and no other job may fail.
#[test]
fn task_that_crashes_endpoints_fails_its_job() {
    let mut failed = 0;
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(120));
        world.submit_crashing_job(Span::millis(1_000), CRASHING_JOB, 2);
        world.run(Span::seconds(16));
        world.finish_and_check();
        let crashes: usize = world.crashes.values().sum();
        assert!(crashes <= 2, "seed {seed}: {crashes} endpoints crashed");
        let harmless = world.jobs.iter().filter(|(id, _)| **id != CRASHING_JOB);
        let is_failed = |answer: &Answer| *answer == Answer::Failed;
        for (id, view) in harmless {
            assert!(
                !view.answer.as_ref().is_some_and(is_failed),
                "the harmless job {id} of seed {seed} failed"
            );
        }
        failed += usize::from(world.jobs[&CRASHING_JOB].answer == Some(Answer::Failed));
    }
    // The caller waits for 9 s. It's told that the job was given up if the second endpoint restarts later.
    assert!(
        failed >= 6,
        "only {failed} of 12 jobs were answered as failed"
    );
}

/// Stored jobs have no deadline. One that crashes endpoints must fail after a bounded number of crashes, also when an
/// owner, entry or coordinator crashes and loses its state.
#[test]
fn stored_task_that_crashes_endpoints_is_given_up() {
    for seed in 0..16 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.store_jobs();
        world.submit_jobs(30, Span::millis(150));
        world.submit_crashing_job(Span::millis(800), CRASHING_JOB, 2);
        if seed % 2 == 0 {
            let at = Span::millis(1_200 + 300 * seed);
            world.kill_at(at, seed as usize % 3, Span::millis(900));
        }
        world.run(Span::seconds(30));
        for (task, crashes) in &world.crashes {
            assert!(
                *crashes <= MAX_TASK_CRASHES,
                "{task} of seed {seed} crashed {crashes} endpoints"
            );
        }
        let most = world.crashes.values().copied().max();
        assert!(
            most.is_some_and(|crashes| crashes >= 2),
            "seed {seed}: {most:?} endpoints crashed"
        );
        world.check_crashing_job_failed(CRASHING_JOB);
    }
}

/// Three jobs crash endpoints at the same time. Jobs whose tasks ran beside them must not fail, and the three may crash
/// six endpoints at most.
#[test]
fn jobs_beside_crashing_tasks_do_not_fail() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 6, NO_FAULTS);
        world.submit_jobs(60, Span::millis(100));
        let crashing = [JobId(0xbad), JobId(0xbae), JobId(0xbaf)];
        for job in crashing {
            world.submit_crashing_job(Span::millis(1_000), job, 3);
        }
        world.run(Span::seconds(16));
        world.finish_and_check();
        let crashes: usize = world.crashes.values().sum();
        assert!(crashes <= 6, "seed {seed}: {crashes} endpoints crashed");
        for (id, view) in world.jobs.iter().filter(|(id, _)| !crashing.contains(id)) {
            assert_ne!(
                view.answer,
                Some(Answer::Failed),
                "{id} of seed {seed} failed"
            );
        }
    }
}

/// Crashed endpoints leave calls unanswered, so a harmless task may share two crashes with a harmful one before the
/// first is confirmed. It must get one more run, alone, rather than fail its job.
#[test]
fn harmless_task_that_shares_two_crashes_runs_alone() {
    for seed in 0..24 {
        let mut world = World::new(seed, 2, 2, NO_FAULTS);
        world.crash_silently();
        world.submit_jobs(12, Span::millis(250));
        world.submit_crashing_job(Span::millis(1_000), CRASHING_JOB, 1);
        world.run(Span::seconds(20));
        world.finish_and_check();
        for (task, crashes) in &world.crashes {
            assert!(
                *crashes <= MAX_TASK_CRASHES,
                "{task} of seed {seed} crashed {crashes} endpoints"
            );
        }
        for (id, view) in world.jobs.iter().filter(|(id, _)| **id != CRASHING_JOB) {
            assert_ne!(
                view.answer,
                Some(Answer::Failed),
                "{id} of seed {seed} failed"
            );
        }
    }
}

/// Endpoints restart behind a partition. A start that never reached them must not count as a crash by its task, or
/// harmless jobs would fail.
#[test]
fn restarts_behind_a_partition_fail_no_job() {
    for seed in 0..16 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(12, Span::millis(60));
        for w in 0..16 {
            if (w + seed as usize).is_multiple_of(2) {
                world.isolate_endpoint_at(Span::millis(800), w, Span::millis(2_500));
                let restart = Span::millis(900 + 90 * w as u64);
                world.crash_and_restart_at(restart, w, Span::millis(200), 0);
            }
        }
        world.run(Span::seconds(14));
        world.finish_and_check();
        for (id, view) in &world.jobs {
            assert_ne!(
                view.answer,
                Some(Answer::Failed),
                "{id} of seed {seed} failed"
            );
        }
    }
}

/// The capacity of endpoints that don't enforce it shrinks while tasks run there, and grows again. A start that is
/// based on the old capacity would overload them.
#[test]
fn starts_respect_a_changed_capacity() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(40, Span::millis(250));
        for w in [0, 1, 4] {
            world.resize_at(Span::millis(1_000), w, 1_500);
            world.resize_at(Span::millis(4_000), w, 6_000);
        }
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert_eq!(world.count(completed), 40, "seed {seed}");
    }
}

/// All endpoints become too small for the queued tasks, one data centre after the other. Jobs that fit nowhere must be
/// refused at once rather than wait.
#[test]
fn jobs_that_fit_nowhere_are_refused_at_once() {
    let mut world = World::new(2, 3, 4, NO_FAULTS);
    world.submit_jobs(40, Span::millis(100));
    for w in 0..16 {
        let after = Span::millis(if w / 4 % 2 == 0 { 1_000 } else { 2_000 });
        world.resize_at(after, w, 900);
    }
    world.run(Span::millis(2_100));
    let from = world.now;
    world.run(Span::seconds(4));
    for view in world.jobs.values().filter(|view| view.submitted_at > from) {
        let refused = matches!(view.answer, Some(Answer::Refused { .. }));
        assert!(
            refused && view.answered_at.since(view.submitted_at) <= Span::millis(20),
            "{view:?}"
        );
    }
    world.finish_and_check();
}
