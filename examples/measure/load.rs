//! Clients that submit jobs to instances, or send the same tasks straight to the workers.

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
    }, //
};

use poplarknot::{
    endpoint::wire::{
        Reply,
        Start, //
    },
    prelude::*,
    table::wire::Worker as Entry, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::task::JoinSet;

use crate::{
    report::Distribution,
    support::{
        client::{
            Client,
            Headers,
            Response, //
        },
        cluster,
        Result, //
    },
    trace, //
};

/// How long an idle connection may be reused; an instance closes those that are idle for longer.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// A pool of idle connections by address, with the time since which each is idle.
#[derive(Default)]
pub(crate) struct Pool(Mutex<HashMap<SocketAddr, Vec<(Instant, Client)>>>);

impl Pool {
    /// Posts JSON on a pooled connection, or on a new one.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: Headers<'_>,
        body: Vec<u8>,
    ) -> Result<Response> {
        let pooled = self.0.lock().unwrap().entry(address).or_default().pop();
        let mut client = match pooled {
            Some((since, client)) if since.elapsed() < MAX_IDLE => client,
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

/// Where the idempotency key of a job comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeySource {
    /// Nowhere: the job is idempotent and has no key.
    Idempotent,
    /// The caller makes a key in the range that the instance gave it.
    Range,
    /// The job has no key; the instance makes one in its own range.
    NoKey,
    /// The caller makes a key of its own, and declares by a header that it was never sent before.
    Fresh,
    /// The caller makes a key of its own, and doesn't declare that it is new.
    FreshUndeclared,
}

impl KeySource {
    /// The sources that every case compares.
    pub(crate) const ALL: [Self; 4] = [Self::Idempotent, Self::Range, Self::NoKey, Self::Fresh];

    /// Returns the name that tables show.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Range => "key from a range",
            Self::NoKey => "no key",
            Self::Fresh => "fresh key",
            Self::FreshUndeclared => "fresh key, not called new",
        }
    }
}

/// A client of several instances.
#[derive(Default)]
pub(crate) struct Callers {
    pool: Pool,
    serial: AtomicU64,
    ranges: Mutex<HashMap<SocketAddr, String>>,
}

impl Callers {
    /// Returns a number that makes keys of this process unique.
    fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Submits a job with a key of the given source, and returns the answer and the response time.
    pub(crate) async fn submit(
        &self,
        to: SocketAddr,
        key_source: KeySource,
        mut job: Value,
    ) -> Result<(Answer, Duration)> {
        let class = if key_source == KeySource::Idempotent {
            "idempotent"
        } else {
            "once"
        };
        job["class"] = json!(class);
        if let Some(key) = self.new_key(to, key_source).await? {
            job["key"] = json!(key);
        }
        self.send(to, key_source == KeySource::Fresh, &job).await
    }

    /// Submits a job as it is, and returns the answer and the response time.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        declared_new: bool,
        job: &Value,
    ) -> Result<(Answer, Duration)> {
        let body = serde_json::to_vec(job)?;
        let headers: Headers<'_> = match declared_new {
            true => &[("poplarknot-first", "true")],
            false => &[],
        };
        let begin = Instant::now();
        let answer = self.pool.post(to, "/v1/jobs", headers, body).await?;
        let took = begin.elapsed();
        if let Some(range) = answer.header("poplarknot-range") {
            self.ranges.lock().unwrap().insert(to, range.to_owned());
        }
        Ok((answer.answer()?, took))
    }

    /// Returns a key that was never used before, if jobs of this source have one.
    pub(crate) async fn new_key(
        &self,
        to: SocketAddr,
        key_source: KeySource,
    ) -> Result<Option<String>> {
        let suffix = format!("k-{}-{}", std::process::id(), self.next_serial());
        match key_source {
            KeySource::Idempotent | KeySource::NoKey => Ok(None),
            KeySource::Fresh | KeySource::FreshUndeclared => Ok(Some(suffix)),
            KeySource::Range => Ok(Some(format!("{}.{suffix}", self.key_range(to).await?))),
        }
    }

    /// Returns the range of keys of an instance: the last that an answer gave, or else one asked for.
    async fn key_range(&self, to: SocketAddr) -> Result<String> {
        if let Some(range) = self.ranges.lock().unwrap().get(&to) {
            return Ok(range.clone());
        }
        let answer: Value = Client::connect(to).await?.get("/v1/range").await?.json()?;
        Ok(answer["range"].as_str().ok_or("no range")?.to_owned())
    }
}

/// Returns a job without a key, whose tasks sleep for the given numbers of milliseconds.
pub(crate) fn sleep_job(sleeps_ms: impl IntoIterator<Item = u64>) -> Value {
    let mut job = cluster::new_job("m", sleeps_ms);
    if let Some(fields) = job.as_object_mut() {
        fields.remove("key");
    }
    job
}

/// A job to submit at a given time.
pub(crate) struct Arrival {
    /// When to submit it, since the start of the schedule.
    pub(crate) due: Duration,
    /// The body of the request.
    pub(crate) job: Value,
    /// The response time if nothing waits, in milliseconds.
    pub(crate) ideal: f64,
    /// The address of the instance to submit it to.
    pub(crate) to: SocketAddr,
    /// Where its key comes from.
    pub(crate) key_source: KeySource,
}

impl Arrival {
    /// Returns the arrival of a generated job, at the instance that its seed selects.
    pub(crate) fn from_trace(
        job: &trace::Job,
        instances: &[SocketAddr],
        key_source: KeySource,
    ) -> Self {
        let mut body = self::sleep_job(job.sleeps_ms.iter().copied());
        let tasks = body["tasks"].as_array_mut();
        for (task, declared) in tasks.into_iter().flatten().zip(&job.declared) {
            task["expected_ms"] = json!(declared);
        }
        Self {
            due: job.due(),
            job: body,
            ideal: job.ideal(),
            to: instances[job.instance_seed % instances.len()],
            key_source,
        }
    }
}

/// Outcomes and response times of many jobs.
#[derive(Default)]
pub(crate) struct Tally {
    /// Number of jobs by outcome and reason.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Response times of complete jobs in milliseconds.
    pub(crate) complete_ms: Distribution,
    /// Response times of complete jobs over the ideal.
    pub(crate) ratios: Distribution,
    /// Response times of all other answered jobs in milliseconds.
    pub(crate) incomplete_ms: Distribution,
    /// Tasks submitted.
    pub(crate) tasks: u64,
    /// Jobs submitted.
    pub(crate) jobs: u64,
}

impl Tally {
    /// Adds the answer to a job, whose ideal response time is `ideal` milliseconds.
    fn add(&mut self, answer: Result<(Answer, Duration)>, ideal: f64) {
        self.jobs += 1;
        let (outcome, took) = match answer {
            Ok((answer, took)) if answer.outcome == Outcome::Complete => {
                self.ratios.add(took.as_secs_f64() * 1e3 / ideal);
                self.complete_ms.add_duration(took);
                ("complete".to_owned(), None)
            }
            Ok((answer, took)) => (
                format!("{} ({})", answer.outcome, answer.reason),
                Some(took),
            ),
            Err(_) => ("no answer".to_owned(), None),
        };
        if let Some(took) = took {
            self.incomplete_ms.add_duration(took);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Returns the share of jobs with an outcome that begins with `outcome`.
    pub(crate) fn share(&self, outcome: &str) -> f64 {
        let count = self
            .outcomes
            .iter()
            .filter(|(name, _)| name.starts_with(outcome));
        count.map(|(_, n)| n).sum::<u64>() as f64 / self.jobs.max(1) as f64
    }

    /// Returns the number of jobs of each outcome other than complete, as text.
    pub(crate) fn describe_incomplete(&self) -> String {
        let incomplete = self
            .outcomes
            .iter()
            .filter(|(outcome, _)| *outcome != "complete");
        let incomplete: Vec<_> = incomplete
            .map(|(outcome, n)| format!("{n} {outcome}"))
            .collect();
        if incomplete.is_empty() {
            return "none".to_owned();
        }
        incomplete.join(", ")
    }
}

/// Submits jobs at their times, whether or not earlier ones are answered (an open loop), and waits for all answers.
pub(crate) async fn submit_on_schedule(callers: &Arc<Callers>, arrivals: Vec<Arrival>) -> Tally {
    let begin = tokio::time::Instant::now();
    let mut tally = Tally::default();
    let mut pending = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(begin + arrival.due).await;
        tally.tasks += arrival.job["tasks"].as_array().map_or(0, Vec::len) as u64;
        let callers = callers.clone();
        pending.spawn(async move {
            let answer = callers
                .submit(arrival.to, arrival.key_source, arrival.job)
                .await;
            (answer, arrival.ideal)
        });
        while let Some(Ok((answer, ideal))) = pending.try_join_next() {
            tally.add(answer, ideal);
        }
    }
    while let Some(Ok((answer, ideal))) = pending.join_next().await {
        tally.add(answer, ideal);
    }
    tally
}

/// A client that starts tasks at the workers itself, each at the one where it has the fewest outstanding.
pub(crate) struct DirectClient {
    pool: Pool,
    incarnation: Incarnation,
    serial: AtomicU64,
    workers: Vec<(SocketAddr, AtomicU64)>,
}

impl DirectClient {
    /// Returns a client of these workers.
    pub(crate) fn new(workers: &[Entry]) -> Result<Arc<Self>> {
        let address = |w: &Entry| Ok((w.address.parse()?, AtomicU64::new(0)));
        Ok(Arc::new(Self {
            pool: Pool::default(),
            incarnation: Incarnation::random(&mut rand::rng()),
            serial: AtomicU64::new(0),
            workers: workers.iter().map(address).collect::<Result<_>>()?,
        }))
    }

    /// Runs tasks that sleep for the given numbers of milliseconds, and returns the time until all are done.
    pub(crate) async fn run(self: &Arc<Self>, sleeps_ms: &[u64]) -> Result<Duration> {
        let job = self.serial.fetch_add(1, Ordering::Relaxed);
        let begin = Instant::now();
        let tasks = sleeps_ms.iter().enumerate();
        let tasks = tasks
            .map(|(i, sleep_ms)| tokio::spawn(self.clone().start_task(job, i as u32, *sleep_ms)));
        for task in tasks.collect::<Vec<_>>() {
            task.await??;
        }
        Ok(begin.elapsed())
    }

    /// Starts a task at the worker with the fewest outstanding ones, and waits until it is done.
    async fn start_task(self: Arc<Self>, job: u64, task: u32, sleep_ms: u64) -> Result {
        let payload = json!({"sleep_ms": sleep_ms, "id": format!("d/{task}")});
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
        let outstanding = |worker: &&(SocketAddr, AtomicU64)| worker.1.load(Ordering::Relaxed);
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
