//! The order of the endpoints that have the same pool, data centre and resources.

use std::collections::BTreeMap;

use rand::{
    rngs::SmallRng,
    Rng, //
};

use super::{
    entry::{
        Contribution,
        Entry,
        Score, //
    },
    speed::Speeds,
    Slot,
};
use crate::prelude::*;

/// The endpoints with free places, by score; among equal scores the pick is random.
#[derive(Debug, Default)]
pub(super) struct Index {
    buckets: BTreeMap<Score, Vec<Slot>>,
}

impl Index {
    /// Returns the best endpoint that isn't one of `avoid`.
    pub(super) fn first(&self, avoid: &[Slot], random: &mut SmallRng) -> Option<(Score, Slot)> {
        self.buckets.iter().find_map(|(score, bucket)| {
            let start = random.random_range(0..bucket.len());
            let (before, after) = bucket.split_at(start);
            let mut slots = after.iter().chain(before);
            let slot = slots.find(|slot| !avoid.contains(slot))?;
            Some((*score, *slot))
        })
    }

    /// Adds an endpoint, and returns its position among those with the same score.
    fn insert(&mut self, score: Score, slot: Slot) -> usize {
        let bucket = self.buckets.entry(score).or_default();
        bucket.push(slot);
        bucket.len() - 1
    }

    /// Removes an endpoint; returns the one that moved to its position, if any.
    fn remove(&mut self, score: Score, position: usize) -> Option<(Slot, usize)> {
        let bucket = self.buckets.get_mut(&score)?;
        bucket.swap_remove(position);
        if bucket.is_empty() {
            self.buckets.remove(&score);
            return None;
        }
        bucket.get(position).map(|slot| (*slot, position))
    }
}

/// Sums over the endpoints of a group.
#[derive(Debug, Default)]
pub(super) struct Count {
    /// The number of eligible endpoints.
    pub(super) eligible: u32,
    /// The slots of eligible endpoints.
    pub(super) slots: u32,
    /// The tasks that eligible endpoints can get before they reach their limits.
    pub(super) free: u32,
}

/// The endpoints of one pool in one data centre that have the same resources.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) pool: Pool,
    pub(super) centre: Centre,
    pub(super) has: Hardware,
    pub(super) members: u32,
    pub(super) index: Index,
    pub(super) count: Count,
    pub(super) speeds: Speeds,
    /// Endpoints on probation that wait for a task, and whether it may be of any class.
    trials: Vec<(Slot, bool)>,
}

impl Group {
    /// Creates a group without endpoints.
    pub(super) fn new(pool: Pool, centre: Centre, has: Hardware) -> Self {
        Self {
            pool,
            centre,
            has,
            members: 0,
            index: Index::default(),
            count: Count::default(),
            speeds: Speeds::default(),
            trials: Vec::new(),
        }
    }

    /// Returns an endpoint on probation that waits for a task of this class and isn't one of `avoid`.
    pub(super) fn trial(&self, class: Class, avoid: &[Slot]) -> Option<Slot> {
        let mut trials = self.trials.iter();
        trials
            .find(|(slot, any_class)| {
                (*any_class || class.is_repeatable()) && !avoid.contains(slot)
            })
            .map(|(slot, _)| *slot)
    }

    /// Replaces what an entry adds to the group; returns another endpoint whose position has changed by that.
    pub(super) fn replace(
        &mut self,
        slot: Slot,
        entry: &mut Entry,
        new: Option<Contribution>,
    ) -> Option<(Slot, usize)> {
        let moved = entry
            .contribution
            .and_then(|contribution| self.subtract(slot, entry.position, contribution));
        if let Some(contribution) = new {
            entry.position = self.add(slot, contribution);
        }
        entry.contribution = new;
        moved.filter(|(other, _)| *other != slot)
    }

    /// Subtracts a contribution from the group; returns another endpoint that moved to `position`.
    fn subtract(
        &mut self,
        slot: Slot,
        position: usize,
        contribution: Contribution,
    ) -> Option<(Slot, usize)> {
        self.count.eligible -= u32::from(contribution.eligible);
        self.count.slots -= contribution.slots;
        self.count.free -= contribution.free;
        if contribution.trial.is_some() {
            self.trials.retain(|(other, _)| *other != slot);
        }
        contribution
            .score
            .and_then(|score| self.index.remove(score, position))
    }

    /// Adds a contribution to the group; returns the endpoint's position.
    fn add(&mut self, slot: Slot, contribution: Contribution) -> usize {
        self.count.eligible += u32::from(contribution.eligible);
        self.count.slots += contribution.slots;
        self.count.free += contribution.free;
        if let Some(any_class) = contribution.trial {
            self.trials.push((slot, any_class));
        }
        contribution
            .score
            .map_or(0, |score| self.index.insert(score, slot))
    }
}
