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
        Slot,
        Standing, //
    },
    prelude::*,
    table::wire::Worker,
};

/// Failures one after the other that eject an endpoint, when they are from several jobs.
const FAILURES: u32 = 3;

/// The part of a crowd that may be out at once, as its divisor.
const CAP: u32 = 3;

/// How long the first ejection lasts; each further one doubles it.
const FIRST: Span = Span::seconds(5);

/// The most often that the span is doubled.
const DOUBLINGS: u32 = 6;

/// Time in good standing that makes up for one ejection.
const HEALING: Span = Span::seconds(60);

/// How long an endpoint on probation waits for an idempotent task before any task will do.
///
/// Where all work is non-idempotent, an endpoint would stay out for good otherwise. At worst one task fails for
/// each ejection, which the caller is told.
const PATIENCE: Span = Span::seconds(30);

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
    Returned(Slot),
}

impl Change {
    /// Returns the endpoint and its new standing, as placement is to be told.
    pub fn standing(self) -> (Slot, Standing) {
        match self {
            Self::Ejected(slot) => (slot, Standing::Ejected),
            Self::Probation(slot) => (slot, Standing::Probation),
            Self::Trial(slot) => (slot, Standing::Trial),
            Self::Suspected(slot) => (slot, Standing::Suspect),
            Self::Returned(slot) => (slot, Standing::Good),
        }
    }
}

/// The endpoints among which an outlier is told: one pool in one data centre.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Crowd {
    pool: Pool,
    centre: Centre,
}

/// How many endpoints a crowd has, and how many of them are out.
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
    crowd: Crowd,
    standing: Standing,
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
    crowds: HashMap<Crowd, Count>,
    due: BTreeSet<(Time, Slot)>,
}

impl Health {
    /// Makes a decision that knows no endpoint.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            records: HashMap::new(),
            crowds: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Takes up an endpoint, or moves it to the crowd where the list has it now.
    pub fn added(&mut self, slot: Slot, worker: &Worker) {
        let crowd = Crowd {
            pool: worker.pool.clone(),
            centre: worker.centre.clone(),
        };
        match self.records.get(&slot) {
            Some(record) if record.crowd == crowd => return,
            _ => self.dropped(slot),
        }
        self.crowds.entry(crowd.clone()).or_default().members += 1;
        let record = Record {
            crowd,
            standing: Standing::Good,
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
    pub fn dropped(&mut self, slot: Slot) {
        let Some(record) = self.records.remove(&slot) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, slot));
        }
        let Some(count) = self.crowds.get_mut(&record.crowd) else {
            return;
        };
        count.members -= 1;
        count.out -= u32::from(out(record.standing));
        if count.members == 0 {
            self.crowds.remove(&record.crowd);
        }
    }

    /// Counts a task of `job` that failed at an endpoint, or was lost with the connection to it.
    ///
    /// Failures of one job alone never eject: the job may be what is wrong, and would take endpoint after endpoint
    /// out of the pool with its tasks. The cap holds where several jobs are wrong.
    pub fn failed(&mut self, now: Time, slot: Slot, job: u64) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        match record.standing {
            Standing::Good | Standing::Suspect => {
                let outlier = record.count(job);
                let count = self.crowds.get_mut(&record.crowd)?;
                if !outlier {
                    return None;
                }
                if count.out >= count.cap() {
                    return self.suspect(now, slot);
                }
                count.out += 1;
                self.eject(now, slot)
            }
            Standing::Probation | Standing::Trial => self.eject(now, slot),
            Standing::Ejected => None,
        }
    }

    /// Counts a task that an endpoint ran to its end.
    pub fn succeeded(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        record.failures = 0;
        match record.standing {
            Standing::Good => None,
            Standing::Suspect => {
                self.turn(slot, Standing::Good, None);
                Some(Change::Returned(slot))
            }
            // Work from before the ejection: it does not fail everything, so it is tried at once.
            Standing::Ejected => {
                self.turn(slot, Standing::Probation, Some(now + PATIENCE));
                Some(Change::Probation(slot))
            }
            Standing::Probation | Standing::Trial => self.restore(now, slot),
        }
    }

    /// Ends ejections that are over, and returns endpoints where more are out than the cap allows by now.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some((due, slot)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, slot));
            changes.extend(self.next_phase(now, slot));
        }
        changes.extend(self.relieve(now));
        changes
    }

    /// Returns how many endpoints are ejected or on probation.
    pub fn ejected(&self) -> usize {
        self.crowds.values().map(|count| count.out as usize).sum()
    }

    /// Tells whether an endpoint may get a task of this class.
    pub fn may(&self, slot: Slot, class: Class) -> bool {
        match self.records.get(&slot).map(|record| record.standing) {
            Some(Standing::Good | Standing::Suspect | Standing::Trial) => true,
            Some(Standing::Probation) => class.repeatable(),
            Some(Standing::Ejected) | None => false,
        }
    }

    fn next_phase(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        record.due = None;
        // It is tried again; its next failure makes it a suspect at once.
        if record.standing == Standing::Suspect {
            self.turn(slot, Standing::Good, None);
            return Some(Change::Returned(slot));
        }
        if record.standing == Standing::Ejected {
            self.turn(slot, Standing::Probation, Some(now + PATIENCE));
            return Some(Change::Probation(slot));
        }
        self.turn(slot, Standing::Trial, None);
        Some(Change::Trial(slot))
    }

    /// Puts an endpoint behind all others that the cap keeps from being ejected.
    ///
    /// An endpoint that fails at once is idle again before all others, and would draw most of the tasks. Where more of
    /// a pool fail than may be ejected, nearly every job would meet one of them.
    fn suspect(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let known = self.records.get(&slot)?.standing == Standing::Suspect;
        self.turn(slot, Standing::Suspect, Some(now + FIRST));
        (!known).then_some(Change::Suspected(slot))
    }

    fn eject(&mut self, now: Time, slot: Slot) -> Option<Change> {
        let record = self.records.get_mut(&slot)?;
        if !out(record.standing) {
            let healed = now.since(record.since).0 / HEALING.0;
            let healed = u32::try_from(healed).unwrap_or(u32::MAX);
            record.ejections = record.ejections.saturating_sub(healed);
        }
        let span = FIRST.times(1 << record.ejections.min(DOUBLINGS));
        record.ejections = (record.ejections + 1).min(DOUBLINGS);
        // The jitter keeps endpoints that were ejected together from coming back together.
        let jitter = self.random.random_range(0..=span.0 / 5);
        self.turn(slot, Standing::Ejected, Some(now + span + Span(jitter)));
        Some(Change::Ejected(slot))
    }

    fn restore(&mut self, now: Time, slot: Slot) -> Option<Change> {
        self.turn(slot, Standing::Good, None);
        let record = self.records.get_mut(&slot)?;
        record.since = now;
        record.failures = 0;
        let count = self.crowds.get_mut(&record.crowd)?;
        count.out -= 1;
        Some(Change::Returned(slot))
    }

    fn turn(&mut self, slot: Slot, standing: Standing, due: Option<Time>) {
        let Some(record) = self.records.get_mut(&slot) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, slot));
        }
        record.standing = standing;
        record.due = due;
        if let Some(due) = due {
            self.due.insert((due, slot));
        }
    }

    /// Returns endpoints of crowds that have shrunk, so that the cap holds for those that are left.
    fn relieve(&mut self, now: Time) -> Vec<Change> {
        let over = |count: &Count| count.out > count.cap();
        if !self.crowds.values().any(over) {
            return Vec::new();
        }
        let mut slots: Vec<(Option<Time>, Slot)> = self
            .records
            .iter()
            .filter(|(_, record)| out(record.standing))
            .map(|(slot, record)| (record.due, *slot))
            .collect();
        slots.sort_unstable();
        let mut changes = Vec::new();
        for (_, slot) in slots {
            if self
                .crowds
                .get(&self.records[&slot].crowd)
                .is_some_and(over)
            {
                changes.extend(self.restore(now, slot));
            }
        }
        changes
    }
}

/// Tells whether an endpoint counts against the cap.
fn out(standing: Standing) -> bool {
    !matches!(standing, Standing::Good | Standing::Suspect)
}
