use crate::support::*;

quickcheck! {
    /// For any sequence of successes and failures, retries must be at most a tenth of the successes, plus the initial
    /// 10 tokens, plus one a second.
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

    /// Delays must be between 5 ms and 1 s, and must vary.
    fn delays_are_bounded(attempt: u32, seed: u64) -> bool {
        let mut random = SmallRng::seed_from_u64(seed);
        let waits: Vec<Span> = (0..20).map(|_| backoff(attempt, &mut random)).collect();
        let bounded = waits.iter().all(|wait| (5_000..=1_000_000).contains(&wait.0));
        bounded && waits.iter().any(|wait| *wait != waits[0])
    }
}

#[test]
fn retries_do_not_multiply_a_burst_of_failures() {
    // Guards against retries that overload the endpoints which still work while half of all starts fail. Retries must
    // stay within a tenth of the successes, plus one a second and the initial 10 tokens.
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
    assert!(
        starts > tasks + tasks / 20,
        "too few retries: {starts} starts"
    );
}

#[test]
fn some_retries_are_allowed_after_an_outage() {
    // Guards against failures after an outage that a retry would hide: without successes, no tokens are earned. One
    // token a second must still be available.
    let mut budget = Budget::for_retries();
    while budget.try_take(Time(0)) {}
    let after = Time(0) + Span::seconds(5);
    let retries = (0..100).filter(|_| budget.try_take(after)).count();
    assert_eq!(retries, 5);
}

#[test]
fn hedges_are_few_and_late() {
    // Guards against twice the load by hedging every task that runs a little longer than others. A hedge may start only
    // after the p99 of its service, once enough durations are recorded, and once for twenty successes.
    let mut hedge = Hedge::new();
    let service = name("preview");
    assert_eq!(hedge.delay(&service), None);
    for number in 0..1_000 {
        hedge.on_success(&service, Span::millis(100 + number % 100));
    }
    let wait = hedge
        .delay(&service)
        .expect("enough durations are recorded");
    assert!((195..=202).contains(&wait.as_millis()), "{wait}");
    let hedges = (0..1_000).filter(|_| hedge.try_take(Time(0))).count();
    assert!(
        (40..=50).contains(&hedges),
        "{hedges} hedges for 1,000 successes"
    );
}
