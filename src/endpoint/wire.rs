//! What goes between an instance and an endpoint: JSON over HTTP/1.1.
//!
//! Enums are tagged from outside (`{"done": {"result": 1, "load": {}}}`), since raw values can't be read
//! behind an inner tag.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /tasks` | [`Start`] | 200 [`Reply`] once the task has ended; 503 [`Reply`] `not-started` |
//! | `GET /tasks/ATTEMPT` | none | 200 [`Status`] |
//! | `POST /tasks/ATTEMPT/stop` | none | 200 [`Status`]; an attempt never seen is barred for good |

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use crate::prelude::*;

/// Asks an endpoint to run one task. An endpoint runs an attempt once, however often it is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// The attempt.
    pub attempt: Attempt,
    /// The service that the task belongs to.
    pub service: Service,
    /// What the caller gave.
    pub payload: Arc<RawValue>,
    /// The lease: the endpoint stops the task when it has run for so long.
    #[serde(rename = "lease_ms")]
    pub lease: Span,
}

/// How an endpoint stood when it answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub queued: u32,
    /// The incarnation of the endpoint that answers: drawn at its start, never used again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}

/// The end of an attempt, as the endpoint reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// It ran to its end.
    Done {
        /// What the task gave.
        result: Arc<RawValue>,
        /// How loaded the endpoint is.
        load: Load,
    },
    /// It ran and failed, or was stopped while it ran.
    Failed {
        /// Why.
        error: String,
        /// How loaded the endpoint is.
        load: Load,
    },
    /// It never started, and never will under this attempt.
    NotStarted {
        /// Why.
        error: String,
        /// Whether the endpoint is leaving.
        leaving: bool,
        /// How loaded the endpoint is.
        load: Load,
    },
}

/// What an endpoint knows of an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Not seen; it may still arrive.
    Unseen,
    /// Not started by this incarnation of the endpoint, and it never will be.
    Barred {
        /// The incarnation of the endpoint that answers. The report of another one than the start went to proves
        /// nothing.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        incarnation: Option<Incarnation>,
    },
    /// Waits for a slot or runs.
    Running,
    /// Ended as reported.
    Ended {
        /// The end.
        reply: Reply,
    },
}
