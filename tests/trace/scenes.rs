//! Requests that fail on real instances, each for a cause of its own, with the logs that tell it.

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
        Node,
        PREFIX, //
    },
    store::Mood,
    support::{
        wait_until,
        Result, //
    },
};

/// How long tasks run.
const TASK: Duration = Duration::from_millis(900);
/// How long tasks run that are harmed before their end, however busy the machine is.
const ENDLESS: Duration = Duration::from_secs(60);
/// When the harm is done after a job has come.
const MIDDLE: Duration = Duration::from_millis(300);
/// When a caller comes again whose connection broke.
const AGAIN: Duration = Duration::from_millis(1_300);
/// How long instances run before a job comes, so that their start is no part of its story.
const CALM: Duration = Duration::from_millis(5_500);
/// The jobs that fill all slots several times over.
const CROWD: u64 = 8;

/// The log of an instance.
pub(crate) struct Log {
    pub(crate) instance: String,
    pub(crate) text: String,
}

/// A failed request.
pub(crate) struct Scene {
    /// What its caller saw.
    pub(crate) seen: String,
    pub(crate) job: String,
    pub(crate) logs: Vec<Log>,
}

impl Scene {
    /// Takes the logs, once one of them has the line that an event of the job writes.
    async fn take(seen: String, id: u64, fleet: &Fleet, event: &str) -> Result<Self> {
        let job = format!("{id:016x}");
        let (event, field) = (format!("\"{event}\""), format!("\"{job}\""));
        wait_until("the log tells it", || async {
            let logs = fleet.logs();
            let mut lines = logs.lines();
            lines
                .any(|line| line.contains(&event) && line.contains(&field))
                .then_some(())
        })
        .await
        .map_err(|e| format!("{e}\n{}", fleet.logs()))?;
        // Lines leave in batches; those of other instances may come a moment later.
        sleep(MIDDLE).await;
        let log = |node: &Node| Log {
            instance: node.name.clone(),
            text: node.log(),
        };
        let logs = fleet.nodes.iter().map(log).collect();
        Ok(Self { seen, job, logs })
    }
}

async fn calm(program: &Path, nodes: usize, runners: usize, takes: Duration) -> Result<Fleet> {
    let fleet = Fleet::start(program, nodes, runners, takes).await?;
    sleep(CALM).await;
    Ok(fleet)
}

/// The instance that took a job in is killed while its tasks run on endpoints that others own. Its caller's connection
/// breaks. The others stop what ran, and the caller comes again and has its answer.
pub(crate) async fn lost_instance(program: &Path) -> Result<Scene> {
    let fleet = calm(program, 3, 4, ENDLESS).await?;
    let id = 0xa01;
    let (first, second) = tokio::join!(fleet.nodes[0].submit(id, 2, 900), async {
        sleep(MIDDLE).await;
        fleet.nodes[0].signal(Signal::SIGKILL)?;
        // What runs goes on until it is stopped; what is started from now on ends.
        fleet.runners.iter().for_each(|runner| runner.take(TASK));
        sleep(AGAIN).await;
        fleet.nodes[1].submit(id, 2, 900).await
    });
    let seen = match first {
        Ok(answer) => answer.status.to_string(),
        Err(_) => "a broken connection".to_owned(),
    };
    let seen = format!("{seen}, and {} when it came again", second?.status);
    Scene::take(seen, id, &fleet, "job_answered").await
}

/// The only endpoint dies while it runs a job's tasks, and no other can run them in its caller's time.
pub(crate) async fn lost_endpoint(program: &Path) -> Result<Scene> {
    let mut fleet = calm(program, 1, 1, ENDLESS).await?;
    let id = 0xa02;
    let runner = fleet.runners.pop();
    let (answer, ()) = tokio::join!(fleet.nodes[0].submit(id, 2, 900), async {
        sleep(MIDDLE).await;
        drop(runner);
    });
    let seen = answer?.status.to_string();
    Scene::take(seen, id, &fleet, "job_answered").await
}

/// More jobs come than the endpoints can run in their callers' time; the last one is refused at once.
pub(crate) async fn overload(program: &Path) -> Result<Scene> {
    let fleet = calm(program, 1, 1, TASK).await?;
    let node = &fleet.nodes[0];
    let id = 0xb00 + CROWD;
    let crowd = join_all((0..CROWD).map(|n| node.submit(0xb00 + n, 4, 900)));
    let (_, answer) = tokio::join!(crowd, async {
        sleep(MIDDLE).await;
        node.submit(id, 4, 900).await
    });
    let seen = answer?.status.to_string();
    Scene::take(seen, id, &fleet, "job_refused").await
}

/// Jobs that must be stored come at an instance that coordinates their shard. The store answers the first, and leaves all calls
/// for the second unanswered: whether that one was stored is open when its caller's time is gone.
pub(crate) async fn lost_store(program: &Path) -> Result<Scene> {
    let fleet = calm(program, 2, 2, TASK).await?;
    let id = 0xc01;
    let before = (1..).find(|n| JobId(*n).shard() == JobId(id).shard());
    let step = json!({"count": 2, "cpu": 1000, "mem_mb": 64, "estimated_ms": 900});
    let body = json!({"spec": "cell", "steps": [step]});
    let path = |id: u64| format!("{PREFIX}{id:016x}");
    let node = &fleet.nodes[0];
    let answer = node.post(&path(before.unwrap_or(id)), &body).await?;
    if answer.status != 200 {
        return Err(format!("the first job was answered {}", answer.status).into());
    }
    fleet.store.mood(Mood::Silent);
    let seen = node.post(&path(id), &body).await?.status.to_string();
    Scene::take(seen, id, &fleet, "request_unanswered").await
}
