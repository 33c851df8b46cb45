//! Which instances read the list of endpoints from the store, and how changes reach the others.
//!
//! Endpoints renew their rows every second or two, so each read carries many rows without a change. In a large fleet it would
//! cost too much traffic if every instance read them. In each data centre a few instances read, and send changes to the others.

use std::{
    cmp::Reverse,
    collections::{
        HashSet,
        VecDeque, //
    }, //
};

use super::{
    id::keyed_hash,
    member::Member,
    message::{
        LogRecord,
        Message,
        Output,
        Roster,
        RosterChange, //
    },
    owner::Effects,
    Dispatcher, //
};
use crate::prelude::*;

/// The number of instances in a data centre that read. With more than one, the others get changes while one is cut off.
const READERS: usize = 2;

/// How long after its last read an instance counts as a reader. It's longer than the interval between reads, and short enough
/// for another instance to start reading before tasks may no longer go to a leaving endpoint.
const READ_VALIDITY: Span = Span::millis(1_200);

/// The extra delay of each further instance before it starts to read when there are too few readers. Instances that are preferred
/// to it have announced by then that they read.
const START_DELAY_STEP: Span = Span::millis(100);

/// The longest delay before an instance starts to read, however many are preferred to it.
const MAX_START_DELAY: Span = Span::millis(400);

/// How long a member's list may stay at a version although later changes were sent to it. After that some of them were lost, and
/// the changes are sent again.
const CHANGE_TIMEOUT: Span = Span::seconds(1);

/// Decides whether this instance reads the list of endpoints from the store.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// When it last read the list, or `None` if the last call failed.
    last_read: Option<Time>,
    /// Whether it reads.
    reads: bool,
    /// Since when there are too few readers among the instances that are preferred to it.
    too_few_since: Option<Time>,
}

impl Reader {
    /// Records the result of a read.
    pub(super) fn on_read(&mut self, succeeded: bool, now: Time) {
        self.last_read = succeeded.then_some(now);
    }

    /// Returns whether it has read recently, which makes it count as a reader.
    pub(super) fn has_read_recently(&self, now: Time) -> bool {
        self.last_read
            .is_some_and(|at| now.since(at) < READ_VALIDITY)
    }

    /// Decides whether to read, when `ahead` other instances are preferred to this one and `reading` of them read.
    fn decide(&mut self, ahead: usize, reading: usize, now: Time) {
        if reading >= READERS {
            self.too_few_since = None;
            self.reads = false;
            return;
        }
        let since = *self.too_few_since.get_or_insert(now);
        let delay = Span(START_DELAY_STEP.0 * (ahead + 1).saturating_sub(READERS) as u64);
        self.reads |= now.since(since) >= delay.min(MAX_START_DELAY);
    }
}

/// The changes of the list of endpoints that this instance has read, each after the one before.
///
/// Instances read the list at different times when they start. The changes let a reader send each of them what it lacks.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<RosterChange>,
    /// The number of endpoints in `changes`.
    size: usize,
}

impl History {
    /// Adds changes. Keeps at most `limit` endpoints, since a longer history would cost more than the whole list.
    fn add(&mut self, changes: Vec<RosterChange>, limit: usize) {
        for change in changes {
            if self
                .changes
                .back()
                .is_some_and(|c| c.version != change.after)
            {
                self.changes.clear();
                self.size = 0;
            }
            self.size += change_size(&change);
            self.changes.push_back(change);
        }
        while self.size > limit {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.size -= change_size(&oldest);
        }
    }

    /// Returns whether it holds all changes after a version of the list.
    fn reaches(&self, version: u64) -> bool {
        self.changes.front().is_some_and(|c| c.after <= version)
    }

    /// Returns the changes after a version of the list. The last `new` changes are
    /// included if they end at that version: the list may change twice at one version.
    fn since(&self, version: u64, new: usize) -> impl Iterator<Item = &RosterChange> {
        let first_new = self.changes.len().saturating_sub(new);
        let changes = self.changes.iter().enumerate();
        let is_missing = move |(i, change): &(usize, &RosterChange)| {
            change.version > version || change.version == version && *i >= first_new
        };
        changes.filter(is_missing).map(|(_, change)| change)
    }
}

/// Returns the number of endpoints in a change.
fn change_size(change: &RosterChange) -> usize {
    change.changed.len() + change.removed.len()
}

impl Roster {
    /// Returns the list with a change applied, or `None` if earlier changes are missing or the list is newer than the change.
    pub fn with_change(&self, change: &RosterChange) -> Option<Self> {
        if self.version < change.after || self.version > change.version {
            return None;
        }
        let changed = change.changed.iter().map(|listing| &listing.id);
        let replaced: HashSet<&Endpoint> = changed.chain(&change.removed).collect();
        let kept = self.endpoints.iter();
        let kept = kept.filter(|listing| !replaced.contains(&listing.id));
        Some(Self {
            version: change.version,
            endpoints: kept.chain(&change.changed).cloned().collect(),
        })
    }
}

impl Dispatcher {
    /// Returns whether this instance reads the list of endpoints from the store. It does until it has a list.
    pub fn reads_roster(&self) -> bool {
        !self.has_roster || self.reader.reads
    }

    /// Decides whether to read the list of endpoints, by the readers that members of the data centre announce.
    pub(super) fn decide_reading(&mut self, now: Time, out: &mut Effects) {
        let local = self.members.available();
        let local = local.filter(|member| member.centre == self.identity.centre);
        let own = preference(self.identity.share, &self.identity.contact.name);
        let is_ahead = |member: &&Member| {
            let status = member.status.as_ref();
            status.is_some_and(|s| preference(s.share, &member.contact.name) < own)
        };
        let ahead: Vec<&Member> = local.filter(is_ahead).collect();
        let is_reading = |m: &&&Member| m.status.as_ref().is_some_and(|status| status.reading);
        let reading = ahead.iter().filter(is_reading).count();
        let (ahead, was_reading) = (ahead.len(), self.reader.reads);
        self.reader.decide(ahead, reading, now);
        if self.reader.reads != was_reading {
            let event = if was_reading {
                "reading_left"
            } else {
                "reading_begun"
            };
            let record = LogRecord::new(event).with("ahead", ahead);
            out.outputs
                .push(Output::Log(record.with("reading", reading)));
        }
    }

    /// Sends the members of the data centre that don't read the list of endpoints the changes that they lack.
    pub(super) fn send_roster_changes(
        &mut self,
        changes: Vec<RosterChange>,
        now: Time,
        out: &mut Effects,
    ) {
        let new = changes.len();
        self.history.add(changes, self.roster.endpoints.len());
        for member in self.members.live_mut() {
            let status = member.status.as_ref();
            let known = status.filter(|status| !status.reading && status.roster > 0);
            let Some(known) = known.filter(|_| member.centre == self.identity.centre) else {
                continue;
            };
            let is_stuck = now.since(member.roster_advanced_at) >= CHANGE_TIMEOUT;
            let version = match is_stuck {
                true => known.roster,
                false => known.roster.max(member.roster_sent),
            };
            if !self.history.reaches(version) {
                continue;
            }
            for change in self.history.since(version, new) {
                let message = Message::RosterChange(Box::new(change.clone()));
                out.messages.push((member.contact.clone(), message));
            }
            member.roster_sent = self.roster.version;
        }
    }
}

/// Returns the rank of an instance as a reader, the lowest first. Instances with a larger processor share are preferred: the rows fill
/// the link of a weak machine.
fn preference(share: u32, name: &Instance) -> (Reverse<u32>, u64) {
    (Reverse(share), keyed_hash(0, name.as_str()))
}
