//! A worker: it runs tasks under leases, and lists what runs and what has ended.
//!
//! The text `spec` of a job tells how long a task takes and what it needs: `ms=200;cpu=1000;mem=16`.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response, Server},
    json::{self, quote, Value},
    record::Record,
    store::Store,
};

/// The longest lease (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 1_000;

/// How long a stop takes; at most `stop_ms`.
const STOP_MS: u64 = 10;

/// The interval at which a worker writes its row (`heartbeat_ms`).
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Ends in one response.
const LISTED_ENDS: usize = 500;

/// What a worker is, and says of itself.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub mem: u64,
}

/// One run of a task, as the checks see it. Times are in milliseconds of the record.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub kind: String,
    /// The label that the job asks for, by its `spec`.
    pub label: String,
    pub started: u64,
    pub ended: Option<u64>,
    pub how: String,
    /// When the end was taken note of.
    pub noted: Option<u64>,
    /// Whether the worker's lease lapsed between the end and its notice.
    pub lapsed_between: bool,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Orders that workers leave unanswered and carry out late.
#[derive(Clone)]
pub struct LateOrders(Arc<Mutex<Late>>);

impl Default for LateOrders {
    fn default() -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(Arc::new(Mutex::new(Late {
            share: 0,
            lives: HashMap::new(),
            random: now.as_nanos() as u64,
        })))
    }
}

struct Late {
    /// The share of orders, in percent.
    share: u64,
    /// The present life of each worker, by its id: a late order is carried out by the life that is there by then.
    lives: HashMap<String, Shared>,
    random: u64,
}

/// When a late order is carried out: between the first and the last of these, in milliseconds.
const LATE_MS: (u64, u64) = (2_000, 12_000);

impl LateOrders {
    /// Sets the share of orders that are carried out late, in percent.
    pub fn set_share(&self, share: u64) {
        self.0.lock().unwrap().share = share;
    }

    /// Returns after how many milliseconds an order is carried out, if it is one of the late ones.
    fn draw(&self) -> Option<u64> {
        let mut late = self.0.lock().unwrap();
        late.random = late
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let drawn = late.random >> 33;
        let delay = LATE_MS.0 + drawn / 100 % (LATE_MS.1 - LATE_MS.0);
        (drawn % 100 < late.share).then_some(delay)
    }

    fn life(&self, id: &str) -> Option<Shared> {
        self.0.lock().unwrap().lives.get(id).cloned()
    }
}

/// The runs of all workers.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

struct Running {
    run: u64,
    /// Its place in [`Runs`].
    entry: usize,
    ends_at: Instant,
    started: Instant,
    duration: Duration,
    cpu: u64,
    mem: u64,
    /// Whether it is being stopped.
    stopping: bool,
}

struct End {
    serial: u64,
    task: String,
    run: u64,
    how: &'static str,
    entry: usize,
}

struct State {
    profile: Profile,
    draining: bool,
    born: u64,
    begun: Instant,
    fence: u64,
    lease_until: Option<Instant>,
    running: BTreeMap<String, Running>,
    finished: Vec<End>,
    last_serial: u64,
    /// The highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
    dead: bool,
    reports: bool,
    sequence: u64,
}

/// A worker's process: one life.
pub struct Worker {
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Server,
    record: Record,
    runs: Runs,
    store: Store,
}

fn field(spec: &str, name: &str) -> Option<String> {
    let mut pairs = spec.split(';').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

impl Worker {
    /// Starts a worker, which writes its row at once.
    pub fn start(
        profile: Profile,
        store: &Store,
        record: &Record,
        runs: &Runs,
        late: &LateOrders,
    ) -> io::Result<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let address = profile.address;
        record.add(format!(
            "worker {} starts, kind {}",
            profile.id, profile.kind
        ));
        let state = State {
            profile,
            draining: false,
            born: born.as_millis() as u64,
            begun: Instant::now(),
            fence: 0,
            lease_until: None,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_serial: 0,
            highest: HashMap::new(),
            dead: false,
            reports: true,
            sequence: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let (handled, log, all) = (shared.clone(), record.clone(), runs.clone());
        let late = late.clone();
        let id = shared.0.lock().unwrap().profile.id.clone();
        late.0.lock().unwrap().lives.insert(id, shared.clone());
        let server = http::serve(address, move |request| {
            answer_or_delay(&handled, &log, &all, &late, request)
        })?;
        let worker = Self {
            shared,
            server,
            record: record.clone(),
            runs: runs.clone(),
            store: store.clone(),
        };
        worker.report();
        worker.spawn_clock();
        worker.spawn_reports();
        Ok(worker)
    }

    fn spawn_clock(&self) {
        let (shared, record, runs) = (self.shared.clone(), self.record.clone(), self.runs.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = shared.0.lock().unwrap();
            if state.dead {
                return;
            }
            if state.advance(&record, &runs) {
                shared.1.notify_all();
            }
        });
    }

    fn spawn_reports(&self) {
        let (shared, store) = (self.shared.clone(), self.store.clone());
        thread::spawn(move || loop {
            thread::sleep(REPORT_INTERVAL);
            if !report(&shared, &store) {
                return;
            }
        });
    }

    /// Writes its row now.
    pub fn report(&self) {
        report(&self.shared, &self.store);
    }

    /// Says that it drains: it goes on with what it has.
    pub fn drain(&self) {
        self.shared.0.lock().unwrap().draining = true;
        self.record.add(format!("worker {} drains", self.id()));
        self.report();
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().profile.id.clone()
    }

    /// Ends: what runs ends with it, and nothing answers any more. `leaves` removes its row.
    pub fn end(&self, leaves: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.dead = true;
        let id = state.profile.id.clone();
        let now = self.record.now_ms();
        let running = std::mem::take(&mut state.running);
        for (task, run) in running {
            self.record.add(format!(
                "run {task} #{} on {id} dies with its worker",
                run.run
            ));
            let mut runs = self.runs.0.lock().unwrap();
            runs[run.entry].ended = Some(now);
            runs[run.entry].how = "died".into();
        }
        drop(state);
        self.shared.1.notify_all();
        self.server.stop();
        self.record.add(format!("worker {id} ends"));
        if leaves {
            self.store.remove("servers", &id);
        }
    }
}

fn report(shared: &(Mutex<State>, Condvar), store: &Store) -> bool {
    let mut state = shared.0.lock().unwrap();
    if state.dead {
        return false;
    }
    if !state.reports {
        return true;
    }
    state.sequence += 1;
    let p = &state.profile;
    let value = format!(
        "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"1\",\"slots\":8,\"state\":\"{}\",\
         \"sequence\":{},\"born\":{},\"capacity\":{{\"cpu\":{},\"mem_mb\":{}}},\"labels\":[{},{}]}}",
        quote(&p.service),
        quote(&p.address.to_string()),
        quote(&p.zone),
        if state.draining { "draining" } else { "ready" },
        state.sequence,
        state.born,
        p.cpu,
        p.mem,
        quote(&p.kind),
        quote(&p.rack)
    );
    let id = p.id.clone();
    drop(state);
    store.set("servers", &id, &value);
    true
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Ends what is due; returns whether anything ended.
    fn advance(&mut self, record: &Record, runs: &Runs) -> bool {
        let now = Instant::now();
        let mut ended = false;
        let due = |run: &Running| run.ends_at <= now;
        let due: Vec<String> = self
            .running
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(t, _)| t.clone())
            .collect();
        for task in due {
            let how = match self.running[&task].stopping {
                true => "stopped",
                false => "done",
            };
            self.end_run(&task, how, record, runs);
            ended = true;
        }
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lease_until = None;
            let tasks: Vec<String> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end_run(&task, "lapsed", record, runs);
                ended = true;
            }
            let mut runs = runs.0.lock().unwrap();
            for end in &self.finished {
                runs[end.entry].lapsed_between = true;
            }
        }
        ended
    }

    fn end_run(&mut self, task: &str, how: &'static str, record: &Record, runs: &Runs) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.last_serial += 1;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        self.finished.push(End {
            serial: self.last_serial,
            task: task.to_owned(),
            run: run.run,
            how,
            entry: run.entry,
        });
        record.add(format!(
            "run {task} #{} on {} ends {how}",
            run.run, self.profile.id
        ));
        let mut runs = runs.0.lock().unwrap();
        runs[run.entry].ended = Some(record.now_ms());
        runs[run.entry].how = how.into();
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let left = deadline_ms.saturating_sub(self.clock_ms()).min(MAX_HOLD_MS);
        let until = Instant::now() + Duration::from_millis(left);
        self.lease_until = Some(self.lease_until.map_or(until, |lease| lease.max(until)));
    }

    fn refusal(&self, reason: &str) -> Response {
        let body = format!(
            "{{\"clock_ms\":{},\"reason\":\"{reason}\",\"born\":{}}}",
            self.clock_ms(),
            self.born
        );
        Response::Answer(409, body)
    }

    fn accepted(&self) -> Response {
        Response::Answer(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{}}}",
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn start(&mut self, body: &Value, record: &Record, runs: &Runs) -> Response {
        let (task, run, spec) = (
            body.text("task"),
            body.number("run").unwrap_or(0),
            body.text("spec"),
        );
        let deadline = body.number("deadline_ms").unwrap_or(0);
        if self
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return self.accepted();
        }
        let is_old = self
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest);
        if is_old || self.running.contains_key(&task) {
            self.extend_lease(deadline);
            return self.refusal("old");
        }
        if deadline <= self.clock_ms() {
            return self.refusal("late");
        }
        let number = |name| field(&spec, name).and_then(|text| text.parse::<u64>().ok());
        let (cpu, mem) = (number("cpu").unwrap_or(0), number("mem").unwrap_or(0));
        let used = self
            .running
            .values()
            .fold((0, 0), |sum, run| (sum.0 + run.cpu, sum.1 + run.mem));
        if used.0 + cpu > self.profile.cpu || used.1 + mem > self.profile.mem {
            self.extend_lease(deadline);
            return self.refusal("room");
        }
        self.extend_lease(deadline);
        let duration = Duration::from_millis(number("ms").unwrap_or(100));
        record.add(format!("run {task} #{run} on {} starts", self.profile.id));
        let mut runs = runs.0.lock().unwrap();
        runs.push(Run {
            task: task.clone(),
            run,
            worker: self.profile.id.clone(),
            kind: self.profile.kind.clone(),
            label: field(&spec, "label").unwrap_or_default(),
            started: record.now_ms(),
            ended: None,
            how: String::new(),
            noted: None,
            lapsed_between: false,
        });
        let running = Running {
            run,
            entry: runs.len() - 1,
            ends_at: Instant::now() + duration,
            started: Instant::now(),
            duration,
            cpu,
            mem,
            stopping: false,
        };
        self.running.insert(task, running);
        self.accepted()
    }

    fn stop(&mut self, body: &Value, record: &Record) -> Response {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        record.add(format!("stop {task} #{run} on {}", self.profile.id));
        match self.running.get_mut(&task) {
            Some(running) if running.run == run && !running.stopping => {
                running.stopping = true;
                running.ends_at = running
                    .ends_at
                    .min(Instant::now() + Duration::from_millis(STOP_MS));
            }
            Some(_) => {}
            None => {
                let highest = self.highest.entry(task).or_default();
                *highest = run.max(*highest);
            }
        }
        self.accepted()
    }

    fn note(&mut self, last_seen: u64, record: &Record, runs: &Runs) {
        let noted = self
            .finished
            .iter()
            .take_while(|end| end.serial <= last_seen)
            .count();
        let mut runs = runs.0.lock().unwrap();
        for end in self.finished.drain(..noted) {
            runs[end.entry].noted = Some(record.now_ms());
            if end.how == "done" {
                record.add(format!(
                    "end {} #{} on {} is noted",
                    end.task, end.run, self.profile.id
                ));
            }
        }
    }

    fn lists(&self) -> Response {
        let running = self.running.iter().map(|(task, run)| {
            let share = run.started.elapsed().as_millis() * 100 / run.duration.as_millis().max(1);
            format!("[{},{},\"\",{},0]", quote(task), run.run, share.min(99))
        });
        let running: Vec<String> = running.collect();
        let finished = self.finished.iter().take(LISTED_ENDS);
        let finished = finished.map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.serial,
                quote(&end.task),
                end.run,
                end.how
            )
        });
        let finished: Vec<String> = finished.collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            finished.join(",")
        );
        Response::Answer(200, body)
    }
}

/// Handles an order, or leaves it unanswered and lets the worker's life of a later time handle it.
fn answer_or_delay(
    shared: &Shared,
    record: &Record,
    runs: &Runs,
    late: &LateOrders,
    request: Request,
) -> Response {
    let Some(delay) = late.draw() else {
        return handle(shared, record, runs, &request);
    };
    let id = shared.0.lock().unwrap().profile.id.clone();
    record.add(format!(
        "{} to {id} is left unanswered, to be carried out in {delay} ms",
        request.path
    ));
    let (late, record, runs) = (late.clone(), record.clone(), runs.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(delay));
        if let Some(life) = late.life(&id) {
            record.add(format!("{} to {id} is carried out now", request.path));
            // Nobody waits for the answer.
            handle(&life, &record, &runs, &request);
        }
    });
    Response::Silence
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    record: &Record,
    runs: &Runs,
    request: &Request,
) -> Response {
    let mut state = shared.0.lock().unwrap();
    if state.dead {
        return Response::Close;
    }
    let expected = request.headers.get("x-poplarknot-expected-instance");
    if expected.is_some_and(|id| *id != state.profile.id) {
        return Response::Answer(421, "{}".into());
    }
    let Some(body) = json::parse(&request.body) else {
        return Response::Answer(400, "{}".into());
    };
    let token = body.number("fencing_token").unwrap_or(0);
    if token < state.fence {
        return state.refusal("fence");
    }
    state.fence = token;
    state.advance(record, runs);
    match request.path.as_str() {
        "/api/run-start" => state.start(&body, record, runs),
        "/api/run-stop" => state.stop(&body, record),
        "/api/hold" => {
            if let Some(deadline) = body.number("deadline_ms") {
                state.extend_lease(deadline);
            }
            state.note(body.number("last_seen").unwrap_or(0), record, runs);
            let wait = body.number("wait_ms").unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait);
            while state.finished.is_empty() && !state.dead && Instant::now() < until {
                let left = until - Instant::now();
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
            if state.dead {
                return Response::Close;
            }
            state.lists()
        }
        _ => Response::Answer(404, "{}".into()),
    }
}
