//! Racks as an entry sees them, and which one a task goes to.

use std::collections::BTreeMap;

use super::super::{
    id::RackId,
    message::Contact,
    task::{
        Room,
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
    pub(super) free: Vec<Room>,
    pub(super) movable: u32,
    pub(super) backlog: u64,
    /// Cores of all its endpoints that stay, in thousandths.
    pub(super) cpu: u64,
    pub(super) labels: Vec<String>,
}

/// Chooses the rack for one task of a step, and takes its room there.
///
/// A task whose data lies on a rack goes there: anywhere else it takes a multiple of its time, and its rack's queue
/// would have to be longer than that to be worse. Any other goes where there is room, in its own data centre
/// first; where there is room nowhere, to the rack with the least work ahead. Owners with idle endpoints ask for
/// tasks of others, which evens out what was chosen on old figures.
pub(super) fn choose(
    racks: &mut BTreeMap<RackId, Rack>,
    step: &Step,
    service: &str,
    hint: Option<RackId>,
    centre: &str,
) -> Option<RackId> {
    // A rack of which no endpoint takes tasks can't be reached, or is being taken over.
    let usable = |rack: &Rack| rack.owner.is_some() && !rack.free.is_empty();
    let fits = |rack: &Rack| usable(rack) && rack.service == service && rack.carries(step);
    let tied = |rack: &Rack| step.affinity.as_ref() == Some(&rack.name);
    let hinted = hint.filter(|id| racks.get(id).is_some_and(&fits));
    let home = racks.iter().find(|(_, rack)| fits(rack) && tied(rack));
    let chosen = hinted.or(home.map(|(id, _)| *id)).or_else(|| {
        let fit = racks.iter().filter(|(_, rack)| fits(rack));
        let key = |rack: &Rack| {
            let room = rack.room(&step.need);
            let far = rack.centre != centre;
            let ahead = rack.backlog * 1_000 / rack.cpu.max(1);
            (
                room == 0,
                if room == 0 { ahead } else { 0 },
                far,
                u64::MAX - room,
            )
        };
        let best = fit.min_by_key(|(_, rack)| key(rack));
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
        label.is_none_or(|label| self.labels.contains(label)) && self.cpu >= step.need.cpu
    }

    /// Counts how often a need fits into what is free.
    pub(super) fn room(&self, need: &Room) -> u64 {
        self.free.iter().map(|free| free.times(need, 64)).sum()
    }

    pub(super) fn take(&mut self, step: &Step) {
        let free = self.free.iter_mut().find(|free| free.fits(&step.need));
        match free {
            Some(free) => free.take(&step.need),
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
