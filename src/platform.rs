//! The adapter to the platform: decodes its names, formats and calls into the types of the dispatcher, and encodes
//! them.
//!
//! It makes no decisions, and nothing else depends on the platform's formats.

pub mod ingress;
pub mod order;
pub mod record;
pub mod settings;
pub mod store;

use serde::de::DeserializeOwned;

/// Why data from the platform can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Fault {
    /// The path of the field.
    pub field: String,
    /// What is wrong with the field.
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

/// Parses JSON.
///
/// # Errors
///
/// Returns a fault with the path of the field that is missing or wrong.
fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    let mut from = serde_json::Deserializer::from_slice(bytes);
    let read = serde_path_to_error::deserialize(&mut from);
    let value = read.map_err(|e| Fault::new(e.path().to_string(), e.inner()))?;
    from.end().map_err(|e| Fault::new("end", e))?;
    Ok(value)
}
