//! Heartbeats between processes of this build and of the previous one, which knows no load.

use poplarknot::{
    dispatch::{
        id::RackId,
        license::{
            Receipt,
            SettledThere, //
        },
        member::Members,
        message::{
            Contact,
            Heartbeat,
            Load,
            Message,
            Protocol,
            Sender,
            Status,
            Vacancy, //
        },
        queue::Class, //
    },
    instance::heartbeats::{
        append_receipt,
        decode,
        encode, //
    },
    prelude::*, //
};

fn sender() -> Sender {
    Sender {
        contact: Contact {
            name: "a".parse().expect("a name"),
            address: "127.0.0.1:1".to_owned(),
        },
        centre: "c".to_owned(),
        incarnation: 1,
        receiver_incarnation: 2,
        session: 3,
        sent: Time(4),
    }
}

fn heartbeat(loads: Vec<Load>) -> Heartbeat {
    Heartbeat {
        watching: true,
        status: Status::default(),
        rooms: vec![Vacancy {
            rack: RackId(7),
            free: Vec::new(),
            movable: 1,
            backlog: 2,
        }],
        loads,
        receipt: None,
        protocol: Protocol::FIRST,
    }
}

fn load() -> Load {
    Load {
        rack: RackId(7),
        speeds: vec![1, 2],
        waiting: vec![(Class(0), 90), (Class(4), 400)],
    }
}

fn datagram(heartbeat: &Heartbeat) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&sender()).expect("a sender can be encoded");
    bytes.extend(encode(heartbeat).expect("a heartbeat can be encoded"));
    bytes
}

/// The load must reach the receiver.
#[test]
fn load_follows_the_heartbeat() {
    let sent = heartbeat(vec![load()]);
    let received = decode(&datagram(&sent)).expect("the datagram can be read");
    assert_eq!(received, (sender(), sent));
}

/// The previous build reads the sender and the heartbeat, and ignores what follows. A fleet would fall apart while it's being
/// upgraded if it didn't.
#[test]
fn previous_build_reads_a_heartbeat_with_load() {
    let sent = heartbeat(vec![load()]);
    let read: (Sender, Heartbeat) =
        postcard::from_bytes(&datagram(&sent)).expect("the datagram can be read");
    assert_eq!(read, (sender(), heartbeat(Vec::new())));
}

/// A heartbeat of the previous build, or one whose load can't be read, counts without load. Its sender would be lost otherwise.
#[test]
fn heartbeat_counts_without_readable_load() {
    let sent = heartbeat(Vec::new());
    let plain = datagram(&sent);
    let received = decode(&plain).expect("the datagram can be read");
    assert_eq!(received, (sender(), sent.clone()));
    let with_load = datagram(&heartbeat(vec![load()]));
    // A receipt that may be missing confirms nothing.
    let cut = Heartbeat {
        receipt: Some(Receipt::default()),
        ..sent
    };
    for length in plain.len() + 1..with_load.len() {
        let received = decode(&with_load[..length]).expect("the heartbeat can be read");
        assert_eq!(received, (sender(), cut.clone()), "of {length} bytes");
    }
}

/// A member's heartbeat states which messages it can read, after the receipt. One without, of an earlier build, is sent none that it
/// would refuse with the whole envelope.
#[test]
fn member_of_an_earlier_build_gets_no_message_that_it_cannot_read() {
    let now = Time(10_000_000);
    let withdrawal = Message::Withdraw {
        serial: 1,
        tasks: vec![0],
    };
    for (protocol, readable) in [(None, false), (Some(Protocol::CURRENT), true)] {
        let mut bytes = datagram(&heartbeat(vec![load()]));
        bytes.extend(postcard::to_stdvec(&Receipt::default()).expect("a receipt can be encoded"));
        if let Some(protocol) = protocol {
            bytes.extend(postcard::to_stdvec(&protocol).expect("a protocol can be encoded"));
        }
        let (from, received) = decode(&bytes).expect("the datagram can be read");
        assert_eq!(received.receipt, Some(Receipt::default()));
        let name = &from.contact.name;
        let mut members = Members::new(&"own".parse().expect("a name"), "c");
        members.check_sender(&from, 2, now);
        members.set_protocol(name, received.protocol);
        assert_eq!(members.can_read(name, &withdrawal), readable);
        assert!(members.can_read(name, &Message::Cancel(1)));
    }
}

/// The time on the receiver's clock follows the protocol. Earlier builds read what they know and ignore it, and a time that is cut off is
/// unknown: taken as one of an earlier build, it would confirm a batch as of a later time.
#[test]
fn time_on_the_receivers_clock_follows_the_protocol() {
    let plain = datagram(&heartbeat(vec![load()]));
    let receipt = Receipt {
        settled: Time(70_000),
        sent: 5,
        received: 6,
        settled_there: SettledThere::NotBefore(Time(90_000)),
    };
    let bytes = append_receipt(plain.clone(), &receipt, Protocol::CURRENT);
    let bytes = bytes.expect("a receipt can be encoded");
    let (_, received) = decode(&bytes).expect("the datagram can be read");
    assert_eq!(received.receipt, Some(receipt));
    assert_eq!(received.protocol, Protocol::CURRENT);

    let known = postcard::take_from_bytes::<(Receipt, Protocol)>(&bytes[plain.len()..]);
    let ((earlier, protocol), rest) = known.expect("an earlier build can read it");
    let unstated = Receipt {
        settled_there: SettledThere::Unstated,
        ..receipt
    };
    assert_eq!((earlier, protocol), (unstated, Protocol::CURRENT));

    let end = bytes.len() - rest.len();
    let (_, received) = decode(&bytes[..end]).expect("the datagram can be read");
    assert_eq!(received.receipt, Some(unstated), "of an earlier build");
    for length in end + 1..bytes.len() {
        let (_, received) = decode(&bytes[..length]).expect("the datagram can be read");
        let there = received.receipt.map(|receipt| receipt.settled_there);
        assert_eq!(there, Some(SettledThere::Unknown), "of {length} bytes");
    }
}

/// The batches of a member of an earlier build, which doesn't state the time on the receiver's clock, are confirmed: in a fleet that is being
/// upgraded no task of its callers would start otherwise. Those of one that doesn't know the time aren't.
#[test]
fn member_of_an_earlier_build_confirms_its_batches() {
    let now = Time(10_000_000);
    for (settled_there, confirmed) in [
        (SettledThere::Unstated, Some(now)),
        (SettledThere::Unknown, None),
        (
            SettledThere::NotBefore(Time(9_000_000)),
            Some(Time(9_000_000)),
        ),
        (SettledThere::NotBefore(Time(11_000_000)), Some(now)),
    ] {
        let receipt = Receipt {
            settled: sender().sent,
            settled_there,
            ..Receipt::default()
        };
        let mut members = Members::new(&"own".parse().expect("a name"), "c");
        let name = &sender().contact.name;
        members.check_sender(&sender(), 2, now);
        members.on_heartbeat(name, Status::default(), sender().sent, now);
        members.on_receipt(name, Some(&receipt), sender().sent, now);
        let confirmation = members.confirmation(name);
        assert_eq!(confirmation.map(|c| c.at), confirmed, "{settled_there:?}");
    }
}
