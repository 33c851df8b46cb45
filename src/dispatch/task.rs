//! Jobs as callers submit them: steps of equal tasks, and the resources that these need.

use serde::{
    Deserialize,
    Serialize, //
};

use super::id::JobId;
use crate::prelude::*;

/// The resources that a task needs, or that an endpoint has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in mebibytes.
    pub memory: u64,
    /// The number of graphics processors.
    pub gpu: u64,
}

impl Resources {
    /// Returns whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.gpu >= need.gpu
    }

    /// Subtracts `need`; stops at zero.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpu = self.cpu.saturating_sub(need.cpu);
        self.memory = self.memory.saturating_sub(need.memory);
        self.gpu = self.gpu.saturating_sub(need.gpu);
    }

    /// Adds resources that become free.
    pub fn add(&mut self, released: &Resources) {
        self.cpu = self.cpu.saturating_add(released.cpu);
        self.memory = self.memory.saturating_add(released.memory);
        self.gpu = self.gpu.saturating_add(released.gpu);
    }

    /// Counts how many times `need` fits into these resources, at most `most`.
    pub fn count_fits(&self, need: &Resources, most: u64) -> u64 {
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
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Span,
    /// The indices of the steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// The label that the endpoint must have.
    pub label: Option<String>,
    /// The rack that holds the step's data; a task takes a multiple of its time elsewhere.
    pub affinity: Option<String>,
    /// The most tasks of the step on one endpoint; `None` is no bound.
    pub per_endpoint: Option<u32>,
    /// The reason for a refusal if the step asks for a feature that isn't supported.
    pub unsupported: Option<String>,
}

impl Step {
    /// Returns the estimated work of one task, in core-milliseconds.
    pub fn work(&self) -> u64 {
        self.need.cpu.saturating_mul(self.estimate.as_millis()) / 1_000
    }
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its identifier.
    pub id: JobId,
    /// Opaque data that endpoints are given with every task.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Whether the job isn't stored: it's answered at its end, and is lost with its instance.
    pub best_effort: bool,
    /// The reason for a refusal if the job asks for a feature that isn't supported.
    pub unsupported: Option<String>,
}

impl Submission {
    /// Returns the estimated work of all tasks, in core-milliseconds.
    pub fn total_work(&self) -> u64 {
        let steps = self.steps.iter();
        let work = steps.map(|step| step.work().saturating_mul(u64::from(step.count)));
        work.fold(0, u64::saturating_add)
    }

    /// Returns the length of the critical path: the greatest sum of task estimates along dependent steps.
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

/// A job as it is stored once it's accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job as its caller submitted it.
    pub submission: Submission,
    /// The queue that accepted it.
    pub route: String,
    /// The service whose endpoints run its tasks.
    pub service: String,
    /// The number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// The queue's priority; zero is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The time after its arrival within which its end is on time.
    pub objective: Span,
}
