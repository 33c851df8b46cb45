//! Serves callers over HTTP/1: takes jobs and answers them. Also serves readiness and metrics.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    header::{
        HeaderValue,
        CONNECTION,
        CONTENT_TYPE,
        HOST,
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
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::{
        spawn_local,
        yield_now, //
    },
    time::sleep, //
};

use super::{
    hub::{
        now,
        Hub, //
    },
    read_ahead::{
        self,
        Watch, //
    }, //
};
use crate::{
    dispatch::{
        id::JobId,
        message::{
            Answer,
            Arrival,
            Input,
            JobState,
            LogRecord,
            Question,
            Ticket, //
        },
        route::{
            Limits,
            Route, //
        },
        CONNECTION_GRACE, //
    },
    platform::ingress,
    prelude::*,
    timeout::within, //
};

/// Sockets that are reserved for endpoints, peers and the store.
const RESERVED_SOCKETS: usize = 600;

/// The smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// How long a request waits for the first configuration. An instance that starts reads it within some tens of milliseconds,
/// while a caller that is turned away returns after [`UNREADY_RETRY_AFTER`] at best. An instance that can't read the store has
/// none for longer, and its callers are to try another one soon.
const CONFIGURATION_WAIT: Span = Span::millis(500);

/// The `Retry-After` of requests that are refused before the first configuration is read.
const UNREADY_RETRY_AFTER: Span = Span::seconds(1);

/// The open connections of callers, by an identifier that increases.
struct Callers {
    hub: Rc<Hub>,
    max_open: usize,
    last_id: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
}

/// The state of a caller's connection.
struct Connection {
    /// When the last request ended; `None` while one is in progress.
    idle_since: Cell<Option<Time>>,
    /// The caller's address and port.
    caller_address: String,
    /// Whether the connection was selected to be closed in favour of a new one.
    evicting: Cell<bool>,
    close: Notify,
}

/// How long a connection that is due to be closed is still read from: two ticks, so that the event loop turns at
/// least once in this time.
const FINAL_READ_WAIT: Duration = Duration::from_millis(20);

type HttpResult = Result<Response<Full<Bytes>>, hyper::Error>;

/// Reports a caller that disconnects before its answer: the server then drops the future of the request, and this
/// guard with it.
struct CallerGuard {
    hub: Rc<Hub>,
    ticket: Ticket,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.hub.on_caller_disconnect(self.ticket);
    }
}

/// Accepts callers' connections until idle ones are to be closed for a drain. `sockets` is the number of sockets that
/// the process may have open.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener, sockets: usize) {
    let callers = Rc::new(Callers {
        hub,
        max_open: sockets.saturating_sub(RESERVED_SOCKETS).max(64),
        last_id: Cell::new(0),
        open: RefCell::default(),
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // A client that connects from now on is refused and tries another instance. If its connection were
            // accepted, its request could arrive just as the process exits.
            () = callers.hub.close_idle_callers.notified() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: retries once a connection may have ended.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        callers.evict_longest_idle();
        let callers = callers.clone();
        spawn_local(async move { callers.serve_connection(stream).await });
    }
}

impl Callers {
    /// Closes the connection that has been idle longest if the limit is reached. Without this, idle connections would
    /// keep out callers that have requests.
    fn evict_longest_idle(&self) {
        let open = self.open.borrow();
        if open.len() < self.max_open {
            return;
        }
        let idle = open
            .values()
            .filter(|state| state.idle_since.get().is_some() && !state.evicting.get());
        if let Some(state) = idle.min_by_key(|state| state.idle_since.get()) {
            // Marked so that the next new connection evicts another one, although this one takes a moment to close.
            state.evicting.set(true);
            state.close.notify_one();
        }
    }

    fn limits(&self) -> Limits {
        let limits = |d: &crate::dispatch::Dispatcher| d.configuration().map(|c| c.limits.clone());
        self.hub.with_dispatcher(limits).unwrap_or_default()
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let state = Rc::new(Connection {
            idle_since: Cell::new(Some(now())),
            caller_address: stream
                .peer_addr()
                .map_or_else(|_| String::new(), |a| a.to_string()),
            evicting: Cell::new(false),
            close: Notify::new(),
        });
        self.last_id.set(self.last_id.get() + 1);
        let id = self.last_id.get();
        self.open.borrow_mut().insert(id, state.clone());
        self.run_connection(stream, &state).await;
        self.open.borrow_mut().remove(&id);
    }

    /// Logs that an idle connection is closed, for comparison with a caller that reports a broken connection.
    fn log_close(&self, state: &Connection, reason: &'static str) {
        let idle = state
            .idle_since
            .get()
            .map_or(Span(0), |since| now().since(since));
        let record = LogRecord::routine("connection_closed").with("reason", reason);
        let record = record.with("caller", state.caller_address.as_str());
        self.hub.log(&record.with("idle_ms", idle));
    }

    async fn run_connection(&self, stream: TcpStream, state: &Rc<Connection>) {
        let limits = self.limits();
        let (stream, watch) = read_ahead::split(stream);
        let watch = Rc::new(watch);
        let service = service_fn(|request| {
            let (hub, state, watch) = (self.hub.clone(), state.clone(), watch.clone());
            async move {
                state.idle_since.set(None);
                let answer = handle_request(&hub, &watch, request).await;
                state.idle_since.set(Some(now()));
                answer
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        // While no request is in progress, the library reads by itself.
        let caller_gone = poll_fn(|context| match state.idle_since.get() {
            Some(_) => Poll::Pending,
            None => watch.poll_end(context),
        });
        let mut caller_gone = std::pin::pin!(caller_gone);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            let reason = tokio::select! {
                // Received data goes before a timeout that has passed in the same turn.
                biased;
                // Ends with the connection; a caller may disconnect at any time.
                _ = connection.as_mut() => return,
                () = caller_gone.as_mut() => return,
                reason = self.wait_until_due(state) => reason,
            };
            let since = state.idle_since.get();
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = read_once_more() => {}
            }
            // A connection that was used meanwhile stays open even if it is idle again: its caller was not told to
            // close it and may send another request.
            if since.is_some() && state.idle_since.get() == since {
                self.log_close(state, reason);
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {}
                    () = self.wait_for_partial_request(state, since) => {}
                }
                return;
            }
            state.evicting.set(false);
        }
    }

    /// Waits until a connection that is being closed has had the header timeout to finish a request that it has sent
    /// in part. Without this limit a partial request would keep the connection open forever. A complete request is
    /// served first.
    async fn wait_for_partial_request(&self, state: &Connection, since: Option<Time>) {
        loop {
            sleep(self.limits().header_timeout.duration()).await;
            if state.idle_since.get() == since {
                return;
            }
        }
    }

    /// Waits until a connection has been idle for too long or is evicted, and returns why it is to be closed.
    async fn wait_until_due(&self, state: &Connection) -> &'static str {
        loop {
            // A draining instance refuses new jobs; once its connection is closed, a caller finds another instance.
            let (idle, reason) = match self.hub.with_dispatcher(|d| d.refuses_jobs(now())) {
                true => (CONNECTION_GRACE, "the instance leaves"),
                false => (self.limits().idle_timeout, "it was idle"),
            };
            let remaining = match state.idle_since.get() {
                Some(since) => (since + idle).since(now()),
                None => idle,
            };
            tokio::select! {
                () = state.close.notified() => {
                    // A request may have arrived after the eviction.
                    if state.evicting.get() {
                        return "there are too many";
                    }
                }
                () = self.hub.close_idle_callers.notified() => {}
                () = sleep(remaining.duration().max(Duration::from_millis(1))) => {
                    let is_overdue = |since| now().since(since) >= idle;
                    if state.idle_since.get().is_some_and(is_overdue) {
                        return reason;
                    }
                }
            }
        }
    }
}

/// Waits until a connection that is due to be closed has been read once more.
///
/// After a pause, or without processor time, a process may see that the idle timeout has passed before it reads what
/// has arrived: a turn of the event loop that a signal cuts short runs the timers and skips the sockets. The
/// connection would then be closed with a complete request unread, and its caller would get neither an answer nor a
/// refusal. The wait and the yield make the loop poll the sockets before the connection is closed.
async fn read_once_more() {
    sleep(FINAL_READ_WAIT).await;
    yield_now().await;
}

/// Answers a request; while the instance drains, the response asks the caller to close the connection.
async fn handle_request(hub: &Rc<Hub>, watch: &Watch, request: Request<Incoming>) -> HttpResult {
    let draining = hub.with_dispatcher(|dispatcher| dispatcher.is_draining());
    let mut response = route_request(hub, watch, request).await;
    if draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn route_request(
    hub: &Rc<Hub>,
    watch: &Watch,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default().to_owned();
    wait_for_configuration(hub).await;
    let found = hub.with_dispatcher(|dispatcher| {
        let configuration = dispatcher.configuration()?;
        let route = configuration.find_route(&host, &path);
        Some(route.map(|(route, rest)| (route.clone(), rest.to_owned())))
    });
    let (route, rest) = match found {
        None => return unready_response(),
        Some(None) => {
            return error_response(StatusCode::NOT_FOUND, "no route matches this host and path")
        }
        Some(Some(found)) => found,
    };
    if rest.is_empty() && request.method() == Method::GET {
        let pending = hub.with_dispatcher(|dispatcher| dispatcher.count_pending(&route.name));
        return json_response(StatusCode::OK, ingress::encode_pending_count(pending));
    }
    let Ok(id) = rest.parse::<JobId>() else {
        let text = "the path must end in a job ID of 16 hexadecimal digits";
        return error_response(StatusCode::NOT_FOUND, text);
    };
    match *request.method() {
        Method::POST => submit(hub, watch, request, &route, id, (host, path)).await,
        Method::GET if hub.with_dispatcher(|d| d.has_job(id)) => {
            json_response(StatusCode::OK, ingress::encode_state(JobState::Running))
        }
        Method::GET => query_stored_job(hub, id, Question::State).await,
        Method::DELETE => {
            let has_job = hub.with_dispatcher(|d| d.has_job(id));
            hub.handle(Input::Cancelled(id));
            match has_job {
                true => json_response(StatusCode::OK, Vec::new()),
                false => query_stored_job(hub, id, Question::Cancel).await,
            }
        }
        _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    }
}

/// Waits until the instance has a configuration, for [`CONFIGURATION_WAIT`] at most.
async fn wait_for_configuration(hub: &Hub) {
    let configured = hub.configured.notified();
    if hub.with_dispatcher(|dispatcher| dispatcher.configuration().is_none()) {
        // The request is answered as unready after the timeout.
        within(CONFIGURATION_WAIT.duration(), configured).await.ok();
    }
}

/// Submits a job, and waits for the dispatcher's answer.
async fn submit(
    hub: &Rc<Hub>,
    watch: &Watch,
    request: Request<Incoming>,
    route: &Route,
    id: JobId,
    (host, path): (String, String),
) -> Response<Full<Bytes>> {
    let received = now();
    let wait = request.headers().get(ingress::DEADLINE_HEADER);
    let wait = wait.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let wait = wait.map(|millis| Span((millis.max(0.0) * 1_000.0) as u64));
    let limits = hub.with_dispatcher(|d| d.configuration().map(|c| c.limits.clone()));
    let limits = limits.unwrap_or_default();
    let body = match read_body(request.into_body(), &limits).await {
        Ok(body) => body,
        Err(status) => {
            return error_response(
                status,
                "the request body is too large, too slow or incomplete",
            )
        }
    };
    let submission = match ingress::parse_job(id, &body) {
        Ok(submission) => submission,
        Err(fault) => {
            let record = LogRecord::new("job_malformed").job(id);
            let record = record.with("route", route.name.as_str());
            hub.log(&record.with("fault", fault.to_string()));
            return error_response(StatusCode::BAD_REQUEST, &fault.to_string());
        }
    };
    if watch.has_ended() {
        hub.log(&LogRecord::new("caller_gone_before").job(id));
        let text = "the caller has closed the connection";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let (ticket, answered) = hub.register_caller();
    let guard = CallerGuard {
        hub: hub.clone(),
        ticket,
    };
    hub.handle(Input::Submitted(Box::new(Arrival {
        ticket,
        host,
        path,
        submission,
        wait,
    })));
    // The dispatcher answers every ticket. Should one be lost, its caller gets an answer that allows a retry.
    let answer = answered.await.unwrap_or(Answer::Unready);
    drop(guard);
    hub.metrics.count_answer(answer, now().since(received));
    answer_response(answer)
}

/// Queries or cancels a stored job.
async fn query_stored_job(hub: &Rc<Hub>, job: JobId, question: Question) -> Response<Full<Bytes>> {
    let (ticket, answered) = hub.register_caller();
    let guard = CallerGuard {
        hub: hub.clone(),
        ticket,
    };
    hub.handle(Input::JobRequested {
        ticket,
        job,
        question,
    });
    let answer = answered.await.unwrap_or(Answer::Unready);
    drop(guard);
    answer_response(answer)
}

fn answer_response(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Completed => {
            json_response(StatusCode::OK, ingress::encode_state(JobState::Completed))
        }
        Answer::Failed => json_response(StatusCode::OK, ingress::encode_state(JobState::Failed)),
        Answer::Accepted => json_response(StatusCode::OK, ingress::encode_state(JobState::Queued)),
        Answer::Standing(state) => json_response(StatusCode::OK, ingress::encode_state(state)),
        Answer::Unknown => error_response(StatusCode::GONE, "unknown job"),
        Answer::GivenUp { again } => {
            let text = "no outcome in time; the job may have run, in part or as a whole";
            retry_later_response(StatusCode::GATEWAY_TIMEOUT, text, again)
        }
        Answer::Refused { again } => {
            let text = "no task was started: the job isn't supported, or can't be run in time";
            retry_later_response(StatusCode::SERVICE_UNAVAILABLE, text, again)
        }
        Answer::NoRoute => {
            error_response(StatusCode::NOT_FOUND, "no route matches this host and path")
        }
        Answer::Unready => unready_response(),
    }
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, StatusCode> {
    let whole = Limited::new(body, limits.max_body_bytes).collect();
    match within(limits.header_timeout.duration(), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn unready_response() -> Response<Full<Bytes>> {
    let text = "the instance has no configuration yet";
    retry_later_response(StatusCode::SERVICE_UNAVAILABLE, text, UNREADY_RETRY_AFTER)
}

/// Builds an error response with a `Retry-After` header, rounded up to whole seconds.
fn retry_later_response(
    status: StatusCode,
    text: &str,
    retry_after: Span,
) -> Response<Full<Bytes>> {
    let mut response = error_response(status, text);
    let seconds = retry_after.0.div_ceil(1_000_000);
    let after = HeaderValue::from(seconds);
    response.headers_mut().insert(RETRY_AFTER, after);
    response
}

fn error_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    json_response(status, ingress::encode_error(text))
}

fn json_response(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Serves readiness at `/api/ready` and metrics at `/metrics`.
pub async fn serve_health(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let hub = hub.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let hub = hub.clone();
                async move { Ok::<_, hyper::Error>(health_response(&hub, request.uri().path())) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A client may disconnect before its response.
            connection.await.ok();
        });
    }
}

fn health_response(hub: &Hub, path: &str) -> Response<Full<Bytes>> {
    if path == "/metrics" {
        let stats = hub.with_dispatcher(|dispatcher| dispatcher.stats());
        return match hub.metrics.render(stats) {
            Ok(text) => {
                let mut response = json_response(StatusCode::OK, text.into_bytes());
                let kind = HeaderValue::from_static(crate::metrics::CONTENT_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        };
    }
    match (
        path,
        hub.with_dispatcher(|dispatcher| dispatcher.is_ready()),
    ) {
        (ingress::READY_PATH, true) => json_response(StatusCode::OK, Vec::new()),
        (ingress::READY_PATH, false) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        _ => error_response(
            StatusCode::NOT_FOUND,
            "not found; the paths are /metrics and /api/ready",
        ),
    }
}
