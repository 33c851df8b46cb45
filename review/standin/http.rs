//! HTTP/1.1 servers with a thread for each connection, and a client that opens a connection for each request.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    /// The path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The value of `X-Poplarknot-Expected-Instance`.
    pub expected: Option<String>,
    pub body: String,
    /// When its connection was opened.
    pub opened: Instant,
}

impl Request {
    pub fn argument(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// The status and the body of a response, or why there is none.
pub type Reply = Result<(u16, String), Lost>;

/// Why a request gets no response.
pub enum Lost {
    /// Nothing comes any more, and the connection stays open.
    Silent,
    /// The connection belongs to a process that has ended, and is closed.
    Closed,
}

/// Serves a listener; the handler is called in the thread of the connection.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let builder = thread::Builder::new().stack_size(256 << 10);
            builder
                .spawn(move || serve_connection(stream, &*handle))
                .ok();
        }
    });
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Reply) {
    stream.set_nodelay(true).ok();
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let opened = Instant::now();
    let mut reader = BufReader::new(reading);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            break;
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pair = |pair: &str| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key.to_owned(), decode(value))
        };
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.split('&').map(pair).collect(),
            expected: header(&headers, "x-poplarknot-expected-instance"),
            body,
            opened,
        };
        let (status, body) = match handle(request) {
            Ok(response) => response,
            Err(Lost::Closed) => break,
            Err(Lost::Silent) => {
                reader.read_to_end(&mut Vec::new()).ok();
                break;
            }
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    stream.shutdown(Shutdown::Both).ok();
}

fn header(headers: &[(String, String)], name: &str) -> Option<String> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.clone())
}

type Message = (String, Vec<(String, String)>, String);

/// Reads a request or a response: the first line, the headers and the body.
fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = header(&headers, "content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, String::from_utf8(body).ok()?))
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request over a new connection; returns the status and the body, or `None` without a response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(patience)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-poplarknot-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        patience.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
