//! What is known of one other instance.

use sha2::Digest as _;

use crate::{
    core::message::Observation,
    prelude::*, //
    table::wire::State,
};

/// Observations that go along with each heartbeat, all peers in turn.
pub(super) const OBSERVATIONS: usize = 4;

/// The most observations of new incarnations that go along besides.
pub(super) const NEW_OBSERVATIONS: usize = 8;

/// How often a new incarnation is passed on ahead of its turn, so that it spreads faster than its turn comes.
pub(super) const RETRANSMISSIONS: u8 = 4;

/// The age past which an observation is not passed on.
const OLDEST: Span = Span::seconds(120);

/// How many spans of silence a failed call counts against a peer that is not called any more.
const FAILURE_EXPIRY: u64 = 15;

/// After so many spans of silence, a peer that nobody has seen any more counts as gone, whatever the list says.
///
/// Observations grow old on their way over several instances: in a trial with 320 of them to about two minutes.
const STALE: u64 = 90;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Where it listens to its peers; empty while it was never listed.
    pub address: String,
    /// The configuration that it applied when it was last heard.
    pub revision: Revision,
    /// Its incarnation, as far as known.
    pub incarnation: Option<Incarnation>,
    /// Whether it counts as alive.
    pub alive: bool,
    pub(super) listed: Option<State>,
    /// When it was first listed or heard.
    pub(super) known: Time,
    /// When this instance heard it.
    pub(super) heard: Option<Time>,
    /// When anybody heard it, as far as known.
    pub(super) seen: Option<Time>,
    /// When the last heartbeat went to it.
    pub(super) heartbeat_sent: Option<Time>,
    /// When the first heartbeat went to it since it was heard.
    pub(super) unanswered: Option<Time>,
    /// When a call to it failed, unless it was heard since.
    pub(super) lost: Option<Time>,
    /// How often its incarnation is still to be passed on ahead of its turn.
    pub(super) retransmissions: u8,
    /// Whether it was alive when a change was last reported.
    pub(super) reported_alive: bool,
    /// Its rank among those of its data centre that this instance may choose.
    pub(super) rank: [u8; 32],
}

impl Peer {
    pub(super) fn new(now: Time, name: &Instance, centre: &Centre, me: &Instance) -> Self {
        Self {
            name: name.clone(),
            centre: centre.clone(),
            address: String::new(),
            revision: Revision::default(),
            incarnation: None,
            alive: false,
            listed: None,
            known: now,
            heard: None,
            seen: None,
            heartbeat_sent: None,
            unanswered: None,
            lost: None,
            retransmissions: 0,
            reported_alive: false,
            rank: rank(me.as_str(), name),
        }
    }

    /// Notes that a heartbeat goes to it.
    pub(super) fn note_heartbeat(&mut self, now: Time) {
        self.heartbeat_sent = Some(now);
        self.unanswered.get_or_insert(now);
    }

    /// Forgets heartbeats without an answer and failed calls.
    pub(super) fn clear_failures(&mut self) {
        self.unanswered = None;
        self.lost = None;
    }

    /// Tells whether it counts as alive.
    ///
    /// One that is called counts until it has been silent for long enough or a call failed. One that is not called
    /// counts as the list says, unless it was seen by others and is not any more.
    pub(super) fn is_alive(&self, now: Time, silence: Span) -> bool {
        let expiry = silence.times(FAILURE_EXPIRY);
        let recent = |time: &Time| now.since(*time) < expiry;
        if self.lost.as_ref().is_some_and(recent) {
            return false;
        }
        let called_lately = self.heartbeat_sent.as_ref().is_some_and(recent);
        let silent = |since: Time| now.since(since) >= silence;
        if called_lately && self.unanswered.is_some_and(silent) {
            return false;
        }
        let stale = |seen: Time| now.since(seen) >= silence.times(STALE);
        match self.listed {
            Some(_) => !stale(self.seen.unwrap_or(self.known)),
            None => self.seen.is_some_and(|seen| !silent(seen)),
        }
    }

    /// Returns the last contact between it and this instance.
    pub(super) fn last_contact(&self) -> Option<Time> {
        self.heartbeat_sent.max(self.heard)
    }

    /// Returns the observation that can be passed on of it.
    pub(super) fn observation(&self, now: Time) -> Option<Observation> {
        let age = now.since(self.seen?);
        let incarnation = self.incarnation?;
        (age < OLDEST).then(|| Observation {
            name: self.name.clone(),
            incarnation,
            age,
        })
    }
}

/// Ranks an instance for a topic; all instances and versions rank alike.
fn rank(topic: &str, name: &Instance) -> [u8; 32] {
    let hash = sha2::Sha256::new();
    let hash = hash.chain_update(topic).chain_update([0]);
    hash.chain_update(name.as_str()).finalize().into()
}
