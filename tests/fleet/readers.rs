//! Who reads the list of endpoints, and how what has changed reaches the others.

use poplarknot::{
    dispatch::{
        id::Life,
        message::{
            Input,
            Listing,
            Roster, //
        }, //
    },
    prelude::*,
};

use super::world::Fleet;

/// Data centres of the fleet.
const CENTRES: usize = 3;

/// Instances of the fleet.
const COUNT: usize = 36;

/// Between reads of an instance that reads.
const READS: Span = Span::millis(500);

/// Endpoints on the list.
const ENDPOINTS: usize = 280;

fn roster(version: u64, leaving: usize) -> Roster {
    let listing = |i: usize| Listing {
        id: format!("w-{i}").parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: format!("10.9.0.{i}:80"),
        centre: format!("centre-{}", i % CENTRES),
        rack: format!("r{}", i / 8),
        labels: Vec::new(),
        capacity: Default::default(),
        draining: i < leaving,
    };
    Roster {
        version,
        endpoints: (0..ENDPOINTS).map(listing).collect(),
    }
}

/// Lets time pass in which each instance that is to read does, unless the store turns it away.
fn read(fleet: &mut Fleet, roster: &Roster, span: Span, away: &[usize]) {
    let end = fleet.now + span;
    while fleet.now < end {
        for i in readers(fleet) {
            let reached = !away.contains(&i);
            fleet.feed(i, Input::RosterRead(reached));
            if reached && fleet.hosts[i].roster() != roster {
                fleet.feed(i, Input::RosterListed(roster.clone()));
            }
        }
        fleet.run(READS);
    }
}

fn readers(fleet: &Fleet) -> Vec<usize> {
    let alive = (0..COUNT).filter(|i| !fleet.dead.contains(i));
    alive.filter(|i| fleet.hosts[*i].reads_roster()).collect()
}

fn start() -> Fleet {
    let mut fleet = Fleet::new(COUNT, CENTRES);
    read(&mut fleet, &roster(1, 0), Span::seconds(3), &[]);
    fleet
}

/// Each instance read the rows of all endpoints twice a second, which filled the links of the weak ones, and callers' jobs waited
/// behind it. Two in each data centre do.
#[test]
fn two_of_a_data_centre_read() {
    let fleet = start();
    assert_eq!(readers(&fleet).len(), 2 * CENTRES);
    for centre in 0..CENTRES {
        let of_centre: Vec<usize> = fleet.of_centre(centre).collect();
        let reading = readers(&fleet);
        let reading = reading.iter().filter(|i| of_centre.contains(i)).count();
        assert_eq!(reading, 2, "data centre {centre}");
    }
}

/// Endpoints say that they leave. All instances know half a second later, and what crosses the links is what has changed: the whole
/// list to each of them would take a slow link for a tenth of a second each time.
#[test]
fn what_has_changed_reaches_all() {
    let mut fleet = start();
    fleet.clear();
    let leaving = roster(2, 20);
    read(&mut fleet, &leaving, READS, &[]);
    for i in 0..COUNT {
        let told = fleet.hosts[i].roster();
        let count = told.endpoints.iter().filter(|l| l.draining).count();
        assert_eq!(count, 20, "instance {i}");
    }
    let size = postcard::to_stdvec(&leaving).unwrap().len();
    for traffic in &fleet.traffic {
        assert!(traffic.bytes < size / 2, "{} of {size}", traffic.bytes);
        assert!(traffic.changes <= 2, "told {} times", traffic.changes);
    }
}

/// All instances that read are turned away by the store, or die. Others read instead, so that an endpoint that says a moment
/// after that it leaves gets nothing new two seconds later.
#[test]
fn others_read_when_a_reader_fails() {
    for dies in [false, true] {
        let mut fleet = start();
        let former = readers(&fleet);
        if dies {
            fleet.dead.extend(&former);
        }
        read(&mut fleet, &roster(2, 20), Span::millis(2_000), &former);
        for i in (0..COUNT).filter(|i| !former.contains(i)) {
            let told = fleet.hosts[i].roster();
            let count = told.endpoints.iter().filter(|l| l.draining).count();
            assert_eq!(count, 20, "instance {i}, dead {dies}");
        }
        let reading = readers(&fleet);
        let left = reading.iter().filter(|i| !former.contains(i)).count();
        assert!(left <= 3 * CENTRES, "{left} read, dead {dies}");
    }
}

/// A change that comes after another one which got lost says too little, and one that is older than what is known says what holds
/// no more. Neither counts.
#[test]
fn changes_count_in_their_order() {
    let versions: Vec<Roster> = (1..5).map(|v| roster(v, v as usize)).collect();
    let change = |from: usize, to: usize| versions[to].changes_since(&versions[from]);
    assert_eq!(
        versions[0]
            .with_change(&change(0, 1))
            .as_ref()
            .map(|r| r.version),
        Some(2)
    );
    assert_eq!(versions[0].with_change(&change(1, 2)), None);
    assert_eq!(versions[3].with_change(&change(1, 2)), None);
    let known = versions[1].with_change(&change(0, 3)).unwrap();
    let leaving = known.endpoints.iter().filter(|l| l.draining).count();
    assert_eq!((known.version, leaving), (4, 4));
}
