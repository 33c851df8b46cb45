//! A run of a task on an endpoint.

use super::{
    super::{
        id::{
            Run,
            TaskId,
            Token, //
        },
        message::Suspicion,
        progress::Tracker,
        queue::Handle,
        straggler::Pace,
        task::Resources, //
    },
    Completion,
    Loss,
    Reason, //
};
use crate::prelude::*;

/// The least share of its estimate that a task takes: estimates are off by up to 40 %.
pub const MIN_ESTIMATE_SHARE: f64 = 0.6;

/// The phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start isn't confirmed.
    Starting,
    /// The start is confirmed.
    Running,
    /// A stop was sent, and the end isn't known.
    Stopping,
}

/// What happens to the task when its run ends without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The task is started again.
    Restart,
    /// The task is dropped: it is no longer wanted.
    Drop,
}

/// A run of a task on an endpoint.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The task's batch.
    pub batch: Handle,
    /// The run's number.
    pub run: Run,
    /// The room that it takes.
    pub need: Resources,
    /// Its phase.
    pub phase: Phase,
    /// What happens to the task if the run ends without a result.
    pub fate: Fate,
    /// When its start was first sent, if this owner sent it.
    pub started_at: Option<Time>,
    /// When its start, or its stop, was confirmed.
    pub(super) answered_at: Option<Time>,
    /// How often its start, or its stop, was sent.
    pub sends: u8,
    /// Its progress.
    pub progress: Tracker,
    /// Its pace, from which a slow endpoint is told.
    pub pace: Pace,
    /// Whether an earlier copy of its start may still arrive.
    pub duplicate_possible: bool,
    /// The highest token of a start of it that may still be carried out, by this life of the endpoint or by a later one; `None` if each
    /// start that was sent for it was answered.
    pub(super) unsettled: Option<Token>,
    /// Whether its end must be stored before the endpoint forgets it.
    pub stored: bool,
    /// Evidence that the task crashes endpoints.
    pub suspicion: Suspicion,
    /// Whether the endpoint can be assumed to have the run: it answered just before the start was sent, or
    /// confirmed the start.
    pub(super) reached: bool,
    /// Set if the endpoint restarted after the start was sent and hasn't listed the run since. The value tells
    /// whether the task was the sole suspect.
    pub(super) lost_in_crash: Option<bool>,
    /// Until when leases may last on its account.
    pub license_end: Time,
    /// When its start or stop is resent.
    pub(super) retry_at: Option<Time>,
}

impl Execution {
    /// Returns a run whose start is about to be sent.
    pub fn new(batch: Handle, run: Run, need: Resources, estimate: Span) -> Self {
        Self {
            progress: Tracker::new(estimate),
            pace: Pace::new(estimate),
            batch,
            run,
            need,
            phase: Phase::Starting,
            fate: Fate::Restart,
            started_at: None,
            answered_at: None,
            sends: 1,
            duplicate_possible: false,
            unsettled: None,
            stored: false,
            suspicion: Suspicion::default(),
            reached: false,
            lost_in_crash: None,
            license_end: Time::default(),
            retry_at: None,
        }
    }

    /// Returns how long its task takes at the least.
    pub fn min_duration(&self) -> Span {
        Span((self.progress.estimate().0 as f64 * MIN_ESTIMATE_SHARE) as u64)
    }

    /// Returns whether the endpoint has confirmed it, in its present life.
    pub fn is_confirmed(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Returns whether a start of it wasn't answered, and may still be carried out.
    pub fn has_unanswered_start(&self) -> bool {
        self.unsettled.is_some()
    }

    /// Returns whether its start may be sent again: it wasn't answered, and didn't crash the endpoint.
    pub(super) fn may_be_resent(&self) -> bool {
        self.phase == Phase::Starting && self.lost_in_crash.is_none()
    }

    /// Returns whether none of its starts can be carried out any more after a call with this token was answered.
    pub(super) fn is_barred_by(&self, token: Token) -> bool {
        self.unsettled.is_some_and(|unsettled| unsettled < token)
    }

    /// Returns it as lost.
    pub(super) fn loss(&self, task: TaskId, reason: Reason) -> Loss {
        Loss {
            task,
            batch: self.batch,
            run: self.run,
            reason,
            answered: self.unsettled.is_none(),
        }
    }

    /// Returns how long it took if it's done now; `None` if that isn't known, or tells nothing about the endpoint, since a call was
    /// lost or its stop was ordered.
    pub(super) fn completion(&self, now: Time) -> Option<Completion> {
        let undisturbed = self.sends == 1 && self.phase != Phase::Stopping;
        let started = self.started_at.filter(|_| undisturbed)?;
        Some(Completion {
            estimate: self.progress.estimate(),
            took: now.since(started),
        })
    }

    /// Returns how long it's expected to go on where runs take `ratio` times their estimate.
    pub(super) fn remaining(&self, ratio: f64, now: Time) -> Span {
        let duration = Span((self.progress.estimate().0 as f64 * ratio) as u64);
        let started = self.started_at.unwrap_or(now);
        self.progress.remaining(started, duration, now)
    }
}
