//! A stand-in for an endpoint of the platform: it runs leased tasks that sleep, and keeps a history of them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::Notify,
    time::{
        timeout,
        Instant, //
    },
};

use super::store::Store;
use crate::support::{
    proxy::Proxy,
    server::{
        json_response as answer,
        Request,
        Response,
        Server, //
    }, //
};

/// What a task is told that crashes its endpoint.
pub(crate) const CRASH: &str = "crash";

/// How long an endpoint is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);

/// What an endpoint's clock shows at its start, in milliseconds.
const CLOCK: u64 = 5_000;

/// When the first life of each endpoint began, in milliseconds since 1970.
const BORN: u64 = 1_700_000_000_000;

/// A run, as it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Past {
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
    pub(crate) how: &'static str,
}

/// How long after a run's end its owner may not have heard of it, so that it counts as running still.
const END_HEARD: Duration = Duration::from_millis(150);

/// A crash under a job's task.
pub(crate) struct Crash {
    pub(crate) at: Instant,
    /// Whether another job's task ran there, as far as its owner can know.
    pub(crate) shared: bool,
}

struct Active {
    run: u64,
    ends: Instant,
    place: usize,
}

#[derive(Default)]
struct State {
    running: HashMap<String, Active>,
    finished: Vec<(u64, String, u64, &'static str)>,
    barred: BTreeMap<String, u64>,
    history: Vec<Past>,
    /// Tasks that it was asked for while it was down, and when.
    missed: Vec<(String, Instant)>,
    serial: u64,
    lease: u64,
    token: u64,
    /// One life of it, in milliseconds since 1970, and when that began.
    born: u64,
    begun: Option<Instant>,
    /// Until when it is down: it answers nothing, and begins anew then.
    down: Option<Instant>,
    /// Whether it starts what doesn't fit.
    unguarded: bool,
    /// How long tasks run.
    takes: Duration,
    /// How many tasks fit.
    slots: usize,
    /// Orders that are left without an answer, after they were carried out.
    mute: usize,
}

/// An endpoint.
pub(crate) struct Runner {
    pub(crate) id: String,
    state: Arc<Mutex<State>>,
    row: Value,
    server: Server,
}

impl Runner {
    pub(crate) fn start(
        id: &str,
        centre: &str,
        rack: &str,
        slots: usize,
        takes: Duration,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            takes,
            slots,
            born: BORN,
            begun: Some(Instant::now()),
            ..State::default()
        }));
        let ended = Arc::new(Notify::new());
        let (s, name) = (state.clone(), id.to_owned());
        let server = Server::start(64, move |request| {
            let (state, ended, name) = (s.clone(), ended.clone(), name.clone());
            async move { serve(&state, &ended, &name, request).await }
        })?;
        let address = server.address().to_string();
        let row = json!({
            "service": "cells", "address": address, "zone": centre, "version": "v1",
            "slots": slots, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": slots * 1000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", rack], "clock_ms": 5000, "sequence": 1, "born": BORN,
        });
        Ok(Self {
            id: id.to_owned(),
            state,
            row,
            server,
        })
    }

    /// Lets instances reach it through a proxy.
    pub(crate) fn behind(mut self, proxy: &Proxy) -> Self {
        self.row["address"] = json!(proxy.address().to_string());
        self
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(crate) fn enlist(&self, store: &Store) {
        store.set("servers", &self.id, &self.row);
    }

    pub(crate) fn leave(&self, store: &Store) {
        let mut row = self.row.clone();
        row["state"] = json!("draining");
        store.set("servers", &self.id, &row);
    }

    pub(crate) fn history(&self) -> Vec<Past> {
        self.state.lock().unwrap().history.clone()
    }

    /// Finds its crashes under a job's tasks.
    pub(crate) fn crashes_of(&self, job: &str) -> Vec<Crash> {
        let state = self.state.lock().unwrap();
        let own = |task: &str| task.starts_with(job);
        let crash = |past: &Past| {
            let at = past
                .until
                .filter(|_| own(&past.task) && past.how == "crashed")?;
            let beside = |other: &Past| {
                let ended = other.until.map_or(at, |until| until + END_HEARD);
                !own(&other.task) && other.from <= at && ended >= at
            };
            let mut missed = state.missed.iter().filter(|(task, _)| !own(task));
            let asked = missed.any(|(_, when)| *when >= at && *when <= at + DOWN);
            let shared = asked || state.history.iter().any(beside);
            Some(Crash { at, shared })
        };
        state.history.iter().filter_map(crash).collect()
    }

    /// Begins anew under its name, and says so in its row.
    pub(crate) fn begin_anew(&mut self, store: &Store) {
        let mut state = self.state.lock().unwrap();
        state.begin_anew();
        self.row["born"] = json!(state.born);
        drop(state);
        self.enlist(store);
    }

    /// Changes what it has, and doesn't guard it any more.
    pub(crate) fn resize(&mut self, store: &Store, slots: usize) {
        self.state.lock().unwrap().unguarded = true;
        self.row["capacity"]["cpu"] = json!(slots * 1_000);
        self.enlist(store);
    }

    #[allow(dead_code)] // Only some tests change it.
    /// Changes how long tasks run that are started from now on.
    pub(crate) fn take(&self, takes: Duration) {
        self.state.lock().unwrap().takes = takes;
    }

    /// Leaves the next orders without an answer, after they were carried out.
    pub(crate) fn mute(&self, orders: usize) {
        self.state.lock().unwrap().mute = orders;
    }
}

impl State {
    /// Ends what runs without a word.
    fn crash(&mut self) {
        for run in std::mem::take(&mut self.running).into_values() {
            (self.history[run.place].until, self.history[run.place].how) =
                (Some(Instant::now()), "crashed");
        }
    }

    /// Forgets everything, as a process that starts again.
    fn begin_anew(&mut self) {
        self.crash();
        *self = Self {
            born: self.born + 1,
            begun: Some(Instant::now()),
            takes: self.takes,
            slots: self.slots,
            unguarded: self.unguarded,
            history: std::mem::take(&mut self.history),
            missed: std::mem::take(&mut self.missed),
            ..Self::default()
        };
    }

    /// Tells whether it is down; one whose time has come begins anew.
    fn is_down(&mut self) -> bool {
        match self.down {
            Some(until) if until <= Instant::now() => {
                self.begin_anew();
                false
            }
            down => down.is_some(),
        }
    }

    fn clock(&self) -> u64 {
        let begun = self.begun.map_or(Duration::ZERO, |begun| begun.elapsed());
        CLOCK + begun.as_millis() as u64
    }

    /// Ends what has ended since the last call: at its own time, or when its lease passed before that.
    fn pass(&mut self) {
        let now = Instant::now();
        let begun = self.begun.unwrap_or(now);
        let lapse = begun + Duration::from_millis(self.lease.saturating_sub(CLOCK));
        let over: Vec<(String, Instant)> = self
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.ends.min(lapse)))
            .filter(|(_, end)| *end <= now)
            .collect();
        for (task, end) in over {
            let done = self.running[&task].ends <= lapse;
            self.end(&task, if done { "done" } else { "lapsed" }, end);
        }
    }

    fn end(&mut self, task: &str, how: &'static str, at: Instant) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.serial += 1;
        let past = &mut self.history[run.place];
        (past.until, past.how) = (Some(at), how);
        self.bar(task, run.run);
        let row = (self.serial, task.to_owned(), run.run, how);
        self.finished.push(row);
    }

    fn bar(&mut self, task: &str, run: u64) {
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run);
    }

    fn start(&mut self, body: &Value) -> Result<(), &'static str> {
        let clock = self.clock();
        let (Some(task), Some(run), Some(lease)) = (
            body["task"].as_str(),
            body["run"].as_u64(),
            body["deadline_ms"].as_u64(),
        ) else {
            return Err("malformed");
        };
        if self.running.get(task).is_some_and(|known| known.run == run) {
            return Ok(());
        }
        if self.barred.get(task).is_some_and(|barred| run <= *barred) {
            return Err("old");
        }
        if lease <= clock {
            return Err("late");
        }
        if !self.unguarded && self.running.len() >= self.slots {
            return Err("room");
        }
        self.lease = self.lease.max(lease.min(clock + 1_000));
        let now = Instant::now();
        let active = Active {
            run,
            ends: now + self.takes,
            place: self.history.len(),
        };
        self.history.push(Past {
            task: task.to_owned(),
            run,
            from: now,
            until: None,
            how: "",
        });
        self.running.insert(task.to_owned(), active);
        Ok(())
    }

    fn lists(&self) -> Value {
        let running = self.running.iter();
        let running: Vec<Value> = running.map(|(t, r)| json!([t, r.run, "", 40])).collect();
        let finished = self.finished.iter();
        let finished: Vec<Value> = finished
            .map(|(n, task, run, how)| json!([n, task, run, how, ""]))
            .collect();
        json!({"clock_ms": self.clock(), "born": self.born, "running": running, "finished": finished})
    }
}

async fn serve(state: &Mutex<State>, ended: &Notify, name: &str, request: Request) -> Response {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let expected = request.header("x-poplarknot-expected-instance");
    if expected.is_some_and(|expected| expected != name) {
        return answer(421, &json!({}));
    }
    let response = {
        let mut state = state.lock().unwrap();
        if state.is_down() {
            if let Some(task) = body["task"].as_str() {
                state.missed.push((task.to_owned(), Instant::now()));
            }
            return None;
        }
        state.pass();
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < state.token {
            return answer(409, &json!({"clock_ms": state.clock(), "reason": "fence"}));
        }
        state.token = token;
        let response = match request.path.as_str() {
            "/api/run-start" => {
                let started = state.start(&body);
                if started.is_ok() && body["spec"] == CRASH {
                    state.crash();
                    state.down = Some(Instant::now() + DOWN);
                    return None;
                }
                let clock = state.clock();
                Some(match started {
                    Ok(()) => answer(200, &json!({"clock_ms": clock})),
                    Err(reason) => answer(409, &json!({"clock_ms": clock, "reason": reason})),
                })
            }
            "/api/run-stop" => {
                let (task, run) = (body["task"].as_str()?, body["run"].as_u64()?);
                if state
                    .running
                    .get(task)
                    .is_some_and(|known| known.run <= run)
                {
                    state.end(task, "stopped", Instant::now());
                    ended.notify_waiters();
                }
                state.bar(task, run);
                Some(answer(200, &json!({"clock_ms": state.clock()})))
            }
            "/api/hold" => {
                if let Some(lease) = body["deadline_ms"].as_u64() {
                    state.lease = state.lease.max(lease.min(state.clock() + 1_000));
                }
                let seen = body["last_seen"].as_u64().unwrap_or(0);
                state.finished.retain(|(n, ..)| *n > seen);
                None
            }
            _ => return answer(404, &json!({})),
        };
        if response.is_some() && state.mute > 0 {
            state.mute -= 1;
            return None;
        }
        response
    };
    match response {
        Some(response) => response,
        None => hold(state, ended, body["wait_ms"].as_u64().unwrap_or(0)).await,
    }
}

/// Answers a look at the next end, or when its wait is over.
async fn hold(state: &Mutex<State>, ended: &Notify, wait: u64) -> Response {
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let notified = ended.notified();
        let next = {
            let mut state = state.lock().unwrap();
            if state.is_down() {
                return None;
            }
            state.pass();
            if !state.finished.is_empty() || Instant::now() >= until {
                return answer(200, &state.lists());
            }
            state.running.values().map(|run| run.ends).min()
        };
        let wake = next.map_or(until, |next| next.min(until));
        let _ = timeout(wake.saturating_duration_since(Instant::now()), notified).await;
    }
}
