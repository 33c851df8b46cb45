//! The monotonic clock that all threads of an instance share, and the wall clock.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use crate::prelude::*;

/// A monotonic clock that counts from the start of the instance.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at one microsecond, so that no point in time equals the zero of [`Time::default`].
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(self.0.elapsed().as_micros() as u64 + 1)
    }

    /// Converts a point in time to the runtime's type.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + Duration::from_micros(time.0))
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch. It may jump, so timeouts use [`Clock`].
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_millis() as u64)
}
