//! What the table and other instances say about a claim.

use super::{
    answer::{
        conflict,
        doubtful,
        owner_gone, //
    },
    claim::{
        self,
        Range, //
    },
    message::{
        self,
        Call,
        CallId,
        Command,
        Forward,
        Return, //
    },
    peering::Pending,
    stage::{
        Job,
        Permit,
        Received,
        Stage,
        Wait, //
    },
    timer::Timer,
    Core,
};
use crate::{
    event::Code,
    prelude::*, //
    table::wire,
};

/// How long to wait before a lost claim is read back again.
const SETTLE: Span = Span::millis(100);

impl Core {
    pub(super) fn on_store_result(&mut self, number: u64, result: message::Completion) {
        let Some(Stage::Received(job)) = self.take_received(number) else {
            return;
        };
        match (job.stage.wait.clone(), result) {
            (Wait::Claim(nonce), message::Completion::Verdict(verdict)) => {
                if verdict.applied {
                    self.run_claimed(job, nonce);
                } else {
                    self.resolve_claim(job, verdict.current.first(), Some(nonce));
                }
            }
            (Wait::Claim(_), message::Completion::Refused) => self.fail_claim(job),
            (Wait::Claim(nonce) | Wait::Settle(nonce), message::Completion::Unknown) => {
                self.schedule_claim_read(job, nonce);
            }
            (Wait::Settle(nonce), message::Completion::Row(Some(row))) => {
                self.resolve_claim(job, Some(&row), Some(nonce));
            }
            // The write may still be on its way. Inserting the same claim again settles it either way: what
            // lands second finds the first, with the same nonce.
            (Wait::Settle(nonce), message::Completion::Row(None)) => {
                self.retry_claim_insert(job, nonce)
            }
            // A table that hangs answers no read either, and would hold the caller until its deadline. The
            // nonce is kept, so a later submission still settles the claim, and nothing runs before that.
            (Wait::Settle(_), _) if self.is_store_down() => self.fail_claim(job),
            (Wait::Settle(nonce), _) => self.schedule_claim_read(job, nonce),
            (Wait::Verify(refusal), message::Completion::Row(None)) => {
                self.finish_received(job, refusal);
            }
            (Wait::Verify(_), message::Completion::Row(Some(row))) => {
                self.resolve_claim(job, Some(&row), None)
            }
            (Wait::Verify(refusal), _) => self.finish_received(job, doubtful(&refusal)),
            (Wait::Record, message::Completion::Row(row)) => self.on_outcome_row(job, row),
            (Wait::Object, message::Completion::Object(bytes)) => {
                let answer = bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok());
                let answer = answer.unwrap_or_else(owner_gone);
                self.finish_received(job, answer);
            }
            (_, _) => self.finish_received(job, owner_gone()),
        }
    }

    fn take_received(&mut self, number: u64) -> Option<Stage> {
        match self.jobs.get(&number)? {
            Stage::Received(_) => self.jobs.remove(&number),
            Stage::Running(_) => None,
        }
    }

    fn retry_claim_insert(&mut self, mut job: Job<Received>, nonce: Nonce) {
        let Some(key) = job.submission.key.clone() else {
            return self.fail_claim(job);
        };
        job.stage.wait = Wait::Claim(nonce);
        self.insert_claim(&job, &key, nonce);
        self.jobs.insert(job.number, Stage::Received(job));
    }

    /// Reads a claim back whose answer was lost, after a moment.
    fn schedule_claim_read(&mut self, mut job: Job<Received>, nonce: Nonce) {
        if !matches!(job.stage.wait, Wait::Settle(_)) {
            let name = job.submission.key.as_ref().map(ToString::to_string);
            self.log_event(Code::ClaimAnswerLost, name.unwrap_or_default());
        }
        job.stage.wait = Wait::Settle(nonce);
        let at = self.now + SETTLE;
        self.timers.set(at, Timer::Settle(job.number));
        self.jobs.insert(job.number, Stage::Received(job));
    }

    pub(super) fn read_back_claim(&mut self, number: u64) {
        let Some(Stage::Received(job)) = self.jobs.get(&number) else {
            return;
        };
        let (Wait::Settle(_), Some(key)) = (&job.stage.wait, &job.submission.key) else {
            return;
        };
        let place = claim::claim_row_key(&job.submission.team, key);
        self.start_command(number, Command::Read(place));
    }

    fn run_claimed(&mut self, job: Job<Received>, nonce: Nonce) {
        self.run_job(job.permit(Permit::by_table(), Some(nonce)));
    }

    /// Goes on with a job whose key has a claim in the table.
    pub(super) fn resolve_claim(
        &mut self,
        job: Job<Received>,
        row: Option<&wire::Row>,
        nonce: Option<Nonce>,
    ) {
        let row = row.and_then(|row| serde_json::from_str::<claim::Row>(&row.value).ok());
        let Some(row) = row else {
            let answer = Answer::new(
                Outcome::Unknown,
                Reason::Store,
                "the claim of this key can't be read",
            );
            return self.finish_received(job, answer);
        };
        if row.digest != job.digest {
            let answer = job.submission.key.as_ref().map(conflict);
            return self.finish_received(job, answer.unwrap_or_else(owner_gone));
        }
        if row.owner != self.identity.incarnation {
            return self.forward_to_owner(job, row.owner, Some(&row.name));
        }
        match nonce {
            Some(nonce) if nonce == row.nonce => self.run_claimed(job, nonce),
            // An earlier job of this incarnation, dropped from memory since.
            _ => self.read_outcome(job),
        }
    }

    /// Asks the owner of a key for the answer; where it is gone, the recorded outcome is read.
    pub(super) fn forward_to_owner(
        &mut self,
        mut job: Job<Received>,
        owner: Incarnation,
        name: Option<&Instance>,
    ) {
        self.release_admission(&mut job);
        // An instance that has just started may not have heard of the incarnation; its name will do, since the
        // peer that is asked says whether it is the one.
        let named = name.filter(|_| !self.membership.has_ended(owner)).cloned();
        let known = self.membership.owner(owner).map(|(peer, _)| peer);
        let Some(peer) = known.or(named) else {
            return self.read_outcome(job);
        };
        if !self.membership.is_alive(self.now, &peer) {
            return self.read_outcome(job);
        }
        let forward = Forward {
            owner,
            submission: job.submission.clone(),
            digest: job.digest,
            left: Span(job.deadline.since(self.now).0),
        };
        job.stage.wait = Wait::Owner(peer.clone());
        let id = self.next_serial();
        self.calls
            .insert(id, Pending::for_job(peer.clone(), job.number));
        let wait = forward.left;
        self.jobs.insert(job.number, Stage::Received(job));
        self.call(peer, CallId::Submit(id), Call::Submit(forward), Some(wait));
    }

    /// Reads the recorded outcome of a key whose owner can't be asked.
    pub(super) fn read_outcome(&mut self, mut job: Job<Received>) {
        self.release_admission(&mut job);
        let Some(key) = job.submission.key.clone() else {
            return self.finish_received(job, owner_gone());
        };
        // Outcomes of range keys are not recorded: the way without a write has none to read either.
        if Range::of(&key).is_some() || !self.may_try_store() {
            return self.finish_received(job, owner_gone());
        }
        job.stage.wait = Wait::Record;
        let place = claim::outcome_row_key(&job.submission.team, &key);
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Read(place));
    }

    fn on_outcome_row(&mut self, mut job: Job<Received>, row: Option<wire::Row>) {
        let record = row.and_then(|row| serde_json::from_str::<claim::Record>(&row.value).ok());
        let Some(record) = record else {
            return self.finish_received(job, owner_gone());
        };
        if let Some(answer) = record.answer {
            return self.finish_received(job, answer);
        }
        let Some(key) = &job.submission.key else {
            return self.finish_received(job, owner_gone());
        };
        let name = claim::outcome_row_key(&job.submission.team, key);
        job.stage.wait = Wait::Object;
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Get(name));
    }

    /// Goes on with a job whose owner was asked.
    pub(super) fn on_owner_return(&mut self, number: u64, result: Return) {
        let Some(Stage::Received(job)) = self.take_received(number) else {
            return;
        };
        match result {
            Return::Answer(answer) => self.finish_received(job, answer),
            _ => self.read_outcome(job),
        }
    }
}
