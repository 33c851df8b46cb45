//! HTTP/1.1 client connections, and a pool that keeps idle ones for reuse.

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
    time::Instant, //
};

use crate::timeout::{
    within,
    Expired, //
};

/// How long a connection may take to open, unless another timeout is given.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest body that is read, unless another limit is given.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    max_body_bytes: usize,
}

/// The error of a request that has no response. It says whether a retry can execute the request twice.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No byte of the request was sent.
    #[error(transparent)]
    Unsent(Cause),
    /// The request may have arrived.
    #[error(transparent)]
    Broken(Cause),
}

/// The cause of a failure.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The connection didn't open in time.
    #[error("connecting: {0}")]
    ConnectTimeout(Expired),
    /// The response didn't arrive in time.
    #[error(transparent)]
    AnswerTimeout(#[from] Expired),
    /// The connection was refused or couldn't be opened.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The connection closed early, or the data received is no valid HTTP.
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    /// The body ended early or is too large.
    #[error(transparent)]
    Body(Box<dyn error::Error + Send + Sync>),
}

/// A response that was read completely.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The entity tag, if the response has one in visible ASCII.
    pub etag: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the connection can't be opened within [`CONNECT_TIMEOUT`].
    pub async fn open(address: &str) -> Result<Self, Failure> {
        Self::open_within(CONNECT_TIMEOUT, MAX_BODY_BYTES, address).await
    }

    /// Opens a connection whose responses may have bodies of up to `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the connection can't be opened within `wait`.
    pub async fn open_within(
        wait: Duration,
        max_body_bytes: usize,
        address: &str,
    ) -> Result<Self, Failure> {
        let stream = within(wait, TcpStream::connect(address)).await;
        let stream = stream.map_err(|expired| Failure::Unsent(Cause::ConnectTimeout(expired)))?;
        let stream = stream.map_err(|error| Failure::Unsent(error.into()))?;
        stream.set_nodelay(true).ok();
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| Failure::Unsent(error.into()))?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            max_body_bytes,
        })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if no byte of the request was sent, and else [`Failure::Broken`].
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let sent = self.sender.try_send_request(request).await;
        let response: Response<Incoming> = sent.map_err(|mut error| {
            // hyper returns the request only if no byte of it was written.
            match error.take_message() {
                Some(_) => Failure::Unsent(error.into_error().into()),
                None => Failure::Broken(error.into_error().into()),
            }
        })?;
        let status = response.status();
        let etag = response.headers().get(ETAG);
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        let body = Limited::new(response.into_body(), self.max_body_bytes);
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

/// Sends a request over an idle connection, or over a new one if `idle` is `None`.
///
/// Returns the connection with the response, for reuse. A failed connection is closed.
///
/// # Errors
///
/// Returns [`Failure::Unsent`] if no byte of the request was sent, and else [`Failure::Broken`].
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

/// Builds a request without a content type.
pub fn build_request(
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // Paths are built from validated or percent-encoded names, so parsing doesn't fail.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}

/// Builds a request with the content type `application/json`.
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

/// A pool of idle connections by address. A connection expires when its last response is older than the idle timeout.
///
/// A firewall or a load balancer may drop the state of an idle connection without closing it: requests on it get no
/// response, while new connections work. The timeout keeps such connections from being used again.
#[derive(Debug)]
pub struct Pool {
    idle_timeout: Duration,
    idle: HashMap<String, Vec<(Instant, Connection)>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            idle: HashMap::new(),
        }
    }

    /// Removes and returns the most recently used connection to an address that is open and hasn't expired.
    pub fn take_idle(&mut self, address: &str) -> Option<Connection> {
        let idle = self.idle.get_mut(address)?;
        let now = Instant::now();
        while let Some((idle_since, connection)) = idle.pop() {
            if now.duration_since(idle_since) >= self.idle_timeout {
                idle.clear();
                return None;
            }
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection that has just received a response.
    pub fn put(&mut self, address: &str, connection: Connection) {
        let now = Instant::now();
        let idle = match self.idle.get_mut(address) {
            Some(idle) => idle,
            None => self.idle.entry(address.to_owned()).or_default(),
        };
        let idle_timeout = self.idle_timeout;
        if let Some((idle_since, _)) = idle.first() {
            if now.duration_since(*idle_since) >= idle_timeout {
                idle.retain(|(idle_since, _)| now.duration_since(*idle_since) < idle_timeout);
            }
        }
        idle.push((now, connection));
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&mut self, address: &str) {
        self.idle.remove(address);
    }

    /// Closes the connections that have expired.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, idle| {
            idle.retain(|(idle_since, connection)| {
                now.duration_since(*idle_since) < idle_timeout && connection.is_usable()
            });
            !idle.is_empty()
        });
    }
}
