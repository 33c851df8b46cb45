//! Handover of racks between owners, with their queued and running tasks.

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
            LogRecord,
            Message,
            TransferredRun, //
        },
        queue::Waiting, //
    },
    cancelled::Key,
    Effects,
    Owner,
    TaskState, //
};
use crate::prelude::*;

impl Owner {
    /// Removes a rack and returns it for its next owner, with its queued and running tasks. Returns `None` if the
    /// rack isn't owned here.
    pub fn hand_over(
        &mut self,
        rack: RackId,
        to: &Contact,
        now: Time,
        out: &mut Effects,
    ) -> Option<Handover> {
        let state = self.racks.get(&rack)?;
        let (token, ids) = (state.token, state.endpoints.clone());
        let tokens = ids.iter().filter_map(|id| self.endpoints.get(id));
        let token = tokens.map(|state| state.token).fold(token, Token::max);
        let mut runs = Vec::new();
        for id in &ids {
            let Some(state) = self.endpoints.get(id) else {
                continue;
            };
            for (task, execution) in &state.executions {
                // The next owner finds an unwanted run by polling, and stops it as unknown.
                let Some(assignment) = self.assignments.get(&execution.batch) else {
                    continue;
                };
                runs.push(TransferredRun {
                    endpoint: id.clone(),
                    task: *task,
                    run: execution.run,
                    entry: assignment.entry.name.clone(),
                    serial: assignment.batch.serial,
                    stopping: execution.phase == Phase::Stopping,
                });
            }
        }
        let doubts = self.doubts_of_rack(rack, &ids, now);
        if !doubts.is_empty() {
            // It arrives before the rack.
            out.send(to, Message::Doubts(doubts));
        }
        let mut batches = Vec::new();
        for handle in self.assignments_of(rack) {
            let Some(mut assignment) = self.remove_assignment(handle) else {
                continue;
            };
            assignment.batch.moves += 1;
            let message = Message::Moved {
                serial: assignment.batch.serial,
                to: to.name.clone(),
                moves: assignment.batch.moves,
            };
            out.send(&assignment.entry, message);
            batches.push(assignment);
        }
        self.racks.remove(&rack);
        self.rack_changes += 1;
        for id in &ids {
            self.remove_endpoint_state(id);
        }
        let record = LogRecord::new("rack_handed_over").with("rack", rack.to_string());
        let record = record.with("to", to.name.as_str());
        let record = record.with("token", token.0);
        let record = record.with("batches", batches.len());
        out.log(record.with("runs", runs.len()));
        Some(Handover {
            rack,
            token,
            batches: batches
                .into_iter()
                .map(|assignment| assignment.into_held(now))
                .collect(),
            runs,
        })
    }

    /// Takes over a rack from its former owner.
    pub fn take_over(
        &mut self,
        handover: Handover,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) {
        let former_token = handover.token;
        let record = LogRecord::new("rack_taken_over").with("rack", handover.rack.to_string());
        let record = record.with("token", token.0);
        let record = record.with("former_token", former_token.0);
        let record = record.with("batches", handover.batches.len());
        out.log(record.with("runs", handover.runs.len()));
        self.claim(handover.rack, token, out);
        self.update_endpoints(listings, now, out);
        let (mut unwanted, mut handles) = (Vec::new(), Vec::new());
        for held in handover.batches {
            let numbers = held.next.iter().zip(&held.failures);
            let numbers = numbers.zip(&held.suspicions);
            let states = numbers.map(|((next, failures), suspicion)| TaskState {
                next: *next,
                failures: *failures,
                suspicion: *suspicion,
                ..TaskState::default()
            });
            let tasks = held.batch.tasks.iter().copied().zip(states).collect();
            let key = (held.entry.name.clone(), held.batch.serial);
            if self.cancelled.contains(&key) || self.lost_entries.contains(&held.entry.name) {
                unwanted.push(key);
            }
            self.announce_moved(&held, out);
            let handle = self.add_assignment(&held.entry, held.batch, tasks, held.started, now);
            handles.push(handle);
            let own = self.own.as_ref();
            if let Some(assignment) = self.assignments.get_mut(&handle) {
                assignment.done = held.done;
                if own != Some(&assignment.entry.name) {
                    assignment.await_announcement();
                    self.unconfirmed.push(handle);
                }
            }
        }
        for run in handover.runs {
            let key = (run.entry, run.serial);
            let Some(handle) = self.by_entry.get(&key).copied() else {
                continue;
            };
            let Some(assignment) = self.assignments.get(&handle) else {
                continue;
            };
            let mut execution = Execution::new(
                handle,
                run.run,
                assignment.batch.need,
                assignment.batch.estimate,
            );
            execution.stored = assignment.batch.stored;
            execution.suspicion = assignment.suspicion(run.task.index);
            // An earlier copy of its start may be carried out though the endpoint lists the run.
            execution.duplicate_possible = self.is_start_in_doubt(&run.task, &run.endpoint);
            let Some(state) = self.endpoints.get_mut(&run.endpoint) else {
                // The endpoint has left the list, and may still run the task.
                self.doubt_unlisted(run.task, handover.rack, run.endpoint, now);
                continue;
            };
            state.adopt(run.task, execution, former_token);
            self.run_locations.insert(run.task, run.endpoint.clone());
            if let Some(rack) = self.racks.get_mut(&handover.rack) {
                rack.queue.remove(Waiting {
                    batch: handle,
                    index: run.task.index,
                });
            }
            if run.stopping {
                // The stop isn't confirmed. Without the run, the task would start elsewhere beside it.
                self.stop_run(run.task, handle, Fate::Restart, out);
            }
        }
        self.drop_unwanted(&unwanted, out);
        for handle in handles {
            self.withdraw_unstored(handle, out);
        }
    }

    /// Tells a batch's entry that the batch is here. If the former owner has died and the entry has already taken
    /// the batch back, the entry cancels it here before it places the tasks elsewhere.
    fn announce_moved(&self, held: &HeldBatch, out: &mut Effects) {
        let Some(own) = &self.own else {
            return;
        };
        let message = Message::Moved {
            serial: held.batch.serial,
            to: own.clone(),
            moves: held.batch.moves,
        };
        out.send(&held.entry, message);
    }

    /// Drops batches whose entry cancelled them or is lost. Callers submit such jobs elsewhere, and their tasks
    /// would run twice.
    fn drop_unwanted(&mut self, unwanted: &[Key], out: &mut Effects) {
        for key in unwanted {
            let Some(handle) = self.by_entry.get(key).copied() else {
                continue;
            };
            let Some(assignment) = self.assignments.get(&handle) else {
                continue;
            };
            let record = LogRecord::new("batch_abandoned").job(assignment.batch.job);
            let record = record.with("entry", key.0.as_str());
            out.log(record.with("unanswered", self.count_unanswered_starts(handle)));
            // The entry may be alive and have only begun a new session with this instance.
            assignment.return_to_entry(out);
            self.drop_assignment(handle, out);
        }
    }
}
