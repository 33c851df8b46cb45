//! The messages that instances exchange about the configuration.

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

/// The most bytes of changes or records in one message; a single larger one is sent on its own.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Announces changes; returns [`Return::Applied`].
    Announce(Announcement),
    /// Asks for the changes after a revision; returns [`Return::Changes`] or [`Return::Gap`].
    Fetch {
        /// The revision.
        after: Revision,
    },
    /// Asks for the records after a name; returns [`Return::Page`].
    Snapshot {
        /// The name; none for the first page.
        after: Option<Name>,
    },
}

/// An announcement of changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The instance that announces them.
    pub from: Instance,
    /// The newest revision that it applies.
    pub head: Revision,
    /// The changes in order, as many as fit; the peer has to fetch the rest.
    pub changes: Vec<Change>,
    /// Whether the peer has to announce the changes inside its data centre.
    pub relay: bool,
}

/// What a call to a peer returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Return {
    /// The peer now applies this revision.
    Applied(Revision),
    /// Changes in order, as many as fit.
    Changes(Vec<Change>),
    /// The peer no longer holds the changes asked for.
    Gap,
    /// A page of records.
    Page(Page),
    /// The peer has no configuration yet.
    Unready,
}

/// A page of the records of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The revision.
    pub revision: Revision,
    /// The records in the order of their names.
    pub records: Vec<Stored>,
    /// Whether there are further pages.
    pub more: bool,
}
