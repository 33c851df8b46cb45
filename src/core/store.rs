//! Commands to the platform's table on behalf of claims, and a circuit breaker for when it is down.

use super::{
    claim,
    message::{
        self,
        Command,
        Output,
        Ticket, //
    },
    stage,
    timer::Timer,
    Core, //
};
use crate::{
    event::Code,
    prelude::*,
    table::wire::{
        Condition,
        Group,
        Write, //
    }, //
};

/// The consecutive failures after which the table counts as down.
const MAX_FAILURES: u32 = 2;

/// While the table counts as down, one claim per this period is let through as a probe.
const PROBE_PERIOD: Span = Span::millis(500);

/// How often the record of an outcome is repeated, if the table or the object store doesn't take it.
const MAX_RECORD_REPEATS: u32 = 5;

/// The delay before a record is repeated; it doubles each time.
const RECORD_DELAY: Span = Span::millis(100);

/// The largest answer that is kept in a row; larger ones go to the object store.
const MAX_ROW_BYTES: usize = 16 << 10;

/// What a command is for.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// A job waits for its completion.
    Job(u64),
    /// It records an outcome.
    Record(Record),
}

/// A command that records an outcome. It has no condition, so that it may be repeated.
#[derive(Debug, Clone)]
pub(super) struct Record {
    command: Command,
    /// What is written next: the row of a large answer, once its object is stored.
    next: Option<Group>,
    /// How often the command was repeated.
    repeats: u32,
}

impl Record {
    fn new(command: Command, next: Option<Group>) -> Self {
        Self {
            command,
            next,
            repeats: 0,
        }
    }
}

/// Whether the table answers, as the last commands showed.
#[derive(Debug, Default)]
pub(super) struct Store {
    failures: u32,
    /// The last command that was sent before the last counted failure was known.
    counted_until: u64,
    last_probe: Time,
    /// Records that wait to be repeated.
    delayed_records: usize,
}

impl Core {
    /// Returns whether a claim may be sent to the table now, and counts it as the probe if the table is down.
    ///
    /// Without this, every request would wait for the whole timeout before it is refused while the table is down.
    pub(super) fn may_try_store(&mut self) -> bool {
        if self.store.failures < MAX_FAILURES {
            return true;
        }
        if self.now.since(self.store.last_probe) >= PROBE_PERIOD {
            self.store.last_probe = self.now;
            return true;
        }
        false
    }

    /// Returns whether the table has failed to answer often enough to count as down.
    pub(super) fn is_store_down(&self) -> bool {
        self.store.failures >= MAX_FAILURES
    }

    /// Counts a failed command, or resets the failures; logs when the table goes down or comes back.
    ///
    /// Commands that were in flight together fail together, for one cause, and count once. Otherwise a single delay of the
    /// platform would count as an outage wherever more than one caller waits.
    fn track_store(&mut self, ticket: u64, result: &message::Completion) {
        let failed = match result {
            message::Completion::Refused | message::Completion::Unknown => true,
            message::Completion::Withheld => return,
            _ => false,
        };
        if failed {
            if ticket <= self.store.counted_until {
                return;
            }
            self.store.counted_until = self.serial;
            self.store.failures += 1;
            self.store.last_probe = self.now;
            if self.store.failures == MAX_FAILURES {
                self.log_event(Code::StoreDown, "claims are refused until it answers");
            }
        } else if std::mem::take(&mut self.store.failures) >= MAX_FAILURES {
            self.log_event(Code::StoreUp, "");
        }
    }

    /// Starts a command on behalf of a job.
    pub(super) fn start_command(&mut self, job: u64, command: Command) {
        self.start_command_for(Purpose::Job(job), command);
    }

    fn start_command_for(&mut self, purpose: Purpose, command: Command) {
        let ticket = self.next_serial();
        self.commands.insert(ticket, purpose);
        self.outputs
            .push(Output::Command(Ticket::Claim(ticket), command));
    }

    /// Inserts the claim of a job's key, on condition that the key has none.
    pub(super) fn insert_claim(
        &mut self,
        job: &stage::Job<stage::Received>,
        key: &Key,
        nonce: Nonce,
    ) {
        let row = claim::Row {
            owner: self.identity.incarnation,
            name: self.identity.name.clone(),
            nonce,
            digest: job.digest,
        };
        let row_key = claim::claim_row_key(&job.submission.team, key);
        let group = Group {
            conditions: vec![Condition {
                key: row_key.clone(),
                version: 0,
            }],
            writes: vec![Write {
                key: row_key,
                value: serde_json::to_string(&row).ok(),
            }],
        };
        self.start_command(job.number, Command::Commit(group));
    }

    /// Records the outcome of a claimed job; the caller's answer doesn't wait for it.
    pub(super) fn record_outcome(
        &mut self,
        team: &Team,
        key: &Key,
        digest: Digest,
        answer: &Answer,
    ) {
        let is_long = answer.memory_bytes() > MAX_ROW_BYTES;
        let record = claim::Record {
            digest,
            answer: (!is_long).then(|| answer.clone()),
        };
        let row_key = claim::outcome_row_key(team, key);
        let group = Group {
            conditions: Vec::new(),
            writes: vec![Write {
                key: row_key.clone(),
                value: serde_json::to_string(&record).ok(),
            }],
        };
        // The record of a large answer is written only once the object is stored, so that it never lacks its answer.
        match is_long.then(|| serde_json::to_vec(answer)) {
            Some(Ok(bytes)) => {
                let put = Command::Put {
                    name: row_key,
                    bytes: bytes.into(),
                };
                self.start_record(Record::new(put, Some(group)));
            }
            _ => self.start_record(Record::new(Command::CommitLater(group), None)),
        }
    }

    /// Starts to record an outcome, or repeats that; called by the timer too.
    pub(super) fn start_record(&mut self, record: Record) {
        let command = record.command.clone();
        self.start_command_for(Purpose::Record(record), command);
    }

    /// Continues with a record after its command has completed.
    ///
    /// A command that fails is repeated. Its caller has the answer, but a lost record would make the outcome unknown to whoever asks for
    /// it after this instance has ended.
    fn on_recorded(&mut self, mut record: Record, result: &message::Completion) {
        if !result.is_failure() {
            if let Some(group) = record.next.take() {
                self.start_record(Record::new(Command::CommitLater(group), None));
            }
        } else if record.repeats < MAX_RECORD_REPEATS {
            let delay = RECORD_DELAY.times(1 << record.repeats);
            record.repeats += 1;
            self.store.delayed_records += 1;
            self.timers.set(self.now + delay, Timer::Record(record));
        }
    }

    /// Repeats the command of a record; called by the timer.
    pub(super) fn repeat_record(&mut self, record: Record) {
        self.store.delayed_records -= 1;
        self.start_record(record);
    }

    /// Returns whether outcomes are still being recorded.
    pub(super) fn is_recording(&self) -> bool {
        let is_record = |purpose: &Purpose| matches!(purpose, Purpose::Record(_));
        self.store.delayed_records > 0 || self.commands.values().any(is_record)
    }

    /// Handles the completion of a command.
    pub(super) fn on_completion(&mut self, ticket: u64, result: message::Completion) {
        let Some(purpose) = self.commands.remove(&ticket) else {
            return;
        };
        self.track_store(ticket, &result);
        match purpose {
            Purpose::Job(job) => self.on_store_result(job, result),
            Purpose::Record(record) => self.on_recorded(record, &result),
        }
    }
}
