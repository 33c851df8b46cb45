//! The check of TWICE for stored jobs: starts after a run has ended done.

use std::collections::HashMap;

use crate::{record::show_task, worker::Run, Play};

/// Looks for starts of tasks of stored jobs after a run of the same task had ended done, if that end was taken note of, and no lease
/// of the worker lapsed in between. Returns whether the rule held.
pub fn check(play: &Play) -> bool {
    let runs: Vec<Run> = play
        .runs()
        .into_iter()
        .filter(|run| play.is_stored(&run.task))
        .collect();
    let mut done: HashMap<&str, &Run> = HashMap::new();
    let is_noted = |run: &&Run| run.noted.is_some() && matches!(run.end, Some((_, "done")));
    for run in runs.iter().filter(is_noted) {
        let first = done.entry(&run.task).or_insert(run);
        if run.end < first.end {
            *first = run;
        }
    }
    let mut starts = 0;
    for run in &runs {
        let Some(first) = done.get(run.task.as_str()) else {
            continue;
        };
        let (Some((ended, _)), Some(noted)) = (first.end, first.noted) else {
            continue;
        };
        if run.began > ended {
            starts += 1;
            play.record.add(format!(
                "TWICE: run {} of {} ended done on {} at {ended}, taken note of at {noted}; run {} began on {} at {}",
                first.run, show_task(&run.task), first.worker, run.run, run.worker, run.began
            ));
        }
    }
    let count = runs.len();
    play.record.say(format!(
        "{count} runs of stored jobs; {starts} starts of tasks that were done already, TWICE"
    ));
    starts == 0
}
