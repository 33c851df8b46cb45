//! How an instance learns of the other members: from the store's list, or from a peer while the store can't be read.
//!
//! An instance contacts all members that it finds, and these hear it then, so that members needn't tell each other about it.

use super::{
    message::{
        Contact,
        LogRecord,
        Message,
        Output, //
    },
    owner::Effects,
    Dispatcher, //
};
use crate::prelude::*;

/// The interval at which an instance that can't read the store asks a peer for the members.
const SEARCH_INTERVAL: Span = Span::seconds(1);

/// The search for members among peers.
#[derive(Debug, Default)]
pub(super) struct MemberSearch {
    /// When a peer was last asked.
    asked_at: Option<Time>,
    /// The number of requests so far.
    count: usize,
}

impl MemberSearch {
    /// Returns which of `live` peers to ask now, if a request is due. They're asked in turn, since one may know few members.
    fn next(&mut self, live: usize, now: Time) -> Option<usize> {
        let due = self
            .asked_at
            .is_none_or(|at| now.since(at) >= SEARCH_INTERVAL);
        if live == 0 || !due {
            return None;
        }
        self.asked_at = Some(now);
        self.count += 1;
        Some((self.count - 1) % live)
    }
}

impl Dispatcher {
    /// Asks a peer for the members, while the store's list can't be read.
    pub(super) fn search_members(&mut self, now: Time, out: &mut Effects) {
        let Some(search) = &mut self.member_search else {
            return;
        };
        let next = search.next(self.members.live().count(), now);
        if let Some(member) = next.and_then(|i| self.members.live().nth(i)) {
            out.messages
                .push((member.contact.clone(), Message::Members(Vec::new())));
        }
    }

    /// Sends the live members to a peer.
    pub(super) fn send_members(&self, to: &Contact, out: &mut Effects) {
        let members = self.members.live().map(|m| m.contact.clone()).collect();
        out.messages.push((to.clone(), Message::Members(members)));
    }

    /// Adds members that the store or a peer has named; new ones are sent heartbeats.
    pub(super) fn on_members_found(&mut self, contacts: &[Contact], now: Time, out: &mut Effects) {
        for contact in contacts {
            if contact.name != self.identity.contact.name && self.members.add(contact, now) {
                let record = LogRecord::new("member_found").with("member", contact.name.as_str());
                out.outputs.push(Output::Log(record));
            }
        }
    }
}
