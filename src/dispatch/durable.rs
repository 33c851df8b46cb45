//! Jobs that are stored: their shards, and what an instance that coordinates some of them keeps and writes.
//!
//! A shard's coordinator is the only one that writes its rows: each write is guarded by the version of the shard's lock
//! row, which the next coordinator changes first. What was accepted, and how each run ended, is answered to callers
//! and endpoints only when it is written, so that nothing but the store has to survive.

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
        answer,
        Phase,
        Shard, //
    },
};
use super::{
    id::{
        JobId,
        ShardId,
        TaskId, //
    },
    message::{
        Contact,
        Coordination,
        Knowledge,
        Output,
        Question,
        Record,
        RunEnd,
        StoreCallId,
        StoreReply,
        Verdict, //
    },
    owner::Effects,
    task::AcceptedJob, //
};
use crate::prelude::*;

/// How long a coordinator that has lost a member may go on without having found its lock unchanged: the member may live,
/// and have taken the shard over.
const CONFIDENCE: Span = Span::millis(1_000);

/// How long after the loss of a member it may still take over: it is forgotten after that.
const SUSPICION: Span = Span::seconds(30);

/// How long an instance leaves a shard alone that another one took over which it doesn't hear: the two sides of a cut
/// between instances must not take it from each other by turns, since nothing runs for the shard's `DOUBT` after each time.
const TAKEN: Span = Span::seconds(8);

/// What the dispatcher must do with a job's tasks.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run what is not done, from a time on.
    Run(JobId, Time),
    /// A task is done.
    TaskDone(TaskId),
    /// A run of a task failed, and it may run again. The batch is the run's, if this instance has it out.
    TaskFailed(TaskId, Option<u64>),
    /// Stop all of a job that runs, and forget it.
    Release(JobId),
}

/// All shards that this instance coordinates.
#[derive(Debug)]
pub struct Coordinator {
    /// Names one life of the instance in lock rows.
    own: String,
    shards: BTreeMap<ShardId, Shard>,
    calls: HashMap<StoreCallId, ShardId>,
    serial: u64,
    /// When a member was lost last.
    lost: Option<Time>,
    /// Shards that another instance took over, with the time of that.
    taken: BTreeMap<ShardId, Time>,
}

impl Coordinator {
    /// Makes one that coordinates nothing; `own` tells one life of an instance from all others.
    pub fn new(own: impl Into<String>) -> Self {
        Self {
            own: own.into(),
            shards: BTreeMap::new(),
            calls: HashMap::new(),
            serial: 0,
            lost: None,
            taken: BTreeMap::new(),
        }
    }

    /// Returns the shards that it coordinates, for the others to know.
    pub fn coordinations(&self) -> Vec<Coordination> {
        let coordination = |(shard, state): (&ShardId, &Shard)| Coordination {
            shard: *shard,
            knowledge: state.knowledge(),
        };
        self.shards.iter().map(coordination).collect()
    }

    /// Returns what it knows of a shard, if it coordinates it.
    pub fn knowledge(&self, shard: ShardId) -> Option<Knowledge> {
        self.shards.get(&shard).map(Shard::knowledge)
    }

    /// Begins to coordinate a shard that nobody is heard to coordinate.
    pub fn claim(&mut self, shard: ShardId, now: Time) {
        if self
            .taken
            .get(&shard)
            .is_some_and(|at| now.since(*at) < TAKEN)
        {
            return;
        }
        self.shards.entry(shard).or_insert_with(|| Shard::new(now));
    }

    /// Gives a shard up; its jobs are stopped here, and run on at its next coordinator.
    pub fn release(&mut self, shard: ShardId, why: &str, out: &mut Effects) -> Vec<Action> {
        let Some(state) = self.shards.remove(&shard) else {
            return Vec::new();
        };
        if state.phase != Phase::Empty && state.phase != Phase::Reading {
            let entry = Record::new("shard_released").with("shard", shard.to_string());
            out.outputs.push(Output::Log(entry.with("reason", why)));
        }
        self.calls.retain(|_, of| *of != shard);
        state.jobs.keys().copied().map(Action::Release).collect()
    }

    /// Gives all shards up, after the process stood still.
    pub fn release_all(&mut self, out: &mut Effects) -> Vec<Action> {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let release = |shard| self.release(shard, "the process stood still", out);
        shards.into_iter().flat_map(release).collect()
    }

    /// Takes note that a member was lost, or coordinates the same shard: it may live, and take shards over.
    pub fn require_lock_checks(&mut self, now: Time) {
        let already = self.suspicious(now);
        self.lost = Some(now);
        for shard in self.shards.values_mut() {
            if !already {
                // Before, nothing had to be confirmed.
                shard.confirmed = now;
            }
        }
    }

    /// Looks again at shards that it found empty: a member that is heard again may have stored the first job meanwhile, and
    /// have given the shard up. It would be run by nobody.
    pub fn recheck_empty(&mut self) {
        for shard in self.shards.values_mut() {
            if shard.phase == Phase::Empty {
                shard.phase = Phase::Reading;
            }
        }
    }

    fn suspicious(&self, now: Time) -> bool {
        self.lost.is_some_and(|at| now.since(at) < SUSPICION)
    }

    /// Answers a caller's request, or takes it up.
    pub fn on_request(
        &mut self,
        from: &Contact,
        serial: u64,
        job: JobId,
        question: Question,
        now: Time,
        out: &mut Effects,
    ) -> Option<Action> {
        let Some(shard) = self.shards.get_mut(&job.shard()) else {
            answer(from, serial, Verdict::Unready, out);
            return None;
        };
        match question {
            Question::Accept(record) => shard.accept(from, serial, job, record, now, out),
            Question::Cancel => return shard.cancel(from, serial, job, out),
            Question::State => shard.state(from, serial, job, out),
        }
        None
    }

    /// Returns the stored state of a job, unless it has changed and that isn't stored yet.
    pub fn stored_state(&self, job: JobId) -> Option<State> {
        let job = self.shards.get(&job.shard())?.jobs.get(&job)?;
        job.shown.filter(|state| *state == job.progress.state)
    }

    /// Tells whether it knows a job, stored or about to be.
    pub fn contains(&self, job: JobId) -> bool {
        let shard = self.shards.get(&job.shard());
        shard.is_some_and(|shard| shard.jobs.contains_key(&job))
    }

    /// Returns what was asked for, and how far it has come, of a job that has not ended.
    pub fn open_job(&self, job: JobId) -> Option<(&AcceptedJob, &Progress)> {
        let job = self.shards.get(&job.shard())?.jobs.get(&job)?;
        Some((job.record.as_deref()?, &job.progress))
    }

    /// Takes note of the end of a run, and tells what follows; its endpoint forgets it when that is stored.
    ///
    /// `batch` is the run's, if this instance has it out.
    pub fn on_run_end(
        &mut self,
        from: &Contact,
        end: &RunEnd,
        batch: Option<u64>,
        out: &mut Effects,
    ) -> Option<Action> {
        let shard = self.shards.get_mut(&end.task.job.shard())?;
        shard.ended(from, end, batch, out)
    }

    /// Takes note that endpoints crash under a task of a job, so that it has failed.
    pub fn fail_job(&mut self, job: JobId) -> Option<Action> {
        self.shards.get_mut(&job.shard())?.fail(job)
    }

    /// Does what is due: calls the store, forgets jobs that ended long ago, gives shards up that may be another's.
    pub fn run_due(&mut self, now: Time, out: &mut Effects) -> Vec<Action> {
        let suspicious = self.suspicious(now);
        let mut acts = Vec::new();
        let doubtful = |(shard, state): (&ShardId, &Shard)| {
            (state.loaded && now.since(state.confirmed) > CONFIDENCE).then_some(*shard)
        };
        if suspicious {
            let doubtful: Vec<ShardId> = self.shards.iter().filter_map(doubtful).collect();
            for shard in doubtful {
                acts.extend(self.release(shard, "its lock can't be confirmed", out));
            }
        }
        for (id, shard) in &mut self.shards {
            shard.expire(now);
            shard.refuse(now, out);
            let Some(request) = shard.due(*id, &self.own, suspicious, now) else {
                continue;
            };
            self.serial += 1;
            let call = StoreCallId(self.serial);
            shard.sent = Some(now);
            self.calls.insert(call, *id);
            out.outputs.push(Output::Store { call, request });
        }
        acts
    }

    /// Takes an answer of the store.
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
        let Some(sent) = shard.sent.take() else {
            return Vec::new();
        };
        let mut acts = Vec::new();
        let kept = match shard.phase {
            Phase::Reading | Phase::Checking | Phase::Empty => {
                shard.found(reply, &self.own, now, out)
            }
            Phase::Locking => shard.locked(reply, sent, now, out),
            Phase::Loading => shard.loaded(id, reply, now, &mut acts, out),
            Phase::Held => shard.written(reply, sent, now, &mut acts, out),
        };
        if !kept {
            self.taken.insert(id, now);
            acts.extend(self.release(id, "another coordinates it", out));
        }
        acts
    }
}
