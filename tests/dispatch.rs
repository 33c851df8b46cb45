//! Simulation tests of the dispatcher with endpoints, callers and faults.
//!
//! In all of them no task may run twice at the same time, a job whose every answer was a refusal may never have started, and all
//! tasks of a job that was answered as completed must be done.

#[path = "dispatch/announced_speed.rs"]
mod announced_speed;
#[path = "dispatch/burst.rs"]
mod burst;
#[path = "dispatch/crashes.rs"]
mod crashes;
#[path = "dispatch/endpoint.rs"]
mod endpoint;
#[path = "dispatch/evacuation.rs"]
mod evacuation;
#[path = "dispatch/former_lives.rs"]
mod former_lives;
#[path = "dispatch/headroom.rs"]
mod headroom;
#[path = "dispatch/licenses.rs"]
mod licenses;
#[path = "dispatch/mixed_faults.rs"]
mod mixed_faults;
#[path = "dispatch/orders_of_owners.rs"]
mod orders_of_owners;
#[path = "dispatch/overlap.rs"]
mod overlap;
#[path = "dispatch/overload.rs"]
mod overload;
#[path = "dispatch/owners_of_restarted.rs"]
mod owners_of_restarted;
#[path = "dispatch/placement.rs"]
mod placement;
#[path = "dispatch/renewed.rs"]
mod renewed;
#[path = "dispatch/review_doubts.rs"]
mod review_doubts;
#[path = "dispatch/review_restarts.rs"]
mod review_restarts;
#[path = "dispatch/rows.rs"]
mod rows;
#[path = "dispatch/speed.rs"]
mod speed;
#[path = "dispatch/stored.rs"]
mod stored;
#[path = "dispatch/straggler.rs"]
mod straggler;
#[path = "dispatch/travelling_doubts.rs"]
mod travelling_doubts;
#[path = "dispatch/unlisted_runs.rs"]
mod unlisted_runs;
#[path = "dispatch/withdrawals.rs"]
mod withdrawals;
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

const NO_FAULTS: Faults = Faults {
    late_orders: 0.0,
    lost_heartbeats: 0.0,
    failed_runs: 0.0,
    broken_links: 0.0,
    lost_store_calls: 0.0,
};

fn completed(answer: &Answer) -> bool {
    *answer == Answer::Completed
}

/// Without faults every job completes, and no run is stopped.
#[test]
fn jobs_complete_without_faults() {
    let mut world = World::new(1, 3, 2, NO_FAULTS);
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert_eq!(world.count(completed), 60);
    assert_eq!(world.stopped, 0);
}

/// An instance crashes that owns racks and has callers. Its runs must be stopped before its callers retry elsewhere, or their
/// tasks would run twice.
#[test]
fn crash_of_an_owner_runs_no_task_twice() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.kill_at(Span::millis(1_500), 1 + seed as usize % 2, Span::seconds(1));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 50, "{}", world.count(completed));
    }
}

/// An instance is suspended while others take its racks over. After it resumes it must not start, extend or answer anything by
/// its old state.
#[test]
fn resumed_owner_does_not_use_its_old_state() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.suspend_at(Span::millis(1_000), 1, Span::millis(3_500));
        world.run(Span::seconds(9));
        world.finish_and_check();
    }
}

/// A network partition between instances that all reach the endpoints. If each side claimed the other's racks, they would fence
/// each other in turn and stop all runs.
#[test]
fn partitioned_instances_do_not_fence_each_other() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 4, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.partition_at(Span::millis(1_000), &[0, 1], Span::seconds(4));
        world.run(Span::seconds(9));
        world.finish_and_check();
        assert!(world.count(completed) >= 50, "{}", world.count(completed));
        assert!(world.stopped <= 30, "{} stops", world.stopped);
    }
}

/// Orders get no answer and are carried out seconds later. A late start must find its lease expired or its run barred, or the
/// task would run twice.
#[test]
fn late_orders_run_no_task_twice() {
    let faults = Faults {
        late_orders: 0.1,
        ..NO_FAULTS
    };
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, faults);
        world.submit_jobs(60, Span::millis(150));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 54, "{}", world.count(completed));
    }
}

/// Endpoints carry orders out but don't answer for 3 s. Their tasks may be retried elsewhere only after all leases have expired,
/// also on clocks that are up to 2 % slow.
#[test]
fn silent_endpoints_run_no_task_twice() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.mute_endpoint_at(Span::millis(1_000), 0, Span::seconds(3));
        world.mute_endpoint_at(Span::millis(1_500), 5, Span::seconds(3));
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert!(world.count(completed) > 54, "{}", world.count(completed));
    }
}

/// An endpoint crashes. Its tasks must be retried elsewhere without waiting for leases.
#[test]
fn tasks_of_a_crashed_endpoint_are_retried() {
    let mut world = World::new(3, 3, 2, NO_FAULTS);
    world.submit_jobs(60, Span::millis(150));
    world.crash_at(Span::millis(1_000), 2);
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert_eq!(world.count(completed), 60);
}

/// An endpoint announces that it leaves. No task may be started there once the instances have read the announcement.
#[test]
fn leaving_endpoint_gets_no_new_tasks() {
    let mut world = World::new(4, 3, 2, NO_FAULTS);
    world.submit_jobs(60, Span::millis(150));
    world.leave_at(Span::millis(1_000), 2);
    world.run(Span::millis(1_000));
    let left = world.now;
    world.run(Span::seconds(7));
    world.finish_and_check();
    assert_eq!(world.starts_on(2, left + Span::millis(5)), 0);
    assert_eq!(world.count(completed), 60);
}

/// An instance drains. It must hand its racks over with their runs, answer its callers and end, without stopping a run.
#[test]
fn drain_stops_no_run() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        // Alternates between the two instances that own a rack.
        world.drain_at(Span::millis(1_000), 1 + seed as usize % 2);
        world.run(Span::seconds(12));
        world.finish_and_check();
        assert_eq!(world.instances_up, 2);
        assert_eq!(world.stopped, 0, "seed {seed}");
        let refused = |a: &Answer| matches!(a, Answer::Refused { .. });
        assert_eq!(
            world.count(completed) + world.count(refused),
            60,
            "seed {seed}"
        );
    }
}

/// The only instance of a data centre is restarted. It must get its rack back without stopping a run: otherwise the rack is
/// unusable when that data centre is cut off.
#[test]
fn racks_return_to_a_restarted_instance() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.submit_jobs(60, Span::millis(150));
        world.kill_at(Span::millis(500), 1, Span::seconds(1));
        world.run(Span::millis(2_500));
        assert_eq!(world.rack_count(1), 0);
        let stopped = world.stopped;
        world.run(Span::seconds(5));
        assert_eq!(world.rack_count(1), 1);
        assert_eq!(world.stopped, stopped, "seed {seed}");
        world.run(Span::seconds(8));
        world.finish_and_check();
    }
}

/// All instances crash and restart without state. Their new fencing tokens must be above those that endpoints remember, or claims
/// would be refused and nothing would run for seconds.
#[test]
fn claims_succeed_after_all_instances_restart() {
    let mut world = World::new(8, 3, 2, NO_FAULTS);
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

/// Runs fail at random. A job may fail only after a task has used up its attempts.
#[test]
fn failed_runs_are_retried() {
    let faults = Faults {
        failed_runs: 0.1,
        ..NO_FAULTS
    };
    let mut world = World::new(6, 3, 2, faults);
    world.submit_jobs(60, Span::millis(150));
    world.run(Span::seconds(12));
    world.finish_and_check();
    assert!(world.count(completed) > 50, "{}", world.count(completed));
}

/// Racks are handed over while connections break, so reports of a batch's former and new owner arrive out of order. A report must
/// count only for its sender's tasks, or a job is answered as completed before all tasks ran, or as refused after some ran.
#[test]
fn reports_out_of_order_give_no_wrong_answer() {
    let faults = Faults {
        broken_links: 0.05,
        ..NO_FAULTS
    };
    // Seeds at which reports arrive in an order that can lead to a wrong answer: "completed" at 133, "refused" at the others.
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

/// All faults together at random times: no task runs twice, and no caller gets a wrong answer.
#[test]
fn random_faults_run_no_task_twice() {
    fn check_faults(seed: u64, kinds: Vec<u8>) -> bool {
        let faults = Faults {
            late_orders: 0.03,
            lost_heartbeats: 0.05,
            failed_runs: 0.02,
            broken_links: 0.02,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.submit_jobs(80, Span::millis(80));
        for (n, kind) in kinds.iter().take(6).enumerate() {
            let at = Span::millis(400 + n as u64 * 650);
            let (instance, endpoint) = (*kind as usize / 8 % 4, *kind as usize / 8 % 12);
            match kind % 8 {
                0 => world.kill_at(at, instance, Span::millis(800)),
                1 => world.suspend_at(at, instance, Span::millis(2_500)),
                2 => world.partition_at(at, &[instance], Span::millis(2_500)),
                3 => world.mute_endpoint_at(at, endpoint, Span::millis(2_000)),
                4 => world.crash_at(at, endpoint),
                5 => world.suspend_at(at, instance, Span::millis(500)),
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
        .quickcheck(check_faults as fn(u64, Vec<u8>) -> bool);
}

/// A caller connects just before a draining instance stops accepting connections. The instance must stay up until the request can
/// have arrived and been answered, or the caller would see its connection break.
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
    let start = Time(1_000_000);
    let mut dispatcher = Dispatcher::new(identity, start);
    dispatcher.step(start, Input::Drain);
    let mut closed = None;
    let mut drained = None;
    for tick in 1..600 {
        let now = start + Span::millis(tick * 10);
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
        "the instance ended less than two grace periods after it closed idle connections"
    );
}
