//! What is known of one other instance.

use sha2::Digest as _;

use crate::{
    core::message::Sighting,
    prelude::*, //
    table::wire::State,
};

/// Sightings that go along with each heartbeat, all peers in turn.
pub(super) const SIGHTINGS: usize = 4;

/// The most that go along besides while there are new incarnations.
pub(super) const NEWS: usize = 8;

/// How often a new incarnation is passed on ahead of its turn.
pub(super) const PASSES: u8 = 4;

/// The age past which a sighting is not passed on.
const OLDEST: Span = Span::seconds(120);

/// How many spans of silence a failed call speaks against a peer that is not called any more.
const FORGIVEN: u64 = 15;

/// After so many spans of silence, a peer that nobody has seen any more counts as gone, whatever the list says.
///
/// Sightings grow old on their way over several instances: in a trial with 320 of them to about two minutes.
const STALE: u64 = 90;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Where it listens to its peers; empty while the list has not told it.
    pub address: String,
    /// The configuration that it applied when it was last heard.
    pub revision: Revision,
    /// Its incarnation, as far as known.
    pub incarnation: Option<Incarnation>,
    /// Whether it is taken to be there.
    pub alive: bool,
    pub(super) listed: Option<State>,
    /// When it was first listed or heard.
    pub(super) known: Time,
    /// When this instance heard it.
    pub(super) heard: Option<Time>,
    /// When anybody heard it, as far as known.
    pub(super) seen: Option<Time>,
    /// When it was last called with a heartbeat.
    pub(super) asked: Option<Time>,
    /// The first heartbeat since it was heard.
    pub(super) unanswered: Option<Time>,
    /// When a call to it failed, unless it was heard since.
    pub(super) lost: Option<Time>,
    /// How often its incarnation is still to be passed on ahead of its turn.
    pub(super) news: u8,
    /// Whether it was last told as found.
    pub(super) told: bool,
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
            asked: None,
            unanswered: None,
            lost: None,
            news: 0,
            told: false,
            rank: rank(me.as_str(), name),
        }
    }

    /// Notes that a heartbeat goes to it.
    pub(super) fn ask(&mut self, now: Time) {
        self.asked = Some(now);
        self.unanswered.get_or_insert(now);
    }

    /// Drops what speaks against it.
    pub(super) fn forgive(&mut self) {
        self.unanswered = None;
        self.lost = None;
    }

    /// Tells whether it is taken to be there.
    ///
    /// One that is called counts until it has been silent for long enough or a call failed. One that is not called
    /// counts as the list says, unless it was seen by others and is not any more.
    pub(super) fn believed(&self, now: Time, silence: Span) -> bool {
        let forgiven = silence.times(FORGIVEN);
        let recent = |time: &Time| now.since(*time) < forgiven;
        if self.lost.as_ref().is_some_and(recent) {
            return false;
        }
        let asked_lately = self.asked.as_ref().is_some_and(recent);
        let silent = |since: Time| now.since(since) >= silence;
        if asked_lately && self.unanswered.is_some_and(silent) {
            return false;
        }
        let stale = |seen: Time| now.since(seen) >= silence.times(STALE);
        match self.listed {
            Some(_) => !stale(self.seen.unwrap_or(self.known)),
            None => self.seen.is_some_and(|seen| !silent(seen)),
        }
    }

    /// Returns the last contact between it and this instance.
    pub(super) fn contact(&self) -> Option<Time> {
        self.asked.max(self.heard)
    }

    /// Returns what can be passed on of it.
    pub(super) fn sighting(&self, now: Time) -> Option<Sighting> {
        let age = now.since(self.seen?);
        let incarnation = self.incarnation?;
        (age < OLDEST).then(|| Sighting {
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
