//! A simulated endpoint for the dispatcher's tests: leases, fencing, runs and their ends, without sockets.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use poplarknot::{
    dispatch::{
        id::{
            Life,
            Run,
            TaskId,
            Token, //
        },
        message::{
            End,
            Ended,
            Listing,
            Lists,
            Name,
            Order,
            Refusal,
            Reply,
            Running, //
        },
        task::Resources, //
    },
    prelude::*, //
};

/// The longest lease that an endpoint grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// The record of a run that was started, for the checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunRecord {
    pub task: TaskId,
    pub run: Run,
    pub from: Time,
    pub until: Option<Time>,
    pub done: bool,
    pub failed: bool,
    /// Whether its endpoint crashed during it.
    pub crashed: bool,
    /// Whether its owner let the endpoint forget its end before the endpoint's lease had expired.
    pub forgotten_early: bool,
    /// When its owner let the endpoint forget its end.
    pub forgotten_at: Option<Time>,
    /// The fencing token of its start.
    pub token: Token,
    /// When the life of the endpoint began that started it.
    pub life_from: Time,
    /// Whether its start was late: its owner had given up waiting for the answer.
    pub is_late: bool,
}

#[derive(Debug, Clone, Copy)]
struct Active {
    run: Run,
    /// Its duration at full speed, and how much of it is done.
    duration: Span,
    done: Span,
    /// When `done` was updated.
    at: Time,
    fails: bool,
    /// Its index in the history.
    index: usize,
}

/// A simulated endpoint.
#[derive(Debug)]
pub(crate) struct SimulatedEndpoint {
    pub listing: Listing,
    /// The share by which its clock is slower than true time.
    pub clock_lag: f64,
    /// The speed of its runs, as a share of a healthy endpoint's; runs stall at zero.
    pub speed: f64,
    /// The step in which it reports percentages; it reports none if this is zero.
    pub report_step: u8,
    /// When its clock was set, in milliseconds of true time.
    origin: u64,
    /// The value that its clock was set to, in milliseconds.
    ahead: u64,
    /// When its life began.
    life_from: Time,
    /// The rising tokens that each of its lives has received, and when.
    tokens: Vec<(Time, Token)>,
    /// The runs that each of its lives was told to stop, and when.
    stops: Vec<(Time, TaskId, Run)>,
    pub running: BTreeMap<TaskId, ActiveRun>,
    pub history: Vec<RunRecord>,
    pub up: bool,
    /// Whether every run that it starts fails.
    pub failing: bool,
    /// Whether it refuses connections for a time while still listed.
    pub down: bool,
    /// Whether it refuses starts that exceed its capacity.
    pub enforces_capacity: bool,
    ended: Vec<Ended>,
    serial: u64,
    /// When its lease expires, in milliseconds of its clock.
    lease: u64,
    /// When its lease was last seen expired.
    lease_ended: Time,
    /// Indices in the history of the runs whose ends it lists, by serial number.
    indices: HashMap<u64, usize>,
    /// The highest fencing token that it has received.
    token: Token,
    /// The highest run of each task that it no longer starts.
    barred: HashMap<TaskId, Run>,
}

/// A run, with its fields private to this module.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActiveRun(Active);

impl Active {
    fn advance(&mut self, speed: f64, now: Time) {
        self.done = self.done + Span((now.since(self.at).0 as f64 * speed) as u64);
        self.at = now;
    }
}

impl SimulatedEndpoint {
    pub(crate) fn new(listing: Listing, clock_lag: f64) -> Self {
        Self {
            listing,
            clock_lag,
            speed: 1.0,
            report_step: 1,
            origin: 0,
            ahead: 5_000,
            life_from: Time::default(),
            tokens: Vec::new(),
            stops: Vec::new(),
            running: BTreeMap::new(),
            history: Vec::new(),
            up: true,
            failing: false,
            down: false,
            enforces_capacity: true,
            ended: Vec::new(),
            serial: 0,
            lease: 0,
            lease_ended: Time::default(),
            indices: HashMap::new(),
            token: Token::default(),
            barred: HashMap::new(),
        }
    }

    fn clock(&self, now: Time) -> u64 {
        let since = now.0 as f64 / 1_000.0 - self.origin as f64;
        (since * (1.0 - self.clock_lag)) as u64 + self.ahead
    }

    /// Advances runs to `now`, and ends those that are complete or whose lease has expired.
    pub(crate) fn advance(&mut self, now: Time) {
        let expired = self.clock(now) >= self.lease;
        if expired {
            self.lease_ended = now;
        }
        let speed = self.speed;
        for run in self.running.values_mut() {
            run.0.advance(speed, now);
        }
        let ended: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, run)| run.0.done >= run.0.duration || expired)
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            let run = self.running[&task].0;
            let kind = match (run.done >= run.duration, run.fails) {
                (true, false) => End::Done,
                (true, true) => End::Failed,
                (false, _) => End::Lapsed,
            };
            self.end(task, kind, now);
        }
    }

    fn end(&mut self, task: TaskId, kind: End, now: Time) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.serial += 1;
        self.history[run.0.index].until = Some(now);
        self.history[run.0.index].done = kind == End::Done;
        self.history[run.0.index].failed = kind == End::Failed;
        self.bar(task, run.0.run);
        self.indices.insert(self.serial, run.0.index);
        self.ended.push(Ended {
            serial: self.serial,
            task: Name::Known(task),
            run: run.0.run,
            end: kind,
        });
    }

    fn bar(&mut self, task: TaskId, run: Run) {
        let barred = self.barred.entry(task).or_insert(run);
        *barred = (*barred).max(run);
    }

    /// Restarts it under the same name, with all state lost and the clock at `ahead` milliseconds.
    pub(crate) fn restart(&mut self, now: Time, ahead: u64) {
        let history = std::mem::take(&mut self.history);
        let tokens = std::mem::take(&mut self.tokens);
        let stops = std::mem::take(&mut self.stops);
        let mut listing = self.listing.clone();
        listing.life = Life(now.0 / 1_000);
        *self = Self {
            history,
            tokens,
            stops,
            enforces_capacity: self.enforces_capacity,
            origin: now.0 / 1_000,
            ahead,
            life_from: now,
            ..Self::new(listing, self.clock_lag)
        };
    }

    /// Returns the CPU that its runs use.
    pub(crate) fn used_cpu(&self, needs: &HashMap<TaskId, Resources>) -> u64 {
        self.running.keys().map(|task| needs[task].cpu).sum()
    }

    /// Ends all runs without listing their ends, as a crash does.
    pub(crate) fn crash(&mut self, now: Time) {
        for run in std::mem::take(&mut self.running).into_values() {
            self.history[run.0.index].until = Some(now);
            self.history[run.0.index].crashed = true;
        }
        self.up = false;
    }

    fn extend_lease(&mut self, until: Option<u64>, now: Time) {
        if let Some(until) = until {
            let most = self.clock(now) + MAX_LEASE_MS;
            self.lease = self.lease.max(until.min(most));
        }
    }

    fn free_room(&self, needs: &HashMap<TaskId, Resources>) -> Resources {
        let mut room = self.listing.capacity;
        for task in self.running.keys() {
            room.subtract(&needs[task]);
        }
        room
    }

    /// Executes an order and returns the reply.
    pub(crate) fn execute(
        &mut self,
        order: &Order,
        needs: &HashMap<TaskId, Resources>,
        duration: Span,
        fails: bool,
        now: Time,
    ) -> Reply {
        self.advance(now);
        let clock = self.clock(now);
        let (Order::Start { token, .. } | Order::Stop { token, .. } | Order::Poll { token, .. }) =
            order;
        let refuse = |refusal| Reply::Refused { clock, refusal };
        if *token < self.token {
            return refuse(Refusal::Fenced);
        }
        if *token > self.token {
            self.token = *token;
            self.tokens.push((now, *token));
        }
        match order {
            Order::Start {
                task, run, lease, ..
            } => {
                if self
                    .running
                    .get(task)
                    .is_some_and(|active| active.0.run == *run)
                {
                    self.extend_lease(Some(*lease), now);
                    return Reply::Done { clock };
                }
                if self.barred.get(task).is_some_and(|barred| run <= barred) {
                    return refuse(Refusal::Old);
                }
                if *lease <= clock {
                    return refuse(Refusal::Late);
                }
                if self.enforces_capacity && !self.free_room(needs).fits(&needs[task]) {
                    return refuse(Refusal::Full);
                }
                self.extend_lease(Some(*lease), now);
                let active = Active {
                    run: *run,
                    duration,
                    done: Span(0),
                    at: now,
                    fails,
                    index: self.history.len(),
                };
                self.history.push(RunRecord {
                    task: *task,
                    run: *run,
                    from: now,
                    until: None,
                    done: false,
                    failed: false,
                    crashed: false,
                    forgotten_early: false,
                    forgotten_at: None,
                    token: *token,
                    life_from: self.life_from,
                    is_late: false,
                });
                self.running.insert(*task, ActiveRun(active));
                Reply::Done { clock }
            }
            Order::Stop { task, run, .. } => {
                if let Name::Known(task) = task {
                    if self
                        .running
                        .get(task)
                        .is_some_and(|active| active.0.run <= *run)
                    {
                        self.end(*task, End::Stopped, now);
                    }
                    self.bar(*task, *run);
                    self.stops.push((now, *task, *run));
                }
                Reply::Done { clock }
            }
            Order::Poll {
                lease,
                acknowledged,
                ..
            } => {
                self.extend_lease(*lease, now);
                self.acknowledge(*acknowledged, now);
                self.poll_reply(now)
            }
        }
    }

    /// Removes the ends up to the serial number `seen`.
    fn acknowledge(&mut self, acknowledged: u64, now: Time) {
        for end in self.ended.iter().filter(|end| end.serial <= acknowledged) {
            let record = &mut self.history[self.indices[&end.serial]];
            record.forgotten_at = Some(now);
            record.forgotten_early = record.until.is_some_and(|until| until > self.lease_ended);
        }
        self.ended.retain(|end| end.serial > acknowledged);
    }

    /// Returns whether one of its lives would have refused a run's start by a time: it had received a higher token or a stop of that run,
    /// or the run had ended.
    pub(crate) fn had_barred(&self, record: &RunRecord, by: Time) -> bool {
        let is_same = |task: TaskId, run: Run| task == record.task && run >= record.run;
        let mut tokens = self.tokens.iter();
        let mut stops = self.stops.iter();
        let mut runs = self.history.iter();
        tokens.any(|(at, token)| *at <= by && *token > record.token)
            || stops.any(|(at, task, run)| *at <= by && is_same(*task, *run))
            || runs.any(|other| {
                is_same(other.task, other.run) && other.until.is_some_and(|at| at < record.from)
            })
    }

    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the reply to a poll.
    pub(crate) fn poll_reply(&self, now: Time) -> Reply {
        let percent = |run: &ActiveRun| {
            let percent = (run.0.done.0 * 100 / run.0.duration.0.max(1)) as u8;
            let steps = percent.checked_div(self.report_step)?;
            Some(steps * self.report_step)
        };
        let running = self.running.iter().map(|(task, run)| Running {
            task: Name::Known(*task),
            run: run.0.run,
            percent: percent(run),
        });
        Reply::Looked(Lists {
            clock: self.clock(now),
            life: self.listing.life,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}
