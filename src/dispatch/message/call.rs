//! Calls of a rack's owner to its endpoints: orders and replies.

use super::super::id::{
    Life,
    Run,
    TaskId,
    Token, //
};
use crate::prelude::*;

/// Identifies a call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run of a task.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// Opaque data for the task.
        spec: String,
        /// When the leases of the endpoint's runs end, on its clock, in milliseconds.
        lease: u64,
        /// The owner's fencing token.
        token: Token,
    },
    /// Stop a run, and refuse later starts of it and of all lower runs of the task.
    Stop {
        /// The task.
        task: Name,
        /// The run.
        run: Run,
        /// The owner's fencing token.
        token: Token,
    },
    /// List the runs in progress and those that have ended, and extend the leases of all runs (a long poll).
    Poll {
        /// When the leases of the endpoint's runs end, on its clock, in milliseconds; `None` doesn't renew them.
        lease: Option<u64>,
        /// The owner's fencing token.
        token: Token,
        /// The highest serial number of an end that may be forgotten.
        acknowledged: u64,
        /// How long the reply may wait for a run to end (long polling).
        wait: Span,
    },
}

impl Order {
    /// Returns its fencing token.
    pub fn token(&self) -> Token {
        match self {
            Self::Start { token, .. } | Self::Stop { token, .. } | Self::Poll { token, .. } => {
                *token
            }
        }
    }
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The order was carried out.
    Done {
        /// The endpoint's clock, in milliseconds.
        clock: u64,
    },
    /// The reply to a poll: the runs that the endpoint lists.
    Looked(Lists),
    /// The endpoint refused the order.
    Refused {
        /// The endpoint's clock, in milliseconds.
        clock: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// The endpoint did nothing because it's unhealthy.
    Unwell,
    /// A process with another name answers at the address: the endpoint has restarted or was replaced.
    Reborn,
    /// The endpoint found the order malformed, or its reply is malformed; the text says why.
    Malformed(String),
    /// No byte of the order was sent.
    Unsent,
    /// No reply came in time. The order may still be carried out.
    Silent,
}

/// The runs that an endpoint lists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lists {
    /// The endpoint's clock, in milliseconds.
    pub clock: u64,
    /// The endpoint's incarnation.
    pub life: Life,
    /// The runs in progress.
    pub running: Vec<Running>,
    /// The runs that have ended.
    pub ended: Vec<Ended>,
}

/// Why an endpoint refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run, or a higher one of the task, was started or stopped there before.
    Old,
    /// The lease in the order had already expired.
    Late,
    /// It lacks free resources.
    Full,
    /// Any other reason.
    Other,
}

/// The name of a task on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// A valid task identifier.
    Known(TaskId),
    /// Any other name, which no instance of this build can have given.
    Foreign(String),
}

impl Name {
    /// Returns the task if the name is a valid identifier.
    pub fn known(&self) -> Option<TaskId> {
        match self {
            Self::Known(task) => Some(*task),
            Self::Foreign(_) => None,
        }
    }
}

/// A run in progress on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// Its progress in percent, if the endpoint reports it.
    pub percent: Option<u8>,
}

/// A run that has ended on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The serial number of the end in the endpoint's incarnation, from one.
    pub serial: u64,
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub end: End,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Any other way.
    Other,
}
