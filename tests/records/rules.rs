//! Tests of checks across records: references, workers, capacity, and records of both schemas.

/// Returns the faults of a refused change, by path and code.
pub(crate) fn refusal_faults(report: Report) -> Vec<(String, Code)> {
    match report {
        Report::Refused(Refusal::Faulty { faults }) => faults
            .into_iter()
            .map(|fault| (fault.path, fault.code))
            .collect(),
        report => panic!("the change was not refused for faults: {report:?}"),
    }
}

fn single_fault(path: &str, code: Code) -> Vec<(String, Code)> {
    vec![(path.to_owned(), code)]
}

#[test]
fn references_to_missing_records_are_refused() {
    // A service without its pool, or a rule without its service, would refuse or ignore jobs.
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE]);
    let report = cluster.change(0, submit(sample::MATCHING));
    assert_eq!(
        refusal_faults(report),
        single_fault("pools[1]", Code::Reference)
    );
    let report = cluster.change(0, submit(sample::RULE));
    assert_eq!(
        refusal_faults(report),
        single_fault("service", Code::Reference)
    );
}

#[test]
fn a_record_that_others_refer_to_cannot_be_withdrawn() {
    // A withdrawn record that others refer to would leave services without a route.
    let mut cluster = Cluster::with_records(1, sample::ALL);
    let report = cluster.change(0, withdraw("pool/spare", 2));
    assert_eq!(refusal_faults(report), single_fault("", Code::Referred));
    let report = cluster.change(0, withdraw("service/matching", 4));
    assert_eq!(refusal_faults(report), single_fault("", Code::Referred));
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
    // A data centre or hardware that no worker has would make every job of the service fail.
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE, sample::NOTEBOOK]);
    let rule = |centre| {
        format!(
            r#"{{"schema":1,"kind":"rule","name":"r","service":"notebook","centre":"{centre}"}}"#
        )
    };
    let report = cluster.change(0, submit(&rule("atlantis")));
    assert_eq!(
        refusal_faults(report),
        single_fault("centre", Code::Reference)
    );
    cluster.workers.retain(|worker| worker.centre != id("c"));
    cluster.workers.push(worker("other", "c", "other", 8));
    cluster.stop(0);
    cluster.start(0);
    cluster.run_for(500);
    let report = cluster.change(0, submit(&rule("c")));
    assert_eq!(
        refusal_faults(report),
        single_fault("centre", Code::Unsatisfiable)
    );
    let large = r#"{"schema":2,"kind":"pool","name":"compute","least":{"cores":65}}"#;
    let report = cluster.change(0, amend("pool/compute", 1, large));
    assert_eq!(
        refusal_faults(report),
        single_fault("least", Code::Unsatisfiable)
    );
}

/// If an operator could close the only pool of a service by mistake, all its jobs would be refused.
#[test]
fn a_service_in_use_keeps_its_capacity() {
    let mut cluster = Cluster::with_records(1, sample::ALL);
    let closed = r#"{"schema":1,"kind":"pool","name":"compute","open":false}"#;
    let report = cluster.change(0, amend("pool/compute", 1, closed));
    let codes: Vec<Code> = refusal_faults(report)
        .into_iter()
        .map(|fault| fault.1)
        .collect();
    assert!(codes.contains(&Code::Capacity), "{codes:?}");
    assert_eq!(cluster.config(0).revision(), Revision(5));
}

#[test]
fn a_reduction_to_less_than_half_must_be_confirmed() {
    // A mistake must not take most of a service's capacity away unnoticed.
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE, sample::NOTEBOOK]);
    let rule = r#"{"schema":1,"kind":"rule","name":"r","service":"notebook","spill":false}"#;
    let report = cluster.change(0, submit(rule));
    assert!(refusal_faults(report)
        .iter()
        .all(|fault| fault.1 == Code::Halved));
    let mut edit = cluster.edit(submit(rule));
    edit.confirmed = true;
    let report = cluster.request(0, Ask::Edit(edit));
    assert!(matches!(report, Report::Accepted { .. }), "{report:?}");
}

#[test]
fn a_second_rule_for_a_service_is_refused() {
    // With two rules it would be undefined which one places the tasks.
    let mut cluster = Cluster::with_records(1, sample::ALL);
    let report = cluster.change(0, submit(&sample::RULE.replace("home", "abroad")));
    assert_eq!(refusal_faults(report), single_fault("service", Code::Twice));
}

/// An amendment in schema 1 of a record in schema 2 would silently drop the fields that schema 1 can't express.
#[test]
fn an_amendment_in_an_older_schema_may_not_drop_fields() {
    let mut cluster = Cluster::with_records(1, sample::ALL);
    let old = r#"{"schema":1,"kind":"service","name":"matching","pool":"compute","deadline":2}"#;
    let lost = refusal_faults(cluster.change(0, amend("service/matching", 4, old)));
    let paths: Vec<&str> = lost.iter().map(|fault| fault.0.as_str()).collect();
    assert_eq!(paths, ["pools", "class", "lease_ms", "deadline_ms"]);
    assert!(lost.iter().all(|fault| fault.1 == Code::Lost));
    // Without such fields, a record may be amended in either schema.
    let new = r#"{"schema":2,"kind":"service","name":"notebook","pools":["compute"],"deadline_ms":20000}"#;
    assert!(matches!(
        cluster.change(0, amend("service/notebook", 3, new)),
        Report::Accepted { .. }
    ));
    let report = cluster.change(0, amend("service/notebook", 6, sample::NOTEBOOK));
    assert!(matches!(report, Report::Accepted { .. }), "{report:?}");
}

#[test]
fn both_schemas_are_in_force_side_by_side_and_as_written() {
    let cluster = Cluster::with_records(3, sample::ALL);
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

/// An instance must not interpret records of a newer version: it keeps them, refuses the jobs of their services, and
/// refuses changes of them.
#[test]
fn a_record_of_an_unknown_schema_stays_untouched() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, sample::SPARE, sample::NOTEBOOK]);
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
        write_to_table(&mut cluster, name, text);
    }
    cluster.run_for(10_000);
    assert_eq!(cluster.revisions(), [5, 5]);
    let route = |name: &str| cluster.config(1).route(&id(name));
    assert_eq!(route("future"), Err(Error::UnknownSchema));
    assert_eq!(route("notebook"), Err(Error::UnknownSchema));
    let text =
        r#"{"schema":2,"kind":"service","name":"future","pools":["compute"],"deadline_ms":5}"#;
    let report = cluster.change(1, amend("service/future", 4, text));
    assert_eq!(refusal_faults(report), single_fault("schema", Code::Schema));
    let report = cluster.change(1, withdraw("service/future", 4));
    assert_eq!(refusal_faults(report), single_fault("schema", Code::Schema));
    let report = cluster.change(1, withdraw("pool/spare", 2));
    assert_eq!(refusal_faults(report), single_fault("", Code::Referred));
    // An instance that starts in an outage gets their texts unchanged from a peer.
    cluster.outage = true;
    cluster.stop(0);
    cluster.start(0);
    cluster.run_for(2_000);
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
