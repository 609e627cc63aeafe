//! `aldermill serve`: runs the proxy on a single-threaded runtime.

use tokio::runtime;
use tokio::task::LocalSet;

use crate::lifecycle::configuration::{self, Configuration, ConfigurationFiles};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::signals::Signals;
use crate::lifecycle::startup::Startup;

/// Serves clients until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the proxy cannot start, or if one of its actors ends unexpectedly.
pub fn run(files: ConfigurationFiles) -> Result<(), ProgramError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(serve(files)))
}

async fn serve(files: ConfigurationFiles) -> Result<(), ProgramError> {
    // Installed before anything else, so that a signal that arrives during the start takes effect after it.
    let signals = Signals::install()?;
    let configuration = Configuration::read(&files, configuration::environment)?;
    let startup = Startup::open(configuration)?;
    let proxy = startup.spawn_actors(files, signals.hangup).await?;
    proxy.run(signals.stop).await
}
