//! Field-by-field comparison of two JSON documents.

use serde::Serialize;
use serde_json::Value;

/// Field whose value differs between two documents.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Difference {
    /// Path of the field, for example `routes[0].name`.
    pub field: String,
    /// Value in the first document, or null if the field is missing there.
    pub before: Value,
    /// Value in the second document, or null if the field is missing there.
    pub after: Value,
}

/// Returns every field that differs. Fields of an object are in the order of their names, elements of an array
/// in the order of their indices.
#[must_use]
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    collect_differences("", before, after, &mut differences);
    differences
}

fn collect_differences(
    path: &str,
    before: &Value,
    after: &Value,
    differences: &mut Vec<Difference>,
) {
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names {
                let field = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                let missing = Value::Null;
                let old = old.get(name).unwrap_or(&missing);
                let new = new.get(name).unwrap_or(&missing);
                collect_differences(&field, old, new, differences);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            for index in 0..old.len().max(new.len()) {
                let missing = Value::Null;
                let old = old.get(index).unwrap_or(&missing);
                let new = new.get(index).unwrap_or(&missing);
                collect_differences(&format!("{path}[{index}]"), old, new, differences);
            }
        }
        _ if before != after => differences.push(Difference {
            field: path.to_owned(),
            before: before.clone(),
            after: after.clone(),
        }),
        _ => (),
    }
}
