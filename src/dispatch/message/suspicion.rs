//! What is known of endpoints that crash under a task, wherever the task goes.

use serde::{
    Deserialize,
    Serialize, //
};

/// What is known of endpoints that crashed, or may have, under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// How many have crashed.
    pub crashes: u32,
    /// In how many of these it was the only one there that had come under suspicion before.
    pub sole_crashes: u32,
    /// How many have fallen silent, and haven't been heard since.
    pub silences: u32,
    /// How many of these refused connections, as one does whose process has ended.
    pub refusals: u32,
}

/// Endpoints that crash under a task before it is to blame, where no other task was at both crashes.
const CRASHES: u32 = 2;

/// Endpoints that crash under a task before it is to blame in any case.
const SHARED_CRASHES: u32 = 3;

impl Suspicion {
    /// Tells whether there is any.
    pub fn is_present(self) -> bool {
        self.crashes + self.silences > 0
    }

    /// Tells whether the task is to blame. One that shared both crashes with another may be as innocent as that: it runs once more. A
    /// third crash is enough, since the platform bounds the starts after it.
    pub fn is_conclusive(self) -> bool {
        let least = if self.sole_crashes > 0 {
            CRASHES
        } else {
            SHARED_CRASHES
        };
        self.crashes >= least
    }

    /// Tells whether it is strong enough for the task to run alone. One endpoint that leaves calls without an answer is no reason: a cut
    /// silences many, and what ran there would take an endpoint each, when there are fewer.
    pub fn is_strong(self) -> bool {
        self.crashes + self.refusals > 0 || self.silences > 1
    }

    /// Takes note that an endpoint which had fallen silent is heard of.
    pub fn on_endpoint_heard(&mut self) {
        self.silences = self.silences.saturating_sub(1);
        self.refusals = self.refusals.min(self.silences);
    }
}
