//! Endpoints that crash and start again under the name that they had, tasks that crash them, and capacity that changes.

use poplarknot::{
    dispatch::{
        id::JobId,
        message::Answer, //
    },
    prelude::*,
};

use super::{
    completed,
    world::{
        Faults,
        World, //
    },
    CALM, //
};

/// A job that crashes endpoints.
const GUILTY: JobId = JobId(0xbad);

/// Starts of a task that crashes its endpoints, after the third crash under it: one more breaks the platform's rule.
const AFTER_THREE: usize = 2;

/// An endpoint crashes with what runs there, is back after 0.4 to 2 s under its own name, and counts its ends from one again; its
/// clock is behind the former one, or ahead of it. Its row tells of that before the endpoint itself does, or long after. Every
/// caller gets a complete answer; no end of the former life counts for the new one, nor is one of the new life passed over.
#[test]
fn endpoints_start_again_under_their_name() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 2, CALM);
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

/// The same while an instance dies, another is asked to end and a third is cut off, so that racks change their owners between
/// the lives of their endpoints, and orders are carried out late, some in the life after the one that they were meant for.
#[test]
fn new_lives_among_other_faults() {
    for seed in 0..12 {
        let faults = Faults {
            late: 0.02,
            lost_heartbeats: 0.05,
            ..CALM
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

/// Stored jobs run on endpoints that begin anew. An end that a former life listed isn't known to the new one, whose ends have the same
/// numbers: what is stored of the one must not let the endpoint forget the other.
#[test]
fn stored_ends_of_two_lives_are_told_apart() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, CALM);
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

/// A task crashes each endpoint that starts it, among jobs of other callers. Two endpoints crash, then its job has failed and its caller
/// is told so; what ran beside it runs again and is complete. Not one more endpoint is lost to it.
#[test]
fn task_that_crashes_endpoints_fails_its_job() {
    let mut failed = 0;
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(60, Span::millis(120));
        world.submit_crashing_job(Span::millis(1_000), GUILTY, 2);
        world.run(Span::seconds(16));
        world.finish_and_check();
        let crashes: usize = world.crashes.values().sum();
        assert!(crashes <= 2, "seed {seed}: {crashes} endpoints crashed");
        let innocent = world.jobs.iter().filter(|(id, _)| **id != GUILTY);
        let told_failed = |answer: &Answer| *answer == Answer::Failed;
        for (id, seen) in innocent {
            assert!(
                !seen.answer.as_ref().is_some_and(told_failed),
                "{id} of seed {seed}"
            );
        }
        failed += usize::from(world.jobs[&GUILTY].answer == Some(Answer::Failed));
    }
    // Its caller waits 4 s; where the second endpoint is back later than that, it is told that the job was given up.
    assert!(failed >= 6, "{failed} of 12 were told failed");
}

/// Stored jobs have no time to be done in. One of them crashes its endpoints, while an owner, its entry or its coordinator dies:
/// what they knew of it is lost with them. It has failed in the end, and was not started more often than the platform allows.
#[test]
fn stored_task_that_crashes_endpoints_is_given_up() {
    for seed in 0..16 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.store_jobs();
        world.submit_jobs(30, Span::millis(150));
        world.submit_crashing_job(Span::millis(800), GUILTY, 2);
        if seed % 2 == 0 {
            let at = Span::millis(1_200 + 300 * seed);
            world.kill_at(at, seed as usize % 3, Span::millis(900));
        }
        world.run(Span::seconds(30));
        for (task, crashes) in &world.crashes {
            assert!(
                *crashes <= 3 + AFTER_THREE,
                "{task} of seed {seed}: {crashes}"
            );
        }
        let first = world.crashes.values().copied().max();
        assert!(first.is_some_and(|crashes| crashes >= 2), "seed {seed}");
        world.check_crashing_job_failed(GUILTY);
    }
}

/// Three jobs crash endpoints at the same time, among many that don't. The innocent that ran beside them are cleared, and not taken for
/// guilty themselves, though each lost a run. Fewer endpoints crash than twice for each guilty task, and no data centre is emptied.
#[test]
fn innocent_tasks_are_cleared() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 6, CALM);
        world.submit_jobs(60, Span::millis(100));
        let guilty = [JobId(0xbad), JobId(0xbae), JobId(0xbaf)];
        for job in guilty {
            world.submit_crashing_job(Span::millis(1_000), job, 3);
        }
        world.run(Span::seconds(16));
        world.finish_and_check();
        let crashes: usize = world.crashes.values().sum();
        assert!(crashes <= 6, "seed {seed}: {crashes}");
        for (id, seen) in world.jobs.iter().filter(|(id, _)| !guilty.contains(id)) {
            assert_ne!(seen.answer, Some(Answer::Failed), "{id} of seed {seed}");
        }
    }
}

/// A job crashes endpoints, which then leave calls unanswered, as behind a cut. An innocent job's task ran beside it and goes on
/// beside it again, before anybody knows that the first endpoint crashed. When both crashes are proved, only the guilty job has failed:
/// the caller of the other one waits for a third run, which is alone, and gets its whole answer.
#[test]
fn innocent_task_that_shares_two_crashes_is_cleared() {
    for seed in 0..24 {
        let mut world = World::new(seed, 2, 2, CALM);
        world.crash_silently();
        world.submit_jobs(12, Span::millis(250));
        world.submit_crashing_job(Span::millis(1_000), GUILTY, 1);
        world.run(Span::seconds(20));
        world.finish_and_check();
        for (task, crashes) in &world.crashes {
            assert!(
                *crashes <= 3 + AFTER_THREE,
                "{task} of seed {seed}: {crashes}"
            );
        }
        for (id, seen) in world.jobs.iter().filter(|(id, _)| **id != GUILTY) {
            assert_ne!(seen.answer, Some(Answer::Failed), "{id} of seed {seed}");
        }
    }
}

/// Half of the endpoints are cut off, and start again behind the cut. What ran there is lost, and goes on; where it is sent to the other cut
/// endpoints, since nobody had to talk to these meanwhile, its start never arrives. Both have a new life when the cut ends, but only
/// one crashed under the task: no caller is told that its job has failed.
#[test]
fn endpoints_that_start_again_behind_a_cut_convict_nothing() {
    for seed in 0..16 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(12, Span::millis(60));
        for w in 0..16 {
            if (w + seed as usize).is_multiple_of(2) {
                world.isolate_endpoint_at(Span::millis(800), w, Span::millis(2_500));
                let again = Span::millis(900 + 90 * w as u64);
                world.crash_and_restart_at(again, w, Span::millis(200), 0);
            }
        }
        world.run(Span::seconds(14));
        world.finish_and_check();
        for (id, seen) in &world.jobs {
            assert_ne!(seen.answer, Some(Answer::Failed), "{id} of seed {seed}");
        }
    }
}

/// Endpoints that don't guard their capacity shrink while tasks run there, and grow again. No start brings one over what it has; what
/// no longer fits there runs elsewhere.
#[test]
fn capacity_shrinks_and_grows() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, CALM);
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

/// All endpoints of a data centre, and then of the other, become too small for what waits. It is sent to those that can still run it;
/// what fits nowhere any more is refused at once.
#[test]
fn what_fits_nowhere_is_refused() {
    let mut world = World::new(2, 3, 4, CALM);
    world.submit_jobs(40, Span::millis(100));
    for w in 0..16 {
        let late = Span::millis(if w / 4 % 2 == 0 { 1_000 } else { 2_000 });
        world.resize_at(late, w, 900);
    }
    world.run(Span::millis(2_100));
    let from = world.now;
    world.run(Span::seconds(4));
    for seen in world.jobs.values().filter(|seen| seen.since > from) {
        let refused = matches!(seen.answer, Some(Answer::Refused { .. }));
        assert!(
            refused && seen.at.since(seen.since) <= Span::millis(20),
            "{seen:?}"
        );
    }
    world.finish_and_check();
}
