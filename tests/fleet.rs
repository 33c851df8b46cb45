//! Traffic between many instances: heartbeats, the roster of endpoints and the configuration. The tests bound what each
//! instance sends and receives, and how long a change takes to reach all.

#[path = "fleet/configuration.rs"]
mod configuration;
#[path = "fleet/growth.rs"]
mod growth;
#[path = "fleet/readers.rs"]
mod readers;
#[path = "fleet/single.rs"]
mod single;
#[path = "fleet/watch.rs"]
mod watch;
#[path = "fleet/world.rs"]
mod world;
