//! Who reads the list of endpoints from the store, and how its changes reach the others.
//!
//! Every endpoint writes its row anew each second or two, and a read brings all that were written since the last one. Read by each of
//! 147 instances, the rows of 1,100 endpoints were 29 MB a second in all, of which next to nothing had a meaning. In a data
//! centre two instances read them, and tell the others what has changed.

use std::{
    cmp::Reverse,
    collections::HashMap, //
};

use super::{
    id::keyed_hash,
    member::Member,
    message::{
        Listing,
        Message,
        Output,
        Record,
        Roster,
        RosterChange, //
    },
    owner::Effects,
    Dispatcher, //
};
use crate::prelude::*;

/// Instances of a data centre that read: while one of them finds the store, or itself, cut off, the others lose nothing.
const READERS: usize = 2;

/// How long after its last read an instance counts as one that reads: somewhat longer than from one read to the next. An
/// endpoint that leaves may get tasks for two seconds after it said so, and another instance must have begun to read by then.
const FRESH: Span = Span::millis(1_200);

/// By how much later each further instance begins to read where too few do: those ahead of it have begun by then, and
/// said so.
const TURN: Span = Span::millis(100);

/// After which it begins, however many are ahead of it.
const LAST_TURN: Span = Span::millis(400);

/// Endpoints in one change at the most, some 100 bytes each: who lacks more asks for the whole list in pieces, so that the others
/// aren't sent it all at once.
const LARGEST: usize = 200;

/// Whether this instance reads the list of endpoints from the store.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// When it has read last, unless a later call failed.
    read: Option<Time>,
    /// Whether it is to read.
    due: bool,
    /// Since when too few of those ahead of it read.
    lacking: Option<Time>,
}

impl Reader {
    /// Takes note of how a call to the store ended.
    pub(super) fn on_read(&mut self, done: bool, now: Time) {
        self.read = done.then_some(now);
    }

    /// Tells whether it has read lately.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.read.is_some_and(|at| now.since(at) < FRESH)
    }

    /// Decides whether to read, where `ahead` others would sooner and `reading` of them do.
    fn decide(&mut self, ahead: usize, reading: usize, now: Time) {
        if reading >= READERS {
            self.lacking = None;
            self.due = false;
            return;
        }
        let since = *self.lacking.get_or_insert(now);
        let turn = Span(TURN.0 * (ahead + 1).saturating_sub(READERS) as u64);
        self.due |= now.since(since) >= turn.min(LAST_TURN);
    }
}

impl Roster {
    /// Tells what has changed since an earlier version of the list.
    pub fn changes_since(&self, earlier: &Self) -> RosterChange {
        let known: HashMap<&Endpoint, &Listing> =
            earlier.endpoints.iter().map(|l| (&l.id, l)).collect();
        let changed = self.endpoints.iter();
        let changed = changed.filter(|listing| known.get(&listing.id) != Some(listing));
        let listed: HashMap<&Endpoint, &Listing> =
            self.endpoints.iter().map(|l| (&l.id, l)).collect();
        let gone = earlier.endpoints.iter().map(|listing| &listing.id);
        RosterChange {
            after: earlier.version,
            version: self.version,
            changed: changed.cloned().collect(),
            removed: gone
                .filter(|id| !listed.contains_key(id))
                .cloned()
                .collect(),
        }
    }

    /// Returns the list with a change, unless it lacks what came before the change, or has newer ones.
    pub fn with_change(&self, change: &RosterChange) -> Option<Self> {
        if self.version < change.after || self.version > change.version {
            return None;
        }
        let replaced = |id: &Endpoint| change.changed.iter().any(|listing| listing.id == *id);
        let kept = self.endpoints.iter();
        let kept = kept.filter(|l| !change.removed.contains(&l.id) && !replaced(&l.id));
        Some(Self {
            version: change.version,
            endpoints: kept.chain(&change.changed).cloned().collect(),
        })
    }
}

impl Dispatcher {
    /// Tells whether this instance is to read the list of endpoints from the store.
    pub fn reads_roster(&self) -> bool {
        !self.has_roster || self.reading.due
    }

    /// Decides whether to read the list of endpoints.
    pub(super) fn decide_reading(&mut self, now: Time, out: &mut Effects) {
        let near = self.members.available();
        let near = near.filter(|member| member.centre == self.identity.centre);
        let own = preference(self.identity.share, &self.identity.contact.name);
        let is_ahead = |member: &&Member| {
            let status = member.status.as_ref();
            status.is_some_and(|s| preference(s.share, &member.contact.name) < own)
        };
        let ahead: Vec<&Member> = near.filter(is_ahead).collect();
        let reads = |m: &&&Member| m.status.as_ref().is_some_and(|status| status.reading);
        let reading = ahead.iter().filter(reads).count();
        let (ahead, due) = (ahead.len(), self.reading.due);
        self.reading.decide(ahead, reading, now);
        if self.reading.due != due {
            let event = if due { "reading_left" } else { "reading_begun" };
            let record = Record::new(event).with("ahead", ahead);
            out.outputs
                .push(Output::Log(record.with("reading", reading)));
        }
    }

    /// Tells the members of the data centre that don't read what has changed on the list of endpoints.
    pub(super) fn send_roster_change(&self, earlier: &Roster, out: &mut Effects) {
        let change = self.roster.changes_since(earlier);
        if change.changed.len() + change.removed.len() > LARGEST {
            return;
        }
        let follows = |member: &&Member| {
            let status = member.status.as_ref();
            member.centre == self.identity.centre && status.is_some_and(|s| !s.reading)
        };
        for member in self.members.live().filter(follows) {
            let message = Message::RosterChange(Box::new(change.clone()));
            out.messages.push((member.contact.clone(), message));
        }
    }
}

/// Orders the instances of a data centre: the strongest read first, since the rows fill a weak machine's link.
fn preference(share: u32, name: &Instance) -> (Reverse<u32>, u64) {
    (Reverse(share), keyed_hash(0, name.as_str()))
}
