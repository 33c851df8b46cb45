//! Faults of a settings file, as reported to the operator.

use std::fmt;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The section; empty if the fault concerns no section.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// The value as written; none if it is missing or secret.
    pub value: Option<String>,
    /// What is wrong, and what is allowed.
    pub problem: String,
}

impl Fault {
    /// Makes a fault without a value.
    pub fn new(section: &str, key: &str, problem: impl Into<String>) -> Self {
        Self {
            section: section.to_owned(),
            key: key.to_owned(),
            value: None,
            problem: problem.into(),
        }
    }

    /// Adds the value as written.
    pub fn with_value(mut self, value: &str) -> Self {
        self.value = Some(value.to_owned());
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}", self.key)?;
            if let Some(value) = &self.value {
                write!(f, " = {value}")?;
            }
            f.write_str(": ")?;
        }
        f.write_str(&self.problem)
    }
}
