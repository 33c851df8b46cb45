//! Generated workloads: arrival times of jobs, run times of tasks, and ideal response times.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use crate::report::Distribution;

/// The largest number of tasks of a job.
const MAX_TASKS: usize = 210;

/// Mean of the exponentially distributed tasks of a job beyond its first.
const MEAN_EXTRA_TASKS: f64 = 12.0;

/// Log-normal distribution of run times: the median in milliseconds, and the standard deviation of the logarithm.
const USUAL_RUN_TIME: (f64, f64) = (224.0, 0.65);

/// Share of tasks that run for 1 to 5 seconds.
const LONG_SHARE: f64 = 0.02;

/// A generated job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// When it arrives, in seconds since the start.
    pub(crate) arrival_s: f64,
    /// Run times of its tasks, in milliseconds.
    pub(crate) sleeps_ms: Vec<u64>,
    /// Declared run times of its tasks, in milliseconds.
    pub(crate) declared: Vec<u64>,
    /// A random number that selects the instance to submit it to.
    pub(crate) instance_seed: usize,
}

impl Job {
    /// Returns the response time if no task waits, in milliseconds.
    pub(crate) fn ideal(&self) -> f64 {
        self.sleeps_ms.iter().copied().max().unwrap_or(0) as f64
    }

    /// Returns when it arrives.
    pub(crate) fn due(&self) -> Duration {
        Duration::from_secs_f64(self.arrival_s)
    }
}

/// Parameters of a generated workload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Workload {
    /// Seed of the random numbers: the same seed gives the same jobs.
    pub(crate) seed: u64,
    /// Average share of busy slots.
    pub(crate) load: f64,
    /// Slots of all workers together.
    pub(crate) slots: u32,
    /// How long jobs arrive for, in seconds.
    pub(crate) seconds: f64,
    /// The smallest and the largest ratio of the declared to the real run time.
    pub(crate) declared_factor: (f64, f64),
    /// Tasks of every job; `None` draws the number for each.
    pub(crate) tasks: Option<usize>,
}

/// Generates Poisson arrivals of jobs of 1 + Exp(12) tasks, with log-normal run times of 50 ms to 1 s, and 2 % of 1 to 5 s.
pub(crate) fn generate_jobs(workload: Workload) -> Vec<Job> {
    let mut random = SmallRng::seed_from_u64(workload.seed);
    let mean = estimate_mean_sleep(&mut random) / 1e3;
    let tasks = workload
        .tasks
        .map_or(1.0 + MEAN_EXTRA_TASKS, |tasks| tasks as f64);
    let rate = workload.load * f64::from(workload.slots) / (tasks * mean);
    let mut at = 0.0;
    let mut jobs = Vec::new();
    loop {
        at += sample_exponential(&mut random) / rate;
        if at > workload.seconds {
            return jobs;
        }
        let random_size = 1 + (MEAN_EXTRA_TASKS * sample_exponential(&mut random)).round() as usize;
        let size = workload.tasks.unwrap_or(random_size).min(MAX_TASKS);
        let sleeps_ms: Vec<u64> = (0..size).map(|_| sample_sleep(&mut random)).collect();
        let (least, most) = (
            workload.declared_factor.0.ln(),
            workload.declared_factor.1.ln(),
        );
        let declare = |sleep: &u64| {
            let factor = (least + (most - least) * random.random::<f64>()).exp();
            ((*sleep as f64 * factor) as u64).max(1)
        };
        let declared = sleeps_ms.iter().map(declare).collect();
        let instance_seed = random.random_range(0..usize::MAX);
        jobs.push(Job {
            arrival_s: at,
            sleeps_ms,
            declared,
            instance_seed,
        });
    }
}

/// Returns the mean of many samples of a run time, in milliseconds.
fn estimate_mean_sleep(random: &mut SmallRng) -> f64 {
    const DRAWS: u64 = 20_000;
    let sum: u64 = (0..DRAWS).map(|_| sample_sleep(random)).sum();
    sum as f64 / DRAWS as f64
}

/// Returns a sample of the exponential distribution with mean 1.
fn sample_exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Returns a sample of the run time of a task, in milliseconds.
fn sample_sleep(random: &mut SmallRng) -> u64 {
    if random.random_bool(LONG_SHARE) {
        return random.random_range(1_000..5_000);
    }
    // Twelve uniform samples, less their mean, approximate a standard normal one.
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let sleep = USUAL_RUN_TIME.0 * (USUAL_RUN_TIME.1 * normal).exp();
    sleep.clamp(50.0, 1_000.0) as u64
}

/// Returns the response times over the ideal if one queue fed all slots, with the longest tasks of each job first.
pub(crate) fn simulate_one_queue(jobs: &[Job], slots: u32) -> Distribution {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut ratios = Distribution::default();
    for job in jobs {
        let at = (job.arrival_s * 1e6) as u64;
        let mut sleeps_ms = job.sleeps_ms.clone();
        sleeps_ms.sort_unstable_by_key(|sleep| Reverse(*sleep));
        let mut end = at;
        for sleep in sleeps_ms {
            let start = free.pop().map_or(at, |Reverse(free)| free.max(at));
            free.push(Reverse(start + sleep * 1_000));
            end = end.max(start + sleep * 1_000);
        }
        ratios.add((end - at) as f64 / 1e3 / job.ideal());
    }
    ratios
}
