//! What one life of an endpoint was sent, or has confirmed, doesn't hold for the next one under the same name.

use poplarknot::{
    dispatch::{
        id::{
            Epoch,
            JobId,
            Life,
            Token, //
        },
        license::Confirmation,
        message::{
            Answer,
            Batch,
            CallId,
            Contact,
            JobState,
            Listing,
            Lists,
            Order,
            Output,
            Reply, //
        },
        owner::{
            Effects,
            Owner, //
        },
        task::Resources, //
    },
    prelude::*, //
};

use super::{
    world::{
        Shape,
        World, //
    },
    NO_FAULTS, //
};

/// Endpoints restart within the time-out of a poll, and carry out starts before they are polled again. An acknowledgement with the
/// numbers of the former life would make them forget ends that nobody has seen, and the tasks would run again.
#[test]
fn restarted_endpoints_forget_no_end_by_former_numbers() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 2, NO_FAULTS);
        world.store_jobs();
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        for n in 0..600 {
            let job = (2, 500, Span::millis(20 + 15 * (n % 3)));
            world.submit_at(Span::millis(10 * n), n as usize % 3, job, Shape::default());
        }
        for n in 0..8 {
            let down = Span::millis(60 + 10 * n);
            world.crash_and_restart_at(Span::millis(1_000 + 500 * n), n as usize, down, 0);
        }
        world.run(Span::seconds(8));
        world.finish_and_check_stored();
    }
}

/// Starts are held on their way while their endpoints are silent. These then answer with a higher token, and the tasks start elsewhere.
/// When the endpoints restart, they know that token no longer, and carry the starts out.
#[test]
fn starts_that_a_former_life_barred_run_no_task_twice() {
    for seed in 0..8 {
        let mut world = World::new(seed, 2, 2, NO_FAULTS);
        world.crash_silently();
        world.set_row_lag(Span::seconds(1));
        for w in 0..4 {
            world.hold_orders_at(
                Span::millis(1_000),
                w,
                Span::millis(300),
                Span::millis(2_100),
            );
            world.crash_and_restart_at(Span::millis(2_400), w, Span::millis(690), 0);
        }
        let shape = Shape {
            wait: Span::seconds(8),
            ..Shape::default()
        };
        for n in 0..12 {
            let job = (1, 1_000, Span::seconds(4));
            world.submit_at(Span::millis(1_010 + 20 * n), n as usize % 2, job, shape);
        }
        world.run(Span::seconds(10));
        world.finish_and_check();
    }
}

/// The lives of the endpoint: when its rack was claimed, and after a restart.
const LIVES: [Life; 2] = [Life(1_000), Life(9_000)];

/// An owner of a rack with one endpoint.
struct OwnerOfOne {
    owner: Owner,
    now: Time,
    /// Calls that wait for a reply.
    calls: Vec<(CallId, Order)>,
}

impl OwnerOfOne {
    /// Returns an owner that has polled the endpoint in its first life, of kind `a`.
    fn new() -> Self {
        let entry = contact();
        let mut owner = Owner::new(&entry.name);
        let mut out = Effects::default();
        let listing = listing(LIVES[0], "a");
        owner.claim(listing.rack_id(), Token::new(Epoch(1), 1), &mut out);
        let mut new = Self {
            owner,
            now: Time(10_000_000),
            calls: Vec::new(),
        };
        new.list(listing);
        new.step(Span::millis(1));
        new.answer_polls(LIVES[0]);
        new
    }

    /// Lets the next poll of the idle endpoint find its second life.
    fn restart(&mut self) {
        self.step(Span::seconds(6));
        self.answer_polls(LIVES[1]);
    }

    /// Reads the platform's list.
    fn list(&mut self, listing: Listing) {
        let mut out = Effects::default();
        self.owner.update_endpoints(&[listing], self.now, &mut out);
        self.collect(out);
    }

    /// Submits a task that needs kind `a`.
    fn submit(&mut self) {
        let mut out = Effects::default();
        let rack = listing(LIVES[0], "a").rack_id();
        let batch = Batch {
            serial: 1,
            rack,
            job: JobId(1),
            step: 0,
            tasks: vec![0],
            moves: 0,
            need: Resources {
                cpu: 1_000,
                memory: 1,
                gpu: 0,
            },
            estimate: Span::millis(60),
            label: Some("a".to_owned()),
            per_endpoint: None,
            spec: String::new(),
            attempts: 2,
            priority: 0,
            work: 60,
            tied: true,
            stored: true,
            slack: Some(Span::seconds(1)),
            useful: Span::seconds(20),
            time_left: Span::seconds(30),
        };
        self.owner.accept(&contact(), batch, self.now, &mut out);
        self.collect(out);
    }

    /// Lets time pass, and returns the number of starts that are sent.
    fn step(&mut self, span: Span) -> usize {
        self.now = self.now + span;
        let mut out = Effects::default();
        let confirmation = Confirmation::of_self(self.now);
        self.owner.confirm_entry(&contact().name, confirmation);
        self.owner.process_due(self.now, &mut out);
        self.collect(out)
    }

    fn collect(&mut self, out: Effects) -> usize {
        let before = self.starts();
        for output in out.outputs {
            if let Output::Call { call, order, .. } = output {
                self.calls.push((call, order));
            }
        }
        self.starts() - before
    }

    fn starts(&self) -> usize {
        let is_start = |(_, order): &&(CallId, Order)| matches!(order, Order::Start { .. });
        self.calls.iter().filter(is_start).count()
    }

    /// Answers the polls as a life without runs does.
    fn answer_polls(&mut self, life: Life) {
        let is_poll = |(_, order): &(CallId, Order)| matches!(order, Order::Poll { .. });
        let (polls, others) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(is_poll);
        self.calls = others;
        let polls: Vec<(CallId, Order)> = polls;
        for (call, _) in polls {
            let lists = Lists {
                clock: self.now.0 / 1_000,
                life,
                ..Lists::default()
            };
            self.reply(call, Reply::Looked(lists));
        }
    }

    /// Lets all calls time out.
    fn time_out(&mut self) {
        for (call, _) in std::mem::take(&mut self.calls) {
            self.reply(call, Reply::Silent);
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        let mut out = Effects::default();
        self.owner
            .on_reply(call, self.now, reply, self.now, &mut out);
        self.collect(out);
    }
}

fn contact() -> Contact {
    Contact {
        name: "own".parse().unwrap(),
        address: "own:1".to_owned(),
    }
}

fn listing(life: Life, kind: &str) -> Listing {
    Listing {
        id: "w-1".parse().unwrap(),
        life,
        service: "cells".to_owned(),
        address: "w-1:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: vec![kind.to_owned(), "r".to_owned()],
        capacity: Resources {
            cpu: 4_000,
            memory: 4_000,
            gpu: 0,
        },
        draining: false,
    }
}

/// An endpoint restarts as another kind. By the row of its former life it would be given tasks without their label.
#[test]
fn restarted_endpoint_gets_no_task_by_its_former_kind() {
    let mut test = OwnerOfOne::new();
    test.restart();
    test.submit();
    for _ in 0..10 {
        assert_eq!(test.step(Span::millis(30)), 0, "the former row is in force");
        test.answer_polls(LIVES[1]);
    }
    test.list(listing(LIVES[1], "b"));
    for _ in 0..10 {
        assert_eq!(test.step(Span::millis(30)), 0, "the new kind has no label");
        test.answer_polls(LIVES[1]);
    }
}

/// The same with a start that got no answer in the former life, and is due to be sent again in the next.
#[test]
fn start_is_not_sent_again_to_another_kind() {
    let mut test = OwnerOfOne::new();
    test.submit();
    assert_eq!(test.step(Span::millis(1)), 1);
    test.time_out();
    test.calls.clear();
    for _ in 0..20 {
        assert_eq!(test.step(Span::millis(30)), 0, "the former row is in force");
        test.answer_polls(LIVES[1]);
    }
    test.list(listing(LIVES[1], "b"));
    for _ in 0..20 {
        assert_eq!(test.step(Span::millis(30)), 0, "the new kind has no label");
        test.answer_polls(LIVES[1]);
    }
}

/// A restarted endpoint of the same kind gets tasks again once its row is read.
#[test]
fn restarted_endpoint_of_the_same_kind_gets_tasks_again() {
    let mut test = OwnerOfOne::new();
    test.restart();
    test.submit();
    test.list(listing(LIVES[1], "a"));
    let mut starts = 0;
    for _ in 0..5 {
        starts += test.step(Span::millis(30));
        test.answer_polls(LIVES[1]);
    }
    assert_eq!(starts, 1);
}

/// An instance restarts while the store is down. The answers to cancellations that its former incarnation forwarded would reach callers
/// who ask the next one for the states of other jobs.
#[test]
fn answers_for_a_former_incarnation_reach_no_other_caller() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, NO_FAULTS);
        world.store_jobs();
        let (long, short) = (1..=40, 41..=70);
        for n in 0..70 {
            let duration = Span::millis(if n < 40 { 6_000 } else { 350 });
            let (at, i) = (Span::millis(3 * n), 1 + n as usize % 2);
            world.submit_at(at, i, (1, 200, duration), Shape::default());
        }
        let down = Span::millis(3_400);
        world.store_outage_at(Span::millis(500), down);
        for n in long.clone() {
            world.cancel_at(Span::millis(600 + n), JobId(n));
        }
        world.kill_at(Span::millis(900), 0, Span::millis(300));
        for n in short.clone() {
            world.query_at(Span::millis(2_300 + n), JobId(n));
        }
        world.run(Span::seconds(6));
        for n in short {
            let answer = world.jobs[&JobId(n)].answer;
            let cancelled = Some(Answer::Standing(JobState::Cancelled));
            assert_ne!(answer, cancelled, "job {n} of seed {seed}");
        }
    }
}
