//! What a rack's owner hands over to the next one.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::id::{
        RackId,
        Run,
        TaskId,
        Token, //
    },
    Batch,
    Contact,
    Suspicion, //
};
use crate::prelude::*;

/// What the next owner of a rack must know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The rack.
    pub rack: RackId,
    /// The highest token that was used there.
    pub token: Token,
    /// Its batches.
    pub batches: Vec<HeldBatch>,
    /// What runs on its endpoints.
    pub runs: Vec<TransferredRun>,
}

/// A batch at its owner, as it is handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBatch {
    /// The entry that it is from.
    pub entry: Contact,
    /// The batch, with the tasks that are not done.
    pub batch: Batch,
    /// The next run of each of its tasks.
    pub next: Vec<Run>,
    /// How often each of its tasks failed.
    pub failures: Vec<u32>,
    /// What is suspected of each of its tasks.
    pub suspicions: Vec<Suspicion>,
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Whether a start ever left.
    pub started: bool,
}

/// A run as it is handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferredRun {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its batch, by the entry and its number.
    pub entry: Instance,
    /// See above.
    pub serial: u64,
    /// Whether it is being stopped, to be started again.
    pub stopping: bool,
}
