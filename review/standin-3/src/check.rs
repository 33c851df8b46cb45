//! Checks of the rules, by what workers and clients have seen.

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
