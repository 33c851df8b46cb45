//! Tests of the commands, run as processes.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Command,
        Output,
        Stdio, //
    },
    sync::mpsc,
    thread, //
};

use poplarknot::{
    caller::status,
    job::{
        Class,
        Outcome,
        Reason, //
    },
    metrics::{
        Gauges,
        Message,
        Metrics, //
    },
    settings::{
        key,
        Limits,
        Settings,
        Size,
        Timing, //
    },
    time::Span, //
};
use tokio::net::TcpSocket;

const SHIPPED_SETTINGS: &str = include_str!("../poplarknot.ini");
const README: &str = include_str!("../README.md");
const TOKEN: &str = "a-token-of-the-tests";
const BURST: &str =
    r#"{"team":"risk","service":"cells","tasks":[{"payload":{"n":0.10000000000000000001}}]}"#;
const COMPLETE: &str = r#"{"outcome":"complete","reason":"done","detail":"","results":[1]}"#;
const DRAINING: &str =
    r#"{"outcome":"not-run","reason":"draining","detail":"the instance is draining"}"#;

/// Runs the program with these arguments and standard input.
fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_poplarknot"))
        .args(args)
        .env("POPLARKNOT_TOKEN", TOKEN)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The program may end without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("the program exits by itself")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a file to the tests' temporary folder and returns its path.
fn write_temporary(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

/// What a fake instance does with one connection.
#[derive(Clone, Copy)]
enum Action {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
}

/// A fake instance that takes one action for each connection, in order, and records the requests.
struct FakeInstance {
    address: String,
    requests: mpsc::Receiver<String>,
}

impl FakeInstance {
    fn new(actions: impl IntoIterator<Item = Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the socket is bound")
            .to_string();
        let (sender, requests) = mpsc::channel();
        let actions: Vec<Action> = actions.into_iter().collect();
        thread::spawn(move || {
            for action in actions {
                let (mut stream, _) = listener.accept().expect("a connection is accepted");
                let request = read_request(&mut stream);
                // The test may have ended and dropped the receiver.
                let _ = sender.send(request);
                if let Action::Answer(status, body) = action {
                    send_answer(&mut stream, status, body);
                }
            }
        });
        Self { address, requests }
    }

    /// Returns the requests received since the last call.
    fn requests(&self) -> Vec<String> {
        self.requests.try_iter().collect()
    }
}

/// Reads a request up to the end of its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !is_complete(&text) {
        let count = stream.read(&mut buffer).expect("the request can be read");
        assert_ne!(count, 0, "the request ended early: {text}");
        text += std::str::from_utf8(&buffer[..count]).expect("the request is text");
    }
    text
}

/// Returns whether a request has its whole body.
fn is_complete(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |l| l.parse().expect("a length is a number"))
}

fn send_answer(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
    let sent = stream.write_all((head + body).as_bytes());
    sent.expect("the answer can be sent");
}

fn request_body(request: &str) -> &str {
    request
        .split_once("\r\n\r\n")
        .expect("the request has a body")
        .1
}

/// Returns a header of a request; the name must be in lower case.
fn request_header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// A port that refuses connections. The bound socket is kept, so that no other test gets the port.
struct ClosedPort(TcpSocket);

impl ClosedPort {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket is created");
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        socket.bind(any).expect("a port is free");
        Self(socket)
    }

    fn address(&self) -> String {
        self.0
            .local_addr()
            .expect("the socket is bound")
            .to_string()
    }
}

#[test]
fn help_and_version_go_to_standard_output() {
    let help = run(&["--help"], "");
    assert_eq!(exit_code(&help), 0);
    for command in ["serve", "check", "submit", "record", "audit", "trace"] {
        assert!(stdout(&help).contains(command), "{command}");
        let own = run(&[command, "--help"], "");
        assert_eq!(exit_code(&own), 0, "{command}");
        let usage = format!("Usage: poplarknot {command}");
        assert!(stdout(&own).starts_with(&usage), "{}", stdout(&own));
    }
    let version = run(&["--version"], "");
    let expected = format!("poplarknot {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(stdout(&version), expected);
}

/// A script must be able to tell a wrong command line from a failure, and must not take an error for output.
#[test]
fn wrong_usage_ends_with_code_2_and_one_line() {
    let wrong: [&[&str]; 14] = [
        &[],
        &["sreve"],
        &["serve"],
        &["check"],
        &["check", "a", "b"],
        &["submit", "--sevrice", "cells"],
        &["record", "amend", "service/cells"],
        &["record", "show", "cells"],
        &["audit", "--from", "yesterday"],
        &["trace"],
        &["trace", "7239831d1d124ecb"],
        &["trace", "17", "a.log"],
        &["trace", "7239831d1d124ecb", "a.log", "--around", "soon"],
        &["trace", "7239831d1d124ecb", "a.log", "--around", "2h"],
    ];
    for args in wrong {
        let output = run(args, "");
        assert_eq!(exit_code(&output), 2, "{args:?}");
        assert_eq!(
            stderr(&output).lines().count(),
            1,
            "{args:?}: {}",
            stderr(&output)
        );
        assert_eq!(stdout(&output), "", "{args:?}");
    }
}

#[test]
fn a_file_that_is_missing_ends_with_code_1() {
    let output = run(&["check", "no-such-file.ini"], "");
    assert_eq!(exit_code(&output), 1);
    assert!(stderr(&output).contains("no-such-file.ini"));
}

#[test]
fn check_passes_the_shipped_settings() {
    let path = write_temporary("shipped.ini", SHIPPED_SETTINGS);
    let output = run(&["check", &path.to_string_lossy()], "");
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
}

/// If only the first fault were reported, each would cost a run. A token must not be printed.
#[test]
fn check_names_every_fault_at_once() {
    let text = "\
[instance]
name = entry one
[listn]
callers = 127.0.0.1:1
[listen]
callers = here
peers = 127.0.0.1:1
[limits]
headers = 3B
body = 64MiB
heartbeat = 1s
jbos = 5
[timing]
silence = 1s
drain = 5s
drain = 6s
[log]
level = loud
file =
[operators]
anna = secret
";
    let path = write_temporary("faults.ini", text);
    let output = run(&["check", &path.to_string_lossy()], "");
    let message = stderr(&output);
    assert_eq!(exit_code(&output), 3);
    let expected = [
        "14 faults",
        "[instance] name = entry one: allowed are",
        "[instance] data_centre: is missing",
        "[listn] is no section; did you mean [listen]?",
        "[listen] callers = here: allowed is IP:PORT",
        "[platform] address: is missing",
        "[limits] headers = 3B: allowed is 1KiB to 1MiB",
        "[limits] body = 64MiB: must not exceed",
        "[limits] heartbeat: is no key of this section; it belongs to [timing]",
        "[limits] jbos: is no key; did you mean jobs?",
        "[timing] silence = 1000 ms: must exceed twice",
        "[timing] drain: is set more than once",
        "[log] level = loud: allowed are off, error",
        "[log] file: is empty",
        "[operators] anna: the token needs at least 16",
    ];
    for line in expected {
        assert!(message.contains(line), "{line} is not in {message}");
    }
    assert!(!message.contains("secret"), "a token is shown: {message}");
}

/// The INI parser joins a line without `=` to the next one's key. Without the check, the setting below would be lost
/// and the fault would name a key that spans lines.
#[test]
fn check_names_every_line_that_is_no_setting() {
    let path = write_temporary("lines.ini", "[log\nlevel\n[log]\nlevel: info\n= info\n");
    let output = run(&["check", &path.to_string_lossy()], "");
    assert_eq!(exit_code(&output), 3);
    for line in ["line 1: ", "line 2: ", "line 4: ", "line 5: "] {
        assert!(stderr(&output).contains(line), "{}", stderr(&output));
    }
}

/// The shipped file must show the defaults that the program uses.
#[test]
fn the_shipped_settings_list_every_key_with_its_default() {
    let settings = Settings::parse(SHIPPED_SETTINGS).expect("the shipped settings have no faults");
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.timing, Timing::default());
    for (section, keys) in key::SECTIONS {
        let start = SHIPPED_SETTINGS.find(&format!("\n[{section}]\n"));
        let start = start.unwrap_or_else(|| panic!("[{section}] is missing"));
        let rest = &SHIPPED_SETTINGS[start + 2..];
        let part = &rest[..rest.find("\n[").unwrap_or(rest.len())];
        for key in *keys {
            let set = [format!("\n{key} = "), format!("\n# {key} = ")];
            assert!(set.iter().any(|s| part.contains(s)), "[{section}] {key}");
        }
    }
}

/// A new key must not stay undocumented.
#[test]
fn the_readme_lists_every_key() {
    for (section, keys) in key::SECTIONS {
        for key in *keys {
            let row = format!("| `[{section}]` | `{key}` |");
            assert!(README.contains(&row), "{row}");
        }
    }
}

#[test]
fn sizes_are_read_as_they_are_written() {
    for text in ["0", "1000", "16KiB", "1MiB", "3GiB"] {
        let size: Size = text.parse().expect("the size is valid");
        assert_eq!(size.to_string(), text);
    }
    for text in [
        "",
        "KiB",
        "1KB",
        "-1",
        "1.5MiB",
        "99999999999999999999GiB",
        "20000000000GiB",
    ] {
        assert!(text.parse::<Size>().is_err(), "{text}");
    }
}

/// A number that is parsed and printed again would lose digits of the payload.
#[test]
fn submit_prints_the_answer_and_sends_payloads_as_written() {
    let fake = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let args = [
        "submit",
        "--to",
        &fake.address,
        "--key",
        "k-1",
        "--class",
        "once",
        "--deadline",
        "900",
    ];
    let output = run(&args, BURST);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), format!("{COMPLETE}\n"));
    assert_eq!(stderr(&output), "");
    let requests = fake.requests();
    let sent = request_body(&requests[0]);
    assert!(requests[0].starts_with("POST /v1/jobs HTTP/1.1\r\n"));
    for part in [
        r#""key":"k-1""#,
        r#""class":"once""#,
        r#""deadline_ms":900"#,
        "0.10000000000000000001",
    ] {
        assert!(sent.contains(part), "{part} is not in {sent}");
    }
}

/// A script decides by the exit code whether a retry is safe.
#[test]
fn submit_ends_with_the_code_of_the_outcome() {
    let outcomes = [
        (
            r#"{"outcome":"failed","reason":"task-failed","detail":""}"#,
            502,
            4,
        ),
        (
            r#"{"outcome":"not-run","reason":"invalid","detail":""}"#,
            400,
            5,
        ),
        (
            r#"{"outcome":"unknown","reason":"lost","detail":""}"#,
            504,
            6,
        ),
    ];
    for (text, status, expected) in outcomes {
        let fake = FakeInstance::new([Action::Answer(status, text)]);
        let output = run(&["submit", "--to", &fake.address], BURST);
        assert_eq!(exit_code(&output), expected, "{text}");
        assert_eq!(stdout(&output), format!("{text}\n"));
    }
}

#[test]
fn submit_refuses_a_malformed_burst_without_sending_it() {
    let fake = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let output = run(&["submit", "--to", &fake.address], r#"{"team":"risk"}"#);
    assert_eq!(exit_code(&output), 2);
    assert!(fake.requests().is_empty());
}

/// The first instance reads the request and closes the connection. Without a key, a second request could run the
/// burst twice, so the outcome must be reported as unknown.
#[test]
fn submit_without_a_key_is_not_repeated_once_it_may_have_arrived() {
    let first = FakeInstance::new([Action::Close]);
    let second = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let output = run(
        &["submit", "--to", &first.address, "--to", &second.address],
        BURST,
    );
    assert_eq!(exit_code(&output), 6);
    assert_eq!(stdout(&output), "");
    assert_eq!(first.requests().len(), 1);
    assert!(second.requests().is_empty());
}

/// With a key, the burst is sent to the second instance, which recognizes a duplicate only if the resubmission is
/// identical byte for byte.
#[test]
fn submit_with_a_key_resends_the_same_bytes() {
    let first = FakeInstance::new([Action::Close]);
    let second = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let args = [
        "submit",
        "--key",
        "k-2",
        "--to",
        &first.address,
        "--to",
        &second.address,
    ];
    let output = run(&args, BURST);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let (first, second) = (first.requests(), second.requests());
    assert_eq!(request_body(&first[0]), request_body(&second[0]));
}

/// The first request may have run, and the second is refused by a draining instance. "Not run" would be wrong for
/// the burst, so the outcome must be reported as unknown.
#[test]
fn submit_does_not_report_not_run_after_a_lost_request() {
    let first = FakeInstance::new([Action::Close]);
    let second = FakeInstance::new([Action::Answer(503, DRAINING)]);
    let args = [
        "submit",
        "--key",
        "k-3",
        "--to",
        &first.address,
        "--to",
        &second.address,
    ];
    let output = run(&args, BURST);
    assert_eq!(exit_code(&output), 6);
    assert_eq!(stdout(&output), "");
}

/// The first instance is overloaded and doesn't know whether an earlier request with this key ran. The key makes a
/// second request safe, so the next instance must be tried.
#[test]
fn submit_with_a_key_tries_the_next_instance_after_an_unknown_outcome() {
    const UNKNOWN: &str = r#"{"outcome":"unknown","reason":"busy","detail":"no room"}"#;
    let first = FakeInstance::new([Action::Answer(429, UNKNOWN), Action::Answer(429, UNKNOWN)]);
    let second = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let both = ["--to", &first.address, "--to", &second.address];
    let output = run(&[&["submit", "--key", "k-4"][..], &both].concat(), BURST);
    assert_eq!(
        (exit_code(&output), stdout(&output)),
        (0, format!("{COMPLETE}\n"))
    );

    let alone = ["submit", "--key", "k-4", "--to", &first.address];
    let output = run(&alone, BURST);
    assert_eq!(
        (exit_code(&output), stdout(&output)),
        (6, format!("{UNKNOWN}\n"))
    );
}

/// A key isn't new once a request with it was lost. If it were still declared new, the next instance could answer
/// "not run" for a burst that may have run.
#[test]
fn submit_declares_a_key_new_only_until_it_may_have_arrived() {
    let first = FakeInstance::new([Action::Answer(503, DRAINING)]);
    let second = FakeInstance::new([Action::Close]);
    let third = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let mut args = vec!["submit", "--key", "k-5", "--first"];
    for fake in [&first, &second, &third] {
        args.extend(["--to", &fake.address]);
    }
    let output = run(&args, BURST);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let first_header = |fake: &FakeInstance| {
        request_header(&fake.requests()[0], "poplarknot-first").map(str::to_owned)
    };
    let new = Some("true".to_owned());
    assert_eq!(
        [
            first_header(&first),
            first_header(&second),
            first_header(&third)
        ],
        [new.clone(), new, None]
    );
}

/// A refusal or a closed port at one instance must not fail a burst that another instance can run.
#[test]
fn submit_tries_the_next_instance_when_nothing_was_run() {
    let draining = FakeInstance::new([Action::Answer(503, DRAINING)]);
    let last = FakeInstance::new([Action::Answer(200, COMPLETE)]);
    let closed = ClosedPort::new();
    let refusing = closed.address();
    let args = [
        "submit",
        "--to",
        &refusing,
        "--to",
        &draining.address,
        "--to",
        &last.address,
    ];
    let output = run(&args, BURST);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(draining.requests().len(), 1);

    let output = run(&["submit", "--to", &refusing], BURST);
    assert_eq!((exit_code(&output), stdout(&output)), (5, String::new()));
}

/// The answer to a change is lost. The retry must carry the same operation id, or the record could be submitted
/// twice.
#[test]
fn record_repeats_a_change_under_the_same_operation() {
    let fake = FakeInstance::new([Action::Close, Action::Answer(201, r#"{"revision":7}"#)]);
    let args = ["record", "submit", "--dry-run", "--to", &fake.address];
    let output = run(&args, r#"{"kind":"service"}"#);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "{\"revision\":7}\n");
    let requests = fake.requests();
    assert!(requests[0].starts_with("POST /v1/records?dry_run=true HTTP/1.1\r\n"));
    let operation = |i: usize| {
        request_header(&requests[i], "poplarknot-operation").expect("the request has an operation")
    };
    assert_eq!(operation(0).len(), 32);
    assert_eq!(operation(0), operation(1));
    let bearer = format!("Bearer {TOKEN}");
    assert_eq!(
        request_header(&requests[0], "authorization"),
        Some(bearer.as_str())
    );
}

/// Without the operation id in the message, the operator couldn't retry the change safely.
#[test]
fn record_prints_the_operation_of_a_change_that_may_be_in_force() {
    let fake = FakeInstance::new([Action::Close, Action::Close, Action::Close]);
    let args = [
        "record",
        "withdraw",
        "service/cells",
        "--amends",
        "4",
        "--confirm",
        "--to",
        &fake.address,
    ];
    let output = run(&args, "");
    assert_eq!(exit_code(&output), 6);
    let requests = fake.requests();
    let operation =
        request_header(&requests[2], "poplarknot-operation").expect("the request has an operation");
    assert!(stderr(&output).contains(operation), "{}", stderr(&output));
    assert!(requests[0]
        .starts_with("DELETE /v1/records/service/cells?amends=4&confirm=capacity HTTP/1.1\r\n"));
}

/// Each command sends the request that its arguments name, and never prints the token.
#[test]
fn record_and_audit_send_the_requests_that_their_arguments_name() {
    let cases: [(&[&str], &str); 5] = [
        (&["record", "list"], "GET /v1/records HTTP"),
        (
            &["record", "list", "pool"],
            "GET /v1/records?kind=pool HTTP",
        ),
        (
            &["record", "show", "service/cells"],
            "GET /v1/records/service/cells HTTP",
        ),
        (
            &["record", "in-force", "pool/left"],
            "GET /v1/records/pool/left/in-force HTTP",
        ),
        (
            &[
                "audit",
                "--record",
                "pool/left",
                "--from",
                "1",
                "--until",
                "2",
                "--after",
                "0-f",
            ],
            "GET /v1/audit?record=pool/left&from=1&to=2&after=0-f HTTP",
        ),
    ];
    for (args, expected) in cases {
        let fake = FakeInstance::new([Action::Answer(403, "the token is not known")]);
        let args = [args, &["--to", &fake.address]].concat();
        let output = run(&args, "");
        assert_eq!(exit_code(&output), 1, "{args:?}");
        let message = stderr(&output);
        assert!(message.contains("403: the token is not known"), "{message}");
        assert!(!message.contains(TOKEN), "the token is shown: {message}");
        let request = fake.requests().remove(0);
        assert!(request.starts_with(expected), "{request}");
    }
}

#[test]
fn every_reason_has_the_status_that_the_interface_documents() {
    let statuses = [
        (Reason::Done, 200),
        (Reason::Invalid, 400),
        (Reason::NoService, 404),
        (Reason::Incomplete, 408),
        (Reason::Conflict, 409),
        (Reason::Cancelled, 409),
        (Reason::Forgotten, 410),
        (Reason::RangeClosed, 410),
        (Reason::Impossible, 422),
        (Reason::Busy, 429),
        (Reason::Running, 202),
        (Reason::TooLarge, 413),
        (Reason::TaskFailed, 502),
        (Reason::NoEndpoint, 503),
        (Reason::Store, 503),
        (Reason::Draining, 503),
        (Reason::NotReady, 503),
        (Reason::Schema, 503),
        (Reason::OwnerGone, 504),
        (Reason::Lost, 504),
        (Reason::Deadline, 504),
    ];
    let interface = include_str!("../docs/API.md");
    for (reason, expected) in statuses {
        assert_eq!(status::for_reason(reason), expected, "{reason}");
        let row = format!("| `{reason}` | {expected} |");
        assert!(interface.contains(&row), "{row}");
    }
}

#[test]
fn metrics_show_what_was_counted_and_are_documented() {
    let metrics = Metrics::new();
    metrics.count_answer(Outcome::NotRun, Reason::Busy, Class::Once);
    metrics.observe_job(Span::millis(51), Span::millis(50));
    metrics.count_start();
    metrics.count_message(Message::ListRead);
    metrics.set_gauges(Gauges {
        waiting: 3,
        ..Gauges::default()
    });
    let text = metrics.render().expect("text takes any metric");
    let expected = [
        r#"poplarknot_requests_total{outcome="not-run",class="once"} 1"#,
        r#"poplarknot_refusals_total{reason="busy"} 1"#,
        r#"poplarknot_response_ratio_bucket{le="1.01"} 0"#,
        r#"poplarknot_response_ratio_bucket{le="1.02"} 1"#,
        "poplarknot_task_starts_total 1",
        r#"poplarknot_messages_total{kind="list-read"} 1"#,
        r#"poplarknot_messages_total{kind="start"} 0"#,
        "poplarknot_tasks_waiting 3",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    let interface = include_str!("../docs/API.md");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for line in types {
        let name = line.split(' ').next().expect("a type has a name");
        assert!(interface.contains(&format!("| `{name}")), "{name}");
    }
}

/// Counters are found by the kind's discriminant: another order of `ALL` would count under a wrong label.
#[test]
fn message_kinds_are_counted_each_in_its_own_place() {
    for (i, kind) in Message::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, i, "{kind}");
    }
}
