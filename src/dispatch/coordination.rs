//! Which shards of the stored jobs the instance coordinates, and what follows from that.

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
    /// Lets the shards do what is due, with the calls to the store that it takes.
    pub(super) fn call_store(&mut self, now: Time, out: &mut Effects) {
        let acts = self.durable.run_due(now, out);
        self.apply_actions(acts, now, out);
    }

    /// Does what a shard's rows ask for.
    pub(super) fn apply_actions(&mut self, acts: Vec<Action>, now: Time, out: &mut Effects) {
        for act in acts {
            match act {
                Action::Run(job, at) => {
                    if let Some((record, progress)) = self.durable.open_job(job) {
                        self.entry.run_stored(job, record, progress, at, now);
                    }
                }
                Action::TaskDone(task) => self.entry.on_task_done(task, now, out),
                Action::TaskFailed(task, batch) => self.entry.on_task_failed(task, batch, now),
                Action::Release(job) => self.entry.release_stored(job, out),
            }
        }
        self.entry.start_due_stored(now, out);
    }

    /// Returns who coordinates each shard, as far as that is known.
    pub(super) fn coordinators(&self) -> HashMap<ShardId, Contact> {
        let mut found: HashMap<ShardId, (bool, Contact)> = HashMap::new();
        let own = (self.durable.coordinations(), &self.identity.contact);
        let others = self.members.live().filter_map(|member| {
            let status = member.status.as_ref()?;
            Some((status.shards.clone(), &member.contact))
        });
        for (shards, contact) in others.chain([own]) {
            for coordination in shards {
                let held = coordination.knowledge == Knowledge::Held;
                let known = found.get(&coordination.shard);
                if known.is_none_or(|(known, _)| held && !known) {
                    found.insert(coordination.shard, (held, contact.clone()));
                }
            }
        }
        let contact = |(shard, (_, contact))| (shard, contact);
        found.into_iter().map(contact).collect()
    }

    /// Decides which shards it coordinates: those of nobody else, by their weight, until it ends.
    pub(super) fn update_coordination(&mut self, now: Time, out: &mut Effects) {
        if now.since(self.started_at) < STARTUP_DELAY {
            return;
        }
        let own = self.identity.contact.name.clone();
        let coordinators = self.coordinators();
        let mut acts = Vec::new();
        let candidates: Vec<Instance> = self
            .members
            .available()
            .map(|m| m.contact.name.clone())
            .collect();
        for shard in ShardId::all() {
            let known = coordinators.get(&shard).map(|contact| &contact.name);
            let mine = self.durable.knowledge(shard).is_some();
            if mine && self.is_draining() {
                acts.extend(self.durable.release(shard, "the instance ends", out));
            } else if mine && known.is_some_and(|name| *name != own) {
                acts.extend(self.durable.release(shard, "another holds it", out));
            } else if mine && self.contested(shard) {
                self.durable.require_lock_checks(now);
                let heavier =
                    |name: &Instance| shard.weight(name.as_str()) > shard.weight(own.as_str());
                let held = self.durable.knowledge(shard) == Some(Knowledge::Held);
                if !held && self.claimants(shard).any(|name| heavier(&name)) {
                    acts.extend(self.durable.release(shard, "another claims it", out));
                }
            } else if known.is_none() && !self.is_draining() {
                let best = candidates
                    .iter()
                    .max_by_key(|name| shard.weight(name.as_str()));
                let beaten = best
                    .is_some_and(|name| shard.weight(name.as_str()) > shard.weight(own.as_str()));
                if !beaten {
                    self.durable.claim(shard, now);
                }
            }
        }
        self.apply_actions(acts, now, out);
    }

    /// Returns the live members that claim a shard.
    fn claimants(&self, shard: ShardId) -> impl Iterator<Item = Instance> + '_ {
        let claims = move |member: &&Member| {
            let status = member.status.as_ref();
            status.is_some_and(|status| status.shards.iter().any(|c| c.shard == shard))
        };
        self.members
            .live()
            .filter(claims)
            .map(|m| m.contact.name.clone())
    }

    fn contested(&self, shard: ShardId) -> bool {
        self.claimants(shard).next().is_some()
    }

    /// Reports ends that must be stored to the coordinators of their shards.
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
