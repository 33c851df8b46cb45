//! One shard of the stored jobs, at the instance that coordinates it.

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
            ShardId, //
        },
        message::{
            Contact,
            Knowledge,
            Message,
            Output,
            Record,
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
        LOCK, //
    },
    Action, //
};
use crate::prelude::*;

/// Between writes of one shard: with all shards busy, 530 calls a second of the 600 that the smallest platform allows.
const WRITES: Span = Span::millis(30);

/// Writes of one shard that may follow each other at once after a pause: at a low load nobody waits for the next turn.
const BURST: u64 = 4;

/// How long a job that a caller hands in may wait for its shard to be held: a takeover takes a tenth of that, and a store
/// that is away is told to the caller at once.
const HELD: Span = Span::millis(300);

/// Jobs in one write: two rows each, of the hundred entries that a call may hold.
const ROWS: usize = 45;

/// Between calls to the store that failed.
const AGAIN: Span = Span::millis(100);

/// How long what the former coordinator of a shard had running may go on: owners stop it 600 ms after they heard it
/// last, or when it gives its jobs up after [`super::CONFIDENCE`]; the rest is for stops and endpoints' clocks.
const DOUBT: Span = Span::millis(1_700);

/// Between looks at the lock in that time.
const CONFIRM: Span = Span::millis(300);

/// How long the state of a job that has ended can be asked for: half as long again as the platform wants.
const KEPT: Span = Span::seconds(180);

/// Jobs in progress in one shard; with more of them its coordinator's memory would not last.
const MOST: usize = 5_000;

/// A shard that this instance coordinates.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) phase: Phase,
    /// When the call to the store left that is out; there is one at a time.
    pub(super) sent: Option<Time>,
    /// When the next one may leave.
    pub(super) next: Time,
    /// The version of the lock row, zero where there is none.
    pub(super) lock: u64,
    /// When the lock was found unchanged last.
    pub(super) confirmed: Time,
    /// Whether all rows have been read.
    pub(super) loaded: bool,
    /// The last key that was read.
    pub(super) after: Option<String>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended, with the time of that.
    pub(super) ended: VecDeque<(Time, JobId)>,
    /// What is to be written, and what is being written.
    pub(super) changed: BTreeMap<JobId, Change>,
    pub(super) flight: BTreeMap<JobId, Change>,
    /// Answers that hold if nobody else has taken the shard over meanwhile.
    pub(super) unsure: Vec<(Contact, Message)>,
    /// Of these, those that the call which is out decides.
    pub(super) confirming: Vec<(Contact, Message)>,
    /// Jobs that callers handed in before it could take any.
    pub(super) waiting: Vec<Waiting>,
}

/// A job that a caller handed in before its shard could take any.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) from: Contact,
    pub(super) serial: u64,
    pub(super) job: JobId,
    pub(super) record: Box<AcceptedJob>,
    /// When it came.
    pub(super) at: Time,
}

/// What a shard's coordinator is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It looks for the lock row.
    Reading,
    /// There is none, and no job.
    Empty,
    /// It writes the lock row, which fences any writer before it.
    Locking,
    /// A write of the lock row went wrong: it looks whose it is.
    Checking,
    /// It reads the jobs.
    Loading,
    /// It knows all and is the only writer.
    Held,
}

/// A stored job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: Option<Box<AcceptedJob>>,
    pub(super) progress: Progress,
    /// The state that is stored, none before the job is.
    pub(super) shown: Option<State>,
    /// StepProgress that were heard, and whether each came late: told otherwise the second time, its endpoint would forget it
    /// too soon.
    pub(super) counted: HashMap<(Endpoint, Life, u64), bool>,
    pub(super) ended: bool,
}

/// What is to be written of a job, and who waits for that.
#[derive(Debug, Default)]
pub(super) struct Change {
    /// Its state as it is being written.
    pub(super) state: State,
    pub(super) accepted: Vec<(Contact, u64)>,
    pub(super) cancelled: Vec<(Contact, u64)>,
    pub(super) asked: Vec<(Contact, u64)>,
    pub(super) ends: Vec<(Contact, Message)>,
    /// Whether its last row goes.
    pub(super) forget: bool,
}

pub(super) fn answer(to: &Contact, serial: u64, verdict: Verdict, out: &mut Effects) {
    let message = Message::Verdict { serial, verdict };
    out.messages.push((to.clone(), message));
}

impl Shard {
    pub(super) fn new(now: Time) -> Self {
        Self {
            phase: Phase::Reading,
            sent: None,
            next: now,
            lock: 0,
            confirmed: now,
            loaded: false,
            after: None,
            jobs: BTreeMap::new(),
            ended: VecDeque::new(),
            changed: BTreeMap::new(),
            flight: BTreeMap::new(),
            unsure: Vec::new(),
            confirming: Vec::new(),
            waiting: Vec::new(),
        }
    }

    pub(super) fn knowledge(&self) -> Knowledge {
        match self.phase {
            Phase::Empty => Knowledge::Empty,
            Phase::Held => Knowledge::Held,
            // After the first write the shard is never empty again.
            _ if self.loaded => Knowledge::Held,
            _ => Knowledge::Reading,
        }
    }

    pub(super) fn accept(
        &mut self,
        from: &Contact,
        serial: u64,
        job: JobId,
        record: Box<AcceptedJob>,
        now: Time,
        out: &mut Effects,
    ) {
        // One that is being written is waited for: to say that it was not taken could be untrue.
        if self.phase != Phase::Held && !self.jobs.contains_key(&job) {
            self.waiting
                .retain(|w| (&w.from, w.serial) != (from, serial));
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
            Some(known) if known.shown.is_some() => answer(from, serial, Verdict::Accepted, out),
            Some(_) => {
                let change = self.changed.get_mut(&job).or(self.flight.get_mut(&job));
                if let Some(change) = change {
                    change.accepted.push((from.clone(), serial));
                }
            }
            None if self.jobs.len() - self.ended.len() >= MOST => {
                let again = Span::seconds(2);
                answer(from, serial, Verdict::Rejected { again }, out);
            }
            None => {
                let fresh = Job {
                    progress: Progress::new(&record),
                    record: Some(record),
                    shown: None,
                    counted: HashMap::new(),
                    ended: false,
                };
                self.jobs.insert(job, fresh);
                let change = self.changed.entry(job).or_default();
                change.accepted.push((from.clone(), serial));
            }
        }
    }

    pub(super) fn cancel(
        &mut self,
        from: &Contact,
        serial: u64,
        id: JobId,
        out: &mut Effects,
    ) -> Option<Action> {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.unknown(from, serial, out);
            return None;
        };
        if let Some(state) = job.shown.filter(|state| *state != State::Open) {
            answer(from, serial, Verdict::Standing(state.into()), out);
            return None;
        }
        let open = job.progress.state == State::Open;
        if open {
            job.progress.state = State::Cancelled;
        }
        let change = self.changed.entry(id).or_default();
        change.cancelled.push((from.clone(), serial));
        open.then_some(Action::Release(id))
    }

    /// Takes note that a job has failed otherwise than by the ends of its runs.
    pub(super) fn fail(&mut self, id: JobId) -> Option<Action> {
        let job = self.jobs.get_mut(&id)?;
        if job.progress.state != State::Open {
            return None;
        }
        job.progress.state = State::Failed;
        self.changed.entry(id).or_default();
        Some(Action::Release(id))
    }

    /// Answers how a job stands that the dispatcher doesn't find among those whose end is stored.
    pub(super) fn state(&mut self, from: &Contact, serial: u64, id: JobId, out: &mut Effects) {
        match self.jobs.get(&id) {
            // Its end is being stored: whoever asks hears of it in a moment, and needn't ask again.
            Some(job) if job.progress.state != State::Open => {
                let change = self.changed.get_mut(&id).or(self.flight.get_mut(&id));
                if let Some(change) = change {
                    change.asked.push((from.clone(), serial));
                }
            }
            Some(_) => answer(from, serial, Verdict::Unready, out),
            None => self.unknown(from, serial, out),
        }
    }

    /// Answers a question about a job that isn't known here.
    pub(super) fn unknown(&mut self, from: &Contact, serial: u64, out: &mut Effects) {
        let verdict = Verdict::Unknown;
        match self.phase {
            Phase::Held | Phase::Empty | Phase::Reading => {
                self.ask((from.clone(), Message::Verdict { serial, verdict }));
            }
            _ => answer(from, serial, Verdict::Unready, out),
        }
    }

    /// Keeps an answer that says that a job isn't stored, until the lock row was looked at: an instance that isn't heard may
    /// have taken the shard over, and the job in.
    pub(super) fn ask(&mut self, answer: (Contact, Message)) {
        if self.phase == Phase::Empty {
            self.phase = Phase::Reading;
        }
        // An end that isn't noted is reported again and again.
        if !self.unsure.contains(&answer) {
            self.unsure.push(answer);
        }
    }

    /// Tells callers whose jobs have waited too long for the shard that nothing was done.
    pub(super) fn refuse(&mut self, now: Time, out: &mut Effects) {
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| now.since(w.at) >= HELD);
        self.waiting = waiting;
        let late: Vec<Waiting> = late;
        for w in late {
            answer(&w.from, w.serial, Verdict::Unready, out);
        }
    }

    /// Takes note of the end of a run, and tells what follows.
    pub(super) fn ended(
        &mut self,
        from: &Contact,
        end: &RunEnd,
        batch: Option<u64>,
        out: &mut Effects,
    ) -> Option<Action> {
        let noted = |late| Message::Noted {
            endpoint: end.endpoint.clone(),
            life: end.life,
            serial: end.serial,
            late,
        };
        match self.phase {
            Phase::Empty | Phase::Reading => {
                self.ask((from.clone(), noted(false)));
                return None;
            }
            // Also while the store is away: a task whose end isn't counted would be run again.
            _ if self.loaded => {}
            _ => return None,
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            self.ask((from.clone(), noted(false)));
            return None;
        };
        // One that has ended, but isn't stored as such, still needs the ends that it counted.
        if let Some(state) = job.shown.filter(|state| *state != State::Open) {
            // Of a completed job this end wasn't counted, so another run of the task was.
            let late = state == State::Completed;
            out.messages.push((from.clone(), noted(late)));
            return None;
        }
        let key = (end.endpoint.clone(), end.life, end.serial);
        let known = job.counted.get(&key).copied();
        let first = known.is_none();
        let record = job.record.as_ref();
        let counts = first && record.is_some_and(|r| job.progress.record_end(r, end));
        // Of a task that is done already: another run of it was started, unless its job ends for another reason.
        let other = matches!(job.progress.state, State::Open | State::Completed);
        let again = first && !counts && end.done && other;
        // Of a run that isn't out, its task may have been given out again, and not by this instance alone: what former
        // coordinators gave out stands nowhere. Its endpoint keeps it until its lease has passed, after which it means nothing.
        let late = known.unwrap_or(batch.is_none() || again);
        job.counted.insert(key, late);
        let change = self.changed.entry(end.task.job).or_default();
        change.ends.push((from.clone(), noted(late)));
        match (counts, job.progress.state, end.done) {
            (false, ..) => None,
            (_, State::Failed | State::Cancelled, _) => Some(Action::Release(end.task.job)),
            (_, _, true) => Some(Action::TaskDone(end.task)),
            (_, _, false) => Some(Action::TaskFailed(end.task, batch)),
        }
    }

    /// Lets the last rows of jobs go that ended long ago.
    pub(super) fn expire(&mut self, now: Time) {
        if self.phase != Phase::Held {
            return;
        }
        while let Some((at, id)) = self.ended.front().copied() {
            if now.since(at) <= KEPT {
                return;
            }
            self.ended.pop_front();
            self.changed.entry(id).or_default().forget = true;
        }
    }

    /// Returns the call to the store that is due.
    pub(super) fn due(
        &mut self,
        shard: ShardId,
        own: &str,
        suspicious: bool,
        now: Time,
    ) -> Option<StoreRequest> {
        if self.sent.is_some() || now < self.next {
            return None;
        }
        let find = StoreRequest::Find {
            shard,
            key: LOCK.to_owned(),
        };
        let after = self.after.clone();
        if self.phase == Phase::Held {
            self.confirming.append(&mut self.unsure);
        }
        match self.phase {
            Phase::Reading | Phase::Checking => Some(find),
            Phase::Empty if self.waiting.is_empty() => None,
            Phase::Empty | Phase::Locking => {
                self.phase = Phase::Locking;
                Some(StoreRequest::Write {
                    shard,
                    guard: (LOCK.to_owned(), self.lock),
                    set: vec![(LOCK.to_owned(), own.as_bytes().to_vec())],
                    remove: Vec::new(),
                })
            }
            Phase::Loading => Some(StoreRequest::Read { shard, after }),
            Phase::Held if !self.changed.is_empty() => Some(self.write(shard)),
            Phase::Held if !self.confirming.is_empty() => Some(find),
            Phase::Held if suspicious && now.since(self.confirmed) >= CONFIRM => Some(find),
            Phase::Held => None,
        }
    }

    pub(super) fn write(&mut self, shard: ShardId) -> StoreRequest {
        let (mut set, mut remove) = (Vec::new(), Vec::new());
        while self.flight.len() < ROWS {
            let Some((id, mut change)) = self.changed.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            change.state = job.progress.state;
            if change.forget {
                remove.push(progress_key(id));
            } else {
                set.push((progress_key(id), record::write(&job.progress)));
            }
            match (&job.record, job.progress.state) {
                (Some(record), State::Open) if job.shown.is_none() => {
                    set.push((record_key(id), record::write(record)));
                }
                (Some(_), state) if state != State::Open && job.shown.is_some() => {
                    remove.push(record_key(id));
                }
                _ => {}
            }
            self.flight.insert(id, change);
        }
        StoreRequest::Write {
            shard,
            guard: (LOCK.to_owned(), self.lock),
            set,
            remove,
        }
    }

    /// Takes what the store says of the lock row; returns whether the shard is kept.
    pub(super) fn found(
        &mut self,
        reply: StoreReply,
        own: &str,
        now: Time,
        out: &mut Effects,
    ) -> bool {
        let StoreReply::Rows(rows, _) = reply else {
            self.next = now + AGAIN;
            return true;
        };
        let Some((_, value, version)) = rows.into_iter().next() else {
            // Without the row there is no job; one that wanted to write it tries again.
            self.phase = match self.waiting.is_empty() {
                true => Phase::Empty,
                false => Phase::Locking,
            };
            self.lock = 0;
            if !self.loaded {
                out.messages.append(&mut self.unsure);
            }
            return !self.loaded;
        };
        // Those who wait for these ask again.
        self.unsure.clear();
        let mine = value == own.as_bytes();
        let contested = self.phase == Phase::Checking && version != self.lock;
        if contested && !mine {
            return false;
        }
        self.lock = version;
        // Also where it is this life's own: a write under the former version may still be on its way.
        self.phase = Phase::Locking;
        true
    }

    /// Takes what came of the write of the lock row.
    pub(super) fn locked(
        &mut self,
        reply: StoreReply,
        sent: Time,
        now: Time,
        out: &mut Effects,
    ) -> bool {
        match reply {
            StoreReply::Written(version) => {
                self.lock = version;
                self.confirmed = sent;
                self.phase = match self.loaded {
                    true => Phase::Held,
                    false => Phase::Loading,
                };
                if self.loaded {
                    self.take_waiting(out);
                }
            }
            StoreReply::Refused => self.next = now + AGAIN,
            _ => {
                self.phase = Phase::Checking;
                self.next = now + AGAIN;
            }
        }
        true
    }

    /// Takes rows of jobs; with the last of them the shard is held.
    pub(super) fn loaded(
        &mut self,
        id: ShardId,
        reply: StoreReply,
        now: Time,
        acts: &mut Vec<Action>,
        out: &mut Effects,
    ) -> bool {
        let StoreReply::Rows(rows, more) = reply else {
            self.next = now + AGAIN;
            return true;
        };
        self.after = rows.last().map(|(key, ..)| key.clone());
        for (key, value, _) in rows {
            match record::read(&key, &value) {
                Ok(Row::Lock) => {}
                Ok(Row::Record(id, record)) => self.read(id).record = Some(Box::new(record)),
                Ok(Row::Progress(id, progress)) => {
                    let job = self.read(id);
                    job.shown = Some(progress.state);
                    job.progress = progress;
                }
                Err(fault) => {
                    let entry = Record::new("row_malformed").with("key", key);
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
                acts.push(Action::Run(*id, now + DOUBT));
            } else {
                job.ended = true;
                self.ended.push_back((now, *id));
            }
        }
        let entry = Record::new("shard_held").with("shard", id.to_string());
        let entry = entry.with("jobs", self.jobs.len());
        out.outputs
            .push(Output::Log(entry.with("open", acts.len())));
        self.take_waiting(out);
        true
    }

    pub(super) fn read(&mut self, id: JobId) -> &mut Job {
        self.jobs.entry(id).or_insert_with(|| Job {
            record: None,
            progress: Progress::default(),
            shown: None,
            counted: HashMap::new(),
            ended: false,
        })
    }

    pub(super) fn take_waiting(&mut self, out: &mut Effects) {
        for w in std::mem::take(&mut self.waiting) {
            self.accept(&w.from, w.serial, w.job, w.record, w.at, out);
        }
    }

    /// Takes what came of a write of jobs, or of a look at the lock.
    pub(super) fn written(
        &mut self,
        reply: StoreReply,
        sent: Time,
        now: Time,
        acts: &mut Vec<Action>,
        out: &mut Effects,
    ) -> bool {
        match reply {
            StoreReply::Written(_) => {
                self.confirmed = sent;
                out.messages.append(&mut self.confirming);
                let earliest = Time(now.0.saturating_sub(WRITES.times(BURST).0));
                self.next = self.next.max(earliest) + WRITES;
                for (id, change) in std::mem::take(&mut self.flight) {
                    self.settle(id, change, now, acts, out);
                }
                true
            }
            StoreReply::Rows(rows, _) => {
                let unchanged = rows.first().is_some_and(|(_, _, v)| *v == self.lock);
                if unchanged {
                    self.confirmed = sent;
                    out.messages.append(&mut self.confirming);
                }
                unchanged
            }
            StoreReply::Conflict => false,
            reply => {
                self.unsure.append(&mut self.confirming);
                let writing = !self.flight.is_empty();
                for (id, change) in std::mem::take(&mut self.flight) {
                    self.changed.entry(id).or_default().join(change);
                }
                if writing && reply == StoreReply::Silent {
                    // The write may be made later, over a newer one. A new lock bars it.
                    self.phase = Phase::Locking;
                }
                self.next = now + AGAIN;
                true
            }
        }
    }

    /// Tells those who waited that what they waited for is stored.
    pub(super) fn settle(
        &mut self,
        id: JobId,
        change: Change,
        now: Time,
        acts: &mut Vec<Action>,
        out: &mut Effects,
    ) {
        if change.forget {
            self.jobs.remove(&id);
            return;
        }
        out.messages.extend(change.ends);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let first = job.shown.is_none();
        let ended = change.state != State::Open;
        job.shown = Some(change.state);
        if first {
            let entry = Record::routine("job_stored").job(id);
            out.outputs.push(Output::Log(entry));
            if !ended {
                acts.push(Action::Run(id, now));
            }
        }
        for (to, serial) in change.accepted {
            answer(&to, serial, Verdict::Accepted, out);
        }
        if ended && !job.ended {
            job.ended = true;
            job.record = None;
            job.counted = HashMap::new();
            self.ended.push_back((now, id));
            let entry = Record::routine("job_ended").job(id);
            let entry = entry.with("state", format!("{:?}", change.state));
            out.outputs.push(Output::Log(entry));
        }
        for (to, serial) in change.cancelled.into_iter().chain(change.asked) {
            answer(&to, serial, Verdict::Standing(change.state.into()), out);
        }
    }
}

impl Change {
    pub(super) fn join(&mut self, other: Self) {
        self.accepted.extend(other.accepted);
        self.cancelled.extend(other.cancelled);
        self.asked.extend(other.asked);
        self.ends.extend(other.ends);
        self.forget |= other.forget;
    }
}
