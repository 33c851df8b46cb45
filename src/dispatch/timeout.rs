//! Timeouts of calls to endpoints, from the duration of earlier calls.

use crate::{
    prelude::*,
    timeout, //
};

/// The shortest timeout: many round trips within a data centre, so that slightly late answers don't count as failures.
const MIN_TIMEOUT: Span = Span::millis(60);

/// The longest timeout: less than half of a lease, so that a poll can be repeated before the lease expires.
const MAX_TIMEOUT: Span = Span::millis(450);

/// Estimates the timeout of calls to endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Estimator(timeout::Estimator);

impl Default for Estimator {
    fn default() -> Self {
        Self(timeout::Estimator::new(MIN_TIMEOUT, MAX_TIMEOUT))
    }
}

impl Estimator {
    /// Records the duration of an answered call.
    pub fn record(&mut self, took: Span) {
        self.0.record(took);
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        self.0.record_timeout();
    }

    /// Returns the timeout for the next call.
    pub fn timeout(&self) -> Span {
        self.0.timeout()
    }
}
