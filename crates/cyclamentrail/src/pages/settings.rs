//! The page of all settings, generated from their schema.

use std::fmt::Write as _;

use cyclamentrail_core::settings_schema;
use serde_json::Value;

const HEAD: &str = "\
# Settings

A site's settings are one base document with an overlay for the site, merged as JSON merge patches
(RFC 7386). `cyclamentrail check --settings BASE --overlay SITE` names every fault;
`--print` shows the merged document. The schema is `schema/settings.schema.json`.

This page is generated from the schema. `NAME` stands for a name of the operator's choice.
Secrets never stand in the settings: `token` names an environment variable or a file.

";

/// Returns the page `docs/SETTINGS.md`.
#[must_use]
pub fn settings_page() -> String {
    let schema = settings_schema().to_value();
    let mut page = String::from(HEAD);
    write_object(&mut page, &schema, &schema, "");
    page
}

fn write_object(page: &mut String, schema: &Value, object: &Value, path: &str) {
    let Some(properties) = object.get("properties").and_then(Value::as_object) else {
        return;
    };
    let title = if path.is_empty() { "top level" } else { path };
    let required: Vec<&str> = object
        .get("required")
        .and_then(Value::as_array)
        .map(|names| names.iter().filter_map(Value::as_str).collect())
        .unwrap_or_default();
    let _ = write!(page, "## {title}\n\n");
    page.push_str("| key | type | allowed | needed | meaning |\n|---|---|---|---|---|\n");
    for (key, property) in properties {
        let resolved = follow(schema, property);
        let needed = if required.contains(&key.as_str()) {
            "yes"
        } else {
            "no"
        };
        let _ = writeln!(
            page,
            "| `{key}` | {} | {} | {needed} | {} |",
            type_of(schema, resolved),
            allowed(resolved),
            description(property, resolved)
        );
    }
    page.push('\n');
    for (key, property) in properties {
        let child = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        write_child(page, schema, follow(schema, property), &child);
    }
}

fn write_child(page: &mut String, schema: &Value, part: &Value, path: &str) {
    if part.get("properties").is_some() {
        write_object(page, schema, part, path);
    } else if let Some(inner) = part.get("additionalProperties").filter(|x| x.is_object()) {
        write_child(page, schema, follow(schema, inner), &format!("{path}.NAME"));
    } else if let Some(choices) = part.get("oneOf").and_then(Value::as_array)
        && choices
            .iter()
            .any(|choice| choice.get("properties").is_some())
    {
        let _ = write!(page, "## {path}\n\nExactly one of:\n\n");
        for choice in choices {
            let properties = choice.get("properties").and_then(Value::as_object);
            for (key, _) in properties.into_iter().flatten() {
                let _ = writeln!(page, "- `{key}`: {}", description(choice, choice));
            }
        }
        page.push('\n');
    }
}

fn follow<'a>(schema: &'a Value, part: &'a Value) -> &'a Value {
    part.get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| reference.strip_prefix('#'))
        .and_then(|pointer| schema.pointer(pointer))
        .map_or(part, |target| follow(schema, target))
}

fn type_of(schema: &Value, part: &Value) -> String {
    match part.get("type").and_then(Value::as_str) {
        Some("array") => {
            let items = part.get("items").map(|items| follow(schema, items));
            format!(
                "list of {}",
                items.map_or_else(|| String::from("values"), |items| type_of(schema, items))
            )
        }
        Some(name) => name.to_owned(),
        None if part.get("oneOf").is_some() => String::from("choice"),
        None => String::from("value"),
    }
}

fn allowed(part: &Value) -> String {
    let constants: Vec<String> = part
        .get("oneOf")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(|choice| choice.get("const"))
        .map(|constant| format!("`{constant}`"))
        .collect();
    if !constants.is_empty() {
        return constants.join(", ");
    }
    if part.get("pattern").is_some() {
        return String::from("IP:PORT");
    }
    match (part.get("minimum"), part.get("maximum")) {
        (Some(low), Some(high)) => format!("{low} to {high}"),
        (Some(low), None) => format!("{low} or more"),
        (None, Some(high)) => format!("{high} or less"),
        (None, None) => String::from("any"),
    }
}

fn description(property: &Value, resolved: &Value) -> String {
    property
        .get("description")
        .or_else(|| resolved.get("description"))
        .and_then(Value::as_str)
        .unwrap_or_default()
        .replace('\n', " ")
}
