//! The fields in which two texts of a record differ.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// The most differences that are told.
const MOST: usize = 64;

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the field.
    pub path: String,
    /// What stands in force; none where the field is absent.
    pub current: Option<Value>,
    /// What was asked for; none where the field is absent.
    pub asked: Option<Value>,
}

/// Lists the fields in which `asked` differs from `current`, the first 64 of them.
pub fn compare(current: &str, asked: &str) -> Vec<Difference> {
    let read = |text: &str| serde_json::from_str(text).unwrap_or(Value::Null);
    let mut list = Vec::new();
    collect(
        String::new(),
        Some(&read(current)),
        Some(&read(asked)),
        &mut list,
    );
    list.truncate(MOST);
    list
}

fn collect(path: String, a: Option<&Value>, b: Option<&Value>, list: &mut Vec<Difference>) {
    if a == b {
        return;
    }
    let (Some(Value::Object(x)), Some(Value::Object(y))) = (a, b) else {
        list.push(Difference {
            path,
            current: a.cloned(),
            asked: b.cloned(),
        });
        return;
    };
    let added = y.keys().filter(|key| !x.contains_key(*key));
    for key in x.keys().chain(added) {
        let inner = match path.as_str() {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        collect(inner, x.get(key), y.get(key), list);
    }
}
