//! `poplarknot trace`: shows the history of one job from the logs of instances.

use super::{
    client::{
        parse_option,
        STANDARD_INPUT, //
    },
    exit::Exit,
    print,
    Syntax, //
};
use crate::{
    dispatch::id::JobId,
    error::Error,
    trace::{
        Source,
        Trace,
        Tracer,
        DEFAULT_CONTEXT_SPAN,
        MAX_CONTEXT_SPAN, //
    }, //
};

const BRIEF: &str = "\
Usage: poplarknot trace [OPTIONS] JOB LOG...

Shows the history of a job in order of time, from the logs of instances of 'poplarknot dispatch'. JOB is the 16
hexadecimal digits at the end of the job's path, LOG a file or - for standard input. Give the logs of all instances.

Lines marked as context don't name the job. They concern the instances and endpoints that it used and the shard that
holds it; if no task of it reached an endpoint, all endpoints and racks. Times are relative to the job's first line, and
in UTC. The clocks of instances differ slightly, so lines of two instances that are close in time may be in the wrong
order.

Lines that can't be read are skipped and counted on standard error.";

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(BRIEF);
    let options = &mut syntax.options;
    let brief = format!(
        "Shows context up to SPAN before and after the job [{} s]",
        DEFAULT_CONTEXT_SPAN.as_millis() / 1_000
    );
    options.optopt("", "around", &brief, "SPAN");
    options.optflag("", "json", "Prints the lines as they were written");
    let Some(mut matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let logs = matches.free.split_off(1.min(matches.free.len()));
    let Some(job) = matches.free.pop() else {
        return Err(Error::Usage("JOB is missing".to_owned()));
    };
    let job: JobId = job
        .parse()
        .map_err(|e| Error::Usage(format!("'{job}': {e}")))?;
    if logs.is_empty() {
        return Err(Error::Usage("LOG is missing".to_owned()));
    }
    let context_span = parse_option(&matches, "around")?.unwrap_or(DEFAULT_CONTEXT_SPAN);
    if context_span > MAX_CONTEXT_SPAN {
        return Err(Error::Usage(format!(
            "--around must not exceed {MAX_CONTEXT_SPAN}"
        )));
    }
    let tracer = Tracer::new(job).with_context_span(context_span);
    let trace = tracer.with_logs(logs.into_iter().map(to_source)).run()?;
    warn(&trace);
    match matches.opt_present("json") {
        true => print(&trace.raw()),
        false => print(&trace.to_string()),
    }
}

fn to_source(name: String) -> Source {
    match name.as_str() {
        STANDARD_INPUT => Source::Input,
        _ => Source::File(name),
    }
}

/// Warns on standard error of lines that may be missing from the trace.
fn warn(trace: &Trace) {
    for skipped in &trace.skipped {
        eprintln!("poplarknot: {skipped}");
    }
    for gap in &trace.gaps {
        eprintln!("poplarknot: {gap}");
    }
    if trace.unsearched_lines > 0 {
        let lines = trace.unsearched_lines;
        eprintln!(
            "poplarknot: {lines} early lines of a stream were not searched for context; give the logs as files instead"
        );
    }
}
