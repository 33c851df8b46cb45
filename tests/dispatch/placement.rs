//! Placement of tasks away from endpoints that fail them.

use poplarknot::{
    dispatch::message::Answer,
    prelude::*, //
};

use super::{
    completed,
    world::World,
    NO_FAULTS, //
};

/// One endpoint in eight fails all runs at once, so it always has room. A task that failed there must be retried elsewhere:
/// otherwise it would use up its attempts there and its job would fail, though all other endpoints are healthy.
#[test]
fn failed_task_goes_elsewhere() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.fail_runs_at(Span::millis(500), seed as usize, Span::seconds(9));
        world.submit_jobs(60, Span::millis(150));
        world.run(Span::seconds(11));
        world.finish_and_check();
        assert_eq!(world.count(|a| *a == Answer::Failed), 0, "seed {seed}");
        assert!(world.count(completed) >= 57, "{}", world.count(completed));
    }
}
