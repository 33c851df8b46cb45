//! Transfer of a large configuration from peers to instances that the store refuses.

use poplarknot::{
    dispatch::{
        message::Input,
        route::{
            Configuration,
            Route,
            Service, //
        }, //
    },
    prelude::*, //
};

use super::world::{
    Fleet,
    TICK, //
};

/// Routes in the configuration.
const ROUTE_COUNT: usize = 1_500;

/// The largest message, in bytes: it occupies a link of 25 Mbit/s for about 20 ms.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Returns the version of an instance's configuration, 0 if it has none.
fn version(fleet: &Fleet, i: usize) -> u64 {
    fleet.dispatchers[i]
        .configuration()
        .map_or(0, |c| c.version)
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
        routes: (0..ROUTE_COUNT).map(route).collect(),
        services: vec![Service {
            name: "cells".to_owned(),
            ..Service::default()
        }],
        ..Configuration::default()
    }
}

fn encoded_size(configuration: &Configuration) -> usize {
    postcard::to_stdvec(configuration).unwrap().len()
}

/// When many peers notice at once that an instance has an old configuration, they must not all send it the new one, or copies
/// would fill a slow link.
#[test]
fn a_large_configuration_is_received_once() {
    let mut fleet = Fleet::new(34, 1);
    let size = encoded_size(&configuration(7));
    for i in 4..34 {
        fleet.feed(i, Input::Configured(Box::new(configuration(7))));
    }
    fleet.reset_traffic();
    fleet.run(Span::seconds(2));
    for i in 0..4 {
        assert_eq!(version(&fleet, i), 7, "instance {i} has another version");
        assert!(
            fleet.traffic[i].bytes < size * 3 / 2,
            "instance {i} received {} bytes for a configuration of {size} bytes",
            fleet.traffic[i].bytes
        );
    }
    assert!(
        fleet.largest_message <= MAX_MESSAGE_BYTES,
        "a message has {} bytes",
        fleet.largest_message
    );
}

/// An instance that asks peers of which only heartbeats arrive must go on to others. A newer configuration that replaces the one
/// that is being read must be read from the start.
#[test]
fn silent_peers_are_skipped() {
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
        assert!(version(&fleet, 0) >= last, "the version falls");
        last = version(&fleet, 0);
    }
    assert_eq!(last, 9);
}
