//! The client of the administration API.

use std::{
    fs,
    time::Duration, //
};

use bytes::Bytes;
use getopts::{
    Matches,
    Options, //
};
use hyper::Method;
use rand::Rng;

use super::{
    client::{
        address_option,
        addresses,
        Call,
        Failure, //
    },
    exit::Exit,
    print, //
};
use crate::{
    error::Error,
    http::Reply,
    prelude::*, //
};

/// The variable that holds the token where there is no file.
const TOKEN_VARIABLE: &str = "POPLARKNOT_TOKEN";

/// The header that names the change, so that a repeated request is one change.
const OPERATION_HEADER: &str = "poplarknot-operation";

/// How often a request is sent before giving up.
const ATTEMPTS: usize = 3;

/// Before the second attempt; each further wait is twice as long.
const BACKOFF: Duration = Duration::from_millis(200);

/// How long to wait for each answer.
const WAIT: Duration = Duration::from_secs(15);

/// What an operator asks of the administration API.
pub(super) struct Ask {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// The change that it is; none where it only reads.
    pub(super) operation: Option<Operation>,
}

/// Adds the options of every administration command.
pub(super) fn options(options: &mut Options) {
    address_option(options);
    let brief = format!("Reads the operator's token from FILE [the variable {TOKEN_VARIABLE}]");
    options.optopt("", "token-file", &brief, "FILE");
}

/// Draws an operation.
pub(super) fn draw() -> Operation {
    Operation(rand::rng().random())
}

impl Ask {
    /// Makes a question that changes nothing.
    pub(super) fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            operation: None,
        }
    }

    /// Asks, and prints the answer.
    pub(super) async fn run(self, matches: &Matches) -> Result<Exit, Error> {
        let call = self.call(&token(matches)?);
        let reply = self.send(&call, &addresses(matches)).await?;
        let text = String::from_utf8_lossy(&reply.body);
        if !reply.status.is_success() {
            return Err(Error::Refused {
                status: reply.status.as_u16(),
                body: text.trim_end().to_owned(),
            });
        }
        print(&format!("{}\n", text.trim_end()))
    }

    fn call(&self, token: &str) -> Call {
        let mut headers = vec![("authorization", format!("Bearer {token}"))];
        if let Some(operation) = self.operation {
            headers.push((OPERATION_HEADER, operation.to_string()));
        }
        if !self.body.is_empty() {
            headers.push(("content-type", "application/json".to_owned()));
        }
        Call {
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
            wait: WAIT,
        }
    }

    /// Sends the request until an instance decides it.
    ///
    /// Repeating a change is safe: its operation is drawn once, and an instance that finds it done says so
    /// without doing it again.
    async fn send(&self, call: &Call, addresses: &[String]) -> Result<Reply, Error> {
        let attempts = ATTEMPTS.max(addresses.len());
        let mut backoff = BACKOFF;
        let mut failures = Vec::new();
        let mut lost = false;
        let mut undecided = None;
        for (i, address) in addresses.iter().cycle().take(attempts).enumerate() {
            // The first round goes to instances not asked yet, which needs no wait.
            if i >= addresses.len() {
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            match call.send(address).await {
                Ok(reply) if decided(&reply) => return Ok(reply),
                Ok(reply) => undecided = Some(reply),
                Err(Failure::Unsent(why)) => failures.push(why),
                Err(Failure::Lost(why)) => {
                    failures.push(why);
                    lost = true;
                }
            }
        }
        match (self.operation.filter(|_| lost), undecided) {
            (Some(operation), _) => Err(Error::Unsettled {
                operation,
                failures,
            }),
            (None, Some(reply)) => Ok(reply),
            (None, None) => Err(Error::Unreachable(failures)),
        }
    }
}

/// Tells whether another attempt can't change the reply.
fn decided(reply: &Reply) -> bool {
    !reply.status.is_server_error() && reply.status.as_u16() != 429
}

fn token(matches: &Matches) -> Result<String, Error> {
    let token = match matches.opt_str("token-file") {
        Some(path) => fs::read_to_string(&path).map_err(|source| Error::Read { path, source })?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
            Error::Usage(format!(
                "--token-file FILE or the variable {TOKEN_VARIABLE} is missing"
            ))
        })?,
    };
    let token = token.trim();
    // The token itself is never shown.
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Error::Usage(
            "the token is empty or holds a character that no token has".to_owned(),
        ));
    }
    Ok(token.to_owned())
}
