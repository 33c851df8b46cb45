//! Unit tests of the entry: placement of tasks, and answers to callers when owners' reports are late, repeated or
//! missing.

use std::collections::HashMap;

use poplarknot::{
    dispatch::{
        admission::{
            self,
            Demand,
            Room, //
        },
        durable::record::Progress,
        entry::Entry,
        id::{
            JobId,
            Life,
            RackId,
            TaskId, //
        },
        message::{
            Answer,
            Batch,
            Cause,
            Contact,
            Listing,
            Load,
            Message,
            Outcome,
            Output,
            Ticket,
            Vacancy, //
        },
        owner::Effects,
        queue::Class,
        route::Route,
        task::{
            AcceptedJob,
            Resources,
            Step,
            Submission, //
        }, //
    },
    prelude::*, //
};

const NOW: Time = Time(1_000_000);

/// Returns an entry with one rack of one idle endpoint, and the rack's owner.
fn entry_with_rack() -> (Entry, Contact) {
    let owner = Contact {
        name: "owner".parse().unwrap(),
        address: "owner:1".to_owned(),
    };
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    set_one_endpoint(&mut entry, &owner);
    (entry, owner)
}

/// Tells an entry of one rack of one idle endpoint, and of the rack's owner.
fn set_one_endpoint(entry: &mut Entry, owner: &Contact) {
    let capacity = Resources {
        cpu: 8_000,
        memory: 8_000,
        gpu: 0,
    };
    let listing = Listing {
        id: "w-1".parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: "w-1:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: vec!["r".to_owned()],
        capacity,
        draining: false,
    };
    let rack = listing.rack_id();
    entry.set_endpoints(&[listing]);
    entry.set_owners(&HashMap::from([(rack, owner.clone())]));
    let vacancy = Vacancy {
        rack,
        free: vec![capacity],
        movable: 0,
        backlog: 0,
    };
    entry.update_rooms(&owner.name, vec![vacancy]);
}

/// Returns an entry with `free.len()` racks of eight endpoints in one data centre. Each rack has its own owner, the
/// first one the entry's instance. Each endpoint runs one task at a time; `free` has the idle endpoints of each rack.
fn entry_with_racks(free: &[usize]) -> Entry {
    let capacity = Resources {
        cpu: 1_000,
        memory: 8_000,
        gpu: 0,
    };
    let listing = |i: usize| Listing {
        id: format!("w-{i}").parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: format!("w-{i}:80"),
        centre: "a".to_owned(),
        rack: format!("r{}", i / 8),
        labels: Vec::new(),
        capacity,
        draining: false,
    };
    let listings: Vec<Listing> = (0..free.len() * 8).map(listing).collect();
    let own: Instance = "own".parse().unwrap();
    let mut entry = Entry::new(0, &own, "a");
    entry.set_endpoints(&listings);
    let owner = |i: usize| Contact {
        name: if i == 0 {
            own.clone()
        } else {
            format!("owner-{i}").parse().unwrap()
        },
        address: format!("10.0.0.{i}:7720"),
    };
    let racks = (0..free.len()).map(|i| (listings[i * 8].rack_id(), owner(i)));
    let owners: HashMap<_, _> = racks.collect();
    entry.set_owners(&owners);
    for (i, free) in free.iter().enumerate() {
        let vacancy = Vacancy {
            rack: listings[i * 8].rack_id(),
            // A busy rack still has an endpoint that accepts tasks.
            free: vec![capacity; *free]
                .into_iter()
                .chain([Resources::default()])
                .collect(),
            movable: 0,
            backlog: 8_000,
        };
        entry.update_rooms(&owner(i).name, vec![vacancy]);
    }
    entry
}

/// Submits a job of one step and returns the batches that the entry sends.
fn submit(entry: &mut Entry, tasks: u32) -> Vec<Batch> {
    submit_as(entry, JobId(1), tasks)
}

fn submit_as(entry: &mut Entry, id: JobId, tasks: u32) -> Vec<Batch> {
    let step = Step {
        count: tasks,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            gpu: 0,
        },
        estimate: Span::millis(60),
        ..Step::default()
    };
    let submission = Submission {
        id,
        spec: String::new(),
        steps: vec![step],
        best_effort: true,
        unsupported: None,
    };
    let route = Route {
        service: "cells".to_owned(),
        timeout: Span::seconds(2),
        stretch: 1.6,
        target: Span::millis(60),
        attempts: 2,
        ..Route::default()
    };
    let mut out = Effects::default();
    entry.submit(Ticket(id.0), submission, &route, None, NOW, &mut out);
    batches(&out)
}

fn batches(out: &Effects) -> Vec<Batch> {
    let batch = |(_, message): &(Contact, Message)| match message {
        Message::Batch(batch) => Some((**batch).clone()),
        _ => None,
    };
    out.messages.iter().filter_map(batch).collect()
}

fn answers(out: &Effects) -> Vec<Answer> {
    let answer = |output: &Output| match output {
        Output::Answer(_, answer) => Some(*answer),
        _ => None,
    };
    out.outputs.iter().filter_map(answer).collect()
}

/// A job must not be spread over many owners, since the slowest message to one of them would delay it. Tasks that have
/// no room at the entry's own instance go to one other owner.
#[test]
fn a_job_goes_to_two_owners_at_most() {
    let mut idle = entry_with_racks(&[8; 28]);
    let batches = submit(&mut idle, 8);
    assert_eq!(batches.len(), 1, "{batches:?}");
    assert_eq!(batches[0].tasks.len(), 8);
    let mut busy = entry_with_racks(&[3, 8, 8, 8, 8, 8]);
    let mut sizes: Vec<usize> = submit(&mut busy, 8).iter().map(|b| b.tasks.len()).collect();
    sizes.sort_unstable();
    assert_eq!(sizes, [3, 5]);
}

/// Jobs that arrive between two heartbeats must not all go to the rack with the most free resources, but spread over
/// all racks that have room for a whole job.
#[test]
fn simultaneous_jobs_go_to_different_racks() {
    let mut used: HashMap<_, usize> = HashMap::new();
    for job in 0..40 {
        let mut entry = entry_with_racks(&[0, 8, 6, 6, 6, 6, 6, 6, 6, 6]);
        for batch in submit_as(&mut entry, JobId(job * 7_919 + 1), 4) {
            *used.entry(batch.rack).or_default() += batch.tasks.len();
        }
    }
    let most = used.values().max().copied().unwrap_or_default();
    assert!(used.len() >= 8, "only {} racks got tasks", used.len());
    assert!(most <= 40, "{most} of 160 tasks went to one rack");
}

/// An owner returns a task twice, and the batch that follows is reported as done twice. The other task of the job
/// hasn't ended, so the job must not be answered as completed.
#[test]
fn task_reported_twice_counts_once() {
    let (mut entry, _) = entry_with_rack();
    let first = submit(&mut entry, 2).remove(0);
    let later = NOW + Span::millis(50);
    let mut out = Effects::default();
    for _ in 0..2 {
        entry.on_tasks_returned(first.serial, vec![1], false, Cause::Lost, NOW, &mut out);
    }
    entry.run_due(later, &mut out);
    let second = batches(&out);
    assert_eq!(second.len(), 1, "the task isn't placed once");
    for _ in 0..2 {
        let tasks = second[0].tasks.clone();
        entry.on_batch_ended(
            second[0].serial,
            Outcome::Done,
            tasks,
            true,
            later,
            &mut out,
        );
    }
    assert_eq!(answers(&out), []);
    entry.on_batch_ended(first.serial, Outcome::Done, vec![0], true, later, &mut out);
    assert_eq!(answers(&out), [Answer::Completed]);
}

/// An owner gives up the only batch of a job before any start. The caller must be told that nothing was run.
#[test]
fn hopeless_job_is_refused_when_nothing_started() {
    let (mut entry, _) = entry_with_rack();
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(
        first.serial,
        Outcome::Hopeless,
        vec![],
        false,
        NOW,
        &mut out,
    );
    assert!(matches!(answers(&out)[..], [Answer::Refused { .. }]));
}

/// An owner gives up the only batch of a job after a start was sent. The caller must not be told that nothing was run.
#[test]
fn hopeless_job_is_given_up_when_something_started() {
    let (mut entry, _) = entry_with_rack();
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(first.serial, Outcome::Hopeless, vec![], true, NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
}

/// A job that hasn't ended when the process must end is given up: its caller gets an answer, and its owner a
/// cancellation.
#[test]
fn callers_are_answered_when_the_process_ends() {
    let (mut entry, _) = entry_with_rack();
    submit(&mut entry, 2);
    let mut out = Effects::default();
    entry.give_up_all(NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
    assert!(entry.is_empty());
    let is_cancel = |(_, message): &(Contact, Message)| matches!(message, Message::Cancel(_));
    assert!(
        out.messages.iter().any(is_cancel),
        "the owner gets no cancellation"
    );
}

/// The message that returns a task is lost, and the owner reports the batch as done with the other task only. The
/// returned task never ran, so it must be placed again before the job is answered as completed.
#[test]
fn report_counts_only_the_tasks_that_it_names() {
    let (mut entry, _) = entry_with_rack();
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(first.serial, Outcome::Done, vec![0], true, NOW, &mut out);
    assert_eq!(answers(&out), []);
    entry.run_due(NOW + Span::millis(50), &mut out);
    let second = batches(&out);
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].tasks, [1]);
}

/// Submits a job of two batches of which one is hopeless, so that the job is given up. Returns the other batch, which
/// is cancelled at its owner.
fn give_up_job(entry: &mut Entry) -> Batch {
    let first = submit(entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_tasks_returned(first.serial, vec![1], false, Cause::Lost, NOW, &mut out);
    entry.run_due(NOW + Span::millis(50), &mut out);
    let second = batches(&out).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(
        second.serial,
        Outcome::Hopeless,
        Vec::new(),
        false,
        NOW,
        &mut out,
    );
    assert_eq!(
        answers(&out),
        [],
        "answered, though the first batch may have started"
    );
    assert_eq!(cancels(&out), [("owner".to_owned(), first.serial)]);
    first
}

/// Returns the receivers and serial numbers of cancelled batches.
fn cancels(out: &Effects) -> Vec<(String, u64)> {
    let cancel = |(to, message): &(Contact, Message)| match message {
        Message::Cancel(serial) => Some((to.name.to_string(), *serial)),
        _ => None,
    };
    out.messages.iter().filter_map(cancel).collect()
}

/// An owner returns the tasks of a batch while its cancellation is in transit. The caller must be answered then, since
/// no other message about the batch follows.
#[test]
fn given_up_job_is_answered_when_its_tasks_are_returned() {
    let (mut entry, _) = entry_with_rack();
    let first = give_up_job(&mut entry);
    let mut out = Effects::default();
    entry.on_tasks_returned(first.serial, vec![0], false, Cause::Lost, NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::Refused { .. }]));
}

/// A batch moves to another owner while its cancellation is in transit. The new owner may not have it yet and can't
/// tell what was started, so the caller must not be told that nothing was run.
#[test]
fn job_with_a_moved_batch_is_given_up_rather_than_refused() {
    let (mut entry, _) = entry_with_rack();
    let first = give_up_job(&mut entry);
    let next: Instance = "next".parse().unwrap();
    let mut out = Effects::default();
    entry.on_batch_moved(first.serial, next.clone(), 1, NOW, &mut out);
    assert_eq!(cancels(&out), [("next".to_owned(), first.serial)]);
    entry.on_unknown_batches(&"owner".parse().unwrap(), &[first.serial], NOW, &mut out);
    assert_eq!(
        answers(&out),
        [],
        "answered by a message of the former owner"
    );
    entry.on_unknown_batches(&next, &[first.serial], NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
}

/// A batch that its entry has removed moves to another owner. It must be cancelled there: its job was answered, or its
/// tasks are placed elsewhere and would run twice.
#[test]
fn removed_batch_is_cancelled_at_its_new_owner() {
    let (mut entry, _) = entry_with_rack();
    let mut out = Effects::default();
    entry.on_batch_moved(17, "next".parse().unwrap(), 1, NOW, &mut out);
    assert_eq!(cancels(&out), [("next".to_owned(), 17)]);
}

/// A batch moves twice, and the messages arrive in the wrong order. The later move decides: an audit of the first new
/// owner would consider the batch lost and place its tasks a second time.
#[test]
fn latest_move_decides_the_owner() {
    let (mut entry, _) = entry_with_rack();
    let first = submit(&mut entry, 1).remove(0);
    let mut out = Effects::default();
    for (owner, moves) in [("last", 2), ("between", 1)] {
        entry.on_batch_moved(first.serial, owner.parse().unwrap(), moves, NOW, &mut out);
    }
    entry.audit_batches(NOW + Span::seconds(1), &mut out);
    let audited = out.messages.iter().map(|(to, _)| to.name.as_str());
    assert_eq!(audited.collect::<Vec<_>>(), ["last"]);
}

/// Runs a stored job of one step and returns its batch.
fn run_stored_job(entry: &mut Entry, tasks: u32) -> Batch {
    let step = Step {
        count: tasks,
        need: Resources {
            cpu: 1_000,
            memory: 64,
            gpu: 0,
        },
        estimate: Span::millis(60),
        ..Step::default()
    };
    let submission = Submission {
        id: JobId(7),
        spec: "cell".to_owned(),
        steps: vec![step],
        best_effort: false,
        unsupported: None,
    };
    let record = AcceptedJob {
        submission,
        route: "queue".to_owned(),
        service: "cells".to_owned(),
        attempts: 3,
        priority: 0,
        objective: Span::seconds(1),
    };
    let mut out = Effects::default();
    entry.run_stored(JobId(7), &record, &Progress::new(&record), NOW, NOW);
    entry.start_due_stored(NOW, &mut out);
    batches(&out).remove(0)
}

/// The failure of a run that a former coordinator placed arrives after the next one has placed the task again. The
/// entry must not place it once more, or it would run twice at the same time.
#[test]
fn failed_end_of_another_batch_places_nothing() {
    let task = TaskId {
        job: JobId(7),
        step: 0,
        index: 0,
    };
    let (mut entry, _) = entry_with_rack();
    let batch = run_stored_job(&mut entry, 1);
    for other in [None, Some(batch.serial + 1)] {
        let mut out = Effects::default();
        entry.on_task_failed(task, other, NOW);
        entry.run_due(NOW + Span::seconds(3), &mut out);
        assert_eq!(batches(&out).len(), 0, "placed again while its run goes on");
    }
    let mut out = Effects::default();
    entry.on_task_failed(task, Some(batch.serial), NOW);
    entry.run_due(NOW, &mut out);
    assert_eq!(
        batches(&out).len(),
        1,
        "not placed again after its own run failed"
    );
}

/// Returns the task of [`run_stored_job`]'s job with an index.
fn stored_task(index: u32) -> TaskId {
    TaskId {
        job: JobId(7),
        step: 0,
        index,
    }
}

/// Returns the withdrawals among messages: to whom, and which tasks.
fn withdrawals(out: &Effects) -> Vec<(&str, &[u32])> {
    let messages = out.messages.iter();
    let withdrawals = messages.filter_map(|(to, message)| match message {
        Message::Withdraw { tasks, .. } => Some((to.name.as_str(), &tasks[..])),
        _ => None,
    });
    withdrawals.collect()
}

/// Returns an endpoint of a rack of its own, with the rack's name as its label.
fn single_rack(rack: &str) -> Listing {
    Listing {
        id: format!("w-{rack}").parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: format!("w-{rack}:80"),
        centre: "a".to_owned(),
        rack: rack.to_owned(),
        labels: vec![rack.to_owned()],
        capacity: Resources {
            cpu: 8_000,
            memory: 8_000,
            gpu: 0,
        },
        draining: false,
    }
}

/// One step of a job is placed, and two wait for an owner of their racks. One of the racks is removed, so that the job is given up; the
/// other gets an owner at the same moment. Nothing more of the job may be placed: its caller is told that nothing was run.
#[test]
fn job_that_is_given_up_places_nothing_more() {
    let racks = ["placed", "removed", "late"].map(single_rack);
    let owner = Contact {
        name: "owner".parse().unwrap(),
        address: "owner:1".to_owned(),
    };
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    entry.set_endpoints(&racks);
    entry.set_owners(&HashMap::from([(racks[0].rack_id(), owner.clone())]));
    let vacancy = |listing: &Listing| Vacancy {
        rack: listing.rack_id(),
        free: vec![listing.capacity],
        movable: 0,
        backlog: 0,
    };
    entry.update_rooms(&owner.name, vec![vacancy(&racks[0])]);
    let steps = ["placed", "removed", "late"].map(|label| Step {
        count: 1,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            gpu: 0,
        },
        estimate: Span::millis(60),
        label: Some(label.to_owned()),
        ..Step::default()
    });
    let submission = Submission {
        id: JobId(1),
        spec: String::new(),
        steps: steps.to_vec(),
        best_effort: true,
        unsupported: None,
    };
    let route = Route {
        service: "cells".to_owned(),
        attempts: 2,
        timeout: Span::seconds(4),
        stretch: 1.5,
        target: Span::millis(100),
        ..Route::default()
    };
    let mut out = Effects::default();
    entry.submit(Ticket(1), submission, &route, None, NOW, &mut out);
    assert_eq!(batches(&out).len(), 1);
    entry.set_endpoints([&racks[0], &racks[2]]);
    entry.set_owners(&HashMap::from([
        (racks[0].rack_id(), owner.clone()),
        (racks[2].rack_id(), owner.clone()),
    ]));
    entry.update_rooms(&owner.name, vec![vacancy(&racks[2])]);
    let mut out = Effects::default();
    entry.run_due(NOW + Span::millis(20), &mut out);
    assert_eq!(cancels(&out).len(), 1);
    assert_eq!(batches(&out).len(), 0);
}

/// A task of a batch is done by a run that the batch's owner doesn't know. The owner must be told, as it may have the task queued; a task
/// whose end it has reported itself needs no message.
#[test]
fn owner_is_told_of_tasks_that_are_done_elsewhere_only() {
    let (mut entry, _) = entry_with_rack();
    let batch = run_stored_job(&mut entry, 3);
    let mut out = Effects::default();
    entry.on_run_done(batch.serial, stored_task(0));
    entry.on_task_done(stored_task(0), NOW, &mut out);
    assert_eq!(out.messages, []);
    entry.on_task_done(stored_task(1), NOW, &mut out);
    assert_eq!(withdrawals(&out), [("owner", &[1][..])]);
    entry.on_task_done(stored_task(2), NOW, &mut out);
    assert_eq!(cancels(&out), [("owner".to_owned(), batch.serial)]);
}

/// A batch moves while a withdrawal of one of its tasks is on the way to its former owner. The new owner must be told when the move is
/// announced, and again when the new owner announces it: the first message may have arrived before the rack.
#[test]
fn withdrawal_follows_a_batch_that_moves() {
    let (mut entry, _) = entry_with_rack();
    let batch = run_stored_job(&mut entry, 2);
    entry.on_task_done(stored_task(0), NOW, &mut Effects::default());
    let next: Instance = "next".parse().unwrap();
    for _ in ["former owner", "new owner"] {
        let mut out = Effects::default();
        entry.on_batch_moved(batch.serial, next.clone(), 1, NOW, &mut out);
        assert_eq!(withdrawals(&out), [("next", &[0][..])]);
    }
}

/// Submits a job of eight tasks of 60 ms at a priority, and returns what the entry does. Its caller waits 1.5 s.
fn submit_wide(entry: &mut Entry, id: u64, priority: u32, now: Time) -> Effects {
    let step = Step {
        count: 8,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            gpu: 0,
        },
        estimate: Span::millis(60),
        ..Step::default()
    };
    let submission = Submission {
        id: JobId(id),
        spec: String::new(),
        steps: vec![step],
        best_effort: true,
        unsupported: None,
    };
    let route = Route {
        service: "cells".to_owned(),
        priority,
        timeout: Span::millis(1_500),
        stretch: 1.6,
        target: Span::millis(60),
        attempts: 2,
        ..Route::default()
    };
    let mut out = Effects::default();
    entry.submit(Ticket(id), submission, &route, None, now, &mut out);
    out
}

fn is_refused(out: &Effects) -> bool {
    answers(out)
        .iter()
        .any(|answer| matches!(answer, Answer::Refused { .. }))
}

/// Announces two racks of eight busy endpoints with a backlog, by class where `waiting` isn't empty. Returns the entry.
fn busy_entry(backlog: u64, waiting: Vec<(Class, u64)>) -> Entry {
    let mut entry = entry_with_racks(&[0, 0]);
    announce(&mut entry, backlog, waiting);
    entry
}

fn announce(entry: &mut Entry, backlog: u64, waiting: Vec<(Class, u64)>) {
    let owners: [Instance; 2] = ["own".parse().unwrap(), "owner-1".parse().unwrap()];
    for (i, owner) in owners.iter().enumerate() {
        let rack = RackId::of("cells", "a", &format!("r{i}"));
        let vacancy = Vacancy {
            rack,
            free: vec![Resources::default()],
            movable: 0,
            backlog,
        };
        entry.update_rooms(owner, vec![vacancy]);
        let load = Load {
            rack,
            speeds: Vec::new(),
            waiting: waiting.clone(),
        };
        entry.update_loads(owner, vec![load]);
    }
}

/// A backlog of low priority must not lead to the refusal of a job that goes ahead of it. A job of the backlog's priority must be
/// refused, and told to retry when the backlog is worked off.
#[test]
fn only_work_ahead_of_a_job_leads_to_its_refusal() {
    let backlog = vec![(Class::new(1, false), 16_000), (Class::new(2, true), 8_000)];
    let mut entry = busy_entry(24_000, backlog);
    let urgent = submit_wide(&mut entry, 1, 0, NOW);
    assert!(!is_refused(&urgent), "{:?}", answers(&urgent));
    for (id, priority, least) in [(2, 1, 2_000), (3, 2, 3_000)] {
        let out = submit_wide(&mut entry, id, priority, NOW);
        let [Answer::Refused { again }] = answers(&out)[..] else {
            panic!("priority {priority} isn't refused: {:?}", answers(&out));
        };
        assert!(
            again >= Span::millis(least),
            "{again} at priority {priority}"
        );
        assert!(
            again <= Span::millis(5_500),
            "{again} at priority {priority}"
        );
    }
}

/// An owner of the previous build announces no backlog by priority. Its whole backlog must count, or its racks would be taken as
/// idle while a fleet is upgraded.
#[test]
fn backlog_of_the_previous_build_counts_whole() {
    let mut entry = busy_entry(24_000, Vec::new());
    assert!(is_refused(&submit_wide(&mut entry, 1, 0, NOW)));
    let mut entry = busy_entry(0, Vec::new());
    assert!(!is_refused(&submit_wide(&mut entry, 1, 0, NOW)));
}

/// Announcements are lost, or one arrives that was sent before the entry's batches arrived. The entry must count what it has placed
/// itself, or it would accept jobs without a bound.
#[test]
fn placed_work_counts_without_announcements() {
    let accept_all = |entry: &mut Entry, first: u64, now: Time| {
        let jobs = (first..first + 100).map(|id| is_refused(&submit_wide(entry, id, 0, now)));
        jobs.filter(|refused| !refused).count()
    };
    let mut entry = busy_entry(0, Vec::new());
    // 16 cores work off the eight tasks of 60 ms of a job in 30 ms; a job is of use up to 408 ms later.
    let accepted = accept_all(&mut entry, 1, NOW);
    assert!((8..=16).contains(&accepted), "{accepted} of 100 accepted");
    let later = NOW + Span::millis(5);
    announce(&mut entry, 0, Vec::new());
    assert_eq!(
        accept_all(&mut entry, 101, later),
        0,
        "an announcement that was sent before the batches arrived"
    );
    entry.run_due(NOW + Span::millis(60), &mut Effects::default());
    announce(&mut entry, 0, Vec::new());
    let accepted = accept_all(&mut entry, 201, NOW + Span::millis(60));
    assert!(
        (8..=16).contains(&accepted),
        "{accepted} of 100 accepted after the announcement"
    );
}

/// A job must not be refused while racks have free resources for all of its tasks, whatever waits there: what waits may not fit, or
/// be gone by now.
#[test]
fn job_is_accepted_while_its_tasks_have_room() {
    let mut entry = entry_with_racks(&[4, 4]);
    let out = submit_wide(&mut entry, 1, 3, NOW);
    assert!(!is_refused(&out), "{:?}", answers(&out));
    assert_eq!(
        batches(&out)
            .iter()
            .map(|batch| batch.tasks.len())
            .sum::<usize>(),
        8
    );
}

/// A job arrives before the instance has read the list of endpoints. It must be kept and placed once racks have owners. If the list
/// doesn't come within a second it must be refused, and from then on at once.
#[test]
fn job_is_kept_until_the_endpoints_are_known() {
    let (listed, owner) = entry_with_rack();
    let rack = listed.racks()[0].0;
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    entry.run_due(NOW, &mut Effects::default());
    let at = |ms: u64| NOW + Span::millis(ms);
    let mut out = submit_wide(&mut entry, 1, 0, at(100));
    entry.run_due(at(200), &mut out);
    assert_eq!(answers(&out), [], "not kept");
    set_one_endpoint(&mut entry, &owner);
    entry.run_due(at(300), &mut out);
    assert_eq!(answers(&out), []);
    assert_eq!(batches(&out).len(), 1, "not placed");
    assert_eq!(batches(&out)[0].rack, rack);

    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    entry.run_due(NOW, &mut Effects::default());
    let mut out = submit_wide(&mut entry, 1, 0, at(100));
    entry.run_due(at(900), &mut out);
    assert_eq!(answers(&out), []);
    entry.run_due(at(1_010), &mut out);
    assert!(is_refused(&out), "kept without a bound");
    assert!(is_refused(&submit_wide(&mut entry, 2, 0, at(1_020))));
}

/// The endpoints are known, and none can run the job. It must be refused at once, also right after the start of the instance.
#[test]
fn job_that_no_endpoint_can_run_is_refused_at_once() {
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    entry.set_endpoints(&[]);
    assert!(is_refused(&submit_wide(&mut entry, 1, 0, NOW)));
}

/// A job has tasks on two racks, and one of them has started. Its other batch is given up for lack of use before it has started. The
/// job must get its last task placed again, ahead of others, instead of the answer 504.
#[test]
fn started_job_keeps_its_last_task() {
    let (mut entry, _) = entry_with_rack();
    entry.set_several_priorities(true);
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_tasks_returned(first.serial, vec![1], true, Cause::Unfit, NOW, &mut out);
    entry.run_due(NOW + Span::millis(50), &mut out);
    let second = batches(&out).remove(0);
    let mut out = Effects::default();
    let later = NOW + Span::millis(400);
    entry.on_batch_ended(
        second.serial,
        Outcome::Hopeless,
        vec![],
        false,
        later,
        &mut out,
    );
    assert_eq!(answers(&out), []);
    entry.run_due(later + Span::millis(50), &mut out);
    let third = batches(&out).remove(0);
    assert_eq!(third.tasks, [1]);
    // By this its owner puts it ahead of others, see `rest_of_a_started_job_goes_first` in tests/owner.rs.
    assert_eq!(third.useful, third.time_left);
}

/// The forecast must be that of placing one task after the other on the rack that starts it soonest. A forecast from the shortest wait
/// alone would accept jobs whose last task starts too late.
#[test]
fn forecast_covers_the_last_task() {
    let demand = |tasks: u64| Demand {
        tasks,
        work: 1_000,
        slack: Span::seconds(9),
        horizon: Span::seconds(1),
    };
    let room = |ahead: u64, cores: u64| Room {
        ahead,
        ahead_late: ahead,
        rate: cores * 1_000,
    };
    let rooms: Vec<Room> = (0..20)
        .map(|i| room(i * i * 137 % 9_000, 16 + i % 3 * 8))
        .collect();
    for tasks in [1, 4, 20, 100] {
        let mut starts: Vec<u64> = Vec::new();
        for room in &rooms {
            let start = |n: u64| (room.ahead + n * 1_000) * 1_000_000 / room.rate;
            starts.extend((1..=tasks).map(start));
        }
        starts.sort_unstable();
        let exact = starts[tasks as usize - 1];
        let wait = admission::forecast(rooms.iter().copied(), &demand(tasks))
            .unwrap()
            .wait
            .0;
        // An interval is a 31st of a second; a task takes up to 63 ms of a rack's rate.
        assert!(
            wait.abs_diff(exact) <= 64_000,
            "{tasks} tasks: {wait} us instead of {exact}"
        );
    }
    assert_eq!(admission::forecast([], &demand(1)), None);
}
