//! `poplarknot audit`: shows who changed the configuration, when and how.

use getopts::Matches;

use super::{
    admin::{
        self,
        AdminRequest, //
    },
    client::{
        block_on,
        parse_option, //
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
    admin::add_options(options);
    options.optopt("", "record", "Only changes of this record", "KIND/NAME");
    options.optopt("", "from", "Only changes at this time and later", "MS");
    options.optopt("", "until", "Only changes until this time", "MS");
    options.optopt(
        "",
        "after",
        "Continues after MARK, as given by the last answer",
        "MARK",
    );
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    if let Some(stray) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument '{stray}'")));
    }
    let request = AdminRequest::get(build_path(&matches)?);
    block_on(request.run(&matches))?
}

fn build_path(matches: &Matches) -> Result<String, Error> {
    let record: Option<Target> = parse_option(matches, "record")?;
    let from: Option<u64> = parse_option(matches, "from")?;
    let to: Option<u64> = parse_option(matches, "until")?;
    let after: Option<Key> = parse_option(matches, "after")?;
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
