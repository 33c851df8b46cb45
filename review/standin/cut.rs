//! A worker is cut off while it runs the tasks of some jobs, and other jobs wait for it.

use std::{thread, time::Duration};

use crate::{rack, record::show_task, Job, Play, Step};

/// Jobs whose tasks run when the worker is cut off, and jobs that wait for it. All have their data on its rack.
const VICTIMS: u64 = 4;
const OTHERS: u64 = 60;

/// The tasks of the victims, when the worker is cut off after they were sent, and for how long.
const VICTIM_MS: u64 = 1_200;
const CUT_AFTER: Duration = Duration::from_millis(900);
const CUT: Duration = Duration::from_millis(5_500);

/// How long the play goes on after the cut.
const AFTERWARDS: Duration = Duration::from_secs(30);

/// A start so long after the job was shown as completed breaks the rule.
const SLACK_MS: u64 = 1_000;

pub fn play(play: &Play) -> Result<bool, String> {
    let victims: Vec<Job> = (0..VICTIMS).map(|n| job(n, VICTIM_MS)).collect();
    for (n, job) in victims.iter().enumerate() {
        if play.submit(job, n) != Some(200) {
            return Err("a job isn't accepted".to_owned());
        }
    }
    thread::scope(|scope| {
        scope.spawn(|| {
            for n in 0..OTHERS {
                play.submit(&job(VICTIMS + n, 400), n as usize);
            }
        });
        thread::sleep(CUT_AFTER);
        if play.trouble {
            play.workers[0].set_cut(true);
        }
        thread::sleep(CUT);
        if play.trouble {
            play.workers[0].set_cut(false);
        }
    });
    let mut completed: Vec<Option<u64>> = vec![None; victims.len()];
    let until = play.record.now() + AFTERWARDS.as_millis() as u64;
    while play.record.now() < until {
        for (n, job) in victims.iter().enumerate() {
            if completed[n].is_none() {
                let state = play.state(&job.id, n);
                if state.is_some_and(|(_, state)| state == "completed") {
                    completed[n] = Some(play.record.now());
                    play.record.say(format!("{} is shown as completed", job.id));
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs = play.runs();
    let mut starts = 0;
    for (job, completed) in victims.iter().zip(completed) {
        let Some(completed) = completed else { continue };
        for run in runs.iter().filter(|run| run.task.starts_with(&job.id)) {
            if run.began > completed + SLACK_MS {
                starts += 1;
                play.record.say(format!(
                    "TWICE: run {} of {} began at {}, and its job was shown as completed at {completed}",
                    run.run, show_task(&run.task), run.began
                ));
            }
        }
    }
    play.record.say(format!(
        "{starts} starts of tasks over a second after their job was shown as completed"
    ));
    Ok(starts == 0)
}

fn job(n: u64, work_ms: u64) -> Job {
    let step = Step {
        count: 1,
        cpu: 15_000,
        mem_mb: 64,
        estimated_ms: work_ms,
        work_ms,
        affinity: rack(0),
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
