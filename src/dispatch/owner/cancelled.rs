//! Batches that their entries cancelled, and that may still arrive with a rack.

use std::collections::{
    HashSet,
    VecDeque, //
};

use crate::prelude::*;

/// The longest time that a handover may be in transit, including retries over new connections.
const MAX_HANDOVER: Span = Span::seconds(3);

/// A batch, by its entry and its serial number.
pub(super) type Key = (Instance, u64);

/// Recently cancelled batches, oldest first.
#[derive(Debug, Default)]
pub(super) struct CancelledBatches {
    order: VecDeque<(Time, Key)>,
    keys: HashSet<Key>,
}

impl CancelledBatches {
    /// Adds a batch, and removes those that are too old to arrive.
    pub(super) fn add(&mut self, key: Key, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= MAX_HANDOVER)
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.keys.remove(&old);
            }
        }
        if self.keys.insert(key.clone()) {
            self.order.push_back((now, key));
        }
    }

    /// Returns whether a batch was cancelled recently.
    pub(super) fn contains(&self, key: &Key) -> bool {
        self.keys.contains(key)
    }
}
