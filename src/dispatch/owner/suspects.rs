//! Tasks under which endpoints crash.
//!
//! A task may crash each endpoint that starts it. Started over and over, one such job emptied a data centre, and took along what ran
//! beside it. So what ran on an endpoint that crashed is suspected: each such task goes on alone, so that those that are
//! innocent end there and are cleared, and the job of one under which a second endpoint crashes has failed. A crash may be proved only
//! after its tasks went on beside each other: what shared both crashes with another gets one more run.

use super::{
    super::{
        endpoint::Crash,
        id::{
            Run,
            TaskId, //
        },
        message::{
            Outcome,
            Record,
            Suspicion, //
        },
        queue::Handle, //
    },
    Effects,
    Owner,
    Progress, //
};
use crate::prelude::*;

/// Endpoints that may crash or fall silent under a task before it waits until more is known of them.
const DOUBTS: u32 = 2;

/// How long such a task waits at the most: an endpoint that crashed is back within seconds, and proves it.
const DETENTION: Span = Span::seconds(6);

impl Owner {
    fn progress(&mut self, task: TaskId, handle: Handle) -> Option<&mut Progress> {
        let load = self.loads.get_mut(&handle)?;
        load.tasks.get_mut(&task.index)
    }

    /// Takes note that an endpoint crashed under a run; the task waits for its next one, unless its job has failed.
    pub(super) fn crashed(
        &mut self,
        id: &Endpoint,
        crash: Crash,
        next: Run,
        now: Time,
        out: &mut Effects,
    ) {
        self.convict(id, crash, false, now, out);
        self.again(crash.task, crash.batch, next, now);
    }

    /// Takes note that a run was given up on an endpoint that has fallen silent.
    ///
    /// It may have crashed, and whether it did is known only when it is back. A task that goes on at once each time would have been
    /// started many times more by then.
    pub(super) fn lapsed(
        &mut self,
        (task, handle, next): (TaskId, Handle, Run),
        refused: bool,
        now: Time,
    ) {
        let Some(progress) = self.progress(task, handle) else {
            return;
        };
        progress.next = progress.next.max(next);
        progress.suspicion.silences += 1;
        progress.suspicion.refusals += u32::from(refused);
        let Suspicion {
            crashes, silences, ..
        } = progress.suspicion;
        match crashes + silences < DOUBTS {
            true => self.again(task, handle, next, now),
            false => {
                self.detained.insert(task, (now + DETENTION, handle));
            }
        }
    }

    /// Takes note that an endpoint crashed under a task; `silent` if it had fallen silent before, and was counted as that.
    pub(super) fn convict(
        &mut self,
        id: &Endpoint,
        Crash { task, batch, sole }: Crash,
        silent: bool,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(progress) = self.progress(task, batch) else {
            return;
        };
        let suspicion = &mut progress.suspicion;
        suspicion.crashes += 1;
        suspicion.sole_crashes += u32::from(sole);
        if silent {
            suspicion.on_endpoint_heard();
        }
        let suspicion = *suspicion;
        self.suspect(&task, suspicion);
        let record = Record::new("run_crashed").job(task.job);
        let record = record.with("task", task.to_string());
        let record = record.with("endpoint", id.as_str());
        let record = record.with("crashes", suspicion.crashes);
        out.log(record.with("sole", suspicion.sole_crashes));
        if suspicion.is_conclusive() {
            self.finish(batch, Outcome::Crashed, out);
        } else if suspicion.silences == 0 {
            self.release_one(task, batch, now);
        }
    }

    /// Lets a task's run, where there is one, go on with what has come to be known since it began.
    fn suspect(&mut self, task: &TaskId, suspicion: Suspicion) {
        let endpoint = self.busy.get(task);
        let state = endpoint.and_then(|id| self.endpoints.get_mut(id));
        if let Some(state) = state {
            state.suspect(task, suspicion);
        }
    }

    /// Takes note that an endpoint which had fallen silent under a task has answered in the same life.
    pub(super) fn acquit(&mut self, task: TaskId, handle: Handle, now: Time) {
        let Some(progress) = self.progress(task, handle) else {
            return;
        };
        progress.suspicion.on_endpoint_heard();
        let suspicion = progress.suspicion;
        self.suspect(&task, suspicion);
        self.release_one(task, handle, now);
    }

    /// Lets a task go on that waits for what becomes known of an endpoint, now that this is known.
    fn release_one(&mut self, task: TaskId, handle: Handle, now: Time) {
        if self.detained.remove(&task).is_some() {
            self.again(task, handle, Run::FIRST, now);
        }
    }

    /// Lets tasks go on that have waited long enough.
    pub(super) fn release(&mut self, now: Time) {
        let due = |(task, (until, handle)): (&TaskId, &(Time, Handle))| {
            (*until <= now).then_some((*task, *handle))
        };
        let due: Vec<(TaskId, Handle)> = self.detained.iter().filter_map(due).collect();
        for (task, handle) in due {
            self.release_one(task, handle, now);
        }
    }
}
