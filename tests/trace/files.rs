//! Traces from logs that the tests write.

use std::path::Path;

use serde_json::{
    json,
    Value, //
};
use tempfile::TempDir;

use super::{
    events,
    run_trace,
    stderr,
    stdout, //
};

const JOB: &str = "7239831d1d124ecb";
const OTHER_JOB: &str = "00000000000000aa";
/// The wall clock time of the job's first line, in milliseconds.
const START_MS: u64 = 1_796_252_887_123;

/// Returns a line of a log, written `after_ms` after the job's first one.
fn line(after_ms: i64, instance: &str, event: &str, fields: Value) -> String {
    let mut line = fields;
    line["time_ms"] = json!(START_MS.checked_add_signed(after_ms).unwrap());
    line["instance"] = json!(instance);
    line["event"] = json!(event);
    format!("{line}\n")
}

/// A temporary folder of logs.
struct LogFolder(TempDir);

impl LogFolder {
    fn new(logs: &[(&str, String)]) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        for (name, text) in logs {
            std::fs::write(folder.path().join(name), text).expect("the log is written");
        }
        Self(folder)
    }

    fn path(&self, name: &str) -> String {
        let path: &Path = self.0.path();
        path.join(name).to_string_lossy().into_owned()
    }
}

/// Returns the logs of an entry and two owners: the first owner stalls while it runs the job's task, and the entry declares
/// it lost and sends the task to the second one.
fn three_instances() -> LogFolder {
    let entry = [
        line(
            -40,
            "entry",
            "job_accepted",
            json!({"job": OTHER_JOB, "route": "r-1"}),
        ),
        line(
            0,
            "entry",
            "job_accepted",
            json!({"job": JOB, "route": "r-1", "until_ms": 8_000}),
        ),
        line(
            1,
            "entry",
            "batch_sent",
            json!({"job": JOB, "batch": 1, "owner": "first", "rack": "r0"}),
        ),
        line(
            700,
            "entry",
            "member_lost",
            json!({"member": "first", "silent_ms": 601}),
        ),
        line(
            701,
            "entry",
            "batch_lost",
            json!({"job": JOB, "batch": 1, "owner": "first"}),
        ),
        line(
            702,
            "entry",
            "batch_sent",
            json!({"job": JOB, "batch": 2, "owner": "second", "rack": "r0"}),
        ),
        line(
            990,
            "entry",
            "job_answered",
            json!({"job": JOB, "answer": "Completed", "age_ms": 990}),
        ),
    ];
    let first = [
        line(
            3,
            "first",
            "task_started",
            json!({"job": JOB, "task": format!("{JOB}.0.0"), "endpoint": "i-1"}),
        ),
        line(1_400, "first", "awoke", json!({})),
    ];
    let second = [
        line(
            640,
            "second",
            "member_lost",
            json!({"member": "first", "silent_ms": 604}),
        ),
        line(650, "second", "rack_claimed", json!({"rack": "6b1c"})),
        line(
            660,
            "second",
            "unknown_run_stopped",
            json!({"endpoint": "i-1", "task": format!("{JOB}.0.0"), "run": 1}),
        ),
        line(
            661,
            "second",
            "endpoint_silent",
            json!({"endpoint": "i-9", "reply": "Silent"}),
        ),
        line(
            705,
            "second",
            "task_started",
            json!({"job": JOB, "task": format!("{JOB}.0.0"), "endpoint": "i-2"}),
        ),
    ];
    LogFolder::new(&[
        ("entry.log", entry.concat()),
        ("first.log", first.concat()),
        ("second.log", second.concat()),
    ])
}

/// Lines of several instances must be in the order of time, whatever the order of the files. Lines about another job, or
/// about an endpoint that the job didn't use, must be left out.
#[test]
fn three_logs_make_one_trace_in_order() {
    let logs = three_instances();
    let [a, b, c] = ["second.log", "entry.log", "first.log"].map(|name| logs.path(name));
    let output = run_trace(&[JOB, &a, &b, &c], b"");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = [
        "job_accepted",
        "batch_sent",
        "task_started",
        "~member_lost",
        "~rack_claimed",
        "unknown_run_stopped",
        "~member_lost",
        "batch_lost",
        "batch_sent",
        "task_started",
        "job_answered",
        "~awoke",
    ];
    assert_eq!(events(&output), expected, "{}", stdout(&output));
    assert_eq!(stderr(&output), "");
    let text = stdout(&output);
    let head = format!("job {JOB}: lines 8, instances 3, first to last 990 ms");
    assert_eq!(text.lines().next(), Some(head.as_str()));
    let lost = text.lines().find(|line| line.contains("batch_lost"));
    let lost: Vec<&str> = lost
        .expect("the line is printed")
        .split_whitespace()
        .collect();
    let expected = [
        "+701",
        "ms",
        "2026-12-02",
        "23:08:07.824Z",
        "entry",
        "batch_lost",
        "batch=1",
        "owner=first",
    ];
    assert_eq!(lost, expected);
}

/// Context must be limited to 5 s before the job's first line and after its last one, or to the span given by `--around`.
#[test]
fn context_is_bounded_in_time() {
    let endpoint = json!({"endpoint": "i-1"});
    let log = [
        line(-60_000, "a", "started", json!({})),
        line(-5_001, "a", "store_lost", json!({})),
        line(-5_000, "a", "configuration_applied", json!({"version": 7})),
        line(
            0,
            "a",
            "task_started",
            json!({"job": JOB, "endpoint": "i-1"}),
        ),
        line(
            1_000,
            "a",
            "run_gone",
            json!({"job": JOB, "endpoint": "i-1"}),
        ),
        line(6_000, "b", "endpoint_gone", endpoint.clone()),
        line(6_001, "b", "endpoint_silent", endpoint),
    ];
    let logs = LogFolder::new(&[("log", log.concat())]);
    let log = logs.path("log");
    let expected = [
        "~configuration_applied",
        "task_started",
        "run_gone",
        "~endpoint_gone",
    ];
    assert_eq!(events(&run_trace(&[JOB, &log], b"")), expected);
    let none = run_trace(&["--around", "0", JOB, &log], b"");
    assert_eq!(events(&none), ["task_started", "run_gone"]);
    let wide = run_trace(&["--around", "60s", JOB, &log], b"");
    assert_eq!(events(&wide).len(), 7, "{}", stdout(&wide));
}

/// For a refused job, which reached no endpoint, lines about any endpoint or rack must be context, since they may hold the
/// cause. Other lines of instances that didn't handle the job must be left out.
#[test]
fn refused_job_shows_all_endpoints() {
    let log = [
        line(-900, "owner", "endpoint_silent", json!({"endpoint": "i-1"})),
        line(
            -800,
            "owner",
            "rack_yielded",
            json!({"rack": "6b1c", "reason": "moved"}),
        ),
        line(-700, "owner", "shard_held", json!({"shard": "shard-03"})),
        line(-600, "owner", "reloaded", json!({})),
        line(
            0,
            "entry",
            "job_refused",
            json!({"job": JOB, "reason": "it would end too late"}),
        ),
    ];
    let logs = LogFolder::new(&[("log", log.concat())]);
    let output = run_trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(
        events(&output),
        ["~endpoint_silent", "~rack_yielded", "job_refused"]
    );
    assert!(stdout(&output).contains(r#"reason="it would end too late""#));
}

/// For a stored job, a change of its shard's coordinator must be context, but not those of other shards.
#[test]
fn stored_job_shows_its_shard() {
    let job: poplarknot::dispatch::id::JobId = JOB.parse().expect("it is an identifier");
    let own = job.shard();
    let other = poplarknot::dispatch::id::ShardId((own.0 + 1) % 16);
    let log = [
        line(0, "a", "job_stored", json!({"job": JOB})),
        line(
            900,
            "b",
            "shard_held",
            json!({"shard": own.to_string(), "jobs": 3}),
        ),
        line(
            901,
            "b",
            "shard_held",
            json!({"shard": other.to_string(), "jobs": 4}),
        ),
        line(
            1_000,
            "b",
            "job_ended",
            json!({"job": JOB, "state": "completed"}),
        ),
    ];
    let logs = LogFolder::new(&[("log", log.concat())]);
    let output = run_trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(events(&output), ["job_stored", "~shard_held", "job_ended"]);
}

/// Incomplete lines, prefixes of log collectors, lines of other programs and binary data must not hide the readable lines.
/// Unreadable lines must be counted on standard error.
#[test]
fn unreadable_lines_are_skipped_and_counted() {
    let accepted = line(0, "a", "job_accepted", json!({"job": JOB}));
    let started = line(500, "a", "started", json!({"centre": "maardu"}));
    let mut log = Vec::new();
    log.extend(b"poplarknot: can't listen\n\n");
    log.extend(b"{\"level\": \"info\"}\n");
    log.extend(format!("Dec 02 23:08:07 host poplarknot[17]: {accepted}").bytes());
    // A killed process leaves an incomplete line, and its successor appends to it.
    log.extend(accepted[..40].bytes());
    log.extend(started.bytes());
    log.extend(b"{\"event\": \"\xff\xfe\"}\n");
    log.extend(vec![b'x'; 200_000]);
    log.push(b'\n');
    log.extend(line(900, "a", "job_answered", json!({"job": JOB})).bytes());
    log.extend(&accepted.as_bytes()[..50]);
    let logs = LogFolder::new(&[]);
    let path = logs.path("a.log");
    std::fs::write(&path, log).expect("the log is written");
    let output = run_trace(&[JOB, &path], b"");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        events(&output),
        ["job_accepted", "~started", "job_answered"]
    );
    let expected = format!("poplarknot: {path}: lines skipped as unreadable: 5\n");
    assert_eq!(stderr(&output), expected);
}

/// If no log names the job, the error must name the logs that were read and count the lines that are missing.
#[test]
fn unknown_job_is_an_error() {
    let log = [
        line(0, "a", "job_accepted", json!({"job": OTHER_JOB})),
        line(1_000, "a", "lines_left_out", json!({"count": 120})),
        "half a li".to_owned(),
    ];
    let logs = LogFolder::new(&[("a.log", log.concat()), ("b.log", String::new())]);
    let (a, b) = (logs.path("a.log"), logs.path("b.log"));
    let output = run_trace(&[JOB, &a, &b, "-"], b"");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    let expected = format!(
        "poplarknot: no line about job {JOB} in {a}, {b}, standard input; lines skipped as unreadable: 1, left out by \
         instances: 120\n"
    );
    assert_eq!(stderr(&output), expected);
}

/// A log that can't be opened must be an error: a trace without it may lack the cause of a failure.
#[test]
fn missing_log_is_an_error() {
    let logs = three_instances();
    let (existing, missing) = (logs.path("entry.log"), logs.path("fourth.log"));
    let output = run_trace(&[JOB, &existing, &missing], b"");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    assert!(stderr(&output).contains(&missing), "{}", stderr(&output));
}

/// Standard input can be read only once, and context may precede the job's first line. The trace must be the same as from
/// files, also if both are given.
#[test]
fn standard_input_gives_the_same_trace() {
    let logs = three_instances();
    let [a, b, c] = ["second.log", "first.log", "entry.log"].map(|name| logs.path(name));
    let files = run_trace(&[JOB, &a, &b, &c], b"");
    let texts = [&a, &b, &c].map(|path| std::fs::read(path).expect("it can be read"));
    let input = run_trace(&[JOB, "-"], &texts.concat());
    assert_eq!(stdout(&input), stdout(&files));
    let mixed = run_trace(&[JOB, &a, "-"], &texts[1..].concat());
    assert_eq!(stdout(&mixed), stdout(&files));
    assert_eq!(stderr(&mixed), "");
}

/// Dropped lines must be reported if they may be the job's, also for an instance that no line of the job names.
#[test]
fn dropped_lines_are_reported() {
    let log = [
        line(0, "a", "job_accepted", json!({"job": JOB})),
        line(877, "z", "lines_left_out", json!({"count": 311})),
        line(60_000, "z", "lines_left_out", json!({"count": 5})),
    ];
    let logs = LogFolder::new(&[("log", log.concat())]);
    let output = run_trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(events(&output), ["job_accepted", "~lines_left_out"]);
    let expected = "poplarknot: lines left out by z shortly before 2026-12-02 23:08:08.000Z: 311; some of this job may \
                    be missing\n";
    assert_eq!(stderr(&output), expected);
}

/// With `--json`, the lines must be printed in the order of time as they were written, without prefixes of log collectors.
#[test]
fn json_keeps_the_lines() {
    let with_spaces = format!(
        r#"{{"time_ms": {START_MS}, "instance": "a", "job": "{JOB}", "event": "job_accepted"}}"#
    );
    let lost = line(-5, "b", "member_lost", json!({"member": "a"}));
    let logs = LogFolder::new(&[
        ("a.log", format!("2026-12-02T23:08:07Z {with_spaces}\n")),
        ("b.log", lost.clone()),
    ]);
    let output = run_trace(
        &["--json", JOB, &logs.path("a.log"), &logs.path("b.log")],
        b"",
    );
    assert_eq!(stdout(&output), format!("{lost}{with_spaces}\n"));
}

/// Control characters in a text that a caller chose must not reach the terminal.
#[test]
fn control_characters_are_escaped() {
    let fault = "spec: \u{1b}[2J\u{9b}1m";
    let log = line(0, "a", "job_malformed", json!({"job": JOB, "fault": fault}));
    let logs = LogFolder::new(&[("log", log)]);
    let output = run_trace(&[JOB, &logs.path("log")], b"");
    assert!(
        stdout(&output).contains(r#"fault="spec: \u{1b}[2J\u{9b}1m""#),
        "{}",
        stdout(&output)
    );
}

/// Repeated context lines, as of an endpoint that refuses connections, must be printed once, with their count and the time
/// of the last. The job's own lines and the output of `--json` must not be folded.
#[test]
fn repeated_context_is_folded() {
    let silent = |after_ms| line(after_ms, "a", "endpoint_silent", json!({"endpoint": "i-1"}));
    let start = |after_ms| {
        line(
            after_ms,
            "a",
            "task_started",
            json!({"job": JOB, "endpoint": "i-1"}),
        )
    };
    let log = [
        start(0),
        start(0),
        silent(5),
        silent(6),
        silent(9),
        start(10),
        silent(11),
    ];
    let logs = LogFolder::new(&[("log", log.concat())]);
    let output = run_trace(&[JOB, &logs.path("log")], b"");
    let expected = [
        "task_started",
        "task_started",
        "~endpoint_silent",
        "task_started",
        "~endpoint_silent",
    ];
    assert_eq!(events(&output), expected);
    let folded: Vec<String> = stdout(&output).lines().skip(3).map(str::to_owned).collect();
    assert!(
        folded[0].ends_with("endpoint=i-1  (3 times until +9 ms)"),
        "{folded:?}"
    );
    assert!(folded[2].ends_with("endpoint=i-1"), "{folded:?}");
    let raw = run_trace(&["--json", JOB, &logs.path("log")], b"");
    assert_eq!(stdout(&raw), log.concat());
}
