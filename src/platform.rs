//! The adapter to the platform: its names, formats and calls, decoded once into the project's types.
//!
//! Nothing here decides anything, and nothing outside knows the platform's words.

pub mod ingress;
pub mod order;
pub mod record;
pub mod settings;
pub mod store;

use serde::de::DeserializeOwned;

/// Why a text of the platform can't be read: the field, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Fault {
    /// The field's path.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Fault {
    fn new(field: impl Into<String>, reason: impl ToString) -> Self {
        Self {
            field: field.into(),
            reason: reason.to_string(),
        }
    }
}

/// Reads JSON; the fault names the field.
fn json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    let mut from = serde_json::Deserializer::from_slice(bytes);
    let read = serde_path_to_error::deserialize(&mut from);
    let value = read.map_err(|e| Fault::new(e.path().to_string(), e.inner()))?;
    from.end().map_err(|e| Fault::new("end", e))?;
    Ok(value)
}
