//! Envelopes of peers that come twice, and those that are meant for a former life of their receiver.

use poplarknot::{
    dispatch::message::{
        Contact,
        Sender, //
    },
    instance::inbox::Inbox,
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
        receiver_incarnation: to,
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
    assert!(!inbox.check_duplicate(&sender(FORMER, 0), 900));
    for serial in 1..5 {
        assert!(!inbox.check_duplicate(&sender(OWN, 0), serial), "{serial}");
    }
    // One that was on its way for long changes nothing.
    assert!(!inbox.check_duplicate(&sender(FORMER, 0), 901));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 4));
}

/// The same holds for what a peer sends before it has heard of any life of this instance.
#[test]
fn envelopes_for_no_life_hide_none() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(0, 0), 7));
    assert!(inbox.check_duplicate(&sender(0, 0), 7));
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(inbox.check_duplicate(&sender(0, 0), 7));
}

/// What is sent again counts once, and a new session begins anew.
#[test]
fn what_is_sent_again_counts_once() {
    let mut inbox = Inbox::new(OWN);
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 0), 2));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 2));
    assert!(inbox.check_duplicate(&sender(OWN, 0), 1));
    assert!(!inbox.check_duplicate(&sender(OWN, 1), 1));
}
