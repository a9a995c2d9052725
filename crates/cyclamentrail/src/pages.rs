//! Generates documentation pages: the metrics from their catalogue, the settings from their schema.

mod metrics;
mod settings;

pub use metrics::metrics_page;
pub use settings::settings_page;
