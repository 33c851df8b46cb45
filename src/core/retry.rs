//! Budgets and delays for retries and hedges of idempotent tasks.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use rand::Rng;

use crate::prelude::*;

/// One token; budgets count in thousandths of a token.
const TOKEN: u64 = 1_000;

/// The delay before the first retry, without jitter.
const BASE_DELAY: Span = Span::millis(10);

/// The longest delay before a retry.
const MAX_DELAY: Span = Span::seconds(1);

/// A share in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u64);

/// A token bucket that successes fill and extra attempts drain.
///
/// Prevents a retry storm: when many endpoints fail, extra attempts stay a fixed share of the successes, plus a minimum
/// rate.
#[derive(Debug, Clone)]
pub struct Budget {
    share: Permille,
    per_second: u64,
    capacity: u64,
    tokens: u64,
    filled_at: Time,
}

impl Budget {
    /// Creates the budget for retries: a tenth of the successes, plus one a second.
    pub fn for_retries() -> Self {
        Self::new(Permille(100), 1, 100)
    }

    /// Creates the budget for hedges: a twentieth of the successes.
    pub fn for_hedges() -> Self {
        Self::new(Permille(50), 0, 50)
    }

    /// Creates a budget that earns `share` of a token with each success and `per_second` tokens a second, and saves up
    /// to `capacity` tokens. It starts with what it earns in 10 s.
    pub fn new(share: Permille, per_second: u64, capacity: u64) -> Self {
        Self {
            share,
            per_second,
            capacity: capacity * TOKEN,
            tokens: capacity.min(10 * per_second) * TOKEN,
            filled_at: Time::default(),
        }
    }

    /// Earns a share of a token for a success.
    pub fn on_success(&mut self) {
        self.tokens = self.capacity.min(self.tokens + self.share.0);
    }

    /// Takes a token; returns whether there was one.
    pub fn try_take(&mut self, now: Time) -> bool {
        let earned = now
            .since(self.filled_at)
            .as_millis()
            .saturating_mul(self.per_second);
        if earned > 0 {
            self.tokens = self.capacity.min(self.tokens.saturating_add(earned));
            self.filled_at = now;
        }
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }
}

/// Returns the delay before the retry that follows attempt number `attempt`, counted from 0.
///
/// Exponential backoff with jitter: a random delay between half of the nominal one and all of it.
pub fn backoff(attempt: u32, random: &mut impl Rng) -> Span {
    let nominal = BASE_DELAY.times(1 << attempt.min(16)).min(MAX_DELAY).0;
    Span(random.random_range(nominal / 2..=nominal))
}

/// The quantile of a service's task durations after which a task is hedged.
const HEDGE_QUANTILE: f64 = 0.99;

/// The number of recorded durations from which a service's tasks are hedged.
const MIN_SAMPLES: u64 = 200;

/// The number of recorded durations after which a histogram is reset, so that the delay follows changes.
const SAMPLES_PER_ROUND: u64 = 4_096;

/// The maximum number of services with recorded durations; tasks of others aren't hedged.
const MAX_SERVICES: usize = 256;

/// The longest duration that histograms distinguish, in milliseconds.
const MAX_DURATION_MS: u64 = 60_000;

/// The task durations of one service: a histogram of the current round, and the quantile of the last full one.
#[derive(Debug)]
struct Durations {
    current: Histogram<u16>,
    last_quantile: Option<Span>,
}

/// Decides when an idempotent task may be hedged with a second attempt.
#[derive(Debug)]
pub struct Hedge {
    budget: Budget,
    services: HashMap<Service, Durations>,
}

impl Default for Hedge {
    fn default() -> Self {
        Self::new()
    }
}

impl Hedge {
    /// Creates a hedge without recorded durations.
    pub fn new() -> Self {
        Self {
            budget: Budget::for_hedges(),
            services: HashMap::new(),
        }
    }

    /// Records how long a task of a service ran, and earns a share of a token.
    pub fn on_success(&mut self, service: &Service, took: Span) {
        self.budget.on_success();
        let Some(durations) = self.durations_of(service) else {
            return;
        };
        durations.current.saturating_record(took.as_millis());
        if durations.current.len() >= SAMPLES_PER_ROUND {
            durations.last_quantile = Some(quantile(&durations.current));
            durations.current.reset();
        }
    }

    /// Returns how long after its start a task of a service may be hedged; `None` while too few durations are recorded.
    pub fn delay(&self, service: &Service) -> Option<Span> {
        let durations = self.services.get(service)?;
        durations.last_quantile.or_else(|| {
            (durations.current.len() >= MIN_SAMPLES).then(|| quantile(&durations.current))
        })
    }

    /// Takes a token for a second attempt; returns whether there was one.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.budget.try_take(now)
    }

    /// Returns the durations of a service, or `None` if there are too many services.
    fn durations_of(&mut self, service: &Service) -> Option<&mut Durations> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            let current = Histogram::new_with_bounds(1, MAX_DURATION_MS, 2).ok()?;
            let durations = Durations {
                current,
                last_quantile: None,
            };
            self.services.insert(service.clone(), durations);
        }
        self.services.get_mut(service)
    }
}

fn quantile(histogram: &Histogram<u16>) -> Span {
    Span::millis(histogram.value_at_quantile(HEDGE_QUANTILE))
}
