//! What the instance tells its peers: that it lives, what and what room it has.

use super::{
    member::HEARTBEAT,
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
    Dispatcher, //
};
use crate::prelude::*;

/// Between heartbeats about room: three times shorter than the shortest tasks, so that most of what ends is
/// known before the next job is placed; a tenth of the interval would cost ten times the messages.
const ROOMS: Span = Span::millis(20);

/// Between heartbeats that tell the room of all racks: one that told a change may have been lost.
const REFRESH: Span = Span::millis(500);

/// Peers that are told of room every [`ROOMS`]; with more of them the interval grows, so that an instance sends 400
/// heartbeats a second at the most.
const AUDIENCE: u64 = 8;

/// Racks in one heartbeat, so that it fits in one packet.
const RACKS: usize = 6;

impl Dispatcher {
    /// Tells a member that has just come all that it must know to place tasks.
    pub(super) fn greet(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let record = Record::new("member_heard").with("member", to.name.as_str());
        out.outputs.push(Output::Log(record));
        let members = self.members.live().map(|m| m.contact.clone()).collect();
        out.messages.push((to.clone(), Message::Members(members)));
        let rooms = self.owner.rooms(true, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.heartbeat(Some(to), rooms, now, out);
    }

    /// Sends heartbeats with `rooms` to one member or to all.
    pub(super) fn heartbeat(
        &mut self,
        to: Option<&Contact>,
        rooms: Vec<Vacancy>,
        now: Time,
        out: &mut Effects,
    ) {
        let mut parts: Vec<Vec<Vacancy>> = rooms.chunks(RACKS).map(<[Vacancy]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let status = self.own_status();
        let to: Vec<Contact> = match to {
            Some(to) => vec![to.clone()],
            None => self.members.all().map(|m| m.contact.clone()).collect(),
        };
        for rooms in parts {
            let heartbeat = Heartbeat {
                sent: now,
                status: status.clone(),
                rooms,
            };
            out.outputs.push(Output::Heartbeat(to.clone(), heartbeat));
        }
    }

    fn own_status(&self) -> Status {
        let claim = |(rack, token)| Claim { rack, token };
        let ceded = self.ceded.iter().map(|(claim, _)| *claim);
        Status {
            epoch: self.epoch,
            configuration: self.document_version(Document::Configuration),
            roster: self.document_version(Document::Roster),
            draining: self.draining(),
            share: self.identity.share,
            racks: self.owner.racks().map(claim).chain(ceded).collect(),
            shards: self.durable.coordinations(),
            pending: self.entry.pending().into_iter().collect(),
        }
    }

    pub(super) fn tell_all(&self, message: Message, out: &mut Effects) {
        for member in self.members.live() {
            out.messages.push((member.contact.clone(), message.clone()));
        }
    }

    /// Tells peers that it lives, and of room that has changed.
    pub(super) fn tell(&mut self, now: Time, out: &mut Effects) {
        let peers = self.members.live().count() as u64;
        let interval = Span(ROOMS.0 * peers.max(AUDIENCE) / AUDIENCE);
        let due = now.since(self.announced) >= HEARTBEAT;
        let changed = now.since(self.rooms) >= interval && self.owner.changed(now);
        if !due && !changed {
            return;
        }
        let all = now.since(self.refresh) >= REFRESH;
        if all {
            self.refresh = now;
        }
        let rooms = self.owner.rooms(all, now);
        (self.announced, self.rooms) = (now, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.heartbeat(None, rooms, now, out);
        self.want(now, out);
    }

    /// Asks owners whose racks have tasks waiting for some, where an own rack has room and nothing waits.
    pub(super) fn want(&mut self, now: Time, out: &mut Effects) {
        if self.draining() {
            return;
        }
        for (to, rooms) in self.owner.spacious(now) {
            let Some((from, contact)) = self.entry.busiest(to) else {
                continue;
            };
            self.entry.asked(from, rooms.len() as u32);
            out.messages
                .push((contact, Message::Want { from, to, rooms }));
        }
    }
}
