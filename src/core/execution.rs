//! Execution of a claimed job: queueing its tasks, starting them, and handling the ends of their attempts.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::{
    message::{
        End,
        Output,
        Sample, //
    },
    placement::{
        EndpointId,
        Obstacle,
        Requirement, //
    },
    queue::Item,
    retry,
    stage::{
        Job,
        Pending,
        Progress,
        Running,
        Stage, //
    },
    timer::Timer,
    Core, //
};
use crate::{
    endpoint::wire::{
        Load,
        Reply,
        Start, //
    },
    event::Code,
    prelude::*, //
};

/// The number of attempts after which an idempotent task is neither retried nor hedged.
pub(super) const MAX_ATTEMPTS: u32 = 4;

/// The number of attempts at which a task that endpoints keep refusing fails its job.
const MAX_REFUSALS: u32 = 24;

/// The weight of one sample in the moving average of this instance's share of the tasks at the endpoints.
const SHARE_WEIGHT: f64 = 0.02;

/// The maximum number of endpoints that a task avoids.
const MAX_AVOIDED: usize = 4;

/// How an attempt ended.
pub(super) enum Conclusion {
    /// The task ran and returned this result.
    Done(Arc<RawValue>),
    /// The task ran and failed with this error.
    Failed(String),
    /// The task didn't start, and never will under this attempt.
    NotStarted,
    /// The task may have run: the endpoint can't be reached, or has restarted.
    Lost,
}

impl Core {
    /// Queues the tasks of a claimed job, and starts what can be started.
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

    /// Queues one task, and starts what can be started. Fails its job if the queue is full.
    pub(super) fn enqueue(&mut self, item: Item) {
        if self.push_task(item) {
            self.dispatch();
        } else {
            self.fail_job(item.job, Reason::Busy, "the queue of tasks is full");
        }
    }

    /// Queues one task; returns `false` if the queue is full. A task whose job has ended is dropped.
    fn push_task(&mut self, item: Item) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get(&item.job) else {
            return true;
        };
        let route = &job.stage.admitted.route;
        let team = &job.submission.team;
        let weight = route.quotas.get(team).map_or(1, |quota| quota.weight);
        let expected = job.submission.tasks[item.task as usize].expected;
        let max_waiting = self.limits.waiting_tasks;
        let queue = self
            .queues
            .entry(route.service.clone())
            .or_insert_with(|| super::queue::Queue::new(max_waiting));
        queue.push(team, weight, item.job, expected, item).is_ok()
    }

    /// Starts queued tasks until no endpoint takes another one, a task of each service in turn.
    ///
    /// The turns prevent starvation: services may share endpoints, and a burst at one service would otherwise take
    /// every place that its tasks free.
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

    /// Starts the next task of a service; returns whether another one may be tried.
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
            Some(Ok(endpoint)) => self.start_task(item, endpoint),
            Some(Err(_)) => {
                let detail = "no endpoint of the service can run the task any more";
                self.fail_job(item.job, Reason::Impossible, detail);
            }
            None => {}
        }
        true
    }

    /// Picks an endpoint for a task; returns `None` if the task has a result or its job has ended.
    fn place_task(&mut self, item: Item) -> Option<Result<EndpointId, Obstacle>> {
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

    /// Sends a new attempt at a task to an endpoint, and sets the timer of its first status check.
    fn start_task(&mut self, item: Item, id: EndpointId) {
        let Some(worker) = self.placement.endpoint(id) else {
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
        // An idempotent task is hedged once it runs longer than nearly all others of its service. For any other task
        // the endpoint is asked for the status.
        let default_delay = task.expected.times(2) + self.timing.status_check_delay;
        let class = job.stage.admitted.class;
        let hedge_delay = class
            .is_repeatable()
            .then(|| self.hedges.delay(&job.stage.admitted.route.service))
            .flatten();
        let delay = hedge_delay.unwrap_or(default_delay);
        let check_timer = self
            .timers
            .set(self.now + delay, Timer::StatusCheck(attempt));
        progress.pending.push(Pending {
            attempt,
            endpoint: id,
            incarnation: self.endpoint_incarnations.get(&id).copied(),
            sent_at: self.now,
            check_timer,
            is_being_checked: false,
            missed_checks: 0,
            checks: 0,
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

    /// Handles the end of a request that started an attempt.
    pub(super) fn on_attempt_end(&mut self, attempt: Attempt, end: End) {
        let Some(pending) = self.find_pending(attempt) else {
            return self.on_orphan_end(attempt);
        };
        match end {
            End::Replied(reply) => self.on_reply(attempt, reply),
            End::Unsent => {
                self.record_failure(pending.endpoint, attempt.job);
                self.conclude(attempt, None, Conclusion::NotStarted);
            }
            End::Withheld => self.conclude(attempt, None, Conclusion::NotStarted),
            End::Broken => {
                self.record_failure(pending.endpoint, attempt.job);
                if self.is_repeatable(attempt.job) {
                    self.conclude(attempt, None, Conclusion::Lost);
                } else {
                    // Prevents a second run: the task may still run, which only the endpoint knows.
                    self.log_event(Code::StartUnanswered, attempt.to_string());
                    self.check_status(attempt, false);
                }
            }
        }
    }

    /// Handles the end of an attempt that its endpoint reported.
    pub(super) fn on_reply(&mut self, attempt: Attempt, reply: Reply) {
        let Some(pending) = self.find_pending(attempt) else {
            return;
        };
        self.record_incarnation(pending.endpoint, &reply);
        match reply {
            Reply::Done { result, load } => {
                self.retries.on_success();
                let change = self.health.on_success(self.now, pending.endpoint);
                self.apply_health_change(change);
                self.conclude(attempt, Some(load), Conclusion::Done(result));
            }
            Reply::Failed { error, load } => {
                self.record_failure(pending.endpoint, attempt.job);
                self.conclude(attempt, Some(load), Conclusion::Failed(error));
            }
            Reply::NotStarted { leaving, load, .. } => {
                if leaving {
                    self.placement.mark_leaving(pending.endpoint);
                }
                self.conclude(attempt, Some(load), Conclusion::NotStarted);
            }
        }
    }

    /// Removes an attempt that has ended from its task, frees its place, and finishes, retries or fails the task.
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
        let Some(index) = progress
            .pending
            .iter()
            .position(|pending| pending.attempt == attempt)
        else {
            return;
        };
        let pending = progress.pending.swap_remove(index);
        progress.avoid(pending.endpoint);
        self.timers.cancel(pending.check_timer);
        let may_have_run = !matches!(conclusion, Conclusion::NotStarted);
        job.stage.may_have_run |= may_have_run;
        let took = self.now.since(pending.sent_at);
        let succeeded = matches!(conclusion, Conclusion::Done(_));
        if let Some(load) = load {
            self.update_endpoint_share(pending.endpoint, load);
        }
        self.placement
            .on_task_end(pending.endpoint, succeeded.then_some(took), load);
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

    /// Updates the estimate of this instance's share of the tasks at the endpoints from a reported load.
    ///
    /// Prevents the admission of jobs that miss their deadlines: an instance knows only its own tasks, so without the
    /// share it would underestimate the wait by the work of all other instances.
    fn update_endpoint_share(&mut self, endpoint: EndpointId, load: Load) {
        let own = self.placement.outstanding(endpoint).max(1);
        let total = load.running.saturating_add(load.queued).saturating_add(1);
        let sample = f64::from(own) / f64::from(total.max(own));
        self.endpoint_share += (sample - self.endpoint_share) * SHARE_WEIGHT;
    }

    /// Stores the result of a task, stops its other attempts, and completes the job with its last task.
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
        // Prevents a second result from being counted: the other attempts are removed with the first one.
        progress.done = true;
        progress.result = Some(result);
        job.stage.longest_run = job.stage.longest_run.max(took);
        job.stage.unfinished -= 1;
        let redundant: Vec<_> = progress.pending.drain(..).collect();
        if job.stage.unfinished == 0 {
            self.complete_job(attempt.job);
        }
        for pending in redundant {
            self.stop_attempt(pending);
        }
    }

    /// Answers a job whose tasks all have results.
    fn complete_job(&mut self, number: u64) {
        let Some(Stage::Running(mut job)) = self.jobs.remove(&number) else {
            return;
        };
        let tasks = &mut job.stage.tasks;
        let results = tasks.iter_mut().filter_map(|task| task.result.take());
        let results: Vec<_> = results.collect();
        // Guards against a complete answer that lacks a result.
        debug_assert_eq!(results.len(), job.submission.tasks.len());
        let mut answer = Answer::new(Outcome::Complete, Reason::Done, "every task ran to its end");
        answer.results = results;
        self.outputs.push(Output::Measure(Sample::Completed {
            took: self.now.since(job.arrived),
            ideal: job.stage.longest_run,
        }));
        self.finish_running(job, answer);
    }

    /// Queues a task again whose attempt provably didn't start, or fails its job after too many attempts.
    fn requeue(&mut self, attempt: Attempt) {
        if attempt.number + 1 >= MAX_REFUSALS {
            let detail = format!("tasks[{}]: refused by every endpoint tried", attempt.task);
            return self.fail_job(attempt.job, Reason::NoEndpoint, &detail);
        }
        let item = Item {
            job: attempt.job,
            task: attempt.task,
        };
        // The first refusal is retried elsewhere at once; several mean that the pool is full, so they back off.
        if attempt.number == 0 {
            return self.enqueue(item);
        }
        let delay = retry::backoff(attempt.number, &mut self.random);
        self.timers.set(self.now + delay, Timer::Retry(item));
    }

    /// Schedules a retry of an idempotent task that may have run; returns `false` if no retry is allowed.
    fn retry_task(&mut self, attempt: Attempt) -> bool {
        let Some(Stage::Running(job)) = self.jobs.get(&attempt.job) else {
            return true;
        };
        let progress = &job.stage.tasks[attempt.task as usize];
        // Another attempt still runs, which serves as the retry.
        if !progress.pending.is_empty() {
            return true;
        }
        if progress.attempts >= MAX_ATTEMPTS || !self.retries.try_take(self.now) {
            return false;
        }
        let delay = retry::backoff(progress.attempts - 1, &mut self.random);
        let item = Item {
            job: attempt.job,
            task: attempt.task,
        };
        self.outputs.push(Output::Measure(Sample::Retried));
        self.timers.set(self.now + delay, Timer::Retry(item));
        true
    }

    /// Answers a job that can't be completed.
    fn fail_job(&mut self, number: u64, reason: Reason, detail: &str) {
        let Some(Stage::Running(job)) = self.jobs.remove(&number) else {
            return;
        };
        let outcome = job.outcome(reason);
        let mut answer = Answer::new(outcome, reason, detail);
        if outcome == Outcome::NotRun && reason != Reason::Impossible {
            let retry_after = self.jitter(Span::millis(500));
            answer = answer.with_retry_after(retry_after);
        }
        self.finish_running(job, answer);
    }

    /// Answers a claimed job before it is complete; the outcome tells whether tasks ran or may have run.
    pub(super) fn finish_early(&mut self, job: Job<Running>, reason: Reason) {
        let outcome = job.outcome(reason);
        let cause = match reason {
            Reason::Cancelled => "the job was cancelled",
            Reason::Draining => "the instance ended",
            _ => "the deadline passed",
        };
        let detail = match outcome {
            Outcome::NotRun => format!("{cause} before any task was started"),
            Outcome::Unknown => {
                format!("{cause} while tasks were outstanding; they were told to stop")
            }
            _ => format!("{cause} before every task had run"),
        };
        self.finish_running(job, Answer::new(outcome, reason, detail));
    }

    /// Stops all attempts of a job that is being answered.
    pub(super) fn stop_attempts(&mut self, job: &Job<Running>) {
        for progress in &job.stage.tasks {
            for pending in &progress.pending {
                self.stop_attempt(pending.clone());
            }
        }
    }

    /// Returns whether the job runs and its tasks may run more than once.
    pub(super) fn is_repeatable(&self, job: u64) -> bool {
        match self.jobs.get(&job) {
            Some(Stage::Running(job)) => job.stage.admitted.class.is_repeatable(),
            _ => false,
        }
    }

    /// Returns a copy of an attempt that hasn't ended.
    pub(super) fn find_pending(&mut self, attempt: Attempt) -> Option<Pending> {
        self.with_pending(attempt, |pending| pending.clone())
    }

    /// Calls `work` on an attempt that hasn't ended.
    ///
    /// Returns `None` for an attempt that has ended or is from another incarnation, so that a late or duplicate reply
    /// has no effect.
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
    /// Returns the outcome of a job that ends before it is complete.
    fn outcome(&self, reason: Reason) -> Outcome {
        let has_pending = self.stage.tasks.iter().any(|task| !task.pending.is_empty());
        match (reason, has_pending, self.stage.may_have_run) {
            (Reason::TaskFailed, _, _) => Outcome::Failed,
            (Reason::Lost, _, _) | (_, true, _) => Outcome::Unknown,
            (_, false, true) => Outcome::Failed,
            (_, false, false) => Outcome::NotRun,
        }
    }
}

impl Progress {
    /// Makes the next attempts avoid an endpoint; the oldest one is dropped beyond [`MAX_AVOIDED`].
    pub(super) fn avoid(&mut self, endpoint: EndpointId) {
        if self.avoid.contains(&endpoint) {
            return;
        }
        if self.avoid.len() == MAX_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(endpoint);
    }
}
