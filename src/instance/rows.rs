//! Calls to the store for stored jobs.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use tokio::{
    task::spawn_local,
    time::timeout, //
};

use super::hub::Hub;
use crate::{
    dispatch::message::{
        Input,
        Record,
        StoreCallId,
        StoreReply,
        StoreRequest, //
    },
    http::{
        self,
        Pool, //
    },
    platform::{
        record,
        store::{
            self,
            Content, //
        }, //
    },
};

/// How long a call may take: a coordinator whose lock can't be confirmed gives its shards up after a second, which
/// leaves time for a second try.
const PATIENCE: Duration = Duration::from_millis(400);

/// How long an idle connection to the store is used.
const TRUST: Duration = Duration::from_secs(10);

/// Connections to the store for rows of stored jobs.
pub struct Rows {
    address: String,
    pool: RefCell<Pool>,
}

impl Rows {
    /// Takes the store's address.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            pool: RefCell::new(Pool::new(TRUST)),
        }
    }

    /// Begins a call; its answer goes to the dispatcher.
    pub fn begin(&self, hub: &Rc<Hub>, call: StoreCallId, request: StoreRequest) {
        let hub = hub.clone();
        spawn_local(async move {
            let attempt = hub.rows.exchange(&request);
            let reply = timeout(PATIENCE, attempt).await;
            let reply = match reply {
                Ok(Some(reply)) => read(&hub, &request, &reply),
                _ => StoreReply::Silent,
            };
            hub.gauges.store(match reply {
                StoreReply::Rows(..) | StoreReply::Written(_) => "done",
                StoreReply::Conflict => "conflict",
                StoreReply::Refused => "refused",
                StoreReply::Silent => "silent",
            });
            hub.feed(Input::StoreReplied { call, reply });
        });
    }

    async fn exchange(&self, request: &StoreRequest) -> Option<http::Reply> {
        let (method, path, body) = match request {
            StoreRequest::Read { shard, after } => {
                let part = shard.to_string();
                let path = store::range(record::JOBS, &part, after.as_deref());
                (Method::GET, path, Vec::new())
            }
            StoreRequest::Find { shard, key } => {
                let path = store::find(record::JOBS, &shard.to_string(), key);
                (Method::GET, path, Vec::new())
            }
            StoreRequest::Write {
                shard,
                guard,
                set,
                remove,
            } => {
                let part = shard.to_string();
                let (path, body) = store::change(record::JOBS, &part, guard, set, remove);
                (Method::POST, path, body)
            }
        };
        let idle = self.pool.borrow_mut().take(&self.address);
        let request = http::build_json_request(method, &self.address, &path, Bytes::from(body));
        let answer = http::exchange(idle, &self.address, request).await;
        let (reply, connection) = answer.ok()?;
        self.pool.borrow_mut().put(&self.address, connection);
        Some(reply)
    }
}

fn read(hub: &Hub, request: &StoreRequest, reply: &http::Reply) -> StoreReply {
    let status = reply.status.as_u16();
    match store::outcome(status) {
        store::Outcome::Done => {}
        store::Outcome::Conflict => return StoreReply::Conflict,
        store::Outcome::Refused => return StoreReply::Refused,
        store::Outcome::Wrong => {
            hub.log(&Record::new("store_rejected").with("status", u64::from(status)));
            return StoreReply::Refused;
        }
    }
    let malformed = |fault: crate::platform::Fault| {
        hub.log(&Record::new("store_malformed").with("fault", fault.to_string()));
        StoreReply::Silent
    };
    if let StoreRequest::Write { .. } = request {
        return store::version(&reply.body).map_or_else(malformed, StoreReply::Written);
    }
    match store::page(&reply.body) {
        Ok(page) => {
            let row = |row: store::Row| {
                let value = match row.content {
                    Content::Value(value) => value,
                    Content::Dropped => return None,
                    // Left out, a page of such rows would have no last key, and be read for ever. The shard tells of a
                    // record that is none.
                    Content::Unreadable(_) => Vec::new(),
                };
                Some((row.key, value, row.version))
            };
            let rows = page.rows.into_iter().filter_map(row).collect();
            StoreReply::Rows(rows, page.more)
        }
        Err(fault) => malformed(fault),
    }
}
