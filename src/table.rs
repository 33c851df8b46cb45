//! Client of the platform: its table, its object store and its list of instances and endpoints.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use tokio::{
    sync::Semaphore,
    time::{
        sleep,
        Instant, //
    }, //
};
use xtra::prelude::*;

use crate::{
    core::message::{
        Command,
        Completion,
        Input,
        Output,
        Ticket, //
    },
    event::{
        Code,
        Event, //
    },
    http::{
        self,
        Connection,
        Failure,
        Pool,
        Reply, //
    },
    metrics::{
        Message,
        Metrics, //
    },
    prelude::*,
    ring,
    settings::Settings,
    sync::lock,
    timeout::{
        within,
        Estimator, //
    }, //
};

mod list;
pub mod wire;

use wire::{
    Commit,
    Group,
    Row,
    Scan,
    Verdicts, //
};

/// The most groups in one commit.
const MAX_GROUPS: usize = 512;

/// The most groups that wait for a commit; any more are refused.
const MAX_WAITING_GROUPS: usize = 8_192;

/// The most reads and object operations in progress at once.
const MAX_CONCURRENT_READS: usize = 32;

/// The longest that a deferrable group waits for an urgent one to share a commit with. After that it is committed anyway.
const MAX_DELAY: Duration = Duration::from_millis(50);

/// The longest timeout of a request, as a multiple of the one in the settings.
const MAX_TIMEOUT_FACTOR: u64 = 4;

/// The capacity of the token bucket, in seconds of the instance's share of commits.
const BURST_SECONDS: f64 = 0.1;

/// Gathers groups into commits, at most one of them in flight.
#[derive(xtra::Actor)]
struct Committer {
    client: Arc<Client>,
    urgent: VecDeque<(Ticket, Group)>,
    deferred: VecDeque<(Ticket, Group)>,
    /// When the oldest deferrable group is committed at the latest.
    due: Option<Instant>,
    in_flight: bool,
    bucket: Bucket,
}

/// A token bucket that limits commits to the instance's share of the platform's writes.
struct Bucket {
    /// Commits a second of all instances together.
    total_rate: f64,
    /// Commits a second of this instance.
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// The HTTP client of the platform, shared by the tasks of this thread.
struct Client {
    address: String,
    patience: Mutex<Patience>,
    metrics: Arc<Metrics>,
    inputs: ring::Sender<Input>,
    pool: Mutex<Pool>,
    /// Limits reads and object operations in progress.
    read_permits: Arc<Semaphore>,
}

/// How long to wait for the platform: longer while it answers slowly.
///
/// A request that is repeated with the same timeout can't succeed where the platform takes longer than that. Callers would be told
/// that it can't be reached.
struct Patience {
    estimator: Estimator,
    /// When the timeout last grew.
    grown_at: Option<Instant>,
}

impl Patience {
    /// Creates the state of a platform that answers within `timeout`.
    fn new(timeout: Span) -> Self {
        Self {
            estimator: Estimator::new(timeout, timeout.times(MAX_TIMEOUT_FACTOR)),
            grown_at: None,
        }
    }

    /// Returns the timeout of the next request.
    fn timeout(&self) -> Duration {
        self.estimator.timeout().duration()
    }

    /// Records an answer to a request.
    fn on_answer(&mut self, sent: Instant) {
        let took = sent.elapsed().as_micros();
        self.estimator
            .record(Span(u64::try_from(took).unwrap_or(u64::MAX)));
    }

    /// Records a request without an answer. Requests that were in flight together make the timeout grow once.
    fn on_timeout(&mut self, sent: Instant) {
        if self.grown_at.is_none_or(|grown_at| sent >= grown_at) {
            self.estimator.record_timeout();
            self.grown_at = Some(Instant::now());
        }
    }
}

/// An output of the core, sent to the committer.
struct CoreOutput(Output);

/// The commit in flight has ended.
struct CommitEnded;

/// A delay of the committer is over: a deferrable group is due or the bucket has a token.
struct DelayEnded;

/// Executes the commands of the core until `outputs` closes, and polls the platform's list.
pub async fn serve(
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    mut outputs: ring::Receiver<Output>,
    inputs: ring::Sender<Input>,
) {
    let client = Arc::new(Client {
        address: settings.platform_address.to_string(),
        patience: Mutex::new(Patience::new(settings.timing.platform_timeout)),
        metrics,
        inputs,
        pool: Mutex::new(Pool::new(settings.timing.idle_timeout.duration())),
        read_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_READS)),
    });
    let centres = settings.data_centres.clone();
    tokio::spawn(
        client
            .clone()
            .read_lists(centres, settings.timing.list_interval),
    );
    let committer = Committer {
        client,
        urgent: VecDeque::new(),
        deferred: VecDeque::new(),
        due: None,
        in_flight: false,
        bucket: Bucket::new(settings.limits.writes_per_second),
    };
    let address = xtra::spawn_tokio(committer, Mailbox::bounded(settings.limits.ring_capacity));
    while let Some(output) = outputs.recv().await {
        if address.send(CoreOutput(output)).await.is_err() {
            return;
        }
    }
}

impl Handler<CoreOutput> for Committer {
    type Return = ();

    async fn handle(&mut self, CoreOutput(output): CoreOutput, ctx: &mut Context<Self>) {
        match output {
            Output::ShareWriteRate(instances) => self.bucket.set_share(instances),
            Output::Command(ticket, Command::Commit(group)) => {
                if self.count_waiting() >= MAX_WAITING_GROUPS {
                    self.client.spawn_complete(ticket, Completion::Withheld);
                    return;
                }
                self.urgent.push_back((ticket, group));
                self.try_commit(ctx);
            }
            Output::Command(ticket, Command::CommitLater(group)) => {
                if self.count_waiting() >= MAX_WAITING_GROUPS {
                    self.client.spawn_complete(ticket, Completion::Withheld);
                    return;
                }
                self.deferred.push_back((ticket, group));
                if self.due.is_none() {
                    self.due = Some(Instant::now() + MAX_DELAY);
                    schedule_wake_up(ctx, MAX_DELAY);
                }
            }
            Output::Command(ticket, command) => {
                let client = self.client.clone();
                tokio::spawn(async move {
                    let result = client.execute(command).await;
                    client.inputs.send(Input::Completed(ticket, result)).await;
                });
            }
            _ => {}
        }
    }
}

impl Handler<CommitEnded> for Committer {
    type Return = ();

    async fn handle(&mut self, _: CommitEnded, ctx: &mut Context<Self>) {
        self.in_flight = false;
        self.try_commit(ctx);
    }
}

impl Handler<DelayEnded> for Committer {
    type Return = ();

    async fn handle(&mut self, _: DelayEnded, ctx: &mut Context<Self>) {
        self.try_commit(ctx);
    }
}

/// Sends [`DelayEnded`] to the committer after `delay`.
fn schedule_wake_up(ctx: &Context<Committer>, delay: Duration) {
    let address = ctx.mailbox().address();
    tokio::spawn(async move {
        sleep(delay).await;
        address.send(DelayEnded).await.ok();
    });
}

impl Committer {
    fn count_waiting(&self) -> usize {
        self.urgent.len() + self.deferred.len()
    }

    /// Starts a commit of the waiting groups, unless one is in flight or the bucket has no token.
    fn try_commit(&mut self, ctx: &Context<Self>) {
        let now = Instant::now();
        let is_due = self.due.is_some_and(|due| now >= due);
        if self.in_flight || (self.urgent.is_empty() && !is_due) {
            return;
        }
        if let Err(delay) = self.bucket.try_take(now) {
            schedule_wake_up(ctx, delay);
            return;
        }
        let mut batch = Vec::new();
        for queue in [&mut self.urgent, &mut self.deferred] {
            let space = MAX_GROUPS - batch.len();
            batch.extend(queue.drain(..space.min(queue.len())));
        }
        self.due = None;
        if !self.deferred.is_empty() {
            self.due = Some(now + MAX_DELAY);
            schedule_wake_up(ctx, MAX_DELAY);
        }
        self.in_flight = true;
        let client = self.client.clone();
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            client.commit(batch).await;
            address.send(CommitEnded).await.ok();
        });
    }
}

impl Bucket {
    /// Makes a bucket for `total_rate` commits a second, all of them this instance's.
    fn new(total_rate: u32) -> Self {
        let total_rate = f64::from(total_rate.max(1));
        Self {
            total_rate,
            rate: total_rate,
            tokens: 1.0,
            refilled_at: Instant::now(),
        }
    }

    /// Divides the total rate equally among `instances`.
    fn set_share(&mut self, instances: usize) {
        self.rate = self.total_rate / instances.max(1) as f64;
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until there is a token.
    fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let capacity = (self.rate * BURST_SECONDS).max(1.0);
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let delay = (1.0 - self.tokens) / self.rate;
        Err(Duration::from_secs_f64(delay) + Duration::from_micros(100))
    }
}

impl Client {
    /// Sends the result of a command to the core without waiting for space in the ring.
    fn spawn_complete(self: &Arc<Self>, ticket: Ticket, result: Completion) {
        let client = self.clone();
        tokio::spawn(async move { client.inputs.send(Input::Completed(ticket, result)).await });
    }

    /// Commits `batch` in one request and sends the core a result for each group.
    async fn commit(&self, batch: Vec<(Ticket, Group)>) {
        let (tickets, groups): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let count = groups.len();
        let body = serde_json::to_vec(&Commit { groups }).unwrap_or_default();
        self.metrics.count_message(Message::TableCommit);
        let reply = self.send(Method::POST, "/table/commit", body.into()).await;
        let verdicts = match reply {
            Ok(reply) if reply.status == StatusCode::OK => {
                serde_json::from_slice::<Verdicts>(&reply.body)
                    .ok()
                    .map(|committed| committed.verdicts)
                    .filter(|verdicts| verdicts.len() == count)
            }
            Ok(_) | Err(Failure::Unsent(_)) => {
                return self.complete_all(tickets, &Completion::Refused).await;
            }
            Err(Failure::Broken(_)) => None,
        };
        // An unreadable response leaves open whether the commit took effect, as a lost one does.
        let Some(verdicts) = verdicts else {
            return self.complete_all(tickets, &Completion::Unknown).await;
        };
        for (ticket, verdict) in tickets.into_iter().zip(verdicts) {
            let result = Completion::Verdict(verdict);
            self.inputs.send(Input::Completed(ticket, result)).await;
        }
    }

    /// Sends the core the same result for all `tickets`.
    async fn complete_all(&self, tickets: Vec<Ticket>, result: &Completion) {
        for ticket in tickets {
            self.inputs
                .send(Input::Completed(ticket, result.clone()))
                .await;
        }
    }

    /// Executes a read or an object operation; refuses commits, which the committer gathers.
    async fn execute(&self, command: Command) -> Completion {
        // The semaphore is never closed, so `acquire` doesn't fail.
        let _permit = self.read_permits.acquire().await;
        match command {
            Command::Read(key) => {
                self.metrics.count_message(Message::TableRead);
                let path = format!("/table/row?key={key}");
                self.read(&path, |body| {
                    let row: Option<Row> = body.map(serde_json::from_slice).transpose()?;
                    Ok(Completion::Row(row))
                })
                .await
            }
            Command::Scan {
                prefix,
                after,
                limit,
            } => {
                self.metrics.count_message(Message::TableRead);
                let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
                self.read(&path, |body| {
                    let scan: Scan = serde_json::from_slice(body.unwrap_or_default())?;
                    Ok(Completion::Rows(scan.rows))
                })
                .await
            }
            Command::Get(name) => {
                self.metrics.count_message(Message::Object);
                let path = format!("/objects/{name}");
                self.read(&path, |body| Ok(Completion::Object(body.map(Arc::from))))
                    .await
            }
            Command::Put { name, bytes } => {
                self.metrics.count_message(Message::Object);
                let path = format!("/objects/{name}");
                let body = Bytes::copy_from_slice(&bytes);
                match self.send(Method::PUT, &path, body).await {
                    Ok(reply) if reply.status.is_success() => Completion::Stored,
                    Ok(_) | Err(Failure::Unsent(_)) => Completion::Refused,
                    Err(Failure::Broken(_)) => Completion::Unknown,
                }
            }
            Command::Commit(_) | Command::CommitLater(_) => Completion::Refused,
        }
    }

    /// Sends a GET request and parses its body, which is none for status 404.
    async fn read(
        &self,
        path: &str,
        parse: impl FnOnce(Option<&[u8]>) -> serde_json::Result<Completion>,
    ) -> Completion {
        let reply = self.send(Method::GET, path, Bytes::new()).await;
        let Ok(reply) = reply else {
            return Completion::Refused;
        };
        let body = match reply.status {
            StatusCode::OK => Some(&reply.body[..]),
            StatusCode::NOT_FOUND => None,
            _ => return Completion::Refused,
        };
        parse(body).unwrap_or(Completion::Refused)
    }

    /// Sends a request to the platform. One that times out may have taken effect.
    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Reply, Failure> {
        let request = http::build_request(method.clone(), &self.address, path, body);
        let reply = self.send_request(request).await;
        if let Err(failure) = &reply {
            let path = path.split('?').next().unwrap_or_default();
            Event::new(Code::RequestFailed, format!("{method} {path}: {failure}")).log();
        }
        reply
    }

    /// Sends a request on a pooled connection, or on a new one where the pool has none.
    async fn send_request(&self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let pooled = lock(&self.pool).take_idle(&self.address);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(&self.address).await?,
        };
        let sent = Instant::now();
        let limit = lock(&self.patience).timeout();
        match within(limit, connection.send(request)).await {
            Ok(Ok(reply)) => {
                lock(&self.patience).on_answer(sent);
                lock(&self.pool).put(&self.address, connection);
                Ok(reply)
            }
            Ok(Err(failure)) => Err(failure),
            Err(expired) => {
                lock(&self.patience).on_timeout(sent);
                Err(Failure::Broken(expired.into()))
            }
        }
    }
}
