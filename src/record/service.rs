//! Service records: the worker pools of a service, and the class, deadline and lease of its jobs.

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
    }, //
};
use crate::prelude::*;

/// The longest deadline and lease of a record, in seconds.
const MAX_DEADLINE_SECONDS: u64 = 3_600;
/// The greatest limit on the tasks of a job.
const MAX_TASKS: u64 = 10_000;
/// The default limit on the tasks of a job.
const DEFAULT_TASKS: u64 = 256;
/// The most pools of a service.
const MAX_POOLS: usize = 16;

/// The content of a service record, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The worker pools to try, in order.
    pub pools: Vec<Pool>,
    /// The default class of jobs.
    pub class: Class,
    /// The default deadline of jobs, and the longest that is allowed.
    #[serde(rename = "deadline_ms")]
    pub deadline: Span,
    /// The lease of a task: the longest that it may run.
    #[serde(rename = "lease_ms")]
    pub lease: Span,
    /// The most tasks in a job.
    pub tasks: u32,
}

impl Body {
    /// Reads schema 1, which has one pool, a deadline in seconds that is also the lease, and a flag `idempotent`.
    pub(super) fn read_v1(fields: &mut Fields<'_>) -> Option<Self> {
        let pool = fields.read_required("pool", "the name of a pool", fields::read_name);
        let seconds = fields::read_whole(1..=MAX_DEADLINE_SECONDS, "seconds");
        let deadline = fields.read_required("deadline", "a whole number of seconds", seconds);
        let idempotent = fields.read_optional("idempotent", fields::read_bool);
        let tasks = read_tasks(fields);
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

    /// Reads schema 2, which has pools in order, a class, and a deadline and a lease in milliseconds.
    pub(super) fn read_v2(fields: &mut Fields<'_>) -> Option<Self> {
        let pools = read_pools(fields);
        let class = fields.read_optional("class", fields::read_word::<Class>);
        let read_millis = || fields::read_whole(1..=MAX_DEADLINE_SECONDS * 1_000, "milliseconds");
        let deadline = fields.read_required(
            "deadline_ms",
            "a whole number of milliseconds",
            read_millis(),
        );
        let lease = fields.read_optional("lease_ms", read_millis());
        let tasks = read_tasks(fields);
        let deadline = deadline?;
        let lease = lease.unwrap_or(deadline);
        if lease > deadline {
            let detail = format!("is {lease}, more than `deadline_ms`, which is {deadline}");
            fields.add_fault("lease_ms", Code::Range, detail);
        }
        Some(Self {
            pools,
            class: class.unwrap_or_default(),
            deadline: Span::millis(deadline),
            lease: Span::millis(lease),
            tasks,
        })
    }

    /// Returns a fault for each field that schema 1 can't express.
    pub(super) fn find_lost_fields(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add_lost = |path: &str, what: String| {
            let detail = format!("{what} would be lost in schema 1; amend in schema 2");
            faults.push(Fault::new(path, Code::Lost, detail));
        };
        if self.pools.len() > 1 {
            add_lost("pools", format!("the order of {} pools", self.pools.len()));
        }
        if self.class == Class::NonIdempotent {
            add_lost("class", format!("the class {}", self.class));
        }
        if self.lease != self.deadline {
            add_lost("lease_ms", format!("the lease of {}", self.lease));
        }
        if !self.deadline.as_millis().is_multiple_of(1_000) {
            add_lost("deadline_ms", format!("the deadline of {}", self.deadline));
        }
        faults
    }
}

fn read_tasks(fields: &mut Fields<'_>) -> u32 {
    let read = fields::read_whole(1..=MAX_TASKS, "tasks");
    let tasks = fields.read_optional("tasks", read).unwrap_or(DEFAULT_TASKS);
    u32::try_from(tasks).unwrap_or(u32::MAX)
}

fn read_pools(fields: &mut Fields<'_>) -> Vec<Pool> {
    let pools = fields.read_names("pools");
    let count = fields
        .value("pools")
        .map(|v| v.as_array().map_or(1, Vec::len));
    match count {
        None => fields.add_fault("pools", Code::Missing, "is missing; give a list of pools"),
        Some(0) => fields.add_fault("pools", Code::Range, "is empty; name at least one pool"),
        Some(count) if count > MAX_POOLS => {
            let detail = format!("has {count} pools; give {MAX_POOLS} at most");
            fields.add_fault("pools", Code::Range, detail);
        }
        Some(_) => {}
    }
    pools
}
