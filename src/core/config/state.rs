//! The applied configuration, the configuration being loaded, and the commands and calls in progress.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use super::{
    ask,
    row::{
        Change,
        Stored, //
    }, //
};
use crate::{
    core::message::Request,
    prelude::*,
    record::{
        route::{
            Error,
            Route, //
        },
        set::Set,
        Name,
        Record, //
    }, //
};

/// The most recent changes that are kept for peers that lag behind.
const MAX_RECENT_CHANGES: usize = 1_024;
/// The most bytes of recent changes.
const MAX_RECENT_BYTES: usize = 2 << 20;

/// What a command or a call is for.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// The change at the front of the queue.
    Edit,
    /// Deferred entries of the audit trail.
    Trail,
    /// A query of the audit trail.
    Audit(Request, ask::Audit),
    /// A poll of the head.
    Poll,
    /// Catching up with the table.
    Sync,
    /// An announcement.
    Announce(Delivery),
    /// Catching up with a peer.
    Peer,
}

/// A command or a call in progress.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) purpose: Purpose,
    /// When it counts as lost.
    pub(super) expires: Time,
}

/// An announcement to one peer.
#[derive(Debug, Clone)]
pub(super) struct Delivery {
    pub(super) to: Instance,
    /// The revision before the announced changes.
    pub(super) after: Revision,
    /// For another data centre: which one, and how many of its instances were tried before.
    pub(super) remote: Option<(Centre, usize)>,
}

/// The step of a catch-up that is in progress.
#[derive(Debug)]
pub(super) enum Stage {
    /// Nothing is in progress.
    Idle,
    /// The head is being read, before a load.
    Head,
    /// Pages of records are being read.
    Records(Load),
    /// The head is being read again, after the records.
    HeadAfterRecords(Load),
    /// The changes since the load's revision are being read, up to this one.
    Changes(Load, Revision),
    /// The changes after the applied revision are being read from the table.
    Scan,
    /// The changes after the applied revision are being fetched from a peer.
    Fetch,
    /// A snapshot is being fetched from a peer.
    Snapshot(Instance, Load),
}

/// The configuration that an instance applies.
#[derive(Debug, Default)]
pub(super) struct Applied {
    ready: bool,
    revision: Revision,
    set: Set,
    /// The route of each service, derived from the records.
    routes: BTreeMap<Service, Result<Arc<Route>, Error>>,
    /// The latest changes without a gap, kept for peers that lag behind.
    recent: VecDeque<Arc<Change>>,
    /// The size of the recent changes, in bytes.
    bytes: usize,
}

impl Applied {
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn set(&self) -> &Set {
        &self.set
    }

    pub(super) fn route(&self, service: &Service) -> Result<Arc<Route>, Error> {
        let route = self.routes.get(service).cloned();
        route.unwrap_or(Err(Error::UnknownService))
    }

    /// Puts a whole configuration in force, unless the applied one is as new; returns whether it did.
    pub(super) fn install(&mut self, revision: Revision, set: Set) -> bool {
        // A slow load may end after newer changes were applied by other means. Installing it would revert accepted
        // changes. The table orders all revisions, so comparing them is enough.
        if self.ready && revision <= self.revision {
            return false;
        }
        self.ready = true;
        self.revision = revision;
        self.set = set;
        self.routes = self.set.resolve_all();
        self.recent.clear();
        self.bytes = 0;
        true
    }

    /// Applies a change if it is the next revision; returns whether it was.
    pub(super) fn apply(&mut self, change: &Change) -> bool {
        // Announcements may be duplicated, late and out of order. An older change would revert a record amended since,
        // and a later one would skip a change. Each revision has one change, so applying only the next one gives every
        // instance the same configuration at the same revision.
        if !self.ready || change.revision != self.revision.next() {
            return false;
        }
        apply_to(&mut self.set, change);
        self.revision = change.revision;
        self.routes = self.set.resolve_all();
        self.push_recent(change);
        true
    }

    /// Keeps a change for peers that lag behind; the oldest are dropped beyond the bounds.
    fn push_recent(&mut self, change: &Change) {
        self.bytes += change.bytes();
        self.recent.push_back(Arc::new(change.clone()));
        while self.recent.len() > MAX_RECENT_CHANGES || self.bytes > MAX_RECENT_BYTES {
            let oldest = self.recent.pop_front();
            self.bytes -= oldest.map_or(0, |change| change.bytes());
        }
    }

    /// Returns the changes after `revision`, up to `max_bytes`; none if they are no longer kept.
    pub(super) fn changes_after(
        &self,
        revision: Revision,
        max_bytes: usize,
    ) -> Option<Vec<Change>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        if self.recent.front()?.revision > revision.next() {
            return None;
        }
        let later = self
            .recent
            .iter()
            .filter(|change| change.revision > revision);
        let mut bytes = 0;
        let fits = |change: &&Arc<Change>| {
            let first = bytes == 0;
            bytes += change.bytes();
            first || bytes <= max_bytes
        };
        Some(
            later
                .take_while(fits)
                .map(|change| (**change).clone())
                .collect(),
        )
    }
}

/// A configuration that is being loaded.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) revision: Revision,
    pub(super) set: Set,
    /// The name of the record that was added last.
    pub(super) last: Option<Name>,
}

impl Load {
    pub(super) fn at(revision: Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Adds a record.
    pub(super) fn add(&mut self, stored: Stored) {
        let record = Record::parse_accepted(stored.name.clone(), stored.text);
        self.set.insert(Arc::new(record), stored.revision);
        self.last = Some(stored.name);
    }

    /// Applies the changes that follow the load's revision without a gap.
    pub(super) fn replay(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            if change.revision == self.revision.next() {
                apply_to(&mut self.set, &change);
                self.revision = change.revision;
            }
        }
    }
}

/// Applies a change to a set of records.
fn apply_to(set: &mut Set, change: &Change) {
    match &change.text {
        Some(text) => {
            let record = Record::parse_accepted(change.name.clone(), text.as_str());
            set.insert(Arc::new(record), change.revision);
        }
        None => set.remove(&change.name),
    }
}
