//! Decodes the settings that each proxy, and each router on the bench, is given at its start.
//!
//! Input: the settings' JSON text, once, and later the names and load reports that are looked up in it. Output:
//! [`Settings`], with the router's configuration ([`aldermill_routing::RouterConfig`]) and the few figures that the
//! program around the router needs. Callers: the proxy, at its start and for a shadow evaluation, and the bench
//! adapter, once a router.
//!
//! This is the one place that knows the document's keys and words; everything behind it speaks the field's names. It
//! assumes that the text is trusted in size, and does no I/O.
//!
//! ```
//! use aldermill_settings::Settings;
//!
//! let error = Settings::parse("[]").map(|_| ()).unwrap_err();
//! assert!(error.to_string().starts_with("field settings: "));
//! ```

#![warn(missing_docs)]

mod error;
mod load_report;
mod router_config;
mod sections;
mod settings;
mod values;

pub use error::SettingsError;
pub use load_report::parse_load_report;
pub use settings::Settings;
pub use values::micros_from_millis;
