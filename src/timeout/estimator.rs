//! Timeouts of calls, from the duration of earlier calls.

use crate::prelude::*;

/// The weights of a new sample in the mean and in the deviation, as for TCP's retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// The growth of the timeout with each call that times out. Without backoff, resent calls would keep a saturated
/// link or processor saturated.
const BACKOFF_FACTOR: f64 = 1.5;

/// Estimates the timeout of calls.
#[derive(Debug, Clone, Copy)]
pub struct Estimator {
    min: Span,
    max: Span,
    mean: f64,
    deviation: f64,
    backoff: f64,
}

impl Estimator {
    /// Creates an estimator of timeouts between `min` and `max`, which starts at `min`.
    pub fn new(min: Span, max: Span) -> Self {
        Self {
            min,
            max,
            mean: 0.0,
            deviation: 0.0,
            backoff: 1.0,
        }
    }

    /// Records the duration of an answered call.
    pub fn record(&mut self, took: Span) {
        let took = took.0 as f64;
        self.deviation += DEVIATION_WEIGHT * ((took - self.mean).abs() - self.deviation);
        self.mean += MEAN_WEIGHT * (took - self.mean);
        self.backoff = (self.backoff * 0.9).max(1.0);
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        let most = self.max.0 as f64 / self.min.0.max(1) as f64;
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(most);
    }

    /// Returns the timeout for the next call.
    pub fn timeout(&self) -> Span {
        let base = (self.mean + 4.0 * self.deviation).max(self.min.0 as f64);
        Span((base * self.backoff) as u64).min(self.max)
    }
}
