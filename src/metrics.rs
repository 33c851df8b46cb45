//! Metrics of an instance, rendered in the OpenMetrics text format.
//!
//! The decisions thread updates them and the callers thread renders them. Everything is an atomic behind an
//! [`std::sync::Arc`], apart from the two histograms, whose lock is held for a few comparisons.

pub mod registry;

use std::fmt::{
    self,
    Write, //
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue,
        LabelValueEncoder, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{
            exponential_buckets,
            Histogram, //
        },
    },
};

use self::registry::Registry;
use crate::prelude::*;

/// The content type of the rendered text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The first bucket of job times in seconds; each further one is twice as long.
const SHORTEST_JOB: f64 = 0.005;

/// How many buckets job times have: the last ends at about 80 s.
const JOB_BUCKETS: u16 = 15;

/// The buckets of the response time over the ideal time. The aim is 1.02, so they are narrow near one.
const RATIO_BUCKETS: [f64; 12] = [
    1.0, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 7.0, 10.0,
];

/// A message that an instance sends or gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A start of a task at an endpoint.
    Start,
    /// The end of a task, as its endpoint reported it.
    Reply,
    /// A look at an attempt.
    Lookup,
    /// A stop of an attempt.
    Stop,
    /// A call to a peer.
    PeerCall,
    /// A commit to the platform's table.
    TableCommit,
    /// A read of the platform's table.
    TableRead,
    /// A read or write of the platform's object store.
    Object,
    /// A read of the platform's instance list.
    ListRead,
}

impl Message {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Start,
        Self::Reply,
        Self::Lookup,
        Self::Stop,
        Self::PeerCall,
        Self::TableCommit,
        Self::TableRead,
        Self::Object,
        Self::ListRead,
    ];
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "start",
            Self::Reply => "reply",
            Self::Lookup => "look",
            Self::Stop => "stop",
            Self::PeerCall => "peer-call",
            Self::TableCommit => "table-commit",
            Self::TableRead => "table-read",
            Self::Object => "object",
            Self::ListRead => "list-read",
        })
    }
}

/// The values of the gauges, set together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Endpoints that take work.
    pub eligible: u32,
    /// Endpoints that are ejected.
    pub ejected: u32,
    /// Tasks that are started and not ended.
    pub outstanding: u32,
    /// Tasks that wait for an endpoint.
    pub waiting: u32,
    /// Answers that are kept.
    pub kept: u32,
    /// Bytes of the kept answers.
    pub kept_bytes: u64,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// Peers that are alive.
    pub peers: u32,
}

/// A label's value, written as the type is displayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Label<T>(T);

impl<T: fmt::Display> EncodeLabelValue for Label<T> {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{}", self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Request {
    outcome: Label<Outcome>,
    class: Label<Class>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refusal {
    reason: Label<Reason>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: Label<Message>,
}

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<Request, Counter>,
    refusals: Family<Refusal, Counter>,
    job_seconds: Histogram,
    response_ratio: Histogram,
    starts: Counter,
    retries: Counter,
    hedges: Counter,
    /// The counters of [`Message::ALL`], looked up once: they are the ones counted for every task.
    messages: [Counter; Message::ALL.len()],
    ring_refusals: Counter,
    drains: Counter,
    eligible: Gauge,
    ejected: Gauge,
    outstanding: Gauge,
    waiting: Gauge,
    kept: Gauge,
    kept_bytes: Gauge,
    revision: Gauge,
    peers: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Makes metrics that stand at zero.
    pub fn new() -> Self {
        let mut registry = Registry::new();
        let r = &mut registry;
        let job_buckets = exponential_buckets(SHORTEST_JOB, 2.0, JOB_BUCKETS);
        Self {
            requests: r.add("requests", "Answers to submissions"),
            refusals: r.add("refusals", "Submissions not run"),
            job_seconds: r.add_histogram(
                "job_seconds",
                "From a submission's arrival to its answer",
                job_buckets,
            ),
            response_ratio: r.add_histogram(
                "response_ratio",
                "Response time over the longest task of the job",
                RATIO_BUCKETS,
            ),
            starts: r.add("task_starts", "Tasks started"),
            retries: r.add("task_retries", "Tasks started again"),
            hedges: r.add("task_hedges", "Tasks started twice to outrun a straggler"),
            messages: by_kind(&r.add("messages", "Messages to and from others")),
            ring_refusals: r.add(
                "ring_refusals",
                "Work refused because a ring between threads was full",
            ),
            drains: r.add("drains", "Drains begun"),
            eligible: r.add("endpoints_eligible", "Endpoints that take work"),
            ejected: r.add("endpoints_ejected", "Endpoints that are ejected"),
            outstanding: r.add("tasks_outstanding", "Tasks started and not ended"),
            waiting: r.add("tasks_waiting", "Tasks that wait for an endpoint"),
            kept: r.add("answers_kept", "Answers kept for resubmissions"),
            kept_bytes: r.add("answers_kept_bytes", "Bytes of the kept answers"),
            revision: r.add("configuration_revision", "The revision in force"),
            peers: r.add("peers_alive", "Peers that are alive"),
            registry,
        }
    }

    /// Counts an answer, and what it refuses.
    pub fn count_answer(&self, outcome: Outcome, reason: Reason, class: Class) {
        let request = Request {
            outcome: Label(outcome),
            class: Label(class),
        };
        self.requests.get_or_create(&request).inc();
        if outcome == Outcome::NotRun {
            let reason = Label(reason);
            self.refusals.get_or_create(&Refusal { reason }).inc();
        }
    }

    /// Notes how long a complete job took, and what it would have taken at best.
    pub fn observe_job(&self, took: Span, ideal: Span) {
        self.job_seconds.observe(took.duration().as_secs_f64());
        if ideal.0 > 0 {
            self.response_ratio.observe(took.0 as f64 / ideal.0 as f64);
        }
    }

    /// Counts a started task. A retry or a hedge is counted besides, by its own method.
    pub fn count_start(&self) {
        self.starts.inc();
    }

    /// Counts a task that is started again.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a task that is started a second time to outrun a straggler.
    pub fn count_hedge(&self) {
        self.hedges.inc();
    }

    /// Counts a message.
    pub fn count_message(&self, kind: Message) {
        self.messages[kind as usize].inc();
    }

    /// Counts work that was refused because a ring was full.
    pub fn count_ring_refusal(&self) {
        self.ring_refusals.inc();
    }

    /// Counts a drain.
    pub fn count_drain(&self) {
        self.drains.inc();
    }

    /// Sets all gauges.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.eligible.set(gauges.eligible.into());
        self.ejected.set(gauges.ejected.into());
        self.outstanding.set(gauges.outstanding.into());
        self.waiting.set(gauges.waiting.into());
        self.kept.set(gauges.kept.into());
        self.kept_bytes.set(signed(gauges.kept_bytes));
        self.revision.set(signed(gauges.revision.0));
        self.peers.set(gauges.peers.into());
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Passes on what the encoder reports.
    pub fn render(&self) -> Result<String, fmt::Error> {
        self.registry.render()
    }
}

fn by_kind(kinds: &Family<Kind, Counter>) -> [Counter; Message::ALL.len()] {
    Message::ALL.map(|kind| kinds.get_or_create_owned(&Kind { kind: Label(kind) }))
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
