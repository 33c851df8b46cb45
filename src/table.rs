//! The side towards the platform: its table, object store and instance list.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
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
        timeout,
        Instant, //
    },
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
    http::{
        self,
        Cause,
        Connection,
        Failure,
        Pool,
        Reply, //
    },
    metrics::{
        Message,
        Metrics, //
    },
    ring,
    settings::Settings,
    sync::lock,
};

mod list;
pub mod wire;

use wire::{
    Commit,
    Group,
    Row,
    Scan, //
    Verdicts,
};

/// The most groups in one commit.
const GROUPS: usize = 512;

/// The most operations that wait for the platform; any more are refused.
const WAITING: usize = 8_192;

/// Reads and object operations in progress at once.
const READS: usize = 32;

/// How long a group that may wait does, when no other takes it along.
const LATER: Duration = Duration::from_millis(50);

/// How many commits may be saved up, in seconds of the instance's share.
const BURST: f64 = 0.1;

/// Gathers groups into commits, one of them in flight: the state of this thread.
#[derive(xtra::Actor)]
struct Committer {
    link: Arc<Link>,
    urgent: VecDeque<(Ticket, Group)>,
    later: VecDeque<(Ticket, Group)>,
    /// When the eldest group that may wait has waited enough.
    due: Option<Instant>,
    flying: bool,
    bucket: Bucket,
}

/// The instance's share of the platform's writes.
struct Bucket {
    /// Commits a second of all instances together.
    writes: f64,
    rate: f64,
    tokens: f64,
    at: Instant,
}

/// What every task of this thread shares.
struct Link {
    address: String,
    wait: Duration,
    metrics: Arc<Metrics>,
    back: ring::Sender<Input>,
    pool: Mutex<Pool>,
    reads: Arc<Semaphore>,
}

/// Something to be done, from the decisions.
struct Order(Output);

/// Tells that the commit in flight has ended.
struct Landed;

/// Tells that it may be time for a commit.
struct Due;

/// Serves orders until the decisions end, and reads the platform's list.
pub async fn serve(
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    mut orders: ring::Receiver<Output>,
    back: ring::Sender<Input>,
) {
    let link = Arc::new(Link {
        address: settings.platform_address.to_string(),
        wait: settings.timing.platform_timeout.duration(),
        metrics,
        back,
        pool: Mutex::new(Pool::new(settings.timing.idle_timeout.duration())),
        reads: Arc::new(Semaphore::new(READS)),
    });
    let centres = settings.data_centres.clone();
    tokio::spawn(
        link.clone()
            .read_lists(centres, settings.timing.list_interval),
    );
    let committer = Committer {
        link,
        urgent: VecDeque::new(),
        later: VecDeque::new(),
        due: None,
        flying: false,
        bucket: Bucket::new(settings.limits.writes_per_second),
    };
    let address = xtra::spawn_tokio(committer, Mailbox::bounded(settings.limits.ring_capacity));
    while let Some(order) = orders.next().await {
        if address.send(Order(order)).await.is_err() {
            return;
        }
    }
}

impl Handler<Order> for Committer {
    type Return = ();

    async fn handle(&mut self, Order(order): Order, ctx: &mut Context<Self>) {
        match order {
            Output::Share(instances) => self.bucket.share(instances),
            Output::Command(ticket, Command::Commit(group)) => {
                if self.waiting() >= WAITING {
                    self.link.tell(ticket, Completion::Refused);
                    return;
                }
                self.urgent.push_back((ticket, group));
                self.try_commit(ctx);
            }
            Output::Command(ticket, Command::CommitLater(group)) => {
                if self.waiting() >= WAITING {
                    self.link.tell(ticket, Completion::Refused);
                    return;
                }
                self.later.push_back((ticket, group));
                if self.due.is_none() {
                    self.due = Some(Instant::now() + LATER);
                    wake(ctx, LATER);
                }
            }
            Output::Command(ticket, operate) => {
                let link = self.link.clone();
                tokio::spawn(async move {
                    let result = link.operate(operate).await;
                    link.back.send(Input::Completed(ticket, result)).await;
                });
            }
            _ => {}
        }
    }
}

impl Handler<Landed> for Committer {
    type Return = ();

    async fn handle(&mut self, _: Landed, ctx: &mut Context<Self>) {
        self.flying = false;
        self.try_commit(ctx);
    }
}

impl Handler<Due> for Committer {
    type Return = ();

    async fn handle(&mut self, _: Due, ctx: &mut Context<Self>) {
        self.try_commit(ctx);
    }
}

fn wake(ctx: &Context<Committer>, wait: Duration) {
    let address = ctx.mailbox().address();
    tokio::spawn(async move {
        sleep(wait).await;
        address.send(Due).await.ok();
    });
}

impl Committer {
    fn waiting(&self) -> usize {
        self.urgent.len() + self.later.len()
    }

    /// Commits what waits, if none is in flight and the share of writes allows it.
    fn try_commit(&mut self, ctx: &Context<Self>) {
        let now = Instant::now();
        let late = self.due.is_some_and(|due| now >= due);
        if self.flying || (self.urgent.is_empty() && !late) {
            return;
        }
        if let Err(wait) = self.bucket.take(now) {
            wake(ctx, wait);
            return;
        }
        let mut batch = Vec::new();
        for queue in [&mut self.urgent, &mut self.later] {
            let room = GROUPS - batch.len();
            batch.extend(queue.drain(..room.min(queue.len())));
        }
        self.due = None;
        if !self.later.is_empty() {
            self.due = Some(now + LATER);
            wake(ctx, LATER);
        }
        self.flying = true;
        let link = self.link.clone();
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            link.commit(batch).await;
            address.send(Landed).await.ok();
        });
    }
}

impl Bucket {
    fn new(writes: u32) -> Self {
        let writes = f64::from(writes.max(1));
        Self {
            writes,
            rate: writes,
            tokens: 1.0,
            at: Instant::now(),
        }
    }

    fn share(&mut self, instances: usize) {
        self.rate = self.writes / instances.max(1) as f64;
    }

    /// Takes a commit's token, or tells how long to wait for one.
    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let most = (self.rate * BURST).max(1.0);
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(most);
        self.at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate;
        Err(Duration::from_secs_f64(wait) + Duration::from_micros(100))
    }
}

impl Link {
    /// Tells the end of an operation from a place that must not wait.
    fn tell(self: &Arc<Self>, ticket: Ticket, result: Completion) {
        let link = self.clone();
        tokio::spawn(async move { link.back.send(Input::Completed(ticket, result)).await });
    }

    async fn commit(&self, batch: Vec<(Ticket, Group)>) {
        let (tickets, groups): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let count = groups.len();
        let body = serde_json::to_vec(&Commit { groups }).unwrap_or_default();
        self.metrics.message(Message::TableCommit);
        let reply = self.send(Method::POST, "/table/commit", body.into()).await;
        let verdicts = match reply {
            Ok(reply) if reply.status == StatusCode::OK => {
                serde_json::from_slice::<Verdicts>(&reply.body)
                    .ok()
                    .map(|committed| committed.verdicts)
                    .filter(|verdicts| verdicts.len() == count)
            }
            Ok(_) | Err(Failure::Unsent(_)) => {
                return self.tell_all(tickets, &Completion::Refused).await;
            }
            Err(Failure::Broken(_)) => None,
        };
        // An answer that can't be read says no more than none.
        let Some(verdicts) = verdicts else {
            return self.tell_all(tickets, &Completion::Unknown).await;
        };
        for (ticket, verdict) in tickets.into_iter().zip(verdicts) {
            let result = Completion::Verdict(verdict);
            self.back.send(Input::Completed(ticket, result)).await;
        }
    }

    async fn tell_all(&self, tickets: Vec<Ticket>, result: &Completion) {
        for ticket in tickets {
            self.back
                .send(Input::Completed(ticket, result.clone()))
                .await;
        }
    }

    async fn operate(&self, operate: Command) -> Completion {
        // A semaphore that is never closed always gives a permit.
        let _permit = self.reads.acquire().await;
        match operate {
            Command::Read(key) => {
                self.metrics.message(Message::TableRead);
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
                self.metrics.message(Message::TableRead);
                let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
                self.read(&path, |body| {
                    let scan: Scan = serde_json::from_slice(body.unwrap_or_default())?;
                    Ok(Completion::Rows(scan.rows))
                })
                .await
            }
            Command::Get(name) => {
                self.metrics.message(Message::Object);
                let path = format!("/objects/{name}");
                self.read(&path, |body| Ok(Completion::Object(body.map(Arc::from))))
                    .await
            }
            Command::Put { name, bytes } => {
                self.metrics.message(Message::Object);
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

    /// Sends a request to the platform; what takes longer than the bound may have taken effect.
    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Reply, Failure> {
        let request = http::request(method, &self.address, path, body);
        self.send_request(request).await
    }

    async fn send_request(&self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let known = lock(&self.pool).take(&self.address);
        let mut connection = match known {
            Some(connection) => connection,
            None => Connection::open(&self.address).await?,
        };
        match timeout(self.wait, connection.send(request)).await {
            Ok(Ok(reply)) => {
                lock(&self.pool).put(&self.address, connection);
                Ok(reply)
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(Failure::Broken(Cause::Answer(self.wait))),
        }
    }
}
