//! The choice of the peers that get the next heartbeats.

use std::collections::BTreeMap;

use super::{
    Membership,
    Peer, //
};
use crate::prelude::*;

/// The most heartbeats in one period, however many peers there are.
const HEARTBEATS: usize = 6;

/// The least of them that go to the own data centre, while it has so many peers.
const OWN_CENTRE: usize = 4;

/// How many peers of each other data centre are chosen.
const CHOSEN: usize = 2;

/// By how much the period grows once there are more peers than heartbeats.
pub(super) const STRETCH: u64 = 2;

impl Membership {
    /// Tells whether some peers get no heartbeat from here, since another data centre has more than are chosen there.
    pub(super) fn has_uncalled(&self) -> bool {
        let mut counts = BTreeMap::<&Centre, usize>::new();
        for peer in self
            .peers
            .values()
            .filter(|peer| peer.centre != self.centre)
        {
            *counts.entry(&peer.centre).or_default() += 1;
        }
        counts.values().any(|count| *count > CHOSEN)
    }

    /// Returns who gets a heartbeat now, and whether there are more who should than can.
    ///
    /// All of the own data centre and two of each other one are called in turn, those first with whom there has been
    /// no contact for longest. A call goes both ways, so a peer that called lately is left out.
    pub(super) fn targets(&self, now: Time) -> (Vec<Instance>, bool) {
        let (mut own, mut other) = (Vec::new(), BTreeMap::<&Centre, Vec<&Peer>>::new());
        for peer in self.peers.values().filter(|peer| !peer.address.is_empty()) {
            if peer.centre == self.centre {
                own.push(peer);
            } else {
                other.entry(&peer.centre).or_default().push(peer);
            }
        }
        let mut other: Vec<&Peer> = other.into_values().flat_map(chosen).collect();
        let crowded = own.len() + other.len() > HEARTBEATS;
        let due = |peer: &&Peer| {
            let lately = |contact| now.since(contact).0 < self.heartbeat.0 / 2;
            !peer.last_contact().is_some_and(lately)
        };
        own.retain(due);
        other.retain(due);
        let first = OWN_CENTRE.max(HEARTBEATS.saturating_sub(other.len()));
        let mut targets = least_recent(own, first);
        targets.extend(least_recent(
            other,
            HEARTBEATS - targets.len().min(HEARTBEATS),
        ));
        (targets, crowded)
    }
}

/// Chooses among the peers of a data centre: different instances choose different ones, each keeps to its choice
/// while they are there.
fn chosen(mut peers: Vec<&Peer>) -> Vec<&Peer> {
    peers.sort_by_key(|peer| (!peer.alive, peer.rank));
    peers.truncate(CHOSEN);
    peers
}

fn least_recent(mut peers: Vec<&Peer>, count: usize) -> Vec<Instance> {
    peers.sort_by_key(|peer| peer.last_contact());
    peers.truncate(count);
    peers.into_iter().map(|peer| peer.name.clone()).collect()
}
