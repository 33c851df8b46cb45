//! Deduplication of peers' envelopes across retransmissions, sessions and restarts of the receiver.

use poplarknot::{
    dispatch::message::{
        Contact,
        Sender, //
    },
    instance::inbox::Inbox,
    prelude::*, //
};

/// The receiver's incarnation, and the one before it.
const OWN: u64 = 20;
const FORMER: u64 = 10;

fn sender(receiver_incarnation: u64, session: u32) -> Sender {
    Sender {
        contact: Contact {
            name: "instance-1".parse().unwrap(),
            address: "10.0.0.1:7720".to_owned(),
        },
        centre: "a".to_owned(),
        incarnation: 5,
        receiver_incarnation,
        session,
        sent: Time(1),
    }
}

/// A peer that doesn't know of the receiver's restart still sends high serial numbers to its former incarnation. The
/// first envelopes to the new one must not be dropped as duplicates, or their batches would be lost.
#[test]
fn envelopes_to_a_former_incarnation_hide_no_others() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(FORMER, 0), 900));
    for serial in 1..5 {
        assert!(!inbox.check_duplicate(&sender(OWN, 0), serial), "{serial}");
    }
    // A delayed envelope changes nothing.
    assert!(!inbox.check_duplicate(&sender(FORMER, 0), 901));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 4));
}

/// The same holds for envelopes that a peer sends before it knows any incarnation of the receiver.
#[test]
fn envelopes_to_no_incarnation_hide_no_others() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(0, 0), 7));
    assert!(inbox.check_duplicate(&sender(0, 0), 7));
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(inbox.check_duplicate(&sender(0, 0), 7));
}

/// Retransmitted envelopes must be dropped, and the serial numbers of a new session start again.
#[test]
fn retransmitted_envelopes_are_dropped() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 2));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 2));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 1), 1));
}

/// A late envelope of a former session must not hide the position in the present one: an envelope that is sent again would be handled and
/// counted twice, and a heartbeat would confirm batches whose cancellation hasn't arrived.
#[test]
fn late_envelope_of_a_former_session_hides_no_duplicate() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 1), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 2));
    assert!(inbox.check_duplicate(&sender(OWN, 1), 1));
}
