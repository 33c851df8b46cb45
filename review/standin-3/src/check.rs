//! Checks of the rules, by what workers and clients have seen.

use std::collections::BTreeMap;

use crate::worker::Run;

/// Returns the starts on a worker without the label that the job asks for.
pub fn route(runs: &[Run]) -> Vec<String> {
    let wrong = runs
        .iter()
        .filter(|run| !run.label.is_empty() && run.label != run.kind);
    let line = |run: &Run| {
        format!(
            "{}: run {} asks for {} and started at {} ms on {}, kind {}",
            run.task, run.run, run.label, run.started, run.worker, run.kind
        )
    };
    wrong.map(line).collect()
}

/// Returns the breaches of TWICE: two runs of a task at the same time, on workers that are up, or a start after a run has ended `done`
/// whose end is taken note of, unless the worker's lease lapsed between the two.
pub fn twice(runs: &[Run]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut breaches = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started);
        for (i, earlier) in runs.iter().enumerate() {
            for later in &runs[i + 1..] {
                let kind = if earlier.ended.is_none_or(|ended| later.started < ended) {
                    "at the same time"
                } else if earlier.how == "done"
                    && earlier.noted.is_some()
                    && !earlier.lapsed_between
                {
                    "after its end was taken note of"
                } else {
                    continue;
                };
                breaches.push(format!(
                    "{task}: run {} on {} from {} to {} ms ({}), and {kind} run {} on {} from {} to {} ms ({})",
                    earlier.run,
                    earlier.worker,
                    earlier.started,
                    earlier.ended.unwrap_or(0),
                    earlier.how,
                    later.run,
                    later.worker,
                    later.started,
                    later.ended.unwrap_or(0),
                    later.how
                ));
            }
        }
    }
    breaches
}
