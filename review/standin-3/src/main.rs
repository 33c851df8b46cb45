//! Stand-ins of the store, the workers and the clients, and the cases that use them.
//!
//! `standin-3 CASE PROGRAM RECORD` runs one case against the program. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod check;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::{path::Path, process::ExitCode};

use fleet::Fleet;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, path] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.tell(format!(
        "{case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let outcome = Fleet::new(Path::new(program), record.clone())
        .map_err(|e| e.to_string())
        .and_then(|mut fleet| {
            let outcome = match case.as_str() {
                "foreign" => cases::foreign::run(&mut fleet, trouble),
                "handover" => cases::handover::run(&mut fleet, trouble),
                "routes" => cases::routes::run(&mut fleet, trouble),
                "reborn" => cases::reborn::run(&mut fleet, trouble),
                "kind" => cases::kind::run(&mut fleet, trouble),
                _ => Err(format!("there is no case {case}")),
            };
            fleet.shut_down();
            outcome
        });
    let code = match outcome {
        Ok(breaches) if breaches.is_empty() => {
            record.tell("the rule held");
            0
        }
        Ok(breaches) => {
            record.tell(format!(
                "the rule was broken {} times; the first:",
                breaches.len()
            ));
            for breach in breaches.iter().take(12) {
                record.tell(breach.clone());
            }
            1
        }
        Err(reason) => {
            record.tell(format!("the case couldn't run: {reason}"));
            2
        }
    };
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("the record can't be written: {error}");
    }
    ExitCode::from(code)
}
