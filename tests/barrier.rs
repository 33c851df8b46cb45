//! Unit tests of starts that a later life of their endpoint may carry out, with a fixed order of events.

#[path = "owner/fixture.rs"]
mod fixture;

use poplarknot::{
    dispatch::{
        endpoint::{
            Event,
            Execution,
            Fate,
            Standing,
            State, //
        },
        id::{
            Epoch,
            Life,
            RackId,
            Run,
            TaskId,
            Token, //
        },
        message::{
            Batch,
            CallId,
            End,
            Ended,
            Listing,
            Lists,
            Name,
            Order,
            Output,
            Refusal,
            Reply,
            Running, //
        },
        owner::{
            Effects,
            Owner, //
        },
        queue::Handle, //
    },
    prelude::*, //
};

use self::fixture::{
    batch,
    confirm_entries,
    contact,
    listing,
    task_of,
    START, //
};

/// The life of an endpoint that doesn't restart.
const LIFE: Life = Life(1_000);

/// The token that is announced for the rack.
const TOKEN: Token = Token(1 << 20);

/// A poll that fails this long after the last answer makes its endpoint silent.
const SILENCE: Span = Span::millis(300);

fn clock(now: Time) -> u64 {
    now.0 / 1_000
}

fn lists(life: Life, running: &[(TaskId, Run)], now: Time) -> Lists {
    let running = running.iter().map(|(task, run)| Running {
        task: Name::Known(*task),
        run: *run,
        percent: None,
    });
    Lists {
        clock: clock(now),
        life,
        running: running.collect(),
        ended: Vec::new(),
    }
}

/// A poll that isn't answered yet.
struct Poll {
    call: CallId,
    sent: Time,
    token: Token,
    acknowledged: u64,
}

/// An owner's view of an endpoint of four slots, which has answered a poll.
struct View {
    state: State,
    last_call: u64,
}

impl View {
    fn new() -> Self {
        Self::of_life(LIFE)
    }

    fn of_life(life: Life) -> Self {
        let listing = Listing { life, ..listing(4) };
        let mut view = Self {
            state: State::new(listing, TOKEN, START),
            last_call: 0,
        };
        let poll = view.poll(START);
        view.answer(&poll, life, &[], START);
        view
    }

    fn poll(&mut self, now: Time) -> Poll {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let Some(Order::Poll {
            token,
            acknowledged,
            ..
        }) = self.state.poll(call, now)
        else {
            panic!("no poll is due");
        };
        Poll {
            call,
            sent: now,
            token,
            acknowledged,
        }
    }

    /// Answers a poll with the running runs, and returns the tasks of those that are given up.
    fn answer(
        &mut self,
        poll: &Poll,
        life: Life,
        running: &[(TaskId, Run)],
        now: Time,
    ) -> Vec<TaskId> {
        let lists = lists(life, running, now);
        let (events, _) = self.state.on_poll_answer(poll.call, poll.sent, lists, now);
        lost(&events)
    }

    /// Sends the start of a task's first run, and returns its token.
    fn start(&mut self, task: TaskId, now: Time) -> Token {
        let need = batch(1, vec![0]).need;
        let mut execution = Execution::new(Handle(1), Run::FIRST, need, Span::seconds(30));
        execution.license_end = START + Span::seconds(60);
        let order = self.state.start(task, execution, String::new(), now);
        order.unwrap().token()
    }

    fn confirm_start(&mut self, task: TaskId, now: Time) {
        self.state.on_started(&task, Run::FIRST, now, now);
    }

    /// Marks a start as sent twice, so that one copy of it stays unanswered.
    fn duplicate_start(&mut self, task: TaskId, now: Time) {
        let execution = self.state.executions.get_mut(&task).unwrap();
        execution.duplicate_possible = true;
        let order = self.state.start_order(task, Run::FIRST, String::new(), now);
        order.unwrap();
    }

    /// Lets a poll fail, after which the endpoint is silent.
    fn fall_silent(&mut self, now: Time) -> Time {
        let poll = self.poll(now);
        self.fail(&poll, now + SILENCE);
        assert_eq!(self.state.standing, Standing::Silent);
        now + SILENCE
    }

    fn fail(&mut self, poll: &Poll, now: Time) {
        self.state.on_unanswered(&Reply::Silent, now);
        self.state.on_poll_unanswered(poll.call, now);
    }

    /// Returns the next poll of an endpoint that didn't answer the last one.
    fn retry_poll(&mut self) -> Poll {
        self.poll(self.state.next_poll())
    }

    /// Returns the tasks of the runs that are given up at a time without an answer.
    fn expire(&mut self, now: Time) -> Vec<TaskId> {
        lost(&self.state.expire_runs(now))
    }

    fn has(&self, task: TaskId) -> bool {
        self.state.executions.contains_key(&task)
    }
}

/// Returns the tasks of the runs that are taken for lost.
fn lost(events: &[Event]) -> Vec<TaskId> {
    let task = |event: &Event| match event {
        Event::Lost(loss) | Event::Expired(loss) | Event::Crashed(_, loss) => Some(loss.task),
        _ => None,
    };
    events.iter().filter_map(task).collect()
}

/// A start without an answer is carried out by the next life of a silent endpoint, when its task runs elsewhere.
#[test]
fn unanswered_start_outlasts_the_leases_of_a_silent_endpoint() {
    let mut view = View::new();
    let (answered, unanswered) = (task_of(1, 0), task_of(2, 0));
    view.start(answered, START);
    view.confirm_start(answered, START + Span(100));
    view.start(unanswered, START);
    view.fall_silent(START + Span::millis(1));
    let expiry = view.state.leases_end() + Span(1);
    assert_eq!(view.expire(expiry), [answered]);
    assert!(view.has(unanswered));
}

/// A run whose start was sent twice and answered once is given up, and the other copy is carried out by the next life.
#[test]
fn start_with_an_unanswered_copy_outlasts_the_leases_of_a_silent_endpoint() {
    let mut view = View::new();
    let task = task_of(1, 0);
    view.start(task, START);
    view.duplicate_start(task, START + Span(100));
    view.confirm_start(task, START + Span(200));
    view.fall_silent(START + Span::millis(1));
    assert!(view.expire(START + Span::seconds(4)).is_empty());
    assert!(view.has(task));
}

/// A start that arrives seconds late runs, though polls with its own token didn't list it and its deadline has passed for the owner.
#[test]
fn stopped_run_is_given_up_by_the_answer_to_a_poll_with_a_higher_token_only() {
    let mut view = View::new();
    let task = task_of(1, 0);
    let start = view.start(task, START);
    view.state.stop(task, Fate::Restart).unwrap();
    for millis in [1, 700] {
        let now = START + Span::millis(millis);
        let poll = view.poll(now);
        assert_eq!(poll.token, start);
        assert!(view.answer(&poll, LIFE, &[], now + Span(100)).is_empty());
    }
    view.fall_silent(START + Span::millis(701));
    let poll = view.retry_poll();
    assert!(poll.token > start, "{:?}", poll.token);
    assert_eq!(view.answer(&poll, LIFE, &[], poll.sent + Span(100)), [task]);
}

/// A start that fell into a silence of its endpoint would count as a crash of the endpoint under its task, which then runs alone.
#[test]
fn barred_start_is_sent_again_after_a_poll_with_a_higher_token_only() {
    let mut view = View::new();
    let task = task_of(1, 0);
    let start = view.start(task, START);
    for millis in [1, 700] {
        let now = START + Span::millis(millis);
        let poll = view.poll(now);
        assert!(view.answer(&poll, LIFE, &[], now + Span(100)).is_empty());
        assert!(view.state.take_due_retries(now + Span(100)).is_empty());
    }
    view.fall_silent(START + Span::millis(701));
    let poll = view.retry_poll();
    let answered = poll.sent + Span(100);
    assert!(view.answer(&poll, LIFE, &[], answered).is_empty());
    assert_eq!(view.state.take_due_retries(answered), [task]);
    let order = view
        .state
        .start_order(task, Run::FIRST, String::new(), answered);
    assert!(order.unwrap().token() > start);
}

/// A poll with the start's token that a restarted endpoint answers doesn't bar the start there, and its run begins after it.
#[test]
fn first_poll_after_a_restart_bars_the_starts_before_it() {
    let mut view = View::new();
    let task = task_of(1, 0);
    let start = view.start(task, START);
    let former = view.poll(START + Span::millis(1));
    let restart = START + Span::millis(20);
    let life = Life(2_000);
    assert!(lost(&view.state.update_life(life, restart)).is_empty());
    let answered = restart + Span::millis(1);
    assert!(view.answer(&former, life, &[], answered).is_empty());
    assert!(view.has(task));
    let poll = view.poll(answered);
    assert!(poll.token > start, "{:?}", poll.token);
    assert_eq!(view.answer(&poll, life, &[], answered + Span(100)), [task]);
}

/// Each restart forgets the token that barred a start, so that a start of the second life is carried out by the third.
#[test]
fn token_rises_with_each_restart_after_a_start() {
    let mut view = View::new();
    let mut now = START;
    for n in 1..4 {
        let start = view.start(task_of(n, 0), now);
        now = now + Span::millis(700);
        let life = Life(1_000 + n);
        view.state.update_life(life, now);
        let poll = view.poll(now);
        assert!(poll.token > start, "{:?}", poll.token);
        view.answer(&poll, life, &[], now + Span(100));
        now = now + Span::millis(1);
    }
}

/// The former life confirmed a stop, and the next one, which doesn't know it, carries a copy of the start out.
#[test]
fn stop_that_a_former_life_confirmed_is_sent_again() {
    let mut view = View::new();
    let task = task_of(1, 0);
    view.start(task, START);
    view.duplicate_start(task, START);
    let former = view.poll(START + Span::millis(30));
    view.state.stop(task, Fate::Restart).unwrap();
    let stopped = START + Span::millis(20);
    view.state
        .on_stopped(&task, Run::FIRST, START + Span::millis(10), stopped);
    let restart = START + Span::millis(40);
    assert!(view.state.take_due_retries(restart).is_empty());
    let life = Life(2_000);
    view.state.update_life(life, restart);
    assert_eq!(view.state.take_due_retries(restart), [task]);
    let answered = restart + Span::millis(1);
    assert!(view.answer(&former, life, &[], answered).is_empty());
    assert!(view.has(task));
}

/// A former life's confirmation of a stop arrives after its end, and counts for the next life, which carries the start out.
#[test]
fn stop_that_is_confirmed_after_a_restart_is_sent_again() {
    let mut view = View::new();
    let task = task_of(1, 0);
    view.start(task, START);
    view.state.stop(task, Fate::Restart).unwrap();
    let restart = START + Span::millis(40);
    view.state.update_life(Life(2_000), restart);
    view.state.take_due_retries(restart);
    let answered = restart + Span::millis(1);
    let sent = START + Span::millis(10);
    view.state.on_stopped(&task, Run::FIRST, sent, answered);
    assert_eq!(view.state.take_due_retries(answered), [task]);
}

/// The former life confirmed a start; the next one hasn't begun the run when a poll lists it, but carries a copy of the start out.
#[test]
fn start_that_a_former_life_confirmed_is_in_doubt_again() {
    let mut view = View::new();
    let task = task_of(1, 0);
    view.start(task, START);
    view.duplicate_start(task, START);
    view.confirm_start(task, START + Span::millis(1));
    let former = view.poll(START + Span::millis(2));
    let restart = START + Span::millis(20);
    let life = Life(2_000);
    view.state.update_life(life, restart);
    let answered = restart + Span::millis(1);
    assert!(view.answer(&former, life, &[], answered).is_empty());
    assert!(view.has(task));
    let poll = view.poll(answered);
    assert_eq!(view.answer(&poll, life, &[], answered + Span(100)), [task]);
}

/// An endpoint that never comes back holds its tasks for good, or one that is cut off briefly is taken for gone.
#[test]
fn endpoint_that_is_silent_for_long_counts_as_gone() {
    let bounds = [(true, Span::seconds(5)), (false, Span::seconds(15))];
    for (delisted, bound) in bounds {
        let mut view = View::new();
        let task = task_of(1, 0);
        view.start(task, START);
        view.fall_silent(START + Span::millis(1));
        view.state.delisted = delisted;
        assert!(view.expire(START + bound).is_empty(), "{bound:?}");
        assert_eq!(view.expire(START + bound + Span(1)), [task]);
    }
}

/// A restarted endpoint counts its ends anew, and forgets those that nobody has heard of if a poll acknowledges former ones.
#[test]
fn ends_are_acknowledged_to_an_open_endpoint_only() {
    let mut view = View::new();
    let task = task_of(1, 0);
    view.start(task, START);
    let poll = view.poll(START + Span(1));
    let now = START + Span::millis(1);
    let ended = Ended {
        serial: 3,
        task: Name::Known(task),
        run: Run::FIRST,
        end: End::Done,
    };
    let lists = Lists {
        ended: vec![ended],
        ..lists(LIFE, &[], now)
    };
    view.state.on_poll_answer(poll.call, poll.sent, lists, now);
    let poll = view.poll(now);
    assert_eq!(poll.acknowledged, 3);
    view.fail(&poll, now + SILENCE);
    assert_eq!(view.state.standing, Standing::Silent);
    for _ in 0..3 {
        let poll = view.retry_poll();
        assert_eq!(poll.acknowledged, 0);
        view.fail(&poll, poll.sent + Span::millis(1));
    }
}

/// A call to an endpoint that isn't answered yet.
#[derive(Debug, Clone)]
struct Call {
    id: CallId,
    endpoint: Endpoint,
    order: Order,
    sent: Time,
}

impl Call {
    fn is_start(&self) -> bool {
        matches!(self.order, Order::Start { .. })
    }

    fn is_stop(&self) -> bool {
        matches!(self.order, Order::Stop { .. })
    }

    fn is_poll(&self) -> bool {
        matches!(self.order, Order::Poll { .. })
    }

    fn token(&self) -> Token {
        match self.order {
            Order::Start { token, .. } | Order::Stop { token, .. } | Order::Poll { token, .. } => {
                token
            }
        }
    }
}

/// An owner of a rack whose endpoints have answered a poll. The test decides on the answer to each call.
struct Script {
    owner: Owner,
    rack: RackId,
    listings: Vec<Listing>,
}

impl Script {
    fn new(endpoints: &[&str]) -> Self {
        let listing_of = |name: &&str| Listing {
            id: name.parse().unwrap(),
            life: LIFE,
            ..listing(1)
        };
        let listings: Vec<Listing> = endpoints.iter().map(listing_of).collect();
        let mut script = Self {
            owner: Owner::new(&contact("own").name),
            rack: listing(1).rack_id(),
            listings,
        };
        let mut out = Effects::default();
        script.owner.claim(script.rack, TOKEN, &mut out);
        script.list(START);
        for call in script.process_due(START) {
            script.answer_poll(&call, LIFE, &[], START);
        }
        script
    }

    /// Returns an owner of one endpoint that has sent it the start of a long task and a poll, with these calls.
    fn with_start() -> (Self, Call, Call) {
        let mut script = Self::new(&["w-1"]);
        script.submit(1);
        let calls = script.process_due(START);
        let call = |kind: fn(&Call) -> bool| calls.iter().find(|call| kind(call)).cloned();
        let (start, poll) = (call(Call::is_start).unwrap(), call(Call::is_poll).unwrap());
        (script, start, poll)
    }

    /// Updates the owner to the listings.
    fn list(&mut self, now: Time) {
        let mut out = Effects::default();
        self.owner.update_endpoints(&self.listings, now, &mut out);
    }

    /// Submits a job with one long task.
    fn submit(&mut self, serial: u64) {
        let long = Span::seconds(60);
        let batch = Batch {
            estimate: Span::seconds(10),
            slack: Some(long),
            useful: long,
            time_left: long,
            ..batch(serial, vec![0])
        };
        let mut out = Effects::default();
        self.owner.accept(&contact("own"), batch, START, &mut out);
    }

    /// Processes due work, and returns the calls of it.
    fn process_due(&mut self, now: Time) -> Vec<Call> {
        confirm_entries(&mut self.owner, now);
        let mut out = Effects::default();
        self.owner.process_due(now, &mut out);
        calls(out, now)
    }

    /// Processes due work each 10 ms until it makes a call that the test looks for.
    fn await_call(&mut self, wanted: impl Fn(&Call) -> bool, from: Time) -> Call {
        let times = (0..100).map(|n| from + Span::millis(10 * n));
        let mut found = times.filter_map(|now| self.process_due(now).into_iter().find(&wanted));
        found.next().expect("the call is made within a second")
    }

    fn reply(&mut self, call: &Call, reply: Reply, now: Time) -> Vec<Call> {
        let mut out = Effects::default();
        self.owner
            .on_reply(call.id, call.sent, reply, now, &mut out);
        calls(out, now)
    }

    fn answer_poll(&mut self, call: &Call, life: Life, running: &[(TaskId, Run)], now: Time) {
        let reply = Reply::Looked(lists(life, running, now));
        self.reply(call, reply, now);
    }

    fn refuse_as_fenced(&mut self, call: &Call, now: Time) -> Vec<Call> {
        let (clock, refusal) = (clock(now), Refusal::Fenced);
        self.reply(call, Reply::Refused { clock, refusal }, now)
    }

    /// Lets a poll fail, after which its endpoint is silent. Returns the next poll.
    fn fall_silent(&mut self, poll: &Call, now: Time) -> Call {
        self.reply(poll, Reply::Silent, now);
        let endpoint = poll.endpoint.clone();
        self.await_call(|call| call.is_poll() && call.endpoint == endpoint, now)
    }

    /// Returns the announced token of the rack, or `None` if it was lost.
    fn announced(&self) -> Option<Token> {
        let mut racks = self.owner.racks();
        racks.find_map(|(rack, token)| (rack == self.rack).then_some(token))
    }

    fn keeps_rack(&mut self) -> bool {
        self.owner.take_fenced().is_empty() && self.announced().is_some()
    }
}

/// Returns the calls among the outputs of an owner.
fn calls(out: Effects, now: Time) -> Vec<Call> {
    let call = |output| match output {
        Output::Call {
            call,
            endpoint,
            order,
            ..
        } => Some(Call {
            id: call,
            endpoint,
            order,
            sent: now,
        }),
        _ => None,
    };
    out.outputs.into_iter().filter_map(call).collect()
}

/// An owner gives its rack up since its own poll overtook its start on the way.
#[test]
fn start_that_the_own_poll_overtakes_does_not_cost_the_rack() {
    let (mut script, start, poll) = Script::with_start();
    let now = START + SILENCE;
    let next = script.fall_silent(&poll, now);
    assert!(next.token() > start.token());
    let now = next.sent + Span::millis(1);
    script.refuse_as_fenced(&start, now);
    assert!(script.keeps_rack());
    script.answer_poll(&next, LIFE, &[], now);
    let again = script.await_call(Call::is_start, now);
    assert_eq!(again.token(), next.token());
    script.refuse_as_fenced(&again, again.sent + Span::millis(1));
    assert!(!script.keeps_rack());
}

/// The same with a stop, after which the run would go on.
#[test]
fn stop_that_the_own_poll_overtakes_is_sent_again() {
    let (mut script, start, poll) = Script::with_start();
    let now = START + Span::millis(2);
    script.reply(&start, Reply::Done { clock: clock(now) }, now);
    let mut out = Effects::default();
    let own = contact("own");
    script.owner.cancel(&own, 1, now, &mut out);
    let stop = calls(out, now).into_iter().find(Call::is_stop).unwrap();
    let next = script.fall_silent(&poll, START + SILENCE);
    assert!(next.token() > stop.token());
    let now = next.sent + Span::millis(1);
    script.refuse_as_fenced(&stop, now);
    assert!(script.keeps_rack());
    let again = script.await_call(Call::is_stop, now);
    assert_eq!(again.token(), next.token());
    script.refuse_as_fenced(&again, again.sent + Span::millis(1));
    assert!(!script.keeps_rack());
}

/// The same with a poll, after which the endpoint would never be polled again.
#[test]
fn poll_that_the_own_call_overtakes_is_sent_again() {
    let (mut script, _, poll) = Script::with_start();
    let now = START + Span::millis(20);
    script.listings[0].life = Life(2_000);
    script.list(now);
    script.refuse_as_fenced(&poll, now);
    assert!(script.keeps_rack());
    let again = script.await_call(Call::is_poll, now);
    assert!(again.token() > poll.token());
    script.refuse_as_fenced(&again, again.sent + Span::millis(1));
    assert!(!script.keeps_rack());
}

/// Copies of a start that are sent to a silent endpoint are carried out by its next life, long after the first.
#[test]
fn start_is_not_resent_to_a_silent_endpoint() {
    let (mut script, start, mut poll) = Script::with_start();
    let silent = START + SILENCE;
    script.reply(&poll, Reply::Silent, silent);
    let mut calls = script.reply(&start, Reply::Silent, silent);
    for n in 0..40 {
        let now = silent + Span::millis(25 * n);
        calls.extend(script.process_due(now));
        assert!(!calls.iter().any(Call::is_start), "{calls:?}");
        if let Some(next) = calls.drain(..).rfind(Call::is_poll) {
            poll = next;
            script.reply(&poll, Reply::Silent, now);
        }
    }
    let now = silent + Span::seconds(2);
    poll = script.await_call(Call::is_poll, now);
    script.answer_poll(&poll, LIFE, &[], poll.sent + Span(100));
    let again = script.await_call(Call::is_start, poll.sent + Span::millis(1));
    assert!(again.token() > start.token());
}

/// An answer to a barred start arrives after the start was sent again, and its task starts elsewhere beside the copy.
#[test]
fn late_answer_to_a_barred_start_does_not_concern_its_copy() {
    let refused = |refusal, now| Reply::Refused {
        clock: clock(now),
        refusal,
    };
    let answers: [&dyn Fn(Time) -> Reply; 4] = [
        &|now| refused(Refusal::Full, now),
        &|now| refused(Refusal::Late, now),
        &|_| Reply::Unwell,
        &|_| Reply::Unsent,
    ];
    for answer in answers {
        let mut script = Script::new(&["w-1", "w-2"]);
        script.submit(1);
        let calls = script.process_due(START);
        let start = calls.iter().find(|call| call.is_start()).unwrap();
        let is_beside = |call: &&Call| call.is_poll() && call.endpoint == start.endpoint;
        let poll = calls.iter().find(is_beside).unwrap();
        let next = script.fall_silent(poll, START + SILENCE);
        let now = next.sent + Span::millis(1);
        script.answer_poll(&next, LIFE, &[], now);
        let again = script.await_call(Call::is_start, now);
        assert_eq!(again.endpoint, start.endpoint);
        let now = again.sent + Span::millis(1);
        let mut calls = script.reply(start, answer(now), now);
        for n in 0..20 {
            calls.extend(script.process_due(now + Span::millis(10 * n)));
        }
        let elsewhere = |call: &Call| call.is_start() && call.endpoint != start.endpoint;
        assert!(!calls.iter().any(elsewhere), "{:?}: {calls:?}", answer(now));
    }
}

/// A start that couldn't be sent counts as one that may still be carried out, and its task waits for the endpoint.
#[test]
fn start_that_was_not_sent_leaves_no_doubt() {
    for answer in [Reply::Unsent, Reply::Unwell] {
        let mut script = Script::new(&["w-1", "w-2"]);
        script.submit(1);
        let calls = script.process_due(START);
        let start = calls.iter().find(|call| call.is_start()).unwrap();
        let now = START + Span::millis(1);
        let calls = script.reply(start, answer.clone(), now);
        let calls = [calls, script.process_due(now)].concat();
        assert!(calls.iter().any(Call::is_start), "{answer:?}: {calls:?}");
        assert_eq!(script.owner.count_doubts(), 0, "{answer:?}");
    }
}

/// A start has no answer yet and was sent again, and the copy is refused or can't be sent. Its task would start elsewhere without a doubt about
/// the first one, which the next life of the endpoint may carry out.
#[test]
fn refused_copy_of_a_start_leaves_the_first_one_in_doubt() {
    let refused = |refusal, now| Reply::Refused {
        clock: clock(now),
        refusal,
    };
    let answers: [&dyn Fn(Time) -> Reply; 4] = [
        &|now| refused(Refusal::Full, now),
        &|now| refused(Refusal::Late, now),
        &|_| Reply::Unwell,
        &|_| Reply::Unsent,
    ];
    let mut forgotten = Vec::new();
    for answer in answers {
        let mut script = Script::new(&["w-1", "w-2"]);
        script.submit(1);
        let calls = script.process_due(START);
        let start = calls.iter().find(|call| call.is_start()).unwrap();
        let is_beside = |call: &&Call| call.is_poll() && call.endpoint == start.endpoint;
        let poll = calls.iter().find(is_beside).unwrap();
        let next = script.fall_silent(poll, START + SILENCE);
        let now = next.sent + Span::millis(1);
        script.answer_poll(&next, LIFE, &[], now);
        let again = script.await_call(Call::is_start, now);
        assert_eq!(again.endpoint, start.endpoint);
        let now = again.sent + Span::millis(1);
        let mut calls = script.reply(&again, answer(now), now);
        for n in 0..20 {
            calls.extend(script.process_due(now + Span::millis(10 * n)));
        }
        let elsewhere = |call: &Call| call.is_start() && call.endpoint != start.endpoint;
        if calls.iter().any(elsewhere) && script.owner.count_doubts() == 0 {
            forgotten.push(answer(now));
        }
    }
    assert!(
        forgotten.is_empty(),
        "started elsewhere after {forgotten:?}"
    );
}

/// A task that came with a rack whose endpoints have lost it waits for long, or a run that a poll lists is given up.
#[test]
fn adopted_run_is_given_up_by_the_first_poll_that_does_not_list_it() {
    for listed in [false, true] {
        let (mut script, start, _) = Script::with_start();
        let now = START + Span::millis(10);
        let mut out = Effects::default();
        let handover = script
            .owner
            .hand_over(script.rack, &contact("next"), now, &mut out);
        let mut owner = Owner::new(&contact("next").name);
        owner.mark_entry_alive(&contact("own").name);
        let token = Token::new(Epoch(2), 2);
        owner.take_over(
            handover.unwrap(),
            token,
            &script.listings,
            now,
            &mut Effects::default(),
        );
        owner.on_move_announced(&contact("own").name, 1, 1);
        script.owner = owner;
        let poll = script.await_call(Call::is_poll, now);
        assert!(poll.token() > start.token());
        let runs: &[(TaskId, Run)] = match listed {
            true => &[(task_of(1, 0), Run::FIRST)],
            false => &[],
        };
        let answered = now + Span::millis(1);
        script.answer_poll(&poll, LIFE, runs, answered);
        let again = script
            .process_due(answered)
            .into_iter()
            .find(Call::is_start);
        assert_eq!(again.is_none(), listed, "{again:?}");
    }
}

/// An endpoint that was removed is listed again, and a start that was sent to it before is carried out after its first poll.
#[test]
fn endpoint_that_is_listed_again_is_called_with_a_higher_token() {
    let (mut script, start, _) = Script::with_start();
    let now = START + Span::millis(10);
    script.reply(&start, Reply::Reborn, now);
    script.list(now);
    let poll = script.await_call(Call::is_poll, now);
    assert!(poll.token() > start.token(), "{:?}", poll.token());
}

/// A probe with the announced token is refused for too long to follow, or changes the token of an endpoint that still has a lower one.
#[test]
fn token_is_announced_before_an_endpoint_is_far_above_it() {
    let mut script = Script::new(&["w-1", "w-2"]);
    script.submit(1);
    let first = script.process_due(START);
    let start = first.iter().find(|call| call.is_start()).unwrap().clone();
    let done = Reply::Done {
        clock: clock(START),
    };
    script.reply(&start, done, START);
    let running = [(task_of(1, 0), Run::FIRST)];
    let (mut now, mut highest) = (START, TOKEN);
    let polls = |call: &Call| call.is_poll() && call.endpoint == start.endpoint;
    let mut poll = first.iter().find(|call| polls(call)).cloned();
    for _ in 0..24 {
        let leased = match poll.take() {
            Some(poll) => poll,
            None => script.await_call(polls, now),
        };
        now = leased.sent.max(now) + SILENCE;
        let retry = script.fall_silent(&leased, now);
        now = retry.sent + Span::millis(1);
        script.answer_poll(&retry, LIFE, &running, now);
        highest = highest.max(retry.token());
        let announced = script.announced().unwrap();
        assert!(highest.0 < announced.0 + 8, "{highest:?} {announced:?}");
        // The other endpoint has another task from now on, and then restarts.
        let other = script
            .listings
            .iter_mut()
            .find(|l| l.id != start.endpoint)
            .unwrap();
        other.life = Life(other.life.0 + 1);
        script.list(now);
        for call in script.process_due(now) {
            assert!(call.token() >= announced, "{call:?} {announced:?}");
            match call.endpoint == start.endpoint {
                true => poll = Some(call),
                false => drop(script.reply(&call, Reply::Silent, now)),
            }
        }
    }
    assert!(highest.0 >= TOKEN.0 + 16, "{highest:?}");
}

/// A probe with a token above the silent owner's would fence that owner off, which may only be cut off from the prober.
#[test]
fn probe_follows_raised_tokens_one_by_one() {
    let mut prober = Owner::new(&contact("own").name);
    let listing = listing(1);
    for raised in [0, 3, 7] {
        let current = Token(TOKEN.0 + raised);
        let mut tokens = Vec::new();
        for n in 0..20 {
            let now = START + Span::seconds(raised) + Span::millis(100 * n);
            let mut out = Effects::default();
            let listings = std::slice::from_ref(&listing);
            prober.probe(listing.rack_id(), TOKEN, listings, now, &mut out);
            for call in calls(out, now) {
                tokens.push(call.token());
                let reply = match call.token() < current {
                    true => Reply::Refused {
                        clock: clock(now),
                        refusal: Refusal::Fenced,
                    },
                    false => Reply::Looked(lists(LIFE, &[(task_of(1, 0), Run::FIRST)], now)),
                };
                prober.on_reply(call.id, now, reply, now, &mut Effects::default());
            }
        }
        let steps = tokens.windows(2).all(|pair| pair[1].0 - pair[0].0 <= 1);
        assert!(steps, "{tokens:?}");
        assert_eq!(tokens.last(), Some(&current));
    }
}

/// The longest lease that an endpoint grants, if its clock is as slow as it may be.
const LONGEST_LEASE: Span = Span::millis(1_021);

/// The clock of an endpoint that has just restarted, in ms.
const NEW_CLOCK: u64 = 5;

/// A view of an endpoint whose clock was read in its first life, with the start of a task that the next life gets unnoticed.
fn view_before_an_unnoticed_restart() -> (View, TaskId, Token) {
    let mut view = View::new();
    let task = task_of(1, 0);
    let token = view.start(task, START + Span::millis(1));
    (view, task, token)
}

/// An endpoint restarts unnoticed, grants a start the longest lease since its clock began again, and is cut off. Its run goes on for
/// 600 ms after the start's lease by the former clock.
#[test]
fn start_that_an_unnoticed_life_answers_outlasts_the_former_lease() {
    let mut script = Script::new(&["w-1"]);
    script.listings[0].capacity.cpu = 2_000;
    script.list(START);
    script.submit(1);
    let first = script.process_due(START);
    for call in &first {
        match call.is_poll() {
            true => script.answer_poll(call, LIFE, &[], START),
            false => drop(script.reply(call, done(clock(START)), START)),
        }
    }
    // Polls carry no lease while a stop isn't confirmed.
    let cancelled = START + Span::millis(600);
    let own = contact("own");
    let mut out = Effects::default();
    script
        .owner
        .cancel(&own, 1, START + Span::millis(1), &mut out);
    let mut now = START;
    while now < cancelled {
        now = now + Span::millis(10);
        for call in script.process_due(now) {
            if call.is_poll() {
                script.answer_poll(&call, LIFE, &[(task_of(1, 0), Run::FIRST)], now);
            }
        }
    }
    script.submit(2);
    let sent = script.process_due(now);
    let start = sent.iter().find(|call| call.is_start()).unwrap();
    let answered = now + Span::millis(1);
    script.reply(start, done(NEW_CLOCK), answered);
    let mut other = script.listings[0].clone();
    other.id = "w-2".parse().unwrap();
    script.listings.push(other);
    script.list(answered);
    now = answered + Span::millis(60);
    for poll in sent.iter().filter(|call| call.is_poll()) {
        script.reply(poll, Reply::Silent, now);
    }
    while now < answered + LONGEST_LEASE {
        for call in script.process_due(now) {
            assert!(!call.is_start(), "{:?}: {call:?}", now.since(answered));
            match call.endpoint == start.endpoint {
                true => drop(script.reply(&call, Reply::Silent, now)),
                false => script.answer_poll(&call, LIFE, &[], now),
            }
        }
        now = now + Span::millis(10);
    }
    let poll = script.await_call(
        |call| call.is_poll() && call.endpoint == start.endpoint,
        now,
    );
    assert!(poll.token() > start.token());
    script.answer_poll(&poll, Life(2_000), &[], poll.sent + Span::millis(1));
    script.await_call(Call::is_start, poll.sent + Span::millis(1));
}

fn done(clock: u64) -> Reply {
    Reply::Done { clock }
}

/// Calls that the former life was granted by its clock are carried out after the answer of an unnoticed life, unless a token bars them.
#[test]
fn clock_that_went_back_shows_a_restart() {
    let answers: [fn() -> Reply; 3] = [
        || done(NEW_CLOCK),
        || refused(Refusal::Full),
        || refused(Refusal::Late),
    ];
    for answer in answers {
        let (mut script, start, former) = Script::with_start();
        let now = START + Span::millis(10);
        script.reply(&start, answer(), now);
        // What the former life has answered before is received after it.
        script.answer_poll(&former, LIFE, &[], now);
        let next = script.await_call(Call::is_poll, now);
        assert_eq!(next.sent, now);
        assert!(next.token() > start.token(), "{next:?}");
        assert!(matches!(next.order, Order::Poll { lease: None, .. }));
    }
}

fn refused(refusal: Refusal) -> Reply {
    let clock = NEW_CLOCK;
    Reply::Refused { clock, refusal }
}

/// A stop that an unnoticed life confirms counts, and a copy of the start that is carried out by the next life isn't stopped.
#[test]
fn stop_that_an_unnoticed_life_confirms_is_sent_again() {
    let (mut view, task, token) = view_before_an_unnoticed_restart();
    view.state.stop(task, Fate::Restart).unwrap();
    let (sent, now) = (START + Span::millis(5), START + Span::millis(10));
    view.state.on_answer(NEW_CLOCK, sent, now);
    view.state.on_stopped(&task, Run::FIRST, sent, now);
    assert_eq!(view.state.take_due_retries(now), [task]);
    assert!(view.state.stop_order(Name::Known(task), Run::FIRST).token() > token);
}

/// A poll to the former life extends the lease of a run that an unnoticed life began, when the owner takes the run for lost.
#[test]
fn start_that_an_unnoticed_life_answers_is_in_doubt() {
    let (mut view, first, _) = view_before_an_unnoticed_restart();
    let second = task_of(2, 0);
    let sent = START + Span::millis(1);
    view.start(second, sent);
    for (task, millis) in [(first, 10), (second, 20)] {
        let now = START + Span::millis(millis);
        view.state.on_answer(NEW_CLOCK + millis, sent, now);
        view.state.on_started(&task, Run::FIRST, sent, now);
    }
    let poll = view.poll(START + Span::millis(20));
    view.fail(&poll, START + SILENCE);
    assert!(view.expire(START + Span::seconds(4)).is_empty());
    let poll = view.retry_poll();
    let lost = view.answer(&poll, Life(2_000), &[(first, Run::FIRST)], poll.sent);
    assert_eq!(lost, [second]);
}

/// The life of an endpoint isn't known, and a deadline on its former clock is hours ahead on the new one.
#[test]
fn poll_of_an_unknown_life_shows_a_restart_by_its_clock() {
    let mut view = View::of_life(Life::default());
    let task = task_of(1, 0);
    let start = view.start(task, START);
    let poll = view.poll(START + Span::millis(1));
    let now = START + Span::millis(130);
    let lists = Lists {
        clock: NEW_CLOCK,
        ..lists(Life::default(), &[(task, Run::FIRST)], now)
    };
    view.state.on_poll_answer(poll.call, poll.sent, lists, now);
    let next = view.poll(now);
    assert!(next.token > start, "{:?}", next.token);
    assert!(view.state.leases_end() >= now + LONGEST_LEASE);
}

/// An endpoint whose clock is set back without a restart never gets a task again, as its answers count as those of a former life.
#[test]
fn endpoint_whose_clock_is_set_back_is_open_again() {
    let (mut view, task, _) = view_before_an_unnoticed_restart();
    let (sent, now) = (START + Span::millis(5), START + Span::millis(10));
    assert!(view.state.on_answer(NEW_CLOCK, sent, now).is_some());
    assert_eq!(view.state.standing, Standing::Claimed);
    let poll = view.poll(now);
    let running = [(task, Run::FIRST)];
    assert!(view
        .answer(&poll, LIFE, &running, now + Span(100))
        .is_empty());
    assert_eq!(view.state.standing, Standing::Open);
    assert!(view.has(task));
}

/// An endpoint whose clock is 2 % slow, or whose answers overtake each other, is taken for restarted, and its runs for lost.
#[test]
fn slow_clock_and_late_answer_show_no_restart() {
    let mut view = View::new();
    view.start(task_of(1, 0), START);
    let token = view.poll(START).token;
    for seconds in [1, 10, 100] {
        let (sent, now) = (
            START + Span::seconds(seconds),
            START + Span::seconds(seconds),
        );
        let slow = clock(START) + 980 * seconds;
        view.state.on_answer(slow, sent, now);
        // The next answer comes from a call that was sent 40 ms before.
        let sent = Time(sent.0 - 40_000);
        view.state.on_answer(slow - 40, sent, now + Span(100));
        assert_eq!(view.state.standing, Standing::Open, "{seconds} s");
        assert_eq!(view.state.barring_token(), token.next());
    }
}
