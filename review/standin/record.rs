//! The record of a play: a line for each event, with the milliseconds since the begin.

use std::{
    fmt::Write as _,
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the begin.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        writeln!(lines, "{:>7} {}", self.now(), line.as_ref()).unwrap();
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().as_bytes())
    }
}

/// Returns a task's name as the record has it, without dots: the job, the step and the index.
pub fn show_task(task: &str) -> String {
    let mut parts = task.split('.');
    let mut next = || parts.next().unwrap_or_default();
    let (job, _, step, index) = (next(), next(), next(), next());
    format!("{job}/{step}/{index}")
}
