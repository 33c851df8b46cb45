//! Logs that are written for the test.

use std::path::Path;

use serde_json::{
    json,
    Value, //
};
use tempfile::TempDir;

use super::{
    events,
    stderr,
    stdout,
    trace, //
};

const JOB: &str = "7239831d1d124ecb";
const OTHER: &str = "00000000000000aa";
/// When the job's first line was written.
const START: u64 = 1_796_252_887_123;

/// Writes a line of a log, at a time after the job's first one.
fn line(after: i64, instance: &str, event: &str, fields: Value) -> String {
    let mut line = fields;
    line["time_ms"] = json!(START.checked_add_signed(after).unwrap());
    line["instance"] = json!(instance);
    line["event"] = json!(event);
    format!("{line}\n")
}

/// A folder of logs.
struct Logs(TempDir);

impl Logs {
    fn new(logs: &[(&str, String)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
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

/// The entry of a job, its owner, and the owner of the rack after that.
///
/// The first owner stands still with the job's run; the entry gives it up and sends the task to the next one.
fn three() -> Logs {
    let entry = [
        line(
            -40,
            "entry",
            "job_accepted",
            json!({"job": OTHER, "route": "r-1"}),
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
    Logs::new(&[
        ("entry.log", entry.concat()),
        ("first.log", first.concat()),
        ("second.log", second.concat()),
    ])
}

/// The logs of three instances make one story in the order of time, whatever the order of the files. A silent endpoint
/// that the job never touched, and another job, have no place in it.
#[test]
fn three_logs_make_one_story_in_order() {
    let logs = three();
    let [a, b, c] = ["second.log", "entry.log", "first.log"].map(|name| logs.path(name));
    let output = trace(&[JOB, &a, &b, &c], b"");
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
    let story = stdout(&output);
    let head = format!("job {JOB}: lines 8, instances 3, first to last 990 ms");
    assert_eq!(story.lines().next(), Some(head.as_str()));
    let lost = story.lines().find(|line| line.contains("batch_lost"));
    let lost: Vec<&str> = lost.expect("it is told").split_whitespace().collect();
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

/// Context reaches five seconds before the job's first line and after its last one, to the millisecond, or as far as asked.
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
    let logs = Logs::new(&[("log", log.concat())]);
    let log = logs.path("log");
    let near = [
        "~configuration_applied",
        "task_started",
        "run_gone",
        "~endpoint_gone",
    ];
    assert_eq!(events(&trace(&[JOB, &log], b"")), near);
    let none = trace(&["--around", "0", JOB, &log], b"");
    assert_eq!(events(&none), ["task_started", "run_gone"]);
    let wide = trace(&["--around", "60s", JOB, &log], b"");
    assert_eq!(events(&wide).len(), 7, "{}", stdout(&wide));
}

/// A job that was refused reached no endpoint: whatever the endpoints and racks lacked at that time explains it, and for a
/// stored job who coordinates its shard. Lines of strangers that are about neither have no place in it.
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
    let logs = Logs::new(&[("log", log.concat())]);
    let output = trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(
        events(&output),
        ["~endpoint_silent", "~rack_yielded", "job_refused"]
    );
    assert!(stdout(&output).contains(r#"reason="it would end too late""#));
}

/// The story of a stored job shows who came to hold its shard, and no other shard; and who lost the store, also an instance that
/// no line of the job names, since it may coordinate the shard. A job that isn't stored has nothing to do with the store of others.
#[test]
fn stored_job_shows_its_shard() {
    let job: poplarknot::dispatch::id::JobId = JOB.parse().expect("it is one");
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
    let logs = Logs::new(&[("log", log.concat())]);
    let output = trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(events(&output), ["job_stored", "~shard_held", "job_ended"]);
}

/// Killed processes leave half lines, collectors put times before them, other programs write into the same file, and a
/// file may be no log at all. The story is told from what can be read, and the rest is counted, not passed over in silence.
#[test]
fn torn_and_foreign_lines_are_counted() {
    let accepted = line(0, "a", "job_accepted", json!({"job": JOB}));
    let started = line(500, "a", "started", json!({"centre": "maardu"}));
    let mut log = Vec::new();
    log.extend(b"poplarknot: can't listen\n\n");
    log.extend(b"{\"level\": \"info\"}\n");
    log.extend(format!("Dec 02 23:08:07 host poplarknot[17]: {accepted}").bytes());
    // The successor of a killed process writes on behind its half line.
    log.extend(accepted[..40].bytes());
    log.extend(started.bytes());
    log.extend(b"{\"event\": \"\xff\xfe\"}\n");
    log.extend(vec![b'x'; 200_000]);
    log.push(b'\n');
    log.extend(line(900, "a", "job_answered", json!({"job": JOB})).bytes());
    log.extend(&accepted.as_bytes()[..50]);
    let logs = Logs::new(&[]);
    let path = logs.path("a.log");
    std::fs::write(&path, log).expect("the log is written");
    let output = trace(&[JOB, &path], b"");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        events(&output),
        ["job_accepted", "~started", "job_answered"]
    );
    let expected = format!("poplarknot: {path}: lines skipped as unreadable: 5\n");
    assert_eq!(stderr(&output), expected);
}

/// Where no log names the job, the reader learns what was read, and what may have hidden it.
#[test]
fn unknown_job_is_an_error() {
    let log = [
        line(0, "a", "job_accepted", json!({"job": OTHER})),
        line(1_000, "a", "lines_left_out", json!({"count": 120})),
        "half a li".to_owned(),
    ];
    let logs = Logs::new(&[("a.log", log.concat()), ("b.log", String::new())]);
    let (a, b) = (logs.path("a.log"), logs.path("b.log"));
    let output = trace(&[JOB, &a, &b, "-"], b"");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    let expected = format!(
        "poplarknot: no line about job {JOB} in {a}, {b}, standard input; lines skipped as unreadable: 1, left out by \
         instances: 120\n"
    );
    assert_eq!(stderr(&output), expected);
}

/// A log that can't be opened is no shorter story: it may be the one with the cause.
#[test]
fn missing_log_is_an_error() {
    let logs = three();
    let (there, missing) = (logs.path("entry.log"), logs.path("fourth.log"));
    let output = trace(&[JOB, &there, &missing], b"");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    assert!(stderr(&output).contains(&missing), "{}", stderr(&output));
}

/// Standard input can be read once only, and context may come before the job's first line: the story is the same as that
/// from files, also beside a file.
#[test]
fn standard_input_tells_the_same_story() {
    let logs = three();
    let [a, b, c] = ["second.log", "first.log", "entry.log"].map(|name| logs.path(name));
    let files = trace(&[JOB, &a, &b, &c], b"");
    let texts = [&a, &b, &c].map(|path| std::fs::read(path).expect("it can be read"));
    let input = trace(&[JOB, "-"], &texts.concat());
    assert_eq!(stdout(&input), stdout(&files));
    let mixed = trace(&[JOB, &a, "-"], &texts[1..].concat());
    assert_eq!(stdout(&mixed), stdout(&files));
    assert_eq!(stderr(&mixed), "");
}

/// The log was thinned out while the job lived: its story may lack lines, also of an instance that no line of it names.
#[test]
fn thinned_logs_are_told() {
    let log = [
        line(0, "a", "job_accepted", json!({"job": JOB})),
        line(877, "z", "lines_left_out", json!({"count": 311})),
        line(60_000, "z", "lines_left_out", json!({"count": 5})),
    ];
    let logs = Logs::new(&[("log", log.concat())]);
    let output = trace(&[JOB, &logs.path("log")], b"");
    assert_eq!(events(&output), ["job_accepted", "~lines_left_out"]);
    let expected = "poplarknot: lines left out by z shortly before 2026-12-02 23:08:08.000Z: 311; some of this job may \
                    be missing\n";
    assert_eq!(stderr(&output), expected);
}

/// For other programs the lines come as they were written, in the same order, without what a collector put before them.
#[test]
fn json_keeps_the_lines() {
    let spaced = format!(
        r#"{{"time_ms": {START}, "instance": "a", "job": "{JOB}", "event": "job_accepted"}}"#
    );
    let lost = line(-5, "b", "member_lost", json!({"member": "a"}));
    let logs = Logs::new(&[
        ("a.log", format!("2026-12-02T23:08:07Z {spaced}\n")),
        ("b.log", lost.clone()),
    ]);
    let output = trace(
        &["--json", JOB, &logs.path("a.log"), &logs.path("b.log")],
        b"",
    );
    assert_eq!(stdout(&output), format!("{lost}{spaced}\n"));
}

/// Callers choose some of the texts in a log; their control characters don't reach the reader's terminal.
#[test]
fn control_characters_are_shown_not_sent() {
    let fault = "spec: \u{1b}[2J\u{9b}1m";
    let log = line(0, "a", "job_malformed", json!({"job": JOB, "fault": fault}));
    let logs = Logs::new(&[("log", log)]);
    let output = trace(&[JOB, &logs.path("log")], b"");
    assert!(
        stdout(&output).contains(r#"fault="spec: \u{1b}[2J\u{9b}1m""#),
        "{}",
        stdout(&output)
    );
}

/// An endpoint that refuses connections is tried over and over. Its lines are told once, with how many there were and until
/// when; the job's own lines are never folded, and as JSON nothing is.
#[test]
fn repeated_context_is_folded() {
    let silent = |after| line(after, "a", "endpoint_silent", json!({"endpoint": "i-1"}));
    let start = |after| {
        line(
            after,
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
    let logs = Logs::new(&[("log", log.concat())]);
    let output = trace(&[JOB, &logs.path("log")], b"");
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
    let raw = trace(&["--json", JOB, &logs.path("log")], b"");
    assert_eq!(stdout(&raw), log.concat());
}
