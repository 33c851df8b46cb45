//! The configuration in force: which records apply, and how accepted changes spread.
//!
//! | part | what it does |
//! |---|---|
//! | [`edit`] | judges changes one by one and commits them |
//! | [`trail`] | keeps what is to be written into the audit trail later |
//! | [`sync`] | catches up with the table or a peer |
//! | [`load`] | loads everything from the table or a peer |
//! | [`propagation`] | notifies peers of changes, and answers their calls |
//! | [`query`] | answers the questions of operators |
//! | [`row`] | the rows of the table |

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
    stats::Stats,
};
use self::{
    edit::Edits,
    propagation::Notification,
    state::{
        Applied,
        Pending,
        Purpose, //
    },
    sync::Sync,
    trail::Trail,
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
        },
    },
    table::wire::Worker,
};

/// After which an operation or a call that never ended counts as lost.
const LONGEST_WAIT: Span = Span::seconds(10);
/// The most operations and calls in progress.
const MOST_PENDING: usize = 4_096;

/// Another instance, as it was last heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Where it listens to its peers, as `IP:PORT`.
    pub address: String,
    /// The revision that it applies, as its last heartbeat reported.
    pub revision: Revision,
    /// Whether it is alive.
    pub alive: bool,
}

/// What happens.
#[derive(Debug, Clone)]
pub enum Input {
    /// An operator asks something.
    Ask(Request, Ask),
    /// An operation on the platform ended.
    Completed(u64, message::Completion),
    /// A peer calls.
    Called(IncomingCall, Call),
    /// A call to a peer ended; nothing is known of it where no return came.
    Returned(u64, std::result::Result<Return, ()>),
    /// The other instances, all of them.
    Peers(Vec<Peer>),
    /// The workers of the platform's list, all of them.
    Workers(Vec<Worker>),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answers an operator.
    Report(Request, Report),
    /// Operates on the platform.
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
    poll: Span,
    applied: Applied,
    peers: BTreeMap<Instance, Peer>,
    workers: Option<Capacity>,
    edits: Edits,
    trail: Trail,
    sync: Sync,
    notification: Notification,
    pending: BTreeMap<u64, Pending>,
    next: u64,
    now: Time,
    stats: Stats,
    outputs: Vec<Output>,
}

impl Config {
    /// Makes the configuration of an instance that knows nothing yet; the seed spreads its polls over time.
    pub fn new(name: Instance, centre: Centre, poll: Span, seed: u64) -> Self {
        Self {
            name,
            centre,
            poll,
            applied: Applied::default(),
            peers: BTreeMap::new(),
            workers: None,
            edits: Edits::default(),
            trail: Trail::default(),
            sync: Sync::new(Span(seed % poll.0.max(1))),
            notification: Notification::default(),
            pending: BTreeMap::new(),
            next: 0,
            now: Time::default(),
            stats: Stats::default(),
            outputs: Vec::new(),
        }
    }

    /// Tells whether there is a configuration, from the table or from a peer.
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
    /// Tells that there is no such service, or that one of its records has a schema that this version doesn't know.
    pub fn route(&self, service: &Service) -> std::result::Result<Arc<Route>, Error> {
        self.applied.route(service)
    }

    /// Returns the records that are in force here.
    pub fn records(&self) -> &crate::record::set::Set {
        self.applied.set()
    }

    /// Returns what the configuration has cost.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Takes in what happened, and returns what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = now;
        let before = self.revision();
        match input {
            Input::Ask(request, ask) => self.ask(request, ask),
            Input::Completed(ticket, result) => self.on_completion(ticket, result),
            Input::Called(caller, call) => self.on_call(caller, call),
            Input::Returned(ticket, result) => self.on_return(ticket, result.ok()),
            Input::Peers(peers) => self.update_peers(peers),
            Input::Workers(workers) => {
                self.workers = Some(Capacity::from_workers(&workers));
                self.update_centres();
            }
            Input::Tick => self.expire(),
        }
        self.proceed_sync();
        self.proceed_edits();
        self.proceed_trail();
        self.notify();
        if self.revision() != before {
            let revision = self.revision();
            self.log_event(Code::ChangeApplied, format!("revision {revision}"));
            self.outputs.push(Output::InForce(revision));
        }
        std::mem::take(&mut self.outputs)
    }

    fn update_peers(&mut self, peers: Vec<Peer>) {
        let others = peers.into_iter().filter(|peer| peer.name != self.name);
        self.peers = others.map(|peer| (peer.name.clone(), peer)).collect();
        self.update_centres();
        let alive = self.peers.values().filter(|peer| peer.alive);
        if let Some(highest) = alive.map(|peer| peer.revision).max() {
            self.aim(highest);
        }
    }

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

    /// Takes a ticket, or none where too much is in progress.
    fn ticket(&mut self, purpose: Purpose) -> Option<u64> {
        if self.pending.len() >= MOST_PENDING {
            return None;
        }
        self.next += 1;
        let until = self.now + LONGEST_WAIT;
        self.pending.insert(self.next, Pending { purpose, until });
        Some(self.next)
    }

    /// Operates on the platform; returns no ticket where too much is in progress.
    fn operate(&mut self, purpose: Purpose, operate: Command) -> Option<u64> {
        let ticket = self.ticket(purpose)?;
        match &operate {
            Command::Commit(group) => {
                self.stats.commits += 1;
                self.stats.writes += group.writes.len() as u64;
            }
            Command::Scan { .. } => self.stats.scans += 1,
            _ => self.stats.reads += 1,
        }
        self.outputs.push(Output::Command(ticket, operate));
        Some(ticket)
    }

    /// Calls a peer; returns no ticket where too much is in progress.
    fn call(&mut self, purpose: Purpose, to: Instance, call: Call) -> Option<u64> {
        let ticket = self.ticket(purpose)?;
        match call {
            Call::Announce(_) => self.stats.announces += 1,
            Call::Fetch { .. } => self.stats.fetches += 1,
            Call::Snapshot { .. } => self.stats.snapshots += 1,
        }
        self.outputs.push(Output::Call(to, ticket, call));
        Some(ticket)
    }

    fn on_completion(&mut self, ticket: u64, result: message::Completion) {
        // A ticket that expired is not there any more: what comes late is not acted on.
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        match pending.purpose {
            Purpose::Edit => self.edited(ticket, result),
            Purpose::Trail => self.trailed(result),
            Purpose::Audit(request, page) => self.audited(request, &page, result),
            Purpose::Poll => self.polled(result),
            Purpose::Sync => self.synced(result),
            Purpose::Announce(_) | Purpose::Peer => {}
        }
    }

    fn on_return(&mut self, ticket: u64, result: Option<Return>) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        match pending.purpose {
            Purpose::Announce(delivery) => self.announced(delivery, result),
            Purpose::Peer => self.fetched(result),
            _ => {}
        }
    }

    /// Ends what has waited for too long, as if its answer were lost.
    fn expire(&mut self) {
        let now = self.now;
        let late = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now);
        let late: Vec<u64> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            let call = |p: &Pending| matches!(p.purpose, Purpose::Announce(_) | Purpose::Peer);
            match self.pending.get(&ticket).is_some_and(call) {
                true => self.on_return(ticket, None),
                false => self.on_completion(ticket, message::Completion::Unknown),
            }
        }
    }
}
