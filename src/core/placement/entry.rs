//! The state of one endpoint, and its score.

use super::{
    speed::{
        Speed,
        UNIT, //
    },
    Eligibility,
    Policy,
    State,
    Worker,
    SUSPECT_PENALTY, //
};

/// The part of a score that one task per slot makes up.
pub(super) const UNITS_PER_TASK: u64 = 1 << 10;

/// The score of an endpoint: the lowest gets the next task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct Score {
    /// The outstanding tasks per slot, weighted by speed, in parts of [`UNITS_PER_TASK`].
    pub(super) work: u64,
    /// The load that the endpoint last reported.
    pub(super) load: u32,
}

/// The state of one endpoint.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) worker: Worker,
    /// The index of its group.
    pub(super) group: usize,
    pub(super) outstanding: u32,
    /// The running and queued tasks that it last reported.
    pub(super) load: u32,
    pub(super) speed: Speed,
    /// How slow it is compared with its group, in parts of [`UNIT`].
    pub(super) slowness: u64,
    pub(super) eligibility: Eligibility,
    /// The number of the newest list when it reported to be leaving.
    pub(super) leaving_since: Option<u64>,
    /// The number of the last list that had it.
    pub(super) list_number: u64,
    pub(super) is_absent: bool,
    /// What its group counts of it at present.
    pub(super) contribution: Option<Contribution>,
    /// Its position among the endpoints with the same score.
    pub(super) position: usize,
}

/// What an endpoint that may get tasks adds to its group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Contribution {
    pub(super) eligible: bool,
    pub(super) slots: u32,
    /// The number of tasks that it may get before it reaches its limit.
    pub(super) free: u32,
    /// The endpoint's score; `None` if it has no free place.
    pub(super) score: Option<Score>,
    /// Set if the endpoint waits for one task on probation; `true` if that may be of any class.
    pub(super) trial: Option<bool>,
}

impl Contribution {
    /// Returns what an endpoint adds to its group, or `None` if it may not get tasks.
    pub(super) fn of(
        entry: &Entry,
        policy: Policy,
        max_outstanding: u32,
        instances: u32,
    ) -> Option<Self> {
        let worker = &entry.worker;
        let is_live =
            worker.state == State::Live && entry.leaving_since.is_none() && !entry.is_absent;
        if !is_live || worker.slots == 0 {
            return None;
        }
        let any_class = match entry.eligibility {
            Eligibility::Good | Eligibility::Suspect => {
                return Some(Self::of_eligible(entry, policy, max_outstanding, instances));
            }
            Eligibility::Probation => false,
            Eligibility::Trial => true,
            Eligibility::Ejected => return None,
        };
        Some(Self {
            eligible: false,
            slots: 0,
            free: 0,
            score: None,
            trial: (entry.outstanding == 0).then_some(any_class),
        })
    }

    fn of_eligible(entry: &Entry, policy: Policy, max_outstanding: u32, instances: u32) -> Self {
        let share = entry.worker.connections / instances;
        let limit = max_outstanding.min(share).max(1);
        let free = limit.saturating_sub(entry.outstanding);
        Self {
            eligible: true,
            slots: entry.worker.slots,
            free,
            score: (free > 0).then(|| score(entry, policy)),
            trial: None,
        }
    }
}

fn score(entry: &Entry, policy: Policy) -> Score {
    let tasks_after = u64::from(entry.outstanding) + 1;
    let work = |tasks: u64| {
        tasks * entry.slowness * UNITS_PER_TASK / (UNIT * u64::from(entry.worker.slots))
    };
    let (work, load) = match policy {
        Policy::Random => (0, 0),
        Policy::Outstanding => (work(tasks_after), 0),
        Policy::OutstandingThenLoad => (work(tasks_after), entry.load),
        Policy::OutstandingPlusLoad => (work(tasks_after + u64::from(entry.load)), 0),
    };
    let penalty = match entry.eligibility {
        Eligibility::Suspect => SUSPECT_PENALTY,
        _ => 0,
    };
    Score {
        work: work + penalty,
        load,
    }
}
