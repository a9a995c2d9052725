//! Looks up what the schema allows at a JSON pointer of a document.

use serde_json::Value;

/// Returns the subschema that describes the value at a JSON pointer of a document, with references
/// resolved, or `None` when the schema describes no such value.
pub(super) fn subschema_at<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    let mut subschema = schema;
    for segment in pointer.split('/').skip(1) {
        let object = resolve_reference(schema, subschema);
        subschema = object
            .pointer(&format!("/properties/{segment}"))
            .or_else(|| object.get("additionalProperties"))
            .or_else(|| object.get("items"))?;
    }
    Some(resolve_reference(schema, subschema))
}

/// Returns the property names that the schema allows in the object at a JSON pointer.
pub(super) fn property_names(schema: &Value, pointer: &str) -> Vec<String> {
    subschema_at(schema, pointer)
        .and_then(|subschema| subschema.get("properties"))
        .and_then(Value::as_object)
        .map(|properties| properties.keys().cloned().collect())
        .unwrap_or_default()
}

/// Returns the constants that the schema allows for the value at a JSON pointer, as JSON text;
/// empty when the schema lists none.
pub(super) fn allowed_constants(schema: &Value, pointer: &str) -> Vec<String> {
    let Some(subschema) = subschema_at(schema, pointer) else {
        return Vec::new();
    };
    let listed = subschema.get("enum").and_then(Value::as_array);
    let choices = subschema.get("oneOf").and_then(Value::as_array);
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

/// Returns the definition that a subschema refers to, or the subschema when it has no reference.
fn resolve_reference<'a>(schema: &'a Value, subschema: &'a Value) -> &'a Value {
    let target = subschema
        .get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| reference.strip_prefix('#'))
        .and_then(|pointer| schema.pointer(pointer));
    target.map_or(subschema, |target| resolve_reference(schema, target))
}
