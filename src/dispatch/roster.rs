//! The cached list of endpoints, which keeps entries over outages of the store.

use std::collections::BTreeMap;

use super::message::{
    Listing,
    Roster, //
};
use crate::prelude::*;

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
    changed: bool,
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
            self.mark_changed(version);
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
        self.mark_changed(version);
    }

    /// Removes an entry whose row has become malformed, also during an outage: nothing is known about the endpoint any more, so
    /// it must get no tasks.
    pub fn remove_at_once(&mut self, id: &Endpoint, version: u64) {
        if self.entries.remove(id).is_some() {
            self.mark_changed(version);
        }
    }

    /// Replaces the whole list. Entries that aren't in it are handled as missing.
    pub fn replace_all(&mut self, listings: Vec<(Listing, u64)>, now: Time) {
        let version = listings.iter().map(|(_, v)| *v).max();
        let version = version.unwrap_or(self.version).max(self.version);
        let is_listed = |id: &Endpoint| listings.iter().any(|(listing, _)| listing.id == *id);
        let ids = self.entries.keys();
        let missing: Vec<Endpoint> = ids.filter(|id| !is_listed(id)).cloned().collect();
        for id in missing {
            self.remove(&id, version, now);
        }
        for (listing, version) in listings {
            self.set(listing, version);
        }
    }

    /// Marks the list as changed at a version of the store.
    fn mark_changed(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.changed = true;
    }

    /// Returns whether an entry may be missing while its endpoint is alive.
    fn tolerates_missing(&self, now: Time) -> bool {
        match self.store {
            Store::Stable => false,
            Store::Unavailable => true,
            Store::Recovering(since) => now.since(since) < GRACE_PERIOD,
        }
    }

    /// Drops missing entries once the grace period is over, and returns the list if it has changed since the last call.
    pub fn take_changed(&mut self, now: Time) -> Option<Roster> {
        if !self.tolerates_missing(now) {
            let before = self.entries.len();
            self.entries
                .retain(|_, entry| entry.missing_since.is_none());
            self.changed |= self.entries.len() != before;
        }
        if !self.changed {
            return None;
        }
        self.changed = false;
        let listings = self.entries.values().map(|entry| entry.listing.clone());
        Some(Roster {
            version: self.version,
            endpoints: listings.collect(),
        })
    }
}
