//! What operators ask.

use serde::Serialize;

use crate::{
    audit::Action,
    prelude::*,
    record::{
        Kind,
        Name, //
    },
};

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A change of the configuration.
    Edit(Edit),
    /// All records, or those of one kind.
    List(Option<Kind>),
    /// One record.
    Show(Name),
    /// Where a record is in force.
    Rollout(Name),
    /// The instances, as this one sees them.
    Instances,
    /// The audit trail.
    Audit(Audit),
}

/// A change of the configuration that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Who asks.
    pub operator: Operator,
    /// The remote address that the request came from.
    pub from: String,
    /// When it came, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// Names the change; the same operation is done once.
    pub operation: Operation,
    /// Whether it is only tried.
    pub dry_run: bool,
    /// Whether a cut of capacity to less than half is meant.
    pub confirmed: bool,
    /// What is to be done.
    pub act: Act,
}

/// What is to be done to a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Act {
    /// Puts a new record in force.
    Submit {
        /// Its text.
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
    /// Takes a record out of force.
    Withdraw {
        /// The record.
        name: Name,
        /// The revision of the record that the operator has seen.
        amends: Revision,
    },
}

impl Act {
    /// Returns the text, where there is one.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Submit { text } | Self::Amend { text, .. } => Some(text),
            Self::Withdraw { .. } => None,
        }
    }

    /// Returns the name, where the act tells it outside of the text.
    pub fn name(&self) -> Option<&Name> {
        match self {
            Self::Submit { .. } => None,
            Self::Amend { name, .. } | Self::Withdraw { name, .. } => Some(name),
        }
    }

    /// Returns the revision that the operator has seen; none for a record that is to be new.
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

/// A question to the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// The record; none stands for all.
    pub record: Option<Name>,
    /// The first millisecond.
    pub from_ms: u64,
    /// The last millisecond; none stands for no end.
    pub to_ms: Option<u64>,
    /// Where the last page ended: its `after`.
    pub after: Option<String>,
}
