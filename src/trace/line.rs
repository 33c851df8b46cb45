//! One line of an instance's log.

use std::{
    collections::BTreeMap,
    str::FromStr, //
};

use serde::Deserialize;
use serde_json::Value;

use super::LINES_LEFT_OUT;
use crate::{
    dispatch::id::{
        self,
        JobId, //
    },
    prelude::*, //
};

/// The error for a text that isn't a line of an instance's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a line of an instance's log")]
pub struct ParseError;

/// A log line as an instance wrote it.
#[derive(Debug, Clone, Deserialize)]
pub struct Line {
    /// The instance's wall clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The instance that wrote the line.
    pub instance: Instance,
    /// The name of the event.
    pub event: String,
    /// The job that the line is about, if any.
    pub job: Option<Id>,
    /// The event's other fields by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
    /// The line's JSON text.
    #[serde(skip)]
    pub text: String,
}

/// A job's identifier, deserialized from its hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Id(pub JobId);

impl TryFrom<String> for Id {
    type Error = id::JobIdError;

    fn try_from(text: String) -> Result<Self, id::JobIdError> {
        text.parse().map(Self)
    }
}

impl Line {
    /// Returns the value of a field if it is a string.
    pub fn string_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns whether the line is about a job, by its job field or else by the job part of its task field.
    pub fn is_about(&self, job: JobId) -> bool {
        if let Some(Id(id)) = self.job {
            return id == job;
        }
        let digits = self
            .string_field("task")
            .and_then(|task| task.split('.').next());
        digits.is_some_and(|digits| digits.parse() == Ok(job))
    }

    /// Returns the number of dropped lines that the line reports, 0 if it reports none.
    pub fn left_out_lines(&self) -> u64 {
        if self.event != LINES_LEFT_OUT {
            return 0;
        }
        let count = self.fields.get("count").and_then(Value::as_u64);
        count.unwrap_or_default()
    }

    fn parse(text: &str) -> Result<Self, ParseError> {
        let line: Self = serde_json::from_str(text).map_err(|_| ParseError)?;
        Ok(Self {
            text: text.trim_end().to_owned(),
            ..line
        })
    }
}

impl FromStr for Line {
    type Err = ParseError;

    /// Parses a line of a log from its first brace on, since log collectors may put a time or a name in front.
    ///
    /// A killed process may leave an incomplete line, to which its successor appends its first one. If the text doesn't
    /// parse as one object, the last object in it is tried, so that the first line after a restart isn't lost.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let first_object = text.find('{').ok_or(ParseError)?;
        let last_object = text.rfind("{\"").unwrap_or(first_object);
        Self::parse(&text[first_object..]).or_else(|_| Self::parse(&text[last_object..]))
    }
}
