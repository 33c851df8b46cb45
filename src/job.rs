//! The job API: submissions, tasks and answers.

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

/// Whether a task may run more than once.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// May be retried and hedged within a budget.
    Idempotent,
    /// Is started at most once, also across resubmissions.
    #[default]
    Once,
    /// Is started at most once like [`Class::Once`], and is declared so by the caller or the record.
    NonIdempotent,
}

impl Class {
    /// Returns whether a task of this class may be started again without proof that it never ran.
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

/// The hardware that a task requires or that an endpoint has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hardware {
    /// The number of processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// The number of accelerators.
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
    /// The input of the task, passed to the endpoint unchanged.
    #[serde(default = "null_payload")]
    pub payload: Arc<RawValue>,
    /// The expected run time: a hint for placement, on which no guarantee depends.
    #[serde(default = "default_expected", rename = "expected_ms")]
    pub expected: Span,
    /// The hardware that the task requires.
    #[serde(default)]
    pub need: Hardware,
}

fn null_payload() -> Arc<RawValue> {
    RawValue::NULL.to_owned().into()
}

fn default_expected() -> Span {
    Span::millis(200)
}

/// A job as a caller submits it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The team whose quota it counts against.
    pub team: Team,
    /// The service that runs it.
    pub service: Service,
    /// The idempotency key; without one, a lost answer can't be retrieved.
    #[serde(default)]
    pub key: Option<Key>,
    /// The class of the tasks; the default is that of the service's record.
    #[serde(default)]
    pub class: Option<Class>,
    /// The time from the arrival to the answer; the default is that of the service's record.
    #[serde(default, rename = "deadline_ms")]
    pub deadline: Option<Span>,
    /// The tasks.
    pub tasks: Vec<Task>,
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All tasks completed, and the answer has all results.
    Complete,
    /// The job ran, at least in part, and at least one task failed.
    Failed,
    /// It is proven that no task of the job was started, and none will be.
    NotRun,
    /// Tasks may or may not have run.
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

/// The reason for the outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// All tasks completed.
    Done,
    /// The request is malformed or exceeds a limit.
    Invalid,
    /// The same key was submitted with a different body.
    Conflict,
    /// No service of this name is in force.
    NoService,
    /// No endpoint can ever run one of the tasks.
    Impossible,
    /// No endpoint that could run one of the tasks is available at present.
    NoEndpoint,
    /// A limit on queued work is reached, or the expected wait exceeds the deadline.
    Busy,
    /// The key can't be claimed because the platform's table is unavailable.
    Store,
    /// The instance is draining.
    Draining,
    /// The instance has no configuration yet.
    NotReady,
    /// The key belongs to a closed key range.
    RangeClosed,
    /// The key is older than the time for which answers are kept.
    Forgotten,
    /// The instance that claimed the key has ended or can't be reached, and no outcome is recorded.
    OwnerGone,
    /// A task failed at its endpoint.
    TaskFailed,
    /// The connection to an endpoint was lost, and the start of a task may have arrived.
    Lost,
    /// The deadline passed.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// A record of the service has a schema that this instance doesn't support.
    Schema,
    /// The job is in progress.
    Running,
    /// The request exceeds the size limit.
    TooLarge,
    /// The request body ended early or wasn't received in time.
    Incomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// The answer to a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The outcome of the job.
    pub outcome: Outcome,
    /// The reason for it.
    pub reason: Reason,
    /// The reason as a sentence, with the field or task concerned.
    pub detail: String,
    /// The key under which the answer is kept.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub key: Option<Key>,
    /// The delay before a retry, if one is useful.
    #[serde(
        skip_serializing_if = "Option::is_none",
        default,
        rename = "retry_after_ms"
    )]
    pub retry_after: Option<Span>,
    /// The results in the order of the tasks; empty unless the outcome is [`Outcome::Complete`].
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

    /// Makes the answer to a job that is refused: no task was started.
    pub fn refusal(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, reason, detail)
    }

    /// Sets the delay before a retry.
    pub fn with_retry_after(mut self, delay: Span) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the key.
    pub fn with_key(mut self, key: Key) -> Self {
        self.key = Some(key);
        self
    }

    /// Returns the approximate memory use of the answer, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let results: usize = self.results.iter().map(|r| r.get().len() + 32).sum();
        size_of::<Self>() + self.detail.len() + results
    }
}
