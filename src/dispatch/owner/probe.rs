//! Probes of racks whose owner has fallen silent.

use std::collections::HashSet;

use super::{
    super::{
        id::{
            RackId,
            Token, //
        },
        message::{
            CallId,
            Listing,
            Order,
            Output,
            Reply, //
        }, //
    },
    Effects,
    Owner,
    Purpose, //
};
use crate::prelude::*;

/// Between probes of a rack whose owner has fallen silent: its leases pass within half a second of that.
const PROBE: Span = Span::millis(100);

/// How long endpoints may take to answer a probe.
const PROBE_PATIENCE: Span = Span::millis(150);

/// What endpoints of a rack say that belonged to a member that has fallen silent.
#[derive(Debug)]
pub(super) struct Probe {
    pending: HashSet<CallId>,
    answered: usize,
    running: bool,
    /// When the next one may leave.
    again: Time,
}

/// Whether a rack can be taken over from a silent owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing runs there any more.
    Free,
    /// It isn't known yet, or its owner still extends leases there, or it can't be reached.
    Wait,
}

impl Owner {
    /// Asks the endpoints of a rack whose owner has fallen silent whether it still keeps anything running there.
    ///
    /// An instance that can't hear another may be the one that is cut off. If both claimed each other's racks they
    /// would fence each other off by turns and stop everything that runs, over and over. So the silent
    /// owner's own token is used, which changes nothing: what it has running ends within a lease of its death,
    /// and whatever still runs later is kept alive by it.
    pub fn probe(
        &mut self,
        rack: RackId,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) -> Verdict {
        if let Some(probe) = self.probes.get(&rack) {
            let over = probe.pending.is_empty();
            if over && probe.answered > 0 && !probe.running {
                self.probes.remove(&rack);
                return Verdict::Free;
            }
            if !over || now < probe.again {
                return Verdict::Wait;
            }
        }
        let mut probe = Probe {
            pending: HashSet::new(),
            answered: 0,
            running: false,
            again: now + PROBE,
        };
        for listing in listings.iter().filter(|l| l.rack_id() == rack) {
            let call = self.next_call();
            probe.pending.insert(call);
            let purpose = Purpose::Probe(rack);
            self.calls.insert(call, (listing.id.clone(), purpose));
            out.outputs.push(Output::Call {
                call,
                endpoint: listing.id.clone(),
                address: listing.address.clone(),
                order: Order::Look {
                    lease: None,
                    token,
                    seen: 0,
                    wait: Span(0),
                },
                timeout: PROBE_PATIENCE,
                fresh: false,
            });
        }
        self.probes.insert(rack, probe);
        Verdict::Wait
    }

    /// Takes note of what an endpoint says to a probe. One that refuses the token belongs to somebody else.
    pub(super) fn probed(&mut self, rack: RackId, call: CallId, reply: &Reply) {
        let Some(probe) = self.probes.get_mut(&rack) else {
            return;
        };
        if !probe.pending.remove(&call) {
            return;
        }
        match reply {
            Reply::Looked(lists) => {
                probe.answered += 1;
                probe.running |= !lists.running.is_empty();
            }
            Reply::Refused { .. } => probe.running = true,
            _ => {}
        }
    }

    /// Returns the racks that were fenced off since it was asked last.
    pub fn take_fenced(&mut self) -> Vec<(RackId, Token)> {
        std::mem::take(&mut self.fenced)
    }
}
