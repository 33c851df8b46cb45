//! What an instance reads from the store: the configuration, the endpoints, the other instances.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use tokio::time::{
    sleep,
    timeout, //
};

use super::hub::{
    now,
    Hub, //
};
use crate::{
    dispatch::{
        evacuation::{
            Change,
            Evacuation, //
        },
        message::{
            Contact,
            Input,
            Listing,
            Record, //
        },
        roster::Cache,
        Dispatcher, //
    },
    http::{
        self,
        Connection,
        Reply, //
    },
    platform::{
        record,
        store::{
            self,
            Content,
            Page,
            Row, //
        },
        Fault, //
    },
    prelude::*,
};

/// How long a feed of the configuration waits for a change: a connection that has gone silent is found after this
/// and [`PATIENCE`], while a change must be in force within two seconds.
const WAIT: Span = Span::millis(1_000);

/// How long an answer of the store may take beyond the wait: a hundred times its usual time.
const PATIENCE: Duration = Duration::from_millis(400);

/// Between calls that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// Between reads of the endpoints' changes: a leaving endpoint may get tasks for two seconds after it said so,
/// and each read that returns at once for a heartbeat would cost a call.
const ENDPOINTS: Duration = Duration::from_millis(500);

/// Between looks whether this instance is to read the endpoints, while others do.
const FOLLOWING: Duration = Duration::from_millis(50);

/// Between reads of the instances while no peer is heard.
const LONELY: Duration = Duration::from_millis(1_000);

/// Keys of malformed rows that are kept so that each is logged once: another program may write its row anew every second,
/// and many of them. Beyond this many the counter alone tells.
const MALFORMED: usize = 64;

/// A connection to the store, opened when it is needed.
struct Client {
    hub: Rc<Hub>,
    address: String,
    connection: Option<Connection>,
    failed: bool,
    /// Keys of malformed rows that were logged.
    malformed: RefCell<HashSet<String>>,
}

/// Why a call to the store brought nothing.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("no answer")]
    Silent,
    #[error("status {0}")]
    Status(u16),
    #[error("malformed answer: {0}")]
    Malformed(#[from] Fault),
}

impl Client {
    fn new(hub: &Rc<Hub>, address: &str) -> Self {
        Self {
            hub: hub.clone(),
            address: address.to_owned(),
            connection: None,
            failed: false,
            malformed: RefCell::default(),
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Span,
    ) -> Result<Bytes, Failure> {
        let patience = wait.duration() + PATIENCE;
        let reply = timeout(patience, self.exchange(method, path, body)).await;
        let result = match reply {
            Ok(Some(reply)) if reply.status.as_u16() == 200 => Ok(reply.body),
            Ok(Some(reply)) => Err(Failure::Status(reply.status.as_u16())),
            // What went silent is not used again.
            _ => {
                self.connection = None;
                Err(Failure::Silent)
            }
        };
        self.note(&result);
        result
    }

    async fn exchange(&mut self, method: Method, path: &str, body: Vec<u8>) -> Option<Reply> {
        let idle = self.connection.take();
        let request = http::build_json_request(method, &self.address, path, Bytes::from(body));
        let answer = http::exchange(idle, &self.address, request).await;
        let (reply, connection) = answer.ok()?;
        self.connection = Some(connection);
        Some(reply)
    }

    /// Writes one line when the store is lost, and one when it is back.
    fn note(&mut self, result: &Result<Bytes, Failure>) {
        self.hub.gauges.store(match result {
            Ok(_) => "done",
            Err(Failure::Silent) => "silent",
            Err(_) => "refused",
        });
        match (result, self.failed) {
            (Err(Failure::Status(410)), _) => {}
            (Err(failure), false) => {
                let record = Record::new("store_lost").with("reason", failure.to_string());
                self.hub.log(&record);
                self.failed = true;
            }
            (Ok(_), true) => {
                self.hub.log(&Record::new("store_back"));
                self.failed = false;
            }
            _ => {}
        }
    }

    async fn page(&mut self, path: &str, wait: Span) -> Result<Page, Failure> {
        let body = self.call(Method::GET, path, Vec::new(), wait).await?;
        let page = store::page(&body)?;
        self.hub.gauges.malformed(page.nameless);
        Ok(page)
    }

    /// Reads a whole table; the version is that of the first page, so that the feed repeats what changed since.
    async fn table(&mut self, table: &str) -> Result<(Vec<Row>, u64), Failure> {
        let first = self.page(&store::get(table, None), Span(0)).await?;
        let version = first.version;
        let (mut rows, mut more) = (first.rows, first.more);
        while more {
            let after = rows.last().map(|row| row.key.clone());
            let next = self
                .page(&store::get(table, after.as_deref()), Span(0))
                .await?;
            more = next.more && !next.rows.is_empty();
            rows.extend(next.rows);
        }
        Ok((rows, version))
    }

    /// Reads what changed in a table since a version, or the whole table where there is none.
    async fn follow(
        &mut self,
        table: &str,
        version: Option<u64>,
    ) -> Result<(Vec<Row>, u64), Failure> {
        let Some(after) = version else {
            return self.table(table).await;
        };
        let page = self.page(&store::feed(table, after, WAIT), WAIT).await?;
        Ok((page.rows, page.version))
    }

    /// Counts a row that can't be used, and logs it when it is new.
    fn malformed(&self, table: &str, key: &str, fault: &Fault) {
        self.hub.gauges.malformed(1);
        let mut known = self.malformed.borrow_mut();
        if known.len() >= MALFORMED || !known.insert(key.to_owned()) {
            return;
        }
        let record = Record::new("row_malformed")
            .with("table", table)
            .with("key", key);
        self.hub.log(&record.with("fault", fault.to_string()));
    }

    /// Takes note that a row can be used, or is gone.
    fn sound(&self, key: &str) {
        self.malformed.borrow_mut().remove(key);
    }

    /// Returns what a row holds that isn't dropped.
    fn value(&self, table: &str, key: &str, content: Content) -> Option<Vec<u8>> {
        match content {
            Content::Value(value) => Some(value),
            Content::Dropped => None,
            Content::Unreadable(fault) => {
                self.malformed(table, key, &fault);
                None
            }
        }
    }
}

/// Follows what the operator writes: the configuration, and the evacuations.
pub async fn operator(hub: Rc<Hub>, address: String) {
    let mut client = Client::new(&hub, &address);
    let mut version = None;
    loop {
        match client.follow(record::OPERATOR, version).await {
            Ok((rows, at)) => {
                take_evacuations(&hub, &rows, version.is_none().then_some(at));
                version = Some(at);
                for row in rows {
                    take_configuration(&client, row);
                }
            }
            Err(Failure::Status(status)) if store::lacks_history(status) => version = None,
            Err(_) => sleep(AGAIN).await,
        }
    }
}

/// Takes what rows of the operator's table say of evacuations; `whole` is the version of the store if they are all rows of it.
fn take_evacuations(hub: &Rc<Hub>, rows: &[Row], whole: Option<u64>) {
    let stands = |row: &&Row| row.content != Content::Dropped;
    if let Some(version) = whole {
        let rows = rows.iter().filter(stands);
        let centres = rows.filter_map(|row| record::evacuated(&row.key));
        let centres = centres.map(str::to_owned).collect();
        return hub.feed(Input::Evacuated(Evacuation { version, centres }));
    }
    for row in rows {
        if let Some(centre) = record::evacuated(&row.key) {
            hub.feed(Input::EvacuationChanged(Change {
                centre: centre.to_owned(),
                evacuated: stands(&row),
                version: row.version,
            }));
        }
    }
}

fn take_configuration(client: &Client, row: Row) {
    if row.key != record::CONFIGURATION {
        return;
    }
    let Some(value) = client.value(record::OPERATOR, &row.key, row.content) else {
        return;
    };
    match record::configuration(&value) {
        Ok(read) => {
            client.sound(&row.key);
            client.hub.feed(Input::Configured(Box::new(read)));
        }
        Err(fault) => client.malformed(record::OPERATOR, &row.key, &fault),
    }
}

/// Follows the endpoints.
pub async fn endpoints(hub: Rc<Hub>, address: String) {
    let mut client = Client::new(&hub, &address);
    let cache = RefCell::new(Cache::default());
    let mut version = None;
    loop {
        if !hub.look(Dispatcher::reads_roster) {
            // What others tell meanwhile isn't in what was read before.
            version = None;
            sleep(FOLLOWING).await;
            continue;
        }
        let read = client.follow(record::ENDPOINTS, version).await;
        hub.feed(Input::RosterRead(read.is_ok()));
        match read {
            Ok((rows, at)) => {
                cache.borrow_mut().on_store_answer(now());
                if version.is_none() {
                    hub.look(|dispatcher| {
                        cache.borrow_mut().merge_peer_roster(dispatcher.roster())
                    });
                }
                take_endpoints(&client, &cache, rows, version.is_none());
                version = Some(at);
            }
            Err(Failure::Status(status)) if store::lacks_history(status) => version = None,
            Err(_) => cache.borrow_mut().on_store_failure(),
        }
        let roster = cache.borrow_mut().take_changed(now());
        if let Some(roster) = roster.filter(|_| version.is_some()) {
            hub.feed(Input::RosterListed(roster));
        }
        sleep(ENDPOINTS).await;
    }
}

fn take_endpoints(client: &Client, cache: &RefCell<Cache>, rows: Vec<Row>, whole: bool) {
    let mut listings: Vec<(Listing, u64)> = Vec::new();
    let mut cache = cache.borrow_mut();
    for row in rows {
        match read_endpoint(&row.key, row.content) {
            Ok(Some(listing)) => {
                client.sound(&row.key);
                match whole {
                    true => listings.push((listing, row.version)),
                    false => cache.set(listing, row.version),
                }
            }
            Ok(None) => {
                client.sound(&row.key);
                if let Ok(id) = row.key.parse::<Endpoint>() {
                    cache.remove(&id, row.version, now());
                }
            }
            Err(fault) => {
                client.malformed(record::ENDPOINTS, &row.key, &fault);
                if let Ok(id) = row.key.parse::<Endpoint>() {
                    cache.remove_at_once(&id, row.version);
                }
            }
        }
    }
    if whole {
        cache.replace_all(listings, now());
    }
}

/// Reads the row of an endpoint; none where it was dropped.
fn read_endpoint(key: &str, content: Content) -> Result<Option<Listing>, Fault> {
    match content {
        Content::Value(value) => record::endpoint(key, &value).map(Some),
        Content::Dropped => Ok(None),
        Content::Unreadable(fault) => Err(fault),
    }
}

/// Makes this instance known, and finds the others.
pub async fn instances(hub: Rc<Hub>, address: String, own: Contact, seeds: Vec<Contact>) {
    let mut client = Client::new(&hub, &address);
    let (path, body) = store::set(
        record::INSTANCES,
        own.name.as_str(),
        &record::write_instance(&own),
    );
    while client
        .call(Method::POST, &path, body.clone(), Span(0))
        .await
        .is_err()
    {
        // Without the store only the seeds can lead to peers.
        hub.feed(Input::MembersFound(seeds.clone()));
        sleep(AGAIN).await;
    }
    let mut found = false;
    loop {
        if !found || hub.look(|dispatcher| dispatcher.is_alone()) {
            if let Ok((rows, _)) = client.table(record::INSTANCES).await {
                found = true;
                hub.feed(Input::MembersFound(contacts(&client, rows)));
            }
        }
        sleep(LONELY).await;
    }
}

fn contacts(client: &Client, rows: Vec<Row>) -> Vec<Contact> {
    let mut contacts = Vec::new();
    for row in rows {
        let Some(value) = client.value(record::INSTANCES, &row.key, row.content) else {
            continue;
        };
        match record::instance(&row.key, &value) {
            Ok(contact) => contacts.push(contact),
            Err(fault) => client.malformed(record::INSTANCES, &row.key, &fault),
        }
    }
    contacts
}
