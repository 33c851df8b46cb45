//! The rows of the table that hold the configuration.
//!
//! | key | value |
//! |---|---|
//! | `config/head` | [`Head`] |
//! | `config/record/KIND/NAME` | [`Stored`] |
//! | `config/change/REVISION`, twenty digits | [`Change`] |
//! | `config/operation/OPERATION` | [`Decision`] |
//!
//! The head is written once with every revision and never otherwise, so its version equals the revision. The version
//! never decreases, so a condition on the head is a condition on the whole configuration.

use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};

use super::report::Refusal;
use crate::{
    prelude::*,
    record::Name,
    table::wire::{
        Condition,
        Row,
        Write, //
    }, //
};

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";
/// The prefix of the keys of records.
pub const RECORD_PREFIX: &str = "config/record/";
/// The prefix of the keys of changes.
pub const CHANGE_PREFIX: &str = "config/change/";
/// How many changes the table keeps. An instance that is further behind loads all records instead.
pub const KEPT_CHANGES: u64 = 4_096;
/// The most rows in a page of a scan.
pub const PAGE_ROWS: u32 = 128;
/// The prefix of the keys of operations.
pub const OPERATION_PREFIX: &str = "config/operation/";

/// The newest revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
}

/// A record, as stored in the table.
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
    /// The revision that the change makes.
    pub revision: Revision,
    /// The record.
    pub name: Name,
    /// The new text; none for a withdrawal.
    pub text: Option<String>,
    /// The operator who asked for it.
    pub operator: Operator,
    /// The operation.
    pub operation: Operation,
    /// The remote address that the request came from.
    pub from: String,
    /// When the request came, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// The revision of the record that it replaced; none for a new record.
    pub before: Option<Revision>,
}

impl Change {
    /// Returns about how many bytes of memory the change takes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.text.as_ref().map_or(0, String::len) + self.from.len()
    }
}

/// The decision on an operation, kept so that a retry gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The digest of the request.
    pub digest: Digest,
    /// The end that was reported.
    pub end: End,
}

/// The end of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The change was accepted.
    Accepted {
        /// The record.
        record: Name,
        /// The revision that the change made.
        revision: Revision,
    },
    /// The change was refused.
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
/// Panics if the value can't be written as JSON, which the types of the rows rule out.
pub fn write(key: String, value: &impl Serialize) -> Write {
    let value = serde_json::to_string(value).expect("a row is plain data");
    let value = Some(value);
    Write { key, value }
}

/// Decodes the value of a row; returns none if this version can't.
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

/// Returns the condition that an operation has no decision yet.
pub fn undecided_condition(id: Operation) -> Condition {
    Condition {
        key: operation_key(id),
        version: 0,
    }
}
