//! Admission control: a job is admitted or refused as a whole, at once.
//!
//! A job is refused when a limit is reached or when it would probably miss its deadline. Estimates come from declared
//! run times, scaled by the recent ratio of actual to declared ones.

use std::collections::HashMap;

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

use crate::{
    prelude::*,
    record::route::Quota,
    settings::Limits, //
};

/// The bounds of the factor by which declared times are scaled.
const SCALE_BOUNDS: (f64, f64) = (1.0 / 16.0, 16.0);

/// The weight that earlier run times lose with each further task: about the last 256 tasks count.
const DECAY: f64 = 1.0 / 256.0;

/// The declared and the actual time that the scale starts from, so that the first tasks don't move it far.
const PRIOR_MICROS: f64 = 5_000_000.0;

/// A job that would take more than this many times its remaining time on its own is refused for good.
const INFEASIBLE_FACTOR: u64 = 4;

/// The shortest delay after which a refused caller is asked to retry.
const MIN_RETRY: Span = Span::millis(50);

/// The longest delay after which a refused caller is asked to retry.
const MAX_RETRY: Span = Span::seconds(30);

/// What a job needs in order to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The job's team.
    pub team: &'a Team,
    /// The number of its tasks.
    pub tasks: u32,
    /// Its size in memory, in bytes.
    pub bytes: usize,
    /// The sum of the declared run times of its tasks.
    pub work: Span,
    /// The longest declared run time among its tasks.
    pub longest: Span,
    /// The time that is left until its deadline.
    pub time_left: Span,
    /// The quota of its team, if there is one.
    pub quota: Option<Quota>,
    /// The slots at endpoints that this instance can expect to get.
    pub slots: u32,
}

/// Why a job is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as the answer reports it.
    pub reason: Reason,
    /// The reason as a sentence.
    pub detail: String,
    /// The delay after which a retry may succeed; none if it never would.
    pub retry_after: Option<Span>,
}

/// The jobs that are admitted and not finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of jobs.
    pub jobs: usize,
    /// The number of their unfinished tasks.
    pub tasks: usize,
    /// Their size in memory, in bytes.
    pub bytes: usize,
    /// The declared run time of the unfinished tasks.
    pub work: Span,
}

impl Usage {
    fn add(&mut self, jobs: usize, tasks: u32, bytes: usize, work: Span) {
        self.jobs += jobs;
        self.tasks += tasks as usize;
        self.bytes += bytes;
        self.work = self.work + work;
    }

    fn subtract(&mut self, jobs: usize, tasks: u32, bytes: usize, work: Span) {
        self.jobs = self.jobs.saturating_sub(jobs);
        self.tasks = self.tasks.saturating_sub(tasks as usize);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.work = self.work - work;
    }
}

/// What one team has in progress.
#[derive(Debug, Default)]
struct TeamUsage {
    usage: Usage,
    weight: u32,
}

/// Decides which jobs are admitted.
#[derive(Debug)]
pub struct Admission {
    max_jobs: usize,
    max_bytes: usize,
    max_tasks: usize,
    random: SmallRng,
    total: Usage,
    teams: HashMap<Team, TeamUsage>,
    /// The sum of the weights of the teams that have jobs.
    weights: u64,
    /// The declared run time of recent tasks, in microseconds, decaying.
    declared: f64,
    /// Their actual run time, in microseconds, decaying.
    actual: f64,
    /// When the refused jobs would be done if they were retried one after another.
    backlog_end: Time,
}

impl Admission {
    /// Creates an admission control within `limits`, with nothing admitted.
    pub fn new(limits: &Limits, seed: u64) -> Self {
        Self {
            max_jobs: limits.jobs,
            max_bytes: limits.job_bytes,
            max_tasks: limits.waiting_tasks,
            random: SmallRng::seed_from_u64(seed),
            total: Usage::default(),
            teams: HashMap::new(),
            weights: 0,
            declared: PRIOR_MICROS,
            actual: PRIOR_MICROS,
            backlog_end: Time::default(),
        }
    }

    /// Admits a job and counts it, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns why the job is refused and when to retry; nothing of it is counted then.
    pub fn admit(&mut self, now: Time, demand: &Demand<'_>) -> Result<(), Refusal> {
        self.check_fits(demand)?;
        if demand.slots == 0 {
            let detail = "no endpoint of the service is eligible".to_owned();
            return Err(self.refuse_for_now(now, demand, Reason::NoEndpoint, detail, MIN_RETRY));
        }
        if let Err(detail) = self.check_bounds(demand) {
            let wait = self.turnover(demand);
            return Err(self.refuse_for_now(now, demand, Reason::Busy, detail, wait));
        }
        self.check_deadline(now, demand)?;
        self.add(demand);
        Ok(())
    }

    /// Subtracts finished tasks of a job that goes on; `work` is their declared run time.
    pub fn finish_tasks(&mut self, team: &Team, tasks: u32, work: Span) {
        self.subtract(team, 0, tasks, 0, work);
    }

    /// Subtracts a job that has ended, with its tasks, bytes and declared run time that are still counted.
    pub fn release_job(&mut self, team: &Team, tasks: u32, bytes: usize, work: Span) {
        self.subtract(team, 1, tasks, bytes, work);
    }

    /// Records that a task took `took` and was declared to take `expected`.
    pub fn record_run_time(&mut self, expected: Span, took: Span) {
        self.declared += expected.0.max(1_000) as f64 - self.declared * DECAY;
        self.actual += took.0 as f64 - self.actual * DECAY;
    }

    /// Returns the factor by which declared times are multiplied.
    pub fn scale(&self) -> f64 {
        (self.actual / self.declared).clamp(SCALE_BOUNDS.0, SCALE_BOUNDS.1)
    }

    /// Returns the usage of all teams.
    pub fn usage(&self) -> Usage {
        self.total
    }

    /// Returns the usage of one team.
    pub fn team_usage(&self, team: &Team) -> Usage {
        self.teams
            .get(team)
            .map_or_else(Usage::default, |entry| entry.usage)
    }

    /// Refuses for good a job that even an idle instance couldn't admit.
    fn check_fits(&self, demand: &Demand<'_>) -> Result<(), Refusal> {
        let quota = demand.quota.map_or(0, |quota| quota.outstanding);
        let detail = if quota > 0 && demand.tasks > quota {
            format!(
                "{} tasks are more than the team's quota of {quota}",
                demand.tasks
            )
        } else if demand.tasks as usize > self.max_tasks {
            format!(
                "{} tasks are more than the bound of {}",
                demand.tasks, self.max_tasks
            )
        } else if demand.bytes > self.max_bytes {
            format!(
                "{} bytes are more than the bound of {}",
                demand.bytes, self.max_bytes
            )
        } else {
            return Ok(());
        };
        Err(Refusal {
            reason: Reason::Invalid,
            detail,
            retry_after: None,
        })
    }

    /// Checks the team's quota and the limits of the instance against what is in progress.
    fn check_bounds(&self, demand: &Demand<'_>) -> Result<(), String> {
        let own = self.team_usage(demand.team);
        let quota = demand.quota.map_or(0, |quota| quota.outstanding) as usize;
        let tasks = demand.tasks as usize;
        if quota > 0 && own.tasks + tasks > quota {
            return Err(format!("the team's quota of {quota} tasks is in use"));
        }
        let total = self.total;
        if !has_room(total.jobs, own.jobs, 1, self.max_jobs) {
            return Err("too many jobs are in progress".to_owned());
        }
        if !has_room(total.tasks, own.tasks, tasks, self.max_tasks) {
            return Err("too many tasks are in progress".to_owned());
        }
        if !has_room(total.bytes, own.bytes, demand.bytes, self.max_bytes) {
            return Err("jobs in progress take too much memory".to_owned());
        }
        Ok(())
    }

    /// Refuses a job that would probably miss its deadline.
    ///
    /// The job's own run time counts for at most half of its remaining time. Otherwise an idle instance could refuse a
    /// job because of an inaccurate declaration.
    fn check_deadline(&mut self, now: Time, demand: &Demand<'_>) -> Result<(), Refusal> {
        let alone = self.occupancy(demand.work - demand.longest, demand.slots)
            + self.scale_span(demand.longest);
        if alone > demand.time_left.times(INFEASIBLE_FACTOR) {
            let detail = format!(
                "it would take about {alone} alone, far past its deadline in {}",
                demand.time_left
            );
            return Err(Refusal {
                reason: Reason::Busy,
                detail,
                retry_after: None,
            });
        }
        let wait = self.expected_wait(demand);
        let finish = wait + alone.min(Span(demand.time_left.0 / 2));
        if finish <= demand.time_left {
            return Ok(());
        }
        let detail = format!(
            "it would wait about {wait} for others, with a deadline in {}",
            demand.time_left
        );
        Err(self.refuse_for_now(now, demand, Reason::Busy, detail, finish - demand.time_left))
    }

    /// Returns the time for which a job is expected to wait for others.
    ///
    /// Slots are shared among the teams by weight, so a job waits for the work of its own team at that team's share,
    /// but never for more than all admitted work.
    fn expected_wait(&self, demand: &Demand<'_>) -> Span {
        let own = self.teams.get(demand.team);
        let ahead = own.map_or_else(Span::default, |entry| entry.usage.work);
        let counted = own.map_or(0, |entry| u64::from(entry.weight));
        let weight = u64::from(weight_of(demand));
        let weights = self.weights - counted + weight;
        let at_share = u128::from(ahead.0) * u128::from(weights) / u128::from(weight);
        let at_share = Span(u64::try_from(at_share).unwrap_or(u64::MAX));
        self.occupancy(at_share.min(self.total.work), demand.slots)
    }

    /// Returns the time for which declared work is expected to keep `slots` busy.
    fn occupancy(&self, work: Span, slots: u32) -> Span {
        Span(self.scale_span(work).0 / u64::from(slots.max(1)))
    }

    /// Returns the time in which as many tasks are expected to finish as the job has.
    fn turnover(&self, demand: &Demand<'_>) -> Span {
        let mean = self.total.work.0 / self.total.tasks.max(1) as u64;
        self.occupancy(Span(mean).times(u64::from(demand.tasks)), demand.slots)
    }

    /// Returns the expected run time of declared work.
    fn scale_span(&self, declared: Span) -> Span {
        Span((declared.0 as f64 * self.scale()) as u64)
    }

    /// Creates a refusal that asks the caller to retry after about `wait`.
    ///
    /// The delay grows by the work that was refused before, plus a random jitter. Otherwise callers that are refused
    /// together would retry together and be refused again.
    fn refuse_for_now(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        reason: Reason,
        detail: String,
        wait: Span,
    ) -> Refusal {
        let start = self.backlog_end.max(now + wait.max(MIN_RETRY));
        let duration = self.occupancy(demand.work, demand.slots);
        self.backlog_end = (start + duration).min(now + MAX_RETRY);
        let wait = start.since(now).min(Span(MAX_RETRY.0 / 2));
        let jitter = self.random.random_range(0..=wait.0.max(MIN_RETRY.0));
        Refusal {
            reason,
            detail,
            retry_after: Some((wait + Span(jitter)).min(MAX_RETRY)),
        }
    }

    /// Counts an admitted job.
    fn add(&mut self, demand: &Demand<'_>) {
        let entry = self.teams.entry(demand.team.clone()).or_default();
        let weight = weight_of(demand);
        self.weights = self.weights - u64::from(entry.weight) + u64::from(weight);
        entry.weight = weight;
        entry.usage.add(1, demand.tasks, demand.bytes, demand.work);
        self.total.add(1, demand.tasks, demand.bytes, demand.work);
    }

    /// Subtracts from the usage of a team, and removes a team without jobs.
    fn subtract(&mut self, team: &Team, jobs: usize, tasks: u32, bytes: usize, work: Span) {
        self.total.subtract(jobs, tasks, bytes, work);
        let Some(entry) = self.teams.get_mut(team) else {
            debug_assert!(false, "released more than was admitted");
            return;
        };
        entry.usage.subtract(jobs, tasks, bytes, work);
        if entry.usage.jobs == 0 {
            self.weights -= u64::from(entry.weight);
            self.teams.remove(team);
        }
    }
}

/// Returns the weight of a job's team: that of its quota, at least one.
fn weight_of(demand: &Demand<'_>) -> u32 {
    demand.quota.map_or(1, |quota| quota.weight).max(1)
}

/// Returns whether a team that uses `own` of `bound` may take `more`: no more than what all teams leave free.
///
/// With a fixed limit, the burst of one team would fill it, and all others would be refused. This dynamic threshold
/// gives a single team at most half of the limit, two teams a third each, and always leaves some for the next.
fn has_room(total: usize, own: usize, more: usize, bound: usize) -> bool {
    own + more <= bound.saturating_sub(total)
}
