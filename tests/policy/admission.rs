use crate::support::*;

const SLOTS: u32 = 8;

fn demand(team: &Team, tasks: u32, each: Span) -> Demand<'_> {
    Demand {
        team,
        tasks,
        bytes: 1_000,
        work: each.times(tasks.into()),
        longest: each,
        time_left: Span::seconds(10),
        quota: None,
        slots: SLOTS,
    }
}

fn limits() -> Limits {
    Limits {
        jobs: 20,
        job_bytes: 40_000,
        waiting_tasks: 300,
        ..Limits::default()
    }
}

quickcheck! {
    /// A refused job must not change the usage, an admitted one counts in full, no limit is exceeded, and releases
    /// bring the usage back to zero.
    fn usage_counts_admitted_jobs_only(steps: Vec<(u8, u8, u16, bool)>) -> bool {
        let limits = limits();
        let mut admission = Admission::new(&limits, 3);
        let teams: Vec<Team> = (0..3).map(|team| name(format!("team-{team}"))).collect();
        let quota = Some(Quota { weight: 2, outstanding: 100 });
        let mut admitted = Vec::new();
        for (team, tasks, millis, release) in steps {
            if release && !admitted.is_empty() {
                let (team, tasks, work): (usize, u32, Span) = admitted.swap_remove(0);
                admission.release_job(&teams[team], tasks, 1_000, work);
                continue;
            }
            let team = usize::from(team % 3);
            let mut demand = demand(&teams[team], tasks.into(), Span::millis(millis.into()));
            demand.quota = quota.filter(|_| team == 0);
            let before = (admission.usage(), admission.team_usage(&teams[team]));
            match admission.admit(Time(0), &demand) {
                Ok(()) => admitted.push((team, demand.tasks, demand.work)),
                Err(_) if before == (admission.usage(), admission.team_usage(&teams[team])) => (),
                Err(_) => return false,
            }
            let usage = admission.usage();
            let admitted_tasks: usize = admitted.iter().map(|(_, tasks, _)| *tasks as usize).sum();
            let is_within_limits = usage.jobs <= limits.jobs
                && usage.bytes <= limits.job_bytes
                && usage.tasks <= limits.waiting_tasks
                && admission.team_usage(&teams[0]).tasks <= 100;
            if !is_within_limits || usage.tasks != admitted_tasks || usage.jobs != admitted.len() {
                return false;
            }
        }
        for (team, tasks, work) in admitted {
            admission.release_job(&teams[team], tasks, 1_000, work);
        }
        admission.usage() == Usage::default()
    }
}

#[test]
fn a_burst_leaves_room_for_other_teams() {
    // Guards against a burst of one team that fills the instance, so that small jobs of other teams are refused.
    let mut admission = Admission::new(&limits(), 3);
    let burst = name("burst");
    let jobs = (0..100)
        .filter(|_| {
            admission
                .admit(Time(0), &demand(&burst, 2, Span::millis(50)))
                .is_ok()
        })
        .count();
    assert!(
        jobs >= 10,
        "only {jobs} jobs of a single team were admitted"
    );
    for team in 0..3 {
        let team = name(format!("team-{team}"));
        let admitted = admission.admit(Time(0), &demand(&team, 2, Span::millis(50)));
        assert!(admitted.is_ok(), "{team}: {admitted:?}");
    }
}

#[test]
fn refuses_jobs_that_would_miss_their_deadline() {
    // Guards against the admission of jobs that miss their deadline because of the work ahead of them. They must be
    // refused with a retry delay; a job of another team waits for its fair share only and must be admitted.
    let mut admission = Admission::new(&Limits::default(), 3);
    let (busy, other) = (name("busy"), name("other"));
    let refusal = (0..100)
        .find_map(|_| {
            admission
                .admit(Time(0), &demand(&busy, 20, Span::millis(500)))
                .err()
        })
        .expect("a refusal");
    let work = admission.usage().work;
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.retry_after.is_some(), "{refusal:?}");
    assert!(
        (5..=10).contains(&(work.0 / 8_000_000)),
        "{work} was admitted"
    );
    assert_eq!(
        admission.admit(Time(0), &demand(&other, 20, Span::millis(500))),
        Ok(())
    );
}

#[test]
fn learns_the_ratio_of_actual_to_declared_run_times() {
    // Guards against missed deadlines when the declared run time is a tenth of the actual one. The ratio must be
    // learned and applied.
    let mut admission = Admission::new(&Limits::default(), 3);
    for _ in 0..1_000 {
        admission.record_run_time(Span::millis(50), Span::millis(500));
    }
    assert!(
        (9.0..=10.5).contains(&admission.scale()),
        "{}",
        admission.scale()
    );
    let team = name("busy");
    let admitted = (0..1_000)
        .filter(|_| {
            admission
                .admit(Time(0), &demand(&team, 20, Span::millis(50)))
                .is_ok()
        })
        .count();
    assert!(
        (5..=10).contains(&admitted),
        "{admitted} jobs of 10 s each were admitted on 8 slots"
    );
}

#[test]
fn retry_delays_are_spread() {
    // Guards against retries that arrive all at once and are refused again. The delays of 200 refused jobs must be
    // spread over the allowed range.
    let mut admission = Admission::new(&Limits::default(), 3);
    let team = name("busy");
    while admission
        .admit(Time(0), &demand(&team, 20, Span::millis(500)))
        .is_ok()
    {}
    let mut seconds = [0; 31];
    for _ in 0..200 {
        let refusal = admission
            .admit(Time(0), &demand(&team, 20, Span::millis(500)))
            .expect_err("no room");
        let retry = refusal.retry_after.expect("a retry delay");
        seconds[usize::try_from(retry.0 / 1_000_000).expect("a short delay")] += 1;
    }
    let most = seconds.iter().max().expect("seconds");
    assert!(*most <= 30, "retries in each second: {seconds:?}");
}

#[test]
fn only_jobs_that_can_be_admitted_later_get_a_retry_delay() {
    // Guards against endless retries of a job that can never be admitted: it's too large, or far longer than its
    // deadline. It must get no retry delay; a job over its quota, or without slots for now, must get one.
    let mut admission = Admission::new(&limits(), 3);
    let team = name("large");
    let large = admission
        .admit(Time(0), &demand(&team, 301, TINY))
        .expect_err("too many");
    assert_eq!((large.reason, large.retry_after), (Reason::Invalid, None));
    let long = admission
        .admit(Time(0), &demand(&team, 200, Span::seconds(5)))
        .expect_err("too long");
    assert_eq!((long.reason, long.retry_after), (Reason::Busy, None));
    let quota = Demand {
        quota: Some(Quota {
            weight: 1,
            outstanding: 5,
        }),
        ..demand(&team, 3, TINY)
    };
    assert_eq!(admission.admit(Time(0), &quota), Ok(()));
    let over = admission
        .admit(Time(0), &quota)
        .expect_err("over the quota");
    assert_eq!(
        (over.reason, over.retry_after.is_some()),
        (Reason::Busy, true)
    );
    let none = Demand {
        slots: 0,
        ..demand(&team, 1, TINY)
    };
    let none = admission.admit(Time(0), &none).expect_err("no slots");
    assert_eq!(
        (none.reason, none.retry_after.is_some()),
        (Reason::NoEndpoint, true)
    );
}

const TINY: Span = Span::millis(1);
