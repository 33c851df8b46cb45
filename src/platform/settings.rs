//! The settings file that the platform writes for every process.

use std::{
    env,
    net::SocketAddr, //
};

use serde::Deserialize;

use super::Fault;
use crate::prelude::*;

/// The variable that holds the path of the settings file.
const VARIABLE: &str = "POPLARKNOT_SETTINGS";

/// Descriptors that the platform reserves for files.
const RESERVED: usize = 200;

/// What an instance is told about itself and its surroundings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub name: Instance,
    /// Its data centre.
    pub centre: String,
    /// Its own address, without a port.
    pub ip: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the instance takes callers.
    pub ready: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Some peers, which may have gone.
    pub seeds: Vec<String>,
    /// The store.
    pub store: String,
    /// Sockets that may be open at once.
    pub sockets: usize,
    /// The processor share, in thousandths of a core.
    pub share: u32,
    /// After SIGTERM, how long until the process is killed.
    pub grace: Span,
}

#[derive(Deserialize)]
struct File {
    node: String,
    zone: String,
    ip: String,
    /// The first and the last port that instances may use among themselves.
    #[serde(default)]
    port_range: Vec<u16>,
    /// Addresses at which some instances of the role that serves the control plane listen.
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
    /// Only there where the role serves the control plane. Nobody outside calls it, so peers use it: the seeds
    /// are then addresses of peers.
    control: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    max_fds: usize,
    /// Of one core of usual speed.
    cpu_share: f64,
    /// How many times as fast as that the machine's cores are together.
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
    /// The store's address.
    address: String,
}

/// Returns the path of the settings file.
///
/// # Errors
///
/// Fails where the variable isn't set.
pub fn path_from_env() -> Result<String, Fault> {
    env::var(VARIABLE).map_err(|e| Fault::new(VARIABLE, e))
}

/// Reads the text of a settings file. Fields that are not known are left alone.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn parse(text: &str) -> Result<Settings, Fault> {
    let from = toml::Deserializer::parse(text).map_err(|e| Fault::new("TOML", e.message()))?;
    let read: Result<File, _> = serde_path_to_error::deserialize(from);
    let file = read.map_err(|e| Fault::new(e.path().to_string(), e.inner().message()))?;
    let name = file.node.parse().map_err(|e| Fault::new("node", e))?;
    let inner = file
        .port_range
        .first()
        .map(|port| format!("{}:{port}", file.ip));
    let inner = inner.map(|address| address.parse()).transpose();
    let inner: Option<SocketAddr> = inner.map_err(|e| Fault::new("ip", e))?;
    let peers = file.listen_addrs.control.or(inner);
    let grace = (file.bounds.grace_s * 1_000_000.0) as u64;
    Ok(Settings {
        name,
        centre: file.zone,
        ip: file.ip,
        callers: file.listen_addrs.front,
        ready: file.listen_addrs.ready,
        peers: peers.ok_or_else(|| Fault::new("port_range", "no port for peers"))?,
        seeds: match file.listen_addrs.control {
            Some(_) => file.seeds,
            None => Vec::new(),
        },
        store: file.platform.address,
        sockets: file.limits.max_fds.saturating_sub(RESERVED),
        share: (file.limits.cpu_share * file.limits.cores * 1_000.0) as u32,
        grace: Span(grace),
    })
}
