//! Configuration records: what operators write, in schema 1 or 2, and the domain types that both parse into.
//!
//! A record is kept as written. Only `schema`, `kind`, `name` and, in rules, `service` are read of a record whose
//! schema is not known; every future schema must keep their meaning.

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
    fields::Fields,
};
use crate::{
    id::as_text,
    prelude::*, //
};

/// The newest schema that this version knows.
pub const NEWEST_SCHEMA: u64 = 2;
/// The longest text of a record, in bytes.
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

/// Names a record: `KIND/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    /// The kind of the record.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: String,
}

impl Name {
    /// Makes a name of one that is known to be well formed.
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
        let name: Service = name.parse().map_err(|e: crate::id::Fault| e.to_string())?;
        Ok(Self::new(kind, name))
    }
}

as_text!(Name, String);

/// What a record says, whichever schema it is written in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Of a service.
    Service(service::Body),
    /// Of a worker pool.
    Pool(pool::Body),
    /// Of a placement rule.
    Rule(rule::Body),
    /// Of a schema that this version doesn't know: it stays in force, and nobody guesses at it.
    Unknown(Unknown),
}

/// What is read of a record whose schema is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    /// The service that it is for, where it is a rule.
    pub service: Option<Service>,
    /// Every text in it, any of which may refer to another record.
    pub texts: Vec<String>,
}

/// A record: its name, what it says, and the text as written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// The schema that it is written in.
    pub schema: u64,
    /// What it says.
    pub body: Body,
    /// The text as written.
    pub text: String,
}

impl Record {
    /// Parses what an operator wrote, which must be of a known schema.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn parse(text: impl Into<String>) -> Result<Self, Vec<Fault>> {
        let text = text.into();
        if text.len() > MAX_TEXT_BYTES {
            let detail = format!("has {} bytes; give {MAX_TEXT_BYTES} at most", text.len());
            return Err(vec![Fault::new("", Code::Size, detail)]);
        }
        let (map, twice) = object::read(&text).map_err(|fault| vec![fault])?;
        let mut fields = Fields::new(&map, "");
        let head = head(&mut fields);
        let body = head
            .as_ref()
            .and_then(|(kind, schema)| body(*kind, *schema, &mut fields));
        let name = fields.required("name", "the record's name", fields::name::<Service>);
        let whole = head.zip(body).zip(name);
        // Of a schema or kind that can't be told, no other field can be judged.
        let mut faults = match &whole {
            None if !fields_known(&map) => head_faults(fields.finish()),
            _ => fields.finish(),
        };
        faults.extend(twice);
        match whole {
            Some((((kind, schema), body), name)) if faults.is_empty() => Ok(Self {
                name: Name::new(kind, name),
                schema,
                body,
                text,
            }),
            _ => Err(fault::shorten(faults)),
        }
    }

    /// Reads a record that was accepted, maybe by a newer version.
    pub fn parse_accepted(name: Name, text: impl Into<String>) -> Self {
        let text = text.into();
        if let Ok(record) = Self::parse(text.as_str()) {
            if record.name == name {
                return record;
            }
        }
        let (map, _) = object::read(&text).unwrap_or_default();
        let mut texts = Vec::new();
        map.values().for_each(|value| gather(value, &mut texts));
        let service = map.get("service").and_then(|v| fields::name(v).ok());
        Self {
            name,
            schema: map.get("schema").and_then(Value::as_u64).unwrap_or(0),
            body: Body::Unknown(Unknown { service, texts }),
            text,
        }
    }

    /// Tells whether this version understands the record.
    pub fn has_known_schema(&self) -> bool {
        !matches!(self.body, Body::Unknown(_))
    }

    /// Names what an amendment in `schema` would lose of this record.
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

/// Reads just the name of a record, whatever else is wrong with its text.
pub fn parse_name(text: &str) -> Option<Name> {
    let (map, _) = object::read(text).ok()?;
    let kind: Kind = map.get("kind")?.as_str()?.parse().ok()?;
    let name: Service = fields::name(map.get("name")?).ok()?;
    Some(Name::new(kind, name))
}

fn head(fields: &mut Fields<'_>) -> Option<(Kind, u64)> {
    let kind = fields.required("kind", "service, pool or rule", fields::word::<Kind>);
    let schema = fields.required("schema", "1 or 2", |value| match value.as_u64() {
        Some(schema) if (1..=NEWEST_SCHEMA).contains(&schema) => Ok(schema),
        _ => Err((
            Code::Schema,
            format!("is {value}, which this version doesn't know; give 1 or 2"),
        )),
    });
    kind.zip(schema)
}

fn body(kind: Kind, schema: u64, fields: &mut Fields<'_>) -> Option<Body> {
    match (kind, schema) {
        (Kind::Service, 1) => service::Body::v1(fields).map(Body::Service),
        (Kind::Service, _) => service::Body::v2(fields).map(Body::Service),
        (Kind::Pool, 1) => pool::Body::v1(fields).map(Body::Pool),
        (Kind::Pool, _) => pool::Body::v2(fields).map(Body::Pool),
        (Kind::Rule, 1) => rule::Body::v1(fields).map(Body::Rule),
        (Kind::Rule, _) => rule::Body::v2(fields).map(Body::Rule),
    }
}

fn fields_known(map: &Map<String, Value>) -> bool {
    head(&mut Fields::new(map, "")).is_some()
}

fn head_faults(faults: Vec<Fault>) -> Vec<Fault> {
    let known = |fault: &Fault| fault.code != Code::UnknownField;
    faults.into_iter().filter(known).collect()
}

fn gather(value: &Value, texts: &mut Vec<String>) {
    match value {
        Value::String(text) => texts.push(text.clone()),
        Value::Array(items) => items.iter().for_each(|item| gather(item, texts)),
        Value::Object(map) => map.iter().for_each(|(key, item)| {
            texts.push(key.clone());
            gather(item, texts);
        }),
        _ => {}
    }
}
