//! Reads settings from INI and gathers every fault on the way.

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

/// The shortest token of an operator, in characters.
const SHORTEST_TOKEN: usize = 16;

/// Reads values and keeps the faults.
pub(super) struct Reader {
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text; a text that is no INI gives all its faulty lines.
    pub(super) fn new(text: &str) -> Result<Self, Vec<Fault>> {
        let text = text.trim_start_matches('\u{feff}');
        let faults = syntax(text);
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
        reader.refuse_unknown();
        reader.refuse_duplicates();
        Ok(reader)
    }

    /// Returns the faults found.
    pub(super) fn faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault.
    pub(super) fn fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Reads a value that must be there.
    pub(super) fn required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        if self.get(section, key).is_none() {
            self.fault(Fault::new(section, key, format!("is missing; {allowed}")));
            return None;
        }
        self.optional(section, key, allowed)
    }

    /// Reads a value that may be left out.
    pub(super) fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let text = self.get(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(Fault::new(section, key, allowed).with_value(&text));
        }
        value
    }

    /// Reads a value that has a default and a range.
    pub(super) fn within<T>(
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
                self.fault(Fault::new(section, key, allowed).with_value(&text));
                default
            }
        }
    }

    /// Reads the operators with their tokens. No fault shows a token.
    pub(super) fn operators(&mut self) -> Vec<(Operator, String)> {
        let mut operators: Vec<(Operator, String)> = Vec::new();
        for (name, token) in self.pairs(key::OPERATORS) {
            let fault = |problem: String| Fault::new(key::OPERATORS, &name, problem);
            if token.len() < SHORTEST_TOKEN || !token.bytes().all(|b| b.is_ascii_graphic()) {
                self.fault(fault(format!(
                    "the token needs at least {SHORTEST_TOKEN} visible ASCII characters, without spaces"
                )));
            }
            if let Some((other, _)) = operators.iter().find(|(_, t)| *t == token) {
                self.fault(fault(format!("has the same token as {other}")));
            }
            match name.parse() {
                Ok(operator) => operators.push((operator, token)),
                Err(e) => self.fault(fault(format!("the name {e}"))),
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

    fn refuse_unknown(&mut self) {
        let mut faults = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                let stray = properties.iter().map(|(key, _)| stray(key));
                faults.extend(stray);
                continue;
            };
            let Some(keys) = key::of(section) else {
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

    fn refuse_duplicates(&mut self) {
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

/// Finds the lines that are no INI.
///
/// The parser takes a line without `=` as the beginning of the next line's key, so that one forgotten sign
/// would spoil two settings and name neither. Each line is therefore looked at by itself first.
fn syntax(text: &str) -> Vec<Fault> {
    let lines = text.lines().map(str::trim).enumerate();
    let faults = lines.filter_map(|(i, line)| {
        let problem = line_problem(line)?;
        Some(Fault::new("", "", format!("line {}: {problem}", i + 1)))
    });
    faults.collect()
}

fn line_problem(line: &str) -> Option<&'static str> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return None;
    }
    if line.starts_with('[') {
        return (!line.ends_with(']'))
            .then_some("a section is written [name], on a line of its own");
    }
    if line.ends_with('\\') {
        return Some("a value can't go on in the next line");
    }
    match line.find(['=', ':']) {
        Some(0) => Some("there is no key before the sign"),
        Some(place) if line[place..].starts_with('=') => None,
        Some(_) => Some("a key may hold no ':'; a setting is written key = value"),
        None => Some("a setting is written key = value"),
    }
}

fn stray(key: &str) -> Fault {
    let place = match key::home(key) {
        Some(home) => format!("stands before any section; it belongs to [{home}]"),
        None => "stands before any section".to_owned(),
    };
    Fault::new("", key, place)
}

fn unknown_section(section: &str) -> Fault {
    let names = || key::SECTIONS.iter().map(|(name, _)| *name);
    let problem = match key::nearest(section, names()) {
        Some(near) => format!("is no section; did you mean [{near}]?"),
        None => format!("is no section; there are {}", join(names())),
    };
    Fault::new(section, "", problem)
}

fn unknown_key(section: &str, key: &str, keys: &[&str]) -> Fault {
    let problem = match (key::nearest(key, keys.iter().copied()), key::home(key)) {
        (_, Some(home)) => format!("is no key of this section; it belongs to [{home}]"),
        (Some(near), None) => format!("is no key; did you mean {near}?"),
        (None, None) => format!("is no key; there are {}", join(keys.iter().copied())),
    };
    Fault::new(section, key, problem)
}

fn join<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.collect::<Vec<_>>().join(", ")
}
