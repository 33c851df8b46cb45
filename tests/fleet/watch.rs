//! Failure detection in a large fleet: the heartbeat traffic of each instance, and the time until a failure is detected.

use poplarknot::{
    dispatch::{
        member::Members,
        message::{
            Contact,
            Sender,
            Status, //
        },
        watch, //
    },
    prelude::*, //
};

use super::world::{
    Fleet,
    Traffic, //
};

/// Data centres of a fleet.
const CENTRE_COUNT: usize = 5;

/// Instances of a fleet in which most members send each other infrequent heartbeats.
const INSTANCE_COUNT: usize = 75;

/// Returns the mean number of heartbeats that an instance sends in a second, and their size in bytes.
fn heartbeat_rate(count: usize) -> (usize, usize) {
    let mut fleet = Fleet::new(count, CENTRE_COUNT);
    fleet.run(Span::seconds(2));
    fleet.reset_traffic();
    fleet.run(Span::seconds(3));
    assert_eq!(
        fleet.members_lost, 0,
        "{count} instances: a live one was declared lost"
    );
    let total = |of: fn(&Traffic) -> usize| fleet.traffic.iter().map(of).sum::<usize>();
    let mean = |sum: usize| sum / count / 3;
    (
        mean(total(|t| t.heartbeats)),
        mean(total(|t| t.heartbeat_bytes)),
    )
}

/// Heartbeats from every instance to every other at the full rate would use up a weak machine's processor in a large fleet. With
/// five times as many instances, each may send at most a third more.
#[test]
fn heartbeat_rate_does_not_grow_with_the_fleet() {
    let (small, small_bytes) = heartbeat_rate(30);
    let (large, large_bytes) = heartbeat_rate(147);
    assert!(
        large * 3 <= small * 4,
        "{large} heartbeats a second at 147 instances, {small} at 30"
    );
    assert!(
        large_bytes * 3 <= small_bytes * 4,
        "{large_bytes} bytes a second at 147 instances, {small_bytes} at 30"
    );
}

/// In a fleet of a thousand, each instance may send at most three and a half times as many heartbeats as in one of thirty.
#[test]
fn heartbeat_rate_is_bounded_at_a_thousand_instances() {
    let now = Time(10_000_000);
    let own: Instance = "own".parse().unwrap();
    let mut members = Members::new(&own, "centre-0");
    for i in 0..999 {
        let from = sender(i, now);
        members.check_sender(&from, 1, now);
        members.on_heartbeat(&from.contact.name, Status::default(), now, now);
    }
    members.choose_neighbours(now);
    let frequent = members
        .all()
        .filter(|m| m.has_frequent_heartbeats(now))
        .count();
    let infrequent = members.all().count() - frequent;
    let interval = watch::heartbeat_interval(infrequent);
    let rate = frequent as u64 * 10 + infrequent as u64 * 1_000_000 / interval.0;
    assert!(frequent >= 24, "{frequent} members get frequent heartbeats");
    assert!(rate <= 290 * 7 / 2, "{rate} heartbeats a second");
}

/// Returns the sender of a message from another instance.
fn sender(i: usize, sent: Time) -> Sender {
    Sender {
        contact: Contact {
            name: format!("instance-{i}").parse().unwrap(),
            address: format!("10.0.0.1:{i}"),
        },
        centre: format!("centre-{}", i % CENTRE_COUNT),
        incarnation: 1,
        receiver_incarnation: 0,
        session: 0,
        sent,
    }
}

/// Members of a failed instance's data centre take over its racks, so they must detect the failure within 0.7 s. All others must
/// detect it within seconds, and no live instance may be declared lost.
#[test]
fn a_failure_is_detected_first_in_its_data_centre() {
    let mut fleet = Fleet::new(INSTANCE_COUNT, CENTRE_COUNT);
    fleet.run(Span::seconds(4));
    fleet.dead.insert(7);
    fleet.run(Span::millis(710));
    let near: Vec<usize> = fleet
        .of_centre(7 % CENTRE_COUNT)
        .filter(|i| *i != 7)
        .collect();
    for i in &near {
        assert_eq!(
            fleet.peer_count(*i),
            INSTANCE_COUNT - 2,
            "instance {i} hasn't detected it"
        );
    }
    fleet.run(Span::seconds(5));
    for i in (0..INSTANCE_COUNT).filter(|i| *i != 7) {
        assert_eq!(fleet.peer_count(i), INSTANCE_COUNT - 2, "instance {i}");
    }
    assert_eq!(
        fleet.members_lost,
        INSTANCE_COUNT - 1,
        "instances other than the failed one were declared lost"
    );
}

/// While a data centre is partitioned from the others, members of the same side must not declare each other lost. All must be
/// members again three seconds after the partition.
#[test]
fn a_partition_loses_only_members_across_it() {
    let mut fleet = Fleet::new(INSTANCE_COUNT, CENTRE_COUNT);
    fleet.run(Span::seconds(4));
    fleet.partition = fleet.of_centre(2).collect();
    let inside = fleet.partition.len();
    fleet.run(Span::seconds(6));
    for i in 0..INSTANCE_COUNT {
        let side = if i % CENTRE_COUNT == 2 {
            inside
        } else {
            INSTANCE_COUNT - inside
        };
        assert_eq!(
            fleet.peer_count(i),
            side - 1,
            "instance {i} during the partition"
        );
    }
    fleet.partition.clear();
    fleet.run(Span::seconds(3));
    for i in 0..INSTANCE_COUNT {
        assert_eq!(
            fleet.peer_count(i),
            INSTANCE_COUNT - 1,
            "instance {i} after the partition"
        );
    }
}

/// Heartbeats to all members in one burst would delay other traffic on a slow link. Infrequent heartbeats must be spread over
/// their interval.
#[test]
fn heartbeats_to_distant_members_are_spread_out() {
    let mut fleet = Fleet::new(147, CENTRE_COUNT);
    fleet.run(Span::seconds(4));
    fleet.reset_traffic();
    fleet.run(Span::seconds(3));
    let most = fleet.traffic.iter().map(|t| t.max_burst).max();
    assert!(most <= Some(40), "{most:?} heartbeats in one tick");
}
