//! The settings file that the platform writes for each process.

use std::{
    env,
    net::SocketAddr, //
};

use serde::Deserialize;

use super::Fault;
use crate::prelude::*;

/// The environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "POPLARKNOT_SETTINGS";

/// File descriptors that are reserved for files and never used for sockets.
const RESERVED_DESCRIPTORS: usize = 200;

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub name: Instance,
    /// The instance's data centre.
    pub centre: String,
    /// The instance's IP address.
    pub ip: String,
    /// The address at which callers connect.
    pub caller_address: SocketAddr,
    /// The address at which the platform checks readiness and reads metrics.
    pub readiness_address: SocketAddr,
    /// The address at which peers connect and heartbeats arrive.
    pub peer_address: SocketAddr,
    /// The address at which peers reach the instance, where it differs from `peer_address`, behind address translation
    /// for example.
    pub advertised_address: Option<SocketAddr>,
    /// Addresses of some peers, which may have left.
    pub seeds: Vec<String>,
    /// The address of the store.
    pub store_address: String,
    /// The most sockets that may be open at once.
    pub max_sockets: usize,
    /// The instance's share of the processor, in thousandths of a core.
    pub share: u32,
    /// The time between SIGTERM and SIGKILL.
    pub grace: Span,
}

#[derive(Deserialize)]
struct File {
    node: String,
    zone: String,
    ip: String,
    /// The first and the last port for connections among instances.
    #[serde(default)]
    port_range: Vec<u16>,
    /// Addresses of some instances of the role that serves the control plane.
    #[serde(default)]
    seeds: Vec<String>,
    listen_addrs: Listen,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    bounds: Bounds,
    platform: Platform,
}

#[derive(Deserialize)]
struct Listen {
    front: SocketAddr,
    ready: SocketAddr,
    /// Set only if the role serves the control plane. No other process connects there, so that peers use it; `seeds`
    /// then holds addresses of peers.
    control: Option<SocketAddr>,
    /// The address at which peers reach this instance, where it differs from the one it listens at.
    advertised: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    max_fds: usize,
    /// In cores of standard speed.
    cpu_share: f64,
    /// The speed of all cores of the machine together, in cores of standard speed.
    cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_fds: 1_024,
            cpu_share: 1.0,
            cores: 1.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Bounds {
    /// Seconds between SIGTERM and SIGKILL.
    grace_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { grace_s: 6.0 }
    }
}

#[derive(Deserialize)]
struct Platform {
    /// The address of the store.
    address: String,
}

/// Returns the path of the settings file from the environment.
///
/// # Errors
///
/// Returns an error if the variable isn't set.
pub fn path_from_env() -> Result<String, Fault> {
    env::var(PATH_VARIABLE).map_err(|e| Fault::new(PATH_VARIABLE, e))
}

/// Parses a settings file. Unknown fields are ignored.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse(text: &str) -> Result<Settings, Fault> {
    let from = toml::Deserializer::parse(text).map_err(|e| Fault::new("TOML", e.message()))?;
    let read: Result<File, _> = serde_path_to_error::deserialize(from);
    let file = read.map_err(|e| Fault::new(e.path().to_string(), e.inner().message()))?;
    let name = file.node.parse().map_err(|e| Fault::new("node", e))?;
    let peer_address = file
        .port_range
        .first()
        .map(|port| format!("{}:{port}", file.ip));
    let peer_address = peer_address.map(|address| address.parse()).transpose();
    let peer_address: Option<SocketAddr> = peer_address.map_err(|e| Fault::new("ip", e))?;
    let peers = file.listen_addrs.control.or(peer_address);
    let grace = (file.bounds.grace_s * 1_000_000.0) as u64;
    Ok(Settings {
        name,
        centre: file.zone,
        ip: file.ip,
        caller_address: file.listen_addrs.front,
        readiness_address: file.listen_addrs.ready,
        peer_address: peers.ok_or_else(|| Fault::new("port_range", "has no port for peers"))?,
        advertised_address: file.listen_addrs.advertised,
        seeds: match file.listen_addrs.control {
            Some(_) => file.seeds,
            None => Vec::new(),
        },
        store_address: file.platform.address,
        max_sockets: file.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS),
        share: (file.limits.cpu_share * file.limits.cores * 1_000.0) as u32,
        grace: Span(grace),
    })
}
