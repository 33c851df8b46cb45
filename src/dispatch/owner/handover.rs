//! Racks that change their owner with all that waits and runs there.

use super::{
    super::{
        endpoint::{
            Execution,
            Fate,
            Phase, //
        },
        id::{
            RackId,
            Token, //
        },
        message::{
            Contact,
            Handover,
            HeldBatch,
            Listing,
            Message,
            Record, //
            TransferredRun,
        },
        queue::Waiting, //
    },
    given_up::Key,
    Effects,
    Owner,
    Progress, //
};
use crate::prelude::*;

impl Owner {
    /// Takes a rack out to give it to its next owner, with all that waits and runs there.
    pub fn hand_over(
        &mut self,
        rack: RackId,
        to: &Contact,
        now: Time,
        out: &mut Effects,
    ) -> Option<Handover> {
        let state = self.racks.get(&rack)?;
        let (token, ids) = (state.token, state.endpoints.clone());
        let mut runs = Vec::new();
        for id in &ids {
            let Some(state) = self.endpoints.get(id) else {
                continue;
            };
            for (task, execution) in &state.executions {
                // A run that nobody wants any more is an unknown run to the next owner, who stops it too.
                let Some(load) = self.loads.get(&execution.batch) else {
                    continue;
                };
                runs.push(TransferredRun {
                    endpoint: id.clone(),
                    task: *task,
                    run: execution.run,
                    entry: load.entry.name.clone(),
                    serial: load.batch.serial,
                    stopping: execution.phase == Phase::Stopping,
                });
            }
        }
        let mut batches = Vec::new();
        for handle in self.loads_of(rack) {
            let Some(mut load) = self.remove_load(handle) else {
                continue;
            };
            load.batch.moves += 1;
            let message = Message::Moved {
                serial: load.batch.serial,
                to: to.name.clone(),
                moves: load.batch.moves,
            };
            out.tell(&load.entry, message);
            batches.push(load);
        }
        self.racks.remove(&rack);
        self.claims += 1;
        for id in &ids {
            self.forget(id);
        }
        let record = Record::new("rack_handed_over").with("rack", rack.to_string());
        out.log(record.with("to", to.name.as_str()));
        Some(Handover {
            rack,
            token,
            batches: batches.into_iter().map(|load| load.held(now)).collect(),
            runs,
        })
    }

    /// Takes a rack over from its former owner.
    pub fn take_over(
        &mut self,
        handover: Handover,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) {
        self.claim(handover.rack, token, out);
        self.update_endpoints(listings, now, out);
        let mut unwanted = Vec::new();
        for held in handover.batches {
            let numbers = held.next.iter().zip(&held.failures);
            let numbers = numbers.zip(&held.suspicions);
            let progress = numbers.map(|((next, failures), suspicion)| Progress {
                next: *next,
                failures: *failures,
                suspicion: *suspicion,
                ..Progress::default()
            });
            let tasks = held.batch.tasks.iter().copied().zip(progress).collect();
            let key = (held.entry.name.clone(), held.batch.serial);
            if self.given_up.contains(&key) || self.gone.contains(&held.entry.name) {
                unwanted.push(key);
            }
            self.tell_moved(&held, out);
            let handle = self.load(&held.entry, held.batch, tasks, held.started, now);
            if let Some(load) = self.loads.get_mut(&handle) {
                load.done = held.done;
            }
        }
        for run in handover.runs {
            let key = (run.entry, run.serial);
            let Some(handle) = self.by_entry.get(&key).copied() else {
                continue;
            };
            let Some(load) = self.loads.get(&handle) else {
                continue;
            };
            let mut execution =
                Execution::new(handle, run.run, load.batch.need, load.batch.estimate);
            execution.stored = load.batch.stored;
            execution.suspicion = load.suspicion(run.task.index);
            if let Some(state) = self.endpoints.get_mut(&run.endpoint) {
                state.adopt(run.task, execution, now);
                self.busy.insert(run.task, run.endpoint.clone());
            }
            if let Some(rack) = self.racks.get_mut(&handover.rack) {
                rack.queue.remove(Waiting {
                    batch: handle,
                    index: run.task.index,
                });
            }
            if run.stopping {
                // Its endpoint hasn't said that it is gone. Left out, the task would be started elsewhere beside it.
                self.stop(run.task, handle, Fate::Again, out);
            }
        }
        self.drop_unwanted(&unwanted, out);
    }

    /// Tells the entry of a batch that it is here now. If the former owner is gone, and with it what it had to tell, the
    /// entry has taken the batch back: it answers that it doesn't want it, before it places the tasks elsewhere.
    fn tell_moved(&self, held: &HeldBatch, out: &mut Effects) {
        let Some(own) = &self.own else {
            return;
        };
        let message = Message::Moved {
            serial: held.batch.serial,
            to: own.clone(),
            moves: held.batch.moves,
        };
        out.tell(&held.entry, message);
    }

    /// Stops what came with a rack and which nobody waits for: its entry gave it up, or is gone. Its caller comes again
    /// elsewhere, and the task would run twice.
    fn drop_unwanted(&mut self, unwanted: &[Key], out: &mut Effects) {
        for key in unwanted {
            let Some(handle) = self.by_entry.get(key).copied() else {
                continue;
            };
            let Some(load) = self.loads.get(&handle) else {
                continue;
            };
            let record = Record::new("batch_abandoned").job(load.batch.job);
            out.log(record.with("entry", key.0.as_str()));
            // The entry may live, and only have begun a new session with this instance.
            load.send_back(out);
            self.drop_load(handle, out);
        }
    }
}
