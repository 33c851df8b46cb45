//! Calls to the platform's store.

use super::super::id::ShardId;

/// Names a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreCallId(pub u64);

/// What the store is asked for; rows are those of one shard.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read rows in the order of their keys, after one or from the first.
    Read {
        /// The shard.
        shard: ShardId,
        /// The key to begin after.
        after: Option<String>,
    },
    /// Read one row.
    Find {
        /// The shard.
        shard: ShardId,
        /// Its key.
        key: String,
    },
    /// Change rows, all or none, if one row still has its version.
    Write {
        /// The shard.
        shard: ShardId,
        /// The row, and the version that it must have; zero means that there is none.
        guard: (String, u64),
        /// Rows to set, by their keys.
        set: Vec<(String, Vec<u8>)>,
        /// Keys of rows to remove.
        remove: Vec<String>,
    },
}

/// What came of a call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// Rows with key, value and version; and whether more follow.
    Rows(Vec<(String, Vec<u8>, u64)>, bool),
    /// The change was made, as this version.
    Written(u64),
    /// The row that guards it has another version; nothing was changed.
    Conflict,
    /// It was refused; nothing was changed.
    Refused,
    /// No answer came. A change may be made, now or later.
    Silent,
}
