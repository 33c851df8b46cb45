//! What is known of one endpoint, and the rank that follows from it.

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

/// The steps into which one task at one slot is divided in a score.
pub(super) const STEPS: u64 = 1 << 10;

/// The rank of an endpoint: the lowest gets the next task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct Score {
    /// Its work for each slot.
    pub(super) work: u64,
    /// The load that it reported last.
    pub(super) load: u32,
}

/// What is known of one endpoint.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) worker: Worker,
    pub(super) group: usize,
    pub(super) outstanding: u32,
    pub(super) load: u32,
    pub(super) speed: Speed,
    pub(super) factor: u64,
    pub(super) eligibility: Eligibility,
    /// The list that was the newest when it reported that it is leaving.
    pub(super) leaving_since: Option<u64>,
    /// The last list that had it.
    pub(super) list: u64,
    pub(super) absent: bool,
    pub(super) contribution: Option<Contribution>,
    pub(super) position: usize,
}

/// What an entry adds to its group; none where it gets nothing new.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Contribution {
    pub(super) eligible: bool,
    pub(super) slots: u32,
    pub(super) free: u32,
    /// Its rank, while it has room.
    pub(super) score: Option<Score>,
    /// Whether it waits for a task on probation, and whether of any class.
    pub(super) trial: Option<bool>,
}

impl Contribution {
    /// Works out what an entry adds to its group.
    pub(super) fn of(
        entry: &Entry,
        policy: Policy,
        outstanding: u32,
        instances: u32,
    ) -> Option<Self> {
        let worker = &entry.worker;
        let live = worker.state == State::Live && entry.leaving_since.is_none() && !entry.absent;
        if !live || worker.slots == 0 {
            return None;
        }
        let any = match entry.eligibility {
            Eligibility::Good | Eligibility::Suspect => {
                return Some(Self::good(entry, policy, outstanding, instances));
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
            trial: (entry.outstanding == 0).then_some(any),
        })
    }

    fn good(entry: &Entry, policy: Policy, outstanding: u32, instances: u32) -> Self {
        let share = entry.worker.connections / instances;
        let bound = outstanding.min(share).max(1);
        let free = bound.saturating_sub(entry.outstanding);
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
    let next = u64::from(entry.outstanding) + 1;
    let work = |tasks: u64| tasks * entry.factor * STEPS / (UNIT * u64::from(entry.worker.slots));
    let (work, load) = match policy {
        Policy::Random => (0, 0),
        Policy::Outstanding => (work(next), 0),
        Policy::OutstandingThenLoad => (work(next), entry.load),
        Policy::OutstandingPlusLoad => (work(next + u64::from(entry.load)), 0),
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
