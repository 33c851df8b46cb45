//! Identifiers, run numbers and fencing tokens of leased tasks.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Hexadecimal digits of a job's identifier.
const JOB_DIGITS: usize = 16;

/// Bits of a fencing token that tell apart two claimants with the same epoch. With the epoch above them a
/// token stays below 2^53, so that it survives parsers that read numbers as floating point.
const CLAIMANT_BITS: u32 = 20;

/// Why a text is no job identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a job identifier has {JOB_DIGITS} hexadecimal digits")]
pub struct JobIdError;

/// A job's identifier, chosen by its caller.
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

/// How many shards the stored jobs are divided into. Each has one writer, which makes a call to the store every 30 ms at the
/// most: 16 of them stay below the 600 calls a second that the smallest platform allows.
pub const SHARDS: u16 = 16;

/// A part of the stored jobs, by a hash of their identifiers; one instance at a time coordinates it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Weighs a member as the shard's coordinator: the highest weight of all wins.
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

/// One task of a job: the place of its step in the job, and its own place in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The step, counting from zero.
    pub step: u32,
    /// The task within the step, counting from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// One start of a task: an endpoint runs a higher one of the same task only after a lower one has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(pub u32);

impl Run {
    /// The first start of a task.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the start after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns a number well above this one, for a task whose earlier numbers are not known.
    pub fn skip_ahead(self) -> Self {
        Self(self.0.saturating_mul(2).saturating_add(1))
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of an endpoint, by when it began, in milliseconds since 1970; zero where that isn't told.
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
    /// Tells whether it is known when the life began.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }

    /// Tells whether this life ended before another began.
    pub fn is_before(self, other: Self) -> bool {
        self.is_known() && self < other
    }
}

/// Counts the claims of racks; every claim takes one above all that its claimant has heard of.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// A fencing token: an endpoint does nothing for one that is lower than the highest it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

impl Token {
    /// Makes the token of a claim; `claimant` tells apart instances that claim with the same epoch.
    pub fn new(epoch: Epoch, claimant: u64) -> Self {
        let low = claimant & ((1 << CLAIMANT_BITS) - 1);
        Self(epoch.0 << CLAIMANT_BITS | low)
    }

    /// Returns the epoch that it was made with.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> CLAIMANT_BITS)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A rack of endpoints of one service in one data centre, by a stable hash of the three names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RackId(pub u64);

impl RackId {
    /// Takes the hash of the names.
    pub fn of(service: &str, centre: &str, rack: &str) -> Self {
        let hash = fnv1a(FNV_OFFSET, service.as_bytes());
        let hash = fnv1a(fnv1a(hash, &[0]), centre.as_bytes());
        Self(fnv1a(fnv1a(hash, &[0]), rack.as_bytes()))
    }

    /// Weighs a member as the rack's owner: the highest weight of all members wins (rendezvous hashing).
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

/// Hashes by FNV-1a: instances of different builds must agree on the result, which the standard library's
/// hashers don't promise.
pub fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(FNV_PRIME)
    })
}

/// Weighs a member for something that is named by a number: the highest weight of all members wins (rendezvous hashing).
pub fn keyed_hash(of: u64, member: &str) -> u64 {
    mix(fnv1a(of ^ FNV_OFFSET, member.as_bytes()))
}

/// Spreads the bits of a hash (the finaliser of MurmurHash3): FNV-1a alone hardly moves the high bits for
/// names that differ in their last character only, and rendezvous hashing compares these first.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ hash >> 33
}
