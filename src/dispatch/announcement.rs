//! Heartbeats to other instances: status, free room of racks, and requests for waiting tasks.

use std::slice;

use super::{
    license::Receipt,
    member::{
        Member,
        Pace,
        HEARTBEAT_INTERVAL, //
    },
    message::{
        Claim,
        Contact,
        Document,
        Heartbeat,
        LogRecord,
        Message,
        Output,
        Protocol,
        Status,
        Vacancy, //
    },
    owner::Effects,
    watch,
    Dispatcher, //
};
use crate::prelude::*;

/// The shortest interval between heartbeats that announce changed room. It's shorter than short tasks, so that freed room is
/// known before the next job is placed.
const ROOM_INTERVAL: Span = Span::millis(20);

/// The interval between heartbeats with the room of all racks, since one with a change may have been lost.
const FULL_ROOM_INTERVAL: Span = Span::millis(500);

/// The largest number of closely watched members to which changed room is sent every [`ROOM_INTERVAL`]. With more of them the
/// interval grows, which bounds the rate of heartbeats.
const MAX_FULL_RATE_MEMBERS: u64 = 8;

/// Members that aren't watched closely to which heartbeats are sent in one tick.
const MAX_DISTANT_PER_TICK: usize = 2;

/// Members that aren't watched closely to which heartbeats are sent in one tick after an urgent change.
const MAX_URGENT_PER_TICK: usize = 16;

/// Members that aren't alive yet to which heartbeats are sent in one tick, so that the start of many instances at once costs
/// each a quarter of a weak machine's processor at most.
const MAX_CONTACTS_PER_TICK: usize = 4;

/// Racks in one heartbeat, so that it fits in one packet.
const MAX_RACKS_PER_HEARTBEAT: usize = 6;

/// Starts in doubt in one message, some 20 KiB.
const MAX_DOUBTS: usize = 256;

impl Dispatcher {
    /// Sends a member that has become alive what it needs to place tasks: the room of all racks.
    pub(super) fn introduce(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let record = LogRecord::new("member_heard").with("member", to.name.as_str());
        out.outputs.push(Output::Log(record));
        let rooms = self.owner.vacancies(now);
        self.update_own_rooms(&rooms, now);
        self.send_heartbeats(slice::from_ref(&to.name), &rooms, now, out);
        self.tell_all_doubts(to, now, out);
    }

    /// Tells a member of all starts in doubt that are known here: those that it was told of before may have been lost with a session.
    pub(super) fn tell_all_doubts(&self, to: &Contact, now: Time, out: &mut Effects) {
        let doubts = self.owner.doubts_to_tell(now);
        for part in doubts.chunks(MAX_DOUBTS) {
            out.messages
                .push((to.clone(), Message::Doubts(part.to_vec())));
        }
    }

    /// Tells all members of starts in doubt whose tasks may come to any of them.
    pub(super) fn tell_doubts(&mut self, now: Time, out: &mut Effects) {
        let mut doubts = self.owner.take_untold_doubts();
        doubts.extend(self.entry.take_untold_doubts());
        if doubts.is_empty() {
            return;
        }
        self.owner.learn_doubts(&doubts, now);
        self.entry.learn_doubts(&doubts, now);
        for part in doubts.chunks(MAX_DOUBTS) {
            self.broadcast(Message::Doubts(part.to_vec()), out);
        }
    }

    /// Sends heartbeats with `rooms` to members. They say whether this instance needs to watch the receiver closely.
    pub(super) fn send_heartbeats(
        &mut self,
        to: &[Instance],
        rooms: &[Vacancy],
        now: Time,
        out: &mut Effects,
    ) {
        let is_needed = |name: &Instance| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.watch.is_needed_here(now))
        };
        let (watched, others): (Vec<Instance>, Vec<Instance>) =
            to.iter().cloned().partition(is_needed);
        for (names, watching) in [(watched, true), (others, false)] {
            let settled = self.settled_at;
            let mark_sent = |name| self.members.mark_heartbeat_sent(name, settled, now);
            let to: Vec<(Contact, Receipt)> = names.iter().filter_map(mark_sent).collect();
            if !to.is_empty() {
                self.push_heartbeats(&to, watching, rooms, now, out);
            }
        }
    }

    /// Adds a heartbeat to the outputs, in several parts if there are many rooms.
    fn push_heartbeats(
        &self,
        to: &[(Contact, Receipt)],
        watching: bool,
        rooms: &[Vacancy],
        now: Time,
        out: &mut Effects,
    ) {
        let mut parts: Vec<Vec<Vacancy>> = rooms
            .chunks(MAX_RACKS_PER_HEARTBEAT)
            .map(<[Vacancy]>::to_vec)
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let status = self.own_status(now);
        for rooms in parts {
            let heartbeat = Heartbeat {
                watching,
                status: status.clone(),
                loads: self.owner.loads(&rooms, now),
                rooms,
                receipt: None,
                protocol: Protocol::CURRENT,
            };
            out.outputs.push(Output::Heartbeat(to.to_vec(), heartbeat));
        }
    }

    /// Passes the room and load of own racks to the entry.
    fn update_own_rooms(&mut self, rooms: &[Vacancy], now: Time) {
        let own = &self.identity.contact.name;
        self.entry.update_rooms(own, rooms.to_vec());
        self.entry.update_loads(own, self.owner.loads(rooms, now));
    }

    /// Returns the status that heartbeats announce.
    fn own_status(&self, now: Time) -> Status {
        let claim = |(rack, token)| Claim { rack, token };
        let handed_over = self.handed_over.iter().map(|(claim, _)| *claim);
        Status {
            epoch: self.epoch,
            configuration: self.document_version(Document::Configuration),
            roster: self.document_version(Document::Roster),
            evacuation: self.evacuation.clone(),
            reading: self.reader.has_read_recently(now),
            draining: self.is_draining(),
            share: self.identity.share,
            racks: self.owner.racks().map(claim).chain(handed_over).collect(),
            shards: self.coordinator.coordinations(),
            pending: self.entry.pending_by_route().into_iter().collect(),
            absences: self.members.absences(now),
        }
    }

    /// Sends a message to all live members.
    pub(super) fn broadcast(&self, message: Message, out: &mut Effects) {
        for member in self.members.live() {
            out.messages.push((member.contact.clone(), message.clone()));
        }
    }

    /// Makes heartbeats due to all members, since something changed that they must hear of soon: to closely watched ones at once,
    /// to the others within some ticks.
    pub(super) fn announce(&mut self, now: Time) {
        self.announced_at = Time::default();
        self.changed_at = now;
    }

    /// Sends the heartbeats that are due: frequent ones to closely watched members, also when room has changed, and others at the
    /// interval for distant members or after an urgent change.
    pub(super) fn send_due_heartbeats(&mut self, now: Time, out: &mut Effects) {
        self.watch_work_peers(now);
        let (mut due, close_count) = self.due_members(now);
        for name in std::mem::take(&mut self.awaiting_receipt) {
            if !due.contains(&name) {
                due.push(name);
            }
        }
        if !due.is_empty() {
            let rooms = self.owner.vacancies(now);
            self.send_heartbeats(&due, &rooms, now, out);
        }
        self.send_frequent_heartbeats(close_count, now, out);
    }

    /// Returns the members to which heartbeats are due apart from the frequent ones, and the number of closely watched members.
    /// Due are members that have just become closely watched, some of those that may be starting, and distant members whose
    /// interval is over.
    fn due_members(&self, now: Time) -> (Vec<Instance>, usize) {
        let (mut due, mut contacts, mut distant) = (Vec::new(), Vec::new(), Vec::new());
        let mut close_count = 0;
        for member in self.members.all() {
            match member.pace(now) {
                Pace::Frequent => {
                    close_count += 1;
                    if member.watch.needs_first_heartbeat() {
                        due.push(member);
                    }
                }
                Pace::Contact => contacts.push(member),
                Pace::Distant => distant.push(member),
            }
        }
        let interval = watch::heartbeat_interval(distant.len());
        let since = |member: &Member| now.since(member.watch.heartbeat_sent);
        contacts.retain(|member| since(member) >= HEARTBEAT_INTERVAL);
        let is_uninformed = |member: &Member| member.watch.heartbeat_sent <= self.changed_at;
        let uninformed: Vec<&Member> = distant
            .iter()
            .copied()
            .filter(|m| is_uninformed(m))
            .collect();
        distant.retain(|member| !is_uninformed(member) && since(member) >= interval);
        due.extend(longest_due(contacts, MAX_CONTACTS_PER_TICK));
        due.extend(longest_due(uninformed, MAX_URGENT_PER_TICK));
        due.extend(longest_due(distant, MAX_DISTANT_PER_TICK));
        let names = due.into_iter().map(|member| member.contact.name.clone());
        (names.collect(), close_count)
    }

    /// Sends heartbeats to closely watched members if the interval is over or room has changed, and requests waiting tasks.
    fn send_frequent_heartbeats(&mut self, close_count: usize, now: Time, out: &mut Effects) {
        let interval = room_interval(close_count);
        let due = now.since(self.announced_at) >= HEARTBEAT_INTERVAL;
        let since = now.since(self.rooms_sent_at);
        let spare_cpu_changed = since >= ROOM_INTERVAL && self.owner.has_spare_cpu_changes(now);
        let changed = spare_cpu_changed || since >= interval && self.owner.has_room_changes(now);
        if !due && !changed {
            return self.send_scarcity(now, out);
        }
        let all = now.since(self.all_rooms_sent_at) >= FULL_ROOM_INTERVAL;
        if all {
            self.all_rooms_sent_at = now;
        }
        let rooms = self.owner.take_room_updates(all, now);
        (self.announced_at, self.rooms_sent_at) = (now, now);
        self.update_own_rooms(&rooms, now);
        let close = self
            .members
            .all()
            .filter(|m| m.has_frequent_heartbeats(now));
        let close: Vec<Instance> = close.map(|m| m.contact.name.clone()).collect();
        self.send_heartbeats(&close, &rooms, now, out);
        self.request_waiting_tasks(now, out);
    }

    /// Sends the room of racks where urgent tasks have run out of room, or have some again, to closely watched members of the data
    /// centre: their entries prefer these racks, and a stale update makes them send urgent tasks to full racks. Members elsewhere
    /// learn it from the next update, which saves bytes between data centres.
    fn send_scarcity(&mut self, now: Time, out: &mut Effects) {
        let since = now.since(self.scarcity_sent_at.max(self.rooms_sent_at));
        if since < ROOM_INTERVAL || !self.owner.has_scarcity_changes(now) {
            return;
        }
        let close = self
            .members
            .all()
            .filter(|m| m.has_frequent_heartbeats(now));
        let near = close.filter(|m| m.centre == self.identity.centre);
        let near: Vec<Instance> = near.map(|m| m.contact.name.clone()).collect();
        if since < room_interval(near.len()) {
            return;
        }
        self.scarcity_sent_at = now;
        let rooms = self.owner.take_scarcity_updates(now);
        self.update_own_rooms(&rooms, now);
        self.send_heartbeats(&near, &rooms, now, out);
    }

    /// Watches the members closely with which this instance shares work. Their failure must be detected before callers retry, and
    /// their room decides where the next tasks go.
    fn watch_work_peers(&mut self, now: Time) {
        self.members.choose_neighbours(now);
        for name in self.entry.batch_owners() {
            self.members.watch_closely(name, now);
        }
        for name in self.owner.entries() {
            self.members.watch_closely(name, now);
        }
    }

    /// Requests waiting tasks from the owner of the busiest rack, for each own rack with spare CPU.
    pub(super) fn request_waiting_tasks(&mut self, now: Time, out: &mut Effects) {
        if self.is_draining() {
            return;
        }
        for (to, rooms) in self.owner.racks_with_spare_cpu(now) {
            let Some((from, contact)) = self.entry.busiest_rack(to) else {
                continue;
            };
            self.entry.on_tasks_requested(from, rooms.len() as u32);
            out.messages
                .push((contact, Message::Want { from, to, rooms }));
        }
    }
}

/// Returns the shortest interval between heartbeats that announce changed room to a number of members.
fn room_interval(members: usize) -> Span {
    let members = (members as u64).max(MAX_FULL_RATE_MEMBERS);
    Span(ROOM_INTERVAL.0 * members / MAX_FULL_RATE_MEMBERS)
}

/// Returns the members that have waited longest for a heartbeat, at most `count`: a burst of datagrams to all that became due
/// together would delay other traffic.
fn longest_due(mut members: Vec<&Member>, count: usize) -> Vec<&Member> {
    if members.len() > count {
        members.sort_by_key(|member| member.watch.heartbeat_sent);
        members.truncate(count);
    }
    members
}
