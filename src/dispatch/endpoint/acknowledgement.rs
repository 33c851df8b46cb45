//! Acknowledgements, after which an endpoint forgets ends.
//!
//! A restarted endpoint numbers its ends anew. By a number of its former life it would forget ends that nobody has seen, and their tasks
//! would run again. So an acknowledgement belongs to a life: it's sent only while nothing hints at a restart, and not again once that
//! life has confirmed it.

use super::{
    super::{
        id::{
            Life,
            Token, //
        },
        message::CallId, //
    },
    Standing,
    State, //
};

/// The ends of one life up to a serial number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Acknowledgement {
    life: Life,
    serial: u64,
}

impl Acknowledgement {
    /// Returns the serial number of the last end.
    pub(super) fn serial(self) -> u64 {
        self.serial
    }
}

/// A poll that wasn't answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPoll {
    pub(super) call: CallId,
    pub(super) token: Token,
    pub(super) acknowledgement: Option<Acknowledgement>,
}

impl State {
    /// Returns the ends that the next poll may let the endpoint forget; `None` if there are none, or if the endpoint may have restarted,
    /// since a call has failed after the last poll that it answered.
    pub(super) fn next_acknowledgement(&self) -> Option<Acknowledgement> {
        let is_same_life = self.standing == Standing::Open && self.listed_at >= self.failed_at;
        let (life, serial) = (self.life, self.last_forgettable_end());
        (is_same_life && serial > self.acknowledged_end).then_some(Acknowledgement { life, serial })
    }

    /// Records that a poll with this acknowledgement was answered.
    pub(super) fn on_acknowledged(&mut self, acknowledgement: Acknowledgement) {
        if acknowledgement.life == self.life {
            self.acknowledged_end = self.acknowledged_end.max(acknowledgement.serial);
        }
    }
}
