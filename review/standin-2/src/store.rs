//! A stand-in for the platform's store: rows in tables and parts, transactions, ranges and a feed, with the limits of the pages.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{self, object, Value},
};

/// The most entries of a transaction, and the most bytes of its body.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
/// The most rows and bytes of a response.
const MAX_ROWS: usize = 500;
/// `row_bytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
/// `tx_ms` of the settings.
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    /// The values, in base64, with the version of the last change; a removed row has no value.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let tables: Arc<(Mutex<Tables>, Condvar)> = Arc::default();
        let started_at = Instant::now();
        let shared = tables.clone();
        http::serve(
            listener,
            Arc::new(move |request| handle(&shared, started_at, &request)),
        );
        Self { tables, address }
    }

    /// Writes a row for the operator or an endpoint.
    pub fn set(&self, table: &str, key: &str, value: &Value) {
        let mut tables = self.tables.0.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = encode_base64(value.render().as_bytes());
        write(&mut tables, key, Some(value));
        self.tables.1.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut tables = self.tables.0.lock().unwrap();
        write(
            &mut tables,
            (table.to_owned(), String::new(), key.to_owned()),
            None,
        );
        self.tables.1.notify_all();
    }
}

fn write(tables: &mut Tables, key: Key, value: Option<String>) {
    tables.version += 1;
    let version = tables.version;
    tables.rows.insert(key, (value, version));
}

fn respond(status: u16, body: Value) -> Option<Response> {
    let body = body.render().into_bytes();
    Some(Response { status, body })
}

fn handle(
    shared: &(Mutex<Tables>, Condvar),
    started_at: Instant,
    request: &Request,
) -> Option<Response> {
    let now_ms = || Value::from(started_at.elapsed().as_millis() as u64);
    match request.path.as_str() {
        "/api/rows-tx" => {
            thread::sleep(TRANSACTION_TIME);
            let mut tables = shared.0.lock().unwrap();
            let (status, rows) = transact(&mut tables, &request.body);
            shared.1.notify_all();
            let ver = Value::from(tables.version);
            respond(
                status,
                object(vec![
                    ("rows", rows.into()),
                    ("ver", ver),
                    ("now_ms", now_ms()),
                ]),
            )
        }
        "/api/rows-get" => {
            let tables = shared.0.lock().unwrap();
            let table = request.parameter("table")?;
            let part = request.parameter("part").unwrap_or_default();
            let from = request.parameter("from").unwrap_or_default();
            let target = request.parameter("target");
            let first: Key = (table.to_owned(), part.to_owned(), from.to_owned());
            let range = tables.rows.range(first..);
            let in_range = range.take_while(|((t, p, key), _)| {
                t == table && p == part && target.is_none_or(|end| key.as_str() < end)
            });
            let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
            for (key, (value, version)) in in_range.filter(|(_, (value, _))| value.is_some()) {
                bytes += value.as_ref().map_or(0, String::len);
                if rows.len() >= MAX_ROWS || bytes > MAX_CALL_BYTES && !rows.is_empty() {
                    more = true;
                    break;
                }
                rows.push(row(key, value, *version));
            }
            let ver = Value::from(tables.version);
            let body = vec![
                ("rows", rows.into()),
                ("has_more", more.into()),
                ("ver", ver),
            ];
            respond(200, object([body, vec![("now_ms", now_ms())]].concat()))
        }
        "/api/rows-feed" => {
            let table = request.parameter("table")?;
            let after: u64 = request.parameter("after")?.parse().ok()?;
            let wait: u64 = request.parameter("wait_ms")?.parse().ok()?;
            let end = Instant::now() + Duration::from_millis(wait);
            let mut tables = shared.0.lock().unwrap();
            loop {
                let changed = tables.rows.iter();
                let changed = changed.filter(|((t, ..), (_, ver))| t == table && *ver > after);
                let mut changed: Vec<_> = changed.collect();
                let left = end.saturating_duration_since(Instant::now());
                if changed.is_empty() && !left.is_zero() {
                    tables = shared.1.wait_timeout(tables, left).unwrap().0;
                    continue;
                }
                changed.sort_by_key(|(_, (_, version))| *version);
                let version = match changed.get(MAX_ROWS - 1) {
                    Some((_, (_, version))) if changed.len() > MAX_ROWS => *version,
                    _ => tables.version,
                };
                changed.truncate(MAX_ROWS);
                let rows = changed
                    .iter()
                    .map(|(key, (value, ver))| row(key, value, *ver));
                let rows: Vec<Value> = rows.collect();
                let ver = Value::from(version);
                let body = vec![("rows", rows.into()), ("ver", ver), ("now_ms", now_ms())];
                return respond(200, object(body));
            }
        }
        _ => respond(404, object(vec![])),
    }
}

fn row((table, part, key): &Key, value: &Option<String>, version: u64) -> Value {
    let content = match value {
        Some(value) => ("value", Value::from(value.as_str())),
        None => ("deleted", Value::from(true)),
    };
    object(vec![
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", key.as_str().into()),
        content,
        ("ver", version.into()),
    ])
}

/// Applies a transaction; returns the status and the rows of a failed condition.
fn transact(tables: &mut Tables, body: &[u8]) -> (u16, Vec<Value>) {
    let Some(call) = json::parse(body) else {
        return (400, Vec::new());
    };
    let key = |entry: &Value| -> Option<Key> {
        let text = |name: &str| Some(entry.get(name).as_str()?.to_owned());
        Some((text("table")?, text("part")?, text("key")?))
    };
    let expected = call.get("expected_rev").items();
    let set = call.get("set_keys").items();
    let remove = call.get("remove").items();
    let entries = expected.len() + set.len() + remove.len();
    if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES {
        return (400, Vec::new());
    }
    for entry in set {
        let size = entry
            .get("value")
            .as_str()
            .map_or(0, |value| value.len() / 4 * 3);
        if size > ROW_BYTES {
            return (400, Vec::new());
        }
    }
    let all = expected.iter().chain(set).chain(remove);
    if all.clone().any(|entry| key(entry).is_none()) {
        return (400, Vec::new());
    }
    let mut holds = true;
    let mut current = Vec::new();
    for entry in expected {
        let Some(key) = key(entry) else { continue };
        let stored = tables.rows.get(&key);
        let version = match stored {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        holds &= entry.get("ver").as_u64() == Some(version);
        if let Some((value, version)) = stored {
            current.push(row(&key, value, *version));
        }
    }
    if !holds {
        return (412, current);
    }
    for entry in set {
        let value = entry.get("value").as_str().map(str::to_owned);
        if let Some(key) = key(entry) {
            write(tables, key, value);
        }
    }
    for entry in remove {
        if let Some(key) = key(entry) {
            write(tables, key, None);
        }
    }
    (200, Vec::new())
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let get = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let group = get(0) << 16 | get(1) << 8 | get(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
