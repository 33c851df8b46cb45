//! Callers' requests about stored jobs, forwarded to the instance that coordinates the job's shard.

use std::collections::BTreeMap;

use super::{
    admission::{
        self,
        Decision,
        Limits, //
    },
    entry::{
        unsupported_feature,
        UNLIMITED,
        USEFUL_FACTOR, //
    },
    id::{
        JobId,
        RequestSerial, //
    },
    message::{
        Answer,
        Contact,
        JobState,
        Knowledge,
        LogRecord,
        Message,
        Output,
        Question,
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

/// Interval after which an unanswered request is sent again, to the shard's current coordinator.
const RESEND_INTERVAL: Span = Span::millis(400);

/// Retry delay where the shard has no coordinator, or its coordinator isn't ready.
const UNREADY_RETRY_DELAY: Span = Span::millis(60);

/// Greatest time limit for accepting a job: a few takeovers of a shard. The caller can retry after that.
const MAX_ACCEPT_TIMEOUT: Span = Span::millis(4_000);

/// How long a job is offered to coordinators that can't accept it before it is refused: a few attempts.
const REFUSAL_TIMEOUT: Span = Span::millis(600);

/// Share of the caller's time limit after which a job without a verdict is given up, so that the answer still
/// arrives in time.
const TIME_LIMIT_SHARE: f64 = 0.7;

/// Retry delay for callers whose job wasn't accepted.
const RETRY_DELAY: Span = Span::seconds(1);

/// A caller's request that has no answer yet.
#[derive(Debug)]
struct Request {
    ticket: Ticket,
    job: JobId,
    question: Question,
    began_at: Time,
    /// When it is sent next.
    next_send: Time,
    deadline: Time,
    /// The number of times that it was sent without hearing that nothing was done: while it's above zero, the
    /// request may have taken effect.
    unconfirmed: u32,
}

/// Requests that wait for an answer, by serial number.
#[derive(Debug)]
pub(super) struct Requests {
    open: BTreeMap<RequestSerial, Request>,
    /// The serial number of the last request.
    last_serial: RequestSerial,
}

impl Requests {
    /// Returns no requests, of an incarnation of this instance.
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            open: BTreeMap::new(),
            last_serial: RequestSerial::before(incarnation),
        }
    }

    /// Drops the request of a caller that disconnected.
    pub(super) fn on_caller_gone(&mut self, ticket: Ticket) {
        self.open.retain(|_, request| request.ticket != ticket);
    }

    /// Returns whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Dispatcher {
    /// Forwards a job that is to be stored to its shard's coordinator, or refuses it.
    pub(super) fn submit_stored(
        &mut self,
        ticket: Ticket,
        submission: Submission,
        route: &Route,
        time_limit: Option<Span>,
        now: Time,
        out: &mut Effects,
    ) {
        if let Some(reason) = unsupported_feature(&submission, route) {
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
        let limit = time_limit.unwrap_or(route.timeout);
        let limit = Span((limit.0 as f64 * TIME_LIMIT_SHARE) as u64).min(MAX_ACCEPT_TIMEOUT);
        self.begin_request(ticket, job, Question::Accept(Box::new(record)), limit, now);
        self.send_due_requests(now, out);
    }

    /// Adds a request that [`Self::send_due_requests`] sends.
    pub(super) fn begin_request(
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
            began_at: now,
            next_send: now,
            deadline: now + limit,
            unconfirmed: 0,
        };
        let serial = self.requests.last_serial.next();
        self.requests.last_serial = serial;
        self.requests.open.insert(serial, request);
    }

    /// Sends the requests that are due, and answers those whose time limit has passed.
    pub(super) fn send_due_requests(&mut self, now: Time, out: &mut Effects) {
        if self.requests.open.is_empty() {
            return;
        }
        let coordinators = self.coordinators();
        let mut expired = Vec::new();
        for (serial, request) in &mut self.requests.open {
            // A job that no coordinator can have accepted is refused early.
            let refusable =
                request.unconfirmed == 0 && now.since(request.began_at) >= REFUSAL_TIMEOUT;
            if now >= request.deadline
                || refusable && matches!(request.question, Question::Accept(_))
            {
                expired.push(*serial);
                continue;
            }
            if now < request.next_send {
                continue;
            }
            let Some(to) = coordinators.get(&request.job.shard()) else {
                request.next_send = now + UNREADY_RETRY_DELAY;
                continue;
            };
            request.next_send = now + RESEND_INTERVAL;
            request.unconfirmed += 1;
            let message = Message::Request {
                serial: *serial,
                job: request.job,
                question: request.question.clone(),
            };
            out.messages.push((to.clone(), message));
        }
        for serial in expired {
            let Some(request) = self.requests.open.remove(&serial) else {
                continue;
            };
            let record = LogRecord::new("request_unanswered").job(request.job);
            out.outputs.push(Output::Log(record));
            let answer = match (&request.question, request.unconfirmed) {
                (Question::Accept(_), 1..) => Answer::GivenUp { again: RETRY_DELAY },
                (Question::Accept(_), 0) => Answer::Refused { again: RETRY_DELAY },
                _ => Answer::Unready,
            };
            out.outputs.push(Output::Answer(request.ticket, answer));
        }
    }

    /// Handles the coordinator's answer to a request: answers the caller, or sends the request again later.
    pub(super) fn on_verdict(
        &mut self,
        serial: RequestSerial,
        verdict: Verdict,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(request) = self.requests.open.get_mut(&serial) else {
            return;
        };
        let answer = match verdict {
            Verdict::Unready => {
                request.unconfirmed = request.unconfirmed.saturating_sub(1);
                request.next_send = now + UNREADY_RETRY_DELAY;
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

    /// Handles a request about a job whose shard this instance coordinates.
    pub(super) fn on_request(
        &mut self,
        from: &Contact,
        serial: RequestSerial,
        job: JobId,
        question: Question,
        now: Time,
        out: &mut Effects,
    ) {
        let verdict = match &question {
            Question::State => self.job_state(job).map(Verdict::Standing),
            Question::Accept(record) => self.check_capacity(job, record),
            Question::Cancel => None,
        };
        if let Some(verdict) = verdict {
            let message = Message::Verdict { serial, verdict };
            return out.messages.push((from.clone(), message));
        }
        let action = self
            .coordinator
            .on_request(from, serial, job, question, now, out);
        if let Some(action) = action {
            self.apply_actions(vec![action], now, out);
        }
    }

    /// Returns the state of a stored job as its caller sees it, or `None` if the job isn't stored here or a change of
    /// its state isn't yet.
    fn job_state(&self, job: JobId) -> Option<JobState> {
        let state = self.coordinator.stored_state(job)?.into();
        let queued = state == JobState::Running && !self.entry.has_started(job);
        Some(if queued { JobState::Queued } else { state })
    }

    /// Returns a rejection for a new job that can't end in useful time, before anything of it is stored.
    fn check_capacity(&self, job: JobId, record: &AcceptedJob) -> Option<Verdict> {
        // Jobs that a former coordinator accepted must stay accepted; they're known once the shard is loaded.
        let held = self.coordinator.knowledge(job.shard()) == Some(Knowledge::Held);
        if !held || self.coordinator.contains(job) {
            return None;
        }
        let useful = Span((record.objective.0 as f64 * USEFUL_FACTOR) as u64);
        let limits = Limits {
            critical_path: record.submission.critical_path(),
            objective: record.objective,
            useful,
            time_limit: UNLIMITED,
        };
        let forecast = self.entry.forecast(
            &record.submission,
            &record.service,
            record.priority,
            &limits,
        );
        match forecast.map(|forecast| admission::decide(forecast, &limits)) {
            Some(Decision::Accepted(_)) => None,
            _ => Some(Verdict::Rejected { again: RETRY_DELAY }),
        }
    }
}
