//! Sizes in bytes, written with binary units.

use std::{
    fmt,
    str::FromStr, //
};

use crate::id::ParseError;

/// The units, the largest first.
const UNITS: [(&str, usize); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

/// A size in bytes, such as `16KiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub usize);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: &&(&str, usize)| self.0 != 0 && self.0.is_multiple_of(unit.1);
        match UNITS.iter().find(divides) {
            Some((name, bytes)) => write!(f, "{}{name}", self.0 / bytes),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for Size {
    type Err = ParseError;

    /// Parses a whole number of bytes, KiB, MiB or GiB.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let text = text.trim();
        let unit = UNITS
            .iter()
            .find_map(|(name, bytes)| Some((text.strip_suffix(name)?, *bytes)));
        let (digits, bytes) = unit.unwrap_or((text, 1));
        let count: usize = digits.trim().parse().map_err(|_| ParseError::Number)?;
        count.checked_mul(bytes).map(Self).ok_or(ParseError::Number)
    }
}
