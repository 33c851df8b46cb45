//! Merges the log lines about one job from the logs of many instances into a trace.
//!
//! Logs are read line by line, in two passes. The first pass collects the job's own lines, and with them the time span,
//! the instances and the endpoints of the job. The second collects context: lines of the same span that concern these
//! instances and endpoints. Memory use is bounded by the size of the trace, not by the size of the logs.

pub mod line;
mod log;
mod scope;
mod text;

use std::fmt;

use self::{
    line::Line,
    log::Log,
    scope::Scope, //
};
use crate::{
    dispatch::id::JobId,
    error::Error,
    prelude::*, //
};

/// How long before a job's first line and after its last one context is collected by default.
///
/// An instance is declared lost after 0.6 s without heartbeats, its racks are claimed within another 0.5 s, and a
/// configuration change reaches all instances within 2 s. The rest allows for clock skew between instances.
pub const DEFAULT_CONTEXT_SPAN: Span = Span::seconds(5);

/// The largest context span accepted, so that the context fits in memory.
pub const MAX_CONTEXT_SPAN: Span = Span::seconds(3_600);

/// The event by which an instance reports that it dropped log lines.
const LINES_LEFT_OUT: &str = "lines_left_out";

/// Where a log is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Standard input.
    Input,
    /// The path of a file or a named pipe.
    File(String),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input => f.write_str("standard input"),
            Self::File(path) => f.write_str(path),
        }
    }
}

/// Builds the trace of one job from logs.
#[derive(Debug)]
pub struct Tracer {
    job: JobId,
    context_span: Span,
    logs: Vec<Log>,
}

/// A line of a trace, with its position in the logs.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The line.
    pub line: Line,
    /// Whether the line is context and doesn't name the job.
    pub context: bool,
    log_index: usize,
    line_number: u64,
}

/// A gap in an instance's log, as the instance reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The instance.
    pub instance: Instance,
    /// When the instance reported it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The number of dropped lines.
    pub lines: u64,
}

/// The log lines about a job and their context, in the order of time.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The job.
    pub job: JobId,
    /// The job's lines and their context; at least one line is the job's own.
    pub entries: Vec<Entry>,
    /// Gaps in the logs, where lines of the job may be missing.
    pub gaps: Vec<Gap>,
    /// Logs with unreadable lines.
    pub skipped: Vec<SkippedLines>,
    /// Lines of streams that exceeded the buffer and weren't searched for context.
    pub unsearched_lines: u64,
}

/// The unreadable lines of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedLines {
    /// The log.
    pub source: Source,
    /// The number of unreadable lines.
    pub lines: u64,
}

impl Tracer {
    /// Creates a tracer without logs and with the default context span.
    pub fn new(job: JobId) -> Self {
        Self {
            job,
            context_span: DEFAULT_CONTEXT_SPAN,
            logs: Vec::new(),
        }
    }

    /// Sets how long before and after the job context is collected, at most [`MAX_CONTEXT_SPAN`].
    pub fn with_context_span(mut self, span: Span) -> Self {
        self.context_span = span.min(MAX_CONTEXT_SPAN);
        self
    }

    /// Adds logs to read.
    pub fn with_logs(mut self, sources: impl IntoIterator<Item = Source>) -> Self {
        self.logs.extend(sources.into_iter().map(Log::new));
        self
    }

    /// Reads the logs and returns the trace.
    ///
    /// # Errors
    ///
    /// Fails if a log can't be read, or if no log has a line about the job.
    pub fn run(mut self) -> Result<Trace, Error> {
        let mut entries = Vec::new();
        let mut scope: Option<Scope> = None;
        let mut left_out = 0;
        let job = self.job;
        for (log_index, log) in self.logs.iter_mut().enumerate() {
            log.read_lines(|line_number, line| {
                if !line.is_about(job) {
                    left_out += line.left_out_lines();
                    return line.job.is_none();
                }
                scope.get_or_insert_with(|| Scope::new(job)).add_line(&line);
                entries.push(Entry {
                    line,
                    context: false,
                    log_index,
                    line_number,
                });
                false
            })?;
        }
        let Some(scope) = scope else {
            return Err(self.job_not_found(left_out));
        };
        for (log_index, log) in self.logs.iter().enumerate() {
            log.reread_lines(|line_number, line| {
                if scope.is_context(&line, self.context_span) {
                    entries.push(Entry {
                        line,
                        context: true,
                        log_index,
                        line_number,
                    });
                }
            })?;
        }
        entries.sort_by_key(|entry| (entry.line.time_ms, entry.log_index, entry.line_number));
        Ok(self.into_trace(entries))
    }

    fn into_trace(self, entries: Vec<Entry>) -> Trace {
        let reports = entries
            .iter()
            .filter(|entry| entry.line.event == LINES_LEFT_OUT);
        let gaps = reports.map(|entry| Gap {
            instance: entry.line.instance.clone(),
            time_ms: entry.line.time_ms,
            lines: entry.line.left_out_lines(),
        });
        Trace {
            job: self.job,
            gaps: gaps.collect(),
            skipped: self.skipped_lines(),
            unsearched_lines: self.logs.iter().map(Log::unsearched_lines).sum(),
            entries,
        }
    }

    fn skipped_lines(&self) -> Vec<SkippedLines> {
        let skipped = self.logs.iter().map(|log| SkippedLines {
            source: log.source().clone(),
            lines: log.skipped_lines(),
        });
        skipped.filter(|skipped| skipped.lines > 0).collect()
    }

    fn job_not_found(&self, left_out: u64) -> Error {
        Error::JobNotLogged {
            job: self.job,
            logs: self
                .logs
                .iter()
                .map(|log| log.source().to_string())
                .collect(),
            skipped: self.logs.iter().map(Log::skipped_lines).sum(),
            left_out,
        }
    }
}
