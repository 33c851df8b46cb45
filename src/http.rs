//! Connections of the client side: HTTP/1.1 by hyper, kept while they are trusted.

use std::{
    collections::HashMap,
    error,
    io,
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
    client::conn::http1::{
        self,
        SendRequest, //
    },
    header::{
        HeaderValue,
        CONTENT_TYPE,
        ETAG, //
    },
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{
        timeout,
        Instant, //
    },
};

/// How long a connection may take to open: a round trip takes under a millisecond.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest body that is read, in bytes.
const LARGEST: usize = 64 << 20;

/// A connection that takes one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    largest: usize,
}

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No byte of it left.
    #[error(transparent)]
    Unsent(Cause),
    /// It may have arrived.
    #[error(transparent)]
    Broken(Cause),
}

/// What ended an exchange early.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The connection didn't open in time.
    #[error("no connection in {} s", .0.as_secs_f64())]
    ConnectTimeout(Duration),
    /// The answer didn't come in time.
    #[error("no answer in {} s", .0.as_secs_f64())]
    AnswerTimeout(Duration),
    /// The connection was refused, or can't be made.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The connection ended early, or what came on it is no HTTP.
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    /// The body ended early, or is too large.
    #[error(transparent)]
    Body(Box<dyn error::Error + Send + Sync>),
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Names this state of what was asked for, where the other side gives it a name.
    pub etag: Option<String>,
    /// Its body.
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Tells that the other side can't be reached within [`CONNECT_TIMEOUT`].
    pub async fn open(address: &str) -> Result<Self, Failure> {
        Self::open_within(CONNECT_TIMEOUT, LARGEST, address).await
    }

    /// Opens a connection whose answers may have up to `largest` bytes.
    ///
    /// # Errors
    ///
    /// Tells that the other side can't be reached within `wait`.
    pub async fn open_within(
        wait: Duration,
        largest: usize,
        address: &str,
    ) -> Result<Self, Failure> {
        let stream = timeout(wait, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Failure::Unsent(Cause::ConnectTimeout(wait)))?;
        let stream = stream.map_err(|error| Failure::Unsent(error.into()))?;
        stream.set_nodelay(true).ok();
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| Failure::Unsent(error.into()))?;
        tokio::spawn(connection);
        Ok(Self { sender, largest })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have arrived.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let sent = self.sender.try_send_request(request).await;
        let response: Response<Incoming> = sent.map_err(|mut error| {
            // The request comes back only when not a byte of it was written.
            match error.take_message() {
                Some(_) => Failure::Unsent(error.into_error().into()),
                None => Failure::Broken(error.into_error().into()),
            }
        })?;
        let status = response.status();
        let etag = response.headers().get(ETAG);
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        let body = Limited::new(response.into_body(), self.largest);
        let body = body.collect().await;
        let body = body
            .map_err(|error| Failure::Broken(Cause::Body(error)))?
            .to_bytes();
        Ok(Reply { status, etag, body })
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Sends a request over an idle connection, or over a new one where there is none.
///
/// The connection comes back with the answer only: one that failed is not to be used again.
///
/// # Errors
///
/// Tells whether the request may have arrived.
pub async fn exchange(
    idle: Option<Connection>,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Result<(Reply, Connection), Failure> {
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let reply = connection.send(request).await?;
    Ok((reply, connection))
}

/// Builds a request with a JSON body, or none.
pub fn build_request(
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // A path that is no URI can only come from a name that was checked before.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}

/// Builds a request whose body, if there is one, is said to be JSON.
pub fn build_json_request(
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = build_request(method, address, path, body);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}

/// Idle connections by address, each trusted for a while after its last answer.
///
/// Something between the two ends can lose track of a connection: what is sent on it is swallowed, while new
/// connections work. The caller sees silence. A connection that has answered within `trust` was alive then,
/// and any other is replaced by a fresh one, which costs one round trip.
#[derive(Debug)]
pub struct Pool {
    trust: Duration,
    idle: HashMap<String, Vec<(Instant, Connection)>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(trust: Duration) -> Self {
        Self {
            trust,
            idle: HashMap::new(),
        }
    }

    /// Takes the connection that answered last, if it can be trusted.
    pub fn take(&mut self, address: &str) -> Option<Connection> {
        let idle = self.idle.get_mut(address)?;
        let now = Instant::now();
        while let Some((since, connection)) = idle.pop() {
            if now.duration_since(since) >= self.trust {
                idle.clear();
                return None;
            }
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back that has just answered.
    pub fn put(&mut self, address: &str, connection: Connection) {
        let now = Instant::now();
        let idle = match self.idle.get_mut(address) {
            Some(idle) => idle,
            None => self.idle.entry(address.to_owned()).or_default(),
        };
        let trust = self.trust;
        if let Some((since, _)) = idle.first() {
            if now.duration_since(*since) >= trust {
                idle.retain(|(since, _)| now.duration_since(*since) < trust);
            }
        }
        idle.push((now, connection));
    }

    /// Closes the idle connections to an address.
    pub fn remove(&mut self, address: &str) {
        self.idle.remove(address);
    }

    /// Closes the connections that are trusted no more.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        let trust = self.trust;
        self.idle.retain(|_, idle| {
            idle.retain(|(since, connection)| {
                now.duration_since(*since) < trust && connection.is_usable()
            });
            !idle.is_empty()
        });
    }
}
