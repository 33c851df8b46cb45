//! A simulated fleet whose instances exchange messages, without endpoints or callers. It counts the traffic of each.

use std::collections::{
    BTreeSet,
    HashMap, //
};

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
        Dispatcher,
        Identity, //
    },
    prelude::*, //
};

/// The interval between ticks. A message arrives at the tick after it was sent.
pub(crate) const TICK: Span = Span::millis(10);

/// The traffic of an instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    /// Messages to it, without heartbeats.
    pub messages: usize,
    /// The size of these messages, in bytes.
    pub bytes: usize,
    /// Messages to it with a change of the roster.
    pub changes: usize,
    /// Messages to it with a piece of a document.
    pub fetched: usize,
    /// Heartbeats that it sent.
    pub heartbeats: usize,
    /// The size of its heartbeats, in bytes.
    pub heartbeat_bytes: usize,
    /// The most heartbeats that it sent in one tick.
    pub max_burst: usize,
}

/// The simulated fleet.
pub(crate) struct Fleet {
    pub now: Time,
    pub dispatchers: Vec<Dispatcher>,
    pub traffic: Vec<Traffic>,
    /// The largest message, in bytes.
    pub largest_message: usize,
    /// Instances whose messages are lost, except heartbeats.
    pub mute: Vec<usize>,
    /// Instances to which messages are lost, except heartbeats.
    pub deaf: Vec<usize>,
    /// Instances that have crashed.
    pub dead: BTreeSet<usize>,
    /// Instances that are partitioned from all others.
    pub partition: BTreeSet<usize>,
    /// How often an instance declared another one lost.
    pub members_lost: usize,
    contacts: Vec<Contact>,
    centre_count: usize,
    /// The incarnation and session of the peer, by sending instance and peer.
    sessions: HashMap<(usize, Instance), (u64, u32)>,
    /// Inputs that arrive at the next tick, with their instance.
    pending: Vec<(usize, Input)>,
    /// Heartbeats that each instance sent in this tick.
    heartbeats_in_tick: Vec<usize>,
}

impl Fleet {
    /// Starts `count` instances, which are spread over the data centres in turn, and runs them for a second.
    pub(crate) fn new(count: usize, centre_count: usize) -> Self {
        let now = Time(1_000_000);
        let contact = |i: usize| Contact {
            name: format!("instance-{i}").parse().unwrap(),
            address: format!("10.{}.0.{i}:7720", i % centre_count),
        };
        let contacts: Vec<Contact> = (0..count).map(contact).collect();
        let dispatcher = |(i, contact): (usize, &Contact)| {
            let identity = Identity {
                contact: contact.clone(),
                centre: centre_name(i, centre_count),
                incarnation: 1,
                share: 250,
                epoch: Epoch(1),
            };
            Dispatcher::new(identity, now)
        };
        let mut fleet = Self {
            now,
            dispatchers: contacts.iter().enumerate().map(dispatcher).collect(),
            traffic: vec![Traffic::default(); count],
            largest_message: 0,
            mute: Vec::new(),
            deaf: Vec::new(),
            dead: BTreeSet::new(),
            partition: BTreeSet::new(),
            members_lost: 0,
            contacts,
            centre_count,
            sessions: HashMap::new(),
            pending: Vec::new(),
            heartbeats_in_tick: vec![0; count],
        };
        for i in 0..count {
            let found = Input::MembersFound(fleet.contacts.clone());
            fleet.feed(i, found);
        }
        fleet.run(Span::seconds(1));
        fleet
    }

    /// Returns the instances of a data centre.
    pub(crate) fn of_centre(&self, centre: usize) -> impl Iterator<Item = usize> {
        (centre..self.dispatchers.len()).step_by(self.centre_count)
    }

    /// Resets the traffic counts.
    pub(crate) fn reset_traffic(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    /// Returns the index of an instance.
    fn index(&self, name: &Instance) -> usize {
        self.contacts.iter().position(|c| c.name == *name).unwrap()
    }

    /// Returns the sender of a message from instance `i` to a peer.
    fn sender(&self, i: usize, to: &Instance) -> Sender {
        let session = self.sessions.get(&(i, to.clone()));
        let (incarnation, session) = session.copied().unwrap_or_default();
        Sender {
            contact: self.contacts[i].clone(),
            centre: centre_name(i, self.centre_count),
            incarnation: 1,
            receiver_incarnation: incarnation,
            session,
            sent: self.now,
        }
    }

    /// Gives an input to an instance and carries out its outputs; a crashed instance ignores it.
    pub(crate) fn feed(&mut self, i: usize, input: Input) {
        if self.dead.contains(&i) {
            return;
        }
        for output in self.dispatchers[i].step(self.now, input) {
            self.on_output(i, output);
        }
    }

    fn on_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Send(to, message) => self.send(i, &to, message),
            Output::Heartbeat(to, heartbeat) => {
                for (to, receipt) in to {
                    let receipt = Some(receipt);
                    let heartbeat = Heartbeat {
                        receipt,
                        ..heartbeat.clone()
                    };
                    self.send_heartbeat(i, &to, heartbeat);
                }
            }
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => {
                self.sessions.insert((i, to.name), (incarnation, session));
            }
            Output::Log(record) => self.members_lost += usize::from(record.event == "member_lost"),
            _ => {}
        }
    }

    fn send(&mut self, i: usize, to: &Contact, message: Message) {
        let size = postcard::to_stdvec(&message).unwrap().len();
        let receiver = self.index(&to.name);
        self.traffic[receiver].messages += 1;
        self.traffic[receiver].bytes += size;
        self.traffic[receiver].changes += usize::from(matches!(message, Message::RosterChange(_)));
        self.largest_message = self.largest_message.max(size);
        self.traffic[receiver].fetched += usize::from(matches!(message, Message::Piece(_)));
        if self.mute.contains(&i) || self.deaf.contains(&receiver) {
            return;
        }
        let from = self.sender(i, &to.name);
        let messages = vec![message];
        self.deliver_later(i, receiver, Input::Received { from, messages });
    }

    fn send_heartbeat(&mut self, i: usize, to: &Contact, heartbeat: Heartbeat) {
        let receiver = self.index(&to.name);
        let from = self.sender(i, &to.name);
        let size = postcard::to_stdvec(&(&from, &heartbeat, &heartbeat.receipt))
            .unwrap()
            .len();
        self.traffic[i].heartbeats += 1;
        self.traffic[i].heartbeat_bytes += size;
        self.heartbeats_in_tick[i] += 1;
        self.deliver_later(i, receiver, Input::Heartbeats(vec![(from, heartbeat)]));
    }

    /// Queues an input for the next tick. Drops it if the partition separates the two instances.
    fn deliver_later(&mut self, i: usize, to: usize, input: Input) {
        if self.partition.contains(&i) == self.partition.contains(&to) {
            self.pending.push((to, input));
        }
    }

    /// Advances time by ticks, in which pending inputs arrive and each instance gets a tick.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for (at, input) in std::mem::take(&mut self.pending) {
                self.feed(at, input);
            }
            for i in 0..self.dispatchers.len() {
                self.feed(i, Input::Tick);
                let sent = std::mem::take(&mut self.heartbeats_in_tick[i]);
                self.traffic[i].max_burst = self.traffic[i].max_burst.max(sent);
            }
        }
    }

    /// Returns the number of peers that an instance considers alive.
    pub(crate) fn peer_count(&self, i: usize) -> usize {
        self.dispatchers[i].stats().peers
    }
}

fn centre_name(i: usize, centre_count: usize) -> String {
    format!("centre-{}", i % centre_count)
}
