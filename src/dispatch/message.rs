//! What goes into the dispatcher and comes out of it, and what dispatchers tell each other.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    evacuation::{
        self,
        Evacuation, //
    },
    id::{
        Epoch,
        JobId,
        Life,
        RackId,
        Run,
        ShardId,
        TaskId,
        Token, //
    },
    route::Configuration,
    task::{
        Accepted,
        Room,
        Submission, //
    },
};
use crate::prelude::*;

/// A caller that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call to an endpoint that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

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
    pub capacity: Room,
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
    pub gone: Vec<Endpoint>,
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
    Listed(Roster),
    /// The endpoints were read, or couldn't be.
    Read(bool),
    /// Members were found in the store.
    Found(Vec<Contact>),
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
    Asked {
        /// Where its answer goes.
        ticket: Ticket,
        /// The job.
        job: JobId,
        /// What it wants.
        question: Question,
    },
    /// A call to the store has ended.
    Stored {
        /// The call.
        call: StoreCall,
        /// How it ended.
        reply: StoreReply,
    },
    /// A call to an endpoint has ended.
    Called {
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
    pub to: u64,
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
        patience: Span,
        /// Whether a connection must be new: the last one may have gone silent.
        fresh: bool,
    },
    /// Call the store.
    Store {
        /// Names the call in its answer.
        call: StoreCall,
        /// What for.
        request: StoreRequest,
    },
    /// Send a message to a peer, after all before it.
    Send(Contact, Message),
    /// Send a heartbeat to some peers; any of these may be lost.
    Heartbeat(Vec<Contact>, Heartbeat),
    /// Forget what has not left for a peer, and begin a session with it.
    Session {
        /// The peer.
        to: Contact,
        /// Its life, zero where it isn't known.
        incarnation: u64,
        /// The session.
        session: u32,
    },
    /// Close all connections to an endpoint, one life of which has ended.
    Forget(String),
    /// Write a line to the log.
    Log(Record),
    /// No jobs are taken any more: idle connections of callers can be closed.
    Closed,
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

/// What an endpoint is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run of a task.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// What the task is told.
        spec: String,
        /// Until when the endpoint's runs may go on, on its clock, in milliseconds.
        lease: u64,
        /// The owner's token.
        token: Token,
    },
    /// Stop a run, and bar it and all lower ones.
    Stop {
        /// The task.
        task: Name,
        /// The run.
        run: Run,
        /// The owner's token.
        token: Token,
    },
    /// Tell what runs and what has ended.
    Look {
        /// Until when the endpoint's runs may go on, on its clock; none leaves their leases alone.
        lease: Option<u64>,
        /// The owner's token.
        token: Token,
        /// Ends up to this one are known and can be forgotten.
        seen: u64,
        /// How long to wait for an end.
        wait: Span,
    },
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// It did what it was told. The clock is the endpoint's, in milliseconds.
    Done {
        /// Its clock.
        clock: u64,
    },
    /// What runs and what has ended.
    Looked(Lists),
    /// It refused.
    Refused {
        /// Its clock.
        clock: u64,
        /// Why.
        refusal: Refusal,
    },
    /// It did nothing, since it is unwell.
    Unwell,
    /// The life that was meant has ended.
    Reborn,
    /// It found the call malformed, or its answer is.
    Malformed(String),
    /// No byte of the call left.
    Unsent,
    /// No answer came. The call may be carried out, now or later.
    Silent,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lists {
    /// Its clock.
    pub clock: u64,
    /// The life that says so.
    pub life: Life,
    /// What runs there.
    pub running: Vec<Running>,
    /// What has ended.
    pub ended: Vec<Ended>,
}

/// Why an endpoint refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fenced,
    /// The run, or a higher one, has been there or was barred.
    Old,
    /// The lease that the order carried had passed.
    Late,
    /// It has no room.
    Full,
    /// Something else.
    Other,
}

/// A task as an endpoint names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// One that an instance of this build can have started.
    Known(TaskId),
    /// Any other.
    Foreign(String),
}

/// A run on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// How much of its work is done, in hundredths, where the endpoint says so.
    pub percent: Option<u8>,
}

/// A run that has ended on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Counts the ends of one life of the endpoint, from one.
    pub serial: u64,
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// How.
    pub end: End,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// To its end.
    Done,
    /// By its own fault or the endpoint's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease passed.
    Lapsed,
    /// Something else.
    Other,
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
        rooms: Vec<Room>,
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
    Accept(Box<Accepted>),
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

/// Names a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreCall(pub u64);

/// What the store is asked for; rows are those of one shard.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read rows in the order of their keys, after one or from the first.
    Read {
        /// The shard.
        shard: ShardId,
        /// The key to begin after.
        after: Option<String>,
    },
    /// Read one row.
    Find {
        /// The shard.
        shard: ShardId,
        /// Its key.
        key: String,
    },
    /// Change rows, all or none, if one row still has its version.
    Write {
        /// The shard.
        shard: ShardId,
        /// The row, and the version that it must have; zero means that there is none.
        guard: (String, u64),
        /// Rows to set, by their keys.
        set: Vec<(String, Vec<u8>)>,
        /// Keys of rows to remove.
        remove: Vec<String>,
    },
}

/// What came of a call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// Rows with key, value and version; and whether more follow.
    Rows(Vec<(String, Vec<u8>, u64)>, bool),
    /// The change was made, as this version.
    Written(u64),
    /// The row that guards it has another version; nothing was changed.
    Conflict,
    /// It was refused; nothing was changed.
    Refused,
    /// No answer came. A change may be made, now or later.
    Silent,
}

/// What a member tells all others again and again: it lives, and how much room its racks have.
///
/// A heartbeat that is lost is replaced by the next one, so it goes as a datagram: as a call of its own, over a
/// connection to each of 36 peers, it took more than half of a processor share of 0.12 cores.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether its sender watches the receiver closely, and waits for its heartbeats.
    pub watching: bool,
    /// The member's standing.
    pub status: Status,
    /// The room of racks where it has changed.
    pub rooms: Vec<Vacancy>,
}

/// What a member says of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest epoch that it has heard of.
    pub epoch: Epoch,
    /// The version of its configuration.
    pub configuration: u64,
    /// The version of its list of endpoints.
    pub roster: u64,
    /// The data centres that it knows as evacuated.
    pub evacuation: Evacuation,
    /// Whether it reads the list of endpoints from the store.
    pub reading: bool,
    /// Whether it is about to end.
    pub draining: bool,
    /// Its processor share, in thousandths of a core: the more it has, the more racks it takes.
    pub share: u32,
    /// The racks that it owns.
    pub racks: Vec<Claim>,
    /// The shards of stored jobs that it coordinates.
    pub shards: Vec<Coordination>,
    /// Its jobs of which nothing has started, by queue.
    pub pending: Vec<(String, u32)>,
    /// Members that it found to be gone of late.
    pub absences: Vec<Absence>,
}

/// A life of a member that one that watched it closely found to be gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The member.
    pub name: Instance,
    /// Its life.
    pub incarnation: u64,
}

/// A shard that a member coordinates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordination {
    /// The shard.
    pub shard: ShardId,
    /// What it knows of it.
    pub knowledge: Knowledge,
}

/// What a coordinator knows of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// Nothing yet.
    Reading,
    /// That the store holds nothing of it.
    Empty,
    /// All of its jobs, as the only one that writes them.
    Held,
}

/// A rack that a member owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The rack.
    pub rack: RackId,
    /// The token of its owner.
    pub token: Token,
}

/// The room that a rack has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The rack.
    pub rack: RackId,
    /// What is free, by endpoint that takes work.
    pub free: Vec<Room>,
    /// Tasks that wait there and would run as well elsewhere.
    pub movable: u32,
    /// The work that waits, in core-milliseconds.
    pub backlog: u64,
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
    pub need: Room,
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
    pub left: Span,
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

/// What the next owner of a rack must know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The rack.
    pub rack: RackId,
    /// The highest token that was used there.
    pub token: Token,
    /// Its batches.
    pub batches: Vec<Held>,
    /// What runs on its endpoints.
    pub runs: Vec<Transferred>,
}

/// A batch at its owner, as it is handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The entry that it is from.
    pub entry: Contact,
    /// The batch, with the tasks that are not done.
    pub batch: Batch,
    /// The next run of each of its tasks.
    pub next: Vec<Run>,
    /// How often each of its tasks failed.
    pub failures: Vec<u32>,
    /// What is suspected of each of its tasks.
    pub suspicions: Vec<Suspicion>,
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Whether a start ever left.
    pub started: bool,
}

/// What is known of endpoints that crashed, or may have, under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// How many have crashed.
    pub crashes: u32,
    /// In how many of these it was the only one there that had come under suspicion before.
    pub sole: u32,
    /// How many have fallen silent, and haven't been heard since.
    pub silences: u32,
    /// How many of these refused connections, as one does whose process has ended.
    pub refusals: u32,
}

/// Endpoints that crash under a task before it is to blame, where no other task was at both crashes.
const CRASHES: u32 = 2;

/// Endpoints that crash under a task before it is to blame in any case.
const SHARED_CRASHES: u32 = 3;

impl Suspicion {
    /// Tells whether there is any.
    pub fn is_any(self) -> bool {
        self.crashes + self.silences > 0
    }

    /// Tells whether the task is to blame. One that shared both crashes with another may be as innocent as that: it runs once more. A
    /// third crash is enough, since the platform bounds the starts after it.
    pub fn is_proved(self) -> bool {
        let least = if self.sole > 0 {
            CRASHES
        } else {
            SHARED_CRASHES
        };
        self.crashes >= least
    }

    /// Tells whether it is strong enough for the task to run alone. One endpoint that leaves calls without an answer is no reason: a cut
    /// silences many, and what ran there would take an endpoint each, when there are fewer.
    pub fn is_strong(self) -> bool {
        self.crashes + self.refusals > 0 || self.silences > 1
    }

    /// Takes note that an endpoint which had fallen silent is heard of.
    pub fn heard(&mut self) {
        self.silences = self.silences.saturating_sub(1);
        self.refusals = self.refusals.min(self.silences);
    }
}

/// A run as it is handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transferred {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its batch, by the entry and its number.
    pub entry: Instance,
    /// See above.
    pub serial: u64,
    /// Whether it is being stopped, to be started again.
    pub stopping: bool,
}

/// A line of the log: an event, the job that it touches, and what decided it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The event's name.
    pub event: &'static str,
    /// Whether it is routine, and may be left out under load.
    pub routine: bool,
    /// The job.
    pub job: Option<JobId>,
    /// Names and values.
    pub fields: Vec<(&'static str, Value)>,
}

/// A value in a line of the log.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Value {
    /// A number.
    Number(i64),
    /// A text.
    Text(String),
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number as i64)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(i64::from(number))
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Number(number as i64)
    }
}

impl From<Span> for Value {
    fn from(span: Span) -> Self {
        Self::Number(span.as_millis() as i64)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl Record {
    /// Makes a line that is always written.
    pub fn new(event: &'static str) -> Self {
        Self {
            event,
            routine: false,
            job: None,
            fields: Vec::new(),
        }
    }

    /// Makes a line that may be left out under load.
    pub fn routine(event: &'static str) -> Self {
        Self {
            routine: true,
            ..Self::new(event)
        }
    }

    /// Names the job.
    pub fn job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Adds a value.
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.push((name, value.into()));
        self
    }
}
