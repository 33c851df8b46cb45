//! Simulates placement policies in this process.
//!
//! The choice of an endpoint is that of the core; messages take no time and nothing fails. A simulation ranks policies in
//! seconds; only the measurements on processes decide between them.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    }, //
};

use poplarknot::{
    core::placement::{
        EndpointId,
        Placement,
        Policy,
        Requirement, //
    },
    endpoint::wire::Load,
    prelude::*,
    record::route::Route,
    table::wire::Worker as Entry, //
};

use crate::{
    fleet::CENTRES,
    placement::{
        INSTANCES,
        SLOTS,
        WORKERS, //
    },
    report::{
        three_decimals,
        Distribution,
        Table, //
    },
    support::{
        worker,
        Result, //
    },
    trace::{
        self,
        Job,
        Workload, //
    },
    Effort, //
};

/// A task placed on a worker.
#[derive(Debug, Clone, Copy)]
struct Placed {
    job: usize,
    sleep_ms: u64,
    instance: usize,
    placed_at: u64,
}

/// Running tasks of a worker, and those placed on it that wait for a slot.
#[derive(Default)]
struct Worker {
    running: u32,
    queue: VecDeque<Placed>,
}

/// The placement of an instance, and its tasks that are not placed yet.
struct Instance {
    placement: Placement,
    /// Waiting tasks: the index of the job, and the run time in milliseconds.
    queue: VecDeque<(usize, u64)>,
}

/// A discrete-event simulation; all times are in microseconds.
struct Simulation<'a> {
    jobs: &'a [Job],
    route: Route,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    /// Number of unfinished tasks of each job.
    unfinished_tasks: Vec<usize>,
    /// Ends of running tasks, the earliest first: the time in microseconds, and the serial number of the task.
    end_times: BinaryHeap<Reverse<(u64, u64)>>,
    /// Running tasks by serial number, each with the index of its worker.
    running: BTreeMap<u64, (usize, Placed)>,
    serial: u64,
    ratios: Distribution,
}

impl<'a> Simulation<'a> {
    /// Returns a simulation that has not begun; each instance may have `outstanding` tasks at a worker.
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
            route: unrestricted_route()?,
            instances: (0..INSTANCES).map(instance).collect::<Result<_>>()?,
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            unfinished_tasks: jobs.iter().map(|job| job.sleeps_ms.len()).collect(),
            end_times: BinaryHeap::new(),
            running: BTreeMap::new(),
            serial: 0,
            ratios: Distribution::default(),
        })
    }

    /// Runs all jobs, and returns their response times over the ideal.
    fn run(mut self) -> Distribution {
        for number in 0..self.jobs.len() {
            let at = (self.jobs[number].arrival_s * 1e6) as u64;
            self.process_ends_until(at);
            self.on_arrival(at, number);
        }
        self.process_ends_until(u64::MAX);
        self.ratios
    }

    /// Queues the tasks of a job at its instance, the longest first, and places those that fit.
    fn on_arrival(&mut self, now: u64, number: usize) {
        let job = &self.jobs[number];
        let mut sleeps_ms = job.sleeps_ms.clone();
        sleeps_ms.sort_unstable_by_key(|sleep| Reverse(*sleep));
        let instance = job.instance_seed % INSTANCES;
        let tasks = sleeps_ms.into_iter().map(|sleep| (number, sleep));
        self.instances[instance].queue.extend(tasks);
        self.dispatch(now, instance);
    }

    /// Places the waiting tasks of an instance until no endpoint has room.
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
                sleep_ms: sleep,
                instance: number,
                placed_at: now,
            };
            self.workers[worker as usize].queue.push_back(placed);
            self.start_queued(now, worker as usize);
        }
    }

    /// Starts queued tasks of a worker while it has a free slot.
    fn start_queued(&mut self, now: u64, number: usize) {
        let worker = &mut self.workers[number];
        while worker.running < SLOTS {
            let Some(placed) = worker.queue.pop_front() else {
                return;
            };
            worker.running += 1;
            self.serial += 1;
            self.running.insert(self.serial, (number, placed));
            let end = now + placed.sleep_ms * 1_000;
            self.end_times.push(Reverse((end, self.serial)));
        }
    }

    /// Ends all tasks that are due by `until`.
    fn process_ends_until(&mut self, until: u64) {
        while let Some(Reverse((now, serial))) = self.end_times.peek().copied() {
            if now > until {
                return;
            }
            self.end_times.pop();
            if let Some((worker, placed)) = self.running.remove(&serial) {
                self.on_task_end(now, worker, placed);
            }
        }
    }

    /// Frees the slot of a task, and lets its worker and its instance start the next ones.
    fn on_task_end(&mut self, now: u64, number: usize, placed: Placed) {
        let worker = &mut self.workers[number];
        worker.running -= 1;
        let load = Load {
            running: worker.running,
            queued: worker.queue.len() as u32,
            incarnation: None,
        };
        self.start_queued(now, number);
        let took = Span(now - placed.placed_at);
        let placement = &mut self.instances[placed.instance].placement;
        placement.on_task_end(EndpointId(number as u32), Some(took), Some(load));
        self.unfinished_tasks[placed.job] -= 1;
        if self.unfinished_tasks[placed.job] == 0 {
            let job = &self.jobs[placed.job];
            let took = now as f64 / 1e3 - job.arrival_s * 1e3;
            self.ratios.add(took / job.ideal());
        }
        self.dispatch(now, placed.instance);
    }
}

/// Returns a route that may use every worker.
fn unrestricted_route() -> Result<Route> {
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

/// Simulates every policy on the same jobs, and prints a table.
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
        let workload = Workload {
            seed: 2,
            load,
            slots: WORKERS as u32 * SLOTS,
            seconds: effort.pick(60.0, 600.0),
            declared_factor: (1.0, 1.0),
            tasks: None,
        };
        let jobs = trace::generate_jobs(workload);
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
                let ratios = Simulation::new(&jobs, policy, centres, outstanding)?.run();
                cells.push(three_decimals(ratios.mean()));
            }
            cells.push(three_decimals(
                trace::simulate_one_queue(&jobs, workload.slots).mean(),
            ));
            table.add_row(cells);
        }
    }
    table.print("Policies in this process: mean response time over ideal, 48 workers, 6 instances");
    Ok(())
}
