//! Answers that come late, twice and out of order, from workers and between instances.

use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use super::*;

/// Delays every path by its own time, so that answers overtake each other.
fn delay(cluster: &Cluster, random: &mut SmallRng) {
    let proxies = &cluster.proxies;
    for proxy in proxies.workers.iter().chain(&proxies.peers) {
        let mut draw = || Duration::from_millis(random.random_range(0..150));
        proxy.set_mode(Mode::Delay {
            up: draw(),
            down: draw(),
        });
    }
}

/// Every caller sees the whole answer to its own request, in the order of its tasks. Answers of workers are late
/// enough to be looked up as well, so that most ends are reported twice, in either order; answers between instances
/// overtake each other on delayed connections. Each end is taken once, by the attempt that it names, and each
/// return by the id of its call.
#[tokio::test]
async fn each_caller_gets_its_own_answer() -> Result {
    let cluster = launch(cluster().instances(3).workers(4)).await?;
    let random = &mut SmallRng::seed_from_u64(5);
    let first = job("first", [10]);
    let range = submit(&cluster, 0, &first).await?.range;
    delay(&cluster, random);
    let jobs: Vec<_> = (0..60)
        .map(|i| {
            let sleeps: Vec<_> = (0..3).map(|_| random.random_range(1..120)).collect();
            let name = format!("own-{i}");
            let key = if i % 2 == 0 {
                name.clone()
            } else {
                format!("{range}.{i}")
            };
            let class = ["once", "non-idempotent", "idempotent"][i % 3];
            with(with(job(&name, sleeps), "key", key), "class", class)
        })
        .collect();
    let cluster = &cluster;
    let everywhere = jobs.iter().enumerate().flat_map(|(i, job)| {
        let twice = if i % 3 == 2 { 1 } else { 2 };
        (0..twice).map(move |again| (job, (i + again) % 3))
    });
    let calls = everywhere.map(|(job, instance)| async move {
        Result::Ok((job, submit(cluster, instance, job).await?))
    });
    for (job, told) in try_join_all(calls).await? {
        told.completes(job);
    }
    for job in jobs.iter().filter(|job| job["class"] != "idempotent") {
        started_each(cluster, job, 1);
    }
    let looks: u64 = cluster
        .workers
        .iter()
        .map(|worker| worker.counters().looks)
        .sum();
    assert!(looks > 0, "no answer was late enough to be looked up");
    Ok(())
}
