//! Requests that fail on real instances, each for a different cause, with the logs of all instances.

use std::{
    path::Path,
    time::Duration, //
};

use futures::future::join_all;
use nix::sys::signal::Signal;
use poplarknot::dispatch::id::JobId;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    fleet::{
        Fleet,
        Instance,
        PREFIX, //
    },
    store::Behaviour,
    support::{
        wait_until,
        Result, //
    }, //
};

/// The duration of tasks.
const TASK_DURATION: Duration = Duration::from_millis(900);
/// The duration of tasks that must not end before the fault, also on a busy machine.
const UNFINISHED_TASK_DURATION: Duration = Duration::from_secs(60);
/// The delay between the steps of an incident: from a submission to the fault, and until the logs are written.
const STEP_DELAY: Duration = Duration::from_millis(300);
/// The delay from the fault to the caller's retry.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// The time that instances run before the first job. It exceeds the default context span, so that their start isn't context.
const WARM_UP: Duration = Duration::from_millis(5_500);
/// The number of jobs that overload the only endpoint.
const OVERLOAD_JOBS: u64 = 8;

/// The log of an instance.
pub(crate) struct Log {
    pub(crate) instance: String,
    pub(crate) text: String,
}

/// A failed request.
pub(crate) struct Incident {
    /// The status of the response to the caller, or what the caller got instead of one.
    pub(crate) response: String,
    /// The job's identifier in hexadecimal digits.
    pub(crate) job: String,
    pub(crate) logs: Vec<Log>,
}

impl Incident {
    /// Collects the logs as soon as one of them has `event` for the job.
    async fn collect(response: String, id: u64, fleet: &Fleet, event: &str) -> Result<Self> {
        let job = format!("{id:016x}");
        let (event, field) = (format!("\"{event}\""), format!("\"{job}\""));
        wait_until("the event is logged", || async {
            let logs = fleet.logs();
            let mut lines = logs.lines();
            lines
                .any(|line| line.contains(&event) && line.contains(&field))
                .then_some(())
        })
        .await
        .map_err(|e| format!("{e}\n{}", fleet.logs()))?;
        // Instances write their lines in batches, so other logs may be a little behind.
        sleep(STEP_DELAY).await;
        let log = |instance: &Instance| Log {
            instance: instance.name.clone(),
            text: instance.log(),
        };
        let logs = fleet.instances.iter().map(log).collect();
        Ok(Self {
            response,
            job,
            logs,
        })
    }
}

/// Starts a fleet, and waits until its start is no longer context of a new job.
async fn start_warm(
    program: &Path,
    instances: usize,
    endpoints: usize,
    task_duration: Duration,
) -> Result<Fleet> {
    let fleet = Fleet::start(program, instances, endpoints, task_duration).await?;
    sleep(WARM_UP).await;
    Ok(fleet)
}

/// Kills the instance that accepted a job while the tasks run on endpoints that other instances own. The caller's
/// connection breaks; the other instances stop the tasks and answer the caller's retry.
pub(crate) async fn lose_instance(program: &Path) -> Result<Incident> {
    let fleet = start_warm(program, 3, 4, UNFINISHED_TASK_DURATION).await?;
    let id = 0xa01;
    let (first, second) = tokio::join!(fleet.instances[0].submit(id, 2, 900), async {
        sleep(STEP_DELAY).await;
        fleet.instances[0].signal(Signal::SIGKILL)?;
        // Running tasks keep their duration until they are stopped; new ones get the shorter one, so that the retry succeeds.
        fleet
            .endpoints
            .iter()
            .for_each(|endpoint| endpoint.set_task_duration(TASK_DURATION));
        sleep(RETRY_DELAY).await;
        fleet.instances[1].submit(id, 2, 900).await
    });
    let response = match first {
        Ok(answer) => answer.status.to_string(),
        Err(_) => "a broken connection".to_owned(),
    };
    let response = format!("{response}, and {} on the retry", second?.status);
    Incident::collect(response, id, &fleet, "job_answered").await
}

/// Stops the only endpoint while it runs a job's tasks, so that they can't be run before the deadline.
pub(crate) async fn lose_endpoint(program: &Path) -> Result<Incident> {
    let mut fleet = start_warm(program, 1, 1, UNFINISHED_TASK_DURATION).await?;
    let id = 0xa02;
    let endpoint = fleet.endpoints.pop();
    let (answer, ()) = tokio::join!(fleet.instances[0].submit(id, 2, 900), async {
        sleep(STEP_DELAY).await;
        drop(endpoint);
    });
    let response = answer?.status.to_string();
    Incident::collect(response, id, &fleet, "job_answered").await
}

/// Submits more jobs than the endpoint can run before their deadlines; the last one is refused at once.
pub(crate) async fn overload(program: &Path) -> Result<Incident> {
    let fleet = start_warm(program, 1, 1, TASK_DURATION).await?;
    let instance = &fleet.instances[0];
    let id = 0xb00 + OVERLOAD_JOBS;
    let earlier = join_all((0..OVERLOAD_JOBS).map(|n| instance.submit(0xb00 + n, 4, 900)));
    let (_, answer) = tokio::join!(earlier, async {
        sleep(STEP_DELAY).await;
        instance.submit(id, 4, 900).await
    });
    let response = answer?.status.to_string();
    Incident::collect(response, id, &fleet, "job_refused").await
}

/// Submits two jobs of one shard that must be stored. The store answers the first, and no call for the second: whether that
/// one was stored is unknown when its deadline passes.
pub(crate) async fn lose_store(program: &Path) -> Result<Incident> {
    let fleet = start_warm(program, 2, 2, TASK_DURATION).await?;
    let id = 0xc01;
    let earlier = (1..).find(|n| JobId(*n).shard() == JobId(id).shard());
    let step = json!({"count": 2, "cpu": 1000, "mem_mb": 64, "estimated_ms": 900});
    let body = json!({"spec": "cell", "steps": [step]});
    let path = |id: u64| format!("{PREFIX}{id:016x}");
    let instance = &fleet.instances[0];
    let answer = instance.post(&path(earlier.unwrap_or(id)), &body).await?;
    if answer.status != 200 {
        return Err(format!("the first job was answered {}", answer.status).into());
    }
    fleet.store.set_behaviour(Behaviour::Ignore);
    let response = instance.post(&path(id), &body).await?.status.to_string();
    Incident::collect(response, id, &fleet, "request_unanswered").await
}
