//! Bounds on the difference between the clocks of two instances, from messages in one direction.

use crate::prelude::*;

/// The largest drift between the clocks of two machines, as a fraction: ten times that of quartz oscillators.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// The most by which this instance's clock can be ahead of a member's: the smallest difference between a message's arrival on this
/// clock and its sending on the member's clock, that is the difference of the clocks plus the shortest transit time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClockOffset {
    /// In microseconds.
    difference: i64,
    /// When the message arrived.
    measured_at: Time,
}

impl ClockOffset {
    /// Returns the offset by a message that was sent at `sent` on the member's clock, or by an earlier one if that is smaller despite the
    /// drift since.
    pub(super) fn measure(earlier: Option<Self>, sent: Time, now: Time) -> Self {
        let difference = now.0 as i64 - sent.0 as i64;
        let is_smaller = |offset: &Self| offset.difference_at(now) < difference;
        earlier.filter(is_smaller).unwrap_or(Self {
            difference,
            measured_at: now,
        })
    }

    /// Returns the most by which this clock can be ahead of the member's at a time on this clock, in microseconds.
    fn difference_at(&self, time: Time) -> i64 {
        let distance = time.0.abs_diff(self.measured_at.0);
        self.difference + (distance as f64 * MAX_CLOCK_DRIFT).ceil() as i64
    }

    /// Returns the latest time on this clock that a time on the member's clock can have been, at most `now`.
    pub(super) fn latest_here(&self, time: Time, now: Time) -> Time {
        let here = time.0 as i64 + self.difference_at(now);
        Time(here.max(1) as u64).min(now)
    }

    /// Returns the earliest time on the member's clock that a time on this clock can have been; `None` if that clock may have started
    /// later.
    pub(super) fn earliest_there(&self, time: Time) -> Option<Time> {
        let there = time.0 as i64 - self.difference_at(time);
        (there > 0).then_some(Time(there as u64))
    }
}
