//! Starts that may still be carried out when their task leaves the owner that sent them: with its rack, with its batch, with its caller or
//! with the coordinator of its job.

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

/// The endpoint of the first rack to which the start is held.
const HELD_AT: usize = 0;

/// When that endpoint crashes for the first time.
const CRASH: Span = Span::millis(1_000);

/// How long it is down then.
const DOWN: Span = Span::millis(600);

/// When the job is submitted whose start is held.
const SUBMIT: Span = Span::millis(1_010);

/// How long orders that are sent to the endpoint while it's down are held.
const HELD: Span = Span::millis(4_000);

/// When the endpoint crashes again, in tests in which its second life bars the start and its third one carries it out.
const SECOND_CRASH: Span = Span::millis(2_000);

/// How long it can't be reached from its last crash on: the held start arrives meanwhile.
const CUT: Span = Span::seconds(7);

/// When the leases of the second life are over, and the task waits since its run there was lost.
const LEASES_OVER: Span = Span::millis(3_900);

/// When the callers' connections break: the start is in doubt, and its endpoint is known to be silent when the job is submitted again.
const BREAK: Span = Span::millis(1_400);

/// The duration of the task. It's running wherever it starts before the held start arrives.
const TASK: Span = Span::seconds(4);

/// How long callers wait.
const WAIT: Span = Span::seconds(9);

/// How long an instance that was killed is down.
const KILLED: Span = Span::seconds(6);

/// How long the effects of a fault are watched.
const WATCH: Span = Span::seconds(14);

/// The job of the tests.
const JOB: JobId = JobId(1);

/// Four instances in two data centres with a rack each.
struct Site {
    world: World,
    /// An instance beside the owner of the first rack, without a rack.
    entry: usize,
    /// The owner of the first rack.
    owner: usize,
    /// The owner of the other rack.
    other: usize,
    /// Whether its jobs are stored.
    stores_jobs: bool,
}

impl Site {
    /// Returns a site with a given number of instances and without faults, where endpoints that are down drop calls, and where callers submit jobs again that were given up.
    fn with_instances(seed: u64, instances: usize) -> Self {
        let mut world = World::new(seed, instances, 2, NO_FAULTS);
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        world.resubmit_given_up();
        world.collect_overlaps();
        let (owners, entries) = world.owners_in("ulemiste");
        let (others, _) = world.owners_in("maardu");
        Self {
            world,
            entry: entries[0],
            owner: owners[0],
            other: others[0],
            stores_jobs: false,
        }
    }

    /// Makes its jobs stored jobs.
    fn store_jobs(&mut self) {
        self.stores_jobs = true;
        self.world.store_jobs();
    }

    /// Holds a start of a job's only task that is sent while its endpoint is down for `down`. Stops that are held with it are lost.
    fn hold_start(&mut self, down: Span, duration: Span, wait: Span) {
        let world = &mut self.world;
        world.crash_and_restart_at(CRASH, HELD_AT, down, 0);
        world.hold_orders_at(CRASH, HELD_AT, DOWN, HELD);
        world.lose_stops_at(SUBMIT + HELD, HELD_AT, Span::seconds(3));
        let shape = Shape {
            wait,
            ..Shape::default()
        };
        world.submit_at(SUBMIT, self.entry, (1, 1_000, duration), shape);
    }

    /// Lets the second life of the endpoint bar the held start, and the third one carry it out, which no call reaches before.
    fn hold_start_over_two_crashes(&mut self) {
        self.hold_start(DOWN, TASK, WAIT);
        self.crash_again_at(SECOND_CRASH);
    }

    /// The same, where the platform's list shows the third life only after the held start has arrived: the owner doesn't know of a second
    /// crash under the task, which would end its job.
    fn hold_start_over_a_hidden_crash(&mut self) {
        self.world.set_row_lag(Span::seconds(6));
        self.hold_start_over_two_crashes();
    }

    /// Crashes and restarts the endpoint, and cuts it off.
    fn crash_again_at(&mut self, at: Span) {
        let world = &mut self.world;
        world.crash_and_restart_at(at, HELD_AT, Span::millis(500), 0);
        world.isolate_endpoint_at(at, HELD_AT, CUT);
    }

    /// Lets the endpoint's second life carry the held start out, which no call reaches before.
    fn hold_start_behind_a_cut(&mut self) {
        self.hold_start(DOWN, TASK, WAIT);
        self.world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
    }
}

/// Runs a site with each of some seeds. Checks that a start was held, that each caller has an answer, that accepted jobs are done, and that
/// no task ran twice at a time.
fn check(prepare: impl Fn(&mut Site)) {
    check_with(4, prepare);
}

/// Does the same with a given number of instances.
fn check_with(instances: usize, prepare: impl Fn(&mut Site)) {
    let mut failures = Vec::new();
    for seed in 0..8 {
        let mut site = Site::with_instances(seed, instances);
        prepare(&mut site);
        site.world.run(WATCH);
        match site.stores_jobs {
            true => drop(site.world.finish_and_check_stored()),
            false => site.world.finish_and_check(),
        }
        assert!(site.world.held_starts > 0, "seed {seed}: no start was held");
        let mut jobs = site.world.jobs.iter();
        let unanswered = jobs.find(|(_, view)| view.answer.is_none());
        assert_eq!(unanswered, None, "seed {seed}: no answer");
        if let Some(overlap) = site.world.overlaps().first() {
            failures.push((seed, overlap.span.as_millis()));
        }
    }
    assert!(
        failures.is_empty(),
        "two runs of a task at a time, by seed, for so many ms: {failures:?}"
    );
}

/// A rack is handed over while a task of it waits with a start in doubt: the next owner starts it beside the held start.
#[test]
fn rack_handed_over_with_a_waiting_doubt_runs_no_task_twice() {
    check(|site| {
        site.hold_start_over_a_hidden_crash();
        site.world.drain_at(LEASES_OVER, site.owner);
    });
}

/// The same, where the next owner hands the rack over as well: the third one must know of the start.
#[test]
fn rack_handed_over_twice_with_a_waiting_doubt_runs_no_task_twice() {
    check(|site| {
        site.hold_start_over_a_hidden_crash();
        site.world.drain_at(LEASES_OVER, site.owner);
        let at = LEASES_OVER + Span::millis(20);
        site.world.drain_at(at, site.entry);
    });
}

/// The same, where the first owner hands the rack over before the second life has barred the start: the doubt begins at the second owner,
/// and is unknown to the third.
#[test]
fn doubt_of_a_next_owner_is_known_to_the_third() {
    check(|site| {
        site.hold_start_over_a_hidden_crash();
        let at = CRASH + Span::millis(300);
        site.world.drain_at(at, site.owner);
        site.world.drain_at(LEASES_OVER, site.entry);
    });
}

/// A job is cancelled while its start is in doubt, and submitted again at the same owner once the endpoint has barred the start.
#[test]
fn cancelled_job_submitted_again_at_its_owner_runs_once() {
    check(|site| {
        site.hold_start_over_two_crashes();
        site.world.set_retry_instance(site.entry);
        site.world.break_caller_at(BREAK, JOB);
    });
}

/// The same, where the start was barred and its task waits when the job is cancelled: no run of it is left that could be stopped.
#[test]
fn job_cancelled_while_it_waits_for_a_doubt_runs_once() {
    check(|site| {
        site.hold_start_over_a_hidden_crash();
        site.world.set_retry_instance(site.entry);
        // The lease of the second life's run is over by then.
        let broken = SECOND_CRASH + Span::millis(1_200);
        site.world.break_caller_at(broken, JOB);
    });
}

/// The entry of a start in doubt is lost, and its caller submits the job again at the same owner.
#[test]
fn job_of_a_lost_entry_submitted_again_at_its_owner_runs_once() {
    check(|site| {
        site.hold_start_over_two_crashes();
        site.world.set_retry_instance(site.owner);
        let kill = CRASH + Span::millis(200);
        site.world.kill_at(kill, site.entry, KILLED);
    });
}

/// A job is given up with a start in doubt, and submitted again at the same owner once the endpoint has barred the start.
#[test]
fn job_given_up_submitted_again_at_its_owner_runs_once() {
    check(|site| {
        let down = Span::millis(2_200);
        site.hold_start(down, Span::millis(1_500), Span::seconds(3));
        site.crash_again_at(CRASH + down + Span::millis(500));
        site.world.set_retry_instance(site.entry);
    });
}

/// A rack is handed over with an unwanted run whose start is in doubt, and the next owner, who can't reach its endpoint, gets the job
/// again.
#[test]
fn rack_handed_over_with_a_cancelled_start_in_doubt_runs_no_task_twice() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.entry);
        site.world.break_caller_at(BREAK, JOB);
        let at = BREAK + Span::millis(600);
        site.world.drain_at(at, site.owner);
    });
}

/// The same, where the job waits at the former owner when the rack is handed over.
#[test]
fn rack_handed_over_with_a_job_behind_its_cancelled_start_runs_no_task_twice() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.entry);
        site.world.break_caller_at(BREAK, JOB);
        // The job is submitted again 1.3 s after the break.
        let at = BREAK + Span::millis(1_600);
        site.world.drain_at(at, site.owner);
    });
}

/// The same, where the entry of the start was lost.
#[test]
fn rack_handed_over_with_an_abandoned_start_in_doubt_runs_no_task_twice() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.owner);
        let kill = CRASH + Span::millis(200);
        site.world.kill_at(kill, site.entry, Span::seconds(1));
        site.world.drain_at(Span::millis(3_500), site.owner);
    });
}

/// An endpoint lists an unwanted run of a late start, which can't be stopped, and is then cut off. The task waits for it when the rack is
/// handed over.
#[test]
fn rack_handed_over_with_an_unknown_run_runs_no_task_twice() {
    check(|site| {
        let arrival = SUBMIT + HELD;
        let cut = arrival + Span::millis(500);
        site.world.set_retry_instance(site.entry);
        // The job is submitted again 1.3 s after the break: just after the cut.
        let broken = cut - Span::millis(1_290);
        site.world.break_caller_at(broken, JOB);
        let up = broken + Span::millis(50);
        site.hold_start(up - CRASH, TASK, WAIT);
        let crash = arrival - Span::millis(110);
        let world = &mut site.world;
        world.crash_and_restart_at(crash, HELD_AT, Span::millis(80), 0);
        world.isolate_endpoint_at(crash, HELD_AT, Span::millis(130));
        world.isolate_endpoint_at(cut, HELD_AT, Span::seconds(3));
        let at = cut + Span::millis(25);
        world.drain_at(at, site.owner);
    });
}

/// A job is given up with a start in doubt, and submitted again at the owner of another rack.
#[test]
fn job_given_up_submitted_again_at_another_owner_runs_once() {
    check(|site| {
        let (task, wait) = (Span::millis(1_500), Span::seconds(3));
        site.hold_start(DOWN, task, wait);
        site.world.isolate_endpoint_at(CRASH + DOWN, HELD_AT, CUT);
        site.world.set_retry_instance(site.other);
    });
}

/// A job is cancelled while its start is in doubt, and submitted again at the owner of another rack.
#[test]
fn cancelled_job_submitted_again_at_another_owner_runs_once() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.other);
        site.world.break_caller_at(BREAK, JOB);
    });
}

/// The entry of a start in doubt is lost, and its caller submits the job again at the owner of another rack.
#[test]
fn job_of_a_lost_entry_submitted_again_at_another_owner_runs_once() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.other);
        let kill = CRASH + Span::millis(200);
        site.world.kill_at(kill, site.entry, KILLED);
    });
}

/// A job is cancelled while its start is in doubt, and submitted again at its entry, which sends it to another rack for lack of room at
/// the first one.
#[test]
fn cancelled_job_submitted_again_runs_once_where_its_rack_is_full() {
    check(|site| {
        site.hold_start_behind_a_cut();
        site.world.set_retry_instance(site.entry);
        site.world.break_caller_at(BREAK, JOB);
        let shape = Shape {
            wait: WAIT,
            ..Shape::default()
        };
        for _ in 0..3 {
            let at = CRASH + Span::millis(300);
            let job = (1, 4_000, Span::seconds(5));
            site.world.submit_at(at, site.entry, job, shape);
        }
    });
}

/// An entry and an owner lose each other for a time, and the batch comes back to the owner, which has dropped a start in doubt of it.
#[test]
fn batch_that_comes_back_to_its_owner_runs_no_task_twice() {
    check(|site| {
        site.hold_start_over_two_crashes();
        let (one, other) = (site.entry.min(site.owner), site.entry.max(site.owner));
        let at = CRASH + Span::millis(100);
        site.world
            .disconnect_at(at, one, other, Span::millis(1_200));
    });
}

/// A rack is handed over, and messages of its next owner to the entry stall: the batch is returned unconfirmed, and comes back to that
/// owner, which has dropped a start in doubt of it.
#[test]
fn unconfirmed_batch_that_comes_back_runs_no_task_twice() {
    check_with(6, |site| {
        site.hold_start_over_two_crashes();
        let at = CRASH + Span::millis(290);
        // The first one without a rack is the entry.
        let (_, idle) = site.world.owners_in("ulemiste");
        for next in idle.into_iter().skip(1) {
            let span = Span::millis(800);
            site.world.stall_at(at, next, site.entry, span);
        }
        let drained = at + Span::millis(10);
        site.world.drain_at(drained, site.owner);
    });
}

/// The owner of a start in doubt dies, and no instance reaches the endpoints of its rack for as long as its entry waits for a next owner:
/// the task goes to another rack.
#[test]
fn task_of_a_rack_that_stays_without_owner_runs_once() {
    check(|site| {
        let world = &mut site.world;
        world.crash_and_restart_at(CRASH, HELD_AT, DOWN, 0);
        world.hold_orders_at(CRASH, HELD_AT, DOWN, Span::seconds(9));
        let shape = Shape {
            wait: Span::seconds(16),
            ..Shape::default()
        };
        world.submit_at(SUBMIT, site.entry, (1, 1_000, TASK), shape);
        for w in 0..4 {
            world.isolate_endpoint_at(CRASH + DOWN, w, Span::seconds(12));
        }
        let span = Span::seconds(12);
        world.kill_at(CRASH + Span::millis(300), site.owner, span);
    });
}

/// The coordinator of stored jobs dies while starts of theirs are in doubt, and the next one starts the tasks on another rack.
#[test]
fn stored_tasks_of_a_lost_coordinator_run_once() {
    check(|site| {
        site.store_jobs();
        site.hold_start_behind_a_cut();
        for _ in 0..11 {
            let job = (1, 200, TASK);
            let shape = Shape::default();
            site.world.submit_at(SUBMIT, site.entry, job, shape);
        }
        site.world.kill_at(BREAK, site.entry, KILLED);
    });
}
