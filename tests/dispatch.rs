//! The dispatcher of leased tasks, over orders of events: dispatchers, endpoints and callers in one simulated world.
//!
//! At every moment no task runs twice; at the end a job that was always told "not run" was never started, and one
//! that was told complete has every task done.

#[path = "dispatch/crashes.rs"]
mod crashes;
#[path = "dispatch/endpoint.rs"]
mod endpoint;
#[path = "dispatch/evacuation.rs"]
mod evacuation;
#[path = "dispatch/overload.rs"]
mod overload;
#[path = "dispatch/placement.rs"]
mod placement;
#[path = "dispatch/rows.rs"]
mod rows;
#[path = "dispatch/stored.rs"]
mod stored;
#[path = "dispatch/world.rs"]
mod world;

use poplarknot::{
    dispatch::{
        id::Epoch,
        message::{
            Answer,
            Contact,
            Input,
            Output, //
        },
        Dispatcher,
        Identity,
        CONNECTION_GRACE, //
    },
    prelude::*, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use world::{
    Faults,
    World, //
};

const CALM: Faults = Faults {
    late: 0.0,
    lost_heartbeats: 0.0,
    failures: 0.0,
    broken_links: 0.0,
    lost_calls: 0.0,
};

fn completed(answer: &Answer) -> bool {
    *answer == Answer::Completed
}

/// Callers hand in jobs at three instances while nothing fails. Every job is complete, and nothing is stopped.
#[test]
fn calm_jobs_complete() {
    let mut world = World::new(1, 3, 2, CALM);
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert_eq!(world.count(completed), 60);
    assert_eq!(world.stopped, 0);
}

/// An instance dies with racks, runs and callers. Its callers come again elsewhere after 1.3 s; until then the
/// other owners have stopped what it had with them, and a new owner has cleared its endpoints. Nothing runs twice,
/// and work goes on.
#[test]
fn owner_dies() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.kill_at(Span::millis(1_500), 1 + seed as usize % 2, Span::seconds(1));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 50, "{}", world.count(completed));
    }
}

/// An instance stands still for 3.5 s and wakes. Others have taken its racks over; it must neither start, nor
/// extend, nor answer by what it believed before.
#[test]
fn frozen_owner_wakes() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.freeze_at(Span::millis(1_000), 1, Span::millis(3_500));
        world.run(Span::seconds(9));
        world.finish_and_check();
    }
}

/// Instances are cut from each other while all reach the endpoints, so that both sides take the other for dead. If each
/// claimed the other's racks, they would fence each other off by turns and stop all that runs. They leave them alone
/// while something runs there, and each side goes on with its own.
#[test]
fn instances_cut_apart() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 4, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.partition_at(Span::millis(1_000), &[0, 1], Span::seconds(4));
        world.run(Span::seconds(9));
        world.finish_and_check();
        assert!(world.count(completed) >= 50, "{}", world.count(completed));
        assert!(world.stopped <= 30, "{} stops", world.stopped);
    }
}

/// Orders get no answer and are carried out seconds later. A start is sent again, which an endpoint that has it
/// confirms; one that comes late finds its lease passed or its run barred.
#[test]
fn orders_applied_late() {
    let faults = Faults { late: 0.1, ..CALM };
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, faults);
        world.submit_jobs(60, Span::millis(150));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 54, "{}", world.count(completed));
    }
}

/// Endpoints carry orders out and answer none for 3 s. Their runs count as gone only when every lease that they may
/// have been given has passed on clocks that are up to 2 % slow; then the tasks run elsewhere.
#[test]
fn endpoints_fall_silent() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.mute_endpoint_at(Span::millis(1_000), 0, Span::seconds(3));
        world.mute_endpoint_at(Span::millis(1_500), 5, Span::seconds(3));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 54, "{}", world.count(completed));
    }
}

/// An endpoint crashes. Its runs are gone at once, and its tasks run elsewhere without waiting for leases.
#[test]
fn endpoint_crashes() {
    let mut world = World::new(3, 3, 2, CALM);
    world.submit_jobs(60, Span::millis(150));
    world.crash_at(Span::millis(1_000), 2);
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert_eq!(world.count(completed), 60);
}

/// An endpoint says that it leaves. Nothing new starts there from the moment that the instances have read it.
#[test]
fn leaving_endpoint_gets_nothing_new() {
    let mut world = World::new(4, 3, 2, CALM);
    world.submit_jobs(60, Span::millis(150));
    world.leave_at(Span::millis(1_000), 2);
    world.run(Span::millis(1_000));
    let left = world.now;
    world.run(Span::seconds(7));
    world.finish_and_check();
    assert_eq!(world.starts_on(2, left + Span::millis(5)), 0);
    assert_eq!(world.count(completed), 60);
}

/// An instance gets SIGTERM. Its racks go to others with all that runs there: nothing is stopped, every caller gets
/// its complete answer, and the instance ends.
#[test]
fn drain_cuts_nothing_off() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.submit_jobs(60, Span::millis(150));
        // The two that own a rack, by turns.
        world.drain_at(Span::millis(1_000), 1 + seed as usize % 2);
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert_eq!(world.hosts_up, 2);
        assert_eq!(world.stopped, 0, "seed {seed}");
        let refused = |a: &Answer| matches!(a, Answer::Refused { .. });
        assert_eq!(
            world.count(completed) + world.count(refused),
            60,
            "seed {seed}"
        );
    }
}

/// The only instance of a data centre is restarted, and another takes its rack over. When it has been back for a while it
/// gets the rack again, with all that runs there: otherwise, cut off with its data centre, it would own nothing.
#[test]
fn racks_return_home() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.submit_jobs(60, Span::millis(150));
        world.kill_at(Span::millis(500), 1, Span::seconds(1));
        world.run(Span::millis(2_500));
        assert_eq!(world.racks_of(1), 0);
        let stopped = world.stopped;
        world.run(Span::seconds(5));
        assert_eq!(world.racks_of(1), 1);
        assert_eq!(world.stopped, stopped, "seed {seed}");
        world.run(Span::seconds(8));
        world.finish_and_check();
    }
}

/// All instances lose power at once and start again, knowing nothing. Endpoints remember the highest token of the lives
/// before; the new claims must be above it, or each is refused and the service stays away for seconds.
#[test]
fn all_die_and_come_back() {
    let mut world = World::new(8, 3, 2, CALM);
    world.submit_jobs(20, Span::millis(150));
    world.run(Span::millis(2_500));
    for i in 0..3 {
        world.kill_at(Span::millis(1), i, Span::millis(1_000));
    }
    world.run(Span::millis(2_200));
    let before = world.count(completed);
    world.submit_jobs(20, Span::millis(100));
    world.run(Span::millis(3_000));
    world.finish_and_check();
    assert!(world.count(completed) - before >= 20);
}

/// Runs fail at random. A task is run again up to its attempts, and the job is told failed only after that.
#[test]
fn runs_fail() {
    let faults = Faults {
        failures: 0.1,
        ..CALM
    };
    let mut world = World::new(6, 3, 2, faults);
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert!(world.count(completed) > 50, "{}", world.count(completed));
}

/// More work comes than there is room for, so that tasks that wait are sent back to their entries and placed elsewhere,
/// and instances that end hand their racks over with what is left of each batch. A connection breaks now and then: what
/// the next owner says of a batch then comes before what the former one said, and an entry gives batches up that have
/// moved meanwhile. A report must count for no more than its sender knows.
///
/// Where a report stood for the whole batch, a caller was told complete while a task that had been sent back had never run:
/// at 3,360 ms three tasks went to instance-1, which sent task 1 back; at 3,531 ms `rack_handed_over` to instance-3, which
/// ended task 3; at 3,727 ms `job_answered` `Completed`. Where a former owner's word was taken for the batch, a caller
/// was told that nothing was run: `task_done` at 4,547 ms, the rack handed over at 4,883 ms, `Refused` at 5,215 ms.
#[test]
fn racks_move_while_links_break() {
    let faults = Faults {
        broken_links: 0.05,
        ..CALM
    };
    // With them callers were told what is untrue: with 133 "complete" (1 of 400 seeds), with the others "not run" (7 of 400).
    for seed in [19, 33, 82, 133, 204, 228, 274, 348] {
        let mut world = World::new(seed, 6, 4, faults);
        world.submit_jobs(120, Span::millis(20));
        for (n, instance) in [1, 3, 0, 4].into_iter().enumerate() {
            let at = 400 + 450 * n as u64 + 7 * seed % 400;
            world.drain_at(Span::millis(at), instance);
        }
        world.run(Span::seconds(9));
        world.finish_and_check();
    }
}

/// Everything at once, at random moments, over many seeds: deaths, freezes, cuts, silence, crashes, drains, late orders,
/// lost heartbeats, broken links and failing runs. What must hold does.
#[test]
fn faults_together() {
    fn holds(seed: u64, kinds: Vec<u8>) -> bool {
        let faults = Faults {
            late: 0.03,
            lost_heartbeats: 0.05,
            failures: 0.02,
            broken_links: 0.02,
            ..CALM
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.submit_jobs(80, Span::millis(80));
        for (n, kind) in kinds.iter().take(6).enumerate() {
            let at = Span::millis(400 + n as u64 * 650);
            let (instance, worker) = (*kind as usize / 8 % 4, *kind as usize / 8 % 12);
            match kind % 8 {
                0 => world.kill_at(at, instance, Span::millis(800)),
                1 => world.freeze_at(at, instance, Span::millis(2_500)),
                2 => world.partition_at(at, &[instance], Span::millis(2_500)),
                3 => world.mute_endpoint_at(at, worker, Span::millis(2_000)),
                4 => world.crash_at(at, worker),
                5 => world.freeze_at(at, instance, Span::millis(500)),
                6 => world.drain_at(at, instance),
                _ => world.partition_at(at, &[instance, (instance + 1) % 4], Span::millis(1_500)),
            }
        }
        world.run(Span::seconds(12));
        world.finish_and_check();
        true
    }
    QuickCheck::new()
        .tests(40)
        .rng(Gen::from_size_and_seed(20, 17))
        .quickcheck(holds as fn(u64, Vec<u8>) -> bool);
}

/// A caller connects just before an instance that was asked to end stops taking connections, and its request comes just
/// after. The instance has nothing else to do; if it ended at once the caller would see its connection break. It
/// goes on answering for a while, and says that the job was not run.
#[test]
fn leaving_instance_answers_the_last_connections() {
    let identity = Identity {
        contact: Contact {
            name: "instance".parse().unwrap(),
            address: "instance:1".to_owned(),
        },
        centre: "a".to_owned(),
        incarnation: 1,
        share: 250,
        epoch: Epoch(1),
    };
    let begun = Time(1_000_000);
    let mut dispatcher = Dispatcher::new(identity, begun);
    dispatcher.step(begun, Input::Drain);
    let mut closed = None;
    let mut drained = None;
    for tick in 1..600 {
        let now = begun + Span::millis(tick * 10);
        for output in dispatcher.step(now, Input::Tick) {
            match output {
                Output::CloseIdleCallers => closed = Some(now),
                Output::Drained => drained = drained.or(Some(now)),
                _ => {}
            }
        }
    }
    let (closed, drained) = (closed.unwrap(), drained.unwrap());
    assert!(
        drained >= closed + CONNECTION_GRACE + CONNECTION_GRACE,
        "idle connections are closed before it"
    );
}
