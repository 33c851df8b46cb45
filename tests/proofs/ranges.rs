//! Keys from an instance's own range, which it admits without the table.

use super::*;

/// Makes a job under a key of a range.
fn keyed(range: &str, name: &str) -> Value {
    with(job(name, [10]), "key", format!("{range}.{name}"))
}

/// The caller sees complete answers to range keys while the table is down, also through another instance, which
/// hands them to the owner. While the two are cut off from each other the other one says "unknown" and starts
/// nothing, since only the owner knows the key; the owner goes on serving it.
#[tokio::test]
async fn a_range_is_served_through_an_outage_and_a_cut() -> Result {
    let mut cluster = launch(cluster()).await?;
    let range = range(&cluster.instances[0]).await?;
    cluster.platform.take_down().await;
    let (here, there, cut) = (keyed(&range, "a"), keyed(&range, "b"), keyed(&range, "c"));
    for job in [&here, &there] {
        submit(&cluster, 1, job).await?.completes(job);
        submit(&cluster, 0, job).await?.completes(job);
    }
    for proxy in &mut cluster.proxies.peers {
        proxy.close().await;
    }
    let told = submit(&cluster, 1, &cut).await?;
    told.is(Outcome::Unknown, Reason::OwnerGone, 504);
    started_each(&cluster, &cut, 0);
    submit(&cluster, 0, &cut).await?.completes(&cut);
    for proxy in &mut cluster.proxies.peers {
        proxy.reopen()?;
    }
    complete(&cluster, 1, &cut).await?;
    for job in [&here, &there, &cut] {
        started_each(&cluster, job, 1);
    }
    Ok(())
}

/// The caller sees "unknown" for a key whose owner was killed, at a survivor and at the owner's next run, which
/// is another incarnation and knows nothing of the key. Neither of them starts the job.
#[tokio::test]
async fn a_range_ends_with_its_owner() -> Result {
    let mut cluster = launch(cluster()).await?;
    let range = range(&cluster.instances[0]).await?;
    let (ended, running, new) = (keyed(&range, "a"), keyed(&range, "b"), keyed(&range, "c"));
    submit(&cluster, 0, &ended).await?.completes(&ended);
    let mut slow = running;
    slow["tasks"][0]["payload"]["sleep_ms"] = json!(700);
    let caller = crate::send(&cluster, 1, &slow);
    started(&cluster, &slow).await?;
    cluster.instances[0].kill().await?;
    // The forwarded submission is answered for as soon as its connection is gone.
    caller.await??.is(Outcome::Unknown, Reason::OwnerGone, 504);
    cluster.restart(0).await?;
    cluster.instances[0].wait_ready().await?;
    for instance in [0, 1] {
        for job in [&ended, &slow, &new] {
            let told = submit(&cluster, instance, job).await?;
            told.is(Outcome::Unknown, Reason::OwnerGone, 504);
        }
    }
    started_each(&cluster, &ended, 1);
    started_each(&cluster, &slow, 1);
    started_each(&cluster, &new, 0);
    Ok(())
}

/// The caller sees "not run" for a key of a range that was never issued. Kept answers fill their bound then, so
/// that ranges close and are dropped. A key that was never used is refused, a used one gets its kept answer or
/// "unknown", and neither ever runs: what is dropped is dropped with its whole range, after the range closed.
#[tokio::test]
async fn a_closed_range_admits_nothing() -> Result {
    let cluster = launch(cluster().set("limits", "kept", "64KiB")).await?;
    let first = range(&cluster.instances[0]).await?;
    let (prefix, _) = first.rsplit_once('.').ok_or("no epoch")?;
    let unissued = keyed(&format!("{prefix}.99"), "unissued");
    let told = submit(&cluster, 0, &unissued).await?;
    told.is(Outcome::NotRun, Reason::RangeClosed, 410);
    let (mut used, mut told_of_first) = (Vec::new(), Vec::new());
    let mut current = first.clone();
    while told_of_first.last() != Some(&Reason::Forgotten) {
        let i = used.len() + told_of_first.len();
        let new = keyed(&first, &format!("new-{i}"));
        let told = submit(&cluster, 0, &new).await?;
        let runs = usize::from(told.answer.reason == Reason::Done);
        started_each(&cluster, &new, runs);
        told_of_first.push(told.answer.reason);
        // The range that is shown may be a moment old, and closed by now.
        let mut job = keyed(&current, &format!("used-{i}"));
        job["tasks"][0]["payload"]["bytes"] = json!(8_000);
        let told = submit(&cluster, 0, &job).await?;
        current.clone_from(&told.range);
        match told.answer.outcome {
            Outcome::Complete => used.push(job),
            _ => told.is(Outcome::NotRun, Reason::RangeClosed, 410),
        }
    }
    told_of_first.dedup();
    let order = [Reason::Done, Reason::RangeClosed, Reason::Forgotten];
    assert_eq!(told_of_first, order);
    for job in &used {
        let told = submit(&cluster, 1, job).await?;
        match told.answer.outcome {
            Outcome::Complete => told.completes(job),
            _ => told.is(Outcome::Unknown, Reason::Forgotten, 410),
        }
        started_each(&cluster, job, 1);
    }
    Ok(())
}
