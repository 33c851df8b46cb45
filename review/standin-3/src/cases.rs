//! The cases. Each returns the breaches that it found, or why it couldn't run.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::fleet::{Fleet, Route};

pub mod foreign;
pub mod handover;
pub mod kind;
pub mod reborn;
pub mod routes;

/// What a case found: the breaches of its rule.
pub type Outcome = Result<Vec<String>, String>;

/// Submits jobs with one body side by side, each first at one of the instances `at`; returns those that were accepted.
pub fn submit_all(
    fleet: &Fleet,
    route: &Route,
    at: &[usize],
    jobs: usize,
    body: &str,
) -> Vec<String> {
    let ids: Vec<String> = (0..jobs).map(|_| fleet.new_job()).collect();
    let accepted: Vec<bool> = thread::scope(|scope| {
        let submit = |(n, id): (usize, &String)| {
            let id = id.clone();
            scope.spawn(move || fleet.submit(at[n % at.len()], route, &id, body))
        };
        let handles: Vec<_> = ids.iter().enumerate().map(submit).collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap_or(false))
            .collect()
    });
    let pairs = ids.into_iter().zip(accepted);
    pairs
        .filter(|(_, accepted)| *accepted)
        .map(|(id, _)| id)
        .collect()
}

/// Waits until all jobs have ended, for `limit` at most. Returns those that are open, with their states.
pub fn await_jobs(
    fleet: &Fleet,
    route: &Route,
    jobs: &[String],
    limit: Duration,
) -> Vec<(String, String)> {
    let until = Instant::now() + limit;
    let mut open: Vec<(String, String)> = jobs
        .iter()
        .map(|job| (job.clone(), String::new()))
        .collect();
    loop {
        let states = open.iter().enumerate().map(|(n, (job, _))| {
            let state = fleet.state(n, route, job);
            (
                job.clone(),
                state.map_or_else(|| "no answer".into(), |(_, state)| state),
            )
        });
        open = states.filter(|(_, state)| state != "completed").collect();
        if open.is_empty() || Instant::now() > until {
            return open;
        }
        thread::sleep(Duration::from_millis(500));
    }
}
