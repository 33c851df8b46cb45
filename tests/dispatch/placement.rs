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

/// One endpoint in eight fails all runs immediately, so it always has room. A task that failed there must be retried elsewhere,
/// or it would use up its attempts there and its job would fail.
#[test]
fn failed_task_is_retried_elsewhere() {
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
