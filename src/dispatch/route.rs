//! The configuration: queues by host and path prefix, services, and limits for callers' connections.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Route>,
    /// The services whose endpoints run tasks.
    pub services: Vec<Service>,
    /// Limits for callers' connections.
    pub limits: Limits,
}

/// A queue as callers know it: the requests that submit jobs to it, and how these jobs run. The tasks that wait at a rack
/// are in [`queue::Queue`](super::queue::Queue).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host of its requests, without a port.
    pub host: String,
    /// The prefix of the paths of its requests.
    pub prefix: String,
    /// The service whose endpoints run the tasks.
    pub service: String,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// The time limit for callers that set none.
    pub timeout: Span,
    /// The factor on a job's critical path in its objective, see [`Route::objective`].
    pub stretch: f64,
    /// The constant part of a job's objective, see [`Route::objective`].
    pub target: Span,
    /// Whether only endpoints that an adviser names may run its tasks.
    pub advised: bool,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its endpoints refuse tasks that exceed their free resources.
    pub guarded: bool,
    /// The most connections that one endpoint accepts, from all instances together.
    pub connections: u32,
}

/// Limits for callers' connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The greatest size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The greatest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request's headers may take to arrive, and how long its body may.
    pub header_timeout: Span,
    /// How long an idle connection stays open.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Returns the limits in force before the first configuration: those of the platform's examples.
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
    /// Returns the queue of a request and the rest of its path. Of the host's queues the longest prefix wins; a port
    /// in `host` is ignored.
    pub fn find_route<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        let found = self.routes.iter().filter(matches);
        let route = found.max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// Returns whether a service is configured, or is named by a queue.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|entry| entry.name == service)
            || self.routes.iter().any(|route| route.service == service)
    }

    /// Returns the names of all services, including those that only a queue names.
    pub fn service_names(&self) -> BTreeSet<&str> {
        let services = self.services.iter().map(|service| service.name.as_str());
        let routes = self.routes.iter().map(|route| route.service.as_str());
        services.chain(routes).collect()
    }
}

impl Route {
    /// Returns the time after its arrival within which a job's end is on time: its critical path times
    /// [`Route::stretch`], plus [`Route::target`].
    pub fn objective(&self, critical_path: Span) -> Span {
        Span((critical_path.0 as f64 * self.stretch) as u64 + self.target.0)
    }
}

/// What an owner goes by of the configured queues, by priority.
#[derive(Debug, Clone, Default)]
pub struct Queues {
    /// The stretch and the target of each priority, the largest where several queues have it.
    objectives: BTreeMap<u32, (f64, Span)>,
}

impl Queues {
    /// Returns the summary of queues.
    pub fn new(routes: &[Route]) -> Self {
        let mut objectives: BTreeMap<u32, (f64, Span)> = BTreeMap::new();
        for route in routes {
            let (stretch, target) = objectives.entry(route.priority).or_default();
            *stretch = stretch.max(route.stretch);
            *target = route.target.max(*target);
        }
        Self { objectives }
    }

    /// Returns whether the queues have several priorities.
    pub fn have_several_priorities(&self) -> bool {
        self.objectives.len() > 1
    }

    /// Returns the time within which a task with this estimate must end to be on time, from its arrival, if its job is one step.
    /// Returns `None` if no queue has the priority.
    pub fn objective(&self, priority: u32, estimate: Span) -> Option<Span> {
        let (stretch, target) = self.objectives.get(&priority)?;
        Some(Span((estimate.0 as f64 * stretch) as u64) + *target)
    }
}
