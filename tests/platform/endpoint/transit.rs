//! Calls that get no answer from an endpoint, some of which it carries out later.

use std::{
    ops::Range,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};
use serde_json::Value;
use tokio::{
    sync::Notify,
    time::{
        sleep,
        Instant, //
    }, //
};

use super::State;

/// Whether calls reach an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Reach {
    /// It carries them out.
    #[default]
    Up,
    /// It runs, but gets no calls.
    Cut,
    /// Its process has crashed.
    Down,
}

/// Which calls are held on their way and carried out later, by the process that is there by then.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    /// The share of the calls to an endpoint that is up, in percent.
    while_up: u32,
    /// The share of the calls to an endpoint that is down or cut off, in percent. The other ones are lost.
    while_unreachable: u32,
    /// Whether polls are held too.
    with_polls: bool,
    /// How long calls are held.
    delay: Range<Duration>,
    random: SmallRng,
}

#[allow(dead_code)] // Not used by every test.
impl Holding {
    /// Holds all starts and stops to an endpoint that is down or cut off for the same time.
    pub(crate) fn unreachable(delay: Duration) -> Self {
        Self {
            while_up: 0,
            while_unreachable: 100,
            with_polls: false,
            delay: delay..delay,
            random: SmallRng::seed_from_u64(0),
        }
    }

    /// Holds a random share of all calls, for times in a range.
    pub(crate) fn random(
        (while_up, while_unreachable): (u32, u32),
        delay: Range<Duration>,
        random: SmallRng,
    ) -> Self {
        Self {
            while_up,
            while_unreachable,
            with_polls: true,
            delay,
            random,
        }
    }

    /// Returns how long a call is held, if it is.
    fn draw(&mut self, reach: Reach, is_poll: bool) -> Option<Duration> {
        let share = match reach {
            Reach::Up => self.while_up,
            Reach::Cut | Reach::Down => self.while_unreachable,
        };
        let is_held = self.random.random_range(0..100) < share;
        if !is_held || is_poll && !self.with_polls {
            return None;
        }
        match self.delay.is_empty() {
            true => Some(self.delay.start),
            false => Some(self.random.random_range(self.delay.clone())),
        }
    }
}

/// A call that was carried out late.
#[allow(dead_code)] // Not used by every test.
#[derive(Debug, Clone)]
pub(crate) struct LateCall {
    pub(crate) path: String,
    pub(crate) body: Value,
    pub(crate) sent_at: Instant,
    pub(crate) arrived_at: Instant,
    /// When the process started that was there when the call was sent, and that of the process that it reached.
    pub(crate) sent_to: u64,
    pub(crate) reached: u64,
    /// Whether it was carried out: its fencing token was high enough.
    pub(crate) accepted: bool,
}

#[allow(dead_code)] // Not used by every test.
impl LateCall {
    /// Returns whether it's a start that reached a later process than the one that it was sent to.
    pub(crate) fn is_start_of_former_life(&self) -> bool {
        self.path == super::START_PATH && self.reached != self.sent_to
    }
}

/// What happens to a call on its way to an endpoint.
pub(super) enum Passage {
    /// It arrives.
    Arrives,
    /// It gets no answer. It's held for a time, or lost.
    Unanswered(Option<Duration>),
}

impl State {
    /// Decides what happens to a call.
    pub(super) fn pass(&mut self, path: &str) -> Passage {
        let reach = self.reach;
        let is_poll = path == super::POLL_PATH;
        let holding = self.holding.as_mut();
        let delay = holding.and_then(|holding| holding.draw(reach, is_poll));
        match (reach, delay) {
            (Reach::Up, None) => Passage::Arrives,
            _ => Passage::Unanswered(delay),
        }
    }
}

/// Carries a call out after a delay. It's lost if the endpoint is down by then.
pub(super) fn hold(
    state: Arc<Mutex<State>>,
    ended: Arc<Notify>,
    (path, body): (String, Value),
    delay: Duration,
) {
    let (sent_at, sent_to) = {
        let mut state = state.lock().unwrap();
        state.held_calls += 1;
        (Instant::now(), state.born)
    };
    tokio::spawn(async move {
        sleep(delay).await;
        let mut state = state.lock().unwrap();
        state.held_calls -= 1;
        if state.reach == Reach::Down || state.is_down() {
            return;
        }
        state.end_due_runs();
        let accepted = state.accept_token(&body);
        if accepted {
            state.carry_out(&path, &body, true);
            ended.notify_waiters();
        }
        let reached = state.born;
        state.late_calls.push(LateCall {
            path,
            body,
            sent_at,
            arrived_at: Instant::now(),
            sent_to,
            reached,
            accepted,
        });
    });
}
