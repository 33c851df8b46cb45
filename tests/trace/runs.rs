//! Failed requests on real instances, walked from their ids to their causes by the log alone.

use std::{
    path::Path,
    process::Output, //
};

use super::{
    events,
    incidents::{
        self,
        Incident, //
    },
    stderr,
    stdout,
    trace, //
};
use crate::support::Result;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Traces an incident's job in the logs that its instances left.
fn story(incident: &Incident) -> Output {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut args = vec![incident.job.clone()];
    for log in &incident.logs {
        let path = folder.path().join(&log.instance);
        std::fs::write(&path, &log.text).expect("the log is written");
        args.push(path.to_string_lossy().into_owned());
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let output = trace(&args, b"");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    output
}

/// Checks that a story has some events in this order, whatever else it has between them.
#[track_caller]
fn assert_told(output: &Output, expected: &[&str]) {
    let events = events(output);
    let mut left = events.iter();
    for event in expected {
        let found = left.any(|told| told == event);
        assert!(found, "{event} of {expected:?} in {}", stdout(output));
    }
}

/// The instance that took the job in is killed. Its caller's connection breaks; two peers find it silent and stop what ran;
/// the caller comes again elsewhere and has its answer. The killed instance says nothing after the start.
#[tokio::test(flavor = "multi_thread")]
async fn lost_instance_is_told_by_its_peers() -> Result {
    let incident = incidents::lost_instance(program()).await?;
    assert_eq!(
        incident.response,
        "a broken connection, and 200 when it came again"
    );
    let output = story(&incident);
    let expected = [
        "job_accepted",
        "batch_sent",
        "task_started",
        "~member_lost",
        "job_accepted",
        "job_answered",
    ];
    assert_told(&output, &expected);
    assert_told(
        &output,
        &["task_started", "batch_abandoned", "job_accepted"],
    );
    assert!(stdout(&output).contains("member=instance-0"));
    Ok(())
}

/// The only endpoint dies with the job's tasks, and none is left to run them in their caller's time.
#[tokio::test(flavor = "multi_thread")]
async fn lost_endpoint_is_told_by_its_owner() -> Result {
    let incident = incidents::lost_endpoint(program()).await?;
    assert_eq!(incident.response, "504");
    let expected = [
        "job_accepted",
        "task_started",
        "~endpoint_silent",
        "run_gone",
        "batch_hopeless",
        "job_given_up",
        "job_answered",
    ];
    assert_told(&story(&incident), &expected);
    Ok(())
}

/// More jobs come than can be run in time; the last is refused at once, and the log says why.
#[tokio::test(flavor = "multi_thread")]
async fn overload_is_told_by_the_refusal() -> Result {
    let incident = incidents::overload(program()).await?;
    assert_eq!(incident.response, "503");
    let output = story(&incident);
    assert_told(&output, &["job_refused"]);
    assert!(stdout(&output).contains(r#"reason="it would end too late""#));
    Ok(())
}

/// The store falls silent after the job's shard was taken up; whether the job was stored is open when its caller's time is
/// gone.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_is_told_beside_the_request() -> Result {
    let incident = incidents::lost_store(program()).await?;
    assert_eq!(incident.response, "504");
    assert_told(
        &story(&incident),
        &["~shard_held", "~store_lost", "request_unanswered"],
    );
    Ok(())
}
