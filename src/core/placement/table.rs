//! The endpoints as the platform's list has them.

use std::mem;

use super::{
    entry::Entry,
    index::Group,
    speed::{
        Speed,
        UNIT, //
    },
    Change,
    Eligibility,
    Placement,
    Slot,
    State,
    Worker, //
};

/// Lists that must show an endpoint as live before its own report that it is leaving expires.
///
/// An endpoint that restarts under its old name and address, between two lists, would get nothing for good. An
/// endpoint that is still leaving by then refuses the start, which costs one message and marks it again.
const LISTS: u64 = 60;

/// Groups without endpoints that are remembered, to tell what could run again from what never could.
const EMPTY_GROUPS: usize = 1 << 10;

impl Placement {
    /// Takes over a list of endpoints that are shared by `instances` live instances.
    ///
    /// An endpoint that the list leaves out gets nothing new, and is dropped once nothing is outstanding there.
    pub fn apply_list(&mut self, workers: &[Worker], instances: usize) -> Vec<Change> {
        self.list += 1;
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        let shares_changed = mem::replace(&mut self.instances, instances) != instances;
        let mut changes = Vec::new();
        for worker in workers {
            changes.extend(match self.names.get(&worker.name) {
                Some(slot) => self.update(*slot, worker),
                None => Some(self.add(worker)),
            });
        }
        self.sweep(shares_changed, &mut changes);
        changes
    }

    /// Divides the endpoints' connections among `instances` live instances from now on.
    pub fn set_instances(&mut self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        if mem::replace(&mut self.instances, instances) != instances {
            for place in 0..self.entries.len() {
                self.change(Slot(place as u32), |_| ());
            }
        }
    }

    fn add(&mut self, worker: &Worker) -> Change {
        let slot = self.spare.pop().unwrap_or_else(|| {
            self.entries.push(None);
            Slot(self.entries.len() as u32 - 1)
        });
        let group = self.join(worker);
        self.names.insert(worker.name.clone(), slot);
        self.entries[slot.0 as usize] = Some(Entry {
            worker: worker.clone(),
            group,
            outstanding: 0,
            load: 0,
            speed: Speed::default(),
            factor: UNIT,
            eligibility: Eligibility::Good,
            leaving_since: None,
            list: self.list,
            absent: false,
            contribution: None,
            position: 0,
        });
        self.change(slot, |_| ());
        Change::Added(slot)
    }

    fn update(&mut self, slot: Slot, worker: &Worker) -> Option<Change> {
        let list = self.list;
        let entry = self.entries[slot.0 as usize].as_mut()?;
        if entry.list == list {
            return None; // The list names it twice: the first line counts.
        }
        entry.list = list;
        let expired = entry
            .leaving_since
            .is_some_and(|since| list - since >= LISTS);
        if entry.worker == *worker && !entry.absent && !expired {
            return None;
        }
        let before = entry.worker.clone();
        let returned = entry.absent || before.state != State::Live;
        let regrouped = (&before.pool, &before.centre, before.resources)
            != (&worker.pool, &worker.centre, worker.resources);
        if regrouped {
            self.regroup(slot, worker);
        }
        self.change(slot, |entry| {
            entry.worker = worker.clone();
            entry.absent = false;
            let moved = before.address != worker.address;
            if worker.state == State::Live && (returned || moved || expired) {
                entry.leaving_since = None;
            }
        });
        Some(match (worker.state, returned) {
            (State::Leaving, _) => Change::Leaving(slot),
            (State::Live, true) => Change::Added(slot),
            (State::Live, false) => Change::Updated(slot),
        })
    }

    /// Marks what the list left out, drops what is idle, and applies new shares.
    fn sweep(&mut self, shares_changed: bool, changes: &mut Vec<Change>) {
        for place in 0..self.entries.len() {
            let slot = Slot(place as u32);
            let Some(entry) = &self.entries[place] else {
                continue;
            };
            let missing = entry.list != self.list;
            if missing && !entry.absent {
                self.change(slot, |entry| entry.absent = true);
                changes.push(Change::Absent(slot));
            } else if shares_changed {
                self.change(slot, |_| ());
            }
            let idle = self.outstanding(slot) == 0;
            if missing && idle {
                self.drop_entry(slot);
                changes.push(Change::Dropped(slot));
            } else if idle {
                self.fade(slot);
            }
        }
    }

    /// Lets the factor of an idle endpoint fade with each list.
    ///
    /// A slow endpoint may get nothing while there is little to do. Nothing would tell then that it has recovered,
    /// and it would go on to get nothing.
    fn fade(&mut self, slot: Slot) {
        let Some(entry) = self.entry(slot).filter(|entry| entry.factor != UNIT) else {
            return;
        };
        let group = entry.group;
        let mean = self.groups[group].speeds.mean();
        let mut shift = (None, None);
        self.change(slot, |entry| {
            shift = entry.speed.fade(mean);
            entry.factor = entry.speed.factor(mean);
        });
        self.groups[group].speeds.shift(shift.0, shift.1);
    }

    fn drop_entry(&mut self, slot: Slot) {
        self.leave(slot);
        if let Some(entry) = self.entries[slot.0 as usize].take() {
            self.names.remove(&entry.worker.name);
            self.spare.push(slot);
        }
    }

    /// Takes an endpoint out of its group.
    fn leave(&mut self, slot: Slot) {
        self.change(slot, |entry| entry.absent = true);
        let Some(Some(entry)) = self.entries.get_mut(slot.0 as usize) else {
            return;
        };
        let group = &mut self.groups[entry.group];
        group.speeds.shift(entry.speed.known(), None);
        group.members -= 1;
    }

    /// Moves an endpoint to the group that suits its entry in the list now; its history there starts afresh.
    fn regroup(&mut self, slot: Slot, worker: &Worker) {
        self.leave(slot);
        let group = self.join(worker);
        if let Some(Some(entry)) = self.entries.get_mut(slot.0 as usize) {
            entry.group = group;
            entry.speed = Speed::default();
            entry.factor = UNIT;
        }
    }

    /// Finds or makes the group of an endpoint, and counts the endpoint as a member.
    fn join(&mut self, worker: &Worker) -> usize {
        let mut known = self.pools.get(&worker.pool).into_iter().flatten().copied();
        let found = known.find(|group| {
            let group = &self.groups[*group];
            group.centre == worker.centre && group.has == worker.resources
        });
        let place = found.unwrap_or_else(|| self.make_group(worker));
        self.groups[place].members += 1;
        place
    }

    fn make_group(&mut self, worker: &Worker) -> usize {
        let group = Group::new(worker.pool.clone(), worker.centre.clone(), worker.resources);
        let place = match self.forgettable() {
            Some(place) => self.forget(place),
            None => self.groups.len(),
        };
        if place == self.groups.len() {
            self.groups.push(group);
        } else {
            self.groups[place] = group;
        }
        self.pools
            .entry(worker.pool.clone())
            .or_default()
            .push(place);
        place
    }

    /// Returns an empty group, once there are too many of them to remember.
    fn forgettable(&self) -> Option<usize> {
        if self.groups.len() < EMPTY_GROUPS {
            return None;
        }
        let empty = |group: &Group| group.members == 0;
        let count = self.groups.iter().filter(|group| empty(group)).count();
        if count < EMPTY_GROUPS {
            return None;
        }
        self.groups.iter().position(empty)
    }

    fn forget(&mut self, place: usize) -> usize {
        let pool = self.groups[place].pool.clone();
        if let Some(groups) = self.pools.get_mut(&pool) {
            groups.retain(|group| *group != place);
            if groups.is_empty() {
                self.pools.remove(&pool);
            }
        }
        place
    }
}
