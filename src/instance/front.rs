//! The side towards callers: jobs in, answers out; and whether the instance takes callers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
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
    time::{
        sleep,
        timeout, //
    },
};

use super::hub::{
    now,
    Hub, //
};
use crate::{
    dispatch::{
        id::JobId,
        message::{
            Answer,
            Arrival,
            Input,
            JobState,
            Question,
            Record,
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
};

/// Sockets that are kept for endpoints, peers and the store.
const KEPT: usize = 600;

/// The least buffer of a connection, which the HTTP library insists on, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// After which an answer that was refused for want of a configuration may be asked for again.
const UNREADY: Span = Span::seconds(1);

/// Connections of callers, the one that has been idle longest in front.
struct Callers {
    hub: Rc<Hub>,
    most: usize,
    serial: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
}

/// A caller's connection.
struct Connection {
    /// When its last request ended; none while one is in progress.
    idle: Cell<Option<Time>>,
    /// Its other end.
    caller: String,
    /// Whether it was chosen to give way to another one.
    chosen: Cell<bool>,
    close: Notify,
}

/// How long a connection that is due to be closed is still read from: two ticks of the instance, so that its loop turns
/// meanwhile whatever else comes.
const LAST_READ: Duration = Duration::from_millis(20);

type Answered = Result<Response<Full<Bytes>>, hyper::Error>;

/// Tells the dispatcher when a caller goes before its answer: the future of its request is dropped then.
struct Presence {
    hub: Rc<Hub>,
    ticket: Ticket,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.hub.abandon(self.ticket);
    }
}

/// Serves callers.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener, sockets: usize) {
    let callers = Rc::new(Callers {
        hub,
        most: sockets.saturating_sub(KEPT).max(64),
        serial: Cell::new(0),
        open: RefCell::default(),
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Whoever connects from now on is refused and goes elsewhere; accepted, its request could come in the
            // moment in which the process ends.
            () = callers.hub.closing.notified() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: some connection ends, or gives way, in a moment.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        callers.make_way();
        let callers = callers.clone();
        spawn_local(async move { callers.host(stream).await });
    }
}

impl Callers {
    /// Closes the connection that has been idle longest when there are too many: otherwise idle ones would keep
    /// out callers that want something.
    fn make_way(&self) {
        let open = self.open.borrow();
        if open.len() < self.most {
            return;
        }
        let idle = open
            .values()
            .filter(|state| state.idle.get().is_some() && !state.chosen.get());
        if let Some(state) = idle.min_by_key(|state| state.idle.get()) {
            // Each new connection has another one give way, although that takes a moment.
            state.chosen.set(true);
            state.close.notify_one();
        }
    }

    fn limits(&self) -> Limits {
        let limits = |d: &crate::dispatch::Dispatcher| d.configuration().map(|c| c.limits.clone());
        self.hub.look(limits).unwrap_or_default()
    }

    async fn host(self: Rc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let state = Rc::new(Connection {
            idle: Cell::new(Some(now())),
            caller: stream
                .peer_addr()
                .map_or_else(|_| String::new(), |a| a.to_string()),
            chosen: Cell::new(false),
            close: Notify::new(),
        });
        self.serial.set(self.serial.get() + 1);
        let serial = self.serial.get();
        self.open.borrow_mut().insert(serial, state.clone());
        self.talk(stream, &state).await;
        self.open.borrow_mut().remove(&serial);
    }

    /// Logs that an idle connection is closed: a caller that finds it closed has that moment to compare with.
    fn log_close(&self, state: &Connection, reason: &'static str) {
        let idle = state.idle.get().map_or(Span(0), |since| now().since(since));
        let record = Record::routine("connection_closed").with("reason", reason);
        let record = record.with("caller", state.caller.as_str());
        self.hub.log(&record.with("idle_ms", idle));
    }

    async fn talk(&self, stream: TcpStream, state: &Rc<Connection>) {
        let limits = self.limits();
        let service = service_fn(|request| {
            let (hub, state) = (self.hub.clone(), state.clone());
            async move {
                state.idle.set(None);
                let answer = answer(&hub, request).await;
                state.idle.set(Some(now()));
                answer
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            let reason = tokio::select! {
                // What has come goes before the time that has passed.
                biased;
                // A caller that breaks off is no fault of ours.
                _ = connection.as_mut() => return,
                reason = self.due(state) => reason,
            };
            let since = state.idle.get();
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = last_read() => {}
            }
            // One that was used meanwhile isn't due any more, also if it is idle again: its caller, which has an answer that
            // doesn't say otherwise, goes on using it.
            if since.is_some() && state.idle.get() == since {
                self.log_close(state, reason);
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {}
                    () = self.unfinished(state, since) => {}
                }
                return;
            }
            state.chosen.set(false);
        }
    }

    /// Waits until a connection that is being closed has had its time for the rest of a request whose head it has in part;
    /// kept until that came, it might stay for good. A request that has come whole is served first.
    async fn unfinished(&self, state: &Connection, since: Option<Time>) {
        loop {
            sleep(self.limits().header_timeout.duration()).await;
            if state.idle.get() == since {
                return;
            }
        }
    }

    /// Waits until a connection has been idle for too long, or has to give way, and tells why it is to be closed.
    async fn due(&self, state: &Connection) -> &'static str {
        loop {
            // On a leaving instance nothing that came would be taken; its caller finds another one sooner this way.
            let (idle, reason) = match self.hub.look(|d| d.refuses_jobs(now())) {
                true => (CONNECTION_GRACE, "the instance leaves"),
                false => (self.limits().idle_timeout, "it was idle"),
            };
            let rest = match state.idle.get() {
                Some(since) => (since + idle).since(now()),
                None => idle,
            };
            tokio::select! {
                () = state.close.notified() => {
                    // It may have been chosen before a request came.
                    if state.chosen.get() {
                        return "there are too many";
                    }
                }
                () = self.hub.closing.notified() => {}
                () = sleep(rest.duration().max(Duration::from_millis(1))) => {
                    let over = |since| now().since(since) >= idle;
                    if state.idle.get().is_some_and(over) {
                        return reason;
                    }
                }
            }
        }
    }
}

/// Waits while a connection that is due to be closed is read once more.
///
/// A process that stood still, or had no processor time, learns that the idle time has passed before it learns what has
/// come meanwhile: the timers of a turn may be looked at without the sockets, as after a signal. The connection would be
/// closed over a whole request, whose caller gets neither an answer nor a refusal. After this wait all that had come when
/// the time passed is read: the sockets are looked at in every turn that no signal cuts short, and in the last one here.
async fn last_read() {
    sleep(LAST_READ).await;
    yield_now().await;
}

async fn answer(hub: &Rc<Hub>, request: Request<Incoming>) -> Answered {
    let leaving = hub.look(|dispatcher| dispatcher.is_draining());
    let mut response = respond(hub, request).await;
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn respond(hub: &Rc<Hub>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default().to_owned();
    let found = hub.look(|dispatcher| {
        let configuration = dispatcher.configuration()?;
        let route = configuration.find_route(&host, &path);
        Some(route.map(|(route, rest)| (route.clone(), rest.to_owned())))
    });
    let (route, rest) = match found {
        None => return unready(),
        Some(None) => return failure(StatusCode::NOT_FOUND, "no queue has this host and path"),
        Some(Some(found)) => found,
    };
    if rest.is_empty() && request.method() == Method::GET {
        let pending = hub.look(|dispatcher| dispatcher.count_pending(&route.name));
        return reply(StatusCode::OK, ingress::queue(pending));
    }
    let Ok(id) = rest.parse::<JobId>() else {
        let text = "the path must end with a job's 16 hexadecimal digits";
        return failure(StatusCode::NOT_FOUND, text);
    };
    match *request.method() {
        Method::POST => submit(hub, request, &route, id, host, path).await,
        Method::GET if hub.look(|d| d.has_job(id)) => {
            reply(StatusCode::OK, ingress::state(JobState::Running))
        }
        Method::GET => ask(hub, id, Question::State).await,
        Method::DELETE => {
            let known = hub.look(|d| d.has_job(id));
            hub.feed(Input::Cancelled(id));
            match known {
                true => reply(StatusCode::OK, Vec::new()),
                false => ask(hub, id, Question::Cancel).await,
            }
        }
        _ => failure(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    }
}

async fn submit(
    hub: &Rc<Hub>,
    request: Request<Incoming>,
    route: &Route,
    id: JobId,
    host: String,
    path: String,
) -> Response<Full<Bytes>> {
    let came = now();
    let wait = request.headers().get(ingress::DEADLINE);
    let wait = wait.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let wait = wait.map(|millis| Span((millis.max(0.0) * 1_000.0) as u64));
    let limits = hub.look(|d| d.configuration().map(|c| c.limits.clone()));
    let limits = limits.unwrap_or_default();
    let body = match read(request.into_body(), &limits).await {
        Ok(body) => body,
        Err(status) => return failure(status, "the body is too long, too slow or broken off"),
    };
    let submission = match ingress::job(id, &body) {
        Ok(submission) => submission,
        Err(fault) => {
            let record = Record::new("job_malformed").job(id);
            let record = record.with("route", route.name.as_str());
            hub.log(&record.with("fault", fault.to_string()));
            return failure(StatusCode::BAD_REQUEST, &fault.to_string());
        }
    };
    let (ticket, answered) = hub.ticket();
    let presence = Presence {
        hub: hub.clone(),
        ticket,
    };
    hub.feed(Input::Submitted(Box::new(Arrival {
        ticket,
        host,
        path,
        submission,
        wait,
    })));
    // The dispatcher answers every ticket; one that it lost would be a fault that the caller may retry.
    let answer = answered.await.unwrap_or(Answer::Unready);
    drop(presence);
    hub.gauges.answer(answer, now().since(came));
    respond_with(answer)
}

/// Asks for a stored job, or cancels it.
async fn ask(hub: &Rc<Hub>, job: JobId, question: Question) -> Response<Full<Bytes>> {
    let (ticket, answered) = hub.ticket();
    let presence = Presence {
        hub: hub.clone(),
        ticket,
    };
    hub.feed(Input::JobRequested {
        ticket,
        job,
        question,
    });
    let answer = answered.await.unwrap_or(Answer::Unready);
    drop(presence);
    respond_with(answer)
}

fn respond_with(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Completed => reply(StatusCode::OK, ingress::state(JobState::Completed)),
        Answer::Failed => reply(StatusCode::OK, ingress::state(JobState::Failed)),
        Answer::Accepted => reply(StatusCode::OK, ingress::state(JobState::Queued)),
        Answer::Standing(state) => reply(StatusCode::OK, ingress::state(state)),
        Answer::Unknown => failure(StatusCode::GONE, "no such job is known"),
        Answer::GivenUp { again } => {
            let text = "it can't end in its time; some of it may have run, and is being stopped";
            later(StatusCode::GATEWAY_TIMEOUT, text, again)
        }
        Answer::Refused { again } => {
            let text = "nothing of it was run: there is no room for it in its time";
            later(StatusCode::SERVICE_UNAVAILABLE, text, again)
        }
        Answer::NoRoute => failure(StatusCode::NOT_FOUND, "no queue has this host and path"),
        Answer::Unready => unready(),
    }
}

async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, StatusCode> {
    let whole = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(limits.header_timeout.duration(), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn unready() -> Response<Full<Bytes>> {
    let text = "there is no configuration yet";
    later(StatusCode::SERVICE_UNAVAILABLE, text, UNREADY)
}

/// Writes why a request was not served, and after how long it may come again.
fn later(status: StatusCode, text: &str, again: Span) -> Response<Full<Bytes>> {
    let mut response = failure(status, text);
    let seconds = again.0.div_ceil(1_000_000);
    let after = HeaderValue::from(seconds);
    response.headers_mut().insert(RETRY_AFTER, after);
    response
}

fn failure(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    reply(status, ingress::error(text))
}

fn reply(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Tells the platform whether the instance takes callers, and gives out its metrics at `/metrics`.
pub async fn watch(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let hub = hub.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let hub = hub.clone();
                async move { Ok::<_, hyper::Error>(watched(&hub, request.uri().path())) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever asks may break off.
            connection.await.ok();
        });
    }
}

fn watched(hub: &Hub, path: &str) -> Response<Full<Bytes>> {
    if path == "/metrics" {
        let standing = hub.look(|dispatcher| dispatcher.stats());
        return match hub.gauges.render(standing) {
            Ok(text) => {
                let mut response = reply(StatusCode::OK, text.into_bytes());
                let kind = HeaderValue::from_static(crate::metrics::CONTENT_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => failure(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        };
    }
    match (path, hub.look(|dispatcher| dispatcher.is_ready())) {
        (ingress::READY, true) => reply(StatusCode::OK, Vec::new()),
        (ingress::READY, false) => failure(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => failure(StatusCode::NOT_FOUND, "there is /metrics and the readiness"),
    }
}
