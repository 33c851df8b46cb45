//! The rows of the table that hold the configuration.
//!
//! | key | value |
//! |---|---|
//! | `config/head` | [`Head`] |
//! | `config/record/KIND/NAME` | [`Stored`] |
//! | `config/change/REVISION`, twenty digits | [`Change`] |
//! | `config/operation/OPERATION` | [`Decision`] |
//!
//! The head is written once with every revision and by nothing else, so that its version is the revision. It never
//! goes back, which makes a condition on it a condition on the whole configuration.

use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};

use super::report::Refusal;
use crate::{
    prelude::*,
    record::Name, //
    table::wire::{
        Condition,
        Row,
        Write, //
    },
};

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";
/// What the keys of records begin with.
pub const RECORD_PREFIX: &str = "config/record/";
/// What the keys of changes begin with.
pub const CHANGE_PREFIX: &str = "config/change/";
/// How many changes the table keeps. An instance that is further behind loads the records instead.
pub const KEPT_CHANGES: u64 = 4_096;
/// Rows in a page of a scan.
pub const PAGE_ROWS: u32 = 128;
/// What the keys of operations begin with.
pub const OPERATION_PREFIX: &str = "config/operation/";

/// The newest revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
}

/// A record as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its name.
    pub name: Name,
    /// The revision that wrote it.
    pub revision: Revision,
    /// Its text.
    pub text: String,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it makes.
    pub revision: Revision,
    /// The record.
    pub name: Name,
    /// The new text; none for a withdrawal.
    pub text: Option<String>,
    /// Who asked for it.
    pub operator: Operator,
    /// The operation.
    pub operation: Operation,
    /// The remote address that the request came from.
    pub from: String,
    /// When the request came, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// The revision that wrote the record before; none for a new one.
    pub before: Option<Revision>,
}

impl Change {
    /// Returns about how many bytes it takes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.text.as_ref().map_or(0, String::len) + self.from.len()
    }
}

/// What became of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The digest of what was asked.
    pub digest: Digest,
    /// What was reported.
    pub end: End,
}

/// The end of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It was accepted.
    Accepted {
        /// The record.
        record: Name,
        /// The revision that it made.
        revision: Revision,
    },
    /// It was refused.
    Refused(Refusal),
}

/// Returns the key of a record.
pub fn record_key(name: &Name) -> String {
    format!("{RECORD_PREFIX}{name}")
}

/// Returns the key of a change.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// Returns the key of an operation.
pub fn operation_key(operation: Operation) -> String {
    format!("{OPERATION_PREFIX}{operation}")
}

/// Returns the write that puts `value` at `key`.
///
/// # Panics
///
/// Panics where the value can't be written as JSON, which the types of the rows rule out.
pub fn write(key: String, value: &impl Serialize) -> Write {
    let value = serde_json::to_string(value).expect("a row is plain data");
    let value = Some(value);
    Write { key, value }
}

/// Reads the value of a row; none where this version can't read it.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

/// Returns the condition that the configuration is at `revision`.
pub fn revision_condition(revision: Revision) -> Condition {
    Condition {
        key: HEAD_KEY.to_owned(),
        version: revision.0,
    }
}

/// Returns the condition that an operation has not been settled.
pub fn unsettled_condition(id: Operation) -> Condition {
    Condition {
        key: operation_key(id),
        version: 0,
    }
}
