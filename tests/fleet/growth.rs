//! What one instance does in fleets of 30 to 1,000: when all start together, after a data centre was lost, and after it was late
//! itself.

use poplarknot::{
    dispatch::message::Input,
    prelude::*, //
};

use super::single::{
    Sent,
    Single, //
};

/// The sizes of the fleets.
const SIZES: [usize; 4] = [30, 100, 300, 1_000];

/// The most members that an instance contacts in a second, in any fleet.
const CONTACT_RATE: usize = 400;

/// The most heartbeats in a tick: to the members that are watched closely, and some others.
const MAX_BURST: usize = 80;

/// The most bytes by which a heartbeat may grow when a data centre is lost.
const MAX_ABSENCE_BYTES: usize = 200;

/// Starts an instance that finds all others in the store. Half of them find it there too.
fn start(count: usize) -> Single {
    let mut single = Single::new(count);
    single.make_known(CONTACT_RATE);
    single.feed(Input::MembersFound(single.contacts()));
    single
}

/// Returns an instance that has started and is told of all others.
fn start_calm(count: usize) -> Single {
    let mut single = start(count);
    single.run(Span::seconds(7));
    single.sent = Sent::default();
    single
}

/// If instances sent each member that they hear the names of all, the bytes of a start would grow with the square of the fleet,
/// and fill slow links until members that are alive count as lost.
#[test]
fn members_that_start_together_send_each_other_no_names() {
    for count in SIZES {
        let mut single = start(count);
        single.run(Span::seconds(4));
        assert_eq!(single.dispatcher.stats().peers, count - 1);
        let sent = single.sent;
        assert_eq!((sent.messages, sent.members_lost), (0, 0), "of {count}");
    }
}

/// Heartbeats to all members at once when many start would use up a weak machine's processor, so that it's late for those that it
/// receives. Each must still be contacted within seconds.
#[test]
fn members_that_start_together_are_contacted_at_a_bounded_rate() {
    for count in SIZES {
        let mut single = start(count);
        let mut most = 0;
        for _ in 0..40 {
            let before = single.sent.heartbeats;
            single.run(Span::millis(100));
            most = most.max(single.sent.heartbeats - before);
        }
        // Besides, it answers those that contact it at the same rate and those that answer it, and watches up to 48 closely.
        let bound = 3 * CONTACT_RATE / 10 + 2 * 48;
        assert!(most <= bound, "{most} in 100 ms, of {count}");
        assert_eq!(single.dispatcher.stats().peers, count - 1);
    }
}

/// After the loss of a data centre heartbeats announce the lost members. If each announced all of them, the bytes that an
/// instance sends would grow with the square of the fleet.
#[test]
fn heartbeats_stay_small_after_a_data_centre_is_lost() {
    for count in SIZES {
        let mut single = start_calm(count);
        single.run(Span::seconds(3));
        let calm = single.sent;
        single.sent = Sent::default();
        single.set_alive(1, false);
        single.run(Span::seconds(5));
        let sent = single.sent;
        assert!(sent.members_lost >= count / 6, "of {count}");
        let size = sent.heartbeat_bytes / sent.heartbeats;
        let bound = calm.heartbeat_bytes / calm.heartbeats + MAX_ABSENCE_BYTES;
        assert!(size <= bound, "{size} bytes in a heartbeat, of {count}");
    }
}

/// An instance that was late itself, and misses a heartbeat besides, must first read what its members have sent meanwhile.
/// Otherwise its own lateness would make all members count as lost at once.
#[test]
fn an_instance_that_is_late_loses_no_member() {
    for count in SIZES {
        let mut single = start_calm(count);
        single.skip_heartbeats(Span::millis(190));
        single.now = single.now + Span::millis(440);
        single.feed(Input::Tick);
        single.run(Span::seconds(2));
        assert_eq!(single.sent.members_lost, 0, "of {count}");
    }
}

/// A change of which all members must hear, such as a drain, must not go to all of them in one burst, which would delay the work
/// on a slow link. Each must hear of it within a second.
#[test]
fn an_urgent_change_reaches_all_members_without_a_burst() {
    for count in SIZES {
        let mut single = start_calm(count);
        single.feed(Input::Drain);
        let mut most = single.sent.heartbeats;
        for _ in 0..100 {
            let before = single.sent.heartbeats;
            single.run(Span::millis(10));
            most = most.max(single.sent.heartbeats - before);
        }
        assert!(most <= MAX_BURST, "{most} in 10 ms, of {count}");
        assert_eq!(single.count_draining_known(), count - 1);
    }
}

/// Instances that take live members for lost, since a link was full, announce them. If all others then watched these members closely for a
/// second, the heartbeats would fill the links again, and more members would be taken for lost.
#[test]
fn false_announcements_of_losses_cost_few_heartbeats() {
    for count in SIZES {
        let mut single = start_calm(count);
        single.run(Span::seconds(3));
        let calm = single.sent.heartbeats;
        single.sent = Sent::default();
        single.announces_losses = true;
        single.run(Span::seconds(3));
        let sent = single.sent;
        assert_eq!(sent.members_lost, 0, "of {count}");
        assert!(
            sent.heartbeats <= 2 * calm,
            "{} heartbeats, {calm} without announcements, of {count}",
            sent.heartbeats
        );
    }
}
