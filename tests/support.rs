//! Test doubles for the services that an instance calls, and a harness that runs real instances.
//!
//! Everything listens on loopback, on ports that the system assigns. The doubles are tasks on the runtime of the test,
//! so that a test reads their counters directly; examples run the same code as separate processes and read the
//! counters over HTTP.
#![allow(dead_code, unreachable_pub)] // No target uses every helper.

// Explicit paths, since examples load this file from another folder.
#[path = "support/client.rs"]
pub mod client;
#[path = "support/cluster.rs"]
pub mod cluster;
#[path = "support/instance.rs"]
pub mod instance;
#[path = "support/monitor.rs"]
pub mod monitor;
#[path = "support/peer_proxy.rs"]
pub mod peer_proxy;
#[path = "support/platform.rs"]
pub mod platform;
#[path = "support/proxy.rs"]
pub mod proxy;
#[path = "support/server.rs"]
pub mod server;
#[path = "support/worker.rs"]
pub mod worker;

use std::{
    future::Future,
    time::Duration, //
};

/// The result of a step of the harness.
pub type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Time limit of the harness for any single wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `check` until it returns a value.
///
/// # Errors
///
/// Fails after [`WAIT_TIMEOUT`] with an error that names `what`.
pub async fn wait_until<T, F>(what: &str, mut check: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let poll = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, poll)
        .await
        .map_err(|_| format!("timed out waiting until {what}").into())
}
