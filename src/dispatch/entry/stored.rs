//! Stored jobs at the entry of the instance that coordinates their shard. Their tasks are placed like those of any
//! other job; their ends arrive one by one, once they're stored.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use super::{
    super::{
        durable::record::{
            Progress,
            StepProgress, //
        },
        id::{
            JobId,
            TaskId, //
        },
        message::LogRecord,
        owner::Effects,
        task::AcceptedJob, //
    },
    ending::{
        send_cancel,
        send_withdrawal, //
    },
    Entry,
    Job,
    SentBatch,
    StepState,
    UnplacedTasks,
    UNLIMITED, //
};
use crate::prelude::*;

impl Entry {
    /// Adds a stored job. Its tasks that aren't done are placed from `at` on.
    pub fn run_stored(
        &mut self,
        id: JobId,
        accepted: &AcceptedJob,
        progress: &Progress,
        at: Time,
        now: Time,
    ) {
        let steps = accepted.submission.steps.iter().zip(&progress.steps);
        let steps = steps.map(|(step, ends)| StepState {
            remaining: (0..step.count).filter(|i| !ends.done.contains(i)).collect(),
            placed: false,
        });
        let has_started = |ends: &StepProgress| !ends.done.is_empty() || !ends.failures.is_empty();
        let job = Job {
            tickets: Vec::new(),
            service: accepted.service.clone(),
            attempts: accepted.attempts,
            priority: accepted.priority,
            arrived_at: now,
            due_at: now + accepted.objective,
            useful_until: now + UNLIMITED,
            deadline: now + UNLIMITED,
            steps: steps.collect(),
            submission: Rc::new(accepted.submission.clone()),
            batches: BTreeMap::new(),
            unplaced: Vec::new(),
            started: progress.steps.iter().any(has_started),
            committed: false,
            given_up: false,
            failed: false,
            stored: true,
            route: accepted.route.clone(),
        };
        self.jobs.insert(id, job);
        self.delayed_starts.push((at, id));
    }

    /// Places the first steps of added stored jobs whose start time has come.
    pub fn start_due_stored(&mut self, now: Time, out: &mut Effects) {
        if self.delayed_starts.is_empty() {
            return;
        }
        let (due, later) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed_starts = later;
        let due: Vec<(Time, JobId)> = due;
        for (_, id) in due {
            self.advance(id, now, out);
        }
    }

    /// Handles the end of a run that is done, as reported by the owner of its batch: that owner has removed the task.
    pub fn on_run_done(&mut self, serial: u64, task: TaskId) {
        self.remove_from_batch(serial, task);
    }

    /// Handles a task that is done: advances the job, after [`Entry::on_run_done`] if its batch is known.
    ///
    /// A task that is still in a batch was done by an earlier run, which was taken for lost. The owner of the batch may have the task
    /// queued, so it's told.
    pub fn on_task_done(&mut self, task: TaskId, now: Time, out: &mut Effects) {
        if let Some(serial) = self.find_batch(task) {
            self.withdraw(serial, task, out);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        for unplaced in &mut job.unplaced {
            if unplaced.step == task.step {
                unplaced.tasks.retain(|index| *index != task.index);
            }
        }
        job.unplaced.retain(|unplaced| !unplaced.tasks.is_empty());
        if let Some(step) = job.steps.get_mut(task.step as usize) {
            step.remaining.remove(&task.index);
        }
        if !self.delayed_starts.iter().any(|(_, id)| *id == task.job) {
            self.advance(task.job, now, out);
        }
    }

    /// Handles the stored failure of a run of a task: places the task again if the run belongs to the batch that
    /// holds the task now.
    ///
    /// A failure may arrive late and belong to a batch of a former coordinator. If the task is in a new batch by
    /// then, placing it once more would run it twice at the same time; the end of the new run, or the loss of its
    /// batch, decides instead. A task in no batch is waiting already, or its step isn't placed yet.
    pub fn on_task_failed(&mut self, task: TaskId, batch: Option<u64>, now: Time) {
        let removed = batch.is_some_and(|serial| self.remove_from_batch(serial, task));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        if removed {
            job.unplaced.push(UnplacedTasks {
                step: task.step,
                tasks: vec![task.index],
                not_before: now,
                preferred_rack: None,
                lost_on: None,
            });
        }
    }

    /// Takes a task out of its batch, and tells the batch's owner.
    fn withdraw(&mut self, serial: u64, task: TaskId, out: &mut Effects) {
        let job = self.jobs.get_mut(&task.job);
        let Some(sent) = job.and_then(|job| job.batches.get_mut(&serial)) else {
            return;
        };
        let owner = sent.owner.clone();
        sent.withdrawn.push(task.index);
        self.remove_from_batch(serial, task);
        let record = LogRecord::new("task_done_elsewhere").job(task.job);
        let record = record.with("task", task.to_string());
        let record = record.with("batch", serial);
        out.log(record.with("owner", owner.as_str()));
        match self.has_batch(serial) {
            true => send_withdrawal(owner, serial, vec![task.index], out),
            false => send_cancel(owner, serial, out),
        }
    }

    /// Returns the serial number of the batch that holds a task.
    fn find_batch(&self, task: TaskId) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        let mut batches = job.batches.iter();
        let (serial, _) = batches.find(|(_, sent)| sent.contains(task))?;
        Some(*serial)
    }

    /// Removes a task from a batch; returns whether the batch held it.
    fn remove_from_batch(&mut self, serial: u64, task: TaskId) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let sent = job.batches.get_mut(&serial);
        let Some(sent) = sent.filter(|sent| sent.contains(task)) else {
            return false;
        };
        sent.tasks.retain(|index| *index != task.index);
        if sent.tasks.is_empty() {
            job.batches.remove(&serial);
            self.by_serial.remove(&serial);
        }
        true
    }

    /// Returns whether a batch of this entry is outstanding at an owner.
    pub fn has_batch(&self, serial: u64) -> bool {
        self.by_serial.contains_key(&serial)
    }

    /// Marks the job of a batch as started, after its owner has sent a start to an endpoint.
    pub fn on_batch_started(&mut self, serial: u64) {
        let job = self.by_serial.get(&serial).copied();
        if let Some(job) = job.and_then(|id| self.jobs.get_mut(&id)) {
            job.started = true;
        }
    }

    /// Cancels the batches of a stored job and removes the job.
    pub fn release_stored(&mut self, id: JobId, out: &mut Effects) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stored) else {
            return;
        };
        let serials: Vec<u64> = job.batches.keys().copied().collect();
        for serial in serials {
            self.cancel_batch(id, serial, out);
        }
        self.delayed_starts.retain(|(_, delayed)| *delayed != id);
        self.remove(id);
    }
}

impl SentBatch {
    /// Returns whether the batch holds a task.
    fn contains(&self, task: TaskId) -> bool {
        self.step == task.step && self.tasks.contains(&task.index)
    }
}
