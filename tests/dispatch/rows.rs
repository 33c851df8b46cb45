//! A stand-in for the platform's store: rows in shards, with conditional writes.

use std::collections::BTreeMap;

use poplarknot::dispatch::{
    id::ShardId,
    message::{
        StoreReply,
        StoreRequest, //
    }, //
};

/// The number of rows in a page.
const PAGE_SIZE: usize = 20;

/// The rows of the store.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: BTreeMap<(ShardId, String), (Vec<u8>, u64)>,
    version: u64,
}

impl Rows {
    /// Executes a request.
    pub(crate) fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { shard, after } => {
                let all = self.rows.iter().filter(|((s, _), _)| s == shard);
                let row = |((_, key), (value, version)): (&(ShardId, String), &(Vec<u8>, u64))| {
                    (key.clone(), value.clone(), *version)
                };
                let is_after = |(key, ..): &(String, Vec<u8>, u64)| {
                    after.as_ref().is_none_or(|after| key > after)
                };
                let mut rows: Vec<_> = all.map(row).filter(is_after).collect();
                let more = rows.len() > PAGE_SIZE;
                rows.truncate(PAGE_SIZE);
                StoreReply::Rows(rows, more)
            }
            StoreRequest::Find { shard, key } => {
                let found = self.rows.get(&(*shard, key.clone()));
                let rows = found.map(|(value, version)| (key.clone(), value.clone(), *version));
                StoreReply::Rows(rows.into_iter().collect(), false)
            }
            StoreRequest::Write {
                shard,
                guard,
                set,
                remove,
            } => {
                let guarded = self.rows.get(&(*shard, guard.0.clone()));
                if guarded.map_or(0, |(_, version)| *version) != guard.1 {
                    return StoreReply::Conflict;
                }
                self.version += 1;
                for (key, value) in set {
                    let row = (value.clone(), self.version);
                    self.rows.insert((*shard, key.clone()), row);
                }
                for key in remove {
                    self.rows.remove(&(*shard, key.clone()));
                }
                StoreReply::Written(self.version)
            }
        }
    }
}
