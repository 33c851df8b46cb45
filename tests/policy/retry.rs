use crate::support::*;

quickcheck! {
    /// Over any ends, retries are at most a tenth of the successes, what was saved, and one a second.
    fn retries_stay_within_the_budget(ends: Vec<(bool, u16)>) -> bool {
        let mut budget = Budget::for_retries();
        let (mut now, mut successes, mut retries) = (Time(0), 0, 0);
        ends.into_iter().all(|(success, millis)| {
            now = now + Span::millis(u64::from(millis % 100));
            if success {
                budget.on_success();
                successes += 1;
            } else {
                retries += u64::from(budget.try_take(now));
            }
            retries * 1_000 <= successes * 100 + 10_000 + now.0 / 1_000
        })
    }

    /// The wait is never nothing, never longer than a second, and differs from draw to draw.
    fn waits_are_bounded(attempt: u32, seed: u64) -> bool {
        let mut random = SmallRng::seed_from_u64(seed);
        let waits: Vec<Span> = (0..20).map(|_| backoff(attempt, &mut random)).collect();
        let bounded = waits.iter().all(|wait| (5_000..=1_000_000).contains(&wait.0));
        bounded && waits.iter().any(|wait| *wait != waits[0])
    }
}

#[test]
fn a_storm_of_failures_is_not_multiplied() {
    // The caller sees failures everywhere, and the endpoints that still work are overrun. Half of all starts fail,
    // and each failure would be retried until it succeeds, which doubles the messages. With the budget, starts must
    // stay within a tenth of the successes above the tasks, plus the floor.
    let mut budget = Budget::for_retries();
    let mut random = SmallRng::seed_from_u64(5);
    let (mut now, mut starts, mut successes) = (Time(0), 0, 0);
    let tasks = 20_000;
    for _ in 0..tasks {
        now = now + Span::millis(1);
        starts += 1;
        while random.random_bool(0.5) {
            if !budget.try_take(now) {
                break;
            }
            starts += 1;
        }
        budget.on_success();
        successes += 1;
    }
    let allowed = tasks + successes / 10 + 10 + 20;
    assert!(starts <= allowed, "{starts} starts for {tasks} tasks");
    assert!(starts > tasks + tasks / 20, "hardly any retry: {starts}");
}

#[test]
fn an_outage_is_followed_by_some_retries_still() {
    // The caller sees the first failures after an outage although a retry would do. All successes stopped for a
    // minute, so nothing was earned. The floor must still give some.
    let mut budget = Budget::for_retries();
    while budget.try_take(Time(0)) {}
    let after = Time(0) + Span::seconds(5);
    let retries = (0..100).filter(|_| budget.try_take(after)).count();
    assert_eq!(retries, 5);
}

#[test]
fn second_copies_are_few_and_late() {
    // The caller sees twice the messages. Every task that runs a little longer than the rest gets a second copy. A
    // copy may start only past the p99 of its kind, only once that is known, and one for twenty successes at most.
    let mut hedge = Hedge::new();
    let service = name("preview");
    assert_eq!(hedge.delay(&service), None);
    for number in 0..1_000 {
        hedge.on_success(&service, Span::millis(100 + number % 100));
    }
    let wait = hedge.delay(&service).expect("enough is known");
    assert!((195..=202).contains(&wait.as_millis()), "{wait}");
    let copies = (0..1_000).filter(|_| hedge.try_take(Time(0))).count();
    assert!(
        (40..=50).contains(&copies),
        "{copies} copies for 1,000 successes"
    );
}
