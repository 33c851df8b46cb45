//! Callers: connections that are kept open, jobs, and the same work sent straight to the workers.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use poplarknot::{
    endpoint::wire::{
        Reply,
        Start, //
    },
    prelude::*, //
    table::wire::Worker as Entry,
};
use serde_json::{
    json,
    Value, //
};
use tokio::task::JoinSet;

use crate::{
    report::Spread,
    support::{
        client::{
            Client,
            Headers,
            Response, //
        },
        cluster,
        Result, //
    },
    trace,
};

/// How long an idle connection is used again: an instance closes those that stay silent.
const TRUST: Duration = Duration::from_secs(2);

/// Open connections by address, as a caller keeps them, with when they were put back.
#[derive(Default)]
pub(crate) struct Pool(Mutex<HashMap<SocketAddr, Vec<(Instant, Client)>>>);

impl Pool {
    /// Posts JSON on a connection that is open, or on a new one.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: Headers<'_>,
        body: Vec<u8>,
    ) -> Result<Response> {
        let known = self.0.lock().unwrap().entry(address).or_default().pop();
        let mut client = match known {
            Some((since, client)) if since.elapsed() < TRUST => client,
            _ => Client::connect(address).await?,
        };
        let answer = client
            .send(hyper::Method::POST, path, headers, body)
            .await?;
        let mut idle = self.0.lock().unwrap();
        idle.entry(address)
            .or_default()
            .push((Instant::now(), client));
        Ok(answer)
    }
}

/// How a job comes by its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// An idempotent job without a key.
    Idempotent,
    /// A key that the caller takes from the instance's range.
    Range,
    /// No key: the instance takes one from its own range.
    NoKey,
    /// A key of the caller's own that was never sent before, and is said to be new.
    Fresh,
    /// The same, but not said to be new.
    Untold,
}

impl Way {
    /// The ways that are compared everywhere.
    pub(crate) const ALL: [Self; 4] = [Self::Idempotent, Self::Range, Self::NoKey, Self::Fresh];

    /// Returns the name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Range => "key from a range",
            Self::NoKey => "no key",
            Self::Fresh => "fresh key",
            Self::Untold => "fresh key, not called new",
        }
    }
}

/// Callers of some instances.
#[derive(Default)]
pub(crate) struct Callers {
    pool: Pool,
    serial: AtomicU64,
    ranges: Mutex<HashMap<SocketAddr, String>>,
}

impl Callers {
    fn next(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Submits a job, and returns its answer and how long that took.
    pub(crate) async fn submit(
        &self,
        to: SocketAddr,
        way: Way,
        mut job: Value,
    ) -> Result<(Answer, Duration)> {
        let class = if way == Way::Idempotent {
            "idempotent"
        } else {
            "once"
        };
        job["class"] = json!(class);
        if let Some(key) = self.key(to, way).await? {
            job["key"] = json!(key);
        }
        self.send(to, way == Way::Fresh, &job).await
    }

    /// Submits a job as it is, and returns its answer and how long that took.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        first: bool,
        job: &Value,
    ) -> Result<(Answer, Duration)> {
        let body = serde_json::to_vec(job)?;
        let first: Headers<'_> = match first {
            true => &[("poplarknot-first", "true")],
            false => &[],
        };
        let begin = Instant::now();
        let answer = self.pool.post(to, "/v1/jobs", first, body).await?;
        let took = begin.elapsed();
        if let Some(range) = answer.header("poplarknot-range") {
            self.ranges.lock().unwrap().insert(to, range.to_owned());
        }
        Ok((answer.answer()?, took))
    }

    /// Takes a key that was never used before, where this way has one.
    pub(crate) async fn key(&self, to: SocketAddr, way: Way) -> Result<Option<String>> {
        let suffix = format!("k-{}-{}", std::process::id(), self.next());
        match way {
            Way::Idempotent | Way::NoKey => Ok(None),
            Way::Fresh | Way::Untold => Ok(Some(suffix)),
            Way::Range => Ok(Some(format!("{}.{suffix}", self.range(to).await?))),
        }
    }

    async fn range(&self, to: SocketAddr) -> Result<String> {
        if let Some(range) = self.ranges.lock().unwrap().get(&to) {
            return Ok(range.clone());
        }
        let answer: Value = Client::connect(to).await?.get("/v1/range").await?.json()?;
        Ok(answer["range"].as_str().ok_or("no range")?.to_owned())
    }
}

/// Makes a job without a key, of tasks that sleep for so many milliseconds.
pub(crate) fn job(sleeps: impl IntoIterator<Item = u64>) -> Value {
    let mut job = cluster::job("m", sleeps);
    if let Some(fields) = job.as_object_mut() {
        fields.remove("key");
    }
    job
}

/// A job that is to be submitted at its time.
pub(crate) struct Arrival {
    /// When, after the beginning.
    pub(crate) at: Duration,
    /// What.
    pub(crate) job: Value,
    /// How long it takes at best, in milliseconds.
    pub(crate) ideal: f64,
    /// To which instance.
    pub(crate) to: SocketAddr,
    /// With which kind of claim.
    pub(crate) way: Way,
}

impl Arrival {
    /// Makes the arrival of a made-up job at one of the instances.
    pub(crate) fn of(job: &trace::Job, instances: &[SocketAddr], way: Way) -> Self {
        let mut body = self::job(job.sleeps.iter().copied());
        let tasks = body["tasks"].as_array_mut();
        for (task, declared) in tasks.into_iter().flatten().zip(&job.declared) {
            task["expected_ms"] = json!(declared);
        }
        Self {
            at: job.due(),
            job: body,
            ideal: job.ideal(),
            to: instances[job.from % instances.len()],
            way,
        }
    }
}

/// What became of many jobs.
#[derive(Default)]
pub(crate) struct Tally {
    /// How often each outcome came, with its reason.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Response times of complete jobs in milliseconds.
    pub(crate) times: Spread,
    /// Response times of complete jobs over the ideal.
    pub(crate) ratios: Spread,
    /// Response times of all others in milliseconds.
    pub(crate) others: Spread,
    /// Tasks submitted.
    pub(crate) tasks: u64,
    /// Jobs submitted.
    pub(crate) jobs: u64,
}

impl Tally {
    fn add(&mut self, answer: Result<(Answer, Duration)>, ideal: f64) {
        self.jobs += 1;
        let (word, took) = match answer {
            Ok((answer, took)) if answer.outcome == Outcome::Complete => {
                self.ratios.add(took.as_secs_f64() * 1e3 / ideal);
                self.times.time(took);
                ("complete".to_owned(), None)
            }
            Ok((answer, took)) => (
                format!("{} ({})", answer.outcome, answer.reason),
                Some(took),
            ),
            Err(_) => ("no answer".to_owned(), None),
        };
        if let Some(took) = took {
            self.others.time(took);
        }
        *self.outcomes.entry(word).or_default() += 1;
    }

    /// Returns the share of an outcome.
    pub(crate) fn share(&self, word: &str) -> f64 {
        let count = self.outcomes.iter().filter(|(w, _)| w.starts_with(word));
        count.map(|(_, n)| n).sum::<u64>() as f64 / self.jobs.max(1) as f64
    }

    /// Returns every outcome but the complete ones, in a few words.
    pub(crate) fn rest(&self) -> String {
        let rest = self.outcomes.iter().filter(|(word, _)| *word != "complete");
        let rest: Vec<_> = rest.map(|(word, n)| format!("{n} {word}")).collect();
        if rest.is_empty() {
            return "none".to_owned();
        }
        rest.join(", ")
    }
}

/// Submits jobs at their times, whether or not earlier ones have been answered.
pub(crate) async fn play(callers: &Arc<Callers>, arrivals: Vec<Arrival>) -> Tally {
    let begin = tokio::time::Instant::now();
    let mut tally = Tally::default();
    let mut out = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(begin + arrival.at).await;
        tally.tasks += arrival.job["tasks"].as_array().map_or(0, Vec::len) as u64;
        let callers = callers.clone();
        out.spawn(async move {
            let answer = callers.submit(arrival.to, arrival.way, arrival.job).await;
            (answer, arrival.ideal)
        });
        while let Some(Ok((answer, ideal))) = out.try_join_next() {
            tally.add(answer, ideal);
        }
    }
    while let Some(Ok((answer, ideal))) = out.join_next().await {
        tally.add(answer, ideal);
    }
    tally
}

/// A client that starts the tasks of its jobs itself, at the worker where it has the fewest.
pub(crate) struct Direct {
    pool: Pool,
    incarnation: Incarnation,
    serial: AtomicU64,
    workers: Vec<(SocketAddr, AtomicU64)>,
}

impl Direct {
    /// Makes a client of these workers.
    pub(crate) fn new(workers: &[Entry]) -> Result<Arc<Self>> {
        let address = |w: &Entry| Ok((w.address.parse()?, AtomicU64::new(0)));
        Ok(Arc::new(Self {
            pool: Pool::default(),
            incarnation: Incarnation::random(&mut rand::rng()),
            serial: AtomicU64::new(0),
            workers: workers.iter().map(address).collect::<Result<_>>()?,
        }))
    }

    /// Runs tasks that sleep for so many milliseconds, and returns how long all of them took.
    pub(crate) async fn run(self: &Arc<Self>, sleeps: &[u64]) -> Result<Duration> {
        let job = self.serial.fetch_add(1, Ordering::Relaxed);
        let begin = Instant::now();
        let tasks = sleeps.iter().enumerate();
        let tasks = tasks.map(|(i, sleep)| tokio::spawn(self.clone().start(job, i as u32, *sleep)));
        for task in tasks.collect::<Vec<_>>() {
            task.await??;
        }
        Ok(begin.elapsed())
    }

    async fn start(self: Arc<Self>, job: u64, task: u32, sleep: u64) -> Result {
        let payload = json!({"sleep_ms": sleep, "id": format!("d/{task}")});
        let start = Start {
            attempt: Attempt {
                incarnation: self.incarnation,
                job,
                task,
                number: 0,
            },
            service: cluster::SERVICE.parse()?,
            payload: serde_json::value::to_raw_value(&payload)?.into(),
            lease: Span::seconds(60),
        };
        let body = serde_json::to_vec(&start)?;
        let outstanding = |w: &&(SocketAddr, AtomicU64)| w.1.load(Ordering::Relaxed);
        let worker = self.workers.iter().min_by_key(outstanding);
        let (address, outstanding) = worker.ok_or("no worker")?;
        outstanding.fetch_add(1, Ordering::Relaxed);
        let answer = self.pool.post(*address, "/tasks", &[], body).await;
        outstanding.fetch_sub(1, Ordering::Relaxed);
        match answer?.json()? {
            Reply::Done { .. } => Ok(()),
            other => Err(format!("a task ended as {other:?}").into()),
        }
    }
}
