//! Finds every value of a document that violates the schema of the settings.

use anyhow::{Context, Result};
use cyclamentrail_core::SettingsFault;
use jsonschema::ValidationError;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use serde_json::Value;

use super::schema_lookup;

/// A violation of the schema.
#[derive(Debug)]
pub(super) struct SchemaFault {
    /// Path, problem, allowed values and remedy for the operator.
    pub(super) fault: SettingsFault,
    /// Rule that the value violates; decides how the document is repaired.
    pub(super) kind: SchemaFaultKind,
}

/// Rule of the schema that a value violates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SchemaFaultKind {
    /// The schema doesn't allow the key.
    UnknownKey,
    /// A required key is missing; holds the expected type, or `None` when the schema names no
    /// single type.
    MissingKey(Option<String>),
    /// The value has another type than the expected one, which the variant holds.
    WrongType(String),
    /// The value has the expected type but is out of range, malformed or not one of the choices.
    InvalidValue,
}

/// Returns every violation of the schema in a document.
///
/// # Errors
///
/// Returns an error when the schema is itself invalid.
pub(super) fn find_schema_faults(schema: &Value, document: &Value) -> Result<Vec<SchemaFault>> {
    let validator = jsonschema::validator_for(schema)
        .map_err(jsonschema::ValidationError::to_owned)
        .context("the schema of the settings is invalid; report this as a bug")?;
    let faults = validator
        .iter_errors(document)
        .flat_map(|error| schema_faults_of(schema, &error))
        .collect();
    Ok(faults)
}

fn schema_faults_of(schema: &Value, error: &ValidationError<'_>) -> Vec<SchemaFault> {
    let path = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let allowed = schema_lookup::property_names(schema, &path).join(", ");
            unexpected
                .iter()
                .map(|key| SchemaFault {
                    fault: SettingsFault::new(
                        format!("{path}/{key}"),
                        format!("key \"{key}\" is unknown"),
                        &allowed,
                        "correct its spelling, or remove it",
                    ),
                    kind: SchemaFaultKind::UnknownKey,
                })
                .collect()
        }
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let path = format!("{path}/{key}");
            let expected_type = expected_type_at(schema, &path);
            let allowed = expected_type.as_ref().map_or_else(
                || String::from("what docs/SETTINGS.md lists"),
                |name| format!("a value of type {name}"),
            );
            vec![SchemaFault {
                fault: SettingsFault::new(
                    path,
                    format!("key \"{key}\" is missing"),
                    &allowed,
                    "add it to the base or to the overlay; docs/SETTINGS.md says what it means",
                ),
                kind: SchemaFaultKind::MissingKey(expected_type),
            }]
        }
        kind => vec![value_fault(schema, error, kind, path)],
    }
}

fn value_fault(
    schema: &Value,
    error: &ValidationError<'_>,
    kind: &ValidationErrorKind,
    path: String,
) -> SchemaFault {
    let (problem, allowed, kind) = match kind {
        ValidationErrorKind::Type {
            kind: TypeKind::Single(expected_type),
        } => (
            String::from("the value has the wrong type"),
            expected_type.to_string(),
            SchemaFaultKind::WrongType(expected_type.to_string()),
        ),
        ValidationErrorKind::Minimum { limit } => (
            String::from("the value is too small"),
            format!("{limit} or more"),
            SchemaFaultKind::InvalidValue,
        ),
        ValidationErrorKind::Maximum { limit } => (
            String::from("the value is too large"),
            format!("{limit} or less"),
            SchemaFaultKind::InvalidValue,
        ),
        ValidationErrorKind::Pattern { .. } => (
            String::from("the value is malformed"),
            String::from("an IP address with a port, such as 127.0.0.1:8001"),
            SchemaFaultKind::InvalidValue,
        ),
        ValidationErrorKind::Enum { .. } | ValidationErrorKind::OneOfNotValid { .. } => (
            String::from("the value is not one of the choices"),
            allowed_choices(schema, &path),
            SchemaFaultKind::InvalidValue,
        ),
        _ => (
            error.to_string(),
            String::from("what docs/SETTINGS.md lists"),
            SchemaFaultKind::InvalidValue,
        ),
    };
    SchemaFault {
        fault: SettingsFault::new(path, problem, &allowed, "correct the value"),
        kind,
    }
}

fn allowed_choices(schema: &Value, path: &str) -> String {
    let allowed_constants = schema_lookup::allowed_constants(schema, path);
    if allowed_constants.is_empty() {
        String::from("one of the forms that docs/SETTINGS.md lists")
    } else {
        allowed_constants.join(", ")
    }
}

fn expected_type_at(schema: &Value, path: &str) -> Option<String> {
    schema_lookup::subschema_at(schema, path)
        .and_then(|subschema| subschema.get("type"))
        .and_then(Value::as_str)
        .map(str::to_owned)
}
