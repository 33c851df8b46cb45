//! Metrics of an instance on the platform, in the OpenMetrics text format.

use std::fmt;

use prometheus_client::{
    encoding::EncodeLabelSet,
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

use crate::{
    dispatch::{
        message::{
            Answer,
            Order,
            Reply, //
        },
        Stats, //
    },
    metrics::registry::Registry,
    prelude::*, //
};

/// The first latency bucket in seconds, the ratio between buckets, and their number: 1 ms to 16 s.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.001, 2.0, 15);

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    order: String,
    reply: String,
}

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: Family<KindLabel, Counter>,
    answer_latency: Histogram,
    calls: Family<CallLabels, Counter>,
    start_latency: Histogram,
    connections: Counter,
    messages: Counter,
    queued_messages: Family<KindLabel, Counter>,
    queued_bytes: Family<KindLabel, Counter>,
    peer_connections: Counter,
    delivery_latency: Histogram,
    heartbeats: Counter,
    heartbeat_bytes: Counter,
    store_calls: Family<KindLabel, Counter>,
    malformed_rows: Counter,
    events: Family<KindLabel, Counter>,
    standing: Family<KindLabel, Gauge>,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut registry = Registry::new();
        let r = &mut registry;
        let (first, ratio, count) = LATENCY_BUCKETS;
        let buckets = || exponential_buckets(first, ratio, count);
        Self {
            answers: r.add("answers", "Answers to callers"),
            answer_latency: r.add_histogram(
                "answer_seconds",
                "Time from a caller's request to its answer",
                buckets(),
            ),
            calls: r.add("calls", "Calls to endpoints"),
            start_latency: r.add_histogram(
                "start_seconds",
                "Time from a start order to the endpoint's reply",
                buckets(),
            ),
            connections: r.add("connections", "Connections opened to endpoints"),
            messages: r.add("messages", "Messages to peers"),
            queued_messages: r.add("queued_messages", "Messages queued for peers by kind"),
            queued_bytes: r.add("queued_bytes", "Bytes of messages queued for peers by kind"),
            peer_connections: r.add("peer_connections", "Connections opened to peers"),
            delivery_latency: r.add_histogram(
                "delivery_seconds",
                "Time from the queueing of a message to a peer to its acknowledgement",
                buckets(),
            ),
            heartbeats: r.add("heartbeats", "Heartbeats sent to peers"),
            heartbeat_bytes: r.add("heartbeat_bytes", "Bytes of heartbeats sent to peers"),
            store_calls: r.add("store_calls", "Calls to the store"),
            malformed_rows: r.add(
                "malformed_rows",
                "Store rows skipped because they can't be read",
            ),
            events: r.add("events", "Log lines by event, including those left out"),
            standing: r.add("standing", "Current counts of the dispatcher by kind"),
            registry,
        }
    }

    /// Counts store rows that can't be used.
    pub fn count_malformed_rows(&self, count: usize) {
        self.malformed_rows.inc_by(count as u64);
    }

    /// Counts an answer to a caller, and observes its latency.
    pub fn count_answer(&self, answer: Answer, took: Span) {
        let kind = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::GivenUp { .. } => "given_up",
            Answer::Refused { .. } => "refused",
            Answer::Accepted => "accepted",
            Answer::Standing(_) => "standing",
            Answer::Unknown => "unknown",
            Answer::NoRoute => "no_route",
            Answer::Unready => "unready",
        };
        self.answers.get_or_create(&kind_label(kind)).inc();
        self.answer_latency.observe(seconds(took));
    }

    /// Counts a call to an endpoint, and observes the latency of a start.
    pub fn count_call(&self, order: &Order, reply: &Reply, took: Span) {
        let name = match order {
            Order::Start { .. } => "start",
            Order::Stop { .. } => "stop",
            Order::Poll { .. } => "look",
        };
        if matches!(order, Order::Start { .. }) {
            self.start_latency.observe(seconds(took));
        }
        let reply = match reply {
            Reply::Done { .. } | Reply::Looked(_) => "done",
            Reply::Refused { .. } => "refused",
            Reply::Unwell => "unwell",
            Reply::Reborn => "reborn",
            Reply::Malformed(_) => "malformed",
            Reply::Unsent => "unsent",
            Reply::Silent => "silent",
        };
        let label = CallLabels {
            order: name.to_owned(),
            reply: reply.to_owned(),
        };
        self.calls.get_or_create(&label).inc();
    }

    /// Counts a connection that is opened to an endpoint.
    pub fn count_connection(&self) {
        self.connections.inc();
    }

    /// Counts messages sent to a peer.
    pub fn count_messages(&self, count: usize) {
        self.messages.inc_by(count as u64);
    }

    /// Counts a message that is queued for a peer, and its size in bytes.
    pub fn count_queued(&self, kind: &'static str, bytes: usize) {
        let label = kind_label(kind);
        self.queued_messages.get_or_create(&label).inc();
        self.queued_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Counts a connection that is opened to a peer.
    pub fn count_peer_connection(&self) {
        self.peer_connections.inc();
    }

    /// Observes how long messages to a peer took from their queueing to their acknowledgement.
    pub fn observe_delivery(&self, took: Span) {
        self.delivery_latency.observe(seconds(took));
    }

    /// Counts a heartbeat sent to a peer, and its size in bytes.
    pub fn count_heartbeat(&self, bytes: usize) {
        self.heartbeats.inc();
        self.heartbeat_bytes.inc_by(bytes as u64);
    }

    /// Counts a call to the store by its result.
    pub fn count_store_call(&self, result: &'static str) {
        self.store_calls.get_or_create(&kind_label(result)).inc();
    }

    /// Counts a log line, also one that is left out.
    pub fn count_log_line(&self, event: &'static str) {
        self.events.get_or_create(&kind_label(event)).inc();
    }

    /// Updates the gauges from the dispatcher's state, and returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text can't be formatted.
    pub fn render(&self, stats: Stats) -> Result<String, fmt::Error> {
        let set = |kind: &str, value: usize| {
            self.standing
                .get_or_create(&kind_label(kind))
                .set(value as i64);
        };
        set("jobs", stats.jobs);
        set("waiting_tasks", stats.waiting_tasks);
        set("waiting_work", stats.waiting_work as usize);
        set("runs", stats.runs);
        set("open_endpoints", stats.open_endpoints);
        set("slow_endpoints", stats.slow_endpoints);
        set("racks", stats.racks);
        set("peers", stats.peers);
        set("configuration", stats.configuration_version as usize);
        set("evacuated", stats.evacuated_centres);
        set("uneven_racks", stats.speeds.uneven_racks);
        set("fastest_percent", stats.speeds.fastest_percent);
        set("slowest_percent", stats.speeds.slowest_percent);
        set("waiting_for_speed", stats.speeds.waiting_tasks);
        set("held_back_tasks", stats.held_back_tasks);
        set("reserved_tasks", stats.reserved_tasks);
        set("unsettled_runs", stats.unsettled_runs);
        set("doubtful_tasks", stats.doubtful_tasks);
        self.registry.render()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn kind_label(kind: &str) -> KindLabel {
    KindLabel {
        kind: kind.to_owned(),
    }
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}
