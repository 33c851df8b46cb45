//! `poplarknot submit`: submits a burst and prints its answer.

use std::{
    collections::BTreeMap,
    io::IsTerminal,
    time::Duration, //
};

use bytes::Bytes;
use getopts::Matches;
use hyper::Method;
use indicatif::{
    ProgressBar,
    ProgressStyle, //
};
use serde::Serialize;
use serde_json::value::{
    to_raw_value,
    RawValue, //
};

use super::{
    client::{
        add_address_option,
        addresses,
        block_on,
        parse_option,
        read_input,
        Call,
        Failure,
        STANDARD_INPUT, //
    },
    exit::Exit,
    print,
    Syntax, //
};
use crate::{
    error::Error,
    http::Reply,
    prelude::*, //
};

/// The request header that states that the key hasn't been sent before.
const FIRST_HEADER: &str = "poplarknot-first";

/// Time past the deadline to wait for the answer to arrive.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Time limit for the answer to a submission without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(300);

/// Interval between two redraws of the progress indicator.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

const BRIEF: &str = "\
Usage: poplarknot submit [OPTIONS] [FILE]

Submits the burst in FILE, or on standard input, and prints the answer as JSON on standard output.
An option replaces the field of the same name in the file.

Exit codes: 0 complete, 4 failed, 5 not run, 6 unknown.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let syntax = build_syntax();
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let burst = Burst::read(&matches)?;
    let addresses = addresses(&matches);
    let answer = block_on(burst.submit(&addresses))??;
    print(&format!("{}\n", answer.text.trim_end()))?;
    Ok(answer.outcome.into())
}

fn build_syntax() -> Syntax {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    add_address_option(options);
    options.optopt("", "team", "The team that is charged for it", "TEAM");
    options.optopt("", "service", "The service that runs it", "SERVICE");
    options.optopt("", "key", "The idempotency key", "KEY");
    options.optopt("", "class", "idempotent, once or non-idempotent", "CLASS");
    options.optopt("", "deadline", "The time limit for the answer", "MS");
    let brief =
        "States that KEY has not been sent before, so that a refusal can be reported as not run";
    options.optflag("", "first", brief);
    syntax
}

/// An encoded submission. A resubmission with the same key has to be identical byte for byte.
struct Burst {
    body: Bytes,
    has_key: bool,
    /// Whether the caller states that the key hasn't been sent before.
    first: bool,
    tasks: usize,
    timeout: Duration,
}

/// An answer with its original text.
struct RawAnswer {
    outcome: Outcome,
    reason: Reason,
    text: String,
}

impl Burst {
    /// Reads the submission and applies the options to it.
    fn read(matches: &Matches) -> Result<Self, Error> {
        let path = match matches.free.as_slice() {
            [] => STANDARD_INPUT,
            [path] => path,
            [_, stray, ..] => {
                return Err(Error::Usage(format!("unexpected argument '{stray}'")));
            }
        };
        let body = apply_options(&read_input(path)?, matches)?;
        let submission: Submission = serde_json::from_slice(&body).map_err(invalid_submission)?;
        let deadline = submission.deadline.map(|d| d.duration() + ANSWER_GRACE);
        Ok(Self {
            body: body.into(),
            has_key: submission.key.is_some(),
            first: matches.opt_present("first"),
            tasks: submission.tasks.len(),
            timeout: deadline.unwrap_or(DEFAULT_TIMEOUT),
        })
    }

    /// Submits to one address after the other until one gives a final answer.
    ///
    /// The next address is tried only if no earlier request can have run the burst, or if the burst has a key, so
    /// that instances recognize a duplicate. Anything else could run the burst twice.
    async fn submit(&self, addresses: &[String]) -> Result<RawAnswer, Error> {
        let progress = start_progress(self.tasks);
        let mut attempts = Attempts::default();
        for address in addresses {
            progress.set_message(format!("{} tasks at {address}", self.tasks));
            // The key isn't new any more once an earlier request may have arrived.
            let call = self.build_call(self.first && attempts.unknown.is_empty());
            let is_final = attempts.record(address, call.send(address).await);
            let could_run_twice = !attempts.unknown.is_empty() && !self.has_key;
            if is_final || could_run_twice {
                break;
            }
        }
        progress.finish_and_clear();
        attempts.into_result()
    }

    fn build_call(&self, first: bool) -> Call {
        let mut headers = vec![("content-type", "application/json".to_owned())];
        if first {
            headers.push((FIRST_HEADER, "true".to_owned()));
        }
        Call {
            method: Method::POST,
            path: "/v1/jobs".to_owned(),
            headers,
            body: self.body.clone(),
            timeout: self.timeout,
        }
    }
}

/// The results of the requests so far.
#[derive(Default)]
struct Attempts {
    last_answer: Option<RawAnswer>,
    /// Failures and answers after which the burst may have run.
    unknown: Vec<String>,
    /// Failures before any byte was sent.
    unsent: Vec<String>,
}

impl Attempts {
    /// Records the result of a request, and returns whether it's final.
    fn record(&mut self, address: &str, result: Result<Reply, Failure>) -> bool {
        match result {
            Err(Failure::Unsent(why)) => self.unsent.push(why),
            Err(Failure::Lost(why)) => self.unknown.push(why),
            Ok(reply) => match RawAnswer::read(&reply.body) {
                Some(answer) => return self.record_answer(address, answer),
                None => {
                    let status = reply.status;
                    self.unknown
                        .push(format!("{address}: status {status} without an answer"));
                }
            },
        }
        false
    }

    fn record_answer(&mut self, address: &str, answer: RawAnswer) -> bool {
        let transient = answer.is_transient();
        if transient && answer.outcome == Outcome::Unknown {
            self.unknown.push(format!("{address}: {}", answer.text));
        }
        self.last_answer = Some(answer);
        !transient
    }

    /// Returns the last answer if it holds for the burst as a whole.
    ///
    /// A "not run" answer holds for its own request only. If an earlier request may have run, it would be wrong for
    /// the burst.
    ///
    /// # Errors
    ///
    /// Fails if no request got an answer, or if the last answer is "not run" and an earlier request may have run.
    fn into_result(self) -> Result<RawAnswer, Error> {
        match self.last_answer {
            Some(answer) if self.unknown.is_empty() || answer.outcome != Outcome::NotRun => {
                Ok(answer)
            }
            _ if !self.unknown.is_empty() => Err(Error::AnswerLost(self.unknown)),
            _ => Err(Error::Unreachable(self.unsent)),
        }
    }
}

impl RawAnswer {
    /// Parses an answer; returns `None` if the body isn't one.
    fn read(body: &[u8]) -> Option<Self> {
        let answer: Answer = serde_json::from_slice(body).ok()?;
        Some(Self {
            outcome: answer.outcome,
            reason: answer.reason,
            text: String::from_utf8(body.to_vec()).ok()?,
        })
    }

    /// Returns whether the instance refused for a reason that may not apply to another instance.
    fn is_transient(&self) -> bool {
        let transient = matches!(
            self.reason,
            Reason::Busy
                | Reason::Draining
                | Reason::NoEndpoint
                | Reason::NotReady
                | Reason::Schema
                | Reason::Store
        );
        transient && matches!(self.outcome, Outcome::NotRun | Outcome::Unknown)
    }
}

/// Replaces fields of the file by options. Payloads are kept verbatim, since parsing numbers could lose digits.
fn apply_options(bytes: &[u8], matches: &Matches) -> Result<Vec<u8>, Error> {
    let mut fields: BTreeMap<String, Box<RawValue>> =
        serde_json::from_slice(bytes).map_err(invalid_submission)?;
    let mut set = |name: &str, value: Option<Box<RawValue>>| {
        if let Some(value) = value {
            fields.insert(name.to_owned(), value);
        }
    };
    set("team", to_raw(parse_option::<Team>(matches, "team")?)?);
    set(
        "service",
        to_raw(parse_option::<Service>(matches, "service")?)?,
    );
    set("key", to_raw(parse_option::<Key>(matches, "key")?)?);
    set("class", to_raw(parse_option::<Class>(matches, "class")?)?);
    set(
        "deadline_ms",
        to_raw(parse_option::<Span>(matches, "deadline")?)?,
    );
    serde_json::to_vec(&fields).map_err(invalid_submission)
}

fn to_raw(value: Option<impl Serialize>) -> Result<Option<Box<RawValue>>, Error> {
    let value = value.map(|v| to_raw_value(&v));
    value.transpose().map_err(invalid_submission)
}

fn invalid_submission(error: serde_json::Error) -> Error {
    Error::Usage(format!("invalid submission: {error}"))
}

/// Shows a progress indicator if standard error is a terminal.
fn start_progress(tasks: usize) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {msg} {elapsed}");
    let style = style.unwrap_or_else(|_| ProgressStyle::default_spinner());
    let progress = ProgressBar::new_spinner().with_style(style);
    progress.set_message(format!("{tasks} tasks"));
    progress.enable_steady_tick(PROGRESS_INTERVAL);
    progress
}
