//! Jobs of two steps are accepted, then the store is down for a while and comes back.

use std::{thread, time::Duration};

use crate::{lost, Job, Play, Step};

const JOBS: u64 = 100;
const TASKS: u32 = 32;
const OUTAGE: Duration = Duration::from_millis(4_500);

/// How long the jobs are watched after `lost::FINISH`.
const WATCH: Duration = Duration::from_secs(30);

pub fn play(play: &Play) -> Result<bool, String> {
    let jobs: Vec<Job> = (0..JOBS).map(job).collect();
    let mut accepted = Vec::new();
    thread::scope(|scope| {
        let senders = jobs.chunks(10).enumerate().map(|(n, jobs)| {
            scope.spawn(move || {
                let submit = |job: &&Job| play.submit(job, n) == Some(200);
                jobs.iter().filter(submit).cloned().collect::<Vec<Job>>()
            })
        });
        let senders: Vec<_> = senders.collect();
        for sender in senders {
            accepted.extend(sender.join().unwrap());
        }
    });
    play.record.say(format!(
        "the traffic ends; {} of {JOBS} jobs are accepted",
        accepted.len()
    ));
    if play.trouble {
        play.store.set_down(true);
        thread::sleep(OUTAGE);
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
    thread::sleep(lost::FINISH);
    let begin = play.record.now();
    thread::sleep(WATCH);
    let end = play.record.now();
    Ok(lost::check(play, &accepted, begin, end))
}

fn job(n: u64) -> Job {
    let step = Step {
        count: TASKS,
        cpu: 500,
        mem_mb: 256,
        estimated_ms: 300,
        work_ms: 300,
        ..Step::default()
    };
    let last = Step {
        after: vec![0],
        ..step.clone()
    };
    let id = format!("{:016x}", (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Job {
        id,
        spec: "(text)".to_owned(),
        steps: vec![step, last],
    }
}
