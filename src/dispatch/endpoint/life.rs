//! Lives (incarnations) of an endpoint: detection of a restart, and its consequences for runs.
//!
//! An endpoint that restarts under the same name has forgotten everything: its runs are lost, and its clock and
//! the serial numbers of its ends start again. If the restart went unnoticed, its new ends would be ignored for
//! their low numbers, and lost runs would seem to go on.

use std::collections::BTreeSet;

use super::{
    super::{
        id::{
            Life,
            TaskId, //
        },
        message::Suspicion,
        straggler::Detector, //
    },
    Crash,
    Event,
    Execution,
    Fate,
    Phase,
    Reason,
    Standing,
    State,
    EJECTION_TIME,
    LEASE, //
};
use crate::prelude::*;

/// Margin after the last lease of a life, by which all of its runs have ended.
pub(super) const LEASE_MARGIN: Span = Span::millis(50);

/// The time within which a start reaches its endpoint and may crash it.
const START_TRANSIT: Span = Span::millis(10);

impl State {
    /// Returns the latest known life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// Updates the life from the platform's list or from an answer. A later life proves that the endpoint
    /// crashed.
    pub fn update_life(&mut self, life: Life, now: Time) -> Vec<Event> {
        let renewed = self.life.is_before(life);
        if life.is_known() && !life.is_before(self.life) {
            self.life = life;
        }
        match renewed {
            true => self.start_new_life(now),
            false => Vec::new(),
        }
    }

    /// Detects a restart by the clock in an answer that doesn't tell its life: if it went back, a later life answers. That one grants
    /// longer leases than ordered, as deadlines on the former clock are far ahead on its own.
    pub(super) fn detect_restart(
        &mut self,
        clock: u64,
        sent: Time,
        now: Time,
    ) -> Option<Vec<Event>> {
        self.reading
            .filter(|reading| reading.is_ahead_of(clock, sent))?;
        Some(self.start_new_life(now))
    }

    /// Returns whether a call that was sent at a time can't have been sent to a former life.
    pub(super) fn is_current(&self, sent: Time) -> bool {
        sent >= self.life_since
    }

    /// Returns whether an answer may come from a former life: it tells that one, or its call was sent to a former life and it tells no
    /// later one than is known.
    pub(super) fn is_former(&self, life: Life, sent: Time) -> bool {
        life.is_before(self.life) || (!self.is_current(sent) && !self.life.is_before(life))
    }

    /// Resets the state for a restarted endpoint.
    ///
    /// A run whose start was in transit may belong to the new life. So runs are removed only after the first
    /// answer, which lists what runs there; the others were lost in the crash.
    fn start_new_life(&mut self, now: Time) -> Vec<Event> {
        self.mark_crashed();
        (self.last_end, self.acknowledged_end) = (0, 0);
        self.unstored_ends.clear();
        self.late_ends.clear();
        self.unknown_runs.clear();
        // Starts need a new clock reading: a deadline on the former life's clock may be hours ahead on this one.
        self.reading = None;
        self.life_since = now;
        self.leases_end = now + LEASE + LEASE_MARGIN;
        self.standing = Standing::Claimed;
        self.next_poll = now;
        self.ejected_until = Time::default();
        self.speed_void = true;
        self.completions.clear();
        (self.failures, self.next_ejection, self.probation) = ((0, 0), EJECTION_TIME.0, false);
        self.straggler = Detector::default();
        self.bar_former_orders(now);
        self.confirm_crashes()
    }

    /// Handles another endpoint at its address: it has crashed, unless it was draining.
    pub fn on_replaced(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.listing.draining {
            self.mark_crashed();
            events = self.confirm_crashes();
        }
        self.remove_all(Reason::Replaced, &mut events);
        events
    }

    /// Removes the runs of a silent endpoint once all of its leases have expired: those that can't begin any more, or all if the endpoint
    /// counts as gone.
    pub fn expire_runs(&mut self, now: Time) -> Vec<Event> {
        if !self.is_silent(now) || now <= self.leases_end {
            return Vec::new();
        }
        let mut events = Vec::new();
        let suspects = self.sole_suspects();
        let is_gone = self.is_gone(now);
        let over = |(task, run): (&TaskId, &Execution)| {
            (is_gone || run.unsettled.is_none()).then_some(*task)
        };
        let over: Vec<TaskId> = self.executions.iter().filter_map(over).collect();
        for task in over {
            self.remove_lost(task, Reason::Silent, &mut events);
        }
        for event in &mut events {
            if let Event::Lost(loss) = *event {
                let (task, batch) = (loss.task, loss.batch);
                let sole = suspects.contains(&task);
                self.unconfirmed_crashes.push(Crash { task, batch, sole });
                *event = Event::Expired(loss);
            }
        }
        events
    }

    /// Marks all runs as lost in a crash, but for those whose start was sent when an earlier one was unanswered already: these didn't
    /// reach the life that crashed.
    fn mark_crashed(&mut self) {
        let suspects = self.sole_suspects();
        let starting = self.executions.values();
        let starting = starting.filter(|run| run.phase == Phase::Starting);
        let first = starting.filter_map(|run| run.started_at).min();
        let crashed_by = first.map(|at| at + START_TRANSIT);
        for (task, execution) in &mut self.executions {
            let too_late = execution.phase == Phase::Starting && execution.started_at > crashed_by;
            execution.lost_in_crash = (!too_late).then(|| suspects.contains(task));
        }
    }

    /// Returns the suspected tasks here beside which no run of another job can be to blame for a crash.
    ///
    /// Nothing starts beside a strong suspect, so other runs beside it have survived longer. A weak suspect may
    /// be joined by a task that crashes its first endpoint, so no other job may run beside it. A run that may not
    /// have reached the endpoint can't have crashed it.
    fn sole_suspects(&self) -> BTreeSet<TaskId> {
        let harmless = |suspicion: Suspicion, other: &Execution| {
            suspicion.is_strong() && !other.suspicion.is_present()
        };
        let sole = |(task, execution): &(&TaskId, &Execution)| {
            let mut others = self
                .executions
                .iter()
                .filter(|(other, _)| other.job != task.job);
            let suspicion = execution.suspicion;
            execution.reached
                && suspicion.is_present()
                && others.all(|(_, other)| harmless(suspicion, other))
        };
        let sole = self.executions.iter().filter(sole);
        sole.map(|(task, _)| *task).collect()
    }

    /// Reports the crashes that were in doubt: the endpoint has restarted or was replaced.
    fn confirm_crashes(&mut self) -> Vec<Event> {
        self.unconfirmed_crashes
            .drain(..)
            .map(Event::CrashConfirmed)
            .collect()
    }

    /// Clears the suspicion from expired runs: the endpoint answers in its known life, so it didn't crash.
    pub(super) fn rule_out_crashes(&mut self) -> Vec<Event> {
        let cleared = |crash: Crash| Event::CrashRuledOut(crash.task, crash.batch);
        self.unconfirmed_crashes.drain(..).map(cleared).collect()
    }

    /// Records that the endpoint lists a run: its start reached the current life.
    pub(super) fn on_listed(&mut self, task: &TaskId) {
        if let Some(execution) = self.executions.get_mut(task) {
            execution.lost_in_crash = None;
            execution.reached = true;
        }
    }

    /// Sets the evidence that a run's task crashes endpoints.
    pub fn set_suspicion(&mut self, task: &TaskId, suspicion: Suspicion) {
        if let Some(execution) = self.executions.get_mut(task) {
            execution.suspicion = suspicion;
        }
    }

    /// Returns the number of runs here whose tasks are suspects.
    pub fn count_suspects(&self) -> usize {
        let executions = self.executions.values();
        let suspected = executions.filter(|execution| execution.suspicion.is_present());
        suspected.count()
    }

    /// Returns whether a wanted run here belongs to a strong suspect. Nothing starts beside it, as such
    /// runs would be lost with it and become suspects too.
    pub fn has_strong_suspect(&self) -> bool {
        let mut executions = self.executions.values();
        executions.any(|run| run.suspicion.is_strong() && run.fate == Fate::Restart)
    }
}
