//! The entry: accepts callers' jobs, sends their tasks to rack owners in batches, and answers the callers.

mod batches;
mod doubts;
mod ending;
mod rack;
mod stored;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet, //
    },
    rc::Rc, //
};

use self::rack::{
    choose_rack,
    ClassLimits,
    Rack,
    Target, //
};
use super::{
    admission::{
        self,
        Decision,
        Demand,
        Forecast,
        Limits,
        ESTIMATE_SHARE, //
    },
    doubt::Doubts,
    id::{
        JobId,
        RackId,
        TaskId, //
    },
    license::RETRY_DELAY,
    message::{
        self,
        Answer,
        Batch,
        Contact,
        Listing,
        Load,
        LogRecord,
        Message,
        Output,
        Ticket,
        Vacancy, //
    },
    owner::Effects,
    queue::Class,
    route::Route,
    task::{
        Step,
        Submission, //
    }, //
};
use crate::prelude::*;

/// How long an instance may still have runs of a batch after it was lost, or was found without the batch. It
/// starts nothing once it hasn't heard the entry for 600 ms, and its runs are stopped or their leases expire
/// within another second; the rest allows for the endpoints' clocks. Tasks placed earlier could run twice. Starts that a later life
/// of an endpoint carries out know no such bound, so the tasks go to the next owner of the rack, which bars them.
const LOST_BATCH_DELAY: Span = Span::millis(1_700);

/// How long the next owner of a rack is awaited to give tasks of its lost owner to it: it may be one that this instance doesn't hear.
const NEXT_OWNER_TIMEOUT: Span = Span::seconds(5);

/// Delay before returned tasks are placed again: the owner's next heartbeat, which announces its racks, must
/// arrive first, or the tasks would go to the same owner over and over.
const RETURNED_TASK_DELAY: Span = Span::millis(10);

/// Age after which an unfinished batch is audited at its owner: a message may have been lost with a session.
const BATCH_AUDIT_AGE: Span = Span::millis(700);

/// Bounds of the retry delay for refused callers. Between them it follows the estimated duration of the job; a stagger
/// comes on top, see [`Entry::refuse`].
const RETRY_DELAY_RANGE: (Span, Span) = (Span::seconds(1), Span::seconds(4));

/// The answer to a job that was given up after it may have started. Its runs have ended by the time at which the caller may retry,
/// whatever becomes of their stops, unless a later life of an endpoint carries out a start without an answer.
const GIVEN_UP: Answer = Answer::GivenUp { again: RETRY_DELAY };

/// The time limit of a stored job, about 30 years: it runs to its end, however late.
pub(super) const UNLIMITED: Span = Span::seconds(1_000_000_000);

/// The number of announcements of a rack without speed classes after which the last ones are outdated. Owners announce them every 500 ms
/// where speeds differ, and changed room at most every 20 ms.
const MAX_UPDATES_WITHOUT_CLASSES: u32 = 75;

/// Multiple of a job's objective after which an answer is of little use. A job that would have to wait and end
/// later is refused. Otherwise the backlog of a short overload would make all later jobs late.
pub(super) const USEFUL_FACTOR: f64 = 3.0;

/// How long after its due time a part of a job is of use while no other part is known to have started.
///
/// Parts of a job that waits lie at several owners. If one starts and the other can't within the caller's wait of 1.5 s, the job ends
/// in 504. So an unstarted part comes back to the entry while there is time left: it's placed again if another part has started, and
/// the job is refused otherwise. With 100 or 300 ms, jobs were refused that would have been of use.
const SPLIT_USEFUL: Span = Span::millis(600);

/// How long after its start an instance keeps jobs for which it knows no endpoint, while it hasn't read the list of endpoints.
/// That and the claim of racks take some tenths of a second.
const LIST_TIMEOUT: Span = Span::seconds(1);

/// A job in progress.
#[derive(Debug)]
struct Job {
    /// The callers that wait for its answer.
    tickets: Vec<Ticket>,
    submission: Rc<Submission>,
    service: String,
    attempts: u32,
    priority: u32,
    arrived_at: Time,
    /// An answer after this is late.
    due_at: Time,
    /// An answer after this is of little use.
    useful_until: Time,
    /// When its callers stop waiting.
    deadline: Time,
    steps: Vec<StepState>,
    batches: BTreeMap<u64, SentBatch>,
    /// Tasks that are in no batch.
    unplaced: Vec<UnplacedTasks>,
    /// Whether a start of a task may have been sent to an endpoint.
    started: bool,
    /// Whether a task was placed on free resources, so that it starts at once.
    committed: bool,
    /// Whether it was given up. If nothing of it may have started, it's answered only once all owners have dropped its
    /// batches.
    given_up: bool,
    /// Whether a task has used up its attempts.
    failed: bool,
    /// Whether the job is stored: no caller waits, and the ends of its tasks arrive one by one.
    stored: bool,
    /// The queue that accepted it.
    route: String,
}

impl Job {
    /// Returns when a task of a step must end so that the steps after it can be on time.
    fn latest_end(&self, step: &Step) -> Time {
        let critical_path = self.submission.critical_path();
        let rest = critical_path.0.saturating_sub(step.estimate.0);
        Time(self.due_at.0.saturating_sub(rest))
    }
}

/// The state of a step.
#[derive(Debug, Clone)]
struct StepState {
    /// The tasks that aren't done. With a count instead, a task that two batches report would count twice, and
    /// the job could be answered as completed too early.
    remaining: BTreeSet<u32>,
    /// Whether its tasks have been placed, or wait in [`Job::unplaced`].
    placed: bool,
}

/// Tasks that wait to be placed.
#[derive(Debug)]
struct UnplacedTasks {
    step: u32,
    tasks: Vec<u32>,
    /// The earliest time at which they may be placed.
    not_before: Time,
    /// A rack that has asked for tasks.
    preferred_rack: Option<RackId>,
    /// The rack whose owner was lost while it had them, as starts of them may be on their way to its endpoints, and until when its next
    /// owner is awaited.
    lost_on: Option<(RackId, Time)>,
}

/// A batch that was sent to an owner.
#[derive(Debug)]
struct SentBatch {
    owner: Instance,
    rack: RackId,
    step: u32,
    tasks: Vec<u32>,
    /// When it was sent, or was last heard to have moved.
    sent_at: Time,
    /// How often it moved to another owner, as far as this entry has heard.
    moves: u32,
    /// Tasks that were taken out of it without its owner.
    withdrawn: Vec<u32>,
}

/// A batch whose job has ended early, and that its owner hasn't dropped yet as far as this entry has heard.
#[derive(Debug)]
struct DroppedBatch {
    owner: Instance,
    rack: RackId,
    tasks: Vec<TaskId>,
    dropped_at: Time,
}

/// The jobs in progress that an instance has accepted, and its view of all racks.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    instance: Instance,
    /// The data centre of this instance.
    centre: String,
    jobs: BTreeMap<JobId, Job>,
    by_ticket: HashMap<Ticket, JobId>,
    by_serial: HashMap<u64, JobId>,
    racks: BTreeMap<RackId, Rack>,
    /// Data centres where nothing may be started.
    evacuated: BTreeSet<String>,
    /// Starts in doubt: their tasks go to the racks of these, whose owners know when they may start again.
    doubts: Doubts,
    /// Starts in doubt that other instances are to be told of.
    untold_doubts: Vec<message::Doubt>,
    /// Batches of jobs that have ended early, until their owners have dropped them.
    dropped: BTreeMap<u64, DroppedBatch>,
    /// Stored jobs and when they may start: after their runs under a former coordinator have ended.
    delayed_starts: Vec<(Time, JobId)>,
    /// The serial number of the last batch.
    last_serial: u64,
    /// Counts refusals, to spread the retry delays.
    refusals: u32,
    /// Whether queues of several priorities are configured.
    several_priorities: bool,
    /// Whether the endpoints are known.
    listed: bool,
    /// When the instance began to work.
    began_at: Option<Time>,
    /// The time of the last input that was passed with one.
    now: Time,
}

impl Entry {
    /// Creates an entry without jobs or racks. Batches are numbered from above `last_serial`, which must not be
    /// below any number of a former incarnation.
    pub fn new(last_serial: u64, instance: &Instance, centre: impl Into<String>) -> Self {
        Self {
            instance: instance.clone(),
            centre: centre.into(),
            last_serial,
            jobs: BTreeMap::new(),
            by_ticket: HashMap::new(),
            by_serial: HashMap::new(),
            racks: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            doubts: Doubts::default(),
            untold_doubts: Vec::new(),
            dropped: BTreeMap::new(),
            delayed_starts: Vec::new(),
            refusals: 0,
            several_priorities: false,
            listed: false,
            began_at: None,
            now: Time::default(),
        }
    }

    /// Returns the number of jobs in progress.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is in progress.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether a job is in progress here and its caller waits for the end.
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| !job.stored)
    }

    /// Counts the jobs that have started no task, by queue.
    pub fn pending_by_route(&self) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.started) {
            match counts.get_mut(&job.route) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(job.route.clone(), 1);
                }
            }
        }
        counts
    }

    /// Returns whether a task of a job has started here.
    pub fn has_started(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.started)
    }

    /// Replaces the racks by those of the listed endpoints. Racks that stay keep their owner and free resources;
    /// endpoints that are draining don't count.
    pub fn set_endpoints<'a>(&mut self, listings: impl IntoIterator<Item = &'a Listing>) {
        let mut racks: BTreeMap<RackId, Rack> = BTreeMap::new();
        for listing in listings.into_iter().filter(|l| !l.draining) {
            let id = listing.rack_id();
            let rack = racks.entry(id).or_insert_with(|| Rack {
                service: listing.service.clone(),
                centre: listing.centre.clone(),
                name: listing.rack.clone(),
                evacuated: self.evacuated.contains(&listing.centre),
                ..Rack::default()
            });
            rack.cpu += listing.capacity.cpu;
            if !rack.endpoint_sizes.contains(&listing.capacity) {
                rack.endpoint_sizes.push(listing.capacity);
            }
            for label in &listing.labels {
                if !rack.labels.contains(label) {
                    rack.labels.push(label.clone());
                }
            }
        }
        for (id, rack) in &mut racks {
            if let Some(previous) = self.racks.remove(id) {
                rack.owner = previous.owner;
                rack.free = previous.free;
                rack.movable = previous.movable;
                rack.backlog = previous.backlog;
                rack.speeds = previous.speeds;
                rack.without_classes = previous.without_classes;
                rack.waiting = previous.waiting;
                rack.placed = previous.placed;
            }
        }
        self.racks = racks;
        self.listed = true;
    }

    /// Sets whether queues of several priorities are configured. If so, the remaining tasks of jobs that have started don't go behind
    /// those that can be on time.
    pub fn set_several_priorities(&mut self, several: bool) {
        self.several_priorities = several;
    }

    /// Sets the data centres where no tasks are placed.
    pub fn set_evacuated_centres(&mut self, centres: &BTreeSet<String>) {
        self.evacuated.clone_from(centres);
        for rack in self.racks.values_mut() {
            rack.evacuated = centres.contains(&rack.centre);
        }
    }

    /// Sets the owner of each rack. A rack whose owner changes has no free resources until the new one announces
    /// them.
    pub fn set_owners(&mut self, owners: &HashMap<RackId, Contact>) {
        for (id, rack) in &mut self.racks {
            let owner = owners.get(id);
            if rack.owner.as_ref() != owner {
                rack.owner = owner.cloned();
                rack.free.clear();
                rack.speeds.clear();
            }
        }
    }

    /// Returns whether every rack has an owner.
    pub fn all_racks_owned(&self) -> bool {
        self.racks.values().all(|rack| rack.owner.is_some())
    }

    /// Returns the racks with their data centres.
    pub fn racks(&self) -> Vec<(RackId, String)> {
        let racks = self.racks.iter();
        racks.map(|(id, rack)| (*id, rack.centre.clone())).collect()
    }

    /// Returns the racks without an owner, with their data centres.
    pub fn unowned_racks(&self) -> Vec<(RackId, String)> {
        let racks = self.racks.iter();
        let unowned = racks.filter(|(_, rack)| rack.owner.is_none());
        let with_centre = unowned.map(|(id, rack)| (*id, rack.centre.clone()));
        with_centre.collect()
    }

    /// Updates the free resources and the backlog of racks that `from` owns; ignores other racks.
    pub fn update_rooms(&mut self, from: &Instance, rooms: Vec<Vacancy>) {
        for vacancy in rooms {
            let Some(rack) = self.racks.get_mut(&vacancy.rack) else {
                continue;
            };
            if rack.owner.as_ref().is_some_and(|owner| owner.name == *from) {
                rack.without_classes += 1;
                let outdated = rack.without_classes > MAX_UPDATES_WITHOUT_CLASSES;
                if outdated || rack.speeds.len() != vacancy.free.len() {
                    rack.speeds.clear();
                }
                rack.free = vacancy.free;
                rack.movable = vacancy.movable;
                rack.backlog = vacancy.backlog;
                rack.waiting.clear();
                rack.forget_placed(self.now);
            }
        }
    }

    /// Updates the load of racks that `from` owns, after their room; ignores other racks. Racks without a load have none,
    /// but keep the speed classes that were last announced for as many endpoints.
    pub fn update_loads(&mut self, from: &Instance, loads: Vec<Load>) {
        for load in loads {
            let Some(rack) = self.racks.get_mut(&load.rack) else {
                continue;
            };
            if rack.owner.as_ref().is_some_and(|owner| owner.name == *from) {
                if !load.speeds.is_empty() {
                    rack.speeds = load.speeds;
                    rack.without_classes = 0;
                }
                rack.waiting = load.waiting;
            }
        }
    }

    /// Returns the rack of the same service, and its owner, with the most waiting tasks that could move to `to`.
    pub fn busiest_rack(&self, to: RackId) -> Option<(RackId, Contact)> {
        let service = &self.racks.get(&to)?.service;
        let others = self.racks.iter();
        let others = others.filter(|(id, r)| r.movable > 0 && **id != to && r.service == *service);
        let (id, rack) = others.max_by_key(|(_, rack)| rack.movable)?;
        Some((*id, rack.owner.clone()?))
    }

    /// Counts `count` tasks of a rack as no longer movable, after they were requested from its owner.
    pub fn on_tasks_requested(&mut self, from: RackId, count: u32) {
        if let Some(rack) = self.racks.get_mut(&from) {
            rack.movable = rack.movable.saturating_sub(count);
        }
    }

    /// Accepts a job and places its first steps, or refuses it at once. `time_limit` is the caller's own.
    pub fn submit(
        &mut self,
        ticket: Ticket,
        submission: Submission,
        route: &Route,
        time_limit: Option<Span>,
        now: Time,
        out: &mut Effects,
    ) {
        self.set_now(now);
        let id = submission.id;
        if let Some(job) = self.jobs.get_mut(&id) {
            // The job was submitted twice: both callers get its answer.
            job.tickets.push(ticket);
            self.by_ticket.insert(ticket, id);
            return;
        }
        let critical_path = submission.critical_path();
        // A caller's own limit may exceed the queue's timeout, to allow for more work.
        let limit = time_limit.unwrap_or(route.timeout);
        if let Some(reason) = unsupported_feature(&submission, route) {
            return self.refuse(ticket, id, &reason, Span(0), out);
        }
        let objective = route.objective(critical_path);
        let useful = Span((objective.0 as f64 * USEFUL_FACTOR) as u64);
        let limits = Limits {
            critical_path,
            objective,
            useful,
            time_limit: limit,
        };
        let forecast = self.forecast(&submission, &route.service, route.priority, &limits);
        let forecast = match forecast {
            Some(forecast) => forecast,
            None if self.awaits_list(now) => Forecast::default(),
            None => {
                let retry_after = RETRY_DELAY_RANGE.1;
                return self.refuse(ticket, id, "no endpoint can run it", retry_after, out);
            }
        };
        let needed = match admission::decide(forecast, &limits) {
            Decision::Accepted(needed) => needed,
            Decision::Refused {
                expected,
                retry_after,
            } => {
                let record = LogRecord::new("job_refused").job(id);
                let record = record.with("reason", "it would end too late");
                let record = record.with("priority", route.priority);
                let record = record.with("expected_ms", expected);
                let record = record.with("backlog_ms", forecast.backlog);
                return self.answer_refused(ticket, record, retry_after, out);
            }
        };
        let steps = submission.steps.iter().map(|step| StepState {
            remaining: (0..step.count).collect(),
            placed: false,
        });
        let mut job = Job {
            tickets: vec![ticket],
            service: route.service.clone(),
            attempts: route.attempts.max(1),
            priority: route.priority,
            arrived_at: now,
            due_at: now + objective,
            useful_until: now + useful,
            deadline: now + limit,
            steps: steps.collect(),
            submission: Rc::new(submission),
            batches: BTreeMap::new(),
            unplaced: Vec::new(),
            started: false,
            committed: false,
            given_up: false,
            failed: false,
            stored: false,
            route: route.name.clone(),
        };
        job.started = self.has_doubts(id);
        let record = LogRecord::routine("job_accepted").job(id);
        let record = record.with("route", route.name.as_str());
        let record = record.with("due_ms", job.due_at.since(now));
        let record = record.with("until_ms", limit);
        out.outputs
            .push(Output::Log(record.with("expected_ms", needed)));
        self.by_ticket.insert(ticket, id);
        self.jobs.insert(id, job);
        self.advance(id, now, out);
    }

    /// Refuses a job of which nothing was started. Its caller may retry after about `retry_after`, within
    /// [`RETRY_DELAY_RANGE`].
    pub(super) fn refuse(
        &mut self,
        ticket: Ticket,
        id: JobId,
        reason: &str,
        retry_after: Span,
        out: &mut Effects,
    ) {
        let record = LogRecord::new("job_refused").job(id).with("reason", reason);
        self.answer_refused(ticket, record, retry_after, out);
    }

    /// Answers a refused job and logs `record` with the time to retry.
    fn answer_refused(
        &mut self,
        ticket: Ticket,
        record: LogRecord,
        retry_after: Span,
        out: &mut Effects,
    ) {
        // Staggers the retries of callers that are refused at the same moment.
        self.refusals = self.refusals.wrapping_add(1);
        let spread = u64::from(self.refusals % 4) * 500_000;
        let again = retry_after
            .max(RETRY_DELAY_RANGE.0)
            .min(RETRY_DELAY_RANGE.1);
        let again = Span(again.0 + spread);
        let is_in_doubt = record.job.is_some_and(|job| self.has_doubts(job));
        out.outputs
            .push(Output::Log(record.with("again_ms", again)));
        // A start of a former attempt may still be carried out.
        let answer = match is_in_doubt {
            true => Answer::GivenUp { again },
            false => Answer::Refused { again },
        };
        out.outputs.push(Output::Answer(ticket, answer));
    }

    /// Forecasts when the tasks of a job would start; `None` if no endpoint can run one of its steps.
    ///
    /// Racks without an owner count, since they get one within a second.
    pub(super) fn forecast(
        &self,
        submission: &Submission,
        service: &str,
        priority: u32,
        limits: &Limits,
    ) -> Option<Forecast> {
        let mut latest = Forecast::default();
        for step in &submission.steps {
            let racks = self.racks.values();
            let racks = racks.filter(|rack| rack.service == service && rack.can_run(step));
            // Tasks go to the rack with their data even where others have room.
            let with_data = step.affinity.as_ref().and_then(|name| {
                let mut racks = racks.clone();
                racks.find(|rack| rack.name == *name && rack.is_usable())
            });
            let racks = racks.filter(|rack| with_data.is_none_or(|data| data.name == rack.name));
            racks.clone().next()?;
            let fitting = racks.clone().map(|rack| rack.count_fitting_tasks(step));
            let missing = admission::count_missing(u64::from(step.count), fitting);
            if missing == 0 {
                continue;
            }
            let demand = Demand {
                tasks: missing,
                work: step.work(),
                slack: limits.objective - limits.critical_path,
                horizon: limits.longest_wait().unwrap_or_default(),
            };
            let class = Class::new(priority, false);
            let rooms = racks.map(|rack| rack.room(step, class));
            latest = latest.later(admission::forecast(rooms, &demand)?);
        }
        Some(latest)
    }

    /// Returns whether the endpoints aren't known yet because the instance has just started.
    fn awaits_list(&self, now: Time) -> bool {
        let begun = self.began_at.is_none_or(|at| now.since(at) < LIST_TIMEOUT);
        !self.listed && begun
    }

    fn set_now(&mut self, now: Time) {
        self.now = now;
        self.began_at.get_or_insert(now);
    }

    /// Places the steps of a job whose predecessors are done, or ends the job once all its steps are done.
    fn advance(&mut self, id: JobId, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.steps.iter().all(|step| step.remaining.is_empty()) {
            return match job.stored {
                true => self.remove(id),
                false => self.answer(id, Answer::Completed, now, out),
            };
        }
        let submission = job.submission.clone();
        let mut due = Vec::new();
        for (index, step) in submission.steps.iter().enumerate() {
            let ready = |s: &u32| {
                job.steps
                    .get(*s as usize)
                    .is_some_and(|p| p.remaining.is_empty())
            };
            if !job.steps[index].placed && step.after.iter().all(ready) {
                job.steps[index].placed = true;
                let tasks: Vec<u32> = job.steps[index].remaining.iter().copied().collect();
                due.push((index as u32, tasks));
            }
        }
        for (step, tasks) in due {
            self.place(id, step, tasks, None, now, out);
        }
    }

    /// Chooses a rack for each task of a step and sends one batch to each rack. Tasks without a rack stay unplaced.
    fn place(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        preferred_rack: Option<RackId>,
        now: Time,
        out: &mut Effects,
    ) {
        // It may have been given up since these tasks were found due.
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.given_up) else {
            return;
        };
        let submission = job.submission.clone();
        let wanted = &submission.steps[step as usize];
        let (tasks, in_doubt) = self.split_by_doubt(id, step, tasks, now);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut shares: BTreeMap<RackId, Vec<u32>> = BTreeMap::new();
        let mut unplaced = Vec::new();
        let mut starts = false;
        let mut demand = Target {
            job: id,
            step: wanted,
            service: &job.service,
            class: Class::new(job.priority, job.due_at <= now),
            now,
            preferred_rack,
            remaining: tasks.len() as u64,
            limits: ClassLimits::new(wanted, job.latest_end(wanted).since(now)),
            instance: &self.instance,
            centre: &self.centre,
        };
        for task in tasks {
            let rack = choose_rack(&mut self.racks, &demand, &shares);
            demand.remaining -= 1;
            match rack {
                Some((rack, is_free)) => {
                    shares.entry(rack).or_default().push(task);
                    starts |= is_free;
                }
                None => unplaced.push(task),
            }
        }
        if !unplaced.is_empty() {
            job.unplaced.push(UnplacedTasks {
                step,
                tasks: unplaced,
                not_before: now,
                preferred_rack: None,
                lost_on: None,
            });
        }
        job.committed |= starts;
        let is_split = shares.len() + in_doubt.len() > 1;
        for (rack, tasks) in shares {
            self.send_batch(id, step, tasks, (rack, is_split), 0, now, out);
        }
        for (rack, tasks) in in_doubt {
            self.place_in_doubt(id, step, tasks, (rack, is_split), now, out);
        }
    }

    /// Gives tasks of a lost owner to the next owner of their rack, which knows when no start of the lost one can arrive there any more.
    /// Places them anywhere if the rack can't run them.
    fn place_lost(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        (lost_on, until): (RackId, Time),
        now: Time,
        out: &mut Effects,
    ) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.given_up) else {
            return;
        };
        let wanted = &job.submission.steps[step as usize];
        let rack = self.racks.get(&lost_on);
        let rack = rack.filter(|rack| !rack.evacuated && rack.can_run(wanted));
        match rack.map(|rack| rack.owner.is_some()) {
            Some(true) => self.send_batch(id, step, tasks, (lost_on, false), 1, now, out),
            Some(false) if now < until => job.unplaced.push(UnplacedTasks {
                step,
                tasks,
                not_before: now + RETURNED_TASK_DELAY,
                preferred_rack: None,
                lost_on: Some((lost_on, until)),
            }),
            Some(false) => {
                let lost_at = Time(until.0.saturating_sub(NEXT_OWNER_TIMEOUT.0));
                self.doubt_starts_on(lost_on, id, step, &tasks, lost_at);
                self.place(id, step, tasks, None, now, out);
            }
            None => self.place(id, step, tasks, None, now, out),
        }
    }

    /// Sends tasks of one step to a rack's owner as a batch. `is_split` says whether tasks that are placed at the same time go
    /// elsewhere, and `moves` how often they have moved to another owner of the rack.
    #[expect(clippy::too_many_arguments, reason = "the tasks and their place")]
    fn send_batch(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        (to, is_split): (RackId, bool),
        moves: u32,
        now: Time,
        out: &mut Effects,
    ) {
        let (Some(job), Some(rack)) = (self.jobs.get_mut(&id), self.racks.get(&to)) else {
            return;
        };
        let Some(owner) = rack.owner.clone() else {
            return;
        };
        self.last_serial += 1;
        let serial = self.last_serial;
        let wanted = &job.submission.steps[step as usize];
        // Stored jobs are never given up for lack of time.
        let committed = !job.stored && (job.started || job.committed);
        let useful_until = match committed {
            true => job.deadline,
            false if is_split && self.several_priorities && !job.stored => {
                job.useful_until.min(job.due_at + SPLIT_USEFUL)
            }
            false => job.useful_until,
        };
        let latest_start = Time(job.latest_end(wanted).0.saturating_sub(wanted.estimate.0));
        let batch = Batch {
            serial,
            rack: to,
            job: id,
            step,
            tasks: tasks.clone(),
            moves,
            need: wanted.need,
            estimate: wanted.estimate,
            label: wanted.label.clone(),
            per_endpoint: wanted.per_endpoint,
            spec: job.submission.spec.clone(),
            attempts: job.attempts,
            priority: job.priority,
            work: match committed && self.several_priorities {
                true => wanted.work() * tasks.len() as u64,
                false => job.submission.total_work(),
            },
            tied: wanted.affinity.as_ref() == Some(&rack.name),
            stored: job.stored,
            slack: (latest_start > now).then(|| latest_start.since(now)),
            useful: useful_until.since(now),
            time_left: job.deadline.since(now),
        };
        let record = LogRecord::routine("batch_sent").job(id);
        let record = record
            .with("batch", serial)
            .with("owner", owner.name.as_str());
        let record = record.with("rack", rack.name.as_str());
        out.outputs
            .push(Output::Log(record.with("tasks", tasks.len())));
        let sent = SentBatch {
            owner: owner.name.clone(),
            rack: to,
            step,
            tasks,
            sent_at: now,
            moves,
            withdrawn: Vec::new(),
        };
        let doubts = self.doubts_of_tasks(id, step, &sent.tasks, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.batches.insert(serial, sent);
        }
        self.by_serial.insert(serial, id);
        if !doubts.is_empty() {
            // It arrives before the batch.
            out.messages.push((owner.clone(), Message::Doubts(doubts)));
        }
        out.messages.push((owner, Message::Batch(Box::new(batch))));
    }

    /// Places the tasks that are due and gives up jobs that can't meet their deadline.
    pub fn run_due(&mut self, now: Time, out: &mut Effects) {
        self.set_now(now);
        self.expire_doubts(now);
        let mut overdue = Vec::new();
        let mut ready = Vec::new();
        for (id, job) in &mut self.jobs {
            if now >= job.deadline {
                overdue.push(*id);
                continue;
            }
            if job.given_up {
                continue;
            }
            let duration = job.submission.critical_path().0 as f64 * ESTIMATE_SHARE;
            let misses_deadline = |unplaced: &UnplacedTasks| {
                unplaced.not_before + Span(duration as u64) > job.deadline
            };
            if job.unplaced.iter().any(misses_deadline) {
                overdue.push(*id);
                continue;
            }
            let (due, later) = std::mem::take(&mut job.unplaced)
                .into_iter()
                .partition(|unplaced: &UnplacedTasks| unplaced.not_before <= now);
            job.unplaced = later;
            let due: Vec<UnplacedTasks> = due;
            ready.extend(due.into_iter().map(|unplaced| (*id, unplaced)));
        }
        for id in overdue {
            self.give_up(id, "its time has passed or can't be met", now, out);
            // At the deadline the answer no longer waits for the owners' replies.
            let expired = self.jobs.get(&id).is_some_and(|job| now >= job.deadline);
            if expired {
                self.answer(id, GIVEN_UP, now, out);
            }
        }
        for (id, unplaced) in ready {
            let UnplacedTasks {
                step,
                tasks,
                preferred_rack,
                lost_on,
                ..
            } = unplaced;
            match (self.is_unrunnable(id, step), lost_on) {
                (true, _) => self.give_up(id, "no endpoint can run it", now, out),
                (false, Some(rack)) => self.place_lost(id, step, tasks, rack, now, out),
                (false, None) => self.place(id, step, tasks, preferred_rack, now, out),
            }
        }
    }

    /// Returns whether a caller waits for a step that no endpoint can run any more, since data centres were
    /// evacuated or endpoints were removed. Without this check its job would be kept until the deadline.
    fn is_unrunnable(&self, id: JobId, step: u32) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.stored) else {
            return false;
        };
        let step = &job.submission.steps[step as usize];
        let mut racks = self.racks.values();
        !self.awaits_list(self.now)
            && !racks.any(|rack| rack.service == job.service && rack.can_run(step))
    }

    /// Returns the owners of outstanding batches.
    pub fn batch_owners(&self) -> HashSet<&Instance> {
        let batches = self.jobs.values().flat_map(|job| job.batches.values());
        batches.map(|sent| &sent.owner).collect()
    }

    /// Asks owners whether they still hold the batches that have been outstanding for long.
    pub fn audit_batches(&self, now: Time, out: &mut Effects) {
        let mut audits: BTreeMap<Instance, Vec<u64>> = BTreeMap::new();
        for job in self.jobs.values() {
            for (serial, sent) in &job.batches {
                if now.since(sent.sent_at) > BATCH_AUDIT_AGE {
                    audits.entry(sent.owner.clone()).or_default().push(*serial);
                }
            }
        }
        for (name, serials) in audits {
            let contact = Contact {
                name,
                address: String::new(),
            };
            out.messages.push((contact, Message::Audit(serials)));
        }
    }
}

/// Returns the reason why a job can't be accepted if it needs a feature that isn't supported.
pub(super) fn unsupported_feature(submission: &Submission, route: &Route) -> Option<String> {
    if route.advised {
        return Some("queues with an adviser are not supported".to_owned());
    }
    let steps = submission.steps.iter();
    let step = steps.filter_map(|step| step.unsupported.clone()).next();
    submission.unsupported.clone().or(step)
}
