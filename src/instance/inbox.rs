//! Detects envelopes of peers that were received before.

use std::collections::HashMap;

use crate::{
    dispatch::message::Sender,
    prelude::*, //
};

/// The sessions of a peer whose positions are kept. Late envelopes of a former session must not hide the present position.
const MAX_SESSIONS: u32 = 8;

/// The position of the last envelope that was received from a peer in a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    incarnation: u64,
    serial: u64,
}

/// The last envelopes received from peers, for deduplication.
///
/// An envelope whose acknowledgement was lost is sent again over a new connection, and must not count twice. Serials
/// restart with every session and with every incarnation of the receiver. Envelopes for a former incarnation are
/// therefore not recorded, and those whose sender knows no incarnation are recorded apart: if their serials counted, as
/// many envelopes of the present session would be acknowledged and dropped, and jobs sent to a restarted instance would
/// hang until their callers disconnect.
#[derive(Debug)]
pub struct Inbox {
    /// The incarnation of this instance.
    own_incarnation: u64,
    /// By peer, by the receiver's incarnation that the peer named, which is zero if it knew none, and by session.
    last_envelopes: HashMap<(Instance, u64, u32), Position>,
}

impl Inbox {
    /// Creates an empty inbox for one incarnation of an instance.
    pub fn new(own_incarnation: u64) -> Self {
        Self {
            own_incarnation,
            last_envelopes: HashMap::new(),
        }
    }

    /// Returns whether an envelope was received before, and records it if not. An envelope for a former incarnation
    /// is neither recorded nor a duplicate.
    pub fn check_duplicate(&mut self, sender: &Sender, serial: u64) -> bool {
        if sender.receiver_incarnation != 0 && sender.receiver_incarnation != self.own_incarnation {
            return false;
        }
        let position = Position {
            incarnation: sender.incarnation,
            serial,
        };
        let (name, session) = (&sender.contact.name, sender.session);
        let key = (name.clone(), sender.receiver_incarnation, session);
        let previous = self.last_envelopes.get(&key);
        let same = previous.filter(|previous| previous.incarnation == position.incarnation);
        if same.is_some_and(|previous| serial <= previous.serial) {
            return true;
        }
        if previous.is_some_and(|previous| previous.incarnation > position.incarnation) {
            return false;
        }
        if previous.is_none() {
            self.last_envelopes
                .retain(|(other, _, old), _| other != name || old + MAX_SESSIONS > session);
        }
        self.last_envelopes.insert(key, position);
        false
    }
}
