//! Looking at attempts whose end is late, stopping those that nobody waits for, and what endpoints' failures mean.

use super::{
    execution::{
        Fate,
        Item,
        ATTEMPTS, //
    },
    health,
    message::{
        Output,
        Sample, //
    },
    placement::Slot,
    stage::{
        Any,
        Out, //
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
    pub(super) fn look(&mut self, attempt: Attempt) {
        let Some(out) = self.find_out(attempt) else {
            return;
        };
        if out.looks == 0 && self.repeatable(attempt.job) && self.hedge(attempt) {
            return;
        }
        self.send_look(&out, false);
    }

    /// Starts a second copy of an idempotent task that is late, within the budget.
    pub(super) fn hedge(&mut self, attempt: Attempt) -> bool {
        let Some(Any::Running(job)) = self.jobs.get_mut(&attempt.job) else {
            return false;
        };
        let progress = &mut job.stage.tasks[attempt.task as usize];
        if progress.out.len() > 1 || progress.attempts >= ATTEMPTS || !self.hedges.take(self.now) {
            return false;
        }
        let slots: Vec<_> = progress.out.iter().map(|out| out.slot).collect();
        slots.into_iter().for_each(|slot| progress.avoid(slot));
        self.out.push(Output::Measure(Sample::Hedged));
        self.set_look(attempt, LONGEST_LOOK);
        self.enqueue(Item {
            job: attempt.job,
            task: attempt.task,
        });
        true
    }

    pub(super) fn send_look(&mut self, out: &Out, stop: bool) {
        if let Some(worker) = self.placement.endpoint(out.slot) {
            self.out.push(Output::Look {
                endpoint: worker.name.clone(),
                address: worker.address.clone(),
                attempt: out.attempt,
                stop,
            });
        }
    }

    pub(super) fn looked(&mut self, attempt: Attempt, status: Option<Status>) {
        let Some(out) = self.with_out(attempt, |out| {
            out.looks += 1;
            out.missed = if status.is_none() { out.missed + 1 } else { 0 };
            out.clone()
        }) else {
            let over = matches!(status, Some(Status::Barred { .. } | Status::Ended { .. }));
            return if over {
                self.drop_orphan(attempt)
            };
        };
        match status {
            None if out.missed >= MISSES => {
                self.note_failure(out.slot, attempt.job);
                self.abandon(attempt);
                self.over(attempt, None, Fate::Lost);
            }
            None => self.set_look(attempt, LOOK_AGAIN),
            Some(Status::Running) => {
                let wait = LOOK_RUNNING.times(1 << out.looks.min(4));
                self.set_look(attempt, wait.min(LONGEST_LOOK));
            }
            Some(Status::Ended { reply }) => {
                self.abandon(attempt);
                self.told(attempt, reply);
            }
            // The start may still be on its way: only once the endpoint has barred it may another be tried.
            Some(Status::Unseen) => self.send_look(&out, true),
            Some(Status::Barred { incarnation }) => {
                self.note_failure(out.slot, attempt.job);
                self.abandon(attempt);
                // An endpoint that has started again knows nothing of what its last run started. Its word
                // would have the task run twice. A run that was heard before the start left and still
                // answers is the only one that can have got it.
                let same = out.run.is_some() && out.run == incarnation;
                let fate = if same { Fate::NotStarted } else { Fate::Lost };
                self.over(attempt, None, fate);
            }
        }
    }

    pub(super) fn set_look(&mut self, attempt: Attempt, wait: Span) {
        let look = self.timers.set(self.now + wait, Timer::Look(attempt));
        let known = self.with_out(attempt, |out| std::mem::replace(&mut out.look, look));
        self.timers.cancel(known.unwrap_or(look));
    }

    pub(super) fn abandon(&mut self, attempt: Attempt) {
        self.out.push(Output::Abandon(attempt));
    }

    /// Stops an attempt whose end nobody waits for; its endpoint stays counted as busy until it has ended.
    pub(super) fn stop(&mut self, out: Out) {
        self.timers.cancel(out.look);
        self.send_look(&out, true);
        self.orphans.insert(out.attempt, out.slot);
        self.timers
            .set(self.now + LONGEST_LOOK, Timer::Orphan(out.attempt));
    }

    pub(super) fn orphan_ended(&mut self, attempt: Attempt) {
        if let Some(slot) = self.orphans.remove(&attempt) {
            self.placement.ended(slot, None, None);
            self.dispatch();
        }
    }

    /// Gives up an attempt of a job that has ended, with its connection.
    pub(super) fn drop_orphan(&mut self, attempt: Attempt) {
        if self.orphans.contains_key(&attempt) {
            self.abandon(attempt);
            self.orphan_ended(attempt);
        }
    }

    /// Remembers which run of an endpoint answered last.
    pub(super) fn note_run(&mut self, slot: Slot, reply: &Reply) {
        let (Reply::Done { load, .. }
        | Reply::Failed { load, .. }
        | Reply::NotStarted { load, .. }) = reply;
        match load.incarnation {
            Some(run) => self.endpoint_runs.insert(slot, run),
            None => self.endpoint_runs.remove(&slot),
        };
    }

    pub(super) fn note_failure(&mut self, slot: Slot, job: u64) {
        let change = self.health.failed(self.now, slot, job);
        self.apply_health(change);
    }

    pub(super) fn tick_health(&mut self) {
        for change in self.health.tick(self.now) {
            self.apply_health(Some(change));
        }
    }

    pub(super) fn apply_health(&mut self, change: Option<health::Change>) {
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
        self.event(
            code,
            format!("{} ({eligibility:?})", name.unwrap_or_default()),
        );
    }
}
