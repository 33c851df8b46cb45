//! How long an endpoint is left alone that doesn't answer.
//!
//! One that refuses connections, or resets them, does so at once. Called again at once, a stop that has to arrive was sent thousands
//! of times a second, each over a new connection.

use super::super::id::keyed_hash;
use crate::prelude::*;

/// The pause after the first call that wasn't answered.
const FIRST: Span = Span::millis(25);

/// The longest pause: an endpoint that is back is found within this, a fifth of the longest lease.
const LONGEST: Span = Span::millis(200);

/// How often the pause is doubled at the most, so that it is a number still.
const MOST_DOUBLED: u32 = 8;

/// The least and the most that a pause is drawn at, in parts of a thousand: endpoints that fail together aren't called together.
const SPREAD: (u64, u64) = (750, 1_250);

/// Counts calls to an endpoint that weren't answered, one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Takes note of an answer.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
    }

    /// Takes note of a call without one.
    pub(super) fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Tells whether no call, or only one, has failed since the last answer: that may be its connection's fault.
    pub(super) fn is_first(self) -> bool {
        self.failures <= 1
    }

    /// Returns how long to wait before the next call.
    pub(super) fn pause(self, endpoint: &Endpoint) -> Span {
        let doubled = FIRST.0 << self.failures.saturating_sub(1).min(MOST_DOUBLED);
        let (least, most) = SPREAD;
        let drawn =
            least + keyed_hash(u64::from(self.failures), endpoint.as_str()) % (most - least);
        Span(doubled.min(LONGEST.0) * drawn / 1_000)
    }
}
