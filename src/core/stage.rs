//! The stages of a job as types, so that the compiler rejects a start without a claim.
//!
//! A [`Received`] job becomes [`Running`] only with a [`Permit`], and only a [`Running`] job has tasks to start.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::{
    message::{
        Check,
        IncomingCall,
        Request, //
    },
    placement::EndpointId,
    timer::Handle, //
};
use crate::{
    job::Task,
    prelude::*,
    record::route::Route, //
};

/// A recipient of a job's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// A caller of this instance.
    Request(Request),
    /// A peer that forwarded the submission.
    Peer(IncomingCall),
}

/// A job at stage `S`, with what is common to all stages.
#[derive(Debug)]
pub struct Job<S> {
    /// The job's number, unique within the incarnation.
    pub number: u64,
    /// The submission.
    pub submission: Submission,
    /// The digest of the request body.
    pub digest: Digest,
    /// The size of the request body in bytes; 0 if a peer forwarded it.
    pub bytes: usize,
    /// When it was submitted.
    pub arrived: Time,
    /// When it has to be answered at the latest.
    pub deadline: Time,
    /// The timer of the deadline.
    pub(super) timer: Handle,
    /// Whether the caller states that it sends the key for the first time.
    pub first: bool,
    /// The recipients of the answer.
    pub recipients: Vec<Recipient>,
    /// The stage and its data.
    pub stage: S,
}

/// The stage of a job that isn't claimed yet, or whose answer another instance or the table has.
#[derive(Debug)]
pub struct Received {
    /// The result of admission; `None` for a job that this instance doesn't run.
    pub admitted: Option<Admitted>,
    /// What the job waits for.
    pub wait: Wait,
}

/// What a received job waits for.
#[derive(Debug, Clone)]
pub enum Wait {
    /// The reply to the insert of its claim, which has this nonce.
    Claim(Nonce),
    /// A read of its claim, since the insert got no reply.
    ReadBack(Nonce),
    /// A read of the claim before this refusal is sent: a claim would contradict it.
    VerifyRefusal(Answer),
    /// The answer of the instance that owns the key.
    Owner(Instance),
    /// A read of the recorded outcome, since the owner can't be reached.
    Outcome,
    /// The object that holds the recorded answer.
    AnswerObject,
}

/// The result of a job's admission.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The route of the job's service.
    pub route: Arc<Route>,
    /// The class that the job runs under.
    pub class: Class,
    /// The sum of the expected run times that admission counted.
    pub work: Span,
}

/// Permission to start a job; its constructors name the proof that no other instance may start it.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// Creates a permit for a job whose claim is in the table, with this incarnation and the job's nonce.
    pub fn by_table() -> Self {
        Self(())
    }

    /// Creates a permit for a job whose key is new and from a range of this incarnation.
    pub fn by_range() -> Self {
        Self(())
    }

    /// Creates a permit for a job without a key, or with idempotent tasks.
    pub fn without_claim() -> Self {
        Self(())
    }
}

/// The stage of a job that may start its tasks.
#[derive(Debug)]
pub struct Running {
    /// The result of admission.
    pub admitted: Admitted,
    /// The nonce of the claim in the table, if the job has one there.
    pub nonce: Option<Nonce>,
    /// The tasks, in the order of the submission.
    pub tasks: Vec<Progress>,
    /// The number of tasks without a result.
    pub unfinished: usize,
    /// Whether any task has run or may have run.
    pub may_have_run: bool,
    /// The longest run time of a finished task.
    pub longest_run: Span,
}

/// The progress of one task.
#[derive(Debug)]
pub struct Progress {
    /// The number of attempts so far, which is also the number of the next one.
    pub attempts: u32,
    /// Endpoints that the next attempt avoids, oldest first.
    pub avoid: Vec<EndpointId>,
    /// Attempts that haven't ended; two while a hedge runs.
    pub pending: Vec<Pending>,
    /// Whether the task has a result.
    pub done: bool,
    /// The result, until it is moved into the answer.
    pub result: Option<Arc<RawValue>>,
}

/// An attempt that was sent to an endpoint and hasn't ended.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that the endpoint last reported before the attempt was sent, if it reported one.
    pub incarnation: Option<Incarnation>,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// The timer of the next status check.
    pub(super) check_timer: Handle,
    /// Whether a status check is in flight.
    pub(super) is_being_checked: bool,
    /// Status checks in a row that didn't reach the endpoint.
    pub missed_checks: u32,
    /// Status checks that have ended.
    pub checks: u32,
}

impl Pending {
    /// Counts a status check that has ended.
    pub(super) fn record_check(&mut self, check: &Check) {
        self.is_being_checked = false;
        match check {
            Check::Reported(_) => self.missed_checks = 0,
            Check::Missed => self.missed_checks += 1,
            Check::Withheld => return,
        }
        self.checks += 1;
    }
}

impl Job<Received> {
    /// Moves the job to the stage in which its tasks may start.
    ///
    /// # Panics
    ///
    /// Panics if the job wasn't admitted, which is a bug in the caller.
    pub fn permit(self, _permit: Permit, nonce: Option<Nonce>) -> Job<Running> {
        let admitted = self.stage.admitted.expect("only admitted jobs are claimed");
        let progress = |_: &Task| Progress {
            attempts: 0,
            avoid: Vec::new(),
            pending: Vec::new(),
            done: false,
            result: None,
        };
        let tasks: Vec<_> = self.submission.tasks.iter().map(progress).collect();
        Job {
            number: self.number,
            digest: self.digest,
            bytes: self.bytes,
            arrived: self.arrived,
            deadline: self.deadline,
            timer: self.timer,
            first: self.first,
            recipients: self.recipients,
            stage: Running {
                admitted,
                nonce,
                unfinished: tasks.len(),
                tasks,
                may_have_run: false,
                longest_run: Span::default(),
            },
            submission: self.submission,
        }
    }
}

/// A job at one of its stages.
#[derive(Debug)]
pub enum Stage {
    /// The job isn't claimed by this instance.
    Received(Job<Received>),
    /// The job may start its tasks.
    Running(Job<Running>),
}

impl Stage {
    /// Returns the recipients of the job's answer.
    pub fn recipients(&mut self) -> &mut Vec<Recipient> {
        match self {
            Self::Received(job) => &mut job.recipients,
            Self::Running(job) => &mut job.recipients,
        }
    }
}
