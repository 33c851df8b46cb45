//! How long the runs of an entry may go on after the entry last confirmed its batches.
//!
//! A caller whose connection broke submits its job again after [`RETRY_DELAY`], and its tasks may then start at another owner. So
//! the former runs must have ended, whatever became of their entry, of its cancellation or of the order to stop them. What an owner
//! believes about an entry can't guarantee that: its own thread may be late, and a heartbeat may arrive while the cancellation that
//! was sent before it waits in a stalled connection. Therefore each lease that an owner grants ends at most [`LICENSE`] after the
//! entry's last confirmation, see [`Channel`], on the endpoint itself. A restarted endpoint has another clock, on which the deadline of
//! a former start is far ahead; there a higher token bars the start.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// The delay after which a caller whose connection broke, or who got no outcome, submits its job again.
pub const RETRY_DELAY: Span = Span::millis(1_300);

/// The time from an entry's confirmation to the end of the leases of its runs: [`RETRY_DELAY`], less the time that an endpoint takes to
/// stop a run.
pub const LICENSE: Span = Span::millis(1_250);

/// How long messages of a member may be missing while its heartbeats arrive. After that the session ends, so that the runs of its
/// batches are stopped before the license is over: without a license, all runs on their endpoints would lapse.
const STALL_TIMEOUT: Span = Span::millis(1_000);

/// The most heartbeats that are kept until the messages that were sent before them have arrived. Any more don't count.
const MAX_PENDING: usize = 32;

/// What a heartbeat says about the messages between its sender and its receiver in their session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The sender has handled everything that had reached it by this time on its clock.
    pub settled: Time,
    /// The number of messages that the sender has sent to the receiver.
    pub sent: u64,
    /// The number of messages of the receiver that the sender has handled.
    pub received: u64,
    /// [`Receipt::settled`] on the receiver's clock. It follows the protocol in the datagram, where builds that don't know it ignore
    /// it.
    #[serde(skip)]
    pub settled_there: SettledThere,
}

/// [`Receipt::settled`] on the receiver's clock, as far as the sender can tell from what it has heard of the receiver.
///
/// The receiver can't tell by itself: it doesn't know how long the member's messages were on their way, and a time that is later than
/// the true one would lengthen a license.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledThere {
    /// The sender is of an earlier build, which doesn't state it.
    #[default]
    Unstated,
    /// The sender hasn't heard the receiver yet.
    Unknown,
    /// At this time or later.
    NotBefore(Time),
}

/// An entry's confirmation that it wants all of its batches that it hasn't cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When it held, on this instance's clock, or earlier.
    pub at: Time,
    /// The number of this instance's messages that the entry had handled.
    pub received: u64,
}

impl Confirmation {
    /// Returns the confirmation of an instance's batches by its own entry, which doesn't depend on messages.
    pub fn of_self(at: Time) -> Self {
        let received = u64::MAX;
        Self { at, received }
    }
}

/// The messages to and from a member in the current session.
///
/// A heartbeat confirms the member's batches once all messages that were sent before it have arrived: a cancellation may be among
/// them.
#[derive(Debug, Clone, Default)]
pub struct Channel {
    sent: u64,
    received: u64,
    /// Heartbeats that are ahead of the messages, with the number of messages that were sent before them.
    pending: VecDeque<(u64, Confirmation)>,
    confirmation: Option<Confirmation>,
}

impl Channel {
    /// Counts a message to the member, and returns the number of all so far.
    pub fn count_sent(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Counts messages of the member that have arrived, and confirms the heartbeats that waited for them.
    pub fn count_received(&mut self, messages: u64) {
        self.received += messages;
        while let Some((sent, confirmation)) = self.pending.front().copied() {
            if sent > self.received {
                return;
            }
            self.pending.pop_front();
            self.confirm(confirmation);
        }
    }

    /// Handles the receipt in a heartbeat of the member. `at` is [`Receipt::settled`] on this instance's clock, or earlier.
    pub fn on_receipt(&mut self, receipt: &Receipt, at: Time) {
        let received = receipt.received;
        let confirmation = Confirmation { at, received };
        if receipt.sent <= self.received {
            self.confirm(confirmation);
        } else if self.pending.len() < MAX_PENDING {
            self.pending.push_back((receipt.sent, confirmation));
        }
    }

    /// Handles a heartbeat without a receipt, which a member of an earlier build sends.
    pub fn on_plain_heartbeat(&mut self, at: Time) {
        let received = u64::MAX;
        self.confirm(Confirmation { at, received });
    }

    fn confirm(&mut self, confirmation: Confirmation) {
        let last = self.confirmation.get_or_insert(confirmation);
        last.at = last.at.max(confirmation.at);
        last.received = last.received.max(confirmation.received);
    }

    /// Returns the receipt for the next heartbeat to the member.
    pub fn receipt(&self, settled: Time, settled_there: SettledThere) -> Receipt {
        Receipt {
            settled,
            sent: self.sent,
            received: self.received,
            settled_there,
        }
    }

    /// Returns the member's latest confirmation.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Returns whether messages haven't arrived that the member had sent `STALL_TIMEOUT` ago, although its heartbeats do.
    pub fn is_stalled(&self, now: Time) -> bool {
        let oldest = self.pending.front();
        oldest.is_some_and(|(_, confirmation)| now.since(confirmation.at) > STALL_TIMEOUT)
    }
}
