//! The order in which tasks wait for room on a rack.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use crate::prelude::*;

/// A batch at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(pub u64);

/// Where a task stands: on time before late, then the one that must start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    late: bool,
    /// When it must start to be on time; of late ones, when it would have had to.
    due: Time,
    batch: Handle,
    index: u32,
}

/// A task that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its batch.
    pub batch: Handle,
    /// Its place in its step.
    pub index: u32,
}

/// Tasks that wait, the one that must start first in front.
///
/// When more arrives than can be served, an order by due time alone makes everything late together: each task
/// gets its room just after its time. So a task whose time has passed goes behind all that can still be on
/// time; it is served when these leave room.
#[derive(Debug, Default)]
pub struct Queue {
    places: BTreeMap<Place, u64>,
    by_task: HashMap<(Handle, u32), Place>,
    work: u64,
}

impl Queue {
    /// Adds a task with its work in core-milliseconds; `due` is when it must start to be on time.
    pub fn push(&mut self, waiting: Waiting, due: Time, now: Time, work: u64) {
        let place = Place {
            late: due <= now,
            due,
            batch: waiting.batch,
            index: waiting.index,
        };
        self.remove(waiting);
        self.work += work;
        self.by_task.insert((waiting.batch, waiting.index), place);
        self.places.insert(place, work);
    }

    /// Takes a task out; returns whether it waited.
    pub fn remove(&mut self, waiting: Waiting) -> bool {
        let Some(place) = self.by_task.remove(&(waiting.batch, waiting.index)) else {
            return false;
        };
        let work = self.places.remove(&place).unwrap_or(0);
        self.work -= work;
        true
    }

    /// Moves those whose time has passed behind the others.
    pub fn demote(&mut self, now: Time) {
        while let Some((place, work)) = self.places.first_key_value() {
            if place.late || place.due > now {
                return;
            }
            let (place, work) = (*place, *work);
            self.places.remove(&place);
            let late = Place {
                late: true,
                ..place
            };
            self.places.insert(late, work);
            self.by_task.insert((late.batch, late.index), late);
        }
    }

    /// Returns the tasks in their order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Waiting> + '_ {
        self.places.keys().map(|place| Waiting {
            batch: place.batch,
            index: place.index,
        })
    }

    /// Counts the tasks.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the work that waits, in core-milliseconds.
    pub fn work(&self) -> u64 {
        self.work
    }
}
