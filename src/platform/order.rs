//! Encodes orders to endpoints, and decodes their replies.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    parse_json,
    Fault, //
};
use crate::dispatch::{
    id::{
        JobId,
        Life,
        Run,
        TaskId, //
    },
    message::{
        End,
        Ended,
        Lists,
        Name,
        Order,
        Refusal,
        Reply,
        Running, //
    }, //
};

/// The header that names the endpoint that the order is for.
pub const EXPECTED_HEADER: &str = "x-poplarknot-expected-instance";

/// The occurrence in the name of a task whose job runs once.
const OCCURRENCE: &str = "0";

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    /// When the lease ends, on the endpoint's clock: the endpoint then stops all its tasks. It isn't the task's deadline.
    deadline_ms: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    /// The endpoint deletes ended runs up to this serial, for all readers.
    last_seen: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Deserialize)]
struct ClockBody {
    #[serde(default)]
    clock_ms: u64,
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct ListsBody {
    clock_ms: u64,
    #[serde(default)]
    born: u64,
    running: Vec<RunningRow>,
    finished: Vec<FinishedRow>,
}

/// Task, run, checkpoint, percent, and any later field. The percent is informative, and ignored if it isn't a number.
#[derive(Deserialize)]
struct RunningRow(
    String,
    u32,
    Ignored,
    serde_json::Value,
    #[serde(default)] Ignored,
);

/// Serial, task, run, how the run ended, checkpoint.
#[derive(Deserialize)]
struct FinishedRow(u64, String, u32, String, Ignored);

type Ignored = serde::de::IgnoredAny;

/// Encodes an order; returns its path and body.
pub fn encode(order: &Order) -> (&'static str, Vec<u8>) {
    // Plain structs of strings and numbers can always be serialised.
    match order {
        Order::Start {
            task,
            run,
            spec,
            lease,
            token,
        } => {
            let body = StartBody {
                task: format_task(*task),
                run: run.0,
                spec,
                deadline_ms: *lease,
                fencing_token: token.0,
            };
            (
                "/api/run-start",
                serde_json::to_vec(&body).unwrap_or_default(),
            )
        }
        Order::Stop { task, run, token } => {
            let body = StopBody {
                task: format_name(task),
                run: run.0,
                fencing_token: token.0,
            };
            (
                "/api/run-stop",
                serde_json::to_vec(&body).unwrap_or_default(),
            )
        }
        Order::Poll {
            lease,
            token,
            acknowledged,
            wait,
        } => {
            let body = HoldBody {
                deadline_ms: *lease,
                fencing_token: token.0,
                last_seen: *acknowledged,
                wait_ms: wait.as_millis(),
            };
            ("/api/hold", serde_json::to_vec(&body).unwrap_or_default())
        }
    }
}

/// Decodes the reply to an order.
pub fn decode(order: &Order, status: u16, body: &[u8]) -> Reply {
    let reply = match (status, order) {
        (200, Order::Poll { .. }) => decode_lists(body),
        (200, _) => parse_json(body).map(|body: ClockBody| Reply::Done {
            clock: body.clock_ms,
        }),
        (409, _) => parse_json(body).map(|body: ClockBody| Reply::Refused {
            clock: body.clock_ms,
            refusal: parse_refusal(&body.reason),
        }),
        (421, _) => Ok(Reply::Reborn),
        (429 | 503, _) => Ok(Reply::Unwell),
        (status, _) => Err(Fault::new("status", status)),
    };
    reply.unwrap_or_else(|fault| Reply::Malformed(fault.to_string()))
}

fn decode_lists(body: &[u8]) -> Result<Reply, Fault> {
    let body: ListsBody = parse_json(body)?;
    let running = body.running.into_iter().map(|row| Running {
        task: parse_name(row.0),
        run: Run(row.1),
        percent: row
            .3
            .as_f64()
            .map(|percent| percent.clamp(0.0, 100.0) as u8),
    });
    let ended = body.finished.into_iter().map(|row| Ended {
        serial: row.0,
        task: parse_name(row.1),
        run: Run(row.2),
        end: parse_end(&row.3),
    });
    Ok(Reply::Looked(Lists {
        clock: body.clock_ms,
        life: Life(body.born),
        running: running.collect(),
        ended: ended.collect(),
    }))
}

fn parse_refusal(reason: &str) -> Refusal {
    match reason {
        "fence" => Refusal::Fenced,
        "old" => Refusal::Old,
        "late" => Refusal::Late,
        "room" => Refusal::Full,
        _ => Refusal::Other,
    }
}

fn parse_end(how: &str) -> End {
    match how {
        "done" => End::Done,
        "failed" => End::Failed,
        "stopped" => End::Stopped,
        "lapsed" => End::Lapsed,
        _ => End::Other,
    }
}

fn format_task(task: TaskId) -> String {
    format!("{}.{OCCURRENCE}.{}.{}", task.job, task.step, task.index)
}

fn format_name(task: &Name) -> String {
    match task {
        Name::Known(task) => format_task(*task),
        Name::Foreign(name) => name.clone(),
    }
}

/// Parses a task's name: job, occurrence, step and index with dots between. Any other name is foreign.
fn parse_name(name: String) -> Name {
    let mut parts = name.split('.');
    let mut next = || parts.next();
    let job = next().and_then(|part| part.parse::<JobId>().ok());
    let is_once = next() == Some(OCCURRENCE);
    let step = next().and_then(|part| part.parse().ok());
    let index = next().and_then(|part| part.parse().ok());
    match (job, step, index, next()) {
        (Some(job), Some(step), Some(index), None) if is_once => {
            Name::Known(TaskId { job, step, index })
        }
        _ => Name::Foreign(name),
    }
}
