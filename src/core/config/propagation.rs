//! Notifies peers of changes, and answers their calls.
//!
//! The instance that commits a change notifies every instance that is alive in its own data centre, and one in each
//! other, which passes it on inside.

use std::collections::BTreeSet;

use super::{
    call::{
        Announcement,
        Call,
        Page,
        Return,
        MAX_MESSAGE_BYTES, //
    },
    row::Stored,
    state::{
        Delivery,
        Purpose, //
    },
    Config,
    Output, //
};
use crate::{
    core::message::IncomingCall,
    prelude::*,
    record::Name, //
};

/// How many instances of another data centre are tried, one after another.
const TRIES: usize = 3;

/// Changes of which peers are still to be notified.
#[derive(Debug, Default)]
pub(super) struct Notification {
    /// The revision before them; none where there are none.
    after: Option<Revision>,
    /// Whether the other data centres are to be notified too.
    outward: bool,
}

/// Ranks instances for a duty in a data centre by rendezvous hashing: all who know the same ones agree on the order.
pub fn rank_instances<'a>(
    centre: &Centre,
    names: impl IntoIterator<Item = &'a Instance>,
) -> Vec<&'a Instance> {
    let mut names: Vec<_> = names.into_iter().collect();
    names.sort_by_cached_key(|name| Digest::of(format!("{centre}/{name}").as_bytes()));
    names
}

impl Config {
    /// Notes that the peers inside the data centre are to be notified of what came after `revision`.
    pub(super) fn note_change(&mut self, revision: Revision) {
        self.notification.after.get_or_insert(revision);
    }

    /// Notes that a change was committed here, of which all data centres are to be notified.
    pub(super) fn note_commit(&mut self, revision: Revision) {
        self.note_change(revision);
        self.notification.outward = true;
    }

    pub(super) fn notify(&mut self) {
        let notification = std::mem::take(&mut self.notification);
        let Some(after) = notification.after else {
            return;
        };
        let head = self.revision();
        let behind = self.peers.values().filter(|p| p.alive && p.revision < head);
        let (inside, outside): (Vec<_>, Vec<_>) = behind.partition(|p| p.centre == self.centre);
        let inside: Vec<Instance> = inside.into_iter().map(|p| p.name.clone()).collect();
        let centres: BTreeSet<Centre> = outside.into_iter().map(|p| p.centre.clone()).collect();
        for to in inside {
            let outward = None;
            self.announce(Delivery { to, after, outward });
        }
        for centre in centres.into_iter().filter(|_| notification.outward) {
            self.announce_outward(centre, after, 0);
        }
    }

    fn announce_outward(&mut self, centre: Centre, after: Revision, tried: usize) {
        let alive = self
            .peers
            .values()
            .filter(|p| p.alive && p.centre == centre);
        let ranked = rank_instances(&centre, alive.map(|peer| &peer.name));
        if let Some(to) = ranked.get(tried).map(|name| (*name).clone()) {
            let outward = Some((centre, tried));
            self.announce(Delivery { to, after, outward });
        }
    }

    fn announce(&mut self, delivery: Delivery) {
        let changes = self.applied.since(delivery.after, MAX_MESSAGE_BYTES);
        let announcement = Announcement {
            from: self.name.clone(),
            head: self.revision(),
            changes: changes.unwrap_or_default(),
            relay: delivery.outward.is_some(),
        };
        let to = delivery.to.clone();
        // What can't be sent now is found by the peer's poll, or by the heartbeats.
        let _ = self.call(
            Purpose::Announce(delivery),
            to,
            Call::Announce(announcement),
        );
    }

    pub(super) fn announced(&mut self, delivery: Delivery, result: Option<Return>) {
        match (result, delivery.outward) {
            (Some(Return::Applied(revision)), _) => self.note_peer(&delivery.to, revision),
            (_, Some((centre, tried))) if tried + 1 < TRIES => {
                self.announce_outward(centre, delivery.after, tried + 1);
            }
            _ => {}
        }
    }

    fn note_peer(&mut self, name: &Instance, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.revision = peer.revision.max(revision);
        }
    }

    pub(super) fn on_call(&mut self, caller: IncomingCall, call: Call) {
        self.stats.returns += 1;
        let value = match call {
            Call::Announce(announcement) => self.notified(announcement),
            _ if !self.is_ready() => Return::Unready,
            Call::Fetch { after } => match self.applied.since(after, MAX_MESSAGE_BYTES) {
                Some(changes) => Return::Changes(changes),
                None => Return::Gap,
            },
            Call::Snapshot { after } => Return::Page(self.page(after.as_ref())),
        };
        self.outputs.push(Output::Return(caller, value));
    }

    fn notified(&mut self, announcement: Announcement) -> Return {
        self.note_notified();
        self.note_peer(&announcement.from, announcement.head);
        self.aim(announcement.head);
        if announcement.relay && announcement.head > self.revision() {
            self.sync.relay = self.sync.relay.max(announcement.head);
        }
        self.apply_all(announcement.changes);
        Return::Applied(self.revision())
    }

    fn page(&self, after: Option<&Name>) -> Page {
        let mut bytes = 0;
        let mut records = Vec::new();
        let mut more = false;
        for (name, entry) in self.applied.set().iter_after(after) {
            bytes += entry.record.text.len() + size_of::<Stored>();
            if bytes > MAX_MESSAGE_BYTES && !records.is_empty() {
                more = true;
                break;
            }
            records.push(Stored {
                name: name.clone(),
                revision: entry.revision,
                text: entry.record.text.clone(),
            });
        }
        let revision = self.revision();
        Page {
            revision,
            records,
            more,
        }
    }
}
