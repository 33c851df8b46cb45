//! A stand-in for an endpoint of the platform: runs leased tasks that sleep, and keeps a history of them.

#[path = "endpoint/transit.rs"]
mod transit;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
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
    }, //
};

use transit::Passage;
#[allow(unused_imports)] // Not used by every test.
pub(crate) use transit::{
    Holding,
    LateCall,
    Reach, //
};

use super::store::Store;
use crate::support::{
    proxy::Proxy,
    server::{
        json_response,
        Request,
        Response,
        Server, //
    }, //
};

/// The `spec` of a task that crashes its endpoint.
pub(crate) const CRASH: &str = "crash";

/// What precedes the time that a task runs, in milliseconds, in a `spec` that tells it.
pub(crate) const RUN_FOR: &str = "run for ";

/// The `spec` of a task that is shorter than others.
#[allow(dead_code)] // Not used by every test.
pub(crate) const BRIEF: &str = "run for 60";

/// The time for which an endpoint is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);

/// The time on the clock of an endpoint's first process at the start of the test, in milliseconds. Later processes start at zero.
const INITIAL_CLOCK_MS: u64 = 3_600_000;

/// The start of an endpoint's first process, in milliseconds since 1970.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

/// The paths of calls.
const START_PATH: &str = "/api/run-start";
const STOP_PATH: &str = "/api/run-stop";
const POLL_PATH: &str = "/api/hold";

/// A run of a task, with its start and end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) task: String,
    pub(crate) run: u64,
    /// When the process started that ran it.
    pub(crate) life: u64,
    /// Whether its start was carried out late.
    pub(crate) late: bool,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Option<Instant>,
    pub(crate) outcome: &'static str,
    /// When an instance let the endpoint forget its end.
    pub(crate) forgotten_at: Option<Instant>,
}

/// The time for which an owner may be unaware of a run's end and still count the run.
const END_REPORT_DELAY: Duration = Duration::from_millis(150);

/// A crash in a run of a job.
pub(crate) struct Crash {
    pub(crate) at: Instant,
    /// Whether a task of another job ran there too, as far as the owner can know.
    pub(crate) shared: bool,
}

struct ActiveRun {
    started_at: Instant,
    ends_at: Instant,
    history_index: usize,
    /// Whether it ends as failed rather than done.
    fails: bool,
    /// Whether its progress is listed, as its `spec` tells how long it runs.
    shows_progress: bool,
}

impl ActiveRun {
    fn percent(&self) -> u32 {
        let share = self.started_at.elapsed().as_secs_f64()
            / (self.ends_at - self.started_at).as_secs_f64();
        match self.shows_progress {
            true => (share * 100.0).min(99.0) as u32,
            false => 40,
        }
    }
}

#[derive(Default)]
struct State {
    /// By task and run: late starts may make several runs of one task.
    running: BTreeMap<(String, u64), ActiveRun>,
    /// Ended runs that no instance has acknowledged: serial, task, run and outcome.
    finished: Vec<(u64, String, u64, &'static str)>,
    /// The last run of each task that must not start.
    forbidden_runs: BTreeMap<String, u64>,
    history: Vec<Execution>,
    /// Tasks of orders that arrived while the endpoint was down, with the times.
    orders_while_down: Vec<(String, Instant)>,
    /// The serial of the last ended run.
    serial: u64,
    /// The time on the endpoint's clock, in milliseconds, at which unfinished runs end.
    lease: u64,
    /// The highest fencing token received.
    token: u64,
    /// When the process started, in milliseconds since 1970 and on the test's clock.
    born: u64,
    started_at: Option<Instant>,
    /// The time on its clock by then, in milliseconds.
    initial_clock: u64,
    /// The end of the downtime after a crash: until then the endpoint answers nothing, then it restarts.
    down_until: Option<Instant>,
    /// Whether it starts tasks beyond its capacity.
    ignores_capacity: bool,
    /// How long tasks run.
    task_duration: Duration,
    /// The number of tasks that fit.
    slots: usize,
    /// The number of next orders that are carried out without an answer.
    responses_to_drop: usize,
    /// Until when stop orders are neither carried out nor answered.
    stops_lost_until: Option<Instant>,
    /// Stop orders that were lost: the task, and when the order arrived.
    lost_stops: Vec<(String, Instant)>,
    /// Which of its runs fail: every one that is a multiple of this, or none if zero.
    failure_interval: usize,
    /// Whether calls reach it.
    reach: Reach,
    /// Which calls are held, if any.
    holding: Option<Holding>,
    /// The number of calls that are held.
    held_calls: usize,
    /// The calls that were carried out late.
    late_calls: Vec<LateCall>,
}

/// How a call is answered.
enum Reply {
    Now(Response),
    /// At the next end of a run, or when the wait of the poll is over.
    AfterWait,
}

/// A running endpoint; stopped when dropped.
pub(crate) struct Endpoint {
    pub(crate) id: String,
    state: Arc<Mutex<State>>,
    row: Value,
    server: Server,
}

impl Endpoint {
    pub(crate) fn start(
        id: &str,
        centre: &str,
        rack: &str,
        slots: usize,
        task_duration: Duration,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            task_duration,
            slots,
            born: FIRST_BORN_MS,
            started_at: Some(Instant::now()),
            initial_clock: INITIAL_CLOCK_MS,
            ..State::default()
        }));
        let ended = Arc::new(Notify::new());
        let (s, name) = (state.clone(), id.to_owned());
        let server = Server::start(64, move |request| {
            let (state, ended, name) = (s.clone(), ended.clone(), name.clone());
            async move { handle_request(&state, &ended, &name, request).await }
        })?;
        let address = server.address().to_string();
        let row = json!({
            "service": "cells", "address": address, "zone": centre, "version": "v1",
            "slots": slots, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": slots * 1000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", rack], "clock_ms": INITIAL_CLOCK_MS, "sequence": 1, "born": FIRST_BORN_MS,
        });
        Ok(Self {
            id: id.to_owned(),
            state,
            row,
            server,
        })
    }

    /// Makes instances connect through a proxy.
    pub(crate) fn with_proxy(mut self, proxy: &Proxy) -> Self {
        self.row["address"] = json!(proxy.address().to_string());
        self
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(crate) fn register(&self, store: &Store) {
        store.set("servers", &self.id, &self.current_row());
    }

    /// Returns its row, with the start of its current process.
    fn current_row(&self) -> Value {
        let mut row = self.row.clone();
        let state = self.state.lock().unwrap();
        (row["born"], row["clock_ms"]) = (json!(state.born), json!(state.clock()));
        row
    }

    pub(crate) fn start_draining(&self, store: &Store) {
        let mut row = self.current_row();
        row["state"] = json!("draining");
        store.set("servers", &self.id, &row);
    }

    pub(crate) fn history(&self) -> Vec<Execution> {
        let mut state = self.state.lock().unwrap();
        // Runs end by the lease also where nobody asks the endpoint any more.
        state.end_due_runs();
        state.history.clone()
    }

    #[allow(dead_code)] // Not used by every test.
    /// Makes the endpoint neither carry out nor answer stop orders for some time, as if they were lost on the way.
    pub(crate) fn lose_stops(&self, time: Duration) {
        self.state.lock().unwrap().stops_lost_until = Some(Instant::now() + time);
    }

    #[allow(dead_code)] // Not used by every test.
    /// Returns the stop orders that were lost: the task, and when the order arrived.
    pub(crate) fn lost_stops(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().lost_stops.clone()
    }

    /// Returns the crashes in runs of a job's tasks.
    pub(crate) fn crashes_of_job(&self, job: &str) -> Vec<Crash> {
        let state = self.state.lock().unwrap();
        let is_own = |task: &str| task.starts_with(job);
        let crash = |past: &Execution| {
            let at = past
                .ended_at
                .filter(|_| is_own(&past.task) && past.outcome == "crashed")?;
            let ran_beside = |other: &Execution| {
                let ended = other.ended_at.map_or(at, |until| until + END_REPORT_DELAY);
                !is_own(&other.task) && other.started_at <= at && ended >= at
            };
            let mut orders_of_others = state
                .orders_while_down
                .iter()
                .filter(|(task, _)| !is_own(task));
            let was_ordered =
                orders_of_others.any(|(_, when)| *when >= at && *when <= at + CRASH_DOWNTIME);
            let shared = was_ordered || state.history.iter().any(ran_beside);
            Some(Crash { at, shared })
        };
        state.history.iter().filter_map(crash).collect()
    }

    /// Restarts the endpoint under its name, and writes its new start time to its row.
    pub(crate) fn restart(&self, store: &Store) {
        self.start_again(Reach::Up);
        self.register(store);
    }

    /// Restarts the endpoint under its name, or starts it after [`Self::crash`]. The new process knows nothing of the former one, and
    /// its row isn't written yet.
    pub(crate) fn start_again(&self, reach: Reach) {
        let mut state = self.state.lock().unwrap();
        state.restart();
        state.reach = reach;
    }

    #[allow(dead_code)] // Not used by every test.
    /// Ends the process with all its runs. Open calls get no answer, and their connections stay open.
    pub(crate) fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.crash();
        state.reach = Reach::Down;
    }

    #[allow(dead_code)] // Not used by every test.
    /// Cuts the endpoint off, so that calls get no answer, or connects it again. Runs go on; one that is down stays so.
    pub(crate) fn set_cut(&self, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.reach = match (state.reach, cut) {
            (Reach::Down, _) => Reach::Down,
            (_, true) => Reach::Cut,
            (_, false) => Reach::Up,
        };
    }

    #[allow(dead_code)] // Not used by every test.
    pub(crate) fn reach(&self) -> Reach {
        self.state.lock().unwrap().reach
    }

    #[allow(dead_code)] // Not used by every test.
    /// Sets which of the next calls are held.
    pub(crate) fn set_holding(&self, holding: Option<Holding>) {
        self.state.lock().unwrap().holding = holding;
    }

    #[allow(dead_code)] // Not used by every test.
    /// Returns the number of calls that are held.
    pub(crate) fn count_held_calls(&self) -> usize {
        self.state.lock().unwrap().held_calls
    }

    #[allow(dead_code)] // Not used by every test.
    /// Returns the calls that were carried out late.
    pub(crate) fn late_calls(&self) -> Vec<LateCall> {
        self.state.lock().unwrap().late_calls.clone()
    }

    /// Changes the capacity in the row, and makes the endpoint accept tasks beyond it.
    pub(crate) fn set_unchecked_capacity(&mut self, store: &Store, slots: usize) {
        self.state.lock().unwrap().ignores_capacity = true;
        self.row["capacity"]["cpu"] = json!(slots * 1_000);
        self.register(store);
    }

    #[allow(dead_code)] // Not used by every test.
    /// Sets how long tasks run that are started from now on.
    pub(crate) fn set_task_duration(&self, task_duration: Duration) {
        self.state.lock().unwrap().task_duration = task_duration;
    }

    #[allow(dead_code)] // Not used by every test.
    /// Makes one in `interval` runs fail.
    pub(crate) fn set_failure_interval(&self, interval: usize) {
        self.state.lock().unwrap().failure_interval = interval;
    }

    /// Makes the endpoint carry out the next `orders` orders without answering them.
    pub(crate) fn drop_responses(&self, orders: usize) {
        self.state.lock().unwrap().responses_to_drop = orders;
    }
}

impl State {
    /// Ends all runs without reporting them.
    fn crash(&mut self) {
        self.end_due_runs();
        for run in std::mem::take(&mut self.running).into_values() {
            (
                self.history[run.history_index].ended_at,
                self.history[run.history_index].outcome,
            ) = (Some(Instant::now()), "crashed");
        }
    }

    /// Resets the state to that of a new process.
    fn restart(&mut self) {
        self.crash();
        *self = Self {
            born: self.born + 1,
            started_at: Some(Instant::now()),
            task_duration: self.task_duration,
            slots: self.slots,
            ignores_capacity: self.ignores_capacity,
            failure_interval: self.failure_interval,
            history: std::mem::take(&mut self.history),
            orders_while_down: std::mem::take(&mut self.orders_while_down),
            holding: self.holding.take(),
            held_calls: self.held_calls,
            late_calls: std::mem::take(&mut self.late_calls),
            ..Self::default()
        };
    }

    /// Returns whether the endpoint is down; restarts it if its downtime has passed.
    fn is_down(&mut self) -> bool {
        match self.down_until {
            Some(until) if until <= Instant::now() => {
                self.restart();
                false
            }
            down => down.is_some(),
        }
    }

    fn clock(&self) -> u64 {
        let uptime = self
            .started_at
            .map_or(Duration::ZERO, |start| start.elapsed());
        self.initial_clock + uptime.as_millis() as u64
    }

    /// Ends the runs that are due: at their own end, or earlier at that of the lease.
    fn end_due_runs(&mut self) {
        let now = Instant::now();
        let started_at = self.started_at.unwrap_or(now);
        let lease_end =
            started_at + Duration::from_millis(self.lease.saturating_sub(self.initial_clock));
        let due: Vec<((String, u64), Instant)> = self
            .running
            .iter()
            .map(|(key, run)| (key.clone(), run.ends_at.min(lease_end)))
            .filter(|(_, end)| *end <= now)
            .collect();
        for (key, end) in due {
            let run = &self.running[&key];
            let outcome = match (run.ends_at <= lease_end, run.fails) {
                (true, false) => "done",
                (true, true) => "failed",
                (false, _) => "lapsed",
            };
            self.end(key, outcome, end);
        }
    }

    fn end(&mut self, key: (String, u64), outcome: &'static str, at: Instant) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        let (task, number) = key;
        self.serial += 1;
        let execution = &mut self.history[run.history_index];
        (execution.ended_at, execution.outcome) = (Some(at), outcome);
        self.forbid_run(&task, number);
        let row = (self.serial, task, number, outcome);
        self.finished.push(row);
    }

    /// Records a stop order. Returns whether it's lost.
    fn loses_stop(&mut self, body: &Value) -> bool {
        let lost = self
            .stops_lost_until
            .is_some_and(|until| Instant::now() < until);
        if let (true, Some(task)) = (lost, body["task"].as_str()) {
            self.lost_stops.push((task.to_owned(), Instant::now()));
        }
        lost
    }

    /// Forgets the ends up to a serial number.
    fn forget_ends(&mut self, seen: u64) {
        let (forgotten, kept) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition(|(serial, ..)| *serial <= seen);
        self.finished = kept;
        let forgotten: Vec<(u64, String, u64, &'static str)> = forgotten;
        for (_, task, run, _) in forgotten {
            let is_run = |e: &&mut Execution| e.task == task && e.run == run;
            if let Some(execution) = self.history.iter_mut().rev().find(is_run) {
                execution.forgotten_at = Some(Instant::now());
            }
        }
    }

    fn forbid_run(&mut self, task: &str, run: u64) {
        let last_forbidden = self.forbidden_runs.entry(task.to_owned()).or_default();
        *last_forbidden = (*last_forbidden).max(run);
    }

    fn start(&mut self, body: &Value, late: bool) -> Result<(), &'static str> {
        let clock = self.clock();
        let (Some(task), Some(run), Some(lease)) = (
            body["task"].as_str(),
            body["run"].as_u64(),
            body["deadline_ms"].as_u64(),
        ) else {
            return Err("malformed");
        };
        let key = (task.to_owned(), run);
        if self.running.contains_key(&key) {
            return Ok(());
        }
        if self
            .forbidden_runs
            .get(task)
            .is_some_and(|last_forbidden| run <= *last_forbidden)
        {
            return Err("old");
        }
        if lease <= clock {
            return Err("late");
        }
        if !self.ignores_capacity && self.running.len() >= self.slots {
            return Err("room");
        }
        self.lease = self.lease.max(lease.min(clock + 1_000));
        let now = Instant::now();
        let told = body["spec"].as_str().and_then(|s| s.strip_prefix(RUN_FOR));
        let told = told.and_then(|time| time.parse().ok().map(Duration::from_millis));
        let active = ActiveRun {
            started_at: now,
            ends_at: now + told.unwrap_or(self.task_duration),
            history_index: self.history.len(),
            fails: (self.history.len() + 1).is_multiple_of(self.failure_interval),
            shows_progress: told.is_some(),
        };
        self.history.push(Execution {
            task: task.to_owned(),
            run,
            life: self.born,
            late,
            started_at: now,
            ended_at: None,
            outcome: "",
            forgotten_at: None,
        });
        self.running.insert(key, active);
        Ok(())
    }

    /// Returns whether the token of a call is high enough, and remembers it.
    fn accept_token(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let accepted = token >= self.token;
        self.token = self.token.max(token);
        accepted
    }

    /// Carries a call out whose token was accepted.
    fn carry_out(&mut self, path: &str, body: &Value, late: bool) -> Reply {
        let response = match path {
            START_PATH => self.on_start(body, late),
            STOP_PATH => self.on_stop(body),
            POLL_PATH => {
                self.on_poll(body);
                return Reply::AfterWait;
            }
            _ => json_response(404, &json!({})),
        };
        Reply::Now(response)
    }

    fn on_start(&mut self, body: &Value, late: bool) -> Response {
        let started = self.start(body, late);
        if started.is_ok() && body["spec"] == CRASH {
            self.crash();
            self.down_until = Some(Instant::now() + CRASH_DOWNTIME);
            return None;
        }
        let clock = self.clock();
        match started {
            Ok(()) => json_response(200, &json!({"clock_ms": clock})),
            Err(reason) => json_response(409, &json!({"clock_ms": clock, "reason": reason})),
        }
    }

    fn on_stop(&mut self, body: &Value) -> Response {
        let (task, run) = (body["task"].as_str()?, body["run"].as_u64()?);
        let runs = (task.to_owned(), 0)..=(task.to_owned(), run);
        let stopped: Vec<(String, u64)> =
            self.running.range(runs).map(|(k, _)| k.clone()).collect();
        for key in stopped {
            self.end(key, "stopped", Instant::now());
        }
        self.forbid_run(task, run);
        json_response(200, &json!({"clock_ms": self.clock()}))
    }

    fn on_poll(&mut self, body: &Value) {
        if let Some(lease) = body["deadline_ms"].as_u64() {
            self.lease = self.lease.max(lease.min(self.clock() + 1_000));
        }
        self.forget_ends(body["last_seen"].as_u64().unwrap_or(0));
    }

    fn lists(&self) -> Value {
        let running = self.running.iter();
        let running: Vec<Value> = running
            .map(|((task, run), active)| json!([task, run, "", active.percent()]))
            .collect();
        let finished = self.finished.iter();
        let finished: Vec<Value> = finished
            .map(|(serial, task, run, outcome)| json!([serial, task, run, outcome, ""]))
            .collect();
        json!({"clock_ms": self.clock(), "born": self.born, "running": running, "finished": finished})
    }
}

async fn handle_request(
    shared: &Arc<Mutex<State>>,
    ended: &Arc<Notify>,
    name: &str,
    request: Request,
) -> Response {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let expected = request.header("x-poplarknot-expected-instance");
    if expected.is_some_and(|expected| expected != name) {
        return json_response(421, &json!({}));
    }
    let passage = shared.lock().unwrap().pass(&request.path);
    if let Passage::Unanswered(delay) = passage {
        if let Some(delay) = delay {
            transit::hold(shared.clone(), ended.clone(), (request.path, body), delay);
        }
        // The sender closes the connection when the call times out.
        return std::future::pending().await;
    }
    if request.path == STOP_PATH && shared.lock().unwrap().loses_stop(&body) {
        return std::future::pending().await;
    }
    let (reply, life) = {
        let mut state = shared.lock().unwrap();
        if state.is_down() {
            if let Some(task) = body["task"].as_str() {
                state
                    .orders_while_down
                    .push((task.to_owned(), Instant::now()));
            }
            return None;
        }
        state.end_due_runs();
        if !state.accept_token(&body) {
            return json_response(409, &json!({"clock_ms": state.clock(), "reason": "fence"}));
        }
        let reply = state.carry_out(&request.path, &body, false);
        if matches!(reply, Reply::Now(Some(_))) && state.responses_to_drop > 0 {
            state.responses_to_drop -= 1;
            return None;
        }
        (reply, state.born)
    };
    match reply {
        Reply::Now(response) => {
            ended.notify_waiters();
            response
        }
        Reply::AfterWait => {
            let wait = body["wait_ms"].as_u64().unwrap_or(0);
            long_poll(shared, ended, life, wait).await
        }
    }
}

/// Answers a long poll at the next end of a run, or when its wait is over, if the process that got it still runs and is reachable.
async fn long_poll(state: &Mutex<State>, ended: &Notify, life: u64, wait: u64) -> Response {
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let notified = ended.notified();
        let next = {
            let mut state = state.lock().unwrap();
            if state.is_down() {
                return None;
            }
            if state.born == life && state.reach == Reach::Up {
                state.end_due_runs();
                if !state.finished.is_empty() || Instant::now() >= until {
                    return json_response(200, &state.lists());
                }
                state.running.values().map(|run| run.ends_at).min()
            } else {
                None
            }
        };
        if Instant::now() >= until {
            return std::future::pending().await;
        }
        let wake = next.map_or(until, |next| next.min(until));
        let _ = timeout(wake.saturating_duration_since(Instant::now()), notified).await;
    }
}
