//! An endpoint's clock, as far as its answers tell of it.

use crate::prelude::*;

/// An endpoint's clock may be this much slower than ours, as a share.
const SLOW: f64 = 0.02;

/// A reading of an endpoint's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading {
    /// Milliseconds on its clock.
    pub(super) clock: u64,
    /// When the call left and its answer came: the reading was made between.
    pub(super) sent: Time,
    pub(super) received: Time,
}

impl Reading {
    /// Returns the most that the clock may show now.
    pub(super) fn most(&self, now: Time) -> u64 {
        self.clock + now.since(self.sent).as_millis()
    }

    /// Returns when the clock will surely have passed `at`.
    pub(super) fn passed(&self, at: u64) -> Time {
        let ahead = at.saturating_sub(self.clock) as f64 * 1_000.0 / (1.0 - SLOW);
        self.received + Span(ahead as u64 + 1_000)
    }
}
