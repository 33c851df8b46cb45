//! The platform's store: rows in tables, transactions under conditions, and feeds of changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{quote, Json},
};

/// `row_bytes` of the settings: the largest value of a row.
pub const ROW_BYTES: usize = 65_536;
/// The largest call.
pub const CALL_BYTES: usize = 1_000_000;
/// The most entries of a call.
pub const CALL_ENTRIES: usize = 100;
/// The most rows of a response.
const PAGE_ROWS: usize = 500;
/// The time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// What the store does with the calls that arrive at one of its addresses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    Serving,
    /// 503 for each call: nothing is done.
    Busy,
    /// No response: nothing is done.
    Silent,
    /// Three of ten writes are done and not answered, half of these 1 to 6 s later.
    Lossy,
}

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Name, (u64, String)>,
    /// The changes in their order; without a value the row was removed.
    changes: Vec<(u64, Name, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    modes: Mutex<BTreeMap<usize, Mode>>,
    dice: Mutex<u64>,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            modes: Mutex::default(),
            dice: Mutex::new(7),
            started: Instant::now(),
        })
    }

    /// Opens an address for one instance.
    pub fn open(self: &Arc<Self>, instance: usize) -> SocketAddr {
        let store = self.clone();
        http::serve("127.0.0.1", move |request| store.handle(instance, request)).address
    }

    pub fn set_mode(&self, instance: usize, mode: Mode) {
        self.modes.lock().unwrap().insert(instance, mode);
    }

    /// Writes a row of the operator or of a worker.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.put(name, Some(encode(value.as_bytes())));
        self.changed.notify_all();
    }

    fn dice(&self) -> u64 {
        let mut state = self.dice.lock().unwrap();
        *state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        *state >> 33
    }

    fn mode(&self, instance: usize) -> Mode {
        let modes = self.modes.lock().unwrap();
        modes.get(&instance).copied().unwrap_or(Mode::Serving)
    }

    fn handle(&self, instance: usize, request: Request) -> Answer {
        sleep(CALL_TIME);
        match self.mode(instance) {
            Mode::Serving => {}
            Mode::Lossy if request.path.starts_with("/api/rows-tx") => {
                let dice = self.dice();
                if dice % 10 < 3 {
                    if dice / 10 % 2 == 0 {
                        sleep(Duration::from_millis(1_000 + dice / 100 % 5_000));
                    }
                    self.change(&request.body);
                    sleep(Duration::from_secs(8));
                    return None;
                }
            }
            Mode::Lossy => {}
            Mode::Busy => return Some((503, "{}".to_owned())),
            Mode::Silent => {
                // The channel delivers nothing further.
                sleep(Duration::from_secs(30));
                return None;
            }
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found
                .next()
                .map_or_else(String::new, |(_, value)| unescape(value))
        };
        match path {
            "/api/rows-tx" => Some(self.change(&request.body)),
            "/api/rows-get" => {
                let until = field("target");
                Some(self.read(&field("table"), &field("part"), &field("from"), &until))
            }
            "/api/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.feed(
                    instance,
                    &field("table"),
                    after,
                    Duration::from_millis(wait),
                )
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn change(&self, body: &[u8]) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let text = String::from_utf8_lossy(body);
        let Some(call) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let name = |row: &Json| -> Name {
            let word = |key: &str| row.get(key).text().to_owned();
            (word("table"), word("part"), word("key"))
        };
        let (guards, set) = (call.get("expected_rev").list(), call.get("set_keys").list());
        let remove = call.get("remove").list();
        let written = set.iter().chain(remove).map(name);
        if written
            .clone()
            .any(|(table, ..)| table == "op" || table == "servers")
        {
            return (403, "{}".to_owned());
        }
        let entries = guards.len() + set.len() + remove.len();
        let longest = set
            .iter()
            .map(|row| row.get("value").text().len() / 4 * 3)
            .max()
            .unwrap_or(0);
        if body.len() > CALL_BYTES || entries > CALL_ENTRIES || longest > ROW_BYTES {
            return (400, "{\"error\":\"too large\"}".to_owned());
        }
        let version = |row: &Name| rows.rows.get(row).map_or(0, |(version, _)| *version);
        if guards
            .iter()
            .any(|row| version(&name(row)) != row.get("ver").u64())
        {
            let current: Vec<String> = guards.iter().map(|row| rows.show(&name(row))).collect();
            return (
                412,
                format!(
                    "{{\"rows\":[{}],\"ver\":{}}}",
                    current.join(","),
                    rows.version
                ),
            );
        }
        rows.version += 1;
        for row in set {
            rows.put(name(row), Some(row.get("value").text().to_owned()));
        }
        for row in remove {
            rows.put(name(row), None);
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"ver\":{},\"now_ms\":{}}}", rows.version, self.now_ms()),
        )
    }

    fn read(&self, table: &str, part: &str, from: &str, until: &str) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let found = rows.rows.range(first..);
        let found = found.take_while(|((t, p, key), _)| {
            t == table && p == part && (until.is_empty() || key.as_str() < until)
        });
        let (mut shown, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, (_, value)) in found {
            bytes += value.len() + 200;
            if shown.len() == PAGE_ROWS || bytes > CALL_BYTES {
                more = true;
                break;
            }
            shown.push(rows.show(name));
        }
        (200, self.page(&shown, more, rows.version))
    }

    fn feed(&self, instance: usize, table: &str, after: u64, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows
                .changes
                .partition_point(|(version, ..)| *version <= after);
            let newer = rows.changes[from..]
                .iter()
                .filter(|(_, name, _)| name.0 == table);
            let shown: Vec<String> = newer
                .take(PAGE_ROWS)
                .map(|(v, n, value)| show(*v, n, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !shown.is_empty() || left.is_zero() {
                return Some((200, self.page(&shown, false, rows.version)));
            }
            rows = self
                .changed
                .wait_timeout(rows, left.min(Duration::from_millis(50)))
                .unwrap()
                .0;
            if matches!(self.mode(instance), Mode::Busy | Mode::Silent) {
                drop(rows);
                sleep(Duration::from_secs(30));
                return None;
            }
        }
    }

    fn page(&self, rows: &[String], more: bool, version: u64) -> String {
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{more},\"ver\":{version},\"now_ms\":{}}}",
            self.now_ms()
        )
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

impl Rows {
    fn put(&mut self, name: Name, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(name.clone(), (version, value.clone())),
            None => self.rows.remove(&name),
        };
        self.changes.push((version, name, value));
    }

    fn show(&self, name: &Name) -> String {
        match self.rows.get(name) {
            Some((version, value)) => show(*version, name, Some(value)),
            None => show(0, name, None),
        }
    }
}

fn show(version: u64, (table, part, key): &Name, value: Option<&str>) -> String {
    let place = format!(
        "\"table\":{},\"part\":{},\"key\":{}",
        quote(table),
        quote(part),
        quote(key)
    );
    match value {
        Some(value) => format!("{{{place},\"ver\":{version},\"value\":{}}}", quote(value)),
        None => format!("{{{place},\"ver\":{version},\"deleted\":true}}"),
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes bytes in base64.
pub fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
