//! Versions of the messages between instances: in a fleet that is being upgraded, two builds run side by side.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use super::Message;

/// The version of the protocol between instances that one of them can read. Each adds kinds of messages to the one before.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Protocol(pub u32);

impl Protocol {
    /// That of builds whose heartbeats don't state one.
    pub const FIRST: Self = Self(0);

    /// Adds [`Message::Withdraw`].
    pub const WITHDRAWALS: Self = Self(1);

    /// Adds [`Message::Doubts`].
    pub const DOUBTS: Self = Self(2);

    /// That of this build.
    pub const CURRENT: Self = Self::DOUBTS;
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Message {
    /// Returns the first protocol that has its kind. An instance with an earlier one would refuse the whole envelope.
    pub fn protocol(&self) -> Protocol {
        match self {
            Self::Withdraw { .. } => Protocol::WITHDRAWALS,
            Self::Doubts(_) => Protocol::DOUBTS,
            _ => Protocol::FIRST,
        }
    }
}
