//! Stored jobs: the shards that this instance coordinates, and what it reads and writes for them.
//!
//! Only a shard's coordinator writes its rows. Each write is conditional on the version of the shard's lock row, which
//! acts as a fencing token: the next coordinator changes it first. Accepted jobs and ends of runs are confirmed to
//! callers and endpoints only after they're written, so that nothing but the store has to survive a crash.

pub mod record;
mod shard;

use std::collections::{
    BTreeMap,
    HashMap, //
};

use self::{
    record::{
        Progress,
        State, //
    },
    shard::{
        send_verdict,
        Phase,
        Shard, //
    }, //
};
use super::{
    id::{
        JobId,
        RequestSerial,
        ShardId,
        TaskId, //
    },
    message::{
        Contact,
        Coordination,
        Knowledge,
        LogRecord,
        Output,
        Question,
        RunEnd,
        StoreCallId,
        StoreReply,
        Verdict, //
    },
    owner::Effects,
    task::AcceptedJob, //
};
use crate::prelude::*;

/// How long a lock check stays valid during [`LOCK_CHECK_PERIOD`]. After that the shard is released, since the lost member
/// may be alive and have taken it over.
const LOCK_VALIDITY: Span = Span::millis(1_000);

/// How long locks are checked after they were last required to be.
const LOCK_CHECK_PERIOD: Span = Span::seconds(30);

/// How long an instance doesn't claim a shard again after another one took it over. Without the delay, the two sides of a
/// network partition would take it from each other by turns, and each takeover pauses its jobs for `TAKEOVER_DELAY`.
const RECLAIM_DELAY: Span = Span::seconds(8);

/// An action that the dispatcher takes on a job or one of its tasks.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run the tasks that aren't done, from the given time on.
    Run(JobId, Time),
    /// A task is done. Carries the batch of the run, if it's outstanding here.
    TaskDone(TaskId, Option<u64>),
    /// A run of a task failed, and the task may be retried. Carries the batch of the run, if it's outstanding here.
    TaskFailed(TaskId, Option<u64>),
    /// Stop all runs of a job and drop it.
    Release(JobId),
}

/// The shards of stored jobs that this instance coordinates.
#[derive(Debug)]
pub struct Coordinator {
    /// The value that this process writes to lock rows. It identifies the instance and its incarnation.
    lock_owner: String,
    shards: BTreeMap<ShardId, Shard>,
    /// The shard of each outstanding call to the store.
    calls: HashMap<StoreCallId, ShardId>,
    /// The number of the last call to the store.
    last_call: u64,
    /// When a member was lost last, or a shard was found to have two coordinators.
    member_lost_at: Option<Time>,
    /// Shards that another instance took over, and when.
    taken_over: BTreeMap<ShardId, Time>,
}

impl Coordinator {
    /// Returns a coordinator without shards. `lock_owner` must be unique for each incarnation of each instance.
    pub fn new(lock_owner: impl Into<String>) -> Self {
        Self {
            lock_owner: lock_owner.into(),
            shards: BTreeMap::new(),
            calls: HashMap::new(),
            last_call: 0,
            member_lost_at: None,
            taken_over: BTreeMap::new(),
        }
    }

    /// Returns the shards that it coordinates, as announced in heartbeats.
    pub fn coordinations(&self) -> Vec<Coordination> {
        let coordination = |(shard, state): (&ShardId, &Shard)| Coordination {
            shard: *shard,
            knowledge: state.knowledge(),
        };
        self.shards.iter().map(coordination).collect()
    }

    /// Returns what it knows of a shard, or `None` if it doesn't coordinate it.
    pub fn knowledge(&self, shard: ShardId) -> Option<Knowledge> {
        self.shards.get(&shard).map(Shard::knowledge)
    }

    /// Starts to coordinate a shard that no live member announces, unless another instance took it over recently.
    pub fn claim(&mut self, shard: ShardId, now: Time) {
        if self
            .taken_over
            .get(&shard)
            .is_some_and(|at| now.since(*at) < RECLAIM_DELAY)
        {
            return;
        }
        self.shards.entry(shard).or_insert_with(|| Shard::new(now));
    }

    /// Releases a shard. Its jobs are stopped here and continue at its next coordinator.
    pub fn release(&mut self, shard: ShardId, reason: &str, out: &mut Effects) -> Vec<Action> {
        let Some(state) = self.shards.remove(&shard) else {
            return Vec::new();
        };
        if state.phase != Phase::Empty && state.phase != Phase::FindingLock {
            let entry = LogRecord::new("shard_released").with("shard", shard.to_string());
            out.outputs.push(Output::Log(entry.with("reason", reason)));
        }
        self.calls.retain(|_, of| *of != shard);
        state.jobs.keys().copied().map(Action::Release).collect()
    }

    /// Releases all shards. Called after the process was paused for so long that others may have taken them over.
    pub fn release_all(&mut self, out: &mut Effects) -> Vec<Action> {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let release = |shard| self.release(shard, "the process stood still", out);
        shards.into_iter().flat_map(release).collect()
    }

    /// Requires locks to be confirmed for `LOCK_CHECK_PERIOD` from now on.
    ///
    /// Called when a member was lost or coordinates the same shard: it may be alive and take shards over.
    pub fn require_lock_checks(&mut self, now: Time) {
        let active = self.are_locks_checked(now);
        self.member_lost_at = Some(now);
        for shard in self.shards.values_mut() {
            if !active {
                // Locks weren't checked until now, so the last confirmation may be old.
                shard.lock_confirmed = now;
            }
        }
    }

    /// Checks shards again that were found empty.
    ///
    /// Called when a member is heard again. It may have stored the shard's first job meanwhile and released the shard, and
    /// without the check nobody would run that job.
    pub fn recheck_empty(&mut self) {
        for shard in self.shards.values_mut() {
            if shard.phase == Phase::Empty {
                shard.phase = Phase::FindingLock;
            }
        }
    }

    /// Returns whether locks must be confirmed, since a member was lost recently.
    fn are_locks_checked(&self, now: Time) -> bool {
        self.member_lost_at
            .is_some_and(|at| now.since(at) < LOCK_CHECK_PERIOD)
    }

    /// Answers a request about a stored job, or starts to carry it out and answers later. Returns the action that follows.
    pub fn on_request(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        job: JobId,
        question: Question,
        now: Time,
        out: &mut Effects,
    ) -> Option<Action> {
        let Some(shard) = self.shards.get_mut(&job.shard()) else {
            send_verdict(from, serial, Verdict::Unready, out);
            return None;
        };
        match question {
            Question::Accept(record) => shard.accept(from, serial, job, record, now, out),
            Question::Cancel => return shard.cancel(from, serial, job, out),
            Question::State => shard.send_state(from, serial, job, out),
        }
        None
    }

    /// Returns the stored state of a job, or `None` if a change of it isn't stored yet.
    pub fn stored_state(&self, job: JobId) -> Option<State> {
        let job = self.shards.get(&job.shard())?.jobs.get(&job)?;
        job.stored_state
            .filter(|state| *state == job.progress.state)
    }

    /// Returns whether a job is stored in one of its shards, or is about to be.
    pub fn contains(&self, job: JobId) -> bool {
        let shard = self.shards.get(&job.shard());
        shard.is_some_and(|shard| shard.jobs.contains_key(&job))
    }

    /// Returns the request and the progress of a job that hasn't ended.
    pub fn open_job(&self, job: JobId) -> Option<(&AcceptedJob, &Progress)> {
        let job = self.shards.get(&job.shard())?.jobs.get(&job)?;
        Some((job.record.as_deref()?, &job.progress))
    }

    /// Records the end of a run and returns the action that follows. The endpoint is answered after the end is stored.
    ///
    /// `batch` is the batch of the run, if it's outstanding at this instance.
    pub fn on_run_end(
        &mut self,
        from: &Contact,
        end: &RunEnd,
        batch: Option<u64>,
        out: &mut Effects,
    ) -> Option<Action> {
        let shard = self.shards.get_mut(&end.task.job.shard())?;
        shard.on_run_end(from, end, batch, out)
    }

    /// Marks a job as failed because one of its tasks crashes endpoints, and returns the action that follows.
    pub fn fail_job(&mut self, job: JobId) -> Option<Action> {
        self.shards.get_mut(&job.shard())?.fail(job)
    }

    /// Calls the store, drops jobs that ended long ago, and releases shards whose locks can't be confirmed.
    pub fn run_due(&mut self, now: Time, out: &mut Effects) -> Vec<Action> {
        let check_locks = self.are_locks_checked(now);
        let mut actions = Vec::new();
        let unconfirmed = |(shard, state): (&ShardId, &Shard)| {
            (state.loaded && now.since(state.lock_confirmed) > LOCK_VALIDITY).then_some(*shard)
        };
        if check_locks {
            let unconfirmed: Vec<ShardId> = self.shards.iter().filter_map(unconfirmed).collect();
            for shard in unconfirmed {
                actions.extend(self.release(shard, "its lock can't be confirmed", out));
            }
        }
        for (id, shard) in &mut self.shards {
            shard.expire_jobs(now);
            shard.refuse_expired(now, out);
            let Some(request) = shard.next_request(*id, &self.lock_owner, check_locks, now) else {
                continue;
            };
            self.last_call += 1;
            let call = StoreCallId(self.last_call);
            shard.call_sent = Some(now);
            self.calls.insert(call, *id);
            out.outputs.push(Output::Store { call, request });
        }
        actions
    }

    /// Handles a reply of the store, and returns the actions that follow.
    pub fn on_store_reply(
        &mut self,
        call: StoreCallId,
        reply: StoreReply,
        now: Time,
        out: &mut Effects,
    ) -> Vec<Action> {
        let Some(id) = self.calls.remove(&call) else {
            return Vec::new();
        };
        let Some(shard) = self.shards.get_mut(&id) else {
            return Vec::new();
        };
        let Some(sent) = shard.call_sent.take() else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let kept = match shard.phase {
            Phase::FindingLock | Phase::CheckingLock | Phase::Empty => {
                shard.on_lock_row(reply, &self.lock_owner, now, out)
            }
            Phase::Locking => shard.on_lock_write(reply, sent, now, out),
            Phase::Loading => shard.on_rows(id, reply, now, &mut actions, out),
            Phase::Held => shard.on_held_reply(reply, sent, now, &mut actions, out),
        };
        if !kept {
            self.taken_over.insert(id, now);
            actions.extend(self.release(id, "another coordinates it", out));
        }
        actions
    }
}
