//! Jobs as callers see them: submissions, tasks, answers.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use crate::prelude::*;

/// How often a task may run.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// May be retried and hedged within a budget.
    Idempotent,
    /// Starts once, also over resubmissions: a task of a job.
    #[default]
    Once,
    /// At most once: the same rules as [`Class::Once`], marked by the caller or the record.
    NonIdempotent,
}

impl Class {
    /// Tells whether a task of this class may be started again without a proof that it never ran.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::NonIdempotent => "non-idempotent",
        })
    }
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "idempotent" => Ok(Self::Idempotent),
            "once" => Ok(Self::Once),
            "non-idempotent" => Ok(Self::NonIdempotent),
            _ => Err("is none of idempotent, once, non-idempotent".to_owned()),
        }
    }
}

/// What one task needs of an endpoint, as the caller declares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hardware {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Default for Hardware {
    fn default() -> Self {
        Self {
            cores: 1,
            memory_mb: 0,
            accelerators: 0,
        }
    }
}

/// One task of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// What the endpoint gets, passed on as it is.
    #[serde(default = "null")]
    pub payload: Arc<RawValue>,
    /// The run time that the caller expects; it guides placement and is never trusted.
    #[serde(default = "expected", rename = "expected_ms")]
    pub expected: Span,
    /// What the task needs.
    #[serde(default)]
    pub need: Hardware,
}

fn null() -> Arc<RawValue> {
    RawValue::NULL.to_owned().into()
}

fn expected() -> Span {
    Span::millis(200)
}

/// A job as a caller submits it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The team that pays for it.
    pub team: Team,
    /// The service that it goes to.
    pub service: Service,
    /// The idempotency key; where there is none, nobody can ask for the answer again.
    #[serde(default)]
    pub key: Option<Key>,
    /// How often the tasks may run; the service's record decides where there is none.
    #[serde(default)]
    pub class: Option<Class>,
    /// The time from arrival to the answer; the service's record decides where there is none.
    #[serde(default, rename = "deadline_ms")]
    pub deadline: Option<Span>,
    /// The tasks.
    pub tasks: Vec<Task>,
}

/// The word that an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every task ran to its end, and every result is in the answer.
    Complete,
    /// The job ran, in part or whole, and at least one task failed.
    Failed,
    /// Proved: no task of the job was started, and none will be.
    NotRun,
    /// Tasks may have run; it can't be told whether.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Why a job has the outcome that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// All went well.
    Done,
    /// The request is malformed or breaks a bound.
    Invalid,
    /// The same key came with another body.
    Conflict,
    /// No service of this name is in force.
    NoService,
    /// No endpoint can ever run one of the tasks.
    Impossible,
    /// No endpoint that could run it is there at the moment.
    NoEndpoint,
    /// A bound on queued work is reached, or the wait would pass the deadline.
    Busy,
    /// The platform's table can't be reached, so the key can't be claimed.
    Store,
    /// The instance is draining.
    Draining,
    /// The instance has no configuration yet.
    NotReady,
    /// The key is from a range that is closed.
    RangeClosed,
    /// The key is older than the kept window.
    Forgotten,
    /// The claim's owner is gone or can't be reached, and no outcome was recorded.
    OwnerGone,
    /// A task failed at its endpoint.
    TaskFailed,
    /// The connection to an endpoint was lost after a start that may have arrived.
    Lost,
    /// The deadline passed.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// The record's schema is newer than this instance knows.
    Schema,
    /// The job is in progress.
    Running,
    /// The request is larger than allowed.
    TooLarge,
    /// The caller's body was not read to its end.
    Incomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// The whole answer to one submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// What became of the job.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The same in a sentence, with the field or task it speaks of.
    pub detail: String,
    /// The key under which the answer is kept.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub key: Option<Key>,
    /// When it makes sense to come back, where it does.
    #[serde(
        skip_serializing_if = "Option::is_none",
        default,
        rename = "retry_after_ms"
    )]
    pub retry_after: Option<Span>,
    /// The results in the order of the tasks; there are none unless the outcome is complete.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub results: Vec<Arc<RawValue>>,
}

impl Answer {
    /// Makes an answer without results.
    pub fn new(outcome: Outcome, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            reason,
            detail: detail.into(),
            key: None,
            retry_after: None,
            results: Vec::new(),
        }
    }

    /// Makes a refusal: nothing was run.
    pub fn refusal(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, reason, detail)
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Adds the key.
    pub fn with_key(mut self, key: Key) -> Self {
        self.key = Some(key);
        self
    }

    /// Returns about how many bytes the answer takes in memory.
    pub fn memory_bytes(&self) -> usize {
        let results: usize = self.results.iter().map(|r| r.get().len() + 32).sum();
        size_of::<Self>() + self.detail.len() + results
    }
}
