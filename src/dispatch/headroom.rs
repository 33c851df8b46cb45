//! Headroom of a rack: room that less urgent tasks leave free for more urgent ones.
//!
//! It addresses load 3, short urgent jobs beside long jobs of low priority. The queue orders waiting tasks by priority, but a run isn't
//! stopped for a more urgent task. A burst of long tasks fills a rack with runs that last several times as long as an urgent job may
//! wait.
//!
//! The room that is kept is proportional to the recent demand of more urgent tasks, and falls with [`DEMAND_PERIOD`] when that demand
//! ends. A task is held back only while it can still start on time with a margin, so that no task starves and few jobs become late.
//! A rack whose tasks all have one priority keeps no room.

use std::collections::BTreeMap;

use super::task::Resources;
use crate::prelude::*;

/// The period over which demand is averaged: a few jobs of one priority arrive at a rack in it (about four a second under load 3), and
/// room isn't kept for long after the last of them.
pub const DEMAND_PERIOD: Span = Span::seconds(1);

/// The room that is kept, as a share of the mean room that more urgent tasks use. In replays of load 3, larger shares made more jobs
/// late in total, and smaller ones made more urgent jobs late (`docs/design/headroom.md`).
const DEMAND_SHARE: f64 = 0.4;

/// The divisor of a rack's room that gives the most room that is kept, so that a rack with a few endpoints doesn't stand idle.
const MAX_SHARE_DIVISOR: u64 = 2;

/// How long before its latest start a task is no longer held back: it still has to find room, for which it competes with tasks that have
/// come since. With a margin of zero, 245 instead of 10 of 2,009 long jobs were late in a replay of load 3.
const START_MARGIN: Span = Span::millis(50);

/// The margin in addition, as a share of the task's estimate: estimates are off by up to 40 %.
const ESTIMATE_MARGIN: f64 = 0.2;

/// The least demand that is remembered, as a mean number of runs.
const MIN_DEMAND: f64 = 0.01;

/// The number of urgent tasks below which a rack's room counts as scarce. Entries that learn too late that a rack has become full still
/// send tasks there.
const SCARCE_TASKS: u64 = 2;

/// Returns whether a task that must start by `due` to be on time can be held back now.
pub fn may_wait(due: Time, estimate: Span, now: Time) -> bool {
    let margin = Span((estimate.0 as f64 * ESTIMATE_MARGIN) as u64);
    now + START_MARGIN + margin < due
}

/// A task that has arrived at a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Its priority; zero is the most urgent.
    pub priority: u32,
    /// The resources that it needs.
    pub need: Resources,
    /// Its estimated duration.
    pub estimate: Span,
}

/// The recent demand of tasks: a mean number of runs at a time, and the sum of their resources.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    runs: f64,
    cpu: f64,
    memory: f64,
    gpu: f64,
}

impl Demand {
    fn add(&mut self, other: &Demand, factor: f64) {
        self.runs += other.runs * factor;
        self.cpu += other.cpu * factor;
        self.memory += other.memory * factor;
        self.gpu += other.gpu * factor;
    }

    /// Returns the mean resources of a task.
    fn mean_need(&self) -> Resources {
        let mean = |sum: f64| (sum / self.runs.max(MIN_DEMAND)) as u64;
        Resources {
            cpu: mean(self.cpu),
            memory: mean(self.memory),
            gpu: mean(self.gpu),
        }
    }
}

/// The room that tasks of a priority leave free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reserve {
    /// The number of more urgent tasks for which room is kept.
    pub tasks: u64,
    /// The resources of one of them.
    pub need: Resources,
}

impl Reserve {
    /// Limits the room to a part of endpoints with these capacities.
    #[must_use]
    pub fn limit(self, capacities: impl Iterator<Item = Resources>) -> Self {
        if self.tasks == 0 {
            return self;
        }
        let fitting: u64 = capacities.map(|room| self.count_fits(&room)).sum();
        Self {
            tasks: self.tasks.min(fitting / MAX_SHARE_DIVISOR),
            ..self
        }
    }

    /// Returns whether a task that needs `need` may start and leave this room free. `rooms` are the free resources of the endpoints that
    /// accept tasks, and whether each could run the task. True if no endpoint has room for the task, as nothing is kept from it then.
    pub fn admits<I>(&self, need: &Resources, rooms: I) -> bool
    where
        I: Iterator<Item = (Resources, bool)> + Clone,
    {
        let open = rooms
            .clone()
            .filter(|(room, runnable)| *runnable && room.fits(need));
        let loss = |(room, _): (Resources, bool)| {
            let mut rest = room;
            rest.subtract(need);
            self.count_fits(&room) - self.count_fits(&rest)
        };
        let Some(loss) = open
            .map(loss)
            .min()
            .filter(|loss| *loss > 0 && self.tasks > 0)
        else {
            return true;
        };
        let fitting: u64 = rooms.map(|(room, _)| self.count_fits(&room)).sum();
        fitting >= self.tasks + loss
    }

    /// Counts the urgent tasks that fit into an endpoint's free resources, at most 64.
    fn count_fits(&self, room: &Resources) -> u64 {
        room.count_fits(&self.need, 64)
    }

    /// Returns whether so few urgent tasks fit into `rooms` that entries should know at once. False if no room is kept.
    pub fn is_scarce(&self, rooms: impl Iterator<Item = Resources>) -> bool {
        self.tasks > 0 && rooms.map(|room| self.count_fits(&room)).sum::<u64>() < SCARCE_TASKS
    }
}

/// The recent demand at a rack, by priority.
#[derive(Debug, Default)]
pub struct Headroom {
    demands: BTreeMap<u32, Demand>,
    /// When the demands were last updated.
    updated_at: Time,
}

impl Headroom {
    /// Records that a task has arrived.
    pub fn record(&mut self, task: &Task, now: Time) {
        let left = self.decay(now);
        self.updated_at = now;
        self.demands.retain(|_, demand| {
            let before = std::mem::take(demand);
            demand.add(&before, left);
            demand.runs >= MIN_DEMAND
        });
        let runs = task.estimate.0 as f64 / DEMAND_PERIOD.0 as f64;
        let one = Demand {
            runs: 1.0,
            cpu: task.need.cpu as f64,
            memory: task.need.memory as f64,
            gpu: task.need.gpu as f64,
        };
        let demand = self.demands.entry(task.priority).or_default();
        demand.add(&one, runs);
    }

    /// Returns the share of the demands that is left at a time.
    fn decay(&self, now: Time) -> f64 {
        (-(now.since(self.updated_at).0 as f64) / DEMAND_PERIOD.0 as f64).exp()
    }

    /// Returns the room that tasks of a priority must leave free, unlimited: none where no more urgent tasks have arrived lately, or where
    /// they are few.
    pub fn reserve(&self, priority: u32, now: Time) -> Reserve {
        let mut sum = Demand::default();
        let mut urgent = self.demands.range(..priority).peekable();
        if urgent.peek().is_none() {
            return Reserve::default();
        }
        let left = self.decay(now);
        urgent.for_each(|(_, demand)| sum.add(demand, left));
        Reserve {
            tasks: (sum.runs * DEMAND_SHARE).round() as u64,
            need: sum.mean_need(),
        }
    }

    /// Returns the room that the least urgent tasks must leave free. See [`Headroom::reserve`].
    pub fn largest_reserve(&self, now: Time) -> Reserve {
        let least_urgent = self.demands.last_key_value();
        least_urgent.map_or_else(Reserve::default, |(priority, _)| {
            self.reserve(*priority, now)
        })
    }
}
