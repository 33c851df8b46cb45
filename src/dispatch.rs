//! The dispatcher of leased tasks: a state machine that makes all decisions of an instance, without I/O.
//!
//! [`Dispatcher::step`] takes an [`Input`] and returns the [`Output`]s to carry out. It uses no sockets, clocks
//! or threads, so tests can replay events in any order.
//!
//! An instance has three roles. As the [`entry`] of a job it accepts the job from its caller, places its tasks on racks
//! and answers. As the [`owner`] of racks it runs the tasks on their endpoints. As the coordinator of shards of stored
//! jobs ([`durable`]) it keeps these jobs in the store and runs them as their entry.

pub mod admission;
mod announcement;
mod clock_offset;
mod coordination;
mod discovery;
mod documents;
pub mod doubt;
pub mod durable;
pub mod endpoint;
pub mod entry;
pub mod evacuation;
pub mod headroom;
pub mod id;
pub mod license;
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
pub mod speed;
pub mod straggler;
pub mod task;
pub mod timeout;
pub mod watch;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc, //
};

use self::{
    discovery::MemberSearch,
    documents::Documents,
    durable::Coordinator,
    entry::Entry,
    evacuation::Evacuation,
    id::{
        Epoch,
        RackId,
        Token, //
    },
    license::Confirmation,
    member::{
        Member,
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
        Load,
        LogRecord,
        Message,
        Output,
        Roster,
        Sender,
        Vacancy, //
    },
    owner::{
        Effects,
        Owner, //
    },
    ownership::{
        FormerOwner,
        Startup, //
    },
    reader::{
        History,
        Reader, //
    },
    requests::Requests,
    route::Configuration, //
};
use crate::prelude::*;

/// Age of a member's last message after which its batches are declined, unless it's a neighbour: half of the
/// silence after which a member counts as lost.
const MAX_SENDER_SILENCE: Span = Span(member::HEARTBEAT_TIMEOUT.0 / 2);

/// Interval between audits of batches that have been outstanding for long.
const AUDIT_INTERVAL: Span = Span::millis(250);

/// Gap between two steps after which an instance drops all that it owns. It ticks every few milliseconds, so a longer
/// gap means that its process was paused; its peers take over what it owned after [`member::HEARTBEAT_TIMEOUT`].
const MAX_STEP_GAP: Span = Span::millis(450);

/// The time between two ticks above which it's logged that this instance's thread is late.
const LATE_TICK: Span = Span::millis(50);

/// Interval between checks of which documents members have, and of who reads the list of endpoints.
const MEMBER_CHECK_INTERVAL: Span = Span::millis(50);

/// How long a draining instance still accepts jobs. The platform sends it no new connections after two failed
/// health checks, a second apart, and callers on open connections learn from their next answer that it leaves.
/// A job that arrived later couldn't end before the process is killed.
const DRAIN_ACCEPT_PERIOD: Span = Span::millis(2_500);

/// How long an instance that accepts no more jobs still answers requests on open connections, and how long a
/// connection must be idle before it's closed. Without it a new connection could be closed before its first
/// request arrives.
pub const CONNECTION_GRACE: Span = Span::millis(200);

/// Interval between decisions on which shards to coordinate: peers announce theirs as often.
const COORDINATION_INTERVAL: Span = member::HEARTBEAT_INTERVAL;

/// Timeout of a request about a stored job: a few takeovers of its shard.
const JOB_REQUEST_TIMEOUT: Span = Span::millis(2_500);

/// Retry delay for callers that a leaving instance refuses: any other instance can take the job.
const LEAVING_RETRY_DELAY: Span = Span::millis(500);

/// How long an instance still announces racks that it has handed over. Its heartbeats can overtake the handover;
/// without the claim the next owner would take the rack as unowned and stop what runs there.
const HANDED_OVER_CLAIM_PERIOD: Span = Span::millis(700);

/// Low bits of the serial number of a batch or a request that count within one incarnation; the incarnation, a time in
/// milliseconds, takes the bits above them.
const SERIAL_BITS: u32 = 22;

/// The identity of an instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name and the address for its peers.
    pub contact: Contact,
    /// Its data centre.
    pub centre: String,
    /// Identifies one life of the process; a later one is higher.
    pub incarnation: u64,
    /// Its processor share, in thousandths of a core.
    pub share: u32,
    /// The epoch of its first claim: above those of its earlier incarnations, as far as clocks agree. Endpoints
    /// refuse fencing tokens below the highest that they have seen.
    pub epoch: Epoch,
}

/// Counts for the metrics of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs in progress.
    pub jobs: usize,
    /// Tasks that wait for an endpoint on its racks.
    pub waiting_tasks: usize,
    /// The estimated work of these tasks, in core-milliseconds.
    pub waiting_work: u64,
    /// Task runs in progress on its endpoints.
    pub runs: usize,
    /// Endpoints that answer and have no unknown runs; some of them may get no tasks for other reasons.
    pub open_endpoints: usize,
    /// Endpoints that are much slower than their kind.
    pub slow_endpoints: usize,
    /// Racks that it owns.
    pub racks: usize,
    /// Live peers.
    pub peers: usize,
    /// The version of the configuration, zero if there is none.
    pub configuration_version: u64,
    /// Data centres that are evacuated.
    pub evacuated_centres: usize,
    /// The speeds of endpoints that it has learnt.
    pub speeds: owner::Speeds,
    /// Waiting tasks that are held back, so that room is kept for more urgent ones.
    pub held_back_tasks: usize,
    /// Urgent tasks for which its racks keep room.
    pub reserved_tasks: usize,
    /// Runs on silent endpoints of which a start may still be carried out, so that their tasks can't start elsewhere.
    pub unsettled_runs: usize,
    /// Tasks with a start in doubt that this instance knows of.
    pub doubtful_tasks: usize,
}

/// What a heartbeat changes besides its sender's entry among the members.
struct MemberUpdate {
    /// The sender.
    contact: Contact,
    /// The room of its racks.
    rooms: Vec<Vacancy>,
    /// The load of these racks.
    loads: Vec<Load>,
    /// Whether it has become alive.
    is_new: bool,
}

/// The state of an instance.
#[derive(Debug)]
pub struct Dispatcher {
    identity: Identity,
    members: Members,
    /// The search for members among peers, while the store's list of them can't be read.
    member_search: Option<MemberSearch>,
    entry: Entry,
    owner: Owner,
    /// Shards of stored jobs that this instance coordinates.
    coordinator: Coordinator,
    /// Callers' requests about stored jobs that wait for the coordinator's answer.
    requests: Requests,
    documents: Documents,
    configuration: Option<Configuration>,
    evacuation: Evacuation,
    roster: Roster,
    has_roster: bool,
    reader: Reader,
    /// The changes of the list of endpoints that this instance has read.
    history: History,
    /// The owner and token of each rack that another instance owns.
    rack_owners: Rc<HashMap<RackId, (Instance, Token)>>,
    /// The change counters of the members' claims and of the own ones that `rack_owners` was built from.
    claim_counts: Option<(u64, u64)>,
    /// Racks that no member announces but whose last owner may still be alive.
    former_owners: BTreeMap<RackId, FormerOwner>,
    epoch: Epoch,
    /// Racks that were handed over, with the time of the handover.
    handed_over: Vec<(Claim, Time)>,
    /// When the balance of racks between members was last checked.
    rebalanced_at: Time,
    /// When it started, or resumed after a long pause.
    started_at: Time,
    startup: Startup,
    stepped_at: Time,
    /// When the last tick was.
    ticked_at: Time,
    /// When the tick before was. What had arrived by then has been handled, since the runtime reads all sockets between two ticks.
    settled_at: Time,
    coordinated_at: Time,
    members_checked_at: Time,
    /// When the last heartbeat was sent; zero makes the next one due at once.
    announced_at: Time,
    /// Members that wait for this instance's next heartbeat, since its receipt confirms batches that have moved to them.
    awaiting_receipt: BTreeSet<Instance>,
    /// When something changed that all members must hear of soon.
    changed_at: Time,
    rooms_sent_at: Time,
    /// When changes of the room for urgent tasks were last sent within the data centre.
    scarcity_sent_at: Time,
    all_rooms_sent_at: Time,
    audited_at: Time,
    /// When the drain began.
    draining_since: Option<Time>,
    /// Whether the drain has closed callers' idle connections.
    idle_callers_closed: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, endpoints or peers.
    pub fn new(identity: Identity, now: Time) -> Self {
        let identity_epoch = identity.epoch;
        Self {
            entry: Entry::new(
                identity.incarnation << SERIAL_BITS,
                &identity.contact.name,
                identity.centre.as_str(),
            ),
            owner: Owner::new(&identity.contact.name),
            coordinator: Coordinator::new(format!(
                "{} {}",
                identity.contact.name, identity.incarnation
            )),
            requests: Requests::new(identity.incarnation),
            documents: Documents::default(),
            members: Members::new(&identity.contact.name, identity.centre.as_str()),
            member_search: None,
            identity,
            configuration: None,
            evacuation: Evacuation::default(),
            roster: Roster::default(),
            has_roster: false,
            reader: Reader::default(),
            history: History::default(),
            rack_owners: Rc::default(),
            claim_counts: None,
            former_owners: BTreeMap::new(),
            epoch: identity_epoch,
            handed_over: Vec::new(),
            rebalanced_at: now,
            started_at: now,
            startup: Startup::default(),
            stepped_at: Time::default(),
            ticked_at: now,
            settled_at: now,
            coordinated_at: Time::default(),
            members_checked_at: Time::default(),
            announced_at: Time::default(),
            awaiting_receipt: BTreeSet::new(),
            changed_at: now,
            rooms_sent_at: Time::default(),
            scarcity_sent_at: Time::default(),
            all_rooms_sent_at: Time::default(),
            audited_at: Time::default(),
            draining_since: None,
            idle_callers_closed: false,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the list of endpoints in force.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether the instance can serve callers and isn't draining.
    pub fn is_ready(&self) -> bool {
        let configured = self.configuration.is_some() && self.has_roster;
        configured
            && self.draining_since.is_none()
            && (self.entry.all_racks_owned() || self.roster.endpoints.is_empty())
    }

    /// Returns whether the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns whether the instance has drained for so long that it refuses new jobs.
    pub fn refuses_jobs(&self, now: Time) -> bool {
        self.draining_since
            .is_some_and(|since| now.since(since) >= DRAIN_ACCEPT_PERIOD)
    }

    /// Returns whether the drain is complete: all jobs and requests are answered, no batch runs here, and callers
    /// that came after the instance had stopped accepting jobs had time to be refused.
    fn is_drained(&self, now: Time) -> bool {
        let elapsed =
            |since| now.since(since) >= DRAIN_ACCEPT_PERIOD + CONNECTION_GRACE + CONNECTION_GRACE;
        let answered = self.entry.is_empty() && self.requests.is_empty();
        self.draining_since.is_some_and(elapsed) && answered && self.owner.is_idle()
    }

    /// Returns whether the members in the store must be read again: nobody is heard, or some were lost for so long that
    /// this instance has ceased to contact them.
    pub fn needs_members(&self) -> bool {
        self.members.live().next().is_none() || self.members.has_missing()
    }

    /// Counts the jobs of a queue that have started no task, at this instance and at all live peers.
    pub fn count_pending(&self, route: &str) -> u32 {
        let members = self.members.live().filter_map(|m| m.status.as_ref());
        let announced = members.flat_map(|status| status.pending.iter());
        let announced = announced
            .filter(|(name, _)| name == route)
            .map(|(_, count)| count);
        let own = self
            .entry
            .pending_by_route()
            .get(route)
            .copied()
            .unwrap_or(0);
        own + announced.sum::<u32>()
    }

    /// Returns whether a job is in progress here and its caller waits for the end.
    pub fn has_job(&self, job: id::JobId) -> bool {
        self.entry.has_job(job)
    }

    /// Returns counts for the metrics.
    pub fn stats(&self) -> Stats {
        let (waiting_tasks, runs, open_endpoints) = self.owner.counts();
        let (held_back_tasks, reserved_tasks) = self.owner.headroom_counts(self.stepped_at);
        Stats {
            jobs: self.entry.len(),
            waiting_tasks,
            waiting_work: self.owner.waiting_work(),
            runs,
            open_endpoints,
            slow_endpoints: self.owner.count_slow_endpoints(),
            racks: self.owner.racks().count(),
            peers: self.members.live().count(),
            configuration_version: self.configuration.as_ref().map_or(0, |c| c.version),
            evacuated_centres: self.evacuation.centres.len(),
            speeds: self.owner.speeds(),
            held_back_tasks,
            reserved_tasks: reserved_tasks as usize,
            unsettled_runs: self.owner.count_unsettled_runs(self.stepped_at),
            doubtful_tasks: self.owner.count_doubts(),
        }
    }

    /// Processes one input and returns the outputs to carry out, in order.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Effects::default();
        let paused =
            self.stepped_at != Time::default() && now.since(self.stepped_at) > MAX_STEP_GAP;
        self.stepped_at = now;
        if paused {
            self.on_process_pause(now, &mut out);
        }
        self.on_input(now, input, &mut out);
        self.deliver_messages(now, &mut out);
        out.outputs
    }

    /// Runs what is due, and delivers the instance's messages to itself until none are left. Messages to peers
    /// become outputs.
    fn deliver_messages(&mut self, now: Time, out: &mut Effects) {
        loop {
            let messages = std::mem::take(&mut out.messages);
            if messages.is_empty() {
                self.owner.process_due(now, out);
                self.report_run_ends(now, out);
                self.tell_doubts(now, out);
                if out.messages.is_empty() {
                    return;
                }
            }
            self.update_owners();
            for (to, message) in messages {
                if to.name == self.identity.contact.name {
                    let own = self.identity.contact.clone();
                    self.on_message(&own, message, now, out);
                } else if !self.members.can_read(&to.name, &message) {
                    let record = LogRecord::routine("message_unsupported");
                    let record = record.with("member", to.name.as_str());
                    out.log(record.with("kind", message.kind()));
                } else if let Some(count) = self.members.count_sent(&to.name) {
                    if let Message::Moved { serial, .. } = &message {
                        self.owner.on_move_announced(&to.name, *serial, count);
                    }
                    if let Some(member) = self.members.get(&to.name) {
                        out.outputs
                            .push(Output::Send(member.contact.clone(), message));
                    }
                }
            }
        }
    }

    /// Passes an input to the component that handles it.
    fn on_input(&mut self, now: Time, input: Input, out: &mut Effects) {
        match input {
            Input::Submitted(arrival) => self.on_submission(*arrival, now, out),
            Input::Abandoned(ticket) => {
                self.requests.on_caller_gone(ticket);
                self.entry.on_caller_gone(ticket, now, out);
            }
            Input::JobRequested {
                ticket,
                job,
                question,
            } => {
                self.begin_request(ticket, job, question, JOB_REQUEST_TIMEOUT, now);
                self.send_due_requests(now, out);
            }
            Input::StoreReplied { call, reply } => {
                let actions = self.coordinator.on_store_reply(call, reply, now, out);
                self.apply_actions(actions, now, out);
                self.call_store(now, out);
            }
            Input::Cancelled(job) => {
                if !self.entry.cancel(job, now, out) {
                    self.broadcast(Message::CancelJob(job), out);
                }
            }
            Input::Configured(configuration) => {
                self.apply_configuration(*configuration, "store", out)
            }
            Input::Evacuated(evacuation) => self.apply_evacuation(evacuation, "store", now, out),
            Input::EvacuationChanged(change) => {
                if let Some(evacuation) = self.evacuation.with_change(&change) {
                    self.apply_evacuation(evacuation, "store", now, out);
                }
            }
            Input::RosterListed(roster, changes) => {
                self.apply_roster(roster, now, out);
                self.send_roster_changes(changes, now, out);
            }
            Input::RosterRead(done) => self.reader.on_read(done, now),
            Input::MembersFound(contacts) => {
                self.members.clear_missing();
                self.member_search = None;
                self.on_members_found(&contacts, now, out);
            }
            Input::SeedsFound(seeds) => {
                self.member_search.get_or_insert_with(MemberSearch::default);
                self.on_members_found(&seeds, now, out);
            }
            Input::Received { from, messages } => {
                if self.check_sender(&from, now, out) {
                    let name = &from.contact.name;
                    self.members.update_last_heard(name, from.sent, now);
                    let count = messages.len();
                    for message in messages {
                        self.on_message(&from.contact, message, now, out);
                    }
                    // Messages of an earlier session with an instance that didn't know this one yet aren't counted there either.
                    if from.receiver_incarnation == self.identity.incarnation {
                        self.members.count_received(name, count);
                        self.update_confirmation(name);
                    }
                }
            }
            Input::Heartbeats(heartbeats) => self.on_heartbeats(heartbeats, now, out),
            Input::EndpointReplied { call, sent, reply } => {
                self.owner.on_reply(call, sent, reply, now, out)
            }
            Input::Drain => {
                self.draining_since.get_or_insert(now);
                out.outputs.push(Output::Log(LogRecord::new("draining")));
                self.announce(now);
                self.on_tick(now, out);
            }
            Input::Closing => self.entry.give_up_all(now, out),
            Input::Tick => {
                self.settle(now, out);
                self.expire_members(now, out);
                self.on_tick(now, out);
            }
        }
    }

    /// Finds the queue of a submission and passes it to the entry, or to the job's shard if it's to be stored.
    fn on_submission(&mut self, arrival: Arrival, now: Time, out: &mut Effects) {
        let Arrival {
            ticket,
            host,
            path,
            submission,
            wait: time_limit,
        } = arrival;
        let Some(configuration) = &self.configuration else {
            return out.outputs.push(Output::Answer(ticket, Answer::Unready));
        };
        let Some((route, _)) = configuration.find_route(&host, &path) else {
            return out.outputs.push(Output::Answer(ticket, Answer::NoRoute));
        };
        if self.refuses_jobs(now) {
            let again = LEAVING_RETRY_DELAY;
            out.outputs
                .push(Output::Answer(ticket, Answer::Refused { again }));
            return;
        }
        if !submission.best_effort {
            let route = route.clone();
            return self.submit_stored(ticket, submission, &route, time_limit, now, out);
        }
        self.entry
            .submit(ticket, submission, route, time_limit, now, out);
    }

    /// Puts a configuration in force, unless the current one is as new.
    fn apply_configuration(&mut self, configuration: Configuration, from: &str, out: &mut Effects) {
        let current = self.configuration.as_ref().map(|c| c.version);
        if current.is_some_and(|current| current >= configuration.version) {
            return;
        }
        let record = LogRecord::new("configuration_applied").with("version", configuration.version);
        out.outputs.push(Output::Log(record.with("from", from)));
        let same_services = self
            .configuration
            .as_ref()
            .map(Configuration::service_names)
            == Some(configuration.service_names());
        let priorities: BTreeSet<u32> = configuration.routes.iter().map(|r| r.priority).collect();
        self.owner.set_queues(&configuration.routes);
        self.entry.set_several_priorities(priorities.len() > 1);
        self.configuration = Some(configuration);
        out.outputs.push(Output::Configured);
        if self.has_roster && !same_services {
            self.update_racks();
        }
    }

    /// Applies a list of evacuated data centres, where no new tasks may start, unless the current one is as new.
    fn apply_evacuation(
        &mut self,
        evacuation: Evacuation,
        from: &str,
        now: Time,
        out: &mut Effects,
    ) {
        if evacuation.version <= self.evacuation.version {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuation, evacuation);
        let centres = &self.evacuation.centres;
        let evacuated = centres.difference(&previous.centres);
        let evacuated = evacuated.map(|centre| ("centre_evacuated", centre));
        let returned = previous.centres.difference(centres);
        let returned = returned.map(|centre| ("centre_returned", centre));
        for (event, centre) in evacuated.chain(returned) {
            let record = LogRecord::new(event).with("centre", centre.as_str());
            let record = record.with("version", self.evacuation.version);
            out.outputs.push(Output::Log(record.with("from", from)));
        }
        if previous.centres != *centres {
            self.owner.set_evacuated_centres(centres);
            self.entry.set_evacuated_centres(centres);
            self.entry.run_due(now, out);
        }
    }

    /// Passes the listed endpoints of configured services to the entry. Racks of services that nobody configured
    /// would otherwise be claimed and polled for ever.
    fn update_racks(&mut self) {
        let configuration = self.configuration.as_ref();
        let configured = |l: &&Listing| configuration.is_none_or(|c| c.has_service(&l.service));
        self.entry
            .set_endpoints(self.roster.endpoints.iter().filter(configured));
        // New racks have no owner in the entry yet: forces the owners to be passed on again.
        self.claim_counts = None;
    }

    /// Puts a list of endpoints in force, unless the current one is newer.
    fn apply_roster(&mut self, roster: Roster, now: Time, out: &mut Effects) {
        if self.has_roster && roster.version < self.roster.version {
            return;
        }
        self.has_roster = true;
        self.owner.update_endpoints(&roster.endpoints, now, out);
        self.roster = roster;
        self.update_racks();
        self.update_ownership(now, out);
    }

    /// Updates the members, and the entry's view of their racks, from heartbeats.
    fn on_heartbeats(
        &mut self,
        heartbeats: Vec<(Sender, Heartbeat)>,
        now: Time,
        out: &mut Effects,
    ) {
        let claims = self.members.claim_changes();
        let has_movable = |(_, heartbeat): &(Sender, Heartbeat)| {
            heartbeat.rooms.iter().any(|vacancy| vacancy.movable > 0)
        };
        let any_movable = heartbeats.iter().any(has_movable);
        let mut updates = Vec::with_capacity(heartbeats.len());
        for (from, heartbeat) in heartbeats {
            if self.check_sender(&from, now, out) {
                updates.push(self.update_member(from, heartbeat, now, out));
            }
        }
        // The entry accepts free resources from a rack's owner only, so owners come first: once for all heartbeats, since at a
        // start each of them may claim racks.
        self.update_owners();
        for update in updates {
            let name = &update.contact.name;
            if !self.members.get(name).is_some_and(|m| m.live) {
                continue;
            }
            self.owner.mark_entry_alive(name);
            self.entry.update_rooms(name, update.rooms);
            self.entry.update_loads(name, update.loads);
            if update.is_new {
                self.startup.on_member_heard(self.members.get(name), now);
                self.coordinator.recheck_empty();
                self.introduce(&update.contact, now, out);
            }
        }
        // Changes that only time brings are handled at the next tick.
        if self.members.claim_changes() != claims {
            self.update_ownership(now, out);
        }
        if any_movable {
            self.request_waiting_tasks(now, out);
        }
    }

    /// Updates a member from its heartbeat, and returns what remains to be passed on.
    fn update_member(
        &mut self,
        from: Sender,
        heartbeat: Heartbeat,
        now: Time,
        out: &mut Effects,
    ) -> MemberUpdate {
        let name = &from.contact.name;
        let was_live = self.members.get(name).is_some_and(|m| m.live);
        self.epoch = self.epoch.max(heartbeat.status.epoch);
        if heartbeat.status.evacuation.version > self.evacuation.version {
            let evacuation = heartbeat.status.evacuation.clone();
            self.apply_evacuation(evacuation, name.as_str(), now, out);
        }
        self.members
            .on_heartbeat(name, heartbeat.status, from.sent, now);
        self.members.set_protocol(name, heartbeat.protocol);
        let receipt = heartbeat.receipt.as_ref();
        // Counts in a heartbeat for another life of this instance, or for an unknown one, are of no use.
        if receipt.is_none() || from.receiver_incarnation == self.identity.incarnation {
            self.members.on_receipt(name, receipt, from.sent, now);
            self.update_confirmation(name);
        }
        if heartbeat.watching {
            self.members.on_watched_by(name, now);
        }
        MemberUpdate {
            is_new: !was_live && self.members.get(name).is_some_and(|m| m.live),
            contact: from.contact,
            rooms: heartbeat.rooms,
            loads: heartbeat.loads,
        }
    }

    /// Passes a member's latest confirmation of its batches to the owner.
    fn update_confirmation(&mut self, name: &Instance) {
        if let Some(confirmation) = self.members.confirmation(name) {
            self.owner.confirm_entry(name, confirmation);
        }
    }

    /// Checks a sender's incarnation and session; returns whether its messages are valid.
    fn check_sender(&mut self, from: &Sender, now: Time, out: &mut Effects) -> bool {
        let name = &from.contact.name;
        let before = self
            .members
            .get(name)
            .map(|m| (m.live, m.incarnation, m.session));
        match self
            .members
            .check_sender(from, self.identity.incarnation, now)
        {
            SenderCheck::Stale => {
                let record = LogRecord::new("messages_stale").with("member", name.as_str());
                out.outputs.push(Output::Log(record));
                return false;
            }
            SenderCheck::NewSession => {
                if before.is_some_and(|(_, incarnation, _)| incarnation != from.incarnation) {
                    self.entry.tell_doubts_of_dropped(name);
                    // Its former incarnation has ended, so its racks can be claimed at once.
                    self.former_owners
                        .retain(|_, former| former.owner.as_ref() != Some(name));
                }
                let record = LogRecord::new("session_begun").with("member", name.as_str());
                let record = record.with("session", from.session);
                out.outputs.push(Output::Log(record));
                self.owner.drop_entry(name, out);
                self.entry.on_owner_lost(name, now, out);
                self.tell_all_doubts(&from.contact, now, out);
            }
            SenderCheck::Current => {}
        }
        let member = self.members.get(name);
        let after = member.map(|m| (m.live, m.incarnation, m.session));
        if after.map(|a| (a.1, a.2)) != before.map(|b| (b.1, b.2)) {
            out.outputs.push(Output::BeginSession {
                to: from.contact.clone(),
                incarnation: from.incarnation,
                session: after.map_or(0, |(_, _, session)| session),
            });
        }
        true
    }

    /// Returns whether a message of a member may have been sent so long ago that the member has died since.
    ///
    /// Members that aren't neighbours may be heard rarely. A dead member's batch would run until its silence is
    /// detected, while its caller may already have resubmitted the job elsewhere.
    fn is_outdated(&self, name: &Instance, now: Time) -> bool {
        let member = self.members.get(name).filter(|m| !m.watch.is_neighbour());
        let heard = member.and_then(|member| member.last_heard);
        heard.is_some_and(|at| now.since(at) > MAX_SENDER_SILENCE)
    }

    /// Handles a message of a peer, or one of this instance to itself.
    fn on_message(&mut self, from: &Contact, message: Message, now: Time, out: &mut Effects) {
        match message {
            Message::Members(contacts) if contacts.is_empty() => self.send_members(from, out),
            Message::Members(contacts) => self.on_members_found(&contacts, now, out),
            Message::Batch(batch) => match self.is_outdated(&from.name, now) {
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
                let failed_job = self
                    .entry
                    .on_batch_ended(serial, outcome, done, started, now, out);
                if let Some(action) = failed_job.and_then(|job| self.coordinator.fail_job(job)) {
                    self.apply_actions(vec![action], now, out);
                    self.call_store(now, out);
                }
            }
            Message::Returned {
                serial,
                tasks,
                started,
                cause,
            } => {
                self.entry
                    .on_tasks_returned(serial, tasks, started, cause, now, out);
                self.entry.run_due(now, out);
            }
            Message::Audit(serials) => self.owner.report_unknown_batches(from, serials, out),
            Message::Unknown(serials) => {
                self.entry
                    .on_unknown_batches(&from.name, &serials, now, out);
            }
            Message::Want {
                from: rack,
                to,
                rooms,
            } => self.owner.reassign_waiting(rack, to, rooms, now, out),
            Message::Handover(handover) => self.accept_handover(*handover, now, out),
            Message::Moved { serial, to, moves } => {
                self.awaiting_receipt.insert(from.name.clone());
                let owner_lost = to != self.identity.contact.name
                    && self.members.get(&to).is_none_or(|member| !member.live);
                self.entry
                    .on_batch_moved(serial, to.clone(), moves, now, out);
                if owner_lost {
                    // The new owner was declared lost before the move was heard, so no other event takes the batch back.
                    self.entry.on_owner_lost(&to, now, out);
                }
            }
            Message::RosterChange(change) => {
                if let Some(roster) = self.roster.with_change(&change).filter(|_| self.has_roster) {
                    self.apply_roster(roster, now, out);
                }
            }
            Message::Fetch { document, offset } => {
                self.send_piece(&from.name, document, offset, now, out);
            }
            Message::Piece(piece) => self.on_piece(&from.name, *piece, now, out),
            Message::CancelJob(job) => {
                self.entry.cancel(job, now, out);
            }
            Message::Request {
                serial,
                job,
                question,
            } => {
                self.on_request(from, serial, job, question, now, out);
                self.call_store(now, out);
            }
            Message::Verdict { serial, verdict } => self.on_verdict(serial, verdict, now, out),
            Message::Begun(serial) => self.entry.on_batch_started(serial),
            Message::Ended(end) => {
                let own = &self.identity.contact.name;
                let batch = end.batch.as_ref().filter(|(entry, _)| entry == own);
                let batch = batch.map(|(_, serial)| *serial);
                let batch = batch.filter(|serial| self.entry.has_batch(*serial));
                let action = self.coordinator.on_run_end(from, &end, batch, out);
                self.apply_actions(action.into_iter().collect(), now, out);
                self.call_store(now, out);
            }
            Message::Noted {
                endpoint,
                life,
                serial,
                late,
            } => self.owner.on_end_stored(&endpoint, life, serial, late, now),
            Message::Withdraw { serial, tasks } => {
                self.owner.withdraw(&from.name, serial, &tasks, out);
            }
            Message::Doubts(told) => {
                self.owner.learn_doubts(&told, now);
                self.entry.learn_doubts(&told, now);
            }
        }
    }

    /// Drops everything that peers have taken over, after the process was paused for longer than they wait.
    fn on_process_pause(&mut self, now: Time, out: &mut Effects) {
        out.outputs.push(Output::Log(LogRecord::new("awoke")));
        let actions = self.coordinator.release_all(out);
        self.apply_actions(actions, now, out);
        self.owner.reset(&self.identity.contact.name);
        for member in self.members.expire_all(now) {
            out.outputs.push(Output::BeginSession {
                to: member.contact,
                incarnation: member.incarnation,
                session: member.session,
            });
        }
        self.entry.take_back_all(now, out);
        self.started_at = now;
        self.startup = Startup::default();
        self.update_owners();
    }

    /// Records at a tick that all that had arrived by the last tick is handled by now.
    fn settle(&mut self, now: Time, out: &mut Effects) {
        let elapsed = now.since(self.ticked_at);
        if elapsed > LATE_TICK {
            out.log(LogRecord::new("tick_delayed").with("late_ms", elapsed));
        }
        self.settled_at = self.ticked_at;
        self.ticked_at = now;
        let own = &self.identity.contact.name;
        self.owner
            .confirm_entry(own, Confirmation::of_self(self.settled_at));
    }

    /// Declares members lost that have been silent too long, and voids sessions whose messages don't arrive.
    ///
    /// Silence counts up to the last tick: if this instance's thread is late, heartbeats may wait to be read. They have been by the
    /// next tick, however late that is.
    fn expire_members(&mut self, now: Time, out: &mut Effects) {
        for member in self.members.expire(self.settled_at) {
            let name = member.contact.name.clone();
            let record = LogRecord::new("member_lost").with("member", name.as_str());
            let heard = member.last_heard.unwrap_or(now);
            let record = record.with("silent_ms", now.since(heard));
            self.log_confirmed(record, &name, now, out);
            let claims = member.status.as_ref();
            let claims = claims.map_or_else(Vec::new, |status| status.racks.clone());
            self.end_session(member, now, out);
            self.entry.tell_doubts_of_dropped(&name);
            self.add_former_owner(&name, &claims, now);
            self.coordinator.require_lock_checks(now);
        }
        for member in self.members.reset_stalled(self.settled_at) {
            let name = &member.contact.name;
            let record = LogRecord::new("session_stalled").with("member", name.as_str());
            self.log_confirmed(record, name, now, out);
            self.end_session(member, now, out);
        }
    }

    /// Logs a record about a member with the time since it last confirmed its batches, if it has in the session.
    fn log_confirmed(&self, record: LogRecord, name: &Instance, now: Time, out: &mut Effects) {
        out.log(match self.owner.confirmation_age(name, now) {
            Some(age) => record.with("confirmed_ms", age),
            None => record,
        });
    }

    /// Begins a new session with a member and drops what belongs to the last one.
    fn end_session(&mut self, member: Member, now: Time, out: &mut Effects) {
        let (name, contact) = (member.contact.name.clone(), member.contact.clone());
        out.outputs.push(Output::BeginSession {
            to: member.contact,
            incarnation: member.incarnation,
            session: member.session,
        });
        self.owner.drop_entry(&name, out);
        self.entry.on_owner_lost(&name, now, out);
        self.tell_all_doubts(&contact, now, out);
    }

    /// Runs the periodic work: ownership of racks, shards, requests, documents, audits, heartbeats and the drain.
    fn on_tick(&mut self, now: Time, out: &mut Effects) {
        self.handed_over
            .retain(|(_, at)| now.since(*at) < HANDED_OVER_CLAIM_PERIOD);
        self.update_ownership(now, out);
        self.rebalance_racks(now, out);
        if now.since(self.members_checked_at) >= MEMBER_CHECK_INTERVAL {
            self.members_checked_at = now;
            self.decide_reading(now, out);
            self.fetch_documents(now, out);
            self.search_members(now, out);
        }
        if now.since(self.coordinated_at) >= COORDINATION_INTERVAL {
            self.coordinated_at = now;
            self.update_coordination(now, out);
        }
        self.call_store(now, out);
        self.send_due_requests(now, out);
        self.entry.run_due(now, out);
        if now.since(self.audited_at) >= AUDIT_INTERVAL {
            self.audited_at = now;
            self.entry.audit_batches(now, out);
        }
        self.send_due_heartbeats(now, out);
        if self.refuses_jobs(now) && !self.idle_callers_closed {
            self.idle_callers_closed = true;
            out.outputs.push(Output::CloseIdleCallers);
        }
        if self.is_drained(now) {
            out.outputs.push(Output::Drained);
        }
    }
}
