//! Compares two texts of a record field by field.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// The most differences that are returned.
const MAX_DIFFERENCES: usize = 64;

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the field.
    pub path: String,
    /// The value in force; none if the field is absent.
    pub current: Option<Value>,
    /// The value in the requested text; none if the field is absent.
    pub asked: Option<Value>,
}

/// Returns the fields in which `asked` differs from `current`, at most the first 64.
pub fn compare(current: &str, asked: &str) -> Vec<Difference> {
    let parse = |text: &str| serde_json::from_str(text).unwrap_or(Value::Null);
    let mut list = Vec::new();
    collect(
        String::new(),
        Some(&parse(current)),
        Some(&parse(asked)),
        &mut list,
    );
    list.truncate(MAX_DIFFERENCES);
    list
}

/// Appends the differences between the values at `path` to `list`.
fn collect(
    path: String,
    current: Option<&Value>,
    asked: Option<&Value>,
    list: &mut Vec<Difference>,
) {
    if current == asked {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (current, asked) else {
        list.push(Difference {
            path,
            current: current.cloned(),
            asked: asked.cloned(),
        });
        return;
    };
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let inner_path = match path.as_str() {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        collect(inner_path, old.get(key), new.get(key), list);
    }
}
