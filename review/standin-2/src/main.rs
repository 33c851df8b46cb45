//! Cases of the second review. `standin-2 CASE FOLDER` plays one against the built program, writes `record.txt` into the folder, and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::{io, process::ExitCode};

use record::Record;

/// Whether the rule of a case held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(case, folder, trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &str, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    record.add(match trouble {
        true => "with the disruption",
        false => "without the disruption",
    });
    let verdict = match case {
        "late-ends" => cases::late_ends::play(&record, trouble),
        "crash" => cases::crash::play(&record, trouble),
        "pending" => cases::pending::play(&record, trouble),
        "release" => cases::release::play(&record, trouble),
        "server-limit" => cases::server_limit::play(&record, trouble),
        other => Err(io::Error::other(format!("no case {other}"))),
    };
    let line = match &verdict {
        Ok(verdict) => format!("the rule: {verdict:?}"),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    record.add(&line);
    println!("{line}");
    verdict
}
