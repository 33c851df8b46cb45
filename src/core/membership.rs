//! Membership: which instances there are, from the platform's late list and from what is seen.
//!
//! It only decides where to look first, and how shared things are divided. A wrong view costs time; it never lets
//! a task run twice, since nobody ever takes over another's claim.

mod peer;
mod target;

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet,
        VecDeque, //
    },
    ops::Bound,
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
    table::wire::Member,
};

/// The most peers that are known at once.
const PEERS: usize = 1 << 12;

/// The most incarnations that are known to be gone, the latest ones.
const GONE: usize = 1 << 12;

/// After so many spans of silence, a peer that is not listed is forgotten.
const FORGOTTEN: u64 = 30;

/// What is to be done, or has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A heartbeat is due.
    Heartbeat {
        /// The peer.
        to: Instance,
        /// Where it listens.
        address: String,
    },
    /// A peer is there.
    Found(Instance),
    /// A peer is gone or can't be reached.
    Lost(Instance),
}

/// The instances as this one sees them.
#[derive(Debug)]
pub struct Membership {
    me: Instance,
    centre: Centre,
    incarnation: Incarnation,
    heartbeat: Span,
    silence: Span,
    random: SmallRng,
    peers: BTreeMap<Instance, Peer>,
    owners: HashMap<Incarnation, Instance>,
    gone: HashSet<Incarnation>,
    gone_order: VecDeque<Incarnation>,
    live: usize,
    next: Time,
    /// The peer whose observation was passed on last; the first is another for each instance.
    cursor: Instance,
    /// Whether observations are passed on, since there are peers that not everybody calls.
    gossips: bool,
}

impl Membership {
    /// Makes the view of an instance that knows no other.
    pub fn new(
        me: Instance,
        centre: Centre,
        incarnation: Incarnation,
        timing: &Timing,
        seed: u64,
    ) -> Self {
        Self {
            cursor: me.clone(),
            me,
            centre,
            incarnation,
            heartbeat: timing.heartbeat_interval,
            silence: timing.peer_timeout,
            random: SmallRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            owners: HashMap::new(),
            gone: HashSet::new(),
            gone_order: VecDeque::new(),
            live: 1,
            next: Time::default(),
            gossips: true,
        }
    }

    /// Takes over the platform's list. Peers that it leaves out count for as long as they are heard.
    pub fn apply_list(&mut self, now: Time, members: &[Member]) {
        for peer in self.peers.values_mut() {
            peer.listed = None;
        }
        for member in members.iter().filter(|member| member.name != self.me) {
            if self.peers.len() >= PEERS && !self.peers.contains_key(&member.name) {
                continue;
            }
            let peer = self.peers.entry(member.name.clone());
            let peer =
                peer.or_insert_with(|| Peer::new(now, &member.name, &member.centre, &self.me));
            peer.listed = Some(member.state);
            peer.centre.clone_from(&member.centre);
            if peer.address != member.address {
                peer.address.clone_from(&member.address);
                peer.clear_failures();
            }
        }
        self.update_all(now);
    }

    /// Takes in a heartbeat, whichever side called.
    ///
    /// A new incarnation under a known name replaces the old one for good.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        if heartbeat.name == self.me {
            return;
        }
        if self.peers.len() >= PEERS && !self.peers.contains_key(&heartbeat.name) {
            return;
        }
        // A heartbeat of the old incarnation may come late, after the new one's. If the one that is taken for the newer is
        // silent while the other goes on, the view was wrong.
        let silence = self.silence;
        let gone = self.gone.contains(&heartbeat.incarnation);
        let peer = self.peers.entry(heartbeat.name.clone());
        let peer =
            peer.or_insert_with(|| Peer::new(now, &heartbeat.name, &heartbeat.centre, &self.me));
        if gone && peer.heard.is_some_and(|heard| now.since(heard) < silence) {
            return;
        }
        peer.heard = Some(now);
        peer.seen = Some(now);
        peer.clear_failures();
        peer.revision = heartbeat.revision;
        self.set_incarnation(&heartbeat.name, heartbeat.incarnation);
        self.update_liveness(now, &heartbeat.name);
    }

    /// Takes in that a call to a peer failed: it counts as gone until it is heard, or for a while.
    pub fn on_call_failed(&mut self, now: Time, name: &Instance) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.lost = Some(now);
        }
        self.update_liveness(now, name);
    }

    /// Takes in the observations of a peer. They can't outweigh what this instance saw itself.
    pub fn on_observations(&mut self, now: Time, observations: &[Observation]) {
        for observation in observations {
            let Some(peer) = self.peers.get_mut(&observation.name) else {
                continue;
            };
            let seen = Time(now.0.saturating_sub(observation.age.0));
            let known = peer.incarnation;
            let newer = peer.seen.is_none_or(|known| seen > known);
            if known != Some(observation.incarnation) {
                if known.is_some() && !newer || self.gone.contains(&observation.incarnation) {
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

    /// Returns the observations that go with the next heartbeat or its return: new incarnations first, then others.
    pub fn next_observations(&mut self, now: Time) -> Vec<Observation> {
        let mut observations = Vec::new();
        let start = (Bound::Excluded(&self.cursor), Bound::Unbounded);
        let new = self.peers.range(start).chain(&self.peers);
        let new = new
            .filter(|(_, peer)| peer.retransmissions > 0)
            .take(peer::NEW_OBSERVATIONS);
        let names: Vec<Instance> = new.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.retransmissions = peer.retransmissions.saturating_sub(1);
                observations.extend(peer.observation(now));
            }
        }
        let most = observations.len() + if self.gossips { peer::OBSERVATIONS } else { 0 };
        let rest = self.peers.range(start).chain(&self.peers);
        let mut last = None;
        for (name, peer) in rest.take(self.peers.len()) {
            if observations.len() >= most {
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

    /// Returns the heartbeats that are due, and which peers were found or lost since the last call.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if now < self.next {
            return Vec::new();
        }
        self.forget(now);
        self.update_all(now);
        let mut actions = self.changes();
        let (targets, crowded) = self.targets(now);
        self.gossips = crowded || self.has_uncalled();
        let period = self
            .heartbeat
            .times(if crowded { target::STRETCH } else { 1 });
        let jitter = self.random.random_range(0..=period.0 / 10);
        self.next = now + (period - Span(jitter));
        for name in targets {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            peer.note_heartbeat(now);
            let address = peer.address.clone();
            actions.push(Action::Heartbeat { to: name, address });
        }
        actions
    }

    /// Returns the peer whose current incarnation this is, and where it listens.
    pub fn owner(&self, incarnation: Incarnation) -> Option<(Instance, String)> {
        let name = self.owners.get(&incarnation)?;
        let peer = self.peers.get(name)?;
        (!peer.address.is_empty()).then(|| (name.clone(), peer.address.clone()))
    }

    /// Tells whether this instance and the peers that it knows of have heard one another, or had the time to.
    ///
    /// Until then neither side knows the other's incarnation, and would call the owner of a key gone that is there.
    pub fn has_converged(&self, now: Time, since: Time) -> bool {
        let known = |peer: &Peer| peer.heard.is_some() || !peer.is_alive(now, self.silence);
        now.since(since) >= self.silence || self.peers.values().all(known)
    }

    /// Returns where a peer listens, as far as the list has it.
    pub fn address(&self, name: &Instance) -> Option<String> {
        let peer = self.peers.get(name)?;
        (!peer.address.is_empty()).then(|| peer.address.clone())
    }

    /// Tells whether an incarnation is known to have ended: its name runs under another.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.gone.contains(&incarnation)
    }

    /// Tells whether a peer counts as alive.
    pub fn is_alive(&self, now: Time, name: &Instance) -> bool {
        *name == self.me
            || self
                .peers
                .get(name)
                .is_some_and(|peer| peer.is_alive(now, self.silence))
    }

    /// Returns how many instances share the endpoints and the platform, this one included.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns how many instances in these data centres are alive, this one included; in all where none is named.
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

    /// Notes the incarnation under which a peer runs; the one before has ended.
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
        peer.retransmissions = peer::RETRANSMISSIONS;
        if let Some(old) = peer.incarnation.replace(incarnation) {
            self.mark_gone(old);
        }
        self.gone.remove(&incarnation);
        self.owners.insert(incarnation, name.clone());
    }

    fn mark_gone(&mut self, incarnation: Incarnation) {
        self.owners.remove(&incarnation);
        if self.gone.insert(incarnation) {
            self.gone_order.push_back(incarnation);
        }
        while self.gone_order.len() > GONE {
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
    }

    /// Forgets peers that are not listed and have not been seen for long.
    fn forget(&mut self, now: Time) {
        let wait = self.silence.times(FORGOTTEN);
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

    /// Updates whether one peer is alive.
    fn update_liveness(&mut self, now: Time, name: &Instance) {
        if let Some(peer) = self.peers.get_mut(name) {
            self.live -= usize::from(peer.alive);
            peer.alive = peer.is_alive(now, self.silence);
            self.live += usize::from(peer.alive);
        }
    }

    /// Updates whether each peer is alive.
    fn update_all(&mut self, now: Time) {
        self.live = 1;
        for peer in self.peers.values_mut() {
            peer.alive = peer.is_alive(now, self.silence);
            self.live += usize::from(peer.alive);
        }
    }

    /// Returns which peers were found or lost since the last call.
    fn changes(&mut self) -> Vec<Action> {
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
