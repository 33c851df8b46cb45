//! A small HTTP server that can be taken away and brought back on the same port.

use std::{
    future::Future,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    os::fd::AsRawFd as _,
    pin::Pin,
    sync::{
        Arc,
        Mutex, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt as _,
    Full, //
};
use hyper::{
    body::Incoming,
    service::service_fn,
    Method, //
};
use hyper_util::rt::TokioIo;
use nix::sys::socket::{
    shutdown,
    Shutdown, //
};
use serde::Serialize;
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::oneshot,
    task::{
        JoinHandle,
        JoinSet, //
    },
};

/// A port that stays taken while nothing listens, so that a connect is refused in the meantime.
pub struct Port {
    address: SocketAddr,
    _reservation: TcpSocket,
}

impl Port {
    /// Takes a free port of the loopback address.
    pub fn take() -> std::io::Result<Self> {
        let reservation = TcpSocket::new_v4()?;
        reservation.set_reuseport(true)?;
        reservation.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        Ok(Self {
            address: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port.
    pub fn listen(&self) -> std::io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseport(true)?;
        socket.bind(self.address)?;
        socket.listen(1_024)
    }
}

/// A request with its whole body.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, still encoded.
    pub query: String,
    /// The state that the client knows, where it names one.
    pub if_none_match: Option<String>,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    async fn read(request: hyper::Request<Incoming>) -> hyper::Result<Self> {
        let (head, body) = request.into_parts();
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            if_none_match: head
                .headers
                .get("if-none-match")
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// An answer; without one the connection is closed.
pub type Response = Option<hyper::Response<Full<Bytes>>>;

/// Makes an answer with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    response(status, serde_json::to_vec(body).ok()?)
}

/// Makes an answer.
pub fn response(status: u16, body: impl Into<Bytes>) -> Response {
    let answer = hyper::Response::builder().status(status);
    answer.body(Full::new(body.into())).ok()
}

type Handler = Arc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response> + Send>> + Send + Sync>;

/// An HTTP server on the runtime of the test; it ends when dropped.
pub struct Server {
    port: Port,
    handler: Handler,
    connections: usize,
    accept: Mutex<Option<Loop>>,
}

impl Server {
    /// Starts a server that takes `connections` at a time and closes those beyond at once.
    pub fn start<F>(
        connections: usize,
        handler: impl Fn(Request) -> F + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = Response> + Send + 'static,
    {
        let server = Self {
            port: Port::take()?,
            handler: Arc::new(move |request| Box::pin(handler(request))),
            connections,
            accept: Mutex::default(),
        };
        server.open()?;
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Listens again after a close.
    pub fn open(&self) -> std::io::Result<()> {
        let (handler, most) = (self.handler.clone(), self.connections);
        let serve = move |stream| serve(stream, handler.clone());
        let accept = Loop::start(self.port.listen()?, most, serve);
        *self.accept.lock().unwrap() = Some(accept);
        Ok(())
    }

    /// Drops all connections and refuses new ones.
    pub async fn close(&self) {
        let accept = self.accept.lock().unwrap().take();
        if let Some(accept) = accept {
            accept.end().await;
        }
    }
}

/// Accepts connections until it is ended or dropped; they end with it.
pub struct Loop {
    end: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Loop {
    /// Starts to accept `most` connections at a time; those beyond are closed at once.
    pub fn start<F>(
        listener: TcpListener,
        most: usize,
        serve: impl Fn(TcpStream) -> F + Send + 'static,
    ) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (end, ended) = oneshot::channel();
        let task = tokio::spawn(accept(listener, most, serve, ended));
        Self { end, task }
    }

    /// Ends it and waits until all connections are closed.
    pub async fn end(self) {
        drop(self.end);
        let _ = self.task.await;
    }
}

async fn accept<F>(
    listener: TcpListener,
    most: usize,
    serve: impl Fn(TcpStream) -> F,
    mut ended: oneshot::Receiver<()>,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut ended => break,
            Ok((stream, _)) = listener.accept() => {
                while open.try_join_next().is_some() {}
                if open.len() < most {
                    open.spawn(serve(stream));
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
    // A child that is being forked holds the socket too, until its exec: a mere close would let the
    // port take connections for that long.
    let _ = shutdown(listener.as_raw_fd(), Shutdown::Both);
    drop(listener);
    open.shutdown().await;
}

async fn serve(stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move {
            let request = Request::read(request)
                .await
                .map_err(std::io::Error::other)?;
            let closed = || std::io::Error::other("closed without an answer");
            handler(request).await.ok_or_else(closed)
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
