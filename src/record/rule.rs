//! Placement rule records: the data centres that run the tasks of a service, and the quotas of teams.

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
    route::Quota, //
};
use crate::prelude::*;

/// The greatest weight of a quota.
const MAX_WEIGHT: u64 = 1_000;
/// The greatest limit of a quota on tasks in progress.
const MAX_OUTSTANDING: u64 = 1_000_000;
/// The most data centres of a rule.
const MAX_CENTRES: usize = 64;

/// The content of a rule record, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The service that it applies to.
    pub service: Service,
    /// The data centres to try, in order, after the instance's own; empty for all.
    pub centres: Vec<Centre>,
    /// Whether tasks may run outside the instance's own data centre.
    pub spill: bool,
    /// The quotas of teams.
    pub quotas: BTreeMap<Team, Quota>,
}

impl Body {
    /// Reads schema 1, which has at most one data centre and no quotas.
    pub(super) fn read_v1(fields: &mut Fields<'_>) -> Option<Self> {
        let service = fields.read_required("service", "the name of a service", fields::read_name);
        let centre = fields.read_optional("centre", fields::read_name);
        let spill = fields.read_optional("spill", fields::read_bool);
        Some(Self {
            service: service?,
            centres: centre.into_iter().collect(),
            spill: spill.unwrap_or(true),
            quotas: BTreeMap::new(),
        })
    }

    /// Reads schema 2, which has data centres in order and quotas of teams.
    pub(super) fn read_v2(fields: &mut Fields<'_>) -> Option<Self> {
        let service = fields.read_required("service", "the name of a service", fields::read_name);
        let centres: Vec<Centre> = fields.read_names("centres");
        if centres.len() > MAX_CENTRES {
            let detail = format!("give {MAX_CENTRES} data centres at most");
            fields.add_fault("centres", Code::Range, detail);
        }
        let spill = fields.read_optional("spill", fields::read_bool);
        let quotas = read_quotas(fields);
        Some(Self {
            service: service?,
            centres,
            spill: spill.unwrap_or(true),
            quotas,
        })
    }

    /// Returns a fault for each field that schema 1 can't express.
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

fn read_quotas(fields: &mut Fields<'_>) -> BTreeMap<Team, Quota> {
    let mut quotas = BTreeMap::new();
    let Some(map) = fields.read_object("quotas") else {
        return quotas;
    };
    for (team, value) in map {
        let key = format!("quotas.{team}");
        let quota = read_quota(fields, &key, value);
        match team.parse::<Team>() {
            Ok(team) => quotas.extend(quota.map(|quota| (team, quota))),
            Err(e) => fields.add_fault(&key, Code::Name, format!("the team {e}")),
        }
    }
    quotas
}

fn read_quota(fields: &mut Fields<'_>, key: &str, value: &Value) -> Option<Quota> {
    let Some(map) = value.as_object() else {
        let detail = "is not an object; give {\"weight\": 1, \"outstanding\": 0}";
        fields.add_fault(key, Code::Type, detail);
        return None;
    };
    let mut inner = Fields::new(map, fields.path(key));
    let weight = inner.read_optional("weight", fields::read_whole(1..=MAX_WEIGHT, "shares"));
    let outstanding = inner.read_optional(
        "outstanding",
        fields::read_whole(0..=MAX_OUTSTANDING, "tasks"),
    );
    fields.add_faults(inner.finish());
    let to_u32 = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    Some(Quota {
        weight: to_u32(weight.unwrap_or(1)),
        outstanding: to_u32(outstanding.unwrap_or(0)),
    })
}
