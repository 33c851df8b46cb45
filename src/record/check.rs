//! Checks a change against all records that would then be in force, and against the workers that are there.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    fault::{
        shorten,
        Code,
        Fault, //
    },
    route::Route,
    set::{
        target,
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
    },
};

/// The most records that are in force together.
pub const MAX_RECORDS: usize = 10_000;
/// The most bytes of all texts together.
pub const MAX_TOTAL_BYTES: usize = 8 << 20;

/// The capacity that there is: slots by pool and data centre, and the sizes of the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Capacity {
    slots: BTreeMap<Pool, BTreeMap<Centre, u64>>,
    sizes: BTreeMap<Pool, Vec<Hardware>>,
    centres: BTreeSet<Centre>,
}

impl Capacity {
    /// Adds up the workers of the platform's list; leaving ones count for nothing.
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
        // The list has many workers and few pools and data centres: names are cloned only when they are new.
        if !self.slots.contains_key(&worker.pool) {
            self.slots.insert(worker.pool.clone(), BTreeMap::new());
            self.sizes.insert(worker.pool.clone(), Vec::new());
        }
        if let Some(centres) = self.slots.get_mut(&worker.pool) {
            match centres.get_mut(&worker.centre) {
                Some(slots) => *slots += u64::from(worker.slots),
                None => drop(centres.insert(worker.centre.clone(), u64::from(worker.slots))),
            }
        }
        if let Some(sizes) = self.sizes.get_mut(&worker.pool) {
            if !sizes.contains(&worker.resources) {
                sizes.push(worker.resources);
            }
        }
    }

    /// Adds the data centres that are known from instances.
    pub fn add_centres(&mut self, centres: impl IntoIterator<Item = Centre>) {
        self.centres.extend(centres);
    }

    /// Returns the slots of a pool in a data centre.
    fn slots(&self, pool: &Pool, centre: &Centre) -> u64 {
        let centres = self.slots.get(pool);
        centres.and_then(|c| c.get(centre)).copied().unwrap_or(0)
    }

    /// Returns the slots that an instance in `from` can reach on a route.
    fn reach(&self, route: &Route, from: &Centre) -> u64 {
        let listed = |c: &&Centre| route.centres.is_empty() || route.centres.contains(c);
        let others = self.centres.iter().filter(|c| route.spill && *c != from);
        let reached: Vec<&Centre> = others.filter(listed).chain([from]).collect();
        let slots = |pool| reached.iter().map(move |centre| self.slots(pool, centre));
        route.pools.iter().flat_map(slots).sum()
    }
}

/// Returns every fault that the change from `before` to `after` at `name` has.
///
/// A confirmed change may cut the capacity of a service to less than half, but never to nothing.
pub fn validate(
    before: &Set,
    after: &Set,
    name: &Name,
    capacity: &Capacity,
    confirmed: bool,
) -> Vec<Fault> {
    let mut faults = match after.get(name) {
        Some(entry) => references(after, &entry.record, capacity),
        None => referred(after, name),
    };
    faults.extend(size(after));
    // What capacity would be left can't be told while a reference leads to nothing.
    if !faults.is_empty() {
        return faults;
    }
    for service in affected(before, after, name) {
        faults.extend(cut(before, after, &service, capacity, confirmed));
    }
    shorten(faults)
}

fn size(after: &Set) -> Option<Fault> {
    let fault = |detail| Some(Fault::new("", Code::Size, detail));
    if after.len() > MAX_RECORDS {
        return fault(format!(
            "there would be more than {MAX_RECORDS} records; withdraw some"
        ));
    }
    if after.text_bytes() > MAX_TOTAL_BYTES {
        return fault(format!(
            "all records would have more than {MAX_TOTAL_BYTES} bytes; withdraw some"
        ));
    }
    None
}

fn references(after: &Set, record: &Record, capacity: &Capacity) -> Vec<Fault> {
    match &record.body {
        Body::Service(body) => {
            let nothing = |pool: &Pool| after.get(&Name::new(Kind::Pool, pool)).is_none();
            let missing = body
                .pools
                .iter()
                .enumerate()
                .filter(|(_, pool)| nothing(pool));
            missing
                .map(|(i, pool)| no_pool(record.schema, i, pool))
                .collect()
        }
        Body::Pool(body) => body
            .least
            .iter()
            .filter_map(|n| too_large(record, n, capacity))
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
                    "{} has a rule already, {other}; amend that one",
                    body.service
                );
                Fault::new("service", Code::Twice, detail)
            }));
            faults.extend(centres(after, record, body, capacity));
            faults
        }
        Body::Unknown(_) => Vec::new(),
    }
}

fn no_pool(schema: u64, place: usize, pool: &Pool) -> Fault {
    let path = match schema {
        1 => "pool".to_owned(),
        _ => format!("pools[{place}]"),
    };
    let detail = format!("no pool {pool} is in force; submit it first or name another");
    Fault::new(path, Code::Reference, detail)
}

fn too_large(record: &Record, need: &Hardware, capacity: &Capacity) -> Option<Fault> {
    let pool: Pool = record.name.name.parse().ok()?;
    let sizes = capacity.sizes.get(&pool)?;
    let enough = |has: &Hardware| {
        has.cores >= need.cores
            && has.memory_mb >= need.memory_mb
            && has.accelerators >= need.accelerators
    };
    if sizes.iter().any(enough) {
        return None;
    }
    let detail = format!("no worker of pool {pool} is that large; the list has {sizes:?}");
    Some(Fault::new("least", Code::Unsatisfiable, detail))
}

fn centres(
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
    let strange = |c: &Centre| !capacity.centres.contains(c);
    let named = rule.centres.iter().enumerate();
    let mut faults: Vec<Fault> = named
        .filter(|(_, centre)| strange(centre))
        .map(|(i, centre)| {
            let detail = format!(
                "no data centre {centre} is known; known are {}",
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
        let detail = "no worker of the service's open pools is in any of these data centres";
        let path = if rule.centres.is_empty() {
            "service".to_owned()
        } else {
            path(0)
        };
        faults.push(Fault::new(path, Code::Unsatisfiable, detail));
    }
    faults
}

fn referred(after: &Set, name: &Name) -> Vec<Fault> {
    let refers = |record: &Record| match (&record.body, name.kind) {
        (Body::Service(body), Kind::Pool) => body.pools.iter().any(|p| p.as_str() == name.name),
        (Body::Rule(body), Kind::Service) => body.service.as_str() == name.name,
        // What an unknown schema refers to can't be told, so every text in it counts as a reference.
        (Body::Unknown(unknown), Kind::Pool | Kind::Service) => unknown.texts.contains(&name.name),
        _ => false,
    };
    let records = after.iter().map(|(_, entry)| &entry.record);
    records
        .filter(|record| refers(record))
        .map(|record| {
            let detail = format!("{} refers to it; amend or withdraw that first", record.name);
            Fault::new("", Code::Referred, detail)
        })
        .collect()
}

/// Lists the services whose route the change may touch.
fn affected(before: &Set, after: &Set, name: &Name) -> BTreeSet<Service> {
    let versions = [before, after].map(|set| set.get(name));
    match name.kind {
        Kind::Service => name.name.parse().into_iter().collect(),
        Kind::Rule => {
            let targets = versions.iter().flatten().filter_map(|e| target(&e.record));
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

fn cut(
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
        let (had, has) = (capacity.reach(&old, centre), capacity.reach(&new, centre));
        let told =
            format!("service {service} would go from {had} slots to {has}, seen from {centre}");
        if had > 0 && has == 0 {
            let detail = format!("{told}; leave it some, or withdraw the service");
            faults.push(Fault::new("", Code::Capacity, detail));
        } else if has * 2 < had && !confirmed {
            let detail = format!("{told}; go in smaller steps, or confirm the cut");
            faults.push(Fault::new("", Code::Halved, detail));
        }
    }
    faults
}
