//! Tests of loads of the whole configuration: they are consistent, and never replace a newer revision.

/// Removes the first wanted message in transit and returns it.
pub(crate) fn take_message(cluster: &mut Cluster, wanted: impl Fn(&Message) -> bool) -> Message {
    let index = cluster.messages.iter().position(wanted);
    cluster
        .messages
        .remove(index.expect("the message is in transit"))
}

/// Lets an instance commit a change, and returns its announcements instead of delivering them.
pub(crate) fn commit_unannounced(cluster: &mut Cluster, i: usize, act: Act) -> Vec<Message> {
    let mut calls = Vec::new();
    let edit = cluster.edit(act);
    cluster.ask(i, Ask::Edit(edit));
    while let Some(message) = cluster.messages.pop() {
        match message {
            Message::Call(..) => calls.push(message),
            message => cluster.deliver(message),
        }
    }
    calls
}

/// A change is accepted between the read of the head and that of the records. Without a replay of changes, the instance
/// would apply records of two revisions as the older one.
#[test]
fn a_load_includes_changes_made_while_it_runs() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    cluster.stop(1);
    cluster.start(1);
    let head = take_message(&mut cluster, |message| {
        matches!(message, Message::Command(1, ..))
    });
    cluster.deliver(head);
    let head = take_message(&mut cluster, |message| {
        matches!(message, Message::Completion(1, ..))
    });
    cluster.deliver(head);
    let scan = take_message(&mut cluster, |message| {
        matches!(message, Message::Command(1, ..))
    });
    cluster.change(0, amend("pool/spare", 2, CLOSED));
    cluster.deliver(scan);
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [3, 3]);
}

/// Announcements with newer changes arrive during a load whose last response is delayed. The load then has the older
/// revision; if it were applied, it would revert an accepted change.
#[test]
fn a_late_load_reverts_nothing() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    let mut missed = commit_unannounced(&mut cluster, 0, amend("pool/spare", 2, CLOSED));
    cluster.stop(0);
    cluster.start(0);
    cluster.deliver_all();
    let change_key = row::change_key(Revision(3));
    let row = cluster.table.rows.remove(&change_key).unwrap();
    cluster.heartbeat();
    let mut last = None;
    while let Some(message) = cluster.messages.pop() {
        let is_read = matches!(&message, Message::Command(1, _, _, Command::Read(_)));
        cluster.deliver(message);
        if is_read && cluster.config(1).stats().scans > 1 {
            last = cluster.messages.pop();
        }
    }
    cluster.table.rows.insert(change_key, row);
    missed.extend(commit_unannounced(
        &mut cluster,
        0,
        amend("pool/spare", 3, OPEN),
    ));
    missed
        .into_iter()
        .for_each(|message| cluster.deliver(message));
    assert_eq!(cluster.config(1).revision(), Revision(4));
    cluster.deliver(last.expect("a load is in progress"));
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [4, 4]);
}

/// A peer applies a change between two pages of its snapshot. Pages of different revisions together would be a
/// configuration that was never in force.
#[test]
fn a_snapshot_has_no_pages_of_different_revisions() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE]);
    for i in 0..8 {
        let text = sample::COMPUTE.replace("compute", &format!("p{i}")) + &" ".repeat(12_000);
        cluster.change(0, submit(&text));
    }
    let announced = commit_unannounced(&mut cluster, 0, submit(OPEN));
    cluster.outage = true;
    cluster.partitioned.insert(id("a"));
    cluster.nodes[0].centre = id("b");
    cluster.stop(0);
    cluster.start(0);
    cluster.deliver_all();
    cluster.partitioned.clear();
    cluster.heartbeat();
    cluster.tick(300);
    let page = take_message(&mut cluster, |message| {
        matches!(message, Message::Call(0, ..))
    });
    cluster.deliver(page);
    announced
        .into_iter()
        .for_each(|message| cluster.deliver(message));
    cluster.run_for(2_000);
    assert_eq!(cluster.revisions(), [10, 10]);
}

#[test]
fn a_start_reads_the_records_and_not_their_history() {
    // If a start replayed all changes, it would take longer with each one ever made.
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    for i in 0..100 {
        let text = if i % 2 == 0 { CLOSED } else { OPEN };
        cluster.change(0, amend("pool/spare", i + 2, text));
    }
    cluster.stop(1);
    cluster.start(1);
    cluster.deliver_all();
    let count = cluster.config(1).stats();
    assert_eq!(cluster.config(1).revision(), Revision(102));
    let cost = (count.reads - count.polls, count.scans, count.fetches);
    assert_eq!(cost, (2, 1, 0));
}

/// An instance misses more changes than its peers and the table keep. It must load the records, since the next change
/// in order never arrives.
#[test]
fn records_are_loaded_when_peers_no_longer_have_the_changes() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    cluster.partitioned.insert(id("b"));
    for i in 0..1_030 {
        let text = if i % 2 == 0 { CLOSED } else { OPEN };
        commit_unannounced(&mut cluster, 0, amend("pool/spare", i + 2, text));
    }
    cluster
        .table
        .rows
        .retain(|key, _| !key.starts_with(row::CHANGE_PREFIX));
    cluster.partitioned.clear();
    cluster.run_for(3_000);
    assert_eq!(cluster.revisions(), [1_032, 1_032]);
}

/// Without removal, the rows of changes would grow without bound. Each change removes the oldest row in the same
/// transaction, and an instance can start without it.
#[test]
fn the_table_keeps_a_bounded_number_of_changes() {
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE, OPEN]);
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
    cluster.run_for(3_000);
    assert_eq!(cluster.revisions(), [row::KEPT_CHANGES + 12]);
}

/// An instance without peers finds that the head has a revision whose change is no longer in the table. It must load
/// the records.
#[test]
fn records_are_loaded_when_the_table_no_longer_has_the_changes() {
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE]);
    write_to_table(&mut cluster, "pool/spare", OPEN);
    cluster
        .table
        .rows
        .retain(|key, _| !key.starts_with(row::CHANGE_PREFIX));
    cluster.run_for(5_000);
    assert_eq!(cluster.revisions(), [2]);
}

use crate::prelude::*;

/// If an instance skipped a record's unreadable row at start, the record would be withdrawn there. It must stay
/// unready.
#[test]
fn a_row_that_cannot_be_read_withdraws_nothing() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    let row = cluster
        .table
        .rows
        .get_mut("config/record/pool/spare")
        .unwrap();
    row.1 = "?".to_owned();
    cluster.stop(1);
    cluster.start(1);
    cluster.deliver_all();
    assert!(!cluster.config(1).is_ready());
    cluster.run_for(1_000);
    assert_eq!(cluster.revisions(), [2, 2]);
}
