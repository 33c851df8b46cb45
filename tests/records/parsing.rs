//! Tests of parsing a single record: both schemas, and all faults of a text.

fn parse_body(text: &str) -> Body {
    Record::parse(text).unwrap().body
}

/// Returns the sorted faults of a text, by path and code.
fn parse_faults(text: &str) -> Vec<(String, Code)> {
    let faults = Record::parse(text).unwrap_err();
    assert!(faults.iter().all(|fault| !fault.detail.is_empty()));
    let mut faults: Vec<_> = faults.into_iter().map(|f| (f.path, f.code)).collect();
    faults.sort();
    faults
}

/// Returns the expected faults in the same form.
fn expected_faults(list: &[(&str, Code)]) -> Vec<(String, Code)> {
    let mut list: Vec<_> = list
        .iter()
        .map(|(path, code)| ((*path).to_owned(), *code))
        .collect();
    list.sort();
    list
}

#[test]
fn both_schemas_of_a_pool_and_a_rule_are_equivalent() {
    // A record that is rewritten in the newer schema must keep its meaning.
    let old = r#"{"schema":1,"kind":"pool","name":"p","open":false}"#;
    let new = r#"{"schema":2,"kind":"pool","name":"p","state":"closed"}"#;
    assert_eq!(parse_body(old), parse_body(new));
    assert!(matches!(parse_body(old), Body::Pool(p) if p.state == pool::State::Closed));
    let old = r#"{"schema":1,"kind":"rule","name":"r","service":"s","centre":"a","spill":false}"#;
    let new =
        r#"{"schema":2,"kind":"rule","name":"r","service":"s","centres":["a"],"spill":false}"#;
    assert_eq!(parse_body(old), parse_body(new));
}

#[test]
fn a_rule_of_schema_2_has_several_centres_and_quotas() {
    let Body::Rule(rule::Body {
        centres, quotas, ..
    }) = parse_body(sample::RULE)
    else {
        panic!("the record is no rule");
    };
    assert_eq!(centres, [id("b"), id("c")]);
    let quota = quotas[&id::<Team>("swaps")];
    assert_eq!((quota.weight, quota.outstanding), (3, 40));
}

quickcheck! {
    fn both_schemas_of_a_service_are_equivalent(seconds: u16, tasks: u16, idempotent: bool) -> bool {
        let (seconds, tasks) = (seconds % 3_600 + 1, tasks % 10_000 + 1);
        let class = if idempotent { "idempotent" } else { "once" };
        let old = format!(r#"{{"schema":1,"kind":"service","name":"s","pool":"p",
            "deadline":{seconds},"tasks":{tasks},"idempotent":{idempotent}}}"#);
        let new = format!(r#"{{"schema":2,"kind":"service","name":"s","pools":["p"],
            "deadline_ms":{seconds}000,"tasks":{tasks},"class":"{class}"}}"#);
        parse_body(&old) == parse_body(&new)
    }

    fn a_damaged_text_causes_no_panic(place: usize, byte: u8) -> bool {
        sample::ALL.iter().all(|text| {
            let mut bytes = text.as_bytes().to_vec();
            let place = place % bytes.len();
            bytes[place] = byte % 128;
            let text = String::from_utf8(bytes).unwrap();
            Record::parse(text.as_str()).map_or_else(|faults| !faults.is_empty(), |r| r.text == text)
        })
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    // If only the first fault were reported, an operator would need a submission for each.
    let text = r#"{"schema":2,"kind":"service","name":"a b","pools":["p","p",7],"class":"twice",
        "deadline_ms":"10s","tasks":0,"deadline":10,"team":"risk"}"#;
    let expected = expected_faults(&[
        ("name", Code::Name),
        ("pools[1]", Code::Twice),
        ("pools[2]", Code::Type),
        ("class", Code::Range),
        ("deadline_ms", Code::Type),
        ("tasks", Code::Range),
        ("deadline", Code::UnknownField),
        ("team", Code::UnknownField),
    ]);
    assert_eq!(parse_faults(text), expected);
}

#[test]
fn faults_inside_a_quota_carry_the_whole_path() {
    let text = r#"{"schema":2,"kind":"rule","name":"r","quotas":{
        "risk":{"weight":0,"share":2},"bad team":{},"pricing":3}}"#;
    let expected = expected_faults(&[
        ("service", Code::Missing),
        ("quotas.risk.weight", Code::Range),
        ("quotas.risk.share", Code::UnknownField),
        ("quotas.bad team", Code::Name),
        ("quotas.pricing", Code::Type),
    ]);
    assert_eq!(parse_faults(text), expected);
}

#[test]
fn a_field_of_the_other_schema_is_unknown_and_the_right_one_is_named() {
    // A field that is silently ignored would leave the operator with a default.
    let text =
        r#"{"schema":1,"kind":"service","name":"s","pool":"p","deadline":10,"deadline_ms":10}"#;
    let faults = Record::parse(text).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].detail.contains("did you mean `deadline`?"),
        "{}",
        faults[0]
    );
}

#[test]
fn a_lease_beyond_the_deadline_is_refused() {
    let text =
        r#"{"schema":2,"kind":"service","name":"s","pools":["p"],"deadline_ms":10,"lease_ms":11}"#;
    assert_eq!(
        parse_faults(text),
        expected_faults(&[("lease_ms", Code::Range)])
    );
}

#[test]
fn an_unknown_schema_or_kind_hides_and_adds_no_other_fault() {
    // Without a schema it is unknown which fields are allowed, so none may be reported as unknown.
    assert_eq!(
        parse_faults(r#"{"schema":3,"kind":"servis","colour":"red"}"#),
        expected_faults(&[
            ("schema", Code::Schema),
            ("kind", Code::Range),
            ("name", Code::Missing)
        ])
    );
}

/// Most JSON parsers silently take the last value, which need not be the one that was meant.
#[test]
fn a_duplicate_field_is_refused() {
    let text = r#"{"schema":1,"kind":"pool","name":"p","open":true,"open":false}"#;
    assert_eq!(
        parse_faults(text),
        expected_faults(&[("open", Code::Twice)])
    );
    let text =
        r#"{"schema":2,"kind":"rule","name":"r","service":"s","quotas":{"t":{},"t":{"weight":2}}}"#;
    assert_eq!(
        parse_faults(text),
        expected_faults(&[("quotas.t", Code::Twice)])
    );
}

#[test]
fn the_faults_of_one_text_are_bounded() {
    // A generated text must not cause a report without bound.
    let fields: Vec<String> = (0..1_000).map(|i| format!(r#""x{i}":0"#)).collect();
    let text = format!(
        r#"{{"schema":1,"kind":"pool","name":"p",{}}}"#,
        fields.join(",")
    );
    assert_eq!(Record::parse(text).unwrap_err().len(), 101);
}

#[test]
fn a_text_that_is_too_long_is_refused() {
    let text = format!(
        r#"{{"schema":1,"kind":"pool","name":"{}"}}"#,
        "p".repeat(17_000)
    );
    assert_eq!(parse_faults(&text), expected_faults(&[("", Code::Size)]));
}

use quickcheck::quickcheck;

use crate::prelude::*;

/// Stored entries are read by other versions and by operators' scripts, which would miss a renamed field.
#[test]
fn an_audit_entry_keeps_the_names_of_its_fields() {
    let text = r#"{"at_ms":7,"operation":"000000000000000000000000000000ab","operator":"ops","from":"10.0.0.1:9",
        "instance":"entry-1","deed":"amend","record":"pool/compute","revision":3,"before":"{}","after":"{}"}"#;
    let entry: poplarknot::audit::Entry = serde_json::from_str(text).unwrap();
    assert_eq!(entry.action, poplarknot::audit::Action::Amend);
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_value(&entry).unwrap(), value);
}

/// The platform writes the list. A field under another name would make the whole list unreadable.
#[test]
fn an_endpoint_of_the_platforms_list_keeps_the_names_of_its_fields() {
    let text = r#"{"name":"e","centre":"a","rack":"r","address":"10.0.0.1:9","pool":"compute","slots":8,
        "connections":64,"has":{"cores":64,"memory_mb":1024,"accelerators":1},"state":"live"}"#;
    let worker: Worker = serde_json::from_str(text).unwrap();
    assert_eq!(worker.resources.cores, 64);
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_value(&worker).unwrap(), value);
}
