//! Probes of racks whose owner has lost its heartbeat.

use std::collections::{
    HashMap,
    HashSet, //
};

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

/// Time between probes of a rack. Leases of a dead owner expire within half a second after it is declared lost.
const PROBE_INTERVAL: Span = Span::millis(100);

/// Timeout of a probe.
const PROBE_TIMEOUT: Span = Span::millis(150);

/// The number of steps from the announced token on that need not wait for [`PROBE_INTERVAL`]. More are due only after a long silence, or
/// where another owner is the reason, whose token is out of reach.
const QUICK_STEPS: u64 = 16;

/// The replies of a silent owner's endpoints to a probe.
#[derive(Debug)]
pub(super) struct Probe {
    pending: HashSet<CallId>,
    /// The number of endpoints that have listed their runs.
    answered: usize,
    /// Whether an endpoint lists a run or has refused the token.
    running: bool,
    /// When the next probe may be sent.
    next_probe: Time,
    /// The announced token of the silent owner.
    announced: Token,
    /// The token for an endpoint that has refused the announced one: the owner may have raised it since it was last heard.
    tokens: HashMap<Endpoint, Token>,
}

/// Whether a rack can be taken over from a silent owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Nothing runs there.
    Free,
    /// Not known yet, or its owner still extends leases there, or no endpoint can be reached.
    Unconfirmed,
}

impl Owner {
    /// Probes the endpoints of a rack whose owner is silent, to find whether that owner still runs tasks there.
    ///
    /// An instance that can't reach another one may itself be the one that is cut off. If both claimed each
    /// other's racks, they would fence each other off in turn and stop all runs. A probe uses the silent owner's
    /// own token and so changes nothing: runs of a dead owner end when their lease expires, and any that remain
    /// are kept alive by their owner. Where the token is too low, the next ones are tried, one after another, so that it
    /// never exceeds the owner's.
    pub fn probe(
        &mut self,
        rack: RackId,
        token: Token,
        listings: &[Listing],
        now: Time,
        out: &mut Effects,
    ) -> Availability {
        if let Some(probe) = self.probes.get(&rack) {
            let complete = probe.pending.is_empty();
            if complete && probe.answered > 0 && !probe.running {
                self.probes.remove(&rack);
                return Availability::Free;
            }
            if !complete || now < probe.next_probe {
                return Availability::Unconfirmed;
            }
        }
        let former = self.probes.remove(&rack);
        let former = former.filter(|probe| probe.announced == token);
        let mut probe = Probe {
            pending: HashSet::new(),
            answered: 0,
            running: false,
            next_probe: now + PROBE_INTERVAL,
            announced: token,
            tokens: former.map(|probe| probe.tokens).unwrap_or_default(),
        };
        for listing in listings.iter().filter(|l| l.rack_id() == rack) {
            let call = self.next_call_id();
            probe.pending.insert(call);
            let purpose = Purpose::Probe(rack);
            let token = probe.tokens.get(&listing.id).copied().unwrap_or(token);
            self.pending_calls
                .insert(call, (listing.id.clone(), purpose, token));
            out.outputs.push(Output::Call {
                call,
                endpoint: listing.id.clone(),
                address: listing.address.clone(),
                order: Order::Poll {
                    lease: None,
                    token,
                    acknowledged: 0,
                    wait: Span(0),
                },
                timeout: PROBE_TIMEOUT,
                new_connection: false,
            });
        }
        self.probes.insert(rack, probe);
        Availability::Unconfirmed
    }

    /// Records an endpoint's reply to a probe. One that rejects the token has another owner, or got a higher one from the silent owner.
    pub(super) fn on_probe_reply(
        &mut self,
        rack: RackId,
        call: CallId,
        id: &Endpoint,
        reply: &Reply,
        now: Time,
    ) {
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
            Reply::Refused { .. } => {
                probe.running = true;
                let token = probe.tokens.entry(id.clone()).or_insert(probe.announced);
                *token = token.next();
                if token.0 - probe.announced.0 <= QUICK_STEPS {
                    probe.next_probe = now;
                }
            }
            _ => {}
        }
    }

    /// Returns the racks that were fenced off since the last call.
    pub fn take_fenced(&mut self) -> Vec<(RackId, Token)> {
        std::mem::take(&mut self.fenced)
    }
}
