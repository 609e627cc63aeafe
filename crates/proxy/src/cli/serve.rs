//! `aldermill serve`: the proxy itself, on one thread.

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
/// The proxy could not start, or one of its actors ended unexpectedly.
pub fn run(files: ConfigurationFiles) -> Result<(), ProgramError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(serve(files)))
}

async fn serve(files: ConfigurationFiles) -> Result<(), ProgramError> {
    // Before anything else: a signal that comes during the start takes effect after it.
    let signals = Signals::install()?;
    let configuration = Configuration::read(&files, configuration::environment)?;
    let startup = Startup::open(configuration)?;
    let proxy = startup.spawn_actors(files, signals.hangup).await?;
    proxy.run(signals.stop).await
}
