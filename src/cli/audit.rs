//! `poplarknot audit`: shows who changed the configuration, when and how.

use getopts::Matches;

use super::{
    admin::{
        self,
        Ask, //
    },
    client::{
        block_on,
        option, //
    },
    exit::Exit,
    record::Target,
    Syntax, //
};
use crate::{
    error::Error,
    prelude::*, //
};

const BRIEF: &str = "\
Usage: poplarknot audit [OPTIONS]

Shows who changed the configuration, when and how. Times are milliseconds since 1970 in UTC.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    admin::options(options);
    options.optopt("", "record", "Only changes of this record", "KIND/NAME");
    options.optopt("", "from", "Only changes at this time and later", "MS");
    options.optopt("", "until", "Only changes until this time", "MS");
    options.optopt(
        "",
        "after",
        "Goes on after MARK, as the last answer told",
        "MARK",
    );
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    if let Some(stray) = matches.free.first() {
        return Err(Error::Usage(format!("'{stray}' is one argument too many")));
    }
    let ask = Ask::get(path(&matches)?);
    block_on(ask.run(&matches))?
}

fn path(matches: &Matches) -> Result<String, Error> {
    let record: Option<Target> = option(matches, "record")?;
    let from: Option<u64> = option(matches, "from")?;
    let to: Option<u64> = option(matches, "until")?;
    let after: Option<Key> = option(matches, "after")?;
    let record = record.map(|r| format!("record={r}"));
    let from = from.map(|ms| format!("from={ms}"));
    let to = to.map(|ms| format!("to={ms}"));
    let after = after.map(|mark| format!("after={mark}"));
    let query: Vec<String> = [record, from, to, after].into_iter().flatten().collect();
    if query.is_empty() {
        return Ok("/v1/audit".to_owned());
    }
    Ok(format!("/v1/audit?{}", query.join("&")))
}
