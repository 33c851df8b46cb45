//! The rows that the store keeps of a job: its record, which is the accepted request, and its progress.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::super::{
    id::{
        JobId,
        Life, //
    },
    message::{
        JobState,
        RunEnd, //
    },
    task::AcceptedJob, //
};
use crate::prelude::*;

/// The key of a shard's lock row, whose version is the fencing token for writes. All other keys start with the digits of a job.
pub(super) const LOCK_KEY: &str = "lock";

/// The suffix of the key of a job's progress.
const PROGRESS_SUFFIX: &str = ".progress";

/// The state of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Some of its tasks haven't ended.
    #[default]
    Open,
    /// All of its tasks are done.
    Completed,
    /// A task used up its attempts or crashed endpoints.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl From<State> for JobState {
    fn from(state: State) -> Self {
        match state {
            // Only the instance that runs the job knows whether a task of it has started.
            State::Open => Self::Running,
            State::Completed => Self::Completed,
            State::Failed => Self::Failed,
            State::Cancelled => Self::Cancelled,
        }
    }
}

/// The progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub state: State,
    /// The progress of each step.
    pub steps: Vec<StepProgress>,
}

/// The tasks of a step that have ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// The failed runs of each task. Their IDs are kept because endpoints report an end again to the next coordinator:
    /// counted twice, it would use up an attempt.
    pub failures: BTreeMap<u32, BTreeSet<RunEndId>>,
}

/// Identifies the end of a run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunEndId {
    /// The endpoint that ran it.
    pub endpoint: Endpoint,
    /// The life of the endpoint in which it reported the end.
    #[serde(default)]
    pub life: Life,
    /// The serial number of the end within that life.
    pub serial: u64,
}

impl Progress {
    /// Returns the progress of a job of which nothing has run.
    pub fn new(job: &AcceptedJob) -> Self {
        Self {
            state: State::Open,
            steps: vec![StepProgress::default(); job.submission.steps.len()],
        }
    }

    /// Records the end of a run and updates the state. Returns whether anything changed.
    pub fn record_end(&mut self, job: &AcceptedJob, end: &RunEnd) -> bool {
        if self.state != State::Open {
            return false;
        }
        let task = end.task;
        let step = job.submission.steps.get(task.step as usize);
        let (Some(step), Some(ends)) = (step, self.steps.get_mut(task.step as usize)) else {
            return false;
        };
        if task.index >= step.count || ends.done.contains(&task.index) {
            return false;
        }
        if end.done {
            ends.done.insert(task.index);
        } else {
            let failures = ends.failures.entry(task.index).or_default();
            let id = RunEndId {
                endpoint: end.endpoint.clone(),
                life: end.life,
                serial: end.serial,
            };
            if !failures.insert(id) {
                return false;
            }
            if failures.len() >= job.attempts as usize {
                self.state = State::Failed;
            }
        }
        let steps = job.submission.steps.iter().zip(&self.steps);
        let mut steps = steps.map(|(step, ends)| ends.done.len() == step.count as usize);
        if self.state == State::Open && steps.all(|complete| complete) {
            self.state = State::Completed;
        }
        true
    }
}

/// Returns the key of a job's record.
pub(super) fn record_key(job: JobId) -> String {
    job.to_string()
}

/// Returns the key of a job's progress.
pub(super) fn progress_key(job: JobId) -> String {
    format!("{job}{PROGRESS_SUFFIX}")
}

/// A row of a shard.
pub(super) enum Row {
    Lock,
    Record(JobId, AcceptedJob),
    Progress(JobId, Progress),
}

/// Parses a row of a shard. The key tells the kind of row.
///
/// # Errors
///
/// Returns the reason if the key or the value is malformed.
pub(super) fn parse_row(key: &str, value: &[u8]) -> Result<Row, String> {
    if key == LOCK_KEY {
        return Ok(Row::Lock);
    }
    let malformed = |error: serde_json::Error| error.to_string();
    let parse_id = |digits: &str| digits.parse::<JobId>().map_err(|error| error.to_string());
    match key.strip_suffix(PROGRESS_SUFFIX) {
        Some(job) => {
            let progress = serde_json::from_slice(value).map_err(malformed)?;
            Ok(Row::Progress(parse_id(job)?, progress))
        }
        None => {
            let record = serde_json::from_slice(value).map_err(malformed)?;
            Ok(Row::Record(parse_id(key)?, record))
        }
    }
}

/// Encodes the value of a row.
pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serialization can't fail: the data is plain, and all map keys are written as text.
    serde_json::to_vec(value).unwrap_or_default()
}
