//! Writes deferred entries of the audit trail: those about malformed texts.
//!
//! A malformed text is refused without the table, so that the operator gets the answer even in an outage.

use std::collections::VecDeque;

use super::{
    ask,
    report::{
        Refusal,
        Report, //
    },
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
    event::Code,
    prelude::*,
    record::{
        self,
        fault::Fault,
        Name,
        MAX_TEXT_BYTES, //
    },
    table::wire::Group, //
};

/// The most entries that wait to be written.
const MAX_ENTRIES: usize = 64;

/// Entries that wait to be written.
#[derive(Debug, Default)]
pub(super) struct Trail {
    entries: VecDeque<audit::Entry>,
    /// How many of them are being written.
    writing: usize,
    retry_at: Time,
}

impl Config {
    /// Refuses a change whose text is malformed, and queues its entry in the audit trail unless too many wait.
    pub(super) fn refuse_malformed(
        &mut self,
        request: Request,
        edit: &ask::Edit,
        faults: Vec<Fault>,
    ) {
        let refusal = Refusal::Faulty { faults };
        let revision = self.revision();
        if edit.dry_run {
            let report = Report::Trial {
                revision,
                refusal: Some(refusal),
                confirmed: false,
            };
            return self.report(request, report);
        }
        match self.trail.entries.len() < MAX_ENTRIES {
            true => {
                let name = edit.act.name().cloned();
                let name = name.or_else(|| edit.act.text().and_then(record::parse_name));
                let entry = make_entry(&self.name, edit, name, None, None, refusal.lines());
                self.trail.entries.push_back(entry);
            }
            false => self.stats.dropped += 1,
        }
        self.log_event(
            Code::ChangeRefused,
            format!("{} by {}", edit.operation, edit.operator),
        );
        self.report(request, Report::Refused(refusal));
    }

    /// Writes all waiting entries, unless a write is in progress.
    pub(super) fn advance_trail(&mut self) {
        let trail = &self.trail;
        if trail.writing > 0 || trail.entries.is_empty() || self.now < trail.retry_at {
            return;
        }
        let group = Group {
            conditions: Vec::new(),
            writes: trail
                .entries
                .iter()
                .flat_map(audit::Entry::to_writes)
                .collect(),
        };
        let count = trail.entries.len();
        if self
            .start_command(Purpose::Trail, Command::Commit(group))
            .is_some()
        {
            self.trail.writing = count;
        }
    }

    /// Removes the entries that were written; after a failure they are written again later.
    pub(super) fn on_trail_completion(&mut self, result: Completion) {
        let written = std::mem::take(&mut self.trail.writing);
        match result {
            Completion::Verdict(_) => drop(self.trail.entries.drain(..written)),
            _ => self.trail.retry_at = self.now + Span::seconds(1),
        }
    }
}

/// Creates an entry of the audit trail; a text longer than [`MAX_TEXT_BYTES`] is truncated.
pub(super) fn make_entry(
    instance: &Instance,
    edit: &ask::Edit,
    record: Option<Name>,
    revision: Option<Revision>,
    before: Option<String>,
    refused: Vec<String>,
) -> audit::Entry {
    let truncate = |text: &str| text.chars().scan(0, take_while_short).collect();
    audit::Entry {
        at_ms: edit.at_ms,
        operation: edit.operation,
        operator: edit.operator.clone(),
        from: edit.from.clone(),
        instance: instance.clone(),
        action: edit.act.action(),
        record,
        revision,
        before,
        after: edit.act.text().map(truncate),
        refused,
    }
}

/// Returns a character while the text up to it has at most [`MAX_TEXT_BYTES`]; `bytes` counts those so far.
fn take_while_short(bytes: &mut usize, c: char) -> Option<char> {
    *bytes += c.len_utf8();
    (*bytes <= MAX_TEXT_BYTES).then_some(c)
}
