//! The platform's store: rows under conditions, ranges and feeds.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response, Server},
    json::{self, base64, quote, Value},
};

/// Rows in one response, and bytes.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// The largest value, in bytes before base64.
const ROW_BYTES: usize = 65_536;

/// Entries and bytes of one transaction.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;

/// How long a transaction and a read take.
const CALL_TIME: Duration = Duration::from_millis(3);

type Key = (String, String, String);

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    Up,
    /// Every call is answered 503; nothing is done.
    Busy,
}

struct State {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// The version of each change with its key.
    changes: Vec<(u64, Key)>,
    mode: Mode,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    begun: Instant,
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            version: 1,
            rows: BTreeMap::new(),
            changes: Vec::new(),
            mode: Mode::Up,
        };
        Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            begun: Instant::now(),
        }
    }

    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        http::serve(address, move |request| store.handle(&request))
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.0.lock().unwrap().mode = mode;
        self.shared.1.notify_all();
    }

    /// Returns whether the store can be written to by workers and the operator.
    fn is_up(&self) -> bool {
        self.shared.0.lock().unwrap().mode == Mode::Up
    }

    /// Sets a row for the operator or a worker. Does nothing while the store is down.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        if !self.is_up() {
            return;
        }
        let mut state = self.shared.0.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.change(&[(key, Some(base64(value.as_bytes())))]);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.contains_key(&key) {
            state.change(&[(key, None)]);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(CALL_TIME);
        match self.shared.0.lock().unwrap().mode {
            Mode::Up => {}
            Mode::Busy => return Response::Answer(503, "{}".into()),
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => self.transact(&request.body),
            ("GET", "/api/rows-get") => self.range(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => Response::Answer(400, "{}".into()),
        }
    }

    fn transact(&self, body: &[u8]) -> Response {
        let invalid = || Response::Answer(400, "{}".into());
        let Some(body) = json::parse(body).filter(|_| body.len() <= MAX_CALL_BYTES) else {
            return invalid();
        };
        let key = |entry: &Value| (entry.text("table"), entry.text("part"), entry.text("key"));
        let guards = body.list("expected_rev");
        let (sets, removes) = (body.list("set_keys"), body.list("remove"));
        let is_too_large = |set: &Value| set.text("value").len() / 4 * 3 > ROW_BYTES + 2;
        if guards.len() + sets.len() + removes.len() > MAX_ENTRIES || sets.iter().any(is_too_large)
        {
            return invalid();
        }
        let mut state = self.shared.0.lock().unwrap();
        let written = sets.iter().chain(removes).map(key);
        let is_foreign = |key: Key| key.0 == "op" || key.0 == "servers";
        if written.into_iter().any(is_foreign) {
            return Response::Answer(403, "{}".into());
        }
        let version = |key: &Key| state.rows.get(key).map_or(0, |row| row.1);
        let fails = |guard: &&Value| version(&key(guard)) != guard.number("ver").unwrap_or(0);
        if guards.iter().any(|guard| fails(&guard)) {
            let rows = guards.iter().filter_map(|guard| state.row(&key(guard)));
            let rows: Vec<String> = rows.collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{}}}",
                rows.join(","),
                state.version
            );
            return Response::Answer(412, body);
        }
        let mut changes: Vec<(Key, Option<String>)> = Vec::new();
        changes.extend(sets.iter().map(|set| (key(set), Some(set.text("value")))));
        changes.extend(removes.iter().map(|entry| (key(entry), None)));
        state.change(&changes);
        let body = format!("{{\"ver\":{},\"now_ms\":{}}}", state.version, self.now_ms());
        drop(state);
        self.shared.1.notify_all();
        Response::Answer(200, body)
    }

    fn range(&self, request: &Request) -> Response {
        let state = self.shared.0.lock().unwrap();
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, target) = (
            field("table"),
            field("part"),
            field("from"),
            field("target"),
        );
        let limit: usize = field("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let first = (table.clone(), part.clone(), from);
        let in_range =
            |key: &Key| key.0 == table && key.1 == part && (target.is_empty() || key.2 < target);
        let keys: Vec<Key> = state
            .rows
            .range(first..)
            .map(|(key, _)| key.clone())
            .take_while(in_range)
            .collect();
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for key in &keys {
            let row = state.row(key).unwrap_or_default();
            bytes += row.len();
            if rows.len() >= limit || bytes > PAGE_BYTES && !rows.is_empty() {
                break;
            }
            rows.push(row);
        }
        Response::Answer(
            200,
            self.page(&rows, rows.len() < keys.len(), state.version),
        )
    }

    fn feed(&self, request: &Request) -> Response {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let table = field("table");
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait: u64 = field("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            match state.mode {
                Mode::Up => {}
                Mode::Busy => return Response::Answer(503, "{}".into()),
            }
            let mut rows: Vec<String> = Vec::new();
            let mut last = state.version;
            for (at, key) in state
                .changes
                .iter()
                .filter(|(at, key)| *at > after && key.0 == table)
            {
                if rows.len() >= PAGE_ROWS {
                    break;
                }
                last = *at;
                // Only the latest change of a row is told.
                let newer = state
                    .changes
                    .iter()
                    .any(|(other, k)| other > at && k == key);
                if !newer {
                    rows.push(state.row(key).unwrap_or_else(|| deleted(key, *at)));
                }
            }
            let version = if rows.len() >= PAGE_ROWS {
                last
            } else {
                state.version
            };
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return Response::Answer(200, self.page(&rows, false, version));
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn now_ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }
}

impl State {
    fn change(&mut self, changes: &[(Key, Option<String>)]) {
        self.version += 1;
        for (key, value) in changes {
            match value {
                Some(value) => {
                    self.rows.insert(key.clone(), (value.clone(), self.version));
                }
                None => {
                    self.rows.remove(key);
                }
            }
            // The feeds that this stand-in serves are of the operator's and the workers' tables.
            if key.0 == "op" || key.0 == "servers" {
                self.changes.push((self.version, key.clone()));
            }
        }
    }

    fn row(&self, key: &Key) -> Option<String> {
        let (value, version) = self.rows.get(key)?;
        Some(format!(
            "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"ver\":{version}}}",
            quote(&key.0),
            quote(&key.1),
            quote(&key.2)
        ))
    }
}

fn deleted(key: &Key, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},\"deleted\":true}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    )
}
