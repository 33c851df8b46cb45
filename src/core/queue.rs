//! The order in which waiting tasks get their places: fair between teams, longest first within a job.
//!
//! Start-time fair queueing: every team has a virtual time that moves on by the expected time of what it takes,
//! divided by its weight, and the team that is furthest behind goes next.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
};

use crate::prelude::*;

/// The steps of virtual time in a microsecond of work at weight 1.
const STEPS: u128 = 1 << 10;

/// The least that a task counts, so that tasks declared to take no time don't go first for ever.
const LEAST: Span = Span::millis(1);

/// The most that a task counts: a wrong declaration shuts a team out for no longer than this.
const MOST: Span = Span::seconds(10);

/// Teams that are remembered before those that wait for nothing and owe nothing are forgotten.
const TEAMS: usize = 64;

/// Teams that are remembered before all that wait for nothing are forgotten, debts or not.
///
/// Callers name their teams: without a bound, ever new names would fill the memory.
const MOST_TEAMS: usize = 1 << 12;

/// A task that waits for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Item {
    /// The number of its job.
    pub job: u64,
    /// Its place in the job.
    pub task: u32,
}

/// The place of a task within its team: the oldest job first, and in it the longest task first.
type Place = (u64, Reverse<Span>, u64);

/// The waiting tasks of one team: a flow, as fair queueing calls it.
#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    virtual_time: u128,
    items: BTreeMap<Place, T>,
}

/// Waiting tasks, a bounded number of them.
#[derive(Debug)]
pub struct Queue<T> {
    bound: usize,
    len: usize,
    serial: u64,
    virtual_time: u128,
    sweep: usize,
    flows: HashMap<Team, Flow<T>>,
    order: BTreeSet<(u128, Team)>,
}

impl<T> Queue<T> {
    /// Makes an empty queue for at most `bound` tasks.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            len: 0,
            serial: 0,
            virtual_time: 0,
            sweep: TEAMS,
            flows: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Adds a task; a team's newest weight counts.
    ///
    /// # Errors
    ///
    /// Gives the task back when the queue is full.
    pub fn push(
        &mut self,
        team: &Team,
        weight: u32,
        job: u64,
        expected: Span,
        item: T,
    ) -> Result<(), T> {
        if self.len >= self.bound {
            return Err(item);
        }
        self.forget_idle();
        let now = self.virtual_time;
        let flow = self.flows.entry(team.clone()).or_insert_with(|| Flow {
            weight,
            virtual_time: now,
            items: BTreeMap::new(),
        });
        flow.weight = weight.max(1);
        if flow.items.is_empty() {
            flow.virtual_time = flow.virtual_time.max(now);
            self.order.insert((flow.virtual_time, team.clone()));
        }
        flow.items
            .insert((job, Reverse(expected), self.serial), item);
        self.serial += 1;
        self.len += 1;
        Ok(())
    }

    /// Returns the task that goes next.
    pub fn peek(&self) -> Option<&T> {
        let (_, team) = self.order.first()?;
        self.flows.get(team)?.items.values().next()
    }

    /// Takes the task that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let (virtual_time, team) = self.order.pop_first()?;
        self.virtual_time = virtual_time;
        let flow = self.flows.get_mut(&team)?;
        let ((_, Reverse(expected), _), item) = flow.items.pop_first()?;
        flow.virtual_time += cost(expected, flow.weight);
        if !flow.items.is_empty() {
            self.order.insert((flow.virtual_time, team));
        }
        self.len -= 1;
        Some(item)
    }

    /// Charges a team for the time that a task took beyond what was expected; a declaration that is too short buys
    /// nothing that way.
    pub fn charge_run_time(&mut self, team: &Team, expected: Span, took: Span) {
        let Some(flow) = self.flows.get_mut(team) else {
            return;
        };
        let charged = cost(expected, flow.weight);
        let due = cost(took, flow.weight);
        let before = flow.virtual_time;
        flow.virtual_time = before.saturating_sub(charged).saturating_add(due);
        if !flow.items.is_empty() {
            self.order.remove(&(before, team.clone()));
            self.order.insert((flow.virtual_time, team.clone()));
        }
    }

    /// Removes the tasks of a job.
    pub fn remove_job(&mut self, team: &Team, job: u64) -> Vec<T> {
        let Some(flow) = self.flows.get_mut(team) else {
            return Vec::new();
        };
        let first = (job, Reverse(Span(u64::MAX)), 0);
        let last = (job, Reverse(Span(0)), u64::MAX);
        let places: Vec<Place> = flow.items.range(first..=last).map(|(p, _)| *p).collect();
        let removed: Vec<T> = places.iter().filter_map(|p| flow.items.remove(p)).collect();
        self.len -= removed.len();
        if flow.items.is_empty() {
            self.order.remove(&(flow.virtual_time, team.clone()));
        }
        removed
    }

    /// Returns how many tasks wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns how many teams are remembered.
    pub fn teams(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Forgets idle teams, whenever their number has doubled.
    fn forget_idle(&mut self) {
        if self.flows.len() < self.sweep {
            return;
        }
        let now = self.virtual_time;
        let crowded = self.flows.len() - self.order.len() > MOST_TEAMS;
        self.flows.retain(|_, flow| {
            let owes = flow.virtual_time > now && !crowded;
            !flow.items.is_empty() || owes
        });
        self.sweep = TEAMS.max(2 * self.flows.len());
    }
}

/// Returns how far a task moves its team's virtual time on.
fn cost(span: Span, weight: u32) -> u128 {
    let span = span.clamp(LEAST, MOST);
    u128::from(span.0) * STEPS / u128::from(weight.max(1))
}
