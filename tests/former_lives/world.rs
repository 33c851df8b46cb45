//! What callers, faults and checks share.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use poplarknot::clock::unix_millis;
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom as _,
    Rng as _, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::{
    fault::Trouble,
    fleet::{
        write_configuration,
        Fleet,
        Instance, //
    },
    support::Result, //
};

/// The time for which faults are injected.
const FAULT_SPAN: Duration = Duration::from_secs(10);
/// The timeout of the route, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 8_000;

/// The numbers of processes and callers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) endpoints: usize,
    pub(crate) callers: u64,
}

impl Size {
    const DEFAULT: Self = Self {
        instances: 8,
        endpoints: 32,
        callers: 60,
    };
    const LARGE: Self = Self {
        instances: 20,
        endpoints: 80,
        callers: 150,
    };

    /// Returns the size that `FORMER_LIVES_SIZE` names.
    pub(crate) fn from_environment() -> Self {
        match std::env::var("FORMER_LIVES_SIZE").as_deref() {
            Ok("large") => Self::LARGE,
            _ => Self::DEFAULT,
        }
    }
}

/// An instance across its processes.
pub(crate) struct Slot {
    pub(crate) instance: Mutex<Arc<Instance>>,
    /// The logs of its former processes.
    pub(crate) log: Mutex<String>,
}

impl Slot {
    pub(crate) fn current(&self) -> Arc<Instance> {
        self.instance.lock().unwrap().clone()
    }
}

/// What callers were told, and what they and the faults did.
#[derive(Default)]
pub(crate) struct Ledger {
    /// Jobs that were answered as completed, with their number of tasks.
    pub(crate) completed: HashMap<u64, usize>,
    /// Stored jobs that were accepted, with their number of tasks.
    pub(crate) accepted: HashMap<u64, usize>,
    /// Whether every submission of a job was refused, by job.
    pub(crate) refused: HashMap<u64, bool>,
    /// The number of requests by their end.
    pub(crate) ends: HashMap<String, usize>,
    /// Guarantees that were seen to be broken.
    pub(crate) violations: Vec<String>,
    /// Faults and requests, with the times since 1970 in milliseconds.
    pub(crate) history: Vec<(u64, String)>,
}

/// A fleet with its callers and faults.
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) slots: Vec<Slot>,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) trouble: Trouble,
    /// Endpoints that get no further series of faults yet, or at all.
    pub(crate) troubled: Mutex<HashSet<usize>>,
    program: PathBuf,
    end: Instant,
    /// The origin of the times in reports.
    start: (Instant, u64),
}

impl World {
    /// Starts a fleet. Faults end a fixed time later.
    pub(crate) async fn start(program: &Path, size: Size, trouble: Trouble) -> Result<Self> {
        let (instances, endpoints) = (size.instances, size.endpoints);
        let mut fleet =
            Fleet::start_in_racks(program, instances, endpoints, Duration::ZERO).await?;
        write_configuration(&fleet.store, 8, ROUTE_TIMEOUT_MS);
        let slot = |instance| Slot {
            instance: Mutex::new(Arc::new(instance)),
            log: Mutex::default(),
        };
        let slots = std::mem::take(&mut fleet.instances);
        let now = Instant::now();
        Ok(Self {
            fleet,
            slots: slots.into_iter().map(slot).collect(),
            ledger: Mutex::default(),
            trouble,
            troubled: Mutex::default(),
            program: program.to_owned(),
            end: now + FAULT_SPAN,
            start: (now, unix_millis()),
        })
    }

    pub(crate) fn program(&self) -> &Path {
        &self.program
    }

    pub(crate) fn record(&self, event: String) {
        let mut ledger = self.ledger.lock().unwrap();
        ledger.history.push((unix_millis(), event));
    }

    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    /// Waits for a span, or until the faults end.
    pub(crate) async fn wait(&self, span: Duration) {
        let left = self.end.saturating_duration_since(Instant::now());
        sleep(span.min(left)).await;
    }

    /// Chooses an instance other than `last`. A few callers don't know yet that it's down.
    pub(crate) fn choose_instance(&self, last: usize, random: &mut SmallRng) -> usize {
        let knows = random.random_ratio(9, 10);
        let is_eligible =
            |i: &usize| *i != last && (!knows || self.slots[*i].current().is_running());
        let eligible: Vec<usize> = (0..self.slots.len()).filter(is_eligible).collect();
        eligible.choose(random).copied().unwrap_or(0)
    }

    /// Returns a time since 1970 in milliseconds.
    pub(crate) fn unix_time(&self, at: Instant) -> u64 {
        let (start, unix) = self.start;
        unix + at.saturating_duration_since(start).as_millis() as u64
    }
}
