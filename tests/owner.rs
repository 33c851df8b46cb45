//! The owner of racks and its endpoints by themselves: safeguards that a whole world seldom puts to the test.

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
        queue::Handle,
        task::Resources,
        Dispatcher,
        Identity, //
    },
    prelude::*,
};

const START: Time = Time(10_000_000);

fn contact(name: &str) -> Contact {
    Contact {
        name: name.parse().unwrap(),
        address: format!("{name}:1"),
    }
}

fn listing(slots: u64) -> Listing {
    Listing {
        id: "w-1".parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: "w-1:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: vec!["a".to_owned(), "r".to_owned()],
        capacity: Resources {
            cpu: slots * 1_000,
            memory: 1_000,
            gpu: 0,
        },
        draining: false,
    }
}

fn batch(serial: u64, tasks: Vec<u32>) -> Batch {
    Batch {
        serial,
        rack: listing(1).rack_id(),
        job: JobId(serial),
        step: 0,
        tasks,
        moves: 0,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            gpu: 0,
        },
        estimate: Span::millis(60),
        label: None,
        per_endpoint: None,
        spec: String::new(),
        attempts: 2,
        priority: 0,
        work: 60,
        tied: false,
        stored: false,
        slack: Some(Span::seconds(1)),
        useful: Span::seconds(2),
        time_left: Span::seconds(3),
    }
}

/// An owner of one rack with one endpoint, and the calls that it wants made.
struct Bench {
    owner: Owner,
    rack: RackId,
}

impl Bench {
    fn new(slots: u64) -> Self {
        let own = contact("own");
        let mut owner = Owner::new(&own.name);
        let mut out = Effects::default();
        let listing = listing(slots);
        let rack = listing.rack_id();
        owner.claim(rack, Token::new(Epoch(1), 1), &mut out);
        owner.update_endpoints(&[listing], START, &mut out);
        let mut bench = Self { owner, rack };
        bench.work(START);
        bench
    }

    /// An owner of one slot with a batch of an entry that it hears, and the contacts of that entry and of its next owner.
    fn with_batch(tasks: Vec<u32>) -> (Self, Contact, Contact) {
        let mut bench = Self::new(1);
        let (entry, next) = (contact("entry"), contact("next"));
        let mut out = Effects::default();
        bench.owner.mark_entry_alive(&entry.name);
        bench.owner.accept(&entry, batch(1, tasks), START, &mut out);
        (bench, entry, next)
    }

    /// Lets the owner work, and answers every look that leaves with what `running` lists; returns all orders.
    fn work(&mut self, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut out = Effects::default();
        self.owner.process_due(now, &mut out);
        for output in out.outputs {
            let Output::Call { call, order, .. } = output else {
                continue;
            };
            let reply = match &order {
                Order::Look { .. } => Reply::Looked(Lists {
                    clock: now.0 / 1_000,
                    running: Vec::new(),
                    ended: Vec::new(),
                    ..Lists::default()
                }),
                _ => Reply::Done {
                    clock: now.0 / 1_000,
                },
            };
            orders.push(order);
            let mut out = Effects::default();
            self.owner.on_reply(call, now, reply, now, &mut out);
        }
        orders
    }
}

fn starts(orders: &[Order]) -> usize {
    let is_start = |order: &&Order| matches!(order, Order::Start { .. });
    orders.iter().filter(is_start).count()
}

/// A new owner finds a run on an endpoint that it doesn't know, left by a dead one. It must not extend the run's lease,
/// nor start anything there, until the run is gone: its caller comes again elsewhere soon.
#[test]
fn unknown_runs_are_cleared_first() {
    let mut state = State::claim(listing(4), Token(5), START);
    let order = state.look(CallId(1), START).unwrap();
    assert!(matches!(order, Order::Look { lease: None, .. }));
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
    let (_, unknown) = state.looked(CallId(1), START, lists, now);
    assert_eq!(unknown.len(), 1);
    assert!(!state.takes(now));
    let later = now + Span::millis(60);
    let order = state.look(CallId(2), later).unwrap();
    assert!(matches!(order, Order::Look { lease: None, .. }));
    state.looked(CallId(2), later, Lists::default(), later);
    assert_eq!(state.standing, Standing::Open);
    assert!(state.takes(later));
}

/// An endpoint refuses connections. The first look that fails may be its connection's fault and is made again at once; the
/// next ones leave time between them. Each is refused at once, so that they came thousands of times a second otherwise.
#[test]
fn failed_looks_leave_time_between_them() {
    let mut state = State::claim(listing(4), Token(5), START);
    state.look(CallId(1), START).unwrap();
    let lists = Lists {
        clock: 7,
        ..Lists::default()
    };
    state.looked(CallId(1), START, lists, START);
    assert_eq!(state.standing, Standing::Open);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let execution = Execution::new(Handle(1), Run::FIRST, listing(1).capacity, Span::millis(60));
    state.start(task, execution, String::new(), START).unwrap();
    let mut looks = 0;
    for n in 0..100 {
        let now = START + Span::millis(n);
        if state.next_look() <= now && state.look(CallId(n + 2), now).is_some() {
            looks += 1;
            state.unanswered(&Reply::Silent);
            state.silent(CallId(n + 2), now);
        }
    }
    assert!(looks <= 4, "{looks} looks in 100 ms");
}

/// A batch comes from an entry that the owner doesn't hear: the message may have lain in a buffer while the entry gave the
/// owner up and placed its tasks elsewhere. Nothing starts until the entry is heard.
#[test]
fn unheard_entries_get_no_start() {
    let mut bench = Bench::new(4);
    let entry = contact("entry");
    let mut out = Effects::default();
    bench
        .owner
        .accept(&entry, batch(1, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&bench.work(START)), 0);
    bench.owner.mark_entry_alive(&entry.name);
    assert_eq!(starts(&bench.work(START)), 2);
}

/// Of a batch one task has ended, and the other, which waits, is given to a rack that has room. The entry must be
/// told that what was kept is done: otherwise its caller waits until the batch is missed.
#[test]
fn kept_part_of_a_batch_is_told() {
    let mut bench = Bench::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    bench
        .owner
        .accept(&own, batch(1, vec![0, 1]), START, &mut out);
    assert_eq!(starts(&bench.work(START)), 1);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let mut out = Effects::default();
    bench.owner.process_due(START + Span::millis(130), &mut out);
    let look = out.outputs.iter().find_map(|output| match output {
        Output::Call {
            call,
            order: Order::Look { .. },
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
    bench
        .owner
        .on_reply(look.unwrap(), now, reply, now, &mut out);
    let to = RackId::of("cells", "a", "other");
    let room = Resources {
        cpu: 4_000,
        memory: 100,
        gpu: 0,
    };
    bench
        .owner
        .reassign_waiting(bench.rack, to, vec![room], &mut out);
    let returned = |l: &Message| matches!(l, Message::Returned { tasks, .. } if tasks == &[1]);
    assert!(out.messages.iter().any(|(_, message)| returned(message)));
    let done = |l: &Message| {
        let Message::Report { outcome, .. } = l else {
            return false;
        };
        *outcome == Outcome::Done
    };
    assert!(out.messages.iter().any(|(_, message)| done(message)));
}

/// A rack is on its way from one owner to the next when the entry of a batch there gives it up. Neither has it, and neither
/// may say that nothing of it was started: the entry told its caller that nothing was run, although a task had. The next
/// owner stops what comes of it; else the task would run on for nobody.
#[test]
fn batch_on_its_way_is_given_up_in_doubt() {
    let (mut bench, entry, next) = Bench::with_batch(vec![0]);
    let mut out = Effects::default();
    assert_eq!(starts(&bench.work(START)), 1);
    let handover = bench.owner.hand_over(bench.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    for owner in [&mut bench.owner, &mut receiver] {
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
    let stop = |output: &Output| {
        let Output::Call { order, .. } = output else {
            return false;
        };
        matches!(order, Order::Stop { .. })
    };
    assert!(out.outputs.iter().any(stop), "{:?}", out.outputs);
    assert!(receiver.is_idle());
}

/// A batch comes with a rack from an entry that has begun a new session with the next owner, and one of its tasks has ended.
/// The next owner drops it, and tells which task had ended: it would be run again.
#[test]
fn unwanted_batch_tells_what_had_ended() {
    let (mut bench, entry, next) = Bench::with_batch(vec![1]);
    let mut out = Effects::default();
    let handover = bench.owner.hand_over(bench.rack, &next, START, &mut out);
    let mut handover = handover.unwrap();
    handover.batches[0].done = vec![0];
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    receiver.drop_entry(&entry.name, &mut out);
    let token = Token::new(Epoch(2), 2);
    let mut out = Effects::default();
    receiver.take_over(handover, token, &[listing(1)], START, &mut out);
    let told = |(_, message): &(Contact, Message)| matches!(message, Message::Report { done, .. } if done == &[0]);
    assert!(out.messages.iter().any(told), "{:?}", out.messages);
}

/// A task that waits is sent back, the rack goes to another owner, and the other task of the batch ends there. The entry
/// may hear the next owner first: its report names the task that ended, and no other.
#[test]
fn report_after_a_handover_names_what_ended() {
    let (mut bench, entry, next) = Bench::with_batch(vec![0, 1]);
    let mut out = Effects::default();
    assert_eq!(starts(&bench.work(START)), 1);
    let room = listing(4).capacity;
    let elsewhere = RackId::of("cells", "a", "other");
    bench
        .owner
        .reassign_waiting(bench.rack, elsewhere, vec![room], &mut out);
    let handover = bench.owner.hand_over(bench.rack, &next, START, &mut out);
    let mut receiver = Owner::new(&next.name);
    receiver.mark_entry_alive(&entry.name);
    let token = Token::new(Epoch(2), 2);
    receiver.take_over(handover.unwrap(), token, &[listing(1)], START, &mut out);
    let mut out = Effects::default();
    receiver.process_due(START, &mut out);
    let look = out.outputs.iter().find_map(|output| match output {
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
    receiver.on_reply(look.unwrap(), START, reply, START, &mut out);
    let reported = out.messages.iter().find_map(|(_, message)| match message {
        Message::Report { outcome, done, .. } => Some((*outcome, done.clone())),
        _ => None,
    });
    assert_eq!(reported, Some((Outcome::Done, vec![0])));
}

/// An instance stands still for three seconds. Before it does anything else it takes its racks as lost: others own them
/// by now, and what waits in its buffers is old.
#[test]
fn pause_voids_racks() {
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
    dispatcher.step(START, Input::RosterListed(roster));
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

/// A rack fills up, and later has space again. Both are told to the others at once: until then they send tasks to wait there while
/// endpoints elsewhere have nothing to do, or leave its endpoints idle.
#[test]
fn racks_that_fill_up_are_told_at_once() {
    let mut bench = Bench::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    bench.owner.take_room_updates(true, START);
    assert!(!bench.owner.has_space_changes(START));
    bench.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    assert_eq!(starts(&bench.work(START)), 1);
    assert!(bench.owner.has_space_changes(START), "it has filled up");
    assert!(bench.owner.take_room_updates(false, START)[0].free[0].cpu == 0);
    assert!(!bench.owner.has_space_changes(START), "that is told");
    let mut out = Effects::default();
    bench.owner.cancel(&own, 1, START, &mut out);
    let stopped = START + Span::millis(1);
    bench.work(stopped);
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
        bench
            .owner
            .on_reply(call, stopped, reply, stopped, &mut Effects::default());
    }
    let later = stopped + Span::millis(130);
    bench.work(later);
    assert!(bench.owner.has_space_changes(later), "it has space again");
}

/// A wide task waits on a rack whose only endpoint has less room than that, and a narrow one elsewhere that would fit. The rack asks for it: while
/// it asked only where nothing waited, what its endpoints had left over in pieces lay idle.
#[test]
fn room_that_is_too_small_for_what_waits_is_offered() {
    let mut bench = Bench::new(4);
    let own = contact("own");
    let mut out = Effects::default();
    let wide = |serial: u64, cpu: u64| Batch {
        need: Resources {
            cpu,
            memory: 1,
            gpu: 0,
        },
        ..batch(serial, vec![0])
    };
    bench.owner.accept(&own, wide(1, 2_500), START, &mut out);
    bench.owner.accept(&own, wide(2, 3_000), START, &mut out);
    assert_eq!(starts(&bench.work(START)), 1);
    let spacious = bench.owner.racks_with_space(START);
    assert_eq!(spacious.len(), 1, "it asks for what others have waiting");
    assert_eq!(spacious[0].1[0].cpu, 1_500);
}

/// The only endpoint of a rack refuses a start as unwell, and rests for half a second. Nothing else happens that the owner hears of: the
/// task that waits starts within 10 ms of the rest's end all the same.
#[test]
fn waiting_task_starts_when_a_rest_is_over() {
    let mut bench = Bench::new(1);
    let own = contact("own");
    let mut out = Effects::default();
    bench.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    let mut out = Effects::default();
    bench.owner.process_due(START, &mut out);
    for output in out.outputs {
        if let Output::Call { call, .. } = output {
            let reply = Reply::Unwell;
            bench
                .owner
                .on_reply(call, START, reply, START, &mut Effects::default());
        }
    }
    let rest = START + Span::millis(500);
    let mut at = START;
    let mut first = None;
    while first.is_none() && at < rest + Span::millis(50) {
        at = at + Span::millis(1);
        first = (starts(&bench.work(at)) > 0).then_some(at);
    }
    let first = first.expect("the task starts");
    assert!(first >= rest && first <= rest + Span::millis(10));
}

/// A task fails on one of two endpoints, and the other leaves. It runs again where it failed: kept for an endpoint that may start
/// nothing, it would wait until its caller gives up.
#[test]
fn failed_task_runs_again_where_nothing_else_can_run_it() {
    let mut bench = Bench::new(4);
    let own = contact("own");
    let leaving = Listing {
        id: "w-2".parse().unwrap(),
        draining: true,
        ..listing(4)
    };
    let mut out = Effects::default();
    bench
        .owner
        .update_endpoints(&[listing(4), leaving], START, &mut out);
    bench.owner.accept(&own, batch(1, vec![0]), START, &mut out);
    assert_eq!(starts(&bench.work(START)), 1);
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
    bench.owner.process_due(now, &mut out);
    for output in out.outputs {
        if let Output::Call { call, endpoint, .. } = output {
            let ended = (endpoint == listing(4).id).then(|| failed.clone());
            let lists = Lists {
                clock: now.0 / 1_000,
                ended: ended.into_iter().collect(),
                ..Lists::default()
            };
            let reply = Reply::Looked(lists);
            bench
                .owner
                .on_reply(call, now, reply, now, &mut Effects::default());
        }
    }
    assert_eq!(starts(&bench.work(now)), 1);
}
