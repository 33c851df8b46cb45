//! Jobs wait for workers, and one instance is killed.

use std::{collections::HashSet, thread, time::Duration};

use crate::{Job, Play, Step};

const JOBS: u64 = 20;

/// When an instance is killed after the jobs were sent, and for how long it's away.
const KILL_AFTER: Duration = Duration::from_secs(6);
const AWAY: Duration = Duration::from_millis(3_500);

/// The instance that is killed.
const KILLED: usize = 1;

/// `contact_ms`: so long after the kill the other instances are in touch in any case.
const CONTACT: Duration = Duration::from_secs(3);

/// `visible_ms` and two seconds: jobs that were accepted so long ago count.
const COUNTS_AFTER_MS: u64 = 5_000;

/// How often and when the others are asked.
const ASKS: usize = 24;
const PAUSE: Duration = Duration::from_millis(250);

pub fn play(play: &Play) -> Result<bool, String> {
    let mut accepted = Vec::new();
    for n in 0..JOBS {
        let job = job(n);
        if play.submit(&job, n as usize) == Some(200) {
            accepted.push((job.id, play.record.now()));
        }
        thread::sleep(Duration::from_millis(30));
    }
    play.record
        .say(format!("{} of {JOBS} jobs are accepted", accepted.len()));
    thread::sleep(KILL_AFTER);
    if play.trouble {
        let instance = &play.fleet.instances[KILLED];
        instance.kill();
        play.record.say(format!("{} is killed", instance.name));
    }
    thread::sleep(CONTACT);
    let (mut least, mut broken) = (None, 0);
    for n in 0..ASKS {
        if play.trouble && n == 2 {
            // Away for `AWAY` in all, less the time that has passed.
            thread::sleep(AWAY.saturating_sub(CONTACT + 2 * PAUSE));
            play.fleet.instances[KILLED].start()?;
            play.record.say(format!(
                "{} starts again",
                play.fleet.instances[KILLED].name
            ));
        }
        for asked in (0..play.fleet.instances.len()).filter(|asked| *asked != KILLED) {
            let begin = play.record.now();
            let Some(shown) = play.pending(asked) else {
                continue;
            };
            let waiting = count_waiting(play, &accepted, begin);
            let name = &play.fleet.instances[asked].name;
            play.record.add(format!(
                "GET {} at {name}: {shown} pending; {waiting} haven't begun",
                crate::PREFIX
            ));
            if shown * 2 < waiting {
                broken += 1;
                play.record.add(format!(
                    "MIXED: {name} gives {shown} as pending, and {waiting} jobs haven't begun"
                ));
            }
            if least.is_none_or(|(least, _)| shown < least) {
                least = Some((shown, waiting));
            }
        }
        thread::sleep(PAUSE);
    }
    let (shown, waiting) = least.ok_or("no instance answers")?;
    play.record.say(format!(
        "the lowest answer is {shown} pending, when {waiting} jobs hadn't begun; {broken} answers of instances in touch give under half"
    ));
    Ok(broken == 0)
}

/// Counts the jobs that were accepted more than [`COUNTS_AFTER_MS`] before `now` and of which nothing has begun until now.
fn count_waiting(play: &Play, accepted: &[(String, u64)], now: u64) -> u64 {
    let runs = play.runs();
    let begun: HashSet<&str> = runs
        .iter()
        .filter_map(|run| run.task.split('.').next())
        .collect();
    let waits =
        |(id, at): &&(String, u64)| at + COUNTS_AFTER_MS < now && !begun.contains(id.as_str());
    accepted.iter().filter(waits).count() as u64
}

fn job(n: u64) -> Job {
    let step = Step {
        count: 12,
        cpu: 27_000,
        mem_mb: 64,
        estimated_ms: 3_000,
        work_ms: 3_000,
        ..Step::default()
    };
    let id = format!("{:016x}", (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Job {
        id,
        spec: "(text)".to_owned(),
        steps: vec![step],
        best_effort: false,
    }
}
