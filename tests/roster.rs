//! The cached list of endpoints during outages of the store, when rows expire though their endpoints are alive.

use poplarknot::{
    dispatch::{
        id::Life,
        message::{
            Listing,
            Roster, //
        },
        roster::Cache,
        task::Resources, //
    },
    prelude::*, //
};

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::millis(ms)
}

fn listing(id: &str) -> Listing {
    Listing {
        id: id.parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r1".to_owned(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        capacity: Resources::default(),
        draining: false,
    }
}

fn names(roster: &Roster) -> Vec<&str> {
    roster.endpoints.iter().map(|l| l.id.as_str()).collect()
}

fn cache(ids: &[&str]) -> Cache {
    let mut cache = Cache::default();
    cache.on_store_answer(at(0));
    let listings = ids.iter().map(|id| listing(id));
    cache.replace_all(listings.collect(), 1, at(0));
    cache.take_changed(at(0));
    cache
}

/// The grace period must start with the first answer after an outage. Counted from the last failed call it would end before
/// endpoints have written their rows again.
#[test]
fn grace_period_starts_with_the_first_answer_after_an_outage() {
    let mut cache = cache(&["i-1", "i-2"]);
    cache.on_store_failure();
    cache.on_store_answer(at(1_000));
    cache.remove(&"i-2".parse().unwrap(), 5, at(1_000));
    cache.on_store_answer(at(2_900));
    assert_eq!(cache.take_changed(at(2_900)), None);
    cache.set(listing("i-2"), 7);
    assert!(cache
        .take_changed(at(3_000))
        .is_none_or(|(r, _)| r.endpoints.len() == 2));
    cache.on_store_answer(at(6_000));
    cache.remove(&"i-2".parse().unwrap(), 9, at(6_000));
    let (roster, _) = cache.take_changed(at(6_000)).unwrap();
    assert_eq!(names(&roster), ["i-1"]);
}

/// An instance starts during an outage and gets the list from its peers. Entries that are missing when the store is back must get
/// the grace period too, and be dropped only after it.
#[test]
fn entries_from_peers_get_the_grace_period() {
    let mut cache = Cache::default();
    cache.on_store_failure();
    let peer_roster = Roster {
        version: 3,
        endpoints: vec![listing("i-1"), listing("i-2")],
    };
    cache.on_store_answer(at(500));
    cache.merge_peer_roster(&peer_roster);
    cache.replace_all(vec![listing("i-1")], 5, at(500));
    let roster = cache.take_changed(at(500));
    assert!(roster.is_none_or(|(r, _)| names(&r) == ["i-1", "i-2"]));
    cache.on_store_answer(at(3_000));
    let (roster, _) = cache.take_changed(at(3_000)).unwrap();
    assert_eq!(names(&roster), ["i-1"]);
}

/// Without an outage an endpoint whose entry is missing must be dropped at once.
#[test]
fn missing_entries_are_dropped_at_once_without_an_outage() {
    let mut cache = cache(&["i-1", "i-2"]);
    cache.on_store_answer(at(9_000));
    cache.replace_all(vec![listing("i-1")], 1, at(9_000));
    assert_eq!(names(&cache.take_changed(at(9_000)).unwrap().0), ["i-1"]);
}

/// A row may change after its page was read and before the last page is. The list must not count as newer than the first page, or
/// an instance that reads it once would never be sent that change, and give tasks to an endpoint that leaves.
#[test]
fn a_list_read_in_pages_counts_as_of_the_first_page() {
    let mut cache = Cache::default();
    cache.replace_all(vec![listing("i-1"), listing("i-2")], 4, at(0));
    let (roster, _) = cache.take_changed(at(0)).unwrap();
    assert_eq!(roster.version, 4);
    let mut leaving = listing("i-1");
    leaving.draining = true;
    cache.set(leaving.clone(), 6);
    let (_, changes) = cache.take_changed(at(500)).unwrap();
    let changed = roster.with_change(&changes[0]).unwrap();
    assert!(changed.endpoints.contains(&leaving));
    assert_eq!((changes[0].after, changed.version), (4, 6));
}

/// While the store's list is read, peers may send a newer one. The read must not revert it: an endpoint that has begun to leave
/// would get tasks again, at all instances to which the reader sends its changes.
#[test]
fn a_list_from_peers_is_not_reverted_by_an_older_read() {
    let mut leaving = listing("i-1");
    leaving.draining = true;
    let mut cache = Cache::default();
    cache.merge_peer_roster(&Roster {
        version: 9,
        endpoints: vec![leaving.clone(), listing("i-2")],
    });
    cache.replace_all(vec![listing("i-1"), listing("i-2")], 7, at(0));
    assert_eq!(cache.take_changed(at(0)), None);
    cache.set(leaving, 8);
    cache.set(listing("i-3"), 10);
    let (roster, changes) = cache.take_changed(at(500)).unwrap();
    assert!(roster.endpoints[0].draining);
    assert_eq!(
        (changes.len(), changes[0].after, changes[0].version),
        (1, 9, 10)
    );
}
