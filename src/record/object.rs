//! Parses JSON text and finds duplicate fields.

use std::{
    cell::RefCell,
    fmt, //
};

use serde::de::{
    self,
    DeserializeSeed,
    Deserializer,
    MapAccess,
    SeqAccess,
    Visitor, //
};
use serde_json::{
    Map,
    Number,
    Value, //
};

use super::fault::{
    Code,
    Fault, //
};

/// Parses a JSON object. Returns it with a fault for each duplicate field, of which the object has the last value.
///
/// JSON parsers accept duplicate fields and silently take one of them, which need not be the one that was meant.
///
/// # Errors
///
/// Fails if the text is not a JSON object.
pub fn parse(text: &str) -> Result<(Map<String, Value>, Vec<Fault>), Fault> {
    let faults = RefCell::new(Vec::new());
    let seed = Seed {
        path: String::new(),
        faults: &faults,
    };
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = seed.deserialize(&mut reader);
    let value = value.and_then(|value| reader.end().map(|()| value));
    match value {
        Ok(Value::Object(map)) => Ok((map, faults.into_inner())),
        Ok(_) => Err(Fault::new(
            "",
            Code::Syntax,
            "is not a JSON object; give {...}",
        )),
        Err(e) => Err(Fault::new("", Code::Syntax, format!("is not JSON: {e}"))),
    }
}

/// Deserializes the value at a path.
struct Seed<'a> {
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl Seed<'_> {
    /// Returns the seed of the value of `key` in the object at this path.
    fn child(&self, key: &str) -> Self {
        let path = match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        };
        let faults = self.faults;
        Self { path, faults }
    }
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element_seed(self.child(&format!("[{}]", list.len())))? {
            list.push(item);
        }
        Ok(list.into())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = fields.next_key::<String>()? {
            let seed = self.child(&key);
            if map.contains_key(&key) {
                let fault = Fault::new(&seed.path, Code::Twice, "is a duplicate; remove it");
                self.faults.borrow_mut().push(fault);
            }
            map.insert(key, fields.next_value_seed(seed)?);
        }
        Ok(map.into())
    }
}
