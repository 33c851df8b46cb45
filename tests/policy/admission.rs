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
    /// What is refused counts nothing, what is admitted counts whole, no bound is passed, and all is given back.
    fn counts_whole_jobs_or_nothing(steps: Vec<(u8, u8, u16, bool)>) -> bool {
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
            let held: usize = admitted.iter().map(|(_, tasks, _)| *tasks as usize).sum();
            let within = usage.jobs <= limits.jobs
                && usage.bytes <= limits.job_bytes
                && usage.tasks <= limits.waiting_tasks
                && admission.team_usage(&teams[0]).tasks <= 100;
            if !within || usage.tasks != held || usage.jobs != admitted.len() {
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
fn a_flood_leaves_room_for_others() {
    // The caller of a small job is refused as busy although its team has nothing in progress. Another team has sent
    // as many jobs as the instance would take, all with time to spare. The flood must be refused before everything
    // is taken, so that each of several other teams still gets in.
    let mut admission = Admission::new(&limits(), 3);
    let flood = name("flood");
    let jobs = (0..100)
        .filter(|_| {
            admission
                .admit(Time(0), &demand(&flood, 2, Span::millis(50)))
                .is_ok()
        })
        .count();
    assert!(jobs >= 10, "only {jobs} jobs of a team that was alone");
    for team in 0..3 {
        let team = name(format!("team-{team}"));
        let taken = admission.admit(Time(0), &demand(&team, 2, Span::millis(50)));
        assert!(taken.is_ok(), "{team}: {taken:?}");
    }
}

#[test]
fn refuses_at_once_what_would_come_late() {
    // The caller waits for its whole deadline and then gets a failure. The work ahead of its job was more than the
    // slots could do in that time, as was known on arrival. It must be refused at once, as busy, with a time to come
    // back. Another team's job waits for its fair share only, and gets in.
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
fn learns_that_declarations_are_too_short() {
    // The caller's job is admitted and misses its deadline. Tasks are declared at a tenth of what they take, so the
    // work ahead looks like a tenth of what it is. After some hundred ends the real ratio must be applied.
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
    let taken = (0..1_000)
        .filter(|_| {
            admission
                .admit(Time(0), &demand(&team, 20, Span::millis(50)))
                .is_ok()
        })
        .count();
    assert!(
        (5..=10).contains(&taken),
        "{taken} jobs of 10 s each on 8 slots"
    );
}

#[test]
fn returns_are_spread() {
    // Callers that were refused in one moment are refused again and again, together. All were told the same time to
    // come back. 200 jobs that need 400 s of 8 slots must be spread over the span that is allowed for coming back.
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
        let retry = refusal.retry_after.expect("a time to come back");
        seconds[usize::try_from(retry.0 / 1_000_000).expect("a short time")] += 1;
    }
    let most = seconds.iter().max().expect("seconds");
    assert!(*most <= 30, "returns by second: {seconds:?}");
}

#[test]
fn tells_never_from_later() {
    // The caller comes back for ever. Its job is larger than a bound, or alone far longer than its deadline, so that
    // no later time would help. It must be told so by a refusal without a time to come back; one that is over its
    // quota for the moment, or finds no slots, gets such a time.
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
