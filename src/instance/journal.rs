//! The structured log: one JSON object per line on standard output, limited in rate and never blocking.

use std::{
    io::{
        self,
        Write, //
    },
    sync::mpsc::{
        sync_channel,
        Receiver,
        SyncSender, //
    }, //
};

use serde_json::{
    Map,
    Value, //
};

use crate::{
    clock::unix_millis,
    dispatch::message::LogRecord,
    error::Error,
    prelude::*, //
};

/// The most routine lines per second; any more are counted and left out. A job writes four, so that a hundred jobs
/// per second fit twice.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 800;

/// The most other lines per second; any more are counted and left out.
const MAX_OTHER_LINES_PER_SECOND: u32 = 400;

/// The most batches that wait for the writer, while the reader of standard output has fallen behind.
const MAX_QUEUED_BATCHES: usize = 64;

/// The size in bytes at which a batch is written ahead of [`FLUSH_INTERVAL`].
const MAX_BATCH_BYTES: usize = 32 << 10;

/// Interval at which a batch is passed to the writer. Each batch costs a wake-up of the writer and a system call.
pub const FLUSH_INTERVAL: Span = Span::millis(200);

/// The log of an instance.
#[derive(Debug)]
pub struct Journal {
    name: Instance,
    batch: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
    /// The second of the Unix time that the two counts are of.
    second: u64,
    routine_lines: u32,
    other_lines: u32,
    /// Lines that were left out and not reported yet.
    left_out: u64,
}

impl Journal {
    /// Opens the log and starts its writer, a thread of its own so that a slow reader of standard output can't block
    /// the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn open(name: Instance) -> Result<Self, Error> {
        let (writer, batches) = sync_channel(MAX_QUEUED_BATCHES);
        let thread = std::thread::Builder::new().name("log".to_owned());
        let thread = thread.spawn(move || write_batches(&batches));
        thread.map_err(|source| Error::Thread {
            what: "log",
            source,
        })?;
        Ok(Self {
            name,
            batch: Vec::new(),
            writer,
            second: 0,
            routine_lines: 0,
            other_lines: 0,
            left_out: 0,
        })
    }

    /// Appends a line to the batch, or counts it as left out if the rate limit is reached.
    pub fn log(&mut self, record: &LogRecord) {
        let time = unix_millis();
        if time / 1_000 != self.second {
            self.second = time / 1_000;
            (self.routine_lines, self.other_lines) = (0, 0);
            self.log_left_out(time);
        }
        let (count, limit) = match record.routine {
            true => (&mut self.routine_lines, MAX_ROUTINE_LINES_PER_SECOND),
            false => (&mut self.other_lines, MAX_OTHER_LINES_PER_SECOND),
        };
        *count += 1;
        if *count > limit {
            self.left_out += 1;
            return;
        }
        self.append_line(time, record);
    }

    fn log_left_out(&mut self, time: u64) {
        if self.left_out > 0 {
            let record = LogRecord::new("lines_left_out").with("count", self.left_out);
            self.left_out = 0;
            self.append_line(time, &record);
        }
    }

    fn append_line(&mut self, time: u64, record: &LogRecord) {
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), time.into());
        line.insert("instance".to_owned(), self.name.as_str().into());
        line.insert("event".to_owned(), record.event.into());
        if let Some(job) = record.job {
            line.insert("job".to_owned(), job.to_string().into());
        }
        for (name, value) in &record.fields {
            // Numbers and strings can always be serialised.
            let value = serde_json::to_value(value).unwrap_or_default();
            line.insert((*name).to_owned(), value);
        }
        // Writing to memory can't fail.
        serde_json::to_writer(&mut self.batch, &Value::Object(line)).ok();
        self.batch.push(b'\n');
        if self.batch.len() >= MAX_BATCH_BYTES {
            self.flush();
        }
    }

    /// Passes the batch to the writer without blocking; counts its lines as left out if the queue is full.
    pub fn flush(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let lines = batch.iter().filter(|b| **b == b'\n').count() as u64;
        if self.writer.try_send(batch).is_err() {
            self.left_out += lines;
        }
    }
}

fn write_batches(batches: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(batch) = batches.recv() {
        // An error means that standard output is closed, and there is no other place to report that.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
