//! What many instances tell each other: that they live, and which configuration there is; what that costs each of
//! them, and how soon it is known.

#[path = "fleet/documents.rs"]
mod documents;
#[path = "fleet/watch.rs"]
mod watch;
#[path = "fleet/world.rs"]
mod world;
