//! Replaces values that violate the schema, so that the rest of a document can be checked.

use serde_json::{Value, json};

use super::schema_faults::{SchemaFault, SchemaFaultKind};

/// Removes, adds or replaces the value of a schema fault so that the document can be deserialized.
///
/// Returns `false`, with the document unchanged, when no placeholder fits the value.
pub(super) fn repair_fault(document: &mut Value, schema_fault: &SchemaFault) -> bool {
    let path = &schema_fault.fault.path;
    match &schema_fault.kind {
        SchemaFaultKind::UnknownKey => remove_key(document, path),
        SchemaFaultKind::MissingKey(expected_type) => expected_type
            .as_deref()
            .and_then(placeholder)
            .is_some_and(|value| insert_key(document, path, value)),
        SchemaFaultKind::WrongType(expected_type) => match placeholder(expected_type) {
            Some(value) => set_value(document, path, value),
            None => false,
        },
        SchemaFaultKind::InvalidValue => replace_value(document, path),
    }
}

/// Replaces a value by a valid placeholder of the same type; returns whether one fits.
///
/// Addresses, the contract's `survives` and the log's `level` need a placeholder of their own;
/// another string, an object or an array is left as it is.
pub(super) fn replace_value(document: &mut Value, path: &str) -> bool {
    let value = match document.pointer(path) {
        Some(Value::Number(_)) => json!(1),
        Some(Value::String(text)) if text.contains(':') => json!("127.0.0.1:0"),
        Some(Value::String(_)) if path.ends_with("_address") => json!("127.0.0.1:0"),
        Some(Value::String(_)) if path.ends_with("/survives") => json!("instance"),
        Some(Value::String(_)) if path.ends_with("/level") => json!("info"),
        _ => return false,
    };
    set_value(document, path, value)
}

fn placeholder(expected_type: &str) -> Option<Value> {
    match expected_type {
        "integer" | "number" => Some(json!(1)),
        "string" => Some(json!("127.0.0.1:0")),
        "boolean" => Some(json!(false)),
        _ => None,
    }
}

fn set_value(document: &mut Value, path: &str, value: Value) -> bool {
    match document.pointer_mut(path) {
        Some(target) => {
            *target = value;
            true
        }
        None => false,
    }
}

fn insert_key(document: &mut Value, path: &str, value: Value) -> bool {
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

fn remove_key(document: &mut Value, path: &str) -> bool {
    let Some((parent, key)) = path.rsplit_once('/') else {
        return false;
    };
    document
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .is_some_and(|object| object.remove(key).is_some())
}
