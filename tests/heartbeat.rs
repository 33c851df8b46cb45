//! Heartbeats between processes of this build and of the previous one, which knows no load.

use poplarknot::{
    dispatch::{
        id::RackId,
        license::Receipt,
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
