//! The queue of tasks that wait for an endpoint: fair between teams, longest task first within a job.
//!
//! Start-time fair queueing: each team has a virtual time, which advances by the expected run time of every task that
//! it takes from the queue, divided by its weight. The team with the lowest virtual time goes next.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    }, //
};

use crate::prelude::*;

/// The units of virtual time for a microsecond of work at weight 1.
const UNITS_PER_MICRO: u128 = 1 << 10;

/// The shortest run time that a task is charged. Prevents tasks with tiny declared run times from always going first.
const MIN_CHARGE: Span = Span::millis(1);

/// The longest run time that a task is charged. Limits how long a wrong declaration delays its team.
const MAX_CHARGE: Span = Span::seconds(10);

/// The minimum number of teams at which those without waiting tasks and without debt are removed.
const MIN_SWEEP_TEAMS: usize = 64;

/// The number of idle teams beyond which they are removed even with debt.
///
/// Prevents memory exhaustion by callers that make up new team names.
const MAX_IDLE_TEAMS: usize = 1 << 12;

/// A task that waits for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Item {
    /// The number of the task's job.
    pub job: u64,
    /// The task's index in the job.
    pub task: u32,
}

/// The order of a team's tasks: oldest job first, then longest task first, then oldest entry first.
type Order = (u64, Reverse<Span>, u64);

/// The waiting tasks of one team, which fair queueing calls a flow.
#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    virtual_time: u128,
    items: BTreeMap<Order, T>,
}

/// A bounded queue of waiting tasks.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    len: usize,
    next_serial: u64,
    virtual_time: u128,
    /// The number of teams at which idle ones are removed next.
    sweep_at: usize,
    flows: HashMap<Team, Flow<T>>,
    order: BTreeSet<(u128, Team)>,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `capacity` tasks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            next_serial: 0,
            virtual_time: 0,
            sweep_at: MIN_SWEEP_TEAMS,
            flows: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Adds a task, and sets the weight of its team.
    ///
    /// # Errors
    ///
    /// Returns the task if the queue is full.
    pub fn push(
        &mut self,
        team: &Team,
        weight: u32,
        job: u64,
        expected: Span,
        item: T,
    ) -> Result<(), T> {
        if self.len >= self.capacity {
            return Err(item);
        }
        self.remove_idle_teams();
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
            .insert((job, Reverse(expected), self.next_serial), item);
        self.next_serial += 1;
        self.len += 1;
        Ok(())
    }

    /// Returns the next task without removing it.
    pub fn peek(&self) -> Option<&T> {
        let (_, team) = self.order.first()?;
        self.flows.get(team)?.items.values().next()
    }

    /// Removes and returns the next task, and charges its team the expected run time.
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

    /// Replaces the expected run time that a team was charged for a task by the actual one.
    ///
    /// Prevents a team from getting more than its share by declaring run times that are too short.
    pub fn charge_run_time(&mut self, team: &Team, expected: Span, took: Span) {
        let Some(flow) = self.flows.get_mut(team) else {
            return;
        };
        let charged = cost(expected, flow.weight);
        let actual = cost(took, flow.weight);
        let before = flow.virtual_time;
        flow.virtual_time = before.saturating_sub(charged).saturating_add(actual);
        if !flow.items.is_empty() {
            self.order.remove(&(before, team.clone()));
            self.order.insert((flow.virtual_time, team.clone()));
        }
    }

    /// Removes and returns the waiting tasks of a job.
    pub fn remove_job(&mut self, team: &Team, job: u64) -> Vec<T> {
        let Some(flow) = self.flows.get_mut(team) else {
            return Vec::new();
        };
        let first = (job, Reverse(Span(u64::MAX)), 0);
        let last = (job, Reverse(Span(0)), u64::MAX);
        let keys: Vec<Order> = flow
            .items
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        let removed: Vec<T> = keys
            .iter()
            .filter_map(|key| flow.items.remove(key))
            .collect();
        self.len -= removed.len();
        if flow.items.is_empty() {
            self.order.remove(&(flow.virtual_time, team.clone()));
        }
        removed
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of teams, idle ones included.
    pub fn teams(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes idle teams each time the number of teams has doubled.
    fn remove_idle_teams(&mut self) {
        if self.flows.len() < self.sweep_at {
            return;
        }
        let now = self.virtual_time;
        let too_many = self.flows.len() - self.order.len() > MAX_IDLE_TEAMS;
        self.flows.retain(|_, flow| {
            let keeps_debt = flow.virtual_time > now && !too_many;
            !flow.items.is_empty() || keeps_debt
        });
        self.sweep_at = MIN_SWEEP_TEAMS.max(2 * self.flows.len());
    }
}

/// Returns by how much a task of this run time advances its team's virtual time.
fn cost(span: Span, weight: u32) -> u128 {
    let span = span.clamp(MIN_CHARGE, MAX_CHARGE);
    u128::from(span.0) * UNITS_PER_MICRO / u128::from(weight.max(1))
}
