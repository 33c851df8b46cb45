//! Counts the configuration's load on the table and the peers.

/// Counts of commands to the table and calls among peers since the start of the instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Polls of the head, included in [`Stats::reads`].
    pub polls: u64,
    /// Rows read.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Transactions sent.
    pub commits: u64,
    /// Writes in those transactions.
    pub writes: u64,
    /// Announcements to peers.
    pub announcements: u64,
    /// Fetches of changes from peers.
    pub fetches: u64,
    /// Pages of snapshots requested from peers.
    pub snapshots: u64,
    /// Calls from peers that were answered.
    pub returns: u64,
    /// Entries of the audit trail about malformed texts that were dropped since too many were waiting.
    pub dropped: u64,
}
