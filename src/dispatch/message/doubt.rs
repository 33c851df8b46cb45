//! Starts in doubt, as instances tell each other of them.

use serde::{
    Deserialize,
    Serialize, //
};

use super::super::id::{
    RackId,
    TaskId, //
};
use crate::prelude::*;

/// A start of a task that may still be carried out, or a run of it that may still go on, after its owner has given the task up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// The task.
    pub task: TaskId,
    /// The rack, whose owner finds out what becomes of the start.
    pub rack: RackId,
    /// The endpoint, or `None` if it may be any endpoint of the rack.
    pub endpoint: Option<Endpoint>,
    /// The time since the task was given up.
    pub age: Span,
    /// Whether the endpoint has restarted after the start was sent.
    pub restarted: bool,
}
