//! Starts without an answer, which may be carried out at any later time, also by a later life of the endpoint.
//!
//! A restarted endpoint knows neither the stops nor the tokens of its former life, and the deadline in a start is far ahead on its new
//! clock. So the task of such a start may start elsewhere only once the endpoint has answered a call with a higher token than the start's:
//! that life refuses the start from then on. The token rises whenever calls may be on their way to a former life. A start that one life
//! has barred may still be carried out by the next one, before the owner's first call to it: until it can't be on its way any more the
//! endpoint is polled as if it had runs, and its task doesn't start while the endpoint is silent.

use std::collections::HashSet;

use super::{
    super::id::{
        Run,
        TaskId,
        Token, //
    },
    life::LEASE_MARGIN,
    Execution,
    Fate,
    Phase,
    Standing,
    State,
    LEASE, //
};
use crate::prelude::*;

/// The time for which a call without an answer is assumed to be on its way. The protocol has no bound.
pub const MAX_CALL_DELAY: Span = Span::seconds(15);

/// How long an endpoint must be silent until it counts as gone, though the platform lists it.
const LISTED_SILENCE: Span = MAX_CALL_DELAY;

/// The same for an endpoint that the platform has removed from its list, as it does after some seconds without a report. A stored task
/// must not wait longer for an endpoint that is lost for good.
pub const UNLISTED_SILENCE: Span = Span::seconds(5);

/// The longest delay between polls of a silent endpoint that may get a late start.
const MAX_POLL_DELAY: Span = Span::millis(50);

impl State {
    /// Raises the token above that of starts, leases and acknowledgements that may be on their way. The next answered call bars them.
    pub(super) fn raise_token(&mut self) {
        if std::mem::take(&mut self.token_used) {
            self.token = self.token.next();
        }
    }

    /// Raises the token to the one that the owner announces for the rack, if that is higher.
    pub fn raise_token_to(&mut self, token: Token) {
        if token > self.token {
            (self.token, self.token_used) = (token, false);
        }
    }

    /// Returns a token that bars all calls so far.
    pub fn barring_token(&self) -> Token {
        match self.token_used {
            true => self.token.next(),
            false => self.token,
        }
    }

    /// Bars what was sent to the former life, and clears what that life has confirmed of starts that may still be carried out.
    pub(super) fn bar_former_orders(&mut self, now: Time) {
        self.raise_token();
        for execution in self.executions.values_mut() {
            if execution.unsettled.is_some() {
                execution.answered_at = None;
                if execution.phase == Phase::Stopping {
                    execution.retry_at = Some(now);
                }
            }
        }
    }

    /// Returns whether a call with this token was overtaken by one with a higher token.
    pub fn is_outdated(&self, token: Token) -> bool {
        token < self.token
    }

    /// Returns whether a start of a run with this token was followed by one with a higher token.
    pub fn is_superseded(&self, task: &TaskId, run: Run, token: Token) -> bool {
        let execution = self.executions.get(task).filter(|e| e.run == run);
        let latest = execution.and_then(|execution| execution.unsettled);
        latest.is_some_and(|latest| token < latest)
    }

    /// Returns whether starts can be resent: the endpoint answers, and its clock is known.
    pub fn takes_starts(&self) -> bool {
        self.standing == Standing::Open && self.reading.is_some()
    }

    /// Returns whether it doesn't answer polls, since it was claimed or later.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        match self.standing {
            Standing::Open => false,
            Standing::Silent => true,
            Standing::Claimed => self.silence(now) > LEASE,
        }
    }

    /// Returns whether it is silent, and the longest lease that it may have granted since its last answer has expired.
    pub fn have_leases_expired(&self, now: Time) -> bool {
        self.is_silent(now) && now > self.leases_end && self.silence(now) > LEASE + LEASE_MARGIN
    }

    /// Returns whether it is silent, so that a later life of it may be there already, and doesn't count as gone yet.
    pub fn may_restart_unnoticed(&self, now: Time) -> bool {
        self.standing != Standing::Open && self.silence(now) > Span(0) && !self.is_gone(now)
    }

    /// Returns whether it has answered this owner, and so knows its token.
    pub fn has_answered(&self) -> bool {
        self.last_answer >= self.claimed_at
    }

    /// Returns whether it has been silent for so long that it counts as gone, with all calls that were sent to it.
    pub fn is_gone(&self, now: Time) -> bool {
        let limit = match self.delisted {
            true => UNLISTED_SILENCE,
            false => LISTED_SILENCE,
        };
        // An idle endpoint may have been silent for long before the start was sent.
        let last_start = Time(self.late_starts_until.0.saturating_sub(MAX_CALL_DELAY.0));
        self.silence(now).min(now.since(last_start)) > limit
    }

    /// Returns the delay before the next poll of an endpoint that doesn't answer.
    pub(super) fn poll_delay(&self, now: Time) -> Span {
        let delay = self.backoff.delay(&self.listing.id);
        match self.expects_late_starts(now) {
            true => delay.min(MAX_POLL_DELAY),
            false => delay,
        }
    }

    /// Returns the time since its last answer, or since it was claimed.
    fn silence(&self, now: Time) -> Span {
        now.since(self.last_answer.max(self.claimed_at))
    }

    /// Returns the runs whose tasks can't start elsewhere, as a start of them may still be carried out here, and the endpoint is silent.
    pub fn unsettled_runs(&self, now: Time) -> impl Iterator<Item = (&TaskId, &Execution)> {
        let runs = self.is_silent(now).then_some(&self.executions);
        let runs = runs.into_iter().flatten();
        runs.filter(|(_, run)| run.unsettled.is_some() && run.fate == Fate::Restart)
    }

    /// Records that a start wasn't answered.
    pub fn on_start_unanswered(&mut self, now: Time) {
        self.late_starts_until = now + MAX_CALL_DELAY;
    }

    /// Returns whether a start may still arrive whose task has been given up here: the endpoint is polled as if it had runs, so that the
    /// first call that reaches a later life of it bars the start.
    pub(super) fn expects_late_starts(&self, now: Time) -> bool {
        now < self.late_starts_until
    }

    /// Schedules the start of runs that an answer to a poll with this token doesn't list, and of which all copies so far are barred.
    pub(super) fn retry_barred_starts(&mut self, listed: &HashSet<TaskId>, token: Token) {
        for (task, run) in &mut self.executions {
            if run.may_be_resent() && run.is_barred_by(token) && !listed.contains(task) {
                run.retry_at = Some(Time::default());
                // The barred copies may still be carried out by a later life, whatever is answered to the next one.
                run.duplicate_possible = true;
            }
        }
    }

    /// Settles runs that an answer to a poll with this token lists: copies of their starts are barred.
    pub(super) fn settle_listed(&mut self, listed: &HashSet<TaskId>, token: Token, now: Time) {
        for (task, run) in &mut self.executions {
            let is_settled = run.is_barred_by(token) && !run.duplicate_possible;
            if is_settled && listed.contains(task) {
                run.unsettled = None;
                if run.phase == Phase::Running {
                    run.answered_at = run.answered_at.or(Some(now));
                }
            }
        }
    }
}
