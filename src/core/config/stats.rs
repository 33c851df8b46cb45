//! Counts what the configuration costs.

/// Operations on the table and messages to peers since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Polls of the head, within [`Stats::reads`].
    pub polls: u64,
    /// Rows read.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Transactions.
    pub commits: u64,
    /// Rows written in them.
    pub writes: u64,
    /// Announcements to peers.
    pub announces: u64,
    /// Fetches of changes from peers.
    pub fetches: u64,
    /// Pages of snapshots asked of peers.
    pub snapshots: u64,
    /// Calls of peers that were returned.
    pub returns: u64,
    /// Entries of the audit trail about malformed texts that were dropped to stay within the bound.
    pub dropped: u64,
}
