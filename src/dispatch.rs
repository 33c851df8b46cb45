//! The dispatcher of leased tasks: all decisions of an instance on the platform, without input or output.
//!
//! [`Dispatcher::step`] takes what happened and returns what is to be done. It knows no sockets, clocks or
//! threads, so that every order of events can be played in a test.

pub mod endpoint;
pub mod entry;
pub mod id;
pub mod member;
pub mod message;
pub mod owner;
pub mod patience;
pub mod queue;
pub mod roster;
pub mod route;
pub mod task;

use std::{
    collections::HashMap,
    rc::Rc, //
};

use self::{
    entry::Entry,
    id::{
        Epoch,
        RackId,
        Token, //
    },
    member::{
        deal,
        Candidate,
        Member,
        Members,
        Reception,
        HEARTBEAT,
        SETTLE, //
    },
    message::{
        Answer,
        Beat,
        Claim,
        Contact,
        Handover,
        Input,
        Letter,
        Output,
        Pulse,
        Record,
        Roster,
        Sender,
        Ticket,
        Vacancy, //
    },
    owner::{
        Effects,
        Owner,
        Verdict, //
    },
    route::Configuration,
    task::Submission,
};
use crate::prelude::*;

/// Between pulses about room: three times shorter than the shortest tasks, so that most of what ends is
/// known before the next job is placed; a tenth of the interval would cost ten times the messages.
const ROOMS: Span = Span::millis(20);

/// Between pulses that tell the room of all racks: one that told a change may have been lost.
const REFRESH: Span = Span::millis(500);

/// Peers that are told of room every [`ROOMS`]; with more of them the interval grows, so that an instance sends 400
/// pulses a second at the most, for about a hundredth of a core.
const AUDIENCE: u64 = 8;

/// Racks in one pulse, so that it fits in one packet.
const RACKS: usize = 6;

/// How long a peer may have an older configuration, or list of endpoints, before it gets this instance's: most
/// hear it from the store at the same time.
const BEHIND: (Span, Span) = (Span::millis(300), Span::millis(1_000));

/// Between audits of parcels that have been out for long.
const AUDITS: Span = Span::millis(250);

/// A pause between two steps after which an instance takes all that it holds as lapsed: it ticks every few
/// milliseconds, and its peers take over what it had after [`member::SILENCE`].
const PAUSE: Span = Span::millis(450);

/// How long a draining instance goes on taking jobs: the platform sends it no new connections after two missed
/// checks, a second apart, and callers on open ones learn from their next answer that it leaves. A job that
/// came later could not end before the process is killed.
const LINGER: Span = Span::millis(2_500);

/// When a caller that a leaving instance refuses may come back: at once, anywhere else.
const LEAVING: Span = Span::millis(500);

/// How long an instance that was fenced off a rack leaves it alone while nobody is heard to own it: the two sides of
/// a cut between instances must not take racks from each other by turns.
const FENCED: Span = Span::seconds(3);

/// How far the epoch leaps when a token was too low: clocks of two lives may disagree by some seconds, which are as many
/// epochs.
const LEAP: u64 = 16;

/// How long a draining instance goes on naming racks that it has handed over: its pulses overtake the letter with what
/// runs there, and the next owner would claim the rack as nobody's and stop it.
const CEDED: Span = Span::millis(700);

/// Bits of an incarnation, a time in milliseconds, that number the parcels of one life.
const SERIAL_BITS: u32 = 22;

/// Who the instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name and where its peers reach it.
    pub contact: Contact,
    /// Its data centre.
    pub centre: String,
    /// One life of it: a later one is higher.
    pub incarnation: u64,
    /// Its processor share, in thousandths of a core.
    pub share: u32,
    /// Where its claims begin: above those of any life before, as far as clocks agree. Endpoints remember the
    /// highest token, and a lower one costs a refused claim.
    pub epoch: Epoch,
}

/// What the instance has and does, in numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Jobs in progress.
    pub jobs: usize,
    /// Tasks that wait on its racks.
    pub waiting: usize,
    /// Runs on its endpoints.
    pub runs: usize,
    /// Endpoints that take tasks.
    pub open: usize,
    /// Racks that it owns.
    pub racks: usize,
    /// Live peers.
    pub peers: usize,
    /// The configuration's version.
    pub configuration: u64,
}

/// A rack whose owner has fallen silent, or has fenced this instance off.
#[derive(Debug, Clone)]
struct Former {
    /// Who owned it, as far as is known.
    owner: Option<Instance>,
    /// The highest token known there.
    token: Token,
    since: Time,
    /// Whether the token was too low already.
    fenced: bool,
}

/// All state of an instance.
#[derive(Debug)]
pub struct Dispatcher {
    identity: Identity,
    members: Members,
    entry: Entry,
    owner: Owner,
    configuration: Option<Configuration>,
    roster: Roster,
    listed: bool,
    /// Racks that nobody is heard to own, and that may still be somebody's.
    former: HashMap<RackId, Former>,
    epoch: Epoch,
    /// Racks that were handed over, with the time of that.
    ceded: Vec<(Claim, Time)>,
    began: Time,
    stepped: Time,
    beat: Time,
    rooms: Time,
    refresh: Time,
    audit: Time,
    /// Since when it is about to end.
    draining: Option<Time>,
    /// Whether callers' idle connections were closed for that.
    shut: bool,
}

impl Dispatcher {
    /// Makes a dispatcher that knows nothing yet.
    pub fn new(identity: Identity, now: Time) -> Self {
        let identity_epoch = identity.epoch;
        Self {
            entry: Entry::new(identity.incarnation << SERIAL_BITS),
            owner: Owner::new(&identity.contact.name),
            identity,
            members: Members::default(),
            configuration: None,
            roster: Roster::default(),
            listed: false,
            former: HashMap::new(),
            epoch: identity_epoch,
            ceded: Vec::new(),
            began: now,
            stepped: Time::default(),
            beat: Time::default(),
            rooms: Time::default(),
            refresh: Time::default(),
            audit: Time::default(),
            draining: None,
            shut: false,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Tells whether it can serve callers, and stays.
    pub fn ready(&self) -> bool {
        let known = self.configuration.is_some() && self.listed;
        known && self.draining.is_none() && (self.entry.owned() || self.roster.endpoints.is_empty())
    }

    /// Tells whether it is about to end.
    pub fn draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Tells whether it takes no jobs any more, since it is about to end.
    pub fn closed(&self, now: Time) -> bool {
        self.draining
            .is_some_and(|since| now.since(since) >= LINGER)
    }

    /// Tells whether it hears no peer.
    pub fn alone(&self) -> bool {
        self.members.live().next().is_none()
    }

    /// Counts the jobs of its callers of which nothing has started.
    pub fn pending(&self) -> usize {
        self.entry.pending()
    }

    /// Tells whether a job is in progress here.
    pub fn knows(&self, job: id::JobId) -> bool {
        self.entry.knows(job)
    }

    /// Returns what it has and does, in numbers.
    pub fn standing(&self) -> Standing {
        let (waiting, runs, open) = self.owner.counts();
        Standing {
            jobs: self.entry.len(),
            waiting,
            runs,
            open,
            racks: self.owner.racks().count(),
            peers: self.members.live().count(),
            configuration: self.configuration.as_ref().map_or(0, |c| c.version),
        }
    }

    /// Takes what happened and returns what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Effects::default();
        let paused = self.stepped != Time::default() && now.since(self.stepped) > PAUSE;
        self.stepped = now;
        if paused {
            self.awake(now, &mut out);
        }
        match input {
            // What pulses say goes before who is silent: they may have waited while the process stood still.
            Input::Pulsed(pulses) => {
                self.pulsed(pulses, now, &mut out);
                self.expire(now, &mut out);
            }
            input => {
                self.expire(now, &mut out);
                self.take(now, input, &mut out);
            }
        }
        self.settle(now, &mut out);
        out.outputs
    }

    /// Does what is due, and delivers letters of this instance to itself until there are none left.
    fn settle(&mut self, now: Time, out: &mut Effects) {
        loop {
            let letters = std::mem::take(&mut out.letters);
            if letters.is_empty() {
                self.owner.work(now, out);
                if out.letters.is_empty() {
                    return;
                }
            }
            self.update_owners(&self.members.owners());
            for (to, letter) in letters {
                if to.name == self.identity.contact.name {
                    let own = self.identity.contact.clone();
                    self.letter(&own, letter, now, out);
                } else if let Some(member) = self.members.get(&to.name) {
                    let to = member.contact.clone();
                    out.outputs.push(Output::Send(to, letter));
                }
            }
        }
    }

    fn take(&mut self, now: Time, input: Input, out: &mut Effects) {
        match input {
            Input::Submitted {
                ticket,
                host,
                path,
                submission,
                wait,
            } => self.submit(ticket, &host, &path, *submission, wait, now, out),
            Input::Abandoned(ticket) => self.entry.abandon(ticket, now, out),
            Input::Cancelled(job) => {
                if !self.entry.cancel(job, now, out) {
                    self.tell_all(Letter::CancelJob(job), out);
                }
            }
            Input::Configured(configuration) => self.configure(*configuration, "store", out),
            Input::Listed(roster) => self.list(roster, now, out),
            Input::Found(contacts) => {
                for contact in contacts {
                    self.find(&contact, now, out);
                }
            }
            Input::Received { from, letters } => {
                if self.meet(&from, now, out) {
                    for letter in letters {
                        self.letter(&from.contact, letter, now, out);
                    }
                }
            }
            Input::Pulsed(pulses) => self.pulsed(pulses, now, out),
            Input::Called { call, sent, reply } => self.owner.called(call, sent, reply, now, out),
            Input::Drain => {
                self.draining.get_or_insert(now);
                out.outputs.push(Output::Log(Record::new("draining")));
                self.beat = Time::default();
                self.tick(now, out);
            }
            Input::Tick => self.tick(now, out),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn submit(
        &mut self,
        ticket: Ticket,
        host: &str,
        path: &str,
        submission: Submission,
        wait: Option<Span>,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(configuration) = &self.configuration else {
            return out.outputs.push(Output::Answer(ticket, Answer::Unready));
        };
        let Some((route, _)) = configuration.route(host, path) else {
            return out.outputs.push(Output::Answer(ticket, Answer::NoRoute));
        };
        if self.closed(now) {
            let again = LEAVING;
            out.outputs
                .push(Output::Answer(ticket, Answer::Refused { again }));
            return;
        }
        let centre = &self.identity.centre;
        self.entry
            .submit(ticket, submission, route, wait, centre, now, out);
    }

    /// Puts a configuration in force, unless a newer one is.
    fn configure(&mut self, configuration: Configuration, from: &str, out: &mut Effects) {
        let known = self.configuration.as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        let record = Record::new("configuration_applied").with("version", configuration.version);
        out.outputs.push(Output::Log(record.with("from", from)));
        self.configuration = Some(configuration);
    }

    fn list(&mut self, roster: Roster, now: Time, out: &mut Effects) {
        if self.listed && roster.version < self.roster.version {
            return;
        }
        self.listed = true;
        self.entry.list(&roster.endpoints);
        self.owner.list(&roster.endpoints, now, out);
        self.roster = roster;
        self.deal(now, out);
    }

    fn find(&mut self, contact: &Contact, now: Time, out: &mut Effects) {
        if contact.name == self.identity.contact.name {
            return;
        }
        if self.members.find(contact, now) {
            let record = Record::new("member_found").with("member", contact.name.as_str());
            out.outputs.push(Output::Log(record));
            let pulse = self.own_pulse(Vec::new(), now);
            let pulse = Rc::new(pulse);
            out.outputs.push(Output::Pulse(contact.clone(), pulse));
        }
    }

    fn pulsed(&mut self, pulses: Vec<(Sender, Pulse)>, now: Time, out: &mut Effects) {
        for (from, pulse) in pulses {
            if !self.meet(&from, now, out) {
                continue;
            }
            let name = &from.contact.name;
            let known = self.members.get(name);
            let lived = known.is_some_and(|m| m.live);
            let beat = known.and_then(|m| m.beat.as_ref());
            let moved = beat.is_none_or(|beat| beat.racks != pulse.beat.racks);
            self.epoch = self.epoch.max(pulse.beat.epoch);
            self.members.pulse(name, pulse.beat, pulse.sent, now);
            let lives = self.members.get(name).is_some_and(|m| m.live);
            if moved || !lived {
                // Room counts only from a rack's owner.
                self.update_owners(&self.members.owners());
            }
            if lives {
                self.owner.hear(name);
                self.entry.rooms(name, pulse.rooms);
                self.help(&from.contact, now, out);
            }
            if lives && !lived {
                self.greet(&from.contact, now, out);
            }
        }
        self.deal(now, out);
        self.want(now, out);
    }

    /// Gives a peer the configuration and the endpoints that it hasn't heard of for a while: the store may turn
    /// it away.
    fn help(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let own = self.configuration.as_ref().map_or(0, |c| c.version);
        let roster = match self.listed {
            true => self.roster.version,
            false => 0,
        };
        let (lacks_configuration, lacks_roster) =
            self.members.behind(&to.name, own, roster, BEHIND, now);
        if let Some(own) = self.configuration.as_ref().filter(|_| lacks_configuration) {
            let letter = Letter::Configuration(Box::new(own.clone()));
            out.letters.push((to.clone(), letter));
        }
        if lacks_roster {
            let letter = Letter::Roster(Box::new(self.roster.clone()));
            out.letters.push((to.clone(), letter));
        }
    }

    /// Judges a message by its sender's life and session; returns whether it counts.
    fn meet(&mut self, from: &Sender, now: Time, out: &mut Effects) -> bool {
        let name = &from.contact.name;
        let was = self
            .members
            .get(name)
            .map(|m| (m.live, m.incarnation, m.session));
        match self.members.receive(from, self.identity.incarnation, now) {
            Reception::Stale => {
                let record = Record::new("letters_stale").with("member", name.as_str());
                out.outputs.push(Output::Log(record));
                return false;
            }
            Reception::Anew => {
                if was.is_some_and(|(_, life, _)| life != from.incarnation) {
                    // Its former life has ended for certain, and its racks can be claimed at once.
                    self.former
                        .retain(|_, former| former.owner.as_ref() != Some(name));
                }
                let record = Record::new("session_begun").with("member", name.as_str());
                let record = record.with("session", from.session);
                out.outputs.push(Output::Log(record));
                self.owner.abandon(name, out);
                self.entry.lost(name, now, out);
            }
            Reception::Valid => {}
        }
        let member = self.members.get(name);
        let is = member.map(|m| (m.live, m.incarnation, m.session));
        if is.map(|i| (i.1, i.2)) != was.map(|w| (w.1, w.2)) {
            out.outputs.push(Output::Session {
                to: from.contact.clone(),
                incarnation: from.incarnation,
                session: is.map_or(0, |(_, _, session)| session),
            });
        }
        true
    }

    /// Tells a member that has just come all that it must know to place tasks.
    fn greet(&mut self, to: &Contact, now: Time, out: &mut Effects) {
        let record = Record::new("member_heard").with("member", to.name.as_str());
        out.outputs.push(Output::Log(record));
        let members = self.members.live().map(|m| m.contact.clone()).collect();
        out.letters.push((to.clone(), Letter::Members(members)));
        let rooms = self.owner.rooms(true, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.pulse(Some(to), rooms, now, out);
    }

    fn letter(&mut self, from: &Contact, letter: Letter, now: Time, out: &mut Effects) {
        match letter {
            Letter::Members(contacts) => {
                for contact in contacts {
                    self.find(&contact, now, out);
                }
            }
            Letter::Parcel(parcel) => self.owner.accept(from, *parcel, now, out),
            Letter::Cancel(serial) => self.owner.cancel(from, serial, out),
            Letter::Report {
                serial,
                outcome,
                started,
            } => {
                let centre = &self.identity.centre;
                self.entry
                    .report(serial, outcome, started, centre, now, out);
            }
            Letter::Returned {
                serial,
                tasks,
                started,
                hint,
            } => {
                self.entry.returned(serial, tasks, started, hint, now);
                self.entry.work(&self.identity.centre, now, out);
            }
            Letter::Audit(serials) => self.owner.audit(from, serials, out),
            Letter::Unknown(serials) => self.entry.unknown(&from.name, &serials, now, out),
            Letter::Want {
                from: rack,
                to,
                rooms,
            } => self.owner.spare(rack, to, rooms, out),
            Letter::Handover(handover) => self.take_over(*handover, now, out),
            Letter::Moved { serial, to } => self.entry.moved(serial, to, now),
            Letter::Configuration(configuration) => {
                self.configure(*configuration, from.name.as_str(), out);
            }
            Letter::Roster(roster) => {
                if roster.version > self.roster.version || !self.listed {
                    self.list(*roster, now, out);
                }
            }
            Letter::CancelJob(job) => {
                self.entry.cancel(job, now, out);
            }
        }
    }

    /// Sends pulses with `rooms` to one member or to all.
    fn pulse(&mut self, to: Option<&Contact>, rooms: Vec<Vacancy>, now: Time, out: &mut Effects) {
        let mut parts: Vec<Vec<Vacancy>> = rooms.chunks(RACKS).map(<[Vacancy]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        for part in parts {
            let pulse = Rc::new(self.own_pulse(part, now));
            if let Some(to) = to {
                out.outputs.push(Output::Pulse(to.clone(), pulse));
                continue;
            }
            for member in self.members.all() {
                let to = member.contact.clone();
                out.outputs.push(Output::Pulse(to, pulse.clone()));
            }
        }
    }

    fn own_pulse(&self, rooms: Vec<Vacancy>, now: Time) -> Pulse {
        Pulse {
            sent: now,
            beat: self.own_beat(),
            rooms,
        }
    }

    fn own_beat(&self) -> Beat {
        let claim = |(rack, token)| Claim { rack, token };
        let ceded = self.ceded.iter().map(|(claim, _)| *claim);
        Beat {
            epoch: self.epoch,
            configuration: self.configuration.as_ref().map_or(0, |c| c.version),
            roster: match self.listed {
                true => self.roster.version,
                false => 0,
            },
            draining: self.draining(),
            share: self.identity.share,
            racks: self.owner.racks().map(claim).chain(ceded).collect(),
        }
    }

    fn tell_all(&self, letter: Letter, out: &mut Effects) {
        for member in self.members.live() {
            out.letters.push((member.contact.clone(), letter.clone()));
        }
    }

    /// Decides who owns what: gives up what another owns with a higher token, claims what nobody owns.
    fn deal(&mut self, now: Time, out: &mut Effects) {
        let owners = self.members.owners();
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
            let former = Former {
                owner: None,
                token,
                since: now,
                fenced: true,
            };
            self.former.insert(rack, former);
        }
        self.former.retain(|rack, _| !owners.contains_key(rack));
        if self.draining() {
            self.hand_over(now, out);
        } else if now.since(self.began) >= SETTLE {
            self.claim(&owners, now, out);
        }
        self.update_owners(&owners);
    }

    fn claim(&mut self, owners: &HashMap<RackId, (Instance, Token)>, now: Time, out: &mut Effects) {
        let racks = self.entry.racks();
        let free = |rack: &RackId| !owners.contains_key(rack) && !self.owner.owns(*rack);
        let orphans: Vec<(RackId, String)> =
            racks.into_iter().filter(|(rack, _)| free(rack)).collect();
        if orphans.is_empty() {
            return;
        }
        let own = &self.identity.contact.name;
        let mut candidates = self.candidates();
        candidates.push(Candidate {
            name: own.clone(),
            centre: self.identity.centre.clone(),
            share: self.identity.share,
            racks: self.owner.racks().count(),
        });
        let mine: Vec<RackId> = deal(&orphans, &mut candidates)
            .into_iter()
            .filter(|(_, owner)| owner == own)
            .map(|(rack, _)| rack)
            .collect();
        let mine: Vec<RackId> = mine
            .into_iter()
            .filter(|rack| self.is_free(*rack, now, out))
            .collect();
        if mine.is_empty() {
            return;
        }
        let token = self.next_token();
        for rack in mine {
            self.owner.claim(rack, token, out);
        }
        self.owner.list(&self.roster.endpoints, now, out);
        // The others must not place tasks by what the former owner said.
        self.beat = Time::default();
    }

    /// Tells whether a rack that nobody is heard to own can be claimed.
    fn is_free(&mut self, rack: RackId, now: Time, out: &mut Effects) -> bool {
        let Some(former) = self.former.get(&rack).cloned() else {
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
            self.former.remove(&rack);
        }
        free
    }

    /// Takes note of racks whose owner isn't heard any more.
    fn remember(&mut self, owner: &Instance, claims: &[Claim], now: Time) {
        for claim in claims {
            let former = Former {
                owner: Some(owner.clone()),
                token: claim.token,
                since: now,
                fenced: false,
            };
            self.former.insert(claim.rack, former);
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let members = self.members.takers();
        let candidate = |m: &Member| {
            let beat = m.beat.as_ref()?;
            Some(Candidate {
                name: m.contact.name.clone(),
                centre: m.centre.clone(),
                share: beat.share,
                racks: beat.racks.len(),
            })
        };
        members.filter_map(candidate).collect()
    }

    fn next_token(&mut self) -> Token {
        self.epoch = Epoch(self.epoch.max(self.members.epoch()).0 + 1);
        let name = self.identity.contact.name.as_str().as_bytes();
        Token::new(self.epoch, id::fnv(self.identity.incarnation, name))
    }

    fn update_owners(&mut self, owners: &HashMap<RackId, (Instance, Token)>) {
        let mut contacts: HashMap<RackId, Contact> = HashMap::new();
        for (rack, (name, _)) in owners {
            if let Some(member) = self.members.get(name) {
                contacts.insert(*rack, member.contact.clone());
            }
        }
        for (rack, _) in self.owner.racks() {
            contacts.insert(rack, self.identity.contact.clone());
        }
        self.entry.own(&contacts);
    }

    /// Gives all racks to members that stay.
    fn hand_over(&mut self, now: Time, out: &mut Effects) {
        let racks: Vec<RackId> = self.owner.racks().map(|(rack, _)| rack).collect();
        if racks.is_empty() {
            return;
        }
        let centres: HashMap<RackId, String> = self.entry.racks().into_iter().collect();
        let with_centre = |rack: &RackId| (*rack, centres.get(rack).cloned().unwrap_or_default());
        let racks: Vec<(RackId, String)> = racks.iter().map(with_centre).collect();
        for (rack, name) in deal(&racks, &mut self.candidates()) {
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let to = member.contact.clone();
            if let Some(handover) = self.owner.hand_over(rack, &to, now, out) {
                let token = handover.token;
                self.ceded.push((Claim { rack, token }, now));
                out.letters.push((to, Letter::Handover(Box::new(handover))));
            }
        }
        self.beat = Time::default();
    }

    fn take_over(&mut self, handover: Handover, now: Time, out: &mut Effects) {
        self.epoch = self.epoch.max(handover.token.epoch());
        let token = self.next_token();
        self.owner
            .take_over(handover, token, &self.roster.endpoints, now, out);
        self.update_owners(&self.members.owners());
        self.beat = Time::default();
        if self.draining() {
            self.hand_over(now, out);
        }
    }

    /// Takes all that it holds as lapsed, after the process stood still for longer than its peers wait.
    fn awake(&mut self, now: Time, out: &mut Effects) {
        out.outputs.push(Output::Log(Record::new("awoke")));
        self.owner.void(&self.identity.contact.name);
        for member in self.members.void(now) {
            out.outputs.push(Output::Session {
                to: member.contact,
                incarnation: member.incarnation,
                session: member.session,
            });
        }
        self.entry.void(now, out);
        self.began = now;
        self.update_owners(&HashMap::new());
    }

    /// Gives up members that have been silent too long.
    fn expire(&mut self, now: Time, out: &mut Effects) {
        for member in self.members.expire(now) {
            let name = member.contact.name.clone();
            let record = Record::new("member_lost").with("member", name.as_str());
            let heard = member.heard.unwrap_or(now);
            out.outputs
                .push(Output::Log(record.with("silent_ms", now.since(heard))));
            out.outputs.push(Output::Session {
                to: member.contact,
                incarnation: member.incarnation,
                session: member.session,
            });
            let claims = member.beat.map_or_else(Vec::new, |beat| beat.racks);
            self.remember(&name, &claims, now);
            self.owner.abandon(&name, out);
            self.entry.lost(&name, now, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Effects) {
        self.ceded.retain(|(_, at)| now.since(*at) < CEDED);
        self.deal(now, out);
        self.entry.work(&self.identity.centre, now, out);
        if now.since(self.audit) >= AUDITS {
            self.audit = now;
            self.entry.audit(now, out);
        }
        self.tell(now, out);
        if self.closed(now) && !self.shut {
            self.shut = true;
            out.outputs.push(Output::Closed);
        }
        if self.closed(now) && self.entry.is_empty() && self.owner.idle() {
            out.outputs.push(Output::Drained);
        }
    }

    /// Tells peers that it lives, and of room that has changed.
    fn tell(&mut self, now: Time, out: &mut Effects) {
        let peers = self.members.live().count() as u64;
        let interval = Span(ROOMS.0 * peers.max(AUDIENCE) / AUDIENCE);
        let due = now.since(self.beat) >= HEARTBEAT;
        let changed = now.since(self.rooms) >= interval && self.owner.changed(now);
        if !due && !changed {
            return;
        }
        let all = now.since(self.refresh) >= REFRESH;
        if all {
            self.refresh = now;
        }
        let rooms = self.owner.rooms(all, now);
        (self.beat, self.rooms) = (now, now);
        let own = self.identity.contact.name.clone();
        self.entry.rooms(&own, rooms.clone());
        self.pulse(None, rooms, now, out);
        self.want(now, out);
    }

    /// Asks owners whose racks have tasks waiting for some, where an own rack has room and nothing waits.
    fn want(&mut self, now: Time, out: &mut Effects) {
        if self.draining() {
            return;
        }
        for (to, rooms) in self.owner.spacious(now) {
            let Some((from, contact)) = self.entry.busiest(to) else {
                continue;
            };
            self.entry.asked(from, rooms.len() as u32);
            out.letters
                .push((contact, Letter::Want { from, to, rooms }));
        }
    }
}
