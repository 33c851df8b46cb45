//! What goes into the core and what comes out of it.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::config::{
        ask::Ask,
        call,
        report::Report, //
    },
    endpoint::wire::{
        Reply,
        Start,
        Status, //
    },
    event::Event,
    prelude::*,
    table::wire::{
        Group,
        List,
        Row,
        Verdict, //
    },
};

/// Names a request of a caller within this instance, until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);

/// Names an operation on the platform until it ends, and which part of the core asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// Asked for by the claims.
    Claim(u64),
    /// Asked for by the configuration.
    Config(u64),
}

/// Names a call to a peer until it returns, and which part of the core made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallId {
    /// A forwarded submission.
    Submit(u64),
    /// A heartbeat.
    Heartbeat(u64),
    /// A call of the configuration.
    Config(u64),
}

/// Names a call from a peer until it is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncomingCall(pub u64);

/// An operation on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A group of writes; groups that wait are committed together.
    Commit(Group),
    /// A group of writes that may wait for the next commit, or a moment.
    CommitLater(Group),
    /// Reads a row.
    Read(String),
    /// Reads rows in the order of their keys.
    Scan {
        /// What the keys begin with.
        prefix: String,
        /// The key after which to start, itself left out.
        after: String,
        /// The most rows to give.
        limit: u32,
    },
    /// Puts an object.
    Put {
        /// Its name.
        name: String,
        /// Its bytes.
        bytes: Arc<[u8]>,
    },
    /// Gets an object.
    Get(String),
}

/// What an operation on the platform gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// A group was decided.
    Verdict(Verdict),
    /// A row was read.
    Row(Option<Row>),
    /// Rows were read.
    Rows(Vec<Row>),
    /// An object was put.
    Stored,
    /// An object was read.
    Object(Option<Arc<[u8]>>),
    /// Nothing took effect: the request never left, or the platform refused it.
    Refused,
    /// The request left and no answer came: it may take effect, even later.
    Unknown,
}

/// An instance as some peer observed it: its incarnation, and how long ago it was heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The instance.
    pub name: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How long ago it was heard.
    pub age: Span,
}

/// Tells that an instance is alive, and where its configuration stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The configuration that it applies.
    pub revision: Revision,
    /// Whether it is draining.
    pub draining: bool,
    /// What it observed of others, and was passed on to it.
    pub observations: Vec<Observation>,
}

/// A submission on its way to the instance that owns its key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The incarnation that owns the key; any other returns [`Return::StaleIncarnation`].
    pub owner: Incarnation,
    /// The submission, with its key.
    pub submission: Submission,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The time that is left.
    #[serde(rename = "left_ms")]
    pub left: Span,
}

/// A call to a peer.
#[derive(Debug, Clone)]
pub enum Call {
    /// Runs a submission, joins it or gives its kept answer.
    Submit(Forward),
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A call of the configuration.
    Config(call::Call),
}

/// What a call gave.
#[derive(Debug, Clone)]
pub enum Return {
    /// The answer to a submission.
    Answer(Answer),
    /// The peer runs under another incarnation than the one that was called.
    StaleIncarnation,
    /// The peer's own heartbeat.
    Heartbeat(Heartbeat),
    /// The return of a call of the configuration.
    Config(call::Return),
    /// The call never left.
    Refused,
    /// The call may have arrived; no return came.
    Lost,
}

/// What comes of a start at an endpoint.
#[derive(Debug, Clone)]
pub enum End {
    /// The endpoint replied with the end.
    Replied(Reply),
    /// No byte of it left, since the endpoint can't be reached.
    Unsent,
    /// No byte of it left, since this instance had no room or no time for it.
    Withheld,
    /// It may have arrived; the connection broke before a reply came.
    Broken,
}

/// Something that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A job was answered.
    Answered {
        /// What became of it.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Its class.
        class: Class,
    },
    /// A job was completed.
    Completed {
        /// The time from its arrival to its answer.
        took: Span,
        /// The run time of its longest task.
        ideal: Span,
    },
    /// A task was started.
    Started,
    /// An idempotent task was started again.
    Retried,
    /// A second copy of a late task was started.
    Hedged,
}

/// What happens.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller submits a job.
    Submit {
        /// The request.
        request: Request,
        /// The job.
        submission: Submission,
        /// The digest of its body.
        digest: Digest,
        /// The size of its body in bytes.
        bytes: usize,
        /// Whether the caller says that it never sent this key before.
        first: bool,
    },
    /// A caller asks what became of a job.
    Find {
        /// The request.
        request: Request,
        /// The job's team.
        team: Team,
        /// The job's key.
        key: Key,
    },
    /// A caller cancels a job.
    Cancel {
        /// The request.
        request: Request,
        /// The job's team.
        team: Team,
        /// The job's key.
        key: Key,
    },
    /// A caller's connection is gone.
    Hangup(Request),
    /// An operator asks something.
    Ask {
        /// The request.
        request: Request,
        /// What is asked.
        ask: Ask,
    },
    /// An operation on the platform ended.
    Completed(Ticket, Completion),
    /// A start ended, one way or the other.
    Ended(Attempt, End),
    /// A look at an attempt, or a stop, gave this; none where the endpoint can't be reached.
    Looked(Attempt, Option<Status>),
    /// A peer calls.
    Called(IncomingCall, Call),
    /// A call to a peer ended.
    Returned(CallId, Return),
    /// The platform's list was read.
    Listed(Arc<List>),
    /// Time has passed: the regular duties are due.
    Tick,
    /// A timer is due.
    Wake,
    /// The instance is told to end.
    Drain,
    /// The drain is cut short: what is left is answered now.
    Interrupt,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answers a caller.
    Answer(Request, Answer),
    /// Answers an operator.
    Report(Request, Report),
    /// Operates on the platform.
    Command(Ticket, Command),
    /// Starts a task at an endpoint.
    Start {
        /// The endpoint.
        endpoint: Endpoint,
        /// Where it listens.
        address: String,
        /// What it gets.
        start: Start,
        /// After which it must not leave any more.
        expires: Time,
    },
    /// Gives up the connection on which an attempt waits for its end; the end is known otherwise.
    Abandon(Attempt),
    /// Looks at an attempt over a new connection; a stop also bars it where it never started.
    Look {
        /// The endpoint.
        endpoint: Endpoint,
        /// Where it listens.
        address: String,
        /// The attempt.
        attempt: Attempt,
        /// Whether it is to be stopped.
        stop: bool,
    },
    /// Calls a peer.
    Call {
        /// The peer.
        to: Instance,
        /// Where it listens.
        address: String,
        /// Names the call when it returns.
        id: CallId,
        /// The call.
        call: Call,
        /// How long to wait for the return.
        wait: Span,
    },
    /// Returns a call.
    Return(IncomingCall, Return),
    /// How many live instances share the platform's budget of writes.
    Share(usize),
    /// Counts something for the metrics.
    Measure(Sample),
    /// Writes an event to the log.
    Event(Event),
    /// Everything is answered and flushed: the instance can end.
    Drained,
}
