//! What the core knows of the platform's table, and the operations of claims on it.

use super::{
    claim,
    message::{
        self,
        Command,
        Output,
        Ticket, //
    },
    stage, Core,
};
use crate::{
    event::Code,
    prelude::*,
    table::wire::{
        Condition,
        Group,
        Write, //
    },
};

/// Failures in a row after which the table counts as down.
const FAILURES: u32 = 2;

/// While the table counts as down, one claim in this time is let through to try it.
const PROBE: Span = Span::millis(500);

/// The longest answer that goes into a row; longer ones go to the object store.
const LONGEST_ROW: usize = 16 << 10;

/// What an operation is for.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// For a job that waits for it.
    Job(u64),
    /// Records an outcome.
    Record,
    /// Stores a long answer, whose record is written next.
    Object(Group),
}

/// Whether the table answers.
#[derive(Debug, Default)]
pub(super) struct Store {
    failures: u32,
    probed: Time,
}

impl Core {
    /// Tells whether a claim may be tried now.
    ///
    /// A table that is down would hold every request for the whole timeout before its refusal. Once it has
    /// failed twice in a row, requests are refused at once, and one probe in half a second finds its return.
    pub(super) fn may_try_store(&mut self) -> bool {
        if self.store.failures < FAILURES {
            return true;
        }
        if self.now.since(self.store.probed) >= PROBE {
            self.store.probed = self.now;
            return true;
        }
        false
    }

    /// Tells whether the table has failed to answer so often that it counts as down.
    pub(super) fn is_store_down(&self) -> bool {
        self.store.failures >= FAILURES
    }

    pub(super) fn track_store(&mut self, result: &message::Completion) {
        let failed = matches!(
            result,
            message::Completion::Refused | message::Completion::Unknown
        );
        if failed {
            self.store.failures += 1;
            self.store.probed = self.now;
            if self.store.failures == FAILURES {
                self.log_event(Code::StoreDown, "claims are refused until it answers");
            }
        } else if std::mem::take(&mut self.store.failures) >= FAILURES {
            self.log_event(Code::StoreUp, "");
        }
    }

    /// Starts an operation on behalf of a job.
    pub(super) fn start_command(&mut self, job: u64, operate: Command) {
        self.start_command_for(Purpose::Job(job), operate);
    }

    fn start_command_for(&mut self, purpose: Purpose, operate: Command) {
        let ticket = self.next_serial();
        self.tickets.insert(ticket, purpose);
        self.outputs
            .push(Output::Command(Ticket::Claim(ticket), operate));
    }

    /// Inserts the claim of a job, if its key has none.
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
        let place = claim::claim_row_key(&job.submission.team, key);
        let group = Group {
            conditions: vec![Condition {
                key: place.clone(),
                version: 0,
            }],
            writes: vec![Write {
                key: place,
                value: serde_json::to_string(&row).ok(),
            }],
        };
        self.start_command(job.number, Command::Commit(group));
    }

    /// Records the outcome of a claimed job, behind the answer.
    pub(super) fn record_outcome(
        &mut self,
        team: &Team,
        key: &Key,
        digest: Digest,
        answer: &Answer,
    ) {
        let long = answer.memory_bytes() > LONGEST_ROW;
        let record = claim::Record {
            digest,
            answer: (!long).then(|| answer.clone()),
        };
        let place = claim::outcome_row_key(team, key);
        let group = Group {
            conditions: Vec::new(),
            writes: vec![Write {
                key: place.clone(),
                value: serde_json::to_string(&record).ok(),
            }],
        };
        // A short answer is in the row already; only a long one is written a second time, as an object.
        match long.then(|| serde_json::to_vec(answer)) {
            Some(Ok(bytes)) => {
                let put = Command::Put {
                    name: place,
                    bytes: bytes.into(),
                };
                self.start_command_for(Purpose::Object(group), put);
            }
            _ => self.start_command_for(Purpose::Record, Command::CommitLater(group)),
        }
    }

    /// Tells whether outcomes are still being recorded.
    pub(super) fn is_recording(&self) -> bool {
        self.tickets
            .values()
            .any(|purpose| !matches!(purpose, Purpose::Job(_)))
    }

    pub(super) fn on_completion(&mut self, ticket: u64, result: message::Completion) {
        let Some(purpose) = self.tickets.remove(&ticket) else {
            return;
        };
        self.track_store(&result);
        match purpose {
            Purpose::Job(job) => self.on_store_result(job, result),
            // A record that is lost costs a survivor's answer, never a run: the key stays claimed.
            Purpose::Record => {}
            Purpose::Object(group) => {
                if result == message::Completion::Stored {
                    self.start_command_for(Purpose::Record, Command::CommitLater(group));
                }
            }
        }
    }
}
