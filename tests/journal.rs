//! An instance whose log isn't read may lose log lines, but no requests.

#[path = "platform/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
#[path = "platform/fleet.rs"]
#[allow(dead_code)] // The platform's own tests use the rest.
mod fleet;
#[path = "platform/store.rs"]
#[allow(dead_code)]
mod store;
mod support;

use std::{
    fs::{
        File,
        OpenOptions, //
    },
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    os::unix::fs::OpenOptionsExt,
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    }, //
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

const TASK_DURATION: Duration = Duration::from_millis(20);
/// Longer than it takes to fill the log's queue of 64 batches, with one batch each 200 ms.
const STALL_DURATION: Duration = Duration::from_secs(15);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Writes a program that runs the instance with the given shell redirection. Another process writes it: a process that this one starts
/// at that moment for another test would hold the file open for writing, and it couldn't be run.
fn write_redirecting_program(folder: &TempDir, redirection: &str) -> Result<PathBuf> {
    let path = folder.path().join("program");
    let real = env!("CARGO_BIN_EXE_poplarknot");
    let script = format!("#!/usr/bin/env bash\nexec '{real}' \"$@\" {redirection}\n");
    let write = "printf '%s' \"$1\" > \"$2\" && chmod 700 \"$2\"";
    let mut command = std::process::Command::new("sh");
    let status = command
        .args(["-c", write, "sh", &script])
        .arg(&path)
        .status()?;
    assert!(status.success());
    Ok(path)
}

/// Creates a named pipe and fills it.
fn create_full_pipe(path: &Path) -> Result<File> {
    let status = std::process::Command::new("mkfifo").arg(path).status()?;
    assert!(status.success());
    let mut options = OpenOptions::new();
    options.read(true).write(true).custom_flags(O_NONBLOCK);
    let mut pipe = options.open(path)?;
    fill_pipe(&mut pipe)?;
    Ok(pipe)
}

fn fill_pipe(pipe: &mut File) -> Result {
    loop {
        match pipe.write(b"\n") {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error.into()),
        }
    }
}

/// Reads what is in a pipe, without blocking.
fn read_pipe(pipe: &mut File) -> Result<String> {
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

/// Submits jobs one after the other for a span and checks that all complete. Returns their number.
async fn submit_jobs_for(fleet: &Fleet, span: Duration) -> Result<u64> {
    let start = Instant::now();
    let mut jobs = 0;
    while start.elapsed() < span {
        let answer = fleet.instances[0].submit(0xf00 + jobs, 1, 20);
        let answer = timeout(WAIT_TIMEOUT, answer).await??;
        assert_eq!(answer.status, 200, "job {jobs}");
        jobs += 1;
        sleep(SUBMIT_INTERVAL).await;
    }
    Ok(jobs)
}

/// Returns how many log lines of an event were written or left out.
async fn count_log_lines(fleet: &Fleet, event: &str) -> Result<u64> {
    let metrics = fleet.instances[0].metrics().await?;
    let name = format!("poplarknot_events_total{{kind=\"{event}\"}} ");
    let count = metrics.lines().find_map(|line| line.strip_prefix(&name));
    Ok(count.ok_or("no such counter")?.parse()?)
}

/// A reader that stalls until the log's queue is full must delay no request. Once it reads again, it gets the oldest
/// lines and the number of lines that were left out.
#[tokio::test(flavor = "multi_thread")]
async fn full_pipe_loses_lines_and_no_requests() -> Result {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("pipe");
    let mut pipe = create_full_pipe(&path)?;
    let program = write_redirecting_program(&folder, &format!("1<>'{}'", path.display()))?;
    let mut fleet = Fleet::start(&program, 1, 1, TASK_DURATION).await?;
    let jobs = submit_jobs_for(&fleet, STALL_DURATION).await?;
    assert!(jobs > 50, "only {jobs} jobs completed");
    assert_eq!(count_log_lines(&fleet, "job_answered").await?, jobs);

    let mut log = String::new();
    let start = Instant::now();
    while !log.contains("lines_left_out") && start.elapsed() < STALL_DURATION {
        log += &read_pipe(&mut pipe)?;
        // The number is logged with the first line of a later second.
        submit_jobs_for(&fleet, SUBMIT_INTERVAL).await?;
    }
    let lines = log.lines().filter(|line| !line.is_empty());
    let lines: Vec<Value> = lines.filter_map(|l| serde_json::from_str(l).ok()).collect();
    let lines_of = |event: &'static str| lines.iter().filter(move |line| line["event"] == event);
    assert_eq!(lines_of("started").count(), 1);
    let left_out = lines_of("lines_left_out").filter_map(|line| line["count"].as_u64());
    assert!(left_out.sum::<u64>() > 0, "{log}");
    assert!(
        (lines_of("job_answered").count() as u64) < count_log_lines(&fleet, "job_answered").await?
    );

    // A full pipe must not delay the drain.
    fill_pipe(&mut pipe)?;
    fleet.instances[0].signal(Signal::SIGTERM)?;
    assert!(fleet.instances[0].wait_for_exit().await?.success());
    Ok(())
}

/// A reader that has closed the pipe makes each write fail. The instance must run on without a log, count the lines,
/// and exit as usual.
#[tokio::test(flavor = "multi_thread")]
async fn closed_pipe_loses_lines_and_no_requests() -> Result {
    let folder = tempfile::tempdir()?;
    let program = write_redirecting_program(&folder, "> >(exec true)")?;
    let mut fleet = Fleet::start(&program, 1, 1, TASK_DURATION).await?;
    let jobs = submit_jobs_for(&fleet, Duration::from_secs(2)).await?;
    assert!(jobs > 5, "only {jobs} jobs completed");
    wait_until("the jobs are counted", || async {
        let answered = count_log_lines(&fleet, "job_answered").await.ok()?;
        (answered == jobs).then_some(())
    })
    .await?;
    fleet.instances[0].signal(Signal::SIGTERM)?;
    assert!(fleet.instances[0].wait_for_exit().await?.success());
    Ok(())
}
