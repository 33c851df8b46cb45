//! A stand-in for the platform's store: rows in tables, ranges, and a feed of changes.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use base64::{
    prelude::BASE64_STANDARD,
    Engine as _, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::Notify,
    time::{
        timeout,
        Instant, //
    },
};

use crate::support::server::{
    json_response as answer,
    Request,
    Response,
    Server, //
};

/// How the store treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    /// It serves them.
    #[default]
    Well,
    /// It refuses all of them.
    Busy,
    /// It leaves them without an answer.
    Silent,
}

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    /// By table, part and key; a row without a value is dropped. Values are texts in base64, but for those that another
    /// program wrote.
    rows: BTreeMap<Key, (Option<Value>, u64)>,
    /// Versions up to this one are forgotten.
    history: u64,
    mood: Mood,
}

/// The store.
#[derive(Clone)]
pub(crate) struct Store {
    tables: Arc<Mutex<Tables>>,
    changed: Arc<Notify>,
    server: Arc<Server>,
}

impl Store {
    pub(crate) fn start() -> std::io::Result<Self> {
        let tables: Arc<Mutex<Tables>> = Arc::default();
        let changed = Arc::new(Notify::new());
        let (t, c) = (tables.clone(), changed.clone());
        let server = Server::start(1_024, move |request| {
            let (tables, changed) = (t.clone(), c.clone());
            async move { serve(&tables, &changed, request).await }
        })?;
        Ok(Self {
            tables,
            changed,
            server: Arc::new(server),
        })
    }

    pub(crate) fn address(&self) -> String {
        self.server.address().to_string()
    }

    pub(crate) fn set(&self, table: &str, key: &str, value: &Value) {
        let value = BASE64_STANDARD.encode(value.to_string());
        self.set_raw(table, key, value.into());
    }

    /// Sets a row to a value as it stands, be it base64 or not.
    pub(crate) fn set_raw(&self, table: &str, key: &str, value: Value) {
        let key = whole(table, key);
        write(&mut self.tables.lock().unwrap(), key, Some(value));
        self.changed.notify_waiters();
    }

    pub(crate) fn remove(&self, table: &str, key: &str) {
        write(&mut self.tables.lock().unwrap(), whole(table, key), None);
        self.changed.notify_waiters();
    }

    pub(crate) fn keys(&self, table: &str) -> Vec<String> {
        let tables = self.tables.lock().unwrap();
        let rows = tables.rows.iter();
        let rows = rows.filter(|((t, ..), (value, _))| t == table && value.is_some());
        rows.map(|((_, _, key), _)| key.clone()).collect()
    }

    pub(crate) fn mood(&self, mood: Mood) {
        self.tables.lock().unwrap().mood = mood;
        self.changed.notify_waiters();
    }

    /// Forgets its history: feeds must read the tables anew.
    pub(crate) fn compact(&self) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        tables.history = tables.version;
        drop(tables);
        self.changed.notify_waiters();
    }
}

fn whole(table: &str, key: &str) -> Key {
    (table.to_owned(), String::new(), key.to_owned())
}

fn write(tables: &mut Tables, key: Key, value: Option<Value>) {
    tables.version += 1;
    let version = tables.version;
    tables.rows.insert(key, (value, version));
}

/// Changes rows if those under a condition have the versions that it names.
fn change(tables: &mut Tables, body: &Value) -> Response {
    let key = |row: &Value| -> Option<Key> {
        let text = |name: &str| Some(row[name].as_str()?.to_owned());
        Some((text("table")?, text("part")?, text("key")?))
    };
    for row in body["expected_rev"].as_array()? {
        let known = tables.rows.get(&key(row)?);
        let version = known.map_or(0, |(value, version)| value.as_ref().map_or(0, |_| *version));
        if row["ver"].as_u64()? != version {
            return answer(
                412,
                &json!({"rows": [], "ver": tables.version, "now_ms": 1}),
            );
        }
    }
    for row in body["set_keys"].as_array()? {
        write(tables, key(row)?, Some(row["value"].clone()));
    }
    for row in body["remove"].as_array()? {
        write(tables, key(row)?, None);
    }
    answer(200, &json!({"ver": tables.version, "now_ms": 1}))
}

async fn serve(tables: &Mutex<Tables>, changed: &Notify, request: Request) -> Response {
    let mood = tables.lock().unwrap().mood;
    match mood {
        Mood::Well => {}
        Mood::Busy => return answer(503, &json!({"error": "busy"})),
        Mood::Silent => {
            tokio::time::sleep(Duration::from_secs(30)).await;
            return None;
        }
    }
    match request.path.as_str() {
        "/api/rows-tx" => {
            let body: Value = serde_json::from_slice(&request.body).ok()?;
            let answer = change(&mut tables.lock().unwrap(), &body);
            changed.notify_waiters();
            answer
        }
        "/api/rows-get" => {
            let table = request.parameter("table")?;
            let tables = tables.lock().unwrap();
            let part = request.parameter("part").unwrap_or_default();
            let from = request.parameter("from").unwrap_or_default();
            let target = request.parameter("target");
            let mut rows = rows(&tables, &table, 0, false);
            rows.retain(|row| {
                let key = row["key"].as_str().unwrap_or_default();
                let before = target.as_ref().is_none_or(|target| key < target.as_str());
                row["part"] == part && key >= from.as_str() && before
            });
            let body = json!({"rows": rows, "has_more": false, "ver": tables.version, "now_ms": 1});
            answer(200, &body)
        }
        "/api/rows-feed" => feed(tables, changed, &request).await,
        _ => answer(404, &json!({})),
    }
}

async fn feed(tables: &Mutex<Tables>, changed: &Notify, request: &Request) -> Response {
    let table = request.parameter("table")?;
    let after: u64 = request.parameter("after")?.parse().ok()?;
    let wait: u64 = request.parameter("wait_ms")?.parse().ok()?;
    let end = Instant::now() + Duration::from_millis(wait);
    loop {
        let notified = changed.notified();
        {
            let tables = tables.lock().unwrap();
            if after < tables.history {
                return answer(410, &json!({}));
            }
            let rows = rows(&tables, &table, after, true);
            if !rows.is_empty() || Instant::now() >= end {
                let body = json!({"rows": rows, "ver": tables.version, "now_ms": 1});
                return answer(200, &body);
            }
        }
        let rest = end.saturating_duration_since(Instant::now());
        let _ = timeout(rest, notified).await;
    }
}

fn rows(tables: &Tables, table: &str, after: u64, dropped: bool) -> Vec<Value> {
    let rows = tables.rows.iter();
    let rows = rows.filter(|((t, ..), (value, version))| {
        t == table && *version > after && (dropped || value.is_some())
    });
    rows.map(|((_, part, key), (value, version))| match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": version})
        }
        None => json!({"table": table, "part": part, "key": key, "ver": version, "deleted": true}),
    })
    .collect()
}
