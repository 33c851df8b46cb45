//! Evacuation of data centres: no task may be started in one while it's evacuated, whatever else fails.

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

/// How long it may take until heartbeats bring an evacuation to an instance that the store doesn't: three intervals and the transit.
const HEARTBEAT_LAG: Span = Span::millis(350);

/// The longest transit time of a start.
const TRANSIT: Span = Span::millis(1);

fn refused(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused { .. })
}

/// Runs for `span` and checks that nothing is started in a data centre later than `after` from now.
fn run_without_starts(world: &mut World, centre: &str, after: Span, span: Span) {
    let from = world.now + after;
    world.run(span);
    assert_eq!(world.starts_in(centre, from, world.now), 0);
}

/// One of two data centres is evacuated for 4 s. Its runs must end by themselves, waiting tasks must start elsewhere, and all jobs
/// must complete. After that the data centre must get tasks again.
#[test]
fn evacuated_centre_gets_nothing_new() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(1_000), "ulemiste", Span::seconds(4));
        world.run(Span::millis(1_000));
        assert!(world.starts_in("ulemiste", Time(0), world.now) > 0);
        run_without_starts(&mut world, "ulemiste", TRANSIT, Span::millis(3_990));
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
fn evacuation_reaches_whom_the_store_turns_away() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.deny_store_at(Span::millis(500), 1, Span::seconds(20));
        world.evacuate_at(Span::millis(1_000), "maardu", Span::seconds(4));
        world.run(Span::millis(1_000));
        run_without_starts(&mut world, "maardu", HEARTBEAT_LAG, Span::millis(3_990));
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
fn evacuation_outlives_all_instances() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(7));
        world.run(Span::millis(1_000));
        world.deny_store_at(Span(0), 1, Span::seconds(20));
        for i in 0..3 {
            world.kill_at(Span::millis(1), i, Span::millis(1_000 + 40 * i as u64));
        }
        run_without_starts(&mut world, "maardu", TRANSIT, Span::millis(6_400));
        world.run(Span::seconds(8));
        world.finish_and_check();
        assert!(world.count(completed) > 60, "{}", world.count(completed));
    }
}

/// During an evacuation racks change owners by a crash, a restart and a drain. No owner may start a task there.
#[test]
fn evacuation_goes_along_with_racks() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 4, NO_FAULTS);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(9));
        world.kill_at(Span::millis(1_500), 1, Span::seconds(1));
        world.drain_at(Span::millis(6_000), 3);
        world.run(Span::millis(500));
        run_without_starts(&mut world, "maardu", TRANSIT, Span::millis(8_990));
        world.run(Span::seconds(6));
        world.finish_and_check();
        assert!(world.count(completed) > 70, "{}", world.count(completed));
    }
}

/// One data centre is evacuated as soon as the evacuation of the other ends. Tasks must start only in the one that isn't evacuated,
/// and all jobs must complete.
#[test]
fn evacuations_follow_each_other() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(3));
        world.evacuate_at(Span::millis(3_500), "ulemiste", Span::seconds(3));
        world.run(Span::millis(500));
        run_without_starts(&mut world, "maardu", TRANSIT, Span::millis(2_990));
        world.run(Span::millis(10));
        run_without_starts(&mut world, "ulemiste", TRANSIT, Span::millis(2_990));
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
    for seen in world.jobs.values().filter(|seen| seen.since > from) {
        let at_once = seen.at.since(seen.since) <= Span::millis(20);
        assert!(seen.answer.as_ref().is_some_and(refused) && at_once);
    }
    let was_waiting = |seen: &&CallerView| seen.since <= from && seen.at > from && seen.refused;
    for seen in world.jobs.values().filter(was_waiting) {
        assert!(seen.at.since(from) <= Span::millis(50), "{seen:?}");
    }
    world.finish_and_check();
}
