//! Validates the changes that operators ask for, one after another, and commits them.
//!
//! A refusal is committed as well, together with its entry in the audit trail, on condition that the configuration is
//! still the one against which the change was validated.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use super::{
    ask,
    report::Report,
    row::{
        self,
        Decision,
        End,
        Head, //
    },
    state::Purpose,
    Config, //
};
use crate::{
    core::message::{
        Command,
        Completion,
        Request, //
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
    }, //
};

mod validate;

/// The most changes in the queue.
const MAX_WAITING: usize = 32;
/// How long an operator waits for an answer at most.
const ANSWER_TIMEOUT: Span = Span::seconds(5);
/// The delay before a commit that was lost, refused or not sent is sent again; it grows by as much with each attempt.
const BACKOFF_STEP: Span = Span::millis(50);
/// How many attempts a change gets to be validated and committed before it is refused as busy.
const MAX_ATTEMPTS: u32 = 16;

/// The changes in progress; the front of the queue is being validated or committed.
#[derive(Debug, Default)]
pub(super) struct Edits {
    queue: VecDeque<PendingEdit>,
}

/// A change that isn't answered yet.
#[derive(Debug)]
struct PendingEdit {
    request: Request,
    edit: ask::Edit,
    name: Name,
    record: Option<Arc<Record>>,
    digest: Digest,
    expires: Time,
    attempts: u32,
    /// Whether a commit was sent whose result is unknown.
    uncertain: bool,
    stage: Stage,
}

/// The stage of a change.
#[derive(Debug)]
enum Stage {
    /// It is to be validated.
    Validate,
    /// The head is being read, for a dry run.
    Head(u64),
    /// It waits until this instance, which is behind the table, applies this revision.
    CatchUp(Revision),
    /// It is being committed.
    Commit(u64, Plan),
    /// The same commit is to be sent again at this time.
    Retry(Time, Plan),
}

/// A commit, and what to report and apply once it has taken effect.
#[derive(Debug, Clone)]
struct Plan {
    group: Group,
    end: End,
    change: Option<row::Change>,
}

impl Config {
    /// Queues a change, or reports at once why it can't be.
    pub(super) fn queue_edit(&mut self, request: Request, edit: ask::Edit) {
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
        if self.edits.queue.len() >= MAX_WAITING {
            return self.report(request, Report::Busy);
        }
        self.edits.queue.push_back(PendingEdit {
            request,
            name,
            record,
            digest: validate::digest(&edit),
            expires: self.now + ANSWER_TIMEOUT,
            attempts: 0,
            uncertain: false,
            stage: Stage::Validate,
            edit,
        });
    }

    /// Answers changes that have timed out, and takes the front of the queue as far as possible without waiting.
    pub(super) fn advance_edits(&mut self) {
        self.expire_edits();
        while let Some(pending) = self.edits.queue.front_mut() {
            match &pending.stage {
                Stage::Validate if pending.edit.dry_run => self.read_head_for_dry_run(),
                Stage::Validate => self.validate_and_commit(),
                Stage::CatchUp(revision) if *revision <= self.applied.revision() => {
                    pending.stage = Stage::Validate;
                }
                Stage::Retry(at, plan) if *at <= self.now => {
                    let plan = plan.clone();
                    self.commit(plan);
                }
                _ => return,
            }
        }
    }

    /// Answers changes that have timed out.
    fn expire_edits(&mut self) {
        let now = self.now;
        while let Some(pending) = self
            .edits
            .queue
            .front()
            .filter(|pending| pending.expires <= now)
        {
            let sent = matches!(pending.stage, Stage::Commit(..)) && !pending.edit.dry_run;
            let report = match pending.uncertain || sent {
                true => Report::Unknown,
                false => Report::Unavailable,
            };
            self.finish_edit(report);
        }
    }

    /// Removes the front of the queue, logs its end and reports it to the operator.
    fn finish_edit(&mut self, report: Report) {
        let Some(pending) = self.edits.queue.pop_front() else {
            return;
        };
        let what = || {
            format!(
                "{} {} by {}",
                pending.name, pending.edit.operation, pending.edit.operator
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
        self.report(pending.request, report);
    }

    /// Reads the head, so that a dry run is against the newest configuration.
    fn read_head_for_dry_run(&mut self) {
        let read = Command::Read(row::HEAD_KEY.to_owned());
        let Some(ticket) = self.start_command(Purpose::Edit, read) else {
            return self.finish_edit(Report::Busy);
        };
        if let Some(pending) = self.edits.queue.front_mut() {
            pending.stage = Stage::Head(ticket);
        }
    }

    /// Validates the front of the queue, and commits the change or its refusal.
    fn validate_and_commit(&mut self) {
        let Some(pending) = self.edits.queue.front_mut() else {
            return;
        };
        pending.attempts += 1;
        if pending.attempts > MAX_ATTEMPTS {
            return self.finish_edit(Report::Busy);
        }
        let workers = self.workers.as_ref();
        let validated = validate::validate(&self.applied, workers, pending);
        let plan = validate::plan(&self.name, &self.applied, pending, validated);
        self.commit(plan);
    }

    fn commit(&mut self, plan: Plan) {
        let group = Command::Commit(plan.group.clone());
        let stage = match self.start_command(Purpose::Edit, group) {
            Some(ticket) => Stage::Commit(ticket, plan),
            None => Stage::Retry(self.now + BACKOFF_STEP, plan),
        };
        if let Some(pending) = self.edits.queue.front_mut() {
            pending.stage = stage;
        }
    }

    /// Handles the completion of a command for the front of the queue; one for a change that timed out is ignored.
    pub(super) fn on_edit_completion(&mut self, ticket: u64, result: Completion) {
        let Some(pending) = self.edits.queue.front_mut() else {
            return;
        };
        match std::mem::replace(&mut pending.stage, Stage::Validate) {
            Stage::Head(own) if own == ticket => self.finish_dry_run(result),
            Stage::Commit(own, plan) if own == ticket => self.on_commit_completion(plan, result),
            other => pending.stage = other,
        }
    }

    /// Validates a dry run against the newest configuration that can be had, and reports the result.
    fn finish_dry_run(&mut self, result: Completion) {
        let Some(pending) = self.edits.queue.front_mut() else {
            return;
        };
        let head = match &result {
            Completion::Row(Some(row)) => row::decode::<Head>(row).map(|head| head.revision),
            Completion::Row(None) => Some(Revision::default()),
            _ => None,
        };
        pending.attempts += 1;
        if let Some(head) = head.filter(|head| *head > self.applied.revision()) {
            if pending.attempts <= MAX_ATTEMPTS {
                return self.wait_for_revision(head);
            }
        }
        let validated = validate::validate(&self.applied, self.workers.as_ref(), pending);
        let report = Report::Trial {
            revision: self.applied.revision(),
            refusal: validated.err(),
            confirmed: head.is_some(),
        };
        self.finish_edit(report);
    }

    /// Makes the front of the queue wait until a revision is applied here.
    fn wait_for_revision(&mut self, revision: Revision) {
        self.raise_target(revision);
        if let Some(pending) = self.edits.queue.front_mut() {
            pending.stage = Stage::CatchUp(revision);
        }
    }

    /// Handles the completion of a commit.
    fn on_commit_completion(&mut self, plan: Plan, result: Completion) {
        match result {
            Completion::Verdict(verdict) if verdict.applied => self.finish_plan(plan),
            Completion::Verdict(verdict) => self.on_commit_declined(&verdict),
            result => {
                // The commit whose reply was lost may still take effect, after the operator was told otherwise. So the
                // same group is sent again. Its conditions (the head's version, and an operation without a row) let
                // only one copy take effect. If it fails, the rows that come back show whether an earlier copy took
                // effect, or the head has moved so that none can.
                if result == Completion::Unknown {
                    self.log_event(Code::ChangeAnswerLost, describe_plan(&plan));
                }
                let now = self.now;
                if let Some(pending) = self.edits.queue.front_mut() {
                    pending.uncertain |= result == Completion::Unknown;
                    pending.attempts += 1;
                    let wait = BACKOFF_STEP.times(u64::from(pending.attempts));
                    pending.stage = Stage::Retry(now + wait, plan);
                }
            }
        }
    }

    /// Applies a committed change and reports its end.
    fn finish_plan(&mut self, plan: Plan) {
        if let Some(change) = &plan.change {
            self.sync.announce_up_to = self.sync.announce_up_to.max(change.revision);
            self.apply(change);
        }
        self.finish_edit(report_of(plan.end));
    }

    /// Finds out why a commit didn't take effect, from the rows whose conditions failed.
    fn on_commit_declined(&mut self, verdict: &Verdict) {
        let Some(pending) = self.edits.queue.front_mut() else {
            return;
        };
        let key = row::operation_key(pending.edit.operation);
        let row = |key: &str| verdict.current.iter().find(|row| row.key == key);
        if let Some(decision) = row(&key).and_then(row::decode::<Decision>) {
            return self.finish_as_decided(decision);
        }
        // The head has another version and never returns to the old one, so no copy of the commit can take effect.
        pending.uncertain = false;
        let head = row(row::HEAD_KEY).and_then(row::decode::<Head>);
        match head {
            Some(head) if head.revision > self.applied.revision() => {
                self.wait_for_revision(head.revision)
            }
            _ => self.finish_edit(Report::Unavailable),
        }
    }

    /// Reports the decision that an earlier commit of the operation made.
    fn finish_as_decided(&mut self, decision: Decision) {
        let Some(pending) = self.edits.queue.front() else {
            return;
        };
        if decision.digest != pending.digest {
            let operation = pending.edit.operation;
            return self.finish_edit(Report::Reused { operation });
        }
        if let End::Accepted { revision, .. } = decision.end {
            // It may be this instance's own commit whose reply was lost, so that no peer has got the announcement.
            self.sync.announce_up_to = self.sync.announce_up_to.max(revision);
            self.raise_target(revision);
        }
        self.finish_edit(report_of(decision.end));
    }
}

fn report_of(end: End) -> Report {
    match end {
        End::Accepted { record, revision } => Report::Accepted { record, revision },
        End::Refused(refusal) => Report::Refused(refusal),
    }
}

fn describe_plan(plan: &Plan) -> String {
    match &plan.end {
        End::Accepted { record, revision } => format!("{record} as revision {revision}"),
        End::Refused(_) => "a refusal".to_owned(),
    }
}
