//! The entry's duty: it takes jobs in, gives their tasks out as batches, and answers.

mod batches;
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
    rc::Rc,
};

use self::rack::{
    choose,
    Demand,
    Rack, //
};
use super::{
    id::{
        JobId,
        RackId, //
    },
    message::{
        Answer,
        Batch,
        Contact,
        Listing,
        Message,
        Output,
        Record,
        Ticket,
        Vacancy, //
    },
    owner::Effects,
    route::Route,
    task::Submission,
};
use crate::prelude::*;

/// How long after an instance was given up, or was found without a batch, it may still have runs of it. It starts
/// nothing once it hasn't heard the entry for 600 ms, and stops what it has, or its last leases pass a second
/// later; the rest is for the endpoints' clocks.
const DOUBT: Span = Span::millis(1_700);

/// How long tasks that an owner sent back wait for its heartbeat, which tells what it owns.
const ELSEWHERE: Span = Span::millis(10);

/// After which a batch that hasn't ended is asked for again: a message may have been lost with a session.
const AUDIT: Span = Span::millis(700);

/// When callers that are refused for want of room may come back, at the least and at the most. What waits ahead
/// of them is served at about the rate at which it came; the spread keeps them from coming back together.
const AGAIN: (Span, Span) = (Span::seconds(1), Span::seconds(4));

/// The answer to a job that was given up after it may have started. The time covers the stop of what runs, in
/// the worst case until its leases have lapsed, and what keeps the caller's place from being served now.
const GIVEN_UP: Answer = Answer::GivenUp { again: AGAIN.0 };

/// How long a stored job may take: it is run to its end, however late that is.
const FOREVER: Span = Span::seconds(1_000_000_000);

/// After this multiple of its objective an answer is of little use. A job that would end later is refused where it
/// would have to wait, so that those which can still be of use get the room: without that, two seconds of overload
/// make everything late for as long as the load lasts.
pub(super) const USEFUL: f64 = 3.0;

/// The share of the estimated wait and work that must fit in a caller's time for its job to be taken.
const CAUTION: f64 = 0.8;

/// A job in progress.
#[derive(Debug)]
struct Job {
    tickets: Vec<Ticket>,
    submission: Rc<Submission>,
    service: String,
    attempts: u32,
    priority: u32,
    arrived: Time,
    /// Until when it is on time.
    due: Time,
    /// Until when an answer is of use.
    useful: Time,
    /// Until when its callers wait.
    until: Time,
    steps: Vec<Progress>,
    batches: BTreeMap<u64, Sent>,
    /// Tasks that no owner has, with the earliest time at which they may be placed.
    loose: Vec<Loose>,
    /// Whether some start may have left.
    started: bool,
    /// Set once it is given up: it is answered when all owners have dropped it.
    ending: bool,
    /// Whether it is given up because a task failed as often as it may.
    failed: bool,
    /// Whether it is stored: nobody waits, and the ends of its tasks come one by one.
    stored: bool,
    /// The queue that it came by.
    route: String,
}

/// How far a step has come.
#[derive(Debug, Clone)]
struct Progress {
    /// The tasks that are not done. A mere count would take a task that two batches report for two tasks, and the
    /// caller would be told complete while one has not ended.
    left: BTreeSet<u32>,
    placed: bool,
}

/// Tasks that wait to be placed.
#[derive(Debug)]
struct Loose {
    step: u32,
    tasks: Vec<u32>,
    at: Time,
    hint: Option<RackId>,
}

/// A batch that an owner has.
#[derive(Debug)]
struct Sent {
    owner: Instance,
    step: u32,
    tasks: Vec<u32>,
    at: Time,
    /// How often it moved, as far as this entry has heard.
    moves: u32,
}

/// The jobs that an instance has taken in.
#[derive(Debug)]
pub struct Entry {
    /// Its instance.
    own: Instance,
    /// The data centre of its instance.
    centre: String,
    jobs: BTreeMap<JobId, Job>,
    by_ticket: HashMap<Ticket, JobId>,
    by_serial: HashMap<u64, JobId>,
    racks: BTreeMap<RackId, Rack>,
    /// Data centres where nothing may be started.
    evacuated: BTreeSet<String>,
    /// Stored jobs that wait until what ran of them elsewhere has ended.
    held_back: Vec<(Time, JobId)>,
    serial: u64,
    refused: u32,
}

impl Entry {
    /// Starts the numbers of batches at `serial`, which must be above those of any former life.
    pub fn new(serial: u64, own: &Instance, centre: impl Into<String>) -> Self {
        Self {
            own: own.clone(),
            centre: centre.into(),
            serial,
            jobs: BTreeMap::new(),
            by_ticket: HashMap::new(),
            by_serial: HashMap::new(),
            racks: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            held_back: Vec::new(),
            refused: 0,
        }
    }

    /// Counts the jobs in progress.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether no job is in progress.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Tells whether a job whose caller waits is in progress here.
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| !job.stored)
    }

    /// Counts the jobs of which nothing has started, by queue.
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

    /// Tells whether some of a job has started here.
    pub fn started(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.started)
    }

    /// Takes note of the endpoints that the platform lists.
    pub fn list<'a>(&mut self, listings: impl IntoIterator<Item = &'a Listing>) {
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
            if !rack.sizes.contains(&listing.capacity) {
                rack.sizes.push(listing.capacity);
            }
            for label in &listing.labels {
                if !rack.labels.contains(label) {
                    rack.labels.push(label.clone());
                }
            }
        }
        for (id, rack) in &mut racks {
            if let Some(known) = self.racks.remove(id) {
                rack.owner = known.owner;
                rack.free = known.free;
                rack.movable = known.movable;
                rack.backlog = known.backlog;
            }
        }
        self.racks = racks;
    }

    /// Places nothing in these data centres from now on.
    pub fn evacuate(&mut self, centres: &BTreeSet<String>) {
        self.evacuated.clone_from(centres);
        for rack in self.racks.values_mut() {
            rack.evacuated = centres.contains(&rack.centre);
        }
    }

    /// Takes note of the owners.
    pub fn set_owners(&mut self, owners: &HashMap<RackId, Contact>) {
        for (id, rack) in &mut self.racks {
            let owner = owners.get(id);
            if rack.owner.as_ref() != owner {
                rack.owner = owner.cloned();
                rack.free.clear();
            }
        }
    }

    /// Tells whether every rack has an owner.
    pub fn owned(&self) -> bool {
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
        let orphans = racks.filter(|(_, rack)| rack.owner.is_none());
        let with_centre = orphans.map(|(id, rack)| (*id, rack.centre.clone()));
        with_centre.collect()
    }

    /// Takes note of the room that racks have.
    pub fn update_rooms(&mut self, from: &Instance, rooms: Vec<Vacancy>) {
        for vacancy in rooms {
            let Some(rack) = self.racks.get_mut(&vacancy.rack) else {
                continue;
            };
            if rack.owner.as_ref().is_some_and(|owner| owner.name == *from) {
                rack.free = vacancy.free;
                rack.movable = vacancy.movable;
                rack.backlog = vacancy.backlog;
            }
        }
    }

    /// Finds the rack of the same service with the most tasks that wait and could move to `to`.
    pub fn busiest_rack(&self, to: RackId) -> Option<(RackId, Contact)> {
        let service = &self.racks.get(&to)?.service;
        let others = self.racks.iter();
        let others = others.filter(|(id, r)| r.movable > 0 && **id != to && r.service == *service);
        let (id, rack) = others.max_by_key(|(_, rack)| rack.movable)?;
        Some((*id, rack.owner.clone()?))
    }

    /// Takes note that tasks were asked for from a rack.
    pub fn on_tasks_requested(&mut self, from: RackId, count: u32) {
        if let Some(rack) = self.racks.get_mut(&from) {
            rack.movable = rack.movable.saturating_sub(count);
        }
    }

    /// Takes a job in, or answers it at once.
    pub fn submit(
        &mut self,
        ticket: Ticket,
        submission: Submission,
        route: &Route,
        wait: Option<Span>,
        now: Time,
        out: &mut Effects,
    ) {
        let id = submission.id;
        if let Some(job) = self.jobs.get_mut(&id) {
            // The caller has handed in the same job twice; both get its answer.
            job.tickets.push(ticket);
            self.by_ticket.insert(ticket, id);
            return;
        }
        let chain = submission.critical_path();
        // A caller that says how long it waits may ask for more work than fits in the route's usual time.
        let limit = wait.unwrap_or(route.timeout);
        if let Some(reason) = unsupported(&submission, route) {
            return self.refuse(ticket, id, &reason, Span(0), out);
        }
        let objective = route.objective(chain);
        let useful = Span((objective.0 as f64 * USEFUL) as u64);
        let needed = self.expect(&submission, &route.service);
        let Some(needed) = needed else {
            return self.refuse(ticket, id, "no endpoint can run it", AGAIN.1, out);
        };
        let waits = needed > chain;
        if needed.0 as f64 * CAUTION > limit.0 as f64 || waits && needed > useful {
            return self.refuse(ticket, id, "it would end too late", needed, out);
        }
        let steps = submission.steps.iter().map(|step| Progress {
            left: (0..step.count).collect(),
            placed: false,
        });
        let job = Job {
            tickets: vec![ticket],
            service: route.service.clone(),
            attempts: route.attempts.max(1),
            priority: route.priority,
            arrived: now,
            due: now + objective,
            useful: now + useful,
            until: now + limit,
            steps: steps.collect(),
            submission: Rc::new(submission),
            batches: BTreeMap::new(),
            loose: Vec::new(),
            started: false,
            ending: false,
            failed: false,
            stored: false,
            route: route.name.clone(),
        };
        let record = Record::routine("job_accepted").job(id);
        let record = record.with("route", route.name.as_str());
        let record = record.with("due_ms", job.due.since(now));
        let record = record.with("until_ms", limit);
        out.outputs
            .push(Output::Log(record.with("expected_ms", needed)));
        self.by_ticket.insert(ticket, id);
        self.jobs.insert(id, job);
        self.advance(id, now, out);
    }

    /// Refuses a job of which nothing has left, with the time after which its caller may come back.
    pub(super) fn refuse(
        &mut self,
        ticket: Ticket,
        id: JobId,
        why: &str,
        ahead: Span,
        out: &mut Effects,
    ) {
        // Callers of the same moment come back at different ones.
        self.refused = self.refused.wrapping_add(1);
        let spread = u64::from(self.refused % 4) * 500_000;
        let again = ahead.max(AGAIN.0).min(AGAIN.1);
        let again = Span(again.0 + spread);
        let record = Record::new("job_refused").job(id).with("reason", why);
        out.outputs
            .push(Output::Log(record.with("again_ms", again)));
        let answer = Answer::Refused { again };
        out.outputs.push(Output::Answer(ticket, answer));
    }

    /// Estimates how long a job would take now; none where it can never run.
    pub(super) fn expect(&self, submission: &Submission, service: &str) -> Option<Span> {
        let mut wait = Span(0);
        for step in &submission.steps {
            let racks = self.racks.values();
            let fit = racks.filter(|rack| rack.service == service && rack.carries(step));
            let waits = fit.map(|rack| rack.wait(step));
            wait = wait.max(waits.min()?);
        }
        Some(Span(wait.0 + submission.critical_path().0))
    }

    /// Places the steps of a job whose turn has come, or answers it when all are done.
    fn advance(&mut self, id: JobId, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.steps.iter().all(|step| step.left.is_empty()) {
            return match job.stored {
                true => self.forget(id),
                false => self.answer(id, Answer::Completed, now, out),
            };
        }
        let submission = job.submission.clone();
        let mut due = Vec::new();
        for (index, step) in submission.steps.iter().enumerate() {
            let ready = |s: &u32| {
                job.steps
                    .get(*s as usize)
                    .is_some_and(|p| p.left.is_empty())
            };
            if !job.steps[index].placed && step.after.iter().all(ready) {
                job.steps[index].placed = true;
                let left: Vec<u32> = job.steps[index].left.iter().copied().collect();
                due.push((index as u32, left));
            }
        }
        for (step, tasks) in due {
            self.place(id, step, tasks, None, now, out);
        }
    }

    /// Gives tasks of a step out to the racks where they are expected to end first.
    fn place(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        hint: Option<RackId>,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let submission = job.submission.clone();
        let wanted = &submission.steps[step as usize];
        let mut shares: BTreeMap<RackId, Vec<u32>> = BTreeMap::new();
        let mut loose = Vec::new();
        let mut demand = Demand {
            job: id,
            step: wanted,
            service: &job.service,
            hint,
            rest: tasks.len() as u64,
            own: &self.own,
            centre: &self.centre,
        };
        for task in tasks {
            let rack = choose(&mut self.racks, &demand, &shares);
            demand.rest -= 1;
            match rack {
                Some(rack) => shares.entry(rack).or_default().push(task),
                None => loose.push(task),
            }
        }
        if !loose.is_empty() {
            job.loose.push(Loose {
                step,
                tasks: loose,
                at: now,
                hint: None,
            });
        }
        for (rack, tasks) in shares {
            self.send(id, step, tasks, rack, now, out);
        }
    }

    fn send(
        &mut self,
        id: JobId,
        step: u32,
        tasks: Vec<u32>,
        to: RackId,
        now: Time,
        out: &mut Effects,
    ) {
        let (Some(job), Some(rack)) = (self.jobs.get_mut(&id), self.racks.get(&to)) else {
            return;
        };
        let Some(owner) = rack.owner.clone() else {
            return;
        };
        self.serial += 1;
        let serial = self.serial;
        let wanted = &job.submission.steps[step as usize];
        let rest = job
            .submission
            .critical_path()
            .0
            .saturating_sub(wanted.estimate.0);
        let latest = Time(job.due.0.saturating_sub(rest + wanted.estimate.0));
        let batch = Batch {
            serial,
            rack: to,
            job: id,
            step,
            tasks: tasks.clone(),
            moves: 0,
            need: wanted.need,
            estimate: wanted.estimate,
            label: wanted.label.clone(),
            per_endpoint: wanted.per_endpoint,
            spec: job.submission.spec.clone(),
            attempts: job.attempts,
            priority: job.priority,
            work: job.submission.work(),
            tied: wanted.affinity.as_ref() == Some(&rack.name),
            stored: job.stored,
            slack: (latest > now).then(|| latest.since(now)),
            useful: job.useful.since(now),
            time_left: job.until.since(now),
        };
        let record = Record::routine("batch_sent").job(id);
        let record = record
            .with("batch", serial)
            .with("owner", owner.name.as_str());
        let record = record.with("rack", rack.name.as_str());
        out.outputs
            .push(Output::Log(record.with("tasks", tasks.len())));
        let sent = Sent {
            owner: owner.name.clone(),
            step,
            tasks,
            at: now,
            moves: 0,
        };
        job.batches.insert(serial, sent);
        self.by_serial.insert(serial, id);
        out.messages.push((owner, Message::Batch(Box::new(batch))));
    }

    /// Does what is due: places loose tasks, gives up jobs whose time has passed.
    pub fn work(&mut self, now: Time, out: &mut Effects) {
        let mut over = Vec::new();
        let mut ready = Vec::new();
        for (id, job) in &mut self.jobs {
            if now >= job.until {
                over.push(*id);
                continue;
            }
            if job.ending {
                continue;
            }
            let chain = job.submission.critical_path().0 as f64 * CAUTION;
            let hopeless = |loose: &Loose| loose.at + Span(chain as u64) > job.until;
            if job.loose.iter().any(hopeless) {
                over.push(*id);
                continue;
            }
            let (due, later) = std::mem::take(&mut job.loose)
                .into_iter()
                .partition(|loose: &Loose| loose.at <= now);
            job.loose = later;
            let due: Vec<Loose> = due;
            ready.extend(due.into_iter().map(|loose| (*id, loose)));
        }
        for id in over {
            self.end(id, "its time has passed or can't be met", now, out);
            // Nobody waits for the owners' word any more.
            let passed = self.jobs.get(&id).is_some_and(|job| now >= job.until);
            if passed {
                self.answer(id, GIVEN_UP, now, out);
            }
        }
        for (id, loose) in ready {
            let Loose {
                step, tasks, hint, ..
            } = loose;
            match self.is_stranded(id, step) {
                true => self.end(id, "no endpoint can run it", now, out),
                false => self.place(id, step, tasks, hint, now, out),
            }
        }
    }

    /// Tells whether a caller waits for a step that no endpoint could ever run: its data centres were evacuated, or what could run
    /// it has shrunk or left. Kept, the job would be told so only when its time is over.
    fn is_stranded(&self, id: JobId, step: u32) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.stored) else {
            return false;
        };
        let step = &job.submission.steps[step as usize];
        let mut racks = self.racks.values();
        !racks.any(|rack| rack.service == job.service && rack.carries(step))
    }

    /// Returns the owners that have batches.
    pub fn batch_owners(&self) -> HashSet<&Instance> {
        let batches = self.jobs.values().flat_map(|job| job.batches.values());
        batches.map(|sent| &sent.owner).collect()
    }

    /// Asks owners for batches that have been out for long.
    pub fn audit(&self, now: Time, out: &mut Effects) {
        let mut asked: BTreeMap<Instance, Vec<u64>> = BTreeMap::new();
        for job in self.jobs.values() {
            for (serial, sent) in &job.batches {
                if now.since(sent.at) > AUDIT {
                    asked.entry(sent.owner.clone()).or_default().push(*serial);
                }
            }
        }
        for (name, serials) in asked {
            let contact = Contact {
                name,
                address: String::new(),
            };
            out.messages.push((contact, Message::Audit(serials)));
        }
    }
}

/// Tells what a job asks for that can't be done yet.
pub(super) fn unsupported(submission: &Submission, route: &Route) -> Option<String> {
    if route.advised {
        return Some("queues with an adviser are not supported".to_owned());
    }
    let steps = submission.steps.iter();
    let step = steps.filter_map(|step| step.unsupported.clone()).next();
    submission.unsupported.clone().or(step)
}
