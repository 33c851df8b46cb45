//! Placement rule records: where the work of a service may go, and what teams may use.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use super::{
    fault::{
        Code,
        Fault, //
    },
    fields::{
        self,
        Fields, //
    },
    route::Quota,
};
use crate::prelude::*;

/// The greatest weight of a quota.
const MOST_WEIGHT: u64 = 1_000;
/// The greatest bound of a quota.
const MOST_OUTSTANDING: u64 = 1_000_000;
/// The most data centres of a rule.
const MOST_CENTRES: usize = 64;

/// What a rule record says, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The service that it is for.
    pub service: Service,
    /// The data centres to try, in order, after the instance's own; empty stands for all.
    pub centres: Vec<Centre>,
    /// Whether work may leave the instance's own data centre.
    pub spill: bool,
    /// What teams may use.
    pub quotas: BTreeMap<Team, Quota>,
}

impl Body {
    /// Reads schema 1: one data centre at most, and no quotas.
    pub(super) fn v1(fields: &mut Fields<'_>) -> Option<Self> {
        let service = fields.required("service", "the name of a service", fields::name);
        let centre = fields.optional("centre", fields::name);
        let spill = fields.optional("spill", fields::flag);
        Some(Self {
            service: service?,
            centres: centre.into_iter().collect(),
            spill: spill.unwrap_or(true),
            quotas: BTreeMap::new(),
        })
    }

    /// Reads schema 2: data centres in order, and quotas of teams.
    pub(super) fn v2(fields: &mut Fields<'_>) -> Option<Self> {
        let service = fields.required("service", "the name of a service", fields::name);
        let centres: Vec<Centre> = fields.names("centres");
        if centres.len() > MOST_CENTRES {
            let detail = format!("give {MOST_CENTRES} data centres at most");
            fields.report("centres", Code::Range, detail);
        }
        let spill = fields.optional("spill", fields::flag);
        let quotas = quotas(fields);
        Some(Self {
            service: service?,
            centres,
            spill: spill.unwrap_or(true),
            quotas,
        })
    }

    /// Names what schema 1 can't say of this body.
    pub(super) fn find_lost_fields(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.centres.len() > 1 {
            let detail = "the order of data centres would be lost in schema 1; amend in schema 2";
            faults.push(Fault::new("centres", Code::Lost, detail));
        }
        if !self.quotas.is_empty() {
            let detail = "the quotas would be lost in schema 1; amend in schema 2";
            faults.push(Fault::new("quotas", Code::Lost, detail));
        }
        faults
    }
}

fn quotas(fields: &mut Fields<'_>) -> BTreeMap<Team, Quota> {
    let mut quotas = BTreeMap::new();
    let Some(map) = fields.object("quotas") else {
        return quotas;
    };
    for (team, value) in map {
        let key = format!("quotas.{team}");
        let quota = quota(fields, &key, value);
        match team.parse::<Team>() {
            Ok(team) => quotas.extend(quota.map(|quota| (team, quota))),
            Err(e) => fields.report(&key, Code::Name, format!("the team {e}")),
        }
    }
    quotas
}

fn quota(fields: &mut Fields<'_>, key: &str, value: &Value) -> Option<Quota> {
    let Some(map) = value.as_object() else {
        let detail = "is not an object; give {\"weight\": 1, \"outstanding\": 0}";
        fields.report(key, Code::Type, detail);
        return None;
    };
    let mut inner = Fields::new(map, fields.path(key));
    let weight = inner.optional("weight", fields::whole(1..=MOST_WEIGHT, "shares"));
    let outstanding = inner.optional("outstanding", fields::whole(0..=MOST_OUTSTANDING, "tasks"));
    fields.extend(inner.finish());
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    Some(Quota {
        weight: narrow(weight.unwrap_or(1)),
        outstanding: narrow(outstanding.unwrap_or(0)),
    })
}
