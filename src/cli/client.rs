//! The client side of the commands: one request at a time over a fresh connection.

use std::{
    fs,
    future::Future,
    io::{
        self,
        Read, //
    },
    time::Duration,
};

use bytes::Bytes;
use getopts::{
    Matches,
    Options, //
};
use http_body_util::Full;
use hyper::{
    header::HOST,
    Method,
    Request, //
};
use tokio::time::timeout;

use crate::{
    error::Error,
    http::{
        Connection,
        Reply, //
    },
};

/// Where an instance of the shipped settings file listens.
const ADDRESS: &str = "127.0.0.1:7400";

/// How long to wait for a connection.
const CONNECT: Duration = Duration::from_secs(3);

/// The largest answer that is taken, in bytes.
const LARGEST_ANSWER: usize = 256 << 20;

/// The name that stands for standard input.
pub(super) const STANDARD_INPUT: &str = "-";

/// A request to any instance.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
    /// How long to wait for the whole answer.
    pub(super) wait: Duration,
}

/// Why there is no reply.
#[derive(Debug)]
pub(super) enum Failure {
    /// No byte of the request left.
    Unsent(String),
    /// The request may have arrived.
    Lost(String),
}

impl Call {
    /// Sends the request to one address.
    pub(super) async fn send(&self, address: &str) -> Result<Reply, Failure> {
        let connection = Connection::open_within(CONNECT, LARGEST_ANSWER, address).await;
        let mut connection = connection.map_err(|e| Failure::Unsent(format!("{address}: {e}")))?;
        let request = self.request(address).map_err(Failure::Unsent)?;
        match timeout(self.wait, connection.send(request)).await {
            Ok(reply) => reply.map_err(|e| Failure::Lost(format!("{address}: {e}"))),
            Err(_) => {
                let waited = self.wait.as_secs();
                Err(Failure::Lost(format!("{address}: no answer in {waited} s")))
            }
        }
    }

    fn request(&self, address: &str) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(&self.method)
            .uri(&self.path)
            .header(HOST, address);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(self.body.clone()));
        request.map_err(|e| e.to_string())
    }
}

/// Runs a future to its end on this thread.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread {
            what: "client",
            source,
        })?;
    Ok(runtime.block_on(future))
}

/// Adds the option that names addresses.
pub(super) fn address_option(options: &mut Options) {
    let brief =
        format!("Sends it to the instance at ADDRESS, the next one where that fails [{ADDRESS}]");
    options.optmulti("t", "to", &brief, "ADDRESS");
}

/// Returns the addresses to try, in order.
pub(super) fn addresses(matches: &Matches) -> Vec<String> {
    let addresses = matches.opt_strs("to");
    if addresses.is_empty() {
        return vec![ADDRESS.to_owned()];
    }
    addresses
}

/// Returns an option's value.
pub(super) fn option<T>(matches: &Matches, name: &str) -> Result<Option<T>, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let wrong = |e| Error::Usage(format!("--{name} {text}: {e}"));
    text.parse().map(Some).map_err(wrong)
}

/// Reads a file, or standard input.
pub(super) fn read(path: &str) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let read = match path {
        STANDARD_INPUT => io::stdin().lock().read_to_end(&mut bytes),
        _ => fs::read(path).map(|read| {
            bytes = read;
            bytes.len()
        }),
    };
    match read {
        Ok(_) => Ok(bytes),
        Err(source) => Err(Error::Read {
            path: path.to_owned(),
            source,
        }),
    }
}
