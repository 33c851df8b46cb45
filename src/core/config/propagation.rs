//! Announces changes to peers, and answers their calls.
//!
//! The instance that commits a change announces it to every live instance of its own data centre, and to one in each
//! other data centre, which relays it there.

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

/// How many instances of another data centre are tried at most, one after another.
const MAX_TRIES: usize = 3;

/// The changes that are still to be announced.
#[derive(Debug, Default)]
pub(super) struct PendingAnnouncement {
    /// The revision before the first of them; none if there are none.
    after: Option<Revision>,
    /// Whether they are announced to the other data centres too.
    to_other_centres: bool,
}

/// Ranks the instances of a data centre by rendezvous hashing.
///
/// Instances that know the same peers get the same order, so that they agree on who polls and who relays.
pub fn rank_instances<'a>(
    centre: &Centre,
    names: impl IntoIterator<Item = &'a Instance>,
) -> Vec<&'a Instance> {
    let mut names: Vec<_> = names.into_iter().collect();
    names.sort_by_cached_key(|name| Digest::of(format!("{centre}/{name}").as_bytes()));
    names
}

impl Config {
    /// Marks the changes after `revision` to be announced inside the data centre.
    pub(super) fn mark_for_announcement(&mut self, revision: Revision) {
        self.unannounced.after.get_or_insert(revision);
    }

    /// Marks the changes after `revision`, committed here, to be announced in all data centres.
    pub(super) fn mark_for_all_centres(&mut self, revision: Revision) {
        self.mark_for_announcement(revision);
        self.unannounced.to_other_centres = true;
    }

    /// Announces the marked changes to live peers that don't apply them yet.
    pub(super) fn announce_changes(&mut self) {
        let pending = std::mem::take(&mut self.unannounced);
        let Some(after) = pending.after else {
            return;
        };
        let head = self.revision();
        let behind = self.peers.values().filter(|p| p.alive && p.revision < head);
        let (near, far): (Vec<_>, Vec<_>) = behind.partition(|p| p.centre == self.centre);
        let near: Vec<Instance> = near.into_iter().map(|p| p.name.clone()).collect();
        let centres: BTreeSet<Centre> = far.into_iter().map(|p| p.centre.clone()).collect();
        for to in near {
            let remote = None;
            self.announce(Delivery { to, after, remote });
        }
        for centre in centres.into_iter().filter(|_| pending.to_other_centres) {
            self.announce_to_centre(centre, after, 0);
        }
    }

    /// Announces the changes after `after` to the best-ranked live instance of a data centre that wasn't tried yet.
    fn announce_to_centre(&mut self, centre: Centre, after: Revision, tried: usize) {
        let alive = self
            .peers
            .values()
            .filter(|p| p.alive && p.centre == centre);
        let ranked = rank_instances(&centre, alive.map(|peer| &peer.name));
        if let Some(to) = ranked.get(tried).map(|name| (*name).clone()) {
            let remote = Some((centre, tried));
            self.announce(Delivery { to, after, remote });
        }
    }

    fn announce(&mut self, delivery: Delivery) {
        let changes = self
            .applied
            .changes_after(delivery.after, MAX_MESSAGE_BYTES);
        let announcement = Announcement {
            from: self.name.clone(),
            head: self.revision(),
            changes: changes.unwrap_or_default(),
            relay: delivery.remote.is_some(),
        };
        let to = delivery.to.clone();
        // A peer that misses an announcement learns of the revision from a heartbeat or its own poll.
        let _ = self.start_call(
            Purpose::Announce(delivery),
            to,
            Call::Announce(announcement),
        );
    }

    /// Handles the return of an announcement; on a failure, tries the next instance of another data centre.
    pub(super) fn on_announce_return(&mut self, delivery: Delivery, result: Option<Return>) {
        match (result, delivery.remote) {
            (Some(Return::Applied(revision)), _) => {
                self.raise_peer_revision(&delivery.to, revision)
            }
            (_, Some((centre, tried))) if tried + 1 < MAX_TRIES => {
                self.announce_to_centre(centre, delivery.after, tried + 1);
            }
            _ => {}
        }
    }

    /// Records that a peer applies a revision.
    fn raise_peer_revision(&mut self, name: &Instance, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.revision = peer.revision.max(revision);
        }
    }

    /// Handles a call from a peer.
    pub(super) fn on_call(&mut self, incoming: IncomingCall, call: Call) {
        self.stats.returns += 1;
        let value = match call {
            Call::Announce(announcement) => self.on_announcement(announcement),
            _ if !self.is_ready() => Return::Unready,
            Call::Fetch { after } => match self.applied.changes_after(after, MAX_MESSAGE_BYTES) {
                Some(changes) => Return::Changes(changes),
                None => Return::Gap,
            },
            Call::Snapshot { after } => Return::Page(self.snapshot_page(after.as_ref())),
        };
        self.outputs.push(Output::Return(incoming, value));
    }

    /// Applies announced changes, and schedules the catch-up and the relay of what is missing.
    fn on_announcement(&mut self, announcement: Announcement) -> Return {
        self.record_announcement();
        self.raise_peer_revision(&announcement.from, announcement.head);
        self.raise_target(announcement.head);
        if announcement.relay && announcement.head > self.revision() {
            self.sync.relay_up_to = self.sync.relay_up_to.max(announcement.head);
        }
        self.apply_all(announcement.changes);
        Return::Applied(self.revision())
    }

    /// Returns the records after a name, as many as fit into one message.
    fn snapshot_page(&self, after: Option<&Name>) -> Page {
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
