//! Looks up what the schema allows at a place of a document.

use serde_json::Value;

/// Returns the part of the schema that describes the value at a JSON pointer of a document.
pub(super) fn part_of<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    let mut part = schema;
    for segment in pointer.split('/').skip(1) {
        let object = follow(schema, part);
        part = object
            .pointer(&format!("/properties/{segment}"))
            .or_else(|| object.get("additionalProperties"))
            .or_else(|| object.get("items"))?;
    }
    Some(follow(schema, part))
}

/// Returns the names of the properties that the schema knows in an object.
pub(super) fn property_names(schema: &Value, pointer: &str) -> Vec<String> {
    part_of(schema, pointer)
        .and_then(|part| part.get("properties"))
        .and_then(Value::as_object)
        .map(|properties| properties.keys().cloned().collect())
        .unwrap_or_default()
}

/// Returns the constants that the schema lists for a value.
pub(super) fn constants(schema: &Value, pointer: &str) -> Vec<String> {
    let Some(part) = part_of(schema, pointer) else {
        return Vec::new();
    };
    let listed = part.get("enum").and_then(Value::as_array);
    let choices = part.get("oneOf").and_then(Value::as_array);
    listed
        .into_iter()
        .flatten()
        .chain(
            choices
                .into_iter()
                .flatten()
                .filter_map(|choice| choice.get("const")),
        )
        .map(ToString::to_string)
        .collect()
}

/// Follows references to the definition of a part.
fn follow<'a>(schema: &'a Value, part: &'a Value) -> &'a Value {
    let target = part
        .get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| reference.strip_prefix('#'))
        .and_then(|pointer| schema.pointer(pointer));
    target.map_or(part, |target| follow(schema, target))
}
