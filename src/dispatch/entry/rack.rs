//! The entry's view of racks, and the choice of a rack for a task.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use super::super::{
    admission::Room,
    id::{
        keyed_hash,
        JobId,
        RackId, //
    },
    message::Contact,
    queue::Class,
    speed,
    task::{
        Resources,
        Step, //
    }, //
};
use crate::prelude::*;

/// The entry's view of a rack.
#[derive(Debug, Clone, Default)]
pub(super) struct Rack {
    pub(super) service: String,
    pub(super) centre: String,
    pub(super) name: String,
    pub(super) owner: Option<Contact>,
    /// Free resources by endpoint, as last announced by the owner, less what this entry has placed since.
    pub(super) free: Vec<Resources>,
    /// Waiting tasks that could run on another rack as well.
    pub(super) movable: u32,
    /// The work that waits, in core-milliseconds, as last announced.
    pub(super) backlog: u64,
    /// The speed classes of the endpoints in `free`, in that order; empty where all are alike or nothing is known.
    pub(super) speeds: Vec<u8>,
    /// The number of announcements since the last one with speed classes.
    pub(super) without_classes: u32,
    /// The work that waits by class, in core-milliseconds, as last announced; empty without a backlog, or if the owner is of a
    /// build that doesn't announce it.
    pub(super) waiting: Vec<(Class, u64)>,
    /// The work that this entry has placed without free resources, and that the last announcement may not include.
    pub(super) placed: Vec<Placed>,
    /// The cores of all endpoints that aren't draining, in thousandths.
    pub(super) cpu: u64,
    /// The labels of all endpoints that aren't draining.
    pub(super) labels: Vec<String>,
    /// The distinct capacities of endpoints that aren't draining: a task that exceeds each of them can never start,
    /// whatever the rack's total.
    pub(super) endpoint_sizes: Vec<Resources>,
    /// Whether its data centre is evacuated.
    pub(super) evacuated: bool,
}

/// Work that was placed on a rack without free resources.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placed {
    class: Class,
    /// In core-milliseconds.
    work: u64,
    at: Time,
}

/// Time within which an announcement may have been sent before its sender received a batch: the transit of both between data
/// centres.
const ANNOUNCEMENT_LAG: Span = Span::millis(10);

/// A task to be placed, and the instance that places it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target<'a> {
    pub(super) job: JobId,
    pub(super) step: &'a Step,
    pub(super) service: &'a str,
    /// The class of the job's tasks.
    pub(super) class: Class,
    pub(super) now: Time,
    /// A rack that has asked for tasks.
    pub(super) preferred_rack: Option<RackId>,
    /// The number of tasks of the step that are still to be placed, this one included.
    pub(super) remaining: u64,
    /// The slowest speed classes on which a task of the step is on time.
    pub(super) limits: ClassLimits,
    /// The instance that places the task.
    pub(super) instance: &'a Instance,
    /// The data centre of that instance.
    pub(super) centre: &'a str,
}

/// Chooses a rack for one task of a step and reserves the resources there. Returns whether there are any, so that the task starts
/// at once. `chosen` holds the racks that were
/// chosen for other tasks of the step.
///
/// The order of preference:
/// - the rack that has asked for tasks;
/// - the rack that holds the task's data, since the task takes a multiple of its time elsewhere;
/// - racks with free resources: those where the task isn't sure to be late by the announced speed of the endpoints first, then the
///   same data centre, then racks with free endpoints that are fast enough even if the estimate is too low, then racks of this
///   instance, then racks in `chosen`, then those with room for more of the remaining tasks. Another data centre costs a few
///   milliseconds and some bytes, which is less than a late job, but more than the chance that an estimate is too low. Few owners
///   per job mean few messages that can delay its last task. A hash of job and rack breaks ties, so that concurrent jobs don't
///   all pick the same rack before its owner announces them;
/// - the rack with the shortest estimated wait. Owners with idle endpoints later request tasks from others, which
///   corrects choices that were made on stale figures.
pub(super) fn choose_rack<T>(
    racks: &mut BTreeMap<RackId, Rack>,
    demand: &Target<'_>,
    chosen: &BTreeMap<RackId, T>,
) -> Option<(RackId, bool)> {
    let Target {
        step,
        service,
        preferred_rack,
        centre,
        ..
    } = *demand;
    let limits = demand.limits;
    let fits = |rack: &Rack| rack.is_usable() && rack.service == service && rack.can_run(step);
    let holds_data = |rack: &Rack| step.affinity.as_ref() == Some(&rack.name);
    let preferred = preferred_rack.filter(|id| racks.get(id).is_some_and(&fits));
    let with_data = racks
        .iter()
        .find(|(_, rack)| holds_data(rack) && fits(rack));
    let best = preferred.or(with_data.map(|(id, _)| *id)).or_else(|| {
        let fit = racks.iter().filter(|(_, rack)| fits(rack));
        let key = |id: &RackId, rack: &Rack| {
            let fitting = rack.count_fitting(&step.need);
            let remote = rack.centre != centre;
            let fastest = rack.fastest_fitting(&step.need);
            (
                fitting == 0,
                if fitting == 0 {
                    rack.wait_ms(demand.class)
                } else {
                    0
                },
                fitting > 0 && fastest > limits.late,
                remote,
                fitting > 0 && fastest > limits.safe,
                !rack.is_owned_by(demand.instance),
                !chosen.contains_key(id),
                Reverse(fitting.min(demand.remaining)),
                keyed_hash(id.0 ^ demand.job.0, ""),
            )
        };
        let best = fit.min_by_key(|(id, rack)| key(id, rack));
        best.map(|(id, _)| *id)
    })?;
    let rack = racks.get_mut(&best)?;
    let is_free = rack.reserve(step, limits.safe, demand.class, demand.now);
    Some((best, is_free))
}

/// The slowest speed classes on which a task is on time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassLimits {
    /// By its estimate.
    late: u8,
    /// Even if its estimate is too low.
    safe: u8,
}

impl ClassLimits {
    /// Returns the limits for a task of a step that is late after `time_left`.
    pub(super) fn new(step: &Step, time_left: Span) -> Self {
        let demand = speed::Demand {
            estimate: step.estimate,
            time_left,
        };
        let (late, safe) = demand.limits();
        Self {
            late: speed::slowest_class(late),
            safe: speed::slowest_class(safe),
        }
    }
}

impl Rack {
    /// Returns whether the rack has the label and an endpoint large enough for a task of a step, busy or not.
    pub(super) fn can_run(&self, step: &Step) -> bool {
        let label = step.label.as_ref();
        let labelled = label.is_none_or(|label| self.labels.contains(label));
        !self.evacuated && labelled && self.endpoint_sizes.iter().any(|size| size.fits(&step.need))
    }

    /// Returns whether tasks can be placed there: a rack without an endpoint that accepts tasks is unreachable or changing its
    /// owner.
    pub(super) fn is_usable(&self) -> bool {
        self.owner.is_some() && !self.free.is_empty()
    }

    /// Returns whether an instance owns the rack.
    fn is_owned_by(&self, instance: &Instance) -> bool {
        self.owner.as_ref().is_some_and(|o| o.name == *instance)
    }

    /// Counts the tasks with this need that fit into the free resources, at most 64 for each endpoint.
    pub(super) fn count_fitting(&self, need: &Resources) -> u64 {
        self.free.iter().map(|free| free.count_fits(need, 64)).sum()
    }

    /// Counts the tasks of a step that fit into the free resources.
    pub(super) fn count_fitting_tasks(&self, step: &Step) -> u64 {
        if self.owner.is_none() {
            return 0;
        }
        let most = step.per_endpoint.map_or(64, u64::from).min(64);
        // Most endpoints are full when it matters how long this takes.
        let fits = |free: &Resources| match free.fits(&step.need) {
            true => free.count_fits(&step.need, most),
            false => 0,
        };
        self.free.iter().map(fits).sum()
    }

    /// Returns the work that waits and goes ahead, in core-milliseconds.
    fn work_ahead(&self, goes_ahead: impl Fn(Class) -> bool) -> u64 {
        let ahead = |(class, work): (Class, u64)| match goes_ahead(class) {
            true => work,
            false => 0,
        };
        let announced = match self.waiting.is_empty() {
            true => self.backlog,
            false => self.waiting.iter().copied().map(ahead).sum(),
        };
        let placed = self.placed.iter().map(|placed| (placed.class, placed.work));
        announced + placed.map(ahead).sum::<u64>()
    }

    /// Returns the time, in milliseconds, that the rack needs for the work ahead of a new task of a class.
    fn wait_ms(&self, class: Class) -> u64 {
        self.work_ahead(|other| other.goes_ahead_of(class)) * 1_000 / self.cpu.max(1)
    }

    /// Returns what the rack offers to tasks of a step for which no resources are free.
    pub(super) fn room(&self, step: &Step, class: Class) -> Room {
        // On average, half of a task's need is left over on each endpoint, but not more than such tasks leave over themselves.
        let left_over = self.free.len() as u64 * step.need.cpu / 2;
        let packed = |size: &Resources| {
            let cpu = size.count_fits(&step.need, 64) * step.need.cpu;
            self.cpu * cpu / size.cpu.max(1)
        };
        let packed = self.endpoint_sizes.iter().map(packed).max().unwrap_or(0);
        Room {
            ahead: self.work_ahead(|other| other.goes_ahead_of(class)),
            ahead_late: self.work_ahead(|other| other.goes_ahead_of_late(class)),
            rate: self.cpu.saturating_sub(left_over).max(packed),
        }
    }

    /// Returns the free resources of each endpoint, with its speed class.
    fn free_by_class(&self) -> impl Iterator<Item = (u8, &Resources)> {
        let count = self.free.len();
        let class = move |index| speed::announced_class(&self.speeds, count, index);
        let free = self.free.iter().enumerate();
        free.map(move |(index, free)| (class(index), free))
    }

    /// Returns the speed class of the fastest endpoint with free resources for a need.
    fn fastest_fitting(&self, need: &Resources) -> u8 {
        if self.speeds.is_empty() {
            return speed::UNIT_CLASS;
        }
        let fitting = self.free_by_class().filter(|(_, free)| free.fits(need));
        let classes = fitting.map(|(class, _)| class);
        classes.min().unwrap_or(speed::UNIT_CLASS)
    }

    /// Forgets the placed work that the announcement received now includes.
    pub(super) fn forget_placed(&mut self, now: Time) {
        self.placed
            .retain(|placed| now.since(placed.at) < ANNOUNCEMENT_LAG);
    }

    /// Subtracts a task of a step from the free resources, or adds it to the backlog where none fit. As its owner is expected to,
    /// takes the slowest endpoint within a speed class, or else the fastest. Returns whether the resources were free.
    fn reserve(&mut self, step: &Step, slowest: u8, class: Class, now: Time) -> bool {
        let rank = |(_, (class, _)): &(usize, (u8, &Resources))| match *class <= slowest {
            true => (false, u8::MAX - class),
            false => (true, *class),
        };
        let index = match self.speeds.is_empty() {
            true => self.free.iter().position(|free| free.fits(&step.need)),
            false => {
                let fitting = self.free_by_class().enumerate();
                let fitting = fitting.filter(|(_, (_, free))| free.fits(&step.need));
                fitting.min_by_key(rank).map(|(index, _)| index)
            }
        };
        match index.and_then(|index| self.free.get_mut(index)) {
            Some(free) => {
                free.subtract(&step.need);
                true
            }
            None => {
                self.add_placed(step.work(), class, now);
                false
            }
        }
    }

    fn add_placed(&mut self, work: u64, class: Class, now: Time) {
        let recent =
            |placed: &&mut Placed| placed.class == class && now.since(placed.at) < ANNOUNCEMENT_LAG;
        match self.placed.iter_mut().find(recent) {
            Some(placed) => placed.work += work,
            None => self.placed.push(Placed {
                class,
                work,
                at: now,
            }),
        }
    }
}
