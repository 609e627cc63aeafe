//! From the configuration to the end of the process: what it is started with, its clocks and limits, reload and errors.

pub mod clock;
pub mod configuration;
pub mod errors;
pub mod flow_limits;
pub mod immutable_fields;
pub mod limits;
pub mod process_context;
pub mod reload;
pub mod status_socket;
