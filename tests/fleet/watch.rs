//! How closely the instances of a large fleet watch each other: what it costs each of them, and how soon a death is found.

use poplarknot::{
    dispatch::{
        member::Members,
        message::{
            Contact,
            Sender,
            Status, //
        },
        watch,
    },
    prelude::*,
};

use super::world::{
    Fleet,
    Traffic, //
};

/// Data centres of a large fleet.
const CENTRES: usize = 5;

/// Instances of a fleet in which not everyone watches everyone closely.
const COUNT: usize = 75;

/// Returns the heartbeats that an instance sends in a second, and their bytes, on the mean.
fn cost(count: usize) -> (usize, usize) {
    let mut fleet = Fleet::new(count, CENTRES);
    fleet.run(Span::seconds(2));
    fleet.clear();
    fleet.run(Span::seconds(3));
    assert_eq!(fleet.lost, 0, "{count} instances: some was given up");
    let all = |of: fn(&Traffic) -> usize| fleet.traffic.iter().map(of).sum::<usize>();
    let each = |sum: usize| sum / count / 3;
    (
        each(all(|t| t.heartbeats)),
        each(all(|t| t.heartbeat_bytes)),
    )
}

/// Of 147 instances each told each other one ten times a second that it lives: half of a weak machine's processor share went
/// to that, callers' jobs waited behind it, and with every further instance there was less left. Five times as many
/// instances may cost each of them a third more.
#[test]
fn heartbeats_do_not_grow_with_the_fleet() {
    let (small, small_bytes) = cost(30);
    let (large, bytes) = cost(147);
    assert!(large * 3 <= small * 4, "{large} at 147, {small} at 30");
    assert!(
        bytes * 3 <= small_bytes * 4,
        "{bytes} at 147, {small_bytes} at 30"
    );
}

/// The same in a fleet of a thousand: no more than three and a half times what thirty instances cost each.
#[test]
fn a_thousand_instances_are_watched_at_a_bounded_rate() {
    let now = Time(10_000_000);
    let own: Instance = "own".parse().unwrap();
    let mut members = Members::new(&own, "centre-0");
    for i in 0..999 {
        let from = sender(i, now);
        members.check_sender(&from, 1, now);
        members.on_heartbeat(&from.contact.name, Status::default(), now, now);
    }
    members.choose_neighbours(now);
    let close = members
        .all()
        .filter(|m| m.has_frequent_heartbeats(now))
        .count();
    let distant = members.all().count() - close;
    let each = watch::heartbeat_interval(distant);
    let rate = close as u64 * 10 + distant as u64 * 1_000_000 / each.0;
    assert!(close >= 24, "{close} are watched closely");
    assert!(rate <= 290 * 7 / 2, "{rate} heartbeats a second");
}

fn sender(i: usize, sent: Time) -> Sender {
    Sender {
        contact: Contact {
            name: format!("instance-{i}").parse().unwrap(),
            address: format!("10.0.0.1:{i}"),
        },
        centre: format!("centre-{}", i % CENTRES),
        incarnation: 1,
        receiver_incarnation: 0,
        session: 0,
        sent,
    }
}

/// An instance dies. Those of its data centre, which take its racks over, find that within 0.7 s, as in a small fleet. All others
/// know some seconds later, and nobody gives up one that lives.
#[test]
fn a_death_is_found_where_it_matters() {
    let mut fleet = Fleet::new(COUNT, CENTRES);
    fleet.run(Span::seconds(4));
    fleet.dead.insert(7);
    fleet.run(Span::millis(710));
    let near: Vec<usize> = fleet.of_centre(7 % CENTRES).filter(|i| *i != 7).collect();
    for i in &near {
        assert_eq!(fleet.peers(*i), COUNT - 2, "instance {i} doesn't know");
    }
    fleet.run(Span::seconds(5));
    for i in (0..COUNT).filter(|i| *i != 7) {
        assert_eq!(fleet.peers(i), COUNT - 2, "instance {i}");
    }
    assert_eq!(
        fleet.lost,
        COUNT - 1,
        "each gave the dead one up, and nobody else"
    );
}

/// A data centre is cut off for six seconds. Each side goes on with its own: nobody is given up on either of them. Some seconds
/// after the cut all hear each other again.
#[test]
fn a_cut_parts_two_sides_and_no_more() {
    let mut fleet = Fleet::new(COUNT, CENTRES);
    fleet.run(Span::seconds(4));
    fleet.cut = fleet.of_centre(2).collect();
    let inside = fleet.cut.len();
    fleet.run(Span::seconds(6));
    for i in 0..COUNT {
        let side = if i % CENTRES == 2 {
            inside
        } else {
            COUNT - inside
        };
        assert_eq!(fleet.peers(i), side - 1, "instance {i} in the cut");
    }
    fleet.cut.clear();
    fleet.run(Span::seconds(3));
    for i in 0..COUNT {
        assert_eq!(fleet.peers(i), COUNT - 1, "instance {i} after the cut");
    }
}

/// Heartbeats to all members left in one burst, which takes 16 ms of a slow link each time and holds up what else is on it.
/// Those to members that aren't watched closely leave one after the other.
#[test]
fn heartbeats_to_distant_members_are_spread_out() {
    let mut fleet = Fleet::new(147, CENTRES);
    fleet.run(Span::seconds(4));
    fleet.clear();
    fleet.run(Span::seconds(3));
    let most = fleet.traffic.iter().map(|t| t.burst).max();
    assert!(most <= Some(40), "{most:?} in one tick");
}
