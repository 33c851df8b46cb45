//! Orders to endpoints, and their answers.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    json,
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
    },
};

/// The header that names the life of the endpoint that is meant.
pub const EXPECTED: &str = "x-poplarknot-expected-instance";

/// The occurrence of a task of a job that is run once.
const ONCE: &str = "0";

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    /// Until when everything on the endpoint may run, on its clock: no deadline of the task.
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
    /// Ends up to this one are forgotten, for every reader.
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

/// Task, run, checkpoint, percent, and what else may come. The percent is a help only: one that is no number is left out.
#[derive(Deserialize)]
struct RunningRow(String, u32, Rest, serde_json::Value, #[serde(default)] Rest);

/// Number, task, run, how it ended, checkpoint.
#[derive(Deserialize)]
struct FinishedRow(u64, String, u32, String, Rest);

type Rest = serde::de::IgnoredAny;

/// Writes an order: its path and body.
pub fn write(order: &Order) -> (&'static str, Vec<u8>) {
    // Plain structs of text and numbers always serialise.
    match order {
        Order::Start {
            task,
            run,
            spec,
            lease,
            token,
        } => {
            let body = StartBody {
                task: task_name(*task),
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
                task: name(task),
                run: run.0,
                fencing_token: token.0,
            };
            (
                "/api/run-stop",
                serde_json::to_vec(&body).unwrap_or_default(),
            )
        }
        Order::Look {
            lease,
            token,
            seen,
            wait,
        } => {
            let body = HoldBody {
                deadline_ms: *lease,
                fencing_token: token.0,
                last_seen: *seen,
                wait_ms: wait.as_millis(),
            };
            ("/api/hold", serde_json::to_vec(&body).unwrap_or_default())
        }
    }
}

/// Reads the answer to an order.
pub fn read(order: &Order, status: u16, body: &[u8]) -> Reply {
    let reply = match (status, order) {
        (200, Order::Look { .. }) => lists(body),
        (200, _) => json(body).map(|body: ClockBody| Reply::Done {
            clock: body.clock_ms,
        }),
        (409, _) => json(body).map(|body: ClockBody| Reply::Refused {
            clock: body.clock_ms,
            refusal: refusal(&body.reason),
        }),
        (421, _) => Ok(Reply::Reborn),
        (429 | 503, _) => Ok(Reply::Unwell),
        (status, _) => Err(Fault::new("status", status)),
    };
    reply.unwrap_or_else(|fault| Reply::Malformed(fault.to_string()))
}

fn lists(body: &[u8]) -> Result<Reply, Fault> {
    let body: ListsBody = json(body)?;
    let running = body.running.into_iter().map(|row| Running {
        task: parse(row.0),
        run: Run(row.1),
        percent: row
            .3
            .as_f64()
            .map(|percent| percent.clamp(0.0, 100.0) as u8),
    });
    let ended = body.finished.into_iter().map(|row| Ended {
        serial: row.0,
        task: parse(row.1),
        run: Run(row.2),
        end: end(&row.3),
    });
    Ok(Reply::Looked(Lists {
        clock: body.clock_ms,
        life: Life(body.born),
        running: running.collect(),
        ended: ended.collect(),
    }))
}

fn refusal(reason: &str) -> Refusal {
    match reason {
        "fence" => Refusal::Fenced,
        "old" => Refusal::Old,
        "late" => Refusal::Late,
        "room" => Refusal::Full,
        _ => Refusal::Other,
    }
}

fn end(how: &str) -> End {
    match how {
        "done" => End::Done,
        "failed" => End::Failed,
        "stopped" => End::Stopped,
        "lapsed" => End::Lapsed,
        _ => End::Other,
    }
}

fn task_name(task: TaskId) -> String {
    format!("{}.{ONCE}.{}.{}", task.job, task.step, task.index)
}

fn name(task: &Name) -> String {
    match task {
        Name::Known(task) => task_name(*task),
        Name::Foreign(name) => name.clone(),
    }
}

/// Reads a task's name: job, occurrence, step and index with dots between.
fn parse(name: String) -> Name {
    let mut parts = name.split('.');
    let mut next = || parts.next();
    let job = next().and_then(|part| part.parse::<JobId>().ok());
    let once = next() == Some(ONCE);
    let step = next().and_then(|part| part.parse().ok());
    let index = next().and_then(|part| part.parse().ok());
    match (job, step, index, next()) {
        (Some(job), Some(step), Some(index), None) if once => {
            Name::Known(TaskId { job, step, index })
        }
        _ => Name::Foreign(name),
    }
}
