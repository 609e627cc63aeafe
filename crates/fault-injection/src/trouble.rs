use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why the rig cannot go on, and what can be done.
#[derive(Debug, Error)]
pub enum Trouble {
    #[error("{0}; `aldermill-fault-injection schema` prints the form of a plan")]
    Form(#[from] serde_json::Error),
    #[error("{field}: {value} is not from {least} to {most}")]
    Range { field: String, value: f64, least: f64, most: f64 },
    #[error("sites: {0} need as many drivers and members, and one zone")]
    Sites(usize),
    #[error("voters: {voters} is not 0, 3, 5 or 7 of {drivers} drivers")]
    Voters { voters: usize, drivers: usize },
    #[error("voter_folder_fails: needs `voters` and `keeps`")]
    NoFolder,
    #[error("voters: needs `fellows`")]
    Alone,
    #[error("{path}: {why}; `aldermill-fault-injection plans` lists those that are kept")]
    Plan { path: PathBuf, why: Box<Trouble> },
    #[error("{path}: {why}")]
    File { path: PathBuf, why: io::Error },
    #[error(
        "{0}; see that the program is built, or name it by ALDERMILL, and that the system allows as many processes and descriptors"
    )]
    Run(#[from] io::Error),
    #[error("{path}: the picture cannot be drawn: {why}")]
    Picture { path: PathBuf, why: String },
    #[error("shape: {0} is not `large`, `many` or `both`")]
    Shape(String),
    #[error("behaviour: {0} is not `drawn`, `none` or a behaviour of hostile clients")]
    Behaviour(String),
    #[error("the plan does not fail: there is nothing to take away")]
    Sound,
}
