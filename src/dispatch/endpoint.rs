//! An endpoint as its owner sees it: what runs there, until when its leases last, whether it answers.

mod backoff;
mod clock;
mod execution;
mod life;

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashSet, //
};

pub use self::execution::{
    Execution,
    Fate,
    Phase, //
};
use self::{
    backoff::Backoff,
    clock::Reading, //
};
use super::{
    id::{
        Life,
        Run,
        TaskId,
        Token, //
    },
    message::{
        CallId,
        End,
        Ended,
        Listing,
        Lists,
        Name,
        Order,
        Refusal,
        Reply, //
    },
    queue::Handle,
    task::Resources,
};
use crate::prelude::*;

/// The lease that a look gives to everything on an endpoint: the longest that the platform allows
/// (`max_hold_ms`). A longer one outlives its owner's death by more, a shorter one costs runs whenever the owner
/// is slow.
pub const LEASE: Span = Span::millis(1_000);

/// The lease that a start carries. A start that arrives after it has passed is refused, so this bounds how long
/// a start without an answer stays in doubt; the look that follows the start extends it.
pub const START_LEASE: Span = Span::millis(400);

/// How long a look waits for an end: an eighth of the lease. While the answer to a look is lost, so are the ends
/// that it would have told; with a quarter of the lease, one lost answer cost a short task its time.
pub const LOOK_WAIT: Span = Span::millis(120);

/// An endpoint that has answered something within this span isn't silent, although the answer to a look is lost.
const HEARD: Span = Span::millis(200);

/// An endpoint that has answered something within this span was there when a start left: half of the time that a run takes to be given up
/// at an endpoint which has fallen silent, so that others which fell silent with it aren't taken for being there.
const FRESH: Span = Span::millis(500);

/// Between looks at an endpoint that doesn't answer, and at one that is being cleared.
const LOOK_AGAIN: Span = Span::millis(50);

/// Between looks at an endpoint that lists ends which are being stored: half of a write's time.
const LOOK_HELD: Span = Span::millis(15);

/// Between looks at an endpoint where nothing runs: its clock may be 2 % slow, which makes 100 ms of doubt.
const LOOK_IDLE: Span = Span::seconds(5);

/// How often a start is sent before its run is barred and placed elsewhere.
pub const START_TRIES: u8 = 3;

/// How long an endpoint that refuses as unwell gets no new task.
const UNWELL: Span = Span::millis(500);

/// How long an endpoint that has no room although it should gets no new task: its next look tells.
const FULL: Span = Span::millis(30);

/// How many runs must fail in a row, of different jobs, before an endpoint counts as failing: one in five
/// hundred sound runs fails, so three in a row are no chance.
const FAILURES: u32 = 3;

/// How long a failing endpoint rests before it is tried with one task, doubled each time up to the second.
const REST: (Span, Span) = (Span::millis(1_000), Span::seconds(8));

/// An endpoint that crashed under a run, or may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The run's task.
    pub task: TaskId,
    /// Its batch.
    pub batch: Handle,
    /// Whether it was the only one there that had come under suspicion before: of all that ran there it alone was at the other crash too.
    pub sole: bool,
}

/// Something that an owner must act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A run is done, and its endpoint lists it as the end of that number.
    Done(TaskId, Handle, Run, u64),
    /// A run failed.
    Failed(TaskId, Handle),
    /// A run is gone without a result; it is to be started again, with this number at least.
    Gone(TaskId, Handle, Run),
    /// A run is given up on an endpoint that has fallen silent: it may have crashed under the run. See [`Event::Gone`].
    Lapsed(TaskId, Handle, Run),
    /// The endpoint crashed under a run. See [`Event::Gone`].
    Crashed(Crash, Run),
    /// An endpoint that had fallen silent under a task had crashed.
    Convicted(Crash),
    /// An endpoint that had fallen silent under a task has answered: it hadn't crashed.
    Acquitted(TaskId, Handle),
    /// A run ended whose end must be stored, or may have to be: the endpoint lists it until [`State::noted`].
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// Whether it is done; else it failed.
        done: bool,
        /// The end's number.
        serial: u64,
        /// Its batch, where it is known.
        batch: Option<Handle>,
    },
    /// A run stands still.
    Still(TaskId, Handle),
    /// A run that nobody wanted is gone.
    Cleared(TaskId),
    /// Another owner has a higher token.
    Fenced,
    /// Another endpoint answers at its address.
    Reborn,
}

/// How far an endpoint can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Runs that the owner doesn't know may go on there.
    Claimed,
    /// It takes tasks.
    Open,
    /// It doesn't answer.
    Silent,
}

/// An endpoint and what its owner knows of it.
#[derive(Debug)]
pub struct State {
    /// As the platform lists it.
    pub listing: Listing,
    /// Whether the platform lists it no more.
    pub delisted: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Whether the last call to it could not be sent, since it took no connection.
    pub refuses: bool,
    /// The latest life of it that is known.
    life: Life,
    /// When that began to be known: what left before may have been answered by a former life.
    renewed: Time,
    /// Tasks whose runs were given up since it fell silent.
    abandoned: Vec<Crash>,
    /// The owner's token.
    pub token: Token,
    /// How far it can be used.
    pub standing: Standing,
    /// What runs there.
    pub executions: BTreeMap<TaskId, Execution>,
    /// What is free.
    pub free: Resources,
    /// Until when it gets no task, and why that is.
    rest: Time,
    /// How many runs failed in a row, and of which job the last was.
    failures: (u32, u64),
    /// How long the next rest is.
    penalty: Span,
    /// Whether it is tried with one task.
    probation: bool,
    /// The longest that one of its runs was seen to take from one percent to a higher one; none where that was never seen.
    gap: Option<Span>,
    /// When some run on it came along last.
    moved: Time,
    unknown: BTreeSet<(Name, Run)>,
    reading: Option<Reading>,
    /// When every lease that it may have been given has passed.
    lapse: Time,
    seen: u64,
    /// Ends that the endpoint must not forget yet.
    held: BTreeSet<u64>,
    /// Of these, those that it may forget when its lease has passed.
    late: BTreeSet<u64>,
    told: u64,
    /// Whether a look is wanted although nothing seems to run.
    unsure: bool,
    look: Option<CallId>,
    backoff: Backoff,
    next_look: Time,
    answered: Time,
}

impl State {
    /// Claims an endpoint; runs that are handed over with it are added by [`State::adopt`].
    pub fn claim(listing: Listing, token: Token, now: Time) -> Self {
        Self {
            free: listing.capacity,
            life: listing.life,
            renewed: Time::default(),
            abandoned: Vec::new(),
            listing,
            delisted: false,
            evacuated: false,
            refuses: false,
            token,
            standing: Standing::Claimed,
            executions: BTreeMap::new(),
            rest: Time::default(),
            failures: (0, 0),
            penalty: REST.0,
            probation: false,
            gap: None,
            moved: now,
            unknown: BTreeSet::new(),
            reading: None,
            lapse: now + LEASE + Span::millis(50),
            seen: 0,
            held: BTreeSet::new(),
            late: BTreeSet::new(),
            told: 0,
            unsure: false,
            look: None,
            backoff: Backoff::default(),
            next_look: now,
            answered: Time::default(),
        }
    }

    /// Tells whether a task may be started here now.
    pub fn takes(&self, now: Time) -> bool {
        self.standing == Standing::Open
            && self.stays()
            && self.reading.is_some()
            && now >= self.rest
            && self.late.is_empty()
            && (!self.probation || self.executions.is_empty())
            && !self.has_suspect()
    }

    /// Tells whether tasks may be started here at all.
    fn stays(&self) -> bool {
        !self.listing.draining && !self.delisted && !self.evacuated
    }

    /// Tells whether a task that needs this much, and a label, could ever be started here.
    pub fn carries(&self, need: &Resources, label: Option<&String>) -> bool {
        let labelled = label.is_none_or(|label| self.listing.labels.contains(label));
        self.stays() && labelled && self.listing.capacity.fits(need)
    }

    /// Tells whether it has answered something just now.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.answered) < FRESH
    }

    /// Lets a look leave at once, if it hasn't answered anything just now.
    pub fn freshen(&mut self, now: Time) {
        if self.standing == Standing::Open && !self.is_fresh(now) {
            self.next_look = now;
            self.unsure = true;
        }
    }

    /// Takes over a run of the former owner.
    pub fn adopt(&mut self, task: TaskId, mut execution: Execution, now: Time) {
        execution.phase = Phase::Running;
        // Its start may still be on its way. Not listed by the first looks, it counts as running until its
        // lease would have passed.
        execution.answered = Some(now + START_LEASE);
        self.add(task, execution);
    }

    fn add(&mut self, task: TaskId, execution: Execution) {
        self.free.subtract(&execution.need);
        self.executions.insert(task, execution);
    }

    /// Starts a run.
    pub fn start(
        &mut self,
        task: TaskId,
        mut execution: Execution,
        spec: String,
        now: Time,
    ) -> Option<Order> {
        let run = execution.run;
        execution.reached = self.is_fresh(now);
        self.add(task, execution);
        self.next_look = self.next_look.min(now);
        self.start_again(task, run, spec, now)
    }

    /// Sends the start of a run again: an endpoint that has it already says so.
    pub fn start_again(
        &mut self,
        task: TaskId,
        run: Run,
        spec: String,
        now: Time,
    ) -> Option<Order> {
        let lease = self.lease(START_LEASE, now)?;
        Some(Order::Start {
            task,
            run,
            spec,
            lease,
            token: self.token,
        })
    }

    /// Begins the stop of a run.
    pub fn stop(&mut self, task: TaskId, fate: Fate) -> Option<Order> {
        let execution = self.executions.get_mut(&task)?;
        if execution.phase == Phase::Stopping {
            if fate == Fate::Drop {
                execution.fate = fate;
            }
            return None;
        }
        execution.phase = Phase::Stopping;
        execution.fate = fate;
        execution.tries = 0;
        execution.answered = None;
        execution.retry = None;
        let run = execution.run;
        Some(self.stop_again(Name::Known(task), run))
    }

    /// Orders a stop.
    pub fn stop_again(&self, task: Name, run: Run) -> Order {
        Order::Stop {
            task,
            run,
            token: self.token,
        }
    }

    /// Returns a lease that ends `span` from now on the endpoint's clock, and takes note of it.
    fn lease(&mut self, span: Span, now: Time) -> Option<u64> {
        let reading = self.reading?;
        let until = reading.most(now) + span.as_millis();
        self.lapse = self.lapse.max(reading.passed(until));
        Some(until)
    }

    /// Returns the look that is due.
    ///
    /// Leases are extended only where every run is known and all stops are answered: a look also extends what a
    /// dead instance started.
    pub fn look(&mut self, call: CallId, now: Time) -> Option<Order> {
        if self.look.is_some() || now < self.next_look {
            return None;
        }
        self.forget_late(now);
        let quiet = self.executions.is_empty() && self.standing == Standing::Open;
        let told = self.told >= self.forgettable();
        let fresh = self
            .reading
            .is_some_and(|r| now.since(r.received) < LOOK_IDLE);
        if quiet && told && fresh && !self.unsure {
            // Not due again before a start, or before the reading of its clock is too old.
            self.next_look = self.reading.map_or(now, |r| r.received + LOOK_IDLE);
            return None;
        }
        let stuck = |execution: &Execution| {
            execution.phase == Phase::Stopping && execution.answered.is_none()
        };
        let extend = self.standing == Standing::Open
            && !quiet
            && self.unknown.is_empty()
            && !self.executions.values().any(stuck);
        let lease = match extend {
            true => self.lease(LEASE, now),
            false => None,
        };
        let wait = match extend {
            true => LOOK_WAIT,
            false => Span(0),
        };
        self.unsure = false;
        self.look = Some(call);
        self.told = self.forgettable();
        Some(Order::Look {
            lease,
            token: self.token,
            seen: self.told,
            wait,
        })
    }

    /// Returns the number of the last end up to which the endpoint may forget all.
    fn forgettable(&self) -> u64 {
        self.held.first().map_or(self.seen, |held| held - 1)
    }

    /// Lets the endpoint forget an end of one life of it.
    pub fn noted(&mut self, life: Life, serial: u64, now: Time) {
        if life == self.life && self.held.remove(&serial) {
            self.next_look = self.next_look.min(now);
        }
    }

    /// Lets the endpoint forget an end once its lease has passed. Until then it gets no new task, so that it does pass.
    pub fn noted_late(&mut self, life: Life, serial: u64) {
        if life == self.life && self.held.contains(&serial) {
            self.late.insert(serial);
        }
    }

    /// Lets the endpoint forget what it may after its lease has passed.
    fn forget_late(&mut self, now: Time) {
        if !self.late.is_empty() && now > self.lapse {
            for serial in std::mem::take(&mut self.late) {
                self.held.remove(&serial);
            }
        }
    }

    /// Tells when the next look is due at the latest.
    pub fn next_look(&self) -> Time {
        self.next_look
    }

    /// Takes note of an answer to a start or a stop: its endpoint lives, and its clock was read.
    pub fn answered(&mut self, clock: u64, sent: Time, now: Time) {
        if sent >= self.renewed {
            self.read(clock, sent, now);
        }
    }

    fn read(&mut self, clock: u64, sent: Time, now: Time) {
        self.answered = now;
        self.refuses = false;
        self.backoff.answered();
        let better = |r: Reading| now.since(r.received) > Span::seconds(1);
        let narrow = |r: Reading| now.since(sent) <= r.received.since(r.sent);
        if self.reading.is_none_or(|r| better(r) || narrow(r)) {
            self.reading = Some(Reading {
                clock,
                sent,
                received: now,
            });
        }
    }

    /// Takes note of what runs there and what has ended; returns what to act on, and unknown to stop.
    pub fn looked(
        &mut self,
        call: CallId,
        sent: Time,
        lists: Lists,
        now: Time,
    ) -> (Vec<Event>, Vec<(Name, Run)>) {
        if self.look == Some(call) {
            self.look = None;
        }
        if lists.life.is_before(self.life) {
            self.next_look = now;
            return (Vec::new(), Vec::new());
        }
        let mut events = match lists.life == self.life {
            true => self.acquit(),
            false => self.live(lists.life, now),
        };
        self.read(lists.clock, sent, now);
        let Lists { running, ended, .. } = lists;
        for end in ended {
            if end.serial > self.seen {
                self.seen = end.serial;
                self.end(&end, &mut events, now);
            }
        }
        let mut listed = HashSet::with_capacity(running.len());
        let mut unknown = BTreeSet::new();
        for entry in running {
            match &entry.task {
                Name::Known(task) if self.knows(task, entry.run) => {
                    listed.insert(*task);
                    self.confirm(task);
                    self.pace(task, entry.percent, now, &mut events);
                }
                _ => {
                    unknown.insert((entry.task, entry.run));
                }
            }
        }
        self.vanish(&listed, sent, &mut events);
        let order: Vec<_> = unknown.iter().cloned().collect();
        self.unknown = unknown;
        let clear = self.unknown.is_empty();
        self.standing = match clear {
            true => Standing::Open,
            false => Standing::Claimed,
        };
        self.next_look = match (clear, self.held.is_empty()) {
            (true, true) => now,
            // Its list isn't empty, so that it doesn't wait with its answer.
            (true, false) => now + LOOK_HELD,
            (false, _) => now + LOOK_AGAIN,
        };
        (events, order)
    }

    /// Takes note of how a run comes along.
    fn pace(&mut self, task: &TaskId, percent: Option<u8>, now: Time, events: &mut Vec<Event>) {
        let Some(execution) = self.executions.get_mut(task) else {
            return;
        };
        let Some(percent) = percent.filter(|_| execution.phase == Phase::Running) else {
            return;
        };
        if let Some(gap) = execution.progress.record(percent, now) {
            self.moved = now;
            self.gap = self.gap.max(Some(gap));
        }
        if execution.progress.is_stalled(self.gap, now) {
            events.push(Event::Still(*task, execution.batch));
        }
    }

    fn knows(&self, task: &TaskId, run: Run) -> bool {
        self.executions
            .get(task)
            .is_some_and(|execution| execution.run == run)
    }

    fn end(&mut self, end: &Ended, events: &mut Vec<Event>, now: Time) {
        let Name::Known(task) = &end.task else {
            return;
        };
        let ended = matches!(end.end, End::Done | End::Failed);
        let event = |batch| Event::Ended {
            task: *task,
            run: end.run,
            done: end.end == End::Done,
            serial: end.serial,
            batch,
        };
        if !self.knows(task, end.run) {
            // Another instance started it, and died before it heard this.
            if ended {
                self.held.insert(end.serial);
                events.push(event(None));
            }
            return;
        }
        let Some(execution) = self.remove(task) else {
            return;
        };
        match end.end {
            End::Done => self.sound(now),
            End::Failed => self.failed(task.job.0, now),
            _ => {}
        }
        if execution.stored && ended {
            self.held.insert(end.serial);
            events.push(event(Some(execution.batch)));
            return;
        }
        events.push(match (end.end, execution.fate) {
            (_, Fate::Drop) => Event::Cleared(*task),
            (End::Done, _) => Event::Done(*task, execution.batch, end.run, end.serial),
            (End::Failed, _) => Event::Failed(*task, execution.batch),
            _ => Event::Gone(*task, execution.batch, execution.run.next()),
        });
    }

    /// Finds runs that were there before the look left and that it doesn't list.
    fn vanish(&mut self, listed: &HashSet<TaskId>, sent: Time, events: &mut Vec<Event>) {
        let gone = |(task, execution): (&TaskId, &Execution)| {
            let settled = execution.answered.is_some_and(|at| at < sent);
            (settled && !listed.contains(task)).then_some(*task)
        };
        let gone: Vec<TaskId> = self.executions.iter().filter_map(gone).collect();
        for task in gone {
            self.lose(task, events);
        }
    }

    /// Takes a run out that is gone without a result.
    pub fn lose(&mut self, task: TaskId, events: &mut Vec<Event>) {
        if let Some(execution) = self.remove(&task) {
            let (batch, next) = (execution.batch, execution.run.next());
            events.push(match (execution.fate, execution.crashed) {
                (Fate::Drop, _) => Event::Cleared(task),
                (Fate::Again, None) => Event::Gone(task, batch, next),
                (Fate::Again, Some(sole)) => {
                    let crash = Crash { task, batch, sole };
                    Event::Crashed(crash, next)
                }
            });
        }
    }

    fn remove(&mut self, task: &TaskId) -> Option<Execution> {
        let execution = self.executions.remove(task)?;
        self.measure();
        Some(execution)
    }

    /// Takes what the platform lists of it now. Its capacity may have shrunk or grown while tasks run on it: one that is started
    /// beyond what it has now would bring an endpoint that doesn't guard its capacity over it.
    pub fn list(&mut self, listing: Listing) {
        self.delisted = false;
        self.listing = listing;
        self.measure();
    }

    /// Works out what is free; what is being stopped takes its room until its end is listed.
    fn measure(&mut self) {
        let mut free = self.listing.capacity;
        for execution in self.executions.values() {
            free.subtract(&execution.need);
        }
        self.free = free;
    }

    /// Takes note that a start was carried out.
    pub fn started(&mut self, task: &TaskId, run: Run, now: Time) {
        if let Some(execution) = self.executions.get_mut(task) {
            if execution.run == run && execution.phase == Phase::Starting {
                execution.phase = Phase::Running;
                execution.answered = Some(now);
                execution.reached = true;
            }
        }
    }

    /// Takes note that a stop was carried out: the run is barred, and not listed from now on.
    pub fn stopped(&mut self, task: &TaskId, run: Run, now: Time) {
        if let Some(execution) = self.executions.get_mut(task) {
            if execution.run == run && execution.phase == Phase::Stopping {
                execution.answered = Some(now);
                self.next_look = now;
            }
        }
    }

    /// Takes note that a call got no answer, or none that can be read.
    pub fn unanswered(&mut self, reply: &Reply) {
        self.refuses = *reply == Reply::Unsent;
        self.backoff.failed();
    }

    /// Sends the start or the stop of a run again after a pause.
    pub fn retry(&mut self, task: TaskId, now: Time) {
        let at = now + self.backoff.pause(&self.listing.id);
        if let Some(execution) = self.executions.get_mut(&task) {
            execution.retry = Some(at);
        }
    }

    /// Returns the tasks whose start or stop is to be sent again now.
    pub fn retries(&mut self, now: Time) -> Vec<TaskId> {
        let mut due = Vec::new();
        for (task, execution) in &mut self.executions {
            if execution.retry.is_some_and(|at| at <= now) {
                execution.retry = None;
                due.push(*task);
            }
        }
        due
    }

    /// Takes note that a look got no answer.
    pub fn silent(&mut self, call: CallId, now: Time) {
        if self.look == Some(call) {
            self.look = None;
            self.next_look = match self.standing {
                Standing::Open if self.backoff.is_first() => now,
                _ => now + self.backoff.pause(&self.listing.id),
            };
            let heard = now.since(self.answered) < HEARD;
            self.standing = match self.standing {
                Standing::Open if !heard => Standing::Silent,
                other => other,
            };
        }
    }

    /// Takes note that a look was refused.
    pub fn unlooked(&mut self, call: CallId, now: Time) {
        if self.look == Some(call) {
            self.look = None;
            self.next_look = now + LOOK_AGAIN;
        }
    }

    fn lose_all(&mut self, events: &mut Vec<Event>) {
        let tasks: Vec<TaskId> = self.executions.keys().copied().collect();
        for task in tasks {
            self.lose(task, events);
        }
    }

    /// Rests an endpoint that refuses as unwell.
    pub fn unwell(&mut self, now: Time) {
        self.rest = self.rest.max(now + UNWELL);
    }

    /// Rests an endpoint that has no room although it should; what it runs is looked up.
    pub fn full(&mut self, now: Time) {
        self.rest = self.rest.max(now + FULL);
        self.next_look = now;
        self.unsure = true;
    }

    fn sound(&mut self, now: Time) {
        self.moved = now;
        self.failures = (0, 0);
        self.probation = false;
        self.penalty = REST.0;
    }

    /// Counts a failed run: one job that fails everywhere is no sign of a failing endpoint.
    fn failed(&mut self, job: u64, now: Time) {
        if self.failures.1 == job {
            return;
        }
        self.failures = (self.failures.0 + 1, job);
        if self.failures.0 >= FAILURES || self.probation {
            self.rest(now);
        }
    }

    /// Lets it get no task for a while, and then one to try it with.
    pub fn rest(&mut self, now: Time) {
        self.rest = now + self.penalty;
        self.penalty = Span((self.penalty.0 * 2).min(REST.1 .0));
        self.probation = true;
    }

    /// Tells whether it doesn't rest yet, and nothing on it has come along for as long as a run stands still.
    pub fn stands_still(&self, task: &TaskId, now: Time) -> bool {
        let run = self.executions.get(task);
        let patience = run.and_then(|run| run.progress.stall_timeout(self.gap));
        now >= self.rest && patience.is_some_and(|span| now.since(self.moved) > span)
    }

    /// Decides what a refused start means.
    pub fn refused(&mut self, task: TaskId, run: Run, refusal: Refusal, now: Time) -> Refused {
        let Some(execution) = self.executions.get_mut(&task) else {
            return Refused::Nothing;
        };
        if execution.run != run || execution.phase != Phase::Starting {
            return Refused::Nothing;
        }
        if refusal == Refusal::Fenced {
            return Refused::Fenced;
        }
        if execution.doubt && refusal == Refusal::Old {
            // The earlier copy of this start was carried out, and its run may have ended: the next look tells.
            execution.phase = Phase::Running;
            execution.answered = Some(now);
            self.next_look = now;
            return Refused::Nothing;
        }
        if execution.doubt {
            // The earlier copy may still arrive; only a stop bars it.
            return Refused::Stop;
        }
        let batch = execution.batch;
        let next = match refusal {
            Refusal::Old => run.skip_ahead(),
            _ => run,
        };
        self.remove(&task);
        match refusal {
            Refusal::Full => self.full(now),
            Refusal::Late => self.reading = None,
            _ => {}
        }
        self.next_look = now;
        Refused::Again(batch, next)
    }
}

/// What a refused start means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It was taken care of.
    Nothing,
    /// The run must be barred before the task is placed again.
    Stop,
    /// The task can be placed again, with this run.
    Again(Handle, Run),
    /// Another owner has a higher token.
    Fenced,
}
