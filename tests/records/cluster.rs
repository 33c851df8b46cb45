//! A simulated cluster of configurations and a table, in one thread. Each message waits until the test delivers it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// The interval between polls of the head.
pub(crate) const POLL: Span = Span::millis(2_000);

/// Parses an identifier.
pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) struct Node {
    pub(crate) name: Instance,
    pub(crate) centre: Centre,
    /// The number of the run, counted from 1.
    pub(crate) epoch: u64,
    /// The configuration; none while the instance is stopped.
    pub(crate) config: Option<Config>,
    /// The revision that the node applies, which must not decrease within a run.
    applied: Revision,
}

/// A message in transit. A message to an earlier run of a node is dropped.
///
/// The numbers are the node, its epoch and the ticket; a call also has the called node.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Command(usize, u64, u64, Command),
    Completion(usize, u64, u64, Completion),
    Call(usize, u64, u64, usize, Call),
    Return(usize, u64, u64, Option<Return>),
    /// A commit that arrives after its result was reported as unknown.
    LateCommit(Group),
}

pub(crate) struct Cluster {
    pub(crate) table: Table,
    pub(crate) nodes: Vec<Node>,
    pub(crate) messages: Vec<Message>,
    pub(crate) now: Time,
    /// The reports by request.
    pub(crate) reports: BTreeMap<u64, Report>,
    /// The operations of changes by request.
    pub(crate) operations: BTreeMap<u64, Operation>,
    /// Whether the table refuses all commands.
    pub(crate) outage: bool,
    /// The data centres that are partitioned from all others.
    pub(crate) partitioned: BTreeSet<Centre>,
    pub(crate) workers: Vec<Worker>,
    /// The caller's node, epoch and ticket by incoming call.
    callers: BTreeMap<u64, (usize, u64, u64)>,
    /// The last number of a call, a request or an operation.
    last_number: u64,
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
    /// Makes instances in the data centres `a`, `b` and `c` in turn. Each pool has workers in all of them.
    pub(crate) fn new(instances: usize) -> Self {
        let centre = |i: usize| id(["a", "b", "c"][i % 3]);
        let node = |i| Node {
            name: id(&format!("n{i}")),
            centre: centre(i),
            epoch: 0,
            config: None,
            applied: Revision(0),
        };
        let pools = ["compute", "spare"];
        let workers_of = |pool: &'static str| {
            ["a", "b", "c"].map(|c| worker(&format!("{pool}-{c}"), c, pool, 8))
        };
        let mut cluster = Self {
            table: Table::default(),
            nodes: (0..instances).map(node).collect(),
            messages: Vec::new(),
            now: Time(1),
            reports: BTreeMap::new(),
            operations: BTreeMap::new(),
            outage: false,
            partitioned: BTreeSet::new(),
            workers: pools.into_iter().flat_map(workers_of).collect(),
            callers: BTreeMap::new(),
            last_number: 0,
        };
        cluster.table.record_state();
        (0..instances).for_each(|i| cluster.start(i));
        cluster
    }

    /// Makes a cluster with the given records in force.
    pub(crate) fn with_records(instances: usize, texts: &[&str]) -> Self {
        let mut cluster = Self::new(instances);
        cluster.run_for(1_000);
        for text in texts {
            let report = cluster.change(0, submit(text));
            assert!(matches!(report, Report::Accepted { .. }), "{report:?}");
        }
        cluster
    }

    pub(crate) fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.epoch += 1;
        node.applied = Revision(0);
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

    pub(crate) fn is_reachable(&self, i: usize, j: usize) -> bool {
        let (a, b) = (&self.nodes[i].centre, &self.nodes[j].centre);
        a == b || !(self.partitioned.contains(a) || self.partitioned.contains(b))
    }

    /// Passes an input to a node, and checks that its records are those of the table at its revision.
    pub(crate) fn input(&mut self, i: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let Some(config) = &mut node.config else {
            return;
        };
        let outputs = config.step(now, input);
        let revision = config.revision();
        assert!(
            revision >= node.applied,
            "{} reverted from revision {} to {revision}",
            node.name,
            node.applied
        );
        node.applied = revision;
        if config.is_ready() {
            let texts = config.records().iter();
            let texts: BTreeMap<_, _> = texts
                .map(|(name, e)| (name.to_string(), e.record.text.clone()))
                .collect();
            let expected = &self.table.history[revision.0 as usize];
            assert_eq!(
                &texts, expected,
                "{} has other records than the table at {revision}",
                node.name
            );
        }
        let epoch = node.epoch;
        for output in outputs {
            self.on_output(i, epoch, output);
        }
    }

    fn on_output(&mut self, i: usize, epoch: u64, output: Output) {
        match output {
            Output::Report(request, report) => {
                let before = self.reports.insert(request.0, report);
                assert!(before.is_none(), "a request got two reports");
            }
            Output::Command(ticket, command) => {
                self.messages
                    .push(Message::Command(i, epoch, ticket, command));
            }
            Output::Call(to, ticket, call) => {
                let to = self.nodes.iter().position(|node| node.name == to).unwrap();
                self.messages
                    .push(Message::Call(i, epoch, ticket, to, call));
            }
            Output::Return(caller, value) => {
                let (from, epoch, ticket) = self.callers.remove(&caller.0).unwrap();
                self.messages
                    .push(Message::Return(from, epoch, ticket, Some(value)));
            }
            Output::Event(_) | Output::InForce(_) => {}
        }
    }

    /// Delivers one message.
    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Command(i, epoch, ticket, command) => {
                let result = match self.outage {
                    true => Completion::Refused,
                    false => self.table.execute(&command),
                };
                self.messages
                    .push(Message::Completion(i, epoch, ticket, result));
            }
            Message::LateCommit(group) if !self.outage => drop(self.table.commit(&group)),
            Message::LateCommit(_) => {}
            Message::Completion(i, epoch, ticket, result) => {
                if self.nodes[i].epoch == epoch {
                    self.input(i, Input::Completed(ticket, result));
                }
            }
            Message::Call(from, epoch, ticket, to, call) => {
                if self.nodes[to].config.is_none() || !self.is_reachable(from, to) {
                    return self
                        .messages
                        .push(Message::Return(from, epoch, ticket, None));
                }
                self.last_number += 1;
                self.callers.insert(self.last_number, (from, epoch, ticket));
                self.input(to, Input::Called(IncomingCall(self.last_number), call));
            }
            Message::Return(i, epoch, ticket, value) => {
                if self.nodes[i].epoch == epoch {
                    self.input(i, Input::Returned(ticket, value.ok_or(())));
                }
            }
        }
    }

    /// Delivers all messages in order, also those that are sent meanwhile.
    pub(crate) fn deliver_all(&mut self) {
        for delivered in 0.. {
            assert!(
                delivered < 10_000,
                "messages are left after 10,000 deliveries"
            );
            if self.messages.is_empty() {
                return;
            }
            let message = self.messages.remove(0);
            self.deliver(message);
        }
    }

    /// Passes each node the state of its peers: whether they are alive and reachable, and which revision they apply.
    pub(crate) fn heartbeat(&mut self) {
        for i in 0..self.nodes.len() {
            let peers = (0..self.nodes.len()).filter(|j| *j != i).map(|j| {
                let node = &self.nodes[j];
                let alive = node.config.is_some() && self.is_reachable(i, j);
                Peer {
                    name: node.name.clone(),
                    centre: node.centre.clone(),
                    address: String::new(),
                    revision: if alive { node.applied } else { Revision(0) },
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

    /// Lets time pass in steps of 100 ms, each with a heartbeat and delivery of all messages.
    pub(crate) fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.heartbeat();
            self.tick(100);
            self.deliver_all();
        }
    }

    /// Passes a request to an instance, and returns its number.
    pub(crate) fn ask(&mut self, i: usize, ask: Ask) -> u64 {
        self.last_number += 1;
        let request = self.last_number;
        if let Ask::Edit(edit) = &ask {
            self.operations.insert(request, edit.operation);
        }
        self.input(i, Input::Ask(Request(request), ask));
        request
    }

    /// Passes a request to an instance, lets time pass if necessary, and returns the report.
    pub(crate) fn request(&mut self, i: usize, ask: Ask) -> Report {
        let request = self.ask(i, ask);
        self.deliver_all();
        self.run_for(6_000 * u64::from(!self.reports.contains_key(&request)));
        self.reports[&request].clone()
    }

    pub(crate) fn change(&mut self, i: usize, act: Act) -> Report {
        let edit = self.edit(act);
        self.request(i, Ask::Edit(edit))
    }

    pub(crate) fn edit(&mut self, act: Act) -> Edit {
        self.last_number += 1;
        Edit {
            operator: id("kati"),
            from: "192.0.2.1:4000".to_owned(),
            at_ms: self.now.0 / 1_000,
            operation: Operation(u128::from(self.last_number)),
            dry_run: false,
            confirmed: false,
            act,
        }
    }

    /// Returns the revisions that the running instances apply.
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
