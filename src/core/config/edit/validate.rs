//! Judges one change against the configuration that is applied.

use std::sync::Arc;

use super::{
    Job,
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
        trail,
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
    },
};

/// Parses the text of an act, where it has one.
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

/// Takes the digest of what is asked, by which a reused operation is told from a resubmission.
pub(super) fn digest(edit: &Edit) -> Digest {
    let what = serde_json::to_vec(&(&edit.act, edit.confirmed));
    Digest::of(&what.expect("an act is plain data"))
}

/// Judges a change; returns the change that it makes, or why it is refused.
pub(super) fn validate(
    applied: &Applied,
    workers: Option<&Capacity>,
    job: &Job,
) -> Result<Change, Refusal> {
    let current = applied.set().get(&job.name);
    check_revision(job, current)?;
    let mut faults = current.map_or(Vec::new(), |entry| untouched(entry, job));
    let change = change(applied.revision().next(), job, current);
    if faults.is_empty() {
        let mut after = applied.set().clone();
        match &job.record {
            Some(record) => after.insert(Arc::clone(record), change.revision),
            None => after.remove(&job.name),
        }
        let none = Capacity::default();
        let workers = workers.unwrap_or(&none);
        let confirmed = job.edit.confirmed;
        faults = check::validate(applied.set(), &after, &job.name, workers, confirmed);
    }
    match faults.is_empty() {
        true => Ok(change),
        false => Err(Refusal::Faulty { faults }),
    }
}

/// Checks that the operator has seen what the change would replace.
fn check_revision(job: &Job, current: Option<&Entry>) -> Result<(), Refusal> {
    let record = job.name.clone();
    let amends = job.edit.act.amends();
    match current {
        None if amends.is_some() => Err(Refusal::Absent { record }),
        Some(entry) if amends != Some(entry.revision) => {
            let text = job.edit.act.text();
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

/// Names what keeps the record in force from being replaced.
fn untouched(entry: &Entry, job: &Job) -> Vec<Fault> {
    let schema = entry.record.schema;
    if !(1..=NEWEST_SCHEMA).contains(&schema) {
        let detail = format!("{} is in schema {schema}, which this version doesn't know; send the change to a newer one", job.name);
        return vec![Fault::new("schema", Code::Schema, detail)];
    }
    let schema = job.record.as_ref().map(|record| record.schema);
    schema.map_or(Vec::new(), |schema| entry.record.find_lost_fields(schema))
}

fn change(revision: Revision, job: &Job, current: Option<&Entry>) -> Change {
    let edit = &job.edit;
    Change {
        revision,
        name: job.name.clone(),
        text: edit.act.text().map(str::to_owned),
        operator: edit.operator.clone(),
        operation: edit.operation,
        from: edit.from.clone(),
        at_ms: edit.at_ms,
        before: current.map(|entry| entry.revision),
    }
}

/// Makes the commit of what was judged.
pub(super) fn plan(
    instance: &Instance,
    applied: &Applied,
    job: &Job,
    judged: Result<Change, Refusal>,
) -> Plan {
    let (end, change) = match judged {
        Ok(change) => {
            let record = change.name.clone();
            let revision = change.revision;
            (End::Accepted { record, revision }, Some(change))
        }
        Err(refusal) => (End::Refused(refusal), None),
    };
    let settled = Decision {
        digest: job.digest,
        end: end.clone(),
    };
    let mut writes = vec![row::write(row::operation_key(job.edit.operation), &settled)];
    writes.extend(change.iter().flat_map(rows));
    let before = applied
        .set()
        .get(&job.name)
        .map(|entry| entry.record.text.clone());
    let revision = change.as_ref().map(|change| change.revision);
    let lines = match &end {
        End::Refused(refusal) => refusal.lines(),
        End::Accepted { .. } => Vec::new(),
    };
    let name = Some(job.name.clone());
    writes.extend(trail::entry(instance, &job.edit, name, revision, before, lines).to_writes());
    // Operators race each other, and an operation may be sent twice. Without the conditions both would be accepted,
    // and one would undo the other unseen. The head has one version for each configuration, so that what was judged
    // is what the change meets; the operation's row is written with its one end.
    let conditions = vec![
        row::revision_condition(applied.revision()),
        row::unsettled_condition(job.edit.operation),
    ];
    Plan {
        group: Group { conditions, writes },
        end,
        change,
    }
}

fn rows(change: &Change) -> Vec<Write> {
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
    // Each change takes the place of the oldest one, so that the table doesn't grow with the years.
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
