//! `poplarknot record`: submits, amends, withdraws and shows configuration records.

use std::{
    fmt,
    str::FromStr, //
};

use getopts::Matches;
use hyper::Method;

use super::{
    admin::{
        self,
        AdminRequest, //
    },
    client::{
        block_on,
        parse_option,
        read_input,
        STANDARD_INPUT, //
    },
    exit::Exit,
    Syntax, //
};
use crate::{
    error::Error,
    prelude::*, //
};

const BRIEF: &str = "\
Usage: poplarknot record submit [OPTIONS] [FILE]
       poplarknot record amend KIND/NAME --amends REVISION [OPTIONS] [FILE]
       poplarknot record withdraw KIND/NAME --amends REVISION [OPTIONS]
       poplarknot record list [OPTIONS] [KIND]
       poplarknot record show KIND/NAME [OPTIONS]
       poplarknot record in-force KIND/NAME [OPTIONS]

Submits, amends, withdraws and shows configuration records. A record is JSON in FILE or on standard input.

Exit codes: 0 done, 1 refused, 5 no instance answered and nothing was changed, 6 the change may be in force or not:
retry it with the --operation that the message names.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    admin::add_options(options);
    options.optflag("", "dry-run", "Checks the change without applying it");
    let brief = "Confirms a cut of a service's capacity to less than half";
    options.optflag("", "confirm", brief);
    options.optopt(
        "",
        "amends",
        "The revision of the record to change",
        "REVISION",
    );
    options.optopt("", "operation", "Retries the change with this id", "ID");
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let request = build_request(&matches)?;
    block_on(request.run(&matches))?
}

/// Returns the request of the action that the arguments name.
fn build_request(matches: &Matches) -> Result<AdminRequest, Error> {
    let Some((action, rest)) = matches.free.split_first() else {
        return Err(Error::Usage("record: no action is given".to_owned()));
    };
    match action.as_str() {
        "submit" => {
            let path = build_change_path("/v1/records".to_owned(), None, matches);
            build_change(Method::POST, path, parse_file(rest)?, matches)
        }
        "amend" => {
            let (target, rest) = parse_target(rest)?;
            let path = build_change_path(target.path(), Some(parse_amends(matches)?), matches);
            build_change(Method::PUT, path, parse_file(rest)?, matches)
        }
        "withdraw" => {
            let path = build_change_path(
                parse_only_target(rest)?.path(),
                Some(parse_amends(matches)?),
                matches,
            );
            build_change(Method::DELETE, path, None, matches)
        }
        "list" => Ok(AdminRequest::get(build_list_path(rest)?)),
        "show" => Ok(AdminRequest::get(parse_only_target(rest)?.path())),
        "in-force" => Ok(AdminRequest::get(
            parse_only_target(rest)?.path() + "/in-force",
        )),
        other => Err(Error::Usage(format!("record: unknown action '{other}'"))),
    }
}

/// Returns the request of a change, with a random operation id unless one is given.
fn build_change(
    method: Method,
    path: String,
    file: Option<&str>,
    matches: &Matches,
) -> Result<AdminRequest, Error> {
    let operation = parse_option(matches, "operation")?.unwrap_or_else(admin::random_operation);
    let body = file.map(read_input).transpose()?.unwrap_or_default();
    Ok(AdminRequest {
        method,
        path,
        body: body.into(),
        operation: Some(operation),
    })
}

fn build_list_path(arguments: &[String]) -> Result<String, Error> {
    match arguments {
        [] => Ok("/v1/records".to_owned()),
        [kind] => {
            let kind: Service = kind
                .parse()
                .map_err(|e| Error::Usage(format!("KIND '{kind}' {e}")))?;
            Ok(format!("/v1/records?kind={kind}"))
        }
        [_, stray, ..] => Err(unexpected_argument(stray)),
    }
}

/// Adds the query parameters of a change to a path.
fn build_change_path(path: String, amends: Option<Revision>, matches: &Matches) -> String {
    let amends = amends.map(|revision| format!("amends={revision}"));
    let flag = |name: &str, query: &str| matches.opt_present(name).then(|| query.to_owned());
    let dry = flag("dry-run", "dry_run=true");
    let confirm = flag("confirm", "confirm=capacity");
    let query: Vec<String> = amends.into_iter().chain(dry).chain(confirm).collect();
    if query.is_empty() {
        return path;
    }
    format!("{path}?{}", query.join("&"))
}

fn parse_amends(matches: &Matches) -> Result<Revision, Error> {
    let missing =
        || Error::Usage("--amends REVISION is missing; 'record show' prints it".to_owned());
    parse_option(matches, "amends")?.ok_or_else(missing)
}

/// Parses the first argument as a target and returns the rest.
fn parse_target(arguments: &[String]) -> Result<(Target, &[String]), Error> {
    let Some((text, rest)) = arguments.split_first() else {
        return Err(Error::Usage("KIND/NAME is missing".to_owned()));
    };
    let target = text.parse();
    let target = target.map_err(|e: Malformed| Error::Usage(format!("'{text}' {e}")))?;
    Ok((target, rest))
}

/// Parses the only argument as a target.
fn parse_only_target(arguments: &[String]) -> Result<Target, Error> {
    match parse_target(arguments)? {
        (target, []) => Ok(target),
        (_, [stray, ..]) => Err(unexpected_argument(stray)),
    }
}

/// Returns the path of the file to read; `-` if none is given.
fn parse_file(arguments: &[String]) -> Result<Option<&str>, Error> {
    match arguments {
        [] => Ok(Some(STANDARD_INPUT)),
        [path] => Ok(Some(path)),
        [_, stray, ..] => Err(unexpected_argument(stray)),
    }
}

fn unexpected_argument(stray: &str) -> Error {
    Error::Usage(format!("unexpected argument '{stray}'"))
}

/// The kind and name of a record, written as `KIND/NAME`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    kind: String,
    name: String,
}

/// The error of a text that isn't of the form `KIND/NAME`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("is not KIND/NAME of letters, digits, '-', '_' and '.'")]
pub(super) struct Malformed;

impl Target {
    fn path(&self) -> String {
        format!("/v1/records/{self}")
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for Target {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (kind, name) = text.split_once('/').ok_or(Malformed)?;
        if [kind, name]
            .iter()
            .any(|part| part.parse::<Service>().is_err())
        {
            return Err(Malformed);
        }
        Ok(Self {
            kind: kind.to_owned(),
            name: name.to_owned(),
        })
    }
}
