//! What the instance tells its peers: that it lives, what room it has, and what they lack.

use std::rc::Rc;

use super::{
    member::HEARTBEAT,
    message::{
        Beat,
        Claim,
        Contact,
        Letter,
        Output,
        Pulse,
        Record,
        Vacancy, //
    },
    owner::Effects,
    Dispatcher, //
};
use crate::prelude::*;

/// Between pulses about room: three times shorter than the shortest tasks, so that most of what ends is
/// known before the next job is placed; a tenth of the interval would cost ten times the messages.
const ROOMS: Span = Span::millis(20);

/// Between pulses that tell the room of all racks: one that told a change may have been lost.
const REFRESH: Span = Span::millis(500);

/// Peers that are told of room every [`ROOMS`]; with more of them the interval grows, so that an instance sends 400
/// pulses a second at the most.
const AUDIENCE: u64 = 8;

/// Racks in one pulse, so that it fits in one packet.
const RACKS: usize = 6;

/// How long a peer may have an older configuration, or list of endpoints, before it gets this instance's: most
/// hear it from the store at the same time.
const BEHIND: (Span, Span) = (Span::millis(300), Span::millis(1_000));

impl Dispatcher {
    /// Gives a peer the configuration and the endpoints that it hasn't heard of for a while: the store may turn
    /// it away.
    pub(super) fn help(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let own = self.configuration.as_ref().map_or(0, |c| c.version);
        let roster = match self.listed {
            true => self.roster.version,
            false => 0,
        };
        let (lacks_configuration, lacks_roster) =
            self.members.behind(&to.name, own, roster, BEHIND, now);
        if let Some(own) = self.configuration.as_ref().filter(|_| lacks_configuration) {
            let letter = Letter::Configuration(Box::new(own.clone()));
            out.letters.push((to.clone(), letter));
        }
        if lacks_roster {
            let letter = Letter::Roster(Box::new(self.roster.clone()));
            out.letters.push((to.clone(), letter));
        }
    }

    /// Tells a member that has just come all that it must know to place tasks.
    pub(super) fn greet(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let record = Record::new("member_heard").with("member", to.name.as_str());
        out.outputs.push(Output::Log(record));
        let members = self.members.live().map(|m| m.contact.clone()).collect();
        out.letters.push((to.clone(), Letter::Members(members)));
        let rooms = self.owner.rooms(true, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.pulse(Some(to), rooms, now, out);
    }

    /// Sends pulses with `rooms` to one member or to all.
    pub(super) fn pulse(
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
        for part in parts {
            let pulse = Rc::new(self.own_pulse(part, now));
            if let Some(to) = to {
                out.outputs.push(Output::Pulse(to.clone(), pulse));
                continue;
            }
            for member in self.members.all() {
                let to = member.contact.clone();
                out.outputs.push(Output::Pulse(to, pulse.clone()));
            }
        }
    }

    pub(super) fn own_pulse(&self, rooms: Vec<Vacancy>, now: Time) -> Pulse {
        Pulse {
            sent: now,
            beat: self.own_beat(),
            rooms,
        }
    }

    pub(super) fn own_beat(&self) -> Beat {
        let claim = |(rack, token)| Claim { rack, token };
        let ceded = self.ceded.iter().map(|(claim, _)| *claim);
        Beat {
            epoch: self.epoch,
            configuration: self.configuration.as_ref().map_or(0, |c| c.version),
            roster: match self.listed {
                true => self.roster.version,
                false => 0,
            },
            draining: self.draining(),
            share: self.identity.share,
            racks: self.owner.racks().map(claim).chain(ceded).collect(),
        }
    }

    pub(super) fn tell_all(&self, letter: Letter, out: &mut Effects) {
        for member in self.members.live() {
            out.letters.push((member.contact.clone(), letter.clone()));
        }
    }

    /// Tells peers that it lives, and of room that has changed.
    pub(super) fn tell(&mut self, now: Time, out: &mut Effects) {
        let peers = self.members.live().count() as u64;
        let interval = Span(ROOMS.0 * peers.max(AUDIENCE) / AUDIENCE);
        let due = now.since(self.beat) >= HEARTBEAT;
        let changed = now.since(self.rooms) >= interval && self.owner.changed(now);
        if !due && !changed {
            return;
        }
        let all = now.since(self.refresh) >= REFRESH;
        if all {
            self.refresh = now;
        }
        let rooms = self.owner.rooms(all, now);
        (self.beat, self.rooms) = (now, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.pulse(None, rooms, now, out);
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
            out.letters
                .push((contact, Letter::Want { from, to, rooms }));
        }
    }
}
