//! Tests of `poplarknot trace`: which lines of which logs it prints, and in which order.

#[path = "platform/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
#[path = "trace/files.rs"]
mod files;
#[path = "platform/fleet.rs"]
#[allow(dead_code)] // The tests of the platform use the rest.
mod fleet;
#[path = "trace/incidents.rs"]
mod incidents;
#[path = "trace/runs.rs"]
mod runs;
#[path = "platform/store.rs"]
#[allow(dead_code)]
mod store;
mod support;

use std::{
    io::Write,
    process::{
        Command,
        Output,
        Stdio, //
    }, //
};

/// Runs `poplarknot trace` with `input` as standard input.
fn run_trace(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_poplarknot"))
        .arg("trace")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The program may end without reading its input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the events of a printed trace in its order, with `~` in front of those that are context.
fn events(output: &Output) -> Vec<String> {
    let text = stdout(output);
    let events = text.lines().skip(1).map(|line| {
        let context = line.starts_with("context");
        let words: Vec<&str> = line.split_whitespace().collect();
        // A context line begins with its mark. The relative time and its unit, date, time and instance precede the event.
        let event = words[usize::from(context) + 5];
        match context {
            true => format!("~{event}"),
            false => event.to_owned(),
        }
    });
    events.collect()
}
