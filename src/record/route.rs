//! Routes: how the jobs of a service are run, as its records say together.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// What a team may use of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Its share of the capacity when teams compete, relative to the others' weights.
    pub weight: u32,
    /// The most tasks that it may have in progress at one instance; zero stands for no bound.
    pub outstanding: u32,
}

/// How the jobs of one service are run: the records that concern it, resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service.
    pub service: Service,
    /// The newest revision of the records that it is from.
    pub revision: Revision,
    /// The worker pools to try, in order.
    pub pools: Vec<Pool>,
    /// The data centres to try, in order, after the instance's own; empty stands for all.
    pub centres: Vec<Centre>,
    /// Whether work may leave the instance's own data centre.
    pub spill: bool,
    /// The class of jobs that name none.
    pub class: Class,
    /// The deadline of jobs that name none, and the longest that is allowed.
    pub deadline: Span,
    /// The longest that a task may run: the lease that it starts under.
    pub lease: Span,
    /// The most tasks in a job.
    pub max_tasks: u32,
    /// What teams may use; others get weight 1 without a bound.
    pub quotas: BTreeMap<Team, Quota>,
}

/// Why there is no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Error {
    /// No service of this name is in force.
    #[error("no service of this name is in force")]
    UnknownService,
    /// One of its records is of a schema that this version doesn't know.
    #[error("a record of this service has a schema that this version doesn't know")]
    UnknownSchema,
}
