//! The client of the HTTP API for operators.

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
        add_address_option,
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

/// The environment variable with the token, read if no file is given.
const TOKEN_VARIABLE: &str = "POPLARKNOT_TOKEN";

/// The request header with the id of a change, so that a retry doesn't apply it twice.
const OPERATION_HEADER: &str = "poplarknot-operation";

/// Attempts to send a request; more if there are more addresses.
const MIN_ATTEMPTS: usize = 3;

/// Delay before the first address is tried again; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Time limit for each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// A request to the API for operators.
pub(super) struct AdminRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// The id of the change; `None` for a read.
    pub(super) operation: Option<Operation>,
}

/// Adds the options that all commands for operators share.
pub(super) fn add_options(options: &mut Options) {
    add_address_option(options);
    let brief = format!("Reads the operator's token from FILE [the variable {TOKEN_VARIABLE}]");
    options.optopt("", "token-file", &brief, "FILE");
}

/// Returns a random id for a change.
pub(super) fn random_operation() -> Operation {
    Operation(rand::rng().random())
}

impl AdminRequest {
    /// Returns a request that only reads.
    pub(super) fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            operation: None,
        }
    }

    /// Sends the request and prints the answer.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or if the answer isn't a success.
    pub(super) async fn run(self, matches: &Matches) -> Result<Exit, Error> {
        let call = self.build_call(&read_token(matches)?);
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

    fn build_call(&self, token: &str) -> Call {
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
            timeout: ANSWER_TIMEOUT,
        }
    }

    /// Sends the request until an instance gives a final answer or the attempts run out.
    ///
    /// A retry of a change is safe: all attempts carry the same operation id, and an instance doesn't apply an id
    /// twice.
    async fn send(&self, call: &Call, addresses: &[String]) -> Result<Reply, Error> {
        let attempts = MIN_ATTEMPTS.max(addresses.len());
        let mut backoff = INITIAL_BACKOFF;
        let mut failures = Vec::new();
        let mut lost = false;
        let mut retryable = None;
        for (i, address) in addresses.iter().cycle().take(attempts).enumerate() {
            // Each address is tried once before the first delay.
            if i >= addresses.len() {
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            match call.send(address).await {
                Ok(reply) if is_final(&reply) => return Ok(reply),
                Ok(reply) => retryable = Some(reply),
                Err(Failure::Unsent(why)) => failures.push(why),
                Err(Failure::Lost(why)) => {
                    failures.push(why);
                    lost = true;
                }
            }
        }
        match (self.operation.filter(|_| lost), retryable) {
            (Some(operation), _) => Err(Error::ChangeUnknown {
                operation,
                failures,
            }),
            (None, Some(reply)) => Ok(reply),
            (None, None) => Err(Error::Unreachable(failures)),
        }
    }
}

/// Returns whether a retry can't change the reply.
fn is_final(reply: &Reply) -> bool {
    !reply.status.is_server_error() && reply.status.as_u16() != 429
}

fn read_token(matches: &Matches) -> Result<String, Error> {
    let token = match matches.opt_str("token-file") {
        Some(path) => fs::read_to_string(&path).map_err(|source| Error::Read { path, source })?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
            Error::Usage(format!(
                "--token-file FILE or the variable {TOKEN_VARIABLE} is missing"
            ))
        })?,
    };
    let token = token.trim();
    // The error doesn't contain the token, since it may end up in a log.
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Error::Usage(
            "the token is empty or contains a space or an unprintable character".to_owned(),
        ));
    }
    Ok(token.to_owned())
}
