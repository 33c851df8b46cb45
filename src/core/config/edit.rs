//! Judges the changes that operators ask for, one after another, and commits them.
//!
//! A refusal is committed as well: under the condition that the configuration is still the one that was judged,
//! together with its entry in the audit trail.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use super::{
    ask,
    report::Report,
    row::{
        self,
        Decision, //
        End,
        Head,
    },
    state::Purpose,
    Config,
};
use crate::{
    core::message::{
        Command,
        Completion, //
        Request,
    },
    event::Code,
    prelude::*,
    record::{
        Name,
        Record, //
    },
    table::wire::{
        Group,
        Verdict, //
    },
};

mod validate;

/// The most changes that wait to be judged.
const MOST_WAITING: usize = 32;
/// How long an operator waits for an answer at most.
const PATIENCE: Span = Span::seconds(5);
/// The wait before a lost or refused commit is sent again; it grows with each one.
const BACKOFF: Span = Span::millis(50);
/// How often a change is judged anew because others came first.
const MOST_TRIES: u32 = 16;

/// The changes that wait, the one in front being judged.
#[derive(Debug, Default)]
pub(super) struct Edits {
    queue: VecDeque<Job>,
}

/// A change on its way to an answer.
#[derive(Debug)]
struct Job {
    request: Request,
    edit: ask::Edit,
    name: Name,
    record: Option<Arc<Record>>,
    digest: Digest,
    until: Time,
    tries: u32,
    /// Whether a commit is out whose end is not known.
    uncertain: bool,
    stage: Stage,
}

/// How far a change has got.
#[derive(Debug)]
enum Stage {
    /// It is to be judged.
    Judge,
    /// The head is being read, for a dry run.
    Head(u64),
    /// This instance is behind the table, and waits until it applies this revision.
    Behind(Revision),
    /// It is being committed.
    Commit(u64, Plan),
    /// The same commit is to be sent again.
    Again(Time, Plan),
}

/// What is committed, and what it means.
#[derive(Debug, Clone)]
struct Plan {
    group: Group,
    end: End,
    change: Option<row::Change>,
}

impl Config {
    pub(super) fn submit(&mut self, request: Request, edit: ask::Edit) {
        let record = match validate::parse(&edit.act) {
            Ok(record) => record.map(Arc::new),
            Err(faults) => return self.refuse_malformed(request, &edit, faults),
        };
        let named = record.as_ref().map(|record| &record.name);
        let Some(name) = named.or(edit.act.name()).cloned() else {
            return;
        };
        if !self.is_ready() || self.workers.is_none() {
            return self.report(request, Report::Unready);
        }
        if self.edits.queue.len() >= MOST_WAITING {
            return self.report(request, Report::Busy);
        }
        self.edits.queue.push_back(Job {
            request,
            name,
            record,
            digest: validate::digest(&edit),
            until: self.now + PATIENCE,
            tries: 0,
            uncertain: false,
            stage: Stage::Judge,
            edit,
        });
    }

    pub(super) fn proceed_edits(&mut self) {
        self.give_up();
        while let Some(job) = self.edits.queue.front_mut() {
            match &job.stage {
                Stage::Judge if job.edit.dry_run => self.confirm_head(),
                Stage::Judge => self.judge(),
                Stage::Behind(revision) if *revision <= self.applied.revision() => {
                    job.stage = Stage::Judge;
                }
                Stage::Again(at, plan) if *at <= self.now => {
                    let plan = plan.clone();
                    self.commit(plan);
                }
                _ => return,
            }
        }
    }

    /// Answers those who have waited for too long.
    fn give_up(&mut self) {
        let now = self.now;
        while let Some(job) = self.edits.queue.front().filter(|job| job.until <= now) {
            let out = matches!(job.stage, Stage::Commit(..)) && !job.edit.dry_run;
            let report = match job.uncertain || out {
                true => Report::Unknown,
                false => Report::Unavailable,
            };
            self.end(report);
        }
    }

    /// Ends the change in front.
    fn end(&mut self, report: Report) {
        let Some(job) = self.edits.queue.pop_front() else {
            return;
        };
        let what = || {
            format!(
                "{} {} by {}",
                job.name, job.edit.operation, job.edit.operator
            )
        };
        match &report {
            Report::Accepted { revision, .. } => {
                self.log_event(
                    Code::ChangeAccepted,
                    format!("revision {revision}: {}", what()),
                );
            }
            Report::Refused(_) | Report::Reused { .. } => {
                self.log_event(Code::ChangeRefused, what())
            }
            _ => {}
        }
        self.report(job.request, report);
    }

    fn confirm_head(&mut self) {
        let read = Command::Read(row::HEAD_KEY.to_owned());
        let Some(ticket) = self.operate(Purpose::Edit, read) else {
            return self.end(Report::Busy);
        };
        if let Some(job) = self.edits.queue.front_mut() {
            job.stage = Stage::Head(ticket);
        }
    }

    fn judge(&mut self) {
        let Some(job) = self.edits.queue.front_mut() else {
            return;
        };
        job.tries += 1;
        if job.tries > MOST_TRIES {
            return self.end(Report::Busy);
        }
        let workers = self.workers.as_ref();
        let judged = validate::validate(&self.applied, workers, job);
        let plan = validate::plan(&self.name, &self.applied, job, judged);
        self.commit(plan);
    }

    fn commit(&mut self, plan: Plan) {
        let group = Command::Commit(plan.group.clone());
        let stage = match self.operate(Purpose::Edit, group) {
            Some(ticket) => Stage::Commit(ticket, plan),
            None => Stage::Again(self.now + BACKOFF, plan),
        };
        if let Some(job) = self.edits.queue.front_mut() {
            job.stage = stage;
        }
    }

    /// Takes the end of an operation for the change in front; one for a change that was given up is left.
    pub(super) fn edited(&mut self, ticket: u64, result: Completion) {
        let Some(job) = self.edits.queue.front_mut() else {
            return;
        };
        match std::mem::replace(&mut job.stage, Stage::Judge) {
            Stage::Head(own) if own == ticket => self.tried(result),
            Stage::Commit(own, plan) if own == ticket => self.committed(plan, result),
            other => job.stage = other,
        }
    }

    fn tried(&mut self, result: Completion) {
        let Some(job) = self.edits.queue.front_mut() else {
            return;
        };
        let head = match &result {
            Completion::Row(Some(row)) => row::decode::<Head>(row).map(|head| head.revision),
            Completion::Row(None) => Some(Revision::default()),
            _ => None,
        };
        job.tries += 1;
        if let Some(head) = head.filter(|head| *head > self.applied.revision()) {
            if job.tries <= MOST_TRIES {
                return self.catch_up(head);
            }
        }
        let judged = validate::validate(&self.applied, self.workers.as_ref(), job);
        let report = Report::Trial {
            revision: self.applied.revision(),
            refusal: judged.err(),
            confirmed: head.is_some(),
        };
        self.end(report);
    }

    fn catch_up(&mut self, revision: Revision) {
        self.aim(revision);
        if let Some(job) = self.edits.queue.front_mut() {
            job.stage = Stage::Behind(revision);
        }
    }

    fn committed(&mut self, plan: Plan, result: Completion) {
        match result {
            Completion::Verdict(verdict) if verdict.applied => self.applied_plan(plan),
            Completion::Verdict(verdict) => self.declined(&verdict),
            result => {
                // The answer to the commit was lost, and it may take effect even now, after the operator was told
                // something else. The same group goes out again: its conditions (the head's version, and that the
                // operation is not settled) let just one copy take effect, and when it fails, the rows that come
                // back tell whether an earlier copy did, or that the head has moved so that none ever can.
                if result == Completion::Unknown {
                    self.log_event(Code::ChangeAnswerLost, plan_name(&plan));
                }
                let now = self.now;
                if let Some(job) = self.edits.queue.front_mut() {
                    job.uncertain |= result == Completion::Unknown;
                    job.tries += 1;
                    let wait = BACKOFF.times(u64::from(job.tries));
                    job.stage = Stage::Again(now + wait, plan);
                }
            }
        }
    }

    fn applied_plan(&mut self, plan: Plan) {
        if let Some(change) = &plan.change {
            self.sync.outward = self.sync.outward.max(change.revision);
            self.apply(change);
        }
        self.end(report(plan.end));
    }

    /// Finds out from the rows whose conditions failed why a commit didn't take effect.
    fn declined(&mut self, verdict: &Verdict) {
        let Some(job) = self.edits.queue.front_mut() else {
            return;
        };
        let key = row::operation_key(job.edit.operation);
        let row = |key: &str| verdict.current.iter().find(|row| row.key == key);
        if let Some(settled) = row(&key).and_then(row::decode::<Decision>) {
            return self.settle(settled);
        }
        // The head is at another version and never comes back to that one, so no copy of the commit can take effect.
        job.uncertain = false;
        let head = row(row::HEAD_KEY).and_then(row::decode::<Head>);
        match head {
            Some(head) if head.revision > self.applied.revision() => self.catch_up(head.revision),
            _ => self.end(Report::Unavailable),
        }
    }

    fn settle(&mut self, settled: Decision) {
        let Some(job) = self.edits.queue.front() else {
            return;
        };
        if settled.digest != job.digest {
            let operation = job.edit.operation;
            return self.end(Report::Reused { operation });
        }
        if let End::Accepted { revision, .. } = settled.end {
            // It may be this instance's own commit whose answer was lost, which nobody has been told of.
            self.sync.outward = self.sync.outward.max(revision);
            self.aim(revision);
        }
        self.end(report(settled.end));
    }
}

fn report(end: End) -> Report {
    match end {
        End::Accepted { record, revision } => Report::Accepted { record, revision },
        End::Refused(refusal) => Report::Refused(refusal),
    }
}

fn plan_name(plan: &Plan) -> String {
    match &plan.end {
        End::Accepted { record, revision } => format!("{record} as revision {revision}"),
        End::Refused(_) => "a refusal".to_owned(),
    }
}
