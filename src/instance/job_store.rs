//! Reads and writes stored jobs in the store.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use tokio::task::spawn_local;

use super::hub::Hub;
use crate::{
    dispatch::message::{
        Input,
        LogRecord,
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
    timeout::within, //
};

/// How long a call may take. A coordinator that can't confirm its lock releases its shards after a second, which
/// leaves time for a retry.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an idle connection to the store may be reused.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// A client for the store's rows of stored jobs, with a pool of connections.
pub struct JobStore {
    address: String,
    pool: RefCell<Pool>,
}

impl JobStore {
    /// Creates a client for the store at an address.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            pool: RefCell::new(Pool::new(MAX_IDLE)),
        }
    }

    /// Starts a call in a task of its own, which passes the reply to the dispatcher.
    pub fn start_call(&self, hub: &Rc<Hub>, call: StoreCallId, request: StoreRequest) {
        let hub = hub.clone();
        spawn_local(async move {
            let attempt = hub.job_store.send(&request);
            let reply = within(CALL_TIMEOUT, attempt).await;
            let reply = match reply {
                Ok(Some(reply)) => read_reply(&hub, &request, &reply),
                _ => StoreReply::Silent,
            };
            hub.metrics.count_store_call(match reply {
                StoreReply::Rows(..) | StoreReply::Written(_) => "done",
                StoreReply::Conflict => "conflict",
                StoreReply::Refused => "refused",
                StoreReply::Silent => "silent",
            });
            hub.handle(Input::StoreReplied { call, reply });
        });
    }

    async fn send(&self, request: &StoreRequest) -> Option<http::Reply> {
        let (method, path, body) = match request {
            StoreRequest::Read { shard, after } => {
                let part = shard.to_string();
                let path = store::build_range_path(record::JOB_TABLE, &part, after.as_deref());
                (Method::GET, path, Vec::new())
            }
            StoreRequest::Find { shard, key } => {
                let path = store::build_row_path(record::JOB_TABLE, &shard.to_string(), key);
                (Method::GET, path, Vec::new())
            }
            StoreRequest::Write {
                shard,
                guard,
                set,
                remove,
            } => {
                let part = shard.to_string();
                let (path, body) =
                    store::build_change(record::JOB_TABLE, &part, guard, set, remove);
                (Method::POST, path, body)
            }
        };
        let idle = self.pool.borrow_mut().take_idle(&self.address);
        let request = http::build_json_request(method, &self.address, &path, Bytes::from(body));
        let answer = http::exchange(idle, &self.address, request).await;
        let (reply, connection) = answer.ok()?;
        self.pool.borrow_mut().put(&self.address, connection);
        Some(reply)
    }
}

fn read_reply(hub: &Hub, request: &StoreRequest, reply: &http::Reply) -> StoreReply {
    let status = reply.status.as_u16();
    match store::classify_status(status) {
        store::Outcome::Done => {}
        store::Outcome::Conflict => return StoreReply::Conflict,
        store::Outcome::Refused => return StoreReply::Refused,
        store::Outcome::Invalid => {
            hub.log(&LogRecord::new("store_rejected").with("status", u64::from(status)));
            return StoreReply::Refused;
        }
    }
    let malformed = |fault: crate::platform::Fault| {
        hub.log(&LogRecord::new("store_malformed").with("fault", fault.to_string()));
        StoreReply::Silent
    };
    if let StoreRequest::Write { .. } = request {
        return store::parse_version(&reply.body).map_or_else(malformed, StoreReply::Written);
    }
    match store::parse_page(&reply.body) {
        Ok(page) => {
            let row = |row: store::Row| {
                let value = match row.content {
                    Content::Value(value) => value,
                    Content::Deleted => return None,
                    // Kept with an empty value: a page without rows would have no last key, and the same page would
                    // be read forever. The shard reports that the record is malformed.
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
