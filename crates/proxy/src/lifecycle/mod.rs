//! The life of the process: configuration, startup, reload and shutdown, together with clocks, limits,
//! logging, signals and errors.

pub mod boot_clock;
pub mod clock;
pub mod configuration;
pub mod errors;
pub mod flow_limits;
pub mod immutable_fields;
pub mod limits;
pub mod logging;
pub mod process_context;
pub mod reload;
pub mod shutdown;
pub mod signals;
pub mod startup;
pub mod status_socket;
