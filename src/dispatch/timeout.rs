//! How long to wait for an endpoint's answer, from how long answers took.

use crate::prelude::*;

/// The least patience: many round trips within a data centre, so that one that is a little late is no failure.
const LEAST: Span = Span::millis(60);

/// The most patience: an owner that waits longer than half of a lease can't look again before it has passed.
const MOST: Span = Span::millis(450);

/// The weights of a new sample in the mean and in the deviation, as for TCP's retransmission timer (RFC 6298).
const MEAN: f64 = 0.125;
const DEVIATION: f64 = 0.25;

/// How much the patience grows with an answer that doesn't come. On a link that is full, or a processor that has no
/// time left, orders that are sent again too soon fill it up for good: each answer comes, but too late.
const BACKOFF: f64 = 1.5;

/// Estimates how long an answer may take.
#[derive(Debug, Clone, Copy)]
pub struct Estimator {
    mean: f64,
    deviation: f64,
    backoff: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            mean: 0.0,
            deviation: 0.0,
            backoff: 1.0,
        }
    }
}

impl Estimator {
    /// Takes note of how long an answer took.
    pub fn record(&mut self, took: Span) {
        let took = took.0 as f64;
        self.deviation += DEVIATION * ((took - self.mean).abs() - self.deviation);
        self.mean += MEAN * (took - self.mean);
        self.backoff = (self.backoff * 0.9).max(1.0);
    }

    /// Takes note that an answer didn't come in time.
    pub fn record_timeout(&mut self) {
        let most = MOST.0 as f64 / LEAST.0 as f64;
        self.backoff = (self.backoff * BACKOFF).min(most);
    }

    /// Returns how long to wait for an answer.
    pub fn timeout(&self) -> Span {
        let base = (self.mean + 4.0 * self.deviation).max(LEAST.0 as f64);
        Span((base * self.backoff) as u64).min(MOST)
    }
}
