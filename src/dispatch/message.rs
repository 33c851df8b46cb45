//! Inputs and outputs of the dispatcher, and the messages that dispatchers exchange.

mod call;
mod doubt;
mod handover;
mod heartbeat;
mod kind;
mod line;
mod protocol;
mod store;
mod suspicion;

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    call::{
        CallId,
        End,
        Ended,
        Lists,
        Name,
        Order,
        Refusal,
        Reply,
        Running, //
    },
    doubt::Doubt,
    handover::{
        Handover,
        HeldBatch,
        TransferredRun, //
    },
    heartbeat::{
        Absence,
        Claim,
        Coordination,
        Heartbeat,
        Knowledge,
        Load,
        Status,
        Vacancy, //
    },
    line::{
        LogRecord,
        Value, //
    },
    protocol::Protocol,
    store::{
        StoreCallId,
        StoreReply,
        StoreRequest, //
    },
    suspicion::Suspicion, //
};
use super::{
    evacuation::{
        self,
        Evacuation, //
    },
    id::{
        JobId,
        Life,
        RackId,
        RequestSerial,
        Run,
        TaskId, //
    },
    license::Receipt,
    route::Configuration,
    task::{
        AcceptedJob,
        Resources,
        Submission, //
    }, //
};
use crate::prelude::*;

/// Identifies a caller that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name, which it may keep or change when it restarts.
    pub id: Endpoint,
    /// Its incarnation.
    #[serde(default)]
    pub life: Life,
    /// Its service.
    pub service: String,
    /// The address that it listens at.
    pub address: String,
    /// Its data centre.
    pub centre: String,
    /// The name of its rack, whose endpoints hold the same data.
    pub rack: String,
    /// Its labels, which include the rack.
    pub labels: Vec<String>,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it is draining: no new task may start there.
    pub draining: bool,
}

impl Listing {
    /// Returns the identifier of its rack.
    pub fn rack_id(&self) -> RackId {
        RackId::of(&self.service, &self.centre, &self.rack)
    }
}

/// The endpoints that the platform lists, as of a version of its store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// All endpoints.
    pub endpoints: Vec<Listing>,
}

/// The difference between two versions of the list of endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// The version that the change applies to.
    pub after: u64,
    /// The version that results.
    pub version: u64,
    /// Endpoints that are new or have changed.
    pub changed: Vec<Listing>,
    /// Endpoints that were removed.
    pub removed: Vec<Endpoint>,
}

/// The name and address of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub name: Instance,
    /// The address that it listens at for its peers.
    pub address: String,
}

/// A caller's request to run a job.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The caller.
    pub ticket: Ticket,
    /// The host of the request.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The job.
    pub submission: Submission,
    /// The caller's time limit, if it sets one.
    pub wait: Option<Span>,
}

/// An event that the dispatcher reacts to.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller submitted a job.
    Submitted(Box<Arrival>),
    /// A caller disconnected.
    Abandoned(Ticket),
    /// A caller cancels a job.
    Cancelled(JobId),
    /// A configuration was read.
    Configured(Box<Configuration>),
    /// The full list of evacuated data centres was read.
    Evacuated(Evacuation),
    /// The evacuation of one data centre began or ended.
    EvacuationChanged(evacuation::Change),
    /// The list of endpoints was read and has changed: the list, and the changes since the one that was read before, of
    /// which each applies to the result of the one before.
    RosterListed(Roster, Vec<RosterChange>),
    /// An attempt to read the list of endpoints ended; true if it succeeded.
    RosterRead(bool),
    /// All members in the store were read.
    MembersFound(Vec<Contact>),
    /// The addresses of some members are known from the settings, since the store can't be read.
    SeedsFound(Vec<Contact>),
    /// Messages of a peer arrived, all of one session.
    Received {
        /// The peer.
        from: Sender,
        /// Its messages, in order.
        messages: Vec<Message>,
    },
    /// Heartbeats of peers arrived, in this order.
    Heartbeats(Vec<(Sender, Heartbeat)>),
    /// A caller asks for the state of a stored job, or cancels it.
    JobRequested {
        /// The caller.
        ticket: Ticket,
        /// The job.
        job: JobId,
        /// The request.
        question: Question,
    },
    /// A call to the store has ended.
    StoreReplied {
        /// The call.
        call: StoreCallId,
        /// How it ended.
        reply: StoreReply,
    },
    /// A call to an endpoint has ended.
    EndpointReplied {
        /// The call.
        call: CallId,
        /// When it was sent.
        sent: Time,
        /// How it ended.
        reply: Reply,
    },
    /// The instance is asked to drain: to finish its jobs and end.
    Drain,
    /// The process is about to end, even if jobs are in progress.
    Closing,
    /// Some time has passed; sent every few milliseconds.
    Tick,
}

/// The sender of messages, and the session that they belong to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name and address.
    pub contact: Contact,
    /// Its data centre.
    pub centre: String,
    /// Its incarnation; a later one is higher.
    pub incarnation: u64,
    /// The incarnation of the receiver that it addresses, zero if it knows none.
    pub receiver_incarnation: u64,
    /// The session, which grows each time that one side declares the other lost. Messages of earlier sessions are
    /// void.
    pub session: u32,
    /// When this was sent, on the sender's clock: a delayed message doesn't prove that the sender is alive now.
    pub sent: Time,
}

/// An action that the dispatcher requests.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a caller.
    Answer(Ticket, Answer),
    /// Call an endpoint.
    Call {
        /// Identifies the call in its reply.
        call: CallId,
        /// The endpoint.
        endpoint: Endpoint,
        /// Its address.
        address: String,
        /// The order to send.
        order: Order,
        /// How long to wait for the reply.
        timeout: Span,
        /// Whether to open a new connection, since the last one may be broken.
        new_connection: bool,
    },
    /// Call the store.
    Store {
        /// Identifies the call in its reply.
        call: StoreCallId,
        /// The request to send.
        request: StoreRequest,
    },
    /// Send a message to a peer, in order and reliably within the session.
    Send(Contact, Message),
    /// Send a heartbeat to some peers, each with its own receipt; each copy may be lost.
    Heartbeat(Vec<(Contact, Receipt)>, Heartbeat),
    /// Drop unsent messages to a peer and begin a session with it.
    BeginSession {
        /// The peer.
        to: Contact,
        /// Its incarnation, zero if it isn't known.
        incarnation: u64,
        /// The session.
        session: u32,
    },
    /// Close all connections to the endpoint at this address, whose process has ended.
    Disconnect(String),
    /// Write a line to the log.
    Log(LogRecord),
    /// A configuration is in force: requests that wait for one can be served.
    Configured,
    /// Close callers' idle connections, since no more jobs are accepted.
    CloseIdleCallers,
    /// The drain is complete: the process can end.
    Drained,
}

/// The answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Every task is done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The job was given up, for lack of time or since it was cancelled. Some of it may have run; its runs are being
    /// stopped.
    GivenUp {
        /// The delay after which the caller may retry.
        again: Span,
    },
    /// No task was or will be started.
    Refused {
        /// The delay after which the caller may retry.
        again: Span,
    },
    /// The job is stored and will be run.
    Accepted,
    /// The state of a stored job.
    Standing(JobState),
    /// There is no such job.
    Unknown,
    /// No queue has this host and path.
    NoRoute,
    /// The instance has no configuration yet, or no coordinator answered in time.
    Unready,
}

/// A message between instances. Messages of one session arrive in order, each once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Lists members that the sender hears. An empty list asks the receiver for its own.
    Members(Vec<Contact>),
    /// Asks a rack's owner to run tasks.
    Batch(Box<Batch>),
    /// Asks the owner to drop a batch.
    Cancel(u64),
    /// Reports the end of a batch to its entry.
    Report {
        /// The batch, by its entry's serial number.
        serial: u64,
        /// How it ended.
        outcome: Outcome,
        /// Its tasks that are done.
        done: Vec<u32>,
        /// Whether a start of it may have reached an endpoint.
        started: bool,
    },
    /// Returns tasks of a batch that the owner doesn't run, so that their entry places them again.
    Returned {
        /// The batch.
        serial: u64,
        /// The tasks.
        tasks: Vec<u32>,
        /// Whether a start of the batch may have reached an endpoint.
        started: bool,
        /// Why they are returned.
        cause: Cause,
    },
    /// Asks the owner which of these batches it doesn't hold.
    Audit(Vec<u64>),
    /// Lists batches of the receiver that the sender doesn't hold.
    Unknown(Vec<u64>),
    /// Asks for waiting tasks of one of the receiver's racks, since a rack of the sender is idle.
    Want {
        /// The rack whose tasks wait.
        from: RackId,
        /// The rack with free resources.
        to: RackId,
        /// The free resources, by endpoint.
        rooms: Vec<Resources>,
    },
    /// Hands a rack over to a new owner.
    Handover(Box<Handover>),
    /// Announces the new owner of a batch to its entry. Both the former and the new owner send it, since either may
    /// die first.
    Moved {
        /// The batch.
        serial: u64,
        /// Its new owner.
        to: Instance,
        /// How often it has moved.
        moves: u32,
    },
    /// Requests a piece of a document of which the receiver has a newer version.
    Fetch {
        /// The document.
        document: Document,
        /// The offset of the piece, in bytes.
        offset: u32,
    },
    /// Carries a piece of a document.
    Piece(Box<Piece>),
    /// Carries a change of the list of endpoints.
    RosterChange(Box<RosterChange>),
    /// Forwards a caller's cancellation of a job that the sender doesn't have.
    CancelJob(JobId),
    /// Forwards a caller's request about a stored job to the coordinator of its shard.
    Request {
        /// The serial number of the request at its sender.
        serial: RequestSerial,
        /// The job.
        job: JobId,
        /// The request.
        question: Question,
    },
    /// Answers a request.
    Verdict {
        /// The request.
        serial: RequestSerial,
        /// The answer.
        verdict: Verdict,
    },
    /// Reports that a start of a stored job's batch was sent to an endpoint.
    Begun(u64),
    /// Reports the end of a run of a stored job. The endpoint lists the end until it is stored.
    Ended(Box<RunEnd>),
    /// Reports that the end of a run is stored, or belongs to no stored job: the endpoint may forget it.
    Noted {
        /// The endpoint.
        endpoint: Endpoint,
        /// The incarnation that listed it.
        life: Life,
        /// The serial number of the end there.
        serial: u64,
        /// Whether the task was placed again before this end was heard. The endpoint may then forget the end only
        /// once its lease has expired, when the end no longer matters.
        late: bool,
    },
    /// Takes tasks out of a batch, as they are done by runs that its owner doesn't know. They must not start any more.
    Withdraw {
        /// The batch.
        serial: u64,
        /// The tasks.
        tasks: Vec<u32>,
    },
    /// Tells of starts in doubt.
    Doubts(Vec<Doubt>),
}

/// Why an owner returns tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// It no longer owns their rack, where runs of them may be left.
    Lost,
    /// This rack has free resources for them.
    Room(RackId),
    /// No endpoint of their rack can run them, and none of them runs there.
    Unfit,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Lost => "the rack has another owner",
            Self::Room(_) => "another rack has room",
            Self::Unfit => "no endpoint of the rack can run it",
        })
    }
}

/// A document of which every instance needs the newest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Document {
    /// The configuration.
    Configuration,
    /// The list of endpoints.
    Roster,
}

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Roster => "roster",
        })
    }
}

/// A piece of an encoded document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The document.
    pub document: Document,
    /// The version of the document.
    pub version: u64,
    /// The size of the whole document, in bytes.
    pub size: u32,
    /// The offset of the piece in the document, in bytes.
    pub offset: u32,
    /// The bytes of the piece.
    pub bytes: Vec<u8>,
}

/// A caller's request about a stored job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// To accept and store it.
    Accept(Box<AcceptedJob>),
    /// To return its state.
    State,
    /// To cancel it.
    Cancel,
}

/// The answer of a shard's coordinator to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The job is stored.
    Accepted,
    /// The job isn't accepted and never runs.
    Rejected {
        /// The delay after which the caller may retry.
        again: Span,
    },
    /// The state of the job.
    Standing(JobState),
    /// There is no such job.
    Unknown,
    /// The receiver doesn't coordinate the shard, hasn't loaded it yet, or is still storing the job whose state was asked
    /// for; nothing was done.
    Unready,
}

/// The state of a stored job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The end of a run that must be stored before its endpoint may forget it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation that listed the end.
    pub life: Life,
    /// The serial number of the end in that incarnation.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Whether the task is done; otherwise the run failed.
    pub done: bool,
    /// The entry and serial number of its batch, if the owner knows it.
    pub batch: Option<(Instance, u64)>,
}

/// Tasks of one step that a rack's owner is asked to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The serial number of the batch at its entry.
    pub serial: u64,
    /// The rack that is to run the tasks.
    pub rack: RackId,
    /// Their job.
    pub job: JobId,
    /// The index of their step in the job.
    pub step: u32,
    /// The indices of the tasks in the step.
    pub tasks: Vec<u32>,
    /// How often the batch moved to another owner.
    pub moves: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The estimated duration of a task.
    pub estimate: Span,
    /// The label that the endpoint must have.
    pub label: Option<String>,
    /// The most tasks of the step on one endpoint.
    pub per_endpoint: Option<u32>,
    /// Opaque data that endpoints are given with every task.
    pub spec: String,
    /// The number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The estimated work of the whole job, in core-milliseconds.
    pub work: u64,
    /// Whether the rack holds the data of the tasks, so that they shouldn't move to another one.
    pub tied: bool,
    /// Whether the ends of its runs must be stored before endpoints forget them.
    pub stored: bool,
    /// The time within which a task must start for the job to be on time; `None` if that has passed.
    pub slack: Option<Span>,
    /// The time within which an answer is of use: a batch that hasn't started is given up if it can't end by then. Where another part
    /// of the job has started, or starts at once, it's [`Batch::time_left`]; owners go by that in their order.
    pub useful: Span,
    /// The time after which the job's callers stop waiting.
    pub time_left: Span,
}

/// How a batch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task is done.
    Done,
    /// A task has used up its attempts.
    Failed,
    /// A task was found to crash the endpoints that run it.
    Crashed,
    /// The batch can't end within its time limit, or while an answer is of use.
    Hopeless,
    /// It was dropped because its entry cancelled it.
    Dropped,
}
