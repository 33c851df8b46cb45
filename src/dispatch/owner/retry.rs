//! Starts and stops that had no answer, sent again after a pause.

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
    /// Sends what is due again.
    pub(super) fn retry(&mut self, now: Time, out: &mut Effects) {
        let mut due: Vec<(Endpoint, TaskId)> = Vec::new();
        for (id, state) in &mut self.endpoints {
            due.extend(
                state
                    .retries(now)
                    .into_iter()
                    .map(|task| (id.clone(), task)),
            );
        }
        for (id, task) in due {
            self.send_again(&id, task, now, out);
        }
    }

    /// Sends the start or the stop of a run again, over a new connection: the last one may have gone silent.
    pub(super) fn send_again(&mut self, id: &Endpoint, task: TaskId, now: Time, out: &mut Effects) {
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
                let order = state.stop_again(name.clone(), run);
                (Some(order), Purpose::Stop(name, run))
            }
            Phase::Starting => {
                let spec = self.loads.get(&batch).map(|load| load.batch.spec.clone());
                let order = spec.and_then(|spec| state.start_again(task, run, spec, now));
                (order, Purpose::Start(task, run))
            }
        };
        match order {
            Some(order) => self.call(id, order, purpose, true, out),
            None => self.stop(task, batch, Fate::Again, out),
        }
    }
}
