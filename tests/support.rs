//! Stand-ins for what an instance talks to, and a harness that runs real instances.
//!
//! All of it listens on loopback, on ports that the system picks. The stand-ins are tasks on the
//! runtime of the test, so that a test reads their counters directly; examples run the same code as
//! processes of their own and read the counters over HTTP.
#![allow(dead_code, unreachable_pub)] // Each target uses its own part.

// The paths are given since examples load this file from another folder.
#[path = "support/client.rs"]
pub mod client;
#[path = "support/cluster.rs"]
pub mod cluster;
#[path = "support/instance.rs"]
pub mod instance;
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

/// How long the harness waits for an event before it gives up.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `check` gives a value.
///
/// # Errors
///
/// Gives up, naming `what`, when the harness runs out of patience.
pub async fn wait_until<T, F>(what: &str, mut check: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let attempt = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, attempt)
        .await
        .map_err(|_| format!("gave up waiting until {what}").into())
}
