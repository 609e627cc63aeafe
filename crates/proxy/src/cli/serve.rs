//! `aldermill serve`: the proxy itself, on one thread.

use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::lifecycle::configuration::{self, Configuration, ConfigurationFiles};
use crate::lifecycle::errors::ProgramError;

/// Serves clients until the process is told to stop.
///
/// # Errors
///
/// The proxy could not start, or one of its actors stopped unexpectedly.
pub fn run(files: ConfigurationFiles) -> Result<(), ProgramError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(async {
        // Before anything else: from here on none of these signals ends the process by itself.
        let heard = |kind| signal(kind).map_err(ProgramError::SignalHandlers);
        let ends = [heard(SignalKind::terminate())?, heard(SignalKind::interrupt())?];
        let hangup = heard(SignalKind::hangup())?;
        let configuration = Configuration::read(&files, configuration::environment)?;
        crate::run(configuration, files, ends, hangup).await
    }))
}
