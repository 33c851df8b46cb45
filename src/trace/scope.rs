//! Decides which log lines are context of a job.

use std::collections::BTreeSet;

use super::{
    line::Line,
    LINES_LEFT_OUT, //
};
use crate::{
    dispatch::id::JobId,
    prelude::*, //
};

/// Events that only stored jobs have. Such a job depends on the instance that coordinates its shard.
const STORED_JOB_EVENTS: [&str; 3] = ["job_stored", "job_ended", "request_unanswered"];

/// The prefix of the events about the store.
const STORE_EVENT_PREFIX: &str = "store_";

/// The time span of a job's own lines, and the instances, the endpoints and the shard that they involve.
#[derive(Debug, Clone)]
pub(super) struct Scope {
    job: JobId,
    first_ms: u64,
    last_ms: u64,
    instances: BTreeSet<String>,
    endpoints: BTreeSet<String>,
    shard: Option<String>,
}

impl Scope {
    pub(super) fn new(job: JobId) -> Self {
        Self {
            job,
            first_ms: u64::MAX,
            last_ms: 0,
            instances: BTreeSet::new(),
            endpoints: BTreeSet::new(),
            shard: None,
        }
    }

    /// Extends the scope by one of the job's own lines.
    pub(super) fn add_line(&mut self, line: &Line) {
        self.first_ms = self.first_ms.min(line.time_ms);
        self.last_ms = self.last_ms.max(line.time_ms);
        self.instances.insert(line.instance.to_string());
        let named = ["owner", "entry"]
            .iter()
            .filter_map(|f| line.string_field(f));
        self.instances.extend(named.map(str::to_owned));
        let endpoint = line.string_field("endpoint").map(str::to_owned);
        self.endpoints.extend(endpoint);
        if STORED_JOB_EVENTS.contains(&line.event.as_str()) {
            self.shard = Some(self.job.shard().to_string());
        }
    }

    /// Returns whether a line is context: it names no job, was written within `span` of the job's own lines, and
    /// concerns what the job involved.
    pub(super) fn is_context(&self, line: &Line, span: Span) -> bool {
        let names_job = line.job.is_some() || line.is_about(self.job);
        if names_job || !self.is_near(line.time_ms, span) {
            return false;
        }
        // Any instance that dropped lines may have handled the job: the lines that say so may be among them.
        if line.event == LINES_LEFT_OUT {
            return true;
        }
        // No line names the coordinator of the job's shard: it may be any instance that lost the store.
        if self.shard.is_some() && line.event.starts_with(STORE_EVENT_PREFIX) {
            return true;
        }
        if let Some(endpoint) = line.string_field("endpoint") {
            return self.endpoints.contains(endpoint) || self.reached_no_endpoint();
        }
        if let Some(shard) = line.string_field("shard") {
            return self.shard.as_deref() == Some(shard);
        }
        let names_rack = line.string_field("rack").is_some();
        self.involves_instance(line) || names_rack && self.reached_no_endpoint()
    }

    fn is_near(&self, time_ms: u64, span: Span) -> bool {
        let span = span.as_millis();
        let from = self.first_ms.saturating_sub(span);
        let until = self.last_ms.saturating_add(span);
        (from..=until).contains(&time_ms)
    }

    /// Returns whether the line was written by an instance that handled the job, or is about one.
    ///
    /// Lines about racks are matched by instance, since the rack names in batch events aren't unique across data centres.
    fn involves_instance(&self, line: &Line) -> bool {
        let named = ["member", "to"].iter().filter_map(|f| line.string_field(f));
        named
            .chain([line.instance.as_str()])
            .any(|name| self.instances.contains(name))
    }

    /// Returns whether no task of the job was sent to an endpoint. Lines about any endpoint or rack are context then, since
    /// they may show why none took the job.
    fn reached_no_endpoint(&self) -> bool {
        self.endpoints.is_empty()
    }
}
