//! The entry's duty by itself: what callers are told, whatever owners say.

use std::collections::HashMap;

use poplarknot::{
    dispatch::{
        durable::record::Progress,
        entry::Entry,
        id::{
            JobId,
            Life,
            TaskId, //
        },
        message::{
            Answer,
            Batch,
            Cause,
            Contact,
            Listing,
            Message,
            Outcome,
            Output,
            Ticket,
            Vacancy, //
        },
        owner::Effects,
        route::Route,
        task::{
            AcceptedJob,
            Resources,
            Step,
            Submission, //
        }, //
    },
    prelude::*,
};

const NOW: Time = Time(1_000_000);

fn entry() -> (Entry, Contact) {
    let owner = Contact {
        name: "owner".parse().unwrap(),
        address: "owner:1".to_owned(),
    };
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
    let mut entry = Entry::new(0, &"own".parse().unwrap(), "a");
    entry.set_endpoints(&[listing]);
    entry.set_owners(&HashMap::from([(rack, owner.clone())]));
    let vacancy = Vacancy {
        rack,
        free: vec![capacity],
        movable: 0,
        backlog: 0,
    };
    entry.update_rooms(&owner.name, vec![vacancy]);
    (entry, owner)
}

/// Makes an entry with racks of eight endpoints, one owner each: the first is its own instance, all of the same data centre. Each
/// endpoint has room for one task, on as many of a rack's endpoints as `free` says.
fn fleet(free: &[usize]) -> Entry {
    let room = Resources {
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
        capacity: room,
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
            // A rack without room is still one that takes tasks.
            free: vec![room; *free]
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

/// A caller hands in a job of eight tasks while most endpoints are idle. Spread evenly it went to eight owners, and was as late as the
/// message to the last of them. It stays with the instance that took it in; what has no room there goes to one other owner.
#[test]
fn a_wide_job_stays_in_one_place() {
    let mut idle = fleet(&[8; 28]);
    let batches = submit(&mut idle, 8);
    assert_eq!(batches.len(), 1, "{batches:?}");
    assert_eq!(batches[0].tasks.len(), 8);
    let mut busy = fleet(&[3, 8, 8, 8, 8, 8]);
    let mut sizes: Vec<usize> = submit(&mut busy, 8).iter().map(|b| b.tasks.len()).collect();
    sizes.sort_unstable();
    assert_eq!(sizes, [3, 5]);
}

/// An instance without room of its own takes forty jobs in before any owner tells how much is left. Each of them went to the rack
/// with the most room, as did those of all other instances, and they waited there for each other. They are dealt out over all racks
/// that have room for a whole job.
#[test]
fn jobs_draw_different_racks() {
    let mut used: HashMap<_, usize> = HashMap::new();
    for job in 0..40 {
        let mut entry = fleet(&[0, 8, 6, 6, 6, 6, 6, 6, 6, 6]);
        for batch in submit_as(&mut entry, JobId(job * 7_919 + 1), 4) {
            *used.entry(batch.rack).or_default() += batch.tasks.len();
        }
    }
    let most = used.values().max().copied().unwrap_or_default();
    assert!(used.len() >= 8, "only {} racks", used.len());
    assert!(most <= 40, "{most} of 160 tasks meet on one rack");
}

/// An owner sends a task back twice, and both batches that follow from it are told done, or so it seems. The other task of
/// the job has not ended: its caller must not be told complete.
#[test]
fn task_told_done_twice_is_one_task() {
    let (mut entry, _) = entry();
    let first = submit(&mut entry, 2).remove(0);
    let later = NOW + Span::millis(50);
    let mut out = Effects::default();
    for _ in 0..2 {
        entry.on_tasks_returned(first.serial, vec![1], false, Cause::Lost, NOW, &mut out);
    }
    entry.run_due(later, &mut out);
    let again = batches(&out);
    assert_eq!(again.len(), 1, "the task is placed once");
    let done = |batch: &Batch| batch.tasks.clone();
    for _ in 0..2 {
        let tasks = done(&again[0]);
        entry.on_batch_ended(again[0].serial, Outcome::Done, tasks, true, later, &mut out);
    }
    assert_eq!(answers(&out), []);
    entry.on_batch_ended(first.serial, Outcome::Done, vec![0], true, later, &mut out);
    assert_eq!(answers(&out), [Answer::Completed]);
}

/// An owner gives a batch up before any start. Its caller is told that nothing was run, once every owner has said so.
#[test]
fn hopeless_job_is_refused_when_nothing_started() {
    let (mut entry, _) = entry();
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

/// The same after a start has left: "not run" would be untrue.
#[test]
fn hopeless_job_is_given_up_when_something_started() {
    let (mut entry, _) = entry();
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(first.serial, Outcome::Hopeless, vec![], true, NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
}

/// A caller's job has not ended when its instance must go: an outage of the endpoints took the time of the drain. The
/// caller is told that its job was given up; left without an answer, it would have to guess.
#[test]
fn callers_are_answered_when_the_process_ends() {
    let (mut entry, _) = entry();
    submit(&mut entry, 2);
    let mut out = Effects::default();
    entry.give_up_all(NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
    assert!(entry.is_empty());
    let cancels = |(_, message): &(Contact, Message)| matches!(message, Message::Cancel(_));
    assert!(out.messages.iter().any(cancels), "its owner stops it");
}

/// An owner sends a task back, and the message gets lost; it reports the batch as done when the other task is. The caller
/// must not be told complete: the task that was sent back has never run. It is placed again.
#[test]
fn report_counts_only_the_tasks_that_it_names() {
    let (mut entry, _) = entry();
    let first = submit(&mut entry, 2).remove(0);
    let mut out = Effects::default();
    entry.on_batch_ended(first.serial, Outcome::Done, vec![0], true, NOW, &mut out);
    assert_eq!(answers(&out), []);
    entry.run_due(NOW + Span::millis(50), &mut out);
    let again = batches(&out);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].tasks, [1]);
}

/// A job of two batches, which is given up since one of them is hopeless. Returns the other, which its owner is asked to
/// drop.
fn given_up(entry: &mut Entry) -> Batch {
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
    assert_eq!(answers(&out), [], "the first may have started");
    assert_eq!(cancelled(&out), [("owner".to_owned(), first.serial)]);
    first
}

fn cancelled(out: &Effects) -> Vec<(String, u64)> {
    let cancel = |(to, message): &(Contact, Message)| match message {
        Message::Cancel(serial) => Some((to.name.to_string(), *serial)),
        _ => None,
    };
    out.messages.iter().filter_map(cancel).collect()
}

/// An owner sends tasks back in the moment in which it is asked to drop them. It has nothing left to say of them, and the
/// caller is told at once that nothing was run. Otherwise it would wait until its own time has passed.
#[test]
fn given_up_job_is_answered_when_its_tasks_come_back() {
    let (mut entry, _) = entry();
    let first = given_up(&mut entry);
    let mut out = Effects::default();
    entry.on_tasks_returned(first.serial, vec![0], false, Cause::Lost, NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::Refused { .. }]));
}

/// A batch goes to another owner in the moment in which its entry gives it up. The next owner is asked to drop it. It
/// doesn't have it yet and can't say what was started of it: the caller isn't told that nothing was run.
#[test]
fn given_up_batch_that_moved_is_in_doubt() {
    let (mut entry, _) = entry();
    let first = given_up(&mut entry);
    let next: Instance = "next".parse().unwrap();
    let mut out = Effects::default();
    entry.on_batch_moved(first.serial, next.clone(), 1, NOW, &mut out);
    assert_eq!(cancelled(&out), [("next".to_owned(), first.serial)]);
    entry.on_unknown_batches(&"owner".parse().unwrap(), &[first.serial], NOW, &mut out);
    assert_eq!(answers(&out), [], "it isn't the owner any more");
    entry.on_unknown_batches(&next, &[first.serial], NOW, &mut out);
    assert!(matches!(answers(&out)[..], [Answer::GivenUp { .. }]));
}

/// A batch that its entry doesn't know any more comes to an owner with a rack. It is dropped there: its job was answered,
/// or its tasks are about to be placed elsewhere, and would run twice.
#[test]
fn batch_that_nobody_wants_is_dropped_where_it_moved() {
    let (mut entry, _) = entry();
    let mut out = Effects::default();
    entry.on_batch_moved(17, "next".parse().unwrap(), 1, NOW, &mut out);
    assert_eq!(cancelled(&out), [("next".to_owned(), 17)]);
}

/// A batch moves twice, and the entry hears of it in the wrong order. It goes by the later move: asked for its batch, the
/// owner between would not know it, and the tasks would be placed a second time.
#[test]
fn later_move_counts() {
    let (mut entry, _) = entry();
    let first = submit(&mut entry, 1).remove(0);
    let mut out = Effects::default();
    for (owner, moves) in [("last", 2), ("between", 1)] {
        entry.on_batch_moved(first.serial, owner.parse().unwrap(), moves, NOW, &mut out);
    }
    entry.audit_batches(NOW + Span::seconds(1), &mut out);
    let audited = out.messages.iter().map(|(to, _)| to.name.as_str());
    assert_eq!(audited.collect::<Vec<_>>(), ["last"]);
}

/// Gives the only task of a stored job out.
fn stored(entry: &mut Entry) -> Batch {
    let step = Step {
        count: 1,
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
    entry.run_stored(JobId(7), &record, &Progress::begin(&record), NOW, NOW);
    entry.start_due_stored(NOW, &mut out);
    batches(&out).remove(0)
}

/// A run fails that a former coordinator gave out. A cut holds its end back until the next coordinator has given the task
/// out again. The new run goes on: placed once more at the word of the old end, the task would run twice at the same time.
#[test]
fn failed_end_of_another_batch_places_nothing() {
    let task = TaskId {
        job: JobId(7),
        step: 0,
        index: 0,
    };
    let (mut entry, _) = entry();
    let batch = stored(&mut entry);
    for other in [None, Some(batch.serial + 1)] {
        let mut out = Effects::default();
        entry.on_task_failed(task, other, NOW);
        entry.run_due(NOW + Span::seconds(3), &mut out);
        assert_eq!(batches(&out).len(), 0, "its run goes on");
    }
    let mut out = Effects::default();
    entry.on_task_failed(task, Some(batch.serial), NOW);
    entry.run_due(NOW, &mut out);
    assert_eq!(batches(&out).len(), 1, "its own run failed");
}
