//! Requests of callers about stored jobs: they go to the instance that coordinates the job's shard.

use std::collections::BTreeMap;

use super::{
    entry::{
        unsupported,
        USEFUL, //
    },
    id::JobId,
    message::{
        Answer,
        Contact,
        JobState,
        Knowledge,
        Message,
        Output,
        Question,
        Record,
        Ticket,
        Verdict, //
    },
    owner::Effects,
    route::Route,
    task::{
        AcceptedJob,
        Submission, //
    },
    Dispatcher, //
};
use crate::prelude::*;

/// After which a request that has no answer is sent again, to whoever coordinates the shard then.
const AGAIN: Span = Span::millis(400);

/// The same where the receiver couldn't tell.
const SOON: Span = Span::millis(60);

/// How long a request may take: a few takeovers of a shard. A caller comes again after that.
const PATIENCE: Span = Span::millis(4_000);

/// How long a job is offered to coordinators that can't take it before its caller is told to come back: a few tries.
const REFUSED: Span = Span::millis(600);

/// The share of its caller's time after which a job that may have been stored is answered as unknown, so that the answer
/// arrives in time.
const SHARE: f64 = 0.7;

/// When a caller may come back whose job was not accepted.
const BACK: Span = Span::seconds(1);

/// A request of a caller that waits.
#[derive(Debug)]
struct Request {
    ticket: Ticket,
    job: JobId,
    question: Question,
    began: Time,
    /// When it is sent again.
    next: Time,
    until: Time,
    /// How many times it was sent and nobody said that nothing was done.
    doubt: u32,
}

/// Requests on their way.
#[derive(Debug, Default)]
pub(super) struct Requests {
    open: BTreeMap<u64, Request>,
    serial: u64,
}

impl Requests {
    /// Forgets the request of a caller that has gone.
    pub(super) fn abandon(&mut self, ticket: Ticket) {
        self.open.retain(|_, request| request.ticket != ticket);
    }

    /// Tells whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Dispatcher {
    /// Takes in a job that is to be stored.
    pub(super) fn submit_stored(
        &mut self,
        ticket: Ticket,
        submission: Submission,
        route: &Route,
        wait: Option<Span>,
        now: Time,
        out: &mut Effects,
    ) {
        if let Some(reason) = unsupported(&submission, route) {
            let id = submission.id;
            return self.entry.refuse(ticket, id, &reason, Span(0), out);
        }
        let job = submission.id;
        let record = AcceptedJob {
            route: route.name.clone(),
            service: route.service.clone(),
            attempts: route.attempts.max(1),
            priority: route.priority,
            objective: route.objective(submission.critical_path()),
            submission,
        };
        let limit = wait.unwrap_or(route.timeout);
        let limit = Span((limit.0 as f64 * SHARE) as u64).min(PATIENCE);
        self.ask(ticket, job, Question::Accept(Box::new(record)), limit, now);
        self.ask_again(now, out);
    }

    /// Begins a request.
    pub(super) fn ask(
        &mut self,
        ticket: Ticket,
        job: JobId,
        question: Question,
        limit: Span,
        now: Time,
    ) {
        let request = Request {
            ticket,
            job,
            question,
            began: now,
            next: now,
            until: now + limit,
            doubt: 0,
        };
        self.requests.serial += 1;
        let serial = self.requests.serial;
        self.requests.open.insert(serial, request);
    }

    /// Sends the requests that are due, and answers those whose time has passed.
    pub(super) fn ask_again(&mut self, now: Time, out: &mut Effects) {
        if self.requests.open.is_empty() {
            return;
        }
        let coordinators = self.coordinators();
        let mut over = Vec::new();
        for (serial, request) in &mut self.requests.open {
            // A job that nobody can have taken up is refused before its caller's time is gone.
            let idle = request.doubt == 0 && now.since(request.began) >= REFUSED;
            if now >= request.until || idle && matches!(request.question, Question::Accept(_)) {
                over.push(*serial);
                continue;
            }
            if now < request.next {
                continue;
            }
            let Some(to) = coordinators.get(&request.job.shard()) else {
                request.next = now + SOON;
                continue;
            };
            request.next = now + AGAIN;
            request.doubt += 1;
            let message = Message::Request {
                serial: *serial,
                job: request.job,
                question: request.question.clone(),
            };
            out.messages.push((to.clone(), message));
        }
        for serial in over {
            let Some(request) = self.requests.open.remove(&serial) else {
                continue;
            };
            let record = Record::new("request_unanswered").job(request.job);
            out.outputs.push(Output::Log(record));
            let answer = match (&request.question, request.doubt) {
                (Question::Accept(_), 1..) => Answer::GivenUp { again: BACK },
                (Question::Accept(_), 0) => Answer::Refused { again: BACK },
                _ => Answer::Unready,
            };
            out.outputs.push(Output::Answer(request.ticket, answer));
        }
    }

    /// Takes the answer to a request.
    pub(super) fn verdict(&mut self, serial: u64, verdict: Verdict, now: Time, out: &mut Effects) {
        let Some(request) = self.requests.open.get_mut(&serial) else {
            return;
        };
        let answer = match verdict {
            Verdict::Unready => {
                request.doubt = request.doubt.saturating_sub(1);
                request.next = now + SOON;
                return;
            }
            Verdict::Accepted => Answer::Accepted,
            Verdict::Rejected { again } => Answer::Refused { again },
            Verdict::Standing(state) => Answer::Standing(state),
            Verdict::Unknown => Answer::Unknown,
        };
        let ticket = request.ticket;
        self.requests.open.remove(&serial);
        out.outputs.push(Output::Answer(ticket, answer));
    }

    /// Answers a request about a job of a shard that this instance coordinates.
    pub(super) fn request(
        &mut self,
        from: &Contact,
        serial: u64,
        job: JobId,
        question: Question,
        now: Time,
        out: &mut Effects,
    ) {
        let verdict = match &question {
            Question::State => self.state(job).map(Verdict::Standing),
            Question::Accept(record) => self.rejection(job, record),
            Question::Cancel => None,
        };
        if let Some(verdict) = verdict {
            let message = Message::Verdict { serial, verdict };
            return out.messages.push((from.clone(), message));
        }
        let act = self.durable.request(from, serial, job, question, now, out);
        if let Some(act) = act {
            self.act(vec![act], now, out);
        }
    }

    fn state(&self, job: JobId) -> Option<JobState> {
        let state = self.durable.state(job)?.into();
        let queued = state == JobState::Running && !self.entry.started(job);
        Some(if queued { JobState::Queued } else { state })
    }

    /// Rejects a job for which there is no room in any useful time, before anything of it is stored.
    fn rejection(&self, job: JobId, record: &AcceptedJob) -> Option<Verdict> {
        // What a former coordinator accepted is known when the shard is held.
        let held = self.durable.knowledge(job.shard()) == Some(Knowledge::Held);
        if !held || self.durable.knows(job) {
            return None;
        }
        let needed = self.entry.expect(&record.submission, &record.service);
        let useful = Span((record.objective.0 as f64 * USEFUL) as u64);
        match needed {
            Some(needed) if needed <= useful || needed <= record.submission.critical_path() => None,
            _ => Some(Verdict::Rejected { again: BACK }),
        }
    }
}
