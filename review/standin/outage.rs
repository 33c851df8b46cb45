//! Stored jobs are accepted beside a stream of best-effort jobs, then the store is down for a while. During the outage the clients
//! cancel the stored jobs.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::{twice, Job, Play, Step};

const JOBS: u64 = 200;
const TASKS: u32 = 16;

/// The outage, and how long after its begin the clients cancel the stored jobs. Without an outage they do so at the same time.
const OUTAGE: Duration = Duration::from_millis(4_500);
const CANCEL_AFTER: Duration = Duration::from_millis(3_000);

/// How often a cancellation that isn't acknowledged is sent again.
const CANCELS: usize = 20;

/// The clients of best-effort jobs, and the pause between two jobs of one.
const CLIENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(100);

/// How long the play goes on after the store is back.
const AFTERWARDS: Duration = Duration::from_secs(4);

pub fn play(play: &Play) -> Result<bool, String> {
    let ends = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let ends = &ends;
            scope.spawn(move || send_best_effort_jobs(play, client, ends));
        }
        let accepted = send_stored_jobs(play);
        let canceller = scope.spawn(move || {
            thread::sleep(CANCEL_AFTER);
            cancel_all(play, &accepted);
        });
        if play.trouble {
            play.store.set_down(true);
        }
        thread::sleep(OUTAGE);
        if play.trouble {
            let listed = play
                .workers
                .iter()
                .map(|worker| worker.listed_ends().to_string());
            let listed: Vec<String> = listed.collect();
            play.record.say(format!(
                "ends that workers list at the end of the outage: {}",
                listed.join(", ")
            ));
            play.store.set_down(false);
        }
        canceller.join().unwrap();
        thread::sleep(AFTERWARDS);
        ends.store(true, Ordering::Relaxed);
    });
    let sent = play.count_jobs();
    play.record.say(format!(
        "{JOBS} of {sent} jobs are stored and were cancelled, a share of {:.2}",
        JOBS as f64 / sent as f64
    ));
    Ok(twice::check(play))
}

/// Sends the stored jobs from several clients; returns the ids of those that were accepted.
fn send_stored_jobs(play: &Play) -> Vec<String> {
    let jobs: Vec<Job> = (0..JOBS).map(|n| job(n, TASKS, false)).collect();
    let mut accepted = Vec::new();
    thread::scope(|scope| {
        let clients = jobs.chunks(10).enumerate().map(|(n, jobs)| {
            scope.spawn(move || {
                let sent = jobs.iter().filter(|job| play.submit(job, n) == Some(200));
                sent.map(|job| job.id.clone()).collect::<Vec<String>>()
            })
        });
        let clients: Vec<_> = clients.collect();
        for client in clients {
            accepted.extend(client.join().unwrap());
        }
    });
    play.record.say(format!(
        "{} of {JOBS} stored jobs are accepted",
        accepted.len()
    ));
    accepted
}

/// Cancels jobs, each from a client of its own, which sends the cancellation again until it's acknowledged.
fn cancel_all(play: &Play, ids: &[String]) {
    thread::scope(|scope| {
        for (n, id) in ids.iter().enumerate() {
            scope.spawn(move || {
                for again in 0..CANCELS {
                    if play.cancel(id, n + again) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    play.record
        .say("the cancellations of all stored jobs are acknowledged");
}

fn send_best_effort_jobs(play: &Play, client: u64, ends: &AtomicBool) {
    for n in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        play.submit(
            &job(JOBS + client + CLIENTS * n, 1, true),
            (client + n) as usize,
        );
        thread::sleep(PAUSE);
    }
}

fn job(n: u64, count: u32, best_effort: bool) -> Job {
    let step = Step {
        count,
        cpu: 500,
        mem_mb: 256,
        estimated_ms: 300,
        work_ms: 300,
        ..Step::default()
    };
    let id = format!("{:016x}", (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Job {
        id,
        spec: "(text)".to_owned(),
        steps: vec![step],
        best_effort,
    }
}
