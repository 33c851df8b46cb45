//! Two faults at once, drawn by a seeded generator: answers at the callers against starts at the workers.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use futures::stream::{
    self,
    TryStreamExt as _, //
};
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom as _,
    Rng as _,
    SeedableRng as _, //
};
use tokio::sync::Mutex;

use super::*;

/// Rounds, each with a seed and a cluster of its own.
const ROUNDS: u64 = 8;

/// Jobs in a round.
const JOBS: usize = 60;

/// Something that goes wrong for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    FreezeInstance,
    KillInstance,
    DrainInstance,
    KillWorker,
    FreezeWorker,
    SilenceWorkers,
    SwallowWorker,
    CutWorker,
    LeaveWorker,
    DelayPeers,
    CutPeers,
    SilencePeers,
    LoseClaims,
    DelayClaims,
    CutPlatform,
    HangPlatform,
    CancelJobs,
}

const FAULTS: [Fault; 17] = [
    Fault::FreezeInstance,
    Fault::KillInstance,
    Fault::DrainInstance,
    Fault::KillWorker,
    Fault::FreezeWorker,
    Fault::SilenceWorkers,
    Fault::SwallowWorker,
    Fault::CutWorker,
    Fault::LeaveWorker,
    Fault::DelayPeers,
    Fault::CutPeers,
    Fault::SilencePeers,
    Fault::LoseClaims,
    Fault::DelayClaims,
    Fault::CutPlatform,
    Fault::HangPlatform,
    Fault::CancelJobs,
];

impl Fault {
    /// Makes it happen. Whoever is hit by name is the first of its kind.
    async fn begin(self, cluster: &mut Cluster) -> Result {
        let (first, proxies) = (&cluster.instances[0], &mut cluster.proxies);
        match self {
            // It may be dead already.
            Self::FreezeInstance => first.pause().unwrap_or_default(),
            Self::KillInstance => cluster.instances[0].kill().await?,
            Self::DrainInstance => first.stop().unwrap_or_default(),
            Self::KillWorker => cluster.workers[0].kill().await,
            Self::FreezeWorker => cluster.workers[0].set_paused(true),
            Self::SilenceWorkers => proxies.workers.iter().for_each(|p| p.blackhole_open()),
            Self::SwallowWorker => proxies.workers[0].set_mode(Mode::DROP_ANSWERS),
            Self::CutWorker => proxies.workers[0].close().await,
            Self::LeaveWorker => cluster.workers[0].update_behaviour(|b| b.leaving = true),
            Self::DelayPeers => {
                let (up, down) = (Duration::from_millis(150), Duration::from_millis(90));
                proxies.peers[0].set_mode(Mode::Delay { up, down });
            }
            Self::CutPeers => proxies.peers[0].close().await,
            Self::SilencePeers => proxies.peers.iter().for_each(|p| p.blackhole_open()),
            Self::LoseClaims => cluster.platform.update_faults(|f| f.dropped_answers = 3),
            Self::DelayClaims => {
                let late = Duration::from_millis(700);
                cluster
                    .platform
                    .update_faults(|f| (f.late_commits, f.commit_delay) = (3, late));
            }
            Self::CutPlatform => {
                if let Some(proxy) = &mut proxies.platform {
                    proxy.close().await;
                }
            }
            Self::HangPlatform => cluster.platform.update_faults(|f| f.hang = true),
            Self::CancelJobs => {
                for i in (0..JOBS).step_by(3) {
                    let path = format!("/v1/jobs/risk/job-{i}");
                    let callers = cluster.instances[i % 3].callers;
                    tokio::spawn(async move { client::delete(callers, &path, &[]).await.ok() });
                }
            }
        }
        Ok(())
    }

    /// Lets it pass. What was killed stays dead.
    async fn end(self, cluster: &mut Cluster) -> Result {
        let proxies = &mut cluster.proxies;
        match self {
            Self::FreezeInstance => cluster.instances[0].resume().unwrap_or_default(),
            Self::FreezeWorker => cluster.workers[0].set_paused(false),
            Self::SwallowWorker => proxies.workers[0].set_mode(Mode::Pass),
            Self::DelayPeers => proxies.peers[0].set_mode(Mode::Pass),
            Self::CutWorker => proxies.workers[0].reopen()?,
            Self::CutPeers => proxies.peers[0].reopen()?,
            Self::CutPlatform => proxies.platform.iter_mut().try_for_each(|p| p.reopen())?,
            Self::HangPlatform => cluster.platform.update_faults(|f| f.hang = false),
            _ => {}
        }
        Ok(())
    }
}

/// A job, and every answer that its callers got.
struct Entry {
    job: Value,
    answers: Vec<Told>,
}

/// Makes the job of this number: any class, with a key of its own choice, a range key or none.
fn draw(ranges: &[String], i: usize, random: &mut SmallRng) -> Value {
    let tasks = random.random_range(1..4);
    let sleeps: Vec<_> = (0..tasks).map(|_| random.random_range(1..250)).collect();
    let class = ["once", "non-idempotent", "idempotent"][random.random_range(0..3)];
    let job = with(job(&format!("job-{i}"), sleeps), "class", class);
    match random.random_range(0..4) {
        0 => with(job, "key", Value::Null),
        1 => {
            let range = &ranges[random.random_range(0..ranges.len())];
            with(job, "key", format!("{range}.{i}"))
        }
        _ => job,
    }
}

/// Submits a job at an instance and, unless it was not run, again at the other two.
async fn submit_again(callers: [std::net::SocketAddr; 3], entry: Arc<Mutex<Entry>>) {
    let mut entry = entry.lock().await;
    let keyless = entry.job["key"].is_null();
    for (i, callers) in callers.into_iter().enumerate() {
        let headers = if i == 0 { FIRST } else { &[] };
        let told = ask(callers, &entry.job, headers).await;
        // A dead instance answers nothing; a keyless job can't be asked for again.
        let Ok(told) = told else {
            if keyless {
                return;
            }
            continue;
        };
        let over = told.answer.outcome == Outcome::NotRun || keyless;
        entry.answers.push(told);
        if over {
            return;
        }
    }
}

/// Checks the answers to a job against the starts of its tasks.
fn check(cluster: &Cluster, entry: &Entry, faults: &[Fault]) {
    let Entry { job, answers } = entry;
    let starts = counts(cluster, job);
    let all = |starts_allowed: fn(usize) -> bool| starts.iter().all(|n| starts_allowed(*n));
    let context = format!("{faults:?}\n{job}\nstarts {starts:?}\nanswers {answers:?}");
    let once = job["class"] != "idempotent";
    let killed = faults.contains(&Fault::KillInstance);
    assert!(!once || all(|n| n <= 1), "started twice: {context}");
    // A keyless job can't be asked for again. Its instance may have refused the connection, but only a kill may
    // have cut it off once it ran.
    let unanswered = answers.is_empty();
    assert!(!unanswered || job["key"].is_null(), "no answer: {context}");
    assert!(
        !unanswered || killed || all(|n| n == 0),
        "cut off: {context}"
    );
    for told in answers {
        match told.answer.outcome {
            Outcome::Complete => {
                told.completes(job);
                assert!(all(|n| n >= 1), "not complete: {context}");
            }
            // An idempotent job may run again elsewhere before or after a refusal.
            Outcome::NotRun => assert!(!once || all(|n| n == 0), "it ran: {context}"),
            Outcome::Failed | Outcome::Unknown => assert!(told.answer.results.is_empty()),
        }
    }
}

async fn round(seed: u64) -> Result {
    let random = &mut SmallRng::seed_from_u64(seed);
    let mut cluster = launch(cluster().instances(3).workers(3)).await?;
    let ranges = try_join_all(cluster.instances.iter().map(range)).await?;
    let faults: Vec<Fault> = FAULTS.choose_multiple(random, 2).copied().collect();
    let (mut entries, mut calls) = (Vec::new(), Vec::new());
    for i in 0..JOBS {
        let job = draw(&ranges, i, random);
        let answers = Vec::new();
        let entry = Arc::new(Mutex::new(Entry { job, answers }));
        let start = random.random_range(0..3);
        let order = [start, (start + 1) % 3, (start + 2) % 3];
        let callers = order.map(|i| cluster.instances[i].callers);
        calls.push(tokio::spawn(submit_again(callers, entry.clone())));
        entries.push(entry);
        match i {
            20 => faults[0].begin(&mut cluster).await?,
            30 => faults[1].begin(&mut cluster).await?,
            _ => sleep(Duration::from_millis(10)).await,
        }
    }
    sleep(Duration::from_millis(random.random_range(200..1_500))).await;
    for fault in &faults {
        fault.end(&mut cluster).await?;
    }
    for call in calls {
        call.await?;
    }
    let mut outcomes = BTreeMap::<_, usize>::new();
    for entry in entries {
        let entry = entry.lock().await;
        check(&cluster, &entry, &faults);
        let answers = entry.answers.iter();
        answers.for_each(|told| *outcomes.entry(told.answer.outcome).or_default() += 1);
    }
    println!("seed {seed}: {faults:?}: {outcomes:?}");
    Ok(())
}

/// Every caller sees an answer that the workers bear out, whichever two faults meet: complete means that every task
/// ran, once unless it is idempotent, and that these are its results; not run means that none started, to the end
/// of the round; what may not start twice never does, though every job is submitted at all instances in turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_faults_at_once() -> Result {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let rounds = (1..=seeds.unwrap_or(ROUNDS)).map(|seed| Ok(round(seed)));
    let rounds = stream::iter(rounds).try_buffer_unordered(ROUNDS as usize);
    rounds.try_collect().await
}
