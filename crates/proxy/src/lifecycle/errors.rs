//! Why the program does not start, or ends: each message says what is wrong and what an operator can do.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use aldermill_operator_config::OperatorError;
use aldermill_settings::SettingsError;
use thiserror::Error;
use tokio::task::JoinError;

use crate::shadow::ShadowError;

/// Why a subcommand failed. The program prints it as one line and exits with code 1.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The configuration or the operator's file cannot be read.
    #[error("{path}: {source}; see that the file is there and may be read")]
    UnreadableFile {
        /// The file, as it was named on the command line.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The operator's file cannot be used.
    #[error("{path}: {source}")]
    OperatorFile {
        /// The operator's file.
        path: String,
        /// Which field is wrong, and why.
        source: OperatorError,
    },
    /// The configuration cannot be used.
    #[error("{path}: {source}")]
    Configuration {
        /// The configuration's file.
        path: String,
        /// Which field is wrong, and why.
        source: ConfigurationError,
    },
    /// The settings for shadow evaluation cannot be used.
    #[error("{path}: shadow.settings: {source}")]
    ShadowSettings {
        /// The file that names the settings.
        path: String,
        /// What is wrong with them.
        source: ShadowError,
    },
    /// A limit on slow peers does not leave space for one statement and one answer of full size.
    #[error("{path}: slow_peers.{field}: too little, {minimum} are needed; raise it or leave it out")]
    FlowLimitTooLow {
        /// The operator's file.
        path: String,
        /// The field below `slow_peers`.
        field: &'static str,
        /// The least value, in the field's own unit.
        minimum: u64,
    },
    /// A socket cannot be opened at its address.
    #[error("{field}: {address}: {source}; another process may have it, or it is no address of this machine")]
    Listen {
        /// The field that names the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The lease protocol cannot work with what the operator's file says.
    #[error("coordination.{0}")]
    Coordination(#[from] aldermill_leases::ConfigError),
    /// The async runtime cannot be created.
    #[error("runtime: {0}; the system refuses threads or descriptors, raise its limits for this process")]
    Runtime(io::Error),
    /// The handlers of SIGTERM, SIGINT and SIGHUP cannot be installed.
    #[error(
        "signals: {0}; the system refuses descriptors or signal handlers, raise its limits for this process"
    )]
    SignalHandlers(io::Error),
    /// An actor that runs for as long as the process returned.
    #[error("the {actor} stopped by itself; this is a fault in the program: restart it, and keep the log")]
    ActorStopped {
        /// Which actor.
        actor: Actor,
    },
    /// An actor panicked.
    #[error("the {actor} failed ({source}); this is a fault in the program: restart it, and keep the log")]
    ActorFailed {
        /// Which actor.
        actor: Actor,
        /// How its task ended.
        source: JoinError,
    },
    /// No proxy answers at a status socket.
    #[error(
        "{path}: {source}; a running proxy makes this socket where its operator's file names it as `status`"
    )]
    StatusSocket {
        /// The socket's path.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// What a proxy said at its status socket is not in the expected form.
    #[error("{path}: {source}; this program and the running proxy are of different versions")]
    StatusFormat {
        /// The socket's path.
        path: String,
        /// Where the form differs.
        source: serde_json::Error,
    },
    /// A data directory cannot be read or written.
    #[error("{folder}: {source}")]
    DataDirectory {
        /// The directory.
        folder: String,
        /// What went wrong, and what to do.
        source: aldermill_store::StoreError,
    },
    /// There is no such data directory.
    #[error("{0}: no such folder; name the one that the operator's file has as `warm_start.folder`")]
    NoDataDirectory(String),
    /// Some records of a data directory cannot be read.
    #[error("{0}: damaged, what is left is read; `aldermill store compact` drops the rest")]
    DamagedDataDirectory(String),
}

/// The actors without which the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// It owns the router and decides on every request.
    Dispatcher,
    /// It accepts clients.
    Listener,
}

impl fmt::Display for Actor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Actor::Dispatcher => "dispatcher",
            Actor::Listener => "listener",
        })
    }
}

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// It is no JSON, or a field is missing or of another type.
    #[error("{0}; the file is not in the form that the README shows")]
    Format(serde_json::Error),
    /// A field is not an address with a port.
    #[error("{field}: {text:?} is no address with a port; write it as 127.0.0.1:5432 or [::1]:5432")]
    Address {
        /// The field.
        field: &'static str,
        /// What it says.
        text: String,
    },
    /// The seed cannot be read.
    #[error("seed: {0:?} is no hexadecimal number; write up to 16 hexadecimal digits")]
    Seed(String),
    /// `limits` lacks a field, or one is of another type.
    #[error("limits: {0}; `memory_mb` and `sockets` are needed, as whole numbers")]
    LimitsFormat(serde_json::Error),
    /// The process cannot work with so little.
    #[error("limits.{field}: {value} is too little, {minimum} are needed")]
    LimitTooLow {
        /// The field below `limits`.
        field: &'static str,
        /// What it says.
        value: usize,
        /// The least value, in the field's own unit.
        minimum: usize,
    },
    /// The system allows this process too few open files.
    #[error(
        "limits.sockets: the system allows this process {allowed} open files, {minimum} are needed; raise the limit (ulimit -n)"
    )]
    TooFewDescriptors {
        /// The system's limit on open files.
        allowed: usize,
        /// With fewer the proxy cannot serve.
        minimum: usize,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(SettingsError),
}
