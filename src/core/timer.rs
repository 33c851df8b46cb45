//! The timers of the core, ordered by when they are due.

use std::collections::BTreeMap;

use super::{
    queue::Item,
    store, //
};
use crate::prelude::*;

/// What happens when a timer is due. A timer whose job or attempt has ended does nothing.
#[derive(Debug, Clone)]
pub(super) enum Timer {
    /// A job has reached its deadline.
    Deadline(u64),
    /// An endpoint is asked for the status of an attempt without a reply.
    StatusCheck(Attempt),
    /// A task is queued for another attempt.
    Retry(Item),
    /// What a job waits for is read from the platform, again if a read has failed.
    Read(u64),
    /// The record of an outcome is written again.
    Record(store::Record),
    /// A stopped attempt is abandoned if it hasn't ended.
    DropOrphan(Attempt),
}

/// The timers that are set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    serial: u64,
    timers: BTreeMap<(Time, u64), Timer>,
}

/// Identifies a timer, so that it can be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Handle(Time, u64);

impl Timers {
    /// Sets a timer and returns its handle.
    pub(super) fn set(&mut self, at: Time, timer: Timer) -> Handle {
        self.serial += 1;
        self.timers.insert((at, self.serial), timer);
        Handle(at, self.serial)
    }

    /// Cancels a timer; does nothing if it has run.
    pub(super) fn cancel(&mut self, handle: Handle) {
        self.timers.remove(&(handle.0, handle.1));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next timer, if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
