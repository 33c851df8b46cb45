//! Counters and histograms of an instance on the platform, in the OpenMetrics text format.

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
    },
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
    prelude::*,
};

/// The first bucket of latencies in seconds, their ratio and number: from 1 ms to 16 s.
const BUCKETS: (f64, f64, u16) = (0.001, 2.0, 15);

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Kind {
    kind: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Called {
    order: String,
    reply: String,
}

/// All counters of an instance.
#[derive(Debug)]
pub struct Gauges {
    registry: Registry,
    answers: Family<Kind, Counter>,
    answered: Histogram,
    calls: Family<Called, Counter>,
    starts: Histogram,
    connections: Counter,
    messages: Counter,
    store: Family<Kind, Counter>,
    malformed: Counter,
    events: Family<Kind, Counter>,
    standing: Family<Kind, Gauge>,
}

impl Gauges {
    /// Makes counters at zero.
    pub fn new() -> Self {
        let mut registry = Registry::new();
        let r = &mut registry;
        let (first, ratio, count) = BUCKETS;
        let buckets = || exponential_buckets(first, ratio, count);
        Self {
            answers: r.add("answers", "Answers to callers"),
            answered: r.add_histogram("answer_seconds", "From a request to its answer", buckets()),
            calls: r.add("calls", "Calls to endpoints"),
            starts: r.add_histogram(
                "start_seconds",
                "From a start to the endpoint's answer",
                buckets(),
            ),
            connections: r.add("connections", "Connections opened to endpoints"),
            messages: r.add("messages", "Messages to peers"),
            store: r.add("store_calls", "Calls to the store"),
            malformed: r.add("malformed_rows", "Rows of the store that were left out"),
            events: r.add("events", "Lines of the log by event"),
            standing: r.add("standing", "What it has and does"),
            registry,
        }
    }

    /// Counts rows of the store that can't be used.
    pub fn malformed(&self, count: usize) {
        self.malformed.inc_by(count as u64);
    }

    /// Counts an answer.
    pub fn answer(&self, answer: Answer, took: Span) {
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
        self.answers.get_or_create(&kind_of(kind)).inc();
        self.answered.observe(seconds(took));
    }

    /// Counts a call to an endpoint.
    pub fn call(&self, order: &Order, reply: &Reply, took: Span) {
        let name = match order {
            Order::Start { .. } => "start",
            Order::Stop { .. } => "stop",
            Order::Look { .. } => "look",
        };
        if matches!(order, Order::Start { .. }) {
            self.starts.observe(seconds(took));
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
        let label = Called {
            order: name.to_owned(),
            reply: reply.to_owned(),
        };
        self.calls.get_or_create(&label).inc();
    }

    /// Counts a connection that is opened to an endpoint.
    pub fn connected(&self) {
        self.connections.inc();
    }

    /// Counts messages to a peer.
    pub fn messages(&self, count: usize) {
        self.messages.inc_by(count as u64);
    }

    /// Counts a call to the store by how it ended.
    pub fn store(&self, ended: &'static str) {
        self.store.get_or_create(&kind_of(ended)).inc();
    }

    /// Counts a line of the log, also one that is left out.
    pub fn event(&self, event: &'static str) {
        self.events.get_or_create(&kind_of(event)).inc();
    }

    /// Takes what the instance has and does, and writes everything.
    ///
    /// # Errors
    ///
    /// Fails where the writer does.
    pub fn render(&self, standing: Stats) -> Result<String, fmt::Error> {
        let set = |kind: &str, value: usize| {
            self.standing
                .get_or_create(&kind_of(kind))
                .set(value as i64);
        };
        set("jobs", standing.jobs);
        set("waiting_tasks", standing.waiting_tasks);
        set("runs", standing.runs);
        set("open_endpoints", standing.open_endpoints);
        set("racks", standing.racks);
        set("peers", standing.peers);
        set("configuration", standing.configuration_version as usize);
        set("evacuated", standing.evacuated_centres);
        self.registry.render()
    }
}

impl Default for Gauges {
    fn default() -> Self {
        Self::new()
    }
}

fn kind_of(kind: &str) -> Kind {
    Kind {
        kind: kind.to_owned(),
    }
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}
