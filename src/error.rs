//! The errors that end a command.

use std::{
    fmt,
    io, //
};

use crate::{
    dispatch::id::JobId,
    platform,
    prelude::*,
    settings::fault::Fault, //
};

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}; see 'poplarknot --help'")]
    Usage(String),
    /// A file can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// A file can't be written.
    #[error("can't write {path}: {source}")]
    Write {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The settings are wrong.
    #[error("{path} has {}", format_faults(faults))]
    Settings {
        /// The file.
        path: String,
        /// Every fault in it.
        faults: Vec<Fault>,
    },
    /// The platform's settings file is wrong.
    #[error("{path}: {fault}")]
    PlatformSettings {
        /// The file.
        path: String,
        /// The field and what is wrong with it.
        fault: platform::Fault,
    },
    /// A listener can't be opened.
    #[error("can't listen for {what} at {address}: {source}")]
    Listen {
        /// What connects to it or arrives at it.
        what: &'static str,
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// A thread, its runtime or a signal handler can't be set up.
    #[error("can't set up the thread or handler '{what}': {source}")]
    Thread {
        /// The purpose of the thread or handler.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The process has a logger already.
    #[error("the log is already initialized")]
    LogInitialized,
    /// No instance could be reached or, for a read, gave an answer. Nothing was run or changed.
    #[error("no instance could be reached or gave an answer; nothing was run or changed:{}", format_lines(.0))]
    Unreachable(Vec<String>),
    /// No answer came to a submission that may have arrived.
    #[error("the answer was lost, and the tasks may have run:{}", format_lines(.0))]
    AnswerLost(Vec<String>),
    /// No answer came to a configuration change that may have arrived.
    #[error(
        "it is unknown whether the change is in force; retry it with --operation {operation}:{}",
        format_lines(failures)
    )]
    ChangeUnknown {
        /// The id of the change.
        operation: Operation,
        /// The failure of each attempt.
        failures: Vec<String>,
    },
    /// An instance refused an operator's request.
    #[error("the instance answered {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of its answer.
        body: String,
    },
    /// No log has a line about a job.
    #[error(
        "no line about job {job} in {}; lines skipped as unreadable: {skipped}, left out by instances: {left_out}",
        logs.join(", ")
    )]
    JobNotLogged {
        /// The job.
        job: JobId,
        /// The logs that were read.
        logs: Vec<String>,
        /// Unreadable lines in them.
        skipped: u64,
        /// Lines that instances left out of their logs.
        left_out: u64,
    },
    /// This build doesn't support the feature.
    #[error("this build doesn't support '{0}'")]
    Unsupported(&'static str),
}

fn format_faults(faults: &[Fault]) -> String {
    let count = match faults.len() {
        1 => "1 fault:".to_owned(),
        many => format!("{many} faults:"),
    };
    count + &format_lines(faults)
}

fn format_lines(items: &[impl fmt::Display]) -> String {
    items.iter().map(|item| format!("\n  {item}")).collect()
}
