//! Owners of endpoints that start again under their names, while starts are held on the way: the owner is lost, hands its rack over or
//! can't reach the endpoint when the starts arrive.

use std::{
    collections::BTreeMap,
    panic, //
};

use poplarknot::{
    dispatch::{
        id::JobId,
        message::Answer, //
    },
    prelude::*, //
};

use super::{
    endpoint::RunRecord,
    world::{
        Faults,
        Overlap,
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// The endpoints of the first rack, in the data centre of the entry.
const RACK: std::ops::Range<usize> = 0..4;

/// When the endpoints of the first rack crash.
const CRASH: Span = Span::millis(1_000);

/// How long they are down.
const DOWN: Span = Span::millis(600);

/// How long orders that are sent to them meanwhile are held: their tasks run elsewhere by then if they were taken for lost.
const HELD: Span = Span::millis(3_000);

/// How long callers wait: longer than a task takes that starts after [`HELD`].
const WAIT: Span = Span::seconds(9);

/// How long after a fault its effects are watched.
const WATCH: Span = Span::seconds(12);

/// How long an instance that was killed is down.
const KILLED: Span = Span::seconds(6);

/// The number of jobs that are submitted around the crash.
const JOBS: u64 = 8;

/// Four instances in two data centres with a rack each.
struct Site {
    world: World,
    /// The entry of the jobs. It owns no rack.
    entry: usize,
    /// The owner of the first rack.
    owner: usize,
    /// The owner of the other rack.
    other: usize,
}

impl Site {
    /// Returns a site without faults, where callers whose connection breaks resubmit their jobs at the owner of the other rack. Endpoints
    /// that are down drop calls.
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, 4, 2, NO_FAULTS);
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        world.resubmit_given_up();
        world.collect_overlaps();
        let (owners, entries) = world.owners_in("ulemiste");
        let (others, _) = world.owners_in("maardu");
        world.set_retry_instance(others[0]);
        Self {
            world,
            entry: entries[0],
            owner: owners[0],
            other: others[0],
        }
    }

    /// Returns a site where the first rack's endpoints restart, and where the starts of long tasks that are sent to them meanwhile arrive
    /// `held` later.
    fn with_held_starts(seed: u64, down: Span, held: Span) -> Self {
        let mut site = Self::new(seed);
        site.restart_rack(CRASH, down);
        site.hold_orders(CRASH, DOWN.min(down), held);
        for n in 0..JOBS {
            site.submit(CRASH + Span::millis(10 + 12 * n), Span::seconds(4), WAIT);
        }
        site
    }

    /// Lets each endpoint of the first rack run a short task just before the crash, so that its last answer isn't old.
    fn use_endpoints(&mut self) {
        for _ in RACK {
            let at = CRASH - Span::millis(900);
            let job = (1, 3_500, Span::millis(300));
            self.world.submit_at(at, self.entry, job, Shape::default());
        }
    }

    /// Keeps a run on the other rack, so that an instance that is cut off from its owner doesn't take it over.
    fn use_other_rack(&mut self) {
        let shape = Shape {
            wait: Span::seconds(60),
            ..Shape::default()
        };
        let job = (1, 500, Span::seconds(40));
        self.world.submit_at(Span(0), self.other, job, shape);
    }

    /// Crashes and restarts the endpoints of the first rack. Their clocks start again.
    fn restart_rack(&mut self, at: Span, down: Span) {
        for w in RACK {
            self.world.crash_and_restart_at(at, w, down, 0);
        }
    }

    fn hold_orders(&mut self, at: Span, span: Span, held: Span) {
        for w in RACK {
            self.world.hold_orders_at(at, w, span, held);
        }
    }

    /// Cuts the endpoints of the first rack off from all instances. Orders that are held arrive all the same.
    fn cut_rack(&mut self, at: Span, span: Span) {
        for w in RACK {
            self.world.isolate_endpoint_at(at, w, span);
        }
    }

    /// Submits a job of one task at the entry.
    fn submit(&mut self, at: Span, duration: Span, wait: Span) {
        let shape = Shape {
            wait,
            ..Shape::default()
        };
        self.world
            .submit_at(at, self.entry, (1, 1_000, duration), shape);
    }

    /// Runs to the end, and checks that starts were held, and that no task ran twice at a time.
    fn finish_and_check(mut self) {
        self.world.run(WATCH);
        self.world.finish_and_check();
        assert!(self.world.held_starts > 0, "no start was held");
        self.world.check_no_overlaps();
    }

    /// Checks that no task was done twice by endpoints that have restarted: an end that an endpoint forgot unheard lets its task run
    /// again. Ends that a former life didn't report are lost with it.
    fn check_done_once(&self) {
        for job in self.world.jobs.keys() {
            let mut runs = self.world.runs(*job);
            runs.retain(|(_, record)| record.done && record.life_from > Time::default());
            let done = runs.len();
            assert!(done <= 1, "{job} was done {done} times: {runs:?}");
        }
    }
}

/// The owner is lost when its endpoints are back, before it has raised their tokens: the tasks start elsewhere, and the held starts arrive.
#[test]
fn owner_that_dies_at_the_return_of_its_endpoints_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.world.kill_at(CRASH + DOWN, site.owner, KILLED);
        site.finish_and_check();
    }
}

/// The same, where no instance reaches the endpoints before the starts arrive: no next owner bars these.
#[test]
fn owner_that_dies_at_the_return_of_its_endpoints_behind_a_cut_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.world.kill_at(CRASH + DOWN, site.owner, KILLED);
        site.cut_rack(CRASH + DOWN, Span::seconds(5));
        site.finish_and_check();
    }
}

/// The same, where only one endpoint restarts behind a cut: the rack has a next owner, who can't reach that endpoint.
#[test]
fn next_owner_that_cant_reach_a_restarted_endpoint_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.world.crash_and_restart_at(CRASH, 0, DOWN, 0);
        site.world.hold_orders_at(CRASH, 0, DOWN, HELD);
        site.world
            .isolate_endpoint_at(CRASH + DOWN, 0, Span::seconds(5));
        for n in 0..JOBS {
            site.submit(CRASH + Span::millis(10 + 12 * n), Span::seconds(4), WAIT);
        }
        site.world.kill_at(CRASH + DOWN, site.owner, KILLED);
        site.finish_and_check();
    }
}

/// The owner is lost while its endpoints are down, and they are back, with the held starts, when the tasks run elsewhere.
#[test]
fn owner_that_dies_while_its_endpoints_are_down_runs_no_task_twice() {
    for seed in 0..8 {
        let down = Span::millis(3_500);
        let mut site = Site::with_held_starts(seed, down, down);
        let kill = CRASH + Span::millis(300);
        site.world.kill_at(kill, site.owner, KILLED);
        site.finish_and_check();
    }
}

/// The owner is cut off from the other instances while its endpoints are down. It still reaches them when they are back, and bars the held
/// starts, though their tasks are no longer its own.
#[test]
fn owner_that_is_cut_off_from_entries_bars_held_starts() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.use_other_rack();
        let cut = CRASH + Span::millis(300);
        site.world.partition_at(cut, &[site.owner], KILLED);
        site.finish_and_check();
    }
}

/// The same, where the owner doesn't reach its endpoints either.
#[test]
fn owner_that_is_cut_off_from_entries_and_endpoints_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.use_other_rack();
        let cut = CRASH + Span::millis(300);
        site.world.partition_at(cut, &[site.owner], KILLED);
        site.cut_rack(CRASH + DOWN, Span::seconds(5));
        site.finish_and_check();
    }
}

/// The entry is lost while starts are held, and its callers submit their jobs elsewhere. The owner reaches its endpoints, and bars the
/// starts though nobody wants their tasks any more.
#[test]
fn lost_entry_of_held_starts_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        let kill = CRASH + Span::millis(300);
        site.world.kill_at(kill, site.entry, KILLED);
        site.finish_and_check();
    }
}

/// The same, where the endpoints can't be reached before the starts arrive.
#[test]
fn lost_entry_of_held_starts_behind_a_cut_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        let kill = CRASH + Span::millis(300);
        site.world.kill_at(kill, site.entry, KILLED);
        site.cut_rack(CRASH + DOWN, Span::seconds(5));
        site.finish_and_check();
    }
}

/// The rack is handed over while its endpoints are down: the next owner must know that starts may be on their way.
#[test]
fn rack_handed_over_while_its_endpoints_are_down_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.world.drain_at(CRASH + Span::millis(300), site.owner);
        site.finish_and_check();
    }
}

/// The same, where the next owner can't reach the endpoints before the starts arrive.
#[test]
fn rack_handed_over_behind_a_cut_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.world.drain_at(CRASH + Span::millis(300), site.owner);
        site.cut_rack(CRASH + DOWN, Span::seconds(5));
        site.finish_and_check();
    }
}

/// The same, where the next owner drains too: what the first owner sent must be known to the third.
#[test]
fn rack_handed_over_twice_behind_a_cut_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, DOWN, HELD);
        site.world.drain_at(CRASH + Span::millis(300), site.owner);
        site.world.drain_at(CRASH + Span::millis(700), site.entry);
        site.cut_rack(CRASH + DOWN, Span::seconds(5));
        site.finish_and_check();
    }
}

/// How long after the loss of the owner the rack may be without one, beyond the time that it takes if no token was raised: the interval
/// between two probes.
const PROBE_INTERVAL: Span = Span::millis(100);

/// Returns how long a rack has no owner after its owner is killed at `kill`. `prepare` adds the faults before.
fn time_without_owner(seed: u64, kill: Span, prepare: impl Fn(&mut Site)) -> Span {
    let mut site = Site::new(seed);
    prepare(&mut site);
    site.world.kill_at(kill, site.owner, KILLED);
    site.world.run(kill + Span(1));
    assert_eq!(site.world.owned_racks(), 1, "the owner is up");
    let killed_at = site.world.now;
    while site.world.owned_racks() < 2 && site.world.now.since(killed_at) < KILLED {
        site.world.run(Span::millis(1));
    }
    let span = site.world.now.since(killed_at);
    site.world.run(WATCH);
    site.world.finish_and_check();
    site.world.check_no_overlaps();
    span
}

/// Submits long jobs for some seconds, so that tokens are used.
fn submit_for_seconds(site: &mut Site) {
    for n in 0..20 {
        site.submit(Span::millis(100 + 300 * n), Span::millis(400), WAIT);
    }
}

/// The owner has raised the token of an endpoint that has restarted, and is lost: probes with the announced token are refused there, and
/// the rack would stay without an owner.
#[test]
fn rack_with_a_raised_token_gets_a_next_owner_in_time() {
    for seed in 0..8 {
        let kill = Span::seconds(4);
        let calm = time_without_owner(seed, kill, submit_for_seconds);
        let raised = time_without_owner(seed, kill, |site| {
            submit_for_seconds(site);
            site.world.crash_and_restart_at(CRASH, 0, DOWN, 0);
        });
        assert!(raised <= calm + PROBE_INTERVAL, "{raised:?}, {calm:?}");
    }
}

/// The same, where the token was raised several times, as the endpoint was silent now and then.
#[test]
fn rack_with_a_token_raised_often_gets_a_next_owner_in_time() {
    for seed in 0..8 {
        let kill = Span::seconds(6);
        let calm = time_without_owner(seed, kill, submit_for_seconds);
        let raised = time_without_owner(seed, kill, |site| {
            submit_for_seconds(site);
            for n in 0..6 {
                let at = Span::millis(700 + 800 * n);
                site.world.isolate_endpoint_at(at, 0, Span::millis(400));
            }
        });
        assert!(raised <= calm + PROBE_INTERVAL, "{raised:?}, {calm:?}");
    }
}

/// The same, where another endpoint of the rack is down: each probe waits for it.
#[test]
fn rack_with_a_raised_token_and_a_lost_endpoint_gets_a_next_owner_in_time() {
    for seed in 0..8 {
        let kill = Span::seconds(6);
        let lost = |site: &mut Site| {
            submit_for_seconds(site);
            let at = Span::millis(5_900);
            site.world.isolate_endpoint_at(at, 1, Span::seconds(9));
        };
        let calm = time_without_owner(seed, kill, lost);
        let raised = time_without_owner(seed, kill, |site| {
            lost(site);
            for n in 0..6 {
                let at = Span::millis(700 + 800 * n);
                site.world.isolate_endpoint_at(at, 0, Span::millis(400));
            }
        });
        assert!(raised <= calm + PROBE_INTERVAL, "{raised:?}, {calm:?}");
    }
}

/// An owner that is cut off from the others goes on with the runs of its own callers. Probes that follow its raised tokens must not
/// exceed these, or they would fence it off and stop the runs.
#[test]
fn probes_that_follow_raised_tokens_change_nothing_for_a_live_owner() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        let owner = site.owner;
        submit_for_seconds(&mut site);
        for n in 0..12 {
            let at = Span::millis(700 + 900 * n);
            site.world.isolate_endpoint_at(at, 0, Span::millis(400));
            let at = Span::millis(1_100 + 1_700 * n);
            site.world.crash_and_restart_at(at, 1, Span::millis(300), 0);
        }
        let cut = Span::seconds(3);
        let shape = Shape {
            wait: Span::seconds(12),
            ..Shape::default()
        };
        // They don't fit on the endpoints that restart beside each other, so that one runs on each.
        for _ in 0..4 {
            let job = (1, 3_500, Span::seconds(7));
            site.world
                .submit_at(cut - Span::millis(50), owner, job, shape);
        }
        site.use_other_rack();
        site.world.partition_at(cut, &[owner], Span::seconds(6));
        site.world.run(cut + Span::millis(5_900));
        site.world.run(WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
        // The endpoints that don't restart have a run from before the cut to its end.
        let runs = (2..4).map(|w| site.world.endpoints[w].history.iter());
        let long = runs.map(|mut runs| runs.find(|record| is_long(record, cut)));
        for record in long {
            let record = record.expect("no run was there during the cut");
            assert!(record.done, "seed {seed}: {record:?}");
        }
    }
}

/// The same for an owner that is cut off twice, and has announced a higher token in between: what an instance learned in the first cut of
/// how far tokens are above the announced one is out of date.
#[test]
fn probes_in_a_second_cut_change_nothing_for_a_live_owner() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        let owner = site.owner;
        // One task on each endpoint at a time, so that each token is used.
        for n in 0..60 {
            let job = (4, 3_000, Span::millis(100));
            let at = Span::millis(100 + 320 * n);
            site.world.submit_at(at, site.entry, job, Shape::default());
        }
        for n in (0..5).chain(10..13) {
            let at = Span::millis(700 + 1_000 * n);
            site.world.crash_and_restart_at(at, 0, Span::millis(100), 0);
        }
        site.use_other_rack();
        let (first, second) = (Span::millis(6_000), Span::millis(20_000));
        let shape = Shape {
            wait: Span::seconds(12),
            ..Shape::default()
        };
        for cut in [first, second] {
            site.world.partition_at(cut, &[owner], Span::seconds(2));
            for _ in 0..4 {
                let job = (1, 900, Span::seconds(4));
                let at = cut - Span::millis(300);
                site.world.submit_at(at, owner, job, shape);
            }
        }
        site.world.run(second + WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
        let yields = site.world.log_count("rack_yielded");
        assert_eq!(yields, 0, "seed {seed}");
    }
}

/// Returns whether a run that began before a time since the start of the test went on until two seconds later at least.
fn is_long(record: &RunRecord, at: Span) -> bool {
    let at = Time(3_000_000) + at;
    record.from < at && record.until > Some(at + Span::seconds(2))
}

/// Returns a site where jobs are submitted when an endpoint stops answering for good, so that it has starts in doubt.
fn site_with_a_lost_endpoint(seed: u64, duration: Span, wait: Span) -> Site {
    let mut site = Site::new(seed);
    site.world.time_out_callers();
    site.use_endpoints();
    site.world.isolate_endpoint_at(CRASH, 0, Span::seconds(90));
    for n in 0..JOBS {
        site.submit(CRASH + Span::millis(1 + 6 * n), duration, wait);
    }
    site
}

/// How long after the last answer of an endpoint its runs start elsewhere at the latest: if the platform lists it no longer, and if it does.
const GONE_AFTER: (Span, Span) = (Span::seconds(6), Span::seconds(16));

/// A stored job has a start in doubt on an endpoint that is lost for good: without a bound the job would never end.
#[test]
fn stored_jobs_with_a_start_on_a_lost_endpoint_are_done_in_time() {
    let duration = Span::millis(900);
    let mut in_doubt = 0;
    for (seed, listed) in (0..16).map(|seed| (seed, seed % 2 == 1)) {
        let mut site = Site::new(seed);
        site.world.store_jobs();
        site.use_endpoints();
        for n in 0..JOBS {
            site.submit(CRASH + Span::millis(1 + 6 * n), duration, Span::seconds(4));
        }
        // Jobs start once they are stored, some tens of milliseconds after their submission.
        let lost = CRASH + Span::millis(30 + 5 * seed);
        site.world.isolate_endpoint_at(lost, 0, Span::seconds(90));
        let mut limit = GONE_AFTER.1;
        if !listed {
            site.world.crash_at(lost + Span::seconds(1), 0);
            limit = GONE_AFTER.0;
        }
        let start = site.world.now;
        site.world.run(Span::seconds(40));
        in_doubt += site.world.log_count("start_unanswered");
        assert_eq!(
            site.world.finish_and_check_stored(),
            JOBS as usize + RACK.len()
        );
        // Two steps, one after the other, and the time to store the end of the first.
        let limit = start + lost + limit + duration + duration + Span::seconds(1);
        let is_late = |record: &RunRecord| record.until.is_none_or(|at| at > limit);
        for job in site.world.jobs.keys() {
            let runs = site.world.runs(*job);
            let late = runs.iter().find(|(_, record)| is_late(record));
            assert_eq!(late, None, "seed {seed}, listed: {listed}");
        }
        site.world.check_no_overlaps();
    }
    assert!(in_doubt > 0, "no start was in doubt");
}

/// Callers wait for jobs that have a start in doubt on an endpoint that is lost for good, and must not be left without an answer.
#[test]
fn callers_of_starts_on_a_lost_endpoint_are_answered_in_time() {
    for (seed, listed) in (0..8).map(|seed| (seed, seed % 2 == 1)) {
        let duration = Span::millis([200, 900, 2_000, 3_500][seed as usize / 2]);
        let mut site = site_with_a_lost_endpoint(seed, duration, Span::seconds(4));
        if !listed {
            site.world.crash_at(CRASH + Span::seconds(1), 0);
        }
        check_answers_in_time(site, seed);
    }
}

/// Runs to the end. Checks that each caller got an answer in time, neither that its job failed nor that nothing of it ran, and that the
/// jobs that were given up with a start in doubt completed when they were submitted again, or were given up once more.
fn check_answers_in_time(mut site: Site, seed: u64) {
    site.world.run(WATCH);
    site.world.finish_and_check();
    site.world.check_no_overlaps();
    assert!(site.world.log_count("start_unanswered") > 0);
    for (job, view) in &site.world.jobs {
        let is_given_up = matches!(view.answer, Some(Answer::GivenUp { .. }));
        let is_ended = is_given_up || view.answer == Some(Answer::Completed);
        assert!(is_ended, "seed {seed}, {job}: {view:?}");
    }
    let in_doubt = site.world.log_count("start_unsettled");
    assert!(in_doubt > 0, "seed {seed}: no start was in doubt");
    assert!(site.world.timed_out.is_empty(), "seed {seed}");
}

/// The same, where the endpoint carries the starts out, but its answers are lost.
#[test]
fn callers_of_starts_on_an_endpoint_that_cant_answer_are_answered_in_time() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.world.time_out_callers();
        site.use_endpoints();
        site.world.mute_endpoint_at(CRASH, 0, Span::seconds(90));
        let duration = Span::millis([900, 2_000][seed as usize % 2]);
        for n in 0..JOBS {
            let at = CRASH + Span::millis(1 + 6 * n);
            site.submit(at, duration, Span::seconds(4));
        }
        check_answers_in_time(site, seed);
    }
}

/// Returns a site where the endpoints of the first rack are down for three seconds, during which the platform removes them, and whose held
/// starts arrive just after their return. They are listed again `lag` after it.
fn site_with_removed_endpoints(seed: u64, lag: Span) -> Site {
    let down = Span::millis(3_000);
    let mut site = Site::with_held_starts(seed, down, down + Span::millis(50));
    for w in RACK {
        let at = CRASH + Span::millis(200);
        site.world.unlist_at(at, w, down + lag - Span::millis(200));
    }
    site
}

/// An endpoint is listed again under its name, with a new life, after the platform had removed it while a start to it was held.
#[test]
fn endpoint_that_is_listed_again_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = site_with_removed_endpoints(seed, Span::millis(20));
        site.use_endpoints();
        site.finish_and_check();
    }
}

/// The same, where the endpoint's return is listed only after the held starts have arrived.
#[test]
fn endpoint_that_is_listed_again_late_runs_no_task_twice() {
    for seed in 0..8 {
        let mut site = site_with_removed_endpoints(seed, Span::seconds(1));
        site.use_endpoints();
        site.finish_and_check();
    }
}

/// The same, where the endpoint was idle for some seconds before the start: it isn't polled then, and its last answer is old. That doesn't
/// mean that it's gone with what was sent to it just now.
#[test]
fn idle_endpoint_doesnt_count_as_gone_when_a_start_is_in_doubt() {
    for seed in 0..8 {
        let site = site_with_removed_endpoints(seed, Span::seconds(1));
        site.finish_and_check();
    }
}

/// A poll that acknowledges ends of the former life arrives in the next one, which counts its ends anew: ends that nobody has heard would
/// be forgotten, and their tasks would run again.
#[test]
fn late_acknowledgements_lose_no_end() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.restart_rack(CRASH, Span::millis(300));
        site.hold_orders(CRASH - Span::millis(100), Span::millis(100), HELD);
        // The last ones end while polls are held, and no start is.
        for n in 0..24 {
            site.submit(Span::millis(20 + 35 * n), Span::millis(60), WAIT);
        }
        // These end in the next life, while their owner can't hear it, and the held polls arrive after that.
        for n in 0..JOBS {
            let at = CRASH + Span::millis(2_000 + 10 * n);
            site.submit(at, Span::millis(400), WAIT);
        }
        site.cut_rack(CRASH + Span::millis(2_200), Span::millis(1_000));
        site.world.run(WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
        site.check_done_once();
    }
}

/// An endpoint restarts while a poll waits there, and answers starts before the poll times out. The next poll acknowledges ends of the
/// former life: the ends of the new runs would be forgotten unheard, and their tasks would run again.
#[test]
fn acknowledgements_after_an_unnoticed_restart_lose_no_end() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.submit(Span::millis(10), Span::seconds(4), WAIT);
        for n in 0..24 {
            site.submit(Span::millis(20 + 35 * n), Span::millis(60), WAIT);
        }
        let down = Span::millis(20);
        site.restart_rack(CRASH, down);
        for n in 0..JOBS {
            let at = CRASH + down + Span::millis(5 + 10 * n);
            site.submit(at, Span::millis(20), WAIT);
        }
        site.world.run(WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
        site.check_done_once();
    }
}

/// A poll with a lease for the former life arrives in the next one, whose owner can't reach it: the runs there would go on beside those
/// that the owner starts elsewhere when the leases that it knows of are over.
#[test]
fn late_leases_let_no_run_go_on() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.restart_rack(CRASH, Span::millis(300));
        site.hold_orders(CRASH - Span::millis(100), Span::millis(100), HELD);
        // One on each endpoint, so that polls with leases are held.
        for n in 0..4 {
            let at = Span::millis(100 + 10 * n);
            let job = (1, 3_500, Span::millis(950));
            let shape = Shape::default();
            site.world.submit_at(at, site.entry, job, shape);
        }
        for n in 0..JOBS {
            let at = Span::millis(2_500 + 10 * n);
            site.submit(at, Span::seconds(4), WAIT);
        }
        // The held polls arrive before the leases of the new life are over, from 3.9 to 4.0 s.
        site.cut_rack(Span::millis(3_300), Span::seconds(6));
        site.world.run(WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
    }
}

/// Stops of runs of the former life arrive in the next one, where runs of the same numbers belong to jobs that were submitted again.
#[test]
fn late_stops_end_no_run_of_the_next_life() {
    for seed in 0..8 {
        let mut site = Site::new(seed);
        site.restart_rack(CRASH, Span::millis(300));
        site.hold_orders(CRASH - Span::millis(100), Span::millis(100), HELD);
        for n in 0..JOBS {
            site.submit(Span::millis(100 + 10 * n), Span::seconds(3), WAIT);
        }
        for n in 0..JOBS {
            let at = CRASH - Span::millis(90);
            site.world.break_caller_at(at, JobId(1 + n));
        }
        site.world.set_retry_instance(site.entry);
        let crash = site.world.now + CRASH;
        site.world.run(WATCH);
        site.world.finish_and_check();
        site.world.check_no_overlaps();
        for n in 0..JOBS {
            let runs = site.world.runs(JobId(1 + n));
            let later = runs.iter().filter(|(_, record)| record.from > crash);
            assert_eq!(later.count(), 1, "seed {seed}: {runs:?}");
        }
    }
}

/// Starts are held over two and three restarts in quick succession, in which no call is answered: the owner knows only the last life.
#[test]
fn starts_held_over_quick_restarts_run_no_task_twice() {
    for seed in 0..16 {
        let restarts = 2 + seed % 2;
        let mut site = Site::with_held_starts(seed, Span::millis(200), HELD);
        for n in 1..restarts {
            site.restart_rack(CRASH + Span::millis(500 * n), Span::millis(200));
        }
        site.hold_orders(CRASH + Span::millis(201), Span::millis(1_000), HELD);
        site.finish_and_check();
    }
}

/// The same, where each life answers calls before it crashes, and what it has confirmed is forgotten.
#[test]
fn starts_held_over_quick_restarts_of_known_lives_run_no_task_twice() {
    for seed in 0..16 {
        let restarts = 2 + seed % 2;
        let mut site = Site::with_held_starts(seed, Span::millis(200), HELD);
        for n in 1..restarts {
            site.restart_rack(CRASH + Span::millis(800 * n), Span::millis(200));
        }
        site.finish_and_check();
    }
}

/// A start is barred by a life that crashes afterwards, and its task runs elsewhere. The next life must not carry the start out before the
/// owner's first call reaches it.
#[test]
fn start_that_arrives_before_the_first_call_to_a_third_life_runs_no_task_twice() {
    for seed in 0..8 {
        // The third life begins 1.2 s after the crash.
        let mut site = Site::with_held_starts(seed, Span::millis(200), Span::millis(1_192));
        site.restart_rack(CRASH + Span::seconds(1), Span::millis(200));
        site.finish_and_check();
    }
}

/// The owner finds a run of its own task under a lower number, from a start that a former life had barred, and its stops are lost. The task
/// must not start elsewhere while that run goes on.
#[test]
fn listed_run_of_a_lower_number_keeps_its_task_from_starting_elsewhere() {
    for seed in 0..8 {
        let mut site = Site::with_held_starts(seed, Span::millis(200), Span::millis(2_500));
        let crash = Span::millis(3_000);
        let down = Span::millis(400);
        site.restart_rack(crash, down);
        // The third life carries the held starts out before a call reaches it.
        site.cut_rack(crash + down, Span::millis(350));
        for w in RACK {
            site.world.lose_stops_at(crash, w, Span::seconds(3));
        }
        site.finish_and_check();
    }
}

/// A fault beside the restarts of a sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    Kill,
    Drain,
    Partition,
}

impl Trouble {
    fn of(name: &str) -> Self {
        match name {
            "none" => Self::Nothing,
            "kill" => Self::Kill,
            "drain" => Self::Drain,
            "partition" => Self::Partition,
            _ => panic!("{name} is no fault of a sweep"),
        }
    }
}

/// The settings of a sweep.
#[derive(Debug, Clone, Copy)]
struct Sweep {
    /// The share of orders that are late.
    late: f64,
    /// What the clock of a new life is set to for each seed, in milliseconds times the seed.
    ahead: u64,
    trouble: Trouble,
    stored: bool,
}

/// What a world of a sweep showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Finding {
    /// A late start was carried out while the task ran elsewhere.
    LateStartBesideARun(Bar),
    /// A task was started elsewhere while a late start of it was being carried out.
    RunBesideALateStart(Bar),
    /// An overlap without a late start.
    NoLateStart,
    /// A task was started again after its end was acknowledged.
    StartedAgain,
    /// A task of an accepted job was never done.
    NeverDone,
    /// Another check of the world failed.
    FailedCheck,
}

/// What had barred a late start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Bar {
    /// Whether the other run was started under the same claim of the same rack.
    is_of_one_claim: bool,
    /// Whether a life of the endpoint would have refused the late start, and was over when it arrived.
    is_by_a_former_life: bool,
}

impl Finding {
    fn of(overlap: &Overlap, world: &World) -> Self {
        let bar = |(w, record): (usize, RunRecord)| Bar {
            is_of_one_claim: overlap.is_of_one_claim(),
            is_by_a_former_life: world.endpoints[w].had_barred(&record, overlap.later.1.from),
        };
        match (overlap.later.1.is_late, overlap.earlier.1.is_late) {
            (true, _) => Self::LateStartBesideARun(bar(overlap.later)),
            (false, true) => Self::RunBesideALateStart(bar(overlap.earlier)),
            (false, false) => Self::NoLateStart,
        }
    }

    /// Returns the finding of a check that failed with a message.
    fn of_failure(message: &str) -> Self {
        let is_about = |text: &str| message.contains(text);
        match (is_about("started again"), is_about("never done")) {
            (true, _) => Self::StartedAgain,
            (_, true) => Self::NeverDone,
            _ => Self::FailedCheck,
        }
    }
}

impl Sweep {
    /// Runs the world of [`super::former_lives`] with late orders around restarts, and returns it.
    fn run(&self, seed: u64) -> World {
        let faults = Faults {
            late_orders: self.late,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.collect_overlaps();
        world.set_row_lag(Span::millis([0, 300, 2_000][seed as usize % 3]));
        if self.stored {
            world.store_jobs();
        }
        world.submit_jobs(80, Span::millis(100));
        for (n, w) in [1, 4, 8, 11].into_iter().enumerate() {
            let at = Span::millis(700 + 600 * n as u64);
            let down = Span::millis(300 + 400 * n as u64);
            world.crash_and_restart_at(at, w, down, self.ahead * seed);
        }
        let at = Span::millis(900 + 250 * (seed % 8));
        let instance = (seed / 8) as usize % 4;
        match self.trouble {
            Trouble::Nothing => {}
            Trouble::Kill => world.kill_at(at, instance, Span::seconds(1)),
            Trouble::Drain => world.drain_at(at, instance),
            Trouble::Partition => world.partition_at(at, &[instance], Span::millis(2_500)),
        }
        world.run(Span::seconds(12));
        match self.stored {
            true => drop(world.finish_and_check_stored()),
            false => world.finish_and_check(),
        }
        world
    }
}

/// Counts the seeds with overlaps, by their cause. Settings: `SWEEP=FROM-UNTIL,LATE_PERCENT,AHEAD_MS,none|kill|drain|partition,best|stored`.
#[test]
#[ignore = "a sweep by hand, of some minutes"]
fn sweep_of_late_orders_around_restarts() {
    let settings = std::env::var("SWEEP").unwrap_or("0-100,30,0,none,best".to_owned());
    let parts: Vec<&str> = settings.split(',').collect();
    let [seeds, late, ahead, trouble, kind] = parts[..] else {
        panic!("{settings} has not five parts");
    };
    let sweep = Sweep {
        late: late.parse::<f64>().unwrap() / 100.0,
        ahead: ahead.parse().unwrap(),
        trouble: Trouble::of(trouble),
        stored: kind == "stored",
    };
    let (from, until) = seeds.split_once('-').unwrap();
    let seeds = from.parse::<u64>().unwrap()..=until.parse().unwrap();
    let count = seeds.clone().count();
    let mut findings: BTreeMap<Finding, Vec<(u64, u64)>> = BTreeMap::new();
    let mut bad = 0;
    for seed in seeds {
        let result = panic::catch_unwind(|| sweep.run(seed));
        let mut found: BTreeMap<Finding, u64> = BTreeMap::new();
        match result {
            Ok(world) => {
                for overlap in &world.overlaps() {
                    if count == 1 {
                        println!("SWEEP {overlap:#?}");
                    }
                    let longest = found.entry(Finding::of(overlap, &world)).or_default();
                    *longest = overlap.span.as_millis().max(*longest);
                }
            }
            Err(failure) => {
                let message = failure.downcast_ref::<String>();
                let finding = Finding::of_failure(message.map_or("", |text| text));
                found.insert(finding, 0);
            }
        }
        bad += usize::from(!found.is_empty());
        for (finding, longest) in found {
            findings.entry(finding).or_default().push((seed, longest));
        }
    }
    println!("SWEEP {settings}: {bad} of {count} seeds");
    for (finding, seeds) in findings {
        let longest = seeds.iter().map(|(_, longest)| longest).max();
        let first: Vec<u64> = seeds.iter().map(|(seed, _)| *seed).take(6).collect();
        println!(
            "SWEEP   {finding:?}: {} seeds, the longest {longest:?} ms, first {first:?}",
            seeds.len()
        );
    }
}
