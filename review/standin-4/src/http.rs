//! HTTP/1.1 with bodies of a known length: a server with a thread for each connection, and a client.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// The connections that may wait to be accepted at a server without a bound of its channels; the standard library's 128 are too few for
/// bursts.
const BACKLOG: i32 = 4_096;

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// A channel without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// A status and a body, or `None` to break the connection off.
pub type Answer = Option<(u16, String)>;

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
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
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A server, until it is stopped.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    /// Closes the port and resets all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
        for (_, stream) in self.open.lock().unwrap().drain() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Serves requests at a free port of `ip`.
pub fn serve(ip: &str, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Server {
    serve_at(&format!("{ip}:0"), handle)
}

/// Serves requests at an address.
pub fn serve_at(
    address: &str,
    handle: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> Server {
    serve_some(address, usize::MAX, handle)
}

/// Serves requests at an address over at most `most` channels at a time: further ones wait until one of these is closed.
pub fn serve_some(
    address: &str,
    most: usize,
    handle: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> Server {
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    if most == usize::MAX {
        // SAFETY: the descriptor is that of a listening socket, whose queue a second call resizes.
        unsafe { listen(listener.as_raw_fd(), BACKLOG) };
    }
    let address = listener.local_addr().expect("an address");
    let server = Server {
        address,
        stopped: Arc::default(),
        open: Arc::default(),
    };
    let (stopped, open) = (server.stopped.clone(), server.open.clone());
    let served = Arc::new(AtomicUsize::new(0));
    let handle = Arc::new(handle);
    let mut last = 0;
    thread::spawn(move || loop {
        while served.load(Ordering::SeqCst) >= most && !stopped.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        last += 1;
        let id = last;
        if let Ok(stream) = stream.try_clone() {
            open.lock().unwrap().insert(id, stream);
        }
        let open = open.clone();
        let (handle, served) = (handle.clone(), served.clone());
        served.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            serve_connection(stream, &*handle);
            open.lock().unwrap().remove(&id);
            served.fetch_sub(1, Ordering::SeqCst);
        });
    });
    server
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Answer) {
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(IDLE_TIMEOUT)).ok();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers))) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &headers) else {
            return;
        };
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let Some((status, text)) = handle(Request {
            path,
            headers,
            body,
        }) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        if writer.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request over a connection of its own.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    wait: Duration,
) -> io::Result<(u16, String)> {
    let target: SocketAddr = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&target, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Poplarknot-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        wait.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, text))
}
