use crate::support::*;

const TASK: Span = Span::millis(100);

quickcheck! {
    /// While two teams have waiting tasks, neither may be ahead of its weighted share by more than one longest task of
    /// each.
    fn shares_follow_the_weights(weights: (u8, u8), times: Vec<(bool, u16)>) -> bool {
        let weights = [u64::from(weights.0 % 8) + 1, u64::from(weights.1 % 8) + 1];
        let teams: [Team; 2] = [name("risk"), name("pricing")];
        let mut queue = Queue::new(usize::MAX);
        let mut left = [0, 0];
        for (job, (second, millis)) in times.into_iter().enumerate() {
            let (team, span) = (usize::from(second), Span::millis(u64::from(millis % 900) + 1));
            let pushed = queue.push(&teams[team], weights[team] as u32, job as u64, span, (team, span));
            left[team] += usize::from(pushed.is_ok());
        }
        let mut served = [0, 0];
        while left.iter().all(|left| *left > 0) {
            let Some((team, span)) = queue.pop() else {
                return false;
            };
            left[team] -= 1;
            served[team] += span.0 / weights[team];
            if served[0].abs_diff(served[1]) > 2 * Span::millis(900).0 {
                return false;
            }
        }
        true
    }

    /// Every accepted task must be removed or popped exactly once, the capacity must hold, and a job's longest task
    /// must come first.
    fn pops_or_removes_each_accepted_task_once(capacity: u8, pushes: Vec<(u8, u8, u16)>, removed: u8) -> bool {
        let mut queue = Queue::new(usize::from(capacity));
        let teams: Vec<Team> = (0..4).map(|team| name(format!("team-{team}"))).collect();
        let mut accepted = 0;
        for (team, job, millis) in pushes {
            let (team, job) = (usize::from(team % 4), u64::from(job % 4));
            let span = Span::millis(millis.into());
            let pushed = queue.push(&teams[team], 1, job, span, (team, job, span));
            if pushed.is_err() != (accepted == usize::from(capacity)) {
                return false;
            }
            accepted += usize::from(pushed.is_ok());
        }
        let removed_count = queue.remove_job(&teams[0], u64::from(removed % 4)).len();
        let mut last = HashMap::new();
        let mut popped = 0;
        while let Some(next) = queue.peek().copied() {
            let (team, job, span) = queue.pop().expect("a task was peeked");
            let sorted = last.insert((team, job), span).is_none_or(|previous| previous >= span);
            if next != (team, job, span) || !sorted || team == 0 && job == u64::from(removed % 4) {
                return false;
            }
            popped += 1;
        }
        queue.is_empty() && popped + removed_count == accepted
    }
}

#[test]
fn many_tasks_of_one_team_do_not_delay_others() {
    // Guards against a small job that waits for minutes behind another team's 10,000 tasks. It must get every second
    // place.
    let mut queue = Queue::new(20_000);
    let (flood, small) = (name("flood"), name("small"));
    for task in 0..10_000 {
        queue.push(&flood, 1, 1, TASK, task).expect("room");
    }
    for task in 0..5 {
        queue.push(&small, 1, 2, TASK, 20_000 + task).expect("room");
    }
    let popped: Vec<u64> = (0..11).filter_map(|_| queue.pop()).collect();
    let small_count = popped.iter().filter(|task| **task >= 20_000).count();
    assert_eq!(small_count, 5, "the first tasks were {popped:?}");
}

#[test]
fn short_declared_run_times_give_no_advantage() {
    // Guards against a team that gets more than its share by declaring 1 ms for tasks that run for 100 ms. The actual
    // run time is charged, so it must get about half of the places.
    let mut queue = Queue::new(20_000);
    let (underdeclaring, honest): (Team, Team) = (name("underdeclaring"), name("honest"));
    for job in 0..1_000 {
        queue
            .push(&underdeclaring, 1, job, Span::millis(1), true)
            .expect("room");
        queue.push(&honest, 1, job, TASK, false).expect("room");
    }
    let mut underdeclared_count = 0;
    for _ in 0..400 {
        if queue.pop() == Some(true) {
            underdeclared_count += 1;
            queue.charge_run_time(&underdeclaring, Span::millis(1), TASK);
        }
    }
    assert!(
        (180..=220).contains(&underdeclared_count),
        "{underdeclared_count} of 400 places went to the underdeclaring team"
    );
}

#[test]
fn new_team_names_do_not_exhaust_memory() {
    // Guards against memory exhaustion by a caller that makes up a team name for each job. Idle teams must be removed,
    // even with debt.
    let mut queue = Queue::new(10);
    for number in 0..50_000 {
        let team: Team = name(format!("team-{number}"));
        queue.push(&team, 1, number, TASK, ()).expect("room");
        queue.pop();
    }
    assert!(
        queue.teams() < 20_000,
        "the queue keeps {} teams",
        queue.teams()
    );
}
