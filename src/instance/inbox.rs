//! Which envelopes of peers have come before, over another connection.

use std::collections::HashMap;

use crate::{
    dispatch::message::Sender,
    prelude::*, //
};

/// The last envelope of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Last {
    incarnation: u64,
    session: u32,
    serial: u64,
}

/// What has come from peers.
///
/// An envelope whose acknowledgement was lost is sent again over a new connection, and must not count twice. Serials begin
/// anew with every session and every life of the receiver. What is meant for a former life says nothing of this one: while its
/// serial counted, as many envelopes of the present session as the former one had had were acknowledged and dropped,
/// and jobs that were sent to a restarted instance hung until their callers had gone.
#[derive(Debug)]
pub struct Inbox {
    /// The life of this instance.
    own: u64,
    /// By peer, and by the receiver's life that the peer had in mind; zero where it knew none.
    last: HashMap<(Instance, u64), Last>,
}

impl Inbox {
    /// Makes an inbox for one life of an instance.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            last: HashMap::new(),
        }
    }

    /// Tells whether an envelope came before; else it counts from now on.
    pub fn check_duplicate(&mut self, sender: &Sender, serial: u64) -> bool {
        if sender.receiver_incarnation != 0 && sender.receiver_incarnation != self.own {
            return false;
        }
        let last = Last {
            incarnation: sender.incarnation,
            session: sender.session,
            serial,
        };
        let key = (sender.contact.name.clone(), sender.receiver_incarnation);
        if let Some(known) = self.last.get(&key) {
            let same = (known.incarnation, known.session) == (last.incarnation, last.session);
            if same && serial <= known.serial {
                return true;
            }
        }
        self.last.insert(key, last);
        false
    }
}
