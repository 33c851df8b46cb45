//! An instance's log loses lines, and never requests, when nobody takes what it writes.

#[path = "platform/fleet.rs"]
#[allow(dead_code)] // The platform's own tests use the rest.
mod fleet;
#[path = "platform/runner.rs"]
#[allow(dead_code)]
mod runner;
#[path = "platform/store.rs"]
#[allow(dead_code)]
mod store;
mod support;

use std::{
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    os::unix::fs::{
        OpenOptionsExt,
        PermissionsExt, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use fleet::Fleet;
use nix::{
    libc::O_NONBLOCK,
    sys::signal::Signal, //
};
use serde_json::Value;
use support::{
    wait_until,
    Result,
    WAIT_TIMEOUT, //
};
use tempfile::TempDir;
use tokio::time::{
    sleep,
    timeout, //
};

const TASK: Duration = Duration::from_millis(20);
/// Longer than 64 batches of lines take that leave every 200 ms, which is what waits for a reader at the most.
const STALLED: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(50);

/// Writes a program that runs the instance with its standard output elsewhere.
fn redirected(folder: &TempDir, to: &str) -> Result<PathBuf> {
    let path = folder.path().join("program");
    let real = env!("CARGO_BIN_EXE_poplarknot");
    let script = format!("#!/usr/bin/env bash\nexec '{real}' \"$@\" {to}\n");
    fs::write(&path, script)?;
    fs::set_permissions(&path, fs::Permissions::from_mode(0o700))?;
    Ok(path)
}

/// Makes a pipe with a name and fills it.
fn full_pipe(path: &Path) -> Result<File> {
    let made = std::process::Command::new("mkfifo").arg(path).status()?;
    assert!(made.success());
    let mut options = OpenOptions::new();
    options.read(true).write(true).custom_flags(O_NONBLOCK);
    let mut pipe = options.open(path)?;
    fill(&mut pipe)?;
    Ok(pipe)
}

fn fill(pipe: &mut File) -> Result {
    loop {
        match pipe.write(b"\n") {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error.into()),
        }
    }
}

/// Takes what is in a pipe.
fn take(pipe: &mut File) -> Result<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match pipe.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error.into()),
        }
    }
    Ok(String::from_utf8(bytes)?)
}

/// Hands jobs in one after the other for a while; returns how many, all of them complete.
async fn hand_in(fleet: &Fleet, span: Duration) -> Result<u64> {
    let begun = Instant::now();
    let mut jobs = 0;
    while begun.elapsed() < span {
        let answer = fleet.nodes[0].submit(0xf00 + jobs, 1, 20);
        let answer = timeout(WAIT_TIMEOUT, answer).await??;
        assert_eq!(answer.status, 200, "job {jobs}");
        jobs += 1;
        sleep(PAUSE).await;
    }
    Ok(jobs)
}

/// Returns how many lines an event wrote or would have written.
async fn counted(fleet: &Fleet, event: &str) -> Result<u64> {
    let metrics = fleet.nodes[0].metrics().await?;
    let name = format!("poplarknot_events_total{{kind=\"{event}\"}} ");
    let count = metrics.lines().find_map(|line| line.strip_prefix(&name));
    Ok(count.ok_or("no such counter")?.parse()?)
}

/// Whoever reads the log stands still: the pipe is full before the instance starts, and stays so until more lines wait than
/// are kept. Every job is answered all the while. Then the reader goes on: it gets the oldest lines, and is told how many are missing.
#[tokio::test(flavor = "multi_thread")]
async fn full_pipe_loses_lines_and_no_requests() -> Result {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("pipe");
    let mut pipe = full_pipe(&path)?;
    let program = redirected(&folder, &format!("1<>'{}'", path.display()))?;
    let mut fleet = Fleet::start(&program, 1, 1, TASK).await?;
    let jobs = hand_in(&fleet, STALLED).await?;
    assert!(jobs > 50, "only {jobs} jobs");
    assert_eq!(counted(&fleet, "job_answered").await?, jobs);

    let mut log = String::new();
    let begun = Instant::now();
    while !log.contains("lines_left_out") && begun.elapsed() < STALLED {
        log += &take(&mut pipe)?;
        // A line in a later second carries the count.
        hand_in(&fleet, PAUSE).await?;
    }
    let lines = log.lines().filter(|line| !line.is_empty());
    let lines: Vec<Value> = lines.filter_map(|l| serde_json::from_str(l).ok()).collect();
    let of = |event: &'static str| lines.iter().filter(move |line| line["event"] == event);
    assert_eq!(of("started").count(), 1);
    let told = of("lines_left_out").filter_map(|line| line["count"].as_u64());
    assert!(told.sum::<u64>() > 0, "{log}");
    assert!((of("job_answered").count() as u64) < counted(&fleet, "job_answered").await?);

    // A pipe that is full again holds up no drain.
    fill(&mut pipe)?;
    fleet.nodes[0].signal(Signal::SIGTERM)?;
    assert!(fleet.nodes[0].exit().await?.success());
    Ok(())
}

/// Whoever read the log is gone: each write fails. The instance goes on without a log, counts what it would have written, and
/// ends as ever.
#[tokio::test(flavor = "multi_thread")]
async fn closed_pipe_loses_lines_and_no_requests() -> Result {
    let folder = tempfile::tempdir()?;
    let program = redirected(&folder, "> >(exec true)")?;
    let mut fleet = Fleet::start(&program, 1, 1, TASK).await?;
    let jobs = hand_in(&fleet, Duration::from_secs(2)).await?;
    assert!(jobs > 5, "only {jobs} jobs");
    wait_until("the jobs are counted", || async {
        let answered = counted(&fleet, "job_answered").await.ok()?;
        (answered == jobs).then_some(())
    })
    .await?;
    fleet.nodes[0].signal(Signal::SIGTERM)?;
    assert!(fleet.nodes[0].exit().await?.success());
    Ok(())
}
