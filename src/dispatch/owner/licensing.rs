//! Licenses of runs: leases end soon after the last confirmation by the entry, whatever this owner believes about it.

use std::collections::HashMap;

use super::{
    super::{
        endpoint::{
            Execution,
            START_LEASE, //
        },
        license::{
            Confirmation,
            LICENSE, //
        },
        member::HEARTBEAT_TIMEOUT,
        message::LogRecord, //
    },
    Assignment,
    Effects,
    Owner, //
};
use crate::prelude::*;

impl Owner {
    /// Records an entry's latest confirmation that it wants its batches.
    pub fn confirm_entry(&mut self, entry: &Instance, confirmation: Confirmation) {
        let known = self.confirmations.insert(entry.clone(), confirmation);
        if known.is_none() {
            self.racks.values_mut().for_each(super::Rack::review_now);
        }
    }

    /// Returns the time since an entry last confirmed its batches, or `None` if it hasn't in this session.
    pub fn confirmation_age(&self, entry: &Instance, now: Time) -> Option<Span> {
        let confirmation = self.confirmations.get(entry)?;
        Some(now.since(confirmation.at))
    }

    /// Records that the message with this number tells an entry that a batch has moved here. Confirmations that the entry sent
    /// before it handled that message say nothing about the batch: its cancellation may be on its way to the former owner.
    pub fn on_move_announced(&mut self, entry: &Instance, serial: u64, message: u64) {
        let handle = self.by_entry.get(&(entry.clone(), serial));
        let assignment = handle.and_then(|handle| self.assignments.get_mut(handle));
        if let Some(assignment) = assignment.filter(|a| a.is_unannounced()) {
            assignment.confirmed_after = message;
        }
    }

    /// Returns until when leases of a batch's runs may last; `None` if its entry hasn't confirmed it.
    pub(super) fn license_end(&self, assignment: &Assignment) -> Option<Time> {
        assignment.license_end(&self.confirmations)
    }

    /// Returns whether a task of a batch may be started: its license must outlast the first lease.
    pub(super) fn may_start(&self, assignment: &Assignment, now: Time) -> bool {
        let end = self.license_end(assignment);
        end.is_some_and(|end| end >= now + START_LEASE)
    }

    /// Updates the licenses of an endpoint's runs. Those of runs that aren't wanted any more stay as they were.
    pub(super) fn update_licenses(&mut self, id: &Endpoint) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.update_licenses(|execution: &Execution| {
                let assignment = self.assignments.get(&execution.batch)?;
                assignment.license_end(&self.confirmations)
            });
        }
    }

    /// Returns batches that came with a rack and weren't confirmed in time to their entries. Their runs would keep the leases of
    /// other runs on the same endpoints from being extended.
    pub(super) fn return_unconfirmed(&mut self, now: Time, out: &mut Effects) {
        for handle in std::mem::take(&mut self.unconfirmed) {
            let Some(assignment) = self.assignments.get(&handle) else {
                continue;
            };
            if self.license_end(assignment).is_some() {
                continue;
            }
            if now.since(assignment.accepted_at) <= HEARTBEAT_TIMEOUT {
                self.unconfirmed.push(handle);
                continue;
            }
            let record = LogRecord::new("batch_unconfirmed").job(assignment.batch.job);
            let record = record.with("batch", assignment.batch.serial);
            let record = record.with("entry", assignment.entry.name.as_str());
            out.log(record.with("unanswered", self.count_unanswered_starts(handle)));
            assignment.return_to_entry(out);
            self.drop_assignment(handle, out);
        }
    }
}

impl Assignment {
    /// Marks the batch as one that came with a rack, of which its entry must be told before its confirmations count.
    pub(super) fn await_announcement(&mut self) {
        self.confirmed_after = u64::MAX;
    }

    fn is_unannounced(&self) -> bool {
        self.confirmed_after == u64::MAX
    }

    /// Returns until when leases of its runs may last, by the latest confirmations; `None` if its entry hasn't confirmed it.
    fn license_end(&self, confirmations: &HashMap<Instance, Confirmation>) -> Option<Time> {
        let confirmation = confirmations.get(&self.entry.name)?;
        let is_confirmed = !self.is_unannounced() && confirmation.received >= self.confirmed_after;
        is_confirmed.then(|| confirmation.at + LICENSE)
    }
}
