//! What is wrong with a record.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// The most faults that are told at once.
pub const MOST: usize = 100;

/// Which sort of fault it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The text is not a JSON object.
    Syntax,
    /// The record, or all records together, are too large.
    Size,
    /// The schema is not known to this version.
    Schema,
    /// A field is not known in this schema.
    UnknownField,
    /// A field is missing.
    Missing,
    /// A field has the wrong type.
    Type,
    /// A value is out of its range.
    Range,
    /// A name is not well formed.
    Name,
    /// A value stands twice.
    Twice,
    /// A reference to nothing.
    Reference,
    /// Others refer to what would be withdrawn.
    Referred,
    /// A field of the newer schema would be lost.
    Lost,
    /// No worker can satisfy it.
    Unsatisfiable,
    /// A service would be left without capacity.
    Capacity,
    /// The capacity of a service would fall to less than half at a stroke.
    Halved,
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// One fault: where it is, which it is, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, as `quotas.risk.weight`; empty for the record as a whole.
    pub path: String,
    /// Which sort of fault it is.
    pub code: Code,
    /// What is wrong, and what would be right.
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

/// Keeps the first [`MOST`] faults and tells how many there are besides.
pub fn shorten(mut faults: Vec<Fault>) -> Vec<Fault> {
    let more = faults.len().saturating_sub(MOST);
    if more > 0 {
        faults.truncate(MOST);
        let detail = format!("there are {more} more faults; mend these first");
        faults.push(Fault::new("", Code::Size, detail));
    }
    faults
}
