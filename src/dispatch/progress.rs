//! How runs come along, from what their endpoints say of them.

use crate::prelude::*;

/// The share of its estimate for which a run may show no progress at all. Sound runs take up to twice their estimate, so
/// that they show a tenth of their work in this time.
const STILL_SHARE: f64 = 0.25;

/// How long a run may show no progress whatever its estimate: an endpoint tells of its runs every 120 ms.
const STILL: Span = Span::millis(100);

/// A run at this percent may have ended, and its end be on its way.
const NEARLY: u8 = 99;

/// How often a task is taken from an endpoint where it stands still. One that stands still everywhere does so by itself, and would
/// make every endpoint look sick in turn.
pub const MAX_RESTARTS: u32 = 3;

/// How a run comes along.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tracker {
    estimate: Span,
    percent: u8,
    /// When it was seen first, or its percent rose last.
    moved: Option<Time>,
}

impl Tracker {
    /// Begins with a run that was not seen yet.
    pub fn new(estimate: Span) -> Self {
        Self {
            estimate,
            percent: 0,
            moved: None,
        }
    }

    /// Takes note of what its endpoint says of it; returns how long it took since that was less.
    pub fn record(&mut self, percent: u8, now: Time) -> Option<Span> {
        let before = self.moved;
        if before.is_some() && percent <= self.percent {
            return None;
        }
        self.percent = percent;
        self.moved = Some(now);
        before.map(|at| now.since(at))
    }

    /// Returns how long it may show no progress on an endpoint that tells of progress every `gap` at the longest.
    ///
    /// One that was never seen to tell of any says nothing by it, and one that does so rarely says little: all their longer
    /// runs would be taken for ones that stand still, and be started over and over.
    pub fn stall_timeout(&self, gap: Option<Span>) -> Option<Span> {
        let own = Span((self.estimate.0 as f64 * STILL_SHARE) as u64 + STILL.0);
        gap.map(|gap| own.max(gap.times(2)))
    }

    /// Tells whether it stands still. An endpoint whose tasks stand still answers all calls, and takes new tasks: the caller
    /// sees its job end with its time.
    pub fn is_stalled(&self, gap: Option<Span>, now: Time) -> bool {
        let (Some(patience), Some(moved)) = (self.stall_timeout(gap), self.moved) else {
            return false;
        };
        now.since(moved) > patience && self.percent < NEARLY
    }
}
