//! Changes: races, lost answers, resubmissions, refusals, the audit trail.

const LONGER: &str =
    r#"{"schema":2,"kind":"service","name":"notebook","pools":["compute"],"deadline_ms":20000}"#;
const SHORTER: &str =
    r#"{"schema":1,"kind":"service","name":"notebook","pool":"compute","deadline":5}"#;

fn cluster(instances: usize) -> Cluster {
    Cluster::with(instances, &[sample::COMPUTE, sample::NOTEBOOK])
}

/// Takes the commit of an instance out of flight.
fn commit(cluster: &mut Cluster) -> (usize, u64, u64, Command) {
    let commit = |f: &Flight| matches!(f, Flight::Operate(_, _, _, Command::Commit(_)));
    let place = cluster
        .flight
        .iter()
        .position(commit)
        .expect("a commit is on its way");
    match cluster.flight.remove(place) {
        Flight::Operate(i, epoch, ticket, operate) => (i, epoch, ticket, operate),
        other => panic!("{other:?}"),
    }
}

fn accepted(told: &Report, at: u64) -> bool {
    matches!(told, Report::Accepted { revision, .. } if revision.0 == at)
}

#[test]
fn of_two_operators_on_one_revision_one_is_accepted() {
    // Two operators amend the same revision at the same time on two instances, one in schema 1, one in schema 2. Both
    // instances find nothing wrong and commit; the head's version lets one commit through. The other operator sees a
    // conflict with the fields that differ, and not a change that has silently replaced the first one.
    let mut cluster = cluster(2);
    let first = cluster.edit(amend("service/notebook", 2, SHORTER));
    let second = cluster.edit(amend("service/notebook", 2, LONGER));
    let first = cluster.ask(0, Ask::Edit(first));
    let second = cluster.ask(1, Ask::Edit(second));
    cluster.run();
    cluster.settle(1_000);
    assert!(
        accepted(&cluster.told[&first], 3),
        "{:?}",
        cluster.told[&first]
    );
    let Report::Refused(Refusal::Conflict {
        current,
        differences,
        ..
    }) = &cluster.told[&second]
    else {
        panic!("{:?}", cluster.told[&second]);
    };
    assert_eq!(current.0, 3);
    assert!(differences
        .iter()
        .any(|d| d.path == "deadline" && d.asked.is_none()));
    assert_eq!(cluster.told[&second].status(), 409);
}

#[test]
fn changes_to_different_records_are_both_accepted() {
    let mut cluster = cluster(2);
    let first = cluster.edit(amend("service/notebook", 2, SHORTER));
    let second = cluster.edit(submit(sample::SPARE));
    let first = cluster.ask(0, Ask::Edit(first));
    let second = cluster.ask(1, Ask::Edit(second));
    cluster.run();
    cluster.settle(1_000);
    assert!(accepted(&cluster.told[&first], 3) && accepted(&cluster.told[&second], 4));
}

#[test]
fn a_lost_answer_to_a_commit_that_took_effect_is_settled() {
    // The table takes the change and its answer is lost; without a look the operator would hear that it failed, and do
    // it again. The same group goes out once more, fails on the operation's row, and that row tells what happened.
    let mut cluster = cluster(3);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER));
    let request = cluster.ask(0, Ask::Edit(edit));
    let (i, _, ticket, operate) = commit(&mut cluster);
    cluster.table.operate(&operate);
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    assert!(!cluster.told.contains_key(&request));
    // Neither a heartbeat nor a poll helps: the change that was settled is announced.
    for _ in 0..3 {
        cluster.tick(100);
        cluster.run();
    }
    assert!(accepted(&cluster.told[&request], 3));
    assert_eq!(cluster.table.head(), 3);
    assert_eq!(cluster.revisions(), [3, 3, 3]);
}

#[test]
fn a_commit_that_lands_late_is_accepted_once() {
    // The commit is still on its way when its answer counts as lost. The second copy takes effect first, and the
    // operator is told so; then the first copy arrives, and must not make another revision.
    let mut cluster = cluster(2);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER));
    let request = cluster.ask(0, Ask::Edit(edit));
    let (i, _, ticket, late) = commit(&mut cluster);
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    cluster.settle(1_000);
    assert!(accepted(&cluster.told[&request], 3));
    let Completion::Verdict(verdict) = cluster.table.operate(&late) else {
        panic!("it was a commit");
    };
    assert!(!verdict.applied);
    assert_eq!(cluster.table.head(), 3);
}

#[test]
fn a_lost_answer_during_an_outage_is_told_as_unknown_and_can_be_sent_again() {
    // The table goes away with the change half way. Until its end is known the operator may hear neither accepted nor
    // refused; the same operation sent again after the outage, at another instance, tells which it was.
    let mut cluster = cluster(2);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER));
    let request = cluster.ask(0, Ask::Edit(edit.clone()));
    let (i, _, ticket, operate) = commit(&mut cluster);
    cluster.table.operate(&operate);
    cluster.outage = true;
    cluster.input(i, Input::Completed(ticket, Completion::Unknown));
    cluster.settle(6_000);
    assert_eq!(cluster.told[&request], Report::Unknown);
    assert_eq!(cluster.told[&request].status(), 504);
    cluster.outage = false;
    assert!(accepted(&cluster.answer(1, Ask::Edit(edit)), 3));
    assert_eq!(cluster.table.head(), 3);
}

#[test]
fn nothing_takes_effect_while_the_table_refuses() {
    let mut cluster = cluster(1);
    cluster.outage = true;
    let told = cluster.change(0, amend("service/notebook", 2, SHORTER));
    assert_eq!(told, Report::Unavailable);
    cluster.outage = false;
    cluster.settle(10_000);
    assert_eq!(cluster.table.head(), 2);
}

#[test]
fn an_operation_sent_again_gets_the_same_answer_anywhere() {
    // The operator's tool times out and sends the operation again to another instance, when later changes have come
    // in. Judged anew it would be a conflict; the operation's row gives the answer that it had the first time.
    let mut cluster = cluster(3);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER));
    assert!(accepted(&cluster.answer(0, Ask::Edit(edit.clone())), 3));
    assert!(accepted(
        &cluster.change(1, amend("service/notebook", 3, LONGER)),
        4
    ));
    assert!(accepted(&cluster.answer(2, Ask::Edit(edit.clone())), 3));
    // A refusal is kept in the same way, although the change would be right by now.
    let early = cluster.edit(submit(sample::MATCHING));
    let told = cluster.answer(0, Ask::Edit(early.clone()));
    faults(told.clone());
    assert!(accepted(&cluster.change(0, submit(sample::SPARE)), 5));
    assert_eq!(cluster.answer(1, Ask::Edit(early)), told);
    // Another change under the same operation is neither.
    let mut other = cluster.edit(withdraw("service/notebook", 4));
    other.operation = edit.operation;
    assert!(matches!(
        cluster.answer(1, Ask::Edit(other)),
        Report::Reused { .. }
    ));
    assert_eq!(cluster.table.head(), 5);
}

#[test]
fn an_instance_that_lags_refuses_nothing_for_that() {
    // A pool has just been accepted elsewhere and the announcement is lost. A service that names it is sent to an
    // instance that hasn't heard of it; judged there and then it would be a reference to nothing.
    let mut cluster = cluster(2);
    announce(&mut cluster, 0, submit(sample::SPARE));
    assert_eq!(cluster.revisions(), [3, 2]);
    assert!(accepted(&cluster.change(1, submit(sample::MATCHING)), 4));
}

#[test]
fn a_dry_run_writes_nothing() {
    let mut cluster = cluster(1);
    let rows = cluster.table.rows.clone();
    for (act, status) in [
        (amend("service/notebook", 2, LONGER), 200),
        (amend("service/notebook", 1, LONGER), 409),
        (submit(sample::MATCHING), 422),
        (submit("{}"), 422),
        (withdraw("rule/none", 1), 404),
    ] {
        let mut edit = cluster.edit(act);
        edit.dry_run = true;
        let told = cluster.answer(0, Ask::Edit(edit));
        assert!(matches!(told, Report::Trial { .. }));
        assert_eq!(told.status(), status);
    }
    assert_eq!(cluster.table.rows, rows);
}

#[test]
fn the_audit_trail_tells_of_what_was_accepted_and_refused() {
    let mut cluster = cluster(1);
    cluster.settle(1_000);
    let since = cluster.now.0 / 1_000;
    cluster.change(0, amend("service/notebook", 2, SHORTER));
    cluster.settle(1_000);
    cluster.change(0, amend("service/notebook", 2, LONGER));
    cluster.change(
        0,
        submit(r#"{"schema":1,"kind":"service","name":"notebook"}"#),
    );
    cluster.change(0, submit("{"));
    cluster.settle(1_000);
    let record: Name = "service/notebook".parse().unwrap();
    let mut read = |record, from_ms, to_ms| {
        let audit = Audit {
            record,
            from_ms,
            to_ms,
            after: None,
        };
        match cluster.answer(0, Ask::Audit(audit)) {
            Report::Audit { entries, .. } => entries,
            told => panic!("{told:?}"),
        }
    };
    let of_record = read(Some(record.clone()), 0, None);
    let kinds: Vec<_> = of_record
        .iter()
        .map(|e| (e.revision.map(|r| r.0), e.refused.len()))
        .collect();
    assert_eq!(kinds, [(Some(2), 0), (Some(3), 0), (None, 1), (None, 2)]);
    assert_eq!(of_record[1].before.as_deref(), Some(sample::NOTEBOOK));
    assert_eq!(of_record[1].after.as_deref(), Some(SHORTER));
    assert_eq!(of_record[1].from, "192.0.2.1:4000");
    assert_eq!(read(None, since, None).len(), 4);
    assert_eq!(read(None, since, Some(since)).len(), 1);
}

/// Operators' scripts read the names in reports, and the entries of the audit trail outlive the version that wrote them.
#[test]
fn reports_and_audit_entries_keep_their_names_in_json() {
    let mut cluster = cluster(1);
    cluster.change(0, amend("service/notebook", 2, SHORTER));
    let mut body = |ask| -> serde_json::Value {
        serde_json::from_str(&cluster.answer(0, ask).body()).unwrap()
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
        let Report::Audit { entries, after } = cluster.answer(0, Ask::Audit(page.clone())) else {
            panic!("it is a page");
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
    let mut cluster = cluster(1);
    let asked: Vec<u64> = (0..40)
        .map(|i| {
            let edit = cluster.edit(submit(
                &sample::COMPUTE.replace("compute", &format!("p{i}")),
            ));
            cluster.ask(0, Ask::Edit(edit))
        })
        .collect();
    let busy = asked
        .iter()
        .filter(|request| cluster.told.get(request) == Some(&Report::Busy));
    assert_eq!(busy.count(), 8);
    cluster.run();
    assert_eq!(cluster.table.head(), 34);
}

#[test]
fn a_change_costs_one_transaction_and_one_message_for_each_instance() {
    let mut cluster = cluster(7);
    cluster.settle(1_000);
    let sum = |cluster: &Cluster| {
        let counts = (0..7).map(|i| cluster.config(i).stats());
        counts.fold((0, 0, 0, 0), |sum, count| {
            (
                sum.0 + count.commits,
                sum.1 + count.writes,
                sum.2 + count.reads - count.polls + count.scans,
                sum.3 + count.announces + count.fetches,
            )
        })
    };
    let before = sum(&cluster);
    let edit = cluster.edit(amend("service/notebook", 2, SHORTER));
    cluster.ask(0, Ask::Edit(edit));
    cluster.run();
    assert_eq!(cluster.revisions(), [3; 7]);
    let after = sum(&cluster);
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
