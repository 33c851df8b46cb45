//! The audit trail: who requested which change, when, from where, and with which result.
//!
//! Each entry is stored under two keys, one that sorts by time and one that sorts by record and time, so that a query of
//! either order is one scan.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    prelude::*,
    record::Name,
    table::wire::Write, //
};

/// The action that an operator requested on a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Submit a new record.
    Submit,
    /// Amend a record.
    Amend,
    /// Withdraw a record.
    Withdraw,
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When the request arrived, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The identifier of the change.
    pub operation: Operation,
    /// The operator who requested it.
    pub operator: Operator,
    /// The remote address that the request came from.
    pub from: String,
    /// The instance that received it.
    pub instance: Instance,
    /// The requested action, which stored entries have under the name `deed`.
    #[serde(rename = "deed")]
    pub action: Action,
    /// The record; none if the text doesn't name one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Name>,
    /// The revision of the accepted change; none if it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The text of the record before the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The requested text; none for a withdrawal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// The reasons for a refusal; empty if the change was accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<String>,
}

impl Entry {
    /// Returns the suffix of the entry's keys, which sorts by time and is unique.
    fn key_suffix(&self) -> String {
        key_suffix(self.at_ms, Some(self.operation))
    }

    /// Returns the writes that add the entry to the trail.
    ///
    /// # Panics
    ///
    /// Panics if the entry can't be serialized as JSON, which its type rules out.
    pub fn to_writes(&self) -> Vec<Write> {
        let value = serde_json::to_string(self).expect("an audit entry is plain data");
        let indexes = [Some(None), self.record.as_ref().map(Some)];
        let write = |record| Write {
            key: key_prefix(record) + &self.key_suffix(),
            value: Some(value.clone()),
        };
        indexes.into_iter().flatten().map(write).collect()
    }
}

/// Returns the prefix of the keys of a record's entries, or of the keys by time of all entries.
pub fn key_prefix(record: Option<&Name>) -> String {
    match record {
        Some(name) => format!("audit/record/{name}/"),
        None => "audit/time/".to_owned(),
    }
}

/// Returns the suffix of an entry's key. Without an operation it sorts before all entries of that millisecond.
pub fn key_suffix(at_ms: u64, operation: Option<Operation>) -> String {
    match operation {
        Some(operation) => format!("{at_ms:020}-{operation}"),
        None => format!("{at_ms:020}"),
    }
}
