//! What an owner calls an endpoint for, and what it answers.

use super::super::id::{
    Life,
    Run,
    TaskId,
    Token, //
};
use crate::prelude::*;

/// A call to an endpoint that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What an endpoint is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run of a task.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// What the task is told.
        spec: String,
        /// Until when the endpoint's runs may go on, on its clock, in milliseconds.
        lease: u64,
        /// The owner's token.
        token: Token,
    },
    /// Stop a run, and bar it and all lower ones.
    Stop {
        /// The task.
        task: Name,
        /// The run.
        run: Run,
        /// The owner's token.
        token: Token,
    },
    /// Tell what runs and what has ended.
    Look {
        /// Until when the endpoint's runs may go on, on its clock; none leaves their leases alone.
        lease: Option<u64>,
        /// The owner's token.
        token: Token,
        /// Ends up to this one are known and can be forgotten.
        seen: u64,
        /// How long to wait for an end.
        wait: Span,
    },
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// It did what it was told. The clock is the endpoint's, in milliseconds.
    Done {
        /// Its clock.
        clock: u64,
    },
    /// What runs and what has ended.
    Looked(Lists),
    /// It refused.
    Refused {
        /// Its clock.
        clock: u64,
        /// Why.
        refusal: Refusal,
    },
    /// It did nothing, since it is unwell.
    Unwell,
    /// The life that was meant has ended.
    Reborn,
    /// It found the call malformed, or its answer is.
    Malformed(String),
    /// No byte of the call left.
    Unsent,
    /// No answer came. The call may be carried out, now or later.
    Silent,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lists {
    /// Its clock.
    pub clock: u64,
    /// The life that says so.
    pub life: Life,
    /// What runs there.
    pub running: Vec<Running>,
    /// What has ended.
    pub ended: Vec<Ended>,
}

/// Why an endpoint refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fenced,
    /// The run, or a higher one, has been there or was barred.
    Old,
    /// The lease that the order carried had passed.
    Late,
    /// It has no room.
    Full,
    /// Something else.
    Other,
}

/// A task as an endpoint names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// One that an instance of this build can have started.
    Known(TaskId),
    /// Any other.
    Foreign(String),
}

/// A run on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// How much of its work is done, in hundredths, where the endpoint says so.
    pub percent: Option<u8>,
}

/// A run that has ended on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Counts the ends of one life of the endpoint, from one.
    pub serial: u64,
    /// The task.
    pub task: Name,
    /// The run.
    pub run: Run,
    /// How.
    pub end: End,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// To its end.
    Done,
    /// By its own fault or the endpoint's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease passed.
    Lapsed,
    /// Something else.
    Other,
}
