//! A rolling restart of all instances under load.

use std::sync::{
    atomic::{
        AtomicBool,
        AtomicUsize,
        Ordering, //
    },
    Arc,
    Mutex, //
};

use super::*;

/// State that the callers share.
#[derive(Default)]
struct Load {
    /// The addresses at which the instances serve callers.
    addresses: Mutex<Vec<SocketAddr>>,
    is_stopped: AtomicBool,
    next_job: AtomicUsize,
}

impl Load {
    /// Submits a job at the instances in turn until it is complete, always under the same key. The header declares the key
    /// new until an answer is lost.
    async fn submit_in_turn(&self, job: &Value, mut turn: usize) -> Result {
        let has_lost_answer = AtomicBool::new(false);
        let has_lost_answer = &has_lost_answer;
        wait_until("the job is complete", || {
            turn += 1;
            let addresses = self.addresses.lock().expect("no caller panics").clone();
            let address = addresses[turn % addresses.len()];
            async move {
                let headers = if has_lost_answer.load(Ordering::Acquire) {
                    &[]
                } else {
                    FIRST_SUBMISSION
                };
                let Ok(response) = post_job(address, job, headers).await else {
                    has_lost_answer.store(true, Ordering::Release);
                    return None;
                };
                assert_ne!(
                    response.answer.outcome,
                    Outcome::Unknown,
                    "{:?}",
                    response.answer
                );
                (response.answer.outcome == Outcome::Complete)
                    .then(|| response.assert_complete(job))
            }
        })
        .await
    }

    /// Submits one job after another until the load is stopped, and returns them.
    async fn submit_jobs(self: Arc<Self>) -> Result<Vec<Value>> {
        let mut jobs = Vec::new();
        while !self.is_stopped.load(Ordering::Acquire) {
            let number = self.next_job.fetch_add(1, Ordering::AcqRel);
            let job = new_job(&format!("restart-{number}"), [20, 40]);
            self.submit_in_turn(&job, number).await?;
            jobs.push(job);
        }
        Ok(jobs)
    }
}

/// A rolling restart must not cost a job: a draining instance completes its jobs and refuses others as "not run", so that
/// callers resubmit them elsewhere. No answer is "unknown", and no task starts twice.
#[tokio::test]
async fn a_restart_of_all_instances_in_turn_loses_nothing() -> Result {
    let mut cluster = launch(cluster_builder().instances(3)).await?;
    let load = Arc::new(Load::default());
    let publish_addresses = |cluster: &Cluster| {
        let addresses = cluster.instances.iter().map(|i| i.caller_address).collect();
        *load.addresses.lock().expect("no caller panics") = addresses;
    };
    publish_addresses(&cluster);
    let calls: Vec<_> = (0..8)
        .map(|_| tokio::spawn(load.clone().submit_jobs()))
        .collect();
    for i in 0..cluster.instances.len() {
        cluster.instances[i].stop()?;
        assert_eq!(cluster.instances[i].wait_for_exit().await?.code(), Some(0));
        cluster.restart(i).await?;
        cluster.instances[i].wait_until_ready().await?;
        publish_addresses(&cluster);
    }
    load.is_stopped.store(true, Ordering::Release);
    for call in calls {
        for job in call.await?? {
            assert_start_counts(&cluster, &job, 1);
        }
    }
    Ok(())
}
