//! Rack ownership: the racks that this instance claims, gives up, hands over and takes over.

use std::{
    collections::HashMap,
    rc::Rc, //
};

use super::{
    id::{
        fnv1a,
        Epoch,
        RackId,
        Token, //
    },
    member::{
        assign_racks,
        Candidate,
        Member,
        STARTUP_DELAY,
        STARTUP_QUIET, //
    },
    message::{
        Claim,
        Contact,
        Handover,
        Message, //
    },
    owner::{
        Availability,
        Effects, //
    },
    Dispatcher, //
};
use crate::prelude::*;

/// How long an instance that was fenced off a rack doesn't claim it while no owner is heard. Without the delay, the two sides
/// of a network partition would take racks from each other by turns.
const FENCED_DELAY: Span = Span::seconds(3);

/// The interval between racks that an instance hands over to balance load. Each handover costs a claim at every endpoint of
/// the rack.
const REBALANCE_INTERVAL: Span = Span::millis(1_000);

/// How long a member must have been alive before it gets a rack that has an owner. It keeps racks from moving back and forth
/// with an unstable member.
const MIN_UPTIME: Span = Span::seconds(2);

/// How many epochs are skipped when a fencing token was too low. Epochs start at the clock's seconds, and the clocks of two
/// incarnations may differ by some seconds.
const EPOCH_STEP: u64 = 16;

/// The last owner of a rack that nobody is heard to own: it was lost, or it has fenced this instance off.
#[derive(Debug, Clone)]
pub(super) struct FormerOwner {
    /// The owner, if known.
    pub(super) owner: Option<Instance>,
    /// The highest fencing token known for the rack.
    token: Token,
    since: Time,
    /// Whether this instance was fenced off, which shows that its token was too low.
    fenced: bool,
}

/// Counts the members that an instance has heard since it started.
#[derive(Debug, Default)]
pub(super) struct Startup {
    /// When a member was last heard for the first time.
    last_heard: Option<Time>,
    /// Members that owned no racks when they were heard first.
    without_racks: usize,
    /// Members that owned racks when they were heard first.
    with_racks: usize,
    /// Whether it has contacted all members, and listened for [`STARTUP_DELAY`].
    has_listened: bool,
}

impl Startup {
    /// Counts a member that has become alive.
    pub(super) fn on_member_heard(&mut self, member: Option<&Member>, now: Time) {
        self.last_heard = Some(now);
        let status = member.and_then(|member| member.status.as_ref());
        match status.is_some_and(|status| !status.racks.is_empty()) {
            true => self.with_racks += 1,
            false => self.without_racks += 1,
        }
    }

    /// Returns whether all members seem to have started together: at least half of the `member_count` members are heard, none of
    /// them owned a rack, and none was heard for the first time within [`STARTUP_QUIET`].
    ///
    /// After a loss of all instances callers wait for the first claims, so these needn't wait for [`STARTUP_DELAY`]. An instance
    /// that joins running ones waits that long, so that it doesn't claim racks whose owners it hasn't heard yet.
    fn is_joint_start(&self, member_count: usize, now: Time) -> bool {
        let quiet = self
            .last_heard
            .is_some_and(|at| now.since(at) >= STARTUP_QUIET);
        quiet && self.with_racks == 0 && self.without_racks * 2 >= member_count
    }
}

impl Dispatcher {
    /// Returns whether this instance has listened long enough after its start to claim racks that nobody seems to own.
    fn is_startup_over(&mut self, now: Time) -> bool {
        if self.startup.has_listened {
            return true;
        }
        let listened = now.since(self.started_at) >= STARTUP_DELAY;
        self.startup.has_listened = listened && !self.members.has_uncontacted();
        let member_count = self.members.all().count();
        self.startup.has_listened || self.startup.is_joint_start(member_count, now)
    }

    /// Gives up racks that another member owns with a higher token, and claims racks without an owner. A draining instance
    /// hands its racks over instead.
    pub(super) fn update_ownership(&mut self, now: Time, out: &mut Effects) {
        self.update_owners();
        let owners = self.rack_owners.clone();
        let lost: Vec<RackId> = self
            .owner
            .racks()
            .filter(|(rack, token)| owners.get(rack).is_some_and(|(_, other)| other > token))
            .map(|(rack, _)| rack)
            .collect();
        for rack in lost {
            self.owner.yield_rack(rack, "another owns it", out);
        }
        for (rack, token) in self.owner.take_fenced() {
            self.epoch = Epoch(self.epoch.0 + EPOCH_STEP);
            let former = FormerOwner {
                owner: None,
                token,
                since: now,
                fenced: true,
            };
            self.former_owners.insert(rack, former);
        }
        self.former_owners
            .retain(|rack, _| !owners.contains_key(rack));
        if self.is_draining() {
            self.hand_over_all(now, out);
        } else if self.is_startup_over(now) {
            self.update_owners();
            self.claim_orphans(now, out);
        }
        self.update_owners();
    }

    /// Claims the racks without an owner that fall to this instance.
    fn claim_orphans(&mut self, now: Time, out: &mut Effects) {
        let orphans = self.entry.unowned_racks();
        if orphans.is_empty() {
            return;
        }
        let own = &self.identity.contact.name;
        let mut candidates = self.rack_candidates();
        candidates.push(Candidate {
            name: own.clone(),
            centre: self.identity.centre.clone(),
            share: self.identity.share,
            racks: self.owner.racks().count(),
        });
        let to_claim: Vec<RackId> = assign_racks(&orphans, &mut candidates)
            .into_iter()
            .filter(|(_, owner)| owner == own)
            .map(|(rack, _)| rack)
            .collect();
        let to_claim: Vec<RackId> = to_claim
            .into_iter()
            .filter(|rack| self.is_claimable(*rack, now, out))
            .collect();
        if to_claim.is_empty() {
            return;
        }
        let token = self.next_token();
        for rack in to_claim {
            self.owner.claim(rack, token, out);
        }
        self.owner
            .update_endpoints(&self.roster.endpoints, now, out);
        // Announces the claim at once, so that the others don't place tasks by the former owner's free room.
        self.announce(now);
    }

    /// Returns whether a rack that nobody is heard to own can be claimed. Probes its endpoints if it had an owner.
    pub(super) fn is_claimable(&mut self, rack: RackId, now: Time, out: &mut Effects) -> bool {
        let Some(former) = self.former_owners.get(&rack).cloned() else {
            return true;
        };
        let free = match former.fenced {
            true => now.since(former.since) >= FENCED_DELAY,
            false => {
                let endpoints = &self.roster.endpoints;
                let availability = self.owner.probe(rack, former.token, endpoints, now, out);
                availability == Availability::Free
            }
        };
        if free {
            self.former_owners.remove(&rack);
        }
        free
    }

    /// Records the claims of an owner that was lost.
    pub(super) fn add_former_owner(&mut self, owner: &Instance, claims: &[Claim], now: Time) {
        for claim in claims {
            let former = FormerOwner {
                owner: Some(owner.clone()),
                token: claim.token,
                since: now,
                fenced: false,
            };
            self.former_owners.insert(claim.rack, former);
        }
    }

    /// Returns the other members that can own racks.
    pub(super) fn rack_candidates(&self) -> Vec<Candidate> {
        let members = self.members.available();
        let candidate = |m: &Member| {
            let status = m.status.as_ref()?;
            Some(Candidate {
                name: m.contact.name.clone(),
                centre: m.centre.clone(),
                share: status.share,
                racks: status.racks.len(),
            })
        };
        members.filter_map(candidate).collect()
    }

    /// Returns a fencing token above all that are known.
    pub(super) fn next_token(&mut self) -> Token {
        self.epoch = Epoch(self.epoch.max(self.members.highest_epoch()).0 + 1);
        let name = self.identity.contact.name.as_str().as_bytes();
        Token::new(self.epoch, fnv1a(self.identity.incarnation, name))
    }

    /// Updates the owner of each rack, unless no claim has changed since the last update: this is called for each message, and would
    /// take most of the processor time of a fleet.
    pub(super) fn update_owners(&mut self) {
        let claims = (self.members.claim_changes(), self.owner.rack_changes());
        if self.claim_counts == Some(claims) {
            return;
        }
        self.claim_counts = Some(claims);
        let owners = self.members.rack_owners();
        let mut contacts: HashMap<RackId, Contact> = HashMap::new();
        for (rack, (name, _)) in &owners {
            if let Some(member) = self.members.get(name) {
                contacts.insert(*rack, member.contact.clone());
            }
        }
        for (rack, _) in self.owner.racks() {
            contacts.insert(rack, self.identity.contact.clone());
        }
        self.entry.set_owners(&contacts);
        self.rack_owners = Rc::new(owners);
    }

    /// Hands over at most one rack to a stable member in the rack's data centre, if this instance is in another data centre or
    /// has more racks for its share.
    ///
    /// After a restart an instance's racks are with others. If they stayed there, neither side could use them when its data
    /// centre is cut off.
    pub(super) fn rebalance_racks(&mut self, now: Time, out: &mut Effects) {
        if self.is_draining() || now.since(self.rebalanced_at) < REBALANCE_INTERVAL {
            return;
        }
        self.rebalanced_at = now;
        let is_stable = |c: &Candidate| {
            let member = self.members.get(&c.name);
            member.is_some_and(|m| m.live && now.since(m.state_since) >= MIN_UPTIME)
        };
        let candidates: Vec<Candidate> = self
            .rack_candidates()
            .into_iter()
            .filter(is_stable)
            .collect();
        let centres: HashMap<RackId, String> = self.entry.racks().into_iter().collect();
        let own: Vec<RackId> = self.owner.racks().map(|(rack, _)| rack).collect();
        let load = |racks: usize, share: u32| racks as u64 * 1_000_000 / u64::from(share.max(1));
        let own_load = load(own.len(), self.identity.share);
        let own_centre = &self.identity.centre;
        for rack in own {
            let Some(centre) = centres.get(&rack) else {
                continue;
            };
            let local = candidates.iter().filter(|c| c.centre == *centre);
            let Some(next) = local.min_by_key(|c| load(c.racks + 1, c.share)) else {
                continue;
            };
            if centre != own_centre || load(next.racks + 1, next.share) < own_load {
                let next = next.name.clone();
                return self.hand_over_rack(rack, &next, now, out);
            }
        }
    }

    /// Hands a rack over to a member, with the runs and waiting tasks there.
    fn hand_over_rack(&mut self, rack: RackId, to: &Instance, now: Time, out: &mut Effects) {
        let Some(member) = self.members.get(to) else {
            return;
        };
        let to = member.contact.clone();
        if let Some(handover) = self.owner.hand_over(rack, &to, now, out) {
            let token = handover.token;
            self.handed_over.push((Claim { rack, token }, now));
            out.messages
                .push((to, Message::Handover(Box::new(handover))));
        }
        self.announce(now);
    }

    /// Hands all racks over to members that aren't draining.
    pub(super) fn hand_over_all(&mut self, now: Time, out: &mut Effects) {
        let racks: Vec<RackId> = self.owner.racks().map(|(rack, _)| rack).collect();
        if racks.is_empty() {
            return;
        }
        let centres: HashMap<RackId, String> = self.entry.racks().into_iter().collect();
        let with_centre = |rack: &RackId| (*rack, centres.get(rack).cloned().unwrap_or_default());
        let racks: Vec<(RackId, String)> = racks.iter().map(with_centre).collect();
        for (rack, name) in assign_racks(&racks, &mut self.rack_candidates()) {
            self.hand_over_rack(rack, &name, now, out);
        }
    }

    /// Takes a rack over from its former owner. A draining instance passes it on.
    pub(super) fn accept_handover(&mut self, handover: Handover, now: Time, out: &mut Effects) {
        self.epoch = self.epoch.max(handover.token.epoch());
        let token = self.next_token();
        self.owner
            .take_over(handover, token, &self.roster.endpoints, now, out);
        self.update_owners();
        self.announce(now);
        if self.is_draining() {
            self.hand_over_all(now, out);
        }
    }
}
