//! Property test: random orders of deliveries, losses, duplicates, late commits, crashes, partitions and outages.

use poplarknot::core::{
    config::{
        Ask,
        Report, //
    },
    message::{
        Command,
        Completion, //
    }, //
};

const INSTANCES: usize = 5;

/// A step of the test. Its numbers select messages, instances and edits, modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Edit(usize, u8),
    Resend(usize, usize),
    Crash(usize),
    Start(usize),
    Partition(usize),
    Reconnect,
    Outage(bool),
    Heartbeat,
    Tick(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = usize::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0..=19 => Self::Deliver(n),
            20..=21 => Self::Lose(n),
            22..=23 => Self::Duplicate(n),
            24..=28 => Self::Edit(n, u8::arbitrary(g)),
            29 => Self::Resend(n, usize::arbitrary(g)),
            30 => Self::Crash(n),
            31..=32 => Self::Start(n),
            33 => Self::Partition(n),
            34 => Self::Reconnect,
            35 => Self::Outage(n % 3 == 0),
            36..=37 => Self::Heartbeat,
            _ => Self::Tick(u16::arbitrary(g) % 1_500),
        }
    }
}

/// Loses a message. The result of a lost command is unknown, and a lost commit may still arrive late.
fn lose(cluster: &mut Cluster, message: Message) {
    match message {
        Message::Command(i, epoch, ticket, command) => {
            cluster
                .messages
                .push(Message::Completion(i, epoch, ticket, Completion::Unknown));
            if let Command::Commit(group) = command {
                cluster.messages.push(Message::LateCommit(group));
            }
        }
        Message::Completion(i, epoch, ticket, _) => {
            cluster
                .messages
                .push(Message::Completion(i, epoch, ticket, Completion::Unknown));
        }
        Message::Call(i, epoch, ticket, ..) | Message::Return(i, epoch, ticket, _) => {
            cluster
                .messages
                .push(Message::Return(i, epoch, ticket, None));
        }
        Message::LateCommit(_) => {}
    }
}

/// Makes an edit of one of two records, in either schema, based on the revision that the instance applies.
fn make_edit(cluster: &mut Cluster, i: usize, choice: u8) -> Option<Edit> {
    let config = cluster.nodes[i].config.as_ref()?;
    let name = ["pool/spare", "service/notebook"][usize::from(choice % 2)];
    let entry = config.records().get(&name.parse().unwrap());
    let revision = entry.map(|entry| entry.revision.0);
    let texts = [
        r#"{"schema":1,"kind":"pool","name":"spare"}"#.to_owned(),
        sample::NOTEBOOK.to_owned(),
        r#"{"schema":2,"kind":"pool","name":"spare","state":"closed"}"#.to_owned(),
        format!(
            r#"{{"schema":2,"kind":"service","name":"notebook","pools":["compute"],"deadline_ms":{}000}}"#,
            choice / 4 + 1
        ),
    ];
    let text = &texts[usize::from(choice % 4)];
    let act = match revision {
        None => submit(text),
        Some(revision) if choice % 16 < 2 => withdraw(name, revision),
        Some(revision) => amend(name, revision, text),
    };
    Some(cluster.edit(act))
}

/// Executes a step. `edits` collects the edits made, for later resubmissions.
fn execute(cluster: &mut Cluster, edits: &mut Vec<Edit>, step: &Step) {
    let select = |n: usize, len: usize| n.checked_rem(len);
    match *step {
        Step::Deliver(n) => {
            if let Some(index) = select(n, cluster.messages.len()) {
                let message = cluster.messages.remove(index);
                cluster.deliver(message);
            }
        }
        Step::Lose(n) => {
            if let Some(index) = select(n, cluster.messages.len()) {
                let message = cluster.messages.remove(index);
                lose(cluster, message);
            }
        }
        Step::Duplicate(n) => {
            if let Some(index) = select(n, cluster.messages.len()) {
                let message = cluster.messages[index].clone();
                if matches!(
                    message,
                    Message::Call(..) | Message::Return(..) | Message::Completion(..)
                ) {
                    cluster.messages.push(message);
                }
            }
        }
        Step::Edit(n, choice) => {
            if let Some(edit) = make_edit(cluster, n % INSTANCES, choice) {
                edits.push(edit.clone());
                cluster.ask(n % INSTANCES, Ask::Edit(edit));
            }
        }
        Step::Resend(n, i) => {
            if let Some(index) = select(n, edits.len()) {
                let edit = edits[index].clone();
                if cluster.nodes[i % INSTANCES].config.is_some() {
                    cluster.ask(i % INSTANCES, Ask::Edit(edit));
                }
            }
        }
        Step::Crash(n) => cluster.stop(n % INSTANCES),
        Step::Start(n) => {
            if cluster.nodes[n % INSTANCES].config.is_none() {
                cluster.start(n % INSTANCES);
            }
        }
        Step::Partition(n) => drop(cluster.partitioned.insert(id(["a", "b", "c"][n % 3]))),
        Step::Reconnect => cluster.partitioned.clear(),
        Step::Outage(outage) => cluster.outage = outage,
        Step::Heartbeat => cluster.heartbeat(),
        Step::Tick(millis) => cluster.tick(u64::from(millis)),
    }
}

/// Checks each report against the changes in the table.
fn check_reports(cluster: &Cluster) {
    for (request, report) in &cluster.reports {
        let operation = cluster.operations[request];
        let applied = cluster
            .table
            .operations
            .iter()
            .filter(|other| **other == operation)
            .count();
        assert!(applied <= 1, "{operation} was applied {applied} times");
        match report {
            Report::Accepted { revision, .. } => {
                let stored = cluster.table.operations[revision.0 as usize - 1];
                assert_eq!(
                    stored, operation,
                    "the reported revision belongs to another change"
                );
            }
            Report::Refused(_) => {
                assert_eq!(applied, 0, "reported as refused, but applied: {report:?}")
            }
            _ => {}
        }
    }
}

/// Executes the steps, then ends all faults and checks that all instances apply the newest revision.
fn check_steps(steps: Vec<Step>) -> bool {
    let mut cluster = Cluster::with_records(INSTANCES, &[sample::COMPUTE]);
    let mut edits = Vec::new();
    for step in &steps {
        execute(&mut cluster, &mut edits, step);
        check_reports(&cluster);
    }
    cluster.outage = false;
    cluster.partitioned.clear();
    for i in 0..INSTANCES {
        if cluster.nodes[i].config.is_none() {
            cluster.start(i);
        }
    }
    cluster.run_for(16_000);
    check_reports(&cluster);
    let head = cluster.table.head() as u64;
    assert_eq!(
        cluster.revisions(),
        [head; INSTANCES],
        "the newest revision is not in force at all instances"
    );
    let newest = &cluster.table.history[head as usize];
    let has_all = |i| cluster.config(i).records().len() == newest.len();
    (0..INSTANCES).all(has_all)
}

/// No order of faults may revert a change at an instance or falsify a report. Each input compares the node's records
/// with the table's at that revision, and each step compares the reports with the changes that were applied.
#[test]
fn accepted_changes_stay_in_force_in_any_order_of_events() {
    let tests = std::env::var("ORDERS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200);
    let property: fn(Vec<Step>) -> bool = check_steps;
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(tests)
        .quickcheck(property);
}

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

use crate::prelude::*;
