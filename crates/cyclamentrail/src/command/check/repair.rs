//! Replaces values of a wrong shape, so that the rest of a document can be checked.

use serde_json::{Value, json};

use super::shape::{ShapeFault, ShapeKind};

/// Makes the document readable at a fault; returns whether that is possible.
pub(super) fn apply(document: &mut Value, found: &ShapeFault) -> bool {
    let path = &found.fault.path;
    match &found.kind {
        ShapeKind::Unknown => remove(document, path),
        ShapeKind::Missing(wanted) => wanted
            .as_deref()
            .and_then(neutral)
            .is_some_and(|value| add(document, path, value)),
        ShapeKind::Type(wanted) => match neutral(wanted) {
            Some(value) => put(document, path, value),
            None => false,
        },
        ShapeKind::Value => replace(document, path),
    }
}

/// Replaces a value by a neutral one of its own type.
pub(super) fn replace(document: &mut Value, path: &str) -> bool {
    let value = match document.pointer(path) {
        Some(Value::Number(_)) => json!(1),
        Some(Value::String(text)) if text.contains(':') => json!("127.0.0.1:0"),
        Some(Value::String(_)) if path.ends_with("_address") => json!("127.0.0.1:0"),
        Some(Value::String(_)) if path.ends_with("/survives") => json!("instance"),
        Some(Value::String(_)) if path.ends_with("/level") => json!("info"),
        _ => return false,
    };
    put(document, path, value)
}

fn neutral(wanted: &str) -> Option<Value> {
    match wanted {
        "integer" | "number" => Some(json!(1)),
        "string" => Some(json!("127.0.0.1:0")),
        "boolean" => Some(json!(false)),
        _ => None,
    }
}

fn put(document: &mut Value, path: &str, value: Value) -> bool {
    match document.pointer_mut(path) {
        Some(place) => {
            *place = value;
            true
        }
        None => false,
    }
}

fn add(document: &mut Value, path: &str, value: Value) -> bool {
    let Some((parent, key)) = path.rsplit_once('/') else {
        return false;
    };
    match document.pointer_mut(parent).and_then(Value::as_object_mut) {
        Some(object) => {
            object.insert(key.to_owned(), value);
            true
        }
        None => false,
    }
}

fn remove(document: &mut Value, path: &str) -> bool {
    let Some((parent, key)) = path.rsplit_once('/') else {
        return false;
    };
    document
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .is_some_and(|object| object.remove(key).is_some())
}
