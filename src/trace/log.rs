//! Reads a log line by line, from a file or a stream.

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
    }, //
};

use super::{
    line::Line,
    Source, //
};
use crate::error::Error;

/// The longest line that is read. It keeps a file without line breaks, which is no log, from being read into memory whole.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// How many lines of a stream are buffered for the second pass; beyond that, the oldest are dropped. At about 200 bytes a
/// line they take 20 MB.
const MAX_BUFFERED_LINES: usize = 100_000;

/// A log that is read in two passes.
#[derive(Debug)]
pub(super) struct Log {
    source: Source,
    skipped_lines: u64,
    second_pass: SecondPass,
}

/// Where the second pass gets the lines from.
#[derive(Debug)]
enum SecondPass {
    /// The file is read again.
    File,
    /// A stream can't be read twice: the first pass buffers the lines that the second may need.
    Buffer(Buffer),
}

/// The newest lines of a stream, with their line numbers.
#[derive(Debug, Default)]
struct Buffer {
    lines: VecDeque<(u64, String)>,
    dropped: u64,
}

impl Buffer {
    fn push(&mut self, number: u64, text: String) {
        if self.lines.len() == MAX_BUFFERED_LINES {
            self.lines.pop_front();
            self.dropped += 1;
        }
        self.lines.push_back((number, text));
    }
}

impl Log {
    pub(super) fn new(source: Source) -> Self {
        let second_pass = match source.is_rereadable() {
            true => SecondPass::File,
            false => SecondPass::Buffer(Buffer::default()),
        };
        Self {
            source,
            skipped_lines: 0,
            second_pass,
        }
    }

    pub(super) fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the number of unreadable lines that the first pass skipped.
    pub(super) fn skipped_lines(&self) -> u64 {
        self.skipped_lines
    }

    /// Returns the number of lines that were dropped from the buffer before the second pass.
    pub(super) fn unsearched_lines(&self) -> u64 {
        match &self.second_pass {
            SecondPass::File => 0,
            SecondPass::Buffer(buffer) => buffer.dropped,
        }
    }

    /// Runs the first pass: calls `visit` for every line with its number. `visit` returns whether the second pass needs
    /// the line.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub(super) fn read_lines(
        &mut self,
        mut visit: impl FnMut(u64, Line) -> bool,
    ) -> Result<(), Error> {
        let (skipped, second_pass) = (&mut self.skipped_lines, &mut self.second_pass);
        let read = visit_source(&self.source, |number, text| {
            let Some(line) = text.and_then(|text| text.parse::<Line>().ok()) else {
                *skipped += 1;
                return;
            };
            match second_pass {
                SecondPass::File => {
                    visit(number, line);
                }
                SecondPass::Buffer(buffer) => {
                    let text = line.text.clone();
                    if visit(number, line) {
                        buffer.push(number, text);
                    }
                }
            }
        });
        read.map_err(|source| self.read_error(source))
    }

    /// Runs the second pass: calls `visit` for every line of a file, or for the buffered lines of a stream.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub(super) fn reread_lines(&self, mut visit: impl FnMut(u64, Line)) -> Result<(), Error> {
        let mut visit_text = |number, text: &str| {
            if let Ok(line) = text.parse() {
                visit(number, line);
            }
        };
        match &self.second_pass {
            SecondPass::File => {
                let read = visit_source(&self.source, |number, text| {
                    text.into_iter().for_each(|text| visit_text(number, text));
                });
                read.map_err(|source| self.read_error(source))
            }
            SecondPass::Buffer(buffer) => {
                for (number, text) in &buffer.lines {
                    visit_text(*number, text);
                }
                Ok(())
            }
        }
    }

    fn read_error(&self, source: io::Error) -> Error {
        Error::Read {
            path: self.source.to_string(),
            source,
        }
    }
}

impl Source {
    /// Returns whether the source can be read twice. A pipe with a path, as of `<(zcat log.gz)`, can't.
    fn is_rereadable(&self) -> bool {
        match self {
            Self::Input => false,
            // Without metadata, the file can't be opened either, and opening it reports the error.
            Self::File(path) => fs::metadata(path).map_or(true, |m| m.is_file()),
        }
    }
}

/// Calls `visit` for every line of a source that isn't blank, with `None` for a line that is too long or no valid UTF-8.
fn visit_source(source: &Source, visit: impl FnMut(u64, Option<&str>)) -> io::Result<()> {
    match source {
        Source::Input => visit_lines(io::stdin().lock(), visit),
        Source::File(path) => visit_lines(BufReader::new(File::open(path)?), visit),
    }
}

fn visit_lines(
    mut input: impl BufRead,
    mut visit: impl FnMut(u64, Option<&str>),
) -> io::Result<()> {
    let mut buffer = Vec::new();
    for number in 0.. {
        buffer.clear();
        let read = (&mut input)
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut buffer)?;
        if read == 0 {
            break;
        }
        if read as u64 == MAX_LINE_BYTES && !buffer.ends_with(b"\n") {
            input.skip_until(b'\n')?;
            visit(number, None);
            continue;
        }
        let text = std::str::from_utf8(&buffer);
        if !buffer.trim_ascii().is_empty() {
            visit(number, text.ok());
        }
    }
    Ok(())
}
