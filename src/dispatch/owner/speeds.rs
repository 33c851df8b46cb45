//! The speed of endpoints at their owner: what runs show of it, and the choice of an endpoint by it.

use std::collections::BTreeSet;

use super::{
    super::{
        endpoint::State,
        id::RackId,
        message::LogRecord,
        queue::Handle,
        speed::{
            self,
            Candidate,
            Choice,
            Demand,
            Factor,
            Kind,
            Opening, //
        }, //
    },
    Assignment,
    Effects,
    Owner,
    Rack, //
};
use crate::prelude::*;

/// The interval between updates of the speeds that placement goes by. An endpoint ends one or two runs in this time.
const UPDATE_INTERVAL: Span = Span::millis(250);

/// How long fast endpoints are kept for tasks that need them after the last of these has arrived. One arrives at a rack every second
/// or two even where they are a twentieth of the jobs.
const SPEED_NEED_PERIOD: Span = Span::seconds(5);

/// What an owner has learnt about the speeds of its endpoints, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Speeds {
    /// Racks whose endpoints differ in speed.
    pub uneven_racks: usize,
    /// The time that runs take on the fastest endpoint of these racks, in percent of their estimate; zero without such racks.
    pub fastest_percent: usize,
    /// The same of the slowest endpoint.
    pub slowest_percent: usize,
    /// Queued tasks that wait for a faster endpoint although there is room on others.
    pub waiting_tasks: usize,
}

/// Queued tasks that wait for a faster endpoint although there is room on others.
#[derive(Debug, Default)]
pub(super) struct Waits {
    tasks: BTreeSet<(Handle, u32)>,
    /// The endpoints that they wait for.
    endpoints: BTreeSet<Endpoint>,
}

impl Waits {
    pub(super) fn insert(&mut self, handle: Handle, index: u32, endpoint: Endpoint) {
        self.tasks.insert((handle, index));
        self.claim(endpoint);
    }

    /// Records that a task waits for an endpoint, without marking the task.
    pub(super) fn claim(&mut self, endpoint: Endpoint) {
        self.endpoints.insert(endpoint);
    }

    pub(super) fn contains(&self, handle: Handle, index: u32) -> bool {
        self.tasks.contains(&(handle, index))
    }
}

impl Rack {
    /// Records whether an arriving task needs a faster endpoint: whether the `objective` of its queue leaves too little time for the
    /// slowest kind, but enough for the fastest.
    ///
    /// How long it has waited doesn't count: a task that is late for that lacks room rather than speed.
    pub(super) fn record_speed_need(&mut self, estimate: Span, objective: Span, now: Time) {
        let demand = Demand {
            estimate,
            time_left: objective,
        };
        let (fastest, slowest) = self.speed_range;
        if demand.needs_speed(fastest, slowest) {
            self.speed_needed_at = Some(now);
        }
    }

    /// Returns whether tasks are placed by speed: the endpoints differ, and a task that needs a fast one has arrived lately. Otherwise
    /// the best fit serves all tasks, and leaves more room for large ones.
    pub(super) fn places_by_speed(&self, now: Time) -> bool {
        let is_needed = |at| now.since(at) < SPEED_NEED_PERIOD;
        self.speeds_differ && self.speed_needed_at.is_some_and(is_needed)
    }
}

impl Owner {
    /// Records the runs on an endpoint that are done, or discards what was learnt about it if it has restarted.
    pub(super) fn learn_speed(&mut self, id: &Endpoint, now: Time) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let (void, completions) = state.take_completions();
        if void {
            self.speed.forget(id);
            self.next_speed_update = now;
        }
        for run in completions {
            self.speed
                .record(id, state.kind, run.estimate, run.took, now);
        }
    }

    /// Updates the speeds that placement goes by, where that is due. Where the endpoints of a rack don't differ, all count as equal.
    pub(super) fn update_speeds(&mut self, now: Time, out: &mut Effects) {
        if now < self.next_speed_update {
            return;
        }
        self.next_speed_update = now + UPDATE_INTERVAL;
        self.speed.remove_outdated(now);
        for (rack_id, rack) in &mut self.racks {
            let mut factors = Vec::with_capacity(rack.endpoints.len());
            for id in &rack.endpoints {
                let state = self.endpoints.get(id);
                let factor = state.map(|state| self.speed.factor(id, state.kind, now));
                factors.push(factor.unwrap_or_default());
            }
            let differ = speed::differ(factors.iter().copied());
            for (id, factor) in rack.endpoints.iter().zip(&factors) {
                if let Some(state) = self.endpoints.get_mut(id) {
                    state.speed_ratio = if differ { factor.ratio() } else { 1.0 };
                }
            }
            let mut range = (1.0, 1.0);
            if differ {
                let states = rack
                    .endpoints
                    .iter()
                    .filter_map(|id| self.endpoints.get(id));
                let kinds: BTreeSet<Kind> = states.map(|state| state.kind).collect();
                let mut ratios = Vec::with_capacity(kinds.len());
                for kind in kinds {
                    ratios.push(self.speed.kind_factor(kind, now).ratio());
                }
                range = (
                    ratios.iter().copied().fold(f64::INFINITY, f64::min),
                    ratios.iter().copied().fold(0.0, f64::max),
                );
            }
            rack.speed_range = range;
            if differ != rack.speeds_differ {
                rack.speeds_differ = differ;
                rack.room_changed = true;
                rack.review_now();
                log_change(*rack_id, differ, &factors, out);
            }
        }
    }

    /// Returns what was learnt about the speeds of endpoints.
    pub fn speeds(&self) -> Speeds {
        let uneven = || self.racks.values().filter(|rack| rack.speeds_differ);
        let percent = |id| {
            let state: Option<&State> = self.endpoints.get(id);
            state.map(|state| (state.speed_ratio * 100.0).round() as usize)
        };
        let percents = || {
            uneven()
                .flat_map(|rack| &rack.endpoints)
                .filter_map(percent)
        };
        Speeds {
            uneven_racks: uneven().count(),
            fastest_percent: percents().min().unwrap_or(0),
            slowest_percent: percents().max().unwrap_or(0),
            waiting_tasks: self.racks.values().map(|rack| rack.waits.tasks.len()).sum(),
        }
    }
}

/// Chooses among endpoints with room for a task where speeds differ. `usable` has all endpoints of the rack on which the task may start
/// once they have room.
pub(super) fn choose_by_speed<'a>(
    assignment: &Assignment,
    candidates: &[Candidate<&'a State>],
    usable: impl Iterator<Item = &'a State> + Clone,
    waits: &Waits,
    now: Time,
) -> Option<Choice<&'a State>> {
    let batch = &assignment.batch;
    let demand = Demand {
        estimate: batch.estimate,
        time_left: (assignment.due + batch.estimate).since(now),
    };
    let (_, safe_ratio) = demand.limits();
    let (mut free, mut total) = (0, 0);
    for state in usable.clone() {
        if state.predicted_ratio() <= safe_ratio {
            free += state.free.cpu;
            total += state.listing.capacity.cpu;
        }
    }
    let idle_share = free as f64 / total.max(1) as f64;
    // Tasks ahead in the queue wait for the claimed endpoints. The limit of tasks per endpoint may outlast the run that ends.
    let available = |state: &&State| {
        let claimed = waits.endpoints.contains(&state.listing.id);
        !claimed && batch.per_endpoint.is_none() && !state.free.fits(&batch.need)
    };
    let openings = usable.filter(available).filter_map(|state| {
        let opening = |opens_in| Opening {
            endpoint: state,
            ratio: state.predicted_ratio(),
            opens_in,
        };
        state.opens_in(&batch.need, now).map(opening)
    });
    speed::choose(candidates, openings, &demand, idle_share)
}

/// Logs that the endpoints of a rack have been found to differ in speed, or no longer do.
fn log_change(rack: RackId, differ: bool, factors: &[Factor], out: &mut Effects) {
    let record = LogRecord::new(match differ {
        true => "speeds_uneven",
        false => "speeds_even",
    });
    let record = record.with("rack", rack.to_string());
    let mut known: Vec<Factor> = factors.iter().copied().filter(|f| f.is_known()).collect();
    known.sort_by(|one, other| one.ratio().total_cmp(&other.ratio()));
    let text = |factor: Option<&Factor>| factor.map(Factor::to_string).unwrap_or_default();
    let record = record.with("fastest", text(known.first()));
    let record = record.with("slowest", text(known.last()));
    out.log(record.with("endpoints", factors.len()));
}
