//! Why the program does not start, or ends: what is wrong, and what an operator can do.

use std::io;
use std::net::SocketAddr;

use aldermill_operator_config::OperatorError;
use aldermill_settings::Trouble;
use thiserror::Error;

use crate::shadow::ShadowError;

#[derive(Debug, Error)]
pub enum ProgramError {
    #[error("{path}: {why}; see that the file is there and may be read")]
    File { path: String, why: io::Error },
    #[error("{path}: {why}")]
    Operator { path: String, why: OperatorError },
    #[error("{path}: {why}")]
    Config { path: String, why: ConfigurationError },
    #[error("{path}: trial.settings: {why}")]
    Trial { path: String, why: ShadowError },
    #[error("{path}: slow_peers.{field}: too little, {least} are needed")]
    Little { path: String, field: &'static str, least: u64 },
    #[error("{field}: {address}: {why}; another process may have it, or it is no address of this machine")]
    Listen { field: &'static str, address: SocketAddr, why: io::Error },
    #[error("council.{0}")]
    Council(#[from] aldermill_leases::ConfigError),
    #[error("{what}: {why}; the system refuses what every program needs, see its limits")]
    System { what: &'static str, why: io::Error },
    #[error("{0} ended by itself; that is a fault in the program, keep the log")]
    Ended(String),
    #[error(
        "{path}: {why}; a running driver makes this socket where its operator's file names it as `status`"
    )]
    Status { path: String, why: io::Error },
    #[error("{path}: {why}; this program and the driver are of different versions")]
    Said { path: String, why: serde_json::Error },
    #[error("{folder}: {why}")]
    Store { folder: String, why: aldermill_store::Problem },
    #[error("{0}: no such folder; name the one that the operator's file has as `warm.folder`")]
    NoFolder(String),
    #[error("{0}: damaged, what is left is read; `aldermill store compact` drops the rest")]
    Damaged(String),
}

/// What cannot be meant in a driver's configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    #[error("{0}; the file is not in the form that the README shows")]
    Form(serde_json::Error),
    #[error("{field}: {text:?} is no address with a port")]
    Address { field: &'static str, text: String },
    #[error("seed: {0:?} is no hexadecimal number")]
    Seed(String),
    #[error("limits: {0}")]
    Limits(serde_json::Error),
    #[error("limits.{field}: {value} is too little, {least} are needed")]
    Little { field: &'static str, value: usize, least: usize },
    #[error(
        "limits.sockets: the system allows this process {allowed} open files, {least} are needed; raise the limit (ulimit -n)"
    )]
    FewDescriptors { allowed: usize, least: usize },
    #[error("settings: {0}")]
    Settings(Trouble),
}
