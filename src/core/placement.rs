//! Placement: picks the endpoint of each task.
//!
//! An endpoint runs one task in each of its slots. The endpoint with the fewest outstanding tasks of this instance per
//! slot gets the next one, weighted by how slow the endpoint has been lately. Ties are broken by the load that it last
//! reported, then at random. Endpoints with free places are kept in this order, so a decision takes the first that
//! fits.

mod entry;
mod index;
mod speed;
mod table;

use std::collections::HashMap;

use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

use self::{
    entry::{
        Contribution,
        Entry,
        Score,
        UNITS_PER_TASK, //
    },
    index::Group, //
};
use crate::{
    endpoint::wire::Load,
    prelude::*,
    record::route::Route,
    table::wire::{
        State,
        Worker, //
    }, //
};

/// The number of tasks per slot, over all instances, from which an endpoint counts as busy and tasks may leave the data
/// centre.
///
/// It is more than 1 since the instances' loads vary: the endpoint is rarely full while each has only its share.
const BUSY_TASKS_PER_SLOT: u64 = 3;

/// The amount added to the score of a suspect endpoint, which ranks it behind all others.
const SUSPECT_PENALTY: u64 = 1 << 40;

/// Identifies an endpoint by its index in the table. An id isn't reused while tasks are outstanding at its endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct EndpointId(pub u32);

/// How endpoints with free places are ranked.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Policy {
    /// All equal, so that the pick is random.
    Random,
    /// By the outstanding tasks of this instance.
    Outstanding,
    /// By the outstanding tasks of this instance, then by the load last reported.
    #[default]
    OutstandingThenLoad,
    /// By the sum of the outstanding tasks of this instance and the load last reported.
    OutstandingPlusLoad,
}

/// What a task requires of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirement<'a> {
    /// The route of the task's service.
    pub route: &'a Route,
    /// The resources that the task needs.
    pub need: Hardware,
    /// The class of the task: endpoints on probation get idempotent tasks only.
    pub class: Class,
    /// Endpoints that get the task only if no other one is eligible.
    pub avoid: &'a [EndpointId],
}

/// Why a task can't be placed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Obstacle {
    /// No endpoint that was ever listed is large enough.
    Impossible,
    /// No endpoint that is large enough is eligible now.
    NoneEligible,
    /// All eligible endpoints that are large enough are at their limit.
    Full,
}

/// Which tasks an endpoint may get, according to its health.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Eligibility {
    /// All tasks.
    #[default]
    Good,
    /// Tasks that no other endpoint has a free place for.
    Suspect,
    /// One idempotent task at a time.
    Probation,
    /// One task of any class at a time.
    Trial,
    /// No tasks.
    Ejected,
}

/// A change that a new list of endpoints made.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// The endpoint is new, or was absent or leaving and is live again.
    Added(EndpointId),
    /// The endpoint's entry in the list has changed.
    Updated(EndpointId),
    /// The endpoint is leaving.
    Leaving(EndpointId),
    /// The endpoint isn't listed any more.
    Absent(EndpointId),
    /// The endpoint is removed; its id may be reused.
    Dropped(EndpointId),
}

/// Sums over all endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Total {
    /// Outstanding tasks of this instance.
    pub outstanding: u32,
    /// Eligible endpoints.
    pub eligible: u32,
}

/// The table of endpoints, in the order in which they get tasks.
#[derive(Debug)]
pub struct Placement {
    centre: Centre,
    max_outstanding: u32,
    instances: u32,
    policy: Policy,
    random: SmallRng,
    entries: Vec<Option<Entry>>,
    free_ids: Vec<EndpointId>,
    ids_by_name: HashMap<Endpoint, EndpointId>,
    groups: Vec<Group>,
    groups_by_pool: HashMap<Pool, Vec<usize>>,
    /// The number of lists applied so far.
    list_number: u64,
    /// The outstanding tasks at all endpoints.
    outstanding: u32,
}

impl Placement {
    /// Creates an empty table for an instance in `centre` that has at most `max_outstanding` tasks at one endpoint.
    pub fn new(centre: Centre, max_outstanding: u32, seed: u64) -> Self {
        Self {
            centre,
            max_outstanding: max_outstanding.max(1),
            instances: 1,
            policy: Policy::default(),
            random: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            free_ids: Vec::new(),
            ids_by_name: HashMap::new(),
            groups: Vec::new(),
            groups_by_pool: HashMap::new(),
            list_number: 0,
            outstanding: 0,
        }
    }

    /// Sets another policy, for benchmarks; to be called before the first list.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Picks an endpoint for a task, and counts the task as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint can get the task; nothing is counted then.
    pub fn place(&mut self, requirement: &Requirement<'_>) -> Result<EndpointId, Obstacle> {
        let id = match self.pick(requirement, requirement.avoid) {
            Some(id) => id,
            None => self.pick_avoided(requirement)?,
        };
        self.outstanding += 1;
        self.update_entry(id, |entry| entry.outstanding += 1);
        Ok(id)
    }

    /// Frees the place of a task that has ended, and updates the endpoint's load and speed.
    ///
    /// `took` is `None` for a failed task, which prevents an endpoint that fails at once from ranking as fast.
    pub fn on_task_end(&mut self, id: EndpointId, took: Option<Span>, load: Option<Load>) {
        let Some(group) = self.entry(id).map(|entry| entry.group) else {
            return;
        };
        self.outstanding = self.outstanding.saturating_sub(1);
        let mean = self.groups[group].speeds.mean();
        let mut means = None;
        self.update_entry(id, |entry| {
            debug_assert!(entry.outstanding > 0, "more tasks ended than were placed");
            entry.outstanding = entry.outstanding.saturating_sub(1);
            if let Some(load) = load {
                entry.load = load.running.saturating_add(load.queued);
            }
            if let Some(took) = took {
                means = Some(entry.speed.add(took));
                entry.slowness = entry.speed.slowness(mean);
            }
        });
        if let Some((before, after)) = means {
            self.groups[group].speeds.replace(before, after);
        }
    }

    /// Marks an endpoint that reported to be leaving, so that it gets no more tasks.
    pub fn mark_leaving(&mut self, id: EndpointId) {
        let list_number = self.list_number;
        self.update_entry(id, |entry| entry.leaving_since = Some(list_number));
    }

    /// Sets which tasks an endpoint may get.
    pub fn set_eligibility(&mut self, id: EndpointId, eligibility: Eligibility) {
        self.update_entry(id, |entry| entry.eligibility = eligibility);
    }

    /// Returns an endpoint's entry in the list.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Worker> {
        self.entry(id).map(|entry| &entry.worker)
    }

    /// Returns the number of outstanding tasks of this instance at an endpoint.
    pub fn outstanding(&self, id: EndpointId) -> u32 {
        self.entry(id).map_or(0, |entry| entry.outstanding)
    }

    /// Returns the id of an endpoint by its name.
    pub fn find(&self, name: &Endpoint) -> Option<EndpointId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns the sums over all endpoints.
    pub fn total(&self) -> Total {
        Total {
            outstanding: self.outstanding,
            eligible: self.groups.iter().map(|group| group.count.eligible).sum(),
        }
    }

    /// Returns whether any endpoint of the route that was ever listed is large enough; `true` if none was listed.
    pub fn is_possible(&self, route: &Route, need: Hardware) -> bool {
        let mut groups = self.reachable_groups(route).peekable();
        groups.peek().is_none() || groups.any(|group| fits(&need, &group.resources))
    }

    /// Returns how many tasks the route's eligible endpoints can get before they reach their limits.
    pub fn free_places(&self, route: &Route) -> u32 {
        self.reachable_groups(route)
            .map(|group| group.count.free)
            .sum()
    }

    /// Returns the total slots of the route's eligible endpoints.
    pub fn slots(&self, route: &Route) -> u32 {
        self.reachable_groups(route)
            .map(|group| group.count.slots)
            .sum()
    }

    /// Returns the best endpoint with a free place that isn't one of `avoid`.
    ///
    /// The own data centre comes first while one of its endpoints is likely to start the task at once. Otherwise
    /// another data centre with such an endpoint gets the task: waiting usually takes longer than the network.
    fn pick(&mut self, requirement: &Requirement<'_>, avoid: &[EndpointId]) -> Option<EndpointId> {
        let own = self.centre.clone();
        let near = self.pick_in(requirement, avoid, |centre| *centre == own);
        if !requirement.route.spill || near.is_some_and(|near| self.starts_at_once(near)) {
            return near.map(|(_, id)| id);
        }
        let mut far = None;
        if requirement.route.centres.is_empty() {
            far = self.pick_in(requirement, avoid, |centre| *centre != own);
        }
        for other in requirement
            .route
            .centres
            .iter()
            .filter(|other| **other != own)
        {
            let found = self.pick_in(requirement, avoid, |centre| centre == other);
            if found.is_some_and(|found| self.starts_at_once(found)) {
                far = found;
                break;
            }
            far = far.or(found);
        }
        let near_is_unfit = near.is_none_or(|(score, _)| score.work >= SUSPECT_PENALTY);
        let far = far.filter(|far| near_is_unfit || self.starts_at_once(*far));
        far.or(near).map(|(_, id)| id)
    }

    /// Returns whether an endpoint is likely to start a task at once: this instance has no task there, or no more than
    /// its share of a busy endpoint's tasks.
    fn starts_at_once(&self, (score, id): (Score, EndpointId)) -> bool {
        let share =
            (UNITS_PER_TASK * BUSY_TASKS_PER_SLOT / u64::from(self.instances)).min(UNITS_PER_TASK);
        score.work <= share || score.work < SUSPECT_PENALTY && self.outstanding(id) == 0
    }

    /// Returns the best endpoint of the first pool that has one with a free place in an allowed data centre.
    fn pick_in(
        &mut self,
        requirement: &Requirement<'_>,
        avoid: &[EndpointId],
        is_allowed: impl Fn(&Centre) -> bool,
    ) -> Option<(Score, EndpointId)> {
        for pool in &requirement.route.pools {
            let Some(groups) = self.groups_by_pool.get(pool) else {
                continue;
            };
            let mut best = None;
            for group in groups.iter().map(|group| &self.groups[*group]) {
                if !is_allowed(&group.centre) || !fits(&requirement.need, &group.resources) {
                    continue;
                }
                if let Some(id) = group.find_trial(requirement.class, avoid) {
                    let score = Score { work: 0, load: 0 };
                    return Some((score, id));
                }
                let Some(found) = group.index.best(avoid, &mut self.random) else {
                    continue;
                };
                if best.is_none_or(|(score, _)| found.0 < score) {
                    best = Some(found);
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Picks an endpoint that was to be avoided, if no other one is eligible.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint can get the task.
    fn pick_avoided(&mut self, requirement: &Requirement<'_>) -> Result<EndpointId, Obstacle> {
        let (mut any_listed, mut any_fits, mut eligible) = (false, false, 0);
        for group in self.reachable_groups(requirement.route) {
            any_listed = true;
            if fits(&requirement.need, &group.resources) {
                any_fits = true;
                eligible += group.count.eligible;
            }
        }
        if any_listed && !any_fits {
            return Err(Obstacle::Impossible);
        }
        if eligible == 0 {
            return Err(Obstacle::NoneEligible);
        }
        let avoided = requirement.avoid.iter().filter(|id| {
            self.entry(**id).is_some_and(|entry| {
                let group = &self.groups[entry.group];
                entry
                    .contribution
                    .is_some_and(|contribution| contribution.eligible)
                    && fits(&requirement.need, &group.resources)
                    && self.may_use(requirement.route, group)
            })
        });
        if avoided.count() < eligible as usize {
            return Err(Obstacle::Full);
        }
        self.pick(requirement, &[]).ok_or(Obstacle::Full)
    }

    /// Iterates over the groups that a route may use.
    fn reachable_groups<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Group> {
        let groups = route
            .pools
            .iter()
            .filter_map(|pool| self.groups_by_pool.get(pool));
        groups
            .flatten()
            .map(|group| &self.groups[*group])
            .filter(|group| self.may_use(route, group))
    }

    /// Returns whether a route may use a group's data centre.
    fn may_use(&self, route: &Route, group: &Group) -> bool {
        group.centre == self.centre
            || route.spill && (route.centres.is_empty() || route.centres.contains(&group.centre))
    }

    fn entry(&self, id: EndpointId) -> Option<&Entry> {
        self.entries.get(id.0 as usize)?.as_ref()
    }

    /// Applies a change to an entry, and moves the entry to its new place in the order.
    fn update_entry(&mut self, id: EndpointId, change: impl FnOnce(&mut Entry)) {
        let Some(Some(entry)) = self.entries.get_mut(id.0 as usize) else {
            return;
        };
        change(entry);
        let contribution =
            Contribution::of(entry, self.policy, self.max_outstanding, self.instances);
        if contribution == entry.contribution {
            return;
        }
        let group = &mut self.groups[entry.group];
        let moved = group.replace(id, entry, contribution);
        if let Some((other, position)) = moved {
            if let Some(Some(entry)) = self.entries.get_mut(other.0 as usize) {
                entry.position = position;
            }
        }
    }
}

/// Returns whether an endpoint with these resources can run a task that needs `need`.
fn fits(need: &Hardware, resources: &Hardware) -> bool {
    need.cores <= resources.cores
        && need.memory_mb <= resources.memory_mb
        && need.accelerators <= resources.accelerators
}
