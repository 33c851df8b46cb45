//! A stand-in for an endpoint: it runs leased tasks that sleep, and keeps a history of its runs.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response},
    json::{self, object, Value},
    store::Store,
};

/// `max_hold_ms` and `heartbeat_ms` of the settings.
const MAX_HOLD_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The most ends in a list.
const MAX_ENDS: usize = 500;

/// A run in the history of an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub endpoint: String,
    pub task: String,
    pub run: u64,
    /// The cores that it takes.
    pub cores: u64,
    pub started_at: Instant,
    /// When and how it ended.
    pub ended: Option<(Instant, &'static str)>,
}

struct Active {
    run: u64,
    cores: u64,
    started_at: Instant,
    ends_at: Instant,
    history: usize,
}

struct State {
    /// The name of this life.
    id: String,
    /// When it started, in milliseconds since 1970.
    born: u64,
    /// Until when it serves at least, if it is about to leave.
    draining: Option<Instant>,
    /// The number of its last report in this life.
    sequence: u64,
    /// Until when it is down.
    down_until: Option<Instant>,
    started_at: Instant,
    slots: usize,
    /// The time on the clock at which everything that runs is killed.
    lease: u64,
    token: u64,
    serial: u64,
    running: BTreeMap<String, Active>,
    finished: Vec<(u64, String, u64, &'static str)>,
    barred: BTreeMap<String, u64>,
    history: Vec<Run>,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Worker {
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    address: String,
    zone: String,
    rack: String,
}

impl Worker {
    /// Starts an endpoint, which writes its row to the store every heartbeat. A task sleeps for the milliseconds that its `spec`
    /// begins with, and takes as many cores as follow there, or one.
    pub fn start(store: &Store, ip: &str, id: &str, zone: &str, rack: &str, slots: usize) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for an endpoint");
        let address = listener.local_addr().expect("an address").to_string();
        let state = State {
            id: id.to_owned(),
            born: unix_millis(),
            draining: None,
            sequence: 0,
            down_until: None,
            started_at: Instant::now(),
            slots,
            lease: 0,
            token: 0,
            serial: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            barred: BTreeMap::new(),
            history: Vec::new(),
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let up = state.clone();
        let is_up = move || up.0.lock().unwrap().is_up();
        let handler = Arc::new(move |request| handle(&shared, &request));
        http::serve_while(listener, is_up, handler).expect("a listener");
        let worker = Self {
            state,
            store: store.clone(),
            address,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
        };
        let reporting = worker.clone();
        thread::spawn(move || loop {
            reporting.write_row();
            thread::sleep(HEARTBEAT);
        });
        worker
    }

    /// Writes its row to the store, unless it's down.
    fn write_row(&self) {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_up() {
            return;
        }
        state.sequence += 1;
        let capacity = vec![
            ("cpu", Value::from(state.slots as u64 * 1_000)),
            ("mem_mb", Value::from(131_072)),
            ("gpu", Value::from(0)),
        ];
        let condition = if state.draining.is_some() {
            "draining"
        } else {
            "ready"
        };
        let mut row = vec![
            ("service", "cells".into()),
            ("address", self.address.as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", Value::from(state.slots as u64)),
            ("state", condition.into()),
            ("cold_remaining_ms", Value::from(0)),
            ("sequence", state.sequence.into()),
            ("born", state.born.into()),
            ("capacity", object(capacity)),
            ("labels", vec!["a".into(), self.rack.as_str().into()].into()),
        ];
        if let Some(until) = state.draining {
            let left = until.saturating_duration_since(Instant::now());
            row.push(("remaining_ms", (left.as_millis() as u64).into()));
        }
        self.store.set("servers", &state.id, &object(row));
    }

    /// Restarts the endpoint as planned: it reports that it drains, serves on for `drain`, ends with all that it runs, and is back
    /// after `down` under its name, born later. Returns when it's back.
    pub fn restart(&self, drain: Duration, down: Duration) {
        self.state.0.lock().unwrap().draining = Some(Instant::now() + drain);
        self.write_row();
        thread::sleep(drain);
        let mut state = self.state.0.lock().unwrap();
        state.end_life("ended with its endpoint");
        state.down_until = Some(Instant::now() + down);
        state.draining = None;
        let id = state.id.clone();
        drop(state);
        self.store.remove("servers", &id);
        thread::sleep(down);
        self.state.0.lock().unwrap().born = unix_millis();
        self.write_row();
    }

    /// Returns the name of its current life.
    pub fn id(&self) -> String {
        self.state.0.lock().unwrap().id.clone()
    }

    /// Crashes the endpoint: all that it runs ends, and for some time it answers nothing. After that it has another name, runs
    /// nothing and knows nothing, at the same address. Its former row is removed three heartbeats after the crash.
    pub fn crash(&self, down: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.end_life("crashed");
        let former = state.id.clone();
        state.id = format!("{former}-2");
        state.born = unix_millis() + down.as_millis() as u64;
        state.down_until = Some(Instant::now() + down);
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            worker.write_row();
            thread::sleep((HEARTBEAT * 3).saturating_sub(down));
            worker.store.remove("servers", &former);
        });
    }

    /// Returns all runs so far.
    pub fn history(&self) -> Vec<Run> {
        let mut state = self.state.0.lock().unwrap();
        state.end_due();
        state.history.clone()
    }
}

impl Run {
    /// Returns the task and the run in words.
    pub fn describe(&self) -> String {
        let mut parts = self.task.split('.');
        let (job, step) = (
            parts.next().unwrap_or_default(),
            parts.nth(1).unwrap_or_default(),
        );
        let index = parts.next().unwrap_or_default();
        let end = self.ended.map_or("runs", |(_, how)| how);
        format!(
            "run {} of job {job}, step {step}, task {index} on {}: {end}",
            self.run, self.endpoint
        )
    }
}

impl State {
    /// Ends all that runs, and forgets everything.
    fn end_life(&mut self, how: &'static str) {
        self.end_due();
        let now = Instant::now();
        for run in std::mem::take(&mut self.running).into_values() {
            self.history[run.history].ended = Some((now, how));
        }
        self.started_at = now;
        (self.lease, self.token, self.serial, self.sequence) = (0, 0, 0, 0);
        self.finished.clear();
        self.barred.clear();
    }

    fn is_up(&mut self) -> bool {
        if self.down_until.is_some_and(|until| until <= Instant::now()) {
            self.down_until = None;
            self.started_at = Instant::now();
        }
        self.down_until.is_none()
    }

    fn clock(&self) -> u64 {
        5_000 + self.started_at.elapsed().as_millis() as u64
    }

    /// Ends the runs that are done, and all when the lease has expired.
    fn end_due(&mut self) {
        let now = Instant::now();
        let lapse = self.started_at + Duration::from_millis(self.lease.saturating_sub(5_000));
        let due = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.min(lapse) <= now);
        let mut due: Vec<(Instant, String, &'static str)> = due
            .map(|(task, run)| match run.ends_at <= lapse {
                true => (run.ends_at, task.clone(), "done"),
                false => (lapse, task.clone(), "lapsed"),
            })
            .collect();
        due.sort();
        for (at, task, how) in due {
            self.end(&task, how, at);
        }
    }

    fn end(&mut self, task: &str, how: &'static str, at: Instant) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.serial += 1;
        self.history[run.history].ended = Some((at, how));
        self.bar(task, run.run);
        self.finished
            .push((self.serial, task.to_owned(), run.run, how));
    }

    fn bar(&mut self, task: &str, run: u64) {
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = run.max(*barred);
    }

    fn extend(&mut self, deadline: u64) {
        let latest = self.clock() + MAX_HOLD_MS;
        self.lease = self.lease.max(deadline.min(latest));
    }

    fn start(&mut self, body: &Value) -> Result<(), &'static str> {
        let task = body.get("task").as_str().unwrap_or_default();
        let run = body.get("run").as_u64().unwrap_or_default();
        let deadline = body.get("deadline_ms").as_u64().unwrap_or_default();
        if self
            .running
            .get(task)
            .is_some_and(|active| active.run == run)
        {
            self.extend(deadline);
            return Ok(());
        }
        let barred = self.barred.get(task).is_some_and(|barred| run <= *barred);
        if barred || self.running.contains_key(task) {
            self.extend(deadline);
            return Err("old");
        }
        if deadline <= self.clock() {
            return Err("late");
        }
        self.extend(deadline);
        let cores = self.cores_of(body);
        let in_use: u64 = self.running.values().map(|run| run.cores).sum();
        if in_use + cores > self.slots as u64 {
            return Err("room");
        }
        let now = Instant::now();
        let spec = body.get("spec").as_str().unwrap_or_default();
        // Milliseconds for all tasks, or a list of them by step.
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse().ok())
            .unwrap_or(0);
        let list = spec.split(' ').next().unwrap_or_default();
        let work = list.split(',').nth(step).or(list.split(',').next());
        let work = work.and_then(|millis| millis.parse().ok());
        let active = Active {
            run,
            cores,
            started_at: now,
            ends_at: now + Duration::from_millis(work.unwrap_or(100)),
            history: self.history.len(),
        };
        self.history.push(Run {
            endpoint: self.id.clone(),
            task: task.to_owned(),
            run,
            cores: self.cores_of(body),
            started_at: now,
            ended: None,
        });
        self.running.insert(task.to_owned(), active);
        Ok(())
    }

    /// Returns the cores that a task takes: the second word of its `spec`, or one.
    fn cores_of(&self, body: &Value) -> u64 {
        let spec = body.get("spec").as_str().unwrap_or_default();
        spec.split(' ')
            .nth(1)
            .and_then(|cores| cores.parse().ok())
            .unwrap_or(1)
    }

    fn lists(&self) -> Value {
        let percent = |run: &Active| {
            let total = (run.ends_at - run.started_at).as_secs_f64().max(0.001);
            (run.started_at.elapsed().as_secs_f64() / total * 100.0).min(99.0) as u64
        };
        let running = self.running.iter().map(|(task, run)| {
            let row = vec![
                task.as_str().into(),
                run.run.into(),
                "".into(),
                percent(run).into(),
            ];
            Value::from([row, vec![(run.cores * 1_000).into()]].concat())
        });
        let finished = self.finished.iter().take(MAX_ENDS);
        let finished = finished.map(|(serial, task, run, how)| {
            let row = vec![
                (*serial).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
            ];
            Value::from([row, vec!["".into()]].concat())
        });
        object(vec![
            ("clock_ms", self.clock().into()),
            ("born", self.born.into()),
            ("running", running.collect::<Vec<Value>>().into()),
            ("finished", finished.collect::<Vec<Value>>().into()),
        ])
    }
}

fn handle(shared: &(Mutex<State>, Condvar), request: &Request) -> Option<Response> {
    let respond = |status: u16, body: Value| {
        let body = body.render().into_bytes();
        Some(Response { status, body })
    };
    if request.path == "/health" {
        return respond(200, object(vec![]));
    }
    let mut state = shared.0.lock().unwrap();
    if !state.is_up() {
        return None;
    }
    let expected = request.header("x-poplarknot-expected-instance");
    if expected.is_some_and(|expected| expected != state.id) {
        return respond(421, object(vec![]));
    }
    let body = json::parse(&request.body)?;
    state.end_due();
    let token = body.get("fencing_token").as_u64().unwrap_or_default();
    if token < state.token {
        let clock = Value::from(state.clock());
        return respond(
            409,
            object(vec![("clock_ms", clock), ("reason", "fence".into())]),
        );
    }
    state.token = token;
    match request.path.as_str() {
        "/api/run-start" => {
            let result = state.start(&body);
            shared.1.notify_all();
            let clock = ("clock_ms", Value::from(state.clock()));
            match result {
                Ok(()) => respond(200, object(vec![clock])),
                Err(reason) => respond(409, object(vec![clock, ("reason", reason.into())])),
            }
        }
        "/api/run-stop" => {
            let task = body.get("task").as_str().unwrap_or_default();
            let run = body.get("run").as_u64().unwrap_or_default();
            state.bar(task, run);
            if state
                .running
                .get(task)
                .is_some_and(|active| active.run == run)
            {
                state.end(task, "stopped", Instant::now());
            }
            shared.1.notify_all();
            let clock = Value::from(state.clock());
            respond(200, object(vec![("clock_ms", clock)]))
        }
        "/api/hold" => {
            let seen = body.get("last_seen").as_u64().unwrap_or_default();
            state.finished.retain(|(serial, ..)| *serial > seen);
            if let Some(deadline) = body.get("deadline_ms").as_u64() {
                state.extend(deadline);
            }
            let wait = body.get("wait_ms").as_u64().unwrap_or_default();
            let end = Instant::now() + Duration::from_millis(wait);
            loop {
                if !state.is_up() {
                    return None;
                }
                state.end_due();
                let left = end.saturating_duration_since(Instant::now());
                if !state.finished.is_empty() || left.is_zero() {
                    return respond(200, state.lists());
                }
                let next = state.running.values().map(|run| run.ends_at).min();
                let next = next.map_or(left, |at| at.saturating_duration_since(Instant::now()));
                let pause = next.min(left).max(Duration::from_millis(1));
                state = shared.1.wait_timeout(state, pause).unwrap().0;
            }
        }
        _ => respond(404, object(vec![])),
    }
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}
