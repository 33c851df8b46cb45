//! The evidence that a task crashes the endpoints that run it.

use serde::{
    Deserialize,
    Serialize, //
};

/// Counts of endpoints that crashed, or may have crashed, while they ran a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The endpoints that have crashed.
    pub crashes: u32,
    /// The crashes at which this was the only task on the endpoint that was already suspected.
    pub sole_crashes: u32,
    /// The endpoints that stopped answering and haven't been heard since.
    pub silences: u32,
    /// Those of `silences` that refused connections, which suggests that their process has ended.
    pub refusals: u32,
}

/// The number of crashes that prove a task to blame, if it was the only suspected task at one of them.
const MIN_SOLE_CRASHES: u32 = 2;

/// The number of crashes that prove a task to blame in any case.
const MIN_SHARED_CRASHES: u32 = 3;

impl Suspicion {
    /// Returns whether the task is suspected at all.
    pub fn is_present(self) -> bool {
        self.crashes + self.silences > 0
    }

    /// Returns whether the task is to blame for the crashes.
    ///
    /// If it shared two crashes with another suspected task, either may be to blame, so it runs once more. A third
    /// crash is enough, since the platform limits the starts after it.
    pub fn is_conclusive(self) -> bool {
        let min_crashes = if self.sole_crashes > 0 {
            MIN_SOLE_CRASHES
        } else {
            MIN_SHARED_CRASHES
        };
        self.crashes >= min_crashes
    }

    /// Returns whether the suspicion is strong enough that nothing may start beside the task on its endpoint.
    ///
    /// A single endpoint that stopped answering isn't enough: a network partition silences many at once, and giving
    /// each of their tasks an endpoint of its own would waste the remaining capacity.
    pub fn is_strong(self) -> bool {
        self.crashes + self.refusals > 0 || self.silences > 1
    }

    /// Removes one silence: its endpoint was heard again, or was found to have crashed and counts as such.
    pub fn clear_silence(&mut self) {
        self.silences = self.silences.saturating_sub(1);
        self.refusals = self.refusals.min(self.silences);
    }
}
