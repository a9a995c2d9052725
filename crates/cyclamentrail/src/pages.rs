//! Pages of the documentation that are generated from the code.

mod metrics;
mod settings;

pub use metrics::metrics_page;
pub use settings::settings_page;
