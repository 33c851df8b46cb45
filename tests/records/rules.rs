//! Checks across records: references, workers, capacity, schemas side by side.

/// Lists the faults for which a change was refused.
pub(crate) fn faults(told: Report) -> Vec<(String, Code)> {
    match told {
        Report::Refused(Refusal::Faulty { faults }) => faults
            .into_iter()
            .map(|fault| (fault.path, fault.code))
            .collect(),
        told => panic!("not refused: {told:?}"),
    }
}

fn one(path: &str, code: Code) -> Vec<(String, Code)> {
    vec![(path.to_owned(), code)]
}

#[test]
fn references_to_nothing_are_refused() {
    let mut cluster = Cluster::with(1, &[sample::COMPUTE]);
    let told = cluster.change(0, submit(sample::MATCHING));
    assert_eq!(faults(told), one("pools[1]", Code::Reference));
    let told = cluster.change(0, submit(sample::RULE));
    assert_eq!(faults(told), one("service", Code::Reference));
}

#[test]
fn what_is_referred_to_stays() {
    let mut cluster = Cluster::with(1, sample::ALL);
    let told = cluster.change(0, withdraw("pool/spare", 2));
    assert_eq!(faults(told), one("", Code::Referred));
    let told = cluster.change(0, withdraw("service/matching", 4));
    assert_eq!(faults(told), one("", Code::Referred));
    assert!(matches!(
        cluster.change(0, withdraw("rule/home", 5)),
        Report::Accepted { .. }
    ));
    assert!(matches!(
        cluster.change(0, withdraw("service/matching", 4)),
        Report::Accepted { .. }
    ));
    assert!(matches!(
        cluster.change(0, withdraw("pool/spare", 2)),
        Report::Accepted { .. }
    ));
}

#[test]
fn a_rule_that_no_worker_can_satisfy_is_refused() {
    let mut cluster = Cluster::with(1, &[sample::COMPUTE, sample::NOTEBOOK]);
    let rule = |centre| {
        format!(
            r#"{{"schema":1,"kind":"rule","name":"r","service":"notebook","centre":"{centre}"}}"#
        )
    };
    let told = cluster.change(0, submit(&rule("atlantis")));
    assert_eq!(faults(told), one("centre", Code::Reference));
    cluster.workers.retain(|worker| worker.centre != id("c"));
    cluster.workers.push(worker("other", "c", "other", 8));
    cluster.stop(0);
    cluster.start(0);
    cluster.settle(500);
    let told = cluster.change(0, submit(&rule("c")));
    assert_eq!(faults(told), one("centre", Code::Unsatisfiable));
    let large = r#"{"schema":2,"kind":"pool","name":"compute","least":{"cores":65}}"#;
    let told = cluster.change(0, amend("pool/compute", 1, large));
    assert_eq!(faults(told), one("least", Code::Unsatisfiable));
}

#[test]
fn a_service_in_use_keeps_its_capacity() {
    // The operator closes the only pool of a service by mistake: every run of it would then be refused. The set as it
    // would be is compared with the one in force, per data centre, and the change is refused before it is written.
    let mut cluster = Cluster::with(1, sample::ALL);
    let closed = r#"{"schema":1,"kind":"pool","name":"compute","open":false}"#;
    let told = cluster.change(0, amend("pool/compute", 1, closed));
    let codes: Vec<Code> = faults(told).into_iter().map(|fault| fault.1).collect();
    assert!(codes.contains(&Code::Capacity), "{codes:?}");
    assert_eq!(cluster.config(0).revision(), Revision(5));
}

#[test]
fn a_cut_to_less_than_half_has_to_be_confirmed() {
    let mut cluster = Cluster::with(1, &[sample::COMPUTE, sample::NOTEBOOK]);
    let rule = r#"{"schema":1,"kind":"rule","name":"r","service":"notebook","spill":false}"#;
    let told = cluster.change(0, submit(rule));
    assert!(faults(told).iter().all(|fault| fault.1 == Code::Halved));
    let mut edit = cluster.edit(submit(rule));
    edit.confirmed = true;
    let told = cluster.answer(0, Ask::Edit(edit));
    assert!(matches!(told, Report::Accepted { .. }), "{told:?}");
}

#[test]
fn a_second_rule_for_a_service_is_refused() {
    let mut cluster = Cluster::with(1, sample::ALL);
    let told = cluster.change(0, submit(&sample::RULE.replace("home", "abroad")));
    assert_eq!(faults(told), one("service", Code::Twice));
}

#[test]
fn an_older_schema_may_not_lose_what_the_newer_one_says() {
    // An operator with last year's template amends a record that has since been written in schema 2: the order of its
    // pools, its class and its lease would vanish without a word. Each of them is named, and nothing changes.
    let mut cluster = Cluster::with(1, sample::ALL);
    let old = r#"{"schema":1,"kind":"service","name":"matching","pool":"compute","deadline":2}"#;
    let lost = faults(cluster.change(0, amend("service/matching", 4, old)));
    let paths: Vec<&str> = lost.iter().map(|fault| fault.0.as_str()).collect();
    assert_eq!(paths, ["pools", "class", "lease_ms", "deadline_ms"]);
    assert!(lost.iter().all(|fault| fault.1 == Code::Lost));
    // Where nothing would be lost, either schema may follow on the other.
    let new = r#"{"schema":2,"kind":"service","name":"notebook","pools":["compute"],"deadline_ms":20000}"#;
    assert!(matches!(
        cluster.change(0, amend("service/notebook", 3, new)),
        Report::Accepted { .. }
    ));
    let told = cluster.change(0, amend("service/notebook", 6, sample::NOTEBOOK));
    assert!(matches!(told, Report::Accepted { .. }), "{told:?}");
}

#[test]
fn both_schemas_are_in_force_side_by_side_and_as_written() {
    let cluster = Cluster::with(3, sample::ALL);
    for i in 0..3 {
        let config = cluster.config(i);
        let notebook = config.route(&id("notebook")).unwrap();
        assert_eq!(notebook.deadline, Span::seconds(10));
        let matching = config.route(&id("matching")).unwrap();
        assert_eq!(matching.pools, [id("compute"), id("spare")]);
        assert_eq!(matching.revision, Revision(5));
        let texts: Vec<&str> = config
            .records()
            .iter()
            .map(|(_, e)| e.record.text.as_str())
            .collect();
        assert!(sample::ALL.iter().all(|text| texts.contains(text)));
    }
    assert_eq!(
        cluster.config(0).route(&id("nothing")),
        Err(Error::UnknownService)
    );
}

#[test]
fn a_record_of_an_unknown_schema_stays_untouched() {
    // A newer instance accepts records in schema 3; this one hears of them, and an operator tries to change them here.
    // It must not guess: it keeps and passes them on, declines the work that they govern, and refuses to touch them.
    let mut cluster = Cluster::with(2, &[sample::COMPUTE, sample::SPARE, sample::NOTEBOOK]);
    let newer = [
        (
            "service/future",
            r#"{"schema":3,"kind":"service","name":"future","shape":{"of":["spare"]}}"#,
        ),
        (
            "rule/odd",
            r#"{"schema":3,"kind":"rule","name":"odd","service":"notebook","hue":1}"#,
        ),
    ];
    for (name, text) in newer {
        plant(&mut cluster, name, text);
    }
    cluster.settle(10_000);
    assert_eq!(cluster.revisions(), [5, 5]);
    let route = |name: &str| cluster.config(1).route(&id(name));
    assert_eq!(route("future"), Err(Error::UnknownSchema));
    assert_eq!(route("notebook"), Err(Error::UnknownSchema));
    let text =
        r#"{"schema":2,"kind":"service","name":"future","pools":["compute"],"deadline_ms":5}"#;
    let told = cluster.change(1, amend("service/future", 4, text));
    assert_eq!(faults(told), one("schema", Code::Schema));
    let told = cluster.change(1, withdraw("service/future", 4));
    assert_eq!(faults(told), one("schema", Code::Schema));
    let told = cluster.change(1, withdraw("pool/spare", 2));
    assert_eq!(faults(told), one("", Code::Referred));
    // A fresh instance that only has a peer to learn from gets them as they were written.
    cluster.outage = true;
    cluster.stop(0);
    cluster.start(0);
    cluster.settle(2_000);
    let entry = cluster
        .config(0)
        .records()
        .get(&newer[0].0.parse().unwrap())
        .unwrap();
    assert_eq!(
        (entry.record.text.as_str(), entry.revision),
        (newer[0].1, Revision(4))
    );
}

use crate::prelude::*;
