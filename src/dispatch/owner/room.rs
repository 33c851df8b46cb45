//! The room that racks have, and tasks that they give to each other.

use std::collections::BTreeMap;

use super::{
    super::{
        endpoint::{
            Standing,
            State, //
        },
        id::RackId,
        message::{
            Cause,
            Message,
            Outcome,
            Vacancy, //
        },
        queue::{
            Handle,
            Waiting, //
        },
        task::Resources, //
    },
    Effects,
    Owner,
    Rack, //
};
use crate::prelude::*;

/// An endpoint has room to ask for tasks of others with when at least one part in this many of it is free.
const SPACE: u64 = 4;

impl Owner {
    /// Tells whether the room of some rack has changed since it was told.
    pub fn has_room_changes(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| rack.changed || rack.open != self.open(rack, now))
    }

    /// Tells whether some rack has filled up, or has space again, since it was told.
    ///
    /// Others send tasks to where they think there is space. Told late, tasks waited on racks that had filled up, while endpoints of
    /// others had nothing to do; what changes between these two can be told later.
    pub fn has_space_changes(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| rack.spacious != self.is_spacious(rack, now))
    }

    fn is_spacious(&self, rack: &Rack, now: Time) -> bool {
        let states = rack.endpoints.iter();
        let mut states = states.filter_map(|id| self.endpoints.get(id));
        states.any(|state| state.takes(now) && has_space(state))
    }

    /// Counts the endpoints of a rack that take tasks.
    pub(super) fn open(&self, rack: &Rack, now: Time) -> usize {
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        states.filter(|state| state.takes(now)).count()
    }

    /// Tells the room of racks where it has changed since it was told to all, or of all.
    pub fn take_room_updates(&mut self, all: bool, now: Time) -> Vec<Vacancy> {
        let told = |rack: &Rack| all || rack.changed || rack.open != self.open(rack, now);
        let racks = self.racks.iter().filter(|(_, rack)| told(rack));
        let rooms: Vec<Vacancy> = racks
            .map(|(id, rack)| self.vacancy(*id, rack, now))
            .collect();
        for vacancy in &rooms {
            let rack = self.racks.get(&vacancy.rack);
            let spacious = rack.is_some_and(|rack| self.is_spacious(rack, now));
            if let Some(rack) = self.racks.get_mut(&vacancy.rack) {
                rack.spacious = spacious;
                rack.changed = false;
                rack.open = vacancy.free.len();
            }
        }
        rooms
    }

    /// Tells the room of all racks, to some: the others have yet to be told what has changed.
    pub fn vacancies(&self, now: Time) -> Vec<Vacancy> {
        let racks = self.racks.iter();
        racks
            .map(|(id, rack)| self.vacancy(*id, rack, now))
            .collect()
    }

    fn vacancy(&self, id: RackId, rack: &Rack, now: Time) -> Vacancy {
        let states = rack.endpoints.iter();
        let states = states.filter_map(|id| self.endpoints.get(id));
        let takes = states.filter(|state| state.takes(now));
        let movable = |w: &Waiting| self.loads.get(&w.batch).is_some_and(|l| !l.batch.tied);
        Vacancy {
            rack: id,
            free: takes.map(|state| state.free).collect(),
            movable: rack.queue.iter().filter(movable).count() as u32,
            backlog: rack.queue.work(),
        }
    }

    /// Returns the racks with space, and the room of their endpoints that have some.
    ///
    /// What waits there fits in none of it, or it would have been started; tasks of another size that wait elsewhere may.
    pub fn racks_with_space(&self, now: Time) -> Vec<(RackId, Vec<Resources>)> {
        let mut found = Vec::new();
        for (id, rack) in &self.racks {
            let states = rack
                .endpoints
                .iter()
                .filter_map(|id| self.endpoints.get(id));
            let open = states.filter(|state| state.takes(now) && has_space(state));
            let rooms: Vec<Resources> = open.map(|state| state.free).collect();
            if !rooms.is_empty() {
                found.push((*id, rooms));
            }
        }
        found
    }

    /// Gives tasks that wait on a rack to another one that has room and nothing waiting.
    pub fn reassign_waiting(
        &mut self,
        from: RackId,
        to: RackId,
        mut rooms: Vec<Resources>,
        out: &mut Effects,
    ) {
        let Some(rack) = self.racks.get(&from) else {
            return;
        };
        let mut given: BTreeMap<Handle, Vec<u32>> = BTreeMap::new();
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        for waiting in waiting {
            let Some(load) = self.loads.get(&waiting.batch) else {
                continue;
            };
            let task = load.task(waiting.index);
            // What is known of crashes under a task is lost where it is placed anew.
            let fixed = load.batch.tied || load.suspicion(waiting.index).is_present();
            if fixed || self.busy.contains_key(&task) {
                continue;
            }
            let need = load.batch.need;
            let Some(room) = rooms.iter_mut().find(|room| room.fits(&need)) else {
                continue;
            };
            room.subtract(&need);
            given.entry(waiting.batch).or_default().push(waiting.index);
        }
        for (handle, tasks) in given {
            self.send_tasks_back(handle, tasks, Cause::Room(to), out);
        }
    }

    /// Sends tasks of a batch back that wait, and of which nothing runs.
    pub(super) fn send_tasks_back(
        &mut self,
        handle: Handle,
        tasks: Vec<u32>,
        cause: Cause,
        out: &mut Effects,
    ) {
        let Some(load) = self.loads.get_mut(&handle) else {
            return;
        };
        if let Some(rack) = self.racks.get_mut(&load.batch.rack) {
            for index in tasks.iter().copied() {
                let batch = handle;
                rack.queue.remove(Waiting { batch, index });
            }
            rack.changed = true;
        }
        load.tasks.retain(|index, _| !tasks.contains(index));
        load.batch.tasks.retain(|index| !tasks.contains(index));
        let message = Message::Returned {
            serial: load.batch.serial,
            tasks,
            started: load.started,
            cause,
        };
        out.tell(&load.entry, message);
        let (over, none) = (load.tasks.is_empty(), load.batch.tasks.is_empty());
        if none {
            self.remove_load(handle);
        } else if over {
            // What was kept of it had ended before, and its end is told with the last of it.
            self.finish(handle, Outcome::Done, out);
        }
    }

    /// Counts the tasks that wait, the runs, and the endpoints that take tasks.
    pub fn counts(&self) -> (usize, usize, usize) {
        let waiting = self.racks.values().map(|rack| rack.queue.len()).sum();
        let runs = self.endpoints.values().map(|s| s.executions.len()).sum();
        let open = self.endpoints.values();
        let open = open.filter(|s| s.standing == Standing::Open).count();
        (waiting, runs, open)
    }
}

/// Tells whether enough of an endpoint is free to ask for tasks of others.
fn has_space(state: &State) -> bool {
    state.free.cpu * SPACE >= state.listing.capacity.cpu
}
