//! poplarknot: a dispatcher for bursts of sub-second tasks.

pub mod audit;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod core;
pub mod decision;
pub mod dispatch;
pub mod endpoint;
pub mod error;
pub mod event;
#[allow(missing_docs, unreachable_pub, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
pub mod fleet_capnp;
pub mod http;
pub mod id;
pub mod instance;
pub mod job;
pub mod metrics;
pub mod peer;
#[allow(missing_docs, unreachable_pub, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
pub mod peer_capnp;
pub mod platform;
pub mod prelude;
pub mod record;
pub mod ring;
pub mod rpc;
pub mod serve;
pub mod settings;
mod sync;
pub mod table;
pub mod time;
pub mod timeout;
pub mod trace;
