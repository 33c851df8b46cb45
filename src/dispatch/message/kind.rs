//! Kinds of messages, for counts of the traffic between instances.

use super::Message;

impl Message {
    /// Returns the name of its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Members(_) => "members",
            Self::Batch(_) => "batch",
            Self::Cancel(_) => "cancel",
            Self::Report { .. } => "report",
            Self::Returned { .. } => "returned",
            Self::Audit(_) => "audit",
            Self::Unknown(_) => "unknown",
            Self::Want { .. } => "want",
            Self::Handover(_) => "handover",
            Self::Moved { .. } => "moved",
            Self::Fetch { .. } => "fetch",
            Self::Piece(_) => "piece",
            Self::RosterChange(_) => "roster_change",
            Self::CancelJob(_) => "cancel_job",
            Self::Request { .. } => "request",
            Self::Verdict { .. } => "verdict",
            Self::Begun(_) => "begun",
            Self::Ended(_) => "ended",
            Self::Noted { .. } => "noted",
            Self::Withdraw { .. } => "withdraw",
            Self::Doubts(_) => "doubts",
        }
    }
}
