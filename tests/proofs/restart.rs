//! All instances restarted one after another under load.

use std::sync::{
    atomic::{
        AtomicBool,
        AtomicUsize,
        Ordering, //
    },
    Arc, Mutex,
};

use super::*;

/// What the callers share: where the instances listen, and whether to go on.
#[derive(Default)]
struct Load {
    callers: Mutex<Vec<SocketAddr>>,
    ended: AtomicBool,
    next: AtomicUsize,
}

impl Load {
    /// Submits a job at one instance after the other until it is complete, always under the same key, which the
    /// caller calls new until an answer is lost.
    async fn complete(&self, job: &Value, mut at: usize) -> Result {
        let lost = AtomicBool::new(false);
        let lost = &lost;
        wait_until("the job is complete", || {
            at += 1;
            let callers = self.callers.lock().expect("no caller panics").clone();
            let callers = callers[at % callers.len()];
            async move {
                let headers = if lost.load(Ordering::Acquire) {
                    &[]
                } else {
                    FIRST
                };
                let Ok(told) = ask(callers, job, headers).await else {
                    lost.store(true, Ordering::Release);
                    return None;
                };
                assert_ne!(told.answer.outcome, Outcome::Unknown, "{:?}", told.answer);
                (told.answer.outcome == Outcome::Complete).then(|| told.completes(job))
            }
        })
        .await
    }

    /// Submits job after job, and returns them.
    async fn call(self: Arc<Self>) -> Result<Vec<Value>> {
        let mut jobs = Vec::new();
        while !self.ended.load(Ordering::Acquire) {
            let number = self.next.fetch_add(1, Ordering::AcqRel);
            let job = job(&format!("restart-{number}"), [20, 40]);
            self.complete(&job, number).await?;
            jobs.push(job);
        }
        Ok(jobs)
    }
}

/// Callers keep submitting while every instance in turn is told to end and is started again. What is in progress is
/// answered by the instance that ends; what it refuses is proved not run and goes elsewhere under the same key. No
/// caller is left without its complete answer, none is told "unknown", and no task runs twice.
#[tokio::test]
async fn a_restart_of_all_instances_in_turn_loses_nothing() -> Result {
    let mut cluster = launch(cluster().instances(3)).await?;
    let load = Arc::new(Load::default());
    let show = |cluster: &Cluster| {
        let callers = cluster.instances.iter().map(|i| i.callers).collect();
        *load.callers.lock().expect("no caller panics") = callers;
    };
    show(&cluster);
    let calls: Vec<_> = (0..8).map(|_| tokio::spawn(load.clone().call())).collect();
    for i in 0..cluster.instances.len() {
        cluster.instances[i].stop()?;
        assert_eq!(cluster.instances[i].wait_exit().await?.code(), Some(0));
        cluster.restart(i).await?;
        cluster.instances[i].wait_ready().await?;
        show(&cluster);
    }
    load.ended.store(true, Ordering::Release);
    for call in calls {
        for job in call.await?? {
            started_each(&cluster, &job, 1);
        }
    }
    Ok(())
}
