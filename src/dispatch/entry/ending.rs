//! Jobs that end: with all of their tasks, or given up.

use super::{
    super::{
        id::JobId,
        message::{
            Answer,
            Contact,
            Message,
            Output,
            Record,
            Ticket, //
        },
        owner::Effects, //
    },
    Entry,
    AGAIN,
    GIVEN_UP, //
};
use crate::prelude::*;

impl Entry {
    /// Gives a job up: its owners drop what they have, then its callers are answered.
    ///
    /// "Not run" is only said when no start has left and none can any more, so the answer waits for the owners'
    /// word. Where something has started the answer is the same whatever they say, and leaves at once.
    pub(super) fn end(&mut self, id: JobId, why: &str, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.ending {
            job.ending = true;
            job.loose.clear();
            let record = Record::new("job_given_up").job(id).with("reason", why);
            let record = record.with("age_ms", now.since(job.arrived));
            out.outputs.push(Output::Log(record));
            let mut serials: Vec<u64> = job.batches.keys().copied().collect();
            serials.sort_unstable();
            for serial in serials {
                self.cancel_batch(id, serial, out);
            }
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (started, failed) = (job.started, job.failed);
        if failed {
            self.answer(id, Answer::Failed, now, out);
        } else if started {
            self.answer(id, GIVEN_UP, now, out);
        } else if job.batches.is_empty() {
            self.answer(id, Answer::Refused { again: AGAIN.0 }, now, out);
        }
    }

    pub(super) fn cancel_batch(&mut self, id: JobId, serial: u64, out: &mut Effects) {
        let sent = self.jobs.get(&id).and_then(|job| job.batches.get(&serial));
        if let Some(sent) = sent {
            cancel_at(sent.owner.clone(), serial, out);
        }
    }

    pub(super) fn answer(&mut self, id: JobId, answer: Answer, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for serial in job.batches.keys() {
            self.by_serial.remove(serial);
        }
        let record = Record::routine("job_answered").job(id);
        let record = record.with("answer", format!("{answer:?}"));
        let record = record.with("age_ms", now.since(job.arrived));
        let on_time = if now <= job.due { "on time" } else { "late" };
        out.outputs
            .push(Output::Log(record.with("objective", on_time)));
        for ticket in job.tickets {
            self.by_ticket.remove(&ticket);
            out.outputs.push(Output::Answer(ticket, answer));
        }
    }

    /// Drops a job whose callers have all gone.
    pub fn abandon(&mut self, ticket: Ticket, now: Time, out: &mut Effects) {
        let Some(id) = self.by_ticket.remove(&ticket) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tickets.retain(|known| *known != ticket);
        if job.tickets.is_empty() {
            self.end(id, "its caller has gone", now, out);
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            for serial in job.batches.keys() {
                self.by_serial.remove(serial);
            }
        }
    }

    /// Cancels a job; returns whether it was in progress here.
    pub fn cancel(&mut self, id: JobId, now: Time, out: &mut Effects) -> bool {
        // A stored one is cancelled at its shard.
        if self.jobs.get(&id).is_none_or(|job| job.stored) {
            return false;
        }
        self.end(id, "its caller cancels it", now, out);
        if self.jobs.contains_key(&id) {
            self.answer(id, GIVEN_UP, now, out);
        }
        true
    }

    /// Gives all jobs up and answers their callers, when the process can't wait for their ends any longer.
    pub fn close(&mut self, now: Time, out: &mut Effects) {
        let waited = self.jobs.iter().filter(|(_, job)| !job.stored);
        let ids: Vec<JobId> = waited.map(|(id, _)| *id).collect();
        for id in ids {
            self.end(id, "its instance ends", now, out);
            self.answer(id, GIVEN_UP, now, out);
        }
    }
}

/// Asks an owner to drop a batch.
pub(super) fn cancel_at(owner: Instance, serial: u64, out: &mut Effects) {
    let contact = Contact {
        name: owner,
        address: String::new(),
    };
    out.messages.push((contact, Message::Cancel(serial)));
}
