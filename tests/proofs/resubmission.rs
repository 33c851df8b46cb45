//! Resubmission of a job under the same key, at the same instance or at another one.

use super::*;

/// A resubmission at any instance must not start a task twice. It finds the claim in the table, and the claim's owner has it
/// wait for the running job or returns the stored answer.
#[tokio::test]
async fn a_resubmission_joins_the_job_or_gets_its_answer() -> Result {
    let cluster = launch(cluster_builder().instances(3)).await?;
    let job = new_job("join", [400, 600]);
    let first = spawn_submit(&cluster, 0, &job);
    wait_for_start(&cluster, &job).await?;
    let resubmissions: Vec<_> = (0..3).map(|i| spawn_submit(&cluster, i, &job)).collect();
    for response in resubmissions.into_iter().chain([first]) {
        response.await??.assert_complete(&job);
    }
    for instance in 0..3 {
        submit(&cluster, instance, &job)
            .await?
            .assert_complete(&job);
    }
    assert_start_counts(&cluster, &job, 1);
    Ok(())
}

/// A different body under a key that was used must be refused at every instance, instead of running or getting the answer
/// to another job. The claim has the digest of the body.
#[tokio::test]
async fn the_same_key_with_another_body_is_refused() -> Result {
    let cluster = launch(cluster_builder()).await?;
    let kept = new_job("digest", [10]);
    submit(&cluster, 0, &kept).await?.assert_complete(&kept);
    let other = with_field(new_job("other", [10]), "key", "digest");
    for instance in [0, 1] {
        let response = submit(&cluster, instance, &other).await?;
        response.assert_is(Outcome::NotRun, Reason::Conflict, 409);
    }
    assert_start_counts(&cluster, &kept, 1);
    assert_start_counts(&cluster, &other, 0);
    Ok(())
}

/// An instance must not run a job whose owner is paused, since the owner may resume it. It answers "unknown" once the
/// owner's heartbeats are missing.
#[tokio::test]
async fn a_paused_owner_is_not_replaced() -> Result {
    let cluster = launch(cluster_builder()).await?;
    let job = new_job("stopped", [700, 20]);
    let first = spawn_submit(&cluster, 0, &job);
    wait_for_start(&cluster, &job).await?;
    cluster.instances[0].pause()?;
    let response = submit(&cluster, 1, &job).await;
    cluster.instances[0].resume()?;
    response?.assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
    first.await??.assert_complete(&job);
    submit_until_complete(&cluster, 1, &job).await?;
    assert_start_counts(&cluster, &job, 1);
    Ok(())
}

/// After a crash of its owner, a job that had ended keeps its recorded answer, and one that was running is "unknown". No
/// instance starts it again: the claim names the former incarnation.
#[tokio::test]
async fn a_killed_owner_leaves_its_claims_and_outcomes() -> Result {
    let mut cluster = launch(cluster_builder()).await?;
    let (short, mut long, lost) = (
        new_job("short", [10]),
        new_job("long", [10]),
        new_job("lost", [700]),
    );
    long["tasks"][0]["payload"]["bytes"] = json!(40_000);
    for job in [&short, &long] {
        submit(&cluster, 0, job).await?.assert_complete(job);
    }
    wait_until("the outcomes are recorded", || async {
        (cluster.platform.rows("outcome/").len() == 2).then_some(())
    })
    .await?;
    let caller = spawn_submit(&cluster, 0, &lost);
    wait_for_start(&cluster, &lost).await?;
    cluster.instances[0].kill().await?;
    assert!(caller.await?.is_err());
    submit(&cluster, 1, &short).await?.assert_complete(&short);
    submit(&cluster, 1, &long).await?.assert_complete(&long);
    let response = submit(&cluster, 1, &lost).await?;
    response.assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
    cluster.restart(0).await?;
    for instance in &cluster.instances {
        instance.wait_until_ready().await?;
    }
    for instance in [0, 1] {
        let response = submit(&cluster, instance, &lost).await?;
        response.assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
        submit(&cluster, instance, &short)
            .await?
            .assert_complete(&short);
    }
    for job in [&short, &long, &lost] {
        assert_start_counts(&cluster, job, 1);
    }
    Ok(())
}

/// Simultaneous submissions at two instances must run the job once. Both insert a claim on condition that there is none, so
/// the table accepts only one.
#[tokio::test]
async fn simultaneous_submissions_run_a_job_once() -> Result {
    let cluster = launch(cluster_builder()).await?;
    let jobs: Vec<_> = (0..40)
        .map(|i| new_job(&format!("same-{i}"), [20]))
        .collect();
    let cluster = &cluster;
    let both = jobs.iter().flat_map(|job| [(job, 0), (job, 1)]);
    let calls = both.map(|(job, instance)| async move {
        Result::Ok((job, submit(cluster, instance, job).await?))
    });
    for (job, response) in try_join_all(calls).await? {
        response.assert_complete(job);
    }
    jobs.iter()
        .for_each(|job| assert_start_counts(cluster, job, 1));
    Ok(())
}

/// An owner that dropped a key from memory must not run its job a second time. The claim in the table has its incarnation
/// but another nonce, so it returns the recorded outcome.
#[tokio::test]
async fn a_key_dropped_from_memory_stays_claimed() -> Result {
    let cluster = launch(cluster_builder().set("limits", "kept", "64KiB")).await?;
    let first = new_job("dropped", [10]);
    submit(&cluster, 0, &first).await?.assert_complete(&first);
    let path = "/v1/jobs/risk/dropped";
    for i in 0.. {
        let mut filler = new_job(&format!("filler-{i}"), [1]);
        filler["tasks"][0]["payload"]["bytes"] = json!(15_000);
        submit(&cluster, 0, &filler).await?.assert_complete(&filler);
        let response = client::get(cluster.instances[0].caller_address, path).await?;
        if response.status == 410 {
            break;
        }
    }
    for instance in [0, 1] {
        submit_until_complete(&cluster, instance, &first).await?;
    }
    assert_start_counts(&cluster, &first, 1);
    Ok(())
}
