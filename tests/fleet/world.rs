//! Instances that exchange all that they send, without endpoints or callers: what crosses their links, and who hears whom.

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
    prelude::*,
};

/// Between ticks, in which all that was sent arrives.
pub(crate) const TICK: Span = Span::millis(10);

/// What an instance was sent, and has sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    /// Messages that it was sent.
    pub messages: usize,
    /// Their size in bytes.
    pub bytes: usize,
    /// Of these, those that tell what has changed on the list of endpoints.
    pub changes: usize,
    /// Heartbeats that it has sent.
    pub heartbeats: usize,
    /// Their size in bytes.
    pub heartbeat_bytes: usize,
    /// The most heartbeats that it has sent in one tick.
    pub burst: usize,
}

/// The instances.
pub(crate) struct Fleet {
    pub now: Time,
    pub hosts: Vec<Dispatcher>,
    pub traffic: Vec<Traffic>,
    /// The largest message, in bytes.
    pub largest: usize,
    /// Instances whose messages to others get lost, while their heartbeats arrive.
    pub mute: Vec<usize>,
    /// Instances that have died.
    pub dead: BTreeSet<usize>,
    /// Instances that reach each other and nobody else.
    pub cut: BTreeSet<usize>,
    /// How often an instance has given another one up.
    pub lost: usize,
    names: Vec<Contact>,
    centres: usize,
    /// The life and session of each peer, as each instance speaks to it.
    lines: HashMap<(usize, Instance), (u64, u32)>,
    pending: Vec<(usize, Input)>,
    /// What each has sent in this tick.
    sent: Vec<usize>,
}

impl Fleet {
    /// Lets instances start in some data centres, which take them in turn, and hear each other.
    pub(crate) fn new(count: usize, centres: usize) -> Self {
        let now = Time(1_000_000);
        let contact = |i: usize| Contact {
            name: format!("instance-{i}").parse().unwrap(),
            address: format!("10.{}.0.{i}:7720", i % centres),
        };
        let names: Vec<Contact> = (0..count).map(contact).collect();
        let host = |(i, contact): (usize, &Contact)| {
            let identity = Identity {
                contact: contact.clone(),
                centre: centre(i, centres),
                incarnation: 1,
                share: 250,
                epoch: Epoch(1),
            };
            Dispatcher::new(identity, now)
        };
        let mut fleet = Self {
            now,
            hosts: names.iter().enumerate().map(host).collect(),
            traffic: vec![Traffic::default(); count],
            largest: 0,
            mute: Vec::new(),
            dead: BTreeSet::new(),
            cut: BTreeSet::new(),
            lost: 0,
            names,
            centres,
            lines: HashMap::new(),
            pending: Vec::new(),
            sent: vec![0; count],
        };
        for i in 0..count {
            let found = Input::MembersFound(fleet.names.clone());
            fleet.feed(i, found);
        }
        fleet.run(Span::seconds(1));
        fleet
    }

    /// Returns the instances of a data centre.
    pub(crate) fn of_centre(&self, centre: usize) -> impl Iterator<Item = usize> {
        (centre..self.hosts.len()).step_by(self.centres)
    }

    /// Forgets what was sent so far.
    pub(crate) fn clear(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    fn index(&self, name: &Instance) -> usize {
        self.names.iter().position(|c| c.name == *name).unwrap()
    }

    fn sender(&self, i: usize, to: &Instance) -> Sender {
        let line = self.lines.get(&(i, to.clone()));
        let (incarnation, session) = line.copied().unwrap_or_default();
        Sender {
            contact: self.names[i].clone(),
            centre: centre(i, self.centres),
            incarnation: 1,
            receiver_incarnation: incarnation,
            session,
            sent: self.now,
        }
    }

    /// Lets something happen at an instance.
    pub(crate) fn feed(&mut self, i: usize, input: Input) {
        if self.dead.contains(&i) {
            return;
        }
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
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => {
                self.lines.insert((i, to.name), (incarnation, session));
            }
            Output::Log(record) => self.lost += usize::from(record.event == "member_lost"),
            _ => {}
        }
    }

    fn send(&mut self, i: usize, to: &Contact, message: Message) {
        let size = postcard::to_stdvec(&message).unwrap().len();
        let at = self.index(&to.name);
        self.traffic[at].messages += 1;
        self.traffic[at].bytes += size;
        self.traffic[at].changes += usize::from(matches!(message, Message::RosterChange(_)));
        self.largest = self.largest.max(size);
        if self.mute.contains(&i) {
            return;
        }
        let from = self.sender(i, &to.name);
        let messages = vec![message];
        self.post(i, at, Input::Received { from, messages });
    }

    fn beat(&mut self, i: usize, to: &Contact, heartbeat: Heartbeat) {
        let at = self.index(&to.name);
        let from = self.sender(i, &to.name);
        let size = postcard::to_stdvec(&(&from, &heartbeat)).unwrap().len();
        self.traffic[i].heartbeats += 1;
        self.traffic[i].heartbeat_bytes += size;
        self.sent[i] += 1;
        self.post(i, at, Input::Heartbeats(vec![(from, heartbeat)]));
    }

    fn post(&mut self, i: usize, to: usize, input: Input) {
        if self.cut.contains(&i) == self.cut.contains(&to) {
            self.pending.push((to, input));
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for (at, input) in std::mem::take(&mut self.pending) {
                self.feed(at, input);
            }
            for i in 0..self.hosts.len() {
                self.feed(i, Input::Tick);
                let sent = std::mem::take(&mut self.sent[i]);
                self.traffic[i].burst = self.traffic[i].burst.max(sent);
            }
        }
    }

    /// Counts the peers that an instance takes for alive.
    pub(crate) fn peers(&self, i: usize) -> usize {
        self.hosts[i].stats().peers
    }
}

fn centre(i: usize, centres: usize) -> String {
    format!("centre-{}", i % centres)
}
