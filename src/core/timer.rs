//! Timers of the core, in the order in which they are due.

use std::collections::BTreeMap;

use super::queue::Item;
use crate::prelude::*;

/// What is to happen at a point in time. A timer whose job has ended by then does nothing.
#[derive(Debug, Clone)]
pub(super) enum Timer {
    /// A job has to be answered.
    Deadline(u64),
    /// An attempt without an answer is looked up.
    Look(Attempt),
    /// A task is queued again.
    Retry(Item),
    /// A claim whose answer was lost is read back.
    Settle(u64),
    /// An attempt of a job that has ended is given up.
    Orphan(Attempt),
}

/// The timers that are set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    serial: u64,
    timers: BTreeMap<(Time, u64), Timer>,
}

/// Names a timer, so that it can be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Handle(Time, u64);

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Time, timer: Timer) -> Handle {
        self.serial += 1;
        self.timers.insert((at, self.serial), timer);
        Handle(at, self.serial)
    }

    /// Takes a timer back.
    pub(super) fn cancel(&mut self, handle: Handle) {
        self.timers.remove(&(handle.0, handle.1));
    }

    /// Returns when the first one is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the first one that is due.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
