use crate::support::*;

const MAX_OUTSTANDING: u32 = 16;

pub(crate) fn placement(list: &[Worker]) -> Placement {
    let mut placement = Placement::new(name(OWN), MAX_OUTSTANDING, 7);
    placement.apply_list(list, 7);
    placement
}

/// The expected state of one endpoint.
#[derive(Clone)]
struct Model {
    worker: Worker,
    listed: bool,
    reported_leaving: bool,
    ejected: bool,
    outstanding: u32,
    load: u32,
}

impl Model {
    fn is_eligible(&self) -> bool {
        self.listed && !self.reported_leaving && !self.ejected && self.worker.state == State::Live
    }

    fn limit(&self, instances: u32) -> u32 {
        MAX_OUTSTANDING
            .min(self.worker.connections / instances)
            .max(1)
    }

    /// Returns the rank: outstanding tasks per slot, then the last reported load. The lowest rank is the best.
    fn rank(&self) -> (u64, u32) {
        let work = u64::from(self.outstanding + 1) * 1024 / u64::from(self.worker.slots);
        (work, self.load)
    }

    fn is_local(&self) -> bool {
        self.worker.centre == name(OWN)
    }

    /// Returns whether a task is likely to start at once: it's the first one, or within this instance's share of three
    /// tasks per slot and at most one per slot.
    fn starts_at_once(&self, instances: u32) -> bool {
        let share = (3 * 1024 / u64::from(instances)).min(1024);
        self.outstanding == 0 || self.rank().0 <= share
    }
}

/// The placement and a model of each endpoint, to which the same steps are applied.
struct Comparison {
    placement: Placement,
    models: BTreeMap<EndpointId, Model>,
    instances: u32,
}

impl Comparison {
    fn new() -> Self {
        Self {
            placement: Placement::new(name(OWN), MAX_OUTSTANDING, 7),
            models: BTreeMap::new(),
            instances: 1,
        }
    }

    /// Applies a list with the workers of `mask`.
    fn list(&mut self, mask: u16, value: u8) {
        let mut list = Vec::new();
        for number in (0..12).filter(|number| mask >> number & 1 == 1) {
            let centre = if number % 3 == 0 { OTHER } else { OWN };
            let mut worker = worker(number, centre);
            worker.slots = 1 + number as u32 % 4;
            worker.resources = need(1 + number as u32 % 2);
            if usize::from(value) % 13 == number {
                worker.state = State::Leaving;
            }
            list.push(worker);
        }
        self.instances = 1 + u32::from(value % 16);
        self.placement.apply_list(&list, self.instances as usize);
        let if_absent = |(id, model): (&EndpointId, &Model)| (!model.listed).then_some(*id);
        let absent: Vec<EndpointId> = self.models.iter().filter_map(if_absent).collect();
        for model in self.models.values_mut() {
            model.listed = false;
        }
        for worker in list {
            let id = self
                .placement
                .find(&worker.name)
                .expect("a listed worker has an id");
            let model = self.models.entry(id).or_insert_with(|| Model {
                worker: worker.clone(),
                listed: false,
                reported_leaving: false,
                ejected: false,
                outstanding: 0,
                load: 0,
            });
            let same_worker = model.worker.name == worker.name;
            assert!(same_worker, "the id of {} was reused", model.worker.name);
            let returned = absent.contains(&id) || model.worker.state == State::Leaving;
            if returned && worker.state == State::Live {
                model.reported_leaving = false;
            }
            model.listed = true;
            model.worker = worker;
        }
        self.models
            .retain(|_, model| model.listed || model.outstanding > 0);
    }

    /// Places a task; returns whether the choice is one that the models allow.
    fn place(&mut self, value: u8) -> bool {
        let route = route();
        let requirement = Requirement {
            need: need(1 + u32::from(value % 2)),
            ..requirement(&route, &[])
        };
        let has_place = |model: &&Model| {
            model.is_eligible()
                && model.outstanding < model.limit(self.instances)
                && requirement.need.cores <= model.worker.resources.cores
        };
        // The best endpoints of the own data centre, or of the others; any of them may be picked.
        let best = |is_local: bool| {
            let candidates = || {
                self.models
                    .values()
                    .filter(has_place)
                    .filter(|model| model.is_local() == is_local)
            };
            let rank = candidates().map(Model::rank).min();
            candidates()
                .filter(|model| Some(model.rank()) == rank)
                .collect::<Vec<_>>()
        };
        let (local, remote) = (best(true), best(false));
        let Ok(id) = self.placement.place(&requirement) else {
            return local.is_empty() && remote.is_empty();
        };
        let is_busy = |models: &[&Model]| {
            models
                .iter()
                .any(|model| !model.starts_at_once(self.instances))
        };
        let model = &self.models[&id];
        let candidates = if model.is_local() { &local } else { &remote };
        let starts_at_once = model.starts_at_once(self.instances);
        let is_allowed = candidates
            .iter()
            .any(|best| best.worker.name == model.worker.name)
            && match model.is_local() {
                true => starts_at_once || remote.is_empty() || is_busy(&remote),
                false => local.is_empty() || is_busy(&local) && starts_at_once,
            };
        self.model(id).outstanding += 1;
        is_allowed
    }

    /// Applies one arbitrary step; returns whether the placement agrees with the models.
    fn step(&mut self, (kind, mask, value): (u8, u16, u8)) -> bool {
        let count = self.models.len().max(1);
        let id = self.models.keys().nth(usize::from(value) % count).copied();
        match (kind % 16, id) {
            (0, _) | (_, None) => self.list(mask, value),
            (1, Some(id)) => {
                self.placement.mark_leaving(id);
                self.model(id).reported_leaving = true;
            }
            (2, Some(id)) => {
                let ejected = mask % 2 != 0;
                let eligibility = if ejected {
                    Eligibility::Ejected
                } else {
                    Eligibility::Good
                };
                self.placement.set_eligibility(id, eligibility);
                self.model(id).ejected = ejected;
            }
            (3..=6, Some(id)) if self.model(id).outstanding > 0 => {
                let running = u32::from(mask % 8);
                let load = Load {
                    running,
                    queued: 0,
                    incarnation: None,
                };
                self.placement.on_task_end(id, None, Some(load));
                self.model(id).outstanding -= 1;
                self.model(id).load = running;
            }
            _ => return self.place(value) && self.sums_agree(),
        }
        self.sums_agree()
    }

    fn model(&mut self, id: EndpointId) -> &mut Model {
        self.models.get_mut(&id).expect("the id has a model")
    }

    /// Returns whether the placement's sums over all endpoints equal those of the models.
    fn sums_agree(&self) -> bool {
        let eligible = || self.models.values().filter(|model| model.is_eligible());
        let slots: u32 = eligible().map(|model| model.worker.slots).sum();
        let free = |model: &Model| {
            model
                .limit(self.instances)
                .saturating_sub(model.outstanding)
        };
        let free: u32 = eligible().map(free).sum();
        let route = route();
        self.placement.slots(&route) == slots && self.placement.free_places(&route) == free
    }
}

quickcheck! {
    /// A task must only go to an endpoint below its limit that is listed, not leaving, not ejected and large enough,
    /// and that ranks best among these in a search of all endpoints.
    fn agrees_with_an_exhaustive_search(steps: Vec<(u8, u16, u8)>) -> bool {
        let mut comparison = Comparison::new();
        steps.into_iter().all(|step| comparison.step(step))
    }
}

#[test]
fn slow_endpoints_get_fewer_tasks() {
    // Guards against late answers due to an endpoint that is much slower than the others and doesn't report it. It must
    // get less than a third of the others' tasks, but some, so that its recovery is noticed.
    let mut placement = placement(&workers(8));
    let slow = placement.find(&name("worker-3")).expect("listed");
    let route = route();
    let mut placed_counts = [0; 2];
    for round in 0..200 {
        let placed: Vec<EndpointId> = (0..32)
            .map(|_| placement.place(&requirement(&route, &[])).expect("room"))
            .collect();
        for id in placed {
            placed_counts[usize::from(id == slow)] += u32::from(round >= 20);
            let millis = if id == slow { 1_600 } else { 200 };
            placement.on_task_end(id, Some(Span::millis(millis)), None);
        }
        placement.apply_list(&workers(8), 7);
    }
    let (others, slow) = (placed_counts[0] / 7, placed_counts[1]);
    assert!(
        slow * 3 < others,
        "the slow endpoint got {slow} tasks, each of the others {others}"
    );
    assert!(slow > 0, "the slow endpoint got no task");
}

#[test]
fn ties_are_broken_evenly() {
    // Guards against tasks that wait at some endpoints while others are idle because all instances break ties the same
    // way. Equal endpoints must be picked about equally often.
    let mut placement = placement(&workers(10));
    let mut picks = BTreeMap::<EndpointId, u32>::new();
    let route = route();
    for _ in 0..10_000 {
        let id = placement.place(&requirement(&route, &[])).expect("room");
        *picks.entry(id).or_default() += 1;
        placement.on_task_end(id, None, None);
    }
    assert!(picks.len() == 10 && picks.values().all(|count| (850..1_150).contains(count)));
}

#[test]
fn spills_only_when_the_own_data_centre_is_busy_full_or_ineligible() {
    // Guards against needless traffic between data centres, and against waits or refusals while another one has places.
    // A data centre counts as busy from this instance's share of three tasks per slot, here 3 tasks.
    let mut placement = placement(&[worker(0, OWN), worker(1, OTHER)]);
    let mut route = route();
    let (own, other) = (EndpointId(0), EndpointId(1));
    for expected in [[own; 3], [other; 3], [own; 3], [own; 3]].concat() {
        assert_eq!(placement.place(&requirement(&route, &[])), Ok(expected));
    }
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(other));
    route.centres = vec![name("ulemiste-b")];
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::Full)
    );
    route.centres.push(name(OTHER));
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(other));
    route.spill = false;
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::Full)
    );
    placement.set_eligibility(own, Eligibility::Ejected);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::NoneEligible)
    );
    route.spill = true;
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(other));
}

#[test]
fn retries_avoid_the_endpoint_that_failed() {
    // Guards against a retry at the endpoint that just failed, which ranks best since it's idle. It must be avoided
    // while another one is eligible, even if that is full, and be used if there is none.
    let mut placement = placement(&workers(2));
    let route = route();
    let avoid = [EndpointId(0)];
    for _ in 0..9 {
        assert_eq!(
            placement.place(&requirement(&route, &avoid)),
            Ok(EndpointId(1))
        );
    }
    assert_eq!(
        placement.place(&requirement(&route, &avoid)),
        Err(Obstacle::Full)
    );
    placement.mark_leaving(EndpointId(1));
    assert_eq!(
        placement.place(&requirement(&route, &avoid)),
        Ok(EndpointId(0))
    );
}

#[test]
fn distinguishes_impossible_from_not_eligible() {
    // Guards against a permanent refusal of a job that could run later. Only a task that is too large for every
    // endpoint that was ever listed is impossible.
    let mut placement = placement(&workers(2));
    let route = route();
    let large = Requirement {
        need: need(65),
        ..requirement(&route, &[])
    };
    assert_eq!(placement.place(&large), Err(Obstacle::Impossible));
    placement.apply_list(&[], 7);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::NoneEligible)
    );
    assert_eq!(placement.place(&large), Err(Obstacle::Impossible));
}

#[test]
fn probation_gets_one_idempotent_task_at_a_time() {
    // Guards against start-once jobs that fail at an endpoint that was just ejected. On probation it must only get
    // idempotent tasks, which can be retried, and one at a time.
    let mut placement = placement(&workers(2));
    placement.set_eligibility(EndpointId(0), Eligibility::Probation);
    let route = route();
    let idempotent = Requirement {
        class: Class::Idempotent,
        ..requirement(&route, &[])
    };
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Ok(EndpointId(1))
    );
    assert_eq!(placement.place(&idempotent), Ok(EndpointId(0)));
    assert_eq!(placement.place(&idempotent), Ok(EndpointId(1)));
    placement.on_task_end(EndpointId(0), None, None);
    placement.set_eligibility(EndpointId(0), Eligibility::Trial);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Ok(EndpointId(0))
    );
}

#[test]
fn a_leaving_endpoint_gets_no_tasks_while_the_list_is_stale() {
    // Guards against refused starts at an endpoint that reported that it leaves while it's still listed as live. It
    // must get no task until it's listed with another address, or its report has expired.
    let list = workers(1);
    let mut placement = placement(&list);
    let route = route();
    placement.mark_leaving(EndpointId(0));
    placement.apply_list(&list, 7);
    let mut changed = list.clone();
    changed[0].slots = 9;
    placement.apply_list(&changed, 7);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::NoneEligible)
    );
    let mut moved = list.clone();
    moved[0].address = "10.0.0.2:1".to_owned();
    placement.apply_list(&moved, 7);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Ok(EndpointId(0))
    );
    placement.mark_leaving(EndpointId(0));
    for _ in 0..60 {
        placement.apply_list(&moved, 7);
    }
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Ok(EndpointId(0))
    );
}
