//! What instances say to one another about the configuration.

use serde::{
    Deserialize,
    Serialize, //
};

use super::row::{
    Change,
    Stored, //
};
use crate::{
    prelude::*,
    record::Name, //
};

/// The most bytes of changes or records in one message, but for a single one that is larger.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Notifies of changes; returns [`Return::Applied`].
    Announce(Announcement),
    /// Asks for the changes after a revision; returns [`Return::Changes`] or [`Return::Gap`].
    Fetch {
        /// The revision.
        after: Revision,
    },
    /// Asks for the records after a name; returns [`Return::Page`].
    Snapshot {
        /// The name; none at the beginning.
        after: Option<Name>,
    },
}

/// Notifies a peer of changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The caller.
    pub from: Instance,
    /// The newest revision that the caller applies.
    pub head: Revision,
    /// The changes, in order; where they don't all fit, the rest has to be fetched.
    pub changes: Vec<Change>,
    /// Whether the peer is to pass it on inside its data centre.
    pub relay: bool,
}

/// What a call to a peer gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Return {
    /// The peer now applies this revision.
    Applied(Revision),
    /// Changes in order, as many as fit.
    Changes(Vec<Change>),
    /// The peer no longer holds the changes asked for.
    Gap,
    /// Records.
    Page(Page),
    /// The peer has no configuration yet.
    Unready,
}

/// Some of the records of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The revision.
    pub revision: Revision,
    /// The records in the order of their names.
    pub records: Vec<Stored>,
    /// Whether there are more.
    pub more: bool,
}
