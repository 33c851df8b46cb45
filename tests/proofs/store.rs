//! The platform's table loses answers, writes late, is slow, is down or hangs.

use super::*;

/// Checks that a refusal tells when to come back.
fn refused(told: &Told, outcome: Outcome) {
    told.is(outcome, Reason::Store, 503);
    assert!(told.answer.retry_after.is_some(), "{told:?}");
}

/// The caller sees a complete answer although the answer to the claim never came. The claim took effect before
/// its answer was lost. The instance reads the row back and knows its own claim by the nonce, so it neither
/// refuses the job nor runs it under a second claim.
#[tokio::test]
async fn a_lost_answer_to_a_claim_is_read_back() -> Result {
    let cluster = launch(cluster()).await?;
    for i in 0..4 {
        let job = job(&format!("lost-{i}"), [10]);
        cluster.platform.update_faults(|f| f.dropped_answers = 1);
        submit(&cluster, 0, &job).await?.completes(&job);
        submit(&cluster, 1, &job).await?.completes(&job);
        started_each(&cluster, &job, 1);
    }
    assert!(
        cluster.instances[0].log().contains("E010"),
        "no claim was unsettled"
    );
    Ok(())
}

/// The caller sees a complete answer although its claim is written long after the instance gave up on it. The
/// instance finds no row and inserts the same claim again, and the late write then fails on its condition.
#[tokio::test]
async fn a_claim_that_lands_late_changes_nothing() -> Result {
    let cluster = launch(cluster()).await?;
    let job = job("late", [10]);
    let lateness = Duration::from_millis(900);
    cluster
        .platform
        .update_faults(|f| (f.late_commits, f.commit_delay) = (1, lateness));
    submit(&cluster, 0, &job).await?.completes(&job);
    sleep(lateness).await;
    for instance in [0, 1] {
        submit(&cluster, instance, &job).await?.completes(&job);
    }
    started_each(&cluster, &job, 1);
    Ok(())
}

/// The caller sees "not run" when its deadline passes before the claim is settled, and then the write lands
/// after all. The claim now stands in the table without a job. It has started nothing by itself, and a
/// resubmission at another instance leads to the owner, which knows the nonce and runs the job once.
#[tokio::test]
async fn a_claim_that_lands_after_the_refusal_starts_nothing() -> Result {
    let cluster = launch(cluster()).await?;
    let job = with(job("after", [10]), "deadline_ms", 500);
    let late = Duration::from_millis(1_500);
    cluster
        .platform
        .update_faults(|f| (f.late_commits, f.commit_delay) = (9, late));
    let told = ask(cluster.instances[0].callers, &job, FIRST).await?;
    refused(&told, Outcome::NotRun);
    cluster.platform.update_faults(|f| f.late_commits = 0);
    wait_until("the claim lands", || async {
        cluster.platform.row("claim/risk/after")
    })
    .await?;
    started_each(&cluster, &job, 0);
    complete(&cluster, 1, &job).await?;
    started_each(&cluster, &job, 1);
    Ok(())
}

/// Jobs that need no claim, each under its name: idempotent, with a key of the instance's range, without a key.
fn unclaimed(name: &str, range: &str) -> [Value; 3] {
    [
        with(
            job(&format!("{name}-idempotent"), [10]),
            "class",
            "idempotent",
        ),
        with(
            job(&format!("{name}-range"), [10]),
            "key",
            format!("{range}.{name}"),
        ),
        with(job(&format!("{name}-keyless"), [10]), "key", Value::Null),
    ]
}

/// Checks what is served and what is refused while the table doesn't answer, and that nothing refused ran.
async fn survive(cluster: &Cluster, name: &str) -> Result<[Value; 2]> {
    let callers = cluster.instances[0].callers;
    let (new, old) = (
        job(&format!("{name}-new"), [10]),
        job(&format!("{name}-old"), [10]),
    );
    refused(&ask(callers, &new, FIRST).await?, Outcome::NotRun);
    let told = submit(cluster, 0, &old).await?;
    refused(&told, Outcome::Unknown);
    for job in unclaimed(name, &told.range) {
        submit(cluster, 0, &job).await?.completes(&job);
        started_each(cluster, &job, 1);
    }
    for job in [&new, &old] {
        started_each(cluster, job, 0);
    }
    Ok([new, old])
}

/// Checks that the refused jobs run once, submitted again at both instances when the table is back.
async fn recover(cluster: &Cluster, refused: &[Value]) -> Result {
    for job in refused {
        complete(cluster, 1, job).await?;
        complete(cluster, 0, job).await?;
        started_each(cluster, job, 1);
    }
    Ok(())
}

/// The caller sees a refusal at once for a key of its own choice: "not run" where it called the key new, and
/// "unknown" where it did not, since an earlier copy may have run elsewhere. Everything that needs no claim is
/// served as ever. After the outage the same keys run once.
#[tokio::test]
async fn an_outage_refuses_only_what_needs_a_claim() -> Result {
    let cluster = launch(cluster()).await?;
    cluster.platform.take_down().await;
    let down = survive(&cluster, "down").await?;
    cluster.platform.bring_up()?;
    recover(&cluster, &down).await?;
    cluster.platform.update_faults(|f| f.unavailable = true);
    let unavailable = survive(&cluster, "unavailable").await?;
    cluster.platform.update_faults(|f| f.unavailable = false);
    recover(&cluster, &unavailable).await
}

/// The caller sees the same refusals soon from a table that takes requests and answers none, or answers far too
/// late. The first claims time out; that they may have landed keeps the instance from running them under
/// another claim, but must not hold their callers until the deadline.
#[tokio::test]
async fn a_table_that_hangs_refuses_soon() -> Result {
    let cluster = launch(cluster()).await?;
    cluster.platform.update_faults(|f| f.hang = true);
    let hung = survive(&cluster, "hung").await?;
    cluster.platform.update_faults(|f| f.hang = false);
    recover(&cluster, &hung).await?;
    cluster
        .platform
        .update_faults(|f| f.delay = Duration::from_secs(2));
    let slow = survive(&cluster, "slow").await?;
    cluster.platform.update_faults(|f| f.delay = Duration::ZERO);
    recover(&cluster, &slow).await
}

/// The caller sees complete answers while the table is slow within its timeout.
#[tokio::test]
async fn a_slow_table_costs_only_time() -> Result {
    let cluster = launch(cluster()).await?;
    cluster
        .platform
        .update_faults(|f| f.delay = Duration::from_millis(150));
    let job = job("slow", [10, 10]);
    for instance in [0, 1] {
        submit(&cluster, instance, &job).await?.completes(&job);
    }
    started_each(&cluster, &job, 1);
    Ok(())
}
