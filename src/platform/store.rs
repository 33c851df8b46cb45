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

#[derive(Serialize)]
struct ChangeBody<'a> {
    expected_rev: [(); 0],
    set_keys: [SetBody<'a>; 1],
    remove: [(); 0],
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
        expected_rev: [],
        set_keys: [SetBody {
            table,
            part: "",
            key,
            value: BASE64_STANDARD.encode(value),
        }],
        remove: [],
    };
    // Plain structs of text always serialise.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    ("/api/rows-tx".to_owned(), body)
}

/// Writes the path that reads a table's rows after the key `after`, or from its beginning.
pub fn get(table: &str, after: Option<&str>) -> String {
    // A range begins with its first key; no key can lie between `after` and `after` with a blank.
    let from = after.map_or(String::new(), |key| format!("&from={key}%20"));
    format!("/api/rows-get?table={table}&part={from}")
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
