//! An HTTP server that can be stopped and started again on the same port.

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
    }, //
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
    }, //
};

/// A reserved port. While nothing listens on it, it refuses connections, and the system assigns it to no other test.
pub struct Port {
    address: SocketAddr,
    _reservation: TcpSocket,
}

impl Port {
    /// Reserves a free port of the loopback address.
    pub fn reserve() -> std::io::Result<Self> {
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
    /// The query, percent-encoded.
    pub query: String,
    /// The value of the `if-none-match` header.
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

    /// Returns a decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// A response; `None` closes the connection without one.
pub type Response = Option<hyper::Response<Full<Bytes>>>;

/// Returns a response with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    response(status, serde_json::to_vec(body).ok()?)
}

/// Returns a response.
pub fn response(status: u16, body: impl Into<Bytes>) -> Response {
    let answer = hyper::Response::builder().status(status);
    answer.body(Full::new(body.into())).ok()
}

type Handler = Arc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response> + Send>> + Send + Sync>;

/// An HTTP server on the runtime of the test; stopped when dropped.
pub struct Server {
    port: Port,
    handler: Handler,
    max_connections: usize,
    accept_loop: Mutex<Option<AcceptLoop>>,
}

impl Server {
    /// Starts a server with at most `max_connections` open connections; it closes any more at once.
    pub fn start<F>(
        max_connections: usize,
        handler: impl Fn(Request) -> F + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = Response> + Send + 'static,
    {
        let server = Self {
            port: Port::reserve()?,
            handler: Arc::new(move |request| Box::pin(handler(request))),
            max_connections,
            accept_loop: Mutex::default(),
        };
        server.reopen()?;
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Listens again after a close.
    pub fn reopen(&self) -> std::io::Result<()> {
        let (handler, max_connections) = (self.handler.clone(), self.max_connections);
        let serve = move |stream| serve(stream, handler.clone());
        let accept_loop = AcceptLoop::start(self.port.listen()?, max_connections, serve);
        *self.accept_loop.lock().unwrap() = Some(accept_loop);
        Ok(())
    }

    /// Drops all connections and refuses new ones.
    pub async fn close(&self) {
        let accept_loop = self.accept_loop.lock().unwrap().take();
        if let Some(accept_loop) = accept_loop {
            accept_loop.stop().await;
        }
    }
}

/// A task that accepts connections. Its stop or drop closes them all.
pub struct AcceptLoop {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl AcceptLoop {
    /// Starts to accept connections, at most `max_connections` at a time; closes any more at once.
    pub fn start<F>(
        listener: TcpListener,
        max_connections: usize,
        serve: impl Fn(TcpStream) -> F + Send + 'static,
    ) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, max_connections, serve, stopped));
        Self { stop, task }
    }

    /// Stops accepting and waits until all connections are closed.
    pub async fn stop(self) {
        drop(self.stop);
        let _ = self.task.await;
    }
}

async fn accept<F>(
    listener: TcpListener,
    max_connections: usize,
    serve: impl Fn(TcpStream) -> F,
    mut stopped: oneshot::Receiver<()>,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            Ok((stream, _)) = listener.accept() => {
                while open.try_join_next().is_some() {}
                if open.len() < max_connections {
                    open.spawn(serve(stream));
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
    // A forked child shares the socket until its exec. Closing alone would leave the port accepting connections until
    // then.
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
