//! Membership: which instances are alive, from the platform's list, which lags behind, and from heartbeats.
//!
//! The view decides which peer is asked first and how shared limits are divided. A wrong view costs time only: a task
//! never runs twice because of it, since no instance takes over another's claim.

mod peer;
mod target;

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet,
        VecDeque, //
    },
    ops::Bound, //
};

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

pub use self::peer::Peer;
use crate::{
    core::message::{
        Heartbeat,
        Observation, //
    },
    prelude::*,
    settings::Timing,
    table::wire::Member, //
};

/// The most peers that are kept at once.
const MAX_PEERS: usize = 1 << 12;

/// The most ended incarnations that are remembered; the oldest ones are dropped first.
const MAX_ENDED: usize = 1 << 12;

/// A peer that is not listed is removed after this many times the silence timeout.
const EXPIRY_SILENCES: u64 = 30;

/// A heartbeat to send, or a change to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Heartbeat {
        /// The peer.
        to: Instance,
        /// The address on which it listens.
        address: String,
    },
    /// A peer became alive.
    Found(Instance),
    /// A peer is silent, has ended or can't be reached.
    Lost(Instance),
}

/// The instances as this one sees them.
#[derive(Debug)]
pub struct Membership {
    own_name: Instance,
    centre: Centre,
    incarnation: Incarnation,
    /// The period of heartbeats.
    heartbeat: Span,
    /// The silence timeout: a peer that is silent for so long counts as dead.
    silence: Span,
    random: SmallRng,
    peers: BTreeMap<Instance, Peer>,
    /// The peer that runs under each incarnation.
    owners: HashMap<Incarnation, Instance>,
    ended: HashSet<Incarnation>,
    ended_order: VecDeque<Incarnation>,
    /// The number of live instances, this one included.
    live: usize,
    next_heartbeat: Time,
    /// The peer whose observation was sent last. It starts at the own name, so that instances start at different peers.
    cursor: Instance,
    /// Whether heartbeats carry observations: needed where some instances get no heartbeat from some others.
    forwards_observations: bool,
}

impl Membership {
    /// Creates the view of an instance that knows no peer yet.
    pub fn new(
        own_name: Instance,
        centre: Centre,
        incarnation: Incarnation,
        timing: &Timing,
        seed: u64,
    ) -> Self {
        Self {
            cursor: own_name.clone(),
            own_name,
            centre,
            incarnation,
            heartbeat: timing.heartbeat_interval,
            silence: timing.peer_timeout,
            random: SmallRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            owners: HashMap::new(),
            ended: HashSet::new(),
            ended_order: VecDeque::new(),
            live: 1,
            next_heartbeat: Time::default(),
            forwards_observations: true,
        }
    }

    /// Applies the platform's list. A peer that it leaves out stays alive as long as it is heard.
    pub fn apply_list(&mut self, now: Time, members: &[Member]) {
        for peer in self.peers.values_mut() {
            peer.listed = None;
        }
        for member in members.iter().filter(|member| member.name != self.own_name) {
            if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&member.name) {
                continue;
            }
            let peer = self.peers.entry(member.name.clone());
            let peer = peer
                .or_insert_with(|| Peer::new(now, &member.name, &member.centre, &self.own_name));
            peer.listed = Some(member.state);
            peer.centre.clone_from(&member.centre);
            if peer.address != member.address {
                peer.address.clone_from(&member.address);
                peer.clear_failures();
            }
        }
        self.update_all_liveness(now);
    }

    /// Handles a heartbeat, whether a peer sent it or returned it.
    ///
    /// A new incarnation under the same name replaces the old one.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        if heartbeat.name == self.own_name {
            return;
        }
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&heartbeat.name) {
            return;
        }
        // A delayed heartbeat of the old incarnation must not replace the new one. If the one taken for newer is silent
        // while the other goes on, the order was wrong, and the other is taken.
        let silence = self.silence;
        let ended = self.ended.contains(&heartbeat.incarnation);
        let peer = self.peers.entry(heartbeat.name.clone());
        let peer = peer
            .or_insert_with(|| Peer::new(now, &heartbeat.name, &heartbeat.centre, &self.own_name));
        if ended && peer.heard.is_some_and(|heard| now.since(heard) < silence) {
            return;
        }
        peer.heard = Some(now);
        peer.seen = Some(now);
        peer.clear_failures();
        peer.revision = heartbeat.revision;
        self.set_incarnation(&heartbeat.name, heartbeat.incarnation);
        self.update_liveness(now, &heartbeat.name);
    }

    /// Records that a peer answered a heartbeat of this instance.
    pub fn on_answer(&mut self, now: Time, name: &Instance) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.answered = Some(now);
        }
    }

    /// Returns whether a peer has answered a heartbeat since `time`.
    pub fn has_answered_since(&self, time: Time, name: &Instance) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.answered.is_some_and(|answered| answered >= time))
    }

    /// Handles a failed call to a peer: it counts as dead until it is heard again, or the failure expires.
    pub fn on_call_failed(&mut self, now: Time, name: &Instance) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.call_failed = Some(now);
        }
        self.update_liveness(now, name);
    }

    /// Handles a peer's observations of others. They don't override newer ones, nor this instance's own failed calls
    /// and unanswered heartbeats.
    pub fn on_observations(&mut self, now: Time, observations: &[Observation]) {
        for observation in observations {
            let Some(peer) = self.peers.get_mut(&observation.name) else {
                continue;
            };
            let seen = Time(now.0.saturating_sub(observation.age.0));
            let current = peer.incarnation;
            let newer = peer.seen.is_none_or(|last_seen| seen > last_seen);
            if current != Some(observation.incarnation) {
                if current.is_some() && !newer || self.ended.contains(&observation.incarnation) {
                    continue;
                }
                self.set_incarnation(&observation.name, observation.incarnation);
            }
            if let Some(peer) = self.peers.get_mut(&observation.name).filter(|_| newer) {
                peer.seen = Some(seen);
            }
            self.update_liveness(now, &observation.name);
        }
    }

    /// Returns the observations for the next heartbeat, new incarnations first, and advances the cursor past them.
    pub fn next_observations(&mut self, now: Time) -> Vec<Observation> {
        let mut observations = Vec::new();
        let start = (Bound::Excluded(&self.cursor), Bound::Unbounded);
        let new = self.peers.range(start).chain(&self.peers);
        let new = new
            .filter(|(_, peer)| peer.retransmissions > 0)
            .take(peer::MAX_NEW_OBSERVATIONS);
        let names: Vec<Instance> = new.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.retransmissions = peer.retransmissions.saturating_sub(1);
                observations.extend(peer.observation(now));
            }
        }
        let limit = observations.len()
            + if self.forwards_observations {
                peer::MAX_OBSERVATIONS
            } else {
                0
            };
        let rest = self.peers.range(start).chain(&self.peers);
        let mut last = None;
        for (name, peer) in rest.take(self.peers.len()) {
            if observations.len() >= limit {
                break;
            }
            observations.extend(peer.observation(now));
            last = Some(name);
        }
        if let Some(last) = last.cloned() {
            self.cursor = last;
        }
        observations
    }

    /// Returns the heartbeats that are due, and the peers found or lost since the last call.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.remove_expired(now);
        self.update_all_liveness(now);
        let mut actions = self.take_changes();
        let (targets, crowded) = self.choose_targets(now);
        self.forwards_observations = crowded || self.has_peers_without_heartbeats();
        let period = self
            .heartbeat
            .times(if crowded { target::CROWDED_FACTOR } else { 1 });
        let jitter = self.random.random_range(0..=period.0 / 10);
        self.next_heartbeat = now + (period - Span(jitter));
        for name in targets {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            peer.on_heartbeat_sent(now);
            let address = peer.address.clone();
            actions.push(Action::Heartbeat { to: name, address });
        }
        actions
    }

    /// Returns the name and address of the peer that runs under an incarnation.
    pub fn owner(&self, incarnation: Incarnation) -> Option<(Instance, String)> {
        let name = self.owners.get(&incarnation)?;
        let peer = self.peers.get(name)?;
        (!peer.address.is_empty()).then(|| (name.clone(), peer.address.clone()))
    }

    /// Returns whether all live peers have been heard, or the silence timeout has passed since `since`.
    ///
    /// Before that, an instance doesn't know its peers' incarnations and would report the owner of a key as lost
    /// while it runs.
    pub fn has_converged(&self, now: Time, since: Time) -> bool {
        let settled = |peer: &Peer| peer.heard.is_some() || !peer.is_alive(now, self.silence);
        now.since(since) >= self.silence || self.peers.values().all(settled)
    }

    /// Returns the address of a peer, if it was ever listed.
    pub fn address(&self, name: &Instance) -> Option<String> {
        let peer = self.peers.get(name)?;
        (!peer.address.is_empty()).then(|| peer.address.clone())
    }

    /// Returns whether an incarnation is known to have ended, since its name runs under another.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Returns whether a peer counts as alive; this instance always does.
    pub fn is_alive(&self, now: Time, name: &Instance) -> bool {
        *name == self.own_name
            || self
                .peers
                .get(name)
                .is_some_and(|peer| peer.is_alive(now, self.silence))
    }

    /// Returns how many instances are alive, this one included.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns how many instances in `centres` are alive, this one included; no centres means all.
    pub fn live_count_in(&self, centres: &[Centre]) -> usize {
        if centres.is_empty() {
            return self.live;
        }
        let near = |peer: &&Peer| peer.alive && centres.contains(&peer.centre);
        1 + self.peers.values().filter(near).count()
    }

    /// Iterates over the other instances.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Sets the incarnation under which a peer runs and marks the one before as ended.
    fn set_incarnation(&mut self, name: &Instance, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.incarnation == Some(incarnation) {
            return;
        }
        peer.retransmissions = peer::NEW_RETRANSMISSIONS;
        if let Some(old) = peer.incarnation.replace(incarnation) {
            self.mark_ended(old);
        }
        self.ended.remove(&incarnation);
        self.owners.insert(incarnation, name.clone());
    }

    /// Remembers an incarnation as ended; the oldest is dropped beyond [`MAX_ENDED`].
    fn mark_ended(&mut self, incarnation: Incarnation) {
        self.owners.remove(&incarnation);
        if self.ended.insert(incarnation) {
            self.ended_order.push_back(incarnation);
        }
        while self.ended_order.len() > MAX_ENDED {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
    }

    /// Removes peers that are not listed and have not been seen for [`EXPIRY_SILENCES`].
    fn remove_expired(&mut self, now: Time) {
        let wait = self.silence.times(EXPIRY_SILENCES);
        let owners = &mut self.owners;
        self.peers.retain(|_, peer| {
            let seen = peer.seen.is_some_and(|seen| now.since(seen) < wait);
            let kept = peer.listed.is_some() || seen;
            if let Some(incarnation) = peer.incarnation.filter(|_| !kept) {
                owners.remove(&incarnation);
            }
            kept
        });
    }

    /// Updates whether one peer is alive, and the count of live instances.
    fn update_liveness(&mut self, now: Time, name: &Instance) {
        if let Some(peer) = self.peers.get_mut(name) {
            self.live -= usize::from(peer.alive);
            peer.alive = peer.is_alive(now, self.silence);
            self.live += usize::from(peer.alive);
        }
    }

    /// Updates whether each peer is alive, and the count of live instances.
    fn update_all_liveness(&mut self, now: Time) {
        self.live = 1;
        for peer in self.peers.values_mut() {
            peer.alive = peer.is_alive(now, self.silence);
            self.live += usize::from(peer.alive);
        }
    }

    /// Returns the peers found or lost since the last call.
    fn take_changes(&mut self) -> Vec<Action> {
        let changed = |peer: &&mut Peer| peer.reported_alive != peer.alive;
        let peers = self.peers.values_mut().filter(changed);
        peers
            .map(|peer| {
                peer.reported_alive = peer.alive;
                match peer.alive {
                    true => Action::Found(peer.name.clone()),
                    false => Action::Lost(peer.name.clone()),
                }
            })
            .collect()
    }
}
