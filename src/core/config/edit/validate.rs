//! Validates one change against the configuration that is applied, and plans its commit.

use std::sync::Arc;

use super::{
    PendingEdit,
    Plan, //
};
use crate::{
    core::config::{
        ask::{
            Act,
            Edit, //
        },
        report::Refusal,
        row::{
            self,
            Change,
            Decision,
            End,
            Head,
            Stored, //
        },
        state::Applied,
        trail, //
    },
    prelude::*,
    record::{
        check::{
            self,
            Capacity, //
        },
        difference,
        fault::{
            Code,
            Fault, //
        },
        set::Entry,
        Record,
        NEWEST_SCHEMA, //
    },
    table::wire::{
        Group,
        Write, //
    }, //
};

/// Parses the text of an act; returns none for a withdrawal, which has no text.
///
/// # Errors
///
/// Returns the faults of the text, or that it is of another record than the request.
pub(super) fn parse(act: &Act) -> Result<Option<Record>, Vec<Fault>> {
    let Some(text) = act.text() else {
        return Ok(None);
    };
    let record = Record::parse(text)?;
    match act.name() {
        Some(name) if *name != record.name => {
            let detail = format!("the text is of {}, the request of {name}", record.name);
            Err(vec![Fault::new("name", Code::Name, detail)])
        }
        _ => Ok(Some(record)),
    }
}

/// Returns the digest of a request, which distinguishes a retry from another request under the same operation.
///
/// # Panics
///
/// Panics if the act can't be written as JSON, which its type rules out.
pub(super) fn digest(edit: &Edit) -> Digest {
    let request = serde_json::to_vec(&(&edit.act, edit.confirmed));
    Digest::of(&request.expect("an act is plain data"))
}

/// Validates a request and returns the change that it makes.
///
/// # Errors
///
/// Returns why the change is refused.
pub(super) fn validate(
    applied: &Applied,
    workers: Option<&Capacity>,
    pending: &PendingEdit,
) -> Result<Change, Refusal> {
    let current = applied.set().get(&pending.name);
    check_revision(pending, current)?;
    let mut faults = current.map_or(Vec::new(), |entry| check_schema(entry, pending));
    let change = make_change(applied.revision().next(), pending, current);
    if faults.is_empty() {
        let mut after = applied.set().clone();
        match &pending.record {
            Some(record) => after.insert(Arc::clone(record), change.revision),
            None => after.remove(&pending.name),
        }
        let none = Capacity::default();
        let workers = workers.unwrap_or(&none);
        let confirmed = pending.edit.confirmed;
        faults = check::validate(applied.set(), &after, &pending.name, workers, confirmed);
    }
    match faults.is_empty() {
        true => Ok(change),
        false => Err(Refusal::Faulty { faults }),
    }
}

/// Checks that the operator has seen the revision that the change would replace.
fn check_revision(pending: &PendingEdit, current: Option<&Entry>) -> Result<(), Refusal> {
    let record = pending.name.clone();
    let amends = pending.edit.act.amends();
    match current {
        None if amends.is_some() => Err(Refusal::Absent { record }),
        Some(entry) if amends != Some(entry.revision) => {
            let text = pending.edit.act.text();
            let differences = text.map(|text| difference::compare(&entry.record.text, text));
            Err(Refusal::Conflict {
                record,
                current: entry.revision,
                differences: differences.unwrap_or_default(),
            })
        }
        _ => Ok(()),
    }
}

/// Returns the faults that keep this version from replacing the record in force without losing some of it.
fn check_schema(entry: &Entry, pending: &PendingEdit) -> Vec<Fault> {
    let schema = entry.record.schema;
    if !(1..=NEWEST_SCHEMA).contains(&schema) {
        let detail = format!("{} is in schema {schema}, which this version doesn't know; send the change to a newer one", pending.name);
        return vec![Fault::new("schema", Code::Schema, detail)];
    }
    let schema = pending.record.as_ref().map(|record| record.schema);
    schema.map_or(Vec::new(), |schema| entry.record.find_lost_fields(schema))
}

/// Creates the change that a request makes under `revision`.
fn make_change(revision: Revision, pending: &PendingEdit, current: Option<&Entry>) -> Change {
    let edit = &pending.edit;
    Change {
        revision,
        name: pending.name.clone(),
        text: edit.act.text().map(str::to_owned),
        operator: edit.operator.clone(),
        operation: edit.operation,
        from: edit.from.clone(),
        at_ms: edit.at_ms,
        before: current.map(|entry| entry.revision),
    }
}

/// Plans the commit of a change or a refusal.
pub(super) fn plan(
    instance: &Instance,
    applied: &Applied,
    pending: &PendingEdit,
    validated: Result<Change, Refusal>,
) -> Plan {
    let (end, change) = match validated {
        Ok(change) => {
            let record = change.name.clone();
            let revision = change.revision;
            (End::Accepted { record, revision }, Some(change))
        }
        Err(refusal) => (End::Refused(refusal), None),
    };
    let decision = Decision {
        digest: pending.digest,
        end: end.clone(),
    };
    let mut writes = vec![row::write(
        row::operation_key(pending.edit.operation),
        &decision,
    )];
    writes.extend(change.iter().flat_map(change_rows));
    let before = applied
        .set()
        .get(&pending.name)
        .map(|entry| entry.record.text.clone());
    let revision = change.as_ref().map(|change| change.revision);
    let lines = match &end {
        End::Refused(refusal) => refusal.lines(),
        End::Accepted { .. } => Vec::new(),
    };
    let name = Some(pending.name.clone());
    writes.extend(
        trail::make_entry(instance, &pending.edit, name, revision, before, lines).to_writes(),
    );
    // Operators may send changes at the same time, or one operation twice. Without the conditions, both changes would
    // be accepted, and one would overwrite the other. The head's version guarantees that the configuration is the one
    // validated against; the operation's row, that it has no decision yet.
    let conditions = vec![
        row::revision_condition(applied.revision()),
        row::undecided_condition(pending.edit.operation),
    ];
    Plan {
        group: Group { conditions, writes },
        end,
        change,
    }
}

/// Returns the writes of a change: its record, its entry in the log of changes, and the head.
fn change_rows(change: &Change) -> Vec<Write> {
    let key = row::record_key(&change.name);
    let record = match &change.text {
        None => Write { key, value: None },
        Some(text) => {
            let stored = Stored {
                name: change.name.clone(),
                revision: change.revision,
                text: text.clone(),
            };
            row::write(key, &stored)
        }
    };
    let head = Head {
        revision: change.revision,
    };
    let mut writes = vec![
        record,
        row::write(row::change_key(change.revision), change),
        row::write(row::HEAD_KEY.to_owned(), &head),
    ];
    // Each change deletes the oldest one that is kept, so that the table stays bounded.
    let oldest = change
        .revision
        .0
        .checked_sub(row::KEPT_CHANGES)
        .filter(|r| *r > 0);
    writes.extend(oldest.map(|revision| Write {
        key: row::change_key(Revision(revision)),
        value: None,
    }));
    writes
}
