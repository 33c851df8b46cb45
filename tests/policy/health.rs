use crate::support::*;

fn health(endpoints: usize) -> Health {
    let mut health = Health::new(11);
    for (number, worker) in workers(endpoints).iter().enumerate() {
        health.insert(EndpointId(number as u32), worker);
    }
    health
}

/// Fails tasks of three jobs at an endpoint, which ejects it; returns the last change.
fn eject(health: &mut Health, now: Time, id: EndpointId) -> Option<Change> {
    (0..3)
        .filter_map(|job| health.on_failure(now, id, job))
        .last()
}

/// Ticks every 100 ms until there are changes; returns them and the time.
fn tick_until_change(health: &mut Health, mut now: Time) -> (Time, Vec<Change>) {
    for _ in 0..10_000 {
        now = now + Span::millis(100);
        let changes = health.tick(now);
        if !changes.is_empty() {
            return (now, changes);
        }
    }
    panic!("no change within 1,000 s");
}

quickcheck! {
    /// Failures of a single job must never eject an endpoint, regardless of their number and of the endpoints.
    fn one_failing_job_ejects_no_endpoint(failures: Vec<u8>, successes: Vec<u8>) -> bool {
        let mut health = health(9);
        let id = |number: u8| EndpointId(u32::from(number % 9));
        successes.iter().for_each(|number| assert!(health.on_success(Time(0), id(*number)).is_none()));
        failures.iter().all(|number| health.on_failure(Time(0), id(*number), 1).is_none())
    }

    /// After any results, ticks and changes of the list, no more endpoints may be ejected than the cap allows.
    fn a_third_of_endpoints_is_ejected_at_most(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut health = health(12);
        let (mut now, mut members) = (Time(0), (0..12).map(EndpointId).collect::<BTreeSet<EndpointId>>());
        steps.into_iter().all(|(kind, number, job)| {
            let id = EndpointId(u32::from(number % 12));
            match kind % 16 {
                0 if members.remove(&id) => health.remove(id),
                1 if members.insert(id) => health.insert(id, &worker(id.0 as usize, OWN)),
                2 => now = now + Span::seconds(u64::from(job % 8)),
                3 => drop(health.on_success(now, id)),
                _ => drop(health.on_failure(now, id, job.into())),
            }
            health.tick(now);
            let is_ejected = |id: &&EndpointId| !health.allows(**id, Class::NonIdempotent);
            let cap = if members.len() < 2 { 0 } else { (members.len() / 3).max(1) };
            members.iter().filter(is_ejected).count() <= cap
        })
    }
}

#[test]
fn an_endpoint_that_fails_everything_is_ejected() {
    // Guards against an endpoint that fails every task immediately, is therefore always idle and attracts most of the
    // tasks. A success in between resets the count of failures.
    let mut health = health(9);
    let id = EndpointId(4);
    assert_eq!(health.on_failure(Time(0), id, 1), None);
    assert_eq!(health.on_failure(Time(0), id, 2), None);
    assert_eq!(health.on_success(Time(0), id), None);
    assert_eq!(health.on_failure(Time(0), id, 3), None);
    assert_eq!(health.on_failure(Time(0), id, 3), None);
    assert_eq!(health.on_failure(Time(0), id, 4), Some(Change::Ejected(id)));
    assert!(!health.allows(id, Class::Idempotent));
}

#[test]
fn a_suspected_endpoint_gets_tasks_last() {
    // Guards against failing endpoints beyond the ejection cap that attract most of the tasks. They must come after all
    // healthy ones until they are restored, and are suspected again after one more failure.
    let mut health = health(9);
    for number in 0..3 {
        eject(&mut health, Time(0), EndpointId(number));
    }
    let id = EndpointId(4);
    assert_eq!(health.on_failure(Time(0), id, 1), None);
    assert_eq!(health.on_failure(Time(0), id, 2), None);
    assert_eq!(
        health.on_failure(Time(0), id, 3),
        Some(Change::Suspected(id))
    );
    let mut placement = crate::placement::placement(&workers(9));
    placement.set_eligibility(id, Eligibility::Suspect);
    let route = route();
    let place =
        |placement: &mut Placement| placement.place(&requirement(&route, &[])).expect("room");
    let placed: Vec<_> = (0..8 * 9).map(|_| place(&mut placement)).collect();
    assert!(
        !placed.contains(&id),
        "{id:?} got a task while there was room elsewhere"
    );
    assert_eq!(place(&mut placement), id);
    let (restored_at, changes) = tick_until_change(&mut health, Time(0));
    assert!(changes.contains(&Change::Restored(id)), "{changes:?}");
    assert_eq!(
        health.on_failure(restored_at, id, 4),
        Some(Change::Suspected(id))
    );
    assert_eq!(
        health.on_success(restored_at, id),
        Some(Change::Restored(id))
    );
}

#[test]
fn an_ejected_endpoint_returns_on_probation() {
    // Guards against recovered endpoints that stay ejected, and failing ones that get all tasks again. On probation, a
    // failure must eject the endpoint for longer, and a success must restore it.
    let mut health = health(9);
    let id = EndpointId(4);
    eject(&mut health, Time(0), id);
    let (first, changes) = tick_until_change(&mut health, Time(0));
    assert_eq!(changes, [Change::Probation(id)]);
    assert!(health.allows(id, Class::Idempotent) && !health.allows(id, Class::Once));
    assert_eq!(health.on_failure(first, id, 9), Some(Change::Ejected(id)));
    let (second, changes) = tick_until_change(&mut health, first);
    assert_eq!(changes, [Change::Probation(id)]);
    assert!(
        second.since(first).0 > first.0 * 3 / 2,
        "{first:?} {second:?}"
    );
    assert_eq!(health.on_success(second, id), Some(Change::Restored(id)));
    assert!(health.allows(id, Class::NonIdempotent));
}

#[test]
fn ejection_times_are_bounded() {
    // Guards against ejection times that double without bound during a long fault. They must be 384 s at most, and
    // start from the first value again after an hour without failures.
    let mut health = health(9);
    let id = EndpointId(4);
    let mut now = Time(0);
    eject(&mut health, now, id);
    for _ in 0..40 {
        let (end, _) = tick_until_change(&mut health, now);
        assert!(end.since(now) <= Span::seconds(384), "{}", end.since(now));
        now = end;
        health.on_failure(now, id, 9);
    }
    let (end, _) = tick_until_change(&mut health, now);
    health.on_success(end, id);
    let later = end + Span::seconds(3_600);
    eject(&mut health, later, id);
    let (end, _) = tick_until_change(&mut health, later);
    assert!(
        end.since(later) <= Span::millis(6_100),
        "{}",
        end.since(later)
    );
}

#[test]
fn any_task_ends_a_probation_without_idempotent_tasks() {
    // Guards against endpoints that stay on probation for ever where all tasks are non-idempotent: after a while they
    // must get tasks of any class.
    let mut health = health(9);
    let id = EndpointId(4);
    eject(&mut health, Time(0), id);
    let (now, _) = tick_until_change(&mut health, Time(0));
    let (now, changes) = tick_until_change(&mut health, now);
    assert_eq!(changes, [Change::Trial(id)]);
    assert!(health.allows(id, Class::NonIdempotent));
    assert_eq!(health.on_success(now, id), Some(Change::Restored(id)));
}

#[test]
fn a_faulty_service_ejects_a_third_of_a_pool_at_most() {
    // Guards against a faulty service that ejects a whole pool that it shares with others. At most a third may be
    // ejected, also after half of the pool has left the list.
    let mut health = health(12);
    let changes: Vec<_> = (0..12)
        .map(|id| eject(&mut health, Time(0), EndpointId(id)))
        .collect();
    let ejected = |id: u32| Some(Change::Ejected(EndpointId(id)));
    let suspected = |id: u32| Some(Change::Suspected(EndpointId(id)));
    let expected: Vec<_> = (0..4).map(ejected).chain((4..12).map(suspected)).collect();
    assert_eq!(changes, expected);
    (6..12).for_each(|id| health.remove(EndpointId(id)));
    assert_eq!(health.tick(Time(0)).len(), 2);
    let ejected = (0..6).filter(|id| !health.allows(EndpointId(*id), Class::Once));
    assert_eq!(ejected.count(), 2);
}
