//! Admission: a job is taken whole or refused whole, at once.
//!
//! A job is refused when a bound is reached or when it would probably miss its deadline. What is expected comes
//! from declared run times, scaled by how far the declarations have been off lately.

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

/// The least and the most that declared times are scaled by.
const SCALES: (f64, f64) = (1.0 / 16.0, 16.0);

/// How fast older durations fade: about the last 256 tasks count.
const FADING: f64 = 1.0 / 256.0;

/// The declared and real time that the scale starts from, so that the first tasks don't swing it.
const PRIOR: f64 = 5_000_000.0;

/// How many times its deadline a job may take alone, as declared, before it is refused for that.
const INFEASIBLE: u64 = 4;

/// The least time after which a refused caller is asked back.
const SOONEST: Span = Span::millis(50);

/// The most time after which a refused caller is asked back.
const LATEST: Span = Span::seconds(30);

/// What a job that is to be admitted demands.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Its team.
    pub team: &'a Team,
    /// Its tasks.
    pub tasks: u32,
    /// Its size in memory.
    pub bytes: usize,
    /// The declared run times of its tasks, added up.
    pub work: Span,
    /// The longest of them.
    pub longest: Span,
    /// The time that is left until its deadline.
    pub time_left: Span,
    /// What its team may use.
    pub quota: Option<Quota>,
    /// The slots that this instance may count on.
    pub slots: u32,
}

/// Why a job is not taken; nothing of it was counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The same in a sentence.
    pub detail: String,
    /// When to come back, where that helps.
    pub retry_after: Option<Span>,
}

/// What is admitted and not finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Jobs.
    pub jobs: usize,
    /// Tasks.
    pub tasks: usize,
    /// Bytes.
    pub bytes: usize,
    /// Declared run time.
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
struct Share {
    usage: Usage,
    weight: u32,
}

/// Decides which jobs are taken.
#[derive(Debug)]
pub struct Admission {
    jobs: usize,
    bytes: usize,
    waiting: usize,
    random: SmallRng,
    total: Usage,
    teams: HashMap<Team, Share>,
    weights: u64,
    declared: f64,
    real: f64,
    /// When the work that was refused so far would be done, had it been asked back one job after the other.
    returns: Time,
}

impl Admission {
    /// Makes an admission within `limits`, with nothing admitted.
    pub fn new(limits: &Limits, seed: u64) -> Self {
        Self {
            jobs: limits.jobs,
            bytes: limits.job_bytes,
            waiting: limits.waiting_tasks,
            random: SmallRng::seed_from_u64(seed),
            total: Usage::default(),
            teams: HashMap::new(),
            weights: 0,
            declared: PRIOR,
            real: PRIOR,
            returns: Time::default(),
        }
    }

    /// Takes a job whole, or refuses it whole.
    ///
    /// # Errors
    ///
    /// Tells why the job is refused and when to come back; nothing of it is counted then.
    pub fn admit(&mut self, now: Time, demand: &Demand<'_>) -> Result<(), Refusal> {
        self.check_fits(demand)?;
        if demand.slots == 0 {
            let detail = "no endpoint of the service is eligible".to_owned();
            return Err(self.refuse(now, demand, Reason::NoEndpoint, detail, SOONEST));
        }
        if let Err(detail) = self.check_bounds(demand) {
            let wait = self.turnover(demand);
            return Err(self.refuse(now, demand, Reason::Busy, detail, wait));
        }
        self.check_deadline(now, demand)?;
        self.count(demand);
        Ok(())
    }

    /// Counts tasks of a job as finished while the job goes on.
    pub fn finish_tasks(&mut self, team: &Team, tasks: u32, work: Span) {
        self.subtract(team, 0, tasks, 0, work);
    }

    /// Counts a job out, with what was admitted of it and not yet counted as finished.
    pub fn release_job(&mut self, team: &Team, tasks: u32, bytes: usize, work: Span) {
        self.subtract(team, 1, tasks, bytes, work);
    }

    /// Learns how long a task took that was declared to take `expected`.
    pub fn record_run_time(&mut self, expected: Span, took: Span) {
        self.declared += expected.0.max(1_000) as f64 - self.declared * FADING;
        self.real += took.0 as f64 - self.real * FADING;
    }

    /// Returns what declared times are multiplied by.
    pub fn scale(&self) -> f64 {
        (self.real / self.declared).clamp(SCALES.0, SCALES.1)
    }

    /// Returns what is admitted and not finished.
    pub fn usage(&self) -> Usage {
        self.total
    }

    /// Returns what a team has admitted and not finished.
    pub fn team_usage(&self, team: &Team) -> Usage {
        self.teams
            .get(team)
            .map_or_else(Usage::default, |share| share.usage)
    }

    /// Refuses for good what could not even be taken by an idle instance.
    fn check_fits(&self, demand: &Demand<'_>) -> Result<(), Refusal> {
        let quota = demand.quota.map_or(0, |quota| quota.outstanding);
        let detail = if quota > 0 && demand.tasks > quota {
            format!(
                "{} tasks are more than the team's quota of {quota}",
                demand.tasks
            )
        } else if demand.tasks as usize > self.waiting {
            format!(
                "{} tasks are more than the bound of {}",
                demand.tasks, self.waiting
            )
        } else if demand.bytes > self.bytes {
            format!(
                "{} bytes are more than the bound of {}",
                demand.bytes, self.bytes
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

    fn check_bounds(&self, demand: &Demand<'_>) -> Result<(), String> {
        let own = self.team_usage(demand.team);
        let quota = demand.quota.map_or(0, |quota| quota.outstanding) as usize;
        let tasks = demand.tasks as usize;
        if quota > 0 && own.tasks + tasks > quota {
            return Err(format!("the team's quota of {quota} tasks is in use"));
        }
        let total = self.total;
        if !room(total.jobs, own.jobs, 1, self.jobs) {
            return Err("too many jobs are in progress".to_owned());
        }
        if !room(total.tasks, own.tasks, tasks, self.waiting) {
            return Err("too many tasks are in progress".to_owned());
        }
        if !room(total.bytes, own.bytes, demand.bytes, self.bytes) {
            return Err("jobs in progress take too much memory".to_owned());
        }
        Ok(())
    }

    /// Refuses a job that would probably miss its deadline.
    ///
    /// What the job itself takes, as declared, counts up to half of its deadline: declarations are often far off,
    /// and a job must not be shut out of an idle instance by a guess.
    fn check_deadline(&mut self, now: Time, demand: &Demand<'_>) -> Result<(), Refusal> {
        let alone = self.busy_span(demand.work - demand.longest, demand.slots)
            + self.scaled(demand.longest);
        if alone > demand.time_left.times(INFEASIBLE) {
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
        let wait = self.wait(demand);
        let finish = wait + alone.min(Span(demand.time_left.0 / 2));
        if finish <= demand.time_left {
            return Ok(());
        }
        let detail = format!(
            "it would wait about {wait} for others, with a deadline in {}",
            demand.time_left
        );
        Err(self.refuse(now, demand, Reason::Busy, detail, finish - demand.time_left))
    }

    /// Returns how long the work ahead of a job is expected to hold it up.
    ///
    /// Places go to the teams by their weights, so a job waits for the work of its own team at its share of the
    /// slots, but never for more than all the work there is.
    fn wait(&self, demand: &Demand<'_>) -> Span {
        let own = self.teams.get(demand.team);
        let ahead = own.map_or_else(Span::default, |share| share.usage.work);
        let counted = own.map_or(0, |share| u64::from(share.weight));
        let weight = u64::from(weight(demand));
        let weights = self.weights - counted + weight;
        let at_share = u128::from(ahead.0) * u128::from(weights) / u128::from(weight);
        let at_share = Span(u64::try_from(at_share).unwrap_or(u64::MAX));
        self.busy_span(at_share.min(self.total.work), demand.slots)
    }

    /// Returns for how long declared work keeps `slots` busy.
    fn busy_span(&self, work: Span, slots: u32) -> Span {
        Span(self.scaled(work).0 / u64::from(slots.max(1)))
    }

    /// Returns the time in which as many tasks are expected to end as the job has.
    fn turnover(&self, demand: &Demand<'_>) -> Span {
        let mean = self.total.work.0 / self.total.tasks.max(1) as u64;
        self.busy_span(Span(mean).times(u64::from(demand.tasks)), demand.slots)
    }

    fn scaled(&self, declared: Span) -> Span {
        Span((declared.0 as f64 * self.scale()) as u64)
    }

    /// Makes a refusal that asks the caller back after about `wait`.
    ///
    /// Callers that are refused together and come back together are refused together again. So each is asked back
    /// when the work of those refused before it would be done, and a random time later.
    fn refuse(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        reason: Reason,
        detail: String,
        wait: Span,
    ) -> Refusal {
        let start = self.returns.max(now + wait.max(SOONEST));
        let takes = self.busy_span(demand.work, demand.slots);
        self.returns = (start + takes).min(now + LATEST);
        let wait = start.since(now).min(Span(LATEST.0 / 2));
        let jitter = self.random.random_range(0..=wait.0.max(SOONEST.0));
        Refusal {
            reason,
            detail,
            retry_after: Some((wait + Span(jitter)).min(LATEST)),
        }
    }

    fn count(&mut self, demand: &Demand<'_>) {
        let share = self.teams.entry(demand.team.clone()).or_default();
        let weight = weight(demand);
        self.weights = self.weights - u64::from(share.weight) + u64::from(weight);
        share.weight = weight;
        share.usage.add(1, demand.tasks, demand.bytes, demand.work);
        self.total.add(1, demand.tasks, demand.bytes, demand.work);
    }

    fn subtract(&mut self, team: &Team, jobs: usize, tasks: u32, bytes: usize, work: Span) {
        self.total.subtract(jobs, tasks, bytes, work);
        let Some(share) = self.teams.get_mut(team) else {
            debug_assert!(false, "released more than was admitted");
            return;
        };
        share.usage.subtract(jobs, tasks, bytes, work);
        if share.usage.jobs == 0 {
            self.weights -= u64::from(share.weight);
            self.teams.remove(team);
        }
    }
}

fn weight(demand: &Demand<'_>) -> u32 {
    demand.quota.map_or(1, |quota| quota.weight).max(1)
}

/// Tells whether there is room for `more`, when a team may take no more than it leaves free.
///
/// With one bound for all, a flood by one team would fill it and shut the others out. By this dynamic threshold one
/// team gets at most half of it, two a third each, and there is always some left for the next.
fn room(total: usize, own: usize, more: usize, bound: usize) -> bool {
    own + more <= bound.saturating_sub(total)
}
