//! The HTTP client of the commands. Each request has a connection of its own.

use std::{
    fs,
    future::Future,
    io::{
        self,
        Read, //
    },
    time::Duration, //
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

use crate::{
    error::Error,
    http::{
        Connection,
        Reply, //
    },
    timeout::within, //
};

/// The address of an instance with the shipped settings file.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7400";

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Size limit of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// The file name that stands for standard input.
pub(super) const STANDARD_INPUT: &str = "-";

/// A request that can be sent to any instance.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
    /// Time limit for the whole answer.
    pub(super) timeout: Duration,
}

/// Why a request got no reply.
#[derive(Debug)]
pub(super) enum Failure {
    /// No byte of the request was sent.
    Unsent(String),
    /// The request may have arrived at the instance.
    Lost(String),
}

impl Call {
    /// Sends the request to one address and waits for the reply.
    pub(super) async fn send(&self, address: &str) -> Result<Reply, Failure> {
        let connection = Connection::open_within(CONNECT_TIMEOUT, MAX_ANSWER_BYTES, address).await;
        let mut connection = connection.map_err(|e| Failure::Unsent(format!("{address}: {e}")))?;
        let request = self.build_request(address).map_err(Failure::Unsent)?;
        match within(self.timeout, connection.send(request)).await {
            Ok(reply) => reply.map_err(|e| Failure::Lost(format!("{address}: {e}"))),
            Err(_) => {
                let seconds = self.timeout.as_secs();
                Err(Failure::Lost(format!(
                    "{address}: no answer within {seconds} s"
                )))
            }
        }
    }

    fn build_request(&self, address: &str) -> Result<Request<Full<Bytes>>, String> {
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

/// Runs a future to completion on this thread.
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

/// Adds the option for the addresses of instances.
pub(super) fn add_address_option(options: &mut Options) {
    let brief = format!(
        "Sends to the instance at ADDRESS; repeat it to name fallbacks [{DEFAULT_ADDRESS}]"
    );
    options.optmulti("t", "to", &brief, "ADDRESS");
}

/// Returns the addresses to try, in order.
pub(super) fn addresses(matches: &Matches) -> Vec<String> {
    let addresses = matches.opt_strs("to");
    if addresses.is_empty() {
        return vec![DEFAULT_ADDRESS.to_owned()];
    }
    addresses
}

/// Parses an option's value; returns `None` if the option isn't given.
pub(super) fn parse_option<T>(matches: &Matches, name: &str) -> Result<Option<T>, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let usage = |e| Error::Usage(format!("--{name} {text}: {e}"));
    text.parse().map(Some).map_err(usage)
}

/// Reads a whole file, or standard input for `-`.
pub(super) fn read_input(path: &str) -> Result<Vec<u8>, Error> {
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
