//! Tasks that are held back, so that the rack keeps room for more urgent ones.

use super::{
    super::{
        endpoint::State,
        headroom::{
            self,
            Reserve,
            DEMAND_PERIOD, //
        },
        id::RackId,
        message::LogRecord,
        task::Resources, //
    },
    Assignment,
    Effects,
    Owner,
    Rack, //
};
use crate::prelude::*;

/// How many tasks a review of a queue checks against the headroom and holds back. Further ones of that priority or a less urgent one are
/// held back without a check, so that a long queue doesn't slow the review.
const MAX_CHECKED: usize = 24;

/// The tasks that a review of a queue holds back.
#[derive(Debug, Default)]
pub(super) struct Hold {
    /// The free resources and the capacities of the endpoints that accept tasks, since the last start. A task that waits is checked
    /// without another look at the endpoints.
    rooms: Option<Vec<(Resources, Resources)>>,
    /// The priority of the last task that was checked, and the room that it must leave.
    reserve: Option<(u32, Reserve)>,
    /// The number of tasks that were held back.
    count: usize,
}

impl Owner {
    /// Returns whether a queued task is held back: it could start later and still be on time, and now it would take room that its rack
    /// keeps for more urgent tasks.
    pub(super) fn is_held_back(
        &self,
        id: RackId,
        assignment: &Assignment,
        hold: &mut Hold,
        now: Time,
    ) -> bool {
        let batch = &assignment.batch;
        let Some(rack) = self.racks.get(&id) else {
            return false;
        };
        if !headroom::may_wait(assignment.due, batch.estimate, now) {
            return false;
        }
        let reserve = match hold.reserve {
            Some((priority, reserve)) if priority == batch.priority => reserve,
            _ => {
                let reserve = rack.headroom.reserve(batch.priority, now);
                match reserve.tasks {
                    0 => reserve,
                    _ => reserve.limit(hold.rooms(self, rack, now).iter().map(|room| room.1)),
                }
            }
        };
        hold.reserve = Some((batch.priority, reserve));
        if reserve.tasks == 0 {
            return false;
        }
        let is_held_back = hold.count >= MAX_CHECKED || {
            let admitted = match &batch.label {
                Some(label) => {
                    let room =
                        |state: &State| (state.free, state.can_run(&batch.need, Some(label)));
                    reserve.admits(&batch.need, self.accepting(rack, now).map(room))
                }
                None => {
                    let rooms = hold.rooms(self, rack, now).iter();
                    reserve.admits(&batch.need, rooms.map(|room| (room.0, true)))
                }
            };
            !admitted
        };
        hold.count += usize::from(is_held_back);
        is_held_back
    }

    /// Returns the room that tasks of a priority leave free on a rack.
    pub(super) fn reserve(&self, rack: &Rack, priority: u32, now: Time) -> Reserve {
        let accepting = self.accepting(rack, now);
        let reserve = rack.headroom.reserve(priority, now);
        reserve.limit(accepting.map(|state| state.listing.capacity))
    }

    /// Returns the endpoints of a rack that accept tasks.
    fn accepting<'a>(
        &'a self,
        rack: &'a Rack,
        now: Time,
    ) -> impl Iterator<Item = &'a State> + Clone {
        let states = rack
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        states.filter(move |state| state.accepts_tasks(now))
    }

    /// Records how many tasks a review has held back, and logs it if the last one was long ago.
    pub(super) fn record_held_back(
        &mut self,
        id: RackId,
        hold: &Hold,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(rack) = self.racks.get_mut(&id) else {
            return;
        };
        rack.held_back = hold.count;
        if hold.count == 0 {
            return;
        }
        let since = now.since(rack.held_back_at);
        rack.held_back_at = now;
        if let Some((priority, reserve)) = hold.reserve.filter(|_| since > DEMAND_PERIOD) {
            let record = LogRecord::new("headroom_kept").with("rack", id.to_string());
            let record = record.with("priority", priority);
            let record = record.with("tasks", reserve.tasks);
            out.log(record.with("held_back", hold.count));
        }
    }

    /// Returns whether a rack's room for urgent tasks has become scarce, or has ceased to be, since the last update.
    pub fn has_scarcity_changes(&self, now: Time) -> bool {
        let mut racks = self.racks.values();
        racks.any(|rack| self.scarcity_changed(rack, now))
    }

    pub(super) fn scarcity_changed(&self, rack: &Rack, now: Time) -> bool {
        let rooms = self.accepting(rack, now).map(|state| state.free);
        rack.room_changed
            && rack.reported_scarce != rack.headroom.largest_reserve(now).is_scarce(rooms)
    }

    /// Returns the numbers of tasks that are held back, and of urgent tasks for which room is kept.
    pub fn headroom_counts(&self, now: Time) -> (usize, u64) {
        let held_back = self.racks.values().map(|rack| rack.held_back).sum();
        let kept = self.racks.values().map(|rack| {
            let capacities = self
                .accepting(rack, now)
                .map(|state| state.listing.capacity);
            rack.headroom.largest_reserve(now).limit(capacities).tasks
        });
        (held_back, kept.sum())
    }
}

impl Hold {
    fn rooms(&mut self, owner: &Owner, rack: &Rack, now: Time) -> &[(Resources, Resources)] {
        self.rooms.get_or_insert_with(|| {
            let accepting = owner.accepting(rack, now);
            let rooms = accepting.map(|state| (state.free, state.listing.capacity));
            rooms.collect()
        })
    }

    /// Records that a task has started: the free resources have changed.
    pub(super) fn on_start(&mut self) {
        self.rooms = None;
    }
}
