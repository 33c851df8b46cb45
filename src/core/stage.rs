//! The life cycle of a job, as types: what isn't claimed can't be started.
//!
//! [`Received`] becomes [`Running`] only by handing in a [`Permit`], and only [`Running`] has tasks that can be
//! taken for a start. So the rule "no start without a claim" is checked by the compiler.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::{
    message::{
        IncomingCall,
        Request, //
    },
    placement::Slot,
    timer::Handle,
};
use crate::{
    job::Task,
    prelude::*,
    record::route::Route, //
};

/// Who waits for the answer of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiter {
    /// A caller of this instance.
    Request(Request),
    /// A peer that forwarded the submission.
    Peer(IncomingCall),
}

/// What every job has, whatever its stage.
#[derive(Debug)]
pub struct Job<S> {
    /// Its number within the incarnation.
    pub number: u64,
    /// The submission.
    pub submission: Submission,
    /// The digest of its body.
    pub digest: Digest,
    /// The size of its body.
    pub bytes: usize,
    /// When it came.
    pub arrived: Time,
    /// When it has to be answered.
    pub deadline: Time,
    /// The timer of the deadline.
    pub(super) timer: Handle,
    /// Whether the caller says that it never sent the key before.
    pub first: bool,
    /// Who waits for the answer.
    pub waiters: Vec<Waiter>,
    /// The stage, with what belongs to it.
    pub stage: S,
}

/// A job that isn't claimed: its key is looked up, claimed or asked for elsewhere.
#[derive(Debug)]
pub struct Received {
    /// The route and class it would run under; none for a job that runs elsewhere or not at all.
    pub admitted: Option<Admitted>,
    /// What is waited for.
    pub wait: Wait,
}

/// What a job waits for before it may run.
#[derive(Debug, Clone)]
pub enum Wait {
    /// The end of the transaction that claims the key.
    Claim(Nonce),
    /// A read of the claim, since the answer to the claim was lost.
    Settle(Nonce),
    /// A read of the claim before a refusal, which it would contradict.
    Verify(Answer),
    /// The owner's answer.
    Owner(Instance),
    /// The recorded outcome, since the owner can't be asked.
    Record,
    /// The object that holds a recorded answer.
    Object,
}

/// What the admission found for a job.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The class.
    pub class: Class,
    /// The sum of the expected run times, as it was admitted.
    pub work: Span,
}

/// The right to start a job: made only where a claim is proved.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// The table holds the claim with the own incarnation and the nonce of this job.
    pub fn by_table() -> Self {
        Self(())
    }

    /// The key is from an own range and was noted as open just now.
    pub fn by_range() -> Self {
        Self(())
    }

    /// The job has no key that anybody else could know, or its tasks are idempotent.
    pub fn without_claim() -> Self {
        Self(())
    }
}

/// A job that may start its tasks.
#[derive(Debug)]
pub struct Running {
    /// The route and class.
    pub admitted: Admitted,
    /// The nonce of the claim, where there is one in the table.
    pub nonce: Option<Nonce>,
    /// The tasks, in the order of the submission.
    pub tasks: Vec<Progress>,
    /// How many tasks have no result yet.
    pub left: usize,
    /// Whether any task has run, or may have.
    pub started: bool,
    /// The run time of the longest task that has ended.
    pub longest: Span,
}

/// How far a task is.
#[derive(Debug)]
pub struct Progress {
    /// The number of the next attempt.
    pub attempts: u32,
    /// Endpoints that are avoided at the next attempt.
    pub avoid: Vec<Slot>,
    /// Attempts that have not ended; two while a hedge runs.
    pub pending: Vec<Pending>,
    /// Whether it has ended with a result.
    pub done: bool,
    /// The result, until the answer takes it.
    pub result: Option<Arc<RawValue>>,
}

/// An attempt that was sent to an endpoint and has not ended.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint.
    pub slot: Slot,
    /// The incarnation of the endpoint that was heard last before the start.
    pub incarnation: Option<Incarnation>,
    /// When it was started.
    pub at: Time,
    /// The timer that looks it up.
    pub(super) look: Handle,
    /// Looks that reached no one since the last that did.
    pub missed: u32,
    /// Looks that were made.
    pub looks: u32,
}

impl Job<Received> {
    /// Makes the job one that may start its tasks.
    ///
    /// # Panics
    ///
    /// Panics where the job was never admitted, which is a fault of the core.
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
            waiters: self.waiters,
            stage: Running {
                admitted,
                nonce,
                left: tasks.len(),
                tasks,
                started: false,
                longest: Span::default(),
            },
            submission: self.submission,
        }
    }
}

/// A job at whichever stage it is.
#[derive(Debug)]
pub enum Stage {
    /// Not claimed.
    Received(Job<Received>),
    /// Claimed.
    Running(Job<Running>),
}

impl Stage {
    /// Returns who waits for the answer.
    pub fn waiters(&mut self) -> &mut Vec<Waiter> {
        match self {
            Self::Received(job) => &mut job.waiters,
            Self::Running(job) => &mut job.waiters,
        }
    }
}
