//! Batches that owners have: what they tell of them, and what becomes of those that are lost.

use std::collections::BTreeSet;

use super::{
    super::{
        id::JobId,
        message::{
            Cause,
            Outcome,
            Output,
            Record, //
        },
        owner::Effects, //
    },
    ending::cancel_at,
    Entry,
    Loose,
    Sent,
    AUDIT,
    DOUBT,
    ELSEWHERE, //
};
use crate::prelude::*;

impl Entry {
    /// Takes note of how a batch ended; returns its job if that is stored and has failed by this.
    pub fn report(
        &mut self,
        serial: u64,
        outcome: Outcome,
        done: Vec<u32>,
        started: bool,
        now: Time,
        out: &mut Effects,
    ) -> Option<JobId> {
        let id = self.by_serial.remove(&serial)?;
        let job = self.jobs.get_mut(&id)?;
        let sent = job.batches.remove(&serial)?;
        let stored = job.stored;
        job.started |= started || outcome == Outcome::Done;
        match outcome {
            Outcome::Done => {
                let step = &mut job.steps[sent.step as usize];
                for task in &done {
                    step.left.remove(task);
                }
                let tasks: Vec<u32> = sent
                    .tasks
                    .into_iter()
                    .filter(|t| !done.contains(t))
                    .collect();
                if !tasks.is_empty() {
                    // They were sent back, and the message got lost.
                    let record = Record::new("batch_incomplete").job(id);
                    let record = record.with("batch", serial);
                    out.outputs
                        .push(Output::Log(record.with("missing", tasks.len())));
                    let at = now + ELSEWHERE;
                    job.loose.push(Loose {
                        step: sent.step,
                        tasks,
                        at,
                        hint: None,
                    });
                }
                match job.ending {
                    true => self.end(id, "given up", now, out),
                    false => self.advance(id, now, out),
                }
            }
            Outcome::Failed | Outcome::Crashed => {
                job.started = true;
                job.failed = true;
                let why = match outcome {
                    Outcome::Crashed => "endpoints crash under a task",
                    _ => "a task failed too often",
                };
                self.end(id, why, now, out);
                return stored.then_some(id);
            }
            Outcome::Hopeless => self.end(id, "its time can't be met", now, out),
            Outcome::Dropped => self.end(id, "given up", now, out),
        }
        None
    }

    /// Takes tasks back that their owner doesn't run.
    pub fn returned(
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
        let record = Record::routine("tasks_returned").job(id);
        let record = record.with("batch", serial).with("tasks", tasks.len());
        let record = record.with("reason", cause.to_string());
        let begun = if started {
            "some had started"
        } else {
            "none had started"
        };
        out.outputs
            .push(Output::Log(record.with("of_batch", begun)));
        job.started |= started;
        // Only what the batch still has: a task must not be placed twice.
        let (tasks, kept): (Vec<u32>, Vec<u32>) =
            sent.tasks.iter().partition(|task| tasks.contains(task));
        sent.tasks = kept;
        if tasks.is_empty() {
            return;
        }
        let step = sent.step;
        if sent.tasks.is_empty() {
            job.batches.remove(&serial);
            self.by_serial.remove(&serial);
        }
        if job.ending {
            // Its owner has nothing left to say of it, and the caller's answer may have waited for just that.
            return self.end(id, "given up", now, out);
        }
        // On a rack that was lost, runs may be left that its next owner stops. What isn't known here yet, its loss or that
        // it can't run them, would send the tasks back at once, over and over.
        let (at, hint) = match (cause, started) {
            (Cause::Lost, true) => (now + DOUBT, None),
            (Cause::Lost, false) | (Cause::Unfit, _) => (now + ELSEWHERE, None),
            (Cause::Room(rack), _) => (now, Some(rack)),
        };
        job.loose.push(Loose {
            step,
            tasks,
            at,
            hint,
        });
    }

    /// Takes note that a batch has another owner, which may not have heard that it was given up.
    ///
    /// What an earlier owner tells may come last: it must not hide the present one.
    pub fn moved(&mut self, serial: u64, to: Instance, moves: u32, now: Time, out: &mut Effects) {
        let id = self.by_serial.get(&serial).copied();
        let job = id.and_then(|id| self.jobs.get_mut(&id));
        let known = job.and_then(|job| {
            let sent = job.batches.get_mut(&serial)?;
            Some((sent, job.ending))
        });
        let (Some(id), Some((sent, ending))) = (id, known) else {
            return cancel_at(to, serial, out);
        };
        if moves <= sent.moves {
            return;
        }
        let record = Record::routine("batch_moved").job(id);
        let record = record.with("batch", serial);
        out.outputs
            .push(Output::Log(record.with("owner", to.as_str())));
        sent.owner = to.clone();
        sent.at = now;
        sent.moves = moves;
        if ending {
            cancel_at(to, serial, out);
        }
    }

    /// Takes the batches back that an instance lost with its life or with the session.
    pub fn lost(&mut self, owner: &Instance, now: Time, out: &mut Effects) {
        self.take_back(|_, sent| sent.owner == *owner, now + DOUBT, now, out);
    }

    /// Takes batches back that their owner doesn't know. A rack may still be on its way to it, so that only what has been out
    /// for long is taken for lost; what was given up isn't run again and is taken back at once.
    pub fn unknown(&mut self, from: &Instance, serials: &[u64], now: Time, out: &mut Effects) {
        let ending: BTreeSet<u64> = serials
            .iter()
            .copied()
            .filter(|serial| {
                let job = self.by_serial.get(serial);
                let job = job.and_then(|id| self.jobs.get(id));
                job.is_some_and(|job| job.ending)
            })
            .collect();
        let unknown = |serial: u64, sent: &Sent| {
            let long = now.since(sent.at) > AUDIT || ending.contains(&serial);
            sent.owner == *from && long && serials.contains(&serial)
        };
        self.take_back(unknown, now + DOUBT, now, out);
    }

    /// Takes all batches back, after this process stood still.
    pub fn void(&mut self, now: Time, out: &mut Effects) {
        self.take_back(|_, _| true, now + DOUBT, now, out);
    }

    fn take_back(
        &mut self,
        which: impl Fn(u64, &Sent) -> bool,
        at: Time,
        now: Time,
        out: &mut Effects,
    ) {
        let mut touched = Vec::new();
        for (id, job) in &mut self.jobs {
            let lost: Vec<u64> = job
                .batches
                .iter()
                .filter(|(serial, sent)| which(**serial, sent))
                .map(|(serial, _)| *serial)
                .collect();
            for serial in lost {
                self.by_serial.remove(&serial);
                let Some(sent) = job.batches.remove(&serial) else {
                    continue;
                };
                let record = Record::new("batch_lost").job(*id).with("batch", serial);
                let record = record.with("owner", sent.owner.as_str());
                out.outputs.push(Output::Log(record));
                job.started = true;
                job.loose.push(Loose {
                    step: sent.step,
                    tasks: sent.tasks,
                    at: at.max(now),
                    hint: None,
                });
                touched.push(*id);
            }
        }
        touched.dedup();
        for id in touched {
            let ending = self.jobs.get(&id).is_some_and(|job| job.ending);
            if ending {
                self.end(id, "given up", now, out);
            }
        }
    }
}
