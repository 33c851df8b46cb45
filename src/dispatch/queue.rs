//! The order in which tasks wait for room on a rack.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// Identifies a batch at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(pub u64);

/// The first criterion of the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Overdue for longer than [`OVERDUE_AFTER`].
    Overdue,
    /// It can still start on time.
    OnTime,
    /// Its due time has passed.
    Late,
}

/// Time past its due time after which a task goes first. Without this limit, large jobs and those of low priority
/// could wait for as long as others arrive.
pub const OVERDUE_AFTER: Span = Span::seconds(5);

/// A task's position in the order: by urgency, then by priority, then by the work of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    urgency: Urgency,
    /// The priority of its job's queue; zero goes first.
    priority: u32,
    /// The work of its whole job, in core-milliseconds.
    job_work: u64,
    /// When it must start, or had to start, to be on time.
    due: Time,
    batch: Handle,
    index: u32,
}

/// A group of queued tasks, as owners announce them to entries: by priority, and by whether they're late. Tasks that are overdue for
/// long, which go first, count as the first class.
///
/// The value is small, so that it takes a byte in a heartbeat.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Class(pub u32);

impl Class {
    /// The bit that says whether the tasks are late.
    const LATE: u32 = 1;

    /// Returns the class of tasks.
    pub fn new(priority: u32, late: bool) -> Self {
        Self(priority.min(u32::MAX >> 1) * 2 + u32::from(late))
    }

    /// Returns whether its tasks go behind all that can be on time.
    pub fn is_late(self) -> bool {
        self.0 & Self::LATE != 0
    }

    /// Returns the class of the same tasks while they can be on time.
    pub fn into_on_time(self) -> Self {
        Self(self.0 & !Self::LATE)
    }

    /// Returns whether its tasks go ahead of a new task of the class `other`, or would if they weren't late or of larger jobs.
    ///
    /// A new task goes ahead of those of its priority that are late or of larger jobs. But these jobs were accepted: if they
    /// didn't count, an overloaded rack would accept ever more jobs, and those before them would be given up.
    pub fn goes_ahead_of(self, other: Self) -> bool {
        self.into_on_time() <= other.into_on_time()
    }

    /// Returns whether its tasks go ahead of a task of the class `other` that has become late.
    pub fn goes_ahead_of_late(self, other: Self) -> bool {
        !self.is_late() || self.goes_ahead_of(other)
    }
}

/// A queued task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its batch.
    pub batch: Handle,
    /// Its index in its step.
    pub index: u32,
}

/// The properties of a queued task that decide its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// When it must start to be on time.
    pub due: Time,
    /// The priority of its job's queue; zero goes first.
    pub priority: u32,
    /// The work of its whole job, in core-milliseconds.
    pub job: u64,
    /// Its own work, in core-milliseconds.
    pub work: u64,
}

impl Rank {
    /// Returns the urgency at a time.
    fn urgency(&self, now: Time) -> Urgency {
        match self.due {
            due if due > now => Urgency::OnTime,
            due if due + OVERDUE_AFTER > now => Urgency::Late,
            _ => Urgency::Overdue,
        }
    }

    /// Returns the class of a task with this rank and an urgency.
    fn class(&self, urgency: Urgency) -> Class {
        match urgency {
            Urgency::Overdue => Class::default(),
            _ => Class::new(self.priority, urgency == Urgency::Late),
        }
    }

    /// Returns the position of the task with this rank at a time.
    fn position(&self, waiting: Waiting, now: Time) -> Position {
        let urgency = self.urgency(now);
        let (priority, job_work) = match urgency {
            // Overdue tasks are ordered by their due times alone.
            Urgency::Overdue => (0, 0),
            _ => (self.priority, self.job),
        };
        Position {
            urgency,
            priority,
            job_work,
            due: self.due,
            batch: waiting.batch,
            index: waiting.index,
        }
    }
}

impl Position {
    fn waiting(&self) -> Waiting {
        Waiting {
            batch: self.batch,
            index: self.index,
        }
    }

    /// Returns when its urgency changes, or `None` if it stays.
    fn changes_at(&self) -> Option<Time> {
        match self.urgency {
            Urgency::OnTime => Some(self.due),
            Urgency::Late => Some(self.due + OVERDUE_AFTER),
            Urgency::Overdue => None,
        }
    }
}

/// Queued tasks, in the order in which they start.
///
/// Under overload, an order by due time alone would make every task late, each by a little. So late tasks go
/// behind those that can still be on time. Within each group the priority decides, and then the smallest job goes
/// first, which serves the most callers with the available room. Tasks that are overdue for long go before all others,
/// by their due times.
#[derive(Debug, Default)]
pub struct Queue {
    positions: BTreeMap<Position, Rank>,
    by_task: HashMap<(Handle, u32), Position>,
    /// When the urgency of each task changes that isn't overdue.
    changes: BTreeSet<(Time, Handle, u32)>,
    /// The work of all tasks, in core-milliseconds, by class.
    work: BTreeMap<Class, u64>,
}

impl Queue {
    /// Adds a task, or replaces it if it is queued already.
    pub fn push(&mut self, waiting: Waiting, rank: Rank, now: Time) {
        self.remove(waiting);
        self.insert(rank.position(waiting, now), rank);
    }

    fn insert(&mut self, position: Position, rank: Rank) {
        let Waiting { batch, index } = position.waiting();
        *self.work.entry(rank.class(position.urgency)).or_default() += rank.work;
        self.by_task.insert((batch, index), position);
        self.positions.insert(position, rank);
        if let Some(at) = position.changes_at() {
            self.changes.insert((at, batch, index));
        }
    }

    /// Removes a task. Returns whether it was queued.
    pub fn remove(&mut self, waiting: Waiting) -> bool {
        self.extract(waiting).is_some()
    }

    /// Returns whether a task is queued.
    pub fn contains(&self, waiting: Waiting) -> bool {
        self.by_task.contains_key(&(waiting.batch, waiting.index))
    }

    fn extract(&mut self, waiting: Waiting) -> Option<Rank> {
        let Waiting { batch, index } = waiting;
        let position = self.by_task.remove(&(batch, index))?;
        if let Some(at) = position.changes_at() {
            self.changes.remove(&(at, batch, index));
        }
        let rank = self.positions.remove(&position)?;
        let class = rank.class(position.urgency);
        if let Some(work) = self.work.get_mut(&class) {
            *work -= rank.work;
            if *work == 0 {
                self.work.remove(&class);
            }
        }
        Some(rank)
    }

    /// Moves the tasks whose urgency has changed: late ones back, overdue ones to the front.
    pub fn update(&mut self, now: Time) {
        while let Some((at, batch, index)) = self.changes.first().copied() {
            if at > now {
                return;
            }
            let waiting = Waiting { batch, index };
            if let Some(rank) = self.extract(waiting) {
                self.insert(rank.position(waiting, now), rank);
            }
        }
    }

    /// Returns the tasks in their order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Waiting> + '_ {
        self.positions.keys().map(Position::waiting)
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the work of all queued tasks, in core-milliseconds.
    pub fn work(&self) -> u64 {
        self.work.values().sum()
    }

    /// Returns the work of the queued tasks by class, in core-milliseconds.
    pub fn work_by_class(&self) -> impl Iterator<Item = (Class, u64)> + '_ {
        self.work.iter().map(|(class, work)| (*class, *work))
    }
}
