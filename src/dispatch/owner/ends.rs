//! Ends of runs that endpoints must not forget before they are stored.

use super::{
    super::{
        id::Life,
        message::{
            Record,
            RunEnd, //
        },
        queue::Handle, //
    },
    Effects,
    Owner, //
};
use crate::prelude::*;

/// After which an end that isn't stored is reported again: its shard may have another coordinator by then.
const AGAIN: Span = Span::millis(500);

impl Owner {
    /// Takes note of an end that has to be stored, if its job is.
    pub(super) fn ended(&mut self, mut end: RunEnd, batch: Option<Handle>, out: &mut Effects) {
        let task = end.task;
        let load = batch.and_then(|handle| self.loads.get(&handle));
        end.batch = load.map(|load| (load.entry.name.clone(), load.batch.serial));
        if batch.is_some() {
            self.busy.remove(&task);
        }
        if !end.done {
            let record = Record::new("task_failed").job(task.job);
            let record = record.with("task", task.to_string());
            out.log(record.with("endpoint", end.endpoint.as_str()));
        }
        let key = (end.endpoint.clone(), end.life, end.serial);
        self.ends.insert(key, (end, None));
        let load = batch.and_then(|handle| Some((handle, self.loads.get_mut(&handle)?)));
        if let Some((handle, load)) = load {
            load.tasks.remove(&task.index);
            if load.tasks.is_empty() {
                self.remove_load(handle);
            }
        }
    }

    /// Returns the ends to report: new ones, and those that were reported long ago.
    pub fn take_ends_to_report(&mut self, now: Time) -> Vec<RunEnd> {
        let mut due = Vec::new();
        for (end, at) in self.ends.values_mut() {
            if at.is_none_or(|at| now.since(at) >= AGAIN) {
                *at = Some(now);
                due.push(end.clone());
            }
        }
        due
    }

    /// Takes note that an end is stored, or needn't be; a `late` one is forgotten when the endpoint's lease has passed.
    pub fn on_end_stored(
        &mut self,
        endpoint: &Endpoint,
        life: Life,
        serial: u64,
        late: bool,
        now: Time,
    ) {
        self.ends.remove(&(endpoint.clone(), life, serial));
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            match late {
                true => state.noted_late(life, serial),
                false => state.noted(life, serial, now),
            }
        }
    }
}
