//! Heartbeats: what each instance announces about itself, its racks and its shards.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::{
        evacuation::Evacuation,
        id::{
            Epoch,
            RackId,
            ShardId,
            Token, //
        },
        license::Receipt,
        queue::Class,
        task::Resources, //
    },
    Protocol, //
};
use crate::prelude::*;

/// A member's periodic announcement to other members.
///
/// It's sent as a datagram: a lost one is replaced by the next, and a call per peer over a connection would cost too
/// much processor time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the sender watches the receiver closely, and so needs frequent heartbeats from it.
    pub watching: bool,
    /// The sender's status.
    pub status: Status,
    /// The free resources of the sender's racks: of all, or only of those where they have changed.
    pub rooms: Vec<Vacancy>,
    /// The load of racks in `rooms`, where there is something to tell. It follows the heartbeat in its datagram, where builds
    /// that don't know it ignore it.
    #[serde(skip)]
    pub loads: Vec<Load>,
    /// What it says about the messages between sender and receiver. It follows the loads in its datagram, and is missing in those
    /// of earlier builds.
    #[serde(skip)]
    pub receipt: Option<Receipt>,
    /// The protocol of the messages that the sender can read. It follows the receipt in its datagram.
    #[serde(skip)]
    pub protocol: Protocol,
}

/// The status of a member.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest epoch of a claim that it has made or heard.
    pub epoch: Epoch,
    /// The version of its configuration.
    pub configuration: u64,
    /// The version of its list of endpoints.
    pub roster: u64,
    /// The evacuated data centres that it knows.
    pub evacuation: Evacuation,
    /// Whether it has recently read the list of endpoints from the store.
    pub reading: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Its processor share, in thousandths of a core; racks are distributed in proportion to it.
    pub share: u32,
    /// The racks that it owns, and those that it has just handed over.
    pub racks: Vec<Claim>,
    /// The shards of stored jobs that it coordinates.
    pub shards: Vec<Coordination>,
    /// The number of its jobs that have started no task, by queue.
    pub pending: Vec<(String, u32)>,
    /// Members that it has recently declared lost.
    pub absences: Vec<Absence>,
}

/// An incarnation of a member that another member has declared lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The member.
    pub name: Instance,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A shard that a member coordinates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordination {
    /// The shard.
    pub shard: ShardId,
    /// How far it has loaded the shard.
    pub knowledge: Knowledge,
}

/// How far a coordinator has loaded its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// The shard isn't loaded yet.
    Reading,
    /// The store has no jobs of the shard.
    Empty,
    /// All jobs of the shard are loaded, and the coordinator is their only writer.
    Held,
}

/// A rack that a member owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The rack.
    pub rack: RackId,
    /// The fencing token of the claim.
    pub token: Token,
}

/// The room of a rack, that is the free resources of its endpoints, and its backlog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The rack.
    pub rack: RackId,
    /// The free resources of each endpoint that accepts tasks.
    pub free: Vec<Resources>,
    /// The number of waiting tasks that could run on another rack as well.
    pub movable: u32,
    /// The work of the waiting tasks, in core-milliseconds.
    pub backlog: u64,
}

/// What is known about the load of a rack beyond its [`Vacancy`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The rack.
    pub rack: RackId,
    /// The speed classes of the endpoints in [`Vacancy::free`], in that order; empty where all are alike.
    pub speeds: Vec<u8>,
    /// The backlog by priority and urgency, in core-milliseconds, in the order of the classes; empty without a backlog.
    pub waiting: Vec<(Class, u64)>,
}

impl Load {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.speeds.is_empty() && self.waiting.is_empty()
    }
}
