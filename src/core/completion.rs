//! The end of a job: its answer, and what is kept of it.

use super::{
    answer::{
        doubtful,
        not_known,
        refused,
        with_key, //
    },
    claim::{
        Entry,
        Kept, //
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
        Stage,
        Wait,
        Waiter, //
    },
    Core,
};
use crate::{
    event::Code,
    prelude::*, //
};

impl Core {
    pub(super) fn release_admission(&mut self, job: &mut Job<Received>) {
        if let Some(admitted) = job.stage.admitted.take() {
            let tasks = job.submission.tasks.len() as u32;
            let team = &job.submission.team;
            self.admission
                .release_job(team, tasks, job.bytes, admitted.work);
        }
    }

    /// Answers a job that never ran here.
    pub(super) fn finish_received(&mut self, mut job: Job<Received>, answer: Answer) {
        self.timers.cancel(job.timer);
        self.release_admission(&mut job);
        if let Some(key) = &job.submission.key {
            let team = &job.submission.team;
            match job.stage.wait {
                // The insert may have landed or may land yet: the claim is kept for the next submission.
                Wait::Claim(nonce) | Wait::Settle(nonce) if answer.reason != Reason::Conflict => {
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
        self.send_answers(&job.waiters, &answer);
    }

    /// Answers a job that had the right to run.
    pub(super) fn finish_running(&mut self, job: Job<stage::Running>, answer: Answer) {
        let submission = &job.submission;
        let admitted = &job.stage.admitted;
        // What has ended is counted out already.
        let tasks = submission.tasks.iter().zip(&job.stage.tasks);
        let rest = tasks.filter(|(_, progress)| !progress.done);
        let work = rest.map(|(task, _)| task.expected.0).sum();
        self.admission.release_job(
            &submission.team,
            job.stage.left as u32,
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
        self.send_answers(&job.waiters, &answer);
    }

    /// Keeps the answer of a job under its key, and records it where the claim is in the table.
    fn keep_answer(&mut self, job: &Job<stage::Running>, key: &Key, answer: &Answer) {
        let team = &job.submission.team;
        if job.stage.admitted.class.is_repeatable() {
            return self.registry.remove(team, key);
        }
        let entry = if answer.outcome == Outcome::NotRun {
            Entry::Abandoned(job.stage.nonce.unwrap_or(Nonce(0)))
        } else {
            if job.stage.nonce.is_some() {
                self.record_outcome(team, key, job.digest, answer);
            }
            Entry::Kept(Kept::new(answer))
        };
        let dropped = self.registry.finish(self.now, team, key, entry);
        self.log_forgotten(dropped);
    }

    pub(super) fn count_answer(&mut self, answer: &Answer, class: Class) {
        self.outputs.push(Output::Measure(Sample::Answered {
            outcome: answer.outcome,
            reason: answer.reason,
            class,
        }));
    }

    fn report_outcome(&mut self, answer: &Answer, job: u64, class: Class) {
        self.count_answer(answer, class);
        if answer.outcome == Outcome::Unknown {
            let detail = format!("job {job}: {}", answer.detail);
            self.log_event(Code::OutcomeUnknown, detail);
        }
    }

    pub(super) fn on_deadline(&mut self, number: u64) {
        match self.jobs.remove(&number) {
            None => {}
            Some(Stage::Running(job)) => self.finish_early(job, Reason::Deadline),
            Some(Stage::Received(job)) => {
                let answer = match &job.stage.wait {
                    Wait::Claim(_) | Wait::Settle(_) => return self.fail_claim(job),
                    Wait::Verify(refusal) => doubtful(refusal),
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

    pub(super) fn cancel_job(&mut self, request: Request, team: &Team, key: &Key) {
        let waiter = Waiter::Request(request);
        match self.registry.get(team, key).cloned() {
            Some(Entry::Kept(kept)) => self.send_answer(waiter, &kept.answer()),
            Some(Entry::Open(number)) => {
                self.join_job(number, waiter);
                self.end_job(number, Reason::Cancelled);
            }
            Some(Entry::Abandoned(_)) => self.send_answer(
                waiter,
                &Answer::refusal(Reason::Cancelled, "no task of this job was started"),
            ),
            None => self.send_answer(waiter, &not_known(key)),
        }
    }

    /// Ends a job before it is complete, with the truth about what may have run.
    pub(super) fn end_job(&mut self, number: u64, reason: Reason) {
        match self.jobs.remove(&number) {
            None => {}
            Some(Stage::Running(job)) => self.finish_early(job, reason),
            Some(Stage::Received(job)) => {
                let claiming = matches!(job.stage.wait, Wait::Claim(_) | Wait::Settle(_));
                let refusal = Answer::refusal(reason, "ended before it was claimed");
                let answer = refused(&refusal, claiming && job.first);
                self.finish_received(job, answer);
            }
        }
    }

    pub(super) fn find_job(&mut self, request: Request, team: &Team, key: &Key) {
        let waiter = Waiter::Request(request);
        match self.registry.get(team, key).cloned() {
            Some(Entry::Kept(kept)) => self.send_answer(waiter, &kept.answer()),
            Some(Entry::Open(_)) => self.send_answer(
                waiter,
                &Answer::new(Outcome::Unknown, Reason::Running, "the job is in progress")
                    .with_key(key.clone()),
            ),
            Some(Entry::Abandoned(_)) => self.send_answer(
                waiter,
                &Answer::refusal(Reason::Store, "no task of this job was started")
                    .with_key(key.clone()),
            ),
            None => self.send_answer(waiter, &not_known(key)),
        }
    }

    /// Forgets a caller whose connection is gone; its job goes on, and its answer is kept.
    pub(super) fn on_hangup(&mut self, request: Request) {
        let Some(number) = self.requests.remove(&request) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.waiters()
            .retain(|waiter| *waiter != Waiter::Request(request));
        // Nobody can ask again for an idempotent job without a key: its rest would be work for no one.
        if let Stage::Running(job) = job {
            let keyless = job.submission.key.is_none();
            let alone = job.waiters.is_empty();
            if alone && keyless && job.stage.admitted.class.is_repeatable() {
                self.end_job(number, Reason::Cancelled);
            }
        }
    }

    pub(super) fn send_answer(&mut self, waiter: Waiter, answer: &Answer) {
        let output = match waiter {
            Waiter::Request(request) => {
                self.requests.remove(&request);
                Output::Answer(request, answer.clone())
            }
            Waiter::Peer(caller) => Output::Return(caller, Return::Answer(answer.clone())),
        };
        self.outputs.push(output);
    }

    pub(super) fn send_answers(&mut self, waiters: &[Waiter], answer: &Answer) {
        for waiter in waiters {
            self.send_answer(*waiter, answer);
        }
    }
}
