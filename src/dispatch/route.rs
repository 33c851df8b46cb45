//! The configuration in force: queues by host and prefix, services, limits.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// One version of the configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// A higher one replaces a lower one.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Route>,
    /// The services that run their tasks.
    pub services: Vec<Service>,
    /// Bounds on callers' connections.
    pub limits: Limits,
}

/// A queue: where jobs come in, and how they are run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// The service whose endpoints run the tasks.
    pub service: String,
    /// Zero comes first.
    pub priority: u32,
    /// How many runs of a task may fail before its job has failed.
    pub attempts: u32,
    /// How long callers wait at most.
    pub timeout: Span,
    /// A job is on time within this multiple of its longest chain of work, and [`Route::target`] more.
    pub stretch: f64,
    /// See [`Route::stretch`].
    pub target: Span,
    /// Whether only endpoints that an adviser names may run its tasks.
    pub advised: bool,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its endpoints refuse what doesn't fit.
    pub guarded: bool,
    /// Connections that one endpoint takes of all instances together.
    pub connections: u32,
}

/// Bounds on callers' connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of the headers of a request.
    pub max_header_bytes: usize,
    /// Bytes of the body of a request.
    pub max_body_bytes: usize,
    /// For the headers of a request to come whole.
    pub header_timeout: Span,
    /// For an idle connection to stay open.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Stands in until the first configuration: what the platform's examples show.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout: Span::seconds(3),
            idle_timeout: Span::seconds(15),
        }
    }
}

impl Configuration {
    /// Finds the queue of a request, and the rest of its path: the host and the longest prefix decide.
    pub fn find_route<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        let found = self.routes.iter().filter(fits);
        let route = found.max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// Tells whether a service is named here, by itself or by a queue.
    pub fn names(&self, service: &str) -> bool {
        self.services.iter().any(|pool| pool.name == service)
            || self.routes.iter().any(|route| route.service == service)
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> BTreeSet<&str> {
        let pools = self.services.iter().map(|pool| pool.name.as_str());
        let queues = self.routes.iter().map(|route| route.service.as_str());
        pools.chain(queues).collect()
    }
}

impl Route {
    /// Returns how long after its arrival a job with the longest chain of work `chain` is on time.
    pub fn objective(&self, chain: Span) -> Span {
        Span((chain.0 as f64 * self.stretch) as u64 + self.target.0)
    }
}
