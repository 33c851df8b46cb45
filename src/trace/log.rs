//! A log as a file or a stream, read line by line.

use std::{
    collections::VecDeque,
    fs::{
        self,
        File, //
    },
    io::{
        self,
        BufRead,
        BufReader,
        Read, //
    },
};

use super::{
    line::Line,
    Source, //
};
use crate::error::Error;

/// The longest line that is read, in bytes, many times what an instance writes: a file that is no log has no end of line,
/// and would be read into memory whole.
const LONGEST: u64 = 64 << 10;

/// Lines of a stream that are kept until it is known which of them explain the job. Lines without a job have about 200
/// bytes, so they take 20 MB; the oldest go first.
const KEPT: usize = 100_000;

/// A log, and what came of reading it.
#[derive(Debug)]
pub(super) struct Log {
    source: Source,
    skipped: u64,
    again: Again,
}

/// How lines are found again that don't name the job.
#[derive(Debug)]
enum Again {
    /// By reading the file a second time.
    File,
    /// A stream can't be read twice.
    Kept(Kept),
}

#[derive(Debug, Default)]
struct Kept {
    lines: VecDeque<(u64, String)>,
    dropped: u64,
}

impl Kept {
    fn keep(&mut self, number: u64, text: String) {
        if self.lines.len() == KEPT {
            self.lines.pop_front();
            self.dropped += 1;
        }
        self.lines.push_back((number, text));
    }
}

impl Log {
    pub(super) fn new(source: Source) -> Self {
        let again = match source.repeats() {
            true => Again::File,
            false => Again::Kept(Kept::default()),
        };
        Self {
            source,
            skipped: 0,
            again,
        }
    }

    pub(super) fn source(&self) -> &Source {
        &self.source
    }

    /// Returns how many lines could not be read.
    pub(super) fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns how many lines the second reading could not look at.
    pub(super) fn unsearched_lines(&self) -> u64 {
        match &self.again {
            Again::File => 0,
            Again::Kept(kept) => kept.dropped,
        }
    }

    /// Hands over every line with its number; `each` tells whether the second reading needs it.
    pub(super) fn search(&mut self, mut each: impl FnMut(u64, Line) -> bool) -> Result<(), Error> {
        let (skipped, again) = (&mut self.skipped, &mut self.again);
        let read = lines(&self.source, |number, text| {
            let Some(line) = text.and_then(|text| text.parse::<Line>().ok()) else {
                *skipped += 1;
                return;
            };
            match again {
                Again::File => {
                    each(number, line);
                }
                Again::Kept(kept) => {
                    let text = line.text.clone();
                    if each(number, line) {
                        kept.keep(number, text);
                    }
                }
            }
        });
        read.map_err(|source| self.unread(source))
    }

    /// Hands over the lines once more.
    pub(super) fn search_again(&self, mut each: impl FnMut(u64, Line)) -> Result<(), Error> {
        let mut hand = |number, text: &str| {
            if let Ok(line) = text.parse() {
                each(number, line);
            }
        };
        match &self.again {
            Again::File => {
                let read = lines(&self.source, |number, text| {
                    text.into_iter().for_each(|text| hand(number, text));
                });
                read.map_err(|source| self.unread(source))
            }
            Again::Kept(kept) => {
                for (number, text) in &kept.lines {
                    hand(*number, text);
                }
                Ok(())
            }
        }
    }

    fn unread(&self, source: io::Error) -> Error {
        Error::Read {
            path: self.source.to_string(),
            source,
        }
    }
}

impl Source {
    /// Tells whether it can be read twice. A pipe that has a path, as of `<(zcat log.gz)`, can't.
    fn repeats(&self) -> bool {
        match self {
            Self::Input => false,
            // What can't be looked at can't be opened either, and that error is told.
            Self::File(path) => fs::metadata(path).map_or(true, |m| m.is_file()),
        }
    }
}

/// Reads a log by lines that aren't blank; those that are too long or no text are given as none.
fn lines(source: &Source, each: impl FnMut(u64, Option<&str>)) -> io::Result<()> {
    match source {
        Source::Input => split(io::stdin().lock(), each),
        Source::File(path) => split(BufReader::new(File::open(path)?), each),
    }
}

fn split(mut input: impl BufRead, mut each: impl FnMut(u64, Option<&str>)) -> io::Result<()> {
    let mut buffer = Vec::new();
    for number in 0.. {
        buffer.clear();
        let read = (&mut input).take(LONGEST).read_until(b'\n', &mut buffer)?;
        if read == 0 {
            break;
        }
        if read as u64 == LONGEST && !buffer.ends_with(b"\n") {
            input.skip_until(b'\n')?;
            each(number, None);
            continue;
        }
        let text = std::str::from_utf8(&buffer);
        if !buffer.trim_ascii().is_empty() {
            each(number, text.ok());
        }
    }
    Ok(())
}
