//! Admission control: how long a job would wait, and whether it's still of use then.
//!
//! It addresses load 4 of `docs/heavy-load.md`: a burst beyond the capacity of all racks. A job that would end too late is
//! refused at once with the time to retry, so that the capacity goes to jobs that are of use. Only work that goes ahead of the
//! job counts, in the order of [`queue`](super::queue).
//!
//! The functions are pure. The entry converts its racks to [`Room`]s: those that may run a step, by label, size, affinity and
//! evacuation.

use crate::prelude::*;

/// The part of its estimate by which a task may take longer: callers' estimates are off by up to 40 %. A job that must wait is
/// accepted only if it would end within its caller's wait all the same.
const ESTIMATE_ERROR: f64 = 0.4;

/// The part of the critical path that must fit within the time limit of a job that needn't wait. Estimates may be too high.
pub const ESTIMATE_SHARE: f64 = 0.8;

/// The number of intervals of a [`Profile`]. The error of a wait is at most one interval, 3 % of the longest useful wait.
const INTERVALS: usize = 32;

/// What a rack offers to the tasks of a step that have no free resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// The waiting work that goes ahead of the job while it can be on time, in core-milliseconds.
    pub ahead: u64,
    /// The waiting work that goes ahead of the job once it's late, in core-milliseconds.
    pub ahead_late: u64,
    /// The rate at which the rack works off what waits, in thousandths of a core.
    pub rate: u64,
}

/// The tasks of a step for which no resources are free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Their number.
    pub tasks: u64,
    /// The work of each, in core-milliseconds.
    pub work: u64,
    /// The time within which the last of them must start for the job to be on time.
    pub slack: Span,
    /// The longest wait that needs to be told apart from longer ones, see [`Limits::longest_wait`].
    pub horizon: Span,
}

/// When tasks would start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// The time until the last of them would start.
    pub wait: Span,
    /// The time that all racks together need for the work that goes ahead of them.
    pub backlog: Span,
}

impl Forecast {
    /// Returns the later one of two forecasts, for steps of the same job.
    pub fn later(self, other: Self) -> Self {
        Self {
            wait: self.wait.max(other.wait),
            backlog: self.backlog.max(other.backlog),
        }
    }
}

/// The limits of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// The time that it takes without waiting.
    pub critical_path: Span,
    /// The time after which its end is late.
    pub objective: Span,
    /// The time after which an answer is of little use.
    pub useful: Span,
    /// The time after which its caller stops waiting.
    pub time_limit: Span,
}

impl Limits {
    /// Returns the longest wait with which the job is likely to be of use, or `None` if it isn't even without a wait.
    pub fn longest_wait(&self) -> Option<Span> {
        let path = self.critical_path.0 as f64;
        if path * ESTIMATE_SHARE > self.time_limit.0 as f64 {
            return None;
        }
        let useful = self.useful - self.critical_path;
        let in_time = self.time_limit - Span((path * (1.0 + ESTIMATE_ERROR)) as u64);
        Some(useful.min(in_time))
    }
}

/// The decision on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It's accepted, and would take this long.
    Accepted(Span),
    /// It would end too late.
    Refused {
        /// The time that it would take.
        expected: Span,
        /// The time that the work ahead of it needs, after which its caller may retry.
        retry_after: Span,
    },
}

/// Decides on a job from the forecast for its tasks.
pub fn decide(forecast: Forecast, limits: &Limits) -> Decision {
    let expected = forecast.wait + limits.critical_path;
    match limits.longest_wait() {
        Some(longest) if forecast.wait == Span(0) || forecast.wait <= longest => {
            Decision::Accepted(expected)
        }
        _ => Decision::Refused {
            expected,
            retry_after: forecast.backlog,
        },
    }
}

/// Returns how many of `tasks` exceed the free resources. `fitting` has the number of tasks that each rack has resources for;
/// it's read only as far as needed.
pub fn count_missing(tasks: u64, fitting: impl IntoIterator<Item = u64>) -> u64 {
    let mut missing = tasks;
    for count in fitting {
        missing = missing.saturating_sub(count);
        if missing == 0 {
            break;
        }
    }
    missing
}

/// Forecasts when tasks without free resources start if they are spread over the racks so that the last one starts soonest.
/// Returns `None` without a rack.
///
/// Each rack is read once, whatever the number of tasks.
pub fn forecast(rooms: impl IntoIterator<Item = Room>, demand: &Demand) -> Option<Forecast> {
    let mut on_time = Profile::new(demand.horizon);
    let mut late = Profile::new(demand.horizon);
    for room in rooms {
        on_time.add(room.ahead, room.rate);
        late.add(room.ahead_late, room.rate);
    }
    if on_time.is_empty() {
        return None;
    }
    // The last task starts when the resources that it needs itself have become free, too.
    let own = demand.tasks.saturating_mul(demand.work);
    let wait = on_time.time_to_place(own);
    if wait <= demand.slack {
        let backlog = on_time.time_to_drain();
        return Some(Forecast { wait, backlog });
    }
    // The job becomes late while it waits, and goes behind work that isn't.
    Some(Forecast {
        wait: wait.max(late.time_to_place(own)),
        backlog: late.time_to_drain(),
    })
}

/// Work and rates of racks, by the time that each needs for its work. Racks that need longer than the horizon are in the last
/// interval.
#[derive(Debug)]
struct Profile {
    interval: Span,
    /// Sums of work and rate.
    sums: [(u64, u64); INTERVALS],
}

impl Profile {
    fn new(horizon: Span) -> Self {
        Self {
            interval: Span((horizon.0 / (INTERVALS as u64 - 1)).max(1)),
            sums: [(0, 0); INTERVALS],
        }
    }

    fn add(&mut self, work: u64, rate: u64) {
        let index = time_for(work, rate).0 / self.interval.0;
        let (works, rates) = &mut self.sums[(index as usize).min(INTERVALS - 1)];
        *works = works.saturating_add(work);
        *rates = rates.saturating_add(rate.max(1));
    }

    fn is_empty(&self) -> bool {
        self.sums.iter().all(|(_, rate)| *rate == 0)
    }

    /// Returns the time after which racks have worked off what they have, and `work` besides, if that is placed on those that
    /// get to it first.
    fn time_to_place(&self, work: u64) -> Span {
        let (mut work, mut rate) = (work, 0_u64);
        let mut time = Span(0);
        for (index, sum) in self.sums.iter().enumerate() {
            let start = self.interval.times(index as u64);
            if rate > 0 && time < start {
                return time;
            }
            work = work.saturating_add(sum.0);
            rate = rate.saturating_add(sum.1);
            time = time_for(work, rate);
        }
        time
    }

    /// Returns the time that all racks together need for their work.
    fn time_to_drain(&self) -> Span {
        let (work, rate) = self.sums.iter().fold((0_u64, 0_u64), |(work, rate), sum| {
            (work.saturating_add(sum.0), rate.saturating_add(sum.1))
        });
        time_for(work, rate)
    }
}

/// Returns the time for work in core-milliseconds at a rate in thousandths of a core.
fn time_for(work: u64, rate: u64) -> Span {
    Span(work.saturating_mul(1_000_000) / rate.max(1))
}
