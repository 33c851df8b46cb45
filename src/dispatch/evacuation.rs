//! Data centres that the operator has evacuated. No tasks are started on their endpoints until the evacuation is lifted.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

/// The evacuated data centres, at a version of the platform's store.
///
/// Each instance reads them from the store, and every heartbeat carries them. Without the heartbeats, an instance that can't
/// reach the store would go on starting tasks in an evacuated data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The version of the store. A higher version replaces a lower one.
    pub version: u64,
    /// The names of the evacuated data centres.
    pub centres: BTreeSet<String>,
}

/// A change to the evacuation of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The name of the data centre.
    pub centre: String,
    /// Whether the data centre is evacuated after the change.
    pub evacuated: bool,
    /// The version of the store with this change.
    pub version: u64,
}

impl Evacuation {
    /// Returns whether a data centre is evacuated.
    pub fn covers(&self, centre: &str) -> bool {
        self.centres.contains(centre)
    }

    /// Returns the evacuation with a change applied, or `None` if the change isn't newer.
    ///
    /// The store may deliver a change after a heartbeat has brought a newer one, which must not be undone.
    pub fn with_change(&self, change: &Change) -> Option<Self> {
        if change.version <= self.version {
            return None;
        }
        let mut centres = self.centres.clone();
        match change.evacuated {
            true => centres.insert(change.centre.clone()),
            false => centres.remove(&change.centre),
        };
        Some(Self {
            version: change.version,
            centres,
        })
    }
}
