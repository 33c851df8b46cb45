//! Identifiers of jobs, tasks, racks and shards, run numbers, and fencing tokens.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::SERIAL_BITS;

/// The number of hexadecimal digits in a job's identifier.
const JOB_DIGITS: usize = 16;

/// Low bits of a fencing token that distinguish claimants with the same epoch, and count how often one has raised its token. With the epoch above them a token
/// stays below 2^53, so parsers that read numbers as floating point keep it exact.
const CLAIMANT_BITS: u32 = 20;

/// The error for a text that isn't a job identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a job identifier has {JOB_DIGITS} hexadecimal digits")]
pub struct JobIdError;

/// A job's identifier, which its caller chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let digits = text.len() == JOB_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobIdError)
    }
}

/// The number of shards of stored jobs. Each has one writer, which calls the store at most every 30 ms; 16 writers
/// stay below the 600 calls a second that the smallest platform allows.
pub const SHARDS: u16 = 16;

/// A shard of the stored jobs, by a hash of their identifiers; one instance at a time coordinates it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns a member's weight as the shard's coordinator: the highest of all wins (rendezvous hashing).
    pub fn weight(self, member: &str) -> u64 {
        mix(fnv1a(
            fnv1a(FNV_OFFSET, &self.0.to_le_bytes()),
            member.as_bytes(),
        ))
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard-{:02}", self.0)
    }
}

impl JobId {
    /// Returns the shard that the job belongs to.
    pub fn shard(self) -> ShardId {
        ShardId((mix(self.0) % u64::from(SHARDS)) as u16)
    }
}

/// A task of a job, by the index of its step and its index in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index of the step, from zero.
    pub step: u32,
    /// The index of the task in the step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// The number of a task's run: an endpoint starts a higher run of a task only after the lower ones have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(pub u32);

impl Run {
    /// The first run of a task.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the next run.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns a number well above this one, for a task whose highest run isn't known.
    pub fn skip_ahead(self) -> Self {
        Self(self.0.saturating_mul(2).saturating_add(1))
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The incarnation of an endpoint: when its process began, in milliseconds since 1970, or zero if that's unknown.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize, //
)]
pub struct Life(pub u64);

impl Life {
    /// Returns whether the start of the incarnation is known.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }

    /// Returns whether this incarnation is known and older than another.
    pub fn is_before(self, other: Self) -> bool {
        self.is_known() && self < other
    }
}

/// The serial number of an instance's request to another one about a stored job. It begins with the incarnation of the instance, so that
/// an answer for a former incarnation answers none of the later requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestSerial(pub u64);

impl RequestSerial {
    /// Returns the number before the first one of an incarnation.
    pub fn before(incarnation: u64) -> Self {
        Self(incarnation << SERIAL_BITS)
    }

    /// Returns the next number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A number that orders claims of racks: each claim takes one above the highest that its claimant has heard.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// A fencing token: an endpoint refuses orders with a token below the highest that it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

impl Token {
    /// Creates the token of a claim; `claimant` distinguishes instances that claim with the same epoch.
    pub fn new(epoch: Epoch, claimant: u64) -> Self {
        let low = claimant & ((1 << CLAIMANT_BITS) - 1);
        Self(epoch.0 << CLAIMANT_BITS | low)
    }

    /// Returns the next higher token of the same claim.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the epoch of the claim.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> CLAIMANT_BITS)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A rack, by a stable hash of its service, data centre and name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RackId(pub u64);

impl RackId {
    /// Returns the identifier of a rack with these names.
    pub fn of(service: &str, centre: &str, rack: &str) -> Self {
        let hash = fnv1a(FNV_OFFSET, service.as_bytes());
        let hash = fnv1a(fnv1a(hash, &[0]), centre.as_bytes());
        Self(fnv1a(fnv1a(hash, &[0]), rack.as_bytes()))
    }

    /// Returns a member's weight as the rack's owner: the highest of all wins (rendezvous hashing).
    pub fn weight(self, member: &str) -> u64 {
        keyed_hash(self.0, member)
    }
}

impl fmt::Display for RackId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of `bytes`, continued from `start`. Instances of different builds must agree on it, which
/// the standard library's hashers don't guarantee.
pub fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns a well-mixed hash of a name for a numeric key, such as a member's weight in rendezvous hashing.
pub fn keyed_hash(key: u64, name: &str) -> u64 {
    mix(fnv1a(key ^ FNV_OFFSET, name.as_bytes()))
}

/// Mixes the bits of a hash (the finaliser of MurmurHash3). FNV-1a alone hardly changes the high bits between names
/// that differ only in the last character, and rendezvous hashing depends on these.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ hash >> 33
}
