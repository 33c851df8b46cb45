//! Tasks under which endpoints crash.
//!
//! A task may crash each endpoint that starts it. Started over and over, one such job emptied a data centre, and took along what ran
//! beside it. So what ran on an endpoint that crashed is suspected: each such task goes on alone, so that those that are
//! innocent end there and are cleared, and the job of one under which a second endpoint crashes has failed.

use super::{
    super::{
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

/// Endpoints that may crash under a task before its job has failed.
const CRASHES: u32 = 2;

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
        (task, handle, next): (TaskId, Handle, Run),
        now: Time,
        out: &mut Effects,
    ) {
        self.convict(id, task, handle, false, out);
        self.again(task, handle, next, now);
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
        task: TaskId,
        handle: Handle,
        silent: bool,
        out: &mut Effects,
    ) {
        let Some(progress) = self.progress(task, handle) else {
            return;
        };
        let suspicion = &mut progress.suspicion;
        suspicion.crashes += 1;
        if silent {
            suspicion.heard();
        }
        let crashes = suspicion.crashes;
        let record = Record::new("run_crashed").job(task.job);
        let record = record.with("task", task.to_string());
        let record = record.with("endpoint", id.as_str());
        out.log(record.with("crashes", crashes));
        if crashes >= CRASHES {
            self.finish(handle, Outcome::Crashed, out);
        }
    }

    /// Takes note that an endpoint which had fallen silent under a task has answered in the same life.
    pub(super) fn acquit(&mut self, task: TaskId, handle: Handle, now: Time) {
        let Some(progress) = self.progress(task, handle) else {
            return;
        };
        progress.suspicion.heard();
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
            self.detained.remove(&task);
            self.again(task, handle, Run::FIRST, now);
        }
    }
}
