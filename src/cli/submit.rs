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
        address_option,
        addresses,
        block_on,
        option,
        read,
        Call,
        Failure, //
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

/// The header that says that the key was never sent before.
const FIRST_HEADER: &str = "poplarknot-first";

/// How long past its deadline an answer may be on its way.
const GRACE: Duration = Duration::from_secs(5);

/// How long to wait for the answer to a submission that names no deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(300);

/// Between two pictures of the progress.
const TICK: Duration = Duration::from_millis(100);

const BRIEF: &str = "\
Usage: poplarknot submit [OPTIONS] [FILE]

Submits the burst in FILE, or on standard input, and prints the answer as JSON on standard output.
An option goes before the field of the same name in the file.

Exit codes: 0 complete, 4 failed, 5 not run, 6 unknown.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let syntax = syntax();
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let burst = Burst::read(&matches)?;
    let addresses = addresses(&matches);
    let answer = block_on(burst.submit(&addresses))??;
    print(&format!("{}\n", answer.text.trim_end()))?;
    Ok(answer.outcome.into())
}

fn syntax() -> Syntax {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    address_option(options);
    options.optopt("", "team", "The team that pays for it", "TEAM");
    options.optopt("", "service", "The service that it goes to", "SERVICE");
    options.optopt("", "key", "The idempotency key", "KEY");
    options.optopt("", "class", "idempotent, once or non-idempotent", "CLASS");
    options.optopt("", "deadline", "The time until the answer", "MS");
    let brief = "Says that KEY was never sent before, so that a refusal can be told as not run";
    options.optflag("", "first", brief);
    syntax
}

/// A submission ready to be sent, and sent again: a resubmission has to be the same to the byte.
struct Burst {
    body: Bytes,
    keyed: bool,
    first: bool,
    tasks: usize,
    wait: Duration,
}

/// An answer with the text that it came in.
struct Told {
    outcome: Outcome,
    reason: Reason,
    text: String,
}

impl Burst {
    fn read(matches: &Matches) -> Result<Self, Error> {
        let path = match matches.free.as_slice() {
            [] => "-",
            [path] => path,
            [_, stray, ..] => {
                return Err(Error::Usage(format!("'{stray}' is one argument too many")));
            }
        };
        let body = overridden(&read(path)?, matches)?;
        let submission: Submission = serde_json::from_slice(&body).map_err(wrong)?;
        let deadline = submission.deadline.map(|d| d.duration() + GRACE);
        Ok(Self {
            body: body.into(),
            keyed: submission.key.is_some(),
            first: matches.opt_present("first"),
            tasks: submission.tasks.len(),
            wait: deadline.unwrap_or(LONGEST_WAIT),
        })
    }

    /// Submits to one address after the other.
    ///
    /// The next address is tried where the last one proved that it ran nothing, or where the burst has a key,
    /// which a second request joins. Anything else could run the burst twice.
    async fn submit(&self, addresses: &[String]) -> Result<Told, Error> {
        let progress = progress(self.tasks);
        let mut trail = Trail::default();
        for address in addresses {
            progress.set_message(format!("{} tasks at {address}", self.tasks));
            // Once a request may have arrived, its key is no new one any more.
            let call = self.call(self.first && trail.doubts.is_empty());
            let settled = trail.note(address, call.send(address).await);
            let doubled = !trail.doubts.is_empty() && !self.keyed;
            if settled || doubled {
                break;
            }
        }
        progress.finish_and_clear();
        trail.conclude()
    }

    fn call(&self, first: bool) -> Call {
        let mut headers = vec![("content-type", "application/json".to_owned())];
        if first {
            headers.push((FIRST_HEADER, "true".to_owned()));
        }
        Call {
            method: Method::POST,
            path: "/v1/jobs".to_owned(),
            headers,
            body: self.body.clone(),
            wait: self.wait,
        }
    }
}

/// What came of the requests so far.
#[derive(Default)]
struct Trail {
    last: Option<Told>,
    /// Requests after which it is open whether the burst ran.
    doubts: Vec<String>,
    /// Requests of which no byte left.
    unsent: Vec<String>,
}

impl Trail {
    /// Notes what came of a request, and tells whether it settles the burst.
    fn note(&mut self, address: &str, result: Result<Reply, Failure>) -> bool {
        match result {
            Err(Failure::Unsent(why)) => self.unsent.push(why),
            Err(Failure::Lost(why)) => self.doubts.push(why),
            Ok(reply) => match Told::read(&reply.body) {
                Some(told) => return self.note_answer(address, told),
                None => {
                    let status = reply.status;
                    self.doubts
                        .push(format!("{address}: {status} without an answer"));
                }
            },
        }
        false
    }

    fn note_answer(&mut self, address: &str, told: Told) -> bool {
        let passing = told.passing();
        if passing && told.outcome == Outcome::Unknown {
            self.doubts.push(format!("{address}: {}", told.text));
        }
        self.last = Some(told);
        !passing
    }

    /// Concludes from the last answer and from the failures on the way.
    ///
    /// A refusal speaks for its own request. Where an earlier request is in doubt, that one may have run: then
    /// "not run" would be untrue of the burst, and it is not printed.
    fn conclude(self) -> Result<Told, Error> {
        match self.last {
            Some(told) if self.doubts.is_empty() || told.outcome != Outcome::NotRun => Ok(told),
            _ if !self.doubts.is_empty() => Err(Error::Lost(self.doubts)),
            _ => Err(Error::Unreachable(self.unsent)),
        }
    }
}

impl Told {
    fn read(body: &[u8]) -> Option<Self> {
        let answer: Answer = serde_json::from_slice(body).ok()?;
        Some(Self {
            outcome: answer.outcome,
            reason: answer.reason,
            text: String::from_utf8(body.to_vec()).ok()?,
        })
    }

    /// Tells whether the instance took nothing for a reason that may not hold at another one.
    fn passing(&self) -> bool {
        let reason = matches!(
            self.reason,
            Reason::Busy
                | Reason::Draining
                | Reason::NoEndpoint
                | Reason::NotReady
                | Reason::Schema
                | Reason::Store
        );
        reason && matches!(self.outcome, Outcome::NotRun | Outcome::Unknown)
    }
}

/// Puts the options in place of the file's fields. Payloads stay as they are written, to the digit.
fn overridden(bytes: &[u8], matches: &Matches) -> Result<Vec<u8>, Error> {
    let mut fields: BTreeMap<String, Box<RawValue>> =
        serde_json::from_slice(bytes).map_err(wrong)?;
    let mut set = |name: &str, value: Option<Box<RawValue>>| {
        if let Some(value) = value {
            fields.insert(name.to_owned(), value);
        }
    };
    set("team", raw(option::<Team>(matches, "team")?)?);
    set("service", raw(option::<Service>(matches, "service")?)?);
    set("key", raw(option::<Key>(matches, "key")?)?);
    set("class", raw(option::<Class>(matches, "class")?)?);
    set("deadline_ms", raw(option::<Span>(matches, "deadline")?)?);
    serde_json::to_vec(&fields).map_err(wrong)
}

fn raw(value: Option<impl Serialize>) -> Result<Option<Box<RawValue>>, Error> {
    let raw = value.map(|v| to_raw_value(&v));
    raw.transpose().map_err(wrong)
}

fn wrong(error: serde_json::Error) -> Error {
    Error::Usage(format!("the submission is wrong: {error}"))
}

fn progress(tasks: usize) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {msg} {elapsed}");
    let style = style.unwrap_or_else(|_| ProgressStyle::default_spinner());
    let progress = ProgressBar::new_spinner().with_style(style);
    progress.set_message(format!("{tasks} tasks"));
    progress.enable_steady_tick(TICK);
    progress
}
