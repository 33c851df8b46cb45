//! Stored jobs at the instance that coordinates them: their tasks are given out like those of any other job, and
//! their ends come one by one, as they are stored.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use super::{
    super::{
        durable::record::{
            Progress as Stored, //
            StepProgress,
        },
        id::{
            JobId,
            TaskId, //
        },
        owner::Effects,
        task::AcceptedJob, //
    },
    Entry,
    Job,
    Loose,
    Progress,
    Sent,
    FOREVER, //
};
use crate::prelude::*;

impl Entry {
    /// Runs what is not done of a stored job, from `at` on.
    pub fn run_stored(
        &mut self,
        id: JobId,
        accepted: &AcceptedJob,
        stored: &Stored,
        at: Time,
        now: Time,
    ) {
        let steps = accepted.submission.steps.iter().zip(&stored.steps);
        let steps = steps.map(|(step, ends)| Progress {
            left: (0..step.count).filter(|i| !ends.done.contains(i)).collect(),
            placed: false,
        });
        let begun = |ends: &StepProgress| !ends.done.is_empty() || !ends.failures.is_empty();
        let job = Job {
            tickets: Vec::new(),
            service: accepted.service.clone(),
            attempts: accepted.attempts,
            priority: accepted.priority,
            arrived: now,
            due: now + accepted.objective,
            useful: now + FOREVER,
            until: now + FOREVER,
            steps: steps.collect(),
            submission: Rc::new(accepted.submission.clone()),
            batches: BTreeMap::new(),
            loose: Vec::new(),
            started: stored.steps.iter().any(begun),
            ending: false,
            failed: false,
            stored: true,
            route: accepted.route.clone(),
        };
        self.jobs.insert(id, job);
        self.held_back.push((at, id));
    }

    /// Places the first steps of stored jobs whose time has come.
    pub fn start_due_stored(&mut self, now: Time, out: &mut Effects) {
        if self.held_back.is_empty() {
            return;
        }
        let (due, later) = std::mem::take(&mut self.held_back)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.held_back = later;
        let due: Vec<(Time, JobId)> = due;
        for (_, id) in due {
            self.advance(id, now, out);
        }
    }

    /// Takes note that a task of a stored job is done.
    pub fn on_task_done(&mut self, task: TaskId, now: Time, out: &mut Effects) {
        if let Some(serial) = self.batch_of(task) {
            self.take_out_of(serial, task);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        for loose in &mut job.loose {
            if loose.step == task.step {
                loose.tasks.retain(|index| *index != task.index);
            }
        }
        job.loose.retain(|loose| !loose.tasks.is_empty());
        if let Some(step) = job.steps.get_mut(task.step as usize) {
            step.left.remove(&task.index);
        }
        if !self.held_back.iter().any(|(_, id)| *id == task.job) {
            self.advance(task.job, now, out);
        }
    }

    /// Takes note that a run of a task of a stored job failed: it is placed again, if the run was of the batch that has it.
    ///
    /// An end may come long after its run, and be of a batch of a former coordinator. The task may have been given out again
    /// since: placed once more, it would run beside the run that is out. That run's own end, or the loss of its batch,
    /// tells when the task may be placed. A task that no batch has waits already, or its step hasn't been placed.
    pub fn on_task_failed(&mut self, task: TaskId, batch: Option<u64>, now: Time) {
        let out_of_batch = batch.is_some_and(|serial| self.take_out_of(serial, task));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        if out_of_batch {
            job.loose.push(Loose {
                step: task.step,
                tasks: vec![task.index],
                at: now,
                hint: None,
            });
        }
    }

    /// Returns the batch that has a task.
    fn batch_of(&self, task: TaskId) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        let mut batches = job.batches.iter();
        let (serial, _) = batches.find(|(_, sent)| sent.has(task))?;
        Some(*serial)
    }

    /// Takes a task out of a batch; returns whether the batch had it.
    fn take_out_of(&mut self, serial: u64, task: TaskId) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let sent = job.batches.get_mut(&serial);
        let Some(sent) = sent.filter(|sent| sent.has(task)) else {
            return false;
        };
        sent.tasks.retain(|index| *index != task.index);
        if sent.tasks.is_empty() {
            job.batches.remove(&serial);
            self.by_serial.remove(&serial);
        }
        true
    }

    /// Tells whether an owner has a batch of this instance.
    pub fn has_out(&self, serial: u64) -> bool {
        self.by_serial.contains_key(&serial)
    }

    /// Takes note that a start of a batch has left.
    pub fn begun(&mut self, serial: u64) {
        let job = self.by_serial.get(&serial).copied();
        if let Some(job) = job.and_then(|id| self.jobs.get_mut(&id)) {
            job.started = true;
        }
    }

    /// Stops what runs of a stored job, and forgets it.
    pub fn release_stored(&mut self, id: JobId, out: &mut Effects) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stored) else {
            return;
        };
        let serials: Vec<u64> = job.batches.keys().copied().collect();
        for serial in serials {
            self.cancel_batch(id, serial, out);
        }
        self.held_back.retain(|(_, held)| *held != id);
        self.forget(id);
    }
}

impl Sent {
    fn has(&self, task: TaskId) -> bool {
        self.step == task.step && self.tasks.contains(&task.index)
    }
}
