//! Unit tests of the owner and its view of endpoints, without a simulated cluster.

#[path = "owner/fixture.rs"]
mod fixture;

use poplarknot::{
    dispatch::{
        endpoint::{
            Execution,
            Standing,
            State, //
        },
        id::{
            Epoch,
            JobId,
            Life,
            RackId,
            Run,
            TaskId,
            Token, //
        },
        license::LICENSE,
        message::{
            Batch,
            CallId,
            Contact,
            End,
            Ended,
            Input,
            Listing,
            Lists,
            Message,
            Name,
            Order,
            Outcome,
            Output,
            Reply,
            Roster,
            Running, //
        },
        owner::{
            Effects,
            Owner, //
        },
        queue::{
            Class,
            Handle, //
        },
        route::Route,
        task::Resources,
        Dispatcher,
        Identity, //
    },
    prelude::*, //
};

use self::fixture::{
    batch,
    confirm_entries,
    contact,
    listing,
    starts,
    task_of,
    TestOwner,
    START, //
};

/// A new owner must neither extend the lease of a dead owner's run nor accept tasks until the run has ended. Its caller
/// submits the job elsewhere, and the task would run twice.
#[test]
fn unknown_runs_end_before_tasks_are_accepted() {
    let mut state = State::new(listing(4), Token(5), START);
    let order = state.poll(CallId(1), START).unwrap();
    assert!(matches!(order, Order::Poll { lease: None, .. }));
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let unknown_run = Running {
        task: Name::Known(task),
        run: Run(1),
        percent: None,
    };
    let now = START + Span::millis(1);
    let lists = Lists {
        clock: 7,
        running: vec![unknown_run],
        ..Lists::default()
    };
    let (_, unknown) = state.on_poll_answer(CallId(1), START, lists, now);
    assert_eq!(unknown.len(), 1);
    assert!(!state.accepts_tasks(now));
    let later = now + Span::millis(60);
    let order = state.poll(CallId(2), later).unwrap();
    assert!(matches!(order, Order::Poll { lease: None, .. }));
    state.on_poll_answer(CallId(2), later, Lists::default(), later);
    assert_eq!(state.standing, Standing::Open);
    assert!(state.accepts_tasks(later));
}

/// Returns a run as an endpoint lists it.
fn listed(task: TaskId, run: Run) -> Running {
    Running {
        task: Name::Known(task),
        run,
        percent: None,
    }
}

/// Answers the poll that is due at a time with the given runs. Returns all orders.
fn answer_poll(test: &mut TestOwner, running: Vec<Running>, life: Life, now: Time) -> Vec<Order> {
    let mut out = Effects::default();
    confirm_entries(&mut test.owner, now);
    test.owner.process_due(now, &mut out);
    let mut orders = Vec::new();
    for output in out.outputs {
        let Output::Call { call, order, .. } = output else {
            continue;
        };
        let clock = now.0 / 1_000;
        let reply = match &order {
            Order::Poll { .. } => Reply::Looked(Lists {
                clock,
                life,
                running: running.clone(),
                ended: Vec::new(),
            }),
            _ => Reply::Done { clock },
        };
        orders.push(order);
        let mut out = Effects::default();
        test.owner.on_reply(call, now, reply, now, &mut out);
    }
    orders
}

/// An endpoint carries out a late start of a former run, while its task waits here for its next run. The task must not start before
/// the former run has ended.
#[test]
fn tasks_with_an_unknown_run_on_an_endpoint_do_not_start() {
    let mut test = TestOwner::new(1);
    let entry = contact("entry");
    let mut out = Effects::default();
    let spare = Listing {
        id: "w-2".parse().unwrap(),
        address: "w-2:80".to_owned(),
        ..listing(1)
    };
    test.owner
        .update_endpoints(&[listing(1), spare], START, &mut out);
    let now = START + Span::millis(10);
    answer_poll(&mut test, Vec::new(), Life::default(), now);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    // Both endpoints are polled, and list the run; it's enough that one of them does.
    let now = START + Span::seconds(6);
    answer_poll(&mut test, vec![listed(task, Run(1))], Life::default(), now);
    test.owner.mark_entry_alive(&entry.name);
    test.owner
        .accept(&entry, batch(1, vec![0, 1]), now, &mut out);
    let mut out = Effects::default();
    let polls = polls_at(&mut test, now + Span::millis(60), &mut out);
    // One endpoint is free again, and the other still lists the run.
    reply_to_poll(&mut test, polls[0], Vec::new(), now + Span::millis(61));
    let run = vec![listed(task, Run(1))];
    reply_to_poll(&mut test, polls[1], run, now + Span::millis(61));
    let mut out = Effects::default();
    confirm_entries(&mut test.owner, now + Span::millis(80));
    test.owner.process_due(now + Span::millis(80), &mut out);
    let is_start_of = |output: &Output, index: u32| matches!(output, Output::Call { order: Order::Start { task, .. }, .. } if task.index == index);
    let started = |index| out.outputs.iter().any(|output| is_start_of(output, index));
    assert!(!started(0), "the task started beside its former run");
    assert!(started(1), "a task without a former run didn't start");
}

/// Processes due work and returns the calls of the polls that are sent.
fn polls_at(test: &mut TestOwner, now: Time, out: &mut Effects) -> Vec<CallId> {
    confirm_entries(&mut test.owner, now);
    test.owner.process_due(now, out);
    let poll = |output: &Output| match output {
        Output::Call {
            call,
            order: Order::Poll { .. },
            ..
        } => Some(*call),
        _ => None,
    };
    out.outputs.iter().filter_map(poll).collect()
}

/// Answers a poll with the given runs.
fn reply_to_poll(test: &mut TestOwner, call: CallId, running: Vec<Running>, now: Time) {
    let reply = Reply::Looked(Lists {
        clock: now.0 / 1_000,
        running,
        ..Lists::default()
    });
    test.owner
        .on_reply(call, now, reply, now, &mut Effects::default());
}

/// A restarted endpoint carries out a late start of a task's former run, and doesn't list the present one. The task must not start
/// elsewhere before the former run has ended.
#[test]
fn run_whose_former_run_is_listed_is_not_given_up() {
    let mut state = State::new(listing(4), Token(5), START);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let poll = |state: &mut State, n: u64, running: Vec<Running>, life: Life| {
        let now = START + Span::millis(200 * n);
        state.poll(CallId(n), now).unwrap();
        let lists = Lists {
            clock: now.0 / 1_000,
            life,
            running,
            ..Lists::default()
        };
        let (events, _) = state.on_poll_answer(CallId(n), now, lists, now);
        events
    };
    poll(&mut state, 1, Vec::new(), Life(1));
    let now = START + Span::millis(210);
    let mut execution = Execution::new(Handle(1), Run(2), listing(1).capacity, Span::seconds(3));
    execution.license_end = now + LICENSE;
    state.start(task, execution, String::new(), now).unwrap();
    let former = vec![listed(task, Run(1))];
    assert_eq!(poll(&mut state, 2, former.clone(), Life(2)), Vec::new());
    assert_eq!(poll(&mut state, 3, former, Life(2)), Vec::new());
    assert_eq!(poll(&mut state, 4, Vec::new(), Life(2)).len(), 1);
}

/// A rack is handed over to an instance that doesn't list one of its endpoints yet. The task of a run there must neither start nor move
/// to another rack before the endpoint has answered without listing the run.
#[test]
fn task_of_a_run_on_an_endpoint_that_is_not_listed_yet_stays() {
    let (mut test, entry, next) = TestOwner::with_batch(vec![0]);
    test.running = Some(Vec::new());
    assert_eq!(starts(&test.process_due(START)), 1);
    let now = START + Span::millis(20);
    let mut out = Effects::default();
    let handover = test
        .owner
        .hand_over(test.rack, &next, now, &mut out)
        .unwrap();
    let mut taker = Owner::new(&next.name);
    taker.mark_entry_alive(&entry.name);
    let token = Token::new(Epoch(2), 2);
    taker.take_over(handover, token, &[], now, &mut out);
    let spare = Listing {
        id: "w-2".parse().unwrap(),
        address: "w-2:80".to_owned(),
        ..listing(1)
    };
    taker.update_endpoints(&[listing(1), spare], now, &mut out);
    confirm_entries(&mut taker, now);
    taker.on_move_announced(&entry.name, 1, 0);
    let later = now + Span::millis(20);
    let mut out = Effects::default();
    taker.process_due(later, &mut out);
    let polls = out.outputs.iter().filter_map(|output| match output {
        Output::Call { call, endpoint, .. } => Some((endpoint.as_str().to_owned(), *call)),
        _ => None,
    });
    let polls: std::collections::HashMap<String, CallId> = polls.collect();
    let answer = |running| {
        Reply::Looked(Lists {
            clock: later.0 / 1_000,
            running,
            ..Lists::default()
        })
    };
    let mut out = Effects::default();
    taker.on_reply(polls["w-2"], later, answer(Vec::new()), later, &mut out);
    let other = RackId::of("cells", "a", "other");
    let room = vec![listing(4).capacity];
    let is_start = |output: &Output| {
        let Output::Call { order, .. } = output else {
            return false;
        };
        matches!(order, Order::Start { .. })
    };
    let check = |taker: &mut Owner, at: Time| {
        let mut out = Effects::default();
        confirm_entries(taker, at);
        taker.process_due(at, &mut out);
        taker.reassign_waiting(test.rack, other, room.clone(), at, &mut out);
        let is_return = |message: &Message| matches!(message, Message::Returned { .. });
        let returned = out.messages.iter().any(|(_, message)| is_return(message));
        (out.outputs.iter().any(is_start), returned)
    };
    assert_eq!(check(&mut taker, later + Span::millis(20)), (false, false));
    let run = vec![listed(task_of(1, 0), Run(1))];
    let at = later + Span::millis(30);
    taker.on_reply(polls["w-1"], at, answer(run), at, &mut out);
    assert_eq!(check(&mut taker, at + Span::millis(20)), (false, false));
}

/// An endpoint that refuses connections does so immediately. Without backoff it would be polled thousands of times a
/// second.
#[test]
fn failed_polls_back_off() {
    let mut state = State::new(listing(4), Token(5), START);
    state.poll(CallId(1), START).unwrap();
    let lists = Lists {
        clock: 7,
        ..Lists::default()
    };
    state.on_poll_answer(CallId(1), START, lists, START);
    assert_eq!(state.standing, Standing::Open);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let mut execution =
        Execution::new(Handle(1), Run::FIRST, listing(1).capacity, Span::millis(60));
    execution.license_end = START + LICENSE;
    state.start(task, execution, String::new(), START).unwrap();
    let mut polls = 0;
    for n in 0..100 {
        let now = START + Span::millis(n);
        if state.next_poll() <= now && state.poll(CallId(n + 2), now).is_some() {
            polls += 1;
            state.on_unanswered(&Reply::Silent, now);
            state.on_poll_unanswered(CallId(n + 2), now);
        }
    }
    assert!(polls <= 4, "{polls} polls in 100 ms");
}

/// A batch may stay in a buffer while its entry declares the owner lost and places the tasks elsewhere. They would run
/// twice if the owner didn't wait for the entry's heartbeat.
#[test]
fn tasks_of_silent_entries_do_not_start() {
    let mut test = TestOwner::new(4);
    let entry = contact("entry");
    let mut out = Effects::default();
    test.owner
        .accept(&entry, batch(1, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 0);
    test.owner.mark_entry_alive(&entry.name);
    assert_eq!(starts(&test.process_due(START)), 2);
}

/// One task of a batch is done, and the other is returned for another rack. Without a report of the first, the caller
/// would wait until its deadline.
#[test]
fn finished_part_of_a_batch_is_reported() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    test.owner
        .accept(&own, batch(1, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let mut out = Effects::default();
    test.owner.process_due(START + Span::millis(130), &mut out);
    let poll = out.outputs.iter().find_map(|output| match output {
        Output::Call {
            call,
            order: Order::Poll { .. },
            ..
        } => Some(*call),
        _ => None,
    });
    let ended = Ended {
        serial: 1,
        task: Name::Known(task),
        run: Run(1),
        end: End::Done,
    };
    let now = START + Span::millis(140);
    let reply = Reply::Looked(Lists {
        clock: now.0 / 1_000,
        running: Vec::new(),
        ended: vec![ended],
        ..Lists::default()
    });
    let mut out = Effects::default();
    test.owner
        .on_reply(poll.unwrap(), now, reply, now, &mut out);
    let to = RackId::of("cells", "a", "other");
    let room = Resources {
        cpu: 4_000,
        memory: 100,
        gpu: 0,
    };
    test.owner
        .reassign_waiting(test.rack, to, vec![room], START, &mut out);
    let is_return =
        |message: &Message| matches!(message, Message::Returned { tasks, .. } if tasks == &[1]);
    assert!(out.messages.iter().any(|(_, message)| is_return(message)));
    let is_report = |message: &Message| {
        let Message::Report { outcome, .. } = message else {
            return false;
        };
        *outcome == Outcome::Done
    };
    assert!(out.messages.iter().any(|(_, message)| is_report(message)));
}

/// An entry cancels a batch while its rack is in transit between owners. Neither owner may report that nothing was
/// started, since a task runs, and the new owner must stop that task.
#[test]
fn cancelled_batch_in_transit_is_reported_unknown() {
    let (mut test, entry, next) = TestOwner::with_batch(vec![0]);
    let mut out = Effects::default();
    assert_eq!(starts(&test.process_due(START)), 1);
    let handover = test.owner.hand_over(test.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    for owner in [&mut test.owner, &mut receiver] {
        let mut out = Effects::default();
        owner.cancel(&entry, 1, START, &mut out);
        let [(to, Message::Unknown(serials))] = &out.messages[..] else {
            panic!("{:?}", out.messages);
        };
        assert_eq!((to, &serials[..]), (&entry, &[1][..]));
    }
    let mut out = Effects::default();
    let token = Token::new(Epoch(2), 2);
    receiver.take_over(handover.unwrap(), token, &[listing(1)], START, &mut out);
    let is_stop = |output: &Output| {
        let Output::Call { order, .. } = output else {
            return false;
        };
        matches!(order, Order::Stop { .. })
    };
    assert!(out.outputs.iter().any(is_stop), "{:?}", out.outputs);
    assert!(receiver.is_idle());
}

/// A new owner drops a batch of an entry that began a new session. It must report the tasks that are done, or they
/// would run again.
#[test]
fn dropped_batch_reports_finished_tasks() {
    let (mut test, entry, next) = TestOwner::with_batch(vec![1]);
    let mut out = Effects::default();
    let handover = test.owner.hand_over(test.rack, &next, START, &mut out);
    let mut handover = handover.unwrap();
    handover.batches[0].done = vec![0];
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    receiver.drop_entry(&entry.name, &mut out);
    let token = Token::new(Epoch(2), 2);
    let mut out = Effects::default();
    receiver.take_over(handover, token, &[listing(1)], START, &mut out);
    let is_report = |(_, message): &(Contact, Message)| matches!(message, Message::Report { done, .. } if done == &[0]);
    assert!(out.messages.iter().any(is_report), "{:?}", out.messages);
}

/// A task is returned, then the rack is handed over, and the other task of the batch ends. A report that names both
/// would count the returned one as done.
#[test]
fn report_after_a_handover_names_only_ended_tasks() {
    let (mut test, entry, next) = TestOwner::with_batch(vec![0, 1]);
    let mut out = Effects::default();
    assert_eq!(starts(&test.process_due(START)), 1);
    let room = listing(4).capacity;
    let elsewhere = RackId::of("cells", "a", "other");
    test.owner
        .reassign_waiting(test.rack, elsewhere, vec![room], START, &mut out);
    let handover = test.owner.hand_over(test.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    let token = Token::new(Epoch(2), 2);
    receiver.take_over(handover.unwrap(), token, &[listing(1)], START, &mut out);
    let mut out = Effects::default();
    receiver.process_due(START, &mut out);
    let poll = out.outputs.iter().find_map(|output| match output {
        Output::Call { call, .. } => Some(*call),
        _ => None,
    });
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let ended = Ended {
        serial: 1,
        task: Name::Known(task),
        run: Run(1),
        end: End::Done,
    };
    let reply = Reply::Looked(Lists {
        clock: START.0 / 1_000,
        running: Vec::new(),
        ended: vec![ended],
        ..Lists::default()
    });
    let mut out = Effects::default();
    receiver.on_reply(poll.unwrap(), START, reply, START, &mut out);
    let reported = out.messages.iter().find_map(|(_, message)| match message {
        Message::Report { outcome, done, .. } => Some((*outcome, done.clone())),
        _ => None,
    });
    assert_eq!(reported, Some((Outcome::Done, vec![0])));
}

/// While an instance is suspended for three seconds, others claim its racks. After it resumes it must drop them, or it
/// would send orders for racks that others own.
#[test]
fn resumed_instance_drops_its_racks() {
    let identity = Identity {
        contact: contact("own"),
        centre: "a".to_owned(),
        incarnation: 1,
        share: 250,
        epoch: Epoch(1),
    };
    let mut dispatcher = Dispatcher::new(identity, START);
    let roster = Roster {
        version: 1,
        endpoints: vec![listing(1)],
    };
    dispatcher.step(START, Input::RosterListed(roster, Vec::new()));
    let mut now = START;
    for _ in 0..100 {
        now = now + Span::millis(10);
        dispatcher.step(now, Input::Tick);
    }
    assert_eq!(dispatcher.stats().racks, 1);
    now = now + Span::seconds(3);
    let outputs = dispatcher.step(now, Input::Tick);
    assert_eq!(dispatcher.stats().racks, 0);
    assert!(!outputs.iter().any(|o| matches!(o, Output::Call { .. })));
}

/// A rack that becomes full or has space again must be reported at once. Other instances would queue tasks at the full
/// rack, or leave the free one idle.
#[test]
fn changes_of_free_space_are_reported_at_once() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.take_room_updates(true, START);
    assert!(!test.owner.has_spare_cpu_changes(START));
    test.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    assert!(
        test.owner.has_spare_cpu_changes(START),
        "the rack is full, but isn't reported"
    );
    assert!(test.owner.take_room_updates(false, START)[0].free[0].cpu == 0);
    assert!(
        !test.owner.has_spare_cpu_changes(START),
        "an update is reported twice"
    );
    let mut out = Effects::default();
    test.owner.cancel(&own, 1, START, &mut out);
    let stopped = START + Span::millis(1);
    test.process_due(stopped);
    for output in out.outputs {
        let Output::Call {
            call,
            order: Order::Stop { .. },
            ..
        } = output
        else {
            continue;
        };
        let reply = Reply::Done {
            clock: stopped.0 / 1_000,
        };
        test.owner
            .on_reply(call, stopped, reply, stopped, &mut Effects::default());
    }
    let later = stopped + Span::millis(130);
    test.process_due(later);
    assert!(
        test.owner.has_spare_cpu_changes(later),
        "the rack has space again, but isn't reported"
    );
}

/// A rack whose only queued task is too large for its free room must still ask for smaller tasks of other racks, or the
/// room stays unused.
#[test]
fn room_too_small_for_queued_tasks_is_offered() {
    let mut test = TestOwner::new(4);
    let own = contact("own");
    let mut out = Effects::default();
    let batch_of = |serial: u64, cpu: u64| Batch {
        need: Resources {
            cpu,
            memory: 1,
            gpu: 0,
        },
        ..batch(serial, vec![0])
    };
    test.owner.accept(&own, batch_of(1, 2_500), START, &mut out);
    test.owner.accept(&own, batch_of(2, 3_000), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    let spacious = test.owner.racks_with_spare_cpu(START);
    assert_eq!(
        spacious.len(),
        1,
        "the rack doesn't ask for tasks of other racks"
    );
    assert_eq!(spacious[0].1[0].cpu, 1_500);
}

/// A pause of an endpoint ends without any event. A queued task must start within the review interval nevertheless.
#[test]
fn waiting_task_starts_when_a_pause_ends() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    let mut out = Effects::default();
    test.owner.process_due(START, &mut out);
    for output in out.outputs {
        if let Output::Call { call, .. } = output {
            let reply = Reply::Unwell;
            test.owner
                .on_reply(call, START, reply, START, &mut Effects::default());
        }
    }
    let pause_end = START + Span::millis(500);
    let mut at = START;
    let mut first = None;
    while first.is_none() && at < pause_end + Span::millis(50) {
        at = at + Span::millis(1);
        first = (starts(&test.process_due(at)) > 0).then_some(at);
    }
    let first = first.expect("the task started");
    assert!(first >= pause_end && first <= pause_end + Span::millis(10));
}

/// A task fails on one of two endpoints, and the other one drains. It must run again where it failed, or it would wait
/// until its caller's deadline.
#[test]
fn failed_task_runs_again_on_the_only_open_endpoint() {
    let mut test = TestOwner::new(4);
    let own = contact("own");
    let leaving = Listing {
        id: "w-2".parse().unwrap(),
        draining: true,
        ..listing(4)
    };
    let mut out = Effects::default();
    test.owner
        .update_endpoints(&[listing(4), leaving], START, &mut out);
    test.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    let failed = Ended {
        serial: 1,
        task: Name::Known(TaskId {
            job: JobId(1),
            step: 0,
            index: 0,
        }),
        run: Run::FIRST,
        end: End::Failed,
    };
    let now = START + Span::millis(130);
    let mut out = Effects::default();
    test.owner.process_due(now, &mut out);
    for output in out.outputs {
        if let Output::Call { call, endpoint, .. } = output {
            let ended = (endpoint == listing(4).id).then(|| failed.clone());
            let lists = Lists {
                clock: now.0 / 1_000,
                ended: ended.into_iter().collect(),
                ..Lists::default()
            };
            let reply = Reply::Looked(lists);
            test.owner
                .on_reply(call, now, reply, now, &mut Effects::default());
        }
    }
    assert_eq!(starts(&test.process_due(now)), 1);
}

/// Owners must announce their backlog by priority, and what has become late apart from the rest: entries would otherwise refuse jobs
/// for work that goes behind them.
#[test]
fn backlog_is_announced_by_priority() {
    let mut test = TestOwner::new(1);
    let mut out = Effects::default();
    let own = contact("own");
    for (serial, priority) in [(1, 0), (2, 0), (3, 2)] {
        let batch = Batch {
            priority,
            ..batch(serial, vec![0])
        };
        test.owner.accept(&own, batch, START, &mut out);
    }
    let waiting = |test: &TestOwner, now: Time| {
        let loads = test.owner.loads(&test.owner.vacancies(now), now);
        loads
            .into_iter()
            .map(|load| load.waiting)
            .collect::<Vec<_>>()
    };
    let announced = vec![(Class::new(0, false), 120), (Class::new(2, false), 60)];
    assert_eq!(waiting(&test, START), [announced]);
    // The tasks become late. The endpoint lists no runs, so that none of them stays started.
    let later = START + Span::millis(1_100);
    test.process_due(START);
    test.process_due(later);
    let classes = waiting(&test, later).concat();
    let classes: Vec<Class> = classes.into_iter().map(|(class, _)| class).collect();
    assert_eq!(classes, [Class::new(0, true), Class::new(2, true)]);
}

/// The last task of a job, other tasks of which have started elsewhere, is late. It must go ahead of later jobs of its priority: behind
/// them it would wait until its job is given up. With one priority only, the order must stay as it is.
#[test]
fn rest_of_a_started_job_goes_first() {
    for (several, first) in [(true, 1), (false, 2)] {
        let mut test = TestOwner::new(1);
        let route = |priority: u32| Route {
            priority,
            ..Route::default()
        };
        let routes: Vec<Route> = (0..1 + u32::from(several)).map(route).collect();
        test.owner.set_queues(&routes);
        let mut out = Effects::default();
        let own = contact("own");
        let rest = Batch {
            slack: None,
            useful: Span::seconds(3),
            ..batch(1, vec![0])
        };
        test.owner.accept(&own, rest, START, &mut out);
        test.owner.accept(&own, batch(2, vec![0]), START, &mut out);
        let orders = test.process_due(START);
        let started = orders.iter().find_map(|order| match order {
            Order::Start { task, .. } => Some(task.job),
            _ => None,
        });
        assert_eq!(started, Some(JobId(first)), "several priorities: {several}");
    }
}
/// Returns an owner of ten slots where urgent tasks were queued that use four of them on average, and were cancelled.
fn owner_with_urgent_demand() -> TestOwner {
    let mut test = TestOwner::new(10);
    test.running = Some(Vec::new());
    let own = contact("own");
    let urgent = Batch {
        estimate: Span::millis(200),
        ..batch(1, (0..20).collect())
    };
    let mut out = Effects::default();
    test.owner.accept(&own, urgent, START, &mut out);
    test.owner.cancel(&own, 1, START, &mut out);
    test
}

/// Returns a batch of ten long tasks of low priority that must start within two seconds.
fn long_batch(serial: u64, priority: u32) -> Batch {
    Batch {
        priority,
        estimate: Span::millis(900),
        slack: Some(Span::seconds(2)),
        useful: Span::seconds(4),
        time_left: Span::seconds(6),
        ..batch(serial, (0..10).collect())
    }
}

/// Long tasks must leave room where urgent ones arrive, or the next urgent one would wait for the end of a long one. Urgent tasks use that
/// room at once.
#[test]
fn long_tasks_leave_room_for_urgent_ones() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.accept(&own, long_batch(2, 2), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    assert_eq!(test.owner.headroom_counts(START), (2, 2));
    test.owner
        .accept(&own, batch(3, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 2);
}

/// Tasks that are held back must start when the urgent demand has ended, or the rack would stand idle.
#[test]
fn headroom_ends_with_the_urgent_demand() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let patient = Batch {
        slack: Some(Span::seconds(60)),
        time_left: Span::seconds(90),
        useful: Span::seconds(90),
        ..long_batch(2, 2)
    };
    let mut out = Effects::default();
    test.owner.accept(&own, patient, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    let mut started = 8;
    for ms in (10..2_500).step_by(10) {
        started += starts(&test.process_due(START + Span::millis(ms)));
    }
    assert_eq!(started, 10);
}

/// Under lasting urgent demand, a task that is held back must start while it can still be on time, or it would starve.
#[test]
fn held_back_tasks_start_on_time_under_lasting_demand() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.accept(&own, long_batch(2, 2), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    let mut last_start = START;
    for n in 1..200 {
        let now = START + Span::millis(10 * n);
        let urgent = Batch {
            estimate: Span::millis(40),
            ..batch(10 + n, vec![0])
        };
        test.owner.accept(&own, urgent, now, &mut out);
        test.owner.cancel(&own, 10 + n, now, &mut out);
        if starts(&test.process_due(now)) > 0 {
            last_start = now;
        }
    }
    assert_eq!(test.owner.headroom_counts(START).0, 0);
    let waited = last_start.since(START);
    assert!(waited > Span::seconds(1) && waited < Span::seconds(2));
}

/// Where all tasks have one priority nothing may be held back, and no change may be announced early.
#[test]
fn one_priority_keeps_no_room() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.take_room_updates(true, START);
    test.owner.accept(&own, long_batch(2, 0), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 10);
    assert_eq!(test.owner.headroom_counts(START), (0, 0));
    assert!(!test.owner.has_scarcity_changes(START));
}

/// An owner that takes over a rack doesn't know its demand. It must start tasks that the former owner held back, since it can't tell
/// whether the demand lasts, and keep room again once it has seen urgent tasks.
#[test]
fn next_owner_keeps_no_room_until_it_knows_the_demand() {
    let mut test = owner_with_urgent_demand();
    let (own, next) = (contact("own"), contact("next"));
    let mut out = Effects::default();
    test.owner.accept(&own, long_batch(2, 2), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    let handover = test.owner.hand_over(test.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&own.name);
    let token = Token::new(Epoch(2), 2);
    let mut out = Effects::default();
    receiver.take_over(handover.unwrap(), token, &[listing(10)], START, &mut out);
    for serial in 1..=2 {
        receiver.on_move_announced(&own.name, serial, 1);
    }
    test.owner = receiver;
    // The first poll opens the endpoint.
    test.process_due(START);
    let held_back = starts(&test.process_due(START));
    assert_eq!((held_back, test.owner.headroom_counts(START)), (2, (0, 0)));
    let urgent = Batch {
        estimate: Span::millis(200),
        ..batch(3, (0..20).collect())
    };
    test.owner.accept(&own, urgent, START, &mut out);
    assert_eq!(test.owner.headroom_counts(START).1, 2);
}

/// A rack with spare room asks another one for tasks. Tasks that the other one holds back would be held back there too, and would move to
/// and fro: they may move only if enough room is left.
#[test]
fn held_back_tasks_move_only_where_headroom_is_left() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.accept(&own, long_batch(2, 2), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    let to = RackId::of("cells", "a", "other");
    let count = |out: &Effects| {
        let moved = out.messages.iter().map(|(_, message)| match message {
            Message::Returned { tasks, .. } => tasks.len(),
            _ => 0,
        });
        moved.sum::<usize>()
    };
    for (slots, moved) in [(2, 0), (3, 1)] {
        let mut out = Effects::default();
        let room = listing(slots).capacity;
        test.owner
            .reassign_waiting(test.rack, to, vec![room], START, &mut out);
        assert_eq!(count(&out), moved, "{slots} slots");
    }
}

/// Entries must learn at once that urgent tasks have run out of room, or they would send more of them to the full rack.
#[test]
fn scarce_room_for_urgent_tasks_is_announced_once() {
    let mut test = owner_with_urgent_demand();
    let own = contact("own");
    let mut out = Effects::default();
    test.owner.accept(&own, long_batch(2, 2), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 8);
    test.owner.take_room_updates(true, START);
    assert!(!test.owner.has_scarcity_changes(START));
    test.owner
        .accept(&own, batch(3, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 2);
    assert!(test.owner.has_scarcity_changes(START));
    assert_eq!(test.owner.take_scarcity_updates(START).len(), 1);
    assert!(!test.owner.has_scarcity_changes(START));
}

/// Returns a batch of a stored job.
fn stored_batch(serial: u64, tasks: Vec<u32>) -> Batch {
    Batch {
        stored: true,
        ..batch(serial, tasks)
    }
}

/// Lets the endpoint of an owner list the ends of tasks' first runs, and returns the owner's messages.
fn list_done(owner: &mut Owner, tasks: &[TaskId], now: Time) -> Vec<(Contact, Message)> {
    let mut out = Effects::default();
    owner.process_due(now, &mut out);
    let poll = out.outputs.iter().find_map(|output| match output {
        Output::Call {
            call,
            order: Order::Poll { .. },
            ..
        } => Some(*call),
        _ => None,
    });
    let ended = tasks.iter().zip(1..).map(|(task, serial)| Ended {
        serial,
        task: Name::Known(*task),
        run: Run(1),
        end: End::Done,
    });
    let reply = Reply::Looked(Lists {
        clock: now.0 / 1_000,
        ended: ended.collect(),
        ..Lists::default()
    });
    let mut out = Effects::default();
    owner.on_reply(poll.unwrap(), now, reply, now, &mut out);
    out.messages
}

fn stops(out: &Effects) -> usize {
    let is_stop = |output: &&Output| {
        let Output::Call { order, .. } = output else {
            return false;
        };
        matches!(order, Order::Stop { .. })
    };
    out.outputs.iter().filter(is_stop).count()
}

/// An idle endpoint has an end that it may forget once its leases are over. It must be asked to then: it gets no task before.
#[test]
fn endpoint_with_a_late_end_returns_once_its_leases_are_over() {
    let mut state = State::new(listing(1), Token::new(Epoch(1), 1), START);
    let lists = Lists {
        clock: 1,
        ended: vec![Ended {
            serial: 1,
            task: Name::Known(task_of(1, 0)),
            run: Run(1),
            end: End::Done,
        }],
        ..Lists::default()
    };
    let mut forgotten_at = None;
    for tick in 0..500 {
        let now = START + Span::millis(10).times(tick);
        let call = CallId(tick);
        match state.poll(call, now) {
            Some(Order::Poll {
                acknowledged: 1, ..
            }) => {
                forgotten_at = Some(now);
                break;
            }
            Some(_) => drop(state.on_poll_answer(call, now, lists.clone(), now)),
            None => {}
        }
        if tick == 5 {
            state.on_late_end_stored(Life::default(), 1);
        }
    }
    assert!(forgotten_at.is_some_and(|at| at <= START + Span::millis(1_100)));
}

/// An entry withdraws a queued task that was done by a run elsewhere. The task must not start when there is room.
#[test]
fn withdrawn_task_is_not_started() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0, 1]);
    test.owner.accept(&own, batch, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    test.owner.withdraw(&own.name, 1, &[1], &mut out);
    assert_eq!(stops(&out), 0);
    list_done(&mut test.owner, &[task_of(1, 0)], START + Span::millis(60));
    assert_eq!(starts(&test.process_due(START + Span::millis(130))), 0);
    assert!(test.owner.is_idle());
}

/// An owner hears from an endpoint that a task which it has queued was done by a run that it doesn't know. The task must not start, also
/// if no message of the entry arrives.
#[test]
fn queued_task_that_an_endpoint_lists_as_done_is_not_started() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0, 1]);
    test.owner.accept(&own, batch, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    let ended = [task_of(1, 0), task_of(1, 1)];
    list_done(&mut test.owner, &ended, START + Span::millis(60));
    for tick in 7..40 {
        let orders = test.process_due(START + Span::millis(10).times(tick));
        let is_start =
            |order: &Order| matches!(order, Order::Start { task, .. } if task.index == 1);
        assert!(!orders.iter().any(is_start));
    }
    assert!(test.owner.is_idle());
}

/// An entry withdraws a task that has a second run. That run must be stopped, and not repeated when it's lost.
#[test]
fn run_of_a_withdrawn_task_is_stopped_and_not_repeated() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0]);
    test.owner.accept(&own, batch, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    test.owner.withdraw(&own.name, 1, &[0], &mut out);
    assert_eq!(stops(&out), 1);
    for tick in 1..40 {
        let now = START + Span::millis(10).times(tick);
        assert_eq!(starts(&test.process_due(now)), 0);
    }
}

/// A batch arrives with a task whose end this owner has heard, and which isn't stored yet. Its entry didn't know, and the task must not
/// start.
#[test]
fn task_whose_end_is_being_stored_is_not_started() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    list_done(
        &mut test.owner,
        &[task_of(1, 0)],
        START + Span::millis(5_100),
    );
    let now = START + Span::millis(5_120);
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0]);
    test.owner.accept(&own, batch, now, &mut out);
    assert_eq!(starts(&test.process_due(now)), 0);
    assert!(test.owner.is_idle());
}

/// A rack arrives with a run of a task whose end its new owner has heard from another endpoint. The run must be stopped.
#[test]
fn run_that_arrives_after_the_end_of_its_task_is_stopped() {
    let mut test = TestOwner::new(1);
    let (own, next) = (contact("own"), contact("next"));
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0]);
    test.owner.accept(&own, batch, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    let handover = test.owner.hand_over(test.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    let other = Listing {
        id: "w-2".parse().unwrap(),
        rack: "other".to_owned(),
        ..listing(1)
    };
    let token = Token::new(Epoch(2), 2);
    receiver.claim(other.rack_id(), token, &mut out);
    let listings = [listing(1), other];
    receiver.update_endpoints(&listings, START, &mut out);
    list_done(&mut receiver, &[task_of(1, 0)], START);
    let mut out = Effects::default();
    receiver.take_over(handover.unwrap(), token, &listings, START, &mut out);
    assert_eq!(stops(&out), 1);
    assert!(receiver.is_idle());
}

/// One task of a stored batch is done, and its end is reported to its coordinator; the other is returned. A report that the batch is done
/// would name neither, and its entry would place the first one again before its end is stored.
#[test]
fn ended_part_of_a_stored_batch_is_not_reported_as_missing() {
    let mut test = TestOwner::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    let batch = stored_batch(1, vec![0, 1]);
    test.owner.accept(&own, batch, START, &mut out);
    assert_eq!(starts(&test.process_due(START)), 1);
    list_done(&mut test.owner, &[task_of(1, 0)], START + Span::millis(60));
    let to = RackId::of("cells", "a", "other");
    let room = listing(4).capacity;
    let mut out = Effects::default();
    test.owner
        .reassign_waiting(test.rack, to, vec![room], START, &mut out);
    let is_return =
        |message: &Message| matches!(message, Message::Returned { tasks, .. } if tasks == &[1]);
    assert!(out.messages.iter().any(|(_, message)| is_return(message)));
    let is_report = |message: &Message| matches!(message, Message::Report { .. });
    assert!(!out.messages.iter().any(|(_, message)| is_report(message)));
    assert!(test.owner.is_idle());
}
