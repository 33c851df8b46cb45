//! Catches up with the newest revision, from a peer or from the table, and polls the table's head.

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
    Config, //
};
use crate::{
    core::message::{
        Command,
        Completion, //
    },
    event::Code,
    prelude::*,
    table::wire::Row, //
};

/// The unit of the backoff after failures, which doubles with each one.
const BACKOFF_UNIT: Span = Span::millis(100);
/// How many times the backoff doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// An instance that isn't elected polls after this many poll periods without an announcement or a poll.
const SILENT_POLLS: u64 = 3;

/// The state of the catch-up.
#[derive(Debug)]
pub(super) struct Sync {
    pub(super) stage: Stage,
    /// The newest revision that is known to exist.
    pub(super) target: Revision,
    /// Changes up to this revision are announced inside the data centre once they are applied.
    pub(super) relay_up_to: Revision,
    /// Changes up to this revision are announced to all data centres once they are applied.
    pub(super) announce_up_to: Revision,
    /// Whether missing changes are no longer kept, so that all records have to be loaded.
    pub(super) gap: bool,
    /// Consecutive failures of the catch-up.
    pub(super) failures: u32,
    retry_at: Time,
    is_polling: bool,
    last_poll: Time,
    /// When an announcement or the result of a poll last arrived.
    last_contact: Time,
}

impl Sync {
    /// Creates the state before the first load; the first poll is delayed by `offset`.
    pub(super) fn new(offset: Span) -> Self {
        Self {
            stage: Stage::Idle,
            target: Revision::default(),
            relay_up_to: Revision::default(),
            announce_up_to: Revision::default(),
            gap: false,
            failures: 0,
            retry_at: Time::default(),
            is_polling: false,
            last_poll: Time::default() + offset,
            last_contact: Time::default() + offset,
        }
    }
}

impl Config {
    /// Raises the revision to catch up with.
    pub(super) fn raise_target(&mut self, revision: Revision) {
        self.sync.target = self.sync.target.max(revision);
    }

    /// Records that a peer sent an announcement, which shows that this instance isn't cut off.
    pub(super) fn record_announcement(&mut self) {
        self.sync.last_contact = self.now;
    }

    /// Polls the head if a poll is due, and starts a catch-up if one is needed and none is in progress.
    pub(super) fn advance_sync(&mut self) {
        if self.is_ready() && !self.sync.is_polling && self.is_poll_due() {
            self.sync.last_poll = self.now;
            self.sync.is_polling = self.read_head(Purpose::Poll);
            self.stats.polls += u64::from(self.sync.is_polling);
        }
        if !matches!(self.sync.stage, Stage::Idle) || self.now < self.sync.retry_at {
            return;
        }
        if !self.is_ready() || self.sync.gap {
            self.start_load();
        } else if self.revision() < self.sync.target {
            self.fetch_changes();
        }
    }

    /// Returns whether this instance has to poll the head: as the elected one of its data centre, or after a time
    /// without announcements.
    fn is_poll_due(&self) -> bool {
        let since = |time| self.now.since(time);
        let silent = self.poll_interval.times(SILENT_POLLS);
        if since(self.sync.last_poll) < self.poll_interval {
            return false;
        }
        // The elected instance may be partitioned, and announcements may be lost. Without its own polls, this instance
        // could apply an old configuration for good.
        since(self.sync.last_poll.max(self.sync.last_contact)) >= silent || self.is_elected()
    }

    /// Returns whether this instance polls for its data centre: it ranks first among the live ones.
    fn is_elected(&self) -> bool {
        let alive = self
            .peers
            .values()
            .filter(|p| p.alive && p.centre == self.centre);
        let names = alive.map(|peer| &peer.name).chain([&self.name]);
        propagation::rank_instances(&self.centre, names).first() == Some(&&self.name)
    }

    /// Reads the head of the table; returns whether the read was started.
    pub(super) fn read_head(&mut self, purpose: Purpose) -> bool {
        let read = Command::Read(row::HEAD_KEY.to_owned());
        self.start_command(purpose, read).is_some()
    }

    /// Reads a page of rows after a key; returns whether the scan was started.
    pub(super) fn scan(&mut self, prefix: &str, after: String) -> bool {
        let scan = Command::Scan {
            prefix: prefix.to_owned(),
            after,
            limit: PAGE_ROWS,
        };
        self.start_command(Purpose::Sync, scan).is_some()
    }

    /// Enters a stage if its command or call could be started; otherwise the catch-up fails.
    pub(super) fn enter_stage(&mut self, started: bool, stage: Stage) {
        match started {
            true => self.sync.stage = stage,
            false => self.fail_sync(),
        }
    }

    /// Ends the catch-up that is in progress; the next one waits for the backoff.
    pub(super) fn fail_sync(&mut self) {
        let sync = &mut self.sync;
        sync.stage = Stage::Idle;
        sync.failures = sync.failures.saturating_add(1);
        sync.retry_at = self.now + BACKOFF_UNIT.times(1 << sync.failures.min(MAX_DOUBLINGS));
    }

    /// Ends the catch-up that is in progress and resets the backoff.
    pub(super) fn finish_sync(&mut self) {
        self.sync.stage = Stage::Idle;
        self.sync.failures = 0;
    }

    /// Fetches the missing changes: from a peer first, to spare the table, and after each failure from the table and a
    /// peer in turn.
    fn fetch_changes(&mut self) {
        let after = self.revision();
        let ahead = self
            .most_advanced_peer()
            .filter(|peer| self.peers[peer].revision > after);
        match ahead {
            Some(peer) if self.sync.failures.is_multiple_of(2) => {
                let started = self.start_call(Purpose::Peer, peer, Call::Fetch { after });
                self.enter_stage(started.is_some(), Stage::Fetch);
            }
            _ => {
                let started = self.scan(row::CHANGE_PREFIX, row::change_key(after));
                self.enter_stage(started, Stage::Scan);
            }
        }
    }

    /// Returns the live peer with the highest revision, or one further down the order after failures.
    pub(super) fn most_advanced_peer(&self) -> Option<Instance> {
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

    /// Handles the completion of a poll.
    pub(super) fn on_poll_completion(&mut self, result: Completion) {
        self.sync.is_polling = false;
        if let Completion::Row(row) = result {
            self.sync.last_contact = self.now;
            // A slow poll may return an older head than the applied revision; it is ignored.
            match decode_head(row.as_ref()) {
                Some(head) if head > self.revision() => {
                    self.sync.relay_up_to = self.sync.relay_up_to.max(head);
                    self.raise_target(head);
                }
                _ => {}
            }
        }
    }

    /// Handles the completion of a command of the catch-up.
    pub(super) fn on_sync_completion(&mut self, result: Completion) {
        let stage = std::mem::replace(&mut self.sync.stage, Stage::Idle);
        match (stage, result) {
            (Stage::Head, Completion::Row(row)) => match decode_head(row.as_ref()) {
                Some(revision) => self.scan_records(Load::at(revision)),
                None => self.fail_sync(),
            },
            (Stage::Records(load), Completion::Rows(rows)) => self.on_record_rows(load, &rows),
            (Stage::HeadAfterRecords(load), Completion::Row(row)) => {
                match decode_head(row.as_ref()) {
                    Some(head) if head >= load.revision => self.replay_or_install(load, head),
                    _ => self.fail_sync(),
                }
            }
            (Stage::Changes(mut load, head), Completion::Rows(rows)) => {
                let before = load.revision;
                load.replay(rows.iter().filter_map(row::decode));
                match load.revision > before {
                    true => self.replay_or_install(load, head),
                    false => self.fail_sync(),
                }
            }
            (Stage::Scan, Completion::Rows(rows)) => {
                let changes = rows.iter().filter_map(row::decode).collect();
                if !self.apply_all(changes) {
                    self.sync.gap = self.revision() < self.sync.target;
                }
                self.finish_sync();
            }
            _ => self.fail_sync(),
        }
    }

    /// Handles the return of a call of the catch-up.
    pub(super) fn on_fetch_return(&mut self, result: Option<Return>) {
        let stage = std::mem::replace(&mut self.sync.stage, Stage::Idle);
        match (stage, result) {
            (Stage::Fetch, Some(Return::Changes(changes))) => match self.apply_all(changes) {
                true => self.finish_sync(),
                false => self.fail_sync(),
            },
            (Stage::Fetch, Some(Return::Gap)) => self.sync.gap = true,
            (Stage::Snapshot(peer, load), Some(Return::Page(page))) => {
                self.on_page(peer, load, page)
            }
            _ => self.fail_sync(),
        }
    }

    /// Applies the changes that follow the applied revision; returns whether there was one.
    pub(super) fn apply_all(&mut self, changes: Vec<Change>) -> bool {
        let before = self.revision();
        for change in &changes {
            self.apply(change);
        }
        self.revision() > before
    }

    /// Applies a change if it is the next revision, and marks it to be announced where that is due.
    pub(super) fn apply(&mut self, change: &Change) {
        let before = self.revision();
        if !self.applied.apply(change) {
            return;
        }
        if change.revision <= self.sync.announce_up_to {
            self.mark_for_all_centres(before);
        } else if change.revision <= self.sync.relay_up_to {
            self.mark_for_announcement(before);
        }
        let known = |entry: &crate::record::set::Entry| entry.record.has_known_schema();
        if !self.applied.set().get(&change.name).is_none_or(known) {
            self.log_event(Code::SchemaUnknown, change.name.to_string());
        }
    }
}

/// Returns the revision in the head's row: zero if there is no row yet, none if it can't be decoded.
fn decode_head(row: Option<&Row>) -> Option<Revision> {
    match row {
        None => Some(Revision::default()),
        Some(row) => row::decode::<Head>(row).map(|head| head.revision),
    }
}
