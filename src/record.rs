//! Configuration records: JSON text in schema 1 or 2, and the domain types that both schemas parse into.
//!
//! The text of a record is stored as the operator wrote it. Of a record with an unknown schema, only the fields `schema`,
//! `kind`, `name` and, in rules, `service` are interpreted; every future schema must keep their meaning.

pub mod check;
pub mod difference;
pub mod fault;
pub mod fields;
pub mod object;
pub mod pool;
pub mod route;
pub mod rule;
pub mod service;
pub mod set;

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};

use self::{
    fault::{
        Code,
        Fault, //
    },
    fields::Fields, //
};
use crate::{
    id::as_text,
    prelude::*, //
};

/// The newest schema that this version supports.
pub const NEWEST_SCHEMA: u64 = 2;
/// The greatest length of a record's text, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 10;

/// The kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A worker pool.
    Pool,
    /// A placement rule.
    Rule,
    /// A service.
    Service,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "pool" => Ok(Self::Pool),
            "rule" => Ok(Self::Rule),
            "service" => Ok(Self::Service),
            _ => Err(format!("is {text:?}; give service, pool or rule")),
        }
    }
}

/// The full name of a record: `KIND/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    /// The kind of the record.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: String,
}

impl Name {
    /// Makes a name from a well-formed `name`, which isn't checked.
    pub fn new(kind: Kind, name: impl fmt::Display) -> Self {
        let name = name.to_string();
        Self { kind, name }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, name) = text.split_once('/').ok_or("is not KIND/NAME")?;
        let kind = kind.parse()?;
        // The names of all kinds follow the same rules.
        let name: Service = name
            .parse()
            .map_err(|e: crate::id::ParseError| e.to_string())?;
        Ok(Self::new(kind, name))
    }
}

as_text!(Name, String);

/// The content of a record, independent of its schema.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A service.
    Service(service::Body),
    /// A worker pool.
    Pool(pool::Body),
    /// A placement rule.
    Rule(rule::Body),
    /// A record with a schema that this version doesn't support: it stays in force, without being interpreted.
    Unknown(Unknown),
}

/// The interpreted parts of a record with an unknown schema.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    /// The service of a rule; none in records of other kinds.
    pub service: Option<Service>,
    /// All strings and nested keys in it, any of which may name another record.
    pub texts: Vec<String>,
}

/// A configuration record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// The schema that it is written in.
    pub schema: u64,
    /// Its content.
    pub body: Body,
    /// The text as the operator wrote it.
    pub text: String,
}

impl Record {
    /// Parses the text of a record, which must have a supported schema.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, up to [`fault::MAX_FAULTS`].
    pub fn parse(text: impl Into<String>) -> Result<Self, Vec<Fault>> {
        let text = text.into();
        if text.len() > MAX_TEXT_BYTES {
            let detail = format!("has {} bytes; give {MAX_TEXT_BYTES} at most", text.len());
            return Err(vec![Fault::new("", Code::Size, detail)]);
        }
        let (map, duplicates) = object::parse(&text).map_err(|fault| vec![fault])?;
        let mut fields = Fields::new(&map, "");
        let head = read_head(&mut fields);
        let body = head
            .as_ref()
            .and_then(|(kind, schema)| read_body(*kind, *schema, &mut fields));
        let name = fields.read_required("name", "the record's name", fields::read_name::<Service>);
        let parts = head.zip(body).zip(name);
        // Without a valid schema and kind it is unknown which other fields are allowed.
        let mut faults = match &parts {
            None if !has_valid_head(&map) => without_unknown_fields(fields.finish()),
            _ => fields.finish(),
        };
        faults.extend(duplicates);
        match parts {
            Some((((kind, schema), body), name)) if faults.is_empty() => Ok(Self {
                name: Name::new(kind, name),
                schema,
                body,
                text,
            }),
            _ => Err(fault::truncate(faults)),
        }
    }

    /// Parses a record that was accepted earlier, possibly by a newer version.
    ///
    /// A text that can't be parsed as the record `name` becomes [`Body::Unknown`], so that no accepted record is lost.
    pub fn parse_accepted(name: Name, text: impl Into<String>) -> Self {
        let text = text.into();
        if let Ok(record) = Self::parse(text.as_str()) {
            if record.name == name {
                return record;
            }
        }
        let (map, _) = object::parse(&text).unwrap_or_default();
        let mut texts = Vec::new();
        map.values()
            .for_each(|value| collect_texts(value, &mut texts));
        let service = map.get("service").and_then(|v| fields::read_name(v).ok());
        Self {
            name,
            schema: map.get("schema").and_then(Value::as_u64).unwrap_or(0),
            body: Body::Unknown(Unknown { service, texts }),
            text,
        }
    }

    /// Returns whether this version supports the record's schema.
    pub fn has_known_schema(&self) -> bool {
        !matches!(self.body, Body::Unknown(_))
    }

    /// Returns a fault for each field that an amendment in `schema` can't express and would drop.
    pub fn find_lost_fields(&self, schema: u64) -> Vec<Fault> {
        if schema >= self.schema {
            return Vec::new();
        }
        match &self.body {
            Body::Service(body) => body.find_lost_fields(),
            Body::Pool(body) => body.find_lost_fields(),
            Body::Rule(body) => body.find_lost_fields(),
            Body::Unknown(_) => Vec::new(),
        }
    }
}

/// Returns the name in the text of a record, whose other fields may be invalid.
pub fn parse_name(text: &str) -> Option<Name> {
    let (map, _) = object::parse(text).ok()?;
    let kind: Kind = map.get("kind")?.as_str()?.parse().ok()?;
    let name: Service = fields::read_name(map.get("name")?).ok()?;
    Some(Name::new(kind, name))
}

/// Reads the kind and the schema.
fn read_head(fields: &mut Fields<'_>) -> Option<(Kind, u64)> {
    let kind = fields.read_required("kind", "service, pool or rule", fields::read_word::<Kind>);
    let schema = fields.read_required("schema", "1 or 2", |value| match value.as_u64() {
        Some(schema) if (1..=NEWEST_SCHEMA).contains(&schema) => Ok(schema),
        _ => Err((
            Code::Schema,
            format!("is {value}, which this version doesn't know; give 1 or 2"),
        )),
    });
    kind.zip(schema)
}

/// Reads the fields that depend on kind and schema.
fn read_body(kind: Kind, schema: u64, fields: &mut Fields<'_>) -> Option<Body> {
    match (kind, schema) {
        (Kind::Service, 1) => service::Body::read_v1(fields).map(Body::Service),
        (Kind::Service, _) => service::Body::read_v2(fields).map(Body::Service),
        (Kind::Pool, 1) => pool::Body::read_v1(fields).map(Body::Pool),
        (Kind::Pool, _) => pool::Body::read_v2(fields).map(Body::Pool),
        (Kind::Rule, 1) => rule::Body::read_v1(fields).map(Body::Rule),
        (Kind::Rule, _) => rule::Body::read_v2(fields).map(Body::Rule),
    }
}

fn has_valid_head(map: &Map<String, Value>) -> bool {
    read_head(&mut Fields::new(map, "")).is_some()
}

fn without_unknown_fields(faults: Vec<Fault>) -> Vec<Fault> {
    let is_other = |fault: &Fault| fault.code != Code::UnknownField;
    faults.into_iter().filter(is_other).collect()
}

/// Appends all strings in `value` and all keys of objects in it to `texts`.
fn collect_texts(value: &Value, texts: &mut Vec<String>) {
    match value {
        Value::String(text) => texts.push(text.clone()),
        Value::Array(items) => items.iter().for_each(|item| collect_texts(item, texts)),
        Value::Object(map) => map.iter().for_each(|(key, item)| {
            texts.push(key.clone());
            collect_texts(item, texts);
        }),
        _ => {}
    }
}
