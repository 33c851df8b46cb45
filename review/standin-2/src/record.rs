//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self {
            file: Mutex::new(file),
            started_at: Instant::now(),
        })
    }

    /// Adds a line with the time of now.
    pub fn add(&self, line: impl AsRef<str>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line with the time of an event.
    pub fn add_at(&self, at: Instant, line: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.started_at).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} s  {}", line.as_ref()).ok();
    }
}
