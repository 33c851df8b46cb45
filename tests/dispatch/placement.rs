//! Where tasks go: away from endpoints that fail them, and to where there is space now.

use poplarknot::{
    dispatch::message::Answer,
    prelude::*, //
};

use super::{
    completed,
    world::World,
    CALM, //
};

/// One endpoint in eight fails whatever it starts, and is done with it at once, so that it always has room. A task that failed there went
/// there again, until its attempts were used up: the caller was told that its job had failed, though all other endpoints were sound.
#[test]
fn failed_task_goes_elsewhere() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, CALM);
        world.fail_runs_at(Span::millis(500), seed as usize, Span::seconds(9));
        world.submit_jobs(60, Span::millis(150));
        world.run(Span::seconds(11));
        world.finish_and_check();
        assert_eq!(world.count(|a| *a == Answer::Failed), 0, "seed {seed}");
        assert!(world.count(completed) >= 57, "{}", world.count(completed));
    }
}
