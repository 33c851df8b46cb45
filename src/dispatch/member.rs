//! Membership: the other instances, whether they are alive, and which of them own racks.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    clock_offset::ClockOffset,
    id::{
        keyed_hash,
        Epoch,
        RackId,
        Token, //
    },
    license::{
        Channel,
        Confirmation,
        Receipt,
        SettledThere, //
    },
    message::{
        Absence,
        Contact,
        Message,
        Protocol,
        Sender,
        Status, //
    },
    watch::{
        self,
        neighbours,
        Watch, //
    }, //
};
use crate::prelude::*;

/// The interval between heartbeats to closely watched members. Several fit in [`HEARTBEAT_TIMEOUT`], so that lost or late ones
/// don't count as a failure.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(100);

/// How long a member may be silent before it counts as failed. Callers retry 1.3 s after their connection broke. By then the
/// runs of the failed instance must have been stopped, or tasks would run twice.
pub const HEARTBEAT_TIMEOUT: Span = Span::millis(600);

/// How long an instance listens after its start before it claims racks that nobody seems to own. It must have heard a heartbeat
/// of each owner by then, or claims would collide.
pub const STARTUP_DELAY: Span = Span::millis(450);

/// How long no further member must have been heard before instances that all start together claim racks, earlier than
/// [`STARTUP_DELAY`].
pub const STARTUP_QUIET: Span = HEARTBEAT_INTERVAL;

/// How long a member that was found or lost is contacted more often than distant ones. It may be starting, and after a loss of
/// all instances callers wait until the instances hear each other.
const CONTACT_PERIOD: Span = Span::seconds(3);

/// The most members in a heartbeat that are announced as lost. After the loss of many, heartbeats announce them in turn, or
/// their size would grow with the fleet.
const MAX_ABSENCES: usize = 8;

/// How long after its loss a member is removed and gets no more heartbeats. If it starts again, its row in the store brings it
/// back.
const FORGET_AFTER: Span = Span::seconds(30);

/// Another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name and address.
    pub contact: Contact,
    /// Its data centre, or empty before it was heard.
    pub centre: String,
    /// Its incarnation, or zero before it was heard.
    pub incarnation: u64,
    /// The number of the session with it. A loss of the member starts a new one.
    pub session: u32,
    /// When its latest message or heartbeat was sent, on this instance's clock. `None` if it was only listed.
    pub last_heard: Option<Time>,
    /// When the heartbeat with its status was sent, on its own clock.
    status_sent: Time,
    /// The most by which this instance's clock can be ahead of the member's. `None` before it was heard.
    clock_offset: Option<ClockOffset>,
    /// Whether it's alive.
    pub live: bool,
    /// When it became alive, was lost, or was found.
    pub state_since: Time,
    /// The status in its latest heartbeat.
    pub status: Option<Status>,
    /// The protocol of the messages that it can read.
    protocol: Protocol,
    /// The version of the list of endpoints that this instance has sent it in changes, or zero.
    pub roster_sent: u64,
    /// When it announced another version of its list of endpoints than before.
    pub roster_advanced_at: Time,
    /// How closely it is watched.
    pub watch: Watch,
    /// The messages to and from it in the session.
    channel: Channel,
}

impl Member {
    /// Returns whether it gets heartbeats every [`HEARTBEAT_INTERVAL`].
    pub fn has_frequent_heartbeats(&self, now: Time) -> bool {
        self.watch.is_close(now)
    }

    /// Returns how often it gets heartbeats.
    pub fn pace(&self, now: Time) -> Pace {
        let may_start = !self.live && now.since(self.state_since) < CONTACT_PERIOD;
        match (self.watch.is_close(now), may_start) {
            (true, _) => Pace::Frequent,
            (false, true) => Pace::Contact,
            (false, false) => Pace::Distant,
        }
    }

    /// Begins a new session, which voids the messages of the last one.
    fn begin_session(&mut self) {
        self.session += 1;
        self.channel = Channel::default();
    }

    /// Returns the receipt for the next heartbeat to it, and tells it `settled` on its own clock.
    fn receipt(&self, settled: Time) -> Receipt {
        let there = self.clock_offset.and_then(|o| o.earliest_there(settled));
        let there = there.map_or(SettledThere::Unknown, SettledThere::NotBefore);
        self.channel.receipt(settled, there)
    }

    /// Returns whether it hasn't been heard, or was silent for longer than [`HEARTBEAT_TIMEOUT`] while it was watched closely.
    fn is_silent(&self, now: Time) -> bool {
        let timed_out = |at| now.since(at) > HEARTBEAT_TIMEOUT && self.watch.is_conclusive(now);
        self.last_heard.is_none_or(timed_out)
    }
}

/// How often a member gets heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Every [`HEARTBEAT_INTERVAL`], since it's watched closely.
    Frequent,
    /// As often as the rate for all such members allows, since it isn't alive but may be starting.
    Contact,
    /// At the interval for members that aren't watched closely.
    Distant,
}

/// The result of checking the incarnation and session of a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderCheck {
    /// The sender is in its current session.
    Current,
    /// The sender has started a new session, and all state shared with it before is void.
    NewSession,
    /// The message is from an incarnation or a session that has ended, and is dropped.
    Stale,
}

/// The other instances that this one knows.
#[derive(Debug)]
pub struct Members {
    /// This instance.
    own: Instance,
    /// Its data centre.
    centre: String,
    members: BTreeMap<Instance, Member>,
    /// Counts changes to the claims, contacts and liveness of members.
    claim_changes: u64,
    /// The number of members and the count of claim changes for which neighbours were chosen last.
    neighbours_key: Option<(usize, u64)>,
    /// Members that this instance lost recently, and when.
    absences: Vec<(Absence, Time)>,
    /// Whether lost members have been removed since the store's list was last read.
    missing: bool,
}

impl Members {
    /// Returns a membership without other instances.
    pub fn new(own: &Instance, centre: impl Into<String>) -> Self {
        Self {
            own: own.clone(),
            centre: centre.into(),
            members: BTreeMap::new(),
            claim_changes: 0,
            neighbours_key: None,
            absences: Vec::new(),
            missing: false,
        }
    }

    /// Returns whether lost members have been removed, which may be back by now.
    pub fn has_missing(&self) -> bool {
        self.missing
    }

    /// Returns whether a known member isn't heard, or was removed for that: it may be alive behind a partition.
    pub fn has_absent(&self) -> bool {
        self.missing || self.members.values().any(|member| !member.live)
    }

    /// Records that the store's list of members was read.
    pub fn clear_missing(&mut self) {
        self.missing = false;
    }

    /// Adds a member, or updates the address of one that isn't alive. Returns whether it's new or has moved.
    pub fn add(&mut self, contact: &Contact, now: Time) -> bool {
        // A seed has its address as its name until it's heard.
        let seed = contact.name.as_str() == contact.address;
        if seed && self.live().any(|m| m.contact.address == contact.address) {
            return false;
        }
        if let Some(member) = self.members.get_mut(&contact.name) {
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
            status_sent: Time::default(),
            clock_offset: None,
            live: false,
            state_since: now,
            status: None,
            protocol: Protocol::FIRST,
            roster_sent: 0,
            roster_advanced_at: now,
            watch: Watch::default(),
            channel: Channel::default(),
        };
        self.members.insert(contact.name.clone(), member);
        true
    }

    /// Checks the incarnation and session of a message's sender, and updates the member. `own` is this instance's incarnation.
    ///
    /// A process that was paused may send messages long after they were written. These carry a session that the receiver has
    /// ended, so they must be dropped.
    pub fn check_sender(&mut self, from: &Sender, own: u64, now: Time) -> SenderCheck {
        self.add(&from.contact, now);
        let known = self.members.get(&from.contact.name);
        if known.is_some_and(|member| member.incarnation < from.incarnation) {
            // Removes the seed under which it was known by its address only.
            self.members.retain(|name, member| {
                *name == from.contact.name
                    || member.live
                    || member.contact.address != from.contact.address
            });
        }
        let Some(member) = self.members.get_mut(&from.contact.name) else {
            return SenderCheck::Stale;
        };
        let older = from.incarnation < member.incarnation;
        let for_earlier_incarnation =
            from.receiver_incarnation != 0 && from.receiver_incarnation != own;
        if older || for_earlier_incarnation {
            return SenderCheck::Stale;
        }
        let restarted = from.incarnation > member.incarnation;
        if !restarted && from.session < member.session {
            return SenderCheck::Stale;
        }
        if restarted || member.contact != from.contact {
            self.claim_changes += 1;
        }
        let new_session = restarted || from.session > member.session;
        if new_session {
            member.channel = Channel::default();
        }
        member.session = member.session.max(from.session);
        member.incarnation = from.incarnation;
        if member.contact != from.contact {
            member.contact = from.contact.clone();
        }
        member.centre.clone_from(&from.centre);
        if restarted {
            member.status = None;
            member.protocol = Protocol::FIRST;
            member.roster_sent = 0;
            member.clock_offset = None;
            member.last_heard = None;
            member.status_sent = Time::default();
            member.live = false;
            member.state_since = now;
        }
        match new_session {
            true => SenderCheck::NewSession,
            false => SenderCheck::Current,
        }
    }

    /// Updates when a member was last heard, from a message or heartbeat that it sent at `sent` on its clock.
    ///
    /// The sending time counts, not the arrival: heartbeats may wait in buffers of a slow instance. Otherwise a slow owner would
    /// start tasks for an entry that has given it up and placed them elsewhere.
    pub fn update_last_heard(&mut self, name: &Instance, sent: Time, now: Time) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let offset = ClockOffset::measure(member.clock_offset, sent, now);
        member.clock_offset = Some(offset);
        let sent_here = offset.latest_here(sent, now);
        member.last_heard = member.last_heard.max(Some(sent_here));
        member.watch.on_heard(sent_here);
    }

    /// Counts a message to a member, and returns the number of all in the session.
    pub fn count_sent(&mut self, name: &Instance) -> Option<u64> {
        let member = self.members.get_mut(name)?;
        Some(member.channel.count_sent())
    }

    /// Counts messages of a member that have arrived.
    pub fn count_received(&mut self, name: &Instance, messages: usize) {
        if let Some(member) = self.members.get_mut(name) {
            member.channel.count_received(messages as u64);
        }
    }

    /// Handles what a heartbeat says about messages. One without a receipt, of an earlier build, confirms what it's sent after.
    ///
    /// A member that hasn't heard this instance confirms nothing: nobody knows when on this clock. It hasn't sent batches either, since
    /// it places them by this instance's heartbeats.
    pub fn on_receipt(
        &mut self,
        name: &Instance,
        receipt: Option<&Receipt>,
        sent: Time,
        now: Time,
    ) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        // For members of earlier builds only: the result is too late by what the quickest of their messages was on its way.
        let latest_here = |time| {
            let offset = member.clock_offset;
            offset.map_or(now, |offset| offset.latest_here(time, now))
        };
        let Some(receipt) = receipt else {
            let sent = latest_here(sent);
            return member.channel.on_plain_heartbeat(sent);
        };
        // One that couldn't be read has no time.
        if receipt.settled == Time::default() {
            return;
        }
        let settled = match receipt.settled_there {
            SettledThere::Unstated => latest_here(receipt.settled),
            SettledThere::Unknown => return,
            SettledThere::NotBefore(at) => at.min(now),
        };
        member.channel.on_receipt(receipt, settled);
    }

    /// Records the protocol of the messages that a member can read.
    pub fn set_protocol(&mut self, name: &Instance, protocol: Protocol) {
        if let Some(member) = self.members.get_mut(name) {
            member.protocol = protocol;
        }
    }

    /// Returns whether a message can be sent to a member: one of an earlier build may not know its kind.
    pub fn can_read(&self, name: &Instance, message: &Message) -> bool {
        let member = self.members.get(name);
        member.is_none_or(|member| member.protocol >= message.protocol())
    }

    /// Returns a member's latest confirmation of its batches.
    pub fn confirmation(&self, name: &Instance) -> Option<Confirmation> {
        self.members.get(name)?.channel.confirmation()
    }

    /// Begins a new session with the members whose messages don't arrive although their heartbeats do, and returns them.
    pub fn reset_stalled(&mut self, now: Time) -> Vec<Member> {
        let members = self.members.values_mut();
        let stalled = members.filter(|member| member.live && member.channel.is_stalled(now));
        let reset = |member: &mut Member| {
            member.begin_session();
            member.clone()
        };
        stalled.map(reset).collect()
    }

    /// Handles a heartbeat that was sent at `sent` on its sender's clock.
    pub fn on_heartbeat(&mut self, name: &Instance, status: Status, sent: Time, now: Time) {
        self.update_last_heard(name, sent, now);
        for absence in &status.absences {
            self.on_absence(absence, now);
        }
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.status_sent > sent {
            return;
        }
        member.status_sent = sent;
        let claimed = member.status.as_ref().map(|status| &status.racks);
        if claimed != Some(&status.racks) {
            self.claim_changes += 1;
        }
        if member.status.as_ref().map(|status| status.roster) != Some(status.roster) {
            member.roster_advanced_at = now;
        }
        member.status = Some(status);
        let recent = member
            .last_heard
            .is_some_and(|at| now.since(at) <= HEARTBEAT_TIMEOUT);
        if !member.live && recent {
            member.live = true;
            member.state_since = now;
            self.claim_changes += 1;
        }
    }

    /// Suspects a member that another instance has lost, unless this one has heard it lately: the other may have been late.
    fn on_absence(&mut self, absence: &Absence, now: Time) {
        let Some(member) = self.members.get_mut(&absence.name) else {
            return;
        };
        let is_heard = |at| now.since(at) <= HEARTBEAT_TIMEOUT;
        let is_same = member.live && member.incarnation == absence.incarnation;
        if is_same && !member.last_heard.is_some_and(is_heard) {
            member.watch.suspect(now);
        }
    }

    /// Watches a member closely for [`watch::WATCH_TIME`]. Called while work is shared with it.
    pub fn watch_closely(&mut self, name: &Instance, now: Time) {
        if let Some(member) = self.members.get_mut(name) {
            member.watch.extend(now);
        }
    }

    /// Handles a heartbeat which says that its sender watches this instance closely, and so needs frequent heartbeats.
    pub fn on_watched_by(&mut self, name: &Instance, now: Time) {
        if let Some(member) = self.members.get_mut(name) {
            member.watch.extend_for_peer(now);
        }
    }

    /// Chooses the neighbours, which are always watched closely, if the membership has changed.
    pub fn choose_neighbours(&mut self, now: Time) {
        let key = Some((self.members.len(), self.claim_changes));
        if self.neighbours_key == key {
            return;
        }
        self.neighbours_key = key;
        let near = neighbours(&self.own, &self.centre, self.members.values());
        for (name, member) in &mut self.members {
            member.watch.set_neighbour(near.contains(name), now);
        }
    }

    /// Marks that a member is sent a heartbeat now, and returns its contact and the receipt for it.
    pub fn mark_heartbeat_sent(
        &mut self,
        name: &Instance,
        settled: Time,
        now: Time,
    ) -> Option<(Contact, Receipt)> {
        let member = self.members.get_mut(name)?;
        member.watch.heartbeat_sent = now;
        Some((member.contact.clone(), member.receipt(settled)))
    }

    /// Marks members as lost that have been silent too long, starts a new session with each, and returns them. A member that
    /// isn't watched closely and misses its heartbeats is watched closely first.
    pub fn expire(&mut self, now: Time) -> Vec<Member> {
        let timeout = self.distant_timeout();
        let mut lost = Vec::new();
        for member in self.members.values_mut().filter(|member| member.live) {
            if member.is_silent(now) {
                member.live = false;
                member.begin_session();
                member.state_since = now;
                lost.push(member.clone());
                member.status = None;
                member.roster_sent = 0;
                self.claim_changes += 1;
            } else if member.last_heard.is_some_and(|at| now.since(at) > timeout) {
                member.watch.suspect(now);
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
        let is_kept = |m: &Member| m.live || now.since(m.state_since) < FORGET_AFTER;
        if !self.members.values().all(is_kept) {
            self.members.retain(|_, member| is_kept(member));
            self.missing = true;
        }
        lost
    }

    /// Returns how long a member that isn't watched closely may be silent before it is. One lost heartbeat doesn't matter.
    fn distant_timeout(&self) -> Span {
        watch::heartbeat_interval(self.members.len()).times(2) + HEARTBEAT_TIMEOUT
    }

    /// Returns the members that this instance has lost recently, as a heartbeat announces them: of many, the next ones in turn.
    /// Instances begin at different ones.
    pub fn absences(&self, now: Time) -> Vec<Absence> {
        let heartbeat = (now.0 / HEARTBEAT_INTERVAL.0) as usize;
        let first = keyed_hash(0, self.own.as_str()) as usize % self.absences.len().max(1);
        let absences = self.absences.iter().cycle().take(self.absences.len() * 2);
        let absences =
            absences.skip((first + heartbeat * MAX_ABSENCES) % self.absences.len().max(1));
        let absences = absences.take(MAX_ABSENCES.min(self.absences.len()));
        absences.map(|(absence, _)| absence.clone()).collect()
    }

    /// Returns whether members were found that haven't been sent a heartbeat yet.
    pub fn has_uncontacted(&self) -> bool {
        let is_uncontacted = |m: &Member| !m.live && m.watch.heartbeat_sent == Time::default();
        self.members.values().any(is_uncontacted)
    }

    /// Marks all live members as lost, and returns them. Called after this process was paused.
    pub fn expire_all(&mut self, now: Time) -> Vec<Member> {
        for member in self.members.values_mut() {
            member.last_heard = None;
        }
        let lost = self.expire(now);
        // This process was paused; the members didn't fail, so their loss isn't announced.
        self.absences.clear();
        lost
    }

    /// Returns the member with this name.
    pub fn get(&self, name: &Instance) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns all members, whether or not they're alive.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that are alive.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.live)
    }

    /// Returns the members that are alive, for updates of what was sent to them.
    pub fn live_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut().filter(|member| member.live)
    }

    /// Returns a count of changes to the claims, contacts and liveness of members.
    pub fn claim_changes(&self) -> u64 {
        self.claim_changes
    }

    /// Returns the highest epoch that a member has announced.
    pub fn highest_epoch(&self) -> Epoch {
        let statuses = self.members.values().filter_map(|m| m.status.as_ref());
        statuses
            .map(|status| status.epoch)
            .max()
            .unwrap_or_default()
    }

    /// Returns the owner of each rack that a live member claims. Of several claims the one with the highest token counts.
    pub fn rack_owners(&self) -> HashMap<RackId, (Instance, Token)> {
        let mut owners: HashMap<RackId, (Instance, Token)> = HashMap::new();
        for member in self.live() {
            for claim in member.status.iter().flat_map(|status| &status.racks) {
                let current = owners.get(&claim.rack);
                if current.is_none_or(|(_, token)| *token < claim.token) {
                    let name = member.contact.name.clone();
                    owners.insert(claim.rack, (name, claim.token));
                }
            }
        }
        owners
    }

    /// Returns the live members that can take over work: their status is known, and they aren't draining.
    pub fn available(&self) -> impl Iterator<Item = &Member> {
        let is_available = |m: &&Member| m.status.as_ref().is_some_and(|status| !status.draining);
        self.live().filter(is_available)
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
    /// The number of racks that it owns.
    pub racks: usize,
}

/// Picks an owner for each orphaned rack, in the order of the racks.
///
/// Candidates in the rack's data centre are preferred. Of these the one with the fewest racks for its processor share is
/// picked, since owners do most of the work; ties are broken by rendezvous hashing.
pub fn assign_racks(
    orphans: &[(RackId, String)],
    candidates: &mut [Candidate],
) -> Vec<(RackId, Instance)> {
    let mut assigned = Vec::new();
    for (rack, centre) in orphans {
        let near = candidates.iter().any(|c| c.centre == *centre);
        let eligible = candidates
            .iter_mut()
            .filter(|c| !near || c.centre == *centre);
        let key = |c: &&mut Candidate| {
            let load = (c.racks as u64 + 1) * 1_000_000 / u64::from(c.share.max(1));
            (load, u64::MAX - rack.weight(c.name.as_str()))
        };
        let Some(owner) = eligible.min_by_key(key) else {
            continue;
        };
        owner.racks += 1;
        assigned.push((*rack, owner.name.clone()));
    }
    assigned
}
