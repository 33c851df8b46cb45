//! The end of a job: its answer, what is kept of it, and the queries, cancels and deadlines of jobs.

use super::{
    answer::{
        qualify_refusal,
        refusal_in_doubt,
        unknown_key,
        with_key, //
    },
    claim::{
        Entry,
        KeptAnswer, //
    },
    message::{
        Output,
        Request,
        Return,
        Sample, //
    },
    stage::{
        self,
        Job,
        Received,
        Recipient,
        Stage,
        Wait, //
    },
    Core, //
};
use crate::{
    event::Code,
    prelude::*, //
};

impl Core {
    /// Releases what admission counted for a job that this instance won't run.
    pub(super) fn release_admission(&mut self, job: &mut Job<Received>) {
        if let Some(admitted) = job.stage.admitted.take() {
            let tasks = job.submission.tasks.len() as u32;
            let team = &job.submission.team;
            self.admission
                .release_job(team, tasks, job.bytes, admitted.work);
        }
    }

    /// Answers a job that this instance didn't run, and removes its key or keeps the nonce of its claim.
    pub(super) fn finish_received(&mut self, mut job: Job<Received>, answer: Answer) {
        self.timers.cancel(job.timer);
        self.release_admission(&mut job);
        if let Some(key) = &job.submission.key {
            let team = &job.submission.team;
            match job.stage.wait {
                // The insert may still be applied: its nonce is kept, so that the next submission recognizes the claim.
                Wait::Claim(nonce) | Wait::ReadBack(nonce) if answer.reason != Reason::Conflict => {
                    let entry = Entry::Abandoned(nonce);
                    self.registry.finish(self.now, team, key, entry);
                }
                _ => self.registry.remove(team, key),
            }
        }
        self.report_outcome(
            &answer,
            job.number,
            job.submission.class.unwrap_or_default(),
        );
        let answer = with_key(answer, &job.submission);
        self.send_answers(&job.recipients, &answer);
    }

    /// Answers a job that was claimed, stops its attempts, and keeps its answer for resubmissions.
    pub(super) fn finish_running(&mut self, job: Job<stage::Running>, answer: Answer) {
        let submission = &job.submission;
        let admitted = &job.stage.admitted;
        // Admission has released the tasks that are done already.
        let tasks = submission.tasks.iter().zip(&job.stage.tasks);
        let unfinished = tasks.filter(|(_, progress)| !progress.done);
        let work = unfinished.map(|(task, _)| task.expected.0).sum();
        self.admission.release_job(
            &submission.team,
            job.stage.unfinished as u32,
            job.bytes,
            Span(work),
        );
        if let Some(queue) = self.queues.get_mut(&admitted.route.service) {
            queue.remove_job(&submission.team, job.number);
        }
        self.stop_attempts(&job);
        self.report_outcome(&answer, job.number, job.stage.admitted.class);
        let answer = with_key(answer, submission);
        if let Some(key) = &submission.key {
            self.keep_answer(&job, key, &answer);
        }
        self.send_answers(&job.recipients, &answer);
    }

    /// Keeps a job's answer in the registry, and records it in the table if the claim is there.
    fn keep_answer(&mut self, job: &Job<stage::Running>, key: &Key, answer: &Answer) {
        let team = &job.submission.team;
        if job.stage.admitted.class.is_repeatable() {
            return self.registry.remove(team, key);
        }
        let entry = if answer.outcome == Outcome::NotRun {
            // A key of a range has no claim in the table, so its nonce is never compared.
            Entry::Abandoned(job.stage.nonce.unwrap_or(Nonce(0)))
        } else {
            if job.stage.nonce.is_some() {
                self.record_outcome(team, key, job.digest, answer);
            }
            Entry::Kept(KeptAnswer::new(answer))
        };
        let evicted = self.registry.finish(self.now, team, key, entry);
        self.log_evicted(evicted);
    }

    /// Counts an answer for the metrics.
    pub(super) fn count_answer(&mut self, answer: &Answer, class: Class) {
        self.outputs.push(Output::Measure(Sample::Answered {
            outcome: answer.outcome,
            reason: answer.reason,
            class,
        }));
    }

    /// Counts an answer for the metrics, and logs it if its outcome is unknown.
    fn report_outcome(&mut self, answer: &Answer, job: u64, class: Class) {
        self.count_answer(answer, class);
        if answer.outcome == Outcome::Unknown {
            let detail = format!("job {job}: {}", answer.detail);
            self.log_event(Code::OutcomeUnknown, detail);
        }
    }

    /// Answers a job whose deadline has passed; called by the timer.
    pub(super) fn on_deadline(&mut self, number: u64) {
        match self.jobs.remove(&number) {
            None => {}
            Some(Stage::Running(job)) => self.finish_early(job, Reason::Deadline),
            Some(Stage::Received(job)) => {
                let answer = match &job.stage.wait {
                    Wait::Claim(_) | Wait::ReadBack(_) => return self.fail_claim(job),
                    Wait::VerifyRefusal(refusal) => refusal_in_doubt(refusal),
                    _ => Answer::new(
                        Outcome::Unknown,
                        Reason::Deadline,
                        "the deadline passed before the owner of this key answered",
                    ),
                };
                self.finish_received(job, answer);
            }
        }
    }

    /// Cancels the job of a key, and answers the caller with the job's outcome.
    pub(super) fn cancel_job(&mut self, request: Request, team: &Team, key: &Key) {
        let recipient = Recipient::Request(request);
        match self.registry.get(team, key).cloned() {
            Some(Entry::Kept(kept)) => self.send_answer(recipient, &kept.answer()),
            Some(Entry::Open(number)) => {
                self.join_job(number, recipient);
                self.end_job(number, Reason::Cancelled);
            }
            Some(Entry::Abandoned(_)) => self.send_answer(
                recipient,
                &Answer::refusal(Reason::Cancelled, "no task of this job was started"),
            ),
            None => self.send_answer(recipient, &unknown_key(key)),
        }
    }

    /// Answers a job that is cancelled or that a drain ends; does nothing if it was answered.
    pub(super) fn end_job(&mut self, number: u64, reason: Reason) {
        match self.jobs.remove(&number) {
            None => {}
            Some(Stage::Running(job)) => self.finish_early(job, reason),
            Some(Stage::Received(job)) => {
                let is_claiming = matches!(job.stage.wait, Wait::Claim(_) | Wait::ReadBack(_));
                let refusal = Answer::refusal(reason, "the job ended before it was claimed");
                let answer = qualify_refusal(&refusal, is_claiming && job.first);
                self.finish_received(job, answer);
            }
        }
    }

    /// Answers the caller with the state of the job of a key.
    pub(super) fn find_job(&mut self, request: Request, team: &Team, key: &Key) {
        let recipient = Recipient::Request(request);
        match self.registry.get(team, key).cloned() {
            Some(Entry::Kept(kept)) => self.send_answer(recipient, &kept.answer()),
            Some(Entry::Open(_)) => self.send_answer(
                recipient,
                &Answer::new(Outcome::Unknown, Reason::Running, "the job is in progress")
                    .with_key(key.clone()),
            ),
            Some(Entry::Abandoned(_)) => self.send_answer(
                recipient,
                &Answer::refusal(Reason::Store, "no task of this job was started")
                    .with_key(key.clone()),
            ),
            None => self.send_answer(recipient, &unknown_key(key)),
        }
    }

    /// Removes a caller whose connection is closed from the recipients of its job.
    ///
    /// The job continues and its answer is kept. An idempotent job without a key or another recipient is cancelled.
    pub(super) fn on_hangup(&mut self, request: Request) {
        let Some(number) = self.requests.remove(&request) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.recipients()
            .retain(|recipient| *recipient != Recipient::Request(request));
        // Prevents work without a recipient: without a key, nobody can ask for the answer later.
        if let Stage::Running(job) = job {
            let has_no_key = job.submission.key.is_none();
            let has_no_recipient = job.recipients.is_empty();
            if has_no_recipient && has_no_key && job.stage.admitted.class.is_repeatable() {
                self.end_job(number, Reason::Cancelled);
            }
        }
    }

    /// Sends an answer to a caller, or to the peer that forwarded the submission.
    pub(super) fn send_answer(&mut self, recipient: Recipient, answer: &Answer) {
        let output = match recipient {
            Recipient::Request(request) => {
                self.requests.remove(&request);
                Output::Answer(request, answer.clone())
            }
            Recipient::Peer(incoming) => Output::Return(incoming, Return::Answer(answer.clone())),
        };
        self.outputs.push(output);
    }

    /// Sends an answer to all recipients of a job.
    pub(super) fn send_answers(&mut self, recipients: &[Recipient], answer: &Answer) {
        for recipient in recipients {
            self.send_answer(*recipient, answer);
        }
    }
}
