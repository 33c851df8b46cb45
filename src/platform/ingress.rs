//! The HTTP interface to callers: headers, paths and bodies.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    parse_json,
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
    prelude::*, //
};

/// The header with the time for which a caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-poplarknot-deadline-ms";

/// The path at which the platform checks readiness.
pub const READY_PATH: &str = "/api/ready";

/// The most bytes of a job's `spec`.
const MAX_SPEC_BYTES: usize = 4_000;

/// The most tasks of a step: as many as there can be endpoints, with one task each.
const MAX_TASKS_PER_STEP: u32 = 100_000;

#[derive(Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: String,
    steps: Vec<StepBody>,
    /// The job isn't stored: it may be lost and run again, and its POST is answered when it ends.
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
    /// In thousandths of a core.
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    /// A rough estimate of the duration of one task.
    estimated_ms: f64,
    after: Vec<u32>,
    required_label: Option<String>,
    /// The rack that holds the data.
    affinity: Option<String>,
    /// The most tasks of this step on one endpoint, or zero for no limit.
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

/// Parses a job.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse_job(id: JobId, body: &[u8]) -> Result<Submission, Fault> {
    let body: JobBody = parse_json(body)?;
    if body.spec.len() > MAX_SPEC_BYTES {
        let reason = format!("has {} bytes; at most {MAX_SPEC_BYTES}", body.spec.len());
        return Err(Fault::new("spec", reason));
    }
    if body.steps.is_empty() {
        return Err(Fault::new("steps", "must have at least one step"));
    }
    let mut steps = Vec::with_capacity(body.steps.len());
    for (index, step) in body.steps.into_iter().enumerate() {
        steps.push(parse_step(index as u32, step)?);
    }
    let long_running = body.long_running.then_some("long_running");
    let repeated = (body.repeat_count > 0 || body.start_at_ms > 0).then_some("repeat_count");
    Ok(Submission {
        id,
        spec: body.spec,
        steps,
        best_effort: body.best_effort,
        unsupported: long_running.or(repeated).map(str::to_owned),
    })
}

fn parse_step(index: u32, step: StepBody) -> Result<Step, Fault> {
    let field = |name: &str| format!("steps[{index}].{name}");
    if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
        let reason = format!("is {}; must be 1 to {MAX_TASKS_PER_STEP}", step.count);
        return Err(Fault::new(field("count"), reason));
    }
    if let Some(later) = step.after.iter().find(|before| **before >= index) {
        let reason = format!("{later} is not an earlier step");
        return Err(Fault::new(field("after"), reason));
    }
    let unsupported_kinds = [
        (step.gang, "gang"),
        (step.long_running, "long_running"),
        (step.fills, "fills"),
    ];
    let unsupported = unsupported_kinds.iter().find(|(asked, _)| *asked);
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

/// Encodes a job's state.
pub fn encode_state(state: JobState) -> Vec<u8> {
    let state = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    encode(&StateBody { state })
}

/// Encodes the number of a queue's jobs of which no task has started.
pub fn encode_pending_count(pending: u32) -> Vec<u8> {
    encode(&QueueBody { pending })
}

/// Encodes why a request was not served.
pub fn encode_error(error: &str) -> Vec<u8> {
    encode(&ErrorBody { error })
}

fn encode(body: &impl Serialize) -> Vec<u8> {
    // Plain structs of strings and numbers can always be serialised.
    serde_json::to_vec(body).unwrap_or_default()
}
