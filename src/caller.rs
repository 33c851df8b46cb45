//! The side towards callers and operators: an HTTP server.

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
    time::Duration,
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
    },
};

use crate::{
    core::{
        config::Report,
        message::{
            self,
            Input,
            Output, //
        },
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
};

mod admin;
pub mod status;

/// The header that carries the outcome of a job.
const OUTCOME: &str = "poplarknot-outcome";

/// The header that carries the range that callers may take keys from.
const RANGE: &str = "poplarknot-range";

/// The header by which a caller says that it never sent the key before.
const FIRST: &str = "poplarknot-first";

/// How often the end looks for connections that are still open.
const FLUSH: Duration = Duration::from_millis(5);

/// What a connection beyond the bound gets. Its request is not read, so nothing more can be said of it.
const OVERLOADED: &str = "{\"outcome\":\"unknown\",\"reason\":\"busy\",\
    \"detail\":\"too many connections; nothing was read\",\"retry_after_ms\":500}";

/// How long the rejection of a connection beyond the bound may take.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections beyond the bound that are rejected at once with an answer; any more are closed.
const REJECTIONS: usize = 64;

type Reply = Response<Full<Bytes>>;

/// What the callers' thread needs of the rest.
pub struct Context {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// What the decisions show.
    pub status: Arc<decision::Status>,
    /// Turns true when the instance has drained.
    pub ended: watch::Receiver<bool>,
}

/// What all connections share.
struct Shared {
    context: Context,
    operators: admin::Operators,
    back: ring::Sender<Input>,
    serial: Cell<u64>,
    connections: Cell<usize>,
    waiting: RefCell<HashMap<message::Request, oneshot::Sender<Output>>>,
}

/// Serves callers until the decisions end.
pub async fn serve(
    context: Context,
    listener: TcpListener,
    mut answers: ring::Receiver<Output>,
    back: ring::Sender<Input>,
) {
    let operators = admin::Operators::new(&context.settings.operators);
    let shared = Rc::new(Shared {
        context,
        operators,
        back,
        serial: Cell::new(0),
        connections: Cell::new(0),
        waiting: RefCell::default(),
    });
    let acceptor = spawn_local(accept(shared.clone(), listener));
    while let Some(output) = answers.next().await {
        shared.deliver(output);
    }
    acceptor.abort();
    shared.finish().await;
}

async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => shared.clone().connect(stream, from),
            // Out of file descriptors, most likely: they come back as connections end.
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

impl Shared {
    /// Waits until every connection has sent its last answer.
    ///
    /// The answers of the last jobs arrive together with the end of the drain. If the thread ended there, their
    /// callers would see the connection close and never learn what became of them. No connection takes a new
    /// request by now, and one that is still being received is refused, so each ends after its answer.
    async fn finish(&self) {
        self.waiting.borrow_mut().clear();
        let ended = async {
            while self.connections.get() > 0 {
                sleep(FLUSH).await;
            }
        };
        timeout(
            self.context.settings.timing.receive_timeout.duration(),
            ended,
        )
        .await
        .ok();
    }

    /// Serves a connection, unless there are too many.
    fn connect(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let bound = self.context.settings.limits.connections;
        let open = self.connections.get();
        if open >= bound + REJECTIONS {
            return;
        }
        self.connections.set(open + 1);
        spawn_local(async move {
            if open < bound {
                self.serve_connection(stream, from).await;
            } else {
                timeout(REJECT_TIMEOUT, reject(stream)).await.ok();
            }
            self.connections.set(self.connections.get() - 1);
        });
    }

    /// Hands an answer to the connection that waits for it.
    fn deliver(&self, output: Output) {
        let request = match &output {
            Output::Answer(request, _) | Output::Report(request, _) => *request,
            _ => return,
        };
        // A caller that hung up has taken its receiver along.
        if let Some(waiter) = self.waiting.borrow_mut().remove(&request) {
            waiter.send(output).ok();
        }
    }

    async fn serve_connection(self: &Rc<Self>, stream: TcpStream, from: SocketAddr) {
        stream.set_nodelay(true).ok();
        let settings = &self.context.settings;
        let service = service_fn(|request| {
            let shared = self.clone();
            async move { Ok::<_, std::convert::Infallible>(shared.answer(request, from).await) }
        });
        let mut ended = self.context.ended.clone();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.timing.receive_timeout.duration())
            .max_buf_size(settings.limits.header_bytes.max(8 << 10))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A caller that breaks the protocol or hangs up ends its connection, which concerns nobody else.
            _ = connection.as_mut() => return,
            _ = ended.wait_for(|ended| *ended) => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await.ok();
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (request.method(), &parts[..]) {
            (&Method::POST, ["v1", "jobs"]) => self.submit(request).await,
            (&Method::GET, ["v1", "jobs", team, key]) => self.find(team, key, false).await,
            (&Method::DELETE, ["v1", "jobs", team, key]) => self.find(team, key, true).await,
            (&Method::GET, ["v1", "range"]) => {
                let range = lock(&self.context.status.range).clone();
                json(StatusCode::OK, format!("{{\"range\":\"{range}\"}}"))
            }
            (&Method::GET, ["metrics"]) => {
                let text = self.context.metrics.render().unwrap_or_default();
                let mut reply = Response::new(Full::from(text));
                let kind = HeaderValue::from_static(metrics::CONTENT_TYPE);
                reply.headers_mut().insert(CONTENT_TYPE, kind);
                reply
            }
            (&Method::GET, ["healthz"]) => json(StatusCode::OK, "{\"healthy\":true}"),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (_, ["v1", "records" | "audit" | "instances", ..]) => {
                self.administer(request, from).await
            }
            (_, ["v1", "jobs" | "range", ..] | ["metrics" | "healthz" | "readyz"]) => problem(
                StatusCode::METHOD_NOT_ALLOWED,
                "this path has no such method",
            ),
            _ => problem(
                StatusCode::NOT_FOUND,
                "there is no such path; see docs/API.md",
            ),
        }
    }

    fn readiness(&self) -> Reply {
        if self.context.status.ready.load(Ordering::Acquire) {
            json(StatusCode::OK, "{\"ready\":true}")
        } else {
            json(StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}")
        }
    }

    async fn submit(&self, request: Request<Incoming>) -> Reply {
        let first = request
            .headers()
            .get(FIRST)
            .is_some_and(|value| value == "true");
        let body = match self.body(request).await {
            Ok(body) => body,
            Err(mut answer) => {
                // The key is in the part that never came, and may have run under an earlier request.
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
        let answer = self.ask(|request| Input::Submit {
            request,
            submission,
            digest,
            bytes,
            first,
        });
        match answer.await {
            Some(Output::Answer(_, answer)) => self.reply(&answer),
            // This request started nothing, but its key may have run under an earlier one.
            _ => {
                let mut answer = self.not_taken();
                if key.is_some() && !first {
                    answer.outcome = Outcome::Unknown;
                }
                self.reply(&answer)
            }
        }
    }

    /// Refuses a request that the decisions never took.
    fn not_taken(&self) -> Answer {
        if *self.context.ended.borrow() {
            let detail = "this instance has ended; try another";
            return Answer::refusal(Reason::Draining, detail).with_retry_after(Span::millis(50));
        }
        self.context.metrics.ring_refused();
        Event::new(Code::RingFull, "from the callers").log();
        Answer::refusal(Reason::Busy, "the instance has no room")
            .with_retry_after(Span::millis(500))
    }

    async fn find(&self, team: &str, key: &str, cancel: bool) -> Reply {
        let (team, key) = match (team.parse::<Team>(), key.parse::<Key>()) {
            (Ok(team), Ok(key)) => (team, key),
            (Err(fault), _) => return problem(StatusCode::BAD_REQUEST, &format!("team: {fault}")),
            (_, Err(fault)) => return problem(StatusCode::BAD_REQUEST, &format!("key: {fault}")),
        };
        let answer = self.ask(|request| {
            if cancel {
                Input::Cancel { request, team, key }
            } else {
                Input::Find { request, team, key }
            }
        });
        match answer.await {
            Some(Output::Answer(_, answer)) => self.reply(&answer),
            _ => problem(StatusCode::SERVICE_UNAVAILABLE, "the instance has no room"),
        }
    }

    /// Puts an input to the decisions and waits for what comes of it; none where the ring is full or has ended.
    async fn ask(&self, input: impl FnOnce(message::Request) -> Input) -> Option<Output> {
        if *self.context.ended.borrow() {
            return None;
        }
        self.serial.set(self.serial.get() + 1);
        let request = message::Request(self.serial.get());
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        let waiter = Waiter {
            shared: self,
            request,
        };
        if self.back.push(input(request)).is_err() {
            return None;
        }
        let output = receiver.await.ok();
        drop(waiter);
        output
    }

    /// Reads the whole body of a request, within its bounds of size and time.
    async fn body(&self, request: Request<Incoming>) -> Result<Bytes, Answer> {
        let bound = self.context.settings.limits.body_bytes;
        let wait = self.context.settings.timing.receive_timeout;
        let body = Limited::new(request.into_body(), bound).collect();
        match timeout(wait.duration(), body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Answer::refusal(
                Reason::TooLarge,
                format!("body: more than the {bound} bytes allowed"),
            )),
            Ok(Err(error)) => Err(Answer::refusal(
                Reason::Incomplete,
                format!("body: {error}"),
            )),
            Err(_) => Err(Answer::refusal(
                Reason::Incomplete,
                format!("body: not received within {wait}"),
            )),
        }
    }

    fn reply(&self, answer: &Answer) -> Reply {
        let status = StatusCode::from_u16(status::of(answer.reason)).unwrap_or_default();
        let body = serde_json::to_vec(answer).unwrap_or_default();
        let mut reply = json(status, body);
        let headers = reply.headers_mut();
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        put(OUTCOME, answer.outcome.to_string());
        put(RANGE, lock(&self.context.status.range).clone());
        if let Some(retry) = answer.retry_after {
            let seconds = retry.as_millis().div_ceil(1_000);
            put(RETRY_AFTER.as_str(), seconds.to_string());
        }
        reply
    }
}

/// Rejects a connection beyond the bound.
async fn reject(mut stream: TcpStream) {
    let mut seen = [0; 1024];
    // What has come is taken first: closing over unread bytes would reset the connection under the answer.
    if stream.read(&mut seen).await.is_err() {
        return;
    }
    let reply = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n{OUTCOME}: unknown\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{OVERLOADED}",
        OVERLOADED.len()
    );
    stream.write_all(reply.as_bytes()).await.ok();
    stream.shutdown().await.ok();
}

/// A request that waits; when it is dropped before its answer, the caller has hung up.
struct Waiter<'a> {
    shared: &'a Shared,
    request: message::Request,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let waiting = self.shared.waiting.borrow_mut().remove(&self.request);
        if waiting.is_some() {
            // Where the ring is full the job merely goes on, as it does with a key.
            self.shared.back.push(Input::Hangup(self.request)).ok();
        }
    }
}

fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Makes a reply that says what is wrong; the path or method never reached the decisions.
fn problem(status: StatusCode, detail: &str) -> Reply {
    json(status, serde_json::json!({ "detail": detail }).to_string())
}

fn report(report: &Report) -> Reply {
    let status = StatusCode::from_u16(report.status()).unwrap_or_default();
    json(status, report.body())
}
