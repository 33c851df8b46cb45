//! Claims: who may start a job, and what became of the keys that this incarnation owns.
//!
//! A claim names one incarnation of one instance, and nobody else ever starts anything under it. There is no
//! takeover, so no pause, lapse or late packet can race with one. What another instance may do with a claim
//! is to answer for it, never to run it.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    fmt,
    str::FromStr,
    sync::Arc,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    prelude::*, //
};

/// What an entry takes in memory beside its answer, roughly.
const ENTRY: usize = 320;

/// What an allocation takes beside its bytes, roughly.
const ALLOCATION: usize = 32;

/// How many epochs of ranges the kept window is divided into.
const EPOCHS: u64 = 4;

/// The row of the table that holds the claim of a key.
pub fn claim_row_key(team: &Team, key: &Key) -> String {
    format!("claim/{team}/{key}")
}

/// The row of the table that holds the recorded outcome of a key.
pub fn outcome_row_key(team: &Team, key: &Key) -> String {
    format!("outcome/{team}/{key}")
}

/// A claim as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The only incarnation that may start the job.
    pub owner: Incarnation,
    /// The name of its instance, for those that haven't heard of the incarnation yet.
    pub name: Instance,
    /// Tells this insert from any other.
    pub nonce: Nonce,
    /// The digest of the body.
    pub digest: Digest,
}

/// An outcome as the table holds it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The digest of the body.
    pub digest: Digest,
    /// The answer; none where it is in the object store.
    pub answer: Option<Answer>,
}

/// A range of keys that one incarnation admits without a write to the table.
///
/// Keys of the range are written `r.INCARNATION.EPOCH.` and any suffix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Range {
    /// The incarnation that owns the keys.
    pub incarnation: Incarnation,
    /// Which of its ranges.
    pub epoch: u64,
}

impl Range {
    /// Returns the range that a key belongs to, if it belongs to one.
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
    type Err = id::Fault;

    fn from_str(text: &str) -> Result<Self, id::Fault> {
        let rest = text.strip_prefix("r.").ok_or(id::Fault::Empty)?;
        let (incarnation, epoch) = rest.split_once('.').ok_or(id::Fault::Empty)?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            epoch: epoch.parse().map_err(|_| id::Fault::Number)?,
        })
    }
}

/// What is known of a key.
#[derive(Debug, Clone)]
pub enum Entry {
    /// The job of this number is in progress.
    Open(u64),
    /// The job ended with this answer.
    Kept(Kept),
    /// Nothing was started; the claim may stand in the table under this nonce, and may be used again.
    Abandoned(Nonce),
}

/// A kept answer, as JSON in one piece.
///
/// An answer of many results is many small allocations. Kept for minutes among others that come and go, they would
/// take several times their size.
#[derive(Debug, Clone)]
pub struct Kept(Arc<str>);

impl Kept {
    /// Packs an answer.
    ///
    /// # Panics
    ///
    /// Panics where the answer can't be written as JSON, which its type rules out.
    pub fn new(answer: &Answer) -> Self {
        let json = serde_json::to_string(answer).expect("an answer is plain data");
        Self(json.into())
    }

    /// Returns the answer.
    ///
    /// # Panics
    ///
    /// Panics where what was packed can't be read again.
    pub fn answer(&self) -> Answer {
        serde_json::from_str(&self.0).expect("it was written from an answer")
    }

    fn bytes(&self) -> usize {
        self.0.len() + ALLOCATION
    }
}

#[derive(Debug)]
struct Holder {
    digest: Digest,
    entry: Entry,
    bytes: usize,
}

/// What a lookup of a key gives.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// Nothing is known of it.
    Missing,
    /// It is known with another body.
    Conflict,
    /// It is known.
    Entry(Entry),
}

/// Whether a key of one of the own ranges that is not known may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It may: it was never seen, and every key of its range that was seen is still known.
    Open,
    /// It may not: its range is closed. It was never run.
    Closed,
    /// It may not: keys of its range have been dropped, so it may have run.
    Forgotten,
}

#[derive(Debug, Default)]
struct Epoch {
    opened: Time,
    bytes: usize,
    keys: Vec<(Team, Key)>,
}

/// The keys that this incarnation knows, bounded by bytes and age.
#[derive(Debug)]
pub struct Registry {
    incarnation: Incarnation,
    bound: usize,
    window: Span,
    bytes: usize,
    holders: HashMap<(Team, Key), Holder>,
    ended: VecDeque<(Time, Team, Key)>,
    epochs: BTreeMap<u64, Epoch>,
    current: u64,
}

impl Registry {
    /// Makes an empty registry that keeps up to `bound` bytes for up to `window`.
    pub fn new(incarnation: Incarnation, bound: usize, window: Span) -> Self {
        Self {
            incarnation,
            bound,
            window,
            bytes: 0,
            holders: HashMap::new(),
            ended: VecDeque::new(),
            epochs: BTreeMap::from([(1, Epoch::default())]),
            current: 1,
        }
    }

    /// Returns the range that callers may take keys from now.
    pub fn current_range(&self) -> Range {
        Range {
            incarnation: self.incarnation,
            epoch: self.current,
        }
    }

    /// Returns how many keys are known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns how many bytes the known keys take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether the bytes are used up by what can't be dropped.
    pub fn is_full(&self) -> bool {
        self.bytes >= self.bound
    }

    /// Looks a key up.
    pub fn find(&self, team: &Team, key: &Key, digest: &Digest) -> Lookup {
        // The pair is cloned for the look-up, which costs less than a second level of maps.
        match self.holders.get(&(team.clone(), key.clone())) {
            None => Lookup::Missing,
            Some(holder) if holder.digest != *digest => Lookup::Conflict,
            Some(holder) => Lookup::Entry(holder.entry.clone()),
        }
    }

    /// Looks up a key whatever its body.
    pub fn get(&self, team: &Team, key: &Key) -> Option<&Entry> {
        self.holders
            .get(&(team.clone(), key.clone()))
            .map(|holder| &holder.entry)
    }

    /// Tells whether a key of an own range that isn't known may be admitted.
    ///
    /// A range stays open while it is the current one or the one before. Its keys are dropped only together,
    /// and only once it is closed. So a resubmission of a dropped key finds its range gone, and is answered
    /// "unknown" rather than run again.
    pub fn admittance(&self, epoch: u64) -> Admittance {
        if !self.epochs.contains_key(&epoch) && epoch <= self.current {
            return Admittance::Forgotten;
        }
        if epoch > self.current || epoch + 1 < self.current {
            return Admittance::Closed;
        }
        Admittance::Open
    }

    /// Notes that the job of a key is in progress.
    pub fn insert(&mut self, team: &Team, key: &Key, digest: Digest, job: u64) {
        let bytes = ENTRY + 2 * (team.as_str().len() + key.as_str().len());
        let holder = Holder {
            digest,
            entry: Entry::Open(job),
            bytes,
        };
        let pair = (team.clone(), key.clone());
        let known = self.holders.insert(pair.clone(), holder);
        self.bytes += bytes;
        if let Some(known) = known {
            self.bytes -= known.bytes;
            self.charge(key, 0);
            return;
        }
        if let Some(epoch) = self.own_epoch(key) {
            epoch.bytes += bytes;
            epoch.keys.push(pair);
        }
    }

    /// Notes how the job of a key ended, and drops the oldest of what is kept beyond the bounds.
    ///
    /// Returns how many keys were dropped.
    pub fn finish(&mut self, now: Time, team: &Team, key: &Key, entry: Entry) -> usize {
        let Some(holder) = self.holders.get_mut(&(team.clone(), key.clone())) else {
            return 0;
        };
        let more = match &entry {
            Entry::Kept(answer) => answer.bytes(),
            _ => 0,
        };
        holder.entry = entry;
        holder.bytes += more;
        self.bytes += more;
        if Range::of(key).is_some() {
            self.charge(key, more);
        } else {
            self.ended.push_back((now, team.clone(), key.clone()));
        }
        self.evict(now)
    }

    /// Removes a key that nothing has to be known of any more.
    pub fn remove(&mut self, team: &Team, key: &Key) {
        if let Some(holder) = self.holders.remove(&(team.clone(), key.clone())) {
            self.bytes -= holder.bytes;
        }
    }

    /// Opens the next range when it is time, and drops what is too old or too much.
    ///
    /// Returns how many keys were dropped.
    pub fn evict(&mut self, now: Time) -> usize {
        self.turn(now);
        let mut dropped = 0;
        while let Some((at, team, key)) = self.ended.front() {
            if self.bytes <= self.bound && now.since(*at) < self.window {
                break;
            }
            let (team, key) = (team.clone(), key.clone());
            self.ended.pop_front();
            let open = matches!(self.get(&team, &key), None | Some(Entry::Open(_)));
            if !open {
                self.remove(&team, &key);
                dropped += 1;
            }
        }
        dropped + self.drop_epochs(now)
    }

    fn own_epoch(&mut self, key: &Key) -> Option<&mut Epoch> {
        let range = Range::of(key).filter(|range| range.incarnation == self.incarnation)?;
        self.epochs.get_mut(&range.epoch)
    }

    fn charge(&mut self, key: &Key, bytes: usize) {
        if let Some(epoch) = self.own_epoch(key) {
            epoch.bytes += bytes;
        }
    }

    fn turn(&mut self, now: Time) {
        let share = self.bound / EPOCHS as usize;
        let Some(epoch) = self.epochs.get(&self.current) else {
            return;
        };
        let old = now.since(epoch.opened) >= Span(self.window.0 / EPOCHS) && !epoch.keys.is_empty();
        if old || epoch.bytes >= share {
            self.current += 1;
            let opened = Epoch {
                opened: now,
                ..Epoch::default()
            };
            self.epochs.insert(self.current, opened);
        }
    }

    fn drop_epochs(&mut self, now: Time) -> usize {
        let mut dropped = 0;
        while let Some((&number, epoch)) = self.epochs.first_key_value() {
            let closed = number + 1 < self.current;
            let due = self.bytes > self.bound || now.since(epoch.opened) >= self.window;
            let open = |pair: &(Team, Key)| {
                let holder = self.holders.get(pair);
                matches!(holder.map(|h| &h.entry), Some(Entry::Open(_)))
            };
            if !closed || !due || epoch.keys.iter().any(open) {
                break;
            }
            let Some(epoch) = self.epochs.remove(&number) else {
                break;
            };
            dropped += epoch.keys.len();
            for (team, key) in &epoch.keys {
                self.remove(team, key);
            }
        }
        dropped
    }
}
