//! How a large configuration reaches instances that the store turns away: what crosses the links, and how soon it is in force.

use poplarknot::{
    dispatch::{
        message::Input,
        route::{
            Configuration,
            Route, //
            Service,
        },
    },
    prelude::*,
};

use super::world::{
    Fleet,
    TICK, //
};

/// Routes of a large configuration.
const ROUTES: usize = 1_500;

/// The most that one message may take: 20 ms of a link of 25 Mbit/s.
const LARGEST: usize = 64 << 10;

fn version(fleet: &Fleet, i: usize) -> u64 {
    fleet.hosts[i].configuration().map_or(0, |c| c.version)
}

fn configuration(version: u64) -> Configuration {
    let route = |i: usize| Route {
        name: format!("route-of-team-{i}"),
        host: format!("host-{i}.example"),
        prefix: format!("/queue-{i}/"),
        service: "cells".to_owned(),
        timeout: Span::seconds(4),
        ..Route::default()
    };
    Configuration {
        version,
        routes: (0..ROUTES).map(route).collect(),
        services: vec![Service {
            name: "cells".to_owned(),
            ..Service::default()
        }],
        ..Configuration::default()
    }
}

fn size(configuration: &Configuration) -> usize {
    postcard::to_stdvec(configuration).unwrap().len()
}

/// The configuration has grown by 1,500 routes, and the store turns four of 34 instances away. All 30 others found in the
/// same moment that these four had an older one, and each sent it whole to each of them: 30 times its size on a link
/// of 25 Mbit/s, on which nothing else came through, and what had not crossed after 250 ms was begun anew.
#[test]
fn a_large_configuration_crosses_once() {
    let mut fleet = Fleet::new(34, 1);
    let size = size(&configuration(7));
    for i in 4..34 {
        fleet.feed(i, Input::Configured(Box::new(configuration(7))));
    }
    fleet.clear();
    fleet.run(Span::seconds(2));
    for i in 0..4 {
        assert_eq!(version(&fleet, i), 7, "instance {i} has it not in force");
        assert!(
            fleet.traffic[i].bytes < size * 3 / 2,
            "instance {i} was sent {} bytes for {size}",
            fleet.traffic[i].bytes
        );
    }
    assert!(fleet.largest <= LARGEST, "a message of {}", fleet.largest);
}

/// The peers that an instance asks first are silent: their heartbeats come, but nothing else. It goes on to others, and a
/// newer configuration that replaces the one it is reading is read from its beginning; an older one never comes back.
#[test]
fn silent_peers_are_passed_over() {
    let mut fleet = Fleet::new(12, 1);
    for i in 1..12 {
        fleet.feed(i, Input::Configured(Box::new(configuration(7))));
    }
    fleet.mute = (1..6).collect();
    fleet.run(Span::millis(330));
    for i in 1..12 {
        fleet.feed(i, Input::Configured(Box::new(configuration(9))));
    }
    let mut last = 0;
    for _ in 0..400 {
        fleet.run(TICK);
        assert!(version(&fleet, 0) >= last, "its configuration reverts");
        last = version(&fleet, 0);
    }
    assert_eq!(last, 9);
}
