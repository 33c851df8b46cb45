//! Racks as an entry sees them, and which one a task goes to.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use super::super::{
    id::{
        keyed_hash,
        JobId,
        RackId, //
    },
    message::Contact,
    task::{
        Resources,
        Step, //
    },
};
use crate::prelude::*;

/// A rack as the entry sees it.
#[derive(Debug, Clone, Default)]
pub(super) struct Rack {
    pub(super) service: String,
    pub(super) centre: String,
    pub(super) name: String,
    pub(super) owner: Option<Contact>,
    /// What is free, by endpoint, less what was sent since it was told.
    pub(super) free: Vec<Resources>,
    pub(super) movable: u32,
    pub(super) backlog: u64,
    /// Cores of all its endpoints that stay, in thousandths.
    pub(super) cpu: u64,
    pub(super) labels: Vec<String>,
    /// What its endpoints have that stay, each size once: a task that is larger than any of them can never start, however much
    /// the rack has in all.
    pub(super) sizes: Vec<Resources>,
    /// Whether its data centre is evacuated.
    pub(super) evacuated: bool,
}

/// What is to be placed, and from where.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand<'a> {
    pub(super) job: JobId,
    pub(super) step: &'a Step,
    pub(super) service: &'a str,
    /// A rack that has asked for tasks.
    pub(super) hint: Option<RackId>,
    /// How many tasks of the step are still to be placed, this one among them.
    pub(super) rest: u64,
    /// The instance that places them.
    pub(super) own: &'a Instance,
    /// Its data centre.
    pub(super) centre: &'a str,
}

/// Chooses the rack for one task of a step, and takes its room there; `chosen` are those that have others of the step.
///
/// A task whose data lies on a rack goes there: anywhere else it takes a multiple of its time, and its rack's queue
/// would have to be longer than that to be worse. Any other goes where there is room, in its own data centre
/// first; where there is room nowhere, to the rack with the least work ahead. Owners with idle endpoints ask for
/// tasks of others, which evens out what was chosen on old figures.
///
/// Of the racks with room, those of the instance itself go first, and one that has tasks of the step already: a job is as late as
/// the last of its tasks, and each further owner is one more message that may be held up. Spread evenly, a job of eight tasks went to
/// as many owners. Of the other racks with room for what is left, each job draws its own: sent to the one with the most, the jobs
/// that came before it told of them met there.
pub(super) fn choose<T>(
    racks: &mut BTreeMap<RackId, Rack>,
    demand: &Demand<'_>,
    chosen: &BTreeMap<RackId, T>,
) -> Option<RackId> {
    let Demand {
        step,
        service,
        hint,
        centre,
        ..
    } = *demand;
    // A rack of which no endpoint takes tasks can't be reached, or is being taken over.
    let usable = |rack: &Rack| rack.owner.is_some() && !rack.free.is_empty();
    let fits = |rack: &Rack| usable(rack) && rack.service == service && rack.carries(step);
    let tied = |rack: &Rack| step.affinity.as_ref() == Some(&rack.name);
    let hinted = hint.filter(|id| racks.get(id).is_some_and(&fits));
    let home = racks.iter().find(|(_, rack)| tied(rack) && fits(rack));
    let chosen = hinted.or(home.map(|(id, _)| *id)).or_else(|| {
        let fit = racks.iter().filter(|(_, rack)| fits(rack));
        let key = |id: &RackId, rack: &Rack| {
            let room = rack.room(&step.need);
            let far = rack.centre != centre;
            let ahead = rack.backlog * 1_000 / rack.cpu.max(1);
            (
                room == 0,
                if room == 0 { ahead } else { 0 },
                far,
                !rack.is_of(demand.own),
                !chosen.contains_key(id),
                Reverse(room.min(demand.rest)),
                keyed_hash(id.0 ^ demand.job.0, ""),
            )
        };
        let best = fit.min_by_key(|(id, rack)| key(id, rack));
        best.map(|(id, _)| *id)
    })?;
    if let Some(rack) = racks.get_mut(&chosen) {
        rack.take(step);
    }
    Some(chosen)
}

impl Rack {
    /// Tells whether some endpoint of it can have what a step needs.
    pub(super) fn carries(&self, step: &Step) -> bool {
        let label = step.label.as_ref();
        let labelled = label.is_none_or(|label| self.labels.contains(label));
        !self.evacuated && labelled && self.sizes.iter().any(|size| size.fits(&step.need))
    }

    fn is_of(&self, instance: &Instance) -> bool {
        self.owner.as_ref().is_some_and(|o| o.name == *instance)
    }

    /// Counts how often a need fits into what is free.
    pub(super) fn room(&self, need: &Resources) -> u64 {
        self.free.iter().map(|free| free.times(need, 64)).sum()
    }

    pub(super) fn take(&mut self, step: &Step) {
        let free = self.free.iter_mut().find(|free| free.fits(&step.need));
        match free {
            Some(free) => free.subtract(&step.need),
            None => self.backlog += step.need.cpu * step.estimate.as_millis() / 1_000,
        }
    }

    /// Estimates how long a task of a step would wait.
    pub(super) fn wait(&self, step: &Step) -> Span {
        if self.room(&step.need) > 0 {
            return Span(0);
        }
        Span::millis(self.backlog * 1_000 / self.cpu.max(1))
    }
}
