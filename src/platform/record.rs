//! Rows of the store that others write: the configuration and the endpoints; and the row of an instance.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    json,
    Fault, //
};
use crate::{
    dispatch::{
        id::Life,
        message::{
            Contact,
            Listing, //
        },
        route::{
            Configuration,
            Limits,
            Route, //
            Service,
        },
        task::Resources, //
    },
    prelude::*,
};

/// The operator's table, and the key of the configuration in it.
pub const OPERATOR: &str = "op";

/// See [`OPERATOR`].
pub const CONFIGURATION: &str = "config";

/// Begins the key of a row in the operator's table that evacuates a data centre for as long as it stands, whatever it holds.
const EVACUATE: &str = "evacuate/";

/// The table in which every endpoint keeps a row.
pub const ENDPOINTS: &str = "servers";

/// The table in which every instance keeps a row.
pub const INSTANCES: &str = "instances";

/// The table of stored jobs, with a part for each shard.
pub const JOBS: &str = "jobs";

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: LimitsBody,
}

#[derive(Deserialize)]
struct RouteBody {
    name: String,
    hostname: String,
    prefix: String,
    service: String,
    #[serde(default)]
    priority: u32,
    #[serde(default = "once")]
    max_attempts: u32,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default = "one")]
    stretch: f64,
    /// How much longer than its stretched work a job may take: no target for the whole.
    #[serde(default)]
    target_duration_ms: f64,
    /// Times of the adviser, where the queue has one.
    #[serde(default)]
    advice: Option<serde::de::IgnoredAny>,
}

fn once() -> u32 {
    1
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct ServiceBody {
    name: String,
    /// Whether endpoints refuse what doesn't fit.
    #[serde(default)]
    admission_check: bool,
    /// At one endpoint, of all instances together.
    #[serde(default)]
    max_connections: u32,
}

#[derive(Deserialize, Default)]
struct LimitsBody {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Returns the data centre that a row of the operator's table evacuates, if it is such a row.
pub fn evacuated(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATE)
}

/// Reads a configuration.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn configuration(value: &[u8]) -> Result<Configuration, Fault> {
    let body: ConfigBody = json(value)?;
    let default = Limits::default();
    let limits = body.limits;
    Ok(Configuration {
        version: body.version,
        routes: body.routes.into_iter().map(route).collect(),
        services: body.services.into_iter().map(pool).collect(),
        limits: Limits {
            max_header_bytes: limits.max_header_bytes.unwrap_or(default.max_header_bytes),
            max_body_bytes: limits.max_body_bytes.unwrap_or(default.max_body_bytes),
            header_timeout: limits
                .header_timeout_ms
                .map_or(default.header_timeout, Span::millis),
            idle_timeout: limits
                .idle_timeout_ms
                .map_or(default.idle_timeout, Span::millis),
        },
    })
}

fn route(body: RouteBody) -> Route {
    Route {
        name: body.name,
        host: body.hostname,
        prefix: body.prefix,
        service: body.service,
        priority: body.priority,
        attempts: body.max_attempts,
        timeout: span(body.timeout_ms),
        stretch: body.stretch,
        target: span(body.target_duration_ms),
        advised: body.advice.is_some(),
    }
}

fn pool(body: ServiceBody) -> Service {
    Service {
        name: body.name,
        guarded: body.admission_check,
        connections: body.max_connections,
    }
}

fn span(millis: f64) -> Span {
    Span((millis.max(0.0) * 1_000.0) as u64)
}

#[derive(Deserialize)]
struct EndpointBody {
    service: String,
    address: String,
    zone: String,
    state: StateBody,
    capacity: CapacityBody,
    /// When its life began, in milliseconds since 1970.
    #[serde(default)]
    born: u64,
    /// Its kind, and then its rack.
    labels: Vec<String>,
}

/// Whether an endpoint stays. A state that isn't named here is that of no endpoint: nobody knows what it can be asked for.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateBody {
    Ready,
    Draining,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct CapacityBody {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
}

/// Reads the row of an endpoint; its key names one life of it.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn endpoint(key: &str, value: &[u8]) -> Result<Listing, Fault> {
    let body: EndpointBody = json(value)?;
    if body.service.is_empty() {
        return Err(Fault::new("service", "it is empty"));
    }
    let address: SocketAddr = body.address.parse().map_err(|e| Fault::new("address", e))?;
    Ok(Listing {
        id: key.parse().map_err(|e| Fault::new("key", e))?,
        life: Life(body.born),
        service: body.service,
        address: address.to_string(),
        centre: body.zone,
        rack: body.labels.get(1).cloned().unwrap_or_default(),
        labels: body.labels,
        capacity: Resources {
            cpu: body.capacity.cpu,
            memory: body.capacity.mem_mb,
            gpu: body.capacity.gpu,
        },
        draining: matches!(body.state, StateBody::Draining),
    })
}

#[derive(Serialize, Deserialize)]
struct InstanceBody {
    address: String,
}

/// Writes the row of an instance.
pub fn write_instance(contact: &Contact) -> Vec<u8> {
    let address = contact.address.clone();
    // A struct of one text always serialises.
    serde_json::to_vec(&InstanceBody { address }).unwrap_or_default()
}

/// Reads the row of an instance.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn instance(key: &str, value: &[u8]) -> Result<Contact, Fault> {
    let body: InstanceBody = json(value)?;
    Ok(Contact {
        name: key.parse().map_err(|e| Fault::new("key", e))?,
        address: body.address,
    })
}
