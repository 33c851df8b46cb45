//! Retries and hedges of idempotent tasks, within budgets.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use rand::Rng;

use crate::prelude::*;

/// What one whole token is counted in.
const TOKEN: u64 = 1_000;

/// The wait before the first retry, before jitter.
const FIRST_WAIT: Span = Span::millis(10);

/// The longest wait before a retry.
const LONGEST_WAIT: Span = Span::seconds(1);

/// A share in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u64);

/// Tokens that are earned by successes and spent on extra messages.
///
/// When half of the endpoints fail, retries without a budget multiply the load just when there is least to spare.
/// Since tokens come from successes, extra messages stay a share of the useful ones, plus the floor.
#[derive(Debug, Clone)]
pub struct Budget {
    share: Permille,
    floor: u64,
    most: u64,
    tokens: u64,
    filled: Time,
}

impl Budget {
    /// Makes the budget of retries: a tenth of the successes, and one a second at least.
    pub fn for_retries() -> Self {
        Self::new(Permille(100), 1, 100)
    }

    /// Makes the budget of hedges: a twentieth of the successes.
    pub fn for_hedges() -> Self {
        Self::new(Permille(50), 0, 50)
    }

    /// Makes a budget that earns `share` of each success and `floor` tokens a second, and saves up to `most`.
    pub fn new(share: Permille, floor: u64, most: u64) -> Self {
        Self {
            share,
            floor,
            most: most * TOKEN,
            tokens: most.min(10 * floor) * TOKEN,
            filled: Time::default(),
        }
    }

    /// Earns the share of one success.
    pub fn on_success(&mut self) {
        self.tokens = self.most.min(self.tokens + self.share.0);
    }

    /// Takes a token, where there is one.
    pub fn try_take(&mut self, now: Time) -> bool {
        let earned = now
            .since(self.filled)
            .as_millis()
            .saturating_mul(self.floor);
        if earned > 0 {
            self.tokens = self.most.min(self.tokens.saturating_add(earned));
            self.filled = now;
        }
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }
}

/// Draws the wait before a retry: half of it fixed, doubled with each attempt, and half of it random.
pub fn backoff(attempt: u32, random: &mut impl Rng) -> Span {
    let whole = FIRST_WAIT.times(1 << attempt.min(16)).min(LONGEST_WAIT).0;
    Span(random.random_range(whole / 2..=whole))
}

/// The quantile of its kind past which a task gets a second copy.
const QUANTILE: f64 = 0.99;

/// Durations that must be known before tasks of a kind are hedged.
const SAMPLES: u64 = 200;

/// Durations after which a histogram is started afresh, so that the wait follows changes.
const ROUND: u64 = 4_096;

/// The most kinds that are followed; others are not hedged.
const KINDS: usize = 256;

/// The longest duration that is told apart, in milliseconds.
const LONGEST_MILLIS: u64 = 60_000;

/// The durations of one kind of task: the last full round, and the current one.
#[derive(Debug)]
struct Kind {
    current: Histogram<u16>,
    last: Option<Span>,
}

/// Decides when a second copy of an idempotent task may start.
#[derive(Debug)]
pub struct Hedge {
    budget: Budget,
    kinds: HashMap<Service, Kind>,
}

impl Default for Hedge {
    fn default() -> Self {
        Self::new()
    }
}

impl Hedge {
    /// Makes a decision that knows no durations yet.
    pub fn new() -> Self {
        Self {
            budget: Budget::for_hedges(),
            kinds: HashMap::new(),
        }
    }

    /// Learns how long a task of a service took, and earns a share of a copy.
    pub fn on_success(&mut self, service: &Service, took: Span) {
        self.budget.on_success();
        let Some(kind) = self.kind(service) else {
            return;
        };
        kind.current.saturating_record(took.as_millis());
        if kind.current.len() >= ROUND {
            kind.last = Some(quantile(&kind.current));
            kind.current.reset();
        }
    }

    /// Returns how long after its start a task of a service may get a second copy; none while too little is known.
    pub fn delay(&self, service: &Service) -> Option<Span> {
        let kind = self.kinds.get(service)?;
        kind.last
            .or_else(|| (kind.current.len() >= SAMPLES).then(|| quantile(&kind.current)))
    }

    /// Takes what a second copy costs, where there is enough.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.budget.try_take(now)
    }

    fn kind(&mut self, service: &Service) -> Option<&mut Kind> {
        if !self.kinds.contains_key(service) {
            if self.kinds.len() >= KINDS {
                return None;
            }
            let current = Histogram::new_with_bounds(1, LONGEST_MILLIS, 2).ok()?;
            let kind = Kind {
                current,
                last: None,
            };
            self.kinds.insert(service.clone(), kind);
        }
        self.kinds.get_mut(service)
    }
}

fn quantile(durations: &Histogram<u16>) -> Span {
    Span::millis(durations.value_at_quantile(QUANTILE))
}
