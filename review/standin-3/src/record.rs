//! What was sent, answered and run, with times.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The lines of a record.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the begin.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let line = (self.now_ms(), line.into());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:>6} ms  {line}", self.now_ms());
        self.add(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>6} ms  {line}\n"))
            .collect();
        fs::write(path, text)
    }
}
