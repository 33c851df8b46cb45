//! Reads the metrics of instances, and the CPU time and memory of their processes.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr, //
};

use crate::support::{
    client,
    Result, //
};

/// The metrics of one instance, or the sums over several.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Reads and adds up the metrics of instances.
    pub(crate) async fn read(instances: &[SocketAddr]) -> Result<Self> {
        let mut sum = Self::default();
        for instance in instances {
            let answer = client::get(*instance, "/metrics").await?;
            let text = String::from_utf8_lossy(&answer.body);
            let lines = text.lines().filter(|line| !line.starts_with('#'));
            for (name, value) in lines.filter_map(|line| line.rsplit_once(' ')) {
                *sum.0.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
            }
        }
        Ok(sum)
    }

    /// Returns the value of a metric, or 0 if it is missing; `name` has the labels, and lacks the prefix `poplarknot_`.
    pub(crate) fn get(&self, name: &str) -> f64 {
        let value = self.0.get(&format!("poplarknot_{name}"));
        value.copied().unwrap_or(0.0)
    }

    /// Returns the number of messages of a kind.
    pub(crate) fn messages(&self, kind: &str) -> f64 {
        self.get(&format!("messages_total{{kind=\"{kind}\"}}"))
    }

    /// Returns the number of messages to and from endpoints and peers.
    pub(crate) fn task_and_peer_messages(&self) -> f64 {
        let kinds = ["start", "reply", "look", "stop", "peer-call"];
        kinds.iter().map(|kind| self.messages(kind)).sum()
    }

    /// Returns the increases since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let name = |name: &String| earlier.0.get(name).copied().unwrap_or(0.0);
        let rest = self.0.iter().map(|(k, value)| (k.clone(), value - name(k)));
        Self(rest.collect())
    }
}

/// CPU time and memory of a process.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage {
    /// CPU time in microseconds, by the name of the thread.
    pub(crate) thread_cpu_us: BTreeMap<String, f64>,
    /// Resident memory in bytes.
    pub(crate) memory_bytes: f64,
}

impl Usage {
    /// Reads the CPU time that a process has used since its start, and its present memory.
    pub(crate) fn read(process: u32) -> Result<Self> {
        let mut usage = Self::default();
        for task in fs::read_dir(format!("/proc/{process}/task"))? {
            let folder = task?.path();
            let name = fs::read_to_string(folder.join("comm"))?;
            // The first number is the CPU time in nanoseconds.
            let text = fs::read_to_string(folder.join("schedstat"))?;
            let spent: f64 = text.split(' ').next().unwrap_or("0").parse()?;
            let name = name.trim().to_owned();
            *usage.thread_cpu_us.entry(name).or_default() += spent / 1e3;
        }
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|l| l.split_whitespace().next());
        usage.memory_bytes = kib.unwrap_or("0").parse::<f64>()? * 1024.0;
        Ok(usage)
    }

    /// Returns the CPU time of all threads, in microseconds.
    pub(crate) fn total_cpu_us(&self) -> f64 {
        self.thread_cpu_us.values().sum()
    }

    /// Returns the CPU time of the threads of a name, in microseconds.
    pub(crate) fn cpu_us_of(&self, name: &str) -> f64 {
        self.thread_cpu_us.get(name).copied().unwrap_or(0.0)
    }

    /// Returns the CPU time used since `earlier`, and the memory of this reading.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let rest = self.thread_cpu_us.iter();
        let rest = rest.map(|(name, spent)| (name.clone(), spent - earlier.cpu_us_of(name)));
        Self {
            thread_cpu_us: rest.collect(),
            memory_bytes: self.memory_bytes,
        }
    }
}
