//! Calls to the platform's store.

use super::super::id::ShardId;

/// Identifies a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreCallId(pub u64);

/// A request to the store about the rows of one shard.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read a page of rows, ordered by key.
    Read {
        /// The shard.
        shard: ShardId,
        /// The key to begin after; `None` begins with the first row.
        after: Option<String>,
    },
    /// Read one row.
    Find {
        /// The shard.
        shard: ShardId,
        /// The key of the row.
        key: String,
    },
    /// Change rows atomically if the guard row still has its version (compare and swap).
    Write {
        /// The shard.
        shard: ShardId,
        /// The key of the guard row and the version that it must have; zero means that the row must not exist.
        guard: (String, u64),
        /// The keys and values of rows to set.
        set: Vec<(String, Vec<u8>)>,
        /// The keys of rows to remove.
        remove: Vec<String>,
    },
}

/// How a call to the store ended.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// Rows as key, value and version, and whether more follow.
    Rows(Vec<(String, Vec<u8>, u64)>, bool),
    /// The write succeeded and has this version.
    Written(u64),
    /// The guard row has another version; nothing was changed.
    Conflict,
    /// The store refused the request; nothing was changed.
    Refused,
    /// No reply came. A write may still take effect.
    Silent,
}
