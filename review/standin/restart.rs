//! Jobs of short tasks come all the time, and workers crash one after the other and start again.

use std::{thread, time::Duration};

use crate::{twice, Job, Play, Step};

/// The clients, the jobs of each, and the pause between two of them.
const CLIENTS: u64 = 6;
const JOBS_PER_CLIENT: u64 = 300;
const PAUSE: Duration = Duration::from_millis(150);

/// The crashes: the first one, the pause between two, and for how long a worker is down, by turns. One of eight workers is down at a
/// time.
const CRASHES: usize = 20;
const FIRST: Duration = Duration::from_secs(2);
const GAP: Duration = Duration::from_millis(1_500);
const DOWN_MS: [u64; 5] = [300, 400, 500, 600, 700];

pub fn play(play: &Play) -> Result<bool, String> {
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                for n in 0..JOBS_PER_CLIENT {
                    play.submit(&job(client * JOBS_PER_CLIENT + n), (client + n) as usize);
                    thread::sleep(PAUSE);
                }
            });
        }
        if play.trouble {
            thread::sleep(FIRST);
            for n in 0..CRASHES {
                let down = Duration::from_millis(DOWN_MS[n % DOWN_MS.len()]);
                play.workers[n % play.workers.len()].restart(down);
                thread::sleep(GAP);
            }
        }
    });
    thread::sleep(Duration::from_secs(5));
    Ok(twice::check(play))
}

fn job(n: u64) -> Job {
    // Estimates are rough.
    let work_ms = 30 + 15 * (n % 4);
    let step = Step {
        count: 8,
        cpu: 500,
        mem_mb: 64,
        estimated_ms: 60,
        work_ms,
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
