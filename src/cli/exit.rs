//! Exit codes of the commands.

use std::process::ExitCode;

use crate::{
    error::Error,
    prelude::*, //
};

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; for `submit`: the job is complete.
    Success = 0,
    /// The command failed at run time.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings are wrong.
    Settings = 3,
    /// `submit`: the job failed.
    Failed = 4,
    /// `submit`: nothing was run; `record` and `audit`: no instance answered, and nothing was changed.
    NotRun = 5,
    /// `submit`: tasks may have run; `record`: the change may be in force.
    Unknown = 6,
}

impl From<Outcome> for Exit {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Complete => Self::Success,
            Outcome::Failed => Self::Failed,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<&Error> for Exit {
    fn from(error: &Error) -> Self {
        match error {
            Error::Usage(_) => Self::Usage,
            Error::Settings { .. } | Error::PlatformSettings { .. } => Self::Settings,
            Error::Unreachable(_) => Self::NotRun,
            Error::AnswerLost(_) | Error::ChangeUnknown { .. } => Self::Unknown,
            _ => Self::Failure,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
