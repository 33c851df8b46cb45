//! Loads the whole configuration, from the table or from a peer: the records, never their history.

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
    Config,
};
use crate::{
    event::Code,
    prelude::*,
    table::wire::Row, //
};

impl Config {
    /// Loads everything: from the table first, and by turns from the peer with the highest revision.
    pub(super) fn start_load(&mut self) {
        let peer = match self.sync.failures % 2 {
            0 => None,
            _ => self.highest(),
        };
        match peer {
            Some(peer) => self.ask_page(peer, Load::default()),
            None => {
                let started = self.read_head(Purpose::Sync);
                self.enter(started, Stage::Head);
            }
        }
    }

    pub(super) fn scan_records(&mut self, load: Load) {
        let last = load.last.as_ref().map(row::record_key);
        let started = self.scan(row::RECORD_PREFIX, last.unwrap_or_default());
        self.enter(started, Stage::Records(load));
    }

    pub(super) fn loaded_rows(&mut self, mut load: Load, rows: &[Row]) {
        // A row that can't be read is a record that is in force. Left out, it would be withdrawn here without anyone's
        // wish; so the load fails, and what is applied stays.
        let Some(records) = rows
            .iter()
            .map(row::decode)
            .collect::<Option<Vec<Stored>>>()
        else {
            return self.failed();
        };
        records.into_iter().for_each(|stored| load.add(stored));
        if rows.len() >= PAGE_ROWS as usize {
            return self.scan_records(load);
        }
        let started = self.read_head(Purpose::Sync);
        self.enter(started, Stage::Again(load));
    }

    /// Replays the changes up to `head` on a load, then puts it in force.
    pub(super) fn replay_or_install(&mut self, load: Load, head: Revision) {
        // The pages were read one after another while changes may have come in between, so that a later page can be
        // newer than an earlier one. Every record that changed since the first read of the head is written once more
        // by the replay up to a head that was read after the last page; what it leaves didn't change in between.
        if load.revision < head {
            let started = self.scan(row::CHANGE_PREFIX, row::change_key(load.revision));
            return self.enter(started, Stage::Changes(load, head));
        }
        self.install(load);
        // The table is what counts: a higher revision that was heard of has to be heard of again.
        self.sync.target = self.revision();
        self.sync.gap = false;
        self.succeeded();
    }

    fn install(&mut self, load: Load) -> bool {
        let before = self.revision();
        let installed = self.applied.install(load.revision, load.set);
        if installed && before < self.sync.relay {
            self.note_change(before);
        }
        if installed {
            self.warn_unknown();
        }
        installed
    }

    fn ask_page(&mut self, peer: Instance, load: Load) {
        let after = load.last.clone();
        let started = self.call(Purpose::Peer, peer.clone(), Call::Snapshot { after });
        self.enter(started.is_some(), Stage::Snapshot(peer, load));
    }

    pub(super) fn paged(&mut self, peer: Instance, mut load: Load, page: Page) {
        if load.last.is_none() {
            load.revision = page.revision;
        }
        // Pages of two revisions don't make one configuration.
        if load.revision != page.revision || (page.more && page.records.is_empty()) {
            return self.failed();
        }
        page.records.into_iter().for_each(|stored| load.add(stored));
        if page.more {
            return self.ask_page(peer, load);
        }
        match self.install(load) {
            true => {
                self.sync.gap = false;
                self.succeeded();
            }
            false => self.failed(),
        }
    }

    fn warn_unknown(&mut self) {
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
