//! Updates of the table of endpoints from the platform's list.

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
    EndpointId,
    Placement,
    State,
    Worker, //
};

/// The number of lists after which an endpoint's own report that it is leaving expires.
///
/// Prevents an endpoint that restarts between two lists under its old name and address from never getting a task. If
/// it is still leaving, it refuses the next start, and is marked again.
const LEAVING_LISTS: u64 = 60;

/// The number of groups without endpoints that are kept. They tell a task that could run later from one that never can.
const MAX_EMPTY_GROUPS: usize = 1 << 10;

impl Placement {
    /// Applies a list of endpoints that `instances` live instances share, and returns the changes.
    ///
    /// An endpoint that isn't listed gets no more tasks, and is removed once no task is outstanding there.
    pub fn apply_list(&mut self, workers: &[Worker], instances: usize) -> Vec<Change> {
        self.list_number += 1;
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        let shares_changed = mem::replace(&mut self.instances, instances) != instances;
        let mut changes = Vec::new();
        for worker in workers {
            changes.extend(match self.ids_by_name.get(&worker.name) {
                Some(id) => self.update(*id, worker),
                None => Some(self.add(worker)),
            });
        }
        self.sweep(shares_changed, &mut changes);
        changes
    }

    /// Sets the number of live instances that share the endpoints' connections.
    pub fn set_instances(&mut self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        if mem::replace(&mut self.instances, instances) != instances {
            for index in 0..self.entries.len() {
                self.update_entry(EndpointId(index as u32), |_| ());
            }
        }
    }

    /// Adds an endpoint under a new or reused id.
    fn add(&mut self, worker: &Worker) -> Change {
        let id = self.free_ids.pop().unwrap_or_else(|| {
            self.entries.push(None);
            EndpointId(self.entries.len() as u32 - 1)
        });
        let group = self.join_group(worker);
        self.ids_by_name.insert(worker.name.clone(), id);
        self.entries[id.0 as usize] = Some(Entry {
            worker: worker.clone(),
            group,
            outstanding: 0,
            load: 0,
            speed: Speed::default(),
            slowness: UNIT,
            eligibility: Eligibility::Good,
            leaving_since: None,
            list_number: self.list_number,
            is_absent: false,
            contribution: None,
            position: 0,
        });
        self.update_entry(id, |_| ());
        Change::Added(id)
    }

    /// Updates an endpoint from its entry in the list; returns the change, if there is one.
    fn update(&mut self, id: EndpointId, worker: &Worker) -> Option<Change> {
        let list_number = self.list_number;
        let entry = self.entries[id.0 as usize].as_mut()?;
        if entry.list_number == list_number {
            return None; // The list has the endpoint twice; the first entry counts.
        }
        entry.list_number = list_number;
        let expired = entry
            .leaving_since
            .is_some_and(|since| list_number - since >= LEAVING_LISTS);
        if entry.worker == *worker && !entry.is_absent && !expired {
            return None;
        }
        let before = entry.worker.clone();
        let returned = entry.is_absent || before.state != State::Live;
        let group_changed = (&before.pool, &before.centre, before.resources)
            != (&worker.pool, &worker.centre, worker.resources);
        if group_changed {
            self.regroup(id, worker);
        }
        self.update_entry(id, |entry| {
            entry.worker = worker.clone();
            entry.is_absent = false;
            let address_changed = before.address != worker.address;
            if worker.state == State::Live && (returned || address_changed || expired) {
                entry.leaving_since = None;
            }
        });
        Some(match (worker.state, returned) {
            (State::Leaving, _) => Change::Leaving(id),
            (State::Live, true) => Change::Added(id),
            (State::Live, false) => Change::Updated(id),
        })
    }

    /// Marks endpoints that aren't listed, removes those without outstanding tasks, and applies a new number of
    /// instances.
    fn sweep(&mut self, shares_changed: bool, changes: &mut Vec<Change>) {
        for index in 0..self.entries.len() {
            let id = EndpointId(index as u32);
            let Some(entry) = &self.entries[index] else {
                continue;
            };
            let is_missing = entry.list_number != self.list_number;
            if is_missing && !entry.is_absent {
                self.update_entry(id, |entry| entry.is_absent = true);
                changes.push(Change::Absent(id));
            } else if shares_changed {
                self.update_entry(id, |_| ());
            }
            let is_idle = self.outstanding(id) == 0;
            if is_missing && is_idle {
                self.remove_entry(id);
                changes.push(Change::Dropped(id));
            } else if is_idle {
                self.decay_slowness(id);
            }
        }
    }

    /// Moves an idle endpoint's slowness towards that of its group, once for each list.
    ///
    /// Prevents a slow endpoint that gets no tasks from being avoided forever: only new tasks show that it has
    /// recovered.
    fn decay_slowness(&mut self, id: EndpointId) {
        let Some(entry) = self.entry(id).filter(|entry| entry.slowness != UNIT) else {
            return;
        };
        let group = entry.group;
        let mean = self.groups[group].speeds.mean();
        let mut means = (None, None);
        self.update_entry(id, |entry| {
            means = entry.speed.decay(mean);
            entry.slowness = entry.speed.slowness(mean);
        });
        self.groups[group].speeds.replace(means.0, means.1);
    }

    /// Removes an endpoint from the table, and frees its id.
    fn remove_entry(&mut self, id: EndpointId) {
        self.leave_group(id);
        if let Some(entry) = self.entries[id.0 as usize].take() {
            self.ids_by_name.remove(&entry.worker.name);
            self.free_ids.push(id);
        }
    }

    /// Removes an endpoint from its group.
    fn leave_group(&mut self, id: EndpointId) {
        self.update_entry(id, |entry| entry.is_absent = true);
        let Some(Some(entry)) = self.entries.get_mut(id.0 as usize) else {
            return;
        };
        let group = &mut self.groups[entry.group];
        group.speeds.replace(entry.speed.mean(), None);
        group.members -= 1;
    }

    /// Moves an endpoint to the group that its changed entry belongs to, and resets its speed.
    fn regroup(&mut self, id: EndpointId, worker: &Worker) {
        self.leave_group(id);
        let group = self.join_group(worker);
        if let Some(Some(entry)) = self.entries.get_mut(id.0 as usize) {
            entry.group = group;
            entry.speed = Speed::default();
            entry.slowness = UNIT;
        }
    }

    /// Finds or creates the group of an endpoint, counts the endpoint as a member, and returns the group's index.
    fn join_group(&mut self, worker: &Worker) -> usize {
        let mut candidates = self
            .groups_by_pool
            .get(&worker.pool)
            .into_iter()
            .flatten()
            .copied();
        let found = candidates.find(|group| {
            let group = &self.groups[*group];
            group.centre == worker.centre && group.resources == worker.resources
        });
        let index = found.unwrap_or_else(|| self.create_group(worker));
        self.groups[index].members += 1;
        index
    }

    /// Creates the group of an endpoint, in place of a removable one if there is one, and returns its index.
    fn create_group(&mut self, worker: &Worker) -> usize {
        let group = Group::new(worker.pool.clone(), worker.centre.clone(), worker.resources);
        let index = match self.find_removable_group() {
            Some(index) => self.remove_group(index),
            None => self.groups.len(),
        };
        if index == self.groups.len() {
            self.groups.push(group);
        } else {
            self.groups[index] = group;
        }
        self.groups_by_pool
            .entry(worker.pool.clone())
            .or_default()
            .push(index);
        index
    }

    /// Returns the index of a group without endpoints, once there are too many of them.
    fn find_removable_group(&self) -> Option<usize> {
        if self.groups.len() < MAX_EMPTY_GROUPS {
            return None;
        }
        let empty = |group: &Group| group.members == 0;
        let count = self.groups.iter().filter(|group| empty(group)).count();
        if count < MAX_EMPTY_GROUPS {
            return None;
        }
        self.groups.iter().position(empty)
    }

    /// Removes a group from its pool, and returns its index for reuse.
    fn remove_group(&mut self, index: usize) -> usize {
        let pool = self.groups[index].pool.clone();
        if let Some(groups) = self.groups_by_pool.get_mut(&pool) {
            groups.retain(|group| *group != index);
            if groups.is_empty() {
                self.groups_by_pool.remove(&pool);
            }
        }
        index
    }
}
