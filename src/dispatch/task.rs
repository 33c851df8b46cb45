//! What callers ask for: jobs of steps, steps of equal tasks.

use serde::{
    Deserialize,
    Serialize, //
};

use super::id::JobId;
use crate::prelude::*;

/// What a task takes of an endpoint, or what an endpoint has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Mebibytes of memory.
    pub memory: u64,
    /// Graphics processors.
    pub gpu: u64,
}

impl Resources {
    /// Tells whether `need` fits in.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.gpu >= need.gpu
    }

    /// Takes `need` out, down to nothing.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpu = self.cpu.saturating_sub(need.cpu);
        self.memory = self.memory.saturating_sub(need.memory);
        self.gpu = self.gpu.saturating_sub(need.gpu);
    }

    /// Counts how many times `need` fits in, at most `most`.
    pub fn times(&self, need: &Resources, most: u64) -> u64 {
        let times = |have: u64, want: u64| have.checked_div(want).unwrap_or(most);
        times(self.cpu, need.cpu)
            .min(times(self.memory, need.memory))
            .min(times(self.gpu, need.gpu))
            .min(most)
    }
}

/// A step of a job: equal tasks that may run side by side.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each takes.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Span,
    /// Steps before this one, by their place, all of whose tasks must be done first.
    pub after: Vec<u32>,
    /// A label that the endpoint must have.
    pub label: Option<String>,
    /// The rack where its data lies; a task takes a multiple of its time elsewhere.
    pub affinity: Option<String>,
    /// The most tasks of the step on one endpoint; none is no bound.
    pub per_endpoint: Option<u32>,
    /// What it asks for that no job of this instance can have yet.
    pub unsupported: Option<String>,
}

/// A job as it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its identifier.
    pub id: JobId,
    /// What the endpoints are given with every task, unread.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Whether it may be lost, and run again from the start: it is answered at its end.
    pub best_effort: bool,
    /// What it asks for that can't be done yet.
    pub unsupported: Option<String>,
}

impl Submission {
    /// Returns the work of all of its tasks by their estimates, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter();
        let work = steps.map(|step| {
            let each = step.need.cpu.saturating_mul(step.estimate.as_millis()) / 1_000;
            each.saturating_mul(u64::from(step.count))
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns the longest chain of estimates over the steps.
    pub fn critical_path(&self) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|s| ends.get(*s as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate.0));
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }
}

/// A job as it was accepted and stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// What its caller handed in.
    pub submission: Submission,
    /// The queue that it came by.
    pub route: String,
    /// The service whose endpoints run it.
    pub service: String,
    /// How many runs of a task may fail.
    pub attempts: u32,
    /// The queue's priority: zero goes first.
    #[serde(default)]
    pub priority: u32,
    /// How long after its arrival it is on time.
    pub objective: Span,
}
