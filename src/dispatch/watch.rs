//! How closely an instance watches another, and how often it tells it of itself.
//!
//! All instances of a small fleet watch each other closely: ten heartbeats a second each way, and a death is found within
//! [`HEARTBEAT_TIMEOUT`](super::member::HEARTBEAT_TIMEOUT). In a large one these took half of a weak machine's processor share: with 147 instances
//! each sent and received 1,460 a second. There, an instance watches those closely with which it shares work, and its neighbours in
//! its data centre, whose racks it takes over; all others are told of it at a bounded rate. Nobody is taken for gone without
//! having been watched closely for a while, and who finds a member gone says so in its heartbeats.

use std::collections::HashSet;

use super::{
    id::keyed_hash,
    member::Member, //
};
use crate::prelude::*;

/// The largest fleet in which everyone watches everyone closely: 470 heartbeats a second each way, a twentieth of a core.
const SMALL: usize = 48;

/// Members of its data centre that an instance of a larger fleet always watches closely: 320 heartbeats a second each way.
const NEIGHBOURS: usize = 32;

/// How long a member must have been watched closely before its silence counts: it hears within some milliseconds that it is, and
/// four of its heartbeats fit. What a dead entry's batch runs, on a rack that was handed over just then, is stopped a second
/// after its death, which is before its caller comes again.
pub const MIN_WATCH: Span = Span::millis(400);

/// How long a member is watched closely after work was shared with it last, which mostly comes again.
pub const WATCH_TIME: Span = Span::seconds(1);

/// Heartbeats a second to members that aren't watched closely, all together, as long as [`LONGEST`] allows it.
const RATE: u64 = 80;

/// The longest time between two heartbeats to a member: counts of waiting jobs are told with them, which may be two seconds old.
const LONGEST: Span = Span::millis(1_500);

/// How closely a member is watched.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watch {
    /// Whether it is a neighbour.
    near: bool,
    /// Until when this side needs to watch it.
    needed: Time,
    /// Until when the member watches this side.
    asked: Time,
    /// Since when it is watched closely.
    since: Time,
    /// When it was told of this instance last.
    pub heartbeat_sent: Time,
}

impl Watch {
    /// Tells whether heartbeats go both ways at the short interval.
    pub fn is_close(&self, now: Time) -> bool {
        self.is_needed_here(now) || now < self.asked
    }

    /// Tells whether this side has a reason of its own to watch it.
    pub fn is_needed_here(&self, now: Time) -> bool {
        self.near || now < self.needed
    }

    /// Tells whether its silence counts.
    pub fn is_conclusive(&self, now: Time) -> bool {
        self.is_close(now) && now.since(self.since) > MIN_WATCH
    }

    /// Tells whether it hasn't been told of this instance since it is watched closely.
    pub fn needs_first_heartbeat(&self) -> bool {
        self.heartbeat_sent < self.since
    }

    /// Tells whether it is a neighbour.
    pub fn is_neighbour(&self) -> bool {
        self.near
    }

    /// Watches it for a while.
    pub fn extend(&mut self, now: Time) {
        self.begin(now);
        self.needed = now + WATCH_TIME;
    }

    /// Takes note that the member watches this side.
    pub fn extend_for_peer(&mut self, now: Time) {
        self.begin(now);
        self.asked = now + WATCH_TIME;
    }

    /// Takes note of whether it is a neighbour.
    pub fn set_neighbour(&mut self, near: bool, now: Time) {
        if near {
            self.begin(now);
        }
        self.near = near;
    }

    fn begin(&mut self, now: Time) {
        if !self.is_close(now) {
            self.since = now;
        }
    }
}

/// Returns the time between two heartbeats to a member that isn't watched closely, in a fleet of `members`.
pub fn heartbeat_interval(members: usize) -> Span {
    let even = Span(members as u64 * 1_000_000 / RATE);
    even.min(LONGEST)
}

/// Chooses the members that an instance always watches closely: all, where they are few; else those of its data centre, and where
/// these are many, some, so that each has as many that watch it.
pub fn neighbours<'a>(
    own: &Instance,
    centre: &str,
    members: impl Iterator<Item = &'a Member>,
) -> HashSet<Instance> {
    let members: Vec<&Member> = members.collect();
    if members.len() < SMALL {
        let names = members.iter().map(|member| member.contact.name.clone());
        return names.collect();
    }
    let near = |member: &&&Member| member.live && member.centre == centre;
    let mut near: Vec<&Member> = members.iter().filter(near).copied().collect();
    near.sort_by_cached_key(|member| pair(own, &member.contact.name));
    let names = near.iter().map(|member| member.contact.name.clone());
    names.take(NEIGHBOURS).collect()
}

/// Draws the weight of a pair, the same for both.
fn pair(one: &Instance, other: &Instance) -> u64 {
    let (first, second) = (one.min(other), one.max(other));
    keyed_hash(0, &format!("{first} {second}"))
}
