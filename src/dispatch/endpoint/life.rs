//! Lives of an endpoint: how a new one is found, and what that means for runs of the one before.
//!
//! An endpoint may start again under the name that it had. It has forgotten everything then: its runs are gone, and its clock and the
//! numbers of its ends begin anew. Taken for the same life, its new ends were dropped unread, since their numbers were low, and what
//! had run there seemed to run on.

use std::collections::BTreeSet;

use super::{
    super::{
        id::{
            Life,
            TaskId, //
        },
        message::Suspicion, //
    },
    Crash,
    Event,
    Execution,
    Fate,
    Standing,
    State,
    LEASE,
    REST, //
};
use crate::prelude::*;

/// How long after the last lease of a life its runs have surely ended.
const PASSED: Span = Span::millis(50);

impl State {
    /// Returns the latest life that is known.
    pub fn life(&self) -> Life {
        self.life
    }

    /// Takes note of the life that its row or its answer names; a later one than was known proves that it crashed.
    pub fn live(&mut self, life: Life, now: Time) -> Vec<Event> {
        let renewed = self.life.is_before(life);
        if life.is_known() && !life.is_before(self.life) {
            self.life = life;
        }
        match renewed {
            true => self.renew(now),
            false => Vec::new(),
        }
    }

    /// Begins anew with an endpoint that knows nothing of before.
    ///
    /// A run whose start was on its way may be of the new life, so that none is given up before the endpoint has told what runs
    /// there; those that it doesn't list then were crashed.
    fn renew(&mut self, now: Time) -> Vec<Event> {
        self.crash();
        (self.seen, self.told) = (0, 0);
        self.held.clear();
        self.late.clear();
        self.unknown.clear();
        // Without a reading of its clock nothing is started: a deadline on the former life's clock may be hours away on this one.
        self.reading = None;
        self.renewed = now;
        self.lapse = now + LEASE + PASSED;
        self.standing = Standing::Claimed;
        self.next_look = now;
        self.rest = Time::default();
        (self.failures, self.penalty, self.probation) = ((0, 0), REST.0, false);
        self.convict()
    }

    /// Takes note that another endpoint answers at its address, so that it has crashed, unless it was about to leave.
    pub fn replaced(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.listing.draining {
            self.crash();
            events = self.convict();
        }
        self.lose_all(&mut events);
        events
    }

    /// Gives its runs up when it is silent and every lease has passed.
    pub fn lapse(&mut self, now: Time) -> Vec<Event> {
        if self.standing != Standing::Silent || now <= self.lapse {
            return Vec::new();
        }
        let mut events = Vec::new();
        let suspects = self.sole_suspects();
        self.lose_all(&mut events);
        for event in &mut events {
            if let Event::Gone(task, batch, next) = *event {
                let sole = suspects.contains(&task);
                self.abandoned.push(Crash { task, batch, sole });
                *event = Event::Lapsed(task, batch, next);
            }
        }
        events
    }

    /// Marks all runs as lost with a life of the endpoint.
    fn crash(&mut self) {
        let suspects = self.sole_suspects();
        for (task, execution) in &mut self.executions {
            execution.crashed = Some(suspects.contains(task));
        }
    }

    /// Finds the tasks here of which it is known that the runs of other jobs beside them are no suspects.
    ///
    /// Nothing joins a strong suspect, so that other runs beside it had been going on without a crash. A weak one may be joined by a task
    /// that crashes endpoints for the first time, so that it must have no other job's run beside it. A run that may never have reached
    /// the endpoint, which was cut off before and began anew behind the cut, has crashed nothing.
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

    fn convict(&mut self) -> Vec<Event> {
        self.abandoned.drain(..).map(Event::Convicted).collect()
    }

    /// Takes note that it answers in the life that is known: it hadn't crashed.
    pub(super) fn acquit(&mut self) -> Vec<Event> {
        let acquitted = |crash: Crash| Event::Acquitted(crash.task, crash.batch);
        self.abandoned.drain(..).map(acquitted).collect()
    }

    /// Takes note that the endpoint lists a run: its start reached the present life.
    pub(super) fn confirm(&mut self, task: &TaskId) {
        if let Some(execution) = self.executions.get_mut(task) {
            execution.crashed = None;
            execution.reached = true;
        }
    }

    /// Takes note of what has come to be known of crashes under a run's task.
    pub fn suspect(&mut self, task: &TaskId, suspicion: Suspicion) {
        if let Some(execution) = self.executions.get_mut(task) {
            execution.suspicion = suspicion;
        }
    }

    /// Counts the runs here of tasks under which endpoints may have crashed.
    pub fn doubtful(&self) -> usize {
        let executions = self.executions.values();
        let doubtful = executions.filter(|execution| execution.suspicion.is_present());
        doubtful.count()
    }

    /// Tells whether a task runs here that endpoints may have crashed under. It runs alone: what ran beside it would be lost
    /// with it, and be suspected itself.
    pub fn has_suspect(&self) -> bool {
        let mut executions = self.executions.values();
        executions.any(|run| run.suspicion.is_strong() && run.fate == Fate::Again)
    }
}
