//! What goes between an instance and the platform: JSON over HTTP/1.1.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /table/commit` | [`Commit`] | 200 [`Verdicts`] |
//! | `GET /table/row?key=KEY` | none | 200 [`Row`], 404 |
//! | `GET /table/scan?prefix=P&after=KEY&limit=N` | none | 200 [`Scan`], keys in order |
//! | `PUT /objects/NAME` | bytes | 204 |
//! | `GET /objects/NAME` | none | 200 bytes, 404 |
//! | `GET /instances` | none | 200 [`List`] with an `etag`; 304 where `if-none-match` names it |
//! | `GET /instances?data_centre=C` | none | the same, with the endpoints of `C` alone |
//!
//! Any other status means that nothing took effect; no answer at all means that it is not known.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// A row of the table. Versions start at 1; a row that is absent counts as version 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// How often the row has been written.
    pub version: u64,
    /// The value: JSON text.
    pub value: String,
}

/// Holds while the row has this version; zero stands for an absent row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// Puts a row, or deletes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: String,
    /// The new value; none deletes the row.
    pub value: Option<String>,
}

/// Writes that take effect together, when all conditions hold, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// One transaction: the groups are decided one by one, and made durable together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The groups.
    pub groups: Vec<Group>,
}

/// What became of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether the writes took effect.
    pub applied: bool,
    /// The rows whose conditions failed, as they stand; absent ones are left out.
    #[serde(default)]
    pub current: Vec<Row>,
}

/// The answer to a [`Commit`], a verdict for each group in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    /// The verdicts.
    pub verdicts: Vec<Verdict>,
}

/// Rows of a scan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Whether a member of the list is to get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is there.
    Live,
    /// It is leaving.
    Leaving,
}

/// An entry instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Where it listens to its peers, as `IP:PORT`.
    pub address: String,
    /// Whether it is leaving.
    pub state: State,
}

/// An endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: Endpoint,
    /// Its data centre.
    pub centre: Centre,
    /// Its rack.
    pub rack: String,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
    /// The worker pool that it belongs to.
    pub pool: Pool,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections that it takes from all instances together.
    pub connections: u32,
    /// What it has.
    #[serde(rename = "has")]
    pub resources: Hardware,
    /// Whether it is leaving.
    pub state: State,
}

/// The platform's list; it lags behind reality.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry instances.
    pub instances: Vec<Member>,
    /// Endpoints.
    pub endpoints: Vec<Worker>,
}
