//! Calls between instances: forwarded submissions, heartbeats and calls of the configuration.

use super::{
    config,
    membership,
    message::{
        Call,
        CallId,
        Heartbeat,
        IncomingCall,
        Output,
        Return, //
    },
    stage::Recipient,
    submission::Arrival,
    Core, //
};
use crate::{
    event::Code,
    prelude::*, //
};

/// The shortest time between two reports of the peers to the configuration.
const PEER_REPORT_PERIOD: Span = Span::millis(200);

/// A submission or a heartbeat that was sent to a peer and hasn't returned.
#[derive(Debug)]
pub(super) struct OutgoingCall {
    to: Instance,
    sent_at: Time,
    /// The job that waits for the return; none for a heartbeat.
    job: Option<u64>,
}

impl OutgoingCall {
    /// Creates the call of a submission that is forwarded to `to`.
    pub(super) fn for_job(to: Instance, sent_at: Time, job: u64) -> Self {
        Self {
            to,
            sent_at,
            job: Some(job),
        }
    }
}

impl Core {
    /// Calls a peer; the call is refused at once if the peer's address isn't known.
    pub(super) fn call(&mut self, to: Instance, id: CallId, call: Call, wait: Option<Span>) {
        let Some(address) = self.membership.address(&to) else {
            return self.on_return(id, Return::Refused);
        };
        self.outputs.push(Output::Call {
            to,
            address,
            id,
            call,
            wait: wait.unwrap_or(self.timing.peer_timeout),
        });
    }

    /// Handles a call from a peer.
    ///
    /// A submission for another incarnation is rejected: the owner of its key has ended, and this run of the
    /// instance doesn't know the key.
    pub(super) fn on_call(&mut self, incoming: IncomingCall, call: Call) {
        match call {
            Call::Submit(forward) if forward.owner != self.identity.incarnation => {
                self.outputs
                    .push(Output::Return(incoming, Return::StaleIncarnation));
            }
            Call::Submit(forward) => self.submit(Arrival {
                recipient: Recipient::Peer(incoming),
                bytes: 0,
                submission: forward.submission,
                digest: forward.digest,
                first: false,
                time_left: Some(forward.left),
            }),
            Call::Heartbeat(heartbeat) => {
                self.on_heartbeat(&heartbeat);
                let reply = self.make_heartbeat();
                self.outputs
                    .push(Output::Return(incoming, Return::Heartbeat(reply)));
            }
            Call::Config(call) => self.step_config(config::Input::Called(incoming, call)),
        }
    }

    /// Handles the end of a call to a peer, also where no return came.
    pub(super) fn on_return(&mut self, id: CallId, result: Return) {
        match id {
            CallId::Submit(id) => {
                let pending = self.calls.remove(&id);
                if let Some(job) = pending.and_then(|pending| pending.job) {
                    self.on_owner_return(job, result);
                }
            }
            CallId::Heartbeat(id) => {
                let pending = self.calls.remove(&id);
                match (result, pending) {
                    (Return::Heartbeat(heartbeat), _) => {
                        self.on_heartbeat(&heartbeat);
                        self.membership.on_answer(self.now, &heartbeat.name);
                    }
                    (Return::Withheld, _) => {}
                    (_, Some(pending)) => self.on_heartbeat_failed(&pending),
                    (_, None) => {}
                }
            }
            CallId::Config(id) => {
                let result = match result {
                    Return::Config(result) => Ok(result),
                    _ => Err(()),
                };
                self.step_config(config::Input::Returned(id, result));
            }
        }
    }

    /// Creates the next heartbeat of this instance.
    fn make_heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            observations: self.membership.next_observations(self.now),
            name: self.identity.name.clone(),
            centre: self.identity.centre.clone(),
            incarnation: self.identity.incarnation,
            revision: self.config.revision(),
            draining: self.draining.is_some(),
        }
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.membership.on_heartbeat(self.now, heartbeat);
        self.membership
            .on_observations(self.now, &heartbeat.observations);
    }

    /// Handles a heartbeat without an answer.
    ///
    /// Heartbeats on a connection that fell silent fail one after the other, while newer ones are answered over the next
    /// connection. They say nothing about a peer that has answered since they were sent.
    fn on_heartbeat_failed(&mut self, call: &OutgoingCall) {
        if !self.membership.has_answered_since(call.sent_at, &call.to) {
            self.membership.on_call_failed(self.now, &call.to);
        }
    }

    /// Sends the heartbeats that are due, handles peers found or lost, and reports the peers to the configuration.
    pub(super) fn tick_membership(&mut self) {
        let actions = self.membership.tick(self.now);
        for action in actions {
            match action {
                membership::Action::Heartbeat { to, address } => self.send_heartbeat(to, address),
                membership::Action::Found(name) => {
                    self.log_event(Code::PeerFound, name.to_string());
                    self.update_shares();
                }
                membership::Action::Lost(name) => {
                    self.log_event(Code::PeerLost, name.to_string());
                    self.update_shares();
                    self.lost_peers.insert(name, self.now);
                }
            }
        }
        self.fail_calls_to_lost_peers();
        if self.now.since(self.peers_reported_at) < PEER_REPORT_PERIOD {
            return;
        }
        self.peers_reported_at = self.now;
        let peers = self.membership.peers().map(|peer| config::Peer {
            name: peer.name.clone(),
            centre: peer.centre.clone(),
            address: peer.address.clone(),
            revision: peer.revision,
            alive: peer.alive,
        });
        let peers = peers.collect();
        self.step_config(config::Input::Peers(peers));
    }

    fn send_heartbeat(&mut self, to: Instance, address: String) {
        let id = self.next_serial();
        let pending = OutgoingCall {
            to: to.clone(),
            sent_at: self.now,
            job: None,
        };
        self.calls.insert(id, pending);
        let call = Call::Heartbeat(self.make_heartbeat());
        let wait = match self.membership.is_alive(self.now, &to) {
            true => self.timing.peer_timeout,
            false => self.lost_peer_timeout(),
        };
        self.outputs.push(Output::Call {
            to,
            address,
            id: CallId::Heartbeat(id),
            call,
            wait,
        });
    }

    /// Returns how long a heartbeat to a lost peer waits for the answer.
    ///
    /// It's twice as long as for others: a peer that takes longer than that timeout would miss all further heartbeats as well, and stay
    /// lost although it answers.
    fn lost_peer_timeout(&self) -> Span {
        self.timing.peer_timeout.times(2)
    }

    /// Divides shared limits by the number of live instances.
    pub(super) fn update_shares(&mut self) {
        let live = self.membership.live_count();
        let sharing = self
            .membership
            .live_count_in(&self.identity.endpoint_centres);
        self.placement.set_instances(sharing);
        self.outputs.push(Output::ShareWriteRate(live));
    }

    /// Fails the submissions that are forwarded to peers that stay lost.
    ///
    /// The connection to a frozen or partitioned instance stays open, and without this its callers would wait until their
    /// deadline. A peer whose connection is only slow counts as lost too, though: so a lost peer gets the time of one more
    /// heartbeat, which goes over a new connection. If the peer's process has ended, the calls fail by themselves.
    fn fail_calls_to_lost_peers(&mut self) {
        let (now, membership) = (self.now, &self.membership);
        self.lost_peers
            .retain(|name, _| !membership.is_alive(now, name));
        let wait = self.lost_peer_timeout();
        let is_over = |at: &Time| now.since(*at) >= wait;
        let lost = self.lost_peers.iter().filter(|(_, at)| is_over(at));
        let lost: Vec<Instance> = lost.map(|(name, _)| name.clone()).collect();
        for name in lost {
            self.lost_peers.remove(&name);
            self.fail_calls_to(&name);
        }
    }

    /// Fails the submissions that are forwarded to a peer.
    fn fail_calls_to(&mut self, peer: &Instance) {
        let mut calls: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, pending)| pending.job.is_some() && pending.to == *peer)
            .map(|(id, _)| *id)
            .collect();
        calls.sort_unstable();
        for id in calls {
            self.on_return(CallId::Submit(id), Return::Lost);
        }
    }
}
