//! Table of regression bounds and the check of counted figures against the table.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// Contents of `bounds.json`, embedded at compile time.
const TABLE: &str = include_str!("../bounds.json");

/// Regression bounds, keyed by the name of the figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bounds {
    bounds: BTreeMap<String, Bound>,
}

/// Inclusive bounds of one figure; an absent side is unbounded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Smallest value allowed, if any.
    pub min: Option<f64>,
    /// Largest value allowed, if any.
    pub max: Option<f64>,
    /// Stated performance target from which the bound is derived.
    pub target: String,
}

/// A counted result of a benchmark run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Key of the figure in `bounds.json`.
    pub name: String,
    /// Counted value, in the unit that `name` states.
    pub value: f64,
}

impl Figure {
    /// Creates a figure from its key in `bounds.json` and its value.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64) -> Self {
        Self {
            name: name.into(),
            value,
        }
    }
}

impl Bounds {
    /// Parses the embedded `bounds.json`.
    ///
    /// # Errors
    ///
    /// Returns an error when `bounds.json` is malformed.
    pub fn load() -> Result<Self> {
        serde_json::from_str(TABLE).context("bounds.json is malformed")
    }

    /// Returns a message for each figure that is out of bounds or has no entry in the table.
    #[must_use]
    pub fn violations(&self, figures: &[Figure]) -> Vec<String> {
        figures
            .iter()
            .filter_map(|figure| self.violation(figure))
            .collect()
    }

    fn violation(&self, figure: &Figure) -> Option<String> {
        let Some(bound) = self.bounds.get(&figure.name) else {
            return Some(format!(
                "{} has no bound; add it to bounds.json",
                figure.name
            ));
        };
        let below = bound.min.is_some_and(|min| figure.value < min);
        let above = bound.max.is_some_and(|max| figure.value > max);
        (below || above).then(|| {
            format!(
                "{} is {}, allowed is {:?} to {:?} ({})",
                figure.name, figure.value, bound.min, bound.max, bound.target
            )
        })
    }
}
