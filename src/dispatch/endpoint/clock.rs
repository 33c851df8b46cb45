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
    pub(super) fn latest_clock(&self, now: Time) -> u64 {
        self.clock + now.since(self.sent).as_millis()
    }

    /// Returns the latest deadline on the clock that has passed for certain at a time, in milliseconds; `None` if that is before the
    /// reading.
    pub(super) fn deadline_before(&self, time: Time) -> Option<u64> {
        let remaining = time.since(self.received).0 as f64 * (1.0 - MAX_CLOCK_LAG);
        let millis = (remaining as u64 / 1_000).checked_sub(1)?;
        Some(self.clock + millis)
    }

    /// Returns whether the clock went back: it showed less in an answer to a call that was sent at a time than it must have shown then,
    /// even if it is slow. Any other answer leaves [`Reading::expiry`] right, whichever life it comes from.
    pub(super) fn is_ahead_of(&self, clock: u64, sent: Time) -> bool {
        let earliest = match self.deadline_before(sent) {
            Some(passed) => passed,
            // The clock isn't fast, so that it showed this at least before the reading was received.
            None => self
                .clock
                .saturating_sub(self.received.since(sent).as_millis() + 1),
        };
        clock < earliest
    }

    /// Returns when a deadline on the clock, in milliseconds, has passed for certain, even if the clock is slow.
    pub(super) fn expiry(&self, deadline: u64) -> Time {
        let remaining =
            deadline.saturating_sub(self.clock) as f64 * 1_000.0 / (1.0 - MAX_CLOCK_LAG);
        self.received + Span(remaining as u64 + 1_000)
    }
}
