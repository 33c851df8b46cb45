use crate::support::*;

const TASK: Span = Span::millis(100);

quickcheck! {
    /// While two teams wait, neither is ahead of its share by more than one of the longest tasks of each.
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

    /// Nothing is lost or invented, the bound holds, and within a job the longest goes first.
    fn holds_what_was_pushed(bound: u8, pushes: Vec<(u8, u8, u16)>, removed: u8) -> bool {
        let mut queue = Queue::new(usize::from(bound));
        let teams: Vec<Team> = (0..4).map(|team| name(format!("team-{team}"))).collect();
        let mut accepted = 0;
        for (team, job, millis) in pushes {
            let (team, job) = (usize::from(team % 4), u64::from(job % 4));
            let span = Span::millis(millis.into());
            let pushed = queue.push(&teams[team], 1, job, span, (team, job, span));
            if pushed.is_err() != (accepted == usize::from(bound)) {
                return false;
            }
            accepted += usize::from(pushed.is_ok());
        }
        let gone = queue.remove_job(&teams[0], u64::from(removed % 4)).len();
        let mut last = HashMap::new();
        let mut popped = 0;
        while let Some(next) = queue.peek().copied() {
            let (team, job, span) = queue.pop().expect("it was there");
            let sorted = last.insert((team, job), span).is_none_or(|before| before >= span);
            if next != (team, job, span) || !sorted || team == 0 && job == u64::from(removed % 4) {
                return false;
            }
            popped += 1;
        }
        queue.is_empty() && popped + gone == accepted
    }
}

#[test]
fn a_flood_by_one_team_holds_no_other_up() {
    // The caller of a small job waits for minutes. Another team has put 10,000 tasks into the queue just before.
    // The small job must get every second place while it waits.
    let mut queue = Queue::new(20_000);
    let (flood, small) = (name("flood"), name("small"));
    for task in 0..10_000 {
        queue.push(&flood, 1, 1, TASK, task).expect("room");
    }
    for task in 0..5 {
        queue.push(&small, 1, 2, TASK, 20_000 + task).expect("room");
    }
    let first: Vec<u64> = (0..11).filter_map(|_| queue.pop()).collect();
    let own = first.iter().filter(|task| **task >= 20_000).count();
    assert_eq!(own, 5, "the first places went to {first:?}");
}

#[test]
fn short_declarations_buy_nothing() {
    // The caller of an honest team waits. Another team declares a millisecond for tasks that take 100, and would get
    // a hundred places for each of the honest one's. The real time is charged as tasks end, so it must not get more
    // than about its half.
    let mut queue = Queue::new(20_000);
    let (liar, honest): (Team, Team) = (name("liar"), name("honest"));
    for job in 0..1_000 {
        queue
            .push(&liar, 1, job, Span::millis(1), true)
            .expect("room");
        queue.push(&honest, 1, job, TASK, false).expect("room");
    }
    let mut lies = 0;
    for _ in 0..400 {
        if queue.pop() == Some(true) {
            lies += 1;
            queue.charge_run_time(&liar, Span::millis(1), TASK);
        }
    }
    assert!(
        (180..=220).contains(&lies),
        "{lies} of 400 places went to it"
    );
}

#[test]
fn ever_new_teams_fill_no_memory() {
    // The instance dies for want of memory. A caller invents a new team name for each job. Each leaves the virtual
    // time of its team behind, so these must be forgotten even while they stand for a debt.
    let mut queue = Queue::new(10);
    for number in 0..50_000 {
        let team: Team = name(format!("team-{number}"));
        queue.push(&team, 1, number, TASK, ()).expect("room");
        queue.pop();
    }
    assert!(
        queue.teams() < 20_000,
        "{} teams are remembered",
        queue.teams()
    );
}
