//! The speed of endpoints, learnt from the runs that end there, and the choice of an endpoint by it.
//!
//! Addresses load 1 of `docs/heavy-load.md`: endpoints of one service and rack differ in speed by their kind. A task that is long for
//! its objective is late on a slow endpoint even if it starts at once, while a short one is on time on any.
//!
//! The owner of a rack records each run that is done ([`Model::record`]), and places by the learnt factors only where these differ by
//! more than their error ([`differ`]). [`choose`] then takes the slowest endpoint on which a task will be on time.

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        VecDeque, //
    },
    fmt, //
};

use super::{
    id::keyed_hash,
    message::Listing, //
};
use crate::prelude::*;

/// The number of recent runs of a kind that count. At 28 runs a second, the rate of the rarer kind on one rack under load 1, they span 9 s.
const KIND_RUNS: usize = 256;

/// The number of recent runs on an endpoint that count. At 7 runs a second they span 9 s.
const ENDPOINT_RUNS: usize = 64;

/// The least number of runs after which the factor of a kind is known.
const MIN_KIND_RUNS: usize = 32;

/// The least number of runs after which an endpoint may count as other than its kind.
const MIN_ENDPOINT_RUNS: usize = 16;

/// The number of runs that count as one observation in [`Factor`]'s error: runs of one job share the error of its estimate, and a
/// run of load 1 has 4.4 others of its job on the mean.
const RUNS_PER_OBSERVATION: f64 = 5.0;

/// The least spread of the binary logarithms of factors that is assumed, since few runs may agree by chance. Estimates that are
/// evenly off by up to 40 % give a spread of 0.35.
const MIN_SPREAD: f64 = 0.2;

/// The standard error of a median of normally distributed values, relative to that of their mean.
const MEDIAN_ERROR: f64 = 1.2533;

/// The quartile range of normally distributed values, in standard deviations.
const QUARTILE_RANGE: f64 = 1.349;

/// The number of standard errors to each side within which a factor is assumed to lie. Two factors differ if these ranges don't
/// overlap, which happens to equal ones about once in 400 independent comparisons.
const CONFIDENCE: f64 = 2.1;

/// The factor on the error of an endpoint's own runs: many endpoints are compared with their kind. Without it, two of 28,800 checks of
/// racks of 12 alike endpoints found one that differs.
const ENDPOINT_CAUTION: f64 = 1.25;

/// The least difference of binary logarithms that counts: a factor of 1.25. Less hardly decides whether a task is on time.
const MIN_DIFFERENCE: f64 = 0.32;

/// The largest difference of binary logarithms between an endpoint and its kind that counts as its speed: a factor of 3. What
/// exceeds it is a fault of the endpoint, and passes.
const MAX_DEVIATION: f64 = 1.6;

/// The age after which a run no longer counts. An endpoint that gets no tasks since it was slow counts as one of its kind then.
const MAX_AGE: Span = Span::seconds(15);

/// How long the summary of recent runs is used before old runs are removed from it.
const SUMMARY_AGE: Span = Span::seconds(1);

/// The shortest estimate of a run that is recorded. Of a shorter run, the calls to the endpoint are a considerable part.
const MIN_ESTIMATE: Span = Span::millis(20);

/// The ratio of time taken to predicted time for which a task must have time on an endpoint while much faster capacity is idle: a
/// task takes up to 1 / 0.6 times an estimate that is 40 % too low, and 15 % more than the others of its step.
const MAX_MARGIN: f64 = 1.9;

/// The ratio of time taken to predicted time up to which a task should be on time on every kind of endpoint, or it needs a faster one:
/// estimates are off by up to 40 %.
const NEED_MARGIN: f64 = 1.4;

/// The share of idle capacity among the endpoints that are fast enough from which [`MAX_MARGIN`] applies. With less of it the margin
/// shrinks, down to none, and leaves the rest to longer tasks: in a replay of load 1 at 1.4 times its rate, 84 % of the long tasks were
/// on time with a constant margin of 1.6, and 86 % with one that shrank to 1.2.
const AMPLE_IDLE_SHARE: f64 = 0.5;

/// The number of speed classes for each doubling of the factor.
const CLASSES_PER_DOUBLING: f64 = 8.0;

/// The speed class of endpoints that take as long as estimated.
pub const UNIT_CLASS: u8 = 64;

/// The kind of an endpoint: its service and its labels, except for the name of its rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(u64);

impl Kind {
    /// Returns the kind of a listed endpoint. The order of its labels doesn't matter.
    pub fn of(listing: &Listing) -> Self {
        let labels = listing.labels.iter();
        let labels = labels.filter(|label| **label != listing.rack);
        let hashes = labels.map(|label| keyed_hash(0, label));
        let sum = hashes.fold(0, u64::wrapping_add);
        Self(keyed_hash(sum, &listing.service))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The time that runs take, relative to their estimates, and how exactly it's known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Factor {
    /// The binary logarithm of the ratio.
    log: f64,
    /// The standard error of `log`; infinite if nothing is known.
    error: f64,
}

impl Default for Factor {
    /// Returns the factor of an endpoint of which nothing is known.
    fn default() -> Self {
        Self {
            log: 0.0,
            error: f64::INFINITY,
        }
    }
}

impl Factor {
    /// Returns the time taken, relative to the estimate.
    pub fn ratio(self) -> f64 {
        self.log.exp2()
    }

    /// Returns whether anything is known.
    pub fn is_known(self) -> bool {
        self.error.is_finite()
    }

    /// Returns half the width of the range of logarithms in which it's assumed to lie.
    fn tolerance(self) -> f64 {
        (self.error * CONFIDENCE).max(MIN_DIFFERENCE / 2.0)
    }
}

impl fmt::Display for Factor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.ratio())
    }
}

/// Returns whether two of the factors differ by more than their errors and by more than a quarter.
pub fn differ(factors: impl IntoIterator<Item = Factor>) -> bool {
    let (mut highest_low, mut lowest_high) = (f64::NEG_INFINITY, f64::INFINITY);
    for factor in factors.into_iter().filter(|factor| factor.is_known()) {
        highest_low = highest_low.max(factor.log - factor.tolerance());
        lowest_high = lowest_high.min(factor.log + factor.tolerance());
    }
    highest_low > lowest_high
}

/// Returns the speed class of endpoints with a ratio of time taken to estimate; a lower class is faster.
pub fn class(ratio: f64) -> u8 {
    class_position(ratio).round() as u8
}

/// Returns the slowest class whose runs take at most `ratio` times their estimate.
pub fn slowest_class(ratio: f64) -> u8 {
    class_position(ratio).floor() as u8
}

fn class_position(ratio: f64) -> f64 {
    f64::from(UNIT_CLASS) + CLASSES_PER_DOUBLING * ratio.log2()
}

/// Returns a number that orders positive ratios, and is the same for those within a sixteenth to an eighth: their sign, exponent and first
/// three bits after the point. Unlike [`class`] it takes no logarithm, which counts where it's needed for each endpoint of a rack.
fn coarse(ratio: f64) -> u64 {
    ratio.to_bits() >> 49
}

/// Returns the speed class of the endpoint at an index of a rack's announced endpoints, of which there are `count`. Where their
/// classes aren't known, they are expected to take as long as estimated.
pub fn announced_class(classes: &[u8], count: usize, index: usize) -> u8 {
    match classes.len() == count {
        true => classes.get(index).copied().unwrap_or(UNIT_CLASS),
        false => UNIT_CLASS,
    }
}

/// The median of recent runs' factors, and its error.
#[derive(Debug, Clone, Copy)]
struct Summary {
    factor: Factor,
    runs: usize,
    at: Time,
}

/// The recent runs of an endpoint or of a kind.
#[derive(Debug, Default)]
struct Runs {
    /// When each run ended, and the binary logarithm of its factor.
    recent: VecDeque<(Time, f64)>,
    summary: Option<Summary>,
}

impl Runs {
    fn push(&mut self, log: f64, most: usize, now: Time) {
        if self.recent.len() >= most {
            self.recent.pop_front();
        }
        self.recent.push_back((now, log));
        self.summary = None;
    }

    /// Returns the summary of the runs that aren't older than `max_age`.
    fn summary(&mut self, max_age: Span, now: Time) -> Summary {
        let current = |summary: &Summary| now.since(summary.at) < SUMMARY_AGE.min(max_age);
        if let Some(summary) = self.summary.filter(current) {
            return summary;
        }
        while (self.recent.front()).is_some_and(|(ended, _)| now.since(*ended) >= max_age) {
            self.recent.pop_front();
        }
        let mut logs: Vec<f64> = self.recent.iter().map(|(_, log)| *log).collect();
        logs.sort_by(f64::total_cmp);
        let summary = Summary {
            factor: median(&logs),
            runs: logs.len(),
            at: now,
        };
        self.summary = Some(summary);
        summary
    }
}

/// Returns the median of sorted logarithms, and its error by their quartiles: a few runs that take a multiple of their time change
/// neither.
fn median(logs: &[f64]) -> Factor {
    let at = |share: usize| logs.get(logs.len() * share / 4);
    let (Some(low), Some(middle), Some(high)) = (at(1), at(2), at(3)) else {
        return Factor::default();
    };
    let spread = ((high - low) / QUARTILE_RANGE).max(MIN_SPREAD);
    let observations = (logs.len() as f64 / RUNS_PER_OBSERVATION).max(1.0);
    Factor {
        log: *middle,
        error: MEDIAN_ERROR * spread / observations.sqrt(),
    }
}

/// What an owner has learnt about the speed of endpoints.
#[derive(Debug)]
pub struct Model {
    endpoints: HashMap<Endpoint, Runs>,
    kinds: HashMap<Kind, Runs>,
    max_age: Span,
}

impl Default for Model {
    fn default() -> Self {
        Self::with_max_age(MAX_AGE)
    }
}

impl Model {
    /// Returns a model that has learnt nothing, and to which runs count until they are of the given age.
    pub fn with_max_age(max_age: Span) -> Self {
        Self {
            endpoints: HashMap::new(),
            kinds: HashMap::new(),
            max_age,
        }
    }

    /// Records that a run is done, and how long it took from the order to start it. Ignores runs with too short an estimate.
    pub fn record(
        &mut self,
        endpoint: &Endpoint,
        kind: Kind,
        estimate: Span,
        took: Span,
        now: Time,
    ) {
        if estimate < MIN_ESTIMATE {
            return;
        }
        let log = (took.0.max(1) as f64 / estimate.0 as f64).log2();
        let kind = self.kinds.entry(kind).or_default();
        kind.push(log, KIND_RUNS, now);
        match self.endpoints.get_mut(endpoint) {
            Some(runs) => runs.push(log, ENDPOINT_RUNS, now),
            None => {
                let runs = self.endpoints.entry(endpoint.clone()).or_default();
                runs.push(log, ENDPOINT_RUNS, now);
            }
        }
    }

    /// Discards what was learnt about an endpoint that has restarted or is gone. What it showed of its kind stays.
    pub fn forget(&mut self, endpoint: &Endpoint) {
        self.endpoints.remove(endpoint);
    }

    /// Returns the factor of a kind.
    pub fn kind_factor(&mut self, kind: Kind, now: Time) -> Factor {
        let max_age = self.max_age;
        let runs = self.kinds.get_mut(&kind);
        let summary = runs.map(|runs| runs.summary(max_age, now));
        let summary = summary.filter(|kind| kind.runs >= MIN_KIND_RUNS);
        summary.map_or_else(Factor::default, |kind| kind.factor)
    }

    /// Returns the factor of an endpoint: that of its kind, unless the endpoint's own runs differ from it.
    pub fn factor(&mut self, endpoint: &Endpoint, kind: Kind, now: Time) -> Factor {
        let max_age = self.max_age;
        let kind = self.kind_factor(kind, now);
        if !kind.is_known() {
            return kind;
        }
        let own = self.endpoints.get_mut(endpoint);
        let own = own.map(|runs| runs.summary(max_age, now));
        let own = own.filter(|own| own.runs >= MIN_ENDPOINT_RUNS);
        let own = own.map(|own| Factor {
            log: (own.factor.log).clamp(kind.log - MAX_DEVIATION, kind.log + MAX_DEVIATION),
            error: own.factor.error * ENDPOINT_CAUTION,
        });
        own.filter(|own| differ([*own, kind])).unwrap_or(kind)
    }

    /// Removes the kinds of which no recent run is known.
    pub fn remove_outdated(&mut self, now: Time) {
        let max_age = self.max_age;
        let is_recent = |runs: &Runs| {
            let last = runs.recent.back();
            last.is_some_and(|(ended, _)| now.since(*ended) < max_age)
        };
        self.kinds.retain(|_, runs| is_recent(runs));
        self.endpoints.retain(|_, runs| is_recent(runs));
    }
}

/// The time limits of a task that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// The estimate of its duration.
    pub estimate: Span,
    /// The time until it's late.
    pub time_left: Span,
}

impl Demand {
    /// Returns how long the task is expected to take with a ratio of time taken to estimate.
    pub fn duration(&self, ratio: f64) -> Span {
        Span((self.estimate.0 as f64 * ratio) as u64)
    }

    /// Returns the largest ratio of time taken to estimate with which the task is on time if it starts now: by the estimate alone, and
    /// with the largest margin.
    pub fn limits(&self) -> (f64, f64) {
        let limit = self.time_left.0 as f64 / self.estimate.0.max(1) as f64;
        (limit, limit / MAX_MARGIN)
    }

    /// Returns whether the task is likely to be late on an endpoint with ratio `slowest`, and on time with `fastest`.
    pub fn needs_speed(&self, fastest: f64, slowest: f64) -> bool {
        let (limit, _) = self.limits();
        fastest <= limit && slowest * NEED_MARGIN > limit
    }

    /// Returns the largest ratio with which the task is on time, with the margin for a share of idle capacity among the endpoints
    /// that are fast enough.
    fn limit(&self, idle_share: f64) -> f64 {
        let idle = (idle_share / AMPLE_IDLE_SHARE).clamp(0.0, 1.0);
        let margin = 1.0 + (MAX_MARGIN - 1.0) * idle;
        self.limits().0 / margin
    }
}

/// An endpoint with room for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<T> {
    /// The endpoint.
    pub endpoint: T,
    /// The time that runs take there, relative to their estimates.
    pub ratio: f64,
    /// Its free processor time, in thousandths of a core.
    pub free: u64,
}

/// A busy endpoint on which a task could start later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Opening<T> {
    /// The endpoint.
    pub endpoint: T,
    /// The time that runs take there, relative to their estimates.
    pub ratio: f64,
    /// The time until it's expected to have room.
    pub opens_in: Span,
}

/// Where a task goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice<T> {
    /// It starts on this endpoint.
    Start(T),
    /// It waits for this endpoint, where it will end sooner than on any with room.
    Wait(T),
}

impl<T> Choice<T> {
    /// Returns the endpoint on which the task starts now, or `None` if it waits.
    pub fn start(self) -> Option<T> {
        match self {
            Self::Start(endpoint) => Some(endpoint),
            Self::Wait(_) => None,
        }
    }

    /// Converts the endpoint.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Choice<U> {
        match self {
            Self::Start(endpoint) => Choice::Start(convert(endpoint)),
            Self::Wait(endpoint) => Choice::Wait(convert(endpoint)),
        }
    }
}

/// Chooses an endpoint for a task where speeds differ; `None` if none has room. `idle_share` is the share of idle capacity among the
/// endpoints that are fast enough for the task (see [`Demand::limits`]): the less of it there is, the smaller the margin with which
/// a slower endpoint is good enough.
///
/// Takes the slowest endpoint on which the task will be on time, and otherwise the one on which it will end soonest. Among endpoints of
/// one speed class it takes the best fit.
pub fn choose<T: Copy>(
    candidates: &[Candidate<T>],
    openings: impl IntoIterator<Item = Opening<T>>,
    demand: &Demand,
    idle_share: f64,
) -> Option<Choice<T>> {
    let limit = demand.limit(idle_share);
    let on_time = candidates
        .iter()
        .filter(|candidate| candidate.ratio <= limit);
    let slowest = on_time.min_by_key(|c| (Reverse(coarse(c.ratio)), c.free));
    if let Some(slowest) = slowest {
        return Some(Choice::Start(slowest.endpoint));
    }
    let fastest = candidates
        .iter()
        .min_by_key(|c| (coarse(c.ratio), c.free))?;
    let end = |opening: &Opening<T>| opening.opens_in + demand.duration(opening.ratio);
    let faster = openings.into_iter();
    let faster = faster.filter(|opening| opening.ratio < fastest.ratio);
    let soonest = faster.min_by_key(&end);
    let sooner = soonest.filter(|opening| end(opening) < demand.duration(fastest.ratio));
    Some(match sooner {
        Some(opening) => Choice::Wait(opening.endpoint),
        None => Choice::Start(fastest.endpoint),
    })
}
