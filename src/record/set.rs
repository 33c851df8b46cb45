//! The set of records in force, and the routes that they resolve to.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::{
    pool::State,
    route::{
        Error,
        Route, //
    },
    rule,
    service,
    Body,
    Kind,
    Name,
    Record, //
};
use crate::prelude::*;

/// A record with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The revision that submitted or last amended it.
    pub revision: Revision,
    /// The record.
    pub record: Arc<Record>,
}

/// Records by name, such as those in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Set {
    entries: BTreeMap<Name, Entry>,
    bytes: usize,
}

impl Set {
    /// Returns the record `name`.
    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Iterates over all records in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.entries.iter()
    }

    /// Iterates over the records after `name`, or over all, in the order of their names.
    pub fn iter_after<'a>(
        &'a self,
        name: Option<&'a Name>,
    ) -> impl Iterator<Item = (&'a Name, &'a Entry)> {
        let is_later = move |entry: &(&'a Name, &'a Entry)| name.is_none_or(|name| entry.0 > name);
        self.entries.iter().filter(is_later)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total length of all texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.bytes
    }

    /// Inserts a record, replacing the one of the same name.
    pub fn insert(&mut self, record: Arc<Record>, revision: Revision) {
        self.remove(&record.name.clone());
        self.bytes += record.text.len();
        let name = record.name.clone();
        self.entries.insert(name, Entry { revision, record });
    }

    /// Removes the record `name`, if there is one.
    pub fn remove(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.bytes -= entry.record.text.len();
        }
    }

    /// Iterates over the records of one kind.
    pub fn iter_kind(&self, kind: Kind) -> impl Iterator<Item = &Entry> {
        let has_kind = move |entry: &&Entry| entry.record.name.kind == kind;
        self.entries.values().filter(has_kind)
    }

    /// Iterates over the rules of a service, including those with an unknown schema.
    pub fn rules_for<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Entry> {
        self.iter_kind(Kind::Rule)
            .filter(move |entry| rule_service(&entry.record) == Some(service))
    }

    /// Resolves the records that concern one service.
    ///
    /// # Errors
    ///
    /// Fails if there is no such service, or if one of its records is absent or has an unknown schema.
    pub fn resolve(&self, service: &Service) -> Result<Route, Error> {
        let name = Name::new(Kind::Service, service);
        let entry = self.get(&name).ok_or(Error::UnknownService)?;
        self.build_route(service, entry, self.rules_for(service).next())
    }

    /// Resolves all services in force.
    pub fn resolve_all(&self) -> BTreeMap<Service, Result<Arc<Route>, Error>> {
        let rules = self.iter_kind(Kind::Rule);
        let rules = rules.filter_map(|entry| Some((rule_service(&entry.record)?, entry)));
        let rules: BTreeMap<&Service, &Entry> = rules.collect();
        let route = |entry: &Entry| {
            let name: Service = entry.record.name.name.parse().ok()?;
            let route = self.build_route(&name, entry, rules.get(&name).copied());
            Some((name, route.map(Arc::new)))
        };
        self.iter_kind(Kind::Service).filter_map(route).collect()
    }

    /// Builds the route of a service from its record, its rule and the records of its pools.
    fn build_route(
        &self,
        service: &Service,
        entry: &Entry,
        rule: Option<&Entry>,
    ) -> Result<Route, Error> {
        let Body::Service(body) = &entry.record.body else {
            return Err(Error::UnknownSchema);
        };
        let mut revision = entry
            .revision
            .max(rule.map_or(entry.revision, |r| r.revision));
        let rule = match rule.map(|rule| &rule.record.body) {
            None => None,
            Some(Body::Rule(rule)) => Some(rule),
            Some(_) => return Err(Error::UnknownSchema),
        };
        let mut pools = Vec::new();
        for pool in &body.pools {
            let entry = self.get(&Name::new(Kind::Pool, pool));
            let entry = entry.ok_or(Error::UnknownSchema)?;
            revision = revision.max(entry.revision);
            match &entry.record.body {
                Body::Pool(body) if body.state == State::Open => pools.push(pool.clone()),
                Body::Pool(_) => {}
                _ => return Err(Error::UnknownSchema),
            }
        }
        Ok(assemble_route(service, revision, pools, body, rule))
    }
}

/// Returns the service that a rule applies to.
pub fn rule_service(rule: &Record) -> Option<&Service> {
    match &rule.body {
        Body::Rule(body) => Some(&body.service),
        Body::Unknown(unknown) => unknown.service.as_ref(),
        _ => None,
    }
}

/// Assembles a route from a service's record, its open pools and its rule.
fn assemble_route(
    service: &Service,
    revision: Revision,
    pools: Vec<Pool>,
    body: &service::Body,
    rule: Option<&rule::Body>,
) -> Route {
    Route {
        service: service.clone(),
        revision,
        pools,
        centres: rule.map(|rule| rule.centres.clone()).unwrap_or_default(),
        spill: rule.is_none_or(|rule| rule.spill),
        class: body.class,
        deadline: body.deadline,
        lease: body.lease,
        max_tasks: body.tasks,
        quotas: rule.map(|rule| rule.quotas.clone()).unwrap_or_default(),
    }
}
