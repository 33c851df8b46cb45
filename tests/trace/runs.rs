//! Traces of failed requests on real instances: the logs alone must show the cause.

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
    run_trace,
    stderr,
    stdout, //
};
use crate::support::Result;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Runs `poplarknot trace` for an incident's job on the logs of its instances.
fn trace_incident(incident: &Incident) -> Output {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut args = vec![incident.job.clone()];
    for log in &incident.logs {
        let path = folder.path().join(&log.instance);
        std::fs::write(&path, &log.text).expect("the log is written");
        args.push(path.to_string_lossy().into_owned());
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let output = run_trace(&args, b"");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    output
}

/// Asserts that a printed trace has the expected events in this order, with any others between them.
#[track_caller]
fn assert_events_in_order(output: &Output, expected: &[&str]) {
    let events = events(output);
    let mut remaining = events.iter();
    for event in expected {
        let found = remaining.any(|printed| printed == event);
        assert!(
            found,
            "{event} of {expected:?} is missing or out of order in {}",
            stdout(output)
        );
    }
}

/// A killed instance logs nothing about its failure: the logs of its peers must show that they lost it, abandoned its batch
/// and answered the caller's retry.
#[tokio::test(flavor = "multi_thread")]
async fn logs_of_peers_show_a_lost_instance() -> Result {
    let incident = incidents::lose_instance(program()).await?;
    assert_eq!(
        incident.response,
        "a broken connection, and 200 on the retry"
    );
    let output = trace_incident(&incident);
    let expected = [
        "job_accepted",
        "batch_sent",
        "task_started",
        "~member_lost",
        "job_accepted",
        "job_answered",
    ];
    assert_events_in_order(&output, &expected);
    assert_events_in_order(
        &output,
        &["task_started", "batch_abandoned", "job_accepted"],
    );
    assert!(stdout(&output).contains("member=instance-0"));
    Ok(())
}

/// The only endpoint dies while it runs the job's tasks: the owner's log must show why the job wasn't done in time.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_the_owner_shows_a_lost_endpoint() -> Result {
    let incident = incidents::lose_endpoint(program()).await?;
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
    assert_events_in_order(&trace_incident(&incident), &expected);
    Ok(())
}

/// Under overload, a job that can't end in time is refused: the log must show the reason.
#[tokio::test(flavor = "multi_thread")]
async fn log_shows_the_reason_for_a_refusal() -> Result {
    let incident = incidents::overload(program()).await?;
    assert_eq!(incident.response, "503");
    let output = trace_incident(&incident);
    assert_events_in_order(&output, &["job_refused"]);
    assert!(stdout(&output).contains(r#"reason="it would end too late""#));
    Ok(())
}

/// The store stops answering while the job is stored: the log must show this as the cause of the timeout.
#[tokio::test(flavor = "multi_thread")]
async fn log_shows_a_lost_store_as_the_cause() -> Result {
    let incident = incidents::lose_store(program()).await?;
    assert_eq!(incident.response, "504");
    assert_events_in_order(
        &trace_incident(&incident),
        &["~shard_held", "~store_lost", "request_unanswered"],
    );
    Ok(())
}
