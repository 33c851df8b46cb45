//! Keys from an instance's own range, which it admits without a claim in the table.

use super::*;

/// Returns a job under a key of a range.
fn range_job(range: &str, name: &str) -> Value {
    with_field(new_job(name, [10]), "key", format!("{range}.{name}"))
}

/// Jobs under range keys must complete during a table outage, also when another instance forwards them to the owner. If
/// the owner is unreachable, the other instance must answer "unknown" and start nothing: only the owner knows the key.
#[tokio::test]
async fn range_keys_are_served_in_an_outage_but_only_by_their_owner() -> Result {
    let mut cluster = launch(cluster_builder()).await?;
    let range = fetch_range(&cluster.instances[0]).await?;
    cluster.platform.close().await;
    let (here, there, cut) = (
        range_job(&range, "a"),
        range_job(&range, "b"),
        range_job(&range, "c"),
    );
    for job in [&here, &there] {
        submit(&cluster, 1, job).await?.assert_complete(job);
        submit(&cluster, 0, job).await?.assert_complete(job);
    }
    for proxy in &mut cluster.proxies.peers {
        proxy.close().await;
    }
    let response = submit(&cluster, 1, &cut).await?;
    response.assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
    assert_start_counts(&cluster, &cut, 0);
    submit(&cluster, 0, &cut).await?.assert_complete(&cut);
    for proxy in &mut cluster.proxies.peers {
        proxy.reopen()?;
    }
    submit_until_complete(&cluster, 1, &cut).await?;
    for job in [&here, &there, &cut] {
        assert_start_counts(&cluster, job, 1);
    }
    Ok(())
}

/// No other incarnation may start a job under a range key whose owner was killed: its tasks may have run. The answer is
/// "unknown" at the surviving instance and at the restarted one.
#[tokio::test]
async fn the_range_of_a_killed_owner_starts_nothing() -> Result {
    let mut cluster = launch(cluster_builder()).await?;
    let range = fetch_range(&cluster.instances[0]).await?;
    let (ended, running, new) = (
        range_job(&range, "a"),
        range_job(&range, "b"),
        range_job(&range, "c"),
    );
    submit(&cluster, 0, &ended).await?.assert_complete(&ended);
    let mut slow = running;
    slow["tasks"][0]["payload"]["sleep_ms"] = json!(700);
    let caller = spawn_submit(&cluster, 1, &slow);
    wait_for_start(&cluster, &slow).await?;
    cluster.instances[0].kill().await?;
    // The broken connection ends the forwarded submission at once.
    caller
        .await??
        .assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
    cluster.restart(0).await?;
    cluster.instances[0].wait_until_ready().await?;
    for instance in [0, 1] {
        for job in [&ended, &slow, &new] {
            let response = submit(&cluster, instance, job).await?;
            response.assert_is(Outcome::Unknown, Reason::OwnerGone, 504);
        }
    }
    assert_start_counts(&cluster, &ended, 1);
    assert_start_counts(&cluster, &slow, 1);
    assert_start_counts(&cluster, &new, 0);
    Ok(())
}

/// A key must not run a second time after its answer was dropped to limit memory. Answers are dropped with their whole
/// range, which is closed before; keys of a closed range or of one that was never issued start nothing.
#[tokio::test]
async fn a_closed_range_admits_nothing() -> Result {
    let cluster = launch(cluster_builder().set("limits", "kept", "64KiB")).await?;
    let first = fetch_range(&cluster.instances[0]).await?;
    let (prefix, _) = first.rsplit_once('.').ok_or("no epoch")?;
    let unissued = range_job(&format!("{prefix}.99"), "unissued");
    let response = submit(&cluster, 0, &unissued).await?;
    response.assert_is(Outcome::NotRun, Reason::RangeClosed, 410);
    let (mut completed, mut first_range_reasons) = (Vec::new(), Vec::new());
    let mut current = first.clone();
    while first_range_reasons.last() != Some(&Reason::Forgotten) {
        let i = completed.len() + first_range_reasons.len();
        let new = range_job(&first, &format!("new-{i}"));
        let response = submit(&cluster, 0, &new).await?;
        let runs = usize::from(response.answer.reason == Reason::Done);
        assert_start_counts(&cluster, &new, runs);
        first_range_reasons.push(response.answer.reason);
        // The range in the last response may have closed since.
        let mut job = range_job(&current, &format!("used-{i}"));
        job["tasks"][0]["payload"]["bytes"] = json!(8_000);
        let response = submit(&cluster, 0, &job).await?;
        current.clone_from(&response.range);
        match response.answer.outcome {
            Outcome::Complete => completed.push(job),
            _ => response.assert_is(Outcome::NotRun, Reason::RangeClosed, 410),
        }
    }
    first_range_reasons.dedup();
    let order = [Reason::Done, Reason::RangeClosed, Reason::Forgotten];
    assert_eq!(first_range_reasons, order);
    for job in &completed {
        let response = submit(&cluster, 1, job).await?;
        match response.answer.outcome {
            Outcome::Complete => response.assert_complete(job),
            _ => response.assert_is(Outcome::Unknown, Reason::Forgotten, 410),
        }
        assert_start_counts(&cluster, job, 1);
    }
    Ok(())
}
