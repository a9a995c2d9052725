//! Generates `docs/SETTINGS.md` from the schema of the settings.

use std::fmt::Write as _;

use cyclamentrail_core::settings_schema;
use serde_json::Value;

/// Text above the first section.
const PAGE_HEAD: &str = "\
# Settings

A site's settings are one base document with an overlay for the site, merged as JSON merge patches
(RFC 7386). `cyclamentrail check --settings BASE --overlay SITE` names every fault;
`--print` shows the merged document. The schema is `schema/settings.schema.json`.

This page is generated from the schema. `NAME` stands for a name of the operator's choice.
The settings never contain a secret: `token` names the environment variable or file that holds it.

";

/// Section about the fields of the platform's settings file that limit the callers of an edge process.
const CALLERS_SECTION: &str = "\
## callers of an edge process

An edge process reads these fields from the settings file that the platform writes for it, at its
start. None of them needs to be there.

| field | default | meaning |
|---|---|---|
| `Callers.MaxConnections` | half of `Limits.MaxFds` less 200, 2000 or less | Largest number of open connections of callers. |
| `Callers.MaxOpenBodies` | half of the connections | Largest number of bodies that are under way; beyond it, the one that has been so for the longest time is turned away. |
| `Callers.BodyMemoryBytes` | 12% of `Limits.MemoryMb` (256 where it is missing), 1048576 or more | Memory in bytes that bodies under way, and the jobs decoded from them until they are answered, may take together; of use from several times `MaxBodyBytes` on. |
| `Callers.MaxBodyMs` | 30000 | Time in milliseconds within which a whole body has to arrive. |
| `Callers.MaxUnackedMs` | 10000 | Longest time in milliseconds for which a response may stay unacknowledged, or wait for room at the caller (`TCP_USER_TIMEOUT`); the connection is closed then. |
";

/// Returns the text of `docs/SETTINGS.md`: one section per object, with a table row per key, and the
/// fields for an edge process.
#[must_use]
pub fn settings_page() -> String {
    let schema = settings_schema().to_value();
    let mut page = String::from(PAGE_HEAD);
    write_object_section(&mut page, &schema, &schema, "");
    page.push_str(CALLERS_SECTION);
    page
}

/// Writes the section of an object, then those of the objects in it.
fn write_object_section(page: &mut String, schema: &Value, object: &Value, path: &str) {
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
        let resolved = resolve_reference(schema, property);
        let needed = if required.contains(&key.as_str()) {
            "yes"
        } else {
            "no"
        };
        let _ = writeln!(
            page,
            "| `{key}` | {} | {} | {needed} | {} |",
            type_name(schema, resolved),
            allowed_values(resolved),
            description_cell(property, resolved)
        );
    }
    page.push('\n');
    for (key, property) in properties {
        let child_path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        write_nested_sections(
            page,
            schema,
            resolve_reference(schema, property),
            &child_path,
        );
    }
}

/// Writes the sections of a value: an object, a map of objects, or a choice between objects.
///
/// Writes nothing for any other value.
fn write_nested_sections(page: &mut String, schema: &Value, subschema: &Value, path: &str) {
    if subschema.get("properties").is_some() {
        write_object_section(page, schema, subschema, path);
    } else if let Some(inner) = subschema
        .get("additionalProperties")
        .filter(|inner| inner.is_object())
    {
        write_nested_sections(
            page,
            schema,
            resolve_reference(schema, inner),
            &format!("{path}.NAME"),
        );
    } else if let Some(choices) = subschema.get("oneOf").and_then(Value::as_array)
        && choices
            .iter()
            .any(|choice| choice.get("properties").is_some())
    {
        let _ = write!(page, "## {path}\n\nExactly one of:\n\n");
        for choice in choices {
            let properties = choice.get("properties").and_then(Value::as_object);
            for (key, _) in properties.into_iter().flatten() {
                let _ = writeln!(page, "- `{key}`: {}", description_cell(choice, choice));
            }
        }
        page.push('\n');
    }
}

/// Returns the definition that a subschema refers to, or the subschema when it has no reference.
fn resolve_reference<'a>(schema: &'a Value, subschema: &'a Value) -> &'a Value {
    subschema
        .get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| reference.strip_prefix('#'))
        .and_then(|pointer| schema.pointer(pointer))
        .map_or(subschema, |target| resolve_reference(schema, target))
}

/// Returns the content of the column `type`.
fn type_name(schema: &Value, subschema: &Value) -> String {
    match subschema.get("type").and_then(Value::as_str) {
        Some("array") => {
            let items = subschema
                .get("items")
                .map(|items| resolve_reference(schema, items));
            format!(
                "list of {}",
                items.map_or_else(|| String::from("values"), |items| type_name(schema, items))
            )
        }
        Some(name) => name.to_owned(),
        None if subschema.get("oneOf").is_some() => String::from("choice"),
        None => String::from("value"),
    }
}

/// Returns the content of the column `allowed`.
fn allowed_values(subschema: &Value) -> String {
    let constants: Vec<String> = subschema
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
    if subschema.get("pattern").is_some() {
        return String::from("IP:PORT");
    }
    match (subschema.get("minimum"), subschema.get("maximum")) {
        (Some(low), Some(high)) => format!("{low} to {high}"),
        (Some(low), None) => format!("{low} or more"),
        (None, Some(high)) => format!("{high} or less"),
        (None, None) => String::from("any"),
    }
}

/// Returns the content of the column `meaning`: the description of the key, else that of its type.
fn description_cell(property: &Value, resolved: &Value) -> String {
    property
        .get("description")
        .or_else(|| resolved.get("description"))
        .and_then(Value::as_str)
        .unwrap_or_default()
        .replace('\n', " ")
}
