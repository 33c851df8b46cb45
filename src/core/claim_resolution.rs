//! Resolution of a claim: a job waits for its claim, or for the answer of the instance that owns its key.

use super::{
    answer::{
        conflict,
        owner_unreachable,
        refusal_in_doubt, //
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
    peering::OutgoingCall,
    stage::{
        Job,
        Permit,
        Received,
        Stage,
        Wait, //
    },
    timer::Timer,
    Core, //
};
use crate::{
    event::Code,
    prelude::*,
    table::wire, //
};

/// How long a job that is in doubt waits for a table that is down.
const STORE_PATIENCE: Span = Span::seconds(3);

/// The delay before a read of a claim whose insert got no reply, and before a failed read is repeated.
const READ_DELAY: Span = Span::millis(100);

impl Core {
    /// Continues a job whose command to the table or the object store has completed.
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
            (Wait::Claim(_), message::Completion::Withheld) => self.withhold_claim(job),
            (Wait::Claim(nonce) | Wait::ReadBack(nonce), message::Completion::Unknown) => {
                self.schedule_claim_read(job, nonce);
            }
            (Wait::ReadBack(nonce), message::Completion::Row(Some(row))) => {
                self.resolve_claim(job, Some(&row), Some(nonce));
            }
            // The first insert may still be applied. A second insert with the same nonce is safe: whichever is
            // applied last finds the other one and recognizes its nonce.
            (Wait::ReadBack(nonce), message::Completion::Row(None)) => {
                self.retry_claim_insert(job, nonce)
            }
            // Prevents a caller from waiting for an unavailable table until its deadline. The nonce is kept, so that
            // the next submission can resolve the claim; nothing runs before that.
            (Wait::ReadBack(_), _) if self.has_waited_for_store(&job) => self.fail_claim(job),
            (Wait::ReadBack(nonce), _) => self.schedule_claim_read(job, nonce),
            (Wait::VerifyRefusal(refusal), message::Completion::Row(None)) => {
                self.finish_received(job, refusal);
            }
            (Wait::VerifyRefusal(_), message::Completion::Row(Some(row))) => {
                self.resolve_claim(job, Some(&row), None)
            }
            (Wait::VerifyRefusal(refusal), _) if self.has_waited_for_store(&job) => {
                self.finish_received(job, refusal_in_doubt(&refusal))
            }
            (Wait::Outcome, message::Completion::Row(row)) => self.on_outcome_row(job, row),
            (Wait::AnswerObject, message::Completion::Object(bytes)) => {
                let answer = bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok());
                let answer = answer.unwrap_or_else(owner_unreachable);
                self.finish_received(job, answer);
            }
            // One read that failed doesn't mean that there is no claim or no outcome.
            (Wait::VerifyRefusal(_) | Wait::Outcome | Wait::AnswerObject, result)
                if !self.has_waited_for_store(&job) && result.is_failure() =>
            {
                self.schedule_read(job);
            }
            (_, _) => self.finish_received(job, owner_unreachable()),
        }
    }

    /// Removes a job that isn't claimed yet; returns `None` if it has ended or runs.
    fn take_received(&mut self, number: u64) -> Option<Stage> {
        match self.jobs.get(&number)? {
            Stage::Received(_) => self.jobs.remove(&number),
            Stage::Running(_) => None,
        }
    }

    /// Inserts the claim of a job a second time, after a read that didn't find it.
    fn retry_claim_insert(&mut self, mut job: Job<Received>, nonce: Nonce) {
        let Some(key) = job.submission.key.clone() else {
            return self.fail_claim(job);
        };
        job.stage.wait = Wait::Claim(nonce);
        self.insert_claim(&job, &key, nonce);
        self.jobs.insert(job.number, Stage::Received(job));
    }

    /// Schedules a read of a claim whose insert got no reply.
    fn schedule_claim_read(&mut self, mut job: Job<Received>, nonce: Nonce) {
        if !matches!(job.stage.wait, Wait::ReadBack(_)) {
            let key = job.submission.key.as_ref().map(ToString::to_string);
            self.log_event(Code::ClaimAnswerLost, key.unwrap_or_default());
        }
        job.stage.wait = Wait::ReadBack(nonce);
        self.schedule_read(job);
    }

    /// Returns whether the table is down and a job has waited for it long enough.
    ///
    /// What the table would tell of such a job can't be told otherwise, and its caller would have to find out.
    fn has_waited_for_store(&self, job: &Job<Received>) -> bool {
        self.is_store_down() && self.now.since(job.arrived) >= STORE_PATIENCE
    }

    /// Schedules the read that a job waits for.
    fn schedule_read(&mut self, job: Job<Received>) {
        let at = self.now + READ_DELAY;
        self.timers.set(at, Timer::Read(job.number));
        self.jobs.insert(job.number, Stage::Received(job));
    }

    /// Reads what a job waits for from the platform; called by the timer.
    pub(super) fn read_for(&mut self, number: u64) {
        let Some(Stage::Received(job)) = self.jobs.get(&number) else {
            return;
        };
        let Some(key) = &job.submission.key else {
            return;
        };
        let team = &job.submission.team;
        let command = match &job.stage.wait {
            Wait::ReadBack(_) | Wait::VerifyRefusal(_) => {
                Command::Read(claim::claim_row_key(team, key))
            }
            Wait::Outcome => Command::Read(claim::outcome_row_key(team, key)),
            Wait::AnswerObject => Command::Get(claim::outcome_row_key(team, key)),
            Wait::Claim(_) | Wait::Owner(_) => return,
        };
        self.start_command(number, command);
    }

    /// Runs a job whose claim is in the table.
    fn run_claimed(&mut self, job: Job<Received>, nonce: Nonce) {
        self.run_job(job.permit(Permit::by_table(), Some(nonce)));
    }

    /// Continues a job whose key has a claim in the table: runs it, or gets the answer from the claim's owner.
    ///
    /// `nonce` is that of the job's own insert, if it made one.
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
            return self.finish_received(job, answer.unwrap_or_else(owner_unreachable));
        }
        if row.owner != self.identity.incarnation {
            return self.forward_to_owner(job, row.owner, Some(&row.name));
        }
        match nonce {
            Some(nonce) if nonce == row.nonce => self.run_claimed(job, nonce),
            // The claim is from an earlier job of this incarnation that has been evicted from the registry.
            _ => self.read_outcome(job),
        }
    }

    /// Forwards a job to the instance that owns its key, or reads the recorded outcome if that can't be reached.
    pub(super) fn forward_to_owner(
        &mut self,
        mut job: Job<Received>,
        owner: Incarnation,
        name: Option<&Instance>,
    ) {
        self.release_admission(&mut job);
        // An instance that has just started may not know the incarnation yet. It can use the name, since the peer
        // rejects a submission that is meant for another incarnation.
        let by_name = name.filter(|_| !self.membership.has_ended(owner)).cloned();
        let by_incarnation = self.membership.owner(owner).map(|(peer, _)| peer);
        let Some(peer) = by_incarnation.or(by_name) else {
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
        self.calls.insert(
            id,
            OutgoingCall::for_job(peer.clone(), self.now, job.number),
        );
        let wait = forward.left;
        self.jobs.insert(job.number, Stage::Received(job));
        self.call(peer, CallId::Submit(id), Call::Submit(forward), Some(wait));
    }

    /// Reads the recorded outcome of a key whose owner can't be reached.
    pub(super) fn read_outcome(&mut self, mut job: Job<Received>) {
        self.release_admission(&mut job);
        let Some(key) = job.submission.key.clone() else {
            return self.finish_received(job, owner_unreachable());
        };
        // Outcomes of range keys aren't recorded, since these keys cause no writes to the table.
        if Range::of(&key).is_some() || !self.may_try_store() {
            return self.finish_received(job, owner_unreachable());
        }
        job.stage.wait = Wait::Outcome;
        let row_key = claim::outcome_row_key(&job.submission.team, &key);
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Read(row_key));
    }

    /// Answers a job with its recorded outcome; fetches a long answer from the object store first.
    fn on_outcome_row(&mut self, mut job: Job<Received>, row: Option<wire::Row>) {
        let record = row.and_then(|row| serde_json::from_str::<claim::Record>(&row.value).ok());
        let Some(record) = record else {
            return self.finish_received(job, owner_unreachable());
        };
        if let Some(answer) = record.answer {
            return self.finish_received(job, answer);
        }
        let Some(key) = &job.submission.key else {
            return self.finish_received(job, owner_unreachable());
        };
        let object = claim::outcome_row_key(&job.submission.team, key);
        job.stage.wait = Wait::AnswerObject;
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Get(object));
    }

    /// Answers a job that was forwarded to the owner of its key; reads the recorded outcome if the call failed.
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
