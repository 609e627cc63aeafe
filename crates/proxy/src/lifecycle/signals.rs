//! Handlers for the signals SIGTERM, SIGINT and SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::lifecycle::errors::ProgramError;

/// The handlers of all signals. Once they are installed, these signals no longer terminate the process on
/// their own.
pub struct Signals {
    /// SIGTERM and SIGINT, which start a shutdown.
    pub stop: StopSignals,
    /// SIGHUP, which reloads the configuration.
    pub hangup: Signal,
}

/// The handlers of SIGTERM and SIGINT, which request a shutdown.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers of all signals.
    ///
    /// # Errors
    ///
    /// Returns [`ProgramError::SignalHandlers`] if the system refuses a handler.
    pub fn install() -> Result<Signals, ProgramError> {
        let terminate = install_handler(SignalKind::terminate())?;
        let interrupt = install_handler(SignalKind::interrupt())?;
        let hangup = install_handler(SignalKind::hangup())?;
        Ok(Signals { stop: StopSignals { terminate, interrupt }, hangup })
    }
}

impl StopSignals {
    /// Waits until SIGTERM or SIGINT arrives.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn install_handler(kind: SignalKind) -> Result<Signal, ProgramError> {
    signal(kind).map_err(ProgramError::SignalHandlers)
}
