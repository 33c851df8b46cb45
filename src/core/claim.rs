//! Claims on job keys, and the registry of the keys that this incarnation owns.
//!
//! A claim names one incarnation of one instance, and only that incarnation ever starts tasks under it. Claims are
//! never taken over, so a paused process or a delayed packet can't start a job twice. Other instances may read the
//! claim and the recorded outcome to answer for the job, but never run it.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    prelude::*, //
};

/// The estimated memory of a registry entry without its answer, in bytes.
const ENTRY_BYTES: usize = 320;

/// The estimated overhead of a heap allocation, in bytes.
const ALLOCATION_BYTES: usize = 32;

/// The number of epochs that the retention window and the memory limit are divided into.
const EPOCHS_PER_WINDOW: u64 = 4;

/// Returns the table key of the row that holds the claim on a job key.
pub fn claim_row_key(team: &Team, key: &Key) -> String {
    format!("claim/{team}/{key}")
}

/// Returns the table key of the row that holds the recorded outcome of a job key.
pub fn outcome_row_key(team: &Team, key: &Key) -> String {
    format!("outcome/{team}/{key}")
}

/// A claim as it is stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The only incarnation that may start the job.
    pub owner: Incarnation,
    /// The name of the owner's instance, for peers that don't know the incarnation yet.
    pub name: Instance,
    /// A random number that identifies the insert, so that its writer recognizes it when the reply was lost.
    pub nonce: Nonce,
    /// The digest of the request body.
    pub digest: Digest,
}

/// A job's outcome as it is stored in the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The digest of the request body.
    pub digest: Digest,
    /// The answer; `None` if it is too long for a row and is in the object store.
    pub answer: Option<Answer>,
}

/// A range of keys that one incarnation admits without a write to the table.
///
/// A key of the range is `r.INCARNATION.EPOCH.` followed by any suffix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Range {
    /// The incarnation that owns the keys.
    pub incarnation: Incarnation,
    /// The number of the range within the incarnation, counted from 1.
    pub epoch: u64,
}

impl Range {
    /// Returns the range that a key belongs to, or `None` if the caller chose the key itself.
    pub fn of(key: &Key) -> Option<Self> {
        let (range, _) = key.as_str().rsplit_once('.')?;
        range.parse().ok()
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r.{}.{}", self.incarnation, self.epoch)
    }
}

impl FromStr for Range {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let rest = text.strip_prefix("r.").ok_or(id::ParseError::Empty)?;
        let (incarnation, epoch) = rest.split_once('.').ok_or(id::ParseError::Empty)?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            epoch: epoch.parse().map_err(|_| id::ParseError::Number)?,
        })
    }
}

/// The state of a key in the registry.
#[derive(Debug, Clone)]
pub enum Entry {
    /// The job with this number is in progress.
    Open(u64),
    /// The job finished with this answer.
    Kept(KeptAnswer),
    /// This instance started no task. The table may hold a claim with this nonce, which the next submission may use.
    Abandoned(Nonce),
}

/// An answer that is kept for resubmissions, serialized to JSON.
///
/// A single allocation prevents the heap fragmentation that an answer with many small results causes when it is kept
/// for minutes.
#[derive(Debug, Clone)]
pub struct KeptAnswer(Arc<str>);

impl KeptAnswer {
    /// Serializes an answer.
    ///
    /// # Panics
    ///
    /// Panics if the answer can't be serialized, which its type rules out.
    pub fn new(answer: &Answer) -> Self {
        let json = serde_json::to_string(answer).expect("an answer serializes to JSON");
        Self(json.into())
    }

    /// Deserializes the answer.
    ///
    /// # Panics
    ///
    /// Panics if the JSON isn't a valid answer, which [`Self::new`] rules out.
    pub fn answer(&self) -> Answer {
        serde_json::from_str(&self.0).expect("a kept answer is valid JSON")
    }

    /// Returns the estimated memory in bytes.
    fn memory_bytes(&self) -> usize {
        self.0.len() + ALLOCATION_BYTES
    }
}

/// A key's entry, with its estimated memory in bytes.
#[derive(Debug)]
struct KeyState {
    digest: Digest,
    entry: Entry,
    bytes: usize,
}

/// The result of a lookup by key and body.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// The key isn't in the registry.
    Missing,
    /// The key was used with another body.
    Conflict,
    /// The key is in the registry, with the same body.
    Entry(Entry),
}

/// Whether an unregistered key of a range of this incarnation may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It may: no key of its range has been evicted, so the key was never used.
    Open,
    /// It may not: its range is closed. The job was never run.
    Closed,
    /// It may not: the keys of its range have been evicted, so the job may have run.
    Forgotten,
}

/// The keys of one range, which are evicted together.
#[derive(Debug, Default)]
struct Epoch {
    opened_at: Time,
    bytes: usize,
    keys: Vec<(Team, Key)>,
}

/// The keys that this incarnation has admitted, bounded by memory and age.
#[derive(Debug)]
pub struct Registry {
    incarnation: Incarnation,
    max_bytes: usize,
    retention: Span,
    bytes: usize,
    keys: HashMap<(Team, Key), KeyState>,
    finished: VecDeque<(Time, Team, Key)>,
    epochs: BTreeMap<u64, Epoch>,
    current_epoch: u64,
}

impl Registry {
    /// Creates an empty registry that uses about `max_bytes` at most and keeps finished keys for `retention`.
    pub fn new(incarnation: Incarnation, max_bytes: usize, retention: Span) -> Self {
        Self {
            incarnation,
            max_bytes,
            retention,
            bytes: 0,
            keys: HashMap::new(),
            finished: VecDeque::new(),
            epochs: BTreeMap::from([(1, Epoch::default())]),
            current_epoch: 1,
        }
    }

    /// Returns the range from which callers may take new keys.
    pub fn current_range(&self) -> Range {
        Range {
            incarnation: self.incarnation,
            epoch: self.current_epoch,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the registry has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the estimated memory of all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the memory limit is reached.
    pub fn is_full(&self) -> bool {
        self.bytes >= self.max_bytes
    }

    /// Looks up a key, and compares the digest of its body.
    pub fn find(&self, team: &Team, key: &Key, digest: &Digest) -> Lookup {
        match self.keys.get(&(team.clone(), key.clone())) {
            None => Lookup::Missing,
            Some(state) if state.digest != *digest => Lookup::Conflict,
            Some(state) => Lookup::Entry(state.entry.clone()),
        }
    }

    /// Returns the entry of a key, whatever its body.
    pub fn get(&self, team: &Team, key: &Key) -> Option<&Entry> {
        self.keys
            .get(&(team.clone(), key.clone()))
            .map(|state| &state.entry)
    }

    /// Returns whether an unregistered key of this epoch may be admitted.
    ///
    /// The current range and the one before it are open. The keys of a range are evicted together, and only once it
    /// is closed. This prevents a second run of an evicted key: its resubmission is answered "unknown" instead.
    pub fn admittance(&self, epoch: u64) -> Admittance {
        if !self.epochs.contains_key(&epoch) && epoch <= self.current_epoch {
            return Admittance::Forgotten;
        }
        if epoch > self.current_epoch || epoch + 1 < self.current_epoch {
            return Admittance::Closed;
        }
        Admittance::Open
    }

    /// Registers the job of a key as in progress.
    pub fn insert(&mut self, team: &Team, key: &Key, digest: Digest, job: u64) {
        let bytes = ENTRY_BYTES + 2 * (team.as_str().len() + key.as_str().len());
        let state = KeyState {
            digest,
            entry: Entry::Open(job),
            bytes,
        };
        let pair = (team.clone(), key.clone());
        let replaced = self.keys.insert(pair.clone(), state);
        self.bytes += bytes;
        if let Some(replaced) = replaced {
            self.bytes -= replaced.bytes;
            self.add_epoch_bytes(key, 0);
            return;
        }
        if let Some(epoch) = self.own_epoch(key) {
            epoch.bytes += bytes;
            epoch.keys.push(pair);
        }
    }

    /// Sets the final entry of a key, and evicts what exceeds the limits.
    ///
    /// Returns the number of evicted keys.
    pub fn finish(&mut self, now: Time, team: &Team, key: &Key, entry: Entry) -> usize {
        let Some(state) = self.keys.get_mut(&(team.clone(), key.clone())) else {
            return 0;
        };
        let added = match &entry {
            Entry::Kept(answer) => answer.memory_bytes(),
            _ => 0,
        };
        state.entry = entry;
        state.bytes += added;
        self.bytes += added;
        if Range::of(key).is_some() {
            self.add_epoch_bytes(key, added);
        } else {
            self.finished.push_back((now, team.clone(), key.clone()));
        }
        self.evict(now)
    }

    /// Removes a key.
    pub fn remove(&mut self, team: &Team, key: &Key) {
        if let Some(state) = self.keys.remove(&(team.clone(), key.clone())) {
            self.bytes -= state.bytes;
        }
    }

    /// Opens the next range if the current one is old or large enough, and evicts keys beyond the limits.
    ///
    /// Returns the number of evicted keys.
    pub fn evict(&mut self, now: Time) -> usize {
        self.rotate_epoch(now);
        let mut evicted = 0;
        while let Some((at, team, key)) = self.finished.front() {
            if self.bytes <= self.max_bytes && now.since(*at) < self.retention {
                break;
            }
            let (team, key) = (team.clone(), key.clone());
            self.finished.pop_front();
            // The key was removed, or submitted again.
            let is_replaced = matches!(self.get(&team, &key), None | Some(Entry::Open(_)));
            if !is_replaced {
                self.remove(&team, &key);
                evicted += 1;
            }
        }
        evicted + self.evict_epochs(now)
    }

    /// Returns the epoch of a key that belongs to a range of this incarnation.
    fn own_epoch(&mut self, key: &Key) -> Option<&mut Epoch> {
        let range = Range::of(key).filter(|range| range.incarnation == self.incarnation)?;
        self.epochs.get_mut(&range.epoch)
    }

    /// Adds to the estimated memory of the range that a key belongs to.
    fn add_epoch_bytes(&mut self, key: &Key, bytes: usize) {
        if let Some(epoch) = self.own_epoch(key) {
            epoch.bytes += bytes;
        }
    }

    /// Opens the next range once the current one has used its share of the retention or the memory.
    fn rotate_epoch(&mut self, now: Time) {
        let share = self.max_bytes / EPOCHS_PER_WINDOW as usize;
        let Some(epoch) = self.epochs.get(&self.current_epoch) else {
            return;
        };
        let is_old = now.since(epoch.opened_at) >= Span(self.retention.0 / EPOCHS_PER_WINDOW)
            && !epoch.keys.is_empty();
        if is_old || epoch.bytes >= share {
            self.current_epoch += 1;
            let next = Epoch {
                opened_at: now,
                ..Epoch::default()
            };
            self.epochs.insert(self.current_epoch, next);
        }
    }

    /// Evicts closed ranges without open jobs, oldest first, while they are too old or memory is short.
    ///
    /// Returns the number of evicted keys.
    fn evict_epochs(&mut self, now: Time) -> usize {
        let mut evicted = 0;
        while let Some((&number, epoch)) = self.epochs.first_key_value() {
            let is_closed = number + 1 < self.current_epoch;
            let is_due =
                self.bytes > self.max_bytes || now.since(epoch.opened_at) >= self.retention;
            let is_open = |pair: &(Team, Key)| {
                let state = self.keys.get(pair);
                matches!(state.map(|state| &state.entry), Some(Entry::Open(_)))
            };
            if !is_closed || !is_due || epoch.keys.iter().any(is_open) {
                break;
            }
            let Some(epoch) = self.epochs.remove(&number) else {
                break;
            };
            evicted += epoch.keys.len();
            for (team, key) in &epoch.keys {
                self.remove(team, key);
            }
        }
        evicted
    }
}
