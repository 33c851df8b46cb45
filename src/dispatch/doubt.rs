//! Starts in doubt: the task was given up, and a start of it may still be carried out.
//!
//! Whoever places or starts a task next must know of them, whichever way the task takes: to the next owner of its rack, back to its entry,
//! or through another entry to which its caller submits the job again. So they are kept by task and not by batch, outlive the batch, and go
//! along with the task: with a rack to its next owner, with a batch to its owner, and to all instances when a batch is dropped.

use std::collections::BTreeMap;

use super::{
    endpoint::MAX_CALL_DELAY,
    id::{
        JobId,
        RackId,
        TaskId, //
    },
    message, //
};
use crate::prelude::*;

/// A start in doubt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubt {
    /// The rack of the endpoint that it was sent to.
    pub rack: RackId,
    /// The endpoint, or `None` if it may be any endpoint of the rack.
    pub endpoint: Option<Endpoint>,
    /// When its task was given up.
    pub since: Time,
    /// Whether the endpoint has restarted after the start was sent.
    pub restarted: bool,
}

impl Doubt {
    /// Returns whether an endpoint is the best place for the task's next run: if it restarts once more, that run ends with it, and the
    /// start that is on its way can't begin beside it.
    pub fn prefers(&self, id: &Endpoint) -> bool {
        self.restarted && self.endpoint.as_ref() == Some(id)
    }

    fn to_tell(&self, task: TaskId, now: Time) -> message::Doubt {
        message::Doubt {
            task,
            rack: self.rack,
            endpoint: self.endpoint.clone(),
            age: now.since(self.since),
            restarted: self.restarted,
        }
    }

    fn is_at_same_place(&self, other: &Self) -> bool {
        self.rack == other.rack && self.endpoint == other.endpoint
    }
}

/// Starts in doubt by task, for [`MAX_CALL_DELAY`].
#[derive(Debug, Default)]
pub struct Doubts {
    by_task: BTreeMap<TaskId, Vec<Doubt>>,
    /// When the oldest one is forgotten.
    next_expiry: Option<Time>,
}

impl Doubts {
    /// Adds a start in doubt. One at the same place is replaced by the later one.
    pub fn insert(&mut self, task: TaskId, doubt: Doubt) {
        let expiry = doubt.since + MAX_CALL_DELAY;
        self.next_expiry = Some(self.next_expiry.map_or(expiry, |at| at.min(expiry)));
        let doubts = self.by_task.entry(task).or_default();
        match doubts
            .iter_mut()
            .find(|known| known.is_at_same_place(&doubt))
        {
            Some(known) => {
                known.since = known.since.max(doubt.since);
                known.restarted |= doubt.restarted;
            }
            None => doubts.push(doubt),
        }
    }

    /// Adds the starts in doubt that another instance tells of.
    pub fn learn(&mut self, told: &[message::Doubt], now: Time) {
        for told in told {
            let doubt = Doubt {
                rack: told.rack,
                endpoint: told.endpoint.clone(),
                since: Time(now.0.saturating_sub(told.age.0)),
                restarted: told.restarted,
            };
            self.insert(told.task, doubt);
        }
    }

    /// Returns the starts of a task that are in doubt.
    pub fn of(&self, task: &TaskId) -> &[Doubt] {
        self.by_task.get(task).map_or(&[][..], Vec::as_slice)
    }

    /// Returns whether a start of a task of a job is in doubt.
    pub fn has_job(&self, job: JobId) -> bool {
        let task = |step, index| TaskId { job, step, index };
        let all = task(0, 0)..=task(u32::MAX, u32::MAX);
        self.by_task.range(all).next().is_some()
    }

    /// Returns the latest start of a task that is in doubt.
    pub fn latest(&self, task: &TaskId) -> Option<&Doubt> {
        self.of(task).iter().max_by_key(|doubt| doubt.since)
    }

    /// Returns the starts of a task that are in doubt, to tell other instances of them.
    pub fn to_tell_of(&self, task: &TaskId, now: Time) -> Vec<message::Doubt> {
        let doubts = self.of(task).iter();
        doubts.map(|doubt| doubt.to_tell(*task, now)).collect()
    }

    /// Returns those that `is_wanted` selects, to tell another instance of them.
    pub fn to_tell(
        &self,
        is_wanted: impl Fn(&TaskId, &Doubt) -> bool,
        now: Time,
    ) -> Vec<message::Doubt> {
        let all = self.by_task.iter();
        let all = all.flat_map(|(task, doubts)| doubts.iter().map(move |doubt| (task, doubt)));
        let wanted = all.filter(|(task, doubt)| is_wanted(task, doubt));
        wanted
            .map(|(task, doubt)| doubt.to_tell(*task, now))
            .collect()
    }

    /// Forgets those that are older than the longest delay of a call.
    pub fn expire(&mut self, now: Time) {
        if self.next_expiry.is_none_or(|at| now <= at) {
            return;
        }
        let mut oldest: Option<Time> = None;
        self.by_task.retain(|_, doubts| {
            doubts.retain(|doubt| now.since(doubt.since) <= MAX_CALL_DELAY);
            let first = doubts.iter().map(|doubt| doubt.since).min();
            oldest = match (oldest, first) {
                (Some(oldest), Some(first)) => Some(oldest.min(first)),
                (oldest, first) => oldest.or(first),
            };
            !doubts.is_empty()
        });
        self.next_expiry = oldest.map(|since| since + MAX_CALL_DELAY);
    }

    /// Returns the number of tasks with a start in doubt.
    pub fn len(&self) -> usize {
        self.by_task.len()
    }

    /// Returns whether no start is in doubt.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }
}
