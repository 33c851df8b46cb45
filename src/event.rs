//! Numbered log events. `docs/EVENTS.md` documents each of them.

use std::{
    fmt,
    fs::OpenOptions,
    io::{
        self,
        Write, //
    }, //
};

use log::{
    Level,
    LevelFilter, //
};
use simplelog::{
    ConfigBuilder,
    WriteLogger, //
};

use crate::{
    error::Error,
    settings::Settings, //
};

/// Sets up the log: it goes to the file that the settings name, or else to standard error. Times are in UTC.
///
/// # Errors
///
/// Fails if the file can't be opened or a logger is already set up.
pub fn init(settings: &Settings) -> Result<(), Error> {
    let Some(path) = &settings.log_file else {
        return init_writer(settings.log_level, io::stderr());
    };
    let mut options = OpenOptions::new();
    let file = options.create(true).append(true).open(path);
    let file = file.map_err(|source| Error::Write {
        path: path.display().to_string(),
        source,
    })?;
    init_writer(settings.log_level, file)
}

fn init_writer(level: LevelFilter, writer: impl Write + Send + 'static) -> Result<(), Error> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    WriteLogger::init(level, config, writer).map_err(|_| Error::LogInitialized)
}

/// An occurrence of a numbered event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The kind of event.
    pub code: Code,
    /// The details of this occurrence, or empty.
    pub detail: String,
}

impl Event {
    /// Creates an event.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// Writes the event to the log.
    pub fn log(&self) {
        log::log!(self.code.level(), "{self}");
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.code.number(), self.code.title())?;
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.detail)
    }
}

macro_rules! codes {
    ($($number:literal $name:ident $level:ident $title:literal,)*) => {
        /// The kinds of events.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $(#[doc = $title] $name,)*
        }

        impl Code {
            /// All kinds in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the number under which the event is documented.
            pub fn number(self) -> u16 {
                match self {
                    $(Code::$name => $number,)*
                }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self {
                    $(Code::$name => Level::$level,)*
                }
            }

            /// Returns the title that is logged in front of the details.
            pub fn title(self) -> &'static str {
                match self {
                    $(Code::$name => $title,)*
                }
            }
        }
    };
}

codes! {
    1 Started Info "instance started",
    2 Ready Info "instance is ready",
    3 Draining Info "instance is draining",
    4 Ended Info "instance ended",
    5 Interrupted Warn "drain ended early by a second signal or its bound",
    10 ClaimAnswerLost Warn "the answer to a claim was lost; reading it back",
    11 StoreDown Warn "the platform's table can't be reached",
    12 StoreUp Info "the platform's table answers again",
    13 AnswersDropped Info "kept answers were dropped to stay within the bound",
    14 RequestFailed Info "a request to the platform failed",
    20 EndpointEjected Warn "endpoint ejected",
    21 EndpointReturned Info "endpoint takes work again",
    22 EndpointLeaving Info "endpoint is leaving",
    23 StartUnanswered Warn "a start got no answer; looking it up",
    24 OutcomeUnknown Warn "a job ended with its outcome unknown",
    25 EndpointSuspected Warn "endpoint fails, and too many are ejected already; it gets work last",
    26 CheckFailed Info "a status check failed",
    30 PeerLost Warn "peer can't be reached",
    31 PeerFound Info "peer can be reached",
    32 CallFailed Info "a call to a peer failed",
    40 ChangeAccepted Info "configuration change accepted",
    41 ChangeRefused Info "configuration change refused",
    42 ChangeApplied Info "configuration revision in force",
    43 SchemaUnknown Warn "a record has a schema that this version doesn't know",
    44 ChangeAnswerLost Warn "the answer to a configuration change was lost; reading it back",
    50 RingFull Error "a ring between threads is full; refusing work",
    51 Stalled Warn "the instance stood still for a while",
}
