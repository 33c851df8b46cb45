//! From a submission to its claim or its refusal.

use std::sync::Arc;

use super::{
    admission,
    answer::{
        conflict,
        doubtful,
        refused,
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
        Stage,
        Wait,
        Waiter, //
    },
    timer::Timer,
    Core,
};
use crate::{
    prelude::*,
    record::route::{
        Error,
        Route, //
    },
};

/// The deadline of a job that never got as far as a route.
const DEADLINE: Span = Span::seconds(10);

/// A submission as it arrives.
pub(super) struct Arrival {
    pub(super) waiter: Waiter,
    pub(super) submission: Submission,
    pub(super) digest: Digest,
    pub(super) bytes: usize,
    /// Whether the caller says that it never sent this key before.
    pub(super) first: bool,
    /// The time that is left, where another instance took it in.
    pub(super) time_left: Option<Span>,
}

impl Core {
    pub(super) fn submit(&mut self, arrival: Arrival) {
        if let Some(fault) = fault(&arrival.submission) {
            let answer = Answer::refusal(Reason::Invalid, fault);
            return self.send_answer(arrival.waiter, &answer);
        }
        let Some(key) = arrival.submission.key.clone() else {
            return self.submit_new(arrival, None, Origin::Range);
        };
        let team = &arrival.submission.team;
        match self.registry.find(team, &key, &arrival.digest) {
            Lookup::Conflict => self.send_answer(arrival.waiter, &conflict(&key)),
            Lookup::Entry(Entry::Kept(kept)) => {
                let answer = kept.answer();
                self.count_answer(&answer, arrival.submission.class.unwrap_or_default());
                self.send_answer(arrival.waiter, &answer);
            }
            Lookup::Entry(Entry::Open(job)) => self.join_job(job, arrival.waiter),
            Lookup::Entry(Entry::Abandoned(nonce)) => {
                self.submit_new(arrival, Some(nonce), Origin::Known);
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

    pub(super) fn join_job(&mut self, number: u64, waiter: Waiter) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.waiters().push(waiter);
            self.track_request(number, waiter);
        }
    }

    fn track_request(&mut self, number: u64, waiter: Waiter) {
        if let Waiter::Request(request) = waiter {
            self.requests.insert(request, number);
        }
    }

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
                format!("key {key} is older than the kept window"),
            ),
        };
        self.send_answer(arrival.waiter, &answer.with_key(key.clone()));
    }

    /// Hands a key of another incarnation's range to its owner, which alone may admit it.
    fn submit_to_owner(&mut self, arrival: Arrival, owner: Incarnation) {
        let stage = Received {
            admitted: None,
            wait: Wait::Record,
        };
        let job = self.create_job(arrival, DEADLINE, stage);
        self.forward_to_owner(job, owner, None);
    }

    /// Admits a submission whose key is not known here, and claims it or refuses it.
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
            Err(refusal) => self.refuse(arrival, deadline.unwrap_or(DEADLINE), refusal, origin),
        }
    }

    /// Refuses a submission before it is claimed.
    ///
    /// A resubmission may reach an instance that refuses everything at the moment, while its first copy ran
    /// elsewhere. A plain "not run" would then be false, and the caller would run the job again under a new
    /// key. So a key that the caller doesn't call new is looked up in the table first: a claim that stands
    /// there leads to the owner's answer, and only its absence makes the refusal true.
    fn refuse(&mut self, arrival: Arrival, deadline: Span, refusal: Answer, origin: Origin) {
        let repeatable = arrival.submission.class.is_some_and(Class::is_repeatable);
        if origin != Origin::Table || arrival.first || repeatable {
            self.count_answer(&refusal, arrival.submission.class.unwrap_or_default());
            return self.send_answer(arrival.waiter, &refusal);
        }
        let Some(name) = arrival.submission.key.clone() else {
            return self.send_answer(arrival.waiter, &refusal);
        };
        if !self.may_try_store() {
            return self.send_answer(arrival.waiter, &doubtful(&refusal).with_key(name));
        }
        let place = claim::claim_row_key(&arrival.submission.team, &name);
        let stage = Received {
            admitted: None,
            wait: Wait::Verify(refusal),
        };
        let job = self.create_job(arrival, deadline, stage);
        let number = job.number;
        self.jobs.insert(number, Stage::Received(job));
        self.start_command(number, Command::Read(place));
    }

    /// Checks a submission against the configuration and the bounds; counts it where it is admitted.
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

    /// Returns the slots that this instance can count on, by its share of the work.
    fn own_slots(&self, route: &Route) -> u32 {
        let slots = self.placement.slots(route);
        let own = (f64::from(slots) * self.endpoint_share).ceil() as u32;
        own.clamp(slots.min(1), slots)
    }

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

    fn check_needs(&self, route: &Route, submission: &Submission) -> Result<(), Answer> {
        let mut checked: Option<Hardware> = None;
        for (i, task) in submission.tasks.iter().enumerate() {
            if checked == Some(task.need) {
                continue;
            }
            checked = Some(task.need);
            if !self.placement.is_possible(route, task.need) {
                let detail = format!("tasks[{i}].need: no endpoint of the service has so much");
                return Err(Answer::refusal(Reason::Impossible, detail));
            }
        }
        Ok(())
    }

    /// Makes a job of a submission, notes its key and sets its deadline.
    fn create_job(&mut self, arrival: Arrival, deadline: Span, stage: Received) -> Job<Received> {
        let number = self.next_serial();
        let deadline = self.now + arrival.time_left.unwrap_or(deadline).min(deadline);
        if let Some(key) = &arrival.submission.key {
            let team = &arrival.submission.team;
            self.registry.insert(team, key, arrival.digest, number);
        }
        let timer = self.timers.set(deadline, Timer::Deadline(number));
        self.track_request(number, arrival.waiter);
        Job {
            number,
            submission: arrival.submission,
            digest: arrival.digest,
            bytes: arrival.bytes,
            arrived: self.now,
            deadline,
            timer,
            first: arrival.first,
            waiters: vec![arrival.waiter],
            stage,
        }
    }

    /// Claims the key of a job that was admitted; where no claim is needed, it runs at once.
    fn claim_key(&mut self, job: Job<Received>, origin: Origin) {
        let class = job.stage.admitted.as_ref().map(|admitted| admitted.class);
        if class.is_some_and(Class::is_repeatable) {
            return self.run_job(job.permit(Permit::without_claim(), None));
        }
        let Some(name) = job.submission.key.clone() else {
            return self.run_job(job.permit(Permit::without_claim(), None));
        };
        if origin == Origin::Range || Range::of(&name).is_some() {
            return self.run_job(job.permit(Permit::by_range(), None));
        }
        if !self.may_try_store() {
            return self.fail_claim(job);
        }
        let Wait::Claim(nonce) = job.stage.wait.clone() else {
            return self.fail_claim(job);
        };
        self.insert_claim(&job, &name, nonce);
        self.jobs.insert(job.number, Stage::Received(job));
    }

    /// Ends a job that couldn't be claimed because the table doesn't answer.
    pub(super) fn fail_claim(&mut self, job: Job<Received>) {
        let refusal = Answer::refusal(Reason::Store, "the platform's table can't be reached");
        let retry = self.jitter(RETRY_AFTER);
        let refusal = refusal.with_retry_after(retry);
        let answer = refused(&refusal, job.first);
        self.finish_received(job, answer);
    }
}

/// Where the key of a new submission comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// An own range, or there is none.
    Range,
    /// The caller's own choice, which the table decides on.
    Table,
    /// The caller's own choice, known here as never run.
    Known,
}

fn fault(submission: &Submission) -> Option<String> {
    if submission.tasks.is_empty() {
        return Some("tasks: a job has at least one task".to_owned());
    }
    if submission.deadline == Some(Span::default()) {
        return Some("deadline_ms: must be at least 1".to_owned());
    }
    let zero = |task: &crate::job::Task| task.expected == Span::default();
    let at = submission.tasks.iter().position(zero)?;
    Some(format!("tasks[{at}].expected_ms: must be at least 1"))
}
