//! Pages of the documentation that are generated from the code.

mod settings;

pub use settings::settings_page;
