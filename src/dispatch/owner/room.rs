//! The room of racks, that is the free resources of their endpoints, as reported to other instances, and tasks that move
//! between racks.

use std::collections::BTreeMap;

use super::{
    super::{
        endpoint::{
            Standing,
            State, //
        },
        headroom::{
            self,
            Reserve, //
        },
        id::RackId,
        message::{
            Cause,
            Load,
            Message,
            Outcome,
            Vacancy, //
        },
        queue::{
            Class,
            Handle,
            Waiting, //
        },
        straggler::Slowdown,
        task::Resources, //
    },
    Effects,
    Owner,
    Rack, //
};
use crate::prelude::*;

/// The divisor of an endpoint's CPU that gives the least free part at which it has spare CPU for other racks' tasks.
const MIN_FREE_DIVISOR: u64 = 4;

/// The most classes in the announced load of a rack, so that it fits in a heartbeat beside the room: three priorities, on time
/// and late.
const MAX_CLASSES: usize = 6;

impl Owner {
    /// Returns whether the room of a rack has changed since the last update.
    pub fn has_room_changes(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| {
            rack.room_changed || rack.reported_accepting != self.count_accepting(rack, now)
        })
    }

    /// Returns whether a rack has run out of spare CPU, or has some again, since the last update.
    ///
    /// Other instances send tasks to racks with spare CPU. Such a change is sent early, so that tasks don't queue at
    /// a full rack while others are idle.
    pub fn has_spare_cpu_changes(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| rack.reported_spare_cpu != self.rack_has_spare_cpu(rack, now))
    }

    fn rack_has_spare_cpu(&self, rack: &Rack, now: Time) -> bool {
        let states = rack.endpoints.iter();
        let mut states = states.filter_map(|id| self.endpoints.get(id));
        states.any(|state| state.accepts_tasks(now) && has_spare_cpu(state))
    }

    /// Returns the number of a rack's endpoints that accept tasks.
    pub(super) fn count_accepting(&self, rack: &Rack, now: Time) -> usize {
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        states.filter(|state| state.accepts_tasks(now)).count()
    }

    /// Returns the room of racks where it has changed since the last update, or of all racks, and records it as
    /// sent.
    pub fn take_room_updates(&mut self, all: bool, now: Time) -> Vec<Vacancy> {
        let due = |rack: &Rack| {
            all || rack.room_changed || rack.reported_accepting != self.count_accepting(rack, now)
        };
        let racks = self.racks.iter().filter(|(_, rack)| due(rack));
        let rooms: Vec<Vacancy> = racks
            .map(|(id, rack)| self.vacancy(*id, rack, now))
            .collect();
        for vacancy in &rooms {
            let rack = self.racks.get(&vacancy.rack);
            let has_spare_cpu = rack.is_some_and(|rack| self.rack_has_spare_cpu(rack, now));
            let classes = self.speed_classes(vacancy.rack, now);
            let is_scarce = rack.is_some_and(|rack| {
                let reserve = rack.headroom.largest_reserve(now);
                reserve.is_scarce(vacancy.free.iter().copied())
            });
            if let Some(rack) = self.racks.get_mut(&vacancy.rack) {
                rack.reported_spare_cpu = has_spare_cpu;
                rack.reported_scarce = is_scarce;
                rack.room_changed = false;
                rack.reported_accepting = vacancy.free.len();
                rack.announces_classes = all || rack.reported_classes != classes;
                rack.reported_classes = classes;
            }
        }
        rooms
    }

    /// Returns the room of the racks where urgent tasks have run out of room, or have some again, since the last update, and records
    /// that change alone as sent.
    pub fn take_scarcity_updates(&mut self, now: Time) -> Vec<Vacancy> {
        let racks = self.racks.iter();
        let changed = racks.filter(|(_, rack)| self.scarcity_changed(rack, now));
        let rooms: Vec<Vacancy> = changed
            .map(|(id, rack)| self.vacancy(*id, rack, now))
            .collect();
        for vacancy in &rooms {
            if let Some(rack) = self.racks.get_mut(&vacancy.rack) {
                rack.reported_scarce = !rack.reported_scarce;
            }
        }
        rooms
    }

    /// Returns the room of all racks, without recording it as sent.
    pub fn vacancies(&self, now: Time) -> Vec<Vacancy> {
        let racks = self.racks.iter();
        racks
            .map(|(id, rack)| self.vacancy(*id, rack, now))
            .collect()
    }

    fn vacancy(&self, id: RackId, rack: &Rack, now: Time) -> Vacancy {
        let states = rack.endpoints.iter();
        let states = states.filter_map(|id| self.endpoints.get(id));
        let accepting = states.filter(|state| state.accepts_tasks(now));
        let movable = |w: &Waiting| {
            let assignment = self.assignments.get(&w.batch);
            let waits = rack.waits.contains(w.batch, w.index);
            !waits && assignment.is_some_and(|l| !l.batch.tied && !l.in_doubt)
        };
        Vacancy {
            rack: id,
            free: accepting.map(State::worthwhile_room).collect(),
            movable: rack.queue.iter().filter(movable).count() as u32,
            backlog: rack.queue.work(),
        }
    }

    /// Returns the load of racks whose room is announced, where there is something to tell.
    pub fn loads(&self, rooms: &[Vacancy], now: Time) -> Vec<Load> {
        let loads = rooms.iter().map(|vacancy| Load {
            rack: vacancy.rack,
            speeds: self.announced_classes(vacancy, now),
            waiting: self
                .racks
                .get(&vacancy.rack)
                .map_or_else(Vec::new, |rack| summarize(rack.queue.work_by_class())),
        });
        loads.filter(|load| !load.is_empty()).collect()
    }

    /// Returns the speed classes that a heartbeat carries with a rack's room. Entries keep the last ones, so that most heartbeats
    /// carry none: they would grow by a sixth.
    fn announced_classes(&self, vacancy: &Vacancy, now: Time) -> Vec<u8> {
        let rack = self.racks.get(&vacancy.rack);
        let classes = match rack.is_some_and(|rack| rack.announces_classes) {
            true => self.speed_classes(vacancy.rack, now),
            false => Vec::new(),
        };
        match classes.len() == vacancy.free.len() {
            true => classes,
            false => Vec::new(),
        }
    }

    /// Returns the speed classes of a rack's endpoints that accept tasks, in the order of [`Vacancy::free`], or none if all are alike.
    fn speed_classes(&self, rack: RackId, now: Time) -> Vec<u8> {
        let Some(rack) = self
            .racks
            .get(&rack)
            .filter(|rack| rack.places_by_speed(now))
        else {
            return Vec::new();
        };
        let states = rack.endpoints.iter();
        let states = states.filter_map(|id| self.endpoints.get(id));
        let accepting = states.filter(|state| state.accepts_tasks(now));
        accepting.map(State::speed_class).collect()
    }

    /// Returns the racks with spare CPU, and the free room of their endpoints that have some.
    ///
    /// Queued tasks of these racks don't fit there; smaller ones that are queued at other racks may.
    pub fn racks_with_spare_cpu(&self, now: Time) -> Vec<(RackId, Vec<Resources>)> {
        let mut found = Vec::new();
        for (id, rack) in &self.racks {
            let states = rack
                .endpoints
                .iter()
                .filter_map(|id| self.endpoints.get(id));
            let open = states.filter(|state| state.accepts_tasks(now) && has_spare_cpu(state));
            let rooms: Vec<Resources> = open.map(State::worthwhile_room).collect();
            if !rooms.is_empty() {
                found.push((*id, rooms));
            }
        }
        found
    }

    /// Returns queued tasks of a rack that fit `rooms` to their entries, which send them to rack `to`.
    ///
    /// Tasks that would take the headroom of `to` stay, since it would hold them back as well: demand is spread over racks, so that the
    /// headroom of this rack is taken for that of `to`.
    pub fn reassign_waiting(
        &mut self,
        from: RackId,
        to: RackId,
        rooms: Vec<Resources>,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(rack) = self.racks.get(&from) else {
            return;
        };
        let mut rooms: Vec<(Resources, bool)> =
            rooms.into_iter().map(|room| (room, true)).collect();
        let mut reserves: BTreeMap<u32, Reserve> = BTreeMap::new();
        let mut returned: BTreeMap<Handle, Vec<u32>> = BTreeMap::new();
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        for waiting in waiting {
            let Some(assignment) = self.assignments.get(&waiting.batch) else {
                continue;
            };
            let task = assignment.task_id(waiting.index);
            // Evidence of crashes under a task would be lost with a new placement. One that waits for a faster endpoint doesn't
            // lack room, and a rack that asks for tasks may have room on slow endpoints only.
            let pinned = assignment.batch.tied
                || assignment.in_doubt
                || assignment.suspicion(waiting.index).is_present()
                || rack.waits.contains(waiting.batch, waiting.index);
            if pinned || self.run_locations.contains_key(&task) || self.may_run(&task) {
                continue;
            }
            let (need, priority) = (assignment.batch.need, assignment.batch.priority);
            let reserve = reserves.entry(priority);
            let reserve = reserve.or_insert_with(|| self.reserve(rack, priority, now));
            let may_wait = headroom::may_wait(assignment.due, assignment.batch.estimate, now);
            if may_wait && !reserve.admits(&need, rooms.iter().copied()) {
                continue;
            }
            let Some((room, _)) = rooms.iter_mut().find(|(room, _)| room.fits(&need)) else {
                continue;
            };
            room.subtract(&need);
            returned
                .entry(waiting.batch)
                .or_default()
                .push(waiting.index);
        }
        for (handle, tasks) in returned {
            self.return_tasks(handle, tasks, Cause::Room(to), out);
        }
    }

    /// Returns queued tasks of a batch, none of which runs, to its entry.
    pub(super) fn return_tasks(
        &mut self,
        handle: Handle,
        tasks: Vec<u32>,
        cause: Cause,
        out: &mut Effects,
    ) {
        let Some(assignment) = self.assignments.get_mut(&handle) else {
            return;
        };
        if let Some(rack) = self.racks.get_mut(&assignment.batch.rack) {
            for index in tasks.iter().copied() {
                let batch = handle;
                rack.queue.remove(Waiting { batch, index });
            }
            rack.room_changed = true;
        }
        assignment.tasks.retain(|index, _| !tasks.contains(index));
        assignment
            .batch
            .tasks
            .retain(|index| !tasks.contains(index));
        let message = Message::Returned {
            serial: assignment.batch.serial,
            tasks,
            started: assignment.started,
            cause,
        };
        out.send(&assignment.entry, message);
        let finished = assignment.tasks.is_empty();
        // The ends of stored tasks are reported one by one.
        let reported = assignment.batch.stored || assignment.batch.tasks.is_empty();
        if finished && reported {
            self.remove_assignment(handle);
        } else if finished {
            // All tasks that remain are done, and that is reported with the last of them.
            self.finish(handle, Outcome::Done, out);
        }
    }

    /// Returns the estimated work of the queued tasks of all racks, in core-milliseconds.
    pub fn waiting_work(&self) -> u64 {
        self.racks.values().map(|rack| rack.queue.work()).sum()
    }

    /// Returns the numbers of queued tasks, of runs, and of endpoints in [`Standing::Open`].
    pub fn counts(&self) -> (usize, usize, usize) {
        let waiting = self.racks.values().map(|rack| rack.queue.len()).sum();
        let runs = self.endpoints.values().map(|s| s.executions.len()).sum();
        let open = self.endpoints.values();
        let open = open.filter(|s| s.standing == Standing::Open).count();
        (waiting, runs, open)
    }

    /// Returns the number of endpoints that are much slower than their kind.
    pub fn count_slow_endpoints(&self) -> usize {
        let slow = |state: &&State| state.slowdown() > Slowdown::NONE;
        self.endpoints.values().filter(slow).count()
    }
}

/// Returns the work by class, with [`MAX_CLASSES`] entries at most. Classes beyond these count to the last one, as if on time, so
/// that no work is taken to go behind a job that it goes ahead of.
fn summarize(classes: impl Iterator<Item = (Class, u64)>) -> Vec<(Class, u64)> {
    let mut waiting: Vec<(Class, u64)> = Vec::new();
    for (class, work) in classes {
        if waiting.len() < MAX_CLASSES {
            waiting.push((class, work));
        } else if let Some((last, sum)) = waiting.last_mut() {
            *last = last.into_on_time();
            *sum += work;
        }
    }
    waiting
}

/// Returns whether enough of an endpoint is free for tasks of other racks.
fn has_spare_cpu(state: &State) -> bool {
    state.worthwhile_room().cpu * MIN_FREE_DIVISOR >= state.listing.capacity.cpu
}
