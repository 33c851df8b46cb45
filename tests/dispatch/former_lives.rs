//! Orders that are carried out by a later life of the endpoint than the one that they were sent to.

use poplarknot::{
    dispatch::id::JobId,
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

/// The endpoints of the first of two racks, which is in a data centre of its own.
const FIRST_RACK: std::ops::Range<usize> = 0..4;

/// When the endpoints crash.
const CRASH: Span = Span::millis(1_000);

/// How long they are down.
const DOWN: Span = Span::millis(600);

/// How long orders that are sent to them meanwhile are held.
const HELD: Span = Span::millis(2_100);

/// Returns two instances and two racks with long tasks that are submitted from the crash on of the first rack's endpoints. These drop
/// calls while they are down, and their clocks start again with each life.
fn world_with_a_restarted_rack(seed: u64) -> World {
    let mut world = World::new(seed, 2, 2, NO_FAULTS);
    world.crash_silently();
    world.set_row_lag(Span::seconds(1));
    for w in FIRST_RACK {
        world.crash_and_restart_at(CRASH, w, DOWN, 0);
        world.hold_orders_at(CRASH, w, DOWN, HELD);
    }
    let shape = Shape {
        wait: Span::seconds(8),
        ..Shape::default()
    };
    for n in 0..24 {
        let at = CRASH + Span::millis(10 + 20 * n);
        let job = (1, 1_000, Span::seconds(4));
        world.submit_at(at, n as usize % 2, job, shape);
    }
    world
}

/// Starts that were sent to an endpoint while it was down arrive in its next life, when their tasks run elsewhere.
#[test]
fn starts_that_arrive_after_a_restart_run_no_task_twice() {
    for seed in 0..8 {
        let mut world = world_with_a_restarted_rack(seed);
        world.run(Span::seconds(10));
        world.finish_and_check();
    }
}

/// The same, where the new life can't be reached before the starts arrive.
#[test]
fn starts_that_arrive_after_a_restart_behind_a_cut_run_no_task_twice() {
    for seed in 0..8 {
        let mut world = world_with_a_restarted_rack(seed);
        for w in FIRST_RACK {
            world.isolate_endpoint_at(CRASH + DOWN, w, Span::millis(2_500));
        }
        world.run(Span::seconds(10));
        world.finish_and_check();
    }
}

/// The same, where the endpoints crash once more before the starts arrive, and what the second life was told is forgotten.
#[test]
fn starts_that_arrive_after_two_restarts_run_no_task_twice() {
    for seed in 0..8 {
        let mut world = world_with_a_restarted_rack(seed);
        for w in FIRST_RACK {
            world.crash_and_restart_at(CRASH + Span::millis(1_200), w, DOWN, 0);
        }
        world.run(Span::seconds(10));
        world.finish_and_check();
    }
}

/// Endpoints whose clocks start again are told 30 % of their orders late, so that many arrive in a later life.
#[test]
fn late_orders_around_restarts_run_no_task_twice() {
    for seed in 0..24 {
        let faults = Faults {
            late_orders: 0.3,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.set_row_lag(Span::millis([0, 300, 2_000][seed as usize % 3]));
        world.submit_jobs(80, Span::millis(100));
        for (n, w) in [1, 4, 8, 11].into_iter().enumerate() {
            let at = Span::millis(700 + 600 * n as u64);
            world.crash_and_restart_at(at, w, Span::millis(300 + 400 * n as u64), 0);
        }
        world.run(Span::seconds(12));
        world.finish_and_check();
    }
}

/// Endpoints restart unnoticed while they have an unconfirmed stop, so that polls grant no lease. They answer starts, to which they grant
/// the longest lease since their clocks start again, and are cut off: the runs outlast the leases by the former clock.
#[test]
fn starts_that_an_unnoticed_life_answers_run_no_task_twice() {
    let cancel = Span::millis(300);
    let restart = cancel + Span::millis(400);
    let shape = Shape {
        wait: Span::seconds(8),
        ..Shape::default()
    };
    for seed in 0..8 {
        let mut world = World::new(seed, 2, 2, NO_FAULTS);
        world.crash_silently();
        world.set_row_lag(Span::seconds(4));
        for n in 0..12 {
            let job = (1, 1_000, Span::seconds(4));
            world.submit_at(Span::millis(10 * n), n as usize % 2, job, shape);
            world.break_caller_at(cancel, JobId(1 + n));
        }
        for w in FIRST_RACK.take(2) {
            world.lose_stops_at(cancel, w, Span::seconds(4));
            world.crash_and_restart_at(restart, w, Span::millis(5), 0);
            world.isolate_endpoint_at(restart + Span::millis(30), w, Span::millis(3_000));
        }
        for n in 0..8 {
            let at = restart + Span::millis(6 + n);
            let job = (1, 1_000, Span::seconds(4));
            world.submit_at(at, n as usize % 2, job, shape);
        }
        world.run(Span::seconds(10));
        world.finish_and_check();
    }
}

/// Starts that fall into the silence of a restarting rack would count as crashes under their tasks, each of which then runs alone on an
/// endpoint while the others wait until their callers' time is over.
#[test]
fn starts_that_fall_into_a_restart_are_sent_again() {
    for seed in 0..4 {
        let mut world = world_with_a_restarted_rack(seed);
        world.run(Span::seconds(10));
        world.finish_and_check();
        assert_eq!(world.count(super::completed), 24, "seed {seed}");
    }
}
