//! Deliveries between peers: envelopes that come twice, those that are meant for a former life of their receiver, and attempts that fail.

use std::time::Duration;

use poplarknot::{
    dispatch::message::{
        Contact,
        Sender, //
    },
    instance::{
        attempts::Attempts,
        inbox::Inbox, //
    },
    prelude::*,
};

/// The present life of the receiver, and the one before it.
const OWN: u64 = 20;
const FORMER: u64 = 10;

fn sender(to: u64, session: u32) -> Sender {
    Sender {
        contact: Contact {
            name: "instance-1".parse().unwrap(),
            address: "10.0.0.1:7720".to_owned(),
        },
        centre: "a".to_owned(),
        incarnation: 5,
        to,
        session,
        sent: Time(1),
    }
}

/// An instance is killed and back within half a second. A peer that hasn't heard so is still sending the 900th envelope of
/// its session with the former life, and then begins again with the first. Taken for one that had come before, it and the next
/// 898 were acknowledged and dropped: batches were lost without a word, and their callers waited until their time had passed.
#[test]
fn envelopes_for_a_former_life_hide_none() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.repeated(&sender(FORMER, 0), 900));
    for serial in 1..5 {
        assert!(!inbox.repeated(&sender(OWN, 0), serial), "{serial}");
    }
    // One that was on its way for long changes nothing.
    assert!(!inbox.repeated(&sender(FORMER, 0), 901));
    assert!(inbox.repeated(&sender(OWN, 0), 4));
}

/// The same holds for what a peer sends before it has heard of any life of this instance.
#[test]
fn envelopes_for_no_life_hide_none() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.repeated(&sender(0, 0), 7));
    assert!(inbox.repeated(&sender(0, 0), 7));
    assert!(!inbox.repeated(&sender(OWN, 0), 1));
    assert!(inbox.repeated(&sender(0, 0), 7));
}

/// What is sent again counts once, and a new session begins anew.
#[test]
fn what_is_sent_again_counts_once() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.repeated(&sender(OWN, 0), 1));
    assert!(!inbox.repeated(&sender(OWN, 0), 2));
    assert!(inbox.repeated(&sender(OWN, 0), 2));
    assert!(inbox.repeated(&sender(OWN, 0), 1));
    assert!(!inbox.repeated(&sender(OWN, 1), 1));
}

/// A peer has more to do than it can: it acknowledges after 1.5 s what is delivered to it. Given up after 250 ms each time, its
/// connection was opened anew four times a second, for good, and so were those of all others that came up with it; each attempt cost
/// both sides work. With longer patience it is waited for after a few attempts.
#[test]
fn slow_peer_is_waited_for() {
    let slow = Duration::from_millis(1_500);
    let mut attempts = Attempts::default();
    attempts.begin(1);
    let mut connections = 1;
    while attempts.patience() < slow {
        attempts.failed();
        connections += 1;
    }
    assert!(connections <= 4, "{connections}");
    attempts.succeeded();
    assert_eq!(attempts, {
        let mut fresh = Attempts::default();
        fresh.begin(1);
        fresh
    });
}

/// A peer's connection has gone silent while new ones work: the second attempt follows at once. A peer that takes no connection at all is
/// tried ever less often, about twice a second in the end, until it is heard again: then the first attempt leaves at once.
#[test]
fn unreachable_peer_is_tried_less_often() {
    let mut random = rand::rng();
    let mut attempts = Attempts::default();
    attempts.begin(1);
    attempts.failed();
    assert!(attempts.pause(&mut random) < Duration::from_millis(10));
    let mut passed = Duration::ZERO;
    let mut tries = 1;
    while passed < Duration::from_secs(10) {
        attempts.failed();
        passed += attempts.pause(&mut random);
        tries += 1;
    }
    assert!((15..=40).contains(&tries), "{tries} in 10 s");
    attempts.begin(2);
    assert_eq!(attempts.patience(), Duration::from_millis(250));
    attempts.failed();
    assert!(attempts.pause(&mut random) < Duration::from_millis(10));
}
