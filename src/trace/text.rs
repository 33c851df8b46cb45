//! Formats a trace as text.

use std::{
    collections::BTreeSet,
    fmt, //
};

use serde_json::Value;
use time::{
    format_description::BorrowedFormatItem,
    macros::format_description,
    OffsetDateTime, //
};

use super::{
    Entry,
    Gap,
    SkippedLines,
    Trace, //
};

/// The format of times, in UTC.
const TIME_FORMAT: &[BorrowedFormatItem<'_>] =
    format_description!("[year]-[month]-[day] [hour]:[minute]:[second].[subsecond digits:3]Z");

/// The mark in front of context lines.
const CONTEXT_MARK: &str = "context";

const NANOS_PER_MILLI: i128 = 1_000_000;

/// The widths of the columns, in bytes.
struct Widths {
    instance: usize,
    event: usize,
}

impl Widths {
    fn from_entries(entries: &[Entry]) -> Self {
        let widest = |width: fn(&Entry) -> usize| entries.iter().map(width).max();
        Self {
            instance: widest(|e| e.line.instance.as_str().len()).unwrap_or_default(),
            event: widest(|e| e.line.event.len()).unwrap_or_default(),
        }
    }
}

impl Trace {
    /// Returns the lines as the instances wrote them, without prefixes of log collectors.
    pub fn raw(&self) -> String {
        let lines = self.entries.iter().map(|entry| entry.line.text.as_str());
        lines.flat_map(|line| [line, "\n"]).collect()
    }

    fn job_entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.context)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |entry: Option<&Entry>| entry.map_or(0, |entry| entry.line.time_ms);
        let (first, last) = (
            time(self.job_entries().next()),
            time(self.job_entries().next_back()),
        );
        let instances: BTreeSet<_> = self
            .job_entries()
            .map(|entry| &entry.line.instance)
            .collect();
        let (lines, instances) = (self.job_entries().count(), instances.len());
        let (job, span) = (self.job, last - first);
        writeln!(
            f,
            "job {job}: lines {lines}, instances {instances}, first to last {span} ms"
        )?;
        let widths = Widths::from_entries(&self.entries);
        for group in self.entries.chunk_by(Entry::is_repeated_by) {
            let after = |entry: &Entry| i128::from(entry.line.time_ms) - i128::from(first);
            group[0].write_columns(f, after(&group[0]), &widths)?;
            if let [_, .., last] = group {
                let (times, until) = (group.len(), after(last));
                write!(f, "  ({times} times until {until:+} ms)")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Entry {
    /// Returns whether two successive context lines differ only in time, and can be printed as one. An endpoint that can't
    /// be reached is retried many times a second, and the repeated lines would hide all others.
    fn is_repeated_by(&self, next: &Self) -> bool {
        let (one, other) = (&self.line, &next.line);
        let context = self.context && next.context;
        context
            && one.instance == other.instance
            && one.event == other.event
            && one.fields == other.fields
    }

    fn write_columns(
        &self,
        f: &mut fmt::Formatter<'_>,
        after: i128,
        widths: &Widths,
    ) -> fmt::Result {
        let line = &self.line;
        let mark = if self.context { CONTEXT_MARK } else { "" };
        let (time, instance) = (format_time(line.time_ms), line.instance.as_str());
        write!(f, "{mark:7} {after:>+7} ms  {time}  ")?;
        write!(f, "{instance:0$}  ", widths.instance)?;
        let event = quote_unprintable(&line.event);
        if line.fields.is_empty() {
            return write!(f, "{event}");
        }
        write!(f, "{event:0$} ", widths.event)?;
        for (name, value) in &line.fields {
            write!(f, " {}={}", quote_unprintable(name), format_value(value))?;
        }
        Ok(())
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (instance, time) = (&self.instance, format_time(self.time_ms));
        let lines = self.lines;
        write!(
            f,
            "lines left out by {instance} shortly before {time}: {lines}; some of this job may be missing"
        )
    }
}

impl fmt::Display for SkippedLines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: lines skipped as unreadable: {}",
            self.source, self.lines
        )
    }
}

/// Formats a wall clock time, or returns its milliseconds if they are outside the range of dates.
fn format_time(time_ms: u64) -> String {
    let nanos = i128::from(time_ms) * NANOS_PER_MILLI;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    let text = time.and_then(|time| time.format(TIME_FORMAT).ok());
    text.unwrap_or_else(|| format!("{time_ms} ms"))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => quote_unprintable(text),
        other => other.to_string(),
    }
}

/// Quotes and escapes a text that is empty or has a quote, a space or a character outside of visible ASCII. Some texts are
/// chosen by callers, whose control characters must not reach the terminal.
fn quote_unprintable(text: &str) -> String {
    let visible = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    match visible {
        true => text.to_owned(),
        false => format!("{text:?}"),
    }
}
