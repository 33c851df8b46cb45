//! A few configurations with a table between them, in one thread: every message waits until the test picks it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// The span between polls.
pub(crate) const POLL: Span = Span::millis(2_000);

/// Reads a name.
pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) struct Node {
    pub(crate) name: Instance,
    pub(crate) centre: Centre,
    pub(crate) epoch: u64,
    pub(crate) config: Option<Config>,
    floor: Revision,
}

/// A message on its way; those to an earlier run of a node are dropped.
#[derive(Clone, Debug)]
pub(crate) enum Flight {
    Operate(usize, u64, u64, Command),
    Result(usize, u64, u64, Completion),
    Call(usize, u64, u64, usize, Call),
    Return(usize, u64, u64, Option<Return>),
    /// A commit whose sender was told that its end is not known.
    Stray(Group),
}

pub(crate) struct Cluster {
    pub(crate) table: Table,
    pub(crate) nodes: Vec<Node>,
    pub(crate) flight: Vec<Flight>,
    pub(crate) now: Time,
    pub(crate) told: BTreeMap<u64, Report>,
    pub(crate) asked: BTreeMap<u64, Operation>,
    pub(crate) outage: bool,
    /// Data centres that are cut off from the others.
    pub(crate) cut: BTreeSet<Centre>,
    pub(crate) workers: Vec<Worker>,
    callers: BTreeMap<u64, (usize, u64, u64)>,
    next: u64,
}

pub(crate) fn worker(name: &str, centre: &str, pool: &str, slots: u32) -> Worker {
    Worker {
        name: id(name),
        centre: id(centre),
        rack: "r1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        pool: id(pool),
        slots,
        connections: 64,
        resources: Hardware {
            cores: 64,
            memory_mb: 131_072,
            accelerators: 0,
        },
        state: State::Live,
    }
}

impl Cluster {
    /// Makes instances in the data centres `a`, `b` and `c` by turns, each pool having workers in all of them.
    pub(crate) fn new(instances: usize) -> Self {
        let centre = |i: usize| id(["a", "b", "c"][i % 3]);
        let node = |i| Node {
            name: id(&format!("n{i}")),
            centre: centre(i),
            epoch: 0,
            config: None,
            floor: Revision(0),
        };
        let pools = ["compute", "spare"];
        let of = |pool: &'static str| {
            ["a", "b", "c"].map(|c| worker(&format!("{pool}-{c}"), c, pool, 8))
        };
        let mut cluster = Self {
            table: Table::default(),
            nodes: (0..instances).map(node).collect(),
            flight: Vec::new(),
            now: Time(1),
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
            outage: false,
            cut: BTreeSet::new(),
            workers: pools.into_iter().flat_map(of).collect(),
            callers: BTreeMap::new(),
            next: 0,
        };
        cluster.table.note();
        (0..instances).for_each(|i| cluster.start(i));
        cluster
    }

    /// Makes a cluster that has the given records in force.
    pub(crate) fn with(instances: usize, texts: &[&str]) -> Self {
        let mut cluster = Self::new(instances);
        cluster.settle(1_000);
        for text in texts {
            let told = cluster.change(0, submit(text));
            assert!(matches!(told, Report::Accepted { .. }), "{told:?}");
        }
        cluster
    }

    pub(crate) fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.epoch += 1;
        node.floor = Revision(0);
        let config = Config::new(
            node.name.clone(),
            node.centre.clone(),
            POLL,
            i as u64 * 7_919,
        );
        node.config = Some(config);
        let workers = self.workers.clone();
        self.input(i, Input::Workers(workers));
    }

    pub(crate) fn stop(&mut self, i: usize) {
        self.nodes[i].config = None;
    }

    pub(crate) fn config(&self, i: usize) -> &Config {
        self.nodes[i].config.as_ref().unwrap()
    }

    pub(crate) fn reachable(&self, i: usize, j: usize) -> bool {
        let (a, b) = (&self.nodes[i].centre, &self.nodes[j].centre);
        a == b || !(self.cut.contains(a) || self.cut.contains(b))
    }

    /// Gives an input, and checks that what is applied is what the table had at that revision.
    pub(crate) fn input(&mut self, i: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let Some(config) = &mut node.config else {
            return;
        };
        let outputs = config.step(now, input);
        let revision = config.revision();
        assert!(
            revision >= node.floor,
            "{} fell from {} to {revision}",
            node.name,
            node.floor
        );
        node.floor = revision;
        if config.is_ready() {
            let texts = config.records().iter();
            let texts: BTreeMap<_, _> = texts
                .map(|(name, e)| (name.to_string(), e.record.text.clone()))
                .collect();
            let right = &self.table.history[revision.0 as usize];
            assert_eq!(
                &texts, right,
                "{} reverted or skipped at {revision}",
                node.name
            );
        }
        let epoch = node.epoch;
        for output in outputs {
            self.output(i, epoch, output);
        }
    }

    fn output(&mut self, i: usize, epoch: u64, output: Output) {
        match output {
            Output::Report(request, told) => {
                let before = self.told.insert(request.0, told);
                assert!(before.is_none(), "answered twice");
            }
            Output::Command(ticket, operate) => {
                self.flight.push(Flight::Operate(i, epoch, ticket, operate));
            }
            Output::Call(to, ticket, call) => {
                let to = self.nodes.iter().position(|node| node.name == to).unwrap();
                self.flight.push(Flight::Call(i, epoch, ticket, to, call));
            }
            Output::Return(caller, value) => {
                let (from, epoch, ticket) = self.callers.remove(&caller.0).unwrap();
                self.flight
                    .push(Flight::Return(from, epoch, ticket, Some(value)));
            }
            Output::Event(_) | Output::InForce(_) => {}
        }
    }

    /// Delivers one message.
    pub(crate) fn deliver(&mut self, flight: Flight) {
        match flight {
            Flight::Operate(i, epoch, ticket, operate) => {
                let result = match self.outage {
                    true => Completion::Refused,
                    false => self.table.operate(&operate),
                };
                self.flight.push(Flight::Result(i, epoch, ticket, result));
            }
            Flight::Stray(group) if !self.outage => drop(self.table.commit(&group)),
            Flight::Stray(_) => {}
            Flight::Result(i, epoch, ticket, result) => {
                if self.nodes[i].epoch == epoch {
                    self.input(i, Input::Completed(ticket, result));
                }
            }
            Flight::Call(from, epoch, ticket, to, call) => {
                if self.nodes[to].config.is_none() || !self.reachable(from, to) {
                    return self.flight.push(Flight::Return(from, epoch, ticket, None));
                }
                self.next += 1;
                self.callers.insert(self.next, (from, epoch, ticket));
                self.input(to, Input::Called(IncomingCall(self.next), call));
            }
            Flight::Return(i, epoch, ticket, value) => {
                if self.nodes[i].epoch == epoch {
                    self.input(i, Input::Returned(ticket, value.ok_or(())));
                }
            }
        }
    }

    /// Delivers everything in order.
    pub(crate) fn run(&mut self) {
        for delivered in 0.. {
            assert!(delivered < 10_000, "messages without end");
            if self.flight.is_empty() {
                return;
            }
            let flight = self.flight.remove(0);
            self.deliver(flight);
        }
    }

    /// Tells everyone who is alive, as far as it is reachable, and which revision it applies.
    pub(crate) fn heartbeat(&mut self) {
        for i in 0..self.nodes.len() {
            let peers = (0..self.nodes.len()).filter(|j| *j != i).map(|j| {
                let node = &self.nodes[j];
                let alive = node.config.is_some() && self.reachable(i, j);
                Peer {
                    name: node.name.clone(),
                    centre: node.centre.clone(),
                    address: String::new(),
                    revision: if alive { node.floor } else { Revision(0) },
                    alive,
                }
            });
            let peers = peers.collect();
            self.input(i, Input::Peers(peers));
        }
    }

    pub(crate) fn tick(&mut self, millis: u64) {
        self.now = self.now + Span::millis(millis);
        (0..self.nodes.len()).for_each(|i| self.input(i, Input::Tick));
    }

    /// Lets time pass with heartbeats, everything being delivered.
    pub(crate) fn settle(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.heartbeat();
            self.tick(100);
            self.run();
        }
    }

    /// Asks an instance, and returns the number of the request.
    pub(crate) fn ask(&mut self, i: usize, ask: Ask) -> u64 {
        self.next += 1;
        let request = self.next;
        if let Ask::Edit(edit) = &ask {
            self.asked.insert(request, edit.operation);
        }
        self.input(i, Input::Ask(Request(request), ask));
        request
    }

    /// Asks, and lets time pass until the answer is there.
    pub(crate) fn answer(&mut self, i: usize, ask: Ask) -> Report {
        let request = self.ask(i, ask);
        self.run();
        self.settle(6_000 * u64::from(!self.told.contains_key(&request)));
        self.told[&request].clone()
    }

    pub(crate) fn change(&mut self, i: usize, act: Act) -> Report {
        let edit = self.edit(act);
        self.answer(i, Ask::Edit(edit))
    }

    pub(crate) fn edit(&mut self, act: Act) -> Edit {
        self.next += 1;
        Edit {
            operator: id("kati"),
            from: "192.0.2.1:4000".to_owned(),
            at_ms: self.now.0 / 1_000,
            operation: Operation(u128::from(self.next)),
            dry_run: false,
            confirmed: false,
            act,
        }
    }

    /// Returns the revision that each running instance applies.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        let configs = self.nodes.iter().filter_map(|node| node.config.as_ref());
        configs.map(|config| config.revision().0).collect()
    }
}

pub(crate) fn submit(text: &str) -> Act {
    let text = text.to_owned();
    Act::Submit { text }
}

pub(crate) fn amend(name: &str, amends: u64, text: &str) -> Act {
    Act::Amend {
        name: name.parse::<Name>().unwrap(),
        amends: Revision(amends),
        text: text.to_owned(),
    }
}

pub(crate) fn withdraw(name: &str, amends: u64) -> Act {
    Act::Withdraw {
        name: name.parse::<Name>().unwrap(),
        amends: Revision(amends),
    }
}

use crate::prelude::*;
