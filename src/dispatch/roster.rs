//! The cached list of endpoints, which keeps entries over outages of the store.

use std::collections::{
    BTreeMap,
    HashSet, //
};

use super::message::{
    Listing,
    Roster,
    RosterChange, //
};
use crate::prelude::*;

/// The most endpoints in one change, which bounds the size of a message: other messages wait for it on a slow link.
const MAX_CHANGED_ENDPOINTS: usize = 200;

/// How long after an outage of the store an entry may be missing while its endpoint is alive. Endpoints write their entries
/// again within that time.
const GRACE_PERIOD: Span = Span::millis(2_300);

/// An entry of the cache.
#[derive(Debug, Clone, PartialEq)]
struct CachedListing {
    listing: Listing,
    /// When its row went missing during an outage or just after one.
    missing_since: Option<Time>,
}

/// A cache of the list of endpoints.
///
/// Rows expire during an outage of the store, since endpoints can't renew them. If these endpoints were dropped, they'd get no
/// tasks until they have written their rows again. So an entry that goes missing during an outage or shortly after one is kept
/// until its endpoint has had time to write it.
#[derive(Debug, Default)]
pub struct Cache {
    entries: BTreeMap<Endpoint, CachedListing>,
    version: u64,
    store: Store,
    /// Endpoints whose entries were set or removed since the list was last taken, with the version of the change.
    changed: BTreeMap<Endpoint, u64>,
    /// The version of the list that was taken last, or zero if there was none.
    taken_version: u64,
}

/// The availability of the store.
#[derive(Debug, Default)]
enum Store {
    /// It answers, and endpoints have had time to write their rows since the last outage.
    #[default]
    Stable,
    /// The last call failed.
    Unavailable,
    /// It has answered again since the given time.
    Recovering(Time),
}

impl Cache {
    /// Records that a call to the store failed: entries that go missing are kept from now on.
    pub fn on_store_failure(&mut self) {
        self.store = Store::Unavailable;
    }

    /// Records that the store answered.
    ///
    /// The grace period starts with the first answer after an outage, not with the last failed call: that may be a second
    /// earlier, and endpoints would be dropped just before they write their rows again.
    pub fn on_store_answer(&mut self, now: Time) {
        match self.store {
            Store::Unavailable => self.store = Store::Recovering(now),
            Store::Recovering(since) if now.since(since) >= GRACE_PERIOD => {
                self.store = Store::Stable
            }
            _ => {}
        }
    }

    /// Replaces the entries by a list that peers sent, unless that's older.
    ///
    /// An instance that starts during an outage of the store has the list only from its peers. Entries that are missing when the
    /// store is back get the grace period here too.
    pub fn merge_peer_roster(&mut self, roster: &Roster) {
        if roster.version < self.version {
            return;
        }
        self.version = roster.version;
        self.taken_version = roster.version;
        self.changed.clear();
        let mut old_entries = std::mem::take(&mut self.entries);
        for listing in &roster.endpoints {
            let missing_since = old_entries
                .remove(&listing.id)
                .and_then(|entry| entry.missing_since);
            let entry = CachedListing {
                listing: listing.clone(),
                missing_since,
            };
            self.entries.insert(listing.id.clone(), entry);
        }
    }

    /// Adds or replaces an entry whose row has changed.
    pub fn set(&mut self, listing: Listing, version: u64) {
        let id = listing.id.clone();
        let entry = CachedListing {
            listing,
            missing_since: None,
        };
        if self.entries.get(&id) != Some(&entry) {
            self.mark_changed(&id, version);
            self.entries.insert(id, entry);
        }
    }

    /// Removes an entry whose row is missing. During an outage of the store and `GRACE_PERIOD` after it, it's only marked.
    pub fn remove(&mut self, id: &Endpoint, version: u64, now: Time) {
        let tolerated = self.tolerates_missing(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if tolerated {
            entry.missing_since.get_or_insert(now);
            return;
        }
        self.entries.remove(id);
        self.mark_changed(id, version);
    }

    /// Removes an entry whose row has become malformed, also during an outage: nothing is known about the endpoint any more, so
    /// it must get no tasks.
    pub fn remove_at_once(&mut self, id: &Endpoint, version: u64) {
        if self.entries.remove(id).is_some() {
            self.mark_changed(id, version);
        }
    }

    /// Replaces the whole list, as it was read from `version` on. Entries that aren't in it are handled as missing.
    ///
    /// The list is read in pages, so that later pages hold rows that are newer than `version`, while changes of that time in
    /// earlier pages are missing. The list counts as of `version`, so that these aren't taken for known. It's ignored if peers have
    /// sent a newer one meanwhile, which it would revert.
    pub fn replace_all(&mut self, listings: Vec<Listing>, version: u64, now: Time) {
        if version < self.version {
            return;
        }
        let listed: HashSet<&Endpoint> = listings.iter().map(|listing| &listing.id).collect();
        let ids = self.entries.keys();
        let missing: Vec<Endpoint> = ids.filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.remove(&id, version, now);
        }
        for listing in listings {
            self.set(listing, version);
        }
    }

    /// Marks the entry of an endpoint as changed at a version of the store.
    fn mark_changed(&mut self, id: &Endpoint, version: u64) {
        self.version = self.version.max(version);
        self.changed.insert(id.clone(), version);
    }

    /// Returns whether an entry may be missing while its endpoint is alive.
    fn tolerates_missing(&self, now: Time) -> bool {
        match self.store {
            Store::Stable => false,
            Store::Unavailable => true,
            Store::Recovering(since) => now.since(since) < GRACE_PERIOD,
        }
    }

    /// Drops missing entries once the grace period is over. If the list has changed since the last call, returns it and the
    /// changes, of which each applies to the result of the one before.
    pub fn take_changed(&mut self, now: Time) -> Option<(Roster, Vec<RosterChange>)> {
        if !self.tolerates_missing(now) {
            let (version, changed) = (self.version, &mut self.changed);
            self.entries.retain(|id, entry| {
                if entry.missing_since.is_some() {
                    changed.insert(id.clone(), version);
                }
                entry.missing_since.is_none()
            });
        }
        if self.changed.is_empty() {
            return None;
        }
        let changes = self.take_changes();
        let listings = self.entries.values().map(|entry| entry.listing.clone());
        let roster = Roster {
            version: self.version,
            endpoints: listings.collect(),
        };
        Some((roster, changes))
    }

    /// Returns the changes since the last call, in the order of their versions, and none if there was no list before.
    fn take_changes(&mut self) -> Vec<RosterChange> {
        let mut changed: Vec<(Endpoint, u64)> =
            std::mem::take(&mut self.changed).into_iter().collect();
        let mut after = std::mem::replace(&mut self.taken_version, self.version);
        if after == 0 {
            return Vec::new();
        }
        changed.sort_by_key(|(_, version)| *version);
        let mut changes = Vec::new();
        for part in changed.chunks(MAX_CHANGED_ENDPOINTS) {
            let last = part.last().map_or(after, |(_, version)| *version);
            let mut change = RosterChange {
                after,
                version: last.max(after),
                ..RosterChange::default()
            };
            for (id, _) in part {
                match self.entries.get(id) {
                    Some(entry) => change.changed.push(entry.listing.clone()),
                    None => change.removed.push(id.clone()),
                }
            }
            after = change.version;
            changes.push(change);
        }
        if let Some(last) = changes.last_mut() {
            last.version = self.version;
        }
        changes
    }
}
