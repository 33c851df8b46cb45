//! Submission of jobs: checks, admission, and the claim or the refusal.

use std::sync::Arc;

use super::{
    admission,
    answer::{
        conflict,
        qualify_refusal,
        refusal_in_doubt,
        RETRY_AFTER, //
    },
    claim::{
        self,
        Admittance,
        Entry,
        Lookup,
        Range, //
    },
    message::Command,
    stage::{
        Admitted,
        Job,
        Permit,
        Received,
        Recipient,
        Stage,
        Wait, //
    },
    timer::Timer,
    Core, //
};
use crate::{
    prelude::*,
    record::route::{
        Error,
        Route, //
    }, //
};

/// The deadline of a job that is forwarded or refused before a route gives one.
const DEFAULT_DEADLINE: Span = Span::seconds(10);

/// A submission from a caller or from a peer.
pub(super) struct Arrival {
    pub(super) recipient: Recipient,
    pub(super) submission: Submission,
    pub(super) digest: Digest,
    pub(super) bytes: usize,
    /// Whether the caller states that it sends this key for the first time.
    pub(super) first: bool,
    /// The time left until the deadline, if a peer forwarded the submission.
    pub(super) time_left: Option<Span>,
}

impl Core {
    /// Handles a submission: joins it to the job of its key, answers it, admits it or forwards it.
    pub(super) fn submit(&mut self, arrival: Arrival) {
        if let Some(detail) = find_invalid_field(&arrival.submission) {
            let answer = Answer::refusal(Reason::Invalid, detail);
            return self.send_answer(arrival.recipient, &answer);
        }
        let Some(key) = arrival.submission.key.clone() else {
            return self.submit_new(arrival, None, Origin::Range);
        };
        let team = &arrival.submission.team;
        match self.registry.find(team, &key, &arrival.digest) {
            Lookup::Conflict => self.send_answer(arrival.recipient, &conflict(&key)),
            Lookup::Entry(Entry::Kept(kept)) => {
                let answer = kept.answer();
                self.count_answer(&answer, arrival.submission.class.unwrap_or_default());
                self.send_answer(arrival.recipient, &answer);
            }
            Lookup::Entry(Entry::Open(job)) => self.join_job(job, arrival.recipient),
            Lookup::Entry(Entry::Abandoned(nonce)) => {
                self.submit_new(arrival, Some(nonce), Origin::Abandoned);
            }
            Lookup::Missing => match Range::of(&key) {
                Some(range) if range.incarnation != self.identity.incarnation => {
                    self.submit_to_owner(arrival, range.incarnation);
                }
                Some(range) => self.submit_range(arrival, &key, range),
                None => self.submit_new(arrival, None, Origin::Table),
            },
        }
    }

    /// Adds a recipient to the answer of a job that is in progress.
    pub(super) fn join_job(&mut self, number: u64, recipient: Recipient) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.recipients().push(recipient);
            self.track_request(number, recipient);
        }
    }

    /// Stores which job a caller waits for, so that the caller can be removed when its connection is closed.
    fn track_request(&mut self, number: u64, recipient: Recipient) {
        if let Recipient::Request(request) = recipient {
            self.requests.insert(request, number);
        }
    }

    /// Admits a new key of a range of this incarnation while the range is open, and refuses it otherwise.
    fn submit_range(&mut self, arrival: Arrival, key: &Key, range: Range) {
        let answer = match self.registry.admittance(range.epoch) {
            Admittance::Open => return self.submit_new(arrival, None, Origin::Range),
            Admittance::Closed => Answer::refusal(
                Reason::RangeClosed,
                format!("the range of key {key} is closed; take a key from the current one"),
            ),
            Admittance::Forgotten => Answer::new(
                Outcome::Unknown,
                Reason::Forgotten,
                format!("key {key} is older than the retention window"),
            ),
        };
        self.send_answer(arrival.recipient, &answer.with_key(key.clone()));
    }

    /// Forwards a key of another incarnation's range to its owner, which alone may admit it.
    fn submit_to_owner(&mut self, arrival: Arrival, owner: Incarnation) {
        let stage = Received {
            admitted: None,
            wait: Wait::Outcome,
        };
        let job = self.create_job(arrival, DEFAULT_DEADLINE, stage);
        self.forward_to_owner(job, owner, None);
    }

    /// Admits and claims a submission whose key isn't in progress or answered here, or refuses it.
    fn submit_new(&mut self, arrival: Arrival, nonce: Option<Nonce>, origin: Origin) {
        let deadline = arrival.submission.deadline;
        match self.admit(&arrival) {
            Ok((admitted, deadline)) => {
                let stage = Received {
                    admitted: Some(admitted),
                    wait: Wait::Claim(nonce.unwrap_or_else(|| Nonce::random(&mut self.random))),
                };
                let job = self.create_job(arrival, deadline, stage);
                self.claim_key(job, origin);
            }
            Err(refusal) => self.refuse(
                arrival,
                deadline.unwrap_or(DEFAULT_DEADLINE),
                refusal,
                origin,
            ),
        }
    }

    /// Refuses a submission before it is claimed.
    ///
    /// Prevents a false "not run", after which the caller would run the job a second time under a new key: an earlier
    /// submission of the key may have run on another instance. So the claim of a key that may have been sent before
    /// is read from the table first. If there is one, its owner answers; otherwise the refusal is sent.
    fn refuse(&mut self, arrival: Arrival, deadline: Span, refusal: Answer, origin: Origin) {
        let repeatable = arrival.submission.class.is_some_and(Class::is_repeatable);
        if origin != Origin::Table || arrival.first || repeatable {
            self.count_answer(&refusal, arrival.submission.class.unwrap_or_default());
            return self.send_answer(arrival.recipient, &refusal);
        }
        let Some(key) = arrival.submission.key.clone() else {
            return self.send_answer(arrival.recipient, &refusal);
        };
        if !self.may_try_store() {
            return self.send_answer(arrival.recipient, &refusal_in_doubt(&refusal).with_key(key));
        }
        let row_key = claim::claim_row_key(&arrival.submission.team, &key);
        let stage = Received {
            admitted: None,
            wait: Wait::VerifyRefusal(refusal),
        };
        let job = self.create_job(arrival, deadline, stage);
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Read(row_key));
    }

    /// Checks a submission against the configuration and the limits, and counts it if it is admitted.
    ///
    /// Returns the deadline with what was admitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal; nothing is counted then.
    fn admit(&mut self, arrival: &Arrival) -> Result<(Admitted, Span), Answer> {
        let submission = &arrival.submission;
        if self.draining.is_some() {
            let refusal =
                Answer::refusal(Reason::Draining, "this instance is draining; try another");
            return Err(refusal.with_retry_after(Span::millis(50)));
        }
        if !self.is_ready() {
            let refusal =
                Answer::refusal(Reason::NotReady, "this instance has no configuration yet");
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        let route = self.find_route(&submission.service)?;
        if submission.tasks.len() > route.max_tasks as usize {
            let detail = format!(
                "tasks: {} tasks, the service allows {}",
                submission.tasks.len(),
                route.max_tasks
            );
            return Err(Answer::refusal(Reason::Invalid, detail));
        }
        self.check_needs(&route, submission)?;
        if self.registry.is_full() {
            let refusal = Answer::refusal(Reason::Busy, "the memory for keys and answers is full");
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        let deadline = submission.deadline.unwrap_or(route.deadline);
        let deadline = arrival.time_left.unwrap_or(deadline).min(route.deadline);
        let work: u64 = submission.tasks.iter().map(|task| task.expected.0).sum();
        let longest = submission.tasks.iter().map(|task| task.expected).max();
        let demand = admission::Demand {
            team: &submission.team,
            tasks: submission.tasks.len() as u32,
            bytes: arrival.bytes,
            work: Span(work),
            longest: longest.unwrap_or_default(),
            time_left: deadline,
            quota: route.quotas.get(&submission.team).copied(),
            slots: self.own_slots(&route),
        };
        self.admission.admit(self.now, &demand).map_err(|refusal| {
            let answer = Answer::refusal(refusal.reason, refusal.detail);
            match refusal.retry_after {
                Some(span) => answer.with_retry_after(span),
                None => answer,
            }
        })?;
        let admitted = Admitted {
            class: submission.class.unwrap_or(route.class),
            route,
            work: Span(work),
        };
        Ok((admitted, deadline))
    }

    /// Returns this instance's share of the route's slots.
    fn own_slots(&self, route: &Route) -> u32 {
        let slots = self.placement.slots(route);
        let own = (f64::from(slots) * self.endpoint_share).ceil() as u32;
        own.clamp(slots.min(1), slots)
    }

    /// Returns the route of a service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no configuration of the service is in force or supported.
    fn find_route(&self, service: &Service) -> Result<Arc<Route>, Answer> {
        self.config.route(service).map_err(|missing| match missing {
            Error::UnknownSchema => Answer::refusal(
                Reason::Schema,
                format!(
                    "service: a record of {service} has a schema that this version doesn't know"
                ),
            )
            .with_retry_after(RETRY_AFTER),
            Error::UnknownService => Answer::refusal(
                Reason::NoService,
                format!("service: no service {service} is in force"),
            ),
        })
    }

    /// Checks that some endpoint of the route is large enough for each task.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the first task that fits no endpoint.
    fn check_needs(&self, route: &Route, submission: &Submission) -> Result<(), Answer> {
        let mut last_checked: Option<Hardware> = None;
        for (i, task) in submission.tasks.iter().enumerate() {
            if last_checked == Some(task.need) {
                continue;
            }
            last_checked = Some(task.need);
            if !self.placement.is_possible(route, task.need) {
                let detail = format!("tasks[{i}].need: no endpoint of the service has so much");
                return Err(Answer::refusal(Reason::Impossible, detail));
            }
        }
        Ok(())
    }

    /// Creates the job of a submission, registers its key and sets the timer of its deadline.
    fn create_job(&mut self, arrival: Arrival, deadline: Span, stage: Received) -> Job<Received> {
        let number = self.next_serial();
        let deadline = self.now + arrival.time_left.unwrap_or(deadline).min(deadline);
        if let Some(key) = &arrival.submission.key {
            let team = &arrival.submission.team;
            self.registry.insert(team, key, arrival.digest, number);
        }
        let timer = self.timers.set(deadline, Timer::Deadline(number));
        self.track_request(number, arrival.recipient);
        Job {
            number,
            submission: arrival.submission,
            digest: arrival.digest,
            bytes: arrival.bytes,
            arrived: self.now,
            deadline,
            timer,
            first: arrival.first,
            recipients: vec![arrival.recipient],
            stage,
        }
    }

    /// Claims the key of an admitted job in the table; runs the job at once if it needs no such claim.
    fn claim_key(&mut self, job: Job<Received>, origin: Origin) {
        let class = job.stage.admitted.as_ref().map(|admitted| admitted.class);
        if class.is_some_and(Class::is_repeatable) {
            return self.run_job(job.permit(Permit::without_claim(), None));
        }
        let Some(key) = job.submission.key.clone() else {
            return self.run_job(job.permit(Permit::without_claim(), None));
        };
        if origin == Origin::Range || Range::of(&key).is_some() {
            return self.run_job(job.permit(Permit::by_range(), None));
        }
        if !self.may_try_store() {
            return self.fail_claim(job);
        }
        let Wait::Claim(nonce) = job.stage.wait.clone() else {
            return self.fail_claim(job);
        };
        self.insert_claim(&job, &key, nonce);
        self.jobs.insert(job.number, Stage::Received(job));
    }

    /// Refuses a job that couldn't be claimed since the table doesn't answer.
    pub(super) fn fail_claim(&mut self, job: Job<Received>) {
        self.refuse_claim(job, Reason::Store, "the platform's table can't be reached");
    }

    /// Refuses a job whose claim wasn't sent, since this instance has too many commands to the table.
    pub(super) fn withhold_claim(&mut self, job: Job<Received>) {
        self.refuse_claim(job, Reason::Busy, "this instance has no room for the claim");
    }

    fn refuse_claim(&mut self, job: Job<Received>, reason: Reason, detail: &str) {
        let refusal = Answer::refusal(reason, detail);
        let retry_after = self.jitter(RETRY_AFTER);
        let refusal = refusal.with_retry_after(retry_after);
        let answer = qualify_refusal(&refusal, job.first);
        self.finish_received(job, answer);
    }
}

/// The origin of a new submission's key, which decides how it is claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The key is from a range of this incarnation, or there is no key.
    Range,
    /// The caller chose the key, so it needs a claim in the table.
    Table,
    /// An earlier job of the key ended at this instance without a start of a task.
    Abandoned,
}

/// Returns a message for the first invalid field of a submission, if there is one.
fn find_invalid_field(submission: &Submission) -> Option<String> {
    if submission.tasks.is_empty() {
        return Some("tasks: a job has at least one task".to_owned());
    }
    if submission.deadline == Some(Span::default()) {
        return Some("deadline_ms: must be at least 1".to_owned());
    }
    let is_zero = |task: &crate::job::Task| task.expected == Span::default();
    let index = submission.tasks.iter().position(is_zero)?;
    Some(format!("tasks[{index}].expected_ms: must be at least 1"))
}
