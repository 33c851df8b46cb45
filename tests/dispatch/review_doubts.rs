//! Starts in doubt whose task comes to an owner that isn't told of them.

use poplarknot::{
    dispatch::id::JobId,
    prelude::*, //
};

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// The endpoint of the first rack to which the start is held.
const HELD_AT: usize = 0;

/// When that endpoint crashes for the first time.
const CRASH: Span = Span::millis(1_000);

/// How long it is down then. Starts that are sent to it meanwhile are held.
const DOWN: Span = Span::millis(600);

/// When the job is submitted whose start is held.
const SUBMIT: Span = Span::millis(1_010);

/// How long its start is held.
const HELD: Span = Span::millis(4_000);

/// How long the endpoint can't be reached after a restart: the held start arrives meanwhile.
const CUT: Span = Span::seconds(7);

/// The duration of the task.
const TASK: Span = Span::seconds(4);

/// How long an instance that was killed is down.
const KILLED: Span = Span::seconds(6);

/// Instances in two data centres with a rack each, and a job of one task whose start is held.
struct Site {
    world: World,
    /// The owner of the first rack.
    owner: usize,
    /// The other instances beside it.
    idle: Vec<usize>,
    /// The owner of the other rack.
    other: usize,
}

impl Site {
    fn new(seed: u64, instances: usize) -> Self {
        let mut world = World::new(seed, instances, 2, NO_FAULTS);
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        world.resubmit_given_up();
        world.collect_overlaps();
        let (owners, idle) = world.owners_in("ulemiste");
        let (others, _) = world.owners_in("maardu");
        Self {
            world,
            owner: owners[0],
            idle,
            other: others[0],
        }
    }

    /// Holds the start of a job that is submitted at an instance.
    fn hold_start(&mut self, entry: usize) {
        let world = &mut self.world;
        world.crash_and_restart_at(CRASH, HELD_AT, DOWN, 0);
        world.hold_orders_at(CRASH, HELD_AT, DOWN, HELD);
        world.lose_stops_at(SUBMIT + HELD, HELD_AT, Span::seconds(3));
        let shape = Shape {
            wait: Span::seconds(9),
            ..Shape::default()
        };
        world.submit_at(SUBMIT, entry, (1, 1_000, TASK), shape);
    }
}

/// Checks with each of some seeds that a start was held and that no task ran twice at a time.
fn check(instances: usize, prepare: impl Fn(&mut Site)) {
    let mut failures = Vec::new();
    for seed in 0..8 {
        let mut site = Site::new(seed, instances);
        prepare(&mut site);
        site.world.run(Span::seconds(14));
        site.world.finish_and_check();
        assert!(site.world.held_starts > 0, "seed {seed}: no start was held");
        println!("seed {seed}: {:?}", site.world.runs(JobId(1)));
        if let Some(overlap) = site.world.overlaps().first() {
            failures.push((seed, overlap.span.as_millis()));
        }
    }
    assert!(
        failures.is_empty(),
        "two runs of a task at a time, by seed, for so many ms: {failures:?}"
    );
}

/// The owner of a start in doubt dies, and its task waits at the next owner of the rack until each endpoint has answered. That one hands
/// the rack over, without saying that the task is in doubt: the third owner starts it at once.
#[test]
fn task_of_a_lost_owner_runs_once_where_the_next_owner_hands_its_rack_over() {
    check(8, |site| {
        let idle = site.idle.clone();
        site.hold_start(idle[0]);
        let world = &mut site.world;
        world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
        world.kill_at(CRASH + Span::millis(300), site.owner, KILLED);
        // The entry has sent the task to the next owner by then. Whichever it is, an instance that isn't draining takes the rack.
        let drained = CRASH + Span::millis(3_400);
        world.drain_at(drained, idle[1]);
        world.drain_at(drained, idle[0]);
    });
}

/// The owner of a start in doubt dies, and is also the entry of its job: nobody is left that tells of the start to the owner of another rack,
/// to which the caller submits the job again.
#[test]
fn job_of_a_lost_entry_that_owned_its_rack_runs_once() {
    check(4, |site| {
        let (owner, other) = (site.owner, site.other);
        site.hold_start(owner);
        let world = &mut site.world;
        world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
        world.set_retry_instance(other);
        world.kill_at(CRASH + Span::millis(300), owner, KILLED);
    });
}

/// The first copy of a start is held, and the second one is running. The endpoint crashes, and its next life carries the first one out.
fn hold_first_copy(site: &mut Site) {
    let entry = site.idle[0];
    let world = &mut site.world;
    world.set_row_lag(Span::seconds(6));
    world.hold_orders_at(SUBMIT, HELD_AT, Span::millis(20), HELD);
    world.lose_stops_at(SUBMIT + HELD, HELD_AT, Span::seconds(3));
    let shape = Shape {
        wait: Span::seconds(9),
        ..Shape::default()
    };
    world.submit_at(SUBMIT, entry, (1, 1_000, TASK), shape);
    let crash = SUBMIT + Span::millis(900);
    world.crash_and_restart_at(crash, HELD_AT, Span::millis(500), 0);
    world.isolate_endpoint_at(crash, HELD_AT, CUT);
}

/// The owner knows that a copy of the start wasn't answered, and the task doesn't start elsewhere.
#[test]
fn run_with_a_held_copy_of_its_start_runs_once_at_its_owner() {
    check(4, hold_first_copy);
}

/// The rack is handed over meanwhile. The next owner isn't told of the first copy, and settles the run by the first poll that lists it.
#[test]
fn run_with_a_held_copy_of_its_start_runs_once_after_a_handover() {
    check(4, |site| {
        hold_first_copy(site);
        let at = SUBMIT + Span::millis(600);
        site.world.drain_at(at, site.owner);
    });
}

/// The owner of a start in doubt tells all instances of it when the entry of the job is lost. Its messages to the one where the job is
/// submitted again stall, and are void with their session. Both stay alive for each other, and the start isn't told of again.
#[test]
fn doubt_that_is_lost_with_a_session_is_told_again() {
    check(4, |site| {
        let (entry, owner, other) = (site.idle[0], site.owner, site.other);
        site.hold_start(entry);
        let world = &mut site.world;
        world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
        world.set_retry_instance(other);
        let kill = CRASH + Span::millis(200);
        world.kill_at(kill, entry, KILLED);
        let stalled = kill + Span::millis(200);
        world.stall_at(stalled, owner, other, Span::seconds(2));
    });
}

/// The owner of a start in doubt dies, and the next one hands the rack over just when the entry sends it the task. It declines the batch as
/// one of which nothing was started, and the entry forgets that a start may be on its way.
#[test]
fn lost_task_that_the_next_owner_declines_runs_once() {
    for step in [0, 1] {
        check(8, |site| {
            let idle = site.idle.clone();
            site.hold_start(idle[0]);
            let world = &mut site.world;
            world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
            world.kill_at(CRASH + Span::millis(300), site.owner, KILLED);
            // The entry sends the task some 10 ms later, before it hears of the handover.
            let drained = CRASH + Span::millis(2_512 + 8 * step);
            world.drain_at(drained, idle[1]);
            world.drain_at(drained, idle[2]);
        });
    }
}

/// The owner of a start in doubt dies in a data centre that is being evacuated. Its rack can't run the task any more, and the entry sends it
/// to another one without a doubt.
#[test]
fn lost_task_of_an_evacuated_rack_runs_once() {
    check(4, |site| {
        let entry = site.idle[0];
        site.hold_start(entry);
        let world = &mut site.world;
        world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
        let kill = CRASH + Span::millis(300);
        world.kill_at(kill, site.owner, KILLED);
        let evacuated = kill + Span::millis(500);
        world.evacuate_at(evacuated, "ulemiste", Span::seconds(8));
    });
}
