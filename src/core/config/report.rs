//! The answers to operators' requests.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::{
    audit,
    prelude::*,
    record::{
        difference::Difference,
        fault::Fault,
        Name, //
    }, //
};

/// The answer to an operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Report {
    /// The change is durable and takes effect everywhere.
    Accepted {
        /// The record.
        record: Name,
        /// The revision that the change made.
        revision: Revision,
    },
    /// The change was refused; it never takes effect under this operation.
    Refused(Refusal),
    /// The result of a dry run.
    Trial {
        /// The revision against which the change was validated.
        revision: Revision,
        /// Why the change would be refused; none if it would be accepted.
        refusal: Option<Refusal>,
        /// Whether the table's head was read; in an outage the dry run is against what this instance applies.
        confirmed: bool,
    },
    /// The operation was used for another change before; this one did not take effect.
    Reused {
        /// The operation.
        operation: Operation,
    },
    /// A list of records.
    Records {
        /// The revision that this instance applies.
        revision: Revision,
        /// The records.
        records: Vec<View>,
    },
    /// One record.
    Record(View),
    /// On which instances a record is in force.
    #[serde(rename = "force")]
    Rollout(Rollout),
    /// The instances.
    Instances {
        /// The instances, with the revision that each applies.
        instances: Vec<Replica>,
    },
    /// Entries of the audit trail.
    Audit {
        /// The entries in the order of time.
        entries: Vec<audit::Entry>,
        /// The position of the next page, if there may be one.
        after: Option<String>,
    },
    /// There is no such record.
    Absent {
        /// Its name.
        record: Name,
    },
    /// Too many requests of operators are waiting; this one did not take effect.
    Busy,
    /// This instance has no configuration or no list of workers yet; nothing took effect.
    Unready,
    /// The table can't be reached; nothing took effect.
    Unavailable,
    /// The change may have taken effect, or may yet; it is safe to send the same operation again.
    Unknown,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "kebab-case")]
pub enum Refusal {
    /// The record has faults.
    Faulty {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// The record isn't at the revision that the change names.
    Conflict {
        /// The record.
        record: Name,
        /// The record's revision.
        current: Revision,
        /// The fields that differ between the record and the change.
        differences: Vec<Difference>,
    },
    /// There is no such record.
    Absent {
        /// The record.
        record: Name,
    },
}

impl Refusal {
    /// Returns the reasons, one line of text each.
    pub fn lines(&self) -> Vec<String> {
        match self {
            Self::Faulty { faults } => faults.iter().map(Fault::to_string).collect(),
            Self::Conflict {
                record, current, ..
            } => vec![format!("conflict: {record} is at revision {current}")],
            Self::Absent { record } => vec![format!("absent: there is no record {record}")],
        }
    }
}

/// A record, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct View {
    /// Its name.
    pub name: Name,
    /// The revision that wrote it.
    pub revision: Revision,
    /// Whether this version knows its schema.
    pub known: bool,
    /// Its content; a string if it isn't JSON.
    pub record: Value,
}

/// On which instances a record is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The record.
    pub record: Name,
    /// The revision that wrote it.
    pub revision: Revision,
    /// Whether every live instance applies it.
    pub everywhere: bool,
    /// The instances.
    pub instances: Vec<Replica>,
}

/// The revision that one instance applies, as of its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Replica {
    /// The instance.
    pub instance: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// The revision that it applies.
    pub revision: Revision,
    /// Whether this instance considers it alive.
    pub alive: bool,
    /// Whether the record is in force there.
    pub in_force: bool,
}

/// A report with a sentence of advice.
#[derive(Serialize)]
struct Described<'a> {
    #[serde(flatten)]
    report: &'a Report,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'static str,
}

impl Report {
    /// Returns the HTTP status code of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Trial { refusal, .. } => refusal.as_ref().map_or(200, Refusal::status),
            Self::Refused(refusal) => refusal.status(),
            Self::Reused { .. } => 409,
            Self::Absent { .. } => 404,
            Self::Busy | Self::Unready | Self::Unavailable => 503,
            Self::Unknown => 504,
            _ => 200,
        }
    }

    /// Returns the body of the answer as JSON text.
    ///
    /// # Panics
    ///
    /// Panics if the answer can't be written as JSON, which its type rules out.
    pub fn body(&self) -> String {
        let report = self;
        let detail = self.detail();
        let body = Described { report, detail };
        serde_json::to_string(&body).expect("an answer is plain data")
    }

    /// Returns advice on what to do next; empty where the report says enough.
    fn detail(&self) -> &'static str {
        match self {
            Self::Reused { .. } => "nothing took effect; send it with an operation of its own",
            Self::Busy => "nothing took effect; send it again in a few seconds",
            Self::Unready => "nothing took effect; this instance is starting, ask another",
            Self::Unavailable => "nothing took effect; the table can't be reached, send it again",
            Self::Unknown => "it may have taken effect; send it again with the same operation",
            _ => "",
        }
    }
}

impl Refusal {
    /// Returns the HTTP status code of the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Self::Faulty { .. } => 422,
            Self::Conflict { .. } => 409,
            Self::Absent { .. } => 404,
        }
    }
}
