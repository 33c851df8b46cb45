//! The dispatcher of leased tasks: all decisions of an instance on the platform, without input or output.
//!
//! [`Dispatcher::step`] takes what happened and returns what is to be done. It knows no sockets, clocks or
//! threads, so that every order of events can be played in a test.

mod announcement;
mod coordination;
mod documents;
pub mod durable;
pub mod endpoint;
pub mod entry;
pub mod evacuation;
pub mod id;
pub mod member;
pub mod message;
pub mod owner;
mod ownership;
pub mod progress;
pub mod queue;
mod reader;
mod requests;
pub mod roster;
pub mod route;
pub mod task;
pub mod timeout;
pub mod watch;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    rc::Rc,
    slice, //
};

use self::{
    documents::Documents,
    durable::Coordinator,
    entry::Entry,
    evacuation::Evacuation,
    id::{
        Epoch,
        RackId,
        Token, //
    },
    member::{
        Members,
        SenderCheck, //
    },
    message::{
        Answer,
        Arrival,
        Claim,
        Contact,
        Heartbeat,
        Input,
        Listing,
        Message,
        Output,
        Record,
        Roster,
        Sender, //
    },
    owner::{
        Effects,
        Owner, //
    },
    ownership::{
        FormerOwner,
        Startup, //
    },
    reader::Reader,
    requests::Requests,
    route::Configuration,
};
use crate::prelude::*;

/// After which a batch of a member that isn't a neighbour comes too late: half of what a member may be silent.
const BELATED: Span = Span(member::HEARTBEAT_TIMEOUT.0 / 2);

/// Between audits of batches that have been out for long.
const AUDITS: Span = Span::millis(250);

/// A pause between two steps after which an instance takes all that it holds as lapsed: it ticks every few
/// milliseconds, and its peers take over what it had after [`member::HEARTBEAT_TIMEOUT`].
const PAUSE: Span = Span::millis(450);

/// Between searches for members that have been silent too long: a tenth of what a heartbeat takes to come again.
const EXPIRY: Span = Span::millis(10);

/// How long a draining instance goes on taking jobs: the platform sends it no new connections after two missed
/// checks, a second apart, and callers on open ones learn from their next answer that it leaves. A job that
/// came later could not end before the process is killed.
const LINGER: Span = Span::millis(2_500);

/// How long an instance that takes no jobs any more still answers what comes on open connections, and how long one of
/// these must have been idle before it is closed. A connection that had just been accepted was closed before
/// its request came, and the caller saw it break; requests follow their connection within milliseconds.
pub const CONNECTION_GRACE: Span = Span::millis(200);

/// Between decisions on which shards to coordinate: what others say of theirs comes as often.
const COORDINATE: Span = member::HEARTBEAT_INTERVAL;

/// How long a question about a stored job may take: a few takeovers of its shard.
const ASKED: Span = Span::millis(2_500);

/// When a caller that a leaving instance refuses may come back: at once, anywhere else.
const LEAVING: Span = Span::millis(500);

/// How long a draining instance goes on naming racks that it has handed over: its heartbeats overtake the message with what
/// runs there, and the next owner would claim the rack as nobody's and stop it.
const CEDED: Span = Span::millis(700);

/// Bits of an incarnation, a time in milliseconds, that number the batches of one life.
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
pub struct Stats {
    /// Jobs in progress.
    pub jobs: usize,
    /// Tasks that wait on its racks.
    pub waiting_tasks: usize,
    /// Runs on its endpoints.
    pub runs: usize,
    /// Endpoints that take tasks.
    pub open_endpoints: usize,
    /// Racks that it owns.
    pub racks: usize,
    /// Live peers.
    pub peers: usize,
    /// The configuration's version.
    pub configuration_version: u64,
    /// Data centres that are evacuated.
    pub evacuated_centres: usize,
}

/// All state of an instance.
#[derive(Debug)]
pub struct Dispatcher {
    identity: Identity,
    members: Members,
    entry: Entry,
    owner: Owner,
    /// The shards of stored jobs that it coordinates.
    durable: Coordinator,
    /// Requests about stored jobs that wait for an answer.
    requests: Requests,
    documents: Documents,
    configuration: Option<Configuration>,
    evacuation: Evacuation,
    roster: Roster,
    has_roster: bool,
    reading: Reader,
    /// The owner of each rack that another instance has, with its token.
    rack_owners: Rc<HashMap<RackId, (Instance, Token)>>,
    /// The counts of changes, of members' claims and of its own, up to which `rack_owners` is known.
    claim_counts: Option<(u64, u64)>,
    /// Racks that nobody is heard to own, and that may still be somebody's.
    former_owners: BTreeMap<RackId, FormerOwner>,
    epoch: Epoch,
    /// Racks that were handed over, with the time of that.
    handed_over: Vec<(Claim, Time)>,
    /// When it gave a rack away last, or saw no need to.
    rebalanced_at: Time,
    started_at: Time,
    startup: Startup,
    stepped: Time,
    expired: Time,
    coordinated: Time,
    announced_at: Time,
    rooms_sent_at: Time,
    all_rooms_sent_at: Time,
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
            entry: Entry::new(
                identity.incarnation << SERIAL_BITS,
                &identity.contact.name,
                identity.centre.as_str(),
            ),
            owner: Owner::new(&identity.contact.name),
            durable: Coordinator::new(format!(
                "{} {}",
                identity.contact.name, identity.incarnation
            )),
            requests: Requests::default(),
            documents: Documents::default(),
            members: Members::new(&identity.contact.name, identity.centre.as_str()),
            identity,
            configuration: None,
            evacuation: Evacuation::default(),
            roster: Roster::default(),
            has_roster: false,
            reading: Reader::default(),
            rack_owners: Rc::default(),
            claim_counts: None,
            former_owners: BTreeMap::new(),
            epoch: identity_epoch,
            handed_over: Vec::new(),
            rebalanced_at: now,
            started_at: now,
            startup: Startup::default(),
            stepped: Time::default(),
            expired: Time::default(),
            coordinated: Time::default(),
            announced_at: Time::default(),
            rooms_sent_at: Time::default(),
            all_rooms_sent_at: Time::default(),
            audit: Time::default(),
            draining: None,
            shut: false,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the list of endpoints that it goes by.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Tells whether it can serve callers, and stays.
    pub fn is_ready(&self) -> bool {
        let known = self.configuration.is_some() && self.has_roster;
        known && self.draining.is_none() && (self.entry.owned() || self.roster.endpoints.is_empty())
    }

    /// Tells whether it is about to end.
    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Tells whether it takes no jobs any more, since it is about to end.
    pub fn refuses_jobs(&self, now: Time) -> bool {
        self.draining
            .is_some_and(|since| now.since(since) >= LINGER)
    }

    /// Tells whether all that came before it took no jobs any more is answered, and what came since had time to be told.
    fn over(&self, now: Time) -> bool {
        let told = |since| now.since(since) >= LINGER + CONNECTION_GRACE + CONNECTION_GRACE;
        let answered = self.entry.is_empty() && self.requests.is_empty();
        self.draining.is_some_and(told) && answered && self.owner.is_idle()
    }

    /// Tells whether it hears no peer.
    pub fn is_alone(&self) -> bool {
        self.members.live().next().is_none()
    }

    /// Counts the jobs of a queue of which nothing has started, at all instances that it hears.
    pub fn count_pending(&self, route: &str) -> u32 {
        let members = self.members.live().filter_map(|m| m.status.as_ref());
        let told = members.flat_map(|status| status.pending.iter());
        let told = told
            .filter(|(name, _)| name == route)
            .map(|(_, count)| count);
        let own = self
            .entry
            .pending_by_route()
            .get(route)
            .copied()
            .unwrap_or(0);
        own + told.sum::<u32>()
    }

    /// Tells whether a job is in progress here.
    pub fn has_job(&self, job: id::JobId) -> bool {
        self.entry.has_job(job)
    }

    /// Returns what it has and does, in numbers.
    pub fn stats(&self) -> Stats {
        let (waiting_tasks, runs, open_endpoints) = self.owner.counts();
        Stats {
            jobs: self.entry.len(),
            waiting_tasks,
            runs,
            open_endpoints,
            racks: self.owner.racks().count(),
            peers: self.members.live().count(),
            configuration_version: self.configuration.as_ref().map_or(0, |c| c.version),
            evacuated_centres: self.evacuation.centres.len(),
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
        // What heartbeats say goes before who is silent: they may have waited while the process stood still.
        let heartbeats = matches!(input, Input::Heartbeats(_));
        if !heartbeats {
            self.expire(now, &mut out);
        }
        self.take(now, input, &mut out);
        if heartbeats {
            self.expire(now, &mut out);
        }
        self.settle(now, &mut out);
        out.outputs
    }

    /// Does what is due, and delivers messages of this instance to itself until there are none left.
    fn settle(&mut self, now: Time, out: &mut Effects) {
        loop {
            let messages = std::mem::take(&mut out.messages);
            if messages.is_empty() {
                self.owner.process_due(now, out);
                self.report_run_ends(now, out);
                if out.messages.is_empty() {
                    return;
                }
            }
            self.update_owners();
            for (to, message) in messages {
                if to.name == self.identity.contact.name {
                    let own = self.identity.contact.clone();
                    self.message(&own, message, now, out);
                } else if let Some(member) = self.members.get(&to.name) {
                    let to = member.contact.clone();
                    out.outputs.push(Output::Send(to, message));
                }
            }
        }
    }

    fn take(&mut self, now: Time, input: Input, out: &mut Effects) {
        match input {
            Input::Submitted(arrival) => self.submit(*arrival, now, out),
            Input::Abandoned(ticket) => {
                self.requests.abandon(ticket);
                self.entry.abandon(ticket, now, out);
            }
            Input::JobRequested {
                ticket,
                job,
                question,
            } => {
                self.ask(ticket, job, question, ASKED, now);
                self.ask_again(now, out);
            }
            Input::StoreReplied { call, reply } => {
                let acts = self.durable.on_store_reply(call, reply, now, out);
                self.apply_actions(acts, now, out);
                self.call_store(now, out);
            }
            Input::Cancelled(job) => {
                if !self.entry.cancel(job, now, out) {
                    self.broadcast(Message::CancelJob(job), out);
                }
            }
            Input::Configured(configuration) => self.configure(*configuration, "store", out),
            Input::Evacuated(evacuation) => self.evacuate(evacuation, "store", now, out),
            Input::EvacuationChanged(change) => {
                if let Some(evacuation) = self.evacuation.with_change(&change) {
                    self.evacuate(evacuation, "store", now, out);
                }
            }
            Input::RosterListed(roster) => {
                let earlier = self.roster.clone();
                self.list(roster, now, out);
                self.send_roster_change(&earlier, out);
            }
            Input::RosterRead(done) => self.reading.on_read(done, now),
            Input::MembersFound(contacts) => {
                for contact in contacts {
                    self.find(&contact, now, out);
                }
            }
            Input::Received { from, messages } => {
                if self.meet(&from, now, out) {
                    self.members
                        .update_last_heard(&from.contact.name, from.sent, now);
                    for message in messages {
                        self.message(&from.contact, message, now, out);
                    }
                }
            }
            Input::Heartbeats(heartbeats) => self.take_heartbeats(heartbeats, now, out),
            Input::EndpointReplied { call, sent, reply } => {
                self.owner.on_reply(call, sent, reply, now, out)
            }
            Input::Drain => {
                self.draining.get_or_insert(now);
                out.outputs.push(Output::Log(Record::new("draining")));
                self.announced_at = Time::default();
                self.tick(now, out);
            }
            Input::Closing => self.entry.close(now, out),
            Input::Tick => self.tick(now, out),
        }
    }

    fn submit(&mut self, arrival: Arrival, now: Time, out: &mut Effects) {
        let Arrival {
            ticket,
            host,
            path,
            submission,
            wait,
        } = arrival;
        let Some(configuration) = &self.configuration else {
            return out.outputs.push(Output::Answer(ticket, Answer::Unready));
        };
        let Some((route, _)) = configuration.find_route(&host, &path) else {
            return out.outputs.push(Output::Answer(ticket, Answer::NoRoute));
        };
        if self.refuses_jobs(now) {
            let again = LEAVING;
            out.outputs
                .push(Output::Answer(ticket, Answer::Refused { again }));
            return;
        }
        if !submission.best_effort {
            let route = route.clone();
            return self.submit_stored(ticket, submission, &route, wait, now, out);
        }
        self.entry.submit(ticket, submission, route, wait, now, out);
    }

    /// Puts a configuration in force, unless a newer one is.
    fn configure(&mut self, configuration: Configuration, from: &str, out: &mut Effects) {
        let known = self.configuration.as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        let record = Record::new("configuration_applied").with("version", configuration.version);
        out.outputs.push(Output::Log(record.with("from", from)));
        let same = self
            .configuration
            .as_ref()
            .map(Configuration::service_names)
            == Some(configuration.service_names());
        self.configuration = Some(configuration);
        if self.has_roster && !same {
            self.list_racks();
        }
    }

    /// Starts nothing in the data centres that are evacuated from now on, unless something newer is known.
    fn evacuate(&mut self, evacuation: Evacuation, from: &str, now: Time, out: &mut Effects) {
        if evacuation.version <= self.evacuation.version {
            return;
        }
        let former = std::mem::replace(&mut self.evacuation, evacuation);
        let centres = &self.evacuation.centres;
        let begun = centres.difference(&former.centres);
        let begun = begun.map(|centre| ("centre_evacuated", centre));
        let over = former.centres.difference(centres);
        let over = over.map(|centre| ("centre_returned", centre));
        for (event, centre) in begun.chain(over) {
            let record = Record::new(event).with("centre", centre.as_str());
            let record = record.with("version", self.evacuation.version);
            out.outputs.push(Output::Log(record.with("from", from)));
        }
        if former.centres != *centres {
            self.owner.set_evacuated_centres(centres);
            self.entry.evacuate(centres);
            self.entry.work(now, out);
        }
    }

    /// Tells the entry of the racks whose service the configuration knows. Another program may list endpoints of a service
    /// that nobody configured: their racks would be claimed, and looked at for good.
    fn list_racks(&mut self) {
        let configuration = self.configuration.as_ref();
        let known = |l: &&Listing| configuration.is_none_or(|c| c.names(&l.service));
        self.entry.list(self.roster.endpoints.iter().filter(known));
        // Racks that are new here have no owner yet.
        self.claim_counts = None;
    }

    fn list(&mut self, roster: Roster, now: Time, out: &mut Effects) {
        if self.has_roster && roster.version < self.roster.version {
            return;
        }
        self.has_roster = true;
        self.owner.update_endpoints(&roster.endpoints, now, out);
        self.roster = roster;
        self.list_racks();
        self.update_ownership(now, out);
    }

    fn find(&mut self, contact: &Contact, now: Time, out: &mut Effects) {
        if contact.name == self.identity.contact.name {
            return;
        }
        if self.members.add(contact, now) {
            let record = Record::new("member_found").with("member", contact.name.as_str());
            out.outputs.push(Output::Log(record));
            self.send_heartbeats(slice::from_ref(&contact.name), &[], now, out);
        }
    }

    fn take_heartbeats(
        &mut self,
        heartbeats: Vec<(Sender, Heartbeat)>,
        now: Time,
        out: &mut Effects,
    ) {
        let claims = self.members.claim_changes();
        let movable = |(_, heartbeat): &(Sender, Heartbeat)| {
            heartbeat.rooms.iter().any(|vacancy| vacancy.movable > 0)
        };
        let movable = heartbeats.iter().any(movable);
        for (from, heartbeat) in heartbeats {
            if !self.meet(&from, now, out) {
                continue;
            }
            let name = &from.contact.name;
            let known = self.members.get(name);
            let lived = known.is_some_and(|m| m.live);
            self.epoch = self.epoch.max(heartbeat.status.epoch);
            let evacuation = heartbeat.status.evacuation.clone();
            self.evacuate(evacuation, from.contact.name.as_str(), now, out);
            self.members
                .on_heartbeat(name, heartbeat.status, from.sent, now);
            if heartbeat.watching {
                self.members.on_watched_by(name, now);
            }
            let lives = self.members.get(name).is_some_and(|m| m.live);
            // Room counts only from a rack's owner.
            self.update_owners();
            if lives {
                self.owner.mark_entry_alive(name);
                self.entry.update_rooms(name, heartbeat.rooms);
            }
            if lives && !lived {
                self.startup.on_member_heard(self.members.get(name), now);
                self.durable.recheck_empty();
                self.introduce(&from.contact, now, out);
            }
        }
        // What changes with time alone is found at the next tick.
        if self.members.claim_changes() != claims {
            self.update_ownership(now, out);
        }
        if movable {
            self.request_waiting_tasks(now, out);
        }
    }

    /// Judges a message by its sender's life and session; returns whether it counts.
    fn meet(&mut self, from: &Sender, now: Time, out: &mut Effects) -> bool {
        let name = &from.contact.name;
        let was = self
            .members
            .get(name)
            .map(|m| (m.live, m.incarnation, m.session));
        match self
            .members
            .check_sender(from, self.identity.incarnation, now)
        {
            SenderCheck::Stale => {
                let record = Record::new("messages_stale").with("member", name.as_str());
                out.outputs.push(Output::Log(record));
                return false;
            }
            SenderCheck::NewSession => {
                if was.is_some_and(|(_, life, _)| life != from.incarnation) {
                    // Its former life has ended for certain, and its racks can be claimed at once.
                    self.former_owners
                        .retain(|_, former| former.owner.as_ref() != Some(name));
                }
                let record = Record::new("session_begun").with("member", name.as_str());
                let record = record.with("session", from.session);
                out.outputs.push(Output::Log(record));
                self.owner.drop_entry(name, out);
                self.entry.lost(name, now, out);
            }
            SenderCheck::Current => {}
        }
        let member = self.members.get(name);
        let is = member.map(|m| (m.live, m.incarnation, m.session));
        if is.map(|i| (i.1, i.2)) != was.map(|w| (w.1, w.2)) {
            out.outputs.push(Output::BeginSession {
                to: from.contact.clone(),
                incarnation: from.incarnation,
                session: is.map_or(0, |(_, _, session)| session),
            });
        }
        true
    }

    /// Tells whether what comes of a member left it so long ago that it may be dead since.
    ///
    /// Of one that isn't a neighbour nothing else may have come lately. Its batch would be run until its silence is found, and
    /// its caller, whose connection broke when it died, may have come again elsewhere by then.
    fn is_belated(&self, name: &Instance, now: Time) -> bool {
        let member = self.members.get(name).filter(|m| !m.watch.is_neighbour());
        let heard = member.and_then(|member| member.last_heard);
        heard.is_some_and(|at| now.since(at) > BELATED)
    }

    fn message(&mut self, from: &Contact, message: Message, now: Time, out: &mut Effects) {
        match message {
            Message::Members(contacts) => {
                for contact in contacts {
                    self.find(&contact, now, out);
                }
            }
            Message::Batch(batch) => match self.is_belated(&from.name, now) {
                true => self.owner.decline(from, *batch, out),
                false => self.owner.accept(from, *batch, now, out),
            },
            Message::Cancel(serial) => self.owner.cancel(from, serial, now, out),
            Message::Report {
                serial,
                outcome,
                done,
                started,
            } => {
                let job = self.entry.report(serial, outcome, done, started, now, out);
                if let Some(act) = job.and_then(|job| self.durable.fail_job(job)) {
                    self.apply_actions(vec![act], now, out);
                    self.call_store(now, out);
                }
            }
            Message::Returned {
                serial,
                tasks,
                started,
                cause,
            } => {
                self.entry.returned(serial, tasks, started, cause, now, out);
                self.entry.work(now, out);
            }
            Message::Audit(serials) => self.owner.report_unknown_batches(from, serials, out),
            Message::Unknown(serials) => self.entry.unknown(&from.name, &serials, now, out),
            Message::Want {
                from: rack,
                to,
                rooms,
            } => self.owner.reassign_waiting(rack, to, rooms, out),
            Message::Handover(handover) => self.accept_handover(*handover, now, out),
            Message::Moved { serial, to, moves } => {
                let lost = to != self.identity.contact.name
                    && self.members.get(&to).is_none_or(|member| !member.live);
                self.entry.moved(serial, to.clone(), moves, now, out);
                if lost {
                    // It can't be asked for the batch, nor will it be given up once more.
                    self.entry.lost(&to, now, out);
                }
            }
            Message::RosterChange(change) => {
                if let Some(roster) = self.roster.with_change(&change).filter(|_| self.has_roster) {
                    self.list(roster, now, out);
                }
            }
            Message::Fetch { document, offset } => {
                self.send_piece(&from.name, document, offset, out);
            }
            Message::Piece(piece) => self.take_piece(&from.name, *piece, now, out),
            Message::CancelJob(job) => {
                self.entry.cancel(job, now, out);
            }
            Message::Request {
                serial,
                job,
                question,
            } => {
                self.request(from, serial, job, question, now, out);
                self.call_store(now, out);
            }
            Message::Verdict { serial, verdict } => self.verdict(serial, verdict, now, out),
            Message::Begun(serial) => self.entry.begun(serial),
            Message::Ended(end) => {
                let own = &self.identity.contact.name;
                let batch = end.batch.as_ref().filter(|(entry, _)| entry == own);
                let batch = batch.map(|(_, serial)| *serial);
                let batch = batch.filter(|serial| self.entry.has_out(*serial));
                let act = self.durable.on_run_end(from, &end, batch, out);
                self.apply_actions(act.into_iter().collect(), now, out);
                self.call_store(now, out);
            }
            Message::Noted {
                endpoint,
                life,
                serial,
                late,
            } => self.owner.on_end_stored(&endpoint, life, serial, late, now),
        }
    }

    /// Takes all that it holds as lapsed, after the process stood still for longer than its peers wait.
    fn awake(&mut self, now: Time, out: &mut Effects) {
        out.outputs.push(Output::Log(Record::new("awoke")));
        let acts = self.durable.release_all(out);
        self.apply_actions(acts, now, out);
        self.owner.reset(&self.identity.contact.name);
        for member in self.members.expire_all(now) {
            out.outputs.push(Output::BeginSession {
                to: member.contact,
                incarnation: member.incarnation,
                session: member.session,
            });
        }
        self.entry.void(now, out);
        self.started_at = now;
        self.startup = Startup::default();
        self.update_owners();
    }

    /// Gives up members that have been silent too long.
    fn expire(&mut self, now: Time, out: &mut Effects) {
        if now.since(self.expired) < EXPIRY {
            return;
        }
        self.expired = now;
        for member in self.members.expire(now) {
            let name = member.contact.name.clone();
            let record = Record::new("member_lost").with("member", name.as_str());
            let heard = member.last_heard.unwrap_or(now);
            out.outputs
                .push(Output::Log(record.with("silent_ms", now.since(heard))));
            out.outputs.push(Output::BeginSession {
                to: member.contact,
                incarnation: member.incarnation,
                session: member.session,
            });
            let claims = member.status.map_or_else(Vec::new, |status| status.racks);
            self.add_former_owner(&name, &claims, now);
            self.owner.drop_entry(&name, out);
            self.entry.lost(&name, now, out);
            self.durable.require_lock_checks(now);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Effects) {
        self.handed_over.retain(|(_, at)| now.since(*at) < CEDED);
        self.update_ownership(now, out);
        self.rebalance_racks(now, out);
        self.decide_reading(now, out);
        if now.since(self.coordinated) >= COORDINATE {
            self.coordinated = now;
            self.update_coordination(now, out);
        }
        self.call_store(now, out);
        self.ask_again(now, out);
        self.fetch(now, out);
        self.entry.work(now, out);
        if now.since(self.audit) >= AUDITS {
            self.audit = now;
            self.entry.audit(now, out);
        }
        self.send_due_heartbeats(now, out);
        if self.refuses_jobs(now) && !self.shut {
            self.shut = true;
            out.outputs.push(Output::CloseIdleCallers);
        }
        if self.over(now) {
            out.outputs.push(Output::Drained);
        }
    }
}
