//! Tasks that are done, cancelled, or whose job has ended: they must start nowhere, whichever instance still has them queued.

use std::collections::BTreeSet;

use poplarknot::{
    dispatch::id::JobId,
    prelude::*, //
};

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// The job whose tasks end behind a cut.
const CUT_JOB: JobId = JobId(1);

/// Returns a world of stored jobs on one rack. The endpoint that runs the tasks of [`CUT_JOB`] is cut off from all instances for `cut`;
/// the tasks end meanwhile, before their leases expire. Tasks that take `filling` occupy the others all the while.
fn world_with_cut(seed: u64, filling: Span, cut: Span) -> World {
    let mut world = World::new(seed, 3, 1, NO_FAULTS);
    world.store_jobs();
    let tasks = (4, 1_000, Span::millis(1_200));
    world.submit_at(Span(0), 0, tasks, Shape::default());
    for n in 1..5 {
        let at = Span::millis(40).times(n);
        world.submit_at(at, 0, (16, 1_000, filling), Shape::default());
    }
    world.run(Span::millis(900));
    for w in endpoints_of_job(&world) {
        world.isolate_endpoint_at(Span(0), w, cut);
    }
    world
}

/// Returns the endpoints where tasks of [`CUT_JOB`] run.
fn endpoints_of_job(world: &World) -> BTreeSet<usize> {
    let runs = world.runs(CUT_JOB).into_iter();
    let endpoints: BTreeSet<usize> = runs
        .filter(|(_, run)| run.until.is_none())
        .map(|(w, _)| w)
        .collect();
    assert_eq!(endpoints.len(), 1);
    endpoints
}

/// An endpoint is cut off, its tasks end there, and their owner takes the runs for lost and queues the tasks again. Once the endpoint is
/// back and lists the ends, the tasks must leave the queue, or they start after their job was shown as completed.
#[test]
fn task_that_ended_behind_a_cut_is_not_started_again() {
    for seed in 0..8 {
        let mut world = world_with_cut(seed, Span::seconds(6), Span::millis(3_500));
        world.run(Span::seconds(30));
        assert_eq!(world.finish_and_check_stored(), 5);
        let runs = world.runs(CUT_JOB);
        assert_eq!(runs.len(), 8, "seed {seed}, two steps of four tasks");
    }
}

/// The endpoint is back while the tasks run a second time elsewhere, and that endpoint is cut off in turn. The second runs mustn't be
/// followed by third ones.
#[test]
fn second_run_of_a_task_that_is_done_is_not_repeated() {
    for seed in 0..8 {
        let mut world = world_with_cut(seed, Span::seconds(2), Span::millis(3_700));
        world.run(Span::millis(3_650));
        for w in endpoints_of_job(&world) {
            world.isolate_endpoint_at(Span::millis(20), w, Span::millis(2_500));
        }
        world.run(Span::seconds(30));
        assert_eq!(world.finish_and_check_stored(), 5);
        let runs = world.runs(CUT_JOB);
        assert_eq!(runs.len(), 12, "seed {seed}, the first step twice");
    }
}
