//! Review of the bar on starts without an answer: orders of events in which a later life still carries one out beside another run, and
//! jobs that fail though they could be served.

use poplarknot::{
    dispatch::{
        id::JobId,
        message::Answer, //
    },
    prelude::*, //
};

use super::{
    world::{
        Faults,
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// When the first fault begins.
const FAULT: Span = Span::millis(1_000);

/// How long a start is held on the way, as in the record of the incident.
const HELD: Span = Span::millis(2_100);

/// The duration of the tasks.
const TASK: Span = Span::seconds(4);

const LONG_WAIT: Shape = Shape {
    priority: 0,
    estimate: 1.0,
    wait: Span::seconds(9),
    tail: 0.0,
};

/// A start is barred by the life that it was sent to, its task starts elsewhere, and the endpoint then restarts while it has no runs. It's
/// idle for its owner, which doesn't poll it until it reads the new row; the start arrives before.
#[test]
fn start_that_one_life_has_barred_is_not_carried_out_by_the_next() {
    let mut world = World::new(0, 1, 1, NO_FAULTS);
    world.set_row_lag(Span::seconds(1));
    world.hold_orders_at(FAULT, 0, Span::millis(500), HELD);
    world.submit_at(FAULT + Span::millis(10), 0, (1, 1_000, TASK), LONG_WAIT);
    // It goes to another endpoint, which is then the best fit for the first task's second run.
    world.submit_at(FAULT + Span::millis(300), 0, (1, 1_000, TASK), LONG_WAIT);
    world.crash_and_restart_at(FAULT + Span::millis(1_200), 0, Span::millis(300), 0);
    world.run(Span::seconds(10));
    world.finish_and_check();
}

/// The same, where the endpoint has crashed before the start and is back when it's barred: two returns while a start is on its way. The
/// first three endpoints are full when the task starts, and free when its second run does.
#[test]
fn start_that_a_second_life_has_barred_is_not_carried_out_by_the_third() {
    let mut world = World::new(0, 1, 1, NO_FAULTS);
    world.crash_silently();
    world.set_row_lag(Span::seconds(1));
    for _ in 0..3 {
        let short = (1, 4_000, Span::millis(300));
        world.submit_at(FAULT - Span::millis(100), 0, short, LONG_WAIT);
    }
    world.crash_and_restart_at(FAULT, 3, Span::millis(600), 0);
    world.hold_orders_at(FAULT, 3, Span::millis(600), HELD);
    world.submit_at(FAULT + Span::millis(10), 0, (1, 1_000, TASK), LONG_WAIT);
    world.crash_and_restart_at(FAULT + Span::millis(1_400), 3, Span::millis(300), 0);
    world.run(Span::seconds(10));
    world.finish_and_check();
}

/// Returns two instances with a rack each. The endpoints of the first restart and are then cut off, and a job whose start is on its way
/// to one of them was submitted at the first instance.
fn world_with_a_start_in_doubt() -> World {
    let mut world = World::new(0, 2, 2, NO_FAULTS);
    world.crash_silently();
    world.set_row_lag(Span::seconds(1));
    for w in 0..4 {
        world.crash_and_restart_at(FAULT, w, Span::millis(600), 0);
        world.hold_orders_at(FAULT, w, Span::millis(600), HELD);
        world.isolate_endpoint_at(FAULT + Span::millis(600), w, Span::millis(2_500));
    }
    world.submit_at(FAULT + Span::millis(10), 0, (1, 1_000, TASK), LONG_WAIT);
    world
}

/// The caller's connection breaks while a start is in doubt, and the job is submitted again 1.3 s later elsewhere.
#[test]
fn resubmitted_job_runs_once_beside_a_start_in_doubt() {
    let mut world = world_with_a_start_in_doubt();
    world.set_retry_instance(1);
    world.break_caller_at(FAULT + Span::millis(200), JobId(1));
    world.run(Span::seconds(10));
    world.finish_and_check();
}

/// The owner crashes while a start is in doubt. The entry places the task again 1.7 s after the loss of the owner.
#[test]
fn task_of_a_lost_owner_runs_once_beside_a_start_in_doubt() {
    let mut failures = Vec::new();
    for kill in [150, 250, 350] {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(0, 3, 2, NO_FAULTS);
            let (owners, _) = world.owners_in("ulemiste");
            let owner = owners[0];
            world.crash_silently();
            world.set_row_lag(Span::seconds(1));
            for w in 0..4 {
                world.crash_and_restart_at(FAULT, w, Span::millis(600), 0);
                world.hold_orders_at(FAULT, w, Span::millis(600), Span::millis(2_600));
                world.isolate_endpoint_at(FAULT + Span::millis(600), w, Span::millis(4_000));
            }
            // The entry is in the same data centre, or the job goes to the other rack.
            let entry = [0, 2].into_iter().find(|i| *i != owner).unwrap();
            world.submit_at(FAULT + Span::millis(10), entry, (1, 1_000, TASK), LONG_WAIT);
            world.kill_at(FAULT + Span::millis(kill), owner, Span::seconds(5));
            world.run(Span::seconds(10));
            world.finish_and_check();
        });
        if run.is_err() {
            failures.push(kill);
        }
    }
    assert!(
        failures.is_empty(),
        "two runs with kills after {failures:?} ms"
    );
}

/// Restarts among kills, drains and partitions, with 30 % of the orders late. A new owner starts tasks while an endpoint of the rack, to
/// which its former owner sent a start without an answer, hasn't been reached.
#[test]
fn late_orders_around_restarts_and_other_faults_run_no_task_twice() {
    let mut failures = Vec::new();
    // Four of the seeds 0 to 199.
    for seed in [9, 82, 166, 185] {
        let run = std::panic::catch_unwind(|| {
            let faults = Faults {
                late_orders: 0.3,
                lost_heartbeats: 0.05,
                ..NO_FAULTS
            };
            let mut world = World::new(seed, 4, 3, faults);
            world.set_row_lag(Span::millis([0, 300, 2_000][seed as usize % 3]));
            world.submit_jobs(80, Span::millis(100));
            for (n, w) in [1, 4, 8, 11].into_iter().enumerate() {
                let at = Span::millis(700 + 600 * n as u64);
                world.crash_and_restart_at(at, w, Span::millis(300 + 400 * n as u64), 0);
            }
            world.kill_at(Span::millis(1_000), 1, Span::millis(900));
            world.drain_at(Span::millis(2_200), 2);
            world.partition_at(Span::millis(3_000), &[0], Span::millis(1_500));
            world.run(Span::seconds(12));
            world.finish_and_check();
        });
        if run.is_err() {
            failures.push(seed);
        }
    }
    assert!(failures.is_empty(), "two runs with seeds {failures:?}");
}

/// A run whose start its former owner had confirmed is taken over with its rack. Its endpoint misses polls for 400 ms, late in the
/// caller's time. The run goes on and ends in time, so that the job mustn't fail.
#[test]
fn short_silence_fails_no_job_whose_run_was_taken_over() {
    let mut world = World::new(0, 3, 1, NO_FAULTS);
    let (owners, others) = world.owners_in("ulemiste");
    assert_eq!(others.len(), 1);
    let shape = Shape {
        wait: Span::millis(5_500),
        ..LONG_WAIT
    };
    world.submit_at(Span::millis(500), 1, (1, 1_000, TASK), shape);
    world.drain_at(Span::millis(1_000), owners[0]);
    for w in 0..4 {
        world.isolate_endpoint_at(Span::millis(3_900), w, Span::millis(400));
    }
    world.run(Span::seconds(8));
    world.finish_and_check();
    assert_eq!(world.jobs[&JobId(1)].answer, Some(Answer::Completed));
}

/// The same for a run whose first start got no answer and whose second one was confirmed.
#[test]
fn short_silence_fails_no_job_whose_start_was_repeated() {
    let mut world = World::new(0, 1, 1, NO_FAULTS);
    let shape = Shape {
        wait: Span::millis(5_500),
        ..LONG_WAIT
    };
    world.submit_at(Span::millis(500), 0, (1, 1_000, TASK), shape);
    world.mute_endpoint_at(Span::millis(495), 0, Span::millis(40));
    world.isolate_endpoint_at(Span::millis(3_900), 0, Span::millis(400));
    world.run(Span::seconds(8));
    world.finish_and_check();
    assert_eq!(world.jobs[&JobId(1)].answer, Some(Answer::Completed));
}

/// An owner that another instance doesn't hear has raised the token of an endpoint, and the probes of the other one have followed. When
/// the owner has announced its raised token and is unheard once more, probes must not be ahead of it and take its rack from it.
#[test]
fn probes_of_an_owner_that_is_unheard_twice_do_not_fence_it_off() {
    let mut world = World::new(0, 2, 1, NO_FAULTS);
    let shape = Shape {
        wait: Span::seconds(30),
        ..LONG_WAIT
    };
    // A run on each endpoint, so that probes of the others find the rack in use.
    for _ in 0..4 {
        let job = (1, 3_000, Span::seconds(14));
        world.submit_at(Span::millis(500), 0, job, shape);
    }
    world.partition_at(FAULT, &[0], Span::seconds(3));
    for n in 0..10 {
        let at = Span::millis(1_200 + 800 * n);
        world.isolate_endpoint_at(at, 0, Span::millis(500));
    }
    world.partition_at(Span::seconds(10), &[0], Span::seconds(2));
    world.run(Span::seconds(16));
    world.finish_and_check();
    assert_eq!(world.log_count("rack_yielded"), 0);
}

/// An owner raises the token of an endpoint more often than probes follow while it's unheard, and then dies. Its rack must get a new owner.
#[test]
fn rack_of_a_dead_owner_with_a_far_raised_token_is_claimed() {
    let mut world = World::new(0, 2, 1, NO_FAULTS);
    let shape = Shape {
        wait: Span::seconds(60),
        ..LONG_WAIT
    };
    for _ in 0..4 {
        let job = (1, 3_000, Span::seconds(30));
        world.submit_at(Span::millis(500), 0, job, shape);
    }
    world.partition_at(FAULT, &[0], Span::seconds(22));
    for n in 0..22 {
        let at = Span::millis(1_200 + 800 * n);
        world.isolate_endpoint_at(at, 0, Span::millis(500));
    }
    world.kill_at(Span::seconds(20), 0, Span::seconds(100));
    world.run(Span::seconds(60));
    assert_eq!(world.rack_count(1), 1);
}

/// A run whose start its former owner had confirmed is taken over with its rack, and its endpoint is then lost. The former owner knew that
/// no start is in doubt, so that the task starts again once the lease is over.
#[test]
fn run_that_was_taken_over_starts_again_soon_after_the_loss_of_its_endpoint() {
    let mut world = World::new(0, 3, 1, NO_FAULTS);
    let (owners, _) = world.owners_in("ulemiste");
    let shape = Shape {
        wait: Span::seconds(40),
        ..LONG_WAIT
    };
    world.submit_at(Span::millis(500), 1, (1, 1_000, TASK), shape);
    world.drain_at(FAULT, owners[0]);
    let lost_at = world.now + Span::seconds(2);
    world.isolate_endpoint_at(Span::seconds(2), 0, Span::seconds(60));
    world.run(Span::seconds(25));
    let runs = world.runs(JobId(1));
    let second = runs.iter().find(|(w, _)| *w != 0).map(|(_, run)| run.from);
    let after = second.map(|at| at.since(lost_at));
    assert!(
        after.is_some_and(|span| span < Span::seconds(3)),
        "started again after {after:?}"
    );
}
