//! Calls to the store: rows under a condition, ranges of rows, and what has changed.

use base64::{
    prelude::BASE64_STANDARD,
    Engine as _, //
};
use percent_encoding::{
    utf8_percent_encode,
    AsciiSet,
    NON_ALPHANUMERIC, //
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

/// What stands for itself in a query (RFC 3986, unreserved). Other programs choose their keys, and one with a blank or an
/// ampersand in it made a path that is none.
const QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// What it holds.
    pub content: Content,
    /// The version of the store at which it changed last.
    pub version: u64,
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// This value.
    Value(Vec<u8>),
    /// Nothing: the row was dropped.
    Dropped,
    /// Something that can't be read. Other programs write into the same tables, and taken for a fault of the whole answer,
    /// one such row hid all others.
    Unreadable(Fault),
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more follow.
    pub more: bool,
    /// How many rows had no key that can be read.
    pub nameless: usize,
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
    rows: Vec<serde_json::Value>,
    #[serde(default)]
    has_more: bool,
    ver: u64,
}

#[derive(Deserialize)]
struct VersionBody {
    ver: u64,
}

#[derive(Deserialize)]
struct KeyOnly {
    key: String,
}

#[derive(Deserialize)]
struct RowBody {
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
    let from = after.map_or(String::new(), |key| {
        format!("&from={}%20", utf8_percent_encode(key, QUERY))
    });
    format!("/api/rows-get?table={table}&part={part}{from}")
}

/// Writes the path that reads one row.
pub fn find(table: &str, part: &str, key: &str) -> String {
    let key = utf8_percent_encode(key, QUERY);
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

/// Reads rows; one that can't be read says so, and leaves the others as they are.
///
/// # Errors
///
/// Names the field of the answer as a whole that is missing or wrong.
pub fn page(body: &[u8]) -> Result<Page, Fault> {
    let body: RowsBody = json(body)?;
    let all = body.rows.len();
    let rows: Vec<Row> = body.rows.into_iter().filter_map(row).collect();
    Ok(Page {
        nameless: all - rows.len(),
        rows,
        more: body.has_more,
        version: body.ver,
    })
}

/// Reads a row; there is none without a key.
fn row(body: serde_json::Value) -> Option<Row> {
    let key = KeyOnly::deserialize(&body).ok()?.key;
    let unreadable = |reason: String| Content::Unreadable(Fault::new(format!("row {key}"), reason));
    let (content, version) = match RowBody::deserialize(&body) {
        Ok(row) if row.deleted => (Content::Dropped, row.ver),
        Ok(row) => match BASE64_STANDARD.decode(&row.value) {
            Ok(value) => (Content::Value(value), row.ver),
            Err(error) => (unreadable(error.to_string()), row.ver),
        },
        Err(error) => (unreadable(error.to_string()), 0),
    };
    Some(Row {
        key,
        content,
        version,
    })
}
