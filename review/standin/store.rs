//! The platform's store: rows in tables, transactions under conditions, and feeds of changes.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{base64, base64_len, quote, Json},
    record::Record,
};

/// The limits of the store, as the settings of a small deployment have them.
pub const WRITES_PER_S: u32 = 600;
pub const READS_PER_S: u32 = 2_000;
pub const ROW_BYTES: usize = 65_536;
const PART_WRITES_PER_S: u64 = 300;
const TX: Duration = Duration::from_millis(3);
const ANSWER: Duration = Duration::from_millis(1);
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Rows by table, part and key: the value in base64 and the version.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes by version: the row's key, and its value unless it was removed.
    history: Vec<(u64, Key, Option<String>)>,
    /// Until when each part is busy with transactions.
    busy: HashMap<String, Instant>,
    /// Calls in the current second.
    second: u64,
    writes: u32,
    reads: u32,
    down: bool,
    refused: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a free port of an address.
    pub fn start(ip: &str, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
        });
        let served = store.clone();
        http::serve(listener, move |request| served.handle(&request));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Lets the store be down or up. While it's down it answers every call of the instances with 503, and has done nothing.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_all();
        self.record.say(match down {
            true => "the store is down",
            false => "the store is up",
        });
    }

    /// Writes a row for the operator or for a worker. Returns whether the store is up.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        if state.down {
            return false;
        }
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.set(key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
        true
    }

    /// Returns the number of calls that were refused as too large.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER);
        let is_write = request.method == "POST";
        {
            let mut state = self.lock();
            if state.down {
                return Ok((503, "{}".to_owned()));
            }
            let second = self.record.now() / 1_000;
            if state.second != second {
                (state.second, state.writes, state.reads) = (second, 0, 0);
            }
            let (count, most) = match is_write {
                true => (&mut state.writes, WRITES_PER_S),
                false => (&mut state.reads, READS_PER_S),
            };
            *count += 1;
            if *count > most {
                return Ok((429, "{}".to_owned()));
            }
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => self.transact(&request.body),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => Ok((404, "{}".to_owned())),
        }
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(call) = Json::parse(body) else {
            return Ok((400, "{}".to_owned()));
        };
        let key = |row: &Json| -> Key {
            let field = |name| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let expected = call.get("expected_rev").list();
        let (sets, removals) = (call.get("set_keys").list(), call.get("remove").list());
        let entries = expected.len() + sets.len() + removals.len();
        let value = |row: &Json| row.get("value").text().to_owned();
        let longest = sets
            .iter()
            .map(|row| base64_len(&value(row)))
            .max()
            .unwrap_or(0);
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || longest > ROW_BYTES {
            self.lock().refused += 1;
            self.record.add(format!(
                "store refuses a transaction with 400: {entries} entries, {} bytes, longest value {longest} bytes",
                body.len()
            ));
            return Ok((400, "{\"error\":\"too large\"}".to_owned()));
        }
        let own = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if sets.iter().chain(removals).any(own) {
            return Ok((403, "{}".to_owned()));
        }
        let part = expected.iter().chain(sets).chain(removals).next();
        let part = part.map_or(String::new(), |row| row.get("part").text().to_owned());
        let now = Instant::now();
        let done_at = {
            let mut state = self.lock();
            let busy = state.busy.entry(part).or_insert(now);
            if *busy > now + Duration::from_secs(1) {
                return Ok((429, "{}".to_owned()));
            }
            let begin = (*busy).max(now);
            *busy = begin + Duration::from_micros(1_000_000 / PART_WRITES_PER_S);
            begin + TX
        };
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
        let mut state = self.lock();
        if state.down {
            return Ok((503, "{}".to_owned()));
        }
        let version = |row: &Json| state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if expected
            .iter()
            .any(|row| version(row) != row.get("ver").number())
        {
            let rows = expected.iter().filter_map(|row| {
                let key = key(row);
                let (value, version) = state.rows.get(&key)?;
                Some(format_row(&key, Some(value), *version))
            });
            let rows: Vec<String> = rows.collect();
            let body = format!(
                "{{\"ver\":{},\"rows\":[{}]}}",
                state.version,
                rows.join(",")
            );
            return Ok((412, body));
        }
        state.version += 1;
        let at = state.version;
        for row in sets {
            state.set_at(key(row), Some(value(row)), at);
        }
        for row in removals {
            state.set_at(key(row), None, at);
        }
        self.changed.notify_all();
        let now = self.record.now();
        Ok((200, format!("{{\"ver\":{at},\"now_ms\":{now}}}")))
    }

    fn read(&self, request: &Request) -> Reply {
        let state = self.lock();
        let (table, part) = (request.argument("table"), request.argument("part"));
        let (from, target) = (request.argument("from"), request.argument("target"));
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, version)) in state.rows.range(first..) {
            let is_past = !target.is_empty() && key.2.as_str() >= target;
            if key.0 != table || key.1 != part || is_past {
                break;
            }
            bytes += value.len();
            if rows.len() == PAGE_ROWS || bytes > PAGE_BYTES && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(format_row(key, Some(value), *version));
        }
        Ok((200, self.format_page(&state, &rows, more)))
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name| request.argument(name).parse::<u64>().unwrap_or(0);
        let (table, after) = (request.argument("table"), number("after"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.lock();
        loop {
            if state.down {
                return Ok((503, "{}".to_owned()));
            }
            let changes = state
                .history
                .iter()
                .rev()
                .take_while(|(version, ..)| *version > after);
            let mut changes: Vec<_> = changes.filter(|(_, key, _)| key.0 == table).collect();
            changes.reverse();
            let remaining = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                let rows = changes
                    .iter()
                    .map(|(version, key, value)| format_row(key, value.as_ref(), *version));
                let rows: Vec<String> = rows.collect();
                return Ok((200, self.format_page(&state, &rows, false)));
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    fn format_page(&self, state: &State, rows: &[String], more: bool) -> String {
        let (version, now) = (state.version, self.record.now());
        let rows = rows.join(",");
        format!("{{\"ver\":{version},\"now_ms\":{now},\"has_more\":{more},\"rows\":[{rows}]}}")
    }
}

impl State {
    fn set(&mut self, key: Key, value: Option<String>) {
        self.version += 1;
        self.set_at(key, value, self.version);
    }

    fn set_at(&mut self, key: Key, value: Option<String>, version: u64) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.history.push((version, key, value));
    }
}

fn format_row((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{content}}}")
}
