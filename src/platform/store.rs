//! Calls to the store: rows under a condition, ranges of rows, and what has changed.

use base64::{
    prelude::BASE64_STANDARD,
    Engine as _, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    json,
    Fault, //
};
use crate::prelude::*;

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// What it holds; none where it was dropped.
    pub value: Option<Vec<u8>>,
    /// The version of the store at which it changed last.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more follow.
    pub more: bool,
    /// The version of the store at that moment.
    pub version: u64,
}

/// What a status of the store says of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Done,
    /// Its condition doesn't hold; nothing was changed.
    Conflict,
    /// The store has no time for it; nothing was changed.
    Refused,
    /// The store can't make anything of it.
    Wrong,
}

#[derive(Serialize)]
struct ChangeBody<'a> {
    expected_rev: Vec<GuardBody<'a>>,
    set_keys: Vec<SetBody<'a>>,
    remove: Vec<KeyBody<'a>>,
}

#[derive(Serialize)]
struct GuardBody<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    /// The version that the row must have; zero where there must be none.
    ver: u64,
}

#[derive(Serialize)]
struct KeyBody<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

#[derive(Serialize)]
struct SetBody<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    /// Base64.
    value: String,
}

#[derive(Deserialize)]
struct RowsBody {
    #[serde(default)]
    rows: Vec<RowBody>,
    #[serde(default)]
    has_more: bool,
    ver: u64,
}

#[derive(Deserialize)]
struct VersionBody {
    ver: u64,
}

#[derive(Deserialize)]
struct RowBody {
    key: String,
    /// Base64.
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

/// Writes the call that sets one row whatever it was: its path and body.
pub fn set(table: &str, key: &str, value: &[u8]) -> (String, Vec<u8>) {
    let body = ChangeBody {
        expected_rev: Vec::new(),
        set_keys: vec![SetBody {
            table,
            part: "",
            key,
            value: BASE64_STANDARD.encode(value),
        }],
        remove: Vec::new(),
    };
    transaction(&body)
}

/// Writes the call that changes rows of one part of a table if the row `guard` has its version still.
pub fn change(
    table: &str,
    part: &str,
    guard: &(String, u64),
    set: &[(String, Vec<u8>)],
    remove: &[String],
) -> (String, Vec<u8>) {
    let set = set.iter().map(|(key, value)| SetBody {
        table,
        part,
        key,
        value: BASE64_STANDARD.encode(value),
    });
    let remove = remove.iter().map(|key| KeyBody { table, part, key });
    let body = ChangeBody {
        expected_rev: vec![GuardBody {
            table,
            part,
            key: &guard.0,
            ver: guard.1,
        }],
        set_keys: set.collect(),
        remove: remove.collect(),
    };
    transaction(&body)
}

fn transaction(body: &ChangeBody<'_>) -> (String, Vec<u8>) {
    // Plain structs of text and numbers always serialise.
    let body = serde_json::to_vec(body).unwrap_or_default();
    ("/api/rows-tx".to_owned(), body)
}

/// Reads the version that a change was made as.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn version(body: &[u8]) -> Result<u64, Fault> {
    let body: VersionBody = json(body)?;
    Ok(body.ver)
}

/// Tells what a status says of a call.
pub fn outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Done,
        412 => Outcome::Conflict,
        429 | 503 => Outcome::Refused,
        _ => Outcome::Wrong,
    }
}

/// Writes the path that reads rows of one part of a table after the key `after`, or from its beginning.
pub fn range(table: &str, part: &str, after: Option<&str>) -> String {
    let from = after.map_or(String::new(), |key| format!("&from={key}%20"));
    format!("/api/rows-get?table={table}&part={part}{from}")
}

/// Writes the path that reads one row.
pub fn find(table: &str, part: &str, key: &str) -> String {
    // A range leaves its last key out.
    format!("/api/rows-get?table={table}&part={part}&from={key}&target={key}%20")
}

/// Writes the path that reads a table's rows after the key `after`, or from its beginning.
pub fn get(table: &str, after: Option<&str>) -> String {
    // A range begins with its first key; no key can lie between `after` and `after` with a blank.
    range(table, "", after)
}

/// Writes the path that waits for changes of a table after a version.
pub fn feed(table: &str, after: u64, wait: Span) -> String {
    let wait = wait.as_millis();
    format!("/api/rows-feed?table={table}&after={after}&wait_ms={wait}")
}

/// Tells whether a status says that the history that was asked for is gone.
pub fn lacks_history(status: u16) -> bool {
    status == 410
}

/// Reads rows.
///
/// # Errors
///
/// Names the field that is missing or wrong.
pub fn page(body: &[u8]) -> Result<Page, Fault> {
    let body: RowsBody = json(body)?;
    let rows: Result<Vec<Row>, Fault> = body.rows.into_iter().map(row).collect();
    Ok(Page {
        rows: rows?,
        more: body.has_more,
        version: body.ver,
    })
}

fn row(body: RowBody) -> Result<Row, Fault> {
    let value = match body.deleted {
        true => None,
        false => {
            let decoded = BASE64_STANDARD.decode(&body.value);
            Some(decoded.map_err(|e| Fault::new(format!("value of {}", body.key), e))?)
        }
    };
    Ok(Row {
        key: body.key,
        value,
        version: body.ver,
    })
}
