//! Parses the store's rows that others write, which are the configuration and the endpoints, and encodes the row of
//! an instance.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    parse_json,
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
            Route,
            Service, //
        },
        task::Resources, //
    },
    prelude::*, //
};

/// The operator's table.
pub const OPERATOR_TABLE: &str = "op";

/// The key of the configuration in [`OPERATOR_TABLE`].
pub const CONFIGURATION_KEY: &str = "config";

/// The prefix of keys in [`OPERATOR_TABLE`] that evacuate a data centre. The row's existence counts, not its value.
const EVACUATION_PREFIX: &str = "evacuate/";

/// The table with a row for each endpoint.
pub const ENDPOINT_TABLE: &str = "servers";

/// The table with a row for each instance.
pub const INSTANCE_TABLE: &str = "instances";

/// The table of stored jobs, with a part for each shard.
pub const JOB_TABLE: &str = "jobs";

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
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default = "default_stretch")]
    stretch: f64,
    /// How much longer than its stretched work a job may take. It isn't a limit for the job as a whole.
    #[serde(default)]
    target_duration_ms: f64,
    /// Present if only endpoints that an adviser names may run the route's tasks, which isn't supported.
    #[serde(default)]
    advice: Option<serde::de::IgnoredAny>,
}

fn default_max_attempts() -> u32 {
    1
}

fn default_stretch() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct ServiceBody {
    name: String,
    /// Whether endpoints refuse tasks that exceed their capacity.
    #[serde(default)]
    admission_check: bool,
    /// The most connections to one endpoint, of all instances together.
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

/// Returns the data centre that a row of the operator's table evacuates, or `None` if it isn't such a row.
pub fn parse_evacuation_key(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Parses a configuration.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse_configuration(value: &[u8]) -> Result<Configuration, Fault> {
    let body: ConfigBody = parse_json(value)?;
    let default = Limits::default();
    let limits = body.limits;
    Ok(Configuration {
        version: body.version,
        routes: body.routes.into_iter().map(build_route).collect(),
        services: body.services.into_iter().map(build_service).collect(),
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

fn build_route(body: RouteBody) -> Route {
    Route {
        name: body.name,
        host: body.hostname,
        prefix: body.prefix,
        service: body.service,
        priority: body.priority,
        attempts: body.max_attempts,
        timeout: span_from_millis(body.timeout_ms),
        stretch: body.stretch,
        target: span_from_millis(body.target_duration_ms),
        advised: body.advice.is_some(),
    }
}

fn build_service(body: ServiceBody) -> Service {
    Service {
        name: body.name,
        guarded: body.admission_check,
        connections: body.max_connections,
    }
}

fn span_from_millis(millis: f64) -> Span {
    Span((millis.max(0.0) * 1_000.0) as u64)
}

#[derive(Deserialize)]
struct EndpointBody {
    service: String,
    address: String,
    zone: String,
    state: StateBody,
    capacity: CapacityBody,
    /// When the endpoint's process started, in milliseconds since 1970.
    #[serde(default)]
    born: u64,
    /// The kind of the endpoint, then its rack.
    labels: Vec<String>,
}

/// Whether an endpoint stays. A row with any other state is malformed, because it doesn't tell what its endpoint may
/// be asked for.
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

/// Parses the row of an endpoint, whose key is the endpoint's identifier.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse_endpoint(key: &str, value: &[u8]) -> Result<Listing, Fault> {
    let body: EndpointBody = parse_json(value)?;
    if body.service.is_empty() {
        return Err(Fault::new("service", "is empty"));
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

/// Encodes the row of an instance.
pub fn encode_instance(contact: &Contact) -> Vec<u8> {
    let address = contact.address.clone();
    // A struct of one string can always be serialised.
    serde_json::to_vec(&InstanceBody { address }).unwrap_or_default()
}

/// Parses the row of an instance.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse_instance(key: &str, value: &[u8]) -> Result<Contact, Fault> {
    let body: InstanceBody = parse_json(value)?;
    Ok(Contact {
        name: key.parse().map_err(|e| Fault::new("key", e))?,
        address: body.address,
    })
}
