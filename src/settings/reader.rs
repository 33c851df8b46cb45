//! Reads settings from INI text, collecting all faults instead of stopping at the first.

use std::{
    fmt,
    ops::RangeInclusive,
    str::FromStr, //
};

use ini::{
    Ini,
    ParseOption, //
};

use super::{
    fault::Fault,
    key, //
};
use crate::prelude::*;

/// The least length of an operator's token, in characters.
const MIN_TOKEN_LENGTH: usize = 16;

/// Reads values of a parsed file and collects their faults.
pub(super) struct Reader {
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text, and collects the faults of unknown and duplicate sections and keys.
    ///
    /// # Errors
    ///
    /// Returns a fault for each line that is no INI.
    pub(super) fn new(text: &str) -> Result<Self, Vec<Fault>> {
        let text = text.trim_start_matches('\u{feff}');
        let faults = check_syntax(text);
        if !faults.is_empty() {
            return Err(faults);
        }
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|e| vec![Fault::new("", "", format!("line {}: {}", e.line, e.msg))])?;
        let mut reader = Self {
            ini,
            faults: Vec::new(),
        };
        reader.check_unknown();
        reader.check_duplicates();
        Ok(reader)
    }

    /// Returns the collected faults.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault.
    pub(super) fn add_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Reads a required value; `allowed` describes the valid values to the operator.
    pub(super) fn read_required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        if self.get(section, key).is_none() {
            self.add_fault(Fault::new(section, key, format!("is missing; {allowed}")));
            return None;
        }
        self.read_optional(section, key, allowed)
    }

    /// Reads an optional value; `allowed` describes the valid values to the operator.
    pub(super) fn read_optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let text = self.get(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(Fault::new(section, key, allowed).with_value(&text));
        }
        value
    }

    /// Reads an optional value within a range, and returns the default if it is absent or invalid.
    pub(super) fn read_in_range<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        let Some(text) = self.get(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(value) if range.contains(&value) => value,
            _ => {
                let allowed = format!("allowed is {} to {}", range.start(), range.end());
                self.add_fault(Fault::new(section, key, allowed).with_value(&text));
                default
            }
        }
    }

    /// Reads the operators with their tokens. Faults don't contain tokens, which are secrets.
    pub(super) fn read_operators(&mut self) -> Vec<(Operator, String)> {
        let mut operators: Vec<(Operator, String)> = Vec::new();
        for (name, token) in self.pairs(key::OPERATORS) {
            let new_fault = |problem: String| Fault::new(key::OPERATORS, &name, problem);
            if token.len() < MIN_TOKEN_LENGTH || !token.bytes().all(|b| b.is_ascii_graphic()) {
                self.add_fault(new_fault(format!(
                    "the token needs at least {MIN_TOKEN_LENGTH} visible ASCII characters, without spaces"
                )));
            }
            if let Some((other, _)) = operators.iter().find(|(_, t)| *t == token) {
                self.add_fault(new_fault(format!("has the same token as {other}")));
            }
            match name.parse() {
                Ok(operator) => operators.push((operator, token)),
                Err(e) => self.add_fault(new_fault(format!("the name {e}"))),
            }
        }
        operators
    }

    fn get(&self, section: &str, key: &str) -> Option<String> {
        let mut sections = self.ini.section_all(Some(section));
        sections.find_map(|s| s.get(key)).map(str::to_owned)
    }

    fn pairs(&self, section: &str) -> Vec<(String, String)> {
        let pairs = self.ini.section_all(Some(section)).flat_map(|s| s.iter());
        pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
    }

    /// Collects the faults of unknown sections, unknown keys and keys outside any section.
    fn check_unknown(&mut self) {
        let mut faults = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                let keys = properties.iter().map(|(key, _)| key_without_section(key));
                faults.extend(keys);
                continue;
            };
            let Some(keys) = key::section_keys(section) else {
                faults.push(unknown_section(section));
                continue;
            };
            if section != key::OPERATORS {
                let unknown = properties.iter().filter(|(key, _)| !keys.contains(key));
                faults.extend(unknown.map(|(key, _)| unknown_key(section, key, keys)));
            }
        }
        self.faults.extend(faults);
    }

    /// Collects a fault for each key that is set more than once, in one section or in several of the same name.
    fn check_duplicates(&mut self) {
        let mut faults = Vec::new();
        for (section, _) in key::SECTIONS {
            let pairs = self.pairs(section);
            for (i, (key, _)) in pairs.iter().enumerate() {
                let earlier = pairs[..i].iter().filter(|(k, _)| k == key).count();
                if earlier == 1 {
                    faults.push(Fault::new(section, key, "is set more than once"));
                }
            }
        }
        self.faults.extend(faults);
    }
}

/// Returns a fault for each line that is no INI.
///
/// The parser joins a line without `=` with the next line's key, so that one missing sign would invalidate two settings
/// and the fault would name neither. Each line is therefore checked by itself first.
fn check_syntax(text: &str) -> Vec<Fault> {
    let lines = text.lines().map(str::trim).enumerate();
    let faults = lines.filter_map(|(i, line)| {
        let problem = line_problem(line)?;
        Some(Fault::new("", "", format!("line {}: {problem}", i + 1)))
    });
    faults.collect()
}

/// Returns what is wrong with a trimmed line.
fn line_problem(line: &str) -> Option<&'static str> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return None;
    }
    if line.starts_with('[') {
        return (!line.ends_with(']'))
            .then_some("a section is written [name], on a line of its own");
    }
    if line.ends_with('\\') {
        return Some("a value can't continue on the next line; remove the '\\' at the end");
    }
    match line.find(['=', ':']) {
        Some(0) => Some("the key is missing; a setting is written key = value"),
        Some(index) if line[index..].starts_with('=') => None,
        Some(_) => Some("a key can't contain ':'; a setting is written key = value"),
        None => Some("a setting is written key = value"),
    }
}

fn key_without_section(key: &str) -> Fault {
    let problem = match key::find_section(key) {
        Some(section) => format!("is outside any section; it belongs to [{section}]"),
        None => "is outside any section".to_owned(),
    };
    Fault::new("", key, problem)
}

fn unknown_section(section: &str) -> Fault {
    let names = || key::SECTIONS.iter().map(|(name, _)| *name);
    let problem = match key::find_similar(section, names()) {
        Some(similar) => format!("is no section; did you mean [{similar}]?"),
        None => format!("is no section; there are {}", join(names())),
    };
    Fault::new(section, "", problem)
}

fn unknown_key(section: &str, key: &str, keys: &[&str]) -> Fault {
    let problem = match (
        key::find_similar(key, keys.iter().copied()),
        key::find_section(key),
    ) {
        (_, Some(other)) => format!("is no key of this section; it belongs to [{other}]"),
        (Some(similar), None) => format!("is no key; did you mean {similar}?"),
        (None, None) => format!("is no key; there are {}", join(keys.iter().copied())),
    };
    Fault::new(section, key, problem)
}

fn join<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.collect::<Vec<_>>().join(", ")
}
