//! Identifiers: newtypes that are parsed, displayed and serialized as text.

use std::{
    fmt,
    str::FromStr, //
};

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::Digest as _;

/// The greatest length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text can't be parsed as an identifier, a time span or a size.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text has this number of bytes, more than [`MAX_NAME_BYTES`].
    #[error("has {0} bytes, more than the {MAX_NAME_BYTES} allowed")]
    Long(usize),
    /// The text has this character, which is not allowed.
    #[error("holds {0:?}; letters, digits, '-', '_', '.' and ':' are allowed")]
    Character(char),
    /// The text is not this number of hexadecimal digits.
    #[error("is not {0} hexadecimal digits")]
    Hexadecimal(usize),
    /// The text is not a whole number.
    #[error("is not a whole number")]
    Number,
}

fn check_name(text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(ParseError::Long(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(ParseError::Character(c)),
        None => Ok(()),
    }
}

/// Implements the conversions that serde needs to write a type as its `Display` text and to read it with `FromStr`.
///
/// The type needs the attribute `#[serde(try_from = "String", into = "String")]`.
macro_rules! as_text {
    ($type:ty, $error:ty) => {
        impl TryFrom<String> for $type {
            type Error = $error;

            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> String {
                value.to_string()
            }
        }
    };
}
pub(crate) use as_text;

/// Defines an identifier that is a name of letters, digits, `-`, `_`, `.` and `:`.
macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0
            }
        }
    };
}

name!(
    /// The name of a team, which submits jobs and has quotas.
    Team
);
name!(
    /// The idempotency key of a submission, unique within its team.
    Key
);
name!(
    /// The name of a service record.
    Service
);
name!(
    /// The name of a worker pool record.
    Pool
);
name!(
    /// The name of a data centre.
    Centre
);
name!(
    /// The name of an endpoint.
    Endpoint
);
name!(
    /// The name of an instance, which is the same across restarts.
    Instance
);
name!(
    /// The name of an operator.
    Operator
);

/// Defines a random identifier of 128 bits, displayed as 32 hexadecimal digits.
macro_rules! hex {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub u128);

        impl $type {
            /// Generates a random identifier.
            pub fn random(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(ParseError::Hexadecimal(32));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseError::Hexadecimal(32))
            }
        }

        as_text!($type, ParseError);
    };
}

hex!(
    /// Identifies one run of an instance's process; generated at its start.
    Incarnation
);
hex!(
    /// Distinguishes the insert of a claim from other inserts under the same key, so that its writer recognizes it.
    Nonce
);
hex!(
    /// Identifies a change that an operator requests. A retry with the same identifier isn't applied twice.
    Operation
);

/// The SHA-256 digest of a submission's body. The same key with a different digest is a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the SHA-256 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const ERROR: ParseError = ParseError::Hexadecimal(64);
        if text.len() != 64 || !text.is_ascii() {
            return Err(ERROR);
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| ERROR)?;
        }
        Ok(Self(bytes))
    }
}

as_text!(Digest, ParseError);

/// A revision of the configuration. Each accepted change increments it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| ParseError::Number)
    }
}

/// The identifier of one attempt to run a task: `INCARNATION.JOB.TASK.ATTEMPT`. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Attempt {
    /// The incarnation that starts the attempt.
    pub incarnation: Incarnation,
    /// The number of the job within the incarnation.
    pub job: u64,
    /// The index of the task within the job.
    pub task: u32,
    /// The number of the attempt, from zero.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            incarnation,
            job,
            task,
            number,
        } = self;
        write!(f, "{incarnation}.{job}.{task}.{number}")
    }
}

impl FromStr for Attempt {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(ParseError::Empty);
        let attempt = Self {
            incarnation: part()?.parse()?,
            job: part()?.parse().map_err(|_| ParseError::Number)?,
            task: part()?.parse().map_err(|_| ParseError::Number)?,
            number: part()?.parse().map_err(|_| ParseError::Number)?,
        };
        match parts.next() {
            Some(_) => Err(ParseError::Number),
            None => Ok(attempt),
        }
    }
}

as_text!(Attempt, ParseError);
