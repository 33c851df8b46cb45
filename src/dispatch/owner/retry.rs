//! Retries of starts and stops that weren't answered.

use super::{
    super::{
        endpoint::{
            Fate,
            Phase, //
        },
        id::TaskId,
        message::Name, //
    },
    Effects,
    Owner,
    Purpose, //
};
use crate::prelude::*;

impl Owner {
    /// Resends the starts and stops whose retry is due.
    pub(super) fn resend_due(&mut self, now: Time, out: &mut Effects) {
        let mut due: Vec<(Endpoint, TaskId)> = Vec::new();
        for (id, state) in &mut self.endpoints {
            due.extend(
                state
                    .take_due_retries(now)
                    .into_iter()
                    .map(|task| (id.clone(), task)),
            );
        }
        for (id, task) in due {
            self.resend(&id, task, now, out);
        }
    }

    /// Resends the start or the stop of a run over a new connection, as the last one may be broken.
    pub(super) fn resend(&mut self, id: &Endpoint, task: TaskId, now: Time, out: &mut Effects) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let Some(execution) = state.executions.get(&task) else {
            return;
        };
        let (run, batch) = (execution.run, execution.batch);
        let (order, purpose) = match execution.phase {
            Phase::Running => return,
            Phase::Stopping => {
                let name = Name::Known(task);
                let order = state.stop_order(name.clone(), run);
                (Some(order), Purpose::Stop(name, run))
            }
            // A copy that no life of the endpoint answers would only be carried out late.
            Phase::Starting if !state.takes_starts() => return state.schedule_retry(task, now),
            Phase::Starting => {
                let assignment = self.assignments.get(&batch);
                let batch = assignment.map(|assignment| &assignment.batch);
                let label = batch.and_then(|batch| batch.label.as_ref());
                if !state.is_label_known(label) {
                    return state.schedule_retry(task, now);
                }
                // It may have restarted as another kind since the last copy was sent.
                let batch = batch.filter(|_| state.has_label(label));
                let spec = batch.map(|batch| batch.spec.clone());
                let order = spec.and_then(|spec| state.start_order(task, run, spec, now));
                (order, Purpose::Start(task, run))
            }
        };
        match order {
            Some(order) => self.call_endpoint(id, order, purpose, true, out),
            None => self.stop_run(task, batch, Fate::Restart, out),
        }
    }
}
