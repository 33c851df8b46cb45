//! The errors that end a command, in words that help.

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

/// Why a command ended without doing what it was asked.
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
        /// Why.
        source: io::Error,
    },
    /// A file can't be written.
    #[error("can't write {path}: {source}")]
    Write {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The settings are wrong.
    #[error("{path} has {}", list(faults))]
    Settings {
        /// The file.
        path: String,
        /// Every fault in it.
        faults: Vec<Fault>,
    },
    /// The platform's settings are wrong.
    #[error("{path}: {fault}")]
    Site {
        /// The file.
        path: String,
        /// The field, and what is wrong with it.
        fault: platform::Fault,
    },
    /// A listener can't be opened.
    #[error("can't listen for {what} at {address}: {source}")]
    Listen {
        /// Who would connect there.
        what: &'static str,
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// A thread or its runtime can't be started.
    #[error("can't start the {what} thread: {source}")]
    Thread {
        /// The thread's duty.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The log is set up already.
    #[error("the log is set up already")]
    LogInitialized,
    /// No instance could be asked: nothing was run or changed.
    #[error("no instance could be asked, so nothing was run or changed:{}", lines(.0))]
    Unreachable(Vec<String>),
    /// A submission may have arrived, and no answer came.
    #[error("the answer was lost, and the tasks may have run:{}", lines(.0))]
    Lost(Vec<String>),
    /// A configuration change may have arrived, and no answer came.
    #[error(
        "the change may be in force or not; repeat it with --operation {operation}:{}",
        lines(failures)
    )]
    Unsettled {
        /// The change.
        operation: Operation,
        /// What happened to each attempt.
        failures: Vec<String>,
    },
    /// An instance refused an operator's request.
    #[error("the instance answered {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it said.
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
        /// Lines in them that can't be read.
        skipped: u64,
        /// Lines that instances left out of them.
        left_out: u64,
    },
    /// This build can't do it.
    #[error("this build has no '{0}'")]
    Unsupported(&'static str),
}

fn list(faults: &[Fault]) -> String {
    let count = match faults.len() {
        1 => "1 fault:".to_owned(),
        many => format!("{many} faults:"),
    };
    count + &lines(faults)
}

fn lines(items: &[impl fmt::Display]) -> String {
    items.iter().map(|item| format!("\n  {item}")).collect()
}
