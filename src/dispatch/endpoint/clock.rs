//! Bounds on an endpoint's clock, from its answers.

use crate::prelude::*;

/// The share by which an endpoint's clock may be slower than ours.
const MAX_CLOCK_LAG: f64 = 0.02;

/// A reading of an endpoint's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading {
    /// Milliseconds on its clock.
    pub(super) clock: u64,
    /// When the call was sent and its answer received. The clock was read in between.
    pub(super) sent: Time,
    pub(super) received: Time,
}

impl Reading {
    /// Returns the latest time that the clock may show now, in milliseconds.
    pub(super) fn latest(&self, now: Time) -> u64 {
        self.clock + now.since(self.sent).as_millis()
    }

    /// Returns when the clock has passed `at` (in milliseconds) for certain.
    pub(super) fn surely_passed_at(&self, at: u64) -> Time {
        let ahead = at.saturating_sub(self.clock) as f64 * 1_000.0 / (1.0 - MAX_CLOCK_LAG);
        self.received + Span(ahead as u64 + 1_000)
    }
}
