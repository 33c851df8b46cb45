//! The side towards the endpoints: starts, looks and stops over HTTP.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Method,
    StatusCode, //
};
use tokio::{
    task::AbortHandle,
    time::timeout, //
};
use xtra::prelude::*;

use crate::{
    clock::Clock,
    core::message::{
        End,
        Input,
        Output, //
    },
    http::{
        self,
        Connection,
        Failure,
        Pool, //
    },
    metrics::{
        Message,
        Metrics, //
    },
    prelude::*,
    ring,
    settings::Settings,
    sync::lock,
};

pub mod wire;

use wire::{
    Reply,
    Start,
    Status, //
};

/// How long a look may take.
const LOOK: Duration = Duration::from_millis(500);

/// How often idle connections are closed that are trusted no more.
const TRIM: Duration = Duration::from_secs(1);

/// Holds the connections to the endpoints: the state of this thread.
#[derive(xtra::Actor)]
struct Dialler {
    link: Arc<Link>,
}

/// What every task of this thread shares.
struct Link {
    clock: Clock,
    metrics: Arc<Metrics>,
    back: ring::Sender<Input>,
    pool: Mutex<Pool>,
    starts: Mutex<HashMap<Attempt, AbortHandle>>,
}

/// Something to be done, from the decisions.
struct Order(Output);

/// Closes connections that are trusted no more.
struct Trim;

/// Serves orders until the decisions end.
pub async fn serve(
    settings: Arc<Settings>,
    clock: Clock,
    metrics: Arc<Metrics>,
    mut orders: ring::Receiver<Output>,
    back: ring::Sender<Input>,
) {
    let link = Link {
        clock,
        metrics,
        back,
        pool: Mutex::new(Pool::new(settings.timing.idle_timeout.duration())),
        starts: Mutex::default(),
    };
    let dialler = Dialler {
        link: Arc::new(link),
    };
    let address = xtra::spawn_tokio(dialler, Mailbox::bounded(settings.limits.ring_capacity));
    let mut trim = tokio::time::interval(TRIM);
    loop {
        let alive = tokio::select! {
            order = orders.next() => match order {
                Some(order) => address.send(Order(order)).await.is_ok(),
                None => false,
            },
            _ = trim.tick() => address.send(Trim).await.is_ok(),
        };
        if !alive {
            return;
        }
    }
}

impl Handler<Order> for Dialler {
    type Return = ();

    async fn handle(&mut self, Order(order): Order, _: &mut Context<Self>) {
        let link = self.link.clone();
        match order {
            Output::Start {
                address,
                start,
                expires,
                ..
            } => {
                let attempt = start.attempt;
                let task = tokio::spawn(link.clone().start(address, start, expires));
                lock(&link.starts).insert(attempt, task.abort_handle());
            }
            Output::Look {
                address,
                attempt,
                stop,
                ..
            } => {
                tokio::spawn(link.look(address, attempt, stop));
            }
            // The connection goes with its task: nothing that arrives on it is taken any more.
            Output::Abandon(attempt) => {
                if let Some(task) = lock(&link.starts).remove(&attempt) {
                    task.abort();
                }
            }
            _ => {}
        }
    }
}

impl Handler<Trim> for Dialler {
    type Return = ();

    async fn handle(&mut self, _: Trim, _: &mut Context<Self>) {
        lock(&self.link.pool).trim();
    }
}

impl Link {
    async fn start(self: Arc<Self>, address: String, start: Start, expires: Time) {
        let end = self.try_start(&address, &start, expires).await;
        lock(&self.starts).remove(&start.attempt);
        self.back.send(Input::Ended(start.attempt, end)).await;
    }

    async fn try_start(&self, address: &str, start: &Start, expires: Time) -> End {
        let Ok(body) = serde_json::to_vec(start) else {
            return End::Withheld;
        };
        let known = lock(&self.pool).take(address);
        let connection = match known {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        };
        let Ok(mut connection) = connection else {
            return End::Unsent;
        };
        // The instance may have stood still since the decision; what is late by now must not leave.
        if self.clock.now() >= expires {
            return End::Withheld;
        }
        let request = http::request(Method::POST, address, "/tasks", Bytes::from(body));
        self.metrics.message(Message::Start);
        let reply = match connection.send(request).await {
            Ok(reply) => reply,
            Err(Failure::Unsent(_)) => return End::Unsent,
            Err(Failure::Broken(_)) => return End::Broken,
        };
        self.metrics.message(Message::Reply);
        let known = matches!(
            reply.status,
            StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE
        );
        match serde_json::from_slice::<Reply>(&reply.body) {
            Ok(end) if known => {
                lock(&self.pool).put(address, connection);
                End::Replied(end)
            }
            _ => End::Broken,
        }
    }

    async fn look(self: Arc<Self>, address: String, attempt: Attempt, stop: bool) {
        self.metrics
            .message(if stop { Message::Stop } else { Message::Look });
        let status = timeout(LOOK, ask(&address, attempt, stop)).await;
        let status = status.ok().flatten();
        self.back.send(Input::Looked(attempt, status)).await;
    }
}

/// Asks an endpoint about an attempt over a new connection; an old one may be the very fault.
async fn ask(address: &str, attempt: Attempt, stop: bool) -> Option<Status> {
    let mut connection = Connection::open(address).await.ok()?;
    let (method, path) = if stop {
        (Method::POST, format!("/tasks/{attempt}/stop"))
    } else {
        (Method::GET, format!("/tasks/{attempt}"))
    };
    let request = http::request(method, address, &path, Bytes::new());
    let reply = connection.send(request).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
