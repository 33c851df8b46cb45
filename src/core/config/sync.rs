//! Catches up with the table, or with a peer while the table can't be reached.

use super::{
    call::{
        Call,
        Return, //
    },
    propagation,
    row::{
        self,
        Change,
        Head,
        PAGE_ROWS, //
    },
    state::{
        Load,
        Purpose,
        Stage, //
    },
    Config,
};
use crate::{
    core::message::{
        Command,
        Completion, //
    },
    event::Code,
    prelude::*,
    table::wire::Row,
};

/// The wait after a first failure; it doubles with each further one.
const BACKOFF: Span = Span::millis(100);
/// How often the wait doubles at most.
const DOUBLINGS: u32 = 4;
/// After how many polls without a notification an instance that isn't elected polls for itself.
const SILENT_POLLS: u64 = 3;

/// How far the instance has got with catching up.
#[derive(Debug)]
pub(super) struct Sync {
    pub(super) stage: Stage,
    /// The newest revision that was heard of.
    pub(super) target: Revision,
    /// The newest revision that is to be passed on inside the data centre.
    pub(super) relay: Revision,
    /// The newest revision of which the other data centres are to be notified too.
    pub(super) outward: Revision,
    /// Whether changes are missing that can't be had one by one any more.
    pub(super) gap: bool,
    pub(super) failures: u32,
    retry: Time,
    polling: bool,
    polled: Time,
    notified: Time,
}

impl Sync {
    pub(super) fn new(offset: Span) -> Self {
        Self {
            stage: Stage::Idle,
            target: Revision::default(),
            relay: Revision::default(),
            outward: Revision::default(),
            gap: false,
            failures: 0,
            retry: Time::default(),
            polling: false,
            polled: Time::default() + offset,
            notified: Time::default() + offset,
        }
    }
}

impl Config {
    /// Notes that a revision exists.
    pub(super) fn aim(&mut self, revision: Revision) {
        self.sync.target = self.sync.target.max(revision);
    }

    /// Notes that a peer sent an announcement, so that this instance is not cut off.
    pub(super) fn note_notified(&mut self) {
        self.sync.notified = self.now;
    }

    pub(super) fn proceed_sync(&mut self) {
        if self.is_ready() && !self.sync.polling && self.due() {
            self.sync.polled = self.now;
            self.sync.polling = self.read_head(Purpose::Poll);
            self.stats.polls += u64::from(self.sync.polling);
        }
        if !matches!(self.sync.stage, Stage::Idle) || self.now < self.sync.retry {
            return;
        }
        if !self.is_ready() || self.sync.gap {
            self.start_load();
        } else if self.revision() < self.sync.target {
            self.start_changes();
        }
    }

    /// Tells whether the head is to be polled: by one instance in each data centre, and by one that is not notified.
    fn due(&self) -> bool {
        let since = |time| self.now.since(time);
        let silent = self.poll.times(SILENT_POLLS);
        if since(self.sync.polled) < self.poll {
            return false;
        }
        // The elected instance may be cut off without anyone's noticing, and announcements may be lost. An instance
        // that trusted in both would then apply an old configuration for good; so it looks for itself after a while.
        since(self.sync.polled.max(self.sync.notified)) >= silent || self.elected()
    }

    fn elected(&self) -> bool {
        let alive = self
            .peers
            .values()
            .filter(|p| p.alive && p.centre == self.centre);
        let names = alive.map(|peer| &peer.name).chain([&self.name]);
        propagation::rank_instances(&self.centre, names).first() == Some(&&self.name)
    }

    pub(super) fn read_head(&mut self, purpose: Purpose) -> bool {
        let read = Command::Read(row::HEAD_KEY.to_owned());
        self.operate(purpose, read).is_some()
    }

    pub(super) fn scan(&mut self, prefix: &str, after: String) -> bool {
        let scan = Command::Scan {
            prefix: prefix.to_owned(),
            after,
            limit: PAGE_ROWS,
        };
        self.operate(Purpose::Sync, scan).is_some()
    }

    /// Enters a stage, where its operation or call could be started.
    pub(super) fn enter(&mut self, started: bool, stage: Stage) {
        match started {
            true => self.sync.stage = stage,
            false => self.failed(),
        }
    }

    pub(super) fn failed(&mut self) {
        let sync = &mut self.sync;
        sync.stage = Stage::Idle;
        sync.failures = sync.failures.saturating_add(1);
        sync.retry = self.now + BACKOFF.times(1 << sync.failures.min(DOUBLINGS));
    }

    pub(super) fn succeeded(&mut self) {
        self.sync.stage = Stage::Idle;
        self.sync.failures = 0;
    }

    /// Gets the changes that are missing: from a peer first, which costs the table nothing, and by turns from the table.
    fn start_changes(&mut self) {
        let after = self.revision();
        let ahead = self
            .highest()
            .filter(|peer| self.peers[peer].revision > after);
        match ahead {
            Some(peer) if self.sync.failures.is_multiple_of(2) => {
                let started = self.call(Purpose::Peer, peer, Call::Fetch { after });
                self.enter(started.is_some(), Stage::Fetch);
            }
            _ => {
                let started = self.scan(row::CHANGE_PREFIX, row::change_key(after));
                self.enter(started, Stage::Scan);
            }
        }
    }

    /// Returns the peer with the highest revision; after failures the next one.
    pub(super) fn highest(&self) -> Option<Instance> {
        let mut alive: Vec<_> = self.peers.values().filter(|peer| peer.alive).collect();
        alive.sort_by(|a, b| {
            b.revision
                .cmp(&a.revision)
                .then_with(|| a.name.cmp(&b.name))
        });
        let turn = self.sync.failures as usize / 2;
        let peer = alive.get(turn % alive.len().max(1))?;
        Some(peer.name.clone())
    }

    pub(super) fn polled(&mut self, result: Completion) {
        self.sync.polling = false;
        if let Completion::Row(row) = result {
            self.sync.notified = self.now;
            // A poll that was slow may carry an older head than what is applied: nothing is to be done then.
            match head(row.as_ref()) {
                Some(head) if head > self.revision() => {
                    self.sync.relay = self.sync.relay.max(head);
                    self.aim(head);
                }
                _ => {}
            }
        }
    }

    pub(super) fn synced(&mut self, result: Completion) {
        let stage = std::mem::replace(&mut self.sync.stage, Stage::Idle);
        match (stage, result) {
            (Stage::Head, Completion::Row(row)) => match head(row.as_ref()) {
                Some(revision) => self.scan_records(Load::at(revision)),
                None => self.failed(),
            },
            (Stage::Records(load), Completion::Rows(rows)) => self.loaded_rows(load, &rows),
            (Stage::Again(load), Completion::Row(row)) => match head(row.as_ref()) {
                Some(head) if head >= load.revision => self.replay_or_install(load, head),
                _ => self.failed(),
            },
            (Stage::Changes(mut load, head), Completion::Rows(rows)) => {
                let before = load.revision;
                load.replay(rows.iter().filter_map(row::decode));
                match load.revision > before {
                    true => self.replay_or_install(load, head),
                    false => self.failed(),
                }
            }
            (Stage::Scan, Completion::Rows(rows)) => {
                let changes = rows.iter().filter_map(row::decode).collect();
                if !self.apply_all(changes) {
                    self.sync.gap = self.revision() < self.sync.target;
                }
                self.succeeded();
            }
            _ => self.failed(),
        }
    }

    pub(super) fn fetched(&mut self, result: Option<Return>) {
        let stage = std::mem::replace(&mut self.sync.stage, Stage::Idle);
        match (stage, result) {
            (Stage::Fetch, Some(Return::Changes(changes))) => match self.apply_all(changes) {
                true => self.succeeded(),
                false => self.failed(),
            },
            (Stage::Fetch, Some(Return::Gap)) => self.sync.gap = true,
            (Stage::Snapshot(peer, load), Some(Return::Page(page))) => self.paged(peer, load, page),
            _ => self.failed(),
        }
    }

    /// Puts those changes in force that follow on what is applied; tells whether there was one.
    pub(super) fn apply_all(&mut self, changes: Vec<Change>) -> bool {
        let before = self.revision();
        for change in &changes {
            self.apply(change);
        }
        self.revision() > before
    }

    pub(super) fn apply(&mut self, change: &Change) {
        let before = self.revision();
        if !self.applied.apply(change) {
            return;
        }
        if change.revision <= self.sync.outward {
            self.note_commit(before);
        } else if change.revision <= self.sync.relay {
            self.note_change(before);
        }
        let known = |entry: &crate::record::set::Entry| entry.record.has_known_schema();
        if !self.applied.set().get(&change.name).is_none_or(known) {
            self.log_event(Code::SchemaUnknown, change.name.to_string());
        }
    }
}

/// Returns the revision of the head, which is zero where there is no row yet; none where it can't be read.
fn head(row: Option<&Row>) -> Option<Revision> {
    match row {
        None => Some(Revision::default()),
        Some(row) => row::decode::<Head>(row).map(|head| head.revision),
    }
}
