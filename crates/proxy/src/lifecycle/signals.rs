//! The signals that the process handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::lifecycle::errors::ProgramError;

/// The handlers of all signals. Once they are installed, none of these signals ends the process by itself.
pub struct Signals {
    /// SIGTERM and SIGINT: shut down.
    pub stop: StopSignals,
    /// SIGHUP: read the configuration again.
    pub hangup: Signal,
}

/// The signals that ask for a shutdown.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The system refuses one.
    pub fn install() -> Result<Signals, ProgramError> {
        let terminate = install_handler(SignalKind::terminate())?;
        let interrupt = install_handler(SignalKind::interrupt())?;
        let hangup = install_handler(SignalKind::hangup())?;
        Ok(Signals { stop: StopSignals { terminate, interrupt }, hangup })
    }
}

impl StopSignals {
    /// Waits for one of them.
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
