//! A run on an endpoint.

use super::super::{
    id::Run,
    message::Suspicion,
    progress::Tracker,
    queue::Handle,
    task::Resources, //
};
use crate::prelude::*;

/// What a run waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The answer to its start.
    Starting,
    /// Its end.
    Running,
    /// Its stop.
    Stopping,
}

/// What becomes of the task when its run has ended otherwise than done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is started again.
    Again,
    /// Nobody wants it any more.
    Drop,
}

/// A run on the endpoint.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Its batch.
    pub batch: Handle,
    /// The run.
    pub run: Run,
    /// What it takes.
    pub need: Resources,
    /// What it waits for.
    pub phase: Phase,
    /// See [`Fate`].
    pub fate: Fate,
    /// When its start, or its stop, was answered.
    pub(super) answered: Option<Time>,
    /// How often its start was sent, or its stop.
    pub tries: u8,
    /// How it comes along.
    pub progress: Tracker,
    /// Whether an earlier start of this run may still arrive.
    pub doubt: bool,
    /// Whether its end must be stored before the endpoint forgets it.
    pub stored: bool,
    /// What is known of endpoints that crashed under its task, or may have.
    pub suspicion: Suspicion,
    /// Whether the endpoint had it, as far as can be known: it had answered just before the start left, or answered the start.
    pub(super) reached: bool,
    /// Whether it was the sole suspect, where the endpoint began anew after its start had left and hasn't listed it since.
    pub(super) crashed: Option<bool>,
    /// When its start or its stop is sent again, where that had no answer.
    pub(super) retry: Option<Time>,
}

impl Execution {
    /// Makes a run whose start is about to leave.
    pub fn new(batch: Handle, run: Run, need: Resources, estimate: Span) -> Self {
        Self {
            progress: Tracker::new(estimate),
            batch,
            run,
            need,
            phase: Phase::Starting,
            fate: Fate::Again,
            answered: None,
            tries: 1,
            doubt: false,
            stored: false,
            suspicion: Suspicion::default(),
            reached: false,
            crashed: None,
            retry: None,
        }
    }
}
