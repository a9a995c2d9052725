//! Formats JSON documents as indented lines for people.

use serde_json::Value;

/// Spaces of indentation per level of nesting.
const INDENT_SPACES: usize = 2;

/// Formats a JSON value as indented `key: value` lines, with one `-` line per array item.
///
/// Null, empty arrays and empty objects are shown as `none`.
pub(crate) fn format_indented(value: &Value) -> String {
    let mut text = String::new();
    push_value(&mut text, value, 0);
    text
}

fn push_value(text: &mut String, value: &Value, depth: usize) {
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
        _ => push_line(text, &scalar_text(value), depth),
    }
}

fn push_item(text: &mut String, label: &str, value: &Value, depth: usize) {
    match value {
        Value::Object(object) if !object.is_empty() => {
            push_line(text, label, depth);
            push_value(text, value, depth + 1);
        }
        Value::Array(values) if !values.is_empty() => {
            push_line(text, label, depth);
            push_value(text, value, depth + 1);
        }
        _ => push_line(text, &format!("{label} {}", scalar_text(value)), depth),
    }
}

fn push_line(text: &mut String, line: &str, depth: usize) {
    text.push_str(&" ".repeat(depth * INDENT_SPACES));
    text.push_str(line);
    text.push('\n');
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::from("none"),
        Value::String(text) => text.clone(),
        Value::Array(values) if values.is_empty() => String::from("none"),
        Value::Object(object) if object.is_empty() => String::from("none"),
        other => other.to_string(),
    }
}
