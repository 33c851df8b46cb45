//! One instance among simulated peers: counts what it sends and how long its steps take, whatever the size of the fleet.

use std::collections::BTreeMap;

use poplarknot::{
    dispatch::{
        id::Epoch,
        message::{
            Absence,
            Contact,
            Heartbeat,
            Input,
            Message,
            Output,
            Protocol,
            Sender,
            Status, //
        },
        Dispatcher,
        Identity, //
    },
    prelude::*, //
};

use super::world::TICK;

/// Data centres of the fleet.
pub(crate) const CENTRE_COUNT: usize = 5;

/// The interval at which a peer sends heartbeats to an instance that it doesn't watch closely.
const DISTANT_INTERVAL: Span = Span::millis(1_500);

/// The interval at which a peer sends heartbeats to an instance that it watches closely.
const CLOSE_INTERVAL: Span = Span::millis(100);

/// How long a peer watches an instance closely after that instance asked it to.
const WATCH_TIME: Span = Span::seconds(1);

/// What the instance has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Sent {
    pub heartbeats: usize,
    pub heartbeat_bytes: usize,
    pub messages: usize,
    pub message_bytes: usize,
    /// Peers to which it sent a message, each of which costs a connection.
    pub connections: usize,
    /// Peers that it declared lost.
    pub members_lost: usize,
}

/// A simulated peer, which answers heartbeats and nothing else.
#[derive(Debug, Clone)]
struct Peer {
    contact: Contact,
    centre: String,
    /// Whether it knows the instance.
    knows: bool,
    alive: bool,
    sent_at: Time,
    close_until: Time,
    /// The session that the instance has begun with it, and its incarnation as the instance knows it.
    session: (u64, u32),
    has_connection: bool,
    /// Whether it knows that the instance is draining.
    knows_drain: bool,
}

/// The instance and its peers.
pub(crate) struct Single {
    pub now: Time,
    pub dispatcher: Dispatcher,
    pub sent: Sent,
    pub status: Status,
    /// Whether each heartbeat of a peer announces eight others as lost.
    pub announces_losses: bool,
    peers: BTreeMap<Instance, Peer>,
}

impl Single {
    /// Creates an instance in a fleet of `count`, which knows nobody yet.
    pub(crate) fn new(count: usize) -> Self {
        let now = Time(10_000_000);
        let identity = Identity {
            contact: contact(0),
            centre: centre_name(0),
            incarnation: 1,
            share: 120,
            epoch: Epoch(1),
        };
        let peer = |i: usize| Peer {
            contact: contact(i),
            centre: centre_name(i),
            knows: false,
            alive: true,
            sent_at: Time::default(),
            close_until: Time::default(),
            session: (0, 0),
            has_connection: false,
            knows_drain: false,
        };
        let peers = (1..count).map(|i| (contact(i).name, peer(i)));
        Self {
            now,
            dispatcher: Dispatcher::new(identity, now),
            sent: Sent::default(),
            status: Status {
                share: 120,
                ..Status::default()
            },
            announces_losses: false,
            peers: peers.collect(),
        }
    }

    /// Returns the contacts of all peers.
    pub(crate) fn contacts(&self) -> Vec<Contact> {
        self.peers.values().map(|p| p.contact.clone()).collect()
    }

    /// Lets every second peer know the instance: it has found it in the store. Such peers contact the instance one after the
    /// other, `rate` in a second.
    pub(crate) fn make_known(&mut self, rate: usize) {
        let now = self.now;
        for (i, peer) in self.peers.values_mut().enumerate().skip(1).step_by(2) {
            peer.knows = true;
            let first = now + Span((i / 2 * 1_000_000 / rate) as u64);
            peer.sent_at = Time(first.0 - DISTANT_INTERVAL.0.min(first.0));
        }
    }

    /// Sets whether the peers of a data centre are alive.
    pub(crate) fn set_alive(&mut self, centre: usize, alive: bool) {
        let centre = centre_name(centre);
        for peer in self.peers.values_mut().filter(|p| p.centre == centre) {
            peer.alive = alive;
        }
    }

    /// Returns how many peers know that the instance is draining.
    pub(crate) fn count_draining_known(&self) -> usize {
        self.peers.values().filter(|peer| peer.knows_drain).count()
    }

    /// Gives an input to the instance and carries out its outputs.
    pub(crate) fn feed(&mut self, input: Input) {
        for output in self.dispatcher.step(self.now, input) {
            match output {
                Output::Heartbeat(to, heartbeat) => {
                    let size = postcard::to_stdvec(&heartbeat).unwrap().len();
                    self.sent.heartbeats += to.len();
                    self.sent.heartbeat_bytes += to.len() * size;
                    for (to, _) in to {
                        self.on_heartbeat(&to.name, &heartbeat);
                    }
                }
                Output::Send(to, message) => self.on_message(&to.name, &message),
                Output::BeginSession {
                    to,
                    incarnation,
                    session,
                } => {
                    if let Some(peer) = self.peers.get_mut(&to.name) {
                        peer.session = (incarnation, session);
                        peer.has_connection = false;
                    }
                }
                Output::Log(record) => {
                    self.sent.members_lost += usize::from(record.event == "member_lost");
                }
                _ => {}
            }
        }
    }

    /// Records at a peer that a heartbeat of the instance arrived.
    fn on_heartbeat(&mut self, to: &Instance, heartbeat: &Heartbeat) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(to).filter(|peer| peer.alive) else {
            return;
        };
        if !peer.knows {
            peer.knows = true;
            peer.sent_at = Time::default();
        }
        peer.knows_drain |= heartbeat.status.draining;
        if heartbeat.watching {
            peer.close_until = now + WATCH_TIME;
        }
    }

    fn on_message(&mut self, to: &Instance, message: &Message) {
        self.sent.messages += 1;
        self.sent.message_bytes += postcard::to_stdvec(message).unwrap().len();
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        self.sent.connections += usize::from(!peer.has_connection);
        peer.has_connection = true;
    }

    /// Advances time by ticks, in which the peers send the heartbeats that are due.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            let heartbeats = self.due_heartbeats();
            if !heartbeats.is_empty() {
                self.feed(Input::Heartbeats(heartbeats));
            }
            self.feed(Input::Tick);
        }
    }

    /// Advances time by ticks, in which all heartbeats of the peers are lost.
    pub(crate) fn skip_heartbeats(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.due_heartbeats();
            self.feed(Input::Tick);
        }
    }

    fn due_heartbeats(&mut self) -> Vec<(Sender, Heartbeat)> {
        let (now, status) = (self.now, &self.status);
        let names: Vec<Instance> = self.peers.keys().cloned().collect();
        let announces_losses = self.announces_losses;
        let absences = |first: usize| {
            let names = names.iter().cycle().skip(first % names.len()).take(8);
            names.map(|name| Absence {
                name: name.clone(),
                incarnation: 1,
            })
        };
        let mut announced = (now.0 / TICK.0) as usize * 8;
        let is_due = |peer: &&mut Peer| {
            let interval = match now < peer.close_until {
                true => CLOSE_INTERVAL,
                false => DISTANT_INTERVAL,
            };
            peer.alive && peer.knows && now.since(peer.sent_at) >= interval
        };
        let due = self.peers.values_mut().filter(is_due);
        due.map(|peer| {
            peer.sent_at = now;
            let sender = Sender {
                contact: peer.contact.clone(),
                centre: peer.centre.clone(),
                incarnation: 1,
                receiver_incarnation: 0,
                session: peer.session.1,
                sent: now,
            };
            let mut status = status.clone();
            if announces_losses {
                announced += 8;
                status.absences = absences(announced).collect();
            }
            let heartbeat = Heartbeat {
                watching: false,
                status,
                rooms: Vec::new(),
                loads: Vec::new(),
                receipt: None,
                protocol: Protocol::CURRENT,
            };
            (sender, heartbeat)
        })
        .collect()
    }
}

fn contact(i: usize) -> Contact {
    Contact {
        name: format!("instance-{i}").parse().unwrap(),
        address: format!("10.{}.0.{i}:7720", i % CENTRE_COUNT),
    }
}

fn centre_name(i: usize) -> String {
    format!("centre-{}", i % CENTRE_COUNT)
}
