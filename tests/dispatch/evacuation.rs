//! Evacuation of data centres: no task may be started in a data centre while it's evacuated, whatever else fails.

use poplarknot::{
    dispatch::message::Answer,
    prelude::*, //
};

use super::{
    completed,
    world::{
        CallerView,
        World, //
    },
    NO_FAULTS, //
};

/// How long an instance that the store refuses may take to learn of an evacuation from heartbeats: three intervals and the
/// transit.
const HEARTBEAT_LAG: Span = Span::millis(350);

/// The longest transit time of a start.
const TRANSIT: Span = Span::millis(1);

fn is_refused(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused { .. })
}

/// Runs for `span` and checks that nothing is started in a data centre later than `after` from now.
fn run_and_check_no_starts(world: &mut World, centre: &str, after: Span, span: Span) {
    let from = world.now + after;
    world.run(span);
    assert_eq!(world.starts_in(centre, from, world.now), 0);
}

/// One of two data centres is evacuated for 4 s. Its runs must not be stopped, waiting tasks must start elsewhere, and the data
/// centre must get tasks again afterwards.
#[test]
fn evacuated_centre_gets_no_new_tasks() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(1_000), "ulemiste", Span::seconds(4));
        world.run(Span::millis(1_000));
        assert!(world.starts_in("ulemiste", Time(0), world.now) > 0);
        run_and_check_no_starts(&mut world, "ulemiste", TRANSIT, Span::millis(3_990));
        let returned = world.now + Span::millis(10);
        world.run(Span::seconds(6));
        assert!(world.starts_in("ulemiste", returned, world.now) > 0);
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
        assert_eq!(world.stopped, 0, "seed {seed}");
    }
}

/// The owner of the evacuated data centre's endpoints can't read the store. It must learn of the evacuation and of its end from
/// heartbeats.
#[test]
fn evacuation_reaches_instances_that_the_store_refuses() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.deny_store_at(Span::millis(500), 1, Span::seconds(20));
        world.evacuate_at(Span::millis(1_000), "maardu", Span::seconds(4));
        world.run(Span::millis(1_000));
        run_and_check_no_starts(&mut world, "maardu", HEARTBEAT_LAG, Span::millis(3_990));
        let returned = world.now + Span::millis(10);
        world.run(Span::seconds(6));
        assert!(world.starts_in("maardu", returned, world.now) > 0);
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
    }
}

/// All instances crash during an evacuation and restart without state, and one of them can't read the store. It must learn of the
/// evacuation from a heartbeat before it owns a rack.
#[test]
fn evacuation_survives_a_restart_of_all_instances() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(7));
        world.run(Span::millis(1_000));
        world.deny_store_at(Span(0), 1, Span::seconds(20));
        for i in 0..3 {
            world.kill_at(Span::millis(1), i, Span::millis(1_000 + 40 * i as u64));
        }
        run_and_check_no_starts(&mut world, "maardu", TRANSIT, Span::millis(6_400));
        world.run(Span::seconds(8));
        world.finish_and_check();
        assert!(world.count(completed) > 60, "{}", world.count(completed));
    }
}

/// Racks of an evacuated data centre change owners by a crash, a restart and a drain. No new owner may start a task there.
#[test]
fn evacuation_applies_to_new_owners_of_racks() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 4, NO_FAULTS);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(9));
        world.kill_at(Span::millis(1_500), 1, Span::seconds(1));
        world.drain_at(Span::millis(6_000), 3);
        world.run(Span::millis(500));
        run_and_check_no_starts(&mut world, "maardu", TRANSIT, Span::millis(8_990));
        world.run(Span::seconds(6));
        world.finish_and_check();
        assert!(world.count(completed) > 70, "{}", world.count(completed));
    }
}

/// One data centre is evacuated as soon as the evacuation of the other ends. Tasks must start only in the one that isn't
/// evacuated, and all jobs must complete.
#[test]
fn two_centres_are_evacuated_in_turn() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(3));
        world.evacuate_at(Span::millis(3_500), "ulemiste", Span::seconds(3));
        world.run(Span::millis(500));
        run_and_check_no_starts(&mut world, "maardu", TRANSIT, Span::millis(2_990));
        world.run(Span::millis(10));
        run_and_check_no_starts(&mut world, "ulemiste", TRANSIT, Span::millis(2_990));
        world.run(Span::seconds(6));
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
    }
}

/// All data centres are evacuated. New jobs and those that haven't started must be refused at once, and must never run.
#[test]
fn jobs_that_can_run_nowhere_are_refused_at_once() {
    let mut world = World::new(5, 3, 4, NO_FAULTS);
    world.submit_jobs(40, Span::millis(100));
    world.evacuate_at(Span::millis(1_000), "maardu", Span::seconds(6));
    world.evacuate_at(Span::millis(1_000), "ulemiste", Span::seconds(6));
    world.run(Span::millis(1_000));
    let from = world.now + TRANSIT;
    world.run(Span::seconds(4));
    assert_eq!(world.starts_in("maardu", from, world.now), 0);
    assert_eq!(world.starts_in("ulemiste", from, world.now), 0);
    for view in world.jobs.values().filter(|view| view.submitted_at > from) {
        let at_once = view.answered_at.since(view.submitted_at) <= Span::millis(20);
        assert!(view.answer.as_ref().is_some_and(is_refused) && at_once);
    }
    let was_waiting = |view: &&CallerView| {
        view.submitted_at <= from && view.answered_at > from && view.only_refused
    };
    for view in world.jobs.values().filter(was_waiting) {
        assert!(view.answered_at.since(from) <= Span::millis(50), "{view:?}");
    }
    world.finish_and_check();
}
