//! Loads of the whole configuration: consistent, and never in place of something newer.

/// Takes the first message of a sort out of flight.
pub(crate) fn take(cluster: &mut Cluster, wanted: impl Fn(&Flight) -> bool) -> Flight {
    let place = cluster.flight.iter().position(wanted);
    cluster.flight.remove(place.expect("it is on its way"))
}

/// Lets an instance commit a change, and returns the announcements of it undelivered.
pub(crate) fn announce(cluster: &mut Cluster, i: usize, act: Act) -> Vec<Flight> {
    let mut calls = Vec::new();
    let edit = cluster.edit(act);
    cluster.ask(i, Ask::Edit(edit));
    while let Some(flight) = cluster.flight.pop() {
        match flight {
            Flight::Call(..) => calls.push(flight),
            flight => cluster.deliver(flight),
        }
    }
    calls
}

#[test]
fn a_load_takes_in_what_changes_while_it_runs() {
    // An instance starts and reads the records page by page; between the head and the pages an operator's changes are
    // accepted. Without the replay it would apply a mixture of two configurations and call it the older one.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    cluster.stop(1);
    cluster.start(1);
    let head = take(&mut cluster, |f| matches!(f, Flight::Operate(1, ..)));
    cluster.deliver(head);
    let head = take(&mut cluster, |f| matches!(f, Flight::Result(1, ..)));
    cluster.deliver(head);
    let scan = take(&mut cluster, |f| matches!(f, Flight::Operate(1, ..)));
    cluster.change(0, amend("pool/spare", 2, CLOSED));
    cluster.deliver(scan);
    cluster.run();
    assert_eq!(cluster.revisions(), [3, 3]);
}

#[test]
fn a_load_that_ends_late_reverts_nothing() {
    // An instance misses changes that nobody holds one by one any more, and loads the records. The last answer of the
    // load hangs while the announcements that it missed arrive after all, and a newer one with them. The load that
    // ends then is the older one; put in force, it would take an accepted record out of force again.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    let mut missed = announce(&mut cluster, 0, amend("pool/spare", 2, CLOSED));
    cluster.stop(0);
    cluster.start(0);
    cluster.run();
    let changes = row::change_key(Revision(3));
    let kept = cluster.table.rows.remove(&changes).unwrap();
    cluster.heartbeat();
    let mut last = None;
    while let Some(flight) = cluster.flight.pop() {
        let read = matches!(&flight, Flight::Operate(1, _, _, Command::Read(_)));
        cluster.deliver(flight);
        if read && cluster.config(1).stats().scans > 1 {
            last = cluster.flight.pop();
        }
    }
    cluster.table.rows.insert(changes, kept);
    missed.extend(announce(&mut cluster, 0, amend("pool/spare", 3, OPEN)));
    missed
        .into_iter()
        .for_each(|flight| cluster.deliver(flight));
    assert_eq!(cluster.config(1).revision(), Revision(4));
    cluster.deliver(last.expect("a load is under way"));
    cluster.run();
    assert_eq!(cluster.revisions(), [4, 4]);
}

#[test]
fn pages_of_two_revisions_make_no_snapshot() {
    // An instance starts in an outage and gets a snapshot from a peer in several pages; between two of them the peer
    // applies a change to a record of the last page. The pages together would be a configuration that never was.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE]);
    for i in 0..8 {
        let text = sample::COMPUTE.replace("compute", &format!("p{i}")) + &" ".repeat(12_000);
        cluster.change(0, submit(&text));
    }
    let announced = announce(&mut cluster, 0, submit(OPEN));
    cluster.outage = true;
    cluster.cut.insert(id("a"));
    cluster.nodes[0].centre = id("b");
    cluster.stop(0);
    cluster.start(0);
    cluster.run();
    cluster.cut.clear();
    cluster.heartbeat();
    cluster.tick(300);
    let page = take(&mut cluster, |f| matches!(f, Flight::Call(0, ..)));
    cluster.deliver(page);
    announced
        .into_iter()
        .for_each(|flight| cluster.deliver(flight));
    cluster.settle(2_000);
    assert_eq!(cluster.revisions(), [10, 10]);
}

#[test]
fn a_start_reads_the_records_and_not_their_history() {
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    for i in 0..100 {
        let text = if i % 2 == 0 { CLOSED } else { OPEN };
        cluster.change(0, amend("pool/spare", i + 2, text));
    }
    cluster.stop(1);
    cluster.start(1);
    cluster.run();
    let count = cluster.config(1).stats();
    assert_eq!(cluster.config(1).revision(), Revision(102));
    let cost = (count.reads - count.polls, count.scans, count.fetches);
    assert_eq!(cost, (2, 1, 0));
}

#[test]
fn changes_that_a_peer_no_longer_holds_are_loaded_whole() {
    // An instance is cut off while more changes come than its peers keep, and while the table's rows of them are gone.
    // Waiting for the next one in order it would never get on; it loads the records instead.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    cluster.cut.insert(id("b"));
    for i in 0..1_030 {
        let text = if i % 2 == 0 { CLOSED } else { OPEN };
        announce(&mut cluster, 0, amend("pool/spare", i + 2, text));
    }
    cluster
        .table
        .rows
        .retain(|key, _| !key.starts_with(row::CHANGE_PREFIX));
    cluster.cut.clear();
    cluster.settle(3_000);
    assert_eq!(cluster.revisions(), [1_032, 1_032]);
}

#[test]
fn the_table_keeps_a_bounded_number_of_changes() {
    // Operators amend a record for years. Each change takes the row of the oldest one out, in the same transaction; an
    // instance that starts then doesn't need it, and applies the newest revision.
    let mut cluster = Cluster::with(1, &[sample::COMPUTE, OPEN]);
    for i in 0..row::KEPT_CHANGES + 10 {
        let text = if i % 2 == 0 { CLOSED } else { OPEN };
        cluster.change(0, amend("pool/spare", i + 2, text));
    }
    let changes = cluster.table.rows.keys();
    let changes = changes
        .filter(|key| key.starts_with(row::CHANGE_PREFIX))
        .count();
    assert_eq!(changes as u64, row::KEPT_CHANGES);
    cluster.stop(0);
    cluster.start(0);
    cluster.settle(3_000);
    assert_eq!(cluster.revisions(), [row::KEPT_CHANGES + 12]);
}

#[test]
fn changes_that_the_table_no_longer_holds_are_loaded_whole() {
    // The same with nobody to ask but the table: its head tells of a revision whose change is not there any more.
    let mut cluster = Cluster::with(1, &[sample::COMPUTE]);
    plant(&mut cluster, "pool/spare", OPEN);
    cluster
        .table
        .rows
        .retain(|key, _| !key.starts_with(row::CHANGE_PREFIX));
    cluster.settle(5_000);
    assert_eq!(cluster.revisions(), [2]);
}

use crate::prelude::*;

#[test]
fn a_row_that_cannot_be_read_withdraws_nothing() {
    // A record's row is damaged, or written in a way that this version can't read. An instance that starts must not
    // apply the records without it: the service would be gone there. It isn't ready, and its peer goes on.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, OPEN]);
    let row = cluster
        .table
        .rows
        .get_mut("config/record/pool/spare")
        .unwrap();
    row.1 = "?".to_owned();
    cluster.stop(1);
    cluster.start(1);
    cluster.run();
    assert!(!cluster.config(1).is_ready());
    cluster.settle(1_000);
    assert_eq!(cluster.revisions(), [2, 2]);
}
