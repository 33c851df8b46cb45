//! Outlier ejection: an endpoint that fails task after task gets none for a while, and is then tried again.

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
        EndpointId, //
    },
    prelude::*,
    table::wire::Worker, //
};

/// The consecutive failures that eject an endpoint, if they are from more than one job.
const EJECTION_FAILURES: u32 = 3;

/// At most the group's size divided by this may be out at once.
const CAP_DIVISOR: u32 = 3;

/// The length of the first ejection; each further one doubles it.
const FIRST_EJECTION: Span = Span::seconds(5);

/// How many times the length of an ejection doubles at most.
const MAX_DOUBLINGS: u32 = 6;

/// The time without an ejection after which one doubling is taken back.
const RECOVERY_PERIOD: Span = Span::seconds(60);

/// How long an endpoint on probation waits for an idempotent task before it may get a task of any class.
///
/// Without it, an endpoint would stay out for good where all tasks are non-idempotent. At worst one task fails per
/// ejection, and its caller is told so.
const PROBATION_TIMEOUT: Span = Span::seconds(30);

/// A change of an endpoint's eligibility.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// It gets no tasks for a while.
    Ejected(EndpointId),
    /// It gets one idempotent task at a time.
    Probation(EndpointId),
    /// It gets one task of any class at a time.
    Trial(EndpointId),
    /// It gets only tasks that no other endpoint has room for: it should be ejected, but the cap is reached.
    Suspected(EndpointId),
    /// It gets all tasks again.
    Restored(EndpointId),
}

impl Change {
    /// Returns the endpoint and its new eligibility, for placement.
    pub fn eligibility(self) -> (EndpointId, Eligibility) {
        match self {
            Self::Ejected(id) => (id, Eligibility::Ejected),
            Self::Probation(id) => (id, Eligibility::Probation),
            Self::Trial(id) => (id, Eligibility::Trial),
            Self::Suspected(id) => (id, Eligibility::Suspect),
            Self::Restored(id) => (id, Eligibility::Good),
        }
    }
}

/// The endpoints that share one cap on ejections: those of one pool in one data centre.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Group {
    pool: Pool,
    centre: Centre,
}

/// The size of a group, and how many of its endpoints are ejected, on probation or on trial.
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
            members => (members / CAP_DIVISOR).max(1),
        }
    }
}

/// The state of one endpoint.
#[derive(Debug)]
struct Record {
    group: Group,
    eligibility: Eligibility,
    /// Consecutive failures.
    failures: u32,
    /// The job of the first of them.
    first_job: u64,
    /// Whether they are from more than one job.
    several_jobs: bool,
    /// Past ejections, less one for each [`RECOVERY_PERIOD`] without any.
    ejections: u32,
    restored_at: Time,
    /// When the present eligibility ends.
    due: Option<Time>,
}

impl Record {
    /// Counts a failure; returns whether the failures are enough for an ejection.
    fn count_failure(&mut self, job: u64) -> bool {
        if self.failures == 0 {
            self.first_job = job;
            self.several_jobs = false;
        }
        self.several_jobs |= self.first_job != job;
        self.failures = self.failures.saturating_add(1);
        self.failures >= EJECTION_FAILURES && self.several_jobs
    }
}

/// Decides which endpoints are ejected, and when they come back.
#[derive(Debug)]
pub struct Health {
    random: SmallRng,
    records: HashMap<EndpointId, Record>,
    groups: HashMap<Group, Count>,
    /// When eligibilities end, earliest first.
    due: BTreeSet<(Time, EndpointId)>,
}

impl Health {
    /// Creates the state without endpoints; `seed` feeds the jitter of ejections.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            records: HashMap::new(),
            groups: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Inserts an endpoint, or moves it if the list has it in another group now.
    pub fn insert(&mut self, id: EndpointId, worker: &Worker) {
        let group = Group {
            pool: worker.pool.clone(),
            centre: worker.centre.clone(),
        };
        match self.records.get(&id) {
            Some(record) if record.group == group => return,
            _ => self.remove(id),
        }
        self.groups.entry(group.clone()).or_default().members += 1;
        let record = Record {
            group,
            eligibility: Eligibility::Good,
            failures: 0,
            first_job: 0,
            several_jobs: false,
            ejections: 0,
            restored_at: Time::default(),
            due: None,
        };
        self.records.insert(id, record);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: EndpointId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, id));
        }
        let Some(count) = self.groups.get_mut(&record.group) else {
            return;
        };
        count.members -= 1;
        count.out -= u32::from(is_out(record.eligibility));
        if count.members == 0 {
            self.groups.remove(&record.group);
        }
    }

    /// Handles a task of `job` that failed at an endpoint, or was lost with the connection to it.
    ///
    /// Failures of one job alone never eject: a faulty job would otherwise eject one endpoint after another. The cap
    /// limits the harm of several faulty jobs.
    pub fn on_failure(&mut self, now: Time, id: EndpointId, job: u64) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        match record.eligibility {
            Eligibility::Good | Eligibility::Suspect => {
                let outlier = record.count_failure(job);
                let count = self.groups.get_mut(&record.group)?;
                if !outlier {
                    return None;
                }
                if count.out >= count.cap() {
                    return self.suspect(now, id);
                }
                count.out += 1;
                self.eject(now, id)
            }
            Eligibility::Probation | Eligibility::Trial => self.eject(now, id),
            Eligibility::Ejected => None,
        }
    }

    /// Handles a task that an endpoint completed.
    pub fn on_success(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        record.failures = 0;
        match record.eligibility {
            Eligibility::Good => None,
            Eligibility::Suspect => {
                self.transition(id, Eligibility::Good, None);
                Some(Change::Restored(id))
            }
            // A task from before the ejection succeeded, so the endpoint is tried at once.
            Eligibility::Ejected => {
                self.transition(id, Eligibility::Probation, Some(now + PROBATION_TIMEOUT));
                Some(Change::Probation(id))
            }
            Eligibility::Probation | Eligibility::Trial => self.restore(now, id),
        }
    }

    /// Ends ejections that are over, and restores endpoints where more are out than the cap allows now.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some((due, id)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, id));
            changes.extend(self.advance(now, id));
        }
        changes.extend(self.enforce_cap(now));
        changes
    }

    /// Returns how many endpoints are ejected, on probation or on trial.
    pub fn ejected_count(&self) -> usize {
        self.groups.values().map(|count| count.out as usize).sum()
    }

    /// Returns whether an endpoint may get a task of this class.
    pub fn allows(&self, id: EndpointId, class: Class) -> bool {
        match self.records.get(&id).map(|record| record.eligibility) {
            Some(Eligibility::Good | Eligibility::Suspect | Eligibility::Trial) => true,
            Some(Eligibility::Probation) => class.is_repeatable(),
            Some(Eligibility::Ejected) | None => false,
        }
    }

    /// Moves an endpoint whose eligibility has run out to the next one.
    fn advance(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        record.due = None;
        // Its failures are still counted, so its next one makes it a suspect at once.
        if record.eligibility == Eligibility::Suspect {
            self.transition(id, Eligibility::Good, None);
            return Some(Change::Restored(id));
        }
        if record.eligibility == Eligibility::Ejected {
            self.transition(id, Eligibility::Probation, Some(now + PROBATION_TIMEOUT));
            return Some(Change::Probation(id));
        }
        self.transition(id, Eligibility::Trial, None);
        Some(Change::Trial(id))
    }

    /// Makes an endpoint that the cap keeps from being ejected the last choice for tasks.
    ///
    /// An endpoint that fails at once is idle sooner than all others and would attract most tasks. Where more of a pool
    /// fail than may be ejected, nearly every job would have a task on one of them.
    fn suspect(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        let was_suspect = self.records.get(&id)?.eligibility == Eligibility::Suspect;
        self.transition(id, Eligibility::Suspect, Some(now + FIRST_EJECTION));
        (!was_suspect).then_some(Change::Suspected(id))
    }

    /// Ejects an endpoint; each past ejection that isn't taken back doubles the length.
    fn eject(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        if !is_out(record.eligibility) {
            let recovered = now.since(record.restored_at).0 / RECOVERY_PERIOD.0;
            let recovered = u32::try_from(recovered).unwrap_or(u32::MAX);
            record.ejections = record.ejections.saturating_sub(recovered);
        }
        let span = FIRST_EJECTION.times(1 << record.ejections.min(MAX_DOUBLINGS));
        record.ejections = (record.ejections + 1).min(MAX_DOUBLINGS);
        // Without jitter, endpoints that were ejected together would come back together.
        let jitter = self.random.random_range(0..=span.0 / 5);
        self.transition(id, Eligibility::Ejected, Some(now + span + Span(jitter)));
        Some(Change::Ejected(id))
    }

    /// Makes an ejected endpoint fully eligible.
    fn restore(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        self.transition(id, Eligibility::Good, None);
        let record = self.records.get_mut(&id)?;
        record.restored_at = now;
        record.failures = 0;
        let count = self.groups.get_mut(&record.group)?;
        count.out -= 1;
        Some(Change::Restored(id))
    }

    /// Sets an endpoint's eligibility, and when it ends.
    fn transition(&mut self, id: EndpointId, eligibility: Eligibility, due: Option<Time>) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let Some(due) = record.due {
            self.due.remove(&(due, id));
        }
        record.eligibility = eligibility;
        record.due = due;
        if let Some(due) = due {
            self.due.insert((due, id));
        }
    }

    /// Restores endpoints of groups that have shrunk until the cap holds again.
    fn enforce_cap(&mut self, now: Time) -> Vec<Change> {
        let over = |count: &Count| count.out > count.cap();
        if !self.groups.values().any(over) {
            return Vec::new();
        }
        let mut ids: Vec<(Option<Time>, EndpointId)> = self
            .records
            .iter()
            .filter(|(_, record)| is_out(record.eligibility))
            .map(|(id, record)| (record.due, *id))
            .collect();
        ids.sort_unstable();
        let mut changes = Vec::new();
        for (_, id) in ids {
            if self.groups.get(&self.records[&id].group).is_some_and(over) {
                changes.extend(self.restore(now, id));
            }
        }
        changes
    }
}

/// Returns whether an endpoint counts against the cap.
fn is_out(eligibility: Eligibility) -> bool {
    !matches!(eligibility, Eligibility::Good | Eligibility::Suspect)
}
