//! poplarknot: a dispatcher for bursts of sub-second tasks.

pub mod audit;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod core;
pub mod decision;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod http;
pub mod id;
pub mod job;
pub mod metrics;
pub mod peer;
#[allow(missing_docs, unreachable_pub, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
pub mod peer_capnp;
pub mod prelude;
pub mod record;
pub mod ring;
pub mod serve;
pub mod settings;
mod sync;
pub mod table;
pub mod time;
