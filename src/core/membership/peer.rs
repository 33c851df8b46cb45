//! The state of one peer: another instance.

use sha2::Digest as _;

use crate::{
    core::message::Observation,
    prelude::*,
    table::wire::State, //
};

/// The observations in each heartbeat, besides those of new incarnations; the peers take turns.
pub(super) const MAX_OBSERVATIONS: usize = 4;

/// The most observations of new incarnations in each heartbeat.
pub(super) const MAX_NEW_OBSERVATIONS: usize = 8;

/// How many heartbeats carry a new incarnation ahead of the peer's turn, so that restarts spread fast.
pub(super) const NEW_RETRANSMISSIONS: u8 = 4;

/// The age from which on an observation is not sent any more.
const MAX_OBSERVATION_AGE: Span = Span::seconds(120);

/// A failed call counts against a peer for this many times the silence timeout.
const FAILURE_SILENCES: u64 = 15;

/// A listed peer that nobody has seen for this many times the silence timeout counts as dead.
///
/// It has to exceed [`MAX_OBSERVATION_AGE`], since observations age on their way over several instances.
const STALE_SILENCES: u64 = 90;

/// Another instance, as this one sees it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// The address on which it listens to its peers; empty if it was never listed.
    pub address: String,
    /// The revision of the configuration in its last heartbeat.
    pub revision: Revision,
    /// Its incarnation, once known.
    pub incarnation: Option<Incarnation>,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Its state on the platform's list, if it is listed.
    pub(super) listed: Option<State>,
    /// When it was first listed or heard.
    pub(super) first_known: Time,
    /// When this instance last got a heartbeat of it.
    pub(super) heard: Option<Time>,
    /// When it last answered a heartbeat of this instance.
    pub(super) answered: Option<Time>,
    /// When any instance last got a heartbeat of it, as far as known.
    pub(super) seen: Option<Time>,
    /// When the last heartbeat was sent to it.
    pub(super) heartbeat_sent: Option<Time>,
    /// When the first heartbeat was sent to it since it was last heard.
    pub(super) unanswered_since: Option<Time>,
    /// When a call to it last failed, unless it was heard since.
    pub(super) call_failed: Option<Time>,
    /// How many more heartbeats carry its incarnation ahead of its turn.
    pub(super) retransmissions: u8,
    /// Whether it was alive in the last report.
    pub(super) reported_alive: bool,
    /// Its rank among the peers of its data centre; different for each observing instance.
    pub(super) rank: [u8; 32],
}

impl Peer {
    pub(super) fn new(now: Time, name: &Instance, centre: &Centre, own_name: &Instance) -> Self {
        Self {
            name: name.clone(),
            centre: centre.clone(),
            address: String::new(),
            revision: Revision::default(),
            incarnation: None,
            alive: false,
            listed: None,
            first_known: now,
            heard: None,
            answered: None,
            seen: None,
            heartbeat_sent: None,
            unanswered_since: None,
            call_failed: None,
            retransmissions: 0,
            reported_alive: false,
            rank: rank(own_name.as_str(), name),
        }
    }

    /// Records that a heartbeat is sent to it.
    pub(super) fn on_heartbeat_sent(&mut self, now: Time) {
        self.heartbeat_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Clears unanswered heartbeats and the failed call.
    pub(super) fn clear_failures(&mut self) {
        self.unanswered_since = None;
        self.call_failed = None;
    }

    /// Returns whether it counts as alive.
    ///
    /// A peer that gets heartbeats is dead once one has been unanswered for the silence timeout, or a call failed.
    /// Otherwise a listed peer is alive until nobody has seen it for [`STALE_SILENCES`], and a peer that is not listed
    /// until nobody has seen it for the silence timeout.
    pub(super) fn is_alive(&self, now: Time, silence: Span) -> bool {
        let expiry = silence.times(FAILURE_SILENCES);
        let recent = |time: &Time| now.since(*time) < expiry;
        if self.call_failed.as_ref().is_some_and(recent) {
            return false;
        }
        let recently_called = self.heartbeat_sent.as_ref().is_some_and(recent);
        let silent = |since: Time| now.since(since) >= silence;
        if recently_called && self.unanswered_since.is_some_and(silent) {
            return false;
        }
        let stale = |seen: Time| now.since(seen) >= silence.times(STALE_SILENCES);
        match self.listed {
            Some(_) => !stale(self.seen.unwrap_or(self.first_known)),
            None => self.seen.is_some_and(|seen| !silent(seen)),
        }
    }

    /// Returns when this instance last sent it a heartbeat or heard it.
    pub(super) fn last_contact(&self) -> Option<Time> {
        self.heartbeat_sent.max(self.heard)
    }

    /// Returns the observation of it to send to others, if it is recent enough.
    pub(super) fn observation(&self, now: Time) -> Option<Observation> {
        let age = now.since(self.seen?);
        let incarnation = self.incarnation?;
        (age < MAX_OBSERVATION_AGE).then(|| Observation {
            name: self.name.clone(),
            incarnation,
            age,
        })
    }
}

/// Returns the rank of an instance for a topic by rendezvous hashing; the same in all instances and versions.
fn rank(topic: &str, name: &Instance) -> [u8; 32] {
    let hash = sha2::Sha256::new();
    let hash = hash.chain_update(topic).chain_update([0]);
    hash.chain_update(name.as_str()).finalize().into()
}
