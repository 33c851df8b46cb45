//! Placement: which endpoint gets a task.
//!
//! The endpoint with the fewest tasks of this instance for each of its slots gets the next one, weighted by how
//! slow the endpoint has been lately; ties go by the load that its last answer reported, then at random.
//! Endpoints that have room are kept in order, so a decision takes the first that fits.

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
        STEPS, //
    },
    index::Group,
};
use crate::{
    endpoint::wire::Load,
    prelude::*,
    record::route::Route,
    table::wire::{
        State,
        Worker, //
    },
};

/// How often the instances together fill the slots of an endpoint before a task goes to another data centre.
///
/// Their loads vary, so that the endpoint is seldom full for as long as each has no more than this part.
const BUSY: u64 = 3;

/// What is added to the score of a suspect endpoint, which puts it behind all others.
const SUSPECT_PENALTY: u64 = 1 << 40;

/// An endpoint's index in the table; never reused for another endpoint while work is outstanding.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Slot(pub u32);

/// How an endpoint is picked among those that have room.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Policy {
    /// At random.
    Random,
    /// Fewest own outstanding tasks, ties at random.
    Outstanding,
    /// Fewest own outstanding tasks, ties by the load last reported, then at random.
    #[default]
    OutstandingThenLoad,
    /// Own outstanding tasks and the load last reported added up.
    OutstandingPlusLoad,
}

/// What a task asks of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirement<'a> {
    /// The route of its service.
    pub route: &'a Route,
    /// What it needs.
    pub need: Hardware,
    /// How often it may run: endpoints on probation get idempotent tasks only.
    pub class: Class,
    /// Endpoints that get it only when no other is eligible.
    pub avoid: &'a [Slot],
}

/// Why a task can't be placed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Obstacle {
    /// No endpoint that was ever listed could run it.
    Impossible,
    /// None that could run it is eligible now.
    NoneEligible,
    /// All that could run it are at their bound.
    Full,
}

/// What health allows an endpoint to get.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Eligibility {
    /// Everything.
    #[default]
    Good,
    /// What no other endpoint takes.
    Suspect,
    /// One idempotent task at a time.
    Probation,
    /// One task of any class at a time.
    Trial,
    /// Nothing.
    Ejected,
}

/// What a new list changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    /// An endpoint is new, or is back under its old slot.
    Added(Slot),
    /// Its entry in the list has changed.
    Updated(Slot),
    /// It is leaving.
    Leaving(Slot),
    /// It is not listed any more.
    Absent(Slot),
    /// It is forgotten, and the slot may be used for another.
    Dropped(Slot),
}

/// Sums over all endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Total {
    /// Tasks of this instance that are outstanding.
    pub outstanding: u32,
    /// Endpoints that take work.
    pub eligible: u32,
}

/// The endpoints, in the order in which they are to get work.
#[derive(Debug)]
pub struct Placement {
    centre: Centre,
    outstanding: u32,
    instances: u32,
    policy: Policy,
    random: SmallRng,
    entries: Vec<Option<Entry>>,
    spare: Vec<Slot>,
    names: HashMap<Endpoint, Slot>,
    groups: Vec<Group>,
    pools: HashMap<Pool, Vec<usize>>,
    list: u64,
    placed: u32,
}

impl Placement {
    /// Makes an empty table for an instance in `centre` that has at most `outstanding` tasks at one endpoint.
    pub fn new(centre: Centre, outstanding: u32, seed: u64) -> Self {
        Self {
            centre,
            outstanding: outstanding.max(1),
            instances: 1,
            policy: Policy::default(),
            random: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            spare: Vec::new(),
            names: HashMap::new(),
            groups: Vec::new(),
            pools: HashMap::new(),
            list: 0,
            placed: 0,
        }
    }

    /// Sets another policy; it is meant for measurements, before anything is listed.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Picks an endpoint, and counts the task as outstanding there.
    ///
    /// # Errors
    ///
    /// Tells what stands in the way; nothing is counted then.
    pub fn place(&mut self, requirement: &Requirement<'_>) -> Result<Slot, Obstacle> {
        let slot = match self.pick(requirement, requirement.avoid) {
            Some(slot) => slot,
            None => self.pick_avoided(requirement)?,
        };
        self.placed += 1;
        self.change(slot, |entry| entry.outstanding += 1);
        Ok(slot)
    }

    /// Frees a place at an endpoint, and learns from the load that it reported and from how long the task took.
    ///
    /// A task that failed is to give no time: an endpoint that fails at once would look fast.
    pub fn on_task_end(&mut self, slot: Slot, took: Option<Span>, load: Option<Load>) {
        let Some(group) = self.entry(slot).map(|entry| entry.group) else {
            return;
        };
        self.placed = self.placed.saturating_sub(1);
        let mean = self.groups[group].speeds.mean();
        let mut shift = None;
        self.change(slot, |entry| {
            debug_assert!(entry.outstanding > 0, "ended more tasks than were placed");
            entry.outstanding = entry.outstanding.saturating_sub(1);
            if let Some(load) = load {
                entry.load = load.running.saturating_add(load.queued);
            }
            if let Some(took) = took {
                shift = Some(entry.speed.learn(took));
                entry.factor = entry.speed.factor(mean);
            }
        });
        if let Some((before, after)) = shift {
            self.groups[group].speeds.shift(before, after);
        }
    }

    /// Marks an endpoint that reported that it is leaving.
    pub fn mark_leaving(&mut self, slot: Slot) {
        let list = self.list;
        self.change(slot, |entry| entry.leaving_since = Some(list));
    }

    /// Ejects an endpoint, or returns it.
    pub fn set_eligible(&mut self, slot: Slot, yes: bool) {
        self.set_eligibility(
            slot,
            if yes {
                Eligibility::Good
            } else {
                Eligibility::Ejected
            },
        );
    }

    /// Sets what health allows an endpoint to get.
    pub fn set_eligibility(&mut self, slot: Slot, eligibility: Eligibility) {
        self.change(slot, |entry| entry.eligibility = eligibility);
    }

    /// Returns an endpoint's entry in the list.
    pub fn endpoint(&self, slot: Slot) -> Option<&Worker> {
        self.entry(slot).map(|entry| &entry.worker)
    }

    /// Returns how many tasks of this instance are outstanding at an endpoint.
    pub fn outstanding(&self, slot: Slot) -> u32 {
        self.entry(slot).map_or(0, |entry| entry.outstanding)
    }

    /// Finds an endpoint by its name.
    pub fn find(&self, name: &Endpoint) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// Returns the sums over all endpoints.
    pub fn total(&self) -> Total {
        Total {
            outstanding: self.placed,
            eligible: self.groups.iter().map(|group| group.count.eligible).sum(),
        }
    }

    /// Tells whether an endpoint that the route may use could ever run a task, as far as the lists so far have shown.
    pub fn is_possible(&self, route: &Route, need: Hardware) -> bool {
        let mut groups = self.reach(route).peekable();
        groups.peek().is_none() || groups.any(|group| fits(&need, &group.has))
    }

    /// Returns how many places below the bound the route has now.
    pub fn free_places(&self, route: &Route) -> u32 {
        self.reach(route).map(|group| group.count.free).sum()
    }

    /// Returns how many slots the eligible endpoints of the route have.
    pub fn slots(&self, route: &Route) -> u32 {
        self.reach(route).map(|group| group.count.slots).sum()
    }

    /// Returns the first endpoint in order that has room, none of `avoid`.
    ///
    /// The own data centre goes first while one of its endpoints is likely to start the task at once. Once none is, a
    /// task would wait there, mostly for longer than the way to another data centre takes; so one that goes to
    /// another whose endpoints have less to do is ahead.
    fn pick(&mut self, requirement: &Requirement<'_>, avoid: &[Slot]) -> Option<Slot> {
        let own = self.centre.clone();
        let near = self.pick_in(requirement, avoid, |centre| *centre == own);
        if !requirement.route.spill || near.is_some_and(|near| self.idle(near)) {
            return near.map(|(_, slot)| slot);
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
            if found.is_some_and(|found| self.idle(found)) {
                far = found;
                break;
            }
            far = far.or(found);
        }
        let last = near.is_none_or(|(score, _)| score.work >= SUSPECT_PENALTY);
        let far = far.filter(|far| last || self.idle(*far));
        far.or(near).map(|(_, slot)| slot)
    }

    /// Tells whether an endpoint is likely to start a task at once: this instance has no task there, or no more than
    /// its part of what keeps the slots busy.
    fn idle(&self, (score, slot): (Score, Slot)) -> bool {
        let part = (STEPS * BUSY / u64::from(self.instances)).min(STEPS);
        score.work <= part || score.work < SUSPECT_PENALTY && self.outstanding(slot) == 0
    }

    /// Returns the best endpoint of the first pool that has room in the data centres that `allowed` names.
    fn pick_in(
        &mut self,
        requirement: &Requirement<'_>,
        avoid: &[Slot],
        allowed: impl Fn(&Centre) -> bool,
    ) -> Option<(Score, Slot)> {
        for pool in &requirement.route.pools {
            let Some(groups) = self.pools.get(pool) else {
                continue;
            };
            let mut best = None;
            for group in groups.iter().map(|group| &self.groups[*group]) {
                if !allowed(&group.centre) || !fits(&requirement.need, &group.has) {
                    continue;
                }
                if let Some(slot) = group.trial(requirement.class, avoid) {
                    let score = Score { work: 0, load: 0 };
                    return Some((score, slot));
                }
                let Some(found) = group.index.first(avoid, &mut self.random) else {
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

    /// Goes back to an endpoint that was to be avoided, when there is no other that is eligible.
    fn pick_avoided(&mut self, requirement: &Requirement<'_>) -> Result<Slot, Obstacle> {
        let (mut known, mut fit, mut eligible) = (false, false, 0);
        for group in self.reach(requirement.route) {
            known = true;
            if fits(&requirement.need, &group.has) {
                fit = true;
                eligible += group.count.eligible;
            }
        }
        if known && !fit {
            return Err(Obstacle::Impossible);
        }
        if eligible == 0 {
            return Err(Obstacle::NoneEligible);
        }
        let avoided = requirement.avoid.iter().filter(|slot| {
            self.entry(**slot).is_some_and(|entry| {
                let group = &self.groups[entry.group];
                entry
                    .contribution
                    .is_some_and(|contribution| contribution.eligible)
                    && fits(&requirement.need, &group.has)
                    && self.reaches(requirement.route, group)
            })
        });
        if avoided.count() < eligible as usize {
            return Err(Obstacle::Full);
        }
        self.pick(requirement, &[]).ok_or(Obstacle::Full)
    }

    /// Iterates over the groups that a route may use.
    fn reach<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Group> {
        let groups = route.pools.iter().filter_map(|pool| self.pools.get(pool));
        groups
            .flatten()
            .map(|group| &self.groups[*group])
            .filter(|group| self.reaches(route, group))
    }

    fn reaches(&self, route: &Route, group: &Group) -> bool {
        group.centre == self.centre
            || route.spill && (route.centres.is_empty() || route.centres.contains(&group.centre))
    }

    fn entry(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(slot.0 as usize)?.as_ref()
    }

    /// Changes an entry, and moves it to its new place in the order.
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Entry)) {
        let Some(Some(entry)) = self.entries.get_mut(slot.0 as usize) else {
            return;
        };
        change(entry);
        let contribution = Contribution::of(entry, self.policy, self.outstanding, self.instances);
        if contribution == entry.contribution {
            return;
        }
        let group = &mut self.groups[entry.group];
        let moved = group.replace(slot, entry, contribution);
        if let Some((other, position)) = moved {
            if let Some(Some(entry)) = self.entries.get_mut(other.0 as usize) {
                entry.position = position;
            }
        }
    }
}

/// Tells whether an endpoint that has `has` could run a task that needs `need`.
fn fits(need: &Hardware, has: &Hardware) -> bool {
    need.cores <= has.cores
        && need.memory_mb <= has.memory_mb
        && need.accelerators <= has.accelerators
}
