//! How closely members are watched, and how often they get heartbeats.
//!
//! In a small fleet all instances watch each other closely: heartbeats go both ways every
//! [`HEARTBEAT_INTERVAL`](super::member::HEARTBEAT_INTERVAL), and a failure is detected within
//! [`HEARTBEAT_TIMEOUT`](super::member::HEARTBEAT_TIMEOUT). In a large fleet that would take too much processor time. There, an
//! instance closely watches its neighbours in its data centre, whose racks it takes over, and the members with which it shares
//! work. All others get heartbeats at a bounded total rate. A member counts as failed only after it was watched closely for
//! [`MIN_WATCH`], and its loss is announced in heartbeats.

use std::collections::HashSet;

use super::{
    id::keyed_hash,
    member::Member, //
};
use crate::prelude::*;

/// The largest fleet, this instance included, in which all instances watch each other closely.
const MAX_FULL_MESH: usize = 48;

/// Members of its data centre that an instance of a large fleet always watches closely.
const NEIGHBOURS: usize = 32;

/// How long a member must have been watched closely before its silence counts as a failure. Several heartbeats fit, so that a
/// member isn't lost just because it was told late to send them more often.
pub const MIN_WATCH: Span = Span::millis(400);

/// How long a member is watched closely after a reason for it was last seen.
pub const WATCH_TIME: Span = Span::seconds(1);

/// How long a member gets frequent heartbeats after it asked for them. It asks again with each of its own.
const PEER_WATCH_TIME: Span = MIN_WATCH;

/// The total rate of heartbeats to members that aren't watched closely, per second, while [`MAX_INTERVAL`] allows it.
const DISTANT_RATE: u64 = 80;

/// The longest interval between heartbeats to a member. It bounds the age of the counts of waiting jobs that they carry.
const MAX_INTERVAL: Span = Span::millis(1_500);

/// How closely a member is watched.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watch {
    /// Whether it's a neighbour, which is always watched closely.
    neighbour: bool,
    /// Until when this instance needs to watch it closely, since they share work.
    needed_until: Time,
    /// Since when it's suspected to have failed: it's watched closely until it's heard.
    suspected_since: Option<Time>,
    /// Until when the member watches this instance closely.
    peer_until: Time,
    /// When the close watch started.
    since: Time,
    /// When it was last sent a heartbeat.
    pub heartbeat_sent: Time,
}

impl Watch {
    /// Returns whether the watch is close, for either side: heartbeats then go both ways at the short interval.
    pub fn is_close(&self, now: Time) -> bool {
        self.is_needed_here(now) || now < self.peer_until
    }

    /// Returns whether this instance has a reason of its own to watch the member closely.
    pub fn is_needed_here(&self, now: Time) -> bool {
        self.neighbour || now < self.needed_until || self.is_suspected(now)
    }

    /// Returns whether it's watched closely because it's suspected to have failed.
    fn is_suspected(&self, now: Time) -> bool {
        self.suspected_since
            .is_some_and(|since| now.since(since) < WATCH_TIME)
    }

    /// Returns whether the member has been watched closely for so long that its silence counts as a failure.
    pub fn is_conclusive(&self, now: Time) -> bool {
        self.is_close(now) && now.since(self.since) > MIN_WATCH
    }

    /// Returns whether it hasn't been sent a heartbeat since the close watch started.
    pub fn needs_first_heartbeat(&self) -> bool {
        self.heartbeat_sent < self.since
    }

    /// Returns whether it's a neighbour.
    pub fn is_neighbour(&self) -> bool {
        self.neighbour
    }

    /// Watches the member closely for [`WATCH_TIME`] from now on, for this instance's reasons.
    pub fn extend(&mut self, now: Time) {
        self.start(now);
        self.needed_until = now + WATCH_TIME;
    }

    /// Watches the member closely from now on until it's heard, for at most [`WATCH_TIME`].
    pub fn suspect(&mut self, now: Time) {
        if !self.is_suspected(now) {
            self.start(now);
            self.suspected_since = Some(now);
        }
    }

    /// Ends the suspicion if the member was heard after it began.
    pub fn on_heard(&mut self, sent: Time) {
        if self.suspected_since.is_some_and(|since| sent >= since) {
            self.suspected_since = None;
        }
    }

    /// Watches the member closely for a while from now on, since it watches this instance.
    pub fn extend_for_peer(&mut self, now: Time) {
        self.start(now);
        self.peer_until = now + PEER_WATCH_TIME;
    }

    /// Sets whether it's a neighbour.
    pub fn set_neighbour(&mut self, neighbour: bool, now: Time) {
        if neighbour {
            self.start(now);
        }
        self.neighbour = neighbour;
    }

    /// Records the start of the close watch, unless it's close already.
    fn start(&mut self, now: Time) {
        if !self.is_close(now) {
            self.since = now;
        }
    }
}

/// Returns the interval between heartbeats to a member that isn't watched closely, when there are `members` of these.
pub fn heartbeat_interval(members: usize) -> Span {
    let interval = Span(members as u64 * 1_000_000 / DISTANT_RATE);
    interval.min(MAX_INTERVAL)
}

/// Chooses the members that an instance always watches closely: in a small fleet all of them, else up to `NEIGHBOURS` of its
/// data centre. The choice weighs pairs of instances the same from both sides, so that the watchers spread evenly.
pub fn neighbours<'a>(
    own: &Instance,
    centre: &str,
    members: impl Iterator<Item = &'a Member>,
) -> HashSet<Instance> {
    let members: Vec<&Member> = members.collect();
    if members.len() < MAX_FULL_MESH {
        let names = members.iter().map(|member| member.contact.name.clone());
        return names.collect();
    }
    let near = |member: &&&Member| member.live && member.centre == centre;
    let mut near: Vec<&Member> = members.iter().filter(near).copied().collect();
    near.sort_by_cached_key(|member| pair_weight(own, &member.contact.name));
    let names = near.iter().map(|member| member.contact.name.clone());
    names.take(NEIGHBOURS).collect()
}

/// Returns the weight of a pair of instances, the same in either order.
fn pair_weight(one: &Instance, other: &Instance) -> u64 {
    let (first, second) = (one.min(other), one.max(other));
    keyed_hash(0, &format!("{first} {second}"))
}
