//! What a job touched, and which other lines explain its own.

use std::collections::BTreeSet;

use super::{
    line::Line,
    THINNED, //
};
use crate::{
    dispatch::id::JobId,
    prelude::*, //
};

/// Events of jobs that are stored; these depend on who coordinates their shard.
const STORED: [&str; 3] = ["job_stored", "job_ended", "request_unanswered"];

/// What the events begin with that are about the store.
const STORE: &str = "store_";

/// When a job lived, and what it touched.
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

    /// Takes note of one of the job's own lines.
    pub(super) fn note(&mut self, line: &Line) {
        self.first_ms = self.first_ms.min(line.time_ms);
        self.last_ms = self.last_ms.max(line.time_ms);
        self.instances.insert(line.instance.to_string());
        let others = ["owner", "entry"].iter().filter_map(|f| line.text(f));
        self.instances.extend(others.map(str::to_owned));
        let endpoint = line.text("endpoint").map(str::to_owned);
        self.endpoints.extend(endpoint);
        if STORED.contains(&line.event.as_str()) {
            self.shard = Some(self.job.shard().to_string());
        }
    }

    /// Tells whether a line that is not the job's own explains it.
    pub(super) fn explains(&self, line: &Line, around: Span) -> bool {
        let other = line.job.is_some() || line.is_about(self.job);
        if other || !self.near(line.time_ms, around) {
            return false;
        }
        // An instance whose log was thinned out may have touched the job without a line that says so.
        if line.event == THINNED {
            return true;
        }
        // No line says who coordinates the job's shard: it may be any instance that lost the store.
        if self.shard.is_some() && line.event.starts_with(STORE) {
            return true;
        }
        if let Some(endpoint) = line.text("endpoint") {
            return self.endpoints.contains(endpoint) || self.unplaced();
        }
        if let Some(shard) = line.text("shard") {
            return self.shard.as_deref() == Some(shard);
        }
        let rack = line.text("rack").is_some();
        self.concerns(line) || rack && self.unplaced()
    }

    fn near(&self, time_ms: u64, around: Span) -> bool {
        let around = around.as_millis();
        let from = self.first_ms.saturating_sub(around);
        let until = self.last_ms.saturating_add(around);
        (from..=until).contains(&time_ms)
    }

    /// Tells whether an instance that touched the job wrote the line, or is the one that it is about.
    ///
    /// Racks go by their owners: a batch is logged with the name of its rack, which others in other data centres share.
    fn concerns(&self, line: &Line) -> bool {
        let others = ["member", "to"].iter().filter_map(|f| line.text(f));
        others
            .chain([line.instance.as_str()])
            .any(|name| self.instances.contains(name))
    }

    /// Tells whether no task of the job was sent to an endpoint. What the endpoints lacked then explains it, whichever they are.
    fn unplaced(&self) -> bool {
        self.endpoints.is_empty()
    }
}
