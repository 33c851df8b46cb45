//! HTTP/1.1 servers with a thread for each connection, and a client with time limits.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// A request as a server got it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What a server does with a request.
pub enum Response {
    /// A status and a JSON body.
    Answer(u16, String),
    /// The request gets no answer, and the connection delivers nothing further.
    Silence,
    /// The connection is closed.
    Close,
}

/// A server that can be stopped: it then closes its listener and its connections.
pub struct Server {
    stopped: Arc<AtomicBool>,
    address: SocketAddr,
}

impl Server {
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        TcpStream::connect_timeout(&self.address, Duration::from_millis(200)).ok();
    }
}

/// Starts a server.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = bind(address)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let server = Server {
        stopped: stopped.clone(),
        address,
    };
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (handler, stopped) = (handler.clone(), stopped.clone());
            thread::spawn(move || serve_connection(stream, &*handler, &stopped));
        }
    });
    Ok(server)
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        match TcpListener::bind(address) {
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => thread::sleep(Duration::from_millis(10)),
            bound => return bound,
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Response + ?Sized),
    stopped: &AtomicBool,
) {
    stream.set_nodelay(true).ok();
    stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .ok();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader, stopped) {
        match handler(request) {
            Response::Answer(status, body) => {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body.bytes());
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Response::Silence => {
                let mut buffer = [0; 512];
                loop {
                    match reader.get_mut().read(&mut buffer) {
                        Ok(0) => return,
                        Err(e) if !is_timeout(&e) => return,
                        _ if stopped.load(Ordering::SeqCst) => return,
                        _ => {}
                    }
                }
            }
            Response::Close => return,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

fn read_line(reader: &mut BufReader<TcpStream>, stopped: &AtomicBool) -> Option<String> {
    let mut line = Vec::new();
    loop {
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => return None,
            Ok(_) if line.ends_with(b"\n") => {
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned())
            }
            Ok(_) => {}
            Err(e) if is_timeout(&e) && !stopped.load(Ordering::SeqCst) => {}
            Err(_) => return None,
        }
    }
}

fn read_exact(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    stopped: &AtomicBool,
) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) => return None,
            Ok(count) => filled += count,
            Err(e) if is_timeout(&e) && !stopped.load(Ordering::SeqCst) => {}
            Err(_) => return None,
        }
    }
    Some(body)
}

fn read_headers(
    reader: &mut BufReader<TcpStream>,
    stopped: &AtomicBool,
) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader, stopped)?;
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, stopped: &AtomicBool) -> Option<Request> {
    let line = read_line(reader, stopped)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(k, v)| (decode(k), decode(v))).collect();
    let path = path.to_owned();
    let headers = read_headers(reader, stopped)?;
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let body = read_exact(reader, length.unwrap_or(0), stopped)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|d| u8::from_str_radix(d, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (other, _) => {
                out.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request over a new connection. Returns the status and the body, or `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    deadline_ms: u64,
    body: &str,
) -> Option<(u16, Vec<u8>)> {
    let limit = Duration::from_millis(deadline_ms);
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok();
    stream
        .set_read_timeout(Some(Duration::from_millis(20)))
        .ok();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Poplarknot-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let expired = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicBool::new(false));
    let (flag, finished) = (expired.clone(), done.clone());
    thread::spawn(move || {
        while Instant::now() < until && !finished.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        flag.store(true, Ordering::SeqCst);
    });
    let mut reader = BufReader::new(stream);
    let answer = (|| {
        let line = read_line(&mut reader, &expired)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let headers = read_headers(&mut reader, &expired)?;
        let length = headers.get("content-length").and_then(|l| l.parse().ok());
        let body = read_exact(&mut reader, length.unwrap_or(0), &expired)?;
        Some((status, body))
    })();
    done.store(true, Ordering::SeqCst);
    answer
}
