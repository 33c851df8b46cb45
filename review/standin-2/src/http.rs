//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server receives it.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A response: status and JSON body.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Handles a request; `None` closes the connection without a response.
pub type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Serves a listener for as long as the process runs.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
}

/// Serves a listener while `is_up` says so. When it doesn't, the port has no listener and all connections are closed.
pub fn serve_while(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Send + 'static,
    handler: Arc<Handler>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    thread::spawn(move || {
        let mut listener = Some(listener);
        let mut open: Vec<TcpStream> = Vec::new();
        loop {
            let up = is_up();
            if !up {
                listener = None;
                for stream in open.drain(..) {
                    stream.shutdown(Shutdown::Both).ok();
                }
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
                if let Some(bound) = &listener {
                    bound.set_nonblocking(true).ok();
                }
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    stream.set_nonblocking(false).ok();
                    open.extend(stream.try_clone());
                    let handler = handler.clone();
                    thread::spawn(move || drop(serve_connection(stream, &*handler)));
                }
                _ => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some(head) = read_head(&mut reader)? else {
            return Ok(());
        };
        let mut words = head.first.split(' ');
        let target = words.by_ref().nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pair = |pair: &str| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode(key), decode(value))
        };
        let request = Request {
            path: decode(path),
            query: query.split('&').map(pair).collect(),
            body: read_body(&mut reader, &head.headers)?,
            headers: head.headers,
        };
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
}

struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            let first = first.trim_end().to_owned();
            return Ok(Some(Head { first, headers }));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let find = |name: &str| {
        let found = headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    };
    if find("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|d| std::str::from_utf8(d).ok());
        let digits = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request over a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let head = read_head(&mut reader)?.ok_or_else(|| io::Error::other("no response"))?;
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Response {
        status: status.ok_or_else(|| io::Error::other("no status"))?,
        body: read_body(&mut reader, &head.headers)?,
    })
}
