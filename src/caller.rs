//! The HTTP server for callers and operators.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::Incoming,
    header::{
        HeaderValue,
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    server::conn::http1,
    service::service_fn,
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        oneshot,
        watch, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    core::{
        config::Report,
        message::{
            self,
            Input,
            Output, //
        }, //
    },
    decision,
    event::{
        Code,
        Event, //
    },
    metrics::{
        self,
        Metrics, //
    },
    prelude::*,
    ring,
    settings::Settings,
    sync::lock,
    timeout::within, //
};

mod admin;
pub mod status;

/// The response header with the outcome of a job.
const OUTCOME_HEADER: &str = "poplarknot-outcome";

/// The response header with the range from which callers may draw keys.
const RANGE_HEADER: &str = "poplarknot-range";

/// The request header by which a caller states that it hasn't sent the key before.
const FIRST_HEADER: &str = "poplarknot-first";

/// Interval between two checks for open connections at shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a connection is read further once the instance ends.
const LAST_READ_TIME: Duration = Duration::from_millis(100);

/// The body sent to a connection above the limit. Its request is discarded unread and starts nothing, but an earlier one
/// with the same key may have run, so the outcome is unknown.
const OVERLOAD_BODY: &str = "{\"outcome\":\"unknown\",\"reason\":\"busy\",\
    \"detail\":\"too many connections; nothing was read\",\"retry_after_ms\":500}";

/// Time limit for the rejection of one connection above the limit.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections above the limit that are answered at the same time; any more are closed without an answer.
const MAX_REJECTING: usize = 64;

type Reply = Response<Full<Bytes>>;

/// What the server needs from the rest of the instance.
pub struct Context {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The state that the decisions thread publishes.
    pub status: Arc<decision::Status>,
    /// Becomes true when the instance has drained and its threads are to end.
    pub shutdown: watch::Receiver<bool>,
}

/// State shared by all connections.
struct Shared {
    context: Context,
    operators: admin::Operators,
    inputs: ring::Sender<Input>,
    last_request: Cell<u64>,
    open_connections: Cell<usize>,
    /// Requests without an answer yet.
    waiters: RefCell<HashMap<message::Request, oneshot::Sender<Output>>>,
}

/// Serves callers until the decisions thread ends, then waits until the last answers are sent.
pub async fn serve(
    context: Context,
    listener: TcpListener,
    mut outputs: ring::Receiver<Output>,
    inputs: ring::Sender<Input>,
) {
    let operators = admin::Operators::new(&context.settings.operators);
    let shared = Rc::new(Shared {
        context,
        operators,
        inputs,
        last_request: Cell::new(0),
        open_connections: Cell::new(0),
        waiters: RefCell::default(),
    });
    let listener = Rc::new(listener);
    let acceptor = spawn_local(accept_connections(shared.clone(), listener.clone()));
    while let Some(output) = outputs.recv().await {
        shared.deliver(output);
    }
    acceptor.abort();
    shared.accept_waiting(&listener).await;
    // Further callers are refused a connection, which tells them that nothing was run.
    drop(listener);
    shared.wait_for_connections().await;
}

/// Accepts connections until the task is aborted.
async fn accept_connections(shared: Rc<Shared>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => shared.clone().spawn_connection(stream, from),
            // Most likely out of file descriptors, which closing connections free.
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

impl Shared {
    /// Waits until every connection has sent its last answer, or for the receive timeout.
    ///
    /// The last answers arrive together with the end of the drain. If the thread ended at once, their callers would
    /// see the connection close and never learn the outcome. Connections take no new request by now, and a request
    /// that is still being received is refused.
    async fn wait_for_connections(&self) {
        self.waiters.borrow_mut().clear();
        let closed = async {
            while self.open_connections.get() > 0 {
                sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        timeout(
            self.context.settings.timing.receive_timeout.duration(),
            closed,
        )
        .await
        .ok();
    }

    /// Accepts the connections that are queued, so that their requests are answered.
    async fn accept_waiting(self: &Rc<Self>, listener: &TcpListener) {
        for _ in 0..self.context.settings.limits.connections {
            let accepted = timeout(CLOSE_POLL_INTERVAL, listener.accept()).await;
            let Ok(Ok((stream, from))) = accepted else {
                return;
            };
            self.clone().spawn_connection(stream, from);
        }
    }

    /// Serves a connection on a task of its own; rejects or closes it above the connection limit.
    fn spawn_connection(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let limit = self.context.settings.limits.connections;
        let open = self.open_connections.get();
        if open >= limit + MAX_REJECTING {
            return;
        }
        self.open_connections.set(open + 1);
        spawn_local(async move {
            if open < limit {
                self.serve_connection(stream, from).await;
            } else {
                timeout(REJECT_TIMEOUT, reject(stream)).await.ok();
            }
            self.open_connections.set(self.open_connections.get() - 1);
        });
    }

    /// Sends an output to the request that waits for it.
    fn deliver(&self, output: Output) {
        let request = match &output {
            Output::Answer(request, _) | Output::Report(request, _) => *request,
            _ => return,
        };
        // Sending fails if the caller has disconnected.
        if let Some(waiter) = self.waiters.borrow_mut().remove(&request) {
            waiter.send(output).ok();
        }
    }

    /// Serves the requests of a connection until it closes or the instance shuts down.
    async fn serve_connection(self: &Rc<Self>, stream: TcpStream, from: SocketAddr) {
        stream.set_nodelay(true).ok();
        let settings = &self.context.settings;
        let service = service_fn(|request| {
            let shared = self.clone();
            async move { Ok::<_, std::convert::Infallible>(shared.route(request, from).await) }
        });
        let mut shutdown = self.context.shutdown.clone();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.timing.receive_timeout.duration())
            .max_buf_size(settings.limits.header_bytes.max(8 << 10))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A protocol error or a disconnect ends this connection only.
            _ = connection.as_mut() => return,
            _ = shutdown.wait_for(|shutdown| *shutdown) => {}
        }
        // A request may have arrived that isn't read yet. Closed now, the connection would end without an answer to it.
        if within(LAST_READ_TIME, connection.as_mut()).await.is_ok() {
            return;
        }
        connection.as_mut().graceful_shutdown();
        connection.await.ok();
    }

    /// Answers a request by its method and path.
    async fn route(self: Rc<Self>, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (request.method(), &parts[..]) {
            (&Method::POST, ["v1", "jobs"]) => self.submit(request).await,
            (&Method::GET, ["v1", "jobs", team, key]) => self.find_job(team, key, false).await,
            (&Method::DELETE, ["v1", "jobs", team, key]) => self.find_job(team, key, true).await,
            (&Method::GET, ["v1", "range"]) => {
                let range = lock(&self.context.status.range).clone();
                json_reply(StatusCode::OK, format!("{{\"range\":\"{range}\"}}"))
            }
            (&Method::GET, ["metrics"]) => {
                let text = self.context.metrics.render().unwrap_or_default();
                let mut reply = Response::new(Full::from(text));
                let kind = HeaderValue::from_static(metrics::CONTENT_TYPE);
                reply.headers_mut().insert(CONTENT_TYPE, kind);
                reply
            }
            (&Method::GET, ["healthz"]) => json_reply(StatusCode::OK, "{\"healthy\":true}"),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (_, ["v1", "records" | "audit" | "instances", ..]) => {
                self.administer(request, from).await
            }
            (_, ["v1", "jobs" | "range", ..] | ["metrics" | "healthz" | "readyz"]) => error_reply(
                StatusCode::METHOD_NOT_ALLOWED,
                "this path has no such method",
            ),
            _ => error_reply(
                StatusCode::NOT_FOUND,
                "there is no such path; see docs/API.md",
            ),
        }
    }

    /// Answers a readiness probe.
    fn readiness(&self) -> Reply {
        if self.context.status.ready.load(Ordering::Acquire) {
            json_reply(StatusCode::OK, "{\"ready\":true}")
        } else {
            json_reply(StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}")
        }
    }

    /// Submits a job and waits for its answer.
    async fn submit(&self, request: Request<Incoming>) -> Reply {
        let first = request
            .headers()
            .get(FIRST_HEADER)
            .is_some_and(|value| value == "true");
        let body = match self.read_body(request).await {
            Ok(body) => body,
            Err(mut answer) => {
                // The key may be in the missing part, and an earlier request with it may have run.
                if answer.reason == Reason::Incomplete && !first {
                    answer.outcome = Outcome::Unknown;
                }
                return self.reply(&answer);
            }
        };
        let submission: Submission = match serde_json::from_slice(&body) {
            Ok(submission) => submission,
            Err(error) => {
                let detail = format!("body: {error}");
                return self.reply(&Answer::refusal(Reason::Invalid, detail));
            }
        };
        let key = submission.key.clone();
        let bytes = body.len();
        let digest = Digest::of(&body);
        let answer = self.send_input(|request| Input::Submit {
            request,
            submission,
            digest,
            bytes,
            first,
        });
        match answer.await {
            Some(Output::Answer(_, answer)) => self.reply(&answer),
            // Refused without a look-up of its key: an earlier request with it may have run.
            _ => {
                let mut answer = self.refusal();
                if key.is_some() && !first {
                    answer.outcome = Outcome::Unknown;
                }
                self.reply(&answer)
            }
        }
    }

    /// Returns the refusal of a request that got no output of the decisions thread: the ring to it was full, or the
    /// instance has shut down.
    fn refusal(&self) -> Answer {
        if *self.context.shutdown.borrow() {
            let detail = "this instance has shut down; try another one";
            return Answer::refusal(Reason::Draining, detail).with_retry_after(Span::millis(50));
        }
        self.context.metrics.count_ring_refusal();
        Event::new(Code::RingFull, "from the callers").log();
        Answer::refusal(Reason::Busy, "the instance is overloaded")
            .with_retry_after(Span::millis(500))
    }

    /// Returns the answer to a job, after cancelling it if `cancel` is set.
    async fn find_job(&self, team: &str, key: &str, cancel: bool) -> Reply {
        let (team, key) = match (team.parse::<Team>(), key.parse::<Key>()) {
            (Ok(team), Ok(key)) => (team, key),
            (Err(fault), _) => {
                return error_reply(StatusCode::BAD_REQUEST, &format!("team: {fault}"))
            }
            (_, Err(fault)) => {
                return error_reply(StatusCode::BAD_REQUEST, &format!("key: {fault}"))
            }
        };
        let answer = self.send_input(|request| {
            if cancel {
                Input::Cancel { request, team, key }
            } else {
                Input::Find { request, team, key }
            }
        });
        match answer.await {
            Some(Output::Answer(_, answer)) => self.reply(&answer),
            _ => error_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "the instance is overloaded or has shut down",
            ),
        }
    }

    /// Sends an input to the decisions thread and waits for its output. Returns `None` if the ring is full or the
    /// instance has shut down.
    async fn send_input(&self, input: impl FnOnce(message::Request) -> Input) -> Option<Output> {
        if *self.context.shutdown.borrow() {
            return None;
        }
        self.last_request.set(self.last_request.get() + 1);
        let request = message::Request(self.last_request.get());
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(request, sender);
        let waiter = Waiter {
            shared: self,
            request,
        };
        if self.inputs.try_send(input(request)).is_err() {
            return None;
        }
        let output = receiver.await.ok();
        drop(waiter);
        output
    }

    /// Reads the whole body of a request, within the limits of size and time.
    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes, Answer> {
        let limit = self.context.settings.limits.body_bytes;
        let allowed = self.context.settings.timing.receive_timeout;
        let body = Limited::new(request.into_body(), limit).collect();
        match within(allowed.duration(), body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Answer::refusal(
                Reason::TooLarge,
                format!("body: exceeds the limit of {limit} bytes"),
            )),
            Ok(Err(error)) => Err(Answer::refusal(
                Reason::Incomplete,
                format!("body: {error}"),
            )),
            Err(_) => Err(Answer::refusal(
                Reason::Incomplete,
                format!("body: not received within {allowed}"),
            )),
        }
    }

    /// Returns the HTTP response with an answer.
    fn reply(&self, answer: &Answer) -> Reply {
        let status = StatusCode::from_u16(status::for_reason(answer.reason)).unwrap_or_default();
        let body = serde_json::to_vec(answer).unwrap_or_default();
        let mut reply = json_reply(status, body);
        let headers = reply.headers_mut();
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        set(OUTCOME_HEADER, answer.outcome.to_string());
        set(RANGE_HEADER, lock(&self.context.status.range).clone());
        if let Some(retry) = answer.retry_after {
            let seconds = retry.as_millis().div_ceil(1_000);
            set(RETRY_AFTER.as_str(), seconds.to_string());
        }
        reply
    }
}

/// Rejects a connection above the limit.
async fn reject(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    // Closing with unread bytes would reset the connection before the caller reads the answer.
    if stream.read(&mut buffer).await.is_err() {
        return;
    }
    let reply = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n{OUTCOME_HEADER}: unknown\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{OVERLOAD_BODY}",
        OVERLOAD_BODY.len()
    );
    stream.write_all(reply.as_bytes()).await.ok();
    stream.shutdown().await.ok();
}

/// A request without an answer yet. Its drop before the answer means that the caller has disconnected.
struct Waiter<'a> {
    shared: &'a Shared,
    request: message::Request,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let waiter = self.shared.waiters.borrow_mut().remove(&self.request);
        if waiter.is_some() {
            // If the ring is full, the job runs on, as one with a key does.
            self.shared
                .inputs
                .try_send(Input::Hangup(self.request))
                .ok();
        }
    }
}

fn json_reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Returns a reply with an error that was found before the decisions thread was involved.
fn error_reply(status: StatusCode, detail: &str) -> Reply {
    json_reply(status, serde_json::json!({ "detail": detail }).to_string())
}

fn report_reply(report: &Report) -> Reply {
    let status = StatusCode::from_u16(report.status()).unwrap_or_default();
    json_reply(status, report.body())
}
