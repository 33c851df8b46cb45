//! The operator evacuates a data centre: nothing is started there while that stands, whatever else happens.

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
    CALM, //
};

/// How long heartbeats may take to tell an instance what the store doesn't: three of them, and what is on its way.
const TOLD: Span = Span::millis(350);

/// How long a start that has left may be on its way.
const WAY: Span = Span::millis(1);

fn refused(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused { .. })
}

/// Checks that nothing was started in a data centre in a span that begins `after` from now, while time passes until its end.
fn run_without_starts(world: &mut World, centre: &str, after: Span, span: Span) {
    let from = world.now + after;
    world.run(span);
    assert_eq!(world.starts_in(centre, from, world.now), 0);
}

/// Callers hand in what the other data centre can carry while one of two is evacuated for 4 s. Its instances go on taking jobs; what runs there ends
/// by itself, what waits there is started elsewhere at once, and no caller gets less than a complete answer. Taken back, it works
/// again.
#[test]
fn evacuated_centre_gets_nothing_new() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(1_000), "ulemiste", Span::seconds(4));
        world.run(Span::millis(1_000));
        assert!(world.starts_in("ulemiste", Time(0), world.now) > 0);
        run_without_starts(&mut world, "ulemiste", WAY, Span::millis(3_990));
        let returned = world.now + Span::millis(10);
        world.run(Span::seconds(6));
        assert!(world.starts_in("ulemiste", returned, world.now) > 0);
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
        assert_eq!(world.stopped, 0, "seed {seed}");
    }
}

/// The store turns the only instance of the evacuated data centre away, which owns its endpoints. It hears of the evacuation from
/// its peers, and of its end.
#[test]
fn evacuation_reaches_whom_the_store_turns_away() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.deny_store_at(Span::millis(500), 1, Span::seconds(20));
        world.evacuate_at(Span::millis(1_000), "maardu", Span::seconds(4));
        world.run(Span::millis(1_000));
        run_without_starts(&mut world, "maardu", TOLD, Span::millis(3_990));
        let returned = world.now + Span::millis(10);
        world.run(Span::seconds(6));
        assert!(world.starts_in("maardu", returned, world.now) > 0);
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
    }
}

/// All instances lose power while a data centre is evacuated. They start again knowing nothing; one of them is turned away by the
/// store, and hears of the evacuation with the first heartbeat of a peer, before it owns anything.
#[test]
fn evacuation_outlives_all_instances() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(7));
        world.run(Span::millis(1_000));
        world.deny_store_at(Span(0), 1, Span::seconds(20));
        for i in 0..3 {
            world.kill_at(Span::millis(1), i, Span::millis(1_000 + 40 * i as u64));
        }
        run_without_starts(&mut world, "maardu", WAY, Span::millis(6_400));
        world.run(Span::seconds(8));
        world.finish_and_check();
        assert!(world.count(completed) > 60, "{}", world.count(completed));
    }
}

/// An instance dies while its data centre is evacuated, and starts again; later it is asked to end. Racks change their owners
/// three times, and no owner starts anything there.
#[test]
fn evacuation_goes_along_with_racks() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 4, CALM);
        world.submit_jobs(80, Span::millis(100));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(9));
        world.kill_at(Span::millis(1_500), 1, Span::seconds(1));
        world.drain_at(Span::millis(6_000), 3);
        world.run(Span::millis(500));
        run_without_starts(&mut world, "maardu", WAY, Span::millis(8_990));
        world.run(Span::seconds(6));
        world.finish_and_check();
        assert!(world.count(completed) > 70, "{}", world.count(completed));
    }
}

/// One data centre is taken back as the other is evacuated, while callers hand in what one can carry. At no moment is the wrong one left
/// out, and every caller gets a complete answer.
#[test]
fn evacuations_follow_each_other() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.evacuate_at(Span::millis(500), "maardu", Span::seconds(3));
        world.evacuate_at(Span::millis(3_500), "ulemiste", Span::seconds(3));
        world.run(Span::millis(500));
        run_without_starts(&mut world, "maardu", WAY, Span::millis(2_990));
        world.run(Span::millis(10));
        run_without_starts(&mut world, "ulemiste", WAY, Span::millis(2_990));
        world.run(Span::seconds(6));
        world.finish_and_check();
        assert_eq!(world.count(completed), 60, "seed {seed}");
    }
}

/// Every data centre is evacuated. A caller's job can run nowhere: it is refused at once, with a time to come back, and so is what
/// waited and had not begun. Nothing of what is refused ever runs.
#[test]
fn jobs_that_can_run_nowhere_are_refused_at_once() {
    let mut world = World::new(5, 3, 4, CALM);
    world.submit_jobs(40, Span::millis(100));
    world.evacuate_at(Span::millis(1_000), "maardu", Span::seconds(6));
    world.evacuate_at(Span::millis(1_000), "ulemiste", Span::seconds(6));
    world.run(Span::millis(1_000));
    let from = world.now + WAY;
    world.run(Span::seconds(4));
    assert_eq!(world.starts_in("maardu", from, world.now), 0);
    assert_eq!(world.starts_in("ulemiste", from, world.now), 0);
    for seen in world.jobs.values().filter(|seen| seen.since > from) {
        let at_once = seen.at.since(seen.since) <= Span::millis(20);
        assert!(seen.answer.as_ref().is_some_and(refused) && at_once);
    }
    let waited = |seen: &&CallerView| seen.since <= from && seen.at > from && seen.refused;
    for seen in world.jobs.values().filter(waited) {
        assert!(seen.at.since(from) <= Span::millis(50), "{seen:?}");
    }
    world.finish_and_check();
}
