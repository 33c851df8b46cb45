//! Lines of the log.

use serde::Serialize;

use super::super::id::JobId;
use crate::prelude::*;

/// A line of the log: an event, its job and its fields.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// The name of the event.
    pub event: &'static str,
    /// Whether the line may be dropped under load.
    pub routine: bool,
    /// The job that the event is about.
    pub job: Option<JobId>,
    /// The names and values of its fields.
    pub fields: Vec<(&'static str, Value)>,
}

/// A value in a line of the log.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Value {
    /// A number.
    Number(i64),
    /// A text.
    Text(String),
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number as i64)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(i64::from(number))
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Number(number as i64)
    }
}

impl From<Span> for Value {
    fn from(span: Span) -> Self {
        Self::Number(span.as_millis() as i64)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl LogRecord {
    /// Creates a line that is always written.
    pub fn new(event: &'static str) -> Self {
        Self {
            event,
            routine: false,
            job: None,
            fields: Vec::new(),
        }
    }

    /// Creates a line that may be dropped under load.
    pub fn routine(event: &'static str) -> Self {
        Self {
            routine: true,
            ..Self::new(event)
        }
    }

    /// Sets the job.
    pub fn job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.push((name, value.into()));
        self
    }
}
