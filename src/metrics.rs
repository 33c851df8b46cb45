//! Metrics of an instance, rendered in the OpenMetrics text format.
//!
//! All threads update them and the callers thread renders them. Counters and gauges are atomics. The two histograms have
//! a lock each, which is held only to find and increment a bucket.

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
        }, //
    }, //
};

use self::registry::Registry;
use crate::prelude::*;

/// The content type of the rendered text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The upper bound of the first bucket of job times, in seconds; each further bound is twice the one before.
const FIRST_JOB_BUCKET_S: f64 = 0.005;

/// The number of buckets of job times; the last bound is about 80 s.
const JOB_BUCKET_COUNT: u16 = 15;

/// The bounds of the buckets of the response time over the ideal time. They are narrow near the target of 1.02.
const RATIO_BUCKETS: [f64; 12] = [
    1.0, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 7.0, 10.0,
];

/// The kinds of messages that an instance sends or receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A request to an endpoint to start a task.
    Start,
    /// An endpoint's reply to a start.
    Reply,
    /// A request to an endpoint for the status of an attempt.
    Lookup,
    /// A request to an endpoint to stop an attempt.
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

/// The values of all gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// The number of endpoints that take new tasks.
    pub eligible: u32,
    /// The number of ejected endpoints.
    pub ejected: u32,
    /// The number of tasks that are started and not ended.
    pub outstanding: u32,
    /// The number of tasks that wait for an endpoint.
    pub waiting: u32,
    /// The number of answers kept for resubmissions.
    pub kept_answers: u32,
    /// The size of the kept answers in bytes.
    pub kept_answer_bytes: u64,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The number of peers that are alive.
    pub peers: u32,
}

/// A label value, written as its type's `Display` does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Label<T>(T);

impl<T: fmt::Display> EncodeLabelValue for Label<T> {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{}", self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: Label<Outcome>,
    class: Label<Class>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: Label<Reason>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    kind: Label<Message>,
}

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    job_seconds: Histogram,
    response_ratio: Histogram,
    starts: Counter,
    retries: Counter,
    hedges: Counter,
    /// The counters in the order of [`Message::ALL`], cached since they are incremented for every task.
    messages: [Counter; Message::ALL.len()],
    ring_refusals: Counter,
    drains: Counter,
    eligible: Gauge,
    ejected: Gauge,
    outstanding: Gauge,
    waiting: Gauge,
    kept_answers: Gauge,
    kept_answer_bytes: Gauge,
    revision: Gauge,
    peers: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let mut registry = Registry::new();
        let r = &mut registry;
        let job_buckets = exponential_buckets(FIRST_JOB_BUCKET_S, 2.0, JOB_BUCKET_COUNT);
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
            retries: r.add("task_retries", "Retries of tasks"),
            hedges: r.add("task_hedges", "Second attempts started beside a slow one"),
            messages: message_counters(&r.add("messages", "Messages sent or received")),
            ring_refusals: r.add(
                "ring_refusals",
                "Work refused because a ring between threads was full",
            ),
            drains: r.add("drains", "Drains begun"),
            eligible: r.add("endpoints_eligible", "Endpoints that take work"),
            ejected: r.add("endpoints_ejected", "Endpoints that are ejected"),
            outstanding: r.add("tasks_outstanding", "Tasks started and not ended"),
            waiting: r.add("tasks_waiting", "Tasks that wait for an endpoint"),
            kept_answers: r.add("answers_kept", "Answers kept for resubmissions"),
            kept_answer_bytes: r.add("answers_kept_bytes", "Bytes of the kept answers"),
            revision: r.add("configuration_revision", "The revision in force"),
            peers: r.add("peers_alive", "Peers that are alive"),
            registry,
        }
    }

    /// Counts an answer to a submission, and a refusal if the job was not run.
    pub fn count_answer(&self, outcome: Outcome, reason: Reason, class: Class) {
        let request = RequestLabels {
            outcome: Label(outcome),
            class: Label(class),
        };
        self.requests.get_or_create(&request).inc();
        if outcome == Outcome::NotRun {
            let reason = Label(reason);
            self.refusals.get_or_create(&RefusalLabels { reason }).inc();
        }
    }

    /// Records the response time of a completed job, and its ratio to `ideal`, the duration of the job's longest task.
    pub fn observe_job(&self, took: Span, ideal: Span) {
        self.job_seconds.observe(took.duration().as_secs_f64());
        if ideal.0 > 0 {
            self.response_ratio.observe(took.0 as f64 / ideal.0 as f64);
        }
    }

    /// Counts a start of a task. For a retry or a hedge, [`Self::count_retry`] or [`Self::count_hedge`] is called as well.
    pub fn count_start(&self) {
        self.starts.inc();
    }

    /// Counts a retry of a task.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a hedge: a second attempt at a task whose first is slow.
    pub fn count_hedge(&self) {
        self.hedges.inc();
    }

    /// Counts a message that was sent or received.
    pub fn count_message(&self, kind: Message) {
        self.messages[kind as usize].inc();
    }

    /// Counts an item that was refused because a ring between threads was full.
    pub fn count_ring_refusal(&self) {
        self.ring_refusals.inc();
    }

    /// Counts a drain that has begun.
    pub fn count_drain(&self) {
        self.drains.inc();
    }

    /// Sets all gauges.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.eligible.set(gauges.eligible.into());
        self.ejected.set(gauges.ejected.into());
        self.outstanding.set(gauges.outstanding.into());
        self.waiting.set(gauges.waiting.into());
        self.kept_answers.set(gauges.kept_answers.into());
        self.kept_answer_bytes
            .set(to_gauge_value(gauges.kept_answer_bytes));
        self.revision.set(to_gauge_value(gauges.revision.0));
        self.peers.set(gauges.peers.into());
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn render(&self) -> Result<String, fmt::Error> {
        self.registry.render()
    }
}

/// Returns the counter of each kind, in the order of [`Message::ALL`].
fn message_counters(family: &Family<MessageLabels, Counter>) -> [Counter; Message::ALL.len()] {
    Message::ALL.map(|kind| family.get_or_create_owned(&MessageLabels { kind: Label(kind) }))
}

/// Converts a value for a gauge; one that is too large becomes the largest.
fn to_gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
