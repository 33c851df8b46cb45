//! Tests of changes: races, lost answers, resubmissions, refusals, and the audit trail.

const LONGER_DEADLINE: &str =
    r#"{"schema":2,"kind":"service","name":"notebook","pools":["compute"],"deadline_ms":20000}"#;
const SHORTER_DEADLINE: &str =
    r#"{"schema":1,"kind":"service","name":"notebook","pool":"compute","deadline":5}"#;

fn cluster(instances: usize) -> Cluster {
    Cluster::with_records(instances, &[sample::COMPUTE, sample::NOTEBOOK])
}

/// Removes the first commit in transit and returns it.
fn take_commit(cluster: &mut Cluster) -> (usize, u64, u64, Command) {
    let is_commit =
        |message: &Message| matches!(message, Message::Command(_, _, _, Command::Commit(_)));
    let index = cluster
        .messages
        .iter()
        .position(is_commit)
        .expect("a commit is in transit");
    match cluster.messages.remove(index) {
        Message::Command(i, epoch, ticket, command) => (i, epoch, ticket, command),
        other => panic!("{other:?}"),
    }
}

fn is_accepted(report: &Report, expected: u64) -> bool {
    matches!(report, Report::Accepted { revision, .. } if revision.0 == expected)
}

/// Without the condition on the head's version, the second of two concurrent changes would silently replace the first.
/// The second operator gets a conflict with the fields that differ.
#[test]
fn of_two_amendments_of_one_revision_one_is_accepted() {
    let mut cluster = cluster(2);
    let first = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    let second = cluster.edit(amend("service/notebook", 2, LONGER_DEADLINE));
    let first = cluster.ask(0, Ask::Edit(first));
    let second = cluster.ask(1, Ask::Edit(second));
    cluster.deliver_all();
    cluster.run_for(1_000);
    assert!(
        is_accepted(&cluster.reports[&first], 3),
        "{:?}",
        cluster.reports[&first]
    );
    let Report::Refused(Refusal::Conflict {
        current,
        differences,
        ..
    }) = &cluster.reports[&second]
    else {
        panic!("{:?}", cluster.reports[&second]);
    };
    assert_eq!(current.0, 3);
    assert!(differences
        .iter()
        .any(|d| d.path == "deadline" && d.asked.is_none()));
    assert_eq!(cluster.reports[&second].status(), 409);
}

#[test]
fn changes_to_different_records_are_both_accepted() {
    // Both commits are based on the same head. A conflict over different records would refuse a valid change.
    let mut cluster = cluster(2);
    let first = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    let second = cluster.edit(submit(sample::SPARE));
    let first = cluster.ask(0, Ask::Edit(first));
    let second = cluster.ask(1, Ask::Edit(second));
    cluster.deliver_all();
    cluster.run_for(1_000);
    assert!(is_accepted(&cluster.reports[&first], 3) && is_accepted(&cluster.reports[&second], 4));
}

/// The commit is applied and its response is lost: a report of failure would make the operator repeat the change. The
/// instance retries the group, which fails on the operation's row, and that row has the result.
#[test]
fn a_lost_answer_to_a_commit_is_recovered() {
    let mut cluster = cluster(3);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    let request = cluster.ask(0, Ask::Edit(edit));
    let (i, _, ticket, command) = take_commit(&mut cluster);
    cluster.table.execute(&command);
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    assert!(!cluster.reports.contains_key(&request));
    // The other instances learn of the change from its announcement, without a heartbeat or a poll.
    for _ in 0..3 {
        cluster.tick(100);
        cluster.deliver_all();
    }
    assert!(is_accepted(&cluster.reports[&request], 3));
    assert_eq!(cluster.table.head(), 3);
    assert_eq!(cluster.revisions(), [3, 3, 3]);
}

/// The commit is delayed and its retry is applied first. When the delayed one arrives, it must not make a second
/// revision.
#[test]
fn a_late_commit_is_not_applied_twice() {
    let mut cluster = cluster(2);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    let request = cluster.ask(0, Ask::Edit(edit));
    let (i, _, ticket, late) = take_commit(&mut cluster);
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    cluster.run_for(1_000);
    assert!(is_accepted(&cluster.reports[&request], 3));
    let Completion::Verdict(verdict) = cluster.table.execute(&late) else {
        panic!("a commit returned no verdict");
    };
    assert!(!verdict.applied);
    assert_eq!(cluster.table.head(), 3);
}

/// While the result of a commit is unknown, a report of acceptance or refusal could be false. A retry of the operation
/// at another instance after the outage returns the result.
#[test]
fn a_lost_answer_in_an_outage_is_unknown_until_a_retry() {
    let mut cluster = cluster(2);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    let request = cluster.ask(0, Ask::Edit(edit.clone()));
    let (i, _, ticket, command) = take_commit(&mut cluster);
    cluster.table.execute(&command);
    cluster.outage = true;
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    cluster.run_for(6_000);
    assert_eq!(cluster.reports[&request], Report::Unknown);
    assert_eq!(cluster.reports[&request].status(), 504);
    cluster.outage = false;
    assert!(is_accepted(&cluster.request(1, Ask::Edit(edit)), 3));
    assert_eq!(cluster.table.head(), 3);
}

#[test]
fn nothing_takes_effect_while_the_table_refuses() {
    // A change that was reported as unavailable must not be committed after the outage.
    let mut cluster = cluster(1);
    cluster.outage = true;
    let report = cluster.change(0, amend("service/notebook", 2, SHORTER_DEADLINE));
    assert_eq!(report, Report::Unavailable);
    cluster.outage = false;
    cluster.run_for(10_000);
    assert_eq!(cluster.table.head(), 2);
}

/// A retry that arrives after later changes would be a conflict if it were validated again. The operation's row has the
/// first result.
#[test]
fn a_retried_operation_gets_the_same_answer_at_any_instance() {
    let mut cluster = cluster(3);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    assert!(is_accepted(&cluster.request(0, Ask::Edit(edit.clone())), 3));
    assert!(is_accepted(
        &cluster.change(1, amend("service/notebook", 3, LONGER_DEADLINE)),
        4
    ));
    assert!(is_accepted(&cluster.request(2, Ask::Edit(edit.clone())), 3));
    // A refusal is stored in the same way, although the change would be valid now.
    let early = cluster.edit(submit(sample::MATCHING));
    let report = cluster.request(0, Ask::Edit(early.clone()));
    refusal_faults(report.clone());
    assert!(is_accepted(&cluster.change(0, submit(sample::SPARE)), 5));
    assert_eq!(cluster.request(1, Ask::Edit(early)), report);
    // A different change with the same operation is rejected as reused.
    let mut other = cluster.edit(withdraw("service/notebook", 4));
    other.operation = edit.operation;
    assert!(matches!(
        cluster.request(1, Ask::Edit(other)),
        Report::Reused { .. }
    ));
    assert_eq!(cluster.table.head(), 5);
}

/// An instance that missed the announcement of a pool must not refuse a service that refers to it.
#[test]
fn a_lagging_instance_refuses_no_valid_change() {
    let mut cluster = cluster(2);
    commit_unannounced(&mut cluster, 0, submit(sample::SPARE));
    assert_eq!(cluster.revisions(), [3, 2]);
    assert!(is_accepted(&cluster.change(1, submit(sample::MATCHING)), 4));
}

#[test]
fn a_dry_run_writes_nothing() {
    // A dry run validates like a change, but must leave neither a record nor a stored result nor an audit entry.
    let mut cluster = cluster(1);
    let rows = cluster.table.rows.clone();
    for (act, status) in [
        (amend("service/notebook", 2, LONGER_DEADLINE), 200),
        (amend("service/notebook", 1, LONGER_DEADLINE), 409),
        (submit(sample::MATCHING), 422),
        (submit("{}"), 422),
        (withdraw("rule/none", 1), 404),
    ] {
        let mut edit = cluster.edit(act);
        edit.dry_run = true;
        let report = cluster.request(0, Ask::Edit(edit));
        assert!(matches!(report, Report::Trial { .. }));
        assert_eq!(report.status(), status);
    }
    assert_eq!(cluster.table.rows, rows);
}

#[test]
fn the_audit_trail_has_accepted_and_refused_changes() {
    // Refused changes belong to the trail too, also those whose text names no record.
    let mut cluster = cluster(1);
    cluster.run_for(1_000);
    let from = cluster.now.0 / 1_000;
    cluster.change(0, amend("service/notebook", 2, SHORTER_DEADLINE));
    cluster.run_for(1_000);
    cluster.change(0, amend("service/notebook", 2, LONGER_DEADLINE));
    cluster.change(
        0,
        submit(r#"{"schema":1,"kind":"service","name":"notebook"}"#),
    );
    cluster.change(0, submit("{"));
    cluster.run_for(1_000);
    let record: Name = "service/notebook".parse().unwrap();
    let mut read = |record, from_ms, to_ms| {
        let audit = Audit {
            record,
            from_ms,
            to_ms,
            after: None,
        };
        match cluster.request(0, Ask::Audit(audit)) {
            Report::Audit { entries, .. } => entries,
            report => panic!("{report:?}"),
        }
    };
    let of_record = read(Some(record.clone()), 0, None);
    let results: Vec<_> = of_record
        .iter()
        .map(|e| (e.revision.map(|r| r.0), e.refused.len()))
        .collect();
    assert_eq!(results, [(Some(2), 0), (Some(3), 0), (None, 1), (None, 2)]);
    assert_eq!(of_record[1].before.as_deref(), Some(sample::NOTEBOOK));
    assert_eq!(of_record[1].after.as_deref(), Some(SHORTER_DEADLINE));
    assert_eq!(of_record[1].from, "192.0.2.1:4000");
    assert_eq!(read(None, from, None).len(), 4);
    assert_eq!(read(None, from, Some(from)).len(), 1);
}

/// A renamed field would break the scripts that read reports, and the audit entries that an earlier version stored.
#[test]
fn reports_and_audit_entries_keep_their_names_in_json() {
    let mut cluster = cluster(1);
    cluster.change(0, amend("service/notebook", 2, SHORTER_DEADLINE));
    let mut body = |ask| -> serde_json::Value {
        serde_json::from_str(&cluster.request(0, ask).body()).unwrap()
    };
    let rollout = body(Ask::Rollout("service/notebook".parse().unwrap()));
    assert_eq!(rollout["answer"], "force");
    assert_eq!(rollout["instances"][0]["in_force"], true);
    let audit = body(Ask::Audit(Audit::default()));
    let entries = audit["entries"].as_array().unwrap();
    assert_eq!(entries.last().unwrap()["deed"], "amend");
}

#[test]
fn the_audit_trail_is_read_page_by_page() {
    // A trail longer than a page must be returned whole, without repeated entries.
    let mut cluster = cluster(1);
    for i in 0..103 {
        cluster.change(0, withdraw("pool/none", i));
    }
    let mut page = Audit {
        record: Some("pool/none".parse().unwrap()),
        ..Audit::default()
    };
    let mut sizes = Vec::new();
    loop {
        let Report::Audit { entries, after } = cluster.request(0, Ask::Audit(page.clone())) else {
            panic!("the report is no page of the audit trail");
        };
        sizes.push(entries.len());
        page.after = after;
        if page.after.is_none() {
            break;
        }
    }
    assert_eq!(sizes, [100, 3]);
}

#[test]
fn the_queue_of_changes_is_bounded() {
    // Without the bound, changes that arrive faster than they are committed would exhaust the memory.
    let mut cluster = cluster(1);
    let requests: Vec<u64> = (0..40)
        .map(|i| {
            let edit = cluster.edit(submit(
                &sample::COMPUTE.replace("compute", &format!("p{i}")),
            ));
            cluster.ask(0, Ask::Edit(edit))
        })
        .collect();
    let busy = requests
        .iter()
        .filter(|request| cluster.reports.get(request) == Some(&Report::Busy));
    assert_eq!(busy.count(), 8);
    cluster.deliver_all();
    assert_eq!(cluster.table.head(), 34);
}

#[test]
fn a_change_costs_one_transaction_and_one_message_for_each_instance() {
    // The cost of a change must not grow beyond one commit and one message for each peer.
    let mut cluster = cluster(7);
    cluster.run_for(1_000);
    let sum_stats = |cluster: &Cluster| {
        let counts = (0..7).map(|i| cluster.config(i).stats());
        counts.fold((0, 0, 0, 0), |sum, count| {
            (
                sum.0 + count.commits,
                sum.1 + count.writes,
                sum.2 + count.reads - count.polls + count.scans,
                sum.3 + count.announcements + count.fetches,
            )
        })
    };
    let before = sum_stats(&cluster);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER_DEADLINE));
    cluster.ask(0, Ask::Edit(edit));
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [3; 7]);
    let after = sum_stats(&cluster);
    let cost = (
        after.0 - before.0,
        after.1 - before.1,
        after.2 - before.2,
        after.3 - before.3,
    );
    assert_eq!(cost, (1, 6, 0, 6));
    assert!(cluster.table.row(&row::change_key(Revision(3))).is_some());
}

use crate::prelude::*;
