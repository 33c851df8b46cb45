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
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The data centres whose endpoints are used, the own one among them; empty stands for all.
    pub data_centres: Vec<Centre>,
    /// Operators by their tokens.
    pub operators: Vec<(Operator, String)>,
    /// The bounds.
    pub limits: Limits,
    /// The waits.
    pub timing: Timing,
    /// The least level that is logged.
    pub log: LevelFilter,
    /// The file that the log goes to; standard error where there is none.
    pub file: Option<PathBuf>,
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
            callers: callers?,
            peers: peers?,
            platform: platform?,
            data_centres: data_centres.map_or_else(Vec::new, |Names(names)| names),
            operators,
            limits,
            timing,
            log: log.unwrap_or(LevelFilter::Info),
            file,
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
    pub headers: usize,
    /// Bytes of the body of a request.
    pub body: usize,
    /// Jobs in progress.
    pub jobs: usize,
    /// Bytes of jobs in progress.
    pub bytes: usize,
    /// Tasks that wait for an endpoint.
    pub waiting: usize,
    /// Tasks outstanding at one endpoint; its share of the endpoint's connections where that is less.
    pub outstanding: u32,
    /// Bytes of kept answers.
    pub kept: usize,
    /// Table writes a second of all instances together.
    pub writes: u32,
    /// Places in each ring between threads.
    pub ring: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            headers: 16 << 10,
            body: 1 << 20,
            jobs: 20_000,
            bytes: 32 << 20,
            waiting: 20_000,
            outstanding: 16,
            kept: 16 << 20,
            writes: 300,
            ring: 4_096,
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
        let headers = size("headers", d.headers, [1 << 10, 1 << 20]);
        let body = size("body", d.body, [1 << 10, 64 << 20]);
        let bytes = size("bytes", d.bytes, [64 << 10, 16 << 30]);
        let kept = size("kept", d.kept, [64 << 10, 16 << 30]);
        let limits = Self {
            connections: reader.within(SECTION, "connections", d.connections, 1..=65_536),
            headers,
            body,
            jobs: reader.within(SECTION, "jobs", d.jobs, 1..=1_000_000),
            bytes,
            waiting: reader.within(SECTION, "waiting", d.waiting, 1..=1_000_000),
            outstanding: reader.within(SECTION, "outstanding", d.outstanding, 1..=1_024),
            kept,
            writes: reader.within(SECTION, "writes", d.writes, 1..=100_000),
            ring: reader.within(SECTION, "ring", d.ring, 16..=65_536),
        };
        if limits.body > limits.bytes {
            let problem = format!("must not exceed [limits] bytes = {}", Size(limits.bytes));
            let fault = Fault::new(SECTION, "body", problem);
            reader.fault(fault.with_value(&Size(limits.body).to_string()));
        }
        limits
    }
}

/// How long things may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Between heartbeats to a peer.
    pub heartbeat: Span,
    /// After which a silent peer counts as gone.
    pub silence: Span,
    /// Between reads of the platform's list.
    pub list: Span,
    /// Between polls of the configuration's head.
    pub poll: Span,
    /// For one operation on the platform.
    pub platform: Span,
    /// For a caller to send its whole request.
    pub receive: Span,
    /// After which an idle connection to an endpoint is not trusted with a start any more.
    pub idle: Span,
    /// After its expected time, until a start without an answer is looked up.
    pub look: Span,
    /// How long answers are kept.
    pub kept: Span,
    /// For a drain to end what is in progress.
    pub drain: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::millis(500),
            silence: Span::millis(2_000),
            list: Span::millis(1_000),
            poll: Span::millis(2_000),
            platform: Span::millis(1_000),
            receive: Span::millis(10_000),
            idle: Span::millis(2_000),
            look: Span::millis(500),
            kept: Span::seconds(600),
            drain: Span::seconds(30),
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
            heartbeat: span("heartbeat", d.heartbeat, [50, 60_000]),
            silence: span("silence", d.silence, [100, 600_000]),
            list: span("list", d.list, [100, 60_000]),
            // An accepted change has to be in force everywhere within 10 s.
            poll: span("poll", d.poll, [100, 5_000]),
            platform: span("platform", d.platform, [50, 30_000]),
            receive: span("receive", d.receive, [100, 300_000]),
            idle: span("idle", d.idle, [100, 3_600_000]),
            look: span("look", d.look, [50, 60_000]),
            kept: span("kept", d.kept, [1_000, 86_400_000]),
            drain: span("drain", d.drain, [1_000, 600_000]),
        };
        timing.check(reader);
        timing
    }

    fn check(&self, reader: &mut Reader) {
        // One late heartbeat must not make a living peer count as gone.
        if self.silence <= self.heartbeat.times(2) {
            let problem = format!("must exceed twice [timing] heartbeat = {}", self.heartbeat);
            let fault = Fault::new("timing", "silence", problem);
            reader.fault(fault.with_value(&self.silence.to_string()));
        }
        // A caller that lost its answer at the end of the drain still has to find it kept elsewhere.
        if self.kept <= self.drain {
            let problem = format!("must exceed [timing] drain = {}", self.drain);
            let fault = Fault::new("timing", "kept", problem);
            reader.fault(fault.with_value(&self.kept.to_string()));
        }
    }
}
