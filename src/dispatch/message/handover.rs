//! The handover of a rack from its owner to the next one.

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

/// The state of a rack that its next owner needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The rack.
    pub rack: RackId,
    /// The highest fencing token that was used there.
    pub token: Token,
    /// Its batches.
    pub batches: Vec<HeldBatch>,
    /// The runs on its endpoints.
    pub runs: Vec<TransferredRun>,
}

/// A batch that the owner holds, with the progress of its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBatch {
    /// The entry that sent it.
    pub entry: Contact,
    /// The batch, with its tasks that aren't done.
    pub batch: Batch,
    /// The number of the next run of each task in `batch`, in the same order.
    pub next: Vec<Run>,
    /// The number of failed runs of each task, in the same order.
    pub failures: Vec<u32>,
    /// The suspicion against each task, in the same order.
    pub suspicions: Vec<Suspicion>,
    /// The indices of the tasks that are done.
    pub done: Vec<u32>,
    /// Whether a start of it may have reached an endpoint.
    pub started: bool,
}

/// A run on an endpoint of the rack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferredRun {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// The entry of its batch.
    pub entry: Instance,
    /// The serial number of its batch at that entry.
    pub serial: u64,
    /// Whether it's being stopped, so that the task can start again.
    pub stopping: bool,
}
