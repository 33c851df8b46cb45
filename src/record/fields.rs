//! Reads the fields of a JSON object, collecting all faults instead of stopping at the first.

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

/// The greatest Levenshtein distance between an unknown field and the one that is suggested for it.
const MAX_DISTANCE: usize = 2;

/// The code and the detail of a fault whose path the caller adds.
type ValueFault = (Code, String);

/// A JSON object whose fields are being read.
#[derive(Debug)]
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: String,
    /// The keys that were asked for, which make up the schema.
    read_keys: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Makes a reader of the object at `path`.
    pub fn new(map: &'a Map<String, Value>, path: impl Into<String>) -> Self {
        Self {
            map,
            path: path.into(),
            read_keys: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault of the field `key`.
    pub fn add_fault(&mut self, key: &str, code: Code, detail: impl Into<String>) {
        let path = join(&self.path, key);
        self.faults.push(Fault::new(path, code, detail));
    }

    /// Adds the faults of a nested object.
    pub fn add_faults(&mut self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.extend(faults);
    }

    /// Returns the value of a field, and marks the field as one of the schema.
    pub fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        if !self.read_keys.contains(&key) {
            self.read_keys.push(key);
        }
        self.map.get(key)
    }

    /// Reads a required field; `expected` describes its value to the operator.
    pub fn read_required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        read: impl Fn(&Value) -> Result<T, ValueFault>,
    ) -> Option<T> {
        if !self.map.contains_key(key) {
            self.read_keys.push(key);
            self.add_fault(key, Code::Missing, format!("is missing; give {expected}"));
            return None;
        }
        self.read_optional(key, read)
    }

    /// Reads an optional field.
    pub fn read_optional<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&Value) -> Result<T, ValueFault>,
    ) -> Option<T> {
        match read(self.value(key)?) {
            Ok(value) => Some(value),
            Err((code, detail)) => {
                self.add_fault(key, code, detail);
                None
            }
        }
    }

    /// Reads an optional list of distinct names. The path of a fault has the index of the element.
    pub fn read_names<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display> + PartialEq,
    {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.add_fault(key, Code::Type, "is not a list; give a list of names");
            return Vec::new();
        };
        let mut names = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let path = format!("{key}[{i}]");
            match read_name::<T>(item) {
                Ok(name) if names.contains(&name) => {
                    self.add_fault(&path, Code::Twice, "is a duplicate; remove it");
                }
                Ok(name) => names.push(name),
                Err((code, detail)) => self.add_fault(&path, code, detail),
            }
        }
        names
    }

    /// Reads an optional nested object.
    pub fn read_object(&mut self, key: &'static str) -> Option<&'a Map<String, Value>> {
        let object = self.value(key)?.as_object();
        if object.is_none() {
            self.add_fault(key, Code::Type, "is not an object; give {...}");
        }
        object
    }

    /// Returns the path of the field `key`.
    pub fn path(&self, key: &str) -> String {
        join(&self.path, key)
    }

    /// Returns all faults, one for each unknown field among them: those that were never read.
    pub fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<&String> = self
            .map
            .keys()
            .filter(|key| !self.read_keys.contains(&key.as_str()))
            .collect();
        for key in unknown {
            let detail = self.describe_unknown(key);
            self.add_fault(key, Code::UnknownField, detail);
        }
        self.faults
    }

    /// Returns the detail of the fault of an unknown field, with the field that was probably meant.
    fn describe_unknown(&self, key: &str) -> String {
        let is_prefix = |known: &&str| known.starts_with(key) || key.starts_with(*known);
        let nearest = self
            .read_keys
            .iter()
            .min_by_key(|known| distance(known, key));
        let nearest = nearest.filter(|known| distance(known, key) <= MAX_DISTANCE);
        match self
            .read_keys
            .iter()
            .find(|known| is_prefix(known))
            .or(nearest)
        {
            Some(known) => format!("is no field of this schema; did you mean `{known}`?"),
            None => format!(
                "is no field of this schema, which has {}",
                self.read_keys.join(", ")
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

/// Returns the Levenshtein distance between two words, in bytes.
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
/// Fails if the value is no string or no valid name.
pub fn read_name<T: FromStr<Err: Display>>(value: &Value) -> Result<T, ValueFault> {
    let text = value
        .as_str()
        .ok_or((Code::Type, "is not a string; give a name".to_owned()))?;
    text.parse()
        .map_err(|e: T::Err| (Code::Name, e.to_string()))
}

/// Returns a function that reads a whole number within `range`.
///
/// # Errors
///
/// The function fails if the value is no number or is out of range.
pub fn read_whole(
    range: RangeInclusive<u64>,
    unit: &str,
) -> impl Fn(&Value) -> Result<u64, ValueFault> + '_ {
    move |value| {
        let expected = format!(
            "a whole number of {unit} from {} to {}",
            range.start(),
            range.end()
        );
        if !value.is_number() {
            return Err((Code::Type, format!("is {value}; give {expected}")));
        }
        match value.as_u64() {
            Some(number) if range.contains(&number) => Ok(number),
            _ => Err((Code::Range, format!("is {value}; give {expected}"))),
        }
    }
}

/// Reads a boolean.
///
/// # Errors
///
/// Fails if the value is neither true nor false.
pub fn read_bool(value: &Value) -> Result<bool, ValueFault> {
    value
        .as_bool()
        .ok_or_else(|| (Code::Type, format!("is {value}; give true or false")))
}

/// Reads one of several words.
///
/// # Errors
///
/// Fails if the value is no string or none of the words.
pub fn read_word<T: FromStr<Err: Display>>(value: &Value) -> Result<T, ValueFault> {
    let text = value
        .as_str()
        .ok_or((Code::Type, format!("is {value}; give a string")))?;
    text.parse()
        .map_err(|e: T::Err| (Code::Range, e.to_string()))
}
