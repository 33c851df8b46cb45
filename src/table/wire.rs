//! Messages between an instance and the platform: JSON over HTTP/1.1.
//!
//! | request | body | response |
//! |---|---|---|
//! | `POST /table/commit` | [`Commit`] | 200 [`Verdicts`] |
//! | `GET /table/row?key=KEY` | none | 200 [`Row`], 404 |
//! | `GET /table/scan?prefix=P&after=KEY&limit=N` | none | 200 [`Scan`], keys in order |
//! | `PUT /objects/NAME` | bytes | 204 |
//! | `GET /objects/NAME` | none | 200 bytes, 404 |
//! | `GET /instances` | none | 200 [`List`] with an `etag`; 304 if `if-none-match` has that tag |
//! | `GET /instances?data_centre=C` | none | the same, with the endpoints of `C` alone |
//!
//! Any other status means that the request had no effect. Without a response it is unknown whether it had one.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// How often the row has been written: 1 after the first write.
    pub version: u64,
    /// The value: JSON text.
    pub value: String,
}

/// The version that a row must have for a group to be applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version; 0 if the row must be absent.
    pub version: u64,
}

/// Writes a row, or deletes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value; none deletes the row.
    pub value: Option<String>,
}

/// Writes that are applied together if all conditions hold, and otherwise not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// A batch of groups: each is applied or rejected by itself, and all are made durable together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The groups.
    pub groups: Vec<Group>,
}

/// The result of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether the writes were applied.
    pub applied: bool,
    /// The current rows whose conditions failed, without absent ones.
    #[serde(default)]
    pub current: Vec<Row>,
}

/// The response to a [`Commit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    /// The verdicts, in the order of the groups.
    pub verdicts: Vec<Verdict>,
}

/// The response to a scan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Whether an instance or endpoint of the list takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Live,
    /// It is shutting down and takes no new work.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// The address that its peers connect to, as `IP:PORT`.
    pub address: String,
    /// Whether it takes new work.
    pub state: State,
}

/// A worker: an endpoint as the platform's list has it, with the pool, slots and hardware that records refer to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: Endpoint,
    /// Its data centre.
    pub centre: Centre,
    /// Its rack.
    pub rack: String,
    /// The address that it listens on, as `IP:PORT`.
    pub address: String,
    /// The worker pool that it belongs to.
    pub pool: Pool,
    /// The most tasks that it runs at once.
    pub slots: u32,
    /// The most connections that it accepts from all instances together.
    pub connections: u32,
    /// Its hardware.
    #[serde(rename = "has")]
    pub resources: Hardware,
    /// Whether it takes new work.
    pub state: State,
}

/// The platform's list of instances and endpoints, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The instances.
    pub instances: Vec<Member>,
    /// The endpoints.
    pub endpoints: Vec<Worker>,
}
