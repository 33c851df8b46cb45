use crate::support::*;

const BOUND: u32 = 16;

pub(crate) fn placement(list: &[Worker]) -> Placement {
    let mut placement = Placement::new(name(OWN), BOUND, 7);
    placement.apply_list(list, 7);
    placement
}

/// What a plain table would know of one endpoint.
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
    fn eligible(&self) -> bool {
        self.listed && !self.reported_leaving && !self.ejected && self.worker.state == State::Live
    }

    fn bound(&self, instances: u32) -> u32 {
        BOUND.min(self.worker.connections / instances).max(1)
    }

    /// Fewest outstanding for each slot, then the load reported last.
    fn rank(&self) -> (u64, u32) {
        let work = u64::from(self.outstanding + 1) * 1024 / u64::from(self.worker.slots);
        (work, self.load)
    }

    fn near(&self) -> bool {
        self.worker.centre == name(OWN)
    }

    /// Whether a task is likely to start at once: the first one, or three for each slot of all instances together,
    /// and no more than one for each slot.
    fn idle(&self, instances: u32) -> bool {
        let part = (3 * 1024 / u64::from(instances)).min(1024);
        self.outstanding == 0 || self.rank().0 <= part
    }
}

/// A table and its model, driven side by side by arbitrary steps.
struct Pair {
    placement: Placement,
    models: BTreeMap<Slot, Model>,
    instances: u32,
}

impl Pair {
    fn new() -> Self {
        Self {
            placement: Placement::new(name(OWN), BOUND, 7),
            models: BTreeMap::new(),
            instances: 1,
        }
    }

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
        let absent = |(slot, model): (&Slot, &Model)| (!model.listed).then_some(*slot);
        let absent: Vec<Slot> = self.models.iter().filter_map(absent).collect();
        for model in self.models.values_mut() {
            model.listed = false;
        }
        for worker in list {
            let slot = self
                .placement
                .find(&worker.name)
                .expect("a listed worker has a slot");
            let model = self.models.entry(slot).or_insert_with(|| Model {
                worker: worker.clone(),
                listed: false,
                reported_leaving: false,
                ejected: false,
                outstanding: 0,
                load: 0,
            });
            let same = model.worker.name == worker.name;
            assert!(same, "the slot of {} was reused", model.worker.name);
            let back = absent.contains(&slot) || model.worker.state == State::Leaving;
            if back && worker.state == State::Live {
                model.reported_leaving = false;
            }
            model.listed = true;
            model.worker = worker;
        }
        self.models
            .retain(|_, model| model.listed || model.outstanding > 0);
    }

    fn place(&mut self, value: u8) -> bool {
        let route = route();
        let requirement = Requirement {
            need: need(1 + u32::from(value % 2)),
            ..requirement(&route, &[])
        };
        let open = |model: &&Model| {
            model.eligible()
                && model.outstanding < model.bound(self.instances)
                && requirement.need.cores <= model.worker.resources.cores
        };
        // The best of the own data centre and of the others; among equals any may be taken.
        let best = |near: bool| {
            let of = || {
                self.models
                    .values()
                    .filter(open)
                    .filter(|m| m.near() == near)
            };
            let rank = of().map(Model::rank).min();
            of().filter(|m| Some(m.rank()) == rank).collect::<Vec<_>>()
        };
        let (near, far) = (best(true), best(false));
        let Ok(slot) = self.placement.place(&requirement) else {
            return near.is_empty() && far.is_empty();
        };
        let busy = |models: &[&Model]| models.iter().any(|m| !m.idle(self.instances));
        let model = &self.models[&slot];
        let of = if model.near() { &near } else { &far };
        let idle = model.idle(self.instances);
        let right = of.iter().any(|best| best.worker.name == model.worker.name)
            && match model.near() {
                true => idle || far.is_empty() || busy(&far),
                false => near.is_empty() || busy(&near) && idle,
            };
        self.model(slot).outstanding += 1;
        right
    }

    fn step(&mut self, (kind, mask, value): (u8, u16, u8)) -> bool {
        let count = self.models.len().max(1);
        let slot = self.models.keys().nth(usize::from(value) % count).copied();
        match (kind % 16, slot) {
            (0, _) | (_, None) => self.list(mask, value),
            (1, Some(slot)) => {
                self.placement.mark_leaving(slot);
                self.model(slot).reported_leaving = true;
            }
            (2, Some(slot)) => {
                let yes = mask % 2 == 0;
                self.placement.set_eligible(slot, yes);
                self.model(slot).ejected = !yes;
            }
            (3..=6, Some(slot)) if self.model(slot).outstanding > 0 => {
                let running = u32::from(mask % 8);
                let load = Load {
                    running,
                    queued: 0,
                    incarnation: None,
                };
                self.placement.on_task_end(slot, None, Some(load));
                self.model(slot).outstanding -= 1;
                self.model(slot).load = running;
            }
            _ => return self.place(value) && self.sums_agree(),
        }
        self.sums_agree()
    }

    fn model(&mut self, slot: Slot) -> &mut Model {
        self.models.get_mut(&slot).expect("a known slot")
    }

    fn sums_agree(&self) -> bool {
        let eligible = || self.models.values().filter(|model| model.eligible());
        let slots: u32 = eligible().map(|model| model.worker.slots).sum();
        let free = |model: &Model| {
            model
                .bound(self.instances)
                .saturating_sub(model.outstanding)
        };
        let free: u32 = eligible().map(free).sum();
        let route = route();
        self.placement.slots(&route) == slots && self.placement.free_places(&route) == free
    }
}

quickcheck! {
    /// Over any steps: never past a bound, never to an endpoint that is leaving, ejected, unlisted or too small, and
    /// always to one of the best ranks that a search of all would find.
    fn agrees_with_a_plain_table(steps: Vec<(u8, u16, u8)>) -> bool {
        let mut pair = Pair::new();
        steps.into_iter().all(|step| pair.step(step))
    }
}

#[test]
fn stragglers_get_less() {
    // The caller sees late answers from a job whose tasks all look alike. One endpoint of eight is eight times as
    // slow as the others, and says nothing of it. Its tasks end late, so its recent service time stands out; it
    // must get clearly less than its share then, but not nothing, or its recovery would go unseen.
    let mut placement = placement(&workers(8));
    let slow = placement.find(&name("worker-3")).expect("listed");
    let route = route();
    let mut given = [0; 2];
    for round in 0..200 {
        let placed: Vec<Slot> = (0..32)
            .map(|_| placement.place(&requirement(&route, &[])).expect("room"))
            .collect();
        for slot in placed {
            given[usize::from(slot == slow)] += u32::from(round >= 20);
            let took = if slot == slow { 1_600 } else { 200 };
            placement.on_task_end(slot, Some(Span::millis(took)), None);
        }
        placement.apply_list(&workers(8), 7);
    }
    let (others, slow) = (given[0] / 7, given[1]);
    assert!(
        slow * 3 < others,
        "the straggler got {slow}, each of the others {others}"
    );
    assert!(slow > 0, "the straggler got nothing at all");
}

#[test]
fn ties_are_drawn_evenly() {
    // The caller sees waits although half of the endpoints are idle. Instances that share endpoints and settle ties
    // alike all pick the same ones. Among equals each must come up about equally often.
    let mut placement = placement(&workers(10));
    let mut given = BTreeMap::<Slot, u32>::new();
    let route = route();
    for _ in 0..10_000 {
        let slot = placement.place(&requirement(&route, &[])).expect("room");
        *given.entry(slot).or_default() += 1;
        placement.on_task_end(slot, None, None);
    }
    assert!(given.len() == 10 && given.values().all(|count| (850..1_150).contains(count)));
}

#[test]
fn spills_only_when_the_own_data_centre_is_busy_full_or_gone() {
    // The caller sees longer answers when work crosses data centres for nothing, when it waits at home while another
    // is idle, and refusals when it may not cross although its own is full or gone. Of seven instances each has three
    // sevenths of the slots before the other data centre is used; then that fills up the same way; then the own one
    // up to its bound, and last the other, only if the route lets work leave.
    let mut placement = placement(&[worker(0, OWN), worker(1, OTHER)]);
    let mut route = route();
    let (own, other) = (Slot(0), Slot(1));
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
    placement.set_eligible(own, false);
    assert_eq!(
        placement.place(&requirement(&route, &[])),
        Err(Obstacle::NoneEligible)
    );
    route.spill = true;
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(other));
}

#[test]
fn retries_go_elsewhere_first() {
    // The caller sees a failure that a retry should have hidden. An endpoint that fails at once is idle again before
    // all others, and looks best to the retry. It must be left out while there is any other, be that one full, and
    // be used when there is none.
    let mut placement = placement(&workers(2));
    let route = route();
    let avoid = [Slot(0)];
    for _ in 0..9 {
        assert_eq!(placement.place(&requirement(&route, &avoid)), Ok(Slot(1)));
    }
    assert_eq!(
        placement.place(&requirement(&route, &avoid)),
        Err(Obstacle::Full)
    );
    placement.mark_leaving(Slot(1));
    assert_eq!(placement.place(&requirement(&route, &avoid)), Ok(Slot(0)));
}

#[test]
fn tells_never_from_not_now() {
    // The caller is told that its job can never run, and gives it up, when it only came at a bad moment. A task is
    // refused for good only when no endpoint that was ever listed is large enough.
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
    // The caller of a start-once job sees it fail at an endpoint that was ejected a moment ago. An endpoint on
    // probation may fail again, so it must get idempotent tasks alone, which can be retried, and one at a time.
    let mut placement = placement(&workers(2));
    placement.set_eligibility(Slot(0), Eligibility::Probation);
    let route = route();
    let idempotent = Requirement {
        class: Class::Idempotent,
        ..requirement(&route, &[])
    };
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(Slot(1)));
    assert_eq!(placement.place(&idempotent), Ok(Slot(0)));
    assert_eq!(placement.place(&idempotent), Ok(Slot(1)));
    placement.on_task_end(Slot(0), None, None);
    placement.set_eligibility(Slot(0), Eligibility::Trial);
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(Slot(0)));
}

#[test]
fn the_word_of_a_leaving_endpoint_outlives_a_late_list() {
    // The caller sees a refused start and a delay. The endpoint has said that it is leaving, and then the platform's
    // list, which is late, shows it as live again and again. It must get nothing, until a list shows that it came
    // back: under another address, after an absence, or as live for so long that the word is out of date.
    let list = workers(1);
    let mut placement = placement(&list);
    let route = route();
    placement.mark_leaving(Slot(0));
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
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(Slot(0)));
    placement.mark_leaving(Slot(0));
    for _ in 0..60 {
        placement.apply_list(&moved, 7);
    }
    assert_eq!(placement.place(&requirement(&route, &[])), Ok(Slot(0)));
}
