//! Ends of runs that endpoints must keep until they are stored.

use super::{
    super::{
        id::Life,
        message::{
            LogRecord,
            RunEnd, //
        },
        queue::Handle, //
    },
    Effects,
    Owner, //
};
use crate::prelude::*;

/// Time after which an end that isn't stored is reported again, as its shard may have another coordinator.
const REPORT_INTERVAL: Span = Span::millis(500);

impl Owner {
    /// Records an end that must be stored if its job is stored, and removes the task from its batch. A task that is done leaves all
    /// other batches here as well.
    pub(super) fn on_run_ended(
        &mut self,
        mut end: RunEnd,
        batch: Option<Handle>,
        out: &mut Effects,
    ) {
        let task = end.task;
        let assignment = batch.and_then(|handle| self.assignments.get(&handle));
        end.batch =
            assignment.map(|assignment| (assignment.entry.name.clone(), assignment.batch.serial));
        if batch.is_some() {
            self.run_locations.remove(&task);
        }
        self.log_end(&end, batch, out);
        if !end.done {
            let record = LogRecord::new("task_failed").job(task.job);
            let record = record.with("task", task.to_string());
            out.log(record.with("endpoint", end.endpoint.as_str()));
        }
        let assignment =
            batch.and_then(|handle| Some((handle, self.assignments.get_mut(&handle)?)));
        if let Some((handle, assignment)) = assignment {
            assignment.tasks.remove(&task.index);
            if assignment.tasks.is_empty() {
                self.remove_assignment(handle);
            }
        }
        if end.done {
            self.withdraw_done(&end, out);
        }
        let key = (end.endpoint.clone(), end.life, end.serial);
        self.unstored_ends.insert(key, (end, None));
    }

    /// Logs an end that is reported to the coordinator of its job. That of a run which this owner doesn't know, or has taken for lost,
    /// is logged with where its task is now.
    fn log_end(&self, end: &RunEnd, batch: Option<Handle>, out: &mut Effects) {
        let fields = |record: LogRecord| {
            let record = record.job(end.task.job).with("task", end.task.to_string());
            let record = record.with("run", end.run.0);
            let record = record.with("endpoint", end.endpoint.as_str());
            record.with("end", end.serial)
        };
        if batch.is_some() {
            if end.done {
                out.log(fields(LogRecord::routine("task_done")));
            }
            return;
        }
        let result = if end.done { "done" } else { "failed" };
        let holder = self.batches_with(end.task).first().copied();
        let record = match holder.and_then(|handle| self.assignments.get(&handle)) {
            Some(assignment) => {
                let record = fields(LogRecord::new("late_end"));
                let record = record.with("task_in", self.place_of(end.task));
                let record = record.with("batch", assignment.batch.serial);
                record.with("entry", assignment.entry.name.as_str())
            }
            None => fields(LogRecord::routine("late_end")),
        };
        out.log(record.with("result", result));
    }

    /// Returns the ends that are due to be reported, and marks them as reported now: new ones, and those whose
    /// last report is too old.
    pub fn take_ends_to_report(&mut self, now: Time) -> Vec<RunEnd> {
        let mut due = Vec::new();
        for (end, reported_at) in self.unstored_ends.values_mut() {
            if reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL) {
                *reported_at = Some(now);
                due.push(end.clone());
            }
        }
        due
    }

    /// Lets an endpoint forget an end that is stored or needn't be. A `late` end is forgotten only after the
    /// endpoint's lease has expired.
    pub fn on_end_stored(
        &mut self,
        endpoint: &Endpoint,
        life: Life,
        serial: u64,
        late: bool,
        now: Time,
    ) {
        self.unstored_ends.remove(&(endpoint.clone(), life, serial));
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            match late {
                true => state.on_late_end_stored(life, serial),
                false => state.on_end_stored(life, serial, now),
            }
        }
    }
}
