//! The check of LOST: accepted jobs that nobody has cancelled, `finish_s` after the end of the traffic.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    thread,
    time::Duration,
};

use crate::{worker::Run, Job, Play};

/// `finish_s`.
pub const FINISH: Duration = Duration::from_secs(14);

/// How long a job may have nothing running while a task's turn has come.
const IDLE_MS: u64 = 3_000;

/// How often a job that gets no answer in time is asked for, each time at another instance.
const ASKS: usize = 3;

/// Clients that ask at the same time.
const ASKERS: usize = 8;

const UNANSWERED: &str = "no answer in time";

/// Checks the time from `begin` to `end`, in milliseconds of the record, and asks for the jobs. Returns whether the rule held.
pub fn check(play: &Play, accepted: &[Job], begin: u64, end: u64) -> bool {
    let runs = play.runs();
    let mut by_job: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        by_job
            .entry(run.task.split('.').next().unwrap_or_default())
            .or_default()
            .push(run);
    }
    let quiet = quiet_spans(&runs, play, begin, end);
    let mut waiting = 0;
    for job in accepted {
        let runs = by_job.get(job.id.as_str()).map_or(&[][..], Vec::as_slice);
        if let Some((from, to)) = idle_span(job, runs, &quiet, begin, end) {
            waiting += 1;
            play.record.add(format!(
                "LOST: nothing of {} runs from {from} to {to}, and a task's turn has come",
                job.id
            ));
        }
    }
    let states = ask(play, accepted);
    let unanswered = states.get(UNANSWERED).copied().unwrap_or(0);
    let unknown: usize = states
        .iter()
        .filter(|(state, _)| state.starts_with("410"))
        .map(|(_, count)| count)
        .sum();
    let mut starts: HashMap<&str, usize> = HashMap::new();
    for run in &runs {
        *starts.entry(&run.task).or_insert(0) += 1;
    }
    let again = starts.values().filter(|count| **count > 1).count();
    let most = starts.values().max().unwrap_or(&0);
    play.record.say(format!(
        "{} runs of {} tasks; {again} tasks ran more than once, one of them {most} times",
        runs.len(),
        starts.len()
    ));
    play.record.say(format!(
        "{} accepted jobs, asked for at the end: {states:?}",
        accepted.len()
    ));
    play.record.say(format!(
        "LOST between {begin} and {end} ms: {waiting} jobs have nothing running for {IDLE_MS} ms though a task that never ended done has \
         its turn and under half of the capacity is in use; {unanswered} get no answer in time; {unknown} aren't known"
    ));
    waiting + unanswered + unknown == 0
}

/// Asks for the state of all jobs, and counts the answers.
fn ask(play: &Play, jobs: &[Job]) -> BTreeMap<String, usize> {
    let ask_one = |job: &Job| {
        let answers = (0..ASKS).map(|n| play.state(&job.id, n));
        let answer = answers
            .flatten()
            .find(|(status, _)| *status == 200 || *status == 410);
        if answer.is_none() {
            play.record
                .add(format!("LOST: {} gets no answer in time", job.id));
        }
        answer.map_or(UNANSWERED.to_owned(), |(status, state)| {
            format!("{status} {state}")
        })
    };
    let mut states = BTreeMap::new();
    thread::scope(|scope| {
        let chunks = jobs.chunks(jobs.len().div_ceil(ASKERS).max(1));
        let askers =
            chunks.map(|jobs| scope.spawn(|| jobs.iter().map(ask_one).collect::<Vec<_>>()));
        let askers: Vec<_> = askers.collect();
        for answer in askers.into_iter().flat_map(|asker| asker.join().unwrap()) {
            *states.entry(answer).or_insert(0) += 1;
        }
    });
    states
}

/// Returns the spans from `begin` to `end` in which under half of the capacity is in use.
fn quiet_spans(runs: &[Run], play: &Play, begin: u64, end: u64) -> Vec<(u64, u64)> {
    let capacity: u64 = play.workers.iter().map(|worker| worker.capacity()).sum();
    let mut changes: BTreeMap<u64, i64> = BTreeMap::new();
    for run in runs {
        let cpu = play.room(&run.task) as i64;
        *changes.entry(run.began).or_insert(0) += cpu;
        *changes
            .entry(run.end.map_or(u64::MAX, |(at, _)| at))
            .or_insert(0) -= cpu;
    }
    let (mut spans, mut used, mut since) = (Vec::new(), 0, Some(begin));
    for (at, change) in changes {
        used += change;
        let at = at.clamp(begin, end);
        match (used as u64 * 2 < capacity, since) {
            (true, None) => since = Some(at),
            (false, Some(from)) => {
                spans.push((from, at));
                since = None;
            }
            _ => {}
        }
    }
    spans.extend(since.map(|from| (from, end)));
    spans
}

/// Returns the first span of `IDLE_MS` in which nothing of a job runs, though all tasks before one of its tasks have ended done, and
/// that task hasn't.
fn idle_span(
    job: &Job,
    runs: &[&Run],
    quiet: &[(u64, u64)],
    begin: u64,
    end: u64,
) -> Option<(u64, u64)> {
    let mut busy: Vec<(u64, u64)> = runs
        .iter()
        .map(|run| (run.began, run.end.map_or(u64::MAX, |(at, _)| at)))
        .collect();
    busy.sort_unstable();
    let (mut gaps, mut from) = (Vec::new(), 0);
    for (began, ended) in busy {
        if began > from {
            gaps.push((from, began));
        }
        from = from.max(ended);
    }
    gaps.push((from, u64::MAX));
    let is_due = |at: u64| {
        let is_done = |run: &&&Run| matches!(run.end, Some((ended, "done")) if ended <= at);
        let done: HashSet<&str> = runs
            .iter()
            .filter(is_done)
            .map(|run| run.task.as_str())
            .collect();
        let step_done = |step: usize| {
            let mut tasks =
                (0..job.steps[step].count).map(|index| format!("{}.0.{step}.{index}", job.id));
            tasks.all(|task| done.contains(task.as_str()))
        };
        let mut steps = job.steps.iter().enumerate();
        steps.any(|(n, step)| !step_done(n) && step.after.iter().all(|before| step_done(*before)))
    };
    let spans = gaps.iter().flat_map(|gap| {
        quiet
            .iter()
            .map(|quiet| (gap.0.max(quiet.0), gap.1.min(quiet.1)))
    });
    let mut spans = spans.map(|(from, to)| (from.max(begin), to.min(end)));
    spans.find(|(from, to)| to.saturating_sub(*from) >= IDLE_MS && is_due(*from))
}
