//! One job's story out of the logs of many instances.
//!
//! Logs are read line by line, and twice: first for the lines of the job, which tell what it touched and when, then for
//! the lines that explain them. So no more is kept than is told, however long the logs are.

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

/// How long before a job's first line and after its last one other lines may explain it. An instance that is gone is
/// given up after 0.6 s, its racks are claimed within another half second, and a configuration is in force everywhere within
/// two seconds; the rest is for clocks that differ.
pub const AROUND: Span = Span::seconds(5);

/// The most that may be asked for instead: the lines of an hour of trouble still fit in memory.
pub const WIDEST: Span = Span::seconds(3_600);

/// The event that tells that lines before it were left out.
const THINNED: &str = "lines_left_out";

/// Where a log comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Standard input.
    Input,
    /// A file, or a pipe that has a path.
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

/// Reads logs for one job.
#[derive(Debug)]
pub struct Tracer {
    job: JobId,
    around: Span,
    logs: Vec<Log>,
}

/// A line of a story, with its place in the logs.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The line.
    pub line: Line,
    /// Whether it only explains the job's own lines.
    pub context: bool,
    log: usize,
    number: u64,
}

/// Lines that an instance left out of its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The instance.
    pub instance: Instance,
    /// When it told so, in milliseconds since 1970.
    pub time_ms: u64,
    /// How many lines.
    pub lines: u64,
}

/// What the logs tell of a job, in the order of time.
#[derive(Debug, Clone)]
pub struct Story {
    /// The job.
    pub job: JobId,
    /// Its lines and those that explain them; at least one is its own.
    pub entries: Vec<Entry>,
    /// Where lines may be missing.
    pub gaps: Vec<Gap>,
    /// Logs with lines that can't be read.
    pub skipped: Vec<Skip>,
    /// Lines of streams that were too many to be searched for what explains the job.
    pub unsearched: u64,
}

/// The lines of a log that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Skip {
    /// The log.
    pub source: Source,
    /// How many lines.
    pub lines: u64,
}

impl Tracer {
    /// Makes one that reads no logs yet.
    pub fn new(job: JobId) -> Self {
        Self {
            job,
            around: AROUND,
            logs: Vec::new(),
        }
    }

    /// Sets how long before and after the job other lines may explain it, up to [`WIDEST`].
    pub fn around(mut self, around: Span) -> Self {
        self.around = around.min(WIDEST);
        self
    }

    /// Adds logs.
    pub fn logs(mut self, sources: impl IntoIterator<Item = Source>) -> Self {
        self.logs.extend(sources.into_iter().map(Log::new));
        self
    }

    /// Reads the logs.
    ///
    /// # Errors
    ///
    /// Fails where a log can't be read, and where none has a line about the job.
    pub fn run(mut self) -> Result<Story, Error> {
        let mut entries = Vec::new();
        let mut scope: Option<Scope> = None;
        let mut thinned = 0;
        let job = self.job;
        for (log, source) in self.logs.iter_mut().enumerate() {
            source.search(|number, line| {
                if !line.names(job) {
                    thinned += line.left_out();
                    return line.job.is_none();
                }
                scope.get_or_insert_with(|| Scope::new(job)).note(&line);
                entries.push(Entry {
                    line,
                    context: false,
                    log,
                    number,
                });
                false
            })?;
        }
        let Some(scope) = scope else {
            return Err(self.untold(thinned));
        };
        for (log, source) in self.logs.iter().enumerate() {
            source.search_again(|number, line| {
                if scope.explains(&line, self.around) {
                    entries.push(Entry {
                        line,
                        context: true,
                        log,
                        number,
                    });
                }
            })?;
        }
        entries.sort_by_key(|entry| (entry.line.time_ms, entry.log, entry.number));
        Ok(self.story(entries))
    }

    fn story(self, entries: Vec<Entry>) -> Story {
        let thinned = entries.iter().filter(|entry| entry.line.event == THINNED);
        let gaps = thinned.map(|entry| Gap {
            instance: entry.line.instance.clone(),
            time_ms: entry.line.time_ms,
            lines: entry.line.left_out(),
        });
        Story {
            job: self.job,
            gaps: gaps.collect(),
            skipped: self.skipped(),
            unsearched: self.logs.iter().map(Log::unsearched).sum(),
            entries,
        }
    }

    fn skipped(&self) -> Vec<Skip> {
        let skips = self.logs.iter().map(|log| Skip {
            source: log.source().clone(),
            lines: log.skipped(),
        });
        skips.filter(|skip| skip.lines > 0).collect()
    }

    fn untold(&self, left_out: u64) -> Error {
        Error::JobNotLogged {
            job: self.job,
            logs: self
                .logs
                .iter()
                .map(|log| log.source().to_string())
                .collect(),
            skipped: self.logs.iter().map(Log::skipped).sum(),
            left_out,
        }
    }
}
