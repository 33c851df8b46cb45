//! Chooses the peers that get the next heartbeats.

use std::collections::BTreeMap;

use super::{
    Membership,
    Peer, //
};
use crate::prelude::*;

/// The most heartbeats in one period; it bounds the traffic at any number of instances.
const MAX_HEARTBEATS: usize = 6;

/// The heartbeats in one period that are reserved for the own data centre, if it has that many peers.
const MIN_OWN_CENTRE: usize = 4;

/// How many peers of each other data centre get heartbeats.
const PEERS_PER_CENTRE: usize = 2;

/// The factor by which the period grows when there are more peers than heartbeats.
pub(super) const CROWDED_FACTOR: u64 = 2;

impl Membership {
    /// Returns whether some peers never get a heartbeat from this instance, since another data centre has more than
    /// [`PEERS_PER_CENTRE`].
    pub(super) fn has_peers_without_heartbeats(&self) -> bool {
        let mut counts = BTreeMap::<&Centre, usize>::new();
        for peer in self
            .peers
            .values()
            .filter(|peer| peer.centre != self.centre)
        {
            *counts.entry(&peer.centre).or_default() += 1;
        }
        counts.values().any(|count| *count > PEERS_PER_CENTRE)
    }

    /// Returns the peers that get a heartbeat now, and whether there are more candidates than [`MAX_HEARTBEATS`].
    ///
    /// Candidates are all peers of the own data centre and [`PEERS_PER_CENTRE`] of each other one; those without
    /// contact for longest come first. A heartbeat is answered by one, so a peer that sent one recently is left out.
    pub(super) fn choose_targets(&self, now: Time) -> (Vec<Instance>, bool) {
        let (mut own, mut others) = (Vec::new(), BTreeMap::<&Centre, Vec<&Peer>>::new());
        for peer in self.peers.values().filter(|peer| !peer.address.is_empty()) {
            if peer.centre == self.centre {
                own.push(peer);
            } else {
                others.entry(&peer.centre).or_default().push(peer);
            }
        }
        let mut others: Vec<&Peer> = others.into_values().flat_map(choose_peers).collect();
        let crowded = own.len() + others.len() > MAX_HEARTBEATS;
        let is_due = |peer: &&Peer| {
            let recent = |contact| now.since(contact).0 < self.heartbeat.0 / 2;
            !peer.last_contact().is_some_and(recent)
        };
        own.retain(is_due);
        others.retain(is_due);
        let own_count = MIN_OWN_CENTRE.max(MAX_HEARTBEATS.saturating_sub(others.len()));
        let mut targets = take_least_recent(own, own_count);
        targets.extend(take_least_recent(
            others,
            MAX_HEARTBEATS - targets.len().min(MAX_HEARTBEATS),
        ));
        (targets, crowded)
    }
}

/// Chooses the peers of another data centre that get heartbeats.
///
/// The rank makes different instances choose different peers, and each keep its choice while the peers are alive.
fn choose_peers(mut peers: Vec<&Peer>) -> Vec<&Peer> {
    peers.sort_by_key(|peer| (!peer.alive, peer.rank));
    peers.truncate(PEERS_PER_CENTRE);
    peers
}

/// Returns up to `count` peers, those without contact for longest first.
fn take_least_recent(mut peers: Vec<&Peer>, count: usize) -> Vec<Instance> {
    peers.sort_by_key(|peer| peer.last_contact());
    peers.truncate(count);
    peers.into_iter().map(|peer| peer.name.clone()).collect()
}
