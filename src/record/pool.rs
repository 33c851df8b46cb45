//! Worker pool records: whether a pool takes work, and the hardware that its workers must have.

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
    }, //
};
use crate::prelude::*;

/// Whether a pool takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    #[default]
    Open,
    /// It takes no new work; running tasks are completed.
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

/// The content of a pool record, in either schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Whether it takes new work.
    pub state: State,
    /// The hardware that at least one of its workers must have; none for no requirement.
    pub least: Option<Hardware>,
}

impl Body {
    /// Reads schema 1, which has a flag `open`.
    pub(super) fn read_v1(fields: &mut Fields<'_>) -> Option<Self> {
        let open = fields
            .read_optional("open", fields::read_bool)
            .unwrap_or(true);
        let state = if open { State::Open } else { State::Closed };
        Some(Self { state, least: None })
    }

    /// Reads schema 2, which has a state and the least hardware.
    pub(super) fn read_v2(fields: &mut Fields<'_>) -> Option<Self> {
        let state = fields.read_optional("state", fields::read_word::<State>);
        let path = fields.path("least");
        let least = fields.read_object("least").map(|map| {
            let mut inner = Fields::new(map, path);
            let hardware = read_hardware(&mut inner);
            fields.add_faults(inner.finish());
            hardware
        });
        Some(Self {
            state: state.unwrap_or_default(),
            least,
        })
    }

    /// Returns a fault for each field that schema 1 can't express.
    pub(super) fn find_lost_fields(&self) -> Vec<Fault> {
        let detail = "the least hardware would be lost in schema 1; amend in schema 2";
        let fault = |_| Fault::new("least", Code::Lost, detail);
        self.least.iter().map(fault).collect()
    }
}

fn read_hardware(fields: &mut Fields<'_>) -> Hardware {
    let mut read_count = |key, max, unit| {
        let count = fields.read_optional(key, fields::read_whole(0..=max, unit));
        u32::try_from(count.unwrap_or(0)).unwrap_or(u32::MAX)
    };
    Hardware {
        cores: read_count("cores", 4_096, "cores"),
        memory_mb: read_count("memory_mb", 64 << 20, "MiB"),
        accelerators: read_count("accelerators", 1_024, "accelerators"),
    }
}
