//! The endpoints thread: starts, looks up and stops attempts at the endpoints over HTTP.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Method,
    StatusCode, //
};
use tokio::{
    task::AbortHandle,
    time::{
        sleep_until,
        Instant, //
    }, //
};
use xtra::prelude::*;

use crate::{
    clock::Clock,
    core::message::{
        Check,
        End,
        Input,
        Output, //
    },
    event::{
        Code,
        Event, //
    },
    http::{
        self,
        Cause,
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
    timeout::{
        within,
        Expired, //
    }, //
};

pub mod wire;

use wire::{
    Reply,
    Start,
    Status, //
};

/// How often expired idle connections are closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(1);

/// The actor that executes the commands of the core.
#[derive(xtra::Actor)]
struct Client {
    shared: Arc<Shared>,
}

/// The state that all tasks of this thread share.
struct Shared {
    clock: Clock,
    metrics: Arc<Metrics>,
    inputs: ring::Sender<Input>,
    pool: Mutex<Pool>,
    /// The tasks that wait for the end of an attempt.
    starts: Mutex<HashMap<Attempt, AbortHandle>>,
}

/// A command of the core.
struct Command(Output);

/// Closes expired idle connections.
struct CloseExpired;

/// Executes commands until the decisions thread ends, and reports their results on `inputs`.
pub async fn serve(
    settings: Arc<Settings>,
    clock: Clock,
    metrics: Arc<Metrics>,
    mut commands: ring::Receiver<Output>,
    inputs: ring::Sender<Input>,
) {
    let shared = Shared {
        clock,
        metrics,
        inputs,
        pool: Mutex::new(Pool::new(settings.timing.idle_timeout.duration())),
        starts: Mutex::default(),
    };
    let client = Client {
        shared: Arc::new(shared),
    };
    let address = xtra::spawn_tokio(client, Mailbox::bounded(settings.limits.ring_capacity));
    let mut close = tokio::time::interval(CLOSE_INTERVAL);
    loop {
        let running = tokio::select! {
            command = commands.recv() => match command {
                Some(command) => address.send(Command(command)).await.is_ok(),
                None => false,
            },
            _ = close.tick() => address.send(CloseExpired).await.is_ok(),
        };
        if !running {
            return;
        }
    }
}

impl Handler<Command> for Client {
    type Return = ();

    async fn handle(&mut self, Command(command): Command, _: &mut Context<Self>) {
        let shared = self.shared.clone();
        match command {
            Output::Start {
                address,
                start,
                expires,
                ..
            } => {
                let attempt = start.attempt;
                let task = tokio::spawn(shared.clone().start(address, start, expires));
                lock(&shared.starts).insert(attempt, task.abort_handle());
            }
            Output::CheckStatus {
                address,
                attempt,
                stop,
                wait,
                ..
            } => {
                tokio::spawn(shared.query_status(address, attempt, stop, wait));
            }
            // Ending the task closes its connection, so that no reply to the abandoned attempt is taken.
            Output::Abandon(attempt) => {
                if let Some(task) = lock(&shared.starts).remove(&attempt) {
                    task.abort();
                }
            }
            _ => {}
        }
    }
}

impl Handler<CloseExpired> for Client {
    type Return = ();

    async fn handle(&mut self, _: CloseExpired, _: &mut Context<Self>) {
        lock(&self.shared.pool).close_expired();
    }
}

impl Shared {
    /// Starts an attempt and reports its end to the core.
    async fn start(self: Arc<Self>, address: String, start: Start, expires: Time) {
        let end = self.try_start(&address, &start, expires).await;
        lock(&self.starts).remove(&start.attempt);
        self.inputs
            .send(Input::AttemptEnded(start.attempt, end))
            .await;
    }

    /// Starts an attempt unless `expires` has passed, and returns its end.
    async fn try_start(&self, address: &str, start: &Start, expires: Time) -> End {
        let Ok(body) = serde_json::to_vec(start) else {
            return End::Withheld;
        };
        let idle = lock(&self.pool).take_idle(address);
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        };
        let Ok(mut connection) = connection else {
            return End::Unsent;
        };
        // The process may have been suspended since the core decided: without this check, a task could start after the
        // job's deadline.
        if self.clock.now() >= expires {
            return End::Withheld;
        }
        let request = http::build_request(Method::POST, address, "/tasks", Bytes::from(body));
        self.metrics.count_message(Message::Start);
        let reply = match connection.send(request).await {
            Ok(reply) => reply,
            Err(Failure::Unsent(_)) => return End::Unsent,
            Err(Failure::Broken(_)) => return End::Broken,
        };
        self.metrics.count_message(Message::Reply);
        let expected_status = matches!(
            reply.status,
            StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE
        );
        match serde_json::from_slice::<Reply>(&reply.body) {
            Ok(end) if expected_status => {
                lock(&self.pool).put(address, connection);
                End::Replied(end)
            }
            _ => End::Broken,
        }
    }

    /// Looks up or stops an attempt and reports its status to the core.
    async fn query_status(
        self: Arc<Self>,
        address: String,
        attempt: Attempt,
        stop: bool,
        wait: Span,
    ) {
        self.metrics
            .count_message(if stop { Message::Stop } else { Message::Lookup });
        let started = Instant::now();
        let status = request_status(&address, attempt, stop, wait.duration());
        let status = within(wait.duration(), status).await;
        let status = status.map_err(Into::into).and_then(|status| status);
        if let Err(error) = &status {
            let detail = format!("{attempt} at {address}: {error}");
            Event::new(Code::CheckFailed, detail).log();
            // An endpoint that has too many connections closes further ones at once. It needs time as much as a silent one.
            if !error.is_refusal() {
                sleep_until(started + wait.duration()).await;
            }
        }
        let check = status.map_or(Check::Missed, Check::Reported);
        self.inputs.send(Input::Status(attempt, check)).await;
    }
}

/// The error of a lookup or a stop.
#[derive(Debug, thiserror::Error)]
enum CheckError {
    #[error(transparent)]
    Expired(#[from] Expired),
    #[error(transparent)]
    Exchange(#[from] Failure),
    #[error("malformed answer: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl CheckError {
    /// Returns whether the endpoint can't be connected to, as when its process has ended.
    fn is_refusal(&self) -> bool {
        matches!(self, Self::Exchange(Failure::Unsent(Cause::Socket(_))))
    }
}

/// Returns the status of an attempt, and stops it if `stop` is set. A new connection is used, since a failed one may be
/// why the start got no reply.
async fn request_status(
    address: &str,
    attempt: Attempt,
    stop: bool,
    wait: Duration,
) -> Result<Status, CheckError> {
    let mut connection = Connection::open_within(wait, http::MAX_BODY_BYTES, address).await?;
    let (method, path) = if stop {
        (Method::POST, format!("/tasks/{attempt}/stop"))
    } else {
        (Method::GET, format!("/tasks/{attempt}"))
    };
    let request = http::build_request(method, address, &path, Bytes::new());
    let reply = connection.send(request).await?;
    Ok(serde_json::from_slice(&reply.body)?)
}
