//! Small jobs come all the time. One of the jobs is large: 210 tasks in three stages, each task with its data on a rack of its own.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{lost, rack, Job, Play, Step};

/// The small jobs: a few clients that send one each `PAUSE`.
const CLIENTS: u64 = 8;
const JOBS_PER_CLIENT: u64 = 120;
const PAUSE: Duration = Duration::from_millis(200);

/// When the large job is sent, and how often at most: it's sent again after no answer, 502 or 504.
const LARGE_AT: Duration = Duration::from_secs(6);
const LARGE_SENDS: usize = 4;
const RETRY: Duration = Duration::from_millis(1_300);

/// The stages of the large job, and the tasks in each.
const STAGES: usize = 3;
const WIDTH: usize = 70;

/// How long the jobs are watched after `lost::FINISH`.
const WATCH: Duration = Duration::from_secs(5);

pub fn play(play: &Play) -> Result<bool, String> {
    let mut accepted = Vec::new();
    thread::scope(|scope| {
        let clients = (0..CLIENTS).map(|client| scope.spawn(move || send_small_jobs(play, client)));
        let clients: Vec<_> = clients.collect();
        let large = play.trouble.then(|| scope.spawn(|| send_large_job(play)));
        for client in clients {
            accepted.extend(client.join().unwrap());
        }
        if let Some(large) = large {
            accepted.extend(large.join().unwrap());
        }
    });
    play.record.say(format!(
        "the traffic ends; {} jobs are accepted",
        accepted.len()
    ));
    thread::sleep(lost::FINISH);
    let begin = play.record.now();
    thread::sleep(WATCH);
    let end = play.record.now();
    play.record.say(format!(
        "transactions that the store refused as too large: {}",
        play.store.refused()
    ));
    Ok(lost::check(play, &accepted, begin, end))
}

/// Sends the jobs of one client; returns those that were accepted.
fn send_small_jobs(play: &Play, client: u64) -> Vec<Job> {
    let begin = Instant::now();
    let mut accepted = Vec::new();
    for n in 0..JOBS_PER_CLIENT {
        thread::sleep((PAUSE * n as u32).saturating_sub(begin.elapsed()));
        let job = small_job(client * JOBS_PER_CLIENT + n);
        if play.submit(&job, n as usize) == Some(200) {
            accepted.push(job);
        }
    }
    accepted
}

/// Sends the large job; returns it if it was accepted.
fn send_large_job(play: &Play) -> Option<Job> {
    thread::sleep(LARGE_AT);
    let job = large_job();
    play.record.say(format!(
        "the large job is sent: {} tasks, {} bytes",
        STAGES * WIDTH,
        job.body().len()
    ));
    for n in 0..LARGE_SENDS {
        match play.submit(&job, n) {
            Some(200) => return Some(job),
            None | Some(502 | 504) => thread::sleep(RETRY),
            Some(_) => return None,
        }
    }
    None
}

fn small_job(n: u64) -> Job {
    let step = Step {
        count: 4,
        cpu: 500,
        mem_mb: 256,
        estimated_ms: 300,
        work_ms: 300,
        ..Step::default()
    };
    let steps = (0..4).map(|n: usize| Step {
        after: n.checked_sub(1).into_iter().collect(),
        ..step.clone()
    });
    let id = format!("{:016x}", (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Job {
        id,
        spec: "(text)".to_owned(),
        steps: steps.collect(),
        best_effort: false,
    }
}

fn large_job() -> Job {
    let step = |n: usize| Step {
        count: 1,
        cpu: 500,
        mem_mb: 256,
        estimated_ms: 300,
        work_ms: 300,
        affinity: rack(n % 6),
        after: match n / WIDTH {
            0 => Vec::new(),
            stage => ((stage - 1) * WIDTH..stage * WIDTH).collect(),
        },
    };
    let steps = (0..STAGES * WIDTH).map(step).collect();
    Job {
        id: "5c0e7a21d94b36f8".to_owned(),
        spec: "x".repeat(4_000),
        steps,
        best_effort: false,
    }
}
