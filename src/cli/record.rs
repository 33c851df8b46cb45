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
        Ask, //
    },
    client::{
        block_on,
        option,
        read, //
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

Exit codes: 0 done, 1 refused, 5 no instance could be asked, 6 the change may be in force or not: repeat it
with the --operation that the message names.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    admin::options(options);
    options.optflag("", "dry-run", "Checks the change and makes none");
    let brief = "Confirms a cut of a service's capacity to less than half";
    options.optflag("", "confirm", brief);
    options.optopt(
        "",
        "amends",
        "The revision of the record that is changed",
        "REVISION",
    );
    options.optopt("", "operation", "Repeats the change of this id", "ID");
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let ask = ask(&matches)?;
    block_on(ask.run(&matches))?
}

fn ask(matches: &Matches) -> Result<Ask, Error> {
    let Some((action, rest)) = matches.free.split_first() else {
        return Err(Error::Usage("record: no action is given".to_owned()));
    };
    match action.as_str() {
        "submit" => {
            let path = path("/v1/records".to_owned(), None, matches);
            change(Method::POST, path, file(rest)?, matches)
        }
        "amend" => {
            let (target, rest) = target(rest)?;
            let path = path(target.path(), Some(amends(matches)?), matches);
            change(Method::PUT, path, file(rest)?, matches)
        }
        "withdraw" => {
            let path = path(alone(rest)?.path(), Some(amends(matches)?), matches);
            change(Method::DELETE, path, None, matches)
        }
        "list" => Ok(Ask::get(list(rest)?)),
        "show" => Ok(Ask::get(alone(rest)?.path())),
        "in-force" => Ok(Ask::get(alone(rest)?.path() + "/in-force")),
        other => Err(Error::Usage(format!(
            "record: there is no action '{other}'"
        ))),
    }
}

fn change(
    method: Method,
    path: String,
    file: Option<&str>,
    matches: &Matches,
) -> Result<Ask, Error> {
    let operation = option(matches, "operation")?.unwrap_or_else(admin::draw);
    let body = file.map(read).transpose()?.unwrap_or_default();
    Ok(Ask {
        method,
        path,
        body: body.into(),
        operation: Some(operation),
    })
}

fn list(arguments: &[String]) -> Result<String, Error> {
    match arguments {
        [] => Ok("/v1/records".to_owned()),
        [kind] => {
            let kind: Service = kind
                .parse()
                .map_err(|e| Error::Usage(format!("KIND '{kind}' {e}")))?;
            Ok(format!("/v1/records?kind={kind}"))
        }
        [_, stray, ..] => Err(excess(stray)),
    }
}

fn path(path: String, amends: Option<Revision>, matches: &Matches) -> String {
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

fn amends(matches: &Matches) -> Result<Revision, Error> {
    let missing =
        || Error::Usage("--amends REVISION is missing; 'record show' tells it".to_owned());
    option(matches, "amends")?.ok_or_else(missing)
}

fn target(arguments: &[String]) -> Result<(Target, &[String]), Error> {
    let Some((text, rest)) = arguments.split_first() else {
        return Err(Error::Usage("KIND/NAME is missing".to_owned()));
    };
    let target = text.parse();
    let target = target.map_err(|e: Malformed| Error::Usage(format!("'{text}' {e}")))?;
    Ok((target, rest))
}

fn alone(arguments: &[String]) -> Result<Target, Error> {
    match target(arguments)? {
        (target, []) => Ok(target),
        (_, [stray, ..]) => Err(excess(stray)),
    }
}

fn file(arguments: &[String]) -> Result<Option<&str>, Error> {
    match arguments {
        [] => Ok(Some("-")),
        [path] => Ok(Some(path)),
        [_, stray, ..] => Err(excess(stray)),
    }
}

fn excess(stray: &str) -> Error {
    Error::Usage(format!("'{stray}' is one argument too many"))
}

/// Names one record: `KIND/NAME`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    kind: String,
    name: String,
}

/// Says that a text names no record.
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
