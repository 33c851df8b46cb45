//! Progress of runs as endpoints report it, and detection of stalled runs.

use crate::prelude::*;

/// The share of its estimate for which a run may report no progress. Runs on sound endpoints take up to twice
/// their estimate, and so complete a tenth of their work in this time.
const STALL_SHARE: f64 = 0.25;

/// Time without progress that is allowed in addition, whatever the estimate: endpoints report about every 120 ms.
const STALL_MARGIN: Span = Span::millis(100);

/// From this percentage on, a run may have ended and its end be in transit.
const NEARLY_DONE_PERCENT: u8 = 99;

/// The least percentage from which the duration of a run is predicted: a smaller one is rounded too coarsely.
const MIN_PREDICTIVE_PERCENT: u8 = 10;

/// The share of the time that a run has taken so far for which one that exceeds its prediction is expected to go on.
const OVERRUN_SHARE: u64 = 4;

/// How often a task is moved away from an endpoint where it stalls. A task that stalls everywhere is at fault
/// itself, and would get every endpoint ejected in turn.
pub const MAX_RESTARTS: u32 = 3;

/// The progress of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tracker {
    estimate: Span,
    percent: u8,
    /// When it was first reported, or its percentage last rose.
    last_rise: Option<Time>,
}

impl Tracker {
    /// Returns the progress of a run that hasn't been reported yet.
    pub fn new(estimate: Span) -> Self {
        Self {
            estimate,
            percent: 0,
            last_rise: None,
        }
    }

    /// Records a reported percentage. If it has risen, returns the time since the last rise or the first report.
    pub fn record(&mut self, percent: u8, now: Time) -> Option<Span> {
        let before = self.last_rise;
        if before.is_some() && percent <= self.percent {
            return None;
        }
        self.percent = percent;
        self.last_rise = Some(now);
        before.map(|at| now.since(at))
    }

    /// Returns how long a run that was started at `started` is expected to go on: by its progress, or by `duration` if it hasn't
    /// reported enough of it.
    pub fn remaining(&self, started: Time, duration: Span, now: Time) -> Span {
        let by_progress = self
            .last_rise
            .filter(|_| self.percent >= MIN_PREDICTIVE_PERCENT);
        let total = by_progress.map_or(duration, |at| {
            Span(at.since(started).0 * 100 / u64::from(self.percent))
        });
        let elapsed = now.since(started);
        match total > elapsed {
            true => total - elapsed,
            false => Span(elapsed.0 / OVERRUN_SHARE),
        }
    }

    /// Returns the estimate of its duration.
    pub fn estimate(&self) -> Span {
        self.estimate
    }

    /// Returns how long a run may report no progress, on an endpoint whose longest time between two reports of
    /// progress is `gap`. Returns `None` if the endpoint never reported any.
    ///
    /// An endpoint that reports progress rarely gets more time, as its longer runs would otherwise seem stalled
    /// and be restarted repeatedly.
    pub fn stall_timeout(&self, gap: Option<Span>) -> Option<Span> {
        let own = Span((self.estimate.0 as f64 * STALL_SHARE) as u64 + STALL_MARGIN.0);
        gap.map(|gap| own.max(gap.times(2)))
    }

    /// Returns whether a run is stalled. An endpoint with stalled runs may answer all calls and accept new tasks.
    pub fn is_stalled(&self, gap: Option<Span>, now: Time) -> bool {
        let (Some(timeout), Some(last_rise)) = (self.stall_timeout(gap), self.last_rise) else {
            return false;
        };
        now.since(last_rise) > timeout && self.percent < NEARLY_DONE_PERCENT
    }
}
