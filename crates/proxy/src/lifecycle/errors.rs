//! Errors that prevent the program from starting or make it exit. Each message says what is wrong and what an operator
//! can do about it.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use aldermill_operator_config::OperatorError;
use aldermill_settings::SettingsError;
use thiserror::Error;
use tokio::task::JoinError;

use crate::shadow::ShadowError;

/// The reason why a subcommand failed. The program prints it on one line and exits with code 1.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The configuration or the operator's file cannot be read.
    #[error("{path}: {source}; check that the file exists and is readable")]
    UnreadableFile {
        /// Path of the file, as given when the program was started.
        path: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The operator's file is invalid.
    #[error("{path}: {source}")]
    OperatorFile {
        /// Path of the operator's file.
        path: String,
        /// The invalid field and the reason.
        source: OperatorError,
    },
    /// The configuration is invalid.
    #[error("{path}: {source}")]
    Configuration {
        /// Path of the configuration.
        path: String,
        /// The invalid field and the reason.
        source: ConfigurationError,
    },
    /// The settings for shadow evaluation are invalid.
    #[error("{path}: shadow.settings: {source}")]
    ShadowSettings {
        /// Path of the file that names the settings.
        path: String,
        /// The reason why the settings are invalid.
        source: ShadowError,
    },
    /// A limit on slow peers is too low for one full-size statement and one full-size response.
    #[error("{path}: slow_peers.{field}: too little, the minimum is {minimum}; raise it or leave it out")]
    FlowLimitTooLow {
        /// Path of the operator's file.
        path: String,
        /// Name of the field, relative to `slow_peers`.
        field: &'static str,
        /// Minimum value, in the unit of the field.
        minimum: u64,
    },
    /// A socket cannot be opened at its configured address.
    #[error("{field}: {address}: {source}; check that the address belongs to this machine and is not in use")]
    Listen {
        /// Name of the field that gives the address.
        field: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The lease protocol cannot work with the operator's configuration of coordination.
    #[error("coordination.{0}")]
    Coordination(#[from] aldermill_leases::ConfigError),
    /// The async runtime cannot be created.
    #[error("runtime: {0}; the system refuses threads or descriptors, raise the limits for this process")]
    Runtime(io::Error),
    /// The handlers for SIGTERM, SIGINT and SIGHUP cannot be installed.
    #[error(
        "signals: {0}; the system refuses descriptors or signal handlers, raise the limits for this process"
    )]
    SignalHandlers(io::Error),
    /// An actor that must run as long as the process has returned.
    #[error("the {actor} stopped unexpectedly; this is a bug: restart the process and keep the log")]
    ActorStopped {
        /// Actor that stopped.
        actor: Actor,
    },
    /// An actor panicked.
    #[error("the {actor} failed ({source}); this is a bug: restart the process and keep the log")]
    ActorFailed {
        /// Actor that failed.
        actor: Actor,
        /// Error with which the actor's task ended.
        source: JoinError,
    },
    /// No proxy replies at a status socket.
    #[error(
        "{path}: {source}; a running proxy creates this socket if its operator's file names the path as `status`"
    )]
    StatusSocket {
        /// Path of the socket.
        path: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A proxy's reply at its status socket is not in the expected format.
    #[error("{path}: {source}; this program and the running proxy are different versions")]
    StatusFormat {
        /// Path of the socket.
        path: String,
        /// The point at which the reply differs from the format.
        source: serde_json::Error,
    },
    /// A data directory cannot be read or written.
    #[error("{folder}: {source}")]
    DataDirectory {
        /// Path of the data directory.
        folder: String,
        /// The reason, and what to do about it.
        source: aldermill_store::StoreError,
    },
    /// The data directory at this path does not exist.
    #[error("{0}: no such directory; give the path that the operator's file has as `warm_start.folder`")]
    NoDataDirectory(String),
    /// Some records in the data directory at this path cannot be read.
    #[error("{0}: damaged, only the intact records are read; `aldermill store compact` removes the others")]
    DamagedDataDirectory(String),
}

/// An actor without which the process cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// The actor that owns the router and decides on every request.
    Dispatcher,
    /// The actor that accepts client connections.
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

/// The reason why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The file is not JSON, or a field is missing or of the wrong type.
    #[error("{0}; the README describes the format of this file")]
    Format(serde_json::Error),
    /// A field is not an address with a port.
    #[error("{field}: {text:?} is not an address with a port; write it as 127.0.0.1:5432 or [::1]:5432")]
    Address {
        /// Name of the field.
        field: &'static str,
        /// Text in the field, or in the environment variable that overrides it.
        text: String,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0:?} is not a valid hexadecimal number; write up to 16 hexadecimal digits")]
    Seed(String),
    /// A field of `limits` is missing or of the wrong type.
    #[error("limits: {0}; `memory_mb` and `sockets` are required, as whole numbers")]
    LimitsFormat(serde_json::Error),
    /// A field of `limits` is below the minimum with which the process can work.
    #[error("limits.{field}: {value} is too low, the minimum is {minimum}")]
    LimitTooLow {
        /// Name of the field, relative to `limits`.
        field: &'static str,
        /// Configured value.
        value: usize,
        /// Minimum value, in the unit of the field.
        minimum: usize,
    },
    /// The operating system allows this process too few open files.
    #[error(
        "limits.sockets: the system allows this process {allowed} open files, {minimum} are needed; raise the limit (ulimit -n)"
    )]
    TooFewDescriptors {
        /// The operating system's limit on open files.
        allowed: usize,
        /// Minimum number of open files with which the proxy can serve.
        minimum: usize,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(SettingsError),
}
