//! A job that its caller believes lost is submitted again, at the same instance or at another.

use super::*;

/// The caller sees the same complete answer wherever and whenever it asks again. The first submission claims
/// the key in the table; later ones find the claim and ask its owner, which joins them to the running job or
/// gives the kept answer. So no task starts again.
#[tokio::test]
async fn a_resubmission_joins_the_job_or_gets_its_answer() -> Result {
    let cluster = launch(cluster().instances(3)).await?;
    let job = job("join", [400, 600]);
    let first = send(&cluster, 0, &job);
    started(&cluster, &job).await?;
    let again: Vec<_> = (0..3).map(|i| send(&cluster, i, &job)).collect();
    for told in again.into_iter().chain([first]) {
        told.await??.completes(&job);
    }
    for instance in 0..3 {
        submit(&cluster, instance, &job).await?.completes(&job);
    }
    started_each(&cluster, &job, 1);
    Ok(())
}

/// The caller sees a refusal for a body that differs from the one that its key was used with. The digest of the
/// body is part of the claim, so that the owner and every other instance can tell. The second body never runs.
#[tokio::test]
async fn the_same_key_with_another_body_is_refused() -> Result {
    let cluster = launch(cluster()).await?;
    let kept = job("digest", [10]);
    submit(&cluster, 0, &kept).await?.completes(&kept);
    let other = with(job("other", [10]), "key", "digest");
    for instance in [0, 1] {
        let told = submit(&cluster, instance, &other).await?;
        told.is(Outcome::NotRun, Reason::Conflict, 409);
    }
    started_each(&cluster, &kept, 1);
    started_each(&cluster, &other, 0);
    Ok(())
}

/// The caller sees "unknown" soon while the owner of its key stands still, and the whole answer once it is awake.
/// The other instance stops waiting for the owner when its heartbeats stay out, finds no recorded outcome, and
/// must not run the job itself: the owner may wake at any moment and go on.
#[tokio::test]
async fn a_stopped_owner_is_answered_for_and_never_replaced() -> Result {
    let cluster = launch(cluster()).await?;
    let job = job("stopped", [700, 20]);
    let first = send(&cluster, 0, &job);
    started(&cluster, &job).await?;
    cluster.instances[0].pause()?;
    let told = submit(&cluster, 1, &job).await;
    cluster.instances[0].resume()?;
    told?.is(Outcome::Unknown, Reason::OwnerGone, 504);
    first.await??.completes(&job);
    complete(&cluster, 1, &job).await?;
    started_each(&cluster, &job, 1);
    Ok(())
}

/// The caller sees the recorded answer of a job that had ended, short or long, and "unknown" for one that was
/// running, when it asks after the owner was killed. The claim stands in the table for good and names a run of
/// the owner that is over, so neither the survivor nor the owner's next run starts the job.
#[tokio::test]
async fn a_killed_owner_leaves_its_claims_and_outcomes() -> Result {
    let mut cluster = launch(cluster()).await?;
    let (short, mut long, lost) = (job("short", [10]), job("long", [10]), job("lost", [700]));
    long["tasks"][0]["payload"]["bytes"] = json!(40_000);
    for job in [&short, &long] {
        submit(&cluster, 0, job).await?.completes(job);
    }
    wait_until("the outcomes are recorded", || async {
        (cluster.platform.rows("outcome/").len() == 2).then_some(())
    })
    .await?;
    let caller = send(&cluster, 0, &lost);
    started(&cluster, &lost).await?;
    cluster.instances[0].kill().await?;
    assert!(caller.await?.is_err());
    submit(&cluster, 1, &short).await?.completes(&short);
    submit(&cluster, 1, &long).await?.completes(&long);
    let told = submit(&cluster, 1, &lost).await?;
    told.is(Outcome::Unknown, Reason::OwnerGone, 504);
    cluster.restart(0).await?;
    for instance in &cluster.instances {
        instance.wait_ready().await?;
    }
    for instance in [0, 1] {
        let told = submit(&cluster, instance, &lost).await?;
        told.is(Outcome::Unknown, Reason::OwnerGone, 504);
        submit(&cluster, instance, &short).await?.completes(&short);
    }
    for job in [&short, &long, &lost] {
        started_each(&cluster, job, 1);
    }
    Ok(())
}

/// The caller sees the same complete answer from two instances that it asks at the same moment. Both insert a
/// claim on the condition that there is none; the table lets one of them in, and the other finds its owner.
#[tokio::test]
async fn two_instances_at_the_same_moment_run_it_once() -> Result {
    let cluster = launch(cluster()).await?;
    let jobs: Vec<_> = (0..40).map(|i| job(&format!("same-{i}"), [20])).collect();
    let cluster = &cluster;
    let both = jobs.iter().flat_map(|job| [(job, 0), (job, 1)]);
    let calls = both.map(|(job, instance)| async move {
        Result::Ok((job, submit(cluster, instance, job).await?))
    });
    for (job, told) in try_join_all(calls).await? {
        told.completes(job);
    }
    jobs.iter().for_each(|job| started_each(cluster, job, 1));
    Ok(())
}

/// The caller sees the recorded answer of a job that its owner has dropped from memory, at the owner as elsewhere.
/// The owner inserts a claim again and finds one of its own incarnation. Its nonce is another, so that claim
/// belongs to an earlier job, which may have run: the outcome is read from the table and nothing is started.
#[tokio::test]
async fn a_key_dropped_from_memory_stays_claimed() -> Result {
    let cluster = launch(cluster().set("limits", "kept", "64KiB")).await?;
    let first = job("dropped", [10]);
    submit(&cluster, 0, &first).await?.completes(&first);
    let path = "/v1/jobs/risk/dropped";
    for i in 0.. {
        let mut filler = job(&format!("filler-{i}"), [1]);
        filler["tasks"][0]["payload"]["bytes"] = json!(15_000);
        submit(&cluster, 0, &filler).await?.completes(&filler);
        let known = client::get(cluster.instances[0].callers, path).await?;
        if known.status == 410 {
            break;
        }
    }
    for instance in [0, 1] {
        complete(&cluster, instance, &first).await?;
    }
    started_each(&cluster, &first, 1);
    Ok(())
}
