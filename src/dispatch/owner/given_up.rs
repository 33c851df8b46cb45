//! Batches that their entries gave up, and which may still come with a rack.

use std::collections::{
    HashSet,
    VecDeque, //
};

use crate::prelude::*;

/// How long a handover may be on its way, behind a connection that broke: some attempts to send it anew.
const HANDOVER: Span = Span::seconds(3);

/// A batch by its entry and its number.
pub(super) type Key = (Instance, u64);

/// Batches that were given up lately, the first one in front.
#[derive(Debug, Default)]
pub(super) struct GivenUp {
    order: VecDeque<(Time, Key)>,
    known: HashSet<Key>,
}

impl GivenUp {
    /// Takes note of a batch, and forgets those of long ago.
    pub(super) fn add(&mut self, key: Key, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= HANDOVER)
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.known.remove(&old);
            }
        }
        if self.known.insert(key.clone()) {
            self.order.push_back((now, key));
        }
    }

    /// Tells whether a batch was given up.
    pub(super) fn contains(&self, key: &Key) -> bool {
        self.known.contains(key)
    }
}
