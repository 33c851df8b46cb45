//! Service records: how the jobs of a service are run.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    fault::{
        Code,
        Fault, //
    },
    fields::{
        self,
        Fields, //
    },
};
use crate::prelude::*;

/// The longest deadline that a record may set, in seconds.
const LONGEST: u64 = 3_600;
/// The most tasks that a record may allow in a job.
const MOST_TASKS: u64 = 10_000;
/// The most tasks in a job where the record doesn't say.
const TASKS: u64 = 256;
/// The most pools of a service.
const MOST_POOLS: usize = 16;

/// What a service record says, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The worker pools to try, in order.
    pub pools: Vec<Pool>,
    /// The class of jobs that name none.
    pub class: Class,
    /// The deadline of jobs that name none, and the longest that is allowed.
    #[serde(rename = "deadline_ms")]
    pub deadline: Span,
    /// The longest that a task may run.
    #[serde(rename = "lease_ms")]
    pub lease: Span,
    /// The most tasks in a job.
    pub tasks: u32,
}

impl Body {
    /// Reads schema 1: one pool, whole seconds, idempotent or not.
    pub(super) fn v1(fields: &mut Fields<'_>) -> Option<Self> {
        let pool = fields.required("pool", "the name of a pool", fields::name);
        let seconds = fields::whole(1..=LONGEST, "seconds");
        let deadline = fields.required("deadline", "a whole number of seconds", seconds);
        let idempotent = fields.optional("idempotent", fields::flag);
        let tasks = tasks(fields);
        let deadline = Span::seconds(deadline?);
        Some(Self {
            pools: vec![pool?],
            class: match idempotent {
                Some(true) => Class::Idempotent,
                _ => Class::Once,
            },
            deadline,
            lease: deadline,
            tasks,
        })
    }

    /// Reads schema 2: pools in order, a class, milliseconds and a lease of its own.
    pub(super) fn v2(fields: &mut Fields<'_>) -> Option<Self> {
        let pools = pools(fields);
        let class = fields.optional("class", fields::word::<Class>);
        let millis = || fields::whole(1..=LONGEST * 1_000, "milliseconds");
        let deadline = fields.required("deadline_ms", "a whole number of milliseconds", millis());
        let lease = fields.optional("lease_ms", millis());
        let tasks = tasks(fields);
        let deadline = deadline?;
        let lease = lease.unwrap_or(deadline);
        if lease > deadline {
            let detail = format!("is {lease}, more than `deadline_ms`, which is {deadline}");
            fields.report("lease_ms", Code::Range, detail);
        }
        Some(Self {
            pools,
            class: class.unwrap_or_default(),
            deadline: Span::millis(deadline),
            lease: Span::millis(lease),
            tasks,
        })
    }

    /// Names what schema 1 can't say of this body.
    pub(super) fn find_lost_fields(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut lose = |path: &str, what: String| {
            let detail = format!("{what} would be lost in schema 1; amend in schema 2");
            faults.push(Fault::new(path, Code::Lost, detail));
        };
        if self.pools.len() > 1 {
            lose("pools", format!("the order of {} pools", self.pools.len()));
        }
        if self.class == Class::NonIdempotent {
            lose("class", format!("the class {}", self.class));
        }
        if self.lease != self.deadline {
            lose("lease_ms", format!("the lease of {}", self.lease));
        }
        if !self.deadline.as_millis().is_multiple_of(1_000) {
            lose("deadline_ms", format!("the deadline of {}", self.deadline));
        }
        faults
    }
}

fn tasks(fields: &mut Fields<'_>) -> u32 {
    let read = fields::whole(1..=MOST_TASKS, "tasks");
    let tasks = fields.optional("tasks", read).unwrap_or(TASKS);
    u32::try_from(tasks).unwrap_or(u32::MAX)
}

fn pools(fields: &mut Fields<'_>) -> Vec<Pool> {
    let pools = fields.names("pools");
    let count = fields
        .value("pools")
        .map(|v| v.as_array().map_or(1, Vec::len));
    match count {
        None => fields.report("pools", Code::Missing, "is missing; give a list of pools"),
        Some(0) => fields.report("pools", Code::Range, "is empty; name at least one pool"),
        Some(count) if count > MOST_POOLS => {
            let detail = format!("has {count} pools; give {MOST_POOLS} at most");
            fields.report("pools", Code::Range, detail);
        }
        Some(_) => {}
    }
    pools
}
