//! What goes into the dispatcher and comes out of it, and what dispatchers tell each other.

mod call;
mod handover;
mod heartbeat;
mod line;
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
        Status,
        Vacancy, //
    },
    line::{
        Record,
        Value, //
    },
    store::{
        StoreCallId,
        StoreReply,
        StoreRequest, //
    },
    suspicion::Suspicion,
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
        Run,
        TaskId, //
    },
    route::Configuration,
    task::{
        AcceptedJob,
        Resources,
        Submission, //
    },
};
use crate::prelude::*;

/// A caller that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name. One that starts again may keep it, or have another.
    pub id: Endpoint,
    /// One life of it.
    #[serde(default)]
    pub life: Life,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its data centre.
    pub centre: String,
    /// Its rack, where its data lies.
    pub rack: String,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is leaving: nothing new may start there.
    pub draining: bool,
}

impl Listing {
    /// Returns the rack's identifier.
    pub fn rack_id(&self) -> RackId {
        RackId::of(&self.service, &self.centre, &self.rack)
    }
}

/// The endpoints that the platform lists, as of a version of its store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// A higher one replaces a lower one.
    pub version: u64,
    /// All endpoints.
    pub endpoints: Vec<Listing>,
}

/// What has changed from one version of the list of endpoints to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// The version before it.
    pub after: u64,
    /// The version with it.
    pub version: u64,
    /// Endpoints that are new, or whose entry has changed.
    pub changed: Vec<Listing>,
    /// Endpoints that aren't listed any more.
    pub removed: Vec<Endpoint>,
}

/// A member as it can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub name: Instance,
    /// Where it listens for its peers.
    pub address: String,
}

/// A job as its caller handed it in.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The caller.
    pub ticket: Ticket,
    /// The host that it named.
    pub host: String,
    /// The path that it asked for.
    pub path: String,
    /// The job.
    pub submission: Submission,
    /// How long it waits at most, where it says so.
    pub wait: Option<Span>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller handed in a job.
    Submitted(Box<Arrival>),
    /// A caller has gone, or its connection broke.
    Abandoned(Ticket),
    /// A caller cancels a job.
    Cancelled(JobId),
    /// A configuration was read.
    Configured(Box<Configuration>),
    /// The evacuated data centres were read, all of them.
    Evacuated(Evacuation),
    /// A data centre is evacuated, or taken back.
    EvacuationChanged(evacuation::Change),
    /// The endpoints were read, and something had changed.
    RosterListed(Roster),
    /// The endpoints were read, or couldn't be.
    RosterRead(bool),
    /// Members were found in the store.
    MembersFound(Vec<Contact>),
    /// A peer's messages of one session arrived.
    Received {
        /// The peer.
        from: Sender,
        /// What it says.
        messages: Vec<Message>,
    },
    /// Heartbeats of peers arrived, in this order.
    Heartbeats(Vec<(Sender, Heartbeat)>),
    /// A caller asks for a job that is stored, or cancels it.
    JobRequested {
        /// Where its answer goes.
        ticket: Ticket,
        /// The job.
        job: JobId,
        /// What it wants.
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
    /// The instance is to end, once all is answered.
    Drain,
    /// The process ends in a moment, whatever is still in progress.
    Closing,
    /// Time has passed.
    Tick,
}

/// Who sent messages, and in which session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name and address.
    pub contact: Contact,
    /// Its data centre.
    pub centre: String,
    /// One life of it: a later one is higher.
    pub incarnation: u64,
    /// The life of the receiver that it speaks to, zero where it doesn't know.
    pub receiver_incarnation: u64,
    /// Grows each time that one side gave the other up: what was said before is void.
    pub session: u32,
    /// When this left, on its clock: what lay in a buffer is no sign of life.
    pub sent: Time,
}

/// What the dispatcher wants done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a caller.
    Answer(Ticket, Answer),
    /// Call an endpoint.
    Call {
        /// Names the call in its answer.
        call: CallId,
        /// The life of the endpoint that is meant.
        endpoint: Endpoint,
        /// Where it listens.
        address: String,
        /// What to do.
        order: Order,
        /// How long to wait for the answer.
        timeout: Span,
        /// Whether a connection must be new: the last one may have gone silent.
        fresh: bool,
    },
    /// Call the store.
    Store {
        /// Names the call in its answer.
        call: StoreCallId,
        /// What for.
        request: StoreRequest,
    },
    /// Send a message to a peer, after all before it.
    Send(Contact, Message),
    /// Send a heartbeat to some peers; any of these may be lost.
    Heartbeat(Vec<Contact>, Heartbeat),
    /// Forget what has not left for a peer, and begin a session with it.
    BeginSession {
        /// The peer.
        to: Contact,
        /// Its life, zero where it isn't known.
        incarnation: u64,
        /// The session.
        session: u32,
    },
    /// Close all connections to an endpoint, one life of which has ended.
    Disconnect(String),
    /// Write a line to the log.
    Log(Record),
    /// No jobs are taken any more: idle connections of callers can be closed.
    CloseIdleCallers,
    /// All is answered after a drain.
    Drained,
}

/// The answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Every task ran to its end.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// The job was given up for want of time; some of it may have run, and what runs is being stopped.
    GivenUp {
        /// After how long its caller may try again.
        again: Span,
    },
    /// Nothing of it was run or will be; try again after a while.
    Refused {
        /// After how long.
        again: Span,
    },
    /// The job is stored, and will be run.
    Accepted,
    /// How a stored job stands.
    Standing(JobState),
    /// There is no such job.
    Unknown,
    /// There is no such queue.
    NoRoute,
    /// The instance has no configuration yet.
    Unready,
}

/// What instances tell each other. Messages of one session arrive in order, each once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Members that the sender hears.
    Members(Vec<Contact>),
    /// Run these tasks.
    Batch(Box<Batch>),
    /// Drop a batch.
    Cancel(u64),
    /// A batch has ended.
    Report {
        /// The batch, by its entry's number.
        serial: u64,
        /// How.
        outcome: Outcome,
        /// Its tasks that are done.
        done: Vec<u32>,
        /// Whether a start of it ever left.
        started: bool,
    },
    /// Tasks of a batch that are not run here: place them again.
    Returned {
        /// The batch.
        serial: u64,
        /// The tasks.
        tasks: Vec<u32>,
        /// Whether a start of the batch ever left.
        started: bool,
        /// Why they come back.
        cause: Cause,
    },
    /// Which of these batches does the receiver hold?
    Audit(Vec<u64>),
    /// The receiver's batches that the sender doesn't hold.
    Unknown(Vec<u64>),
    /// The sender has room and nothing waits there: it asks for tasks of the receiver's rack.
    Want {
        /// The rack that has tasks waiting.
        from: RackId,
        /// The rack that has room.
        to: RackId,
        /// The room, by endpoint.
        rooms: Vec<Resources>,
    },
    /// A rack changes its owner.
    Handover(Box<Handover>),
    /// A batch of the receiver has moved: told by its former owner and by its next one, since either may be gone before
    /// it is heard.
    Moved {
        /// The batch.
        serial: u64,
        /// Its new owner.
        to: Instance,
        /// How often it has moved.
        moves: u32,
    },
    /// The sender lacks a document that the receiver has.
    Fetch {
        /// Which.
        document: Document,
        /// Where the piece begins that it wants, in bytes.
        offset: u32,
    },
    /// A piece of a document.
    Piece(Box<Piece>),
    /// What has changed on the list of endpoints.
    RosterChange(Box<RosterChange>),
    /// A caller cancels a job that the sender doesn't have.
    CancelJob(JobId),
    /// The receiver coordinates the job's shard: a caller hands it in, asks for it or cancels it.
    Request {
        /// Counts the requests of the sender.
        serial: u64,
        /// The job.
        job: JobId,
        /// What the caller wants.
        question: Question,
    },
    /// The answer to a request.
    Verdict {
        /// The request.
        serial: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// A start of a batch of a stored job has left.
    Begun(u64),
    /// A run of a stored job has ended; the endpoint goes on listing its end until it is stored.
    Ended(Box<RunEnd>),
    /// The end of a run is stored, or is of no job that is: the endpoint may forget it.
    Noted {
        /// The endpoint.
        endpoint: Endpoint,
        /// The life that listed it.
        life: Life,
        /// The end's number there.
        serial: u64,
        /// Whether the task was given out again before its end was heard: the endpoint may forget the end only when
        /// its lease has passed, after which the end has no meaning any more.
        late: bool,
    },
}

/// Why tasks come back from an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Their rack has no owner there any more, and runs of theirs may be left on it.
    Lost,
    /// That rack has room for them now.
    Room(RackId),
    /// No endpoint of their rack may or can run them, and nothing of them runs there.
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

/// What every instance must have in its newest version.
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

/// A piece of a document as it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Which.
    pub document: Document,
    /// Its version.
    pub version: u64,
    /// The size of the whole, in bytes.
    pub size: u32,
    /// Where the piece begins.
    pub offset: u32,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// What a caller wants of a stored job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// To hand it in.
    Accept(Box<AcceptedJob>),
    /// To know how it stands.
    State,
    /// That it ends.
    Cancel,
}

/// What a shard's coordinator answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The job is stored.
    Accepted,
    /// It is not taken, and never runs; its caller may come back later.
    Rejected {
        /// After how long.
        again: Span,
    },
    /// How it stands.
    Standing(JobState),
    /// There is no such job.
    Unknown,
    /// The receiver doesn't coordinate the shard, or can't tell yet; nothing was done.
    Unready,
}

/// How a stored job stands, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing of it has started.
    Queued,
    /// Some of it has.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The end of a run that must be stored before its endpoint forgets it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The life of it that listed the end.
    pub life: Life,
    /// Counts the ends of one life of the endpoint.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Whether it ended as done; else it failed.
    pub done: bool,
    /// Its batch, by the entry and its number, where the owner knows it.
    pub batch: Option<(Instance, u64)>,
}

/// Tasks of one step that one owner is to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Counts the batches of its entry.
    pub serial: u64,
    /// The rack that is to run them.
    pub rack: RackId,
    /// Their job.
    pub job: JobId,
    /// Their step.
    pub step: u32,
    /// The tasks.
    pub tasks: Vec<u32>,
    /// How often it went to another owner.
    pub moves: u32,
    /// What each task takes.
    pub need: Resources,
    /// A task's estimated duration where it is placed.
    pub estimate: Span,
    /// A label that the endpoint must have.
    pub label: Option<String>,
    /// The most tasks of the step on one endpoint.
    pub per_endpoint: Option<u32>,
    /// What the tasks are told.
    pub spec: String,
    /// How many runs of a task may fail.
    pub attempts: u32,
    /// Zero goes first.
    pub priority: u32,
    /// The work of its whole job, in core-milliseconds.
    pub work: u64,
    /// Whether its data ties it to the rack.
    pub tied: bool,
    /// Whether the ends of its runs must be stored before endpoints forget them.
    pub stored: bool,
    /// How long until a task must have started to be on time; none where that has passed.
    pub slack: Option<Span>,
    /// How long until an answer is of so little use that the room is better given to others.
    pub useful: Span,
    /// How long until nobody waits any more.
    pub time_left: Span,
}

/// How a batch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task is done.
    Done,
    /// A task failed as often as it may.
    Failed,
    /// Endpoints crashed under a task as often as they may.
    Crashed,
    /// Its caller's time can't be met any more.
    Hopeless,
    /// It was dropped as its entry asked.
    Dropped,
}
