//! What an instance applies, and what it waits for.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
};

use super::{
    ask,
    row::{
        Change,
        Stored, //
    },
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
    },
};

/// The most changes that are kept for peers that lag behind.
const MOST_CHANGES: usize = 1_024;
/// The most bytes of them.
const MOST_BYTES: usize = 2 << 20;

/// What an operation or a call is for.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// For the change that is being judged.
    Edit,
    /// For the audit trail, write-behind.
    Trail,
    /// For a question to the audit trail.
    Audit(Request, ask::Audit),
    /// A poll of the head.
    Poll,
    /// For catching up with the table.
    Sync,
    /// An announcement.
    Announce(Delivery),
    /// For catching up with a peer.
    Peer,
}

/// An operation or a call in progress.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) purpose: Purpose,
    pub(super) until: Time,
}

/// An announcement on its way to one peer.
#[derive(Debug, Clone)]
pub(super) struct Delivery {
    pub(super) to: Instance,
    /// The revision before the changes that it announces.
    pub(super) after: Revision,
    /// Where it goes to another data centre, which, and how many were tried before.
    pub(super) outward: Option<(Centre, usize)>,
}

/// Which step of catching up is in progress, one at a time.
#[derive(Debug)]
pub(super) enum Stage {
    Idle,
    /// The head is being read, before a load.
    Head,
    /// Pages of records are being read.
    Records(Load),
    /// The head is being read again, after the records.
    Again(Load),
    /// The changes since are being read, up to this revision.
    Changes(Load, Revision),
    /// The changes after the applied revision are being read.
    Scan,
    /// They are being fetched from a peer.
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
    routes: BTreeMap<Service, Result<Arc<Route>, Error>>,
    recent: VecDeque<Arc<Change>>,
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

    /// Puts a whole configuration in force, unless one as new is.
    pub(super) fn install(&mut self, revision: Revision, set: Set) -> bool {
        // A load that took long may end after newer changes came by another way. To install it would take accepted
        // records out of force again. Revisions are totally ordered by the table, so comparing them is enough.
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

    /// Puts the change in force that follows on what is applied; any other is left.
    pub(super) fn apply(&mut self, change: &Change) -> bool {
        // Announcements come twice, late and out of order. An older one would bring back a record that has been
        // amended since, a later one would skip a change. Each revision has one change, so applying just the next
        // one gives every instance the same configuration at the same revision.
        if !self.ready || change.revision != self.revision.next() {
            return false;
        }
        replay(&mut self.set, change);
        self.revision = change.revision;
        self.routes = self.set.resolve_all();
        self.keep(change);
        true
    }

    fn keep(&mut self, change: &Change) {
        self.bytes += change.bytes();
        self.recent.push_back(Arc::new(change.clone()));
        while self.recent.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let oldest = self.recent.pop_front();
            self.bytes -= oldest.map_or(0, |change| change.bytes());
        }
    }

    /// Returns the changes after `revision` up to `most` bytes; none where they are no longer held.
    pub(super) fn since(&self, revision: Revision, most: usize) -> Option<Vec<Change>> {
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
            first || bytes <= most
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
    pub(super) last: Option<Name>,
}

impl Load {
    pub(super) fn at(revision: Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, stored: Stored) {
        let record = Record::parse_accepted(stored.name.clone(), stored.text);
        self.set.insert(Arc::new(record), stored.revision);
        self.last = Some(stored.name);
    }

    /// Replays the changes that follow without a gap.
    pub(super) fn replay(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            if change.revision == self.revision.next() {
                replay(&mut self.set, &change);
                self.revision = change.revision;
            }
        }
    }
}

/// Does to a set what the change says.
fn replay(set: &mut Set, change: &Change) {
    match &change.text {
        Some(text) => {
            let record = Record::parse_accepted(change.name.clone(), text.as_str());
            set.insert(Arc::new(record), change.revision);
        }
        None => set.remove(&change.name),
    }
}
