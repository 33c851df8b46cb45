//! What instances tell each other all the time: that they live, what they own, and what room there is.

use serde::{
    Deserialize,
    Serialize, //
};

use super::super::{
    evacuation::Evacuation,
    id::{
        Epoch,
        RackId,
        ShardId,
        Token, //
    },
    task::Resources,
};
use crate::prelude::*;

/// What a member tells all others again and again: it lives, and how much room its racks have.
///
/// A heartbeat that is lost is replaced by the next one, so it goes as a datagram: as a call of its own, over a
/// connection to each of 36 peers, it took more than half of a processor share of 0.12 cores.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether its sender watches the receiver closely, and waits for its heartbeats.
    pub watching: bool,
    /// The member's standing.
    pub status: Status,
    /// The room of racks where it has changed.
    pub rooms: Vec<Vacancy>,
}

/// What a member says of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest epoch that it has heard of.
    pub epoch: Epoch,
    /// The version of its configuration.
    pub configuration: u64,
    /// The version of its list of endpoints.
    pub roster: u64,
    /// The data centres that it knows as evacuated.
    pub evacuation: Evacuation,
    /// Whether it reads the list of endpoints from the store.
    pub reading: bool,
    /// Whether it is about to end.
    pub draining: bool,
    /// Its processor share, in thousandths of a core: the more it has, the more racks it takes.
    pub share: u32,
    /// The racks that it owns.
    pub racks: Vec<Claim>,
    /// The shards of stored jobs that it coordinates.
    pub shards: Vec<Coordination>,
    /// Its jobs of which nothing has started, by queue.
    pub pending: Vec<(String, u32)>,
    /// Members that it found to be gone of late.
    pub absences: Vec<Absence>,
}

/// A life of a member that one that watched it closely found to be gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The member.
    pub name: Instance,
    /// Its life.
    pub incarnation: u64,
}

/// A shard that a member coordinates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordination {
    /// The shard.
    pub shard: ShardId,
    /// What it knows of it.
    pub knowledge: Knowledge,
}

/// What a coordinator knows of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// Nothing yet.
    Reading,
    /// That the store holds nothing of it.
    Empty,
    /// All of its jobs, as the only one that writes them.
    Held,
}

/// A rack that a member owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The rack.
    pub rack: RackId,
    /// The token of its owner.
    pub token: Token,
}

/// The room that a rack has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The rack.
    pub rack: RackId,
    /// What is free, by endpoint that takes work.
    pub free: Vec<Resources>,
    /// Tasks that wait there and would run as well elsewhere.
    pub movable: u32,
    /// The work that waits, in core-milliseconds.
    pub backlog: u64,
}
