//! An endpoint's stand-in: it runs tasks that sleep, and keeps a log of what it started.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use hyper::Method;
use poplarknot::{
    endpoint::wire::{
        Load,
        Reply,
        Start,
        Status, //
    },
    prelude::*,
    table::wire::{
        State as Listed,
        Worker as Entry, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::{
    to_raw_value,
    RawValue, //
};
use tokio::{
    sync::{
        watch,
        Notify,
        Semaphore, //
    },
    task::JoinSet,
};

use super::{
    server::{
        json,
        raw,
        Request,
        Response,
        Server, //
    },
    Result,
};

/// What a task does.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// How long it sleeps, in milliseconds.
    pub sleep_ms: u64,
    /// Its name in the log.
    pub id: String,
    /// Whether it fails at its end.
    pub fail: bool,
    /// Bytes of padding in its result.
    pub bytes: usize,
}

/// The result of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// The name of the task.
    pub id: String,
    /// The worker that ran it.
    pub worker: String,
    /// The padding.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

/// A task that began to run.
#[derive(Debug, Clone)]
pub struct Started {
    /// The name of the task.
    pub id: String,
    /// The attempt.
    pub attempt: Attempt,
    /// When.
    pub at: Instant,
}

/// How the worker behaves, until it is switched back.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Fail every task at its start.
    pub fail: bool,
    /// Stretch every sleep by this factor.
    pub slow: f64,
    /// Refuse new tasks and finish what is there.
    pub leaving: bool,
    /// Tasks that wait for a slot; more are refused.
    pub queue: u32,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            fail: false,
            slow: 1.0,
            leaving: false,
            queue: 1_024,
        }
    }
}

/// Messages received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Starts.
    pub starts: u64,
    /// Looks at an attempt.
    pub looks: u64,
    /// Stops.
    pub stops: u64,
    /// Tasks that began to run.
    pub ran: u64,
}

#[derive(Clone)]
struct Task {
    end: watch::Receiver<Option<Reply>>,
    stop: Arc<Notify>,
}

impl Task {
    /// Returns the end, or none where the worker died before it.
    async fn ended(mut self) -> Option<Reply> {
        let end = self.end.wait_for(Option::is_some).await.ok()?;
        end.clone()
    }

    fn status(&self) -> Status {
        match self.end.borrow().clone() {
            Some(reply) => Status::Ended { reply },
            None => Status::Running,
        }
    }
}

#[derive(Default)]
struct State {
    /// What is known of each attempt; none stands for one that is barred.
    attempts: HashMap<Attempt, Option<Task>>,
    running: JoinSet<()>,
    load: Load,
    behaviour: Behaviour,
    started: Vec<Started>,
    counters: Counters,
}

/// Returns the load of a run that has just begun.
fn fresh() -> Load {
    Load {
        incarnation: Some(Incarnation::random(&mut rand::rng())),
        ..Load::default()
    }
}

impl State {
    fn barred(&self) -> Status {
        Status::Barred {
            incarnation: self.load.incarnation,
        }
    }

    fn refusal(&self, error: impl Into<String>) -> Reply {
        Reply::NotStarted {
            error: error.into(),
            leaving: self.behaviour.leaving,
            load: self.load,
        }
    }
}

struct Shared {
    name: Endpoint,
    slots: Semaphore,
    state: Mutex<State>,
    frozen: watch::Sender<bool>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits while the worker is frozen.
    async fn thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    async fn handle(self: Arc<Self>, request: Request) -> Response {
        self.thawed().await;
        let answer = self.clone().route(request).await;
        self.thawed().await;
        answer
    }

    async fn route(self: Arc<Self>, request: Request) -> Response {
        let parts: Vec<&str> = request.path.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["tasks"]) => match serde_json::from_slice(&request.body) {
                Ok(start) => self.start(start).await,
                Err(error) => raw(400, error.to_string()),
            },
            (&Method::GET, ["tasks", attempt]) => self.look(attempt.parse().ok()?),
            (&Method::POST, ["tasks", attempt, "stop"]) => self.stop(attempt.parse().ok()?).await,
            // Not of the endpoint's interface: an example reads the counters this way.
            (&Method::GET, ["counters"]) => json(200, &self.state().counters),
            _ => raw(404, ""),
        }
    }

    async fn start(self: Arc<Self>, start: Start) -> Response {
        let reply = match self.admit(start) {
            Ok(task) => task.ended().await?,
            Err(refusal) => refusal,
        };
        let refused = matches!(reply, Reply::NotStarted { .. });
        json(if refused { 503 } else { 200 }, &reply)
    }

    /// Takes a start, or finds what an earlier one of the same attempt has led to.
    fn admit(self: &Arc<Self>, start: Start) -> std::result::Result<Task, Reply> {
        let mut state = self.state();
        state.counters.starts += 1;
        match state.attempts.get(&start.attempt) {
            Some(Some(task)) => return Ok(task.clone()),
            Some(None) => return Err(state.refusal("barred")),
            None => {}
        }
        let idle = self.slots.available_permits() as u32;
        let full = state.load.queued >= state.behaviour.queue + idle;
        if state.behaviour.leaving || full {
            state.attempts.insert(start.attempt, None);
            return Err(state.refusal(if full { "queue is full" } else { "leaving" }));
        }
        let (end, ended) = watch::channel(None);
        let task = Task {
            end: ended,
            stop: Arc::default(),
        };
        state.attempts.insert(start.attempt, Some(task.clone()));
        state.load.queued += 1;
        let run = self.clone().run(start, end, task.stop.clone());
        state.running.spawn(run);
        Ok(task)
    }

    async fn run(
        self: Arc<Self>,
        start: Start,
        end: watch::Sender<Option<Reply>>,
        stop: Arc<Notify>,
    ) {
        let slot = tokio::select! {
            biased;
            () = stop.notified() => return self.withdraw(end),
            slot = self.slots.acquire() => slot,
        };
        self.thawed().await;
        let payload: Payload = serde_json::from_str(start.payload.get()).unwrap_or_default();
        let behaviour = self.begin(&start, &payload);
        let result = tokio::select! {
            result = work(&self.name, &payload, behaviour) => result,
            () = stop.notified() => Err("stopped".to_owned()),
            () = tokio::time::sleep(start.lease.duration()) => Err("lease ran out".to_owned()),
        };
        self.thawed().await;
        drop(slot);
        let mut state = self.state();
        state.load.running -= 1;
        let load = state.load;
        end.send_replace(Some(match result {
            Ok(result) => Reply::Done { result, load },
            Err(error) => Reply::Failed { error, load },
        }));
    }

    /// Ends an attempt that has not begun.
    fn withdraw(&self, end: watch::Sender<Option<Reply>>) {
        let mut state = self.state();
        state.load.queued -= 1;
        end.send_replace(Some(state.refusal("stopped before its start")));
    }

    fn begin(&self, start: &Start, payload: &Payload) -> Behaviour {
        let mut state = self.state();
        state.load.queued -= 1;
        state.load.running += 1;
        state.counters.ran += 1;
        state.started.push(Started {
            id: payload.id.clone(),
            attempt: start.attempt,
            at: Instant::now(),
        });
        state.behaviour
    }

    fn look(&self, attempt: Attempt) -> Response {
        let mut state = self.state();
        state.counters.looks += 1;
        let status = match state.attempts.get(&attempt) {
            None => Status::Unseen,
            Some(None) => state.barred(),
            Some(Some(task)) => task.status(),
        };
        json(200, &status)
    }

    async fn stop(&self, attempt: Attempt) -> Response {
        let known = {
            let mut state = self.state();
            state.counters.stops += 1;
            state.attempts.entry(attempt).or_insert(None).clone()
        };
        let Some(task) = known else {
            return json(200, &self.state().barred());
        };
        task.stop.notify_one();
        let reply = task.ended().await?;
        json(200, &Status::Ended { reply })
    }
}

async fn work(
    name: &Endpoint,
    payload: &Payload,
    behaviour: Behaviour,
) -> std::result::Result<Arc<RawValue>, String> {
    if behaviour.fail {
        return Err("the worker fails everything".to_owned());
    }
    let sleep = Duration::from_millis(payload.sleep_ms).mul_f64(behaviour.slow);
    tokio::time::sleep(sleep).await;
    if payload.fail {
        return Err("the task fails".to_owned());
    }
    let output = Output {
        id: payload.id.clone(),
        worker: name.to_string(),
        padding: "x".repeat(payload.bytes),
    };
    to_raw_value(&output)
        .map(Arc::from)
        .map_err(|e| e.to_string())
}

/// Describes a worker of 8 slots, 64 connections, 64 cores and 128 GiB in the pool `workers`.
///
/// # Panics
///
/// Panics when the name or the data centre is no name.
pub fn entry(name: &str, centre: &str) -> Entry {
    Entry {
        name: name.parse().expect("the name of a worker"),
        centre: centre.parse().expect("the name of a data centre"),
        rack: format!("{centre}-0"),
        address: String::new(),
        pool: "workers".parse().expect("the name of a pool"),
        slots: 8,
        connections: 64,
        resources: Hardware {
            cores: 64,
            memory_mb: 128 << 10,
            accelerators: 0,
        },
        state: Listed::Live,
    }
}

/// A running worker.
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
    entry: Entry,
}

impl Worker {
    /// Starts a worker and fills its address in.
    pub fn start(mut entry: Entry) -> Result<Self> {
        let shared = Arc::new(Shared {
            name: entry.name.clone(),
            slots: Semaphore::new(entry.slots as usize),
            state: Mutex::new(State {
                load: fresh(),
                ..State::default()
            }),
            frozen: watch::Sender::new(false),
        });
        let handler = shared.clone();
        let connections = entry.connections as usize;
        let server = Server::start(connections, move |r| handler.clone().handle(r))?;
        entry.address = server.address().to_string();
        Ok(Self {
            shared,
            server,
            entry,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the platform's list tells of it.
    pub fn entry(&self) -> Entry {
        self.entry.clone()
    }

    /// Switches its behaviour.
    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.state().behaviour);
    }

    /// Stops answering, or goes on; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Ends listener, connections and tasks.
    pub async fn kill(&self) {
        self.server.close().await;
        let mut running = std::mem::take(&mut self.shared.state().running);
        running.shutdown().await;
    }

    /// Kills it and starts it again at its address: a run that knows of no earlier attempt.
    pub async fn restart(&self) -> Result {
        self.kill().await;
        let mut state = self.shared.state();
        state.attempts.clear();
        state.load = fresh();
        Ok(self.server.open()?)
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.shared.state().counters
    }

    /// Returns the log of starts.
    pub fn started(&self) -> Vec<Started> {
        self.shared.state().started.clone()
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.shared.state().load
    }
}

/// Counts the starts of each task, by name, over all workers.
pub fn starts(workers: &[Worker]) -> HashMap<String, usize> {
    let mut starts = HashMap::new();
    for started in workers.iter().flat_map(Worker::started) {
        *starts.entry(started.id).or_default() += 1;
    }
    starts
}
