//! Data centres that the operator has evacuated: nothing is started on their endpoints until they are taken back.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

/// The evacuated data centres, as of a version of the platform's store.
///
/// Each instance follows them in the store, and every heartbeat carries them: an instance that the store turns away goes on
/// starting tasks, and would start them in a data centre that everybody else has left.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// A higher one replaces a lower one.
    pub version: u64,
    /// Their names.
    pub centres: BTreeSet<String>,
}

/// A data centre that the operator evacuates, or takes back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Its name.
    pub centre: String,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
    /// The version of the store with this change.
    pub version: u64,
}

impl Evacuation {
    /// Tells whether a data centre is evacuated.
    pub fn covers(&self, centre: &str) -> bool {
        self.centres.contains(centre)
    }

    /// Returns what holds after a change; none where the change is known already.
    ///
    /// A feed may tell late what a peer has told of before, and must not bring it back.
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
