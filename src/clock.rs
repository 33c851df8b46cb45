//! The clock that all threads of an instance share.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use crate::prelude::*;

/// A monotonic clock that starts with the instance.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock, at one microsecond, so that zero stands for "never".
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time(self.0.elapsed().as_micros() as u64 + 1)
    }

    /// Returns a point in time as the runtime's type.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + Duration::from_micros(time.0))
    }
}

/// Returns the wall clock in milliseconds since 1970, for people to read; nothing is decided by it.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
