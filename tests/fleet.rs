//! What many instances tell each other: that they live, which endpoints and which configuration there are; what that costs each of
//! them, and how soon it is known.

#[path = "fleet/documents.rs"]
mod documents;
#[path = "fleet/readers.rs"]
mod readers;
#[path = "fleet/watch.rs"]
mod watch;
#[path = "fleet/world.rs"]
mod world;
