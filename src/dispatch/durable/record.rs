//! What the store keeps of a job: what was asked for, and how far it has come.

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

/// The key of the row whose version fences a shard's writers, beside keys that begin with a job's digits.
pub(super) const LOCK: &str = "lock";

/// StepProgress the key of a job's progress.
const PROGRESS: &str = ".progress";

/// Where a job stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Not all of its tasks have ended.
    #[default]
    Open,
    /// Every task ended as done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl From<State> for JobState {
    fn from(state: State) -> Self {
        match state {
            // Only who runs it knows whether some of it has started.
            State::Open => Self::Running,
            State::Completed => Self::Completed,
            State::Failed => Self::Failed,
            State::Cancelled => Self::Cancelled,
        }
    }
}

/// How far a job has come.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// Its steps.
    pub steps: Vec<StepProgress>,
}

/// The ends of a step's tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// The ends of runs that failed, by task. Each is named: an end whose endpoint hasn't forgotten it is heard again by the
    /// next coordinator, and counted twice its job would have failed too soon.
    pub failures: BTreeMap<u32, BTreeSet<RunEndId>>,
}

/// Names the end of a run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunEndId {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The life of it that listed the end.
    #[serde(default)]
    pub life: Life,
    /// Counts the ends of that life.
    pub serial: u64,
}

impl Progress {
    /// Begins with a job of which nothing has run.
    pub fn new(job: &AcceptedJob) -> Self {
        Self {
            state: State::Open,
            steps: vec![StepProgress::default(); job.submission.steps.len()],
        }
    }

    /// Takes note of the end of a run; returns whether it changed anything.
    pub fn record_end(&mut self, job: &AcceptedJob, end: &RunEnd) -> bool {
        if self.state != State::Open {
            return false;
        }
        let task = end.task;
        let wanted = job.submission.steps.get(task.step as usize);
        let (Some(wanted), Some(ends)) = (wanted, self.steps.get_mut(task.step as usize)) else {
            return false;
        };
        if task.index >= wanted.count || ends.done.contains(&task.index) {
            return false;
        }
        if end.done {
            ends.done.insert(task.index);
        } else {
            let failures = ends.failures.entry(task.index).or_default();
            let source = RunEndId {
                endpoint: end.endpoint.clone(),
                life: end.life,
                serial: end.serial,
            };
            if !failures.insert(source) {
                return false;
            }
            if failures.len() >= job.attempts as usize {
                self.state = State::Failed;
            }
        }
        let steps = job.submission.steps.iter().zip(&self.steps);
        let mut steps = steps.map(|(wanted, ends)| ends.done.len() == wanted.count as usize);
        if self.state == State::Open && steps.all(|whole| whole) {
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
    format!("{job}{PROGRESS}")
}

/// A row of a shard.
pub(super) enum Row {
    Lock,
    Record(JobId, AcceptedJob),
    Progress(JobId, Progress),
}

/// Reads a row of a shard by its key.
pub(super) fn read(key: &str, value: &[u8]) -> Result<Row, String> {
    if key == LOCK {
        return Ok(Row::Lock);
    }
    let wrong = |error: serde_json::Error| error.to_string();
    let named = |digits: &str| digits.parse::<JobId>().map_err(|error| error.to_string());
    match key.strip_suffix(PROGRESS) {
        Some(job) => {
            let progress = serde_json::from_slice(value).map_err(wrong)?;
            Ok(Row::Progress(named(job)?, progress))
        }
        None => {
            let record = serde_json::from_slice(value).map_err(wrong)?;
            Ok(Row::Record(named(key)?, record))
        }
    }
}

/// Writes the value of a row.
pub(super) fn write(value: &impl Serialize) -> Vec<u8> {
    // Plain data with text for keys always has a form in JSON.
    serde_json::to_vec(value).unwrap_or_default()
}
