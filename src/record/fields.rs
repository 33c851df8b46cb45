//! Reads the fields of a JSON object and gathers every fault instead of stopping at the first.

use std::{
    fmt::Display,
    ops::RangeInclusive,
    str::FromStr, //
};

use serde_json::{
    Map,
    Value, //
};

use super::fault::{
    Code,
    Fault, //
};

/// The farthest that a misspelt field may be from the one that is suggested, in single edits.
const NEAR: usize = 2;

/// A value that can't be read: which sort of fault, and what would be right.
type Wrong = (Code, String);

/// An object that is being read.
#[derive(Debug)]
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: String,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Starts to read the object at `path`.
    pub fn new(map: &'a Map<String, Value>, path: impl Into<String>) -> Self {
        Self {
            map,
            path: path.into(),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault of the field `key`.
    pub fn report(&mut self, key: &str, code: Code, detail: impl Into<String>) {
        let path = join(&self.path, key);
        self.faults.push(Fault::new(path, code, detail));
    }

    /// Adds faults found in a nested object.
    pub fn extend(&mut self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.extend(faults);
    }

    /// Returns the value of a field, and takes the field as known.
    pub fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.map.get(key)
    }

    /// Reads a field that must be there.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        right: &str,
        read: impl Fn(&Value) -> Result<T, Wrong>,
    ) -> Option<T> {
        if !self.map.contains_key(key) {
            self.known.push(key);
            self.report(key, Code::Missing, format!("is missing; give {right}"));
            return None;
        }
        self.optional(key, read)
    }

    /// Reads a field that may be left out.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&Value) -> Result<T, Wrong>,
    ) -> Option<T> {
        match read(self.value(key)?) {
            Ok(value) => Some(value),
            Err((code, detail)) => {
                self.report(key, code, detail);
                None
            }
        }
    }

    /// Reads a list of distinct names; a fault tells the place of the element.
    pub fn names<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display> + PartialEq,
    {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.report(key, Code::Type, "is not a list; give a list of names");
            return Vec::new();
        };
        let mut names = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let at = format!("{key}[{i}]");
            match name::<T>(item) {
                Ok(name) if names.contains(&name) => {
                    self.report(&at, Code::Twice, "stands twice; leave one out");
                }
                Ok(name) => names.push(name),
                Err((code, detail)) => self.report(&at, code, detail),
            }
        }
        names
    }

    /// Reads a nested object that may be left out.
    pub fn object(&mut self, key: &'static str) -> Option<&'a Map<String, Value>> {
        let object = self.value(key)?.as_object();
        if object.is_none() {
            self.report(key, Code::Type, "is not an object; give {...}");
        }
        object
    }

    /// Returns the path of the field `key`.
    pub fn path(&self, key: &str) -> String {
        join(&self.path, key)
    }

    /// Ends the reading: the fields that were never asked for are unknown.
    pub fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<&String> = self
            .map
            .keys()
            .filter(|key| !self.known.contains(&key.as_str()))
            .collect();
        for key in unknown {
            let detail = self.hint(key);
            self.report(key, Code::UnknownField, detail);
        }
        self.faults
    }

    fn hint(&self, key: &str) -> String {
        let near = |known: &&str| known.starts_with(key) || key.starts_with(*known);
        let nearest = self.known.iter().min_by_key(|known| distance(known, key));
        let nearest = nearest.filter(|known| distance(known, key) <= NEAR);
        match self.known.iter().find(|known| near(known)).or(nearest) {
            Some(known) => format!("is not known in this schema; did you mean `{known}`?"),
            None => format!(
                "is not known in this schema; known are {}",
                self.known.join(", ")
            ),
        }
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    }
}

/// Counts the single edits between two words.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let cost = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = cost.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

/// Reads a name.
///
/// # Errors
///
/// Tells why the value is no name.
pub fn name<T: FromStr<Err: Display>>(value: &Value) -> Result<T, Wrong> {
    let text = value
        .as_str()
        .ok_or((Code::Type, "is not a text; give a name".to_owned()))?;
    text.parse()
        .map_err(|e: T::Err| (Code::Name, e.to_string()))
}

/// Reads a whole number within a range.
///
/// # Errors
///
/// Tells the range that it must be in.
pub fn whole(range: RangeInclusive<u64>, unit: &str) -> impl Fn(&Value) -> Result<u64, Wrong> + '_ {
    move |value| {
        let right = format!(
            "a whole number of {unit} from {} to {}",
            range.start(),
            range.end()
        );
        if !value.is_number() {
            return Err((Code::Type, format!("is {value}; give {right}")));
        }
        match value.as_u64() {
            Some(number) if range.contains(&number) => Ok(number),
            _ => Err((Code::Range, format!("is {value}; give {right}"))),
        }
    }
}

/// Reads a flag.
///
/// # Errors
///
/// Tells that the value is neither true nor false.
pub fn flag(value: &Value) -> Result<bool, Wrong> {
    value
        .as_bool()
        .ok_or_else(|| (Code::Type, format!("is {value}; give true or false")))
}

/// Reads one of several words.
///
/// # Errors
///
/// Tells the words that are allowed.
pub fn word<T: FromStr<Err: Display>>(value: &Value) -> Result<T, Wrong> {
    let text = value
        .as_str()
        .ok_or((Code::Type, format!("is {value}; give a text")))?;
    text.parse()
        .map_err(|e: T::Err| (Code::Range, e.to_string()))
}
