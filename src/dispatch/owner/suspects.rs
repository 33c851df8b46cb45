//! Tasks that crash their endpoints.
//!
//! A task may crash every endpoint that starts it, and would empty a data centre if it were started again without
//! limit. So the tasks that ran on a crashed endpoint are suspects. Each starts again where the fewest runs are, and
//! nothing starts beside it: a harmless task ends there and is cleared. A job fails when a second endpoint crashes
//! under its task. The crash of a silent endpoint is confirmed late, when its tasks may already share their next
//! endpoint; a task that shared both crashes with another suspect gets one more run.

use super::{
    super::{
        endpoint::{
            Crash,
            Loss, //
        },
        id::{
            Run,
            TaskId, //
        },
        message::{
            LogRecord,
            Outcome,
            Suspicion, //
        },
        queue::Handle, //
    },
    Effects,
    Owner,
    TaskState, //
};
use crate::prelude::*;

/// Endpoints that may crash or fall silent under a task before it is held back.
const HOLD_AFTER_LOSSES: u32 = 2;

/// The longest time that a task is held back: a crashed endpoint is back within seconds, which confirms the
/// crash.
const MAX_HOLD: Span = Span::seconds(6);

impl Owner {
    /// Returns the state of an unfinished task of a batch.
    fn task_mut(&mut self, task: TaskId, handle: Handle) -> Option<&mut TaskState> {
        let assignment = self.assignments.get_mut(&handle)?;
        assignment.tasks.get_mut(&task.index)
    }

    /// Handles the crash of an endpoint under a run. The task is queued again, unless its job has failed.
    pub(super) fn on_crash(
        &mut self,
        id: &Endpoint,
        crash: Crash,
        next: Run,
        now: Time,
        out: &mut Effects,
    ) {
        self.confirm_crash(id, crash, false, now, out);
        self.requeue(crash.task, crash.batch, next, now);
    }

    /// Handles a run that expired on a silent endpoint.
    ///
    /// Whether that endpoint crashed is known only when it is back. A task that keeps losing endpoints is held
    /// back until then, as it could crash many more.
    pub(super) fn on_run_expired(&mut self, loss: &Loss, refused: bool, now: Time) {
        let (task, handle, next) = (loss.task, loss.batch, loss.run.next());
        let Some(task_state) = self.task_mut(task, handle) else {
            return;
        };
        task_state.next = task_state.next.max(next);
        task_state.suspicion.silences += 1;
        task_state.suspicion.refusals += u32::from(refused);
        let Suspicion {
            crashes, silences, ..
        } = task_state.suspicion;
        match crashes + silences < HOLD_AFTER_LOSSES {
            true => self.requeue(task, handle, next, now),
            false => {
                self.held_back.insert(task, (now + MAX_HOLD, handle));
            }
        }
    }

    /// Records that an endpoint crashed under a task. `silent` tells whether the loss was already counted as a
    /// silence.
    pub(super) fn confirm_crash(
        &mut self,
        id: &Endpoint,
        Crash { task, batch, sole }: Crash,
        silent: bool,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(task_state) = self.task_mut(task, batch) else {
            return;
        };
        let suspicion = &mut task_state.suspicion;
        suspicion.crashes += 1;
        suspicion.sole_crashes += u32::from(sole);
        if silent {
            suspicion.clear_silence();
        }
        let suspicion = *suspicion;
        self.update_suspicion(&task, suspicion);
        let record = LogRecord::new("run_crashed").job(task.job);
        let record = record.with("task", task.to_string());
        let record = record.with("endpoint", id.as_str());
        let record = record.with("crashes", suspicion.crashes);
        out.log(record.with("sole", suspicion.sole_crashes));
        if suspicion.is_conclusive() {
            self.finish(batch, Outcome::Crashed, out);
        } else if suspicion.silences == 0 {
            self.release_task(task, batch, now);
        }
    }

    /// Updates the suspicion at a task's current run, if there is one.
    fn update_suspicion(&mut self, task: &TaskId, suspicion: Suspicion) {
        let endpoint = self.run_locations.get(task);
        let state = endpoint.and_then(|id| self.endpoints.get_mut(id));
        if let Some(state) = state {
            state.set_suspicion(task, suspicion);
        }
    }

    /// Handles an endpoint that fell silent under a task and then answered without having restarted.
    pub(super) fn rule_out_crash(&mut self, task: TaskId, handle: Handle, now: Time) {
        let Some(task_state) = self.task_mut(task, handle) else {
            return;
        };
        task_state.suspicion.clear_silence();
        let suspicion = task_state.suspicion;
        self.update_suspicion(&task, suspicion);
        self.release_task(task, handle, now);
    }

    /// Queues a task again if it was held back.
    fn release_task(&mut self, task: TaskId, handle: Handle, now: Time) {
        if self.held_back.remove(&task).is_some() {
            self.requeue(task, handle, Run::FIRST, now);
        }
    }

    /// Releases the tasks that were held back for long enough.
    pub(super) fn release_due(&mut self, now: Time) {
        let due = |(task, (until, handle)): (&TaskId, &(Time, Handle))| {
            (*until <= now).then_some((*task, *handle))
        };
        let due: Vec<(TaskId, Handle)> = self.held_back.iter().filter_map(due).collect();
        for (task, handle) in due {
            self.release_task(task, handle, now);
        }
    }
}
