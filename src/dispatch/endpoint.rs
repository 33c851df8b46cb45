//! An owner's view of an endpoint: its runs, the expiry of its leases, and whether it answers.

mod acknowledgement;
mod backoff;
mod barrier;
mod clock;
mod execution;
mod life;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashSet, //
    },
    fmt, //
};

use self::{
    acknowledgement::{
        Acknowledgement,
        PendingPoll, //
    },
    backoff::Backoff,
    clock::Reading, //
};
pub use self::{
    barrier::{
        MAX_CALL_DELAY,
        UNLISTED_SILENCE, //
    },
    execution::{
        Execution,
        Fate,
        Phase,
        MIN_ESTIMATE_SHARE, //
    },
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
    speed::{
        self,
        Kind, //
    },
    straggler::{
        Change,
        Detector,
        Norm,
        Preference,
        Projection,
        RunTime,
        Slowdown, //
    },
    task::Resources, //
};
use crate::prelude::*;

/// The lease that a poll gives to all runs on an endpoint: the longest that the platform allows (`max_hold_ms`).
/// A longer lease would outlive a dead owner by more, a shorter one would lose runs whenever the owner is slow.
pub const LEASE: Span = Span::millis(1_000);

/// The lease that a start carries. The life of an endpoint that it was sent to refuses a start that arrives after its expiry; a later
/// life has another clock, and may carry it out. The poll that follows extends the lease.
pub const START_LEASE: Span = Span::millis(400);

/// How long a poll waits at the endpoint for a run to end: an eighth of [`LEASE`]. Ends are lost with a lost answer, so a longer
/// wait would delay them by more; with a quarter, one lost answer costs a short task its time.
pub const POLL_WAIT: Span = Span::millis(120);

/// An endpoint that answered any call within this time doesn't become silent when a poll fails.
const ANSWER_GRACE: Span = Span::millis(200);

/// An endpoint that answered any call within this time counts as reachable when a start is sent: half of the time
/// until runs on a silent endpoint expire.
const RECENT_ANSWER: Span = Span::millis(500);

/// Time between polls of an endpoint that refuses them, or that has unknown runs.
const POLL_RETRY: Span = Span::millis(50);

/// Time between polls of an endpoint that lists ends that are being stored: half of the time that a write takes.
const POLL_UNSTORED: Span = Span::millis(15);

/// Time between polls of an endpoint without runs. Its clock may be 2 % slow, which makes its reading uncertain
/// by 100 ms.
const POLL_IDLE: Span = Span::seconds(5);

/// How often a start is sent before its run is stopped and its task placed elsewhere.
pub const MAX_START_SENDS: u8 = 3;

/// How long an endpoint that refuses a start as unwell gets no new task.
const UNWELL_PAUSE: Span = Span::millis(500);

/// How long an endpoint that reports no room gets no new task. The next poll lists what runs there.
const FULL_PAUSE: Span = Span::millis(30);

/// How many runs must fail in a row, of different jobs, before the endpoint is ejected. About one in five hundred
/// runs fails on a sound endpoint.
const EJECTION_FAILURES: u32 = 3;

/// The first and the longest ejection of a failing endpoint; each one is twice as long as the last. After it, the
/// endpoint is on probation with one task.
const EJECTION_TIME: (Span, Span) = (Span::millis(1_000), Span::seconds(8));

/// A crash of an endpoint under a run, confirmed or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The run's task.
    pub task: TaskId,
    /// The task's batch.
    pub batch: Handle,
    /// Whether all other jobs' runs on the endpoint were cleared as the cause.
    pub sole: bool,
}

/// Why a run is taken for lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The endpoint doesn't list it.
    Unlisted,
    /// The endpoint is silent, all leases have expired, and no start of the run is in doubt any more.
    Silent,
    /// Another endpoint answers at the address.
    Replaced,
    /// Its start wasn't carried out.
    Unsent,
    /// The endpoint listed its end.
    Ended,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unlisted => "unlisted",
            Self::Silent => "silent",
            Self::Replaced => "replaced",
            Self::Unsent => "unsent",
            Self::Ended => "ended",
        })
    }
}

/// A run that ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// The run's task.
    pub task: TaskId,
    /// The task's batch.
    pub batch: Handle,
    /// The run.
    pub run: Run,
    /// Why it is taken for lost.
    pub reason: Reason,
    /// Whether each start that was sent for it was answered.
    pub answered: bool,
}

impl Loss {
    /// Returns whether its starts were answered, for the log.
    pub fn start(&self) -> &'static str {
        match self.answered {
            true => "answered",
            false => "unanswered",
        }
    }
}

/// An event that the owner must handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A run is done. The last value is the end's serial number at the endpoint.
    Done(TaskId, Handle, Run, u64),
    /// A run failed.
    Failed(TaskId, Handle),
    /// A run ended without a result. The task is to be started again, with a higher run.
    Lost(Loss),
    /// A run expired on a silent endpoint, which may have crashed under it. See [`Event::Lost`].
    Expired(Loss),
    /// The endpoint crashed under a run. See [`Event::Lost`].
    Crashed(Crash, Loss),
    /// An endpoint that had fallen silent under a task did crash.
    CrashConfirmed(Crash),
    /// An endpoint that had fallen silent under a task answered without having restarted.
    CrashRuledOut(TaskId, Handle),
    /// A run ended and its end may have to be stored. The endpoint lists the end until [`State::on_end_stored`].
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// Whether the run is done; otherwise it failed.
        done: bool,
        /// The end's serial number.
        serial: u64,
        /// The task's batch, if the owner knows it.
        batch: Option<Handle>,
    },
    /// A run makes no progress within its stall timeout.
    Stalled(TaskId, Handle),
    /// The endpoint was found slow, or no longer counts as slow.
    Pace(Change),
    /// A run that was no longer wanted has ended.
    Discarded(Loss),
    /// Another owner has a higher fencing token.
    Fenced,
    /// Another endpoint, or this one under a new name, answers at the address.
    Replaced,
}

/// Whether an endpoint can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Newly claimed or restarted, or it lists runs that the owner doesn't know: it gets no tasks yet.
    Claimed,
    /// It answers, and the owner knows all of its runs. [`State::accepts_tasks`] says whether it gets tasks.
    Open,
    /// It doesn't answer polls.
    Silent,
}

/// A run that is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The estimate of its duration.
    pub estimate: Span,
    /// The time from the order to start it until its end was heard.
    pub took: Span,
}

/// The state of an endpoint as its owner knows it.
#[derive(Debug)]
pub struct State {
    /// The platform's entry for it.
    pub listing: Listing,
    /// Whether the platform no longer lists it.
    pub delisted: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Whether it refused a connection for the last call.
    pub refuses_connections: bool,
    /// The latest known life (incarnation).
    life: Life,
    /// When that life became known. Calls sent before may have reached a former life.
    life_since: Time,
    /// Runs that expired while it is silent: whether it crashed under them isn't known yet.
    unconfirmed_crashes: Vec<Crash>,
    /// The token of the next call: the owner's fencing token, or a higher one of the same claim.
    pub token: Token,
    /// Whether a start, a lease or an acknowledgement was sent with that token.
    token_used: bool,
    /// Until when starts may arrive that weren't answered.
    late_starts_until: Time,
    /// When this owner began to use the endpoint.
    claimed_at: Time,
    /// Whether it can be used.
    pub standing: Standing,
    /// Its runs.
    pub executions: BTreeMap<TaskId, Execution>,
    /// Its free room.
    pub free: Resources,
    /// Its kind.
    pub kind: Kind,
    /// The time that runs take here, relative to their estimates; 1 where the endpoints of the rack are alike.
    pub speed_ratio: f64,
    /// Runs that are done and haven't been recorded in [`speed::Model`].
    completions: Vec<Completion>,
    /// Whether what was learnt about its speed is void, since it has restarted or is of another kind.
    speed_void: bool,
    /// Until when it gets no new task.
    ejected_until: Time,
    /// The number of consecutive failed runs, and the job of the last one.
    failures: (u32, u64),
    /// The length of the next ejection.
    next_ejection: Span,
    /// Whether it gets one task at a time after an ejection.
    probation: bool,
    /// The longest observed time between two reports of progress of one run; none until a run has reported some.
    longest_progress_gap: Option<Span>,
    /// When one of its runs last made progress.
    last_progress: Time,
    /// Finds out whether it is much slower than its kind.
    straggler: Detector,
    unknown_runs: BTreeSet<(Name, Run)>,
    reading: Option<Reading>,
    /// When all leases that it may have been given have expired.
    leases_end: Time,
    last_end: u64,
    /// Ends that the endpoint must keep until they are stored.
    unstored_ends: BTreeSet<u64>,
    /// Late ends among these: their tasks were placed again before the ends were heard. The endpoint may forget them
    /// once its lease has expired.
    late_ends: BTreeSet<u64>,
    /// The last end that the current life has confirmed to have forgotten.
    acknowledged_end: u64,
    /// Whether a poll is needed although no run is known.
    poll_wanted: bool,
    /// The poll that wasn't answered yet.
    pending_poll: Option<PendingPoll>,
    /// When the last poll was sent that the current life has answered.
    listed_at: Time,
    /// When a call last failed.
    failed_at: Time,
    backoff: Backoff,
    next_poll: Time,
    last_answer: Time,
}

impl State {
    /// Returns the state of a newly claimed endpoint. Runs that are handed over with it are added by
    /// [`State::adopt`].
    pub fn new(listing: Listing, token: Token, now: Time) -> Self {
        Self {
            free: listing.capacity,
            kind: Kind::of(&listing),
            speed_ratio: 1.0,
            completions: Vec::new(),
            speed_void: false,
            life: listing.life,
            life_since: Time::default(),
            unconfirmed_crashes: Vec::new(),
            listing,
            delisted: false,
            evacuated: false,
            refuses_connections: false,
            token,
            token_used: false,
            late_starts_until: Time::default(),
            claimed_at: now,
            standing: Standing::Claimed,
            executions: BTreeMap::new(),
            ejected_until: Time::default(),
            failures: (0, 0),
            next_ejection: EJECTION_TIME.0,
            probation: false,
            longest_progress_gap: None,
            last_progress: now,
            straggler: Detector::default(),
            unknown_runs: BTreeSet::new(),
            reading: None,
            leases_end: now + LEASE + Span::millis(50),
            last_end: 0,
            unstored_ends: BTreeSet::new(),
            late_ends: BTreeSet::new(),
            acknowledged_end: 0,
            poll_wanted: false,
            pending_poll: None,
            listed_at: Time::default(),
            failed_at: Time::default(),
            backoff: Backoff::default(),
            next_poll: now,
            last_answer: Time::default(),
        }
    }

    /// Returns whether a task may start here now.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.standing == Standing::Open
            && self.is_in_service()
            && self.reading.is_some()
            && now >= self.ejected_until
            && self.late_ends.is_empty()
            && (!self.probation || self.executions.is_empty())
            && !self.has_strong_suspect()
            && self.licenses_end() >= now + START_LEASE
    }

    /// Returns whether the endpoint is neither draining nor delisted nor evacuated.
    fn is_in_service(&self) -> bool {
        !self.listing.draining && !self.delisted && !self.evacuated
    }

    /// Returns whether a task with this need and label could ever run here.
    pub fn can_run(&self, need: &Resources, label: Option<&String>) -> bool {
        self.is_in_service() && self.has_label(label) && self.listing.capacity.fits(need)
    }

    /// Returns whether it has the label, according to the platform's entry.
    pub fn has_label(&self, label: Option<&String>) -> bool {
        label.is_none_or(|label| self.listing.labels.contains(label))
    }

    /// Returns whether its labels are known, if there is one that it must have: the platform's entry is of the current life. A later
    /// life may be of another kind.
    pub fn is_label_known(&self, label: Option<&String>) -> bool {
        label.is_none() || !self.listing.life.is_before(self.life)
    }

    /// Returns whether it answered any call recently.
    pub fn has_answered_recently(&self, now: Time) -> bool {
        now.since(self.last_answer) < RECENT_ANSWER
    }

    /// Makes a poll due now if an open endpoint hasn't answered recently.
    pub fn poll_if_stale(&mut self, now: Time) {
        if self.standing == Standing::Open && !self.has_answered_recently(now) {
            self.next_poll = now;
            self.poll_wanted = true;
        }
    }

    /// Adds a run that the former owner started with this token or a lower one. Its start may still be in transit.
    pub fn adopt(&mut self, task: TaskId, mut execution: Execution, token: Token) {
        execution.phase = Phase::Running;
        execution.unsettled = Some(token);
        self.add(task, execution);
    }

    fn add(&mut self, task: TaskId, execution: Execution) {
        self.free.subtract(&execution.need);
        self.executions.insert(task, execution);
    }

    /// Adds a run and returns the order to start it, or `None` without a reading of the endpoint's clock.
    pub fn start(
        &mut self,
        task: TaskId,
        mut execution: Execution,
        spec: String,
        now: Time,
    ) -> Option<Order> {
        let run = execution.run;
        execution.reached = self.has_answered_recently(now);
        execution.started_at = Some(now);
        self.add(task, execution);
        self.next_poll = self.next_poll.min(now);
        self.start_order(task, run, spec, now)
    }

    /// Returns the order to start a run. It may be sent repeatedly: an endpoint accepts it once.
    pub fn start_order(
        &mut self,
        task: TaskId,
        run: Run,
        spec: String,
        now: Time,
    ) -> Option<Order> {
        let lease = self.grant_lease(START_LEASE, now)?;
        if let Some(execution) = self.executions.get_mut(&task) {
            execution.unsettled = Some(self.token);
        }
        self.token_used = true;
        Some(Order::Start {
            task,
            run,
            spec,
            lease,
            token: self.token,
        })
    }

    /// Marks a run as stopping and returns the order to stop it, or `None` if it is stopping already or unknown.
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
        execution.sends = 0;
        execution.answered_at = None;
        execution.retry_at = None;
        let run = execution.run;
        Some(self.stop_order(Name::Known(task), run))
    }

    /// Returns the order to stop a run.
    pub fn stop_order(&self, task: Name, run: Run) -> Order {
        Order::Stop {
            task,
            run,
            token: self.token,
        }
    }

    /// Returns when all leases that the endpoint may have been given have expired.
    pub fn leases_end(&self) -> Time {
        self.leases_end
    }

    /// Updates until when leases may last on account of each run; `license_end` returns `None` where that doesn't change.
    pub fn update_licenses(&mut self, license_end: impl Fn(&Execution) -> Option<Time>) {
        for execution in self.executions.values_mut() {
            if let Some(end) = license_end(execution) {
                execution.license_end = end;
            }
        }
    }

    /// Returns until when leases may last: they are shared by all runs here. A run ends soon after its stop was confirmed, whatever
    /// the lease is.
    fn licenses_end(&self) -> Time {
        let is_stopped = |execution: &&Execution| {
            execution.phase == Phase::Stopping && execution.answered_at.is_some()
        };
        let runs = self.executions.values().filter(|run| !is_stopped(run));
        let ends = runs.map(|run| run.license_end);
        ends.min().unwrap_or(Time(u64::MAX))
    }

    /// Returns a lease that ends `span` from now on the endpoint's clock, or earlier if a license does, and records its expiry.
    fn grant_lease(&mut self, span: Span, now: Time) -> Option<u64> {
        let reading = self.reading?;
        let until = reading.latest_clock(now) + span.as_millis();
        let until = match self.licenses_end() {
            Time(u64::MAX) => until,
            end => until.min(reading.deadline_before(end)?),
        };
        self.leases_end = self.leases_end.max(reading.expiry(until));
        Some(until)
    }

    /// Returns the poll that is due, or `None`.
    ///
    /// A poll extends the lease of every run on the endpoint, those of a dead instance included. So it carries a
    /// lease only if all runs are known and all stops are confirmed.
    pub fn poll(&mut self, call: CallId, now: Time) -> Option<Order> {
        if self.pending_poll.is_some() || now < self.next_poll {
            return None;
        }
        self.release_late_ends(now);
        let idle = self.executions.is_empty() && self.standing == Standing::Open;
        let acknowledged = self.acknowledged_end >= self.last_forgettable_end();
        let reading_recent = self
            .reading
            .is_some_and(|r| now.since(r.received) < POLL_IDLE);
        let is_watched = self.expects_late_starts(now);
        if idle && acknowledged && reading_recent && !self.poll_wanted && !is_watched {
            // No poll is due before a start, or before the reading of its clock is too old, unless late ends are released earlier.
            let outdated = self.reading.map_or(now, |r| r.received + POLL_IDLE);
            self.next_poll = match self.late_ends.is_empty() {
                true => outdated,
                false => outdated.min(self.late_release()),
            };
            return None;
        }
        let stop_unconfirmed = |execution: &Execution| {
            execution.phase == Phase::Stopping && execution.answered_at.is_none()
        };
        let extend = self.standing == Standing::Open
            && !idle
            && self.unknown_runs.is_empty()
            && !self.executions.values().any(stop_unconfirmed);
        let lease = match extend {
            true => self.grant_lease(LEASE, now),
            false => None,
        };
        // An answer at once would be followed by the next poll at once.
        let wait = match extend || (idle && is_watched) {
            true => POLL_WAIT,
            false => Span(0),
        };
        self.poll_wanted = false;
        let acknowledgement = self.next_acknowledgement();
        self.pending_poll = Some(PendingPoll {
            call,
            token: self.token,
            acknowledgement,
        });
        self.token_used |= lease.is_some() || acknowledgement.is_some();
        Some(Order::Poll {
            lease,
            token: self.token,
            acknowledged: acknowledgement.map_or(0, Acknowledgement::serial),
            wait,
        })
    }

    /// Returns the serial number up to which the endpoint may forget ends.
    fn last_forgettable_end(&self) -> u64 {
        self.unstored_ends
            .first()
            .map_or(self.last_end, |held| held - 1)
    }

    /// Lets the endpoint forget an end of the given life.
    pub fn on_end_stored(&mut self, life: Life, serial: u64, now: Time) {
        if life == self.life && self.unstored_ends.remove(&serial) {
            self.next_poll = self.next_poll.min(now);
        }
    }

    /// Lets the endpoint forget a late end after its lease has expired. It gets no new task until then, so that the
    /// lease isn't extended.
    pub fn on_late_end_stored(&mut self, life: Life, serial: u64) {
        if life == self.life && self.unstored_ends.contains(&serial) {
            self.late_ends.insert(serial);
            self.next_poll = self.next_poll.min(self.late_release());
        }
    }

    /// Returns when late ends are released if no lease is extended.
    fn late_release(&self) -> Time {
        self.leases_end + Span(1)
    }

    /// Releases the late ends once the lease has expired.
    fn release_late_ends(&mut self, now: Time) {
        if !self.late_ends.is_empty() && now > self.leases_end {
            for serial in std::mem::take(&mut self.late_ends) {
                self.unstored_ends.remove(&serial);
            }
        }
    }

    /// Returns the tasks of the runs that it lists and this owner doesn't know.
    pub fn tasks_of_unknown_runs(&self) -> Vec<TaskId> {
        let names = self.unknown_runs.iter();
        names.filter_map(|(name, _)| name.known()).collect()
    }

    /// Returns when the next poll is due at the latest.
    pub fn next_poll(&self) -> Time {
        self.next_poll
    }

    /// Handles an answer to a start or a stop; `clock` is the endpoint's, in ms. Ignored if the call was sent to
    /// a former life. Returns the events of a restart if the clock shows one.
    pub fn on_answer(&mut self, clock: u64, sent: Time, now: Time) -> Option<Vec<Event>> {
        if !self.is_current(sent) {
            return None;
        }
        let events = self.detect_restart(clock, sent, now);
        self.record_answer(clock, sent, now);
        events
    }

    fn record_answer(&mut self, clock: u64, sent: Time, now: Time) {
        self.last_answer = now;
        self.refuses_connections = false;
        self.backoff.reset();
        let outdated = |r: Reading| now.since(r.received) > Span::seconds(1);
        let narrower = |r: Reading| now.since(sent) <= r.received.since(r.sent);
        if self.reading.is_none_or(|r| outdated(r) || narrower(r)) {
            self.reading = Some(Reading {
                clock,
                sent,
                received: now,
            });
        }
    }

    /// Handles the answer to a poll. Returns events for the owner, and unknown runs to stop.
    pub fn on_poll_answer(
        &mut self,
        call: CallId,
        sent: Time,
        lists: Lists,
        now: Time,
    ) -> (Vec<Event>, Vec<(Name, Run)>) {
        let poll = self.take_pending_poll(call);
        if self.is_former(lists.life, sent) {
            self.next_poll = now;
            return (Vec::new(), Vec::new());
        }
        let is_same = lists.life == self.life;
        let mut events = match lists.life.is_known() {
            true => self.update_life(lists.life, now),
            false => self
                .detect_restart(lists.clock, sent, now)
                .unwrap_or_default(),
        };
        if is_same {
            events.extend(self.rule_out_crashes());
        }
        self.record_answer(lists.clock, sent, now);
        self.listed_at = self.listed_at.max(sent);
        if let Some(acknowledgement) = poll.and_then(|poll| poll.acknowledgement) {
            self.on_acknowledged(acknowledgement);
        }
        let Lists { running, ended, .. } = lists;
        for end in ended {
            if end.serial > self.last_end {
                self.last_end = end.serial;
                self.process_end(&end, &mut events, now);
            }
        }
        let mut listed = HashSet::with_capacity(running.len());
        let mut unknown = BTreeSet::new();
        for entry in running {
            match &entry.task {
                Name::Known(task) if self.has_run(task, entry.run) => {
                    listed.insert(*task);
                    self.on_listed(task);
                    self.update_progress(task, entry.percent, now, &mut events);
                }
                _ => {
                    unknown.insert((entry.task, entry.run));
                }
            }
        }
        let token = poll.map(|poll| poll.token).unwrap_or_default();
        self.settle_listed(&listed, token, now);
        // A task with an unknown run here counts as listed: it must not start elsewhere beside that run.
        listed.extend(unknown.iter().filter_map(|(name, _)| name.known()));
        self.remove_unlisted(&listed, sent, token, &mut events);
        let runs = self.executions.iter();
        let runs = runs.filter(|(_, run)| run.phase == Phase::Running);
        let runs = runs.map(|(task, run)| (task.job, &run.pace));
        events.extend(self.straggler.review(runs, now).map(Event::Pace));
        let to_stop: Vec<_> = unknown.iter().cloned().collect();
        self.unknown_runs = unknown;
        let all_known = self.unknown_runs.is_empty();
        self.standing = match all_known {
            true => Standing::Open,
            false => Standing::Claimed,
        };
        self.next_poll = match (all_known, self.unstored_ends.is_empty()) {
            (true, true) => now,
            // The list has an end, so that the endpoint answers without waiting.
            (true, false) => now + POLL_UNSTORED,
            (false, _) => now + POLL_RETRY,
        };
        (events, to_stop)
    }

    /// Records a run's progress, and finds whether it is stalled.
    fn update_progress(
        &mut self,
        task: &TaskId,
        percent: Option<u8>,
        now: Time,
        events: &mut Vec<Event>,
    ) {
        let Some(execution) = self.executions.get_mut(task) else {
            return;
        };
        if execution.phase != Phase::Running {
            return;
        }
        self.straggler.on_listed(&mut execution.pace, percent, now);
        let Some(percent) = percent else {
            return;
        };
        if let Some(gap) = execution.progress.record(percent, now) {
            self.last_progress = now;
            self.longest_progress_gap = self.longest_progress_gap.max(Some(gap));
        }
        if execution
            .progress
            .is_stalled(self.longest_progress_gap, now)
        {
            events.push(Event::Stalled(*task, execution.batch));
        }
    }

    fn has_run(&self, task: &TaskId, run: Run) -> bool {
        self.executions
            .get(task)
            .is_some_and(|execution| execution.run == run)
    }

    /// Handles an end that a poll lists for the first time.
    fn process_end(&mut self, end: &Ended, events: &mut Vec<Event>, now: Time) {
        let Name::Known(task) = &end.task else {
            return;
        };
        let has_result = matches!(end.end, End::Done | End::Failed);
        let event = |batch| Event::Ended {
            task: *task,
            run: end.run,
            done: end.end == End::Done,
            serial: end.serial,
            batch,
        };
        if !self.has_run(task, end.run) {
            // Another instance started it and died before it learned of this end.
            if has_result {
                self.unstored_ends.insert(end.serial);
                events.push(event(None));
            }
            return;
        }
        let Some(execution) = self.remove(task) else {
            return;
        };
        match end.end {
            End::Done => {
                self.straggler.on_done(task.job, execution.pace, now);
                self.record_success(now);
                self.completions.extend(execution.completion(now));
            }
            End::Failed => self.record_failure(task.job.0, now),
            _ => {}
        }
        if execution.stored && has_result {
            self.unstored_ends.insert(end.serial);
            events.push(event(Some(execution.batch)));
            return;
        }
        events.push(match (end.end, execution.fate) {
            (_, Fate::Drop) => Event::Discarded(execution.loss(*task, Reason::Ended)),
            (End::Done, _) => Event::Done(*task, execution.batch, end.run, end.serial),
            (End::Failed, _) => Event::Failed(*task, execution.batch),
            _ => Event::Lost(execution.loss(*task, Reason::Unlisted)),
        });
    }

    /// Removes runs that the answer to a poll with this token doesn't list, and that can't begin any more: they were confirmed before
    /// the poll was sent, or their starts are barred by its token.
    fn remove_unlisted(
        &mut self,
        listed: &HashSet<TaskId>,
        sent: Time,
        token: Token,
        events: &mut Vec<Event>,
    ) {
        self.retry_barred_starts(listed, token);
        let unlisted = |(task, execution): (&TaskId, &Execution)| {
            let confirmed = execution.answered_at.is_some_and(|at| at < sent);
            let over = confirmed || execution.is_barred_by(token) && !execution.may_be_resent();
            (over && !listed.contains(task)).then_some(*task)
        };
        let unlisted: Vec<TaskId> = self.executions.iter().filter_map(unlisted).collect();
        for task in unlisted {
            self.remove_lost(task, Reason::Unlisted, events);
        }
    }

    /// Removes a run of which no start was carried out or can be.
    pub fn remove_unsent(&mut self, task: TaskId, events: &mut Vec<Event>) {
        if let Some(execution) = self.executions.get_mut(&task) {
            execution.unsettled = None;
        }
        self.remove_lost(task, Reason::Unsent, events);
    }

    /// Removes a run that ended without a result.
    pub fn remove_lost(&mut self, task: TaskId, reason: Reason, events: &mut Vec<Event>) {
        if let Some(execution) = self.remove(&task) {
            let batch = execution.batch;
            let loss = execution.loss(task, reason);
            events.push(match (execution.fate, execution.lost_in_crash) {
                (Fate::Drop, _) => Event::Discarded(loss),
                (Fate::Restart, None) => Event::Lost(loss),
                (Fate::Restart, Some(sole)) => {
                    let crash = Crash { task, batch, sole };
                    Event::Crashed(crash, loss)
                }
            });
        }
    }

    fn remove(&mut self, task: &TaskId) -> Option<Execution> {
        let execution = self.executions.remove(task)?;
        self.update_free();
        Some(execution)
    }

    /// Updates the platform's entry. A changed capacity changes the free room, so that no start exceeds the
    /// capacity of an endpoint that doesn't enforce it.
    pub fn update_listing(&mut self, listing: Listing) {
        self.delisted = false;
        self.listing = listing;
        let kind = Kind::of(&self.listing);
        self.speed_void |= kind != self.kind;
        self.kind = kind;
        self.update_free();
    }

    /// Returns the time that runs take here, relative to their estimates, as far as is known.
    pub fn predicted_ratio(&self) -> f64 {
        self.speed_ratio * self.slowdown().factor()
    }

    /// Returns the speed class that is announced.
    pub fn speed_class(&self) -> u8 {
        speed::class(self.predicted_ratio())
    }

    /// Returns how long it takes until there is room for `need`, if the runs end as expected; `None` if there never is.
    pub fn opens_in(&self, need: &Resources, now: Time) -> Option<Span> {
        let mut ends: Vec<(Span, Resources)> = self
            .executions
            .values()
            .map(|execution| {
                (
                    execution.remaining(self.predicted_ratio(), now),
                    execution.need,
                )
            })
            .collect();
        ends.sort_by_key(|(remaining, _)| *remaining);
        let mut free = self.free;
        if free.fits(need) {
            return Some(Span(0));
        }
        ends.into_iter().find_map(|(remaining, released)| {
            free.add(&released);
            free.fits(need).then_some(remaining)
        })
    }

    /// Returns the runs that are done since the last call, and whether what was learnt about the speed before them is void.
    pub fn take_completions(&mut self) -> (bool, Vec<Completion>) {
        let void = std::mem::take(&mut self.speed_void);
        (void, std::mem::take(&mut self.completions))
    }

    /// Recalculates the free room. A run that is being stopped takes its room until the endpoint lists its end.
    fn update_free(&mut self) {
        let mut free = self.listing.capacity;
        for execution in self.executions.values() {
            free.subtract(&execution.need);
        }
        self.free = free;
    }

    /// Records that a start was confirmed. One that was sent to a former life is still in doubt: the lease that this one granted for it
    /// isn't known, and calls to the former one may extend it.
    pub fn on_started(&mut self, task: &TaskId, run: Run, sent: Time, now: Time) {
        let is_current = self.is_current(sent);
        if let Some(execution) = self.executions.get_mut(task) {
            if execution.run == run && !execution.duplicate_possible && is_current {
                execution.unsettled = None;
            }
            if execution.run == run && execution.phase == Phase::Starting {
                execution.phase = Phase::Running;
                execution.answered_at = Some(now);
                execution.reached = true;
                execution.pace.start(now);
            }
        }
    }

    /// Returns how many times slower than its kind it is.
    pub fn slowdown(&self) -> Slowdown {
        self.straggler.slowdown()
    }

    /// Returns the free room as entries are told of it: that of a slow endpoint counts for as much as it gets done, so that tasks go
    /// to other racks while these have room. The endpoint itself still takes what fits into all of its free room.
    pub fn worthwhile_room(&self) -> Resources {
        Resources {
            cpu: (self.free.cpu as f64 / self.slowdown().factor()) as u64,
            ..self.free
        }
    }

    /// Returns the preference for a task that has to start by `due` to be on time, as far as slowness decides.
    pub fn preference(&self, estimate: Span, due: Time, now: Time) -> Preference {
        let is_idle = self.executions.is_empty();
        self.straggler.preference(estimate, due, is_idle, now)
    }

    /// Sets how long runs of its kind take.
    pub fn set_norm(&mut self, norm: Norm) {
        self.straggler.set_norm(norm);
    }

    /// Returns the runs that are done since the last call, for the norm of its kind.
    pub fn take_run_times(&mut self) -> Vec<RunTime> {
        self.straggler.take_run_times()
    }

    /// Returns the runs here that may be moved, with the time that they still need: none unless the endpoint is slow.
    pub fn project_runs(&self, now: Time) -> Vec<(TaskId, Handle, Projection)> {
        let movable = |run: &Execution| {
            run.phase == Phase::Running && run.fate == Fate::Restart && !run.suspicion.is_present()
        };
        let runs = self.executions.iter().filter(|(_, run)| movable(run));
        let projected = |(task, run): (&TaskId, &Execution)| {
            let projection = self.straggler.project(&run.pace, now)?;
            Some((*task, run.batch, projection))
        };
        runs.filter_map(projected).collect()
    }

    /// Records that a stop was confirmed: the endpoint won't start the run any more, and the next poll doesn't
    /// list it. What a former life confirmed bars nothing in this one.
    pub fn on_stopped(&mut self, task: &TaskId, run: Run, sent: Time, now: Time) {
        let is_current = self.is_current(sent);
        if let Some(execution) = self.executions.get_mut(task) {
            if execution.run != run || execution.phase != Phase::Stopping {
                return;
            }
            match is_current || execution.unsettled.is_none() {
                true => execution.answered_at = Some(now),
                false => execution.retry_at = Some(now),
            }
            self.next_poll = now;
        }
    }

    /// Records a call without an answer, or with a malformed one.
    pub fn on_unanswered(&mut self, reply: &Reply, now: Time) {
        self.failed_at = now;
        self.refuses_connections = *reply == Reply::Unsent;
        self.backoff.record_failure();
    }

    /// Schedules a retry of a run's start or stop after a backoff.
    pub fn schedule_retry(&mut self, task: TaskId, now: Time) {
        let at = now + self.backoff.delay(&self.listing.id);
        if let Some(execution) = self.executions.get_mut(&task) {
            execution.retry_at = Some(at);
        }
    }

    /// Returns the tasks whose start or stop is due to be resent, and clears their retries.
    pub fn take_due_retries(&mut self, now: Time) -> Vec<TaskId> {
        let mut due = Vec::new();
        for (task, execution) in &mut self.executions {
            if execution.retry_at.is_some_and(|at| at <= now) {
                execution.retry_at = None;
                due.push(*task);
            }
        }
        due
    }

    /// Handles a poll without an answer. The endpoint becomes silent unless it answered another call recently.
    pub fn on_poll_unanswered(&mut self, call: CallId, now: Time) {
        if let Some(poll) = self.take_pending_poll(call) {
            self.next_poll = match self.standing {
                Standing::Open if self.backoff.is_first() => now,
                _ => now + self.poll_delay(now),
            };
            let answered = now.since(self.last_answer) < ANSWER_GRACE;
            self.standing = match self.standing {
                Standing::Open if !answered => Standing::Silent,
                other => other,
            };
            // The acknowledgement may still be carried out, by a later life too.
            if self.standing != Standing::Open || poll.acknowledgement.is_some() {
                self.raise_token();
            }
        }
    }

    /// Returns the pending poll if it's this one, which is no longer pending then.
    fn take_pending_poll(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending_poll.take_if(|pending| pending.call == call)
    }

    /// Handles a refused poll.
    pub fn on_poll_refused(&mut self, call: CallId, now: Time) {
        if self.take_pending_poll(call).is_some() {
            self.next_poll = now + POLL_RETRY;
        }
    }

    /// Removes all runs as ended without a result.
    fn remove_all(&mut self, reason: Reason, events: &mut Vec<Event>) {
        let tasks: Vec<TaskId> = self.executions.keys().copied().collect();
        for task in tasks {
            self.remove_lost(task, reason, events);
        }
    }

    /// Pauses placement on an endpoint that refuses a start as unwell.
    pub fn on_unwell(&mut self, now: Time) {
        self.ejected_until = self.ejected_until.max(now + UNWELL_PAUSE);
    }

    /// Pauses placement on an endpoint that reports no room, and polls it for its runs.
    pub fn on_full(&mut self, now: Time) {
        self.ejected_until = self.ejected_until.max(now + FULL_PAUSE);
        self.next_poll = now;
        self.poll_wanted = true;
    }

    fn record_success(&mut self, now: Time) {
        self.last_progress = now;
        self.failures = (0, 0);
        self.probation = false;
        self.next_ejection = EJECTION_TIME.0;
    }

    /// Records a failed run. Consecutive failures of one job count once: a job that fails everywhere is no sign
    /// of a faulty endpoint.
    fn record_failure(&mut self, job: u64, now: Time) {
        if self.failures.1 == job {
            return;
        }
        self.failures = (self.failures.0 + 1, job);
        if self.failures.0 >= EJECTION_FAILURES || self.probation {
            self.eject(now);
        }
    }

    /// Ejects the endpoint for a time, and puts it on probation afterwards.
    pub fn eject(&mut self, now: Time) {
        self.ejected_until = now + self.next_ejection;
        self.next_ejection = Span((self.next_ejection.0 * 2).min(EJECTION_TIME.1 .0));
        self.probation = true;
    }

    /// Returns whether the endpoint isn't ejected, and none of its runs has made progress within the task's stall
    /// timeout.
    pub fn is_stalled(&self, task: &TaskId, now: Time) -> bool {
        let run = self.executions.get(task);
        let timeout = run.and_then(|run| run.progress.stall_timeout(self.longest_progress_gap));
        now >= self.ejected_until
            && timeout.is_some_and(|span| now.since(self.last_progress) > span)
    }

    /// Handles a refused start, and returns what the owner has to do.
    pub fn on_start_refused(
        &mut self,
        task: TaskId,
        run: Run,
        refusal: Refusal,
        now: Time,
    ) -> Reaction {
        let Some(execution) = self.executions.get_mut(&task) else {
            return Reaction::Ignore;
        };
        if execution.run != run || execution.phase != Phase::Starting {
            return Reaction::Ignore;
        }
        if refusal == Refusal::Fenced {
            return Reaction::Yield;
        }
        if execution.duplicate_possible && refusal == Refusal::Old {
            // An earlier copy of the start was accepted, and its run may have ended. The next poll lists its state.
            execution.phase = Phase::Running;
            execution.answered_at = Some(now);
            self.next_poll = now;
            return Reaction::Ignore;
        }
        if execution.duplicate_possible {
            // An earlier copy may still arrive, and only a stop prevents that.
            return Reaction::Stop;
        }
        let batch = execution.batch;
        let next = match refusal {
            Refusal::Old => run.skip_ahead(),
            _ => run,
        };
        self.remove(&task);
        match refusal {
            Refusal::Full => self.on_full(now),
            Refusal::Late => self.reading = None,
            _ => {}
        }
        self.next_poll = now;
        Reaction::Requeue(batch, next)
    }
}

/// What an owner has to do after a refused start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Nothing.
    Ignore,
    /// Stop the run before the task is placed again.
    Stop,
    /// Queue the task again, with this run number.
    Requeue(Handle, Run),
    /// Yield the rack: another owner has a higher fencing token.
    Yield,
}
