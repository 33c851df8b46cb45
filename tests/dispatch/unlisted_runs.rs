//! Runs on endpoints that the next owners of their rack don't list yet.

use poplarknot::prelude::*;

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// Endpoints of the rack, of which the last one joins while the world runs.
const ENDPOINTS: usize = 5;

/// Returns the owner of the only rack.
fn owner(world: &World) -> Option<usize> {
    (0..INSTANCES).find(|i| world.rack_count(*i) > 0)
}

const INSTANCES: usize = 4;

/// Returns a world in which an endpoint has joined the only rack and runs tasks, and its owner, which alone lists it, was drained.
/// Returns the next owner too.
fn world_after_handover(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, INSTANCES, 1, NO_FAULTS);
    world.collect_overlaps();
    let first = owner(&world).unwrap();
    world.lag_rosters(Span(0), Span::millis(10));
    let others = (0..INSTANCES).filter(|i| *i != first);
    others.for_each(|i| world.deny_list(i));
    world.join_at(Span(1), 0, Span::millis(100));
    world.run(Span::millis(400));
    let shape = Shape {
        wait: Span::seconds(9),
        ..Shape::default()
    };
    let entry = (first + 1) % INSTANCES;
    for n in 0..3 {
        let short = (4, 1_000, Span::millis(150));
        world.submit_at(Span::millis(n), entry, short, shape);
    }
    for n in 0..4 {
        let long = (2, 1_000, Span::seconds(4));
        world.submit_at(Span::millis(10 + n), entry, long, shape);
    }
    world.run(Span::millis(300));
    let started = world.starts_on(ENDPOINTS - 1, Time::default());
    assert!(started > 0, "nothing runs on the endpoint that joined");
    world.drain_at(Span(1), first);
    world.run(Span::millis(50));
    let second = owner(&world).unwrap();
    assert_ne!(second, first);
    (world, second)
}

/// Guards against a task that the second of two next owners of its rack starts beside its run, since the first one, which didn't list
/// the run's endpoint yet, doesn't pass on that the task may run there.
#[test]
fn second_handover_past_an_unlisted_endpoint_runs_no_task_twice() {
    for seed in 0..8 {
        let (mut world, second) = world_after_handover(seed);
        world.drain_at(Span::millis(50), second);
        world.run(Span::seconds(9));
        world.check_no_overlaps();
    }
}

/// Guards against a task that the next owner of its rack starts beside its run on an endpoint that it doesn't list yet.
#[test]
fn handover_past_an_unlisted_endpoint_runs_no_task_twice() {
    for seed in 0..8 {
        let (mut world, _) = world_after_handover(seed);
        world.run(Span::seconds(9));
        world.check_no_overlaps();
    }
}
