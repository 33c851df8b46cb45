//! How runs come along, from what their endpoints say of them.

use crate::prelude::*;

/// The share of its estimate for which a run may show no progress at all. Sound runs take up to twice their estimate, so
/// that they show a tenth of their work in this time.
const STILL_SHARE: f64 = 0.25;

/// How long a run may show no progress whatever its estimate: an endpoint tells of its runs every 120 ms.
const STILL: Span = Span::millis(100);

/// How often a task is taken from an endpoint where it stands still. One that stands still everywhere does so by itself, and would
/// make every endpoint look sick in turn.
pub const RESTARTS: u32 = 3;

/// How a run comes along.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    estimate: Span,
    percent: u8,
    /// When it was seen first, or its percent rose last.
    moved: Option<Time>,
}

impl Pace {
    /// Begins with a run that was not seen yet.
    pub fn new(estimate: Span) -> Self {
        Self {
            estimate,
            percent: 0,
            moved: None,
        }
    }

    /// Takes note of what its endpoint says of it.
    pub fn seen(&mut self, percent: u8, now: Time) {
        if self.moved.is_none() || percent > self.percent {
            self.percent = percent;
            self.moved = Some(now);
        }
    }

    /// Tells whether it stands still. An endpoint whose tasks stand still answers all calls, and takes new tasks: the caller
    /// sees its job end with its time. Without the word of its endpoint nothing is known.
    pub fn still(&self, now: Time) -> bool {
        let patience = Span((self.estimate.0 as f64 * STILL_SHARE) as u64 + STILL.0);
        let over = self.moved.is_some_and(|at| now.since(at) > patience);
        over && self.percent < 99
    }
}
