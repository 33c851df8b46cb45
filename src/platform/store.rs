//! Calls to the store: conditional writes, reads of rows, and feeds of changes.

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
    parse_json,
    Fault, //
};
use crate::prelude::*;

/// The characters that are percent-encoded in a query: all but the unreserved ones (RFC 3986). Other programs choose
/// their keys, and a space or an ampersand in one would make an invalid path.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The key within the table and part.
    pub key: String,
    /// The content of the row.
    pub content: Content,
    /// The version of the store at which the row changed last.
    pub version: u64,
}

impl Page {
    /// Returns whether changes may follow that didn't fit into the page. A page of a feed doesn't say so.
    pub fn is_full(&self) -> bool {
        self.more || self.rows.len() + self.missing_keys >= MAX_PAGE_ROWS
    }
}

/// The content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A value.
    Value(Vec<u8>),
    /// Nothing: the row was deleted.
    Deleted,
    /// Content that can't be read. Other programs write into the same tables; if such a row made the whole response
    /// invalid, it would hide all others.
    Unreadable(Fault),
}

/// The most rows in a page.
const MAX_PAGE_ROWS: usize = 500;

/// The rows of one response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows, in the order of the response.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
    /// The number of rows without a readable key.
    pub missing_keys: usize,
    /// The version of the store that the rows show.
    pub version: u64,
}

/// What a status code of the store says about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was carried out.
    Done,
    /// The condition doesn't hold; nothing was changed.
    Conflict,
    /// The store is overloaded; nothing was changed.
    Refused,
    /// The store can't process the call.
    Invalid,
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
    /// The version that the row must have, or zero if it must not exist.
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
    /// In base64.
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
    /// In base64.
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

/// Builds the call that sets one row unconditionally; returns its path and body.
pub fn build_set(table: &str, key: &str, value: &[u8]) -> (String, Vec<u8>) {
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
    build_transaction(&body)
}

/// Builds the call that changes rows of one part of a table if the row `guard` still has its version; returns its
/// path and body.
pub fn build_change(
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
    build_transaction(&body)
}

fn build_transaction(body: &ChangeBody<'_>) -> (String, Vec<u8>) {
    // Plain structs of strings and numbers can always be serialised.
    let body = serde_json::to_vec(body).unwrap_or_default();
    ("/api/rows-tx".to_owned(), body)
}

/// Parses the version of the store that a change led to.
///
/// # Errors
///
/// Returns a fault with the field that is missing or wrong.
pub fn parse_version(body: &[u8]) -> Result<u64, Fault> {
    let body: VersionBody = parse_json(body)?;
    Ok(body.ver)
}

/// Returns what a status code says about a call.
pub fn classify_status(status: u16) -> Outcome {
    match status {
        200 => Outcome::Done,
        412 => Outcome::Conflict,
        429 | 503 => Outcome::Refused,
        _ => Outcome::Invalid,
    }
}

/// Returns the path that reads the rows of one part of a table, from its beginning or after the key `after`.
pub fn build_range_path(table: &str, part: &str, after: Option<&str>) -> String {
    // A range includes the key `from`; no key lies between `after` and `after` with a space.
    let from = after.map_or(String::new(), |key| {
        format!("&from={}%20", utf8_percent_encode(key, ESCAPED))
    });
    format!("/api/rows-get?table={table}&part={part}{from}")
}

/// Returns the path that reads one row.
pub fn build_row_path(table: &str, part: &str, key: &str) -> String {
    let key = utf8_percent_encode(key, ESCAPED);
    // A range excludes the key `target`.
    format!("/api/rows-get?table={table}&part={part}&from={key}&target={key}%20")
}

/// Returns the path that reads a table's rows, from its beginning or after the key `after`.
pub fn build_table_path(table: &str, after: Option<&str>) -> String {
    build_range_path(table, "", after)
}

/// Returns the path of a long poll for changes of a table after a version.
pub fn build_feed_path(table: &str, after: u64, wait: Span) -> String {
    let wait = wait.as_millis();
    format!("/api/rows-feed?table={table}&after={after}&wait_ms={wait}")
}

/// Returns whether a status code says that the requested history was compacted.
pub fn is_compacted(status: u16) -> bool {
    status == 410
}

/// Parses a page of rows. A row that can't be read has [`Content::Unreadable`], and the others are unaffected.
///
/// # Errors
///
/// Returns a fault if the response as a whole is malformed, with the field that is missing or wrong.
pub fn parse_page(body: &[u8]) -> Result<Page, Fault> {
    let body: RowsBody = parse_json(body)?;
    let total = body.rows.len();
    let rows: Vec<Row> = body.rows.into_iter().filter_map(parse_row).collect();
    Ok(Page {
        missing_keys: total - rows.len(),
        rows,
        more: body.has_more,
        version: body.ver,
    })
}

/// Parses a row; returns `None` if it has no readable key.
fn parse_row(body: serde_json::Value) -> Option<Row> {
    let key = KeyOnly::deserialize(&body).ok()?.key;
    let unreadable = |reason: String| Content::Unreadable(Fault::new(format!("row {key}"), reason));
    let (content, version) = match RowBody::deserialize(&body) {
        Ok(row) if row.deleted => (Content::Deleted, row.ver),
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
