//! Prints JSON answers as readable lines.

use serde_json::Value;

/// Spaces by which a nested value is moved in.
const INDENT: usize = 2;

/// Returns a JSON value as indented `key: value` lines.
pub(crate) fn readable(value: &Value) -> String {
    let mut text = String::new();
    push(&mut text, value, 0);
    text
}

fn push(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                push_item(text, &format!("{key}:"), value, depth);
            }
        }
        Value::Array(values) => {
            for value in values {
                push_item(text, "-", value, depth);
            }
        }
        _ => push_line(text, &scalar(value), depth),
    }
}

fn push_item(text: &mut String, label: &str, value: &Value, depth: usize) {
    match value {
        Value::Object(object) if !object.is_empty() => {
            push_line(text, label, depth);
            push(text, value, depth + 1);
        }
        Value::Array(values) if !values.is_empty() => {
            push_line(text, label, depth);
            push(text, value, depth + 1);
        }
        _ => push_line(text, &format!("{label} {}", scalar(value)), depth),
    }
}

fn push_line(text: &mut String, line: &str, depth: usize) {
    text.push_str(&" ".repeat(depth * INDENT));
    text.push_str(line);
    text.push('\n');
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Null => String::from("none"),
        Value::String(text) => text.clone(),
        Value::Array(values) if values.is_empty() => String::from("none"),
        Value::Object(object) if object.is_empty() => String::from("none"),
        other => other.to_string(),
    }
}
