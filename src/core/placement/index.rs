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
    EndpointId, //
};
use crate::prelude::*;

/// The endpoints with free places, by score; among equal scores the pick is random.
#[derive(Debug, Default)]
pub(super) struct Index {
    buckets: BTreeMap<Score, Vec<EndpointId>>,
}

impl Index {
    /// Returns the best endpoint that isn't one of `avoid`.
    pub(super) fn best(
        &self,
        avoid: &[EndpointId],
        random: &mut SmallRng,
    ) -> Option<(Score, EndpointId)> {
        self.buckets.iter().find_map(|(score, bucket)| {
            let start = random.random_range(0..bucket.len());
            let (before, after) = bucket.split_at(start);
            let mut ids = after.iter().chain(before);
            let id = ids.find(|id| !avoid.contains(id))?;
            Some((*score, *id))
        })
    }

    /// Adds an endpoint, and returns its position among those with the same score.
    fn insert(&mut self, score: Score, id: EndpointId) -> usize {
        let bucket = self.buckets.entry(score).or_default();
        bucket.push(id);
        bucket.len() - 1
    }

    /// Removes an endpoint; returns the one that moved to its position, if any.
    fn remove(&mut self, score: Score, position: usize) -> Option<(EndpointId, usize)> {
        let bucket = self.buckets.get_mut(&score)?;
        bucket.swap_remove(position);
        if bucket.is_empty() {
            self.buckets.remove(&score);
            return None;
        }
        bucket.get(position).map(|id| (*id, position))
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
    pub(super) resources: Hardware,
    pub(super) members: u32,
    pub(super) index: Index,
    pub(super) count: Count,
    pub(super) speeds: Speeds,
    /// Endpoints on probation that wait for a task, and whether it may be of any class.
    trials: Vec<(EndpointId, bool)>,
}

impl Group {
    /// Creates a group without endpoints.
    pub(super) fn new(pool: Pool, centre: Centre, resources: Hardware) -> Self {
        Self {
            pool,
            centre,
            resources,
            members: 0,
            index: Index::default(),
            count: Count::default(),
            speeds: Speeds::default(),
            trials: Vec::new(),
        }
    }

    /// Returns an endpoint on probation that waits for a task of this class and isn't one of `avoid`.
    pub(super) fn find_trial(&self, class: Class, avoid: &[EndpointId]) -> Option<EndpointId> {
        let mut trials = self.trials.iter();
        trials
            .find(|(id, any_class)| (*any_class || class.is_repeatable()) && !avoid.contains(id))
            .map(|(id, _)| *id)
    }

    /// Replaces what an entry adds to the group; returns another endpoint whose position has changed by that.
    pub(super) fn replace(
        &mut self,
        id: EndpointId,
        entry: &mut Entry,
        new: Option<Contribution>,
    ) -> Option<(EndpointId, usize)> {
        let moved = entry
            .contribution
            .and_then(|contribution| self.subtract(id, entry.position, contribution));
        if let Some(contribution) = new {
            entry.position = self.add(id, contribution);
        }
        entry.contribution = new;
        moved.filter(|(other, _)| *other != id)
    }

    /// Subtracts a contribution from the group; returns another endpoint that moved to `position`.
    fn subtract(
        &mut self,
        id: EndpointId,
        position: usize,
        contribution: Contribution,
    ) -> Option<(EndpointId, usize)> {
        self.count.eligible -= u32::from(contribution.eligible);
        self.count.slots -= contribution.slots;
        self.count.free -= contribution.free;
        if contribution.trial.is_some() {
            self.trials.retain(|(other, _)| *other != id);
        }
        contribution
            .score
            .and_then(|score| self.index.remove(score, position))
    }

    /// Adds a contribution to the group; returns the endpoint's position.
    fn add(&mut self, id: EndpointId, contribution: Contribution) -> usize {
        self.count.eligible += u32::from(contribution.eligible);
        self.count.slots += contribution.slots;
        self.count.free += contribution.free;
        if let Some(any_class) = contribution.trial {
            self.trials.push((id, any_class));
        }
        contribution
            .score
            .map_or(0, |score| self.index.insert(score, id))
    }
}
