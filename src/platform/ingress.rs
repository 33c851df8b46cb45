//! What callers send and get.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    json,
    Fault, //
};
use crate::{
    dispatch::{
        id::JobId,
        message::JobState,
        task::{
            Resources,
            Step,
            Submission, //
        }, //
    },
    prelude::*,
};

/// The header that tells how long a caller waits, in milliseconds.
pub const DEADLINE: &str = "x-poplarknot-deadline-ms";

/// Where the platform asks whether an instance takes callers.
pub const READY: &str = "/api/ready";

/// The most bytes of a job's text.
const LONGEST_SPEC: usize = 4_000;

/// The most tasks of a step, as many as there can be endpoints that run one each.
const MOST_TASKS: u32 = 100_000;

#[derive(Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: String,
    steps: Vec<StepBody>,
    /// The job may be lost and run again; its POST is answered at its end.
    #[serde(default)]
    best_effort: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    repeat_count: u64,
    #[serde(default)]
    start_at_ms: u64,
}

#[derive(Deserialize)]
#[serde(default)]
struct StepBody {
    count: u32,
    /// Thousandths of a core.
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    /// A rough estimate of one task's duration.
    estimated_ms: f64,
    after: Vec<u32>,
    required_label: Option<String>,
    /// The rack where the data lies.
    affinity: Option<String>,
    /// Of tasks of this step on one endpoint.
    max_per_server: u32,
    gang: bool,
    long_running: bool,
    fills: bool,
}

impl Default for StepBody {
    fn default() -> Self {
        Self {
            count: 1,
            cpu: 0,
            mem_mb: 0,
            gpu: 0,
            estimated_ms: 0.0,
            after: Vec::new(),
            required_label: None,
            affinity: None,
            max_per_server: 0,
            gang: false,
            long_running: false,
            fills: false,
        }
    }
}

/// Reads a job.
///
/// # Errors
///
/// Names the field that is wrong.
pub fn job(id: JobId, body: &[u8]) -> Result<Submission, Fault> {
    let body: JobBody = json(body)?;
    if body.spec.len() > LONGEST_SPEC {
        let reason = format!("has {} bytes; at most {LONGEST_SPEC}", body.spec.len());
        return Err(Fault::new("spec", reason));
    }
    if body.steps.is_empty() {
        return Err(Fault::new("steps", "there must be at least one"));
    }
    let mut steps = Vec::with_capacity(body.steps.len());
    for (index, step) in body.steps.into_iter().enumerate() {
        steps.push(read_step(index as u32, step)?);
    }
    let lasting = body.long_running.then_some("long_running");
    let timed = (body.repeat_count > 0 || body.start_at_ms > 0).then_some("repeat_count");
    Ok(Submission {
        id,
        spec: body.spec,
        steps,
        best_effort: body.best_effort,
        unsupported: lasting.or(timed).map(str::to_owned),
    })
}

fn read_step(index: u32, step: StepBody) -> Result<Step, Fault> {
    let field = |name: &str| format!("steps[{index}].{name}");
    if step.count == 0 || step.count > MOST_TASKS {
        let reason = format!("is {}; must be 1 to {MOST_TASKS}", step.count);
        return Err(Fault::new(field("count"), reason));
    }
    if let Some(later) = step.after.iter().find(|before| **before >= index) {
        let reason = format!("{later} is no earlier step");
        return Err(Fault::new(field("after"), reason));
    }
    let kinds = [
        (step.gang, "gang"),
        (step.long_running, "long_running"),
        (step.fills, "fills"),
    ];
    let unsupported = kinds.iter().find(|(asked, _)| *asked);
    Ok(Step {
        count: step.count,
        need: Resources {
            cpu: step.cpu,
            memory: step.mem_mb,
            gpu: step.gpu,
        },
        estimate: Span((step.estimated_ms.max(0.0) * 1_000.0) as u64),
        after: step.after,
        label: step.required_label.filter(|label| !label.is_empty()),
        affinity: step.affinity.filter(|rack| !rack.is_empty()),
        per_endpoint: (step.max_per_server > 0).then_some(step.max_per_server),
        unsupported: unsupported.map(|(_, name)| (*name).to_owned()),
    })
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

#[derive(Serialize)]
struct QueueBody {
    pending: u32,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Writes a job's state.
pub fn state(state: JobState) -> Vec<u8> {
    let state = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    write(&StateBody { state })
}

/// Writes the number of a queue's jobs of which nothing has started.
pub fn queue(pending: u32) -> Vec<u8> {
    write(&QueueBody { pending })
}

/// Writes why a request was not served.
pub fn error(error: &str) -> Vec<u8> {
    write(&ErrorBody { error })
}

fn write(body: &impl Serialize) -> Vec<u8> {
    // Plain structs of text and numbers always serialise.
    serde_json::to_vec(body).unwrap_or_default()
}
