//! Tasks that are done, cancelled, or whose job has ended: they must start nowhere, whichever instance still has them queued.

use std::collections::BTreeSet;

use poplarknot::{
    dispatch::{
        durable::{
            Action,
            Coordinator, //
        },
        id::{
            JobId,
            Life,
            RequestSerial,
            Run,
            TaskId, //
        },
        message::{
            Answer,
            Contact,
            JobState,
            Message,
            Output,
            Question,
            RunEnd,
            StoreRequest,
            Verdict, //
        },
        owner::Effects,
        task::{
            AcceptedJob,
            Step,
            Submission, //
        }, //
    },
    prelude::*, //
};

use super::{
    rows::Rows,
    world::{
        Faults,
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// The job whose tasks end behind a cut.
const CUT_JOB: JobId = JobId(1);

/// Returns a world of one rack. The endpoint that runs the tasks of [`CUT_JOB`] is cut off from all instances for `cut`; the tasks end
/// meanwhile, before their leases expire. Tasks that take `filling` occupy the others all the while.
fn world_with_cut(seed: u64, stored: bool, filling: Span, cut: Span) -> World {
    let mut world = World::new(seed, 3, 1, NO_FAULTS);
    if stored {
        world.store_jobs();
    }
    let patient = Shape {
        wait: Span::seconds(30),
        ..Shape::default()
    };
    world.submit_at(Span(0), 0, (4, 1_000, Span::millis(1_200)), patient);
    for n in 1..5 {
        let at = Span::millis(40).times(n);
        world.submit_at(at, 0, (16, 1_000, filling), patient);
    }
    world.run(Span::millis(900));
    for w in endpoints_of_job(&world) {
        world.isolate_endpoint_at(Span(0), w, cut);
    }
    world
}

/// Returns the endpoints where tasks of [`CUT_JOB`] run.
fn endpoints_of_job(world: &World) -> BTreeSet<usize> {
    let runs = world.runs(CUT_JOB).into_iter();
    let endpoints: BTreeSet<usize> = runs
        .filter(|(_, run)| run.until.is_none())
        .map(|(w, _)| w)
        .collect();
    assert_eq!(endpoints.len(), 1);
    endpoints
}

/// An endpoint is cut off, its tasks end there, and their owner takes the runs for lost and queues the tasks again. Once the endpoint is
/// back and lists the ends, the tasks must leave the queue, or they start after their job was shown as completed.
#[test]
fn task_that_ended_behind_a_cut_is_not_started_again() {
    for seed in 0..8 {
        let mut world = world_with_cut(seed, true, Span::seconds(6), Span::millis(3_500));
        world.run(Span::seconds(30));
        assert_eq!(world.finish_and_check_stored(), 5);
        let runs = world.runs(CUT_JOB);
        assert_eq!(runs.len(), 8, "seed {seed}, two steps of four tasks");
    }
}

/// The endpoint is back while the tasks run a second time elsewhere, and that endpoint is cut off in turn. The second runs mustn't be
/// followed by third ones.
#[test]
fn second_run_of_a_task_that_is_done_is_not_repeated() {
    for seed in 0..8 {
        let mut world = world_with_cut(seed, true, Span::seconds(2), Span::millis(3_700));
        world.run(Span::millis(3_650));
        for w in endpoints_of_job(&world) {
            world.isolate_endpoint_at(Span::millis(20), w, Span::millis(2_500));
        }
        world.run(Span::seconds(30));
        assert_eq!(world.finish_and_check_stored(), 5);
        let runs = world.runs(CUT_JOB);
        assert_eq!(runs.len(), 12, "seed {seed}, the first step twice");
    }
}

/// The same cut under a job whose caller waits: the tasks that ended behind it count, and the caller needn't wait for second runs.
#[test]
fn task_that_ended_behind_a_cut_counts_for_a_waiting_caller() {
    for seed in 0..8 {
        let mut world = world_with_cut(seed, false, Span::seconds(6), Span::millis(3_500));
        world.run(Span::millis(4_700));
        assert_eq!(world.jobs[&CUT_JOB].answer, Some(Answer::Completed));
        world.run(Span::seconds(20));
        world.finish_and_check();
        assert_eq!(world.runs(CUT_JOB).len(), 4, "seed {seed}");
    }
}

/// Returns a stored job of one task.
fn stored_job(id: JobId) -> AcceptedJob {
    AcceptedJob {
        submission: Submission {
            id,
            spec: "cell".to_owned(),
            steps: vec![Step {
                count: 1,
                ..Step::default()
            }],
            best_effort: false,
            unsupported: None,
        },
        route: "queue".to_owned(),
        service: "cells".to_owned(),
        attempts: 3,
        priority: 0,
        objective: Span::seconds(1),
    }
}

/// The coordinator of the shard of [`CUT_JOB`], which is empty at first, with its store and a caller.
struct Coordination {
    coordinator: Coordinator,
    rows: Rows,
    now: Time,
    /// The actions that the coordinator has returned.
    actions: Vec<Action>,
    /// Its messages.
    messages: Vec<Message>,
}

impl Coordination {
    const SUBMISSION: RequestSerial = RequestSerial(1);
    const CANCELLATION: RequestSerial = RequestSerial(2);

    /// Returns the coordinator after the job was submitted, before anything is read or stored.
    fn new() -> Self {
        let now = Time(1_000_000);
        let mut coordinator = Coordinator::new("own 1");
        coordinator.claim(CUT_JOB.shard(), now);
        let mut coordination = Self {
            coordinator,
            rows: Rows::default(),
            now,
            actions: Vec::new(),
            messages: Vec::new(),
        };
        let question = Question::Accept(Box::new(stored_job(CUT_JOB)));
        coordination.ask(Self::SUBMISSION, question);
        coordination
    }

    fn caller() -> Contact {
        Contact {
            name: "caller".parse().unwrap(),
            address: "caller:1".to_owned(),
        }
    }

    fn ask(&mut self, serial: RequestSerial, question: Question) {
        let (caller, mut out) = (Self::caller(), Effects::default());
        self.coordinator
            .on_request(&caller, serial, CUT_JOB, question, self.now, &mut out);
        self.take_messages(out);
    }

    /// Lets the coordinator work with the store for a while. The job is cancelled before the first request for which `is_moment` holds.
    fn run(&mut self, is_moment: impl Fn(&StoreRequest) -> bool) {
        let mut cancelled = false;
        for _ in 0..10 {
            self.now = self.now + Span::millis(20);
            let mut out = Effects::default();
            let actions = self.coordinator.run_due(self.now, &mut out);
            self.actions.extend(actions);
            let outputs = std::mem::take(&mut out.outputs);
            self.take_messages(out);
            for output in outputs {
                let Output::Store { call, request } = output else {
                    continue;
                };
                if !cancelled && is_moment(&request) {
                    cancelled = true;
                    self.ask(Self::CANCELLATION, Question::Cancel);
                }
                let (reply, mut out) = (self.rows.execute(&request), Effects::default());
                let actions = self
                    .coordinator
                    .on_store_reply(call, reply, self.now, &mut out);
                self.actions.extend(actions);
                self.take_messages(out);
            }
        }
    }

    fn take_messages(&mut self, out: Effects) {
        let messages = out.messages.into_iter().map(|(_, message)| message);
        self.messages.extend(messages);
    }

    /// Returns the answers to the cancellation.
    fn cancellation_verdicts(&self) -> Vec<Verdict> {
        let messages = self.messages.iter();
        let verdicts = messages.filter_map(|message| match message {
            Message::Verdict { serial, verdict } if *serial == Self::CANCELLATION => Some(*verdict),
            _ => None,
        });
        verdicts.collect()
    }
}

/// A caller cancels a job while the write that stores it is on its way. The job mustn't run once the write is acknowledged: nothing would
/// stop it, and its tasks would run again and again as nobody takes note of their ends.
#[test]
fn job_that_is_cancelled_while_it_is_being_stored_does_not_run() {
    let mut shard = Coordination::new();
    shard.run(|request| matches!(request, StoreRequest::Write { set, .. } if set.len() == 2));
    assert_eq!(shard.actions, [Action::Release(CUT_JOB)]);
    let cancelled = Verdict::Standing(JobState::Cancelled);
    assert_eq!(shard.cancellation_verdicts(), [cancelled]);
}

/// A caller cancels a job that waits until its shard, which is empty, has a lock. The answer mustn't be that there is no such job, since
/// the job is stored and run a moment later.
#[test]
fn cancellation_of_a_job_that_waits_for_its_shard_is_not_answered_as_unknown() {
    let mut shard = Coordination::new();
    shard.run(|request| matches!(request, StoreRequest::Find { .. }));
    assert_eq!(shard.cancellation_verdicts(), [Verdict::Unready]);
}

/// A task ends under a former coordinator, which can't store that, and the next one starts it again before the job is cancelled. The first
/// end, heard after that, may be forgotten only once its endpoint's lease has expired: the second run began after an end that counts.
#[test]
fn end_that_is_heard_after_the_end_of_its_job_is_late() {
    let mut shard = Coordination::new();
    shard.run(|_| false);
    shard.ask(Coordination::CANCELLATION, Question::Cancel);
    shard.run(|_| false);
    let cancelled = Verdict::Standing(JobState::Cancelled);
    assert_eq!(shard.cancellation_verdicts(), [cancelled]);
    let end = RunEnd {
        endpoint: "w-1".parse().unwrap(),
        life: Life(1),
        serial: 1,
        task: TaskId {
            job: CUT_JOB,
            step: 0,
            index: 0,
        },
        run: Run::FIRST,
        done: true,
        batch: None,
    };
    let mut out = Effects::default();
    let owner = Coordination::caller();
    let action = shard.coordinator.on_run_end(&owner, &end, None, &mut out);
    assert_eq!(action, None);
    let is_late = |message: &Message| matches!(message, Message::Noted { late: true, .. });
    let [(_, message)] = &out.messages[..] else {
        panic!("{:?}", out.messages);
    };
    assert!(is_late(message), "{message:?}");
}

/// Endpoints are cut off one after the other for longer than their leases, while instances die, drain and pause and callers cancel jobs:
/// no task starts after its end was taken note of, or after its job was cancelled.
#[test]
fn random_cuts_start_no_ended_task_again() {
    for seed in 0..40 {
        let faults = Faults {
            lost_heartbeats: 0.03,
            failed_runs: 0.02,
            broken_links: 0.02,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, 4, 3, faults);
        world.store_jobs();
        for n in 0..30 {
            let tasks = (1 + (n % 6) as u32, 1_000, Span::millis(300 + 170 * (n % 7)));
            let i = ((seed + n) % 4) as usize;
            world.submit_at(Span::millis(90).times(n), i, tasks, Shape::default());
        }
        for n in 0..6 {
            let draw = seed.wrapping_mul(0x9e37_79b9) >> n;
            let w = (draw % 12) as usize;
            let cut = Span::millis(1_300 + 250 * (draw % 9));
            world.isolate_endpoint_at(Span::millis(400 + 500 * n), w, cut);
            let at = Span::millis(60 + 450 * n + draw % 400);
            world.cancel_at(at, JobId(1 + draw % 30));
        }
        let (at, i) = (Span::millis(900 + 37 * seed), (seed / 4 % 4) as usize);
        match seed % 4 {
            0 => world.kill_at(at, i, Span::millis(900)),
            1 => world.drain_at(at, i),
            2 => world.suspend_at(at, i, Span::millis(2_500)),
            _ => world.stall_at(at, i, (i + 1) % 4, Span::millis(900)),
        }
        world.run(Span::seconds(16));
        world.finish_and_check_stored();
    }
}
