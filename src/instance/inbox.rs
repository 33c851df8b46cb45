//! Detects envelopes of peers that were received before.

use std::collections::HashMap;

use crate::{
    dispatch::message::Sender,
    prelude::*, //
};

/// The position of the last envelope that was received from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    incarnation: u64,
    session: u32,
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
    /// By peer and by the receiver's incarnation that the peer named, which is zero if it knew none.
    last_envelopes: HashMap<(Instance, u64), Position>,
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
            session: sender.session,
            serial,
        };
        let key = (sender.contact.name.clone(), sender.receiver_incarnation);
        if let Some(previous) = self.last_envelopes.get(&key) {
            let same = (previous.incarnation, previous.session)
                == (position.incarnation, position.session);
            if same && serial <= previous.serial {
                return true;
            }
        }
        self.last_envelopes.insert(key, position);
        false
    }
}
