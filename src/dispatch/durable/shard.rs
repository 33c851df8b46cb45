//! The state of one shard of stored jobs at its coordinator.

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

use super::{
    super::{
        id::{
            JobId,
            Life,
            RequestSerial,
            ShardId, //
        },
        message::{
            Contact,
            Knowledge,
            LogRecord,
            Message,
            Output,
            RunEnd,
            StoreReply,
            StoreRequest,
            Verdict, //
        },
        owner::Effects,
        task::AcceptedJob, //
    },
    record::{
        self,
        progress_key,
        record_key,
        Progress,
        Row,
        State,
        LOCK_KEY, //
    },
    Action, //
};
use crate::prelude::*;

/// The interval between writes of one shard. With all shards busy it keeps the calls below the store's rate limit.
const WRITE_INTERVAL: Span = Span::millis(30);

/// Writes of one shard that may follow each other without [`WRITE_INTERVAL`] after a pause, so that nobody waits at low load.
const WRITE_BURST: u64 = 4;

/// How long a submitted job may wait until its shard is held. It covers a takeover and bounds how long a caller waits for an
/// unavailable store.
const ACCEPT_TIMEOUT: Span = Span::millis(300);

/// Jobs in one write. Each has up to two rows, and the store accepts a hundred entries in a call.
const MAX_JOBS_PER_WRITE: usize = 45;

/// The delay before a failed call to the store is retried.
const STORE_RETRY_DELAY: Span = Span::millis(100);

/// How long a new coordinator waits before it runs the open jobs of a shard. By then runs of the former coordinator have ended:
/// owners stop them after the heartbeat timeout, or when it releases the shard after [`super::LOCK_VALIDITY`]. The rest is a
/// margin for stop orders and for clocks of endpoints. Without the wait a task could run twice. A start without an answer that a
/// later life of an endpoint carries out isn't bounded by it.
const TAKEOVER_DELAY: Span = Span::millis(1_700);

/// The interval between checks of the lock while they're required and nothing is written.
const LOCK_CHECK_INTERVAL: Span = Span::millis(300);

/// How long the state of an ended job is kept for queries.
const ENDED_JOB_RETENTION: Span = Span::seconds(180);

/// Open jobs in one shard. More are rejected, which bounds the coordinator's memory.
const MAX_OPEN_JOBS: usize = 5_000;

/// A shard of stored jobs that this instance coordinates.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) phase: Phase,
    /// When the outstanding call to the store was sent. There is one at a time.
    pub(super) call_sent: Option<Time>,
    /// When the next call may be sent.
    pub(super) next_call: Time,
    /// The version of the lock row, or zero if there is none.
    pub(super) lock_version: u64,
    /// When the call was sent that last found the lock unchanged.
    pub(super) lock_confirmed: Time,
    /// Whether all rows have been read.
    pub(super) loaded: bool,
    /// The key of the last row that was read, after which the next page starts.
    pub(super) last_key: Option<String>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended, and when.
    pub(super) ended_jobs: VecDeque<(Time, JobId)>,
    /// Changes that aren't written yet.
    pub(super) changes: BTreeMap<JobId, Change>,
    /// Changes that the outstanding call writes.
    pub(super) in_flight: BTreeMap<JobId, Change>,
    /// Replies that are sent once the lock is confirmed: they're wrong if another instance has taken the shard over.
    pub(super) unconfirmed: Vec<(Contact, Message)>,
    /// Replies that the outstanding call confirms.
    pub(super) confirming: Vec<(Contact, Message)>,
    /// Jobs that were submitted before the shard was held.
    pub(super) waiting: Vec<Waiting>,
}

/// A job that was submitted before its shard was held.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) from: Contact,
    pub(super) serial: RequestSerial,
    pub(super) job: JobId,
    pub(super) record: Box<AcceptedJob>,
    /// When it was submitted.
    pub(super) at: Time,
}

/// What a shard's coordinator is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reads the lock row.
    FindingLock,
    /// The shard has neither a lock row nor jobs.
    Empty,
    /// Writes the lock row, which fences off earlier writers.
    Locking,
    /// Reads the lock row after a write of it failed or got no answer, to see who owns it.
    CheckingLock,
    /// Reads the jobs.
    Loading,
    /// All jobs are read, and this instance is the only writer.
    Held,
}

/// A stored job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: Option<Box<AcceptedJob>>,
    pub(super) progress: Progress,
    /// The state in the store, or `None` before the job is stored.
    pub(super) stored_state: Option<State>,
    /// The ends of runs that were reported, and whether the reply called each late. A repeated report gets the same reply:
    /// otherwise its endpoint would forget the end too soon.
    pub(super) reported_ends: HashMap<(Endpoint, Life, u64), bool>,
    /// Whether its end is stored and it is listed in [`Shard::ended_jobs`].
    pub(super) ended: bool,
}

/// A change of a job that is to be written, and the replies that wait for it.
#[derive(Debug, Default)]
pub(super) struct Change {
    /// The state of the job that is written.
    pub(super) state: State,
    pub(super) accept_requests: Vec<(Contact, RequestSerial)>,
    pub(super) cancel_requests: Vec<(Contact, RequestSerial)>,
    pub(super) state_requests: Vec<(Contact, RequestSerial)>,
    pub(super) end_replies: Vec<(Contact, Message)>,
    /// Whether the job's last row, its progress, is removed: its state needn't be kept any longer.
    pub(super) delete: bool,
}

/// Sends a verdict as the answer to a request.
pub(super) fn send_verdict(
    to: &Contact,
    serial: RequestSerial,
    verdict: Verdict,
    out: &mut Effects,
) {
    let message = Message::Verdict { serial, verdict };
    out.messages.push((to.clone(), message));
}

impl Shard {
    /// Returns a shard of which nothing has been read.
    pub(super) fn new(now: Time) -> Self {
        Self {
            phase: Phase::FindingLock,
            call_sent: None,
            next_call: now,
            lock_version: 0,
            lock_confirmed: now,
            loaded: false,
            last_key: None,
            jobs: BTreeMap::new(),
            ended_jobs: VecDeque::new(),
            changes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            unconfirmed: Vec::new(),
            confirming: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Returns what is known of the shard, as announced to other instances.
    pub(super) fn knowledge(&self) -> Knowledge {
        match self.phase {
            Phase::Empty => Knowledge::Empty,
            Phase::Held => Knowledge::Held,
            // After the first write the shard is never empty again.
            _ if self.loaded => Knowledge::Held,
            _ => Knowledge::Reading,
        }
    }

    /// Accepts a job and answers once it's stored. Before the shard is held, the job waits for that.
    pub(super) fn accept(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        job: JobId,
        record: Box<AcceptedJob>,
        now: Time,
        out: &mut Effects,
    ) {
        // A job that is being written isn't queued here: a queued job may be refused, and this one may be stored already.
        if self.phase != Phase::Held && !self.jobs.contains_key(&job) {
            self.waiting
                .retain(|waiting| (&waiting.from, waiting.serial) != (from, serial));
            self.waiting.push(Waiting {
                from: from.clone(),
                serial,
                job,
                record,
                at: now,
            });
            return;
        }
        match self.jobs.get(&job) {
            Some(stored) if stored.stored_state.is_some() => {
                send_verdict(from, serial, Verdict::Accepted, out)
            }
            Some(_) => {
                let change = self.changes.get_mut(&job).or(self.in_flight.get_mut(&job));
                if let Some(change) = change {
                    change.accept_requests.push((from.clone(), serial));
                }
            }
            None if self.jobs.len() - self.ended_jobs.len() >= MAX_OPEN_JOBS => {
                let retry_after = Span::seconds(2);
                send_verdict(from, serial, Verdict::Rejected { again: retry_after }, out);
            }
            None => {
                let new = Job {
                    progress: Progress::new(&record),
                    record: Some(record),
                    stored_state: None,
                    reported_ends: HashMap::new(),
                    ended: false,
                };
                self.jobs.insert(job, new);
                let change = self.changes.entry(job).or_default();
                change.accept_requests.push((from.clone(), serial));
            }
        }
    }

    /// Cancels a job. Answers when the cancellation is stored, and returns the action that follows.
    pub(super) fn cancel(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        id: JobId,
        out: &mut Effects,
    ) -> Option<Action> {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.send_unknown(from, serial, id, out);
            return None;
        };
        if let Some(state) = job.stored_state.filter(|state| *state != State::Open) {
            send_verdict(from, serial, Verdict::Standing(state.into()), out);
            return None;
        }
        let open = job.progress.state == State::Open;
        if open {
            job.progress.state = State::Cancelled;
        }
        let change = self.changes.entry(id).or_default();
        change.cancel_requests.push((from.clone(), serial));
        open.then_some(Action::Release(id))
    }

    /// Marks a job as failed for another reason than failed runs, and returns the action that follows.
    pub(super) fn fail(&mut self, id: JobId) -> Option<Action> {
        let job = self.jobs.get_mut(&id)?;
        if job.progress.state != State::Open {
            return None;
        }
        job.progress.state = State::Failed;
        self.changes.entry(id).or_default();
        Some(Action::Release(id))
    }

    /// Answers a query for the state of a job whose current state isn't stored yet.
    pub(super) fn send_state(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        id: JobId,
        out: &mut Effects,
    ) {
        match self.jobs.get(&id) {
            // Its end is being stored. The answer follows when that's done.
            Some(job) if job.progress.state != State::Open => {
                let change = self.changes.get_mut(&id).or(self.in_flight.get_mut(&id));
                if let Some(change) = change {
                    change.state_requests.push((from.clone(), serial));
                }
            }
            Some(_) => send_verdict(from, serial, Verdict::Unready, out),
            None => self.send_unknown(from, serial, id, out),
        }
    }

    /// Answers a request about a job that isn't in this shard. One that waits for the shard to be held may be stored soon.
    pub(super) fn send_unknown(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        id: JobId,
        out: &mut Effects,
    ) {
        let verdict = Verdict::Unknown;
        let waits = self.waiting.iter().any(|waiting| waiting.job == id);
        match self.phase {
            _ if waits => send_verdict(from, serial, Verdict::Unready, out),
            Phase::Held | Phase::Empty | Phase::FindingLock => {
                self.defer_until_lock_checked((from.clone(), Message::Verdict { serial, verdict }));
            }
            _ => send_verdict(from, serial, Verdict::Unready, out),
        }
    }

    /// Holds a reply that says that a job isn't stored until the lock is confirmed. An instance that isn't heard may have taken
    /// the shard over and stored the job.
    pub(super) fn defer_until_lock_checked(&mut self, reply: (Contact, Message)) {
        if self.phase == Phase::Empty {
            self.phase = Phase::FindingLock;
        }
        // An unconfirmed end is reported repeatedly.
        if !self.unconfirmed.contains(&reply) {
            self.unconfirmed.push(reply);
        }
    }

    /// Refuses submitted jobs that have waited for the shard longer than [`ACCEPT_TIMEOUT`].
    pub(super) fn refuse_expired(&mut self, now: Time, out: &mut Effects) {
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| now.since(waiting.at) >= ACCEPT_TIMEOUT);
        self.waiting = waiting;
        let expired: Vec<Waiting> = expired;
        for waiting in expired {
            send_verdict(&waiting.from, waiting.serial, Verdict::Unready, out);
        }
    }

    /// Records the end of a run and returns the action that follows.
    pub(super) fn on_run_end(
        &mut self,
        from: &Contact,
        end: &RunEnd,
        batch: Option<u64>,
        out: &mut Effects,
    ) -> Option<Action> {
        let noted_reply = |late| Message::Noted {
            endpoint: end.endpoint.clone(),
            life: end.life,
            serial: end.serial,
            late,
        };
        match self.phase {
            Phase::Empty | Phase::FindingLock => {
                self.defer_until_lock_checked((from.clone(), noted_reply(false)));
                return None;
            }
            // Also while the store is unavailable: a task whose end isn't recorded would run again.
            _ if self.loaded => {}
            _ => return None,
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            self.defer_until_lock_checked((from.clone(), noted_reply(false)));
            return None;
        };
        // If the job has ended but that isn't stored yet, the end is still needed.
        if job.stored_state.is_some_and(|state| state != State::Open) {
            // The job ended without this end, so that another run of the task may have been started, also by a former coordinator.
            out.messages.push((from.clone(), noted_reply(true)));
            return None;
        }
        let key = (end.endpoint.clone(), end.life, end.serial);
        let previous_late = job.reported_ends.get(&key).copied();
        let first_report = previous_late.is_none();
        let record = job.record.as_ref();
        let recorded = first_report && record.is_some_and(|r| job.progress.record_end(r, end));
        // The task was done already, so another run of it was started, unless the job failed or was cancelled.
        let run_elsewhere = matches!(job.progress.state, State::Open | State::Completed);
        let duplicate = first_report && !recorded && end.done && run_elsewhere;
        // If the batch isn't outstanding here, the task may have been started again, also by a former coordinator, whose
        // batches aren't stored. The endpoint then keeps the end until its lease has expired.
        let late = previous_late.unwrap_or(batch.is_none() || duplicate);
        job.reported_ends.insert(key, late);
        if first_report {
            let entry = LogRecord::routine("end_recorded").job(end.task.job);
            let entry = entry.with("task", end.task.to_string());
            let entry = entry.with("run", end.run.0);
            let entry = entry.with("endpoint", end.endpoint.as_str());
            let entry = entry.with("result", if end.done { "done" } else { "failed" });
            let entry = entry.with("counted", if recorded { "yes" } else { "no" });
            out.outputs.push(Output::Log(match batch {
                Some(serial) => entry.with("batch", serial),
                None => entry,
            }));
        }
        let change = self.changes.entry(end.task.job).or_default();
        change.end_replies.push((from.clone(), noted_reply(late)));
        match (recorded, job.progress.state, end.done) {
            (false, ..) => None,
            (_, State::Failed | State::Cancelled, _) => Some(Action::Release(end.task.job)),
            (_, _, true) => Some(Action::TaskDone(end.task, batch)),
            (_, _, false) => Some(Action::TaskFailed(end.task, batch)),
        }
    }

    /// Schedules the removal of jobs that ended more than [`ENDED_JOB_RETENTION`] ago.
    pub(super) fn expire_jobs(&mut self, now: Time) {
        if self.phase != Phase::Held {
            return;
        }
        while let Some((at, id)) = self.ended_jobs.front().copied() {
            if now.since(at) <= ENDED_JOB_RETENTION {
                return;
            }
            self.ended_jobs.pop_front();
            self.changes.entry(id).or_default().delete = true;
        }
    }

    /// Returns the next request to the store, if one is due and none is outstanding.
    pub(super) fn next_request(
        &mut self,
        shard: ShardId,
        lock_owner: &str,
        check_lock: bool,
        now: Time,
    ) -> Option<StoreRequest> {
        if self.call_sent.is_some() || now < self.next_call {
            return None;
        }
        let find = StoreRequest::Find {
            shard,
            key: LOCK_KEY.to_owned(),
        };
        let after = self.last_key.clone();
        if self.phase == Phase::Held {
            self.confirming.append(&mut self.unconfirmed);
        }
        match self.phase {
            Phase::FindingLock | Phase::CheckingLock => Some(find),
            Phase::Empty if self.waiting.is_empty() => None,
            Phase::Empty | Phase::Locking => {
                self.phase = Phase::Locking;
                Some(StoreRequest::Write {
                    shard,
                    guard: (LOCK_KEY.to_owned(), self.lock_version),
                    set: vec![(LOCK_KEY.to_owned(), lock_owner.as_bytes().to_vec())],
                    remove: Vec::new(),
                })
            }
            Phase::Loading => Some(StoreRequest::Read { shard, after }),
            Phase::Held if !self.changes.is_empty() => Some(self.build_write(shard)),
            Phase::Held if !self.confirming.is_empty() => Some(find),
            Phase::Held if check_lock && now.since(self.lock_confirmed) >= LOCK_CHECK_INTERVAL => {
                Some(find)
            }
            Phase::Held => None,
        }
    }

    /// Returns a write of as many changes as fit, and moves these to `in_flight`.
    pub(super) fn build_write(&mut self, shard: ShardId) -> StoreRequest {
        let (mut set, mut remove) = (Vec::new(), Vec::new());
        while self.in_flight.len() < MAX_JOBS_PER_WRITE {
            let Some((id, mut change)) = self.changes.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            change.state = job.progress.state;
            if change.delete {
                remove.push(progress_key(id));
            } else {
                set.push((progress_key(id), record::encode(&job.progress)));
            }
            match (&job.record, job.progress.state) {
                (Some(record), State::Open) if job.stored_state.is_none() => {
                    set.push((record_key(id), record::encode(record)));
                }
                (Some(_), state) if state != State::Open && job.stored_state.is_some() => {
                    remove.push(record_key(id));
                }
                _ => {}
            }
            self.in_flight.insert(id, change);
        }
        StoreRequest::Write {
            shard,
            guard: (LOCK_KEY.to_owned(), self.lock_version),
            set,
            remove,
        }
    }

    /// Handles a read of the lock row. Returns whether the shard is kept.
    pub(super) fn on_lock_row(
        &mut self,
        reply: StoreReply,
        lock_owner: &str,
        now: Time,
        out: &mut Effects,
    ) -> bool {
        let StoreReply::Rows(rows, _) = reply else {
            self.next_call = now + STORE_RETRY_DELAY;
            return true;
        };
        let Some((_, value, version)) = rows.into_iter().next() else {
            // Without a lock row there are no jobs. If submitted jobs wait, the lock is written next.
            self.phase = match self.waiting.is_empty() {
                true => Phase::Empty,
                false => Phase::Locking,
            };
            self.lock_version = 0;
            if !self.loaded {
                out.messages.append(&mut self.unconfirmed);
            }
            return !self.loaded;
        };
        // The senders of these requests repeat them.
        self.unconfirmed.clear();
        let is_own = value == lock_owner.as_bytes();
        let lock_changed = self.phase == Phase::CheckingLock && version != self.lock_version;
        if lock_changed && !is_own {
            return false;
        }
        self.lock_version = version;
        // The lock is written again even if it's this process's own: a write under the earlier version may still arrive.
        self.phase = Phase::Locking;
        true
    }

    /// Handles the reply to a write of the lock row. Returns whether the shard is kept.
    pub(super) fn on_lock_write(
        &mut self,
        reply: StoreReply,
        sent: Time,
        now: Time,
        out: &mut Effects,
    ) -> bool {
        match reply {
            StoreReply::Written(version) => {
                self.lock_version = version;
                self.lock_confirmed = sent;
                self.phase = match self.loaded {
                    true => Phase::Held,
                    false => Phase::Loading,
                };
                if self.loaded {
                    self.accept_waiting(out);
                }
            }
            StoreReply::Refused => self.next_call = now + STORE_RETRY_DELAY,
            _ => {
                self.phase = Phase::CheckingLock;
                self.next_call = now + STORE_RETRY_DELAY;
            }
        }
        true
    }

    /// Handles a page of rows. After the last page the shard is held, and its open jobs are run after [`TAKEOVER_DELAY`].
    /// Returns whether the shard is kept.
    pub(super) fn on_rows(
        &mut self,
        id: ShardId,
        reply: StoreReply,
        now: Time,
        actions: &mut Vec<Action>,
        out: &mut Effects,
    ) -> bool {
        let StoreReply::Rows(rows, more) = reply else {
            self.next_call = now + STORE_RETRY_DELAY;
            return true;
        };
        self.last_key = rows.last().map(|(key, ..)| key.clone());
        for (key, value, _) in rows {
            match record::parse_row(&key, &value) {
                Ok(Row::Lock) => {}
                Ok(Row::Record(id, record)) => self.job_entry(id).record = Some(Box::new(record)),
                Ok(Row::Progress(id, progress)) => {
                    let job = self.job_entry(id);
                    job.stored_state = Some(progress.state);
                    job.progress = progress;
                }
                Err(fault) => {
                    let entry = LogRecord::new("row_malformed").with("key", key);
                    out.outputs.push(Output::Log(entry.with("fault", fault)));
                }
            }
        }
        if more {
            return true;
        }
        self.loaded = true;
        self.phase = Phase::Held;
        for (id, job) in &mut self.jobs {
            if job.progress.state == State::Open && job.record.is_some() {
                actions.push(Action::Run(*id, now + TAKEOVER_DELAY));
            } else {
                job.ended = true;
                self.ended_jobs.push_back((now, *id));
            }
        }
        let entry = LogRecord::new("shard_held").with("shard", id.to_string());
        let entry = entry.with("jobs", self.jobs.len());
        out.outputs
            .push(Output::Log(entry.with("open", actions.len())));
        self.accept_waiting(out);
        true
    }

    /// Returns the job with this ID, and adds it if it's missing.
    pub(super) fn job_entry(&mut self, id: JobId) -> &mut Job {
        self.jobs.entry(id).or_insert_with(|| Job {
            record: None,
            progress: Progress::default(),
            stored_state: None,
            reported_ends: HashMap::new(),
            ended: false,
        })
    }

    /// Accepts the jobs that waited for the shard to be held.
    pub(super) fn accept_waiting(&mut self, out: &mut Effects) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.accept(
                &waiting.from,
                waiting.serial,
                waiting.job,
                waiting.record,
                waiting.at,
                out,
            );
        }
    }

    /// Handles the reply to a write of jobs or to a lock check while the shard is held. Returns whether the shard is kept.
    pub(super) fn on_held_reply(
        &mut self,
        reply: StoreReply,
        sent: Time,
        now: Time,
        actions: &mut Vec<Action>,
        out: &mut Effects,
    ) -> bool {
        match reply {
            StoreReply::Written(_) => {
                self.lock_confirmed = sent;
                out.messages.append(&mut self.confirming);
                let earliest = Time(now.0.saturating_sub(WRITE_INTERVAL.times(WRITE_BURST).0));
                self.next_call = self.next_call.max(earliest) + WRITE_INTERVAL;
                for (id, change) in std::mem::take(&mut self.in_flight) {
                    self.apply_change(id, change, now, actions, out);
                }
                true
            }
            StoreReply::Rows(rows, _) => {
                let unchanged = rows
                    .first()
                    .is_some_and(|(_, _, v)| *v == self.lock_version);
                if unchanged {
                    self.lock_confirmed = sent;
                    out.messages.append(&mut self.confirming);
                }
                unchanged
            }
            StoreReply::Conflict => false,
            reply => {
                self.unconfirmed.append(&mut self.confirming);
                let was_writing = !self.in_flight.is_empty();
                for (id, change) in std::mem::take(&mut self.in_flight) {
                    self.changes.entry(id).or_default().merge(change);
                }
                if was_writing && reply == StoreReply::Silent {
                    // The write may be carried out late and overwrite a newer one. A new lock version prevents that.
                    self.phase = Phase::Locking;
                }
                self.next_call = now + STORE_RETRY_DELAY;
                true
            }
        }
    }

    /// Applies a change that was stored, and sends the replies that waited for it.
    pub(super) fn apply_change(
        &mut self,
        id: JobId,
        change: Change,
        now: Time,
        actions: &mut Vec<Action>,
        out: &mut Effects,
    ) {
        if change.delete {
            self.jobs.remove(&id);
            return;
        }
        out.messages.extend(change.end_replies);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let newly_stored = job.stored_state.is_none();
        let ended = change.state != State::Open;
        job.stored_state = Some(change.state);
        if newly_stored {
            let entry = LogRecord::routine("job_stored").job(id);
            out.outputs.push(Output::Log(entry));
            // It may have been cancelled since this change was sent.
            if job.progress.state == State::Open {
                actions.push(Action::Run(id, now));
            }
        }
        for (to, serial) in change.accept_requests {
            send_verdict(&to, serial, Verdict::Accepted, out);
        }
        if ended && !job.ended {
            job.ended = true;
            job.record = None;
            job.reported_ends = HashMap::new();
            self.ended_jobs.push_back((now, id));
            // Whatever the entry still has of it must start nowhere.
            actions.push(Action::Release(id));
            let entry = LogRecord::routine("job_ended").job(id);
            let entry = entry.with("state", format!("{:?}", change.state));
            out.outputs.push(Output::Log(entry));
        }
        for (to, serial) in change
            .cancel_requests
            .into_iter()
            .chain(change.state_requests)
        {
            send_verdict(&to, serial, Verdict::Standing(change.state.into()), out);
        }
    }
}

impl Change {
    /// Adds the replies and the removal of a later change of the same job.
    pub(super) fn merge(&mut self, other: Self) {
        self.accept_requests.extend(other.accept_requests);
        self.cancel_requests.extend(other.cancel_requests);
        self.state_requests.extend(other.state_requests);
        self.end_replies.extend(other.end_replies);
        self.delete |= other.delete;
    }
}
