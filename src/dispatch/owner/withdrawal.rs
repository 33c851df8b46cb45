//! Tasks that leave their batches because they are done: they must start nowhere any more.
//!
//! A run that its owner took for lost may have ended as done, on an endpoint that was cut off or whose owner died. By the time that its
//! end is heard the task may wait in a queue again, here or elsewhere, or have another run. Who hears of the end first depends on the
//! fault: the owner hears it from the endpoint, and the entry from the coordinator of the job. Each acts on what it knows.

use super::{
    super::{
        endpoint::{
            Fate,
            Loss, //
        },
        id::{
            Run,
            TaskId, //
        },
        message::{
            LogRecord,
            Outcome,
            RunEnd, //
        },
        queue::{
            Handle,
            Waiting, //
        }, //
    },
    Assignment,
    Effects,
    Owner, //
};
use crate::prelude::*;

impl Owner {
    /// Takes tasks out of a batch for its entry. A batch that isn't here may be on its way with its rack: its entry repeats the
    /// withdrawal when it hears that the batch has arrived.
    pub fn withdraw(&mut self, entry: &Instance, serial: u64, tasks: &[u32], out: &mut Effects) {
        let key = (entry.clone(), serial);
        let Some(handle) = self.by_entry.get(&key).copied() else {
            return;
        };
        for index in tasks {
            self.withdraw_task(handle, *index, "entry", out);
        }
    }

    /// Handles a run that is done: its task leaves all batches here.
    ///
    /// A batch of a job that isn't stored counts only its own runs, since the job may have been submitted more than once.
    pub(super) fn withdraw_done(&mut self, end: &RunEnd, out: &mut Effects) {
        let index = end.task.index;
        for handle in self.batches_with(end.task) {
            let Some(assignment) = self.assignments.get_mut(&handle) else {
                continue;
            };
            let is_own = assignment.has_lost(index, &end.endpoint, end.run);
            if is_own && !assignment.batch.stored {
                assignment.done.push(index);
            }
            if is_own || assignment.batch.stored {
                self.withdraw_task(handle, index, "endpoint", out);
            }
        }
    }

    /// Records a run that is taken for lost.
    pub(super) fn record_lost_run(&mut self, id: &Endpoint, loss: &Loss) {
        let assignment = self.assignments.get_mut(&loss.batch);
        let task_state = assignment.and_then(|a| a.tasks.get_mut(&loss.task.index));
        if let Some(task_state) = task_state {
            task_state.lost_runs.push((id.clone(), loss.run));
        }
    }

    /// Takes tasks out of a new batch whose ends are known here and aren't stored yet: its entry didn't know them.
    pub(super) fn withdraw_unstored(&mut self, handle: Handle, out: &mut Effects) {
        let assignment = self.assignments.get(&handle);
        let Some(assignment) = assignment.filter(|assignment| assignment.batch.stored) else {
            return;
        };
        let ends = self.unstored_ends.values().map(|(end, _)| end);
        let known = ends.filter(|end| end.done && assignment.holds(end.task));
        let known: Vec<u32> = known.map(|end| end.task.index).collect();
        for index in known {
            self.withdraw_task(handle, index, "endpoint", out);
        }
    }

    /// Returns the batches here that hold a task.
    pub(super) fn batches_with(&self, task: TaskId) -> Vec<Handle> {
        let handles = self.by_job.get(&task.job).into_iter().flatten().copied();
        let holds = |handle: &Handle| {
            let assignment = self.assignments.get(handle);
            assignment.is_some_and(|assignment| assignment.holds(task))
        };
        handles.filter(holds).collect()
    }

    /// Takes a task out of a batch and its rack's queue, and stops its run if it has one. `source` says from whom it's known that the task
    /// is done.
    fn withdraw_task(
        &mut self,
        handle: Handle,
        index: u32,
        source: &'static str,
        out: &mut Effects,
    ) {
        let Some(assignment) = self.assignments.get_mut(&handle) else {
            return;
        };
        if assignment.tasks.remove(&index).is_none() {
            return;
        }
        if !assignment.done.contains(&index) {
            let tasks = &mut assignment.batch.tasks;
            tasks.retain(|in_batch| *in_batch != index);
        }
        let (task, serial) = (assignment.task_id(index), assignment.batch.serial);
        let is_empty = assignment.tasks.is_empty();
        let has_results = !assignment.done.is_empty();
        if let Some(rack) = self.racks.get_mut(&assignment.batch.rack) {
            let batch = handle;
            rack.queue.remove(Waiting { batch, index });
            rack.room_changed = true;
        }
        let record = LogRecord::new("task_withdrawn").job(task.job);
        let record = record.with("task", task.to_string());
        let record = record.with("batch", serial);
        let record = record.with("task_in", self.place_of(task));
        out.log(record.with("told_by", source));
        self.held_back.remove(&task);
        self.stop_run(task, handle, Fate::Drop, out);
        match (is_empty, has_results) {
            (true, true) => self.finish(handle, Outcome::Done, out),
            (true, false) => drop(self.remove_assignment(handle)),
            (false, _) => {}
        }
    }

    /// Returns where a task is, for the log: the endpoint of its run, or the queue.
    pub(super) fn place_of(&self, task: TaskId) -> &str {
        let endpoint = self.run_locations.get(&task);
        endpoint.map_or("queue", |endpoint| endpoint.as_str())
    }
}

impl Assignment {
    /// Returns whether the batch holds a task that isn't done.
    fn holds(&self, task: TaskId) -> bool {
        let batch = &self.batch;
        (batch.job, batch.step) == (task.job, task.step) && self.tasks.contains_key(&task.index)
    }

    /// Returns whether a run of one of its tasks was taken for lost on an endpoint.
    fn has_lost(&self, index: u32, endpoint: &Endpoint, run: Run) -> bool {
        let task_state = self.tasks.get(&index);
        let mut lost = task_state.into_iter().flat_map(|state| &state.lost_runs);
        lost.any(|(on, number)| on == endpoint && *number == run)
    }
}
