//! Ownership of racks: an owner alone starts, stops and polls the endpoints of its racks.

mod answer;
mod cancelled;
mod ends;
mod handover;
mod hold;
mod licensing;
mod migration;
mod place;
mod probe;
mod retry;
mod room;
mod speeds;
mod suspects;
mod unsettled;
mod withdrawal;

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet, //
};

use self::{
    cancelled::CancelledBatches,
    probe::Probe,
    speeds::Waits, //
};
pub use self::{
    probe::Availability,
    speeds::Speeds, //
};
use super::{
    doubt::Doubts,
    endpoint::{
        Fate,
        State, //
    },
    headroom::{
        self,
        Headroom, //
    },
    id::{
        JobId,
        Life,
        RackId,
        Run,
        TaskId,
        Token, //
    },
    license::Confirmation,
    message::{
        self,
        Batch,
        CallId,
        Cause,
        Contact,
        HeldBatch,
        Listing,
        LogRecord,
        Message,
        Name,
        Order,
        Outcome,
        Output,
        RunEnd,
        Suspicion, //
    },
    queue::{
        Handle,
        Queue,
        Rank,
        Waiting,
        OVERDUE_AFTER, //
    },
    route::{
        Queues,
        Route, //
    },
    speed::{
        Kind,
        Model, //
    },
    straggler::Norm,
    timeout::Estimator, //
};
use crate::prelude::*;

/// The shortest wait of a part of a job after which its start is reported to its entry. Reports of parts that start at once would cost
/// a message for each split job of a calm day.
const MIN_REPORTED_WAIT: Span = Span::millis(10);

/// A rack that this instance owns.
#[derive(Debug)]
struct Rack {
    /// The announced token. Those of endpoints are the same, or little higher.
    token: Token,
    /// The token for endpoints that join: what was sent to an earlier life of theirs is barred by it.
    joining_token: Token,
    endpoints: Vec<Endpoint>,
    queue: Queue,
    /// Whether its free room has changed since the last update to other instances.
    room_changed: bool,
    /// The number of its endpoints that accepted tasks at the last update.
    reported_accepting: usize,
    /// Whether one of its endpoints had spare CPU for other racks' tasks at the last update.
    reported_spare_cpu: bool,
    /// Whether the speeds of its endpoints differ by more than the error of what was learnt about them.
    speeds_differ: bool,
    /// The least and the greatest learnt ratio of time taken to estimate of its endpoints; both 1 where speeds don't differ.
    speed_range: (f64, f64),
    /// When a task last arrived that needs one of its faster endpoints.
    speed_needed_at: Option<Time>,
    /// The speed classes as of the last update to other instances.
    reported_classes: Vec<u8>,
    /// Whether heartbeats carry the speed classes until the next update: they do in updates of all racks, and if they have changed.
    announces_classes: bool,
    /// Queued tasks that wait for a faster endpoint, as of the last review of the queue.
    waits: Waits,
    /// When a task last had to wait since nothing had room for it.
    waited_at: Time,
    /// The recent demand by priority, for which room is kept.
    headroom: Headroom,
    /// The number of tasks that were held back for more urgent ones at the last review of the queue.
    held_back: usize,
    /// When a task was last held back.
    held_back_at: Time,
    /// Whether its room for urgent tasks was scarce at the last update.
    reported_scarce: bool,
    /// When its queue is reviewed next for tasks that can start, unless an event calls for an earlier review.
    next_review: Time,
}

impl Rack {
    /// Requests a review of the queue: a task has arrived, or the state of an endpoint has changed.
    fn review_now(&mut self) {
        self.next_review = Time::default();
    }
}

/// A batch that this instance runs.
#[derive(Debug)]
struct Assignment {
    entry: Contact,
    batch: Batch,
    /// When this instance got it.
    accepted_at: Time,
    /// When a task must start to be on time.
    due: Time,
    /// After this, an answer has so little use that an unstarted batch is given up.
    useful_until: Time,
    /// When the caller stops waiting.
    deadline: Time,
    tasks: BTreeMap<u32, TaskState>,
    /// Indices of tasks that are done. Reports name them, as tasks that were returned in a lost message must not
    /// count as done.
    done: Vec<u32>,
    /// Whether a start of one of its tasks may have been sent.
    started: bool,
    /// Whether starts of a lost owner of the rack may be on their way to an endpoint that hasn't answered this owner yet.
    in_doubt: bool,
    /// The number of messages that the entry must have handled for its confirmations to count, if the batch came with a rack: the
    /// entry learns from one of them that the batch is here.
    confirmed_after: u64,
}

/// The state of a task that is not done.
#[derive(Debug, Clone)]
struct TaskState {
    /// The number of its next run.
    next: Run,
    /// The number of its failed runs.
    failures: u32,
    /// How often a run of it was stopped because it had stalled or its endpoint was slow.
    restarts: u32,
    /// Evidence that the task crashes endpoints.
    suspicion: Suspicion,
    /// The endpoint where its last run failed, or from which it was moved.
    failed_on: Option<Endpoint>,
    /// Runs that were taken for lost, with their endpoints. They may have ended as done.
    lost_runs: Vec<(Endpoint, Run)>,
}

impl Default for TaskState {
    fn default() -> Self {
        Self {
            next: Run::FIRST,
            failures: 0,
            restarts: 0,
            suspicion: Suspicion::default(),
            failed_on: None,
            lost_runs: Vec::new(),
        }
    }
}

/// The purpose of a call to an endpoint.
#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    Start(TaskId, Run),
    Stop(Name, Run),
    Poll,
    Probe(RackId),
}

/// The racks that an instance owns, and the batches that it runs there.
#[derive(Debug, Default)]
pub struct Owner {
    /// This instance, as named in messages to the entries of batches that arrive with a rack.
    own: Option<Instance>,
    racks: BTreeMap<RackId, Rack>,
    endpoints: BTreeMap<Endpoint, State>,
    assignments: BTreeMap<Handle, Assignment>,
    by_entry: HashMap<(Instance, u64), Handle>,
    by_job: HashMap<JobId, BTreeSet<Handle>>,
    /// The endpoint of each task's current run, including runs that are being stopped. A task isn't started while
    /// it is listed here, so that it never runs twice at a time.
    run_locations: HashMap<TaskId, Endpoint>,
    /// The tasks of runs that endpoints list and this owner doesn't know. They don't start before these runs have ended.
    tasks_of_unknown_runs: BTreeMap<Endpoint, Vec<TaskId>>,
    /// Starts in doubt, here and as other instances have told.
    doubts: Doubts,
    /// Starts in doubt that other instances are to be told of.
    untold_doubts: Vec<message::Doubt>,
    /// Calls that weren't answered yet, with their fencing tokens.
    pending_calls: HashMap<CallId, (Endpoint, Purpose, Token)>,
    probes: HashMap<RackId, Probe>,
    /// Racks lost to an owner with a higher fencing token, with this instance's rejected token.
    fenced: Vec<(RackId, Token)>,
    /// Entries with a current heartbeat. Tasks start only for these.
    live_entries: HashSet<Instance>,
    /// Entries that had a heartbeat and lost it.
    lost_entries: HashSet<Instance>,
    /// Batches that came with a rack and weren't confirmed at the last look.
    unconfirmed: Vec<Handle>,
    /// The latest confirmation of each entry in its session.
    confirmations: HashMap<Instance, Confirmation>,
    cancelled: CancelledBatches,
    /// Data centres where no task may start.
    evacuated: BTreeSet<String>,
    /// What it goes by of the configured queues.
    queues: Queues,
    /// Tasks that wait until it is clear whether endpoints crashed under them, with the time at which they are
    /// released at the latest.
    held_back: BTreeMap<TaskId, (Time, Handle)>,
    /// Ends that endpoints keep until they are stored, with the time of the last report.
    unstored_ends: BTreeMap<(Endpoint, Life, u64), (RunEnd, Option<Time>)>,
    /// How long runs take on each kind of endpoint.
    norms: HashMap<Kind, Norm>,
    call_timeout: Estimator,
    /// What was learnt about the speed of endpoints.
    speed: Model,
    /// When the speeds of endpoints that placement goes by are next updated.
    next_speed_update: Time,
    last_handle: u64,
    last_call: u64,
    rack_changes: u64,
    /// The time of the last step.
    now: Time,
}

/// What a step of the dispatcher asks for.
#[derive(Debug, Default)]
pub struct Effects {
    /// Calls, log records and other outputs.
    pub outputs: Vec<Output>,
    /// Messages to instances, this one included.
    pub messages: Vec<(Contact, Message)>,
}

impl Effects {
    pub(super) fn log(&mut self, record: LogRecord) {
        self.outputs.push(Output::Log(record));
    }

    fn send(&mut self, to: &Contact, message: Message) {
        self.messages.push((to.clone(), message));
    }
}

impl Owner {
    /// Returns an owner without racks. Its own instance counts as a live entry.
    pub fn new(own: &Instance) -> Self {
        Self {
            own: Some(own.clone()),
            live_entries: HashSet::from([own.clone()]),
            ..Self::default()
        }
    }

    /// Returns an owner like [`Owner::new`] with a model of the speed of endpoints that was created elsewhere.
    pub fn with_speed(own: &Instance, speed: Model) -> Self {
        Self {
            speed,
            ..Self::new(own)
        }
    }

    /// Returns the racks with their tokens.
    pub fn racks(&self) -> impl Iterator<Item = (RackId, Token)> + '_ {
        self.racks.iter().map(|(rack, state)| (*rack, state.token))
    }

    /// Returns a counter that grows with each claim and each loss of a rack.
    pub fn rack_changes(&self) -> u64 {
        self.rack_changes
    }

    /// Returns whether this instance owns a rack.
    pub fn owns(&self, rack: RackId) -> bool {
        self.racks.contains_key(&rack)
    }

    /// Returns whether it runs no batch.
    pub fn is_idle(&self) -> bool {
        self.assignments.is_empty()
    }

    /// Claims a rack with a fencing token.
    pub fn claim(&mut self, rack: RackId, token: Token, out: &mut Effects) {
        let record = LogRecord::new("rack_claimed").with("rack", rack.to_string());
        out.log(record.with("token", token.0));
        let new_rack = Rack {
            token,
            joining_token: token,
            endpoints: Vec::new(),
            queue: Queue::default(),
            room_changed: true,
            reported_accepting: 0,
            reported_spare_cpu: false,
            speeds_differ: false,
            speed_range: (1.0, 1.0),
            speed_needed_at: None,
            reported_classes: Vec::new(),
            announces_classes: true,
            waits: Waits::default(),
            waited_at: Time::default(),
            headroom: Headroom::default(),
            held_back: 0,
            held_back_at: Time::default(),
            reported_scarce: false,
            next_review: Time::default(),
        };
        self.racks.entry(rack).or_insert(new_rack).token = token;
        self.rack_changes += 1;
    }

    /// Gives up a rack that another instance owns, and returns its batches to their entries.
    pub fn yield_rack(&mut self, rack: RackId, reason: &str, out: &mut Effects) {
        let Some(state) = self.racks.remove(&rack) else {
            return;
        };
        self.rack_changes += 1;
        let record = LogRecord::new("rack_yielded").with("rack", rack.to_string());
        out.log(record.with("reason", reason));
        for id in &state.endpoints {
            self.doubt_runs_on(id);
            self.remove_endpoint_state(id);
        }
        let handles = self.assignments_of(rack);
        for handle in handles {
            self.return_batch(handle, out);
        }
    }

    fn remove_endpoint_state(&mut self, id: &Endpoint) {
        self.speed.forget(id);
        self.tasks_of_unknown_runs.remove(id);
        if let Some(state) = self.endpoints.remove(id) {
            for task in state.executions.keys() {
                self.run_locations.remove(task);
            }
        }
    }

    fn assignments_of(&self, rack: RackId) -> Vec<Handle> {
        let on_rack = |(handle, assignment): (&Handle, &Assignment)| {
            (assignment.batch.rack == rack).then_some(*handle)
        };
        let mut handles: Vec<Handle> = self.assignments.iter().filter_map(on_rack).collect();
        handles.sort_unstable();
        handles
    }

    fn return_batch(&mut self, handle: Handle, out: &mut Effects) {
        self.tell_doubts_of(handle, out);
        if let Some(assignment) = self.remove_assignment(handle) {
            assignment.return_to_entry(out);
        }
    }

    fn remove_assignment(&mut self, handle: Handle) -> Option<Assignment> {
        let assignment = self.assignments.remove(&handle)?;
        let key = (assignment.entry.name.clone(), assignment.batch.serial);
        if self.by_entry.get(&key) == Some(&handle) {
            self.by_entry.remove(&key);
        }
        if let Some(handles) = self.by_job.get_mut(&assignment.batch.job) {
            handles.remove(&handle);
            if handles.is_empty() {
                self.by_job.remove(&assignment.batch.job);
            }
        }
        self.dequeue(handle, &assignment);
        Some(assignment)
    }

    fn dequeue(&mut self, handle: Handle, assignment: &Assignment) {
        if let Some(rack) = self.racks.get_mut(&assignment.batch.rack) {
            for index in assignment.tasks.keys() {
                let batch = handle;
                rack.queue.remove(Waiting {
                    batch,
                    index: *index,
                });
            }
            rack.room_changed = true;
        }
    }

    /// Drops all state after a pause of the process: other instances have taken over its racks.
    pub fn reset(&mut self, own: &Instance) {
        let endpoints: Vec<Endpoint> = self.endpoints.keys().cloned().collect();
        for id in &endpoints {
            self.doubt_runs_on(id);
        }
        // Call IDs continue, so that answers to earlier calls are ignored.
        *self = Self {
            doubts: std::mem::take(&mut self.doubts),
            untold_doubts: std::mem::take(&mut self.untold_doubts),
            now: self.now,
            last_call: self.last_call,
            rack_changes: self.rack_changes + 1,
            evacuated: std::mem::take(&mut self.evacuated),
            queues: std::mem::take(&mut self.queues),
            ..Self::new(own)
        };
    }

    /// Updates the endpoints of owned racks to the platform's current list.
    pub fn update_endpoints(&mut self, listings: &[Listing], now: Time, out: &mut Effects) {
        for state in self.endpoints.values_mut() {
            state.delisted = true;
        }
        let mut life_events = Vec::new();
        for listing in listings {
            let Some(rack) = self.racks.get_mut(&listing.rack_id()) else {
                continue;
            };
            rack.room_changed = true;
            rack.review_now();
            if let Some(state) = self.endpoints.get_mut(&listing.id) {
                if listing.draining && !state.listing.draining {
                    let record = LogRecord::new("endpoint_leaving");
                    out.log(record.with("endpoint", listing.id.as_str()));
                }
                state.update_listing(listing.clone());
                let former = state.life();
                let events = state.update_life(listing.life, now);
                life_events.push((listing.id.clone(), former, events));
                continue;
            }
            let token = rack.joining_token.max(rack.token);
            let mut state = State::new(listing.clone(), token, now);
            state.evacuated = self.evacuated.contains(&listing.centre);
            self.endpoints.insert(listing.id.clone(), state);
            rack.endpoints.push(listing.id.clone());
        }
        for (id, former, events) in life_events {
            self.on_life_update(&id, former, events, now, out);
        }
        let idle = |state: &State| state.delisted && state.executions.is_empty();
        let removed: Vec<Endpoint> = self
            .endpoints
            .iter()
            .filter(|(_, state)| idle(state))
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.remove_endpoint(&id, out);
        }
    }

    /// Sets the data centres where no task may start. Current runs go on to their end.
    pub fn set_evacuated_centres(&mut self, centres: &BTreeSet<String>) {
        self.evacuated.clone_from(centres);
        for state in self.endpoints.values_mut() {
            state.evacuated = centres.contains(&state.listing.centre);
        }
        for rack in self.racks.values_mut() {
            rack.room_changed = true;
            rack.review_now();
        }
    }

    /// Removes an endpoint and closes the connections to it.
    fn remove_endpoint(&mut self, id: &Endpoint, out: &mut Effects) {
        out.log(LogRecord::new("endpoint_gone").with("endpoint", id.as_str()));
        if let Some(state) = self.endpoints.get(id) {
            out.outputs
                .push(Output::Disconnect(state.listing.address.clone()));
        }
        let joining_token = self.endpoints.get(id).map(State::barring_token);
        self.remove_endpoint_state(id);
        for rack in self.racks.values_mut() {
            if rack.endpoints.contains(id) {
                rack.joining_token = rack.joining_token.max(joining_token.unwrap_or_default());
            }
            rack.endpoints.retain(|other| other != id);
            rack.room_changed = true;
        }
    }

    /// Returns a batch, none of which was started here, to its entry.
    pub fn decline(&self, entry: &Contact, batch: Batch, out: &mut Effects) {
        let message = Message::Returned {
            serial: batch.serial,
            tasks: batch.tasks,
            // A lost owner may have started them: they still belong to its rack.
            started: batch.moves > 0,
            cause: Cause::Lost,
        };
        out.send(entry, message);
    }

    /// Returns the entries of the batches that it runs.
    pub fn entries(&self) -> HashSet<&Instance> {
        self.assignments
            .values()
            .map(|assignment| &assignment.entry.name)
            .collect()
    }

    /// Accepts a batch and queues its tasks. Returns it to its entry if the rack isn't owned here, and ignores a
    /// duplicate.
    pub fn accept(&mut self, entry: &Contact, batch: Batch, now: Time, out: &mut Effects) {
        let key = (entry.name.clone(), batch.serial);
        if self.by_entry.contains_key(&key) {
            return;
        }
        if !self.racks.contains_key(&batch.rack) {
            return self.decline(entry, batch, out);
        }
        let unstarted = |index: &u32| (*index, TaskState::default());
        let tasks = batch.tasks.iter().map(unstarted).collect();
        let was_lost = batch.moves > 0;
        let handle = self.add_assignment(entry, batch, tasks, was_lost, now);
        if let Some(assignment) = self.assignments.get_mut(&handle) {
            assignment.in_doubt = was_lost;
        }
        self.withdraw_unstored(handle, out);
    }

    /// Adds a batch and queues its tasks.
    fn add_assignment(
        &mut self,
        entry: &Contact,
        batch: Batch,
        tasks: BTreeMap<u32, TaskState>,
        started: bool,
        now: Time,
    ) -> Handle {
        self.last_handle += 1;
        let handle = Handle(self.last_handle);
        let key = (entry.name.clone(), batch.serial);
        self.by_entry.insert(key, handle);
        self.by_job.entry(batch.job).or_default().insert(handle);
        let assignment = Assignment {
            entry: entry.clone(),
            accepted_at: now,
            due: batch.slack.map_or(now, |slack| now + slack),
            useful_until: now + batch.useful,
            deadline: now + batch.time_left,
            batch,
            tasks,
            done: Vec::new(),
            started,
            in_doubt: false,
            confirmed_after: 0,
        };
        if let Some(rack) = self.racks.get_mut(&assignment.batch.rack) {
            let (estimate, priority) = (assignment.batch.estimate, assignment.batch.priority);
            if let Some(objective) = self.queues.objective(priority, estimate) {
                rack.record_speed_need(estimate, objective, now);
            }
            for _ in &assignment.tasks {
                rack.headroom.record(&assignment.headroom_task(), now);
            }
        }
        for index in assignment.tasks.keys() {
            self.enqueue(handle, &assignment, *index, now);
        }
        self.assignments.insert(handle, assignment);
        handle
    }

    /// Sets the configured queues. If they have several priorities, the remaining tasks of a batch that has started go first within
    /// their priority, and don't go behind those that can be on time: the work of the others would be lost.
    pub fn set_queues(&mut self, routes: &[Route]) {
        self.queues = Queues::new(routes);
    }

    /// Moves the remaining tasks of a batch that has just started to their new place in the queue.
    fn requeue_started(&mut self, batch: Handle, now: Time) {
        if !self.queues.have_several_priorities() {
            return;
        }
        let Some(assignment) = self.assignments.remove(&batch) else {
            return;
        };
        for index in assignment.tasks.keys().copied() {
            let waiting = Waiting { batch, index };
            let rack = self.racks.get(&assignment.batch.rack);
            if rack.is_some_and(|rack| rack.queue.contains(waiting)) {
                self.enqueue(batch, &assignment, index, now);
            }
        }
        self.assignments.insert(batch, assignment);
    }

    fn enqueue(&mut self, batch: Handle, assignment: &Assignment, index: u32, now: Time) {
        if let Some(rack) = self.racks.get_mut(&assignment.batch.rack) {
            let waiting = Waiting { batch, index };
            let keeps_place = self.queues.have_several_priorities() && assignment.is_committed();
            let rank = Rank {
                due: match keeps_place {
                    true => assignment.deadline.min(assignment.due + OVERDUE_AFTER),
                    false => assignment.due,
                },
                priority: assignment.batch.priority,
                job: match keeps_place {
                    true => 0,
                    false => assignment.batch.work,
                },
                work: assignment.batch.need.cpu * assignment.batch.estimate.as_millis() / 1_000,
            };
            rack.queue.push(waiting, rank, now);
            rack.room_changed = true;
            rack.review_now();
        }
    }

    /// Cancels a batch for its entry, and reports whether any start of it was sent.
    ///
    /// A batch that was handed over, or is still in transit with its rack, is reported as unknown rather than as
    /// not started: its entry would otherwise tell the caller that nothing ran. A batch that arrives after its
    /// cancellation is dropped.
    pub fn cancel(&mut self, entry: &Contact, serial: u64, now: Time, out: &mut Effects) {
        let key = (entry.name.clone(), serial);
        let Some(handle) = self.by_entry.get(&key).copied() else {
            self.cancelled.add(key, now);
            return out.send(entry, Message::Unknown(vec![serial]));
        };
        let job = self.assignments[&handle].batch.job;
        let unanswered = self.count_unanswered_starts(handle);
        let started = self.drop_assignment(handle, out);
        let record = LogRecord::routine("batch_cancelled").job(job);
        let record = record.with("batch", serial);
        let record = record.with("unanswered", unanswered);
        let record = record.with("entry", entry.name.as_str());
        out.log(match self.confirmation_age(&entry.name, now) {
            Some(age) => record.with("confirmed_ms", age),
            None => record,
        });
        let message = Message::Report {
            serial,
            outcome: Outcome::Dropped,
            done: Vec::new(),
            started,
        };
        out.send(entry, message);
    }

    /// Marks an entry as live, so that its tasks may start.
    pub fn mark_entry_alive(&mut self, entry: &Instance) {
        if !self.live_entries.contains(entry) {
            self.live_entries.insert(entry.clone());
            self.lost_entries.remove(entry);
            self.racks.values_mut().for_each(Rack::review_now);
        }
    }

    /// Drops all batches of an entry that is lost or has restarted.
    pub fn drop_entry(&mut self, entry: &Instance, out: &mut Effects) {
        if self.live_entries.remove(entry) {
            self.lost_entries.insert(entry.clone());
        }
        self.confirmations.remove(entry);
        let of_entry = |(handle, assignment): (&Handle, &Assignment)| {
            (assignment.entry.name == *entry).then_some(*handle)
        };
        let mut handles: Vec<Handle> = self.assignments.iter().filter_map(of_entry).collect();
        handles.sort_unstable();
        for handle in handles {
            let job = self.assignments[&handle].batch.job;
            let record = LogRecord::new("batch_abandoned").job(job);
            let record = record.with("entry", entry.as_str());
            out.log(record.with("unanswered", self.count_unanswered_starts(handle)));
            self.drop_assignment(handle, out);
        }
    }

    /// Drops a batch and stops its runs. Returns whether any start of its tasks was sent, for this batch or for a former one.
    fn drop_assignment(&mut self, handle: Handle, out: &mut Effects) -> bool {
        self.tell_doubts_of(handle, out);
        let has_doubts = self.has_doubts(handle);
        let Some(assignment) = self.remove_assignment(handle) else {
            return false;
        };
        for index in assignment.tasks.keys() {
            let task = assignment.task_id(*index);
            self.stop_run(task, handle, Fate::Drop, out);
        }
        assignment.started || has_doubts
    }

    /// Stops the current run of a task if it belongs to the given batch. `fate` says what happens to the task then.
    fn stop_run(&mut self, task: TaskId, handle: Handle, fate: Fate, out: &mut Effects) {
        let Some(id) = self.run_locations.get(&task).cloned() else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&id) else {
            return;
        };
        if state
            .executions
            .get(&task)
            .is_none_or(|execution| execution.batch != handle)
        {
            return;
        }
        if let Some(order) = state.stop(task, fate) {
            let Order::Stop {
                task: name, run, ..
            } = &order
            else {
                return;
            };
            out.log(run_record("stop_ordered", &id, task, *run));
            let purpose = Purpose::Stop(name.clone(), *run);
            self.call_endpoint(&id, order, purpose, false, out);
        }
    }

    /// Sends an order to an endpoint under a new call ID.
    fn call_endpoint(
        &mut self,
        id: &Endpoint,
        order: Order,
        purpose: Purpose,
        new_connection: bool,
        out: &mut Effects,
    ) {
        let call = self.next_call_id();
        self.send_call(call, id, order, purpose, new_connection, out);
    }

    fn next_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Sends an order to an endpoint. The timeout includes the time that a poll waits there.
    fn send_call(
        &mut self,
        call: CallId,
        id: &Endpoint,
        order: Order,
        purpose: Purpose,
        new_connection: bool,
        out: &mut Effects,
    ) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let wait = match &order {
            Order::Poll { wait, .. } => *wait,
            _ => Span(0),
        };
        let timeout = wait + self.call_timeout.timeout();
        let token = order.token();
        self.pending_calls
            .insert(call, (id.clone(), purpose, token));
        out.outputs.push(Output::Call {
            call,
            endpoint: id.clone(),
            address: state.listing.address.clone(),
            order,
            timeout,
            new_connection,
        });
    }

    /// Ends a batch: stops its remaining runs and reports the outcome to its entry.
    fn finish(&mut self, handle: Handle, outcome: Outcome, out: &mut Effects) {
        let report = self.assignments.get(&handle).map(|assignment| {
            let serial = assignment.batch.serial;
            (assignment.entry.clone(), serial, assignment.done.clone())
        });
        let started = self.drop_assignment(handle, out);
        if let Some((entry, serial, done)) = report {
            let message = Message::Report {
                serial,
                outcome,
                done,
                started,
            };
            out.send(&entry, message);
        }
    }

    /// Reports to an entry which of the given batches are not here.
    pub fn report_unknown_batches(&self, entry: &Contact, serials: Vec<u64>, out: &mut Effects) {
        let unknown = |serial: &u64| {
            let key = (entry.name.clone(), *serial);
            !self.by_entry.contains_key(&key)
        };
        let unknown: Vec<u64> = serials.into_iter().filter(unknown).collect();
        if !unknown.is_empty() {
            out.send(entry, Message::Unknown(unknown));
        }
    }
}

/// Returns a routine log record about a run.
fn run_record(event: &'static str, id: &Endpoint, task: TaskId, run: Run) -> LogRecord {
    let record = LogRecord::routine(event).job(task.job);
    let record = record.with("task", task.to_string()).with("run", run.0);
    record.with("endpoint", id.as_str())
}

impl Assignment {
    /// Returns the unfinished tasks to the entry, and reports those that are done, so that they don't run again.
    fn return_to_entry(&self, out: &mut Effects) {
        let serial = self.batch.serial;
        let message = Message::Returned {
            serial,
            tasks: self.tasks.keys().copied().collect(),
            started: self.started,
            cause: Cause::Lost,
        };
        out.send(&self.entry, message);
        if !self.done.is_empty() {
            let message = Message::Report {
                serial,
                outcome: Outcome::Done,
                done: self.done.clone(),
                started: true,
            };
            out.send(&self.entry, message);
        }
    }

    /// Returns whether a part of its job has started, or starts at once elsewhere: its entry lets the rest wait as long as the
    /// caller does.
    fn is_committed(&self) -> bool {
        !self.batch.stored && (self.started || self.useful_until >= self.deadline)
    }

    /// Returns whether the batch has waited and is only a part of its job, other tasks of which may wait at other owners.
    fn is_waiting_part(&self, now: Time) -> bool {
        let batch = &self.batch;
        let task = batch.need.cpu * batch.estimate.as_millis() / 1_000;
        let waited = now.since(self.accepted_at) >= MIN_REPORTED_WAIT;
        waited && batch.work > task * batch.tasks.len() as u64
    }

    fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.batch.job,
            step: self.batch.step,
            index,
        }
    }

    /// Returns one of its tasks as the headroom of its rack counts it.
    fn headroom_task(&self) -> headroom::Task {
        headroom::Task {
            priority: self.batch.priority,
            need: self.batch.need,
            estimate: self.batch.estimate,
        }
    }

    /// Returns the evidence that a task crashes endpoints.
    fn suspicion(&self, index: u32) -> Suspicion {
        let task_state = self.tasks.get(&index);
        task_state.map_or_else(Suspicion::default, |task_state| task_state.suspicion)
    }

    /// Returns the batch as it is handed over, with the times left until its deadlines.
    fn into_held(self, now: Time) -> HeldBatch {
        let mut batch = self.batch;
        batch.slack = (self.due > now).then(|| self.due.since(now));
        batch.useful = self.useful_until.since(now);
        batch.time_left = self.deadline.since(now);
        batch.tasks = self.tasks.keys().copied().collect();
        HeldBatch {
            entry: self.entry,
            next: self.tasks.values().map(|p| p.next).collect(),
            failures: self.tasks.values().map(|p| p.failures).collect(),
            suspicions: self.tasks.values().map(|p| p.suspicion).collect(),
            done: self.done,
            started: self.started,
            batch,
        }
    }
}
