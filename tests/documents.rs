//! How a large configuration reaches instances that the store turns away: what crosses the links, and how soon it is in force.

use std::collections::HashMap;

use poplarknot::{
    dispatch::{
        id::Epoch,
        message::{
            Contact,
            Heartbeat,
            Input,
            Message,
            Output,
            Sender, //
        },
        route::{
            Configuration,
            Pool,
            Route, //
        },
        Dispatcher,
        Identity, //
    },
    prelude::*,
};

/// Between ticks, in which all that was sent arrives.
const TICK: Span = Span::millis(10);

/// Routes of a large configuration.
const ROUTES: usize = 1_500;

/// The most that one message may take: 20 ms of a link of 25 Mbit/s.
const LARGEST: usize = 64 << 10;

/// Instances that exchange all that they send, and what each was sent in bytes.
struct Fleet {
    now: Time,
    hosts: Vec<Dispatcher>,
    names: Vec<Contact>,
    /// The life and session of each peer, as each instance speaks to it.
    lines: HashMap<(usize, Instance), (u64, u32)>,
    pending: Vec<(usize, Input)>,
    bytes: Vec<usize>,
    largest: usize,
    /// Instances whose messages to others get lost, while their heartbeats arrive.
    mute: Vec<usize>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Time(1_000_000);
        let contact = |i: usize| Contact {
            name: format!("instance-{i}").parse().unwrap(),
            address: format!("{i}"),
        };
        let names: Vec<Contact> = (0..count).map(contact).collect();
        let host = |contact: &Contact| {
            let identity = Identity {
                contact: contact.clone(),
                centre: "a".to_owned(),
                incarnation: 1,
                share: 250,
                epoch: Epoch(1),
            };
            Dispatcher::new(identity, now)
        };
        let mut fleet = Self {
            now,
            hosts: names.iter().map(host).collect(),
            lines: HashMap::new(),
            pending: Vec::new(),
            bytes: vec![0; count],
            largest: 0,
            mute: Vec::new(),
            names,
        };
        for i in 0..count {
            let found = Input::Found(fleet.names.clone());
            fleet.feed(i, found);
        }
        fleet.run(Span::seconds(1));
        fleet
    }

    fn index(&self, name: &Instance) -> usize {
        self.names.iter().position(|c| c.name == *name).unwrap()
    }

    fn sender(&self, i: usize, to: &Instance) -> Sender {
        let line = self.lines.get(&(i, to.clone()));
        let (incarnation, session) = line.copied().unwrap_or_default();
        Sender {
            contact: self.names[i].clone(),
            centre: "a".to_owned(),
            incarnation: 1,
            to: incarnation,
            session,
        }
    }

    fn feed(&mut self, i: usize, input: Input) {
        for output in self.hosts[i].step(self.now, input) {
            self.carry_out(i, output);
        }
    }

    fn carry_out(&mut self, i: usize, output: Output) {
        match output {
            Output::Send(to, message) => self.send(i, &to, message),
            Output::Heartbeat(to, heartbeat) => {
                for to in to {
                    self.beat(i, &to, heartbeat.clone());
                }
            }
            Output::Session {
                to,
                incarnation,
                session,
            } => {
                self.lines.insert((i, to.name), (incarnation, session));
            }
            _ => {}
        }
    }

    fn send(&mut self, i: usize, to: &Contact, message: Message) {
        let size = postcard::to_stdvec(&message).unwrap().len();
        let at = self.index(&to.name);
        self.bytes[at] += size;
        self.largest = self.largest.max(size);
        if self.mute.contains(&i) {
            return;
        }
        let from = self.sender(i, &to.name);
        let messages = vec![message];
        self.pending.push((at, Input::Received { from, messages }));
    }

    fn beat(&mut self, i: usize, to: &Contact, heartbeat: Heartbeat) {
        let at = self.index(&to.name);
        let from = self.sender(i, &to.name);
        let input = Input::Heartbeats(vec![(from, heartbeat)]);
        self.pending.push((at, input));
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for (at, input) in std::mem::take(&mut self.pending) {
                self.feed(at, input);
            }
            for i in 0..self.hosts.len() {
                self.feed(i, Input::Tick);
            }
        }
    }

    fn version(&self, i: usize) -> u64 {
        self.hosts[i].configuration().map_or(0, |c| c.version)
    }
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
        services: vec![Pool {
            name: "cells".to_owned(),
            ..Pool::default()
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
    let mut fleet = Fleet::new(34);
    let size = size(&configuration(7));
    for i in 4..34 {
        fleet.feed(i, Input::Configured(Box::new(configuration(7))));
    }
    fleet.bytes = vec![0; 34];
    fleet.run(Span::seconds(2));
    for i in 0..4 {
        assert_eq!(fleet.version(i), 7, "instance {i} has it not in force");
        assert!(
            fleet.bytes[i] < size * 3 / 2,
            "instance {i} was sent {} bytes for {size}",
            fleet.bytes[i]
        );
    }
    assert!(fleet.largest <= LARGEST, "a message of {}", fleet.largest);
}

/// The peers that an instance asks first are silent: their heartbeats come, but nothing else. It goes on to others, and a
/// newer configuration that replaces the one it is reading is read from its beginning; an older one never comes back.
#[test]
fn silent_peers_are_passed_over() {
    let mut fleet = Fleet::new(12);
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
        assert!(fleet.version(0) >= last, "its configuration reverts");
        last = fleet.version(0);
    }
    assert_eq!(last, 9);
}
