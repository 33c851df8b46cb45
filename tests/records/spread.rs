//! In force everywhere, and staying so: announcements, polls, loads, restarts, cuts and outages.

pub(crate) const CLOSED: &str = r#"{"schema":1,"kind":"pool","name":"spare","open":false}"#;
pub(crate) const OPEN: &str = r#"{"schema":1,"kind":"pool","name":"spare"}"#;

/// Writes a record into the table as an instance of a newer version would.
pub(crate) fn plant(cluster: &mut Cluster, name: &str, text: &str) {
    let revision = Revision(cluster.table.head() as u64 + 1);
    let change = row::Change {
        revision,
        name: name.parse().unwrap(),
        text: Some(text.to_owned()),
        operator: id("newer"),
        operation: Operation(u128::MAX - u128::from(revision.0)),
        from: String::new(),
        at_ms: 0,
        before: None,
    };
    let stored = row::Stored {
        name: change.name.clone(),
        revision,
        text: text.to_owned(),
    };
    let writes = vec![
        row::write(row::record_key(&change.name), &stored),
        row::write(row::change_key(revision), &change),
        row::write(row::HEAD_KEY.to_owned(), &row::Head { revision }),
    ];
    let conditions = Vec::new();
    cluster.table.commit(&Group { conditions, writes });
}

#[test]
fn a_poll_that_was_slow_reverts_nothing() {
    // An instance polls the head; the answer hangs in the network while two changes are accepted and announced. Then
    // it arrives with the older revision. Acted on, it would take the newer records out of force again.
    let mut cluster = Cluster::with(1, &[sample::COMPUTE, OPEN]);
    cluster.tick(2 * POLL.as_millis());
    let read = take(&mut cluster, |f| {
        matches!(f, Flight::Operate(_, _, _, Command::Read(_)))
    });
    let Flight::Operate(i, _, ticket, read) = read else {
        panic!("{read:?}");
    };
    let old = cluster.table.operate(&read);
    cluster.change(0, amend("pool/spare", 2, CLOSED));
    cluster.input(i, Input::Completed(ticket, old));
    cluster.run();
    assert_eq!(cluster.config(0).revision(), Revision(3));
}

#[test]
fn announcements_out_of_order_and_twice_revert_nothing() {
    // Two changes to one record are announced; the second arrives first, then the first, then both once more. The
    // operator sees the second in force, and never the first one again.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    let mut announced = announce(&mut cluster, 0, amend("pool/spare", 2, CLOSED));
    announced.extend(announce(&mut cluster, 0, amend("pool/spare", 3, OPEN)));
    assert_eq!(announced.len(), 2);
    for place in [1, 0, 1, 0] {
        cluster.deliver(announced[place].clone());
        cluster.run();
    }
    assert_eq!(cluster.revisions(), [4, 4]);
}

#[test]
fn a_lost_announcement_is_made_up_for_by_the_poll() {
    // The announcement to another data centre is lost and no heartbeat arrives either. The operator still sees the
    // record in force there within one poll, since one instance of each data centre looks at the head.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE]);
    cluster.settle(POLL.as_millis());
    announce(&mut cluster, 0, submit(OPEN));
    assert_eq!(cluster.revisions(), [2, 1]);
    cluster.tick(POLL.as_millis());
    cluster.run();
    assert_eq!(cluster.revisions(), [2, 2]);
}

#[test]
fn an_instance_that_hears_nothing_looks_for_itself() {
    // Of two instances in one data centre the elected one holds still without anyone's noticing: its heartbeats go on,
    // with the revision that it had. The other must not wait for it for good.
    let mut cluster = Cluster::with(4, &[sample::COMPUTE]);
    cluster.settle(20_000);
    // Nodes 0 and 3 share a data centre; whichever is elected, all that it asks of the table is lost.
    let polls = |i: usize| cluster.config(i).stats().polls;
    let silent = if polls(0) > polls(3) { 0 } else { 3 };
    plant(&mut cluster, "pool/spare", OPEN);
    for _ in 0..70 {
        cluster.tick(100);
        let lost = |f: &Flight| match f {
            Flight::Operate(i, ..) => *i == silent,
            flight => matches!(flight, Flight::Call(..)),
        };
        cluster.flight.retain(|flight| !lost(flight));
        cluster.run();
    }
    assert_eq!(cluster.config(3 - silent).revision(), Revision(2));
}

#[test]
fn one_instance_of_a_data_centre_polls() {
    let mut cluster = Cluster::with(6, &[sample::COMPUTE]);
    cluster.settle(1_000);
    let polls = |cluster: &Cluster| -> Vec<u64> {
        (0..6).map(|i| cluster.config(i).stats().polls).collect()
    };
    let before = polls(&cluster);
    cluster.settle(60_000);
    let counts: Vec<u64> = polls(&cluster)
        .iter()
        .zip(before)
        .map(|(a, b)| a - b)
        .collect();
    for pair in [[0, 3], [1, 4], [2, 5]] {
        let (a, b) = (counts[pair[0]], counts[pair[1]]);
        assert!(
            (29..=31).contains(&a.max(b)) && a.min(b) <= 11,
            "{counts:?}"
        );
    }
}

#[test]
fn where_the_first_instance_of_a_data_centre_is_lost_another_is_told() {
    // Data centre b is told through one of its instances, and that one has just died without anyone's noticing. Tried
    // once, b would wait for its next poll; the second of its instances is told instead.
    let mut cluster = Cluster::with(5, &[sample::COMPUTE]);
    cluster.settle(1_000);
    let calls = announce(&mut cluster, 0, submit(OPEN));
    let to = |flight: &Flight| match flight {
        Flight::Call(_, _, _, to, _) => *to,
        flight => panic!("{flight:?}"),
    };
    let first = calls.iter().map(to).find(|to| [1, 4].contains(to)).unwrap();
    cluster.stop(first);
    calls.into_iter().for_each(|flight| cluster.deliver(flight));
    cluster.run();
    assert_eq!(cluster.config(5 - first).revision(), Revision(2));
}

#[test]
fn an_outage_right_after_the_acceptance_holds_nothing_up() {
    // The change is committed and the table goes away before anyone else has read it. The operator was told that it is
    // accepted, so it has to reach every instance through the peers alone.
    let mut cluster = Cluster::with(7, &[sample::COMPUTE]);
    cluster.settle(1_000);
    let edit = cluster.edit(submit(OPEN));
    let request = cluster.ask(4, Ask::Edit(edit));
    while !cluster.told.contains_key(&request) {
        let flight = cluster.flight.remove(0);
        cluster.deliver(flight);
    }
    cluster.outage = true;
    cluster.run();
    assert_eq!(cluster.revisions(), [2; 7]);
}

#[test]
fn an_instance_that_starts_in_an_outage_learns_from_the_highest_peer() {
    // The table is down, one peer is behind, and an instance starts. With the older configuration, or none, it would
    // run jobs under records that were replaced; it takes the highest that a peer applies, and has none before.
    let mut cluster = Cluster::with(3, &[sample::COMPUTE]);
    cluster.stop(2);
    cluster.cut.insert(id("b"));
    let told = cluster.change(0, submit(OPEN));
    assert!(matches!(told, Report::Accepted { .. }));
    cluster.outage = true;
    cluster.cut.clear();
    cluster.flight.clear();
    cluster.start(2);
    cluster.tick(100);
    cluster.run();
    assert!(!cluster.config(2).is_ready());
    let told = cluster.answer(2, Ask::List(None));
    assert_eq!(told, Report::Unready);
    cluster.settle(1_000);
    assert!(cluster.config(2).is_ready());
    assert_eq!(cluster.revisions(), [2, 2, 2]);
}

#[test]
fn an_instance_alone_in_an_outage_is_not_ready() {
    let mut cluster = Cluster::new(1);
    cluster.outage = true;
    cluster.settle(5_000);
    assert!(!cluster.config(0).is_ready());
    cluster.outage = false;
    cluster.settle(2_000);
    assert!(cluster.config(0).is_ready());
}

#[test]
fn a_data_centre_that_was_cut_off_catches_up() {
    // One data centre loses the others and the table while more changes are accepted than peers keep at hand for one
    // message. When it is back it applies all of them, and nothing that it applied before comes back.
    let mut cluster = Cluster::with(6, &[sample::COMPUTE]);
    cluster.settle(1_000);
    cluster.cut.insert(id("c"));
    for i in 0..20 {
        let pad = " ".repeat(12_000);
        let text = sample::COMPUTE.replace("compute", &format!("p{i}")) + &pad;
        let edit = cluster.edit(submit(&text));
        cluster.ask(0, Ask::Edit(edit));
        cluster
            .flight
            .retain(|f| !matches!(f, Flight::Operate(2 | 5, ..)));
        cluster.run();
    }
    assert_eq!(cluster.revisions(), [21, 21, 1, 21, 21, 1]);
    cluster.outage = true;
    cluster.cut.clear();
    cluster.settle(3_000);
    assert_eq!(cluster.revisions(), [21; 6]);
}

#[test]
fn every_instance_is_restarted_in_turn() {
    let mut cluster = Cluster::with(5, sample::ALL);
    for i in 0..5 {
        cluster.stop(i);
        cluster.settle(500);
        cluster.change(
            (i + 1) % 5,
            submit(&sample::COMPUTE.replace("compute", &format!("p{i}"))),
        );
        cluster.start(i);
        cluster.settle(500);
        assert_eq!(cluster.revisions(), [6 + i as u64; 5]);
    }
}

#[test]
fn it_is_told_where_a_record_is_in_force() {
    let mut cluster = Cluster::with(3, &[sample::COMPUTE]);
    cluster.cut.insert(id("b"));
    cluster.heartbeat();
    let edit = cluster.edit(submit(OPEN));
    cluster.ask(0, Ask::Edit(edit));
    cluster
        .flight
        .retain(|f| !matches!(f, Flight::Operate(1, ..)));
    cluster.run();
    cluster.cut.clear();
    let force = |cluster: &mut Cluster| {
        cluster.heartbeat();
        let ask = Ask::Rollout("pool/spare".parse().unwrap());
        let request = cluster.ask(0, ask);
        match &cluster.told[&request] {
            Report::Rollout(force) => {
                let places = force
                    .instances
                    .iter()
                    .map(|p| (p.instance.to_string(), p.in_force));
                (force.everywhere, places.collect::<Vec<_>>())
            }
            told => panic!("{told:?}"),
        }
    };
    let place = |name: &str, in_force| (name.to_owned(), in_force);
    let places = vec![place("n0", true), place("n1", false), place("n2", true)];
    assert_eq!(force(&mut cluster), (false, places));
    cluster.run();
    assert!(force(&mut cluster).0);
}

#[test]
fn an_operation_whose_end_is_never_told_counts_as_lost() {
    let mut cluster = Cluster::new(1);
    cluster.flight.clear();
    cluster.tick(11_000);
    cluster.settle(1_000);
    assert!(cluster.config(0).is_ready());
}

#[test]
fn a_strange_return_changes_nothing() {
    let mut cluster = Cluster::with(2, &[sample::COMPUTE]);
    cluster.input(1, Input::Completed(9_999, Completion::Row(None)));
    cluster.input(1, Input::Returned(9_999, Err(())));
    cluster.flight.push(Flight::Call(
        0,
        0,
        0,
        1,
        Call::Fetch {
            after: Revision(77),
        },
    ));
    cluster.run();
    assert_eq!(cluster.revisions(), [1, 1]);
}

use crate::prelude::*;
