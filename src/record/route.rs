//! Routes: the resolved configuration of a service.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// The limits of a team at a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Its share of the capacity while teams compete, relative to the weights of the other teams.
    pub weight: u32,
    /// The most tasks that it may have in progress at one instance; 0 for no limit.
    pub outstanding: u32,
}

/// The records that concern one service, resolved into the parameters of its jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service.
    pub service: Service,
    /// The newest revision of these records.
    pub revision: Revision,
    /// The open worker pools to try, in order.
    pub pools: Vec<Pool>,
    /// The data centres to try, in order, after the instance's own; empty for all.
    pub centres: Vec<Centre>,
    /// Whether tasks may run outside the instance's own data centre.
    pub spill: bool,
    /// The default class of jobs.
    pub class: Class,
    /// The default deadline of jobs, and the longest that is allowed.
    pub deadline: Span,
    /// The lease of a task: the longest that it may run.
    pub lease: Span,
    /// The most tasks in a job.
    pub max_tasks: u32,
    /// The quotas of teams. A team without one has weight 1 and no limit.
    pub quotas: BTreeMap<Team, Quota>,
}

/// The reason why a service has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Error {
    /// There is no service of this name.
    #[error("no service of this name is in force")]
    UnknownService,
    /// One of the service's records has a schema that this version doesn't support.
    #[error("a record of this service has a schema that this version doesn't know")]
    UnknownSchema,
}
