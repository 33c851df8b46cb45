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
    str::FromStr,
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

/// What an address may be.
const ADDRESS: &str = "allowed is IP:PORT, such as 127.0.0.1:7400 or [::1]:7400";

/// What a name may be.
const NAME: &str = "allowed are 1 to 128 letters, digits, '-', '_' and '.'";

/// What is allowed for several data centres.
const NAMES: &str = "allowed are names of data centres with commas between them";

/// The levels of the log.
const LEVEL: &str = "allowed are off, error, warn, info, debug and trace";

/// Everything that an instance learns from its settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub name: Instance,
    /// The instance's data centre.
    pub centre: Centre,
    /// Where callers and operators connect; port 0 takes any free port.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// The data centres whose endpoints are used, the own one among them; empty stands for all.
    pub data_centres: Vec<Centre>,
    /// Operators by their tokens.
    pub operators: Vec<(Operator, String)>,
    /// The bounds.
    pub limits: Limits,
    /// The waits.
    pub timing: Timing,
    /// The least level that is logged.
    pub log_level: LevelFilter,
    /// The file that the log goes to; standard error where there is none.
    pub log_file: Option<PathBuf>,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails where the file can't be read, and otherwise with every fault in it at once.
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
    /// Returns every fault in the text at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::new(text)?;
        let settings = Self::read(&mut reader);
        match (settings, reader.faults()) {
            (Some(settings), faults) if faults.is_empty() => Ok(settings),
            (_, faults) => Err(faults),
        }
    }

    fn read(reader: &mut Reader) -> Option<Self> {
        // Every value is read before the first missing one ends the reading, so that all faults are found.
        let name = reader.required("instance", "name", NAME);
        let centre = reader.required("instance", "data_centre", NAME);
        let callers = reader.required("listen", "callers", ADDRESS);
        let peers = reader.required("listen", "peers", ADDRESS);
        let platform = reader.required("platform", "address", ADDRESS);
        let data_centres = reader.optional("platform", "data_centres", NAMES);
        let operators = reader.operators();
        let limits = Limits::read(reader);
        let timing = Timing::read(reader);
        let log = reader.optional("log", "level", LEVEL);
        let file: Option<PathBuf> = reader.optional("log", "file", "allowed is a path");
        if file.as_ref().is_some_and(|f| f.as_os_str().is_empty()) {
            reader.fault(Fault::new("log", "file", "is empty; allowed is a path"));
        }
        check_addresses(reader, callers, peers, platform);
        Some(Self {
            name: name?,
            centre: centre?,
            caller_address: callers?,
            peer_address: peers?,
            platform_address: platform?,
            data_centres: data_centres.map_or_else(Vec::new, |Names(names)| names),
            operators,
            limits,
            timing,
            log_level: log.unwrap_or(LevelFilter::Info),
            log_file: file,
        })
    }
}

/// Names of data centres, separated by commas.
struct Names(Vec<Centre>);

impl FromStr for Names {
    type Err = crate::id::Fault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').map(|name| name.trim().parse());
        names.collect::<Result<_, _>>().map(Self)
    }
}

fn check_addresses(
    reader: &mut Reader,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    platform: Option<SocketAddr>,
) {
    if let (Some(callers), Some(peers)) = (callers, peers) {
        if callers == peers && callers.port() != 0 {
            let problem = "must differ from [listen] callers";
            reader.fault(Fault::new("listen", "peers", problem).with_value(&peers.to_string()));
        }
    }
    let unreachable = |a: &SocketAddr| a.ip().is_unspecified() || a.port() == 0;
    if let Some(platform) = platform.filter(unreachable) {
        let problem = "must be one host's address with a port other than 0";
        reader.fault(Fault::new("platform", "address", problem).with_value(&platform.to_string()));
    }
}

/// Bounds on what an instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Connections of callers.
    pub connections: usize,
    /// Bytes of the headers of a request.
    pub header_bytes: usize,
    /// Bytes of the body of a request.
    pub body_bytes: usize,
    /// Jobs in progress.
    pub jobs: usize,
    /// Bytes of jobs in progress.
    pub job_bytes: usize,
    /// Tasks that wait for an endpoint.
    pub waiting_tasks: usize,
    /// Tasks outstanding at one endpoint; its share of the endpoint's connections where that is less.
    pub tasks_per_endpoint: u32,
    /// Bytes of kept answers.
    pub kept_answer_bytes: usize,
    /// Table writes a second of all instances together.
    pub writes_per_second: u32,
    /// Places in each ring between threads.
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
        let d = Self::default();
        let mut size = |key, default, range: [usize; 2]| {
            let [least, most] = range.map(Size);
            reader.within(SECTION, key, Size(default), least..=most).0
        };
        let headers = size("headers", d.header_bytes, [1 << 10, 1 << 20]);
        let body = size("body", d.body_bytes, [1 << 10, 64 << 20]);
        let bytes = size("bytes", d.job_bytes, [64 << 10, 16 << 30]);
        let kept = size("kept", d.kept_answer_bytes, [64 << 10, 16 << 30]);
        let limits = Self {
            connections: reader.within(SECTION, "connections", d.connections, 1..=65_536),
            header_bytes: headers,
            body_bytes: body,
            jobs: reader.within(SECTION, "jobs", d.jobs, 1..=1_000_000),
            job_bytes: bytes,
            waiting_tasks: reader.within(SECTION, "waiting", d.waiting_tasks, 1..=1_000_000),
            tasks_per_endpoint: reader.within(
                SECTION,
                "outstanding",
                d.tasks_per_endpoint,
                1..=1_024,
            ),
            kept_answer_bytes: kept,
            writes_per_second: reader.within(SECTION, "writes", d.writes_per_second, 1..=100_000),
            ring_capacity: reader.within(SECTION, "ring", d.ring_capacity, 16..=65_536),
        };
        if limits.body_bytes > limits.job_bytes {
            let problem = format!(
                "must not exceed [limits] bytes = {}",
                Size(limits.job_bytes)
            );
            let fault = Fault::new(SECTION, "body", problem);
            reader.fault(fault.with_value(&Size(limits.body_bytes).to_string()));
        }
        limits
    }
}

/// How long things may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Between heartbeats to a peer.
    pub heartbeat_interval: Span,
    /// After which a silent peer counts as gone.
    pub peer_timeout: Span,
    /// Between reads of the platform's list.
    pub list_interval: Span,
    /// Between polls of the configuration's head.
    pub poll_interval: Span,
    /// For one operation on the platform.
    pub platform_timeout: Span,
    /// For a caller to send its whole request.
    pub receive_timeout: Span,
    /// After which an idle connection to an endpoint is not trusted with a start any more.
    pub idle_timeout: Span,
    /// After its expected time, until a start without an answer is looked up.
    pub lookup_delay: Span,
    /// How long answers are kept.
    pub answer_retention: Span,
    /// For a drain to end what is in progress.
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
            lookup_delay: Span::millis(500),
            answer_retention: Span::seconds(600),
            drain_timeout: Span::seconds(30),
        }
    }
}

impl Timing {
    fn read(reader: &mut Reader) -> Self {
        const SECTION: &str = "timing";
        let d = Self::default();
        let mut span = |key, default, range: [u64; 2]| {
            let [least, most] = range.map(Span::millis);
            reader.within(SECTION, key, default, least..=most)
        };
        let timing = Self {
            heartbeat_interval: span("heartbeat", d.heartbeat_interval, [50, 60_000]),
            peer_timeout: span("silence", d.peer_timeout, [100, 600_000]),
            list_interval: span("list", d.list_interval, [100, 60_000]),
            // An accepted change has to be in force everywhere within 10 s.
            poll_interval: span("poll", d.poll_interval, [100, 5_000]),
            platform_timeout: span("platform", d.platform_timeout, [50, 30_000]),
            receive_timeout: span("receive", d.receive_timeout, [100, 300_000]),
            idle_timeout: span("idle", d.idle_timeout, [100, 3_600_000]),
            lookup_delay: span("look", d.lookup_delay, [50, 60_000]),
            answer_retention: span("kept", d.answer_retention, [1_000, 86_400_000]),
            drain_timeout: span("drain", d.drain_timeout, [1_000, 600_000]),
        };
        timing.check(reader);
        timing
    }

    fn check(&self, reader: &mut Reader) {
        // One late heartbeat must not make a living peer count as gone.
        if self.peer_timeout <= self.heartbeat_interval.times(2) {
            let problem = format!(
                "must exceed twice [timing] heartbeat = {}",
                self.heartbeat_interval
            );
            let fault = Fault::new("timing", "silence", problem);
            reader.fault(fault.with_value(&self.peer_timeout.to_string()));
        }
        // A caller that lost its answer at the end of the drain still has to find it kept elsewhere.
        if self.answer_retention <= self.drain_timeout {
            let problem = format!("must exceed [timing] drain = {}", self.drain_timeout);
            let fault = Fault::new("timing", "kept", problem);
            reader.fault(fault.with_value(&self.answer_retention.to_string()));
        }
    }
}
