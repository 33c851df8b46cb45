//! A story as people read it.

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

/// Times of a story, in UTC.
const TIME: &[BorrowedFormatItem<'_>] =
    format_description!("[year]-[month]-[day] [hour]:[minute]:[second].[subsecond digits:3]Z");

/// What stands in front of a line that isn't the job's own.
const CONTEXT: &str = "context";

const NANOS_PER_MILLI: i128 = 1_000_000;

/// The widths of the columns, for a story that is read from top to bottom.
struct Widths {
    instance: usize,
    event: usize,
}

impl Widths {
    fn of(entries: &[Entry]) -> Self {
        let widest = |width: fn(&Entry) -> usize| entries.iter().map(width).max();
        Self {
            instance: widest(|e| e.line.instance.as_str().len()).unwrap_or_default(),
            event: widest(|e| e.line.event.len()).unwrap_or_default(),
        }
    }
}

impl Trace {
    /// Returns its lines as they were written, without what collectors put in front.
    pub fn raw(&self) -> String {
        let lines = self.entries.iter().map(|entry| entry.line.text.as_str());
        lines.flat_map(|line| [line, "\n"]).collect()
    }

    fn own(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.context)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |entry: Option<&Entry>| entry.map_or(0, |entry| entry.line.time_ms);
        let (first, last) = (time(self.own().next()), time(self.own().next_back()));
        let instances: BTreeSet<_> = self.own().map(|entry| &entry.line.instance).collect();
        let (lines, instances) = (self.own().count(), instances.len());
        let (job, span) = (self.job, last - first);
        writeln!(
            f,
            "job {job}: lines {lines}, instances {instances}, first to last {span} ms"
        )?;
        let widths = Widths::of(&self.entries);
        for alike in self.entries.chunk_by(Entry::repeats) {
            let after = |entry: &Entry| i128::from(entry.line.time_ms) - i128::from(first);
            alike[0].tell(f, after(&alike[0]), &widths)?;
            if let [_, .., last] = alike {
                let (times, until) = (alike.len(), after(last));
                write!(f, "  ({times} times until {until:+} ms)")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Entry {
    /// Tells whether the next line of a story says the same again. An endpoint that can't be reached is tried many times
    /// a second; hundreds of equal lines would hide the one that matters.
    fn repeats(&self, next: &Self) -> bool {
        let (one, other) = (&self.line, &next.line);
        let context = self.context && next.context;
        context
            && one.instance == other.instance
            && one.event == other.event
            && one.fields == other.fields
    }

    fn tell(&self, f: &mut fmt::Formatter<'_>, after: i128, widths: &Widths) -> fmt::Result {
        let line = &self.line;
        let mark = if self.context { CONTEXT } else { "" };
        let (time, instance) = (absolute(line.time_ms), line.instance.as_str());
        write!(f, "{mark:7} {after:>+7} ms  {time}  ")?;
        write!(f, "{instance:0$}  ", widths.instance)?;
        let event = plain(&line.event);
        if line.fields.is_empty() {
            return write!(f, "{event}");
        }
        write!(f, "{event:0$} ", widths.event)?;
        for (name, value) in &line.fields {
            write!(f, " {}={}", plain(name), shown(value))?;
        }
        Ok(())
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (instance, time) = (&self.instance, absolute(self.time_ms));
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

/// Writes a wall clock's time, or its milliseconds where these are beyond all calendars.
fn absolute(time_ms: u64) -> String {
    let nanos = i128::from(time_ms) * NANOS_PER_MILLI;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    let text = time.and_then(|time| time.format(TIME).ok());
    text.unwrap_or_else(|| format!("{time_ms} ms"))
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => plain(text),
        other => other.to_string(),
    }
}

/// Quotes a text that has more than visible characters: callers choose some, and a terminal would obey their control
/// characters.
fn plain(text: &str) -> String {
    let visible = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    match visible {
        true => text.to_owned(),
        false => format!("{text:?}"),
    }
}
