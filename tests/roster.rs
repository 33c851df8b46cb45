//! The list of endpoints over outages of the store, in which entries lapse although their endpoints live.

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
    prelude::*,
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
    let listings = ids.iter().map(|id| (listing(id), 1));
    cache.replace_all(listings.collect(), at(0));
    cache.take_changed(at(0));
    cache
}

/// The last call that failed left a second before the store was back. An endpoint writes its entry anew two seconds after
/// the return: with the time counted from the failed call it was taken for gone 1.3 s after the return.
#[test]
fn entries_have_their_time_from_the_return_on() {
    let mut cache = cache(&["i-1", "i-2"]);
    cache.on_store_failure();
    cache.on_store_answer(at(1_000));
    cache.remove(&"i-2".parse().unwrap(), 5, at(1_000));
    cache.on_store_answer(at(2_900));
    assert_eq!(cache.take_changed(at(2_900)), None);
    cache.set(listing("i-2"), 7);
    assert!(cache
        .take_changed(at(3_000))
        .is_none_or(|r| r.endpoints.len() == 2));
    cache.on_store_answer(at(6_000));
    cache.remove(&"i-2".parse().unwrap(), 9, at(6_000));
    let roster = cache.take_changed(at(6_000)).unwrap();
    assert_eq!(names(&roster), ["i-1"]);
}

/// An instance starts while the store is away, and has the endpoints from its peers. When the store returns, half of the
/// entries have lapsed: read as the whole truth, that list made a quarter of all endpoints useless for a second under load.
/// What doesn't come back in its time is gone all the same.
#[test]
fn an_instance_that_starts_in_an_outage_keeps_what_peers_told() {
    let mut cache = Cache::default();
    cache.on_store_failure();
    let told = Roster {
        version: 3,
        endpoints: vec![listing("i-1"), listing("i-2")],
    };
    cache.on_store_answer(at(500));
    cache.merge_peer_roster(&told);
    cache.replace_all(vec![(listing("i-1"), 5)], at(500));
    let roster = cache.take_changed(at(500));
    assert!(roster.is_none_or(|r| names(&r) == ["i-1", "i-2"]));
    cache.on_store_answer(at(3_000));
    let roster = cache.take_changed(at(3_000)).unwrap();
    assert_eq!(names(&roster), ["i-1"]);
}

/// Without an outage an entry that vanishes is an endpoint that is gone, at once.
#[test]
fn vanished_entries_are_gone_at_once_in_quiet_times() {
    let mut cache = cache(&["i-1", "i-2"]);
    cache.on_store_answer(at(9_000));
    cache.replace_all(vec![(listing("i-1"), 1)], at(9_000));
    assert_eq!(names(&cache.take_changed(at(9_000)).unwrap()), ["i-1"]);
}
