//! Choice of the instances that read the roster of endpoints from the store, and distribution of its changes to the others.

use poplarknot::{
    dispatch::{
        id::Life,
        message::{
            Input,
            Listing,
            Roster,
            RosterChange, //
        }, //
    },
    prelude::*, //
};

use super::world::Fleet;

/// Data centres of the fleet.
const CENTRE_COUNT: usize = 3;

/// Instances of the fleet.
const INSTANCE_COUNT: usize = 36;

/// The interval between reads of the roster by an instance that reads it.
const READ_INTERVAL: Span = Span::millis(500);

/// Endpoints on the roster.
const ENDPOINT_COUNT: usize = 280;

/// Creates a roster on which the first `leaving` endpoints are draining.
fn roster(version: u64, leaving: usize) -> Roster {
    let listing = |i: usize| Listing {
        id: format!("w-{i}").parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: format!("10.9.0.{i}:80"),
        centre: format!("centre-{}", i % CENTRE_COUNT),
        rack: format!("r{}", i / 8),
        labels: Vec::new(),
        capacity: Default::default(),
        draining: i < leaving,
    };
    Roster {
        version,
        endpoints: (0..ENDPOINT_COUNT).map(listing).collect(),
    }
}

/// Returns the changes between two versions of a roster with the same endpoints.
fn change(earlier: &Roster, later: &Roster) -> RosterChange {
    let pairs = earlier.endpoints.iter().zip(&later.endpoints);
    let changed = pairs.filter(|(before, after)| before != after);
    RosterChange {
        after: earlier.version,
        version: later.version,
        changed: changed.map(|(_, after)| after.clone()).collect(),
        removed: Vec::new(),
    }
}

/// Advances time while the readers read the roster. The store refuses the instances in `refused`.
fn run_reads(fleet: &mut Fleet, roster: &Roster, span: Span, refused: &[usize]) {
    let end = fleet.now + span;
    while fleet.now < end {
        for i in readers(fleet) {
            let is_read = !refused.contains(&i);
            fleet.feed(i, Input::RosterRead(is_read));
            let earlier = fleet.dispatchers[i].roster();
            if is_read && earlier != roster {
                let changes = match earlier.version {
                    0 => Vec::new(),
                    _ => vec![change(earlier, roster)],
                };
                fleet.feed(i, Input::RosterListed(roster.clone(), changes));
            }
        }
        fleet.run(READ_INTERVAL);
    }
}

/// Returns the living instances that are to read the roster.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let alive = (0..INSTANCE_COUNT).filter(|i| !fleet.dead.contains(i));
    alive
        .filter(|i| fleet.dispatchers[*i].reads_roster())
        .collect()
}

/// Starts a fleet in which all instances have the roster of version 1.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(INSTANCE_COUNT, CENTRE_COUNT);
    run_reads(&mut fleet, &roster(1, 0), Span::seconds(3), &[]);
    fleet
}

/// Two instances of each data centre read the roster. If all did, reads would fill slow links and delay callers' jobs.
#[test]
fn two_instances_of_each_data_centre_read_the_roster() {
    let fleet = start_fleet();
    assert_eq!(readers(&fleet).len(), 2 * CENTRE_COUNT);
    for centre in 0..CENTRE_COUNT {
        let of_centre: Vec<usize> = fleet.of_centre(centre).collect();
        let reading = readers(&fleet);
        let reading = reading.iter().filter(|i| of_centre.contains(i)).count();
        assert_eq!(reading, 2, "data centre {centre}");
    }
}

/// All instances must learn within one read interval that endpoints are draining. They must receive the changes alone, since the
/// whole roster would occupy a slow link each time.
#[test]
fn roster_changes_reach_all_instances() {
    let mut fleet = start_fleet();
    fleet.reset_traffic();
    let leaving = roster(2, 20);
    run_reads(&mut fleet, &leaving, READ_INTERVAL, &[]);
    for i in 0..INSTANCE_COUNT {
        let received = fleet.dispatchers[i].roster();
        let count = received.endpoints.iter().filter(|l| l.draining).count();
        assert_eq!(count, 20, "instance {i}");
    }
    let size = postcard::to_stdvec(&leaving).unwrap().len();
    for traffic in &fleet.traffic {
        assert!(
            traffic.bytes < size / 2,
            "{} bytes received of {size}",
            traffic.bytes
        );
        assert!(traffic.changes <= 2, "{} changes received", traffic.changes);
    }
}

/// When all readers die or the store refuses them, others must take over within two seconds, or draining endpoints would go on
/// getting new tasks.
#[test]
fn others_read_when_all_readers_fail() {
    for is_dead in [false, true] {
        let mut fleet = start_fleet();
        let former = readers(&fleet);
        if is_dead {
            fleet.dead.extend(&former);
        }
        run_reads(&mut fleet, &roster(2, 20), Span::millis(2_000), &former);
        for i in (0..INSTANCE_COUNT).filter(|i| !former.contains(i)) {
            let received = fleet.dispatchers[i].roster();
            let count = received.endpoints.iter().filter(|l| l.draining).count();
            assert_eq!(count, 20, "instance {i}, readers dead: {is_dead}");
        }
        let reading = readers(&fleet);
        let new_readers = reading.iter().filter(|i| !former.contains(i)).count();
        assert!(
            new_readers <= 3 * CENTRE_COUNT,
            "{new_readers} new readers, readers dead: {is_dead}"
        );
    }
}

/// A change applies only to a roster that is at least as new as its base and not newer than its result. Otherwise a lost change
/// would leave a gap, or an old change would revert the roster.
#[test]
fn changes_apply_in_order() {
    let versions: Vec<Roster> = (1..5).map(|v| roster(v, v as usize)).collect();
    let change = |from: usize, to: usize| change(&versions[from], &versions[to]);
    assert_eq!(
        versions[0]
            .with_change(&change(0, 1))
            .as_ref()
            .map(|r| r.version),
        Some(2)
    );
    assert_eq!(versions[0].with_change(&change(1, 2)), None);
    assert_eq!(versions[3].with_change(&change(1, 2)), None);
    let changed = versions[1].with_change(&change(0, 3)).unwrap();
    let leaving = changed.endpoints.iter().filter(|l| l.draining).count();
    assert_eq!((changed.version, leaving), (4, 4));
}

/// Instances that start together read the roster at different times, while endpoints still register. A reader must send each what
/// it lacks: an instance that misses an earlier change would otherwise fetch the whole roster, again and again.
#[test]
fn a_reader_sends_each_instance_what_it_lacks() {
    let mut fleet = Fleet::new(INSTANCE_COUNT, CENTRE_COUNT);
    let versions: Vec<Roster> = (0..6).map(|v| roster(1 + v, v as usize * 4)).collect();
    let reader = 0;
    fleet.feed(reader, Input::RosterListed(versions[0].clone(), Vec::new()));
    let read = |fleet: &mut Fleet, pair: &[Roster]| {
        let changes = vec![change(&pair[0], &pair[1])];
        fleet.feed(reader, Input::RosterListed(pair[1].clone(), changes));
    };
    versions[..5]
        .windows(2)
        .for_each(|pair| read(&mut fleet, pair));
    for i in 1..INSTANCE_COUNT {
        let listed = versions[(i / CENTRE_COUNT) % 4].clone();
        fleet.feed(i, Input::RosterListed(listed, Vec::new()));
    }
    fleet.run(Span::millis(300));
    read(&mut fleet, &versions[4..]);
    fleet.run(Span::millis(50));
    for i in fleet.of_centre(0) {
        let received = fleet.dispatchers[i].roster();
        assert_eq!(received.version, 6, "instance {i}");
        let count = received.endpoints.iter().filter(|l| l.draining).count();
        assert_eq!(count, 20, "instance {i}");
    }
}

/// The list may change more often than a slow link carries it whole, while endpoints are replaced. An instance that fetches it
/// must get it nevertheless, rather than begin anew with each version.
#[test]
fn a_roster_that_keeps_changing_is_fetched() {
    let mut fleet = Fleet::new(INSTANCE_COUNT, CENTRE_COUNT);
    let mut listed = roster(1, 0);
    let holders = 1..4;
    listed.endpoints = (0..20)
        .flat_map(|copy| {
            let endpoints = listed.endpoints.clone();
            endpoints.into_iter().map(move |mut listing| {
                listing.id = format!("{}-{copy}", listing.id).parse().unwrap();
                listing
            })
        })
        .collect();
    let size = postcard::to_stdvec(&listed).unwrap().len();
    assert!(size > 6 * (32 << 10), "{size} bytes are too few pieces");
    for _ in 0..50 {
        listed.version += 1;
        for i in holders.clone() {
            fleet.feed(i, Input::RosterListed(listed.clone(), Vec::new()));
        }
        fleet.run(Span::millis(50));
    }
    assert!(fleet.dispatchers[0].roster().version > 0);
}

/// A change that was lost on its way must be sent again, or the later ones wouldn't apply and endpoints that leave would go on
/// getting tasks.
#[test]
fn a_lost_change_is_sent_again() {
    let mut fleet = start_fleet();
    let reader = readers(&fleet)[0];
    let receiver = fleet.of_centre(reader % CENTRE_COUNT);
    let receiver = receiver.filter(|i| !readers(&fleet).contains(i)).last();
    let receiver = receiver.unwrap();
    for version in 2..12 {
        fleet.deaf = (version == 2).then_some(receiver).into_iter().collect();
        let earlier = fleet.dispatchers[reader].roster().clone();
        let later = roster(version, version as usize);
        let changes = vec![change(&earlier, &later)];
        fleet.feed(reader, Input::RosterListed(later, changes));
        fleet.run(Span::millis(300));
    }
    let received = fleet.dispatchers[receiver].roster();
    assert_eq!(received.version, 11);
    assert!(fleet.traffic[receiver].fetched == 0, "it fetched the whole");
}
