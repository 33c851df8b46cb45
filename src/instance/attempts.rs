//! How often a delivery to a peer has failed in a row, and what that means for the next attempt.
//!
//! A peer that has too much to do acknowledges late. Given up after the same short time each time, its connection was opened anew over
//! and over, and what it had read by then was work for nothing: a fleet that came up together spent its time on connections only.

use std::time::Duration;

use rand::Rng;

/// How long the first attempt may take: after that its connection counts as silent, and what was on it is sent again over a new one,
/// while the peer still waits for it.
const DELIVERY: Duration = Duration::from_millis(250);

/// The longest that an attempt may take: a peer that isn't heard at all meanwhile has its session ended.
const LONGEST: Duration = Duration::from_secs(2);

/// The pause after the first failure, which may be the connection's fault only.
const AT_ONCE: Duration = Duration::from_millis(2);

/// The pause after the second failure, doubled with each further one.
const PAUSE: Duration = Duration::from_millis(60);

/// The longest pause: a peer that is heard again has a new session, which begins without any.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// How often times are doubled at the most, so that they are numbers still.
const MOST_DOUBLED: u32 = 8;

/// Failures in a row of deliveries to one peer, in one session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    failures: u32,
    epoch: u64,
}

impl Attempts {
    /// Begins anew where the session is another than that of the last attempt: its beginning shows that the peer is heard.
    pub fn begin(&mut self, epoch: u64) {
        if self.epoch != epoch {
            *self = Self { failures: 0, epoch };
        }
    }

    /// Takes note that a delivery was acknowledged.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Takes note that no connection could be opened, or a delivery was not acknowledged in its time.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns how long the next delivery may take.
    pub fn patience(self) -> Duration {
        (DELIVERY * self.doubled(self.failures)).min(LONGEST)
    }

    /// Returns how long to wait before the next attempt; peers that fail together aren't tried together.
    pub fn pause(self, random: &mut impl Rng) -> Duration {
        match self.failures {
            0 | 1 => AT_ONCE,
            more => {
                let pause = (PAUSE * self.doubled(more - 2)).min(LONGEST_PAUSE);
                pause.mul_f64(random.random_range(0.75..1.25))
            }
        }
    }

    fn doubled(self, times: u32) -> u32 {
        1 << times.min(MOST_DOUBLED)
    }
}
