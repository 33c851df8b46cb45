//! Overload: the order in which tasks wait, refusals, stalled tasks, and restarts under load.

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
        }, //
    },
    prelude::*, //
};

use super::{
    world::World,
    NO_FAULTS, //
};

/// How long the burst lasts.
const BURST: Span = Span::seconds(2);

/// Runs a burst of three times the endpoints' capacity, followed by half of it. Returns the world and the time at which
/// the burst ended.
fn run_burst(seed: u64) -> (World, Time) {
    let mut world = World::new(seed, 3, 2, NO_FAULTS);
    world.submit_jobs(100, Span::millis(20));
    world.run(BURST);
    let burst_end = world.now;
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    (world, burst_end)
}

/// A burst's backlog must not delay later jobs. At least three in four jobs that are submitted 1.5 s after the burst
/// must be on time, and seven in eight after 5 s.
#[test]
fn burst_does_not_delay_later_jobs() {
    for seed in 0..5 {
        let (world, burst_end) = run_burst(seed);
        let count_late = |from: Span| {
            let after = world
                .jobs
                .iter()
                .filter(|(_, view)| view.submitted_at > burst_end + from);
            let after: Vec<JobId> = after.map(|(id, _)| *id).collect();
            let late = after.iter().filter(|id| !world.is_on_time(**id)).count();
            (late, after.len())
        };
        let (late, of) = count_late(Span::millis(1_500));
        assert!(
            late * 4 <= of,
            "seed {seed}: {late} of {of} jobs are late 1.5 s after the burst"
        );
        let (late, of) = count_late(Span::seconds(5));
        assert!(
            late * 8 <= of,
            "seed {seed}: {late} of {of} jobs are late 5 s after the burst"
        );
    }
}

/// During the burst the endpoints have capacity for three jobs in ten. At least two in ten must be on time; the rest
/// may go to tasks of jobs that are given up.
#[test]
fn part_of_a_burst_is_on_time() {
    let (mut served, mut all) = (0, 0);
    for seed in 0..5 {
        let (world, burst_end) = run_burst(seed);
        let during = world
            .jobs
            .iter()
            .filter(|(_, view)| view.submitted_at <= burst_end);
        let during: Vec<JobId> = during.map(|(id, _)| *id).collect();
        served += during.iter().filter(|id| world.is_on_time(**id)).count();
        all += during.len();
    }
    assert!(served * 5 >= all, "only {served} of {all} jobs are on time");
}

/// Jobs that can't end in useful time must be refused at once, with different retry delays: retries at the same time
/// would cause the next burst.
#[test]
fn refusals_are_immediate_with_spread_delays() {
    let (world, _) = run_burst(1);
    let mut quick = 0;
    let mut delays = BTreeSet::new();
    let mut refused = 0;
    for view in world.jobs.values() {
        if let Some(Answer::Refused { again: delay }) = view.answer {
            refused += 1;
            quick += usize::from(view.answered_at.since(view.submitted_at) < Span::millis(20));
            delays.insert(delay.as_millis() / 500);
        }
    }
    assert!(refused > 10, "only {refused} jobs were refused");
    assert!(
        quick * 10 >= refused * 8,
        "only {quick} of {refused} refusals came at once"
    );
    assert!(
        delays.len() >= 3,
        "the retry delays aren't spread: {delays:?}, in half seconds"
    );
}

/// Tasks wait in the order of their latest start. One that can't be on time any more must move behind all that can, or
/// it would make these late as well.
#[test]
fn late_tasks_wait_behind_the_others() {
    let mut queue = Queue::default();
    let at = |ms: u64| Time(1_000_000) + Span::millis(ms);
    let waiting = |n: u64| Waiting {
        batch: Handle(n),
        index: 0,
    };
    let rank = |due: Time| Rank {
        due,
        priority: 0,
        job: 5,
        work: 5,
    };
    for (n, due) in [(1, 30), (2, 10), (3, 50)] {
        queue.push(waiting(n), rank(at(due)), at(0));
    }
    let order = |queue: &Queue| queue.iter().map(|w| w.batch.0).collect::<Vec<u64>>();
    assert_eq!(order(&queue), [2, 1, 3]);
    queue.update(at(40));
    assert_eq!(order(&queue), [3, 2, 1]);
    assert_eq!(queue.work(), 15);
    assert!(queue.remove(waiting(2)));
    assert_eq!(order(&queue), [3, 1]);
}

/// A quarter of the endpoints accept tasks but make no progress for six seconds. Stalled runs must be stopped and
/// started elsewhere, or their jobs would miss their deadlines.
#[test]
fn stalled_tasks_are_started_elsewhere() {
    let (mut lost, mut late, mut all) = (0, 0, 0);
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        for w in [1, 6] {
            world.slow_endpoint_at(Span::millis(2_500), w, 0.0, Span::seconds(6));
        }
        world.submit_jobs(70, Span::millis(150));
        world.run(Span::seconds(11));
        world.finish_and_check();
        all += world.jobs.len();
        lost += world.jobs.len() - world.count(|a| *a == Answer::Completed);
        late += world
            .jobs
            .keys()
            .filter(|id| !world.is_on_time(**id))
            .count();
    }
    assert!(lost * 50 <= all, "{lost} of {all} jobs didn't complete");
    assert!(
        late * 5 <= all,
        "{late} of {all} jobs are late or didn't complete"
    );
}

/// All instances restart at once under load. Since no live member owns a rack, they must claim racks without waiting for
/// owners' heartbeats: endpoints that idle meanwhile would leave a backlog.
#[test]
fn racks_are_claimed_at_once_after_all_instances_restart() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        let down = Span::millis(700);
        for i in 0..3 {
            world.kill_at(Span::millis(500), i, down);
        }
        let restart = world.now + Span::millis(500) + down;
        world.submit_jobs(40, Span::millis(50));
        world.run(Span::seconds(4));
        world.finish_and_check();
        let starts = world.endpoints.iter().flat_map(|w| &w.history);
        let first = starts.map(|run| run.from).filter(|at| *at > restart).min();
        let idle = first.map(|at| at.since(restart));
        assert!(
            idle.is_some_and(|idle| idle < Span::millis(250)),
            "seed {seed}: nothing was started for {idle:?}"
        );
    }
}

/// One of five instances restarts while the others are alive. It must not claim their racks, although it receives their
/// heartbeats one after the other.
#[test]
fn a_restarted_instance_claims_no_owned_rack() {
    for seed in 0..5 {
        let mut world = World::new(seed, 5, 6, NO_FAULTS);
        world.kill_at(Span::millis(500), 0, Span::millis(1_500));
        world.run(Span::millis(500 + 1_500 + 400));
        assert_eq!(world.rack_count(0), 0, "seed {seed}");
        let owned: usize = (1..5).map(|i| world.rack_count(i)).sum();
        assert_eq!(owned, 6, "seed {seed}");
    }
}

/// Among tasks that are all on time, or all late, those of the highest priority go first, and of these the ones of jobs
/// with the least work. A task that is long overdue must go before all others, or it would starve.
#[test]
fn priority_and_least_work_go_first_and_no_task_starves() {
    let mut queue = Queue::default();
    let at = |ms: u64| Time(1_000_000) + Span::millis(ms);
    let waiting = |n: u64| Waiting {
        batch: Handle(n),
        index: 0,
    };
    let rank = |due: u64, priority: u32, job: u64| Rank {
        due: at(due),
        priority,
        job,
        work: 1,
    };
    let (long, wide, short) = (rank(40, 2, 90), rank(50, 0, 80), rank(60, 0, 10));
    for (n, rank) in [(1, long), (2, wide), (3, short)] {
        queue.push(waiting(n), rank, at(0));
    }
    let order = |queue: &Queue| queue.iter().map(|w| w.batch.0).collect::<Vec<u64>>();
    assert_eq!(order(&queue), [3, 2, 1]);
    queue.update(at(100));
    assert_eq!(order(&queue), [3, 2, 1]);
    queue.push(waiting(4), rank(200, 2, 90), at(100));
    assert_eq!(
        order(&queue),
        [4, 3, 2, 1],
        "a task that can be on time isn't first"
    );
    queue.update(at(6_000));
    queue.push(waiting(5), rank(6_100, 0, 1), at(6_000));
    assert_eq!(
        order(&queue),
        [1, 2, 3, 4, 5],
        "long overdue tasks aren't first"
    );
}
