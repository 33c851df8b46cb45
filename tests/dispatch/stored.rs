//! Stored jobs: what was accepted runs whole and no task of it twice, whatever is lost but the store.

use poplarknot::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

use super::{
    world::{
        Faults,
        World, //
    },
    CALM,
};

fn world(seed: u64, instances: usize, faults: Faults) -> World {
    let mut world = World::new(seed, instances, 4, faults);
    world.store_jobs();
    world
}

/// Callers hand in jobs of two steps while nothing fails. Each is accepted at once, and every task of it runs once.
#[test]
fn calm_jobs_run_once() {
    let mut world = world(1, 3, CALM);
    world.submit_jobs(40, Span::millis(150));
    world.run(Span::seconds(12));
    assert_eq!(world.finish_and_check_stored(), 40);
    let runs: usize = world.workers.iter().map(|w| w.history.len()).sum();
    let tasks: usize = world.tasks();
    assert_eq!(runs, tasks, "no task was started twice");
}

/// The instance that coordinates some of the jobs dies with its memory. Another one reads what was accepted and which
/// runs have ended from the store, waits until what the dead one started has ended, and runs the rest.
#[test]
fn coordinator_dies() {
    for seed in 0..10 {
        let mut world = world(seed, 3, CALM);
        world.submit_jobs(40, Span::millis(150));
        world.kill_at(Span::millis(2_000), seed as usize % 3, Span::seconds(1));
        world.kill_at(Span::millis(5_500), 1 + seed as usize % 2, Span::seconds(1));
        world.run(Span::seconds(12));
        assert!(world.finish_and_check_stored() > 30);
    }
}

/// All instances die at once: nothing but the store is left.
#[test]
fn all_instances_die() {
    for seed in 0..5 {
        let mut world = world(seed, 3, CALM);
        world.submit_jobs(40, Span::millis(150));
        for i in 0..3 {
            world.kill_at(Span::millis(3_000), i, Span::seconds(2));
        }
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 20);
    }
}

/// A coordinator stands still while another takes its jobs over, and wakes: what it writes then must change nothing.
#[test]
fn coordinator_wakes() {
    for seed in 0..10 {
        let mut world = world(seed, 3, CALM);
        world.submit_jobs(40, Span::millis(150));
        world.freeze_at(Span::millis(2_000), seed as usize % 3, Span::millis(3_500));
        world.run(Span::seconds(12));
        assert!(world.finish_and_check_stored() > 30);
    }
}

/// Plays faults of the kinds given, one every 900 ms, while links break, heartbeats and calls get lost, and runs fail.
fn holds(seed: u64, kinds: Vec<u8>) -> bool {
    play(seed, kinds, 0.02)
}

/// Plays them with this share of messages that find their link broken.
fn play(seed: u64, kinds: Vec<u8>, broken_links: f64) -> bool {
    let faults = Faults {
        lost_heartbeats: 0.03,
        failures: 0.02,
        lost_calls: 0.02,
        broken_links,
        ..CALM
    };
    let mut world = world(seed, 4, faults);
    world.submit_jobs(40, Span::millis(120));
    for (n, kind) in kinds.iter().take(5).enumerate() {
        let at = Span::millis(600 + n as u64 * 900);
        let (instance, worker) = (*kind as usize / 8 % 4, *kind as usize / 8 % 16);
        match kind % 7 {
            0 => world.kill_at(at, instance, Span::millis(800)),
            1 => world.freeze_at(at, instance, Span::millis(2_500)),
            2 => world.partition_at(at, &[instance], Span::millis(2_500)),
            3 => world.mute_endpoint_at(at, worker, Span::millis(2_000)),
            4 => world.crash_at(at, worker),
            5 => world.store_outage_at(at, Span::millis(1_500)),
            _ => world.drain_at(at, instance),
        }
    }
    world.run(Span::seconds(14));
    world.finish_and_check_stored();
    true
}

/// Everything at once, at random moments: deaths, freezes, cuts, silence, crashes, broken links, an absent store, lost and
/// late calls of it, and failing runs. What was accepted runs whole, and nothing is started after a noted end.
#[test]
fn faults_together() {
    // A failed end came while its task waited to be placed again, and the task was forgotten.
    play(45, vec![43, 131, 201, 0], 0.0);
    // A cut-off instance took a shard for empty in which another had stored the first job since.
    play(0, vec![107, 0], 0.0);
    // A shard that was found empty before a cut was held, filled and given up on the other side of it.
    play(0, vec![0, 0, 135, 10, 166], 0.0);
    // An end came from a batch of another entry, which had the number of one of this instance's own.
    play(25412, vec![201, 9, 0, 154], 0.0);
    // The failed end of a former coordinator's run came late, and the task was placed again beside its new run.
    holds(13536706581910095522, vec![5, 5, 2]);
    QuickCheck::new()
        .tests(40)
        .rng(Gen::from_size_and_seed(20, 17))
        .quickcheck(holds as fn(u64, Vec<u8>) -> bool);
}

/// A task runs once more after its end. Its coordinator counts the end, and is overtaken by an instance on the other side of
/// a cut before that is stored. This one doesn't hear of the end and gives the task out again. A third instance takes the
/// shard over, hears of the end and lets the endpoint forget it as if nothing had been started since: what the second one
/// gave out stands nowhere in the store.
#[test]
fn end_is_heard_two_takeovers_later() {
    holds(2000115, vec![44, 44, 0]);
}

/// Two instances don't reach each other, and all others reach both. A rack goes to one of them with batches of the other,
/// which hears so from the former owner. The new owner drops them and can't say so, and their entry would ask it in vain for
/// as long as the cut lasts: it had given that instance up before, and would not do so again. The jobs hung.
#[test]
fn rack_moves_to_an_instance_that_is_lost() {
    for seed in [0, 5, 10, 15, 20] {
        let mut world = World::new(seed, 6, 4, CALM);
        world.store_jobs();
        world.submit_jobs(80, Span::millis(30));
        world.disconnect_at(Span::millis(200), 0, 1, Span::seconds(200));
        for (n, instance) in [2, 3, 4].into_iter().enumerate() {
            let at = 1_000 + 450 * n as u64 + 7 * seed % 400;
            world.drain_at(Span::millis(at), instance);
        }
        world.run(Span::seconds(9));
        world.finish_and_check_stored();
    }
}

/// Answers of the store are lost, and some of its writes are made seconds later, over newer ones if nothing bars them:
/// progress would go back, and tasks run again.
#[test]
fn late_writes_change_nothing() {
    for seed in 0..10 {
        let faults = Faults {
            lost_calls: 0.1,
            failures: 0.05,
            ..CALM
        };
        let mut world = world(seed, 3, faults);
        world.submit_jobs(40, Span::millis(150));
        world.kill_at(Span::millis(3_000), 1, Span::seconds(1));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 25);
    }
}

/// The store is away while jobs run: their ends are kept at the endpoints until it is back, and no task runs again.
#[test]
fn store_away() {
    for seed in 0..5 {
        let mut world = world(seed, 3, CALM);
        world.submit_jobs(40, Span::millis(150));
        world.store_outage_at(Span::millis(2_500), Span::seconds(4));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 15);
    }
}

/// Instances are cut from each other while all reach endpoints and the store: two of them may take themselves for the
/// coordinator of a shard. The lock in the store tells which one is.
#[test]
fn instances_cut_apart() {
    for seed in 0..10 {
        let mut world = world(seed, 4, CALM);
        world.submit_jobs(40, Span::millis(150));
        world.partition_at(Span::millis(2_000), &[0, 1], Span::seconds(4));
        world.run(Span::seconds(14));
        assert!(world.finish_and_check_stored() > 20);
    }
}
