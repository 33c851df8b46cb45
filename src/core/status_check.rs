//! Status checks of overdue attempts, stops of attempts that aren't needed, and endpoint health.

use super::{
    execution::{
        Conclusion,
        MAX_ATTEMPTS, //
    },
    health,
    message::{
        Check,
        Output,
        Sample, //
    },
    placement::EndpointId,
    queue::Item,
    stage::{
        Pending,
        Stage, //
    },
    timer::Timer,
    Core, //
};
use crate::{
    endpoint::wire::{
        Reply,
        Status, //
    },
    event::Code,
    prelude::*, //
};

/// The number of failed status checks in a row after which an attempt counts as lost.
const MAX_MISSED_CHECKS: u32 = 3;

/// How long the first status check of an attempt, or one after an answer, waits for the status.
///
/// It doubles with each check that is missed: an endpoint that takes longer than the first check waits would miss all others as
/// well, and its task would be given up although it runs.
const CHECK_TIMEOUT: Span = Span::millis(500);

/// The delay before the next status check after one that didn't reach the endpoint.
const MISSED_CHECK_DELAY: Span = Span::millis(60);

/// The base delay between status checks of a running task; it doubles with each check up to [`MAX_CHECK_DELAY`].
const RUNNING_CHECK_DELAY: Span = Span::millis(100);

/// The longest delay between two status checks, and the time that a stopped attempt has to end.
const MAX_CHECK_DELAY: Span = Span::millis(1_600);

impl Core {
    /// Hedges an attempt that is overdue, or asks its endpoint for the status; called by the timer.
    pub(super) fn check_overdue_attempt(&mut self, attempt: Attempt) {
        let Some(pending) = self.find_pending(attempt) else {
            return;
        };
        if pending.checks == 0 && self.is_repeatable(attempt.job) && self.hedge(attempt) {
            return;
        }
        self.check_status(attempt, false);
    }

    /// Queues a second attempt at an overdue idempotent task; returns `false` if no hedge is allowed.
    pub(super) fn hedge(&mut self, attempt: Attempt) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get_mut(&attempt.job) else {
            return false;
        };
        let progress = &mut job.stage.tasks[attempt.task as usize];
        if progress.pending.len() > 1
            || progress.attempts >= MAX_ATTEMPTS
            || !self.hedges.try_take(self.now)
        {
            return false;
        }
        let endpoints: Vec<_> = progress
            .pending
            .iter()
            .map(|pending| pending.endpoint)
            .collect();
        endpoints
            .into_iter()
            .for_each(|endpoint| progress.avoid(endpoint));
        self.outputs.push(Output::Measure(Sample::Hedged));
        self.schedule_status_check(attempt, MAX_CHECK_DELAY);
        self.enqueue(Item {
            job: attempt.job,
            task: attempt.task,
        });
        true
    }

    /// Checks the status of an attempt, unless a check is in flight; `stop` also bars it.
    ///
    /// Two checks at a time would count each silence of the endpoint twice, and give its task up in half the time.
    pub(super) fn check_status(&mut self, attempt: Attempt, stop: bool) {
        let begin = |pending: &mut Pending| {
            let is_first = !std::mem::replace(&mut pending.is_being_checked, true);
            is_first.then(|| pending.clone())
        };
        if let Some(pending) = self.with_pending(attempt, begin).flatten() {
            self.timers.cancel(pending.check_timer);
            self.request_status(&pending, stop);
        }
    }

    /// Asks the endpoint for the status of an attempt; `stop` also tells it to stop the task, or never to start it.
    pub(super) fn request_status(&mut self, pending: &Pending, stop: bool) {
        if let Some(worker) = self.placement.endpoint(pending.endpoint) {
            self.outputs.push(Output::CheckStatus {
                endpoint: worker.name.clone(),
                address: worker.address.clone(),
                attempt: pending.attempt,
                stop,
                wait: CHECK_TIMEOUT.times(1 << pending.missed_checks.min(MAX_MISSED_CHECKS)),
            });
        }
    }

    /// Handles the end of a status check.
    pub(super) fn on_status(&mut self, attempt: Attempt, check: Check) {
        let Some(pending) = self.with_pending(attempt, |pending| {
            pending.record_check(&check);
            pending.clone()
        }) else {
            if let Check::Reported(Status::Barred { .. } | Status::Ended { .. }) = check {
                self.drop_orphan(attempt);
            }
            return;
        };
        let status = match check {
            Check::Reported(status) => Some(status),
            Check::Missed => None,
            // A full ring is no miss: three of them would end a job whose endpoint was never asked.
            Check::Withheld => return self.schedule_status_check(attempt, MISSED_CHECK_DELAY),
        };
        match status {
            None if pending.missed_checks >= MAX_MISSED_CHECKS => {
                self.record_failure(pending.endpoint, attempt.job);
                self.abandon_connection(attempt);
                self.conclude(attempt, None, Conclusion::Lost);
            }
            None => self.schedule_status_check(attempt, MISSED_CHECK_DELAY),
            Some(Status::Running) => {
                let delay = RUNNING_CHECK_DELAY.times(1 << pending.checks.min(4));
                self.schedule_status_check(attempt, delay.min(MAX_CHECK_DELAY));
            }
            Some(Status::Ended { reply }) => {
                self.abandon_connection(attempt);
                self.on_reply(attempt, reply);
            }
            // Prevents a second run: the start request may still arrive, so it is barred before another attempt.
            Some(Status::Unseen) => self.check_status(attempt, true),
            Some(Status::Barred { incarnation }) => {
                self.record_failure(pending.endpoint, attempt.job);
                self.abandon_connection(attempt);
                // Prevents a second run after a restart: a new incarnation of the endpoint doesn't know what the last
                // one started. Only the incarnation that was known before the attempt was sent can tell that it didn't
                // start.
                let same_incarnation =
                    pending.incarnation.is_some() && pending.incarnation == incarnation;
                let conclusion = if same_incarnation {
                    Conclusion::NotStarted
                } else {
                    Conclusion::Lost
                };
                self.conclude(attempt, None, conclusion);
            }
        }
    }

    /// Sets the timer of the next status check of an attempt, in place of the current one.
    pub(super) fn schedule_status_check(&mut self, attempt: Attempt, delay: Span) {
        let timer = self
            .timers
            .set(self.now + delay, Timer::StatusCheck(attempt));
        let replaced = self.with_pending(attempt, |pending| {
            std::mem::replace(&mut pending.check_timer, timer)
        });
        self.timers.cancel(replaced.unwrap_or(timer));
    }

    /// Closes the connection on which the end of an attempt is awaited.
    pub(super) fn abandon_connection(&mut self, attempt: Attempt) {
        self.outputs.push(Output::Abandon(attempt));
    }

    /// Stops an attempt whose result isn't needed, and makes it an orphan.
    ///
    /// An orphan occupies its place at the endpoint until it has ended or [`MAX_CHECK_DELAY`] has passed.
    pub(super) fn stop_attempt(&mut self, pending: Pending) {
        self.timers.cancel(pending.check_timer);
        self.request_status(&pending, true);
        self.orphans.insert(pending.attempt, pending.endpoint);
        self.timers.set(
            self.now + MAX_CHECK_DELAY,
            Timer::DropOrphan(pending.attempt),
        );
    }

    /// Frees the place of an orphan that has ended; does nothing for other attempts.
    pub(super) fn on_orphan_end(&mut self, attempt: Attempt) {
        if let Some(endpoint) = self.orphans.remove(&attempt) {
            self.placement.on_task_end(endpoint, None, None);
            self.dispatch();
        }
    }

    /// Abandons an orphan and frees its place; called when its endpoint reports the end, and by the timer.
    pub(super) fn drop_orphan(&mut self, attempt: Attempt) {
        if self.orphans.contains_key(&attempt) {
            self.abandon_connection(attempt);
            self.on_orphan_end(attempt);
        }
    }

    /// Stores the incarnation that an endpoint last reported.
    pub(super) fn record_incarnation(&mut self, endpoint: EndpointId, reply: &Reply) {
        let (Reply::Done { load, .. }
        | Reply::Failed { load, .. }
        | Reply::NotStarted { load, .. }) = reply;
        match load.incarnation {
            Some(incarnation) => self.endpoint_incarnations.insert(endpoint, incarnation),
            None => self.endpoint_incarnations.remove(&endpoint),
        };
    }

    /// Reports a failure of an endpoint to the outlier ejection.
    pub(super) fn record_failure(&mut self, endpoint: EndpointId, job: u64) {
        let change = self.health.on_failure(self.now, endpoint, job);
        self.apply_health_change(change);
    }

    /// Applies the changes of endpoints' health that are due by time.
    pub(super) fn tick_health(&mut self) {
        for change in self.health.tick(self.now) {
            self.apply_health_change(Some(change));
        }
    }

    /// Applies a change of an endpoint's health to the placement, and logs it.
    pub(super) fn apply_health_change(&mut self, change: Option<health::Change>) {
        let Some(change) = change else {
            return;
        };
        let (endpoint, eligibility) = change.eligibility();
        self.placement.set_eligibility(endpoint, eligibility);
        let code = match change {
            health::Change::Ejected(_) => Code::EndpointEjected,
            health::Change::Suspected(_) => Code::EndpointSuspected,
            _ => Code::EndpointReturned,
        };
        let name = self
            .placement
            .endpoint(endpoint)
            .map(|worker| worker.name.to_string());
        self.log_event(
            code,
            format!("{} ({eligibility:?})", name.unwrap_or_default()),
        );
    }
}
