//! The entry's duty: it takes jobs in, gives their tasks out as batches, and answers.

mod rack;
mod stored;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
};

use self::rack::{
    choose,
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
        Outcome,
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
#[derive(Debug, Default)]
pub struct Entry {
    /// The data centre of its instance.
    centre: String,
    jobs: BTreeMap<JobId, Job>,
    by_ticket: HashMap<Ticket, JobId>,
    by_serial: HashMap<u64, JobId>,
    racks: BTreeMap<RackId, Rack>,
    /// Stored jobs that wait until what ran of them elsewhere has ended.
    held_back: Vec<(Time, JobId)>,
    serial: u64,
    refused: u32,
}

impl Entry {
    /// Starts the numbers of batches at `serial`, which must be above those of any former life.
    pub fn new(serial: u64, centre: impl Into<String>) -> Self {
        Self {
            centre: centre.into(),
            serial,
            ..Self::default()
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
    pub fn knows(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| !job.stored)
    }

    /// Counts the jobs of which nothing has started, by queue.
    pub fn pending(&self) -> BTreeMap<String, u32> {
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
                ..Rack::default()
            });
            rack.cpu += listing.capacity.cpu;
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

    /// Takes note of the owners.
    pub fn own(&mut self, owners: &HashMap<RackId, Contact>) {
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
    pub fn orphans(&self) -> Vec<(RackId, String)> {
        let racks = self.racks.iter();
        let orphans = racks.filter(|(_, rack)| rack.owner.is_none());
        let with_centre = orphans.map(|(id, rack)| (*id, rack.centre.clone()));
        with_centre.collect()
    }

    /// Takes note of the room that racks have.
    pub fn rooms(&mut self, from: &Instance, rooms: Vec<Vacancy>) {
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
    pub fn busiest(&self, to: RackId) -> Option<(RackId, Contact)> {
        let service = &self.racks.get(&to)?.service;
        let others = self.racks.iter();
        let others = others.filter(|(id, r)| **id != to && r.service == *service && r.movable > 0);
        let (id, rack) = others.max_by_key(|(_, rack)| rack.movable)?;
        Some((*id, rack.owner.clone()?))
    }

    /// Takes note that tasks were asked for from a rack.
    pub fn asked(&mut self, from: RackId, count: u32) {
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
        let chain = submission.chain();
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
        Some(Span(wait.0 + submission.chain().0))
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
        for task in tasks {
            let service = job.service.as_str();
            match choose(&mut self.racks, wanted, service, hint, &self.centre) {
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
        let rest = job.submission.chain().0.saturating_sub(wanted.estimate.0);
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
            tied: wanted.affinity.as_ref() == Some(&rack.name),
            stored: job.stored,
            slack: (latest > now).then(|| latest.since(now)),
            useful: job.useful.since(now),
            left: job.until.since(now),
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

    /// Takes note of how a batch ended.
    pub fn report(
        &mut self,
        serial: u64,
        outcome: Outcome,
        done: Vec<u32>,
        started: bool,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(id) = self.by_serial.remove(&serial) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(sent) = job.batches.remove(&serial) else {
            return;
        };
        job.started |= started || outcome == Outcome::Done;
        match outcome {
            Outcome::Done => {
                let step = &mut job.steps[sent.step as usize];
                for task in &done {
                    step.left.remove(task);
                }
                let tasks: Vec<u32> = sent
                    .tasks
                    .into_iter()
                    .filter(|t| !done.contains(t))
                    .collect();
                if !tasks.is_empty() {
                    // They were sent back, and the message got lost.
                    let record = Record::new("batch_incomplete").job(id);
                    let record = record.with("batch", serial);
                    out.outputs
                        .push(Output::Log(record.with("missing", tasks.len())));
                    let at = now + ELSEWHERE;
                    job.loose.push(Loose {
                        step: sent.step,
                        tasks,
                        at,
                        hint: None,
                    });
                }
                match job.ending {
                    true => self.end(id, "given up", now, out),
                    false => self.advance(id, now, out),
                }
            }
            Outcome::Failed => {
                job.started = true;
                job.failed = true;
                self.end(id, "a task failed too often", now, out);
            }
            Outcome::Hopeless => self.end(id, "its time can't be met", now, out),
            Outcome::Dropped => self.end(id, "given up", now, out),
        }
    }

    /// Takes tasks back that their owner doesn't run.
    pub fn returned(
        &mut self,
        serial: u64,
        tasks: Vec<u32>,
        started: bool,
        hint: Option<RackId>,
        now: Time,
        out: &mut Effects,
    ) {
        let Some(id) = self.by_serial.get(&serial).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(sent) = job.batches.get_mut(&serial) else {
            return;
        };
        let record = Record::routine("tasks_returned").job(id);
        let record = record.with("batch", serial).with("tasks", tasks.len());
        let begun = if started {
            "some had started"
        } else {
            "none had started"
        };
        out.outputs
            .push(Output::Log(record.with("of_batch", begun)));
        job.started |= started;
        // Only what the batch still has: a task must not be placed twice.
        let (tasks, kept): (Vec<u32>, Vec<u32>) =
            sent.tasks.iter().partition(|task| tasks.contains(task));
        sent.tasks = kept;
        if tasks.is_empty() {
            return;
        }
        let step = sent.step;
        if sent.tasks.is_empty() {
            job.batches.remove(&serial);
            self.by_serial.remove(&serial);
        }
        if job.ending {
            // Its owner has nothing left to say of it, and the caller's answer may have waited for just that.
            return self.end(id, "given up", now, out);
        }
        // Without a hint the owner has lost the rack, and runs may be left that its next owner stops. A rack whose
        // loss isn't known here yet would send the tasks back at once, over and over.
        let at = match (hint, started) {
            (None, true) => now + DOUBT,
            (None, false) => now + ELSEWHERE,
            (Some(_), _) => now,
        };
        job.loose.push(Loose {
            step,
            tasks,
            at,
            hint,
        });
    }

    /// Takes note that a batch has another owner, which may not have heard that it was given up.
    ///
    /// What an earlier owner tells may come last: it must not hide the present one.
    pub fn moved(&mut self, serial: u64, to: Instance, moves: u32, now: Time, out: &mut Effects) {
        let id = self.by_serial.get(&serial).copied();
        let job = id.and_then(|id| self.jobs.get_mut(&id));
        let known = job.and_then(|job| {
            let sent = job.batches.get_mut(&serial)?;
            Some((sent, job.ending))
        });
        let (Some(id), Some((sent, ending))) = (id, known) else {
            return cancel_at(to, serial, out);
        };
        if moves <= sent.moves {
            return;
        }
        let record = Record::routine("batch_moved").job(id);
        let record = record.with("batch", serial);
        out.outputs
            .push(Output::Log(record.with("owner", to.as_str())));
        sent.owner = to.clone();
        sent.at = now;
        sent.moves = moves;
        if ending {
            cancel_at(to, serial, out);
        }
    }

    /// Takes the batches back that an instance lost with its life or with the session.
    pub fn lost(&mut self, owner: &Instance, now: Time, out: &mut Effects) {
        self.take_back(|_, sent| sent.owner == *owner, now + DOUBT, now, out);
    }

    /// Takes batches back that their owner doesn't know. A rack may still be on its way to it, so that only what has been out
    /// for long is taken for lost; what was given up isn't run again and is taken back at once.
    pub fn unknown(&mut self, from: &Instance, serials: &[u64], now: Time, out: &mut Effects) {
        let ending: BTreeSet<u64> = serials
            .iter()
            .copied()
            .filter(|serial| {
                let job = self.by_serial.get(serial);
                let job = job.and_then(|id| self.jobs.get(id));
                job.is_some_and(|job| job.ending)
            })
            .collect();
        let unknown = |serial: u64, sent: &Sent| {
            let long = now.since(sent.at) > AUDIT || ending.contains(&serial);
            sent.owner == *from && long && serials.contains(&serial)
        };
        self.take_back(unknown, now + DOUBT, now, out);
    }

    /// Takes all batches back, after this process stood still.
    pub fn void(&mut self, now: Time, out: &mut Effects) {
        self.take_back(|_, _| true, now + DOUBT, now, out);
    }

    fn take_back(
        &mut self,
        which: impl Fn(u64, &Sent) -> bool,
        at: Time,
        now: Time,
        out: &mut Effects,
    ) {
        let mut touched = Vec::new();
        for (id, job) in &mut self.jobs {
            let lost: Vec<u64> = job
                .batches
                .iter()
                .filter(|(serial, sent)| which(**serial, sent))
                .map(|(serial, _)| *serial)
                .collect();
            for serial in lost {
                self.by_serial.remove(&serial);
                let Some(sent) = job.batches.remove(&serial) else {
                    continue;
                };
                let record = Record::new("batch_lost").job(*id).with("batch", serial);
                let record = record.with("owner", sent.owner.as_str());
                out.outputs.push(Output::Log(record));
                job.started = true;
                job.loose.push(Loose {
                    step: sent.step,
                    tasks: sent.tasks,
                    at: at.max(now),
                    hint: None,
                });
                touched.push(*id);
            }
        }
        touched.dedup();
        for id in touched {
            let ending = self.jobs.get(&id).is_some_and(|job| job.ending);
            if ending {
                self.end(id, "given up", now, out);
            }
        }
    }

    /// Gives a job up: its owners drop what they have, then its callers are answered.
    ///
    /// "Not run" is only said when no start has left and none can any more, so the answer waits for the owners'
    /// word. Where something has started the answer is the same whatever they say, and leaves at once.
    fn end(&mut self, id: JobId, why: &str, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.ending {
            job.ending = true;
            job.loose.clear();
            let record = Record::new("job_given_up").job(id).with("reason", why);
            let record = record.with("age_ms", now.since(job.arrived));
            out.outputs.push(Output::Log(record));
            let mut serials: Vec<u64> = job.batches.keys().copied().collect();
            serials.sort_unstable();
            for serial in serials {
                self.cancel_batch(id, serial, out);
            }
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (started, failed) = (job.started, job.failed);
        if failed {
            self.answer(id, Answer::Failed, now, out);
        } else if started {
            self.answer(id, GIVEN_UP, now, out);
        } else if job.batches.is_empty() {
            self.answer(id, Answer::Refused { again: AGAIN.0 }, now, out);
        }
    }

    fn cancel_batch(&mut self, id: JobId, serial: u64, out: &mut Effects) {
        let sent = self.jobs.get(&id).and_then(|job| job.batches.get(&serial));
        if let Some(sent) = sent {
            cancel_at(sent.owner.clone(), serial, out);
        }
    }

    fn answer(&mut self, id: JobId, answer: Answer, now: Time, out: &mut Effects) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for serial in job.batches.keys() {
            self.by_serial.remove(serial);
        }
        let record = Record::routine("job_answered").job(id);
        let record = record.with("answer", format!("{answer:?}"));
        let record = record.with("age_ms", now.since(job.arrived));
        let on_time = if now <= job.due { "on time" } else { "late" };
        out.outputs
            .push(Output::Log(record.with("objective", on_time)));
        for ticket in job.tickets {
            self.by_ticket.remove(&ticket);
            out.outputs.push(Output::Answer(ticket, answer));
        }
    }

    /// Drops a job whose callers have all gone.
    pub fn abandon(&mut self, ticket: Ticket, now: Time, out: &mut Effects) {
        let Some(id) = self.by_ticket.remove(&ticket) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tickets.retain(|known| *known != ticket);
        if job.tickets.is_empty() {
            self.end(id, "its caller has gone", now, out);
            self.forget(id);
        }
    }

    fn forget(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            for serial in job.batches.keys() {
                self.by_serial.remove(serial);
            }
        }
    }

    /// Cancels a job; returns whether it was in progress here.
    pub fn cancel(&mut self, id: JobId, now: Time, out: &mut Effects) -> bool {
        // A stored one is cancelled at its shard.
        if self.jobs.get(&id).is_none_or(|job| job.stored) {
            return false;
        }
        self.end(id, "its caller cancels it", now, out);
        if self.jobs.contains_key(&id) {
            self.answer(id, GIVEN_UP, now, out);
        }
        true
    }

    /// Gives all jobs up and answers their callers, when the process can't wait for their ends any longer.
    pub fn close(&mut self, now: Time, out: &mut Effects) {
        let waited = self.jobs.iter().filter(|(_, job)| !job.stored);
        let ids: Vec<JobId> = waited.map(|(id, _)| *id).collect();
        for id in ids {
            self.end(id, "its instance ends", now, out);
            self.answer(id, GIVEN_UP, now, out);
        }
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
            let chain = job.submission.chain().0 as f64 * CAUTION;
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
            self.place(id, step, tasks, hint, now, out);
        }
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

/// Asks an owner to drop a batch.
fn cancel_at(owner: Instance, serial: u64, out: &mut Effects) {
    let contact = Contact {
        name: owner,
        address: String::new(),
    };
    out.messages.push((contact, Message::Cancel(serial)));
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
