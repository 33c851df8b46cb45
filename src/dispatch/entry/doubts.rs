//! Tasks with a start in doubt: they go to the rack of the start, whose owner finds out what becomes of it.

use std::collections::BTreeMap;

use super::{
    super::{
        doubt::Doubt,
        endpoint::MAX_CALL_DELAY,
        id::{
            JobId,
            RackId,
            TaskId, //
        },
        message::{
            self,
            LogRecord, //
        },
        owner::Effects, //
    },
    DroppedBatch,
    Entry,
    Job,
    UnplacedTasks,
    NEXT_OWNER_TIMEOUT,
    RETURNED_TASK_DELAY, //
};
use crate::prelude::*;

impl Entry {
    /// Records the starts in doubt that another instance tells of.
    pub fn learn_doubts(&mut self, told: &[message::Doubt], now: Time) {
        self.doubts.learn(told, now);
    }

    /// Returns the starts in doubt that other instances are to be told of.
    pub fn take_untold_doubts(&mut self) -> Vec<message::Doubt> {
        std::mem::take(&mut self.untold_doubts)
    }

    /// Forgets starts that can't be on their way any more, and dropped batches of which no start can be.
    pub(super) fn expire_doubts(&mut self, now: Time) {
        self.doubts.expire(now);
        self.dropped
            .retain(|_, batch| now.since(batch.dropped_at) <= MAX_CALL_DELAY);
    }

    /// Splits tasks of a step into those without a start in doubt and those with one, by the rack of the latest.
    pub(super) fn split_by_doubt(
        &self,
        job: JobId,
        step: u32,
        tasks: Vec<u32>,
        now: Time,
    ) -> (Vec<u32>, BTreeMap<RackId, Vec<u32>>) {
        let mut in_doubt: BTreeMap<RackId, Vec<u32>> = BTreeMap::new();
        if self.doubts.is_empty() {
            return (tasks, in_doubt);
        }
        let rack_of = |index: u32| {
            let doubt = self.doubts.latest(&TaskId { job, step, index })?;
            self.is_awaited(doubt.rack, job, step, doubt.since, now)
                .then_some(doubt.rack)
        };
        let mut others = Vec::new();
        for index in tasks {
            match rack_of(index) {
                Some(rack) => in_doubt.entry(rack).or_default().push(index),
                None => others.push(index),
            }
        }
        (others, in_doubt)
    }

    /// Returns whether tasks with a start in doubt since a time go to the rack of the start: it can run them, and has an owner or is
    /// about to get one. Elsewhere they wait until the start can't be on its way any more.
    fn is_awaited(&self, rack: RackId, job: JobId, step: u32, since: Time, now: Time) -> bool {
        let (Some(rack), Some(job)) = (self.racks.get(&rack), self.jobs.get(&job)) else {
            return false;
        };
        let step = &job.submission.steps[step as usize];
        let may_get_owner = now.since(since) <= NEXT_OWNER_TIMEOUT;
        rack.service == job.service && rack.can_run(step) && (rack.owner.is_some() || may_get_owner)
    }

    /// Gives tasks to the rack to which a start of them in doubt was sent, once it has an owner.
    pub(super) fn place_in_doubt(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        (rack, is_split): (RackId, bool),
        now: Time,
        out: &mut Effects,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if self.racks.get(&rack).is_none_or(|r| r.owner.is_none()) {
            return job.unplaced.push(UnplacedTasks {
                step,
                tasks,
                not_before: now + RETURNED_TASK_DELAY,
                preferred_rack: None,
                lost_on: None,
            });
        }
        let record = LogRecord::new("tasks_in_doubt_placed").job(id);
        let record = record.with("rack", rack.to_string());
        out.log(record.with("tasks", tasks.len()));
        self.send_batch(id, step, tasks, (rack, is_split), 0, now, out);
    }

    /// Returns the starts in doubt of tasks, for the owner that they are sent to.
    pub(super) fn doubts_of_tasks(
        &self,
        job: JobId,
        step: u32,
        tasks: &[u32],
        now: Time,
    ) -> Vec<message::Doubt> {
        if self.doubts.is_empty() {
            return Vec::new();
        }
        let tasks = tasks.iter().map(|index| TaskId {
            job,
            step,
            index: *index,
        });
        let doubts = tasks.flat_map(|task| self.doubts.to_tell_of(&task, now));
        doubts.collect()
    }

    /// Returns whether a start of a task of a job is in doubt.
    pub(super) fn has_doubts(&self, job: JobId) -> bool {
        self.doubts.has_job(job)
    }

    /// Records that starts of tasks may have been sent to any endpoint of a rack by its owner, which was lost at a time.
    pub(super) fn doubt_starts_on(
        &mut self,
        rack: RackId,
        job: JobId,
        step: u32,
        tasks: &[u32],
        lost_at: Time,
    ) {
        for index in tasks {
            let doubt = Doubt {
                rack,
                endpoint: None,
                since: lost_at,
                restarted: false,
            };
            let index = *index;
            self.doubts.insert(TaskId { job, step, index }, doubt);
        }
    }

    /// Marks the tasks of a job that wait for the next owner of their rack as in doubt there, since the job is given up: no owner tells
    /// of their starts.
    pub(super) fn tell_doubts_of_lost(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for unplaced in &job.unplaced {
            let Some((rack, _)) = unplaced.lost_on else {
                continue;
            };
            let tasks = unplaced.tasks.iter().map(|index| TaskId {
                job: id,
                step: unplaced.step,
                index: *index,
            });
            self.untold_doubts
                .extend(tasks.map(|task| doubt_anywhere_on(rack, task)));
        }
    }

    /// Keeps in mind the batches of a job that is removed before their owners have dropped them.
    pub(super) fn remember_dropped(&mut self, id: JobId, job: &Job) {
        for (serial, sent) in &job.batches {
            let tasks = sent.tasks.iter().map(|index| TaskId {
                job: id,
                step: sent.step,
                index: *index,
            });
            let batch = DroppedBatch {
                owner: sent.owner.clone(),
                rack: sent.rack,
                tasks: tasks.collect(),
                dropped_at: self.now,
            };
            self.dropped.insert(*serial, batch);
        }
    }

    /// Records that an owner has dropped a batch, and tells of its starts in doubt itself.
    pub(super) fn on_batch_dropped(&mut self, serial: u64) {
        self.dropped.remove(&serial);
    }

    /// Records the new owner of a dropped batch.
    pub(super) fn on_dropped_batch_moved(&mut self, serial: u64, to: &Instance) {
        if let Some(batch) = self.dropped.get_mut(&serial) {
            batch.owner = to.clone();
        }
    }

    /// Records that an owner doesn't hold batches. One that arrives there later with its rack is dropped.
    pub(super) fn on_dropped_batches_unknown(&mut self, from: &Instance, serials: &[u64]) {
        let is_unknown =
            |serial: &u64, batch: &DroppedBatch| serials.contains(serial) && batch.owner == *from;
        self.dropped
            .retain(|serial, batch| !is_unknown(serial, batch));
    }

    /// Marks the tasks of dropped batches as in doubt on their racks if their owner dies or is cut off before it has dropped them. One that
    /// only begins a new session tells of them itself.
    pub fn tell_doubts_of_dropped(&mut self, owner: &Instance) {
        let lost = |batch: &DroppedBatch| batch.owner == *owner;
        let batches = self.dropped.values().filter(|batch| lost(batch));
        let doubts = batches.flat_map(|batch| {
            let tasks = batch.tasks.iter();
            tasks.map(|task| doubt_anywhere_on(batch.rack, *task))
        });
        self.untold_doubts.extend(doubts);
        self.dropped.retain(|_, batch| !lost(batch));
    }
}

/// Returns a doubt about a task whose owner is lost, and of which a start may have been sent to any endpoint of the rack.
fn doubt_anywhere_on(rack: RackId, task: TaskId) -> message::Doubt {
    message::Doubt {
        task,
        rack,
        endpoint: None,
        age: Span(0),
        restarted: false,
    }
}
