use crate::support::*;

fn health(endpoints: usize) -> Health {
    let mut health = Health::new(11);
    for (number, worker) in workers(endpoints).iter().enumerate() {
        health.insert(Slot(number as u32), worker);
    }
    health
}

/// Ejects an endpoint by failures of different jobs; returns the last change.
fn eject(health: &mut Health, now: Time, slot: Slot) -> Option<Change> {
    (0..3)
        .filter_map(|job| health.on_failure(now, slot, job))
        .last()
}

/// Ticks every 100 ms until something changes; returns that, and when.
fn until_change(health: &mut Health, mut now: Time) -> (Time, Vec<Change>) {
    for _ in 0..10_000 {
        now = now + Span::millis(100);
        let changes = health.tick(now);
        if !changes.is_empty() {
            return (now, changes);
        }
    }
    panic!("nothing changes any more");
}

quickcheck! {
    /// One job can't eject anything, however many of its tasks fail, and wherever.
    fn one_bad_job_ejects_nothing(failures: Vec<u8>, successes: Vec<u8>) -> bool {
        let mut health = health(9);
        let slot = |number: u8| Slot(u32::from(number % 9));
        successes.iter().for_each(|number| assert!(health.on_success(Time(0), slot(*number)).is_none()));
        failures.iter().all(|number| health.on_failure(Time(0), slot(*number), 1).is_none())
    }

    /// Over any ends, ticks and changes of the list, no more than the cap is out.
    fn no_more_than_a_third_is_out(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut health = health(12);
        let (mut now, mut members) = (Time(0), (0..12).map(Slot).collect::<BTreeSet<Slot>>());
        steps.into_iter().all(|(kind, number, job)| {
            let slot = Slot(u32::from(number % 12));
            match kind % 16 {
                0 if members.remove(&slot) => health.remove(slot),
                1 if members.insert(slot) => health.insert(slot, &worker(slot.0 as usize, OWN)),
                2 => now = now + Span::seconds(u64::from(job % 8)),
                3 => drop(health.on_success(now, slot)),
                _ => drop(health.on_failure(now, slot, job.into())),
            }
            health.tick(now);
            let out = |slot: &&Slot| !health.allows(**slot, Class::NonIdempotent);
            let cap = if members.len() < 2 { 0 } else { (members.len() / 3).max(1) };
            members.iter().filter(out).count() <= cap
        })
    }
}

#[test]
fn an_endpoint_that_fails_everything_is_ejected() {
    // The caller sees job after job fail at once. One endpoint fails all it starts, is therefore always idle, and
    // draws most of the work. After failures of several jobs in a row it must be out; a success in between shows
    // that it does not fail everything.
    let mut health = health(9);
    let slot = Slot(4);
    assert_eq!(health.on_failure(Time(0), slot, 1), None);
    assert_eq!(health.on_failure(Time(0), slot, 2), None);
    assert_eq!(health.on_success(Time(0), slot), None);
    assert_eq!(health.on_failure(Time(0), slot, 3), None);
    assert_eq!(health.on_failure(Time(0), slot, 3), None);
    assert_eq!(
        health.on_failure(Time(0), slot, 4),
        Some(Change::Ejected(slot))
    );
    assert!(!health.allows(slot, Class::Idempotent));
}

#[test]
fn what_the_cap_keeps_in_gets_work_last() {
    // The caller sees nearly every job fail although half of the pool is well. More endpoints fail than may be ejected;
    // those that stay fail at once, are idle again before all others, and draw most of the tasks. They must come after
    // all that are well, be tried again after a while, and be suspect again by one more failure.
    let mut health = health(9);
    for number in 0..3 {
        eject(&mut health, Time(0), Slot(number));
    }
    let slot = Slot(4);
    assert_eq!(health.on_failure(Time(0), slot, 1), None);
    assert_eq!(health.on_failure(Time(0), slot, 2), None);
    assert_eq!(
        health.on_failure(Time(0), slot, 3),
        Some(Change::Suspected(slot))
    );
    let mut placement = crate::placement::placement(&workers(9));
    placement.set_eligibility(slot, Eligibility::Suspect);
    let route = route();
    let place =
        |placement: &mut Placement| placement.place(&requirement(&route, &[])).expect("room");
    let well: Vec<_> = (0..8 * 9).map(|_| place(&mut placement)).collect();
    assert!(!well.contains(&slot), "there was room elsewhere");
    assert_eq!(place(&mut placement), slot);
    let (again, changes) = until_change(&mut health, Time(0));
    assert!(changes.contains(&Change::Restored(slot)), "{changes:?}");
    assert_eq!(
        health.on_failure(again, slot, 4),
        Some(Change::Suspected(slot))
    );
    assert_eq!(health.on_success(again, slot), Some(Change::Restored(slot)));
}

#[test]
fn an_ejected_endpoint_comes_back_by_probation() {
    // The caller sees refusals, since endpoints that have recovered stay out; or failures, since those that have not
    // come back whole. After its time an endpoint must get idempotent tasks, be out for longer when one fails, and
    // be back when one succeeds.
    let mut health = health(9);
    let slot = Slot(4);
    eject(&mut health, Time(0), slot);
    let (first, changes) = until_change(&mut health, Time(0));
    assert_eq!(changes, [Change::Probation(slot)]);
    assert!(health.allows(slot, Class::Idempotent) && !health.allows(slot, Class::Once));
    assert_eq!(
        health.on_failure(first, slot, 9),
        Some(Change::Ejected(slot))
    );
    let (second, changes) = until_change(&mut health, first);
    assert_eq!(changes, [Change::Probation(slot)]);
    assert!(
        second.since(first).0 > first.0 * 3 / 2,
        "{first:?} {second:?}"
    );
    assert_eq!(
        health.on_success(second, slot),
        Some(Change::Restored(slot))
    );
    assert!(health.allows(slot, Class::NonIdempotent));
}

#[test]
fn ejections_stay_bounded() {
    // The caller sees refusals for hours after a fault of a day. The endpoint's ejections have doubled all the time.
    // No ejection may last longer than about six minutes, and a long time in good standing must bring it back to the
    // first span.
    let mut health = health(9);
    let slot = Slot(4);
    let mut now = Time(0);
    eject(&mut health, now, slot);
    for _ in 0..40 {
        let (end, _) = until_change(&mut health, now);
        assert!(end.since(now) <= Span::seconds(384), "{}", end.since(now));
        now = end;
        health.on_failure(now, slot, 9);
    }
    let (end, _) = until_change(&mut health, now);
    health.on_success(end, slot);
    let later = end + Span::seconds(3_600);
    eject(&mut health, later, slot);
    let (end, _) = until_change(&mut health, later);
    assert!(
        end.since(later) <= Span::millis(6_100),
        "{}",
        end.since(later)
    );
}

#[test]
fn without_idempotent_work_any_task_ends_a_probation() {
    // The caller sees refusals, since capacity goes and never returns. Its service has non-idempotent requests only,
    // so no task ever tries an endpoint that is on probation. After a while one task of any class must do.
    let mut health = health(9);
    let slot = Slot(4);
    eject(&mut health, Time(0), slot);
    let (now, _) = until_change(&mut health, Time(0));
    let (now, changes) = until_change(&mut health, now);
    assert_eq!(changes, [Change::Trial(slot)]);
    assert!(health.allows(slot, Class::NonIdempotent));
    assert_eq!(health.on_success(now, slot), Some(Change::Restored(slot)));
}

#[test]
fn a_bad_service_takes_no_pool_down() {
    // The caller of a good service is refused. A bad one on the same pool fails all its tasks, job after job, on all
    // endpoints, so every one of them looks like an outlier. No more than a third may be out; when half of the pool
    // then leaves the list, endpoints must come back until a third of the rest is out.
    let mut health = health(12);
    let changes: Vec<_> = (0..12)
        .map(|slot| eject(&mut health, Time(0), Slot(slot)))
        .collect();
    let ejected = |slot: u32| Some(Change::Ejected(Slot(slot)));
    let suspected = |slot: u32| Some(Change::Suspected(Slot(slot)));
    let expected: Vec<_> = (0..4).map(ejected).chain((4..12).map(suspected)).collect();
    assert_eq!(changes, expected);
    (6..12).for_each(|slot| health.remove(Slot(slot)));
    assert_eq!(health.tick(Time(0)).len(), 2);
    let out = (0..6).filter(|slot| !health.allows(Slot(*slot), Class::Once));
    assert_eq!(out.count(), 2);
}
