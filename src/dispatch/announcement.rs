//! What the instance tells its peers: that it lives, what and what room it has.

use std::slice;

use super::{
    member::{
        Member,
        HEARTBEAT_INTERVAL, //
    },
    message::{
        Claim,
        Contact,
        Document,
        Heartbeat,
        Message,
        Output,
        Record,
        Status,
        Vacancy, //
    },
    owner::Effects,
    watch,
    Dispatcher, //
};
use crate::prelude::*;

/// Between heartbeats about room: three times shorter than the shortest tasks, so that most of what ends is
/// known before the next job is placed; a tenth of the interval would cost ten times the messages.
const ROOMS: Span = Span::millis(20);

/// Between heartbeats that tell the room of all racks: one that told a change may have been lost.
const REFRESH: Span = Span::millis(500);

/// Members watched closely that are told of room every [`ROOMS`]; with more of them the interval grows, so that they are
/// sent 400 heartbeats a second at the most.
const AUDIENCE: u64 = 8;

/// Members that aren't watched closely and are told in one tick: 200 a second, twice what is due.
const SPREAD: usize = 2;

/// Racks in one heartbeat, so that it fits in one packet.
const RACKS: usize = 6;

impl Dispatcher {
    /// Tells a member that has just come all that it must know to place tasks.
    pub(super) fn introduce(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let record = Record::new("member_heard").with("member", to.name.as_str());
        out.outputs.push(Output::Log(record));
        let members = self.members.live().map(|m| m.contact.clone()).collect();
        out.messages.push((to.clone(), Message::Members(members)));
        let rooms = self.owner.vacancies(now);
        let own = self.identity.contact.name.clone();
        self.entry.update_rooms(&own, rooms.clone());
        self.send_heartbeats(slice::from_ref(&to.name), &rooms, now, out);
    }

    /// Sends heartbeats with `rooms` to members.
    pub(super) fn send_heartbeats(
        &mut self,
        to: &[Instance],
        rooms: &[Vacancy],
        now: Time,
        out: &mut Effects,
    ) {
        let needed = |name: &Instance| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.watch.is_needed_here(now))
        };
        let (watched, others): (Vec<Instance>, Vec<Instance>) =
            to.iter().cloned().partition(needed);
        for (names, watching) in [(watched, true), (others, false)] {
            let tell = |name| self.members.mark_heartbeat_sent(name, now);
            let to: Vec<Contact> = names.iter().filter_map(tell).collect();
            if !to.is_empty() {
                self.push_heartbeats(&to, watching, rooms, now, out);
            }
        }
    }

    fn push_heartbeats(
        &self,
        to: &[Contact],
        watching: bool,
        rooms: &[Vacancy],
        now: Time,
        out: &mut Effects,
    ) {
        let mut parts: Vec<Vec<Vacancy>> = rooms.chunks(RACKS).map(<[Vacancy]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let status = self.own_status(now);
        for rooms in parts {
            let heartbeat = Heartbeat {
                watching,
                status: status.clone(),
                rooms,
            };
            out.outputs.push(Output::Heartbeat(to.to_vec(), heartbeat));
        }
    }

    fn own_status(&self, now: Time) -> Status {
        let claim = |(rack, token)| Claim { rack, token };
        let ceded = self.handed_over.iter().map(|(claim, _)| *claim);
        Status {
            epoch: self.epoch,
            configuration: self.document_version(Document::Configuration),
            roster: self.document_version(Document::Roster),
            evacuation: self.evacuation.clone(),
            reading: self.reading.is_fresh(now),
            draining: self.is_draining(),
            share: self.identity.share,
            racks: self.owner.racks().map(claim).chain(ceded).collect(),
            shards: self.durable.coordinations(),
            pending: self.entry.pending_by_route().into_iter().collect(),
            absences: self.members.absences(),
        }
    }

    pub(super) fn broadcast(&self, message: Message, out: &mut Effects) {
        for member in self.members.live() {
            out.messages.push((member.contact.clone(), message.clone()));
        }
    }

    /// Tells peers that it lives, and of room that has changed: those that it watches closely often, the others at their
    /// interval, and all of them where something changed that they must know.
    pub(super) fn send_due_heartbeats(&mut self, now: Time, out: &mut Effects) {
        self.watch_work_peers(now);
        let some = self.due_members(now);
        if !some.is_empty() {
            let rooms = self.owner.vacancies(now);
            self.send_heartbeats(&some, &rooms, now, out);
        }
        self.send_frequent_heartbeats(now, out);
    }

    /// Returns the members that are to be told by themselves: those that are watched closely since just now, and of the others
    /// those whose turn it is.
    fn due_members(&self, now: Time) -> Vec<Instance> {
        let urgent = self.announced_at == Time::default();
        let distant = self
            .members
            .all()
            .filter(|m| !m.has_frequent_heartbeats(now));
        let interval = watch::heartbeat_interval(distant.count());
        let due = |m: &&Member| match m.has_frequent_heartbeats(now) {
            true => m.watch.needs_first_heartbeat(),
            false => urgent || now.since(m.watch.heartbeat_sent) >= interval,
        };
        let mut due: Vec<&Member> = self.members.all().filter(due).collect();
        if !urgent && due.len() > SPREAD {
            // Those that became due together are spread out: a burst of datagrams holds up what else is on the link.
            due.sort_by_key(|member| {
                (
                    !member.has_frequent_heartbeats(now),
                    member.watch.heartbeat_sent,
                )
            });
            let close = due
                .iter()
                .filter(|m| m.has_frequent_heartbeats(now))
                .count();
            due.truncate(SPREAD.max(close));
        }
        due.into_iter().map(|m| m.contact.name.clone()).collect()
    }

    fn send_frequent_heartbeats(&mut self, now: Time, out: &mut Effects) {
        let close = self
            .members
            .all()
            .filter(|m| m.has_frequent_heartbeats(now));
        let interval = Span(ROOMS.0 * (close.count() as u64).max(AUDIENCE) / AUDIENCE);
        let due = now.since(self.announced_at) >= HEARTBEAT_INTERVAL;
        let since = now.since(self.rooms_sent_at);
        let turned = since >= ROOMS && self.owner.has_space_changes(now);
        let changed = turned || since >= interval && self.owner.has_room_changes(now);
        if !due && !changed {
            return;
        }
        let all = now.since(self.all_rooms_sent_at) >= REFRESH;
        if all {
            self.all_rooms_sent_at = now;
        }
        let rooms = self.owner.take_room_updates(all, now);
        (self.announced_at, self.rooms_sent_at) = (now, now);
        let own = self.identity.contact.name.clone();
        self.entry.update_rooms(&own, rooms.clone());
        let close = self
            .members
            .all()
            .filter(|m| m.has_frequent_heartbeats(now));
        let close: Vec<Instance> = close.map(|m| m.contact.name.clone()).collect();
        self.send_heartbeats(&close, &rooms, now, out);
        self.request_waiting_tasks(now, out);
    }

    /// Watches those closely with which it shares work: their death must be found before their callers, or its own, come
    /// again, and their room decides where the next tasks go.
    fn watch_work_peers(&mut self, now: Time) {
        self.members.choose_neighbours(now);
        for name in self.entry.batch_owners() {
            self.members.watch_closely(name, now);
        }
        for name in self.owner.entries() {
            self.members.watch_closely(name, now);
        }
    }

    /// Asks owners whose racks have tasks waiting for some, where an own rack has room and nothing waits.
    pub(super) fn request_waiting_tasks(&mut self, now: Time, out: &mut Effects) {
        if self.is_draining() {
            return;
        }
        for (to, rooms) in self.owner.racks_with_space(now) {
            let Some((from, contact)) = self.entry.busiest_rack(to) else {
                continue;
            };
            self.entry.on_tasks_requested(from, rooms.len() as u32);
            out.messages
                .push((contact, Message::Want { from, to, rooms }));
        }
    }
}
