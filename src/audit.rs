//! The audit trail: who asked for which change, when, from where, and what became of it.
//!
//! Each entry stands under two keys, one that sorts by time and one that sorts by record and time, so that either
//! question is one scan.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    prelude::*,
    record::Name, //
    table::wire::Write,
};

/// What an operator asked to be done to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Submitted a new record.
    Submit,
    /// Amended a record.
    Amend,
    /// Withdrew a record.
    Withdraw,
}

/// One entry of the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When the request came, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// The operation.
    pub operation: Operation,
    /// Who asked.
    pub operator: Operator,
    /// The remote address that the request came from.
    pub from: String,
    /// The instance that took it.
    pub instance: Instance,
    /// What was asked for. Entries that stand in the table have it under this name, and operators read it there.
    #[serde(rename = "deed")]
    pub action: Action,
    /// The record; none where the text didn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Name>,
    /// The revision that it was accepted as; none where it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The text before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The text that was asked for; none for a withdrawal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// Why it was refused; empty where it was accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<String>,
}

impl Entry {
    /// Returns the end of the keys: by time, and distinct.
    fn key_suffix(&self) -> String {
        key_suffix(self.at_ms, Some(self.operation))
    }

    /// Returns the writes that put the entry into the trail.
    ///
    /// # Panics
    ///
    /// Panics where an entry can't be written as JSON, which its type rules out.
    pub fn to_writes(&self) -> Vec<Write> {
        let value = serde_json::to_string(self).expect("an audit entry is plain data");
        let keys = [Some(None), self.record.as_ref().map(Some)];
        let write = |record| Write {
            key: key_prefix(record) + &self.key_suffix(),
            value: Some(value.clone()),
        };
        keys.into_iter().flatten().map(write).collect()
    }
}

/// Returns what the keys of a record's entries begin with, or those of all entries.
pub fn key_prefix(record: Option<&Name>) -> String {
    match record {
        Some(name) => format!("audit/record/{name}/"),
        None => "audit/time/".to_owned(),
    }
}

/// Returns the end of the key of an entry; without an operation it sorts before all of that millisecond.
pub fn key_suffix(at_ms: u64, operation: Option<Operation>) -> String {
    match operation {
        Some(operation) => format!("{at_ms:020}-{operation}"),
        None => format!("{at_ms:020}"),
    }
}
