//! The adapter to the platform: what it decodes and encodes, and which field a fault names.

use poplarknot::{
    dispatch::{
        id::{
            JobId,
            Life,
            Run,
            TaskId,
            Token, //
        },
        message::{
            End,
            Lists,
            Name,
            Order,
            Refusal,
            Reply, //
        }, //
    },
    platform::{
        ingress,
        order,
        record,
        settings,
        store::{
            self,
            Content, //
        }, //
    },
    prelude::*, //
};
use serde_json::{
    json,
    Value, //
};

const SETTINGS: &str = r#"
node = "edge-a-1"
zone = "a"
ip = "10.1.0.13"
port_range = [7720, 7735]
seeds = ["10.1.0.13:8166", "10.2.0.30:8166"]
tomorrow = "unknown"
[listen_addrs]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[limits]
cpu_share = 0.25
max_fds = 4100
[bounds]
grace_s = 6
[platform]
address = "10.200.1.7:8169"
"#;

/// Settings are parsed, unknown fields are ignored, and a missing or malformed field is named.
#[test]
fn settings_are_read() {
    let parsed = settings::parse(SETTINGS).unwrap();
    assert_eq!(parsed.peer_address.port(), 7720);
    assert_eq!((parsed.share, parsed.max_sockets), (250, 3_900));
    assert_eq!(parsed.grace, Span::seconds(6));
    assert!(parsed.seeds.is_empty());
    let control = SETTINGS.replace("front =", "control = \"10.1.0.13:8166\"\nfront =");
    let parsed = settings::parse(&control).unwrap();
    assert_eq!((parsed.peer_address.port(), parsed.seeds.len()), (8166, 2));
    assert_eq!(parsed.advertised_address, None);
    let advertised = SETTINGS.replace("front =", "advertised = \"192.0.2.7:8166\"\nfront =");
    let parsed = settings::parse(&advertised).unwrap();
    let expected = "192.0.2.7:8166".parse().unwrap();
    assert_eq!(parsed.advertised_address, Some(expected));
    assert_eq!(parsed.peer_address.port(), 7720);
    let fault = settings::parse(&SETTINGS.replace("address", "adress")).unwrap_err();
    assert!(fault.to_string().contains("platform"), "{fault}");
    let fault = settings::parse(&SETTINGS.replace("10.1.0.13:8167", "nowhere")).unwrap_err();
    assert!(fault.to_string().contains("listen_addrs.ready"), "{fault}");
}

/// A job is parsed, and the field that is unsupported or malformed is named.
#[test]
fn jobs_are_read() {
    let body = json!({"spec": "x", "best_effort": true, "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900, "affinity": "r1-3"},
        {"count": 2, "cpu": 2000, "after": [0], "max_per_server": 1, "required_label": "b"},
    ]});
    let job = ingress::parse_job(JobId(7), body.to_string().as_bytes()).unwrap();
    assert_eq!(job.steps[0].estimate, Span::millis(900));
    assert_eq!(job.steps[0].affinity.as_deref(), Some("r1-3"));
    assert_eq!(job.steps[1].per_endpoint, Some(1));
    assert_eq!(job.critical_path(), Span::millis(900));
    let fault = |body: Value| {
        let read = ingress::parse_job(JobId(7), body.to_string().as_bytes());
        read.unwrap_err().field
    };
    assert_eq!(fault(json!({"steps": [{"count": 0}]})), "steps[0].count");
    assert_eq!(
        fault(json!({"steps": [{"count": "four"}]})),
        "steps[0].count"
    );
    assert_eq!(fault(json!({"steps": [{"after": [0]}]})), "steps[0].after");
    assert_eq!(fault(json!({"steps": []})), "steps");
    assert_eq!(
        fault(json!({"steps": [{}], "spec": "x".repeat(4_001)})),
        "spec"
    );
    let gang = json!({"best_effort": true, "steps": [{"count": 2, "gang": true}]});
    let job = ingress::parse_job(JobId(7), gang.to_string().as_bytes()).unwrap();
    assert_eq!(job.steps[0].unsupported.as_deref(), Some("gang"));
}

/// Orders are encoded with the field names of the wire, and replies are decoded by status and reason.
#[test]
fn orders_are_encoded_and_answers_decoded() {
    let task = TaskId {
        job: JobId(0x5c0e_7a21_d94b_36f8),
        step: 1,
        index: 17,
    };
    let start = Order::Start {
        task,
        run: Run(2),
        spec: "text".to_owned(),
        lease: 486_000,
        token: Token(7),
    };
    let (path, body) = order::encode(&start);
    let body: Value = serde_json::from_slice(&body).unwrap();
    let expected = json!({"task": "5c0e7a21d94b36f8.0.1.17", "run": 2, "spec": "text",
        "deadline_ms": 486_000, "fencing_token": 7});
    assert_eq!((path, body), ("/api/run-start", expected));
    let refused = br#"{"clock_ms":482113,"reason":"fence"}"#;
    let fenced = Reply::Refused {
        clock: 482_113,
        refusal: Refusal::Fenced,
    };
    assert_eq!(order::decode(&start, 409, refused), fenced);
    assert_eq!(order::decode(&start, 421, b""), Reply::Reborn);
    assert_eq!(order::decode(&start, 503, b""), Reply::Unwell);
    let poll = Order::Poll {
        lease: None,
        token: Token(7),
        acknowledged: 57,
        wait: Span(0),
    };
    let (_, body) = order::encode(&poll);
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body, json!({"fencing_token": 7, "last_seen": 57}));
    let lists = json!({"clock_ms": 9, "born": 1_700_000_000_123_u64, "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 3]],
        "finished": [[58, "5c0e7a21d94b36f8.3.1.9", 1, "done", ""]]});
    let Reply::Looked(Lists {
        life,
        running,
        ended,
        ..
    }) = order::decode(&poll, 200, lists.to_string().as_bytes())
    else {
        panic!("the lists are not decoded");
    };
    assert_eq!(life, Life(1_700_000_000_123));
    assert_eq!(running[0].task, Name::Known(task));
    // No instance of this build starts a task of another occurrence.
    assert!(matches!(&ended[0].task, Name::Foreign(name) if name.contains(".3.")));
    assert_eq!(ended[0].end, End::Done);
    let Reply::Malformed(fault) = order::decode(&poll, 200, br#"{"clock_ms":"x"}"#) else {
        panic!("a malformed answer is accepted");
    };
    assert!(fault.contains("clock_ms"), "{fault}");
}

/// Rows of the store are decoded from base64, deleted ones included; configurations and endpoints are parsed.
#[test]
fn records_are_read() {
    let body = br#"{"rows":[{"table":"t","part":"","key":"k","value":"eA==","ver":3},
        {"table":"t","part":"","key":"gone","ver":4,"deleted":true}],"has_more":true,"ver":5}"#;
    let page = store::parse_page(body).unwrap();
    assert_eq!(page.rows[0].content, Content::Value(b"x".to_vec()));
    assert_eq!(
        (&page.rows[1].content, page.more, page.version),
        (&Content::Deleted, true, 5)
    );
    assert_eq!(
        store::build_table_path("servers", Some("i-1")),
        "/api/rows-get?table=servers&part=&from=i-1%20"
    );
    let configuration = json!({"version": 7, "routes": [{"name": "r", "hostname": "h", "prefix": "/p/",
        "service": "s", "timeout_ms": 1500, "target_duration_ms": 60, "stretch": 1.6}]});
    let read = record::parse_configuration(configuration.to_string().as_bytes()).unwrap();
    let (route, rest) = read.find_route("H:8161", "/p/5c").unwrap();
    assert_eq!((route.timeout, rest), (Span::millis(1_500), "5c"));
    assert_eq!(route.objective(Span::millis(100)), Span::millis(220));
    let fault =
        record::parse_configuration(br#"{"version":7,"routes":[{"name":"r"}]}"#).unwrap_err();
    assert!(fault.to_string().contains("routes[0]"), "{fault}");
    let row = json!({"service": "s", "address": "10.0.0.9:80", "zone": "a", "state": "draining",
        "capacity": {"cpu": 16000, "mem_mb": 1, "gpu": 0}, "labels": ["a", "r1-3"]});
    let listing = record::parse_endpoint("i-1", row.to_string().as_bytes()).unwrap();
    assert!(listing.draining);
    assert_eq!(
        (listing.rack.as_str(), listing.capacity.cpu),
        ("r1-3", 16_000)
    );
}

/// A row with a malformed value, version or key must not make the whole response invalid; otherwise no endpoint would be
/// known and no job served.
#[test]
fn unreadable_rows_do_not_hide_the_others() {
    let body = br#"{"rows":[{"key":"a","value":"eA==","ver":3},{"key":"b","value":"?","ver":4},
        {"key":"c","value":7,"ver":4},{"key":"d","value":"eA==","ver":"5"},{"value":"eA==","ver":5},
        "row",{"key":"e","value":null,"ver":5},{"key":"f","value":"eQ==","ver":6}],"ver":6}"#;
    let page = store::parse_page(body).unwrap();
    let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["a", "b", "c", "d", "e", "f"]);
    for row in &page.rows {
        let readable = matches!(&row.content, Content::Value(_));
        assert_eq!(readable, ["a", "f"].contains(&row.key.as_str()), "{row:?}");
        if let Content::Unreadable(fault) = &row.content {
            assert!(fault.field.contains(&row.key), "{fault}");
        }
    }
    assert_eq!(page.missing_keys, 2);
    assert!(store::parse_page(br#"{"rows":7,"ver":5}"#).is_err());
    assert!(store::parse_page(b"{}").is_err());
}

/// A row names an endpoint only if it is complete and has a known state. If an unknown state counted as draining, the rack
/// of another program's row would be claimed and polled.
#[test]
fn incomplete_rows_name_no_endpoint() {
    let complete = json!({"service": "s", "address": "10.0.0.9:80", "zone": "a", "state": "ready",
        "capacity": {"cpu": 16000, "mem_mb": 1, "gpu": 0}, "labels": ["a", "r1-3"]});
    let parse = |row: &Value| record::parse_endpoint("i-1", row.to_string().as_bytes());
    assert!(parse(&complete).is_ok());
    let malformed = [
        ("state", json!("resting")),
        ("state", json!(1)),
        ("service", json!(["s"])),
        ("service", json!("")),
        ("address", json!("somewhere")),
        ("address", json!({"ip": "10.0.0.9"})),
        ("zone", json!(null)),
        ("capacity", json!(16_000)),
        ("capacity", json!({"cpu": "16000", "mem_mb": 1})),
        ("labels", json!("r1-3")),
        ("labels", json!([7, "r1-3"])),
    ];
    for (field, value) in malformed {
        let mut row = complete.clone();
        row[field] = value;
        let fault = parse(&row).unwrap_err();
        assert!(fault.field.contains(field), "{fault} for {row}");
    }
    for field in ["service", "address", "zone", "state", "capacity", "labels"] {
        let mut row = complete.clone();
        row.as_object_mut().unwrap().remove(field);
        let fault = parse(&row).unwrap_err();
        assert!(fault.to_string().contains(field), "{fault}");
    }
}

/// No decoder panics on what another program writes: random bytes, or valid texts with some bytes changed.
#[test]
fn decoders_never_panic() {
    fn decode_all(bytes: &[u8]) {
        let _ = store::parse_page(bytes);
        let _ = store::parse_version(bytes);
        let _ = record::parse_configuration(bytes);
        let _ = record::parse_endpoint("i-1", bytes);
        let _ = record::parse_instance("edge-1", bytes);
        let poll = Order::Poll {
            lease: None,
            token: Token(7),
            acknowledged: 57,
            wait: Span(0),
        };
        for status in [200, 409, 421, 503] {
            let _ = order::decode(&poll, status, bytes);
        }
    }
    fn decodes_random(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }
    fn decodes_changed(which: usize, changes: Vec<(usize, u8)>) -> bool {
        const TEXTS: [&str; 4] = [
            r#"{"rows":[{"table":"t","part":"","key":"k","value":"eA==","ver":3}],"has_more":true,"ver":5}"#,
            r#"{"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/p/","service":"s","timeout_ms":1500}]}"#,
            r#"{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","capacity":{"cpu":1},"labels":["a"]}"#,
            r#"{"clock_ms":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,3]],"finished":[[58,"x",1,"done",""]]}"#,
        ];
        let mut bytes = TEXTS[which % TEXTS.len()].as_bytes().to_vec();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        decode_all(&bytes);
        true
    }
    let trials = std::env::var("DECODER_TRIALS").ok();
    let trials = trials.and_then(|text| text.parse().ok()).unwrap_or(2_000);
    let mut check = quickcheck::QuickCheck::new()
        .tests(trials)
        .max_tests(trials);
    check.quickcheck(decodes_random as fn(Vec<u8>) -> bool);
    check.quickcheck(decodes_changed as fn(usize, Vec<(usize, u8)>) -> bool);
}

/// Rows of stored jobs are changed on condition that the lock row has its version, in one part of one table. Statuses that
/// rule out a change are distinguished from the others.
#[test]
fn rows_are_changed_under_a_condition() {
    let guard = ("lock".to_owned(), 7);
    let set = [("a".to_owned(), b"value".to_vec())];
    let (path, body) = store::build_change("jobs", "shard-03", &guard, &set, &["b".to_owned()]);
    assert_eq!(path, "/api/rows-tx");
    let body: Value = serde_json::from_slice(&body).unwrap();
    let row = |key: &str| json!({"table": "jobs", "part": "shard-03", "key": key});
    let mut expected = row("lock");
    expected["ver"] = json!(7);
    let mut changed = row("a");
    changed["value"] = json!("dmFsdWU=");
    let expected_body =
        json!({"expected_rev": [expected], "set_keys": [changed], "remove": [row("b")]});
    assert_eq!(body, expected_body);
    assert_eq!(
        store::parse_version(br#"{"ver":412,"now_ms":5}"#).unwrap(),
        412
    );
    assert_eq!(store::parse_version(b"{}").unwrap_err().field, ".");
    let outcomes = [200, 412, 429, 503, 400].map(store::classify_status);
    assert_eq!(
        outcomes,
        [
            store::Outcome::Done,
            store::Outcome::Conflict,
            store::Outcome::Refused,
            store::Outcome::Refused,
            store::Outcome::Invalid, //
        ]
    );
    let find = store::build_row_path("jobs", "shard-03", "lock");
    assert_eq!(
        find,
        "/api/rows-get?table=jobs&part=shard-03&from=lock&target=lock%20"
    );
}
