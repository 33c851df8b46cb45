//! Validates a change against the records that would be in force with it, and against the listed workers.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    fault::{
        truncate,
        Code,
        Fault, //
    },
    route::Route,
    set::{
        rule_service,
        Set, //
    },
    Body,
    Kind,
    Name,
    Record, //
};
use crate::{
    prelude::*,
    table::wire::{
        State,
        Worker, //
    }, //
};

/// The most records in force.
pub const MAX_RECORDS: usize = 10_000;
/// The most bytes of the texts of all records in force.
pub const MAX_TOTAL_BYTES: usize = 8 << 20;

/// The available capacity: slots by pool and data centre, and the hardware of the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Capacity {
    slots: BTreeMap<Pool, BTreeMap<Centre, u64>>,
    /// The distinct hardware of each pool's workers.
    hardware: BTreeMap<Pool, Vec<Hardware>>,
    /// All data centres, also those without a worker.
    centres: BTreeSet<Centre>,
}

impl Capacity {
    /// Sums up the workers of the platform's list. Those that are shutting down add their data centre, but no slots.
    pub fn from_workers<'a>(workers: impl IntoIterator<Item = &'a Worker>) -> Self {
        let mut capacity = Self::default();
        for worker in workers {
            if !capacity.centres.contains(&worker.centre) {
                capacity.centres.insert(worker.centre.clone());
            }
            if worker.state == State::Live {
                capacity.add(worker);
            }
        }
        capacity
    }

    fn add(&mut self, worker: &Worker) {
        // Names are cloned only when they are new: the list has many workers, but few pools and data centres.
        if !self.slots.contains_key(&worker.pool) {
            self.slots.insert(worker.pool.clone(), BTreeMap::new());
            self.hardware.insert(worker.pool.clone(), Vec::new());
        }
        if let Some(centres) = self.slots.get_mut(&worker.pool) {
            match centres.get_mut(&worker.centre) {
                Some(slots) => *slots += u64::from(worker.slots),
                None => drop(centres.insert(worker.centre.clone(), u64::from(worker.slots))),
            }
        }
        if let Some(hardware) = self.hardware.get_mut(&worker.pool) {
            if !hardware.contains(&worker.resources) {
                hardware.push(worker.resources);
            }
        }
    }

    /// Adds data centres that may have no worker.
    pub fn add_centres(&mut self, centres: impl IntoIterator<Item = Centre>) {
        self.centres.extend(centres);
    }

    /// Returns the slots of a pool in one data centre.
    fn slots(&self, pool: &Pool, centre: &Centre) -> u64 {
        let centres = self.slots.get(pool);
        centres.and_then(|c| c.get(centre)).copied().unwrap_or(0)
    }

    /// Returns the slots that an instance in `from` can use on a route.
    fn reachable_slots(&self, route: &Route, from: &Centre) -> u64 {
        let allowed = |c: &&Centre| route.centres.is_empty() || route.centres.contains(c);
        let others = self.centres.iter().filter(|c| route.spill && *c != from);
        let reached: Vec<&Centre> = others.filter(allowed).chain([from]).collect();
        let slots = |pool| reached.iter().map(move |centre| self.slots(pool, centre));
        route.pools.iter().flat_map(slots).sum()
    }
}

/// Returns the faults of the change of the record `name` that leads from `before` to `after`.
///
/// A change must be `confirmed` if it reduces the capacity of a service to less than half. A reduction to zero is always
/// a fault, since it would make every job of the service fail.
pub fn validate(
    before: &Set,
    after: &Set,
    name: &Name,
    capacity: &Capacity,
    confirmed: bool,
) -> Vec<Fault> {
    let mut faults = match after.get(name) {
        Some(entry) => check_references(after, &entry.record, capacity),
        None => find_referrers(after, name),
    };
    faults.extend(check_size(after));
    // The remaining capacity is undefined while a reference is unresolved.
    if !faults.is_empty() {
        return faults;
    }
    for service in affected_services(before, after, name) {
        faults.extend(check_capacity(before, after, &service, capacity, confirmed));
    }
    truncate(faults)
}

fn check_size(after: &Set) -> Option<Fault> {
    let fault = |detail| Some(Fault::new("", Code::Size, detail));
    if after.len() > MAX_RECORDS {
        return fault(format!(
            "there would be more than {MAX_RECORDS} records; withdraw unused ones"
        ));
    }
    if after.text_bytes() > MAX_TOTAL_BYTES {
        return fault(format!(
            "the records would have more than {MAX_TOTAL_BYTES} bytes in total; withdraw unused ones"
        ));
    }
    None
}

/// Returns the faults of what `record` refers to: other records, workers and data centres.
fn check_references(after: &Set, record: &Record, capacity: &Capacity) -> Vec<Fault> {
    match &record.body {
        Body::Service(body) => {
            let is_absent = |pool: &Pool| after.get(&Name::new(Kind::Pool, pool)).is_none();
            let missing = body
                .pools
                .iter()
                .enumerate()
                .filter(|(_, pool)| is_absent(pool));
            missing
                .map(|(i, pool)| missing_pool(record.schema, i, pool))
                .collect()
        }
        Body::Pool(body) => body
            .least
            .iter()
            .filter_map(|n| check_hardware(record, n, capacity))
            .collect(),
        Body::Rule(body) => {
            let mut faults = Vec::new();
            let service = Name::new(Kind::Service, &body.service);
            if after.get(&service).is_none() {
                let detail = format!("no service {} is in force; submit it first", body.service);
                faults.push(Fault::new("service", Code::Reference, detail));
            }
            let others = after
                .rules_for(&body.service)
                .map(|entry| &entry.record.name);
            faults.extend(others.filter(|other| **other != record.name).map(|other| {
                let detail = format!(
                    "service {} already has the rule {other}; amend that one",
                    body.service
                );
                Fault::new("service", Code::Twice, detail)
            }));
            faults.extend(check_centres(after, record, body, capacity));
            faults
        }
        Body::Unknown(_) => Vec::new(),
    }
}

fn missing_pool(schema: u64, index: usize, pool: &Pool) -> Fault {
    let path = match schema {
        1 => "pool".to_owned(),
        _ => format!("pools[{index}]"),
    };
    let detail = format!("no pool {pool} is in force; submit it first or name another");
    Fault::new(path, Code::Reference, detail)
}

/// Returns a fault if no worker of the pool has the hardware that its record requires.
fn check_hardware(record: &Record, need: &Hardware, capacity: &Capacity) -> Option<Fault> {
    let pool: Pool = record.name.name.parse().ok()?;
    let hardware = capacity.hardware.get(&pool)?;
    let is_sufficient = |has: &Hardware| {
        has.cores >= need.cores
            && has.memory_mb >= need.memory_mb
            && has.accelerators >= need.accelerators
    };
    if hardware.iter().any(is_sufficient) {
        return None;
    }
    let detail =
        format!("no worker of pool {pool} has that hardware; its workers have {hardware:?}");
    Some(Fault::new("least", Code::Unsatisfiable, detail))
}

/// Returns the faults of a rule's data centres: unknown ones, and a service that has no slots in all of them.
fn check_centres(
    after: &Set,
    record: &Record,
    rule: &super::rule::Body,
    capacity: &Capacity,
) -> Vec<Fault> {
    let path = |i| match record.schema {
        1 => "centre".to_owned(),
        _ => format!("centres[{i}]"),
    };
    let known: Vec<&str> = capacity.centres.iter().map(Centre::as_str).collect();
    let is_unknown = |c: &Centre| !capacity.centres.contains(c);
    let named = rule.centres.iter().enumerate();
    let mut faults: Vec<Fault> = named
        .filter(|(_, centre)| is_unknown(centre))
        .map(|(i, centre)| {
            let detail = format!(
                "unknown data centre {centre}; known are {}",
                known.join(", ")
            );
            Fault::new(path(i), Code::Reference, detail)
        })
        .collect();
    let Ok(route) = after.resolve(&rule.service) else {
        return faults;
    };
    let all: Vec<&Centre> = match rule.centres.as_slice() {
        [] => capacity.centres.iter().collect(),
        named => named.iter().collect(),
    };
    let slots = |pool| all.iter().map(move |centre| capacity.slots(pool, centre));
    if faults.is_empty() && route.pools.iter().flat_map(slots).sum::<u64>() == 0 {
        let detail = "the service's open pools have no worker in any of these data centres";
        let path = if rule.centres.is_empty() {
            "service".to_owned()
        } else {
            path(0)
        };
        faults.push(Fault::new(path, Code::Unsatisfiable, detail));
    }
    faults
}

/// Returns a fault for each record that refers to the withdrawn record `name`.
fn find_referrers(after: &Set, name: &Name) -> Vec<Fault> {
    let refers = |record: &Record| match (&record.body, name.kind) {
        (Body::Service(body), Kind::Pool) => body.pools.iter().any(|p| p.as_str() == name.name),
        (Body::Rule(body), Kind::Service) => body.service.as_str() == name.name,
        // Which fields of an unknown schema are references is unknown, so every text in it counts as one.
        (Body::Unknown(unknown), Kind::Pool | Kind::Service) => unknown.texts.contains(&name.name),
        _ => false,
    };
    let records = after.iter().map(|(_, entry)| &entry.record);
    records
        .filter(|record| refers(record))
        .map(|record| {
            let detail = format!(
                "{} refers to it; amend or withdraw that record first",
                record.name
            );
            Fault::new("", Code::Referred, detail)
        })
        .collect()
}

/// Returns the services whose route the change may affect.
fn affected_services(before: &Set, after: &Set, name: &Name) -> BTreeSet<Service> {
    let versions = [before, after].map(|set| set.get(name));
    match name.kind {
        Kind::Service => name.name.parse().into_iter().collect(),
        Kind::Rule => {
            let targets = versions
                .iter()
                .flatten()
                .filter_map(|e| rule_service(&e.record));
            targets.cloned().collect()
        }
        Kind::Pool => {
            let uses = |record: &Record| match &record.body {
                Body::Service(body) => body.pools.iter().any(|p| p.as_str() == name.name),
                _ => false,
            };
            let services = before.iter_kind(Kind::Service).filter(|e| uses(&e.record));
            services
                .filter_map(|e| e.record.name.name.parse().ok())
                .collect()
        }
    }
}

/// Returns the faults of a reduced capacity of `service`, as seen from each data centre.
fn check_capacity(
    before: &Set,
    after: &Set,
    service: &Service,
    capacity: &Capacity,
    confirmed: bool,
) -> Vec<Fault> {
    let (Ok(old), Ok(new)) = (before.resolve(service), after.resolve(service)) else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    for centre in &capacity.centres {
        let (had, has) = (
            capacity.reachable_slots(&old, centre),
            capacity.reachable_slots(&new, centre),
        );
        let reduction = format!(
            "service {service} would go from {had} to {has} slots, as seen from data centre {centre}"
        );
        if had > 0 && has == 0 {
            let detail = format!("{reduction}; leave some, or withdraw the service");
            faults.push(Fault::new("", Code::Capacity, detail));
        } else if has * 2 < had && !confirmed {
            let detail = format!("{reduction}; make smaller changes, or confirm this one");
            faults.push(Fault::new("", Code::Halved, detail));
        }
    }
    faults
}
