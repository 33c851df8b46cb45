//! Any order of events: losses, duplicates, delays, late commits, crashes, cuts and outages.

use poplarknot::core::{
    config::{
        Ask,
        Report, //
    },
    message::{
        Command,
        Completion, //
    },
};
const INSTANCES: usize = 5;

/// What happens next; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Edit(usize, u8),
    Resend(usize, usize),
    Crash(usize),
    Start(usize),
    Cut(usize),
    Heal,
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
            22..=23 => Self::Repeat(n),
            24..=28 => Self::Edit(n, u8::arbitrary(g)),
            29 => Self::Resend(n, usize::arbitrary(g)),
            30 => Self::Crash(n),
            31..=32 => Self::Start(n),
            33 => Self::Cut(n),
            34 => Self::Heal,
            35 => Self::Outage(n % 3 == 0),
            36..=37 => Self::Heartbeat,
            _ => Self::Tick(u16::arbitrary(g) % 1_500),
        }
    }
}

/// Loses a message: of a commit the request, which may then land late, or the answer.
fn lose(cluster: &mut Cluster, flight: Flight) {
    match flight {
        Flight::Operate(i, epoch, ticket, operate) => {
            cluster
                .flight
                .push(Flight::Result(i, epoch, ticket, Completion::Unknown));
            if let Command::Commit(group) = operate {
                cluster.flight.push(Flight::Stray(group));
            }
        }
        Flight::Result(i, epoch, ticket, _) => {
            cluster
                .flight
                .push(Flight::Result(i, epoch, ticket, Completion::Unknown));
        }
        Flight::Call(i, epoch, ticket, ..) | Flight::Return(i, epoch, ticket, _) => {
            cluster.flight.push(Flight::Return(i, epoch, ticket, None));
        }
        Flight::Stray(_) => {}
    }
}

/// Asks for a change of one of two records, in either schema, on the revision that the instance shows.
fn edit(cluster: &mut Cluster, i: usize, choice: u8) -> Option<Edit> {
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

fn step(cluster: &mut Cluster, edits: &mut Vec<Edit>, step: &Step) {
    let pick = |n: usize, of: usize| n.checked_rem(of);
    match *step {
        Step::Deliver(n) => {
            if let Some(place) = pick(n, cluster.flight.len()) {
                let flight = cluster.flight.remove(place);
                cluster.deliver(flight);
            }
        }
        Step::Lose(n) => {
            if let Some(place) = pick(n, cluster.flight.len()) {
                let flight = cluster.flight.remove(place);
                lose(cluster, flight);
            }
        }
        Step::Repeat(n) => {
            if let Some(place) = pick(n, cluster.flight.len()) {
                let flight = cluster.flight[place].clone();
                if matches!(
                    flight,
                    Flight::Call(..) | Flight::Return(..) | Flight::Result(..)
                ) {
                    cluster.flight.push(flight);
                }
            }
        }
        Step::Edit(n, choice) => {
            if let Some(edit) = edit(cluster, n % INSTANCES, choice) {
                edits.push(edit.clone());
                cluster.ask(n % INSTANCES, Ask::Edit(edit));
            }
        }
        Step::Resend(n, i) => {
            if let Some(place) = pick(n, edits.len()) {
                let edit = edits[place].clone();
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
        Step::Cut(n) => drop(cluster.cut.insert(id(["a", "b", "c"][n % 3]))),
        Step::Heal => cluster.cut.clear(),
        Step::Outage(outage) => cluster.outage = outage,
        Step::Heartbeat => cluster.heartbeat(),
        Step::Tick(millis) => cluster.tick(u64::from(millis)),
    }
}

/// Checks each answer against the changes that the table has.
fn check_answers(cluster: &Cluster) {
    for (request, told) in &cluster.told {
        let operation = cluster.asked[request];
        let made = cluster
            .table
            .operations
            .iter()
            .filter(|made| **made == operation)
            .count();
        assert!(made <= 1, "{operation} took effect {made} times");
        match told {
            Report::Accepted { revision, .. } => {
                let at = cluster.table.operations[revision.0 as usize - 1];
                assert_eq!(at, operation, "told a revision that is another's");
            }
            Report::Refused(_) => assert_eq!(made, 0, "told refused, and took effect: {told:?}"),
            _ => {}
        }
    }
}

fn orders(steps: Vec<Step>) -> bool {
    let mut cluster = Cluster::with(INSTANCES, &[sample::COMPUTE]);
    let mut edits = Vec::new();
    for next in &steps {
        step(&mut cluster, &mut edits, next);
        check_answers(&cluster);
    }
    cluster.outage = false;
    cluster.cut.clear();
    for i in 0..INSTANCES {
        if cluster.nodes[i].config.is_none() {
            cluster.start(i);
        }
    }
    cluster.settle(16_000);
    check_answers(&cluster);
    let head = cluster.table.head() as u64;
    assert_eq!(
        cluster.revisions(),
        [head; INSTANCES],
        "not in force everywhere"
    );
    let last = &cluster.table.history[head as usize];
    let force = |i| cluster.config(i).records().len() == last.len();
    (0..INSTANCES).all(force)
}

#[test]
fn in_any_order_of_events_what_is_accepted_stays_in_force() {
    // Operators race each other on five instances of three data centres while messages, answers, instances, data
    // centres and the table come and go. After each event the harness compares what every instance applies with what
    // the table had at that revision, and every answer with what took effect; at the end all apply the newest.
    let tests = std::env::var("ORDERS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200);
    let orders: fn(Vec<Step>) -> bool = orders;
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(tests)
        .quickcheck(orders);
}

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

use crate::prelude::*;
