//! Property tests of the core over orders of events: losses, duplicates, delays, crashes, clock jumps.

#![allow(unreachable_pub)] // The world is a module of the test.

#[path = "orders/world.rs"]
mod world;

use poplarknot::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};
use world::{
    Step,
    World, //
};

/// A time for which keys are kept that outlasts every order of events.
const LONG: Span = Span::seconds(3_600);

/// Steps in one order of events.
const STEPS: usize = 400;

fn check(property: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, 7))
        .tests(500)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Runs an order of events, then lets everything that is left arrive.
fn run(steps: Vec<Step>) -> World {
    run_with(LONG, steps)
}

fn run_with(kept: Span, steps: Vec<Step>) -> World {
    let mut world = World::new(kept);
    for step in steps {
        world.take(step);
    }
    world.finish();
    world
}

// The orders of events reach every outcome, so that the properties below are not empty.
#[test]
fn every_outcome_is_reached() {
    use quickcheck::Arbitrary as _;
    let mut gen = Gen::from_size_and_seed(STEPS, 7);
    let worlds = (0..50).map(|_| run(Vec::arbitrary(&mut gen)));
    let answers = worlds.flat_map(|world| world.answers);
    let mut counts = std::collections::BTreeMap::<Outcome, u32>::new();
    for (_, answer) in answers {
        *counts.entry(answer.outcome).or_default() += 1;
    }
    println!("{counts:?}");
    assert_eq!(counts.len(), 4, "{counts:?}");
}

// A caller submits a job, and again at any instance, while messages are lost, doubled and late, the table loses
// answers or applies writes late, instances crash and stand still. Each task starts at most once: the claim in the
// table names one incarnation, and no other ever starts anything under it.
#[test]
fn no_task_starts_twice() {
    fn property(steps: Vec<Step>) -> bool {
        run(steps).twice().is_empty()
    }
    check(property);
}

// A caller submits a job again when the instance that ran it has dropped its key, to stay within its bounds of memory.
// The claim in the table still names that incarnation, under a nonce that no longer stands for a job in memory; a range
// whose keys were dropped is closed. So the caller is told "unknown" or the recorded outcome, and nothing runs again.
#[test]
fn a_key_that_was_dropped_is_not_run_again() {
    fn property(steps: Vec<Step>) -> bool {
        run_with(Span::millis(200), steps).twice().is_empty()
    }
    check(property);
}

// A caller is told "not run" for its job, by whichever instance refused it, and may act on that. No task of the job
// had started by then, and none starts later unless the job is submitted again: only what was never handed out for a
// start is called "not run", and a refusal before the claim is checked against the table.
#[test]
fn what_is_not_run_was_not_run() {
    fn property(steps: Vec<Step>) -> bool {
        let world = run(steps);
        world.lies.is_empty() && world.untold().is_empty()
    }
    check(property);
}

// A caller gets results of several tasks that end in any order, some told twice, some after a look. An answer that is
// complete has each task's own result in its place; any other has none.
#[test]
fn an_answer_is_whole_or_has_no_results() {
    fn property(steps: Vec<Step>) -> bool {
        let world = run(steps);
        world.answers.iter().all(|(submitted, answer)| {
            let expected = world::results(*submitted);
            let results: Vec<_> = answer.results.iter().map(|r| r.get().to_owned()).collect();
            match answer.outcome {
                Outcome::Complete => results == expected,
                _ => results.is_empty(),
            }
        })
    }
    check(property);
}

// A caller waits for its answer while everything that could bring it is lost. It gets exactly one answer all the same
// as long as its instance lives: the deadline brings it, whatever else has not come.
#[test]
fn every_request_gets_one_answer() {
    fn property(steps: Vec<Step>) -> bool {
        let world = run(steps);
        world.unanswered().is_empty() && world.doubled == 0
    }
    check(property);
}

// A desk releases a confirmation, marked non-idempotent, and its endpoint falls silent or the connection breaks. The
// release runs at most once: it is sent again only after the endpoint has barred the first attempt.
#[test]
fn a_start_is_repeated_only_after_it_is_barred() {
    fn property(steps: Vec<Step>) -> bool {
        let world = run(steps);
        world.repeats.is_empty()
    }
    check(property);
}

// A caller waits for its answer when its instance is told to end, in the middle of losses, crashes and late answers. The
// instance says that it has drained only when every request that it took has its answer, and it does say so in the end.
#[test]
fn a_drain_ends_when_everything_is_answered() {
    fn property(mut steps: Vec<Step>) -> bool {
        let later = steps.split_off(steps.len() / 2);
        let mut world = World::new(LONG);
        steps.into_iter().for_each(|step| world.take(step));
        world.drain();
        later.into_iter().for_each(|step| world.take(step));
        world.drain();
        world.finish();
        world.cut_off.is_empty() && world.drained >= 3 && world.unanswered().is_empty()
    }
    check(property);
}
