//! Running a claimed job: starts, ends, looks and what follows from them.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::{
    message::{
        End,
        Output,
        Sample, //
    },
    placement::{
        Obstacle,
        Requirement,
        Slot, //
    },
    queue::Item,
    retry,
    stage::{
        Job,
        Pending,
        Progress,
        Running, //
        Stage,
    },
    timer::Timer,
    Core,
};
use crate::{
    endpoint::wire::{
        Load,
        Reply,
        Start, //
    },
    event::Code,
    prelude::*,
};

/// The most attempts at one idempotent task.
pub(super) const ATTEMPTS: u32 = 4;

/// The most times that one task is refused by endpoints before its job is given up.
const REFUSALS: u32 = 24;

/// How far one answer moves the estimate of the instance's share of the work.
const SHARE_GAIN: f64 = 0.02;

/// Endpoints that are remembered as to be avoided by a task.
const AVOIDED: usize = 4;

/// How an attempt ended.
pub(super) enum Conclusion {
    /// It ran to its end.
    Done(Arc<RawValue>),
    /// It ran and failed.
    Failed(String),
    /// It never started and never will.
    NotStarted,
    /// It may have run, and can't be asked any more.
    Lost,
}

impl Core {
    /// Queues the tasks of a job that may run.
    pub(super) fn run_job(&mut self, job: Job<Running>) {
        if self.now >= job.deadline {
            return self.finish_early(job, Reason::Deadline);
        }
        let number = job.number;
        let tasks = job.stage.tasks.len() as u32;
        self.jobs.insert(number, Stage::Running(job));
        for task in 0..tasks {
            if !self.push_task(Item { job: number, task }) {
                let detail = "the queue of tasks is full";
                return self.fail_job(number, Reason::Busy, detail);
            }
        }
        self.dispatch();
    }

    /// Queues a task and starts what can be started.
    pub(super) fn enqueue(&mut self, item: Item) {
        if self.push_task(item) {
            self.dispatch();
        } else {
            self.fail_job(item.job, Reason::Busy, "the queue of tasks is full");
        }
    }

    fn push_task(&mut self, item: Item) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get(&item.job) else {
            return true;
        };
        let route = &job.stage.admitted.route;
        let team = &job.submission.team;
        let weight = route.quotas.get(team).map_or(1, |quota| quota.weight);
        let expected = job.submission.tasks[item.task as usize].expected;
        let waiting = self.limits.waiting_tasks;
        let queue = self
            .queues
            .entry(route.service.clone())
            .or_insert_with(|| super::queue::Queue::new(waiting));
        queue.push(team, weight, item.job, expected, item).is_ok()
    }

    /// Starts tasks until none waits or no endpoint takes one, a task of each service in turn.
    ///
    /// Services may share their pools. If the service whose task has just ended were served first, a flood of
    /// its jobs would take every place that it frees, and the tasks of the others would wait for good.
    pub(super) fn dispatch(&mut self) {
        let mut waiting: Vec<Service> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        if waiting.is_empty() {
            return;
        }
        let first = self.next_service % waiting.len();
        self.next_service = self.next_service.wrapping_add(1);
        waiting.rotate_left(first);
        while !waiting.is_empty() {
            waiting.retain(|service| self.dispatch_one(service));
        }
    }

    /// Starts the next task of a service; tells whether another may follow.
    fn dispatch_one(&mut self, service: &Service) -> bool {
        let Some(item) = self
            .queues
            .get(service)
            .and_then(|queue| queue.peek().copied())
        else {
            return false;
        };
        let placed = self.place_task(item);
        if matches!(placed, Some(Err(Obstacle::Full | Obstacle::NoneEligible))) {
            return false;
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop();
        }
        match placed {
            Some(Ok(slot)) => self.start_task(item, slot),
            Some(Err(_)) => {
                let detail = "no endpoint of the service can run the task any more";
                self.fail_job(item.job, Reason::Impossible, detail);
            }
            None => {}
        }
        true
    }

    /// Picks an endpoint for a task; none where its job has ended.
    fn place_task(&mut self, item: Item) -> Option<Result<Slot, Obstacle>> {
        let Some(Stage::Running(job)) = self.jobs.get(&item.job) else {
            return None;
        };
        let progress = &job.stage.tasks[item.task as usize];
        if progress.result.is_some() {
            return None;
        }
        let requirement = Requirement {
            route: &job.stage.admitted.route,
            need: job.submission.tasks[item.task as usize].need,
            class: job.stage.admitted.class,
            avoid: &progress.avoid,
        };
        Some(self.placement.place(&requirement))
    }

    fn start_task(&mut self, item: Item, slot: Slot) {
        let Some(worker) = self.placement.endpoint(slot) else {
            return;
        };
        let (endpoint, address) = (worker.name.clone(), worker.address.clone());
        let Some(Stage::Running(job)) = self.jobs.get_mut(&item.job) else {
            return;
        };
        let task = &job.submission.tasks[item.task as usize];
        let progress = &mut job.stage.tasks[item.task as usize];
        let attempt = Attempt {
            incarnation: self.identity.incarnation,
            job: item.job,
            task: item.task,
            number: progress.attempts,
        };
        progress.attempts += 1;
        // An idempotent task is hedged when it is later than nearly all of its kind; others are looked up.
        let usual = task.expected.times(2) + self.timing.lookup_delay;
        let class = job.stage.admitted.class;
        let hedge = class
            .is_repeatable()
            .then(|| self.hedges.delay(&job.stage.admitted.route.service))
            .flatten();
        let wait = hedge.unwrap_or(usual);
        let look = self.timers.set(self.now + wait, Timer::Look(attempt));
        progress.pending.push(Pending {
            attempt,
            slot,
            incarnation: self.endpoint_incarnations.get(&slot).copied(),
            at: self.now,
            look,
            missed: 0,
            looks: 0,
        });
        let route = &job.stage.admitted.route;
        let start = Start {
            attempt,
            service: route.service.clone(),
            payload: task.payload.clone(),
            lease: route.lease,
        };
        self.outputs.push(Output::Measure(Sample::Started));
        self.outputs.push(Output::Start {
            endpoint,
            address,
            start,
            expires: job.deadline,
        });
    }

    pub(super) fn on_attempt_end(&mut self, attempt: Attempt, end: End) {
        let Some(pending) = self.find_pending(attempt) else {
            return self.on_orphan_end(attempt);
        };
        match end {
            End::Replied(reply) => self.on_reply(attempt, reply),
            End::Unsent => {
                self.record_failure(pending.slot, attempt.job);
                self.conclude(attempt, None, Conclusion::NotStarted);
            }
            End::Withheld => self.conclude(attempt, None, Conclusion::NotStarted),
            End::Broken => {
                self.record_failure(pending.slot, attempt.job);
                if self.is_repeatable(attempt.job) {
                    self.conclude(attempt, None, Conclusion::Lost);
                } else {
                    // It may run on behind a broken connection; the endpoint itself knows.
                    self.log_event(Code::StartLost, attempt.to_string());
                    self.request_status(&pending, false);
                }
            }
        }
    }

    pub(super) fn on_reply(&mut self, attempt: Attempt, reply: Reply) {
        let Some(pending) = self.find_pending(attempt) else {
            return;
        };
        self.record_incarnation(pending.slot, &reply);
        match reply {
            Reply::Done { result, load } => {
                self.retries.on_success();
                let change = self.health.on_success(self.now, pending.slot);
                self.apply_health_change(change);
                self.conclude(attempt, Some(load), Conclusion::Done(result));
            }
            Reply::Failed { error, load } => {
                self.record_failure(pending.slot, attempt.job);
                self.conclude(attempt, Some(load), Conclusion::Failed(error));
            }
            Reply::NotStarted { leaving, load, .. } => {
                if leaving {
                    self.placement.mark_leaving(pending.slot);
                }
                self.conclude(attempt, Some(load), Conclusion::NotStarted);
            }
        }
    }

    /// Takes an attempt that has ended off its task, and goes on with the job.
    pub(super) fn conclude(
        &mut self,
        attempt: Attempt,
        load: Option<Load>,
        conclusion: Conclusion,
    ) {
        let Some(Stage::Running(job)) = self.jobs.get_mut(&attempt.job) else {
            return;
        };
        let class = job.stage.admitted.class;
        let service = job.stage.admitted.route.service.clone();
        let expected = job.submission.tasks[attempt.task as usize].expected;
        let progress = &mut job.stage.tasks[attempt.task as usize];
        let Some(at) = progress
            .pending
            .iter()
            .position(|pending| pending.attempt == attempt)
        else {
            return;
        };
        let pending = progress.pending.swap_remove(at);
        progress.avoid(pending.slot);
        self.timers.cancel(pending.look);
        let ran = !matches!(conclusion, Conclusion::NotStarted);
        job.stage.started |= ran;
        let took = self.now.since(pending.at);
        let done = matches!(conclusion, Conclusion::Done(_));
        if let Some(load) = load {
            self.update_share(pending.slot, load);
        }
        self.placement
            .on_task_end(pending.slot, done.then_some(took), load);
        match conclusion {
            Conclusion::Done(result) => {
                self.admission.record_run_time(expected, took);
                self.hedges.on_success(&service, took);
                self.finish_task(attempt, took, result);
            }
            Conclusion::NotStarted => self.requeue(attempt),
            Conclusion::Failed(error) => {
                if !class.is_repeatable() || !self.retry_task(attempt) {
                    let detail = format!("tasks[{}]: {error}", attempt.task);
                    self.fail_job(attempt.job, Reason::TaskFailed, &detail);
                }
            }
            Conclusion::Lost => {
                if !class.is_repeatable() || !self.retry_task(attempt) {
                    let detail = format!(
                        "tasks[{}]: the endpoint can't be reached after the start was sent",
                        attempt.task
                    );
                    self.fail_job(attempt.job, Reason::Lost, &detail);
                }
            }
        }
        self.dispatch();
    }

    /// Learns from an endpoint's load how much of the work there is this instance's own.
    ///
    /// Each instance sees its own work only. Under even load on six of them it would take the wait for a sixth of
    /// what it is, and admit jobs that miss their deadlines.
    fn update_share(&mut self, slot: Slot, load: Load) {
        let own = self.placement.outstanding(slot).max(1);
        let all = load.running.saturating_add(load.queued).saturating_add(1);
        let sample = f64::from(own) / f64::from(all.max(own));
        self.endpoint_share += (sample - self.endpoint_share) * SHARE_GAIN;
    }

    fn finish_task(&mut self, attempt: Attempt, took: Span, result: Arc<RawValue>) {
        let Some(Stage::Running(job)) = self.jobs.get_mut(&attempt.job) else {
            return;
        };
        let expected = job.submission.tasks[attempt.task as usize].expected;
        let team = &job.submission.team;
        self.admission.finish_tasks(team, 1, expected);
        if let Some(queue) = self.queues.get_mut(&job.stage.admitted.route.service) {
            queue.charge_run_time(team, expected, took);
        }
        let progress = &mut job.stage.tasks[attempt.task as usize];
        // The other copies leave the task with the first result, so that no second one is counted.
        progress.done = true;
        progress.result = Some(result);
        job.stage.longest = job.stage.longest.max(took);
        job.stage.left -= 1;
        let spare: Vec<_> = progress.pending.drain(..).collect();
        if job.stage.left == 0 {
            self.complete_job(attempt.job);
        }
        for pending in spare {
            self.stop_attempt(pending);
        }
    }

    fn complete_job(&mut self, number: u64) {
        let Some(Stage::Running(mut job)) = self.jobs.remove(&number) else {
            return;
        };
        let tasks = &mut job.stage.tasks;
        let results = tasks.iter_mut().filter_map(|task| task.result.take());
        let results: Vec<_> = results.collect();
        // A job whose every task has a result can miss none; an answer is complete or it is not sent.
        debug_assert_eq!(results.len(), job.submission.tasks.len());
        let mut answer = Answer::new(Outcome::Complete, Reason::Done, "every task ran to its end");
        answer.results = results;
        self.outputs.push(Output::Measure(Sample::Completed {
            took: self.now.since(job.arrived),
            ideal: job.stage.longest,
        }));
        self.finish_running(job, answer);
    }

    /// Queues a task again that is proved not to have started.
    fn requeue(&mut self, attempt: Attempt) {
        if attempt.number + 1 >= REFUSALS {
            let detail = format!("tasks[{}]: refused by every endpoint tried", attempt.task);
            return self.fail_job(attempt.job, Reason::NoEndpoint, &detail);
        }
        let item = Item {
            job: attempt.job,
            task: attempt.task,
        };
        // The first refusal goes elsewhere at once; more of them mean that the pool has no room.
        if attempt.number == 0 {
            return self.enqueue(item);
        }
        let wait = retry::backoff(attempt.number, &mut self.random);
        self.timers.set(self.now + wait, Timer::Retry(item));
    }

    /// Queues an idempotent task again that may have run, if the budget allows it.
    fn retry_task(&mut self, attempt: Attempt) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get(&attempt.job) else {
            return true;
        };
        let progress = &job.stage.tasks[attempt.task as usize];
        // A hedge that still runs is retry enough.
        if !progress.pending.is_empty() {
            return true;
        }
        if progress.attempts >= ATTEMPTS || !self.retries.try_take(self.now) {
            return false;
        }
        let wait = retry::backoff(progress.attempts - 1, &mut self.random);
        let item = Item {
            job: attempt.job,
            task: attempt.task,
        };
        self.outputs.push(Output::Measure(Sample::Retried));
        self.timers.set(self.now + wait, Timer::Retry(item));
        true
    }

    /// Ends a job that can't be completed.
    fn fail_job(&mut self, number: u64, reason: Reason, detail: &str) {
        let Some(Stage::Running(job)) = self.jobs.remove(&number) else {
            return;
        };
        let outcome = job.outcome(reason);
        let mut answer = Answer::new(outcome, reason, detail);
        if outcome == Outcome::NotRun && reason != Reason::Impossible {
            let span = self.jitter(Span::millis(500));
            answer = answer.with_retry_after(span);
        }
        self.finish_running(job, answer);
    }

    /// Ends a job whose deadline passed or that was cancelled, with the truth about what may have run.
    pub(super) fn finish_early(&mut self, job: Job<Running>, reason: Reason) {
        let outcome = job.outcome(reason);
        let why = match reason {
            Reason::Cancelled => "the job was cancelled",
            Reason::Draining => "the instance ended",
            _ => "the deadline passed",
        };
        let detail = match outcome {
            Outcome::NotRun => format!("{why} before any task was started"),
            Outcome::Unknown => format!("{why} while tasks were out; they were told to stop"),
            _ => format!("{why} before every task had run"),
        };
        self.finish_running(job, Answer::new(outcome, reason, detail));
    }

    /// Stops the attempts of a job that has its answer.
    pub(super) fn stop_attempts(&mut self, job: &Job<Running>) {
        for progress in &job.stage.tasks {
            for pending in &progress.pending {
                self.stop_attempt(pending.clone());
            }
        }
    }

    pub(super) fn is_repeatable(&self, job: u64) -> bool {
        match self.jobs.get(&job) {
            Some(Stage::Running(job)) => job.stage.admitted.class.is_repeatable(),
            _ => false,
        }
    }

    pub(super) fn find_pending(&mut self, attempt: Attempt) -> Option<Pending> {
        self.with_pending(attempt, |pending| pending.clone())
    }

    /// Works on an attempt that is pending. One that has been answered already, or that another incarnation made, is
    /// not: an answer that comes late or twice changes nothing.
    pub(super) fn with_pending<T>(
        &mut self,
        attempt: Attempt,
        work: impl FnOnce(&mut Pending) -> T,
    ) -> Option<T> {
        if attempt.incarnation != self.identity.incarnation {
            return None;
        }
        let Stage::Running(job) = self.jobs.get_mut(&attempt.job)? else {
            return None;
        };
        let progress = job.stage.tasks.get_mut(attempt.task as usize)?;
        let pending = progress
            .pending
            .iter_mut()
            .find(|pending| pending.attempt == attempt)?;
        Some(work(pending))
    }
}

impl Job<Running> {
    /// Returns what can truthfully be said of a job that ends before it is complete.
    fn outcome(&self, reason: Reason) -> Outcome {
        let pending = self.stage.tasks.iter().any(|task| !task.pending.is_empty());
        match (reason, pending, self.stage.started) {
            (Reason::TaskFailed, _, _) => Outcome::Failed,
            (Reason::Lost, _, _) | (_, true, _) => Outcome::Unknown,
            (_, false, true) => Outcome::Failed,
            (_, false, false) => Outcome::NotRun,
        }
    }
}

impl Progress {
    /// Notes an endpoint that the next attempt is to avoid.
    pub(super) fn avoid(&mut self, slot: Slot) {
        if self.avoid.contains(&slot) {
            return;
        }
        if self.avoid.len() == AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(slot);
    }
}
