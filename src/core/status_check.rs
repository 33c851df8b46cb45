//! Looking at attempts whose end is late, stopping those that nobody waits for, and what endpoints' failures mean.

use super::{
    execution::{
        Conclusion,
        ATTEMPTS, //
    },
    health,
    message::{
        Output,
        Sample, //
    },
    placement::Slot,
    queue::Item,
    stage::{
        Pending, //
        Stage,
    },
    timer::Timer,
    Core,
};
use crate::{
    endpoint::wire::{
        Reply,
        Status, //
    },
    event::Code,
    prelude::*,
};

/// Looks in a row that reach no one before an attempt counts as lost.
const MISSES: u32 = 3;

/// Between a look that reached no one and the next.
const LOOK_AGAIN: Span = Span::millis(60);

/// Between the first two looks at a task that runs; it doubles up to [`LONGEST_LOOK`].
const LOOK_RUNNING: Span = Span::millis(100);

/// The longest time between two looks.
const LONGEST_LOOK: Span = Span::millis(1_600);

impl Core {
    /// Looks at an attempt that has drawn no answer for longer than it should.
    pub(super) fn check_overdue_attempt(&mut self, attempt: Attempt) {
        let Some(pending) = self.find_pending(attempt) else {
            return;
        };
        if pending.looks == 0 && self.is_repeatable(attempt.job) && self.hedge(attempt) {
            return;
        }
        self.request_status(&pending, false);
    }

    /// Starts a second copy of an idempotent task that is late, within the budget.
    pub(super) fn hedge(&mut self, attempt: Attempt) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get_mut(&attempt.job) else {
            return false;
        };
        let progress = &mut job.stage.tasks[attempt.task as usize];
        if progress.pending.len() > 1
            || progress.attempts >= ATTEMPTS
            || !self.hedges.try_take(self.now)
        {
            return false;
        }
        let slots: Vec<_> = progress
            .pending
            .iter()
            .map(|pending| pending.slot)
            .collect();
        slots.into_iter().for_each(|slot| progress.avoid(slot));
        self.outputs.push(Output::Measure(Sample::Hedged));
        self.schedule_status_check(attempt, LONGEST_LOOK);
        self.enqueue(Item {
            job: attempt.job,
            task: attempt.task,
        });
        true
    }

    pub(super) fn request_status(&mut self, pending: &Pending, stop: bool) {
        if let Some(worker) = self.placement.endpoint(pending.slot) {
            self.outputs.push(Output::Look {
                endpoint: worker.name.clone(),
                address: worker.address.clone(),
                attempt: pending.attempt,
                stop,
            });
        }
    }

    pub(super) fn on_status(&mut self, attempt: Attempt, status: Option<Status>) {
        let Some(pending) = self.with_pending(attempt, |pending| {
            pending.looks += 1;
            pending.missed = if status.is_none() {
                pending.missed + 1
            } else {
                0
            };
            pending.clone()
        }) else {
            let over = matches!(status, Some(Status::Barred { .. } | Status::Ended { .. }));
            return if over {
                self.drop_orphan(attempt)
            };
        };
        match status {
            None if pending.missed >= MISSES => {
                self.record_failure(pending.slot, attempt.job);
                self.abandon_connection(attempt);
                self.conclude(attempt, None, Conclusion::Lost);
            }
            None => self.schedule_status_check(attempt, LOOK_AGAIN),
            Some(Status::Running) => {
                let wait = LOOK_RUNNING.times(1 << pending.looks.min(4));
                self.schedule_status_check(attempt, wait.min(LONGEST_LOOK));
            }
            Some(Status::Ended { reply }) => {
                self.abandon_connection(attempt);
                self.on_reply(attempt, reply);
            }
            // The start may still be on its way: only once the endpoint has barred it may another be tried.
            Some(Status::Unseen) => self.request_status(&pending, true),
            Some(Status::Barred { incarnation }) => {
                self.record_failure(pending.slot, attempt.job);
                self.abandon_connection(attempt);
                // An endpoint that has started again knows nothing of what its last incarnation started. By its
                // report the task would run twice. An incarnation that was heard before the start left and still
                // answers is the only one that can have got it.
                let same = pending.incarnation.is_some() && pending.incarnation == incarnation;
                let conclusion = if same {
                    Conclusion::NotStarted
                } else {
                    Conclusion::Lost
                };
                self.conclude(attempt, None, conclusion);
            }
        }
    }

    pub(super) fn schedule_status_check(&mut self, attempt: Attempt, wait: Span) {
        let look = self.timers.set(self.now + wait, Timer::Look(attempt));
        let known = self.with_pending(attempt, |pending| {
            std::mem::replace(&mut pending.look, look)
        });
        self.timers.cancel(known.unwrap_or(look));
    }

    pub(super) fn abandon_connection(&mut self, attempt: Attempt) {
        self.outputs.push(Output::Abandon(attempt));
    }

    /// Stops an attempt whose end nobody waits for; its endpoint stays counted as busy until it has ended.
    pub(super) fn stop_attempt(&mut self, pending: Pending) {
        self.timers.cancel(pending.look);
        self.request_status(&pending, true);
        self.orphans.insert(pending.attempt, pending.slot);
        self.timers
            .set(self.now + LONGEST_LOOK, Timer::Orphan(pending.attempt));
    }

    pub(super) fn on_orphan_end(&mut self, attempt: Attempt) {
        if let Some(slot) = self.orphans.remove(&attempt) {
            self.placement.on_task_end(slot, None, None);
            self.dispatch();
        }
    }

    /// Gives up an attempt of a job that has ended, with its connection.
    pub(super) fn drop_orphan(&mut self, attempt: Attempt) {
        if self.orphans.contains_key(&attempt) {
            self.abandon_connection(attempt);
            self.on_orphan_end(attempt);
        }
    }

    /// Remembers which incarnation of an endpoint answered last.
    pub(super) fn record_incarnation(&mut self, slot: Slot, reply: &Reply) {
        let (Reply::Done { load, .. }
        | Reply::Failed { load, .. }
        | Reply::NotStarted { load, .. }) = reply;
        match load.incarnation {
            Some(incarnation) => self.endpoint_incarnations.insert(slot, incarnation),
            None => self.endpoint_incarnations.remove(&slot),
        };
    }

    pub(super) fn record_failure(&mut self, slot: Slot, job: u64) {
        let change = self.health.on_failure(self.now, slot, job);
        self.apply_health_change(change);
    }

    pub(super) fn tick_health(&mut self) {
        for change in self.health.tick(self.now) {
            self.apply_health_change(Some(change));
        }
    }

    pub(super) fn apply_health_change(&mut self, change: Option<health::Change>) {
        let Some(change) = change else {
            return;
        };
        let (slot, eligibility) = change.eligibility();
        self.placement.set_eligibility(slot, eligibility);
        let code = match change {
            health::Change::Ejected(_) => Code::EndpointEjected,
            health::Change::Suspected(_) => Code::EndpointSuspected,
            _ => Code::EndpointReturned,
        };
        let name = self.placement.endpoint(slot).map(|w| w.name.to_string());
        self.log_event(
            code,
            format!("{} ({eligibility:?})", name.unwrap_or_default()),
        );
    }
}
