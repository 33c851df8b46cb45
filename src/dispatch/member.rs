//! Who else is there, and which member owns a rack.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    id::{
        Epoch,
        RackId,
        Token, //
    },
    message::{
        Absence,
        Contact,
        Sender,
        Status, //
    },
    watch::{
        self,
        neighbours,
        Watch, //
    },
};
use crate::prelude::*;

/// Between heartbeats: six of them fit in [`HEARTBEAT_TIMEOUT`], so that lost or late ones are no death.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(100);

/// After which a silent member counts as gone. A caller comes again 1.3 s after its connection broke; what the
/// dead instance had running must have been stopped by then, which takes another 100 ms.
pub const HEARTBEAT_TIMEOUT: Span = Span::millis(600);

/// How long a member that starts listens before it claims racks that nobody seems to own: members start
/// within 0.3 s of each other, and a heartbeat of each must have come. Claims that collide cost a moment, not more, and
/// after a loss of all instances callers wait for this.
pub const STARTUP_DELAY: Span = Span::millis(450);

/// How long no further member must have been heard before a fleet that starts as a whole claims its racks, ahead of
/// [`STARTUP_DELAY`]: as long as a heartbeat takes to come again.
pub const STARTUP_QUIET: Span = HEARTBEAT_INTERVAL;

/// How long a member that was found, or has just been lost, is called as often as one that is watched closely: it may be
/// starting, and after a loss of all instances callers wait until they hear each other.
const AWAITED: Span = Span::seconds(3);

/// How much the clocks of two machines may run apart, as a share: ten times what crystals do.
const DRIFT: f64 = 0.001;

/// After which a member that is gone is no longer called: it has left for good, or its row in the store will
/// show it again.
const FORGOTTEN: Span = Span::seconds(30);

/// Another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name and address.
    pub contact: Contact,
    /// Its data centre, empty until it was heard.
    pub centre: String,
    /// Its life, zero until it was heard.
    pub incarnation: u64,
    /// The session with it.
    pub session: u32,
    /// When the last that came of it left, on this instance's clock; never, if it only was listed.
    pub last_heard: Option<Time>,
    /// When the heartbeat with its status left, on its own clock.
    told: Time,
    /// The least that its clock was seen behind this one, in microseconds: the difference of the clocks and the
    /// shortest time on the way.
    offset: Option<i64>,
    /// Whether it counts as alive.
    pub live: bool,
    /// Since when it is alive, or gone, or known.
    pub state_since: Time,
    /// What it said last.
    pub status: Option<Status>,
    /// How closely it is watched.
    pub watch: Watch,
}

impl Member {
    /// Tells whether it is told of this instance at the short interval.
    pub fn has_frequent_heartbeats(&self, now: Time) -> bool {
        let awaited = !self.live && now.since(self.state_since) < AWAITED;
        awaited || self.watch.is_close(now)
    }

    /// Tells whether nothing has come of it for so long that it is gone.
    fn is_gone(&self, now: Time) -> bool {
        let silent = |at| now.since(at) > HEARTBEAT_TIMEOUT && self.watch.is_conclusive(now);
        self.last_heard.is_none_or(silent)
    }
}

/// What became of messages that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderCheck {
    /// They count.
    Current,
    /// They count, and all that was agreed with the sender before is void.
    NewSession,
    /// They are from a life or a session that has ended.
    Stale,
}

/// All other instances that this one knows.
#[derive(Debug)]
pub struct Members {
    /// This instance.
    own: Instance,
    /// Its data centre.
    centre: String,
    known: BTreeMap<Instance, Member>,
    claims: u64,
    /// How many were known, and the count of claims, when the neighbours were chosen.
    arranged: Option<(usize, u64)>,
    /// Members that this instance found to be gone, and when.
    absences: Vec<(Absence, Time)>,
}

impl Members {
    /// Makes a fleet of one.
    pub fn new(own: &Instance, centre: impl Into<String>) -> Self {
        Self {
            own: own.clone(),
            centre: centre.into(),
            known: BTreeMap::new(),
            claims: 0,
            arranged: None,
            absences: Vec::new(),
        }
    }

    /// Takes note of a member; returns whether it is new or has moved.
    pub fn add(&mut self, contact: &Contact, now: Time) -> bool {
        // A seed is named by its address until it says its name.
        let seed = contact.name.as_str() == contact.address;
        if seed && self.live().any(|m| m.contact.address == contact.address) {
            return false;
        }
        if let Some(member) = self.known.get_mut(&contact.name) {
            if member.contact.address == contact.address || member.live {
                return false;
            }
            member.contact = contact.clone();
            member.state_since = now;
            return true;
        }
        let member = Member {
            contact: contact.clone(),
            centre: String::new(),
            incarnation: 0,
            session: 0,
            last_heard: None,
            told: Time::default(),
            offset: None,
            live: false,
            state_since: now,
            status: None,
            watch: Watch::default(),
        };
        self.known.insert(contact.name.clone(), member);
        true
    }

    /// Judges messages by the life and session that they are from.
    ///
    /// A frozen sender's messages may leave long after their time. They carry a session that the receiver gave
    /// up, so they start nothing.
    pub fn check_sender(&mut self, from: &Sender, own: u64, now: Time) -> SenderCheck {
        self.add(&from.contact, now);
        let met = self.known.get(&from.contact.name);
        if met.is_some_and(|member| member.incarnation < from.incarnation) {
            // It may have been known by its address only, as a seed.
            self.known.retain(|name, member| {
                *name == from.contact.name
                    || member.live
                    || member.contact.address != from.contact.address
            });
        }
        let Some(member) = self.known.get_mut(&from.contact.name) else {
            return SenderCheck::Stale;
        };
        let older = from.incarnation < member.incarnation;
        let misled = from.receiver_incarnation != 0 && from.receiver_incarnation != own;
        if older || misled {
            return SenderCheck::Stale;
        }
        let reborn = from.incarnation > member.incarnation;
        if !reborn && from.session < member.session {
            return SenderCheck::Stale;
        }
        if reborn || member.contact != from.contact {
            self.claims += 1;
        }
        let anew = reborn || from.session > member.session;
        member.session = member.session.max(from.session);
        member.incarnation = from.incarnation;
        if member.contact != from.contact {
            member.contact = from.contact.clone();
        }
        member.centre.clone_from(&from.centre);
        if reborn {
            member.status = None;
            member.offset = None;
            member.last_heard = None;
            member.told = Time::default();
            member.live = false;
            member.state_since = now;
        }
        match anew {
            true => SenderCheck::NewSession,
            false => SenderCheck::Current,
        }
    }

    /// Takes note that something left a member at `sent` on its clock: a heartbeat, or messages.
    ///
    /// Either side may be so slow that heartbeats lie in its buffers. What comes counts from when it left: otherwise a
    /// slow owner would start tasks for an entry that gave it up long ago and has placed them elsewhere.
    pub fn update_last_heard(&mut self, name: &Instance, sent: Time, now: Time) {
        let Some(member) = self.known.get_mut(name) else {
            return;
        };
        let behind = now.0 as i64 - sent.0 as i64;
        let offset = member.offset.map_or(behind, |offset| {
            let since = member.last_heard.map_or(0, |heard| now.since(heard).0);
            behind.min(offset + (since as f64 * DRIFT) as i64)
        });
        member.offset = Some(offset);
        let left = Time((sent.0 as i64 + offset).max(1) as u64);
        member.last_heard = member.last_heard.max(Some(left));
    }

    /// Takes note of a heartbeat that left at `sent` on its sender's clock.
    pub fn on_heartbeat(&mut self, name: &Instance, status: Status, sent: Time, now: Time) {
        self.update_last_heard(name, sent, now);
        for absence in &status.absences {
            self.suspect(absence, now);
        }
        let Some(member) = self.known.get_mut(name) else {
            return;
        };
        if member.told > sent {
            return;
        }
        member.told = sent;
        let claimed = member.status.as_ref().map(|known| &known.racks);
        if claimed != Some(&status.racks) {
            self.claims += 1;
        }
        member.status = Some(status);
        let lately = member
            .last_heard
            .is_some_and(|at| now.since(at) <= HEARTBEAT_TIMEOUT);
        if !member.live && lately {
            member.live = true;
            member.state_since = now;
            self.claims += 1;
        }
    }

    /// Watches a member closely that another found to be gone.
    fn suspect(&mut self, absence: &Absence, now: Time) {
        let Some(member) = self.known.get_mut(&absence.name) else {
            return;
        };
        if member.live && member.incarnation == absence.incarnation {
            member.watch.extend(now);
        }
    }

    /// Watches a member closely for as long as work is shared with it.
    pub fn watch_closely(&mut self, name: &Instance, now: Time) {
        if let Some(member) = self.known.get_mut(name) {
            member.watch.extend(now);
        }
    }

    /// Takes note that a member watches this one closely, and waits for its heartbeats.
    pub fn on_watched_by(&mut self, name: &Instance, now: Time) {
        if let Some(member) = self.known.get_mut(name) {
            member.watch.extend_for_peer(now);
        }
    }

    /// Chooses the members that are always watched closely, where the fleet has changed.
    pub fn choose_neighbours(&mut self, now: Time) {
        let key = Some((self.known.len(), self.claims));
        if self.arranged == key {
            return;
        }
        self.arranged = key;
        let near = neighbours(&self.own, &self.centre, self.known.values());
        for (name, member) in &mut self.known {
            member.watch.set_neighbour(near.contains(name), now);
        }
    }

    /// Takes note that a member is told of this one, and returns where it is reached.
    pub fn mark_heartbeat_sent(&mut self, name: &Instance, now: Time) -> Option<Contact> {
        let member = self.known.get_mut(name)?;
        member.watch.heartbeat_sent = now;
        Some(member.contact.clone())
    }

    /// Gives up those that have been silent too long, each with a new session; returns them. One that isn't watched closely
    /// is, from when it should have been heard.
    pub fn expire(&mut self, now: Time) -> Vec<Member> {
        let patience = self.patience();
        let mut lost = Vec::new();
        for member in self.known.values_mut().filter(|member| member.live) {
            if member.is_gone(now) {
                member.live = false;
                member.session += 1;
                member.state_since = now;
                lost.push(member.clone());
                member.status = None;
                self.claims += 1;
            } else if member.last_heard.is_some_and(|at| now.since(at) > patience) {
                member.watch.extend(now);
            }
        }
        let absence = |member: &Member| Absence {
            name: member.contact.name.clone(),
            incarnation: member.incarnation,
        };
        self.absences
            .retain(|(_, at)| now.since(*at) < watch::WATCH_TIME);
        self.absences
            .extend(lost.iter().map(|member| (absence(member), now)));
        self.known
            .retain(|_, member| member.live || now.since(member.state_since) < FORGOTTEN);
        lost
    }

    /// Returns how long a member that isn't watched closely may be silent: one of its heartbeats may get lost.
    fn patience(&self) -> Span {
        watch::heartbeat_interval(self.known.len()).times(2) + HEARTBEAT_TIMEOUT
    }

    /// Returns the members that this instance found to be gone of late.
    pub fn absences(&self) -> Vec<Absence> {
        let absences = self.absences.iter();
        absences.map(|(absence, _)| absence.clone()).collect()
    }

    /// Gives up all of them.
    pub fn expire_all(&mut self, now: Time) -> Vec<Member> {
        for member in self.known.values_mut() {
            member.last_heard = None;
        }
        let lost = self.expire(now);
        // This instance stood still, not they.
        self.absences.clear();
        lost
    }

    /// Returns a member.
    pub fn get(&self, name: &Instance) -> Option<&Member> {
        self.known.get(name)
    }

    /// Returns all that are known.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Returns those that are alive.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|member| member.live)
    }

    /// Counts the changes of what live members claim, and where they are.
    pub fn claim_changes(&self) -> u64 {
        self.claims
    }

    /// Returns the highest epoch that any member told.
    pub fn highest_epoch(&self) -> Epoch {
        let told = self.known.values().filter_map(|m| m.status.as_ref());
        told.map(|status| status.epoch).max().unwrap_or_default()
    }

    /// Returns the owner of each rack that a live member says it owns, the higher token first.
    pub fn rack_owners(&self) -> HashMap<RackId, (Instance, Token)> {
        let mut owners: HashMap<RackId, (Instance, Token)> = HashMap::new();
        for member in self.live() {
            for claim in member.status.iter().flat_map(|status| &status.racks) {
                let known = owners.get(&claim.rack);
                if known.is_none_or(|(_, token)| *token < claim.token) {
                    let name = member.contact.name.clone();
                    owners.insert(claim.rack, (name, claim.token));
                }
            }
        }
        owners
    }

    /// Returns the live members that may take racks: those that have been heard whole, and stay.
    pub fn available(&self) -> impl Iterator<Item = &Member> {
        let stays = |m: &&Member| m.status.as_ref().is_some_and(|status| !status.draining);
        self.live().filter(stays)
    }
}

/// A member that can own racks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: String,
    /// Its processor share, in thousandths of a core.
    pub share: u32,
    /// How many racks it has.
    pub racks: usize,
}

/// Picks the owner of each rack that has none, in the order of the racks: of the candidates in its data
/// centre, else of all, one with the fewest racks for its processor share, by the weight of rendezvous hashing.
///
/// Owners do most of the work, and instances differ four times in their share. Dealt out evenly, the racks of the
/// weak ones were served late.
pub fn assign_racks(
    orphans: &[(RackId, String)],
    candidates: &mut [Candidate],
) -> Vec<(RackId, Instance)> {
    let mut dealt = Vec::new();
    for (rack, centre) in orphans {
        let near = candidates.iter().any(|c| c.centre == *centre);
        let fit = candidates
            .iter_mut()
            .filter(|c| !near || c.centre == *centre);
        let key = |c: &&mut Candidate| {
            let burden = (c.racks as u64 + 1) * 1_000_000 / u64::from(c.share.max(1));
            (burden, u64::MAX - rack.weight(c.name.as_str()))
        };
        let Some(owner) = fit.min_by_key(key) else {
            continue;
        };
        owner.racks += 1;
        dealt.push((*rack, owner.name.clone()));
    }
    dealt
}
