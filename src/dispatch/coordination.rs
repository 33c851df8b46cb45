//! Which shards of stored jobs this instance coordinates, and the actions that follow from their rows.

use std::collections::HashMap;

use super::{
    durable::Action,
    id::ShardId,
    member::{
        Member,
        STARTUP_DELAY, //
    },
    message::{
        Contact,
        Knowledge,
        Message, //
    },
    owner::Effects,
    Dispatcher, //
};
use crate::prelude::*;

impl Dispatcher {
    /// Lets the shards do what is due, and sends their calls to the store.
    pub(super) fn call_store(&mut self, now: Time, out: &mut Effects) {
        let actions = self.coordinator.run_due(now, out);
        self.apply_actions(actions, now, out);
    }

    /// Carries out actions on stored jobs, and starts what's ready to run.
    pub(super) fn apply_actions(&mut self, actions: Vec<Action>, now: Time, out: &mut Effects) {
        for action in actions {
            match action {
                Action::Run(job, at) => {
                    if let Some((record, progress)) = self.coordinator.open_job(job) {
                        self.entry.run_stored(job, record, progress, at, now);
                    }
                }
                Action::TaskDone(task, batch) => {
                    if let Some(serial) = batch {
                        self.entry.on_run_done(serial, task);
                    }
                    self.entry.on_task_done(task, now, out);
                }
                Action::TaskFailed(task, batch) => self.entry.on_task_failed(task, batch, now),
                Action::Release(job) => self.entry.release_stored(job, out),
            }
        }
        self.entry.start_due_stored(now, out);
    }

    /// Returns the current coordinator of each shard. One that holds the shard takes precedence over one that only claims it, and
    /// otherwise another member over this instance.
    pub(super) fn coordinators(&self) -> HashMap<ShardId, Contact> {
        let mut found: HashMap<ShardId, (bool, Contact)> = HashMap::new();
        let own = (self.coordinator.coordinations(), &self.identity.contact);
        let others = self.members.live().filter_map(|member| {
            let status = member.status.as_ref()?;
            Some((status.shards.clone(), &member.contact))
        });
        for (shards, contact) in others.chain([own]) {
            for coordination in shards {
                let holds = coordination.knowledge == Knowledge::Held;
                let current = found.get(&coordination.shard);
                if current.is_none_or(|(current_holds, _)| holds && !current_holds) {
                    found.insert(coordination.shard, (holds, contact.clone()));
                }
            }
        }
        let contact = |(shard, (_, contact))| (shard, contact);
        found.into_iter().map(contact).collect()
    }

    /// Claims and releases shards: a shard without a coordinator falls to the available instance with the highest rendezvous
    /// weight. A draining instance releases all.
    pub(super) fn update_coordination(&mut self, now: Time, out: &mut Effects) {
        if now.since(self.started_at) < STARTUP_DELAY {
            return;
        }
        if self.members.has_absent() {
            self.coordinator.require_lock_checks(now);
        }
        let own = self.identity.contact.name.clone();
        let coordinators = self.coordinators();
        let mut actions = Vec::new();
        let candidates: Vec<Instance> = self
            .members
            .available()
            .map(|m| m.contact.name.clone())
            .collect();
        for shard in ShardId::all() {
            let coordinator = coordinators.get(&shard).map(|contact| &contact.name);
            let own_shard = self.coordinator.knowledge(shard).is_some();
            if own_shard && self.is_draining() {
                actions.extend(self.coordinator.release(shard, "the instance ends", out));
            } else if own_shard && coordinator.is_some_and(|name| *name != own) {
                actions.extend(self.coordinator.release(shard, "another holds it", out));
            } else if own_shard && self.has_claimants(shard) {
                self.coordinator.require_lock_checks(now);
                let outweighs =
                    |name: &Instance| shard.weight(name.as_str()) > shard.weight(own.as_str());
                let held = self.coordinator.knowledge(shard) == Some(Knowledge::Held);
                if !held && self.claimants(shard).any(|name| outweighs(&name)) {
                    actions.extend(self.coordinator.release(shard, "another claims it", out));
                }
            } else if coordinator.is_none() && !self.is_draining() {
                let best = candidates
                    .iter()
                    .max_by_key(|name| shard.weight(name.as_str()));
                let outweighed = best
                    .is_some_and(|name| shard.weight(name.as_str()) > shard.weight(own.as_str()));
                if !outweighed {
                    self.coordinator.claim(shard, now);
                }
            }
        }
        self.apply_actions(actions, now, out);
    }

    /// Returns the other live members that announce a shard as theirs.
    fn claimants(&self, shard: ShardId) -> impl Iterator<Item = Instance> + '_ {
        let claims_shard = move |member: &&Member| {
            let status = member.status.as_ref();
            status.is_some_and(|status| status.shards.iter().any(|c| c.shard == shard))
        };
        self.members
            .live()
            .filter(claims_shard)
            .map(|m| m.contact.name.clone())
    }

    /// Returns whether another live member announces a shard as its own.
    fn has_claimants(&self, shard: ShardId) -> bool {
        self.claimants(shard).next().is_some()
    }

    /// Reports ends of runs that must be stored to the coordinators of their shards.
    pub(super) fn report_run_ends(&mut self, now: Time, out: &mut Effects) {
        let ends = self.owner.take_ends_to_report(now);
        if ends.is_empty() {
            return;
        }
        let coordinators = self.coordinators();
        for end in ends {
            if let Some(to) = coordinators.get(&end.task.job.shard()) {
                let message = Message::Ended(Box::new(end));
                out.messages.push((to.clone(), message));
            }
        }
    }
}
