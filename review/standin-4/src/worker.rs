//! Workers: each runs tasks under one lease, by the orders of `run-start`, `run-stop` and `hold`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, Server},
    json::{quote, Json},
    record::{Event, Record},
    store::Store,
};

/// `max_hold_ms`: the longest lease.
const MAX_HOLD_MS: u64 = 1_000;
/// The most ends in one response.
const LISTED_ENDS: usize = 500;

/// The most channels of a worker, as `max_connections` of the configuration.
pub const CHANNELS: usize = 64;

struct Running {
    run: u64,
    cpu: u64,
    memory: u64,
    started_ms: u64,
    ends_ms: u64,
    fails: bool,
}

struct Ended {
    serial: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// How many leases had lapsed by the end.
    lapses: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    lapsed: bool,
    lapses: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<Ended>,
    last_serial: u64,
    /// The highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
    /// Until when the worker fails all that it starts.
    fails_until: u64,
    /// Until when half of the orders get no answer and are carried out later.
    late_until: u64,
    dice: u64,
    /// When this life began, in ms since 1970, and on the steady clock.
    born: u64,
    begun: u64,
}

pub struct Worker {
    pub id: String,
    pub rack: String,
    pub cpu: u64,
    pub memory: u64,
    origin: Instant,
    channels: usize,
    server: Mutex<Option<Server>>,
    kind: Mutex<String>,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        id: &str,
        rack: &str,
        cpu: u64,
        channels: usize,
        record: Arc<Record>,
    ) -> (Arc<Self>, SocketAddr) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            rack: rack.to_owned(),
            cpu,
            memory: 131_072,
            origin: Instant::now(),
            channels,
            server: Mutex::default(),
            kind: Mutex::new("a".to_owned()),
            state: Mutex::new(State {
                born,
                dice: born,
                ..State::default()
            }),
            ended: Condvar::new(),
            record,
        });
        let (served, ticked) = (worker.clone(), worker.clone());
        let server = http::serve_some("127.0.0.1:0", channels, move |request| served.take(request));
        let address = server.address;
        *worker.server.lock().unwrap() = Some(server);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = ticked.state.lock().unwrap();
            ticked.advance(&mut state);
        });
        (worker, address)
    }

    /// Returns the row under `servers/ID`.
    pub fn row(&self, address: &str) -> String {
        format!(
            "{{\"service\":\"svc\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"machine\":\"m-{0}\",\"born\":{1},\
             \"capacity\":{{\"cpu\":{2},\"mem_mb\":{3},\"gpu\":0}},\"labels\":[{5},{4}]}}",
            self.id, self.state.lock().unwrap().born, self.cpu, self.memory, quote(&self.rack), quote(&self.kind.lock().unwrap())
        )
    }

    /// Lets the worker fail all that it starts in the next time.
    pub fn fail_for(&self, span: Duration) {
        let mut state = self.state.lock().unwrap();
        state.fails_until = self.clock(&state) + span.as_millis() as u64;
    }

    /// Returns the processor time in use.
    pub fn used_cpu(&self) -> u64 {
        self.state
            .lock()
            .unwrap()
            .running
            .values()
            .map(|run| run.cpu)
            .sum()
    }

    /// Returns the number of ends that it still lists.
    pub fn listed(&self) -> usize {
        self.state.lock().unwrap().ended.len()
    }

    /// Lets half of the orders in the next time get no answer and be carried out 2 to 12 s later.
    pub fn late_for(&self, span: Duration) {
        let until = self.now() + span.as_millis() as u64;
        self.state.lock().unwrap().late_until = until;
    }

    /// Sets the kind, the first label, of the worker's next life.
    pub fn change_kind(&self, kind: &str) {
        *self.kind.lock().unwrap() = kind.to_owned();
    }

    /// Crashes the worker. It is back under its id and address after a time, with nothing of before.
    pub fn crash(self: &Arc<Self>, store: &Store, down: Duration) {
        let server = self.server.lock().unwrap().take().expect("a server");
        server.stop();
        {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            for (task, run) in std::mem::take(&mut state.running) {
                self.record.add(Event::End {
                    worker: self.id.clone(),
                    task,
                    run: run.run,
                    how: "crashed",
                    serial: 0,
                });
            }
        }
        self.record.note(format!("worker {} has crashed", self.id));
        thread::sleep(down);
        {
            let mut state = self.state.lock().unwrap();
            let (born, late_until, dice) = (state.born, state.late_until, state.dice);
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64;
            *state = State {
                born: since.max(born + 1),
                begun: self.now(),
                late_until,
                dice,
                ..State::default()
            };
        }
        let served = self.clone();
        let address = server.address.to_string();
        let server = http::serve_some(&address, self.channels, move |request| served.take(request));
        *self.server.lock().unwrap() = Some(server);
        let kind = self.kind.lock().unwrap().clone();
        self.record.add(Event::Life {
            worker: self.id.clone(),
            kind,
        });
        store.set("servers", &self.id, &self.row(&address));
    }

    /// Handles an order, or loses its answer and carries it out later.
    fn take(self: &Arc<Self>, request: Request) -> Answer {
        let late = {
            let mut state = self.state.lock().unwrap();
            state.dice = state
                .dice
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (self.now() < state.late_until && state.dice >> 63 == 0)
                .then_some(2_000 + (state.dice >> 33) % 10_000)
        };
        match late {
            None => self.handle(&request),
            Some(delay) => {
                thread::sleep(Duration::from_millis(delay));
                self.handle(&request);
                None
            }
        }
    }

    fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64 + 1_000
    }

    fn clock(&self, state: &State) -> u64 {
        self.now() - state.begun
    }

    fn advance(&self, state: &mut State) {
        let now = self.clock(state);
        if now >= state.deadline && !state.lapsed {
            state.lapsed = true;
            state.lapses += 1;
            for task in state.running.keys().cloned().collect::<Vec<_>>() {
                self.end(state, &task, "lapsed");
            }
        }
        let due = state.running.iter().filter(|(_, run)| now >= run.ends_ms);
        let due: Vec<(String, bool)> = due.map(|(task, run)| (task.clone(), run.fails)).collect();
        for (task, fails) in due {
            self.end(state, &task, if fails { "failed" } else { "done" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_serial += 1;
        let serial = state.last_serial;
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.run.max(*closed);
        let lapses = state.lapses;
        state.ended.push(Ended {
            serial,
            task: task.to_owned(),
            run: run.run,
            how,
            lapses,
        });
        self.record.add(Event::End {
            worker: self.id.clone(),
            task: task.to_owned(),
            run: run.run,
            how,
            serial,
        });
        self.ended.notify_all();
    }

    fn extend(&self, state: &mut State, deadline: u64) {
        let until = deadline.min(self.clock(state) + MAX_HOLD_MS);
        if until > state.deadline && until > self.clock(state) {
            state.deadline = until;
            state.lapsed = false;
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let expected = request.header("x-poplarknot-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let (clock, born) = (self.clock(&state), state.born);
        let refuse = |reason: &str| {
            Some((
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\",\"born\":{born}}}"),
            ))
        };
        let token = body.get("fencing_token").u64();
        if token < state.fence {
            return refuse("fence");
        }
        state.fence = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").u64());
        match request.path.as_str() {
            "/api/run-start" => {
                let deadline = body.get("deadline_ms").u64();
                if deadline <= clock {
                    return refuse("late");
                }
                self.extend(&mut state, deadline);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|running| running.run == run)
                {
                    return self.done(&state);
                }
                if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
                    return refuse("old");
                }
                let spec = body.get("spec").text();
                let number = |name: &str| {
                    let words = spec.split(' ').filter_map(|word| word.split_once('='));
                    let mut found = words.filter(|(key, _)| *key == name);
                    found
                        .next()
                        .and_then(|(_, value)| value.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (cpu, memory) = (number("cpu"), number("mem"));
                let used = |f: fn(&Running) -> u64| state.running.values().map(f).sum::<u64>();
                let full =
                    used(|r| r.cpu) + cpu > self.cpu || used(|r| r.memory) + memory > self.memory;
                if full || state.running.contains_key(&task) {
                    return refuse("room");
                }
                let now = clock;
                let fails = now < state.fails_until;
                let ends_ms = now + if fails { 20 } else { number("ms") };
                state.running.insert(
                    task.clone(),
                    Running {
                        run,
                        cpu,
                        memory,
                        started_ms: now,
                        ends_ms,
                        fails,
                    },
                );
                self.record.add(Event::Start {
                    worker: self.id.clone(),
                    task,
                    run,
                    cpu,
                });
                self.done(&state)
            }
            "/api/run-stop" => {
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|running| running.run <= run)
                {
                    self.end(&mut state, &task, "stopped");
                }
                self.done(&state)
            }
            "/api/hold" => {
                let seen = body.get("last_seen").u64();
                let lapses = state.lapses;
                let (forgotten, kept) = std::mem::take(&mut state.ended)
                    .into_iter()
                    .partition(|end: &Ended| end.serial <= seen);
                state.ended = kept;
                let forgotten: Vec<Ended> = forgotten;
                for end in forgotten {
                    let lapsed = end.lapses != lapses;
                    self.record.add(Event::Noted {
                        worker: self.id.clone(),
                        task: end.task,
                        run: end.run,
                        how: end.how,
                        lapsed,
                    });
                }
                if body.has("deadline_ms") {
                    self.extend(&mut state, body.get("deadline_ms").u64());
                }
                let wait = Duration::from_millis(body.get("wait_ms").u64().min(2_000));
                let until = Instant::now() + wait;
                while state.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                Some((200, self.lists(&state)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn done(&self, state: &State) -> Answer {
        Some((
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{}}}",
                self.clock(state),
                state.born
            ),
        ))
    }

    fn lists(&self, state: &State) -> String {
        let now = self.clock(state);
        let running = state.running.iter().map(|(task, run)| {
            let whole = (run.ends_ms - run.started_ms).max(1);
            let percent = (now.saturating_sub(run.started_ms) * 100 / whole).min(99);
            format!("[{},{},\"\",{percent},{}]", quote(task), run.run, run.cpu)
        });
        let running: Vec<String> = running.collect();
        // The oldest ends first: the others follow when these are forgotten.
        let ended = state.ended.iter().take(LISTED_ENDS);
        let ended = ended.map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.serial,
                quote(&end.task),
                end.run,
                end.how
            )
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{now},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            state.born,
            running.join(","),
            ended.join(",")
        )
    }
}
