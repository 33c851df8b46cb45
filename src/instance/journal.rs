//! The structured log: one JSON object a line on standard output, bounded, and never waited for.

use std::{
    io::{
        self,
        Write, //
    },
    sync::mpsc::{
        sync_channel,
        Receiver,
        SyncSender, //
    },
};

use serde_json::{
    Map,
    Value, //
};

use crate::{
    clock::unix_millis,
    dispatch::message::Record,
    error::Error,
    prelude::*, //
};

/// Routine lines a second; any more are counted and left out. A job writes four, so that all of a hundred jobs a
/// second can be followed.
const ROUTINE: u32 = 800;

/// Other lines a second; any more are counted and left out.
const LINES: u32 = 400;

/// Batches of lines that wait for a reader of standard output that has fallen behind.
const BATCHES: usize = 64;

/// Bytes after which a batch leaves before its time.
const BATCH: usize = 32 << 10;

/// Between batches: each costs a wake-up of the writer and a system call.
pub const FLUSH: Span = Span::millis(200);

/// The log of an instance.
#[derive(Debug)]
pub struct Journal {
    name: Instance,
    batch: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
    second: u64,
    routine: u32,
    lines: u32,
    left_out: u64,
}

impl Journal {
    /// Opens the log, with a thread of its own that writes: a reader that falls behind must not hold up the
    /// instance.
    ///
    /// # Errors
    ///
    /// Fails where the thread can't be started.
    pub fn open(name: Instance) -> Result<Self, Error> {
        let (writer, batches) = sync_channel(BATCHES);
        let thread = std::thread::Builder::new().name("log".to_owned());
        let thread = thread.spawn(move || write(&batches));
        thread.map_err(|source| Error::Thread {
            what: "log",
            source,
        })?;
        Ok(Self {
            name,
            batch: Vec::new(),
            writer,
            second: 0,
            routine: 0,
            lines: 0,
            left_out: 0,
        })
    }

    /// Writes a line, or counts it as left out.
    pub fn log(&mut self, record: &Record) {
        let time = unix_millis();
        if time / 1_000 != self.second {
            self.second = time / 1_000;
            (self.routine, self.lines) = (0, 0);
            self.tell_left_out(time);
        }
        let (count, most) = match record.routine {
            true => (&mut self.routine, ROUTINE),
            false => (&mut self.lines, LINES),
        };
        *count += 1;
        if *count > most {
            self.left_out += 1;
            return;
        }
        self.line(time, record);
    }

    fn tell_left_out(&mut self, time: u64) {
        if self.left_out > 0 {
            let record = Record::new("lines_left_out").with("count", self.left_out);
            self.left_out = 0;
            self.line(time, &record);
        }
    }

    fn line(&mut self, time: u64, record: &Record) {
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), time.into());
        line.insert("instance".to_owned(), self.name.as_str().into());
        line.insert("event".to_owned(), record.event.into());
        if let Some(job) = record.job {
            line.insert("job".to_owned(), job.to_string().into());
        }
        for (name, value) in &record.fields {
            // Numbers and texts always serialise.
            let value = serde_json::to_value(value).unwrap_or_default();
            line.insert((*name).to_owned(), value);
        }
        // Writing to memory can't fail.
        serde_json::to_writer(&mut self.batch, &Value::Object(line)).ok();
        self.batch.push(b'\n');
        if self.batch.len() >= BATCH {
            self.flush();
        }
    }

    /// Hands what was written to the writer; where that is full, the lines are counted as left out.
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

fn write(batches: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(batch) = batches.recv() {
        // Nobody is left to be told when nobody reads the log.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
