//! Worker pool records: whether a pool takes work, and the size that its workers are counted on to have.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    fault::{
        Code,
        Fault, //
    },
    fields::{
        self,
        Fields, //
    },
};
use crate::prelude::*;

/// Whether a pool takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    #[default]
    Open,
    /// It gets nothing new; what runs there ends.
    Closed,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl FromStr for State {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "open" => Ok(Self::Open),
            "closed" => Ok(Self::Closed),
            _ => Err(format!("is {text:?}; give open or closed")),
        }
    }
}

/// What a pool record says, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Whether it takes new work.
    pub state: State,
    /// The size that at least one of its workers must have, where the record tells one.
    pub least: Option<Hardware>,
}

impl Body {
    /// Reads schema 1: open or not.
    pub(super) fn v1(fields: &mut Fields<'_>) -> Option<Self> {
        let open = fields.optional("open", fields::flag).unwrap_or(true);
        let state = if open { State::Open } else { State::Closed };
        Some(Self { state, least: None })
    }

    /// Reads schema 2: a state, and the least size of a worker.
    pub(super) fn v2(fields: &mut Fields<'_>) -> Option<Self> {
        let state = fields.optional("state", fields::word::<State>);
        let path = fields.path("least");
        let least = fields.object("least").map(|map| {
            let mut inner = Fields::new(map, path);
            let need = need(&mut inner);
            fields.extend(inner.finish());
            need
        });
        Some(Self {
            state: state.unwrap_or_default(),
            least,
        })
    }

    /// Names what schema 1 can't say of this body.
    pub(super) fn find_lost_fields(&self) -> Vec<Fault> {
        let detail = "the least size would be lost in schema 1; amend in schema 2";
        let fault = |_| Fault::new("least", Code::Lost, detail);
        self.least.iter().map(fault).collect()
    }
}

fn need(fields: &mut Fields<'_>) -> Hardware {
    let mut count = |key, most, unit| {
        let count = fields.optional(key, fields::whole(0..=most, unit));
        u32::try_from(count.unwrap_or(0)).unwrap_or(u32::MAX)
    };
    Hardware {
        cores: count("cores", 4_096, "cores"),
        memory_mb: count("memory_mb", 64 << 20, "MiB"),
        accelerators: count("accelerators", 1_024, "accelerators"),
    }
}
