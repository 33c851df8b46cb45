//! What one life of an endpoint was sent, or has confirmed, doesn't hold for the next one under the same name.

use poplarknot::prelude::*;

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// Endpoints restart within the time-out of a poll, and carry out starts before they are polled again. An acknowledgement with the
/// numbers of the former life would make them forget ends that nobody has seen, and the tasks would run again.
#[test]
fn restarted_endpoints_forget_no_end_by_former_numbers() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.store_jobs();
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        for n in 0..600 {
            let job = (2, 500, Span::millis(20 + 15 * (n % 3)));
            world.submit_at(Span::millis(10 * n), n as usize % 3, job, Shape::default());
        }
        for n in 0..8 {
            let down = Span::millis(60 + 10 * n);
            world.crash_and_restart_at(Span::millis(1_000 + 500 * n), n as usize, down, 0);
        }
        world.run(Span::seconds(8));
        world.finish_and_check_stored();
    }
}
