//! The order in which tasks wait for room on a rack.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use crate::prelude::*;

/// A batch at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(pub u64);

/// Whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// It has waited long past its time.
    Overdue,
    /// It can still be on time.
    OnTime,
    /// Its time has passed.
    Late,
}

/// How long a task waits past its time at the most before it goes in front of all others: a job with much work, or of a queue with
/// a low priority, would wait for as long as others come.
const OVERDUE: Span = Span::seconds(5);

/// Where a task stands: by its turn, then what its operator puts first, then what takes little.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    turn: Turn,
    /// Its queue's priority: zero goes first.
    priority: u32,
    /// The work of its whole job.
    job: u64,
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

/// What decides between tasks that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// When it must start to be on time.
    pub due: Time,
    /// Its queue's: zero goes first.
    pub priority: u32,
    /// The work of its whole job, in core-milliseconds.
    pub job: u64,
    /// Its own work, in core-milliseconds.
    pub work: u64,
}

impl Claim {
    fn turn(&self, now: Time) -> Turn {
        match self.due {
            due if due > now => Turn::OnTime,
            due if due + OVERDUE > now => Turn::Late,
            _ => Turn::Overdue,
        }
    }

    fn place(&self, waiting: Waiting, now: Time) -> Place {
        let turn = self.turn(now);
        let (priority, job) = match turn {
            Turn::Overdue => (0, 0),
            _ => (self.priority, self.job),
        };
        Place {
            turn,
            priority,
            job,
            due: self.due,
            batch: waiting.batch,
            index: waiting.index,
        }
    }
}

impl Place {
    fn waiting(&self) -> Waiting {
        Waiting {
            batch: self.batch,
            index: self.index,
        }
    }

    /// Returns when its turn changes.
    fn until(&self) -> Option<Time> {
        match self.turn {
            Turn::OnTime => Some(self.due),
            Turn::Late => Some(self.due + OVERDUE),
            Turn::Overdue => None,
        }
    }
}

/// Tasks that wait, the one that goes first in front.
///
/// When more arrives than can be served, an order by due time alone makes everything late together: each task
/// gets its room just after its time. So a task whose time has passed goes behind all that can still be on
/// time; it is served when these leave room. Among those that are alike in that, the queue's priority decides, and then the job that
/// takes least: so most callers are served with the room that there is.
#[derive(Debug, Default)]
pub struct Queue {
    places: BTreeMap<Place, Claim>,
    by_task: HashMap<(Handle, u32), Place>,
    /// When the turns of those change that aren't overdue.
    changes: BTreeSet<(Time, Handle, u32)>,
    work: u64,
}

impl Queue {
    /// Adds a task.
    pub fn push(&mut self, waiting: Waiting, claim: Claim, now: Time) {
        self.remove(waiting);
        self.insert(claim.place(waiting, now), claim);
    }

    fn insert(&mut self, place: Place, claim: Claim) {
        let Waiting { batch, index } = place.waiting();
        self.work += claim.work;
        self.by_task.insert((batch, index), place);
        self.places.insert(place, claim);
        if let Some(until) = place.until() {
            self.changes.insert((until, batch, index));
        }
    }

    /// Takes a task out; returns whether it waited.
    pub fn remove(&mut self, waiting: Waiting) -> bool {
        self.take(waiting).is_some()
    }

    fn take(&mut self, waiting: Waiting) -> Option<Claim> {
        let Waiting { batch, index } = waiting;
        let place = self.by_task.remove(&(batch, index))?;
        if let Some(until) = place.until() {
            self.changes.remove(&(until, batch, index));
        }
        let claim = self.places.remove(&place)?;
        self.work -= claim.work;
        Some(claim)
    }

    /// Moves those whose turn has changed: late ones behind the others, overdue ones to the front.
    pub fn turn(&mut self, now: Time) {
        while let Some((until, batch, index)) = self.changes.first().copied() {
            if until > now {
                return;
            }
            let waiting = Waiting { batch, index };
            if let Some(claim) = self.take(waiting) {
                self.insert(claim.place(waiting, now), claim);
            }
        }
    }

    /// Returns the tasks in their order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Waiting> + '_ {
        self.places.keys().map(Place::waiting)
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
