//! The one table of regression bounds.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// The table, compiled in.
const TABLE: &str = include_str!("../bounds.json");

/// Bounds by the name of the figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bounds {
    bounds: BTreeMap<String, Bound>,
}

/// The bounds of one figure, inclusive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Smallest value allowed.
    pub min: Option<f64>,
    /// Largest value allowed.
    pub max: Option<f64>,
    /// The stated target that the bound comes from.
    pub target: String,
}

/// A counted figure of a bench run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name, as in the table of bounds.
    pub name: String,
    /// Counted value.
    pub value: f64,
}

impl Figure {
    /// Creates a figure.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64) -> Self {
        Self {
            name: name.into(),
            value,
        }
    }
}

impl Bounds {
    /// Reads the table.
    ///
    /// # Errors
    ///
    /// Returns an error when the table is malformed.
    pub fn load() -> Result<Self> {
        serde_json::from_str(TABLE).context("bounds.json is malformed")
    }

    /// Returns a line for each figure that is out of its bounds or has none.
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
