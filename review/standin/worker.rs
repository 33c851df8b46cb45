//! Workers: they run tasks that sleep, under leases and fencing numbers, and note what a check needs.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Lost, Reply, Request},
    json::{quote, Json},
    record::{show_task, Record},
    store::Store,
};

/// The longest lease, and the time that a stop takes.
const MAX_HOLD_MS: u64 = 1_000;
const STOP_MS: u64 = 20;
/// The most ends in one answer.
const MAX_ENDS: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A run that a worker began.
#[derive(Clone)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began: u64,
    /// How and when it ended.
    pub end: Option<(u64, &'static str)>,
    /// When its end was taken note of, if no lease lapsed in between.
    pub noted: Option<u64>,
}

/// A kind of worker.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Active {
    index: usize,
    run: u64,
    cpu: u64,
    mem_mb: u64,
    ends: u64,
    work: u64,
    stopping: bool,
}

/// One life of a worker's process.
#[derive(Clone, Copy, PartialEq)]
struct Life {
    /// The Unix millisecond of its start.
    born: u128,
    /// The time of the record at which its clock is zero.
    began: u64,
    /// When it started. Connections that were opened before belong to a former life.
    started: Instant,
}

impl Life {
    fn start(record: &Record) -> Self {
        let since = SystemTime::UNIX_EPOCH.elapsed();
        Self {
            born: since.map_or(0, |since| since.as_millis()),
            began: record.now(),
            started: Instant::now(),
        }
    }
}

struct State {
    /// The present life; `None` while the worker is down.
    life: Option<Life>,
    /// Whether it is cut off: it runs on, but nothing reaches it.
    cut: bool,
    fence: u64,
    lease: u64,
    /// The number of times that a lease has lapsed.
    lapses: u64,
    lapsed: bool,
    active: BTreeMap<String, Active>,
    /// The highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    /// Ends that are still listed: number, run, and the lapses before it.
    ends: BTreeMap<u64, (usize, u64)>,
    last_end: u64,
    runs: Vec<Run>,
}

impl State {
    /// Returns the state of a worker that knows nothing but the runs of former lives, for the record.
    fn new(life: Option<Life>, runs: Vec<Run>) -> Self {
        Self {
            life,
            cut: false,
            fence: 0,
            lease: 0,
            lapses: 0,
            lapsed: false,
            active: BTreeMap::new(),
            barred: HashMap::new(),
            ends: BTreeMap::new(),
            last_end: 0,
            runs,
        }
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    kind: Kind,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    /// Gives the room and the work in milliseconds of a task, by the job's id, the step and the index.
    plan: Plan,
}

/// What a task needs: thousandths of a core, megabytes and milliseconds.
pub type Plan = Arc<dyn Fn(&str) -> Option<(u64, u64, u64)> + Send + Sync>;

impl Worker {
    /// Starts a worker on a free port and registers it in the store.
    pub fn start(
        ip: &str,
        id: &str,
        kind: Kind,
        plan: Plan,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a worker");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
            kind,
            state: Mutex::new(State::new(Some(Life::start(record)), Vec::new())),
            changed: Condvar::new(),
            record: record.clone(),
            plan,
        });
        let served = worker.clone();
        http::serve(listener, move |request| served.handle(&request));
        let timed = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1));
            timed.pass_time();
        });
        let (registered, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                if let Some(row) = registered.row(sequence) {
                    store.put("servers", &registered.id, &row);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    /// Cuts the worker off from all instances, or ends that. It runs on meanwhile.
    pub fn set_cut(&self, cut: bool) {
        self.lock().cut = cut;
        self.changed.notify_all();
        self.record.say(match cut {
            true => format!("{} is cut off", self.id),
            false => format!("{} is reached again", self.id),
        });
    }

    /// Lets the worker be down for a while, and start again under its id. It answers nothing that arrives meanwhile, and carries it
    /// out neither then nor later.
    pub fn restart(&self, down: Duration) {
        let now = self.record.now();
        self.record.say(format!("{} crashes", self.id));
        {
            let mut state = self.lock();
            let lost: Vec<usize> = state.active.values().map(|run| run.index).collect();
            let mut runs = std::mem::take(&mut state.runs);
            for index in lost {
                runs[index].end = Some((now, "lost"));
            }
            *state = State::new(None, runs);
        }
        self.changed.notify_all();
        thread::sleep(down);
        self.lock().life = Some(Life::start(&self.record));
        self.record.say(format!("{} is back", self.id));
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of ends that are listed now.
    pub fn listed_ends(&self) -> usize {
        self.lock().ends.len()
    }

    /// Returns its thousandths of a core.
    pub fn capacity(&self) -> u64 {
        self.kind.cpu
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn row(&self, sequence: u64) -> Option<String> {
        let born = self.lock().life?.born;
        let Kind {
            service,
            zone,
            rack,
            cpu,
            mem_mb,
        } = &self.kind;
        Some(format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"born\":{},\"sequence\":{sequence},\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\
             \"labels\":[\"a\",{}]}}",
            quote(service),
            quote(&self.address.to_string()),
            quote(zone),
            born,
            quote(rack)
        ))
    }

    /// Ends the runs that are due, and all of them once the lease has expired.
    fn pass_time(&self) {
        let now = self.record.now();
        let mut state = self.lock();
        let lapsed = state.lease > 0 && now > state.lease;
        if lapsed && !state.lapsed {
            state.lapses += 1;
        }
        state.lapsed = lapsed;
        let is_due = |run: &Active| lapsed || run.ends <= now;
        let due = state.active.iter().filter(|(_, run)| is_due(run));
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            let Some(run) = state.active.remove(&task) else {
                continue;
            };
            let how = match (run.ends <= now, run.stopping) {
                (true, true) => "stopped",
                (true, false) => "done",
                _ => "lapsed",
            };
            state.last_end += 1;
            let (number, lapses) = (state.last_end, state.lapses);
            state.ends.insert(number, (run.index, lapses));
            state.runs[run.index].end = Some((now, how));
            let barred = state.barred.entry(task).or_insert(0);
            *barred = run.run.max(*barred);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let (life, cut) = {
            let state = self.lock();
            (state.life, state.cut)
        };
        match life {
            Some(life) if !cut && request.opened < life.started => return Err(Lost::Closed),
            Some(_) if !cut => {}
            _ => return Err(Lost::Silent),
        }
        if request.expected.as_ref().is_some_and(|id| *id != self.id) {
            return Ok((421, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Ok((400, "{}".to_owned()));
        };
        match request.path.as_str() {
            "/api/run-start" => self.on_start(&body),
            "/api/run-stop" => self.on_stop(&body),
            "/api/hold" => self.on_hold(&body),
            _ => Ok((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, life: Life, reason: &str) -> Reply {
        let clock = self.record.now() - life.began;
        Ok((
            409,
            format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
        ))
    }

    fn agree(&self, life: Life) -> Reply {
        let clock = self.record.now() - life.began;
        Ok((200, format!("{{\"clock_ms\":{clock}}}")))
    }

    fn on_start(&self, body: &Json) -> Reply {
        self.pass_time();
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let Some((cpu, mem_mb, work)) = (self.plan)(task) else {
            self.record.add(format!(
                "{} is told to start {}, which nobody sent",
                self.id,
                show_task(task)
            ));
            return Ok((400, "{}".to_owned()));
        };
        let now = self.record.now();
        let mut state = self.lock();
        let life = state.life.ok_or(Lost::Silent)?;
        if !state.accept_fence(body) {
            return self.refuse(life, "fence");
        }
        let deadline = life.began + body.get("deadline_ms").number();
        if deadline <= now {
            return self.refuse(life, "late");
        }
        state.extend_lease(deadline, now);
        if state
            .active
            .get(task)
            .is_some_and(|active| active.run == run)
        {
            return self.agree(life);
        }
        let barred = state.barred.get(task).copied().unwrap_or(0);
        if run <= barred || state.active.contains_key(task) {
            return self.refuse(life, "old");
        }
        let used = |need: fn(&Active) -> u64| state.active.values().map(need).sum::<u64>();
        if used(|run| run.cpu) + cpu > self.kind.cpu
            || used(|run| run.mem_mb) + mem_mb > self.kind.mem_mb
        {
            return self.refuse(life, "room");
        }
        let index = state.runs.len();
        state.runs.push(Run {
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            began: now,
            end: None,
            noted: None,
        });
        let (ends, stopping) = (now + work, false);
        state.active.insert(
            task.to_owned(),
            Active {
                index,
                run,
                cpu,
                mem_mb,
                ends,
                work,
                stopping,
            },
        );
        self.agree(life)
    }

    fn on_stop(&self, body: &Json) -> Reply {
        self.pass_time();
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let now = self.record.now();
        let mut state = self.lock();
        let life = state.life.ok_or(Lost::Silent)?;
        if !state.accept_fence(body) {
            return self.refuse(life, "fence");
        }
        if let Some(active) = state
            .active
            .get_mut(task)
            .filter(|active| active.run == run)
        {
            if !active.stopping {
                active.stopping = true;
                active.ends = active.ends.min(now + STOP_MS);
            }
        }
        let barred = state.barred.entry(task.to_owned()).or_insert(0);
        *barred = run.max(*barred);
        self.agree(life)
    }

    fn on_hold(&self, body: &Json) -> Reply {
        self.pass_time();
        let now = self.record.now();
        let mut state = self.lock();
        let life = state.life.ok_or(Lost::Silent)?;
        if !state.accept_fence(body) {
            return self.refuse(life, "fence");
        }
        let seen = body.get("last_seen").number();
        if seen > state.last_end && state.last_end > 0 {
            self.record.add(format!(
                "{} is told to forget ends up to {seen}; {} have ended since it started",
                self.id, state.last_end
            ));
        }
        let kept = state.ends.split_off(&seen.saturating_add(1));
        for (_, (index, lapses)) in std::mem::replace(&mut state.ends, kept) {
            if lapses == state.lapses {
                state.runs[index].noted = Some(now);
            }
        }
        if *body.get("deadline_ms") != Json::Null {
            state.extend_lease(life.began + body.get("deadline_ms").number(), now);
        }
        let until = Instant::now() + Duration::from_millis(body.get("wait_ms").number().min(2_000));
        while state.ends.is_empty() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
            if state.life != Some(life) || state.cut {
                return Err(Lost::Silent);
            }
        }
        let now = self.record.now();
        let percent = |run: &Active| match run.stopping {
            true => 100,
            false => 100 - (run.ends.saturating_sub(now) * 100 / run.work.max(1)).min(100),
        };
        let running = state.active.iter().map(|(task, run)| {
            format!(
                "[{},{},\"\",{},{}]",
                quote(task),
                run.run,
                percent(run),
                run.cpu
            )
        });
        let running: Vec<String> = running.collect();
        let finished = state
            .ends
            .iter()
            .take(MAX_ENDS)
            .map(|(number, (index, _))| {
                let run = &state.runs[*index];
                let how = run.end.map_or("", |(_, how)| how);
                format!("[{number},{},{},\"{how}\",\"\"]", quote(&run.task), run.run)
            });
        let finished: Vec<String> = finished.collect();
        let (running, finished) = (running.join(","), finished.join(","));
        let (clock, born) = (now - life.began, life.born);
        Ok((
            200,
            format!(
                "{{\"clock_ms\":{clock},\"born\":{born},\"running\":[{running}],\"finished\":[{finished}]}}"
            ),
        ))
    }
}

impl State {
    /// Returns whether a call's fencing number isn't lower than the highest so far.
    fn accept_fence(&mut self, body: &Json) -> bool {
        let fence = body.get("fencing_token").number();
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    fn extend_lease(&mut self, deadline: u64, now: u64) {
        self.lease = self.lease.max(deadline.min(now + MAX_HOLD_MS));
    }
}
