//! Which racks the instance claims, gives up, hands over and takes over.

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
        STARTUP_DELAY, //
        STARTUP_QUIET,
    },
    message::{
        Claim,
        Contact,
        Handover,
        Message, //
    },
    owner::{
        Effects,
        Verdict, //
    },
    Dispatcher, //
};
use crate::prelude::*;

/// How long an instance that was fenced off a rack leaves it alone while nobody is heard to own it: the two sides of
/// a cut between instances must not take racks from each other by turns.
const FENCED: Span = Span::seconds(3);

/// Between racks that an instance gives away to even the burden out. Each move costs a claim at every endpoint of the
/// rack, so they follow each other slowly.
const REBALANCE: Span = Span::millis(1_000);

/// How long a member must have been heard before it gets a rack that has an owner: one that comes and goes would
/// take racks along each time.
const STEADY: Span = Span::seconds(2);

/// How far the epoch leaps when a token was too low: clocks of two lives may disagree by some seconds, which are as many
/// epochs.
const LEAP: u64 = 16;

/// A rack whose owner has fallen silent, or has fenced this instance off.
#[derive(Debug, Clone)]
pub(super) struct FormerOwner {
    /// Who owned it, as far as is known.
    pub(super) owner: Option<Instance>,
    /// The highest token known there.
    token: Token,
    since: Time,
    /// Whether the token was too low already.
    fenced: bool,
}

/// Which members an instance has heard since it began.
#[derive(Debug, Default)]
pub(super) struct Startup {
    /// When it heard the last one for the first time.
    last: Option<Time>,
    /// How many owned no racks when they were heard first.
    fresh: usize,
    /// How many did.
    established: usize,
}

impl Startup {
    /// Takes note of a member that is heard for the first time, or again.
    pub(super) fn on_member_heard(&mut self, member: Option<&Member>, now: Time) {
        self.last = Some(now);
        let status = member.and_then(|member| member.status.as_ref());
        match status.is_some_and(|status| !status.racks.is_empty()) {
            true => self.established += 1,
            false => self.fresh += 1,
        }
    }

    /// Tells whether all members seem to have started together: most of those that are known are heard, none of them owned
    /// anything, and no further one has come for a while.
    ///
    /// After a loss of all instances callers wait for the first claims: 0.35 s less of that is as much work of all endpoints. One
    /// that starts among others waits longer: a rack whose owner it hasn't heard yet is none of its business.
    fn is_common(&self, known: usize, now: Time) -> bool {
        let quiet = self.last.is_some_and(|at| now.since(at) >= STARTUP_QUIET);
        quiet && self.established == 0 && self.fresh * 2 >= known
    }
}

impl Dispatcher {
    /// Tells whether it has listened long enough to claim racks that nobody seems to own.
    fn settled(&self, now: Time) -> bool {
        let known = self.members.all().count();
        now.since(self.started_at) >= STARTUP_DELAY || self.startup.is_common(known, now)
    }

    /// Decides who owns what: gives up what another owns with a higher token, claims what nobody owns.
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
            self.epoch = Epoch(self.epoch.0 + LEAP);
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
        } else if self.settled(now) {
            self.update_owners();
            self.claim_orphans(now, out);
        }
        self.update_owners();
    }

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
        let mine: Vec<RackId> = assign_racks(&orphans, &mut candidates)
            .into_iter()
            .filter(|(_, owner)| owner == own)
            .map(|(rack, _)| rack)
            .collect();
        let mine: Vec<RackId> = mine
            .into_iter()
            .filter(|rack| self.is_claimable(*rack, now, out))
            .collect();
        if mine.is_empty() {
            return;
        }
        let token = self.next_token();
        for rack in mine {
            self.owner.claim(rack, token, out);
        }
        self.owner
            .update_endpoints(&self.roster.endpoints, now, out);
        // The others must not place tasks by what the former owner said.
        self.announced_at = Time::default();
    }

    /// Tells whether a rack that nobody is heard to own can be claimed.
    pub(super) fn is_claimable(&mut self, rack: RackId, now: Time, out: &mut Effects) -> bool {
        let Some(former) = self.former_owners.get(&rack).cloned() else {
            return true;
        };
        let free = match former.fenced {
            true => now.since(former.since) >= FENCED,
            false => {
                let endpoints = &self.roster.endpoints;
                let verdict = self.owner.probe(rack, former.token, endpoints, now, out);
                verdict == Verdict::Free
            }
        };
        if free {
            self.former_owners.remove(&rack);
        }
        free
    }

    /// Takes note of racks whose owner isn't heard any more.
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

    pub(super) fn next_token(&mut self) -> Token {
        self.epoch = Epoch(self.epoch.max(self.members.highest_epoch()).0 + 1);
        let name = self.identity.contact.name.as_str().as_bytes();
        Token::new(self.epoch, fnv1a(self.identity.incarnation, name))
    }

    /// Finds the owner of each rack anew if claims have changed since it did so last.
    ///
    /// Done for each message, this took nine tenths of the processor time of 42 instances with 44 racks.
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

    /// Gives a rack away that another member should have: one in its own data centre, or one with less to do.
    ///
    /// Racks of an instance that was restarted stay with those that took them over. Without a way back, a data
    /// centre whose only instance had been restarted owned none of its racks, and when it was cut off they could be
    /// used by neither side.
    pub(super) fn rebalance_racks(&mut self, now: Time, out: &mut Effects) {
        if self.is_draining() || now.since(self.rebalanced_at) < REBALANCE {
            return;
        }
        self.rebalanced_at = now;
        let steady = |c: &Candidate| {
            let member = self.members.get(&c.name);
            member.is_some_and(|m| m.live && now.since(m.state_since) >= STEADY)
        };
        let candidates: Vec<Candidate> =
            self.rack_candidates().into_iter().filter(steady).collect();
        let centres: HashMap<RackId, String> = self.entry.racks().into_iter().collect();
        let own: Vec<RackId> = self.owner.racks().map(|(rack, _)| rack).collect();
        let burden = |racks: usize, share: u32| racks as u64 * 1_000_000 / u64::from(share.max(1));
        let mine = burden(own.len(), self.identity.share);
        let home = &self.identity.centre;
        for rack in own {
            let Some(centre) = centres.get(&rack) else {
                continue;
            };
            let near = candidates.iter().filter(|c| c.centre == *centre);
            let Some(next) = near.min_by_key(|c| burden(c.racks + 1, c.share)) else {
                continue;
            };
            if centre != home || burden(next.racks + 1, next.share) < mine {
                let next = next.name.clone();
                return self.hand_over_rack(rack, &next, now, out);
            }
        }
    }

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
        self.announced_at = Time::default();
    }

    /// Gives all racks to members that stay.
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

    pub(super) fn accept_handover(&mut self, handover: Handover, now: Time, out: &mut Effects) {
        self.epoch = self.epoch.max(handover.token.epoch());
        let token = self.next_token();
        self.owner
            .take_over(handover, token, &self.roster.endpoints, now, out);
        self.update_owners();
        self.announced_at = Time::default();
        if self.is_draining() {
            self.hand_over_all(now, out);
        }
    }
}
