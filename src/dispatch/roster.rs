//! The list of endpoints, kept over outages of the store.

use std::collections::BTreeMap;

use super::message::{
    Listing,
    Roster, //
};
use crate::prelude::*;

/// How long after the store has returned an entry may still be missing although its endpoint lives: endpoints
/// write their entries anew within about two seconds.
const RETURN: Span = Span::millis(2_300);

/// An endpoint as listed.
#[derive(Debug, Clone, PartialEq)]
struct Entry {
    listing: Listing,
    /// When its row vanished, in or just after an outage.
    lapsed: Option<Time>,
}

/// What an instance has read of the list of endpoints.
///
/// Entries lapse while the store is away, although their endpoints live. Taken for dead, all endpoints would get no
/// task for two seconds after each outage. So an entry that vanishes in an outage, or shortly after one, is
/// kept until its endpoint has had the time to come back.
#[derive(Debug, Default)]
pub struct Cache {
    entries: BTreeMap<Endpoint, Entry>,
    version: u64,
    store: Store,
    dirty: bool,
}

/// How the store does.
#[derive(Debug, Default)]
enum Store {
    /// It has answered since long.
    #[default]
    Well,
    /// Its last answer was none.
    Away,
    /// It has answered again since then.
    Back(Time),
}

impl Cache {
    /// Takes note that the store failed.
    pub fn on_store_failure(&mut self) {
        self.store = Store::Away;
    }

    /// Takes note that the store answered.
    ///
    /// Endpoints have their time from its return on, not from the last call that failed: that may have been a second before, and
    /// a quarter of all endpoints were taken for gone that were just about to write their entries anew.
    pub fn on_store_answer(&mut self, now: Time) {
        match self.store {
            Store::Away => self.store = Store::Back(now),
            Store::Back(since) if now.since(since) >= RETURN => self.store = Store::Well,
            _ => {}
        }
    }

    /// Takes over what peers told of endpoints that this instance hasn't read itself. One that starts while the store is away
    /// knows them from its peers alone; those that are missing when the store returns are no more gone for it than for them.
    pub fn merge_peer_roster(&mut self, roster: &Roster) {
        if roster.version < self.version {
            return;
        }
        self.version = roster.version;
        let mut known = std::mem::take(&mut self.entries);
        for listing in &roster.endpoints {
            let lapsed = known.remove(&listing.id).and_then(|entry| entry.lapsed);
            let entry = Entry {
                listing: listing.clone(),
                lapsed,
            };
            self.entries.insert(listing.id.clone(), entry);
        }
    }

    /// Takes a row that has changed.
    pub fn set(&mut self, listing: Listing, version: u64) {
        let id = listing.id.clone();
        let entry = Entry {
            listing,
            lapsed: None,
        };
        if self.entries.get(&id) != Some(&entry) {
            self.change(version);
            self.entries.insert(id, entry);
        }
    }

    /// Takes note that a row has vanished.
    pub fn remove(&mut self, id: &Endpoint, version: u64, now: Time) {
        let lapses = self.may_lapse(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if lapses {
            entry.lapsed.get_or_insert(now);
            return;
        }
        self.entries.remove(id);
        self.change(version);
    }

    /// Takes note that a row doesn't name an endpoint any more, outage or not: its endpoint may be anything now, and gets no
    /// task.
    pub fn remove_at_once(&mut self, id: &Endpoint, version: u64) {
        if self.entries.remove(id).is_some() {
            self.change(version);
        }
    }

    /// Takes the whole list anew: what is not in it has vanished.
    pub fn replace_all(&mut self, listings: Vec<(Listing, u64)>, now: Time) {
        let version = listings.iter().map(|(_, v)| *v).max();
        let version = version.unwrap_or(self.version).max(self.version);
        let listed = |id: &Endpoint| listings.iter().any(|(listing, _)| listing.id == *id);
        let known = self.entries.keys();
        let gone: Vec<Endpoint> = known.filter(|id| !listed(id)).cloned().collect();
        for id in gone {
            self.remove(&id, version, now);
        }
        for (listing, version) in listings {
            self.set(listing, version);
        }
    }

    fn change(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.dirty = true;
    }

    /// Tells whether an entry may be missing although its endpoint lives.
    fn may_lapse(&self, now: Time) -> bool {
        match self.store {
            Store::Well => false,
            Store::Away => true,
            Store::Back(since) => now.since(since) < RETURN,
        }
    }

    /// Returns the list if it has changed since it was taken last.
    pub fn take_changed(&mut self, now: Time) -> Option<Roster> {
        if !self.may_lapse(now) {
            let before = self.entries.len();
            self.entries.retain(|_, entry| entry.lapsed.is_none());
            self.dirty |= self.entries.len() != before;
        }
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        let listings = self.entries.values().map(|entry| entry.listing.clone());
        Some(Roster {
            version: self.version,
            endpoints: listings.collect(),
        })
    }
}
