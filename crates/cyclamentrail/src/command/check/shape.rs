//! Finds every value whose shape the schema doesn't allow.

use anyhow::{Context, Result};
use cyclamentrail_core::Fault;
use jsonschema::ValidationError;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use serde_json::Value;

use super::known;

/// A fault of shape, with what the schema says of the value.
#[derive(Debug)]
pub(super) struct ShapeFault {
    /// The fault.
    pub(super) fault: Fault,
    /// How wrong the value is.
    pub(super) kind: ShapeKind,
}

/// How a value differs from the schema.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ShapeKind {
    /// The key is not known.
    Unknown,
    /// The value is missing; its type when that is a simple one.
    Missing(Option<String>),
    /// The value has another type.
    Type(String),
    /// The value is out of range or malformed.
    Value,
}

/// Returns every fault of shape.
///
/// # Errors
///
/// Returns an error when the schema can't be used.
pub(super) fn find(schema: &Value, document: &Value) -> Result<Vec<ShapeFault>> {
    let validator = jsonschema::validator_for(schema)
        .map_err(jsonschema::ValidationError::to_owned)
        .context("the schema of the settings is faulty; report this as a bug")?;
    let faults = validator
        .iter_errors(document)
        .flat_map(|error| describe(schema, &error))
        .collect();
    Ok(faults)
}

fn describe(schema: &Value, error: &ValidationError<'_>) -> Vec<ShapeFault> {
    let path = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let allowed = known::property_names(schema, &path).join(", ");
            unexpected
                .iter()
                .map(|key| ShapeFault {
                    fault: Fault::new(
                        format!("{path}/{key}"),
                        format!("key \"{key}\" is unknown"),
                        &allowed,
                        "correct its spelling, or take it out",
                    ),
                    kind: ShapeKind::Unknown,
                })
                .collect()
        }
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let path = format!("{path}/{key}");
            let wanted = type_of(schema, &path);
            let allowed = wanted.as_ref().map_or_else(
                || String::from("what docs/SETTINGS.md lists"),
                |name| format!("a value of type {name}"),
            );
            vec![ShapeFault {
                fault: Fault::new(
                    path,
                    format!("key \"{key}\" is missing"),
                    &allowed,
                    "add it to the base or to the overlay; docs/SETTINGS.md says what it means",
                ),
                kind: ShapeKind::Missing(wanted),
            }]
        }
        kind => vec![describe_value(schema, error, kind, path)],
    }
}

fn describe_value(
    schema: &Value,
    error: &ValidationError<'_>,
    kind: &ValidationErrorKind,
    path: String,
) -> ShapeFault {
    let (problem, allowed, kind) = match kind {
        ValidationErrorKind::Type {
            kind: TypeKind::Single(wanted),
        } => (
            String::from("the value has another type"),
            wanted.to_string(),
            ShapeKind::Type(wanted.to_string()),
        ),
        ValidationErrorKind::Minimum { limit } => (
            String::from("the value is too small"),
            format!("{limit} or more"),
            ShapeKind::Value,
        ),
        ValidationErrorKind::Maximum { limit } => (
            String::from("the value is too large"),
            format!("{limit} or less"),
            ShapeKind::Value,
        ),
        ValidationErrorKind::Pattern { .. } => (
            String::from("the value is malformed"),
            String::from("an IP address with a port, such as 127.0.0.1:8001"),
            ShapeKind::Value,
        ),
        ValidationErrorKind::Enum { .. } | ValidationErrorKind::OneOfNotValid { .. } => (
            String::from("the value is none of the choices"),
            choices(schema, &path),
            ShapeKind::Value,
        ),
        _ => (
            error.to_string(),
            String::from("what docs/SETTINGS.md lists"),
            ShapeKind::Value,
        ),
    };
    ShapeFault {
        fault: Fault::new(path, problem, &allowed, "correct the value"),
        kind,
    }
}

fn choices(schema: &Value, path: &str) -> String {
    let constants = known::constants(schema, path);
    if constants.is_empty() {
        String::from("one of the forms that docs/SETTINGS.md lists")
    } else {
        constants.join(", ")
    }
}

fn type_of(schema: &Value, path: &str) -> Option<String> {
    known::part_of(schema, path)
        .and_then(|part| part.get("type"))
        .and_then(Value::as_str)
        .map(str::to_owned)
}
