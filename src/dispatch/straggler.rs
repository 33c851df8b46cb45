//! Endpoints that have become much slower than others of their kind, and the decision whether a run is moved away from one.
//!
//! Addresses load 2 of `docs/heavy-load.md`: 15 % of the endpoints become eight times slower for 6.5 s, and answer all calls as before.
//!
//! The owner compares the pace of each run with the [`Norm`] of the endpoint's kind, and with the run's own pace before. The pace
//! comes from the rises of its percentage between polls, so that an endpoint that reports rarely is no evidence, and from its end.
//! Some tasks take several times their estimate on any endpoint. So an endpoint counts as slow only by evidence from several runs,
//! or if its only run has lost its former pace.

use std::{
    fmt,
    str::FromStr, //
};

use super::{
    id::JobId,
    progress::MAX_RESTARTS, //
};
use crate::prelude::*;

/// How many times longer than expected a run takes at least if it counts as slow. Estimates that are off by 40 % and tasks of a step
/// that are uneven by 15 % explain a ratio of 1.6.
const SLOW_RATIO: f64 = 2.5;

/// How many times longer than expected a run takes at most if it proves that its endpoint has normal speed.
const NORMAL_RATIO: f64 = 1.7;

/// The bounds of a slowdown. Above the upper one, the decisions are the same.
const MAX_SLOWDOWN: Slowdown = Slowdown(16_000);

/// The shortest time over which a pace is measured: many times the jitter of a poll's answer.
const MIN_WINDOW: Span = Span::millis(30);

/// The longest time over which a pace is measured, besides a quarter of the estimate. It covers two polls.
const MAX_WINDOW: Span = Span::millis(240);

/// Time past its expected multiple after which a run without reports is overdue, whatever its estimate: starts and ends may be
/// heard late by as much.
const OVERDUE_MARGIN: Span = Span::millis(100);

/// How long a slow run counts as evidence: nine polls, or a few short runs one after the other.
const SLOW_EVIDENCE_AGE: Span = Span::millis(1_000);

/// How long a run of normal pace counts as evidence against slow ones beside it: until the next poll has listed it again.
const NORMAL_EVIDENCE_AGE: Span = Span::millis(200);

/// The number of recent slow ends that are kept.
const MAX_SLOW_ENDS: usize = 4;

/// The number of ends after which the norm of a kind is known.
const MIN_ENDS: u32 = 8;

/// The change of the norm's logarithm (base 2) with each end. A rack of eight endpoints has about 60 ends a second, so that the norm
/// follows a change of all its endpoints by a factor of two within a second, while a minority of slow ones hardly moves it.
const NORM_STEP: f64 = 0.03;

/// The run time over which the share of long runs is averaged: some seconds of a rack's runs.
const LONG_SHARE_WINDOW: Span = Span::seconds(30);

/// The share of long runs that is assumed until runs have ended.
const INITIAL_LONG_SHARE: f64 = 0.03;

/// The largest probability that all runs on an endpoint are long by nature while it counts as slow. In a simulated load in which 3 %
/// of the tasks take seven times as long, 0.01 had 18 sound endpoints found slow in 1,660 s of endpoint time.
const MAX_COINCIDENCE: f64 = 0.0025;

/// The bounds of the number of slow runs that are evidence, of as many jobs.
const SLOW_RUNS: (usize, usize) = (2, 4);

/// How many windows in a row show that the only run on an endpoint has lost its pace.
const LONE_WINDOWS: u8 = 2;

/// The first and the longest time without evidence after which a slow endpoint is tried again. It doubles with each trial that
/// shows the endpoint still slow.
const TRIAL_INTERVAL: (Span, Span) = (Span::millis(1_000), Span::seconds(2));

/// The slack that the task of a trial has: two polls to find it slow, and its stop.
const TRIAL_SLACK: Span = Span::millis(300);

/// Time without evidence after which an endpoint no longer counts as slow.
const FORGET_AFTER: Span = Span::seconds(10);

/// The time from the stop of a run to its next start: a call, the stop, and the poll that lists the end.
const RESTART_DELAY: Span = Span::millis(60);

/// The share of the time left on the slow endpoint that a moved run may take elsewhere. The rest covers estimates that are off.
const MAX_MOVE_SHARE: f64 = 0.6;

/// From this percentage on, a run isn't moved: the work done would be lost for a small gain.
const NEARLY_DONE_PERCENT: u8 = 75;

/// How many times slower an endpoint is than its kind, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    /// The slowdown of an endpoint that isn't known to be slow.
    pub const NONE: Self = Self(1_000);

    /// Returns the nearest slowdown to a ratio, between 1 and 16.
    fn from_ratio(ratio: f64) -> Self {
        Self((ratio * 1_000.0) as u32).clamp(Self::NONE, MAX_SLOWDOWN)
    }

    /// Returns it as a factor of times.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.factor())
    }
}

impl FromStr for Slowdown {
    type Err = crate::id::ParseError;

    /// Parses a decimal number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let ratio = text.trim().parse();
        ratio
            .map(Self::from_ratio)
            .map_err(|_| crate::id::ParseError::Number)
    }
}

/// How long the runs of a kind take at this owner, compared with their estimates.
#[derive(Debug, Clone, Copy)]
pub struct Norm {
    ends: u32,
    /// The logarithm (base 2) of the median of time taken over estimate.
    median_log: f64,
    /// The share of run time that belongs to runs that are long by nature.
    long_share: f64,
}

impl Default for Norm {
    fn default() -> Self {
        Self {
            ends: 0,
            median_log: 0.0,
            long_share: INITIAL_LONG_SHARE,
        }
    }
}

impl Norm {
    /// Records a run that is done.
    ///
    /// Runs on slow endpoints count too, so that the norm follows if the whole kind changes. They are few, since they take long, and
    /// don't move the median.
    pub fn record(&mut self, end: RunTime) {
        let log = end.ratio().log2();
        if let Some(factor) = self.factor().filter(|_| end.is_sound) {
            let weight = end.took.0 as f64 / (end.took + LONG_SHARE_WINDOW).0 as f64;
            let is_long = end.ratio() >= SLOW_RATIO * factor;
            self.long_share += weight * (f64::from(u8::from(is_long)) - self.long_share);
        }
        self.ends = self.ends.saturating_add(1);
        if self.ends == 1 {
            self.median_log = log;
        }
        let step = NORM_STEP.max(0.5 / f64::from(self.ends));
        self.median_log += (log - self.median_log).clamp(-step, step);
    }

    /// Returns the median of time taken over estimate, once enough runs have ended.
    fn factor(&self) -> Option<f64> {
        (self.ends >= MIN_ENDS).then(|| self.median_log.exp2())
    }

    /// Returns how many slow runs are evidence of a slow endpoint: so many that they are hardly all long by nature.
    fn required_runs(&self) -> usize {
        let (least, most) = SLOW_RUNS;
        let coincidence = |runs: &usize| self.long_share.powi(*runs as i32) <= MAX_COINCIDENCE;
        (least..most).find(coincidence).unwrap_or(most)
    }
}

/// How long a run took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    estimate: Span,
    took: Span,
    /// Whether it is certain that it hasn't taken longer because of its endpoint.
    is_sound: bool,
}

impl RunTime {
    fn ratio(&self) -> f64 {
        self.took.0.max(1) as f64 / self.estimate.0.max(1) as f64
    }
}

/// What the last measurement says about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// Nothing.
    Unknown,
    /// It has the pace of its kind.
    Normal,
    /// It is slow, and never was faster.
    Slow,
    /// It has lost its former pace. Counts the measurements in a row that show it.
    Dropped(u8),
}

impl Verdict {
    fn is_slow(self) -> bool {
        matches!(self, Self::Slow | Self::Dropped(_))
    }
}

/// The pace of a run. Factors are time taken over estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    estimate: Span,
    /// When it was started, if this owner started it.
    started: Option<Time>,
    /// Since when the present pace is measured, and the percentage then.
    since: Option<(Time, u8)>,
    /// The lowest factor of a measurement that didn't find it slow.
    own: Option<f64>,
    verdict: Verdict,
    /// The factor of the last measurement, and how many times slower than expected that was.
    measured: Option<(f64, f64)>,
    /// When the last measurement began and ended.
    judged: (Time, Time),
}

/// A report of a run's progress.
#[derive(Debug, Clone, Copy)]
enum Report {
    /// An endpoint lists it with a percentage.
    Listed(u8),
    /// It is done.
    Done,
}

impl Pace {
    /// Returns the pace of a run that isn't known to have started.
    pub fn new(estimate: Span) -> Self {
        Self {
            estimate: estimate.max(Span::millis(1)),
            started: None,
            since: None,
            own: None,
            verdict: Verdict::Unknown,
            measured: None,
            judged: Default::default(),
        }
    }

    /// Records the confirmation of its start.
    pub fn start(&mut self, now: Time) {
        self.started = Some(now);
        self.since = Some((now, 0));
    }

    /// Measures the pace up to a report, if that is conclusive. The run may be ahead of a reported percentage by up to `step`.
    fn measure(&mut self, report: Report, step: u8, norm: &Norm, now: Time) {
        let (percent, step_after) = match report {
            Report::Listed(percent) => (percent, step),
            Report::Done => (100, 0),
        };
        let Some((since, before)) = self.since else {
            self.since = Some((now, percent));
            return;
        };
        let took = now.since(since);
        if percent <= before || took < MIN_WINDOW {
            return;
        }
        let step_before = if self.started == Some(since) { 0 } else { step };
        let rise = f64::from(percent - before);
        let factor = |percent: f64| match percent > 0.0 {
            true => took.0 as f64 * 100.0 / (percent * self.estimate.0 as f64),
            false => f64::INFINITY,
        };
        let (least, most) = (
            factor(rise + f64::from(step_after)),
            factor(rise - f64::from(step_before)),
        );
        let middle = factor(rise);
        let kind = norm.factor();
        let was_normal = |own: &f64| kind.is_none_or(|kind| *own <= NORMAL_RATIO * kind);
        let own = self.own.filter(was_normal);
        let is_below_kind = kind.is_none_or(|kind| middle > NORMAL_RATIO * kind);
        let lost = own.filter(|own| is_below_kind && least >= SLOW_RATIO * own);
        let slow = kind.filter(|kind| least >= SLOW_RATIO * kind);
        let is_normal = kind
            .or(own)
            .is_some_and(|usual| most <= NORMAL_RATIO * usual);
        let is_precise = kind.is_none() && most <= NORMAL_RATIO * least;
        let (verdict, ratio) = match (lost, slow, self.verdict) {
            (Some(own), _, Verdict::Dropped(windows)) => {
                (Verdict::Dropped(windows.saturating_add(1)), middle / own)
            }
            (Some(own), ..) => (Verdict::Dropped(1), middle / own),
            (None, Some(kind), _) => (Verdict::Slow, middle / kind),
            _ if is_normal => (Verdict::Normal, 1.0),
            _ if is_precise || took >= MAX_WINDOW + Span(self.estimate.0 / 4) => {
                (Verdict::Unknown, 1.0)
            }
            // A longer measurement is more precise.
            _ => return,
        };
        if !verdict.is_slow() {
            self.own = Some(self.own.map_or(middle, |own| own.min(middle)));
        }
        self.verdict = verdict;
        self.measured = Some((middle, ratio));
        self.judged = (since, now);
        self.since = Some((now, percent));
    }

    /// Finds a run slow that is overdue, and of which no pace could be measured.
    fn check_overdue(&mut self, norm: &Norm, now: Time) {
        let (Some(started), Some(kind)) = (self.started, norm.factor()) else {
            return;
        };
        let took = now.since(started);
        let expected = self.estimate.0 as f64 * kind;
        let limit = Span((expected * SLOW_RATIO) as u64) + OVERDUE_MARGIN;
        if took > limit && self.since == Some((started, 0)) {
            let ratio = took.0 as f64 / expected;
            self.verdict = Verdict::Slow;
            self.measured = Some((ratio * kind, ratio));
            self.judged = (started, now);
        }
    }

    /// Returns the time that the run needs to its end here, and from its start on an endpoint of normal speed.
    fn project(&self, slowdown: Slowdown, norm: &Norm, now: Time) -> Projection {
        let slowdown = slowdown.factor();
        let own = self.own.or(norm.factor()).unwrap_or(1.0);
        let (here, elsewhere) = match (self.verdict, self.measured) {
            (Verdict::Dropped(_), Some((factor, _))) => (factor, own),
            // A run that is long by nature is as long elsewhere.
            (Verdict::Slow, Some((factor, _))) => (factor, factor / slowdown),
            _ => (own * slowdown, own),
        };
        let estimate = self.estimate.0 as f64;
        let (since, percent) = self.since.unwrap_or((now, 0));
        let left = here * estimate * f64::from(100 - percent.min(100)) / 100.0;
        Projection {
            percent,
            left: Span(left as u64) - now.since(since),
            anew: Span((elsewhere * estimate) as u64),
        }
    }
}

/// The time that a run on a slow endpoint still needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Projection {
    /// Its percentage as last reported.
    pub percent: u8,
    /// The time to its end on the slow endpoint.
    pub left: Span,
    /// The time that it takes from its start on an endpoint of normal speed.
    pub anew: Span,
}

/// The bounds on the runs of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// The number of failed runs after which its job fails.
    pub attempts: u32,
    /// The number of its failed runs.
    pub failures: u32,
    /// How often a run of it was stopped so that it starts elsewhere.
    pub restarts: u32,
}

impl Projection {
    /// Returns whether the run is to be stopped, so that its task starts on another endpoint, which has free capacity for it now.
    /// `time_left` is the time until the task must end for its job to be on time.
    ///
    /// A run that is on time here isn't moved, although it would end sooner elsewhere: its work here would be done twice.
    pub fn pays_to_move(&self, time_left: Span, allowance: Allowance) -> bool {
        let Allowance {
            attempts,
            failures,
            restarts,
        } = allowance;
        let elsewhere = (RESTART_DELAY + self.anew).0 as f64;
        failures + restarts + 1 < attempts
            && restarts < MAX_RESTARTS
            && self.percent < NEARLY_DONE_PERCENT
            && self.left > time_left
            && elsewhere <= self.left.0 as f64 * MAX_MOVE_SHARE
    }
}

/// The order in which endpoints with free capacity get a task, as far as their slowness decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preference {
    /// It was slow and is tried again.
    Trial,
    /// It isn't known to be slow, or the task is on time there all the same.
    Usual,
    /// The task would be late there.
    Late,
}

/// A change of what is known about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is slow.
    Slow(Slowdown),
    /// A run shows that it has normal speed again.
    Recovered,
    /// It hasn't run anything for so long that it counts as normal.
    Forgotten,
}

/// A slow run that has ended.
#[derive(Debug, Clone, Copy)]
struct SlowEnd {
    job: JobId,
    pace: Pace,
}

/// What is known about a slow endpoint.
#[derive(Debug, Clone, Copy)]
struct Finding {
    slowdown: Slowdown,
    /// When it was found slow.
    since: Time,
    /// When a run last showed it slow.
    seen_at: Time,
    /// When it may be tried again, and the time without evidence that this takes.
    trial_at: Time,
    trial_interval: Span,
}

/// Finds out whether an endpoint is slow, from the progress and the ends of its runs.
#[derive(Debug, Default)]
pub struct Detector {
    /// The norm of its kind, as of the last poll.
    norm: Norm,
    /// The smallest rise of a percentage between two polls: how far a run may be ahead of its reported percentage.
    step: Option<u8>,
    /// When a run last showed normal speed.
    normal_at: Time,
    slow_ends: Vec<SlowEnd>,
    /// Runs that are done and that the kind's norm doesn't include yet.
    run_times: Vec<RunTime>,
    finding: Option<Finding>,
}

impl Detector {
    /// Sets the norm of the endpoint's kind.
    pub fn set_norm(&mut self, norm: Norm) {
        self.norm = norm;
    }

    /// Returns the runs that are done since the last call, for the kind's norm.
    pub fn take_run_times(&mut self) -> Vec<RunTime> {
        std::mem::take(&mut self.run_times)
    }

    /// Returns how many times slower than its kind the endpoint is.
    pub fn slowdown(&self) -> Slowdown {
        self.finding
            .map_or(Slowdown::NONE, |finding| finding.slowdown)
    }

    /// Returns the preference for a task that has to start by `due` to be on time. `is_idle` tells whether nothing runs there.
    pub fn preference(&self, estimate: Span, due: Time, is_idle: bool, now: Time) -> Preference {
        let Some(finding) = self.finding else {
            return Preference::Usual;
        };
        if is_idle && now >= finding.trial_at && now + TRIAL_SLACK <= due {
            return Preference::Trial;
        }
        let time = Span((estimate.0 as f64 * finding.slowdown.factor()) as u64);
        match now + time <= due + estimate {
            true => Preference::Usual,
            false => Preference::Late,
        }
    }

    /// Returns the time that a run here still needs, or `None` if it isn't certain that it is slow.
    ///
    /// A run that hasn't been measured may be a trial. It is certainly slow only if another one has just shown that the endpoint is.
    pub fn project(&self, pace: &Pace, now: Time) -> Option<Projection> {
        let finding = self.finding?;
        let is_normal = pace.verdict == Verdict::Normal && pace.judged.0 >= finding.since;
        let is_current = now.since(finding.seen_at) <= NORMAL_EVIDENCE_AGE;
        let is_slow = pace.verdict.is_slow() || (is_current && !is_normal);
        is_slow.then(|| pace.project(finding.slowdown, &self.norm, now))
    }

    /// Records the listing of a run, with its percentage if the endpoint reports one.
    pub fn on_listed(&mut self, pace: &mut Pace, percent: Option<u8>, now: Time) {
        if let Some(percent) = percent.map(|percent| percent.min(99)) {
            let rise = pace
                .since
                .map_or(0, |(_, before)| percent.saturating_sub(before));
            if rise > 0 {
                self.step = Some(self.step.map_or(rise, |step| step.min(rise)));
            }
            pace.measure(Report::Listed(percent), self.step(), &self.norm, now);
        }
        pace.check_overdue(&self.norm, now);
        self.note_normal(pace, now);
    }

    /// Records a run that is done.
    pub fn on_done(&mut self, job: JobId, mut pace: Pace, now: Time) {
        if let Some(started) = pace.started {
            pace.measure(Report::Done, self.step(), &self.norm, now);
            pace.check_overdue(&self.norm, now);
            // A slow run is long by nature if its endpoint had normal speed for another one meanwhile.
            let is_sound = match pace.verdict {
                Verdict::Slow => self.normal_at > started,
                Verdict::Dropped(_) => false,
                _ => true,
            };
            self.run_times.push(RunTime {
                estimate: pace.estimate,
                took: now.since(started),
                is_sound: is_sound && self.finding.is_none(),
            });
        } else {
            pace.measure(Report::Done, self.step(), &self.norm, now);
        }
        self.note_normal(&pace, now);
        if pace.verdict.is_slow() && pace.judged.1 == now {
            if self.slow_ends.len() == MAX_SLOW_ENDS {
                self.slow_ends.remove(0);
            }
            self.slow_ends.push(SlowEnd { job, pace });
        }
    }

    /// Returns by how much a run may be ahead of its percentage: any amount on an endpoint that never reported progress.
    fn step(&self) -> u8 {
        self.step.unwrap_or(100)
    }

    /// Records a measurement that shows normal speed.
    fn note_normal(&mut self, pace: &Pace, now: Time) {
        let is_new = pace.verdict == Verdict::Normal && pace.judged.1 == now;
        let since = self.finding.map_or(Time::default(), |f| f.since);
        // A measurement that began before the endpoint became slow says nothing about its speed now.
        if is_new && pace.judged.0 >= since {
            self.normal_at = now;
            self.slow_ends.clear();
        }
    }

    /// Weighs the evidence after a poll, given the runs on the endpoint with their jobs. Returns the change, if there is one.
    pub fn review<'a>(
        &mut self,
        runs: impl Iterator<Item = (JobId, &'a Pace)> + Clone,
        now: Time,
    ) -> Option<Change> {
        if let Some(finding) = self.finding {
            return self.review_finding(finding, runs, now);
        }
        if self.slow_ends.is_empty() && !runs.clone().any(|(_, pace)| pace.verdict.is_slow()) {
            return None;
        }
        let evidence = self.slow_evidence(runs.clone(), now);
        let is_normal = |pace: &Pace| {
            pace.verdict == Verdict::Normal && now.since(pace.judged.1) <= NORMAL_EVIDENCE_AGE
        };
        let normal = runs.clone().filter(|(_, pace)| is_normal(pace)).count();
        if evidence.len() <= normal {
            return None;
        }
        let lost = |pace: &Pace| matches!(pace.verdict, Verdict::Dropped(_));
        let any_lost = evidence.iter().any(|(_, pace)| lost(pace));
        let mut jobs: Vec<JobId> = evidence.iter().map(|(job, _)| *job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let is_slow = (any_lost && evidence.len() >= SLOW_RUNS.0)
            || jobs.len() >= self.norm.required_runs()
            || lone_run_lost_pace(runs);
        if !is_slow {
            return None;
        }
        let slowdown = median_slowdown(&evidence)?;
        self.finding = Some(Finding {
            slowdown,
            since: now,
            seen_at: now,
            trial_at: now + TRIAL_INTERVAL.0,
            trial_interval: TRIAL_INTERVAL.0,
        });
        Some(Change::Slow(slowdown))
    }

    /// Weighs the evidence about an endpoint that was found slow.
    fn review_finding<'a>(
        &mut self,
        mut finding: Finding,
        runs: impl Iterator<Item = (JobId, &'a Pace)> + Clone,
        now: Time,
    ) -> Option<Change> {
        if self.normal_at > finding.since {
            self.finding = None;
            return Some(Change::Recovered);
        }
        if now.since(finding.seen_at) > FORGET_AFTER {
            self.finding = None;
            return Some(Change::Forgotten);
        }
        let mut evidence = self.slow_evidence(runs, now);
        evidence.retain(|(_, pace)| pace.judged.1 > finding.seen_at);
        if let Some(slowdown) = median_slowdown(&evidence) {
            if now >= finding.trial_at {
                finding.trial_interval = finding.trial_interval.times(2).min(TRIAL_INTERVAL.1);
            }
            finding.slowdown = slowdown;
            finding.seen_at = now;
            finding.trial_at = now + finding.trial_interval;
            self.finding = Some(finding);
        }
        None
    }

    /// Returns the runs that recently were found slow.
    ///
    /// One that was slow from its start while another run had normal speed is long by nature, and no evidence.
    fn slow_evidence<'a>(
        &self,
        runs: impl Iterator<Item = (JobId, &'a Pace)>,
        now: Time,
    ) -> Vec<(JobId, Pace)> {
        let ended = self.slow_ends.iter().map(|end| (end.job, end.pace));
        let all = runs.map(|(job, pace)| (job, *pace)).chain(ended);
        let counts = |(_, pace): &(JobId, Pace)| {
            let (began, judged_at) = pace.judged;
            let slow_since = match pace.verdict {
                Verdict::Slow => pace.started.unwrap_or(began),
                Verdict::Dropped(_) => judged_at,
                _ => return false,
            };
            slow_since >= self.normal_at && now.since(judged_at) <= SLOW_EVIDENCE_AGE
        };
        all.filter(counts).collect()
    }
}

/// Returns whether the only run on an endpoint has lost its former pace.
fn lone_run_lost_pace<'a>(mut runs: impl Iterator<Item = (JobId, &'a Pace)>) -> bool {
    let lost = |pace: &Pace| matches!(pace.verdict, Verdict::Dropped(n) if n >= LONE_WINDOWS);
    match (runs.next(), runs.next()) {
        (Some((_, pace)), None) => lost(pace),
        _ => false,
    }
}

/// Returns the median slowdown of slow runs, the lower one of two.
fn median_slowdown(evidence: &[(JobId, Pace)]) -> Option<Slowdown> {
    let measured = evidence.iter().filter_map(|(_, pace)| pace.measured);
    let mut slowdowns: Vec<Slowdown> = measured
        .map(|(_, ratio)| Slowdown::from_ratio(ratio))
        .collect();
    slowdowns.sort_unstable();
    slowdowns
        .get(slowdowns.len().saturating_sub(1) / 2)
        .copied()
}
