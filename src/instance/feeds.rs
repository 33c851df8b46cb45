//! Follows the store's tables: the operator's configuration and evacuations, the endpoints, and the other instances.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use tokio::time::sleep;

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
            LogRecord, //
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
    timeout::within, //
};

/// How long a long poll of the operator's table waits for a change. A silent connection is detected after this time
/// and [`RESPONSE_TIMEOUT`], and a change must be in force within two seconds.
const POLL_WAIT: Span = Span::millis(1_000);

/// How long a response of the store may take beyond the wait of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Interval between reads of the endpoint table. Without it, each row that an endpoint renews would end a long poll and
/// cause the next call at once. A draining endpoint may get tasks for up to two seconds, which leaves time for it.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an instance checks whether it has become one of those that read the endpoint table.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks whether the instance table must be read again.
const PEER_SEARCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of malformed rows that are remembered so that each is logged once. Another program may write many
/// of them, and each every second; rows beyond the limit are only counted.
const MAX_REPORTED_ROWS: usize = 64;

/// A client of the store, which connects when it is first called and after each failure.
struct Client {
    hub: Rc<Hub>,
    address: String,
    connection: Option<Connection>,
    unavailable: bool,
    /// Keys of malformed rows that have been logged.
    reported_rows: RefCell<HashSet<String>>,
}

/// Why a call to the store failed.
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
            unavailable: false,
            reported_rows: RefCell::default(),
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Span,
    ) -> Result<Bytes, Failure> {
        let time_limit = wait.duration() + RESPONSE_TIMEOUT;
        let reply = within(time_limit, self.exchange(method, path, body)).await;
        let result = match reply {
            Ok(Some(reply)) if reply.status.as_u16() == 200 => Ok(reply.body),
            Ok(Some(reply)) => Err(Failure::Status(reply.status.as_u16())),
            // A connection without an answer is not reused.
            _ => {
                self.connection = None;
                Err(Failure::Silent)
            }
        };
        self.report_outcome(&result);
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

    /// Counts a call, and logs when the store becomes unavailable and when it is back. A compacted history, status 410, is
    /// no outage.
    fn report_outcome(&mut self, result: &Result<Bytes, Failure>) {
        self.hub.metrics.count_store_call(match result {
            Ok(_) => "done",
            Err(Failure::Silent) => "silent",
            Err(_) => "refused",
        });
        match (result, self.unavailable) {
            (Err(Failure::Status(410)), _) => {}
            (Err(failure), false) => {
                let record = LogRecord::new("store_lost").with("reason", failure.to_string());
                self.hub.log(&record);
                self.unavailable = true;
            }
            (Ok(_), true) => {
                self.hub.log(&LogRecord::new("store_back"));
                self.unavailable = false;
            }
            _ => {}
        }
    }

    async fn fetch_page(&mut self, path: &str, wait: Span) -> Result<Page, Failure> {
        let body = self.call(Method::GET, path, Vec::new(), wait).await?;
        let page = store::parse_page(&body)?;
        self.hub.metrics.count_malformed_rows(page.missing_keys);
        Ok(page)
    }

    /// Reads a whole table. The version is that of the first page, so that later changes are read again from there.
    async fn fetch_table(&mut self, table: &str) -> Result<(Vec<Row>, u64), Failure> {
        let first = self
            .fetch_page(&store::build_table_path(table, None), Span(0))
            .await?;
        let version = first.version;
        let (mut rows, mut more) = (first.rows, first.more);
        while more {
            let after = rows.last().map(|row| row.key.clone());
            let next = self
                .fetch_page(&store::build_table_path(table, after.as_deref()), Span(0))
                .await?;
            more = next.more && !next.rows.is_empty();
            rows.extend(next.rows);
        }
        Ok((rows, version))
    }

    /// Reads the changes of a table since a version, or the whole table if there is no version.
    ///
    /// Returns whether more changes follow, which a page of limited size had no room for.
    async fn fetch_changes(
        &mut self,
        table: &str,
        version: Option<u64>,
    ) -> Result<(Vec<Row>, u64, bool), Failure> {
        let Some(after) = version else {
            let (rows, version) = self.fetch_table(table).await?;
            return Ok((rows, version, false));
        };
        let page = self
            .fetch_page(&store::build_feed_path(table, after, POLL_WAIT), POLL_WAIT)
            .await?;
        let more = page.is_full();
        Ok((page.rows, page.version, more))
    }

    /// Counts a malformed row, and logs it the first time.
    fn report_malformed(&self, table: &str, key: &str, fault: &Fault) {
        self.hub.metrics.count_malformed_rows(1);
        let mut reported = self.reported_rows.borrow_mut();
        if reported.len() >= MAX_REPORTED_ROWS || !reported.insert(key.to_owned()) {
            return;
        }
        let record = LogRecord::new("row_malformed")
            .with("table", table)
            .with("key", key);
        self.hub.log(&record.with("fault", fault.to_string()));
    }

    /// Removes a key from the reported rows, so that the row is logged if it becomes malformed again.
    fn clear_malformed(&self, key: &str) {
        self.reported_rows.borrow_mut().remove(key);
    }

    /// Returns the value of a row, or `None` if the row is deleted or can't be read. Reports the latter.
    fn read_value(&self, table: &str, key: &str, content: Content) -> Option<Vec<u8>> {
        match content {
            Content::Value(value) => Some(value),
            Content::Deleted => None,
            Content::Unreadable(fault) => {
                self.report_malformed(table, key, &fault);
                None
            }
        }
    }
}

/// Passes the configuration and the evacuations in the operator's table to the dispatcher, and their changes as long as
/// the process runs.
pub async fn follow_operator_table(hub: Rc<Hub>, address: String) {
    let mut client = Client::new(&hub, &address);
    let mut version = None;
    loop {
        match client.fetch_changes(record::OPERATOR_TABLE, version).await {
            Ok((rows, read_version, _)) => {
                apply_evacuations(&hub, &rows, version.is_none().then_some(read_version));
                version = Some(read_version);
                for row in rows {
                    apply_configuration(&client, row);
                }
            }
            Err(Failure::Status(status)) if store::is_compacted(status) => version = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Passes the evacuations in rows of the operator's table to the dispatcher. `whole` is the store's version if `rows`
/// is the whole table, and `None` if it holds changes.
fn apply_evacuations(hub: &Rc<Hub>, rows: &[Row], whole: Option<u64>) {
    let exists = |row: &&Row| row.content != Content::Deleted;
    if let Some(version) = whole {
        let rows = rows.iter().filter(exists);
        let centres = rows.filter_map(|row| record::parse_evacuation_key(&row.key));
        let centres = centres.map(str::to_owned).collect();
        return hub.handle(Input::Evacuated(Evacuation { version, centres }));
    }
    for row in rows {
        if let Some(centre) = record::parse_evacuation_key(&row.key) {
            hub.handle(Input::EvacuationChanged(Change {
                centre: centre.to_owned(),
                evacuated: exists(&row),
                version: row.version,
            }));
        }
    }
}

fn apply_configuration(client: &Client, row: Row) {
    if row.key != record::CONFIGURATION_KEY {
        return;
    }
    let Some(value) = client.read_value(record::OPERATOR_TABLE, &row.key, row.content) else {
        return;
    };
    match record::parse_configuration(&value) {
        Ok(read) => {
            client.clear_malformed(&row.key);
            client.hub.handle(Input::Configured(Box::new(read)));
        }
        Err(fault) => client.report_malformed(record::OPERATOR_TABLE, &row.key, &fault),
    }
}

/// Passes the endpoint table and its changes to the dispatcher, while the dispatcher wants this instance to read it.
pub async fn follow_endpoints(hub: Rc<Hub>, address: String) {
    let mut client = Client::new(&hub, &address);
    let cache = RefCell::new(Cache::default());
    let mut version = None;
    loop {
        if !hub.with_dispatcher(Dispatcher::reads_roster) {
            // The next read must be a whole one: other instances read the changes in the meantime.
            version = None;
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let read = client.fetch_changes(record::ENDPOINT_TABLE, version).await;
        hub.handle(Input::RosterRead(read.is_ok()));
        let mut more_follow = false;
        match read {
            Ok((rows, read_version, more)) => {
                more_follow = more;
                cache.borrow_mut().on_store_answer(now());
                if version.is_none() {
                    hub.with_dispatcher(|dispatcher| {
                        cache.borrow_mut().merge_peer_roster(dispatcher.roster())
                    });
                }
                let whole = version.is_none().then_some(read_version);
                apply_endpoints(&client, &cache, rows, whole);
                version = Some(read_version);
            }
            Err(Failure::Status(status)) if store::is_compacted(status) => version = None,
            Err(_) => cache.borrow_mut().on_store_failure(),
        }
        if version.is_some() {
            let changed = cache.borrow_mut().take_changed(now());
            if let Some((roster, changes)) = changed {
                hub.handle(Input::RosterListed(roster, changes));
            }
        }
        // A list that has more changes between two reads than one holds would fall further and further behind, and leaving endpoints
        // would get tasks.
        if !more_follow {
            sleep(ENDPOINT_POLL_INTERVAL).await;
        }
    }
}

/// Applies rows of the endpoint table to the cache. `whole` is the version from which on they were read if they are all rows of
/// the table, and `None` if they are changes.
fn apply_endpoints(client: &Client, cache: &RefCell<Cache>, rows: Vec<Row>, whole: Option<u64>) {
    let mut listings: Vec<Listing> = Vec::new();
    let mut cache = cache.borrow_mut();
    for row in rows {
        match read_endpoint(&row.key, row.content) {
            Ok(Some(listing)) => {
                client.clear_malformed(&row.key);
                match whole {
                    Some(_) => listings.push(listing),
                    None => cache.set(listing, row.version),
                }
            }
            Ok(None) => {
                client.clear_malformed(&row.key);
                if let Ok(id) = row.key.parse::<Endpoint>() {
                    cache.remove(&id, row.version, now());
                }
            }
            Err(fault) => {
                client.report_malformed(record::ENDPOINT_TABLE, &row.key, &fault);
                if let Ok(id) = row.key.parse::<Endpoint>() {
                    cache.remove_at_once(&id, row.version);
                }
            }
        }
    }
    if let Some(version) = whole {
        cache.replace_all(listings, version, now());
    }
}

/// Reads an endpoint's row; returns `None` if the row is deleted.
fn read_endpoint(key: &str, content: Content) -> Result<Option<Listing>, Fault> {
    match content {
        Content::Value(value) => record::parse_endpoint(key, &value).map(Some),
        Content::Deleted => Ok(None),
        Content::Unreadable(fault) => Err(fault),
    }
}

/// Registers this instance in the store, then reads the table of instances until a read succeeds, and later whenever
/// members may be missing.
pub async fn register_and_find_peers(
    hub: Rc<Hub>,
    address: String,
    own: Contact,
    seeds: Vec<Contact>,
) {
    let mut client = Client::new(&hub, &address);
    let (path, body) = store::build_set(
        record::INSTANCE_TABLE,
        own.name.as_str(),
        &record::encode_instance(&own),
    );
    while client
        .call(Method::POST, &path, body.clone(), Span(0))
        .await
        .is_err()
    {
        // Without the store, only the seeds lead to peers.
        hub.handle(Input::SeedsFound(seeds.clone()));
        sleep(RETRY_DELAY).await;
    }
    let mut has_read = false;
    loop {
        if !has_read || hub.with_dispatcher(|dispatcher| dispatcher.needs_members()) {
            if let Ok((rows, _)) = client.fetch_table(record::INSTANCE_TABLE).await {
                has_read = true;
                hub.handle(Input::MembersFound(read_contacts(&client, rows)));
            }
        }
        sleep(PEER_SEARCH_INTERVAL).await;
    }
}

fn read_contacts(client: &Client, rows: Vec<Row>) -> Vec<Contact> {
    let mut contacts = Vec::new();
    for row in rows {
        let Some(value) = client.read_value(record::INSTANCE_TABLE, &row.key, row.content) else {
            continue;
        };
        match record::parse_instance(&row.key, &value) {
            Ok(contact) => contacts.push(contact),
            Err(fault) => client.report_malformed(record::INSTANCE_TABLE, &row.key, &fault),
        }
    }
    contacts
}
