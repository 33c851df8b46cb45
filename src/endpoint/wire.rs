//! The messages between an instance and an endpoint: JSON over HTTP/1.1.
//!
//! Enums are externally tagged (`{"done": {"result": 1, "load": {}}}`), since [`RawValue`] can't be deserialized from an
//! internally tagged one.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /tasks` | [`Start`] | 200 [`Reply`] once the task has ended; 503 [`Reply`] `not-started` |
//! | `GET /tasks/ATTEMPT` | none | 200 [`Status`] |
//! | `POST /tasks/ATTEMPT/stop` | none | 200 [`Status`]; an attempt not received so far is barred for good |

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use crate::prelude::*;

/// A request to run one task. It is idempotent: an endpoint runs an attempt once, however often it is requested.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// The attempt.
    pub attempt: Attempt,
    /// The service that the task belongs to.
    pub service: Service,
    /// The caller's payload, passed through unchanged.
    pub payload: Arc<RawValue>,
    /// The lease: how long the task may run before the endpoint stops it.
    #[serde(rename = "lease_ms")]
    pub lease: Span,
}

/// The load of an endpoint when it answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running tasks.
    pub running: u32,
    /// The number of tasks that wait for a slot.
    pub queued: u32,
    /// The incarnation of the endpoint: a new one at each start of its process, never reused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}

/// The end of an attempt, as the endpoint reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The task succeeded.
    Done {
        /// The result of the task.
        result: Arc<RawValue>,
        /// The endpoint's load.
        load: Load,
    },
    /// The task failed, or was stopped while it ran.
    Failed {
        /// The cause.
        error: String,
        /// The endpoint's load.
        load: Load,
    },
    /// The task wasn't started, and won't be under this attempt.
    NotStarted {
        /// The cause.
        error: String,
        /// Whether the endpoint is leaving.
        leaving: bool,
        /// The endpoint's load.
        load: Load,
    },
}

/// The status of an attempt at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The start hasn't been received; it may still arrive.
    Unseen,
    /// This incarnation of the endpoint hasn't started the attempt and won't.
    Barred {
        /// The incarnation of the endpoint that answers. If the start was sent to an earlier one, the attempt may
        /// have run on that one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        incarnation: Option<Incarnation>,
    },
    /// The attempt waits for a slot or runs.
    Running,
    /// The attempt has ended.
    Ended {
        /// How it ended.
        reply: Reply,
    },
}
