//! One line of an instance's log.

use std::{
    collections::BTreeMap,
    str::FromStr, //
};

use serde::Deserialize;
use serde_json::Value;

use super::THINNED;
use crate::{
    dispatch::id::{
        self,
        JobId, //
    },
    prelude::*,
};

/// Why a text is no line of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a line of an instance's log")]
pub struct ParseError;

/// A line as an instance wrote it.
#[derive(Debug, Clone, Deserialize)]
pub struct Line {
    /// The instance's wall clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Who wrote it.
    pub instance: Instance,
    /// What happened.
    pub event: String,
    /// The job that it is about, if it is about one.
    pub job: Option<Id>,
    /// What decided, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
    /// The JSON text.
    #[serde(skip)]
    pub text: String,
}

/// A job's identifier in its digits.
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
    /// Returns a field that holds a text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Tells whether it is about a job: by its own field, or by the task that it names.
    pub fn is_about(&self, job: JobId) -> bool {
        if let Some(Id(own)) = self.job {
            return own == job;
        }
        let digits = self.text("task").and_then(|task| task.split('.').next());
        digits.is_some_and(|digits| digits.parse() == Ok(job))
    }

    /// Returns how many lines before it were left out of the log, as far as it tells.
    pub fn left_out_lines(&self) -> u64 {
        if self.event != THINNED {
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

    /// Reads a line of a log, from its first brace on: what collects logs may put a time or a name in front.
    ///
    /// A process that dies may leave half a line, and its successor goes on right behind it. The second object of such a
    /// line is whole, and often the one that tells of the restart.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let first = text.find('{').ok_or(ParseError)?;
        let last = text.rfind("{\"").unwrap_or(first);
        Self::parse(&text[first..]).or_else(|_| Self::parse(&text[last..]))
    }
}
