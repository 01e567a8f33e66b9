//! Differences between two documents, field by field.

use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Difference {
    /// Path of the field.
    pub field: String,
    /// Value in force; null when the field is new.
    pub before: Value,
    /// Submitted value; null when the field is gone.
    pub after: Value,
}

/// Every field that differs, in the order of the paths.
#[must_use]
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect("", before, after, &mut found);
    found
}

fn collect(path: &str, before: &Value, after: &Value, found: &mut Vec<Difference>) {
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
                collect(&field, old, new, found);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            for index in 0..old.len().max(new.len()) {
                let missing = Value::Null;
                let old = old.get(index).unwrap_or(&missing);
                let new = new.get(index).unwrap_or(&missing);
                collect(&format!("{path}[{index}]"), old, new, found);
            }
        }
        _ if before != after => found.push(Difference {
            field: path.to_owned(),
            before: before.clone(),
            after: after.clone(),
        }),
        _ => (),
    }
}
