//! Settings of an instance, read from an INI file.

pub mod fault;
pub mod key;
mod reader;
mod size;

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    str::FromStr, //
};

use log::LevelFilter;

pub use self::size::Size;

use self::{
    fault::Fault,
    reader::Reader, //
};
use crate::{
    error::Error,
    prelude::*, //
};

/// The hint on valid addresses in a fault.
const ADDRESS_HINT: &str = "allowed is IP:PORT, such as 127.0.0.1:7400 or [::1]:7400";

/// The hint on valid names in a fault.
const NAME_HINT: &str = "allowed are 1 to 128 letters, digits, '-', '_' and '.'";

/// The hint on a valid list of data centres in a fault.
const CENTRES_HINT: &str = "allowed are names of data centres with commas between them";

/// The hint on valid log levels in a fault.
const LEVEL_HINT: &str = "allowed are off, error, warn, info, debug and trace";

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub name: Instance,
    /// The instance's data centre.
    pub centre: Centre,
    /// The listen address for callers and operators; port 0 takes any free port.
    pub caller_address: SocketAddr,
    /// The listen address for peers; port 0 takes any free port.
    pub peer_address: SocketAddr,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    /// The data centres whose endpoints are used, the instance's own included; empty for all.
    pub data_centres: Vec<Centre>,
    /// The operators, each with the token that authenticates it.
    pub operators: Vec<(Operator, String)>,
    /// Limits on what the instance holds.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// The file that the log is written to; standard error if there is none.
    pub log_file: Option<PathBuf>,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and otherwise with all faults in it.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text).map_err(|faults| Error::Settings {
            path: path.display().to_string(),
            faults,
        })
    }

    /// Reads settings from the text of an INI file.
    ///
    /// # Errors
    ///
    /// Returns all faults in the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::new(text)?;
        let settings = Self::read(&mut reader);
        match (settings, reader.into_faults()) {
            (Some(settings), faults) if faults.is_empty() => Ok(settings),
            (_, faults) => Err(faults),
        }
    }

    fn read(reader: &mut Reader) -> Option<Self> {
        // All values are read before `?` returns at the first missing one, so that all faults are reported.
        let name = reader.read_required("instance", "name", NAME_HINT);
        let centre = reader.read_required("instance", "data_centre", NAME_HINT);
        let callers = reader.read_required("listen", "callers", ADDRESS_HINT);
        let peers = reader.read_required("listen", "peers", ADDRESS_HINT);
        let platform = reader.read_required("platform", "address", ADDRESS_HINT);
        let data_centres = reader.read_optional("platform", "data_centres", CENTRES_HINT);
        let operators = reader.read_operators();
        let limits = Limits::read(reader);
        let timing = Timing::read(reader);
        let log = reader.read_optional("log", "level", LEVEL_HINT);
        let file: Option<PathBuf> = reader.read_optional("log", "file", "allowed is a path");
        if file.as_ref().is_some_and(|f| f.as_os_str().is_empty()) {
            reader.add_fault(Fault::new("log", "file", "is empty; allowed is a path"));
        }
        check_addresses(reader, callers, peers, platform);
        Some(Self {
            name: name?,
            centre: centre?,
            caller_address: callers?,
            peer_address: peers?,
            platform_address: platform?,
            data_centres: data_centres.map_or_else(Vec::new, |Centres(names)| names),
            operators,
            limits,
            timing,
            log_level: log.unwrap_or(LevelFilter::Info),
            log_file: file,
        })
    }
}

/// Names of data centres, separated by commas.
struct Centres(Vec<Centre>);

impl FromStr for Centres {
    type Err = crate::id::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').map(|name| name.trim().parse());
        names.collect::<Result<_, _>>().map(Self)
    }
}

/// Reports a peer address equal to the caller address, and a platform address that can't be connected to.
fn check_addresses(
    reader: &mut Reader,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    platform: Option<SocketAddr>,
) {
    if let (Some(callers), Some(peers)) = (callers, peers) {
        if callers == peers && callers.port() != 0 {
            let problem = "must differ from [listen] callers";
            reader.add_fault(Fault::new("listen", "peers", problem).with_value(&peers.to_string()));
        }
    }
    let is_unreachable = |a: &SocketAddr| a.ip().is_unspecified() || a.port() == 0;
    if let Some(platform) = platform.filter(is_unreachable) {
        let problem = "must be one host's address with a port other than 0";
        reader.add_fault(
            Fault::new("platform", "address", problem).with_value(&platform.to_string()),
        );
    }
}

/// Limits on what an instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The most connections of callers.
    pub connections: usize,
    /// The most bytes of the headers of a request.
    pub header_bytes: usize,
    /// The most bytes of the body of a request.
    pub body_bytes: usize,
    /// The most jobs in progress.
    pub jobs: usize,
    /// The most bytes of all jobs in progress.
    pub job_bytes: usize,
    /// The most tasks that wait for an endpoint.
    pub waiting_tasks: usize,
    /// The most tasks outstanding at one endpoint; the instance's share of the endpoint's connections if that is less.
    pub tasks_per_endpoint: u32,
    /// The most bytes of kept answers.
    pub kept_answer_bytes: usize,
    /// The most table commits per second of all instances together.
    pub writes_per_second: u32,
    /// The capacity of each ring between threads, in messages.
    pub ring_capacity: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            jobs: 20_000,
            job_bytes: 32 << 20,
            waiting_tasks: 20_000,
            tasks_per_endpoint: 16,
            kept_answer_bytes: 16 << 20,
            writes_per_second: 300,
            ring_capacity: 4_096,
        }
    }
}

impl Limits {
    fn read(reader: &mut Reader) -> Self {
        const SECTION: &str = "limits";
        let defaults = Self::default();
        let mut read_size = |key, default, range: [usize; 2]| {
            let [min, max] = range.map(Size);
            reader
                .read_in_range(SECTION, key, Size(default), min..=max)
                .0
        };
        let headers = read_size("headers", defaults.header_bytes, [1 << 10, 1 << 20]);
        let body = read_size("body", defaults.body_bytes, [1 << 10, 64 << 20]);
        let bytes = read_size("bytes", defaults.job_bytes, [64 << 10, 16 << 30]);
        let kept = read_size("kept", defaults.kept_answer_bytes, [64 << 10, 16 << 30]);
        let limits = Self {
            connections: reader.read_in_range(
                SECTION,
                "connections",
                defaults.connections,
                1..=65_536,
            ),
            header_bytes: headers,
            body_bytes: body,
            jobs: reader.read_in_range(SECTION, "jobs", defaults.jobs, 1..=1_000_000),
            job_bytes: bytes,
            waiting_tasks: reader.read_in_range(
                SECTION,
                "waiting",
                defaults.waiting_tasks,
                1..=1_000_000,
            ),
            tasks_per_endpoint: reader.read_in_range(
                SECTION,
                "outstanding",
                defaults.tasks_per_endpoint,
                1..=1_024,
            ),
            kept_answer_bytes: kept,
            writes_per_second: reader.read_in_range(
                SECTION,
                "writes",
                defaults.writes_per_second,
                1..=100_000,
            ),
            ring_capacity: reader.read_in_range(
                SECTION,
                "ring",
                defaults.ring_capacity,
                16..=65_536,
            ),
        };
        if limits.body_bytes > limits.job_bytes {
            let problem = format!(
                "must not exceed [limits] bytes = {}",
                Size(limits.job_bytes)
            );
            let fault = Fault::new(SECTION, "body", problem);
            reader.add_fault(fault.with_value(&Size(limits.body_bytes).to_string()));
        }
        limits
    }
}

/// Intervals and timeouts of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// The interval between heartbeats to a peer.
    pub heartbeat_interval: Span,
    /// The time without a message after which a peer counts as lost.
    pub peer_timeout: Span,
    /// The interval between reads of the platform's list.
    pub list_interval: Span,
    /// The interval between polls of the configuration's head.
    pub poll_interval: Span,
    /// The timeout of one request to the platform.
    pub platform_timeout: Span,
    /// The time that a caller has to send a whole request.
    pub receive_timeout: Span,
    /// The idle time after which a pooled connection isn't reused: the server may be closing it, and a request on it
    /// would end without an answer.
    pub idle_timeout: Span,
    /// The time beyond twice its expected run time after which the status of an unanswered task is checked.
    pub status_check_delay: Span,
    /// The time that answers are kept.
    pub answer_retention: Span,
    /// The time that a drain has to complete the jobs in progress.
    pub drain_timeout: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Span::millis(500),
            peer_timeout: Span::millis(2_000),
            list_interval: Span::millis(1_000),
            poll_interval: Span::millis(2_000),
            platform_timeout: Span::millis(1_000),
            receive_timeout: Span::millis(10_000),
            idle_timeout: Span::millis(2_000),
            status_check_delay: Span::millis(500),
            answer_retention: Span::seconds(600),
            drain_timeout: Span::seconds(30),
        }
    }
}

impl Timing {
    fn read(reader: &mut Reader) -> Self {
        const SECTION: &str = "timing";
        let defaults = Self::default();
        let mut read_span = |key, default, range: [u64; 2]| {
            let [min, max] = range.map(Span::millis);
            reader.read_in_range(SECTION, key, default, min..=max)
        };
        let timing = Self {
            heartbeat_interval: read_span("heartbeat", defaults.heartbeat_interval, [50, 60_000]),
            peer_timeout: read_span("silence", defaults.peer_timeout, [100, 600_000]),
            list_interval: read_span("list", defaults.list_interval, [100, 60_000]),
            // The upper bound keeps an accepted change in force everywhere within 10 s.
            poll_interval: read_span("poll", defaults.poll_interval, [100, 5_000]),
            platform_timeout: read_span("platform", defaults.platform_timeout, [50, 30_000]),
            receive_timeout: read_span("receive", defaults.receive_timeout, [100, 300_000]),
            idle_timeout: read_span("idle", defaults.idle_timeout, [100, 3_600_000]),
            status_check_delay: read_span("look", defaults.status_check_delay, [50, 60_000]),
            answer_retention: read_span("kept", defaults.answer_retention, [1_000, 86_400_000]),
            drain_timeout: read_span("drain", defaults.drain_timeout, [1_000, 600_000]),
        };
        timing.check_relations(reader);
        timing
    }

    /// Reports timeouts that contradict one another.
    fn check_relations(&self, reader: &mut Reader) {
        // A single late or lost heartbeat must not make a live peer count as lost.
        if self.peer_timeout <= self.heartbeat_interval.times(2) {
            let problem = format!(
                "must exceed twice [timing] heartbeat = {}",
                self.heartbeat_interval
            );
            let fault = Fault::new("timing", "silence", problem);
            reader.add_fault(fault.with_value(&self.peer_timeout.to_string()));
        }
        // A caller whose connection breaks at the end of a drain must still find its answer at another instance.
        if self.answer_retention <= self.drain_timeout {
            let problem = format!("must exceed [timing] drain = {}", self.drain_timeout);
            let fault = Fault::new("timing", "kept", problem);
            reader.add_fault(fault.with_value(&self.answer_retention.to_string()));
        }
    }
}
