//! Placement: which task starts next, and on which endpoint.

use std::collections::BTreeMap;

use super::{
    super::{
        endpoint::{
            Execution,
            Standing,
            State, //
        },
        id::{
            RackId,
            TaskId, //
        },
        message::{
            Cause,
            Message,
            Outcome,
            Record, //
        },
        queue::{
            Handle,
            Waiting, //
        },
        task::Resources, //
    },
    Effects,
    Load,
    Owner,
    Purpose, //
};
use crate::prelude::*;

/// Tasks that wait whose need is tried against the endpoints, when those before them don't fit: callers' needs
/// differ little, so a longer look seldom finds one that does.
const LOOK_AHEAD: usize = 24;

/// The share of its estimate that a task takes at the least: estimates are off by up to four tenths.
const LEAST_SHARE: f64 = 0.6;

/// Between looks through a queue while nothing happens that may let a task start but that time passes: a rest ends, or the time of what
/// waits is over.
///
/// Gone through after each message that came, heartbeats among them, a queue of some dozens took processor time that small instances lack
/// when load is at its worst.
const REVIEW: Span = Span::millis(10);

/// A need and a label for which there is no room, and whether the rack could ever have it.
type Misfit = (Resources, Option<String>, bool);

impl Owner {
    /// Does what is due: places what waits, looks where something runs, gives up what has lapsed.
    pub fn process_due(&mut self, now: Time, out: &mut Effects) {
        self.lapse(now, out);
        self.release(now);
        self.retry(now, out);
        let racks: Vec<RackId> = self.racks.keys().copied().collect();
        for rack in racks {
            self.place(rack, now, out);
        }
        self.look(now, out);
    }

    pub(super) fn lapse(&mut self, now: Time, out: &mut Effects) {
        let ids: Vec<Endpoint> = self
            .endpoints
            .iter()
            .filter(|(_, s)| s.standing == Standing::Silent && !s.executions.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let events = match self.endpoints.get_mut(&id) {
                Some(state) => state.lapse(now),
                None => continue,
            };
            self.act(&id, events, now, out);
        }
    }

    pub(super) fn look(&mut self, now: Time, out: &mut Effects) {
        let due = |(id, state): (&Endpoint, &State)| (state.next_look() <= now).then(|| id.clone());
        let ids: Vec<Endpoint> = self.endpoints.iter().filter_map(due).collect();
        for id in ids {
            let call = self.next_call();
            let Some(state) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let fresh = state.standing == Standing::Silent;
            if let Some(order) = state.look(call, now) {
                self.send(call, &id, order, Purpose::Look, fresh, out);
            }
        }
    }

    /// Starts tasks that wait on a rack, as far as there is room.
    pub(super) fn place(&mut self, id: RackId, now: Time, out: &mut Effects) {
        let Some(rack) = self.racks.get_mut(&id) else {
            return;
        };
        if rack.queue.is_empty() || now < rack.next_review {
            return;
        }
        rack.next_review = now + REVIEW;
        rack.queue.turn(now);
        let waiting: Vec<Waiting> = rack.queue.iter().collect();
        let mut misfits: Vec<Misfit> = Vec::new();
        let mut hopeless = Vec::new();
        let mut stale = false;
        let mut unfit: BTreeMap<Handle, Vec<u32>> = BTreeMap::new();
        for waiting in waiting {
            let Some(load) = self.loads.get(&waiting.batch) else {
                continue;
            };
            let least = Span((load.batch.estimate.0 as f64 * LEAST_SHARE) as u64);
            if now + least > load.until {
                hopeless.push(waiting.batch);
                continue;
            }
            let (need, label) = (load.batch.need, load.batch.label.as_ref());
            let task = load.task(waiting.index);
            let absent = !self.present.contains(&load.entry.name);
            if absent || self.busy.contains_key(&task) {
                continue;
            }
            let same = |(n, l, _): &&Misfit| *n == need && l.as_ref() == label;
            let carried = match misfits.iter().find(same) {
                Some((.., carried)) => *carried,
                None => {
                    if let Some(endpoint) = self.pick(id, load, waiting.index, now) {
                        self.start(id, &endpoint, waiting, task, now, out);
                        continue;
                    }
                    let carried = self.carries(id, load);
                    match load.suspicion(waiting.index).is_present() {
                        // What it waits for is another thing than room.
                        true => stale = true,
                        false => misfits.push((need, label.cloned(), carried)),
                    }
                    carried
                }
            };
            if !carried {
                unfit.entry(waiting.batch).or_default().push(waiting.index);
            } else if now + least > load.useful && !load.started {
                hopeless.push(waiting.batch);
            } else if misfits.len() > LOOK_AHEAD {
                break;
            }
        }
        if stale {
            self.freshen(id, now);
        }
        for (handle, tasks) in unfit {
            self.send_tasks_back(handle, tasks, Cause::Unfit, out);
        }
        hopeless.dedup();
        for handle in hopeless {
            if let Some(load) = self.loads.get(&handle) {
                let record = Record::new("batch_hopeless").job(load.batch.job);
                let record = record.with("left_ms", load.until.since(now));
                out.log(record.with("estimate_ms", load.batch.estimate));
            }
            self.finish(handle, Outcome::Hopeless, out);
        }
    }

    /// Asks the endpoints of a rack that haven't answered lately whether they are there, for a task under which others may have crashed.
    fn freshen(&mut self, rack: RackId, now: Time) {
        let Some(rack) = self.racks.get(&rack) else {
            return;
        };
        for id in &rack.endpoints {
            if let Some(state) = self.endpoints.get_mut(id) {
                state.freshen(now);
            }
        }
    }

    /// Tells whether an endpoint of a rack could ever run a batch's tasks: its data centre may have been evacuated since it was
    /// sent here, or an endpoint's capacity may have shrunk. Left waiting, the tasks would wait until their caller gives up.
    fn carries(&self, rack: RackId, load: &Load) -> bool {
        let Some(rack) = self.racks.get(&rack) else {
            return false;
        };
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        let (need, label) = (&load.batch.need, load.batch.label.as_ref());
        states.into_iter().any(|state| state.carries(need, label))
    }

    /// Picks the endpoint that a task fits in most closely, so that wide gaps stay for wide tasks; for one under which endpoints may
    /// have crashed, the one where the least would be lost, or where the fewest others run that may have crashed them, and only
    /// one that has answered just now: sent to one that is cut off, its run would seem to have crashed that.
    fn pick(&self, rack: RackId, load: &Load, index: u32, now: Time) -> Option<Endpoint> {
        let batch = &load.batch;
        let suspicion = load.suspicion(index);
        let fits = |state: &&State| {
            let of_step = |(task, _): &(&TaskId, &Execution)| {
                task.job == batch.job && task.step == batch.step
            };
            let spread = batch
                .per_endpoint
                .is_none_or(|most| state.executions.iter().filter(of_step).count() < most as usize);
            let carried = state.carries(&batch.need, batch.label.as_ref());
            let there = !suspicion.is_present() || state.is_fresh(now);
            there && state.takes(now) && state.free.fits(&batch.need) && carried && spread
        };
        let rack = self.racks.get(&rack)?;
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        let failed_on = load.tasks.get(&index);
        let failed_on = failed_on.and_then(|progress| progress.failed_on.as_ref());
        // The only one that can run it is better than none.
        let sound = |state: &State, than: &Endpoint| {
            let other = state.listing.id != *than && state.standing == Standing::Open;
            other && state.carries(&batch.need, batch.label.as_ref())
        };
        let avoided = failed_on.filter(|id| states.clone().any(|state| sound(state, id)));
        let beside = |state: &State| {
            if suspicion.is_strong() {
                state.executions.len()
            } else if suspicion.is_present() {
                state.doubtful()
            } else {
                0
            }
        };
        let best = states.filter(fits);
        let best = best.filter(|state| Some(&state.listing.id) != avoided);
        let best = best.min_by_key(|state| (beside(state), state.free.cpu))?;
        Some(best.listing.id.clone())
    }

    pub(super) fn start(
        &mut self,
        rack: RackId,
        id: &Endpoint,
        waiting: Waiting,
        task: TaskId,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(load) = self.loads.get_mut(&waiting.batch) else {
            return;
        };
        let Some(progress) = load.tasks.get_mut(&waiting.index) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let run = progress.next;
        progress.next = run.next();
        if load.batch.stored && !load.started {
            out.tell(&load.entry, Message::Begun(load.batch.serial));
        }
        load.started = true;
        let mut execution =
            Execution::new(waiting.batch, run, load.batch.need, load.batch.estimate);
        execution.stored = load.batch.stored;
        execution.suspicion = progress.suspicion;
        let Some(order) = state.start(task, execution, load.batch.spec.clone(), now) else {
            return;
        };
        self.busy.insert(task, id.clone());
        if let Some(rack) = self.racks.get_mut(&rack) {
            rack.queue.remove(waiting);
            rack.changed = true;
        }
        let record = Record::routine("task_started").job(task.job);
        let record = record.with("task", task.to_string()).with("run", run.0);
        out.log(record.with("endpoint", id.as_str()));
        let purpose = Purpose::Start(task, run);
        self.call(id, order, purpose, false, out);
    }
}
