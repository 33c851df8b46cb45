//! Runs that are moved away from slow endpoints.

use super::{
    super::{
        endpoint::{
            Fate,
            Phase, //
        },
        id::{
            RackId,
            TaskId, //
        },
        message::LogRecord,
        queue::Handle,
        speed::Choice,
        straggler::{
            Allowance,
            Change,
            Projection,
            Slowdown, //
        },
        task::Resources, //
    },
    speeds::Waits,
    Effects,
    Owner, //
};
use crate::prelude::*;

/// How long after a task of the rack had to wait no run is moved. Work is thrown away by a move, and where capacity is scarce others
/// need what the task would take elsewhere. In the simulated world with 32 seeds, at a load that all endpoints together hardly carry,
/// 1,120 of 5,184 jobs were late with 500 ms, and 1,201 without it; at lower loads nothing changed.
const SCARCE_TIME: Span = Span::millis(500);

impl Owner {
    /// Logs that an endpoint was found slow, or no longer counts as slow.
    pub(super) fn log_pace(&self, id: &Endpoint, change: Change, out: &mut Effects) {
        let record = match change {
            Change::Slow(slowdown) => {
                LogRecord::new("endpoint_slow").with("slowdown", slowdown.to_string())
            }
            Change::Recovered => {
                LogRecord::new("endpoint_recovered").with("reason", "normal speed")
            }
            Change::Forgotten => LogRecord::new("endpoint_recovered").with("reason", "no runs"),
        };
        out.log(record.with("endpoint", id.as_str()));
    }

    /// Stops those runs on a slow endpoint that end sooner elsewhere. Their tasks are queued again once the endpoint has listed the
    /// ends, or its leases have expired.
    pub(super) fn move_runs(&mut self, id: &Endpoint, now: Time, out: &mut Effects) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        if state.slowdown() == Slowdown::NONE {
            return;
        }
        let rack = state.listing.rack_id();
        let mut runs = state.project_runs(now);
        // The run that has most to gain goes first.
        runs.sort_by_key(|(_, _, projection)| std::cmp::Reverse(projection.left));
        for (task, handle, projection) in runs {
            let is_scarce = self.racks.get(&rack).is_none_or(|rack| {
                !rack.queue.is_empty() || now.since(rack.waited_at) < SCARCE_TIME
            });
            if is_scarce || !self.may_move(rack, id, task, handle, projection, now) {
                continue;
            }
            let assignment = self.assignments.get_mut(&handle);
            let task_state = assignment.and_then(|a| a.tasks.get_mut(&task.index));
            let Some(task_state) = task_state else {
                continue;
            };
            task_state.restarts += 1;
            task_state.failed_on = Some(id.clone());
            let record = LogRecord::new("run_moved").job(task.job);
            let record = record.with("task", task.to_string());
            let record = record.with("endpoint", id.as_str());
            let record = record.with("percent", u32::from(projection.percent));
            let record = record.with("left_ms", projection.left);
            out.log(record.with("anew_ms", projection.anew));
            self.stop_run(task, handle, Fate::Restart, out);
        }
    }

    /// Returns whether a run is to be moved: it gains by it, and another endpoint of the rack has free capacity for it now.
    fn may_move(
        &self,
        rack: RackId,
        id: &Endpoint,
        task: TaskId,
        handle: Handle,
        projection: Projection,
        now: Time,
    ) -> bool {
        let Some(assignment) = self.assignments.get(&handle) else {
            return false;
        };
        let Some(task_state) = assignment.tasks.get(&task.index) else {
            return false;
        };
        let time_left = (assignment.due + assignment.batch.estimate).since(now);
        let allowance = Allowance {
            attempts: assignment.batch.attempts,
            failures: task_state.failures,
            restarts: task_state.restarts,
        };
        if !projection.pays_to_move(time_left, allowance) {
            return false;
        }
        let choice = self.pick_endpoint(rack, assignment, task.index, &Waits::default(), now);
        let other = choice.and_then(Choice::start);
        let other = other.and_then(|other| self.endpoints.get(&other));
        let other = other.filter(|o| o.listing.id != *id && o.slowdown() == Slowdown::NONE);
        let need = assignment.batch.need;
        other.is_some_and(|other| {
            let mut free = other.free;
            free.subtract(&self.moving_need(rack));
            free.fits(&need)
        })
    }

    /// Returns what the runs of a rack need that are being stopped so that they start elsewhere.
    fn moving_need(&self, rack: RackId) -> Resources {
        let rack = self.racks.get(&rack);
        let ids = rack.into_iter().flat_map(|rack| &rack.endpoints);
        let states = ids.filter_map(|id| self.endpoints.get(id));
        let runs = states.flat_map(|state| state.executions.values());
        let moving = runs.filter(|r| r.phase == Phase::Stopping && r.fate == Fate::Restart);
        moving.fold(Resources::default(), |sum, run| Resources {
            cpu: sum.cpu + run.need.cpu,
            memory: sum.memory + run.need.memory,
            gpu: sum.gpu + run.need.gpu,
        })
    }
}
