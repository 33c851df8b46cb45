//! The configuration: which records are in force here, and how accepted changes reach all instances.
//!
//! Accepted changes are numbered by revisions in the platform's table. Each instance applies them in order, from
//! announcements of its peers, or by catching up with the table or a peer.
//!
//! | part | what it does |
//! |---|---|
//! | [`edit`] | validates changes one by one and commits them |
//! | [`trail`] | writes deferred entries of the audit trail |
//! | [`sync`] | catches up with the table or a peer |
//! | [`load`] | loads all records from the table or a peer |
//! | [`propagation`] | announces changes to peers, and answers their calls |
//! | [`query`] | answers operators' queries |
//! | [`row`] | defines the rows of the table |

pub mod ask;
pub mod call;
pub mod edit;
pub mod load;
pub mod propagation;
pub mod query;
pub mod report;
pub mod row;
pub mod state;
pub mod stats;
pub mod sync;
pub mod trail;

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

pub use self::{
    ask::Ask,
    call::{
        Call,
        Return, //
    },
    report::Report,
    stats::Stats, //
};
use self::{
    edit::Edits,
    propagation::PendingAnnouncement,
    state::{
        Applied,
        Pending,
        Purpose, //
    },
    sync::Sync,
    trail::Trail, //
};
use crate::{
    core::message::{
        self,
        Command,
        IncomingCall,
        Request, //
    },
    event::{
        Code,
        Event, //
    },
    prelude::*,
    record::{
        check::Capacity,
        route::{
            Error,
            Route, //
        }, //
    },
    table::wire::Worker, //
};

/// The time after which a command or a call without an end counts as lost.
const PENDING_TIMEOUT: Span = Span::seconds(10);
/// The most commands and calls in progress.
const MAX_PENDING: usize = 4_096;

/// Another instance, as of its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// The address on which it listens to its peers, as `IP:PORT`.
    pub address: String,
    /// The revision that it applies.
    pub revision: Revision,
    /// Whether it is alive.
    pub alive: bool,
}

/// An event that the configuration handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// An operator sends a request.
    Ask(Request, Ask),
    /// A command to the platform completed.
    Completed(u64, message::Completion),
    /// A peer calls.
    Called(IncomingCall, Call),
    /// A call to a peer ended; an error means that no return came.
    Returned(u64, std::result::Result<Return, ()>),
    /// All other instances.
    Peers(Vec<Peer>),
    /// All workers on the platform's list.
    Workers(Vec<Worker>),
    /// The periodic work is due.
    Tick,
}

/// An action for the core.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answers an operator.
    Report(Request, Report),
    /// Sends a command to the platform.
    Command(u64, Command),
    /// Calls a peer.
    Call(Instance, u64, Call),
    /// Returns a call of a peer.
    Return(IncomingCall, Return),
    /// Writes an event to the log.
    Event(Event),
    /// A newer revision is in force here.
    InForce(Revision),
}

/// The configuration of an instance.
#[derive(Debug)]
pub struct Config {
    name: Instance,
    centre: Centre,
    poll_interval: Span,
    applied: Applied,
    peers: BTreeMap<Instance, Peer>,
    workers: Option<Capacity>,
    edits: Edits,
    trail: Trail,
    sync: Sync,
    unannounced: PendingAnnouncement,
    pending: BTreeMap<u64, Pending>,
    last_ticket: u64,
    now: Time,
    stats: Stats,
    outputs: Vec<Output>,
}

impl Config {
    /// Creates the configuration of an instance that has loaded nothing yet; `seed` spreads the polls over time.
    pub fn new(name: Instance, centre: Centre, poll_interval: Span, seed: u64) -> Self {
        Self {
            name,
            centre,
            poll_interval,
            applied: Applied::default(),
            peers: BTreeMap::new(),
            workers: None,
            edits: Edits::default(),
            trail: Trail::default(),
            sync: Sync::new(Span(seed % poll_interval.0.max(1))),
            unannounced: PendingAnnouncement::default(),
            pending: BTreeMap::new(),
            last_ticket: 0,
            now: Time::default(),
            stats: Stats::default(),
            outputs: Vec::new(),
        }
    }

    /// Returns whether a configuration was loaded, from the table or from a peer.
    pub fn is_ready(&self) -> bool {
        self.applied.is_ready()
    }

    /// Returns the revision that is in force here.
    pub fn revision(&self) -> Revision {
        self.applied.revision()
    }

    /// Returns how the jobs of a service are run.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such service, or one of its records has a schema that this version doesn't know.
    pub fn route(&self, service: &Service) -> std::result::Result<Arc<Route>, Error> {
        self.applied.route(service)
    }

    /// Returns the records that are in force here.
    pub fn records(&self) -> &crate::record::set::Set {
        self.applied.set()
    }

    /// Returns counts of the configuration's commands and calls.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Handles one input and returns the outputs that it causes.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = now;
        let before = self.revision();
        match input {
            Input::Ask(request, ask) => self.on_ask(request, ask),
            Input::Completed(ticket, result) => self.on_completion(ticket, result),
            Input::Called(incoming, call) => self.on_call(incoming, call),
            Input::Returned(ticket, result) => self.on_return(ticket, result.ok()),
            Input::Peers(peers) => self.update_peers(peers),
            Input::Workers(workers) => {
                self.workers = Some(Capacity::from_workers(&workers));
                self.update_centres();
            }
            Input::Tick => self.expire_pending(),
        }
        self.advance_sync();
        self.advance_edits();
        self.advance_trail();
        self.announce_changes();
        if self.revision() != before {
            let revision = self.revision();
            self.log_event(Code::ChangeApplied, format!("revision {revision}"));
            self.outputs.push(Output::InForce(revision));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Replaces the peers, and raises the target to the highest revision of the live ones.
    fn update_peers(&mut self, peers: Vec<Peer>) {
        let others = peers.into_iter().filter(|peer| peer.name != self.name);
        self.peers = others.map(|peer| (peer.name.clone(), peer)).collect();
        self.update_centres();
        let alive = self.peers.values().filter(|peer| peer.alive);
        if let Some(highest) = alive.map(|peer| peer.revision).max() {
            self.raise_target(highest);
        }
    }

    /// Passes the data centres of all instances to the check of capacity.
    fn update_centres(&mut self) {
        let centres = self.peers.values().map(|peer| peer.centre.clone());
        let centres = centres.chain([self.centre.clone()]);
        if let Some(workers) = &mut self.workers {
            workers.add_centres(centres);
        }
    }

    fn log_event(&mut self, code: Code, detail: impl Into<String>) {
        self.outputs.push(Output::Event(Event::new(code, detail)));
    }

    fn report(&mut self, request: Request, report: Report) {
        self.outputs.push(Output::Report(request, report));
    }

    /// Opens a ticket for a command or a call; returns none if [`MAX_PENDING`] are in progress.
    fn open_ticket(&mut self, purpose: Purpose) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_ticket += 1;
        let expires = self.now + PENDING_TIMEOUT;
        self.pending
            .insert(self.last_ticket, Pending { purpose, expires });
        Some(self.last_ticket)
    }

    /// Sends a command to the platform; returns its ticket, or none if [`MAX_PENDING`] are in progress.
    fn start_command(&mut self, purpose: Purpose, command: Command) -> Option<u64> {
        let ticket = self.open_ticket(purpose)?;
        match &command {
            Command::Commit(group) => {
                self.stats.commits += 1;
                self.stats.writes += group.writes.len() as u64;
            }
            Command::Scan { .. } => self.stats.scans += 1,
            _ => self.stats.reads += 1,
        }
        self.outputs.push(Output::Command(ticket, command));
        Some(ticket)
    }

    /// Calls a peer; returns the ticket, or none if [`MAX_PENDING`] are in progress.
    fn start_call(&mut self, purpose: Purpose, to: Instance, call: Call) -> Option<u64> {
        let ticket = self.open_ticket(purpose)?;
        match call {
            Call::Announce(_) => self.stats.announcements += 1,
            Call::Fetch { .. } => self.stats.fetches += 1,
            Call::Snapshot { .. } => self.stats.snapshots += 1,
        }
        self.outputs.push(Output::Call(to, ticket, call));
        Some(ticket)
    }

    /// Handles the completion of a command.
    fn on_completion(&mut self, ticket: u64, result: message::Completion) {
        // A command that timed out has no ticket any more, so its late completion is ignored.
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        match pending.purpose {
            Purpose::Edit => self.on_edit_completion(ticket, result),
            Purpose::Trail => self.on_trail_completion(result),
            Purpose::Audit(request, page) => self.on_audit_completion(request, &page, result),
            Purpose::Poll => self.on_poll_completion(result),
            Purpose::Sync => self.on_sync_completion(result),
            Purpose::Announce(_) | Purpose::Peer => {}
        }
    }

    /// Handles the return of a call to a peer.
    fn on_return(&mut self, ticket: u64, result: Option<Return>) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        match pending.purpose {
            Purpose::Announce(delivery) => self.on_announce_return(delivery, result),
            Purpose::Peer => self.on_fetch_return(result),
            _ => {}
        }
    }

    /// Ends commands and calls that have timed out, as if their answer were lost.
    fn expire_pending(&mut self) {
        let now = self.now;
        let overdue = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.expires <= now);
        let overdue: Vec<u64> = overdue.map(|(ticket, _)| *ticket).collect();
        for ticket in overdue {
            let call = |p: &Pending| matches!(p.purpose, Purpose::Announce(_) | Purpose::Peer);
            match self.pending.get(&ticket).is_some_and(call) {
                true => self.on_return(ticket, None),
                false => self.on_completion(ticket, message::Completion::Unknown),
            }
        }
    }
}
