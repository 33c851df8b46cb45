//! Load at its worst: more work than the endpoints can do in its time, and how it waits and is turned away.

use std::collections::BTreeSet;

use poplarknot::{
    dispatch::{
        id::JobId,
        message::Answer,
        queue::{
            Handle,
            Queue,
            Rank,
            Waiting, //
        },
    },
    prelude::*,
};

use super::{
    world::World,
    CALM, //
};

/// How long the burst lasts, and what follows it.
const BURST: Span = Span::seconds(2);

/// Plays a burst of three times the work that the endpoints can do, and then half of what they can.
fn burst(seed: u64) -> (World, Time) {
    let mut world = World::new(seed, 3, 2, CALM);
    world.submit_jobs(100, Span::millis(20));
    world.run(BURST);
    let over = world.now;
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    (world, over)
}

/// Two seconds bring three times the work that can be done. Callers are turned away meanwhile; if instead all of it
/// waited, everything would be late for as long as the usual load lasts. What was taken in and is late waits behind what
/// comes after, so that most of that is on time at once, and all but a few when five seconds have passed.
#[test]
fn burst_passes() {
    for seed in 0..5 {
        let (world, over) = burst(seed);
        let late = |from: Span| {
            let after = world
                .jobs
                .iter()
                .filter(|(_, seen)| seen.since > over + from);
            let after: Vec<JobId> = after.map(|(id, _)| *id).collect();
            let late = after.iter().filter(|id| !world.on_time(**id)).count();
            (late, after.len())
        };
        let (soon, of) = late(Span::millis(1_500));
        assert!(soon * 4 <= of, "seed {seed}: {soon} of {of} after 1.5 s");
        let (later, of) = late(Span::seconds(5));
        assert!(later * 8 <= of, "seed {seed}: {later} of {of} after 5 s");
    }
}

/// The endpoints can do three in ten of what the burst brings. Two in ten are on time at least: what was begun for jobs that
/// are given up costs the rest.
#[test]
fn burst_is_served_in_time() {
    let (mut served, mut all) = (0, 0);
    for seed in 0..5 {
        let (world, over) = burst(seed);
        let during = world.jobs.iter().filter(|(_, seen)| seen.since <= over);
        let during: Vec<JobId> = during.map(|(id, _)| *id).collect();
        served += during.iter().filter(|id| world.on_time(**id)).count();
        all += during.len();
    }
    assert!(served * 5 >= all, "{served} of {all}");
}

/// Callers whose jobs can't be done in any useful time hear that at once, and come back at different times: together they
/// would make the next burst.
#[test]
fn refusals_come_at_once_and_spread() {
    let (world, _) = burst(1);
    let mut quick = 0;
    let mut again = BTreeSet::new();
    let mut refused = 0;
    for seen in world.jobs.values() {
        if let Some(Answer::Refused { again: after }) = seen.answer {
            refused += 1;
            quick += usize::from(seen.at.since(seen.since) < Span::millis(20));
            again.insert(after.as_millis() / 500);
        }
    }
    assert!(refused > 10, "{refused} refused");
    assert!(quick * 10 >= refused * 8, "{quick} of {refused} at once");
    assert!(again.len() >= 3, "{again:?}");
}

/// Tasks wait in the order in which they must start. When one can't be on time any more it goes behind all that still can
/// be: in front, each would get its room just after its time, and everything would be late together.
#[test]
fn late_tasks_wait_behind_the_others() {
    let mut queue = Queue::default();
    let at = |ms: u64| Time(1_000_000) + Span::millis(ms);
    let waiting = |n: u64| Waiting {
        batch: Handle(n),
        index: 0,
    };
    let claim = |due: Time| Rank {
        due,
        priority: 0,
        job: 5,
        work: 5,
    };
    for (n, due) in [(1, 30), (2, 10), (3, 50)] {
        queue.push(waiting(n), claim(at(due)), at(0));
    }
    let order = |queue: &Queue| queue.iter().map(|w| w.batch.0).collect::<Vec<u64>>();
    assert_eq!(order(&queue), [2, 1, 3]);
    queue.update(at(40));
    assert_eq!(order(&queue), [3, 2, 1]);
    assert_eq!(queue.work(), 15);
    assert!(queue.remove(waiting(2)));
    assert_eq!(order(&queue), [3, 1]);
}

/// A quarter of the endpoints answer every call, take every task, and leave it standing still for six seconds. Each job with
/// a task there was lost: its run kept its room until its caller's time had passed. Such a run is stopped when its percent
/// has not risen for a quarter of its estimate and 100 ms, and started elsewhere.
#[test]
fn tasks_that_stand_still_are_started_elsewhere() {
    let (mut lost, mut late, mut all) = (0, 0, 0);
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, CALM);
        for w in [1, 6] {
            world.slow_endpoint_at(Span::millis(2_500), w, 0.0, Span::seconds(6));
        }
        world.submit_jobs(70, Span::millis(150));
        world.run(Span::seconds(11));
        world.finish_and_check();
        all += world.jobs.len();
        lost += world.jobs.len() - world.count(|a| *a == Answer::Completed);
        late += world.jobs.keys().filter(|id| !world.on_time(**id)).count();
    }
    assert!(lost * 50 <= all, "{lost} of {all} are lost");
    assert!(late * 5 <= all, "{late} of {all} are late or lost");
}

/// All instances die at once and are back after 0.7 s, while callers go on coming. Each listened for 450 ms before it claimed
/// a rack, in which no endpoint did anything: with four fifths of them in use before, what had waited took seconds to pass,
/// and a tenth of a second's callers were turned away. Where nobody that is heard owns anything there is nobody to wait for.
#[test]
fn a_fleet_that_starts_as_a_whole_serves_soon() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, CALM);
        let down = Span::millis(700);
        for i in 0..3 {
            world.kill_at(Span::millis(500), i, down);
        }
        let back = world.now + Span::millis(500) + down;
        world.submit_jobs(40, Span::millis(50));
        world.run(Span::seconds(4));
        world.finish_and_check();
        let starts = world.workers.iter().flat_map(|w| &w.history);
        let first = starts.map(|begun| begun.from).filter(|at| *at > back).min();
        let idle = first.map(|at| at.since(back));
        assert!(
            idle.is_some_and(|idle| idle < Span::millis(250)),
            "seed {seed}: nothing was started for {idle:?}"
        );
    }
}

/// One of three instances dies and is back while the others live. It claims nothing that is theirs, although it starts to hear
/// them one after the other.
#[test]
fn an_instance_that_starts_among_others_takes_no_rack() {
    for seed in 0..5 {
        let mut world = World::new(seed, 5, 6, CALM);
        world.kill_at(Span::millis(500), 0, Span::millis(1_500));
        world.run(Span::millis(500 + 1_500 + 400));
        assert_eq!(world.racks_of(0), 0, "seed {seed}");
        let owned: usize = (1..5).map(|i| world.racks_of(i)).sum();
        assert_eq!(owned, 6, "seed {seed}");
    }
}

/// Jobs of three queues wait for one endpoint after a burst: short ones whose operator puts them first, wide ones of the same queue,
/// and long ones of another. While all are on time, and again when all are late, what is put first goes first, and of that what
/// takes least. One that has waited long past its time goes before any other, however little that takes, so that none waits for
/// ever.
#[test]
fn priority_and_little_work_go_first_but_none_starves() {
    let mut queue = Queue::default();
    let at = |ms: u64| Time(1_000_000) + Span::millis(ms);
    let waiting = |n: u64| Waiting {
        batch: Handle(n),
        index: 0,
    };
    let claim = |due: u64, priority: u32, job: u64| Rank {
        due: at(due),
        priority,
        job,
        work: 1,
    };
    let (long, wide, short) = (claim(40, 2, 90), claim(50, 0, 80), claim(60, 0, 10));
    for (n, claim) in [(1, long), (2, wide), (3, short)] {
        queue.push(waiting(n), claim, at(0));
    }
    let order = |queue: &Queue| queue.iter().map(|w| w.batch.0).collect::<Vec<u64>>();
    assert_eq!(order(&queue), [3, 2, 1]);
    queue.update(at(100));
    assert_eq!(order(&queue), [3, 2, 1]);
    queue.push(waiting(4), claim(200, 2, 90), at(100));
    assert_eq!(
        order(&queue),
        [4, 3, 2, 1],
        "what can be on time goes first"
    );
    queue.update(at(6_000));
    queue.push(waiting(5), claim(6_100, 0, 1), at(6_000));
    assert_eq!(order(&queue), [1, 2, 3, 4, 5], "none waits for ever");
}
