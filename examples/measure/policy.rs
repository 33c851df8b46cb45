//! The placement of the product under other policies, in this process.
//!
//! Only the core's choice of an endpoint is real; messages take no time and nothing fails. It tells policies
//! apart in seconds, and the processes decide.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
};

use poplarknot::{
    core::placement::{
        EndpointId, //
        Placement,
        Policy,
        Requirement,
    },
    endpoint::wire::Load,
    prelude::*,
    record::route::Route,
    table::wire::Worker as Entry,
};

use crate::{
    fleet::CENTRES,
    placement::{
        INSTANCES,
        SLOTS,
        WORKERS, //
    },
    report::{
        three,
        Spread,
        Table, //
    },
    support::{
        worker,
        Result, //
    },
    trace::{
        self,
        Job,
        Mix, //
    },
    Effort,
};

/// A task that is placed.
#[derive(Debug, Clone, Copy)]
struct Placed {
    job: usize,
    sleep: u64,
    instance: usize,
    at: u64,
}

#[derive(Default)]
struct Worker {
    running: u32,
    queue: VecDeque<Placed>,
}

struct Instance {
    placement: Placement,
    queue: VecDeque<(usize, u64)>,
}

struct Model<'a> {
    jobs: &'a [Job],
    route: Route,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    left: Vec<usize>,
    /// Ends of tasks: the time in microseconds, a number that keeps the order, the worker and the task.
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    running: BTreeMap<u64, (usize, Placed)>,
    serial: u64,
    ratios: Spread,
}

impl<'a> Model<'a> {
    fn new(jobs: &'a [Job], policy: Policy, centres: usize, outstanding: u32) -> Result<Self> {
        let entry = |i: usize| worker::new_entry(&format!("worker-{i}"), CENTRES[i % centres]);
        let entries: Vec<Entry> = (0..WORKERS).map(entry).collect();
        let instance = |i: usize| -> Result<Instance> {
            let centre = CENTRES[i % centres].parse()?;
            let placement = Placement::new(centre, outstanding, i as u64).with_policy(policy);
            let mut instance = Instance {
                placement,
                queue: VecDeque::new(),
            };
            instance.placement.apply_list(&entries, INSTANCES);
            Ok(instance)
        };
        Ok(Self {
            jobs,
            route: route()?,
            instances: (0..INSTANCES).map(instance).collect::<Result<_>>()?,
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            left: jobs.iter().map(|job| job.sleeps.len()).collect(),
            ends: BinaryHeap::new(),
            running: BTreeMap::new(),
            serial: 0,
            ratios: Spread::default(),
        })
    }

    fn run(mut self) -> Spread {
        for number in 0..self.jobs.len() {
            let at = (self.jobs[number].at * 1e6) as u64;
            self.end_until(at);
            self.arrive(at, number);
        }
        self.end_until(u64::MAX);
        self.ratios
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let job = &self.jobs[number];
        let mut sleeps = job.sleeps.clone();
        sleeps.sort_unstable_by_key(|sleep| Reverse(*sleep));
        let instance = job.from % INSTANCES;
        let tasks = sleeps.into_iter().map(|sleep| (number, sleep));
        self.instances[instance].queue.extend(tasks);
        self.dispatch(now, instance);
    }

    fn dispatch(&mut self, now: u64, number: usize) {
        while let Some((job, sleep)) = self.instances[number].queue.front().copied() {
            let requirement = Requirement {
                route: &self.route,
                need: Hardware::default(),
                class: Class::Once,
                avoid: &[],
            };
            let instance = &mut self.instances[number];
            let Ok(EndpointId(worker)) = instance.placement.place(&requirement) else {
                return;
            };
            instance.queue.pop_front();
            let placed = Placed {
                job,
                sleep,
                instance: number,
                at: now,
            };
            self.workers[worker as usize].queue.push_back(placed);
            self.fill(now, worker as usize);
        }
    }

    /// Starts what waits at a worker while it has a slot.
    fn fill(&mut self, now: u64, number: usize) {
        let worker = &mut self.workers[number];
        while worker.running < SLOTS {
            let Some(placed) = worker.queue.pop_front() else {
                return;
            };
            worker.running += 1;
            self.serial += 1;
            self.running.insert(self.serial, (number, placed));
            let end = now + placed.sleep * 1_000;
            self.ends.push(Reverse((end, self.serial)));
        }
    }

    fn end_until(&mut self, until: u64) {
        while let Some(Reverse((now, serial))) = self.ends.peek().copied() {
            if now > until {
                return;
            }
            self.ends.pop();
            if let Some((worker, placed)) = self.running.remove(&serial) {
                self.end(now, worker, placed);
            }
        }
    }

    fn end(&mut self, now: u64, number: usize, placed: Placed) {
        let worker = &mut self.workers[number];
        worker.running -= 1;
        let load = Load {
            running: worker.running,
            queued: worker.queue.len() as u32,
            incarnation: None,
        };
        self.fill(now, number);
        let took = Span(now - placed.at);
        let placement = &mut self.instances[placed.instance].placement;
        placement.on_task_end(EndpointId(number as u32), Some(took), Some(load));
        self.left[placed.job] -= 1;
        if self.left[placed.job] == 0 {
            let job = &self.jobs[placed.job];
            let took = now as f64 / 1e3 - job.at * 1e3;
            self.ratios.add(took / job.ideal());
        }
        self.dispatch(now, placed.instance);
    }
}

/// A route that may use every worker.
fn route() -> Result<Route> {
    Ok(Route {
        service: "notebook".parse()?,
        revision: Revision(1),
        pools: vec!["workers".parse()?],
        centres: Vec::new(),
        spill: true,
        class: Class::Once,
        deadline: Span::seconds(60),
        lease: Span::seconds(60),
        max_tasks: 1_000,
        quotas: BTreeMap::new(),
    })
}

/// Tries every policy on the same jobs, and prints.
pub(crate) fn run(effort: Effort) -> Result {
    let mut table = Table::new(&[
        "load",
        "data centres",
        "most outstanding",
        "random",
        "own",
        "own, ties by report",
        "sum",
        "one queue",
    ]);
    for load in [0.7, 0.9] {
        let mix = Mix {
            seed: 2,
            load,
            slots: WORKERS as u32 * SLOTS,
            seconds: effort.pick(60.0, 600.0),
            wrong: (1.0, 1.0),
            tasks: None,
        };
        let jobs = trace::jobs(mix);
        for (centres, outstanding) in [(1, 16), (1, 8), (1, 4), (3, 16), (3, 8), (3, 4)] {
            let mut cells = vec![
                load.to_string(),
                centres.to_string(),
                outstanding.to_string(),
            ];
            for policy in [
                Policy::Random,
                Policy::Outstanding,
                Policy::OutstandingThenLoad,
                Policy::OutstandingPlusLoad,
            ] {
                let ratios = Model::new(&jobs, policy, centres, outstanding)?.run();
                cells.push(three(ratios.mean()));
            }
            cells.push(three(trace::one_queue(&jobs, mix.slots).mean()));
            table.row(cells);
        }
    }
    table.print("Policies in this process: mean response time over ideal, 48 workers, 6 instances");
    Ok(())
}
