//! The inputs and outputs of the core, and what they carry.

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
    }, //
};

/// Identifies a request of a caller or an operator within this instance, until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);

/// Identifies a command to the platform until it completes, and the part of the core that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// Sent for a claim.
    Claim(u64),
    /// Sent by the configuration.
    Config(u64),
}

/// Identifies a call to a peer until it returns, and the part of the core that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallId {
    /// A forwarded submission.
    Submit(u64),
    /// A heartbeat.
    Heartbeat(u64),
    /// A call of the configuration.
    Config(u64),
}

/// Identifies a call from a peer until it is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncomingCall(pub u64);

/// A command to the platform: to its table or its object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Commits a group of writes to the table; waiting groups share one transaction.
    Commit(Group),
    /// Commits a group of writes that may wait for the next commit, or a short delay.
    CommitLater(Group),
    /// Reads the row at a key.
    Read(String),
    /// Reads rows in the order of their keys.
    Scan {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the scan starts.
        after: String,
        /// The most rows to return.
        limit: u32,
    },
    /// Writes an object.
    Put {
        /// The object's name.
        name: String,
        /// The object's content.
        bytes: Arc<[u8]>,
    },
    /// Reads the object of this name.
    Get(String),
}

/// How a command to the platform completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The group was applied, or its conditions failed.
    Verdict(Verdict),
    /// The row that was read; none if there is none.
    Row(Option<Row>),
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The object was written.
    Stored,
    /// The object that was read; none if there is none.
    Object(Option<Arc<[u8]>>),
    /// Nothing took effect: the platform can't be reached, or refused the request.
    Refused,
    /// Nothing was sent, since this instance had no room for the command. It says nothing about the platform.
    Withheld,
    /// The request was sent and no reply came: it may have taken effect, or may yet.
    Unknown,
}

impl Completion {
    /// Returns whether the command has failed, or may have.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Refused | Self::Withheld | Self::Unknown)
    }
}

/// What a heartbeat reports of a third instance: its incarnation, and how long ago it was heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The instance.
    pub name: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The time since any instance heard it.
    pub age: Span,
}

/// Shows that an instance is alive, and which configuration it applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The revision of the configuration that it applies.
    pub revision: Revision,
    /// Whether it is draining.
    pub draining: bool,
    /// Its observations of other instances, and those passed on to it.
    pub observations: Vec<Observation>,
}

/// A submission that is forwarded to the instance that owns its key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The incarnation that owns the key; any other returns [`Return::StaleIncarnation`].
    pub owner: Incarnation,
    /// The submission, with its key.
    pub submission: Submission,
    /// The digest of the body that the caller sent.
    pub digest: Digest,
    /// The time that is left until the deadline.
    #[serde(rename = "left_ms")]
    pub left: Span,
}

/// A call to a peer.
#[derive(Debug, Clone)]
pub enum Call {
    /// Asks for a submission's answer: the peer runs the job, joins its run or returns the kept answer.
    Submit(Forward),
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A call of the configuration.
    Config(call::Call),
}

impl Call {
    /// Returns the name of the kind of call, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submission",
            Self::Heartbeat(_) => "heartbeat",
            Self::Config(_) => "configuration",
        }
    }
}

/// What a call to a peer returned.
#[derive(Debug, Clone)]
pub enum Return {
    /// The answer to a submission.
    Answer(Answer),
    /// The peer runs under another incarnation than [`Forward::owner`].
    StaleIncarnation,
    /// The peer's own heartbeat.
    Heartbeat(Heartbeat),
    /// The return of a call of the configuration.
    Config(call::Return),
    /// The call wasn't sent, since the peer can't be reached.
    Refused,
    /// The call wasn't sent, since this instance had no room for it. It says nothing about the peer.
    Withheld,
    /// The call was sent and no return came; the peer may have handled it.
    Lost,
}

/// How a start of a task at an endpoint ended.
#[derive(Debug, Clone)]
pub enum End {
    /// The endpoint replied.
    Replied(Reply),
    /// Nothing was sent, since the endpoint can't be reached.
    Unsent,
    /// Nothing was sent, since this instance had no free connection or no time left.
    Withheld,
    /// The connection broke before a reply came; the endpoint may have got the start.
    Broken,
}

/// How a status check or a stop of an attempt ended.
#[derive(Debug, Clone)]
pub enum Check {
    /// The endpoint reported the status.
    Reported(Status),
    /// The endpoint can't be reached, or didn't answer.
    Missed,
    /// Nothing was sent, since this instance had no room for the check. It says nothing about the endpoint.
    Withheld,
}

/// A sample for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A job was answered.
    Answered {
        /// The job's outcome.
        outcome: Outcome,
        /// The reason of the outcome.
        reason: Reason,
        /// The job's class.
        class: Class,
    },
    /// A job was completed.
    Completed {
        /// The time from the job's arrival to its answer.
        took: Span,
        /// The run time of the job's longest task.
        ideal: Span,
    },
    /// A task was started.
    Started,
    /// An idempotent task was started again.
    Retried,
    /// A second copy of a late task was started.
    Hedged,
}

/// An event that the core handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller submits a job.
    Submit {
        /// The request.
        request: Request,
        /// The job.
        submission: Submission,
        /// The digest of the request body.
        digest: Digest,
        /// The size of the request body in bytes.
        bytes: usize,
        /// Whether the caller states that it never sent this key before.
        first: bool,
    },
    /// A caller asks for the state of a job.
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
    /// A caller closed its connection before it was answered.
    Hangup(Request),
    /// An operator sends a request.
    Ask {
        /// The request.
        request: Request,
        /// What the operator asks for.
        ask: Ask,
    },
    /// A command to the platform completed.
    Completed(Ticket, Completion),
    /// The request that started an attempt ended.
    AttemptEnded(Attempt, End),
    /// A status check or a stop of an attempt ended.
    Status(Attempt, Check),
    /// A peer calls.
    Called(IncomingCall, Call),
    /// A call to a peer ended.
    Returned(CallId, Return),
    /// The platform's list was read.
    Listed(Arc<List>),
    /// The periodic work is due.
    Tick,
    /// A timer is due.
    Wake,
    /// The instance is to stop: it takes no new jobs and finishes those in progress.
    Drain,
    /// The drain ends early: the remaining jobs are answered now.
    Interrupt,
}

/// An action for the parts that do I/O.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answers a caller.
    Answer(Request, Answer),
    /// Answers an operator.
    Report(Request, Report),
    /// Sends a command to the platform.
    Command(Ticket, Command),
    /// Starts a task at an endpoint.
    Start {
        /// The endpoint.
        endpoint: Endpoint,
        /// The address on which it listens.
        address: String,
        /// The request to start the task.
        start: Start,
        /// The time after which the start must not be sent any more.
        expires: Time,
    },
    /// Closes the connection on which an attempt's reply is awaited; its end is known or no longer needed.
    Abandon(Attempt),
    /// Asks an endpoint for the status of an attempt over a new connection.
    ///
    /// With `stop`, the endpoint also stops the attempt, and never starts it if it hasn't yet.
    CheckStatus {
        /// The endpoint.
        endpoint: Endpoint,
        /// The address on which it listens.
        address: String,
        /// The attempt.
        attempt: Attempt,
        /// Whether the attempt is to be stopped.
        stop: bool,
        /// How long to wait for the status.
        wait: Span,
    },
    /// Calls a peer.
    Call {
        /// The peer.
        to: Instance,
        /// The address on which it listens.
        address: String,
        /// Identifies the call when it returns.
        id: CallId,
        /// The call.
        call: Call,
        /// How long to wait for the return.
        wait: Span,
    },
    /// Returns a call.
    Return(IncomingCall, Return),
    /// Divides the platform's write rate among this number of live instances.
    ShareWriteRate(usize),
    /// Records a sample for the metrics.
    Measure(Sample),
    /// Writes an event to the log.
    Event(Event),
    /// The drain is complete: all jobs are answered and all outcomes recorded, so the instance can exit.
    Drained,
}
