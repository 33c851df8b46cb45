//! The ends of jobs: completed, failed, given up or cancelled.

use super::{
    super::{
        id::JobId,
        message::{
            Answer,
            Contact,
            LogRecord,
            Message,
            Output,
            Ticket, //
        },
        owner::Effects, //
    },
    Entry,
    GIVEN_UP,
    RETRY_DELAY_RANGE, //
};
use crate::prelude::*;

impl Entry {
    /// Gives a job up: cancels its batches at their owners and answers its callers.
    ///
    /// A refusal promises that nothing of the job was or will be run, so it waits until all owners have dropped
    /// their batches. If something may have started, the answer doesn't depend on them and is sent at once.
    pub(super) fn give_up(&mut self, id: JobId, reason: &str, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.given_up {
            job.given_up = true;
            let record = LogRecord::new("job_given_up")
                .job(id)
                .with("reason", reason);
            let record = record.with("age_ms", now.since(job.arrived_at));
            out.outputs.push(Output::Log(record));
            let mut serials: Vec<u64> = job.batches.keys().copied().collect();
            serials.sort_unstable();
            self.tell_doubts_of_lost(id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.unplaced.clear();
            }
            for serial in serials {
                self.cancel_batch(id, serial, out);
            }
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (started, failed) = (job.started || self.has_doubts(id), job.failed);
        if failed {
            self.answer(id, Answer::Failed, now, out);
        } else if started {
            self.answer(id, GIVEN_UP, now, out);
        } else if job.batches.is_empty() {
            self.answer(
                id,
                Answer::Refused {
                    again: RETRY_DELAY_RANGE.0,
                },
                now,
                out,
            );
        }
    }

    /// Asks the owner of a batch to drop it.
    pub(super) fn cancel_batch(&mut self, id: JobId, serial: u64, out: &mut Effects) {
        let sent = self.jobs.get(&id).and_then(|job| job.batches.get(&serial));
        if let Some(sent) = sent {
            send_cancel(sent.owner.clone(), serial, out);
        }
    }

    /// Answers the callers of a job and removes it.
    pub(super) fn answer(&mut self, id: JobId, answer: Answer, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for serial in job.batches.keys() {
            self.by_serial.remove(serial);
        }
        self.remember_dropped(id, &job);
        let record = LogRecord::routine("job_answered").job(id);
        let record = record.with("answer", format!("{answer:?}"));
        let record = record.with("age_ms", now.since(job.arrived_at));
        let objective = if now <= job.due_at { "on time" } else { "late" };
        out.outputs
            .push(Output::Log(record.with("objective", objective)));
        for ticket in job.tickets {
            self.by_ticket.remove(&ticket);
            out.outputs.push(Output::Answer(ticket, answer));
        }
    }

    /// Handles a caller that disconnected: gives its job up and removes it once no caller waits for it.
    pub fn on_caller_gone(&mut self, ticket: Ticket, now: Time, out: &mut Effects) {
        let Some(id) = self.by_ticket.remove(&ticket) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tickets.retain(|other| *other != ticket);
        if job.tickets.is_empty() {
            self.give_up(id, "its caller has gone", now, out);
            self.remove(id);
        }
    }

    /// Removes a job without an answer.
    pub(super) fn remove(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            for serial in job.batches.keys() {
                self.by_serial.remove(serial);
            }
            self.remember_dropped(id, &job);
        }
    }

    /// Cancels a job and answers its callers; returns whether it was in progress here.
    pub fn cancel(&mut self, id: JobId, now: Time, out: &mut Effects) -> bool {
        // Stored jobs are cancelled by their shard's coordinator.
        if self.jobs.get(&id).is_none_or(|job| job.stored) {
            return false;
        }
        self.give_up(id, "its caller cancels it", now, out);
        if self.jobs.contains_key(&id) {
            self.answer(id, GIVEN_UP, now, out);
        }
        true
    }

    /// Gives all jobs up and answers their callers, because the process is about to end. Stored jobs stay.
    pub fn give_up_all(&mut self, now: Time, out: &mut Effects) {
        let awaited = self.jobs.iter().filter(|(_, job)| !job.stored);
        let ids: Vec<JobId> = awaited.map(|(id, _)| *id).collect();
        for id in ids {
            self.give_up(id, "its instance ends", now, out);
            self.answer(id, GIVEN_UP, now, out);
        }
    }
}

/// Asks an owner to drop a batch.
pub(super) fn send_cancel(owner: Instance, serial: u64, out: &mut Effects) {
    send(owner, Message::Cancel(serial), out);
}

/// Asks an owner to drop tasks of a batch.
pub(super) fn send_withdrawal(owner: Instance, serial: u64, tasks: Vec<u32>, out: &mut Effects) {
    send(owner, Message::Withdraw { serial, tasks }, out);
}

fn send(owner: Instance, message: Message, out: &mut Effects) {
    let contact = Contact {
        name: owner,
        address: String::new(),
    };
    out.messages.push((contact, message));
}
