//! Messages from owners about the entry's batches, and the recovery of lost batches.

use std::collections::BTreeSet;

use super::{
    super::{
        id::JobId,
        message::{
            Cause,
            LogRecord,
            Outcome,
            Output, //
        },
        owner::Effects, //
    },
    ending::{
        send_cancel,
        send_withdrawal, //
    },
    Entry,
    SentBatch,
    UnplacedTasks,
    BATCH_AUDIT_AGE,
    LOST_BATCH_DELAY,
    NEXT_OWNER_TIMEOUT,
    RETURNED_TASK_DELAY, //
};
use crate::prelude::*;

impl Entry {
    /// Handles the end of a batch. Returns its job if that is stored and has thereby failed.
    pub fn on_batch_ended(
        &mut self,
        serial: u64,
        outcome: Outcome,
        done: Vec<u32>,
        started: bool,
        now: Time,
        out: &mut Effects,
    ) -> Option<JobId> {
        self.on_batch_dropped(serial);
        let id = self.by_serial.remove(&serial)?;
        let job = self.jobs.get_mut(&id)?;
        let sent = job.batches.remove(&serial)?;
        let stored = job.stored;
        job.started |= started || outcome == Outcome::Done;
        match outcome {
            Outcome::Done => {
                let step = &mut job.steps[sent.step as usize];
                for task in &done {
                    step.remaining.remove(task);
                }
                let tasks: Vec<u32> = sent
                    .tasks
                    .into_iter()
                    .filter(|t| !done.contains(t))
                    .collect();
                if !tasks.is_empty() {
                    // The owner returned these tasks, and the message was lost.
                    let record = LogRecord::new("batch_incomplete").job(id);
                    let record = record.with("batch", serial);
                    out.outputs
                        .push(Output::Log(record.with("missing", tasks.len())));
                    let not_before = now + RETURNED_TASK_DELAY;
                    job.unplaced.push(UnplacedTasks {
                        step: sent.step,
                        tasks,
                        not_before,
                        preferred_rack: None,
                        lost_on: None,
                    });
                }
                match job.given_up {
                    true => self.give_up(id, "given up", now, out),
                    false => self.advance(id, now, out),
                }
            }
            Outcome::Failed | Outcome::Crashed => {
                job.started = true;
                job.failed = true;
                let reason = match outcome {
                    Outcome::Crashed => "endpoints crash under a task",
                    _ => "a task failed too often",
                };
                self.give_up(id, reason, now, out);
                return stored.then_some(id);
            }
            // Another batch of the job has started, and there is still time: its work isn't lost.
            Outcome::Hopeless if job.started && !started && !job.given_up => {
                job.unplaced.push(UnplacedTasks {
                    step: sent.step,
                    tasks: sent.tasks,
                    not_before: now + RETURNED_TASK_DELAY,
                    preferred_rack: None,
                    lost_on: None,
                });
            }
            Outcome::Hopeless => self.give_up(id, "its time can't be met", now, out),
            Outcome::Dropped => self.give_up(id, "given up", now, out),
        }
        None
    }

    /// Handles tasks that an owner returned without running them: places them again.
    pub fn on_tasks_returned(
        &mut self,
        serial: u64,
        tasks: Vec<u32>,
        started: bool,
        cause: Cause,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(id) = self.by_serial.get(&serial).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(sent) = job.batches.get_mut(&serial) else {
            return;
        };
        let record = LogRecord::routine("tasks_returned").job(id);
        let record = record.with("batch", serial).with("tasks", tasks.len());
        let record = record.with("reason", cause.to_string());
        let of_batch = if started {
            "some had started"
        } else {
            "none had started"
        };
        out.outputs
            .push(Output::Log(record.with("of_batch", of_batch)));
        job.started |= started;
        // Takes back only tasks that the batch still has: a repeated message must not place a task twice.
        let (tasks, kept): (Vec<u32>, Vec<u32>) =
            sent.tasks.iter().partition(|task| tasks.contains(task));
        sent.tasks = kept;
        if tasks.is_empty() {
            return;
        }
        let (step, rack) = (sent.step, sent.rack);
        if sent.tasks.is_empty() {
            job.batches.remove(&serial);
            self.by_serial.remove(&serial);
        }
        if job.given_up {
            // The answer to the caller may have waited only for this batch.
            return self.give_up(id, "given up", now, out);
        }
        // A rack that changed its owner may still have runs, until the next owner stops them. In the other cases
        // the delay lets the owner's next heartbeat arrive, or the tasks could go to the same owner over and over.
        let (not_before, preferred_rack, lost_on) = match (cause, started) {
            (Cause::Lost, true) => {
                let until = now + LOST_BATCH_DELAY + NEXT_OWNER_TIMEOUT;
                (now + LOST_BATCH_DELAY, None, Some((rack, until)))
            }
            (Cause::Lost, false) | (Cause::Unfit, _) => (now + RETURNED_TASK_DELAY, None, None),
            (Cause::Room(rack), _) => (now, Some(rack), None),
        };
        job.unplaced.push(UnplacedTasks {
            step,
            tasks,
            not_before,
            preferred_rack,
            lost_on,
        });
    }

    /// Records the new owner of a batch. Cancels the batch there if its job was given up or has ended, and withdraws its tasks that are
    /// done, since the new owner may not have heard that.
    ///
    /// Messages of former owners may arrive out of order: the move with the highest count wins. Each move is announced by both owners.
    /// What is withdrawn when the former one announces it may overtake the rack, but not when the new one does, which has it by then.
    pub fn on_batch_moved(
        &mut self,
        serial: u64,
        to: Instance,
        moves: u32,
        now: Time,
        out: &mut Effects,
    ) {
        let id = self.by_serial.get(&serial).copied();
        let job = id.and_then(|id| self.jobs.get_mut(&id));
        let batch = job.and_then(|job| {
            let sent = job.batches.get_mut(&serial)?;
            Some((sent, job.given_up))
        });
        let (Some(id), Some((sent, given_up))) = (id, batch) else {
            self.on_dropped_batch_moved(serial, &to);
            return send_cancel(to, serial, out);
        };
        if moves < sent.moves {
            return;
        }
        if !sent.withdrawn.is_empty() {
            send_withdrawal(to.clone(), serial, sent.withdrawn.clone(), out);
        }
        if moves == sent.moves {
            return;
        }
        let record = LogRecord::routine("batch_moved").job(id);
        let record = record.with("batch", serial);
        out.outputs
            .push(Output::Log(record.with("owner", to.as_str())));
        sent.owner = to.clone();
        sent.sent_at = now;
        sent.moves = moves;
        if given_up {
            send_cancel(to, serial, out);
        }
    }

    /// Takes back the batches of an owner that died or began a new session.
    pub fn on_owner_lost(&mut self, owner: &Instance, now: Time, out: &mut Effects) {
        self.take_back(
            |_, sent| sent.owner == *owner,
            now + LOST_BATCH_DELAY,
            now,
            out,
        );
    }

    /// Takes back batches that their owner doesn't hold.
    ///
    /// A handover to that owner may still be on its way, so only batches that have been outstanding for long count
    /// as lost. Those of given-up jobs aren't run again and are taken back at once.
    pub fn on_unknown_batches(
        &mut self,
        from: &Instance,
        serials: &[u64],
        now: Time,
        out: &mut Effects,
    ) {
        self.on_dropped_batches_unknown(from, serials);
        let given_up: BTreeSet<u64> = serials
            .iter()
            .copied()
            .filter(|serial| {
                let job = self.by_serial.get(serial);
                let job = job.and_then(|id| self.jobs.get(id));
                job.is_some_and(|job| job.given_up)
            })
            .collect();
        let unknown = |serial: u64, sent: &SentBatch| {
            let lost = now.since(sent.sent_at) > BATCH_AUDIT_AGE || given_up.contains(&serial);
            sent.owner == *from && lost && serials.contains(&serial)
        };
        self.take_back(unknown, now + LOST_BATCH_DELAY, now, out);
    }

    /// Takes back all batches, after this process was paused for long.
    pub fn take_back_all(&mut self, now: Time, out: &mut Effects) {
        self.take_back(|_, _| true, now + LOST_BATCH_DELAY, now, out);
    }

    /// Takes back the batches that `is_lost` selects: their tasks are placed again from `not_before` on.
    fn take_back(
        &mut self,
        is_lost: impl Fn(u64, &SentBatch) -> bool,
        not_before: Time,
        now: Time,
        out: &mut Effects,
    ) {
        let mut affected = Vec::new();
        for (id, job) in &mut self.jobs {
            let lost: Vec<u64> = job
                .batches
                .iter()
                .filter(|(serial, sent)| is_lost(**serial, sent))
                .map(|(serial, _)| *serial)
                .collect();
            for serial in lost {
                self.by_serial.remove(&serial);
                let Some(sent) = job.batches.remove(&serial) else {
                    continue;
                };
                let record = LogRecord::new("batch_lost").job(*id).with("batch", serial);
                let record = record.with("owner", sent.owner.as_str());
                out.outputs.push(Output::Log(record));
                job.started = true;
                job.unplaced.push(UnplacedTasks {
                    step: sent.step,
                    tasks: sent.tasks,
                    not_before: not_before.max(now),
                    preferred_rack: None,
                    lost_on: Some((sent.rack, not_before.max(now) + NEXT_OWNER_TIMEOUT)),
                });
                affected.push(*id);
            }
        }
        affected.dedup();
        for id in affected {
            let given_up = self.jobs.get(&id).is_some_and(|job| job.given_up);
            if given_up {
                self.give_up(id, "given up", now, out);
            }
        }
    }
}
