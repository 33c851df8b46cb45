//! Runs one case against the program: `standin-4 CASE PROGRAM FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod worker;
mod world;

use std::{env, process::exit};

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, program, folder, record] = &words[..] else {
        eprintln!("usage: standin-4 CASE PROGRAM FOLDER RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = cases::run(case, program, folder, record, trouble);
    exit(match result {
        None => 2,
        Some(findings) => {
            findings
                .iter()
                .take(10)
                .for_each(|finding| println!("{finding}"));
            println!("{} findings", findings.len());
            i32::from(!findings.is_empty())
        }
    });
}
