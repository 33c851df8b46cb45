//! Answers operators' queries.

use std::sync::Arc;

use super::{
    ask::{
        self,
        Ask, //
    },
    report::{
        Replica,
        Report,
        Rollout,
        View, //
    },
    row,
    state::Purpose,
    Config, //
};
use crate::{
    audit,
    core::message::{
        Command,
        Completion,
        Request, //
    },
    prelude::*,
    record::{
        set::Entry,
        Kind,
        Name, //
    }, //
};

/// The most entries of the audit trail in one answer.
const AUDIT_PAGE: u32 = 100;

impl Config {
    /// Handles a request of an operator: answers it, or starts what it needs.
    pub(super) fn on_ask(&mut self, request: Request, ask: Ask) {
        let report = match ask {
            Ask::Edit(edit) => return self.queue_edit(request, edit),
            Ask::Audit(audit) => return self.read_audit(request, audit),
            _ if !self.is_ready() => Report::Unready,
            Ask::List(kind) => self.list_records(kind),
            Ask::Show(record) => match self.applied.set().get(&record) {
                Some(entry) => Report::Record(view_of(entry)),
                None => Report::Absent { record },
            },
            Ask::Rollout(record) => self.report_rollout(record),
            Ask::Instances => Report::Instances {
                instances: self.list_replicas(self.revision()),
            },
        };
        self.report(request, report);
    }

    fn list_records(&self, kind: Option<Kind>) -> Report {
        let entries = self.applied.set().iter().map(|(_, entry)| entry);
        let selected = entries.filter(|e| kind.is_none_or(|kind| e.record.name.kind == kind));
        Report::Records {
            revision: self.revision(),
            records: selected.map(view_of).collect(),
        }
    }

    fn report_rollout(&self, record: Name) -> Report {
        let Some(entry) = self.applied.set().get(&record) else {
            return Report::Absent { record };
        };
        let since = entry.revision;
        let instances = self.list_replicas(since);
        Report::Rollout(Rollout {
            record,
            revision: since,
            everywhere: instances
                .iter()
                .all(|replica| replica.in_force || !replica.alive),
            instances,
        })
    }

    /// Returns the revision that each instance applies, and whether it includes `since`.
    fn list_replicas(&self, since: Revision) -> Vec<Replica> {
        let own = Replica {
            instance: self.name.clone(),
            centre: self.centre.clone(),
            revision: self.revision(),
            alive: true,
            in_force: self.revision() >= since,
        };
        let others = self.peers.values().map(|peer| Replica {
            instance: peer.name.clone(),
            centre: peer.centre.clone(),
            revision: peer.revision,
            alive: peer.alive,
            in_force: peer.revision >= since,
        });
        [own].into_iter().chain(others).collect()
    }

    /// Starts to read a page of the audit trail.
    fn read_audit(&mut self, request: Request, audit: ask::Audit) {
        let prefix = audit::key_prefix(audit.record.as_ref());
        let first = || audit::key_suffix(audit.from_ms, None);
        let after = prefix.clone() + &audit.after.clone().unwrap_or_else(first);
        let scan = Command::Scan {
            prefix,
            after,
            limit: AUDIT_PAGE,
        };
        if self
            .start_command(Purpose::Audit(request, audit), scan)
            .is_none()
        {
            self.report(request, Report::Busy);
        }
    }

    /// Reports the page of the audit trail that was read.
    pub(super) fn on_audit_completion(
        &mut self,
        request: Request,
        audit: &ask::Audit,
        result: Completion,
    ) {
        let Completion::Rows(rows) = result else {
            return self.report(request, Report::Unavailable);
        };
        let in_range = |entry: &audit::Entry| audit.to_ms.is_none_or(|to| entry.at_ms <= to);
        let mut entries: Vec<audit::Entry> = rows.iter().filter_map(row::decode).collect();
        // There may be more if the page is full and its last entry is still in the requested time.
        let more = rows.len() >= AUDIT_PAGE as usize && entries.last().is_some_and(in_range);
        entries.retain(in_range);
        let last = entries.last().filter(|_| more);
        let after = last.map(|entry| audit::key_suffix(entry.at_ms, Some(entry.operation)));
        self.report(request, Report::Audit { entries, after });
    }
}

fn view_of(entry: &Entry) -> View {
    let record = Arc::clone(&entry.record);
    let value = serde_json::from_str(&record.text);
    View {
        name: record.name.clone(),
        revision: entry.revision,
        known: record.has_known_schema(),
        record: value.unwrap_or_else(|_| record.text.as_str().into()),
    }
}
