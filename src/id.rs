//! Identifiers: newtypes that parse, print and serialise as text.

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

/// The longest name that is accepted for any identifier, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Says why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is too long.
    #[error("has {0} bytes, more than the {MAX_NAME_BYTES} allowed")]
    Long(usize),
    /// The text holds a character that is not allowed.
    #[error("holds {0:?}; letters, digits, '-', '_', '.' and ':' are allowed")]
    Character(char),
    /// The text is not the fixed number of hexadecimal digits.
    #[error("is not {0} hexadecimal digits")]
    Hexadecimal(usize),
    /// The text is not a whole number.
    #[error("is not a whole number")]
    Number,
}

fn check_name(text: &str) -> Result<(), Fault> {
    if text.is_empty() {
        return Err(Fault::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Fault::Long(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(Fault::Character(c)),
        None => Ok(()),
    }
}

/// Gives serde the text that a type displays and parses; the type says `try_from = "String", into = "String"`.
macro_rules! as_text {
    ($type:ty, $fault:ty) => {
        impl TryFrom<String> for $type {
            type Error = $fault;

            fn try_from(text: String) -> Result<Self, $fault> {
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
            type Err = Fault;

            fn from_str(text: &str) -> Result<Self, Fault> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = Fault;

            fn try_from(text: String) -> Result<Self, Fault> {
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
    /// A team that submits jobs and has quotas.
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
    /// The name of an instance; it stays the same over restarts.
    Instance
);
name!(
    /// The name of an operator.
    Operator
);

macro_rules! hex {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub u128);

        impl $type {
            /// Draws a new one.
            pub fn random(random: &mut impl Rng) -> Self {
                Self(random.random())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = Fault;

            fn from_str(text: &str) -> Result<Self, Fault> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(Fault::Hexadecimal(32));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| Fault::Hexadecimal(32))
            }
        }

        as_text!($type, Fault);
    };
}

hex!(
    /// One run of one instance: drawn at start, never used again.
    Incarnation
);
hex!(
    /// Tells the insert of one claim from every other insert under the same key.
    Nonce
);
hex!(
    /// One change that an operator asked for, so that a lost answer can be settled.
    Operation
);

/// The digest of a submission's body: the same key with another digest is a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Takes the SHA-256 of `bytes`.
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
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        const WRONG: Fault = Fault::Hexadecimal(64);
        if text.len() != 64 || !text.is_ascii() {
            return Err(WRONG);
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| WRONG)?;
        }
        Ok(Self(bytes))
    }
}

as_text!(Digest, Fault);

/// A revision of the configuration: every accepted change takes the next one.
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
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        text.parse().map(Self).map_err(|_| Fault::Number)
    }
}

/// One attempt to run one task: `INCARNATION.JOB.TASK.ATTEMPT`, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Attempt {
    /// The incarnation that starts it.
    pub incarnation: Incarnation,
    /// The number of the job within the incarnation.
    pub job: u64,
    /// The place of the task within the job.
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
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(Fault::Empty);
        let attempt = Self {
            incarnation: part()?.parse()?,
            job: part()?.parse().map_err(|_| Fault::Number)?,
            task: part()?.parse().map_err(|_| Fault::Number)?,
            number: part()?.parse().map_err(|_| Fault::Number)?,
        };
        match parts.next() {
            Some(_) => Err(Fault::Number),
            None => Ok(attempt),
        }
    }
}

as_text!(Attempt, Fault);
