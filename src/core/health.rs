//! Outlier ejection: endpoints that fail everything get nothing for a while.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

use crate::{
    core::placement::{
        Eligibility,
        Slot, //
    },
    prelude::*,
    table::wire::Worker,
};

/// Failures one after the other that eject an endpoint, when they are from several jobs.
const FAILURES: u32 = 3;

/// The part of a group that may be out at once, as its divisor.
const CAP: u32 = 3;

/// How long the first ejection lasts; each further one doubles it.
const FIRST_EJECTION: Span = Span::seconds(5);

/// The most often that the span is doubled.
const DOUBLINGS: u32 = 6;

/// Time without an ejection that makes up for one.
const RECOVERY: Span = Span::seconds(60);

/// How long an endpoint on probation waits for an idempotent task before any task will do.
///
/// Where all work is non-idempotent, an endpoint would stay out for good otherwise. At worst one task fails for
/// each ejection, which the caller is told.
const PROBATION_TIMEOUT: Span = Span::seconds(30);

/// What has changed for an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// It gets nothing for a while.
    Ejected(Slot),
    /// It gets one idempotent task at a time.
    Probation(Slot),
    /// It gets one task of any class at a time.
    Trial(Slot),
    /// It gets what no other takes, since too many are out for it to be ejected.
    Suspected(Slot),
    /// It gets everything again.
    Restored(Slot),
}

impl Change {
    /// Returns the endpoint and its new eligibility, to be passed to placement.
    pub fn eligibility(self) -> (Slot, Eligibility) {
        match self {
            Self::Ejected(slot) => (slot, Eligibility::Ejected),
            Self::Probation(slot) => (slot, Eligibility::Probation),
            Self::Trial(slot) => (slot, Eligibility::Trial),
            Self::Suspected(slot) => (slot, Eligibility::Suspect),
            Self::Restored(slot) => (slot, Eligibility::Good),
        }
    }
}

/// The endpoints that are compared to find outliers: one pool in one data centre.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Group {
    pool: Pool,
    centre: Centre,
}

/// How many endpoints a group has, and how many of them are out.
#[derive(Default, Debug)]
struct Count {
    members: u32,
    out: u32,
}

impl Count {
    /// Returns how many may be out: a third, but one of two, and none of one.
    fn cap(&self) -> u32 {
        match self.members {
            0 | 1 => 0,
            members => (members / CAP).max(1),
        }
    }
}

/// What is known of one endpoint.
#[derive(Debug)]
struct Record {
    group: Group,
    eligibility: Eligibility,
    failures: u32,
    job: u64,
    several: bool,
    ejections: u32,
    since: Time,
    due: Option<Time>,
}

impl Record {
    /// Counts a failure; tells whether it is enough for an ejection.
    fn count(&mut self, job: u64) -> bool {
        if self.failures == 0 {
            self.job = job;
            self.several = false;
        }
        self.several |= self.job != job;
        self.failures = self.failures.saturating_add(1);
        self.failures >= FAILURES && self.several
    }
}

/// Decides which endpoints are out.
#[derive(Debug)]
pub struct Health {
    random: SmallRng,
    records: HashMap<Slot, Record>,
    groups: HashMap<Group, Count>,
    due: BTreeSet<(Time, Slot)>,
}

impl Health {
    /// Makes a decision that knows no endpoint.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            records: HashMap::new(),
            groups: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Takes up an endpoint, or moves it to the group where the list has it now.
    pub fn insert(&mut self, slot: Slot, worker: &Worker) {
        let group = Group {
            pool: worker.pool.clone(),
            centre: worker.centre.clone(),
        };
        match self.records.get(&slot) {
            Some(record) if record.group == group => return,
            _ => self.remove(slot),
        }
        self.groups.entry(group.clone()).or_default().members += 1;
        let record = Record {
            group,
            eligibility: Eligibility::Good,
            failures: 0,
            job: 0,
            several: false,
            ejections: 0,
            since: Time::default(),
            due: None,
        };
        self.records.insert(slot, record);
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, slot: Slot) {
        let Some(record) = self.records.remove(&slot) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, slot));
        }
        let Some(count) = self.groups.get_mut(&record.group) else {
            return;
        };
        count.members -= 1;
        count.out -= u32::from(out(record.eligibility));
        if count.members == 0 {
            self.groups.remove(&record.group);
        }
    }

    /// Counts a task of `job` that failed at an endpoint, or was lost with the connection to it.
    ///
    /// Failures of one job alone never eject: the job may be what is wrong, and would take endpoint after endpoint
    /// out of the pool with its tasks. The cap holds where several jobs are wrong.
    pub fn on_failure(&mut self, now: Time, slot: Slot, job: u64) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        match record.eligibility {
            Eligibility::Good | Eligibility::Suspect => {
                let outlier = record.count(job);
                let count = self.groups.get_mut(&record.group)?;
                if !outlier {
                    return None;
                }
                if count.out >= count.cap() {
                    return self.suspect(now, slot);
                }
                count.out += 1;
                self.eject(now, slot)
            }
            Eligibility::Probation | Eligibility::Trial => self.eject(now, slot),
            Eligibility::Ejected => None,
        }
    }

    /// Counts a task that an endpoint ran to its end.
    pub fn on_success(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        record.failures = 0;
        match record.eligibility {
            Eligibility::Good => None,
            Eligibility::Suspect => {
                self.transition(slot, Eligibility::Good, None);
                Some(Change::Restored(slot))
            }
            // Work from before the ejection: it does not fail everything, so it is tried at once.
            Eligibility::Ejected => {
                self.transition(slot, Eligibility::Probation, Some(now + PROBATION_TIMEOUT));
                Some(Change::Probation(slot))
            }
            Eligibility::Probation | Eligibility::Trial => self.restore(now, slot),
        }
    }

    /// Ends ejections that are over, and returns endpoints where more are out than the cap allows by now.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some((due, slot)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, slot));
            changes.extend(self.next_phase(now, slot));
        }
        changes.extend(self.enforce_cap(now));
        changes
    }

    /// Returns how many endpoints are ejected or on probation.
    pub fn ejected_count(&self) -> usize {
        self.groups.values().map(|count| count.out as usize).sum()
    }

    /// Tells whether an endpoint may get a task of this class.
    pub fn allows(&self, slot: Slot, class: Class) -> bool {
        match self.records.get(&slot).map(|record| record.eligibility) {
            Some(Eligibility::Good | Eligibility::Suspect | Eligibility::Trial) => true,
            Some(Eligibility::Probation) => class.is_repeatable(),
            Some(Eligibility::Ejected) | None => false,
        }
    }

    fn next_phase(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        record.due = None;
        // It is tried again; its next failure makes it a suspect at once.
        if record.eligibility == Eligibility::Suspect {
            self.transition(slot, Eligibility::Good, None);
            return Some(Change::Restored(slot));
        }
        if record.eligibility == Eligibility::Ejected {
            self.transition(slot, Eligibility::Probation, Some(now + PROBATION_TIMEOUT));
            return Some(Change::Probation(slot));
        }
        self.transition(slot, Eligibility::Trial, None);
        Some(Change::Trial(slot))
    }

    /// Puts an endpoint behind all others that the cap keeps from being ejected.
    ///
    /// An endpoint that fails at once is idle again before all others, and would draw most of the tasks. Where more of
    /// a pool fail than may be ejected, nearly every job would meet one of them.
    fn suspect(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let known = self.records.get(&slot)?.eligibility == Eligibility::Suspect;
        self.transition(slot, Eligibility::Suspect, Some(now + FIRST_EJECTION));
        (!known).then_some(Change::Suspected(slot))
    }

    fn eject(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        if !out(record.eligibility) {
            let recovered = now.since(record.since).0 / RECOVERY.0;
            let recovered = u32::try_from(recovered).unwrap_or(u32::MAX);
            record.ejections = record.ejections.saturating_sub(recovered);
        }
        let span = FIRST_EJECTION.times(1 << record.ejections.min(DOUBLINGS));
        record.ejections = (record.ejections + 1).min(DOUBLINGS);
        // The jitter keeps endpoints that were ejected together from coming back together.
        let jitter = self.random.random_range(0..=span.0 / 5);
        self.transition(slot, Eligibility::Ejected, Some(now + span + Span(jitter)));
        Some(Change::Ejected(slot))
    }

    fn restore(&mut self, now: Time, slot: Slot) -> Option<Change> {
        self.transition(slot, Eligibility::Good, None);
        let record = self.records.get_mut(&slot)?;
        record.since = now;
        record.failures = 0;
        let count = self.groups.get_mut(&record.group)?;
        count.out -= 1;
        Some(Change::Restored(slot))
    }

    fn transition(&mut self, slot: Slot, eligibility: Eligibility, due: Option<Time>) {
        let Some(record) = self.records.get_mut(&slot) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, slot));
        }
        record.eligibility = eligibility;
        record.due = due;
        if let Some(due) = due {
            self.due.insert((due, slot));
        }
    }

    /// Returns endpoints of groups that have shrunk, so that the cap holds for those that are left.
    fn enforce_cap(&mut self, now: Time) -> Vec<Change> {
        let over = |count: &Count| count.out > count.cap();
        if !self.groups.values().any(over) {
            return Vec::new();
        }
        let mut slots: Vec<(Option<Time>, Slot)> = self
            .records
            .iter()
            .filter(|(_, record)| out(record.eligibility))
            .map(|(slot, record)| (record.due, *slot))
            .collect();
        slots.sort_unstable();
        let mut changes = Vec::new();
        for (_, slot) in slots {
            if self
                .groups
                .get(&self.records[&slot].group)
                .is_some_and(over)
            {
                changes.extend(self.restore(now, slot));
            }
        }
        changes
    }
}

/// Tells whether an endpoint counts against the cap.
fn out(eligibility: Eligibility) -> bool {
    !matches!(eligibility, Eligibility::Good | Eligibility::Suspect)
}
