//! Loads all records, without their history, from the table or from a peer.

use super::{
    call::{
        Call,
        Page, //
    },
    row::{
        self,
        Stored,
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
    event::Code,
    prelude::*,
    table::wire::Row, //
};

impl Config {
    /// Starts a load: from the table first, and after each failure from a peer and the table in turn.
    pub(super) fn start_load(&mut self) {
        let peer = match self.sync.failures % 2 {
            0 => None,
            _ => self.most_advanced_peer(),
        };
        match peer {
            Some(peer) => self.request_page(peer, Load::default()),
            None => {
                let started = self.read_head(Purpose::Sync);
                self.enter_stage(started, Stage::Head);
            }
        }
    }

    /// Reads the next page of records from the table.
    pub(super) fn scan_records(&mut self, load: Load) {
        let last = load.last.as_ref().map(row::record_key);
        let started = self.scan(row::RECORD_PREFIX, last.unwrap_or_default());
        self.enter_stage(started, Stage::Records(load));
    }

    /// Adds a page of records from the table to a load.
    pub(super) fn on_record_rows(&mut self, mut load: Load, rows: &[Row]) {
        // A row that can't be decoded is still a record in force. Skipping it would remove it here, so the load fails
        // and the applied configuration stays.
        let Some(records) = rows
            .iter()
            .map(row::decode)
            .collect::<Option<Vec<Stored>>>()
        else {
            return self.fail_sync();
        };
        records.into_iter().for_each(|stored| load.add(stored));
        if rows.len() >= PAGE_ROWS as usize {
            return self.scan_records(load);
        }
        let started = self.read_head(Purpose::Sync);
        self.enter_stage(started, Stage::HeadAfterRecords(load));
    }

    /// Replays the changes up to `head` on a load, then installs it.
    pub(super) fn replay_or_install(&mut self, load: Load, head: Revision) {
        // Changes may have been committed between the pages, so later pages can be newer than earlier ones. Replaying
        // all changes from the head before the first page to the head after the last one makes the records consistent.
        if load.revision < head {
            let started = self.scan(row::CHANGE_PREFIX, row::change_key(load.revision));
            return self.enter_stage(started, Stage::Changes(load, head));
        }
        self.install(load);
        // The table is authoritative: a higher revision that a peer reported is dropped until it is reported again.
        self.sync.target = self.revision();
        self.sync.gap = false;
        self.finish_sync();
    }

    /// Puts a load in force, unless the applied configuration is as new; returns whether it did.
    fn install(&mut self, load: Load) -> bool {
        let before = self.revision();
        let installed = self.applied.install(load.revision, load.set);
        if installed && before < self.sync.relay_up_to {
            self.mark_for_announcement(before);
        }
        if installed {
            self.warn_unknown_schemas();
        }
        installed
    }

    /// Requests the next page of a snapshot from a peer.
    fn request_page(&mut self, peer: Instance, load: Load) {
        let after = load.last.clone();
        let started = self.start_call(Purpose::Peer, peer.clone(), Call::Snapshot { after });
        self.enter_stage(started.is_some(), Stage::Snapshot(peer, load));
    }

    /// Adds a page of a peer's snapshot to a load, and installs it after the last one.
    pub(super) fn on_page(&mut self, peer: Instance, mut load: Load, page: Page) {
        if load.last.is_none() {
            load.revision = page.revision;
        }
        // Pages of different revisions would give an inconsistent configuration.
        if load.revision != page.revision || (page.more && page.records.is_empty()) {
            return self.fail_sync();
        }
        page.records.into_iter().for_each(|stored| load.add(stored));
        if page.more {
            return self.request_page(peer, load);
        }
        match self.install(load) {
            true => {
                self.sync.gap = false;
                self.finish_sync();
            }
            false => self.fail_sync(),
        }
    }

    /// Logs the records whose schema this version doesn't know.
    fn warn_unknown_schemas(&mut self) {
        let unknown = self
            .applied
            .set()
            .iter()
            .filter(|(_, e)| !e.record.has_known_schema());
        let names: Vec<String> = unknown.map(|(name, _)| name.to_string()).collect();
        if !names.is_empty() {
            self.log_event(Code::SchemaUnknown, names.join(", "));
        }
    }
}
