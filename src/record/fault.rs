//! Faults of a record, as reported to operators.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// The most faults of one report.
pub const MAX_FAULTS: usize = 100;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The text is not a JSON object.
    Syntax,
    /// The record, or the set of all records, is too large.
    Size,
    /// This version doesn't support the schema.
    Schema,
    /// The schema has no such field.
    UnknownField,
    /// A field is missing.
    Missing,
    /// A field has the wrong type.
    Type,
    /// A value is out of its range.
    Range,
    /// A name is malformed.
    Name,
    /// A field or value is duplicated.
    Twice,
    /// A reference to a record or data centre that doesn't exist.
    Reference,
    /// Other records refer to the one that would be withdrawn.
    Referred,
    /// A field that the older schema can't express would be dropped.
    Lost,
    /// No worker satisfies the record.
    Unsatisfiable,
    /// A service would be left without capacity.
    Capacity,
    /// A service would be left with less than half of its capacity, and the change isn't confirmed.
    Halved,
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// One fault of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `quotas.risk.weight`; empty for the record as a whole.
    pub path: String,
    /// The kind of the fault.
    pub code: Code,
    /// What is wrong, and how to correct it.
    pub detail: String,
}

impl Fault {
    /// Makes a fault.
    pub fn new(path: impl Into<String>, code: Code, detail: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return write!(f, "{}: {}", self.code, self.detail);
        }
        write!(f, "{} ({}): {}", self.path, self.code, self.detail)
    }
}

/// Keeps the first [`MAX_FAULTS`] faults, and adds one that says how many were dropped.
pub fn truncate(mut faults: Vec<Fault>) -> Vec<Fault> {
    let dropped = faults.len().saturating_sub(MAX_FAULTS);
    if dropped > 0 {
        faults.truncate(MAX_FAULTS);
        let detail = format!("{dropped} more faults are not shown; correct these first");
        faults.push(Fault::new("", Code::Size, detail));
    }
    faults
}
