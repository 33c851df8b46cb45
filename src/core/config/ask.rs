//! The requests of operators.

use serde::Serialize;

use crate::{
    audit::Action,
    prelude::*,
    record::{
        Kind,
        Name, //
    }, //
};

/// A request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Changes the configuration.
    Edit(Edit),
    /// Lists all records, or those of one kind.
    List(Option<Kind>),
    /// Shows one record.
    Show(Name),
    /// Shows on which instances a record is in force.
    Rollout(Name),
    /// Lists the instances, as this one sees them.
    Instances,
    /// Reads the audit trail.
    Audit(Audit),
}

/// A change of the configuration that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Who asks for it.
    pub operator: Operator,
    /// The remote address that the request came from.
    pub from: String,
    /// When the request came, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// Identifies the change: an operation takes effect at most once, however often it is sent.
    pub operation: Operation,
    /// Whether it is a dry run, which changes nothing.
    pub dry_run: bool,
    /// Whether the operator confirms a cut of capacity to less than half.
    pub confirmed: bool,
    /// The action on a record.
    pub act: Act,
}

/// An action on a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Act {
    /// Adds a new record.
    Submit {
        /// The record's text.
        text: String,
    },
    /// Replaces a record.
    Amend {
        /// The record.
        name: Name,
        /// The revision of the record that the operator has seen.
        amends: Revision,
        /// The new text.
        text: String,
    },
    /// Removes a record.
    Withdraw {
        /// The record.
        name: Name,
        /// The revision of the record that the operator has seen.
        amends: Revision,
    },
}

impl Act {
    /// Returns the record's text; none for a withdrawal.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Submit { text } | Self::Amend { text, .. } => Some(text),
            Self::Withdraw { .. } => None,
        }
    }

    /// Returns the record's name; none for a submission, whose text holds it.
    pub fn name(&self) -> Option<&Name> {
        match self {
            Self::Submit { .. } => None,
            Self::Amend { name, .. } | Self::Withdraw { name, .. } => Some(name),
        }
    }

    /// Returns the revision of the record that the operator has seen; none for a new record.
    pub fn amends(&self) -> Option<Revision> {
        match self {
            Self::Submit { .. } => None,
            Self::Amend { amends, .. } | Self::Withdraw { amends, .. } => Some(*amends),
        }
    }

    /// Returns the action as the audit trail names it.
    pub fn action(&self) -> Action {
        match self {
            Self::Submit { .. } => Action::Submit,
            Self::Amend { .. } => Action::Amend,
            Self::Withdraw { .. } => Action::Withdraw,
        }
    }
}

/// A query of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// The record; none means all.
    pub record: Option<Name>,
    /// The earliest time, in milliseconds of the wall clock.
    pub from_ms: u64,
    /// The latest time, in milliseconds of the wall clock; none means no limit.
    pub to_ms: Option<u64>,
    /// The `after` of the previous page.
    pub after: Option<String>,
}
