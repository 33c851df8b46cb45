//! Exponential backoff for calls to an endpoint that doesn't answer.
//!
//! An endpoint that refuses or resets connections does so at once. Without a delay, a stop that must arrive would
//! be resent thousands of times a second.

use super::super::id::keyed_hash;
use crate::prelude::*;

/// The delay after the first failed call.
const FIRST_DELAY: Span = Span::millis(25);

/// The longest delay: a fifth of the longest lease, so that a recovered endpoint is found within it.
const MAX_DELAY: Span = Span::millis(200);

/// How often the delay is doubled at most, so that the shift doesn't overflow.
const MAX_DOUBLINGS: u32 = 8;

/// The range of the jitter, in thousandths of the delay, so that endpoints that fail together aren't called
/// together.
const JITTER_PERMILLE: (u64, u64) = (750, 1_250);

/// The number of consecutive failed calls to an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the count after an answer.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a call without an answer.
    pub(super) fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether at most one call has failed since the last answer. A single failure may be due to a broken
    /// connection.
    pub(super) fn is_first(self) -> bool {
        self.failures <= 1
    }

    /// Returns the delay before the next call.
    pub(super) fn delay(self, endpoint: &Endpoint) -> Span {
        let doubled = FIRST_DELAY.0 << self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let (min, max) = JITTER_PERMILLE;
        let permille = min + keyed_hash(u64::from(self.failures), endpoint.as_str()) % (max - min);
        Span(doubled.min(MAX_DELAY.0) * permille / 1_000)
    }
}
